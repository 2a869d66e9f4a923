//! Discovery is slow: each answer takes 2 s more. A backend begins to drain meanwhile.

#[path = "../common-2/mod.rs"]
mod common;

use common::{answer, ms, Agent, Client, Host, Proxy, Reader, Run};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: u8 = 4;
const CLIENTS: u64 = 12;
const ANSWER_DELAY: Duration = Duration::from_millis(2_000);
const SLOW_FROM: f64 = 4.0;
const DRAIN_AT: f64 = 6.0;
const DRAIN_LASTS: f64 = 14.0;
/// 6 s until the change counts as told, the grace of the settings, and the 50 ms more that hold on sockets.
const LIMIT: f64 = 6.0 + 0.4 + 0.05;

fn main() {
    let run = Run::begin("slow-discovery");
    let ended = Arc::new(AtomicBool::new(false)); // the draining backend has left
    let sends = Arc::new(Mutex::new(Vec::<(u8, f64)>::new()));
    let cut_off = Arc::new(AtomicU64::new(0)); // requests that it had begun when it left
    let mut hosts = Vec::new();
    for number in 1..=BACKENDS {
        let listener = common::backend_listener(number);
        hosts.push(Host::new(&format!("s-{number}"), listener.local_addr().unwrap()));
        let (run, sends, ended, cut_off) = (run.clone(), sends.clone(), ended.clone(), cut_off.clone());
        common::serve(listener, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = reader.message(Instant::now() + ms(120_000)) {
                let at = run.now();
                if number == 1 && ended.load(Relaxed) {
                    return common::reset_on_close(&reader.stream); // its process is gone
                }
                run.note(&format!("s-{number}: request {}", request.header("request-id")));
                sends.lock().unwrap().push((number, at));
                thread::sleep(ms(50));
                if number == 1 && ended.load(Relaxed) {
                    cut_off.fetch_add(1, Relaxed);
                    run.note(&format!("s-1: {} is cut off by the end of the process", request.header("request-id")));
                    return common::reset_on_close(&reader.stream);
                }
                let sent = std::io::Write::write_all(&mut reader.stream, &answer("200 OK", "", "done"));
                if sent.is_err() {
                    return;
                }
            }
        });
    }
    let agent = Agent::start(&run, &hosts);
    let tariffs = [
        common::tariff("check-free", 210, 530, "pure", ""),
        common::tariff("book-slot", 210, 530, "side_effect", ""),
    ];
    let settings = common::settings(&tariffs.join(","), r#","dialTimeoutMs":100.0"#);
    let proxy = Proxy::start(&run, agent.address, &agent.known(), &settings);
    let (listen, stop) = (proxy.listen, Arc::new(AtomicBool::new(false)));
    let numbers = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (run, stop, numbers) = (run.clone(), stop.clone(), numbers.clone());
            thread::spawn(move || {
                let mut client = None;
                while !stop.load(Relaxed) {
                    let number = numbers.fetch_add(1, Relaxed);
                    let (method, class) = if number % 2 == 0 { ("GET", "check-free") } else { ("POST", "book-slot") };
                    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
                    let text = format!(
                        "{method} /{class} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: r{number}\r\nRequest-Class: {class}\r\nRequest-Timeout: 0.4\r\n{length}\r\n"
                    );
                    let mut open = match client.take().map_or_else(|| Client::connect(listen), Ok) {
                        Ok(open) => open,
                        Err(_) => continue,
                    };
                    let answered = open.send(text.as_bytes()).and_then(|()| open.receive(ms(900)));
                    let status = answered.as_ref().map(|answer| answer.status);
                    run.note(&format!("client: {class} r{number} -> {status:?}"));
                    if answered.is_ok_and(|answer| !answer.has_token("connection", "close")) {
                        client = Some(open);
                    }
                    thread::sleep(ms(40 + number * 13 % 41));
                }
            })
        })
        .collect();
    let wait_until = |at: f64| thread::sleep(Duration::from_secs_f64((at - run.now()).max(0.0)));
    wait_until(SLOW_FROM);
    if run.trouble {
        agent.set_answer_delay(ANSWER_DELAY);
    }
    wait_until(DRAIN_AT);
    let drained_at = run.now();
    agent.set_health("s-1", "Terminating");
    wait_until(drained_at + DRAIN_LASTS);
    ended.store(true, Relaxed);
    run.note("s-1: its drain is over, the process ends");
    wait_until(drained_at + DRAIN_LASTS + 2.0);
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    proxy.end(&run);
    let sends = sends.lock().unwrap();
    let after: Vec<_> = sends.iter().filter(|(number, at)| *number == 1 && *at > drained_at).collect();
    let late = after.iter().filter(|(_, at)| *at > drained_at + LIMIT).count();
    let last = after.last().map_or(0.0, |(_, at)| at - drained_at);
    let summary = format!(
        "{} requests in all, {} at s-1 after its drain, {late} of them more than {LIMIT:.2} s after it; the last one {last:.2} s after it; {} cut off by its end",
        sends.len(),
        after.len(),
        cut_off.load(Relaxed)
    );
    run.finish(late > 0, &summary)
}
