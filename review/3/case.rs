//! Requests on new connections behind a crowd of idle ones.

#[path = "../common/mod.rs"]
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SOCKETS: u32 = 256;
const CUT_OFF_MS: u32 = 530;
const CROWD: usize = 600;
const REQUESTS: u32 = 160;
const SPACING: Duration = Duration::from_millis(50);
/// An answer this long after the request's time is lost: half a second, and 50 ms for the sockets.
const LATE_MS: f64 = 550.0;

fn backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no port for a backend");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut buffer, _) = (Vec::new(), stream.set_nodelay(true));
                while let Ok(Some(message)) = read_message(&mut stream, &mut buffer) {
                    let id = message.field("Request-Id").unwrap_or_default().to_string();
                    if !id.is_empty() {
                        note(&format!("backend runs {id}"));
                        thread::sleep(Duration::from_millis(30));
                    }
                    if write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct Outcome {
    id: String,
    sent_ms: Option<f64>,
    end_ms: f64,
    end: Result<(u16, bool), String>,
}

/// A request on a new connection, for which the client waits for an answer or a close.
fn request(proxy: SocketAddr, id: String) -> Outcome {
    let mut outcome = Outcome { id: id.clone(), sent_ms: None, end_ms: 0.0, end: Err(String::new()) };
    let mut send = || -> std::io::Result<(u16, bool)> {
        let mut stream = TcpStream::connect(proxy)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let head = request_head("POST", "book-slot", &id, f64::from(CUT_OFF_MS) / 1000.0, 0);
        stream.write_all(head.as_bytes())?;
        outcome.sent_ms = Some(now_ms());
        let message = read_message(&mut stream, &mut Vec::new())?;
        let message = message.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        Ok((message.status(), message.body == id.as_bytes()))
    };
    let end = send().map_err(|error| error.to_string());
    (outcome.end, outcome.end_ms) = (end, now_ms());
    outcome
}

fn main() {
    begin(Duration::from_secs(100));
    let hosts: Vec<Host> = (1..=4).map(|n| Host::ready(&format!("s-{n}"), backend())).collect();
    let agent = Agent::start(41, hosts.clone());
    let classes = [
        class_json("check-free", "pure", 210, CUT_OFF_MS, ""),
        class_json("book-slot", "side_effect", 210, CUT_OFF_MS, ""),
    ];
    let settings = settings_json(3, &classes);
    let proxy = Proxy::start("n1", agent.address, &list_json(41, true, &hosts), &settings, (SOCKETS, 96));
    let listen = proxy.listen;
    let began = Instant::now();
    let at = move |time: Duration| thread::sleep((began + time).saturating_duration_since(Instant::now()));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::spawn(move || {
                at(SPACING * number);
                request(listen, format!("r{number:03}"))
            })
        })
        .collect();
    at(Duration::from_secs(2));
    let mut crowd = Vec::new();
    if trouble() {
        for _ in 0..CROWD {
            if let Ok(stream) = TcpStream::connect_timeout(&listen, Duration::from_secs(1)) {
                crowd.push(stream);
            }
        }
        note(&format!("{} idle clients are connected", crowd.len()));
    }
    let outcomes: Vec<Outcome> = requests.into_iter().map(|request| request.join().unwrap()).collect();
    drop(crowd);
    let (mut served, mut failed, mut shut, mut lost) = (0, 0, 0, 0);
    for Outcome { id, sent_ms, end_ms, end } in &outcomes {
        let ending = match end {
            Ok((status, own)) => format!("status {status}{}", if *own { "" } else { ", own or no body" }),
            Err(why) => format!("no answer: {why}"),
        };
        let took = sent_ms.map_or(0.0, |at| end_ms - at);
        note(&format!("{id}: ended {took:.0} ms after its last byte with {ending}"));
        if took > f64::from(CUT_OFF_MS) + LATE_MS {
            lost += 1;
            say(&format!("lost: {id} had neither an answer nor a close for {took:.0} ms, then {ending}"));
        } else if end.is_err() {
            shut += 1;
        } else if matches!(end, Ok((200, true))) {
            served += 1;
        } else {
            failed += 1;
        }
    }
    say(&format!("{served} served, {failed} refused or failed in time, {shut} shut, {lost} lost"));
    if served == 0 {
        finish(NOT_RUN);
    }
    finish(if lost > 0 { BROKEN } else { HELD })
}
