//! What all parts of the one loop share: the present time, the deadlines, the counters, and the notes in
//! which the parts tell the loop what has happened.

use std::collections::VecDeque;
use std::io::{Read, Write};

use mio::event::Source;
use mio::{Registry, Token};
use sparlug::event::Load;
use sparlug::id::{AttemptNo, BackendId, RequestId, TenantId, TimerMark};
use sparlug::time::{Span, Time};

use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::ending::Ending;
use crate::failures::SystemCall;
use crate::http::{RequestHead, ResponseHead};
use crate::link::Link;
use crate::listing::List;
use crate::said::{Call, Word};
use crate::slots::Slot;

/// Marks of the kinds of slots.
pub enum OfClient {}
pub enum OfConn {}
pub enum OfHeld {}
pub enum OfCall {}
pub enum OfPeer {}

/// A connection that a caller opened.
pub type ClientSlot = Slot<OfClient>;
/// A connection to a backend.
pub type ConnSlot = Slot<OfConn>;
/// A request until it is answered and all its attempts have ended.
pub type HeldSlot = Slot<OfHeld>;
/// A connection that an operator opened.
pub type CallSlot = Slot<OfCall>;
/// A process beside this one.
pub type PeerSlot = Slot<OfPeer>;

pub struct Shared {
    pub registry: Registry,
    pub now: Time,
    /// What is read now may have come as early as this.
    pub since: Time,
    pub deadlines: Deadlines<Due>,
    pub counters: Counters,
    /// Connections from callers.
    pub callers: usize,
    /// Connections to backends.
    pub backend_connections: usize,
    pub notes: VecDeque<Note>,
    /// Requests with bodies that are passed on as they come, and the bytes that those in each direction may hold.
    pub streams: usize,
    pub stream_bytes: usize,
}

impl Shared {
    /// Has a link looked at again where a call failed and no event will tell when it may succeed.
    /// Whether it is.
    pub fn settle<S: Read + Write + Source>(&mut self, link: &mut Link<S>, owner: Owner) -> bool {
        let (at, watched) = link.settle(self.now, &self.registry, owner.token());
        if let Err(e) = watched {
            self.counters.failures.count(SystemCall::Register, &e);
        }
        if let Some(at) = at {
            self.deadlines.set(at, Due::Again(owner));
        }
        at.is_some()
    }
}

const WINDOW_LEAST: usize = 8 * 1024;
const WINDOW_MOST: usize = 128 * 1024;

impl Shared {
    /// How much of one body may be on its way through: the same for all.
    pub fn window(&self) -> usize {
        (self.stream_bytes / self.streams.max(1)).clamp(WINDOW_LEAST, WINDOW_MOST)
    }
}

/// What a deadline is for.
#[derive(Clone, Copy, Debug)]
pub enum Due {
    /// A timer of the decisions.
    Timer(TimerMark),
    /// A request's deadline.
    Deadline(RequestId),
    /// A client's message that has begun and does not come to its end, or its connection's last moments.
    Client(ClientSlot),
    /// Something is to be looked at without an event: more may be there than was read, or a call failed.
    Again(Owner),
    /// A connection that should be up.
    Dial(ConnSlot),
    /// The end of the time for what a connection carries.
    Attempt(ConnSlot),
    /// An answer whose length is unknown goes on from here, even if it is short.
    Begin(ConnSlot),
    /// The end of the time that a connection may stand idle.
    Idle(ConnSlot),
    /// The answer of discovery, or the next call to it.
    List,
    /// The fleet's members have something to do.
    Fleet,
    /// The fleet is to be joined, which failed.
    JoinFleet,
    /// A duty is to be asked for, renewed or given away.
    Duties,
    /// The next step of going down.
    Leave,
    /// The configuration is to be read anew, which failed for a moment.
    Reload,
    /// The end of the time for an operator's call.
    Call(CallSlot),
}

/// A request as it came, with the few things that were taken out.
#[derive(Debug)]
pub struct Incoming {
    pub head: RequestHead,
    pub message: Vec<u8>,
    pub class: u16,
    pub tenant: TenantId,
    /// How long the client waits from its last byte on, and until when if that has come.
    pub waits: Span,
    pub deadline: Time,
    /// Its last byte has come; if not, the rest is to be had from the client.
    pub whole: bool,
}

/// What a connection to a backend is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Attempt(RequestId, AttemptNo),
    Check,
}

/// What became of an attempt or a check.
#[derive(Debug)]
pub struct Done {
    pub backend: BackendId,
    pub purpose: Purpose,
    pub ending: Ending,
    pub took: Span,
    pub load: Load,
    /// The whole answer, if one came.
    pub answer: Option<(ResponseHead, Vec<u8>)>,
}

/// An answer that is passed on as it comes, at its beginning.
#[derive(Debug)]
pub struct Begun {
    pub backend: BackendId,
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub head: ResponseHead,
    /// The head and what has come of the body.
    pub message: Vec<u8>,
    pub took: Span,
}

#[derive(Debug)]
pub enum Note {
    Taken(ClientSlot, Incoming),
    /// The client is gone; what it waited for.
    Left(RequestId),
    Done(Done),
    Began(Begun),
    /// More of a request's body has come, or can be sent on.
    Up(RequestId),
    /// And of an answer's.
    Down(RequestId),
    /// A call of this machine failed that was to send something to a backend.
    Unsent(BackendId),
    /// A list, and the version that it follows.
    Listed(List, Option<u64>),
    ListFailed,
    /// An operator asks for something.
    Called(CallSlot, Call),
    /// A process that takes this one's place, or whose place this one takes, has come or gone.
    Beside,
    /// And what it says.
    Said(Word),
}

/// Whose event it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Owner {
    Listener,
    Signals,
    Discovery(u32),
    Client(ClientSlot),
    Conn(ConnSlot),
    Management,
    Call(CallSlot),
    Handover,
    Peer(PeerSlot),
    Peers,
    Fleet,
}

impl Owner {
    pub fn token(self) -> Token {
        let (kind, number) = match self {
            Owner::Listener => (0, 0),
            Owner::Signals => (0, 1),
            Owner::Management => (0, 2),
            Owner::Handover => (0, 3),
            Owner::Peers => (0, 4),
            Owner::Fleet => (0, 5),
            Owner::Discovery(turn) => (1, u64::from(turn)),
            Owner::Client(slot) => (2, slot.number()),
            Owner::Conn(slot) => (3, slot.number()),
            Owner::Call(slot) => (4, slot.number()),
            Owner::Peer(slot) => (5, slot.number()),
        };
        Token((number as usize) << 3 | kind)
    }

    pub fn of(token: Token) -> Owner {
        let number = token.0 as u64 >> 3;
        match (token.0 & 7, number) {
            (0, 0) => Owner::Listener,
            (0, 1) => Owner::Signals,
            (0, 2) => Owner::Management,
            (0, 3) => Owner::Handover,
            (0, 4) => Owner::Peers,
            (0, _) => Owner::Fleet,
            (1, _) => Owner::Discovery(number as u32),
            (2, _) => Owner::Client(Slot::from_number(number)),
            (3, _) => Owner::Conn(Slot::from_number(number)),
            (4, _) => Owner::Call(Slot::from_number(number)),
            _ => Owner::Peer(Slot::from_number(number)),
        }
    }
}
