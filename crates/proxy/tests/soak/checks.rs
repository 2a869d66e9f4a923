//! Checks that hold for every request, whichever faults are injected.

use std::time::{Duration, Instant};

use super::clients::{RequestEnd, RequestRecord, SLACK};
use super::faults::InjectedFault;
use crate::helper::{Arrivals, Proxy};

/// Time after SIGTERM from which on the proxy closes open connections.
const CLOSES_AFTER: Duration = Duration::from_millis(550);
/// Time after SIGTERM at which the proxy has ended.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(2_000);
/// A fault may end a connection up to this long before the client sends on it, too late for the client to
/// detect it before sending.
const UNSEEN_CLOSE: Duration = Duration::from_millis(20);
/// Time in which the proxy notices that a client has gone.
const CLIENT_GONE_SLACK: Duration = Duration::from_millis(100);
/// Tolerance for the `Request-Timeout` that a backend receives.
const TIMEOUT_SLACK_S: f64 = 0.15;
const MIN_SERVED_RATIO: f64 = 0.9;

/// Processor time that the process has used, in seconds.
pub fn cpu_time_s(proxy: &Proxy) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", proxy.pid())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

/// What a run has recorded.
pub struct RunRecord {
    pub start: Instant,
    pub records: Vec<RequestRecord>,
    /// Requests received, by backend.
    pub arrivals: Vec<Arrivals>,
    pub faults: Vec<InjectedFault>,
    /// Start and end of the time without faults in which requests have to be served; equal if there is none.
    pub fault_free: (Instant, Instant),
    /// When SIGTERM was sent, to each process of the proxy.
    pub sigterms: Vec<Instant>,
}

/// Panics if any check fails; `case` names the run.
pub fn check_run(case: &str, run: &RunRecord) {
    let mut violations = Vec::new();
    for record in &run.records {
        violations.extend(check_answered(record, run));
        violations.extend(check_attempts(record, run));
    }
    let in_time =
        |record: &&RequestRecord| record.sent >= run.fault_free.0 && record.ended <= run.fault_free.1;
    let fault_free: Vec<_> =
        run.records.iter().filter(in_time).filter(|record| record.end != RequestEnd::ClientGone).collect();
    let served = fault_free
        .iter()
        .filter(|record| matches!(record.end, RequestEnd::Answered { status: 200, complete: true, .. }))
        .count();
    let is_checked = run.fault_free.1 > run.fault_free.0;
    let too_few = (served as f64) < MIN_SERVED_RATIO * fault_free.len() as f64 || fault_free.is_empty();
    if is_checked && too_few {
        violations.push(format!("{served} of {} requests served after the faults ended", fault_free.len()));
    }
    let (count, shown) =
        (violations.len(), violations.iter().take(5).cloned().collect::<Vec<_>>().join("\n"));
    let start = run.start;
    let describe = |injected: &InjectedFault| {
        let (from, to) = (injected.from - start, injected.to - start);
        format!("{from:?} to {to:?} {:?} {:?}", injected.fault, injected.side)
    };
    let faults = run.faults.iter().map(describe).collect::<Vec<_>>().join("\n");
    let sigterms: Vec<_> = run.sigterms.iter().map(|at| *at - start).collect();
    assert!(
        violations.is_empty(),
        "{case}: {count} violations\n{shown}\nSIGTERM at {sigterms:?}, faults:\n{faults}"
    );
}

/// Describes a request that got no complete response in time, unless a fault or the shutdown excuses that.
fn check_answered(record: &RequestRecord, run: &RunRecord) -> Option<String> {
    let start = run.start;
    let violation = || {
        Some(format!(
            "no complete response, sent at {:?}, ended at {:?}: {record:?}",
            record.sent - start,
            record.ended - start
        ))
    };
    match record.end {
        RequestEnd::ClientGone => return None,
        RequestEnd::Answered { complete: true, .. } => return None,
        RequestEnd::Answered { complete: false, .. } => return violation(),
        RequestEnd::ConnectionEnded { .. } | RequestEnd::TimedOut => {}
    }
    // The proxy cannot respond on a connection on which a read or write failed with an error that ends it.
    let ends_connection = |injected: &&InjectedFault| {
        injected.may_end_client_connections() && injected.overlaps(record.sent - UNSEEN_CLOSE, record.ended)
    };
    let deadline = record.sent + record.timeout + SLACK;
    let excused = run
        .faults
        .iter()
        .any(|injected| ends_connection(&injected) || injected.blocked_clients(record.sent, deadline));
    let arrived = run.arrivals.iter().any(|all| !all.with_id(&record.id).is_empty());
    // The request was sent while the proxy closed its connection, or the listener, during the shutdown, and
    // was never read.
    let is_shutting_down =
        |at: &Instant| record.sent > *at + CLOSES_AFTER && record.sent < *at + MAX_SHUTDOWN_TIME;
    let crossed_close = run.sigterms.iter().any(is_shutting_down)
        && !arrived
        && matches!(record.end, RequestEnd::ConnectionEnded { bytes: 0, .. })
        && record.ended - record.sent < SLACK;
    if excused || crossed_close {
        return None;
    }
    violation()
}

/// Describes what is wrong with the attempts of a request, if anything.
fn check_attempts(record: &RequestRecord, run: &RunRecord) -> Option<String> {
    let arrivals: Vec<_> = run.arrivals.iter().flat_map(|all| all.with_id(&record.id)).collect();
    if record.at_most_once && arrivals.len() > 1 {
        return Some(format!("at-most-once request run {} times: {record:?}", arrivals.len()));
    }
    let late = |at: Instant| record.end == RequestEnd::ClientGone && at > record.ended + CLIENT_GONE_SLACK;
    if arrivals.iter().any(|arrival| late(arrival.at)) {
        return Some(format!("attempt started after its client had gone: {record:?}"));
    }
    let remaining_s = |at: Instant| record.timeout.as_secs_f64() - (at - record.sent).as_secs_f64();
    let too_long =
        arrivals.iter().find(|arrival| arrival.timeout > remaining_s(arrival.at) + TIMEOUT_SLACK_S);
    too_long.map(|arrival| {
        format!(
            "timeout of {} s forwarded with {} s left: {record:?}",
            arrival.timeout,
            remaining_s(arrival.at)
        )
    })
}
