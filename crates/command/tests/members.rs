//! Fleet membership between processes of the program: members discover each other, detect who has died or
//! left, stay one member over an upgrade, and report to operators when their views differ.

mod member;

use std::net::UdpSocket;
use std::process::Command;
use std::time::{Duration, Instant};

use member::{
    address, all_see_members, config_text, fleet_address, fleet_view, get_body, members_in_state,
    send_signal, start_member, start_members, wait_until, Member, PRESENT_STATES, SPARLUG,
};
use serde_json::Value;

#[test]
fn members_discover_each_other_and_tell_dead_left_and_restarted_members_apart() {
    let mut all = start_members(5);
    let names = ["p-0", "p-1", "p-2", "p-3", "p-4"];
    wait_until("all members see each other", || all_see_members(&all.iter().collect::<Vec<_>>(), &names));
    let member_count = |member: &Member| {
        fleet_view(member).map(|view| (view["counted"].as_u64(), view["majority"].as_bool()))
    };
    assert_eq!(member_count(&all[3]), Some((Some(5), Some(true))));
    let status = |members: &[Member]| {
        let addresses: Vec<&String> = members.iter().map(|member| &member.management).collect();
        let result = Command::new(SPARLUG).args(["fleet", "status"]).args(addresses).output().unwrap();
        (result.status.code(), String::from_utf8_lossy(&result.stdout).into_owned())
    };
    let (code, output) = status(&all);
    assert!(code == Some(0) && output.contains("p-4") && !output.contains("disagree"), "{output}");
    // The others tell a killed member from one that leaves on SIGTERM.
    send_signal(&all[4], "-KILL");
    send_signal(&all[3], "-TERM");
    wait_until("the killed member is considered dead", || {
        all[..3].iter().all(|member| members_in_state(member, &["dead"]) == ["p-4"])
    });
    wait_until("the member that left is seen as left", || {
        all[..3].iter().all(|member| members_in_state(member, &["left"]) == ["p-3"])
    });
    assert!(all[..3].iter().all(|member| members_in_state(member, &PRESENT_STATES) == names[..3]));
    // A killed member may only be unreachable, so its share of the tier stays reserved; one that left has
    // given its share back.
    assert!(member_count(&all[0]).is_some_and(|(n, majority)| n >= Some(3) && majority == Some(true)));
    let metrics = get_body(&all[0].management, "/metrics").unwrap();
    assert!(
        metrics.contains("svc.fleet.alive:3|g") && metrics.contains("svc.fleet.expected:4|g"),
        "{metrics}"
    );
    // A restart under the same name and address is a new incarnation, which isn't taken for the dead one.
    all.truncate(3);
    all.push(start_member(4, &config_text("p-4", 4, "blue", &[0], "")));
    wait_until("the restarted member is seen", || {
        all_see_members(&all.iter().collect::<Vec<_>>(), &["p-0", "p-1", "p-2", "p-4"])
    });
}

#[test]
fn a_resumed_member_declares_nobody_dead_and_others_serve_while_it_is_stopped() {
    let all = start_members(4);
    let names = ["p-0", "p-1", "p-2", "p-3"];
    wait_until("all members see each other", || all_see_members(&all.iter().collect::<Vec<_>>(), &names));
    send_signal(&all[2], "-STOP");
    let others = [&all[0], &all[1], &all[3]];
    wait_until("the stopped member is considered dead", || {
        others.iter().all(|member| members_in_state(member, &["dead"]) == ["p-2"])
    });
    // The other members respond at once; nothing listens at the one backend, so the status is 503 or 502.
    assert!(get_body(&all[0].listen, "/ready").is_some());
    send_signal(&all[2], "-CONT");
    wait_until("all members see each other again", || {
        assert!(members_in_state(&all[2], &["dead"]).is_empty());
        all_see_members(&all.iter().collect::<Vec<_>>(), &names)
    });
}

#[test]
fn the_younger_of_two_members_with_one_name_excludes_itself() {
    let mut all = start_members(3);
    let names = ["p-0", "p-1", "p-2"];
    wait_until("all members see each other", || all_see_members(&all.iter().collect::<Vec<_>>(), &names));
    let duplicate = start_member(7, &config_text("p-2", 7, "blue", &[0, 1], ""));
    wait_until("it excludes itself", || fleet_view(&duplicate).is_some_and(|view| view["kept_out"] == true));
    assert!(all_see_members(&all.iter().collect::<Vec<_>>(), &names));
    // The duplicate serves requests all the same, and joins the fleet once the older member is gone.
    assert!(get_body(&duplicate.listen, "/ready").is_some());
    drop(all.pop());
    wait_until("it joins the fleet", || fleet_view(&duplicate).is_some_and(|view| view["kept_out"] == false));
    wait_until("all members see it", || all_see_members(&[&all[0], &all[1], &duplicate], &names));
}

#[test]
fn a_member_that_advertises_the_address_of_another_excludes_itself() {
    let all = start_members(3);
    let names = ["p-0", "p-1", "p-2"];
    wait_until("all members see each other", || all_see_members(&all.iter().collect::<Vec<_>>(), &names));
    // A process with a name of its own advertises the address of p-2, as from a copied line of configuration.
    let advertise_line = format!("advertise = {:?}", fleet_address(2));
    let wrong_address = start_member(7, &config_text("p-7", 7, "blue", &[0, 1], &advertise_line));
    let excluded_is = |expected: bool| move |view: Value| view["kept_out"] == expected;
    wait_until("it excludes itself", || fleet_view(&wrong_address).is_some_and(excluded_is(true)));
    wait_until("the other three see each other", || all_see_members(&all.iter().collect::<Vec<_>>(), &names));
    // While p-2 is stopped no process answers at the address; once resumed, p-2 is a member as before.
    send_signal(&all[2], "-STOP");
    wait_until("no process is reachable at the address", || {
        fleet_view(&wrong_address).is_some_and(excluded_is(false))
    });
    send_signal(&all[2], "-CONT");
    wait_until("it excludes itself again", || fleet_view(&wrong_address).is_some_and(excluded_is(true)));
    wait_until("the other three see each other again", || {
        all_see_members(&all.iter().collect::<Vec<_>>(), &names)
    });
    assert!(fleet_view(&all[2]).is_some_and(excluded_is(false)));
}

#[test]
fn a_proxy_stays_one_member_over_an_upgrade() {
    let mut all = start_members(3);
    let names = ["p-0", "p-1", "p-2"];
    wait_until("all members see each other", || all_see_members(&all.iter().collect::<Vec<_>>(), &names));
    let incarnation = |member: &Member| {
        let entries = fleet_view(member)?["members"].as_array()?.clone();
        entries.iter().find(|entry| entry["name"] == "p-1")?["incarnation"].as_u64()
    };
    let before = incarnation(&all[0]).unwrap();
    // The next process starts beside the old one with the same name and addresses except the management
    // address.
    let next_config =
        config_text("p-1", 1, "blue", &[0, 2], "").replace(&address(1, 7200), &address(1, 7201));
    let mut next = start_member(1, &next_config);
    next.management = address(1, 7201);
    wait_until("the next process is the member", || incarnation(&all[0]).is_some_and(|now| now > before));
    assert!(get_body(&all[1].management, "/fleet").is_some_and(|output| output.contains("the next process")));
    send_signal(&all[1], "-TERM");
    wait_until("the old process ends", || matches!(all[1].child.try_wait(), Ok(Some(_))));
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        for member in [&all[0], &all[2], &next] {
            assert!(
                members_in_state(member, &["dead", "left"]).is_empty(),
                "the end of the old process is seen as a member's end"
            );
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(all_see_members(&[&all[0], &all[2], &next], &names));
}

#[test]
fn fleets_that_exchange_datagrams_stay_separate_and_survive_a_flood() {
    let blue = start_members(2);
    let red: Vec<Member> =
        (2..4).map(|n| start_member(n, &config_text(&format!("p-{n}"), n, "red", &[0, 2], ""))).collect();
    wait_until("the members of blue see each other", || {
        all_see_members(&[&blue[0], &blue[1]], &["p-0", "p-1"])
    });
    wait_until("the members of red see each other", || all_see_members(&[&red[0], &red[1]], &["p-2", "p-3"]));
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..20_000u32 {
        let bytes: Vec<u8> = (0..n % 1300).map(|position| (position * 31 + n) as u8).collect();
        let _ = socket.send_to(&bytes, fleet_address(0));
    }
    let counter = |name: &str| {
        let metrics = get_body(&blue[0].management, "/metrics").unwrap_or_default();
        let line = metrics
            .lines()
            .find_map(|line| line.strip_prefix(&format!("svc.fleet.{name}:"))?.strip_suffix("|c"));
        line.and_then(|count| count.parse::<u64>().ok()).unwrap_or(0)
    };
    wait_until("foreign datagrams of both kinds are counted", || {
        counter("foreign") > 0 && counter("other_fleet") > 0
    });
    assert!(all_see_members(&[&blue[0], &blue[1]], &["p-0", "p-1"]));
}

#[test]
fn each_error_of_the_fleet_configuration_is_reported_with_its_line() {
    let file = std::env::temp_dir().join(format!("sparlug-fleet-check-{}.toml", std::process::id()));
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let result = Command::new(SPARLUG).arg("check").arg(&file).output().unwrap();
        (result.status.code(), String::from_utf8_lossy(&result.stderr).into_owned())
    };
    let good = config_text("p-0", 0, "blue", &[1], "expected = 24\nadvertise = \"127.0.0.1:7200\"");
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
            good.replace(&format!("[{:?}]", fleet_address(1)), "[\"here\"]"),
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
    for (config, expected_error) in cases {
        let (code, output) = check(&config);
        assert!(code == Some(2) && output.contains(expected_error), "{output:?} has no {expected_error:?}");
    }
    std::fs::remove_file(&file).unwrap();
}
