//! What a search may draw, as a scenario words it: kinds of faults with their ranges.

use serde::Deserialize;

use crate::clock::Micros;
use crate::fault::FaultKind;

/// The `[hunt]` of a scenario. Without kinds, all that can befall its parts are drawn.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SearchSpace {
    /// The fewest and the most faults of a schedule.
    pub faults: Option<[usize; 2]>,
    #[serde(rename = "fault")]
    pub ranges: Vec<FaultRange>,
}

/// One kind of fault, and between what it is drawn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRange {
    pub kind: FaultKind,
    /// One of the parts that these mean; for a partition or a bridge the proxies that are dealt out to sides.
    #[serde(default)]
    pub parts: Vec<String>,
    pub at: Option<[Micros; 2]>,
    #[serde(rename = "for")]
    pub duration: Option<[Micros; 2]>,
    pub amount: Option<[f64; 2]>,
    pub chance: Option<[f64; 2]>,
    /// How often it is drawn beside the others.
    #[serde(default = "one")]
    pub weight: f64,
}

fn one() -> f64 {
    1.0
}

impl FaultRange {
    pub fn of(kind: FaultKind, part: String) -> FaultRange {
        let (at, duration, amount, chance) = Default::default();
        FaultRange { kind, parts: vec![part], at, duration, amount, chance, weight: 1.0 }
    }

    /// What is drawn of the amount where the file says nothing.
    pub fn amounts(&self, letter: char) -> Option<[f64; 2]> {
        use FaultKind::*;
        self.amount.or(match self.kind {
            Slow if letter == 'p' => Some([0.05, 0.5]),
            Slow => Some([2.0, 8.0]),
            Delay => Some([20.0, 300.0]),
            Behind => Some([1000.0, 5000.0]),
            Reorder => Some([20.0, 500.0]),
            Replay => Some([500.0, 3000.0]),
            Flood => Some([500.0, 3000.0]),
            _ => None,
        })
    }

    pub fn chances(&self) -> Option<[f64; 2]> {
        use FaultKind::*;
        self.chance.or(match self.kind {
            Loss | Reorder | Duplicate | Corrupt | Replay => Some([0.05, 0.6]),
            Error => Some([0.2, 1.0]),
            _ => None,
        })
    }
}
