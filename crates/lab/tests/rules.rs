//! Checks the rules against constructed records: every way of breaking a rule must be detected, and effects
//! of a run's planned faults must not count as breaches.

use std::path::Path;

use sparlug_lab::clock::{Micros, Timestamp};
use sparlug_lab::record::{Record, RecordKind};
use sparlug_lab::rules::{judge, timeline, Rule, Verdict};
use sparlug_lab::scenario::Scenario;
use sparlug_lab::scenario_file::ScenarioFile;

const SCENARIO: &str = r#"
name = "forged"
about = "for the ledger"
lasts = "10s"
short = "1s"
[[tier]]
name = "front"
backends = 4
pod = 2
service = "20ms"
[[tier]]
name = "core"
[[class]]
name = "read"
goal = "200ms"
cut_off = "500ms"
effect = "reissuable"
[[class]]
name = "write"
goal = "200ms"
cut_off = "500ms"
effect = "at-most-once"
[[class]]
name = "mark"
goal = "200ms"
cut_off = "500ms"
effect = "numbered"
group = "pod"
window = "300ms"
[load]
rate = 1
"#;

fn scenario() -> Scenario {
    ScenarioFile::of(Path::new("forged.toml"), SCENARIO.to_string()).unwrap().scenario(None, false).unwrap()
}

const PROXY: &str = "front/p-0";

fn at(ms: i64) -> Timestamp {
    Timestamp(1_000_000_000 + ms * 1000)
}

fn record(ms: i64, component: &str, kind: RecordKind) -> Record {
    Record { t: at(ms), component: component.to_string(), kind }
}

fn sent(ms: i64, id: &str, class: &str) -> Record {
    let (id, class, to) = (id.to_string(), class.to_string(), PROXY.to_string());
    let (due, deadline) = (at(ms), at(ms) + Micros::from_millis(500));
    record(ms, "callers", RecordKind::Sent { id, intent: 1, class, to, due, deadline, retry_number: 0 })
}

fn response_received(ms: i64, id: &str, status: u16) -> Record {
    record(ms, "callers", RecordKind::ResponseReceived { id: id.to_string(), status, retry_after_ms: None })
}

fn connection_lost(ms: i64, id: &str, how: &str) -> Record {
    record(ms, "callers", RecordKind::ConnectionLost { id: id.to_string(), how: how.to_string() })
}

fn arrived(ms: i64, host: &str, id: &str) -> Record {
    record(ms, host, RecordKind::Arrived { id: id.to_string(), first: at(ms), class: "x".to_string() })
}

fn processing_started(ms: i64, host: &str, id: &str) -> Record {
    record(ms, host, RecordKind::ProcessingStarted { id: id.to_string() })
}

fn health_reported(ms: i64, host: &str, health: &str) -> Record {
    health_reported_in(7, ms, host, health)
}

/// A report of the list of version `seq`.
fn health_reported_in(seq: u64, ms: i64, host: &str, health: &str) -> Record {
    let (proxy, host, health) = (PROXY.to_string(), host.to_string(), health.to_string());
    record(ms, "front/a", RecordKind::HealthReported { proxy, host, health, seq })
}

fn proxy_down(ms: i64, how: &str) -> Record {
    record(ms, "lab", RecordKind::ProxyDown { proxy: PROXY.to_string(), how: how.to_string() })
}

fn end() -> Record {
    record(9000, "lab", RecordKind::Note { text: "end".to_string() })
}

fn verdict(records: &[Record]) -> Verdict {
    let mut records = records.to_vec();
    records.push(end());
    records.sort_by_key(|record| record.t);
    judge(&records, &scenario())
}

fn broken_rules(records: &[Record]) -> Vec<Rule> {
    verdict(records).breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn a_timely_response_and_a_single_execution_break_no_rule() {
    let records = [
        sent(0, "a", "write"),
        arrived(5, "front/s-1", "a"),
        processing_started(6, "front/s-1", "a"),
        response_received(30, "a", 200),
    ];
    let found = verdict(&records);
    assert!(found.breaches.is_empty(), "{:?}", found.breaches);
    assert_eq!(found.accepted, 1);
}

#[test]
fn each_breach_of_one_response_is_detected() {
    let never = [
        sent(0, "a", "read"),
        record(750, "callers", RecordKind::GaveUp { id: "a".to_string(), own: false }),
    ];
    let silent = [sent(0, "a", "read")];
    let late = [sent(0, "a", "read"), response_received(560, "a", 200)];
    let twice = [sent(0, "a", "read"), response_received(20, "a", 200), response_received(30, "a", 200)];
    let more = [
        sent(0, "a", "read"),
        response_received(20, "a", 200),
        record(21, "callers", RecordKind::UnsolicitedBytes { id: "a".to_string(), bytes: 9 }),
    ];
    let idle = [record(21, "callers", RecordKind::UnsolicitedBytes { id: String::new(), bytes: 9 })];
    let cut = [sent(0, "a", "read"), connection_lost(100, "a", "Reset on a new connection")];
    // The request had arrived at a backend, so the close was no race with it, however soon it came.
    let dropped = [
        sent(0, "a", "read"),
        arrived(2, "front/s-1", "a"),
        connection_lost(9, "a", "Closed on a kept connection"),
    ];
    for case in [&never[..], &silent, &late, &twice, &more, &idle, &cut, &dropped] {
        assert_eq!(broken_rules(case), [Rule::OneResponse], "{case:?}");
    }
    let call =
        RecordKind::CallSent { id: "a.b.1".into(), by: "a".into(), to: "core/p-0".into(), deadline: at(500) };
    let ended = RecordKind::CallEnded { id: "a.b.1".into(), status: 0 };
    let of_a_call = [
        sent(0, "a", "read"),
        record(5, "front/s-0", call),
        record(90, "front/s-0", ended),
        response_received(95, "a", 502),
    ];
    assert_eq!(broken_rules(&of_a_call), [Rule::OneResponse]);
}

#[test]
fn planned_faults_and_leaving_clients_do_not_breach_one_response() {
    let left =
        [sent(0, "a", "read"), record(250, "callers", RecordKind::GaveUp { id: "a".to_string(), own: true })];
    let killed = [
        sent(0, "a", "write"),
        proxy_down(40, "kill"),
        connection_lost(41, "a", "Reset on a new connection"),
    ];
    let close_races = [sent(0, "a", "write"), connection_lost(4, "a", "Closed on a kept connection")];
    let cut = RecordKind::Cut { link: "front/c-0".to_string(), how: "Reset".to_string() };
    let link = [
        sent(0, "a", "read"),
        record(40, "front/c-0", cut),
        connection_lost(41, "a", "Reset on a new connection"),
    ];
    for case in [&left[..], &killed, &close_races, &link] {
        assert!(broken_rules(case).is_empty(), "{case:?}");
    }
    assert_eq!((verdict(&killed).excused, verdict(&close_races).close_races), (1, 1));
    // A planned shutdown by signal excuses nothing, nor does a kill that ended long before.
    let term = [
        sent(0, "a", "read"),
        proxy_down(40, "term"),
        connection_lost(300, "a", "Reset on a new connection"),
    ];
    let up = record(600, "lab", RecordKind::ProxyUp { proxy: PROXY.to_string() });
    let before = [
        proxy_down(0, "kill"),
        up,
        sent(1000, "a", "read"),
        connection_lost(1300, "a", "Reset on a new connection"),
    ];
    assert_eq!(broken_rules(&term), [Rule::OneResponse]);
    assert_eq!(broken_rules(&before), [Rule::OneResponse]);
}

#[test]
fn each_breach_of_one_execution_is_detected() {
    let with_success =
        |records: &[Record]| [records, &[sent(0, "a", "write"), response_received(80, "a", 200)]].concat();
    let twice = [processing_started(5, "front/s-0", "a"), processing_started(30, "front/s-1", "a")];
    let same = [processing_started(5, "front/s-0", "a"), processing_started(30, "front/s-0", "a")];
    assert_eq!(broken_rules(&with_success(&twice)), [Rule::OneExecution]);
    assert_eq!(broken_rules(&with_success(&same)), [Rule::OneExecution]);
    // The same holds when the second execution starts after the response.
    assert_eq!(
        broken_rules(&with_success(&[
            processing_started(5, "front/s-0", "a"),
            processing_started(600, "front/s-1", "a")
        ])),
        [Rule::OneExecution]
    );
    for status in [503, 429] {
        let refused = [
            sent(0, "a", "write"),
            processing_started(5, "front/s-0", "a"),
            response_received(40, "a", status),
        ];
        assert_eq!(broken_rules(&refused), [Rule::OneExecution]);
        let later = [
            sent(0, "a", "write"),
            response_received(40, "a", status),
            processing_started(45, "front/s-0", "a"),
        ];
        assert_eq!(broken_rules(&later), [Rule::OneExecution]);
    }
    let repeat = [
        sent(0, "a", "read"),
        processing_started(5, "front/s-0", "a"),
        processing_started(9, "front/s-1", "a"),
        response_received(40, "a", 200),
    ];
    assert!(broken_rules(&repeat).is_empty());
    let call = |id: &str| RecordKind::CallSent {
        id: id.into(),
        by: "a".into(),
        to: "core/p-0".into(),
        deadline: at(500),
    };
    let ended = RecordKind::CallEnded { id: "a.b.1".into(), status: 200 };
    let lower_tier_twice = [
        record(6, "front/s-0", call("a.b.1")),
        processing_started(8, "core/s-0", "a.b.1"),
        processing_started(20, "core/s-1", "a.b.1"),
        record(40, "front/s-0", ended),
    ];
    assert_eq!(broken_rules(&with_success(&lower_tier_twice)), [Rule::OneExecution]);
}

#[test]
fn keyed_repeats_stay_in_their_group_and_window() {
    let keyed = |second: Record, status| {
        broken_rules(&[
            sent(0, "a", "mark"),
            processing_started(5, "front/s-0", "a"),
            second,
            response_received(400, "a", status),
        ])
    };
    assert!(keyed(processing_started(200, "front/s-1", "a"), 200).is_empty());
    assert_eq!(keyed(processing_started(200, "front/s-2", "a"), 200), [Rule::OneExecution]);
    assert_eq!(keyed(processing_started(380, "front/s-1", "a"), 200), [Rule::OneExecution]);
    // Refused after it had started: a retry may go to another group.
    assert_eq!(keyed(processing_started(200, "front/s-1", "a"), 503), [Rule::OneExecution]);
}

#[test]
fn a_request_to_a_draining_backend_after_the_grace_is_detected() {
    let breaches_at = |ms, before: &[Record]| {
        let records =
            [sent(ms - 5, "a", "read"), arrived(ms, "front/s-2", "a"), response_received(ms + 20, "a", 200)];
        broken_rules(&[before, &records].concat())
    };
    let drain = [health_reported(1000, "front/s-2", "Terminating")];
    assert!(breaches_at(1440, &drain).is_empty());
    assert_eq!(breaches_at(1460, &drain), [Rule::DrainGrace]);
    assert_eq!(breaches_at(1460, &[health_reported(1000, "front/s-2", "Gone")]), [Rule::DrainGrace]);
    // A repeated announcement does not restart the grace, a ready backend ends the drain, and other backends
    // are not affected.
    let again = [drain[0].clone(), health_reported(1400, "front/s-2", "Terminating")];
    assert_eq!(breaches_at(1460, &again), [Rule::DrainGrace]);
    let ready = |seq| health_reported_in(seq, 1500, "front/s-2", "Ready");
    assert!(breaches_at(1960, &[drain[0].clone(), ready(8)]).is_empty());
    // A list of the same or of an older version does not end the drain, unless the backend has restarted.
    for seq in [7, 6] {
        assert_eq!(breaches_at(1960, &[drain[0].clone(), ready(seq)]), [Rule::DrainGrace]);
        let restart = record(1200, "front/s-2", RecordKind::Started { warm: true, generation: 2 });
        assert!(breaches_at(1960, &[drain[0].clone(), restart, ready(seq)]).is_empty());
    }
    let older_drain = [drain[0].clone(), health_reported_in(5, 1300, "front/s-2", "Gone"), ready(7)];
    assert_eq!(breaches_at(1960, &older_drain), [Rule::DrainGrace], "an older report lowers no version");
    assert!(breaches_at(1960, &[health_reported(1000, "front/s-3", "Terminating")]).is_empty());
    // A restarted proxy has not been told yet.
    let up = record(1700, "lab", RecordKind::ProxyUp { proxy: PROXY.to_string() });
    let restarted = [drain[0].clone(), proxy_down(1600, "kill"), up];
    assert!(breaches_at(1960, &restarted).is_empty());
    assert_eq!(
        breaches_at(2960, &[&restarted[..], &[health_reported(1800, "front/s-2", "Terminating")]].concat()),
        [Rule::DrainGrace]
    );
}

#[test]
fn overload_of_a_cold_backend_is_detected_but_not_of_a_warm_one() {
    let offer = |warm: bool, from: i64, every_ms: i64| {
        let start = record(0, "front/s-1", RecordKind::Started { warm, generation: 2 });
        let all = (0..1000).map(|n| arrived(from + n * every_ms, "front/s-1", &format!("x{n}")));
        broken_rules(&[vec![start], all.collect()].concat())
    };
    // The backend handles 75 requests per 1.5 s window when warm, and about 45 at 1.5 s after its start.
    assert_eq!(offer(false, 0, 2), [Rule::SlowStart]);
    assert!(offer(true, 0, 2).is_empty());
    assert!(offer(false, 0, 20).is_empty());
    assert!(offer(false, 4100, 2).is_empty(), "the backend is warm by then");
}

#[test]
fn a_proxy_crash_is_detected() {
    assert_eq!(broken_rules(&[proxy_down(100, "crash: exit status: 101")]), [Rule::NoCrash]);
}

#[test]
fn the_labs_own_timer_lateness_relaxes_only_time_limits() {
    let late = record(8000, "front/s-0", RecordKind::TimerLateness { p99_us: 2000, max_us: 30_000 });
    let answer = [sent(0, "a", "read"), response_received(570, "a", 200), late.clone()];
    assert!(broken_rules(&answer).is_empty());
    let twice = [
        sent(0, "a", "write"),
        processing_started(5, "front/s-0", "a"),
        processing_started(6, "front/s-1", "a"),
        response_received(9, "a", 200),
        late,
    ];
    assert_eq!(broken_rules(&twice), [Rule::OneExecution]);
    let busy = [record(8000, "front/s-0", RecordKind::TimerLateness { p99_us: 90_000, max_us: 200_000 })];
    assert!(verdict(&busy).unsure());
}

#[test]
fn a_timeline_contains_all_records_of_a_request_and_its_calls() {
    let call =
        RecordKind::CallSent { id: "a.b.1".into(), by: "a".into(), to: "core/p-0".into(), deadline: at(500) };
    let fault =
        RecordKind::Fault { text: "Stall front/s-1".into(), on: true, fault: None, affected: String::new() };
    let records = [
        record(0, "lab", fault),
        sent(10, "a", "write"),
        processing_started(12, "front/s-1", "a"),
        record(14, "front/s-1", call),
        processing_started(16, "core/s-0", "a.b.1"),
        sent(17, "b", "read"),
        response_received(40, "a", 200),
    ];
    let log = [("front-p-0".to_string(), "DEBUG forward ended id=\"a\"\nother".to_string())];
    let lines = timeline(&records, "a", at(0), &log);
    assert_eq!(lines.len(), 7, "{lines:#?}");
    assert!(
        lines[0].contains("Stall") && lines[4].contains("core/s-0") && lines[6].starts_with("front-p-0 log")
    );
}
