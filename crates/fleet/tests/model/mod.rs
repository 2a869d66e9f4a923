//! A simulated network, driven by a seed: members with their own clocks, message loss, delay and duplication,
//! blocked paths, and members that are frozen, killed and restarted.

#![allow(dead_code)] // each test file uses a part of it

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use oorandom::Rand32;
use sparlug::time::{Span, Time};
use sparlug_fleet::membership::{Action, Event, Membership, SeededDefect, Settings};
use sparlug_fleet::wire::{MemberState, MAX_DATAGRAM_BYTES};

/// Microseconds of the simulation's clock.
pub type Micros = i64;

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;

enum SimEvent {
    Deliver(SocketAddr, SocketAddr, Vec<u8>),
    Timer(usize, u32),
    Resume(usize),
}

pub struct Node {
    pub membership: Membership,
    /// Where it is reached; also its advertised address, unless a test makes it advertise another one.
    pub address: SocketAddr,
    pub running: bool,
    pub frozen_until: Micros,
    /// Datagrams received while it is frozen, with their source addresses.
    buffered: Vec<(SocketAddr, Vec<u8>)>,
    /// Its clock: the time it shows at simulation time 0, and how much faster it runs.
    clock_offset_ms: f64,
    clock_drift: f64,
    /// Incremented by each start and kill, so that timers of an earlier process are ignored.
    epoch: u32,
    timer_at: Option<Time>,
    pub sent: u64,
    pub sent_bytes: u64,
    pub log: Vec<String>,
}

pub struct Simulation {
    pub now: Micros,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, SimEvent>,
    events_pushed: usize,
    pub rng: Rand32,
    pub loss: f64,
    pub delay: (Micros, Micros),
    pub duplicate: f64,
    /// Paths on which all messages are lost, as (sender, receiver).
    pub blocked_paths: BTreeSet<(usize, usize)>,
    pub seeded_defect: Option<SeededDefect>,
    pub expected: Option<usize>,
    by_address: BTreeMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250 + 1) as u8], 7100))
}

impl Simulation {
    pub fn new(seed: u64, seeded_defect: Option<SeededDefect>) -> Simulation {
        Simulation {
            now: 0,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            events_pushed: 0,
            rng: Rand32::new(seed),
            loss: 0.0,
            delay: (MS / 5, MS),
            duplicate: 0.0,
            blocked_paths: BTreeSet::new(),
            seeded_defect,
            expected: None,
            by_address: BTreeMap::new(),
            seeds: vec![address(0), address(1), address(2)],
        }
    }

    pub fn random_fraction(&mut self) -> f64 {
        self.rng.rand_float().into()
    }

    pub fn random_below(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below.max(1) as u32) as usize
    }

    fn settings(&self, n: usize) -> Settings {
        Settings {
            fleet: "blue".into(),
            name: format!("p-{n:04}"),
            address: address(n),
            zone: "a".into(),
            seeds: self.seeds.clone(),
            expected: self.expected,
            instances: 1,
            seeded_defect: self.seeded_defect,
        }
    }

    /// Adds and starts a new process.
    pub fn add(&mut self) -> usize {
        let n = self.nodes.len();
        let (clock_offset_ms, clock_drift) =
            (1e12 + self.random_fraction() * 1e6, (self.random_fraction() - 0.5) * 0.02);
        let membership = Membership::new(self.settings(n), 0, Time::ORIGIN);
        let (buffered, log) = Default::default();
        self.by_address.insert(address(n), n);
        self.nodes.push(Node {
            membership,
            address: address(n),
            running: false,
            frozen_until: 0,
            buffered,
            clock_offset_ms,
            clock_drift,
            epoch: 0,
            timer_at: None,
            sent: 0,
            sent_bytes: 0,
            log,
        });
        self.start(n);
        n
    }

    /// Adds another process with the name of `target`, at its own address.
    pub fn add_namesake(&mut self, target: usize, address_index: usize) -> usize {
        let settings = Settings { address: address(address_index), ..self.settings(target) };
        self.add_with_settings(settings, address_index, 2e6)
    }

    /// Adds a process that is reached at the address of `address_index`, but advertises that of `target`. Its
    /// clock is ahead by `ahead_ms`, which makes it the younger process, or if negative the older one.
    pub fn add_with_address_of(&mut self, target: usize, address_index: usize, ahead_ms: f64) -> usize {
        let settings = Settings { address: address(target), ..self.settings(address_index) };
        self.add_with_settings(settings, address_index, ahead_ms)
    }

    fn add_with_settings(&mut self, settings: Settings, address_index: usize, ahead_ms: f64) -> usize {
        let n = self.add();
        self.kill(n);
        self.by_address.remove(&self.nodes[n].address);
        self.nodes[n].address = address(address_index);
        self.by_address.insert(address(address_index), n);
        self.nodes[n].clock_offset_ms += ahead_ms;
        let now = self.local_time(n);
        let node = &mut self.nodes[n];
        (node.membership, node.running, node.epoch) =
            (Membership::new(settings, 77, now), true, node.epoch + 1);
        self.handle(n, Event::Start);
        n
    }

    pub fn start(&mut self, n: usize) {
        let (seed, settings, now) = (u64::from(self.rng.rand_u32()), self.settings(n), self.local_time(n));
        let node = &mut self.nodes[n];
        (node.membership, node.running, node.frozen_until, node.timer_at) =
            (Membership::new(settings, seed, now), true, 0, None);
        node.buffered.clear();
        node.epoch += 1;
        self.handle(n, Event::Start);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].running = false;
        self.nodes[n].epoch += 1;
    }

    pub fn leave(&mut self, n: usize) {
        self.handle(n, Event::Leave);
    }

    pub fn freeze(&mut self, n: usize, duration: Micros) {
        self.nodes[n].frozen_until = self.now + duration;
        self.push(self.now + duration, SimEvent::Resume(n));
    }

    /// Blocks all paths between these sides, in one direction or both.
    pub fn partition(&mut self, sides: &[Vec<usize>], one_way: bool) {
        for (i, a) in sides.iter().enumerate() {
            for (j, b) in sides.iter().enumerate().filter(|(j, _)| *j != i) {
                if !one_way || i < j {
                    self.blocked_paths.extend(a.iter().flat_map(|a| b.iter().map(move |b| (*a, *b))));
                }
            }
        }
    }

    fn local_time(&self, n: usize) -> Time {
        let node = &self.nodes[n];
        Time::from_ms(node.clock_offset_ms + self.now as f64 / 1000.0 * (1.0 + node.clock_drift))
    }

    fn sim_time(&self, n: usize, at: Time) -> Micros {
        let node = &self.nodes[n];
        let local_ms = at.since(Time::ORIGIN).ms() - node.clock_offset_ms;
        // Rounded up, so that the timer never fires early by the node's own clock.
        (local_ms * 1000.0 / (1.0 + node.clock_drift)).ceil() as Micros + 2
    }

    fn push(&mut self, at: Micros, event: SimEvent) {
        self.events_pushed += 1;
        self.events.insert(self.events_pushed, event);
        self.queue.push(Reverse((at.max(self.now), self.events_pushed as u64, self.events_pushed)));
    }

    pub fn handle(&mut self, n: usize, event: Event) {
        let (now, mut actions) = (self.local_time(n), Vec::new());
        self.nodes[n].membership.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.transmit(n, to, bytes),
                Action::SetTimer(at) => {
                    self.nodes[n].timer_at = Some(at);
                    let (due, epoch) = (self.sim_time(n, at), self.nodes[n].epoch);
                    self.push(due, SimEvent::Timer(n, epoch));
                }
                Action::Log(text) => self.nodes[n].log.push(text),
                Action::ViewChanged | Action::PeerMessage { .. } | Action::DutyMessage(..) => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "message of {} bytes exceeds the limit", bytes.len());
        (self.nodes[from].sent, self.nodes[from].sent_bytes) =
            (self.nodes[from].sent + 1, self.nodes[from].sent_bytes + bytes.len() as u64);
        let Some(target) = self.by_address.get(&to).copied() else { return };
        if self.blocked_paths.contains(&(from, target)) || self.random_fraction() < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.random_fraction() < self.duplicate);
        for _ in 0..copies {
            let delay =
                self.delay.0 + (self.random_fraction() * (self.delay.1 - self.delay.0) as f64) as Micros;
            let source = self.nodes[from].address;
            self.push(self.now + delay, SimEvent::Deliver(source, to, bytes.clone()));
        }
    }

    /// Runs the simulation for this duration.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(Reverse((at, _, event))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&event) else { continue };
            match event {
                SimEvent::Deliver(from, to, bytes) => {
                    let Some(n) = self.by_address.get(&to).copied().filter(|n| self.nodes[*n].running) else {
                        continue;
                    };
                    if self.nodes[n].frozen_until > self.now {
                        // The capacity of a socket's receive buffer.
                        if self.nodes[n].buffered.len() < 400 {
                            self.nodes[n].buffered.push((from, bytes));
                        }
                    } else {
                        self.handle(n, Event::DatagramReceived(&bytes, from));
                    }
                }
                SimEvent::Timer(n, epoch) => self.fire_timer(n, epoch),
                SimEvent::Resume(n) if self.nodes[n].running && self.nodes[n].frozen_until <= self.now => {
                    for (from, bytes) in std::mem::take(&mut self.nodes[n].buffered) {
                        self.handle(n, Event::DatagramReceived(&bytes, from));
                    }
                    let epoch = self.nodes[n].epoch;
                    self.fire_timer(n, epoch);
                }
                SimEvent::Resume(_) => {}
            }
        }
        self.now = end;
    }

    fn fire_timer(&mut self, n: usize, epoch: u32) {
        let node = &self.nodes[n];
        if !node.running || node.epoch != epoch || node.frozen_until > self.now {
            return;
        }
        let now = self.local_time(n);
        if node.timer_at.is_some_and(|timer_at| timer_at <= now) {
            self.nodes[n].timer_at = None;
            self.handle(n, Event::TimerExpired);
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].running).collect()
    }

    /// Names of the members that a node considers present, including itself.
    pub fn present_in_view(&self, n: usize) -> BTreeSet<String> {
        let view = self.nodes[n].membership.view(self.local_time(n));
        view.members
            .into_iter()
            .filter(|member| member.state.is_present())
            .map(|member| member.name)
            .collect()
    }

    pub fn state_in_view(&self, n: usize, target: usize) -> Option<MemberState> {
        let view = self.nodes[n].membership.view(self.local_time(n));
        let name = format!("p-{target:04}");
        view.members.into_iter().find(|member| member.name == name).map(|member| member.state)
    }

    /// Whether every running node considers exactly the running nodes present.
    pub fn all_agree(&self) -> bool {
        let running: BTreeSet<String> = self.running().into_iter().map(|n| format!("p-{n:04}")).collect();
        self.running().into_iter().all(|n| self.present_in_view(n) == running)
    }

    /// How long it takes until all agree, if they do within `limit`.
    pub fn time_to_agreement(&mut self, limit: Micros) -> Option<Micros> {
        let began = self.now;
        while !self.all_agree() {
            if self.now - began >= limit {
                return None;
            }
            self.run(100 * MS);
        }
        Some(self.now - began)
    }

    /// The sum of the shares that the running nodes take of a common total.
    pub fn sum_of_shares(&self) -> f64 {
        self.running().into_iter().map(|n| 1.0 / self.nodes[n].membership.member_count() as f64).sum()
    }
}

pub fn start_fleet(seed: u64, count: usize, seeded_defect: Option<SeededDefect>) -> Simulation {
    let mut sim = Simulation::new(seed, seeded_defect);
    for _ in 0..count {
        sim.add();
        sim.run(5 * MS);
    }
    sim
}

pub fn span(us: Micros) -> Span {
    Span::from_ms(us as f64 / 1000.0)
}
