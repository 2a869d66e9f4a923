//! The clients of a scenario. They send requests at the planned times, whatever became of earlier ones (open
//! loop), or one after the other (closed loop), and behave like real clients: they retry, keep connections
//! alive, give up early, read and write slowly, and send malformed requests.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::arrivals::Intent;
use crate::clock::{Micros, Timestamp};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message;
use crate::record::RecordKind;
use crate::scenario::{Class, ClientBehavior, Effect};

/// How long a target that refused a connection is skipped.
const TARGET_RETRY_DELAY: Micros = Micros::from_millis(300);
/// How long past its deadline an attempt waits, to record late responses.
const LATE_RESPONSE_WAIT: Micros = Micros::from_millis(250);
const CONNECT_TIMEOUT: Micros = Micros::from_millis(1000);
/// The mean interval at which idle connections are opened.
pub const IDLE_CONNECT_INTERVAL: Micros = Micros(150);
const MAX_SETTLE_TIME: Micros = Micros::from_millis(5000); // after the end of the load, for open requests

/// What the clients are started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub classes: Vec<Class>,
    #[serde(rename = "callers")]
    pub behavior: ClientBehavior,
    pub intents: Vec<Intent>,
    /// The number of clients in a closed loop; 0 for an open loop.
    #[serde(rename = "closed")]
    pub closed_loop_clients: usize,
    /// Draws the target of each attempt at random instead of assigning one to each client.
    #[serde(rename = "scatter")]
    pub random_target: bool,
    pub targets: Vec<(String, SocketAddr)>,
    /// Names of targets that do not exist yet.
    #[serde(rename = "absent")]
    pub absent_targets: Vec<String>,
    pub start: Timestamp,
    #[serde(rename = "lasts")]
    pub duration: Micros,
    pub seed: u64,
}

/// Commands of the running scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Sets whether a target may be used, and its address.
    Target { name: String, up: bool, address: Option<SocketAddr> },
    /// Closes all idle connections and opens them again at once.
    Herd,
}

/// What a timer is for.
#[derive(Debug)]
pub enum TimerEvent {
    NextIntent,
    /// Opens the next batch of idle connections.
    OpenIdle,
    Retry(usize, u16),
    /// The connection of an attempt must be established by now.
    ConnectTimeout(ConnId),
    /// An attempt is given up: early by an impatient client, or some time after its deadline.
    GiveUp(ConnId, u64),
    SendRest(ConnId, Vec<u8>),
    ResumeReading(ConnId),
    Close(ConnId),
    EndOfRun,
}

struct Target {
    name: String,
    address: SocketAddr,
    up: bool,
    down_until: Timestamp,
    pool: Vec<ConnId>,
}

/// One attempt at an intent (a planned request).
struct Attempt {
    serial: u64,
    intent: usize,
    retry_number: u16,
    id: String,
    target: usize,
    reused: bool,
    connected: bool,
    sent: Option<Timestamp>,
    deadline: Timestamp,
    /// Sent again on a new connection because a reused one was closed before any response, as HTTP/1.1
    /// allows.
    resent: bool,
}

/// The component that plays all clients.
pub struct Clients {
    spec: Spec,
    targets: Vec<Target>,
    attempts: BTreeMap<ConnId, Attempt>,
    /// Pooled connections with the index of their target, and connections that stay open only to record
    /// unexpected bytes, with `usize::MAX`.
    idle: BTreeMap<ConnId, usize>,
    /// Connections that send one request and then stay idle, and how many were requested and refused or
    /// closed.
    idle_only: BTreeSet<ConnId>,
    idle_requested: usize,
    idle_refused: usize,
    next_intent: usize,
    open_intents: usize,
    attempt_count: u64,
    first_due: BTreeMap<usize, Timestamp>,
    rng: ChaCha8Rng,
    run_ended: bool,
}

type Loop = EventLoop<TimerEvent>;

impl Clients {
    pub fn new(spec: Spec) -> Clients {
        let target = |(name, address): &(String, SocketAddr)| Target {
            name: name.clone(),
            address: *address,
            up: !spec.absent_targets.contains(name),
            down_until: Timestamp::default(),
            pool: Vec::new(),
        };
        let targets = spec.targets.iter().map(target).collect();
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ 0xca11e5);
        let (attempts, idle, idle_only, first_due) = Default::default();
        let (idle_requested, idle_refused) = (0, 0);
        Clients {
            spec,
            targets,
            attempts,
            idle,
            idle_only,
            idle_requested,
            idle_refused,
            next_intent: 0,
            open_intents: 0,
            attempt_count: 0,
            first_due,
            rng,
            run_ended: false,
        }
    }

    fn class(&self, intent: usize) -> &Class {
        &self.spec.classes[self.spec.intents[intent].class]
    }

    fn choose_target(&mut self, intent: usize, now: Timestamp) -> Option<usize> {
        let is_usable = |target: &Target| target.up && target.down_until <= now;
        let usable: Vec<usize> = (0..self.targets.len()).filter(|n| is_usable(&self.targets[*n])).collect();
        if usable.is_empty() {
            return None;
        }
        if self.spec.random_target {
            return Some(usable[self.rng.random_range(0..usable.len())]);
        }
        // Clients are spread over all targets that belong to the deployment, whether they respond or not.
        let present: Vec<usize> = (0..self.targets.len()).filter(|n| self.targets[*n].up).collect();
        let client = self.spec.intents[intent].client;
        let own = present[client % present.len()];
        Some(if usable.contains(&own) { own } else { usable[client % usable.len()] })
    }

    fn start_intent(&mut self, event_loop: &mut Loop, intent: usize, due: Timestamp) {
        self.first_due.insert(intent, due);
        self.open_intents += 1;
        if self.spec.intents[intent].malformed {
            return self.send_malformed(event_loop, intent);
        }
        self.start_attempt(event_loop, intent, 0);
    }

    fn request_id(&self, intent: usize, retry_number: u16) -> String {
        format!("{:x}-{intent:x}-{retry_number}", self.spec.seed)
    }

    fn start_attempt(&mut self, event_loop: &mut Loop, intent: usize, retry_number: u16) {
        let Some(target) = self.choose_target(intent, event_loop.now) else {
            return self.fail_unsent(event_loop, intent, retry_number, "no target is up");
        };
        let keep_alive = self.spec.behavior.keep_alive;
        let pooled =
            std::iter::from_fn(|| self.targets[target].pool.pop()).find(|conn| event_loop.is_open(*conn));
        let pooled = pooled.filter(|_| keep_alive);
        if let Some(conn) = pooled {
            self.idle.remove(&conn);
        }
        let conn = match pooled.map_or_else(|| event_loop.connect(self.targets[target].address), Ok) {
            Ok(conn) => conn,
            Err(e) => return self.fail_unsent(event_loop, intent, retry_number, &e.to_string()),
        };
        self.attempt_count += 1;
        let id = self.request_id(intent, retry_number);
        let (serial, connected) = (self.attempt_count, pooled.is_some());
        let (sent, deadline, resent) = (None, event_loop.now, false);
        let attempt = Attempt {
            serial,
            intent,
            retry_number,
            id,
            target,
            reused: connected,
            connected,
            sent,
            deadline,
            resent,
        };
        self.attempts.insert(conn, attempt);
        if connected {
            self.send_request(event_loop, conn);
        } else {
            event_loop.schedule_after(CONNECT_TIMEOUT, TimerEvent::ConnectTimeout(conn));
        }
    }

    fn fail_unsent(&mut self, event_loop: &mut Loop, intent: usize, retry_number: u16, why: &str) {
        event_loop.record(RecordKind::SendIncomplete {
            id: self.request_id(intent, retry_number),
            why: why.to_string(),
        });
        self.retry_or_finish(event_loop, intent, retry_number, true, None);
    }

    fn send_request(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(attempt) = self.attempts.get(&conn) else { return };
        let (intent, id) = (attempt.intent, attempt.id.clone());
        let class = self.class(intent).clone();
        let mut headers = vec![("Request-Id", id), ("Request-Class", class.name.clone())];
        headers.push(("Request-Timeout", format!("{:.3}", class.deadline.secs())));
        if self.spec.behavior.marks_retries && attempt.retry_number > 0 {
            headers.push(("Client-Retry", "1".to_string()));
        }
        let needs_post = class.effect != Effect::Safe;
        let (method, body) = if needs_post { ("POST", vec![b'b'; class.body]) } else { ("GET", Vec::new()) };
        let bytes = http_message::encode_request(
            method,
            &format!("/{}", class.name),
            "api.internal",
            &headers,
            &body,
        );
        if self.spec.intents[intent].slow_send {
            return self.send_piece(event_loop, conn, bytes);
        }
        event_loop.write(conn, &bytes);
        self.record_sent(event_loop, conn);
    }

    /// Sends a few bytes now and the rest in later pieces.
    fn send_piece(&mut self, event_loop: &mut Loop, conn: ConnId, bytes: Vec<u8>) {
        let (now, rest) = bytes.split_at(bytes.len().min(40));
        event_loop.write(conn, now);
        if rest.is_empty() {
            self.record_sent(event_loop, conn);
        } else {
            event_loop.schedule_after(Micros::from_millis(60), TimerEvent::SendRest(conn, rest.to_vec()));
        }
    }

    /// Records when the last byte was written, and sets the timers that count from then.
    fn record_sent(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if event_loop.unwritten_bytes(conn) > 0 {
            return;
        }
        let Some(attempt) = self.attempts.get(&conn).filter(|attempt| attempt.sent.is_none()) else { return };
        let (intent, serial) = (attempt.intent, attempt.serial);
        let class = self.class(intent).clone();
        let (now, plan) = (Timestamp::now(), &self.spec.intents[intent]);
        let (impatient, slow_read) = (plan.impatient, plan.slow_read);
        let due = self.first_due.get(&intent).copied().unwrap_or(now);
        let Some(attempt) = self.attempts.get_mut(&conn) else { return };
        (attempt.sent, attempt.deadline) = (Some(now), now + class.deadline);
        let (id, to) = (attempt.id.clone(), self.targets[attempt.target].name.clone());
        let (deadline, retry_number) = (attempt.deadline, attempt.retry_number);
        event_loop.record(RecordKind::Sent {
            id,
            intent: intent as u64,
            class: class.name,
            to,
            due,
            deadline,
            retry_number,
        });
        if impatient {
            event_loop.schedule_at(
                now + class.deadline.scaled(self.spec.behavior.leave_at),
                TimerEvent::GiveUp(conn, serial),
            );
        }
        if slow_read {
            event_loop.set_paused(conn, true);
            event_loop.schedule_at(now + class.deadline.scaled(0.3), TimerEvent::ResumeReading(conn));
        }
        event_loop.schedule_at(deadline + LATE_RESPONSE_WAIT, TimerEvent::GiveUp(conn, serial));
    }

    fn finish_attempt(&mut self, event_loop: &mut Loop, conn: ConnId, response: http_message::Message) {
        let Some(attempt) = self.attempts.remove(&conn) else { return };
        event_loop.consume(conn, response.length);
        let retry_after_ms = response.number("Retry-After").map(|seconds| seconds * 1000.0);
        event_loop.record(RecordKind::ResponseReceived {
            id: attempt.id.clone(),
            status: response.status,
            retry_after_ms,
        });
        // Bytes beyond the response.
        let extra_bytes = event_loop.input(conn).len();
        if extra_bytes > 0 {
            event_loop.record(RecordKind::UnsolicitedBytes { id: attempt.id.clone(), bytes: extra_bytes });
            event_loop.close(conn);
        } else if response.closes() || !self.spec.behavior.keep_alive {
            self.idle.insert(conn, usize::MAX);
            event_loop.schedule_after(Micros::from_millis(200), TimerEvent::Close(conn));
        } else {
            self.idle.insert(conn, attempt.target);
            self.targets[attempt.target].pool.push(conn);
        }
        if response.status == 200 {
            return self.finish(event_loop, attempt.intent, attempt.retry_number, true);
        }
        let refused = matches!(response.status, 429 | 503);
        self.retry_or_finish(event_loop, attempt.intent, attempt.retry_number, refused, retry_after_ms);
    }

    /// Schedules a retry if retries are left and the request may be repeated, because it was not executed or is
    /// safe; otherwise the intent ends.
    fn retry_or_finish(
        &mut self,
        event_loop: &mut Loop,
        intent: usize,
        retry_number: u16,
        not_executed: bool,
        retry_after_ms: Option<f64>,
    ) {
        let may_retry = not_executed || self.class(intent).effect == Effect::Safe;
        if !may_retry
            || retry_number >= self.spec.behavior.retries
            || event_loop.now > self.spec.start + self.spec.duration
        {
            return self.finish(event_loop, intent, retry_number, false);
        }
        let obeys_retry_after = self.rng.random::<f64>() < self.spec.behavior.retry_after_share;
        let backoff = self.spec.behavior.backoff.scaled(f64::from(1u32 << retry_number.min(8)));
        let backoff = backoff.scaled(0.5 + self.rng.random::<f64>());
        let wait = retry_after_ms.filter(|_| obeys_retry_after).map_or(backoff, Micros::from_ms);
        event_loop.schedule_after(wait, TimerEvent::Retry(intent, retry_number + 1));
    }

    fn finish(&mut self, event_loop: &mut Loop, intent: usize, retry_number: u16, served: bool) {
        let due = self.first_due.remove(&intent).unwrap_or(event_loop.now);
        let class = self.class(intent).name.clone();
        event_loop.record(RecordKind::IntentFinished {
            intent: intent as u64,
            class,
            due,
            served,
            attempts: retry_number + 1,
        });
        self.open_intents -= 1;
        if self.spec.closed_loop_clients > 0 {
            self.start_next_closed_loop(event_loop);
        }
        self.end_if_done(event_loop);
    }

    fn end_if_done(&mut self, event_loop: &mut Loop) {
        if self.run_ended && self.open_intents == 0 {
            event_loop.request_stop();
        }
    }

    fn start_next_closed_loop(&mut self, event_loop: &mut Loop) {
        if !self.run_ended
            && self.next_intent < self.spec.intents.len()
            && event_loop.now < self.spec.start + self.spec.duration
        {
            self.next_intent += 1;
            self.start_intent(event_loop, self.next_intent - 1, event_loop.now);
        }
    }

    /// The connection of an attempt ended without a complete response.
    fn fail_on_close(
        &mut self,
        event_loop: &mut Loop,
        conn: ConnId,
        how: ConnectionEnd,
        partial_response: bool,
    ) {
        let Some(mut attempt) = self.attempts.remove(&conn) else { return };
        let (intent, retry_number) = (attempt.intent, attempt.retry_number);
        if how == ConnectionEnd::Refused || attempt.sent.is_none() {
            if !attempt.reused {
                self.targets[attempt.target].down_until = event_loop.now + TARGET_RETRY_DELAY;
            }
            event_loop.record(RecordKind::SendIncomplete { id: attempt.id, why: format!("{how:?}") });
            return self.retry_or_finish(event_loop, intent, retry_number, true, None);
        }
        let at_most_once = self.class(intent).effect == Effect::AtMostOnce;
        if attempt.reused && !partial_response && !attempt.resent && !at_most_once {
            if let Ok(conn) = event_loop.connect(self.targets[attempt.target].address) {
                event_loop.record(RecordKind::Resent { id: attempt.id.clone() });
                (attempt.reused, attempt.resent, attempt.connected, attempt.sent) =
                    (false, true, false, None);
                self.attempts.insert(conn, attempt);
                return event_loop.schedule_after(CONNECT_TIMEOUT, TimerEvent::ConnectTimeout(conn));
            }
        }
        let kind = if attempt.reused { "kept" } else { "new" };
        event_loop.record(RecordKind::ConnectionLost {
            id: attempt.id,
            how: format!("{how:?} on a {kind} connection"),
        });
        self.retry_or_finish(event_loop, intent, retry_number, false, None);
    }

    /// Opens the next batch of idle connections, each of which sends one request first.
    fn open_idle(&mut self, event_loop: &mut Loop) {
        const CONNECTIONS_PER_BATCH: usize = 40;
        let batch_end = self.spec.behavior.idle.min(self.idle_requested + CONNECTIONS_PER_BATCH);
        let class = self.spec.classes.iter().find(|class| class.effect == Effect::Safe).cloned();
        let Some(class) = class else { return };
        while self.idle_requested < batch_end {
            let target = self.idle_requested % self.targets.len(); // targets that are added later get none
            let headers = [("Request-Id", format!("{:x}-idle-{}", self.spec.seed, self.idle_requested))];
            self.idle_requested += 1;
            let Ok(conn) = event_loop.connect(self.targets[target].address) else {
                self.idle_refused += 1;
                continue;
            };
            event_loop.write(
                conn,
                &http_message::encode_request("GET", &format!("/{}", class.name), "a", &headers, b""),
            );
            self.idle_only.insert(conn);
        }
        if self.idle_requested < self.spec.behavior.idle {
            event_loop.schedule_after(
                IDLE_CONNECT_INTERVAL.scaled(CONNECTIONS_PER_BATCH as f64),
                TimerEvent::OpenIdle,
            );
        }
    }

    fn send_malformed(&mut self, event_loop: &mut Loop, intent: usize) {
        let bytes: Vec<u8> = match intent % 6 {
            0 => (0..300).map(|_| self.rng.random()).collect(),
            1 => b"GET /".to_vec(),
            2 => b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n".to_vec(),
            3 => b"GET /no-such-class HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n\r\n".to_vec(),
            4 => b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc".to_vec(),
            _ => [b"GET / HTTP/1.1\r\nX: ".as_slice(), &[b'a'; 20_000]].concat(),
        };
        self.open_intents -= 1;
        self.first_due.remove(&intent);
        let Some(target) = self.choose_target(intent, event_loop.now) else { return };
        if let Ok(conn) = event_loop.connect(self.targets[target].address) {
            event_loop.write(conn, &bytes);
            event_loop.schedule_after(Micros::from_millis(1500), TimerEvent::Close(conn));
        }
    }
}

impl Component for Clients {
    type TimerEvent = TimerEvent;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        if self.spec.behavior.idle > 0 {
            event_loop.schedule_after(Micros::ZERO, TimerEvent::OpenIdle);
        }
        event_loop.schedule_at(self.spec.start, TimerEvent::NextIntent);
        event_loop.schedule_at(self.spec.start + self.spec.duration, TimerEvent::EndOfRun);
        event_loop.schedule_at(self.spec.start + self.spec.duration + MAX_SETTLE_TIME, TimerEvent::EndOfRun);
        Ok(())
    }

    fn on_accept(&mut self, _event_loop: &mut Loop, _listener: ListenerId, _conn: ConnId) {}

    fn on_connect(&mut self, event_loop: &mut Loop, conn: ConnId) {
        // On a pooled connection the request is already written, even if the connect had not finished.
        if let Some(attempt) = self.attempts.get_mut(&conn).filter(|attempt| !attempt.connected) {
            attempt.connected = true;
            self.send_request(event_loop, conn);
        }
    }

    fn on_written(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if self.attempts.get(&conn).is_some_and(|attempt| !self.spec.intents[attempt.intent].slow_send) {
            self.record_sent(event_loop, conn);
        }
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if self.idle.contains_key(&conn) {
            let bytes = event_loop.input(conn).len();
            event_loop.consume(conn, bytes);
            return event_loop.record(RecordKind::UnsolicitedBytes { id: String::new(), bytes });
        }
        if !self.attempts.contains_key(&conn) {
            let bytes = event_loop.input(conn).len();
            event_loop.consume(conn, bytes);
            return;
        }
        match http_message::parse_response(event_loop.input(conn)) {
            Ok(None) => {}
            Ok(Some(response)) if response.status < 200 => drop(event_loop.consume(conn, response.length)),
            Ok(Some(response)) => self.finish_attempt(event_loop, conn, response),
            Err(e) => {
                event_loop.close(conn);
                if let Some(attempt) = self.attempts.remove(&conn) {
                    event_loop
                        .record(RecordKind::ConnectionLost { id: attempt.id, how: format!("no HTTP: {e}") });
                    self.retry_or_finish(event_loop, attempt.intent, attempt.retry_number, false, None);
                }
            }
        }
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, how: ConnectionEnd) {
        let partial_response = !event_loop.input(conn).is_empty();
        event_loop.close(conn);
        if self.idle_only.remove(&conn) {
            self.idle_refused += 1;
        }
        if let Some(target) = self.idle.remove(&conn) {
            if let Some(target) = self.targets.get_mut(target) {
                target.pool.retain(|pooled| *pooled != conn);
            }
        }
        self.fail_on_close(event_loop, conn, how, partial_response);
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::OpenIdle => self.open_idle(event_loop),
            TimerEvent::NextIntent if self.spec.closed_loop_clients > 0 => {
                for _ in 0..self.spec.closed_loop_clients {
                    self.start_next_closed_loop(event_loop);
                }
            }
            TimerEvent::NextIntent => {
                while self.next_intent < self.spec.intents.len() {
                    let at = self.spec.start + self.spec.intents[self.next_intent].at;
                    if at > event_loop.now {
                        return event_loop.schedule_at(at, TimerEvent::NextIntent);
                    }
                    self.next_intent += 1;
                    self.start_intent(event_loop, self.next_intent - 1, at);
                }
            }
            TimerEvent::Retry(intent, retry_number) => self.start_attempt(event_loop, intent, retry_number),
            TimerEvent::ConnectTimeout(conn) => {
                if self.attempts.get(&conn).is_some_and(|attempt| !attempt.connected) {
                    event_loop.close(conn);
                    self.fail_on_close(event_loop, conn, ConnectionEnd::Refused, false);
                }
            }
            TimerEvent::GiveUp(conn, serial) => {
                let Some(attempt) = self.attempts.get(&conn).filter(|attempt| attempt.serial == serial)
                else {
                    return;
                };
                let (intent, retry_number, before_deadline) =
                    (attempt.intent, attempt.retry_number, event_loop.now < attempt.deadline);
                event_loop.record(RecordKind::GaveUp { id: attempt.id.clone(), own: before_deadline });
                self.attempts.remove(&conn);
                event_loop.close(conn);
                if before_deadline {
                    self.finish(event_loop, intent, retry_number, false);
                } else {
                    self.retry_or_finish(event_loop, intent, retry_number, false, None);
                }
            }
            TimerEvent::SendRest(conn, bytes) => {
                if self.attempts.contains_key(&conn) {
                    self.send_piece(event_loop, conn, bytes);
                }
            }
            TimerEvent::ResumeReading(conn) => event_loop.set_paused(conn, false),
            TimerEvent::Close(conn) => {
                if !self.attempts.contains_key(&conn) {
                    self.idle.remove(&conn);
                    event_loop.close(conn);
                }
            }
            TimerEvent::EndOfRun if self.run_ended => event_loop.request_stop(),
            TimerEvent::EndOfRun => {
                self.run_ended = true;
                self.end_if_done(event_loop);
            }
        }
    }

    fn stop(&mut self, event_loop: &mut Loop) {
        if self.spec.behavior.idle > 0 {
            event_loop.record(RecordKind::IdleConnections {
                open: self.idle_only.len(),
                refused: self.idle_refused,
            });
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        match command {
            Command::Target { name, up, address } => {
                if let Some(target) = self.targets.iter_mut().find(|target| target.name == name) {
                    target.up = up;
                    target.address = address.unwrap_or(target.address);
                    let closing = if up { Vec::new() } else { std::mem::take(&mut target.pool) };
                    for conn in closing {
                        self.idle.remove(&conn);
                        event_loop.close(conn);
                    }
                }
            }
            Command::Herd => {
                let idle: Vec<_> = self.idle.keys().copied().collect();
                for conn in idle {
                    self.idle.remove(&conn);
                    event_loop.close(conn);
                }
                for target in 0..self.targets.len() {
                    let closed = std::mem::take(&mut self.targets[target].pool).len();
                    for _ in 0..closed {
                        if let Ok(conn) = event_loop.connect(self.targets[target].address) {
                            self.idle.insert(conn, target);
                            self.targets[target].pool.push(conn);
                        }
                    }
                }
            }
        }
    }
}
