//! The callers: they send what the plan says when it says so, whatever became of what they sent before, and
//! behave as real ones do: retries, kept connections, leaving early, slowness, nonsense.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::arrivals::Intent;
use crate::clock::{At, Micros};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message;
use crate::record::What;
use crate::scenario::{Class, ClientBehavior, Effect};

const DOWN: Micros = Micros::from_millis(300); // how long a target that refused is passed over
const WAIT_ON: Micros = Micros::from_millis(250); // past the cut-off, to see what comes too late
const DIAL: Micros = Micros::from_millis(1000);
/// Between the openings of two connections that will stand idle.
pub const IDLE_CONNECT_INTERVAL: Micros = Micros(150);
const SETTLE: Micros = Micros::from_millis(5000); // at the end, for what is still out

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub classes: Vec<Class>,
    #[serde(rename = "callers")]
    pub behavior: ClientBehavior,
    pub intents: Vec<Intent>,
    /// So many callers in a closed loop; 0 for an open one.
    #[serde(rename = "closed")]
    pub closed_loop_clients: usize,
    /// Whose turn is drawn at random for each try instead of by caller.
    #[serde(rename = "scatter")]
    pub random_target: bool,
    pub targets: Vec<(String, SocketAddr)>,
    /// Those of them that are not there yet.
    #[serde(rename = "absent")]
    pub absent_targets: Vec<String>,
    pub start: At,
    #[serde(rename = "lasts")]
    pub duration: Micros,
    pub seed: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// A target that may or may not be used.
    Target { name: String, up: bool, address: Option<SocketAddr> },
    /// All callers lose their connections and come back at once.
    Herd,
}

#[derive(Debug)]
pub enum TimerEvent {
    Next,
    /// Opens the next connections that will stand idle.
    Idle,
    Retry(usize, u16),
    /// A try's time is up: to come up, to leave early, or for good.
    DialLate(ConnId),
    Leave(ConnId, u64),
    Piece(ConnId, Vec<u8>),
    ReadOn(ConnId),
    Close(ConnId),
    End,
}

struct Target {
    name: String,
    address: SocketAddr,
    up: bool,
    down_until: At,
    kept: Vec<ConnId>,
}

/// One try of an intent.
struct Try {
    number: u64,
    intent: usize,
    try_no: u16,
    id: String,
    target: usize,
    kept: bool,
    up: bool,
    sent: Option<At>,
    cut_off: At,
    /// It went out a second time, as the protocol has it for a connection that was closed under it.
    again: bool,
}

pub struct Clients {
    spec: Spec,
    targets: Vec<Target>,
    tries: BTreeMap<ConnId, Try>,
    /// Kept connections with nothing out, and connections that are only watched to their end.
    idle: BTreeMap<ConnId, usize>,
    /// Those that were opened to stand idle, and how many were asked for and refused.
    silent: BTreeSet<ConnId>,
    asked: usize,
    refused: usize,
    next: usize,
    open: usize,
    count: u64,
    first_due: BTreeMap<usize, At>,
    rng: ChaCha8Rng,
    ended: bool,
}

type Loop = EventLoop<TimerEvent>;

impl Clients {
    pub fn new(spec: Spec) -> Clients {
        let target = |(name, address): &(String, SocketAddr)| Target {
            name: name.clone(),
            address: *address,
            up: !spec.absent_targets.contains(name),
            down_until: At::default(),
            kept: Vec::new(),
        };
        let targets = spec.targets.iter().map(target).collect();
        let rng = ChaCha8Rng::seed_from_u64(spec.seed ^ 0xca11e5);
        let (tries, idle, silent, first_due) = Default::default();
        let (asked, refused) = (0, 0);
        Clients {
            spec,
            targets,
            tries,
            idle,
            silent,
            asked,
            refused,
            next: 0,
            open: 0,
            count: 0,
            first_due,
            rng,
            ended: false,
        }
    }

    fn class(&self, intent: usize) -> &Class {
        &self.spec.classes[self.spec.intents[intent].class]
    }

    fn choose(&mut self, intent: usize, now: At) -> Option<usize> {
        let fit = |target: &Target| target.up && target.down_until <= now;
        let all: Vec<usize> = (0..self.targets.len()).filter(|n| fit(&self.targets[*n])).collect();
        if all.is_empty() {
            return None;
        }
        if self.spec.random_target {
            return Some(all[self.rng.random_range(0..all.len())]);
        }
        // ClientBehavior are spread over those that belong to the deployment, whether they answer or not.
        let present: Vec<usize> = (0..self.targets.len()).filter(|n| self.targets[*n].up).collect();
        let caller = self.spec.intents[intent].client;
        let own = present[caller % present.len()];
        Some(if all.contains(&own) { own } else { all[caller % all.len()] })
    }

    fn begin(&mut self, event_loop: &mut Loop, intent: usize, due: At) {
        self.first_due.insert(intent, due);
        self.open += 1;
        if self.spec.intents[intent].bad {
            return self.nonsense(event_loop, intent);
        }
        self.attempt(event_loop, intent, 0);
    }

    fn id(&self, intent: usize, try_no: u16) -> String {
        format!("{:x}-{intent:x}-{try_no}", self.spec.seed)
    }

    fn attempt(&mut self, event_loop: &mut Loop, intent: usize, try_no: u16) {
        let Some(target) = self.choose(intent, event_loop.now) else {
            return self.not_taken(event_loop, intent, try_no, "no target is up");
        };
        let keep = self.spec.behavior.keep;
        let kept =
            std::iter::from_fn(|| self.targets[target].kept.pop()).find(|conn| event_loop.is_open(*conn));
        let kept = kept.filter(|_| keep);
        if let Some(conn) = kept {
            self.idle.remove(&conn);
        }
        let conn = match kept.map_or_else(|| event_loop.connect(self.targets[target].address), Ok) {
            Ok(conn) => conn,
            Err(e) => return self.not_taken(event_loop, intent, try_no, &e.to_string()),
        };
        self.count += 1;
        let id = self.id(intent, try_no);
        let (number, up) = (self.count, kept.is_some());
        let (sent, cut_off, again) = (None, event_loop.now, false);
        let attempt = Try { number, intent, try_no, id, target, kept: up, up, sent, cut_off, again };
        self.tries.insert(conn, attempt);
        if up {
            self.send(event_loop, conn);
        } else {
            event_loop.schedule_after(DIAL, TimerEvent::DialLate(conn));
        }
    }

    fn not_taken(&mut self, event_loop: &mut Loop, intent: usize, try_no: u16, why: &str) {
        event_loop.record(What::NotTaken { id: self.id(intent, try_no), why: why.to_string() });
        self.retry_or_over(event_loop, intent, try_no, true, None);
    }

    fn send(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(attempt) = self.tries.get(&conn) else { return };
        let (intent, id) = (attempt.intent, attempt.id.clone());
        let class = self.class(intent).clone();
        let mut headers = vec![("Request-Id", id), ("Request-Class", class.name.clone())];
        headers.push(("Request-Timeout", format!("{:.3}", class.deadline.secs())));
        if self.spec.behavior.marks && attempt.try_no > 0 {
            headers.push(("Client-Retry", "1".to_string()));
        }
        let once = class.effect != Effect::Safe;
        let (method, body) = if once { ("POST", vec![b'b'; class.body]) } else { ("GET", Vec::new()) };
        let bytes = http_message::encode_request(
            method,
            &format!("/{}", class.name),
            "api.internal",
            &headers,
            &body,
        );
        if self.spec.intents[intent].slow_send {
            return self.piece(event_loop, conn, bytes);
        }
        event_loop.write(conn, &bytes);
        self.sent(event_loop, conn);
    }

    /// Sends a few bytes now and the rest later.
    fn piece(&mut self, event_loop: &mut Loop, conn: ConnId, bytes: Vec<u8>) {
        let (now, rest) = bytes.split_at(bytes.len().min(40));
        event_loop.write(conn, now);
        if rest.is_empty() {
            self.sent(event_loop, conn);
        } else {
            event_loop.schedule_after(Micros::from_millis(60), TimerEvent::Piece(conn, rest.to_vec()));
        }
    }

    /// Notes the moment at which the last byte was written.
    fn sent(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if event_loop.unwritten_bytes(conn) > 0 {
            return;
        }
        let Some(attempt) = self.tries.get(&conn).filter(|attempt| attempt.sent.is_none()) else { return };
        let (intent, number) = (attempt.intent, attempt.number);
        let class = self.class(intent).clone();
        let (now, planned) = (At::now(), &self.spec.intents[intent]);
        let (impatient, slow_read) = (planned.impatient, planned.slow_read);
        let due = self.first_due.get(&intent).copied().unwrap_or(now);
        let Some(attempt) = self.tries.get_mut(&conn) else { return };
        (attempt.sent, attempt.cut_off) = (Some(now), now + class.deadline);
        let (id, to) = (attempt.id.clone(), self.targets[attempt.target].name.clone());
        let (cut_off, try_no) = (attempt.cut_off, attempt.try_no);
        event_loop.record(What::Sent {
            id,
            intent: intent as u64,
            class: class.name,
            to,
            due,
            cut_off,
            try_no,
        });
        if impatient {
            event_loop.schedule_at(
                now + class.deadline.scaled(self.spec.behavior.leave_at),
                TimerEvent::Leave(conn, number),
            );
        }
        if slow_read {
            event_loop.set_paused(conn, true);
            event_loop.schedule_at(now + class.deadline.scaled(0.3), TimerEvent::ReadOn(conn));
        }
        event_loop.schedule_at(cut_off + WAIT_ON, TimerEvent::Leave(conn, number));
    }

    fn answered(&mut self, event_loop: &mut Loop, conn: ConnId, answer: http_message::Message) {
        let Some(attempt) = self.tries.remove(&conn) else { return };
        event_loop.consume(conn, answer.length);
        let retry_after_ms = answer.number("Retry-After").map(|seconds| seconds * 1000.0);
        event_loop.record(What::Answered { id: attempt.id.clone(), status: answer.status, retry_after_ms });
        // More than was asked for.
        let more = event_loop.input(conn).len();
        if more > 0 {
            event_loop.record(What::Unasked { id: attempt.id.clone(), bytes: more });
            event_loop.close(conn);
        } else if answer.closes() || !self.spec.behavior.keep {
            self.idle.insert(conn, usize::MAX);
            event_loop.schedule_after(Micros::from_millis(200), TimerEvent::Close(conn));
        } else {
            self.idle.insert(conn, attempt.target);
            self.targets[attempt.target].kept.push(conn);
        }
        if answer.status == 200 {
            return self.over(event_loop, attempt.intent, attempt.try_no, true);
        }
        let refused = matches!(answer.status, 429 | 503);
        self.retry_or_over(event_loop, attempt.intent, attempt.try_no, refused, retry_after_ms);
    }

    /// `safe`: it is known that nothing was done.
    fn retry_or_over(
        &mut self,
        event_loop: &mut Loop,
        intent: usize,
        try_no: u16,
        safe: bool,
        after: Option<f64>,
    ) {
        let may = safe || self.class(intent).effect == Effect::Safe;
        if !may
            || try_no >= self.spec.behavior.retries
            || event_loop.now > self.spec.start + self.spec.duration
        {
            return self.over(event_loop, intent, try_no, false);
        }
        let honours = self.rng.random::<f64>() < self.spec.behavior.honour;
        let own = self.spec.behavior.backoff.scaled(f64::from(1u32 << try_no.min(8)));
        let own = own.scaled(0.5 + self.rng.random::<f64>());
        let wait = after.filter(|_| honours).map_or(own, Micros::from_ms);
        event_loop.schedule_after(wait, TimerEvent::Retry(intent, try_no + 1));
    }

    fn over(&mut self, event_loop: &mut Loop, intent: usize, try_no: u16, honoured: bool) {
        let due = self.first_due.remove(&intent).unwrap_or(event_loop.now);
        let class = self.class(intent).name.clone();
        event_loop.record(What::Over { intent: intent as u64, class, due, honoured, tries: try_no + 1 });
        self.open -= 1;
        if self.spec.closed_loop_clients > 0 {
            self.next_closed(event_loop);
        }
        self.end_if_done(event_loop);
    }

    fn end_if_done(&mut self, event_loop: &mut Loop) {
        if self.ended && self.open == 0 {
            event_loop.request_stop();
        }
    }

    fn next_closed(&mut self, event_loop: &mut Loop) {
        if !self.ended
            && self.next < self.spec.intents.len()
            && event_loop.now < self.spec.start + self.spec.duration
        {
            self.next += 1;
            self.begin(event_loop, self.next - 1, event_loop.now);
        }
    }

    /// The connection of a try ended with no whole answer.
    fn lost(&mut self, event_loop: &mut Loop, conn: ConnId, how: ConnectionEnd, any: bool) {
        let Some(mut attempt) = self.tries.remove(&conn) else { return };
        let (intent, try_no) = (attempt.intent, attempt.try_no);
        if how == ConnectionEnd::Refused || attempt.sent.is_none() {
            if !attempt.kept {
                self.targets[attempt.target].down_until = event_loop.now + DOWN;
            }
            event_loop.record(What::NotTaken { id: attempt.id, why: format!("{how:?}") });
            return self.retry_or_over(event_loop, intent, try_no, true, None);
        }
        let once = self.class(intent).effect == Effect::AtMostOnce;
        if attempt.kept && !any && !attempt.again && !once {
            if let Ok(conn) = event_loop.connect(self.targets[attempt.target].address) {
                event_loop.record(What::SentAgain { id: attempt.id.clone() });
                (attempt.kept, attempt.again, attempt.up, attempt.sent) = (false, true, false, None);
                self.tries.insert(conn, attempt);
                return event_loop.schedule_after(DIAL, TimerEvent::DialLate(conn));
            }
        }
        let on = if attempt.kept { "kept" } else { "new" };
        event_loop.record(What::Lost { id: attempt.id, how: format!("{how:?} on a {on} connection") });
        self.retry_or_over(event_loop, intent, try_no, false, None);
    }

    /// Opens some more connections, each of which asks once.
    fn open_idle(&mut self, event_loop: &mut Loop) {
        const AT_ONCE: usize = 40;
        let most = self.spec.behavior.idle.min(self.asked + AT_ONCE);
        let class = self.spec.classes.iter().find(|class| class.effect == Effect::Safe).cloned();
        let Some(class) = class else { return };
        while self.asked < most {
            let target = self.asked % self.targets.len(); // those that come later have no idle ones
            let headers = [("Request-Id", format!("{:x}-idle-{}", self.spec.seed, self.asked))];
            self.asked += 1;
            let Ok(conn) = event_loop.connect(self.targets[target].address) else {
                self.refused += 1;
                continue;
            };
            event_loop.write(
                conn,
                &http_message::encode_request("GET", &format!("/{}", class.name), "a", &headers, b""),
            );
            self.silent.insert(conn);
        }
        if self.asked < self.spec.behavior.idle {
            event_loop.schedule_after(IDLE_CONNECT_INTERVAL.scaled(AT_ONCE as f64), TimerEvent::Idle);
        }
    }

    fn nonsense(&mut self, event_loop: &mut Loop, intent: usize) {
        let bytes: Vec<u8> = match intent % 6 {
            0 => (0..300).map(|_| self.rng.random()).collect(),
            1 => b"GET /".to_vec(),
            2 => b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n".to_vec(),
            3 => b"GET /no-such-class HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n\r\n".to_vec(),
            4 => b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc".to_vec(),
            _ => [b"GET / HTTP/1.1\r\nX: ".as_slice(), &[b'a'; 20_000]].concat(),
        };
        self.open -= 1;
        self.first_due.remove(&intent);
        let Some(target) = self.choose(intent, event_loop.now) else { return };
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
            event_loop.schedule_after(Micros::ZERO, TimerEvent::Idle);
        }
        event_loop.schedule_at(self.spec.start, TimerEvent::Next);
        event_loop.schedule_at(self.spec.start + self.spec.duration, TimerEvent::End);
        event_loop.schedule_at(self.spec.start + self.spec.duration + SETTLE, TimerEvent::End);
        Ok(())
    }

    fn on_accept(&mut self, _event_loop: &mut Loop, _listener: ListenerId, _conn: ConnId) {}

    fn on_connect(&mut self, event_loop: &mut Loop, conn: ConnId) {
        // One taken from those kept was written to already, though it may not have been up yet.
        if let Some(attempt) = self.tries.get_mut(&conn).filter(|attempt| !attempt.up) {
            attempt.up = true;
            self.send(event_loop, conn);
        }
    }

    fn on_written(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if self.tries.get(&conn).is_some_and(|attempt| !self.spec.intents[attempt.intent].slow_send) {
            self.sent(event_loop, conn);
        }
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        if self.idle.contains_key(&conn) {
            let bytes = event_loop.input(conn).len();
            event_loop.consume(conn, bytes);
            return event_loop.record(What::Unasked { id: String::new(), bytes });
        }
        if !self.tries.contains_key(&conn) {
            let bytes = event_loop.input(conn).len();
            event_loop.consume(conn, bytes);
            return;
        }
        match http_message::parse_response(event_loop.input(conn)) {
            Ok(None) => {}
            Ok(Some(answer)) if answer.status < 200 => drop(event_loop.consume(conn, answer.length)),
            Ok(Some(answer)) => self.answered(event_loop, conn, answer),
            Err(e) => {
                event_loop.close(conn);
                if let Some(attempt) = self.tries.remove(&conn) {
                    event_loop.record(What::Lost { id: attempt.id, how: format!("no HTTP: {e}") });
                    self.retry_or_over(event_loop, attempt.intent, attempt.try_no, false, None);
                }
            }
        }
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, how: ConnectionEnd) {
        let any = !event_loop.input(conn).is_empty();
        event_loop.close(conn);
        if self.silent.remove(&conn) {
            self.refused += 1;
        }
        if let Some(target) = self.idle.remove(&conn) {
            if let Some(target) = self.targets.get_mut(target) {
                target.kept.retain(|kept| *kept != conn);
            }
        }
        self.lost(event_loop, conn, how, any);
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::Idle => self.open_idle(event_loop),
            TimerEvent::Next if self.spec.closed_loop_clients > 0 => {
                for _ in 0..self.spec.closed_loop_clients {
                    self.next_closed(event_loop);
                }
            }
            TimerEvent::Next => {
                while self.next < self.spec.intents.len() {
                    let at = self.spec.start + self.spec.intents[self.next].at;
                    if at > event_loop.now {
                        return event_loop.schedule_at(at, TimerEvent::Next);
                    }
                    self.next += 1;
                    self.begin(event_loop, self.next - 1, at);
                }
            }
            TimerEvent::Retry(intent, try_no) => self.attempt(event_loop, intent, try_no),
            TimerEvent::DialLate(conn) => {
                if self.tries.get(&conn).is_some_and(|attempt| !attempt.up) {
                    event_loop.close(conn);
                    self.lost(event_loop, conn, ConnectionEnd::Refused, false);
                }
            }
            TimerEvent::Leave(conn, number) => {
                let Some(attempt) = self.tries.get(&conn).filter(|attempt| attempt.number == number) else {
                    return;
                };
                let (intent, try_no, own) =
                    (attempt.intent, attempt.try_no, event_loop.now < attempt.cut_off);
                event_loop.record(What::GaveUp { id: attempt.id.clone(), own });
                self.tries.remove(&conn);
                event_loop.close(conn);
                if own {
                    self.over(event_loop, intent, try_no, false);
                } else {
                    self.retry_or_over(event_loop, intent, try_no, false, None);
                }
            }
            TimerEvent::Piece(conn, bytes) => {
                if self.tries.contains_key(&conn) {
                    self.piece(event_loop, conn, bytes);
                }
            }
            TimerEvent::ReadOn(conn) => event_loop.set_paused(conn, false),
            TimerEvent::Close(conn) => {
                if !self.tries.contains_key(&conn) {
                    self.idle.remove(&conn);
                    event_loop.close(conn);
                }
            }
            TimerEvent::End if self.ended => event_loop.request_stop(),
            TimerEvent::End => {
                self.ended = true;
                self.end_if_done(event_loop);
            }
        }
    }

    fn stop(&mut self, event_loop: &mut Loop) {
        if self.spec.behavior.idle > 0 {
            event_loop.record(What::Idle { open: self.silent.len(), refused: self.refused });
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        match command {
            Command::Target { name, up, address } => {
                if let Some(target) = self.targets.iter_mut().find(|target| target.name == name) {
                    target.up = up;
                    target.address = address.unwrap_or(target.address);
                    let kept = if up { Vec::new() } else { std::mem::take(&mut target.kept) };
                    for conn in kept {
                        self.idle.remove(&conn);
                        event_loop.close(conn);
                    }
                }
            }
            Command::Herd => {
                let all: Vec<_> = self.idle.keys().copied().collect();
                for conn in all {
                    self.idle.remove(&conn);
                    event_loop.close(conn);
                }
                for target in 0..self.targets.len() {
                    let lost = std::mem::take(&mut self.targets[target].kept).len();
                    for _ in 0..lost {
                        if let Ok(conn) = event_loop.connect(self.targets[target].address) {
                            self.idle.insert(conn, target);
                            self.targets[target].kept.push(conn);
                        }
                    }
                }
            }
        }
    }
}
