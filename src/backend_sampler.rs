//! Random selection among the ids of all listed backends, and the home backends of a key by rendezvous
//! hashing. Which backends are eligible, and which of the sampled ones is used, is decided in `policy.rs` alone.

use oorandom::Rand32;

use crate::event::Listing;
use crate::id::{BackendId, ZoneId};

/// How many random entries a search looks at in the subset, and then among all, so that the cost of a selection
/// does not grow with the fleet.
const MAX_DRAWS: usize = 40;

/// All backend ids, and those of the instance's own zone, each with its size, in this instance's order of
/// preference.
#[derive(Debug, Default)]
pub struct BackendSampler {
    all: Vec<(BackendId, f64)>,
    same_zone: Vec<(BackendId, f64)>,
    largest_size: f64,
    subset_size: usize,
}

/// Mixes two numbers evenly, with the same result at every instance (the last steps of SplitMix64).
fn hash_pair(value: u64, seed: u64) -> u64 {
    let mut z =
        value.wrapping_add(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

/// Rendezvous hashing: the lower the score, the more this backend is preferred for `key`. Larger backends get
/// a low score in proportion to their size, and no score depends on which other backends are listed.
fn rendezvous_score(key: u64, backend: BackendId, size: f64) -> f64 {
    let [a, b, c, d] = backend.address.map(u64::from);
    let id = a << 40 | b << 32 | c << 24 | d << 16 | u64::from(backend.port);
    let uniform = ((hash_pair(hash_pair(0, id), key) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / size
}

impl BackendSampler {
    /// Takes all listings. The instance's subset is the first `subset_size` ids of its own order, which
    /// changes by one id for each backend that comes or goes.
    pub fn new(
        all: impl Iterator<Item = Listing>,
        own_zone: ZoneId,
        subset_size: f64,
        ordinal: usize,
    ) -> BackendSampler {
        let mut listings: Vec<_> =
            all.map(|listing| (rendezvous_score(ordinal as u64, listing.backend, 1.0), listing)).collect();
        listings.sort_by(|a, b| a.0.total_cmp(&b.0));
        let entry = |listing: &Listing| (listing.backend, listing.size);
        let same_zone = listings
            .iter()
            .filter(|(_, listing)| listing.zone == own_zone)
            .map(|(_, listing)| entry(listing))
            .collect();
        let all: Vec<_> = listings.iter().map(|(_, listing)| entry(listing)).collect();
        let largest_size = all.iter().fold(0.0, |largest: f64, (_, size)| largest.max(*size));
        BackendSampler { all, same_zone, largest_size, subset_size: subset_size.ceil() as usize }
    }

    /// How many backends of the instance's own zone it chooses from first.
    pub fn same_zone_count(&self) -> usize {
        self.subset_size.min(self.same_zone.len())
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The first `max_count` home backends of a key that are eligible.
    pub fn home_backends(
        &self,
        key: u64,
        max_count: usize,
        is_eligible: impl Fn(BackendId) -> bool,
    ) -> Vec<BackendId> {
        let mut scored: Vec<_> =
            self.all.iter().map(|(id, size)| (rendezvous_score(key, *id, *size), *id)).collect();
        scored.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        scored.into_iter().map(|(_, id)| id).filter(|id| is_eligible(*id)).take(max_count).collect()
    }

    /// Two eligible home backends of a key: a random one of the first `home_backend_count`, whose fraction is
    /// rounded up or down by chance, and another of these or the next one after them. Also returns whether
    /// the second lies beyond them. Neither is `last` if there are others.
    pub fn sample_home_backends(
        &self,
        rng: &mut Rand32,
        key: u64,
        home_backend_count: f64,
        last: Option<BackendId>,
        is_eligible: impl Fn(BackendId) -> bool,
    ) -> Option<(BackendId, BackendId, bool)> {
        let wanted = ((home_backend_count + f64::from(rng.rand_float())) as usize).max(1);
        let mut home_backends = self.home_backends(key, wanted + 2, is_eligible);
        if home_backends.len() > 1 {
            home_backends.retain(|id| Some(*id) != last);
        }
        let available = wanted.min(home_backends.len());
        if available == 0 {
            return None;
        }
        let first = home_backends.remove(rng.rand_range(0..available as u32) as usize);
        let index = rng.rand_range(0..available.min(home_backends.len()).max(1) as u32) as usize;
        Some((first, home_backends.get(index).copied().unwrap_or(first), index + 1 >= available))
    }

    /// A random eligible backend of all or of the own zone, larger ones with more chance, and from the
    /// instance's subset if one there is eligible. The search is bounded, unless `exhaustive` asks for one
    /// that misses none.
    pub fn sample(
        &self,
        rng: &mut Rand32,
        same_zone: bool,
        exhaustive: bool,
        is_eligible: impl Fn(BackendId) -> bool,
    ) -> Option<BackendId> {
        let ids = if same_zone { &self.same_zone } else { &self.all };
        if exhaustive {
            let found: Vec<_> = ids.iter().filter(|(id, _)| is_eligible(*id)).collect();
            let index = rng.rand_range(0..found.len().max(1) as u32);
            return found.get(index as usize).map(|(id, _)| *id);
        }
        let len = ids.len();
        let ranges = [self.subset_size.min(len), len].into_iter().filter(|range| *range > 0);
        ranges.flat_map(|range| [range; MAX_DRAWS]).find_map(|range| {
            let (id, size) = ids[rng.rand_range(0..range as u32) as usize];
            let accepted =
                size >= self.largest_size || f64::from(rng.rand_float()) * self.largest_size < size;
            Some(id).filter(|id| accepted && is_eligible(*id))
        })
    }
}
