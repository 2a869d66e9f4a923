//! What has to hold for every request, whatever fails.

use std::time::{Duration, Instant};

use super::clients::{End, Record, SLACK};
use super::plan::Played;
use crate::helper::{Arrivals, Proxy};

/// From then on after SIGTERM the proxy ends what is open.
const ENDS_FROM: Duration = Duration::from_millis(550);
/// An end that came before the client looked at its connection for the last time, and was not seen there yet.
const EARLIER: Duration = Duration::from_millis(20);
const LEFT_SLACK: Duration = Duration::from_millis(100);
const TOLD_SLACK: f64 = 0.15;
const SERVED_LEAST: f64 = 0.9;

/// Seconds of processor time that a process has used.
pub fn processor_time(proxy: &Proxy) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", proxy.pid())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

/// What a play leaves for the judgement.
pub struct Outcome {
    pub records: Vec<Record>,
    pub arrivals: Vec<Arrivals>,
    pub faults: Vec<Played>,
    pub calm: (Instant, Instant),
    pub term: Instant,
}

/// Fails where a rule is broken; `case` names the play.
pub fn judge(case: &str, outcome: &Outcome) {
    let mut broken = Vec::new();
    for record in &outcome.records {
        broken.extend(lost(record, outcome));
        broken.extend(misforwarded(record, outcome));
    }
    let during = |record: &&Record| record.sent >= outcome.calm.0 && record.ended <= outcome.calm.1;
    let calm: Vec<_> =
        outcome.records.iter().filter(during).filter(|record| record.end != End::Left).collect();
    let served = calm
        .iter()
        .filter(|record| matches!(record.end, End::Answered { status: 200, whole: true, .. }))
        .count();
    if (served as f64) < SERVED_LEAST * calm.len() as f64 || calm.is_empty() {
        broken.push(format!("{served} of {} served once the faults are over", calm.len()));
    }
    let (count, shown) = (broken.len(), broken.iter().take(5).cloned().collect::<Vec<_>>().join("\n"));
    let start = outcome.faults[0].from;
    let span = |played: &Played| {
        let (from, to) = (played.from - start, played.to - start);
        format!("{from:?} to {to:?} {:?} {:?}", played.fault, played.side)
    };
    let faults = outcome.faults.iter().map(span).collect::<Vec<_>>().join("\n");
    let term = outcome.term - start;
    assert!(broken.is_empty(), "{case}: {count} broken\n{shown}\nSIGTERM at {term:?}, faults:\n{faults}");
}

/// Why a request counts as lost, if it does.
fn lost(record: &Record, outcome: &Outcome) -> Option<String> {
    let start = outcome.faults[0].from;
    let told = || {
        Some(format!(
            "lost, sent at {:?}, ended at {:?}: {record:?}",
            record.sent - start,
            record.ended - start
        ))
    };
    match record.end {
        End::Left => return None,
        End::Answered { whole: true, .. } => return None,
        End::Answered { whole: false, .. } => return told(),
        End::Broke { .. } | End::TimedOut => {}
    }
    // What the kernel says has ended is no longer owed.
    let ends =
        |played: &&Played| played.ends_clients() && played.overlaps(record.sent - EARLIER, record.ended);
    let until = record.sent + record.wait + SLACK;
    let excused = outcome.faults.iter().any(|played| ends(&played) || played.left_no_way(record.sent, until));
    let arrived = outcome.arrivals.iter().any(|all| !all.with_id(&record.id).is_empty());
    // It crossed the end of a connection, or of the listener, as the proxy goes down, and was not read.
    let crossed = record.sent > outcome.term + ENDS_FROM
        && !arrived
        && matches!(record.end, End::Broke { bytes: 0, .. })
        && record.ended - record.sent < SLACK;
    if excused || crossed {
        return None;
    }
    told()
}

/// What is wrong with the attempts of a request, if anything.
fn misforwarded(record: &Record, outcome: &Outcome) -> Option<String> {
    let arrivals: Vec<_> = outcome.arrivals.iter().flat_map(|all| all.with_id(&record.id)).collect();
    if record.once && arrivals.len() > 1 {
        return Some(format!("run {} times: {record:?}", arrivals.len()));
    }
    let late = |at: Instant| record.end == End::Left && at > record.ended + LEFT_SLACK;
    if arrivals.iter().any(|arrival| late(arrival.at)) {
        return Some(format!("begun after its client had left: {record:?}"));
    }
    let left = |at: Instant| record.wait.as_secs_f64() - (at - record.sent).as_secs_f64();
    let over = arrivals.iter().find(|arrival| arrival.timeout > left(arrival.at) + TOLD_SLACK);
    over.map(|arrival| format!("told {} s with {} s left: {record:?}", arrival.timeout, left(arrival.at)))
}
