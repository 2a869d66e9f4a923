//! The order of an agent's lists, and what the entries of one list are judged by.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use sparlug::event::Condition;
use sparlug::time::{Span, Time};

use super::withdrawal::{Origin, Withdrawal};
use super::{BackendState, ReadyBackend};
use crate::listing::{BackendEntry, BackendList};

/// How long a backend may have run without appearing in any list that arrived.
const MAX_UNSEEN_TIME: Span = Span::from_millis(600_000);

/// How a list's version relates to those that its agent sent before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListOrder {
    /// The agent sent none before.
    First,
    Newer,
    /// The highest version, once more.
    Same,
    Older,
}

/// The versions that one agent has sent.
pub struct AgentVersions {
    pub highest: u64,
    /// Recent versions, and when each first arrived.
    pub received: BTreeMap<u64, Time>,
    /// When the highest version arrived; `None` as long as no list was whole, so that backends may exist which
    /// none has named.
    pub complete_at: Option<Time>,
    /// Version of the first whole list since the answers became older than the highest version.
    pub restarted_at: Option<u64>,
    pub last_answer: Time,
}

/// What the entries of one list are judged by.
pub struct ListContext {
    pub agent: SocketAddr,
    pub version: u64,
    /// The agent's highest version before this list, or that of this list.
    pub highest: u64,
    pub whole: bool,
    /// The version that changes follow.
    pub base: Option<u64>,
    /// The list has changes from a version below the highest one up to that or a later one. Changes that follow
    /// an old answer may be old as well, so some may be missing.
    pub leads_past_highest: bool,
    /// The list has changes of a version below the requested one.
    pub goes_back: bool,
    pub order: ListOrder,
    pub now: Time,
    /// The latest start time that the list states.
    pub latest_start: Option<Time>,
    /// When a list of this version first arrived, if one did before.
    pub received_at: Option<Time>,
    /// When the highest version arrived, by which every backend was known.
    pub complete_at: Option<Time>,
    /// Whether an earlier list of the same age was whole and named all backends of that time.
    pub follows_restart: bool,
}

impl AgentVersions {
    /// Records what the order of an answer says of the agent; `whole` if the answer lists all backends.
    pub fn record_answer(&mut self, order: ListOrder, version: u64, whole: bool, now: Time) {
        let was_complete = self.complete_at.is_some();
        match order {
            ListOrder::First | ListOrder::Newer if whole || was_complete => self.complete_at = Some(now),
            ListOrder::Same if whole && !was_complete => self.complete_at = Some(now),
            ListOrder::Older if whole => drop(self.restarted_at.get_or_insert(version)),
            _ => {}
        }
        if order != ListOrder::Older {
            self.restarted_at = None;
        }
    }
}

impl ListContext {
    /// The context of an answer of an agent that has sent these versions before, if any.
    pub fn new(
        list: &BackendList,
        base: Option<u64>,
        agent: SocketAddr,
        versions: Option<&AgentVersions>,
        now: Time,
    ) -> ListContext {
        let version = list.version;
        let order = match versions.map(|versions| version.cmp(&versions.highest)) {
            None => ListOrder::First,
            Some(Ordering::Greater) => ListOrder::Newer,
            Some(Ordering::Equal) => ListOrder::Same,
            Some(Ordering::Less) => ListOrder::Older,
        };
        let base_is_old = versions.is_some_and(|versions| base.is_some_and(|base| base < versions.highest));
        ListContext {
            agent,
            version,
            highest: versions.map_or(version, |versions| versions.highest),
            whole: list.full,
            base,
            leads_past_highest: !list.full && order != ListOrder::Older && base_is_old,
            goes_back: !list.full && base.is_some_and(|base| version < base),
            order,
            now,
            latest_start: list.entries.iter().filter_map(|entry| entry.listed_start).max(),
            received_at: versions.and_then(|versions| versions.received.get(&version).copied()),
            complete_at: versions.and_then(|versions| versions.complete_at),
            follows_restart: versions
                .and_then(|versions| versions.restarted_at)
                .is_some_and(|restarted_at| order == ListOrder::Older && restarted_at < version),
        }
    }

    /// A withdrawal by an entry of this list.
    pub fn withdrawal(&self, condition: Condition) -> Withdrawal {
        let withdrawal = Withdrawal::new(condition, Some(self.agent), self.version, self.now);
        Withdrawal { origin: self.origin(), ..withdrawal }
    }

    /// The withdrawal of a backend that the lists up to the highest version don't name.
    pub fn earlier_withdrawal(&self, condition: Condition) -> Withdrawal {
        Withdrawal::new(condition, Some(self.agent), self.highest, self.now)
    }

    fn origin(&self) -> Origin {
        match self.order {
            ListOrder::Older if self.received_at.is_none() => Origin::Restart,
            ListOrder::Older => Origin::Outdated,
            ListOrder::First | ListOrder::Newer | ListOrder::Same => Origin::Current,
        }
    }

    /// The withdrawal of a ready backend that this list, a whole one, does not name.
    pub fn omission(&self, known: &ReadyBackend, latest_start: Option<Time>) -> Withdrawal {
        let withdrawal = self.withdrawal(Condition::Gone);
        // An agent that never named the backend may know only what was before it joined. Its older lists do, unless
        // they name one that started later.
        let is_before_join = self.lowest_version(&known.named_by) == self.version;
        let may_predate =
            self.order == ListOrder::Older && is_before_join && latest_start > self.latest_start;
        let origin = if may_predate { Origin::Outdated } else { withdrawal.origin };
        Withdrawal { omitted: is_before_join, origin, ..withdrawal }
    }

    /// A ready backend that this list names.
    pub fn ready(&self, entry: &BackendEntry) -> BackendState {
        let named_by = BTreeMap::from([(self.agent, self.version)]);
        BackendState::Ready(ReadyBackend { entry: entry.clone(), named_by })
    }

    /// The lowest version of this agent's lists that named a backend, this list included.
    pub fn lowest_version(&self, named_by: &BTreeMap<SocketAddr, u64>) -> u64 {
        named_by.get(&self.agent).map_or(self.version, |version| self.version.min(*version))
    }

    /// Whether a backend without a record is new, and not one that a newer whole list no longer names.
    pub fn adds_backend(&self, entry: &BackendEntry) -> bool {
        let is_newer = matches!(self.order, ListOrder::First | ListOrder::Newer);
        let is_unheard = self.complete_at.is_none() || entry.listed_start > self.complete_at;
        is_newer || is_unheard || self.follows_restart && !self.may_have_ended(entry)
    }

    /// Whether the entry may be of a process that newer lists have withdrawn already: it started shortly before
    /// the highest version, and no list with its start has arrived.
    pub fn may_have_ended(&self, entry: &BackendEntry) -> bool {
        let is_newer = matches!(self.order, ListOrder::First | ListOrder::Newer);
        let (Some(started), Some(complete_at)) = (entry.listed_start, self.complete_at) else { return false };
        !is_newer && started <= complete_at && complete_at.since(started) < MAX_UNSEEN_TIME
    }

    /// Whether the known entry of a ready backend is kept instead of that of this list, which may be about an
    /// earlier process or address.
    pub fn keeps(&self, known: &BackendEntry, entry: &BackendEntry) -> bool {
        match self.order {
            ListOrder::Newer => false,
            ListOrder::First | ListOrder::Same => entry.listed_start < known.listed_start,
            ListOrder::Older => entry.listed_start <= known.listed_start,
        }
    }
}
