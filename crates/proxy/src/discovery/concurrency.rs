//! Whether the agent prepares several responses at a time, or one after the other.
//!
//! One that serves requests side by side sends its responses at the same intervals at which it got the requests. At
//! one that serves them one after the other, a request waits for those before it, so that its response comes later
//! after the one before it than the request did.

use sparlug::time::{Span, Time};

/// How much two intervals may differ and still count as the same: a part of them, and a time for delays on the way.
const INTERVAL_TOLERANCE: f64 = 0.1;
const DELAY_TOLERANCE: Span = Span::from_millis(50);
/// The shortest interval between requests from which something is learned.
const MIN_INTERVAL: Span = Span::from_millis(100);
/// Responses that follow each other within less than this part of a response time were prepared side by side.
const OVERLAP: f64 = 0.75;
/// A response that took this many times longer than the ones of all requests before it, at the present interval, did not
/// only wait for those.
const EXCESS: f64 = 1.25;
/// So many responses in a row that came late after the one before them show an agent that serves one after the other.
/// A single one may only be the first that took longer.
const MIN_DELAYED_RESPONSES: u32 = 2;

/// How the agent serves requests that are pending at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Concurrency {
    #[default]
    Unknown,
    Parallel,
    Serial,
}

/// When a request was sent and its response came.
#[derive(Clone, Copy, Debug)]
pub struct ServedRequest {
    pub requested_at: Time,
    pub answered_at: Time,
    /// How many other requests were pending when it was sent.
    pub ahead: usize,
}

impl ServedRequest {
    /// Whether an agent that sends one response after the other at this interval would have sent this one sooner.
    fn exceeds_queue(&self, response_interval: Span) -> bool {
        let queue_time = response_interval.scaled((self.ahead + 1) as f64);
        self.answered_at.since(self.requested_at) > queue_time.scaled(EXCESS)
    }
}

/// Learns how the agent serves requests.
#[derive(Default)]
pub struct ConcurrencyEstimator {
    concurrency: Concurrency,
    last: Option<ServedRequest>,
    /// How many responses in a row came late after the one before them.
    delayed_responses: u32,
}

impl ConcurrencyEstimator {
    pub fn concurrency(&self) -> Concurrency {
        self.concurrency
    }

    /// Records a response. `response_time` is what the agent is known to need for one.
    pub fn record(&mut self, served: ServedRequest, response_time: Option<Span>) {
        let Some(previous) = self.last.replace(served) else { return };
        // The request has to have been pending when the response before was sent.
        if served.requested_at >= previous.answered_at {
            return;
        }
        if served.requested_at < previous.requested_at {
            return self.record_parallel();
        }
        let request_interval = served.requested_at.since(previous.requested_at);
        let response_interval = served.answered_at.since(previous.answered_at);
        if request_interval < MIN_INTERVAL {
            return;
        }
        let tolerance = request_interval.ms() * INTERVAL_TOLERANCE + DELAY_TOLERANCE.ms();
        let difference = response_interval.ms() - request_interval.ms();
        if difference > tolerance {
            return self.record_delayed();
        }
        let is_short = response_time.is_some_and(|time| response_interval < time.scaled(OVERLAP));
        let overlaps = is_short || served.exceeds_queue(response_interval);
        if difference >= -tolerance {
            self.delayed_responses = 0;
            if overlaps {
                self.record_parallel();
            }
        }
    }

    fn record_parallel(&mut self) {
        self.concurrency = Concurrency::Parallel;
        self.delayed_responses = 0;
    }

    fn record_delayed(&mut self) {
        self.delayed_responses += 1;
        if self.delayed_responses >= MIN_DELAYED_RESPONSES {
            self.concurrency = Concurrency::Serial;
        }
    }
}

#[cfg(test)]
mod tests;
