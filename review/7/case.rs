//! Numbered requests fail at a backend shortly before the end of the time for which its group drops their repeats. The
//! proxy is held up for 0.14 s at that moment.

#[path = "../common-2/mod.rs"]
mod common;

use common::{answer, ms, Agent, Client, Host, Proxy, Reader, Run};
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: u8 = 12;
const BODY_BYTES: usize = 60_000;
/// The group drops a repeat for so long.
const WINDOW: f64 = 1.5;
const SLACK: f64 = 0.05;
/// A failing backend answers 500 so long after it has begun a request.
const FAILS_AFTER: Duration = Duration::from_millis(1_465);
const HOLD_UP: Duration = Duration::from_millis(140);
const SECONDS: f64 = 40.0;

/// When each request began to run last, and each run: request, backend, time.
#[derive(Default)]
struct Group {
    remembered: HashMap<String, f64>,
    runs: Vec<(String, u8, f64)>,
}

/// The id of the proxy's process.
static PROXY: AtomicU32 = AtomicU32::new(0);

/// Holds the proxy up once for each failure, at a moment that differs by some microseconds each time.
fn hold_up_at(failures: &mpsc::Receiver<()>, run: &Run, holds: &AtomicU32) {
    while failures.recv().is_ok() {
        let turn = holds.fetch_add(1, Relaxed);
        // Half of the hold-ups come within 50 us, the others within 200 us.
        let after = Duration::from_micros(u64::from(turn * 7 % if turn % 2 == 0 { 50 } else { 200 }));
        let until = Instant::now() + after;
        while Instant::now() < until {
            std::hint::spin_loop();
        }
        common::signal_process(PROXY.load(Relaxed), common::SIGSTOP);
        thread::sleep(HOLD_UP);
        common::signal_process(PROXY.load(Relaxed), common::SIGCONT);
        run.note(&format!("proxy held up for {HOLD_UP:?}, {after:?} after a failure"));
    }
}

fn main() {
    let run = Run::begin("held-up");
    let group = Arc::new(Mutex::new(Group::default()));
    let (failed, failures) = mpsc::channel::<()>();
    let holds = Arc::new(AtomicU32::new(0));
    let (holder_run, holder_holds) = (run.clone(), holds.clone());
    thread::spawn(move || hold_up_at(&failures, &holder_run, &holder_holds));
    let mut hosts = Vec::new();
    for number in 1..=BACKENDS {
        let listener = common::backend_listener(number);
        hosts.push(Host::new(&format!("s-{number}"), listener.local_addr().unwrap()));
        let (run, group, failed) = (run.clone(), group.clone(), failed.clone());
        common::serve(listener, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = reader.message(Instant::now() + ms(120_000)) {
                let (id, at, begun) = (request.header("request-id").to_string(), run.now(), Instant::now());
                let mut status = "200 OK";
                if request.path() == "/place-hold" {
                    let mut group = group.lock().unwrap();
                    let first = group.remembered.get(&id).copied();
                    if first.is_some_and(|first| at < first + WINDOW) {
                        run.note(&format!("s-{number}: repeat of {id} dropped"));
                    } else {
                        run.note(&format!("s-{number}: {id} runs"));
                        group.remembered.insert(id.clone(), at);
                        group.runs.push((id.clone(), number, at));
                    }
                    if first.is_none() {
                        status = "500 Internal Server Error";
                    }
                }
                if status.starts_with("500") {
                    drop(request);
                    thread::sleep(FAILS_AFTER.saturating_sub(begun.elapsed()));
                } else {
                    thread::sleep(ms(10));
                }
                if reader.stream.write_all(&answer(status, "", &id)).is_err() {
                    return;
                }
                if status.starts_with("500") && run.trouble {
                    let _ = failed.send(());
                }
            }
        });
    }
    let agent = Agent::start(&run, &hosts);
    let tariffs = [
        common::tariff("point-status", 1500, 4000, "pure", ""),
        common::tariff("place-hold", 1500, 4000, "token", r#","lateValue":0.2,"group":"cell","windowMs":1500.0"#),
    ];
    let proxy = Proxy::start(&run, agent.address, &agent.known(), &common::settings(&tariffs.join(","), ""));
    PROXY.store(proxy.id(), Relaxed);
    let (listen, stop) = (proxy.listen, Arc::new(AtomicBool::new(false)));
    // Usual traffic, which keeps connections to the backends in use.
    let clients: Vec<_> = (0..8)
        .map(|client_number| {
            let stop = stop.clone();
            thread::spawn(move || {
                let (mut client, mut number) = (None, 0);
                while !stop.load(Relaxed) {
                    number += 1;
                    let text = format!(
                        "GET /point-status HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: g{client_number}-{number}\r\nRequest-Class: point-status\r\nRequest-Timeout: 4.0\r\n\r\n"
                    );
                    let Ok(mut open) = client.take().map_or_else(|| Client::connect(listen), Ok) else { continue };
                    let answered = open.send(text.as_bytes()).and_then(|()| open.receive(ms(5_000)));
                    client = answered.is_ok().then_some(open);
                    thread::sleep(ms(60));
                }
            })
        })
        .collect();
    thread::sleep(ms(4_000));
    let mut number = 0;
    while run.now() < SECONDS {
        number += 1;
        let run = run.clone();
        thread::spawn(move || {
            let text = format!(
                "POST /place-hold HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: hold-{number}\r\nRequest-Class: place-hold\r\nRequest-Timeout: 4.0\r\nContent-Length: {BODY_BYTES}\r\n\r\n{}",
                "h".repeat(BODY_BYTES)
            );
            let answered = Client::connect(listen).and_then(|mut client| {
                client.send(text.as_bytes())?;
                client.receive(ms(6_000))
            });
            run.note(&format!("client: hold-{number} -> {:?}", answered.map(|answer| answer.status)));
        });
        thread::sleep(ms(400));
    }
    thread::sleep(ms(5_000));
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs = std::mem::take(&mut group.lock().unwrap().runs);
    let mut twice = 0;
    for hold in 1..=number {
        let id = format!("hold-{hold}");
        let times: Vec<f64> = runs.iter().filter(|(other, ..)| *other == id).map(|(_, _, at)| *at).collect();
        if let [first, second, ..] = times[..] {
            run.note(&format!("{id} ran {} times, the second {:.3} s after the first", times.len(), second - first));
            twice += u32::from(second - first > WINDOW + SLACK);
        }
    }
    let holds = holds.load(Relaxed);
    proxy.end(&run);
    run.finish(twice > 0, &format!("{twice} of {number} requests ran twice, {} s or more apart; {holds} hold-ups", WINDOW + SLACK))
}
