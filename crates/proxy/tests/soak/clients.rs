//! Clients that ask again and again, on new connections and on those that stay open, and keep a record of it.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use oorandom::Rand32;

use crate::helper;

/// How long after its time an answer still counts.
pub const SLACK: Duration = Duration::from_millis(500);

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered {
        status: u16,
        whole: bool,
        /// The connection is to end with it.
        close: bool,
    },
    /// The connection ended before a whole answer, after so many bytes of one.
    Broke {
        bytes: usize,
        error: Option<ErrorKind>,
    },
    TimedOut,
    /// The client left.
    Left,
}

#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub once: bool,
    pub wait: Duration,
    /// When sending began.
    pub sent: Instant,
    pub ended: Instant,
    pub end: End,
}

/// What the clients are told as the test goes on.
#[derive(Default)]
pub struct Told {
    /// No new connections are made.
    pub only_open: AtomicBool,
    pub over: AtomicBool,
}

pub struct Clients {
    threads: Vec<std::thread::JoinHandle<()>>,
    pub told: Arc<Told>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Clients {
    pub fn start(address: &str, count: u32, seed: u64) -> Clients {
        let (told, records) = (Arc::new(Told::default()), Arc::new(Mutex::new(Vec::new())));
        let threads = (0..count).map(|number| {
            let (told, records) = (told.clone(), records.clone());
            let mut client = Client {
                address: address.to_string(),
                rng: Rand32::new(seed * 1_000 + u64::from(number)),
                connection: None,
            };
            std::thread::spawn(move || {
                while !told.over.load(Ordering::SeqCst) {
                    let new = !told.only_open.load(Ordering::SeqCst);
                    if let Some(record) = client.ask(new) {
                        records.lock().unwrap().push(record);
                    }
                }
            })
        });
        Clients { threads: threads.collect(), told, records }
    }

    /// Waits until all have the end of what they asked.
    pub fn finish(self) -> Vec<Record> {
        self.told.over.store(true, Ordering::SeqCst);
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
    /// Asks once; `None` if there is no connection to ask on.
    fn ask(&mut self, new: bool) -> Option<Record> {
        std::thread::sleep(Duration::from_millis(self.rng.rand_range(0..12).into()));
        let fresh = self.rng.rand_range(0..3) == 0;
        if new && (fresh || self.connection.is_none()) {
            self.connection = None;
            let stream = TcpStream::connect(&self.address).ok()?;
            stream.set_nodelay(true).unwrap();
            self.connection = Some(stream);
        }
        let mut stream = self.connection.take()?;
        // A connection that the proxy has ended is seen to have ended.
        stream.set_nonblocking(true).unwrap();
        let ended = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).unwrap();
        if ended {
            return None;
        }
        let once = self.rng.rand_range(0..2) == 0;
        let wait = Duration::from_millis([60, 150, 400, 1_000][self.rng.rand_range(0..4) as usize]);
        let (method, path) = if once { ("POST", "/write") } else { ("GET", "/read") };
        let text = helper::request(method, path, &format!("{:.3}", wait.as_secs_f64()));
        let text = text.replace("Connection: close\r\n", "");
        let leaves = (self.rng.rand_range(0..12) == 0)
            .then(|| Duration::from_millis(self.rng.rand_range(0..30).into()));
        let sent = Instant::now();
        let end = match self.send(&mut stream, &text) {
            Err(e) => End::Broke { bytes: 0, error: Some(e.kind()) },
            Ok(()) => match leaves {
                Some(after) => {
                    std::thread::sleep(after);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    End::Left
                }
                None => answer(&mut stream, sent + wait + SLACK, helper::request_id(&text)),
            },
        };
        let ended = Instant::now();
        if matches!(end, End::Answered { whole: true, close: false, .. }) {
            self.connection = Some(stream);
        }
        let id = helper::request_id(&text).to_string();
        Some(Record { id, once, wait, sent, ended, end })
    }

    /// Sends a request, at times in two pieces.
    fn send(&mut self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let cut = if self.rng.rand_range(0..10) == 0 { text.len() / 2 } else { 0 };
        stream.write_all(&text.as_bytes()[..cut])?;
        if cut > 0 {
            std::thread::sleep(Duration::from_millis(3));
        }
        stream.write_all(&text.as_bytes()[cut..])
    }
}

/// Reads an answer until a point in time.
fn answer(stream: &mut TcpStream, until: Instant, id: &str) -> End {
    let (mut text, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::TimedOut;
        }
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.read(&mut piece) {
            Ok(0) => return End::Broke { bytes: text.len(), error: None },
            Ok(read) => text.extend_from_slice(&piece[..read]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => continue,
            Err(e) => return End::Broke { bytes: text.len(), error: Some(e.kind()) },
        }
        let Some((head, body)) = std::str::from_utf8(&text).ok().and_then(|text| text.split_once("\r\n\r\n"))
        else {
            continue;
        };
        let length =
            head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
        if body.len() >= length.unwrap_or(0) {
            let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
            let whole = Some(body.len()) == length && (status != 200 || body == id);
            let close = head.contains("Connection: close");
            return End::Answered { status, whole, close };
        }
    }
}
