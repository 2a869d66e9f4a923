//! The figures of a run, out of its records.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::clock::{At, Micros};
use crate::figures::Figures;
use crate::fleet_figures;
use crate::record::{Record, RecordKind};
use crate::scenario::Scenario;

const END_PART: f64 = 0.25; // of the run, whose figures tell whether it came back

pub fn figures(records: &[Record], scenario: &Scenario, start: At) -> Figures {
    let mut f = Figures::default();
    let mut took = histogram();
    let late_from = start + scenario.duration.scaled(1.0 - END_PART);
    let (mut late, mut late_honoured, mut arrivals, mut cpu, mut grown) = (0u64, 0u64, 0u64, 0u64, 0u64);
    let lowest = scenario.tiers.last().map(|tier| format!("{}/", tier.name)).unwrap_or_default();
    for record in records {
        match &record.kind {
            RecordKind::IntentFinished { due, honoured, .. } => {
                f.intents += 1;
                f.honoured += u64::from(*honoured);
                if *due >= late_from {
                    late += 1;
                    late_honoured += u64::from(*honoured);
                }
                if *honoured {
                    let _ = took.record(record.t.since(*due).0.max(1) as u64);
                }
            }
            RecordKind::Sent { .. } => f.tries += 1,
            RecordKind::ResponseReceived { status: 200, .. } => {}
            RecordKind::ResponseReceived { status: 429 | 503, .. } => f.turned_back += 1,
            RecordKind::ResponseReceived { .. } => f.forfeited += 1,
            RecordKind::ConnectionLost { .. } | RecordKind::GaveUp { own: false, .. } => f.lost += 1,
            RecordKind::GaveUp { own: true, .. } => f.left += 1,
            RecordKind::Arrived { .. } if record.component.starts_with(&lowest) => arrivals += 1,
            RecordKind::ResourceUsage { cpu_us, memory_before, memory, .. } => {
                cpu += cpu_us;
                grown += memory.saturating_sub(*memory_before);
            }
            RecordKind::IdleConnections { open, .. } => f.idle = *open as u64,
            _ => {}
        }
    }
    let share = |part: u64, of: u64| if of == 0 { 0.0 } else { part as f64 / of as f64 };
    let ms = |q| took.value_at_quantile(q) as f64 / 1000.0;
    f.honoured_share = share(f.honoured, f.intents);
    f.end_honoured_share = share(late_honoured, late);
    (f.p50_ms, f.p90_ms, f.p99_ms) = (ms(0.5), ms(0.9), ms(0.99));
    f.max_ms = took.max() as f64 / 1000.0;
    f.amplification = share(arrivals, f.intents);
    f.honoured_per_s = f.honoured as f64 / scenario.duration.secs();
    f.cpu_us = share(cpu, f.tries);
    f.idle_bytes = share(grown, f.idle);
    f.fleet = fleet_figures::compute(records, scenario, start);
    f
}

pub fn histogram() -> Histogram<u64> {
    // Three digits from a microsecond to two minutes are always possible bounds.
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|e| unreachable!("{e}"))
}

/// One part of a run's time, for the pictures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Slice {
    pub honoured: u64,
    pub turned_back: u64,
    pub forfeited: u64,
    pub lost: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// By backend, the most that it held.
    pub held: BTreeMap<String, u64>,
    /// Requests that reached a dead backend, or found it refusing connections.
    pub dead: u64,
    /// Datagrams that proxies sent to each other.
    pub talk: u64,
    /// Requests that came to backends, by backend, and that callers sent, by proxy.
    pub came: BTreeMap<String, u64>,
    pub sent: BTreeMap<String, u64>,
}

pub const SLICES: usize = 60;

/// A run cut into slices of equal length.
pub fn slices(records: &[Record], start: At, lasts: Micros) -> Vec<Slice> {
    let mut slices = vec![Slice::default(); SLICES];
    let mut took: Vec<_> = (0..SLICES).map(|_| histogram()).collect();
    let mut held: BTreeMap<&str, i64> = BTreeMap::new();
    let dead = fleet_figures::dead(records, start + lasts);
    let place = |t: At| {
        let part = (t.0 - start.0) as f64 / lasts.0.max(1) as f64;
        (0.0..1.0).contains(&part).then_some((part * SLICES as f64) as usize)
    };
    for record in records {
        let Some(n) = place(record.t) else { continue };
        slices[n].dead += u64::from(fleet_figures::at_dead(record, &dead).is_some());
        match &record.kind {
            RecordKind::Arrived { .. } => *slices[n].came.entry(record.component.clone()).or_default() += 1,
            RecordKind::Sent { to, .. } => *slices[n].sent.entry(to.clone()).or_default() += 1,
            RecordKind::PeerTraffic { sent, .. } => slices[n].talk += sent,
            _ => {}
        }
        match &record.kind {
            RecordKind::ResponseReceived { status: 200, .. } => slices[n].honoured += 1,
            RecordKind::ResponseReceived { status: 429 | 503, .. } => slices[n].turned_back += 1,
            RecordKind::ResponseReceived { .. } => slices[n].forfeited += 1,
            RecordKind::ConnectionLost { .. } | RecordKind::GaveUp { own: false, .. } => slices[n].lost += 1,
            RecordKind::IntentFinished { due, honoured: true, .. } => {
                let _ = took[n].record(record.t.since(*due).0.max(1) as u64);
            }
            RecordKind::Arrived { .. } => *held.entry(&record.component).or_default() += 1,
            RecordKind::Refused { .. } | RecordKind::Finished { .. } | RecordKind::CallerGone { .. } => {
                *held.entry(&record.component).or_default() -= 1;
            }
            RecordKind::Stopped { .. } => drop(held.insert(&record.component, 0)),
            _ => continue,
        }
        for (host, count) in &held {
            let most = slices[n].held.entry(host.to_string()).or_default();
            *most = (*most).max((*count).max(0) as u64);
        }
    }
    for (slice, took) in slices.iter_mut().zip(&took) {
        slice.p50_ms = took.value_at_quantile(0.5) as f64 / 1000.0;
        slice.p99_ms = took.value_at_quantile(0.99) as f64 / 1000.0;
    }
    slices
}
