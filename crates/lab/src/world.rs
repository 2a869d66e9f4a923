//! One run: builds the deployment that a scenario names, plays its faults, and takes it down again.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Program, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

use crate::agent::{self, Entry};
use crate::backend::{self, Trouble};
use crate::clock::{At, Micros};
use crate::peer::{Command, Peer, Spec};
use crate::record::{Recorder, What};
use crate::scenario::{Balance, Effect, Fault, FaultKind, Group, Scenario};
use crate::{balancer, clients, plan, relay};

const READY: Duration = Duration::from_secs(10); // for a proxy to come up
const NOTICE: Micros = Micros::from_millis(500); // until a crash is known
const BACK: Micros = Micros::from_millis(800); // a killed proxy is back, unless the fault says when
const TURN: Duration = Duration::from_millis(2);

/// Why a run could not be.
#[derive(Debug)]
pub enum Failure {
    /// The machine or a program stood in the way: status 1.
    CouldNot(String),
    /// What was asked for can't be: status 2.
    Unusable(String),
    Interrupted,
}

#[derive(Clone)]
pub struct Options {
    /// `sparlug` itself, which hosts parts in processes of their own and is the proxy unless a tier says else.
    pub program: PathBuf,
    /// Where records, configurations and logs go.
    pub dir: PathBuf,
    pub stop: Arc<AtomicBool>,
    /// Where the first proxy of the first tier listens, instead of an address of the run's own.
    pub front: Option<SocketAddr>,
}

/// What a run leaves behind.
#[derive(Clone, Debug)]
pub struct Ran {
    pub dir: PathBuf,
    pub start: At,
    pub lasts: Micros,
}

#[derive(Clone, Debug)]
enum Step {
    Tell(String, Command),
    /// Ends a peer's own process outright, or has its thread act as if.
    KillBackend(String),
    StartBackend {
        name: String,
        moved: bool,
    },
    Proxy(String, FaultKind),
    ProxyBack(String, FaultKind),
    /// The agents' word on a backend.
    Word {
        tier: usize,
        n: usize,
        health: &'static str,
    },
    MoveAgent {
        tier: usize,
        n: usize,
    },
    Say {
        text: String,
        on: bool,
    },
}

struct Proxy {
    name: String,
    tier: usize,
    n: usize,
    address: SocketAddr,
    config: PathBuf,
    child: Option<Child>,
    /// Told to go; its end is no crash.
    leaving: bool,
    cpu_before: u64,
    memory_before: u64,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    options: &'a Options,
    recorder: Recorder,
    base: (u8, u8, u16),
    peers: BTreeMap<String, Peer>,
    proxies: Vec<Proxy>,
    entries: BTreeMap<(usize, usize), Entry>,
    agent_moves: u16,
    start: At,
}

impl World<'_> {
    /// Each part has an address of its own, apart from those of other runs on this machine.
    fn address(&self, tier: usize, letter: char, n: usize) -> SocketAddr {
        if let (Some(front), (0, 'p', 0)) = (self.options.front, (tier, letter, n)) {
            return front;
        }
        let (a, b, port) = self.base;
        let kind = "spalcm".find(letter).unwrap_or(0) as u16;
        let ip = Ipv4Addr::new(127, a, b, (n % 250 + 1) as u8);
        SocketAddr::new(IpAddr::V4(ip), port + tier as u16 * 40 + kind * 5 + (n / 250) as u16)
    }

    fn name(&self, tier: usize, letter: char, n: usize) -> String {
        if letter == 'k' {
            return "callers".to_string();
        }
        format!("{}/{letter}-{n}", self.scenario.tiers[tier].name)
    }

    /// Where callers find a proxy of the first tier.
    fn front(&self, n: usize) -> SocketAddr {
        self.address(0, if self.scenario.callers.link.is_some() { 'c' } else { 'p' }, n)
    }

    fn backend_spec(&self, tier: usize, n: usize, warm: bool) -> backend::Spec {
        let t = &self.scenario.tiers[tier];
        let below = self.scenario.tiers.get(tier + 1).filter(|_| t.calls[1] > 0);
        let below = below.map(|b| {
            let p = n % b.proxies;
            (self.name(tier + 1, 'p', p), self.address(tier + 1, 'p', p))
        });
        backend::Spec {
            name: self.name(tier, 's', n),
            tier: t.clone(),
            classes: self.scenario.classes.clone(),
            address: self.address(tier, 's', n),
            below,
            seed: plan::mix(self.seed, &t.name),
            warm,
        }
    }

    fn add(&mut self, spec: Spec, apart: bool) -> Result<(), Failure> {
        let records = records_of(&self.options.dir);
        let peer = match apart {
            true => Peer::apart(spec, &self.options.program, &records),
            false => Peer::on_thread(spec, &self.recorder),
        };
        let peer = peer.map_err(Failure::Unusable)?;
        self.peers.insert(peer.name.clone(), peer);
        Ok(())
    }

    fn tell(&mut self, name: &str, command: Command) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.tell(command);
        }
    }

    fn build(&mut self) -> Result<(), Failure> {
        for (t, tier) in self.scenario.tiers.iter().enumerate() {
            for n in 0..tier.backends {
                self.add(Spec::Backend(Box::new(self.backend_spec(t, n, true))), tier.apart)?;
                let mut dial = self.address(t, 's', n);
                if let Some(link) = tier.link {
                    let (name, listen) = (self.name(t, 'l', n), self.address(t, 'l', n));
                    let seed = plan::mix(self.seed, &name);
                    self.add(Spec::Relay(relay::Spec { name, listen, to: dial, link, seed }), false)?;
                    dial = listen;
                }
                let (host, site, block) = (self.name(t, 's', n), zone(n % tier.zones), n / tier.pod);
                let (health, share, born_ms) = ("Ready".to_string(), 1.0, 0.0);
                self.entries.insert((t, n), Entry { host, dial, site, block, health, share, born_ms });
            }
            let entries: Vec<Entry> = (0..tier.backends).map(|n| self.entries[&(t, n)].clone()).collect();
            match tier.balance {
                Balance::Direct => {}
                Balance::Sparlug => {
                    let side = |n| (self.name(t, 'p', n), self.address(t, 'a', n));
                    let listen = (0..tier.proxies).map(side).collect();
                    let name = format!("{}/a", tier.name);
                    self.add(Spec::Agent(agent::Spec { name, listen, entries, lag: tier.lag }), false)?;
                }
                balance => {
                    for n in 0..tier.proxies {
                        let spec = balancer::Spec {
                            name: self.name(t, 'p', n),
                            listen: self.address(t, 'p', n),
                            balance,
                            tries: tier.tries,
                            try_time: tier.try_time,
                            plant: tier.plant,
                            entries: entries.clone(),
                            classes: self.scenario.classes.clone(),
                            seed: plan::mix(self.seed, &tier.name),
                        };
                        self.add(Spec::Balancer(spec), false)?;
                    }
                }
            }
            for n in 0..tier.proxies {
                if let (0, Some(link)) = (t, self.scenario.callers.link) {
                    if tier.balance != Balance::Direct {
                        let (name, listen) = (self.name(t, 'c', n), self.address(t, 'c', n));
                        let (to, seed) = (self.address(t, 'p', n), plan::mix(self.seed, &name));
                        self.add(Spec::Relay(relay::Spec { name, listen, to, link, seed }), false)?;
                    }
                }
                if tier.balance == Balance::Sparlug {
                    let config = self.options.dir.join(format!("{}-p-{n}.json", tier.name));
                    let (name, address) = (self.name(t, 'p', n), self.address(t, 'p', n));
                    let (child, leaving, cpu_before, memory_before) = (None, false, 0, 0);
                    self.proxies.push(Proxy {
                        name,
                        tier: t,
                        n,
                        address,
                        config,
                        child,
                        leaving,
                        cpu_before,
                        memory_before,
                    });
                    let place = self.proxies.len() - 1;
                    self.configure(place, self.address(t, 'a', n))?;
                    // Guards against another program on that address, whose answers would pass for the proxy's.
                    let free = std::net::TcpListener::bind(self.proxies[place].address);
                    free.map_err(|e| {
                        let Proxy { name, address, .. } = &self.proxies[place];
                        Failure::Unusable(format!("{name} cannot listen on {address}: {e}"))
                    })?;
                    self.start_proxy(place)?;
                }
            }
        }
        for place in 0..self.proxies.len() {
            self.wait_ready(place)?;
        }
        Ok(())
    }

    /// Writes the configuration of a proxy, in the platform's form.
    fn configure(&self, place: usize, agent: SocketAddr) -> Result<(), Failure> {
        let proxy = &self.proxies[place];
        let tier = &self.scenario.tiers[proxy.tier];
        let hosts: Vec<Entry> = (0..tier.backends).map(|n| self.entries[&(proxy.tier, n)].clone()).collect();
        let tariffs = self.scenario.classes.iter().map(|class| {
            let effect = match class.effect {
                Effect::Reissuable => "pure",
                Effect::Numbered => "token",
                Effect::AtMostOnce => "side_effect",
            };
            let group = class.group.map(|group| match group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Pod => "cell",
            });
            serde_json::json!({
                "group": group, "windowMs": class.window.map(Micros::ms),
                "name": class.name, "latencyGoalMs": class.goal.ms(), "cutOffMs": class.cut_off.ms(),
                "value": class.value, "effect": effect,
            })
        });
        let columns = if tier.reports { vec!["busy_reqs", "pending"] } else { vec![] };
        let config = serde_json::json!({
            "name": proxy.name, "listen": proxy.address, "discovery": agent,
            "seed": format!("{:x}", plan::mix(self.seed, &proxy.name)),
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": tier.sockets },
            "known": { "seq": 1000, "whole": true, "hosts": hosts },
            "settings": {
                "tier": proxy.tier, "balancers": tier.proxies, "ordinal": proxy.n, "roundMs": 1.0,
                "discovery": "pushed", "tariffs": tariffs.collect::<Vec<_>>(),
                "zones": (0..tier.zones).map(zone).collect::<Vec<_>>(), "locality": proxy.n % tier.zones,
                "report": { "how": if tier.reports { "answers" } else { "none" }, "columns": columns },
                "allowed": {
                    "maxForwards": tier.max_forwards, "cancelling": true, "probes": true,
                    "retryAfter": tier.max_retry_after.is_some(),
                    "maxRetryAfterMs": tier.max_retry_after.map_or(0.0, Micros::ms),
                    "connIdleMs": tier.idle.ms(), "dialTimeoutMs": tier.dial.ms(),
                },
                "obligations": {
                    "coldShare": tier.cold_share, "rampTimeMs": tier.cold_ramp.ms(),
                    "fallMultiple": tier.fall_multiple, "tipAfterMs": tier.fall_window.ms(),
                },
            },
        });
        let could_not = |e| Failure::CouldNot(format!("cannot write {}: {e}", proxy.config.display()));
        fs::write(&proxy.config, config.to_string()).map_err(could_not)
    }

    fn start_proxy(&mut self, place: usize) -> Result<(), Failure> {
        let proxy = &self.proxies[place];
        let tier = &self.scenario.tiers[proxy.tier];
        let log = proxy.config.with_extension("log");
        let log = OpenOptions::new().create(true).append(true).open(&log);
        let log =
            log.map_err(|e| Failure::CouldNot(format!("cannot write the log of {}: {e}", proxy.name)))?;
        let mut command = Program::new(&self.options.program);
        command.args(["lab", "hold"]);
        if let Some(pin) = tier.pin {
            command.arg(format!("--pin={pin}"));
        }
        command.arg("--");
        match &tier.program {
            Some(program) if !program.exists() => {
                return Err(Failure::Unusable(format!(
                    "tier {}: there is no program {}",
                    tier.name,
                    program.display()
                )));
            }
            Some(program) => command.arg(program),
            None => command.arg(&self.options.program).arg("serve").arg("--config").arg(&proxy.config),
        };
        command.env("ROUTER_CONFIG", &proxy.config).env("SPARLUG_LOG", "debug").stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(log);
        let child = command.spawn();
        let child = child.map_err(|e| Failure::Unusable(format!("cannot start {}: {e}", proxy.name)))?;
        let proxy = &mut self.proxies[place];
        (proxy.child, proxy.leaving) = (Some(child), false);
        Ok(())
    }

    fn wait_ready(&mut self, place: usize) -> Result<(), Failure> {
        let began = std::time::Instant::now();
        loop {
            let proxy = &mut self.proxies[place];
            if let Some(Ok(Some(status))) = proxy.child.as_mut().map(Child::try_wait) {
                let log = fs::read_to_string(proxy.config.with_extension("log")).unwrap_or_default();
                let last = log.lines().last().unwrap_or("it said nothing");
                return Err(Failure::Unusable(format!(
                    "{} ended at its start ({status}): {last}",
                    proxy.name
                )));
            }
            if ready(proxy.address) {
                let proxy = proxy.name.clone();
                self.recorder.write(At::now(), What::ProxyUp { proxy });
                return Ok(());
            }
            if self.options.stop.load(Ordering::Relaxed) {
                return Err(Failure::Interrupted);
            }
            if began.elapsed() > READY {
                return Err(Failure::CouldNot(format!("{} is not ready after {READY:?}", proxy.name)));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// All that faults come to, in the order of time; they are numbered from `first` on.
    fn steps(&self, faults: &[Fault], first: usize) -> Vec<(Micros, Step)> {
        let mut steps = Vec::new();
        for (number, fault) in faults.iter().enumerate() {
            let number = first + number;
            for round in 0..fault.times.max(1) {
                for (i, (tier, letter, n)) in self.scenario.parts(&fault.part).into_iter().enumerate() {
                    let at = fault.at + fault.every.scaled(f64::from(round)) + fault.step.scaled(i as f64);
                    let off = fault.lasts.map(|lasts| at + lasts);
                    let number = (number * 1000 + i) as u32;
                    let name = self.name(tier, letter, n);
                    let text = format!("{:?} {name}", fault.kind);
                    steps.push((at, Step::Say { text: text.clone(), on: true }));
                    if let Some(off) = off {
                        steps.push((off, Step::Say { text, on: false }));
                    }
                    self.steps_of(fault, (tier, n, name), (at, off), number, &mut steps);
                }
            }
        }
        steps.retain(|(at, _)| *at <= self.scenario.lasts);
        steps.sort_by_key(|(at, _)| *at);
        steps
    }

    fn steps_of(
        &self,
        fault: &Fault,
        (tier, n, name): (usize, usize, String),
        (at, off): (Micros, Option<Micros>),
        number: u32,
        steps: &mut Vec<(Micros, Step)>,
    ) {
        use FaultKind::*;
        let t = &self.scenario.tiers[tier];
        let word = |health| Step::Word { tier, n, health };
        let mut push = |at, step| steps.push((at, step));
        match fault.kind {
            Crash => {
                push(at, Step::KillBackend(name.clone()));
                let noticed = at + NOTICE;
                if off.is_none_or(|off| off > noticed) {
                    push(noticed, word("Gone"));
                }
                if let Some(off) = off {
                    push(off, Step::StartBackend { name, moved: fault.moves });
                    push(off + Micros::from_millis(50), word("Ready"));
                }
            }
            Drain => {
                push(at, word("Terminating"));
                // Its own door shuts once the word and the grace are surely past.
                let shut = at + t.lag + t.drain_grace + Micros::from_millis(100);
                push(shut, Step::Tell(name.clone(), Command::Backend(backend::Command::Drain)));
                push(shut, Step::Tell(name.clone(), Command::Backend(backend::Command::End)));
                let back = off.map(|off| off.max(shut + Micros::from_millis(300)));
                push(back.unwrap_or(shut + Micros::from_millis(300)), word("Gone"));
                if let Some(back) = back {
                    push(back, Step::StartBackend { name, moved: fault.moves });
                    push(back + Micros::from_millis(50), word("Ready"));
                }
            }
            Mute | Stale => {
                let command = |on| match fault.kind {
                    Mute => agent::Command::Mute { proxy: n, on },
                    _ => agent::Command::Stale { proxy: n, on },
                };
                let agent = format!("{}/a", t.name);
                push(at, Step::Tell(agent.clone(), Command::Agent(command(true))));
                if let Some(off) = off {
                    push(off, Step::Tell(agent, Command::Agent(command(false))));
                }
            }
            JumpBack => {
                let by = fault.amount.unwrap_or(500.0) as u64;
                push(
                    at,
                    Step::Tell(format!("{}/a", t.name), Command::Agent(agent::Command::JumpBack { by })),
                );
            }
            Move => push(at, Step::MoveAgent { tier, n }),
            Reset | Close | HalfOpen | BlackHole | Delay => {
                let (kind, amount, direction) = (fault.kind, fault.amount, fault.direction);
                let cut = relay::Command::Fault { kind, amount, direction };
                push(at, Step::Tell(name.clone(), Command::Relay(cut)));
                let over = off.unwrap_or(at + Micros::from_millis(1));
                push(over, Step::Tell(name, Command::Relay(relay::Command::Mend { kind })));
            }
            Herd => push(at, Step::Tell(name, Command::Clients(clients::Command::Herd))),
            Kill | Term | Freeze => {
                push(at, Step::Proxy(name.clone(), fault.kind));
                push(off.unwrap_or(at + BACK), Step::ProxyBack(name, fault.kind));
            }
            kind => {
                let fault = Trouble { kind, amount: fault.amount, chance: fault.chance, nth: fault.nth };
                let command = backend::Command::Fault { number, fault };
                push(at, Step::Tell(name.clone(), Command::Backend(command)));
                if let Some(off) = off {
                    push(off, Step::Tell(name, Command::Backend(backend::Command::Mend { number })));
                }
            }
        }
    }

    fn place(&self, name: &str) -> Option<usize> {
        self.proxies.iter().position(|proxy| proxy.name == name)
    }

    /// Hands the agents' word on, to whom this tier's balance listens.
    fn word(&mut self, tier: usize, n: usize, health: &str) {
        let scenario = self.scenario;
        let t = &scenario.tiers[tier];
        let Some(entry) = self.entries.get_mut(&(tier, n)) else { return };
        entry.health = health.to_string();
        let entry = entry.clone();
        match t.balance {
            Balance::Sparlug => {
                self.tell(&format!("{}/a", t.name), Command::Agent(agent::Command::Set(entry)));
            }
            Balance::Direct => {
                let (name, up, address) = (entry.host, health == "Ready", Some(entry.dial));
                self.tell("callers", Command::Clients(clients::Command::Target { name, up, address }));
            }
            _ => {
                for p in 0..t.proxies {
                    let name = self.name(tier, 'p', p);
                    self.tell(&name, Command::Balancer(balancer::Command::Set(entry.clone())));
                }
            }
        }
    }

    fn step(&mut self, step: Step) -> Result<(), Failure> {
        match step {
            Step::Say { text, on } => self.recorder.write(At::now(), What::Fault { text, on }),
            Step::Tell(name, command) => self.tell(&name, command),
            Step::Word { tier, n, health } => self.word(tier, n, health),
            Step::KillBackend(name) => {
                let killed = self.peers.get_mut(&name).is_some_and(Peer::kill);
                if killed {
                    self.recorder.named(&name).write(At::now(), What::Stopped { how: "killed".into() });
                } else {
                    self.tell(&name, Command::Backend(backend::Command::Crash));
                }
            }
            Step::StartBackend { name, moved } => {
                let scenario = self.scenario;
                let found = scenario.parts(&name);
                let Some((tier, _, n)) = found.first().copied() else { return Ok(()) };
                let address = moved.then(|| self.address(tier, 'm', n));
                let entry = self.entries.get_mut(&(tier, n));
                if let Some(entry) = entry {
                    entry.born_ms = agent::unix_ms(At::now());
                    if scenario.tiers[tier].link.is_none() {
                        entry.dial = address.unwrap_or(entry.dial);
                    }
                }
                if let (Some(to), true) = (address, scenario.tiers[tier].link.is_some()) {
                    self.tell(&self.name(tier, 'l', n), Command::Relay(relay::Command::To(to)));
                }
                if scenario.tiers[tier].apart {
                    let mut spec = self.backend_spec(tier, n, false);
                    spec.address = address.unwrap_or(spec.address);
                    self.peers.remove(&name);
                    self.add(Spec::Backend(Box::new(spec)), true)?;
                } else {
                    self.tell(&name, Command::Backend(backend::Command::Start { address, warm: false }));
                }
            }
            Step::MoveAgent { tier, n } => {
                self.agent_moves += 1;
                let mut to = self.address(tier, 'a', n);
                to.set_port(to.port() + 400 + self.agent_moves);
                let agent = format!("{}/a", self.scenario.tiers[tier].name);
                self.tell(&agent, Command::Agent(agent::Command::Move { proxy: n, to }));
                let name = self.name(tier, 'p', n);
                if let Some(place) = self.place(&name) {
                    self.configure(place, to)?;
                    self.signal(place, Signal::HUP);
                }
            }
            Step::Proxy(name, kind) => {
                let Some(place) = self.place(&name) else { return Ok(()) };
                let (signal, how) = match kind {
                    FaultKind::Kill => (Signal::KILL, "kill"),
                    FaultKind::Term => (Signal::TERM, "term"),
                    _ => (Signal::STOP, "freeze"),
                };
                self.proxies[place].leaving = kind != FaultKind::Freeze;
                self.recorder.write(At::now(), What::ProxyDown { proxy: name, how: how.into() });
                self.signal(place, signal);
            }
            Step::ProxyBack(name, FaultKind::Freeze) => {
                let Some(place) = self.place(&name) else { return Ok(()) };
                self.signal(place, Signal::CONT);
                self.recorder.write(At::now(), What::ProxyUp { proxy: name });
            }
            Step::ProxyBack(name, _) => {
                let Some(place) = self.place(&name) else { return Ok(()) };
                if let Some(mut child) = self.proxies[place].child.take() {
                    // One told to go gets its time: SIGKILL comes no sooner than the longest cut-off and more.
                    let began = std::time::Instant::now();
                    while matches!(child.try_wait(), Ok(None)) && began.elapsed() < Duration::from_secs(4) {
                        std::thread::sleep(TURN);
                    }
                    let _ = child.kill();
                    let _ = child.wait();
                }
                self.start_proxy(place)?;
                self.wait_ready(place)?;
            }
        }
        Ok(())
    }

    fn signal(&self, place: usize, signal: Signal) {
        let pid = self.proxies[place].child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// A proxy that ended without being told to has crashed.
    fn crashed(&mut self) {
        for proxy in &mut self.proxies {
            let ended = proxy.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let (Some(status), false) = (ended, proxy.leaving) {
                proxy.leaving = true;
                let (proxy, how) = (proxy.name.clone(), format!("crash: {status}"));
                self.recorder.write(At::now(), What::ProxyDown { proxy, how });
            }
        }
    }

    fn play(
        &mut self,
        injected: Option<&Receiver<Fault>>,
        progress: &mut dyn FnMut(f64),
    ) -> Result<(), Failure> {
        let scenario = self.scenario;
        let front = &scenario.tiers[0];
        let targets = match front.balance {
            Balance::Direct => {
                (0..front.backends).map(|n| (self.name(0, 's', n), self.entries[&(0, n)].dial)).collect()
            }
            _ => (0..front.proxies).map(|n| (self.name(0, 'p', n), self.front(n))).collect(),
        };
        // Before the start is set: it may take a while.
        let intents = plan::intents(scenario, self.seed);
        // Idle connections are opened first, at a pace that the backlog can take.
        let opening = Micros(scenario.callers.idle as i64 * clients::IDLE_PACE.0 * 4 / 3);
        self.start = At::now() + Micros::from_millis(150) + opening;
        let spec = clients::Spec {
            name: "callers".to_string(),
            classes: scenario.classes.clone(),
            callers: scenario.callers.clone(),
            intents,
            closed: scenario.load.closed,
            scatter: front.balance == Balance::Direct,
            targets,
            start: self.start,
            lasts: scenario.lasts,
            seed: self.seed,
        };
        self.add(Spec::Clients(spec), false)?;
        for proxy in &mut self.proxies {
            proxy.memory_before = memory_of(proxy.child.as_ref());
        }
        let mut steps: VecDeque<_> = self.steps(&scenario.faults, 0).into();
        let mut given = scenario.faults.len();
        let last = self.start + scenario.lasts + Micros::from_millis(8000);
        let mut begun = false;
        loop {
            if !begun && At::now() >= self.start {
                begun = true;
                for proxy in &mut self.proxies {
                    proxy.cpu_before = cpu_of(proxy.child.as_ref());
                }
            }
            if self.options.stop.load(Ordering::Relaxed) {
                return Err(Failure::Interrupted);
            }
            for mut fault in injected.iter().flat_map(|injected| injected.try_iter()) {
                fault.at = At::now().since(self.start);
                steps.extend(self.steps(&[fault], given));
                steps.make_contiguous().sort_by_key(|(at, _)| *at);
                given += 1;
            }
            while let Some((_, step)) = steps.pop_front_if(|(at, _)| self.start + *at <= At::now()) {
                self.step(step)?;
            }
            self.crashed();
            progress(At::now().since(self.start).secs() / scenario.lasts.secs());
            let mut over = At::now() > last;
            for (name, peer) in &mut self.peers {
                if peer.ended() {
                    match name.as_str() {
                        "callers" => over = true,
                        // A backend's own process that was killed by the plan.
                        _ if scenario.tiers.iter().any(|tier| tier.apart) => {}
                        _ => return Err(Failure::CouldNot(format!("{name} ended before the run was over"))),
                    }
                }
            }
            if over {
                break;
            }
            std::thread::sleep(TURN);
        }
        for proxy in &self.proxies {
            let used = cpu_of(proxy.child.as_ref()).saturating_sub(proxy.cpu_before);
            let (memory_before, memory) = (proxy.memory_before, memory_of(proxy.child.as_ref()));
            let (proxy, cpu_us) = (proxy.name.clone(), used / 1000);
            self.recorder.write(At::now(), What::Used { proxy, cpu_us, memory_before, memory });
        }
        Ok(())
    }

    fn take_down(&mut self) -> Result<(), Failure> {
        for place in 0..self.proxies.len() {
            self.signal(place, Signal::CONT);
            self.signal(place, Signal::KILL);
        }
        self.proxies.clear();
        let mut ended = Ok(());
        // Callers first, and all of them also after one has panicked.
        let mut peers = std::mem::take(&mut self.peers);
        let callers = peers.remove("callers");
        for peer in callers.into_iter().chain(peers.into_values()) {
            ended = ended.and(peer.stop().map_err(Failure::CouldNot));
        }
        ended
    }
}

/// Processor time of a process's first thread, in nanoseconds.
fn cpu_of(child: Option<&Child>) -> u64 {
    let text = child.and_then(|child| fs::read_to_string(format!("/proc/{}/schedstat", child.id())).ok());
    text.and_then(|text| text.split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Memory that is a process's own, in bytes.
fn memory_of(child: Option<&Child>) -> u64 {
    let text = child.and_then(|child| fs::read_to_string(format!("/proc/{}/status", child.id())).ok());
    let text = text.unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}

/// Plays a scenario once. Whatever happens, nothing of it is left running.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    progress: &mut dyn FnMut(f64),
) -> Result<Ran, Failure> {
    run_with(scenario, seed, options, None, progress)
}

/// The same, with faults that come while it runs.
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    injected: Option<&Receiver<Fault>>,
    progress: &mut dyn FnMut(f64),
) -> Result<Ran, Failure> {
    let made = fs::create_dir_all(&options.dir).and_then(|()| File::create(records_of(&options.dir)));
    made.map_err(|e| Failure::CouldNot(format!("cannot write to {}: {e}", options.dir.display())))?;
    let recorder = Recorder::open(&records_of(&options.dir), "lab");
    let recorder = recorder.map_err(|e| Failure::CouldNot(e.to_string()))?;
    let mut world = World {
        scenario,
        seed,
        options,
        recorder,
        base: base(),
        peers: BTreeMap::new(),
        proxies: Vec::new(),
        entries: BTreeMap::new(),
        agent_moves: 0,
        start: At::now(),
    };
    let played = world.build().and_then(|()| world.play(injected, progress));
    let down = world.take_down();
    let (start, lasts) = (world.start, scenario.lasts);
    played.and(down)?;
    Ok(Ran { dir: options.dir.clone(), start, lasts })
}

/// A part of loopback that no other run on this machine uses.
fn base() -> (u8, u8, u16) {
    static WORLDS: AtomicU32 = AtomicU32::new(0);
    let world = WORLDS.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    (64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, 5000 + (world % 25) as u16 * 1000)
}

/// The name of the n-th zone.
pub fn zone(n: usize) -> String {
    char::from(b'a' + n as u8).to_string()
}

/// Where a run's records, configurations and logs are, below the folder of all.
pub fn dir_of(out: &Path, variant: &str, seed: u64) -> PathBuf {
    out.join(format!("{}-{seed}", variant.replace(['/', ' '], "-")))
}

pub fn records_of(dir: &Path) -> PathBuf {
    dir.join("records.jsonl")
}
