//! The number by which a proxy divides what all proxies of its tier share. This rule is implemented only
//! here.
//!
//! Let `total` be the usual number of members and x the fraction of them that is present. A proxy that is cut
//! off cannot be distinguished from a dead one, so a partition takes
//!
//! - its own x, where x is at most a half: the rest may be alive and form a single partition;
//! - the smaller of 1 and x + 1/4, where x is more than a half.
//!
//! At most one partition contains more than half of the members. If none does, the partitions take 1
//! together. If one does, with x, the others together are 1 - x and take that: the sum is 1 - x + min(1, x +
//! 1/4), which is at most 1.25.

use sparlug::time::{Span, Time};

/// How much more than its own fraction a majority takes.
const MAJORITY_EXTRA_RATIO: f64 = 0.25;
/// The number may fall by this ratio per second; it rises at once.
const MAX_FALL_RATIO_PER_S: f64 = 0.02;

/// The number by which each present member divides a shared total. At least `present`, at most `total`.
///
/// `present`: members seen as present, including the proxy itself; `total`: the usual number of members.
pub fn share_divisor(present: usize, total: usize) -> f64 {
    let (present, total) = (present.max(1) as f64, total.max(present).max(1) as f64);
    let fraction = present / total;
    if fraction <= 0.5 {
        total
    } else {
        present / (fraction + MAJORITY_EXTRA_RATIO).min(1.0)
    }
}

/// The number in force: rises at once and falls slowly.
#[derive(Clone, Copy, Debug)]
pub struct MemberCount {
    value: f64,
    updated_at: Time,
}

impl MemberCount {
    /// Starts with the configured number.
    pub fn new(configured: usize, now: Time) -> MemberCount {
        MemberCount { value: configured.max(1) as f64, updated_at: now }
    }

    /// Applies the current result of [`share_divisor`]; returns whether the rounded number changed.
    pub fn update(&mut self, target: f64, now: Time) -> bool {
        let before = self.rounded();
        let seconds = now.since(self.updated_at).ms() / 1000.0;
        self.updated_at = now;
        self.value = target.max(self.value * (1.0 - MAX_FALL_RATIO_PER_S).powf(seconds));
        self.rounded() != before
    }

    /// Rounded up, so that rounding never enlarges a share.
    pub fn rounded(&self) -> usize {
        (self.value - 1e-9).ceil().max(1.0) as usize
    }
}

/// The bound of 1.25 holds once this time has passed since the last join or loss of a network path: by then
/// updates about a joining member have reached all, and a member that is cut off is at least suspected. When
/// a majority that has taken its extra share is partitioned again, the shares add up to 1.27 of the total for
/// some seconds before that.
pub const VIEW_SETTLING_TIME: Span = Span::from_millis(15_000);
