//! Injects failures of system calls into a running proxy process. Builds the `LD_PRELOAD` library of
//! `tests/shim/faults.c` and sets its rules (which calls fail, how and how often) through a control file,
//! which the library maps and this module writes.

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
    /// The write to a socket pair by which a signal handler wakes the event loop.
    SignalWake,
    /// getpeername(2).
    PeerName,
    /// getsockopt(2) with `SO_ERROR`.
    SocketError,
    /// A write to standard error.
    LogWrite,
    FileOpen,
    FileRead,
    DatagramWrite,
    DatagramRead,
    /// setsockopt(2) of a TCP option.
    SetOption,
    /// sendmsg(2), which can pass descriptors.
    MessageWrite,
    /// recvmsg(2).
    MessageRead,
}

const CALL_KINDS: usize = 18;
const RULE_BYTES: usize = 32;
const HITS_OFFSET: usize = 24;

/// Linux error numbers.
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

/// A rule by which one kind of call fails.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub call: SystemCall,
    /// Error number; 0: the call succeeds, but transfers at most `max_bytes`.
    pub error: u32,
    pub max_bytes: u32,
    /// Every n-th call fails.
    pub every: u32,
    /// Number of calls that fail.
    pub times: u32,
    /// Only sockets with this local or remote port are affected; 0: all.
    pub port: u16,
}

impl Fault {
    pub fn with_error(call: SystemCall, error: u32, times: u32) -> Fault {
        Fault { call, error, max_bytes: 0, every: 1, times, port: 0 }
    }

    /// Reads or writes transfer at most `max_bytes` at a time.
    pub fn short_transfer(call: SystemCall, max_bytes: u32, times: u32) -> Fault {
        Fault { max_bytes, ..Fault::with_error(call, 0, times) }
    }

    pub fn on_port(self, port: u16) -> Fault {
        Fault { port, ..self }
    }

    pub fn one_in(self, every: u32) -> Fault {
        Fault { every, ..self }
    }
}

/// Control over the library in one proxy process.
pub struct Shim {
    control: File,
    path: PathBuf,
}

/// Path of the library, which is built once per test program.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let name = format!("libfaults-{}.so", std::process::id());
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/faults.c");
        let flags = ["-shared", "-fPIC", "-O1", "-Wall", "-Wextra", "-Werror", "-std=gnu11", "-o"];
        let output = Command::new("cc").args(flags).arg(&library).args([source, "-ldl"]).output();
        let output = output.expect("a C compiler is installed");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        library
    })
}

impl Shim {
    /// Starts a proxy with the library loaded and no faults.
    pub fn start(backends: &[&TcpListener], settings: &str) -> (Proxy, Shim) {
        Shim::start_failing(backends, settings, &[])
    }

    /// Starts a proxy with faults in force from its start.
    pub fn start_failing(backends: &[&TcpListener], settings: &str, faults: &[Fault]) -> (Proxy, Shim) {
        let (shim, environment) = Shim::prepare();
        faults.iter().for_each(|fault| shim.inject(*fault));
        let environment = environment.each_ref().map(|(name, value)| (*name, value.as_str()));
        let addresses = r#""listen":"127.0.0.1:0","management":"127.0.0.1:0""#;
        let proxy = Proxy::spawn(config(backends, 1024, settings, addresses), 1024, &environment);
        (proxy, shim)
    }

    /// Starts a proxy with a management listener, at the given listen address and with extra environment
    /// variables.
    pub fn start_managed(
        backends: &[&TcpListener],
        listen: &str,
        extra_environment: &[(&str, &str)],
    ) -> (Proxy, Shim) {
        Shim::start_managed_failing(backends, listen, extra_environment, &[])
    }

    /// As `start_managed`, with faults in force from the start.
    pub fn start_managed_failing(
        backends: &[&TcpListener],
        listen: &str,
        extra_environment: &[(&str, &str)],
        faults: &[Fault],
    ) -> (Proxy, Shim) {
        let (shim, environment) = Shim::prepare();
        faults.iter().for_each(|fault| shim.inject(*fault));
        let environment = environment.each_ref().map(|(name, value)| (*name, value.as_str()));
        let environment: Vec<_> = environment.into_iter().chain(extra_environment.iter().copied()).collect();
        (Proxy::start_managed(backends, listen, &environment), shim)
    }

    /// Starts a proxy with a native (TOML) configuration.
    pub fn start_native(text: &str) -> (Proxy, Shim) {
        let (shim, environment) = Shim::prepare();
        let environment = environment.each_ref().map(|(name, value)| (*name, value.as_str()));
        let path = new_config_path().with_extension("toml");
        (Proxy::spawn_at(path, (text.to_string(), super::backend()), 1024, &environment), shim)
    }

    /// Creates the control file; returns the environment variables that load the library.
    fn prepare() -> (Shim, [(&'static str, String); 3]) {
        let path = new_config_path().with_extension("faults");
        let control = OpenOptions::new().read(true).write(true).create_new(true).open(&path).unwrap();
        control.set_len((CALL_KINDS * RULE_BYTES + 8) as u64).unwrap();
        let environment = [
            ("LD_PRELOAD", library().to_str().unwrap().to_string()),
            ("SHIM_CONTROL", path.to_str().unwrap().to_string()),
            ("SPARLUG_LOG", "debug".to_string()),
        ];
        (Shim { control, path }, environment)
    }

    /// Puts a fault in force; it replaces an earlier one of the same kind of call.
    pub fn inject(&self, fault: Fault) {
        let Fault { call, error, max_bytes, every, times, port } = fault;
        let fields = [error, max_bytes, every, times, port.into()];
        let rule: Vec<u8> = fields.iter().flat_map(|field| field.to_ne_bytes()).collect();
        self.control.write_all_at(&rule, (call as usize * RULE_BYTES) as u64).unwrap();
    }

    /// Ends the fault of this kind of call.
    pub fn clear(&self, call: SystemCall) {
        self.inject(Fault::with_error(call, 0, 0));
    }

    /// Number of calls of this kind that a fault has hit so far.
    pub fn hits(&self, call: SystemCall) -> u32 {
        let mut hits = [0; 4];
        let offset = call as usize * RULE_BYTES + HITS_OFFSET;
        self.control.read_exact_at(&mut hits, offset as u64).unwrap();
        u32::from_ne_bytes(hits)
    }

    /// Waits until a fault has hit at least `hits` calls of this kind.
    pub fn wait_for_hits(&self, call: SystemCall, hits: u32) {
        let start = std::time::Instant::now();
        while self.hits(call) < hits {
            assert!(start.elapsed() < super::MAX_WAIT, "{call:?} failed {} times", self.hits(call));
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
    }

    /// Shifts the wall clock of the process.
    pub fn step_wall_clock(&self, milliseconds: i64) {
        let offset = (CALL_KINDS * RULE_BYTES) as u64;
        self.control.write_all_at(&milliseconds.to_ne_bytes(), offset).unwrap();
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
