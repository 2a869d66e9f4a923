//! The faults that a search may draw, as a scenario describes them: kinds of faults with their ranges.

use serde::Deserialize;

use crate::clock::Micros;
use crate::fault::FaultKind;

/// The `[hunt]` table of a scenario. Without `[[hunt.fault]]`, a default set of kinds is drawn for each kind
/// of component that the scenario has.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SearchSpace {
    /// Minimum and maximum number of faults in a schedule.
    pub faults: Option<[usize; 2]>,
    #[serde(rename = "fault")]
    pub ranges: Vec<FaultRange>,
}

/// One kind of fault with the ranges that its values are drawn from.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRange {
    pub kind: FaultKind,
    /// Patterns of components, one of which is drawn; for a partition or a bridge, the proxies that are
    /// spread over the sides.
    #[serde(default)]
    pub parts: Vec<String>,
    pub at: Option<[Micros; 2]>,
    #[serde(rename = "for")]
    pub duration: Option<[Micros; 2]>,
    pub amount: Option<[f64; 2]>,
    pub chance: Option<[f64; 2]>,
    /// Relative frequency among the kinds.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

impl FaultRange {
    pub fn of(kind: FaultKind, part: String) -> FaultRange {
        let (at, duration, amount, chance) = Default::default();
        FaultRange { kind, parts: vec![part], at, duration, amount, chance, weight: 1.0 }
    }

    /// The range of the amount, with a default by kind.
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

    /// The range of the chance, with a default by kind.
    pub fn chances(&self) -> Option<[f64; 2]> {
        use FaultKind::*;
        self.chance.or(match self.kind {
            Loss | Reorder | Duplicate | Corrupt | Replay => Some([0.05, 0.6]),
            Error => Some([0.2, 1.0]),
            _ => None,
        })
    }
}
