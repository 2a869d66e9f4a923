//! A simple balancer to compare the proxy with: plain balancing rules, no limits, and on request one seeded
//! defect that the lab's checks must detect.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::agent::BackendEntry;
use crate::clock::{Micros, Timestamp};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message;
use crate::record::RecordKind;
use crate::scenario::{Balance, Class, Effect, SeededDefect};

/// What the balancer is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub listen: SocketAddr,
    pub balance: Balance,
    #[serde(rename = "tries")]
    pub max_attempts: u16,
    /// The timeout of each attempt; without it, the time left until the deadline.
    #[serde(rename = "try_time")]
    pub attempt_timeout: Option<Micros>,
    #[serde(rename = "plant")]
    pub seeded_defect: Option<SeededDefect>,
    /// How many requests within a window a newly started backend can take from all balancers together.
    #[serde(rename = "allowance")]
    pub slow_start_limit: (usize, Micros),
    /// It is a restart, with a list from before.
    #[serde(rename = "again")]
    pub restarted: bool,
    pub entries: Vec<BackendEntry>,
    pub classes: Vec<Class>,
    pub seed: u64,
}

/// Commands of the running scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// `first`: part of the first list that it gets.
    Set { entry: BackendEntry, first: bool },
    /// Accepts no new connections, and stops once no request is pending.
    Leave,
}

/// What a timer is for.
#[derive(Debug)]
pub enum TimerEvent {
    AttemptTimeout(u64, u16),
    Deadline(u64),
    SendResponse(u64, Vec<u8>),
}

/// A request that is received and not yet responded to.
struct PendingRequest {
    client: ConnId,
    class: Class,
    /// When the request was received, from which the client may count its deadline.
    received_at: Timestamp,
    bytes: Vec<u8>,
    attempt: Option<(ConnId, String)>,
    attempts_made: u16,
    number: u64,
}

/// The simple balancer.
pub struct Balancer {
    spec: Spec,
    entries: BTreeMap<String, BackendEntry>,
    in_flight: BTreeMap<String, usize>,
    pending: BTreeMap<u64, PendingRequest>,
    clients: BTreeMap<ConnId, Option<u64>>,
    attempts: BTreeMap<ConnId, u64>,
    idle_connections: BTreeMap<String, Vec<ConnId>>,
    /// The backend that started last, which some seeded defects overload.
    newest: Option<String>,
    /// When recent requests were sent to it.
    sent_to_newest: VecDeque<Timestamp>,
    listener: Option<ListenerId>,
    draining: bool,
    round_robin_index: usize,
    request_count: u64,
    rng: ChaCha8Rng,
}

type Loop = EventLoop<TimerEvent>;

impl Balancer {
    pub fn new(spec: Spec) -> Balancer {
        let entries = spec.entries.iter().map(|entry| (entry.host.clone(), entry.clone())).collect();
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ u64::from(spec.listen.port()));
        let (in_flight, pending, clients, attempts, idle_connections) = Default::default();
        let (newest, sent_to_newest, listener, draining, round_robin_index, request_count) =
            Default::default();
        Balancer {
            spec,
            entries,
            in_flight,
            pending,
            clients,
            attempts,
            idle_connections,
            newest,
            sent_to_newest,
            listener,
            draining,
            round_robin_index,
            request_count,
            rng,
        }
    }

    fn choose_backend(&mut self, now: Timestamp) -> Option<BackendEntry> {
        let uses_draining = self.spec.seeded_defect == Some(SeededDefect::UseDrained);
        let usable: Vec<&BackendEntry> =
            self.entries.values().filter(|entry| entry.health == "Ready" || uses_draining).collect();
        if usable.is_empty() {
            return None;
        }
        let newest = usable.iter().find(|entry| Some(&entry.host) == self.newest.as_ref());
        match (self.spec.seeded_defect, newest) {
            (Some(SeededDefect::CrowdCold), Some(entry)) => return Some((*entry).clone()),
            (Some(SeededDefect::CrowdTogether), Some(entry)) => {
                let (limit, window) = self.spec.slow_start_limit;
                while self.sent_to_newest.front().is_some_and(|at| now.since(*at) > window) {
                    self.sent_to_newest.pop_front();
                }
                if self.sent_to_newest.len() < limit {
                    self.sent_to_newest.push_back(now);
                    return Some((*entry).clone());
                }
            }
            _ => {}
        }
        let index = match self.spec.balance {
            Balance::RoundRobin => {
                self.round_robin_index += 1;
                self.round_robin_index % usable.len()
            }
            Balance::Least => {
                let load = |n: &usize| self.in_flight.get(&usable[*n].host).copied().unwrap_or(0);
                (0..usable.len()).min_by_key(load).unwrap_or(0)
            }
            _ => self.rng.random_range(0..usable.len()),
        };
        Some(usable[index].clone())
    }

    fn read_request(&mut self, event_loop: &mut Loop, client: ConnId) {
        let Ok(found) = http_message::parse_request(event_loop.input(client)) else {
            return event_loop.close(client);
        };
        let Some(request) = found else { return };
        let bytes = event_loop.consume(client, request.length);
        let class = self.spec.classes.iter().find(|class| class.name == request.class()).cloned();
        if request.path == "/ready" {
            return event_loop.write(client, &http_message::encode_response(200, &[], b""));
        }
        let Some(class) = class else {
            return event_loop.write(client, &http_message::encode_response(404, &[], b""));
        };
        self.request_count += 1;
        let number = self.request_count;
        self.clients.insert(client, Some(number));
        event_loop.schedule_after(class.deadline.scaled(0.95), TimerEvent::Deadline(number));
        let (received_at, attempt, attempts_made) = (event_loop.now, None, 0);
        self.pending.insert(
            number,
            PendingRequest { client, class, received_at, bytes, attempt, attempts_made, number },
        );
        self.send_attempt(event_loop, number);
    }

    fn send_attempt(&mut self, event_loop: &mut Loop, number: u64) {
        let Some(entry) = self.choose_backend(event_loop.now) else {
            return self.respond(event_loop, number, 503);
        };
        let pooled = self.idle_connections.entry(entry.host.clone()).or_default();
        let pooled = std::iter::from_fn(|| pooled.pop()).find(|conn| event_loop.is_open(*conn));
        let Ok(conn) = pooled.map_or_else(|| event_loop.connect(entry.address), Ok) else {
            return self.respond(event_loop, number, 503);
        };
        let Some(pending) = self.pending.get_mut(&number) else { return };
        pending.attempts_made += 1;
        pending.attempt = Some((conn, entry.host.clone()));
        event_loop.write(conn, &pending.bytes);
        if let Some(timeout) = self.spec.attempt_timeout {
            event_loop.schedule_after(timeout, TimerEvent::AttemptTimeout(number, pending.attempts_made));
        }
        *self.in_flight.entry(entry.host).or_default() += 1;
        self.attempts.insert(conn, number);
    }

    /// The open attempt has ended: with a response, or `None` if the connection failed.
    fn end_attempt(
        &mut self,
        event_loop: &mut Loop,
        conn: ConnId,
        response: Option<(http_message::Message, Vec<u8>)>,
        refused: bool,
    ) {
        let Some(number) = self.attempts.remove(&conn) else { return };
        let Some(pending) = self.pending.get_mut(&number) else { return };
        if let Some((_, host)) = pending.attempt.take() {
            self.in_flight.entry(host).and_modify(|n| *n = n.saturating_sub(1));
        }
        let not_run =
            refused || response.as_ref().is_some_and(|(message, _)| message.header("Not-Started").is_some());
        if let Some((found, bytes)) = response {
            if found.status != 503 {
                return self.forward_response(event_loop, number, bytes);
            }
        }
        let Some(pending) = self.pending.get(&number) else { return };
        let resends_all = self.spec.seeded_defect == Some(SeededDefect::Resend);
        let may_retry = not_run || resends_all || pending.class.effect == Effect::Safe;
        if may_retry && pending.attempts_made < self.spec.max_attempts {
            return self.send_attempt(event_loop, number);
        }
        let claims_not_run = not_run || self.spec.seeded_defect == Some(SeededDefect::FalseRefusal);
        self.respond(event_loop, number, if claims_not_run { 503 } else { 502 });
    }

    fn forward_response(&mut self, event_loop: &mut Loop, number: u64, bytes: Vec<u8>) {
        let Some(pending) = self.pending.get(&number) else { return };
        let affected = pending.number.is_multiple_of(20);
        match self.spec.seeded_defect {
            Some(SeededDefect::DropAnswer) if affected => return,
            Some(SeededDefect::AnswerLate) if affected => {
                let after_deadline = pending.received_at + pending.class.deadline + Micros::from_millis(120);
                return event_loop.schedule_at(after_deadline, TimerEvent::SendResponse(number, bytes));
            }
            Some(SeededDefect::AnswerTwice) if affected => event_loop.write(pending.client, &bytes),
            _ => {}
        }
        self.finish(event_loop, number, &bytes);
    }

    fn respond(&mut self, event_loop: &mut Loop, number: u64, status: u16) {
        self.finish(event_loop, number, &http_message::encode_response(status, &[], b""));
    }

    fn finish(&mut self, event_loop: &mut Loop, number: u64, bytes: &[u8]) {
        let Some(pending) = self.pending.remove(&number) else { return };
        self.cancel_attempt(event_loop, pending.attempt);
        event_loop.write(pending.client, bytes);
        self.clients.insert(pending.client, None);
        self.read_request(event_loop, pending.client);
        self.end_if_done(event_loop);
    }

    fn end_if_done(&mut self, event_loop: &mut Loop) {
        if self.draining && self.pending.is_empty() {
            event_loop.request_stop();
        }
    }

    fn cancel_attempt(&mut self, event_loop: &mut Loop, attempt: Option<(ConnId, String)>) {
        if let Some((conn, host)) = attempt {
            self.attempts.remove(&conn);
            event_loop.close(conn);
            self.in_flight.entry(host).and_modify(|n| *n = n.saturating_sub(1));
        }
    }
}

impl Component for Balancer {
    type TimerEvent = TimerEvent;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        self.listener = Some(event_loop.listen(self.spec.listen)?);
        Ok(())
    }

    fn on_accept(&mut self, _event_loop: &mut Loop, _listener: ListenerId, conn: ConnId) {
        self.clients.insert(conn, None);
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        match self.clients.get(&conn) {
            Some(None) => return self.read_request(event_loop, conn),
            Some(Some(_)) => return,
            None => {}
        }
        match http_message::parse_response(event_loop.input(conn)) {
            Ok(None) => {}
            Ok(Some(response)) => {
                let bytes = event_loop.consume(conn, response.length);
                let host =
                    self.attempts.get(&conn).and_then(|number| self.pending.get(number)?.attempt.clone());
                match host {
                    Some((_, host)) if !response.closes() => {
                        self.idle_connections.entry(host).or_default().push(conn)
                    }
                    _ => event_loop.close(conn),
                }
                self.end_attempt(event_loop, conn, Some((response, bytes)), false);
            }
            Err(_) => {
                event_loop.close(conn);
                self.end_attempt(event_loop, conn, None, false);
            }
        }
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, how: ConnectionEnd) {
        event_loop.close(conn);
        match self.clients.remove(&conn) {
            Some(Some(number)) => {
                let attempt = self.pending.remove(&number).and_then(|pending| pending.attempt);
                self.cancel_attempt(event_loop, attempt);
            }
            Some(None) => {}
            None => self.end_attempt(event_loop, conn, None, how == ConnectionEnd::Refused),
        }
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::AttemptTimeout(number, attempts_made) => {
                let Some(pending) =
                    self.pending.get(&number).filter(|pending| pending.attempts_made == attempts_made)
                else {
                    return;
                };
                if let Some((conn, _)) = pending.attempt.clone() {
                    event_loop.close(conn);
                    self.end_attempt(event_loop, conn, None, false);
                }
            }
            // A request whose response a seeded defect holds back has no open attempt, and is left alone.
            TimerEvent::Deadline(number) => {
                if self.pending.get(&number).is_some_and(|pending| pending.attempt.is_some()) {
                    self.respond(event_loop, number, 504);
                }
            }
            TimerEvent::SendResponse(number, bytes) => self.finish(event_loop, number, &bytes),
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        let (entry, first) = match command {
            Command::Set { entry, first } => (entry, first),
            Command::Leave => {
                self.draining = true;
                if let Some(listener) = self.listener.take() {
                    event_loop.close_listener(listener);
                }
                return self.end_if_done(event_loop);
            }
        };
        let (proxy, host, health) = (self.spec.name.clone(), entry.host.clone(), entry.health.clone());
        event_loop.record(RecordKind::HealthReported { proxy, host, health, seq: 0 });
        let ignores_drain =
            self.spec.seeded_defect == Some(SeededDefect::ForgetDrain) && self.spec.restarted && first;
        if ignores_drain && entry.health == "Terminating" {
            return;
        }
        let before = self.entries.get(&entry.host).map(|known| known.started_ms);
        if entry.health == "Ready" && !first && before != Some(entry.started_ms) {
            self.newest = Some(entry.host.clone());
        }
        if entry.health == "Gone" {
            self.entries.remove(&entry.host);
        } else {
            self.entries.insert(entry.host.clone(), entry);
        }
    }
}
