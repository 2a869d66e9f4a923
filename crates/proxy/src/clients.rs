//! Connections from clients: the listener, the accepted connections, and the requests read from them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use sparlug::id::RequestId;
use sparlug::time::{Span, Time};

use crate::acceptor::{Accepted, Acceptor, MAX_ACCEPTS_PER_TURN};
use crate::buffered_stream::{BufferSizes, BufferedStream};
use crate::close_reason::CloseReason;
use crate::config::Budgets;
use crate::http::{MAX_BUFFERED_MESSAGE_BYTES, MAX_HEAD_BYTES};
use crate::io_failures::{is_descriptor_limit, SystemCall};
use crate::shared::{ClientSlot, ClientTag, IoContext, Owner, ProxyEvent, TimerEvent};
use crate::slots::Slots;

mod capacity;
mod client;
mod eviction;
mod id_history;
mod presence;
mod requests;
mod responses;

use crate::process_usage::descriptor_capacity;
use client::{Client, ClientState};
use eviction::{EvictionOrder, EvictionRank};
pub use id_history::IdHash;
use id_history::IdHistory;
use presence::Presence;

const FIRST_REQUEST_READ_TIMEOUT: Span = Span::from_millis(2_300); // from the accept to the complete request
const REQUEST_READ_TIMEOUT: Span = Span::from_millis(2_300); // for a later request, from its first byte
const BODY_CHECK_INTERVAL: Span = Span::from_millis(1_050); // between checks of a body's progress
const BODY_GRACE_TIME: Span = Span::from_millis(2_000); // before a body's progress is judged
const BODY_SILENCE_TIMEOUT: Span = Span::from_millis(1_000); // without a byte, after which a body is stalled
const MIN_BODY_BYTES_PER_MS: f64 = 20.0;
const IDLE_TIMEOUT: Span = Span::from_millis(15_000); // between requests
const RESPONSE_WRITE_TIMEOUT: Span = Span::from_millis(10_000); // for the client to read a response
const LINGER_TIMEOUT: Span = Span::from_millis(1_000); // for the client to read the last response and close
const CLIENT_GONE_STATUS: u16 = 499; // counted for a request whose connection closes before its response
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The names, longest deadlines and methods of the request classes, and the names of the tenants.
pub struct Classes {
    pub names: Vec<String>,
    pub deadlines: Vec<Span>,
    pub methods: Vec<&'static str>,
    pub tenants: Vec<String>,
}

/// All connections from clients.
pub struct Clients {
    acceptor: Acceptor,
    /// Another process accepts connections on the same listener.
    shares_listener: bool,
    connections: Slots<ClientTag, Client>,
    /// The connections that may be evicted for a new one, by rank and then by last use.
    eviction_order: EvictionOrder,
    /// The ids of all requests that have no response yet.
    active_ids: BTreeSet<String>,
    id_history: IdHistory,
    classes: Classes,
    pub budgets: Budgets,
    /// The connection limit where the process has fewer descriptors than the configuration allows.
    descriptor_limit: Option<usize>,
    /// Since when new connections wait because the limit is reached.
    full_since: Option<Time>,
    pub ready: bool,
}

impl Clients {
    /// `shares_listener` tells that another process accepts connections on the same listener.
    pub fn new(
        listener: Option<TcpListener>,
        shares_listener: bool,
        classes: Classes,
        budgets: Budgets,
    ) -> Clients {
        let (connections, eviction_order, active_ids, id_history, full_since, ready) = Default::default();
        Clients {
            acceptor: Acceptor::new(listener, Owner::Listener),
            shares_listener,
            connections,
            eviction_order,
            active_ids,
            id_history,
            classes,
            budgets,
            descriptor_limit: None,
            full_since,
            ready,
        }
    }

    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.budgets = budgets;
        self.descriptor_limit = None;
    }

    /// Whether no client is connected: all got their responses, and read them or had time to.
    pub fn is_empty(&self) -> bool {
        self.connections.count() == 0
    }

    /// The number of connections on which a response may still be pending.
    pub fn unfinished_count(&self) -> usize {
        self.connections.count() - self.eviction_order.count(EvictionRank::Lingering)
    }

    /// The number of received requests that have not ended.
    pub fn in_flight_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|(_, client)| client.open_class.is_some() && client.incoming_body.is_none())
            .count()
    }

    /// The metrics of open connections, their limit, and whether new ones wait for one to end.
    pub fn report(&self) -> String {
        let (open, limit, waiting) =
            (self.connections.count(), self.limit(), u8::from(self.full_since.is_some()));
        format!("svc.clients.open:{open}|g\nsvc.clients.limit:{limit}|g\nsvc.clients.waiting:{waiting}|g\n")
    }

    /// Memory of the buffers of all connections.
    pub fn buffer_sizes(&self) -> BufferSizes {
        self.connections.iter().map(|(_, client)| client.stream.allocated_bytes()).sum()
    }

    /// The at-most-once requests that were accepted lately, for the other process of a handover.
    pub fn export_ids(&self) -> Vec<u64> {
        self.id_history.export()
    }

    /// Remembers requests that the other process of a handover has accepted.
    pub fn import_ids(&mut self, ids: &[u64], now: Time) {
        ids.iter().for_each(|id| self.id_history.insert(IdHash(*id), now));
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }

    pub fn slots(&self) -> impl Iterator<Item = ClientSlot> + '_ {
        self.connections.iter().map(|(slot, _)| slot)
    }

    pub fn class_names(&self) -> &[String] {
        &self.classes.names
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener()?.local_addr().ok()
    }

    /// The proxy can serve requests from now on.
    pub fn set_ready(&mut self, io: &mut IoContext) {
        if !std::mem::replace(&mut self.ready, true) {
            io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Listener));
        }
    }

    pub fn listener(&self) -> Option<&TcpListener> {
        self.acceptor.listener()
    }

    pub fn accept(&mut self, io: &mut IoContext) {
        // Until this process is ready, the previous one serves new connections at once.
        if self.shares_listener && !self.ready {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.make_room(io) {
                self.set_full(true, io.now);
                // The process's limit may have been raised.
                self.budgets.apply_to(&mut io.connections);
                if self.descriptor_limit.is_some() {
                    self.set_descriptor_limit(descriptor_capacity(self.budgets.reserved));
                }
                return self.acceptor.wait_for_capacity(io);
            }
            match self.acceptor.accept(io) {
                Accepted::Connection(stream) => self.add_connection(stream, io),
                Accepted::Empty => return self.set_full(false, io.now),
                Accepted::Failed(error) if is_descriptor_limit(&error) => {
                    return self.limit_by_descriptors(io)
                }
                Accepted::Failed(_) | Accepted::Closed => return,
            }
        }
        self.acceptor.continue_next_turn(io);
    }

    /// Updates the eviction order after a change of one connection.
    fn update_indexes(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.stream.retry_nodelay();
        io.schedule_retry(&mut client.stream, Owner::Client(slot));
        let key = client.eviction_rank().map(|rank| (rank, client.last_used));
        let previous = std::mem::replace(&mut client.eviction_key, key);
        self.eviction_order.update(slot, previous, key);
    }

    fn add_connection(&mut self, stream: TcpStream, io: &mut IoContext) {
        let mut stream = Some(stream);
        let read_failed_since = self.acceptor.delayed_since;
        // It may have waited in the listener's queue.
        let connected_at =
            [read_failed_since, self.full_since].into_iter().flatten().fold(io.earliest_arrival, Time::min);
        // The timer names the slot, so the connection is built once its slot is known.
        let (deadlines, now) = (&mut io.deadlines, io.now);
        let slot = self.connections.insert_with(|slot| {
            let mut stream = BufferedStream::new(stream.take()?);
            stream.set_nodelay();
            let deadline =
                Some(deadlines.set(now + FIRST_REQUEST_READ_TIMEOUT, TimerEvent::ClientTimeout(slot)));
            let (state, head, incoming_body, request_id, open_class) =
                (ClientState::Reading, None, None, None, None);
            Some(Client {
                stream,
                state,
                head,
                incoming_body,
                request_id,
                open_class,
                deadline,
                last_used: now,
                read_failed_since,
                eviction_key: None,
                read_timer_set: true,
                hung_up: false,
                has_sent: false,
                sent_not_before: now,
                presence: Presence::new(connected_at),
            })
        });
        if let Some(slot) = slot {
            io.counters.connections += 1;
            io.connections.client_opened();
            // Read at the end of this iteration of the loop: the connections behind it in the queue would wait meanwhile,
            // and that wait would not count as a part of their requests' time.
            io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Client(slot)));
            self.update_indexes(slot, io);
        }
    }

    fn close(&mut self, slot: ClientSlot, reason: CloseReason, io: &mut IoContext) {
        let Some(client) = self.connections.remove(slot) else { return };
        if client.has_pending_response() {
            io.counters.closed_unanswered.count(reason);
            tracing::debug!(id = client.request_id, state = ?client.state, ?reason, "closed with incomplete response");
        }
        io.connections.client_closed();
        self.eviction_order.update(slot, client.eviction_key, None);
        if let Some(id) = client.request_id {
            self.active_ids.remove(&id);
        }
        io.counters.count_response(client.open_class, CLIENT_GONE_STATUS);
        io.deadlines.cancel(client.deadline);
        if let ClientState::Waiting(Some(request)) | ClientState::Streaming { request, done: false, .. } =
            client.state
        {
            io.counters.clients_gone += 1;
            io.events.push_back(ProxyEvent::ClientGone(request));
        }
        client.stream.close(&io.registry);
        if self.acceptor.may_have_pending {
            io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Listener));
        }
    }

    /// Counts and logs the connections whose response is incomplete when the process ends; returns their number.
    pub fn report_unfinished(&self, io: &mut IoContext) -> usize {
        let unfinished = self.connections.iter().filter(|(_, client)| client.has_pending_response());
        let mut count = 0;
        for (_, client) in unfinished {
            count += 1;
            io.counters.closed_unanswered.count(CloseReason::ProcessEnded);
            let (id, incomplete_body) = (&client.request_id, client.incoming_body.is_some());
            tracing::debug!(id, state = ?client.state, incomplete_body, "process ends with incomplete response");
        }
        count
    }

    /// Whether the connection is still open.
    pub fn is_connected(&self, slot: ClientSlot) -> bool {
        self.connections.get(slot).is_some()
    }

    /// Whether the client may have gone some time ago, its close being hidden behind further requests that are unread.
    pub fn may_have_left(&self, slot: ClientSlot, now: Time) -> bool {
        self.connections.get(slot).is_some_and(|client| client.may_have_left(now))
    }

    /// Notes that the client has closed its side, perhaps after bytes that were not read yet.
    pub fn mark_hung_up(&mut self, slot: ClientSlot) {
        if let Some(client) = self.connections.get_mut(slot) {
            client.hung_up = true;
        }
    }

    /// Closes the connection if the client has closed its side, and tells whether it has.
    pub fn close_if_left(&mut self, slot: ClientSlot, io: &mut IoContext) -> bool {
        let Some(client) = self.connections.get_mut(slot) else { return true };
        client.hung_up |= client.stream.ended || client.stream.is_closed_by_peer();
        let has_left = client.hung_up;
        if has_left {
            self.close(slot, CloseReason::ByClient, io);
        }
        has_left
    }

    /// Continues a connection that may be readable or writable, or may have ended.
    pub fn handle_ready(&mut self, slot: ClientSlot, io: &mut IoContext) {
        self.advance(slot, io);
        self.update_indexes(slot, io);
    }

    fn advance(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        // A client's pipelined requests must not fill the memory while the first awaits its response. Some are read all
        // the same, since the end of the connection is seen only behind them.
        let max_bytes = match (client.state, &client.incoming_body) {
            (ClientState::Waiting(_), Some(_)) => io.memory.window(),
            (ClientState::Reading | ClientState::Waiting(_), _) => {
                io.memory.buffer_limit(MAX_BUFFERED_MESSAGE_BYTES)
            }
            _ => io.memory.buffer_limit(MAX_HEAD_BYTES),
        };
        let read = client.read(max_bytes, io);
        if client.state == ClientState::Lingering {
            client.stream.discard_input();
            if client.stream.has_unread() {
                io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Client(slot)));
            }
        }
        // The end of the connection counts even behind more pipelined requests than are read at once: no
        // client waits for their responses.
        if let Err(e) = read {
            io.counters.failures.count(SystemCall::Read, &e);
            return self.close(slot, CloseReason::ReadFailed, io);
        }
        // The events of this iteration may not tell yet that a client has left behind more input than was read.
        if matches!(client.state, ClientState::Waiting(_)) && client.stream.has_unread() {
            client.hung_up |= client.stream.is_closed_by_peer();
        }
        if (client.stream.ended || client.hung_up) && client.state != ClientState::Reading {
            return self.close(slot, CloseReason::ByClient, io);
        }
        match client.state {
            ClientState::Answering { .. } | ClientState::Streaming { .. } => self.flush(slot, io),
            ClientState::Reading => match client.reset_awaited_until(io.now) {
                Some(until) => drop(io.deadlines.set(until, TimerEvent::Recheck(Owner::Client(slot)))),
                None => self.read_request(slot, max_bytes, io),
            },
            ClientState::Waiting(Some(request)) if client.incoming_body.is_some() => {
                io.events.push_back(ProxyEvent::RequestBodyReady(request));
            }
            ClientState::Waiting(_) | ClientState::Lingering => {}
        }
    }

    /// Sets the id under which the proxy handles the client's request.
    pub fn set_request(&mut self, slot: ClientSlot, request: RequestId) {
        if let Some(client) = self.connections.get_mut(slot) {
            client.state = ClientState::Waiting(Some(request));
        }
    }

    /// Whether a connection closes after its response: the proxy is shutting down, there are too many
    /// connections, or the request's body is not completely read.
    pub fn closes_after_response(&self, slot: ClientSlot, io: &IoContext) -> bool {
        let unread_body = self.connections.get(slot).is_some_and(|client| client.incoming_body.is_some());
        io.shutdown.is_some()
            || unread_body
            || self.connections.count() > self.limit()
            || !io.connections.has_client_room()
    }

    /// The time for what the connection is doing is over.
    pub fn handle_timer(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.deadline = None;
        if client.state == ClientState::Reading {
            // A request that has arrived but was not read yet must not be lost to the close.
            self.handle_ready(slot, io);
        }
        let Some(client) = self.connections.get_mut(slot).filter(|client| client.deadline.is_none()) else {
            return;
        };
        let has_waiting_bytes = client.has_waiting_bytes();
        if let (ClientState::Reading | ClientState::Waiting(_), Some(body)) =
            (client.state, &mut client.incoming_body)
        {
            // While received bytes wait for the proxy or a backend, the delay is not the client's.
            if body.parser.is_some() && has_waiting_bytes {
                (body.started, body.last_received, body.received_bytes) = (io.now, io.now, 0);
            }
            if !body.is_stalled(io.now) {
                client.deadline =
                    Some(io.deadlines.set(io.now + BODY_CHECK_INTERVAL, TimerEvent::ClientTimeout(slot)));
                return;
            }
        }
        match client.state {
            ClientState::Waiting(request) => {
                if let (Some(request), true) = (request, client.incoming_body.is_some()) {
                    io.counters.bad_input += 1;
                    io.events.push_back(ProxyEvent::ClientGone(request));
                    self.respond(slot, 408, true, io);
                }
            }
            // While nothing waits to be written, the backend's response is awaited, whose time the pool limits.
            ClientState::Streaming { done: false, .. } if client.stream.unsent() == 0 => {
                let until = io.now + RESPONSE_WRITE_TIMEOUT;
                client.deadline = Some(io.deadlines.set(until, TimerEvent::ClientTimeout(slot)));
            }
            ClientState::Answering { .. } | ClientState::Streaming { .. }
                if io.now < client.last_used + RESPONSE_WRITE_TIMEOUT =>
            {
                let until = client.last_used + RESPONSE_WRITE_TIMEOUT;
                client.deadline = Some(io.deadlines.set(until, TimerEvent::ClientTimeout(slot)));
            }
            // The rest of an unwanted body is still arriving; closing now would cause a reset that could
            // reach the client before the response.
            ClientState::Lingering
                if client.incoming_body.as_ref().is_some_and(|body| !body.is_stalled(io.now)) =>
            {
                client.deadline =
                    Some(io.deadlines.set(io.now + LINGER_TIMEOUT, TimerEvent::ClientTimeout(slot)));
            }
            ClientState::Reading if !client.stream.input.is_empty() => {
                io.counters.bad_input += 1;
                self.respond(slot, 408, true, io);
            }
            ClientState::Reading => self.linger(slot, io),
            ClientState::Lingering => self.close(slot, CloseReason::Done, io),
            ClientState::Answering { .. } | ClientState::Streaming { .. } => {
                self.close(slot, CloseReason::AnswerNotTaken, io);
            }
        }
    }

    /// Accepts the connections in the kernel's queue, unless a successor process does, and then closes the
    /// listener. Keeps listening if not all could be accepted: closing a listener resets the connections in
    /// its queue.
    pub fn stop_listening(&mut self, has_successor: bool, io: &mut IoContext) {
        if !has_successor {
            self.accept(io);
        }
        if has_successor || self.acceptor.is_drained() {
            self.acceptor.close(io);
        }
    }

    pub fn is_listening(&self) -> bool {
        self.acceptor.listener().is_some()
    }

    /// Closes the connections without a pending response, after a last look at what has arrived on them.
    pub fn close_idle(&mut self, io: &mut IoContext) {
        let slots: Vec<_> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            self.handle_ready(slot, io);
        }
    }
}
