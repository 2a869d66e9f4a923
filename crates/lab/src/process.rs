//! A proxy's process over its lives: started, ready, stopped and let go, told to go, killed, gone, there again; and what
//! it uses of the machine.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdin};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

use crate::balancer;
use crate::clock::{At, Micros};
use crate::component::Command;
use crate::fault_steps::FaultId;
use crate::record::RecordKind;
use crate::rules::SLOW_PROXY_PERIOD;
use crate::scenario::KnownBackends;

/// For a proxy to come up.
pub const READY: Micros = Micros::from_millis(10_000);
/// One told to go gets its time: SIGKILL comes no sooner than the longest cut-off and more.
const GOING: Micros = Micros::from_millis(4000);
const ASK: Duration = Duration::from_millis(100); // for an answer of one that may be stopped
const ASK_EVERY: Micros = Micros::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Does not belong to the deployment.
    Absent,
    Starting(At),
    Up,
    /// Told to go.
    Going(At),
    Down,
}

pub struct Process {
    pub name: String,
    pub tier: usize,
    pub n: usize,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub child: Option<Child>,
    /// Where a stand-in is told things; the program has none.
    input: Option<ChildStdin>,
    pub life: Life,
    /// It is to belong to the deployment.
    pub wanted: bool,
    /// The list that its next life finds in its file.
    pub known: KnownBackends,
    /// Faults that keep it down.
    pub downs: BTreeSet<FaultId>,
    /// Faults that keep it from running but for a part of its time.
    halts: BTreeMap<FaultId, f64>,
    halted: bool,
    asked: At,
    used: Used,
}

/// What a process has used up to a moment.
#[derive(Clone, Copy, Default)]
struct Used {
    at: At,
    cpu_ns: u64,
    wakeups: u64,
    memory: u64,
}

/// What became of a process since the last look.
pub enum Became {
    Nothing,
    Up,
    /// Its end, which was asked for.
    Gone,
    /// It ended by itself, with what it said last.
    Crashed(String),
    /// It is not ready after all this time.
    Late,
}

impl Process {
    pub fn new(name: String, (tier, n): (usize, usize), address: SocketAddr, config: PathBuf) -> Process {
        let (child, input, downs, halts, halted, asked, used) = Default::default();
        let (life, wanted, known) = (Life::Absent, true, KnownBackends::Old);
        Process {
            name,
            tier,
            n,
            address,
            config,
            child,
            input,
            life,
            wanted,
            known,
            downs,
            halts,
            halted,
            asked,
            used,
        }
    }

    pub fn started(&mut self, child: Child, input: Option<ChildStdin>) {
        (self.child, self.life) = (Some(child), Life::Starting(At::now()));
        self.input = input;
        (self.halted, self.used) = (false, Used::default());
        // Faults that began under an earlier life do not follow it into this one.
        self.halts.clear();
        self.used.at = At::now();
    }

    pub fn is_running(&self) -> bool {
        matches!(self.life, Life::Starting(_) | Life::Up)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops it but for a part of its time; tells what to record, if it runs at all.
    pub fn halt(&mut self, fault_id: FaultId, share: f64) -> Option<RecordKind> {
        if !self.is_running() {
            return None;
        }
        self.halts.insert(fault_id, share);
        let how = if share > 0.0 { format!("slow {share}") } else { "freeze".to_string() };
        self.run_in_turns(At::now());
        Some(RecordKind::ProxyDown { proxy: self.name.clone(), how })
    }

    /// Ends a stop; tells what to record if none is left.
    pub fn go_on(&mut self, fault_id: FaultId) -> Option<RecordKind> {
        self.halts.remove(&fault_id)?;
        self.run_in_turns(At::now());
        (self.halts.is_empty() && self.life == Life::Up)
            .then(|| RecordKind::ProxyUp { proxy: self.name.clone() })
    }

    /// Stops it or lets it go, as its part of the time has it.
    pub fn run_in_turns(&mut self, now: At) {
        let share = self.halts.values().copied().fold(1.0, f64::min);
        let part = now.0.rem_euclid(SLOW_PROXY_PERIOD.0) as f64 / SLOW_PROXY_PERIOD.0 as f64;
        let stop = part >= share && !self.halts.is_empty();
        if stop != self.halted {
            self.halted = stop;
            self.signal(if stop { Signal::STOP } else { Signal::CONT });
        }
    }

    /// Tells a stand-in something.
    pub fn tell(&mut self, command: &Command) {
        let (Ok(mut line), Some(input)) = (serde_json::to_vec(command), &mut self.input) else { return };
        line.push(b'\n');
        let _ = input.write_all(&line).and_then(|()| input.flush());
    }

    /// Ends it, outright or by telling it to go.
    pub fn end(&mut self, outright: bool) {
        match &self.input {
            Some(_) if !outright => self.tell(&Command::Balancer(balancer::Command::Leave)),
            _ => self.signal(if outright { Signal::KILL } else { Signal::TERM }),
        }
        if outright {
            self.halts.clear();
            self.halted = false;
        }
        self.life = Life::Going(At::now());
    }

    /// Looks what became of it. Never waits for long.
    pub fn look(&mut self, now: At) -> Became {
        self.run_in_turns(now);
        let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        match (self.life, ended) {
            (Life::Absent | Life::Down, _) => Became::Nothing,
            (Life::Going(_), Some(_)) => {
                (self.child, self.life) = (None, Life::Down);
                Became::Gone
            }
            (Life::Going(since), None) => {
                if now.since(since) > GOING {
                    self.signal(Signal::KILL);
                }
                Became::Nothing
            }
            (_, Some(status)) => {
                (self.child, self.life) = (None, Life::Down);
                let log = fs::read_to_string(self.config.with_extension("log")).unwrap_or_default();
                let last = log.lines().last().unwrap_or("it said nothing").to_string();
                Became::Crashed(format!("{status}: {last}"))
            }
            (Life::Starting(since), None) if !self.halted && now.since(self.asked) >= ASK_EVERY => {
                self.asked = now;
                if ready(self.address) {
                    self.life = Life::Up;
                    return Became::Up;
                }
                if now.since(since) > READY {
                    return Became::Late;
                }
                Became::Nothing
            }
            _ => Became::Nothing,
        }
    }

    /// From here on what it uses is counted.
    pub fn count_from_here(&mut self) {
        self.used = self.uses();
    }

    pub fn memory_from_here(&mut self) {
        self.used.memory = self.uses().memory;
    }

    /// What it has used since, if it is there.
    pub fn usage(&self) -> Option<RecordKind> {
        let (before, now) = (self.used, self.uses());
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

    /// Processor time of its first thread, how often that woke, and the memory that is its own, in bytes.
    fn uses(&self) -> Used {
        let status = self.proc("status");
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0)
        };
        let cpu_ns = self.proc("schedstat").split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let (wakeups, memory) = (field("voluntary_ctxt_switches:"), field("RssAnon:") * 1024);
        Used { at: At::now(), cpu_ns, wakeups, memory }
    }

    fn descriptors(&self) -> u64 {
        let path = self.child.as_ref().map(|child| format!("/proc/{}/fd", child.id()));
        path.and_then(|path| fs::read_dir(path).ok()).map_or(0, |all| all.count() as u64)
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

fn ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, ASK)?;
        stream.set_read_timeout(Some(ASK))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}
