//! What the cases share: the record, a discovery agent, the start and end of a proxy, and plain HTTP/1.1 over
//! blocking sockets. Standard library only.
#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();
/// Processes that the case started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Opens the record that the first argument names, makes a temporary folder and limits the case's time.
pub fn begin(limit: Duration) {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
    let file = File::create(&path).expect("the record cannot be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    let folder = std::env::temp_dir().join(format!("sparlug-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("no temporary folder");
    let _ = FOLDER.set(folder);
    note(&format!("trouble: {}", if trouble() { "yes" } else { "no" }));
    thread::spawn(move || {
        thread::sleep(limit);
        note("the case took too long");
        finish(NOT_RUN);
    });
}

/// Milliseconds since the case began.
pub fn now_ms() -> f64 {
    RECORD.get().map_or(0.0, |(_, start)| start.elapsed().as_secs_f64() * 1000.0)
}

/// Writes a line to the record.
pub fn note(text: &str) {
    let at = now_ms();
    if let Some((file, _)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{at:10.1} {text}");
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    note(text);
    println!("{text}");
}

pub fn folder() -> PathBuf {
    FOLDER.get().cloned().unwrap_or_default()
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/kill")
        .args([format!("-{name}"), pid.to_string()])
        .status()
        .or_else(|_| Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status());
}

pub fn started(pid: u32) {
    PROCESSES.lock().unwrap().push(pid);
}

fn ended(pid: u32) {
    PROCESSES.lock().unwrap().retain(|other| *other != pid);
}

extern "C" {
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

/// Ends all processes that the case started, waits for their ends, and ends the case.
pub fn finish(status: i32) -> ! {
    for pid in std::mem::take(&mut *PROCESSES.lock().unwrap()) {
        signal(pid, "KILL");
        // SAFETY: the process is a child of this one, and no status is asked for.
        unsafe { waitpid(pid as i32, std::ptr::null_mut(), 0) };
    }
    let _ = fs::remove_dir_all(folder());
    let verdict = match status {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    say(&format!("exit {status}: {verdict}"));
    std::process::exit(status)
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("no free port")
}

/// A backend in the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub block: u16,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    pub fn ready(name: &str, dial: SocketAddr) -> Host {
        Host { name: name.to_string(), dial, block: 0, health: "Ready", born_ms: 0 }
    }

    fn json(&self) -> String {
        let Host { name, dial, block, health, born_ms } = self;
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{block},"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
        )
    }
}

pub fn list_json(version: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// A discovery agent: it answers at once with what is new, and else after the wait.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

struct AgentState {
    version: u64,
    hosts: Vec<Host>,
    /// Each change with the version that brought it.
    changes: Vec<(u64, Host)>,
}

impl Agent {
    pub fn start(version: u64, hosts: Vec<Host>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for the agent");
        let address = listener.local_addr().unwrap();
        let state =
            Arc::new((Mutex::new(AgentState { version, hosts, changes: Vec::new() }), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = serve_lists(stream, &shared);
                });
            }
        });
        Agent { address, state }
    }

    /// Changes a backend's entry.
    pub fn change(&self, host: Host) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        note(&format!("the list says from version {}: {} {}", state.version, host.name, host.health));
        state.hosts.retain(|other| other.name != host.name);
        if host.health != "Gone" {
            state.hosts.push(host.clone());
        }
        let version = state.version;
        state.changes.push((version, host));
        changed.notify_all();
    }
}

fn serve_lists(mut stream: TcpStream, shared: &(Mutex<AgentState>, Condvar)) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer)? {
        let path = message.head.split(' ').nth(1).unwrap_or_default().to_string();
        let number = |name: &str| {
            let query = path.split('?').nth(1)?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (state, changed) = shared;
        let body = match number("index") {
            None => {
                let state = state.lock().unwrap();
                list_json(state.version, true, &state.hosts)
            }
            Some(index) => {
                let wait = Duration::from_millis(number("wait").unwrap_or(0).min(60_000));
                let state = state.lock().unwrap();
                let (state, _) =
                    changed.wait_timeout_while(state, wait, |state| state.version <= index).unwrap();
                let news: Vec<Host> = state
                    .changes
                    .iter()
                    .filter(|(at, _)| *at > index)
                    .map(|(_, host)| host.clone())
                    .collect();
                list_json(state.version, false, &news)
            }
        };
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}

/// A class of the settings: its name, effect, latency goal and cut-off in ms, and further keys.
pub fn class_json(name: &str, effect: &str, goal_ms: u32, cut_off_ms: u32, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","effect":"{effect}","group":"all","windowMs":5000.0,"latencyGoalMs":{goal_ms},"cutOffMs":{cut_off_ms},"value":5.0,"lateValue":0.0,"streaming":false{more}}}"#
    )
}

/// The settings of a small deployment in one zone.
pub fn settings_json(balancers: u32, classes: &[String]) -> String {
    format!(
        r#"{{"tier":0,"balancers":{balancers},"ordinal":0,"locality":0,"roundMs":1.0,"discovery":"pushed","family":"chain","layers":["front"],"kinds":["m"],"zones":["a"],"tenants":[],"tariffs":[{}],"allowed":{{"cancelling":true,"connIdleMs":60000.0,"cpuUsPerRequest":0.0,"cpuUsPerS":15000,"dialTimeoutMs":100.0,"maxForwards":4,"maxOpen":20000,"maxRetryAfterMs":600.0,"mayDuplicate":true,"peers":false,"probes":true,"retryAfter":true,"streamsPerConn":1}},"obligations":{{"answerSlackMs":20.0,"askWithinMs":10000.0,"coldShare":0.3,"fallMultiple":3.0,"rampTimeMs":8000.0,"stopSendingWithinMs":400.0,"tipAfterMs":3000.0}},"penalties":{{"crossZone":0.005,"probe":0.002}},"report":{{"columns":["busy_reqs","pending","cpu_share"],"how":"answers"}},"weights":"none"}}"#,
        classes.join(",")
    )
}

/// A proxy, started with the command of the deploy file.
pub struct Proxy {
    pub listen: SocketAddr,
    pub name: String,
    child: Child,
}

impl Proxy {
    /// Starts a proxy and waits until it is ready. `limits` are the sockets and the memory in MB.
    pub fn start(
        name: &str,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        limits: (u32, u32),
    ) -> Proxy {
        Proxy::start_at(name, free_address(), discovery, known, settings, limits)
    }

    pub fn start_at(
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        (sockets, memory_mb): (u32, u32),
    ) -> Proxy {
        let command = run_command().unwrap_or_else(|| {
            say("deploy/balancer.toml has no run command");
            finish(NOT_RUN)
        });
        let seed = now_ms().to_bits() ^ u64::from(std::process::id());
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        let path = folder().join(format!("{name}.json"));
        fs::write(&path, &config).expect("the configuration cannot be written");
        let temporary = folder().join(format!("{name}.tmp"));
        fs::create_dir_all(&temporary).expect("no temporary folder");
        let log = File::create(folder().join(format!("{name}.log"))).expect("no log");
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            say(&format!("{command}: {error}"));
            finish(NOT_RUN)
        });
        started(child.id());
        note(&format!("proxy {name} started: {command}, listening on {listen}"));
        let proxy = Proxy { listen, name: name.to_string(), child };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if get(listen, "/ready").is_ok_and(|status| status == 200) {
                note(&format!("proxy {name} is ready"));
                return proxy;
            }
            thread::sleep(Duration::from_millis(20));
        }
        say("the proxy does not become ready");
        finish(NOT_RUN)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        note(&format!("signal {name} to proxy {}", self.name));
        signal(self.child.id(), name);
    }

    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            ended(self.child.id());
        }
        status
    }

    /// Waits until the process has ended; `None` if it still runs then.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            match self.try_wait() {
                Some(status) => return Some(status),
                None if Instant::now() >= until => return None,
                None => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    /// The log of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(folder().join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

/// The `run` command of the deploy file.
fn run_command() -> Option<String> {
    let text = fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find(|line| line.trim_start().starts_with("run"))?;
    let value = line.split_once('=')?.1;
    Some(value.split('"').nth(1)?.to_string())
}

/// A message as read: its head and its body.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.head, name)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Reads a message with `Content-Length` or in chunks; `None` if the connection ends before its first byte.
/// Fails if it ends or breaks within.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, buffer)? {
            return if buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut body = Vec::new();
    if field(&head, "Transfer-Encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let line = loop {
                if let Some(at) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                if !read_more(stream, buffer)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let text = String::from_utf8_lossy(&buffer[..line]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while buffer.len() < line + 2 + size + 2 {
                if !read_more(stream, buffer)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend_from_slice(&buffer[line + 2..line + 2 + size]);
            buffer.drain(..line + 2 + size + 2);
            if size == 0 {
                return Ok(Some(Message { head, body }));
            }
        }
    }
    let length: usize = field(&head, "Content-Length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    body.extend(buffer.drain(..length));
    Ok(Some(Message { head, body }))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 64 * 1024];
    let read = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read > 0)
}

/// Sends a `GET` on a new connection and returns the status of the answer.
pub fn get(address: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")?;
    let message = read_message(&mut stream, &mut Vec::new())?;
    message.map(|message| message.status()).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The head of a client's request.
pub fn request_head(method: &str, class: &str, id: &str, timeout_s: f64, length: usize) -> String {
    let length = if method == "POST" { format!("Content-Length: {length}\r\n") } else { String::new() };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nRequest-Timeout: {timeout_s:.3}\r\n{length}\r\n"
    )
}
