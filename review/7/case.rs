//! Some answers are followed, some milliseconds later, by a second copy, while nothing else waits on that connection at
//! the backend. The way to the backends takes 2 ms in each direction.

#[path = "../common-2/mod.rs"]
mod common;

use common::{answer, ms, Agent, Client, Host, Proxy, Reader, Run};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: u8 = 4;
const CLIENTS: u64 = 8;
/// One answer in so many is followed by a second copy.
const ONE_IN: u64 = 50;
/// From the end of an answer to its second copy.
const COPY_DELAY: Duration = Duration::from_millis(5);
const ONE_WAY: Duration = Duration::from_millis(2);
const SECONDS: f64 = 20.0;

/// Passes bytes on in one direction, each piece `ONE_WAY` after it came.
fn pass_on(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    });
    let mut piece = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut piece) {
        if length == 0 || sender.send((Instant::now() + ONE_WAY, piece[..length].to_vec())).is_err() {
            return;
        }
    }
}

/// The way to a backend: a forwarder in front of it.
fn forwarder(number: u8, backend: SocketAddr) -> SocketAddr {
    let listener = common::backend_listener(number);
    let address = listener.local_addr().unwrap();
    common::serve(listener, move |near| {
        let Ok(far) = TcpStream::connect(backend) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        thread::spawn(move || pass_on(far_copy, near_copy));
        pass_on(near, far);
    });
    address
}

fn backend(run: &Run, served: &AtomicU64, stream: TcpStream) {
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message(Instant::now() + ms(120_000)) {
        let id = request.header("request-id").to_string();
        thread::sleep(ms(8));
        let text = answer("200 OK", "", &format!("answer to {id}"));
        if reader.stream.write_all(&text).is_err() {
            return;
        }
        if run.trouble && served.fetch_add(1, Relaxed) % ONE_IN == ONE_IN - 1 {
            // A second copy, unless a request comes before it is due.
            let waits = matches!(reader.read_more(Instant::now() + COPY_DELAY), Ok(true));
            if !waits && reader.buffer.is_empty() {
                run.note(&format!("backend: second copy of the answer to {id}"));
                if reader.stream.write_all(&text).is_err() {
                    return;
                }
            }
        }
    }
}

fn main() {
    let run = Run::begin("second-answer");
    let served = Arc::new(AtomicU64::new(0));
    let mut hosts = Vec::new();
    for number in 1..=BACKENDS {
        let listener = common::backend_listener(number);
        let address = listener.local_addr().unwrap();
        let (run, served) = (run.clone(), served.clone());
        common::serve(listener, move |stream| backend(&run, &served, stream));
        hosts.push(Host::new(&format!("s-{number}"), forwarder(100 + number, address)));
    }
    let agent = Agent::start(&run, &hosts);
    let settings = common::settings(&common::tariff("point-status", 1200, 3000, "pure", ""), r#","dialTimeoutMs":100.0"#);
    let proxy = Proxy::start(&run, agent.address, &agent.known(), &settings);
    let (listen, numbers) = (proxy.listen, Arc::new(AtomicU64::new(1)));
    let (foreign, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (run, numbers, foreign, stop) = (run.clone(), numbers.clone(), foreign.clone(), stop.clone());
            thread::spawn(move || {
                let mut client = None;
                while !stop.load(Relaxed) {
                    let number = numbers.fetch_add(1, Relaxed);
                    let text = format!(
                        "GET /point-status HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: q{number}\r\nRequest-Class: point-status\r\nRequest-Timeout: 2.0\r\n\r\n"
                    );
                    let Ok(mut open) = client.take().map_or_else(|| Client::connect(listen), Ok) else { continue };
                    let answered = open.send(text.as_bytes()).and_then(|()| open.receive(ms(3_000)));
                    if let Ok(answer) = &answered {
                        let body = String::from_utf8_lossy(&answer.body).into_owned();
                        if answer.status == 200 && body != format!("answer to q{number}") {
                            foreign.fetch_add(1, Relaxed);
                            run.note(&format!("client: q{number} -> 200 with the body {body:?}: FOREIGN"));
                        }
                    }
                    let status = answered.as_ref().map(|answer| answer.status);
                    if !matches!(status, Ok(200)) {
                        run.note(&format!("client: q{number} -> {status:?}"));
                    }
                    if answered.is_ok_and(|answer| !answer.has_token("connection", "close")) {
                        client = Some(open);
                    }
                    thread::sleep(ms(number % 17));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64(SECONDS));
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    proxy.end(&run);
    let (foreign, sent) = (foreign.load(Relaxed), numbers.load(Relaxed) - 1);
    run.finish(foreign > 0, &format!("{foreign} of {sent} requests got the answer to another request"))
}
