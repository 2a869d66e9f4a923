//! News on their way: what is claimed of a member rides on messages that go anyway, each claim a bounded number of times,
//! the least told first.

use std::collections::BTreeMap;

use crate::wire::{size, Entry};

const TIMES: f64 = 3.0; // for each doubling of the fleet

/// How often one piece of news is passed on by one member, in a fleet of so many: 3 log2(n + 1), rounded up. (SWIM's
/// bound on infection-style dissemination.)
pub fn times(members: usize) -> u32 {
    (TIMES * (members as f64 + 1.0).log2()).ceil() as u32
}

/// So many that do not fit are passed over before the rest waits for another message.
const PASSED_OVER: usize = 8;

#[derive(Debug, Default)]
pub struct News {
    /// By member: the claim, and its place in the order.
    waiting: BTreeMap<String, (Entry, Place)>,
    /// The least told first, and of those the oldest.
    order: BTreeMap<Place, String>,
    added: u64,
}

/// How often a claim was told, and a number of its own.
type Place = (u32, u64);

impl News {
    /// A newer claim takes an older one's place.
    pub fn add(&mut self, entry: Entry) {
        self.added += 1;
        let (name, place) = (entry.name.clone(), (0, self.added));
        if let Some((_, before)) = self.waiting.insert(name.clone(), (entry, place)) {
            self.order.remove(&before);
        }
        self.order.insert(place, name);
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes what fits into so many bytes, and so many claims at the most. The work follows what is taken, not what waits.
    pub fn take(&mut self, room: usize, most: usize, members: usize) -> Vec<Entry> {
        let (mut left, mut passed, mut taken) = (room, 0, Vec::new());
        let mut places = Vec::new();
        for (place, name) in &self.order {
            if taken.len() >= most || passed > PASSED_OVER {
                break;
            }
            let Some((entry, _)) = self.waiting.get(name) else { continue };
            let size = size(entry);
            if size > left {
                passed += 1;
                continue;
            }
            left -= size;
            taken.push(entry.clone());
            places.push(*place);
        }
        let last = times(members);
        for (told, number) in places {
            let Some(name) = self.order.remove(&(told, number)) else { continue };
            if told + 1 >= last {
                self.waiting.remove(&name);
                continue;
            }
            if let Some((_, place)) = self.waiting.get_mut(&name) {
                *place = (told + 1, number);
            }
            self.order.insert((told + 1, number), name);
        }
        taken
    }
}
