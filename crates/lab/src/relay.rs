//! A TCP relay that emulates the link between two components: it forwards bytes after a delay, in order,
//! within a bounded buffer, and can be cut, delayed or black-holed.

use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::Micros;
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::record::RecordKind;
use crate::scenario::{Direction, FaultKind, Link};
use crate::stream_forwarder::{PathMode, PathState, Release, StreamForwarder};

/// What the relay is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub listen: SocketAddr,
    pub to: SocketAddr,
    pub link: Link,
    pub seed: u64,
}

/// Commands of the running scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    Fault {
        kind: FaultKind,
        amount: Option<f64>,
        direction: Option<Direction>,
    },
    #[serde(rename = "Mend")]
    ClearFault {
        kind: FaultKind,
    },
    #[serde(rename = "To")]
    SetTarget(SocketAddr),
}

/// The relay of one link.
pub struct Relay {
    spec: Spec,
    streams: StreamForwarder<Direction>,
    rng: ChaCha8Rng,
    extra_delay: Micros,
    /// Directions in which bytes and ends of stream are dropped silently.
    black_holed: [bool; 2],
}

type Loop = EventLoop<Release>;

impl Relay {
    pub fn new(spec: Spec) -> Relay {
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ spec.listen.port() as u64);
        Relay {
            spec,
            streams: StreamForwarder::default(),
            rng,
            extra_delay: Micros::ZERO,
            black_holed: [false; 2],
        }
    }

    fn is_open(&self, direction: Direction) -> bool {
        !self.black_holed[direction as usize]
    }

    fn path_state(&mut self, direction: Direction) -> PathState {
        let link = self.spec.link;
        let delay = link.delay + link.jitter.scaled(self.rng.random::<f64>()) + self.extra_delay;
        let mode = if self.is_open(direction) { PathMode::Open } else { PathMode::BlackHole };
        PathState { delay, rate: link.rate, buffer: link.buffer, mode }
    }

    fn receive(&mut self, event_loop: &mut Loop, conn: ConnId, eof: bool) {
        let Some(direction) = self.streams.tag(conn) else { return };
        let path = self.path_state(direction);
        self.streams.receive(event_loop, conn, eof, path);
    }

    fn release(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(direction) = self.streams.tag(conn) else { return };
        let path = self.path_state(direction);
        self.streams.release(event_loop, conn, path);
    }

    fn close_all(&mut self, event_loop: &mut Loop, reset: bool) {
        self.streams
            .connections()
            .into_iter()
            .for_each(|conn| self.streams.close_pair(event_loop, conn, reset));
    }
}

impl Component for Relay {
    type TimerEvent = Release;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        event_loop.listen(self.spec.listen).map(|_| ())
    }

    fn on_accept(&mut self, event_loop: &mut Loop, _listener: ListenerId, conn: ConnId) {
        let Ok(other) = event_loop.connect(self.spec.to) else {
            event_loop.record(RecordKind::ConnectFailed);
            return event_loop.reset(conn);
        };
        self.streams.add_pair((conn, Direction::Forth), (other, Direction::Back));
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
        let Some(direction) = self.streams.tag(conn) else { return event_loop.close(conn) };
        if how == ConnectionEnd::Refused {
            event_loop.record(RecordKind::ConnectFailed);
        }
        match how {
            ConnectionEnd::Closed => self.receive(event_loop, conn, true),
            // In a black hole the far side does not learn of the end.
            ConnectionEnd::Reset | ConnectionEnd::Refused if !self.is_open(direction) => {}
            ConnectionEnd::Reset | ConnectionEnd::Refused => self.streams.close_pair(event_loop, conn, true),
        }
    }

    fn on_timer(&mut self, event_loop: &mut Loop, Release(conn): Release) {
        self.release(event_loop, conn);
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        let link = self.spec.name.clone();
        match command {
            Command::SetTarget(to) => self.spec.to = to,
            Command::Fault { kind, amount, direction } => {
                let how = format!(
                    "{kind:?}{}",
                    direction.map_or(String::new(), |direction| format!(" {direction:?}"))
                );
                event_loop.record(RecordKind::Cut { link, how });
                match kind {
                    FaultKind::Reset | FaultKind::Close => {
                        self.close_all(event_loop, kind == FaultKind::Reset);
                    }
                    FaultKind::Delay => self.extra_delay = Micros::from_ms(amount.unwrap_or(50.0)),
                    // Open connections stay silent for good; new ones work.
                    FaultKind::HalfOpen => {
                        self.streams.connections().into_iter().for_each(|conn| {
                            self.streams.remove(conn);
                            event_loop.set_paused(conn, true);
                        });
                    }
                    _ => match direction {
                        Some(direction) => self.black_holed[direction as usize] = true,
                        None => self.black_holed = [true; 2],
                    },
                }
            }
            Command::ClearFault { kind } => {
                event_loop.record(RecordKind::Restored { link });
                match kind {
                    FaultKind::Delay => self.extra_delay = Micros::ZERO,
                    FaultKind::BlackHole => {
                        // Connections from before are reset, as when a machine comes back.
                        self.black_holed = [false; 2];
                        self.close_all(event_loop, true);
                    }
                    FaultKind::HalfOpen => {
                        let streams = &self.streams;
                        let silent: Vec<_> = event_loop
                            .connections()
                            .into_iter()
                            .filter(|conn| streams.tag(*conn).is_none())
                            .collect();
                        silent.into_iter().for_each(|conn| event_loop.reset(conn));
                    }
                    _ => {}
                }
            }
        }
    }
}
