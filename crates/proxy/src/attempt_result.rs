//! Every way in which a connection to a backend can end, or a request on it, and what that means to the
//! decisions. Nothing else maps what happened on a socket to an outcome.

use sparlug::event::Outcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// An answer came whole; the connection may go on.
    Answered { status: u16, not_started: bool },
    /// The connection was refused, or failed while it was being made.
    Refused,
    /// It was not up in time.
    NeverUp,
    /// There was no way to it for as long as that was tried, nor to any other backend.
    NoWay,
    /// It broke before the last byte of the request was written.
    BrokeBefore,
    /// It broke or ended after that, with no answer begun.
    BrokeAfter,
    /// A connection that was kept from an earlier request broke or ended before any answer began; `written` tells
    /// whether the backend may have the request.
    KeptBroke { written: bool },
    /// It broke or ended within an answer.
    CutShort,
    /// What came is no answer that can be passed on.
    Garbled,
    /// The time for the attempt was up, and `written` tells whether the backend may have it.
    OutOfTime { written: bool },
    /// The decisions called the attempt off, or its client left; `written` tells whether the backend may have it.
    CalledOff { written: bool },
    /// The list said, before anything was written, that the backend takes nothing new.
    Withdrawn,
    /// It was not up before the attempt might no longer begin.
    TooLate,
    /// No descriptor was left for a connection.
    NoRoom,
    /// The connection stood idle: for long enough, until the backend closed it, or until its place was
    /// needed.
    Idle,
}

impl AttemptResult {
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptResult::Answered { status: 200, .. } => Outcome::Served,
            AttemptResult::Answered { status: 503 | 504, not_started: true } => Outcome::Full,
            // 408 and 429 speak of the moment, all others of the request.
            AttemptResult::Answered { status: 400..=407 | 409..=428 | 430..=499, .. } => Outcome::Faulted,
            AttemptResult::Answered { .. } => Outcome::Error,
            AttemptResult::Refused | AttemptResult::NeverUp | AttemptResult::BrokeBefore => {
                Outcome::ConnectFailed
            }
            AttemptResult::Withdrawn | AttemptResult::NoWay | AttemptResult::KeptBroke { written: false } => {
                Outcome::Withdrawn
            }
            AttemptResult::KeptBroke { written: true } => Outcome::Lost,
            AttemptResult::BrokeAfter | AttemptResult::CutShort | AttemptResult::Garbled => Outcome::Broken,
            AttemptResult::OutOfTime { written: true } => Outcome::TimedOut,
            AttemptResult::CalledOff { written: true } => Outcome::Cancelled,
            // What was still being written when its own time was up says nothing of the backend.
            AttemptResult::NoRoom
            | AttemptResult::TooLate
            | AttemptResult::Idle
            | AttemptResult::OutOfTime { written: false }
            | AttemptResult::CalledOff { written: false } => Outcome::NotSent,
        }
    }
}
