//! One connection that a client opened, and the body that comes in on it.

use super::{BODY_CHECK, BODY_RATE, BODY_STILL, BODY_TIME};
use crate::body::Body;
use crate::buffered_stream::BufferedStream;
use crate::deadlines::DeadlineId;
use crate::http::RequestHead;
use crate::shared::{ClientSlot, IoContext, TimerEvent};
use sparlug::id::RequestId;
use sparlug::time::Time;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    /// Between requests, or within one that is not whole.
    Reading,
    /// A request was taken and its answer is owed.
    Waiting(Option<RequestId>),
    /// An answer is being written.
    Answering { close: bool },
    /// One that is passed on as it comes; `done` once its last byte is here.
    Streaming { request: RequestId, close: bool, done: bool },
    /// The last answer is written; what still comes is thrown away until the client closes.
    Lingering,
}

/// A body that is not whole yet, and how it comes.
pub(super) struct Upload {
    /// Where it ends, if it is passed on as it comes.
    pub(super) body: Option<Body>,
    pub(super) since: Time,
    pub(super) heard: Time,
    pub(super) bytes: usize,
}

impl Upload {
    /// Whether its client has stopped, or is too slow to wait for.
    pub(super) fn stalled(&self, now: Time) -> bool {
        let since = now.since(self.since);
        let slow = (self.bytes as f64) < BODY_RATE * since.ms();
        since >= BODY_TIME && (slow || now.since(self.heard) >= BODY_STILL)
    }
}

pub(super) struct Client {
    pub(super) link: BufferedStream,
    pub(super) state: State,
    /// Behind a box: an idle connection has none, and it is larger than all the rest.
    pub(super) head: Option<Box<RequestHead>>,
    pub(super) upload: Option<Box<Upload>>,
    /// The id of the request that was taken and is not answered.
    pub(super) id: Option<String>,
    /// The class of the request that came and has not ended, for the figures.
    pub(super) open: Option<u16>,
    pub(super) deadline: Option<DeadlineId>,
    pub(super) used: Time,
    /// Since when a request may have waited to be read, because calls failed.
    pub(super) held_up: Option<Time>,
    /// Of its unread bytes, what the sum over all holds.
    pub(super) counted: usize,
    /// Where it stands among those that may have to leave.
    pub(super) standing: Option<(usize, Time)>,
    /// A request has begun to come, or none has come yet: the deadline is for that.
    pub(super) begun: bool,
    /// It has closed its side; what is still to be read from it is of no use.
    pub(super) hung_up: bool,
}

impl Client {
    /// Whether a request that was read, or a part of one, has no whole answer yet.
    pub(super) fn is_owed(&self) -> bool {
        match self.state {
            State::Reading => !self.link.input.is_empty(),
            State::Waiting(_) => true,
            State::Answering { .. } | State::Streaming { .. } => {
                self.link.unsent() > 0 || self.open.is_some()
            }
            State::Lingering => false,
        }
    }

    /// Reads, and notes how a body that is not whole comes; an error if the connection broke.
    pub(super) fn fill(&mut self, most: usize, now: Time) -> std::io::Result<()> {
        let before = self.link.input.len();
        let read = self.link.fill(most);
        let came = self.link.input.len() - before;
        if self.link.read_failed() {
            self.held_up = self.held_up.or(Some(now));
        } else if came == 0 && self.link.input.is_empty() {
            self.held_up = None;
        }
        if let (Some(upload), true) = (&mut self.upload, came > 0) {
            (upload.heard, upload.bytes) = (now, upload.bytes + came);
        }
        read
    }

    /// A body begins to come, which is passed on as it does if it is known where it ends.
    pub(super) fn await_body(&mut self, slot: ClientSlot, body: Option<Body>, io: &mut IoContext) {
        self.upload = Some(Box::new(Upload { body, since: io.now, heard: io.now, bytes: 0 }));
        io.deadlines.cancel(self.deadline.take());
        self.deadline = Some(io.deadlines.set(io.now + BODY_CHECK, TimerEvent::ClientTimeout(slot)));
    }
}
