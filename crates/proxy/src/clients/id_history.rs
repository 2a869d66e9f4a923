//! The ids of at-most-once requests that were accepted lately. A client that left may send its request again under the
//! same id while the first attempt is still running, or after it has run; that request must not run twice.

use std::collections::{BTreeMap, VecDeque};

use sparlug::time::{Span, Time};

/// How long an id is remembered, well beyond any request's time.
const RETENTION: Span = Span::from_millis(60_000);
/// Limit on remembered ids, so that a flood of them cannot fill the memory.
const MAX_IDS: usize = 32_768;

/// The hash of a request's id, which is the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdHash(pub u64);

impl IdHash {
    pub fn of(id: &str) -> IdHash {
        IdHash(crate::http::hash_key(id))
    }
}

/// Ids that may have run, by their hashes.
#[derive(Default)]
pub struct IdHistory {
    accepted_at: BTreeMap<IdHash, Time>,
    by_age: VecDeque<(Time, IdHash)>,
}

impl IdHistory {
    pub fn contains(&self, id: IdHash) -> bool {
        self.accepted_at.contains_key(&id)
    }

    /// Remembers an id, and forgets those that are old or too many.
    pub fn insert(&mut self, id: IdHash, now: Time) {
        self.accepted_at.insert(id, now);
        self.by_age.push_back((now, id));
        while let Some((at, oldest)) = self.by_age.front().copied() {
            if self.by_age.len() <= MAX_IDS && now.since(at) < RETENTION {
                return;
            }
            self.by_age.pop_front();
            if self.accepted_at.get(&oldest) == Some(&at) {
                self.accepted_at.remove(&oldest);
            }
        }
    }

    /// Forgets an id whose request has not run.
    pub fn remove(&mut self, id: IdHash) {
        self.accepted_at.remove(&id);
    }

    /// All remembered ids, for the other process of a handover.
    pub fn export(&self) -> Vec<u64> {
        self.accepted_at.keys().map(|id| id.0).collect()
    }
}
