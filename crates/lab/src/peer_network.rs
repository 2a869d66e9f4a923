//! What lies between the proxies of a tier. Each proxy is told an address of this part for each other one; a datagram
//! or a stream that comes there is known by its sender's own address and by where it was sent to, and goes on from
//! the sender's address here. So every pair has a way of its own, in each direction, that can be made worse.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::{At, Micros};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId, SocketId};
use crate::record::What;
use crate::scenario::{FaultKind, Fleet};
use crate::stream_forwarder::{Conduct, Pipes, Release, Way};

/// From one proxy to another, by their numbers.
pub type Pair = (usize, usize);

/// Often enough that lateness of its own shows; counts are written every so many of them.
const TICK: Micros = Micros::from_millis(20);
const COUNT_EVERY: u64 = 25;
const KEPT: usize = 64; // datagrams of a pair, to be sent again
const KEPT_FOR: Micros = Micros::from_millis(10_000);
const REORDER_MS: f64 = 50.0; // how much later some come, unless the fault says
const DELAY_MS: f64 = 50.0;
const REPLAY_MS: f64 = 2000.0; // how old what is sent again is at least, unless the fault says
const FLOOD_PER_S: f64 = 1000.0;
const FLOOD_EVERY: Micros = Micros::from_millis(10);
const AGAIN: Micros = Micros::from_millis(200); // until a lost piece of a stream is sent again
const BUFFER: usize = 256 * 1024;
const LONGEST: usize = 65_507; // bytes of a datagram
/// Beyond this lateness of its own, what the talk came to is not the program's doing.
const TOO_LATE: Micros = Micros::from_millis(20);

/// Where a proxy listens, and where others are told that it does.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProxyEndpoint {
    pub proxy: String,
    #[serde(rename = "own")]
    pub address: SocketAddr,
    #[serde(rename = "face")]
    pub advertised: SocketAddr,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    #[serde(rename = "faces")]
    pub endpoints: Vec<ProxyEndpoint>,
    pub fleet: Fleet,
    /// An address that belongs to no proxy, from which floods come.
    #[serde(rename = "nobody")]
    pub unknown_sender: SocketAddr,
    pub seed: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActiveFault {
    pub kind: FaultKind,
    pub pairs: Vec<Pair>,
    pub amount: Option<f64>,
    pub jitter: Micros,
    pub chance: Option<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    Fault {
        number: u32,
        #[serde(rename = "trouble")]
        fault: ActiveFault,
    },
    #[serde(rename = "Mend")]
    ClearFault { number: u32 },
}

#[derive(Debug)]
pub enum Due {
    Pass(Pair, Vec<u8>),
    Release(Release),
    Tick(u64),
    Flood(u32, u64),
}

impl From<Release> for Due {
    fn from(release: Release) -> Due {
        Due::Release(release)
    }
}

/// A fault that is on, with its pairs at hand.
struct On {
    fault: ActiveFault,
    pairs: BTreeSet<Pair>,
}

#[derive(Clone, Copy, Default)]
struct Count {
    sent: u64,
    bytes: u64,
    lost: u64,
}

pub struct PeerNetwork {
    spec: Spec,
    sockets: Vec<SocketId>,
    listeners: Vec<ListenerId>,
    nobody: Option<SocketId>,
    faults: BTreeMap<u32, On>,
    counts: Vec<Count>,
    /// Datagrams from nobody that is known.
    strangers: u64,
    kept: BTreeMap<Pair, VecDeque<(At, Vec<u8>)>>,
    pipes: Pipes<Pair>,
    rng: ChaCha8Rng,
}

type Loop = EventLoop<Due>;

impl PeerNetwork {
    pub fn new(spec: Spec) -> PeerNetwork {
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ 0x3a75);
        let counts = vec![Count::default(); spec.endpoints.len()];
        let (sockets, listeners, nobody, faults, strangers, kept) = Default::default();
        let pipes = Pipes::default();
        PeerNetwork { spec, sockets, listeners, nobody, faults, counts, strangers, kept, pipes, rng }
    }

    fn on(&self, pair: Pair) -> impl Iterator<Item = &ActiveFault> {
        self.faults.values().filter(move |on| on.pairs.contains(&pair)).map(|on| &on.fault)
    }

    fn parted(&self, pair: Pair) -> bool {
        self.on(pair).any(|fault| matches!(fault.kind, FaultKind::Partition | FaultKind::Bridge))
    }

    /// All troubles of a kind on a pair that hit this time, with their amounts.
    fn hits(&mut self, pair: Pair, kind: FaultKind, amount: f64) -> Vec<f64> {
        let found: Vec<_> = self.on(pair).filter(|fault| fault.kind == kind).cloned().collect();
        let rng = &mut self.rng;
        let hit = found.into_iter().filter(|fault| rng.random::<f64>() < fault.chance.unwrap_or(1.0));
        hit.map(|fault| fault.amount.unwrap_or(amount)).collect()
    }

    /// How long what goes this way now takes.
    fn delay(&mut self, pair: Pair) -> Micros {
        let fleet = self.spec.fleet;
        let found: Vec<_> = self.on(pair).filter(|fault| fault.kind == FaultKind::Delay).cloned().collect();
        let mut delay = fleet.delay + fleet.jitter.scaled(self.rng.random::<f64>());
        for fault in found {
            let jitter = fault.jitter.scaled(self.rng.random::<f64>());
            delay = delay + Micros::from_ms(fault.amount.unwrap_or(DELAY_MS)) + jitter;
        }
        delay
    }

    fn lost(&mut self, pair: Pair) -> bool {
        let always = self.spec.fleet.loss;
        self.rng.random::<f64>() < always || !self.hits(pair, FaultKind::Loss, 1.0).is_empty()
    }

    fn datagram(&mut self, event_loop: &mut Loop, pair: Pair, bytes: &[u8]) {
        let count = &mut self.counts[pair.0];
        (count.sent, count.bytes) = (count.sent + 1, count.bytes + bytes.len() as u64);
        if self.parted(pair) || self.lost(pair) {
            self.counts[pair.0].lost += 1;
            return;
        }
        self.keep(event_loop.now, pair, bytes);
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && !self.hits(pair, FaultKind::Corrupt, 1.0).is_empty() {
            for _ in 0..self.rng.random_range(1..=4) {
                let place = self.rng.random_range(0..bytes.len());
                bytes[place] ^= 1 << self.rng.random_range(0..8);
            }
        }
        for _ in self.hits(pair, FaultKind::Duplicate, 1.0) {
            let delay = self.delay(pair);
            self.pass_after(event_loop, delay, pair, bytes.clone());
        }
        for age in self.hits(pair, FaultKind::Replay, REPLAY_MS) {
            let until = event_loop.now - Micros::from_ms(age);
            let kept = self.kept.get(&pair).into_iter().flatten().filter(|(at, _)| *at <= until);
            let old: Vec<Vec<u8>> = kept.map(|(_, bytes)| bytes.clone()).collect();
            if !old.is_empty() {
                let place = self.rng.random_range(0..old.len());
                self.pass_after(event_loop, Micros::ZERO, pair, old[place].clone());
            }
        }
        let mut delay = self.delay(pair);
        for later in self.hits(pair, FaultKind::Reorder, REORDER_MS) {
            delay = delay + Micros::from_ms(later).scaled(self.rng.random::<f64>());
        }
        self.pass_after(event_loop, delay, pair, bytes);
    }

    /// Remembers what went, where it is to be sent again later.
    fn keep(&mut self, now: At, pair: Pair, bytes: &[u8]) {
        let wanted = |on: &On| matches!(on.fault.kind, FaultKind::Replay | FaultKind::Flood);
        if !self.faults.values().any(wanted) {
            return;
        }
        let kept = self.kept.entry(pair).or_default();
        kept.push_back((now, bytes.to_vec()));
        while kept.len() > KEPT || kept.front().is_some_and(|(at, _)| now.since(*at) > KEPT_FOR) {
            kept.pop_front();
        }
    }

    fn pass_after(&mut self, event_loop: &mut Loop, delay: Micros, pair: Pair, bytes: Vec<u8>) {
        if delay == Micros::ZERO {
            self.pass(event_loop, pair, &bytes);
        } else {
            event_loop.after(delay, Due::Pass(pair, bytes));
        }
    }

    fn pass(&mut self, event_loop: &mut Loop, (from, to): Pair, bytes: &[u8]) {
        event_loop.send(self.sockets[from], self.spec.endpoints[to].address, bytes);
    }

    /// Noise, and what others have said, from an address that is nobody's.
    fn flood(&mut self, event_loop: &mut Loop, number: u32, done: u64) {
        let Some(on) = self.faults.get(&number) else { return };
        let per_s = on.fault.amount.unwrap_or(FLOOD_PER_S);
        let targets: Vec<usize> =
            on.pairs.iter().map(|(_, to)| *to).collect::<BTreeSet<_>>().into_iter().collect();
        let Some(nobody) = self.nobody.filter(|_| !targets.is_empty()) else { return };
        let due = (per_s * FLOOD_EVERY.secs()).max(1.0) as u64;
        let forged: Vec<Vec<u8>> =
            self.kept.values().filter_map(|kept| Some(kept.back()?.1.clone())).collect();
        for n in done..done + due {
            let bytes = match (n % 2, forged.len()) {
                (0, 1..) => forged[self.rng.random_range(0..forged.len())].clone(),
                _ => (0..self.rng.random_range(0..1400)).map(|_| self.rng.random()).collect(),
            };
            event_loop.send(nobody, self.spec.endpoints[targets[n as usize % targets.len()]].address, &bytes);
        }
        event_loop.after(FLOOD_EVERY, Due::Flood(number, done + due));
    }

    fn count(&mut self, event_loop: &mut Loop) {
        for (endpoint, count) in self.spec.endpoints.iter().zip(&mut self.counts) {
            let Count { sent, bytes, lost } = std::mem::take(count);
            if sent > 0 {
                event_loop.record(What::Talk { proxy: endpoint.proxy.clone(), sent, bytes, lost });
            }
        }
    }

    /// How a stream fares just now: what would be lost is sent again, so it is late.
    fn conduct(&mut self, pair: Pair) -> Conduct {
        let mut delay = self.delay(pair);
        if self.lost(pair) {
            delay = delay + AGAIN;
        }
        let way = if self.parted(pair) { Way::Held } else { Way::Open };
        Conduct { delay, rate: 0, buffer: BUFFER, way }
    }

    fn release(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(pair) = self.pipes.tag(conn) else { return };
        let conduct = self.conduct(pair);
        self.pipes.release(event_loop, conn, conduct);
    }

    fn take(&mut self, event_loop: &mut Loop, conn: ConnId, end: bool) {
        let Some(pair) = self.pipes.tag(conn) else { return };
        let count = &mut self.counts[pair.0];
        count.bytes += event_loop.input(conn).len() as u64;
        let conduct = self.conduct(pair);
        self.pipes.take(event_loop, conn, end, conduct);
    }

    /// Lets out what waited for a way to be open again.
    fn reopen(&mut self, event_loop: &mut Loop) {
        for conn in self.pipes.conns() {
            self.release(event_loop, conn);
        }
    }
}

impl Component for PeerNetwork {
    type Due = Due;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        for endpoint in &self.spec.endpoints {
            self.sockets.push(event_loop.bind(endpoint.advertised)?);
            self.listeners.push(event_loop.listen(endpoint.advertised)?);
        }
        self.nobody = Some(event_loop.bind(self.spec.unknown_sender)?);
        event_loop.after(TICK, Due::Tick(1));
        Ok(())
    }

    fn heard(&mut self, event_loop: &mut Loop, on: SocketId, from: SocketAddr, bytes: &[u8]) {
        let to = self.sockets.iter().position(|socket| *socket == on);
        let from = self.spec.endpoints.iter().position(|endpoint| endpoint.address == from);
        match (from, to) {
            (Some(from), Some(to)) if bytes.len() <= LONGEST => self.datagram(event_loop, (from, to), bytes),
            _ => self.strangers += 1,
        }
    }

    fn accepted(&mut self, event_loop: &mut Loop, on: ListenerId, conn: ConnId) {
        let to = self.listeners.iter().position(|listener| *listener == on);
        let from = event_loop.peer_of(conn).map(|from| from.ip());
        let from = self.spec.endpoints.iter().position(|endpoint| Some(endpoint.address.ip()) == from);
        let (Some(from), Some(to)) = (from, to) else {
            self.strangers += 1;
            return event_loop.reset(conn);
        };
        let dialled =
            event_loop.dial_from(self.spec.endpoints[from].advertised.ip(), self.spec.endpoints[to].address);
        match dialled {
            Ok(other) => self.pipes.join((conn, (from, to)), (other, (to, from))),
            Err(_) => event_loop.reset(conn),
        }
    }

    fn read(&mut self, event_loop: &mut Loop, conn: ConnId) {
        self.take(event_loop, conn, false);
    }

    fn written(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if let Some(other) = self.pipes.other(conn) {
            self.release(event_loop, other);
        }
    }

    fn gone(&mut self, event_loop: &mut Loop, conn: ConnId, how: ConnectionEnd) {
        match how {
            _ if self.pipes.tag(conn).is_none() => event_loop.close(conn),
            ConnectionEnd::Closed => self.take(event_loop, conn, true),
            ConnectionEnd::Reset | ConnectionEnd::Refused => self.pipes.cut(event_loop, conn, true),
        }
    }

    fn due(&mut self, event_loop: &mut Loop, due: Due) {
        match due {
            Due::Pass(pair, bytes) if !self.parted(pair) => self.pass(event_loop, pair, &bytes),
            Due::Pass(pair, _) => self.counts[pair.0].lost += 1,
            Due::Release(Release(conn)) => self.release(event_loop, conn),
            Due::Tick(n) => {
                if n.is_multiple_of(COUNT_EVERY) {
                    self.count(event_loop);
                }
                event_loop.after(TICK, Due::Tick(n + 1));
            }
            Due::Flood(number, done) => self.flood(event_loop, number, done),
        }
    }

    fn command(&mut self, event_loop: &mut Loop, command: Command) {
        match command {
            Command::Fault { number, fault } => {
                let floods = fault.kind == FaultKind::Flood;
                let pairs = fault.pairs.iter().copied().collect();
                self.faults.insert(number, On { fault, pairs });
                if floods {
                    self.flood(event_loop, number, 0);
                }
            }
            Command::ClearFault { number } => {
                self.faults.remove(&number);
                self.reopen(event_loop);
            }
        }
    }

    fn stop(&mut self, event_loop: &mut Loop) {
        self.count(event_loop);
        let (late, _) = event_loop.lateness();
        if late > TOO_LATE {
            let text = format!("the ways between proxies ran {:.1} ms late (p99) themselves", late.ms());
            event_loop.record(What::Void { text });
        }
        if self.strangers > 0 {
            let text = format!("{} messages came between proxies from nobody that is known", self.strangers);
            event_loop.record(What::Note { text });
        }
    }
}
