//! Gossip updates awaiting transmission. Updates are piggybacked on messages that are sent anyway; each is
//! sent a bounded number of times, the least transmitted first.

use std::collections::BTreeMap;

use crate::wire::{encoded_size, MemberRecord};

const TRANSMISSIONS_PER_DOUBLING: f64 = 3.0; // of the fleet's size

/// How often one member transmits one update in a fleet of this size: 3 log2(n + 1), rounded up. (SWIM's
/// bound on infection-style dissemination.)
pub fn max_transmissions(members: usize) -> u32 {
    (TRANSMISSIONS_PER_DOUBLING * (members as f64 + 1.0).log2()).ceil() as u32
}

/// If more updates than this do not fit, the rest waits for another message.
const MAX_SKIPPED: usize = 8;

#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// By member: the update and its position in the transmission order.
    pending: BTreeMap<String, (MemberRecord, Position)>,
    /// The least transmitted first, the oldest first among equals.
    order: BTreeMap<Position, String>,
    added: u64,
}

/// Number of transmissions so far, and a unique sequence number.
type Position = (u32, u64);

impl UpdateQueue {
    /// Queues an update; it replaces an earlier one about the same member.
    pub fn add(&mut self, record: MemberRecord) {
        self.added += 1;
        let (name, position) = (record.name.clone(), (0, self.added));
        if let Some((_, previous)) = self.pending.insert(name.clone(), (record, position)) {
            self.order.remove(&previous);
        }
        self.order.insert(position, name);
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns updates that fit into `max_bytes`, at most `max_updates` of them. The work is proportional to
    /// what is returned, not to what is queued.
    pub fn take(&mut self, max_bytes: usize, max_updates: usize, members: usize) -> Vec<MemberRecord> {
        let (mut bytes_left, mut skipped, mut taken) = (max_bytes, 0, Vec::new());
        let mut positions = Vec::new();
        for (position, name) in &self.order {
            if taken.len() >= max_updates || skipped > MAX_SKIPPED {
                break;
            }
            let Some((record, _)) = self.pending.get(name) else { continue };
            let size = encoded_size(record);
            if size > bytes_left {
                skipped += 1;
                continue;
            }
            bytes_left -= size;
            taken.push(record.clone());
            positions.push(*position);
        }
        let limit = max_transmissions(members);
        for (transmissions, number) in positions {
            let Some(name) = self.order.remove(&(transmissions, number)) else { continue };
            if transmissions + 1 >= limit {
                self.pending.remove(&name);
                continue;
            }
            if let Some((_, position)) = self.pending.get_mut(&name) {
                *position = (transmissions + 1, number);
            }
            self.order.insert((transmissions + 1, number), name);
        }
        taken
    }
}
