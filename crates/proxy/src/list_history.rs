//! What discovery has said of each backend, and which answers may change it. Any answer may come from a replica
//! that lags, or from an agent that lost its latest versions. Such an answer may add news, but it does not give
//! back a backend that a newer list has withdrawn. `docs/design/list-history.md` states the rules.
//!
//! A state machine without I/O: lists go in, with the time on the proxy's own clock; the lists to apply come out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sparlug::event::Condition;
use sparlug::id::BackendId;
use sparlug::time::{Span, Time};

use crate::listing::{BackendEntry, BackendList};

mod handover;
mod withdrawal;

pub use handover::{HandoverAgent, HandoverHistory, HandoverWithdrawal};
use withdrawal::{Withdrawal, Withheld};

/// How long a withdrawn backend stays out although the lists name it as ready. Where discovery lost its versions,
/// these lists are right, and nothing but time tells them from those of a replica that lags.
pub const MAX_WITHHELD_TIME: Span = Span::from_millis(300_000);
/// How long a withdrawal is remembered after a list last confirmed it, and an agent after its last answer.
const RETENTION: Span = Span::from_millis(3_600_000);
/// Time between two searches for what may be forgotten.
const CLEANUP_INTERVAL: Span = Span::from_millis(60_000);

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListSource {
    /// An answer of this agent, or the list of an earlier answer that the configuration contains.
    Agent(SocketAddr),
    /// The preceding process of a handover, which had it from this agent.
    Predecessor(Option<SocketAddr>),
    /// The configuration file, in place of discovery.
    File,
}

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
struct AgentVersions {
    highest: u64,
    /// Recent versions, and when each first arrived.
    received: BTreeMap<u64, Time>,
    /// When the latest whole list that was not older arrived; `None` if there was none, so that backends may
    /// exist which no list has named.
    complete_at: Option<Time>,
    /// Version of the first whole list since the answers became older than the highest version.
    restarted_at: Option<u64>,
    last_answer: Time,
}

/// What the lists say of a backend.
enum BackendState {
    Ready(BackendEntry),
    Withdrawn(Withdrawal),
}

struct BackendRecord {
    host: String,
    /// The latest start time that a list has stated for it.
    latest_start: Option<Time>,
    state: BackendState,
}

/// A list as it is to be applied.
pub struct MergedList {
    pub list: BackendList,
    pub order: ListOrder,
    /// Backends that the list names as ready and that stay withdrawn.
    pub withheld: Vec<WithheldBackend>,
    /// Whether the backends that the list omits are kept, because it would leave no backend ready.
    pub omissions_ignored: bool,
}

/// A backend that a list names as ready and that stays withdrawn.
#[derive(Debug, PartialEq)]
pub struct WithheldBackend {
    pub host: String,
    /// Version of the list that withdrew it.
    pub withdrawn_at: u64,
    /// No earlier list since that withdrawal named it as ready.
    pub first: bool,
}

/// What the entries of one list are judged by.
struct ListContext {
    agent: SocketAddr,
    version: u64,
    order: ListOrder,
    now: Time,
    /// When a list of this version first arrived, if one did before.
    received_at: Option<Time>,
    /// When the list arrived that should have named every backend.
    complete_at: Option<Time>,
    /// Whether an earlier list of the same age was whole and named all backends of that time.
    follows_restart: bool,
}

/// The states of all backends by the lists so far.
#[derive(Default)]
pub struct ListHistory {
    records: BTreeMap<BackendId, BackendRecord>,
    agents: BTreeMap<SocketAddr, AgentVersions>,
    last_cleanup: Time,
}

impl ListHistory {
    /// Takes a list and returns what to apply of it.
    pub fn merge(&mut self, mut list: BackendList, source: ListSource, now: Time) -> MergedList {
        list.remove_duplicates();
        let merged = match source {
            ListSource::Agent(agent) => self.merge_answer(list, agent, now),
            ListSource::Predecessor(agent) => {
                if let Some(agent) = agent {
                    let versions = self.record_version(agent, list.version, now);
                    versions.complete_at.get_or_insert(now);
                }
                self.adopt(list, agent, now)
            }
            ListSource::File => {
                // What agents said before has no meaning for the lists that follow.
                self.agents.clear();
                self.adopt(list, None, now)
            }
        };
        self.clean_up(now);
        merged
    }

    /// Number of backends that lists name as ready and that stay withdrawn.
    pub fn withheld_count(&self) -> usize {
        let withheld = |record: &&BackendRecord| record.withdrawal().is_some_and(|w| w.withheld.is_some());
        self.records.values().filter(withheld).count()
    }

    /// Takes over every entry as it is.
    fn adopt(&mut self, list: BackendList, agent: Option<SocketAddr>, now: Time) -> MergedList {
        let named: BTreeSet<_> = list.entries.iter().map(|entry| entry.listing.backend).collect();
        let is_stale = |id: &BackendId, record: &BackendRecord| {
            list.full && !named.contains(id) && record.withdrawal().is_none()
        };
        self.records.retain(|id, record| !is_stale(id, record));
        for entry in &list.entries {
            let record = self.records.get(&entry.listing.backend);
            let state = match entry.listing.condition {
                Condition::Ready => BackendState::Ready(entry.clone()),
                // The withdrawal was handed over as well.
                _ if agent.is_some() && record.is_some_and(|record| record.withdrawal().is_some()) => {
                    continue
                }
                condition => BackendState::Withdrawn(Withdrawal::new(condition, agent, list.version, now)),
            };
            self.insert(entry, state);
        }
        MergedList { list, order: ListOrder::Newer, withheld: Vec::new(), omissions_ignored: false }
    }

    fn merge_answer(&mut self, mut list: BackendList, agent: SocketAddr, now: Time) -> MergedList {
        let context = self.context(&list, agent, now);
        let named: BTreeSet<_> = list.entries.iter().map(|entry| entry.listing.backend).collect();
        let (is_complete, mut withheld) = (list.full, Vec::new());
        let entries = std::mem::take(&mut list.entries);
        list.entries = entries
            .into_iter()
            .filter_map(|entry| self.merge_entry(entry, &context, &mut withheld))
            .collect();
        let omissions_ignored = list.full && !self.apply_omissions(&named, &context);
        list.full &= !omissions_ignored;
        list.entries.extend(self.release_withheld(&named, &context));
        let (version, order) = (list.version, context.order);
        let versions = self.record_version(agent, version, now);
        if order != ListOrder::Older {
            versions.restarted_at = None;
            versions.complete_at = if is_complete { Some(now) } else { versions.complete_at };
        } else if is_complete {
            versions.restarted_at.get_or_insert(version);
        }
        MergedList { list, order, withheld, omissions_ignored }
    }

    fn context(&self, list: &BackendList, agent: SocketAddr, now: Time) -> ListContext {
        let version = list.version;
        let versions = self.agents.get(&agent);
        let order = match versions.map(|versions| version.cmp(&versions.highest)) {
            None => ListOrder::First,
            Some(std::cmp::Ordering::Greater) => ListOrder::Newer,
            Some(std::cmp::Ordering::Equal) => ListOrder::Same,
            Some(std::cmp::Ordering::Less) => ListOrder::Older,
        };
        ListContext {
            agent,
            version,
            order,
            now,
            received_at: versions.and_then(|versions| versions.received.get(&version).copied()),
            complete_at: versions.and_then(|versions| versions.complete_at),
            follows_restart: versions
                .and_then(|versions| versions.restarted_at)
                .is_some_and(|restarted_at| order == ListOrder::Older && restarted_at < version),
        }
    }

    /// Records the version of an agent's list.
    fn record_version(&mut self, agent: SocketAddr, version: u64, now: Time) -> &mut AgentVersions {
        let versions = self.agents.entry(agent).or_insert(AgentVersions {
            highest: version,
            received: BTreeMap::new(),
            complete_at: None,
            restarted_at: None,
            last_answer: now,
        });
        versions.highest = versions.highest.max(version);
        versions.received.entry(version).or_insert(now);
        versions.last_answer = now;
        versions
    }

    /// Merges an entry into the backend's record. Returns the entry to apply, if any.
    fn merge_entry(
        &mut self,
        entry: BackendEntry,
        context: &ListContext,
        withheld: &mut Vec<WithheldBackend>,
    ) -> Option<BackendEntry> {
        if entry.listing.condition == Condition::Ready {
            self.merge_ready(entry, context, withheld)
        } else {
            Some(self.merge_withdrawn(entry, context))
        }
    }

    fn merge_ready(
        &mut self,
        mut entry: BackendEntry,
        context: &ListContext,
        withheld: &mut Vec<WithheldBackend>,
    ) -> Option<BackendEntry> {
        let record = match self.records.get_mut(&entry.listing.backend) {
            Some(record) => record,
            None if context.adds_backend(&entry) => {
                self.insert(&entry, BackendState::Ready(entry.clone()));
                return Some(entry);
            }
            None => self.insert_unlisted(&entry, context),
        };
        let restarted = entry.listed_start > record.latest_start;
        match &mut record.state {
            BackendState::Ready(known) if context.keeps(known, &entry) => return Some(known.clone()),
            BackendState::Withdrawn(withdrawal) if !restarted && !withdrawal.is_lifted_by(context) => {
                let first = withdrawal.withheld.is_none();
                let since = withdrawal.withheld.as_ref().map_or(context.now, |withheld| withheld.since);
                withdrawal.withheld = Some(Withheld { entry: entry.clone(), since });
                withheld.push(WithheldBackend {
                    host: entry.host.clone(),
                    withdrawn_at: withdrawal.version,
                    first,
                });
                (entry.listing.condition, entry.listed_start) = (withdrawal.condition, record.latest_start);
                return (withdrawal.condition == Condition::Draining).then_some(entry);
            }
            _ => {}
        }
        record.latest_start = record.latest_start.max(entry.listed_start);
        record.state = BackendState::Ready(entry.clone());
        Some(entry)
    }

    /// Merges an entry for a backend that drains or is gone.
    fn merge_withdrawn(&mut self, mut entry: BackendEntry, context: &ListContext) -> BackendEntry {
        let Some(record) = self.records.get_mut(&entry.listing.backend) else {
            let withdrawal = context.withdrawal(entry.listing.condition);
            let record = self.insert(&entry, BackendState::Withdrawn(withdrawal));
            // Without a start time to compare with, only a later start than now is a newer one.
            record.latest_start = if entry.start_stated { entry.listed_start } else { Some(context.now) };
            return entry;
        };
        let of_earlier_process = entry.start_stated && entry.listed_start < record.latest_start;
        match &mut record.state {
            // The backend has restarted since.
            BackendState::Ready(known) if of_earlier_process && context.order != ListOrder::Newer => {
                return known.clone();
            }
            BackendState::Ready(_) => {
                record.state = BackendState::Withdrawn(context.withdrawal(entry.listing.condition));
            }
            BackendState::Withdrawn(withdrawal) => {
                withdrawal.confirm(entry.listing.condition, context.agent, context.version, context.now);
                if context.order == ListOrder::Newer {
                    withdrawal.condition = entry.listing.condition;
                }
                entry.listing.condition = withdrawal.condition;
            }
        }
        record.latest_start = record.latest_start.max(entry.listed_start);
        entry.listed_start = record.latest_start;
        entry
    }

    /// Withdraws all backends that a whole list does not name. Returns `false` without a change if a list that
    /// is not newer would leave no backend ready.
    fn apply_omissions(&mut self, named: &BTreeSet<BackendId>, context: &ListContext) -> bool {
        let is_ready = |record: &BackendRecord| matches!(record.state, BackendState::Ready(_));
        let (mut ready_named, mut ready_omitted) = (0, 0);
        for (id, _) in self.records.iter().filter(|(_, record)| is_ready(record)) {
            *(if named.contains(id) { &mut ready_named } else { &mut ready_omitted }) += 1;
        }
        if context.order != ListOrder::Newer && ready_named == 0 && ready_omitted > 0 {
            return false;
        }
        for (_, record) in self.records.iter_mut().filter(|(id, _)| !named.contains(id)) {
            match &mut record.state {
                BackendState::Ready(_) => {
                    let withdrawal =
                        Withdrawal { omitted: true, is_news: false, ..context.withdrawal(Condition::Gone) };
                    record.state = BackendState::Withdrawn(withdrawal);
                }
                BackendState::Withdrawn(withdrawal) => {
                    withdrawal.confirm(Condition::Gone, context.agent, context.version, context.now);
                }
            }
        }
        true
    }

    /// Ends the withdrawals of backends that lists have named as ready for long enough; returns their entries.
    /// An answer that knows of a withdrawal and doesn't name the backend confirms the withdrawal.
    fn release_withheld(&mut self, named: &BTreeSet<BackendId>, context: &ListContext) -> Vec<BackendEntry> {
        let mut released = Vec::new();
        for (id, record) in &mut self.records {
            let BackendState::Withdrawn(withdrawal) = &mut record.state else { continue };
            let knows_withdrawal =
                withdrawal.agent == Some(context.agent) && context.version >= withdrawal.version;
            if knows_withdrawal && !named.contains(id) {
                withdrawal.withheld = None;
            }
            let is_due = |withheld: &Withheld| withheld.since + MAX_WITHHELD_TIME <= context.now;
            let Some(withheld) = withdrawal.withheld.take_if(|withheld| is_due(withheld)) else { continue };
            record.state = BackendState::Ready(withheld.entry.clone());
            released.push(withheld.entry);
        }
        released
    }

    fn insert(&mut self, entry: &BackendEntry, state: BackendState) -> &mut BackendRecord {
        let record = BackendRecord { host: entry.host.clone(), latest_start: entry.listed_start, state };
        self.records.entry(entry.listing.backend).insert_entry(record).into_mut()
    }

    /// Records a backend that an older list names and a newer whole list did not, as withdrawn by the latter.
    fn insert_unlisted(&mut self, entry: &BackendEntry, context: &ListContext) -> &mut BackendRecord {
        let version = self.agents.get(&context.agent).map_or(context.version, |versions| versions.highest);
        let withdrawal = Withdrawal::new(Condition::Gone, Some(context.agent), version, context.now);
        let record = self.insert(entry, BackendState::Withdrawn(withdrawal));
        record.latest_start = context.complete_at;
        record
    }

    fn clean_up(&mut self, now: Time) {
        if now < self.last_cleanup + CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        let is_recent = |record: &BackendRecord| {
            record.withdrawal().is_none_or(|w| now < w.confirmed_at + RETENTION || w.withheld.is_some())
        };
        self.records.retain(|_, record| is_recent(record));
        self.agents.retain(|_, versions| now < versions.last_answer + RETENTION);
        for versions in self.agents.values_mut() {
            versions.received.retain(|_, received_at| now < *received_at + RETENTION);
        }
    }
}

impl BackendRecord {
    fn withdrawal(&self) -> Option<&Withdrawal> {
        match &self.state {
            BackendState::Ready(_) => None,
            BackendState::Withdrawn(withdrawal) => Some(withdrawal),
        }
    }
}

impl ListContext {
    /// A withdrawal by an entry of this list.
    fn withdrawal(&self, condition: Condition) -> Withdrawal {
        let withdrawal = Withdrawal::new(condition, Some(self.agent), self.version, self.now);
        let is_news = self.order == ListOrder::Older && self.received_at.is_none();
        Withdrawal { is_news, ..withdrawal }
    }

    /// Whether a backend without a record is new, and not one that a newer whole list no longer names.
    fn adds_backend(&self, entry: &BackendEntry) -> bool {
        let is_newer = matches!(self.order, ListOrder::First | ListOrder::Newer);
        is_newer
            || self.follows_restart
            || self.complete_at.is_none()
            || entry.listed_start > self.complete_at
    }

    /// Whether the known entry of a ready backend is kept instead of that of this list, which may be about an
    /// earlier process or address.
    fn keeps(&self, known: &BackendEntry, entry: &BackendEntry) -> bool {
        match self.order {
            ListOrder::Newer => false,
            ListOrder::First | ListOrder::Same => entry.listed_start < known.listed_start,
            ListOrder::Older => entry.listed_start <= known.listed_start,
        }
    }
}
