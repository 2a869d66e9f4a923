//! The ids of all listed backends, to draw random ones from; it decides nothing about them.

use oorandom::Rand32;

use crate::id::BackendId;

/// How many random places are looked at, so that the work of a draw does not grow with the fleet.
const DRAWS: usize = 40;

#[derive(Debug, Default)]
pub struct Roster {
    ids: Vec<BackendId>, // those nearby first
    near: usize,
}

impl Roster {
    /// From ids, and whether each is nearby.
    pub fn new(all: impl Iterator<Item = (BackendId, bool)>) -> Roster {
        let (mut ids, far): (Vec<_>, Vec<_>) = all.partition(|(_, near)| *near);
        let near = ids.len();
        ids.extend(far);
        Roster { ids: ids.into_iter().map(|(id, _)| id).collect(), near }
    }

    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// A random one that is open, of all or of those nearby; after a bounded search, or one through all.
    pub fn draw(
        &self,
        rng: &mut Rand32,
        near: bool,
        through_all: bool,
        open: impl Fn(BackendId) -> bool,
    ) -> Option<BackendId> {
        let ids = if near { &self.ids[..self.near] } else { &self.ids[..] };
        if through_all {
            let found: Vec<_> = ids.iter().filter(|id| open(**id)).collect();
            let place = rng.rand_range(0..found.len().max(1) as u32);
            return found.get(place as usize).map(|id| **id);
        }
        let mut places =
            (0..if ids.is_empty() { 0 } else { DRAWS }).map(|_| rng.rand_range(0..ids.len() as u32));
        places.find_map(|place| Some(ids[place as usize]).filter(|id| open(*id)))
    }
}
