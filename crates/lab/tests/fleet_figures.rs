//! Checks the fleet figures on constructed records: each figure has its defined value, and each bound fails
//! when it should.

use std::path::Path;

use sparlug_lab::clock::Timestamp;
use sparlug_lab::figures::{FleetFigures, FIGURES};
use sparlug_lab::fleet_figures::compute;
use sparlug_lab::record::{Record, RecordKind};
use sparlug_lab::rules::judge;
use sparlug_lab::run_figures;
use sparlug_lab::scenario::{FaultKind, Scenario};
use sparlug_lab::scenario_file::ScenarioFile;

const SCENARIO: &str = r#"
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
    ScenarioFile::of(Path::new("forged.toml"), SCENARIO.to_string() + more)?.scenario(None, false)
}

fn record(ms: i64, component: &str, kind: RecordKind) -> Record {
    Record { t: Timestamp(ms * 1000), component: component.to_string(), kind }
}

/// The records of a client's request to a proxy and its arrival at a backend.
fn request_to_backend(ms: i64, n: usize, proxy: &str, host: &str) -> [Record; 2] {
    let (id, class) = (format!("{ms}-{n}-{proxy}"), "read".to_string());
    let (due, deadline) = (Timestamp(ms * 1000), Timestamp(ms * 1000 + 500_000));
    let sent = RecordKind::Sent {
        id: id.clone(),
        intent: 1,
        class: class.clone(),
        to: proxy.into(),
        due,
        deadline,
        retry_number: 0,
    };
    [record(ms, "callers", sent), record(ms, host, RecordKind::Arrived { id, first: due, class })]
}

fn fault(ms: i64, kind: FaultKind, part: &str, on: bool) -> Record {
    let (text, affected) = (format!("{kind:?} {part}"), part.to_string());
    record(ms, "lab", RecordKind::Fault { text, on, fault: Some(kind), affected })
}

fn intent_finished(ms: i64, served: bool) -> Record {
    let class = "read".to_string();
    record(
        ms + 10,
        "callers",
        RecordKind::IntentFinished { intent: 1, class, due: Timestamp(ms * 1000), served, attempts: 1 },
    )
}

fn fleet_figures(mut records: Vec<Record>) -> FleetFigures {
    records.sort_by_key(|record| record.t);
    compute(&records, &scenario("").unwrap(), Timestamp(0))
}

#[test]
fn requests_and_refused_connections_at_a_dead_backend_count_while_it_is_dead() {
    let mut records = vec![
        fault(2000, FaultKind::Crash, "front/s-0", true),
        fault(14_000, FaultKind::Crash, "front/s-0", false),
    ];
    records.extend((0..7).map(|n| record(2500 + n * 100, "front/l-0", RecordKind::ConnectFailed)));
    records.extend((0..12).map(|n| record(9000 + n * 100, "front/l-0", RecordKind::ConnectFailed)));
    records.extend(request_to_backend(1000, 0, "front/p-0", "front/s-0"));
    records.extend(request_to_backend(15_000, 0, "front/p-0", "front/s-0"));
    records.extend(request_to_backend(3000, 0, "front/p-0", "front/s-1"));
    let figures = fleet_figures(records);
    assert_eq!((figures.dead_first, figures.dead_per_s), (7, 2.0));
}

#[test]
fn cold_load_is_the_sum_from_all_proxies_relative_to_capacity() {
    let mut records = vec![record(1000, "front/s-1", RecordKind::Started { warm: false, generation: 2 })];
    // Two proxies send 80 requests each, evenly over 1.5 s; this backend of size 2 handles 1.5 / 0.02 x 2
    // requests in that time, multiplied by its warm-up ratio.
    for proxy in ["front/p-0", "front/p-1"] {
        records
            .extend((0..160).flat_map(|n| request_to_backend(1000 + n * 18, n as usize, proxy, "front/s-1")));
    }
    let figures = fleet_figures(records);
    assert!((1.3..2.6).contains(&figures.cold_most), "{}", figures.cold_most);
}

#[test]
fn spread_is_weighted_by_size_and_excludes_components_with_faults() {
    let mut records = Vec::new();
    for n in 0..100 {
        records.extend(request_to_backend(n * 10, 0, "front/p-0", "front/s-0"));
        records.extend(request_to_backend(n * 10, 1, "front/p-1", "front/s-1"));
        records.extend(request_to_backend(n * 10, 2, "front/p-1", "front/s-1"));
        records.extend(request_to_backend(n * 10, 3, "front/p-1", "front/s-2"));
    }
    let figures = fleet_figures(records.clone());
    assert_eq!((figures.backend_spread, figures.proxy_spread), (1.0, 1.5));
    records.extend((0..100).flat_map(|n| request_to_backend(n * 10, 4, "front/p-0", "front/s-0")));
    assert!((fleet_figures(records.clone()).backend_spread - 1.5).abs() < 1e-9);
    records.push(fault(500, FaultKind::Slow, "front/s-0", true));
    assert_eq!(fleet_figures(records).backend_spread, 1.0);
}

#[test]
fn moved_requests_are_reported_with_their_baseline_when_a_proxy_goes() {
    let mut records = vec![fault(10_000, FaultKind::Kill, "front/p-1", true)];
    for n in 0..200 {
        let host = if n < 100 { "front/s-0" } else { "front/s-1" };
        records.extend(request_to_backend(n * 100, 0, "front/p-0", host));
    }
    let figures = fleet_figures(records);
    assert_eq!((figures.moved, figures.moved_calm), (1.0, 0.0));
}

#[test]
fn recovery_is_measured_from_the_end_of_the_last_fault() {
    let mut records = vec![
        fault(5000, FaultKind::Kill, "front/p-1", true),
        fault(8000, FaultKind::Kill, "front/p-1", false),
    ];
    records.extend((0..190).map(|n| intent_finished(n * 100, !(50..110).contains(&n))));
    let figures = fleet_figures(records.clone());
    assert!((2.9..=3.1).contains(&figures.back_s), "{}", figures.back_s);
    // Another fault that ends later does not prolong the recovery: service is back before its end.
    records.push(fault(5000, FaultKind::Slow, "front/s-0", true));
    records.push(fault(13_000, FaultKind::Slow, "front/s-0", false));
    assert!(fleet_figures(records).back_s <= 3.1);
}

#[test]
fn peer_traffic_is_reported_as_maximum_and_mean_and_resource_use_per_proxy() {
    let peer_traffic = |ms, proxy: &str, sent, bytes| {
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
        peer_traffic(500, "front/p-0", 300, 9000),
        peer_traffic(900, "front/p-0", 100, 1000),
        peer_traffic(900, "front/p-1", 200, 4000),
        record(19_000, "lab", used),
    ];
    let figures = fleet_figures(records);
    assert_eq!((figures.talk_per_s, figures.talk_mean_per_s, figures.talk_bytes_per_s), (20.0, 15.0, 500.0));
    assert_eq!(
        (figures.proxy_cpu_ms, figures.proxy_wakeups, figures.proxy_mib, figures.proxy_descriptors),
        (2.0, 30.0, 2.0, 17.0)
    );
}

#[test]
fn every_figure_can_be_bounded_and_an_unknown_one_is_reported_with_its_line() {
    for (name, _) in FIGURES {
        let scenario = scenario(&format!("[bounds]\nleast = {{ {name} = 1e12 }}\n")).unwrap();
        let missed = run_figures::figures(&[], &scenario, Timestamp(0)).missed(&scenario.bounds);
        assert!(missed.len() == 1 && missed[0].starts_with(&format!("{name} is")), "{name}: {missed:?}");
        let scenario = scenario_with_upper_bound(name);
        assert_eq!(
            run_figures::figures(&[], &scenario, Timestamp(0)).missed(&scenario.bounds).len(),
            1,
            "{name}"
        );
    }
    let fault = scenario("[bounds]\nmost = { deadest = 1 }\n").map(|_| ()).unwrap_err();
    assert!(fault.starts_with("forged.toml:22: bounds: figure \"deadest\": wanted one of idle"), "{fault}");
}

fn scenario_with_upper_bound(name: &str) -> Scenario {
    scenario(&format!("[bounds]\nmost = {{ {name} = -2 }}\n")).unwrap()
}

#[test]
fn a_missing_pair_side_or_component_is_reported_in_one_line() {
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
fn a_late_network_makes_a_run_invalid_and_paused_time_extends_the_drain_grace() {
    let void = record(5, "front/w", RecordKind::RunInvalid { text: "late".into() });
    assert_eq!(judge(&[void], &scenario("").unwrap()).void.as_deref(), Some("late"));
    let draining = |ms| {
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
    let drain_breaches = |records: Vec<Record>| {
        let verdict = judge(&records, &scenario("").unwrap());
        verdict.breaches.iter().filter(|breach| breach.rule == sparlug_lab::rules::Rule::DrainGrace).count()
    };
    let sent = |ms| request_to_backend(ms, 0, "front/p-0", "front/s-0").to_vec();
    assert_eq!(drain_breaches([vec![draining(1000)], sent(4100)].concat()), 1);
    assert_eq!(
        drain_breaches([vec![down("freeze"), draining(1000)], vec![up.clone()], sent(4100)].concat()),
        0
    );
    assert_eq!(
        drain_breaches([vec![down("freeze"), draining(1000)], vec![up.clone()], sent(5000)].concat()),
        1
    );
    // A proxy that runs half of the time gets only the missing half as extra time.
    assert_eq!(drain_breaches([vec![down("slow 0.5"), draining(1000)], sent(2000)].concat()), 0);
    assert_eq!(drain_breaches([vec![down("slow 0.5"), draining(1000)], sent(3900), vec![up]].concat()), 1);
}

#[test]
fn a_bridge_keeps_the_network_paths_of_the_proxy_that_both_sides_reach() {
    let text = SCENARIO.replace("proxies = 2", "proxies = 4");
    let fault = "[[fault]]\nat = \"1s\"\nkind = \"bridge\"\nthrough = \"front/p-1\"\n\
                 sides = [[\"front/p-0,1\"], [\"front/p-2,3\"]]\n";
    let scenario =
        ScenarioFile::of(Path::new("b.toml"), text + fault).unwrap().scenario(None, false).unwrap();
    let (tier, paths) = scenario.network_paths(&scenario.faults[0]).unwrap();
    assert_eq!((tier, paths), (0, vec![(0, 2), (0, 3), (2, 0), (3, 0)]));
}
