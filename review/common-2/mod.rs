#![allow(dead_code)] // each case uses only some of these stand-ins
//! Stand-ins for the second review: a discovery agent, HTTP parsing for backends and clients, and the start of the
//! project's proxy by the command of the deploy file. Standard library only.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

// These two have the same numbers on x86-64 and on arm64.
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One run of a case: its clock, its record and its temporary folder.
pub struct Run {
    pub started: Instant,
    pub trouble: bool,
    pub folder: PathBuf,
    record: Mutex<File>,
}

impl Run {
    /// `RECORD` names the file, as `run.sh` sets it.
    pub fn begin(case: &str) -> Arc<Run> {
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|e| could_not_run(&format!("temporary folder: {e}")));
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
        let record = File::create(path).unwrap_or_else(|e| could_not_run(&format!("record: {e}")));
        let run =
            Arc::new(Run { started: Instant::now(), trouble, folder, record: Mutex::new(record) });
        run.note(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
        run
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line with the time in seconds to the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:9.4} {text}", self.now());
    }

    /// Ends the case: 1 if the rule was broken, else 0.
    pub fn finish(&self, broken: bool, summary: &str) -> ! {
        self.note(&format!("RESULT {}: {summary}", if broken { "BROKEN" } else { "HELD" }));
        println!("{}: {summary}", if broken { "broken" } else { "held" });
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(i32::from(broken))
    }
}

pub fn could_not_run(why: &str) -> ! {
    println!("could not run: {why}");
    std::process::exit(2)
}

/// A free address for a process that is started next.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| could_not_run(&e.to_string()))
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------------- the proxy

/// The project's proxy in a process of its own, killed on drop.
pub struct Proxy {
    child: Child,
    pub listen: SocketAddr,
}

/// Sends a signal to a process that the case has started.
pub fn signal_process(id: u32, signal: i32) {
    unsafe { kill(id as i32, signal) };
}

/// The line `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| could_not_run(&e.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next()).map(str::to_string);
    command.unwrap_or_else(|| could_not_run("deploy/balancer.toml has no line `run`"))
}

impl Proxy {
    /// `known` and `settings` are JSON.
    pub fn start(run: &Run, discovery: SocketAddr, known: &str, settings: &str) -> Proxy {
        Proxy::start_with(run, discovery, known, settings, 1024, 192)
    }

    /// The same with these limits.
    pub fn start_with(
        run: &Run,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        sockets: usize,
        memory_mb: usize,
    ) -> Proxy {
        let listen = free_address();
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#,
            unix_ms()
        );
        let path = run.folder.join("config.json");
        fs::write(&path, config).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let log = File::create(run.folder.join("proxy.log")).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        // PR_SET_PDEATHSIG: the proxy ends with the case, however that ends.
        unsafe { command.pre_exec(|| if prctl(1, 9) == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }) };
        let child = command
            .args(["-c", &run_command()])
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &run.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|e| could_not_run(&format!("proxy: {e}")));
        let proxy = Proxy { child, listen };
        proxy.wait_until_ready();
        run.note("proxy ready");
        proxy
    }

    fn wait_until_ready(&self) {
        let give_up = Instant::now() + ms(10_000);
        loop {
            let answer = Client::connect(self.listen).and_then(|mut client| {
                client.send(b"GET /ready HTTP/1.1\r\nHost: proxy\r\n\r\n")?;
                client.receive(ms(500))
            });
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            if Instant::now() > give_up {
                could_not_run("the proxy does not get ready");
            }
            thread::sleep(ms(20));
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and copies the end of its log into the record.
    pub fn end(mut self, run: &Run) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = fs::read_to_string(run.folder.join("proxy.log")).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(60)..] {
            run.note(&format!("proxy log: {line}"));
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------- HTTP

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_ascii_lowercase()).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn has_token(&self, header: &str, token: &str) -> bool {
        self.header(header).split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// Reads whole messages with a Content-Length or in chunks from a stream.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
    /// When the first byte of the message being read came.
    pub first_byte: Option<Instant>,
}

fn timed_out() -> io::Error {
    io::Error::new(ErrorKind::TimedOut, "no whole message in time")
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new(), first_byte: None }
    }

    /// Reads more by the deadline; false at the end of the stream.
    pub fn read_more(&mut self, until: Instant) -> io::Result<bool> {
        let left = until.checked_duration_since(Instant::now()).filter(|left| *left > ms(0)).ok_or_else(timed_out)?;
        self.stream.set_read_timeout(Some(left.max(Duration::from_micros(100))))?;
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.first_byte.get_or_insert_with(Instant::now);
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Err(timed_out()),
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(true),
            Err(e) => Err(e),
        }
    }

    /// The next head, if the buffer holds a whole one: the message without its body, and the head's length.
    pub fn peek_head(&self) -> Option<(Message, usize)> {
        let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_string();
        let status = start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        Some((Message { start, status, headers, body: Vec::new() }, end))
    }

    /// The next message; an error of kind `UnexpectedEof` at the end of the stream.
    pub fn message(&mut self, until: Instant) -> io::Result<Message> {
        loop {
            if let Some((mut message, head)) = self.peek_head() {
                if let Some((body, length)) = whole_body(&message, &self.buffer[head..]) {
                    message.body = body;
                    self.buffer.drain(..head + length);
                    self.first_byte = (!self.buffer.is_empty()).then(Instant::now);
                    return Ok(message);
                }
            }
            if !self.read_more(until)? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// The body of a message and the length of its bytes, if they are all there.
fn whole_body(message: &Message, bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    if message.has_token("transfer-encoding", "chunked") {
        let (mut body, mut at) = (Vec::new(), 0);
        loop {
            let line = bytes[at..].windows(2).position(|w| w == b"\r\n")?;
            let size = usize::from_str_radix(std::str::from_utf8(&bytes[at..at + line]).ok()?.trim(), 16).ok()?;
            at += line + 2;
            let chunk = bytes.get(at..at + size + 2)?;
            body.extend_from_slice(&chunk[..size]);
            at += size + 2;
            if size == 0 {
                return Some((body, at));
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    Some((bytes.get(..length)?.to_vec(), length))
}

/// A client's connection.
pub struct Client {
    pub reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        Ok(Client { reader: Reader::new(TcpStream::connect_timeout(&address, ms(1000))?) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.stream.write_all(bytes)
    }

    pub fn receive(&mut self, within: Duration) -> io::Result<Message> {
        self.reader.message(Instant::now() + within)
    }
}

/// A 200 answer with a body of text and further header lines.
pub fn answer(status: &str, lines: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{lines}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A listener on a loopback address of its own, for a backend.
pub fn backend_listener(number: u8) -> TcpListener {
    TcpListener::bind((std::net::Ipv4Addr::new(127, 0, 1, number), 0)).unwrap_or_else(|e| could_not_run(&e.to_string()))
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Makes the later close of a socket a reset.
pub fn reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger: [i32; 2] = [1, 0];
    // SOL_SOCKET and SO_LINGER have these values on x86-64 and on arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

/// Sets the size of the receive buffer, also of connections that a listener accepts later.
pub fn set_receive_buffer(socket: &impl std::os::fd::AsRawFd, bytes: i32) {
    // SOL_SOCKET and SO_RCVBUF have these values on x86-64 and on arm64.
    unsafe { setsockopt(socket.as_raw_fd(), 1, 8, (&raw const bytes).cast(), 4) };
}

// ---------------------------------------------------------------------------------------------- discovery

/// One backend as discovery lists it.
#[derive(Clone)]
pub struct Host {
    pub host: String,
    pub dial: SocketAddr,
    pub block: u16,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    pub fn new(host: &str, dial: SocketAddr) -> Host {
        Host { host: host.to_string(), dial, block: 1, health: "Ready", born_ms: 0 }
    }

    fn json(&self) -> String {
        let Host { host, dial, block, health, born_ms } = self;
        format!(
            r#"{{"host":"{host}","dial":"{dial}","site":"a","class":"m2","block":{block},"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
        )
    }
}

struct AgentState {
    version: u64,
    hosts: BTreeMap<String, Host>,
    /// The version in which each host last changed.
    changed: BTreeMap<String, u64>,
    answer_delay: Duration,
    always_whole: bool,
}

/// The discovery agent: whole lists and watches, answered after `answer_delay`.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
    run: Arc<Run>,
}

pub fn list_json(version: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<_> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

impl Agent {
    pub fn start(run: &Arc<Run>, hosts: &[Host]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| could_not_run(&e.to_string()));
        let state = AgentState {
            version: 41,
            changed: hosts.iter().map(|host| (host.host.clone(), 41)).collect(),
            hosts: hosts.iter().map(|host| (host.host.clone(), host.clone())).collect(),
            answer_delay: ms(0),
            always_whole: false,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (shared, agent_run) = (state.clone(), run.clone());
        serve(listener, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = reader.message(Instant::now() + ms(600_000)) {
                agent_run.note(&format!("discovery: call {}", request.path()));
                let body = Agent::answer_call(&shared, request.path());
                let sent = reader.stream.write_all(&answer("200 OK", "Content-Type: application/json\r\n", &body));
                let version = body.split([':', ',']).nth(1).unwrap_or("").to_string();
                agent_run.note(&format!("discovery: answered with version {version}, {sent:?}"));
                if sent.is_err() {
                    return;
                }
            }
        });
        Agent { address, state, run: run.clone() }
    }

    fn answer_call(shared: &(Mutex<AgentState>, Condvar), path: &str) -> String {
        let value = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (lock, changed) = shared;
        let until = Instant::now() + ms(value("wait").unwrap_or(0).min(60_000));
        let mut state = lock.lock().unwrap();
        let index = value("index");
        while let (Some(index), Some(left)) = (index, until.checked_duration_since(Instant::now())) {
            if state.version > index || left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let delay = state.answer_delay;
        drop(state);
        thread::sleep(delay);
        let state = lock.lock().unwrap();
        let index = index.filter(|_| !state.always_whole);
        let newer = |host: &&Host| index.is_none_or(|index| state.changed[&host.host] > index);
        let hosts: Vec<Host> = state.hosts.values().filter(newer).cloned().collect();
        let gone = |host: &Host| index.is_none() && host.health == "Gone";
        let hosts: Vec<Host> = hosts.into_iter().filter(|host| !gone(host)).collect();
        list_json(state.version, index.is_none(), &hosts)
    }

    /// How long each answer is held back from now on.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.state.0.lock().unwrap().answer_delay = delay;
        self.run.note(&format!("discovery: each answer takes {} ms more from now on", delay.as_millis()));
    }

    /// Answers watches with whole lists from now on.
    pub fn answer_whole_lists(&self) {
        self.state.0.lock().unwrap().always_whole = true;
    }

    /// Lists a new backend.
    pub fn add(&self, host: Host) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        self.run.note(&format!("discovery: {} at {} is listed from version {version} on", host.host, host.dial));
        state.changed.insert(host.host.clone(), version);
        state.hosts.insert(host.host.clone(), host);
        self.state.1.notify_all();
    }

    pub fn set_health(&self, host: &str, health: &'static str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.changed.insert(host.to_string(), version);
        if let Some(entry) = state.hosts.get_mut(host) {
            entry.health = health;
        }
        self.run.note(&format!("discovery: {host} is {health} from version {version} on"));
        self.state.1.notify_all();
    }

    /// The whole list as JSON, for `known` in a configuration.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.version, true, &state.hosts.values().cloned().collect::<Vec<_>>())
    }
}

/// The settings of a small deployment with these tariffs (JSON objects).
pub fn settings(tariffs: &str, extra_allowed: &str) -> String {
    format!(
        r#"{{"tier":0,"balancers":1,"ordinal":0,"locality":0,"roundMs":1.0,"family":"chain","discovery":"pushed","tariffs":[{tariffs}],"zones":["a"],"beyondShareValue":1.0,"tenants":[],"report":{{"how":"answers","columns":["busy_reqs","pending","cpu_share"]}},"allowed":{{"maxForwards":4,"mayDuplicate":true,"cancelling":true,"probes":true,"peers":false,"retryAfter":true,"maxRetryAfterMs":600.0,"connIdleMs":60000.0{extra_allowed}}},"obligations":{{"answerSlackMs":50.0,"coldShare":0.3,"fallMultiple":3.0,"rampTimeMs":8000.0,"stopSendingWithinMs":400.0,"tipAfterMs":3000.0}},"penalties":{{"crossZone":0.005,"probe":0.002}}}}"#
    )
}

/// A tariff: `effect` is `pure`, `side_effect` or `token`; `more` has further JSON keys, each after a comma.
pub fn tariff(name: &str, goal_ms: u32, cut_off_ms: u32, effect: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","latencyGoalMs":{goal_ms},"cutOffMs":{cut_off_ms},"value":2.0,"effect":"{effect}"{more}}}"#
    )
}
