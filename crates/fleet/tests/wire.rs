//! Messages: each is read as it was written; whatever is cut, turned, lengthened or drawn at random is refused or read to
//! something that makes sense, and costs no more than its length.

use std::net::SocketAddr;

use proptest::prelude::*;
use sparlug_fleet::duties::{DutyMessage, ANSWERED_MOST, ASKED_MOST};
use sparlug_fleet::leases::Answer;
use sparlug_fleet::wire::{
    decode, encode, pieces, Bad, Body, Entry, Message, State, MAX_DATAGRAM_BYTES, VERSION,
};

fn entry() -> impl Strategy<Value = Entry> {
    let states = prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Dead), Just(State::Left)];
    let address =
        (1..255u8, any::<u8>(), 1..u16::MAX).prop_map(|(a, d, port)| SocketAddr::from(([a, 0, 0, d], port)));
    ("[a-z/0-9-]{1,64}", address, "[a-z]{0,64}", states, any::<u64>(), any::<u64>(), any::<u32>()).prop_map(
        |(name, address, zone, state, incarnation, generation, by)| Entry {
            name,
            address,
            zone,
            state,
            incarnation,
            generation,
            by,
        },
    )
}

fn letter() -> impl Strategy<Value = DutyMessage> {
    let pairs = || prop::collection::vec((any::<u64>(), any::<u64>()), 0..=ASKED_MOST);
    let answer = (any::<u64>(), any::<bool>(), any::<u64>(), "[a-z]{0,64}", any::<u32>())
        .prop_map(|(duty, granted, term, holder, left_ms)| Answer { duty, granted, term, holder, left_ms });
    prop_oneof![
        (any::<u32>(), any::<u32>(), prop::collection::vec(any::<u32>(), 0..=2), pairs())
            .prop_map(|(seq, lease_ms, marks, duties)| DutyMessage::Ask { seq, lease_ms, marks, duties }),
        (any::<u32>(), prop::collection::vec(answer, 0..=ANSWERED_MOST))
            .prop_map(|(seq, answers)| DutyMessage::Answer { seq, answers }),
        pairs().prop_map(|duties| DutyMessage::Release { duties }),
        prop::collection::vec(any::<u64>(), 0..=ASKED_MOST).prop_map(|duties| DutyMessage::Free { duties }),
    ]
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        (any::<u32>(), "[a-z]{1,64}").prop_map(|(seq, to)| Body::Ping { seq, to }),
        any::<u32>().prop_map(|seq| Body::Ack { seq }),
        any::<u32>().prop_map(|seq| Body::Nack { seq }),
        Just(Body::Gossip),
        letter().prop_map(Body::Duty),
        (any::<bool>(), prop::collection::vec(entry(), 0..4))
            .prop_map(|(ask, entries)| Body::Table { ask, entries }),
        prop::collection::vec(any::<u8>(), 0..256).prop_map(|bytes| Body::Word { bytes }),
        (any::<u32>(), "[a-z]{1,64}", entry()).prop_map(|(seq, to, entry)| Body::PingFor {
            seq,
            to,
            address: entry.address
        }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    ("[a-z]{1,64}", entry(), body(), prop::collection::vec(entry(), 0..2))
        .prop_map(|(fleet, sender, body, news)| Message { fleet, sender, body, news })
}

proptest! {
    #[test]
    fn each_is_read_as_it_was_written(message in message()) {
        let bytes = encode(&message);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&bytes), Ok(message));
    }

    #[test]
    fn every_cut_and_every_turned_byte_is_refused(message in message(), turn in 1..=255u8) {
        let bytes = encode(&message);
        for cut in 0..bytes.len() {
            prop_assert!(decode(&bytes[..cut]).is_err());
        }
        prop_assert!(decode(&[&bytes[..], &[0]].concat()).is_err());
        for place in 0..bytes.len() {
            let mut turned = bytes.clone();
            turned[place] ^= turn;
            prop_assert!(decode(&turned).is_err(), "byte {} of {}", place, bytes.len());
        }
    }

    #[test]
    fn what_bears_a_right_checksum_and_makes_no_sense_is_refused(noise in prop::collection::vec(any::<u8>(), 0..1190), kind in 0..12u8) {
        let mut bytes = vec![b's', b'F', VERSION, kind];
        bytes.extend((noise.len() as u16).to_le_bytes());
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes);
        sum.update(&noise);
        bytes.extend(sum.finalize().to_le_bytes());
        bytes.extend(&noise);
        match decode(&bytes) {
            Ok(message) => prop_assert_eq!(encode(&message).len(), bytes.len()),
            Err(bad) => prop_assert!(matches!(bad, Bad::Senseless | Bad::UnknownKind)),
        }
    }

    #[test]
    fn a_table_is_cut_into_pieces_that_fit(entries in prop::collection::vec(entry(), 0..200), sender in entry()) {
        let bare = Message { fleet: "f".into(), sender, body: Body::Table { ask: true, entries: vec![] }, news: vec![] };
        let pieces = pieces(&bare, &entries);
        prop_assert_eq!(pieces.concat(), entries);
        for entries in pieces {
            let length = encode(&Message { body: Body::Table { ask: false, entries }, ..bare.clone() }).len();
            prop_assert!(length <= MAX_DATAGRAM_BYTES);
        }
    }
}

#[test]
fn a_later_version_and_an_unknown_kind_are_told_apart_from_noise() {
    let made = |version: u8, kind: u8| {
        let mut bytes = vec![b's', b'F', version, kind, 1, 0];
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes);
        sum.update(&[7]);
        bytes.extend(sum.finalize().to_le_bytes());
        bytes.push(7);
        bytes
    };
    assert_eq!(decode(&made(VERSION + 1, 200)), Err(Bad::Newer));
    assert_eq!(decode(&made(VERSION, 200)), Err(Bad::UnknownKind));
    assert_eq!(decode(b"GET / HTTP/1.1"), Err(Bad::Foreign));
    assert_eq!(decode(&[]), Err(Bad::Foreign));
}
