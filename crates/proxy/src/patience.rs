//! How long a connection may take to come up before it counts as one that never will: learnt from those that did,
//! within what the settings allow. It knows no sockets and no clock.

use sparlug::time::Span;

const LEAST: f64 = 0.1; // part of the longest time that a connection always has
const DEVIATIONS: f64 = 4.0; // over the mean, as a retransmission timer has it (RFC 6298)
const OWN: f64 = 3.0; // times what the same backend's last connection took

/// What is known of one backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    took: Span,
    /// Connections in a row that were not up in time.
    missed: u32,
}

/// What all backends' connections took, in ms.
#[derive(Debug)]
pub struct Patience {
    most: Span,
    usual: Option<(f64, f64)>,
}

impl Patience {
    pub fn new(most: Span) -> Patience {
        Patience { most, usual: None }
    }

    pub fn came_up(&mut self, known: &mut Known, took: Span) {
        *known = Known { took, missed: 0 };
        let took = took.ms();
        let (mean, deviation) = self.usual.unwrap_or((took, took / 2.0));
        let off = (took - mean).abs();
        self.usual = Some((mean + (took - mean) / 8.0, deviation + (off - deviation) / 4.0));
    }

    pub fn missed(&self, known: &mut Known) {
        known.missed += 1;
    }

    /// Guards against waiting out the longest time at each of many backends that are lost together, when all that
    /// are there answer in a hundredth of it. It doubles with each miss in a row, so that a far one is reached.
    pub fn span(&self, known: &Known) -> Span {
        let Some((mean, deviation)) = self.usual else { return self.most };
        let usual = Span::from_ms(mean + DEVIATIONS * deviation);
        let span = usual.max(known.took.scaled(OWN)).max(self.most.scaled(LEAST));
        span.scaled(f64::from(1 << known.missed.min(10))).min(self.most)
    }
}
