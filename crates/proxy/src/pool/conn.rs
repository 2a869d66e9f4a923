//! One connection to a backend: the job that it carries, and the parsing of its response.

use std::ops::Range;

use sparlug::event::Load;
use sparlug::id::BackendId;
use sparlug::time::{Span, Time};

use super::{BackendProcess, MAX_INTERIM_RESPONSES};
use crate::attempt_result::AttemptResult;
use crate::body::MAX_BODY_BYTES;
use crate::buffered_stream::BufferedStream;
use crate::deadlines::DeadlineId;
use crate::http::{
    self, HttpError, ResponseHead, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_MESSAGE_BYTES, MAX_HEAD_BYTES,
    STREAMED_STATUS,
};
use crate::io_failures::Cause;
use crate::memory_limit::MemoryLimit;
use crate::shared::{ConnSlot, IoContext, JobResult, ProxyEvent, Purpose, TimerEvent};

/// The part of the time until a repeat may run again in which the backend's kernel has to have it.
const DELIVERY_TIME_RATIO: f64 = 0.5;

/// A kernel sends an acknowledgement within this time.
const MAX_ACKNOWLEDGEMENT_DELAY: Span = Span::from_millis(80);

pub(super) enum Stage {
    Connecting,
    /// A request is being written or its response awaited.
    Busy {
        written: bool,
    },
    Idle,
}

pub(super) struct Conn {
    pub(super) stream: BufferedStream,
    pub(super) backend: BackendId,
    pub(super) process: BackendProcess,
    pub(super) stage: Stage,
    pub(super) job: Option<Job>,
    pub(super) head: Option<ResponseHead>,
    /// Number of interim (1xx) responses to the current request.
    pub(super) interim_responses: u8,
    /// The connection has carried an earlier request.
    pub(super) reused: bool,
    /// The response is streamed to the client.
    pub(super) streaming: bool,
    /// Until writing starts: position of the timeout header's value in the message, and the end of that time.
    pub(super) timeout_header: Option<(Range<usize>, Time)>,
    /// When it is too late for the last byte of the message to reach the backend.
    pub(super) deliver_by: Option<Time>,
    /// The deadline for that, once writing has begun.
    delivery_deadline: Option<DeadlineId>,
    /// Nobody waits for the response any more.
    client_gone: bool,
    /// When its socket was created.
    pub(super) connect_started: Time,
    /// Why the socket could not be created, and when the next try is due.
    pub(super) connect_failure: Option<Cause>,
    pub(super) retry_at: Time,
    /// Timeout of the stage: of connecting, of waiting for the end of a response of unknown length, or of
    /// idleness.
    pub(super) deadline: Option<DeadlineId>,
    pub(super) last_used: Time,
}

/// The attempt or check that a connection carries.
pub(super) struct Job {
    pub(super) purpose: Purpose,
    pub(super) sent_at: Time,
    pub(super) deadline: DeadlineId,
    /// All of the message is queued; if not, `Pool::write_body` adds the rest.
    pub(super) complete: bool,
}

/// How much of a response has arrived.
pub(super) enum ResponseProgress {
    /// The end is still to come; `unknown_length` if nothing tells how long the body is, `streamable` if it may be
    /// passed on before its end.
    Partial {
        unknown_length: bool,
        streamable: bool,
    },
    Complete,
    /// Too long to be buffered.
    TooLong,
}

impl Conn {
    /// A connection whose socket is still to be created.
    pub(super) fn unconnected(backend: BackendId, process: BackendProcess, now: Time) -> Conn {
        let (job, head, timeout_header, deliver_by, connect_failure) = Default::default();
        let (delivery_deadline, deadline) = Default::default();
        Conn {
            stream: BufferedStream::unconnected(),
            backend,
            process,
            stage: Stage::Connecting,
            job,
            head,
            interim_responses: 0,
            reused: false,
            streaming: false,
            timeout_header,
            deliver_by,
            delivery_deadline,
            client_gone: false,
            connect_started: now,
            connect_failure,
            retry_at: now,
            deadline,
            last_used: now,
        }
    }

    /// Sets the time at which connecting is given up, `deliver_by` at the latest.
    pub(super) fn set_connect_deadline(&mut self, slot: ConnSlot, until: Option<Time>, io: &mut IoContext) {
        io.deadlines.cancel(self.deadline.take());
        let until = until.into_iter().chain(self.deliver_by).min();
        self.deadline = until.map(|until| io.deadlines.set(until, TimerEvent::ConnectTimeout(slot)));
    }

    /// The result of a message that it is too late to write more of, if so.
    pub(super) fn missed_delivery(&self, now: Time) -> Option<AttemptResult> {
        let deliver_by = self.deliver_by.filter(|_| self.job.is_some() && !self.is_written())?;
        let result = match self.delivery_deadline {
            Some(_) => self.undelivered_result(),
            None => AttemptResult::TooLate,
        };
        (now >= deliver_by).then_some(result)
    }

    /// Sets the timeout header to the time that is left now, as connecting or a failed write may have used up
    /// a part.
    pub(super) fn update_timeout_header(&mut self, now: Time) {
        let Some((range, until)) = self.timeout_header.as_mut().filter(|_| self.last_used < now) else {
            return;
        };
        let time_left = http::format_timeout(until.since(now));
        self.stream.replace_queued(range.clone(), time_left.as_bytes());
        range.end = range.start + time_left.len();
    }

    /// Once writing has begun, the message is not changed any more, and its delivery has a deadline. A backend that
    /// reads slowly may be as far behind its kernel as the kernel is behind the proxy, so half of the time is for each.
    pub(super) fn begin_delivery(&mut self, slot: ConnSlot, io: &mut IoContext) {
        if !self.stream.has_begun_writing() {
            return;
        }
        self.timeout_header = None;
        if let (Some(deliver_by), None) = (self.deliver_by, self.delivery_deadline) {
            let deliver_by = io.now + deliver_by.since(io.now).scaled(DELIVERY_TIME_RATIO);
            self.set_delivery_deadline(slot, deliver_by, io);
        }
    }

    fn set_delivery_deadline(&mut self, slot: ConnSlot, deliver_by: Time, io: &mut IoContext) {
        io.deadlines.cancel(self.delivery_deadline.take());
        self.deliver_by = Some(deliver_by);
        self.delivery_deadline = Some(io.deadlines.set(deliver_by, TimerEvent::DeliveryTimeout(slot)));
    }

    /// The client of a written message is gone. The backend's kernel may have the last byte, and its acknowledgement
    /// be on the way; otherwise the message must not reach the backend much later.
    pub(super) fn limit_delivery(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let until = io.now + MAX_ACKNOWLEDGEMENT_DELAY;
        let until = self.deliver_by.map_or(until, |deliver_by| deliver_by.min(until));
        self.client_gone = true;
        self.set_delivery_deadline(slot, until, io);
    }

    /// The result of a message that has not reached the backend in time.
    pub(super) fn undelivered_result(&self) -> AttemptResult {
        let written = self.is_written();
        if self.client_gone {
            AttemptResult::CalledOff { written }
        } else {
            AttemptResult::NotDelivered { written }
        }
    }

    pub(super) fn is_written(&self) -> bool {
        matches!(self.stage, Stage::Busy { written: true })
    }

    /// Whether the backend's kernel has all of the message, as far as can be told.
    pub(super) fn is_delivered(&self) -> bool {
        self.is_written() && !self.has_unacknowledged_bytes()
    }

    /// Whether the kernel would go on sending a part of the message after a close.
    pub(super) fn has_unacknowledged_bytes(&self) -> bool {
        self.stream.unacknowledged_bytes().is_some_and(|bytes| bytes > 0)
    }

    /// Whether nothing has arrived: no bytes and no end of the stream.
    pub(super) fn is_quiet(&mut self) -> bool {
        self.stream.fill(1).is_ok() && !self.stream.ended && self.stream.input.is_empty()
    }

    /// Whether the start of a response of unknown length has arrived, and it is not streamed yet.
    pub(super) fn has_open_ended_response(&mut self) -> bool {
        !self.streaming
            && matches!(self.parse_response(), Ok(ResponseProgress::Partial { unknown_length: true, .. }))
    }

    /// Parses what has arrived of a response, skipping interim responses.
    pub(super) fn parse_response(&mut self) -> Result<ResponseProgress, AttemptResult> {
        loop {
            if self.head.is_none() {
                self.head =
                    http::parse_response_head(&self.stream.input).map_err(|_| AttemptResult::Garbled)?;
            }
            let Some(head) = &mut self.head else {
                return Ok(ResponseProgress::Partial { unknown_length: false, streamable: false });
            };
            if head.status >= 200 {
                break;
            }
            // Interim responses such as 100 are skipped. 101 is an error, as the proxy never asks to switch
            // protocols; so is an endless series of them.
            let length = head.length;
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES || head.status == 101 {
                return Err(AttemptResult::Garbled);
            }
            self.head = None;
            self.stream.take_input(length);
        }
        let is_attempt = self.carries_attempt();
        let Some(head) = &mut self.head else {
            return Ok(ResponseProgress::Partial { unknown_length: false, streamable: false });
        };
        let may_stream = is_attempt && head.status == STREAMED_STATUS;
        match head.body.parse_buffered(
            &self.stream.input[head.length..],
            self.stream.ended && !self.stream.broken,
            MAX_BUFFERED_BODY_BYTES,
        ) {
            Ok(Some(_)) => Ok(ResponseProgress::Complete),
            Ok(None) => {
                let unknown_length = may_stream && !head.body.has_length();
                Ok(ResponseProgress::Partial { unknown_length, streamable: may_stream })
            }
            Err(HttpError::BodyTooLarge) if may_stream && head.body.size() <= MAX_BODY_BYTES => {
                Ok(ResponseProgress::TooLong)
            }
            Err(_) => Err(AttemptResult::Garbled),
        }
    }

    fn carries_attempt(&self) -> bool {
        matches!(self.job, Some(Job { purpose: Purpose::Attempt(..), .. }))
    }

    /// How many bytes of the response may be buffered now. Where the memory is short, a response that can be streamed
    /// is, before all of it has arrived.
    pub(super) fn read_limit(&self, memory: MemoryLimit) -> usize {
        match &self.head {
            _ if self.streaming => memory.window(),
            None => memory.buffer_limit(MAX_BUFFERED_MESSAGE_BYTES).max(MAX_HEAD_BYTES),
            Some(head) if head.status == STREAMED_STATUS && self.carries_attempt() => {
                memory.buffer_limit(MAX_BUFFERED_MESSAGE_BYTES)
            }
            Some(_) => MAX_BUFFERED_MESSAGE_BYTES,
        }
    }

    /// Reports the result of what the connection carried.
    pub(super) fn finish(
        &mut self,
        result: AttemptResult,
        load: Load,
        response: Option<(ResponseHead, Vec<u8>)>,
        io: &mut IoContext,
    ) {
        let Some(Job { purpose, sent_at, deadline, .. }) = self.job.take() else { return };
        io.deadlines.cancel(Some(deadline));
        io.deadlines.cancel(self.delivery_deadline.take());
        (self.deliver_by, self.client_gone) = (None, false);
        io.counters.repeats_undelivered += u64::from(result.is_undelivered_repeat());
        let job_result =
            JobResult { backend: self.backend, purpose, result, took: io.now.since(sent_at), load, response };
        io.events.push_back(ProxyEvent::JobEnded(job_result));
    }
}
