//! The proxy's clock and its queue of deadlines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sparlug::time::{Span, Time};

/// Unix time at the start of the process, advanced by a monotonic clock.
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: Time::from_ms(unix.as_secs_f64() * 1000.0) }
    }

    pub fn now(&self) -> Time {
        self.unix + Span::from_ms(self.start.elapsed().as_secs_f64() * 1000.0)
    }
}

/// Identifies a deadline, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineId(Time, u64);

impl DeadlineId {
    /// When it is due.
    pub fn due_at(self) -> Time {
        self.0
    }
}

/// Pending deadlines, ordered by time and, where times are equal, by the order in which they were set.
pub struct Deadlines<T> {
    pending: BTreeMap<DeadlineId, T>,
    sequence: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Deadlines<T> {
        Deadlines { pending: BTreeMap::new(), sequence: 0 }
    }
}

impl<T> Deadlines<T> {
    /// Number of pending deadlines.
    pub fn count(&self) -> usize {
        self.pending.len()
    }

    pub fn set(&mut self, at: Time, event: T) -> DeadlineId {
        self.sequence += 1;
        let id = DeadlineId(at, self.sequence);
        self.pending.insert(id, event);
        id
    }

    pub fn cancel(&mut self, id: Option<DeadlineId>) {
        if let Some(id) = id {
            self.pending.remove(&id);
        }
    }

    /// Removes and returns the next event that is due at `now`, if its sequence number is at most
    /// `last_sequence`.
    pub fn pop_due(&mut self, now: Time, last_sequence: u64) -> Option<T> {
        let first = self.pending.first_entry().filter(|first| first.key().0 <= now)?;
        if first.key().1 > last_sequence {
            return None;
        }
        Some(first.remove())
    }

    /// Sequence number of the deadline set last. Passed to `pop_due`, it leaves deadlines that are set
    /// meanwhile to the next iteration of the event loop.
    pub fn last_sequence(&self) -> u64 {
        self.sequence
    }

    /// Time until the next deadline.
    pub fn time_to_next(&self, now: Time) -> Option<Duration> {
        let next = self.pending.first_key_value()?.0 .0;
        Some(Duration::from_secs_f64(next.since(now).ms() / 1000.0))
    }
}
