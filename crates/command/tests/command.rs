//! End-to-end tests of the built program on loopback: exit statuses, error messages, `sparlug demo`, and the
//! lab's detection of seeded defects in a stand-in balancer.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use sparlug_lab::experiment::Results;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

fn run_sparlug(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sparlug"));
    command.args(arguments).current_dir(workspace_root()).stdin(Stdio::null()).output().unwrap()
}

/// Repeats a run, for up to two minutes, while the lab reports that the machine was too busy to judge times,
/// so that the verdict on a bound does not depend on the machine's speed.
fn run_until_judged(arguments: &[&str]) -> Output {
    let deadline = Instant::now() + Duration::from_secs(120);
    loop {
        let result = run_sparlug(arguments);
        let too_busy = lossy_text(&result.stderr).contains("the machine was too busy to tell");
        if !too_busy || Instant::now() >= deadline {
            return result;
        }
        println!("{}", lossy_text(&result.stdout));
    }
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn scratch_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sparlug-command-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs the short form of a scenario and returns its exit status, output and results.
fn run_scenario(file: &str, extra_arguments: &[&str]) -> (Option<i32>, String, Option<Results>) {
    let name = format!(
        "{}-{}",
        Path::new(file).file_stem().unwrap().to_string_lossy(),
        extra_arguments.concat().len()
    );
    let json = scratch_dir("lab").join(format!("{name}-{:?}.json", std::thread::current().id()));
    let json_name = json.to_string_lossy().into_owned();
    let base = ["lab", "run", file, "--short", "--quiet", "--json", &json_name];
    let result = run_until_judged(&[&base[..], extra_arguments].concat());
    let results = std::fs::read(&json).ok().map(|bytes| serde_json::from_slice(&bytes).unwrap());
    let _ = std::fs::remove_file(&json);
    (result.status.code(), lossy_text(&result.stdout) + &lossy_text(&result.stderr), results)
}

/// Runs a scenario against a random balancer with a seeded defect and returns its exit status and output.
fn run_with_seeded_defect(file: &str, defect: &str, extra_arguments: &[&str]) -> (Option<i32>, String) {
    let defect_setting = format!("tier.0.plant=\"{defect}\"");
    let base = ["--set", "tier.0.balance=\"random\"", "--set", &defect_setting];
    let (status, output, _) = run_scenario(file, &[&base[..], extra_arguments].concat());
    (status, output)
}

#[test]
fn check_accepts_the_example_and_reports_all_errors_of_an_invalid_configuration() {
    let good = run_sparlug(&["check", "deploy/sparlug.toml"]);
    assert!(good.status.success(), "{}", lossy_text(&good.stderr));
    assert!(lossy_text(&good.stdout).contains("2 backends listed, tariffs book-slot, check-free"));
    let bad = scratch_dir("check").join("bad.toml");
    let example = std::fs::read_to_string(workspace_root().join("deploy/sparlug.toml")).unwrap();
    std::fs::write(&bad, example.replace("sockets = 4096", "sokets = 1").replace("\"200ms\"", "\"soon\""))
        .unwrap();
    for arguments in
        [["check", bad.to_str().unwrap()].as_slice(), &["serve", "--config", bad.to_str().unwrap()]]
    {
        let result = run_sparlug(arguments);
        let output = lossy_text(&result.stderr);
        assert_eq!(result.status.code(), Some(2), "{output}");
        assert_eq!(output.lines().count(), 2, "{output}");
        assert!(
            output.contains("bad.toml:17: unknown field `sokets`")
                && output.contains("bad.toml:61: backends.dial"),
            "{output}"
        );
    }
    assert_eq!(run_sparlug(&["check", "no-such-file.toml"]).status.code(), Some(2));
}

#[test]
fn serve_reads_backends_from_its_file_and_reloads_it_on_sighup() {
    let start_backend = |body: &'static str| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                std::thread::spawn(move || {
                    let (mut reader, mut stream) = (BufReader::new(stream.try_clone().unwrap()), stream);
                    let mut line = String::new();
                    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                        if line.ends_with("\r\n\r\n") {
                            let response =
                                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                            let _ = stream.write_all(response.as_bytes());
                            line.clear();
                        }
                    }
                });
            }
        });
        address
    };
    let (first, second) = (start_backend("first"), start_backend("second"));
    let config = |name: &str, address| {
        format!(
            "[[listener]]\naddress = \"127.0.0.1:0\"\n[[discovery.backend]]\nname = \"{name}\"\naddress = \"{address}\"\n\
             [tariff.read]\ngoal = \"2s\"\ncut_off = \"5s\"\neffect = \"reissuable\"\n"
        )
    };
    let path = scratch_dir("serve").join("proxy.toml");
    std::fs::write(&path, config("a", first)).unwrap();
    let mut proxy = Command::new(env!("CARGO_BIN_EXE_sparlug"))
        .args(["serve", "--log-format", "json", "--config", path.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(proxy.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut wait_for_log = |message: &str| log.find(|line| line.contains(message)).unwrap();
    let serving: serde_json::Value = serde_json::from_str(&wait_for_log("serving")).unwrap();
    let listen = serving["fields"]["listen"].as_str().unwrap().to_string();
    let get = |id: &str| {
        let mut stream = TcpStream::connect(&listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        write!(stream, "GET /read HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nConnection: close\r\n\r\n")
            .unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    };
    assert!(get("1").ends_with("first"));
    std::fs::write(&path, config("b", second)).unwrap();
    let signal = |name: &str| {
        assert!(Command::new("kill").args([name, &proxy.id().to_string()]).status().unwrap().success())
    };
    signal("-HUP");
    wait_for_log("configuration reloaded");
    assert!(get("2").ends_with("second"));
    signal("-TERM");
    assert!(proxy.wait().unwrap().success());
}

#[test]
fn demo_serves_requests_shows_a_fault_and_stops_listening() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let result = run_sparlug(&["demo", "--for", "5s", "--fault", "crash", "--listen", &address]);
    let output = lossy_text(&result.stdout);
    assert!(result.status.success(), "{output}{}", lossy_text(&result.stderr));
    assert!(output.contains(&format!("http://{address}/check-free")) && output.contains("crash"), "{output}");
    let served_count =
        output.lines().find_map(|line| line.strip_prefix("served ")?.split(' ').next()?.parse::<u32>().ok());
    assert!(served_count.unwrap() > 200, "{output}");
    assert!(TcpStream::connect(&address).is_err());
    assert_eq!(run_sparlug(&["demo", "--for", "5s", "--fault", "flood"]).status.code(), Some(2));
}

#[test]
fn demo_reports_a_listen_address_that_another_program_uses() {
    let other_program = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = other_program.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in other_program.incoming().map_while(Result::ok) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
    });
    let result = run_sparlug(&["demo", "--for", "2s", "--listen", &address]);
    let output = lossy_text(&result.stderr);
    assert_eq!((result.status.code(), output.lines().count()), (Some(2), 1), "{output}");
    assert!(output.contains(&format!("demo/p-0 cannot listen on {address}")), "{output}");
}

#[test]
fn lab_detects_resent_requests_and_false_refusals() {
    for defect in ["resend", "false-refusal"] {
        let (status, output) = run_with_seeded_defect("lab/garbage.toml", defect, &[]);
        assert_eq!(status, Some(3), "{output}");
        assert!(output.contains("rule broken: one effect"), "{output}");
    }
}

#[test]
fn lab_detects_dropped_duplicate_and_late_responses() {
    let cases = [
        ("drop-answer", "no answer by the cut-off"),
        ("answer-twice", "more came after the answer"),
        ("answer-late", "after the cut-off"),
    ];
    for (defect, violation) in cases {
        let (status, output) = run_with_seeded_defect("lab/calm.toml", defect, &[]);
        assert_eq!(status, Some(3), "{output}");
        assert!(output.contains("rule broken: one answer") && output.contains(violation), "{output}");
    }
}

#[test]
fn lab_detects_use_of_drained_backends_and_overload_during_slow_start() {
    let (status, output) = run_with_seeded_defect("lab/deploy.toml", "use-drained", &[]);
    assert_eq!(status, Some(3), "{output}");
    assert!(
        output.contains("rule broken: drains kept") && output.contains("\"health\":\"Terminating\""),
        "{output}"
    );
    let (status, output) =
        run_with_seeded_defect("lab/crash.toml", "crowd-cold", &["--set", "load.rate=400"]);
    assert_eq!(status, Some(3), "{output}");
    assert!(output.contains("rule broken: cold spared"), "{output}");
}

#[test]
fn the_same_seed_gives_the_same_plan_with_backends_in_separate_processes() {
    let separate_processes =
        ["--set", "tier.0.apart=true", "--seed", "5", "--set", "lasts=\"3s\"", "--set", "short=\"2s\""];
    let runs: Vec<_> = (0..2).map(|_| run_scenario("lab/crash.toml", &separate_processes)).collect();
    let plans: Vec<_> = runs
        .iter()
        .map(|(_, output, results)| {
            let results = results.as_ref().unwrap_or_else(|| panic!("{output}"));
            assert_eq!(results.rules_broken, 0, "{output}");
            (results.runs[0].plan.clone(), results.runs[0].figures.intents)
        })
        .collect();
    assert_eq!(plans[0], plans[1]);
    let (_, _, other_seed) =
        run_scenario("lab/crash.toml", &[&separate_processes[..2], &["--seed", "6"]].concat());
    assert_ne!(other_seed.unwrap().runs[0].plan, plans[0].0);
}

#[test]
fn invalid_input_is_reported_in_one_line_with_status_2() {
    // The worst exit status wins, and the scenario that can be run is still run.
    let two_runs = run_sparlug(&["lab", "run", "lab/no-such.toml", "lab/calm.toml", "--short", "--quiet"]);
    assert_eq!(two_runs.status.code(), Some(2));
    assert!(lossy_text(&two_runs.stdout).contains("calm: lab/calm.toml"));
    let cases: [(&[&str], &str); 5] = [
        (&["lab", "run", "lab/no-such.toml"], "cannot read lab/no-such.toml"),
        (
            &["lab", "run", "lab/calm.toml", "--set", "tier.0.program=\"/no/such\""],
            "there is no program /no/such",
        ),
        (&["lab", "run", "lab/calm.toml", "--set", "load.nonsense=1"], "unknown field `nonsense`"),
        (&["lab", "run", "lab/calm.toml", "--set", "tier.0.program=\"/bin/false\""], "ended at its start"),
        (&["lab", "compare", "lab/calm.toml", "lab/calm.toml"], "not the results of a run"),
    ];
    for (arguments, wanted) in cases {
        let result = run_sparlug(arguments);
        let output = lossy_text(&result.stderr);
        assert_eq!((result.status.code(), output.lines().count()), (Some(2), 1), "{output}");
        assert!(output.contains(wanted), "{output}");
    }
}

#[test]
fn a_missed_bound_exits_with_status_4_and_a_report_is_written() {
    let out = scratch_dir("page");
    let out_argument = out.to_str().unwrap();
    let result = run_until_judged(&[
        "lab",
        "run",
        "lab/calm.toml",
        "--short",
        "--quiet",
        "--set",
        "bounds.p50_most=\"1ms\"",
        "--out",
        out_argument,
    ]);
    assert_eq!(result.status.code(), Some(4), "{}", lossy_text(&result.stdout));
    assert!(lossy_text(&result.stdout).contains("bound missed: sparlug 1: p50_ms is"));
    let page = std::fs::read_to_string(out.join("report.html")).unwrap();
    assert!(page.matches("<svg").count() >= 3 && page.contains("Latency of honoured exchanges"));
    let rewritten = run_sparlug(&["lab", "report", out_argument]);
    assert!(rewritten.status.success(), "{}", lossy_text(&rewritten.stderr));
    let results = out.join("results.json");
    let compared = run_sparlug(&["lab", "compare", results.to_str().unwrap(), results.to_str().unwrap()]);
    assert!(lossy_text(&compared.stdout).contains("1.000"));
    std::fs::remove_dir_all(out).unwrap();
}

#[test]
fn an_interrupted_run_leaves_no_child_process() {
    let mut run = Command::new(env!("CARGO_BIN_EXE_sparlug"))
        .args([
            "lab",
            "run",
            "lab/calm.toml",
            "--quiet",
            "--set",
            "lasts=\"60s\"",
            "--set",
            "tier.0.apart=true",
        ])
        .current_dir(workspace_root())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let child_pids_of = |parent: u32| -> Vec<String> {
        let path = format!("/proc/{parent}/task/{parent}/children");
        std::fs::read_to_string(path).unwrap_or_default().split_whitespace().map(str::to_string).collect()
    };
    let started_at = Instant::now();
    // The run starts four backends and two proxies.
    while child_pids_of(run.id()).len() < 6 && started_at.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let child_pids = child_pids_of(run.id());
    assert_eq!(child_pids.len(), 6);
    assert!(Command::new("kill").args(["-INT", &run.id().to_string()]).status().unwrap().success());
    let status = run.wait().unwrap();
    let mut output = String::new();
    run.stderr.take().unwrap().read_to_string(&mut output).unwrap();
    assert_eq!(status.code(), Some(1), "{output}");
    assert!(output.contains("interrupted"), "{output}");
    let is_running = |pid: &String| Path::new("/proc").join(pid).exists();
    assert!(!child_pids.iter().any(is_running));
}
