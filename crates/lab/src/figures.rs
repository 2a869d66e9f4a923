//! The figures of a run, their names, and the bounds that a scenario sets on them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Micros;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Intents (planned requests with their retries) that ended, and those of them that were served.
    pub intents: u64,
    pub honoured: u64,
    pub honoured_share: f64,
    /// The served share over the last quarter of the run.
    pub end_honoured_share: f64,
    /// Attempts of clients, and their outcomes: refused with 429 or 503 (`turned_back`), another error status
    /// (`forfeited`), given up early by the client (`left`), no response (`lost`).
    pub tries: u64,
    pub turned_back: u64,
    pub forfeited: u64,
    pub left: u64,
    pub lost: u64,
    /// Latency of served intents, from the planned time to the response, ms.
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
    /// Requests that arrived at the lowest tier per intent.
    pub amplification: f64,
    pub honoured_per_s: f64,
    /// Processor time of all proxies per attempt, us.
    pub cpu_us: f64,
    /// Connections that stayed idle to the end, and a proxy's private memory per connection, in bytes.
    pub idle: u64,
    pub idle_bytes: f64,
    #[serde(flatten, default)]
    pub fleet: FleetFigures,
}

/// Figures of all proxies together, and the resource use of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetFigures {
    /// Requests that all proxies together sent to a dead backend: in the first 6 s after its death, and per
    /// second after that; the maximum over all backends.
    pub dead_first: u64,
    pub dead_per_s: f64,
    /// The highest load that a cold backend got from all proxies in a window, as a ratio to its capacity.
    pub cold_most: f64,
    /// The largest count of requests divided by the mean, of backends (weighted by size) and of proxies
    /// without faults.
    pub backend_spread: f64,
    pub proxy_spread: f64,
    /// The share of a proxy's requests that go to backends it did not use before, after another proxy or a
    /// backend came or went, and over a period of the same length before that.
    pub moved: f64,
    pub moved_calm: f64,
    /// Datagrams and bytes per second that the busiest proxy sent to others, and the mean number of
    /// datagrams.
    pub talk_per_s: f64,
    pub talk_bytes_per_s: f64,
    pub talk_mean_per_s: f64,
    /// Bytes per second that the busiest proxy sent in the second half of the run.
    pub talk_late_bytes_per_s: f64,
    /// Time until others consider a killed proxy gone, s: the median and the maximum.
    pub gone_s: f64,
    pub gone_most_s: f64,
    /// Pairs of proxies of which one considered the other dead though neither had been affected by a fault
    /// for a while.
    pub false_deaths: u64,
    /// Time from the last change of a proxy or a network fault until all running proxies saw exactly each
    /// other, s; -1 if no proxy was polled.
    pub agree_s: f64,
    /// The largest sum of all proxies' shares, after views had time to settle.
    pub shares_most: f64,
    /// Duties held, changes of holder, and times that two proxies must have held one at once.
    pub duties: u64,
    pub duties_changed: u64,
    pub duties_twice: u64,
    /// Time until a killed holder's duty had a holder again, s; the maximum.
    pub duties_gap_s: f64,
    /// The same for a holder that was told to shut down and gives its duty back.
    pub duties_left_s: f64,
    /// Time from the end of a fault until the served share is back at 0.98 of its value before all faults, s;
    /// the maximum.
    pub back_s: f64,
    /// Mean over all proxies of processor time in ms per second, wakeups per second and private memory in
    /// MiB; and the most descriptors that one proxy had open.
    pub proxy_cpu_ms: f64,
    pub proxy_wakeups: f64,
    pub proxy_mib: f64,
    pub proxy_descriptors: f64,
}

/// A figure's name and the function that reads it.
type Reading = (&'static str, fn(&Figures) -> f64);

/// All figures that can be compared or bounded.
pub const FIGURES: &[Reading] = &[
    ("idle", |f| f.idle as f64),
    ("idle_bytes", |f| f.idle_bytes),
    ("honoured_share", |f| f.honoured_share),
    ("end_honoured_share", |f| f.end_honoured_share),
    ("p50_ms", |f| f.p50_ms),
    ("p99_ms", |f| f.p99_ms),
    ("p90_ms", |f| f.p90_ms),
    ("max_ms", |f| f.max_ms),
    ("amplification", |f| f.amplification),
    ("honoured_per_s", |f| f.honoured_per_s),
    ("cpu_us", |f| f.cpu_us),
    ("turned_back", |f| f.turned_back as f64),
    ("forfeited", |f| f.forfeited as f64),
    ("lost", |f| f.lost as f64),
    ("intents", |f| f.intents as f64),
    ("dead_first", |f| f.fleet.dead_first as f64),
    ("dead_per_s", |f| f.fleet.dead_per_s),
    ("cold_most", |f| f.fleet.cold_most),
    ("backend_spread", |f| f.fleet.backend_spread),
    ("proxy_spread", |f| f.fleet.proxy_spread),
    ("moved", |f| f.fleet.moved),
    ("moved_calm", |f| f.fleet.moved_calm),
    ("talk_per_s", |f| f.fleet.talk_per_s),
    ("talk_bytes_per_s", |f| f.fleet.talk_bytes_per_s),
    ("talk_late_bytes_per_s", |f| f.fleet.talk_late_bytes_per_s),
    ("talk_mean_per_s", |f| f.fleet.talk_mean_per_s),
    ("gone_s", |f| f.fleet.gone_s),
    ("gone_most_s", |f| f.fleet.gone_most_s),
    ("false_deaths", |f| f.fleet.false_deaths as f64),
    ("agree_s", |f| f.fleet.agree_s),
    ("shares_most", |f| f.fleet.shares_most),
    ("duties", |f| f.fleet.duties as f64),
    ("duties_changed", |f| f.fleet.duties_changed as f64),
    ("duties_twice", |f| f.fleet.duties_twice as f64),
    ("duties_gap_s", |f| f.fleet.duties_gap_s),
    ("duties_left_s", |f| f.fleet.duties_left_s),
    ("back_s", |f| f.fleet.back_s),
    ("proxy_cpu_ms", |f| f.fleet.proxy_cpu_ms),
    ("proxy_wakeups", |f| f.fleet.proxy_wakeups),
    ("proxy_mib", |f| f.fleet.proxy_mib),
    ("proxy_descriptors", |f| f.fleet.proxy_descriptors),
];

impl Figures {
    pub fn get(&self, name: &str) -> Option<f64> {
        FIGURES.iter().find(|(known, _)| *known == name).map(|(_, read)| read(self))
    }

    /// Checks that a figure exists; the error lists all names.
    pub fn known(name: &str) -> Result<(), String> {
        let known = || FIGURES.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
        match FIGURES.iter().any(|(known, _)| *known == name) {
            true => Ok(()),
            false => Err(format!("figure {name:?}: wanted one of {}", known())),
        }
    }

    /// The missed bounds, one line each.
    pub fn missed(&self, bounds: &Bounds) -> Vec<String> {
        let mut missed = Vec::new();
        let mut check = |name: &str, found: f64, least: Option<f64>, most: Option<f64>| {
            if let Some(least) = least.filter(|least| found < *least) {
                missed.push(format!("{name} is {found:.3}, wanted at least {least}"));
            }
            if let Some(most) = most.filter(|most| found > *most) {
                missed.push(format!("{name} is {found:.3}, wanted at most {most}"));
            }
        };
        check("honoured_share", self.honoured_share, bounds.honoured_least, bounds.honoured_most);
        check(
            "end_honoured_share",
            self.end_honoured_share,
            bounds.end_honoured_least,
            bounds.end_honoured_most,
        );
        check("p50_ms", self.p50_ms, None, bounds.p50_most.map(Micros::ms));
        check("p99_ms", self.p99_ms, None, bounds.p99_most.map(Micros::ms));
        check("idle", self.idle as f64, bounds.idle_least.map(|least| least as f64), None);
        check("idle_bytes", self.idle_bytes, None, bounds.idle_bytes_most);
        check("amplification", self.amplification, None, bounds.amplification_most);
        for (name, least) in &bounds.least {
            check(name, self.get(name).unwrap_or(f64::NAN), Some(*least), None);
        }
        for (name, most) in &bounds.most {
            check(name, self.get(name).unwrap_or(f64::NAN), None, Some(*most));
        }
        missed
    }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The share of the intents that are served.
    pub honoured_least: Option<f64>,
    pub honoured_most: Option<f64>,
    /// The same over the last quarter of the run, which shows whether service recovered after the faults.
    pub end_honoured_least: Option<f64>,
    pub end_honoured_most: Option<f64>,
    pub p50_most: Option<Micros>,
    pub p99_most: Option<Micros>,
    /// Requests that reach the lowest tier per intent.
    pub amplification_most: Option<f64>,
    /// Connections that must still be idle at the end, and the private memory of a proxy per connection, in
    /// bytes.
    pub idle_least: Option<u64>,
    pub idle_bytes_most: Option<f64>,
    /// Bounds on any figure, by its name.
    pub least: BTreeMap<String, f64>,
    pub most: BTreeMap<String, f64>,
}
