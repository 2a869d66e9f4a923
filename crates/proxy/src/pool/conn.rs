//! One connection to a backend: what it carries, and how much of an answer has come.

use std::ops::Range;

use sparlug::event::Load;
use sparlug::id::BackendId;
use sparlug::time::Time;

use super::{Life, WORDS_MOST};
use crate::attempt_result::AttemptResult;
use crate::body::MAX_BODY_BYTES;
use crate::buffered_stream::BufferedStream;
use crate::deadlines::DeadlineId;
use crate::http::{self, HttpError, ResponseHead, MAX_BUFFERED_BODY_BYTES};
use crate::io_failures::Cause;
use crate::shared::{ConnSlot, IoContext, JobResult, ProxyEvent, Purpose, TimerEvent};

pub(super) enum Stage {
    Dialling,
    /// Its message is being written or its answer awaited.
    Busy {
        written: bool,
    },
    Idle,
}

pub(super) struct Conn {
    pub(super) link: BufferedStream,
    pub(super) backend: BackendId,
    pub(super) life: Life,
    pub(super) stage: Stage,
    pub(super) job: Option<Job>,
    pub(super) head: Option<ResponseHead>,
    /// Answers of the kind 1xx so far.
    pub(super) words: u8,
    /// It has carried something before.
    pub(super) kept: bool,
    /// Its answer is passed on as it comes.
    pub(super) streams: bool,
    /// Of a message of which nothing is written: where it tells the time that is left, and until when that is, and when
    /// it may no longer begin.
    pub(super) told: Option<(Range<usize>, Time)>,
    pub(super) by: Option<Time>,
    /// When its socket was made.
    pub(super) dialled: Time,
    /// Why it has no socket, if none could be made, and when that is tried again.
    pub(super) dial_failure: Option<Cause>,
    pub(super) retry_at: Time,
    /// For the stage: when it must be up, when its answer goes on, or how long it may stand idle.
    pub(super) deadline: Option<DeadlineId>,
    pub(super) used: Time,
}

/// What a connection carries.
pub(super) struct Job {
    pub(super) purpose: Purpose,
    pub(super) sent: Time,
    pub(super) deadline: DeadlineId,
    /// All of its message is here; if not, more is pushed.
    pub(super) whole: bool,
}

/// How much of an answer has come.
pub(super) enum Came {
    /// Not all, and how long it is may be unknown.
    Part {
        unknown: bool,
    },
    Whole,
    /// It is too long to be taken in whole.
    Long,
}

impl Conn {
    /// A connection whose socket is still to be made.
    pub(super) fn unconnected(backend: BackendId, life: Life, now: Time) -> Conn {
        let (job, head, told, by, dial_failure, deadline) = Default::default();
        Conn {
            link: BufferedStream::unconnected(),
            backend,
            life,
            stage: Stage::Dialling,
            job,
            head,
            words: 0,
            kept: false,
            streams: false,
            told,
            by,
            dialled: now,
            dial_failure,
            retry_at: now,
            deadline,
            used: now,
        }
    }

    /// Sets when its dial is given up, at the latest when its message may no longer begin.
    pub(super) fn set_dial_deadline(&mut self, slot: ConnSlot, until: Option<Time>, io: &mut IoContext) {
        io.deadlines.cancel(self.deadline.take());
        let until = until.into_iter().chain(self.by).min();
        self.deadline = until.map(|until| io.deadlines.set(until, TimerEvent::ConnectTimeout(slot)));
    }

    /// Whether nothing of its message is written, and it may no longer begin.
    pub(super) fn is_too_late(&self, now: Time) -> bool {
        self.job.is_some() && !self.link.has_begun_writing() && self.by.is_some_and(|by| now >= by)
    }

    /// Guards against telling the backend a time of which dialling, or a write that failed, has used up a part.
    pub(super) fn tell_time_left(&mut self, now: Time) {
        let Some((place, until)) = self.told.as_mut().filter(|_| self.used < now) else { return };
        let left = http::format_timeout(until.since(now));
        self.link.replace_queued(place.clone(), left.as_bytes());
        place.end = place.start + left.len();
    }

    /// What is begun is not written anew, and bound by its attempt's time alone.
    pub(super) fn forget_begin(&mut self) {
        if self.link.has_begun_writing() {
            (self.told, self.by) = (None, None);
        }
    }

    pub(super) fn is_written(&self) -> bool {
        matches!(self.stage, Stage::Busy { written: true })
    }

    /// Whether nothing has come, not even the end.
    pub(super) fn quiet(&mut self) -> bool {
        self.link.fill(1).is_ok() && !self.link.ended && self.link.input.is_empty()
    }

    /// Whether an answer whose length is unknown has begun to come.
    pub(super) fn awaits_end(&mut self) -> bool {
        !self.streams && matches!(self.answer(), Ok(Came::Part { unknown: true }))
    }

    /// How much of an answer has come.
    pub(super) fn answer(&mut self) -> Result<Came, AttemptResult> {
        loop {
            if self.head.is_none() {
                self.head =
                    http::parse_response_head(&self.link.input).map_err(|_| AttemptResult::Garbled)?;
            }
            let Some(head) = &mut self.head else { return Ok(Came::Part { unknown: false }) };
            if head.status >= 200 {
                break;
            }
            // Words on the way, such as 100, are no answer; nobody asked for another protocol, nor for no end.
            let length = head.length;
            self.words += 1;
            if self.words > WORDS_MOST || head.status == 101 {
                return Err(AttemptResult::Garbled);
            }
            self.head = None;
            self.link.take_input(length);
        }
        let attempt = matches!(self.job, Some(Job { purpose: Purpose::Attempt(..), .. }));
        let Some(head) = &mut self.head else { return Ok(Came::Part { unknown: false }) };
        let passes = attempt && head.status == 200;
        match head.body.parse_buffered(
            &self.link.input[head.length..],
            self.link.ended && !self.link.broken,
            MAX_BUFFERED_BODY_BYTES,
        ) {
            Ok(Some(_)) => Ok(Came::Whole),
            Ok(None) => Ok(Came::Part { unknown: passes && !head.body.has_length() }),
            Err(HttpError::BodyTooLarge) if passes && head.body.size() <= MAX_BODY_BYTES => Ok(Came::Long),
            Err(_) => Err(AttemptResult::Garbled),
        }
    }

    /// Tells how what the connection carried has ended.
    pub(super) fn finish(
        &mut self,
        ending: AttemptResult,
        load: Load,
        answer: Option<(ResponseHead, Vec<u8>)>,
        io: &mut IoContext,
    ) {
        let Some(Job { purpose, sent, deadline, .. }) = self.job.take() else { return };
        io.deadlines.cancel(Some(deadline));
        let done = JobResult {
            backend: self.backend,
            purpose,
            result: ending,
            took: io.now.since(sent),
            load,
            response: answer,
        };
        io.events.push_back(ProxyEvent::JobEnded(done));
    }
}
