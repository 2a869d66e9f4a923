//! The ids of all listed backends, to draw random ones from; it decides nothing about them.

use oorandom::Rand32;

use crate::event::Listing;
use crate::id::{BackendId, ZoneId};

/// How many random places are looked at, so that the work of a draw does not grow with the fleet.
const DRAWS: usize = 40;

/// All ids and those nearby, in the order in which one instance keeps to them.
#[derive(Debug, Default)]
pub struct BackendSampler {
    all: Vec<(BackendId, f64)>,
    near: Vec<(BackendId, f64)>,
    largest: f64,
    width: usize,
}

/// An even mix of two numbers, the same at every instance (SplitMix64's last steps).
fn mix(of: u64, with: u64) -> u64 {
    let mut z = of.wrapping_add(with.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

/// Rendezvous hashing: the lower the mark, the rather is this backend a home of what `of` stands for. A larger
/// one gets a low mark in proportion to its size, and no mark depends on which others are listed.
fn mark(of: u64, backend: BackendId, size: f64) -> f64 {
    let [a, b, c, d] = backend.address.map(u64::from);
    let id = a << 40 | b << 32 | c << 24 | d << 16 | u64::from(backend.port);
    let even = ((mix(mix(0, id), of) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -even.ln() / size
}

impl BackendSampler {
    /// From all listings. The part that the instance keeps to is the first `width` of its own order, which
    /// moves by one id for each that comes or goes.
    pub fn new(
        all: impl Iterator<Item = Listing>,
        own: ZoneId,
        width: f64,
        ordinal: usize,
    ) -> BackendSampler {
        let mut listings: Vec<_> = all.map(|l| (mark(ordinal as u64, l.backend, 1.0), l)).collect();
        listings.sort_by(|a, b| a.0.total_cmp(&b.0));
        let entry = |l: &Listing| (l.backend, l.size);
        let near = listings.iter().filter(|(_, l)| l.zone == own).map(|(_, l)| entry(l)).collect();
        let all: Vec<_> = listings.iter().map(|(_, l)| entry(l)).collect();
        let largest = all.iter().fold(0.0, |largest: f64, (_, size)| largest.max(*size));
        BackendSampler { all, near, largest, width: width.ceil() as usize }
    }

    /// How many of the own part are nearby.
    pub fn nearby(&self) -> usize {
        self.width.min(self.near.len())
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The first `most` homes of a key that are open.
    pub fn homes(&self, key: u64, most: usize, open: impl Fn(BackendId) -> bool) -> Vec<BackendId> {
        let mut marked: Vec<_> = self.all.iter().map(|(id, size)| (mark(key, *id, *size), *id)).collect();
        marked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        marked.into_iter().map(|(_, id)| id).filter(|id| open(*id)).take(most).collect()
    }

    /// Two homes of a key that are open: a random one of the first so many, a part of one by chance, and another of
    /// them or of the next; and whether that one lies beyond them. Neither is `last`, if there are others.
    pub fn draw_homes(
        &self,
        rng: &mut Rand32,
        key: u64,
        so_many: f64,
        last: Option<BackendId>,
        open: impl Fn(BackendId) -> bool,
    ) -> Option<(BackendId, BackendId, bool)> {
        let wanted = ((so_many + f64::from(rng.rand_float())) as usize).max(1);
        let mut homes = self.homes(key, wanted + 2, open);
        if homes.len() > 1 {
            homes.retain(|id| Some(*id) != last);
        }
        let first = wanted.min(homes.len());
        if first == 0 {
            return None;
        }
        let one = homes.remove(rng.rand_range(0..first as u32) as usize);
        let place = rng.rand_range(0..first.min(homes.len()).max(1) as u32) as usize;
        Some((one, homes.get(place).copied().unwrap_or(one), place + 1 >= first))
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
        let len = ids.len();
        let widths = [self.width.min(len), len].into_iter().filter(|width| *width > 0);
        widths.flat_map(|width| [width; DRAWS]).find_map(|width| {
            let (id, size) = ids[rng.rand_range(0..width as u32) as usize];
            let kept = size >= self.largest || f64::from(rng.rand_float()) * self.largest < size;
            Some(id).filter(|id| kept && open(*id))
        })
    }
}
