//! The ledger against forged records: each rule broken in each way must be caught, and what the plan of a run
//! brought about must not.

use std::path::Path;

use sparlug_lab::clock::{At, Micros};
use sparlug_lab::record::{Record, RecordKind};
use sparlug_lab::rules::{judge, timeline, Rule, Verdict};
use sparlug_lab::scenario::Scenario;
use sparlug_lab::scenario_file::ScenarioFile;

const TEXT: &str = r#"
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
    ScenarioFile::of(Path::new("forged.toml"), TEXT.to_string()).unwrap().scenario(None, false).unwrap()
}

const P: &str = "front/p-0";

fn at(ms: i64) -> At {
    At(1_000_000_000 + ms * 1000)
}

fn record(ms: i64, part: &str, what: RecordKind) -> Record {
    Record { t: at(ms), component: part.to_string(), kind: what }
}

fn sent(ms: i64, id: &str, class: &str) -> Record {
    let (id, class, to) = (id.to_string(), class.to_string(), P.to_string());
    let (due, cut_off) = (at(ms), at(ms) + Micros::from_millis(500));
    record(ms, "callers", RecordKind::Sent { id, intent: 1, class, to, due, cut_off, try_no: 0 })
}

fn answered(ms: i64, id: &str, status: u16) -> Record {
    record(ms, "callers", RecordKind::ResponseReceived { id: id.to_string(), status, retry_after_ms: None })
}

fn lost(ms: i64, id: &str, how: &str) -> Record {
    record(ms, "callers", RecordKind::ConnectionLost { id: id.to_string(), how: how.to_string() })
}

fn arrived(ms: i64, host: &str, id: &str) -> Record {
    record(ms, host, RecordKind::Arrived { id: id.to_string(), first: at(ms), class: "x".to_string() })
}

fn began(ms: i64, host: &str, id: &str) -> Record {
    record(ms, host, RecordKind::ProcessingStarted { id: id.to_string() })
}

fn told(ms: i64, host: &str, health: &str) -> Record {
    let (proxy, host, health) = (P.to_string(), host.to_string(), health.to_string());
    record(ms, "front/a", RecordKind::HealthReported { proxy, host, health, seq: 7 })
}

fn down(ms: i64, how: &str) -> Record {
    record(ms, "lab", RecordKind::ProxyDown { proxy: P.to_string(), how: how.to_string() })
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

fn broken(records: &[Record]) -> Vec<Rule> {
    verdict(records).breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn an_answer_in_time_and_one_begin_break_nothing() {
    let good = [
        sent(0, "a", "write"),
        arrived(5, "front/s-1", "a"),
        began(6, "front/s-1", "a"),
        answered(30, "a", 200),
    ];
    let found = verdict(&good);
    assert!(found.breaches.is_empty(), "{:?}", found.breaches);
    assert_eq!(found.taken, 1);
}

#[test]
fn each_way_to_break_one_answer_is_caught() {
    let never = [
        sent(0, "a", "read"),
        record(750, "callers", RecordKind::GaveUp { id: "a".to_string(), own: false }),
    ];
    let silent = [sent(0, "a", "read")];
    let late = [sent(0, "a", "read"), answered(560, "a", 200)];
    let twice = [sent(0, "a", "read"), answered(20, "a", 200), answered(30, "a", 200)];
    let more = [
        sent(0, "a", "read"),
        answered(20, "a", 200),
        record(21, "callers", RecordKind::UnsolicitedBytes { id: "a".to_string(), bytes: 9 }),
    ];
    let idle = [record(21, "callers", RecordKind::UnsolicitedBytes { id: String::new(), bytes: 9 })];
    let cut = [sent(0, "a", "read"), lost(100, "a", "Reset on a new connection")];
    // Forwarded and then dropped: no crossing, however soon.
    let dropped =
        [sent(0, "a", "read"), arrived(2, "front/s-1", "a"), lost(9, "a", "Closed on a kept connection")];
    for case in [&never[..], &silent, &late, &twice, &more, &idle, &cut, &dropped] {
        assert_eq!(broken(case), [Rule::OneResponse], "{case:?}");
    }
    let call =
        RecordKind::CallSent { id: "a.b.1".into(), by: "a".into(), to: "core/p-0".into(), cut_off: at(500) };
    let ended = RecordKind::CallEnded { id: "a.b.1".into(), status: 0 };
    let of_a_call = [
        sent(0, "a", "read"),
        record(5, "front/s-0", call),
        record(90, "front/s-0", ended),
        answered(95, "a", 502),
    ];
    assert_eq!(broken(&of_a_call), [Rule::OneResponse]);
}

#[test]
fn what_the_plan_or_the_caller_brought_about_is_no_breach_of_one_answer() {
    let left =
        [sent(0, "a", "read"), record(250, "callers", RecordKind::GaveUp { id: "a".to_string(), own: true })];
    let killed = [sent(0, "a", "write"), down(40, "kill"), lost(41, "a", "Reset on a new connection")];
    let crossed = [sent(0, "a", "write"), lost(4, "a", "Closed on a kept connection")];
    let cut = RecordKind::Cut { link: "front/c-0".to_string(), how: "Reset".to_string() };
    let link =
        [sent(0, "a", "read"), record(40, "front/c-0", cut), lost(41, "a", "Reset on a new connection")];
    for case in [&left[..], &killed, &crossed, &link] {
        assert!(broken(case).is_empty(), "{case:?}");
    }
    assert_eq!((verdict(&killed).excused, verdict(&crossed).crossed), (1, 1));
    // A planned end with a signal excuses nothing, and neither does a kill that was long over.
    let term = [sent(0, "a", "read"), down(40, "term"), lost(300, "a", "Reset on a new connection")];
    let up = record(600, "lab", RecordKind::ProxyUp { proxy: P.to_string() });
    let before = [down(0, "kill"), up, sent(1000, "a", "read"), lost(1300, "a", "Reset on a new connection")];
    assert_eq!(broken(&term), [Rule::OneResponse]);
    assert_eq!(broken(&before), [Rule::OneResponse]);
}

#[test]
fn each_way_to_break_one_effect_is_caught() {
    let done = |records: &[Record]| [records, &[sent(0, "a", "write"), answered(80, "a", 200)]].concat();
    let twice = [began(5, "front/s-0", "a"), began(30, "front/s-1", "a")];
    let same = [began(5, "front/s-0", "a"), began(30, "front/s-0", "a")];
    assert_eq!(broken(&done(&twice)), [Rule::OneExecution]);
    assert_eq!(broken(&done(&same)), [Rule::OneExecution]);
    // Also when the second begins after the answer.
    assert_eq!(
        broken(&done(&[began(5, "front/s-0", "a"), began(600, "front/s-1", "a")])),
        [Rule::OneExecution]
    );
    for status in [503, 429] {
        let refused = [sent(0, "a", "write"), began(5, "front/s-0", "a"), answered(40, "a", status)];
        assert_eq!(broken(&refused), [Rule::OneExecution]);
        let later = [sent(0, "a", "write"), answered(40, "a", status), began(45, "front/s-0", "a")];
        assert_eq!(broken(&later), [Rule::OneExecution]);
    }
    let repeat = [
        sent(0, "a", "read"),
        began(5, "front/s-0", "a"),
        began(9, "front/s-1", "a"),
        answered(40, "a", 200),
    ];
    assert!(broken(&repeat).is_empty());
    let call = |id: &str| RecordKind::CallSent {
        id: id.into(),
        by: "a".into(),
        to: "core/p-0".into(),
        cut_off: at(500),
    };
    let ended = RecordKind::CallEnded { id: "a.b.1".into(), status: 200 };
    let below = [
        record(6, "front/s-0", call("a.b.1")),
        began(8, "core/s-0", "a.b.1"),
        began(20, "core/s-1", "a.b.1"),
        record(40, "front/s-0", ended),
    ];
    assert_eq!(broken(&done(&below)), [Rule::OneExecution]);
}

#[test]
fn numbered_repeats_stay_in_their_group_and_window() {
    let numbered = |second: Record, status| {
        broken(&[sent(0, "a", "mark"), began(5, "front/s-0", "a"), second, answered(400, "a", status)])
    };
    assert!(numbered(began(200, "front/s-1", "a"), 200).is_empty());
    assert_eq!(numbered(began(200, "front/s-2", "a"), 200), [Rule::OneExecution]);
    assert_eq!(numbered(began(380, "front/s-1", "a"), 200), [Rule::OneExecution]);
    // Turned back though it was begun: a retry may go to another group.
    assert_eq!(numbered(began(200, "front/s-1", "a"), 503), [Rule::OneExecution]);
}

#[test]
fn what_is_sent_to_a_drained_backend_past_the_grace_is_caught() {
    let use_at = |ms, before: &[Record]| {
        let records = [sent(ms - 5, "a", "read"), arrived(ms, "front/s-2", "a"), answered(ms + 20, "a", 200)];
        broken(&[before, &records].concat())
    };
    let drain = [told(1000, "front/s-2", "Terminating")];
    assert!(use_at(1440, &drain).is_empty());
    assert_eq!(use_at(1460, &drain), [Rule::DrainGrace]);
    assert_eq!(use_at(1460, &[told(1000, "front/s-2", "Gone")]), [Rule::DrainGrace]);
    // Said again it does not begin anew; ready again it is over; another backend is another matter.
    let again = [drain[0].clone(), told(1400, "front/s-2", "Terminating")];
    assert_eq!(use_at(1460, &again), [Rule::DrainGrace]);
    assert!(use_at(1960, &[drain[0].clone(), told(1500, "front/s-2", "Ready")]).is_empty());
    assert!(use_at(1960, &[told(1000, "front/s-3", "Terminating")]).is_empty());
    // A proxy that started anew was not told yet.
    let up = record(1700, "lab", RecordKind::ProxyUp { proxy: P.to_string() });
    let restarted = [drain[0].clone(), down(1600, "kill"), up];
    assert!(use_at(1960, &restarted).is_empty());
    assert_eq!(
        use_at(2960, &[&restarted[..], &[told(1800, "front/s-2", "Terminating")]].concat()),
        [Rule::DrainGrace]
    );
}

#[test]
fn a_cold_backend_that_is_pushed_is_caught_and_a_warm_one_is_not() {
    let flood = |warm: bool, from: i64, every_ms: i64| {
        let start = record(0, "front/s-1", RecordKind::Started { warm, life: 2 });
        let all = (0..1000).map(|n| arrived(from + n * every_ms, "front/s-1", &format!("x{n}")));
        broken(&[vec![start], all.collect()].concat())
    };
    // It can bear 75 in a window of 1.5 s when warm, and 45 or so 1.5 s after its start.
    assert_eq!(flood(false, 0, 2), [Rule::SlowStart]);
    assert!(flood(true, 0, 2).is_empty());
    assert!(flood(false, 0, 20).is_empty());
    assert!(flood(false, 4100, 2).is_empty(), "it is warm by then");
}

#[test]
fn a_crash_of_the_proxy_is_caught() {
    assert_eq!(broken(&[down(100, "crash: exit status: 101")]), [Rule::NoCrash]);
}

#[test]
fn the_labs_own_lateness_widens_the_times_and_only_them() {
    let late = record(8000, "front/s-0", RecordKind::TimerLateness { p99_us: 2000, max_us: 30_000 });
    let answer = [sent(0, "a", "read"), answered(570, "a", 200), late.clone()];
    assert!(broken(&answer).is_empty());
    let twice = [
        sent(0, "a", "write"),
        began(5, "front/s-0", "a"),
        began(6, "front/s-1", "a"),
        answered(9, "a", 200),
        late,
    ];
    assert_eq!(broken(&twice), [Rule::OneExecution]);
    let busy = [record(8000, "front/s-0", RecordKind::TimerLateness { p99_us: 90_000, max_us: 200_000 })];
    assert!(verdict(&busy).unsure());
}

#[test]
fn a_timeline_holds_all_that_was_seen_of_a_request_and_its_calls() {
    let call =
        RecordKind::CallSent { id: "a.b.1".into(), by: "a".into(), to: "core/p-0".into(), cut_off: at(500) };
    let fault =
        RecordKind::Fault { text: "Stall front/s-1".into(), on: true, fault: None, befalls: String::new() };
    let records = [
        record(0, "lab", fault),
        sent(10, "a", "write"),
        began(12, "front/s-1", "a"),
        record(14, "front/s-1", call),
        began(16, "core/s-0", "a.b.1"),
        sent(17, "b", "read"),
        answered(40, "a", 200),
    ];
    let log = [("front-p-0".to_string(), "DEBUG forward ended id=\"a\"\nother".to_string())];
    let lines = timeline(&records, "a", at(0), &log);
    assert_eq!(lines.len(), 7, "{lines:#?}");
    assert!(
        lines[0].contains("Stall") && lines[4].contains("core/s-0") && lines[6].starts_with("front-p-0 log")
    );
}
