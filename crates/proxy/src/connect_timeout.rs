//! How long a connection may take to come up before it counts as one that never will: learnt from those that did,
//! within what the settings allow. It knows no sockets and no clock.

use sparlug::time::Span;

const LEAST: f64 = 0.1; // part of the longest time that a connection always has
const DEVIATIONS: f64 = 4.0; // over the mean, as a retransmission timer has it (RFC 6298)
const OWN: f64 = 3.0; // times what the same backend's last connection took

/// What is known of one backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectHistory {
    took: Span,
    /// Connections in a row that were not up in time.
    missed: u32,
}

/// What all backends' connections took, in ms.
#[derive(Debug)]
pub struct ConnectTimeout {
    most: Span,
    usual: Option<(f64, f64)>,
}

impl ConnectTimeout {
    pub fn new(most: Span) -> ConnectTimeout {
        ConnectTimeout { most, usual: None }
    }

    pub fn record_success(&mut self, known: &mut ConnectHistory, took: Span) {
        *known = ConnectHistory { took, missed: 0 };
        let took = took.ms();
        let (mean, deviation) = self.usual.unwrap_or((took, took / 2.0));
        let off = (took - mean).abs();
        self.usual = Some((mean + (took - mean) / 8.0, deviation + (off - deviation) / 4.0));
    }

    pub fn record_timeout(&self, known: &mut ConnectHistory) {
        known.missed += 1;
    }

    /// Guards against waiting out the longest time at each of many backends that are lost together, when all that
    /// are there answer in a hundredth of it. It doubles with each miss in a row, so that a far one is reached.
    pub fn after(&self, known: &ConnectHistory) -> Span {
        let Some((mean, deviation)) = self.usual else { return self.most };
        let usual = Span::from_ms(mean + DEVIATIONS * deviation);
        let span = usual.max(known.took.scaled(OWN)).max(self.most.scaled(LEAST));
        span.scaled(f64::from(1 << known.missed.min(10))).min(self.most)
    }
}
