//! Leases on duties, granted by a majority of voters: the state of a voter, and that of a process that
//! requests or holds a lease. Safety does not depend on synchronised clocks, only on clock rates that differ
//! from true time by at most [`MAX_CLOCK_DRIFT_RATIO`]; `docs/design/duties.md` has the argument. It follows
//! PaxosLease (Trencseni, Gazso, Reinhardt 2012), with terms that serve as fencing tokens.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::time::{Span, Time};

/// How much faster or slower than true time any clock may run.
pub const MAX_CLOCK_DRIFT_RATIO: f64 = 0.01;
/// The part of a lease in which its holder may act, counted from its request: for the slowest clock against
/// the fastest one, (1 - MAX_CLOCK_DRIFT_RATIO) / (1 + MAX_CLOCK_DRIFT_RATIO) is 0.9802.
const USABLE_LEASE_RATIO: f64 = 1.0 - 2.0 * MAX_CLOCK_DRIFT_RATIO;
/// Limit on duties that a voter remembers. A grant expires by itself, but its term is kept after that.
const MAX_REMEMBERED_DUTIES: usize = 4096;

/// A deliberate defect that the tests must find; unused outside of tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededDefect {
    /// A restarted voter votes at once.
    NoSilence,
    /// The holder counts its lease from the reply instead of the request.
    LeaseFromReply,
    /// The holder acts for the whole lease by its own clock, without the margin for clock drift.
    NoMargin,
}

/// What one voter has granted for one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    term: u64,
    /// The generation of the holding process: a later process of the same name is another holder.
    holder: u64,
    name: String,
    /// Expiry by the voter's clock; `None` once the lease was released.
    until: Option<Time>,
}

/// A voter's reply about one duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    pub duty: u64,
    pub granted: bool,
    /// The granted term, or else the highest term that this voter has granted.
    pub term: u64,
    /// The current holder, empty if there is none, and for how much longer it holds the duty.
    pub holder: String,
    pub remaining_ms: u32,
}

/// The memory of a voter. It is not persisted: a voter that starts keeps silent for the longest lease, so
/// that whatever an earlier process granted in its place has expired before it votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    max_lease: Span,
    silent_until: Time,
    /// Granted terms are above this: the clock at the voter's start, in milliseconds.
    min_term: u64,
    grants: BTreeMap<u64, Grant>,
}

impl Voter {
    pub fn new(now: Time, max_lease: Span, seeded_defect: Option<SeededDefect>) -> Voter {
        let silence = if seeded_defect == Some(SeededDefect::NoSilence) { Span::ZERO } else { max_lease };
        let min_term = now.since(Time::ORIGIN).ms() as u64;
        Voter { max_lease, silent_until: now + silence, min_term, grants: BTreeMap::new() }
    }

    /// Restarts the voter because another process may have voted in its place until now; it does not grant
    /// terms that may have been granted already.
    pub fn restart(&mut self, now: Time) {
        let highest = self.grants.values().map(|grant| grant.term).fold(self.min_term, u64::max);
        *self = Voter::new(now, self.max_lease, None);
        self.min_term = self.min_term.max(highest);
    }

    /// When its grants expire and its silence ends, by its own clock.
    pub fn expiry_times(&self) -> Vec<Time> {
        let grants = self.grants.values().filter_map(|grant| grant.until);
        grants.chain([self.silent_until]).collect()
    }

    /// Handles a request for a duty under a term, or with the term 0 a query for its holder. A silent voter
    /// does not reply.
    pub fn handle_request(
        &mut self,
        now: Time,
        duty: u64,
        term: u64,
        holder: (u64, &str),
        lease: Span,
    ) -> Option<LeaseReply> {
        if now < self.silent_until {
            return None;
        }
        let grant = self.grants.get(&duty);
        let highest = grant.map_or(self.min_term, |grant| grant.term);
        let current = grant.filter(|grant| grant.until.is_some_and(|until| now < until));
        // A holder may renew its own term, and a new term is granted while no other member holds the duty. A
        // released term can't be renewed.
        let grantable = match grant {
            Some(grant) if grant.term == term => grant.holder == holder.0 && grant.until.is_some(),
            _ => term > highest && current.is_none_or(|grant| grant.holder == holder.0),
        };
        let has_capacity = grant.is_some() || self.grants.len() < MAX_REMEMBERED_DUTIES;
        if term == 0 || !grantable || lease > self.max_lease || !has_capacity {
            let remaining =
                current.map_or(0.0, |grant| grant.until.map_or(Span::ZERO, |until| until.since(now)).ms());
            let name = current.map_or(String::new(), |grant| grant.name.clone());
            return Some(LeaseReply {
                duty,
                granted: false,
                term: highest,
                holder: name,
                remaining_ms: remaining.ceil() as u32,
            });
        }
        let (name, until) = (holder.1.to_string(), now + lease);
        let reply =
            LeaseReply { duty, granted: true, term, holder: name.clone(), remaining_ms: lease.ms() as u32 };
        self.grants.insert(duty, Grant { term, holder: holder.0, name, until: Some(until) });
        Some(reply)
    }

    /// Releases a duty, on behalf of its holder only; the term is remembered.
    pub fn release(&mut self, duty: u64, term: u64, holder: u64) {
        if let Some(grant) = self.grants.get_mut(&duty) {
            if grant.term == term && grant.holder == holder {
                grant.until = None;
            }
        }
    }
}

/// The voters: a majority of each set has to grant. There are two sets while operators change from one to the
/// other (joint configuration).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSets {
    sets: Vec<BTreeSet<SocketAddr>>,
}

impl VoterSets {
    pub fn new(sets: &[Vec<SocketAddr>]) -> VoterSets {
        let sets = sets.iter().filter(|set| !set.is_empty());
        VoterSets { sets: sets.map(|set| set.iter().copied().collect()).collect() }
    }

    /// Whether these voters are a majority of each set. Without voters there is no quorum.
    pub fn is_quorum(&self, granted_by: &BTreeSet<SocketAddr>) -> bool {
        let majority = |set: &BTreeSet<SocketAddr>| set.intersection(granted_by).count() * 2 > set.len();
        !self.sets.is_empty() && self.sets.iter().all(majority)
    }

    pub fn all_voters(&self) -> BTreeSet<SocketAddr> {
        self.sets.iter().flatten().copied().collect()
    }

    /// A checksum of each set: a voter replies only to processes that share at least one set with it.
    pub fn checksums(&self) -> Vec<u32> {
        let checksum = |set: &BTreeSet<SocketAddr>| {
            let mut sum = crc32fast::Hasher::new();
            set.iter().for_each(|voter| sum.update(voter.to_string().as_bytes()));
            sum.finalize()
        };
        self.sets.iter().map(checksum).collect()
    }
}

/// An outstanding request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    seq: u32,
    sent_at: Time,
    granted_by: BTreeSet<SocketAddr>,
}

/// The state of one process's claim to the lease on a duty, whether it holds the lease or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseClaim {
    term: u64,
    /// Until when it may act, by its own clock; to be checked right before each act.
    until: Option<Time>,
    request: Option<Request>,
    /// The highest term that any voter has reported.
    highest_seen: u64,
}

impl LeaseClaim {
    /// The term under which the process may act at this moment.
    pub fn held_term(&self, now: Time) -> Option<u64> {
        self.until.filter(|until| now < *until).map(|_| self.term)
    }

    /// When the lease expires by the holder's clock unless it is renewed.
    pub fn expires_at(&self) -> Option<Time> {
        self.until
    }

    pub fn remaining(&self, now: Time) -> Span {
        self.until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// When the latest request was sent.
    pub fn requested_at(&self) -> Option<Time> {
        self.request.as_ref().map(|request| request.sent_at)
    }

    /// Starts a request and returns its term: the same term while the duty is held, else one above all terms
    /// seen so far.
    pub fn start_request(&mut self, now: Time, seq: u32) -> u64 {
        if self.held_term(now).is_none() {
            let clock = now.since(Time::ORIGIN).ms() as u64;
            self.until = None;
            self.term = self.term.max(self.highest_seen).max(clock) + 1;
        }
        self.request = Some(Request { seq, sent_at: now, granted_by: BTreeSet::new() });
        self.term
    }

    /// Records that a voter granted the request with this number; returns whether the duty has just become
    /// held.
    pub fn record_grant(
        &mut self,
        now: Time,
        (seq, term): (u32, u64),
        voter: SocketAddr,
        voters: &VoterSets,
        lease: Span,
        seeded_defect: Option<SeededDefect>,
    ) -> bool {
        let held_before = self.held_term(now).is_some();
        let Some(request) = self.request.as_mut().filter(|request| request.seq == seq && term == self.term)
        else {
            return false;
        };
        request.granted_by.insert(voter);
        if !voters.is_quorum(&request.granted_by) {
            return false;
        }
        let usable = if seeded_defect == Some(SeededDefect::NoMargin) {
            lease
        } else {
            lease.scaled(USABLE_LEASE_RATIO)
        };
        let start = if seeded_defect == Some(SeededDefect::LeaseFromReply) { now } else { request.sent_at };
        let until = start + usable;
        self.until = Some(self.until.map_or(until, |previous| previous.max(until)));
        !held_before && self.held_term(now).is_some()
    }

    /// Records that a voter has another holder or has granted a higher term.
    pub fn record_refusal(&mut self, term: u64) {
        self.highest_seen = self.highest_seen.max(term);
    }

    /// Abandons a request that after the time `after` has grants of some voters but no majority, and returns
    /// the term to release. Without this, two processes with half of the votes each would wait for each
    /// other's grants to expire.
    pub fn abandon_request(&mut self, now: Time, after: Span) -> Option<u64> {
        if self.held_term(now).is_some() {
            return None;
        }
        let stale =
            |request: &mut Request| now.since(request.sent_at) >= after && !request.granted_by.is_empty();
        self.request.take_if(stale).map(|_| self.term)
    }

    /// Stops acting, and returns the term under which the duty was held.
    pub fn stop(&mut self) -> Option<u64> {
        self.request = None;
        self.until.take().map(|_| self.term)
    }
}

/// Fencing for the receiver of a holder's acts: it keeps the highest term seen per duty and rejects acts
/// under lower ones.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<u64, u64>,
    pub rejected: u64,
}

impl Fence {
    pub fn accepts(&mut self, duty: u64, term: u64) -> bool {
        let highest = self.highest.entry(duty).or_insert(term);
        if term < *highest {
            self.rejected += 1;
            return false;
        }
        *highest = term;
        true
    }
}
