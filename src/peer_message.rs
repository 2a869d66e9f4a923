//! The compact encoding of messages between instances: observations of backends, and recently requested keys.
//! What to do about them is decided in `policy.rs` alone.

use std::collections::VecDeque;

use crate::id::BackendId;
use crate::time::Span;

/// What was last observed of a backend, by whichever instance observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    pub backend: BackendId,
    /// How long ago it was made, at most `MAX_OBSERVATION_AGE`.
    pub age: Span,
    /// How many requests the backend reported in flight.
    pub in_flight: Option<f64>,
    /// The part of its attempts that fail.
    pub failure_ratio: f64,
}

/// Older observations are not sent.
pub const MAX_OBSERVATION_AGE: Span = Span::from_millis(5000);

const OBSERVATION_BYTES: usize = 9;
const KEY_BYTES: usize = 4;
/// The most keys in a message.
pub const MAX_KEYS: usize = 12;
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Encodes that the number in flight is not known.
const UNKNOWN: u8 = u8::MAX;
const AGE_STEP_MS: f64 = 20.0; // large enough for `MAX_OBSERVATION_AGE` to fit into a byte
const IN_FLIGHT_STEP: f64 = 0.5;

/// Encodes the most recent keys, and as many observations as fit into the same message.
pub fn encode(keys: &VecDeque<u32>, observations: impl Iterator<Item = Observation>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
    let latest = keys.iter().rev().take(MAX_KEYS);
    bytes.push(latest.len() as u8);
    latest.for_each(|key| bytes.extend(key.to_le_bytes()));
    for observation in observations.take((MAX_MESSAGE_BYTES - bytes.len()) / OBSERVATION_BYTES) {
        bytes.extend(observation.backend.address);
        bytes.extend(observation.backend.port.to_le_bytes());
        let in_flight =
            observation.in_flight.map_or(UNKNOWN, |count| (count / IN_FLIGHT_STEP).round().min(254.0) as u8);
        // Casts from float to integer saturate.
        bytes.extend([
            (observation.age.ms() / AGE_STEP_MS).ceil() as u8,
            in_flight,
            (observation.failure_ratio * 255.0).round() as u8,
        ]);
    }
    bytes
}

/// Decodes the keys and observations of a message; entries that are cut short are dropped.
pub fn decode(bytes: &[u8]) -> (impl Iterator<Item = u32> + '_, impl Iterator<Item = Observation> + '_) {
    let (key_count, rest) = bytes.split_first().unwrap_or((&0, &[]));
    let (keys, observations) = rest.split_at((usize::from(*key_count) * KEY_BYTES).min(rest.len()));
    let keys = keys.chunks_exact(KEY_BYTES).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]));
    let observations = observations.chunks_exact(OBSERVATION_BYTES).map(|b| Observation {
        backend: BackendId { address: [b[0], b[1], b[2], b[3]], port: u16::from_le_bytes([b[4], b[5]]) },
        age: Span::from_ms(f64::from(b[6]) * AGE_STEP_MS),
        in_flight: Some(b[7])
            .filter(|steps| *steps != UNKNOWN)
            .map(|steps| f64::from(steps) * IN_FLIGHT_STEP),
        failure_ratio: f64::from(b[8]) / 255.0,
    });
    (keys, observations)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_decodes_to_what_was_encoded_and_never_exceeds_the_maximum_size() {
        let observation = |n: u8| Observation {
            backend: BackendId { address: [10, 0, 1, n], port: 8080 + u16::from(n) },
            age: Span::from_millis(20 * i64::from(n)),
            in_flight: (n & 3 > 0).then_some(f64::from(n) / 2.0),
            failure_ratio: f64::from(n % 2),
        };
        for (key_count, sent_keys, sent_observations) in [(0_u32, 0, 28), (3, 3, 27), (90, 12, 23)] {
            let bytes = encode(&(0..key_count).collect(), (0..200).map(observation));
            assert!(bytes.len() <= MAX_MESSAGE_BYTES);
            let (keys, decoded) = decode(&bytes);
            assert_eq!(keys.collect::<Vec<_>>(), (0..key_count).rev().take(sent_keys).collect::<Vec<_>>());
            assert_eq!(
                decoded.collect::<Vec<_>>(),
                (0..sent_observations).map(observation).collect::<Vec<_>>()
            );
        }
    }

    #[test]
    fn malformed_messages_decode_without_a_panic() {
        for bytes in [&[][..], &[255], &[1, 2, 3], &[0, 1, 2, 3, 4, 5, 6, 7, 8], &[9; 300]] {
            let (keys, observations) = decode(bytes);
            assert!(keys.count() <= 9 && observations.count() <= 30);
        }
    }

    #[test]
    fn values_beyond_a_byte_saturate() {
        let backend = BackendId { address: [0; 4], port: 0 };
        let observation =
            Observation { backend, age: Span::from_millis(90_000), in_flight: Some(1e9), failure_ratio: 7.0 };
        let bytes = encode(&VecDeque::new(), [observation].into_iter());
        let decoded = decode(&bytes).1.next().unwrap();
        assert_eq!(
            (decoded.age, decoded.in_flight, decoded.failure_ratio),
            (Span::from_millis(5100), Some(127.0), 1.0)
        );
    }
}
