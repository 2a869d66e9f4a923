//! Counts of what the proxy received, sent and responded to since its start, for `/metrics` and for the log.

use std::fmt::{self, Write};

use sparlug::event::Outcome;

use crate::close_reason::UnansweredCounts;
use crate::io_failures::IoFailures;
use crate::logging::dropped_lines;

/// Counts since the start of the process.
#[derive(Default)]
pub struct Counters {
    /// Connections accepted from clients.
    pub connections: u64,
    pub requests_received: u64,
    pub bad_input: u64,
    pub clients_gone: u64,
    /// Attempts that were not started because their client may have left, behind further requests that are unread.
    pub clients_unseen: u64,
    /// At-most-once requests that came again under the id of an earlier one and were rejected.
    pub repeated_ids: u64,
    pub served: u64,
    pub refused: u64,
    /// Connections of clients that were closed for new ones.
    pub evicted: u64,
    /// Requests that were refused because the memory had no room for them.
    pub refused_for_memory: u64,
    pub failed: u64,
    /// Requests that got a 504 because no response had come by their deadline.
    pub overdue: u64,
    /// Uploads that were refused because a backend did not take them in their time.
    pub uploads_overdue: u64,
    pub attempts_started: u64,
    pub checks: u64,
    pub connections_opened: u64,
    pub connections_reused: u64,
    /// Messages received from peers.
    pub peer_messages: u64,
    pub lists_received: u64,
    pub lists_failed: u64,
    /// Requests for lists that were given up although their connection had not ended.
    pub lists_abandoned: u64,
    /// Lists no newer than one that was applied since they were requested.
    pub lists_superseded: u64,
    /// Backend lists with suspicious contents, whether or not they were applied.
    pub suspicious_lists: u64,
    /// Lists that were received and not applied.
    pub lists_ignored: u64,
    /// Lists of a version below the highest one of their agent.
    pub lists_older: u64,
    /// Backends whose address another one has taken.
    pub backends_replaced: u64,
    /// Entries of lists that name a backend as ready which a newer list has withdrawn.
    pub entries_withheld: u64,
    /// Attempts whose last byte was written.
    pub attempts_sent: u64,
    /// Repeats that were given up because their last byte would have reached the backend too late.
    pub repeats_undelivered: u64,
    /// Responses that were given before the request's body was read, which end their connections.
    pub responses_before_body: u64,
    pub failures: IoFailures,
    pub closed_unanswered: UnansweredCounts,
    /// Attempts by `Outcome`.
    outcomes: [u64; 11],
    /// Clients' requests by class and result: served, refused, failed.
    results_by_class: Vec<[u64; 3]>,
}

impl Counters {
    /// Counts the result of a request by the status of its response; each request is counted once.
    pub fn count_response(&mut self, class: Option<u16>, status: u16) {
        let Some(class) = class.map(usize::from) else { return };
        if self.results_by_class.len() <= class {
            self.results_by_class.resize(class + 1, [0; 3]);
        }
        let result = match status {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        self.results_by_class[class][result] += 1;
    }

    /// The counts as metrics, one per line.
    pub fn report(&self, classes: &[String]) -> String {
        let mut text = String::new();
        for (index, class) in classes.iter().enumerate() {
            let results = self.results_by_class.get(index).copied().unwrap_or_default();
            for (name, count) in ["served", "refused", "failed"].iter().zip(results) {
                let _ = writeln!(text, "svc.requests.{class}.{name}:{count}|c");
            }
        }
        let _ = writeln!(text, "svc.attempts:{}|c", self.attempts_sent);
        let _ = writeln!(text, "svc.responses_before_body:{}|c", self.responses_before_body);
        let _ = writeln!(text, "svc.clients.unseen:{}|c", self.clients_unseen);
        let _ = writeln!(text, "svc.clients.evicted:{}|c", self.evicted);
        let _ = writeln!(text, "svc.refused_for_memory:{}|c", self.refused_for_memory);
        let _ = writeln!(text, "svc.uploads_overdue:{}|c", self.uploads_overdue);
        let _ = writeln!(text, "svc.repeats_undelivered:{}|c", self.repeats_undelivered);
        let _ = writeln!(text, "svc.repeated_ids:{}|c", self.repeated_ids);
        let _ = writeln!(text, "svc.lists.received:{}|c", self.lists_received);
        let _ = writeln!(text, "svc.lists.failed:{}|c", self.lists_failed);
        let _ = writeln!(text, "svc.lists.abandoned:{}|c", self.lists_abandoned);
        let _ = writeln!(text, "svc.lists.superseded:{}|c", self.lists_superseded);
        let _ = writeln!(text, "svc.lists.suspicious:{}|c", self.suspicious_lists);
        let _ = writeln!(text, "svc.lists.ignored:{}|c", self.lists_ignored);
        let _ = writeln!(text, "svc.lists.older:{}|c", self.lists_older);
        let _ = writeln!(text, "svc.lists.backends_replaced:{}|c", self.backends_replaced);
        let _ = writeln!(text, "svc.lists.entries_withheld:{}|c", self.entries_withheld);
        let _ = writeln!(text, "svc.log_lines_left_out:{}|c", dropped_lines());
        text + &self.closed_unanswered.report() + &self.failures.report()
    }

    pub fn count_outcome(&mut self, outcome: Outcome) {
        self.outcomes[outcome as usize] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "connections={} taken={} bad_input={} ",
            self.connections, self.requests_received, self.bad_input
        )?;
        write!(f, "honoured={} turned_back={} ", self.served, self.refused)?;
        write!(f, "refused_for_memory={} evicted={} ", self.refused_for_memory, self.evicted)?;
        write!(f, "uploads_overdue={} repeated_ids={} ", self.uploads_overdue, self.repeated_ids)?;
        write!(f, "forfeited={} overdue={} left={} ", self.failed, self.overdue, self.clients_gone)?;
        write!(
            f,
            "forwards={} dialled={} reused={} ",
            self.attempts_started, self.connections_opened, self.connections_reused
        )?;
        write!(f, "checks={} heard={} ", self.checks, self.peer_messages)?;
        write!(f, "lists={} lists_failed={} ", self.lists_received, self.lists_failed)?;
        write!(f, "lists_odd={} log_lines_left_out={}", self.suspicious_lists, dropped_lines())?;
        write!(f, "{}{}", self.closed_unanswered, self.failures)?;
        let names = [
            "honoured",
            "error",
            "full",
            "timed_out",
            "connect_failed",
            "broken",
            "cancelled",
            "not_sent",
            "withdrawn",
            "lost",
            "faulted",
        ];
        names.iter().zip(self.outcomes).try_for_each(|(name, count)| write!(f, " ended_{name}={count}"))
    }
}
