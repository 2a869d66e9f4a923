//! Tables of records that are identified by generational indices: an event for a record that has been removed
//! finds nothing, even if another record uses the same index now.

use std::cmp::Ordering;
use std::fmt;
use std::marker::PhantomData;

use slab::Slab;

const INDEX_BITS: u32 = 32;
/// Together with the three bits of an owner's kind, index and generation fill a token.
const GENERATION_BITS: u32 = 64 - INDEX_BITS - 3;

/// Identifies one record of the kind that `Tag` stands for.
pub struct Slot<Tag> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> Tag>,
}

impl<Tag> Slot<Tag> {
    /// Index and generation in one number, which is not used again within half a billion generations.
    pub fn to_number(self) -> u64 {
        u64::from(self.generation) << INDEX_BITS | u64::from(self.index)
    }

    pub fn from_number(number: u64) -> Slot<Tag> {
        Slot { index: number as u32, generation: (number >> INDEX_BITS) as u32, kind: PhantomData }
    }
}

impl<Tag> Clone for Slot<Tag> {
    fn clone(&self) -> Slot<Tag> {
        *self
    }
}

impl<Tag> Copy for Slot<Tag> {}

impl<Tag> PartialEq for Slot<Tag> {
    fn eq(&self, other: &Slot<Tag>) -> bool {
        self.to_number() == other.to_number()
    }
}

impl<Tag> Eq for Slot<Tag> {}

impl<Tag> PartialOrd for Slot<Tag> {
    fn partial_cmp(&self, other: &Slot<Tag>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Tag> Ord for Slot<Tag> {
    fn cmp(&self, other: &Slot<Tag>) -> Ordering {
        self.to_number().cmp(&other.to_number())
    }
}

impl<Tag> fmt::Debug for Slot<Tag> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.index, self.generation)
    }
}

/// A table of records that each have a `Slot`.
pub struct Slots<Tag, T> {
    records: Slab<(u32, T)>,
    generation: u32,
    kind: PhantomData<fn() -> Tag>,
}

impl<Tag, T> Default for Slots<Tag, T> {
    fn default() -> Slots<Tag, T> {
        Slots { records: Slab::new(), generation: 0, kind: PhantomData }
    }
}

impl<Tag, T> Slots<Tag, T> {
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Inserts the record that `make` returns for its slot; `None` if it returns none.
    pub fn insert_with(&mut self, make: impl FnOnce(Slot<Tag>) -> Option<T>) -> Option<Slot<Tag>> {
        let generation = (self.generation + 1) % (1 << GENERATION_BITS);
        let entry = self.records.vacant_entry();
        let slot = Slot { index: entry.key() as u32, generation, kind: PhantomData };
        entry.insert((generation, make(slot)?));
        self.generation = generation;
        Some(slot)
    }

    pub fn get(&self, slot: Slot<Tag>) -> Option<&T> {
        self.records
            .get(slot.index as usize)
            .filter(|(generation, _)| *generation == slot.generation)
            .map(|(_, record)| record)
    }

    pub fn get_mut(&mut self, slot: Slot<Tag>) -> Option<&mut T> {
        let entry = self.records.get_mut(slot.index as usize);
        entry.filter(|(generation, _)| *generation == slot.generation).map(|(_, record)| record)
    }

    pub fn remove(&mut self, slot: Slot<Tag>) -> Option<T> {
        self.get(slot)?;
        Some(self.records.remove(slot.index as usize).1)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Slot<Tag>, &T)> {
        let slot = |index: usize, generation| Slot { index: index as u32, generation, kind: PhantomData };
        self.records.iter().map(move |(index, (generation, record))| (slot(index, *generation), record))
    }
}
