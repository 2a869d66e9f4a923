//! Named duties, each held by one member under a lease: when leases are requested, which member gives way to
//! which, and the voter's side. Safety rests on `leases` alone; decisions here affect only how soon a duty is
//! held, so a mistake here costs time but never results in two holders.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oorandom::Rand32;
use serde::{Deserialize, Serialize};
use sparlug::time::{Span, Time};

use crate::leases::{LeaseClaim, LeaseReply, Voter, VoterSets};
use crate::wire::MemberRecord;

/// Limits per message: they make it fit into a datagram however long the holders' names are.
pub const MAX_DUTIES_PER_MESSAGE: usize = 32;
pub const MAX_REPLIES_PER_MESSAGE: usize = 10;
/// Between two duties that are handed off to better ranked members.
const HANDOFF_INTERVAL: Span = Span::from_millis(500);
/// Until a duty that came back after a hand-off is handed off again.
const REPEATED_HANDOFF_INTERVAL: Span = Span::from_millis(60_000);
/// Up to this fleet size each member queries one voter per lease; in larger fleets less often.
const MEMBERS_QUERYING_EACH_LEASE: f64 = 64.0;
/// Part of a lease within which voters reply if they reply at all.
const REPLY_WINDOW_RATIO: f64 = 0.125;
/// Part of a lease between the requests of two members that want a free duty.
const RANK_DELAY_RATIO: f64 = 0.125;
/// Members beyond this rank wait equally long for a free duty.
const MAX_DELAYED_RANKS: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyMessage {
    /// To a voter: requests these duties under these terms; the term 0 only queries the holder.
    Request {
        seq: u32,
        lease_ms: u32,
        voter_set_checksums: Vec<u32>,
        duties: Vec<(u64, u64)>,
    },
    Reply {
        seq: u32,
        replies: Vec<LeaseReply>,
    },
    /// To a voter: releases these duties and terms.
    Release {
        duties: Vec<(u64, u64)>,
    },
    /// To a member: these duties have been released, and the receiver is the best ranked member other than
    /// the sender.
    Offer {
        duties: Vec<u64>,
    },
}

impl DutyMessage {
    pub fn is_valid(&self, max_name_bytes: usize) -> bool {
        match self {
            DutyMessage::Request { voter_set_checksums, duties, .. } => {
                duties.len() <= MAX_DUTIES_PER_MESSAGE && voter_set_checksums.len() <= 2
            }
            DutyMessage::Reply { replies, .. } => {
                replies.len() <= MAX_REPLIES_PER_MESSAGE
                    && replies.iter().all(|reply| reply.holder.len() <= max_name_bytes)
            }
            DutyMessage::Release { duties } => duties.len() <= MAX_DUTIES_PER_MESSAGE,
            DutyMessage::Offer { duties } => duties.len() <= MAX_DUTIES_PER_MESSAGE,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub duties: Vec<String>,
    pub lease: Span,
    /// The sets of voters; two while operators change from one to the other.
    pub voters: Vec<Vec<SocketAddr>>,
    pub name: String,
    pub address: SocketAddr,
    /// Identifies this process, see [`MemberRecord::generation`].
    pub generation: u64,
    pub seed: u64,
}

#[derive(Debug)]
pub enum Event<'a> {
    Start,
    /// The time of the last [`Action::SetTimer`] has come.
    TimerExpired,
    /// The present members including this one, and whether this one is excluded from the fleet.
    MembersChanged {
        present: Vec<(String, SocketAddr)>,
        excluded: bool,
    },
    MessageReceived {
        from: &'a MemberRecord,
        message: DutyMessage,
    },
    /// Another process with this one's name and address may be voting at the same time, or no longer is.
    ProcessOverlap(bool),
    /// Operators forbid this member to hold a duty, or allow it again.
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
    /// Leases that expired without being released.
    pub lost: u64,
    pub released: u64,
    /// Requests from processes with other voter sets: they are not answered.
    pub voter_mismatches: u64,
}

/// What this member knows of one duty.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyStatus {
    pub name: String,
    /// The holder, if it is known.
    pub holder: Option<String>,
    pub term: u64,
    pub held_here: bool,
    pub remaining: Span,
    pub paused: bool,
}

#[derive(Debug, Default)]
struct Duty {
    name: String,
    claim: LeaseClaim,
    /// The term under which this member last became the holder, until the loss or release of the lease is
    /// noticed.
    acting_term: Option<u64>,
    /// Earliest time of the next request.
    next_request: Time,
    /// Another holder's name, its term, and the expiry of its lease.
    known_holder: Option<(String, u64, Time)>,
    paused: bool,
    handed_off_at: Option<Time>,
    /// Number of present members that rank before this one, and the best ranked of the other members.
    rank: usize,
    best_other: Option<SocketAddr>,
}

pub struct Duties {
    settings: Settings,
    voters: VoterSets,
    voter_set_checksums: Vec<u32>,
    voter: Option<Voter>,
    process_overlap: bool,
    rng: Rand32,
    now: Time,
    started_at: Time,
    last_seq: u32,
    duties: BTreeMap<u64, Duty>,
    present: Vec<(String, SocketAddr)>,
    present_since: Time,
    excluded: bool,
    leaving: bool,
    last_handoff: Time,
    last_query: Time,
    /// Index of the next duty to query.
    query_cursor: usize,
    pub counts: Counts,
}

/// FNV-1a, 64 bits. Used below to hash the names of duties and members, and by the proxy to derive its
/// ordinal from its name.
pub fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.fold(0xcbf2_9ce4_8422_2325, step)
}

/// Hash of a sequence of strings: FNV-1a with the finaliser of splitmix64.
fn hash(strings: &[&str]) -> u64 {
    let mut hash = fnv1a(strings.iter().flat_map(|string| string.bytes().chain([0])));
    for (shift, factor) in [(30, 0xbf58_476d_1ce4_e5b9), (27, 0x94d0_49bb_1331_11eb_u64)] {
        hash = (hash ^ (hash >> shift)).wrapping_mul(factor);
    }
    hash ^ (hash >> 31)
}

impl Duties {
    pub fn new(settings: Settings, now: Time) -> Duties {
        let voters = VoterSets::new(&settings.voters);
        let votes = voters.all_voters().contains(&settings.address);
        let voter = votes.then(|| Voter::new(now, settings.lease, None));
        let duty = |name: &String| Duty { name: name.clone(), ..Duty::default() };
        let duties = settings.duties.iter().map(|name| (hash(&[name]), duty(name))).collect();
        let mut rng = Rand32::new(settings.seed);
        let (voter_set_checksums, last_seq) = (voters.checksums(), rng.rand_u32());
        Duties {
            settings,
            voters,
            voter_set_checksums,
            voter,
            process_overlap: false,
            rng,
            now,
            started_at: now,
            last_seq,
            duties,
            present: Vec::new(),
            present_since: now,
            excluded: false,
            leaving: false,
            last_handoff: now,
            last_query: now,
            query_cursor: 0,
            counts: Counts::default(),
        }
    }

    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Start | Event::TimerExpired => {
                self.tick(actions);
                actions.push(Action::SetTimer(now + self.settings.lease.scaled(0.125)));
            }
            Event::MembersChanged { present, excluded } => self.members_changed(present, excluded, actions),
            Event::MessageReceived { from, message } => {
                let (name, address, generation) = (from.name.clone(), from.address, from.generation);
                self.receive((&name, address, generation), message, actions)
            }
            Event::ProcessOverlap(overlap) => {
                self.process_overlap = overlap;
                if let Some(voter) = &mut self.voter {
                    voter.restart(now);
                }
            }
            Event::SetPaused { duty, paused } => self.set_paused(duty, paused, actions),
            Event::Leave => {
                self.leaving = true;
                let held = self.held_keys();
                self.release(&held, actions);
            }
        }
    }

    /// The term under which this process may perform a duty at this moment: to be checked right before each
    /// act.
    pub fn held_term(&self, now: Time, duty: &str) -> Option<u64> {
        self.duties.get(&hash(&[duty])).and_then(|duty| duty.claim.held_term(now))
    }

    pub fn is_configured(&self, duty: &str) -> bool {
        self.duties.contains_key(&hash(&[duty]))
    }

    pub fn statuses(&self, now: Time) -> Vec<DutyStatus> {
        let status = |duty: &Duty| {
            let held = duty.claim.held_term(now);
            let known = duty.known_holder.as_ref().filter(|(_, _, until)| now < *until && held.is_none());
            DutyStatus {
                name: duty.name.clone(),
                holder: held
                    .map(|_| self.settings.name.clone())
                    .or(known.map(|(holder, _, _)| holder.clone())),
                term: held.or(known.map(|(_, term, _)| *term)).unwrap_or(0),
                held_here: held.is_some(),
                remaining: held
                    .map(|_| duty.claim.remaining(now))
                    .or(known.map(|known| known.2.since(now)))
                    .unwrap_or(Span::ZERO),
                paused: duty.paused,
            }
        };
        self.duties.values().map(status).collect()
    }

    fn held_keys(&self) -> Vec<u64> {
        let held = self.duties.iter().filter(|(_, duty)| duty.acting_term.is_some());
        held.map(|(key, _)| *key).collect()
    }

    /// A random time up to this part of a lease.
    fn jitter(&mut self, max_ratio: f64) -> Span {
        self.settings.lease.scaled(max_ratio * f64::from(self.rng.rand_float()))
    }

    /// Recomputes, by rendezvous hashing, how this member ranks for each duty.
    fn members_changed(
        &mut self,
        present: Vec<(String, SocketAddr)>,
        excluded: bool,
        actions: &mut Vec<Action>,
    ) {
        if excluded && !self.excluded {
            let held = self.held_keys();
            self.release(&held, actions);
        }
        self.excluded = excluded;
        if present == self.present {
            return;
        }
        (self.present, self.present_since) = (present, self.now);
        for duty in self.duties.values_mut() {
            let weight = |name: &str| hash(&[&duty.name, name]);
            let own = weight(&self.settings.name);
            let others = self.present.iter().filter(|(name, _)| *name != self.settings.name);
            duty.rank = others.clone().filter(|(name, _)| weight(name) > own).count();
            duty.best_other = others.max_by_key(|(name, _)| weight(name)).map(|(_, address)| *address);
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        for duty in self.duties.values_mut() {
            if duty.acting_term.is_some() && duty.claim.held_term(now).is_none() {
                self.counts.lost += 1;
                actions
                    .push(Action::Log(format!("duty {} is lost: no majority renewed its lease", duty.name)));
                duty.acting_term = None;
            }
        }
        self.abandon_minority_requests(actions);
        self.hand_off_one(actions);
        let may_acquire = now.since(self.started_at) >= lease.scaled(1.02) && !self.excluded && !self.leaving;
        let wanted: Vec<u64> = self
            .duties
            .iter()
            .filter(|(_, duty)| match duty.acting_term {
                Some(_) => duty.claim.requested_at().is_none_or(|at| now.since(at) >= lease.scaled(0.3)),
                None => may_acquire && !duty.paused && now >= duty.next_request,
            })
            .map(|(key, _)| *key)
            .collect();
        for keys in wanted.chunks(MAX_DUTIES_PER_MESSAGE) {
            self.last_seq = self.last_seq.wrapping_add(1);
            let mut duties = Vec::new();
            for key in keys {
                let retry_at = now + lease.scaled(0.5) + self.jitter(0.5);
                let Some(duty) = self.duties.get_mut(key) else { continue };
                duty.next_request = retry_at;
                duties.push((*key, duty.claim.start_request(now, self.last_seq)));
            }
            let message = self.request_message(duties);
            self.send_to_voters(message, actions);
        }
        self.query_holders(actions);
    }

    /// Releases what only a minority of voters has granted, so that the best ranked member can get a
    /// majority.
    fn abandon_minority_requests(&mut self, actions: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        let mut abandoned = Vec::new();
        for (key, duty) in &mut self.duties {
            if let Some(term) = duty.claim.abandon_request(now, lease.scaled(REPLY_WINDOW_RATIO)) {
                let jitter = f64::from(self.rng.rand_float()) * RANK_DELAY_RATIO;
                duty.next_request =
                    now + lease.scaled(RANK_DELAY_RATIO * duty.rank.min(MAX_DELAYED_RANKS) as f64 + jitter);
                abandoned.push((*key, term));
            }
        }
        for duties in abandoned.chunks(MAX_DUTIES_PER_MESSAGE) {
            self.send_to_voters(DutyMessage::Release { duties: duties.to_vec() }, actions);
        }
    }

    fn request_message(&self, duties: Vec<(u64, u64)>) -> DutyMessage {
        DutyMessage::Request {
            seq: self.last_seq,
            lease_ms: self.settings.lease.ms() as u32,
            voter_set_checksums: self.voter_set_checksums.clone(),
            duties,
        }
    }

    /// Queries the holders of other duties at one random voter, to show them to operators and to schedule
    /// requests.
    fn query_holders(&mut self, actions: &mut Vec<Action>) {
        let interval =
            self.settings.lease.scaled((self.present.len() as f64 / MEMBERS_QUERYING_EACH_LEASE).max(1.0));
        if self.now.since(self.last_query) < interval || self.excluded {
            return;
        }
        self.last_query = self.now;
        let others: Vec<u64> =
            self.duties.iter().filter(|(_, duty)| duty.acting_term.is_none()).map(|(key, _)| *key).collect();
        let voters: Vec<SocketAddr> = self.voters.all_voters().into_iter().collect();
        if others.is_empty() || voters.is_empty() {
            return;
        }
        let to = voters[self.rng.rand_range(0..voters.len() as u32) as usize];
        self.query_cursor = if self.query_cursor >= others.len() { 0 } else { self.query_cursor };
        let queried: Vec<(u64, u64)> =
            others[self.query_cursor..].iter().take(MAX_DUTIES_PER_MESSAGE).map(|key| (*key, 0)).collect();
        self.query_cursor += queried.len();
        self.last_seq = self.last_seq.wrapping_add(1);
        let message = self.request_message(queried);
        actions.push(Action::Send { to, message });
    }

    fn send_to_voters(&mut self, message: DutyMessage, actions: &mut Vec<Action>) {
        for voter in self.voters.all_voters() {
            // A message to itself goes over the network too, so that a process that wrongly advertises a
            // voter's address does not vote for itself.
            actions.push(Action::Send { to: voter, message: message.clone() });
        }
    }

    /// Hands off one duty to a better ranked member, once the set of present members has been stable for two
    /// leases.
    fn hand_off_one(&mut self, actions: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        if now.since(self.present_since) < lease.scaled(2.0)
            || now.since(self.last_handoff) < HANDOFF_INTERVAL
        {
            return;
        }
        let not_recently =
            |duty: &Duty| duty.handed_off_at.is_none_or(|at| now.since(at) >= REPEATED_HANDOFF_INTERVAL);
        let candidate = self
            .duties
            .iter()
            .find(|(_, duty)| duty.acting_term.is_some() && duty.rank > 0 && not_recently(duty));
        if let Some(key) = candidate.map(|(key, _)| *key) {
            self.last_handoff = now;
            if let Some(duty) = self.duties.get_mut(&key) {
                duty.handed_off_at = Some(now);
            }
            self.release(&[key], actions);
        }
    }

    /// Stops acting first, then releases the leases, then offers the duties to the best ranked other members.
    fn release(&mut self, keys: &[u64], actions: &mut Vec<Action>) {
        let retry_at = self.now + self.settings.lease.scaled(0.75) + self.jitter(0.5);
        let mut offers: BTreeMap<SocketAddr, Vec<u64>> = BTreeMap::new();
        let mut released = Vec::new();
        for key in keys {
            let Some(duty) = self.duties.get_mut(key) else { continue };
            duty.next_request = retry_at;
            duty.acting_term = None;
            let Some(term) = duty.claim.stop() else { continue };
            released.push((*key, term));
            self.counts.released += 1;
            actions.push(Action::Log(format!("duty {} is released, term {term}", duty.name)));
            if let Some(best_other) = duty.best_other {
                offers.entry(best_other).or_default().push(*key);
            }
        }
        for duties in released.chunks(MAX_DUTIES_PER_MESSAGE) {
            self.send_to_voters(DutyMessage::Release { duties: duties.to_vec() }, actions);
        }
        for (to, keys) in offers {
            for duties in keys.chunks(MAX_DUTIES_PER_MESSAGE) {
                actions.push(Action::Send { to, message: DutyMessage::Offer { duties: duties.to_vec() } });
            }
        }
    }

    fn set_paused(&mut self, name: &str, paused: bool, actions: &mut Vec<Action>) {
        let key = hash(&[name]);
        let Some(duty) = self.duties.get_mut(&key) else { return };
        (duty.paused, duty.next_request) = (paused, self.now);
        actions.push(Action::Log(format!(
            "duty {name} is {} here",
            if paused { "paused" } else { "allowed again" }
        )));
        if paused && duty.acting_term.is_some() {
            self.release(&[key], actions);
        }
    }

    fn receive(&mut self, from: (&str, SocketAddr, u64), message: DutyMessage, actions: &mut Vec<Action>) {
        let (name, address, generation) = from;
        match message {
            DutyMessage::Request { seq, lease_ms, voter_set_checksums, duties } => {
                let Some(voter) = self.voter.as_mut().filter(|_| !self.process_overlap) else { return };
                if !voter_set_checksums.iter().any(|checksum| self.voter_set_checksums.contains(checksum)) {
                    self.counts.voter_mismatches += 1;
                    return;
                }
                let (now, lease) = (self.now, Span::from_millis(lease_ms.into()));
                let replies: Vec<LeaseReply> = duties
                    .into_iter()
                    .filter_map(|(duty, term)| {
                        voter.handle_request(now, duty, term, (generation, name), lease)
                    })
                    .collect();
                for replies in replies.chunks(MAX_REPLIES_PER_MESSAGE) {
                    let message = DutyMessage::Reply { seq, replies: replies.to_vec() };
                    actions.push(Action::Send { to: address, message });
                }
            }
            DutyMessage::Reply { seq, replies } if self.voters.all_voters().contains(&address) => {
                replies.into_iter().for_each(|reply| self.receive_reply(seq, address, reply, actions));
            }
            DutyMessage::Reply { .. } => {}
            DutyMessage::Release { duties } => {
                for (duty, term) in duties {
                    if let Some(voter) = &mut self.voter {
                        voter.release(duty, term, generation);
                    }
                }
            }
            DutyMessage::Offer { duties } => {
                for key in duties {
                    if let Some(duty) = self.duties.get_mut(&key) {
                        duty.next_request = self.now;
                    }
                }
                self.tick(actions);
            }
        }
    }

    fn receive_reply(&mut self, seq: u32, voter: SocketAddr, reply: LeaseReply, actions: &mut Vec<Action>) {
        let (now, lease) = (self.now, self.settings.lease);
        let jitter = self.jitter(1.0 / 16.0);
        let Some(duty) = self.duties.get_mut(&reply.duty) else { return };
        if reply.granted {
            let acquired = duty.claim.record_grant(now, (seq, reply.term), voter, &self.voters, lease, None);
            if acquired {
                (duty.acting_term, duty.known_holder) = (Some(reply.term), None);
                self.counts.acquired += 1;
                actions.push(Action::Log(format!("duty {} is held here, term {}", duty.name, reply.term)));
            }
            return;
        }
        duty.claim.record_refusal(reply.term);
        let rank_delay = lease.scaled(RANK_DELAY_RATIO * duty.rank.min(MAX_DELAYED_RANKS) as f64);
        let remaining = Span::from_millis(reply.remaining_ms.into());
        let held = !reply.holder.is_empty();
        if held {
            duty.known_holder = Some((reply.holder, reply.term, now + remaining));
        }
        if duty.acting_term.is_none() {
            // The best ranked member requests first: if all requested at the same moment, none might get a
            // majority.
            let at = now + remaining + rank_delay + jitter;
            duty.next_request = if held { at } else { duty.next_request.min(at) };
        }
    }
}
