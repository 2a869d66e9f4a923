//! The command line as people meet it: statuses, errors, the demonstration, and the lab on misbehaving
//! stand-ins, all with the built program on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use sparlug_lab::experiment::Results;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

fn sparlug(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sparlug"));
    command.args(arguments).current_dir(root()).stdin(Stdio::null()).output().unwrap()
}

/// Plays again while the machine was too busy for times to be judged: a bound's verdict must not hang on its speed.
fn judged(arguments: &[&str]) -> Output {
    let until = Instant::now() + Duration::from_secs(120);
    loop {
        let done = sparlug(arguments);
        let unsure = text(&done.stderr).contains("the machine was too busy to tell");
        if !unsure || Instant::now() >= until {
            return done;
        }
        println!("{}", text(&done.stdout));
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn scratch(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sparlug-command-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// A short run; its status, its output, and its results.
fn lab(file: &str, more: &[&str]) -> (Option<i32>, String, Option<Results>) {
    let name = format!("{}-{}", Path::new(file).file_stem().unwrap().to_string_lossy(), more.concat().len());
    let json = scratch("lab").join(format!("{name}-{:?}.json", std::thread::current().id()));
    let json_name = json.to_string_lossy().into_owned();
    let base = ["lab", "run", file, "--short", "--quiet", "--json", &json_name];
    let done = judged(&[&base[..], more].concat());
    let results = std::fs::read(&json).ok().map(|bytes| serde_json::from_slice(&bytes).unwrap());
    let _ = std::fs::remove_file(&json);
    (done.status.code(), text(&done.stdout) + &text(&done.stderr), results)
}

fn planted(file: &str, fault: &str, more: &[&str]) -> (Option<i32>, String) {
    let plant = format!("tier.0.plant=\"{fault}\"");
    let base = ["--set", "tier.0.balance=\"random\"", "--set", &plant];
    let (status, said, _) = lab(file, &[&base[..], more].concat());
    (status, said)
}

#[test]
fn the_example_configuration_is_usable_and_all_faults_of_a_bad_one_are_told() {
    let good = sparlug(&["check", "deploy/sparlug.toml"]);
    assert!(good.status.success(), "{}", text(&good.stderr));
    assert!(text(&good.stdout).contains("2 backends listed, tariffs book-slot, check-free"));
    let bad = scratch("check").join("bad.toml");
    let example = std::fs::read_to_string(root().join("deploy/sparlug.toml")).unwrap();
    std::fs::write(&bad, example.replace("sockets = 4096", "sokets = 1").replace("\"200ms\"", "\"soon\""))
        .unwrap();
    for arguments in
        [["check", bad.to_str().unwrap()].as_slice(), &["serve", "--config", bad.to_str().unwrap()]]
    {
        let done = sparlug(arguments);
        let said = text(&done.stderr);
        assert_eq!(done.status.code(), Some(2), "{said}");
        assert_eq!(said.lines().count(), 2, "{said}");
        assert!(
            said.contains("bad.toml:17: unknown field `sokets`")
                && said.contains("bad.toml:61: backends.dial"),
            "{said}"
        );
    }
    assert_eq!(sparlug(&["check", "no-such-file.toml"]).status.code(), Some(2));
}

#[test]
fn serve_takes_a_list_from_its_file_and_reads_it_anew_on_sighup() {
    let answer_with = |body: &'static str| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                std::thread::spawn(move || {
                    let (mut reader, mut stream) = (BufReader::new(stream.try_clone().unwrap()), stream);
                    let mut line = String::new();
                    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                        if line.ends_with("\r\n\r\n") {
                            let answer =
                                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                            let _ = stream.write_all(answer.as_bytes());
                            line.clear();
                        }
                    }
                });
            }
        });
        address
    };
    let (first, second) = (answer_with("first"), answer_with("second"));
    let config = |name: &str, address| {
        format!(
            "[[listener]]\naddress = \"127.0.0.1:0\"\n[[discovery.backend]]\nname = \"{name}\"\naddress = \"{address}\"\n\
             [tariff.read]\ngoal = \"2s\"\ncut_off = \"5s\"\neffect = \"reissuable\"\n"
        )
    };
    let path = scratch("serve").join("proxy.toml");
    std::fs::write(&path, config("a", first)).unwrap();
    let mut proxy = Command::new(env!("CARGO_BIN_EXE_sparlug"))
        .args(["serve", "--log-format", "json", "--config", path.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(proxy.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut logged = |wanted: &str| log.find(|line| line.contains(wanted)).unwrap();
    let serving: serde_json::Value = serde_json::from_str(&logged("serving")).unwrap();
    let listen = serving["fields"]["listen"].as_str().unwrap().to_string();
    let ask = |id: &str| {
        let mut stream = TcpStream::connect(&listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        write!(stream, "GET /read HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nConnection: close\r\n\r\n")
            .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    };
    assert!(ask("1").ends_with("first"));
    std::fs::write(&path, config("b", second)).unwrap();
    let signal = |name: &str| {
        assert!(Command::new("kill").args([name, &proxy.id().to_string()]).status().unwrap().success())
    };
    signal("-HUP");
    logged("configuration reloaded");
    assert!(ask("2").ends_with("second"));
    signal("-TERM");
    assert!(proxy.wait().unwrap().success());
}

#[test]
fn the_demonstration_serves_shows_a_fault_and_leaves_nothing() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let done = sparlug(&["demo", "--for", "5s", "--fault", "crash", "--listen", &free]);
    let said = text(&done.stdout);
    assert!(done.status.success(), "{said}{}", text(&done.stderr));
    assert!(said.contains(&format!("http://{free}/check-free")) && said.contains("crash"), "{said}");
    let served =
        said.lines().find_map(|line| line.strip_prefix("served ")?.split(' ').next()?.parse::<u32>().ok());
    assert!(served.unwrap() > 200, "{said}");
    assert!(TcpStream::connect(&free).is_err());
    assert_eq!(sparlug(&["demo", "--for", "5s", "--fault", "flood"]).status.code(), Some(2));
}

#[test]
fn an_address_that_another_program_answers_on_is_told_and_not_taken_for_the_proxy() {
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = other.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in other.incoming().map_while(Result::ok) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
    });
    let done = sparlug(&["demo", "--for", "2s", "--listen", &address]);
    let said = text(&done.stderr);
    assert_eq!((done.status.code(), said.lines().count()), (Some(2), 1), "{said}");
    assert!(said.contains(&format!("demo/p-0 cannot listen on {address}")), "{said}");
}

#[test]
fn a_balancer_that_resends_or_lies_about_what_ran_is_caught() {
    for fault in ["resend", "false-refusal"] {
        let (status, said) = planted("lab/garbage.toml", fault, &[]);
        assert_eq!(status, Some(3), "{said}");
        assert!(said.contains("rule broken: one effect"), "{said}");
    }
}

#[test]
fn a_balancer_that_drops_doubles_or_delays_answers_is_caught() {
    let wanted = [
        ("drop-answer", "no answer by the cut-off"),
        ("answer-twice", "more came after the answer"),
        ("answer-late", "after the cut-off"),
    ];
    for (fault, wanted) in wanted {
        let (status, said) = planted("lab/calm.toml", fault, &[]);
        assert_eq!(status, Some(3), "{said}");
        assert!(said.contains("rule broken: one answer") && said.contains(wanted), "{said}");
    }
}

#[test]
fn a_balancer_that_uses_drained_backends_or_crowds_cold_ones_is_caught() {
    let (status, said) = planted("lab/deploy.toml", "use-drained", &[]);
    assert_eq!(status, Some(3), "{said}");
    assert!(
        said.contains("rule broken: drains kept") && said.contains("\"health\":\"Terminating\""),
        "{said}"
    );
    let (status, said) = planted("lab/crash.toml", "crowd-cold", &["--set", "load.rate=400"]);
    assert_eq!(status, Some(3), "{said}");
    assert!(said.contains("rule broken: cold spared"), "{said}");
}

#[test]
fn the_same_seed_plans_and_judges_the_same_and_backends_may_be_processes() {
    let apart =
        ["--set", "tier.0.apart=true", "--seed", "5", "--set", "lasts=\"3s\"", "--set", "short=\"2s\""];
    let runs: Vec<_> = (0..2).map(|_| lab("lab/crash.toml", &apart)).collect();
    let plans: Vec<_> = runs
        .iter()
        .map(|(_, said, results)| {
            let results = results.as_ref().unwrap_or_else(|| panic!("{said}"));
            assert_eq!(results.rules_broken, 0, "{said}");
            (results.runs[0].plan.clone(), results.runs[0].figures.intents)
        })
        .collect();
    assert_eq!(plans[0], plans[1]);
    let (_, _, other) = lab("lab/crash.toml", &[&apart[..2], &["--seed", "6"]].concat());
    assert_ne!(other.unwrap().runs[0].plan, plans[0].0);
}

#[test]
fn what_cannot_be_run_is_told_in_one_line_with_status_2() {
    // Of two runs the worse status tells, and both are told.
    let both = sparlug(&["lab", "run", "lab/no-such.toml", "lab/calm.toml", "--short", "--quiet"]);
    assert_eq!(both.status.code(), Some(2));
    assert!(text(&both.stdout).contains("calm: lab/calm.toml"));
    let cases: [(&[&str], &str); 5] = [
        (&["lab", "run", "lab/no-such.toml"], "cannot read lab/no-such.toml"),
        (
            &["lab", "run", "lab/calm.toml", "--set", "tier.0.program=\"/no/such\""],
            "there is no program /no/such",
        ),
        (&["lab", "run", "lab/calm.toml", "--set", "load.nonsense=1"], "unknown field `nonsense`"),
        (&["lab", "run", "lab/calm.toml", "--set", "tier.0.program=\"/bin/false\""], "ended at its start"),
        (&["lab", "compare", "lab/calm.toml", "lab/calm.toml"], "no results of a run"),
    ];
    for (arguments, wanted) in cases {
        let done = sparlug(arguments);
        let said = text(&done.stderr);
        assert_eq!((done.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains(wanted), "{said}");
    }
}

#[test]
fn a_bound_that_is_missed_ends_with_status_4_and_a_page_is_written() {
    let out = scratch("page");
    let keep = out.to_str().unwrap();
    let done = judged(&[
        "lab",
        "run",
        "lab/calm.toml",
        "--short",
        "--quiet",
        "--set",
        "bounds.p50_most=\"1ms\"",
        "--out",
        keep,
    ]);
    assert_eq!(done.status.code(), Some(4), "{}", text(&done.stdout));
    assert!(text(&done.stdout).contains("bound missed: sparlug 1: p50_ms is"));
    let page = std::fs::read_to_string(out.join("report.html")).unwrap();
    assert!(page.matches("<svg").count() >= 3 && page.contains("Latency of honoured exchanges"));
    let again = sparlug(&["lab", "report", keep]);
    assert!(again.status.success(), "{}", text(&again.stderr));
    let results = out.join("results.json");
    let compared = sparlug(&["lab", "compare", results.to_str().unwrap(), results.to_str().unwrap()]);
    assert!(text(&compared.stdout).contains("1.000"));
    std::fs::remove_dir_all(out).unwrap();
}

#[test]
fn a_run_that_is_interrupted_leaves_nothing_running() {
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
        .current_dir(root())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let children = |parent: u32| -> Vec<String> {
        let path = format!("/proc/{parent}/task/{parent}/children");
        std::fs::read_to_string(path).unwrap_or_default().split_whitespace().map(str::to_string).collect()
    };
    let began = Instant::now();
    // Four backends and two proxies.
    while children(run.id()).len() < 6 && began.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let started = children(run.id());
    assert_eq!(started.len(), 6);
    assert!(Command::new("kill").args(["-INT", &run.id().to_string()]).status().unwrap().success());
    let status = run.wait().unwrap();
    let mut said = String::new();
    run.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    assert_eq!(status.code(), Some(1), "{said}");
    assert!(said.contains("interrupted"), "{said}");
    let alive = |pid: &String| Path::new("/proc").join(pid).exists();
    assert!(!started.iter().any(alive));
}
