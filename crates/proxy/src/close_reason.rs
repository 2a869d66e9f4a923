//! Why a client's connection was closed, and how many were closed with an answer still owed.

use std::fmt::{self, Write};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed its side.
    ByClient,
    /// Reading failed.
    ReadFailed,
    /// Writing failed.
    WriteFailed,
    /// The backend's answer broke off after a part of it was passed on.
    AnswerBroke,
    /// The client did not take its answer in time.
    AnswerNotTaken,
    /// Its place was needed for a new connection.
    MadeRoom,
    /// The last answer was read, or the time for that is over.
    Done,
}

const REASONS: [CloseReason; 7] = [
    CloseReason::ByClient,
    CloseReason::ReadFailed,
    CloseReason::WriteFailed,
    CloseReason::AnswerBroke,
    CloseReason::AnswerNotTaken,
    CloseReason::MadeRoom,
    CloseReason::Done,
];

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            CloseReason::ByClient => "by_client",
            CloseReason::ReadFailed => "read_failed",
            CloseReason::WriteFailed => "write_failed",
            CloseReason::AnswerBroke => "answer_broke",
            CloseReason::AnswerNotTaken => "answer_not_taken",
            CloseReason::MadeRoom => "made_room",
            CloseReason::Done => "done",
        }
    }
}

/// Connections that were closed before an answer that was owed was written whole, by reason.
#[derive(Default)]
pub struct Unanswered {
    counts: [u64; REASONS.len()],
}

impl Unanswered {
    pub fn count(&mut self, reason: CloseReason) {
        self.counts[reason as usize] += 1;
    }

    /// The counts in the form that operators read, a figure a line.
    pub fn report(&self) -> String {
        let mut text = String::new();
        for reason in REASONS {
            let count = self.counts[reason as usize];
            let _ = writeln!(text, "svc.closed_unanswered.{}:{count}|c", reason.name());
        }
        text
    }
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut counted = REASONS.into_iter().filter(|reason| self.counts[*reason as usize] > 0);
        counted.try_for_each(|reason| {
            write!(f, " unanswered_{}={}", reason.name(), self.counts[reason as usize])
        })
    }
}
