//! A link between two parts: bytes go on after a delay, in order, within a bounded buffer, until it is cut.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::{At, Micros};
use crate::hub::{ConnId, Gone, Hub, ListenerId, Part};
use crate::record::What;
use crate::scenario::{Direction, FaultKind, Link};

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
    Fault { kind: FaultKind, amount: Option<f64>, direction: Option<Direction> },
    Mend { kind: FaultKind },
    To(SocketAddr),
}

#[derive(Debug)]
pub enum Due {
    Release(ConnId),
}

/// One direction's end: where the bytes of a connection go on.
struct End {
    other: ConnId,
    direction: Direction,
    /// Bytes under way, with when they come out; nothing stands for the end.
    way: VecDeque<(At, Vec<u8>)>,
    under_way: usize,
    last: At,
    paused: bool,
    closed: bool,
}

pub struct Relay {
    spec: Spec,
    ends: BTreeMap<ConnId, End>,
    rng: ChaCha8Rng,
    extra: Micros,
    /// Nothing passes in these directions, and no end is told.
    dark: [bool; 2],
}

type Loop = Hub<Due>;

impl Relay {
    pub fn new(spec: Spec) -> Relay {
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ spec.listen.port() as u64);
        Relay { spec, ends: BTreeMap::new(), rng, extra: Micros::ZERO, dark: [false; 2] }
    }

    fn passes(&self, direction: Direction) -> bool {
        !self.dark[direction as usize]
    }

    /// Takes what came on a connection onto the way.
    fn take(&mut self, hub: &mut Loop, conn: ConnId, end: bool) {
        let link = self.spec.link;
        let Some(direction) = self.ends.get(&conn).map(|e| e.direction) else { return };
        let jitter = link.jitter.scaled(self.rng.random::<f64>());
        let (delay, passes) = (link.delay + jitter + self.extra, self.passes(direction));
        let Some(way) = self.ends.get_mut(&conn) else { return };
        let length = hub.input(conn).len();
        let bytes = hub.take(conn, length);
        if !passes {
            return; // lost, and nobody is told
        }
        let mut out = (hub.now + delay).max(way.last);
        if let Some(us) = (bytes.len() as u64 * 1_000_000).checked_div(link.rate) {
            out = out + Micros(us as i64);
        }
        way.last = out;
        way.under_way += bytes.len();
        if !bytes.is_empty() {
            way.way.push_back((out, bytes));
        }
        if end {
            way.way.push_back((out, Vec::new()));
        }
        if way.under_way > link.buffer && !way.paused {
            way.paused = true;
            hub.pause(conn, true);
        }
        if out <= hub.now {
            self.release(hub, conn);
        } else {
            hub.at(out, Due::Release(conn));
        }
    }

    fn release(&mut self, hub: &mut Loop, conn: ConnId) {
        let buffer = self.spec.link.buffer;
        let Some(direction) = self.ends.get(&conn).map(|e| e.direction) else { return };
        let passes = self.passes(direction);
        loop {
            let Some(end) = self.ends.get_mut(&conn) else { return };
            let other = end.other;
            // Guards against the far side's slowness being hidden by a buffer without an end.
            if hub.unwritten(other) > buffer {
                break;
            }
            let Some((_, bytes)) = end.way.pop_front_if(|(at, _)| *at <= hub.now) else { break };
            end.under_way -= bytes.len();
            if !passes {
                continue;
            }
            if bytes.is_empty() {
                end.closed = true;
                hub.end_sending(other);
                let both = self.ends.get(&other).is_some_and(|end| end.closed);
                if both {
                    self.drop_pair(hub, conn, false);
                }
                return;
            }
            hub.write(other, &bytes);
        }
        if let Some(end) = self.ends.get_mut(&conn) {
            if end.paused && end.under_way <= buffer / 2 {
                end.paused = false;
                hub.pause(conn, false);
            }
        }
    }

    fn drop_pair(&mut self, hub: &mut Loop, conn: ConnId, reset: bool) {
        let Some(end) = self.ends.remove(&conn) else { return };
        self.ends.remove(&end.other);
        for conn in [conn, end.other] {
            if reset {
                hub.reset(conn);
            } else {
                hub.close(conn);
            }
        }
    }
}

impl Part for Relay {
    type Due = Due;
    type Command = Command;

    fn start(&mut self, hub: &mut Loop) -> io::Result<()> {
        hub.listen(self.spec.listen).map(|_| ())
    }

    fn accepted(&mut self, hub: &mut Loop, _on: ListenerId, conn: ConnId) {
        let Ok(other) = hub.dial(self.spec.to) else { return hub.reset(conn) };
        let end = |other, direction| End {
            other,
            direction,
            way: VecDeque::new(),
            under_way: 0,
            last: At::default(),
            paused: false,
            closed: false,
        };
        self.ends.insert(conn, end(other, Direction::Forth));
        self.ends.insert(other, end(conn, Direction::Back));
    }

    fn read(&mut self, hub: &mut Loop, conn: ConnId) {
        self.take(hub, conn, false);
    }

    fn written(&mut self, hub: &mut Loop, conn: ConnId) {
        if let Some(other) = self.ends.get(&conn).map(|end| end.other) {
            self.release(hub, other);
        }
    }

    fn gone(&mut self, hub: &mut Loop, conn: ConnId, how: Gone) {
        let Some(direction) = self.ends.get(&conn).map(|end| end.direction) else { return hub.close(conn) };
        match how {
            Gone::Closed => self.take(hub, conn, true),
            // In the dark the far side does not learn of it.
            Gone::Reset | Gone::Refused if !self.passes(direction) => {}
            Gone::Reset | Gone::Refused => self.drop_pair(hub, conn, true),
        }
    }

    fn due(&mut self, hub: &mut Loop, Due::Release(conn): Due) {
        self.release(hub, conn);
    }

    fn command(&mut self, hub: &mut Loop, command: Command) {
        let link = self.spec.name.clone();
        match command {
            Command::To(to) => self.spec.to = to,
            Command::Fault { kind, amount, direction } => {
                let how = format!("{kind:?}{}", direction.map_or(String::new(), |d| format!(" {d:?}")));
                hub.record(What::Cut { link, how });
                match kind {
                    FaultKind::Reset | FaultKind::Close => {
                        let all: Vec<_> = self.ends.keys().copied().collect();
                        all.into_iter().for_each(|conn| self.drop_pair(hub, conn, kind == FaultKind::Reset));
                    }
                    FaultKind::Delay => self.extra = Micros::from_ms(amount.unwrap_or(50.0)),
                    // Open connections fall silent for good; new ones are another matter.
                    FaultKind::HalfOpen => {
                        let all: Vec<_> = self.ends.keys().copied().collect();
                        all.into_iter().for_each(|conn| {
                            self.ends.remove(&conn);
                            hub.pause(conn, true);
                        });
                    }
                    _ => match direction {
                        Some(direction) => self.dark[direction as usize] = true,
                        None => self.dark = [true; 2],
                    },
                }
            }
            Command::Mend { kind } => {
                hub.record(What::Healed { link });
                match kind {
                    FaultKind::Delay => self.extra = Micros::ZERO,
                    FaultKind::BlackHole => {
                        // What stood in the dark is reset, as when a machine is back.
                        self.dark = [false; 2];
                        let all: Vec<_> = self.ends.keys().copied().collect();
                        all.into_iter().for_each(|conn| self.drop_pair(hub, conn, true));
                    }
                    FaultKind::HalfOpen => {
                        let kept = &self.ends;
                        let dark: Vec<_> =
                            hub.conns().into_iter().filter(|conn| !kept.contains_key(conn)).collect();
                        dark.into_iter().for_each(|conn| hub.reset(conn));
                    }
                    _ => {}
                }
            }
        }
    }
}
