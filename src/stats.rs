//! Statistics over observed values. Decisions are made in `policy.rs` alone.

use std::collections::{BTreeMap, VecDeque};

use crate::peer_message::MAX_KEYS;
use crate::time::{Span, Time};

/// An exponentially smoothed mean that starts at its first value.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean(Option<f64>);

impl Mean {
    pub fn of(value: f64) -> Mean {
        Mean(Some(value))
    }

    pub fn add(&mut self, value: f64, weight: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + (value - mean) * weight));
    }

    pub fn or(&self, default: f64) -> f64 {
        self.0.unwrap_or(default)
    }

    pub fn value(&self) -> Option<f64> {
        self.0
    }
}

/// Faded counts below this are dropped.
const MIN_FADED_COUNT: f64 = 0.05;

/// How many attempts were recorded recently and how many of them failed; both counts fade.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureTally {
    attempts: f64,
    failures: f64,
}

impl FailureTally {
    pub fn add(&mut self, failed: f64) {
        self.attempts += 1.0;
        self.failures += failed;
    }

    /// Drops failures that have faded below `MIN_FADED_COUNT`, so that they don't decide between equal
    /// backends.
    pub fn fade(&mut self, factor: f64) {
        let failures = if self.failures < MIN_FADED_COUNT { 0.0 } else { self.failures * factor };
        (self.attempts, self.failures) = (self.attempts * factor, failures);
    }

    /// The failed part, where `prior_ratio`, the failed part of similar attempts, counts as `prior_attempts`
    /// attempts.
    pub fn ratio(&self, prior_ratio: f64, prior_attempts: f64) -> f64 {
        (self.failures + prior_ratio * prior_attempts) / (self.attempts + prior_attempts)
    }
}

/// A sliding window of samples, bounded by age and by count.
#[derive(Debug, Default)]
pub struct SampleWindow(VecDeque<(Time, f64, bool)>);

impl SampleWindow {
    /// `exact` tells a measured value from a lower bound.
    pub fn add(&mut self, at: Time, value: f64, exact: bool) {
        self.0.push_back((at, value, exact));
    }

    /// Drops samples that are older than `max_age`, and those older than `min_age` beyond `min_samples`.
    /// Returns the 90th percentiles of all samples and of the exact ones, if the window is long and full
    /// enough.
    pub fn p90(&mut self, now: Time, min_age: Span, max_age: Span, min_samples: usize) -> Option<(f64, f64)> {
        while let Some((at, ..)) = self.0.front() {
            let age = now.since(*at);
            if age <= max_age && (age <= min_age || self.0.len() <= min_samples) {
                break;
            }
            self.0.pop_front();
        }
        let (oldest, ..) = self.0.front()?;
        if self.0.len() < min_samples || now.since(*oldest).scaled(1.1) < min_age {
            return None;
        }
        let p90 = |all: bool| {
            let samples = self.0.iter().filter(|(.., exact)| all || *exact);
            let mut values: Vec<f64> = samples.map(|(_, value, _)| *value).collect();
            let index = values.len() * 9 / 10;
            (!values.is_empty()).then(|| *values.select_nth_unstable_by(index, f64::total_cmp).1)
        };
        let of_all = p90(true)?;
        Some((of_all, p90(false).unwrap_or(of_all)))
    }
}

/// The correlation of the latest pairs of two values.
#[derive(Debug, Default)]
pub struct Correlation(VecDeque<(f64, f64)>);

impl Correlation {
    pub fn add(&mut self, x: f64, y: f64, max_pairs: usize) {
        self.0.push_back((x, y));
        self.0.drain(..self.0.len().saturating_sub(max_pairs));
    }

    /// Pearson's correlation times the square root of the number of pairs, so that a few pairs have to
    /// correlate more closely than many; 0 for fewer than a dozen pairs, or if either value is constant.
    pub fn significance(&self) -> f64 {
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

/// A key seen for the first time counts as this many of `PRIOR_TOTAL_COUNT` requests.
const PRIOR_KEY_COUNT: f64 = 0.3;
const PRIOR_TOTAL_COUNT: f64 = 12.0;

/// How often keys were requested recently, here and at other instances.
#[derive(Debug, Default)]
pub struct KeyFrequencies {
    counts: BTreeMap<u32, f64>,
    total: f64,
    /// Hashes of the last keys requested here.
    pub recent: VecDeque<u32>,
}

impl KeyFrequencies {
    /// Shortens a key; keys with the same hash count as one.
    fn hash(key: u64) -> u32 {
        (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32
    }

    pub fn add(&mut self, key: u64) {
        self.add_hash(KeyFrequencies::hash(key));
        self.recent.push_back(KeyFrequencies::hash(key));
        self.recent.drain(..self.recent.len().saturating_sub(MAX_KEYS));
    }

    /// Counts a request by the hash of its key, which is what other instances send.
    pub fn add_hash(&mut self, hash: u32) {
        *self.counts.entry(hash).or_default() += 1.0;
        self.total += 1.0;
    }

    pub fn fade(&mut self, factor: f64) {
        self.total *= factor;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > MIN_FADED_COUNT
        });
    }

    /// This key's part of all requests, not counting its first request; an estimate while few requests were
    /// counted.
    pub fn share(&self, key: u64) -> f64 {
        let repeats = (self.counts.get(&KeyFrequencies::hash(key)).copied().unwrap_or(0.0) - 1.0).max(0.0);
        (repeats + PRIOR_KEY_COUNT) / (self.total + PRIOR_TOTAL_COUNT)
    }
}
