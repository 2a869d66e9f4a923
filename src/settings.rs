//! The settings that the decisions read, decoded once when an instance starts.

use crate::id::ZoneId;
use crate::time::{Span, Time};

#[derive(Clone, Debug)]
pub struct Settings {
    /// How many tiers lie above the one that this instance calls.
    pub tier: usize,
    /// Instances of this tier, this one included.
    pub instances: usize,
    /// This one's number among them, from 0.
    pub ordinal: usize,
    pub zone: ZoneId,
    /// Crossing zones has a price.
    pub cross_zone_priced: bool,
    /// Where answers report what a backend holds: the price of a check that asks for such a report, for each
    /// request; `None` where there are none.
    pub report_price: Option<f64>,
    /// The shortest time between two batches of events.
    pub batch_interval: Span,
    pub classes: Vec<Class>,
    /// Requests a second that each tenant may ask of all instances together.
    pub tenant_quotas: Vec<f64>,
    /// What a request beyond its tenant's share is worth, as a part of its value.
    pub over_quota_value: f64,
    /// The list must be asked for.
    pub list_on_request: bool,
    pub max_attempts: u16,
    /// Backends say that they are full of work that they had begun, too.
    pub full_may_have_run: bool,
    /// A backend that is gone, or left out, and was never listed as draining, may still be sent to.
    pub only_draining_excludes: bool,
    pub cancellation: bool,
    /// A backend that has met a request's key of late needs less work for it.
    pub key_affinity: bool,
    /// Instances may tell each other things.
    pub peer_messages: bool,
    /// The longest backoff that clients heed; `None` where they are not told any.
    pub max_backoff: Option<Span>,
    pub slow_start: SlowStart,
}

/// What a backend that has just started can bear.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    pub initial_share: f64,
    pub ramp: Span,
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
    /// What an answer after the target still earns, as a part of the value.
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
    /// The part of its full capacity that a backend surely has at `now`; 1 once it is warm.
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
    /// When an answer to what came whole `now` is late, and when the final answer is given.
    pub fn times(&self, class: &Class, now: Time, deadline: Time, cost: Option<Span>) -> (Time, Time) {
        // Room for the time between two batches, and for the answer's way back.
        let margin = self.batch_interval.scaled(2.0) + Span::from_millis(2);
        let (last, stretch) = (deadline - margin, cost.unwrap_or_default().scaled(class.target_stretch));
        let target = last.min(now + class.deadline.min(class.target + stretch) - margin);
        (target, if class.late_value > 0.0 { last } else { target })
    }

    /// One instance in one zone, told of every change of the list, with no tenants.
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
