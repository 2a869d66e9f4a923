//! Processes that hold duties, one each, while their holders are frozen, killed and told to go: never two, held again soon,
//! and nobody without a majority.

mod member;

use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

use member::{address, call, fleet, signal, start, text, until, view, Member, SPARLUG};

const DUTIES: [&str; 3] = ["trials", "list", "probes"];

fn more(lease: &str, voters: &[usize]) -> String {
    let voters: Vec<String> = voters.iter().map(|voter| fleet(*voter)).collect();
    format!("duties = {DUTIES:?}\nlease = {lease:?}\nvoters = {voters:?}")
}

fn begin(n: usize) -> Member {
    start(n, &text(&format!("p-{n}"), n, "blue", &[0, 1], &more("1s", &[0, 1, 2])))
}

/// Of each duty: whether it is held here, under which term, and by whom it is said to be.
fn duties(member: &Member) -> BTreeMap<String, (bool, u64, String)> {
    let shown = view(member).and_then(|view| view["duties"].as_array().cloned()).unwrap_or_default();
    let one = |duty: &serde_json::Value| {
        let text = |field: &str| duty[field].as_str().unwrap_or_default().to_string();
        (text("name"), (duty["held_here"] == true, duty["term"].as_u64().unwrap_or(0), text("holder")))
    };
    shown.iter().map(one).collect()
}

/// All that was said to be held: what must never be is looked for in it.
#[derive(Default)]
struct Said {
    /// By duty: the highest term, who said so, and when its answer had come.
    latest: BTreeMap<String, (u64, usize, Instant)>,
    changes: usize,
}

impl Said {
    /// Asks some members; who holds each duty, as far as anybody does.
    fn ask(&mut self, all: &[Option<Member>]) -> BTreeMap<String, usize> {
        let mut holders = BTreeMap::new();
        for (n, member) in all.iter().enumerate().filter_map(|(n, member)| Some((n, member.as_ref()?))) {
            let asked = Instant::now();
            for (duty, (here, term, _)) in duties(member) {
                if !here {
                    continue;
                }
                if let Some((last, by, answered)) = self.latest.get(&duty).copied() {
                    assert!(term != last || n == by, "{duty}, term {term}: held by {by} and {n}");
                    assert!(
                        term >= last || asked < answered,
                        "{duty}: {n} holds {term} after {by} held {last}"
                    );
                    self.changes += usize::from(by != n);
                    if term < last {
                        continue;
                    }
                }
                self.latest.insert(duty.clone(), (term, n, Instant::now()));
                holders.insert(duty, n);
            }
        }
        holders
    }
}

#[test]
fn each_duty_is_held_by_one_whoever_is_frozen_killed_or_told_to_go() {
    let mut all: Vec<Option<Member>> = (0..5).map(|n| Some(begin(n))).collect();
    let mut said = Said::default();
    until("all are held", || said.ask(&all).len() == DUTIES.len());
    until("all know by whom", || {
        let holders = said.ask(&all);
        let right = |duty: &str, by: &str| holders.get(duty).is_some_and(|n| by == format!("p-{n}"));
        all.iter().flatten().all(|member| DUTIES.iter().all(|duty| right(duty, &duties(member)[*duty].2)))
    });
    for (round, how) in ["-STOP", "-KILL", "-TERM", "-STOP", "-KILL", "-TERM"].into_iter().enumerate() {
        until("all are held", || said.ask(&all).len() == DUTIES.len());
        let duty = DUTIES[round % DUTIES.len()];
        let holder = said.latest[duty].1;
        let before = said.latest[duty].0;
        signal(all[holder].as_ref().unwrap(), how);
        // One that is stopped answers nobody.
        let gone = all[holder].take().unwrap();
        until("another holds it", || said.ask(&all).get(duty).is_some_and(|n| *n != holder));
        assert!(said.latest[duty].0 > before, "its term grows");
        if how == "-STOP" {
            signal(&gone, "-CONT");
            // It was frozen across its lease's end: from its first answer on it holds nothing under its old term.
            until("it answers", || !duties(&gone).is_empty());
            all[holder] = Some(gone);
            said.ask(&all);
        } else {
            drop(gone);
            all[holder] = Some(begin(holder));
        }
    }
    assert!(said.changes >= 6, "{} changes", said.changes);
}

#[test]
fn without_a_majority_nobody_holds_a_duty_and_service_goes_on() {
    let mut all: Vec<Option<Member>> = (0..5).map(|n| Some(begin(n))).collect();
    let mut said = Said::default();
    until("all are held", || said.ask(&all).len() == DUTIES.len());
    let frozen: Vec<Member> = [1, 2].into_iter().map(|n| all[n].take().unwrap()).collect();
    frozen.iter().for_each(|voter| signal(voter, "-STOP"));
    until("nobody holds any", || said.ask(&all).is_empty());
    // And it stays so for some leases; who is asked to serve does.
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        assert!(said.ask(&all).is_empty());
        assert!(call(&all[0].as_ref().unwrap().listen, "/ready").is_some());
    }
    frozen.iter().for_each(|voter| signal(voter, "-CONT"));
    for (n, voter) in [1, 2].into_iter().zip(frozen) {
        all[n] = Some(voter);
    }
    until("all are held again", || said.ask(&all).len() == DUTIES.len());
}

#[test]
fn staff_pause_a_duty_and_who_has_other_voters_gets_none() {
    let all: Vec<Option<Member>> = (0..3).map(|n| Some(begin(n))).collect();
    let mut said = Said::default();
    until("all are held", || said.ask(&all).len() == DUTIES.len());
    let holder = said.latest["list"].1;
    let put = |path: &str| {
        let member = all[holder].as_ref().unwrap();
        let done =
            Command::new(SPARLUG).args(["fleet", "duty", &member.management, path, "list"]).output().unwrap();
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    };
    put("pause");
    until("another holds it", || said.ask(&all).get("list").is_some_and(|n| *n != holder));
    put("resume");
    // Voters that were never agreed on: a majority of one's own list is none of theirs.
    let other = start(4, &text("p-4", 4, "blue", &[0, 1], &more("1s", &[2, 4])));
    until("it is a member", || view(&other).is_some_and(|view| view["alive"] == 4));
    let refused = || {
        let figures = all.iter().flatten().filter_map(|member| call(&member.management, "/metrics"));
        figures.filter(|text| !text.contains("duties_other_voters:0|c")).count() > 0
    };
    until("its questions are counted", refused);
    assert!(duties(&other).values().all(|(here, _, _)| !here));
    let status = Command::new(SPARLUG)
        .args(["fleet", "status"])
        .args(all.iter().flatten().map(|member| &member.management))
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(printed.contains("duty list") && !printed.contains("HELD BY TWO"), "{printed}");
    let missing =
        Command::new(SPARLUG).args(["fleet", "duty", &address(0, 7200), "pause", "none"]).output().unwrap();
    assert_eq!(missing.status.code(), Some(1));
}
