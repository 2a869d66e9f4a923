//! The withdrawal of a backend by a list, and which later lists lift it.

use std::net::SocketAddr;

use sparlug::event::Condition;
use sparlug::time::Time;

use super::{ListContext, ListOrder};
use crate::listing::BackendEntry;

/// A backend that drains or is gone, by some list.
pub struct Withdrawal {
    /// Draining or gone.
    pub condition: Condition,
    /// The agent that last reported it; `None` for the configuration file.
    pub agent: Option<SocketAddr>,
    /// The highest version in which that agent reported it.
    pub version: u64,
    /// A whole list omitted the backend, without naming it as draining or gone.
    pub omitted: bool,
    /// A list of a version that was below the highest one and had not arrived before withdrew it: the agent has
    /// started again at a low version. Higher versions that arrived earlier are from before the withdrawal.
    pub is_news: bool,
    pub since: Time,
    /// When a list last confirmed it.
    pub confirmed_at: Time,
    /// The entry of lists that name the backend as ready all the same.
    pub withheld: Option<Withheld>,
}

/// An entry for a ready backend that is not applied.
pub struct Withheld {
    pub entry: BackendEntry,
    /// Since when lists have named the backend as ready, without one that confirms the withdrawal.
    pub since: Time,
}

impl Withdrawal {
    pub fn new(condition: Condition, agent: Option<SocketAddr>, version: u64, now: Time) -> Withdrawal {
        Withdrawal {
            condition,
            agent,
            version,
            omitted: false,
            is_news: false,
            since: now,
            confirmed_at: now,
            withheld: None,
        }
    }

    /// Whether a list that names the backend as ready, at the same start time, is newer than the withdrawal.
    pub fn is_lifted_by(&self, list: &ListContext) -> bool {
        let Some(withdrawn_by) = self.agent else { return true };
        if withdrawn_by != list.agent {
            // Versions of two agents can't be compared. An omission says little where another agent, which has
            // learned something since, names the backend.
            return self.omitted && list.order == ListOrder::Newer;
        }
        let predates = list.received_at.is_some_and(|received_at| received_at < self.since);
        list.version > self.version && !(self.is_news && predates)
    }

    /// Takes another list's report of the withdrawal.
    pub fn confirm(&mut self, condition: Condition, agent: SocketAddr, version: u64, now: Time) {
        if self.agent == Some(agent) {
            self.version = self.version.max(version);
        } else {
            (self.agent, self.version, self.is_news) = (Some(agent), version, false);
        }
        if condition == Condition::Gone {
            self.condition = Condition::Gone;
        }
        (self.confirmed_at, self.withheld) = (now, None);
    }
}
