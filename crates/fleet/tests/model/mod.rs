//! A network in memory, driven by a seed: members with clocks of their own, loss, delay, ways that are cut, members that
//! are frozen, killed and started again.

#![allow(dead_code)] // each test uses its part

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use oorandom::Rand32;
use sparlug::time::{Span, Time};
use sparlug_fleet::membership::{Action, Event, Membership, SeededDefect, Settings};
use sparlug_fleet::wire::{State, MAX_DATAGRAM_BYTES};

/// Milliseconds of the world's clock, in thousandths.
pub type Us = i64;

pub const MS: Us = 1000;
pub const S: Us = 1_000_000;

enum What {
    Deliver(SocketAddr, SocketAddr, Vec<u8>),
    Due(usize, u32),
    Thaw(usize),
}

pub struct Node {
    pub members: Membership,
    /// Where it is reached, which is what it tells others unless a test makes it lie.
    pub address: SocketAddr,
    pub up: bool,
    pub frozen_until: Us,
    /// Datagrams that wait while it is frozen.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// Its clock: what it shows at the world's 0, and how much faster it runs.
    shows: f64,
    drift: f64,
    life: u32,
    wake: Option<Time>,
    pub sent: u64,
    pub sent_bytes: u64,
    pub log: Vec<String>,
}

pub struct World {
    pub now: Us,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Us, u64, usize)>>,
    events: BTreeMap<usize, What>,
    count: usize,
    pub rng: Rand32,
    pub loss: f64,
    pub delay: (Us, Us),
    pub duplicate: f64,
    /// Ways that nothing passes, from one to another.
    pub cut: BTreeSet<(usize, usize)>,
    pub seeded_defect: Option<SeededDefect>,
    pub expected: Option<usize>,
    by_address: BTreeMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250 + 1) as u8], 7100))
}

impl World {
    pub fn new(seed: u64, seeded_defect: Option<SeededDefect>) -> World {
        World {
            now: 0,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            rng: Rand32::new(seed),
            loss: 0.0,
            delay: (MS / 5, MS),
            duplicate: 0.0,
            cut: BTreeSet::new(),
            seeded_defect,
            expected: None,
            by_address: BTreeMap::new(),
            seeds: vec![address(0), address(1), address(2)],
        }
    }

    pub fn chance(&mut self) -> f64 {
        self.rng.rand_float().into()
    }

    pub fn draw(&mut self, below: usize) -> usize {
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

    /// A process that was never there.
    pub fn add(&mut self) -> usize {
        let n = self.nodes.len();
        let (shows, drift) = (1e12 + self.chance() * 1e6, (self.chance() - 0.5) * 0.02);
        let members = Membership::new(self.settings(n), 0, Time::ORIGIN);
        let (waiting, log) = Default::default();
        self.by_address.insert(address(n), n);
        self.nodes.push(Node {
            members,
            address: address(n),
            up: false,
            frozen_until: 0,
            waiting,
            shows,
            drift,
            life: 0,
            wake: None,
            sent: 0,
            sent_bytes: 0,
            log,
        });
        self.start(n);
        n
    }

    /// Another process with the name of `of`, at an address of its own.
    pub fn add_as(&mut self, of: usize, place: usize) -> usize {
        let settings = Settings { address: address(place), ..self.settings(of) };
        self.add_with(settings, place, 2e6)
    }

    /// Another process that is reached at `place` and tells others that it is where `of` is. Its clock is ahead by so much,
    /// in milliseconds: the younger one, or the older.
    pub fn add_at(&mut self, of: usize, place: usize, ahead: f64) -> usize {
        let settings = Settings { address: address(of), ..self.settings(place) };
        self.add_with(settings, place, ahead)
    }

    fn add_with(&mut self, settings: Settings, place: usize, ahead: f64) -> usize {
        let n = self.add();
        self.kill(n);
        self.by_address.remove(&self.nodes[n].address);
        self.nodes[n].address = address(place);
        self.by_address.insert(address(place), n);
        self.nodes[n].shows += ahead;
        let now = self.local(n);
        let node = &mut self.nodes[n];
        (node.members, node.up, node.life) = (Membership::new(settings, 77, now), true, node.life + 1);
        self.handle(n, Event::Start);
        n
    }

    pub fn start(&mut self, n: usize) {
        let (seed, settings, now) = (u64::from(self.rng.rand_u32()), self.settings(n), self.local(n));
        let node = &mut self.nodes[n];
        (node.members, node.up, node.frozen_until, node.wake) =
            (Membership::new(settings, seed, now), true, 0, None);
        node.waiting.clear();
        node.life += 1;
        self.handle(n, Event::Start);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].up = false;
        self.nodes[n].life += 1;
    }

    pub fn leave(&mut self, n: usize) {
        self.handle(n, Event::Leave);
    }

    pub fn freeze(&mut self, n: usize, long: Us) {
        self.nodes[n].frozen_until = self.now + long;
        self.push(self.now + long, What::Thaw(n));
    }

    /// Cuts all ways between these sides, in one direction or both.
    pub fn part(&mut self, sides: &[Vec<usize>], one_way: bool) {
        for (i, a) in sides.iter().enumerate() {
            for (j, b) in sides.iter().enumerate().filter(|(j, _)| *j != i) {
                if !one_way || i < j {
                    self.cut.extend(a.iter().flat_map(|a| b.iter().map(move |b| (*a, *b))));
                }
            }
        }
    }

    fn local(&self, n: usize) -> Time {
        let node = &self.nodes[n];
        Time::from_ms(node.shows + self.now as f64 / 1000.0 * (1.0 + node.drift))
    }

    fn global(&self, n: usize, at: Time) -> Us {
        let node = &self.nodes[n];
        let local = at.since(Time::ORIGIN).ms() - node.shows;
        // Never before it is due by its own clock.
        (local * 1000.0 / (1.0 + node.drift)).ceil() as Us + 2
    }

    fn push(&mut self, at: Us, what: What) {
        self.count += 1;
        self.events.insert(self.count, what);
        self.queue.push(Reverse((at.max(self.now), self.count as u64, self.count)));
    }

    pub fn handle(&mut self, n: usize, event: Event) {
        let (now, mut out) = (self.local(n), Vec::new());
        self.nodes[n].members.handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, bytes } => self.sent(n, to, bytes),
                Action::SetTimer(at) => {
                    self.nodes[n].wake = Some(at);
                    let (due, life) = (self.global(n, at), self.nodes[n].life);
                    self.push(due, What::Due(n, life));
                }
                Action::Log(text) => self.nodes[n].log.push(text),
                Action::ViewChanged | Action::PeerMessage { .. } | Action::DutyMessage(..) => {}
            }
        }
    }

    fn sent(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "a message of {} bytes", bytes.len());
        (self.nodes[from].sent, self.nodes[from].sent_bytes) =
            (self.nodes[from].sent + 1, self.nodes[from].sent_bytes + bytes.len() as u64);
        let Some(target) = self.by_address.get(&to).copied() else { return };
        if self.cut.contains(&(from, target)) || self.chance() < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.chance() < self.duplicate);
        for _ in 0..copies {
            let delay = self.delay.0 + (self.chance() * (self.delay.1 - self.delay.0) as f64) as Us;
            let own = self.nodes[from].address;
            self.push(self.now + delay, What::Deliver(own, to, bytes.clone()));
        }
    }

    /// Plays so long.
    pub fn play(&mut self, long: Us) {
        let end = self.now + long;
        while let Some(Reverse((at, _, event))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(what) = self.events.remove(&event) else { continue };
            match what {
                What::Deliver(from, to, bytes) => {
                    let Some(n) = self.by_address.get(&to).copied().filter(|n| self.nodes[*n].up) else {
                        continue;
                    };
                    if self.nodes[n].frozen_until > self.now {
                        // As much as a socket's buffer holds.
                        if self.nodes[n].waiting.len() < 400 {
                            self.nodes[n].waiting.push((from, bytes));
                        }
                    } else {
                        self.handle(n, Event::DatagramReceived(&bytes, from));
                    }
                }
                What::Due(n, life) => self.due(n, life),
                What::Thaw(n) if self.nodes[n].up && self.nodes[n].frozen_until <= self.now => {
                    for (from, bytes) in std::mem::take(&mut self.nodes[n].waiting) {
                        self.handle(n, Event::DatagramReceived(&bytes, from));
                    }
                    let life = self.nodes[n].life;
                    self.due(n, life);
                }
                What::Thaw(_) => {}
            }
        }
        self.now = end;
    }

    fn due(&mut self, n: usize, life: u32) {
        let node = &self.nodes[n];
        if !node.up || node.life != life || node.frozen_until > self.now {
            return;
        }
        let now = self.local(n);
        if node.wake.is_some_and(|wake| wake <= now) {
            self.nodes[n].wake = None;
            self.handle(n, Event::TimerExpired);
        }
    }

    pub fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].up).collect()
    }

    /// Whom a node holds to be there, itself included.
    pub fn sees(&self, n: usize) -> BTreeSet<String> {
        let view = self.nodes[n].members.view(self.local(n));
        view.members.into_iter().filter(|seen| seen.state.is_present()).map(|seen| seen.name).collect()
    }

    pub fn holds(&self, n: usize, of: usize) -> Option<State> {
        let view = self.nodes[n].members.view(self.local(n));
        let name = format!("p-{of:04}");
        view.members.into_iter().find(|seen| seen.name == name).map(|seen| seen.state)
    }

    /// Whether all that are up hold exactly those to be there that are.
    pub fn agree(&self) -> bool {
        let up: BTreeSet<String> = self.up().into_iter().map(|n| format!("p-{n:04}")).collect();
        self.up().into_iter().all(|n| self.sees(n) == up)
    }

    /// How long until all agree, if they do within `most`.
    pub fn until_agreed(&mut self, most: Us) -> Option<Us> {
        let began = self.now;
        while !self.agree() {
            if self.now - began >= most {
                return None;
            }
            self.play(100 * MS);
        }
        Some(self.now - began)
    }

    /// What all that are up take together of what all share.
    pub fn shares(&self) -> f64 {
        self.up().into_iter().map(|n| 1.0 / self.nodes[n].members.member_count() as f64).sum()
    }
}

pub fn fleet(seed: u64, count: usize, seeded_defect: Option<SeededDefect>) -> World {
    let mut world = World::new(seed, seeded_defect);
    for _ in 0..count {
        world.add();
        world.play(5 * MS);
    }
    world
}

pub fn span(us: Us) -> Span {
    Span::from_ms(us as f64 / 1000.0)
}
