//! The membership state machine that each proxy runs. It learns of other members from their messages and from
//! gossip, and resolves contradicting claims by the incarnation number that only the member itself raises. It
//! follows SWIM (Das, Gupta, Motivala 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey 2018);
//! `docs/design/fleet.md` lists which parts of them apply.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oorandom::Rand32;
use sparlug::time::{Span, Time};

use crate::duties::DutyMessage;
use crate::lifecycle::IdentityConflict;
use crate::member_count::{share_divisor, MemberCount};
use crate::merge::Suspicion;
use crate::probing::{IndirectPing, Probe};
use crate::updates::UpdateQueue;
use crate::view::{MemberStatus, View};
use crate::wire::{self, Body, DecodeError, MemberRecord, MemberState, Message};

pub(crate) const PROBE_INTERVAL: Span = Span::from_millis(500);
const GOSSIP_INTERVAL: Span = Span::from_millis(200); // between two rounds of gossip while updates are queued
pub(crate) const GOSSIP_FANOUT: usize = 2;
const MAX_LOCAL_HEALTH: u32 = 8;
/// A timer that fires later than this shows that the process was not running.
const PAUSE_THRESHOLD: Span = Span::from_millis(100);
/// After a pause, datagrams that arrived meanwhile are read for this long before any member is judged.
const RESUME_GRACE: Span = Span::from_millis(250);
/// Limit on known other members, so that forged claims can't fill the memory.
pub(crate) const MAX_MEMBERS: usize = 4096;
pub(crate) const MAX_PIGGYBACKED: usize = 8; // updates on a probe or its answer
/// How long the proxy assumes that others ignore its messages after it learns that they declared it dead.
const REPORTED_DEAD_PERIOD: Span = Span::from_millis(15_000);
const GENERATION_RANDOM_BITS: u32 = 20; // below the milliseconds of the process's start
const LOG_BURST_LINES: f64 = 20.0;
const LOG_LINES_PER_S: f64 = 2.0;

/// Configuration of one member.
#[derive(Clone, Debug)]
pub struct Settings {
    pub fleet: String,
    pub name: String,
    /// The address advertised to other members.
    pub address: SocketAddr,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    /// Usual number of proxies, if operators configured it.
    pub expected: Option<usize>,
    /// Number of proxies in the configured tier: expected at least until another member has sent its state.
    pub instances: usize,
    /// A seeded defect that the randomised tests must find; `None` outside of tests.
    pub seeded_defect: Option<SeededDefect>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededDefect {
    /// Does not refute a suspicion of itself.
    NoRefutation,
    /// Starts every process with the first incarnation and ignores the incarnation of an earlier process of
    /// its name.
    LostIncarnation,
}

#[derive(Debug)]
pub enum Event<'a> {
    Start,
    /// The time of the last [`Action::SetTimer`] has come.
    TimerExpired,
    /// A datagram and its source address. The address proves nothing, but replies sent there may reach a
    /// sender whose advertised address others can't reach.
    DatagramReceived(&'a [u8], SocketAddr),
    /// Sends a message to one of the other present members, chosen by an index modulo their number.
    SendPeerMessage {
        member_index: usize,
        bytes: Vec<u8>,
    },
    SendDutyMessage(SocketAddr, DutyMessage),
    /// The process was ordered to terminate and will do so soon.
    Leave,
}

#[derive(Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Requests [`Event::TimerExpired`] at this time; replaces an earlier request.
    SetTimer(Time),
    Log(String),
    /// The view or the member count in force has changed.
    ViewChanged,
    /// A present member has sent this message.
    PeerMessage {
        from: String,
        bytes: Vec<u8>,
    },
    /// A member that has announced itself has sent a message about duties.
    DutyMessage(MemberRecord, DutyMessage),
}

/// Counters of messages and incidents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub received: u64,
    pub foreign: u64,
    pub newer: u64,
    pub corrupted: u64,
    pub unknown_kind: u64,
    pub invalid: u64,
    pub other_fleet: u64,
    /// Pings addressed to another member.
    pub misdirected: u64,
    /// Claims about new members rejected because the member limit is reached.
    pub over_capacity: u64,
    pub refuted: u64,
    pub declared_dead: u64,
    /// How often the process was not running for a while.
    pub pauses: u64,
}

#[derive(Debug)]
pub(crate) enum TimerEvent {
    Probe,
    /// The probe has no direct answer so far.
    IndirectProbe(u32),
    ProbeEnd(u32),
    /// The target of an indirect ping has not answered so far.
    Nack(u32),
    /// The end of a suspicion, unless it was postponed.
    SuspicionEnd(String),
    Gossip,
    StateExchange,
    /// Contacts a dead member or an absent seed.
    Reconnect,
    Join,
    Announce,
    /// Checks whether another process uses this process's name or address.
    Challenge,
    Forget(String, u64),
}

impl TimerEvent {
    /// Whether it judges another process: such events wait for datagrams that came while this process was not
    /// running.
    fn judges(&self) -> bool {
        matches!(
            self,
            TimerEvent::IndirectProbe(_)
                | TimerEvent::ProbeEnd(_)
                | TimerEvent::SuspicionEnd(_)
                | TimerEvent::Nack(_)
                | TimerEvent::Challenge
        )
    }
}

#[derive(Debug)]
pub(crate) struct Member {
    pub record: MemberRecord,
    pub state_since: Time,
    pub suspicion: Option<Suspicion>,
    /// When it was last notified, outside of probes and gossip, that it is considered dead.
    pub notified_at: Time,
}

pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) rng: Rand32,
    pub(crate) now: Time,
    pub(crate) local: MemberRecord,
    /// All other members that the proxy knows of, in any state, until they are removed.
    pub(crate) others: BTreeMap<String, Member>,
    /// Members to probe next, in a random order in which each occurs once.
    pub(crate) probe_order: Vec<String>,
    pub(crate) probe: Option<Probe>,
    pub(crate) indirect_pings: BTreeMap<u32, IndirectPing>,
    pub(crate) updates: UpdateQueue,
    timers: BTreeMap<(Time, u64), TimerEvent>,
    timers_set: u64,
    requested_timer: Option<Time>,
    pub(crate) last_seq: u32,
    /// Lifeguard's local health: 0 is healthy; a higher score slows down the proxy's own accusations.
    pub(crate) local_health: u32,
    pub(crate) announced: bool,
    /// Another member has sent its state.
    pub(crate) joined: bool,
    pub(crate) leaving: bool,
    pub(crate) conflict: Option<IdentityConflict>,
    /// The last other process that claimed this process's address: its generation, and when it was last
    /// notified which member is reached there.
    pub(crate) address_claimant: (u64, Time),
    /// When the proxy last learned that others declared it dead. Never set at present, so the rule that reads
    /// it in `update_member_count` has no effect.
    pub(crate) reported_dead_at: Option<Time>,
    /// The last address contacted to reconnect: the first reply from there is answered with the full state.
    pub(crate) reconnect_target: Option<SocketAddr>,
    pub(crate) join_attempts: u32,
    gossip_scheduled: bool,
    member_count: MemberCount,
    /// Number of present members including the proxy itself, of known members that have not left, and of
    /// suspects.
    totals: (usize, usize, usize),
    /// Log lines that may be written at once, and when this number was computed.
    log_allowance: (f64, Time),
    suppressed_lines: u64,
    pub(crate) view_changed: bool,
    pub counts: Counts,
}

impl Membership {
    /// `seed` determines the generation and all random choices; `now` is the process's own clock, whose
    /// origin must be the same for all processes that run under one name.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Membership {
        let mut rng = Rand32::new(seed);
        let (name, address, zone) = (settings.name.clone(), settings.address, settings.zone.clone());
        // A later process has a higher incarnation as long as clocks advance; otherwise it is told of the
        // earlier process's incarnation and exceeds that.
        let start_ms = now.since(Time::ORIGIN).ms().max(1.0) as u64;
        let incarnation =
            if settings.seeded_defect == Some(SeededDefect::LostIncarnation) { 1 } else { start_ms };
        let generation =
            start_ms << GENERATION_RANDOM_BITS | u64::from(rng.rand_u32() >> (32 - GENERATION_RANDOM_BITS));
        let local = MemberRecord {
            name,
            address,
            zone,
            state: MemberState::Alive,
            incarnation,
            generation,
            accuser: 0,
        };
        let member_count = MemberCount::new(settings.expected.unwrap_or(0).max(settings.instances), now);
        let last_seq = rng.rand_u32();
        Membership {
            settings,
            rng,
            now,
            local,
            others: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            indirect_pings: BTreeMap::new(),
            updates: UpdateQueue::default(),
            timers: BTreeMap::new(),
            timers_set: 0,
            requested_timer: None,
            last_seq,
            local_health: 0,
            announced: false,
            joined: false,
            leaving: false,
            conflict: None,
            address_claimant: (0, Time::ORIGIN),
            reported_dead_at: None,
            reconnect_target: None,
            join_attempts: 0,
            gossip_scheduled: false,
            member_count,
            totals: (1, 1, 0),
            log_allowance: (LOG_BURST_LINES, now),
            suppressed_lines: 0,
            view_changed: false,
            counts: Counts::default(),
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        let before = actions.len();
        match event {
            Event::Start => self.start(),
            Event::TimerExpired => self.run_timers(actions),
            Event::DatagramReceived(bytes, from) => self.receive_datagram(bytes, from, actions),
            Event::SendPeerMessage { member_index, bytes } => {
                let present = self.present_names();
                if let Some(to) = present.get(member_index % present.len().max(1)).cloned() {
                    self.send_to_member(&to, Body::PeerMessage { bytes }, 0, actions);
                }
            }
            Event::SendDutyMessage(to, message) => {
                // An excluded member holds no lease, and may only release what it held.
                if !self.is_excluded() || matches!(message, DutyMessage::Release { .. }) {
                    self.send(to, Body::Duty(message), 0, None, actions);
                }
            }
            Event::Leave => self.leave(actions),
        }
        self.update_member_count();
        if std::mem::take(&mut self.view_changed) {
            actions.push(Action::ViewChanged);
        }
        self.counts.sent +=
            actions[before..].iter().filter(|action| matches!(action, Action::Send { .. })).count() as u64;
        let first = self.timers.first_key_value().map(|((at, _), _)| *at);
        if let Some(at) = first.filter(|_| first != self.requested_timer) {
            self.requested_timer = first;
            actions.push(Action::SetTimer(at));
        }
    }

    pub(crate) fn set_timer(&mut self, after: Span, event: TimerEvent) {
        self.timers_set += 1;
        self.timers.insert((self.now + after, self.timers_set), event);
    }

    fn run_timers(&mut self, actions: &mut Vec<Action>) {
        self.requested_timer = None;
        let first = self.timers.first_key_value().map_or(self.now, |((at, _), _)| *at);
        let lateness = self.now.since(first);
        if lateness > PAUSE_THRESHOLD {
            self.handle_pause(lateness);
        }
        let last_number = self.timers_set;
        while let Some(first) = self.timers.first_entry() {
            let (at, number) = *first.key();
            if at > self.now || number > last_number {
                break;
            }
            let event = first.remove();
            self.handle_timer(event, actions);
        }
    }

    /// The process was not running: judgements of others are postponed by the length of the pause and a grace
    /// period.
    fn handle_pause(&mut self, pause: Span) {
        self.counts.pauses += 1;
        self.degrade_health(1);
        let (judging, rest) =
            std::mem::take(&mut self.timers).into_iter().partition(|(_, event)| event.judges());
        let judging: BTreeMap<(Time, u64), TimerEvent> = judging;
        self.timers = rest;
        let delay = pause + RESUME_GRACE;
        self.timers.extend(judging.into_iter().map(|((at, number), event)| ((at + delay, number), event)));
        for member in self.others.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                (suspicion.began, suspicion.until) = (suspicion.began + delay, suspicion.until + delay);
            }
        }
    }

    /// Worsens the local health score; each answered probe improves it by 1.
    pub(crate) fn degrade_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    pub(crate) fn scaled_by_health(&self, span: Span) -> Span {
        span.scaled(f64::from(1 + self.local_health))
    }

    fn handle_timer(&mut self, event: TimerEvent, actions: &mut Vec<Action>) {
        match event {
            TimerEvent::Probe => self.probe_next(actions),
            TimerEvent::IndirectProbe(seq) => self.probe_indirectly(seq, actions),
            TimerEvent::ProbeEnd(seq) => self.end_probe(seq, actions),
            TimerEvent::Nack(seq) => self.send_nack(seq, actions),
            TimerEvent::SuspicionEnd(_) if self.is_excluded() => {}
            TimerEvent::SuspicionEnd(name) => self.end_suspicion(&name, actions),
            TimerEvent::Gossip => self.run_gossip_round(actions),
            TimerEvent::StateExchange => self.exchange_state(actions),
            TimerEvent::Reconnect => self.reconnect(actions),
            TimerEvent::Join => self.join(actions),
            TimerEvent::Announce => self.announce(actions),
            TimerEvent::Challenge => self.challenge(actions),
            TimerEvent::Forget(name, incarnation) => {
                let unchanged = |member: &Member| {
                    !member.record.state.is_present() && member.record.incarnation == incarnation
                };
                if self.others.get(&name).is_some_and(unchanged) {
                    self.others.remove(&name);
                    self.update_totals();
                }
            }
        }
    }

    // Sending.

    /// Names of all other present members.
    pub(crate) fn present_names(&self) -> Vec<String> {
        let present = self.others.values().filter(|member| member.record.state.is_present());
        present.map(|member| member.record.name.clone()).collect()
    }

    /// Number of present members, including the proxy itself.
    pub fn present(&self) -> usize {
        self.totals.0
    }

    /// To be called whenever a member joins or changes its state.
    pub(crate) fn update_totals(&mut self) {
        let states = || self.others.values().map(|member| member.record.state);
        let present = states().filter(|state| state.is_present()).count();
        let suspects = states().filter(|state| *state == MemberState::Suspect).count();
        self.totals =
            (1 + present, 1 + states().filter(|state| *state != MemberState::Left).count(), suspects);
        self.view_changed = true;
    }

    /// Up to `count` random present members except one.
    pub(crate) fn random_members(&mut self, count: usize, except: &str) -> Vec<String> {
        let eligible = |member: &&Member| member.record.state.is_present() && member.record.name != except;
        let total = self.others.values().filter(eligible).count();
        let mut indices = std::collections::BTreeSet::new();
        while indices.len() < count.min(total) {
            indices.insert(self.rng.rand_range(0..total as u32) as usize);
        }
        let chosen =
            self.others.values().filter(eligible).enumerate().filter(|(index, _)| indices.contains(index));
        chosen.map(|(_, member)| member.record.name.clone()).collect()
    }

    /// A message without updates.
    pub(crate) fn envelope(&self, body: Body) -> Message {
        let mut sender = self.local.clone();
        if !self.announced {
            sender.incarnation = 0;
        }
        Message { fleet: self.settings.fleet.clone(), sender, body, updates: Vec::new() }
    }

    /// Sends to an address, with `first` and up to `max_updates` queued updates piggybacked.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        max_updates: usize,
        first: Option<MemberRecord>,
        actions: &mut Vec<Action>,
    ) {
        let mut message = self.envelope(body);
        let present = self.present();
        message.updates.extend(first);
        if max_updates > 0 && self.announced {
            let max_bytes = wire::remaining_bytes(&message);
            let name = message.updates.first().map(|record| record.name.clone());
            let queued = self.updates.take(max_bytes, max_updates, present);
            message.updates.extend(queued.into_iter().filter(|record| Some(&record.name) != name.as_ref()));
        }
        actions.push(Action::Send { to, bytes: wire::encode(&message) });
    }

    /// Sends to a member; a suspect or dead member is told of its state first, so that it can refute.
    pub(crate) fn send_to_member(
        &mut self,
        name: &str,
        body: Body,
        max_updates: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.others.get(name) else { return };
        let (to, known) = (member.record.address, member.record.clone());
        let first =
            Some(known).filter(|known| matches!(known.state, MemberState::Suspect | MemberState::Dead));
        self.send(to, body, max_updates, first, actions);
    }

    pub(crate) fn queue_update(&mut self, record: MemberRecord) {
        self.updates.add(record);
        if !self.gossip_scheduled {
            self.gossip_scheduled = true;
            self.set_timer(GOSSIP_INTERVAL, TimerEvent::Gossip);
        }
    }

    fn run_gossip_round(&mut self, actions: &mut Vec<Action>) {
        self.gossip_scheduled = false;
        self.gossip(GOSSIP_FANOUT, actions);
        if !self.updates.is_empty() && !self.others.is_empty() {
            self.gossip_scheduled = true;
            self.set_timer(GOSSIP_INTERVAL, TimerEvent::Gossip);
        }
    }

    pub(crate) fn gossip(&mut self, fanout: usize, actions: &mut Vec<Action>) {
        for name in self.random_members(fanout, "") {
            if self.updates.is_empty() {
                return;
            }
            self.send_to_member(&name, Body::Gossip, usize::MAX, actions);
        }
    }

    // Receiving.

    fn receive_datagram(&mut self, bytes: &[u8], from: SocketAddr, actions: &mut Vec<Action>) {
        let message = match wire::decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                let counts = &mut self.counts;
                *match error {
                    DecodeError::Foreign => &mut counts.foreign,
                    DecodeError::NewerVersion => &mut counts.newer,
                    DecodeError::Corrupted => &mut counts.corrupted,
                    DecodeError::UnknownKind => &mut counts.unknown_kind,
                    DecodeError::Invalid => &mut counts.invalid,
                } += 1;
                return;
            }
        };
        if message.fleet != self.settings.fleet {
            self.counts.other_fleet += 1;
            return;
        }
        self.counts.received += 1;
        let Message { sender, body, updates, .. } = message;
        let sent_by_self = sender.name == self.local.name && sender.generation == self.local.generation;
        if sent_by_self {
            // Sent to its own advertised address.
            if let Body::Duty(message) = body {
                return actions.push(Action::DutyMessage(sender, message));
            }
            return self.receive_own_ping(&body);
        }
        if self.is_excluded() {
            return self.receive_while_excluded(&sender, &body, actions);
        }
        if sender.name != self.local.name && sender.address == self.local.address {
            return self.receive_from_address_claimant(&sender, &body, from, actions);
        }
        // A sender that has not announced itself receives updates, but is not spread to others.
        if sender.incarnation > 0 {
            self.merge_update(sender.clone(), true, actions);
        }
        for record in updates {
            self.merge_update(record, false, actions);
        }
        self.handle_body(sender, body, from, actions);
    }

    fn handle_body(&mut self, sender: MemberRecord, body: Body, from: SocketAddr, actions: &mut Vec<Action>) {
        match body {
            Body::Ping { to, .. } if to != self.local.name => self.counts.misdirected += 1,
            Body::Ping { seq, .. } => {
                let known = self.others.get(&sender.name).map(|member| member.record.clone());
                let first =
                    known.filter(|known| matches!(known.state, MemberState::Suspect | MemberState::Dead));
                self.send(sender.address, Body::Ack { seq }, MAX_PIGGYBACKED, first, actions);
            }
            Body::Ack { seq } => self.receive_ack(seq, &sender, actions),
            Body::PingReq { seq, to, address } => self.ping_indirectly(&sender, seq, to, address, actions),
            Body::Nack { seq } => self.receive_nack(seq),
            Body::Gossip => {}
            Body::StateExchange { reply_requested, records } => {
                if reply_requested {
                    self.report_address_holder(&sender, from, actions);
                }
                self.receive_state(sender, reply_requested, records, actions);
            }
            Body::Duty(message) if sender.incarnation > 0 => {
                actions.push(Action::DutyMessage(sender, message))
            }
            Body::Duty(_) => {}
            Body::PeerMessage { bytes } => {
                let present =
                    self.others.get(&sender.name).is_some_and(|member| member.record.state.is_present());
                if present {
                    actions.push(Action::PeerMessage { from: sender.name, bytes });
                }
            }
        }
    }

    // Reporting.

    /// Identifies this process, see [`MemberRecord::generation`].
    pub fn generation(&self) -> u64 {
        self.local.generation
    }

    /// Writes a log line, with a bounded rate.
    pub(crate) fn log(&mut self, actions: &mut Vec<Action>, text: String) {
        let (allowance, at) = self.log_allowance;
        let allowance = (allowance + self.now.since(at).ms() / 1000.0 * LOG_LINES_PER_S).min(LOG_BURST_LINES);
        self.log_allowance = (allowance, self.now);
        if allowance < 1.0 {
            self.suppressed_lines += 1;
            return;
        }
        self.log_allowance.0 -= 1.0;
        let suppressed = std::mem::take(&mut self.suppressed_lines);
        let suffix = if suppressed > 0 {
            format!(" ({suppressed} earlier log lines suppressed)")
        } else {
            String::new()
        };
        actions.push(Action::Log(text + &suffix));
    }

    /// Usual number of members: the largest of the number of known members that have not left, the configured
    /// number, and, until another member has sent its state, the number of proxies in the configured tier.
    pub fn expected(&self) -> usize {
        let known = self.totals.1;
        let configured_tier = if self.joined { 0 } else { self.settings.instances };
        known.max(self.settings.expected.unwrap_or(0)).max(configured_tier)
    }

    fn update_member_count(&mut self) {
        // Suspects may be cut off already, so the divisor without them counts too: otherwise both sides of a
        // partition could take themselves for the majority.
        let (present, total) = (self.present(), self.expected());
        let target = share_divisor(present, total).max(share_divisor(present - self.totals.2, total));
        // A member that others declared dead is ignored by them: the members that it sees say nothing about
        // the shares that the others take. No effect at present, since `reported_dead_at` is never set.
        let ignored = self.reported_dead_at.is_some_and(|at| self.now.since(at) < REPORTED_DEAD_PERIOD);
        let target = if ignored { target.max(total as f64) } else { target };
        self.view_changed |= self.member_count.update(target, self.now);
    }

    /// The number by which the proxy divides what the tier shares.
    pub fn member_count(&self) -> usize {
        self.member_count.rounded()
    }

    pub fn view(&self, now: Time) -> View {
        let status = |record: &MemberRecord, since: Time| MemberStatus {
            name: record.name.clone(),
            address: record.address,
            zone: record.zone.clone(),
            state: record.state,
            incarnation: record.incarnation,
            state_age: now.since(since),
        };
        let mut members: Vec<MemberStatus> =
            self.others.values().map(|member| status(&member.record, member.state_since)).collect();
        members.push(status(&self.local, Time::ORIGIN));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let (present, expected) = (self.present(), self.expected());
        View {
            fleet: self.settings.fleet.clone(),
            local_name: self.local.name.clone(),
            members,
            present,
            expected,
            has_majority: present * 2 > expected,
            member_count: self.member_count(),
            excluded: self.is_excluded(),
        }
    }
}
