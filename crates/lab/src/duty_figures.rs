//! Who held which duty, from what proxies said when they were asked: never two, how often it changed hands, and how long one
//! whose holder was killed was nobody's.

use std::collections::BTreeMap;

use crate::clock::{At, Micros};
use crate::figures::FleetFigures;
use crate::record::{Record, RecordKind};

/// One proxy says that it holds a duty. It looked at its clock after it was asked and before its answer came.
struct Held<'a> {
    asked: At,
    answered: At,
    proxy: &'a str,
    term: u64,
}

/// Times that two must have held a duty at once: one said so in an answer to a question that was put after another had said
/// so under a later term; or both under the same.
fn twice(held: &[Held]) -> u64 {
    let mut latest: Option<&Held> = None;
    let mut twice = 0;
    for one in held {
        let Some(last) = latest else {
            latest = Some(one);
            continue;
        };
        let other = one.proxy != last.proxy;
        twice +=
            u64::from(other && one.term == last.term || one.term < last.term && one.asked > last.answered);
        if one.term >= last.term {
            latest = Some(one);
        }
    }
    twice
}

pub fn fill(records: &[Record], end: At, f: &mut FleetFigures) {
    let mut duties: BTreeMap<&str, Vec<Held>> = BTreeMap::new();
    let mut ends: Vec<(At, &str, bool)> = Vec::new();
    for record in records {
        match &record.kind {
            RecordKind::DutyHeld { proxy, duty, term, took } => {
                let (asked, answered) = (record.t - Micros(*took), record.t);
                duties.entry(duty).or_default().push(Held { asked, answered, proxy, term: *term });
            }
            RecordKind::ProxyDown { proxy, how } if how == "kill" || how == "term" => {
                ends.push((record.t, proxy, how == "kill"));
            }
            _ => {}
        }
    }
    let (mut gaps, mut left): (Vec<Micros>, Vec<Micros>) = Default::default();
    for held in duties.values_mut() {
        held.sort_by_key(|one| one.answered);
        f.duties_twice += twice(held);
        f.duties_changed += held.windows(2).filter(|two| two[0].proxy != two[1].proxy).count() as u64;
        for (at, proxy, killed) in &ends {
            let (before, after) = held.split_at(held.partition_point(|one| one.answered <= *at));
            if before.last().is_some_and(|one| one.proxy == *proxy) {
                let gaps = if *killed { &mut gaps } else { &mut left };
                gaps.push(after.first().map_or(end, |one| one.answered).since(*at));
            }
        }
    }
    f.duties = duties.len() as u64;
    let most = |gaps: Vec<Micros>| gaps.into_iter().max().map_or(0.0, Micros::secs);
    (f.duties_gap_s, f.duties_left_s) = (most(gaps), most(left));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_that_hold_a_duty_at_once_are_found_and_a_change_of_holder_is_not_taken_for_it() {
        let held =
            |asked, answered, proxy, term| Held { asked: At(asked), answered: At(answered), proxy, term };
        assert_eq!(twice(&[held(0, 5, "a", 1), held(2, 7, "b", 2), held(9, 12, "b", 2)]), 0);
        // Its answer was under way while the next one took over.
        assert_eq!(twice(&[held(0, 5, "b", 2), held(4, 7, "a", 1)]), 0);
        assert_eq!(twice(&[held(0, 5, "b", 2), held(6, 7, "a", 1)]), 1);
        assert_eq!(twice(&[held(0, 5, "b", 2), held(1, 7, "a", 2)]), 1);
    }
}
