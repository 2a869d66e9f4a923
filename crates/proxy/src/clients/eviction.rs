//! The order in which connections are closed for new ones when the limit is reached.

use std::collections::BTreeSet;

use sparlug::time::{Span, Time};

use crate::shared::ClientSlot;

/// Clients send soon after they have connected, and what they send comes without long gaps; one that is silent for this
/// long makes room for others. Requests that wait for room count from their arrival here, so that their wait has to be
/// shorter than the tolerance of the times that backends are told.
const MIN_SILENT_AGE: Span = Span::from_millis(100);
/// How long new connections wait before age protects only those in use.
const MAX_WAIT: Span = Span::from_millis(50);
/// Since the last response, before a connection in use is closed.
const MIN_IDLE_AGE: Span = Span::from_millis(2_000);

/// The kinds of connections that may be closed: first lingering ones, then those without a request, last those with
/// an incomplete one; of each the one that was not used for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionRank {
    /// The last response is written.
    Lingering,
    /// The client has not sent anything.
    Silent,
    /// Between two requests.
    Idle,
    /// A request has begun to arrive.
    Incomplete,
}

const RANKS: usize = 4;

impl EvictionRank {
    /// How long a connection must not have been used before it is closed: a younger one is likely about to send.
    fn min_age(self) -> Option<Span> {
        match self {
            EvictionRank::Lingering => None,
            EvictionRank::Silent | EvictionRank::Incomplete => Some(MIN_SILENT_AGE),
            EvictionRank::Idle => Some(MIN_IDLE_AGE),
        }
    }
}

/// The connections without a pending response.
#[derive(Default)]
pub(super) struct EvictionOrder {
    by_rank: [BTreeSet<(Time, ClientSlot)>; RANKS],
}

impl EvictionOrder {
    /// Replaces the rank and time of last use of a connection.
    pub(super) fn update(
        &mut self,
        slot: ClientSlot,
        previous: Option<(EvictionRank, Time)>,
        current: Option<(EvictionRank, Time)>,
    ) {
        if previous == current {
            return;
        }
        if let Some((rank, last_used)) = previous {
            self.by_rank[rank as usize].remove(&(last_used, slot));
        }
        if let Some((rank, last_used)) = current {
            self.by_rank[rank as usize].insert((last_used, slot));
        }
    }

    pub(super) fn count(&self, rank: EvictionRank) -> usize {
        self.by_rank[rank as usize].len()
    }

    /// The connection that is closed next, if any may be. Where new connections have waited since `waiting_since` for long,
    /// the one that was silent for longest goes, whatever its age.
    pub(super) fn candidate(&self, now: Time, waiting_since: Option<Time>) -> Option<ClientSlot> {
        let is_urgent = waiting_since.is_some_and(|since| now > since + MAX_WAIT);
        let first = |rank: EvictionRank| {
            let (last_used, slot) = self.by_rank[rank as usize].first()?;
            let min_age = rank.min_age().filter(|_| !is_urgent || rank == EvictionRank::Idle);
            min_age.is_none_or(|age| now > *last_used + age).then_some((*last_used, *slot))
        };
        let unused = [EvictionRank::Silent, EvictionRank::Idle].into_iter().filter_map(first).min();
        let next = first(EvictionRank::Lingering).or(unused).or_else(|| first(EvictionRank::Incomplete));
        next.map(|(_, slot)| slot)
    }
}
