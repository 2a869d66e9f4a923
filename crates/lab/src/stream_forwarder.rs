//! Forwards bytes between pairs of connections: after a delay, in order, within a bounded buffer, and as the
//! state of the network path allows.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::{Micros, Timestamp};
use crate::event_loop::{ConnId, EventLoop};

/// Timer event: bytes received on this connection may be due for forwarding.
#[derive(Clone, Copy, Debug)]
pub struct Release(pub ConnId);

/// The current state of a network path.
#[derive(Clone, Copy, Debug)]
pub struct PathState {
    pub delay: Micros,
    /// Bytes per second; 0 is unlimited.
    pub rate: u64,
    /// The most bytes in flight before reading pauses.
    pub buffer: usize,
    pub mode: PathMode,
}

/// What happens to bytes on a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathMode {
    Open,
    /// Bytes wait until the path is open again, as with TCP retransmissions.
    Stalled,
    /// Bytes are dropped silently.
    BlackHole,
}

/// One direction of a pair: the bytes received on one connection, to be written to the other.
struct Flow<T> {
    other: ConnId,
    tag: T,
    /// Chunks with the time at which each is forwarded; an empty chunk stands for the end of stream.
    in_flight: VecDeque<(Timestamp, Vec<u8>)>,
    in_flight_bytes: usize,
    last_release: Timestamp,
    paused: bool,
    eof_forwarded: bool,
}

/// All connected pairs. The tag says in which direction a connection's bytes go.
pub struct StreamForwarder<T> {
    flows: BTreeMap<ConnId, Flow<T>>,
}

impl<T: Copy> Default for StreamForwarder<T> {
    fn default() -> StreamForwarder<T> {
        StreamForwarder { flows: BTreeMap::new() }
    }
}

impl<T: Copy> StreamForwarder<T> {
    pub fn add_pair(&mut self, first: (ConnId, T), second: (ConnId, T)) {
        let flow = |other, tag| Flow {
            other,
            tag,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            last_release: Timestamp::default(),
            paused: false,
            eof_forwarded: false,
        };
        self.flows.insert(first.0, flow(second.0, first.1));
        self.flows.insert(second.0, flow(first.0, second.1));
    }

    pub fn tag(&self, conn: ConnId) -> Option<T> {
        self.flows.get(&conn).map(|flow| flow.tag)
    }

    pub fn other(&self, conn: ConnId) -> Option<ConnId> {
        self.flows.get(&conn).map(|flow| flow.other)
    }

    pub fn connections(&self) -> Vec<ConnId> {
        self.flows.keys().copied().collect()
    }

    /// Stops forwarding from a connection without closing either side.
    pub fn remove(&mut self, conn: ConnId) {
        self.flows.remove(&conn);
    }

    /// Takes the received bytes of a connection into flight, and its end of stream if `eof`.
    pub fn receive<D: From<Release>>(
        &mut self,
        event_loop: &mut EventLoop<D>,
        conn: ConnId,
        eof: bool,
        path: PathState,
    ) {
        let Some(flow) = self.flows.get_mut(&conn) else { return };
        let length = event_loop.input(conn).len();
        let bytes = event_loop.consume(conn, length);
        if path.mode == PathMode::BlackHole {
            return;
        }
        let mut release_at = (event_loop.now + path.delay).max(flow.last_release);
        if let Some(us) = (bytes.len() as u64 * 1_000_000).checked_div(path.rate) {
            release_at = release_at + Micros(us as i64);
        }
        flow.last_release = release_at;
        flow.in_flight_bytes += bytes.len();
        if !bytes.is_empty() {
            flow.in_flight.push_back((release_at, bytes));
        }
        if eof {
            flow.in_flight.push_back((release_at, Vec::new()));
        }
        if flow.in_flight_bytes > path.buffer && !flow.paused {
            flow.paused = true;
            event_loop.set_paused(conn, true);
        }
        if release_at <= event_loop.now {
            self.release(event_loop, conn, path);
        } else {
            event_loop.schedule_at(release_at, Release(conn).into());
        }
    }

    /// Forwards the bytes of a connection that are due.
    pub fn release<D>(&mut self, event_loop: &mut EventLoop<D>, conn: ConnId, path: PathState) {
        let buffer = path.buffer;
        loop {
            let Some(flow) = self.flows.get_mut(&conn) else { return };
            let other = flow.other;
            // Stops while much is unwritten: an unbounded buffer would hide the far side's slowness.
            if path.mode == PathMode::Stalled || event_loop.unwritten_bytes(other) > buffer {
                break;
            }
            let Some((_, bytes)) = flow.in_flight.pop_front_if(|(at, _)| *at <= event_loop.now) else {
                break;
            };
            flow.in_flight_bytes -= bytes.len();
            if path.mode == PathMode::BlackHole {
                continue;
            }
            if bytes.is_empty() {
                flow.eof_forwarded = true;
                event_loop.shutdown_write(other);
                let both_ended = self.flows.get(&other).is_some_and(|flow| flow.eof_forwarded);
                if both_ended {
                    self.close_pair(event_loop, conn, false);
                }
                return;
            }
            event_loop.write(other, &bytes);
        }
        if let Some(flow) = self.flows.get_mut(&conn) {
            if flow.paused && flow.in_flight_bytes <= buffer / 2 {
                flow.paused = false;
                event_loop.set_paused(conn, false);
            }
        }
    }

    /// Closes both connections of a pair.
    pub fn close_pair<D>(&mut self, event_loop: &mut EventLoop<D>, conn: ConnId, reset: bool) {
        let Some(flow) = self.flows.remove(&conn) else { return };
        self.flows.remove(&flow.other);
        for conn in [conn, flow.other] {
            if reset {
                event_loop.reset(conn);
            } else {
                event_loop.close(conn);
            }
        }
    }
}
