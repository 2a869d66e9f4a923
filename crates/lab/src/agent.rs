//! A stand-in agent of discovery for one tier: the list and the watch as the platform's protocol has them, one
//! address for each proxy, with lag, silence, an old list, a version that jumps back, and a move.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::{At, Micros};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message;
use crate::record::What;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendEntry {
    pub host: String,
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "block")]
    pub pod: usize,
    pub health: String,
    #[serde(rename = "share")]
    pub size: f64,
    #[serde(rename = "born_ms")]
    pub started_ms: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    /// One address for each proxy, by its name.
    pub listen: Vec<(String, SocketAddr)>,
    pub entries: Vec<BackendEntry>,
    pub lag: Micros,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    Set(BackendEntry),
    /// Says nothing to this proxy any more.
    Mute {
        proxy: usize,
        on: bool,
    },
    /// Goes on with the list as it is now, for this proxy.
    Stale {
        proxy: usize,
        on: bool,
    },
    JumpBack {
        by: u64,
    },
    /// Resets this proxy's connections, and lets none come up.
    Cut {
        proxy: usize,
        on: bool,
    },
    /// Tells this proxy the list as it was so long ago.
    Behind {
        proxy: usize,
        by: Option<Micros>,
    },
    /// Answers this proxy so much later.
    Delay {
        proxy: usize,
        by: Micros,
    },
    Move {
        proxy: usize,
        to: SocketAddr,
    },
}

#[derive(Debug)]
pub enum TimerEvent {
    Set(BackendEntry),
    Wait(ConnId, u64),
    /// An answer that was held back.
    Answer(ConnId, Vec<u8>, Vec<BackendEntry>, u64),
    /// A change has come of age for those who hear it late.
    Look,
}

struct Side {
    name: String,
    listener: Option<ListenerId>,
    mute: bool,
    /// What it goes on with while it is stale.
    frozen: Option<(u64, Vec<BackendEntry>)>,
    behind: Option<Micros>,
    delay: Micros,
    address: SocketAddr,
    cut: bool,
    /// It has moved, and the proxy has not asked at the new address yet.
    moved: bool,
    /// What counts as told to the proxy, whether or not it asks: the health of each backend.
    had: BTreeMap<String, String>,
}

/// How the list stood from a moment on.
struct Stood {
    since: At,
    version: u64,
    entries: Vec<BackendEntry>,
}

pub struct Agent {
    spec: Spec,
    sides: Vec<Side>,
    version: u64,
    entries: BTreeMap<String, BackendEntry>,
    /// Which version changed which host last, and how it stood then.
    changes: Vec<(u64, BackendEntry)>,
    history: Vec<Stood>,
    /// Watches that wait: the side, from which version, and the number of the call.
    waiting: BTreeMap<ConnId, (usize, u64, u64)>,
    conns: BTreeMap<ConnId, usize>,
    calls: u64,
}

type Loop = EventLoop<TimerEvent>;

impl Agent {
    pub fn new(spec: Spec) -> Agent {
        let entries = spec.entries.iter().map(|entry| (entry.host.clone(), entry.clone())).collect();
        let (sides, changes, history, waiting, conns) = Default::default();
        let mut agent =
            Agent { spec, sides, version: 1000, entries, changes, history, waiting, conns, calls: 0 };
        agent.note(At::default());
        agent
    }

    /// Remembers how the list stands.
    fn note(&mut self, since: At) {
        let entries = self.entries.values().cloned().collect();
        self.history.push(Stood { since, version: self.version, entries });
    }

    /// What this side is told: the version, and the list.
    fn told_to(&self, side: usize, now: At) -> (u64, Vec<BackendEntry>) {
        let side = &self.sides[side];
        if let Some(frozen) = &side.frozen {
            return frozen.clone();
        }
        let until = now - side.behind.unwrap_or(Micros::ZERO);
        let stood = self.history.iter().rev().find(|stood| side.behind.is_none() || stood.since <= until);
        stood.map(|stood| (stood.version, stood.entries.clone())).unwrap_or_default()
    }

    fn set(&mut self, event_loop: &mut Loop, entry: BackendEntry) {
        self.version += 1;
        if entry.health == "Gone" {
            self.entries.remove(&entry.host);
        } else {
            self.entries.insert(entry.host.clone(), entry.clone());
        }
        self.changes.push((self.version, entry));
        self.note(event_loop.now);
        self.tell_all(event_loop);
        for by in self.sides.iter().filter_map(|side| side.behind).collect::<Vec<_>>() {
            event_loop.schedule_after(by + Micros(1), TimerEvent::Look);
        }
    }

    fn tell_all(&mut self, event_loop: &mut Loop) {
        self.count(event_loop);
        let all: Vec<_> = self.waiting.iter().map(|(conn, (side, from, _))| (*conn, *side, *from)).collect();
        for (conn, side, from) in all {
            if !self.sides[side].mute && from != self.told_to(side, event_loop.now).0 {
                self.waiting.remove(&conn);
                self.tell(event_loop, conn, side, Some(from));
            }
        }
    }

    /// Counts as told what it has for each proxy: lists are pushed, and the agent is on the proxy's own machine.
    /// What it holds back itself counts when it is written.
    fn count(&mut self, event_loop: &mut Loop) {
        for side in 0..self.sides.len() {
            let Side { mute, cut, moved, delay, .. } = self.sides[side];
            if mute || cut || moved || delay > Micros::ZERO {
                continue;
            }
            let (seq, entries) = self.told_to(side, event_loop.now);
            let has: BTreeMap<_, _> = entries.into_iter().map(|entry| (entry.host, entry.health)).collect();
            let side = &mut self.sides[side];
            let gone = side.had.keys().filter(|host| !has.contains_key(*host)).map(|host| (host, "Gone"));
            let changed = has.iter().filter(|(host, health)| side.had.get(*host) != Some(*health));
            for (host, health) in gone.chain(changed.map(|(host, health)| (host, health.as_str()))) {
                let (proxy, host, health) = (side.name.clone(), host.clone(), health.to_string());
                event_loop.record(What::Told { proxy, host, health, seq });
            }
            side.had = has;
        }
    }

    /// Writes the list, or what changed since a version.
    fn tell(&mut self, event_loop: &mut Loop, conn: ConnId, side: usize, from: Option<u64>) {
        let (version, entries) = self.told_to(side, event_loop.now);
        let known = from.filter(|from| *from <= version && *from >= 1000);
        let (whole, hosts) = match known {
            None => (true, entries),
            Some(from) => {
                let changes = self.changes.iter().filter(|(at, _)| *at > from && *at <= version);
                let mut last = BTreeMap::new();
                changes.for_each(|(_, entry)| drop(last.insert(entry.host.clone(), entry.clone())));
                (false, last.into_values().collect())
            }
        };
        let body = serde_json::json!({ "seq": version, "whole": whole, "hosts": hosts }).to_string();
        let answer = http_message::encode_response(
            200,
            &[("Content-Type", "application/json".into())],
            body.as_bytes(),
        );
        match self.sides[side].delay {
            Micros::ZERO => self.answer(event_loop, conn, answer, hosts, version),
            delay => event_loop.schedule_after(delay, TimerEvent::Answer(conn, answer, hosts, version)),
        }
    }

    fn answer(
        &mut self,
        event_loop: &mut Loop,
        conn: ConnId,
        answer: Vec<u8>,
        hosts: Vec<BackendEntry>,
        seq: u64,
    ) {
        // One that went away in the meantime has been told nothing.
        let Some(side) = self.conns.get(&conn).copied() else { return };
        event_loop.write(conn, &answer);
        let proxy = &self.sides[side].name;
        for entry in hosts {
            let (host, health) = (entry.host, entry.health);
            event_loop.record(What::Told { proxy: proxy.clone(), host, health, seq });
        }
    }

    fn calls_on(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(side) = self.conns.get(&conn).copied() else { return };
        if self.sides[side].mute {
            return;
        }
        while let Ok(Some(call)) = http_message::parse_request(event_loop.input(conn)) {
            event_loop.consume(conn, call.length);
            let query = call.path.split_once('?').map_or("", |(_, query)| query);
            let field = |name: &str| {
                let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
                found.and_then(|value| value.parse::<u64>().ok())
            };
            if std::mem::take(&mut self.sides[side].moved) {
                self.count(event_loop);
            }
            if !call.path.starts_with("/v1/endpoints") {
                event_loop.write(conn, &http_message::encode_response(404, &[], b""));
                continue;
            }
            let version = self.told_to(side, event_loop.now).0;
            match (field("index"), field("wait")) {
                (Some(from), Some(wait)) if from == version && wait > 0 => {
                    self.calls += 1;
                    self.waiting.insert(conn, (side, from, self.calls));
                    event_loop.schedule_after(
                        Micros::from_millis(wait.min(60_000) as i64),
                        TimerEvent::Wait(conn, self.calls),
                    );
                }
                (from, _) => self.tell(event_loop, conn, side, from),
            }
        }
    }

    fn shut(&mut self, event_loop: &mut Loop, side: usize, reset: bool) {
        let Some(listener) = self.sides[side].listener.take() else { return };
        event_loop.connections_of(listener).into_iter().for_each(|conn| {
            if reset {
                event_loop.reset(conn);
            } else {
                event_loop.close(conn);
            }
            self.conns.remove(&conn);
            self.waiting.remove(&conn);
        });
        event_loop.close_listener(listener);
    }

    fn open(&mut self, event_loop: &mut Loop, side: usize) {
        let to = self.sides[side].address;
        match event_loop.listen(to) {
            Ok(listener) => self.sides[side].listener = Some(listener),
            Err(e) => event_loop.record(What::Note { text: format!("agent cannot listen on {to}: {e}") }),
        }
    }

    /// Takes up what came in while it was silent.
    fn speak_again(&mut self, event_loop: &mut Loop, side: usize) {
        let conns: Vec<_> = self.conns.iter().filter(|(_, of)| **of == side).map(|(conn, _)| *conn).collect();
        conns.into_iter().for_each(|conn| self.calls_on(event_loop, conn));
        self.tell_all(event_loop);
    }
}

impl Component for Agent {
    type TimerEvent = TimerEvent;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        for (name, address) in self.spec.listen.clone() {
            let listener = Some(event_loop.listen(address)?);
            let (mute, frozen, behind, delay, cut, moved) = Default::default();
            let had = self.entries.values().map(|entry| (entry.host.clone(), entry.health.clone())).collect();
            self.sides.push(Side { name, listener, mute, frozen, behind, delay, address, cut, moved, had });
        }
        Ok(())
    }

    fn on_accept(&mut self, _event_loop: &mut Loop, on: ListenerId, conn: ConnId) {
        if let Some(side) = self.sides.iter().position(|side| side.listener == Some(on)) {
            self.conns.insert(conn, side);
        }
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        self.calls_on(event_loop, conn);
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, _how: ConnectionEnd) {
        event_loop.close(conn);
        self.conns.remove(&conn);
        self.waiting.remove(&conn);
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::Set(entry) => self.set(event_loop, entry),
            TimerEvent::Answer(conn, answer, hosts, version) => {
                self.answer(event_loop, conn, answer, hosts, version)
            }
            TimerEvent::Look => self.tell_all(event_loop),
            TimerEvent::Wait(conn, call) => {
                let found =
                    self.waiting.get(&conn).filter(|(side, _, c)| *c == call && !self.sides[*side].mute);
                if let Some((side, from, _)) = found.copied() {
                    self.waiting.remove(&conn);
                    self.tell(event_loop, conn, side, Some(from));
                }
            }
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        match command {
            Command::Set(entry) => {
                let lag = self.spec.lag;
                event_loop.schedule_after(lag, TimerEvent::Set(entry));
            }
            Command::Mute { proxy, on } => {
                self.sides[proxy].mute = on;
                self.speak_again(event_loop, proxy);
            }
            Command::Stale { proxy, on } => {
                let now = (self.version, self.entries.values().cloned().collect());
                self.sides[proxy].frozen = on.then_some(now);
                self.speak_again(event_loop, proxy);
            }
            Command::JumpBack { by } => {
                // As after the loss of its memory: fewer versions than before, all of them new.
                self.version = self.version.saturating_sub(by);
                self.changes.clear();
                self.version = self.version.min(999);
                self.note(event_loop.now);
                self.tell_all(event_loop);
            }
            Command::Cut { proxy, on } => {
                self.sides[proxy].cut = on;
                if on {
                    self.shut(event_loop, proxy, true);
                } else {
                    self.open(event_loop, proxy);
                    self.count(event_loop);
                }
            }
            Command::Behind { proxy, by } => {
                self.sides[proxy].behind = by;
                self.tell_all(event_loop);
            }
            Command::Delay { proxy, by } => self.sides[proxy].delay = by,
            Command::Move { proxy, to } => {
                (self.sides[proxy].address, self.sides[proxy].moved) = (to, true);
                self.shut(event_loop, proxy, false);
                if !self.sides[proxy].cut {
                    self.open(event_loop, proxy);
                }
            }
        }
    }
}

/// Unix time in milliseconds of a point on the lab's clock.
pub fn unix_ms(at: At) -> f64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    unix.as_secs_f64() * 1000.0 - (At::now().0 - at.0) as f64 / 1000.0
}
