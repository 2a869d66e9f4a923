//! All decisions of an instance: where a request goes, when it waits, when it is refused. Make one
//! [`Balancer`] with the instance's settings, then hand it every event in order; it appends the actions to
//! carry out. The basic algorithm is that of `docs/design.md`, which also describes what was added to it.
//!
//! Each backend is an actor, and so are the tier with its limit and the queue of requests. They change each
//! other only by messages, which one loop in [`Balancer::handle`] delivers; their state is in `state.rs`.

use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

use oorandom::Rand32;

use crate::backend_sampler::BackendSampler;
use crate::event::{
    Action, AttemptEnd, BackendMessage, Condition, Event, Listing, Outcome, Reason, Request, TierMessage,
};
use crate::id::{AttemptNo, BackendId, PeerId, RequestId, TimerId};
use crate::peer_message::{decode, encode};
use crate::settings::{Effect, Group, Settings};
use crate::state::{
    excluded_count, observations, summarize_backends, unavailability, Backend, PendingRequest, RequestQueue,
    Tier,
};
use crate::stats::Mean;
use crate::time::{Span, Time};

#[cfg(test)]
mod tests;

/// The update interval of the limit.
const TICK_INTERVAL: Span = Span::from_millis(250);
const TICKS_PER_S: f64 = 4.0;

/// The window of latency samples is at least this long and this full, and holds nothing older than the
/// maximum.
const MIN_WINDOW: Span = Span::from_millis(2000);
const MIN_WINDOW_SAMPLES: usize = 50;
const MAX_WINDOW: Span = Span::from_millis(30_000);
/// The weight of a new window in the smoothed 90th percentile.
const P90_SMOOTHING_WEIGHT: f64 = 0.2;

/// The number of update intervals over which attempts in flight and throughput are correlated.
const CORRELATION_INTERVALS: usize = 50;
/// Pearson's correlation times the square root of the intervals; chance alone hardly exceeds it.
const MIN_CORRELATION_SIGNIFICANCE: f64 = 2.1;

/// The limit falls if more than this part of the samples is late.
const MAX_LATE_RATIO: f64 = 0.1;
/// Bounds of the limit in attempts for each ready backend, of all instances together.
const MIN_ATTEMPTS_PER_BACKEND: f64 = 2.0;
const INITIAL_ATTEMPTS_PER_BACKEND: f64 = 4.0;
const MAX_ATTEMPTS_PER_BACKEND: f64 = 6.0;
/// Each instance may have at least this many attempts in flight in all, however many instances there are.
const MIN_LIMIT_ATTEMPTS: f64 = 4.0;

/// The weight of reported load against the limit, when the late part is `MAX_LATE_RATIO`.
const REPORTED_LOAD_WEIGHT: f64 = 3.0;
/// Refusals begin above this multiple of the limit.
const REFUSAL_START_RATIO: f64 = 2.0;
/// All requests are refused above this multiple of the limit.
const REFUSE_ALL_RATIO: f64 = 3.0;
/// A request stops waiting when less than this multiple of the 90th percentile is left for its response.
const MIN_TIME_LEFT_RATIO: f64 = 1.5;

/// Repeats of requests that may have run, for each first attempt.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// The most repeats that the retry budget saves up.
const MAX_RETRY_BUDGET_ATTEMPTS: f64 = 10.0;

/// A backend is ejected when the score of its failures in a row reaches this.
const EJECTION_FAILURE_SCORE: f64 = 2.0;
/// The time in which the weight of an observation of a backend falls to 1/e.
const OBSERVATION_FADE_MS: f64 = 5000.0;
/// The failure ratio of the zone, or of the tier, counts as this many own attempts.
const PRIOR_ATTEMPTS: f64 = 4.0;
/// The part of counted failures that remains after each update interval.
const FAILURE_FADE_RATIO: f64 = 0.98;
/// The part of the ready backends that may be ejected, so that the rest is not overloaded.
const MAX_EJECTED_RATIO: f64 = 0.34;
/// How long a backend is ejected the first time.
const FIRST_EJECTION: Span = Span::from_millis(1000);
/// How often that time doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// The highest price of a check at which load reports are requested.
const MAX_CHECK_PRICE: f64 = 0.005;
/// Sending to another zone, where that has a price, counts as this many attempts in flight.
const CROSS_ZONE_PENALTY_ATTEMPTS: f64 = 0.25;
/// If that backend doesn't report its load, it also counts as this part of the mean in flight in the own
/// zone.
const UNREPORTED_LOAD_RATIO: f64 = 0.5;
/// The part of the counted keys that remains after each update interval.
const KEY_FADE_RATIO: f64 = 0.97;
/// A report fades over one response time, and over up to this many more where instances outnumber backends.
const MAX_EXTRA_FADE_RESPONSES: f64 = 5.0;
/// A key with one backend's even part of the traffic has this many home backends; others have more or fewer in
/// proportion to their traffic.
const HOME_BACKENDS_PER_EVEN_SHARE: f64 = 2.5;
/// Sending a request to a backend that doesn't know its key counts as this many attempts in flight.
const KEY_MOVE_PENALTY_ATTEMPTS: f64 = 0.4;
/// Where there are many instances, this many share a backend.
const INSTANCES_PER_SHARED_BACKEND: f64 = 3.0;
/// The fewest backends in the subset that an instance sends to.
const MIN_SUBSET_BACKENDS: f64 = 6.0;
/// The part of the latency target for which load reports are awaited.
const REPORT_WAIT_RATIO: f64 = 0.05;
/// For how long a backend's silence says nothing after this machine could not send to it.
const SEND_FAILURE_GRACE: Span = Span::from_millis(50);

const TICK_TIMER: TimerId = TimerId(u64::MAX);
const WATCH_TIMER: TimerId = TimerId(u64::MAX - 1);
const REPORT_TIMER: TimerId = TimerId(u64::MAX - 2);

/// What a backend reads while it handles a message, and where it puts its own messages and actions.
struct BackendContext<'a> {
    now: Time,
    tier: &'a Tier,
    settings: &'a Settings,
    /// A random number from 0 to 1.
    chance: f64,
    tier_inbox: &'a mut Vec<TierMessage>,
    actions: &'a mut Vec<Action>,
}

impl Backend {
    fn is_ready(&self, now: Time, settings: &Settings) -> bool {
        let has_capacity = match self.ejected_until {
            None => self.max_in_flight.is_none_or(|max| self.occupancy() < max),
            Some(until) => now >= until && self.in_flight < 1.0,
        };
        let has_credit =
            self.slow_start_credit >= 1.0 || settings.slow_start.capacity_ratio(self.started(), now) >= 1.0;
        self.listing.condition == Condition::Ready && has_capacity && has_credit && now >= self.full_until
    }

    fn handle(&mut self, message: BackendMessage, context: &mut BackendContext) {
        match message {
            BackendMessage::Listed(listing) => {
                let is_new = listing.started != self.listing.started || self.last_response == Time::default();
                let was_ready = self.listing.condition == Condition::Ready;
                self.listing = listing;
                if is_new {
                    self.reset(None, context);
                } else if !was_ready && listing.condition == Condition::Ready {
                    // Its last responses, from before it was drained, say little of how fast it is now.
                    self.response_ms = Mean::default();
                }
            }
            BackendMessage::Enabled => self.reset(Some(context.now), context),
            BackendMessage::AttemptSent => {
                self.last_response = if self.in_flight < 1.0 { context.now } else { self.last_response };
                self.in_flight += 1.0;
                self.slow_start_credit -= 1.0;
            }
            BackendMessage::ResponseAborted => self.record_outcome(1.0, context),
            BackendMessage::SendFailed => {
                self.last_response = self.last_response.max(context.now + SEND_FAILURE_GRACE)
            }
            BackendMessage::ResponseStarted(took) => self.record_latency(took, true, true, context),
            BackendMessage::AttemptEnded(end, _) if end.sent_before_start(&self.listing, context.now) => {
                self.in_flight -= 1.0
            }
            BackendMessage::AttemptEnded(end, sample) => self.attempt_ended(&end, sample, context),
            BackendMessage::CheckEnded(outcome, load) => {
                self.record_load_report(load, context.now);
                // A backend that a check can't reach is ejected, so that no request is spent on finding out.
                if outcome == Outcome::ConnectFailed {
                    self.record_outcome(1.0, context);
                    self.eject("unreachable", context);
                }
            }
            BackendMessage::PeerObservation(observation) => self.merge_observation(observation, context.now),
            BackendMessage::Tick => self.tick(context),
        }
        // Attempts at an ejected backend don't count, so that a hung backend's attempts don't use up the
        // limit.
        let counted = if self.ejected_until.is_some() { 0.0 } else { self.occupancy() };
        context.tier_inbox.push(TierMessage::InFlightChanged(counted - self.counted_in_flight));
        self.counted_in_flight = counted;
    }

    /// Forgets what was learnt about the backend.
    fn reset(&mut self, enabled_at: Option<Time>, context: &BackendContext) {
        let (listing, in_flight, counted_in_flight, last_response) =
            (self.listing, self.in_flight, self.counted_in_flight, context.now);
        *self = Backend {
            listing,
            enabled_at,
            in_flight,
            counted_in_flight,
            last_response,
            ..Backend::default()
        };
        if context.settings.slow_start.capacity_ratio(self.started(), context.now) < 1.0 {
            // All instances learn of a start at once, so each begins to send at a random time. Operators
            // enable a backend at one instance after the other and expect each to use it again soon.
            (self.max_in_flight, self.slow_start_credit) =
                (Some(1.0), if enabled_at.is_some() { 1.0 } else { context.chance });
        }
    }

    fn record_latency(&mut self, latency: Span, in_time: bool, exact: bool, context: &mut BackendContext) {
        self.last_response = context.now;
        // An ejected backend says nothing about the others: a hung one must not move the limit.
        if self.ejected_until.is_none() {
            context.tier_inbox.push(TierMessage::LatencySample(latency, in_time, exact));
        }
    }

    fn tick(&mut self, context: &mut BackendContext) {
        // All instances together must not overload a backend in its slow start: each sends it its part of
        // what its present capacity can handle, measured by what its peers handle.
        let slow_start = &context.settings.slow_start;
        let min_rate =
            2.0 / (context.settings.instances as f64 * (slow_start.overload_window.ms() / 1000.0).max(0.1));
        let rate = slow_start.capacity_ratio(self.started(), context.now)
            * slow_start.overload_ratio
            * 0.5
            * context.tier.rate_per_backend;
        self.slow_start_credit = (self.slow_start_credit + rate.max(min_rate) / TICKS_PER_S).min(1.5);
        self.abandoned_attempts.retain(|until| *until > context.now);
        self.failures.fade(FAILURE_FADE_RATIO);
        // A slow backend drifts back to the tier's response time, so that it is tried again.
        self.response_ms.add(context.tier.response_ms.or(0.0), 0.01);
        if self.in_flight > 0.0
            && context.now.since(self.last_response).ms() > 3.0 * context.tier.latency.or(1000.0)
        {
            self.eject("silent", context);
        }
    }

    fn attempt_ended(
        &mut self,
        end: &AttemptEnd,
        sample: Option<(Span, bool)>,
        context: &mut BackendContext,
    ) {
        // The report comes first, because it still counts the attempt whose response it came with.
        self.record_load_report(end.load, context.now);
        self.in_flight -= 1.0;
        let served = end.outcome == Outcome::Served;
        if let Some((latency, in_time)) = sample {
            self.record_latency(latency, in_time, end.outcome != Outcome::TimedOut, context);
        }
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled) && self.reported_others.is_none() {
            // A time-out may not stop the work at the backend. Where no report shows it, it still counts as
            // in flight.
            self.abandoned_attempts.push(context.now + end.took.scaled(2.0));
        }
        if matches!(end.outcome, Outcome::Full | Outcome::ConnectFailed) {
            // A backend that accepts nothing looks idle and would attract a storm of attempts: it rests for a
            // while.
            self.full_until =
                context.now + Span::from_ms(context.tier.response_ms.or(0.0) * (0.5 + context.chance));
        }
        if end.outcome.is_neutral() {
            return;
        }
        self.last_response = context.now;
        self.record_outcome(if served { 0.0 } else { 1.0 }, context);
        if served {
            self.failure_score = 0.0;
            self.response_ms.add(end.took.ms(), 0.2);
            self.max_in_flight = self.max_in_flight.map(|max| max + 1.0 / max);
            self.slow_start_credit = (self.slow_start_credit + 1.0).min(1.5);
            if self.ejected_until.take().is_some() {
                (self.max_in_flight, self.ejections) = (Some(1.0), 0);
                context.actions.push(Action::Log(format!(
                    "{} readmitted after a response in {:.0} ms",
                    end.backend,
                    end.took.ms()
                )));
            }
            return;
        }
        // One backend is not blamed for failures that all share, such as errors from the tier below.
        let blame = (1.0 - 3.0 * context.tier.failure_ratio).max(0.0);
        self.failure_score += match end.outcome {
            Outcome::ConnectFailed => EJECTION_FAILURE_SCORE,
            Outcome::TimedOut => 0.5 * blame,
            _ => blame,
        };
        if self.failure_score >= EJECTION_FAILURE_SCORE || self.ejected_until.is_some() {
            self.eject("failing", context);
        }
    }

    /// Records a failure (1) or a success (0) of the backend.
    fn record_outcome(&mut self, failed: f64, context: &mut BackendContext) {
        self.failures.add(failed);
        let known =
            self.observed_failure_ratio(context.now, context.tier, PRIOR_ATTEMPTS, OBSERVATION_FADE_MS);
        self.observed_failures = Some((context.now, known + (failed - known) * 0.3));
        context.tier_inbox.push(TierMessage::FailureSample(failed, self.listing.zone));
    }

    fn eject(&mut self, why: &str, context: &mut BackendContext) {
        if self.ejected_until.is_none() {
            if context.tier.ready_and_ejected.1 + 1.0
                > (MAX_EJECTED_RATIO * context.tier.ready_and_ejected.0).round()
            {
                return;
            }
            let scores = format!(
                "failure score {:.1}, tier failure ratio {:.2}",
                self.failure_score, context.tier.failure_ratio
            );
            context.actions.push(Action::Log(format!("{} ejected, {why}: {scores}", self.listing.backend)));
        }
        let factor =
            f64::from(1 << self.ejections.min(MAX_EJECTION_DOUBLINGS)) * (0.75 + 0.5 * context.chance);
        self.ejections += 1;
        self.ejected_until = Some(context.now + FIRST_EJECTION.scaled(factor));
    }
}

impl Tier {
    /// How many attempts this instance may have in flight. The minimum keeps bursts of a few requests from
    /// waiting where there are many instances.
    fn instance_limit(&self) -> f64 {
        (self.limit / self.instances_per_backend.max(1.0)).max(MIN_LIMIT_ATTEMPTS)
    }

    fn handle(&mut self, message: TierMessage, now: Time, settings: &Settings) {
        match message {
            TierMessage::InFlightChanged(change) => self.in_flight += change,
            TierMessage::FailureSample(failed, zone) => {
                self.failure_ratio += (failed - self.failure_ratio) * 0.05;
                self.zone_failures.entry(zone).or_default().add(failed);
            }
            TierMessage::LatencySample(latency, in_time, exact) => {
                self.latency_samples.add(now, latency.ms(), exact);
                // A late ratio that is not known yet is not assumed to be good: it starts at the limit's
                // threshold, not at 0.
                self.late_ratio = Mean::of(self.late_ratio.or(MAX_LATE_RATIO));
                self.late_ratio.add(f64::from(u8::from(!in_time)), 0.05);
                if in_time {
                    self.responses += 1.0;
                    self.response_ms.add(latency.ms(), 0.05);
                }
            }
            TierMessage::Tick { ready, ejected, mean_others, median_others, mean_size } => {
                (self.ready_and_ejected, self.mean_others, self.median_others, self.mean_size) =
                    ((ready, ejected), mean_others, median_others, mean_size);
                self.zone_failures.values_mut().for_each(|failures| failures.fade(FAILURE_FADE_RATIO));
                self.rate_per_backend +=
                    (self.responses * TICKS_PER_S / ready.max(1.0) - self.rate_per_backend) * 0.05;
                self.intervals.add(self.in_flight, take(&mut self.responses), CORRELATION_INTERVALS);
                // Where instances outnumber backends, the limit is what all instances have in flight at one
                // backend.
                self.instances_per_backend = (settings.instances as f64 / ready.max(1.0)).max(0.01);
                let instances = self.instances_per_backend;
                let limit_for = |attempts: f64| {
                    (attempts / instances.min(1.0)).max(MIN_LIMIT_ATTEMPTS / instances.max(1.0))
                };
                self.limit =
                    if self.limit == 0.0 { limit_for(INITIAL_ATTEMPTS_PER_BACKEND) } else { self.limit };
                self.update_limit(now, limit_for(INITIAL_ATTEMPTS_PER_BACKEND));
                self.limit = self
                    .limit
                    .clamp(limit_for(MIN_ATTEMPTS_PER_BACKEND), limit_for(MAX_ATTEMPTS_PER_BACKEND));
            }
        }
    }

    fn update_limit(&mut self, now: Time, initial_limit: f64) {
        let min_samples = (MIN_WINDOW_SAMPLES as f64 / self.instances_per_backend.max(1.0)) as usize;
        let Some((p90, response_p90)) = self.latency_samples.p90(now, MIN_WINDOW, MAX_WINDOW, min_samples)
        else {
            // With too few samples to judge by, a low limit rises again: otherwise an instance with little
            // traffic would be stuck at it.
            self.limit += if self.limit < initial_limit { 1.0 / TICKS_PER_S } else { 0.0 };
            return;
        };
        self.p90.add(p90, P90_SMOOTHING_WEIGHT);
        self.response_p90.add(response_p90, P90_SMOOTHING_WEIGHT);
        let log = self.limit.log10();
        // Time-outs count only where responses show a queue; attempts may also be lost whatever the load.
        let queue_shows = self.queue_size(self.response_p90) >= 3.0 * log;
        self.latency = if queue_shows { self.p90 } else { self.response_p90 };
        // A baseline that was set while requests queued has to fall again, or the limit would never come
        // down.
        let is_lower = self.latency.or(0.0) < self.baseline.or(f64::INFINITY);
        if is_lower
            || self.failure_ratio < 0.1 && self.intervals.significance() > MIN_CORRELATION_SIGNIFICANCE
        {
            self.baseline = self.latency;
        }
        let queue_size = self.queue_size(self.latency);
        // With a target so close that latency can't grow past it, a queue never looks long. Where many
        // responses are late, even a small one lowers the limit.
        if queue_size > 6.0 * log || self.late_ratio.or(0.0) > MAX_LATE_RATIO && queue_size > 1.5 * log {
            self.limit -= log.max(1.0);
        } else if queue_size < 3.0 * log {
            self.limit += log.max(1.0);
        }
    }
}

/// The decision module of one instance.
pub struct Balancer {
    settings: Settings,
    rng: Rand32,
    now: Time,
    backends: BTreeMap<BackendId, Backend>,
    /// Disabled by operators, whatever the list says.
    disabled: BTreeSet<BackendId>,
    /// Backends whose inboxes are not empty.
    unread: Vec<BackendId>,
    /// Chooses among all backends that are not disabled; empty when it has to be rebuilt.
    sampler: BackendSampler,
    tier: Tier,
    tier_inbox: Vec<TierMessage>,
    queue: RequestQueue,
    /// Whether a list has arrived, be it an empty one.
    list_received: bool,
    list_failures: u32,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Time, actions: &mut Vec<Action>) -> Balancer {
        let mut rng = Rand32::new(seed);
        actions.push(Action::SetTimer { after: Span::ZERO, id: TICK_TIMER });
        if settings.list_on_request {
            let after = Span::from_millis(1500).scaled(rng.rand_float().into());
            actions.push(Action::SetTimer { after, id: WATCH_TIMER });
        }
        let queue = RequestQueue::new(&settings, MAX_RETRY_BUDGET_ATTEMPTS / 2.0);
        let (backends, disabled, unread, sampler, tier, tier_inbox) = Default::default();
        let (list_received, list_failures) = (false, 0);
        Balancer {
            settings,
            rng,
            now,
            backends,
            disabled,
            unread,
            sampler,
            tier,
            tier_inbox,
            queue,
            list_received,
            list_failures,
        }
    }

    /// Takes one event and appends the actions to carry out now.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.queue.inbox.push_back(event);
        // Empties the inboxes. Requests are sent one at a time, so that the next choice takes the last one
        // into account.
        loop {
            let (now, settings, tier_inbox) = (self.now, &self.settings, &mut self.tier_inbox);
            let chance = self.rng.rand_float().into();
            let mut context = BackendContext { now, tier: &self.tier, settings, chance, tier_inbox, actions };
            for id in take(&mut self.unread) {
                let Some(backend) = self.backends.get_mut(&id) else { continue };
                take(&mut backend.inbox)
                    .into_iter()
                    .for_each(|message| backend.handle(message, &mut context));
            }
            for message in take(&mut self.tier_inbox) {
                self.tier.handle(message, now, settings);
            }
            match self.queue.inbox.pop_front() {
                Some(event) => self.handle_event(event, actions),
                None if !self.send_next(actions) => return,
                None => {}
            }
        }
    }

    /// Puts a message into a backend's inbox.
    fn send_message(&mut self, id: BackendId, message: BackendMessage) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.inbox.push(message);
            self.unread.push(id);
        }
    }

    fn update_list(&mut self, full: bool, listings: &[Listing]) {
        (self.list_received, self.list_failures) = (true, 0);
        self.sampler = BackendSampler::default();
        let gone = self.backends.values().filter(|_| full);
        let gone: Vec<_> = gone.map(|b| Listing { condition: Condition::Gone, ..b.listing }).collect();
        for listing in gone.iter().chain(listings) {
            self.backends.entry(listing.backend).or_default().listing.backend = listing.backend;
            self.send_message(listing.backend, BackendMessage::Listed(*listing));
        }
    }

    fn set_disabled(&mut self, backend: BackendId, disabled: bool, actions: &mut Vec<Action>) {
        self.sampler = BackendSampler::default();
        if disabled && self.disabled.insert(backend) {
            actions.push(Action::Withdraw { backend });
        } else if !disabled && self.disabled.remove(&backend) {
            // It may have restarted in the meantime: it must not be overloaded, nor judged by old failures.
            self.send_message(backend, BackendMessage::Enabled);
            actions.push(Action::CloseIdle { backend });
        }
    }

    /// The backends that operators have disabled.
    pub fn disabled(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.disabled.iter().copied()
    }

    /// How many listed backends get no requests now, because operators disabled them or because they fail.
    pub fn excluded_count(&self) -> usize {
        excluded_count(&self.backends, &self.disabled)
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after: TICK_INTERVAL, id: TICK_TIMER });
        let count_before = self.backends.len();
        self.backends.retain(|_, b| b.listing.condition != Condition::Gone || b.occupancy() > 0.0);
        let removed = self.backends.len() < count_before;
        self.sampler = if removed { BackendSampler::default() } else { take(&mut self.sampler) };
        self.queue.keys.fade(KEY_FADE_RATIO);
        actions.extend(self.peer_message());
        self.unread = self.backends.keys().copied().collect();
        self.backends.values_mut().for_each(|backend| backend.inbox.push(BackendMessage::Tick));
        let enabled = self.backends.iter().filter(|(id, _)| !self.disabled.contains(id));
        self.tier_inbox.push(summarize_backends(enabled.map(|(_, backend)| backend), self.now));
        self.queue.refill_quotas(&self.settings, TICKS_PER_S);
        actions.extend(
            self.queue.update_mode(self.load_ratio(), REFUSAL_START_RATIO, &self.tier).map(Action::Log),
        );
    }

    /// Attempts in flight and requests that wait, as a multiple of the limit.
    fn load_ratio(&self) -> f64 {
        (self.tier.in_flight + self.queue.waiting_count()) / self.tier.instance_limit()
    }

    /// The same where instances outnumber backends: by the load that backends report, which weighs the more
    /// the more responses are late.
    fn reported_load_ratio(&mut self, id: RequestId) -> f64 {
        let weight = (1.0 - 1.0 / self.tier.instances_per_backend).max(0.0);
        let Some(pair) = (weight > 0.0).then(|| self.choose_backends(id)).flatten() else { return 0.0 };
        let (tier, b) = (&self.tier, &self.backends[&pair[0]]);
        let in_flight = (b.occupancy()
            + b.others_in_flight(self.now, tier.mean_others, self.report_fade_ms())
            + tier.median_others)
            / 2.0;
        let lateness = (tier.late_ratio.or(MAX_LATE_RATIO) / MAX_LATE_RATIO).clamp(0.5, 1.0);
        weight * in_flight / tier.limit.max(1.0) * REPORTED_LOAD_WEIGHT * lateness
    }

    /// Sends the latest observations to one random instance, at most once per received request because
    /// messages have a price.
    fn peer_message(&mut self) -> Option<Action> {
        let Settings { instances, ordinal, .. } = self.settings;
        let send =
            self.settings.peer_messages && instances > 1 && take(&mut self.queue.received_since_message);
        let offset = send.then(|| self.rng.rand_range(1..instances as u32))?;
        let to = Some(PeerId(((ordinal + offset as usize) % instances) as u16));
        Some(Action::SendToPeer {
            to,
            bytes: encode(&self.queue.keys.recent, observations(&self.backends, self.now)),
        })
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ListReceived { full, listings } => self.update_list(full, &listings),
            Event::ListFailed => {
                self.list_failures += 1;
                let wait = (1 << self.list_failures.min(2)) as f32 * (0.5 + self.rng.rand_float());
                actions.push(Action::Log(format!(
                    "list of backends not available, failure {} in a row, will fetch it again",
                    self.list_failures
                )));
                actions.push(Action::SetTimer { after: TICK_INTERVAL.scaled(wait.into()), id: WATCH_TIMER });
            }
            Event::RequestReceived(request) => self.request_received(request, actions),
            Event::ResponseStarted { request, backend, took } => {
                // The client holds a stream that has started: nothing more is owed for its request.
                self.queue.pending.remove(&request);
                self.send_message(backend, BackendMessage::ResponseStarted(took));
            }
            Event::SetDisabled { backend, disabled } => self.set_disabled(backend, disabled, actions),
            Event::InstancesChanged { instances, ordinal } => {
                (self.settings.instances, self.settings.ordinal) = (instances.max(1), ordinal);
                self.sampler = BackendSampler::default();
            }
            Event::AttemptEnded(end) => self.attempt_ended(end, actions),
            Event::RequestComplete { request, deadline } => self.request_complete(request, deadline, actions),
            Event::ResponseAborted(backend) => self.send_message(backend, BackendMessage::ResponseAborted),
            Event::SendFailed(backend) => self.send_message(backend, BackendMessage::SendFailed),
            Event::ClientGone(id) => drop(self.remove_request(id, actions)),
            Event::TimerExpired(TICK_TIMER) => self.tick(actions),
            Event::TimerExpired(WATCH_TIMER) => actions.push(Action::WatchList { on: true }),
            Event::CheckEnded { backend, outcome, load, .. } => {
                self.send_message(backend, BackendMessage::CheckEnded(outcome, load))
            }
            Event::PeerMessage { bytes, .. } => {
                let (keys, observations) = decode(&bytes);
                keys.for_each(|key| self.queue.keys.add_hash(key));
                observations.for_each(|observation| {
                    self.send_message(observation.backend, BackendMessage::PeerObservation(observation))
                });
            }
            Event::TimerExpired(timer) => {
                let id = RequestId(timer.0);
                let is_out_of_time = |pending: &PendingRequest| {
                    pending.respond_by <= self.now && (pending.complete || pending.running.is_none())
                };
                if self.queue.pending.get(&id).is_some_and(is_out_of_time) {
                    self.give_up(id, Reason::OutOfTime, actions);
                }
            }
        }
    }

    /// Sets the timer that ends a request. It is only a fallback: the attempt's own time-out comes one batch
    /// interval earlier and counts as a latency sample.
    fn set_request_timer(&self, id: RequestId, respond_by: Time, actions: &mut Vec<Action>) {
        let after = respond_by.since(self.now) + self.settings.batch_interval;
        actions.push(Action::SetTimer { after, id: TimerId(id.0) });
    }

    fn request_complete(&mut self, id: RequestId, deadline: Time, actions: &mut Vec<Action>) {
        let Some(class) = self.queue.pending.get(&id).map(|pending| pending.class) else { return };
        let (target, respond_by) = self.settings.response_times(&class, self.now, deadline, None);
        self.set_request_timer(id, respond_by, actions);
        self.count_attempt(id);
        let Some(pending) = self.queue.pending.get_mut(&id) else { return };
        (pending.target, pending.respond_by, pending.complete) = (target, respond_by, true);
        if pending.running.is_some() {
            let (attempt, timeout) = (AttemptNo(pending.attempts - 1), respond_by.since(self.now));
            actions.push(Action::SetTimeout { request: id, attempt, timeout });
        }
    }

    /// Counts the attempt of a request that was incomplete as in flight from here on, at the latest when it
    /// ends.
    fn count_attempt(&mut self, id: RequestId) {
        let attempt = self
            .queue
            .pending
            .get(&id)
            .filter(|pending| !pending.complete)
            .and_then(|pending| pending.running);
        if let Some((listing, _)) = attempt {
            self.send_message(listing.backend, BackendMessage::AttemptSent);
        }
    }

    fn request_received(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let class = self.settings.classes[usize::from(request.class.0)];
        let (target, respond_by) =
            self.settings.response_times(&class, self.now, request.deadline, request.cost);
        let over_quota = self.queue.charge_quota(request.tenant);
        self.queue.received_since_message = true;
        self.set_request_timer(id, respond_by, actions);
        let pending = PendingRequest::new(class, self.now, target, respond_by, over_quota);
        let key = request.key.filter(|_| self.settings.key_affinity).inspect(|key| self.queue.keys.add(*key));
        self.queue.pending.insert(id, PendingRequest { complete: request.complete, key, ..pending });
        self.queue.first_attempts.push(id);
        let refusal_chance = (self.load_ratio().max(self.reported_load_ratio(id)) - REFUSAL_START_RATIO)
            / (REFUSE_ALL_RATIO - REFUSAL_START_RATIO);
        if refusal_chance > self.rng.rand_float().into() {
            // Requests over their tenant's quota are refused first, so that one tenant's flood doesn't
            // displace others.
            let first_over_quota =
                self.queue.first_attempts.iter().find(|id| self.queue.pending[id].over_quota);
            self.give_up(first_over_quota.copied().unwrap_or(id), Reason::Overloaded, actions);
        }
    }

    fn attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        self.count_attempt(end.request);
        let pending = self.queue.pending.get(&end.request);
        let sample = pending.and_then(|pending| end.latency_sample(pending.class.target));
        self.send_message(end.backend, BackendMessage::AttemptEnded(end, sample));
        if end.answered {
            self.queue.pending.remove(&end.request);
        }
        let Some(pending) = self.queue.pending.get_mut(&end.request) else { return };
        let may_have_run = end.outcome.may_have_run(&self.settings);
        pending.first_run = pending.first_run.or(pending.running.filter(|_| may_have_run));
        (pending.running, pending.last_backend) = (None, Some(end.backend));
        let may_repeat = pending.may_be_sent(self.now);
        let cost = f64::from(u8::from(may_have_run));
        let can_resend = pending.attempts < self.settings.max_attempts
            && end.outcome != Outcome::NotSent
            && !end.body_discarded;
        if may_repeat && can_resend && self.queue.retry_budget >= cost {
            self.queue.retry_budget -= cost;
            self.queue.retries.push(end.request);
        } else {
            let reason = match end.outcome {
                Outcome::NotSent => Reason::NotSent,
                _ if !may_repeat => Reason::MayHaveRun,
                _ => Reason::AttemptsSpent,
            };
            self.give_up(end.request, reason, actions);
        }
    }

    fn remove_request(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<PendingRequest> {
        self.count_attempt(id);
        let pending = self.queue.pending.remove(&id)?;
        self.queue.remove_waiting(id);
        if pending.running.is_some() && self.settings.cancellation {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(pending.attempts - 1) });
        }
        Some(pending)
    }

    /// Gives the final response at once: a refusal where the class allows it, else a failure.
    fn give_up(&mut self, id: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(pending) = self.remove_request(id, actions) else { return };
        let may_refuse = match pending.class.effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { .. } | Effect::AtMostOnce => {
                pending.first_run.is_none() && pending.running.is_none()
            }
        };
        if !may_refuse {
            return actions.push(Action::Fail { request: id, reason });
        }
        let response_time = Span::from_ms(self.tier.response_ms.or(0.0));
        let delay = response_time.scaled(0.5 + f64::from(self.rng.rand_float()));
        let delay = if self.now + response_time < pending.target { delay } else { pending.class.deadline };
        let backoff = self.settings.max_backoff.map(|max| delay.min(max));
        actions.push(Action::Refuse { request: id, backoff, reason });
    }

    /// Sends the next request that waits, if the limit allows one more; first attempts before retries.
    /// Returns whether there is anything more to do.
    fn send_next(&mut self, actions: &mut Vec<Action>) -> bool {
        // A request that would be late gives up its place. A retry of an at-most-once request, which its
        // client must not repeat, is tried as long as a mean response would be in time.
        let times_needed = [self.tier.latency, self.tier.response_ms]
            .map(|mean| Span::from_ms(MIN_TIME_LEFT_RATIO * mean.or(0.0)));
        // Before the first list no backend is known, and requests wait for it.
        let unavailable = unavailability(&self.backends, &self.disabled)
            .filter(|reason| self.list_received || *reason != Reason::NoBackend);
        let cannot_be_sent =
            |id: &&RequestId| unavailable.is_some() || !self.queue.pending[*id].may_be_sent(self.now);
        let is_late = |id: &&RequestId| {
            let pending = &self.queue.pending[id];
            let time_needed =
                times_needed[usize::from(pending.attempts > 0 && pending.class.effect == Effect::AtMostOnce)];
            cannot_be_sent(id)
                || self.now + time_needed.min(pending.target.since(pending.arrived).scaled(0.9))
                    >= pending.target
        };
        for id in self
            .queue
            .first_attempts
            .iter()
            .chain(&self.queue.retries)
            .chain(self.queue.awaiting_reports.iter().filter(cannot_be_sent))
            .filter(is_late)
            .copied()
            .collect::<Vec<_>>()
        {
            self.give_up(id, unavailable.unwrap_or(Reason::TooLate), actions);
        }
        for id in self.queue.awaiting_reports.clone() {
            let Some(backend) = self.choose_by_reports(id) else { continue };
            return self.send_attempt(id, backend, actions);
        }
        if self.tier.in_flight + self.queue.awaiting_reports.len() as f64 >= self.tier.instance_limit() {
            return false;
        }
        let order = |id: &&RequestId| (self.queue.pending[id].over_quota, self.queue.pending[id].target);
        let first = self.queue.first_attempts.iter().min_by_key(order);
        for id in first.into_iter().chain(&self.queue.retries).copied().collect::<Vec<_>>() {
            let Some(pair) = self.choose_backends(id) else { continue };
            if !self.requests_reports() {
                return self.send_attempt(id, pair[0], actions);
            }
            self.queue.remove_waiting(id);
            self.queue.awaiting_reports.push(id);
            let (now, wait) = (self.now, self.queue.pending[&id].class.target.scaled(REPORT_WAIT_RATIO));
            self.queue
                .pending
                .entry(id)
                .and_modify(|pending| pending.awaited_reports = Some((pair, now, now + wait)));
            actions.extend(pair.map(|backend| Action::Check { backend }));
            actions.push(Action::SetTimer { after: wait, id: REPORT_TIMER });
            return true;
        }
        false
    }

    /// Whether to request load reports before sending. Where instances outnumber backends, an instance's own
    /// attempts say almost nothing about a backend's load, and reports that came with responses are old;
    /// there the two sampled backends are asked first.
    fn requests_reports(&self) -> bool {
        let is_cheap = self.settings.report_price.is_some_and(|price| price <= MAX_CHECK_PRICE);
        is_cheap && self.settings.instances as f64 > self.tier.ready_and_ejected.0
    }

    /// The better of the two backends that were asked for reports, once both have reported or the wait is
    /// over.
    fn choose_by_reports(&mut self, id: RequestId) -> Option<BackendId> {
        let (pair, since, until) = self.queue.pending[&id].awaited_reports?;
        let report = |id: &BackendId| self.backends.get(id).and_then(|backend| backend.reported_others);
        let is_missing = |id: &BackendId| report(id).is_none_or(|(at, _)| at <= since);
        let is_ready = |b: &Backend| b.is_ready(self.now, &self.settings);
        let is_eligible =
            |id: &BackendId| self.backends.get(id).is_some_and(is_ready) && !self.disabled.contains(id);
        if pair.iter().any(|id| is_missing(id) && is_eligible(id)) && self.now < until {
            return None;
        }
        let loads = pair.into_iter().filter(is_eligible).map(|b| (is_missing(&b), self.backend_load(b), b));
        let best = loads.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, backend)| backend).or_else(|| self.choose_backends(id).map(|pair| pair[0]))
    }

    /// Tells whether a backend is ready and may get this request.
    fn is_eligible(&self, id: RequestId, excluded: Option<BackendId>) -> impl Fn(BackendId) -> bool + '_ {
        let pending = &self.queue.pending[&id];
        // Keeps an effect from happening twice.
        let may_be_sent = pending.may_be_sent(self.now);
        let may_run = |b: &Backend| match (pending.class.effect, pending.first_run) {
            (Effect::Keyed { group, .. }, Some((first, _))) => first.shares_repeat_group(&b.listing, group),
            _ => true,
        };
        move |backend: BackendId| {
            let b = &self.backends[&backend];
            may_be_sent && Some(backend) != excluded && b.is_ready(self.now, &self.settings) && may_run(b)
        }
    }

    /// Of two random eligible backends the one with the lower load, then the other.
    fn choose_backends(&mut self, id: RequestId) -> Option<[BackendId; 2]> {
        if self.sampler.is_empty() {
            let s = &self.settings;
            let subset_size = (INSTANCES_PER_SHARED_BACKEND * self.backends.len() as f64
                / s.instances as f64)
                .max(MIN_SUBSET_BACKENDS);
            let enabled = self.backends.iter().filter(|(id, _)| !self.disabled.contains(id));
            self.sampler =
                BackendSampler::new(enabled.map(|(_, b)| b.listing), s.zone, subset_size, s.ordinal);
        }
        let best = self.sample_pair(id, false)?;
        // Where sending to another zone has a price, two of the own zone are sampled as well.
        let sample_own_zone = self.settings.cross_zone_priced && self.queue.pending[&id].key.is_none();
        let same_zone = if sample_own_zone { self.sample_pair(id, true) } else { None };
        Some(
            same_zone.filter(|pair| self.backend_load(pair[0]) <= self.backend_load(best[0])).unwrap_or(best),
        )
    }

    fn sample_pair(&mut self, id: RequestId, same_zone: bool) -> Option<[BackendId; 2]> {
        let (mut rng, pending) = (self.rng, &self.queue.pending[&id]);
        // Only the few repeats that must stay in a group search the whole list.
        let exhaustive = pending.first_run.is_some() && pending.class.effect != Effect::Safe;
        let (first, second, is_moved) = if let Some(key) = pending.key {
            let home_backend_count =
                HOME_BACKENDS_PER_EVEN_SHARE * self.tier.ready_and_ejected.0 * self.queue.keys.share(key);
            self.sampler.sample_home_backends(
                &mut rng,
                key,
                home_backend_count,
                pending.last_backend,
                self.is_eligible(id, None),
            )?
        } else {
            let mut sample = |excluded| {
                self.sampler.sample(&mut rng, same_zone, exhaustive, self.is_eligible(id, excluded))
            };
            let first = sample(None)?;
            (first, sample(Some(first)).unwrap_or(first), false)
        };
        self.rng = rng;
        let penalty = f64::from(u8::from(is_moved)) * KEY_MOVE_PENALTY_ATTEMPTS;
        Some(if self.backend_load(first) <= self.backend_load(second) + penalty {
            [first, second]
        } else {
            [second, first]
        })
    }

    /// How long a load report is relevant: one response time, and longer where many instances make reports
    /// rarer.
    fn report_fade_ms(&self) -> f64 {
        self.tier.response_ms.or(0.0).max(1.0)
            * (1.0 + MAX_EXTRA_FADE_RESPONSES * (1.0 - 1.0 / self.tier.instances_per_backend).max(0.0))
    }

    fn backend_load(&self, id: BackendId) -> f64 {
        let (b, tier) = (&self.backends[&id], &self.tier);
        let is_cross_zone = self.settings.cross_zone_priced && b.listing.zone != self.settings.zone;
        let others = b.others_in_flight(self.now, tier.mean_others, self.report_fade_ms());
        // A backend of another zone that doesn't report its load may only look idle while its own zone keeps
        // it busy.
        let unreported =
            if b.reported_others.is_some() { 0.0 } else { UNREPORTED_LOAD_RATIO * tier.in_flight };
        let cross_zone_penalty =
            CROSS_ZONE_PENALTY_ATTEMPTS + unreported / self.sampler.same_zone_count().max(1) as f64;
        let weight = b.relative_response_time(tier)
            * b.failure_weight(
                self.now,
                tier,
                self.settings.peer_messages,
                (PRIOR_ATTEMPTS, OBSERVATION_FADE_MS),
            );
        (b.occupancy() + others + 1.0) * weight + if is_cross_zone { cross_zone_penalty } else { 0.0 }
    }

    fn send_attempt(&mut self, id: RequestId, backend: BackendId, actions: &mut Vec<Action>) -> bool {
        self.queue.remove_waiting(id);
        let Some(pending) = self.queue.pending.get_mut(&id) else { return false };
        self.queue.retry_budget += RETRY_BUDGET_RATIO
            .min(MAX_RETRY_BUDGET_ATTEMPTS - self.queue.retry_budget)
            * f64::from(u8::from(pending.attempts == 0));
        pending.running = Some((self.backends[&backend].listing, self.now));
        pending.attempts += 1;
        let deliver_by = pending.repeat_before();
        actions.push(Action::Attempt {
            request: id,
            backend,
            timeout: pending.respond_by.since(self.now),
            deliver_by,
        });
        if pending.complete {
            self.send_message(backend, BackendMessage::AttemptSent);
        }
        true
    }
}
