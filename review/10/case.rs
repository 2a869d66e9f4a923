//! Clients send much at once and go. What they sent fills the socket's buffer, so that the end of the connection waits
//! behind bytes that the proxy does not read; their first requests wait for a backend meanwhile.

#[path = "../common-2/mod.rs"]
mod common;

use common::{answer, ms, Agent, Client, Host, Proxy, Reader, Run};
use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const BACKENDS: u8 = 3;
const ROUNDS: u32 = 8;
/// Clients of a round, which send at the same time.
const CLIENTS: u32 = 24;
const REQUESTS_AT_ONCE: u32 = 200;
/// An attempt that begins later than this after the close breaks the rule; on sockets, 50 ms more.
const LIMIT: f64 = 0.1 + 0.05;

fn request(name: &str) -> String {
    format!(
        "GET /lookup HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {name}\r\nRequest-Class: lookup\r\nRequest-Timeout: 2.0\r\nUser-Agent: {}\r\n\r\n",
        "kiosk ".repeat(600)
    )
}

fn main() {
    let run = Run::begin("left-client");
    let attempts = Arc::new(Mutex::new(Vec::<(String, f64)>::new()));
    let mut hosts = Vec::new();
    for number in 1..=BACKENDS {
        let listener = common::backend_listener(number);
        hosts.push(Host::new(&format!("s-{number}"), listener.local_addr().unwrap()));
        let (run, attempts) = (run.clone(), attempts.clone());
        common::serve(listener, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = reader.message(Instant::now() + ms(120_000)) {
                let id = request.header("request-id").to_string();
                run.note(&format!("s-{number}: attempt of {id}"));
                attempts.lock().unwrap().push((id, run.now()));
                thread::sleep(ms(260));
                if reader.stream.write_all(&answer("200 OK", "", "done")).is_err() {
                    return;
                }
            }
        });
    }
    let agent = Agent::start(&run, &hosts);
    let settings = common::settings(&common::tariff("lookup", 2000, 5000, "pure", ""), "");
    let proxy = Proxy::start(&run, agent.address, &agent.known(), &settings);
    let listen = proxy.listen;
    let closed = Arc::new(Mutex::new(HashMap::<String, f64>::new()));
    for round in 1..=ROUNDS {
        let clients: Vec<_> = (1..=CLIENTS)
            .map(|number| {
                let (run, closed) = (run.clone(), closed.clone());
                thread::spawn(move || {
                    let name = format!("c{round}-{number}");
                    let Ok(mut client) = Client::connect(listen) else { return };
                    if !run.trouble {
                        // The same load from clients that stay: one request each, and its answer is awaited.
                        let answered =
                            client.send(request(&format!("{name}-1")).as_bytes()).and_then(|()| client.receive(ms(3_000)));
                        return run.note(&format!("client: {name} -> {:?}", answered.map(|answer| answer.status)));
                    }
                    let text: String = (1..=REQUESTS_AT_ONCE).map(|n| request(&format!("{name}-{n}"))).collect();
                    let _ = client.reader.stream.set_nonblocking(true);
                    let mut sent = 0;
                    loop {
                        match client.reader.stream.write(&text.as_bytes()[sent..]) {
                            Ok(0) => break,
                            Ok(more) => sent += more,
                            Err(e) if e.kind() == ErrorKind::Interrupted => {}
                            Err(_) => break,
                        }
                    }
                    drop(client);
                    let at = run.now();
                    run.note(&format!("client: {name} sent {sent} bytes and closed its connection"));
                    closed.lock().unwrap().insert(name, at);
                })
            })
            .collect();
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(ms(2_500));
    }
    proxy.end(&run);
    let (attempts, closed) = (attempts.lock().unwrap(), closed.lock().unwrap());
    let (mut late, mut latest) = (0, 0.0_f64);
    for (id, at) in attempts.iter() {
        let client = id.rsplit_once('-').map_or("", |(client, _)| client);
        let Some(after) = closed.get(client).map(|closed| at - closed) else { continue };
        if after > LIMIT {
            late += 1;
            run.note(&format!("attempt of {id} began {after:.3} s after its client had closed the connection"));
        }
        latest = latest.max(after);
    }
    let summary = format!(
        "{} attempts, {late} began more than {LIMIT:.2} s after their client had closed; the latest {latest:.2} s after",
        attempts.len()
    );
    run.finish(late > 0, &summary)
}
