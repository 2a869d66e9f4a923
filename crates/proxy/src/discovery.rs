//! Watches the list of backends by long polling. On a sound connection the next request follows each response at
//! once. A request without a response stays open, because the agent may only be slow, and further requests are sent on
//! connections of their own; `pacing` says when. Where lists are fetched on request, a failure is reported to the
//! decision module, which decides when to fetch again.

use std::net::SocketAddr;

use sparlug::time::{Span, Time};

use crate::deadlines::DeadlineId;
use crate::list_history::{ListOrder, ListSource};
use crate::listing::{self, BackendList};
use crate::shared::{IoContext, ProxyEvent, ReceivedList, TimerEvent};

mod concurrency;
mod connection;
mod gauges;
mod pacing;
mod pending;
mod state;

use connection::{ListConnection, ListResponse, Progress};
use gauges::ResponseTimes;
use pacing::{Pacing, ResponseTiming, SentRequest};
use pending::{PendingRequest, PendingRequests};
pub use state::AppliedList;
use state::{AfterList, AppliedVersion, AwaitedList, Next};

/// The longest time before a list service is asked for the full list because changes may be missing: all proxies
/// of a fleet receive the same answers, and they must not all ask at once.
const MAX_FULL_LIST_DELAY: Span = Span::from_millis(1_500);
/// Least time between the starts of requests that fail, or return nothing new, without waiting.
const MIN_REQUEST_INTERVAL: Span = Span::from_millis(100);
/// A request that is sent this soon after a response follows it, on the same connection.
const PROVEN_TIME: Span = Span::from_millis(200);
/// The most requests without a response where lists are pushed, and the part of all connections that they may take.
const MAX_PENDING_PUSHED: usize = 32;
const PENDING_SHARE: usize = 16;
/// The most requests without a response at a list service, which has those of all proxies.
const MAX_PENDING_ON_REQUEST: usize = 6;
/// The fewest of these requests for which there is room.
const MIN_PENDING: usize = 4;

/// The client of the discovery agent.
pub struct Discovery {
    /// The agent's address; without one there are no requests.
    agent: Option<SocketAddr>,
    /// The agent's list counts as known to the proxy without a request: requests cost nothing, and one is
    /// always outstanding.
    pushed: bool,
    zone_names: Vec<String>,
    /// The version that the next request names; `None` requests the full list.
    version: Option<u64>,
    /// The list that the proxy has, also while the full list is requested.
    applied: Option<AppliedVersion>,
    /// This proxy's delay before it asks a list service for the full list once more.
    full_list_delay: Span,
    pacing: Pacing,
    next: Next,
    /// Due when `next` is.
    deadline: Option<DeadlineId>,
    /// A connection without a request, for the next one, and when it carried its last response.
    idle: Option<(ListConnection, Time)>,
    pending: PendingRequests,
    /// The number of the latest connection.
    connection_number: u32,
    /// The sequence number of the latest request, and the highest one that has its response.
    sequence: u64,
    last_answered: u64,
    /// How many requests in a row have failed, and when the first of them did.
    failures: Option<(u32, Time)>,
    /// The list that was received and not handled yet; the next request waits for that.
    awaited: Option<AwaitedList>,
    /// The last answer had changes that don't follow the requested version.
    out_of_step: bool,
    response_times: ResponseTimes,
}

impl Discovery {
    /// `jitter`, from 0 to 1, differs from proxy to proxy, so that they don't all notice a silent agent at
    /// once. `max_connections` are all that the process may have.
    pub fn new(
        agent: Option<SocketAddr>,
        pushed: bool,
        zone_names: Vec<String>,
        version: Option<u64>,
        jitter: f64,
        max_connections: usize,
    ) -> Discovery {
        let most_pending = if pushed { MAX_PENDING_PUSHED } else { MAX_PENDING_ON_REQUEST };
        let pending_limit = (max_connections / PENDING_SHARE).clamp(MIN_PENDING, most_pending);
        let received_at = Time::default();
        Discovery {
            agent,
            pushed,
            zone_names,
            version,
            applied: agent.zip(version).map(|(agent, version)| AppliedVersion {
                agent,
                version,
                received_at,
            }),
            full_list_delay: if pushed { Span::ZERO } else { MAX_FULL_LIST_DELAY.scaled(jitter) },
            pacing: Pacing::new(pushed, jitter),
            next: Next::Idle,
            deadline: None,
            idle: None,
            pending: PendingRequests::new(pending_limit),
            connection_number: 0,
            sequence: 0,
            last_answered: 0,
            failures: None,
            awaited: None,
            out_of_step: false,
            response_times: ResponseTimes::default(),
        }
    }

    /// The state of discovery, as metrics.
    pub fn metrics(&self, now: Time) -> String {
        self.response_times.report(self.pending.len(), &self.pacing, now)
    }

    /// The numbers of the open connections.
    pub fn connection_numbers(&self) -> impl Iterator<Item = u32> + '_ {
        let pending = self.pending.iter().map(|request| &request.connection);
        self.idle.iter().map(|(connection, _)| connection).chain(pending).map(|connection| connection.number)
    }

    /// The agent that the current list comes from, and its version.
    pub fn agent_and_version(&self) -> (Option<SocketAddr>, Option<u64>) {
        self.applied.map_or((self.agent, None), |applied| (Some(applied.agent), Some(applied.version)))
    }

    /// Requests changes to the current list, unless the watch is on.
    pub fn watch(&mut self, io: &mut IoContext) {
        if self.next == Next::Idle {
            self.send_request(io);
        }
        self.update_timer(io);
    }

    /// Requests the full list.
    pub fn fetch_full_list(&mut self, io: &mut IoContext) {
        self.version = None;
        self.stop(io);
        self.send_request(io);
        self.update_timer(io);
    }

    /// Sets the agent's address and returns whether it changed. A new agent is first asked for the full list,
    /// because versions have no meaning to another agent. Until it arrives, the old list stays in use.
    pub fn set_agent(&mut self, agent: Option<SocketAddr>, io: &mut IoContext) -> bool {
        let changed = std::mem::replace(&mut self.agent, agent) != agent;
        if changed {
            self.failures = None;
            self.pacing.reset();
            self.fetch_full_list(io);
        }
        changed
    }

    /// Cancels all outstanding requests and closes their connections.
    pub fn stop(&mut self, io: &mut IoContext) {
        self.pending.close_all(&io.registry);
        self.close_idle(io);
        self.awaited = None;
        self.next = Next::Idle;
        self.update_timer(io);
    }

    /// Handles an event on the socket of a connection.
    pub fn handle_event(&mut self, connection_number: u32, io: &mut IoContext) {
        if self.idle.as_ref().is_some_and(|(connection, _)| connection.number == connection_number) {
            self.process_idle(io);
        } else {
            self.process_pending(connection_number, io);
        }
        self.update_timer(io);
    }

    /// Sends the next request, or handles an overdue response.
    pub fn handle_timer(&mut self, io: &mut IoContext) {
        self.deadline = None;
        if self.next_due().is_some_and(|due_at| io.now >= due_at) {
            match self.next {
                Next::Response => self.handle_overdue_response(io),
                _ => self.send_request(io),
            }
        }
        self.update_timer(io);
    }

    /// When `next` is due.
    fn next_due(&self) -> Option<Time> {
        match self.next {
            Next::Idle | Next::Apply => None,
            Next::Request(at) => Some(at),
            Next::Response => self.pacing.next_request_at(&self.awaited_requests()),
        }
    }

    fn update_timer(&mut self, io: &mut IoContext) {
        let due_at = self.next_due();
        debug_assert!(self.next != Next::Response || due_at.is_some(), "the watch has nothing to wait for");
        if self.deadline.map(DeadlineId::due_at) != due_at {
            io.deadlines.cancel(self.deadline.take());
            self.deadline = due_at.map(|at| io.deadlines.set(at, TimerEvent::Discovery));
        }
    }

    /// The pending requests that bring the watch on: those that no answered one has overtaken, and where the full
    /// list is needed, those for it. The oldest is first.
    fn awaited_requests(&self) -> Vec<SentRequest> {
        let is_awaited = |request: &&PendingRequest| {
            request.sequence > self.last_answered && (self.version.is_some() || request.version.is_none())
        };
        self.pending.iter().filter(is_awaited).map(|request| request.sent).collect()
    }

    fn close_idle(&mut self, io: &mut IoContext) {
        if let Some((connection, _)) = self.idle.take() {
            connection.close(&io.registry);
        }
    }

    /// A connection for the next request, and whether it had carried a response before. A request beside others
    /// that are pending (`ahead`) gets a new one, unless it follows a response: those that are open may have died
    /// together.
    fn take_connection(
        &mut self,
        agent: SocketAddr,
        ahead: usize,
        io: &mut IoContext,
    ) -> std::io::Result<(ListConnection, bool)> {
        let is_sound = |proven_at: Time| ahead == 0 || io.now <= proven_at + PROVEN_TIME;
        if let Some((connection, _)) = self.idle.take_if(|(_, proven_at)| is_sound(*proven_at)) {
            return Ok((connection, true));
        }
        self.connection_number = self.connection_number.wrapping_add(1);
        Ok((ListConnection::connect(agent, self.connection_number, &io.registry)?, false))
    }

    fn send_request(&mut self, io: &mut IoContext) {
        self.next = Next::Idle;
        let Some(agent) = self.agent else { return };
        let given_up = self.pending.make_room(self.last_answered, io.now, &io.registry);
        io.counters.lists_abandoned += given_up as u64;
        let ahead = self.awaited_requests().len();
        self.response_times.record_request(io.now);
        let (mut connection, reused) = match self.take_connection(agent, ahead, io) {
            Ok(connection) => connection,
            Err(e) => {
                self.record_failure(&e.to_string(), io);
                return self.continue_after_failure(io.now, io);
            }
        };
        let poll_wait = self.pacing.next_poll_wait();
        let query = self.version.map(|version| format!("?index={version}&wait={:.0}", poll_wait.ms()));
        let sent =
            SentRequest { at: io.now, poll_wait: if query.is_some() { poll_wait } else { Span::ZERO } };
        tracing::trace!(
            version = self.version,
            turn = connection.number,
            reused,
            pending = self.pending.len(),
            "requesting the list"
        );
        connection.request(&format!(
            "GET /v1/endpoints{} HTTP/1.1\r\nHost: {agent}\r\n\r\n",
            query.unwrap_or_default()
        ));
        let connection_number = connection.number;
        self.sequence += 1;
        self.pending.push(PendingRequest {
            connection,
            sequence: self.sequence,
            version: self.version,
            sent,
            reused,
            ahead,
            counted_failed: false,
        });
        self.next = Next::Response;
        self.process_pending(connection_number, io);
    }

    /// Handles that no response has come in the time that the pacing allows.
    fn handle_overdue_response(&mut self, io: &mut IoContext) {
        let is_slow = self.pacing.is_slow();
        if self.pacing.is_silent(&self.awaited_requests(), io.now) {
            if let Some(newest) = self.pending.newest_mut() {
                newest.counted_failed = true;
            }
            self.record_failure("no response", io);
            // The time between requests to a slow service includes the pause after one that failed.
            if !self.pushed && !is_slow {
                self.next = Next::Idle;
                return io.events.push_back(ProxyEvent::ListFailed);
            }
        }
        self.send_request(io);
    }

    fn record_failure(&mut self, why: &str, io: &mut IoContext) {
        io.counters.lists_failed += 1;
        self.pacing.record_failure();
        let (count, since) = self.failures.map_or((1, io.now), |(count, since)| (count + 1, since));
        self.failures = Some((count, since));
        // Limits the log lines while an agent refuses every connection.
        if count.is_power_of_two() || !self.pushed {
            tracing::warn!(why, lost = count, "discovery failed");
        }
    }

    /// Sets what follows the failure of the newest request, which was sent at this time.
    fn continue_after_failure(&mut self, requested_at: Time, io: &mut IoContext) {
        if !self.pushed {
            self.next = Next::Idle;
            return io.events.push_back(ProxyEvent::ListFailed);
        }
        // The next request follows soon, since from the moment that a silent agent is back, its list counts
        // as known to the proxy. Without an outstanding request, the proxy would notice a drain late.
        self.next = Next::Request((requested_at + MIN_REQUEST_INTERVAL).max(io.now));
    }

    /// Handles that a request, which is no longer pending, has failed.
    fn fail(&mut self, request: PendingRequest, why: &str, io: &mut IoContext) {
        request.connection.close(&io.registry);
        if !request.counted_failed {
            self.record_failure(why, io);
        }
        let is_newest = request.sequence == self.sequence;
        if self.next == Next::Response && (is_newest || self.awaited_requests().is_empty()) {
            self.continue_after_failure(request.sent.at, io);
        }
    }

    /// Handles an event on the connection that carries no request.
    fn process_idle(&mut self, io: &mut IoContext) {
        let Some((connection, _)) = &mut self.idle else { return };
        match connection.advance() {
            Ok(Progress::Waiting) => connection.schedule_retry(io),
            Ok(Progress::Ended(_)) if connection.has_no_input() => self.close_idle(io),
            _ => {
                self.close_idle(io);
                self.record_failure("response without a request", io);
            }
        }
    }

    /// Handles an event on the connection of a request.
    fn process_pending(&mut self, connection_number: u32, io: &mut IoContext) {
        let Some(request) = self.pending.with_connection(connection_number) else { return };
        let progress = request.connection.advance();
        if matches!(progress, Ok(Progress::Waiting)) {
            return request.connection.schedule_retry(io);
        }
        let Some(request) = self.pending.remove(connection_number) else { return };
        match progress {
            Ok(Progress::Waiting) => {}
            Ok(Progress::Complete) => self.receive_response(request, io),
            Ok(Progress::Ended(why)) => self.handle_end(request, &why, io),
            Err(why) => self.fail(request, &why, io),
        }
    }

    /// Handles that the connection of a request has ended without a complete response.
    fn handle_end(&mut self, request: PendingRequest, why: &str, io: &mut IoContext) {
        // An agent may close an idle connection, also just as it is reused. Only a request that got
        // part of a response, or was sent on a new connection, has failed: guards against losing the
        // watch at an agent that closes each connection.
        let is_stale = request.reused && request.connection.has_no_input();
        if !is_stale || request.sequence != self.sequence || self.next != Next::Response {
            return self.fail(request, why, io);
        }
        request.connection.close(&io.registry);
        self.send_request(io);
    }

    fn receive_response(&mut self, mut request: PendingRequest, io: &mut IoContext) {
        let Some(response) = request.connection.take_response() else { return };
        if let Err(why) = check_response(&request, &response) {
            return self.fail(request, &why, io);
        }
        if let Some(version) = self.superseded_version(&response, request.sent.at) {
            return self.skip_superseded(request, &response, version, io);
        }
        match listing::decode(&response.body, &self.zone_names) {
            Ok(list) => self.receive_list(request, &response, list, io),
            Err(why) => self.fail(request, &why, io),
        }
    }

    /// Drops a list that says nothing new, and continues the watch.
    fn skip_superseded(
        &mut self,
        request: PendingRequest,
        response: &ListResponse,
        version: u64,
        io: &mut IoContext,
    ) {
        io.counters.lists_superseded += 1;
        let then = self.record_response(&request, version, io);
        let request_at = request.sent.at + MIN_REQUEST_INTERVAL;
        self.keep_connection(request.connection, response.close, io);
        self.continue_watch(then, request_at, io);
    }

    fn receive_list(
        &mut self,
        request: PendingRequest,
        response: &ListResponse,
        list: BackendList,
        io: &mut IoContext,
    ) {
        let [ready, draining, gone] = list.condition_counts();
        let waited = io.now.since(request.sent.at).ms();
        tracing::debug!(
            version = list.version,
            whole = list.full,
            ready,
            draining,
            gone,
            waited,
            "list received"
        );
        if let Some((count, since)) = self.failures {
            tracing::info!(
                lost = count,
                since_ms = io.now.since(since).ms(),
                draining,
                gone,
                "discovery responds again"
            );
        }
        let then = self.record_response(&request, list.version, io);
        let Some(agent) = self.agent else { return };
        let (requested_at, requested_version) = (request.sent.at, request.version);
        self.keep_connection(request.connection, response.close, io);
        let awaited = AwaitedList {
            version: list.version,
            full: list.full,
            is_empty: list.entries.is_empty(),
            requested_version,
            requested_at,
            then,
        };
        let previous_version = self.previous_version(&awaited);
        self.awaited = Some(awaited);
        self.next = Next::Apply;
        let source = ListSource::Agent(agent);
        io.events.push_back(ProxyEvent::ListReceived(ReceivedList { list, source, previous_version }));
    }

    /// Records the response to a request, with a list of this version. Returns what follows it.
    fn record_response(&mut self, request: &PendingRequest, version: u64, io: &mut IoContext) -> AfterList {
        io.counters.lists_received += 1;
        self.failures = None;
        self.response_times.record(request.sent.at, io.now);
        let awaited = self.awaited_requests();
        let oldest = awaited.first().filter(|oldest| oldest.at < request.sent.at);
        let timing = ResponseTiming {
            request: request.sent,
            ahead: request.ahead,
            unchanged: request.version == Some(version),
            oldest_pending: *oldest.unwrap_or(&request.sent),
        };
        let was_slow = self.pacing.is_slow();
        let ended_outage = self.pacing.record_response(&timing, io.now);
        let took_ms = io.now.since(request.sent.at).ms();
        match (was_slow, self.pacing.is_slow()) {
            (false, true) => tracing::warn!(took_ms, pending = self.pending.len(), "discovery is slow"),
            (true, false) => tracing::info!(took_ms, "discovery is no longer slow"),
            _ => {}
        }
        self.after_list(request, ended_outage)
    }

    /// Sets what follows the list that a request has brought.
    fn after_list(&mut self, request: &PendingRequest, ended_outage: bool) -> AfterList {
        let is_overtaken = request.sequence < self.last_answered;
        self.last_answered = self.last_answered.max(request.sequence);
        // A failure was reported to the decision module, which sends the next request in its time.
        if is_overtaken || self.next == Next::Idle {
            return AfterList::Resume(self.next);
        }
        // The connection has just proved sound, unlike those of the requests that are pending.
        let renews_watch = self.pushed && ended_outage;
        if renews_watch || self.awaited_requests().is_empty() {
            AfterList::Request
        } else {
            AfterList::Resume(Next::Response)
        }
    }

    /// Keeps a connection for the next request, in place of one that proved sound earlier, unless the agent closes it.
    fn keep_connection(&mut self, connection: ListConnection, closes: bool, io: &mut IoContext) {
        if closes || connection.has_ended() {
            return connection.close(&io.registry);
        }
        self.close_idle(io);
        self.idle = Some((connection, io.now));
    }

    /// The list that was applied since a request was sent.
    fn applied_since(&self, requested_at: Time) -> Option<AppliedVersion> {
        self.applied.filter(|applied| Some(applied.agent) == self.agent && requested_at < applied.received_at)
    }

    /// The version of a list that is no newer than the one applied since its request was sent, and whose contents are
    /// therefore from before that one; `None` for any other list.
    fn superseded_version(&self, response: &ListResponse, requested_at: Time) -> Option<u64> {
        let applied = self.applied_since(requested_at)?;
        listing::decode_version(&response.body).filter(|version| *version <= applied.version)
    }

    /// The version that the changes follow. Changes since an earlier version than the one that was applied meanwhile
    /// are also the changes since that.
    fn previous_version(&self, list: &AwaitedList) -> Option<u64> {
        let applied = self.applied_since(list.requested_at).filter(|applied| applied.version <= list.version);
        list.requested_version.map(|version| applied.map_or(version, |applied| version.max(applied.version)))
    }

    /// Sets the version that the next request names. Changes of a version below the requested one don't follow
    /// from the present list, so the changes since them would not either: the full list is needed. A list
    /// service that answers all proxies is first asked once more for changes, which another replica may have.
    fn continue_from(&mut self, list: &AwaitedList, needs_whole_list: bool) {
        // Changes don't replace the full list that is needed.
        let requested = list.requested_version.filter(|_| self.version.is_some());
        let follows = list.full || requested.is_some_and(|version| version <= list.version);
        let may_ask_again = !self.pushed && !self.out_of_step;
        self.out_of_step = !follows;
        if needs_whole_list || !follows && !may_ask_again {
            self.version = None;
        } else if follows {
            self.version = Some(list.version);
        }
    }

    /// Continues the watch after the list that was received has been applied, or ignored (`None`).
    pub fn list_handled(&mut self, applied: Option<AppliedList>, io: &mut IoContext) {
        let Some(list) = self.awaited.take() else { return };
        let unchanged = list.is_empty || self.version == Some(list.version);
        if let Some(applied) = applied {
            self.applied =
                self.agent.map(|agent| AppliedVersion { agent, version: list.version, received_at: io.now });
            self.continue_from(&list, applied.needs_whole_list);
        }
        // Guards against a busy loop at an agent that responds at once with nothing new. A list service that
        // answers all proxies is asked less often while it has only old lists.
        let interval = match applied.map(|applied| applied.order) {
            Some(ListOrder::Older) | None if !self.pushed => self.pacing.long_poll_wait(),
            Some(ListOrder::First | ListOrder::Newer) if !unchanged => Span::ZERO,
            _ => MIN_REQUEST_INTERVAL,
        };
        self.continue_watch(list.then, list.requested_at + interval, io);
        self.update_timer(io);
    }

    /// Sets what follows a list that has been handled. `earliest` is the earliest time for the next request.
    fn continue_watch(&mut self, then: AfterList, earliest: Time, io: &mut IoContext) {
        let delay = if self.version.is_none() { self.full_list_delay } else { Span::ZERO };
        let request_at = earliest.max(io.now + delay);
        match then {
            AfterList::Resume(next) if next != Next::Response || !self.awaited_requests().is_empty() => {
                self.next = next;
            }
            // Also where the requests that were waited for don't bring the full list that is needed.
            _ if io.now < request_at => self.next = Next::Request(request_at),
            _ => self.send_request(io),
        }
    }
}

/// Fails if a response is not one to the request with a list.
fn check_response(request: &PendingRequest, response: &ListResponse) -> Result<(), String> {
    // Guards against an agent that sends response after response without requests.
    if !request.connection.has_no_input() {
        return Err("response without a request".to_string());
    }
    if response.status != 200 {
        return Err(format!("status {}", response.status));
    }
    Ok(())
}
