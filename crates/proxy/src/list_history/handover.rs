//! The encoding of the list history for the process that replaces this one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::event::Condition;
use sparlug::time::{Span, Time};

use super::{AgentVersions, BackendRecord, BackendState, ListHistory, Origin, Withdrawal};
use crate::listing::{backend_id, BackendEntry};

/// The most withdrawals, latest first, and versions of each agent that are handed over: the message is bounded.
const MAX_WITHDRAWALS: usize = 8_192;
const MAX_VERSIONS: usize = 4_096;

/// The withdrawn backends, and the versions of all agents. Ready backends are part of the list. Times are ages,
/// because each process has a clock of its own.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverHistory {
    pub withdrawn: Vec<HandoverWithdrawal>,
    pub agents: Vec<HandoverAgent>,
}

/// A withdrawn backend.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverWithdrawal {
    host: String,
    draining: bool,
    started_ms: Option<f64>,
    agent: Option<SocketAddr>,
    version: u64,
    omitted: bool,
    origin: Origin,
    since_ms: f64,
    age_ms: f64,
}

/// The versions that an agent has sent.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverAgent {
    agent: SocketAddr,
    highest: u64,
    /// Versions with the time since each first arrived.
    received: Vec<(u64, f64)>,
    age_ms: f64,
}

impl ListHistory {
    pub fn export(&self, now: Time) -> HandoverHistory {
        let mut withdrawn: Vec<_> =
            self.records.values().filter_map(|record| Some((record, record.withdrawal()?))).collect();
        withdrawn.sort_by_key(|(_, withdrawal)| std::cmp::Reverse(withdrawal.confirmed_at));
        let withdrawn =
            withdrawn.into_iter().take(MAX_WITHDRAWALS).map(|(record, withdrawal)| HandoverWithdrawal {
                host: record.host.clone(),
                draining: withdrawal.condition == Condition::Draining,
                started_ms: record.latest_start.map(|start| start.since(Time::ORIGIN).ms()),
                agent: withdrawal.agent,
                version: withdrawal.version,
                omitted: withdrawal.omitted,
                origin: withdrawal.origin,
                since_ms: now.since(withdrawal.since).ms(),
                age_ms: now.since(withdrawal.confirmed_at).ms(),
            });
        let agents = self.agents.iter().map(|(agent, versions)| HandoverAgent {
            agent: *agent,
            highest: versions.highest,
            received: versions
                .received
                .iter()
                .rev()
                .take(MAX_VERSIONS)
                .map(|(version, received_at)| (*version, now.since(*received_at).ms()))
                .collect(),
            age_ms: now.since(versions.last_answer).ms(),
        });
        HandoverHistory { withdrawn: withdrawn.collect(), agents: agents.collect() }
    }

    /// The withdrawals that lists have reported or confirmed since a point in time.
    pub fn export_withdrawals(&self, since: Time, now: Time) -> HandoverHistory {
        let mut history = self.export(now);
        history.withdrawn.retain(|withdrawn| now - Span::from_ms(withdrawn.age_ms) >= since);
        history.agents.clear();
        history
    }

    /// Starts with the history of the process that this one replaces.
    pub fn import(&mut self, history: HandoverHistory, now: Time) {
        for withdrawn in history.withdrawn {
            self.records.insert(backend_id(&withdrawn.host), withdrawn.into_record(now));
        }
        for agent in history.agents {
            let received = agent.received.iter();
            let versions = AgentVersions {
                highest: agent.highest,
                received: received.map(|(version, age)| (*version, now - Span::from_ms(*age))).collect(),
                // The backends that its lists named are known only if its list is handed over as well.
                complete_at: None,
                restarted_at: None,
                last_answer: now - Span::from_ms(agent.age_ms),
            };
            self.agents.insert(agent.agent, versions);
        }
    }

    /// Takes over withdrawals that the other process of a handover has heard of. Returns the entries to apply.
    pub fn import_withdrawals(&mut self, history: HandoverHistory, now: Time) -> Vec<BackendEntry> {
        let mut changes = Vec::new();
        for withdrawn in history.withdrawn {
            let (id, started) = (backend_id(&withdrawn.host), withdrawn.started_ms.map(Time::from_ms));
            let versions = withdrawn.agent.and_then(|agent| self.agents.get(&agent));
            let is_old = withdrawn.origin != Origin::Restart
                && versions.is_some_and(|versions| withdrawn.version < versions.highest);
            match self.records.get(&id).map(|record| (&record.state, record.latest_start)) {
                Some((BackendState::Withdrawn(_), _)) => continue,
                Some((BackendState::Ready(_), latest_start)) if is_old || started < latest_start => continue,
                Some((BackendState::Ready(known), _)) => {
                    let mut entry = known.entry.clone();
                    entry.listing.condition = withdrawn.condition();
                    changes.push(entry);
                }
                None => {}
            }
            self.records.insert(id, withdrawn.into_record(now));
        }
        changes
    }
}

impl HandoverWithdrawal {
    fn condition(&self) -> Condition {
        if self.draining {
            Condition::Draining
        } else {
            Condition::Gone
        }
    }

    fn into_record(self, now: Time) -> BackendRecord {
        let confirmed_at = now - Span::from_ms(self.age_ms);
        let withdrawal = Withdrawal {
            omitted: self.omitted,
            origin: self.origin,
            since: now - Span::from_ms(self.since_ms),
            ..Withdrawal::new(self.condition(), self.agent, self.version, confirmed_at)
        };
        BackendRecord {
            latest_start: self.started_ms.map(Time::from_ms),
            state: BackendState::Withdrawn(withdrawal),
            host: self.host,
        }
    }
}
