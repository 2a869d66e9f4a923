//! What an instance remembers: its records, and plain measures over them. They decide nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::event::{BackendNote, Condition, Event, Listing, Load, TierNote};
use crate::id::{BackendId, RequestId, TenantId, ZoneId};
use crate::peer_message::{Observation, MAX_OBSERVATION_AGE};
use crate::settings::{Class, Effect, Settings};
use crate::stats::{Keys, Mean, Tally, Trend, Window};
use crate::time::Time;

/// The one record of a backend.
#[derive(Default)]
pub struct Backend {
    pub inbox: Vec<BackendNote>,
    pub listing: Listing,
    /// When staff let it serve again; it may have restarted meanwhile.
    pub back: Option<Time>,
    /// While out it gets nothing until then, and after that one trial attempt at a time.
    pub out: Option<Time>,
    /// How often it was put out, or stayed out, in a row.
    pub outs: u32,
    pub strikes: f64,
    /// Own attempts and checks that failed, of late.
    pub tally: Tally,
    pub in_flight: f64,
    /// What of it the tier's sum holds.
    pub counted: f64,
    /// Until when it may still work on attempts that were given up.
    pub ghosts: Vec<Time>,
    /// Most attempts in flight while it is fresh; grows with its answers.
    pub cap: Option<f64>,
    pub full_until: Time,
    /// Attempts that a cold backend may still be sent.
    pub credit: f64,
    /// Answer time in ms.
    pub took: Mean,
    /// When it last answered, or was sent its first attempt while idle.
    pub heard: Time,
    /// What it last said it holds for others, and when.
    pub others: Option<(Time, f64)>,
    /// When it was last judged, by this instance or another that told of it, and what part failed by then.
    pub word: Option<(Time, f64)>,
}

impl Backend {
    /// The latest that its process may have started.
    pub fn started(&self) -> Option<Time> {
        self.listing.started.max(self.back)
    }

    pub fn holds(&self) -> f64 {
        self.in_flight + self.ghosts.len() as f64
    }

    /// How many times as long as its peers it takes; small differences do not count, and its size counts by
    /// its root: what it waits for elsewhere takes no longer on a small machine.
    pub fn pace(&self, tier: &Tier) -> f64 {
        let size = self.listing.size / if tier.size > 0.0 { tier.size } else { self.listing.size };
        (self.took.or(tier.took.or(0.0)) / tier.took.or(0.0).max(1.0) / 1.2).clamp(1.0, 8.0) / size.sqrt()
    }

    /// Guards against a backend that fails, or a zone, being learnt of anew by each of many instances that
    /// send it little: what fails more than the tier weighs more in the pick from the first failure on.
    pub fn burden(&self, now: Time, tier: &Tier, peers: bool, (prior, fade): (f64, f64)) -> f64 {
        let like = if peers { self.word(now, tier, prior, fade) } else { self.like(tier, prior) };
        let failing = self.tally.share(like, prior);
        ((1.0 - tier.failing) / (1.0 - failing).max(0.1)).max(1.0).powi(2)
    }

    /// What it says that it holds, without this instance's attempts.
    pub fn report(&mut self, load: Load, now: Time) {
        let said = load.in_flight.or(load.queued).map(|held| (now, (held - self.in_flight).max(0.0)));
        self.others = said.or(self.others);
    }

    /// The part of attempts that fail in its zone.
    fn like(&self, tier: &Tier, prior: f64) -> f64 {
        let zone = tier.zones.get(&self.listing.zone).copied().unwrap_or_default();
        zone.share(tier.failing, prior)
    }

    /// The part of its attempts that fail, as others saw it, and with time as its zone does.
    pub fn word(&self, now: Time, tier: &Tier, prior: f64, fade: f64) -> f64 {
        let like = self.like(tier, prior);
        // What has faded to a trace is forgotten, so that it decides no pick between equals.
        let word =
            self.word.map(|(at, word)| (now.since(at).ms() / fade, word)).filter(|(age, _)| *age < 4.0);
        word.map_or(like, |(age, word)| like + (word - like) * (-age).exp())
    }

    /// Takes another instance's word where it is newer than what is known.
    pub fn hear(&mut self, word: Observation, now: Time) {
        let at = now - word.age;
        let newer = |known: Option<(Time, f64)>| known.is_none_or(|(known, _)| known < at);
        self.word = if newer(self.word) { Some((at, word.failure_ratio)) } else { self.word };
        let held = word.in_flight.filter(|_| newer(self.others)).map(|held| (at, held));
        self.others = held.or(self.others);
    }

    /// What there is to tell others of it, unless it is old.
    pub fn tells(&self, now: Time) -> Option<Observation> {
        let seen = self.others.map(|(at, _)| at).max(self.word.map(|(at, _)| at))?;
        let (age, held) = (now.since(seen), self.others.map(|(_, held)| held));
        let word = Observation {
            backend: self.listing.backend,
            age,
            in_flight: held,
            failure_ratio: self.word.map_or(0.0, |(_, f)| f),
        };
        (age < MAX_OBSERVATION_AGE).then_some(word)
    }

    /// What others have in flight here: its report, which fades towards the mean of all reports with age.
    pub fn others(&self, now: Time, mean: f64, fade: f64) -> f64 {
        self.others.map_or(mean, |(at, said)| mean + (said - mean) * (-now.since(at).ms() / fade).exp())
    }
}

/// The Vegas limit of the tier, and what else is known of the tier as a whole.
#[derive(Default)]
pub struct Tier {
    pub limit: f64,
    /// Instances for each ready backend.
    pub crowd: f64,
    /// At backends that are not out, with what was given up and may still run.
    pub in_flight: f64,
    /// Mean of what the reports say that others hold at a backend.
    pub others: f64,
    /// Half of the reports say less.
    pub middle: f64,
    /// Mean size of the ready backends.
    pub size: f64,
    pub ready_and_out: (f64, f64),
    /// Smoothed, in ms.
    pub p90: Mean,
    /// The same of answers alone.
    pub answered: Mean,
    /// The latency that the limit goes by: one of the two.
    pub latency: Mean,
    /// What it is without a queue.
    pub baseline: Mean,
    pub samples: Window,
    /// In flight and answers of the last update intervals.
    pub intervals: Trend,
    pub answers: f64,
    /// Own answers a second for each ready backend.
    pub rate: f64,
    /// Answer time in ms.
    pub took: Mean,
    /// Part of the samples that were not in time.
    pub late: Mean,
    /// Part of the attempts that fail.
    pub failing: f64,
    /// What failed of late in each zone.
    pub zones: BTreeMap<ZoneId, Tally>,
}

impl Tier {
    /// The design's queueUse at this latency.
    pub fn queued(&self, latency: Mean) -> f64 {
        self.limit * (1.0 - self.baseline.or(latency.or(0.0)) / latency.or(0.0).max(0.001))
    }
}

/// A request that was taken and not yet answered.
#[derive(Clone, Debug)]
pub struct Held {
    pub class: Class,
    pub arrived: Time,
    /// An answer after this is late.
    pub target: Time,
    /// The final answer is given by then.
    pub due: Time,
    pub beyond_share: bool,
    /// All of it has come; before that nothing runs, and an attempt counts nowhere.
    pub whole: bool,
    pub sent: u16,
    /// Where the attempt that is out may be running, and since when.
    pub out: Option<(Listing, Time)>,
    /// The first attempt that may have run.
    pub ran: Option<(Listing, Time)>,
    /// What it is about, where backends remember that.
    pub key: Option<u64>,
    /// Where its last attempt ended.
    pub last: Option<BackendId>,
    /// The two that were asked for a report, since when, and until when at most.
    pub asked: Option<([BackendId; 2], Time, Time)>,
}

/// The desk that holds the requests.
#[derive(Default)]
pub struct Desk {
    pub inbox: VecDeque<Event>,
    pub held: BTreeMap<RequestId, Held>,
    /// The line of first attempts.
    pub first: Vec<RequestId>,
    /// The line of further attempts.
    pub further: Vec<RequestId>,
    /// What waits for the reports of the two backends drawn for it.
    pub asking: Vec<RequestId>,
    pub retry_budget: f64,
    /// What each tenant may still send within its share.
    pub shares: Vec<f64>,
    /// A request was taken since the last update.
    pub met: bool,
    /// Which keys are asked for of late.
    pub keys: Keys,
    pub mode: &'static str,
}

impl Held {
    pub fn new(class: Class, arrived: Time, target: Time, due: Time, beyond_share: bool) -> Held {
        Held {
            class,
            arrived,
            target,
            due,
            beyond_share,
            whole: true,
            sent: 0,
            out: None,
            ran: None,
            key: None,
            last: None,
            asked: None,
        }
    }
}

impl Held {
    /// Until when its repeats are dropped, if it may have run and they are.
    pub fn repeats_until(&self) -> Option<Time> {
        match (self.class.effect, self.ran) {
            (Effect::Keyed { window, .. }, Some((_, since))) => Some(since + window),
            _ => None,
        }
    }
}

impl Desk {
    /// With a retry budget, and shares of what tenants may ask: those of the first tier's clients; below it they have been
    /// dealt with.
    pub fn new(settings: &Settings, retry_budget: f64) -> Desk {
        let own = settings.tenant_quotas.iter().filter(|_| settings.tier == 0);
        let shares = own.map(|allowance| allowance / settings.instances as f64).collect();
        Desk { retry_budget, shares, mode: "ordinary", ..Desk::default() }
    }

    pub fn waiting(&self) -> f64 {
        (self.first.len() + self.further.len() + self.asking.len()) as f64
    }

    /// Gives each tenant its part of what it may ask of one instance in an update interval.
    pub fn refill(&mut self, settings: &Settings, ticks_per_s: f64) {
        for (share, allowance) in self.shares.iter_mut().zip(&settings.tenant_quotas) {
            let own = allowance / settings.instances as f64;
            *share = (share.max(0.0) + own / ticks_per_s).min(own);
        }
    }

    /// Counts a request against its tenant's share; whether it lies beyond it.
    pub fn goes_beyond(&mut self, tenant: TenantId) -> bool {
        let share = self.shares.get_mut(tenant.0 as usize);
        let beyond = share.map(|share| {
            *share -= 1.0;
            *share < 0.0
        });
        // Guards against a flood that escapes its share under a name that nobody has.
        beyond.unwrap_or(!self.shares.is_empty())
    }

    /// A line for the log, where it is another state than before.
    pub fn tell_mode(&mut self, load: f64, band: f64, tier: &Tier) -> Option<String> {
        let mode = match self.first.len() {
            0 => "ordinary",
            _ if load <= band => "waiting",
            _ => "refusing",
        };
        let [p90, base] = [tier.latency, tier.baseline].map(|mean| mean.or(0.0));
        let text = format!("{mode}: limit {:.1}, load {load:.2}, p90 {p90:.0}/{base:.0}", tier.limit);
        (std::mem::replace(&mut self.mode, mode) != mode).then_some(text)
    }

    pub fn leave_lines(&mut self, id: RequestId) {
        for line in [&mut self.first, &mut self.further, &mut self.asking] {
            line.retain(|waiting| *waiting != id);
        }
    }
}

const SAID_FADE: f64 = 2000.0; // ms in which a report counts less in the mean of all
const SAID_LEAST: f64 = 0.1; // reports that say that nothing is held, so that no report is none

/// What the tier is told of all backends at each update.
pub fn census<'a>(all: impl Iterator<Item = &'a Backend> + Clone, now: Time) -> TierNote {
    let listed = all.filter(|b| b.listing.condition == Condition::Ready);
    // What was said long ago tells little of how much is held now.
    let weighed = |(at, others): (Time, f64)| ((-now.since(at).ms() / SAID_FADE).exp(), others);
    let mut said: Vec<_> = listed.clone().filter_map(|b| b.others).map(weighed).collect();
    let weights = said.iter().map(|(weight, _)| weight).sum::<f64>() + SAID_LEAST;
    let others = said.iter().map(|(weight, others)| weight * others).sum::<f64>() / weights;
    said.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut below = SAID_LEAST;
    let middle = said.iter().find(|(weight, _)| {
        below += weight;
        2.0 * below >= weights
    });
    let middle = middle.map_or(0.0, |(_, others)| *others);
    let (ready, out) =
        (listed.clone().count() as f64, listed.clone().filter(|b| b.out.is_some()).count() as f64);
    let size = listed.map(|b| b.listing.size).sum::<f64>() / ready.max(1.0);
    TierNote::Tick { ready, out, others, middle, size }
}

/// What there is to tell another instance of them, the newest first.
pub fn words(backends: &BTreeMap<BackendId, Backend>, now: Time) -> impl Iterator<Item = Observation> {
    let mut words: Vec<_> = backends.values().filter_map(|b| b.tells(now)).collect();
    words.sort_by_key(|word| word.age);
    words.into_iter()
}

/// How many backends of the list are out, or barred by hand.
pub fn left_out(backends: &BTreeMap<BackendId, Backend>, barred: &BTreeSet<BackendId>) -> usize {
    let listed = backends.iter().filter(|(_, b)| b.listing.condition != Condition::Gone);
    listed.filter(|(id, b)| b.out.is_some() || barred.contains(id)).count()
}

/// Whether all backends that are listed as ready are barred, and there are any.
pub fn all_barred(backends: &BTreeMap<BackendId, Backend>, barred: &BTreeSet<BackendId>) -> bool {
    let mut ready = backends.iter().filter(|(_, b)| b.listing.condition == Condition::Ready).peekable();
    !barred.is_empty() && ready.peek().is_some() && ready.all(|(id, _)| barred.contains(id))
}
