//! A stand-in backend: cores, a queue, service times drawn by request, a cold start that warms, falling over
//! when it is pushed, draining, calls to the next tier, and the faults that it is told to have.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::arrivals;
use crate::clock::{At, Micros};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message::{self, Message};
use crate::record::What;
use crate::scenario::{Class, Effect, FaultKind, Tier};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub tier: Tier,
    pub classes: Vec<Class>,
    pub address: SocketAddr,
    /// Through which proxy of the next tier it calls, by name and address.
    #[serde(rename = "below")]
    pub next_tier: Option<(String, SocketAddr)>,
    pub seed: u64,
    /// Its first process is warm.
    pub warm: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Starts a process, warm or cold.
    Start {
        address: Option<SocketAddr>,
        warm: bool,
    },
    Crash,
    /// Takes nothing new any more.
    Drain,
    /// Ends once nothing is held.
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

/// A fault as a backend has it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveFault {
    pub kind: FaultKind,
    pub amount: Option<f64>,
    pub chance: Option<f64>,
    pub nth: Option<u64>,
}

#[derive(Debug)]
pub enum TimerEvent {
    Finish(u64),
    /// A reply that was held back.
    Reply(ConnId, Vec<u8>),
    Idle(ConnId, At),
}

struct Caller {
    /// When the first byte of what is coming in came.
    first: Option<At>,
    job: Option<u64>,
    used: At,
}

struct Job {
    conn: ConnId,
    id: String,
    class: String,
    until: At,
    began: bool,
    /// Calls to the next tier that are still to be made, and the one that is out.
    calls: u32,
    made: u32,
    call: Option<ConnId>,
    finish: At,
    size: usize,
}

pub struct Backend {
    spec: Spec,
    listener: Option<ListenerId>,
    life: u32,
    /// When its process started, if it is or was cold.
    cold_since: Option<At>,
    draining: bool,
    ending: bool,
    callers: BTreeMap<ConnId, Caller>,
    calls: BTreeMap<ConnId, u64>,
    /// Kept connections to the proxy of the next tier.
    kept: Vec<ConnId>,
    jobs: BTreeMap<u64, Job>,
    waiting: VecDeque<u64>,
    running: usize,
    count: u64,
    seen: u64,
    troubles: BTreeMap<u32, ActiveFault>,
    stalled: Option<At>,
    offered: VecDeque<At>,
}

type Loop = EventLoop<TimerEvent>;

impl Backend {
    pub fn new(spec: Spec) -> Backend {
        Backend {
            spec,
            listener: None,
            life: 0,
            cold_since: None,
            draining: false,
            ending: false,
            callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            kept: Vec::new(),
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: 0,
            count: 0,
            seen: 0,
            troubles: BTreeMap::new(),
            stalled: None,
            offered: VecDeque::new(),
        }
    }

    fn start_process(&mut self, event_loop: &mut Loop, warm: bool) -> io::Result<()> {
        // The address may still be held for a moment by what is closing.
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
        self.life += 1;
        self.cold_since = (!warm).then(At::now);
        (self.draining, self.ending) = (false, false);
        self.offered.clear();
        event_loop.record(What::Started { warm, life: self.life });
        Ok(())
    }

    fn stop_process(&mut self, event_loop: &mut Loop, how: &str) {
        let Some(listener) = self.listener.take() else { return };
        event_loop.record(What::Stopped { how: how.to_string() });
        event_loop.close_listener(listener);
        for conn in event_loop.connections() {
            event_loop.reset(conn);
        }
        self.callers.clear();
        self.calls.clear();
        self.kept.clear();
        self.jobs.clear();
        self.waiting.clear();
        self.running = 0;
        self.stalled = None;
    }

    /// What part of its full capacity it has.
    fn warmth(&self, now: At) -> f64 {
        let tier = &self.spec.tier;
        let Some(since) = self.cold_since else { return 1.0 };
        let age = now.since(since).secs() / tier.cold_ramp.secs().max(1e-6);
        (tier.cold_share + (1.0 - tier.cold_share) * age).min(1.0)
    }

    /// Whether a fault of a kind hits this request, and by how much.
    fn hit(&self, kind: FaultKind, id: &str) -> Option<f64> {
        let trouble = self.troubles.values().find(|trouble| trouble.kind == kind)?;
        if trouble.nth.is_some_and(|nth| !self.seen.is_multiple_of(nth.max(1))) {
            return None;
        }
        let chance = trouble.chance.unwrap_or(1.0);
        let drawn: f64 = arrivals::request_rng(self.spec.seed, id, 0xfa17 + kind as u64).random();
        (drawn < chance).then(|| trouble.amount.unwrap_or(1.0))
    }

    fn report(&self) -> String {
        format!("TEXT inflight={}, queue={}", self.jobs.len(), self.waiting.len())
    }

    fn reply(&mut self, event_loop: &mut Loop, conn: ConnId, status: u16, not_started: bool, body: &[u8]) {
        let mut headers = Vec::new();
        if self.spec.tier.reports {
            headers.push(("Server-Load", self.report()));
        }
        if not_started {
            headers.push(("Not-Started", "1".to_string()));
        }
        let bytes = http_message::encode_response(status, &headers, body);
        self.send(event_loop, conn, &bytes);
    }

    fn send(&mut self, event_loop: &mut Loop, conn: ConnId, bytes: &[u8]) {
        event_loop.write(conn, bytes);
        if let Some(caller) = self.callers.get_mut(&conn) {
            (caller.first, caller.job, caller.used) = (None, None, event_loop.now);
            let idle = self.spec.tier.idle;
            event_loop.schedule_after(idle, TimerEvent::Idle(conn, event_loop.now));
        }
        // What came behind it is there already.
        self.take_requests(event_loop, conn);
    }

    fn take_requests(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        if caller.job.is_some() || event_loop.input(conn).is_empty() {
            return;
        }
        if caller.first.is_none() {
            caller.first = Some(event_loop.now);
        }
        let first = caller.first.unwrap_or(event_loop.now);
        match http_message::parse_request(event_loop.input(conn)) {
            Ok(None) => {}
            Err(_) => {
                event_loop.write(
                    conn,
                    &http_message::encode_response(400, &[("Connection", "close".to_string())], b""),
                );
                self.forget(event_loop, conn);
                event_loop.close(conn);
            }
            Ok(Some(request)) => {
                event_loop.consume(conn, request.length);
                self.request(event_loop, conn, first, request);
            }
        }
    }

    fn request(&mut self, event_loop: &mut Loop, conn: ConnId, first: At, request: Message) {
        if request.path == "/health" {
            return self.reply(event_loop, conn, if self.draining { 503 } else { 200 }, false, b"");
        }
        if request.path == "/status/load" {
            let report = self.report();
            return self.reply(event_loop, conn, 200, false, report.as_bytes());
        }
        let class = self.spec.classes.iter().find(|class| class.name == request.class()).cloned();
        let (Some(class), Some(id)) = (class, request.header("Request-Id")) else {
            return self.reply(event_loop, conn, 404, false, b"");
        };
        let id = id.to_string();
        self.seen += 1;
        event_loop.record(What::Arrived { id: id.clone(), first, class: class.name.clone() });
        self.pushed(event_loop);
        if self.listener.is_none() {
            return;
        }
        let time_left =
            request.number("Request-Timeout").map_or(class.deadline, |s| Micros::from_ms(s * 1000.0));
        let refused = if self.hit(FaultKind::Refuse, &id).is_some() {
            Some("told to refuse")
        } else if self.draining {
            Some("draining")
        } else if self.running >= self.spec.tier.cores && self.waiting.len() >= self.spec.tier.queue {
            Some("full")
        } else {
            None
        };
        if let Some(why) = refused {
            event_loop.record(What::Refused { id, why: why.to_string() });
            return self.reply(event_loop, conn, 503, true, b"");
        }
        self.count += 1;
        let number = self.count;
        let calls = match self.spec.tier.calls {
            [_, 0] => 0,
            [least, most] => arrivals::request_rng(self.spec.seed, &id, 0xca11).random_range(least..=most),
        };
        let until = event_loop.now + time_left;
        let (class, size) = (class.name, request.body.len());
        let (made, call, finish) = (0, None, event_loop.now);
        let job = Job { conn, id, class, until, began: false, calls, made, call, finish, size };
        self.jobs.insert(number, job);
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.job = Some(number);
        }
        self.waiting.push_back(number);
        self.begin_next(event_loop);
    }

    /// A cold backend that is offered too much for too long falls over.
    fn pushed(&mut self, event_loop: &mut Loop) {
        let tier = &self.spec.tier;
        let window = tier.fall_window;
        self.offered.push_back(event_loop.now);
        while self.offered.front().is_some_and(|at| event_loop.now.since(*at) > window) {
            self.offered.pop_front();
        }
        let warmth = self.warmth(event_loop.now);
        let bearable = window.secs() / tier.service.secs().max(1e-6) * tier.cores as f64 * warmth;
        let whole = self.cold_since.is_some_and(|since| event_loop.now.since(since) > window);
        // Below a few dozen in a window chance alone makes such multiples.
        let most = (bearable * tier.fall_multiple).max(30.0);
        if warmth < 1.0 && whole && self.offered.len() as f64 > most {
            event_loop.record(What::Fell { offered: self.offered.len() as f64, bearable });
            self.stop_process(event_loop, "fell over");
        }
    }

    fn begin_next(&mut self, event_loop: &mut Loop) {
        while self.running < self.spec.tier.cores && self.stalled.is_none() {
            let Some(number) = self.waiting.pop_front() else { return };
            let tier = &self.spec.tier;
            let held = self.jobs.len() as f64;
            let crowd = 1.0 + ((held - tier.crowd_at as f64) / tier.crowd_at.max(1) as f64).max(0.0);
            let warmth = self.warmth(event_loop.now);
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let work = self
                .spec
                .classes
                .iter()
                .find(|class| class.name == job.class)
                .map_or(1.0, |class| class.work);
            let drawn =
                arrivals::service_time(tier, &mut arrivals::request_rng(self.spec.seed, &job.id, 0x5e));
            job.began = true;
            let id = job.id.clone();
            let slow = self.hit(FaultKind::Slow, &id).unwrap_or(1.0);
            let finish = event_loop.now + drawn.scaled(work * crowd * slow / warmth);
            if let Some(job) = self.jobs.get_mut(&number) {
                job.finish = finish;
            }
            event_loop.record(What::Began { id });
            self.running += 1;
            event_loop.schedule_at(finish, TimerEvent::Finish(number));
        }
    }

    fn finish(&mut self, event_loop: &mut Loop, number: u64) {
        if self.stalled.is_some() {
            return; // set anew when the stall is over
        }
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.finish > event_loop.now {
            return;
        }
        // The core is free while the calls are out.
        self.running -= 1;
        self.begin_next(event_loop);
        self.call_or_answer(event_loop, number);
    }

    fn call_or_answer(&mut self, event_loop: &mut Loop, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.made == job.calls {
            return self.answer(event_loop, number, 200);
        }
        let Some((to, address)) = self.spec.next_tier.clone() else {
            return self.answer(event_loop, number, 200);
        };
        job.made += 1;
        let left = job.until.since(event_loop.now);
        if left == Micros::ZERO {
            return self.answer(event_loop, number, 500);
        }
        let id = format!("{}.{}.{}", job.id, self.spec.name.replace('/', "-"), job.made);
        let class = self.spec.classes.iter().find(|class| class.name == job.class).cloned();
        let at_most_once = class.is_some_and(|class| class.effect != Effect::Safe);
        let method = if at_most_once { "POST" } else { "GET" };
        let headers = [
            ("Request-Id", id.clone()),
            ("Request-Class", job.class.clone()),
            ("Request-Timeout", format!("{:.4}", left.secs())),
        ];
        let bytes = http_message::encode_request(method, &format!("/{}", job.class), "below", &headers, b"");
        let (by, cut_off) = (job.id.clone(), job.until);
        let kept = std::iter::from_fn(|| self.kept.pop()).find(|conn| event_loop.is_open(*conn));
        let conn = match kept.map_or_else(|| event_loop.connect(address), Ok) {
            Ok(conn) => conn,
            Err(_) => return self.answer(event_loop, number, 500),
        };
        event_loop.write(conn, &bytes);
        event_loop.record(What::Called { id, by, to, cut_off });
        self.calls.insert(conn, number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.call = Some(conn);
        }
    }

    fn answer(&mut self, event_loop: &mut Loop, number: u64, status: u16) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let (conn, id) = (job.conn, job.id.clone());
        let status = if self.hit(FaultKind::Error, &id).is_some() { 500 } else { status };
        let drawn: f64 = arrivals::request_rng(self.spec.seed, &id, 0xe7).random();
        let status = if drawn < self.spec.tier.error_rate { 500 } else { status };
        event_loop.record(What::Done { id: id.clone(), status });
        let body = format!("{} {} {}\n", self.spec.name, id, job.size);
        let whole = http_message::encode_response(status, &[("Server-Load", self.report())], body.as_bytes());
        if self.hit(FaultKind::Silence, &id).is_some() {
            return;
        }
        if self.hit(FaultKind::ResetAfter, &id).is_some() {
            self.forget(event_loop, conn);
            return event_loop.reset(conn);
        }
        if self.hit(FaultKind::HalfAnswer, &id).is_some() {
            event_loop.write(conn, &whole[..whole.len() - body.len() / 2]);
            self.forget(event_loop, conn);
            return event_loop.close(conn);
        }
        if self.hit(FaultKind::Noise, &id).is_some() {
            let mut rng = arrivals::request_rng(self.spec.seed, &id, 0x01);
            let noise: Vec<u8> = (0..200).map(|_| rng.random()).collect();
            return event_loop.write(conn, &noise);
        }
        if self.hit(FaultKind::Endless, &id).is_some() {
            event_loop.write(conn, b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
            return event_loop.write(conn, &[b'x'; 200_000]);
        }
        if self.hit(FaultKind::WrongLength, &id).is_some() {
            let long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 10);
            event_loop.write(conn, long.as_bytes());
            self.forget(event_loop, conn);
            return event_loop.close(conn);
        }
        if let Some(late) = self.hit(FaultKind::Late, &id) {
            return event_loop.schedule_after(Micros::from_ms(late), TimerEvent::Reply(conn, whole));
        }
        self.reply(event_loop, conn, status, false, body.as_bytes());
        self.end_if_done(event_loop);
    }

    /// A caller's connection is no more.
    fn forget(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(caller) = self.callers.remove(&conn) else { return };
        let Some(number) = caller.job else { return };
        let Some(job) = self.jobs.get(&number) else { return };
        if !self.spec.tier.cancels && job.began {
            return;
        }
        let Some(job) = self.jobs.remove(&number) else { return };
        event_loop.record(What::Dropped { id: job.id, began: job.began });
        self.waiting.retain(|waiting| *waiting != number);
        if let Some(call) = job.call {
            self.calls.remove(&call);
            event_loop.close(call);
        } else if job.began {
            self.running -= 1;
            self.begin_next(event_loop);
        }
        self.end_if_done(event_loop);
    }

    fn end_if_done(&mut self, event_loop: &mut Loop) {
        if self.ending && self.jobs.is_empty() {
            self.stop_process(event_loop, "ended");
        }
    }

    fn call_ended(&mut self, event_loop: &mut Loop, conn: ConnId, status: u16) {
        let Some(number) = self.calls.remove(&conn) else { return };
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.call = None;
        let id = format!("{}.{}.{}", job.id, self.spec.name.replace('/', "-"), job.made);
        event_loop.record(What::CallEnded { id, status });
        if status == 200 {
            self.call_or_answer(event_loop, number);
        } else {
            self.answer(event_loop, number, 500);
        }
    }

    fn stall(&mut self, event_loop: &mut Loop, on: bool) {
        let conns = event_loop.connections();
        if let Some(listener) = self.listener {
            event_loop.set_accepting(listener, !on);
        }
        conns.iter().for_each(|conn| event_loop.set_paused(*conn, on));
        if on {
            self.stalled = Some(self.stalled.unwrap_or(event_loop.now));
        } else if let Some(since) = self.stalled.take() {
            let lost = event_loop.now.since(since);
            let held: Vec<u64> = self.jobs.keys().copied().collect();
            for number in held {
                let Some(job) = self.jobs.get_mut(&number) else { continue };
                if job.began && job.call.is_none() {
                    job.finish = job.finish + lost;
                    event_loop.schedule_at(job.finish, TimerEvent::Finish(number));
                }
            }
            self.begin_next(event_loop);
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
        self.callers.insert(conn, Caller { first: None, job: None, used: event_loop.now });
        if self.troubles.values().any(|trouble| trouble.kind == FaultKind::NeverAccept) {
            event_loop.set_paused(conn, true);
        }
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if self.callers.contains_key(&conn) {
            if self.troubles.values().any(|trouble| trouble.kind == FaultKind::ResetBefore) {
                let id = String::from_utf8_lossy(event_loop.input(conn)).into_owned();
                if self.hit(FaultKind::ResetBefore, &id).is_some() {
                    self.forget(event_loop, conn);
                    return event_loop.reset(conn);
                }
            }
            return self.take_requests(event_loop, conn);
        }
        match http_message::parse_response(event_loop.input(conn)) {
            Ok(None) => {}
            Err(_) => {
                event_loop.close(conn);
                self.call_ended(event_loop, conn, 0);
            }
            Ok(Some(answer)) => {
                event_loop.consume(conn, answer.length);
                if answer.closes() {
                    event_loop.close(conn);
                } else {
                    self.kept.push(conn);
                }
                self.call_ended(event_loop, conn, answer.status);
            }
        }
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, _how: ConnectionEnd) {
        event_loop.close(conn);
        self.kept.retain(|kept| *kept != conn);
        self.call_ended(event_loop, conn, 0);
        self.forget(event_loop, conn);
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::Finish(number) => self.finish(event_loop, number),
            TimerEvent::Reply(conn, bytes) => self.send(event_loop, conn, &bytes),
            TimerEvent::Idle(conn, used) => {
                if self.callers.get(&conn).is_some_and(|caller| caller.job.is_none() && caller.used == used) {
                    self.callers.remove(&conn);
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
                    event_loop.record(What::Note { text: e.to_string() });
                }
            }
            Command::Crash => self.stop_process(event_loop, "crashed"),
            Command::Drain => self.draining = true,
            Command::Shutdown => {
                self.ending = true;
                self.end_if_done(event_loop);
            }
            Command::Fault { number, fault } => {
                self.troubles.insert(number, fault);
                match fault.kind {
                    FaultKind::Stall => self.stall(event_loop, true),
                    FaultKind::NeverAccept => {
                        if let Some(listener) = self.listener {
                            event_loop.set_accepting(listener, false);
                        }
                    }
                    _ => {}
                }
            }
            Command::ClearFault { number } => {
                let was = self.troubles.remove(&number);
                match was.map(|trouble| trouble.kind) {
                    Some(FaultKind::Stall) => self.stall(event_loop, false),
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
