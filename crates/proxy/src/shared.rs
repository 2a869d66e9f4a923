//! Types that the parts of the event loop share: its context (time, deadlines, counters), and the events by
//! which the parts report to it.

use std::collections::VecDeque;
use std::io::{Read, Write};

use mio::event::Source;
use mio::{Registry, Token};
use sparlug::event::Load;
use sparlug::id::{AttemptNo, BackendId, RequestId, TenantId, TimerId};
use sparlug::time::{Span, Time};

use crate::attempt_result::AttemptResult;
use crate::buffered_stream::BufferedStream;
use crate::connection_budget::ConnectionBudget;
use crate::control_messages::{AdminRequest, HandoverMessage};
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::http::{RequestHead, ResponseHead};
use crate::io_failures::SystemCall;
use crate::list_history::ListSource;
use crate::listing::BackendList;
use crate::memory_limit::MemoryLimit;
use crate::shutdown_schedule::ShutdownSchedule;
use crate::slots::Slot;

/// Tags that keep the kinds of slots apart.
pub enum ClientTag {}
pub enum ConnTag {}
pub enum RequestTag {}
pub enum AdminTag {}
pub enum HandoverTag {}

/// A connection that a client opened.
pub type ClientSlot = Slot<ClientTag>;
/// A connection to a backend.
pub type ConnSlot = Slot<ConnTag>;
/// A request, until it has its response and all its attempts have ended.
pub type RequestSlot = Slot<RequestTag>;
/// A connection that an operator opened.
pub type AdminSlot = Slot<AdminTag>;
/// A connection to the other process during an upgrade.
pub type HandoverSlot = Slot<HandoverTag>;

/// State of the event loop that its parts use while they handle an event.
pub struct IoContext {
    pub registry: Registry,
    pub now: Time,
    /// Earliest time at which what is read now can have arrived.
    pub earliest_arrival: Time,
    pub deadlines: Deadlines<TimerEvent>,
    pub counters: Counters,
    /// The open connections of clients and to backends, and how many there may be.
    pub connections: ConnectionBudget,
    /// Events that the proxy has not handled yet.
    pub events: VecDeque<ProxyEvent>,
    /// How much memory buffers may take.
    pub memory: MemoryLimit,
    /// The times of the shutdown, once the process was told to end.
    pub shutdown: Option<ShutdownSchedule>,
}

impl IoContext {
    /// Whether the shutdown has come to where no new request is accepted.
    pub fn refuses_requests(&self) -> bool {
        self.shutdown.is_some_and(|schedule| self.now >= schedule.accept_until)
    }

    /// Registers the stream unless that is done, and schedules a retry where a call failed and no event will
    /// tell when it may succeed. Returns whether it scheduled one.
    pub fn schedule_retry<S: Read + Write + Source>(
        &mut self,
        stream: &mut BufferedStream<S>,
        owner: Owner,
    ) -> bool {
        let (retry_at, registered) = stream.next_retry(self.now, &self.registry, owner.token());
        if let Err(e) = registered {
            self.counters.failures.count(SystemCall::Register, &e);
        }
        if let Some(retry_at) = retry_at {
            self.deadlines.set(retry_at, TimerEvent::Recheck(owner));
        }
        retry_at.is_some()
    }
}

/// What is due when a deadline passes.
#[derive(Clone, Copy, Debug)]
pub enum TimerEvent {
    /// A timer that the balancer set.
    Balancer(TimerId),
    /// The deadline of a request.
    RequestDeadline(RequestId),
    /// The time limit of a client's connection: for a request to arrive, a response to be read, or lingering
    /// after the last response.
    ClientTimeout(ClientSlot),
    /// A source to handle without an event: it may hold more than was read, or a call on it failed.
    Recheck(Owner),
    /// The time limit for a connection to be established.
    ConnectTimeout(ConnSlot),
    /// The time limit of the attempt or check that a connection carries.
    AttemptTimeout(ConnSlot),
    /// The time limit for the last byte of a message to reach its backend.
    DeliveryTimeout(ConnSlot),
    /// A response of unknown length is streamed from now on, even if it is short.
    StartStreaming(ConnSlot),
    /// The time limit of an idle connection.
    IdleTimeout(ConnSlot),
    /// The time limit of a discovery request, or the time for the next one.
    Discovery,
    /// The membership protocol of the fleet has something to do.
    Fleet,
    /// The next try to join the fleet, after one that failed.
    JoinFleet,
    /// A duty's lease is to be requested, renewed or released.
    Duties,
    /// The next step of the shutdown.
    Shutdown,
    /// The next try to reload the configuration, after one that failed for a passing reason.
    Reload,
    /// The time limit of an operator's request.
    AdminTimeout(AdminSlot),
}

/// A request as received, with the fields that were parsed out of it.
#[derive(Debug)]
pub struct IncomingRequest {
    pub head: RequestHead,
    pub message: Vec<u8>,
    pub class: u16,
    pub tenant: TenantId,
    /// How long the client waits, counted from the last byte of the request.
    pub timeout: Span,
    /// The end of that time, if the last byte has arrived.
    pub deadline: Time,
    /// The last byte has arrived; if not, the rest is still to be read from the client.
    pub complete: bool,
}

/// What a connection to a backend carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Attempt(RequestId, AttemptNo),
    Check,
}

/// The result of an attempt or a check.
#[derive(Debug)]
pub struct JobResult {
    pub backend: BackendId,
    pub purpose: Purpose,
    pub result: AttemptResult,
    pub took: Span,
    pub load: Load,
    /// The head and the complete message of the response, if one came.
    pub response: Option<(ResponseHead, Vec<u8>)>,
}

/// The start of a response that is streamed to the client.
#[derive(Debug)]
pub struct StartedResponse {
    pub backend: BackendId,
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub head: ResponseHead,
    /// The head and the part of the body that has arrived.
    pub message: Vec<u8>,
    pub took: Span,
}

/// A list of backends that is to be applied.
#[derive(Debug)]
pub struct ReceivedList {
    pub list: BackendList,
    pub source: ListSource,
    /// Version of the list that was applied before it, if both are from one agent.
    pub previous_version: Option<u64>,
}

/// What the parts of the event loop report to the proxy.
#[derive(Debug)]
pub enum ProxyEvent {
    RequestReceived(ClientSlot, IncomingRequest),
    /// The client of this request is gone.
    ClientGone(RequestId),
    JobEnded(JobResult),
    ResponseStarted(StartedResponse),
    /// More of the request's body has arrived, or can be written to the backend.
    RequestBodyReady(RequestId),
    /// More of the response's body has arrived, or can be written to the client.
    ResponseBodyReady(RequestId),
    /// A system call that was needed to send something to this backend failed on this machine.
    SendFailed(BackendId),
    ListReceived(ReceivedList),
    ListFailed,
    /// An operator sent a request.
    AdminRequestReceived(AdminSlot, AdminRequest),
    /// A process that replaces this one, or that this one replaces, has connected or gone.
    HandoverPeerChanged,
    /// A message from that process.
    HandoverMessage(HandoverMessage),
}

/// The part of the proxy or the connection that an event of the operating system belongs to. Log lines show
/// the variants by `Debug`, so their names are fixed.
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
            Owner::Discovery(connection_number) => (1, u64::from(connection_number)),
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
