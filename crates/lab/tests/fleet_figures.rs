//! Facts about many proxies from forged records: each figure is what it says, and each bound fails when it should.

use std::path::Path;

use sparlug_lab::clock::At;
use sparlug_lab::figures::{FleetFigures, FIGURES};
use sparlug_lab::fleet_figures::compute;
use sparlug_lab::record::{Record, RecordKind};
use sparlug_lab::rules::judge;
use sparlug_lab::run_figures;
use sparlug_lab::scenario::{FaultKind, Scenario};
use sparlug_lab::scenario_file::ScenarioFile;

const TEXT: &str = r#"
name = "forged"
about = "for the facts"
lasts = "20s"
short = "20s"
[[tier]]
name = "front"
backends = 3
proxies = 2
sizes = [1.0, 2.0, 1.0]
service = "20ms"
link = {}
fleet = {}
[[class]]
name = "read"
goal = "200ms"
cut_off = "500ms"
effect = "reissuable"
[load]
rate = 1
"#;

fn scenario(more: &str) -> Result<Scenario, String> {
    ScenarioFile::of(Path::new("forged.toml"), TEXT.to_string() + more)?.scenario(None, false)
}

fn record(ms: i64, part: &str, what: RecordKind) -> Record {
    Record { t: At(ms * 1000), component: part.to_string(), kind: what }
}

/// A request by a proxy to a backend.
fn forward(ms: i64, n: usize, proxy: &str, host: &str) -> [Record; 2] {
    let (id, class) = (format!("{ms}-{n}-{proxy}"), "read".to_string());
    let (due, cut_off) = (At(ms * 1000), At(ms * 1000 + 500_000));
    let sent = RecordKind::Sent {
        id: id.clone(),
        intent: 1,
        class: class.clone(),
        to: proxy.into(),
        due,
        cut_off,
        try_no: 0,
    };
    [record(ms, "callers", sent), record(ms, host, RecordKind::Arrived { id, first: due, class })]
}

fn fault(ms: i64, kind: FaultKind, part: &str, on: bool) -> Record {
    let (text, befalls) = (format!("{kind:?} {part}"), part.to_string());
    record(ms, "lab", RecordKind::Fault { text, on, fault: Some(kind), befalls })
}

fn over(ms: i64, honoured: bool) -> Record {
    let class = "read".to_string();
    record(
        ms + 10,
        "callers",
        RecordKind::IntentFinished { intent: 1, class, due: At(ms * 1000), honoured, tries: 1 },
    )
}

fn of(mut records: Vec<Record>) -> FleetFigures {
    records.sort_by_key(|record| record.t);
    compute(&records, &scenario("").unwrap(), At(0))
}

#[test]
fn requests_at_a_dead_backend_count_while_it_is_dead_also_those_that_find_it_refusing() {
    let mut records = vec![
        fault(2000, FaultKind::Crash, "front/s-0", true),
        fault(14_000, FaultKind::Crash, "front/s-0", false),
    ];
    records.extend((0..7).map(|n| record(2500 + n * 100, "front/l-0", RecordKind::ConnectFailed)));
    records.extend((0..12).map(|n| record(9000 + n * 100, "front/l-0", RecordKind::ConnectFailed)));
    records.extend(forward(1000, 0, "front/p-0", "front/s-0"));
    records.extend(forward(15_000, 0, "front/p-0", "front/s-0"));
    records.extend(forward(3000, 0, "front/p-0", "front/s-1"));
    let f = of(records);
    assert_eq!((f.dead_first, f.dead_per_s), (7, 2.0));
}

#[test]
fn a_cold_backend_counts_what_all_offer_it_by_what_it_can_bear() {
    let mut records = vec![record(1000, "front/s-1", RecordKind::Started { warm: false, life: 2 })];
    // 80 by each of two, evenly over 1.5 s: the second one of size two can bear 1.5 / 0.02 x 2 x its warmth.
    for proxy in ["front/p-0", "front/p-1"] {
        records.extend((0..160).flat_map(|n| forward(1000 + n * 18, n as usize, proxy, "front/s-1")));
    }
    let f = of(records);
    assert!((1.3..2.6).contains(&f.cold_most), "{}", f.cold_most);
}

#[test]
fn evenness_is_by_size_and_leaves_out_what_a_fault_befell() {
    let mut records = Vec::new();
    for n in 0..100 {
        records.extend(forward(n * 10, 0, "front/p-0", "front/s-0"));
        records.extend(forward(n * 10, 1, "front/p-1", "front/s-1"));
        records.extend(forward(n * 10, 2, "front/p-1", "front/s-1"));
        records.extend(forward(n * 10, 3, "front/p-1", "front/s-2"));
    }
    let f = of(records.clone());
    assert_eq!((f.backend_spread, f.proxy_spread), (1.0, 1.5));
    records.extend((0..100).flat_map(|n| forward(n * 10, 4, "front/p-0", "front/s-0")));
    assert!((of(records.clone()).backend_spread - 1.5).abs() < 1e-9);
    records.push(fault(500, FaultKind::Slow, "front/s-0", true));
    assert_eq!(of(records).backend_spread, 1.0);
}

#[test]
fn what_moves_when_one_goes_is_told_beside_what_moves_anyway() {
    let mut records = vec![fault(10_000, FaultKind::Kill, "front/p-1", true)];
    for n in 0..200 {
        let host = if n < 100 { "front/s-0" } else { "front/s-1" };
        records.extend(forward(n * 100, 0, "front/p-0", host));
    }
    let f = of(records);
    assert_eq!((f.moved, f.moved_calm), (1.0, 0.0));
}

#[test]
fn service_is_back_from_when_it_is_what_it_was_after_the_last_fault() {
    let mut records = vec![
        fault(5000, FaultKind::Kill, "front/p-1", true),
        fault(8000, FaultKind::Kill, "front/p-1", false),
    ];
    records.extend((0..190).map(|n| over(n * 100, !(50..110).contains(&n))));
    let f = of(records.clone());
    assert!((2.9..=3.1).contains(&f.back_s), "{}", f.back_s);
    // Another fault that goes on leaves the question open until it ends.
    records.push(fault(5000, FaultKind::Slow, "front/s-0", true));
    records.push(fault(13_000, FaultKind::Slow, "front/s-0", false));
    assert!(of(records).back_s <= 3.1);
}

#[test]
fn talk_is_told_for_the_busiest_and_the_mean_and_costs_for_each() {
    let talk = |ms, proxy: &str, sent, bytes| {
        record(ms, "front/w", RecordKind::PeerTraffic { proxy: proxy.into(), sent, bytes, lost: 0 })
    };
    let used = RecordKind::ResourceUsage {
        proxy: "front/p-0".into(),
        cpu_us: 40_000,
        memory_before: 0,
        memory: 1 << 21,
        wakeups: 600,
        over_us: 20_000_000,
        descriptors: 17,
    };
    let records = vec![
        talk(500, "front/p-0", 300, 9000),
        talk(900, "front/p-0", 100, 1000),
        talk(900, "front/p-1", 200, 4000),
        record(19_000, "lab", used),
    ];
    let f = of(records);
    assert_eq!((f.talk_per_s, f.talk_mean_per_s, f.talk_bytes_per_s), (20.0, 15.0, 500.0));
    assert_eq!((f.proxy_cpu_ms, f.proxy_wakeups, f.proxy_mib, f.proxy_descriptors), (2.0, 30.0, 2.0, 17.0));
}

#[test]
fn every_figure_can_be_bounded_and_a_bound_of_none_is_told_with_its_line() {
    for (name, _) in FIGURES {
        let scenario = scenario(&format!("[bounds]\nleast = {{ {name} = 1e12 }}\n")).unwrap();
        let missed = run_figures::figures(&[], &scenario, At(0)).missed(&scenario.bounds);
        assert!(missed.len() == 1 && missed[0].starts_with(&format!("{name} is")), "{name}: {missed:?}");
        let scenario = scenario_most(name);
        assert_eq!(run_figures::figures(&[], &scenario, At(0)).missed(&scenario.bounds).len(), 1, "{name}");
    }
    let fault = scenario("[bounds]\nmost = { deadest = 1 }\n").map(|_| ()).unwrap_err();
    assert!(fault.starts_with("forged.toml:22: bounds: figure \"deadest\": wanted one of idle"), "{fault}");
}

fn scenario_most(name: &str) -> Scenario {
    scenario(&format!("[bounds]\nmost = {{ {name} = -2 }}\n")).unwrap()
}

#[test]
fn a_pair_a_side_or_a_part_that_is_not_there_is_told_in_one_line() {
    let with = |more: &str| {
        let text = format!("[[fault]]\nat = \"1s\"\n{more}\n");
        scenario(&text).map(|_| ()).unwrap_err()
    };
    let cases = [
        (
            "kind = \"partition\"\nsides = [[\"front/p-0\"], [\"front/p-7\"]]",
            "sides.1: there is no proxy \"front/p-7\"",
        ),
        (
            "kind = \"partition\"\nsides = [[\"front/p-0\"], [\"front/p-0..1\"]]",
            "sides: proxy 0 is on two of them",
        ),
        ("kind = \"partition\"\npart = \"front/w-0\"", "sides: wanted two or three"),
        ("kind = \"loss\"\npairs = [[\"front/p-0\", \"back/p-1\"]]", "pairs: there is no proxy \"back/p-1\""),
        ("kind = \"bridge\"\nsides = [[\"front/p-0\"], [\"front/p-1\"]]", "through: wanted the proxy"),
        ("kind = \"loss\"\npart = \"front/w-5\"", "there is no such part; there are"),
        ("kind = \"loss\"\npart = \"front/w-0\"\nchance = 1.5", "chance: wanted 0 to 1"),
        ("kind = \"slow\"\npart = \"front/p-0\"", "amount: wanted the part of its time"),
        (
            "kind = \"kill\"\nsides = [[\"front/p-0\"], [\"front/p-1\"]]",
            "\"kill\" befalls parts of the kind \"p\" only",
        ),
    ];
    for (more, wanted) in cases {
        let found = with(more);
        assert!(
            found.starts_with("forged.toml:21: fault ") && found.contains(wanted) && !found.contains('\n'),
            "{found}"
        );
    }
}

#[test]
fn a_run_whose_ways_were_late_is_void_and_time_that_a_proxy_was_stopped_does_not_count_for_drains() {
    let void = record(5, "front/w", RecordKind::RunInvalid { text: "late".into() });
    assert_eq!(judge(&[void], &scenario("").unwrap()).void.as_deref(), Some("late"));
    let told = |ms| {
        record(
            ms,
            "front/a",
            RecordKind::HealthReported {
                proxy: "front/p-0".into(),
                host: "front/s-0".into(),
                health: "Terminating".into(),
                seq: 1,
            },
        )
    };
    let down =
        |how: &str| record(900, "lab", RecordKind::ProxyDown { proxy: "front/p-0".into(), how: how.into() });
    let up = record(4000, "lab", RecordKind::ProxyUp { proxy: "front/p-0".into() });
    let drains = |records: Vec<Record>| {
        let verdict = judge(&records, &scenario("").unwrap());
        verdict.breaches.iter().filter(|breach| breach.rule == sparlug_lab::rules::Rule::DrainGrace).count()
    };
    let sent = |ms| forward(ms, 0, "front/p-0", "front/s-0").to_vec();
    assert_eq!(drains([vec![told(1000)], sent(4100)].concat()), 1);
    assert_eq!(drains([vec![down("freeze"), told(1000)], vec![up.clone()], sent(4100)].concat()), 0);
    assert_eq!(drains([vec![down("freeze"), told(1000)], vec![up.clone()], sent(5000)].concat()), 1);
    // One with half of its time has to have used it.
    assert_eq!(drains([vec![down("slow 0.5"), told(1000)], sent(2000)].concat()), 0);
    assert_eq!(drains([vec![down("slow 0.5"), told(1000)], sent(3900), vec![up]].concat()), 1);
}

#[test]
fn a_bridge_leaves_the_ways_of_the_one_that_both_sides_reach() {
    let text = TEXT.replace("proxies = 2", "proxies = 4");
    let fault = "[[fault]]\nat = \"1s\"\nkind = \"bridge\"\nthrough = \"front/p-1\"\n\
                 sides = [[\"front/p-0,1\"], [\"front/p-2,3\"]]\n";
    let scenario =
        ScenarioFile::of(Path::new("b.toml"), text + fault).unwrap().scenario(None, false).unwrap();
    let (tier, ways) = scenario.network_paths(&scenario.faults[0]).unwrap();
    assert_eq!((tier, ways), (0, vec![(0, 2), (0, 3), (2, 0), (3, 0)]));
}
