//! The wire format: every message survives a round trip, and truncated, changed, extended or random datagrams
//! are either rejected or decoded to a valid message, with work bounded by their length.

use std::net::SocketAddr;

use proptest::prelude::*;
use sparlug_fleet::duties::{DutyMessage, MAX_DUTIES_PER_MESSAGE, MAX_REPLIES_PER_MESSAGE};
use sparlug_fleet::leases::LeaseReply;
use sparlug_fleet::wire::{
    decode, encode, split_records, Body, DecodeError, MemberRecord, MemberState, Message, MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
};

fn record() -> impl Strategy<Value = MemberRecord> {
    let states = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    let address =
        (1..255u8, any::<u8>(), 1..u16::MAX).prop_map(|(a, d, port)| SocketAddr::from(([a, 0, 0, d], port)));
    ("[a-z/0-9-]{1,64}", address, "[a-z]{0,64}", states, any::<u64>(), any::<u64>(), any::<u32>()).prop_map(
        |(name, address, zone, state, incarnation, generation, accuser)| MemberRecord {
            name,
            address,
            zone,
            state,
            incarnation,
            generation,
            accuser,
        },
    )
}

fn duty_message() -> impl Strategy<Value = DutyMessage> {
    let pairs = || prop::collection::vec((any::<u64>(), any::<u64>()), 0..=MAX_DUTIES_PER_MESSAGE);
    let reply = (any::<u64>(), any::<bool>(), any::<u64>(), "[a-z]{0,64}", any::<u32>()).prop_map(
        |(duty, granted, term, holder, remaining_ms)| LeaseReply {
            duty,
            granted,
            term,
            holder,
            remaining_ms,
        },
    );
    prop_oneof![
        (any::<u32>(), any::<u32>(), prop::collection::vec(any::<u32>(), 0..=2), pairs()).prop_map(
            |(seq, lease_ms, voter_set_checksums, duties)| DutyMessage::Request {
                seq,
                lease_ms,
                voter_set_checksums,
                duties
            }
        ),
        (any::<u32>(), prop::collection::vec(reply, 0..=MAX_REPLIES_PER_MESSAGE))
            .prop_map(|(seq, replies)| DutyMessage::Reply { seq, replies }),
        pairs().prop_map(|duties| DutyMessage::Release { duties }),
        prop::collection::vec(any::<u64>(), 0..=MAX_DUTIES_PER_MESSAGE)
            .prop_map(|duties| DutyMessage::Offer { duties }),
    ]
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        (any::<u32>(), "[a-z]{1,64}").prop_map(|(seq, to)| Body::Ping { seq, to }),
        any::<u32>().prop_map(|seq| Body::Ack { seq }),
        any::<u32>().prop_map(|seq| Body::Nack { seq }),
        Just(Body::Gossip),
        duty_message().prop_map(Body::Duty),
        (any::<bool>(), prop::collection::vec(record(), 0..4))
            .prop_map(|(reply_requested, records)| Body::StateExchange { reply_requested, records }),
        prop::collection::vec(any::<u8>(), 0..256).prop_map(|bytes| Body::PeerMessage { bytes }),
        (any::<u32>(), "[a-z]{1,64}", record()).prop_map(|(seq, to, record)| Body::PingReq {
            seq,
            to,
            address: record.address
        }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    ("[a-z]{1,64}", record(), body(), prop::collection::vec(record(), 0..2))
        .prop_map(|(fleet, sender, body, updates)| Message { fleet, sender, body, updates })
}

proptest! {
    #[test]
    fn every_message_survives_a_round_trip(message in message()) {
        let bytes = encode(&message);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&bytes), Ok(message));
    }

    #[test]
    fn every_truncation_and_every_changed_byte_is_rejected(message in message(), xor in 1..=255u8) {
        let bytes = encode(&message);
        for cut in 0..bytes.len() {
            prop_assert!(decode(&bytes[..cut]).is_err());
        }
        prop_assert!(decode(&[&bytes[..], &[0]].concat()).is_err());
        for index in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[index] ^= xor;
            prop_assert!(decode(&changed).is_err(), "byte {} of {}", index, bytes.len());
        }
    }

    #[test]
    fn random_content_with_a_correct_checksum_is_rejected_or_valid(
        payload in prop::collection::vec(any::<u8>(), 0..1190),
        kind in 0..12u8,
    ) {
        let mut bytes = vec![b's', b'F', PROTOCOL_VERSION, kind];
        bytes.extend((payload.len() as u16).to_le_bytes());
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes);
        sum.update(&payload);
        bytes.extend(sum.finalize().to_le_bytes());
        bytes.extend(&payload);
        match decode(&bytes) {
            Ok(message) => prop_assert_eq!(encode(&message).len(), bytes.len()),
            Err(error) => prop_assert!(matches!(error, DecodeError::Invalid | DecodeError::UnknownKind)),
        }
    }

    #[test]
    fn a_state_exchange_is_split_into_chunks_that_fit(
        records in prop::collection::vec(record(), 0..200),
        sender in record(),
    ) {
        let envelope = Message {
            fleet: "f".into(),
            sender,
            body: Body::StateExchange { reply_requested: true, records: vec![] },
            updates: vec![],
        };
        let chunks = split_records(&envelope, &records);
        prop_assert_eq!(chunks.concat(), records);
        for records in chunks {
            let length = encode(&Message {
                body: Body::StateExchange { reply_requested: false, records },
                ..envelope.clone()
            })
            .len();
            prop_assert!(length <= MAX_DATAGRAM_BYTES);
        }
    }
}

#[test]
fn later_versions_and_unknown_kinds_are_distinguished_from_foreign_datagrams() {
    let raw_message = |version: u8, kind: u8| {
        let mut bytes = vec![b's', b'F', version, kind, 1, 0];
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes);
        sum.update(&[7]);
        bytes.extend(sum.finalize().to_le_bytes());
        bytes.push(7);
        bytes
    };
    assert_eq!(decode(&raw_message(PROTOCOL_VERSION + 1, 200)), Err(DecodeError::NewerVersion));
    assert_eq!(decode(&raw_message(PROTOCOL_VERSION, 200)), Err(DecodeError::UnknownKind));
    assert_eq!(decode(b"GET / HTTP/1.1"), Err(DecodeError::Foreign));
    assert_eq!(decode(&[]), Err(DecodeError::Foreign));
}
