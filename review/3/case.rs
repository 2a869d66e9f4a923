//! Requests that are hidden in the body of a readiness call.

#[path = "../common/mod.rs"]
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

const CUT_OFF_MS: u32 = 530;
const CALLS: u32 = 20;
/// Length of a readiness call's body.
const BODY_BYTES: usize = 256 * 1024;
const CLIENTS: u32 = 4;
const REQUESTS: u32 = 40;

/// The ids that backends got, with how often.
type Ran = Arc<Mutex<BTreeMap<String, u32>>>;

fn backend(ran: Ran) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no port for a backend");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let ran = ran.clone();
            thread::spawn(move || {
                let (mut buffer, _) = (Vec::new(), stream.set_nodelay(true));
                while let Ok(Some(message)) = read_message(&mut stream, &mut buffer) {
                    let id = message.field("Request-Id").unwrap_or_default().to_string();
                    if !id.is_empty() {
                        let line = message.head.lines().next().unwrap_or_default();
                        note(&format!("backend runs {id}: {line}"));
                        *ran.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
                        thread::sleep(Duration::from_millis(20));
                    }
                    if write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A bad client: one readiness call whose body looks like blank lines and a request. Sends all of it at once and reads
/// what comes.
fn bad_client(proxy: SocketAddr, id: &str) -> std::io::Result<String> {
    let hidden = request_head("POST", "book-slot", id, f64::from(CUT_OFF_MS) / 1000.0, 0);
    let length = if trouble() { BODY_BYTES } else { 0 };
    let mut message =
        format!("GET /ready HTTP/1.1\r\nHost: api.internal\r\nContent-Length: {length}\r\n\r\n");
    if length > 0 {
        message.push_str(&"\r\n".repeat((length - hidden.len()) / 2));
        message.push_str(if hidden.len() % 2 == 0 { "" } else { "\n" });
        message.push_str(&hidden);
    }
    let mut stream = TcpStream::connect(proxy)?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    let sent = stream.write_all(message.as_bytes());
    note(&format!("bad client has sent GET /ready with a body of {length} bytes that holds {id}: {sent:?}"));
    let (mut answers, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(read) = stream.read(&mut chunk) {
        if read == 0 {
            break;
        }
        answers.extend_from_slice(&chunk[..read]);
    }
    Ok(String::from_utf8_lossy(&answers).into_owned())
}

fn good_client(proxy: SocketAddr, number: u32, sent: &Mutex<BTreeSet<String>>) -> u32 {
    let mut served = 0;
    let Ok(mut stream) = TcpStream::connect(proxy) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut buffer = Vec::new();
    for count in 0..REQUESTS {
        let id = format!("c{number}-{count:03}");
        sent.lock().unwrap().insert(id.clone());
        let (method, class) = if count % 2 == 0 { ("GET", "check-free") } else { ("POST", "book-slot") };
        note(&format!("client sends {method} /{class} {id}"));
        let head = request_head(method, class, &id, f64::from(CUT_OFF_MS) / 1000.0, 0);
        if stream.write_all(head.as_bytes()).is_err() {
            return served;
        }
        match read_message(&mut stream, &mut buffer) {
            Ok(Some(message)) => {
                note(&format!("client {id} is answered: {}", message.status()));
                served += u32::from(message.status() == 200 && message.body == id.as_bytes());
            }
            _ => return served,
        }
        thread::sleep(Duration::from_millis(50));
    }
    served
}

fn main() {
    begin(Duration::from_secs(100));
    let ran = Ran::default();
    let hosts: Vec<Host> = (1..=4).map(|n| Host::ready(&format!("s-{n}"), backend(ran.clone()))).collect();
    let agent = Agent::start(41, hosts.clone());
    let classes = [
        class_json("check-free", "pure", 210, CUT_OFF_MS, ""),
        class_json("book-slot", "side_effect", 210, CUT_OFF_MS, ""),
    ];
    let settings = settings_json(3, &classes);
    let proxy = Proxy::start("n1", agent.address, &list_json(41, true, &hosts), &settings, (1024, 192));
    let listen = proxy.listen;
    let sent = Arc::new(Mutex::new(BTreeSet::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let sent = sent.clone();
            thread::spawn(move || good_client(listen, number, &sent))
        })
        .collect();
    for number in 0..CALLS {
        let id = format!("hidden-{number:02}");
        let answers = bad_client(listen, &id).unwrap_or_else(|error| error.to_string());
        let lines: Vec<&str> = answers.lines().filter(|line| line.starts_with("HTTP/")).collect();
        note(&format!("bad client has read the answers {lines:?}"));
    }
    let served: u32 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    thread::sleep(Duration::from_millis(500));
    let (ran, sent) = (ran.lock().unwrap(), sent.lock().unwrap());
    let unsent: Vec<&String> = ran.keys().filter(|id| !sent.contains(*id)).collect();
    for id in &unsent {
        say(&format!("a backend ran {id}, which no client sent as a request"));
    }
    say(&format!("{served} of {} requests served, {} of {CALLS} hidden ones run", sent.len(), unsent.len()));
    if served == 0 {
        finish(NOT_RUN);
    }
    finish(if unsent.is_empty() { HELD } else { BROKEN })
}
