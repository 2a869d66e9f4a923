//! One member against made-up messages: claims that contradict each other, names that two have, strangers and forgers.

mod model;

use model::{address, World, MS, S};
use sparlug::time::{Span, Time};
use sparlug_fleet::member_count::{divide_by, MemberCount};
use sparlug_fleet::membership::{Action, Event};
use sparlug_fleet::wire::{decode, encode, Body, Entry, Message, State};

fn entry(n: usize, state: State, incarnation: u64) -> Entry {
    let name = format!("p-{n:04}");
    Entry {
        name,
        address: address(n),
        zone: "a".into(),
        state,
        incarnation,
        generation: 7 + n as u64,
        by: 99,
    }
}

fn message(fleet: &str, sender: Entry, body: Body, news: Vec<Entry>) -> Vec<u8> {
    encode(&Message { fleet: fleet.into(), sender, body, news })
}

#[test]
fn of_two_claims_the_later_incarnation_holds_and_then_the_graver() {
    let mut world = World::new(1, None);
    world.add();
    world.play(S);
    let hear = |world: &mut World, claim: Entry| {
        let bytes = message("blue", entry(5, State::Alive, 3), Body::Gossip, vec![claim]);
        world.handle(0, Event::DatagramReceived(&bytes, address(90)));
        world.holds(0, 6)
    };
    assert_eq!(hear(&mut world, entry(6, State::Dead, 4)), None); // never known, and gone
    assert_eq!(hear(&mut world, entry(6, State::Alive, 4)), Some(State::Alive));
    assert_eq!(hear(&mut world, entry(6, State::Suspect, 3)), Some(State::Alive));
    assert_eq!(hear(&mut world, entry(6, State::Suspect, 4)), Some(State::Suspect));
    assert_eq!(hear(&mut world, entry(6, State::Alive, 4)), Some(State::Suspect));
    assert_eq!(hear(&mut world, entry(6, State::Alive, 5)), Some(State::Alive));
    // One word does not make it dead: it has the time to speak up.
    assert_eq!(hear(&mut world, entry(6, State::Dead, 5)), Some(State::Suspect));
    assert_eq!(hear(&mut world, entry(6, State::Dead, 5)), Some(State::Dead));
    assert_eq!(hear(&mut world, entry(6, State::Suspect, 5)), Some(State::Dead));
    assert_eq!(hear(&mut world, entry(6, State::Left, 5)), Some(State::Left));
    assert_eq!(hear(&mut world, entry(6, State::Alive, 6)), Some(State::Alive));
}

#[test]
fn strangers_garble_and_other_fleets_change_nothing_and_are_counted() {
    let mut world = World::new(1, None);
    world.add();
    world.play(S);
    let good = message("blue", entry(5, State::Alive, 3), Body::Gossip, vec![]);
    world.handle(
        0,
        Event::DatagramReceived(
            &message("red", entry(5, State::Alive, 3), Body::Gossip, vec![entry(6, State::Alive, 1)]),
            address(90),
        ),
    );
    world.handle(0, Event::DatagramReceived(&good[..good.len() - 1], address(90)));
    world.handle(0, Event::DatagramReceived(b"noise", address(90)));
    assert_eq!(world.sees(0).len(), 1);
    let counts = world.nodes[0].members.counts;
    assert_eq!((counts.other_fleet, counts.corrupted, counts.foreign, counts.received), (1, 1, 1, 0));
    // A ping for somebody else is not answered, and a stranger's ping for another goes nowhere.
    let sent = world.nodes[0].sent;
    let ping = Body::Ping { seq: 1, to: "p-0009".into() };
    world.handle(
        0,
        Event::DatagramReceived(&message("blue", entry(5, State::Alive, 0), ping, vec![]), address(90)),
    );
    let ping_for = Body::PingFor { seq: 1, to: "p-0007".into(), address: address(7) };
    world.handle(
        0,
        Event::DatagramReceived(&message("blue", entry(5, State::Alive, 0), ping_for, vec![]), address(90)),
    );
    assert_eq!((world.nodes[0].members.counts.misdirected, world.nodes[0].sent), (1, sent));
}

#[test]
fn a_word_counts_only_from_one_that_is_there() {
    let mut world = World::new(1, None);
    world.add();
    world.play(S);
    let now = Time::from_ms(2e12);
    let mut said = |incarnation| {
        let mut out = Vec::new();
        let bytes =
            message("blue", entry(5, State::Alive, incarnation), Body::Word { bytes: vec![1] }, vec![]);
        world.nodes[0].members.handle(now, Event::DatagramReceived(&bytes, address(90)), &mut out);
        out.iter()
            .filter(|action| matches!(action, sparlug_fleet::membership::Action::PeerMessage { .. }))
            .count()
    };
    assert_eq!((said(0), said(3)), (0, 1));
}

#[test]
fn of_two_with_one_name_the_younger_keeps_out_until_the_older_is_gone() {
    let mut world = model::fleet(3, 4, None);
    world.play(8 * S);
    // A second process called p-0003 at another address.
    let double = world.add_as(3, 50);
    world.play(6 * S);
    assert!(world.nodes[double].members.view(Time::ORIGIN).excluded);
    assert!(
        world.nodes[double].log.iter().any(|line| line.contains("takes no part")),
        "{:?}",
        world.nodes[double].log
    );
    assert!((0..4).all(|n| world.sees(n).len() == 4 && world.holds(n, 3) == Some(State::Alive)));
    world.kill(3);
    world.play(40 * S);
    assert!(!world.nodes[double].members.view(Time::ORIGIN).excluded);
    assert!((0..3).all(|n| world.holds(n, 3) == Some(State::Alive)));
}

#[test]
fn of_two_that_tell_one_address_the_one_that_is_not_reached_there_keeps_out_whoever_is_older() {
    for ahead in [2e6, -2e6] {
        let mut world = model::fleet(3, 4, None);
        world.play(8 * S);
        let wrong = world.add_at(3, 50, ahead);
        world.play(6 * S);
        let log = world.nodes[wrong].log.join("; ");
        assert!(world.nodes[wrong].members.view(Time::ORIGIN).excluded, "{ahead}: {log}");
        assert!(log.contains("p-0003 is reached at 127.1.0.4:7100"), "{log}");
        let told = |line: &&String| line.contains("p-0050 tells others that it is at 127.1.0.4:7100");
        assert_eq!(world.nodes[3].log.iter().filter(told).count(), 1, "{:?}", world.nodes[3].log);
        world.play(20 * S);
        assert!(world.nodes[wrong].members.view(Time::ORIGIN).excluded);
        assert!((0..4).all(|n| world.sees(n).len() == 4), "{:?}", world.sees(0));
        // Nothing is left there: it is told of no more, and takes part as far as it can.
        world.kill(3);
        world.play(40 * S);
        assert!(!world.nodes[wrong].members.view(Time::ORIGIN).excluded);
    }
}

#[test]
fn of_two_that_are_both_reached_at_one_address_the_younger_keeps_out() {
    for (ahead, out_of_it) in [(-1, true), (1, false)] {
        let mut world = model::fleet(3, 1, None);
        world.play(S);
        let own = world.nodes[0].address;
        let generation = world.nodes[0].members.view(Time::ORIGIN).members[0].incarnation << 20;
        let other = Entry {
            address: own,
            generation: generation.saturating_add_signed(ahead << 40),
            ..entry(9, State::Alive, 3)
        };
        let (now, mut sent) = (Time::from_ms(1e13), Vec::new());
        world.nodes[0].members.handle(now, Event::TimerExpired, &mut Vec::new());
        let hello = message("blue", other.clone(), Body::Gossip, vec![]);
        world.nodes[0].members.handle(now, Event::DatagramReceived(&hello, own), &mut sent);
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
        world.nodes[0].members.handle(now, Event::DatagramReceived(&pings[1].2, own), &mut Vec::new());
        let ack = message("blue", other.clone(), Body::Ack { seq }, vec![]);
        world.nodes[0].members.handle(now, Event::DatagramReceived(&ack, own), &mut Vec::new());
        for step in 0..40 {
            let later = now + Span::from_millis(100 * step);
            world.nodes[0].members.handle(later, Event::TimerExpired, &mut Vec::new());
        }
        assert_eq!(world.nodes[0].members.view(now).excluded, out_of_it, "{ahead}");
    }
}

#[test]
fn the_number_in_force_rises_at_once_and_falls_slowly() {
    let at = |seconds: f64| Time::from_ms(1e12 + seconds * 1000.0);
    let mut counted = MemberCount::new(4, at(0.0));
    assert!(counted.update(12.0, at(0.1)) && counted.whole() == 12);
    counted.update(6.0, at(1.1));
    assert_eq!(counted.whole(), 12);
    counted.update(6.0, at(20.0));
    assert!((8..=9).contains(&counted.whole()), "{}", counted.whole());
    counted.update(6.0, at(200.0));
    assert_eq!(counted.whole(), 6);
}

#[test]
fn no_partition_of_any_whole_takes_more_than_a_quarter_too_much() {
    for whole in 1..=40usize {
        for one in 0..=whole {
            for two in 0..=whole - one {
                let sides = [one, two, whole - one - two];
                let sum: f64 = sides
                    .iter()
                    .filter(|side| **side > 0)
                    .map(|side| *side as f64 / divide_by(*side, whole))
                    .sum();
                assert!(sum <= 1.25 + 1e-9, "{sides:?}: {sum}");
            }
        }
        assert_eq!(divide_by(whole, whole), whole as f64);
    }
}

#[test]
fn a_flood_of_claims_costs_bounded_memory_and_a_bounded_log() {
    let mut world = World::new(2, None);
    world.add();
    world.play(S);
    for n in 0..5000 {
        let bytes =
            message("blue", entry(600, State::Alive, 3), Body::Gossip, vec![entry(100 + n, State::Alive, 1)]);
        world.handle(0, Event::DatagramReceived(&bytes, address(90)));
    }
    world.play(10 * MS);
    assert!(world.nodes[0].log.len() <= 25, "{} lines", world.nodes[0].log.len());
    assert_eq!(world.sees(0).len(), 1 + 4096);
    assert_eq!(world.nodes[0].members.counts.over_capacity, 5000 - 4096);
}
