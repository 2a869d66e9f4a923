//! Duties by name, each held by one member for a lease: who asks when, who gives way to whom, and the voter's part.
//! `leases` decides what is safe; here it is decided what is sensible, so any mistake here costs time and never makes two.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oorandom::Rand32;
use serde::{Deserialize, Serialize};
use sparlug::time::{Span, Time};

use crate::leases::{Answer, Electorate, Tenure, Voter};
use crate::wire::Entry;

/// Duties in one letter, and answers: so that it fits into a datagram whatever their holders' names.
pub const ASKED_MOST: usize = 32;
pub const ANSWERED_MOST: usize = 10;
const MOVE: Span = Span::from_millis(500); // between two duties that are given to those who come before
const GIVEN: Span = Span::from_millis(60_000); // until one that came back is given away again
const LOOKED_AT: f64 = 64.0; // members for which each looks once a lease; more look seldomer
const TOGETHER: f64 = 0.125; // of a lease, in which voters' answers come if they do
const TURN: f64 = 0.125; // of a lease, between two that want what is free
const RANKS: usize = 4; // beyond that, all wait as long for a duty that is free

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyMessage {
    /// To a voter: these duties are wanted under these terms, or only looked at, with the term 0.
    Ask {
        seq: u32,
        lease_ms: u32,
        marks: Vec<u32>,
        duties: Vec<(u64, u64)>,
    },
    Answer {
        seq: u32,
        answers: Vec<Answer>,
    },
    /// To a voter: these are given back.
    Release {
        duties: Vec<(u64, u64)>,
    },
    /// To a member: these are free now, and it comes first.
    Free {
        duties: Vec<u64>,
    },
}

impl DutyMessage {
    pub fn makes_sense(&self, name_most: usize) -> bool {
        match self {
            DutyMessage::Ask { marks, duties, .. } => duties.len() <= ASKED_MOST && marks.len() <= 2,
            DutyMessage::Answer { answers, .. } => {
                answers.len() <= ANSWERED_MOST
                    && answers.iter().all(|answer| answer.holder.len() <= name_most)
            }
            DutyMessage::Release { duties } => duties.len() <= ASKED_MOST,
            DutyMessage::Free { duties } => duties.len() <= ASKED_MOST,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub duties: Vec<String>,
    pub lease: Span,
    /// The voters; two sets while staff change from one to the other.
    pub voters: Vec<Vec<SocketAddr>>,
    pub name: String,
    pub address: SocketAddr,
    /// Of this process its own.
    pub generation: u64,
    pub seed: u64,
}

#[derive(Debug)]
pub enum Event<'a> {
    Start,
    /// It is at least as late as the last [`Action::SetTimer`] said.
    TimerExpired,
    /// Who is there, itself among them, and whether it keeps out.
    MembersChanged {
        present: Vec<(String, SocketAddr)>,
        excluded: bool,
    },
    MessageReceived {
        from: &'a Entry,
        message: DutyMessage,
    },
    /// Another process with its name and address may vote beside it, or no longer does.
    ProcessOverlap(bool),
    /// Staff say that this one is not to hold a duty, or may again.
    SetPaused {
        duty: &'a str,
        paused: bool,
    },
    Leave,
}

#[derive(Debug, PartialEq)]
pub enum Action {
    Send { to: SocketAddr, message: DutyMessage },
    SetTimer(Time),
    Log(String),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub acquired: u64,
    /// Ended without being given back.
    pub lost: u64,
    pub released: u64,
    /// Questions of those that have other voters: none was answered.
    pub voter_mismatches: u64,
}

/// What is known here of one duty.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyStatus {
    pub name: String,
    /// Who holds it, as far as is known.
    pub holder: Option<String>,
    pub term: u64,
    pub held_here: bool,
    pub remaining: Span,
    pub paused: bool,
}

#[derive(Debug, Default)]
struct Duty {
    name: String,
    tenure: Tenure,
    /// The term under which it was told to be held here.
    acting: Option<u64>,
    /// When it may be asked for next.
    next: Time,
    known: Option<(String, u64, Time)>,
    paused: bool,
    given: Option<Time>,
    /// How many of those that are there come before this one, and the first of them.
    rank: usize,
    first: Option<SocketAddr>,
}

pub struct Duties {
    settings: Settings,
    electorate: Electorate,
    marks: Vec<u32>,
    voter: Option<Voter>,
    beside: bool,
    rng: Rand32,
    now: Time,
    began: Time,
    seq: u32,
    duties: BTreeMap<u64, Duty>,
    there: Vec<(String, SocketAddr)>,
    there_since: Time,
    excluded: bool,
    leaving: bool,
    moved: Time,
    looked: Time,
    /// Of the duties that are looked at, where the next look begins.
    cursor: usize,
    pub counts: Counts,
}

/// FNV-1a of 64 bits.
pub fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    let step = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.fold(0xcbf2_9ce4_8422_2325, step)
}

/// A number for words in this order: FNV-1a, its bits mixed once more (the finaliser of splitmix64).
fn hash(words: &[&str]) -> u64 {
    let mut sum = fnv1a(words.iter().flat_map(|word| word.bytes().chain([0])));
    for (shift, factor) in [(30, 0xbf58_476d_1ce4_e5b9), (27, 0x94d0_49bb_1331_11eb_u64)] {
        sum = (sum ^ (sum >> shift)).wrapping_mul(factor);
    }
    sum ^ (sum >> 31)
}

impl Duties {
    pub fn new(settings: Settings, now: Time) -> Duties {
        let electorate = Electorate::new(&settings.voters);
        let votes = electorate.voters().contains(&settings.address);
        let voter = votes.then(|| Voter::new(now, settings.lease, None));
        let duty = |name: &String| Duty { name: name.clone(), ..Duty::default() };
        let duties = settings.duties.iter().map(|name| (hash(&[name]), duty(name))).collect();
        let mut rng = Rand32::new(settings.seed);
        let (marks, seq) = (electorate.marks(), rng.rand_u32());
        Duties {
            settings,
            electorate,
            marks,
            voter,
            beside: false,
            rng,
            now,
            began: now,
            seq,
            duties,
            there: Vec::new(),
            there_since: now,
            excluded: false,
            leaving: false,
            moved: now,
            looked: now,
            cursor: 0,
            counts: Counts::default(),
        }
    }

    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Start | Event::TimerExpired => {
                self.tick(out);
                out.push(Action::SetTimer(now + self.settings.lease.scaled(0.125)));
            }
            Event::MembersChanged { present: there, excluded } => self.crowd(there, excluded, out),
            Event::MessageReceived { from, message: letter } => {
                let (name, address, generation) = (from.name.clone(), from.address, from.generation);
                self.heard((&name, address, generation), letter, out)
            }
            Event::ProcessOverlap(beside) => {
                self.beside = beside;
                if let Some(voter) = &mut self.voter {
                    voter.hush(now);
                }
            }
            Event::SetPaused { duty, paused } => self.pause(duty, paused, out),
            Event::Leave => {
                self.leaving = true;
                let held = self.held();
                self.give(&held, out);
            }
        }
    }

    /// The term under which this process may do a duty at this moment: to be asked right before each act.
    pub fn term(&self, now: Time, duty: &str) -> Option<u64> {
        self.duties.get(&hash(&[duty])).and_then(|duty| duty.tenure.term(now))
    }

    pub fn is_configured(&self, duty: &str) -> bool {
        self.duties.contains_key(&hash(&[duty]))
    }

    pub fn statuses(&self, now: Time) -> Vec<DutyStatus> {
        let shown = |duty: &Duty| {
            let here = duty.tenure.term(now);
            let known = duty.known.as_ref().filter(|(_, _, until)| now < *until && here.is_none());
            DutyStatus {
                name: duty.name.clone(),
                holder: here
                    .map(|_| self.settings.name.clone())
                    .or(known.map(|(holder, _, _)| holder.clone())),
                term: here.or(known.map(|(_, term, _)| *term)).unwrap_or(0),
                held_here: here.is_some(),
                remaining: here
                    .map(|_| duty.tenure.left(now))
                    .or(known.map(|k| k.2.since(now)))
                    .unwrap_or(Span::ZERO),
                paused: duty.paused,
            }
        };
        self.duties.values().map(shown).collect()
    }

    fn held(&self) -> Vec<u64> {
        let held = self.duties.iter().filter(|(_, duty)| duty.acting.is_some());
        held.map(|(key, _)| *key).collect()
    }

    fn part(&mut self, of: f64) -> Span {
        self.settings.lease.scaled(of * f64::from(self.rng.rand_float()))
    }

    fn crowd(&mut self, there: Vec<(String, SocketAddr)>, excluded: bool, out: &mut Vec<Action>) {
        if excluded && !self.excluded {
            let held = self.held();
            self.give(&held, out);
        }
        self.excluded = excluded;
        if there == self.there {
            return;
        }
        (self.there, self.there_since) = (there, self.now);
        for duty in self.duties.values_mut() {
            let weight = |name: &str| hash(&[&duty.name, name]);
            let own = weight(&self.settings.name);
            let others = self.there.iter().filter(|(name, _)| *name != self.settings.name);
            duty.rank = others.clone().filter(|(name, _)| weight(name) > own).count();
            duty.first = others.max_by_key(|(name, _)| weight(name)).map(|(_, address)| *address);
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        for duty in self.duties.values_mut() {
            if duty.acting.is_some() && duty.tenure.term(now).is_none() {
                self.counts.lost += 1;
                out.push(Action::Log(format!("duty {} has ended here: no majority renewed it", duty.name)));
                duty.acting = None;
            }
        }
        self.abandon(out);
        self.give_way(out);
        let may = now.since(self.began) >= lease.scaled(1.02) && !self.excluded && !self.leaving;
        let wanted: Vec<u64> = self
            .duties
            .iter()
            .filter(|(_, duty)| match duty.acting {
                Some(_) => duty.tenure.asked_at().is_none_or(|at| now.since(at) >= lease.scaled(0.3)),
                None => may && !duty.paused && now >= duty.next,
            })
            .map(|(key, _)| *key)
            .collect();
        for keys in wanted.chunks(ASKED_MOST) {
            self.seq = self.seq.wrapping_add(1);
            let mut duties = Vec::new();
            for key in keys {
                let again = now + lease.scaled(0.5) + self.part(0.5);
                let Some(duty) = self.duties.get_mut(key) else { continue };
                duty.next = again;
                duties.push((*key, duty.tenure.ask(now, self.seq)));
            }
            let letter = self.question(duties);
            self.ask_all(letter, out);
        }
        self.look(out);
    }

    /// Gives back what only some voters have granted, so that the one whose turn comes first gets all.
    fn abandon(&mut self, out: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        let mut back = Vec::new();
        for (key, duty) in &mut self.duties {
            if let Some(term) = duty.tenure.abandon(now, lease.scaled(TOGETHER)) {
                let jitter = f64::from(self.rng.rand_float()) * TURN;
                duty.next = now + lease.scaled(TURN * duty.rank.min(RANKS) as f64 + jitter);
                back.push((*key, term));
            }
        }
        for duties in back.chunks(ASKED_MOST) {
            self.ask_all(DutyMessage::Release { duties: duties.to_vec() }, out);
        }
    }

    fn question(&self, duties: Vec<(u64, u64)>) -> DutyMessage {
        DutyMessage::Ask {
            seq: self.seq,
            lease_ms: self.settings.lease.ms() as u32,
            marks: self.marks.clone(),
            duties,
        }
    }

    /// Now and then each asks one voter who holds what, for staff, and to know when to ask.
    fn look(&mut self, out: &mut Vec<Action>) {
        let every = self.settings.lease.scaled((self.there.len() as f64 / LOOKED_AT).max(1.0));
        if self.now.since(self.looked) < every || self.excluded {
            return;
        }
        self.looked = self.now;
        let others: Vec<u64> =
            self.duties.iter().filter(|(_, duty)| duty.acting.is_none()).map(|(key, _)| *key).collect();
        let voters: Vec<SocketAddr> = self.electorate.voters().into_iter().collect();
        if others.is_empty() || voters.is_empty() {
            return;
        }
        let to = voters[self.rng.rand_range(0..voters.len() as u32) as usize];
        self.cursor = if self.cursor >= others.len() { 0 } else { self.cursor };
        let some: Vec<(u64, u64)> =
            others[self.cursor..].iter().take(ASKED_MOST).map(|key| (*key, 0)).collect();
        self.cursor += some.len();
        self.seq = self.seq.wrapping_add(1);
        let letter = self.question(some);
        out.push(Action::Send { to, message: letter });
    }

    fn ask_all(&mut self, letter: DutyMessage, out: &mut Vec<Action>) {
        for voter in self.electorate.voters() {
            // Also to itself by the network: guards against one that wrongly tells a voter's address voting for itself.
            out.push(Action::Send { to: voter, message: letter.clone() });
        }
    }

    /// Gives a duty to the one that comes first, once that one has been there for a while, a few at a time.
    fn give_way(&mut self, out: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        if now.since(self.there_since) < lease.scaled(2.0) || now.since(self.moved) < MOVE {
            return;
        }
        let not_lately = |duty: &Duty| duty.given.is_none_or(|at| now.since(at) >= GIVEN);
        let one =
            self.duties.iter().find(|(_, duty)| duty.acting.is_some() && duty.rank > 0 && not_lately(duty));
        if let Some(key) = one.map(|(key, _)| *key) {
            self.moved = now;
            if let Some(duty) = self.duties.get_mut(&key) {
                duty.given = Some(now);
            }
            self.give(&[key], out);
        }
    }

    /// Stops acting first, then gives back, then says so to the one that comes next.
    fn give(&mut self, keys: &[u64], out: &mut Vec<Action>) {
        let after = self.now + self.settings.lease.scaled(0.75) + self.part(0.5);
        let mut free: BTreeMap<SocketAddr, Vec<u64>> = BTreeMap::new();
        let mut back = Vec::new();
        for key in keys {
            let Some(duty) = self.duties.get_mut(key) else { continue };
            duty.next = after;
            duty.acting = None;
            let Some(term) = duty.tenure.stop() else { continue };
            back.push((*key, term));
            self.counts.released += 1;
            out.push(Action::Log(format!("duty {} is given back, term {term}", duty.name)));
            if let Some(first) = duty.first {
                free.entry(first).or_default().push(*key);
            }
        }
        for duties in back.chunks(ASKED_MOST) {
            self.ask_all(DutyMessage::Release { duties: duties.to_vec() }, out);
        }
        for (to, keys) in free {
            for duties in keys.chunks(ASKED_MOST) {
                out.push(Action::Send { to, message: DutyMessage::Free { duties: duties.to_vec() } });
            }
        }
    }

    fn pause(&mut self, name: &str, paused: bool, out: &mut Vec<Action>) {
        let key = hash(&[name]);
        let Some(duty) = self.duties.get_mut(&key) else { return };
        (duty.paused, duty.next) = (paused, self.now);
        out.push(Action::Log(format!(
            "duty {name} is {} here",
            if paused { "paused" } else { "allowed again" }
        )));
        if paused && duty.acting.is_some() {
            self.give(&[key], out);
        }
    }

    fn heard(&mut self, from: (&str, SocketAddr, u64), letter: DutyMessage, out: &mut Vec<Action>) {
        let (name, address, generation) = from;
        match letter {
            DutyMessage::Ask { seq, lease_ms, marks, duties } => {
                let Some(voter) = self.voter.as_mut().filter(|_| !self.beside) else { return };
                if !marks.iter().any(|mark| self.marks.contains(mark)) {
                    self.counts.voter_mismatches += 1;
                    return;
                }
                let (now, lease) = (self.now, Span::from_millis(lease_ms.into()));
                let answers: Vec<Answer> = duties
                    .into_iter()
                    .filter_map(|(duty, term)| voter.ask(now, duty, term, (generation, name), lease))
                    .collect();
                for answers in answers.chunks(ANSWERED_MOST) {
                    let letter = DutyMessage::Answer { seq, answers: answers.to_vec() };
                    out.push(Action::Send { to: address, message: letter });
                }
            }
            DutyMessage::Answer { seq, answers } if self.electorate.voters().contains(&address) => {
                answers.into_iter().for_each(|answer| self.answered(seq, address, answer, out));
            }
            DutyMessage::Answer { .. } => {}
            DutyMessage::Release { duties } => {
                for (duty, term) in duties {
                    if let Some(voter) = &mut self.voter {
                        voter.release(duty, term, generation);
                    }
                }
            }
            DutyMessage::Free { duties } => {
                for key in duties {
                    if let Some(duty) = self.duties.get_mut(&key) {
                        duty.next = self.now;
                    }
                }
                self.tick(out);
            }
        }
    }

    fn answered(&mut self, seq: u32, voter: SocketAddr, answer: Answer, out: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        let jitter = self.part(1.0 / 16.0);
        let Some(duty) = self.duties.get_mut(&answer.duty) else { return };
        if answer.granted {
            let began = duty.tenure.granted(now, (seq, answer.term), voter, &self.electorate, lease, None);
            if began {
                (duty.acting, duty.known) = (Some(answer.term), None);
                self.counts.acquired += 1;
                out.push(Action::Log(format!("duty {} is held here, term {}", duty.name, answer.term)));
            }
            return;
        }
        duty.tenure.refused(answer.term);
        let turn = lease.scaled(TURN * duty.rank.min(RANKS) as f64);
        let left = Span::from_millis(answer.left_ms.into());
        let held = !answer.holder.is_empty();
        if held {
            duty.known = Some((answer.holder, answer.term, now + left));
        }
        if duty.acting.is_none() {
            // Who comes first asks first: guards against all asking in one moment, and none having a majority.
            let at = now + left + turn + jitter;
            duty.next = if held { at } else { duty.next.min(at) };
        }
    }
}
