//! The records that an instance keeps of backends, of the tier and of requests, with statistics over them.
//! Decisions are made in `policy.rs` alone.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::event::{BackendMessage, Condition, Event, Listing, Load, Reason, TierMessage};
use crate::id::{BackendId, RequestId, TenantId, ZoneId};
use crate::peer_message::{Observation, MAX_OBSERVATION_AGE};
use crate::settings::{Class, Effect, Settings};
use crate::stats::{Correlation, FailureTally, KeyFrequencies, Mean, SampleWindow};
use crate::time::{Span, Time};

/// How long a process may be held up between reading its clock and writing.
const MAX_HOLD_UP: Span = Span::from_millis(150);

/// The state of a backend.
#[derive(Default)]
pub struct Backend {
    pub inbox: Vec<BackendMessage>,
    pub listing: Listing,
    /// When operators enabled it again; it may have restarted while it was disabled.
    pub enabled_at: Option<Time>,
    /// An ejected backend gets no attempts until this time, and after it one trial attempt at a time.
    pub ejected_until: Option<Time>,
    /// How often it was ejected, or stayed ejected, in a row.
    pub ejections: u32,
    pub failure_score: f64,
    /// Recent attempts and checks of this instance, and how many of them failed.
    pub failures: FailureTally,
    pub in_flight: f64,
    /// The part of the tier's `in_flight` that stands for this backend.
    pub counted_in_flight: f64,
    /// Until when it may still work on each attempt that was given up.
    pub abandoned_attempts: Vec<Time>,
    /// The most attempts in flight after a start or an ejection; grows with its responses.
    pub max_in_flight: Option<f64>,
    pub full_until: Time,
    /// How many attempts may still be sent to it during its slow start.
    pub slow_start_credit: f64,
    /// Smoothed response time in ms.
    pub response_ms: Mean,
    /// When it last responded, or was sent the first attempt while idle.
    pub last_response: Time,
    /// How many requests of other instances it last reported in flight, and when.
    pub reported_others: Option<(Time, f64)>,
    /// The failed part of its attempts at the last observation, by this instance or by a peer, and when that
    /// was.
    pub observed_failures: Option<(Time, f64)>,
}

impl Backend {
    /// The latest time at which its process may have started.
    pub fn started(&self) -> Option<Time> {
        self.listing.started.max(self.enabled_at)
    }

    /// Attempts in flight, with those given up that may still run.
    pub fn occupancy(&self) -> f64 {
        self.in_flight + self.abandoned_attempts.len() as f64
    }

    /// Its response time as a multiple of its peers'. Small differences don't count. Its size counts by its
    /// square root, because what it waits for elsewhere takes no longer on a small machine.
    pub fn relative_response_time(&self, tier: &Tier) -> f64 {
        let size = self.listing.size / if tier.mean_size > 0.0 { tier.mean_size } else { self.listing.size };
        (self.response_ms.or(tier.response_ms.or(0.0)) / tier.response_ms.or(0.0).max(1.0) / 1.2)
            .clamp(1.0, 8.0)
            / size.sqrt()
    }

    /// Raises the load of a backend that fails more than the tier, from its first failure on. Otherwise many
    /// instances that each send it little would each have to learn anew that a backend or a zone fails.
    pub fn failure_weight(
        &self,
        now: Time,
        tier: &Tier,
        peer_messages: bool,
        (prior_attempts, fade_ms): (f64, f64),
    ) -> f64 {
        let prior = if peer_messages {
            self.observed_failure_ratio(now, tier, prior_attempts, fade_ms)
        } else {
            self.zone_failure_ratio(tier, prior_attempts)
        };
        let failure_ratio = self.failures.ratio(prior, prior_attempts);
        ((1.0 - tier.failure_ratio) / (1.0 - failure_ratio).max(0.1)).max(1.0).powi(2)
    }

    /// Records what it reports in flight, without this instance's attempts.
    pub fn record_load_report(&mut self, load: Load, now: Time) {
        let reported = load.in_flight.or(load.queued).map(|count| (now, (count - self.in_flight).max(0.0)));
        self.reported_others = reported.or(self.reported_others);
    }

    /// The failed part of the attempts in its zone.
    fn zone_failure_ratio(&self, tier: &Tier, prior_attempts: f64) -> f64 {
        let zone = tier.zone_failures.get(&self.listing.zone).copied().unwrap_or_default();
        zone.ratio(tier.failure_ratio, prior_attempts)
    }

    /// The failed part of its attempts at the last observation, which fades towards that of its zone.
    pub fn observed_failure_ratio(&self, now: Time, tier: &Tier, prior_attempts: f64, fade_ms: f64) -> f64 {
        let zone_ratio = self.zone_failure_ratio(tier, prior_attempts);
        // An observation that has faded almost entirely is dropped, so that it doesn't decide between equal
        // backends.
        let observed = self
            .observed_failures
            .map(|(at, ratio)| (now.since(at).ms() / fade_ms, ratio))
            .filter(|(age, _)| *age < 4.0);
        observed.map_or(zone_ratio, |(age, ratio)| zone_ratio + (ratio - zone_ratio) * (-age).exp())
    }

    /// Takes over another instance's observation where it is newer than what is known.
    pub fn merge_observation(&mut self, observation: Observation, now: Time) {
        let at = now - observation.age;
        let is_newer = |known: Option<(Time, f64)>| known.is_none_or(|(known, _)| known < at);
        self.observed_failures = if is_newer(self.observed_failures) {
            Some((at, observation.failure_ratio))
        } else {
            self.observed_failures
        };
        let reported =
            observation.in_flight.filter(|_| is_newer(self.reported_others)).map(|count| (at, count));
        self.reported_others = reported.or(self.reported_others);
    }

    /// The observation of it to send to other instances, unless it is old.
    pub fn observation(&self, now: Time) -> Option<Observation> {
        let observed_at =
            self.reported_others.map(|(at, _)| at).max(self.observed_failures.map(|(at, _)| at))?;
        let (age, in_flight) = (now.since(observed_at), self.reported_others.map(|(_, count)| count));
        let observation = Observation {
            backend: self.listing.backend,
            age,
            in_flight,
            failure_ratio: self.observed_failures.map_or(0.0, |(_, ratio)| ratio),
        };
        (age < MAX_OBSERVATION_AGE).then_some(observation)
    }

    /// What others have in flight here: the backend's report, which fades with age towards the mean of all
    /// reports.
    pub fn others_in_flight(&self, now: Time, mean: f64, fade_ms: f64) -> f64 {
        self.reported_others
            .map_or(mean, |(at, count)| mean + (count - mean) * (-now.since(at).ms() / fade_ms).exp())
    }
}

/// The Vegas limit of the tier, and the statistics of the tier as a whole.
#[derive(Default)]
pub struct Tier {
    pub limit: f64,
    /// Instances for each ready backend.
    pub instances_per_backend: f64,
    /// Attempts at backends that are not ejected, with those given up that may still run.
    pub in_flight: f64,
    /// The mean of what backends report in flight for others.
    pub mean_others: f64,
    /// The median of what backends report in flight for others.
    pub median_others: f64,
    /// The mean size of the ready backends.
    pub mean_size: f64,
    /// How many backends are ready, and how many of them are ejected.
    pub ready_and_ejected: (f64, f64),
    /// Smoothed 90th percentile of all latency samples in ms.
    pub p90: Mean,
    /// The same of responses alone.
    pub response_p90: Mean,
    /// The one of the two by which the limit is adjusted.
    pub latency: Mean,
    /// The latency without a queue.
    pub baseline: Mean,
    pub latency_samples: SampleWindow,
    /// Attempts in flight and responses of the latest update intervals.
    pub intervals: Correlation,
    /// Responses in time since the last update.
    pub responses: f64,
    /// Responses per second to this instance for each ready backend.
    pub rate_per_backend: f64,
    /// Smoothed response time in ms.
    pub response_ms: Mean,
    /// The part of the samples that were not in time.
    pub late_ratio: Mean,
    /// The part of the attempts that fail.
    pub failure_ratio: f64,
    /// Recent failures in each zone.
    pub zone_failures: BTreeMap<ZoneId, FailureTally>,
}

impl Tier {
    /// The estimated number of queued requests at this latency, the design's queueUse.
    pub fn queue_size(&self, latency: Mean) -> f64 {
        self.limit * (1.0 - self.baseline.or(latency.or(0.0)) / latency.or(0.0).max(0.001))
    }
}

/// A request that was received and has no response yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    pub class: Class,
    pub arrived: Time,
    /// A response after this is late.
    pub target: Time,
    /// The final response is given by then.
    pub respond_by: Time,
    pub over_quota: bool,
    /// Its last byte has come; before that nothing runs, and an attempt counts nowhere.
    pub complete: bool,
    pub attempts: u16,
    /// Where the running attempt was sent, and when.
    pub running: Option<(Listing, Time)>,
    /// Where the first attempt that may have run was sent, and when.
    pub first_run: Option<(Listing, Time)>,
    /// Its key, where backends remember keys.
    pub key: Option<u64>,
    /// Where its last attempt ended.
    pub last_backend: Option<BackendId>,
    /// The two backends that were asked for a load report, when, and until when their reports are awaited.
    pub awaited_reports: Option<([BackendId; 2], Time, Time)>,
}

/// The pending requests, and which of them wait to be sent.
#[derive(Default)]
pub struct RequestQueue {
    pub inbox: VecDeque<Event>,
    pub pending: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for their first attempt.
    pub first_attempts: Vec<RequestId>,
    /// Requests that wait for a further attempt.
    pub retries: Vec<RequestId>,
    /// Requests that wait for load reports of the two backends sampled for them.
    pub awaiting_reports: Vec<RequestId>,
    pub retry_budget: f64,
    /// How many requests each tenant may still send within its quota.
    pub remaining_quotas: Vec<f64>,
    /// Whether a request was received since the last peer message.
    pub received_since_message: bool,
    /// Which keys were requested recently.
    pub keys: KeyFrequencies,
    pub mode: &'static str,
}

impl PendingRequest {
    pub fn new(
        class: Class,
        arrived: Time,
        target: Time,
        respond_by: Time,
        over_quota: bool,
    ) -> PendingRequest {
        PendingRequest {
            class,
            arrived,
            target,
            respond_by,
            over_quota,
            complete: true,
            attempts: 0,
            running: None,
            first_run: None,
            key: None,
            last_backend: None,
            awaited_reports: None,
        }
    }
}

impl PendingRequest {
    /// The time from which on it must not be sent again, if it may have run and its class has repeats dropped. A
    /// process that decides before it and is held up then writes before the window ends.
    pub fn repeat_before(&self) -> Option<Time> {
        match (self.class.effect, self.first_run) {
            (Effect::Keyed { window, .. }, Some((_, since))) => {
                Some((since + window) - MAX_HOLD_UP.min(window))
            }
            _ => None,
        }
    }

    /// Whether it may be sent now, after earlier attempts that may have run.
    pub fn may_be_sent(&self, now: Time) -> bool {
        match self.class.effect {
            Effect::Safe => true,
            Effect::AtMostOnce => self.first_run.is_none(),
            Effect::Keyed { .. } => self.repeat_before().is_none_or(|before| now < before),
        }
    }
}

impl RequestQueue {
    /// Starts with this retry budget. Only the first tier applies tenants' quotas; below it they have been
    /// applied already.
    pub fn new(settings: &Settings, retry_budget: f64) -> RequestQueue {
        let quotas = settings.tenant_quotas.iter().filter(|_| settings.tier == 0);
        let remaining_quotas = quotas.map(|quota| quota / settings.instances as f64).collect();
        RequestQueue { retry_budget, remaining_quotas, mode: "ordinary", ..RequestQueue::default() }
    }

    /// How many requests wait to be sent.
    pub fn waiting_count(&self) -> f64 {
        (self.first_attempts.len() + self.retries.len() + self.awaiting_reports.len()) as f64
    }

    /// Adds to each tenant's remaining quota this instance's part of it for one update interval.
    pub fn refill_quotas(&mut self, settings: &Settings, ticks_per_s: f64) {
        for (remaining, quota) in self.remaining_quotas.iter_mut().zip(&settings.tenant_quotas) {
            let instance_quota = quota / settings.instances as f64;
            *remaining = (remaining.max(0.0) + instance_quota / ticks_per_s).min(instance_quota);
        }
    }

    /// Charges a request to its tenant's quota. Returns whether it exceeds the quota.
    pub fn charge_quota(&mut self, tenant: TenantId) -> bool {
        let remaining = self.remaining_quotas.get_mut(tenant.0 as usize);
        let over_quota = remaining.map(|remaining| {
            *remaining -= 1.0;
            *remaining < 0.0
        });
        // Where there are quotas, an unknown tenant has none: a flood must not escape its quota under a
        // made-up name.
        over_quota.unwrap_or(!self.remaining_quotas.is_empty())
    }

    /// Updates the mode. Returns a line for the log if it changed.
    pub fn update_mode(&mut self, load_ratio: f64, refusal_ratio: f64, tier: &Tier) -> Option<String> {
        let mode = match self.first_attempts.len() {
            0 => "ordinary",
            _ if load_ratio <= refusal_ratio => "waiting",
            _ => "refusing",
        };
        let [p90, baseline] = [tier.latency, tier.baseline].map(|mean| mean.or(0.0));
        let text =
            format!("{mode}: limit {:.1}, load {load_ratio:.2}, p90 {p90:.0}/{baseline:.0}", tier.limit);
        (std::mem::replace(&mut self.mode, mode) != mode).then_some(text)
    }

    /// Removes a request from those that wait to be sent.
    pub fn remove_waiting(&mut self, id: RequestId) {
        for list in [&mut self.first_attempts, &mut self.retries, &mut self.awaiting_reports] {
            list.retain(|waiting| *waiting != id);
        }
    }
}

/// The time in which a report's weight in the mean of all falls to 1/e.
const REPORT_FADE_MS: f64 = 2000.0;
/// The weight of a report of 0 that is always included, so that the total weight is never 0.
const ZERO_REPORT_WEIGHT: f64 = 0.1;

/// Summarizes all backends for the tier at each update.
pub fn summarize_backends<'a>(all: impl Iterator<Item = &'a Backend> + Clone, now: Time) -> TierMessage {
    let listed = all.filter(|b| b.listing.condition == Condition::Ready);
    // Old reports say little of how much is in flight now.
    let weighted = |(at, others): (Time, f64)| ((-now.since(at).ms() / REPORT_FADE_MS).exp(), others);
    let mut reports: Vec<_> = listed.clone().filter_map(|b| b.reported_others).map(weighted).collect();
    let total_weight = reports.iter().map(|(weight, _)| weight).sum::<f64>() + ZERO_REPORT_WEIGHT;
    let mean_others = reports.iter().map(|(weight, others)| weight * others).sum::<f64>() / total_weight;
    reports.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut weight_below = ZERO_REPORT_WEIGHT;
    let median = reports.iter().find(|(weight, _)| {
        weight_below += weight;
        2.0 * weight_below >= total_weight
    });
    let median_others = median.map_or(0.0, |(_, others)| *others);
    let (ready, ejected) =
        (listed.clone().count() as f64, listed.clone().filter(|b| b.ejected_until.is_some()).count() as f64);
    let mean_size = listed.map(|b| b.listing.size).sum::<f64>() / ready.max(1.0);
    TierMessage::Tick { ready, ejected, mean_others, median_others, mean_size }
}

/// The observations to send to another instance, newest first.
pub fn observations(backends: &BTreeMap<BackendId, Backend>, now: Time) -> impl Iterator<Item = Observation> {
    let mut observations: Vec<_> = backends.values().filter_map(|b| b.observation(now)).collect();
    observations.sort_by_key(|observation| observation.age);
    observations.into_iter()
}

/// How many listed backends are ejected, or disabled by operators.
pub fn excluded_count(backends: &BTreeMap<BackendId, Backend>, disabled: &BTreeSet<BackendId>) -> usize {
    let listed = backends.iter().filter(|(_, b)| b.listing.condition != Condition::Gone);
    listed.filter(|(id, b)| b.ejected_until.is_some() || disabled.contains(id)).count()
}

/// Why no request can be sent to any backend, if that is so: none is listed as ready, or operators have disabled
/// all that are.
pub fn unavailability(
    backends: &BTreeMap<BackendId, Backend>,
    disabled: &BTreeSet<BackendId>,
) -> Option<Reason> {
    let mut ready = backends.iter().filter(|(_, b)| b.listing.condition == Condition::Ready).peekable();
    if ready.peek().is_none() {
        return Some(Reason::NoBackend);
    }
    let all_disabled = !disabled.is_empty() && ready.all(|(id, _)| disabled.contains(id));
    all_disabled.then_some(Reason::AllDisabled)
}
