//! Computes the figures of the proxies as a fleet from a run's records: requests sent to dead and cold
//! backends, the spread of load, the requests that move when a proxy or backend comes or goes, traffic
//! between proxies, and recovery.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{Micros, Timestamp};
use crate::figures::FleetFigures;
use crate::record::{Record, RecordKind};
use crate::scenario::{Scenario, Tier};
use crate::{duty_figures, membership_figures};

/// After a backend dies, the proxies may take this long to detect it.
pub const DEATH_DETECTION_TIME: Micros = Micros::from_millis(6000);
const MOVE_WINDOW: Micros = Micros::from_millis(3000); // window before and after a membership change
/// Gap between a membership change and the window after it.
const SETTLE_TIME: Micros = Micros::from_millis(1000);
const RECOVERED_RATIO: f64 = 0.98; // part of the served share before the faults
const RECOVERY_WINDOW: Micros = Micros::from_millis(1000);
const RECOVERY_STEP: Micros = Micros::from_millis(100);
const MIN_REQUESTS_PER_PROXY: usize = 8; // of one proxy in a window, to compute what moved
const MIN_REQUESTS_FOR_SPREAD: u64 = 100; // requests at all backends, to compute their spread

/// By component, the time spans in which a condition held, up to the end of the run.
type Spans = BTreeMap<String, Vec<(Timestamp, Timestamp)>>;

/// The time spans in which backends gave no responses because of a fault.
pub fn dead(records: &[Record], end: Timestamp) -> Spans {
    let mut spans = Spans::new();
    for record in records {
        let RecordKind::Fault { on, fault: Some(fault), affected, .. } = &record.kind else { continue };
        if !fault.prevents_responses() {
            continue;
        }
        let own = spans.entry(affected.clone()).or_default();
        match own.last_mut().filter(|(_, to)| *to == end) {
            None if *on => own.push((record.t, end)),
            Some(last) if !*on => last.1 = record.t,
            _ => {}
        }
    }
    spans
}

/// The dead backend that a request reached or that refused a connection, if the record tells of one.
pub fn at_dead(record: &Record, dead: &Spans) -> Option<String> {
    let host = match &record.kind {
        RecordKind::Arrived { .. } => record.component.clone(),
        RecordKind::ConnectFailed => record.component.replacen("/l-", "/s-", 1),
        _ => return None,
    };
    let within = dead.get(&host)?.iter().any(|(from, to)| *from <= record.t && record.t < *to);
    within.then_some(host)
}

/// The highest load offered to a cold backend in a window, as a ratio to its capacity at that time; and the
/// first time at which the load overloaded it, with the number of requests and the capacity.
pub struct PeakColdLoad {
    pub most: f64,
    pub over: Option<(Timestamp, usize, f64)>,
}

/// `offered` is sorted by time; `from` is the backend's start, `until` its end or the end of its slow start.
pub fn peak_cold_load(
    offered: &[Timestamp],
    (from, until): (Timestamp, Timestamp),
    tier: &Tier,
    cores: usize,
) -> PeakColdLoad {
    let window = tier.fall_window;
    let mut found = PeakColdLoad { most: 0.0, over: None };
    for (n, at) in offered.iter().enumerate().filter(|(_, at)| **at > from + window && **at <= until) {
        let first = offered[..n].partition_point(|earlier| at.since(*earlier) > window);
        let bearable = tier.fall_window_capacity(cores, at.since(from));
        let count = n + 1 - first;
        found.most = found.most.max(count as f64 / bearable.max(1e-9));
        if found.over.is_none() && count as f64 > tier.fall_threshold(bearable) {
            found.over = Some((*at, count, bearable));
        }
    }
    found
}

/// The largest count divided by the mean; 0 if there are too few requests to compare.
fn spread(counts: &[f64], requests: u64) -> f64 {
    let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
    if counts.len() < 2 || requests < MIN_REQUESTS_FOR_SPREAD || mean <= 0.0 {
        return 0.0;
    }
    counts.iter().fold(0.0, |most: f64, count| most.max(*count)) / mean
}

struct RunEvents<'a> {
    scenario: &'a Scenario,
    start: Timestamp,
    end: Timestamp,
    /// Attempts that arrived at backends: time, proxy, backend.
    attempts: Vec<(Timestamp, &'a str, &'a str)>,
    /// Components affected by a fault or a restart, which the spreads exclude.
    affected: BTreeSet<&'a str>,
    /// Membership changes: time and component.
    membership_changes: Vec<(Timestamp, &'a str)>,
    /// Intents by planned time, and whether they were served.
    intents: Vec<(Timestamp, bool)>,
    /// Times at which a fault ended.
    fault_ends: Vec<Timestamp>,
    first_fault: Option<Timestamp>,
}

fn collect_events<'a>(records: &'a [Record], scenario: &'a Scenario, start: Timestamp) -> RunEvents<'a> {
    let end = start + scenario.duration;
    let mut proxy_of_request: BTreeMap<&str, &str> = BTreeMap::new();
    for record in records {
        if let RecordKind::Sent { id, to, .. } | RecordKind::CallSent { id, to, .. } = &record.kind {
            proxy_of_request.insert(id, to);
        }
    }
    let (attempts, affected, membership_changes, intents, fault_ends) = Default::default();
    let mut events = RunEvents {
        scenario,
        start,
        end,
        attempts,
        affected,
        membership_changes,
        intents,
        fault_ends,
        first_fault: None,
    };
    let mut active_faults: BTreeMap<&str, i32> = BTreeMap::new();
    let mut down_proxies: BTreeSet<&str> = BTreeSet::new();
    for record in records {
        let (t, before) = (record.t, active_faults.values().sum::<i32>() as usize + down_proxies.len());
        match &record.kind {
            RecordKind::Arrived { id, .. } => {
                if let Some(proxy) = proxy_of_request.get(id.as_str()).filter(|_| t < end) {
                    events.attempts.push((t, proxy, &record.component));
                }
            }
            RecordKind::IntentFinished { due, served, .. } => events.intents.push((*due, *served)),
            RecordKind::Fault { on: begins, fault, affected, text } => {
                events.affected.insert(affected);
                if *begins {
                    events.first_fault.get_or_insert(t);
                }
                *active_faults.entry(text).or_default() += if *begins { 1 } else { -1 };
                if fault.is_some_and(|fault| fault.changes_membership()) && t < end {
                    events.membership_changes.push((t, affected));
                }
            }
            RecordKind::ProxyDown { proxy, how } => {
                events.affected.insert(proxy);
                if how != "shrink" {
                    down_proxies.insert(proxy);
                }
            }
            RecordKind::ProxyUp { proxy } if t > start => {
                events.affected.insert(proxy);
                down_proxies.remove(proxy.as_str());
            }
            RecordKind::Stopped { .. } if t < end => drop(events.affected.insert(&record.component)),
            _ => {}
        }
        // A fault that never ends is part of the normal state: recovery is measured from each end of a fault,
        // even if others stay active.
        let now = active_faults.values().sum::<i32>().max(0) as usize + down_proxies.len();
        if before > 0 && now < before && t > start && t < end {
            events.fault_ends.push(t);
        }
    }
    events.intents.sort();
    events.membership_changes.sort();
    events.membership_changes.dedup_by(|later, earlier| later.0.since(earlier.0) < SETTLE_TIME);
    events
}

impl RunEvents<'_> {
    fn between(&self, from: Timestamp, to: Timestamp) -> &[(Timestamp, &str, &str)] {
        let index_at = |at: Timestamp| self.attempts.partition_point(|(t, _, _)| *t < at);
        &self.attempts[index_at(from)..index_at(to).max(index_at(from))]
    }

    /// The share of the proxies' requests in the second window that goes to backends they didn't use in the
    /// first.
    fn new_target_share(
        &self,
        first: (Timestamp, Timestamp),
        second: (Timestamp, Timestamp),
        excluded: &str,
    ) -> Option<f64> {
        let mut used: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, proxy, host) in self.between(first.0, first.1) {
            used.entry(proxy).or_default().insert(host);
            *count.entry(proxy).or_default() += 1;
        }
        let (mut all, mut new) = (0, 0);
        for (_, proxy, host) in self.between(second.0, second.1) {
            let enough = count.get(proxy).is_some_and(|n| *n >= MIN_REQUESTS_PER_PROXY)
                && *proxy != excluded
                && *host != excluded;
            all += usize::from(enough);
            new += usize::from(enough && !used.get(proxy).is_some_and(|used| used.contains(host)));
        }
        (all > 0).then(|| new as f64 / all as f64)
    }

    fn moved(&self) -> (f64, f64) {
        let mean = |all: Vec<f64>| all.iter().fold(0.0, |sum, part| sum + part) / all.len().max(1) as f64;
        let (mut moved, mut calm) = (Vec::new(), Vec::new());
        for (at, subject) in &self.membership_changes {
            let (at, gap) = (*at, SETTLE_TIME + MOVE_WINDOW);
            if at.since(self.start) < MOVE_WINDOW + gap || at + gap > self.end {
                continue;
            }
            let before = (at - MOVE_WINDOW, at);
            moved.extend(self.new_target_share(before, (at + SETTLE_TIME, at + gap), subject));
            calm.extend(self.new_target_share((at - gap - MOVE_WINDOW, at - gap), before, subject));
        }
        (mean(moved), mean(calm))
    }

    fn served_share(&self, from: Timestamp, to: Timestamp) -> Option<f64> {
        let index_at = |at: Timestamp| self.intents.partition_point(|(due, _)| *due < at);
        let own = &self.intents[index_at(from)..index_at(to).max(index_at(from))];
        (own.len() >= 5).then(|| own.iter().filter(|(_, served)| *served).count() as f64 / own.len() as f64)
    }

    fn recovery_s(&self) -> f64 {
        let Some(first) = self.first_fault else { return 0.0 };
        let wanted = self.served_share(self.start, first).unwrap_or(1.0) * RECOVERED_RATIO;
        let recovery_from = |from: &Timestamp| {
            let mut at = *from;
            while at + RECOVERY_WINDOW <= self.end {
                if self.served_share(at, at + RECOVERY_WINDOW).is_none_or(|share| share >= wanted) {
                    return at.since(*from).secs();
                }
                at = at + RECOVERY_STEP;
            }
            self.end.since(*from).secs()
        };
        self.fault_ends.iter().map(recovery_from).fold(0.0, f64::max)
    }

    fn backend_spread(&self) -> f64 {
        let of = |tier: &Tier| {
            let host = |n: usize| format!("{}/s-{n}", tier.name);
            let hosts: Vec<_> = (0..tier.backends).map(|n| (n, host(n))).collect();
            let hosts = hosts.into_iter().filter(|(_, host)| !self.affected.contains(host.as_str()));
            let mut counts: BTreeMap<String, (f64, u64)> =
                hosts.map(|(n, host)| (host, (tier.size(n), 0))).collect();
            for (_, _, host) in &self.attempts {
                if let Some((_, count)) = counts.get_mut(*host) {
                    *count += 1;
                }
            }
            let all: Vec<f64> = counts.values().map(|(size, count)| *count as f64 / size.max(1e-9)).collect();
            spread(&all, counts.values().map(|(_, count)| count).sum())
        };
        self.scenario.tiers.iter().map(of).fold(0.0, f64::max)
    }

    fn proxy_spread(&self, records: &[Record]) -> f64 {
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for record in records {
            if let RecordKind::Sent { to, .. } = &record.kind {
                *counts.entry(to).or_default() += 1;
            }
        }
        counts.retain(|proxy, _| !self.affected.contains(proxy));
        let all: Vec<f64> = counts.values().map(|count| *count as f64).collect();
        spread(&all, counts.values().sum())
    }
}

/// All fleet figures of a run that began at `start`.
pub fn compute(records: &[Record], scenario: &Scenario, start: Timestamp) -> FleetFigures {
    let end = start + scenario.duration;
    let mut figures = FleetFigures::default();
    let dead = dead(records, end);
    let mut offered: BTreeMap<&str, Vec<Timestamp>> = BTreeMap::new();
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    let mut requests_at_dead: BTreeMap<String, Vec<Timestamp>> = BTreeMap::new();
    let mut talk: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let (half, mut late_talk) = (start + scenario.duration.scaled(0.5), BTreeMap::<&str, u64>::new());
    let (mut cost, mut proxies, mut cpu_ms, mut wakeups_per_s) = ((0.0, 0.0), 0u64, 0.0, 0.0);
    for record in records {
        if let Some(host) = at_dead(record, &dead) {
            requests_at_dead.entry(host).or_default().push(record.t);
        }
        match &record.kind {
            RecordKind::Arrived { .. } => offered.entry(&record.component).or_default().push(record.t),
            RecordKind::Started { warm: false, .. } => starts.push((&record.component, record.t)),
            RecordKind::Stopped { .. } => stops.push((&record.component, record.t)),
            RecordKind::PeerTraffic { proxy, sent, bytes, .. } => {
                let own = talk.entry(proxy).or_default();
                *own = (own.0 + sent, own.1 + bytes);
                *late_talk.entry(proxy).or_default() += if record.t >= half { *bytes } else { 0 };
            }
            RecordKind::ResourceUsage { cpu_us, memory, wakeups, descriptors, over_us, .. }
                if *over_us > 0 =>
            {
                let seconds = (*over_us as f64 / 1e6).max(1.0);
                proxies += 1;
                cpu_ms += *cpu_us as f64 / 1000.0 / seconds;
                wakeups_per_s += *wakeups as f64 / seconds;
                cost.0 += *memory as f64 / f64::from(1 << 20);
                cost.1 = f64::max(cost.1, *descriptors as f64);
            }
            _ => {}
        }
    }
    for (host, spans) in &dead {
        for (from, to) in spans {
            let own = requests_at_dead.get(host).map_or(&[][..], |all| all.as_slice());
            let settled = (*from + DEATH_DETECTION_TIME).min(*to);
            let within =
                |a: Timestamp, b: Timestamp| own.iter().filter(|at| **at >= a && **at < b).count() as u64;
            figures.dead_first = figures.dead_first.max(within(*from, settled));
            let left = to.since(settled);
            if left >= Micros::from_millis(1000) {
                figures.dead_per_s = figures.dead_per_s.max(within(settled, *to) as f64 / left.secs());
            }
        }
    }
    for (host, from) in &starts {
        let Some((tier, _, n)) = scenario.components(host).first().copied() else { continue };
        let tier = &scenario.tiers[tier];
        let ended =
            stops.iter().find(|(h, at)| h == host && at > from).map_or(end, |(_, at)| *at + Micros(1));
        let until = (*from + tier.cold_ramp).min(ended);
        let own = offered.get(host.as_str()).map_or(&[][..], |all| all.as_slice());
        figures.cold_most =
            figures.cold_most.max(peak_cold_load(own, (*from, until), tier, tier.core_count(n)).most);
    }
    let seconds = scenario.duration.secs().max(1e-6);
    figures.talk_per_s = talk.values().map(|(sent, _)| *sent as f64 / seconds).fold(0.0, f64::max);
    figures.talk_bytes_per_s = talk.values().map(|(_, bytes)| *bytes as f64 / seconds).fold(0.0, f64::max);
    figures.talk_late_bytes_per_s =
        late_talk.values().map(|bytes| *bytes as f64 * 2.0 / seconds).fold(0.0, f64::max);
    let sent: u64 = talk.values().map(|(sent, _)| sent).sum();
    figures.talk_mean_per_s = sent as f64 / seconds / talk.len().max(1) as f64;
    let count = proxies.max(1) as f64;
    (figures.proxy_cpu_ms, figures.proxy_wakeups) = (cpu_ms / count, wakeups_per_s / count);
    (figures.proxy_mib, figures.proxy_descriptors) = (cost.0 / count, cost.1);
    membership_figures::fill(records, (start, end), &mut figures);
    duty_figures::fill(records, end, &mut figures);
    let events = collect_events(records, scenario, start);
    (figures.moved, figures.moved_calm) = events.moved();
    figures.backend_spread = events.backend_spread();
    figures.proxy_spread = events.proxy_spread(records);
    figures.back_s = events.recovery_s();
    figures
}
