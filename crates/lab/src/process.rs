//! The process of a proxy: start, readiness, pauses, shutdown, kill and restart, and its use of CPU time,
//! memory and descriptors.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdin};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

use crate::balancer;
use crate::clock::{Micros, Timestamp};
use crate::component::Command;
use crate::fault_steps::FaultId;
use crate::record::RecordKind;
use crate::rules::SLOW_PROXY_PERIOD;
use crate::scenario::KnownBackends;

/// Time within which a proxy must become ready.
pub const START_TIMEOUT: Micros = Micros::from_millis(10_000);
/// Time from a graceful stop to SIGKILL: longer than the longest deadline, so that open requests can end.
const STOP_TIMEOUT: Micros = Micros::from_millis(4000);
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(100); // the process may be paused and not respond
const READY_CHECK_INTERVAL: Micros = Micros::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Is not part of the deployment.
    NotDeployed,
    Starting(Timestamp),
    Ready,
    /// Asked to exit, at that time.
    Stopping(Timestamp),
    Stopped,
}

pub struct Process {
    pub name: String,
    pub tier: usize,
    pub index: usize,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub child: Option<Child>,
    /// Standard input of a stand-in, which takes commands; the proxy program has none.
    input: Option<ChildStdin>,
    pub state: ProcessState,
    /// Whether the process is part of the deployment and so has to run.
    pub deployed: bool,
    /// Which list of backends the configuration holds at the next start.
    pub known_backends: KnownBackends,
    /// Faults that keep the process stopped.
    pub stop_faults: BTreeSet<FaultId>,
    /// Faults that pause the process, with the share of time in which it still runs.
    pauses: BTreeMap<FaultId, f64>,
    paused: bool,
    last_ready_check: Timestamp,
    usage_baseline: UsageSample,
}

/// Resource counters of a process at one point in time.
#[derive(Clone, Copy, Default)]
struct UsageSample {
    at: Timestamp,
    cpu_ns: u64,
    wakeups: u64,
    memory: u64,
}

/// Change of a process's state since the last poll.
pub enum StateChange {
    Unchanged,
    Ready,
    /// It exited as requested.
    Stopped,
    /// It exited unasked; holds the exit status and the last line of its log.
    Crashed(String),
    /// It was not ready within `START_TIMEOUT`.
    StartTimedOut,
}

impl Process {
    pub fn new(name: String, (tier, index): (usize, usize), address: SocketAddr, config: PathBuf) -> Process {
        let (child, input, stop_faults, pauses, paused, last_ready_check, usage_baseline) =
            Default::default();
        let (state, deployed, known_backends) = (ProcessState::NotDeployed, true, KnownBackends::Old);
        Process {
            name,
            tier,
            index,
            address,
            config,
            child,
            input,
            state,
            deployed,
            known_backends,
            stop_faults,
            pauses,
            paused,
            last_ready_check,
            usage_baseline,
        }
    }

    pub fn set_started(&mut self, child: Child, input: Option<ChildStdin>) {
        (self.child, self.state) = (Some(child), ProcessState::Starting(Timestamp::now()));
        self.input = input;
        (self.paused, self.usage_baseline) = (false, UsageSample::default());
        // Pauses that began before a restart do not apply to the new process.
        self.pauses.clear();
        self.usage_baseline.at = Timestamp::now();
    }

    pub fn is_running(&self) -> bool {
        matches!(self.state, ProcessState::Starting(_) | ProcessState::Ready)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses the process except for a share of its time; returns the record to write if the process runs.
    pub fn pause(&mut self, fault_id: FaultId, share: f64) -> Option<RecordKind> {
        if !self.is_running() {
            return None;
        }
        self.pauses.insert(fault_id, share);
        let how = if share > 0.0 { format!("slow {share}") } else { "freeze".to_string() };
        self.apply_pauses(Timestamp::now());
        Some(RecordKind::ProxyDown { proxy: self.name.clone(), how })
    }

    /// Ends one pause; returns the record to write if no other pause is left.
    pub fn resume(&mut self, fault_id: FaultId) -> Option<RecordKind> {
        self.pauses.remove(&fault_id)?;
        self.apply_pauses(Timestamp::now());
        (self.pauses.is_empty() && self.state == ProcessState::Ready)
            .then(|| RecordKind::ProxyUp { proxy: self.name.clone() })
    }

    /// Sends SIGSTOP or SIGCONT so that the process runs for the smallest share that its pauses allow.
    pub fn apply_pauses(&mut self, now: Timestamp) {
        let share = self.pauses.values().copied().fold(1.0, f64::min);
        let position = now.0.rem_euclid(SLOW_PROXY_PERIOD.0) as f64 / SLOW_PROXY_PERIOD.0 as f64;
        let stop = position >= share && !self.pauses.is_empty();
        if stop != self.paused {
            self.paused = stop;
            self.signal(if stop { Signal::STOP } else { Signal::CONT });
        }
    }

    /// Sends a command to a stand-in.
    pub fn send_command(&mut self, command: &Command) {
        let (Ok(mut line), Some(input)) = (serde_json::to_vec(command), &mut self.input) else { return };
        line.push(b'\n');
        let _ = input.write_all(&line).and_then(|()| input.flush());
    }

    /// Stops the process, by SIGKILL or gracefully.
    pub fn stop(&mut self, kill: bool) {
        match &self.input {
            Some(_) if !kill => self.send_command(&Command::Balancer(balancer::Command::Leave)),
            _ => self.signal(if kill { Signal::KILL } else { Signal::TERM }),
        }
        if kill {
            self.pauses.clear();
            self.paused = false;
        }
        self.state = ProcessState::Stopping(Timestamp::now());
    }

    /// Applies pauses and checks for exit, readiness and timeouts. Blocks for a readiness check at most.
    pub fn poll(&mut self, now: Timestamp) -> StateChange {
        self.apply_pauses(now);
        let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        match (self.state, ended) {
            (ProcessState::NotDeployed | ProcessState::Stopped, _) => StateChange::Unchanged,
            (ProcessState::Stopping(_), Some(_)) => {
                (self.child, self.state) = (None, ProcessState::Stopped);
                StateChange::Stopped
            }
            (ProcessState::Stopping(since), None) => {
                if now.since(since) > STOP_TIMEOUT {
                    self.signal(Signal::KILL);
                }
                StateChange::Unchanged
            }
            (_, Some(status)) => {
                (self.child, self.state) = (None, ProcessState::Stopped);
                let log = fs::read_to_string(self.config.with_extension("log")).unwrap_or_default();
                let last = log.lines().last().unwrap_or("its log is empty").to_string();
                StateChange::Crashed(format!("{status}: {last}"))
            }
            (ProcessState::Starting(since), None)
                if !self.paused && now.since(self.last_ready_check) >= READY_CHECK_INTERVAL =>
            {
                self.last_ready_check = now;
                if is_ready(self.address) {
                    self.state = ProcessState::Ready;
                    return StateChange::Ready;
                }
                if now.since(since) > START_TIMEOUT {
                    return StateChange::StartTimedOut;
                }
                StateChange::Unchanged
            }
            _ => StateChange::Unchanged,
        }
    }

    /// Starts counting resource use from now on.
    pub fn reset_usage(&mut self) {
        self.usage_baseline = self.current_usage();
    }

    pub fn reset_memory(&mut self) {
        self.usage_baseline.memory = self.current_usage().memory;
    }

    /// Resource use since `reset_usage`, if the process exists.
    pub fn usage(&self) -> Option<RecordKind> {
        let (before, now) = (self.usage_baseline, self.current_usage());
        self.child.as_ref()?;
        Some(RecordKind::ResourceUsage {
            proxy: self.name.clone(),
            cpu_us: now.cpu_ns.saturating_sub(before.cpu_ns) / 1000,
            memory_before: before.memory,
            memory: now.memory,
            wakeups: now.wakeups.saturating_sub(before.wakeups),
            over_us: now.at.since(before.at).0,
            descriptors: self.descriptors(),
        })
    }

    fn proc(&self, file: &str) -> String {
        let path = self.child.as_ref().map(|child| format!("/proc/{}/{file}", child.id()));
        path.and_then(|path| fs::read_to_string(path).ok()).unwrap_or_default()
    }

    /// CPU time of the main thread, its wakeups (voluntary context switches), and the private memory in
    /// bytes.
    fn current_usage(&self) -> UsageSample {
        let status = self.proc("status");
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0)
        };
        let cpu_ns = self.proc("schedstat").split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let (wakeups, memory) = (field("voluntary_ctxt_switches:"), field("RssAnon:") * 1024);
        UsageSample { at: Timestamp::now(), cpu_ns, wakeups, memory }
    }

    fn descriptors(&self) -> u64 {
        let path = self.child.as_ref().map(|child| format!("/proc/{}/fd", child.id()));
        path.and_then(|path| fs::read_dir(path).ok()).map_or(0, |entries| entries.count() as u64)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let request = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, READY_CHECK_TIMEOUT)?;
        stream.set_read_timeout(Some(READY_CHECK_TIMEOUT))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")?;
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line)?;
        Ok(&status_line == b"HTTP/1.1 200")
    };
    request().unwrap_or(false)
}
