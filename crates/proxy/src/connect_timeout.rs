//! The timeout for establishing a connection, estimated from earlier connections and bounded by the settings.
//! This module does no I/O and reads no clock.

use sparlug::time::Span;

const MIN_TIMEOUT_RATIO: f64 = 0.1; // of the configured maximum
const DEVIATION_FACTOR: f64 = 4.0; // above the mean, as in the retransmission timer of RFC 6298
const OWN_TIME_FACTOR: f64 = 3.0; // on the connect time of the backend's last connection

/// What is known of the connections to one backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectHistory {
    last_time: Span,
    /// Number of connections in a row that were not established in time.
    timeouts: u32,
}

/// Estimates the timeout from the connect times of all backends.
#[derive(Debug)]
pub struct ConnectTimeout {
    max_timeout: Span,
    mean_and_deviation_ms: Option<(f64, f64)>,
}

impl ConnectTimeout {
    pub fn new(max_timeout: Span) -> ConnectTimeout {
        ConnectTimeout { max_timeout, mean_and_deviation_ms: None }
    }

    pub fn record_success(&mut self, history: &mut ConnectHistory, time: Span) {
        *history = ConnectHistory { last_time: time, timeouts: 0 };
        let time = time.ms();
        let (mean, deviation) = self.mean_and_deviation_ms.unwrap_or((time, time / 2.0));
        let error = (time - mean).abs();
        self.mean_and_deviation_ms =
            Some((mean + (time - mean) / 8.0, deviation + (error - deviation) / 4.0));
    }

    pub fn record_timeout(&self, history: &mut ConnectHistory) {
        history.timeouts += 1;
    }

    /// Timeout of the next connection to a backend. It guards against waiting for the configured maximum at
    /// each of many backends that are lost together, while the others connect within a hundredth of it. The
    /// timeout doubles with each timeout in a row, so that a distant backend is reached as well.
    pub fn timeout_for(&self, history: &ConnectHistory) -> Span {
        let Some((mean, deviation)) = self.mean_and_deviation_ms else { return self.max_timeout };
        let usual = Span::from_ms(mean + DEVIATION_FACTOR * deviation);
        let timeout = usual
            .max(history.last_time.scaled(OWN_TIME_FACTOR))
            .max(self.max_timeout.scaled(MIN_TIMEOUT_RATIO));
        timeout.scaled(f64::from(1 << history.timeouts.min(10))).min(self.max_timeout)
    }
}
