//! An emulated backend: cores, a queue, service times drawn for each request, a cold start with growing
//! capacity, collapse under overload, draining, calls to the next tier, and injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::arrivals;
use crate::clock::{Micros, Timestamp};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message::{self, Message};
use crate::record::RecordKind;
use crate::scenario::{Class, Effect, FaultKind, Tier};

/// What the backend is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub tier: Tier,
    pub classes: Vec<Class>,
    pub address: SocketAddr,
    /// The proxy of the next tier that it calls, by name and address.
    #[serde(rename = "below")]
    pub next_tier: Option<(String, SocketAddr)>,
    pub seed: u64,
    /// Whether its first process starts warm.
    pub warm: bool,
}

/// Commands of the running scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Starts a process, warm or cold.
    Start {
        address: Option<SocketAddr>,
        warm: bool,
    },
    Crash,
    /// Refuses new requests.
    Drain,
    /// Stops once no request is pending.
    #[serde(rename = "End")]
    Shutdown,
    Fault {
        number: u32,
        fault: ActiveFault,
    },
    #[serde(rename = "Mend")]
    ClearFault {
        number: u32,
    },
}

/// A fault of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveFault {
    pub kind: FaultKind,
    pub amount: Option<f64>,
    pub chance: Option<f64>,
    pub nth: Option<u64>,
}

/// What a timer is for.
#[derive(Debug)]
pub enum TimerEvent {
    Finish(u64),
    /// A delayed response.
    SendResponse(ConnId, Vec<u8>),
    /// Closes a connection that was last used at this time.
    Idle(ConnId, Timestamp),
}

struct ClientConnection {
    /// When the first byte of the incoming request arrived.
    first_byte_at: Option<Timestamp>,
    job: Option<u64>,
    last_used: Timestamp,
}

/// A request that is pending.
struct Job {
    conn: ConnId,
    id: String,
    class: String,
    deadline: Timestamp,
    started: bool,
    /// Calls to the next tier: in all, made so far, and the connection of the open one.
    calls: u32,
    calls_made: u32,
    open_call: Option<ConnId>,
    finish_at: Timestamp,
    body_bytes: usize,
}

/// One emulated backend.
pub struct Backend {
    spec: Spec,
    listener: Option<ListenerId>,
    generation: u32,
    /// When its process started, if it started cold.
    cold_since: Option<Timestamp>,
    draining: bool,
    shutting_down: bool,
    clients: BTreeMap<ConnId, ClientConnection>,
    calls: BTreeMap<ConnId, u64>,
    /// Idle connections to the proxy of the next tier.
    idle_upstream: Vec<ConnId>,
    jobs: BTreeMap<u64, Job>,
    waiting: VecDeque<u64>,
    running: usize,
    job_count: u64,
    request_count: u64,
    faults: BTreeMap<u32, ActiveFault>,
    stalled_since: Option<Timestamp>,
    arrivals: VecDeque<Timestamp>,
}

type Loop = EventLoop<TimerEvent>;

impl Backend {
    pub fn new(spec: Spec) -> Backend {
        Backend {
            spec,
            listener: None,
            generation: 0,
            cold_since: None,
            draining: false,
            shutting_down: false,
            clients: BTreeMap::new(),
            calls: BTreeMap::new(),
            idle_upstream: Vec::new(),
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: 0,
            job_count: 0,
            request_count: 0,
            faults: BTreeMap::new(),
            stalled_since: None,
            arrivals: VecDeque::new(),
        }
    }

    fn start_process(&mut self, event_loop: &mut Loop, warm: bool) -> io::Result<()> {
        // The address may still be in use for a moment by closing connections.
        let mut listener = event_loop.listen(self.spec.address);
        for _ in 0..50 {
            if listener.is_ok() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(2));
            listener = event_loop.listen(self.spec.address);
        }
        let failed =
            |e| io::Error::other(format!("{} cannot listen on {}: {e}", self.spec.name, self.spec.address));
        self.listener = Some(listener.map_err(failed)?);
        self.generation += 1;
        self.cold_since = (!warm).then(Timestamp::now);
        (self.draining, self.shutting_down) = (false, false);
        self.arrivals.clear();
        event_loop.record(RecordKind::Started { warm, generation: self.generation });
        Ok(())
    }

    fn stop_process(&mut self, event_loop: &mut Loop, how: &str) {
        let Some(listener) = self.listener.take() else { return };
        event_loop.record(RecordKind::Stopped { how: how.to_string() });
        event_loop.close_listener(listener);
        for conn in event_loop.connections() {
            event_loop.reset(conn);
        }
        self.clients.clear();
        self.calls.clear();
        self.idle_upstream.clear();
        self.jobs.clear();
        self.waiting.clear();
        self.running = 0;
        self.stalled_since = None;
    }

    /// The share of its full capacity that it has now.
    fn capacity_ratio(&self, now: Timestamp) -> f64 {
        let tier = &self.spec.tier;
        let Some(since) = self.cold_since else { return 1.0 };
        let age = now.since(since).secs() / tier.cold_ramp.secs().max(1e-6);
        (tier.cold_share + (1.0 - tier.cold_share) * age).min(1.0)
    }

    /// The amount of an active fault of a kind if it hits this request.
    fn fault_amount(&self, kind: FaultKind, id: &str) -> Option<f64> {
        let fault = self.faults.values().find(|fault| fault.kind == kind)?;
        if fault.nth.is_some_and(|nth| !self.request_count.is_multiple_of(nth.max(1))) {
            return None;
        }
        let chance = fault.chance.unwrap_or(1.0);
        let drawn: f64 = arrivals::request_rng(self.spec.seed, id, 0xfa17 + kind as u64).random();
        (drawn < chance).then(|| fault.amount.unwrap_or(1.0))
    }

    fn load_report(&self) -> String {
        format!("TEXT inflight={}, queue={}", self.jobs.len(), self.waiting.len())
    }

    fn send_response(
        &mut self,
        event_loop: &mut Loop,
        conn: ConnId,
        status: u16,
        not_started: bool,
        body: &[u8],
    ) {
        let mut headers = Vec::new();
        if self.spec.tier.reports {
            headers.push(("Server-Load", self.load_report()));
        }
        if not_started {
            headers.push(("Not-Started", "1".to_string()));
        }
        let bytes = http_message::encode_response(status, &headers, body);
        self.write_response(event_loop, conn, &bytes);
    }

    fn write_response(&mut self, event_loop: &mut Loop, conn: ConnId, bytes: &[u8]) {
        event_loop.write(conn, bytes);
        if let Some(client) = self.clients.get_mut(&conn) {
            (client.first_byte_at, client.job, client.last_used) = (None, None, event_loop.now);
            let idle = self.spec.tier.idle;
            event_loop.schedule_after(idle, TimerEvent::Idle(conn, event_loop.now));
        }
        // The next request may already be in the input buffer.
        self.read_request(event_loop, conn);
    }

    fn read_request(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.job.is_some() || event_loop.input(conn).is_empty() {
            return;
        }
        if client.first_byte_at.is_none() {
            client.first_byte_at = Some(event_loop.now);
        }
        let first_byte_at = client.first_byte_at.unwrap_or(event_loop.now);
        match http_message::parse_request(event_loop.input(conn)) {
            Ok(None) => {}
            Err(_) => {
                event_loop.write(
                    conn,
                    &http_message::encode_response(400, &[("Connection", "close".to_string())], b""),
                );
                self.drop_client(event_loop, conn);
                event_loop.close(conn);
            }
            Ok(Some(request)) => {
                event_loop.consume(conn, request.length);
                self.handle_request(event_loop, conn, first_byte_at, request);
            }
        }
    }

    fn handle_request(
        &mut self,
        event_loop: &mut Loop,
        conn: ConnId,
        first_byte_at: Timestamp,
        request: Message,
    ) {
        if request.path == "/health" {
            return self.send_response(event_loop, conn, if self.draining { 503 } else { 200 }, false, b"");
        }
        if request.path == "/status/load" {
            let report = self.load_report();
            return self.send_response(event_loop, conn, 200, false, report.as_bytes());
        }
        let class = self.spec.classes.iter().find(|class| class.name == request.class()).cloned();
        let (Some(class), Some(id)) = (class, request.header("Request-Id")) else {
            return self.send_response(event_loop, conn, 404, false, b"");
        };
        let id = id.to_string();
        self.request_count += 1;
        event_loop.record(RecordKind::Arrived {
            id: id.clone(),
            first: first_byte_at,
            class: class.name.clone(),
        });
        self.check_overload(event_loop);
        if self.listener.is_none() {
            return;
        }
        let time_left = request
            .number("Request-Timeout")
            .map_or(class.deadline, |seconds| Micros::from_ms(seconds * 1000.0));
        let refusal = if self.fault_amount(FaultKind::Refuse, &id).is_some() {
            Some("told to refuse")
        } else if self.draining {
            Some("draining")
        } else if self.running >= self.spec.tier.cores && self.waiting.len() >= self.spec.tier.queue {
            Some("full")
        } else {
            None
        };
        if let Some(why) = refusal {
            event_loop.record(RecordKind::Refused { id, why: why.to_string() });
            return self.send_response(event_loop, conn, 503, true, b"");
        }
        self.job_count += 1;
        let number = self.job_count;
        let calls = match self.spec.tier.calls {
            [_, 0] => 0,
            [least, most] => arrivals::request_rng(self.spec.seed, &id, 0xca11).random_range(least..=most),
        };
        let deadline = event_loop.now + time_left;
        let (class, body_bytes) = (class.name, request.body.len());
        let (calls_made, open_call, finish_at) = (0, None, event_loop.now);
        let job = Job {
            conn,
            id,
            class,
            deadline,
            started: false,
            calls,
            calls_made,
            open_call,
            finish_at,
            body_bytes,
        };
        self.jobs.insert(number, job);
        if let Some(client) = self.clients.get_mut(&conn) {
            client.job = Some(number);
        }
        self.waiting.push_back(number);
        self.start_jobs(event_loop);
    }

    /// Stops a cold backend whose arrivals over a window exceed a multiple of its capacity.
    fn check_overload(&mut self, event_loop: &mut Loop) {
        let tier = &self.spec.tier;
        let window = tier.fall_window;
        self.arrivals.push_back(event_loop.now);
        while self.arrivals.front().is_some_and(|at| event_loop.now.since(*at) > window) {
            self.arrivals.pop_front();
        }
        let capacity_ratio = self.capacity_ratio(event_loop.now);
        let capacity = window.secs() / tier.service.secs().max(1e-6) * tier.cores as f64 * capacity_ratio;
        let full_window = self.cold_since.is_some_and(|since| event_loop.now.since(since) > window);
        // With fewer than a few dozen arrivals in a window, chance alone gives such multiples.
        let overload_threshold = (capacity * tier.fall_multiple).max(30.0);
        if capacity_ratio < 1.0 && full_window && self.arrivals.len() as f64 > overload_threshold {
            event_loop
                .record(RecordKind::Overloaded { offered: self.arrivals.len() as f64, bearable: capacity });
            self.stop_process(event_loop, "fell over");
        }
    }

    fn start_jobs(&mut self, event_loop: &mut Loop) {
        while self.running < self.spec.tier.cores && self.stalled_since.is_none() {
            let Some(number) = self.waiting.pop_front() else { return };
            let tier = &self.spec.tier;
            let load = self.jobs.len() as f64;
            let crowding = 1.0
                + ((load - tier.slowdown_threshold as f64) / tier.slowdown_threshold.max(1) as f64).max(0.0);
            let capacity_ratio = self.capacity_ratio(event_loop.now);
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let work = self
                .spec
                .classes
                .iter()
                .find(|class| class.name == job.class)
                .map_or(1.0, |class| class.work);
            let service_time =
                arrivals::service_time(tier, &mut arrivals::request_rng(self.spec.seed, &job.id, 0x5e));
            job.started = true;
            let id = job.id.clone();
            let slowdown = self.fault_amount(FaultKind::Slow, &id).unwrap_or(1.0);
            let finish_at = event_loop.now + service_time.scaled(work * crowding * slowdown / capacity_ratio);
            if let Some(job) = self.jobs.get_mut(&number) {
                job.finish_at = finish_at;
            }
            event_loop.record(RecordKind::ProcessingStarted { id });
            self.running += 1;
            event_loop.schedule_at(finish_at, TimerEvent::Finish(number));
        }
    }

    fn finish_service(&mut self, event_loop: &mut Loop, number: u64) {
        if self.stalled_since.is_some() {
            return; // scheduled again when the stall is over
        }
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.finish_at > event_loop.now {
            return;
        }
        // The core is free while the job calls the next tier.
        self.running -= 1;
        self.start_jobs(event_loop);
        self.call_or_respond(event_loop, number);
    }

    fn call_or_respond(&mut self, event_loop: &mut Loop, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.calls_made == job.calls {
            return self.respond(event_loop, number, 200);
        }
        let Some((to, address)) = self.spec.next_tier.clone() else {
            return self.respond(event_loop, number, 200);
        };
        job.calls_made += 1;
        let time_left = job.deadline.since(event_loop.now);
        if time_left == Micros::ZERO {
            return self.respond(event_loop, number, 500);
        }
        let id = format!("{}.{}.{}", job.id, self.spec.name.replace('/', "-"), job.calls_made);
        let class = self.spec.classes.iter().find(|class| class.name == job.class).cloned();
        let needs_post = class.is_some_and(|class| class.effect != Effect::Safe);
        let method = if needs_post { "POST" } else { "GET" };
        let headers = [
            ("Request-Id", id.clone()),
            ("Request-Class", job.class.clone()),
            ("Request-Timeout", format!("{:.4}", time_left.secs())),
        ];
        let bytes = http_message::encode_request(method, &format!("/{}", job.class), "below", &headers, b"");
        let (by, deadline) = (job.id.clone(), job.deadline);
        let pooled = std::iter::from_fn(|| self.idle_upstream.pop()).find(|conn| event_loop.is_open(*conn));
        let conn = match pooled.map_or_else(|| event_loop.connect(address), Ok) {
            Ok(conn) => conn,
            Err(_) => return self.respond(event_loop, number, 500),
        };
        event_loop.write(conn, &bytes);
        event_loop.record(RecordKind::CallSent { id, by, to, deadline });
        self.calls.insert(conn, number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.open_call = Some(conn);
        }
    }

    fn respond(&mut self, event_loop: &mut Loop, number: u64, status: u16) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let (conn, id) = (job.conn, job.id.clone());
        let status = if self.fault_amount(FaultKind::Error, &id).is_some() { 500 } else { status };
        let drawn: f64 = arrivals::request_rng(self.spec.seed, &id, 0xe7).random();
        let status = if drawn < self.spec.tier.error_rate { 500 } else { status };
        event_loop.record(RecordKind::Finished { id: id.clone(), status });
        let body = format!("{} {} {}\n", self.spec.name, id, job.body_bytes);
        let response =
            http_message::encode_response(status, &[("Server-Load", self.load_report())], body.as_bytes());
        if self.fault_amount(FaultKind::Silence, &id).is_some() {
            return;
        }
        if self.fault_amount(FaultKind::ResetAfter, &id).is_some() {
            self.drop_client(event_loop, conn);
            return event_loop.reset(conn);
        }
        if self.fault_amount(FaultKind::HalfAnswer, &id).is_some() {
            event_loop.write(conn, &response[..response.len() - body.len() / 2]);
            self.drop_client(event_loop, conn);
            return event_loop.close(conn);
        }
        if self.fault_amount(FaultKind::Noise, &id).is_some() {
            let mut rng = arrivals::request_rng(self.spec.seed, &id, 0x01);
            let noise: Vec<u8> = (0..200).map(|_| rng.random()).collect();
            return event_loop.write(conn, &noise);
        }
        if self.fault_amount(FaultKind::Endless, &id).is_some() {
            event_loop.write(conn, b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
            return event_loop.write(conn, &[b'x'; 200_000]);
        }
        if self.fault_amount(FaultKind::WrongLength, &id).is_some() {
            let too_long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 10);
            event_loop.write(conn, too_long.as_bytes());
            self.drop_client(event_loop, conn);
            return event_loop.close(conn);
        }
        if let Some(delay_ms) = self.fault_amount(FaultKind::Late, &id) {
            return event_loop
                .schedule_after(Micros::from_ms(delay_ms), TimerEvent::SendResponse(conn, response));
        }
        self.send_response(event_loop, conn, status, false, body.as_bytes());
        self.end_if_done(event_loop);
    }

    /// Removes a client whose connection has ended, and its job if the tier cancels jobs or it has not
    /// started.
    fn drop_client(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(client) = self.clients.remove(&conn) else { return };
        let Some(number) = client.job else { return };
        let Some(job) = self.jobs.get(&number) else { return };
        if !self.spec.tier.cancels && job.started {
            return;
        }
        let Some(job) = self.jobs.remove(&number) else { return };
        event_loop.record(RecordKind::CallerGone { id: job.id, began: job.started });
        self.waiting.retain(|waiting| *waiting != number);
        if let Some(call) = job.open_call {
            self.calls.remove(&call);
            event_loop.close(call);
        } else if job.started {
            self.running -= 1;
            self.start_jobs(event_loop);
        }
        self.end_if_done(event_loop);
    }

    fn end_if_done(&mut self, event_loop: &mut Loop) {
        if self.shutting_down && self.jobs.is_empty() {
            self.stop_process(event_loop, "ended");
        }
    }

    fn end_call(&mut self, event_loop: &mut Loop, conn: ConnId, status: u16) {
        let Some(number) = self.calls.remove(&conn) else { return };
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.open_call = None;
        let id = format!("{}.{}.{}", job.id, self.spec.name.replace('/', "-"), job.calls_made);
        event_loop.record(RecordKind::CallEnded { id, status });
        if status == 200 {
            self.call_or_respond(event_loop, number);
        } else {
            self.respond(event_loop, number, 500);
        }
    }

    fn set_stalled(&mut self, event_loop: &mut Loop, on: bool) {
        let conns = event_loop.connections();
        if let Some(listener) = self.listener {
            event_loop.set_accepting(listener, !on);
        }
        conns.iter().for_each(|conn| event_loop.set_paused(*conn, on));
        if on {
            self.stalled_since = Some(self.stalled_since.unwrap_or(event_loop.now));
        } else if let Some(since) = self.stalled_since.take() {
            let stalled_for = event_loop.now.since(since);
            let numbers: Vec<u64> = self.jobs.keys().copied().collect();
            for number in numbers {
                let Some(job) = self.jobs.get_mut(&number) else { continue };
                if job.started && job.open_call.is_none() {
                    job.finish_at = job.finish_at + stalled_for;
                    event_loop.schedule_at(job.finish_at, TimerEvent::Finish(number));
                }
            }
            self.start_jobs(event_loop);
        }
    }
}

impl Component for Backend {
    type TimerEvent = TimerEvent;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        self.start_process(event_loop, self.spec.warm)
    }

    fn on_accept(&mut self, event_loop: &mut Loop, _on: ListenerId, conn: ConnId) {
        self.clients
            .insert(conn, ClientConnection { first_byte_at: None, job: None, last_used: event_loop.now });
        if self.faults.values().any(|fault| fault.kind == FaultKind::NeverAccept) {
            event_loop.set_paused(conn, true);
        }
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if self.clients.contains_key(&conn) {
            if self.faults.values().any(|fault| fault.kind == FaultKind::ResetBefore) {
                let id = String::from_utf8_lossy(event_loop.input(conn)).into_owned();
                if self.fault_amount(FaultKind::ResetBefore, &id).is_some() {
                    self.drop_client(event_loop, conn);
                    return event_loop.reset(conn);
                }
            }
            return self.read_request(event_loop, conn);
        }
        match http_message::parse_response(event_loop.input(conn)) {
            Ok(None) => {}
            Err(_) => {
                event_loop.close(conn);
                self.end_call(event_loop, conn, 0);
            }
            Ok(Some(response)) => {
                event_loop.consume(conn, response.length);
                if response.closes() {
                    event_loop.close(conn);
                } else {
                    self.idle_upstream.push(conn);
                }
                self.end_call(event_loop, conn, response.status);
            }
        }
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, _how: ConnectionEnd) {
        event_loop.close(conn);
        self.idle_upstream.retain(|idle| *idle != conn);
        self.end_call(event_loop, conn, 0);
        self.drop_client(event_loop, conn);
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::Finish(number) => self.finish_service(event_loop, number),
            TimerEvent::SendResponse(conn, bytes) => self.write_response(event_loop, conn, &bytes),
            TimerEvent::Idle(conn, last_used) => {
                if self
                    .clients
                    .get(&conn)
                    .is_some_and(|client| client.job.is_none() && client.last_used == last_used)
                {
                    self.clients.remove(&conn);
                    event_loop.close(conn);
                }
            }
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        match command {
            Command::Start { address, warm } => {
                self.spec.address = address.unwrap_or(self.spec.address);
                self.stop_process(event_loop, "replaced");
                if let Err(e) = self.start_process(event_loop, warm) {
                    event_loop.record(RecordKind::Note { text: e.to_string() });
                }
            }
            Command::Crash => self.stop_process(event_loop, "crashed"),
            Command::Drain => self.draining = true,
            Command::Shutdown => {
                self.shutting_down = true;
                self.end_if_done(event_loop);
            }
            Command::Fault { number, fault } => {
                self.faults.insert(number, fault);
                match fault.kind {
                    FaultKind::Stall => self.set_stalled(event_loop, true),
                    FaultKind::NeverAccept => {
                        if let Some(listener) = self.listener {
                            event_loop.set_accepting(listener, false);
                        }
                    }
                    _ => {}
                }
            }
            Command::ClearFault { number } => {
                let removed = self.faults.remove(&number);
                match removed.map(|fault| fault.kind) {
                    Some(FaultKind::Stall) => self.set_stalled(event_loop, false),
                    Some(FaultKind::NeverAccept) => {
                        if let Some(listener) = self.listener {
                            event_loop.set_accepting(listener, true);
                        }
                    }
                    _ => {}
                }
            }
        }
    }
}
