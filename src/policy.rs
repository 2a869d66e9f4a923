//! All decisions of an instance: where an exchange goes, when it waits, when it is turned back.
//!
//! Make one [`Balancer`] with the instance's settings, then hand it every event in order; it appends what is
//! to be done. Its interface is `event.rs` (what it hears and does) and `settings.rs` (what it is told).
//!
//! The ordinary path is the design of `docs/design.md`: one Vegas limit for the tier, a baseline reset by
//! correlation, bands of waiting and refusal in multiples of the limit, a pick of two random ready backends.
//! Beside it stand six mechanisms:
//!
//! 1. Health: a backend that fails or falls silent while its peers answer is out until a trial is honoured.
//! 2. Further forwards: time-outs that leave room for another, paid from a purse that first forwards fill.
//! 3. Turn-backs: what can no longer be answered in time gets its final answer at once.
//! 4. Fairness: within the refusal band, what lies beyond its tenant's share goes first.
//! 5. Cold cap: a fresh backend's forwards are capped in flight and in rate, and grow with its answers.
//! 6. Following the list: departures bind at once; a lost watch is asked for again with a growing wait.
//!
//! Each backend is an actor, and so are the tier's limit and the desk that holds the exchanges. They change
//! each other only by notes put into inboxes, which the loop in [`Balancer::handle`] empties.

use std::collections::{BTreeMap, VecDeque};
use std::mem::take;

use oorandom::Rand32;

use crate::event::{Action, Condition, Ended, Event, Exchange, Listing, Outcome};
use crate::id::{BackendId, ExchangeId, ForwardNo, PodId, TimerMark, ZoneId};
use crate::settings::{Cold, Effect, Group, Settings, Tariff};
use crate::time::{Span, Time};

#[cfg(test)]
mod tests;

/// The limit's update interval, in seconds too.
const BEAT: Span = Span::from_millis(100);
const BEAT_S: f64 = 0.1;
/// A window of samples is at least this long and this full; none of it is older than the last figure.
const WINDOW: Span = Span::from_millis(2000);
const WINDOW_SAMPLES: usize = 50;
const WINDOW_MOST: Span = Span::from_millis(30_000);
/// Weight of a new window in the smoothed p90.
const SMOOTHING: f64 = 0.2;
/// Update intervals over which in flight and throughput are compared.
const CORRELATED: usize = 50;
/// Calls for each ready backend, over all instances of the tier, at which the limit starts and ends.
const CALLS_PER_READY: f64 = 5.0;
const LIMIT_FLOOR: f64 = 4.0;
/// Bands in multiples of the limit: above the first refusals begin, above the second nothing is taken.
const BAND_CHANCE: f64 = 2.0;
const BAND_ALL: f64 = 3.0;
/// Further forwards of what may have run, for each first forward; and the most that is saved up.
const PURSE_SHARE: f64 = 0.1;
const PURSE_MOST: f64 = 10.0;
/// Strikes in a row that put a backend out.
const STRIKES_OUT: f64 = 2.0;
/// At most this part of the ready backends is out, so that the rest is not overrun.
const OUT_MOST: f64 = 0.34;
/// How long a backend is out at first, and how often that doubles.
const OUT_FIRST: Span = Span::from_millis(1000);
const OUT_DOUBLINGS: u32 = 3;
const MARK_BEAT: TimerMark = TimerMark(u64::MAX);
const MARK_WATCH: TimerMark = TimerMark(u64::MAX - 1);

/// A note on its way to an actor's inbox.
enum Letter {
    Backend(BackendId, BackendNote),
    Tier(TierNote),
    Desk(DeskNote),
}

enum BackendNote {
    Listed(Listing),
    Sent,
    Began(Span),
    /// The outcome, and whether its answer had begun before.
    Ended(Ended, bool),
    Beat,
}

enum TierNote {
    Sent,
    /// A change of what is in flight.
    InFlight(f64),
    /// A latency, and whether it is that of an answer.
    Sample(Span, bool),
    /// 1 for a forward that failed, 0 for one that did not.
    Verdict(f64),
    Beat(Counts),
}

enum DeskNote {
    Taken(Exchange),
    Began(ExchangeId),
    Ended(Ended),
    Overdue(ExchangeId),
    Left(ExchangeId),
    Beat,
    Serve,
}

/// How many backends are listed as ready, and how many of those are out.
#[derive(Clone, Copy, Default)]
struct Counts {
    ready: f64,
    out: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    In,
    /// Gets nothing until then, and after that one trial forward at a time.
    Out(Time),
}

/// The one record of a backend.
struct Backend {
    inbox: Vec<BackendNote>,
    listing: Listing,
    standing: Standing,
    /// How often it was put out, or stayed out, in a row.
    outs: u32,
    strikes: f64,
    in_flight: f64,
    /// Most forwards in flight; grows with answers while the backend is fresh.
    cap: f64,
    /// Forwards that a cold backend may still be sent.
    credit: f64,
    /// Smoothed answer time in ms.
    took: Option<f64>,
    /// When it last answered, or was sent its first forward while idle.
    heard: Time,
    /// What it last said it holds for others, and when.
    others: Option<(Time, f64)>,
}

/// What a backend is told of its surroundings when it reads a note.
struct Around<'a> {
    now: Time,
    tier: &'a Tier,
    cold: &'a Cold,
    instances: f64,
    chance: f64,
}

impl Backend {
    fn new(listing: Listing, now: Time) -> Backend {
        Backend {
            inbox: Vec::new(),
            listing,
            standing: Standing::In,
            outs: 0,
            strikes: 0.0,
            in_flight: 0.0,
            cap: f64::INFINITY,
            credit: 0.0,
            took: None,
            heard: now,
            others: None,
        }
    }

    /// The part of its full capacity that it surely has; 1 once it is warm.
    fn warmth(&self, now: Time, cold: &Cold) -> f64 {
        let Some(started) = self.listing.started else { return 1.0 };
        let age = now.since(started).ms() / cold.ramp.ms().max(1.0);
        (cold.share + (1.0 - cold.share) * age).min(1.0)
    }

    fn ready(&self, now: Time, cold: &Cold, room: f64) -> bool {
        let standing = match self.standing {
            Standing::In => self.in_flight < self.cap.min(room),
            Standing::Out(until) => now >= until && self.in_flight < 1.0,
        };
        let bears = self.credit >= 1.0 || self.warmth(now, cold) >= 1.0;
        self.listing.condition == Condition::Ready && standing && bears
    }

    /// How many times as long as its peers it takes; small differences do not count.
    fn pace(&self, tier: &Tier) -> f64 {
        let relative = self.took.map_or(1.0, |took| took / tier.took().max(1.0));
        (relative / 1.2).clamp(1.0, 8.0)
    }

    /// What others have in flight here: its report, which fades towards the mean of all reports with age.
    fn others(&self, now: Time, mean: f64, fade: f64) -> f64 {
        self.others.map_or(mean, |(at, said)| mean + (said - mean) * (-now.since(at).ms() / fade).exp())
    }

    fn act(&mut self, note: BackendNote, around: &Around, mail: &mut Vec<Letter>, out: &mut Vec<Action>) {
        match note {
            BackendNote::Listed(listing) => self.listed(listing, around, mail),
            BackendNote::Sent => {
                self.heard = if self.in_flight < 1.0 { around.now } else { self.heard };
                self.credit -= 1.0;
                self.hold(1.0, mail);
            }
            BackendNote::Began(took) => {
                self.heard = around.now;
                self.sample(took, true, mail);
            }
            BackendNote::Ended(ended, began) => self.ended(&ended, began, around, mail, out),
            BackendNote::Beat => self.beat(around, mail, out),
        }
    }

    /// Guards against a hung backend's forwards using up the limit: while it is out they do not count.
    fn hold(&mut self, change: f64, mail: &mut Vec<Letter>) {
        self.in_flight += change;
        if self.standing == Standing::In {
            mail.push(Letter::Tier(TierNote::InFlight(change)));
        }
    }

    /// Guards against a hung backend moving the limit: once it is out, it says nothing about the others.
    fn sample(&self, took: Span, answer: bool, mail: &mut Vec<Letter>) {
        if self.standing == Standing::In {
            mail.push(Letter::Tier(TierNote::Sample(took, answer)));
        }
    }

    fn listed(&mut self, listing: Listing, around: &Around, mail: &mut Vec<Letter>) {
        if listing.started != self.listing.started {
            self.stand(Standing::In, mail);
            (self.outs, self.strikes, self.took, self.others) = (0, 0.0, None, None);
        }
        let news = listing.started != self.listing.started || self.cap == f64::INFINITY;
        self.listing = listing;
        if news && self.warmth(around.now, around.cold) < 1.0 {
            // Guards against a start that all instances hear of at once: each begins at a time of its own.
            (self.cap, self.credit) = (1.0, around.chance);
        }
    }

    fn beat(&mut self, around: &Around, mail: &mut Vec<Letter>, out: &mut Vec<Action>) {
        // Guards against a cold backend being pushed over by all instances together: each sends it its part
        // of what its warmth bears, measured by what its peers carry.
        let floor = 2.0 / (around.instances * (around.cold.window.ms() / 1000.0).max(0.1));
        let bears = self.warmth(around.now, around.cold) * around.cold.multiple * 0.5 * around.tier.rate;
        self.credit = (self.credit + bears.max(floor) * BEAT_S).min(1.5);
        // What was slow is forgotten with time, so that it is tried again.
        self.took = self.took.map(|took| took + (around.tier.took() - took) * 0.01);
        let silence = around.now.since(self.heard).ms();
        if self.in_flight > 0.0 && silence > 3.0 * around.tier.p90() {
            self.put_out("silent", around, mail, out);
        }
    }

    fn ended(
        &mut self,
        e: &Ended,
        began: bool,
        around: &Around,
        mail: &mut Vec<Letter>,
        out: &mut Vec<Action>,
    ) {
        self.hold(-1.0, mail);
        self.heard = around.now;
        if let Some(held) = e.load.held.or(e.load.waiting) {
            self.others = Some((around.now, (held - self.in_flight).max(0.0)));
        }
        let honoured = e.outcome == Outcome::Honoured;
        match e.outcome {
            Outcome::Cancelled | Outcome::NotSent => return,
            Outcome::Full => return self.sample(e.took.max(Span::from_ms(around.tier.p90())), false, mail),
            Outcome::Honoured | Outcome::TimedOut if !began => {
                self.sample(e.took, honoured, mail);
                self.took = blend(self.took, e.took.ms(), 0.2);
            }
            _ => {}
        }
        mail.push(Letter::Tier(TierNote::Verdict(if honoured { 0.0 } else { 1.0 })));
        if honoured {
            self.strikes = 0.0;
            self.cap += 1.0;
            self.credit = (self.credit + 1.0).min(1.5);
            if self.standing != Standing::In {
                self.stand(Standing::In, mail);
                (self.cap, self.outs) = (1.0, 0);
                out.push(Action::Log(format!("{} back in, took {:.0}", e.backend, e.took.ms())));
            }
            return;
        }
        // Guards against blaming one backend for what all suffer, such as errors from the tier below.
        let blame = (1.0 - 3.0 * around.tier.failing).max(0.0);
        self.strikes += if e.outcome == Outcome::ConnectFailed { STRIKES_OUT } else { blame };
        if self.strikes >= STRIKES_OUT || self.standing != Standing::In {
            self.put_out("failing", around, mail, out);
        }
    }

    fn put_out(&mut self, why: &str, around: &Around, mail: &mut Vec<Letter>, out: &mut Vec<Action>) {
        if self.standing == Standing::In {
            let Counts { ready, out: gone } = around.tier.counts;
            if gone + 1.0 > (OUT_MOST * ready).max(1.0) || ready < 2.0 {
                return;
            }
            let (id, strikes, failing) = (self.listing.backend, self.strikes, around.tier.failing);
            let silence = around.now.since(self.heard).ms();
            out.push(Action::Log(format!(
                "{id} out, {why}: strikes {strikes:.1}, silent {silence:.0}, tier failing {failing:.2}"
            )));
        }
        let times = f64::from(1 << self.outs.min(OUT_DOUBLINGS)) * (0.75 + 0.5 * around.chance);
        self.outs += 1;
        self.stand(Standing::Out(around.now + OUT_FIRST.scaled(times)), mail);
    }

    fn stand(&mut self, standing: Standing, mail: &mut Vec<Letter>) {
        let was_in = self.standing == Standing::In;
        self.standing = standing;
        match standing {
            Standing::In if !was_in => mail.push(Letter::Tier(TierNote::InFlight(self.in_flight))),
            Standing::Out(_) if was_in => mail.push(Letter::Tier(TierNote::InFlight(-self.in_flight))),
            _ => {}
        }
    }
}

/// The Vegas limit of the tier, and what else is known of the tier as a whole.
#[derive(Default)]
struct Tier {
    inbox: Vec<TierNote>,
    limit: f64,
    /// Own forwards in flight, but for those at backends that are out.
    in_flight: f64,
    counts: Counts,
    /// Smoothed p90 and its baseline, in ms.
    smooth: Option<f64>,
    baseline: Option<f64>,
    samples: VecDeque<(Time, f64)>,
    /// In flight and answers of each of the last update intervals.
    intervals: VecDeque<(f64, f64)>,
    answers: f64,
    sent: f64,
    /// Own forwards a second for each ready backend.
    rate: f64,
    took: Option<f64>,
    /// Part of the forwards that fail.
    failing: f64,
}

impl Tier {
    /// The smoothed p90 in ms; a second before any is known.
    fn p90(&self) -> f64 {
        self.smooth.unwrap_or(1000.0)
    }

    /// Mean answer time in ms.
    fn took(&self) -> f64 {
        self.took.unwrap_or(0.0)
    }

    fn act(&mut self, note: TierNote, now: Time, instances: f64) {
        match note {
            TierNote::Sent => self.sent += 1.0,
            TierNote::InFlight(change) => self.in_flight += change,
            TierNote::Verdict(failed) => self.failing += (failed - self.failing) * 0.05,
            TierNote::Sample(took, answer) => {
                self.samples.push_back((now, took.ms()));
                if answer {
                    self.answers += 1.0;
                    self.took = blend(self.took, took.ms(), 0.05);
                }
            }
            TierNote::Beat(counts) => {
                self.counts = counts;
                let rate = take(&mut self.sent) / BEAT_S / counts.ready.max(1.0);
                self.rate += (rate - self.rate) * 0.05;
                self.intervals.push_back((self.in_flight, take(&mut self.answers)));
                self.intervals.drain(..self.intervals.len().saturating_sub(CORRELATED));
                let top = (CALLS_PER_READY * counts.ready / instances).max(LIMIT_FLOOR);
                self.limit = if self.limit == 0.0 { top } else { self.limit.min(top) };
                self.update(now, top);
            }
        }
    }

    fn update(&mut self, now: Time, top: f64) {
        let age = |sample: Option<&(Time, f64)>| sample.map_or(Span::ZERO, |(at, _)| now.since(*at));
        while age(self.samples.front()) > WINDOW_MOST
            || self.samples.len() > WINDOW_SAMPLES && age(self.samples.front()) > WINDOW
        {
            self.samples.pop_front();
        }
        if self.samples.len() < WINDOW_SAMPLES || age(self.samples.front()) < WINDOW {
            // Guards against an instance with few calls being stuck at a low limit: it rises while unjudged.
            self.limit = (self.limit + BEAT_S).min(top);
            return;
        }
        let mut took: Vec<f64> = self.samples.iter().map(|(_, ms)| *ms).collect();
        let place = took.len() * 9 / 10;
        let p90 = *took.select_nth_unstable_by(place, f64::total_cmp).1;
        let smooth = self.smooth.map_or(p90, |smooth| smooth + (p90 - smooth) * SMOOTHING);
        self.smooth = Some(smooth);
        if self.baseline.is_none() || correlation(&self.intervals) > 0.0 {
            self.baseline = self.smooth;
        }
        let queued = self.limit * (1.0 - self.baseline.unwrap_or(smooth) / smooth.max(0.001));
        let step = self.limit.log10();
        if queued < 3.0 * step {
            self.limit = (self.limit + step.max(1.0)).min(top);
        } else if queued > 6.0 * step {
            self.limit = (self.limit - step.max(1.0)).max(LIMIT_FLOOR);
        }
    }
}

/// Moves a mean towards a value; the first value is taken whole.
fn blend(mean: Option<f64>, value: f64, weight: f64) -> Option<f64> {
    Some(mean.map_or(value, |mean| mean + (value - mean) * weight))
}

/// Pearson's correlation of in flight and throughput; nothing before all intervals are in.
fn correlation(intervals: &VecDeque<(f64, f64)>) -> f64 {
    if intervals.len() < CORRELATED {
        return 0.0;
    }
    let n = intervals.len() as f64;
    let (x, y) = intervals.iter().fold((0.0, 0.0), |(x, y), (a, b)| (x + a / n, y + b / n));
    let (mut xy, mut xx, mut yy) = (0.0, 0.0, 0.0);
    for (a, b) in intervals {
        xy += (a - x) * (b - y);
        xx += (a - x).powi(2);
        yy += (b - y).powi(2);
    }
    xy / (xx * yy).sqrt().max(1e-9)
}

/// Where and since when an exchange may have run.
#[derive(Clone, Copy, Debug)]
struct Bound {
    pod: PodId,
    zone: ZoneId,
    since: Time,
}

struct Held {
    exchange: Exchange,
    /// An answer after this is late.
    goal: Time,
    /// The final answer is given by then.
    due: Time,
    beyond_share: bool,
    sent: u16,
    /// Where the forward that is out may be running.
    out: Option<Bound>,
    /// The first forward that may have run.
    ran: Option<Bound>,
    tried: Option<BackendId>,
    began: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Mode {
    #[default]
    Ordinary,
    Waiting,
    Refusing,
}

#[derive(Default)]
struct Desk {
    inbox: VecDeque<DeskNote>,
    held: BTreeMap<ExchangeId, Held>,
    first: Vec<ExchangeId>,
    further: Vec<ExchangeId>,
    purse: f64,
    /// What each tenant may still send within its share.
    shares: Vec<f64>,
    mode: Mode,
}

pub struct Balancer {
    settings: Settings,
    rng: Rand32,
    now: Time,
    backends: BTreeMap<BackendId, Backend>,
    tier: Tier,
    desk: Desk,
    mail: Vec<Letter>,
    list_failures: u32,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Time, out: &mut Vec<Action>) -> Balancer {
        let mut rng = Rand32::new(seed);
        out.push(Action::Timer { after: BEAT.scaled(rng.rand_float().into()), mark: MARK_BEAT });
        if settings.list_on_request {
            let after = Span::from_millis(1500).scaled(rng.rand_float().into());
            out.push(Action::Timer { after, mark: MARK_WATCH });
        }
        let shares = settings.allowances.iter().map(|a| a / settings.instances as f64).collect();
        let desk = Desk { purse: PURSE_MOST / 2.0, shares, ..Desk::default() };
        let (backends, tier, mail) = (BTreeMap::new(), Tier::default(), Vec::new());
        Balancer { settings, rng, now, backends, tier, desk, mail, list_failures: 0 }
    }

    /// Takes one event and appends what is to be done about it now.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Listed { whole, listings } => self.list(whole, listings),
            Event::ListFailed => self.list_failed(out),
            Event::Taken(exchange) => self.mail.push(Letter::Desk(DeskNote::Taken(exchange))),
            Event::Began { exchange, backend, took } => {
                self.mail.push(Letter::Backend(backend, BackendNote::Began(took)));
                self.mail.push(Letter::Desk(DeskNote::Began(exchange)));
            }
            Event::Ended(ended) => {
                let began = self.desk.held.get(&ended.exchange).is_some_and(|held| held.began);
                self.mail.push(Letter::Backend(ended.backend, BackendNote::Ended(ended, began)));
                self.mail.push(Letter::Desk(DeskNote::Ended(ended)));
            }
            Event::Left(exchange) => self.mail.push(Letter::Desk(DeskNote::Left(exchange))),
            Event::Timer(MARK_BEAT) => self.beat(out),
            Event::Timer(MARK_WATCH) => out.push(Action::Watch { on: true }),
            Event::Timer(mark) => {
                self.mail.push(Letter::Desk(DeskNote::Overdue(ExchangeId(mark.0 as u32))));
            }
            Event::Checked { .. } | Event::PeerSaid { .. } => {}
        }
        self.run(out);
    }

    /// Empties the inboxes until no note is left. The desk reads one note at a time, so that what it has
    /// sent is known to the backends before it picks again.
    fn run(&mut self, out: &mut Vec<Action>) {
        loop {
            let mut called = Vec::new();
            for letter in self.mail.drain(..) {
                match letter {
                    Letter::Backend(id, note) => {
                        if let Some(backend) = self.backends.get_mut(&id) {
                            backend.inbox.push(note);
                            called.push(id);
                        }
                    }
                    Letter::Tier(note) => self.tier.inbox.push(note),
                    Letter::Desk(note) => self.desk.inbox.push_back(note),
                }
            }
            let (now, cold, instances) = (self.now, &self.settings.cold, self.settings.instances as f64);
            for id in called {
                let Some(backend) = self.backends.get_mut(&id) else { continue };
                let chance = self.rng.rand_float().into();
                let around = Around { now, tier: &self.tier, cold, instances, chance };
                for note in take(&mut backend.inbox) {
                    backend.act(note, &around, &mut self.mail, out);
                }
            }
            for note in take(&mut self.tier.inbox) {
                self.tier.act(note, now, instances);
            }
            if self.mail.is_empty() {
                let Some(note) = self.desk.inbox.pop_front() else { return };
                self.desk_act(note, out);
            }
        }
    }

    fn list(&mut self, whole: bool, listings: Vec<Listing>) {
        self.list_failures = 0;
        if whole {
            for (id, backend) in &self.backends {
                if !listings.iter().any(|listing| listing.backend == *id) {
                    let listing = Listing { condition: Condition::Gone, ..backend.listing };
                    self.mail.push(Letter::Backend(*id, BackendNote::Listed(listing)));
                }
            }
        }
        for listing in listings {
            self.backends.entry(listing.backend).or_insert_with(|| Backend::new(listing, self.now));
            self.mail.push(Letter::Backend(listing.backend, BackendNote::Listed(listing)));
        }
        self.mail.push(Letter::Desk(DeskNote::Serve));
    }

    fn list_failed(&mut self, out: &mut Vec<Action>) {
        let wait = f64::from(1 << self.list_failures.min(4)) * (0.5 + f64::from(self.rng.rand_float()));
        self.list_failures += 1;
        out.push(Action::Log(format!("list lost, failure {}, asking again", self.list_failures)));
        out.push(Action::Timer { after: Span::from_millis(500).scaled(wait), mark: MARK_WATCH });
    }

    fn beat(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Timer { after: BEAT, mark: MARK_BEAT });
        self.backends.retain(|_, b| b.listing.condition != Condition::Gone || b.in_flight > 0.0);
        self.mail.extend(self.backends.keys().map(|id| Letter::Backend(*id, BackendNote::Beat)));
        self.mail.push(Letter::Tier(TierNote::Beat(self.counts())));
        self.mail.push(Letter::Desk(DeskNote::Beat));
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for backend in self.backends.values().filter(|b| b.listing.condition == Condition::Ready) {
            counts.ready += 1.0;
            counts.out += if backend.standing == Standing::In { 0.0 } else { 1.0 };
        }
        counts
    }

    fn limit(&self) -> f64 {
        if self.tier.limit > 0.0 {
            return self.tier.limit;
        }
        (CALLS_PER_READY * self.counts().ready / self.settings.instances as f64).max(LIMIT_FLOOR)
    }

    fn tariff(&self, held: &Held) -> &Tariff {
        &self.settings.tariffs[usize::from(held.exchange.tariff.0)]
    }

    /// Time that an answer will likely take.
    fn need(&self) -> Span {
        Span::from_ms(self.tier.took() * 0.8)
    }

    /// In flight and waiting, in multiples of the limit.
    fn load(&self) -> f64 {
        (self.tier.in_flight + (self.desk.first.len() + self.desk.further.len()) as f64) / self.limit()
    }

    fn desk_act(&mut self, note: DeskNote, out: &mut Vec<Action>) {
        match note {
            DeskNote::Taken(exchange) => self.taken(exchange, out),
            DeskNote::Began(id) => {
                if let Some(held) = self.desk.held.get_mut(&id) {
                    held.began = true;
                }
            }
            DeskNote::Ended(ended) => self.ended(&ended, out),
            DeskNote::Overdue(id) => {
                if self.desk.held.get(&id).is_some_and(|held| !held.began && held.due <= self.now) {
                    self.give_up(id, out);
                }
            }
            DeskNote::Left(id) => drop(self.release(id, out)),
            DeskNote::Beat => self.desk_beat(out),
            DeskNote::Serve => {}
        }
        self.serve(out);
    }

    fn desk_beat(&mut self, out: &mut Vec<Action>) {
        for (share, allowance) in self.desk.shares.iter_mut().zip(&self.settings.allowances) {
            let rate = allowance / self.settings.instances as f64;
            *share = (*share + rate * BEAT_S).min(rate);
        }
        let mode = match self.desk.first.len() {
            0 => Mode::Ordinary,
            _ if self.load() <= BAND_CHANCE => Mode::Waiting,
            _ => Mode::Refusing,
        };
        if mode != self.desk.mode {
            self.desk.mode = mode;
            let (limit, load, p90) = (self.limit(), self.load(), self.tier.p90());
            let base = self.tier.baseline.unwrap_or(0.0);
            out.push(Action::Log(format!(
                "{mode:?}: limit {limit:.1}, load {load:.2}, p90 {p90:.0}/{base:.0}"
            )));
        }
    }

    fn taken(&mut self, exchange: Exchange, out: &mut Vec<Action>) {
        let id = exchange.id;
        let Some(tariff) = self.settings.tariffs.get(usize::from(exchange.tariff.0)) else {
            return out.push(Action::TurnBack { exchange: id, backoff: None });
        };
        // Room for the time between two batches, and for the answer's way back.
        let margin = self.settings.round.scaled(2.0) + Span::from_millis(2);
        let stretch = exchange.cost.unwrap_or_default().scaled(tariff.goal_stretch);
        let last = exchange.cut_off - margin;
        let goal = last.min(self.now + tariff.cut_off.min(tariff.goal + stretch) - margin);
        let due = if tariff.late_value > 0.0 { last } else { goal };
        // Shares are those of the first tier's clients; below it they have been dealt with.
        let mut beyond_share = false;
        if let Some(share) = self.desk.shares.get_mut(exchange.tenant.0 as usize) {
            beyond_share = self.settings.tier == 0 && *share < 1.0;
            *share -= if beyond_share { 0.0 } else { 1.0 };
        }
        out.push(Action::Timer { after: due.since(self.now), mark: TimerMark(id.0.into()) });
        let (out_at, ran, tried) = (None, None, None);
        let held = Held { exchange, goal, due, beyond_share, sent: 0, out: out_at, ran, tried, began: false };
        self.desk.held.insert(id, held);
        let chance = (self.load() - BAND_CHANCE) / (BAND_ALL - BAND_CHANCE);
        self.desk.first.push(id);
        if chance > self.rng.rand_float().into() {
            // Guards against one tenant's flood: within the band, what lies beyond a share goes first.
            let beyond = self.desk.first.iter().find(|id| self.desk.held[id].beyond_share);
            self.give_up(beyond.copied().unwrap_or(id), out);
        }
    }

    fn ended(&mut self, e: &Ended, out: &mut Vec<Action>) {
        let ready_by = self.now + self.need();
        let Some(held) = self.desk.held.get_mut(&e.exchange) else { return };
        let bound = held.out.take();
        if e.answered || held.began {
            self.desk.held.remove(&e.exchange);
            return;
        }
        let proven = e.outcome.proves_not_run();
        held.ran = held.ran.or(bound.filter(|_| !proven));
        held.tried = Some(e.backend);
        let held = &self.desk.held[&e.exchange];
        // Guards against an effect that happens twice: only what has not run, or may be repeated, goes again.
        let allowed = match (self.tariff(held).effect, held.ran) {
            (Effect::Reissuable, _) | (_, None) => true,
            (Effect::Numbered { window, .. }, Some(bound)) => self.now < bound.since + window,
            (Effect::AtMostOnce, Some(_)) => false,
        };
        let cost = if proven { 0.0 } else { 1.0 };
        let in_time = ready_by < held.due && held.sent < self.settings.max_forwards;
        if allowed && in_time && e.outcome != Outcome::NotSent && self.desk.purse >= cost {
            self.desk.purse -= cost;
            self.desk.further.push(e.exchange);
        } else {
            self.give_up(e.exchange, out);
        }
    }

    /// Lets go of an exchange, and of its forward that is out.
    fn release(&mut self, id: ExchangeId, out: &mut Vec<Action>) -> Option<Held> {
        let held = self.desk.held.remove(&id)?;
        self.desk.first.retain(|waiting| *waiting != id);
        self.desk.further.retain(|waiting| *waiting != id);
        if held.out.is_some() && self.settings.cancelling {
            out.push(Action::Cancel { exchange: id, forward: ForwardNo(held.sent - 1) });
        }
        Some(held)
    }

    /// The final answer, at once: a turn-back where the tariff allows it, else a forfeit.
    fn give_up(&mut self, id: ExchangeId, out: &mut Vec<Action>) {
        let Some(held) = self.release(id, out) else { return };
        let harmless = match self.tariff(&held).effect {
            Effect::Reissuable | Effect::Numbered { group: Group::All, .. } => true,
            Effect::Numbered { .. } | Effect::AtMostOnce => held.ran.is_none() && held.out.is_none(),
        };
        if !harmless {
            return out.push(Action::Forfeit { exchange: id });
        }
        let late = self.now + self.need() >= held.goal;
        let soon = Span::from_ms(self.tier.took() * (0.5 + f64::from(self.rng.rand_float())));
        let backoff = self.settings.max_backoff.map(|most| if late { most } else { soon.min(most) });
        out.push(Action::TurnBack { exchange: id, backoff });
    }

    /// Sends the next exchange that waits, if the limit has room; first forwards before further ones.
    fn serve(&mut self, out: &mut Vec<Action>) {
        let ready_by = self.now + self.need();
        let late = |id: &&ExchangeId| ready_by >= self.desk.held[id].goal;
        for id in self.desk.first.iter().filter(late).copied().collect::<Vec<_>>() {
            self.give_up(id, out);
        }
        if self.tier.in_flight >= self.limit() {
            return;
        }
        let order = |id: &&ExchangeId| (self.desk.held[id].beyond_share, self.desk.held[id].goal);
        let first = self.desk.first.iter().min_by_key(order).copied();
        for id in first.into_iter().chain(self.desk.further.iter().copied()).collect::<Vec<_>>() {
            if let Some(backend) = self.pick(id) {
                return self.forward(id, backend, out);
            }
        }
    }

    /// Of two random ready backends the one with less to do.
    fn pick(&mut self, id: ExchangeId) -> Option<BackendId> {
        let held = &self.desk.held[&id];
        let effect = self.tariff(held).effect;
        let room = (2.0 * self.limit() / self.tier.counts.ready.max(1.0)).ceil().max(2.0);
        let (now, cold) = (self.now, &self.settings.cold);
        let in_group = |b: &Backend| match (effect, held.ran) {
            (Effect::Numbered { group: Group::Zone, .. }, Some(bound)) => b.listing.zone == bound.zone,
            (Effect::Numbered { group: Group::Pod, .. }, Some(bound)) => b.listing.pod == bound.pod,
            _ => true,
        };
        let open = |b: &&Backend| b.ready(now, cold, room) && in_group(b);
        let mut all: Vec<&Backend> = self.backends.values().filter(open).collect();
        if all.len() > 1 {
            all.retain(|b| Some(b.listing.backend) != held.tried);
        }
        let (sum, count) =
            all.iter().filter_map(|b| b.others).fold((0.0, 0.0), |(s, n), (_, o)| (s + o, n + 1.0));
        let (mean, fade) = (sum / f64::max(count, 1.0), self.tier.took().max(1.0));
        let (zone, priced) = (self.settings.zone, self.settings.crossing_priced);
        let load = |b: &Backend| {
            let crossing = if priced && b.listing.zone != zone { 1.0 } else { 0.0 };
            (b.in_flight + b.others(now, mean, fade) + 1.0) * b.pace(&self.tier) + crossing
        };
        let rng = &mut self.rng;
        let mut two = |from: &[&Backend]| {
            let n = from.len() as u32;
            let one = (n > 0).then(|| rng.rand_range(0..n))?;
            let other = if n > 1 { (one + 1 + rng.rand_range(0..n - 1)) % n } else { one };
            let drawn = [from[one as usize], from[other as usize]].map(|b| (b.listing.backend, load(b)));
            drawn.into_iter().min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let best = two(&all)?;
        if priced {
            // Where crossing zones has a price, two of the own zone are drawn as well.
            all.retain(|b| b.listing.zone == zone);
            return Some(two(&all).filter(|near| near.1 <= best.1).unwrap_or(best).0);
        }
        Some(best.0)
    }

    fn forward(&mut self, id: ExchangeId, backend: BackendId, out: &mut Vec<Action>) {
        self.desk.first.retain(|waiting| *waiting != id);
        self.desk.further.retain(|waiting| *waiting != id);
        let Listing { pod, zone, .. } = self.backends[&backend].listing;
        let need = self.need();
        let Some(held) = self.desk.held.get_mut(&id) else { return };
        if held.sent == 0 {
            self.desk.purse = (self.desk.purse + PURSE_SHARE).min(PURSE_MOST);
        }
        held.out = Some(Bound { pod, zone, since: self.now });
        held.sent += 1;
        let (sent, due, goal) = (held.sent, held.due, held.goal);
        // Guards against a hung backend using up the caller's time: where another forward is allowed and
        // paid for, this one is given up while there is time for the other.
        let once = self.tariff(&self.desk.held[&id]).effect == Effect::AtMostOnce;
        let patience = Span::from_ms(2.0 * self.tier.p90());
        let again = !once && sent < self.settings.max_forwards && self.desk.purse >= 1.0;
        let early = again && self.now + patience + need < goal;
        let time_out = if early { patience } else { due.since(self.now) };
        out.push(Action::Forward { exchange: id, backend, time_out });
        self.mail.push(Letter::Backend(backend, BackendNote::Sent));
        self.mail.push(Letter::Tier(TierNote::Sent));
        self.mail.push(Letter::Desk(DeskNote::Serve));
    }
}
