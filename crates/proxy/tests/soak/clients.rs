//! Clients that send requests in a loop, on new and on persistent connections, and record each result.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use oorandom::Rand32;

use crate::helper;

/// Time after a request's timeout within which its response still counts.
pub const SLACK: Duration = Duration::from_millis(500);

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    Answered {
        status: u16,
        /// The body has its declared length and, with status 200, the expected content.
        complete: bool,
        /// The response has `Connection: close`.
        close: bool,
    },
    /// The connection ended before a complete response, after `bytes` bytes of it.
    ConnectionEnded {
        bytes: usize,
        error: Option<ErrorKind>,
    },
    TimedOut,
    /// The client closed the connection before the response.
    ClientGone,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    /// The request belongs to the at-most-once class; otherwise it belongs to the safe class.
    pub at_most_once: bool,
    pub timeout: Duration,
    /// When sending started.
    pub sent: Instant,
    pub ended: Instant,
    pub end: RequestEnd,
}

/// Switches by which the test controls its clients while they run.
#[derive(Default)]
pub struct ClientControl {
    /// Clients only use the connections that they have.
    pub no_new_connections: AtomicBool,
    pub stop: AtomicBool,
}

pub struct Clients {
    threads: Vec<std::thread::JoinHandle<()>>,
    pub control: Arc<ClientControl>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
}

impl Clients {
    pub fn start(address: &str, count: u32, seed: u64) -> Clients {
        let (control, records) = (Arc::new(ClientControl::default()), Arc::new(Mutex::new(Vec::new())));
        let threads = (0..count).map(|number| {
            let (control, records) = (control.clone(), records.clone());
            let mut client = Client {
                address: address.to_string(),
                rng: Rand32::new(seed * 1_000 + u64::from(number)),
                connection: None,
            };
            std::thread::spawn(move || {
                while !control.stop.load(Ordering::SeqCst) {
                    let may_connect = !control.no_new_connections.load(Ordering::SeqCst);
                    if let Some(record) = client.run_request(may_connect) {
                        records.lock().unwrap().push(record);
                    }
                }
            })
        });
        Clients { threads: threads.collect(), control, records }
    }

    /// Lets each client finish its last request; returns all records.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.control.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        std::mem::take(&mut self.records.lock().unwrap())
    }
}

struct Client {
    address: String,
    rng: Rand32,
    connection: Option<TcpStream>,
}

impl Client {
    /// Sends one request and waits for its end; `None` if there is no usable connection.
    fn run_request(&mut self, may_connect: bool) -> Option<RequestRecord> {
        std::thread::sleep(Duration::from_millis(self.rng.rand_range(0..12).into()));
        let reconnects = self.rng.rand_range(0..3) == 0;
        if may_connect && (reconnects || self.connection.is_none()) {
            self.connection = None;
            let stream = TcpStream::connect(&self.address).ok()?;
            stream.set_nodelay(true).unwrap();
            self.connection = Some(stream);
        }
        let mut stream = self.connection.take()?;
        // Detects a connection that the proxy has closed meanwhile.
        stream.set_nonblocking(true).unwrap();
        let closed = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).unwrap();
        if closed {
            return None;
        }
        let at_most_once = self.rng.rand_range(0..2) == 0;
        let timeout = Duration::from_millis([60, 150, 400, 1_000][self.rng.rand_range(0..4) as usize]);
        let (method, path) = if at_most_once { ("POST", "/write") } else { ("GET", "/read") };
        let text = helper::request(method, path, &format!("{:.3}", timeout.as_secs_f64()));
        let text = text.replace("Connection: close\r\n", "");
        let leave_after = (self.rng.rand_range(0..12) == 0)
            .then(|| Duration::from_millis(self.rng.rand_range(0..30).into()));
        let sent = Instant::now();
        let end = match self.send(&mut stream, &text) {
            Err(e) => RequestEnd::ConnectionEnded { bytes: 0, error: Some(e.kind()) },
            Ok(()) => match leave_after {
                Some(delay) => {
                    std::thread::sleep(delay);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    RequestEnd::ClientGone
                }
                None => read_response(&mut stream, sent + timeout + SLACK, helper::request_id(&text)),
            },
        };
        let ended = Instant::now();
        if matches!(end, RequestEnd::Answered { complete: true, close: false, .. }) {
            self.connection = Some(stream);
        }
        let id = helper::request_id(&text).to_string();
        Some(RequestRecord { id, at_most_once, timeout, sent, ended, end })
    }

    /// Sends a request, one in ten in two parts.
    fn send(&mut self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let split_at = if self.rng.rand_range(0..10) == 0 { text.len() / 2 } else { 0 };
        stream.write_all(&text.as_bytes()[..split_at])?;
        if split_at > 0 {
            std::thread::sleep(Duration::from_millis(3));
        }
        stream.write_all(&text.as_bytes()[split_at..])
    }
}

/// Reads a response until the deadline.
fn read_response(stream: &mut TcpStream, deadline: Instant, id: &str) -> RequestEnd {
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return RequestEnd::TimedOut;
        }
        stream.set_read_timeout(Some(remaining)).unwrap();
        match stream.read(&mut buffer) {
            Ok(0) => return RequestEnd::ConnectionEnded { bytes: text.len(), error: None },
            Ok(length) => text.extend_from_slice(&buffer[..length]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => continue,
            Err(e) => return RequestEnd::ConnectionEnded { bytes: text.len(), error: Some(e.kind()) },
        }
        let Some((head, body)) = std::str::from_utf8(&text).ok().and_then(|text| text.split_once("\r\n\r\n"))
        else {
            continue;
        };
        let length =
            head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
        if body.len() >= length.unwrap_or(0) {
            let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
            let complete = Some(body.len()) == length && (status != 200 || body == id);
            let close = head.contains("Connection: close");
            return RequestEnd::Answered { status, complete, close };
        }
    }
}
