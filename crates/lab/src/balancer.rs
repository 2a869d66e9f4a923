//! A stand-in balancer, to set beside the proxy: plain rules, no limits, and, where it is told so, one of the
//! mistakes that the ledger must catch.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::agent::BackendEntry;
use crate::clock::{At, Micros};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message;
use crate::record::What;
use crate::scenario::{Balance, Class, Effect, SeededDefect};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub listen: SocketAddr,
    pub balance: Balance,
    #[serde(rename = "tries")]
    pub max_attempts: u16,
    /// Time for each try; without it, all that is left.
    #[serde(rename = "try_time")]
    pub attempt_timeout: Option<Micros>,
    #[serde(rename = "plant")]
    pub seeded_defect: Option<SeededDefect>,
    /// What a backend that has just started can bear within a window, from all together.
    #[serde(rename = "allowance")]
    pub slow_start_limit: (usize, Micros),
    /// It was there before, and has a list of old.
    #[serde(rename = "again")]
    pub restarted: bool,
    pub entries: Vec<BackendEntry>,
    pub classes: Vec<Class>,
    pub seed: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// `first`: part of the first list that it is told.
    Set { entry: BackendEntry, first: bool },
    /// Takes nothing new, and ends once all is answered.
    Leave,
}

#[derive(Debug)]
pub enum TimerEvent {
    Try(u64, u16),
    CutOff(u64),
    Answer(u64, Vec<u8>),
}

struct Held {
    client: ConnId,
    class: Class,
    /// Since when the caller may have counted.
    since: At,
    bytes: Vec<u8>,
    out: Option<(ConnId, String)>,
    tries: u16,
    number: u64,
}

pub struct Balancer {
    spec: Spec,
    entries: BTreeMap<String, BackendEntry>,
    in_flight: BTreeMap<String, usize>,
    held: BTreeMap<u64, Held>,
    clients: BTreeMap<ConnId, Option<u64>>,
    outs: BTreeMap<ConnId, u64>,
    kept: BTreeMap<String, Vec<ConnId>>,
    /// The host that started last, to crowd.
    newest: Option<String>,
    /// When it was given something of late.
    given: VecDeque<At>,
    listener: Option<ListenerId>,
    leaving: bool,
    turn: usize,
    count: u64,
    rng: ChaCha8Rng,
}

type Loop = EventLoop<TimerEvent>;

impl Balancer {
    pub fn new(spec: Spec) -> Balancer {
        let entries = spec.entries.iter().map(|entry| (entry.host.clone(), entry.clone())).collect();
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ u64::from(spec.listen.port()));
        let (in_flight, held, clients, outs, kept) = Default::default();
        let (newest, given, listener, leaving, turn, count) = Default::default();
        Balancer {
            spec,
            entries,
            in_flight,
            held,
            clients,
            outs,
            kept,
            newest,
            given,
            listener,
            leaving,
            turn,
            count,
            rng,
        }
    }

    fn pick(&mut self, now: At) -> Option<BackendEntry> {
        let drained = self.spec.seeded_defect == Some(SeededDefect::UseDrained);
        let fit: Vec<&BackendEntry> =
            self.entries.values().filter(|e| e.health == "Ready" || drained).collect();
        if fit.is_empty() {
            return None;
        }
        let newest = fit.iter().find(|entry| Some(&entry.host) == self.newest.as_ref());
        match (self.spec.seeded_defect, newest) {
            (Some(SeededDefect::CrowdCold), Some(entry)) => return Some((*entry).clone()),
            (Some(SeededDefect::CrowdTogether), Some(entry)) => {
                let (most, window) = self.spec.slow_start_limit;
                while self.given.front().is_some_and(|at| now.since(*at) > window) {
                    self.given.pop_front();
                }
                if self.given.len() < most {
                    self.given.push_back(now);
                    return Some((*entry).clone());
                }
            }
            _ => {}
        }
        let place = match self.spec.balance {
            Balance::RoundRobin => {
                self.turn += 1;
                self.turn % fit.len()
            }
            Balance::Least => {
                let load = |n: &usize| self.in_flight.get(&fit[*n].host).copied().unwrap_or(0);
                (0..fit.len()).min_by_key(load).unwrap_or(0)
            }
            _ => self.rng.random_range(0..fit.len()),
        };
        Some(fit[place].clone())
    }

    fn request(&mut self, event_loop: &mut Loop, client: ConnId) {
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
        self.count += 1;
        let number = self.count;
        self.clients.insert(client, Some(number));
        event_loop.schedule_after(class.deadline.scaled(0.95), TimerEvent::CutOff(number));
        let (since, out, tries) = (event_loop.now, None, 0);
        self.held.insert(number, Held { client, class, since, bytes, out, tries, number });
        self.send(event_loop, number);
    }

    fn send(&mut self, event_loop: &mut Loop, number: u64) {
        let Some(entry) = self.pick(event_loop.now) else { return self.answer(event_loop, number, 503) };
        let kept = self.kept.entry(entry.host.clone()).or_default();
        let kept = std::iter::from_fn(|| kept.pop()).find(|conn| event_loop.is_open(*conn));
        let Ok(conn) = kept.map_or_else(|| event_loop.connect(entry.address), Ok) else {
            return self.answer(event_loop, number, 503);
        };
        let Some(held) = self.held.get_mut(&number) else { return };
        held.tries += 1;
        held.out = Some((conn, entry.host.clone()));
        event_loop.write(conn, &held.bytes);
        if let Some(time) = self.spec.attempt_timeout {
            event_loop.schedule_after(time, TimerEvent::Try(number, held.tries));
        }
        *self.in_flight.entry(entry.host).or_default() += 1;
        self.outs.insert(conn, number);
    }

    /// The forward that is out has ended: answered, or `None` for a break.
    fn ended(
        &mut self,
        event_loop: &mut Loop,
        conn: ConnId,
        answer: Option<(http_message::Message, Vec<u8>)>,
        refused: bool,
    ) {
        let Some(number) = self.outs.remove(&conn) else { return };
        let Some(held) = self.held.get_mut(&number) else { return };
        if let Some((_, host)) = held.out.take() {
            self.in_flight.entry(host).and_modify(|n| *n = n.saturating_sub(1));
        }
        let not_run = refused || answer.as_ref().is_some_and(|(a, _)| a.header("Not-Started").is_some());
        if let Some((found, bytes)) = answer {
            if found.status != 503 {
                return self.pass_on(event_loop, number, bytes);
            }
        }
        let Some(held) = self.held.get(&number) else { return };
        let careless = self.spec.seeded_defect == Some(SeededDefect::Resend);
        let may = not_run || careless || held.class.effect == Effect::Safe;
        if may && held.tries < self.spec.max_attempts {
            return self.send(event_loop, number);
        }
        let harmless = not_run || self.spec.seeded_defect == Some(SeededDefect::FalseRefusal);
        self.answer(event_loop, number, if harmless { 503 } else { 502 });
    }

    fn pass_on(&mut self, event_loop: &mut Loop, number: u64, bytes: Vec<u8>) {
        let Some(held) = self.held.get(&number) else { return };
        let nth = held.number.is_multiple_of(20);
        match self.spec.seeded_defect {
            Some(SeededDefect::DropAnswer) if nth => return,
            Some(SeededDefect::AnswerLate) if nth => {
                let late = held.since + held.class.deadline + Micros::from_millis(120);
                return event_loop.schedule_at(late, TimerEvent::Answer(number, bytes));
            }
            Some(SeededDefect::AnswerTwice) if nth => event_loop.write(held.client, &bytes),
            _ => {}
        }
        self.finish(event_loop, number, &bytes);
    }

    fn answer(&mut self, event_loop: &mut Loop, number: u64, status: u16) {
        self.finish(event_loop, number, &http_message::encode_response(status, &[], b""));
    }

    fn finish(&mut self, event_loop: &mut Loop, number: u64, bytes: &[u8]) {
        let Some(held) = self.held.remove(&number) else { return };
        self.call_off(event_loop, held.out);
        event_loop.write(held.client, bytes);
        self.clients.insert(held.client, None);
        self.request(event_loop, held.client);
        self.end_if_done(event_loop);
    }

    fn end_if_done(&mut self, event_loop: &mut Loop) {
        if self.leaving && self.held.is_empty() {
            event_loop.request_stop();
        }
    }

    fn call_off(&mut self, event_loop: &mut Loop, out: Option<(ConnId, String)>) {
        if let Some((conn, host)) = out {
            self.outs.remove(&conn);
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
            Some(None) => return self.request(event_loop, conn),
            Some(Some(_)) => return,
            None => {}
        }
        match http_message::parse_response(event_loop.input(conn)) {
            Ok(None) => {}
            Ok(Some(answer)) => {
                let bytes = event_loop.consume(conn, answer.length);
                let host = self.outs.get(&conn).and_then(|n| self.held.get(n)?.out.clone());
                match host {
                    Some((_, host)) if !answer.closes() => self.kept.entry(host).or_default().push(conn),
                    _ => event_loop.close(conn),
                }
                self.ended(event_loop, conn, Some((answer, bytes)), false);
            }
            Err(_) => {
                event_loop.close(conn);
                self.ended(event_loop, conn, None, false);
            }
        }
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, how: ConnectionEnd) {
        event_loop.close(conn);
        match self.clients.remove(&conn) {
            Some(Some(number)) => {
                let out = self.held.remove(&number).and_then(|held| held.out);
                self.call_off(event_loop, out);
            }
            Some(None) => {}
            None => self.ended(event_loop, conn, None, how == ConnectionEnd::Refused),
        }
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::Try(number, tries) => {
                let Some(held) = self.held.get(&number).filter(|held| held.tries == tries) else { return };
                if let Some((conn, _)) = held.out.clone() {
                    event_loop.close(conn);
                    self.ended(event_loop, conn, None, false);
                }
            }
            // What has an answer of a deliberate fault to come is left alone.
            TimerEvent::CutOff(number) => {
                if self.held.get(&number).is_some_and(|held| held.out.is_some()) {
                    self.answer(event_loop, number, 504);
                }
            }
            TimerEvent::Answer(number, bytes) => self.finish(event_loop, number, &bytes),
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        let (entry, first) = match command {
            Command::Set { entry, first } => (entry, first),
            Command::Leave => {
                self.leaving = true;
                if let Some(listener) = self.listener.take() {
                    event_loop.close_listener(listener);
                }
                return self.end_if_done(event_loop);
            }
        };
        let (proxy, host, health) = (self.spec.name.clone(), entry.host.clone(), entry.health.clone());
        event_loop.record(What::Told { proxy, host, health, seq: 0 });
        let forgets =
            self.spec.seeded_defect == Some(SeededDefect::ForgetDrain) && self.spec.restarted && first;
        if forgets && entry.health == "Terminating" {
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
