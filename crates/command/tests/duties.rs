//! Duties between processes of the program while their holders are stopped, killed and terminated: a duty
//! never has two holders, is soon held again, and has no holder without a majority of voters.

mod member;

use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

use member::{
    address, config_text, fleet_address, fleet_view, get_body, send_signal, start_member, wait_until, Member,
    SPARLUG,
};

const DUTIES: [&str; 3] = ["trials", "list", "probes"];

/// The lines of the `[fleet]` section that configure the duties.
fn duty_lines(lease: &str, voters: &[usize]) -> String {
    let voters: Vec<String> = voters.iter().map(|voter| fleet_address(*voter)).collect();
    format!("duties = {DUTIES:?}\nlease = {lease:?}\nvoters = {voters:?}")
}

fn start_fleet_member(n: usize) -> Member {
    start_member(n, &config_text(&format!("p-{n}"), n, "blue", &[0, 1], &duty_lines("1s", &[0, 1, 2])))
}

/// For each duty: whether this member holds it, the term, and the holder that the member reports.
fn reported_duties(member: &Member) -> BTreeMap<String, (bool, u64, String)> {
    let entries = fleet_view(member).and_then(|view| view["duties"].as_array().cloned()).unwrap_or_default();
    let parse_duty = |duty: &serde_json::Value| {
        let string_field = |field: &str| duty[field].as_str().unwrap_or_default().to_string();
        (
            string_field("name"),
            (duty["held_here"] == true, duty["term"].as_u64().unwrap_or(0), string_field("holder")),
        )
    };
    entries.iter().map(parse_duty).collect()
}

/// Holders reported so far; each query checks that no term has two holders and that terms don't go back.
#[derive(Default)]
struct HolderHistory {
    /// For each duty: the highest term, the member that reported to hold it, and when its response had
    /// arrived.
    latest: BTreeMap<String, (u64, usize, Instant)>,
    changes: usize,
}

impl HolderHistory {
    /// Queries the members and returns the holder of each duty that is held.
    fn query(&mut self, all: &[Option<Member>]) -> BTreeMap<String, usize> {
        let mut holders = BTreeMap::new();
        for (index, member) in
            all.iter().enumerate().filter_map(|(index, member)| Some((index, member.as_ref()?)))
        {
            let queried_at = Instant::now();
            for (duty, (held_here, term, _)) in reported_duties(member) {
                if !held_here {
                    continue;
                }
                if let Some((last_term, last_holder, answered_at)) = self.latest.get(&duty).copied() {
                    assert!(
                        term != last_term || index == last_holder,
                        "{duty}, term {term}: held by {last_holder} and {index}"
                    );
                    assert!(
                        term >= last_term || queried_at < answered_at,
                        "{duty}: {index} holds {term} after {last_holder} held {last_term}"
                    );
                    self.changes += usize::from(last_holder != index);
                    if term < last_term {
                        continue;
                    }
                }
                self.latest.insert(duty.clone(), (term, index, Instant::now()));
                holders.insert(duty, index);
            }
        }
        holders
    }
}

#[test]
fn each_duty_has_one_holder_while_holders_are_stopped_killed_and_terminated() {
    let mut all: Vec<Option<Member>> = (0..5).map(|n| Some(start_fleet_member(n))).collect();
    let mut history = HolderHistory::default();
    wait_until("all duties are held", || history.query(&all).len() == DUTIES.len());
    wait_until("all members know the holders", || {
        let holders = history.query(&all);
        let is_holder =
            |duty: &str, name: &str| holders.get(duty).is_some_and(|index| name == format!("p-{index}"));
        all.iter()
            .flatten()
            .all(|member| DUTIES.iter().all(|duty| is_holder(duty, &reported_duties(member)[*duty].2)))
    });
    for (round, signal) in ["-STOP", "-KILL", "-TERM", "-STOP", "-KILL", "-TERM"].into_iter().enumerate() {
        wait_until("all duties are held", || history.query(&all).len() == DUTIES.len());
        let duty = DUTIES[round % DUTIES.len()];
        let holder = history.latest[duty].1;
        let previous_term = history.latest[duty].0;
        send_signal(all[holder].as_ref().unwrap(), signal);
        // The signalled member is left out of the queries: a stopped process doesn't respond.
        let signalled = all[holder].take().unwrap();
        wait_until("another holds it", || history.query(&all).get(duty).is_some_and(|n| *n != holder));
        assert!(history.latest[duty].0 > previous_term, "the new holder has a higher term");
        if signal == "-STOP" {
            send_signal(&signalled, "-CONT");
            // The process was stopped past the end of its lease: from its first response on it holds nothing
            // under its old term.
            wait_until("it responds", || !reported_duties(&signalled).is_empty());
            all[holder] = Some(signalled);
            history.query(&all);
        } else {
            drop(signalled);
            all[holder] = Some(start_fleet_member(holder));
        }
    }
    assert!(history.changes >= 6, "{} changes", history.changes);
}

#[test]
fn without_a_majority_nobody_holds_a_duty_and_proxies_keep_serving() {
    let mut all: Vec<Option<Member>> = (0..5).map(|n| Some(start_fleet_member(n))).collect();
    let mut history = HolderHistory::default();
    wait_until("all duties are held", || history.query(&all).len() == DUTIES.len());
    let frozen: Vec<Member> = [1, 2].into_iter().map(|n| all[n].take().unwrap()).collect();
    frozen.iter().for_each(|voter| send_signal(voter, "-STOP"));
    wait_until("no duty is held", || history.query(&all).is_empty());
    // It stays so for the time of several leases, while requests are served.
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        assert!(history.query(&all).is_empty());
        assert!(get_body(&all[0].as_ref().unwrap().listen, "/ready").is_some());
    }
    frozen.iter().for_each(|voter| send_signal(voter, "-CONT"));
    for (n, voter) in [1, 2].into_iter().zip(frozen) {
        all[n] = Some(voter);
    }
    wait_until("all duties are held again", || history.query(&all).len() == DUTIES.len());
}

#[test]
fn operators_can_pause_a_duty_and_a_member_with_other_voters_gets_none() {
    let all: Vec<Option<Member>> = (0..3).map(|n| Some(start_fleet_member(n))).collect();
    let mut history = HolderHistory::default();
    wait_until("all duties are held", || history.query(&all).len() == DUTIES.len());
    let holder = history.latest["list"].1;
    let run_duty_command = |action: &str| {
        let member = all[holder].as_ref().unwrap();
        let result = Command::new(SPARLUG)
            .args(["fleet", "duty", &member.management, action, "list"])
            .output()
            .unwrap();
        assert!(result.status.success(), "{}", String::from_utf8_lossy(&result.stderr));
    };
    run_duty_command("pause");
    wait_until("another holds it", || history.query(&all).get("list").is_some_and(|n| *n != holder));
    run_duty_command("resume");
    // The member's list of voters differs from the others': a majority of it is no majority of theirs.
    let misconfigured = start_member(4, &config_text("p-4", 4, "blue", &[0, 1], &duty_lines("1s", &[2, 4])));
    wait_until("it is a member", || fleet_view(&misconfigured).is_some_and(|view| view["alive"] == 4));
    let requests_were_rejected = || {
        let metrics = all.iter().flatten().filter_map(|member| get_body(&member.management, "/metrics"));
        metrics.filter(|text| !text.contains("duties_other_voters:0|c")).count() > 0
    };
    wait_until(
        "its lease requests are counted as coming from a member with other voters",
        requests_were_rejected,
    );
    assert!(reported_duties(&misconfigured).values().all(|(held_here, _, _)| !held_here));
    let status = Command::new(SPARLUG)
        .args(["fleet", "status"])
        .args(all.iter().flatten().map(|member| &member.management))
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(printed.contains("duty list") && !printed.contains("HELD BY TWO"), "{printed}");
    let unknown_duty =
        Command::new(SPARLUG).args(["fleet", "duty", &address(0, 7200), "pause", "none"]).output().unwrap();
    assert_eq!(unknown_duty.status.code(), Some(1));
}
