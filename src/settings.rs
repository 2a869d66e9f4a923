//! The settings that the decision module reads, decoded once when an instance starts.

use crate::id::ZoneId;
use crate::time::{Span, Time};

#[derive(Clone, Debug)]
pub struct Settings {
    /// How many tiers lie above the one that this instance calls.
    pub tier: usize,
    /// Instances of this tier, this one included.
    pub instances: usize,
    /// This instance's number among them, from 0; in a fleet a hash of its name, which stays the same when
    /// members come and go.
    pub ordinal: usize,
    pub zone: ZoneId,
    /// Whether sending to another zone has a price.
    pub cross_zone_priced: bool,
    /// Where responses report a backend's load: the price, for each request, of a check that fetches such a
    /// report; `None` where there are no reports.
    pub report_price: Option<f64>,
    /// The shortest time between two batches of events.
    pub batch_interval: Span,
    pub classes: Vec<Class>,
    /// Requests per second that each tenant may send to all instances together.
    pub tenant_quotas: Vec<f64>,
    /// What a request over its tenant's quota is worth, as a part of its value.
    pub over_quota_value: f64,
    /// Whether the list has to be fetched; otherwise it is pushed.
    pub list_on_request: bool,
    pub max_attempts: u16,
    /// Whether a backend may also say that it is full when it had already begun to run the request.
    pub full_may_have_run: bool,
    /// Whether a backend that is gone or missing from the list may still be sent to, as long as it was never
    /// listed as draining.
    pub only_draining_excludes: bool,
    /// Whether running attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a backend that has recently seen a request's key needs less work for the request.
    pub key_affinity: bool,
    /// Whether instances may send each other messages.
    pub peer_messages: bool,
    /// The longest backoff that clients heed; `None` where they are not sent any.
    pub max_backoff: Option<Span>,
    pub slow_start: SlowStart,
}

/// The load that a backend can handle after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The part of its full capacity that it has at its start.
    pub initial_share: f64,
    /// The time until it has its full capacity.
    pub ramp: Span,
    /// More than this multiple of its present capacity, over `overload_window`, overloads it.
    pub overload_ratio: f64,
    pub overload_window: Span,
}

#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub target: Span,
    /// The latency target grows by this multiple of the request's own work.
    pub target_stretch: f64,
    pub deadline: Span,
    pub value: f64,
    /// What a response after the target still earns, as a part of the value.
    pub late_value: f64,
    pub effect: Effect,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed { group: Group, window: Span },
    AtMostOnce,
}

/// The backends that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Pod,
}

impl SlowStart {
    /// The part of its full capacity that a backend has at least at `now`; 1 once it is warm.
    pub fn capacity_ratio(&self, started: Option<Time>, now: Time) -> f64 {
        let age = started.map_or(f64::INFINITY, |started| now.since(started).ms());
        (self.initial_share + (1.0 - self.initial_share) * age / self.ramp.ms().max(1.0)).min(1.0)
    }
}

impl Class {
    pub fn new(target: Span, deadline: Span, effect: Effect) -> Class {
        Class { target, target_stretch: 0.0, deadline, value: 1.0, late_value: 0.0, effect }
    }
}

impl Settings {
    /// For a request that is complete `now`: the time after which a response is late, and the time by which
    /// the final response is given.
    pub fn response_times(
        &self,
        class: &Class,
        now: Time,
        deadline: Time,
        cost: Option<Span>,
    ) -> (Time, Time) {
        // Leaves time for the interval between two batches and for the transfer of the response.
        let margin = self.batch_interval.scaled(2.0) + Span::from_millis(2);
        let (latest, stretch) = (deadline - margin, cost.unwrap_or_default().scaled(class.target_stretch));
        let target = latest.min(now + class.deadline.min(class.target + stretch) - margin);
        (target, if class.late_value > 0.0 { latest } else { target })
    }

    /// Settings of a single instance in one zone that is notified of every change of the list and knows no
    /// tenants.
    pub fn for_classes(classes: Vec<Class>) -> Settings {
        Settings {
            tier: 0,
            instances: 1,
            ordinal: 0,
            zone: ZoneId(0),
            cross_zone_priced: false,
            report_price: None,
            batch_interval: Span::from_millis(1),
            classes,
            tenant_quotas: Vec::new(),
            over_quota_value: 1.0,
            list_on_request: false,
            max_attempts: 3,
            full_may_have_run: false,
            only_draining_excludes: false,
            cancellation: true,
            key_affinity: false,
            peer_messages: false,
            max_backoff: Some(Span::from_millis(1000)),
            slow_start: SlowStart {
                initial_share: 0.2,
                ramp: Span::from_millis(10_000),
                overload_ratio: 3.0,
                overload_window: Span::from_millis(2000),
            },
        }
    }
}
