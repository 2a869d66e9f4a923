//! Computes a run's figures and its time series from its records.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::clock::{Micros, Timestamp};
use crate::figures::Figures;
use crate::fleet_figures;
use crate::record::{Record, RecordKind};
use crate::scenario::Scenario;

const END_RATIO: f64 = 0.25; // last part of the run, whose figures show whether service recovered

pub fn figures(records: &[Record], scenario: &Scenario, start: Timestamp) -> Figures {
    let mut figures = Figures::default();
    let mut latencies = histogram();
    let end_from = start + scenario.duration.scaled(1.0 - END_RATIO);
    let (mut end_intents, mut end_served, mut arrivals, mut cpu, mut memory_growth) =
        (0u64, 0u64, 0u64, 0u64, 0u64);
    let lowest_tier_prefix = scenario.tiers.last().map(|tier| format!("{}/", tier.name)).unwrap_or_default();
    for record in records {
        match &record.kind {
            RecordKind::IntentFinished { due, served, .. } => {
                figures.intents += 1;
                figures.honoured += u64::from(*served);
                if *due >= end_from {
                    end_intents += 1;
                    end_served += u64::from(*served);
                }
                if *served {
                    let _ = latencies.record(record.t.since(*due).0.max(1) as u64);
                }
            }
            RecordKind::Sent { .. } => figures.tries += 1,
            RecordKind::ResponseReceived { status: 200, .. } => {}
            RecordKind::ResponseReceived { status: 429 | 503, .. } => figures.turned_back += 1,
            RecordKind::ResponseReceived { .. } => figures.forfeited += 1,
            RecordKind::ConnectionLost { .. } | RecordKind::GaveUp { own: false, .. } => figures.lost += 1,
            RecordKind::GaveUp { own: true, .. } => figures.left += 1,
            RecordKind::Arrived { .. } if record.component.starts_with(&lowest_tier_prefix) => arrivals += 1,
            RecordKind::ResourceUsage { cpu_us, memory_before, memory, .. } => {
                cpu += cpu_us;
                memory_growth += memory.saturating_sub(*memory_before);
            }
            RecordKind::IdleConnections { open, .. } => figures.idle = *open as u64,
            _ => {}
        }
    }
    let share = |part: u64, of: u64| if of == 0 { 0.0 } else { part as f64 / of as f64 };
    let ms = |q| latencies.value_at_quantile(q) as f64 / 1000.0;
    figures.honoured_share = share(figures.honoured, figures.intents);
    figures.end_honoured_share = share(end_served, end_intents);
    (figures.p50_ms, figures.p90_ms, figures.p99_ms) = (ms(0.5), ms(0.9), ms(0.99));
    figures.max_ms = latencies.max() as f64 / 1000.0;
    figures.amplification = share(arrivals, figures.intents);
    figures.honoured_per_s = figures.honoured as f64 / scenario.duration.secs();
    figures.cpu_us = share(cpu, figures.tries);
    figures.idle_bytes = share(memory_growth, figures.idle);
    figures.fleet = fleet_figures::compute(records, scenario, start);
    figures
}

pub fn histogram() -> Histogram<u64> {
    // Three significant digits between 1 us and 2 min are always valid bounds.
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|e| unreachable!("{e}"))
}

/// The counts within one slice of a run, for the charts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Slice {
    pub honoured: u64,
    pub turned_back: u64,
    pub forfeited: u64,
    pub lost: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// By backend, the most requests that it was processing.
    pub held: BTreeMap<String, u64>,
    /// Requests that reached a dead backend or whose connection it refused.
    pub dead: u64,
    /// Datagrams sent between proxies.
    pub talk: u64,
    /// Requests that arrived, by backend, and that clients sent, by proxy.
    pub came: BTreeMap<String, u64>,
    pub sent: BTreeMap<String, u64>,
}

pub const SLICE_COUNT: usize = 60;

/// Divides a run into slices of equal length.
pub fn slices(records: &[Record], start: Timestamp, duration: Micros) -> Vec<Slice> {
    let mut slices = vec![Slice::default(); SLICE_COUNT];
    let mut latencies: Vec<_> = (0..SLICE_COUNT).map(|_| histogram()).collect();
    let mut held: BTreeMap<&str, i64> = BTreeMap::new();
    let dead = fleet_figures::dead(records, start + duration);
    let slice_at = |t: Timestamp| {
        let ratio = (t.0 - start.0) as f64 / duration.0.max(1) as f64;
        (0.0..1.0).contains(&ratio).then_some((ratio * SLICE_COUNT as f64) as usize)
    };
    for record in records {
        let Some(n) = slice_at(record.t) else { continue };
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
            RecordKind::IntentFinished { due, served: true, .. } => {
                let _ = latencies[n].record(record.t.since(*due).0.max(1) as u64);
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
    for (slice, latencies) in slices.iter_mut().zip(&latencies) {
        slice.p50_ms = latencies.value_at_quantile(0.5) as f64 / 1000.0;
        slice.p99_ms = latencies.value_at_quantile(0.99) as f64 / 1000.0;
    }
    slices
}
