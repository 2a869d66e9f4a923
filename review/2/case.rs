//! Uploads that are still being received when the proxy is told to end.

#[path = "../common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const CUT_OFF_MS: u32 = 530;
const WORK: Duration = Duration::from_millis(70);
const BODY_BYTES: usize = 128 * 1024;
const BYTES_PER_S: usize = 64_000;
const UPLOADS: u64 = 60;
/// Time from the first upload's last byte to the second one's, and so on.
const SPACING: Duration = Duration::from_millis(20);
/// From the signal to the first upload's last byte.
const FIRST_END: Duration = Duration::from_millis(100);

type Ran = Arc<Mutex<BTreeMap<String, f64>>>;

/// A backend that begins a request when its last byte has come and answers it after its work.
fn backend(ran: Ran) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no port for a backend");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let ran = ran.clone();
            thread::spawn(move || {
                let (mut buffer, _) = (Vec::new(), stream.set_nodelay(true));
                while let Ok(Some(message)) = read_message(&mut stream, &mut buffer) {
                    let id = message.field("Request-Id").unwrap_or_default().to_string();
                    let path = message.head.split(' ').nth(1).unwrap_or_default();
                    if path.starts_with("/health") || path.starts_with("/status") {
                        let body = "TEXT inflight=0, queue=0, util=0.1";
                        if write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                            .is_err()
                        {
                            return;
                        }
                        continue;
                    }
                    note(&format!("backend runs {id}"));
                    ran.lock().unwrap().insert(id.clone(), now_ms());
                    thread::sleep(WORK);
                    let sent = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    note(&format!(
                        "backend answers {id}: {}",
                        if sent.is_ok() { "written" } else { "connection broke" }
                    ));
                }
            });
        }
    });
    address
}

enum End {
    Status(u16, bool),
    /// The connection ended with no whole answer.
    NoAnswer(String),
}

struct Upload {
    id: String,
    /// When its last byte was written, if it was.
    sent_ms: Option<f64>,
    end_ms: f64,
    end: End,
}

/// Sends a body at a mobile client's pace and reads the answer.
fn upload(proxy: std::net::SocketAddr, id: String, end_at: Instant) -> Upload {
    let duration = Duration::from_secs_f64(BODY_BYTES as f64 / BYTES_PER_S as f64);
    thread::sleep((end_at - duration).saturating_duration_since(Instant::now()));
    let mut result = Upload { id: id.clone(), sent_ms: None, end_ms: 0.0, end: End::NoAnswer(String::new()) };
    let ended = |result: &mut Upload, end: End| {
        (result.end_ms, result.end) = (now_ms(), end);
    };
    let mut stream = match TcpStream::connect(proxy) {
        Ok(stream) => stream,
        Err(error) => {
            ended(&mut result, End::NoAnswer(format!("not connected: {error}")));
            return result;
        }
    };
    let _ = stream.set_nodelay(true);
    let head = request_head("POST", "book-slot", &id, f64::from(CUT_OFF_MS) / 1000.0, BODY_BYTES);
    let body = vec![b'x'; BODY_BYTES];
    let began = Instant::now();
    if let Err(error) = stream.write_all(head.as_bytes()) {
        ended(&mut result, End::NoAnswer(error.to_string()));
        return result;
    }
    let mut sent = 0;
    let pieces = (duration.as_millis() / 20) as usize;
    let mut answered_early = false;
    for piece in 1..=pieces {
        thread::sleep(
            (began + Duration::from_millis(20) * piece as u32).saturating_duration_since(Instant::now()),
        );
        // An answer or an end that comes before the last byte ends the upload.
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0; 1]);
        let _ = stream.set_nonblocking(false);
        if !matches!(&peeked, Err(error) if error.kind() == ErrorKind::WouldBlock) {
            answered_early = true;
            break;
        }
        let until = if piece == pieces { BODY_BYTES } else { BODY_BYTES * piece / pieces };
        if let Err(error) = stream.write_all(&body[sent..until]) {
            ended(&mut result, End::NoAnswer(error.to_string()));
            return result;
        }
        sent = until;
    }
    if !answered_early {
        result.sent_ms = Some(now_ms());
        note(&format!("client has sent {id} whole"));
    }
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let end = match read_message(&mut stream, &mut Vec::new()) {
        Ok(Some(message)) => End::Status(message.status(), message.body == id.as_bytes()),
        Ok(None) => End::NoAnswer("connection ended".to_string()),
        Err(error) => End::NoAnswer(error.to_string()),
    };
    ended(&mut result, end);
    result
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
    let known = list_json(41, true, &hosts);
    let mut proxy = Proxy::start("n1", agent.address, &known, &settings, (1024, 192));
    let listen = proxy.listen;
    let signal_at = Instant::now() + Duration::from_millis(2_600);
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let end_at = signal_at + FIRST_END + SPACING * number as u32;
            thread::spawn(move || upload(listen, format!("u{number:02}"), end_at))
        })
        .collect();
    thread::sleep(signal_at.saturating_duration_since(Instant::now()));
    let signal_ms = now_ms();
    if trouble() {
        proxy.signal("TERM");
        // The platform kills no sooner than the longest deadline and 0.7 s after SIGTERM; here later still.
        match proxy.wait(Duration::from_millis(u64::from(CUT_OFF_MS) + 2_000)) {
            Some(status) => {
                say(&format!(
                    "the proxy ended by itself {:.0} ms after SIGTERM: {status}",
                    now_ms() - signal_ms
                ));
            }
            None => proxy.signal("KILL"),
        }
    }
    let results: Vec<Upload> = uploads.into_iter().map(|upload| upload.join().unwrap()).collect();
    thread::sleep(Duration::from_millis(200));
    let ran = ran.lock().unwrap();
    let (mut lost, mut served, mut refused, mut open) = (0, 0, 0, 0);
    for Upload { id, sent_ms, end_ms, end } in &results {
        let sent =
            sent_ms.map_or("not sent whole".to_string(), |at| format!("sent whole at {:.0}", at - signal_ms));
        let run = ran.get(id).map_or("not run".to_string(), |at| format!("run at {:.0}", at - signal_ms));
        let ending = match end {
            End::Status(status, own) => {
                format!("status {status}{}", if *own { "" } else { ", own or no body" })
            }
            End::NoAnswer(why) => format!("no answer: {why}"),
        };
        note(&format!("{id}: {sent}, {run}, ended at {:.0} with {ending}", end_ms - signal_ms));
        match end {
            End::Status(200, true) => served += 1,
            End::Status(..) => refused += 1,
            // Taken for certain: a backend got its last byte, and ran it.
            End::NoAnswer(_) if sent_ms.is_some() && ran.contains_key(id) => {
                lost += 1;
                say(&format!(
                    "lost: {id} was {sent}, {run}, and ended at {:.0} with {ending}",
                    end_ms - signal_ms
                ));
            }
            End::NoAnswer(_) => open += 1,
        }
    }
    say(&format!(
        "{served} served, {refused} refused or failed, {open} ended before they were taken, {lost} taken, run and never answered"
    ));
    if served == 0 {
        finish(NOT_RUN);
    }
    if !trouble() && (open > 0 || refused > 0) {
        say("without the trouble, all uploads should be served");
        finish(BROKEN);
    }
    finish(if lost > 0 { BROKEN } else { HELD })
}
