//! Tests of arrivals, scenarios and their errors, spans, records and messages, which start no process.

use std::path::Path;

use sparlug_lab::clock::{Micros, Timestamp};
use sparlug_lab::experiment::Experiment;
use sparlug_lab::record::{self, Record, RecordKind, Recorder};
use sparlug_lab::run_figures;
use sparlug_lab::scenario::{Bounds, Scenario};
use sparlug_lab::scenario_file::ScenarioFile;
use sparlug_lab::{arrivals, http_message};

fn calm_scenario() -> String {
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/calm.toml")).unwrap()
}

fn parse(text: String) -> Result<ScenarioFile, String> {
    ScenarioFile::of(Path::new("x.toml"), text)
}

fn scenario_error(text: String) -> String {
    parse(text).and_then(|source| source.scenario(None, false)).map(|_| ()).unwrap_err()
}

#[test]
fn the_same_seed_gives_the_same_arrivals_and_another_seed_others() {
    let mut source = parse(calm_scenario()).unwrap();
    source.set("callers.impatient=0.1").unwrap();
    source.set("load.burst={every=\"1s\", size=5}").unwrap();
    let scenario = source.scenario(None, false).unwrap();
    let first = arrivals::intents(&scenario, 3);
    assert!((0..10).all(|_| arrivals::intents(&scenario, 3) == first));
    assert_ne!(arrivals::digest(&arrivals::intents(&scenario, 4)), arrivals::digest(&first));
    assert!(first.windows(2).all(|two| two[0].at <= two[1].at));
    let impatient = first.iter().filter(|intent| intent.impatient).count() as f64 / first.len() as f64;
    assert!((0.06..0.14).contains(&impatient), "{impatient}");
}

#[test]
fn arrivals_follow_steps_and_ramps() {
    let mut source = parse(calm_scenario()).unwrap();
    source.set("load.rate=100").unwrap();
    source.set("load.step=[{at=\"2s\", rate=1000, ramp=true}, {at=\"6s\", rate=50}]").unwrap();
    let all = arrivals::intents(&source.scenario(None, false).unwrap(), 1);
    let between = |from: i64, to: i64| {
        let within = |at: Micros| at >= Micros::from_millis(from) && at < Micros::from_millis(to);
        all.iter().filter(|intent| within(intent.at)).count()
    };
    // A linear ramp from 100 to 1,000 per second over two seconds, then constant, then 50.
    assert!((900..1300).contains(&between(0, 2000)), "{}", between(0, 2000));
    assert!((3700..4300).contains(&between(2000, 6000)));
    assert!((60..145).contains(&between(6000, 8000)));
}

#[test]
fn service_times_have_the_configured_mean() {
    let scenario = parse(calm_scenario()).unwrap().scenario(None, false).unwrap();
    let mut tier = scenario.tiers[0].clone();
    for distribution in ["fixed", "exponential", "lognormal"] {
        tier.distribution = serde_json::from_value(distribution.into()).unwrap();
        let drawn = (0..4000).map(|n| {
            arrivals::service_time(&tier, &mut arrivals::request_rng(1, &format!("id-{n}"), 2)).ms()
        });
        let mean = drawn.sum::<f64>() / 4000.0;
        assert!((18.5..21.5).contains(&mean), "{distribution}: {mean}");
    }
}

#[test]
fn an_invalid_scenario_gives_one_line_with_its_position() {
    let with = |more: &str| calm_scenario() + more;
    let cases = [
        (calm_scenario().replace("cores = 2", "coers = 2"), "x.toml:10: unknown field `coers`"),
        (calm_scenario().replace("\"20ms\"", "\"20 miles\""), "x.toml:11: \"20 miles\" is not a time span"),
        (calm_scenario().replace("rate = 130", ""), "x.toml: [load]: wanted one of rate and closed"),
        (
            calm_scenario().replace("backends = 4", "backends = 0"),
            "x.toml:6: tier \"front\": backends: wanted 1 to 1249",
        ),
        (
            with("[[fault]]\nat = \"1s\"\npart = \"front/s-9\"\nkind = \"stall\"\n"),
            "x.toml:36: fault \"front/s-9\": there is no such part; there are front/s-0..3",
        ),
        (
            with("[[fault]]\nat = \"1s\"\npart = \"front/p-0\"\nkind = \"stall\"\n"),
            "x.toml:36: fault \"front/p-0\": \"stall\" befalls parts of the kind \"s\" only",
        ),
        (
            with("[[compare]]\nfigure = \"p50_ms\"\nof = \"a\"\nto = \"b\"\n"),
            "x.toml:36: compare: there is no variant \"a\"",
        ),
        (
            calm_scenario().replace("effect = \"at-most-once\"", "effect = \"numbered\""),
            "x.toml:20: class \"book-slot\": a numbered effect",
        ),
    ];
    for (text, wanted) in cases {
        let found = scenario_error(text);
        assert!(found.starts_with(wanted) && !found.contains('\n'), "{found:?} is not {wanted:?}");
    }
}

#[test]
fn fields_can_be_set_and_variants_change_them() {
    let text = calm_scenario()
        + "[[variant]]\nname = \"wide\"\nset = { \"tier.0.backends\" = 9, \"load.rate\" = 7 }\n";
    let mut source = parse(text).unwrap();
    source.set("tier.0.balance=least").unwrap();
    source.set("callers.retries=4").unwrap();
    let base = source.scenario(None, false).unwrap();
    let wide = source.scenario(base.variants.first(), false).unwrap();
    assert_eq!((base.tiers[0].backends, wide.tiers[0].backends), (4, 9));
    assert_eq!((base.load.rate, wide.load.rate, wide.client_behavior.retries), (130.0, 7.0, 4));
    assert!(source.set("tier.4.backends=1").unwrap_err().contains("wanted a place from 0 to 0"));
    assert!(source.set("nothing").unwrap_err().contains("KEY=VALUE"));
    source.set("tier.0.nonsense=1").unwrap();
    assert!(source.scenario(None, false).map(|_| ()).unwrap_err().contains("unknown field `nonsense`"));
}

#[test]
fn a_matrix_gives_each_variant_every_combination() {
    let text = calm_scenario() + "[matrix]\n\"tier.0.backends\" = [3, 5]\n\"load.rate\" = [10, 20]\n";
    let (seed, seeds, short, out) = (None, 1, true, None);
    let (program, stop) = ("none".into(), Default::default());
    let plan = Experiment { source: parse(text).unwrap(), seed, seeds, short, program, out, stop };
    let found = plan.variants().unwrap();
    let backends_and_rate = |s: &Scenario| (s.tiers[0].backends, s.load.rate);
    let choices: Vec<_> = found.iter().map(|(_, scenario)| backends_and_rate(scenario)).collect();
    assert_eq!(choices, [(3, 10.0), (5, 10.0), (3, 20.0), (5, 20.0)]);
    assert_eq!(found[1].0.name, "sparlug load.rate=10 tier.0.backends=5");
}

#[test]
fn the_short_form_scales_all_times() {
    let text = calm_scenario()
        + "[[fault]]\nat = \"4s\"\nfor = \"2s\"\npart = \"front/s-*\"\nkind = \"stall\"\nstep = \"800ms\"\n";
    let short = parse(text).unwrap().scenario(None, true).unwrap();
    let fault = &short.faults[0];
    assert_eq!(short.duration, Micros::from_millis(3000));
    assert_eq!((fault.at, fault.duration), (Micros::from_millis(1500), Some(Micros::from_millis(750))));
    assert_eq!(fault.step, Micros::from_millis(300));
}

#[test]
fn records_are_read_as_written_and_a_truncated_last_line_is_skipped() {
    let path = std::env::temp_dir().join(format!("sparlug-records-{}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let recorder = Recorder::open(&path, "lab").unwrap();
    let what = RecordKind::ResponseReceived { id: "a".into(), status: 200, retry_after_ms: Some(1.5) };
    recorder.named("callers").write(Timestamp(20), what.clone());
    recorder.write(Timestamp(10), RecordKind::Note { text: "first".into() });
    let complete = std::fs::read(&path).unwrap();
    std::fs::write(&path, [&complete[..], b"{\"t\":30,\"part\":\"cal"].concat()).unwrap();
    let read = record::read(&path).unwrap();
    assert_eq!(read.len(), 2);
    assert_eq!(read[1], Record { t: Timestamp(20), component: "callers".into(), kind: what });
    std::fs::write(&path, "{\"t\":30,\"nonsense\":1}\n").unwrap();
    assert!(record::read(&path).unwrap_err().contains(":1: no record"));
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn incomplete_messages_wait_for_more_and_malformed_ones_fail() {
    let bytes =
        http_message::encode_request("POST", "/book-slot?x=1", "h", &[("Request-Id", "7".into())], b"body");
    for cut in 0..bytes.len() {
        assert_eq!(http_message::parse_request(&bytes[..cut]), Ok(None));
    }
    let read = http_message::parse_request(&bytes).unwrap().unwrap();
    assert_eq!(
        (read.class(), read.header("request-id"), read.body.as_slice()),
        ("book-slot", Some("7"), &b"body"[..])
    );
    assert_eq!(read.length, bytes.len());
    assert!(http_message::parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n").is_err());
    assert!(http_message::parse_response(b"nonsense\r\n\r\n").is_err());
}

#[test]
fn spans_are_parsed_and_formatted_with_units() {
    for (text, us) in
        [("250us", 250), ("1.5ms", 1500), ("40ms", 40_000), ("2s", 2_000_000), ("1min", 60_000_000)]
    {
        assert_eq!(text.parse::<Micros>().unwrap(), Micros(us));
        assert_eq!(Micros(us).to_string().parse::<Micros>().unwrap(), Micros(us));
    }
    for text in ["", "5", "ms", "-1s", "1 day", "nans"] {
        assert!(text.parse::<Micros>().unwrap_err().contains("wanted a number"), "{text}");
    }
}

#[test]
fn latencies_count_from_the_due_time_and_bounds_report_misses() {
    let scenario = parse(calm_scenario()).unwrap().scenario(None, false).unwrap();
    let over = |t, due, served| Record {
        t: Timestamp(t),
        component: "callers".into(),
        kind: RecordKind::IntentFinished {
            intent: 1,
            class: "read".into(),
            due: Timestamp(due),
            served,
            attempts: 1,
        },
    };
    // 900 ms from the due time, whether or not a stalled client sent it late.
    let records =
        [over(1_000_000, 100_000, true), over(1_010_000, 1_000_000, true), over(7_500_000, 7_000_000, false)];
    let figures = run_figures::figures(&records, &scenario, Timestamp(0));
    assert_eq!((figures.intents, figures.honoured), (3, 2));
    assert!((899.0..901.0).contains(&figures.max_ms));
    assert_eq!(figures.end_honoured_share, 0.0);
    let bounds = Bounds {
        honoured_least: Some(0.9),
        end_honoured_most: Some(0.5),
        p99_most: Some(Micros::from_millis(500)),
        ..Bounds::default()
    };
    let missed = figures.missed(&bounds);
    assert_eq!(missed.len(), 2, "{missed:?}");
    assert!(missed[0].starts_with("honoured_share is 0.667, wanted at least 0.9"));
}
