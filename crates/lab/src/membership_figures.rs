//! What proxies saw of each other, against what was so: how soon a killed one was known to be gone, who was held dead and was
//! not, how soon all agreed, and what their parts came to.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{At, Micros};
use crate::figures::FleetFigures;
use crate::record::{Record, RecordKind};
use crate::scenario::FaultKind;

/// After what befell it, a proxy may still be held dead for so long.
const AFTER: Micros = Micros::from_millis(15_000);
/// Views that are older than any coming or going by this are old enough.
const SETTLED: Micros = Micros::from_millis(5000);

#[derive(Default)]
struct Lives {
    /// When each was away, stopped, or not there: from, to.
    away: BTreeMap<String, Vec<(At, At)>>,
    /// Ends by order or by kill: when, and whether it was a kill.
    gone: Vec<(String, At, bool)>,
    up: BTreeSet<String>,
    comings: Vec<At>,
    /// When ways between proxies were made worse.
    ways: Vec<(At, At)>,
    last_change: At,
}

fn lives(records: &[Record], end: At) -> Lives {
    let mut lives = Lives::default();
    for record in records {
        let t = record.t;
        match &record.kind {
            RecordKind::ProxyDown { proxy, how } => {
                lives.away.entry(proxy.clone()).or_default().push((t, end));
                if how != "freeze" && !how.starts_with("slow") {
                    lives.gone.push((proxy.clone(), t, how == "kill"));
                    lives.up.remove(proxy);
                }
                lives.last_change = t;
            }
            RecordKind::ProxyUp { proxy } => {
                let open = lives.away.get_mut(proxy).into_iter().flatten().filter(|(_, to)| *to == end);
                open.for_each(|span| span.1 = t);
                lives.up.insert(proxy.clone());
                lives.comings.push(t);
                lives.last_change = t;
            }
            RecordKind::Fault { on, fault: Some(fault), .. } if fault.component_kinds().contains('w') => {
                match lives.ways.last_mut().filter(|(_, to)| !*on && *to == end) {
                    Some(last) => last.1 = t,
                    None if *on && *fault != FaultKind::Delay => lives.ways.push((t, end)),
                    None => {}
                }
                lives.last_change = t;
            }
            _ => {}
        }
    }
    lives
}

fn befallen(spans: Option<&Vec<(At, At)>>, at: At) -> bool {
    spans.into_iter().flatten().any(|(from, to)| *from <= at && at <= *to + AFTER)
}

type Views<'a> = Vec<(At, &'a [String], &'a [String], u64)>;

/// Fills in what views tell.
pub fn fill(records: &[Record], (start, end): (At, At), f: &mut FleetFigures) {
    let lives = lives(records, end);
    let mut views: BTreeMap<&str, Views> = BTreeMap::new();
    for record in records {
        if let RecordKind::MembershipView { proxy, there, dead, counted } = &record.kind {
            views.entry(proxy).or_default().push((record.t, there, dead, *counted));
        }
    }
    f.agree_s = -1.0;
    if views.is_empty() {
        return;
    }
    let mut took = Vec::new();
    for (name, at, _) in lives.gone.iter().filter(|(_, at, kill)| *kill && *at > start) {
        let back = lives.away[name].iter().find(|(from, _)| from == at).map_or(end, |(_, to)| *to);
        for (viewer, views) in views.iter().filter(|(viewer, _)| *viewer != name) {
            let away = lives.away.get(*viewer).into_iter().flatten();
            if away.clone().any(|(from, to)| *from < back && *to > *at) {
                continue;
            }
            let mut later = views.iter().filter(|(t, ..)| t > at && *t < back);
            let first = later.find(|(_, there, ..)| !there.contains(name)).map_or(back, |(t, ..)| *t);
            took.push(first.since(*at).secs());
        }
    }
    took.sort_by(f64::total_cmp);
    f.gone_s = took.get(took.len() / 2).copied().unwrap_or(0.0);
    f.gone_most_s = took.last().copied().unwrap_or(0.0);
    let loses = only_loses(records);
    let mut wrong: BTreeSet<(&str, &str)> = BTreeSet::new();
    for (viewer, views) in &views {
        for (t, _, dead, _) in views {
            let parted = !loses && befallen(Some(&lives.ways), *t);
            if parted || befallen(lives.away.get(*viewer), *t) {
                continue;
            }
            let fit =
                dead.iter().filter(|name| lives.up.contains(*name) && !befallen(lives.away.get(*name), *t));
            wrong.extend(fit.map(|name| (*viewer, name.as_str())));
        }
    }
    f.false_deaths = wrong.len() as u64;
    let last = lives.last_change.max(start);
    let running: BTreeSet<&String> = lives.up.iter().collect();
    let agreed = |views: &Views| {
        let right = |there: &[String]| there.iter().collect::<BTreeSet<_>>() == running;
        let wrong = views.iter().rev().find(|(t, there, ..)| *t > last && !right(there));
        let after = |at: At| views.iter().find(|(t, ..)| *t > at).map_or(end, |(t, ..)| *t);
        wrong.map_or(after(last), |(t, ..)| after(*t)).since(last).secs()
    };
    let up = views.iter().filter(|(viewer, _)| lives.up.contains(**viewer));
    f.agree_s = up.map(|(_, views)| agreed(views)).fold(0.0, f64::max);
    let mut at = start;
    while at < end {
        let fresh = lives.comings.iter().any(|coming| *coming <= at && at.since(*coming) < SETTLED);
        let parts = views.iter().filter_map(|(viewer, views)| {
            let away =
                lives.away.get(*viewer).into_iter().flatten().any(|(from, to)| *from <= at && at <= *to);
            let last = views[..views.partition_point(|(t, ..)| *t <= at)].last()?;
            (!away).then(|| 1.0 / last.3.max(1) as f64)
        });
        let sum = parts.sum::<f64>();
        if !fresh {
            f.shares_most = f.shares_most.max(sum);
        }
        at = at + Micros::from_millis(250);
    }
}

/// Whether the ways only ever lost, held up or garbled some: that is no reason to hold anybody dead.
fn only_loses(records: &[Record]) -> bool {
    let parts = |record: &Record| {
        let what = &record.kind;
        matches!(what, RecordKind::Fault { fault: Some(FaultKind::Partition | FaultKind::Bridge), .. })
    };
    !records.iter().any(parts)
}
