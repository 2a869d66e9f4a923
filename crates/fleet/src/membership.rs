//! Who is there: the machine that each proxy runs. It learns of others by their messages and by what is told of them, and
//! settles claims that contradict each other by the incarnation that only the member itself raises. After SWIM (Das, Gupta,
//! Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey 2018); what was kept is in `docs/design/fleet.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oorandom::Rand32;
use sparlug::time::{Span, Time};

use crate::duties::DutyMessage;
use crate::lifecycle::Claim;
use crate::member_count::{divide_by, MemberCount};
use crate::merge::Suspicion;
use crate::probing::{Probe, Relay};
use crate::updates::News;
use crate::view::{MemberStatus, View};
use crate::wire::{self, Bad, Body, Entry, Message, State};

pub(crate) const BEAT: Span = Span::from_millis(500); // between two probes of one's own
const GOSSIP: Span = Span::from_millis(200); // between two tellings of news that wait
pub(crate) const GOSSIP_TO: usize = 2;
const HEALTH_MOST: u32 = 8; // of the measure of one's own slowness
const SLEPT: Span = Span::from_millis(100); // later than that, a timer says that the process had not run
const WAKING: Span = Span::from_millis(250); // for what came meanwhile to be read, before anybody is judged
/// Others that are known at the most. Guards against forged claims filling the memory.
pub(crate) const MEMBERS_MOST: usize = 4096;
pub(crate) const RIDERS: usize = 8; // news that ride on a probe or its answer
const UNHEARD: Span = Span::from_millis(15_000); // after a word that others hold it dead
const LIFE_BITS: u32 = 20; // of chance in a life, below the milliseconds of its start
const LINES: f64 = 20.0; // of the log at once; and so many a second later
const LINES_PER_S: f64 = 2.0;

/// What a proxy is told of its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    pub fleet: String,
    pub name: String,
    /// What others are told.
    pub address: SocketAddr,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    /// How many proxies there usually are, if staff say.
    pub expected: Option<usize>,
    /// How many the file's tier has: counted until others were heard.
    pub instances: usize,
    /// A mistake that a search must find; `None` outside of tests.
    pub seeded_defect: Option<SeededDefect>,
}

/// A deliberate mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededDefect {
    /// Does not speak up against a suspicion.
    NoRefutation,
    /// Begins each life with the first incarnation, whatever it hears of an earlier one.
    LostIncarnation,
}

#[derive(Debug)]
pub enum Event<'a> {
    Start,
    /// It is at least as late as the last [`Action::SetTimer`] said.
    TimerExpired,
    /// Bytes, and where they came from: that proves nothing, and is a way to one that others can't reach.
    DatagramReceived(&'a [u8], SocketAddr),
    /// Says something to one of the others that are there, chosen by a number.
    SendPeerMessage {
        member_index: usize,
        bytes: Vec<u8>,
    },
    /// A letter about duties.
    SendDutyMessage(SocketAddr, DutyMessage),
    /// It will end soon, by order.
    Leave,
}

#[derive(Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Wants [`Event::Due`] then, and no longer when it had wanted it before.
    SetTimer(Time),
    Log(String),
    /// The view, or the number in force, is another.
    ViewChanged,
    /// A member that is there has said this.
    PeerMessage {
        from: String,
        bytes: Vec<u8>,
    },
    /// One of the fleet that has announced itself has sent a letter about duties.
    DutyMessage(Entry, DutyMessage),
}

/// What was not taken, and how often.
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
    /// Pings for somebody else.
    pub misdirected: u64,
    /// Claims of members beyond those that there is room for.
    pub over_capacity: u64,
    pub refuted: u64,
    pub declared_dead: u64,
    /// Times that it had not run for a while.
    pub pauses: u64,
}

#[derive(Debug)]
pub(crate) enum Due {
    Beat,
    /// No direct answer to a probe so far.
    Indirect(u32),
    /// The end of a probe.
    Verdict(u32),
    /// One that was pinged for another has not answered so far.
    Relay(u32),
    /// The end of a suspicion, unless it was moved.
    Suspicion(String),
    Gossip,
    Exchange,
    /// To the dead, and to seeds that are not there.
    Reach,
    Join,
    Announce,
    /// Whether another process has the own name or address.
    Challenge,
    Forget(String, u64),
}

impl Due {
    /// Whether it judges somebody: that must wait for what came while the process did not run.
    fn judges(&self) -> bool {
        matches!(
            self,
            Due::Indirect(_) | Due::Verdict(_) | Due::Suspicion(_) | Due::Relay(_) | Due::Challenge
        )
    }
}

#[derive(Debug)]
pub(crate) struct Member {
    pub entry: Entry,
    pub since: Time,
    pub suspicion: Option<Suspicion>,
    /// When it was last told, out of turn, how it is held.
    pub told: Time,
}

pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) rng: Rand32,
    pub(crate) now: Time,
    pub(crate) me: Entry,
    /// All others that were ever heard of and not forgotten.
    pub(crate) others: BTreeMap<String, Member>,
    /// Whom to probe next, in a random order that all come up in.
    pub(crate) order: Vec<String>,
    pub(crate) probe: Option<Probe>,
    pub(crate) relays: BTreeMap<u32, Relay>,
    pub(crate) news: News,
    due: BTreeMap<(Time, u64), Due>,
    set: u64,
    wakes: Option<Time>,
    pub(crate) seq: u32,
    /// How slow the proxy itself has shown to be, from 0 on; it slows its own accusations.
    pub(crate) health: u32,
    pub(crate) announced: bool,
    /// Another member has sent its table.
    pub(crate) joined: bool,
    pub(crate) leaving: bool,
    pub(crate) claim: Option<Claim>,
    /// Who has said that it is at the own address: its life, and when it was last told who is.
    pub(crate) namesake: (u64, Time),
    /// When it last heard that others hold it dead.
    pub(crate) told_dead: Option<Time>,
    /// Who was reached for last: its answer is answered once.
    pub(crate) reached: Option<SocketAddr>,
    pub(crate) joins: u32,
    gossips: bool,
    member_count: MemberCount,
    /// How many are there, the proxy itself among them; how many are known that have not left; how many are suspected.
    census: (usize, usize, usize),
    lines: (f64, Time),
    unsaid: u64,
    pub(crate) changed: bool,
    pub counts: Counts,
}

impl Membership {
    /// `seed` draws its life and its choices; `now` is its own clock, whose origin is the same for all lives of a name.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Membership {
        let mut rng = Rand32::new(seed);
        let (name, address, zone) = (settings.name.clone(), settings.address, settings.zone.clone());
        // A later life has a higher one, as long as clocks go forward; if not, it is told of the earlier one and goes
        // above that.
        let first = now.since(Time::ORIGIN).ms().max(1.0) as u64;
        let incarnation =
            if settings.seeded_defect == Some(SeededDefect::LostIncarnation) { 1 } else { first };
        let generation = first << LIFE_BITS | u64::from(rng.rand_u32() >> (32 - LIFE_BITS));
        let me = Entry { name, address, zone, state: State::Alive, incarnation, generation, by: 0 };
        let member_count = MemberCount::new(settings.expected.unwrap_or(0).max(settings.instances), now);
        let seq = rng.rand_u32();
        Membership {
            settings,
            rng,
            now,
            me,
            others: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            news: News::default(),
            due: BTreeMap::new(),
            set: 0,
            wakes: None,
            seq,
            health: 0,
            announced: false,
            joined: false,
            leaving: false,
            claim: None,
            namesake: (0, Time::ORIGIN),
            told_dead: None,
            reached: None,
            joins: 0,
            gossips: false,
            member_count,
            census: (1, 1, 0),
            lines: (LINES, now),
            unsaid: 0,
            changed: false,
            counts: Counts::default(),
        }
    }

    /// Takes one event and appends what is to be done about it now.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        let before = out.len();
        match event {
            Event::Start => self.start(),
            Event::TimerExpired => self.all_due(out),
            Event::DatagramReceived(bytes, from) => self.heard(bytes, from, out),
            Event::SendPeerMessage { member_index, bytes } => {
                let there = self.there();
                if let Some(to) = there.get(member_index % there.len().max(1)).cloned() {
                    self.send_to(&to, Body::Word { bytes }, 0, out);
                }
            }
            Event::SendDutyMessage(to, letter) => {
                // One that keeps out holds nothing, and gives back what it held.
                if !self.is_excluded() || matches!(letter, DutyMessage::Release { .. }) {
                    self.send(to, Body::Duty(letter), 0, None, out);
                }
            }
            Event::Leave => self.leave(out),
        }
        self.count();
        if std::mem::take(&mut self.changed) {
            out.push(Action::ViewChanged);
        }
        self.counts.sent +=
            out[before..].iter().filter(|action| matches!(action, Action::Send { .. })).count() as u64;
        let first = self.due.first_key_value().map(|((at, _), _)| *at);
        if let Some(at) = first.filter(|_| first != self.wakes) {
            self.wakes = first;
            out.push(Action::SetTimer(at));
        }
    }

    pub(crate) fn set(&mut self, after: Span, due: Due) {
        self.set += 1;
        self.due.insert((self.now + after, self.set), due);
    }

    fn all_due(&mut self, out: &mut Vec<Action>) {
        self.wakes = None;
        let first = self.due.first_key_value().map_or(self.now, |((at, _), _)| *at);
        let slept = self.now.since(first);
        if slept > SLEPT {
            self.slept(slept);
        }
        let before = self.set;
        while let Some(first) = self.due.first_entry() {
            let (at, number) = *first.key();
            if at > self.now || number > before {
                break;
            }
            let due = first.remove();
            self.act(due, out);
        }
    }

    /// The process did not run: what it would judge now counts from here, and a bit more.
    fn slept(&mut self, slept: Span) {
        self.counts.pauses += 1;
        self.ail(1);
        let (judging, rest) = std::mem::take(&mut self.due).into_iter().partition(|(_, due)| due.judges());
        let judging: BTreeMap<(Time, u64), Due> = judging;
        self.due = rest;
        let more = slept + WAKING;
        self.due.extend(judging.into_iter().map(|((at, number), due)| ((at + more, number), due)));
        for member in self.others.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                (suspicion.began, suspicion.until) = (suspicion.began + more, suspicion.until + more);
            }
        }
    }

    /// The measure of one's own slowness goes up; it comes down with each probe that is answered.
    pub(crate) fn ail(&mut self, by: u32) {
        self.health = (self.health + by).min(HEALTH_MOST);
    }

    pub(crate) fn slowed(&self, span: Span) -> Span {
        span.scaled(f64::from(1 + self.health))
    }

    fn act(&mut self, due: Due, out: &mut Vec<Action>) {
        match due {
            Due::Beat => self.beat(out),
            Due::Indirect(seq) => self.ask_others(seq, out),
            Due::Verdict(seq) => self.verdict(seq, out),
            Due::Relay(seq) => self.relay_late(seq, out),
            Due::Suspicion(_) if self.is_excluded() => {}
            Due::Suspicion(name) => self.suspicion_over(&name, out),
            Due::Gossip => self.gossip_due(out),
            Due::Exchange => self.exchange(out),
            Due::Reach => self.reach(out),
            Due::Join => self.join(out),
            Due::Announce => self.announce(out),
            Due::Challenge => self.challenge(out),
            Due::Forget(name, incarnation) => {
                let still = |member: &Member| {
                    !member.entry.state.is_present() && member.entry.incarnation == incarnation
                };
                if self.others.get(&name).is_some_and(still) {
                    self.others.remove(&name);
                    self.recount();
                }
            }
        }
    }

    // What is sent.

    /// Names of all others that are there.
    pub(crate) fn there(&self) -> Vec<String> {
        let there = self.others.values().filter(|member| member.entry.state.is_present());
        there.map(|member| member.entry.name.clone()).collect()
    }

    /// How many are there, with the proxy itself.
    pub fn alive(&self) -> usize {
        self.census.0
    }

    /// Somebody has come or gone.
    pub(crate) fn recount(&mut self) {
        let states = || self.others.values().map(|member| member.entry.state);
        let there = states().filter(|state| state.is_present()).count();
        let suspects = states().filter(|state| *state == State::Suspect).count();
        self.census = (1 + there, 1 + states().filter(|state| *state != State::Left).count(), suspects);
        self.changed = true;
    }

    /// Some of those that are there, at random.
    pub(crate) fn some(&mut self, count: usize, but: &str) -> Vec<String> {
        let fit = |member: &&Member| member.entry.state.is_present() && member.entry.name != but;
        let all = self.others.values().filter(fit).count();
        let mut places = std::collections::BTreeSet::new();
        while places.len() < count.min(all) {
            places.insert(self.rng.rand_range(0..all as u32) as usize);
        }
        let fit = self.others.values().filter(fit).enumerate().filter(|(place, _)| places.contains(place));
        fit.map(|(_, member)| member.entry.name.clone()).collect()
    }

    pub(crate) fn bare(&self, body: Body) -> Message {
        let mut sender = self.me.clone();
        if !self.announced {
            sender.incarnation = 0;
        }
        Message { fleet: self.settings.fleet.clone(), sender, body, news: Vec::new() }
    }

    /// Sends to an address, with so many of the news that wait.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        riders: usize,
        first: Option<Entry>,
        out: &mut Vec<Action>,
    ) {
        let mut message = self.bare(body);
        let alive = self.alive();
        message.news.extend(first);
        if riders > 0 && self.announced {
            let room = wire::room(&message);
            let name = message.news.first().map(|entry| entry.name.clone());
            let more = self.news.take(room, riders, alive);
            message.news.extend(more.into_iter().filter(|entry| Some(&entry.name) != name.as_ref()));
        }
        out.push(Action::Send { to, bytes: wire::encode(&message) });
    }

    /// Sends to a member; one that is suspected, or held dead, is told so first, so that it can speak up.
    pub(crate) fn send_to(&mut self, name: &str, body: Body, riders: usize, out: &mut Vec<Action>) {
        let Some(member) = self.others.get(name) else { return };
        let (to, held) = (member.entry.address, member.entry.clone());
        let first = Some(held).filter(|held| matches!(held.state, State::Suspect | State::Dead));
        self.send(to, body, riders, first, out);
    }

    pub(crate) fn spread(&mut self, entry: Entry) {
        self.news.add(entry);
        if !self.gossips {
            self.gossips = true;
            self.set(GOSSIP, Due::Gossip);
        }
    }

    fn gossip_due(&mut self, out: &mut Vec<Action>) {
        self.gossips = false;
        self.gossip(GOSSIP_TO, out);
        if !self.news.is_empty() && !self.others.is_empty() {
            self.gossips = true;
            self.set(GOSSIP, Due::Gossip);
        }
    }

    pub(crate) fn gossip(&mut self, to: usize, out: &mut Vec<Action>) {
        for name in self.some(to, "") {
            if self.news.is_empty() {
                return;
            }
            self.send_to(&name, Body::Gossip, usize::MAX, out);
        }
    }

    // What is heard.

    fn heard(&mut self, bytes: &[u8], from: SocketAddr, out: &mut Vec<Action>) {
        let message = match wire::decode(bytes) {
            Ok(message) => message,
            Err(bad) => {
                let counts = &mut self.counts;
                *match bad {
                    Bad::Foreign => &mut counts.foreign,
                    Bad::Newer => &mut counts.newer,
                    Bad::Garbled => &mut counts.corrupted,
                    Bad::UnknownKind => &mut counts.unknown_kind,
                    Bad::Senseless => &mut counts.invalid,
                } += 1;
                return;
            }
        };
        if message.fleet != self.settings.fleet {
            self.counts.other_fleet += 1;
            return;
        }
        self.counts.received += 1;
        let Message { sender, body, news, .. } = message;
        let mine = sender.name == self.me.name && sender.generation == self.me.generation;
        if mine {
            // It comes back by the address that it tells others.
            if let Body::Duty(letter) = body {
                return out.push(Action::DutyMessage(sender, letter));
            }
            return self.echoed(&body);
        }
        if self.is_excluded() {
            return self.heard_outside(&sender, &body, out);
        }
        if sender.name != self.me.name && sender.address == self.me.address {
            return self.heard_namesake(&sender, &body, from, out);
        }
        // One that has not announced itself is told of others, and others are told nothing of it.
        if sender.incarnation > 0 {
            self.hear(sender.clone(), true, out);
        }
        for entry in news {
            self.hear(entry, false, out);
        }
        self.body(sender, body, from, out);
    }

    fn body(&mut self, sender: Entry, body: Body, from: SocketAddr, out: &mut Vec<Action>) {
        match body {
            Body::Ping { to, .. } if to != self.me.name => self.counts.misdirected += 1,
            Body::Ping { seq, .. } => {
                let held = self.others.get(&sender.name).map(|member| member.entry.clone());
                let first = held.filter(|held| matches!(held.state, State::Suspect | State::Dead));
                self.send(sender.address, Body::Ack { seq }, RIDERS, first, out);
            }
            Body::Ack { seq } => self.acked(seq, &sender, out),
            Body::PingFor { seq, to, address } => self.ping_for(&sender, seq, to, address, out),
            Body::Nack { seq } => self.nacked(seq),
            Body::Gossip => {}
            Body::Table { ask, entries } => {
                if ask {
                    self.tell_who_is_there(&sender, from, out);
                }
                self.table(sender, ask, entries, out);
            }
            Body::Duty(letter) if sender.incarnation > 0 => out.push(Action::DutyMessage(sender, letter)),
            Body::Duty(_) => {}
            Body::Word { bytes } => {
                let there =
                    self.others.get(&sender.name).is_some_and(|member| member.entry.state.is_present());
                if there {
                    out.push(Action::PeerMessage { from: sender.name, bytes });
                }
            }
        }
    }

    // What is seen of it.

    /// Of this process its own.
    pub fn generation(&self) -> u64 {
        self.me.generation
    }

    /// A line of the log, a bounded number of them.
    pub(crate) fn say(&mut self, out: &mut Vec<Action>, text: String) {
        let (left, at) = self.lines;
        let left = (left + self.now.since(at).ms() / 1000.0 * LINES_PER_S).min(LINES);
        self.lines = (left, self.now);
        if left < 1.0 {
            self.unsaid += 1;
            return;
        }
        self.lines.0 -= 1.0;
        let unsaid = std::mem::take(&mut self.unsaid);
        let more = if unsaid > 0 { format!(" ({unsaid} changes before went unsaid)") } else { String::new() };
        out.push(Action::Log(text + &more));
    }

    /// How many there usually are.
    pub fn expected(&self) -> usize {
        let known = self.census.1;
        let file = if self.joined { 0 } else { self.settings.instances };
        known.max(self.settings.expected.unwrap_or(0)).max(file)
    }

    fn count(&mut self) {
        // Who is suspected may be cut off already: guards against two that both take themselves for the larger part.
        let (there, whole) = (self.alive(), self.expected());
        let wanted = divide_by(there, whole).max(divide_by(there - self.census.2, whole));
        // Who hears that it is held dead is not heard: what it sees itself says nothing of what others take.
        let unheard = self.told_dead.is_some_and(|at| self.now.since(at) < UNHEARD);
        let wanted = if unheard { wanted.max(whole as f64) } else { wanted };
        self.changed |= self.member_count.update(wanted, self.now);
    }

    /// By how many the proxy divides what all share.
    pub fn member_count(&self) -> usize {
        self.member_count.whole()
    }

    pub fn view(&self, now: Time) -> View {
        let seen = |entry: &Entry, since: Time| MemberStatus {
            name: entry.name.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            state: entry.state,
            incarnation: entry.incarnation,
            state_age: now.since(since),
        };
        let mut members: Vec<MemberStatus> =
            self.others.values().map(|member| seen(&member.entry, member.since)).collect();
        members.push(seen(&self.me, Time::ORIGIN));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let (alive, expected) = (self.alive(), self.expected());
        View {
            fleet: self.settings.fleet.clone(),
            local_name: self.me.name.clone(),
            members,
            alive,
            expected,
            has_majority: alive * 2 > expected,
            member_count: self.member_count(),
            excluded: self.is_excluded(),
        }
    }
}
