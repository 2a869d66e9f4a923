//! The withdrawal of a backend by a list, and which later lists lift it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::event::Condition;
use sparlug::time::Time;

use super::{ListContext, ListOrder, WithheldBackend};
use crate::listing::BackendEntry;

/// How the list that withdrew a backend relates to those before it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Origin {
    /// Its version was the highest one of its agent.
    Current,
    /// Its version had arrived before, or was from before the backend joined: it may be out of date.
    Outdated,
    /// Its version was below the highest one and had not arrived before: the agent has started again at a low
    /// version. Higher versions that arrived earlier are from before the withdrawal.
    Restart,
}

/// A backend that drains or is gone, by some list.
pub struct Withdrawal {
    /// Draining or gone.
    pub condition: Condition,
    /// The agent that last reported it; `None` for the configuration file.
    pub agent: Option<SocketAddr>,
    /// The highest version in which that agent reported it.
    pub version: u64,
    /// The version in which it last reported it.
    pub confirmed_in: u64,
    /// A whole list omitted the backend, of an agent that never named it: that agent may know only what was before
    /// the backend joined. The omission of one that an agent has named is as good as its report that it is gone.
    pub omitted: bool,
    /// It follows from the absence in changes that may not be complete. The whole list of the same version
    /// decides.
    pub doubtful: bool,
    pub origin: Origin,
    pub since: Time,
    /// When a list last confirmed it.
    pub confirmed_at: Time,
    /// The entry of lists that name the backend as ready all the same.
    pub withheld: Option<Withheld>,
}

/// An entry for a ready backend that is not applied.
pub struct Withheld {
    pub entry: BackendEntry,
    /// The version of the latest list that names it so, or that follows one that did.
    pub version: u64,
    /// Since when lists have named the backend as ready, without one that confirms the withdrawal.
    pub since: Time,
}

impl Withdrawal {
    pub fn new(condition: Condition, agent: Option<SocketAddr>, version: u64, now: Time) -> Withdrawal {
        Withdrawal {
            condition,
            agent,
            version,
            confirmed_in: version,
            omitted: false,
            doubtful: false,
            origin: Origin::Current,
            since: now,
            confirmed_at: now,
            withheld: None,
        }
    }

    /// Whether a list that names the backend as ready, at the same start time, is newer than the withdrawal.
    pub fn is_lifted_by(&self, list: &ListContext) -> bool {
        let Some(withdrawn_by) = self.agent else { return true };
        if withdrawn_by != list.agent {
            // Versions of two agents can't be compared. The omission by an agent that never named the backend says
            // little where another agent, which has learned something since, names it.
            return self.omitted && list.order == ListOrder::Newer;
        }
        let predates = list.received_at.is_some_and(|received_at| received_at < self.since);
        let is_newer =
            list.version > self.version || self.doubtful && list.whole && list.version == self.version;
        is_newer && !(self.origin == Origin::Restart && predates)
    }

    /// Keeps the entry of a list that names the backend as ready all the same.
    pub fn withhold(&mut self, entry: &BackendEntry, list: &ListContext) -> WithheldBackend {
        let since = self.withheld.as_ref().map(|withheld| withheld.since);
        self.withheld =
            Some(Withheld { entry: entry.clone(), version: list.version, since: since.unwrap_or(list.now) });
        WithheldBackend { host: entry.host.clone(), withdrawn_at: self.version, first: since.is_none() }
    }

    /// Takes another list's report of the withdrawal.
    pub fn confirm(&mut self, condition: Condition, list: &ListContext) {
        let is_same_agent = self.agent == Some(list.agent);
        self.doubtful &= is_same_agent && list.version < self.version;
        self.version = if is_same_agent { self.version.max(list.version) } else { list.version };
        if !is_same_agent || list.order != ListOrder::Older {
            self.origin = Origin::Current;
        }
        // An older list may be from before the backend was gone.
        if condition == Condition::Gone || list.order == ListOrder::Newer {
            self.condition = condition;
        }
        (self.agent, self.confirmed_in, self.confirmed_at) = (Some(list.agent), list.version, list.now);
        self.withheld = None;
    }
}
