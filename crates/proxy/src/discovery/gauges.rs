//! What operators see of the agent's responses: how old the last one is, and how long it took.

use std::fmt::Write;

use sparlug::time::{Span, Time};

use super::pacing::Pacing;

/// The times of the agent's last response.
#[derive(Default)]
pub struct ResponseTimes {
    /// When the first request was sent; the age counts from there until a response has come.
    first_request_at: Option<Time>,
    last: Option<LastResponse>,
}

struct LastResponse {
    at: Time,
    took: Span,
}

impl ResponseTimes {
    pub fn record_request(&mut self, now: Time) {
        self.first_request_at.get_or_insert(now);
    }

    pub fn record(&mut self, requested_at: Time, now: Time) {
        self.last = Some(LastResponse { at: now, took: now.since(requested_at) });
    }

    /// The gauges, one per line. `pending` requests have no response yet.
    pub fn report(&self, pending: usize, pacing: &Pacing, now: Time) -> String {
        let mut text = String::new();
        if let Some(since) = self.last.as_ref().map(|last| last.at).or(self.first_request_at) {
            let _ = writeln!(text, "svc.lists.last_response_age_ms:{:.0}|g", now.since(since).ms());
        }
        if let Some(last) = &self.last {
            let _ = writeln!(text, "svc.lists.last_response_took_ms:{:.0}|g", last.took.ms());
        }
        let _ = writeln!(text, "svc.lists.requests_pending:{pending}|g");
        let _ = writeln!(text, "svc.lists.slow:{}|g", u8::from(pacing.is_slow()));
        let _ = writeln!(text, "svc.lists.failing:{}|g", u8::from(pacing.is_outage()));
        text
    }
}
