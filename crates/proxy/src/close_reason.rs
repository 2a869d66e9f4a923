//! Why client connections are closed, and counts of those closed before their response was complete.

use std::fmt::{self, Write};

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed its side.
    ByClient,
    /// Reading from the client failed.
    ReadFailed,
    /// Writing to the client failed.
    WriteFailed,
    /// The backend's response broke off after a part of it was forwarded.
    AnswerBroke,
    /// The client did not read its response in time.
    AnswerNotTaken,
    /// The connection was closed to make room for a new one.
    MadeRoom,
    /// The client read the last response, or the time to do so is over.
    Done,
    /// The process ended.
    ProcessEnded,
}

const CLOSE_REASONS: [CloseReason; 8] = [
    CloseReason::ByClient,
    CloseReason::ReadFailed,
    CloseReason::WriteFailed,
    CloseReason::AnswerBroke,
    CloseReason::AnswerNotTaken,
    CloseReason::MadeRoom,
    CloseReason::Done,
    CloseReason::ProcessEnded,
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
            CloseReason::ProcessEnded => "process_ended",
        }
    }
}

/// Counts, by reason, the connections that were closed before a pending response was completely written.
#[derive(Default)]
pub struct UnansweredCounts {
    counts: [u64; CLOSE_REASONS.len()],
}

impl UnansweredCounts {
    pub fn count(&mut self, reason: CloseReason) {
        self.counts[reason as usize] += 1;
    }

    /// The counts as metrics, one per line.
    pub fn report(&self) -> String {
        let mut text = String::new();
        for reason in CLOSE_REASONS {
            let count = self.counts[reason as usize];
            let _ = writeln!(text, "svc.closed_unanswered.{}:{count}|c", reason.name());
        }
        text
    }
}

impl fmt::Display for UnansweredCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut non_zero = CLOSE_REASONS.into_iter().filter(|reason| self.counts[*reason as usize] > 0);
        non_zero.try_for_each(|reason| {
            write!(f, " unanswered_{}={}", reason.name(), self.counts[reason as usize])
        })
    }
}
