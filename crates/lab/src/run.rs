//! One run: builds the deployment that a scenario names, plays its faults, and takes it down again.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command as Program, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;

use crate::agent::{self, BackendEntry};
use crate::backend;
use crate::clock::{At, Micros};
use crate::component::{Command, ComponentHandle, Spec};
use crate::configuration::{self, FleetTold, Told};
use crate::deployment::zone;
use crate::fault_steps::{self, FaultStep};
use crate::fleet_poller::FleetPoller;
use crate::process::{Became, Life, Process};
use crate::record::{RecordKind, Recorder};
use crate::scenario::{Balance, Fault, FaultKind, KnownBackends, Scenario, Tier};
use crate::{arrivals, balancer, clients, peer_network, relay};

const TURN: Duration = Duration::from_millis(2);
const LOOK_EVERY: Micros = Micros::from_millis(4); // at the proxies' processes
/// Addresses that others hold are given up for others, so often.
const OTHER_ADDRESSES: usize = 3;
const SEEDS: usize = 3;
const WATCHED: usize = 8; // proxies that one thread asks in turn
/// The place of an address that no proxy has.
const NOBODY: usize = MAX_COMPONENTS_PER_KIND;
const IPS: usize = 250; // of a run, on each of which a kind of part has so many ports:
const PORTS: u16 = 5;
/// Of one kind in a tier, for which there are addresses beside that of nobody.
pub const MAX_COMPONENTS_PER_KIND: usize = IPS * PORTS as usize - 1;

/// Why a run could not be.
#[derive(Debug)]
pub enum Failure {
    /// The machine or a program stood in the way: status 1.
    Environment(String),
    /// What was asked for can't be: status 2.
    InvalidInput(String),
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
pub struct CompletedRun {
    pub dir: PathBuf,
    pub start: At,
    pub duration: Micros,
}

struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    options: &'a Options,
    recorder: Recorder,
    base: (u8, u8, u16),
    peers: BTreeMap<String, ComponentHandle>,
    proxies: Vec<Process>,
    looked: At,
    entries: BTreeMap<(usize, usize), BackendEntry>,
    /// The lists as they were when the run began, by tier.
    first: BTreeMap<usize, Vec<BackendEntry>>,
    /// Where each proxy's agent is.
    agents: BTreeMap<(usize, usize), SocketAddr>,
    agent_moves: u16,
    /// The load has begun.
    began: bool,
    start: At,
}

impl World<'_> {
    /// Each part has an address of its own, apart from those of other runs on this machine.
    fn address(&self, tier: usize, letter: char, n: usize) -> SocketAddr {
        if let (Some(front), (0, 'p', 0)) = (self.options.front, (tier, letter, n)) {
            return front;
        }
        let (a, b, port) = self.base;
        let kind = "spalcmwfg".find(letter).unwrap_or(0) as u16;
        let ip = Ipv4Addr::new(127, a, b, (n % IPS + 1) as u8);
        SocketAddr::new(IpAddr::V4(ip), port + tier as u16 * 50 + kind * PORTS + (n / IPS) as u16)
    }

    fn name(&self, tier: usize, letter: char, n: usize) -> String {
        if letter == 'k' {
            return "callers".to_string();
        }
        format!("{}/{letter}-{n}", self.scenario.tiers[tier].name)
    }

    /// Where callers find a proxy of the first tier.
    fn front(&self, n: usize) -> SocketAddr {
        self.address(0, if self.scenario.client_behavior.link.is_some() { 'c' } else { 'p' }, n)
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
            tier: Tier { cores: t.core_count(n), ..t.clone() },
            classes: self.scenario.classes.clone(),
            address: self.address(tier, 's', n),
            next_tier: below,
            seed: arrivals::hash_with_seed(self.seed, &t.name),
            warm,
        }
    }

    fn add(&mut self, spec: Spec, apart: bool) -> Result<(), Failure> {
        let records = records_path(&self.options.dir);
        let peer = match apart {
            true => ComponentHandle::spawn_process(spec, &self.options.program, &records),
            false => ComponentHandle::spawn_thread(spec, &self.recorder),
        };
        let peer = peer.map_err(Failure::InvalidInput)?;
        self.peers.insert(peer.name.clone(), peer);
        Ok(())
    }

    fn tell(&mut self, name: &str, command: Command) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.send(command);
        }
    }

    fn build(&mut self) -> Result<(), Failure> {
        for (t, tier) in self.scenario.tiers.iter().enumerate() {
            for n in 0..tier.backends {
                self.add(Spec::Backend(Box::new(self.backend_spec(t, n, true))), tier.apart)?;
                let mut address = self.address(t, 's', n);
                if let Some(link) = tier.link {
                    let (name, listen) = (self.name(t, 'l', n), self.address(t, 'l', n));
                    let seed = arrivals::hash_with_seed(self.seed, &name);
                    self.add(Spec::Relay(relay::Spec { name, listen, to: address, link, seed }), false)?;
                    address = listen;
                }
                let (host, zone, pod) = (self.name(t, 's', n), zone(n % tier.zones), n / tier.pod);
                let (health, size, started_ms) = ("Ready".to_string(), tier.size(n), 0.0);
                self.entries
                    .insert((t, n), BackendEntry { host, address, zone, pod, health, size, started_ms });
            }
            let entries: Vec<BackendEntry> =
                (0..tier.backends).map(|n| self.entries[&(t, n)].clone()).collect();
            if tier.balance == Balance::Sparlug {
                let side = |n| (self.name(t, 'p', n), self.address(t, 'a', n));
                let listen = (0..tier.proxies).map(side).collect();
                let name = format!("{}/a", tier.name);
                let entries = entries.clone();
                self.add(Spec::Agent(agent::Spec { name, listen, entries, lag: tier.lag }), false)?;
            }
            self.first.insert(t, entries);
            if let Some(fleet) = tier.fleet {
                let endpoint = |n| peer_network::ProxyEndpoint {
                    proxy: self.name(t, 'p', n),
                    address: self.address(t, 'f', n),
                    advertised: self.address(t, 'w', n),
                };
                let (name, endpoints) =
                    (format!("{}/w", tier.name), (0..tier.proxies).map(endpoint).collect());
                let (unknown_sender, seed) =
                    (self.address(t, 'w', NOBODY), arrivals::hash_with_seed(self.seed, &name));
                self.add(
                    Spec::PeerNetwork(peer_network::Spec { name, endpoints, fleet, unknown_sender, seed }),
                    false,
                )?;
            }
            let absent = self.scenario.initially_absent(t);
            for n in 0..tier.proxies {
                if let (0, Some(link)) = (t, self.scenario.client_behavior.link) {
                    if tier.balance != Balance::Direct {
                        let (name, listen) = (self.name(t, 'c', n), self.address(t, 'c', n));
                        let (to, seed) =
                            (self.address(t, 'p', n), arrivals::hash_with_seed(self.seed, &name));
                        self.add(Spec::Relay(relay::Spec { name, listen, to, link, seed }), false)?;
                    }
                }
                if self.scenario.has_processes(t) {
                    let form = if self.is_native(t) { "toml" } else { "json" };
                    let config = self.options.dir.join(format!("{}-p-{n}.{form}", tier.name));
                    let (name, address) = (self.name(t, 'p', n), self.address(t, 'p', n));
                    self.agents.insert((t, n), self.address(t, 'a', n));
                    // Guards against another program on that address, whose answers would pass for the proxy's.
                    let free = std::net::TcpListener::bind(address);
                    free.map_err(|e| {
                        Failure::InvalidInput(format!("{name} cannot listen on {address}: {e}"))
                    })?;
                    let mut process = Process::new(name, (t, n), address, config);
                    process.wanted = !absent.contains(&n);
                    self.proxies.push(process);
                } else if tier.balance != Balance::Direct {
                    self.add(Spec::Balancer(self.stand_in(t, n, false, KnownBackends::Old)), false)?;
                }
            }
        }
        for place in 0..self.proxies.len() {
            if self.proxies[place].wanted {
                self.start_proxy(place, KnownBackends::Old)?;
            }
        }
        while self.proxies.iter().any(|proxy| matches!(proxy.life, Life::Starting(_))) {
            self.look(true)?;
            if self.options.stop.load(Ordering::Relaxed) {
                return Err(Failure::Interrupted);
            }
            std::thread::sleep(TURN);
        }
        Ok(())
    }

    fn stand_in(&self, t: usize, n: usize, again: bool, known: KnownBackends) -> balancer::Spec {
        let tier = &self.scenario.tiers[t];
        let name = self.name(t, 'p', n);
        let at_first = tier.fall_window_capacity(tier.cores, Micros::ZERO);
        // Well below what pushes it over, so that one alone never does.
        let allowance = ((tier.fall_threshold(at_first) * 0.8) as usize, tier.fall_window);
        balancer::Spec {
            listen: self.address(t, 'p', n),
            balance: tier.balance,
            max_attempts: tier.baseline_max_attempts,
            attempt_timeout: tier.baseline_attempt_timeout,
            seeded_defect: tier.seeded_defect,
            slow_start_limit: allowance,
            restarted: again,
            entries: self.known(t, known),
            classes: self.scenario.classes.clone(),
            seed: arrivals::hash_with_seed(self.seed, &name),
            name,
        }
    }

    /// The list of backends that a file holds.
    fn known(&self, tier: usize, known: KnownBackends) -> Vec<BackendEntry> {
        match known {
            KnownBackends::None => Vec::new(),
            KnownBackends::Old => self.first.get(&tier).cloned().unwrap_or_default(),
            KnownBackends::Now => {
                let all = (0..self.scenario.tiers[tier].backends).map(|n| self.entries[&(tier, n)].clone());
                all.filter(|entry| entry.health != "Gone").collect()
            }
        }
    }

    /// Whether a tier's proxies are told by the project's own form.
    fn is_native(&self, tier: usize) -> bool {
        self.scenario.tiers[tier].fleet.is_some_and(|fleet| fleet.members.is_some())
    }

    /// Asks the members of fleets whom they see, until it is dropped.
    fn watch(&self) -> Vec<FleetPoller> {
        let tiers = self.scenario.tiers.iter().enumerate();
        let fleets =
            tiers.filter_map(|(t, tier)| Some((t, tier, tier.fleet.filter(|f| f.members == Some(true))?)));
        let all = fleets.flat_map(|(t, tier, fleet)| {
            let one = |n| (self.name(t, 'p', n), self.address(t, 'g', n));
            let proxies: Vec<_> = (0..tier.proxies).map(one).collect();
            let some = |proxies: &[(String, SocketAddr)]| {
                FleetPoller::new(proxies.to_vec(), fleet.watch, &self.recorder)
            };
            proxies.chunks(WATCHED).map(some).collect::<Vec<_>>()
        });
        all.collect()
    }

    /// Writes the configuration of a proxy.
    fn configure(&self, place: usize, known: KnownBackends) -> Result<(), Failure> {
        let proxy = &self.proxies[place];
        let (t, n) = (proxy.tier, proxy.n);
        // What a file says of the tier is what was so when it was written.
        let there = |other: &&Process| other.tier == t && other.wanted;
        let balancers =
            self.proxies.iter().filter(there).map(|other| other.n + 1).max().unwrap_or(1).max(n + 1);
        let peer = |other: usize| self.address(t, if other == n { 'f' } else { 'w' }, other);
        let fleet = self.scenario.tiers[t].fleet;
        let talks = fleet.is_some_and(|fleet| fleet.talk) && !self.is_native(t);
        let members = fleet.filter(|fleet| fleet.members == Some(true));
        let fleet_told = members.map(|fleet| FleetTold {
            address: self.address(t, 'f', n),
            advertise: self.address(t, 'w', n),
            // Some that all know, as staff write them down.
            seeds: (0..SEEDS).map(|seed| self.address(t, 'w', seed)).collect(),
            expected: fleet.expected,
            duties: fleet.duties,
            lease: fleet.lease,
            voters: (0..fleet.voters.min(self.scenario.tiers[t].proxies))
                .map(|voter| self.address(t, 'w', voter))
                .collect(),
        });
        let peers = if talks { (0..balancers).map(peer).collect() } else { Vec::new() };
        let told = Told {
            name: &proxy.name,
            listen: proxy.address,
            agent: self.agents[&(t, n)],
            seed: arrivals::hash_with_seed(self.seed, &proxy.name),
            known: (known != KnownBackends::None).then(|| self.known(t, known)),
            balancers,
            peers,
            management: self.address(t, 'g', n),
            fleet: fleet_told,
        };
        let text = match self.is_native(t) {
            true => configuration::native(self.scenario, t, n, &told),
            false => configuration::platform(self.scenario, t, n, &told),
        };
        let could_not = |e| Failure::Environment(format!("cannot write {}: {e}", proxy.config.display()));
        fs::write(&proxy.config, text).map_err(could_not)
    }

    fn start_proxy(&mut self, place: usize, known: KnownBackends) -> Result<(), Failure> {
        let again = self.proxies[place].config.exists() || self.began;
        let (t, n) = (self.proxies[place].tier, self.proxies[place].n);
        let tier = &self.scenario.tiers[t];
        if tier.balance != Balance::Sparlug {
            let spec = Spec::Balancer(self.stand_in(t, n, again, known));
            let peer =
                ComponentHandle::spawn_process(spec, &self.options.program, &records_path(&self.options.dir));
            let parts = peer.map_err(Failure::InvalidInput)?.into_process();
            let (child, input) =
                parts.ok_or_else(|| Failure::Environment("a stand-in has no input".to_string()))?;
            let proxy = &mut self.proxies[place];
            proxy.started(child, Some(input));
            for entry in (0..tier.backends).map(|n| self.entries[&(t, n)].clone()) {
                let set = balancer::Command::Set { entry, first: true };
                proxy.tell(&Command::Balancer(set));
            }
            return Ok(());
        }
        self.configure(place, known)?;
        let proxy = &self.proxies[place];
        let log = OpenOptions::new().create(true).append(true).open(proxy.config.with_extension("log"));
        let log =
            log.map_err(|e| Failure::Environment(format!("cannot write the log of {}: {e}", proxy.name)))?;
        let mut command = Program::new(&self.options.program);
        command.args(["lab", "hold"]);
        if let Some(pin) = tier.pin {
            command.arg(format!("--pin={pin}"));
        }
        command.arg("--");
        match &tier.program {
            Some(program) if !program.exists() => {
                return Err(Failure::InvalidInput(format!(
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
        let child = child.map_err(|e| Failure::InvalidInput(format!("cannot start {}: {e}", proxy.name)))?;
        self.proxies[place].started(child, None);
        Ok(())
    }

    /// Sees what became of the proxies' processes.
    fn look(&mut self, building: bool) -> Result<(), Failure> {
        let now = At::now();
        for place in 0..self.proxies.len() {
            let became = self.proxies[place].look(now);
            let proxy = self.proxies[place].name.clone();
            match became {
                Became::Nothing => {}
                Became::Up => {
                    self.recorder.write(At::now(), RecordKind::ProxyUp { proxy: proxy.clone() });
                    if self.began && self.proxies[place].tier == 0 {
                        self.target(&proxy, true);
                    }
                }
                Became::Gone => self.start_if_wanted(place)?,
                Became::Crashed(how) if building => {
                    return Err(Failure::InvalidInput(format!("{proxy} ended at its start ({how})")));
                }
                Became::Crashed(how) => {
                    self.recorder
                        .write(At::now(), RecordKind::ProxyDown { proxy, how: format!("crash: {how}") });
                }
                Became::Late => {
                    let after = crate::process::READY;
                    return Err(Failure::Environment(format!("{proxy} is not ready after {after}")));
                }
            }
        }
        Ok(())
    }

    /// Starts what is down and is to be there, unless a fault keeps it down.
    fn start_if_wanted(&mut self, place: usize) -> Result<(), Failure> {
        let proxy = &self.proxies[place];
        let idle = matches!(proxy.life, Life::Down | Life::Absent);
        if !(idle && proxy.wanted && proxy.downs.is_empty()) {
            return Ok(());
        }
        self.start_proxy(place, proxy.known)
    }

    /// Tells callers that a proxy belongs to those that they are spread over, or no longer.
    fn target(&mut self, name: &str, up: bool) {
        let target = clients::Command::Target { name: name.to_string(), up, address: None };
        self.tell("callers", Command::Clients(target));
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
                let (name, up, address) = (entry.host, health == "Ready", Some(entry.address));
                self.tell("callers", Command::Clients(clients::Command::Target { name, up, address }));
            }
            _ => {
                for p in 0..t.proxies {
                    let set = balancer::Command::Set { entry: entry.clone(), first: false };
                    let (name, set) = (self.name(tier, 'p', p), Command::Balancer(set));
                    match self.place(&name) {
                        Some(place) => self.proxies[place].tell(&set),
                        None => self.tell(&name, set),
                    }
                }
            }
        }
    }

    fn step(&mut self, step: FaultStep) -> Result<(), Failure> {
        match step {
            FaultStep::RecordFault { text, on, kind, part } => {
                self.recorder
                    .write(At::now(), RecordKind::Fault { text, on, fault: Some(kind), befalls: part });
            }
            FaultStep::SendCommand(name, command) => self.tell(&name, command),
            FaultStep::SetHealth { tier, n, health } => self.word(tier, n, health),
            FaultStep::KillBackend(name) => {
                let killed = self.peers.get_mut(&name).is_some_and(ComponentHandle::kill);
                if killed {
                    self.recorder.named(&name).write(At::now(), RecordKind::Stopped { how: "killed".into() });
                } else {
                    self.tell(&name, Command::Backend(backend::Command::Crash));
                }
            }
            FaultStep::StartBackend { name, moved } => self.start_backend(&name, moved)?,
            FaultStep::MoveAgent { tier, n } => {
                self.agent_moves += 1;
                let mut to = self.address(tier, 'a', n);
                to.set_port(to.port() + 400 + self.agent_moves);
                let agent = format!("{}/a", self.scenario.tiers[tier].name);
                self.tell(&agent, Command::Agent(agent::Command::Move { proxy: n, to }));
                self.agents.insert((tier, n), to);
                let name = self.name(tier, 'p', n);
                if let Some(place) = self.place(&name) {
                    self.configure(place, KnownBackends::Now)?;
                    self.proxies[place].signal(Signal::HUP);
                }
            }
            FaultStep::StopProxy { proxy, kind, fault_id } => {
                let Some(place) = self.place(&proxy) else { return Ok(()) };
                let process = &mut self.proxies[place];
                process.downs.insert(fault_id);
                if process.is_running() {
                    let how = if kind == FaultKind::Kill { "kill" } else { "term" };
                    self.recorder.write(At::now(), RecordKind::ProxyDown { proxy, how: how.into() });
                    process.end(kind == FaultKind::Kill);
                }
            }
            FaultStep::RestartProxy { proxy, fault_id, known } => {
                let Some(place) = self.place(&proxy) else { return Ok(()) };
                self.proxies[place].downs.remove(&fault_id);
                self.proxies[place].known = known;
                self.start_if_wanted(place)?;
            }
            FaultStep::PauseProxy { proxy, share, fault_id } => {
                let Some(place) = self.place(&proxy) else { return Ok(()) };
                let what = self.proxies[place].halt(fault_id, share);
                what.into_iter().for_each(|what| self.recorder.write(At::now(), what));
            }
            FaultStep::ResumeProxy { proxy, fault_id } => {
                let Some(place) = self.place(&proxy) else { return Ok(()) };
                let what = self.proxies[place].go_on(fault_id);
                what.into_iter().for_each(|what| self.recorder.write(At::now(), what));
            }
            FaultStep::AddProxy { proxy } => {
                let Some(place) = self.place(&proxy) else { return Ok(()) };
                self.proxies[place].wanted = true;
                self.start_if_wanted(place)?;
            }
            FaultStep::RemoveProxy { proxy } => {
                let Some(place) = self.place(&proxy) else { return Ok(()) };
                self.proxies[place].wanted = false;
                self.target(&proxy, false);
                if self.proxies[place].is_running() {
                    self.recorder.write(At::now(), RecordKind::ProxyDown { proxy, how: "shrink".into() });
                    self.proxies[place].end(false);
                }
            }
        }
        Ok(())
    }

    fn start_backend(&mut self, name: &str, moved: bool) -> Result<(), Failure> {
        let scenario = self.scenario;
        let found = scenario.components(name);
        let Some((tier, _, n)) = found.first().copied() else { return Ok(()) };
        let address = moved.then(|| self.address(tier, 'm', n));
        if let Some(entry) = self.entries.get_mut(&(tier, n)) {
            entry.started_ms = agent::unix_ms(At::now());
            if scenario.tiers[tier].link.is_none() {
                entry.address = address.unwrap_or(entry.address);
            }
        }
        if let (Some(to), true) = (address, scenario.tiers[tier].link.is_some()) {
            self.tell(&self.name(tier, 'l', n), Command::Relay(relay::Command::SetTarget(to)));
        }
        if scenario.tiers[tier].apart {
            let mut spec = self.backend_spec(tier, n, false);
            spec.address = address.unwrap_or(spec.address);
            self.peers.remove(name);
            return self.add(Spec::Backend(Box::new(spec)), true);
        }
        self.tell(name, Command::Backend(backend::Command::Start { address, warm: false }));
        Ok(())
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
                (0..front.backends).map(|n| (self.name(0, 's', n), self.entries[&(0, n)].address)).collect()
            }
            _ => (0..front.proxies).map(|n| (self.name(0, 'p', n), self.front(n))).collect(),
        };
        let absent = scenario.initially_absent(0).into_iter().map(|n| self.name(0, 'p', n)).collect();
        // Before the start is set: it may take a while.
        let intents = arrivals::intents(scenario, self.seed);
        // Idle connections are opened first, at a pace that the backlog can take.
        let opening = Micros(scenario.client_behavior.idle as i64 * clients::IDLE_CONNECT_INTERVAL.0 * 4 / 3);
        self.start = At::now() + Micros::from_millis(150) + opening;
        let spec = clients::Spec {
            name: "callers".to_string(),
            classes: scenario.classes.clone(),
            behavior: scenario.client_behavior.clone(),
            intents,
            closed_loop_clients: scenario.load.closed,
            random_target: front.balance == Balance::Direct,
            targets,
            absent_targets: absent,
            start: self.start,
            duration: scenario.duration,
            seed: self.seed,
        };
        self.add(Spec::Clients(spec), false)?;
        self.proxies.iter_mut().for_each(Process::memory_from_here);
        let _watches = self.watch();
        let mut steps: VecDeque<_> = fault_steps::steps(scenario, &scenario.faults, 0).into();
        let mut given = scenario.faults.len();
        let last = self.start + scenario.duration + Micros::from_millis(8000);
        loop {
            if !self.began && At::now() >= self.start {
                self.began = true;
                self.proxies.iter_mut().for_each(Process::count_from_here);
            }
            if self.options.stop.load(Ordering::Relaxed) {
                return Err(Failure::Interrupted);
            }
            for mut fault in injected.iter().flat_map(|injected| injected.try_iter()) {
                fault.at = At::now().since(self.start);
                steps.extend(fault_steps::steps(scenario, &[fault], given));
                steps.make_contiguous().sort_by_key(|(at, _)| *at);
                given += 1;
            }
            while let Some((_, step)) = steps.pop_front_if(|(at, _)| self.start + *at <= At::now()) {
                self.step(step)?;
            }
            if At::now().since(self.looked) >= LOOK_EVERY {
                self.looked = At::now();
                self.look(false)?;
            }
            progress(At::now().since(self.start).secs() / scenario.duration.secs());
            let mut over = At::now() > last;
            for (name, peer) in &mut self.peers {
                if peer.has_exited() {
                    match name.as_str() {
                        "callers" => over = true,
                        // A backend's own process that was killed by the plan.
                        _ if scenario.tiers.iter().any(|tier| tier.apart) => {}
                        _ => {
                            return Err(Failure::Environment(format!("{name} ended before the run was over")))
                        }
                    }
                }
            }
            if over {
                break;
            }
            std::thread::sleep(TURN);
        }
        for what in self.proxies.iter().filter_map(Process::usage) {
            self.recorder.write(At::now(), what);
        }
        Ok(())
    }

    fn take_down(&mut self) -> Result<(), Failure> {
        for proxy in &self.proxies {
            proxy.signal(Signal::CONT);
            proxy.signal(Signal::KILL);
        }
        self.proxies.clear();
        let mut ended = Ok(());
        // ClientBehavior first, and all of them also after one has panicked.
        let mut peers = std::mem::take(&mut self.peers);
        let callers = peers.remove("callers");
        for peer in callers.into_iter().chain(peers.into_values()) {
            ended = ended.and(peer.stop().map_err(Failure::Environment));
        }
        ended
    }
}

/// Plays a scenario once. Whatever happens, nothing of it is left running.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    progress: &mut dyn FnMut(f64),
) -> Result<CompletedRun, Failure> {
    run_with(scenario, seed, options, None, progress)
}

/// The same, with faults that come while it runs.
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    injected: Option<&Receiver<Fault>>,
    progress: &mut dyn FnMut(f64),
) -> Result<CompletedRun, Failure> {
    let mut tries = 0..OTHER_ADDRESSES;
    loop {
        let again = tries.next().is_some() && options.front.is_none();
        match once(scenario, seed, options, injected, progress) {
            // Another run, or another program, has one of its addresses: nothing has been played yet.
            Err(Failure::InvalidInput(why)) if again && why.contains("Address already in use") => {}
            done => return done,
        }
    }
}

fn once(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    injected: Option<&Receiver<Fault>>,
    progress: &mut dyn FnMut(f64),
) -> Result<CompletedRun, Failure> {
    let made = fs::create_dir_all(&options.dir).and_then(|()| File::create(records_path(&options.dir)));
    made.map_err(|e| Failure::Environment(format!("cannot write to {}: {e}", options.dir.display())))?;
    let recorder = Recorder::open(&records_path(&options.dir), "lab");
    let recorder = recorder.map_err(|e| Failure::Environment(e.to_string()))?;
    let mut world = World {
        scenario,
        seed,
        options,
        recorder,
        base: base(),
        peers: BTreeMap::new(),
        proxies: Vec::new(),
        looked: At::default(),
        entries: BTreeMap::new(),
        first: BTreeMap::new(),
        agents: BTreeMap::new(),
        agent_moves: 0,
        began: false,
        start: At::now(),
    };
    let played = world.build().and_then(|()| world.play(injected, progress));
    let down = world.take_down();
    let (start, duration) = (world.start, scenario.duration);
    played.and(down)?;
    Ok(CompletedRun { dir: options.dir.clone(), start, duration })
}

/// A part of loopback that no other run on this machine uses.
fn base() -> (u8, u8, u16) {
    static WORLDS: AtomicU32 = AtomicU32::new(0);
    let world = WORLDS.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    (64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, 5000 + (world % 25) as u16 * 1000)
}

/// Where a run's records, configurations and logs are, below the folder of all.
pub fn run_dir(out: &Path, variant: &str, seed: u64) -> PathBuf {
    out.join(format!("{}-{seed}", variant.replace(['/', ' '], "-")))
}

pub fn records_path(dir: &Path) -> PathBuf {
    dir.join("records.jsonl")
}
