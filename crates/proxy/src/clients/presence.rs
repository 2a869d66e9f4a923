//! Whether a client is still there. The end of its connection is hidden as long as bytes that came before it are unread:
//! the kernel passes on a close only behind them.

use sparlug::time::{Span, Time};

/// An attempt for a client whose close would be hidden begins within this time after it was last known to be there.
const MAX_TIME_UNSEEN: Span = Span::from_millis(50);
/// A client that has gone answers the first bytes of a response with a reset, within this time.
const RESET_WAIT: Span = Span::from_millis(20);

/// What is known of a client's presence.
pub(super) struct Presence {
    /// When everything that it had sent was known to be read, and no end behind it.
    seen_at: Time,
    /// When the last response was written.
    responded_at: Option<Time>,
}

impl Presence {
    /// A client that connected at this time or later.
    pub(super) fn new(connected_at: Time) -> Presence {
        Presence { seen_at: connected_at, responded_at: None }
    }

    /// Its connection was open at this time, without anything unread.
    pub(super) fn record_seen(&mut self, at: Time) {
        self.seen_at = self.seen_at.max(at);
    }

    /// The last byte of a response was written to its connection.
    pub(super) fn record_response(&mut self, at: Time) {
        self.responded_at = Some(at);
    }

    /// Until when a reset may come that tells that the client had gone before its last response; `None` if it was
    /// there then, because it has `acknowledged` all or the time for a reset is over.
    pub(super) fn reset_awaited_until(&self, acknowledged: bool, now: Time) -> Option<Time> {
        let until = self.responded_at? + RESET_WAIT;
        (!acknowledged && now < until).then_some(until)
    }

    /// Whether the client may have gone so long ago that no attempt may begin for it, if its close would be hidden.
    pub(super) fn is_stale(&self, acknowledged: bool, now: Time) -> bool {
        let responded_at =
            self.responded_at.filter(|_| self.reset_awaited_until(acknowledged, now).is_none());
        now > self.seen_at.max(responded_at.unwrap_or(self.seen_at)) + MAX_TIME_UNSEEN
    }
}

#[cfg(test)]
mod tests;
