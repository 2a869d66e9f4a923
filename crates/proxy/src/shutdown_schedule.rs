//! The times of a shutdown: what a process that was told to end still does, and until when.

use sparlug::time::{Span, Time};

/// How long new requests are accepted after the signal to shut down.
const ACCEPT_TIME: Span = Span::from_millis(600);
/// From the last response until the process ends, for the response to be written.
const END_GRACE: Span = Span::from_millis(50);

/// The times of one shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// New requests are accepted until then.
    pub accept_until: Time,
    /// Every request has its response by then.
    pub respond_by: Time,
    /// The process ends by then.
    pub end: Time,
}

impl ShutdownSchedule {
    /// The shutdown of a process that got the signal at `signalled` and whose requests take `longest_deadline` at
    /// most.
    pub fn new(signalled: Time, longest_deadline: Span) -> ShutdownSchedule {
        let accept_until = signalled + ACCEPT_TIME;
        let respond_by = accept_until + longest_deadline;
        ShutdownSchedule { accept_until, respond_by, end: respond_by + END_GRACE }
    }

    /// When the last byte of an upload has to have arrived whose response takes `response_time`.
    pub fn upload_deadline(&self, response_time: Span) -> Time {
        self.accept_until.max(self.respond_by - response_time)
    }
}
