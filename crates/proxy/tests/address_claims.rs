//! Whose address it is where lists name several backends at one: no two are used there, in whatever order and form the
//! lists come.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sparlug::event::{Condition, Listing};
use sparlug::id::{BackendId, PodId, ZoneId};
use sparlug::time::Time;
use sparlug_proxy::address_claims::AddressClaims;
use sparlug_proxy::listing::{backend_id, BackendEntry, BackendList};

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];
const ADDRESSES: u16 = 3;
const SEEDS: u64 = 2_000;
const LISTS_PER_SEED: u64 = 12;

fn entry(host: &str, port: u16, condition: Condition, start: Option<f64>) -> BackendEntry {
    let started = start.map(Time::from_ms);
    let (zone, pod) = (ZoneId(0), PodId(0));
    let listing = Listing { backend: backend_id(host), zone, pod, condition, started, size: 1.0 };
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    BackendEntry { host: host.into(), address, listed_start: started, start_stated: start.is_some(), listing }
}

fn ready(host: &str, port: u16, start: Option<f64>) -> BackendEntry {
    entry(host, port, Condition::Ready, start)
}

/// The backends that are used, as the pool keeps them.
#[derive(Default)]
struct Used(BTreeMap<BackendId, BackendEntry>);

impl Used {
    /// Settles and applies a list; returns whether it frees an address.
    fn apply(
        &mut self,
        claims: &mut AddressClaims,
        full: bool,
        older: bool,
        entries: &[BackendEntry],
    ) -> bool {
        let mut list = BackendList { version: 1, full, entries: entries.to_vec() };
        let known: Vec<_> = self.0.values().cloned().collect();
        let settled = claims.settle(&mut list, older, &known, &BTreeSet::new());
        if list.full {
            self.0.clear();
        }
        for entry in list.entries {
            match entry.listing.condition {
                Condition::Gone => drop(self.0.remove(&entry.listing.backend)),
                _ => drop(self.0.insert(entry.listing.backend, entry)),
            }
        }
        settled.freed
    }

    fn at(&self, port: u16) -> Vec<&str> {
        let at = self.0.values().filter(|entry| entry.address.port() == port);
        at.map(|entry| entry.host.as_str()).collect()
    }
}

#[test]
fn later_start_has_the_address_wherever_the_list_names_it() {
    let (old, new) = (ready("old", 1, Some(5.0)), ready("new", 1, Some(9.0)));
    for entries in [[old.clone(), new.clone()], [new.clone(), old.clone()]] {
        for full in [true, false] {
            let (mut used, mut claims) = (Used::default(), AddressClaims::default());
            used.apply(&mut claims, true, false, std::slice::from_ref(&old));
            for _ in 0..3 {
                used.apply(&mut claims, full, false, &entries);
                assert_eq!(used.at(1), ["new"], "full: {full}");
            }
        }
    }
}

#[test]
fn backend_without_a_start_keeps_the_address_that_it_took_last() {
    let (old, new) = (ready("old", 1, None), ready("new", 1, None));
    let (mut used, mut claims) = (Used::default(), AddressClaims::default());
    used.apply(&mut claims, true, false, std::slice::from_ref(&old));
    for entries in [[old.clone(), new.clone()], [new.clone(), old.clone()], [old.clone(), new.clone()]] {
        used.apply(&mut claims, true, false, &entries);
        assert_eq!(used.at(1), ["new"]);
    }
    // A list that names one alone says more than the order of earlier ones.
    used.apply(&mut claims, false, false, std::slice::from_ref(&old));
    assert_eq!(used.at(1), ["old"]);
}

#[test]
fn two_new_backends_at_one_address_are_not_both_used() {
    for older in [true, false] {
        let (mut used, mut claims) = (Used::default(), AddressClaims::default());
        for _ in 0..3 {
            used.apply(&mut claims, true, older, &[ready("a", 1, None), ready("b", 1, None)]);
            assert_eq!(used.at(1), ["b"], "older: {older}");
        }
    }
}

#[test]
fn older_list_takes_no_address_and_moves_no_backend_to_one_that_is_used() {
    let (mut used, mut claims) = (Used::default(), AddressClaims::default());
    used.apply(&mut claims, true, false, &[ready("a", 1, Some(5.0)), ready("b", 2, Some(5.0))]);
    used.apply(&mut claims, true, true, &[ready("b", 1, Some(9.0)), ready("a", 1, Some(5.0))]);
    assert_eq!((used.at(1), used.at(2)), (vec!["a"], vec!["b"]));
}

#[test]
fn backends_that_swap_their_addresses_are_both_used() {
    let (mut used, mut claims) = (Used::default(), AddressClaims::default());
    used.apply(&mut claims, true, false, &[ready("a", 1, None), ready("b", 2, None)]);
    used.apply(&mut claims, false, false, &[ready("b", 1, None), ready("a", 2, None)]);
    assert_eq!((used.at(1), used.at(2)), (vec!["b"], vec!["a"]));
}

#[test]
fn withdrawal_of_the_one_that_is_used_frees_the_address_of_the_other_one() {
    let (mut used, mut claims) = (Used::default(), AddressClaims::default());
    used.apply(&mut claims, true, false, &[ready("a", 1, None), ready("b", 1, None)]);
    assert!(used.apply(&mut claims, false, false, &[entry("b", 1, Condition::Gone, None)]));
    assert!(used.at(1).is_empty() && claims.is_empty());
    used.apply(&mut claims, true, false, &[ready("a", 1, None)]);
    assert_eq!(used.at(1), ["a"]);
}

#[test]
fn claims_are_handed_over_to_the_next_process() {
    let both = [ready("new", 1, None), ready("old", 1, None)];
    let (mut used, mut claims) = (Used::default(), AddressClaims::default());
    used.apply(&mut claims, true, false, &both[1..]);
    used.apply(&mut claims, true, false, &both);
    let mut next = AddressClaims::default();
    next.import(claims.export());
    used.apply(&mut next, true, false, &both);
    assert_eq!(used.at(1), ["new"]);
}

/// Numbers from a seed (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 33) % limit
    }

    fn entry(&mut self, host: &str) -> BackendEntry {
        let condition = [Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone]
            [self.below(4) as usize];
        let start = [None, Some(0.0), Some(5.0), Some(9.0)][self.below(4) as usize];
        entry(host, self.below(ADDRESSES.into()) as u16, condition, start)
    }
}

#[test]
fn no_two_backends_are_used_at_one_address_after_any_lists() {
    for seed in 0..SEEDS {
        let (mut random, mut used, mut claims) = (Random(seed), Used::default(), AddressClaims::default());
        for number in 0..LISTS_PER_SEED {
            let named = HOSTS.iter().filter(|_| random.below(2) == 0).collect::<Vec<_>>();
            let entries: Vec<_> = named.into_iter().map(|host| random.entry(host)).collect();
            let (full, older) = (random.below(2) == 0, random.below(3) == 0);
            used.apply(&mut claims, full, older, &entries);
            for port in 0..ADDRESSES {
                let at = used.at(port);
                assert!(at.len() < 2, "seed {seed}, list {number}: {at:?} at port {port}, {entries:?}");
            }
            let present = entries.iter().filter(|entry| entry.listing.condition != Condition::Gone);
            for entry in present {
                let port = entry.address.port();
                assert!(!used.at(port).is_empty(), "seed {seed}, list {number}: nobody at port {port}");
            }
        }
    }
}
