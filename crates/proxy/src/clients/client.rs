//! One connection from a client, and the body that is being received on it.

use super::eviction::EvictionRank;
use super::presence::Presence;
use super::{BODY_CHECK_INTERVAL, BODY_GRACE_TIME, BODY_SILENCE_TIMEOUT, MIN_BODY_BYTES_PER_MS};
use crate::body::Body;
use crate::buffered_stream::BufferedStream;
use crate::deadlines::DeadlineId;
use crate::http::RequestHead;
use crate::shared::{ClientSlot, IoContext, TimerEvent};
use sparlug::id::RequestId;
use sparlug::time::Time;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientState {
    /// Between requests, or with an incomplete request.
    Reading,
    /// A request was received and its response is pending.
    Waiting(Option<RequestId>),
    /// A response is being written.
    Answering { close: bool },
    /// A response is being streamed; `done` once its last byte was received from the backend.
    Streaming { request: RequestId, close: bool, done: bool },
    /// The last response is written; further input is discarded until the client closes.
    Lingering,
}

/// More than the buffers of the sockets of both sides usually hold of one body.
const MAX_SOCKET_BUFFER_BYTES: u64 = 12 << 20;

/// An incomplete request body and its progress.
pub(super) struct IncomingBody {
    /// Finds the end of the body, if it is streamed.
    pub(super) parser: Option<Body>,
    pub(super) started: Time,
    pub(super) last_received: Time,
    pub(super) received_bytes: usize,
}

impl IncomingBody {
    /// Whether the client has stopped sending, or is too slow.
    pub(super) fn is_stalled(&self, now: Time) -> bool {
        let elapsed = now.since(self.started);
        let slow = (self.received_bytes as f64) < MIN_BODY_BYTES_PER_MS * elapsed.ms();
        elapsed >= BODY_GRACE_TIME && (slow || now.since(self.last_received) >= BODY_SILENCE_TIMEOUT)
    }
}

/// One connection from a client.
pub(super) struct Client {
    pub(super) stream: BufferedStream,
    pub(super) state: ClientState,
    /// Boxed, since idle connections have none and it is larger than all other fields together.
    pub(super) head: Option<Box<RequestHead>>,
    pub(super) incoming_body: Option<Box<IncomingBody>>,
    /// The id of the request that was received and has no response yet.
    pub(super) request_id: Option<String>,
    /// The class of the request that was received and has not ended, for the counters.
    pub(super) open_class: Option<u16>,
    pub(super) deadline: Option<DeadlineId>,
    pub(super) last_used: Time,
    /// Since when a request may have waited to be read because system calls failed.
    pub(super) read_failed_since: Option<Time>,
    /// The earliest time at which the client can have sent its latest byte: when it was last known that more was to
    /// come. While the proxy does not read, the client may have sent everything.
    pub(super) sent_not_before: Time,
    pub(super) presence: Presence,
    /// Its rank and time of last use in the eviction order.
    pub(super) eviction_key: Option<(EvictionRank, Time)>,
    /// The deadline limits the reading of a request: one has started to arrive, or the first is awaited.
    pub(super) read_timer_set: bool,
    /// The client has closed its side; what is still unread is of no use.
    pub(super) hung_up: bool,
    /// The client has sent something on this connection.
    pub(super) has_sent: bool,
}

impl Client {
    /// Whether a request that was read, even in part, has no complete response yet.
    pub(super) fn has_pending_response(&self) -> bool {
        match self.state {
            ClientState::Reading => !self.stream.input.is_empty(),
            ClientState::Waiting(_) => true,
            ClientState::Answering { .. } | ClientState::Streaming { .. } => {
                self.stream.unsent() > 0 || self.open_class.is_some()
            }
            ClientState::Lingering => false,
        }
    }

    /// The rank in which it may be evicted for a new connection; `None` while a response is pending.
    pub(super) fn eviction_rank(&self) -> Option<EvictionRank> {
        match self.state {
            ClientState::Lingering => Some(EvictionRank::Lingering),
            ClientState::Reading if !self.stream.input.is_empty() => Some(EvictionRank::Incomplete),
            ClientState::Reading if self.has_sent => Some(EvictionRank::Idle),
            ClientState::Reading => Some(EvictionRank::Silent),
            ClientState::Waiting(_) | ClientState::Answering { .. } | ClientState::Streaming { .. } => None,
        }
    }

    /// Counts and logs a response that is given before the request's body is read.
    pub(super) fn count_unread_body(&self, status: u16, close: bool, io: &mut IoContext) {
        if self.incoming_body.is_some() {
            io.counters.responses_before_body += 1;
            tracing::debug!(status, close, "response before the end of the request's body");
        }
    }

    /// Reads until `max_bytes` are buffered, and updates the progress of an incomplete body. Fails if the
    /// connection broke.
    pub(super) fn read(&mut self, max_bytes: usize, io: &IoContext) -> std::io::Result<()> {
        let now = io.now;
        let before = self.stream.input.len();
        if !self.stream.has_unread() && !self.stream.read_failed() {
            // Everything that had come was read before; what there is now has come since.
            self.sent_not_before = io.earliest_arrival;
            self.presence.record_seen(io.earliest_arrival);
        }
        let result = self.stream.fill(max_bytes);
        if self.more_to_come_than_sockets_hold() {
            self.sent_not_before = now;
        }
        let received = self.stream.input.len() - before;
        if received > 0 {
            self.has_sent = true;
            if self.state == ClientState::Reading {
                self.last_used = now;
            }
        }
        if self.stream.read_failed() {
            self.read_failed_since = self.read_failed_since.or(Some(now));
        } else if received == 0 && self.stream.input.is_empty() {
            self.read_failed_since = None;
        }
        if let (Some(body), true) = (&mut self.incoming_body, received > 0) {
            (body.last_received, body.received_bytes) = (now, body.received_bytes + received);
        }
        result
    }

    /// Whether so much of a body is missing that the client cannot have sent all of it yet.
    fn more_to_come_than_sockets_hold(&self) -> bool {
        let body = self.incoming_body.as_ref().and_then(|body| body.parser.as_ref());
        let unread = body
            .and_then(Body::missing_bytes)
            .map(|missing| missing.saturating_sub(self.stream.input.len() as u64));
        unread.is_some_and(|unread| unread > MAX_SOCKET_BUFFER_BYTES)
    }

    /// Whether the end of its connection would be hidden behind bytes that are unread.
    fn hides_its_close(&self) -> bool {
        self.incoming_body.is_none() && self.stream.has_unread() && self.stream.has_readable_bytes()
    }

    /// Whether its kernel has acknowledged all that was written.
    fn has_acknowledged_all(&self) -> bool {
        self.stream.unacknowledged_bytes() == Some(0)
    }

    /// Until when its next request waits for a reset in answer to the last response, if a close would be hidden.
    pub(super) fn reset_awaited_until(&self, now: Time) -> Option<Time> {
        self.presence.reset_awaited_until(false, now).filter(|_| self.hides_its_close())?;
        self.presence.reset_awaited_until(self.has_acknowledged_all(), now)
    }

    /// Whether it may have gone some time ago without a sign of it.
    pub(super) fn may_have_left(&self, now: Time) -> bool {
        self.hides_its_close() && self.presence.is_stale(self.has_acknowledged_all(), now)
    }

    /// Whether bytes of the client wait for a backend to take them, or for the proxy to read them.
    pub(super) fn has_waiting_bytes(&self) -> bool {
        self.stream.has_unread() || !self.stream.input.is_empty()
    }

    /// Starts to receive a body, which is streamed if a `parser` is given.
    pub(super) fn start_body(&mut self, slot: ClientSlot, parser: Option<Body>, io: &mut IoContext) {
        self.incoming_body = Some(Box::new(IncomingBody {
            parser,
            started: io.now,
            last_received: io.now,
            received_bytes: 0,
        }));
        io.deadlines.cancel(self.deadline.take());
        self.deadline = Some(io.deadlines.set(io.now + BODY_CHECK_INTERVAL, TimerEvent::ClientTimeout(slot)));
    }
}
