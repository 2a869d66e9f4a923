//! By how many a proxy divides what all of its tier share. The one place of that rule.
//!
//! Let `whole` be how many there usually are, and x the part of them that is there. Nobody can tell a proxy that is cut off
//! from one that is dead, so a part takes
//!
//! - its own x, where x is at most a half: the rest may be alive, and one of them;
//! - the smaller of 1 and x + 1/4, where x is more than a half.
//!
//! Of any partition of the whole one part at most is more than a half. If none is, the parts take 1 together. If one is, with
//! x, the others together are 1 - x and take that: all of it comes to 1 - x + min(1, x + 1/4), which is at most 1.25.

use sparlug::time::{Span, Time};

/// More than its own part that a majority takes.
const MORE: f64 = 0.25;
/// How much of it the number may fall in a second; it rises at once.
const FALL: f64 = 0.02;

/// By how many each of `there` divides, of a `whole` that counts them too. At least `there`, at most `whole`.
///
/// `there`: members that are seen, the proxy itself included; `whole`: how many there usually are.
pub fn divide_by(there: usize, whole: usize) -> f64 {
    let (there, whole) = (there.max(1) as f64, whole.max(there).max(1) as f64);
    let part = there / whole;
    if part <= 0.5 {
        whole
    } else {
        there / (part + MORE).min(1.0)
    }
}

/// The number in force: it follows at once where it is to rise, and slowly where it is to fall.
#[derive(Clone, Copy, Debug)]
pub struct MemberCount {
    number: f64,
    at: Time,
}

impl MemberCount {
    /// Begins with what the configuration says.
    pub fn new(number: usize, at: Time) -> MemberCount {
        MemberCount { number: number.max(1) as f64, at }
    }

    /// Takes what [`divide_by`] says now; tells whether the whole number in force is another.
    pub fn update(&mut self, wanted: f64, now: Time) -> bool {
        let before = self.whole();
        let seconds = now.since(self.at).ms() / 1000.0;
        self.at = now;
        self.number = wanted.max(self.number * (1.0 - FALL).powf(seconds));
        self.whole() != before
    }

    /// Rounded up: a part is never larger for it.
    pub fn whole(&self) -> usize {
        (self.number - 1e-9).ceil().max(1.0) as usize
    }
}

/// From when on views are old enough for the rule to hold, since the last time that anybody came or a way was cut: news of
/// who comes has reached all by then, and who is cut off is at least suspected. When a majority that has taken more is parted
/// anew, its parts come to 1.27 of the whole for some seconds before that.
pub const SETTLED: Span = Span::from_millis(15_000);
