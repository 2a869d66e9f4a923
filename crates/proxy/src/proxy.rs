//! The event loop: it waits for sockets, signals and deadlines, reports what happened to the balancer, and
//! carries out the balancer's actions. It makes no routing decisions.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry};
use oorandom::Rand32;
use socket2::{Domain, Socket, Type};
use sparlug::event::{Action, Event};
use sparlug::policy::Balancer;
use sparlug::settings::Effect;
use sparlug::time::{Span, Time};

use crate::address_claims::AddressClaims;
use crate::clients::{Classes, Clients};
use crate::config::{
    Budgets, Config, ConfigSource, ImmutableSettings, RESERVED_DISCOVERY_SOCKETS, RESERVED_SOCKETS,
};
use crate::connection_budget::ConnectionBudget;
use crate::control_messages::{self, HandoverMessage, HandoverState};
use crate::counters::Counters;
use crate::deadlines::{Clock, DeadlineId, Deadlines};
use crate::discovery::Discovery;
use crate::fleet::{self, Fleet, FleetEvent};
use crate::handover::{self, Handover};
use crate::http::ResponseHead;
use crate::list_history::{ListHistory, ListSource};
use crate::listing::{BackendList, HandoverList};
use crate::management::ManagementServer;
use crate::memory_limit::{MemoryLimit, MemoryWatch};
use crate::peers::Peers;
use crate::pool::Pool;
use crate::shared::{
    ClientSlot, ConnSlot, IncomingRequest, IoContext, Owner, ProxyEvent, ReceivedList, RequestSlot,
    RequestTag, TimerEvent,
};
use crate::signals::SignalQueue;
use crate::slots::Slots;
use crate::start_times::StartTimes;
use crate::startup::retry_transient;

mod admin;
mod lifecycle;
mod lists;
mod requests;
mod resources;
mod shutdown;

const OVERSLEEP_TOLERANCE: Span = Span::from_millis(3); // more than the timer's resolution
/// What arrived during a longer iteration of the loop is told from what arrives after it.
const LONG_ITERATION: Span = Span::from_millis(1);
const LISTEN_BACKLOG: i32 = 4096;
const FLEET_JOIN_RETRY_PAUSE: Span = Span::from_millis(1_000);
const RELOAD_RETRY_TIME: Span = Span::from_millis(30_000); // how long a failed reload is retried
const MIN_RELOAD_RETRY_PAUSE: Span = Span::from_millis(50);
const MAX_RELOAD_RETRY_PAUSE: Span = Span::from_millis(500);
const MAX_FAILED_WAITS: u32 = 1_000; // in a row, after which the process ends
/// A failed wait that lasted longer than this shows that no socket was ready until its end.
const CONCLUSIVE_WAIT: Span = Span::from_millis(1);
const SOCKET_CHECK_PAUSE: Span = Span::from_millis(5); // between checks of all sockets while waits fail
const MAX_INTERRUPTED_WAITS: u32 = 1_000; // in a row, after which the loop pauses before each wait
const INTERRUPTED_WAIT_PAUSE: Duration = Duration::from_micros(100);
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(1);
const LISTENER_DRAIN_PAUSE: Span = Span::from_millis(5); // between attempts to empty the accept queue
const MAX_BODY_PIECES_PER_TURN: usize = 4; // of one body, before other sockets are handled
const MAX_REPLAY_BYTES: usize = 512 * 1024; // of a streamed request that are kept so that it can be retried

/// A request that has no response yet or still has running attempts.
struct PendingRequest {
    /// `None` once the response was sent, or the client is gone.
    client: Option<ClientSlot>,
    incoming: IncomingRequest,
    /// The connection of each attempt, by its number; `None` for one that has ended.
    attempts: Vec<Option<ConnSlot>>,
    /// When it is given a response whatever the balancer decides; for an incomplete upload, when that is looked at
    /// again.
    deadline: Option<DeadlineId>,
    /// Set if the request is streamed to the backend.
    streamed_body: Option<StreamedBody>,
    /// The head of a response that is being streamed to the client.
    streamed_response: Option<Box<ResponseHead>>,
}

/// The state of a request that is streamed to the backend.
struct StreamedBody {
    /// How many of the buffered bytes were passed to the running attempt.
    sent: usize,
    /// The received bytes are no longer all buffered, so that the request cannot be retried.
    discarded: bool,
    /// The last byte was received.
    complete: bool,
}

impl PendingRequest {
    /// Whether its client is still to get the start of a response.
    fn awaits_response(&self) -> bool {
        self.client.is_some() && self.streamed_response.is_none()
    }

    /// Whether the rest of the request's body is still to come from the client.
    fn is_incomplete_upload(&self) -> bool {
        self.streamed_body.as_ref().is_some_and(|body| !body.complete)
    }
}

/// A running proxy: the event loop with everything it serves.
pub struct Proxy {
    poll: Poll,
    clock: Clock,
    /// When the last wait for events ended.
    last_wait_end: Time,
    signals: SignalQueue,
    io: IoContext,
    balancer: Balancer,
    actions: Vec<Action>,
    clients: Clients,
    pending: Slots<RequestTag, PendingRequest>,
    pool: Pool,
    discovery: Discovery,
    list_history: ListHistory,
    /// Until when withdrawals were shared with the other process of a handover.
    withdrawals_shared_at: Time,
    start_times: StartTimes,
    address_claims: AddressClaims,
    management: ManagementServer,
    handover: Handover,
    peers: Peers,
    fleet: Fleet,
    /// The number of this proxy in the fleet.
    ordinal: usize,
    /// Budgets while this is the only process, and during the overlap with another one in a handover.
    budgets: [Budgets; 2],
    /// The path that checks request: that of the load report, or `/health` where backends have none.
    check_path: &'static str,
    longest_deadline: Span,
    /// The latency target of each class.
    latency_targets: Vec<Span>,
    /// The settings that need a restart, for a warning when a new configuration changes them.
    immutable: ImmutableSettings,
    source: ConfigSource,
    /// When a reload was requested that is not done yet.
    reload_requested: Option<Time>,
    reload_timer: Option<DeadlineId>,
    /// How many waits in a row have failed.
    failed_waits: u32,
    /// When the first of them failed.
    waits_failing_since: Option<Time>,
    /// When all sockets were last checked without a wait.
    last_socket_check: Time,
    memory_watch: MemoryWatch,
    /// The longest time between two waits for events.
    longest_turn: Span,
}

/// Opens the listener, from the socket that was handed over if there is one. With `reuse_port` another
/// process can listen on the same address.
fn listen(
    config: &Config,
    handed_over: Option<&std::net::TcpListener>,
    reuse_port: bool,
    registry: &Registry,
) -> io::Result<TcpListener> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(reuse_port)?;
        socket.bind(&config.listen.into())?;
        // The usual backlog of 128 fills up while the loop is busy; the kernel then drops connections, and
        // nothing in the process shows it.
        socket.listen(LISTEN_BACKLOG)?;
        Ok(socket.into())
    };
    let listener: std::net::TcpListener = handed_over.map_or_else(bind, std::net::TcpListener::try_clone)?;
    listener.set_nonblocking(true)?;
    let mut listener = TcpListener::from_std(listener);
    registry.register(&mut listener, Owner::Listener.token(), Interest::READABLE)?;
    Ok(listener)
}

impl Proxy {
    /// `source` is where `config` was read from; it is read again on SIGHUP.
    pub fn new(config: Config, source: ConfigSource, mut signals: SignalQueue) -> Result<Proxy, String> {
        let poll = retry_transient(Poll::new).map_err(|e| format!("cannot poll: {e}"))?;
        let registry =
            retry_transient(|| poll.registry().try_clone()).map_err(|e| format!("cannot poll: {e}"))?;
        retry_transient(|| signals.register(&registry))
            .map_err(|e| format!("cannot watch for signals: {e}"))?;
        // A port that the system assigns at startup cannot identify the socket of the handover.
        let managed = config.management.is_some();
        let (path, can_hand_over) =
            (handover::socket_path(config.listen), managed && config.listen.port() != 0);
        let received = if can_hand_over { handover::take_over(&path, config.listen) } else { Ok(None) };
        let received = received.unwrap_or_else(|why| {
            tracing::warn!(why, "starting without the state of the previous process");
            None
        });
        let (handed_over, state, predecessor) =
            received.map(handover::ReceivedHandover::into_parts).map_or_else(
                || (None, HandoverState::default(), None),
                |(listener, state, predecessor)| (listener, state, Some(predecessor)),
            );
        let shares_listener = handed_over.is_some();
        let listener = retry_transient(|| listen(&config, handed_over.as_ref(), managed, &registry));
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;

        let clock = Clock::start();
        let (now, deadlines, counters) = (clock.now(), Deadlines::default(), Counters::default());
        let mut io = IoContext {
            registry,
            now,
            earliest_arrival: now,
            deadlines,
            counters,
            connections: ConnectionBudget::new(0, 0),
            events: VecDeque::new(),
            memory: MemoryLimit::new(config.budgets.heap_bytes),
            shutdown: None,
        };
        let management = ManagementServer::new(config.management, &io)?;
        let handover = Handover::new(path, can_hand_over, predecessor, &mut io);
        let budgets = [config.budgets, config.overlap_budgets];
        let initial_budgets = budgets[usize::from(handover.is_overlapping())];
        io.memory = MemoryLimit::new(initial_budgets.heap_bytes);
        initial_budgets.apply_to(&mut io.connections);
        let mut setup = config.setup;
        let peers = Peers::new(setup.peer_addresses, setup.settings.ordinal, managed, &io)?;
        // Without any peer's address, no messages can be sent.
        setup.settings.peer_messages &= peers.has_peers() || setup.fleet.is_some();
        let zone = setup.zone_names.get(usize::from(setup.settings.zone.0)).map_or("", String::as_str);
        let identity = (config.name.as_str(), zone, setup.settings.instances);
        let fleet = Fleet::new(setup.fleet.as_ref(), identity, config.seed, managed);
        let fleet_address = setup.fleet.as_ref().map(|fleet| fleet.address);
        if setup.fleet.is_some() {
            // Derived from the name, not from the position among the present members: otherwise each member
            // that joins or leaves would change the share of all others.
            setup.settings.ordinal = fleet::ordinal(&config.name);
        }
        let ordinal = setup.settings.ordinal;
        let deadlines: Vec<_> = setup.settings.classes.iter().map(|class| class.deadline).collect();
        let longest_deadline = deadlines.iter().copied().max().unwrap_or_default();
        let latency_targets = setup.settings.classes.iter().map(|class| class.target).collect();
        let method = |effect| if effect == Effect::Safe { "GET" } else { "POST" };
        let methods = setup.settings.classes.iter().map(|class| method(class.effect)).collect();
        let (names, tenants) = (setup.class_names, setup.tenant_names);
        let classes = Classes { names, deadlines, methods, tenants };
        let mut clients = Clients::new(Some(listener), shares_listener, classes, initial_budgets);
        clients.import_ids(&state.request_ids, now);
        let pool = Pool::new(initial_budgets, setup.connect_timeout, setup.backend_idle_timeout);
        let mut list_history = ListHistory::default();
        list_history.import(state.history, now);
        // Versions can only be compared between lists of the same agent; there the newer list is used.
        let handed_over_list =
            state.list.filter(|_| state.agent == config.discovery).map(HandoverList::into_list);
        let is_newer = |list: &BackendList| {
            config.initial_list.as_ref().is_none_or(|initial| initial.version <= list.version)
        };
        let handed_over_list = handed_over_list.filter(is_newer);
        let list_source = match config.discovery {
            _ if handed_over_list.is_some() => ListSource::Predecessor(state.agent),
            Some(agent) => ListSource::Agent(agent),
            None => ListSource::File,
        };
        let initial_list = handed_over_list.or(config.initial_list);
        let version = initial_list.as_ref().map(|list| list.version);
        let jitter = f64::from(Rand32::new(config.seed).rand_float());
        let pushed = !setup.settings.list_on_request;
        let max_connections = budgets[0].total;
        let discovery =
            Discovery::new(config.discovery, pushed, setup.zone_names, version, jitter, max_connections);
        let check_path = if setup.load_columns.in_flight.or(setup.load_columns.queued).is_some() {
            "/status/load"
        } else {
            "/health"
        };
        if let Some(list) = initial_list {
            let received = ReceivedList { list, source: list_source, previous_version: None };
            io.events.push_back(ProxyEvent::ListReceived(received));
        }
        let mut actions = Vec::new();
        let balancer = Balancer::new(setup.settings, config.seed, now, &mut actions);
        let mut proxy = Proxy {
            poll,
            clock,
            last_wait_end: now,
            signals,
            io,
            balancer,
            actions,
            clients,
            pending: Slots::default(),
            pool,
            discovery,
            list_history,
            withdrawals_shared_at: now,
            start_times: StartTimes::default(),
            address_claims: AddressClaims::default(),
            management,
            handover,
            peers,
            fleet,
            ordinal,
            budgets,
            check_path,
            longest_deadline,
            latency_targets,
            immutable: config.immutable,
            source,
            reload_requested: None,
            reload_timer: None,
            failed_waits: 0,
            waits_failing_since: None,
            last_socket_check: now,
            memory_watch: MemoryWatch::default(),
            longest_turn: Span::ZERO,
        };
        proxy.perform_actions();
        proxy.dispatch_events();
        // After the predecessor's list, which does not name these backends.
        proxy.address_claims.import(state.displaced);
        for backend in state.disabled {
            proxy.set_disabled(control_messages::backend_id(backend), true);
        }
        if pushed {
            proxy.discovery.watch(&mut proxy.io);
        }
        proxy.fleet.set_overlapping(proxy.handover.is_overlapping(), &mut proxy.io);
        let fleet_events = retry_transient(|| proxy.fleet.start(&mut proxy.io));
        let fleet_events =
            fleet_events.map_err(|e| format!("cannot listen for the fleet on {fleet_address:?}: {e}"))?;
        proxy.handle_fleet_events(fleet_events);
        let listen = proxy.clients.address().unwrap_or(config.listen);
        match proxy.management.address() {
            Some(management) => tracing::info!(name = config.name, %management, %listen, "serving"),
            None => tracing::info!(name = config.name, %listen, "serving"),
        }
        Ok(proxy)
    }

    /// Serves until it is told to shut down and all requests have their responses.
    pub fn run(mut self) -> io::Result<()> {
        // Capacity for an event of every descriptor: otherwise the end of a connection can wait in the kernel
        // behind a flood of other events.
        let mut events = Events::with_capacity(self.budgets[0].total + RESERVED_SOCKETS);
        while !self.is_shut_down() {
            if self.signals.has_pending() {
                self.handle_signals();
                self.dispatch_events();
            }
            let wait_start = self.clock.now();
            let wait = self.io.deadlines.time_to_next(wait_start);
            let found_pending = self.collect_pending(&mut events, wait_start);
            if !found_pending {
                match self.poll.poll(&mut events, wait) {
                    Err(e) => self.handle_failed_wait(e, wait_start)?,
                    Ok(()) => self.failed_waits = 0,
                }
            }
            self.io.now = self.clock.now();
            // After a wait of almost no time, the data may have arrived at any time since the previous wait;
            // after one that overslept, at any time since it should have ended.
            let waited = self.io.now.since(wait_start);
            let planned = wait.map_or(waited, |wait| Span::from_ms(wait.as_secs_f64() * 1000.0));
            let overslept = waited > planned + OVERSLEEP_TOLERANCE;
            self.io.earliest_arrival = match !found_pending && waited > Span::from_ms(0.05) {
                true if overslept => wait_start + planned,
                true => self.io.now,
                false => self.last_wait_end,
            };
            // After failed waits, the data may have arrived at any time since the first of them.
            if let Some(since) = self.waits_failing_since.filter(|_| self.failed_waits == 0) {
                self.io.earliest_arrival = self.io.earliest_arrival.min(since);
                self.waits_failing_since = None;
            }
            self.last_wait_end = self.io.now;
            if self.waits_failing_since.is_some_and(|since| self.io.now >= since + SOCKET_CHECK_PAUSE) {
                self.check_all_sockets();
            }
            let discovery = self.discovery.connection_numbers().count();
            self.io.connections.set_extra(discovery.saturating_sub(RESERVED_DISCOVERY_SOCKETS));
            for owner in self.prioritize(&events) {
                self.handle_ready(owner);
                self.dispatch_events();
            }
            let last_sequence = self.io.deadlines.last_sequence();
            while let Some(timer) = self.io.deadlines.pop_due(self.io.now, last_sequence) {
                self.handle_timer(timer);
                self.dispatch_events();
            }
            self.memory_watch.update(self.io.memory, self.io.now);
            self.longest_turn = self.longest_turn.max(self.clock.now().since(self.last_wait_end));
        }
        self.end_pending_requests();
        self.report_unfinished();
        self.handover.remove_socket();
        self.log_resource_usage();
        tracing::info!(counters = %self.io.counters, "stopped");
        Ok(())
    }

    /// Collects, without a wait, what became ready during an iteration that took long. Taking a long list of events out
    /// of the kernel can take as long as a short wait, and would pass for one.
    fn collect_pending(&mut self, events: &mut Events, now: Time) -> bool {
        let was_long = now.since(self.last_wait_end) > LONG_ITERATION;
        was_long && self.poll.poll(events, Some(Duration::ZERO)).is_ok() && !events.is_empty()
    }

    /// The order in which ready sockets are handled. Operators come first, so that their requests do not wait
    /// behind a flood of clients. Clients that have closed come next, so that capacity that becomes free in
    /// the same iteration is not given to a request whose client has closed its connection.
    fn prioritize(&mut self, events: &Events) -> Vec<Owner> {
        let [mut admin, mut closed, mut rest] = [Vec::new(), Vec::new(), Vec::new()];
        for event in events {
            match Owner::from_token(event.token()) {
                owner @ (Owner::Management | Owner::Call(_)) => admin.push(owner),
                owner @ Owner::Client(slot) if event.is_read_closed() => {
                    self.clients.mark_hung_up(slot);
                    closed.push(owner);
                }
                owner => rest.push(owner),
            }
        }
        admin.extend(closed);
        admin.extend(rest);
        admin
    }

    fn handle_ready(&mut self, owner: Owner) {
        self.io.now = self.clock.now();
        match owner {
            Owner::Listener => self.clients.accept(&mut self.io),
            Owner::Signals => self.handle_signals(),
            Owner::Discovery(connection_number) => {
                self.discovery.handle_event(connection_number, &mut self.io)
            }
            Owner::Client(slot) => self.clients.handle_ready(slot, &mut self.io),
            Owner::Conn(slot) => self.pool.handle_ready(slot, &mut self.io),
            Owner::Management => self.management.accept(&mut self.io),
            Owner::Call(slot) => self.management.handle_event(slot, &mut self.io),
            Owner::Handover => self.hand_over(),
            Owner::Peer(slot) => self.handover.handle_event(slot, &mut self.io),
            Owner::Peers => self.receive_peer_messages(),
            Owner::Fleet => self.receive_fleet_messages(),
        }
    }

    fn handle_timer(&mut self, timer: TimerEvent) {
        self.io.now = self.clock.now();
        match timer {
            TimerEvent::Balancer(id) => self.handle_event(Event::TimerExpired(id)),
            TimerEvent::RequestDeadline(request) => self.deadline_expired(request),
            TimerEvent::ClientTimeout(slot) => self.clients.handle_timer(slot, &mut self.io),
            TimerEvent::Recheck(owner) => self.handle_ready(owner),
            TimerEvent::ConnectTimeout(slot) => self.pool.connect_timed_out(slot, &mut self.io),
            TimerEvent::DeliveryTimeout(slot) => self.pool.delivery_timed_out(slot, &mut self.io),
            TimerEvent::StartStreaming(slot) => self.pool.start_streaming_due(slot, &mut self.io),
            TimerEvent::AttemptTimeout(slot) => self.pool.attempt_timed_out(slot, &mut self.io),
            TimerEvent::IdleTimeout(slot) => self.pool.idle_timed_out(slot, &mut self.io),
            TimerEvent::Discovery => self.discovery.handle_timer(&mut self.io),
            TimerEvent::Shutdown => self.continue_shutdown(),
            TimerEvent::Reload => self.reload(),
            TimerEvent::AdminTimeout(slot) => self.management.close(slot, &mut self.io),
            TimerEvent::Fleet => {
                let events = self.fleet.handle_timer(&mut self.io);
                self.handle_fleet_events(events);
            }
            TimerEvent::JoinFleet => self.update_fleet(),
            TimerEvent::Duties => self.fleet.handle_duties_timer(&mut self.io),
        }
    }

    /// Receives a few messages of peers at a time, so that a flood of them does not delay everything else.
    fn receive_peer_messages(&mut self) {
        let (messages, more) = self.peers.receive();
        for (from, bytes) in messages {
            self.io.counters.peer_messages += 1;
            self.handle_event(Event::PeerMessage { from, bytes });
        }
        if more {
            self.io.deadlines.set(self.io.now, TimerEvent::Recheck(Owner::Peers));
        }
    }

    fn receive_fleet_messages(&mut self) {
        let events = self.fleet.receive(&mut self.io);
        self.handle_fleet_events(events);
    }

    /// Passes the fleet's events on to the balancer.
    fn handle_fleet_events(&mut self, events: Vec<FleetEvent>) {
        for event in events {
            match event {
                FleetEvent::MemberCountChanged(instances) => {
                    self.handle_event(Event::InstancesChanged { instances, ordinal: self.ordinal })
                }
                FleetEvent::PeerMessage(from, bytes) => {
                    self.io.counters.peer_messages += 1;
                    self.handle_event(Event::PeerMessage { from, bytes });
                }
            }
        }
    }

    /// Starts or stops this process's membership in the fleet: during a handover only the successor is a
    /// member.
    fn update_fleet(&mut self) {
        self.fleet.set_overlapping(self.handover.is_overlapping(), &mut self.io);
        if self.handover.has_successor() {
            self.fleet.stop_for_successor(&mut self.io);
        } else if !self.fleet.is_running() && self.io.shutdown.is_none() {
            match self.fleet.start(&mut self.io) {
                Ok(events) => self.handle_fleet_events(events),
                Err(error) => {
                    tracing::warn!(%error, "could not join the fleet, serving without it and retrying");
                    self.io.deadlines.set(self.io.now + FLEET_JOIN_RETRY_PAUSE, TimerEvent::JoinFleet);
                }
            }
        }
    }

    /// Handles all queued events.
    fn dispatch_events(&mut self) {
        while let Some(event) = self.io.events.pop_front() {
            match event {
                ProxyEvent::RequestReceived(client, incoming) => self.receive_request(client, incoming),
                ProxyEvent::ClientGone(request) => self.client_gone(request),
                ProxyEvent::ResponseStarted(response) => self.start_response(response),
                ProxyEvent::RequestBodyReady(request) => self.forward_request_body(request),
                ProxyEvent::ResponseBodyReady(request) => self.forward_response_body(request),
                ProxyEvent::SendFailed(backend) => self.handle_event(Event::SendFailed(backend)),
                ProxyEvent::JobEnded(job) => self.job_ended(job),
                ProxyEvent::ListReceived(received) => {
                    let is_answer = matches!(received.source, ListSource::Agent(_));
                    let applied = self.apply_list(received);
                    if is_answer {
                        self.discovery.list_handled(applied, &mut self.io);
                    }
                }
                ProxyEvent::ListFailed => self.handle_event(Event::ListFailed),
                ProxyEvent::AdminRequestReceived(slot, request) => self.handle_admin_request(slot, request),
                ProxyEvent::HandoverPeerChanged => {
                    self.apply_budgets();
                    self.update_fleet();
                }
                ProxyEvent::HandoverMessage(HandoverMessage::SetDisabled { backend, disabled }) => {
                    self.set_disabled(control_messages::backend_id(backend), disabled)
                }
                ProxyEvent::HandoverMessage(HandoverMessage::State(state)) => {
                    self.clients.import_ids(&state.request_ids, self.io.now);
                    self.apply_withdrawals(state.history)
                }
            }
        }
    }

    /// Reports an event to the balancer and carries out the resulting actions.
    fn handle_event(&mut self, event: Event) {
        self.balancer.handle(self.io.now, event, &mut self.actions);
        self.perform_actions();
    }

    fn perform_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Attempt { request, backend, timeout, deliver_by } => {
                    self.start_attempt(request, backend, timeout, deliver_by);
                }
                Action::Refuse { request, backoff, reason } => {
                    self.io.counters.refused += 1;
                    self.log_unserved(request, reason);
                    self.respond(request, 503, backoff);
                }
                Action::Fail { request, reason } => {
                    self.io.counters.failed += 1;
                    self.log_unserved(request, reason);
                    self.respond(request, 502, None);
                }
                Action::Cancel { request, attempt } => {
                    let pending = self.pending.get(RequestSlot::from_number(request.0));
                    let conn = pending.and_then(|pending| *pending.attempts.get(usize::from(attempt.0))?);
                    if let Some(slot) = conn {
                        self.pool.cancel(slot, &mut self.io);
                    }
                }
                Action::SetTimeout { request, timeout, .. } => {
                    let until = self.io.now + timeout;
                    if let Some(slot) = self.active_connection(request) {
                        self.pool.set_attempt_timeout(slot, until, &mut self.io);
                    }
                }
                Action::SetTimer { after, id } => {
                    self.io.deadlines.set(self.io.now + after, TimerEvent::Balancer(id));
                }
                Action::Check { backend } => self.send_check(backend),
                Action::Withdraw { backend } => self.pool.withdraw(backend, &mut self.io),
                Action::CloseIdle { backend } => self.pool.close_idle(backend, &mut self.io),
                Action::WatchList { on: true } => self.discovery.watch(&mut self.io),
                Action::WatchList { on: false } => self.discovery.stop(&mut self.io),
                Action::FetchList => self.discovery.fetch_full_list(&mut self.io),
                Action::Log(text) => match self.pool.host_named_in(&text) {
                    Some(host) => tracing::info!(host, "{text}"),
                    None => tracing::info!("{text}"),
                },
                Action::SendToPeer { to, bytes } if self.fleet.is_running() => {
                    self.fleet.send_to_member(to.map_or(0, |to| usize::from(to.0)), bytes, &mut self.io);
                }
                Action::SendToPeer { to, bytes } => self.peers.send(to, &bytes),
            }
        }
    }
}
