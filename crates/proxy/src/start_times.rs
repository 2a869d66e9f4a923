//! When backends started, on the proxy's own clock. Lists bear the wall clock's time of a start, and wall clocks step, by
//! an hour or more: a stamp is held against what was heard of the backend and when, and where the two disagree the
//! later start counts, after which the backend is warmed up anew.

use std::collections::BTreeMap;

use sparlug::id::BackendId;
use sparlug::time::{Span, Time};

use crate::listing::BackendList;

/// By how much the start of a backend that is new to the list may precede the last list without it.
const UNLISTED_MOST: Span = Span::from_millis(60_000);
/// Backends that have gone and are remembered all the same.
const GONE_MOST: usize = 4_096;

/// What is known of a backend's process.
struct Known {
    stamp: Option<Time>,
    started: Option<Time>,
    /// When a list last named it.
    named: Time,
}

#[derive(Default)]
pub struct StartTimes {
    known: BTreeMap<BackendId, Known>,
    /// When the last list came.
    listed: Option<Time>,
    /// Starts that were judged otherwise than their stamps say.
    pub corrected: u64,
}

impl StartTimes {
    /// Puts the start of each process on the proxy's own clock, in the place of its stamp.
    pub fn correct(&mut self, list: &mut BackendList, now: Time) {
        for entry in &mut list.entries {
            let stamp = entry.listed_start;
            let started = match self.known.get(&entry.listing.backend) {
                Some(known) if known.stamp == stamp => known.started,
                known => {
                    let earliest = self.earliest(known, stamp);
                    stamp.map(|stamp| stamp.max(earliest).min(now))
                }
            };
            if let (Some(stamp), Some(started)) = (stamp, started) {
                let other = stamp.since(started).max(started.since(stamp)) > Span::from_millis(1_000);
                let anew =
                    self.known.get(&entry.listing.backend).is_none_or(|known| known.stamp != Some(stamp));
                self.corrected += u64::from(other && anew);
            }
            entry.listing.started = started;
            self.known.insert(entry.listing.backend, Known { stamp, started, named: now });
        }
        self.listed = Some(now);
        self.forget(list.entries.len());
    }

    /// The earliest that a process with a new stamp can have started.
    fn earliest(&self, known: Option<&Known>, stamp: Option<Time>) -> Time {
        match (known, self.listed, stamp) {
            // Its earlier process was there when it was last named.
            (Some(known), _, _) => known.named,
            (None, Some(listed), Some(stamp)) if stamp + UNLISTED_MOST < listed => listed,
            _ => Time::default(),
        }
    }

    /// Forgets those that were named longest ago, all that are too many at once.
    fn forget(&mut self, listed: usize) {
        let kept = 2 * listed + GONE_MOST;
        if self.known.len() <= kept {
            return;
        }
        let mut named: Vec<Time> = self.known.values().map(|known| known.named).collect();
        named.sort_unstable();
        let oldest = named[named.len() - kept];
        self.known.retain(|_, known| known.named >= oldest);
    }
}
