//! Processes of the program as members of one fleet, with faults between them: they find each other, know who has gone,
//! stay one member over an upgrade, and tell staff when their views differ.

mod member;

use std::net::UdpSocket;
use std::process::Command;
use std::time::{Duration, Instant};

use member::{
    address, all_see, call, fleet, members, named, signal, start, text, until, view, Member, SPARLUG, THERE,
};
use serde_json::Value;

#[test]
fn they_find_each_other_know_who_was_killed_who_left_and_who_came_back() {
    let mut all = members(5);
    let names = ["p-0", "p-1", "p-2", "p-3", "p-4"];
    until("all see all", || all_see(&all.iter().collect::<Vec<_>>(), &names));
    let counted =
        |member: &Member| view(member).map(|view| (view["counted"].as_u64(), view["majority"].as_bool()));
    assert_eq!(counted(&all[3]), Some((Some(5), Some(true))));
    let status = |members: &[Member]| {
        let addresses: Vec<&String> = members.iter().map(|member| &member.management).collect();
        let done = Command::new(SPARLUG).args(["fleet", "status"]).args(addresses).output().unwrap();
        (done.status.code(), String::from_utf8_lossy(&done.stdout).into_owned())
    };
    let (code, said) = status(&all);
    assert!(code == Some(0) && said.contains("p-4") && !said.contains("disagree"), "{said}");
    // One is killed and one is told to go: the others tell the two apart.
    signal(&all[4], "-KILL");
    signal(&all[3], "-TERM");
    until("the dead is held dead", || all[..3].iter().all(|member| named(member, &["dead"]) == ["p-4"]));
    until("the one that left has", || all[..3].iter().all(|member| named(member, &["left"]) == ["p-3"]));
    assert!(all[..3].iter().all(|member| named(member, &THERE) == names[..3]));
    // Who was killed may be cut off: its part is kept for it; who left has given it back.
    assert!(counted(&all[0]).is_some_and(|(counted, majority)| counted >= Some(3) && majority == Some(true)));
    let figures = call(&all[0].management, "/metrics").unwrap();
    assert!(
        figures.contains("svc.fleet.alive:3|g") && figures.contains("svc.fleet.expected:4|g"),
        "{figures}"
    );
    // Back under the same name and address: a new life, that nobody holds dead for the old one.
    all.truncate(3);
    all.push(start(4, &text("p-4", 4, "blue", &[0], "")));
    until("it is back", || all_see(&all.iter().collect::<Vec<_>>(), &["p-0", "p-1", "p-2", "p-4"]));
}

#[test]
fn one_that_is_frozen_holds_nobody_dead_when_it_wakes_and_service_does_not_wait_for_it() {
    let all = members(4);
    let names = ["p-0", "p-1", "p-2", "p-3"];
    until("all see all", || all_see(&all.iter().collect::<Vec<_>>(), &names));
    signal(&all[2], "-STOP");
    let others = [&all[0], &all[1], &all[3]];
    until("the frozen is held dead", || others.iter().all(|member| named(member, &["dead"]) == ["p-2"]));
    // Their calls are answered as ever: the one backend is nobody's, so that is 503 or 502, at once.
    assert!(call(&all[0].listen, "/ready").is_some());
    signal(&all[2], "-CONT");
    until("all see all again", || {
        assert!(named(&all[2], &["dead"]).is_empty());
        all_see(&all.iter().collect::<Vec<_>>(), &names)
    });
}

#[test]
fn of_two_that_claim_one_name_the_younger_keeps_out_and_says_so() {
    let mut all = members(3);
    let names = ["p-0", "p-1", "p-2"];
    until("all see all", || all_see(&all.iter().collect::<Vec<_>>(), &names));
    let double = start(7, &text("p-2", 7, "blue", &[0, 1], ""));
    until("it keeps out", || view(&double).is_some_and(|view| view["kept_out"] == true));
    assert!(all_see(&all.iter().collect::<Vec<_>>(), &names));
    // It serves all the same, and takes part once the older one is gone.
    assert!(call(&double.listen, "/ready").is_some());
    drop(all.pop());
    until("it takes part", || view(&double).is_some_and(|view| view["kept_out"] == false));
    until("all see it", || all_see(&[&all[0], &all[1], &double], &names));
}

#[test]
fn of_two_that_tell_one_address_the_one_that_is_not_reached_there_keeps_out() {
    let all = members(3);
    let names = ["p-0", "p-1", "p-2"];
    until("all see all", || all_see(&all.iter().collect::<Vec<_>>(), &names));
    // A copied line: another process, under a name of its own, tells others that it is where p-2 is.
    let more = format!("advertise = {:?}", fleet(2));
    let wrong = start(7, &text("p-7", 7, "blue", &[0, 1], &more));
    let out = |wanted: bool| move |view: Value| view["kept_out"] == wanted;
    until("it keeps out", || view(&wrong).is_some_and(out(true)));
    until("the others are three", || all_see(&all.iter().collect::<Vec<_>>(), &names));
    // While the right one is frozen nobody answers there; when it wakes it has lost nothing by the wrong one.
    signal(&all[2], "-STOP");
    until("nobody is reached there", || view(&wrong).is_some_and(out(false)));
    signal(&all[2], "-CONT");
    until("it keeps out again", || view(&wrong).is_some_and(out(true)));
    until("the others are three again", || all_see(&all.iter().collect::<Vec<_>>(), &names));
    assert!(view(&all[2]).is_some_and(out(false)));
}

#[test]
fn over_an_upgrade_it_stays_one_member() {
    let mut all = members(3);
    let names = ["p-0", "p-1", "p-2"];
    until("all see all", || all_see(&all.iter().collect::<Vec<_>>(), &names));
    let incarnation = |member: &Member| {
        let all = view(member)?["members"].as_array()?.clone();
        all.iter().find(|one| one["name"] == "p-1")?["incarnation"].as_u64()
    };
    let before = incarnation(&all[0]).unwrap();
    // The next process comes beside the old one: same name, same addresses but the operators'.
    let next = text("p-1", 1, "blue", &[0, 2], "").replace(&address(1, 7200), &address(1, 7201));
    let mut next = start(1, &next);
    next.management = address(1, 7201);
    until("the next one is the member", || incarnation(&all[0]).is_some_and(|now| now > before));
    assert!(call(&all[1].management, "/fleet").is_some_and(|said| said.contains("the next process")));
    signal(&all[1], "-TERM");
    until("the old one ends", || matches!(all[1].child.try_wait(), Ok(Some(_))));
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        for member in [&all[0], &all[2], &next] {
            assert!(named(member, &["dead", "left"]).is_empty(), "its end is nobody's end");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(all_see(&[&all[0], &all[2], &next], &names));
}

#[test]
fn two_fleets_that_hear_each_other_stay_two_and_floods_change_nothing() {
    let blue = members(2);
    let red: Vec<Member> =
        (2..4).map(|n| start(n, &text(&format!("p-{n}"), n, "red", &[0, 2], ""))).collect();
    until("blue sees blue", || all_see(&[&blue[0], &blue[1]], &["p-0", "p-1"]));
    until("red sees red", || all_see(&[&red[0], &red[1]], &["p-2", "p-3"]));
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..20_000u32 {
        let bytes: Vec<u8> = (0..n % 1300).map(|at| (at * 31 + n) as u8).collect();
        let _ = socket.send_to(&bytes, fleet(0));
    }
    let counted = |name: &str| {
        let figures = call(&blue[0].management, "/metrics").unwrap_or_default();
        let line = figures
            .lines()
            .find_map(|line| line.strip_prefix(&format!("svc.fleet.{name}:"))?.strip_suffix("|c"));
        line.and_then(|count| count.parse::<u64>().ok()).unwrap_or(0)
    };
    until("both are counted", || counted("foreign") > 0 && counted("other_fleet") > 0);
    assert!(all_see(&[&blue[0], &blue[1]], &["p-0", "p-1"]));
}

#[test]
fn each_fault_of_the_configuration_is_told_with_its_line() {
    let file = std::env::temp_dir().join(format!("sparlug-fleet-check-{}.toml", std::process::id()));
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let done = Command::new(SPARLUG).arg("check").arg(&file).output().unwrap();
        (done.status.code(), String::from_utf8_lossy(&done.stderr).into_owned())
    };
    let good = text("p-0", 0, "blue", &[1], "expected = 24\nadvertise = \"127.0.0.1:7200\"");
    assert_eq!(check(&good), (Some(0), String::new()));
    let cases = [
        (good.replace("name = \"p-0\"\n", ""), "8: fleet: wanted a name of the proxy's own"),
        (
            good.replace("expected = 24", "expected = 0"),
            "13: fleet.expected: 0: wanted a whole number from 1 to 4096",
        ),
        (
            good.replace("\"127.0.0.1:7200\"", "\"0.0.0.0:7200\""),
            "14: fleet.advertise: \"0.0.0.0:7200\": wanted an address",
        ),
        (
            good.replace(&format!("[{:?}]", fleet(1)), "[\"here\"]"),
            "12: fleet.seeds: \"here\": wanted an address and a port",
        ),
        (good.replace("[fleet]\nname = \"blue\"", "[fleet]"), "9: fleet.name: missing"),
        (
            good.replace("[tariff", "[tier]\npeers = [\"127.0.0.1:1\"]\n[tariff"),
            "tier.peers: the members of a [fleet] find each other",
        ),
        (good.replace("expected", "expcted"), "unknown field `expcted`"),
        (
            good.replace("expected = 24", "duties = [\"a\", \"a\"]"),
            "13: fleet.duties: \"a\": wanted each once",
        ),
        (
            good.replace("expected = 24", "duties = [\"a\"]\nlease = \"10ms\""),
            "14: fleet.lease: \"10ms\": wanted a span from 200ms to 60s",
        ),
        (
            good.replace("expected = 24", "duties = [\"a\"]\nvoters = [\"b\"]"),
            "14: fleet.voters: \"b\": wanted an address and a port",
        ),
        (
            good.replace("expected = 24", "voters_before = [\"127.0.0.1:1\"]"),
            "13: fleet.voters_before: wanted voters beside it",
        ),
    ];
    for (text, wanted) in cases {
        let (code, said) = check(&text);
        assert!(code == Some(2) && said.contains(wanted), "{said:?} has no {wanted:?}");
    }
    std::fs::remove_file(&file).unwrap();
}
