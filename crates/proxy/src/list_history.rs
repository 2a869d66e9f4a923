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

mod context;
mod handover;
mod withdrawal;

pub use context::ListOrder;
use context::{AgentVersions, ListContext};
pub use handover::{HandoverAgent, HandoverHistory, HandoverWithdrawal};
use withdrawal::{Origin, Withdrawal, Withheld};

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

/// A backend that lists name as ready.
struct ReadyBackend {
    entry: BackendEntry,
    /// The agents that have named it since its latest start, each with the lowest version of its lists that did.
    named_by: BTreeMap<SocketAddr, u64>,
}

/// What the lists say of a backend.
enum BackendState {
    Ready(ReadyBackend),
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
    /// The changes that follow may lack some: this list was not applied whole, its changes are old and withdraw
    /// backends, or they lead from an older version past the highest one, and what follows an old answer may be
    /// old as well.
    pub needs_whole_list: bool,
    /// Nothing of the list is applied: it is older than the agent's highest version and names no backend.
    pub ignored: bool,
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

/// The states of all backends by the lists so far.
#[derive(Default)]
pub struct ListHistory {
    records: BTreeMap<BackendId, BackendRecord>,
    agents: BTreeMap<SocketAddr, AgentVersions>,
    last_cleanup: Time,
}

impl ListHistory {
    /// Takes a list and returns what to apply of it. Changes follow the version `base`.
    pub fn merge(
        &mut self,
        mut list: BackendList,
        base: Option<u64>,
        source: ListSource,
        now: Time,
    ) -> MergedList {
        list.remove_duplicates();
        let merged = match source {
            ListSource::Agent(agent) => self.merge_answer(list, base, agent, now),
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

    fn ready_count(&self) -> usize {
        self.records.values().filter(|record| record.withdrawal().is_none()).count()
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
                Condition::Ready => {
                    let named_by = agent.map(|agent| (agent, list.version)).into_iter().collect();
                    BackendState::Ready(ReadyBackend { entry: entry.clone(), named_by })
                }
                // The withdrawal was handed over as well.
                _ if agent.is_some() && record.is_some_and(|record| record.withdrawal().is_some()) => {
                    continue
                }
                condition => BackendState::Withdrawn(Withdrawal::new(condition, agent, list.version, now)),
            };
            self.insert(entry, state);
        }
        MergedList {
            list,
            order: ListOrder::Newer,
            withheld: Vec::new(),
            omissions_ignored: false,
            needs_whole_list: false,
            ignored: false,
        }
    }

    /// Ignores a list but for its version.
    fn ignore(&mut self, list: BackendList, context: &ListContext) -> MergedList {
        let order = context.order;
        let versions = self.record_version(context.agent, list.version, context.now);
        versions.record_answer(order, list.version, list.full, context.now);
        MergedList {
            list: BackendList { full: false, ..list },
            order,
            withheld: Vec::new(),
            omissions_ignored: true,
            needs_whole_list: false,
            ignored: true,
        }
    }

    fn merge_answer(
        &mut self,
        mut list: BackendList,
        base: Option<u64>,
        agent: SocketAddr,
        now: Time,
    ) -> MergedList {
        let context = ListContext::new(&list, base, agent, self.agents.get(&agent), now);
        // Guards against a discovery service that has lost its data: it starts again at a low version.
        if context.order == ListOrder::Older && list.full && list.entries.is_empty() {
            return self.ignore(list, &context);
        }
        let named: BTreeSet<_> = list.entries.iter().map(|entry| entry.listing.backend).collect();
        let (is_complete, ready_before, mut withheld) = (list.full, self.ready_count(), Vec::new());
        let entries = std::mem::take(&mut list.entries);
        list.entries = entries
            .into_iter()
            .filter_map(|entry| self.merge_entry(entry, &context, &mut withheld))
            .collect();
        let names_withheld = !withheld.is_empty();
        let omissions_ignored = list.full && !self.apply_omissions(&named, names_withheld, &context);
        list.full &= !omissions_ignored;
        self.confirm_unnamed(&named, &context);
        list.entries.extend(self.withdraw_unconfirmed(&named, &context));
        list.entries.extend(self.release_withheld(&context));
        let (version, order) = (list.version, context.order);
        self.record_version(agent, version, now).record_answer(order, version, is_complete, now);
        let withdrew_by_old_changes = context.goes_back && self.ready_count() < ready_before;
        let needs_whole_list = context.leads_past_highest || omissions_ignored || withdrew_by_old_changes;
        MergedList { list, order, withheld, omissions_ignored, needs_whole_list, ignored: false }
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
                self.insert(&entry, context.ready(&entry));
                return Some(entry);
            }
            None => self.insert_unlisted(&entry, context),
        };
        let restarted = entry.listed_start > record.latest_start && !context.may_have_ended(&entry);
        match &mut record.state {
            BackendState::Ready(known) if !restarted => {
                if entry.listed_start == known.entry.listed_start {
                    known.named_by.insert(context.agent, context.lowest_version(&known.named_by));
                }
                if context.keeps(&known.entry, &entry) {
                    return Some(known.entry.clone());
                }
                known.entry = entry.clone();
            }
            BackendState::Withdrawn(withdrawal) if !restarted && !withdrawal.is_lifted_by(context) => {
                withheld.push(withdrawal.withhold(&entry, context));
                (entry.listing.condition, entry.listed_start) = (withdrawal.condition, record.latest_start);
                return (withdrawal.condition == Condition::Draining).then_some(entry);
            }
            _ => record.state = context.ready(&entry),
        }
        record.latest_start = record.latest_start.max(entry.listed_start);
        Some(entry)
    }

    /// Merges an entry for a backend that drains or is gone.
    fn merge_withdrawn(&mut self, mut entry: BackendEntry, context: &ListContext) -> BackendEntry {
        let Some(record) = self.records.get_mut(&entry.listing.backend) else {
            let withdrawal = if context.order == ListOrder::Older && context.complete_at.is_some() {
                context.earlier_withdrawal(entry.listing.condition)
            } else {
                context.withdrawal(entry.listing.condition)
            };
            let record = self.insert(&entry, BackendState::Withdrawn(withdrawal));
            // Without a start time to compare with, only a later start than now is a newer one.
            record.latest_start = if entry.start_stated { entry.listed_start } else { Some(context.now) };
            return entry;
        };
        let of_earlier_process = entry.start_stated && entry.listed_start < record.latest_start;
        match &mut record.state {
            // The backend has restarted since.
            BackendState::Ready(known) if of_earlier_process && context.order != ListOrder::Newer => {
                return known.entry.clone();
            }
            BackendState::Ready(_) => {
                record.state = BackendState::Withdrawn(context.withdrawal(entry.listing.condition));
            }
            BackendState::Withdrawn(withdrawal)
                if of_earlier_process && context.order != ListOrder::Newer =>
            {
                entry.listing.condition = withdrawal.condition;
            }
            BackendState::Withdrawn(withdrawal) => {
                withdrawal.confirm(entry.listing.condition, context);
                withdrawal.omitted = false;
                entry.listing.condition = withdrawal.condition;
            }
        }
        record.latest_start = record.latest_start.max(entry.listed_start);
        entry.listed_start = record.latest_start;
        entry
    }

    /// Withdraws all backends that a whole list does not name. Returns `false` without a change if the list,
    /// which is not newer, names no ready backend but such as stay withdrawn.
    fn apply_omissions(
        &mut self,
        named: &BTreeSet<BackendId>,
        names_withheld: bool,
        context: &ListContext,
    ) -> bool {
        let is_ready = |record: &BackendRecord| matches!(record.state, BackendState::Ready(_));
        let ready_named = self.records.iter().any(|(id, record)| is_ready(record) && named.contains(id));
        let ready_omitted = self.records.iter().any(|(id, record)| is_ready(record) && !named.contains(id));
        if context.order != ListOrder::Newer && names_withheld && !ready_named && ready_omitted {
            return false;
        }
        for (_, record) in self.records.iter_mut().filter(|(id, _)| !named.contains(id)) {
            match &mut record.state {
                BackendState::Ready(known) => {
                    let withdrawal = context.omission(known, record.latest_start);
                    record.state = BackendState::Withdrawn(withdrawal);
                }
                BackendState::Withdrawn(withdrawal) => {
                    withdrawal.confirm(Condition::Gone, context);
                }
            }
        }
        true
    }

    /// Takes the absence of withdrawn backends from an answer as a confirmation, where the answer is recent
    /// enough to know of the withdrawal.
    fn confirm_unnamed(&mut self, named: &BTreeSet<BackendId>, context: &ListContext) {
        for (_, record) in self.records.iter_mut().filter(|(id, _)| !named.contains(id)) {
            let BackendState::Withdrawn(withdrawal) = &mut record.state else { continue };
            if withdrawal.agent != Some(context.agent) {
                continue;
            }
            let knows_withdrawal = context.version >= withdrawal.version;
            // What changes don't name is as it was at their base.
            let was_out_at_base = Some(withdrawal.confirmed_in) == context.base;
            // The same holds for a backend that the base named as ready all the same.
            match &mut withdrawal.withheld {
                Some(withheld) if Some(withheld.version) == context.base => {
                    withheld.version = context.version
                }
                withheld if knows_withdrawal => *withheld = None,
                _ => {}
            }
            if was_out_at_base {
                withdrawal.confirmed_in = context.version;
            }
            let is_confirmed = was_out_at_base || context.leads_past_highest;
            if is_confirmed || knows_withdrawal && withdrawal.origin == Origin::Current {
                withdrawal.doubtful |= knows_withdrawal && context.leads_past_highest;
                withdrawal.version = withdrawal.version.max(context.version);
            }
        }
    }

    /// Withdraws ready backends that joined after the base of changes which lead past the highest version, and
    /// which these don't name: they may be gone again. The whole list that follows decides. Returns their entries.
    fn withdraw_unconfirmed(
        &mut self,
        named: &BTreeSet<BackendId>,
        context: &ListContext,
    ) -> Vec<BackendEntry> {
        let mut withdrawn = Vec::new();
        if !context.leads_past_highest {
            return withdrawn;
        }
        for (_, record) in self.records.iter_mut().filter(|(id, _)| !named.contains(id)) {
            let BackendState::Ready(known) = &record.state else { continue };
            let joined_after_base =
                known.named_by.get(&context.agent).is_some_and(|version| Some(*version) > context.base);
            if joined_after_base {
                let mut entry = known.entry.clone();
                entry.listing.condition = Condition::Gone;
                withdrawn.push(entry);
                record.state = BackendState::Withdrawn(Withdrawal {
                    omitted: true,
                    doubtful: true,
                    ..context.withdrawal(Condition::Gone)
                });
            }
        }
        withdrawn
    }

    /// Ends the withdrawals of backends that lists have named as ready for long enough; returns their entries.
    fn release_withheld(&mut self, context: &ListContext) -> Vec<BackendEntry> {
        let mut released = Vec::new();
        for record in self.records.values_mut() {
            let BackendState::Withdrawn(withdrawal) = &mut record.state else { continue };
            let is_due = |withheld: &mut Withheld| withheld.since + MAX_WITHHELD_TIME <= context.now;
            let Some(withheld) = withdrawal.withheld.take_if(is_due) else { continue };
            record.state = context.ready(&withheld.entry);
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
        let withdrawal = context.earlier_withdrawal(Condition::Gone);
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
