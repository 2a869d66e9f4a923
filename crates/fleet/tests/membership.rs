//! One member against constructed messages: contradicting claims, duplicate names and addresses, unknown
//! senders and forgeries.

mod model;

use model::{address, Simulation, MS, S};
use sparlug::time::{Span, Time};
use sparlug_fleet::member_count::{share_divisor, MemberCount};
use sparlug_fleet::membership::{Action, Event};
use sparlug_fleet::wire::{decode, encode, Body, MemberRecord, MemberState, Message};

fn record(n: usize, state: MemberState, incarnation: u64) -> MemberRecord {
    let name = format!("p-{n:04}");
    MemberRecord {
        name,
        address: address(n),
        zone: "a".into(),
        state,
        incarnation,
        generation: 7 + n as u64,
        accuser: 99,
    }
}

fn message(fleet: &str, sender: MemberRecord, body: Body, updates: Vec<MemberRecord>) -> Vec<u8> {
    encode(&Message { fleet: fleet.into(), sender, body, updates })
}

#[test]
fn the_higher_incarnation_wins_and_then_the_more_severe_state() {
    let mut sim = Simulation::new(1, None);
    sim.add();
    sim.run(S);
    let receive = |sim: &mut Simulation, update: MemberRecord| {
        let bytes = message("blue", record(5, MemberState::Alive, 3), Body::Gossip, vec![update]);
        sim.handle(0, Event::DatagramReceived(&bytes, address(90)));
        sim.state_in_view(0, 6)
    };
    assert_eq!(receive(&mut sim, record(6, MemberState::Dead, 4)), None); // unknown and dead: ignored
    assert_eq!(receive(&mut sim, record(6, MemberState::Alive, 4)), Some(MemberState::Alive));
    assert_eq!(receive(&mut sim, record(6, MemberState::Suspect, 3)), Some(MemberState::Alive));
    assert_eq!(receive(&mut sim, record(6, MemberState::Suspect, 4)), Some(MemberState::Suspect));
    assert_eq!(receive(&mut sim, record(6, MemberState::Alive, 4)), Some(MemberState::Suspect));
    assert_eq!(receive(&mut sim, record(6, MemberState::Alive, 5)), Some(MemberState::Alive));
    // A single claim does not declare it dead: it gets time to refute.
    assert_eq!(receive(&mut sim, record(6, MemberState::Dead, 5)), Some(MemberState::Suspect));
    assert_eq!(receive(&mut sim, record(6, MemberState::Dead, 5)), Some(MemberState::Dead));
    assert_eq!(receive(&mut sim, record(6, MemberState::Suspect, 5)), Some(MemberState::Dead));
    assert_eq!(receive(&mut sim, record(6, MemberState::Left, 5)), Some(MemberState::Left));
    assert_eq!(receive(&mut sim, record(6, MemberState::Alive, 6)), Some(MemberState::Alive));
}

#[test]
fn invalid_messages_and_other_fleets_change_nothing_and_are_counted() {
    let mut sim = Simulation::new(1, None);
    sim.add();
    sim.run(S);
    let valid = message("blue", record(5, MemberState::Alive, 3), Body::Gossip, vec![]);
    sim.handle(
        0,
        Event::DatagramReceived(
            &message(
                "red",
                record(5, MemberState::Alive, 3),
                Body::Gossip,
                vec![record(6, MemberState::Alive, 1)],
            ),
            address(90),
        ),
    );
    sim.handle(0, Event::DatagramReceived(&valid[..valid.len() - 1], address(90)));
    sim.handle(0, Event::DatagramReceived(b"noise", address(90)));
    assert_eq!(sim.present_in_view(0).len(), 1);
    let counts = sim.nodes[0].membership.counts;
    assert_eq!((counts.other_fleet, counts.corrupted, counts.foreign, counts.received), (1, 1, 1, 0));
    // A ping for another member is not answered, and an unknown sender's request for an indirect ping is
    // ignored.
    let sent = sim.nodes[0].sent;
    let ping = Body::Ping { seq: 1, to: "p-0009".into() };
    sim.handle(
        0,
        Event::DatagramReceived(
            &message("blue", record(5, MemberState::Alive, 0), ping, vec![]),
            address(90),
        ),
    );
    let ping_req = Body::PingReq { seq: 1, to: "p-0007".into(), address: address(7) };
    sim.handle(
        0,
        Event::DatagramReceived(
            &message("blue", record(5, MemberState::Alive, 0), ping_req, vec![]),
            address(90),
        ),
    );
    assert_eq!((sim.nodes[0].membership.counts.misdirected, sim.nodes[0].sent), (1, sent));
}

#[test]
fn peer_messages_are_accepted_only_from_present_members() {
    let mut sim = Simulation::new(1, None);
    sim.add();
    sim.run(S);
    let now = Time::from_ms(2e12);
    let mut accepted = |incarnation| {
        let mut actions = Vec::new();
        let bytes = message(
            "blue",
            record(5, MemberState::Alive, incarnation),
            Body::PeerMessage { bytes: vec![1] },
            vec![],
        );
        sim.nodes[0].membership.handle(now, Event::DatagramReceived(&bytes, address(90)), &mut actions);
        actions
            .iter()
            .filter(|action| matches!(action, sparlug_fleet::membership::Action::PeerMessage { .. }))
            .count()
    };
    assert_eq!((accepted(0), accepted(3)), (0, 1));
}

#[test]
fn of_two_with_one_name_the_younger_is_excluded_until_the_older_terminates() {
    let mut sim = model::start_fleet(3, 4, None);
    sim.run(8 * S);
    // A second process named p-0003 at another address.
    let namesake = sim.add_namesake(3, 50);
    sim.run(6 * S);
    assert!(sim.nodes[namesake].membership.view(Time::ORIGIN).excluded);
    assert!(
        sim.nodes[namesake].log.iter().any(|line| line.contains("takes no part")),
        "{:?}",
        sim.nodes[namesake].log
    );
    assert!((0..4)
        .all(|n| sim.present_in_view(n).len() == 4 && sim.state_in_view(n, 3) == Some(MemberState::Alive)));
    sim.kill(3);
    sim.run(40 * S);
    assert!(!sim.nodes[namesake].membership.view(Time::ORIGIN).excluded);
    assert!((0..3).all(|n| sim.state_in_view(n, 3) == Some(MemberState::Alive)));
}

#[test]
fn of_two_that_advertise_one_address_the_one_not_reached_there_is_excluded_whichever_is_older() {
    for ahead in [2e6, -2e6] {
        let mut sim = model::start_fleet(3, 4, None);
        sim.run(8 * S);
        let misconfigured = sim.add_with_address_of(3, 50, ahead);
        sim.run(6 * S);
        let log = sim.nodes[misconfigured].log.join("; ");
        assert!(sim.nodes[misconfigured].membership.view(Time::ORIGIN).excluded, "{ahead}: {log}");
        assert!(log.contains("p-0003 is reached at 127.1.0.4:7100"), "{log}");
        let reported = |line: &&String| line.contains("p-0050 advertises 127.1.0.4:7100");
        assert_eq!(sim.nodes[3].log.iter().filter(reported).count(), 1, "{:?}", sim.nodes[3].log);
        sim.run(20 * S);
        assert!(sim.nodes[misconfigured].membership.view(Time::ORIGIN).excluded);
        assert!((0..4).all(|n| sim.present_in_view(n).len() == 4), "{:?}", sim.present_in_view(0));
        // Once no process answers at that address, the misconfigured process takes part again.
        sim.kill(3);
        sim.run(40 * S);
        assert!(!sim.nodes[misconfigured].membership.view(Time::ORIGIN).excluded);
    }
}

#[test]
fn of_two_that_are_both_reached_at_one_address_the_younger_is_excluded() {
    for (ahead, excluded) in [(-1, true), (1, false)] {
        let mut sim = model::start_fleet(3, 1, None);
        sim.run(S);
        let own = sim.nodes[0].address;
        let generation = sim.nodes[0].membership.view(Time::ORIGIN).members[0].incarnation << 20;
        let other = MemberRecord {
            address: own,
            generation: generation.saturating_add_signed(ahead << 40),
            ..record(9, MemberState::Alive, 3)
        };
        let (now, mut sent) = (Time::from_ms(1e13), Vec::new());
        sim.nodes[0].membership.handle(now, Event::TimerExpired, &mut Vec::new());
        let gossip = message("blue", other.clone(), Body::Gossip, vec![]);
        sim.nodes[0].membership.handle(now, Event::DatagramReceived(&gossip, own), &mut sent);
        let pings: Vec<(u32, String, Vec<u8>)> = sent
            .iter()
            .filter_map(|action| match action {
                Action::Send { to, bytes } if *to == own => match decode(bytes).unwrap().body {
                    Body::Ping { seq, to } => Some((seq, to, bytes.clone())),
                    _ => None,
                },
                _ => None,
            })
            .collect();
        assert_eq!(pings.iter().map(|(_, to, _)| to.as_str()).collect::<Vec<_>>(), ["p-0009", "p-0000"]);
        let seq = pings[0].0;
        sim.nodes[0].membership.handle(now, Event::DatagramReceived(&pings[1].2, own), &mut Vec::new());
        let ack = message("blue", other.clone(), Body::Ack { seq }, vec![]);
        sim.nodes[0].membership.handle(now, Event::DatagramReceived(&ack, own), &mut Vec::new());
        for step in 0..40 {
            let later = now + Span::from_millis(100 * step);
            sim.nodes[0].membership.handle(later, Event::TimerExpired, &mut Vec::new());
        }
        assert_eq!(sim.nodes[0].membership.view(now).excluded, excluded, "{ahead}");
    }
}

#[test]
fn the_member_count_rises_at_once_and_falls_slowly() {
    let at = |seconds: f64| Time::from_ms(1e12 + seconds * 1000.0);
    let mut member_count = MemberCount::new(4, at(0.0));
    assert!(member_count.update(12.0, at(0.1)) && member_count.rounded() == 12);
    member_count.update(6.0, at(1.1));
    assert_eq!(member_count.rounded(), 12);
    member_count.update(6.0, at(20.0));
    assert!((8..=9).contains(&member_count.rounded()), "{}", member_count.rounded());
    member_count.update(6.0, at(200.0));
    assert_eq!(member_count.rounded(), 6);
}

#[test]
fn the_shares_of_any_three_partitions_add_up_to_at_most_1_25() {
    for total in 1..=40usize {
        for one in 0..=total {
            for two in 0..=total - one {
                let sides = [one, two, total - one - two];
                let sum: f64 = sides
                    .iter()
                    .filter(|side| **side > 0)
                    .map(|side| *side as f64 / share_divisor(*side, total))
                    .sum();
                assert!(sum <= 1.25 + 1e-9, "{sides:?}: {sum}");
            }
        }
        assert_eq!(share_divisor(total, total), total as f64);
    }
}

#[test]
fn a_flood_of_claims_uses_bounded_memory_and_log_lines() {
    let mut sim = Simulation::new(2, None);
    sim.add();
    sim.run(S);
    for n in 0..5000 {
        let bytes = message(
            "blue",
            record(600, MemberState::Alive, 3),
            Body::Gossip,
            vec![record(100 + n, MemberState::Alive, 1)],
        );
        sim.handle(0, Event::DatagramReceived(&bytes, address(90)));
    }
    sim.run(10 * MS);
    assert!(sim.nodes[0].log.len() <= 25, "{} lines", sim.nodes[0].log.len());
    assert_eq!(sim.present_in_view(0).len(), 1 + 4096);
    assert_eq!(sim.nodes[0].membership.counts.over_capacity, 5000 - 4096);
}
