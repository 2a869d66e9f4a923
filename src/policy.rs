//! All decisions of an instance: where an exchange goes, when it waits, when it is turned back.
//!
//! Make one [`Balancer`] with the instance's settings, then hand it every event in order; it appends what is to
//! be done. Its interface is `event.rs` (what it hears and does) and `settings.rs` (what it is told at start).
//!
//! The ordinary path is the design of `docs/design.md`: one Vegas limit for the tier, a baseline reset by
//! correlation, bands of waiting and refusal in multiples of the limit, and a pick of two random ready backends.
//! Beside it stand six mechanisms:
//!
//! 1. Health: a backend that fails or falls silent while its peers answer is out until a trial forward is honoured.
//! 2. Further forwards: time-outs that leave room for another, paid from a purse that first forwards fill.
//! 3. Turn-backs: what can no longer be answered in time gets its final answer at once.
//! 4. Fairness: within the refusal band, what lies beyond its tenant's share goes first.
//! 5. Cold cap: a fresh backend's forwards are capped in flight and in rate, and grow with its answers.
//! 6. Following the list: departures bind at once; a lost watch is asked for again with a growing wait.
//!
//! Each backend is an actor, and so are the tier's limit and the desk that holds the exchanges. They change each
//! other only by notes, which the loop in [`Balancer::handle`] takes from their inboxes, oldest first.

use std::collections::{BTreeMap, VecDeque};

use oorandom::Rand32;

use crate::event::{Action, Condition, Ended, Event, Exchange, Listing, Outcome};
use crate::id::{BackendId, ExchangeId, ForwardNo, PodId, TimerMark, ZoneId};
use crate::settings::{Cold, Effect, Group, Settings};
use crate::time::{Span, Time};

#[cfg(test)]
mod tests;

/// The limit's update interval.
const BEAT: Span = Span::from_millis(100);
/// A window of samples is at least this long and this full, and never older than the last figure.
const WINDOW: Span = Span::from_millis(2000);
const WINDOW_SAMPLES: usize = 50;
const WINDOW_MOST: Span = Span::from_millis(30_000);
/// Weight of a new window in the smoothed p90.
const SMOOTHING: f64 = 0.2;
/// Update intervals over which in-flight and throughput are compared.
const CORRELATED: usize = 50;
/// Calls per ready backend, over all instances of the tier, at which the limit starts and which bounds it.
const CALLS_PER_READY: f64 = 5.0;
const LIMIT_FLOOR: f64 = 4.0;
/// Bands, in multiples of the limit: above the first refusals begin, above the second nothing is taken.
const BAND_CHANCE: f64 = 2.0;
const BAND_ALL: f64 = 3.0;
/// Further forwards that may have run before, for each first forward; and the most that is saved up.
const PURSE_SHARE: f64 = 0.1;
const PURSE_MOST: f64 = 10.0;
/// Strikes in a row that put a backend out.
const STRIKES_OUT: f64 = 2.0;
/// At most this part of the ready backends is out, so that the rest is not overrun.
const OUT_MOST: f64 = 0.34;
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

enum To {
    Backend(BackendId),
    Tier,
    Desk,
}

enum BackendNote {
    Listed(Listing),
    Sent,
    Began(Span),
    Ended { ended: Ended, streamed: bool },
    Beat,
}

enum TierNote {
    Sent,
    /// A latency sample, and whether it ended well.
    Sample(Span),
    Verdict {
        failed: bool,
    },
    Beat {
        in_flight: u32,
        ready: usize,
    },
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

#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    In,
    /// Gets nothing until then, and after that one trial forward at a time.
    Out {
        until: Time,
        times: u32,
    },
}

/// The one record of a backend.
struct Backend {
    inbox: VecDeque<BackendNote>,
    listing: Listing,
    standing: Standing,
    in_flight: u32,
    /// Most forwards in flight; grows with answers while the backend is fresh.
    cap: f64,
    /// Forwards that a cold backend may still be sent.
    credit: f64,
    strikes: f64,
    /// Smoothed answer time in ms.
    took: Option<f64>,
    /// When it last answered, or was sent its first forward while idle.
    heard: Time,
    /// What it last said it holds for others, and when.
    others: Option<(Time, f64)>,
}

/// What a backend needs to know of its peers to judge itself.
struct Peers<'a> {
    now: Time,
    tier: &'a Tier,
    cold: &'a Cold,
    instances: f64,
    /// Another backend may be put out.
    spare: bool,
    chance: f64,
}

impl Backend {
    fn new(listing: Listing, now: Time) -> Backend {
        Backend {
            inbox: VecDeque::new(),
            listing: Listing { started: None, ..listing },
            standing: Standing::In,
            in_flight: 0,
            cap: f64::INFINITY,
            credit: 0.0,
            strikes: 0.0,
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
            Standing::In => f64::from(self.in_flight) < self.cap.min(room),
            Standing::Out { until, .. } => now >= until && self.in_flight == 0,
        };
        let affords = self.credit >= 1.0 || self.warmth(now, cold) >= 1.0;
        self.listing.condition == Condition::Ready && standing && affords
    }

    /// How many times as long as its peers it takes; small differences do not count.
    fn pace(&self, tier: &Tier) -> f64 {
        let relative = self.took.map_or(1.0, |took| took / tier.took.max(1.0));
        (relative / 1.2).clamp(1.0, 8.0)
    }

    /// What others have in flight here: its report, which fades towards the mean of all reports with age.
    fn others(&self, now: Time, mean: f64, fade: f64) -> f64 {
        self.others.map_or(mean, |(at, said)| mean + (said - mean) * (-now.since(at).ms() / fade).exp())
    }

    fn act(&mut self, note: BackendNote, peers: &Peers, mail: &mut Vec<Letter>, out: &mut Vec<Action>) {
        match note {
            BackendNote::Listed(listing) => self.listed(listing, peers),
            BackendNote::Sent => {
                if self.in_flight == 0 {
                    self.heard = peers.now;
                }
                self.in_flight += 1;
                self.credit -= 1.0;
            }
            BackendNote::Began(took) => {
                self.heard = peers.now;
                self.sample(took, mail);
            }
            BackendNote::Ended { ended, streamed } => self.ended(&ended, streamed, peers, mail, out),
            BackendNote::Beat => {
                // Guards against a cold backend being pushed over by all instances together: each sends it
                // its part of what its warmth bears, measured by what its warm peers carry.
                let floor = 2.0 / (peers.instances * (peers.cold.window.ms() / 1000.0).max(0.1));
                let bears = self.warmth(peers.now, peers.cold) * peers.cold.multiple * 0.5 * peers.tier.rate;
                self.credit = (self.credit + bears.max(floor) * BEAT.ms() / 1000.0).min(1.5);
                if let Some(took) = self.took.as_mut() {
                    *took += (peers.tier.took - *took) * 0.01;
                }
                // Guards against a hung backend that answers nothing, not even an error.
                let silent = self.in_flight > 0 && peers.now.since(self.heard).ms() > 3.0 * peers.tier.p90();
                if silent && self.standing == Standing::In && peers.spare {
                    self.put_out("silent", peers, out);
                }
            }
        }
    }

    fn listed(&mut self, listing: Listing, peers: &Peers) {
        if listing.started != self.listing.started {
            let new = Backend { listing, ..Backend::new(listing, peers.now) };
            let warm = new.warmth(peers.now, peers.cold) >= 1.0;
            // Guards against a start that all instances hear of at once: each begins at a point of its own.
            let (cap, credit) = if warm { (f64::INFINITY, 0.0) } else { (1.0, peers.chance) };
            let (inbox, in_flight) = (std::mem::take(&mut self.inbox), self.in_flight);
            *self = Backend { inbox, in_flight, cap, credit, ..new };
        }
        self.listing = listing;
    }

    fn sample(&mut self, took: Span, mail: &mut Vec<Letter>) {
        // Guards against a hung or failing backend moving the limit of the whole tier: once it is out,
        // what it does says nothing about the others.
        if self.standing == Standing::In {
            mail.push(Letter::Tier(TierNote::Sample(took)));
        }
    }

    fn ended(
        &mut self,
        e: &Ended,
        streamed: bool,
        peers: &Peers,
        mail: &mut Vec<Letter>,
        out: &mut Vec<Action>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.heard = peers.now;
        if let Some(held) = e.load.held.or(e.load.waiting) {
            self.others = Some((peers.now, (held - f64::from(self.in_flight)).max(0.0)));
        }
        // Guards against blaming one backend for what all of them suffer, such as errors from the tier below.
        let blame = (1.0 - 3.0 * peers.tier.failing).max(0.0);
        let strike = match e.outcome {
            Outcome::Honoured => 0.0,
            Outcome::Error | Outcome::Broken | Outcome::TimedOut => blame,
            Outcome::ConnectFailed => STRIKES_OUT,
            Outcome::Full if !streamed => {
                return self.sample(e.took.max(Span::from_ms(peers.tier.p90())), mail)
            }
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent => return,
        };
        mail.push(Letter::Tier(TierNote::Verdict { failed: strike > 0.0 || e.outcome != Outcome::Honoured }));
        if matches!(e.outcome, Outcome::Honoured | Outcome::TimedOut) && !streamed {
            self.sample(e.took, mail);
            let took = e.took.ms();
            self.took = Some(self.took.map_or(took, |mean| mean + (took - mean) * 0.2));
        }
        if e.outcome == Outcome::Honoured {
            self.strikes = 0.0;
            self.cap += 1.0;
            self.credit = (self.credit + 1.0).min(1.5);
            if self.standing != Standing::In {
                self.standing = Standing::In;
                self.cap = 1.0;
                out.push(Action::Log(format!("{} back in, took {:.0}", e.backend, e.took.ms())));
            }
            return;
        }
        self.strikes += strike;
        match self.standing {
            Standing::Out { times, .. } => self.out_until(times + 1, peers),
            Standing::In if self.strikes >= STRIKES_OUT && peers.spare => self.put_out("failing", peers, out),
            Standing::In => {}
        }
    }

    fn out_until(&mut self, times: u32, peers: &Peers) {
        let wait = OUT_FIRST.scaled(f64::from(1 << times.min(OUT_DOUBLINGS)) * (0.75 + 0.5 * peers.chance));
        self.standing = Standing::Out { until: peers.now + wait, times };
    }

    fn put_out(&mut self, why: &str, peers: &Peers, out: &mut Vec<Action>) {
        self.out_until(0, peers);
        out.push(Action::Log(format!(
            "{} out, {why}: strikes {:.1}, in flight {}, heard {:.0} ago, tier failing {:.2}",
            self.listing.backend,
            self.strikes,
            self.in_flight,
            peers.now.since(self.heard).ms(),
            peers.tier.failing
        )));
    }
}

/// The Vegas limit of the tier, and what else is known of the tier as a whole.
struct Tier {
    inbox: VecDeque<TierNote>,
    limit: f64,
    smooth: Option<f64>,
    baseline: Option<f64>,
    samples: VecDeque<(Time, f64)>,
    /// In flight and answers of each of the last update intervals.
    intervals: VecDeque<(f64, f64)>,
    answers: f64,
    sent: f64,
    /// Own forwards a second for each ready backend.
    rate: f64,
    /// Mean answer time in ms.
    took: f64,
    /// Part of the forwards that fail.
    failing: f64,
}

impl Tier {
    fn new() -> Tier {
        Tier {
            inbox: VecDeque::new(),
            limit: 0.0,
            smooth: None,
            baseline: None,
            samples: VecDeque::new(),
            intervals: VecDeque::new(),
            answers: 0.0,
            sent: 0.0,
            rate: 0.0,
            took: 0.0,
            failing: 0.0,
        }
    }

    /// The smoothed p90 in ms; a second before any is known.
    fn p90(&self) -> f64 {
        self.smooth.unwrap_or(1000.0)
    }

    fn act(&mut self, note: TierNote, now: Time, instances: f64) {
        match note {
            TierNote::Sent => self.sent += 1.0,
            TierNote::Sample(took) => {
                self.samples.push_back((now, took.ms()));
                self.answers += 1.0;
                let weight = if self.took == 0.0 { 1.0 } else { 0.05 };
                self.took += (took.ms() - self.took) * weight;
            }
            TierNote::Verdict { failed } => {
                self.failing += (f64::from(u8::from(failed)) - self.failing) * 0.05;
            }
            TierNote::Beat { in_flight, ready } => {
                let ready = ready as f64;
                let per_second = self.sent * 1000.0 / BEAT.ms() / ready.max(1.0);
                self.rate += (per_second - self.rate) * 0.05;
                self.intervals.push_back((f64::from(in_flight), self.answers));
                if self.intervals.len() > CORRELATED {
                    self.intervals.pop_front();
                }
                (self.sent, self.answers) = (0.0, 0.0);
                let top = (CALLS_PER_READY * ready / instances).max(LIMIT_FLOOR);
                self.limit = if self.limit == 0.0 { top } else { self.limit.min(top) };
                self.update(now, top);
            }
        }
    }

    fn update(&mut self, now: Time, top: f64) {
        while let Some((at, _)) = self.samples.front() {
            let age = now.since(*at);
            let spare = self.samples.len() > WINDOW_SAMPLES && age > WINDOW;
            if !spare && age <= WINDOW_MOST {
                break;
            }
            self.samples.pop_front();
        }
        let full = self.samples.len() >= WINDOW_SAMPLES
            && self.samples.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW);
        if !full {
            // Guards against an instance with few calls being stuck at a low limit: it rises while unjudged.
            self.limit = (self.limit + BEAT.ms() / 1000.0).min(top);
            return;
        }
        let mut took: Vec<f64> = self.samples.iter().map(|(_, ms)| *ms).collect();
        let place = took.len() * 9 / 10;
        let p90 = *took.select_nth_unstable_by(place, f64::total_cmp).1;
        let smooth = self.smooth.map_or(p90, |s| s + (p90 - s) * SMOOTHING);
        self.smooth = Some(smooth);
        if self.baseline.is_none() || correlation(&self.intervals) > 0.0 {
            self.baseline = Some(smooth);
        }
        let queued = self.limit * (1.0 - self.baseline.unwrap_or(smooth) / smooth.max(0.001));
        let step = self.limit.log10().max(1.0);
        if queued < 3.0 * self.limit.log10() {
            self.limit = (self.limit + step).min(top);
        } else if queued > 6.0 * self.limit.log10() {
            self.limit = (self.limit - step).max(LIMIT_FLOOR);
        }
    }
}

/// Pearson's correlation of in flight and throughput, once all intervals are in; nothing before.
fn correlation(intervals: &VecDeque<(f64, f64)>) -> f64 {
    if intervals.len() < CORRELATED {
        return 0.0;
    }
    let n = intervals.len() as f64;
    let (x, y) = intervals.iter().fold((0.0, 0.0), |(x, y), (a, b)| (x + a / n, y + b / n));
    let mut sums = (0.0, 0.0, 0.0);
    for (a, b) in intervals {
        sums = (sums.0 + (a - x) * (b - y), sums.1 + (a - x).powi(2), sums.2 + (b - y).powi(2));
    }
    sums.0 / (sums.1 * sums.2).sqrt().max(1e-9)
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
    /// The forward that is out, and where.
    out: Option<(BackendId, Bound)>,
    /// The first forward that may have run.
    ran: Option<Bound>,
    tried: Option<BackendId>,
    began: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Ordinary,
    Waiting,
    Refusing,
}

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
    due: VecDeque<To>,
    list_failures: u32,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Time, out: &mut Vec<Action>) -> Balancer {
        let mut rng = Rand32::new(seed);
        out.push(Action::Timer {
            after: BEAT.scaled(0.1 + 0.9 * f64::from(rng.rand_float())),
            mark: MARK_BEAT,
        });
        if settings.list_on_request {
            let after = Span::from_millis(1500).scaled(f64::from(rng.rand_float()));
            out.push(Action::Timer { after, mark: MARK_WATCH });
        }
        let shares = settings.allowances.iter().map(|a| a / settings.instances as f64).collect();
        let desk = Desk {
            inbox: VecDeque::new(),
            held: BTreeMap::new(),
            first: Vec::new(),
            further: Vec::new(),
            purse: PURSE_MOST / 2.0,
            shares,
            mode: Mode::Ordinary,
        };
        Balancer {
            settings,
            rng,
            now,
            backends: BTreeMap::new(),
            tier: Tier::new(),
            desk,
            mail: Vec::new(),
            due: VecDeque::new(),
            list_failures: 0,
        }
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
                let streamed = self.desk.held.get(&ended.exchange).is_some_and(|held| held.began);
                self.mail.push(Letter::Backend(ended.backend, BackendNote::Ended { ended, streamed }));
                self.mail.push(Letter::Desk(DeskNote::Ended(ended)));
            }
            Event::Left(exchange) => self.mail.push(Letter::Desk(DeskNote::Left(exchange))),
            Event::Timer(MARK_BEAT) => self.beat(out),
            Event::Timer(MARK_WATCH) => out.push(Action::Watch { on: true }),
            Event::Timer(TimerMark(mark)) => {
                self.mail.push(Letter::Desk(DeskNote::Overdue(ExchangeId(mark as u32))));
            }
            Event::Checked { .. } | Event::PeerSaid { .. } => {}
        }
        self.mail.push(Letter::Desk(DeskNote::Serve));
        self.run(out);
    }

    /// Empties the inboxes, oldest note first.
    fn run(&mut self, out: &mut Vec<Action>) {
        loop {
            for letter in self.mail.drain(..) {
                match letter {
                    Letter::Backend(id, note) => {
                        if let Some(backend) = self.backends.get_mut(&id) {
                            backend.inbox.push_back(note);
                            self.due.push_back(To::Backend(id));
                        }
                    }
                    Letter::Tier(note) => {
                        self.tier.inbox.push_back(note);
                        self.due.push_back(To::Tier);
                    }
                    Letter::Desk(note) => {
                        self.desk.inbox.push_back(note);
                        self.due.push_back(To::Desk);
                    }
                }
            }
            match self.due.pop_front() {
                None => return,
                Some(To::Backend(id)) => self.run_backend(id, out),
                Some(To::Tier) => {
                    let instances = self.settings.instances as f64;
                    if let Some(note) = self.tier.inbox.pop_front() {
                        self.tier.act(note, self.now, instances);
                    }
                }
                Some(To::Desk) => {
                    if let Some(note) = self.desk.inbox.pop_front() {
                        self.run_desk(note, out);
                    }
                }
            }
        }
    }

    fn run_backend(&mut self, id: BackendId, out: &mut Vec<Action>) {
        let outs = self.listed_ready().filter(|b| b.standing != Standing::In).count() as f64;
        let spare = outs + 1.0 <= (OUT_MOST * self.listed_ready().count() as f64).max(1.0);
        let peers = Peers {
            now: self.now,
            tier: &self.tier,
            cold: &self.settings.cold,
            instances: self.settings.instances as f64,
            spare,
            chance: f64::from(self.rng.rand_float()),
        };
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if let Some(note) = backend.inbox.pop_front() {
            backend.act(note, &peers, &mut self.mail, out);
        }
    }

    fn listed_ready(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(|b| b.listing.condition == Condition::Ready)
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
    }

    fn list_failed(&mut self, out: &mut Vec<Action>) {
        let wait = f64::from(1 << self.list_failures.min(4)) * (0.5 + f64::from(self.rng.rand_float()));
        self.list_failures += 1;
        out.push(Action::Log(format!("list lost, failure {}, asking again", self.list_failures)));
        out.push(Action::Timer { after: Span::from_millis(500).scaled(wait), mark: MARK_WATCH });
    }

    fn beat(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Timer { after: BEAT, mark: MARK_BEAT });
        self.backends.retain(|_, b| b.listing.condition != Condition::Gone || b.in_flight > 0);
        self.mail.extend(self.backends.keys().map(|id| Letter::Backend(*id, BackendNote::Beat)));
        let (in_flight, ready) = (self.in_flight(), self.listed_ready().count());
        self.mail.push(Letter::Tier(TierNote::Beat { in_flight, ready }));
        self.mail.push(Letter::Desk(DeskNote::Beat));
    }

    /// Own forwards in flight. What a backend that is out still holds does not use up the limit.
    fn in_flight(&self) -> u32 {
        self.backends.values().filter(|b| b.standing == Standing::In).map(|b| b.in_flight).sum()
    }

    fn limit(&self) -> f64 {
        let start = CALLS_PER_READY * self.listed_ready().count() as f64 / self.settings.instances as f64;
        if self.tier.limit > 0.0 {
            self.tier.limit
        } else {
            start.max(LIMIT_FLOOR)
        }
    }

    fn waiting(&self) -> usize {
        self.desk.first.len() + self.desk.further.len()
    }

    fn run_desk(&mut self, note: DeskNote, out: &mut Vec<Action>) {
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
            DeskNote::Left(id) => {
                self.drop_held(id, out);
            }
            DeskNote::Beat => self.desk_beat(out),
            DeskNote::Serve => self.serve(out),
        }
    }

    fn desk_beat(&mut self, out: &mut Vec<Action>) {
        let instances = self.settings.instances as f64;
        for (share, allowance) in self.desk.shares.iter_mut().zip(&self.settings.allowances) {
            let rate = allowance / instances;
            *share = (*share + rate * BEAT.ms() / 1000.0).min(rate);
        }
        let (in_flight, waiting) = (self.in_flight(), self.waiting());
        let held = (f64::from(in_flight) + waiting as f64) / self.limit();
        let mode = match waiting {
            0 => Mode::Ordinary,
            _ if held <= BAND_CHANCE => Mode::Waiting,
            _ => Mode::Refusing,
        };
        if mode != self.desk.mode {
            self.desk.mode = mode;
            let (limit, p90, base) = (self.limit(), self.tier.p90(), self.tier.baseline.unwrap_or(0.0));
            out.push(Action::Log(format!(
                "mode {mode:?}: limit {limit:.1}, in flight {in_flight}, waiting {waiting}, p90 {p90:.0}, base {base:.0}"
            )));
        }
    }

    fn taken(&mut self, exchange: Exchange, out: &mut Vec<Action>) {
        let Some(tariff) = self.settings.tariffs.get(usize::from(exchange.tariff.0)) else { return };
        // Room for the time between two batches, and for the answer's way back.
        let margin = self.settings.round.scaled(2.0) + Span::from_millis(2);
        let stretch = exchange.cost.unwrap_or_default().scaled(tariff.goal_stretch);
        let goal = (self.now + tariff.goal + stretch).min(self.now + tariff.cut_off) - margin;
        let last = exchange.cut_off - margin;
        let due = if tariff.late_value > 0.0 { last } else { last.min(goal) };
        // The share is one of the first tier's clients; further down it has been dealt with.
        let share = self.desk.shares.get_mut(exchange.tenant.0 as usize).filter(|_| self.settings.tier == 0);
        let beyond_share = share.is_some_and(|share| {
            *share -= 1.0;
            *share < 0.0 && {
                *share = 0.0;
                true
            }
        });
        let id = exchange.id;
        let (goal, out_now) = (goal.min(last), None);
        let held = Held {
            exchange,
            goal,
            due,
            beyond_share,
            sent: 0,
            out: out_now,
            ran: None,
            tried: None,
            began: false,
        };
        self.desk.held.insert(id, held);
        out.push(Action::Timer { after: due.since(self.now), mark: TimerMark(u64::from(id.0)) });
        let over = (f64::from(self.in_flight()) + self.waiting() as f64) / self.limit();
        self.desk.first.push(id);
        let chance = (over - BAND_CHANCE) / (BAND_ALL - BAND_CHANCE);
        if chance > f64::from(self.rng.rand_float()) {
            // Guards against one tenant's flood: within the band, what lies beyond a share is refused first.
            let beyond = self.desk.first.iter().find(|id| self.desk.held[id].beyond_share);
            let refused = beyond.copied().unwrap_or(id);
            self.give_up(refused, out);
        }
    }

    fn ended(&mut self, e: &Ended, out: &mut Vec<Action>) {
        let need = self.need();
        let Some(held) = self.desk.held.get_mut(&e.exchange) else { return };
        let bound = held.out.take().map(|(_, bound)| bound);
        if e.answered || held.began {
            self.desk.held.remove(&e.exchange);
            return;
        }
        if !e.outcome.proves_not_run() {
            held.ran = held.ran.or(bound);
        }
        held.tried = Some(e.backend);
        let tariff = &self.settings.tariffs[usize::from(held.exchange.tariff.0)];
        let end = if tariff.late_value > 0.0 { held.due } else { held.goal };
        // Guards against an effect that happens twice: only what has not run, or may be repeated, goes again.
        let allowed = match (tariff.effect, held.ran) {
            (Effect::Reissuable, _) | (_, None) => true,
            (Effect::Numbered { window, .. }, Some(bound)) => self.now < bound.since + window,
            (Effect::AtMostOnce, Some(_)) => false,
        };
        let time_left = self.now + need < end && held.sent < self.settings.max_forwards;
        let cost = if e.outcome.proves_not_run() { 0.0 } else { 1.0 };
        if allowed && time_left && e.outcome != Outcome::NotSent && self.desk.purse >= cost {
            self.desk.purse -= cost;
            self.desk.further.push(e.exchange);
        } else {
            self.give_up(e.exchange, out);
        }
    }

    /// Time that an answer will likely take.
    fn need(&self) -> Span {
        Span::from_ms(self.tier.took * 0.8)
    }

    fn drop_held(&mut self, id: ExchangeId, out: &mut Vec<Action>) -> Option<Held> {
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
        let Some(held) = self.drop_held(id, out) else { return };
        let tariff = &self.settings.tariffs[usize::from(held.exchange.tariff.0)];
        let harmless = match tariff.effect {
            Effect::Reissuable | Effect::Numbered { group: Group::All, .. } => true,
            Effect::Numbered { .. } | Effect::AtMostOnce => held.ran.is_none() && held.out.is_none(),
        };
        if !harmless {
            out.push(Action::Forfeit { exchange: id });
            return;
        }
        let spread = 0.5 + f64::from(self.rng.rand_float());
        let drained = Span::from_ms(self.tier.took * spread);
        let backoff = self.settings.max_backoff.map(|most| {
            if self.now + self.need() >= held.goal {
                most
            } else {
                drained.min(most)
            }
        });
        out.push(Action::TurnBack { exchange: id, backoff });
    }

    /// Sends the next exchange that waits, if the limit has room; first forwards before further ones.
    fn serve(&mut self, out: &mut Vec<Action>) {
        let latest = self.now + self.need();
        let (first, further) = (std::mem::take(&mut self.desk.first), std::mem::take(&mut self.desk.further));
        let hopeless = |desk: &Desk, id: &ExchangeId| {
            desk.held.get(id).is_none_or(|held| latest >= held.goal.max(held.due.min(held.goal)))
        };
        let (gone, first): (Vec<_>, Vec<_>) = first.into_iter().partition(|id| hopeless(&self.desk, id));
        (self.desk.first, self.desk.further) = (first, further);
        for id in gone {
            self.give_up(id, out);
        }
        if f64::from(self.in_flight()) >= self.limit() {
            return;
        }
        let order = |id: &&ExchangeId| (self.desk.held[id].beyond_share, self.desk.held[id].goal);
        let next = self.desk.first.iter().min_by_key(order).copied();
        let further = self.desk.further.iter().copied();
        let found = next.into_iter().chain(further).collect::<Vec<_>>();
        for id in found {
            if let Some(backend) = self.pick(id) {
                self.forward(id, backend, out);
                self.mail.push(Letter::Desk(DeskNote::Serve));
                return;
            }
        }
    }

    /// Of two random ready backends the one with less to do.
    fn pick(&mut self, id: ExchangeId) -> Option<BackendId> {
        let held = &self.desk.held[&id];
        let effect = self.settings.tariffs[usize::from(held.exchange.tariff.0)].effect;
        let ready = self.listed_ready().count().max(1) as f64;
        let room = (2.0 * self.limit() / ready).ceil().max(2.0);
        let (now, cold) = (self.now, &self.settings.cold);
        let in_group = |b: &Backend| match (effect, held.ran) {
            (Effect::Numbered { group: Group::Zone, .. }, Some(bound)) => b.listing.zone == bound.zone,
            (Effect::Numbered { group: Group::Pod, .. }, Some(bound)) => b.listing.pod == bound.pod,
            _ => true,
        };
        let mut all: Vec<(BackendId, &Backend)> = Vec::with_capacity(self.backends.len());
        let open = self.backends.iter().filter(|(_, b)| b.ready(now, cold, room) && in_group(b));
        all.extend(open.map(|(id, b)| (*id, b)));
        if all.len() > 1 {
            all.retain(|(id, _)| Some(*id) != held.tried);
        }
        if all.is_empty() {
            return None;
        }
        let said: Vec<f64> = all.iter().filter_map(|(_, b)| b.others.map(|(_, others)| others)).collect();
        let mean = said.iter().sum::<f64>() / said.len().max(1) as f64;
        let fade = self.tier.took.max(1.0);
        let (zone, priced) = (self.settings.zone, self.settings.crossing_priced);
        let load = |b: &Backend| {
            let crossing = if priced && b.listing.zone != zone { 1.0 } else { 0.0 };
            (f64::from(b.in_flight) + b.others(now, mean, fade) + 1.0) * b.pace(&self.tier) + crossing
        };
        let rng = &mut self.rng;
        let mut two = |from: &[(BackendId, &Backend)]| {
            let one = rng.rand_range(0..from.len() as u32) as usize;
            let step = if from.len() > 1 { 1 + rng.rand_range(0..from.len() as u32 - 1) as usize } else { 0 };
            let other = (one + step) % from.len();
            let (a, b) = (load(from[one].1), load(from[other].1));
            if a <= b {
                (from[one].0, a)
            } else {
                (from[other].0, b)
            }
        };
        let best = two(&all);
        if priced {
            // Where crossing zones has a price, two of the own zone are drawn as well.
            all.retain(|(_, b)| b.listing.zone == zone);
            if !all.is_empty() {
                let near = two(&all);
                return Some(if near.1 <= best.1 { near.0 } else { best.0 });
            }
        }
        Some(best.0)
    }

    fn forward(&mut self, id: ExchangeId, backend: BackendId, out: &mut Vec<Action>) {
        self.desk.first.retain(|waiting| *waiting != id);
        self.desk.further.retain(|waiting| *waiting != id);
        let need = self.need();
        let Some(held) = self.desk.held.get_mut(&id) else { return };
        let tariff = &self.settings.tariffs[usize::from(held.exchange.tariff.0)];
        if held.sent == 0 {
            self.desk.purse = (self.desk.purse + PURSE_SHARE).min(PURSE_MOST);
        }
        let Listing { pod, zone, .. } = self.backends[&backend].listing;
        held.out = Some((backend, Bound { pod, zone, since: self.now }));
        held.sent += 1;
        // Guards against a hung backend using up the caller's time: where another forward would be allowed
        // and affordable, this one is given up while there is time for the other.
        let again = tariff.effect != Effect::AtMostOnce
            && held.sent < self.settings.max_forwards
            && self.desk.purse >= 1.0;
        let patience = Span::from_ms(2.0 * self.tier.p90());
        let left = held.due.since(self.now);
        let time_out = if again && self.now + patience + need < held.goal { patience } else { left };
        out.push(Action::Forward { exchange: id, backend, time_out });
        self.mail.push(Letter::Backend(backend, BackendNote::Sent));
        self.mail.push(Letter::Tier(TierNote::Sent));
    }
}
