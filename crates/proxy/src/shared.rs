//! What all parts of the one loop share: the present time, the deadlines, the counters, and the notes in
//! which the parts tell the loop what has happened.

use std::collections::VecDeque;
use std::io::{Read, Write};

use mio::event::Source;
use mio::{Registry, Token};
use sparlug::event::Load;
use sparlug::id::{AttemptNo, BackendId, RequestId, TenantId, TimerId};
use sparlug::time::{Span, Time};

use crate::attempt_result::AttemptResult;
use crate::buffered_stream::BufferedStream;
use crate::control_messages::{AdminRequest, HandoverMessage};
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::http::{RequestHead, ResponseHead};
use crate::io_failures::SystemCall;
use crate::listing::BackendList;
use crate::slots::Slot;

/// Marks of the kinds of slots.
pub enum ClientTag {}
pub enum ConnTag {}
pub enum RequestTag {}
pub enum AdminTag {}
pub enum HandoverTag {}

/// A connection that a caller opened.
pub type ClientSlot = Slot<ClientTag>;
/// A connection to a backend.
pub type ConnSlot = Slot<ConnTag>;
/// A request until it is answered and all its attempts have ended.
pub type RequestSlot = Slot<RequestTag>;
/// A connection that an operator opened.
pub type AdminSlot = Slot<AdminTag>;
/// A process beside this one.
pub type HandoverSlot = Slot<HandoverTag>;

pub struct IoContext {
    pub registry: Registry,
    pub now: Time,
    /// What is read now may have come as early as this.
    pub earliest_arrival: Time,
    pub deadlines: Deadlines<TimerEvent>,
    pub counters: Counters,
    /// Connections from callers.
    pub client_connections: usize,
    /// Connections to backends.
    pub backend_connections: usize,
    pub events: VecDeque<ProxyEvent>,
    /// Requests with bodies that are passed on as they come, and the bytes that those in each direction may hold.
    pub streaming_requests: usize,
    pub streaming_bytes: usize,
}

impl IoContext {
    /// Has a link looked at again where a call failed and no event will tell when it may succeed.
    /// Whether it is.
    pub fn schedule_retry<S: Read + Write + Source>(
        &mut self,
        link: &mut BufferedStream<S>,
        owner: Owner,
    ) -> bool {
        let (at, watched) = link.next_retry(self.now, &self.registry, owner.token());
        if let Err(e) = watched {
            self.counters.failures.count(SystemCall::Register, &e);
        }
        if let Some(at) = at {
            self.deadlines.set(at, TimerEvent::Recheck(owner));
        }
        at.is_some()
    }
}

const WINDOW_LEAST: usize = 8 * 1024;
const WINDOW_MOST: usize = 128 * 1024;

impl IoContext {
    /// How much of one body may be on its way through: the same for all.
    pub fn window(&self) -> usize {
        (self.streaming_bytes / self.streaming_requests.max(1)).clamp(WINDOW_LEAST, WINDOW_MOST)
    }
}

/// What a deadline is for.
#[derive(Clone, Copy, Debug)]
pub enum TimerEvent {
    /// A timer of the decisions.
    Balancer(TimerId),
    /// A request's deadline.
    RequestDeadline(RequestId),
    /// A client's message that has begun and does not come to its end, or its connection's last moments.
    ClientTimeout(ClientSlot),
    /// Something is to be looked at without an event: more may be there than was read, or a call failed.
    Recheck(Owner),
    /// A connection that should be up.
    ConnectTimeout(ConnSlot),
    /// The end of the time for what a connection carries.
    AttemptTimeout(ConnSlot),
    /// An answer whose length is unknown goes on from here, even if it is short.
    StartStreaming(ConnSlot),
    /// The end of the time that a connection may stand idle.
    IdleTimeout(ConnSlot),
    /// The answer of discovery, or the next call to it.
    Discovery,
    /// The fleet's members have something to do.
    Fleet,
    /// The fleet is to be joined, which failed.
    JoinFleet,
    /// A duty is to be asked for, renewed or given away.
    Duties,
    /// The next step of going down.
    Shutdown,
    /// The configuration is to be read anew, which failed for a moment.
    Reload,
    /// The end of the time for an operator's call.
    AdminTimeout(AdminSlot),
}

/// A request as it came, with the few things that were taken out.
#[derive(Debug)]
pub struct IncomingRequest {
    pub head: RequestHead,
    pub message: Vec<u8>,
    pub class: u16,
    pub tenant: TenantId,
    /// How long the client waits from its last byte on, and until when if that has come.
    pub timeout: Span,
    pub deadline: Time,
    /// Its last byte has come; if not, the rest is to be had from the client.
    pub complete: bool,
}

/// What a connection to a backend is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Attempt(RequestId, AttemptNo),
    Check,
}

/// What became of an attempt or a check.
#[derive(Debug)]
pub struct JobResult {
    pub backend: BackendId,
    pub purpose: Purpose,
    pub result: AttemptResult,
    pub took: Span,
    pub load: Load,
    /// The whole answer, if one came.
    pub response: Option<(ResponseHead, Vec<u8>)>,
}

/// An answer that is passed on as it comes, at its beginning.
#[derive(Debug)]
pub struct StartedResponse {
    pub backend: BackendId,
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub head: ResponseHead,
    /// The head and what has come of the body.
    pub message: Vec<u8>,
    pub took: Span,
}

#[derive(Debug)]
pub enum ProxyEvent {
    RequestReceived(ClientSlot, IncomingRequest),
    /// The client is gone; what it waited for.
    ClientGone(RequestId),
    JobEnded(JobResult),
    ResponseStarted(StartedResponse),
    /// More of a request's body has come, or can be sent on.
    RequestBodyReady(RequestId),
    /// And of an answer's.
    ResponseBodyReady(RequestId),
    /// A call of this machine failed that was to send something to a backend.
    SendFailed(BackendId),
    /// A list, and the version that it follows.
    ListReceived(BackendList, Option<u64>),
    ListFailed,
    /// An operator asks for something.
    AdminRequestReceived(AdminSlot, AdminRequest),
    /// A process that takes this one's place, or whose place this one takes, has come or gone.
    HandoverPeerChanged,
    /// And what it says.
    HandoverMessage(HandoverMessage),
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
    Call(AdminSlot),
    Handover,
    Peer(HandoverSlot),
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
            Owner::Client(slot) => (2, slot.to_number()),
            Owner::Conn(slot) => (3, slot.to_number()),
            Owner::Call(slot) => (4, slot.to_number()),
            Owner::Peer(slot) => (5, slot.to_number()),
        };
        Token((number as usize) << 3 | kind)
    }

    pub fn from_token(token: Token) -> Owner {
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
