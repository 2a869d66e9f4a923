//! The requests for the list that have no response yet, each on a connection of its own.

use mio::Registry;
use sparlug::time::{Span, Time};

use super::connection::ListConnection;
use super::pacing::SentRequest;

/// How long a request is kept once a later one has its response.
const OVERTAKEN_RETENTION: Span = Span::from_millis(10_000);

/// A request without a response.
pub struct PendingRequest {
    pub connection: ListConnection,
    /// Numbers the requests in the order in which they were sent.
    pub sequence: u64,
    /// The version that it names; `None` requests the full list.
    pub version: Option<u64>,
    pub sent: SentRequest,
    /// Whether the connection had carried a response before.
    pub reused: bool,
    /// How many others were awaited when it was sent.
    pub ahead: usize,
    /// Whether it has been counted as failed, because no response came in time.
    pub counted_failed: bool,
}

/// The pending requests, the oldest first.
pub struct PendingRequests {
    requests: Vec<PendingRequest>,
    /// The most requests that are kept.
    limit: usize,
}

impl PendingRequests {
    pub fn new(limit: usize) -> PendingRequests {
        PendingRequests { requests: Vec::new(), limit }
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &PendingRequest> {
        self.requests.iter()
    }

    pub fn newest_mut(&mut self) -> Option<&mut PendingRequest> {
        self.requests.last_mut()
    }

    pub fn with_connection(&mut self, connection_number: u32) -> Option<&mut PendingRequest> {
        self.requests.iter_mut().find(|request| request.connection.number == connection_number)
    }

    /// Removes the request on a connection.
    pub fn remove(&mut self, connection_number: u32) -> Option<PendingRequest> {
        let has_number = |request: &PendingRequest| request.connection.number == connection_number;
        let index = self.requests.iter().position(has_number)?;
        Some(self.requests.remove(index))
    }

    /// Adds the newest request.
    pub fn push(&mut self, request: PendingRequest) {
        self.requests.push(request);
    }

    /// Gives up requests that were overtaken long ago, and one that the limit leaves no room for. Returns how many.
    pub fn make_room(&mut self, last_answered: u64, now: Time, registry: &Registry) -> usize {
        let count_before = self.requests.len();
        let is_stale = |request: &PendingRequest| {
            request.sequence < last_answered && now >= request.sent.at + OVERTAKEN_RETENTION
        };
        while let Some(index) = self.requests.iter().position(is_stale) {
            self.requests.remove(index).connection.close(registry);
        }
        if self.requests.len() >= self.limit {
            let sent_at: Vec<_> = self.requests.iter().map(|request| request.sent.at).collect();
            self.requests.remove(most_redundant(&sent_at, now)).connection.close(registry);
        }
        count_before - self.requests.len()
    }

    /// Closes all connections.
    pub fn close_all(&mut self, registry: &Registry) {
        for request in self.requests.drain(..) {
            request.connection.close(registry);
        }
    }
}

/// The request whose neighbours are closest to each other in proportion to its age. Without it the ages are still
/// spread from now to the start of an outage, so that a response of any delay is received. The oldest and the newest
/// one are kept.
fn most_redundant(sent_at: &[Time], now: Time) -> usize {
    let gap = |index: usize| {
        let gap = sent_at[index + 1].since(sent_at[index - 1]).ms();
        gap / now.since(sent_at[index]).ms().max(1.0)
    };
    let inner = 1..sent_at.len().saturating_sub(1);
    inner.min_by(|one, other| gap(*one).total_cmp(&gap(*other))).unwrap_or(0)
}

#[cfg(test)]
mod tests;
