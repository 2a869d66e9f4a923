//! All results that a connection to a backend, or a request on it, can have, and the outcome that each one is
//! for the balancer. This is the only place that maps events on a socket to outcomes.

use sparlug::event::Outcome;

/// How an attempt, a check or a connection ended. Log lines show the variants by `Debug`, so their names are
/// fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete response arrived; the connection may be reused.
    Answered { status: u16, not_started: bool },
    /// The connection was refused, or failed while it was being established.
    Refused,
    /// The connection was not established in time.
    NeverUp,
    /// Neither this backend nor any other could be reached for as long as connecting was tried.
    NoWay,
    /// The connection broke before the last byte of the request was written.
    BrokeBefore,
    /// The connection broke or ended after the last byte of the request and before any byte of the response.
    BrokeAfter,
    /// A reused connection broke or ended before any byte of the response; `written` tells whether the
    /// backend may have the request.
    KeptBroke { written: bool },
    /// The connection broke or ended within a response.
    CutShort,
    /// The backend sent something that is not a valid response.
    Garbled,
    /// The attempt timed out; `written` tells whether the backend may have the request.
    OutOfTime { written: bool },
    /// The balancer cancelled the attempt, or its client is gone; `written` tells whether the backend may
    /// have the request.
    CalledOff { written: bool },
    /// Before anything was written, the list said that the backend takes no new requests.
    Withdrawn,
    /// The connection was not established before it was too late to start the attempt.
    TooLate,
    /// The last byte of a repeat had not reached the backend when it was too late for that; `written` tells whether
    /// the backend may have got it meanwhile.
    NotDelivered { written: bool },
    /// The attempt was not started: its client may have left some time ago, behind further requests that are unread.
    ClientUnseen,
    /// No descriptor was left for a connection.
    NoRoom,
    /// The connection was idle: until its timeout, until the backend closed it, or until another connection
    /// needed its place.
    Idle,
}

impl AttemptResult {
    /// Whether a repeat was given up because its last byte would have reached the backend too late.
    pub fn is_undelivered_repeat(self) -> bool {
        matches!(self, AttemptResult::TooLate | AttemptResult::NotDelivered { .. })
    }

    /// The outcome that this result is for the balancer.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptResult::Answered { status: 200, .. } => Outcome::Served,
            AttemptResult::Answered { status: 503 | 504, not_started: true } => Outcome::Full,
            // 408 and 429 depend on the moment; all other 4xx statuses depend on the request.
            AttemptResult::Answered { status: 400..=407 | 409..=428 | 430..=499, .. } => Outcome::Faulted,
            AttemptResult::Answered { .. } => Outcome::Error,
            AttemptResult::Refused | AttemptResult::NeverUp | AttemptResult::BrokeBefore => {
                Outcome::ConnectFailed
            }
            AttemptResult::Withdrawn
            | AttemptResult::NoWay
            | AttemptResult::KeptBroke { written: false }
            | AttemptResult::NotDelivered { written: false } => Outcome::Withdrawn,
            AttemptResult::KeptBroke { written: true } | AttemptResult::NotDelivered { written: true } => {
                Outcome::Lost
            }
            AttemptResult::BrokeAfter | AttemptResult::CutShort | AttemptResult::Garbled => Outcome::Broken,
            AttemptResult::OutOfTime { written: true } => Outcome::TimedOut,
            AttemptResult::CalledOff { written: true } => Outcome::Cancelled,
            // A request that was still being written when it timed out says nothing about the backend.
            AttemptResult::NoRoom
            | AttemptResult::ClientUnseen
            | AttemptResult::TooLate
            | AttemptResult::Idle
            | AttemptResult::OutOfTime { written: false }
            | AttemptResult::CalledOff { written: false } => Outcome::NotSent,
        }
    }
}
