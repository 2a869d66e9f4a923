//! Pairs of connections, of which each passes on what the other brings: after a delay, in order, within a bounded
//! buffer, and only while its way lets anything pass.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::{At, Micros};
use crate::event_loop::{ConnId, EventLoop};

/// What was on the way over this connection may come out.
#[derive(Clone, Copy, Debug)]
pub struct Release(pub ConnId);

/// How a way is just now.
#[derive(Clone, Copy, Debug)]
pub struct Conduct {
    pub delay: Micros,
    /// Bytes a second; 0 is no bound.
    pub rate: u64,
    /// Bytes that may be under way.
    pub buffer: usize,
    pub way: Way,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Open,
    /// Bytes wait until it is open again, as those that are sent again and again.
    Held,
    /// Bytes are lost, and nobody is told.
    Dark,
}

/// One direction's end: where the bytes of a connection go on.
struct End<T> {
    other: ConnId,
    tag: T,
    /// Bytes under way, with when they come out; nothing stands for the end.
    under_way: VecDeque<(At, Vec<u8>)>,
    bytes: usize,
    last: At,
    paused: bool,
    closed: bool,
}

/// All pairs; the tag says which direction a connection's bytes go.
pub struct Pipes<T> {
    ends: BTreeMap<ConnId, End<T>>,
}

impl<T: Copy> Default for Pipes<T> {
    fn default() -> Pipes<T> {
        Pipes { ends: BTreeMap::new() }
    }
}

impl<T: Copy> Pipes<T> {
    pub fn join(&mut self, one: (ConnId, T), other: (ConnId, T)) {
        let end = |other, tag| End {
            other,
            tag,
            under_way: VecDeque::new(),
            bytes: 0,
            last: At::default(),
            paused: false,
            closed: false,
        };
        self.ends.insert(one.0, end(other.0, one.1));
        self.ends.insert(other.0, end(one.0, other.1));
    }

    pub fn tag(&self, conn: ConnId) -> Option<T> {
        self.ends.get(&conn).map(|end| end.tag)
    }

    pub fn other(&self, conn: ConnId) -> Option<ConnId> {
        self.ends.get(&conn).map(|end| end.other)
    }

    pub fn conns(&self) -> Vec<ConnId> {
        self.ends.keys().copied().collect()
    }

    /// Gives a connection up without a word to either side.
    pub fn forget(&mut self, conn: ConnId) {
        self.ends.remove(&conn);
    }

    /// Takes what came on a connection onto the way, and its end with it where that came.
    pub fn take<D: From<Release>>(
        &mut self,
        event_loop: &mut EventLoop<D>,
        conn: ConnId,
        end: bool,
        conduct: Conduct,
    ) {
        let Some(way) = self.ends.get_mut(&conn) else { return };
        let length = event_loop.input(conn).len();
        let bytes = event_loop.take(conn, length);
        if conduct.way == Way::Dark {
            return;
        }
        let mut out = (event_loop.now + conduct.delay).max(way.last);
        if let Some(us) = (bytes.len() as u64 * 1_000_000).checked_div(conduct.rate) {
            out = out + Micros(us as i64);
        }
        way.last = out;
        way.bytes += bytes.len();
        if !bytes.is_empty() {
            way.under_way.push_back((out, bytes));
        }
        if end {
            way.under_way.push_back((out, Vec::new()));
        }
        if way.bytes > conduct.buffer && !way.paused {
            way.paused = true;
            event_loop.pause(conn, true);
        }
        if out <= event_loop.now {
            self.release(event_loop, conn, conduct);
        } else {
            event_loop.at(out, Release(conn).into());
        }
    }

    pub fn release<D>(&mut self, event_loop: &mut EventLoop<D>, conn: ConnId, conduct: Conduct) {
        let buffer = conduct.buffer;
        loop {
            let Some(end) = self.ends.get_mut(&conn) else { return };
            let other = end.other;
            // Guards against the far side's slowness being hidden by a buffer without an end.
            if conduct.way == Way::Held || event_loop.unwritten(other) > buffer {
                break;
            }
            let Some((_, bytes)) = end.under_way.pop_front_if(|(at, _)| *at <= event_loop.now) else { break };
            end.bytes -= bytes.len();
            if conduct.way == Way::Dark {
                continue;
            }
            if bytes.is_empty() {
                end.closed = true;
                event_loop.end_sending(other);
                let both = self.ends.get(&other).is_some_and(|end| end.closed);
                if both {
                    self.cut(event_loop, conn, false);
                }
                return;
            }
            event_loop.write(other, &bytes);
        }
        if let Some(end) = self.ends.get_mut(&conn) {
            if end.paused && end.bytes <= buffer / 2 {
                end.paused = false;
                event_loop.pause(conn, false);
            }
        }
    }

    /// Ends both connections of a pair.
    pub fn cut<D>(&mut self, event_loop: &mut EventLoop<D>, conn: ConnId, reset: bool) {
        let Some(end) = self.ends.remove(&conn) else { return };
        self.ends.remove(&end.other);
        for conn in [conn, end.other] {
            if reset {
                event_loop.reset(conn);
            } else {
                event_loop.close(conn);
            }
        }
    }
}
