//! The clock of a run. CLOCK_MONOTONIC reads the same in all processes of a machine, so records of components
//! in different processes can be put in one order.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on the monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp(pub i64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

impl Timestamp {
    pub fn now() -> Timestamp {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        Timestamp(now.tv_sec * 1_000_000 + now.tv_nsec / 1000)
    }

    pub fn since(self, earlier: Timestamp) -> Micros {
        Micros((self.0 - earlier.0).max(0))
    }
}

impl Micros {
    pub const ZERO: Micros = Micros(0);

    pub const fn from_millis(ms: i64) -> Micros {
        Micros(ms * 1000)
    }

    pub fn from_ms(ms: f64) -> Micros {
        Micros((ms * 1000.0).round() as i64)
    }

    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }

    pub fn scaled(self, by: f64) -> Micros {
        Micros((self.0 as f64 * by).round() as i64)
    }

    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0.max(0) as u64)
    }
}

impl Add<Micros> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Micros) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<Micros> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: Micros) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us < 1000 => write!(f, "{us}us"),
            us if us < 1_000_000 => write!(f, "{}ms", us as f64 / 1000.0),
            us => write!(f, "{}s", us as f64 / 1e6),
        }
    }
}

impl std::str::FromStr for Micros {
    type Err = String;
    fn from_str(text: &str) -> Result<Micros, String> {
        sparlug_setup::native::parse_span(text).map(|span| Micros::from_ms(span.ms()))
    }
}

impl Serialize for Micros {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Micros {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Micros, D::Error> {
        String::deserialize(from)?.parse().map_err(serde::de::Error::custom)
    }
}
