//! All decisions of an instance: where a request goes, when it waits, when it is refused.
//! Make one [`Balancer`] with the instance's settings, then hand it every event in order; it appends what is
//! to be done. The ordinary path is the design of `docs/design.md`, which tells what stands beside it.
//!
//! Each backend is an actor, and so are the tier's limit and the desk that holds the requests. They change
//! each other only by notes, which one loop, in [`Balancer::handle`], hands out; `state.rs` has their memory.

use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

use oorandom::Rand32;

use crate::backend_sampler::BackendSampler;
use crate::event::{
    Action, AttemptEnd, BackendNote, Condition, Event, Listing, Outcome, Reason, Request, TierNote,
};
use crate::id::{AttemptNo, BackendId, PeerId, RequestId, TimerId};
use crate::peer_message::{decode, encode};
use crate::settings::{Effect, Group, Settings};
use crate::state::{all_barred, census, left_out, words, Backend, Desk, Held, Tier};
use crate::stats::Mean;
use crate::time::{Span, Time};

#[cfg(test)]
mod tests;

const TICK: Span = Span::from_millis(250); // the limit's update interval
const TICKS_PER_S: f64 = 4.0;
const WINDOW: Span = Span::from_millis(2000); // a window of samples is at least this long
const WINDOW_SAMPLES: usize = 50; // and this full
const WINDOW_MOST: Span = Span::from_millis(30_000); // and holds nothing older
const SMOOTHING: f64 = 0.2; // weight of a new window in the smoothed p90
const CORRELATED: usize = 50; // update intervals over which in flight and throughput are compared
const CORRELATION: f64 = 2.1; // times the root of the intervals: what chance alone hardly brings
const LATE: f64 = 0.1; // above this part of samples not in time the limit falls
const CALLS_LEAST: f64 = 2.0; // for each ready backend, of all instances together
const CALLS_START: f64 = 4.0;
const CALLS_MOST: f64 = 6.0;
const LIMIT_FLOOR: f64 = 4.0;
const PRESSURE: f64 = 3.0; // how much what backends report counts against the limit, at LATE
const BAND_CHANCE: f64 = 2.0; // above this multiple of the limit refusals begin
const BAND_ALL: f64 = 3.0; // above this one nothing is taken
const NEED: f64 = 1.5; // time left for an answer, in p90, under which waiting ends
const RETRY_SHARE: f64 = 0.1; // repeats of what may have run, for each first attempt
const RETRY_MOST: f64 = 10.0; // and the most that are saved up
const STRIKES_OUT: f64 = 2.0; // strikes in a row that put a backend out
const WORD_FADE: f64 = 5000.0; // ms in which a word of a backend fades
const PRIOR: f64 = 4.0; // own attempts that what is known of the zone, or the tier, counts as
const FADE: f64 = 0.98; // what failed is forgotten by so much an update interval
const OUT_MOST: f64 = 0.34; // part of the ready that may be out, so that the rest is not overrun
const OUT_FIRST: Span = Span::from_millis(1000); // how long a backend is out at first
const OUT_DOUBLINGS: u32 = 3; // and how often that doubles
const ASK_PRICE: f64 = 0.005; // the highest price of a check at which reports are asked for
const CROSSING: f64 = 0.25; // calls that crossing zones counts as, where it has a price
const UNSEEN: f64 = 0.5; // and of the mean nearby, for a backend that does not report
const KEYS_FADE: f64 = 0.97; // what part of what is known of keys stays from one update to the next
const SELDOM: f64 = 5.0; // more answers' times, in a large crowd, in which a report loses its weight
const SPREAD: f64 = 2.5; // homes of a key, for each part of the traffic that a backend's even share is
const MOVED: f64 = 0.4; // calls that it counts as to go where a key is not known
const SHARED: f64 = 3.0; // instances that share a backend, where there are many
const PART_LEAST: f64 = 6.0; // and the fewest backends that an instance keeps to
const PATIENCE: f64 = 0.05; // part of the latency target for which reports are waited for
const UNSENT: Span = Span::from_millis(50); // for which silence says nothing, once this machine could not send
const MARK_TICK: TimerId = TimerId(u64::MAX);
const MARK_WATCH: TimerId = TimerId(u64::MAX - 1);
const MARK_ASKED: TimerId = TimerId(u64::MAX - 2);

/// What a backend finds around it when it reads a note, and where it leaves its own.
struct Around<'a> {
    now: Time,
    tier: &'a Tier,
    settings: &'a Settings,
    chance: f64,
    tier_inbox: &'a mut Vec<TierNote>,
    out: &'a mut Vec<Action>,
}

impl Backend {
    fn ready(&self, now: Time, settings: &Settings) -> bool {
        let free = match self.out {
            None => self.cap.is_none_or(|cap| self.holds() < cap),
            Some(until) => now >= until && self.in_flight < 1.0,
        };
        let bears = self.credit >= 1.0 || settings.slow_start.capacity_ratio(self.started(), now) >= 1.0;
        self.listing.condition == Condition::Ready && free && bears && now >= self.full_until
    }

    fn act(&mut self, note: BackendNote, around: &mut Around) {
        match note {
            BackendNote::Listed(listing) => {
                let fresh = listing.started != self.listing.started || self.heard == Time::default();
                self.listing = listing;
                if fresh {
                    self.begin_anew(None, around);
                }
            }
            BackendNote::Back => self.begin_anew(Some(around.now), around),
            BackendNote::Sent => {
                self.heard = if self.in_flight < 1.0 { around.now } else { self.heard };
                self.in_flight += 1.0;
                self.credit -= 1.0;
            }
            BackendNote::Broke => self.judge(1.0, around),
            BackendNote::Unsent => self.heard = self.heard.max(around.now + UNSENT),
            BackendNote::Began(took) => self.sample(took, true, true, around),
            BackendNote::Ended(e, _) if e.precedes(&self.listing, around.now) => self.in_flight -= 1.0,
            BackendNote::Ended(ended, sample) => self.ended(&ended, sample, around),
            BackendNote::Checked(outcome, load) => {
                self.report(load, around.now);
                // Guards against a request being spent to learn of a backend that can't be reached.
                if outcome == Outcome::ConnectFailed {
                    self.judge(1.0, around);
                    self.put_out("not reached", around);
                }
            }
            BackendNote::Told(word) => self.hear(word, around.now),
            BackendNote::Tick => self.tick(around),
        }
        // Guards against a hung backend's attempts using up the limit: while it is out they do not count.
        let counts = if self.out.is_some() { 0.0 } else { self.holds() };
        around.tier_inbox.push(TierNote::Holds(counts - self.counted));
        self.counted = counts;
    }

    /// Forgets what was learnt of it.
    fn begin_anew(&mut self, back: Option<Time>, around: &Around) {
        let (listing, in_flight, counted, heard) = (self.listing, self.in_flight, self.counted, around.now);
        *self = Backend { listing, back, in_flight, counted, heard, ..Backend::default() };
        if around.settings.slow_start.capacity_ratio(self.started(), around.now) < 1.0 {
            // Guards against a start that all instances hear of at once: each begins at its own time. Staff
            // call one instance after the other, and see each use the backend again soon.
            (self.cap, self.credit) = (Some(1.0), if back.is_some() { 1.0 } else { around.chance });
        }
    }

    fn sample(&mut self, latency: Span, in_time: bool, seen: bool, around: &mut Around) {
        self.heard = around.now;
        // Guards against a hung backend moving the limit: once it is out, it says nothing about the others.
        if self.out.is_none() {
            around.tier_inbox.push(TierNote::Sample(latency, in_time, seen));
        }
    }

    fn tick(&mut self, around: &mut Around) {
        // Guards against a cold backend being pushed over by all instances together: each sends it its part
        // of what its warmth bears, measured by what its peers carry.
        let cold = &around.settings.slow_start;
        let floor = 2.0 / (around.settings.instances as f64 * (cold.overload_window.ms() / 1000.0).max(0.1));
        let bears =
            cold.capacity_ratio(self.started(), around.now) * cold.overload_ratio * 0.5 * around.tier.rate;
        self.credit = (self.credit + bears.max(floor) / TICKS_PER_S).min(1.5);
        self.ghosts.retain(|until| *until > around.now);
        self.tally.fade(FADE);
        // What was slow is forgotten with time, so that it is tried again.
        self.took.add(around.tier.took.or(0.0), 0.01);
        if self.in_flight > 0.0 && around.now.since(self.heard).ms() > 3.0 * around.tier.latency.or(1000.0) {
            self.put_out("silent", around);
        }
    }

    fn ended(&mut self, e: &AttemptEnd, sample: Option<(Span, bool)>, around: &mut Around) {
        self.report(e.load, around.now); // first: it still counts the attempt with whose answer it came
        self.in_flight -= 1.0;
        let served = e.outcome == Outcome::Served;
        if let Some((latency, in_time)) = sample {
            self.sample(latency, in_time, e.outcome != Outcome::TimedOut, around);
        }
        if matches!(e.outcome, Outcome::TimedOut | Outcome::Cancelled) && self.others.is_none() {
            // Guards against unseen work: a time-out may not stop it; where no report tells, it still counts.
            self.ghosts.push(around.now + e.took.scaled(2.0));
        }
        if matches!(e.outcome, Outcome::Full | Outcome::ConnectFailed) {
            // Guards against a storm of attempts at what looks idle as it takes none: it rests a while.
            self.full_until = around.now + Span::from_ms(around.tier.took.or(0.0) * (0.5 + around.chance));
        }
        if e.outcome.is_neutral() {
            return;
        }
        self.heard = around.now;
        self.judge(if served { 0.0 } else { 1.0 }, around);
        if served {
            self.strikes = 0.0;
            self.took.add(e.took.ms(), 0.2);
            self.cap = self.cap.map(|cap| cap + 1.0 / cap);
            self.credit = (self.credit + 1.0).min(1.5);
            if self.out.take().is_some() {
                (self.cap, self.outs) = (Some(1.0), 0);
                around.out.push(Action::Log(format!("{} back in, took {:.0}", e.backend, e.took.ms())));
            }
            return;
        }
        // Guards against blaming one backend for what all suffer, such as errors from the tier below.
        let blame = (1.0 - 3.0 * around.tier.failing).max(0.0);
        self.strikes += match e.outcome {
            Outcome::ConnectFailed => STRIKES_OUT,
            Outcome::TimedOut => 0.5 * blame,
            _ => blame,
        };
        if self.strikes >= STRIKES_OUT || self.out.is_some() {
            self.put_out("failing", around);
        }
    }

    fn judge(&mut self, failed: f64, around: &mut Around) {
        self.tally.add(failed);
        let known = self.word(around.now, around.tier, PRIOR, WORD_FADE);
        self.word = Some((around.now, known + (failed - known) * 0.3));
        around.tier_inbox.push(TierNote::Verdict(failed, self.listing.zone));
    }

    fn put_out(&mut self, why: &str, around: &mut Around) {
        if self.out.is_none() {
            if around.tier.ready_and_out.1 + 1.0 > (OUT_MOST * around.tier.ready_and_out.0).round() {
                return;
            }
            let said = format!("strikes {:.1}, tier failing {:.2}", self.strikes, around.tier.failing);
            around.out.push(Action::Log(format!("{} out, {why}: {said}", self.listing.backend)));
        }
        let times = f64::from(1 << self.outs.min(OUT_DOUBLINGS)) * (0.75 + 0.5 * around.chance);
        self.outs += 1;
        self.out = Some(around.now + OUT_FIRST.scaled(times));
    }
}

impl Tier {
    /// What this instance may have in flight. Guards against bursts of a few being held up in a large crowd.
    fn own_limit(&self) -> f64 {
        (self.limit / self.crowd.max(1.0)).max(LIMIT_FLOOR)
    }

    fn act(&mut self, note: TierNote, now: Time, settings: &Settings) {
        match note {
            TierNote::Holds(more) => self.in_flight += more,
            TierNote::Verdict(failed, zone) => {
                self.failing += (failed - self.failing) * 0.05;
                self.zones.entry(zone).or_default().add(failed);
            }
            TierNote::Sample(took, in_time, seen) => {
                self.samples.add(now, took.ms(), seen);
                self.late = Mean::of(self.late.or(LATE)); // what is not known yet is not taken for good
                self.late.add(f64::from(u8::from(!in_time)), 0.05);
                if in_time {
                    self.answers += 1.0;
                    self.took.add(took.ms(), 0.05);
                }
            }
            TierNote::Tick { ready, out, others, middle, size } => {
                (self.ready_and_out, self.others, self.middle, self.size) =
                    ((ready, out), others, middle, size);
                self.zones.values_mut().for_each(|tally| tally.fade(FADE));
                self.rate += (self.answers * TICKS_PER_S / ready.max(1.0) - self.rate) * 0.05;
                self.intervals.add(self.in_flight, take(&mut self.answers), CORRELATED);
                // Where instances outnumber backends, the limit is that of what all have at one of these.
                self.crowd = (settings.instances as f64 / ready.max(1.0)).max(0.01);
                let crowd = self.crowd;
                let of_ready = |calls: f64| (calls / crowd.min(1.0)).max(LIMIT_FLOOR / crowd.max(1.0));
                self.limit = if self.limit == 0.0 { of_ready(CALLS_START) } else { self.limit };
                self.update(now, of_ready(CALLS_START));
                self.limit = self.limit.clamp(of_ready(CALLS_LEAST), of_ready(CALLS_MOST));
            }
        }
    }

    fn update(&mut self, now: Time, start: f64) {
        let full = (WINDOW_SAMPLES as f64 / self.crowd.max(1.0)) as usize;
        let Some((p90, answered)) = self.samples.p90(now, WINDOW, WINDOW_MOST, full) else {
            // Guards against an instance with few calls being stuck at a low limit: it rises while unjudged.
            self.limit += if self.limit < start { 1.0 / TICKS_PER_S } else { 0.0 };
            return;
        };
        self.p90.add(p90, SMOOTHING);
        self.answered.add(answered, SMOOTHING);
        let log = self.limit.log10();
        // Guards against attempts lost whatever the load: unless answers show a queue, time-outs say nothing.
        let jammed = self.queued(self.answered) >= 3.0 * log;
        self.latency = if jammed { self.p90 } else { self.answered };
        // Guards against a baseline that was set in a jam, from which the limit would never come down again.
        let lower = self.latency.or(0.0) < self.baseline.or(f64::INFINITY);
        if lower || self.failing < 0.1 && self.intervals.strength() > CORRELATION {
            self.baseline = self.latency;
        }
        let queued = self.queued(self.latency);
        // Guards against a target so near that latency can't grow past it: much lateness is a queue, if any.
        if queued > 6.0 * log || self.late.or(0.0) > LATE && queued > 1.5 * log {
            self.limit -= log.max(1.0);
        } else if queued < 3.0 * log {
            self.limit += log.max(1.0);
        }
    }
}

pub struct Balancer {
    settings: Settings,
    rng: Rand32,
    now: Time,
    backends: BTreeMap<BackendId, Backend>,
    barred: BTreeSet<BackendId>, // by hand, whatever the list says
    mail: Vec<BackendId>,        // whose inboxes are not empty
    sampler: BackendSampler,     // all of them; empty when it is to be made anew
    tier: Tier,
    tier_inbox: Vec<TierNote>,
    desk: Desk,
    list_failures: u32,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Time, out: &mut Vec<Action>) -> Balancer {
        let mut rng = Rand32::new(seed);
        out.push(Action::SetTimer { after: Span::ZERO, id: MARK_TICK });
        if settings.list_on_request {
            let after = Span::from_millis(1500).scaled(rng.rand_float().into());
            out.push(Action::SetTimer { after, id: MARK_WATCH });
        }
        let desk = Desk::new(&settings, RETRY_MOST / 2.0);
        let (backends, barred, mail, sampler, tier, tier_inbox, list_failures) = Default::default();
        Balancer {
            settings,
            rng,
            now,
            backends,
            barred,
            mail,
            sampler,
            tier,
            tier_inbox,
            desk,
            list_failures,
        }
    }

    /// Takes one event and appends what is to be done about it now.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.desk.inbox.push_back(event);
        // Empties the inboxes. The desk sends one request at a time, so that the next pick knows of it.
        loop {
            let (now, settings, tier_inbox) = (self.now, &self.settings, &mut self.tier_inbox);
            let chance = self.rng.rand_float().into();
            let mut around = Around { now, tier: &self.tier, settings, chance, tier_inbox, out };
            for id in take(&mut self.mail) {
                let Some(backend) = self.backends.get_mut(&id) else { continue };
                take(&mut backend.inbox).into_iter().for_each(|note| backend.act(note, &mut around));
            }
            for note in take(&mut self.tier_inbox) {
                self.tier.act(note, now, settings);
            }
            match self.desk.inbox.pop_front() {
                Some(event) => self.act(event, out),
                None if !self.serve(out) => return,
                None => {}
            }
        }
    }

    fn tell(&mut self, id: BackendId, note: BackendNote) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.inbox.push(note);
            self.mail.push(id);
        }
    }

    fn list(&mut self, whole: bool, listings: &[Listing]) {
        self.list_failures = 0;
        self.sampler = BackendSampler::default();
        let left = self.backends.values().filter(|_| whole);
        let left: Vec<_> = left.map(|b| Listing { condition: Condition::Gone, ..b.listing }).collect();
        for listing in left.iter().chain(listings) {
            self.backends.entry(listing.backend).or_default().listing.backend = listing.backend;
            self.tell(listing.backend, BackendNote::Listed(*listing));
        }
    }

    fn bar(&mut self, backend: BackendId, barred: bool, out: &mut Vec<Action>) {
        self.sampler = BackendSampler::default();
        if barred && self.barred.insert(backend) {
            out.push(Action::Withdraw { backend });
        } else if !barred && self.barred.remove(&backend) {
            // It may have restarted meanwhile: guards against pushing it over, and old judgement.
            self.tell(backend, BackendNote::Back);
            out.push(Action::CloseIdle { backend });
        }
    }

    /// What staff have left out.
    pub fn disabled(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.barred.iter().copied()
    }

    /// How many backends of the list get nothing now, by hand or because they fail.
    pub fn excluded_count(&self) -> usize {
        left_out(&self.backends, &self.barred)
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK, id: MARK_TICK });
        let before = self.backends.len();
        self.backends.retain(|_, b| b.listing.condition != Condition::Gone || b.holds() > 0.0);
        let moved = self.backends.len() < before;
        self.sampler = if moved { BackendSampler::default() } else { take(&mut self.sampler) };
        self.desk.keys.fade(KEYS_FADE);
        out.extend(self.gossip());
        self.mail = self.backends.keys().copied().collect();
        self.backends.values_mut().for_each(|backend| backend.inbox.push(BackendNote::Tick));
        let open = self.backends.iter().filter(|(id, _)| !self.barred.contains(id));
        self.tier_inbox.push(census(open.map(|(_, backend)| backend), self.now));
        self.desk.refill(&self.settings, TICKS_PER_S);
        out.extend(self.desk.tell_mode(self.load(), BAND_CHANCE, &self.tier).map(Action::Log));
    }

    /// In flight and waiting, in multiples of the limit.
    fn load(&self) -> f64 {
        (self.tier.in_flight + self.desk.waiting()) / self.tier.own_limit()
    }

    /// The same where instances outnumber backends: by what these report, the more so the more is late.
    fn reported(&mut self, id: RequestId) -> f64 {
        let weight = (1.0 - 1.0 / self.tier.crowd).max(0.0);
        let Some(two) = (weight > 0.0).then(|| self.pick(id)).flatten() else { return 0.0 };
        let (tier, b) = (&self.tier, &self.backends[&two[0]]);
        let held = (b.holds() + b.others(self.now, tier.others, self.fade()) + tier.middle) / 2.0;
        let late = (tier.late.or(LATE) / LATE).clamp(0.5, 1.0);
        weight * held / tier.limit.max(1.0) * PRESSURE * late
    }

    /// Tells another instance what was seen last, for each request once at the most: it has a price.
    fn gossip(&mut self) -> Option<Action> {
        let Settings { instances, ordinal, .. } = self.settings;
        let tells = self.settings.peer_messages && instances > 1 && take(&mut self.desk.met);
        let next = tells.then(|| self.rng.rand_range(1..instances as u32))?;
        let to = Some(PeerId(((ordinal + next as usize) % instances) as u16));
        Some(Action::SendToPeer { to, bytes: encode(&self.desk.keys.last, words(&self.backends, self.now)) })
    }

    fn act(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::ListReceived { full, listings } => self.list(full, &listings),
            Event::ListFailed => {
                self.list_failures += 1;
                let wait = (1 << self.list_failures.min(2)) as f32 * (0.5 + self.rng.rand_float());
                out.push(Action::Log(format!("list lost, failure {}, asking again", self.list_failures)));
                out.push(Action::SetTimer { after: TICK.scaled(wait.into()), id: MARK_WATCH });
            }
            Event::RequestReceived(request) => self.taken(request, out),
            Event::ResponseStarted { request, backend, took } => {
                // The client holds a stream that has begun: nothing more is owed for it.
                self.desk.held.remove(&request);
                self.tell(backend, BackendNote::Began(took));
            }
            Event::SetDisabled { backend, disabled } => self.bar(backend, disabled, out),
            Event::InstancesChanged { instances, ordinal } => {
                (self.settings.instances, self.settings.ordinal) = (instances.max(1), ordinal);
                self.sampler = BackendSampler::default();
            }
            Event::AttemptEnded(ended) => self.ended(ended, out),
            Event::RequestComplete { request, deadline } => self.whole(request, deadline, out),
            Event::ResponseAborted(backend) => self.tell(backend, BackendNote::Broke),
            Event::SendFailed(backend) => self.tell(backend, BackendNote::Unsent),
            Event::ClientGone(id) => drop(self.release(id, out)),
            Event::TimerExpired(MARK_TICK) => self.tick(out),
            Event::TimerExpired(MARK_WATCH) => out.push(Action::WatchList { on: true }),
            Event::CheckEnded { backend, outcome, load, .. } => {
                self.tell(backend, BackendNote::Checked(outcome, load))
            }
            Event::PeerMessage { bytes, .. } => {
                let (keys, words) = decode(&bytes);
                keys.for_each(|key| self.desk.keys.heard(key));
                words.for_each(|word| self.tell(word.backend, BackendNote::Told(word)));
            }
            Event::TimerExpired(mark) => {
                let id = RequestId(mark.0);
                let up = |held: &Held| held.due <= self.now && (held.whole || held.out.is_none());
                if self.desk.held.get(&id).is_some_and(up) {
                    self.give_up(id, Reason::OutOfTime, out);
                }
            }
        }
    }

    /// Only a stand-in: the attempt's own time-out comes a round earlier, and counts as a sample.
    fn stand_in(&self, id: RequestId, due: Time, out: &mut Vec<Action>) {
        let after = due.since(self.now) + self.settings.batch_interval;
        out.push(Action::SetTimer { after, id: TimerId(id.0) });
    }

    fn whole(&mut self, id: RequestId, deadline: Time, out: &mut Vec<Action>) {
        let Some(class) = self.desk.held.get(&id).map(|held| held.class) else { return };
        let (target, due) = self.settings.times(&class, self.now, deadline, None);
        self.stand_in(id, due, out);
        self.count(id);
        let Some(held) = self.desk.held.get_mut(&id) else { return };
        (held.target, held.due, held.whole) = (target, due, true);
        if held.out.is_some() {
            let (attempt, time_out) = (AttemptNo(held.sent - 1), due.since(self.now));
            out.push(Action::SetTimeout { request: id, attempt, timeout: time_out });
        }
    }

    /// An attempt of what was not whole counts from here, at the latest when it ends.
    fn count(&mut self, id: RequestId) {
        let attempt = self.desk.held.get(&id).filter(|held| !held.whole).and_then(|held| held.out);
        if let Some((listing, _)) = attempt {
            self.tell(listing.backend, BackendNote::Sent);
        }
    }

    fn taken(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let class = self.settings.classes[usize::from(request.class.0)];
        let (target, due) = self.settings.times(&class, self.now, request.deadline, request.cost);
        let beyond_share = self.desk.goes_beyond(request.tenant);
        self.desk.met = true;
        self.stand_in(id, due, out);
        let held = Held::new(class, self.now, target, due, beyond_share);
        let key = request.key.filter(|_| self.settings.key_affinity).inspect(|key| self.desk.keys.add(*key));
        self.desk.held.insert(id, Held { whole: request.complete, key, ..held });
        self.desk.first.push(id);
        let chance = (self.load().max(self.reported(id)) - BAND_CHANCE) / (BAND_ALL - BAND_CHANCE);
        if chance > self.rng.rand_float().into() {
            // Guards against one tenant's flood: within the band, what lies beyond a share goes first.
            let beyond = self.desk.first.iter().find(|id| self.desk.held[id].beyond_share);
            self.give_up(beyond.copied().unwrap_or(id), Reason::Overloaded, out);
        }
    }

    fn ended(&mut self, e: AttemptEnd, out: &mut Vec<Action>) {
        self.count(e.request);
        let held = self.desk.held.get(&e.request);
        let sample = held.and_then(|held| e.sample(held.class.target));
        self.tell(e.backend, BackendNote::Ended(e, sample));
        if e.answered {
            self.desk.held.remove(&e.request);
        }
        let Some(held) = self.desk.held.get_mut(&e.request) else { return };
        let ran = e.outcome.may_have_run(&self.settings);
        held.ran = held.ran.or(held.out.filter(|_| ran));
        (held.out, held.last) = (None, Some(e.backend));
        let allowed = held.ran.is_none() || held.class.effect != Effect::AtMostOnce;
        let cost = f64::from(u8::from(ran));
        let more =
            held.sent < self.settings.max_attempts && e.outcome != Outcome::NotSent && !e.body_discarded;
        if allowed && more && self.desk.retry_budget >= cost {
            self.desk.retry_budget -= cost;
            self.desk.further.push(e.request);
        } else {
            let reason = match e.outcome {
                Outcome::NotSent => Reason::NotSent,
                _ if !allowed => Reason::MayHaveRun,
                _ => Reason::AttemptsSpent,
            };
            self.give_up(e.request, reason, out);
        }
    }

    fn release(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<Held> {
        self.count(id);
        let held = self.desk.held.remove(&id)?;
        self.desk.leave_lines(id);
        if held.out.is_some() && self.settings.cancellation {
            out.push(Action::Cancel { request: id, attempt: AttemptNo(held.sent - 1) });
        }
        Some(held)
    }

    /// The final answer, at once: a refusal where the class allows it, else a failure.
    fn give_up(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
        let Some(held) = self.release(id, out) else { return };
        let harmless = match held.class.effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { .. } | Effect::AtMostOnce => held.ran.is_none() && held.out.is_none(),
        };
        if !harmless {
            return out.push(Action::Fail { request: id, reason });
        }
        let took = Span::from_ms(self.tier.took.or(0.0));
        let soon = took.scaled(0.5 + f64::from(self.rng.rand_float()));
        let soon = if self.now + took < held.target { soon } else { held.class.deadline };
        let backoff = self.settings.max_backoff.map(|most| soon.min(most));
        out.push(Action::Refuse { request: id, backoff, reason });
    }

    /// Sends the next request that waits, if the limit has room; first attempts before further ones.
    fn serve(&mut self, out: &mut Vec<Action>) -> bool {
        // What would be late gives up its place; what nobody may repeat tries while a usual answer may do.
        let needs = [self.tier.latency, self.tier.took].map(|mean| Span::from_ms(NEED * mean.or(0.0)));
        let none = all_barred(&self.backends, &self.barred);
        let late = |id: &&RequestId| {
            let held = &self.desk.held[id];
            let need = needs[usize::from(held.sent > 0 && held.class.effect == Effect::AtMostOnce)];
            none || self.now + need.min(held.target.since(held.arrived).scaled(0.9)) >= held.target
        };
        for id in self.desk.first.iter().chain(&self.desk.further).filter(late).copied().collect::<Vec<_>>() {
            self.give_up(id, if none { Reason::AllDisabled } else { Reason::TooLate }, out);
        }
        for id in self.desk.asking.clone() {
            let Some(backend) = self.answered(id) else { continue };
            return self.attempt(id, backend, out);
        }
        if self.tier.in_flight + self.desk.asking.len() as f64 >= self.tier.own_limit() {
            return false;
        }
        let order = |id: &&RequestId| (self.desk.held[id].beyond_share, self.desk.held[id].target);
        let first = self.desk.first.iter().min_by_key(order);
        for id in first.into_iter().chain(&self.desk.further).copied().collect::<Vec<_>>() {
            let Some(two) = self.pick(id) else { continue };
            if !self.asks() {
                return self.attempt(id, two[0], out);
            }
            self.desk.leave_lines(id);
            self.desk.asking.push(id);
            let (now, wait) = (self.now, self.desk.held[&id].class.target.scaled(PATIENCE));
            self.desk.held.entry(id).and_modify(|held| held.asked = Some((two, now, now + wait)));
            out.extend(two.map(|backend| Action::Check { backend }));
            out.push(Action::SetTimer { after: wait, id: MARK_ASKED });
            return true;
        }
        false
    }

    /// Where instances outnumber backends, own attempts say next to nothing of what a backend holds, and
    /// reports that came with answers are old: there the two that were drawn are asked first.
    fn asks(&self) -> bool {
        let cheap = self.settings.report_price.is_some_and(|price| price <= ASK_PRICE);
        cheap && self.settings.instances as f64 > self.tier.ready_and_out.0
    }

    /// The better of the two that were asked, once both have answered or the time for it is up.
    fn answered(&mut self, id: RequestId) -> Option<BackendId> {
        let (two, since, until) = self.desk.held[&id].asked?;
        let report = |id: &BackendId| self.backends.get(id).and_then(|backend| backend.others);
        let silent = |id: &BackendId| report(id).is_none_or(|(at, _)| at <= since);
        let open = |b: &Backend| b.ready(self.now, &self.settings);
        let ready = |id: &BackendId| self.backends.get(id).is_some_and(open) && !self.barred.contains(id);
        if two.iter().any(|id| silent(id) && ready(id)) && self.now < until {
            return None;
        }
        let loads = two.into_iter().filter(ready).map(|b| (silent(&b), self.load_of(b), b));
        let best = loads.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, backend)| backend).or_else(|| self.pick(id).map(|two| two[0]))
    }

    /// Whether a backend is ready and open to the request.
    fn open(&self, id: RequestId, not: Option<BackendId>) -> impl Fn(BackendId) -> bool + '_ {
        let held = &self.desk.held[&id];
        // Guards against an effect that happens twice.
        let may = |b: &Backend| match (held.class.effect, held.ran) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Keyed { group, .. }, Some((at, _))) => {
                held.repeats_until() > Some(self.now) && at.shares_repeat_group(&b.listing, group)
            }
        };
        move |backend: BackendId| {
            let b = &self.backends[&backend];
            Some(backend) != not && b.ready(self.now, &self.settings) && may(b)
        }
    }

    /// Of two random ready backends the one with less to do, and the other.
    fn pick(&mut self, id: RequestId) -> Option<[BackendId; 2]> {
        if self.sampler.is_empty() {
            let s = &self.settings;
            let width = (SHARED * self.backends.len() as f64 / s.instances as f64).max(PART_LEAST);
            let open = self.backends.iter().filter(|(id, _)| !self.barred.contains(id));
            self.sampler = BackendSampler::new(open.map(|(_, b)| b.listing), s.zone, width, s.ordinal);
        }
        let best = self.two(id, false)?;
        // Where crossing has a price, two of the own zone are drawn as well.
        let zoned = self.settings.cross_zone_priced && self.desk.held[&id].key.is_none();
        let near = if zoned { self.two(id, true) } else { None };
        Some(near.filter(|near| self.load_of(near[0]) <= self.load_of(best[0])).unwrap_or(best))
    }

    fn two(&mut self, id: RequestId, near: bool) -> Option<[BackendId; 2]> {
        let (mut rng, held) = (self.rng, &self.desk.held[&id]);
        // Only the few repeats that must stay in a group look through the whole list.
        let grouped = held.ran.is_some() && held.class.effect != Effect::Safe;
        let (one, other, moved) = if let Some(key) = held.key {
            let homes = SPREAD * self.tier.ready_and_out.0 * self.desk.keys.share(key);
            self.sampler.draw_homes(&mut rng, key, homes, held.last, self.open(id, None))?
        } else {
            let mut draw = |not| self.sampler.draw(&mut rng, near, grouped, self.open(id, not));
            let one = draw(None)?;
            (one, draw(Some(one)).unwrap_or(one), false)
        };
        self.rng = rng;
        let moved = f64::from(u8::from(moved)) * MOVED;
        Some(if self.load_of(one) <= self.load_of(other) + moved { [one, other] } else { [other, one] })
    }

    /// How long a report tells something: an answer's time, and longer where it is the seldomer had anew.
    fn fade(&self) -> f64 {
        self.tier.took.or(0.0).max(1.0) * (1.0 + SELDOM * (1.0 - 1.0 / self.tier.crowd).max(0.0))
    }

    fn load_of(&self, id: BackendId) -> f64 {
        let (b, tier) = (&self.backends[&id], &self.tier);
        let far = self.settings.cross_zone_priced && b.listing.zone != self.settings.zone;
        let others = b.others(self.now, tier.others, self.fade());
        // Guards against the seeming idleness of what other zones keep busy and what reports nothing.
        let unseen = if b.others.is_some() { 0.0 } else { UNSEEN * tier.in_flight };
        let crossing = CROSSING + unseen / self.sampler.nearby().max(1) as f64;
        let weight = b.pace(tier) * b.burden(self.now, tier, self.settings.peer_messages, (PRIOR, WORD_FADE));
        (b.holds() + others + 1.0) * weight + if far { crossing } else { 0.0 }
    }

    fn attempt(&mut self, id: RequestId, backend: BackendId, out: &mut Vec<Action>) -> bool {
        self.desk.leave_lines(id);
        let Some(held) = self.desk.held.get_mut(&id) else { return false };
        self.desk.retry_budget +=
            RETRY_SHARE.min(RETRY_MOST - self.desk.retry_budget) * f64::from(u8::from(held.sent == 0));
        held.out = Some((self.backends[&backend].listing, self.now));
        held.sent += 1;
        let by = held.repeats_until();
        out.push(Action::Attempt { request: id, backend, timeout: held.due.since(self.now), start_by: by });
        if held.whole {
            self.tell(backend, BackendNote::Sent);
        }
        true
    }
}
