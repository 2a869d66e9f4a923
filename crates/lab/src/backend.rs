//! A stand-in backend: cores, a queue, service times drawn by request, a cold start that warms, falling over
//! when it is pushed, draining, calls to the next tier, and the faults that it is told to have.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::clock::{At, Micros};
use crate::hub::{ConnId, Gone, Hub, ListenerId, Part};
use crate::message::{self, Message};
use crate::plan;
use crate::record::What;
use crate::scenario::{Class, Effect, FaultKind, Tier};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub tier: Tier,
    pub classes: Vec<Class>,
    pub address: SocketAddr,
    /// Through which proxy of the next tier it calls, by name and address.
    pub below: Option<(String, SocketAddr)>,
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
    End,
    Fault {
        number: u32,
        fault: Trouble,
    },
    Mend {
        number: u32,
    },
}

/// A fault as a backend has it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    pub kind: FaultKind,
    pub amount: Option<f64>,
    pub chance: Option<f64>,
    pub nth: Option<u64>,
}

#[derive(Debug)]
pub enum Due {
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
    troubles: BTreeMap<u32, Trouble>,
    stalled: Option<At>,
    offered: VecDeque<At>,
}

type Loop = Hub<Due>;

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

    fn start_process(&mut self, hub: &mut Loop, warm: bool) -> io::Result<()> {
        // The address may still be held for a moment by what is closing.
        let mut listener = hub.listen(self.spec.address);
        for _ in 0..50 {
            if listener.is_ok() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(2));
            listener = hub.listen(self.spec.address);
        }
        let failed =
            |e| io::Error::other(format!("{} cannot listen on {}: {e}", self.spec.name, self.spec.address));
        self.listener = Some(listener.map_err(failed)?);
        self.life += 1;
        self.cold_since = (!warm).then(At::now);
        (self.draining, self.ending) = (false, false);
        self.offered.clear();
        hub.record(What::Started { warm, life: self.life });
        Ok(())
    }

    fn stop_process(&mut self, hub: &mut Loop, how: &str) {
        let Some(listener) = self.listener.take() else { return };
        hub.record(What::Stopped { how: how.to_string() });
        hub.unlisten(listener);
        for conn in hub.conns() {
            hub.reset(conn);
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
        let drawn: f64 = plan::rng_of(self.spec.seed, id, 0xfa17 + kind as u64).random();
        (drawn < chance).then(|| trouble.amount.unwrap_or(1.0))
    }

    fn report(&self) -> String {
        format!("TEXT inflight={}, queue={}", self.jobs.len(), self.waiting.len())
    }

    fn reply(&mut self, hub: &mut Loop, conn: ConnId, status: u16, not_started: bool, body: &[u8]) {
        let mut headers = Vec::new();
        if self.spec.tier.reports {
            headers.push(("Server-Load", self.report()));
        }
        if not_started {
            headers.push(("Not-Started", "1".to_string()));
        }
        let bytes = message::write_answer(status, &headers, body);
        self.send(hub, conn, &bytes);
    }

    fn send(&mut self, hub: &mut Loop, conn: ConnId, bytes: &[u8]) {
        hub.write(conn, bytes);
        if let Some(caller) = self.callers.get_mut(&conn) {
            (caller.first, caller.job, caller.used) = (None, None, hub.now);
            let idle = self.spec.tier.idle;
            hub.after(idle, Due::Idle(conn, hub.now));
        }
        // What came behind it is there already.
        self.take_requests(hub, conn);
    }

    fn take_requests(&mut self, hub: &mut Loop, conn: ConnId) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        if caller.job.is_some() || hub.input(conn).is_empty() {
            return;
        }
        if caller.first.is_none() {
            caller.first = Some(hub.now);
        }
        let first = caller.first.unwrap_or(hub.now);
        match message::request(hub.input(conn)) {
            Ok(None) => {}
            Err(_) => {
                hub.write(conn, &message::write_answer(400, &[("Connection", "close".to_string())], b""));
                self.forget(hub, conn);
                hub.close(conn);
            }
            Ok(Some(request)) => {
                hub.take(conn, request.length);
                self.request(hub, conn, first, request);
            }
        }
    }

    fn request(&mut self, hub: &mut Loop, conn: ConnId, first: At, request: Message) {
        if request.path == "/health" {
            return self.reply(hub, conn, if self.draining { 503 } else { 200 }, false, b"");
        }
        if request.path == "/status/load" {
            let report = self.report();
            return self.reply(hub, conn, 200, false, report.as_bytes());
        }
        let class = self.spec.classes.iter().find(|class| class.name == request.class()).cloned();
        let (Some(class), Some(id)) = (class, request.header("Request-Id")) else {
            return self.reply(hub, conn, 404, false, b"");
        };
        let id = id.to_string();
        self.seen += 1;
        hub.record(What::Arrived { id: id.clone(), first, class: class.name.clone() });
        self.pushed(hub);
        if self.listener.is_none() {
            return;
        }
        let time_left =
            request.number("Request-Timeout").map_or(class.cut_off, |s| Micros::from_ms(s * 1000.0));
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
            hub.record(What::Refused { id, why: why.to_string() });
            return self.reply(hub, conn, 503, true, b"");
        }
        self.count += 1;
        let number = self.count;
        let calls = match self.spec.tier.calls {
            [_, 0] => 0,
            [least, most] => plan::rng_of(self.spec.seed, &id, 0xca11).random_range(least..=most),
        };
        let until = hub.now + time_left;
        let (class, size) = (class.name, request.body.len());
        let (made, call, finish) = (0, None, hub.now);
        let job = Job { conn, id, class, until, began: false, calls, made, call, finish, size };
        self.jobs.insert(number, job);
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.job = Some(number);
        }
        self.waiting.push_back(number);
        self.begin_next(hub);
    }

    /// A cold backend that is offered too much for too long falls over.
    fn pushed(&mut self, hub: &mut Loop) {
        let tier = &self.spec.tier;
        let window = tier.fall_window;
        self.offered.push_back(hub.now);
        while self.offered.front().is_some_and(|at| hub.now.since(*at) > window) {
            self.offered.pop_front();
        }
        let warmth = self.warmth(hub.now);
        let bearable = window.secs() / tier.service.secs().max(1e-6) * tier.cores as f64 * warmth;
        let whole = self.cold_since.is_some_and(|since| hub.now.since(since) > window);
        // Below a few dozen in a window chance alone makes such multiples.
        let most = (bearable * tier.fall_multiple).max(30.0);
        if warmth < 1.0 && whole && self.offered.len() as f64 > most {
            hub.record(What::Fell { offered: self.offered.len() as f64, bearable });
            self.stop_process(hub, "fell over");
        }
    }

    fn begin_next(&mut self, hub: &mut Loop) {
        while self.running < self.spec.tier.cores && self.stalled.is_none() {
            let Some(number) = self.waiting.pop_front() else { return };
            let tier = &self.spec.tier;
            let held = self.jobs.len() as f64;
            let crowd = 1.0 + ((held - tier.crowd_at as f64) / tier.crowd_at.max(1) as f64).max(0.0);
            let warmth = self.warmth(hub.now);
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let work = self
                .spec
                .classes
                .iter()
                .find(|class| class.name == job.class)
                .map_or(1.0, |class| class.work);
            let drawn = plan::service(tier, &mut plan::rng_of(self.spec.seed, &job.id, 0x5e));
            job.began = true;
            let id = job.id.clone();
            let slow = self.hit(FaultKind::Slow, &id).unwrap_or(1.0);
            let finish = hub.now + drawn.scaled(work * crowd * slow / warmth);
            if let Some(job) = self.jobs.get_mut(&number) {
                job.finish = finish;
            }
            hub.record(What::Began { id });
            self.running += 1;
            hub.at(finish, Due::Finish(number));
        }
    }

    fn finish(&mut self, hub: &mut Loop, number: u64) {
        if self.stalled.is_some() {
            return; // set anew when the stall is over
        }
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.finish > hub.now {
            return;
        }
        // The core is free while the calls are out.
        self.running -= 1;
        self.begin_next(hub);
        self.call_or_answer(hub, number);
    }

    fn call_or_answer(&mut self, hub: &mut Loop, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.made == job.calls {
            return self.answer(hub, number, 200);
        }
        let Some((to, address)) = self.spec.below.clone() else { return self.answer(hub, number, 200) };
        job.made += 1;
        let left = job.until.since(hub.now);
        if left == Micros::ZERO {
            return self.answer(hub, number, 500);
        }
        let id = format!("{}.{}.{}", job.id, self.spec.name.replace('/', "-"), job.made);
        let class = self.spec.classes.iter().find(|class| class.name == job.class).cloned();
        let at_most_once = class.is_some_and(|class| class.effect != Effect::Reissuable);
        let method = if at_most_once { "POST" } else { "GET" };
        let headers = [
            ("Request-Id", id.clone()),
            ("Request-Class", job.class.clone()),
            ("Request-Timeout", format!("{:.4}", left.secs())),
        ];
        let bytes = message::write_request(method, &format!("/{}", job.class), "below", &headers, b"");
        let (by, cut_off) = (job.id.clone(), job.until);
        let kept = std::iter::from_fn(|| self.kept.pop()).find(|conn| hub.is_open(*conn));
        let conn = match kept.map_or_else(|| hub.dial(address), Ok) {
            Ok(conn) => conn,
            Err(_) => return self.answer(hub, number, 500),
        };
        hub.write(conn, &bytes);
        hub.record(What::Called { id, by, to, cut_off });
        self.calls.insert(conn, number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.call = Some(conn);
        }
    }

    fn answer(&mut self, hub: &mut Loop, number: u64, status: u16) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let (conn, id) = (job.conn, job.id.clone());
        let status = if self.hit(FaultKind::Error, &id).is_some() { 500 } else { status };
        let drawn: f64 = plan::rng_of(self.spec.seed, &id, 0xe7).random();
        let status = if drawn < self.spec.tier.error_rate { 500 } else { status };
        hub.record(What::Done { id: id.clone(), status });
        let body = format!("{} {} {}\n", self.spec.name, id, job.size);
        let whole = message::write_answer(status, &[("Server-Load", self.report())], body.as_bytes());
        if self.hit(FaultKind::Silence, &id).is_some() {
            return;
        }
        if self.hit(FaultKind::ResetAfter, &id).is_some() {
            self.forget(hub, conn);
            return hub.reset(conn);
        }
        if self.hit(FaultKind::HalfAnswer, &id).is_some() {
            hub.write(conn, &whole[..whole.len() - body.len() / 2]);
            self.forget(hub, conn);
            return hub.close(conn);
        }
        if self.hit(FaultKind::Noise, &id).is_some() {
            let mut rng = plan::rng_of(self.spec.seed, &id, 0x01);
            let noise: Vec<u8> = (0..200).map(|_| rng.random()).collect();
            return hub.write(conn, &noise);
        }
        if self.hit(FaultKind::Endless, &id).is_some() {
            hub.write(conn, b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
            return hub.write(conn, &[b'x'; 200_000]);
        }
        if self.hit(FaultKind::WrongLength, &id).is_some() {
            let long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 10);
            hub.write(conn, long.as_bytes());
            self.forget(hub, conn);
            return hub.close(conn);
        }
        if let Some(late) = self.hit(FaultKind::Late, &id) {
            return hub.after(Micros::from_ms(late), Due::Reply(conn, whole));
        }
        self.reply(hub, conn, status, false, body.as_bytes());
        self.end_if_done(hub);
    }

    /// A caller's connection is no more.
    fn forget(&mut self, hub: &mut Loop, conn: ConnId) {
        let Some(caller) = self.callers.remove(&conn) else { return };
        let Some(number) = caller.job else { return };
        let Some(job) = self.jobs.get(&number) else { return };
        if !self.spec.tier.cancels && job.began {
            return;
        }
        let Some(job) = self.jobs.remove(&number) else { return };
        hub.record(What::Dropped { id: job.id, began: job.began });
        self.waiting.retain(|waiting| *waiting != number);
        if let Some(call) = job.call {
            self.calls.remove(&call);
            hub.close(call);
        } else if job.began {
            self.running -= 1;
            self.begin_next(hub);
        }
        self.end_if_done(hub);
    }

    fn end_if_done(&mut self, hub: &mut Loop) {
        if self.ending && self.jobs.is_empty() {
            self.stop_process(hub, "ended");
        }
    }

    fn call_ended(&mut self, hub: &mut Loop, conn: ConnId, status: u16) {
        let Some(number) = self.calls.remove(&conn) else { return };
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.call = None;
        let id = format!("{}.{}.{}", job.id, self.spec.name.replace('/', "-"), job.made);
        hub.record(What::CallEnded { id, status });
        if status == 200 {
            self.call_or_answer(hub, number);
        } else {
            self.answer(hub, number, 500);
        }
    }

    fn stall(&mut self, hub: &mut Loop, on: bool) {
        let conns = hub.conns();
        if let Some(listener) = self.listener {
            hub.accepting(listener, !on);
        }
        conns.iter().for_each(|conn| hub.pause(*conn, on));
        if on {
            self.stalled = Some(self.stalled.unwrap_or(hub.now));
        } else if let Some(since) = self.stalled.take() {
            let lost = hub.now.since(since);
            let held: Vec<u64> = self.jobs.keys().copied().collect();
            for number in held {
                let Some(job) = self.jobs.get_mut(&number) else { continue };
                if job.began && job.call.is_none() {
                    job.finish = job.finish + lost;
                    hub.at(job.finish, Due::Finish(number));
                }
            }
            self.begin_next(hub);
        }
    }
}

impl Part for Backend {
    type Due = Due;
    type Command = Command;

    fn start(&mut self, hub: &mut Loop) -> io::Result<()> {
        self.start_process(hub, self.spec.warm)
    }

    fn accepted(&mut self, hub: &mut Loop, _on: ListenerId, conn: ConnId) {
        self.callers.insert(conn, Caller { first: None, job: None, used: hub.now });
        if self.troubles.values().any(|trouble| trouble.kind == FaultKind::NeverAccept) {
            hub.pause(conn, true);
        }
    }

    fn read(&mut self, hub: &mut Loop, conn: ConnId) {
        if self.callers.contains_key(&conn) {
            if self.troubles.values().any(|trouble| trouble.kind == FaultKind::ResetBefore) {
                let id = String::from_utf8_lossy(hub.input(conn)).into_owned();
                if self.hit(FaultKind::ResetBefore, &id).is_some() {
                    self.forget(hub, conn);
                    return hub.reset(conn);
                }
            }
            return self.take_requests(hub, conn);
        }
        match message::answer(hub.input(conn)) {
            Ok(None) => {}
            Err(_) => {
                hub.close(conn);
                self.call_ended(hub, conn, 0);
            }
            Ok(Some(answer)) => {
                hub.take(conn, answer.length);
                if answer.closes() {
                    hub.close(conn);
                } else {
                    self.kept.push(conn);
                }
                self.call_ended(hub, conn, answer.status);
            }
        }
    }

    fn gone(&mut self, hub: &mut Loop, conn: ConnId, _how: Gone) {
        hub.close(conn);
        self.kept.retain(|kept| *kept != conn);
        self.call_ended(hub, conn, 0);
        self.forget(hub, conn);
    }

    fn due(&mut self, hub: &mut Loop, due: Due) {
        match due {
            Due::Finish(number) => self.finish(hub, number),
            Due::Reply(conn, bytes) => self.send(hub, conn, &bytes),
            Due::Idle(conn, used) => {
                if self.callers.get(&conn).is_some_and(|caller| caller.job.is_none() && caller.used == used) {
                    self.callers.remove(&conn);
                    hub.close(conn);
                }
            }
        }
    }

    fn command(&mut self, hub: &mut Loop, command: Command) {
        match command {
            Command::Start { address, warm } => {
                self.spec.address = address.unwrap_or(self.spec.address);
                self.stop_process(hub, "replaced");
                if let Err(e) = self.start_process(hub, warm) {
                    hub.record(What::Note { text: e.to_string() });
                }
            }
            Command::Crash => self.stop_process(hub, "crashed"),
            Command::Drain => self.draining = true,
            Command::End => {
                self.ending = true;
                self.end_if_done(hub);
            }
            Command::Fault { number, fault } => {
                self.troubles.insert(number, fault);
                match fault.kind {
                    FaultKind::Stall => self.stall(hub, true),
                    FaultKind::NeverAccept => {
                        if let Some(listener) = self.listener {
                            hub.accepting(listener, false);
                        }
                    }
                    _ => {}
                }
            }
            Command::Mend { number } => {
                let was = self.troubles.remove(&number);
                match was.map(|trouble| trouble.kind) {
                    Some(FaultKind::Stall) => self.stall(hub, false),
                    Some(FaultKind::NeverAccept) => {
                        if let Some(listener) = self.listener {
                            hub.accepting(listener, true);
                        }
                    }
                    _ => {}
                }
            }
        }
    }
}
