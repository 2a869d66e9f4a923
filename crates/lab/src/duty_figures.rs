//! Computes the figures on duties from the holders that proxies reported when polled: duties with two holders
//! at once, changes of holder, and how long a duty had no holder after its holder was killed.

use std::collections::BTreeMap;

use crate::clock::{Micros, Timestamp};
use crate::figures::FleetFigures;
use crate::record::{Record, RecordKind};

/// A proxy's report that it holds a duty. The proxy read its clock after the request was sent and before the
/// response arrived.
struct HolderReport<'a> {
    requested_at: Timestamp,
    answered_at: Timestamp,
    proxy: &'a str,
    term: u64,
}

/// Counts how often two proxies must have held a duty at once: one reported it in response to a request sent
/// after another had reported it under a later term, or both reported it under the same term.
fn count_double_holders(reports: &[HolderReport]) -> u64 {
    let mut latest: Option<&HolderReport> = None;
    let mut twice = 0;
    for report in reports {
        let Some(last) = latest else {
            latest = Some(report);
            continue;
        };
        let other_proxy = report.proxy != last.proxy;
        twice += u64::from(
            other_proxy && report.term == last.term
                || report.term < last.term && report.requested_at > last.answered_at,
        );
        if report.term >= last.term {
            latest = Some(report);
        }
    }
    twice
}

pub fn fill(records: &[Record], end: Timestamp, figures: &mut FleetFigures) {
    let mut duties: BTreeMap<&str, Vec<HolderReport>> = BTreeMap::new();
    let mut ends: Vec<(Timestamp, &str, bool)> = Vec::new();
    for record in records {
        match &record.kind {
            RecordKind::DutyHeld { proxy, duty, term, took } => {
                let (requested_at, answered_at) = (record.t - Micros(*took), record.t);
                duties.entry(duty).or_default().push(HolderReport {
                    requested_at,
                    answered_at,
                    proxy,
                    term: *term,
                });
            }
            RecordKind::ProxyDown { proxy, how } if how == "kill" || how == "term" => {
                ends.push((record.t, proxy, how == "kill"));
            }
            _ => {}
        }
    }
    let (mut gaps, mut handover_gaps): (Vec<Micros>, Vec<Micros>) = Default::default();
    for reports in duties.values_mut() {
        reports.sort_by_key(|report| report.answered_at);
        figures.duties_twice += count_double_holders(reports);
        figures.duties_changed +=
            reports.windows(2).filter(|pair| pair[0].proxy != pair[1].proxy).count() as u64;
        for (at, proxy, killed) in &ends {
            let (before, after) =
                reports.split_at(reports.partition_point(|report| report.answered_at <= *at));
            if before.last().is_some_and(|report| report.proxy == *proxy) {
                let gaps = if *killed { &mut gaps } else { &mut handover_gaps };
                gaps.push(after.first().map_or(end, |report| report.answered_at).since(*at));
            }
        }
    }
    figures.duties = duties.len() as u64;
    let longest_s = |gaps: Vec<Micros>| gaps.into_iter().max().map_or(0.0, Micros::secs);
    (figures.duties_gap_s, figures.duties_left_s) = (longest_s(gaps), longest_s(handover_gaps));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn simultaneous_holders_are_counted_but_a_change_of_holder_is_not() {
        let reports = |requested_at, answered_at, proxy, term| HolderReport {
            requested_at: Timestamp(requested_at),
            answered_at: Timestamp(answered_at),
            proxy,
            term,
        };
        assert_eq!(
            count_double_holders(&[reports(0, 5, "a", 1), reports(2, 7, "b", 2), reports(9, 12, "b", 2)]),
            0
        );
        // The first holder's response was in transit while the next one took over.
        assert_eq!(count_double_holders(&[reports(0, 5, "b", 2), reports(4, 7, "a", 1)]), 0);
        assert_eq!(count_double_holders(&[reports(0, 5, "b", 2), reports(6, 7, "a", 1)]), 1);
        assert_eq!(count_double_holders(&[reports(0, 5, "b", 2), reports(1, 7, "a", 2)]), 1);
    }
}
