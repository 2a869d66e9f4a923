//! Start times of backends on the proxy's own clock. Lists carry start times by a wall clock, and wall clocks
//! step, by an hour or more. Each listed time is therefore checked against when the proxy learned of the
//! backend; where the two disagree, the later start counts, and the backend is warmed up again.

use std::collections::BTreeMap;

use sparlug::id::BackendId;
use sparlug::time::{Span, Time};

use crate::listing::{BackendEntry, BackendList};

/// A backend that is new to the list may have started this long before the last list without it. An earlier
/// start is not believed.
const MAX_TIME_UNLISTED: Span = Span::from_millis(60_000);
/// Number of backends that are remembered although they are no longer listed.
const MAX_GONE_BACKENDS: usize = 4_096;

/// What is known of the process of a backend.
struct StartRecord {
    listed_start: Option<Time>,
    started: Option<Time>,
    /// When a list last contained it.
    last_listed: Time,
}

/// Start times of the backends on past lists.
#[derive(Default)]
pub struct StartTimes {
    records: BTreeMap<BackendId, StartRecord>,
    /// When the last list arrived.
    last_list: Option<Time>,
    /// Number of start times that were corrected.
    pub corrected: u64,
}

impl StartTimes {
    /// Replaces the listed start time of each process by that on the proxy's own clock.
    pub fn correct(&mut self, list: &mut BackendList, now: Time) {
        for entry in &mut list.entries {
            let listed_start = entry.listed_start;
            let started = self.started(entry, now);
            if let (Some(listed_start), Some(started)) = (listed_start, started) {
                let differs =
                    listed_start.since(started).max(started.since(listed_start)) > Span::from_millis(1_000);
                let is_new = self
                    .records
                    .get(&entry.listing.backend)
                    .is_none_or(|record| record.listed_start != Some(listed_start));
                self.corrected += u64::from(differs && is_new);
            }
            entry.listing.started = started;
            self.records
                .insert(entry.listing.backend, StartRecord { listed_start, started, last_listed: now });
        }
        self.last_list = Some(now);
        self.forget(list.entries.len());
    }

    /// Does the same without a record of the list.
    pub fn estimate(&self, list: &mut BackendList, now: Time) {
        for entry in &mut list.entries {
            entry.listing.started = self.started(entry, now);
        }
    }

    /// When the process of an entry started, on the proxy's own clock.
    fn started(&self, entry: &BackendEntry, now: Time) -> Option<Time> {
        match self.records.get(&entry.listing.backend) {
            Some(record) if record.listed_start == entry.listed_start => record.started,
            record => {
                let earliest = self.earliest(record, entry.listed_start);
                entry.listed_start.map(|listed_start| listed_start.max(earliest).min(now))
            }
        }
    }

    /// The earliest time at which a process with a new listed start can have started.
    fn earliest(&self, record: Option<&StartRecord>, listed_start: Option<Time>) -> Time {
        match (record, self.last_list, listed_start) {
            // The earlier process still ran when a list last contained it.
            (Some(record), _, _) => record.last_listed,
            (None, Some(last_list), Some(listed_start)) if listed_start + MAX_TIME_UNLISTED < last_list => {
                last_list
            }
            _ => Time::default(),
        }
    }

    /// Forgets the backends that were listed longest ago, as many as are too many.
    fn forget(&mut self, listed_count: usize) {
        let max_records = 2 * listed_count + MAX_GONE_BACKENDS;
        if self.records.len() <= max_records {
            return;
        }
        let mut last_listed: Vec<Time> = self.records.values().map(|record| record.last_listed).collect();
        last_listed.sort_unstable();
        let oldest = last_listed[last_listed.len() - max_records];
        self.records.retain(|_, record| record.last_listed >= oldest);
    }
}
