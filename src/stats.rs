//! Plain measures over what was observed; they decide nothing.

use std::collections::{BTreeMap, VecDeque};

use crate::peer_message::MAX_KEYS;
use crate::time::{Span, Time};

/// An exponentially smoothed mean, whose first value is taken whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean(Option<f64>);

impl Mean {
    pub fn of(value: f64) -> Mean {
        Mean(Some(value))
    }

    pub fn add(&mut self, value: f64, weight: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + (value - mean) * weight));
    }

    pub fn or(&self, none: f64) -> f64 {
        self.0.unwrap_or(none)
    }

    pub fn known(&self) -> Option<f64> {
        self.0
    }
}

/// Part of a failure under which it is forgotten.
const TRACE: f64 = 0.05;

/// How often something was judged of late, and how often it failed; both fade.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    judged: f64,
    failed: f64,
}

impl Tally {
    pub fn add(&mut self, failed: f64) {
        self.judged += 1.0;
        self.failed += failed;
    }

    /// What has faded to a trace is forgotten, so that it decides no pick between equals.
    pub fn fade(&mut self, by: f64) {
        let failed = if self.failed < TRACE { 0.0 } else { self.failed * by };
        (self.judged, self.failed) = (self.judged * by, failed);
    }

    /// The part that failed, where `others`, the part of its like, counts as much as `weight` of its own.
    pub fn share(&self, others: f64, weight: f64) -> f64 {
        (self.failed + others * weight) / (self.judged + weight)
    }
}

/// Samples of the latest while: at least `least` long and `full` many, where there are as many at all.
#[derive(Debug, Default)]
pub struct Window(VecDeque<(Time, f64, bool)>);

impl Window {
    /// `seen` is whether the value was seen whole, or only that it is no less.
    pub fn add(&mut self, at: Time, value: f64, seen: bool) {
        self.0.push_back((at, value, seen));
    }

    /// Lets go of what is older than `most`, or older than `least` and not needed for `full` samples.
    /// Then the 90th percentile of all and of those seen whole, if the window is long and full enough.
    pub fn p90(&mut self, now: Time, least: Span, most: Span, full: usize) -> Option<(f64, f64)> {
        while let Some((at, ..)) = self.0.front() {
            let age = now.since(*at);
            if age <= most && (age <= least || self.0.len() <= full) {
                break;
            }
            self.0.pop_front();
        }
        let (oldest, ..) = self.0.front()?;
        if self.0.len() < full || now.since(*oldest).scaled(1.1) < least {
            return None;
        }
        let p90 = |all: bool| {
            let kept = self.0.iter().filter(|(.., seen)| all || *seen);
            let mut values: Vec<f64> = kept.map(|(_, value, _)| *value).collect();
            let place = values.len() * 9 / 10;
            (!values.is_empty()).then(|| *values.select_nth_unstable_by(place, f64::total_cmp).1)
        };
        let all = p90(true)?;
        Some((all, p90(false).unwrap_or(all)))
    }
}

/// The last pairs of two figures, and how far they go together.
#[derive(Debug, Default)]
pub struct Trend(VecDeque<(f64, f64)>);

impl Trend {
    pub fn add(&mut self, x: f64, y: f64, most: usize) {
        self.0.push_back((x, y));
        self.0.drain(..self.0.len().saturating_sub(most));
    }

    /// Pearson's correlation times the root of the pairs, so that a few pairs need to go together more
    /// closely than many; nothing before a dozen are in, or if either figure stands still.
    pub fn strength(&self) -> f64 {
        if self.0.len() < 12 {
            return 0.0;
        }
        let n = self.0.len() as f64;
        let (mean_x, mean_y) = self.0.iter().fold((0.0, 0.0), |(x, y), (a, b)| (x + a / n, y + b / n));
        let (mut xy, mut xx, mut yy) = (0.0, 0.0, 0.0);
        for (x, y) in &self.0 {
            xy += (x - mean_x) * (y - mean_y);
            xx += (x - mean_x).powi(2);
            yy += (y - mean_y).powi(2);
        }
        xy / (xx * yy).sqrt().max(1e-9) * n.sqrt()
    }
}

/// A key that is met for the first time is taken for the one part of the other, as if it were that much met.
const GUESSED: f64 = 0.3;
const GUESSES: f64 = 12.0;

/// How often keys were met of late, here and elsewhere.
#[derive(Debug, Default)]
pub struct Keys {
    met: BTreeMap<u32, f64>,
    all: f64,
    /// The last that were met here.
    pub last: VecDeque<u32>,
}

impl Keys {
    /// A key in short; two that are alike in it count as one.
    fn short(key: u64) -> u32 {
        (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32
    }

    pub fn add(&mut self, key: u64) {
        self.heard(Keys::short(key));
        self.last.push_back(Keys::short(key));
        self.last.drain(..self.last.len().saturating_sub(MAX_KEYS));
    }

    pub fn heard(&mut self, key: u32) {
        *self.met.entry(key).or_default() += 1.0;
        self.all += 1.0;
    }

    pub fn fade(&mut self, by: f64) {
        self.all *= by;
        self.met.retain(|_, met| {
            *met *= by;
            *met > TRACE
        });
    }

    /// The part of all that is this key's, by what goes beyond one meeting; a guess while few were met.
    pub fn share(&self, key: u64) -> f64 {
        let more = (self.met.get(&Keys::short(key)).copied().unwrap_or(0.0) - 1.0).max(0.0);
        (more + GUESSED) / (self.all + GUESSES)
    }
}
