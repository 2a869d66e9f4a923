#![allow(dead_code)] // each test program uses a part of it
//! What the socket tests share: a proxy process on a free port, and the two sides it stands between.

pub mod shim;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Long enough for anything that is going to happen; nothing waits for it to pass.
const PATIENCE: Duration = Duration::from_secs(10);

pub struct Proxy {
    child: Child,
    pub address: String,
    /// Where operators call, if they may.
    pub management: String,
    pub log: Receiver<String>,
    /// Kept open and silent, as an agent is while discovery is down.
    pub discovery: TcpListener,
    config: String,
    path: PathBuf,
}

/// The settings of a tier with a safe and an at-most-once class, and targets of `target` ms.
pub fn settings(target: u32, more: &str) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","latencyGoalMs":{target},"cutOffMs":{},"value":1,"effect":"{effect}"}}"#,
            target * 2
        )
    };
    let classes = [class("read", "pure"), class("write", "side_effect")].join(",");
    format!(
        r#"{{"tier":0,"balancers":1,"roundMs":1.0,"discovery":"pushed","tariffs":[{classes}],
        "zones":["a"],"report":{{"how":"answers","columns":["busy_reqs","pending"]}},
        "allowed":{{"maxForwards":2,"cancelling":true,"retryAfter":true,"maxRetryAfterMs":500,
        "dialTimeoutMs":1000{more}}},
        "obligations":{{"coldShare":0.3,"rampTimeMs":8000,"fallMultiple":3,"tipAfterMs":3000}}}}"#
    )
}

/// A configuration of these backends with these addresses, and the agent that it names.
pub fn config(
    backends: &[&TcpListener],
    sockets: usize,
    settings: &str,
    addresses: &str,
) -> (String, TcpListener) {
    let discovery = backend();
    let host = |(place, backend): (usize, &&TcpListener)| {
        let dial = backend.local_addr().unwrap();
        format!(r#"{{"host":"h{place}","dial":"{dial}","site":"a","health":"Ready","share":1.0}}"#)
    };
    let hosts: Vec<_> = backends.iter().enumerate().map(host).collect();
    let text = format!(
        r#"{{"name":"t",{addresses},"discovery":"{}","seed":"1f",
        "limits":{{"sockets":{sockets}}},
        "known":{{"seq":4,"whole":true,"hosts":[{}]}},"settings":{settings}}}"#,
        discovery.local_addr().unwrap(),
        hosts.join(",")
    );
    (text, discovery)
}

/// Sends a text on a connection of its own and reads all that comes until the connection ends.
pub fn fetch(address: &str, text: &str) -> String {
    let mut stream = patient(TcpStream::connect(address).unwrap());
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

impl Proxy {
    pub fn start(backends: &[&TcpListener]) -> Proxy {
        Proxy::start_with(backends, 1024, &settings(5000, ""))
    }

    pub fn start_with(backends: &[&TcpListener], sockets: usize, settings: &str) -> Proxy {
        Proxy::start_limited(backends, sockets, sockets, settings)
    }

    /// With fewer descriptors than the configuration says.
    pub fn start_limited(
        backends: &[&TcpListener],
        sockets: usize,
        descriptors: usize,
        settings: &str,
    ) -> Proxy {
        let text = config(backends, sockets, settings, r#""listen":"127.0.0.1:0""#);
        Proxy::spawn(text, descriptors, &[])
    }

    /// One that operators may call, at the addresses and with the environment that are given.
    pub fn start_managed(backends: &[&TcpListener], listen: &str, environment: &[(&str, &str)]) -> Proxy {
        let addresses = format!(r#""listen":"{listen}","management":"127.0.0.1:0""#);
        Proxy::spawn(config(backends, 1024, &settings(5000, ""), &addresses), 1024, environment)
    }

    /// At addresses of one's own choice.
    pub fn start_at(backends: &[&TcpListener], addresses: &str) -> Proxy {
        Proxy::spawn(config(backends, 1024, &settings(5000, ""), addresses), 1024, &[])
    }

    /// By a configuration in the project's own form, which names its backends itself.
    pub fn start_native(text: &str) -> Proxy {
        Proxy::spawn_at(new_config_path().with_extension("toml"), (text.to_string(), backend()), 1024, &[])
    }

    fn spawn(config: (String, TcpListener), descriptors: usize, more: &[(&str, &str)]) -> Proxy {
        Proxy::spawn_at(new_config_path(), config, descriptors, more)
    }

    fn spawn_at(
        path: PathBuf,
        (config, discovery): (String, TcpListener),
        descriptors: usize,
        more: &[(&str, &str)],
    ) -> Proxy {
        let (mut child, log) = spawn_proxy(&config, descriptors, &path, more);
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| log.0.send(line)));
        let (mut address, mut management) = (String::new(), String::new());
        while address.is_empty() {
            let line = log.1.recv_timeout(PATIENCE).expect("the proxy says where it serves");
            let named = |name| line.split_once(name).and_then(|(_, rest)| rest.split(' ').next());
            address = named(" listen=").unwrap_or_default().to_string();
            management = named("management=").unwrap_or_default().to_string();
        }
        Proxy { child, address, management, log: log.1, discovery, config, path }
    }

    /// Makes an operator's call; the status and the text of its answer.
    pub fn admin_request(&self, method: &str, path: &str) -> (u16, String) {
        let answer = fetch(&self.management, &format!("{method} {path} HTTP/1.1\r\nHost: m\r\n\r\n"));
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        (head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0), body.to_string())
    }

    /// The figure of a name among those that operators read.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let (_, text) = self.admin_request("GET", "/metrics");
        let found = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        found?.split('|').next()?.parse().ok()
    }

    /// Of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn connect(&self) -> TcpStream {
        patient(TcpStream::connect(&self.address).unwrap())
    }

    /// Sends one request on a connection of its own and reads all that comes until the connection ends.
    pub fn fetch(&self, request: &str) -> String {
        fetch(&self.address, request)
    }

    /// Has it read its configuration anew, which names another agent.
    pub fn switch_agent(&self, agent: &TcpListener) {
        let [old, new] = [&self.discovery, agent].map(|agent| agent.local_addr().unwrap().to_string());
        self.reconfigure(&self.config.replace(&old, &new));
    }

    /// Puts half of a configuration that names another agent in its place, as one that is still being written, and
    /// gives back the whole.
    pub fn write_truncated_config(&self, agent: &TcpListener) -> String {
        let [old, new] = [&self.discovery, agent].map(|agent| agent.local_addr().unwrap().to_string());
        let whole = self.config.replace(&old, &new);
        std::fs::write(&self.path, &whole[..whole.len() / 2]).unwrap();
        whole
    }

    /// Writes the rest, without a signal.
    pub fn write_config(&self, whole: &str) {
        std::fs::write(&self.path, whole).unwrap();
    }

    pub fn reconfigure(&self, config: &str) {
        std::fs::write(&self.path, config).unwrap();
        self.signal("-HUP");
        self.wait_for_log("configuration");
    }

    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }

    /// Holds its loop still, so that what comes until it goes on is there in one turn.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.pid());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {}
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits for its end and tells its exit code.
    pub fn wait_for_exit(mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Waits for its end until a point in time, from which on it is killed; its exit code, if it ended by itself.
    pub fn wait_for_exit_until(mut self, until: std::time::Instant) -> Option<i32> {
        while std::time::Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// Waits for a log line that holds a text.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(PATIENCE).expect("the log goes on");
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A process that ends with its test.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

type Log = (std::sync::mpsc::Sender<String>, Receiver<String>);

/// Where a configuration may be written.
pub fn new_config_path() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("sparlug-test-{}-{number}.json", std::process::id()))
}

/// Starts the program with a configuration at a path; its standard error is to be read.
pub fn spawn_proxy(config: &str, descriptors: usize, path: &Path, more: &[(&str, &str)]) -> (Child, Log) {
    std::fs::write(path, config).unwrap();
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {descriptors}; exec $0"), env!("CARGO_BIN_EXE_sparlug-proxy")]);
    command.envs(more.iter().copied());
    let child = command.env("ROUTER_CONFIG", path).stderr(Stdio::piped()).spawn().unwrap();
    (child, channel())
}

pub fn backend() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // Guards against a test that waits for ever for a connection.
    socket2::SockRef::from(&listener).set_read_timeout(Some(3 * PATIENCE)).unwrap();
    listener
}

/// Fills the backlog of a listener that accepts nothing, so that no further connection comes up before some of these
/// are accepted.
pub fn fill_backlog(backend: &TcpListener) -> Vec<TcpStream> {
    let to = backend.local_addr().unwrap();
    let dial = |_| TcpStream::connect_timeout(&to, Duration::from_millis(100)).ok();
    let full: Vec<_> = (0..5000).map_while(dial).collect();
    assert!(full.len() < 5000);
    full
}

/// A listener that lets no connection come up.
pub fn unreachable_backend() -> (TcpListener, Vec<TcpStream>) {
    let backend = backend();
    let full = fill_backlog(&backend);
    (backend, full)
}

/// Counters as they stand now.
pub fn counter(proxy: &Proxy, name: &str) -> u64 {
    proxy.signal("-USR1");
    let line = proxy.wait_for_log("counters=");
    let found = line.split([' ', '"']).find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|count| count.parse().ok()).unwrap_or_else(|| panic!("{name} in {line}"))
}

/// One that refuses all connections. It keeps its port: guards against another test's listener getting it.
pub fn refusing_backend() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    socket.into()
}

/// Closes a connection here and now. Guards against a copy of it that lives on in a child of another test for the
/// moment between its fork and its exec.
pub fn close(stream: TcpStream) {
    stream.shutdown(std::net::Shutdown::Both).unwrap();
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    patient(listener.accept().unwrap().0)
}

fn patient(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads one message with a `Content-Length` or none, and nothing of what follows.
pub fn read_message(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with("\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(0) => return text,
            Ok(_) => text.push(byte[0].into()),
            Err(e) => assert_eq!(e.kind(), ErrorKind::Interrupted, "{e}"),
        }
    }
    let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).unwrap();
    text + &String::from_utf8_lossy(&body)
}

pub fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// A request for a path, that bears a new id and asks for the connection to end after its answer.
pub fn request(method: &str, path: &str, time_out: &str) -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let id = COUNT.fetch_add(1, Ordering::Relaxed);
    format!(
        "{method} {path} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: 9b1f{id:08x}\r\n\
        Request-Timeout: {time_out}\r\nConnection: close\r\n\r\n"
    )
}

/// The same with much time, on a connection that stays.
pub fn keep_alive_request(method: &str, path: &str) -> String {
    request(method, path, "60").replace("Connection: close\r\n", "")
}

/// The id that a request bears.
pub fn request_id(text: &str) -> &str {
    text.lines().find_map(|line| line.strip_prefix("Request-Id: ")).unwrap_or_default()
}

/// Asks for something without waiting for the answer.
pub fn send_request(proxy: &Proxy, text: &str) -> TcpStream {
    let mut client = proxy.connect();
    write(&mut client, text);
    client
}

pub fn response(status: &str, more: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A request as a backend read it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: std::time::Instant,
    /// The time that it says is left, in seconds.
    pub timeout: f64,
}

/// What backends have read so far.
#[derive(Clone, Default)]
pub struct Arrivals(std::sync::Arc<std::sync::Mutex<Vec<Arrival>>>);

impl Arrivals {
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }

    pub fn with_id(&self, id: &str) -> Vec<Arrival> {
        self.all().into_iter().filter(|arrival| arrival.id == id).collect()
    }

    pub fn record(&self, text: &str) {
        let line = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        let timeout = line("Request-Timeout: ").and_then(|time| time.parse().ok()).unwrap_or(f64::INFINITY);
        let arrival = Arrival { id: request_id(text).to_string(), at: std::time::Instant::now(), timeout };
        self.0.lock().unwrap().push(arrival);
    }
}

/// Answers every request on every connection of a backend.
pub fn serve(backend: TcpListener) -> Arrivals {
    let arrivals = Arrivals::default();
    let all = arrivals.clone();
    std::thread::spawn(move || {
        while let Ok((mut conn, _)) = backend.accept() {
            let all = all.clone();
            std::thread::spawn(move || loop {
                let text = read_message(&mut conn);
                if text.is_empty() {
                    return;
                }
                all.record(&text);
                let answer = response("200 OK", "", "fine");
                if conn.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            });
        }
    });
    arrivals
}
