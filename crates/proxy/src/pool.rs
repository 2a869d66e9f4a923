//! The connections to backends: the address of each backend, its connection pool, and the attempt or check
//! that each connection carries. The pool sends each message to the given backend exactly once and reports
//! the result.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;

use sparlug::event::{Condition, Listing, Load};
use sparlug::id::BackendId;
use sparlug::time::{Span, Time};

use crate::attempt_result::AttemptResult;
use crate::buffered_stream::{BufferSizes, RETRY_PAUSE};
use crate::config::Budgets;
use crate::connect_timeout::{ConnectHistory, ConnectTimeout};
use crate::http::MAX_BUFFERED_MESSAGE_BYTES;
use crate::io_failures::{Cause, SystemCall};
use crate::listing::{BackendEntry, HandoverHost};
use crate::shared::{
    ConnSlot, ConnTag, IoContext, JobResult, Owner, ProxyEvent, Purpose, StartedResponse, TimerEvent,
};
use crate::slots::Slots;

mod conn;

use conn::{Conn, Job, ResponseProgress, Stage};

const MAX_INTERIM_RESPONSES: u8 = 8; // 1xx responses before the final response
/// Number of reused connections in a row that have to deliver a response before idle connections may carry
/// requests that must not run twice.
const MIN_SUCCESSFUL_REUSES: u32 = 100;
const STREAMING_DELAY: Span = Span::from_millis(25); // before a response of unknown length is streamed
const BODY_IDLE_TIMEOUT: Span = Span::from_millis(10_000); // without progress of a body, in either direction
const IDLE_TIMEOUT_RATIO: f64 = 0.5; // of the backend's own idle timeout

/// One process of a backend. A backend that restarts or moves gets a new one, and connections to the old one
/// are not reused.
#[derive(Clone, Copy, PartialEq)]
struct BackendProcess {
    address: SocketAddr,
    started: Option<Time>,
}

/// A backend of the list, with its idle connections, the most recently used one last.
struct PooledBackend {
    host: String,
    process: BackendProcess,
    /// Start time of its process as the list gives it, by the wall clock of the list's author.
    listed_start: Option<Time>,
    listing: Listing,
    idle_conns: Vec<ConnSlot>,
    conn_count: usize,
    connect_history: ConnectHistory,
}

/// A message to a backend and the conditions of sending it.
pub struct OutgoingRequest<'a> {
    pub bytes: &'a [u8],
    /// No further bytes follow.
    pub complete: bool,
    /// Any idle connection may carry the request, since it may run again if it gets lost.
    pub repeatable: bool,
    /// Position of the timeout header's value, which is set to the time left when the message is written.
    pub timeout_range: Option<Range<usize>>,
    /// The last byte must have reached the backend before this time.
    pub deliver_by: Option<Time>,
}

/// The listed backends and the connections to them.
pub struct Pool {
    backends: BTreeMap<BackendId, PooledBackend>,
    conns: Slots<ConnTag, Conn>,
    /// All idle connections, the least recently used one first.
    idle_by_age: BTreeSet<(Time, ConnSlot)>,
    budgets: Budgets,
    /// Number of reused connections in a row that have delivered a response.
    successful_reuses: u32,
    /// When a connection to any backend was last established.
    last_established: Time,
    /// Upper bound of the connect timeout.
    max_connect_time: Span,
    connect_timeout: ConnectTimeout,
    idle_timeout: Span,
}

impl Pool {
    pub fn new(budgets: Budgets, max_connect_time: Span, backend_idle_time: Span) -> Pool {
        let (backends, conns, idle_by_age) = Default::default();
        let idle_timeout = backend_idle_time.scaled(IDLE_TIMEOUT_RATIO);
        let connect_timeout = ConnectTimeout::new(max_connect_time);
        Pool {
            backends,
            conns,
            idle_by_age,
            budgets,
            successful_reuses: 0,
            last_established: Time::default(),
            max_connect_time,
            connect_timeout,
            idle_timeout,
        }
    }

    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.budgets = budgets;
    }

    /// Cancels the attempts at a backend of which nothing has been written, and closes its idle connections.
    pub fn withdraw(&mut self, backend: BackendId, io: &mut IoContext) {
        let unsent = |conn: &Conn| conn.backend == backend && !matches!(conn.stage, Stage::Busy { .. });
        let unsent = self.conns.iter().filter(|(_, conn)| unsent(conn)).map(|(slot, _)| slot);
        for slot in unsent.collect::<Vec<_>>() {
            self.close(slot, AttemptResult::Withdrawn, io);
        }
    }

    /// Memory of the buffers of all connections.
    pub fn buffer_sizes(&self) -> BufferSizes {
        self.conns.iter().map(|(_, conn)| conn.stream.allocated_bytes()).sum()
    }

    /// Number of open connections, and of the idle ones among them.
    pub fn connection_counts(&self) -> (usize, usize) {
        (self.conns.count(), self.idle_by_age.len())
    }

    pub fn slots(&self) -> impl Iterator<Item = ConnSlot> + '_ {
        self.conns.iter().map(|(slot, _)| slot)
    }

    /// Number of backends on the list.
    pub fn listed_count(&self) -> usize {
        self.backends.values().filter(|entry| entry.listing.condition != Condition::Gone).count()
    }

    /// The current list, for the process that replaces this one in an upgrade.
    pub fn current_list(&self) -> Vec<HandoverHost> {
        self.listed().iter().map(HandoverHost::from_entry).collect()
    }

    /// The listed backends.
    pub fn listed(&self) -> Vec<BackendEntry> {
        let listed = self.backends.values().filter(|entry| entry.listing.condition != Condition::Gone);
        let entry = |backend: &PooledBackend| {
            let (host, address, listed_start) =
                (backend.host.clone(), backend.process.address, backend.listed_start);
            let (start_stated, listing) = (listed_start.is_some(), backend.listing);
            BackendEntry { host, address, listed_start, start_stated, listing }
        };
        listed.map(entry).collect()
    }

    pub fn is_listed(&self, backend: BackendId) -> bool {
        self.backends.get(&backend).is_some_and(|entry| entry.listing.condition != Condition::Gone)
    }

    /// Whether a backend is listed at this address.
    pub fn is_listed_at(&self, backend: BackendId, address: SocketAddr) -> bool {
        self.is_listed(backend) && self.address(backend) == Some(address)
    }

    /// Number of backends that are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.backends.values().filter(|entry| entry.listing.condition == Condition::Ready).count()
    }

    /// Applies a full list (`full`) or the changed entries of one. Closes connections that no longer fit the
    /// list.
    pub fn update_list(&mut self, full: bool, entries: &[BackendEntry], version: u64, io: &mut IoContext) {
        let before: BTreeMap<BackendId, Condition> =
            self.backends.iter().map(|(id, entry)| (*id, entry.listing.condition)).collect();
        if full {
            self.backends.values_mut().for_each(|entry| entry.listing.condition = Condition::Gone);
        }
        for BackendEntry { host, address, listed_start, listing, .. } in entries {
            let process = BackendProcess { address: *address, started: listing.started };
            let entry = self.backends.entry(listing.backend).or_insert_with(|| {
                tracing::info!(host, dial = %address, "backend listed");
                let (idle_conns, connect_history) = Default::default();
                PooledBackend {
                    host: host.clone(),
                    process,
                    listed_start: *listed_start,
                    listing: *listing,
                    idle_conns,
                    conn_count: 0,
                    connect_history,
                }
            });
            (entry.listing, entry.process, entry.listed_start) = (*listing, process, *listed_start);
        }
        self.log_condition_changes(&before, version);
        let unfit = |conn: &Conn| match (&conn.stage, self.backends.get(&conn.backend)) {
            (_, None) => true,
            (Stage::Busy { .. }, _) => false,
            (_, Some(entry)) => entry.listing.condition != Condition::Ready || entry.process != conn.process,
        };
        let unfit = self.conns.iter().filter(|(_, conn)| unfit(conn)).map(|(slot, _)| slot);
        for slot in unfit.collect::<Vec<_>>() {
            self.close(slot, AttemptResult::Withdrawn, io);
        }
        self.backends.retain(|_, entry| entry.listing.condition != Condition::Gone || entry.conn_count > 0);
    }

    /// Logs each known backend whose condition a list has changed.
    fn log_condition_changes(&self, before: &BTreeMap<BackendId, Condition>, version: u64) {
        for (id, entry) in &self.backends {
            let condition = entry.listing.condition;
            if let Some(from) = before.get(id).filter(|from| **from != condition) {
                let host = &entry.host;
                tracing::info!(host, ?from, to = ?condition, version, "condition of backend changed");
            }
        }
    }

    /// Sends a message to a backend on an idle or a new connection; the result follows as a `ProxyEvent`. A
    /// request that is not `repeatable` uses a new connection unless idle ones have proved reliable: where a
    /// backend or a network drops idle connections early, it is unknown whether a request sent on one has
    /// run.
    pub fn send(
        &mut self,
        backend: BackendId,
        purpose: Purpose,
        message: OutgoingRequest,
        until: Time,
        io: &mut IoContext,
    ) -> Option<ConnSlot> {
        let idle_conn = if message.repeatable || self.successful_reuses >= MIN_SUCCESSFUL_REUSES {
            self.take_idle(backend, io)
        } else {
            None
        };
        if idle_conn.is_some() {
            io.counters.connections_reused += 1;
        }
        let slot = match idle_conn.map_or_else(|| self.open(backend, io), Ok) {
            Ok(slot) => slot,
            Err(result) => {
                let job_result = JobResult {
                    backend,
                    purpose,
                    result,
                    took: Span::ZERO,
                    load: Load::default(),
                    response: None,
                };
                io.events.push_back(ProxyEvent::JobEnded(job_result));
                return None;
            }
        };
        let conn = self.conns.get_mut(slot)?;
        let deadline = io.deadlines.set(until, TimerEvent::AttemptTimeout(slot));
        conn.job = Some(Job { purpose, sent_at: io.now, deadline, complete: message.complete });
        conn.last_used = io.now;
        conn.timeout_header = message.timeout_range.map(|range| (range, until));
        conn.deliver_by = message.deliver_by;
        conn.stream.queue(message.bytes);
        self.handle_ready(slot, io);
        Some(slot)
    }

    /// Takes a usable idle connection, the most recently used one first. The least recently used one first
    /// would give a late second response more time to arrive and be noticed, but that order served fewer
    /// requests (see `docs/incidents/second-answers.md`).
    fn take_idle(&mut self, backend: BackendId, io: &mut IoContext) -> Option<ConnSlot> {
        loop {
            let slot = self.backends.get_mut(&backend)?.idle_conns.pop()?;
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            // Guards against writing to a connection that the backend has just closed, or is about to close
            // because the proxy itself was stalled.
            let fresh = io.now < conn.last_used + self.idle_timeout;
            if fresh && conn.is_quiet() {
                io.deadlines.cancel(conn.deadline.take());
                (conn.stage, conn.reused, conn.streaming) = (Stage::Busy { written: false }, true, false);
                self.idle_by_age.remove(&(conn.last_used, slot));
                return Some(slot);
            }
            self.close(slot, AttemptResult::Idle, io);
        }
    }

    fn open(&mut self, backend: BackendId, io: &mut IoContext) -> Result<ConnSlot, AttemptResult> {
        let Some(PooledBackend { process, .. }) = self.backends.get(&backend) else {
            return Err(AttemptResult::Withdrawn);
        };
        let process = *process;
        if !io.connections.has_backend_room() {
            // At the limit, the connection that has been idle longest is closed.
            let oldest = self.idle_by_age.first().map(|(_, slot)| *slot);
            self.close(oldest.ok_or(AttemptResult::NoRoom)?, AttemptResult::Idle, io);
        }
        let conn = Conn::unconnected(backend, process, io.now);
        let slot = self.conns.insert_with(|_| Some(conn)).ok_or(AttemptResult::NoRoom)?;
        self.backends.entry(backend).and_modify(|entry| entry.conn_count += 1);
        io.connections.backend_opened();
        Ok(slot)
    }

    /// Creates the socket of a new connection and starts to connect it.
    fn connect(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.retry_at <= io.now) else { return };
        if let Err(e) = conn.stream.connect(conn.process.address) {
            return self.connect_failed(slot, &e, io);
        }
        conn.connect_started = io.now;
        if let (Some(_), Some(job)) = (conn.connect_failure.take(), &mut conn.job) {
            job.sent_at = io.now; // the wait for a socket must not count as the backend's time
        }
        let history = self.backends.get(&conn.backend).map(|entry| entry.connect_history).unwrap_or_default();
        let until = io.now + self.connect_timeout.timeout_for(&history);
        conn.set_connect_deadline(slot, Some(until), io);
        io.counters.connections_opened += 1;
        tracing::trace!(host = self.host_of(slot), "connecting to backend");
    }

    /// Handles a connect call that failed. Retries it where the cause may pass, as nothing has been sent yet.
    fn connect_failed(&mut self, slot: ConnSlot, error: &std::io::Error, io: &mut IoContext) {
        io.counters.failures.count(SystemCall::Connect, error);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let cause = Cause::of(error);
        if !cause.is_retryable() && cause != Cause::Network {
            return self.close(slot, AttemptResult::Refused, io);
        }
        conn.connect_failure = Some(cause);
        conn.retry_at = io.now + RETRY_PAUSE;
        io.events.push_back(ProxyEvent::SendFailed(conn.backend));
        io.deadlines.set(conn.retry_at, TimerEvent::Recheck(Owner::Conn(slot)));
        // A local shortage may last as long as the attempt's own timeout; a network failure, which may
        // concern this backend only, as long as the connect timeout.
        let until = (cause == Cause::Network).then_some(conn.last_used + self.max_connect_time);
        conn.set_connect_deadline(slot, until, io);
    }

    fn host_of(&self, slot: ConnSlot) -> Option<&str> {
        self.host(self.conns.get(slot)?.backend)
    }

    /// Handles a readiness event: connects, writes and reads as far as the connection allows.
    pub fn handle_ready(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.advance(slot, io);
        self.schedule_retry(slot, io);
    }

    fn schedule_retry(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.stream.retry_nodelay();
        if io.schedule_retry(&mut conn.stream, Owner::Conn(slot)) && conn.job.is_some() {
            io.events.push_back(ProxyEvent::SendFailed(conn.backend));
        }
    }

    fn advance(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if matches!(conn.stage, Stage::Connecting) && !conn.stream.is_connected() {
            self.connect(slot, io);
        }
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if matches!(conn.stage, Stage::Connecting) {
            match conn.stream.is_established() {
                Ok(false) => return,
                Err(e) => {
                    io.counters.failures.count(SystemCall::Connect, &e);
                    return self.close(slot, AttemptResult::Refused, io);
                }
                Ok(true) => {
                    self.last_established = io.now;
                    io.deadlines.cancel(conn.deadline.take());
                    conn.stage = Stage::Busy { written: false };
                    if let Some(entry) = self.backends.get_mut(&conn.backend) {
                        self.connect_timeout
                            .record_success(&mut entry.connect_history, io.now.since(conn.connect_started));
                    }
                }
            }
        }
        if let Some(result) = conn.missed_delivery(io.now) {
            return self.close(slot, result, io);
        }
        conn.update_timeout_header(io.now);
        if !matches!(conn.stage, Stage::Busy { .. }) {
            // An event may stand for bytes that were read already, or for writability. Only a closed stream
            // or unsolicited bytes are a reason to close an idle connection.
            if !conn.is_quiet() {
                self.close(slot, AttemptResult::Idle, io);
            }
            return;
        }
        let flushed = conn.stream.flush();
        conn.begin_delivery(slot, io);
        let Stage::Busy { written } = &mut conn.stage else { return };
        let request_complete = conn.job.as_ref().is_none_or(|job| job.complete);
        if let (Ok(all_written), Some(job)) = (&flushed, &mut conn.job) {
            if *all_written && request_complete && !std::mem::replace(written, true) {
                io.counters.attempts_sent += u64::from(job.purpose != Purpose::Check);
                // The time that a slow client takes to send its body must not count as the backend's.
                job.sent_at = if conn.last_used > job.sent_at { io.now } else { job.sent_at };
            }
            match job.purpose {
                Purpose::Attempt(request, _)
                    if !request_complete && conn.stream.unsent() <= io.memory.window() / 2 =>
                {
                    io.events.push_back(ProxyEvent::RequestBodyReady(request));
                }
                _ => {}
            }
        }
        let written = *written;
        let read_limit = conn.read_limit(io.memory);
        let filled = conn.stream.fill(read_limit);
        for (call, error) in
            [(SystemCall::Write, flushed.as_ref().err()), (SystemCall::Read, filled.as_ref().err())]
        {
            error.into_iter().for_each(|e| io.counters.failures.count(call, e));
        }
        if let (true, Some(Job { purpose: Purpose::Attempt(request, _), .. })) = (conn.streaming, &conn.job) {
            return io.events.push_back(ProxyEvent::ResponseBodyReady(*request));
        }
        // A complete response counts even if the connection broke after it.
        match Conn::parse_response(conn) {
            Err(result) => self.close(slot, result, io),
            Ok(ResponseProgress::Complete) => self.response_complete(slot, written, io),
            Ok(ResponseProgress::TooLong) => self.start_streaming(slot, io),
            Ok(ResponseProgress::Partial { unknown_length, streamable })
                if flushed.is_ok() && filled.is_ok() && !conn.stream.ended =>
            {
                if conn.stream.input.len() >= read_limit && streamable {
                    self.start_streaming(slot, io);
                } else if conn.stream.input.len() >= MAX_BUFFERED_MESSAGE_BYTES {
                    self.close(slot, AttemptResult::Garbled, io);
                } else if conn.stream.has_unread() {
                    // Interim responses were dropped and made room in the buffer. Their number is bounded,
                    // and so is this recursion.
                    self.advance(slot, io);
                } else if unknown_length && conn.deadline.is_none() {
                    conn.deadline =
                        Some(io.deadlines.set(io.now + STREAMING_DELAY, TimerEvent::StartStreaming(slot)));
                }
            }
            Ok(ResponseProgress::Partial { .. }) => {
                let result = match (written, conn.stream.input.is_empty()) {
                    (_, true) if conn.reused && conn.interim_responses == 0 => {
                        AttemptResult::KeptBroke { written }
                    }
                    (false, _) => AttemptResult::BrokeBefore,
                    (true, true) => AttemptResult::BrokeAfter,
                    (true, false) => AttemptResult::CutShort,
                };
                self.close(slot, result, io);
            }
        }
    }

    /// Handles a complete response: reports it and reuses or closes the connection.
    fn response_complete(&mut self, slot: ConnSlot, written: bool, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let Some(head) = conn.head.take() else { return };
        conn.interim_responses = 0;
        self.successful_reuses = self.successful_reuses.saturating_add(u32::from(conn.reused));
        let message = conn.stream.take_input(head.length + head.body.parsed_len());
        io.deadlines.cancel(conn.deadline.take());
        let result = AttemptResult::Answered { status: head.status, not_started: head.not_started };
        let keep = written && !head.close;
        conn.finish(result, head.load, Some((head, message)), io);
        self.release(slot, result, keep, io);
    }

    /// Makes a connection idle after a response, or closes it.
    fn release(&mut self, slot: ConnSlot, result: AttemptResult, keep: bool, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let has_capacity =
            self.idle_by_age.len() < self.budgets.idle && !io.connections.is_client_room_borrowed();
        let keep = keep && has_capacity && !conn.stream.ended && conn.stream.input.is_empty();
        let entry = self.backends.get_mut(&conn.backend);
        match entry.filter(|entry| {
            keep && entry.listing.condition == Condition::Ready && entry.process == conn.process
        }) {
            None => self.close(slot, result, io),
            Some(entry) => {
                conn.stage = Stage::Idle;
                conn.last_used = io.now;
                conn.deadline =
                    Some(io.deadlines.set(io.now + self.idle_timeout, TimerEvent::IdleTimeout(slot)));
                entry.idle_conns.push(slot);
                self.idle_by_age.insert((conn.last_used, slot));
            }
        }
    }

    /// Starts to stream the response to the client. The time that it took is counted up to here.
    fn start_streaming(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let (Some(Job { purpose: Purpose::Attempt(request, attempt), sent_at, deadline, .. }), Some(head)) =
            (&mut conn.job, &conn.head)
        else {
            return self.close(slot, AttemptResult::Garbled, io);
        };
        io.deadlines.cancel(conn.deadline.take());
        io.deadlines.cancel(Some(*deadline));
        *deadline = io.deadlines.set(io.now + BODY_IDLE_TIMEOUT, TimerEvent::AttemptTimeout(slot));
        (conn.streaming, conn.last_used) = (true, io.now);
        let message = conn.stream.take_input(head.length + head.body.parsed_len());
        let (backend, head, took) = (conn.backend, head.clone(), io.now.since(*sent_at));
        let (request, attempt) = (*request, *attempt);
        io.events.push_back(ProxyEvent::ResponseStarted(StartedResponse {
            backend,
            request,
            attempt,
            head,
            message,
            took,
        }));
        io.events.push_back(ProxyEvent::ResponseBodyReady(request));
    }

    /// Starts to stream a response of unknown length that has not ended within `STREAMING_DELAY`.
    pub fn start_streaming_due(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.handle_ready(slot, io);
        if self.conns.get_mut(slot).is_some_and(|conn| conn.has_open_ended_response()) {
            self.start_streaming(slot, io);
        }
    }

    /// Reads up to `capacity` bytes of the body of a streamed response, and tells whether it ends with them.
    /// If the body is cut short, that is reported as a `ProxyEvent`.
    pub fn read_body(&mut self, slot: ConnSlot, capacity: usize, io: &mut IoContext) -> (Vec<u8>, bool) {
        let nothing = (Vec::new(), false);
        let window = io.memory.window();
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.streaming) else { return nothing };
        let Some(head) = &mut conn.head else { return nothing };
        if conn.stream.input.is_empty() && conn.stream.has_unread() {
            let _ = conn.stream.fill(window);
            io.schedule_retry(&mut conn.stream, Owner::Conn(slot));
        }
        let available = conn.stream.input.len().min(capacity);
        let Ok(length) = head.body.parse(&conn.stream.input[..available]) else {
            self.close(slot, AttemptResult::CutShort, io);
            return nothing;
        };
        let bytes = conn.stream.take_input(length);
        if !bytes.is_empty() {
            conn.last_used = io.now;
        }
        let ended = conn.stream.ended && conn.stream.input.is_empty();
        let complete = head.body.is_complete() || head.body.ends_at_close() && ended && !conn.stream.broken;
        if complete {
            let result = AttemptResult::Answered { status: head.status, not_started: false };
            let keep = !head.close && conn.is_written();
            (conn.head, conn.interim_responses) = (None, 0);
            conn.finish(result, Load::default(), None, io);
            self.release(slot, result, keep, io);
        } else if ended {
            self.close(slot, AttemptResult::CutShort, io);
        }
        (bytes, complete)
    }

    /// How many more bytes of a request's body can be written now.
    pub fn write_capacity(&self, slot: ConnSlot, io: &IoContext) -> usize {
        let unsent = self.conns.get(slot).map_or(usize::MAX, |conn| conn.stream.unsent());
        io.memory.window().saturating_sub(unsent)
    }

    /// Writes more of a request's body; `complete` if it ends with these bytes.
    pub fn write_body(&mut self, slot: ConnSlot, bytes: &[u8], complete: bool, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.stream.queue(bytes);
        if !matches!(conn.stage, Stage::Connecting) {
            conn.last_used = io.now;
        }
        if let Some(job) = &mut conn.job {
            job.complete = complete;
        }
        self.handle_ready(slot, io);
    }

    /// Moves the timeout of the attempt that the connection carries.
    pub fn set_attempt_timeout(&mut self, slot: ConnSlot, until: Time, io: &mut IoContext) {
        if let Some(job) = self.conns.get_mut(slot).and_then(|conn| conn.job.as_mut()) {
            io.deadlines.cancel(Some(job.deadline));
            job.deadline = io.deadlines.set(until, TimerEvent::AttemptTimeout(slot));
        }
    }

    /// Closes a connection and reports the result of what it carried. Every connection ends here.
    fn close(&mut self, slot: ConnSlot, result: AttemptResult, io: &mut IoContext) {
        let Some(mut conn) = self.conns.remove(slot) else { return };
        io.connections.backend_closed();
        if matches!(result, AttemptResult::KeptBroke { .. }) {
            if self.successful_reuses >= MIN_SUCCESSFUL_REUSES {
                tracing::info!(
                    "a reused idle connection broke; requests that must not run twice use new connections for now"
                );
            }
            self.successful_reuses = 0;
        }
        self.idle_by_age.remove(&(conn.last_used, slot));
        io.deadlines.cancel(conn.deadline.take());
        conn.finish(result, Load::default(), None, io);
        if let Some(entry) = self.backends.get_mut(&conn.backend) {
            if result == AttemptResult::NeverUp {
                self.connect_timeout.record_timeout(&mut entry.connect_history);
            }
            entry.conn_count -= 1;
            entry.idle_conns.retain(|idle| *idle != slot);
            if entry.conn_count == 0 && entry.listing.condition == Condition::Gone {
                self.backends.remove(&conn.backend);
            }
        }
        if conn.has_unacknowledged_bytes() {
            conn.stream.drop_unsent_on_close();
        }
        conn.stream.close(&io.registry);
    }

    pub fn cancel(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let written = self.conns.get(slot).is_some_and(Conn::is_written);
        self.close(slot, AttemptResult::CalledOff { written }, io);
    }

    /// Cancels an attempt whose last byte does not reach its backend, and so does not run. Its client is gone.
    pub fn cancel_undelivered(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if !conn.is_written() {
            self.cancel(slot, io);
        } else if conn.has_unacknowledged_bytes() {
            conn.limit_delivery(slot, io);
        }
    }

    /// Handles the time limit for the last byte of a message to reach its backend. A response that has arrived by now
    /// still counts.
    pub fn delivery_timed_out(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.handle_ready(slot, io);
        let Some(conn) = self.conns.get(slot) else { return };
        if conn.job.is_some() && !conn.is_delivered() {
            let result = conn.undelivered_result();
            self.close(slot, result, io);
        }
    }

    pub fn close_idle(&mut self, backend: BackendId, io: &mut IoContext) {
        let idle = self.backends.get(&backend).map(|entry| entry.idle_conns.clone()).unwrap_or_default();
        idle.into_iter().for_each(|slot| self.close(slot, AttemptResult::Idle, io));
    }

    pub fn connect_timed_out(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let deliver_by = self.conns.get(slot).and_then(|conn| conn.deliver_by);
        let too_late = deliver_by.is_some_and(|deliver_by| io.now >= deliver_by);
        let result = match self.conns.get(slot) {
            Some(conn) if conn.connect_failure.is_none() => AttemptResult::NeverUp,
            // Other connections were established meanwhile, so the network path to this backend is at fault.
            Some(conn) if self.last_established > conn.last_used => AttemptResult::Refused,
            _ => AttemptResult::NoWay,
        };
        self.close(slot, if too_late { AttemptResult::TooLate } else { result }, io);
    }

    pub fn idle_timed_out(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.close(slot, AttemptResult::Idle, io);
    }

    /// Handles the timeout of what the connection carries. A response that has arrived by now still counts.
    pub fn attempt_timed_out(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.handle_ready(slot, io);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        // While a body is being transferred only a lack of progress counts, and only while the backend causes
        // it: not while response bytes wait to be passed on, nor while the client's next bytes are awaited.
        let awaits_client = match &conn.job {
            Some(_) if conn.streaming => Some(!conn.stream.input.is_empty()),
            Some(job) if !job.complete => Some(conn.stream.unsent() == 0),
            _ => None,
        };
        if let (Some(awaits_client), Some(job)) = (awaits_client, &mut conn.job) {
            let since = if awaits_client { io.now } else { conn.last_used };
            if io.now < since + BODY_IDLE_TIMEOUT {
                job.deadline = io.deadlines.set(since + BODY_IDLE_TIMEOUT, TimerEvent::AttemptTimeout(slot));
                return;
            }
            if conn.streaming {
                return self.close(slot, AttemptResult::CutShort, io);
            }
        }
        let written = conn.is_written();
        if conn.job.is_some() {
            self.close(slot, AttemptResult::OutOfTime { written }, io);
        }
    }

    /// Upper bound of the time to connect, which is also the timeout of a check.
    pub fn max_connect_time(&self) -> Span {
        self.max_connect_time
    }

    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.backends.get(&backend).map(|entry| entry.process.address)
    }

    pub fn host(&self, backend: BackendId) -> Option<&str> {
        self.backends.get(&backend).map(|entry| entry.host.as_str())
    }

    /// Host of the backend whose id a text starts with.
    pub fn host_named_in(&self, text: &str) -> Option<&str> {
        let id = text.split(' ').next()?;
        let named = self.backends.iter().find(|(backend, _)| backend.to_string() == id);
        named.map(|(_, entry)| entry.host.as_str())
    }
}
