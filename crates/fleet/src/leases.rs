//! A duty that one holds for a time which a majority of voters has granted: what a voter remembers, and what the one that
//! holds it may rely on. Nothing here rests on clocks that agree, only on spans that differ by at most [`DRIFT`]; the
//! argument is in `docs/design/duties.md`. After PaxosLease (Trencseni, Gazso, Reinhardt 2012), with terms that fence.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::time::{Span, Time};

/// How much faster or slower than true time any clock runs, at the most.
pub const DRIFT: f64 = 0.01;
/// The part of a lease in which its holder acts, counted from when it asked: of the slowest clock against the fastest,
/// (1 - DRIFT) / (1 + DRIFT) is 0.9802.
const KEPT: f64 = 1.0 - 2.0 * DRIFT;
/// A voter's grant ends itself; what was granted of old is kept so long for its term.
const REMEMBERED: usize = 4096;

/// A deliberate mistake, which the check must find; none outside of tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededDefect {
    /// A voter that has restarted votes at once.
    NoSilence,
    /// The holder counts its lease from the answer.
    FromAnswer,
    /// The holder acts for the whole lease by its own clock.
    NoMargin,
}

/// What one voter has granted for one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Granted {
    term: u64,
    /// The life of the process that holds it: another life of the same name is another holder.
    holder: u64,
    name: String,
    /// By the voter's clock; `None` once it was given back.
    until: Option<Time>,
}

/// A voter's answer about one duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub duty: u64,
    pub granted: bool,
    /// The one granted, or the highest that this voter has granted.
    pub term: u64,
    /// Who holds it, where somebody does, and for how much longer, in milliseconds.
    pub holder: String,
    pub left_ms: u32,
}

/// The memory of a voter. It has no disk: a process that begins keeps silent for the longest lease, so that whatever an
/// earlier life of it granted has ended before it speaks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    lease: Span,
    silent_until: Time,
    /// Terms that it grants are above this: the clock, in milliseconds, at its start.
    floor: u64,
    granted: BTreeMap<u64, Granted>,
}

impl Voter {
    pub fn new(now: Time, lease: Span, seeded_defect: Option<SeededDefect>) -> Voter {
        let silence = if seeded_defect == Some(SeededDefect::NoSilence) { Span::ZERO } else { lease };
        let floor = now.since(Time::ORIGIN).ms() as u64;
        Voter { lease, silent_until: now + silence, floor, granted: BTreeMap::new() }
    }

    /// Another process may have voted in its place until now: it begins anew, and grants no term that may have been granted.
    pub fn hush(&mut self, now: Time) {
        let highest = self.granted.values().map(|held| held.term).fold(self.floor, u64::max);
        *self = Voter::new(now, self.lease, None);
        self.floor = self.floor.max(highest);
    }

    /// When something of its memory ends, by its clock.
    pub fn ends(&self) -> Vec<Time> {
        let grants = self.granted.values().filter_map(|held| held.until);
        grants.chain([self.silent_until]).collect()
    }

    /// One asks for a duty under a term, or looks who has it, with the term 0.
    pub fn ask(
        &mut self,
        now: Time,
        duty: u64,
        term: u64,
        holder: (u64, &str),
        lease: Span,
    ) -> Option<Answer> {
        if now < self.silent_until {
            return None;
        }
        let held = self.granted.get(&duty);
        let highest = held.map_or(self.floor, |held| held.term);
        let current = held.filter(|held| held.until.is_some_and(|until| now < until));
        // Its own again, or a new term for one that nobody has. What was given back is not taken up under its term.
        let fits = match held {
            Some(held) if held.term == term => held.holder == holder.0 && held.until.is_some(),
            _ => term > highest && current.is_none_or(|held| held.holder == holder.0),
        };
        let room = held.is_some() || self.granted.len() < REMEMBERED;
        if term == 0 || !fits || lease > self.lease || !room {
            let left =
                current.map_or(0.0, |held| held.until.map_or(Span::ZERO, |until| until.since(now)).ms());
            let name = current.map_or(String::new(), |held| held.name.clone());
            return Some(Answer {
                duty,
                granted: false,
                term: highest,
                holder: name,
                left_ms: left.ceil() as u32,
            });
        }
        let (name, until) = (holder.1.to_string(), now + lease);
        let answer = Answer { duty, granted: true, term, holder: name.clone(), left_ms: lease.ms() as u32 };
        self.granted.insert(duty, Granted { term, holder: holder.0, name, until: Some(until) });
        Some(answer)
    }

    /// Its holder, and nobody else, gives a duty back; the term is remembered.
    pub fn release(&mut self, duty: u64, term: u64, holder: u64) {
        if let Some(held) = self.granted.get_mut(&duty) {
            if held.term == term && held.holder == holder {
                held.until = None;
            }
        }
    }
}

/// The voters: of each set a majority has to grant. Two sets while staff change from one to the other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Electorate {
    sets: Vec<BTreeSet<SocketAddr>>,
}

impl Electorate {
    pub fn new(sets: &[Vec<SocketAddr>]) -> Electorate {
        let sets = sets.iter().filter(|set| !set.is_empty());
        Electorate { sets: sets.map(|set| set.iter().copied().collect()).collect() }
    }

    /// Whether these are enough of each set. Of no voters nobody is enough.
    pub fn carried(&self, by: &BTreeSet<SocketAddr>) -> bool {
        let most = |set: &BTreeSet<SocketAddr>| set.intersection(by).count() * 2 > set.len();
        !self.sets.is_empty() && self.sets.iter().all(most)
    }

    pub fn voters(&self) -> BTreeSet<SocketAddr> {
        self.sets.iter().flatten().copied().collect()
    }

    /// A number for each set: a voter answers only who shares one with it.
    pub fn marks(&self) -> Vec<u32> {
        let mark = |set: &BTreeSet<SocketAddr>| {
            let mut sum = crc32fast::Hasher::new();
            set.iter().for_each(|voter| sum.update(voter.to_string().as_bytes()));
            sum.finalize()
        };
        self.sets.iter().map(mark).collect()
    }
}

/// A question that is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    seq: u32,
    at: Time,
    granted: BTreeSet<SocketAddr>,
}

/// What the one that wants a duty knows of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tenure {
    term: u64,
    /// Until when it may act, by its own clock; looked at right before each act.
    until: Option<Time>,
    asked: Option<Asked>,
    /// The highest term that anybody has told it.
    highest: u64,
}

impl Tenure {
    /// The term under which it may act at this moment.
    pub fn term(&self, now: Time) -> Option<u64> {
        self.until.filter(|until| now < *until).map(|_| self.term)
    }

    /// When it ends, by the holder's clock, unless it is renewed.
    pub fn ends(&self) -> Option<Time> {
        self.until
    }

    pub fn left(&self, now: Time) -> Span {
        self.until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// When it last asked.
    pub fn asked_at(&self) -> Option<Time> {
        self.asked.as_ref().map(|asked| asked.at)
    }

    /// Begins a question: the same term while it holds the duty, else one above all that it has heard of.
    pub fn ask(&mut self, now: Time, seq: u32) -> u64 {
        if self.term(now).is_none() {
            let clock = now.since(Time::ORIGIN).ms() as u64;
            self.until = None;
            self.term = self.term.max(self.highest).max(clock) + 1;
        }
        self.asked = Some(Asked { seq, at: now, granted: BTreeSet::new() });
        self.term
    }

    /// A voter has granted the question of this number; tells whether the duty is held from now on and was not before.
    pub fn granted(
        &mut self,
        now: Time,
        (seq, term): (u32, u64),
        voter: SocketAddr,
        voters: &Electorate,
        lease: Span,
        seeded_defect: Option<SeededDefect>,
    ) -> bool {
        let before = self.term(now).is_some();
        let Some(asked) = self.asked.as_mut().filter(|asked| asked.seq == seq && term == self.term) else {
            return false;
        };
        asked.granted.insert(voter);
        if !voters.carried(&asked.granted) {
            return false;
        }
        let kept = if seeded_defect == Some(SeededDefect::NoMargin) { lease } else { lease.scaled(KEPT) };
        let from = if seeded_defect == Some(SeededDefect::FromAnswer) { now } else { asked.at };
        let until = from + kept;
        self.until = Some(self.until.map_or(until, |held| held.max(until)));
        !before && self.term(now).is_some()
    }

    /// A voter has another holder, or has granted a higher term.
    pub fn refused(&mut self, term: u64) {
        self.highest = self.highest.max(term);
    }

    /// Some voters have granted the last question, and for so long no majority has come of it: the term that is to be given
    /// back. Guards against two that have half of the voters each, and wait for each other's grants to end.
    pub fn abandon(&mut self, now: Time, after: Span) -> Option<u64> {
        if self.term(now).is_some() {
            return None;
        }
        let stale = |asked: &mut Asked| now.since(asked.at) >= after && !asked.granted.is_empty();
        self.asked.take_if(stale).map(|_| self.term)
    }

    /// Acts no more, and says under which term it did.
    pub fn stop(&mut self) -> Option<u64> {
        self.asked = None;
        self.until.take().map(|_| self.term)
    }
}

/// What one that takes acts keeps: the highest term of each duty. An act under a lower one is passed over.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<u64, u64>,
    pub passed_over: u64,
}

impl Fence {
    pub fn takes(&mut self, duty: u64, term: u64) -> bool {
        let highest = self.highest.entry(duty).or_insert(term);
        if term < *highest {
            self.passed_over += 1;
            return false;
        }
        *highest = term;
        true
    }
}
