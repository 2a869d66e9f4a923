//! Compares the proxies' views of the membership with the processes that really ran: how soon a killed proxy
//! was detected, which running proxies were considered dead, how soon all views agreed, and the sum of the
//! proxies' shares.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{Micros, Timestamp};
use crate::figures::FleetFigures;
use crate::record::{Record, RecordKind};
use crate::scenario::FaultKind;

/// After a fault, a proxy may still be considered dead for this long.
const FAULT_AFTERMATH: Micros = Micros::from_millis(15_000);
/// After a proxy has come up, views may need this long to be current.
const VIEW_SETTLE_TIME: Micros = Micros::from_millis(5000);

#[derive(Default)]
struct ProxyHistory {
    /// When each proxy was down or paused: from, to.
    downtime: BTreeMap<String, Vec<(Timestamp, Timestamp)>>,
    /// Ends of processes: proxy, time, and whether it was killed.
    ends: Vec<(String, Timestamp, bool)>,
    up: BTreeSet<String>,
    starts: Vec<Timestamp>,
    /// When faults degraded the network paths between proxies.
    network_faults: Vec<(Timestamp, Timestamp)>,
    last_change: Timestamp,
}

fn history(records: &[Record], end: Timestamp) -> ProxyHistory {
    let mut history = ProxyHistory::default();
    for record in records {
        let t = record.t;
        match &record.kind {
            RecordKind::ProxyDown { proxy, how } => {
                history.downtime.entry(proxy.clone()).or_default().push((t, end));
                if how != "freeze" && !how.starts_with("slow") {
                    history.ends.push((proxy.clone(), t, how == "kill"));
                    history.up.remove(proxy);
                }
                history.last_change = t;
            }
            RecordKind::ProxyUp { proxy } => {
                let open = history.downtime.get_mut(proxy).into_iter().flatten().filter(|(_, to)| *to == end);
                open.for_each(|span| span.1 = t);
                history.up.insert(proxy.clone());
                history.starts.push(t);
                history.last_change = t;
            }
            RecordKind::Fault { on, fault: Some(fault), .. } if fault.component_kinds().contains('w') => {
                match history.network_faults.last_mut().filter(|(_, to)| !*on && *to == end) {
                    Some(last) => last.1 = t,
                    None if *on && *fault != FaultKind::Delay => history.network_faults.push((t, end)),
                    None => {}
                }
                history.last_change = t;
            }
            _ => {}
        }
    }
    history
}

fn recently_affected(spans: Option<&Vec<(Timestamp, Timestamp)>>, at: Timestamp) -> bool {
    spans.into_iter().flatten().any(|(from, to)| *from <= at && at <= *to + FAULT_AFTERMATH)
}

type ProxyViews<'a> = Vec<(Timestamp, &'a [String], &'a [String], u64)>;

/// Fills in the figures on membership views.
pub fn fill(records: &[Record], (start, end): (Timestamp, Timestamp), figures: &mut FleetFigures) {
    let history = history(records, end);
    let mut views: BTreeMap<&str, ProxyViews> = BTreeMap::new();
    for record in records {
        if let RecordKind::MembershipView { proxy, present, dead, member_count } = &record.kind {
            views.entry(proxy).or_default().push((record.t, present, dead, *member_count));
        }
    }
    figures.agree_s = -1.0;
    if views.is_empty() {
        return;
    }
    let mut detection_s = Vec::new();
    for (name, at, _) in history.ends.iter().filter(|(_, at, kill)| *kill && *at > start) {
        let back = history.downtime[name].iter().find(|(from, _)| from == at).map_or(end, |(_, to)| *to);
        for (viewer, views) in views.iter().filter(|(viewer, _)| *viewer != name) {
            let downtime = history.downtime.get(*viewer).into_iter().flatten();
            if downtime.clone().any(|(from, to)| *from < back && *to > *at) {
                continue;
            }
            let mut later = views.iter().filter(|(t, ..)| t > at && *t < back);
            let first = later.find(|(_, present, ..)| !present.contains(name)).map_or(back, |(t, ..)| *t);
            detection_s.push(first.since(*at).secs());
        }
    }
    detection_s.sort_by(f64::total_cmp);
    figures.gone_s = detection_s.get(detection_s.len() / 2).copied().unwrap_or(0.0);
    figures.gone_most_s = detection_s.last().copied().unwrap_or(0.0);
    let only_loss = only_lossy_faults(records);
    let mut wrong: BTreeSet<(&str, &str)> = BTreeSet::new();
    for (viewer, views) in &views {
        for (t, _, dead, _) in views {
            let partitioned = !only_loss && recently_affected(Some(&history.network_faults), *t);
            if partitioned || recently_affected(history.downtime.get(*viewer), *t) {
                continue;
            }
            let falsely_dead = dead.iter().filter(|name| {
                history.up.contains(*name) && !recently_affected(history.downtime.get(*name), *t)
            });
            wrong.extend(falsely_dead.map(|name| (*viewer, name.as_str())));
        }
    }
    figures.false_deaths = wrong.len() as u64;
    let last = history.last_change.max(start);
    let running: BTreeSet<&String> = history.up.iter().collect();
    let agreed = |views: &ProxyViews| {
        let is_correct = |present: &[String]| present.iter().collect::<BTreeSet<_>>() == running;
        let wrong = views.iter().rev().find(|(t, present, ..)| *t > last && !is_correct(present));
        let after = |at: Timestamp| views.iter().find(|(t, ..)| *t > at).map_or(end, |(t, ..)| *t);
        wrong.map_or(after(last), |(t, ..)| after(*t)).since(last).secs()
    };
    let up = views.iter().filter(|(viewer, _)| history.up.contains(**viewer));
    figures.agree_s = up.map(|(_, views)| agreed(views)).fold(0.0, f64::max);
    let mut at = start;
    while at < end {
        let settling =
            history.starts.iter().any(|started| *started <= at && at.since(*started) < VIEW_SETTLE_TIME);
        let shares = views.iter().filter_map(|(viewer, views)| {
            let is_down = history
                .downtime
                .get(*viewer)
                .into_iter()
                .flatten()
                .any(|(from, to)| *from <= at && at <= *to);
            let last = views[..views.partition_point(|(t, ..)| *t <= at)].last()?;
            (!is_down).then(|| 1.0 / last.3.max(1) as f64)
        });
        let sum = shares.sum::<f64>();
        if !settling {
            figures.shares_most = figures.shares_most.max(sum);
        }
        at = at + Micros::from_millis(250);
    }
}

/// Whether the network faults only lost, delayed or corrupted some datagrams, without a partition. Such
/// faults don't excuse considering a running proxy dead.
fn only_lossy_faults(records: &[Record]) -> bool {
    let is_partition = |record: &Record| {
        let what = &record.kind;
        matches!(what, RecordKind::Fault { fault: Some(FaultKind::Partition | FaultKind::Bridge), .. })
    };
    !records.iter().any(is_partition)
}
