//! The one loop: it waits for sockets, signals and deadlines, hands what has happened to the decisions, and
//! carries out what they say. It decides nothing.

use std::io;
use std::time::Duration;

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry};
use oorandom::Rand32;
use socket2::{Domain, Socket, Type};
use sparlug::event::{Action, Event, Listing};
use sparlug::id::BackendId;
use sparlug::policy::Balancer;
use sparlug::settings::Effect;
use sparlug::time::{Span, Time};

use crate::clients::{Classes, Clients};
use crate::config::{Budgets, Config, ConfigSource, ImmutableSettings, RESERVED_SOCKETS};
use crate::control_messages::{self, AdminRequest, HandoverMessage, HandoverState};
use crate::counters::Counters;
use crate::deadlines::{Clock, DeadlineId, Deadlines};
use crate::discovery::Discovery;
use crate::fleet::{self, Fleet, FleetEvent};
use crate::handover::{self, Handover};
use crate::http::ResponseHead;
use crate::listing::{backend_id, BackendList, HandoverList};
use crate::management::ManagementServer;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::shared::{
    AdminSlot, ClientSlot, ConnSlot, IncomingRequest, IoContext, Owner, ProxyEvent, RequestSlot, RequestTag,
    TimerEvent,
};
use crate::signals::SignalQueue;
use crate::slots::Slots;
use crate::start_times::StartTimes;
use crate::startup::retry_transient;

mod lifecycle;
mod requests;

const OVERSLEPT: Span = Span::from_millis(3); // more than the timer's own coarseness
const BACKLOG: i32 = 1024; // connections that may wait to be accepted
const ACCEPT_ON: Span = Span::from_millis(600); // how long new connections are taken after the word to go
const JOIN_PAUSE: Span = Span::from_millis(1_000); // before a fleet that could not be joined is joined again
const RELOAD_FOR: Span = Span::from_millis(30_000); // for which reading a configuration is tried
const RELOAD_PAUSE: Span = Span::from_millis(50);
const RELOAD_PAUSE_MOST: Span = Span::from_millis(500);
const FAILED_WAITS_MOST: u32 = 1_000; // in a row, after which the program ends
const LASTED: Span = Span::from_millis(1); // a wait of this length has told that nothing was ready until its end
const LOOK_PAUSE: Span = Span::from_millis(5); // between looks at everything, while waits fail
const INTERRUPTIONS_MOST: u32 = 1_000; // waits in a row, before the loop pauses
const INTERRUPTED_PAUSE: Duration = Duration::from_micros(100);
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(1);
const DRAIN_PAUSE: Span = Span::from_millis(5); // between looks at a queue that could not be emptied
const COPY_MOST: usize = 512 * 1024; // of a long request, that is held so that it can go again
const GONE_BY: Span = Span::from_millis(50); // after the longest deadline from then, nothing is owed any more

/// A request until its answer is given and all its attempts have ended.
struct Held {
    /// `None` once it has its answer.
    client: Option<ClientSlot>,
    incoming: IncomingRequest,
    /// By number, the connections that carry attempts; `None` for one that has ended.
    attempts: Vec<Option<ConnSlot>>,
    /// `None` while its time has not begun.
    deadline: Option<DeadlineId>,
    /// For a request that is sent on as it comes.
    upload: Option<Upload>,
    /// For an answer that is passed on as it comes, once it has begun.
    began: Option<Box<ResponseHead>>,
}

/// A request that is sent on as it comes.
struct Upload {
    /// How much of what is held the attempt that is out has got.
    fed: usize,
    /// Not all that came is held any more.
    spent: bool,
    /// Its last byte has come.
    over: bool,
}

impl Held {
    fn streams(&self) -> bool {
        self.upload.is_some() || self.began.is_some()
    }
}

pub struct Proxy {
    poll: Poll,
    clock: Clock,
    /// When the last wait was over.
    polled: Time,
    signals: SignalQueue,
    io: IoContext,
    balancer: Balancer,
    actions: Vec<Action>,
    clients: Clients,
    held: Slots<RequestTag, Held>,
    /// Bytes of all requests that are held.
    held_bytes: usize,
    pool: Pool,
    discovery: Discovery,
    start_times: StartTimes,
    management: ManagementServer,
    handover: Handover,
    peers: Peers,
    fleet: Fleet,
    /// The number that stands for this proxy among the fleet's.
    ordinal: usize,
    /// Alone, and while another process lives beside it.
    budgets: [Budgets; 2],
    /// The path at which a backend is checked.
    check_path: &'static str,
    longest: Span,
    /// What can't change while it runs, to say so when a new configuration differs.
    fixed: ImmutableSettings,
    source: ConfigSource,
    /// Since when it is going down.
    leaving: Option<Time>,
    /// When it was told to read its configuration anew, until it has.
    reload_since: Option<Time>,
    reload: Option<DeadlineId>,
    /// Waits in a row that failed.
    failed_waits: u32,
    /// When the first of them failed.
    blind_since: Option<Time>,
    /// When it last looked at everything without a wait.
    looked: Time,
}

/// Listens, at the socket that was handed over if there is one. `shared` lets another process do so too.
fn listen(
    config: &Config,
    handed: Option<&std::net::TcpListener>,
    shared: bool,
    registry: &Registry,
) -> io::Result<TcpListener> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.bind(&config.listen.into())?;
        // Guards against connections dropped unseen while the loop is busy: the usual 128 are soon waiting.
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    };
    let listener: std::net::TcpListener = handed.map_or_else(bind, std::net::TcpListener::try_clone)?;
    listener.set_nonblocking(true)?;
    let mut listener = TcpListener::from_std(listener);
    registry.register(&mut listener, Owner::Listener.token(), Interest::READABLE)?;
    Ok(listener)
}

impl Proxy {
    /// `source` is where the configuration came from, to be read again on SIGHUP.
    pub fn new(config: Config, source: ConfigSource, mut signals: SignalQueue) -> Result<Proxy, String> {
        let poll = retry_transient(Poll::new).map_err(|e| format!("cannot poll: {e}"))?;
        let registry =
            retry_transient(|| poll.registry().try_clone()).map_err(|e| format!("cannot poll: {e}"))?;
        retry_transient(|| signals.register(&registry)).map_err(|e| format!("cannot hear signals: {e}"))?;
        // An address that is only found at the start is no name to be found by.
        let managed = config.management.is_some();
        let (path, wanted) = (handover::socket_path(config.listen), managed && config.listen.port() != 0);
        let taken = if wanted { handover::take_over(&path, config.listen) } else { Ok(None) };
        let taken = taken.unwrap_or_else(|why| {
            tracing::warn!(why, "starting without what the process before had");
            None
        });
        let (handed, state, before) = taken.map(handover::ReceivedHandover::into_parts).map_or_else(
            || (None, HandoverState::default(), None),
            |(listener, state, before)| (listener, state, Some(before)),
        );
        let joined = handed.is_some();
        let listener = retry_transient(|| listen(&config, handed.as_ref(), managed, &registry));
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;

        let clock = Clock::start();
        let (now, deadlines, counters) = (clock.now(), Deadlines::default(), Counters::default());
        let (client_connections, backend_connections, events) = Default::default();
        let (streaming_requests, streaming_bytes) = (0, config.budgets.buffer_bytes / 2);
        let mut io = IoContext {
            registry,
            now,
            earliest_arrival: now,
            deadlines,
            counters,
            client_connections,
            backend_connections,
            events,
            streaming_requests,
            streaming_bytes,
        };
        let management = ManagementServer::new(config.management, &io)?;
        let handover = Handover::new(path, wanted, before, &mut io);
        let budgets = [config.budgets, config.overlap_budgets];
        let now_budgets = budgets[usize::from(handover.is_overlapping())];
        let mut setup = config.setup;
        let peers = Peers::new(setup.peer_addresses, setup.settings.ordinal, managed, &io)?;
        // Nothing is said where nobody's address is known.
        setup.settings.peer_messages &= peers.has_peers() || setup.fleet.is_some();
        let zone = setup.zone_names.get(usize::from(setup.settings.zone.0)).map_or("", String::as_str);
        let about = (config.name.as_str(), zone, setup.settings.instances);
        let fleet = Fleet::new(setup.fleet.as_ref(), about, config.seed, managed);
        let fleet_address = setup.fleet.as_ref().map(|found| found.address);
        if setup.fleet.is_some() {
            // Not the place among those that are there: whoever comes or goes would move everybody's part.
            setup.settings.ordinal = fleet::ordinal(&config.name);
        }
        let ordinal = setup.settings.ordinal;
        let deadlines: Vec<_> = setup.settings.classes.iter().map(|class| class.deadline).collect();
        let longest = deadlines.iter().copied().max().unwrap_or_default();
        let method = |effect| if effect == Effect::Safe { "GET" } else { "POST" };
        let methods = setup.settings.classes.iter().map(|class| method(class.effect)).collect();
        let (names, tenants) = (setup.class_names, setup.tenant_names);
        let classes = Classes { names, deadlines, methods, tenants };
        let clients = Clients::new(Some(listener), joined, classes, now_budgets);
        let pool = Pool::new(now_budgets, setup.connect_timeout, setup.backend_idle_timeout);
        // Versions are an agent's own; of two lists of one agent the newer one counts.
        let handed = state.list.filter(|_| state.agent == config.discovery).map(HandoverList::into_list);
        let newer = |list: &BackendList| {
            config.initial_list.as_ref().is_none_or(|known| known.version <= list.version)
        };
        let known = handed.filter(newer).or(config.initial_list);
        let version = known.as_ref().map(|known| known.version);
        let chance = f64::from(Rand32::new(config.seed).rand_float());
        let pushed = !setup.settings.list_on_request;
        let discovery = Discovery::new(config.discovery, pushed, setup.zone_names, version, chance);
        let check_path = if setup.load_columns.in_flight.or(setup.load_columns.queued).is_some() {
            "/status/load"
        } else {
            "/health"
        };
        if let Some(known) = known {
            io.events.push_back(ProxyEvent::ListReceived(known, None));
        }
        let mut actions = Vec::new();
        let balancer = Balancer::new(setup.settings, config.seed, now, &mut actions);
        let (held, held_bytes, leaving) = (Slots::default(), 0, None);
        let mut proxy = Proxy {
            poll,
            clock,
            polled: now,
            signals,
            io,
            balancer,
            actions,
            clients,
            held,
            held_bytes,
            pool,
            discovery,
            start_times: StartTimes::default(),
            management,
            handover,
            peers,
            fleet,
            ordinal,
            budgets,
            check_path,
            longest,
            fixed: config.immutable,
            source,
            leaving,
            reload_since: None,
            reload: None,
            failed_waits: 0,
            blind_since: None,
            looked: now,
        };
        proxy.carry_out();
        proxy.pump();
        for barred in state.disabled {
            proxy.bar(control_messages::backend_id(barred), true);
        }
        if pushed {
            proxy.discovery.watch(&mut proxy.io);
        }
        proxy.fleet.set_overlapping(proxy.handover.is_overlapping(), &mut proxy.io);
        let told = retry_transient(|| proxy.fleet.start(&mut proxy.io));
        let told = told.map_err(|e| format!("cannot listen for the fleet on {fleet_address:?}: {e}"))?;
        proxy.told(told);
        let listen = proxy.clients.address().unwrap_or(config.listen);
        match proxy.management.address() {
            Some(management) => tracing::info!(name = config.name, %management, %listen, "serving"),
            None => tracing::info!(name = config.name, %listen, "serving"),
        }
        Ok(proxy)
    }

    /// Serves until it is told to go and all is answered.
    pub fn run(mut self) -> io::Result<()> {
        // All descriptors at once: guards against one's end waiting in the kernel behind a flood of others.
        let mut events = Events::with_capacity(self.budgets[0].total + RESERVED_SOCKETS);
        while !self.done() {
            if self.signals.has_pending() {
                self.signalled();
                self.pump();
            }
            let before = self.clock.now();
            let wait = self.io.deadlines.time_to_next(before);
            match self.poll.poll(&mut events, wait) {
                Err(e) => self.wait_failed(e, before)?,
                Ok(()) => self.failed_waits = 0,
            }
            self.io.now = self.clock.now();
            // If it hardly waited, what is there may have come at any time since the last turn; if it slept
            // for longer than it meant to, at any time since it should have woken.
            let waited = self.io.now.since(before);
            let meant = wait.map_or(waited, |wait| Span::from_ms(wait.as_secs_f64() * 1000.0));
            let long = waited > meant + OVERSLEPT;
            self.io.earliest_arrival = match waited > Span::from_ms(0.05) {
                true if long => before + meant,
                true => self.io.now,
                false => self.polled,
            };
            // What no wait could tell of may have come since the first one that failed.
            if let Some(blind) = self.blind_since.filter(|_| self.failed_waits == 0) {
                self.io.earliest_arrival = self.io.earliest_arrival.min(blind);
                self.blind_since = None;
            }
            self.polled = self.io.now;
            if self.blind_since.is_some_and(|since| self.io.now >= since + LOOK_PAUSE) {
                self.look_everywhere();
            }
            for owner in self.in_order(&events) {
                self.event(owner);
                self.pump();
            }
            let set = self.io.deadlines.last_sequence();
            while let Some(due) = self.io.deadlines.pop_due(self.io.now, set) {
                self.due(due);
                self.pump();
            }
        }
        self.handover.remove_socket();
        tracing::info!(counters = %self.io.counters, "gone");
        Ok(())
    }

    /// Operators first: guards against a call of theirs waiting behind a flood of callers. Then the callers that are
    /// gone: guards against a place that falls free in the same turn going to a request that nobody waits for.
    fn in_order(&mut self, events: &Events) -> Vec<Owner> {
        let [mut first, mut gone, mut rest] = [Vec::new(), Vec::new(), Vec::new()];
        for event in events {
            match Owner::from_token(event.token()) {
                owner @ (Owner::Management | Owner::Call(_)) => first.push(owner),
                owner @ Owner::Client(slot) if event.is_read_closed() => {
                    self.clients.hung_up(slot);
                    gone.push(owner);
                }
                owner => rest.push(owner),
            }
        }
        first.extend(gone);
        first.extend(rest);
        first
    }

    fn event(&mut self, owner: Owner) {
        self.io.now = self.clock.now();
        match owner {
            Owner::Listener => self.clients.accept(&mut self.io),
            Owner::Signals => self.signalled(),
            Owner::Discovery(turn) => self.discovery.handle_event(turn, &mut self.io),
            Owner::Client(slot) => self.clients.event(slot, &mut self.io),
            Owner::Conn(slot) => self.pool.handle_ready(slot, &mut self.io),
            Owner::Management => self.management.accept(&mut self.io),
            Owner::Call(slot) => self.management.handle_event(slot, &mut self.io),
            Owner::Handover => self.hand_over(),
            Owner::Peer(slot) => self.handover.handle_event(slot, &mut self.io),
            Owner::Peers => self.hear(),
            Owner::Fleet => self.fleet_hear(),
        }
    }

    fn due(&mut self, due: TimerEvent) {
        self.io.now = self.clock.now();
        match due {
            TimerEvent::Balancer(id) => self.decide(Event::TimerExpired(id)),
            TimerEvent::RequestDeadline(request) => self.deadline_passed(request),
            TimerEvent::ClientTimeout(slot) => self.clients.due(slot, &mut self.io),
            TimerEvent::Recheck(owner) => self.event(owner),
            TimerEvent::ConnectTimeout(slot) => self.pool.connect_timed_out(slot, &mut self.io),
            TimerEvent::StartStreaming(slot) => self.pool.start_streaming_due(slot, &mut self.io),
            TimerEvent::AttemptTimeout(slot) => self.pool.attempt_timed_out(slot, &mut self.io),
            TimerEvent::IdleTimeout(slot) => self.pool.idle_timed_out(slot, &mut self.io),
            TimerEvent::Discovery => self.discovery.handle_timer(&mut self.io),
            TimerEvent::Shutdown => self.leave(),
            TimerEvent::Reload => self.reload(),
            TimerEvent::AdminTimeout(slot) => self.management.close(slot, &mut self.io),
            TimerEvent::Fleet => {
                let told = self.fleet.handle_timer(&mut self.io);
                self.told(told);
            }
            TimerEvent::JoinFleet => self.share_fleet(),
            TimerEvent::Duties => self.fleet.handle_duties_timer(&mut self.io),
        }
    }

    /// What peers say; a few at a time, so that a flood of it keeps nobody else waiting.
    fn hear(&mut self) {
        let (heard, more) = self.peers.receive();
        for (from, bytes) in heard {
            self.io.counters.peer_messages += 1;
            self.decide(Event::PeerMessage { from, bytes });
        }
        if more {
            self.io.deadlines.set(self.io.now, TimerEvent::Recheck(Owner::Peers));
        }
    }

    fn fleet_hear(&mut self) {
        let told = self.fleet.receive(&mut self.io);
        self.told(told);
    }

    /// What the fleet comes to for the decisions.
    fn told(&mut self, told: Vec<FleetEvent>) {
        for told in told {
            match told {
                FleetEvent::MemberCountChanged(instances) => {
                    self.decide(Event::InstancesChanged { instances, ordinal: self.ordinal })
                }
                FleetEvent::PeerMessage(from, bytes) => {
                    self.io.counters.peer_messages += 1;
                    self.decide(Event::PeerMessage { from, bytes });
                }
            }
        }
    }

    /// One member and not two: while the next process is there, it is the one.
    fn share_fleet(&mut self) {
        self.fleet.set_overlapping(self.handover.is_overlapping(), &mut self.io);
        if self.handover.has_successor() {
            self.fleet.stop_for_successor(&mut self.io);
        } else if !self.fleet.is_running() && self.leaving.is_none() {
            match self.fleet.start(&mut self.io) {
                Ok(told) => self.told(told),
                Err(error) => {
                    tracing::warn!(%error, "serving on without the fleet, joining again later");
                    self.io.deadlines.set(self.io.now + JOIN_PAUSE, TimerEvent::JoinFleet);
                }
            }
        }
    }

    /// Hands on all notes that the parts have left.
    fn pump(&mut self) {
        while let Some(note) = self.io.events.pop_front() {
            match note {
                ProxyEvent::RequestReceived(client, incoming) => self.taken(client, incoming),
                ProxyEvent::ClientGone(request) => self.left(request),
                ProxyEvent::ResponseStarted(begun) => self.began(begun),
                ProxyEvent::RequestBodyReady(request) => self.up(request),
                ProxyEvent::ResponseBodyReady(request) => self.down(request),
                ProxyEvent::SendFailed(backend) => self.decide(Event::SendFailed(backend)),
                ProxyEvent::JobEnded(done) => self.ended(done),
                ProxyEvent::ListReceived(list, before) => self.listed(list, before),
                ProxyEvent::ListFailed => self.decide(Event::ListFailed),
                ProxyEvent::AdminRequestReceived(slot, call) => self.called(slot, call),
                ProxyEvent::HandoverPeerChanged => {
                    self.share();
                    self.share_fleet();
                }
                ProxyEvent::HandoverMessage(HandoverMessage::SetDisabled { backend, disabled: barred }) => {
                    self.bar(control_messages::backend_id(backend), barred)
                }
                ProxyEvent::HandoverMessage(HandoverMessage::State(_)) => {}
            }
        }
    }

    fn called(&mut self, slot: AdminSlot, call: AdminRequest) {
        let (status, text) = match call {
            AdminRequest::Ready if self.clients.ready && self.leaving.is_none() => (200, String::new()),
            AdminRequest::Ready => (503, String::new()),
            AdminRequest::Metrics => (200, self.figures()),
            AdminRequest::SetDutyPaused { name, paused } => {
                if self.fleet.set_duty_paused(&name, paused, &mut self.io) {
                    (200, String::new())
                } else {
                    (404, format!("no duty {name} is configured here\n"))
                }
            }
            AdminRequest::Fleet => match self.fleet.status_json(self.io.now) {
                Some(json) => (200, json),
                None => (404, "no fleet is configured, or the next process is its member\n".to_string()),
            },
            AdminRequest::SetBackendDisabled { host, disabled: barred } => {
                let backend = backend_id(&host);
                let out = self.balancer.disabled().any(|out| out == backend);
                if out || self.pool.is_listed(backend) {
                    self.bar(backend, barred);
                    (200, String::new())
                } else {
                    (404, format!("the list has no backend {host:?}\n"))
                }
            }
        };
        self.management.respond(slot, status, "", &text, &mut self.io);
    }

    fn figures(&self) -> String {
        let counts = self.io.counters.report(self.clients.names());
        let corrected = self.start_times.corrected;
        let (in_flight, known) = (self.clients.in_flight(), self.pool.listed_count());
        let out = self.balancer.excluded_count();
        let (fleet, clients) = (self.fleet.metrics(self.io.now), self.clients.report());
        format!("{counts}{fleet}{clients}svc.in_flight:{in_flight}|g\nsvc.backends_known:{known}|g\nsvc.backends_excluded:{out}|g\nsvc.start_times_corrected:{corrected}|c\n")
    }

    /// Leaves a backend out, or lets it serve again, in the process beside this one too.
    fn bar(&mut self, backend: BackendId, barred: bool) {
        if self.balancer.disabled().any(|out| out == backend) == barred {
            return;
        }
        tracing::info!(host = self.pool.host(backend), barred, "told by hand");
        self.decide(Event::SetDisabled { backend, disabled: barred });
        let word = HandoverMessage::SetDisabled {
            backend: control_messages::backend_key(backend),
            disabled: barred,
        };
        self.handover.broadcast(&word, &mut self.io);
    }

    fn listed(&mut self, mut list: BackendList, before: Option<u64>) {
        let ready = self.pool.ready_count();
        let odd = list.anomalies(ready, before);
        if !odd.is_empty() {
            self.io.counters.suspicious_lists += 1;
            tracing::warn!(version = list.version, ready, "odd list: {}", odd.join("; "));
        }
        if list.is_suspiciously_empty(ready) {
            return;
        }
        self.start_times.correct(&mut list, self.io.now);
        let listings: Vec<Listing> = list.entries.iter().map(|entry| entry.listing).collect();
        if !listings.is_empty() {
            self.clients.set_ready(&mut self.io);
        }
        self.pool.update_list(list.full, &list.entries, &mut self.io);
        self.decide(Event::ListReceived { full: list.full, listings });
    }

    fn decide(&mut self, event: Event) {
        self.balancer.handle(self.io.now, event, &mut self.actions);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Attempt { request, backend, timeout, start_by } => {
                    self.attempt(request, backend, timeout, start_by);
                }
                Action::Refuse { request, backoff, reason } => {
                    self.io.counters.refused += 1;
                    self.say_unserved(request, reason);
                    self.answer(request, 503, backoff);
                }
                Action::Fail { request, reason } => {
                    self.io.counters.failed += 1;
                    self.say_unserved(request, reason);
                    self.answer(request, 502, None);
                }
                Action::Cancel { request, attempt } => {
                    let held = self.held.get(RequestSlot::from_number(request.0));
                    let out = held.and_then(|held| *held.attempts.get(usize::from(attempt.0))?);
                    if let Some(slot) = out {
                        self.pool.cancel(slot, &mut self.io);
                    }
                }
                Action::SetTimeout { request, timeout, .. } => {
                    let until = self.io.now + timeout;
                    if let Some(slot) = self.out(request) {
                        self.pool.set_attempt_timeout(slot, until, &mut self.io);
                    }
                }
                Action::SetTimer { after, id } => {
                    self.io.deadlines.set(self.io.now + after, TimerEvent::Balancer(id));
                }
                Action::Check { backend } => self.check(backend),
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
