//! The emulated network between the proxies of a tier. Each proxy knows the others only by advertised
//! addresses, at which this component listens. It identifies a datagram or a stream by its sender's real
//! address and by the advertised address it was sent to, and forwards it from the sender's advertised
//! address. So every ordered pair of proxies has a network path of its own, on which faults can act.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::{Micros, Timestamp};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId, SocketId};
use crate::record::RecordKind;
use crate::scenario::{FaultKind, Fleet};
use crate::stream_forwarder::{PathMode, PathState, Release, StreamForwarder};

/// The sending and the receiving proxy, by index: one network path.
pub type Pair = (usize, usize);

/// Short, so that the timer lateness of this component shows even without traffic.
const TICK_INTERVAL: Micros = Micros::from_millis(20);
const TICKS_PER_TRAFFIC_RECORD: u64 = 25;
const MAX_REMEMBERED_DATAGRAMS: usize = 64; // per pair, for replays and floods
const MAX_REMEMBERED_AGE: Micros = Micros::from_millis(10_000);
const DEFAULT_REORDER_MS: f64 = 50.0; // the largest extra delay
const DEFAULT_DELAY_MS: f64 = 50.0;
const DEFAULT_REPLAY_AGE_MS: f64 = 2000.0; // the least age of a replayed datagram
const DEFAULT_FLOOD_DATAGRAMS_PER_S: f64 = 1000.0;
const FLOOD_INTERVAL: Micros = Micros::from_millis(10);
const RETRANSMIT_DELAY: Micros = Micros::from_millis(200); // of lost bytes of a stream
const PATH_BUFFER_BYTES: usize = 256 * 1024;
const MAX_DATAGRAM_BYTES: usize = 65_507; // the largest UDP payload over IPv4
/// Above this p99 the run is void: the lab's own lateness, not the program, shaped the traffic between
/// proxies.
const MAX_TIMER_LATENESS: Micros = Micros::from_millis(20);

/// The address at which a proxy listens, and the one that is advertised to the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProxyEndpoint {
    pub proxy: String,
    #[serde(rename = "own")]
    pub address: SocketAddr,
    #[serde(rename = "face")]
    pub advertised: SocketAddr,
}

/// What the component is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    #[serde(rename = "faces")]
    pub endpoints: Vec<ProxyEndpoint>,
    pub fleet: Fleet,
    /// An address of no proxy; floods come from it.
    #[serde(rename = "nobody")]
    pub unknown_sender: SocketAddr,
    pub seed: u64,
}

/// A fault on the network paths of some pairs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActiveFault {
    pub kind: FaultKind,
    pub pairs: Vec<Pair>,
    pub amount: Option<f64>,
    pub jitter: Micros,
    pub chance: Option<f64>,
}

/// Commands of the running scenario.
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

/// What a timer is for.
#[derive(Debug)]
pub enum TimerEvent {
    Deliver(Pair, Vec<u8>),
    Release(Release),
    Tick(u64),
    Flood(u32, u64),
}

impl From<Release> for TimerEvent {
    fn from(release: Release) -> TimerEvent {
        TimerEvent::Release(release)
    }
}

/// An active fault, with its pairs as a set.
struct InstalledFault {
    fault: ActiveFault,
    pairs: BTreeSet<Pair>,
}

#[derive(Clone, Copy, Default)]
struct TrafficCount {
    sent: u64,
    bytes: u64,
    lost: u64,
}

/// The component that forwards datagrams and streams between the proxies of one tier.
pub struct PeerNetwork {
    spec: Spec,
    sockets: Vec<SocketId>,
    listeners: Vec<ListenerId>,
    unknown_sender: Option<SocketId>,
    faults: BTreeMap<u32, InstalledFault>,
    traffic: Vec<TrafficCount>,
    /// Number of datagrams and connections from senders that are no proxy.
    unknown_senders: u64,
    remembered: BTreeMap<Pair, VecDeque<(Timestamp, Vec<u8>)>>,
    streams: StreamForwarder<Pair>,
    rng: ChaCha8Rng,
}

type Loop = EventLoop<TimerEvent>;

impl PeerNetwork {
    pub fn new(spec: Spec) -> PeerNetwork {
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ 0x3a75);
        let traffic = vec![TrafficCount::default(); spec.endpoints.len()];
        let (sockets, listeners, unknown_sender, faults, unknown_senders, remembered) = Default::default();
        let streams = StreamForwarder::default();
        PeerNetwork {
            spec,
            sockets,
            listeners,
            unknown_sender,
            faults,
            traffic,
            unknown_senders,
            remembered,
            streams,
            rng,
        }
    }

    fn faults_on(&self, pair: Pair) -> impl Iterator<Item = &ActiveFault> {
        self.faults
            .values()
            .filter(move |installed| installed.pairs.contains(&pair))
            .map(|installed| &installed.fault)
    }

    fn is_partitioned(&self, pair: Pair) -> bool {
        self.faults_on(pair).any(|fault| matches!(fault.kind, FaultKind::Partition | FaultKind::Bridge))
    }

    /// The faults of a kind that hit a pair this time, by their amounts; `amount` is the default.
    fn fault_amounts(&mut self, pair: Pair, kind: FaultKind, amount: f64) -> Vec<f64> {
        let found: Vec<_> = self.faults_on(pair).filter(|fault| fault.kind == kind).cloned().collect();
        let rng = &mut self.rng;
        let affected = found.into_iter().filter(|fault| rng.random::<f64>() < fault.chance.unwrap_or(1.0));
        affected.map(|fault| fault.amount.unwrap_or(amount)).collect()
    }

    /// Draws the current delay of a path.
    fn delay(&mut self, pair: Pair) -> Micros {
        let fleet = self.spec.fleet;
        let found: Vec<_> =
            self.faults_on(pair).filter(|fault| fault.kind == FaultKind::Delay).cloned().collect();
        let mut delay = fleet.delay + fleet.jitter.scaled(self.rng.random::<f64>());
        for fault in found {
            let jitter = fault.jitter.scaled(self.rng.random::<f64>());
            delay = delay + Micros::from_ms(fault.amount.unwrap_or(DEFAULT_DELAY_MS)) + jitter;
        }
        delay
    }

    fn is_lost(&mut self, pair: Pair) -> bool {
        let base_loss = self.spec.fleet.loss;
        self.rng.random::<f64>() < base_loss || !self.fault_amounts(pair, FaultKind::Loss, 1.0).is_empty()
    }

    fn forward_datagram(&mut self, event_loop: &mut Loop, pair: Pair, bytes: &[u8]) {
        let count = &mut self.traffic[pair.0];
        (count.sent, count.bytes) = (count.sent + 1, count.bytes + bytes.len() as u64);
        if self.is_partitioned(pair) || self.is_lost(pair) {
            self.traffic[pair.0].lost += 1;
            return;
        }
        self.remember(event_loop.now, pair, bytes);
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && !self.fault_amounts(pair, FaultKind::Corrupt, 1.0).is_empty() {
            for _ in 0..self.rng.random_range(1..=4) {
                let index = self.rng.random_range(0..bytes.len());
                bytes[index] ^= 1 << self.rng.random_range(0..8);
            }
        }
        for _ in self.fault_amounts(pair, FaultKind::Duplicate, 1.0) {
            let delay = self.delay(pair);
            self.deliver_after(event_loop, delay, pair, bytes.clone());
        }
        for age in self.fault_amounts(pair, FaultKind::Replay, DEFAULT_REPLAY_AGE_MS) {
            let newest = event_loop.now - Micros::from_ms(age);
            let datagrams = self.remembered.get(&pair).into_iter().flatten().filter(|(at, _)| *at <= newest);
            let old: Vec<Vec<u8>> = datagrams.map(|(_, bytes)| bytes.clone()).collect();
            if !old.is_empty() {
                let index = self.rng.random_range(0..old.len());
                self.deliver_after(event_loop, Micros::ZERO, pair, old[index].clone());
            }
        }
        let mut delay = self.delay(pair);
        for extra in self.fault_amounts(pair, FaultKind::Reorder, DEFAULT_REORDER_MS) {
            delay = delay + Micros::from_ms(extra).scaled(self.rng.random::<f64>());
        }
        self.deliver_after(event_loop, delay, pair, bytes);
    }

    /// Stores a forwarded datagram while a fault is active that sends datagrams again.
    fn remember(&mut self, now: Timestamp, pair: Pair, bytes: &[u8]) {
        let replays =
            |installed: &InstalledFault| matches!(installed.fault.kind, FaultKind::Replay | FaultKind::Flood);
        if !self.faults.values().any(replays) {
            return;
        }
        let datagrams = self.remembered.entry(pair).or_default();
        datagrams.push_back((now, bytes.to_vec()));
        while datagrams.len() > MAX_REMEMBERED_DATAGRAMS
            || datagrams.front().is_some_and(|(at, _)| now.since(*at) > MAX_REMEMBERED_AGE)
        {
            datagrams.pop_front();
        }
    }

    fn deliver_after(&mut self, event_loop: &mut Loop, delay: Micros, pair: Pair, bytes: Vec<u8>) {
        if delay == Micros::ZERO {
            self.deliver(event_loop, pair, &bytes);
        } else {
            event_loop.schedule_after(delay, TimerEvent::Deliver(pair, bytes));
        }
    }

    fn deliver(&mut self, event_loop: &mut Loop, (from, to): Pair, bytes: &[u8]) {
        event_loop.send_datagram(self.sockets[from], self.spec.endpoints[to].address, bytes);
    }

    /// Sends random bytes and copies of earlier datagrams, in turn, from an address of no proxy.
    fn send_flood(&mut self, event_loop: &mut Loop, number: u32, sent: u64) {
        let Some(installed) = self.faults.get(&number) else { return };
        let per_s = installed.fault.amount.unwrap_or(DEFAULT_FLOOD_DATAGRAMS_PER_S);
        let targets: Vec<usize> =
            installed.pairs.iter().map(|(_, to)| *to).collect::<BTreeSet<_>>().into_iter().collect();
        let Some(socket) = self.unknown_sender.filter(|_| !targets.is_empty()) else { return };
        let batch = (per_s * FLOOD_INTERVAL.secs()).max(1.0) as u64;
        let forged: Vec<Vec<u8>> =
            self.remembered.values().filter_map(|datagrams| Some(datagrams.back()?.1.clone())).collect();
        for n in sent..sent + batch {
            let bytes = match (n % 2, forged.len()) {
                (0, 1..) => forged[self.rng.random_range(0..forged.len())].clone(),
                _ => (0..self.rng.random_range(0..1400)).map(|_| self.rng.random()).collect(),
            };
            event_loop.send_datagram(
                socket,
                self.spec.endpoints[targets[n as usize % targets.len()]].address,
                &bytes,
            );
        }
        event_loop.schedule_after(FLOOD_INTERVAL, TimerEvent::Flood(number, sent + batch));
    }

    fn record_traffic(&mut self, event_loop: &mut Loop) {
        for (endpoint, count) in self.spec.endpoints.iter().zip(&mut self.traffic) {
            let TrafficCount { sent, bytes, lost } = std::mem::take(count);
            if sent > 0 {
                event_loop.record(RecordKind::PeerTraffic {
                    proxy: endpoint.proxy.clone(),
                    sent,
                    bytes,
                    lost,
                });
            }
        }
    }

    /// Draws the current path state for a stream: lost bytes are retransmitted, so they arrive late.
    fn path_state(&mut self, pair: Pair) -> PathState {
        let mut delay = self.delay(pair);
        if self.is_lost(pair) {
            delay = delay + RETRANSMIT_DELAY;
        }
        let mode = if self.is_partitioned(pair) { PathMode::Stalled } else { PathMode::Open };
        PathState { delay, rate: 0, buffer: PATH_BUFFER_BYTES, mode }
    }

    fn release(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(pair) = self.streams.tag(conn) else { return };
        let path = self.path_state(pair);
        self.streams.release(event_loop, conn, path);
    }

    fn receive(&mut self, event_loop: &mut Loop, conn: ConnId, eof: bool) {
        let Some(pair) = self.streams.tag(conn) else { return };
        let count = &mut self.traffic[pair.0];
        count.bytes += event_loop.input(conn).len() as u64;
        let path = self.path_state(pair);
        self.streams.receive(event_loop, conn, eof, path);
    }

    /// Forwards what waited for its path to open again.
    fn release_all(&mut self, event_loop: &mut Loop) {
        for conn in self.streams.connections() {
            self.release(event_loop, conn);
        }
    }
}

impl Component for PeerNetwork {
    type TimerEvent = TimerEvent;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        for endpoint in &self.spec.endpoints {
            self.sockets.push(event_loop.bind_udp(endpoint.advertised)?);
            self.listeners.push(event_loop.listen(endpoint.advertised)?);
        }
        self.unknown_sender = Some(event_loop.bind_udp(self.spec.unknown_sender)?);
        event_loop.schedule_after(TICK_INTERVAL, TimerEvent::Tick(1));
        Ok(())
    }

    fn on_datagram(&mut self, event_loop: &mut Loop, socket: SocketId, from: SocketAddr, bytes: &[u8]) {
        let to = self.sockets.iter().position(|own| *own == socket);
        let from = self.spec.endpoints.iter().position(|endpoint| endpoint.address == from);
        match (from, to) {
            (Some(from), Some(to)) if bytes.len() <= MAX_DATAGRAM_BYTES => {
                self.forward_datagram(event_loop, (from, to), bytes)
            }
            _ => self.unknown_senders += 1,
        }
    }

    fn on_accept(&mut self, event_loop: &mut Loop, listener: ListenerId, conn: ConnId) {
        let to = self.listeners.iter().position(|own| *own == listener);
        let from = event_loop.peer_address(conn).map(|from| from.ip());
        let from = self.spec.endpoints.iter().position(|endpoint| Some(endpoint.address.ip()) == from);
        let (Some(from), Some(to)) = (from, to) else {
            self.unknown_senders += 1;
            return event_loop.reset(conn);
        };
        let connected = event_loop
            .connect_from(self.spec.endpoints[from].advertised.ip(), self.spec.endpoints[to].address);
        match connected {
            Ok(other) => self.streams.add_pair((conn, (from, to)), (other, (to, from))),
            Err(_) => event_loop.reset(conn),
        }
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        self.receive(event_loop, conn, false);
    }

    fn on_written(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if let Some(other) = self.streams.other(conn) {
            self.release(event_loop, other);
        }
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, how: ConnectionEnd) {
        match how {
            _ if self.streams.tag(conn).is_none() => event_loop.close(conn),
            ConnectionEnd::Closed => self.receive(event_loop, conn, true),
            ConnectionEnd::Reset | ConnectionEnd::Refused => self.streams.close_pair(event_loop, conn, true),
        }
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::Deliver(pair, bytes) if !self.is_partitioned(pair) => {
                self.deliver(event_loop, pair, &bytes)
            }
            TimerEvent::Deliver(pair, _) => self.traffic[pair.0].lost += 1,
            TimerEvent::Release(Release(conn)) => self.release(event_loop, conn),
            TimerEvent::Tick(n) => {
                if n.is_multiple_of(TICKS_PER_TRAFFIC_RECORD) {
                    self.record_traffic(event_loop);
                }
                event_loop.schedule_after(TICK_INTERVAL, TimerEvent::Tick(n + 1));
            }
            TimerEvent::Flood(number, sent) => self.send_flood(event_loop, number, sent),
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        match command {
            Command::Fault { number, fault } => {
                let is_flood = fault.kind == FaultKind::Flood;
                let pairs = fault.pairs.iter().copied().collect();
                self.faults.insert(number, InstalledFault { fault, pairs });
                if is_flood {
                    self.send_flood(event_loop, number, 0);
                }
            }
            Command::ClearFault { number } => {
                self.faults.remove(&number);
                self.release_all(event_loop);
            }
        }
    }

    fn stop(&mut self, event_loop: &mut Loop) {
        self.record_traffic(event_loop);
        let (lateness, _) = event_loop.timer_lateness();
        if lateness > MAX_TIMER_LATENESS {
            let text = format!("the emulated network between proxies ran {:.1} ms late (p99)", lateness.ms());
            event_loop.record(RecordKind::RunInvalid { text });
        }
        if self.unknown_senders > 0 {
            let text = format!("{} messages between proxies came from unknown senders", self.unknown_senders);
            event_loop.record(RecordKind::Note { text });
        }
    }
}
