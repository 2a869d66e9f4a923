//! One run of a scenario: starts the deployment, applies the load and the faults, and stops everything.

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
use crate::clock::{Micros, Timestamp};
use crate::component::{Command, ComponentHandle, Spec};
use crate::configuration::{self, FleetSettings, ProxySettings};
use crate::deployment::zone;
use crate::fault_steps::{self, FaultStep};
use crate::fleet_poller::FleetPoller;
use crate::process::{Process, ProcessState, StateChange};
use crate::record::{RecordKind, Recorder};
use crate::scenario::{Balance, Fault, FaultKind, KnownBackends, Scenario, Tier};
use crate::{arrivals, balancer, clients, peer_network, relay};

const LOOP_INTERVAL: Duration = Duration::from_millis(2);
const PROCESS_CHECK_INTERVAL: Micros = Micros::from_millis(4);
/// How many other address ranges are tried when an address is in use.
const ADDRESS_RETRIES: usize = 3;
const SEED_MEMBERS: usize = 3;
const PROXIES_PER_POLLER: usize = 8; // polled by one thread, one after another
/// Index of an address that belongs to no proxy.
const UNKNOWN_SENDER_INDEX: usize = MAX_COMPONENTS_PER_KIND;
const IPS_PER_RUN: usize = 250; // each kind of component has `PORTS_PER_KIND` ports on each
const PORTS_PER_KIND: u16 = 5;
/// Components of one kind in a tier; the last address is the one that belongs to no proxy.
pub const MAX_COMPONENTS_PER_KIND: usize = IPS_PER_RUN * PORTS_PER_KIND as usize - 1;

/// Why a run failed; decides the exit status.
#[derive(Debug)]
pub enum Failure {
    /// An error of the machine or of a program: status 1.
    Environment(String),
    /// The request can't be carried out as given: status 2.
    InvalidInput(String),
    Interrupted,
}

#[derive(Clone)]
pub struct Options {
    /// The `sparlug` program: hosts components in processes of their own, and is the proxy unless a tier
    /// names another.
    pub program: PathBuf,
    /// Directory for records, configurations and logs.
    pub dir: PathBuf,
    pub stop: Arc<AtomicBool>,
    /// Listen address of the first proxy of the first tier; by default an address of the run's own range.
    pub first_proxy_address: Option<SocketAddr>,
}

/// The results of a completed run.
#[derive(Clone, Debug)]
pub struct CompletedRun {
    pub dir: PathBuf,
    pub start: Timestamp,
    pub duration: Micros,
}

struct ScenarioRun<'a> {
    scenario: &'a Scenario,
    seed: u64,
    options: &'a Options,
    recorder: Recorder,
    address_base: (u8, u8, u16),
    components: BTreeMap<String, ComponentHandle>,
    proxies: Vec<Process>,
    last_process_check: Timestamp,
    entries: BTreeMap<(usize, usize), BackendEntry>,
    /// The list of backends at the start of the run, by tier.
    initial_entries: BTreeMap<usize, Vec<BackendEntry>>,
    /// The address of each proxy's agent.
    agent_addresses: BTreeMap<(usize, usize), SocketAddr>,
    agent_moves: u16,
    load_started: bool,
    start: Timestamp,
}

impl ScenarioRun<'_> {
    /// Each component has an address of its own, different from those of other runs on this machine.
    fn address(&self, tier: usize, letter: char, n: usize) -> SocketAddr {
        if let (Some(address), (0, 'p', 0)) = (self.options.first_proxy_address, (tier, letter, n)) {
            return address;
        }
        let (a, b, port) = self.address_base;
        let kind = "spalcmwfg".find(letter).unwrap_or(0) as u16;
        let ip = Ipv4Addr::new(127, a, b, (n % IPS_PER_RUN + 1) as u8);
        SocketAddr::new(
            IpAddr::V4(ip),
            port + tier as u16 * 50 + kind * PORTS_PER_KIND + (n / IPS_PER_RUN) as u16,
        )
    }

    fn name(&self, tier: usize, letter: char, n: usize) -> String {
        if letter == 'k' {
            return "callers".to_string();
        }
        format!("{}/{letter}-{n}", self.scenario.tiers[tier].name)
    }

    /// The address at which clients reach a proxy of the first tier.
    fn client_address(&self, n: usize) -> SocketAddr {
        self.address(0, if self.scenario.client_behavior.link.is_some() { 'c' } else { 'p' }, n)
    }

    fn backend_spec(&self, tier: usize, n: usize, warm: bool) -> backend::Spec {
        let t = &self.scenario.tiers[tier];
        let next_tier = self.scenario.tiers.get(tier + 1).filter(|_| t.calls[1] > 0);
        let next_tier = next_tier.map(|b| {
            let p = n % b.proxies;
            (self.name(tier + 1, 'p', p), self.address(tier + 1, 'p', p))
        });
        backend::Spec {
            name: self.name(tier, 's', n),
            tier: Tier { cores: t.core_count(n), ..t.clone() },
            classes: self.scenario.classes.clone(),
            address: self.address(tier, 's', n),
            next_tier,
            seed: arrivals::hash_with_seed(self.seed, &t.name),
            warm,
        }
    }

    fn start_component(&mut self, spec: Spec, own_process: bool) -> Result<(), Failure> {
        let records = records_path(&self.options.dir);
        let component = match own_process {
            true => ComponentHandle::spawn_process(spec, &self.options.program, &records),
            false => ComponentHandle::spawn_thread(spec, &self.recorder),
        };
        let component = component.map_err(Failure::InvalidInput)?;
        self.components.insert(component.name.clone(), component);
        Ok(())
    }

    fn send(&mut self, name: &str, command: Command) {
        if let Some(component) = self.components.get_mut(name) {
            component.send(command);
        }
    }

    fn start_deployment(&mut self) -> Result<(), Failure> {
        for (t, tier) in self.scenario.tiers.iter().enumerate() {
            for n in 0..tier.backends {
                self.start_component(
                    Spec::Backend(Box::new(self.backend_spec(t, n, true))),
                    tier.own_process,
                )?;
                let mut address = self.address(t, 's', n);
                if let Some(link) = tier.link {
                    let (name, listen) = (self.name(t, 'l', n), self.address(t, 'l', n));
                    let seed = arrivals::hash_with_seed(self.seed, &name);
                    self.start_component(
                        Spec::Relay(relay::Spec { name, listen, to: address, link, seed }),
                        false,
                    )?;
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
                let agent = |n| (self.name(t, 'p', n), self.address(t, 'a', n));
                let listen = (0..tier.proxies).map(agent).collect();
                let name = format!("{}/a", tier.name);
                let entries = entries.clone();
                self.start_component(
                    Spec::Agent(agent::Spec { name, listen, entries, lag: tier.discovery_lag }),
                    false,
                )?;
            }
            self.initial_entries.insert(t, entries);
            if let Some(fleet) = tier.fleet {
                let endpoint = |n| peer_network::ProxyEndpoint {
                    proxy: self.name(t, 'p', n),
                    address: self.address(t, 'f', n),
                    advertised: self.address(t, 'w', n),
                };
                let (name, endpoints) =
                    (format!("{}/w", tier.name), (0..tier.proxies).map(endpoint).collect());
                let (unknown_sender, seed) =
                    (self.address(t, 'w', UNKNOWN_SENDER_INDEX), arrivals::hash_with_seed(self.seed, &name));
                self.start_component(
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
                        self.start_component(
                            Spec::Relay(relay::Spec { name, listen, to, link, seed }),
                            false,
                        )?;
                    }
                }
                if self.scenario.has_processes(t) {
                    let extension = if self.uses_native_config(t) { "toml" } else { "json" };
                    let config = self.options.dir.join(format!("{}-p-{n}.{extension}", tier.name));
                    let (name, address) = (self.name(t, 'p', n), self.address(t, 'p', n));
                    self.agent_addresses.insert((t, n), self.address(t, 'a', n));
                    // Checks that the address is free: another program that listens on it would answer in the
                    // proxy's place.
                    let listener = std::net::TcpListener::bind(address);
                    listener.map_err(|e| {
                        Failure::InvalidInput(format!("{name} cannot listen on {address}: {e}"))
                    })?;
                    let mut process = Process::new(name, (t, n), address, config);
                    process.deployed = !absent.contains(&n);
                    self.proxies.push(process);
                } else if tier.balance != Balance::Direct {
                    self.start_component(
                        Spec::Balancer(self.baseline_spec(t, n, false, KnownBackends::Old)),
                        false,
                    )?;
                }
            }
        }
        for index in 0..self.proxies.len() {
            if self.proxies[index].deployed {
                self.start_proxy(index, KnownBackends::Old)?;
            }
        }
        while self.proxies.iter().any(|proxy| matches!(proxy.state, ProcessState::Starting(_))) {
            self.check_processes(true)?;
            if self.options.stop.load(Ordering::Relaxed) {
                return Err(Failure::Interrupted);
            }
            std::thread::sleep(LOOP_INTERVAL);
        }
        Ok(())
    }

    fn baseline_spec(&self, t: usize, n: usize, restarted: bool, known: KnownBackends) -> balancer::Spec {
        let tier = &self.scenario.tiers[t];
        let name = self.name(t, 'p', n);
        let cold_capacity = tier.fall_window_capacity(tier.cores, Micros::ZERO);
        // 0.8 of the threshold, so that one stand-in alone never makes a backend fall over.
        let slow_start_limit = ((tier.fall_threshold(cold_capacity) * 0.8) as usize, tier.fall_window);
        balancer::Spec {
            listen: self.address(t, 'p', n),
            balance: tier.balance,
            max_attempts: tier.baseline_max_attempts,
            attempt_timeout: tier.baseline_attempt_timeout,
            seeded_defect: tier.seeded_defect,
            slow_start_limit,
            restarted,
            entries: self.known_entries(t, known),
            classes: self.scenario.classes.clone(),
            seed: arrivals::hash_with_seed(self.seed, &name),
            name,
        }
    }

    /// The list of backends that a proxy's configuration file holds.
    fn known_entries(&self, tier: usize, known: KnownBackends) -> Vec<BackendEntry> {
        match known {
            KnownBackends::None => Vec::new(),
            KnownBackends::Old => self.initial_entries.get(&tier).cloned().unwrap_or_default(),
            KnownBackends::Now => {
                let all = (0..self.scenario.tiers[tier].backends).map(|n| self.entries[&(tier, n)].clone());
                all.filter(|entry| entry.health != "Gone").collect()
            }
        }
    }

    /// Whether a tier's proxies are configured in the native format.
    fn uses_native_config(&self, tier: usize) -> bool {
        self.scenario.tiers[tier].fleet.is_some_and(|fleet| fleet.members.is_some())
    }

    /// Starts polling the views of the members of fleets; polling ends when the pollers are dropped.
    fn start_fleet_pollers(&self) -> Vec<FleetPoller> {
        let tiers = self.scenario.tiers.iter().enumerate();
        let fleets =
            tiers.filter_map(|(t, tier)| Some((t, tier, tier.fleet.filter(|f| f.members == Some(true))?)));
        let all = fleets.flat_map(|(t, tier, fleet)| {
            let management_address = |n| (self.name(t, 'p', n), self.address(t, 'g', n));
            let proxies: Vec<_> = (0..tier.proxies).map(management_address).collect();
            let poller = |proxies: &[(String, SocketAddr)]| {
                FleetPoller::new(proxies.to_vec(), fleet.watch, &self.recorder)
            };
            proxies.chunks(PROXIES_PER_POLLER).map(poller).collect::<Vec<_>>()
        });
        all.collect()
    }

    /// Writes the configuration of a proxy.
    fn write_config(&self, index: usize, known: KnownBackends) -> Result<(), Failure> {
        let proxy = &self.proxies[index];
        let (t, n) = (proxy.tier, proxy.index);
        // The file states the number of proxies at the time of writing.
        let deployed = |other: &&Process| other.tier == t && other.deployed;
        let balancers =
            self.proxies.iter().filter(deployed).map(|other| other.index + 1).max().unwrap_or(1).max(n + 1);
        let peer = |other: usize| self.address(t, if other == n { 'f' } else { 'w' }, other);
        let fleet = self.scenario.tiers[t].fleet;
        let uses_peer_messages = fleet.is_some_and(|fleet| fleet.talk) && !self.uses_native_config(t);
        let members = fleet.filter(|fleet| fleet.members == Some(true));
        let fleet_settings = members.map(|fleet| FleetSettings {
            address: self.address(t, 'f', n),
            advertise: self.address(t, 'w', n),
            // The same first members for all proxies, as operators configure them.
            seeds: (0..SEED_MEMBERS).map(|seed| self.address(t, 'w', seed)).collect(),
            expected: fleet.expected,
            duties: fleet.duties,
            lease: fleet.lease,
            voters: (0..fleet.voters.min(self.scenario.tiers[t].proxies))
                .map(|voter| self.address(t, 'w', voter))
                .collect(),
        });
        let peers = if uses_peer_messages { (0..balancers).map(peer).collect() } else { Vec::new() };
        let settings = ProxySettings {
            name: &proxy.name,
            listen: proxy.address,
            agent: self.agent_addresses[&(t, n)],
            seed: arrivals::hash_with_seed(self.seed, &proxy.name),
            known: (known != KnownBackends::None).then(|| self.known_entries(t, known)),
            balancers,
            peers,
            management: self.address(t, 'g', n),
            fleet: fleet_settings,
        };
        let text = match self.uses_native_config(t) {
            true => configuration::native(self.scenario, t, n, &settings),
            false => configuration::platform(self.scenario, t, n, &settings),
        };
        let could_not = |e| Failure::Environment(format!("cannot write {}: {e}", proxy.config.display()));
        fs::write(&proxy.config, text).map_err(could_not)
    }

    fn start_proxy(&mut self, index: usize, known: KnownBackends) -> Result<(), Failure> {
        let restarted = self.proxies[index].config.exists() || self.load_started;
        let (t, n) = (self.proxies[index].tier, self.proxies[index].index);
        let tier = &self.scenario.tiers[t];
        if tier.balance != Balance::Sparlug {
            let spec = Spec::Balancer(self.baseline_spec(t, n, restarted, known));
            let component =
                ComponentHandle::spawn_process(spec, &self.options.program, &records_path(&self.options.dir));
            let process = component.map_err(Failure::InvalidInput)?.into_process();
            let (child, input) = process.ok_or_else(|| {
                Failure::Environment("a stand-in balancer's process has no standard input".to_string())
            })?;
            let proxy = &mut self.proxies[index];
            proxy.set_started(child, Some(input));
            for entry in (0..tier.backends).map(|n| self.entries[&(t, n)].clone()) {
                let set = balancer::Command::Set { entry, first: true };
                proxy.send_command(&Command::Balancer(set));
            }
            return Ok(());
        }
        self.write_config(index, known)?;
        let proxy = &self.proxies[index];
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
        self.proxies[index].set_started(child, None);
        Ok(())
    }

    /// Checks the proxies' processes and handles what changed. A crash while the deployment starts up ends
    /// the run.
    fn check_processes(&mut self, starting_up: bool) -> Result<(), Failure> {
        let now = Timestamp::now();
        for index in 0..self.proxies.len() {
            let change = self.proxies[index].poll(now);
            let proxy = self.proxies[index].name.clone();
            match change {
                StateChange::Unchanged => {}
                StateChange::Ready => {
                    self.recorder.write(Timestamp::now(), RecordKind::ProxyUp { proxy: proxy.clone() });
                    if self.load_started && self.proxies[index].tier == 0 {
                        self.set_client_target(&proxy, true);
                    }
                }
                StateChange::Stopped => self.start_if_deployed(index)?,
                StateChange::Crashed(how) if starting_up => {
                    return Err(Failure::InvalidInput(format!("{proxy} ended at its start ({how})")));
                }
                StateChange::Crashed(how) => {
                    self.recorder.write(
                        Timestamp::now(),
                        RecordKind::ProxyDown { proxy, how: format!("crash: {how}") },
                    );
                }
                StateChange::StartTimedOut => {
                    let after = crate::process::START_TIMEOUT;
                    return Err(Failure::Environment(format!("{proxy} is not ready after {after}")));
                }
            }
        }
        Ok(())
    }

    /// Starts a stopped proxy if it is part of the deployment and no fault keeps it stopped.
    fn start_if_deployed(&mut self, index: usize) -> Result<(), Failure> {
        let proxy = &self.proxies[index];
        let idle = matches!(proxy.state, ProcessState::Stopped | ProcessState::NotDeployed);
        if !(idle && proxy.deployed && proxy.stop_faults.is_empty()) {
            return Ok(());
        }
        self.start_proxy(index, proxy.known_backends)
    }

    /// Tells the clients to send requests to a proxy, or to stop doing so.
    fn set_client_target(&mut self, name: &str, up: bool) {
        let target = clients::Command::Target { name: name.to_string(), up, address: None };
        self.send("callers", Command::Clients(target));
    }

    fn proxy_index(&self, name: &str) -> Option<usize> {
        self.proxies.iter().position(|proxy| proxy.name == name)
    }

    /// Publishes a backend's health to whatever balances this tier: agent, clients or stand-ins.
    fn set_backend_health(&mut self, tier: usize, n: usize, health: &str) {
        let scenario = self.scenario;
        let t = &scenario.tiers[tier];
        let Some(entry) = self.entries.get_mut(&(tier, n)) else { return };
        entry.health = health.to_string();
        let entry = entry.clone();
        match t.balance {
            Balance::Sparlug => {
                self.send(&format!("{}/a", t.name), Command::Agent(agent::Command::Set(entry)));
            }
            Balance::Direct => {
                let (name, up, address) = (entry.host, health == "Ready", Some(entry.address));
                self.send("callers", Command::Clients(clients::Command::Target { name, up, address }));
            }
            _ => {
                for p in 0..t.proxies {
                    let set = balancer::Command::Set { entry: entry.clone(), first: false };
                    let (name, set) = (self.name(tier, 'p', p), Command::Balancer(set));
                    match self.proxy_index(&name) {
                        Some(index) => self.proxies[index].send_command(&set),
                        None => self.send(&name, set),
                    }
                }
            }
        }
    }

    fn apply_step(&mut self, step: FaultStep) -> Result<(), Failure> {
        match step {
            FaultStep::RecordFault { text, on, kind, affected } => {
                self.recorder
                    .write(Timestamp::now(), RecordKind::Fault { text, on, fault: Some(kind), affected });
            }
            FaultStep::SendCommand(name, command) => self.send(&name, command),
            FaultStep::SetHealth { tier, n, health } => self.set_backend_health(tier, n, health),
            FaultStep::KillBackend(name) => {
                let killed = self.components.get_mut(&name).is_some_and(ComponentHandle::kill);
                if killed {
                    self.recorder
                        .named(&name)
                        .write(Timestamp::now(), RecordKind::Stopped { how: "killed".into() });
                } else {
                    self.send(&name, Command::Backend(backend::Command::Crash));
                }
            }
            FaultStep::StartBackend { name, moved } => self.start_backend(&name, moved)?,
            FaultStep::MoveAgent { tier, n } => {
                self.agent_moves += 1;
                let mut to = self.address(tier, 'a', n);
                to.set_port(to.port() + 400 + self.agent_moves);
                let agent = format!("{}/a", self.scenario.tiers[tier].name);
                self.send(&agent, Command::Agent(agent::Command::Move { proxy: n, to }));
                self.agent_addresses.insert((tier, n), to);
                let name = self.name(tier, 'p', n);
                if let Some(index) = self.proxy_index(&name) {
                    self.write_config(index, KnownBackends::Now)?;
                    self.proxies[index].signal(Signal::HUP);
                }
            }
            FaultStep::StopProxy { proxy, kind, fault_id } => {
                let Some(index) = self.proxy_index(&proxy) else { return Ok(()) };
                let process = &mut self.proxies[index];
                process.stop_faults.insert(fault_id);
                if process.is_running() {
                    let how = if kind == FaultKind::Kill { "kill" } else { "term" };
                    self.recorder.write(Timestamp::now(), RecordKind::ProxyDown { proxy, how: how.into() });
                    process.stop(kind == FaultKind::Kill);
                }
            }
            FaultStep::RestartProxy { proxy, fault_id, known } => {
                let Some(index) = self.proxy_index(&proxy) else { return Ok(()) };
                self.proxies[index].stop_faults.remove(&fault_id);
                self.proxies[index].known_backends = known;
                self.start_if_deployed(index)?;
            }
            FaultStep::PauseProxy { proxy, share, fault_id } => {
                let Some(index) = self.proxy_index(&proxy) else { return Ok(()) };
                let what = self.proxies[index].pause(fault_id, share);
                what.into_iter().for_each(|what| self.recorder.write(Timestamp::now(), what));
            }
            FaultStep::ResumeProxy { proxy, fault_id } => {
                let Some(index) = self.proxy_index(&proxy) else { return Ok(()) };
                let what = self.proxies[index].resume(fault_id);
                what.into_iter().for_each(|what| self.recorder.write(Timestamp::now(), what));
            }
            FaultStep::AddProxy { proxy } => {
                let Some(index) = self.proxy_index(&proxy) else { return Ok(()) };
                self.proxies[index].deployed = true;
                self.start_if_deployed(index)?;
            }
            FaultStep::RemoveProxy { proxy } => {
                let Some(index) = self.proxy_index(&proxy) else { return Ok(()) };
                self.proxies[index].deployed = false;
                self.set_client_target(&proxy, false);
                if self.proxies[index].is_running() {
                    self.recorder
                        .write(Timestamp::now(), RecordKind::ProxyDown { proxy, how: "shrink".into() });
                    self.proxies[index].stop(false);
                }
            }
        }
        Ok(())
    }

    fn start_backend(&mut self, name: &str, moved: bool) -> Result<(), Failure> {
        let scenario = self.scenario;
        let components = scenario.components(name);
        let Some((tier, _, n)) = components.first().copied() else { return Ok(()) };
        let address = moved.then(|| self.address(tier, 'm', n));
        if let Some(entry) = self.entries.get_mut(&(tier, n)) {
            entry.started_ms = agent::unix_ms(Timestamp::now());
            if scenario.tiers[tier].link.is_none() {
                entry.address = address.unwrap_or(entry.address);
            }
        }
        if let (Some(to), true) = (address, scenario.tiers[tier].link.is_some()) {
            self.send(&self.name(tier, 'l', n), Command::Relay(relay::Command::SetTarget(to)));
        }
        if scenario.tiers[tier].own_process {
            let mut spec = self.backend_spec(tier, n, false);
            spec.address = address.unwrap_or(spec.address);
            self.components.remove(name);
            return self.start_component(Spec::Backend(Box::new(spec)), true);
        }
        self.send(name, Command::Backend(backend::Command::Start { address, warm: false }));
        Ok(())
    }

    fn play(
        &mut self,
        injected: Option<&Receiver<Fault>>,
        progress: &mut dyn FnMut(f64),
    ) -> Result<(), Failure> {
        let scenario = self.scenario;
        let first_tier = &scenario.tiers[0];
        let targets = match first_tier.balance {
            Balance::Direct => (0..first_tier.backends)
                .map(|n| (self.name(0, 's', n), self.entries[&(0, n)].address))
                .collect(),
            _ => (0..first_tier.proxies).map(|n| (self.name(0, 'p', n), self.client_address(n))).collect(),
        };
        let absent = scenario.initially_absent(0).into_iter().map(|n| self.name(0, 'p', n)).collect();
        // Drawn before the start time is set, since drawing may take a while.
        let intents = arrivals::intents(scenario, self.seed);
        // Idle connections are opened first, at a pace that the listen backlog can take.
        let opening = Micros(scenario.client_behavior.idle as i64 * clients::IDLE_CONNECT_INTERVAL.0 * 4 / 3);
        self.start = Timestamp::now() + Micros::from_millis(150) + opening;
        let spec = clients::Spec {
            name: "callers".to_string(),
            classes: scenario.classes.clone(),
            behavior: scenario.client_behavior.clone(),
            intents,
            closed_loop_clients: scenario.load.closed,
            random_target: first_tier.balance == Balance::Direct,
            targets,
            absent_targets: absent,
            start: self.start,
            duration: scenario.duration,
            seed: self.seed,
        };
        self.start_component(Spec::Clients(spec), false)?;
        self.proxies.iter_mut().for_each(Process::reset_memory);
        let _watches = self.start_fleet_pollers();
        let mut steps: VecDeque<_> = fault_steps::steps(scenario, &scenario.faults, 0).into();
        let mut fault_count = scenario.faults.len();
        let last = self.start + scenario.duration + Micros::from_millis(8000);
        loop {
            if !self.load_started && Timestamp::now() >= self.start {
                self.load_started = true;
                self.proxies.iter_mut().for_each(Process::reset_usage);
            }
            if self.options.stop.load(Ordering::Relaxed) {
                return Err(Failure::Interrupted);
            }
            for mut fault in injected.iter().flat_map(|injected| injected.try_iter()) {
                fault.at = Timestamp::now().since(self.start);
                steps.extend(fault_steps::steps(scenario, &[fault], fault_count));
                steps.make_contiguous().sort_by_key(|(at, _)| *at);
                fault_count += 1;
            }
            while let Some((_, step)) = steps.pop_front_if(|(at, _)| self.start + *at <= Timestamp::now()) {
                self.apply_step(step)?;
            }
            if Timestamp::now().since(self.last_process_check) >= PROCESS_CHECK_INTERVAL {
                self.last_process_check = Timestamp::now();
                self.check_processes(false)?;
            }
            progress(Timestamp::now().since(self.start).secs() / scenario.duration.secs());
            let mut finished = Timestamp::now() > last;
            for (name, component) in &mut self.components {
                if component.has_exited() {
                    match name.as_str() {
                        "callers" => finished = true,
                        // A fault killed the process of a backend that has its own.
                        _ if scenario.tiers.iter().any(|tier| tier.own_process) => {}
                        _ => {
                            return Err(Failure::Environment(format!("{name} ended before the run was over")))
                        }
                    }
                }
            }
            if finished {
                break;
            }
            std::thread::sleep(LOOP_INTERVAL);
        }
        for what in self.proxies.iter().filter_map(Process::usage) {
            self.recorder.write(Timestamp::now(), what);
        }
        Ok(())
    }

    fn stop_all(&mut self) -> Result<(), Failure> {
        for proxy in &self.proxies {
            proxy.signal(Signal::CONT);
            proxy.signal(Signal::KILL);
        }
        self.proxies.clear();
        let mut result = Ok(());
        // Clients first; all components are stopped even if one has panicked.
        let mut components = std::mem::take(&mut self.components);
        let clients = components.remove("callers");
        for component in clients.into_iter().chain(components.into_values()) {
            result = result.and(component.stop().map_err(Failure::Environment));
        }
        result
    }
}

/// Plays a scenario once. All its processes are stopped, also after an error.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    progress: &mut dyn FnMut(f64),
) -> Result<CompletedRun, Failure> {
    run_with(scenario, seed, options, None, progress)
}

/// As `run`, with faults that are injected during the run.
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    injected: Option<&Receiver<Fault>>,
    progress: &mut dyn FnMut(f64),
) -> Result<CompletedRun, Failure> {
    let mut retries = 0..ADDRESS_RETRIES;
    loop {
        let may_retry = retries.next().is_some() && options.first_proxy_address.is_none();
        match run_once(scenario, seed, options, injected, progress) {
            // Another run or program uses one of the addresses; no load has been played yet.
            Err(Failure::InvalidInput(why)) if may_retry && why.contains("Address already in use") => {}
            done => return done,
        }
    }
}

fn run_once(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    injected: Option<&Receiver<Fault>>,
    progress: &mut dyn FnMut(f64),
) -> Result<CompletedRun, Failure> {
    let created = fs::create_dir_all(&options.dir).and_then(|()| File::create(records_path(&options.dir)));
    created.map_err(|e| Failure::Environment(format!("cannot write to {}: {e}", options.dir.display())))?;
    let recorder = Recorder::open(&records_path(&options.dir), "lab");
    let recorder = recorder.map_err(|e| Failure::Environment(e.to_string()))?;
    let mut run = ScenarioRun {
        scenario,
        seed,
        options,
        recorder,
        address_base: address_base(),
        components: BTreeMap::new(),
        proxies: Vec::new(),
        last_process_check: Timestamp::default(),
        entries: BTreeMap::new(),
        initial_entries: BTreeMap::new(),
        agent_addresses: BTreeMap::new(),
        agent_moves: 0,
        load_started: false,
        start: Timestamp::now(),
    };
    let result = run.start_deployment().and_then(|()| run.play(injected, progress));
    let stopped = run.stop_all();
    let (start, duration) = (run.start, scenario.duration);
    result.and(stopped)?;
    Ok(CompletedRun { dir: options.dir.clone(), start, duration })
}

/// The loopback network and first port of a run; other runs on this machine use others.
fn address_base() -> (u8, u8, u16) {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    (64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, 5000 + (run % 25) as u16 * 1000)
}

/// Directory of a run's records, configurations and logs, below that of all runs.
pub fn run_dir(out: &Path, variant: &str, seed: u64) -> PathBuf {
    out.join(format!("{}-{seed}", variant.replace(['/', ' '], "-")))
}

pub fn records_path(dir: &Path) -> PathBuf {
    dir.join("records.jsonl")
}
