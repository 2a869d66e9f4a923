//! What instances tell each other of the backends and of keys, in few bytes. It decides nothing.

use std::collections::VecDeque;

use crate::id::BackendId;
use crate::time::Span;

/// What was last seen of a backend, by whoever saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    pub backend: BackendId,
    /// How long ago; no more than `MAX_OBSERVATION_AGE`.
    pub age: Span,
    /// What it said that it holds.
    pub in_flight: Option<f64>,
    /// The part of its attempts that fail.
    pub failure_ratio: f64,
}

/// What is older is not told.
pub const MAX_OBSERVATION_AGE: Span = Span::from_millis(5000);

const BYTES: usize = 9;
const KEY_BYTES: usize = 4;
/// The most keys of a message.
pub const MAX_KEYS: usize = 12;
/// The most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 256;
const UNKNOWN: u8 = u8::MAX;
const AGE_STEP: f64 = 20.0; // ms, which leaves room for `MAX_OBSERVATION_AGE` in a byte
const HELD_STEP: f64 = 0.5;

/// The last few keys that were met, and as many of the words as one message holds besides.
pub fn encode(keys: &VecDeque<u32>, words: impl Iterator<Item = Observation>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
    let last = keys.iter().rev().take(MAX_KEYS);
    bytes.push(last.len() as u8);
    last.for_each(|key| bytes.extend(key.to_le_bytes()));
    for word in words.take((MAX_MESSAGE_BYTES - bytes.len()) / BYTES) {
        bytes.extend(word.backend.address);
        bytes.extend(word.backend.port.to_le_bytes());
        let held = word.in_flight.map_or(UNKNOWN, |held| (held / HELD_STEP).round().min(254.0) as u8);
        // The casts saturate.
        bytes.extend([
            (word.age.ms() / AGE_STEP).ceil() as u8,
            held,
            (word.failure_ratio * 255.0).round() as u8,
        ]);
    }
    bytes
}

/// The keys and words of a message; what is cut short says nothing.
pub fn decode(bytes: &[u8]) -> (impl Iterator<Item = u32> + '_, impl Iterator<Item = Observation> + '_) {
    let (keys, rest) = bytes.split_first().unwrap_or((&0, &[]));
    let (keys, words) = rest.split_at((usize::from(*keys) * KEY_BYTES).min(rest.len()));
    let keys = keys.chunks_exact(KEY_BYTES).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]));
    let words = words.chunks_exact(BYTES).map(|b| Observation {
        backend: BackendId { address: [b[0], b[1], b[2], b[3]], port: u16::from_le_bytes([b[4], b[5]]) },
        age: Span::from_ms(f64::from(b[6]) * AGE_STEP),
        in_flight: Some(b[7]).filter(|held| *held != UNKNOWN).map(|held| f64::from(held) * HELD_STEP),
        failure_ratio: f64::from(b[8]) / 255.0,
    });
    (keys, words)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_told_is_read_again_and_no_message_is_too_long() {
        let word = |n: u8| Observation {
            backend: BackendId { address: [10, 0, 1, n], port: 8080 + u16::from(n) },
            age: Span::from_millis(20 * i64::from(n)),
            in_flight: (n & 3 > 0).then_some(f64::from(n) / 2.0),
            failure_ratio: f64::from(n % 2),
        };
        for (met, told, words) in [(0_u32, 0, 28), (3, 3, 27), (90, 12, 23)] {
            let bytes = encode(&(0..met).collect(), (0..200).map(word));
            assert!(bytes.len() <= MAX_MESSAGE_BYTES);
            let (keys, read) = decode(&bytes);
            assert_eq!(keys.collect::<Vec<_>>(), (0..met).rev().take(told).collect::<Vec<_>>());
            assert_eq!(read.collect::<Vec<_>>(), (0..words).map(word).collect::<Vec<_>>());
        }
    }

    #[test]
    fn what_is_no_message_tells_nothing_and_breaks_nothing() {
        for bytes in [&[][..], &[255], &[1, 2, 3], &[0, 1, 2, 3, 4, 5, 6, 7, 8], &[9; 300]] {
            let (keys, words) = decode(bytes);
            assert!(keys.count() <= 9 && words.count() <= 30);
        }
    }

    #[test]
    fn figures_beyond_a_byte_stay_at_its_ends() {
        let backend = BackendId { address: [0; 4], port: 0 };
        let word =
            Observation { backend, age: Span::from_millis(90_000), in_flight: Some(1e9), failure_ratio: 7.0 };
        let bytes = encode(&VecDeque::new(), [word].into_iter());
        let read = decode(&bytes).1.next().unwrap();
        assert_eq!(
            (read.age, read.in_flight, read.failure_ratio),
            (Span::from_millis(5100), Some(127.0), 1.0)
        );
    }
}
