//! The clock, and all deadlines in one ordered structure.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sparlug::time::{Span, Time};

/// Unix time as it was at the start, carried on by a clock that never steps.
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

/// The name of one deadline, to call it off by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineId(Time, u64);

/// What is due, in order of time, and in the order it was set where times are the same.
pub struct Deadlines<T> {
    waiting: BTreeMap<DeadlineId, T>,
    set: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Deadlines<T> {
        Deadlines { waiting: BTreeMap::new(), set: 0 }
    }
}

impl<T> Deadlines<T> {
    pub fn set(&mut self, at: Time, what: T) -> DeadlineId {
        self.set += 1;
        let id = DeadlineId(at, self.set);
        self.waiting.insert(id, what);
        id
    }

    pub fn cancel(&mut self, id: Option<DeadlineId>) {
        if let Some(id) = id {
            self.waiting.remove(&id);
        }
    }

    /// The next that is due at `now`, among those set before `before`.
    pub fn pop_due(&mut self, now: Time, before: u64) -> Option<T> {
        let first = self.waiting.first_entry().filter(|first| first.key().0 <= now)?;
        if first.key().1 > before {
            return None;
        }
        Some(first.remove())
    }

    /// How many were ever set: what is set by a deadline that is due waits for the next round.
    pub fn last_sequence(&self) -> u64 {
        self.set
    }

    /// How long until the next one.
    pub fn time_to_next(&self, now: Time) -> Option<Duration> {
        let next = self.waiting.first_key_value()?.0 .0;
        Some(Duration::from_secs_f64(next.since(now).ms() / 1000.0))
    }
}
