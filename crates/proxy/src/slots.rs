//! Tables of numbered slots. A slot's name also tells whose turn in it is meant, so that an event for a
//! record that has left finds nothing, though another may sit in its place.

use std::cmp::Ordering;
use std::fmt;
use std::marker::PhantomData;

use slab::Slab;

const PLACE_BITS: u32 = 32;
/// With the three bits of an owner's kind they fill a token.
const TURN_BITS: u32 = 64 - PLACE_BITS - 3;

/// The name of one record of the kind that the mark `K` stands for.
pub struct Slot<K> {
    place: u32,
    turn: u32,
    kind: PhantomData<fn() -> K>,
}

impl<K> Slot<K> {
    /// Both halves in one number; no two records have the same one within half a billion turns.
    pub fn to_number(self) -> u64 {
        u64::from(self.turn) << PLACE_BITS | u64::from(self.place)
    }

    pub fn from_number(number: u64) -> Slot<K> {
        Slot { place: number as u32, turn: (number >> PLACE_BITS) as u32, kind: PhantomData }
    }
}

impl<K> Clone for Slot<K> {
    fn clone(&self) -> Slot<K> {
        *self
    }
}

impl<K> Copy for Slot<K> {}

impl<K> PartialEq for Slot<K> {
    fn eq(&self, other: &Slot<K>) -> bool {
        self.to_number() == other.to_number()
    }
}

impl<K> Eq for Slot<K> {}

impl<K> PartialOrd for Slot<K> {
    fn partial_cmp(&self, other: &Slot<K>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> Ord for Slot<K> {
    fn cmp(&self, other: &Slot<K>) -> Ordering {
        self.to_number().cmp(&other.to_number())
    }
}

impl<K> fmt::Debug for Slot<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.place, self.turn)
    }
}

pub struct Slots<K, T> {
    records: Slab<(u32, T)>,
    turn: u32,
    kind: PhantomData<fn() -> K>,
}

impl<K, T> Default for Slots<K, T> {
    fn default() -> Slots<K, T> {
        Slots { records: Slab::new(), turn: 0, kind: PhantomData }
    }
}

impl<K, T> Slots<K, T> {
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Makes a record that may need to know its own slot; `None` if none was made.
    pub fn insert_with(&mut self, make: impl FnOnce(Slot<K>) -> Option<T>) -> Option<Slot<K>> {
        let turn = (self.turn + 1) % (1 << TURN_BITS);
        let entry = self.records.vacant_entry();
        let slot = Slot { place: entry.key() as u32, turn, kind: PhantomData };
        entry.insert((turn, make(slot)?));
        self.turn = turn;
        Some(slot)
    }

    pub fn get(&self, slot: Slot<K>) -> Option<&T> {
        self.records.get(slot.place as usize).filter(|(turn, _)| *turn == slot.turn).map(|(_, record)| record)
    }

    pub fn get_mut(&mut self, slot: Slot<K>) -> Option<&mut T> {
        let found = self.records.get_mut(slot.place as usize);
        found.filter(|(turn, _)| *turn == slot.turn).map(|(_, record)| record)
    }

    pub fn remove(&mut self, slot: Slot<K>) -> Option<T> {
        self.get(slot)?;
        Some(self.records.remove(slot.place as usize).1)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Slot<K>, &T)> {
        let name = |place: usize, turn| Slot { place: place as u32, turn, kind: PhantomData };
        self.records.iter().map(move |(place, (turn, record))| (name(place, *turn), record))
    }
}
