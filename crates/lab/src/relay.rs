//! A link between two parts: bytes go on after a delay, in order, within a bounded buffer, until it is cut.

use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::Micros;
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::record::What;
use crate::scenario::{Direction, FaultKind, Link};
use crate::stream_forwarder::{Conduct, Pipes, Release, Way};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub listen: SocketAddr,
    pub to: SocketAddr,
    pub link: Link,
    pub seed: u64,
}

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

pub struct Relay {
    spec: Spec,
    pipes: Pipes<Direction>,
    rng: ChaCha8Rng,
    extra: Micros,
    /// Nothing passes in these directions, and no end is told.
    dark: [bool; 2],
}

type Loop = EventLoop<Release>;

impl Relay {
    pub fn new(spec: Spec) -> Relay {
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ spec.listen.port() as u64);
        Relay { spec, pipes: Pipes::default(), rng, extra: Micros::ZERO, dark: [false; 2] }
    }

    fn passes(&self, direction: Direction) -> bool {
        !self.dark[direction as usize]
    }

    fn conduct(&mut self, direction: Direction) -> Conduct {
        let link = self.spec.link;
        let delay = link.delay + link.jitter.scaled(self.rng.random::<f64>()) + self.extra;
        let way = if self.passes(direction) { Way::Open } else { Way::Dark };
        Conduct { delay, rate: link.rate, buffer: link.buffer, way }
    }

    fn take(&mut self, event_loop: &mut Loop, conn: ConnId, end: bool) {
        let Some(direction) = self.pipes.tag(conn) else { return };
        let conduct = self.conduct(direction);
        self.pipes.take(event_loop, conn, end, conduct);
    }

    fn release(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(direction) = self.pipes.tag(conn) else { return };
        let conduct = self.conduct(direction);
        self.pipes.release(event_loop, conn, conduct);
    }

    fn cut_all(&mut self, event_loop: &mut Loop, reset: bool) {
        self.pipes.conns().into_iter().for_each(|conn| self.pipes.cut(event_loop, conn, reset));
    }
}

impl Component for Relay {
    type Due = Release;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        event_loop.listen(self.spec.listen).map(|_| ())
    }

    fn accepted(&mut self, event_loop: &mut Loop, _on: ListenerId, conn: ConnId) {
        let Ok(other) = event_loop.dial(self.spec.to) else {
            event_loop.record(What::NotUp);
            return event_loop.reset(conn);
        };
        self.pipes.join((conn, Direction::Forth), (other, Direction::Back));
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
        let Some(direction) = self.pipes.tag(conn) else { return event_loop.close(conn) };
        if how == ConnectionEnd::Refused {
            event_loop.record(What::NotUp);
        }
        match how {
            ConnectionEnd::Closed => self.take(event_loop, conn, true),
            // In the dark the far side does not learn of it.
            ConnectionEnd::Reset | ConnectionEnd::Refused if !self.passes(direction) => {}
            ConnectionEnd::Reset | ConnectionEnd::Refused => self.pipes.cut(event_loop, conn, true),
        }
    }

    fn due(&mut self, event_loop: &mut Loop, Release(conn): Release) {
        self.release(event_loop, conn);
    }

    fn command(&mut self, event_loop: &mut Loop, command: Command) {
        let link = self.spec.name.clone();
        match command {
            Command::SetTarget(to) => self.spec.to = to,
            Command::Fault { kind, amount, direction } => {
                let how = format!("{kind:?}{}", direction.map_or(String::new(), |d| format!(" {d:?}")));
                event_loop.record(What::Cut { link, how });
                match kind {
                    FaultKind::Reset | FaultKind::Close => {
                        self.cut_all(event_loop, kind == FaultKind::Reset);
                    }
                    FaultKind::Delay => self.extra = Micros::from_ms(amount.unwrap_or(50.0)),
                    // Open connections fall silent for good; new ones are another matter.
                    FaultKind::HalfOpen => {
                        self.pipes.conns().into_iter().for_each(|conn| {
                            self.pipes.forget(conn);
                            event_loop.pause(conn, true);
                        });
                    }
                    _ => match direction {
                        Some(direction) => self.dark[direction as usize] = true,
                        None => self.dark = [true; 2],
                    },
                }
            }
            Command::ClearFault { kind } => {
                event_loop.record(What::Healed { link });
                match kind {
                    FaultKind::Delay => self.extra = Micros::ZERO,
                    FaultKind::BlackHole => {
                        // What stood in the dark is reset, as when a machine is back.
                        self.dark = [false; 2];
                        self.cut_all(event_loop, true);
                    }
                    FaultKind::HalfOpen => {
                        let kept = &self.pipes;
                        let dark: Vec<_> =
                            event_loop.conns().into_iter().filter(|conn| kept.tag(*conn).is_none()).collect();
                        dark.into_iter().for_each(|conn| event_loop.reset(conn));
                    }
                    _ => {}
                }
            }
        }
    }
}
