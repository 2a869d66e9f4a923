//! Points in time and spans between them in whole microseconds, as separate types that can't be mixed up.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(i64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

impl Time {
    /// The origin of the clock.
    pub const ORIGIN: Time = Time(0);

    pub fn from_ms(ms: f64) -> Time {
        Time((ms * 1000.0).round() as i64)
    }

    /// The span since an earlier point; zero if that point is later.
    pub fn since(self, earlier: Time) -> Span {
        Span((self.0 - earlier.0).max(0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_millis(ms: i64) -> Span {
        Span(ms * 1000)
    }

    pub fn from_ms(ms: f64) -> Span {
        Span((ms * 1000.0).round() as i64)
    }

    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    pub fn scaled(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as i64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
