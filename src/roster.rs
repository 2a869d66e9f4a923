//! The ids of all listed backends, to draw random ones from; it decides nothing about them.

use oorandom::Rand32;

use crate::event::Listing;
use crate::id::{BackendId, ZoneId};

/// How many random places are looked at, so that the work of a draw does not grow with the fleet.
const DRAWS: usize = 40;

/// The golden section's multiples, taken within 1, lie evenly, and so do every fifth and the first few.
const GOLDEN: f64 = 0.618_034;

/// All ids and those nearby, and of both the part that one instance keeps to.
#[derive(Debug, Default)]
pub struct Roster {
    all: Vec<(BackendId, f64)>,
    near: Vec<(BackendId, f64)>,
    largest: f64,
    width: usize,
    turn: f64,
}

impl Roster {
    /// From all listings, in the order that all instances know. The part is `width` ids, and the parts of
    /// instances with other ordinals lie evenly over all, whichever of them are counted.
    pub fn new(all: impl Iterator<Item = Listing>, own: ZoneId, width: f64, ordinal: usize) -> Roster {
        let turn = (ordinal as f64 * GOLDEN).fract();
        let mut roster = Roster { width: width.ceil() as usize, turn, ..Roster::default() };
        for listing in all {
            let entry = (listing.backend, listing.size);
            roster.all.push(entry);
            roster.near.extend((listing.zone == own).then_some(entry));
            roster.largest = roster.largest.max(listing.size);
        }
        roster
    }

    /// How many of the own part are nearby.
    pub fn nearby(&self) -> usize {
        self.width.min(self.near.len())
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// A random one that is open, a larger one with more chance, of all or of those nearby, and of the own part
    /// if one there is open. The search is bounded, unless `through_all` asks for one that misses none.
    pub fn draw(
        &self,
        rng: &mut Rand32,
        near: bool,
        through_all: bool,
        open: impl Fn(BackendId) -> bool,
    ) -> Option<BackendId> {
        let ids = if near { &self.near } else { &self.all };
        if through_all {
            let found: Vec<_> = ids.iter().filter(|(id, _)| open(*id)).collect();
            let place = rng.rand_range(0..found.len().max(1) as u32);
            return found.get(place as usize).map(|(id, _)| *id);
        }
        let (len, first) = (ids.len(), (self.turn * ids.len() as f64) as usize);
        let widths = [self.width.min(len), len].into_iter().filter(|width| *width > 0);
        widths.flat_map(|width| [width; DRAWS]).find_map(|width| {
            let place = first + rng.rand_range(0..width as u32) as usize;
            let (id, size) = ids[place % len];
            let kept = size >= self.largest || f64::from(rng.rand_float()) * self.largest < size;
            Some(id).filter(|id| kept && open(*id))
        })
    }
}
