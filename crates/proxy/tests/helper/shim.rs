//! Makes system calls of a proxy process fail while it runs: builds the library of `tests/shim/faults.c`, and tells it
//! through a file that both map or write which calls fail, how, and how often.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

use super::{config, new_config_path, Proxy};
use std::net::TcpListener;

/// The kinds of calls that can be made to fail, in the order of `enum call` in the library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    Accept,
    Socket,
    Connect,
    Read,
    Write,
    EpollWait,
    EpollAdd,
    /// The write by which a signal handler wakes the loop.
    SignalWake,
    PeerName,
    SocketError,
    LogWrite,
    FileOpen,
    FileRead,
    DatagramWrite,
    DatagramRead,
    /// Of a TCP option.
    SetOption,
    /// A message that may bear a descriptor.
    MessageWrite,
    MessageRead,
}

const CALLS: usize = 18;
const RULE_BYTES: usize = 32;
const HITS_OFFSET: usize = 24;

/// Error numbers of Linux.
pub mod errno {
    pub const EPERM: u32 = 1;
    pub const EINTR: u32 = 4;
    pub const EIO: u32 = 5;
    pub const EAGAIN: u32 = 11;
    pub const ENOMEM: u32 = 12;
    pub const ENFILE: u32 = 23;
    pub const EMFILE: u32 = 24;
    pub const ENOSPC: u32 = 28;
    pub const EPIPE: u32 = 32;
    pub const EPROTO: u32 = 71;
    pub const ENOPROTOOPT: u32 = 92;
    pub const EOPNOTSUPP: u32 = 95;
    pub const EADDRNOTAVAIL: u32 = 99;
    pub const ENETDOWN: u32 = 100;
    pub const ENETUNREACH: u32 = 101;
    pub const ENOTCONN: u32 = 107;
    pub const ECONNABORTED: u32 = 103;
    pub const ECONNRESET: u32 = 104;
    pub const ECONNREFUSED: u32 = 111;
    pub const ENOBUFS: u32 = 105;
    pub const ETIMEDOUT: u32 = 110;
    pub const EHOSTDOWN: u32 = 112;
    pub const EHOSTUNREACH: u32 = 113;
}

/// How a kind of call fails.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub call: SystemCall,
    /// 0: the call moves at most `bytes` bytes.
    pub error: u32,
    pub bytes: u32,
    /// One call in so many fails.
    pub every: u32,
    /// How many calls fail.
    pub times: u32,
    /// Only on sockets with this port at either end, if it is not 0.
    pub port: u16,
}

impl Fault {
    pub fn with_error(call: SystemCall, error: u32, times: u32) -> Fault {
        Fault { call, error, bytes: 0, every: 1, times, port: 0 }
    }

    /// Reads or writes move at most so many bytes at a time.
    pub fn short_transfer(call: SystemCall, bytes: u32, times: u32) -> Fault {
        Fault { bytes, ..Fault::with_error(call, 0, times) }
    }

    pub fn on_port(self, port: u16) -> Fault {
        Fault { port, ..self }
    }

    pub fn one_in(self, every: u32) -> Fault {
        Fault { every, ..self }
    }
}

/// The library as one proxy process has it loaded.
pub struct Shim {
    control: File,
    path: PathBuf,
}

/// The library, built once for each test program.
fn library() -> &'static PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let name = format!("libfaults-{}.so", std::process::id());
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/faults.c");
        let flags = ["-shared", "-fPIC", "-O1", "-Wall", "-Wextra", "-Werror", "-std=gnu11", "-o"];
        let built = Command::new("cc").args(flags).arg(&library).args([source, "-ldl"]).output();
        let built = built.expect("a C compiler is there");
        assert!(built.status.success(), "{}", String::from_utf8_lossy(&built.stderr));
        library
    })
}

impl Shim {
    /// Starts a proxy under the library; nothing fails yet.
    pub fn start(backends: &[&TcpListener], settings: &str) -> (Proxy, Shim) {
        Shim::start_failing(backends, settings, &[])
    }

    /// The same where calls fail from the first moment on.
    pub fn start_failing(backends: &[&TcpListener], settings: &str, faults: &[Fault]) -> (Proxy, Shim) {
        let (shim, environment) = Shim::prepare();
        faults.iter().for_each(|fault| shim.inject(*fault));
        let environment = environment.each_ref().map(|(name, value)| (*name, value.as_str()));
        let addresses = r#""listen":"127.0.0.1:0","management":"127.0.0.1:0""#;
        let proxy = Proxy::spawn(config(backends, 1024, settings, addresses), 1024, &environment);
        (proxy, shim)
    }

    /// A proxy that operators may call, at an address of its own.
    pub fn start_managed(backends: &[&TcpListener], listen: &str, more: &[(&str, &str)]) -> (Proxy, Shim) {
        Shim::start_managed_failing(backends, listen, more, &[])
    }

    /// The same where calls fail from the first moment on.
    pub fn start_managed_failing(
        backends: &[&TcpListener],
        listen: &str,
        more: &[(&str, &str)],
        faults: &[Fault],
    ) -> (Proxy, Shim) {
        let (shim, environment) = Shim::prepare();
        faults.iter().for_each(|fault| shim.inject(*fault));
        let environment = environment.each_ref().map(|(name, value)| (*name, value.as_str()));
        let environment: Vec<_> = environment.into_iter().chain(more.iter().copied()).collect();
        (Proxy::start_managed(backends, listen, &environment), shim)
    }

    /// A proxy by a configuration in the project's own form.
    pub fn start_native(text: &str) -> (Proxy, Shim) {
        let (shim, environment) = Shim::prepare();
        let environment = environment.each_ref().map(|(name, value)| (*name, value.as_str()));
        let path = new_config_path().with_extension("toml");
        (Proxy::spawn_at(path, (text.to_string(), super::backend()), 1024, &environment), shim)
    }

    /// What a process is started with to have the library loaded.
    fn prepare() -> (Shim, [(&'static str, String); 3]) {
        let path = new_config_path().with_extension("faults");
        let control = OpenOptions::new().read(true).write(true).create_new(true).open(&path).unwrap();
        control.set_len((CALLS * RULE_BYTES + 8) as u64).unwrap();
        let environment = [
            ("LD_PRELOAD", library().to_str().unwrap().to_string()),
            ("SHIM_CONTROL", path.to_str().unwrap().to_string()),
            ("SPARLUG_LOG", "debug".to_string()),
        ];
        (Shim { control, path }, environment)
    }

    /// From now on calls fail so.
    pub fn inject(&self, fault: Fault) {
        let Fault { call, error, bytes, every, times, port } = fault;
        let words = [error, bytes, every, times, port.into()];
        let rule: Vec<u8> = words.iter().flat_map(|word| word.to_ne_bytes()).collect();
        self.control.write_all_at(&rule, (call as usize * RULE_BYTES) as u64).unwrap();
    }

    /// Calls of this kind succeed again.
    pub fn clear(&self, call: SystemCall) {
        self.inject(Fault::with_error(call, 0, 0));
    }

    /// How many calls of this kind have failed so far.
    pub fn hits(&self, call: SystemCall) -> u32 {
        let mut word = [0; 4];
        let place = call as usize * RULE_BYTES + HITS_OFFSET;
        self.control.read_exact_at(&mut word, place as u64).unwrap();
        u32::from_ne_bytes(word)
    }

    /// Waits until so many calls of this kind have failed.
    pub fn wait_for_hits(&self, call: SystemCall, hits: u32) {
        let start = std::time::Instant::now();
        while self.hits(call) < hits {
            assert!(start.elapsed() < super::PATIENCE, "{call:?} failed {} times", self.hits(call));
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
    }

    /// Sets the wall clock of the process off by so much.
    pub fn step_wall_clock(&self, milliseconds: i64) {
        let place = (CALLS * RULE_BYTES) as u64;
        self.control.write_all_at(&milliseconds.to_ne_bytes(), place).unwrap();
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
