//! Facts about many proxies together, out of a run's records: what dead and cold backends get from all of them, how
//! evenly load lies, what moves when one comes or goes, what they tell each other, and when service is back.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{At, Micros};
use crate::figures::FleetFigures;
use crate::record::{Record, RecordKind};
use crate::scenario::{Scenario, Tier};
use crate::{duty_figures, membership_figures};

/// While a backend is newly dead, its proxies may still be finding out.
pub const FINDING_OUT: Micros = Micros::from_millis(6000);
const BEFORE: Micros = Micros::from_millis(3000); // a window beside a coming or going
const SETTLE: Micros = Micros::from_millis(1000); // between a coming or going and the window after it
const BACK: f64 = 0.98; // of what service was before
const BACK_WINDOW: Micros = Micros::from_millis(1000);
const BACK_STEP: Micros = Micros::from_millis(100);
const LEAST_REQUESTS: usize = 8; // of one proxy in a window, to tell what moved
const LEAST_EVEN: u64 = 100; // requests at all backends, to tell how evenly they lie

/// When each part was in a way that `wanted` names, up to the end of the run.
type Spans = BTreeMap<String, Vec<(At, At)>>;

/// The times at which backends gave no answers because of a fault.
pub fn dead(records: &[Record], end: At) -> Spans {
    let mut spans = Spans::new();
    for record in records {
        let RecordKind::Fault { on, fault: Some(fault), befalls, .. } = &record.kind else { continue };
        if !fault.prevents_responses() {
            continue;
        }
        let own = spans.entry(befalls.clone()).or_default();
        match own.last_mut().filter(|(_, to)| *to == end) {
            None if *on => own.push((record.t, end)),
            Some(last) if !*on => last.1 = record.t,
            _ => {}
        }
    }
    spans
}

/// Whether a request reached, or a connection was refused by, a backend that is dead, and which.
pub fn at_dead(record: &Record, dead: &Spans) -> Option<String> {
    let host = match &record.kind {
        RecordKind::Arrived { .. } => record.component.clone(),
        RecordKind::ConnectFailed => record.component.replacen("/l-", "/s-", 1),
        _ => return None,
    };
    let within = dead.get(&host)?.iter().any(|(from, to)| *from <= record.t && record.t < *to);
    within.then_some(host)
}

/// The most that a cold backend was offered in a window, by what it could bear then; and the first time at which that
/// pushed it over, with how much was offered and what it could bear.
pub struct Heaviest {
    pub most: f64,
    pub over: Option<(At, usize, f64)>,
}

/// `offered` in order of time; `from` is its start, `until` its end or that of its warming.
pub fn heaviest(offered: &[At], (from, until): (At, At), tier: &Tier, cores: usize) -> Heaviest {
    let window = tier.fall_window;
    let mut found = Heaviest { most: 0.0, over: None };
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

/// Largest over mean; nothing where there is too little to tell.
fn spread(counts: &[f64], requests: u64) -> f64 {
    let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
    if counts.len() < 2 || requests < LEAST_EVEN || mean <= 0.0 {
        return 0.0;
    }
    counts.iter().fold(0.0, |most: f64, count| most.max(*count)) / mean
}

struct Gathered<'a> {
    scenario: &'a Scenario,
    start: At,
    end: At,
    /// Requests as they came to backends: when, by which proxy, where.
    forwards: Vec<(At, &'a str, &'a str)>,
    /// What befell a part: it is not counted among those that nothing befell.
    befallen: BTreeSet<&'a str>,
    /// Comings and goings, and of whom.
    moves: Vec<(At, &'a str)>,
    /// Intents by when they were meant: honoured or not.
    overs: Vec<(At, bool)>,
    /// Moments from which no fault is on any more.
    calm: Vec<At>,
    first_fault: Option<At>,
}

fn gather<'a>(records: &'a [Record], scenario: &'a Scenario, start: At) -> Gathered<'a> {
    let end = start + scenario.duration;
    let mut by: BTreeMap<&str, &str> = BTreeMap::new();
    for record in records {
        if let RecordKind::Sent { id, to, .. } | RecordKind::CallSent { id, to, .. } = &record.kind {
            by.insert(id, to);
        }
    }
    let (forwards, befallen, moves, overs, calm) = Default::default();
    let mut g = Gathered { scenario, start, end, forwards, befallen, moves, overs, calm, first_fault: None };
    let mut on: BTreeMap<&str, i32> = BTreeMap::new();
    let mut away: BTreeSet<&str> = BTreeSet::new();
    for record in records {
        let (t, before) = (record.t, on.values().sum::<i32>() as usize + away.len());
        match &record.kind {
            RecordKind::Arrived { id, .. } => {
                if let Some(proxy) = by.get(id.as_str()).filter(|_| t < end) {
                    g.forwards.push((t, proxy, &record.component));
                }
            }
            RecordKind::IntentFinished { due, honoured, .. } => g.overs.push((*due, *honoured)),
            RecordKind::Fault { on: begins, fault, befalls, text } => {
                g.befallen.insert(befalls);
                if *begins {
                    g.first_fault.get_or_insert(t);
                }
                *on.entry(text).or_default() += if *begins { 1 } else { -1 };
                if fault.is_some_and(|fault| fault.changes_membership()) && t < end {
                    g.moves.push((t, befalls));
                }
            }
            RecordKind::ProxyDown { proxy, how } => {
                g.befallen.insert(proxy);
                if how != "shrink" {
                    away.insert(proxy);
                }
            }
            RecordKind::ProxyUp { proxy } if t > start => {
                g.befallen.insert(proxy);
                away.remove(proxy.as_str());
            }
            RecordKind::Stopped { .. } if t < end => drop(g.befallen.insert(&record.component)),
            _ => {}
        }
        // What lasts for ever is part of how things are: it keeps nobody from being back.
        let now = on.values().sum::<i32>().max(0) as usize + away.len();
        if before > 0 && now < before && t > start && t < end {
            g.calm.push(t);
        }
    }
    g.overs.sort();
    g.moves.sort();
    g.moves.dedup_by(|later, earlier| later.0.since(earlier.0) < SETTLE);
    g
}

impl Gathered<'_> {
    fn between(&self, from: At, to: At) -> &[(At, &str, &str)] {
        let place = |at: At| self.forwards.partition_point(|(t, _, _)| *t < at);
        &self.forwards[place(from)..place(to).max(place(from))]
    }

    /// The part of the proxies' requests in the second window that goes where they sent nothing in the first.
    fn new_in(&self, first: (At, At), second: (At, At), but: &str) -> Option<f64> {
        let mut used: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, proxy, host) in self.between(first.0, first.1) {
            used.entry(proxy).or_default().insert(host);
            *count.entry(proxy).or_default() += 1;
        }
        let (mut all, mut new) = (0, 0);
        for (_, proxy, host) in self.between(second.0, second.1) {
            let enough =
                count.get(proxy).is_some_and(|n| *n >= LEAST_REQUESTS) && *proxy != but && *host != but;
            all += usize::from(enough);
            new += usize::from(enough && !used.get(proxy).is_some_and(|used| used.contains(host)));
        }
        (all > 0).then(|| new as f64 / all as f64)
    }

    fn moved(&self) -> (f64, f64) {
        let mean = |all: Vec<f64>| all.iter().fold(0.0, |sum, part| sum + part) / all.len().max(1) as f64;
        let (mut moved, mut calm) = (Vec::new(), Vec::new());
        for (at, subject) in &self.moves {
            let (at, gap) = (*at, SETTLE + BEFORE);
            if at.since(self.start) < BEFORE + gap || at + gap > self.end {
                continue;
            }
            let before = (at - BEFORE, at);
            moved.extend(self.new_in(before, (at + SETTLE, at + gap), subject));
            calm.extend(self.new_in((at - gap - BEFORE, at - gap), before, subject));
        }
        (mean(moved), mean(calm))
    }

    fn share(&self, from: At, to: At) -> Option<f64> {
        let place = |at: At| self.overs.partition_point(|(due, _)| *due < at);
        let own = &self.overs[place(from)..place(to).max(place(from))];
        (own.len() >= 5)
            .then(|| own.iter().filter(|(_, honoured)| *honoured).count() as f64 / own.len() as f64)
    }

    fn back(&self) -> f64 {
        let Some(first) = self.first_fault else { return 0.0 };
        let wanted = self.share(self.start, first).unwrap_or(1.0) * BACK;
        let back = |from: &At| {
            let mut at = *from;
            while at + BACK_WINDOW <= self.end {
                if self.share(at, at + BACK_WINDOW).is_none_or(|share| share >= wanted) {
                    return at.since(*from).secs();
                }
                at = at + BACK_STEP;
            }
            self.end.since(*from).secs()
        };
        self.calm.iter().map(back).fold(0.0, f64::max)
    }

    fn backend_spread(&self) -> f64 {
        let of = |tier: &Tier| {
            let host = |n: usize| format!("{}/s-{n}", tier.name);
            let hosts: Vec<_> = (0..tier.backends).map(|n| (n, host(n))).collect();
            let hosts = hosts.into_iter().filter(|(_, host)| !self.befallen.contains(host.as_str()));
            let mut counts: BTreeMap<String, (f64, u64)> =
                hosts.map(|(n, host)| (host, (tier.size(n), 0))).collect();
            for (_, _, host) in &self.forwards {
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
        counts.retain(|proxy, _| !self.befallen.contains(proxy));
        let all: Vec<f64> = counts.values().map(|count| *count as f64).collect();
        spread(&all, counts.values().sum())
    }
}

/// All facts of a run that began at `start`.
pub fn compute(records: &[Record], scenario: &Scenario, start: At) -> FleetFigures {
    let end = start + scenario.duration;
    let mut f = FleetFigures::default();
    let dead = dead(records, end);
    let mut offered: BTreeMap<&str, Vec<At>> = BTreeMap::new();
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    let mut at_deads: BTreeMap<String, Vec<At>> = BTreeMap::new();
    let mut talk: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let (half, mut late_talk) = (start + scenario.duration.scaled(0.5), BTreeMap::<&str, u64>::new());
    let (mut cost, mut proxies, mut cpu_ms, mut woken) = ((0.0, 0.0), 0u64, 0.0, 0.0);
    for record in records {
        if let Some(host) = at_dead(record, &dead) {
            at_deads.entry(host).or_default().push(record.t);
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
                woken += *wakeups as f64 / seconds;
                cost.0 += *memory as f64 / f64::from(1 << 20);
                cost.1 = f64::max(cost.1, *descriptors as f64);
            }
            _ => {}
        }
    }
    for (host, spans) in &dead {
        for (from, to) in spans {
            let own = at_deads.get(host).map_or(&[][..], |all| all.as_slice());
            let settled = (*from + FINDING_OUT).min(*to);
            let within = |a: At, b: At| own.iter().filter(|at| **at >= a && **at < b).count() as u64;
            f.dead_first = f.dead_first.max(within(*from, settled));
            let left = to.since(settled);
            if left >= Micros::from_millis(1000) {
                f.dead_per_s = f.dead_per_s.max(within(settled, *to) as f64 / left.secs());
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
        f.cold_most = f.cold_most.max(heaviest(own, (*from, until), tier, tier.core_count(n)).most);
    }
    let seconds = scenario.duration.secs().max(1e-6);
    f.talk_per_s = talk.values().map(|(sent, _)| *sent as f64 / seconds).fold(0.0, f64::max);
    f.talk_bytes_per_s = talk.values().map(|(_, bytes)| *bytes as f64 / seconds).fold(0.0, f64::max);
    f.talk_late_bytes_per_s =
        late_talk.values().map(|bytes| *bytes as f64 * 2.0 / seconds).fold(0.0, f64::max);
    let sent: u64 = talk.values().map(|(sent, _)| sent).sum();
    f.talk_mean_per_s = sent as f64 / seconds / talk.len().max(1) as f64;
    let count = proxies.max(1) as f64;
    (f.proxy_cpu_ms, f.proxy_wakeups) = (cpu_ms / count, woken / count);
    (f.proxy_mib, f.proxy_descriptors) = (cost.0 / count, cost.1);
    membership_figures::fill(records, (start, end), &mut f);
    duty_figures::fill(records, end, &mut f);
    let gathered = gather(records, scenario, start);
    (f.moved, f.moved_calm) = gathered.moved();
    f.backend_spread = gathered.backend_spread();
    f.proxy_spread = gathered.proxy_spread(records);
    f.back_s = gathered.back();
    f
}
