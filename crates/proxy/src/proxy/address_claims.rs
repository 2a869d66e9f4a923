//! Which backend an address belongs to. A new backend may come up at the address of one that has gone before a list
//! says so, or a late list may name the old one there again: then only the one that was named last is used.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sparlug::event::Condition;
use sparlug::id::BackendId;

use crate::listing::{BackendEntry, BackendList};

fn is_present(entry: &BackendEntry) -> bool {
    entry.listing.condition != Condition::Gone
}

/// Settles whose address each is that a list names. `known` are the listed backends so far. Backends that have lost
/// their address are added to the list as gone, and returned by name. An older list takes no address from a backend:
/// its entries for such addresses are dropped.
pub(super) fn settle_addresses(
    list: &mut BackendList,
    is_older: bool,
    known: &[BackendEntry],
) -> Vec<String> {
    let named: BTreeSet<BackendId> = list.entries.iter().map(|entry| entry.listing.backend).collect();
    let mut owners: BTreeMap<SocketAddr, Vec<&BackendEntry>> = BTreeMap::new();
    for owner in known.iter().filter(|owner| is_present(owner)) {
        owners.entry(owner.address).or_default().push(owner);
    }
    let others = |entry: &BackendEntry| {
        let at_address = owners.get(&entry.address).into_iter().flatten().copied();
        let backend = entry.listing.backend;
        at_address.filter(move |owner| owner.listing.backend != backend).collect::<Vec<_>>()
    };
    let owns = |entry: &BackendEntry| {
        let mut at_address = owners.get(&entry.address).into_iter().flatten();
        at_address.any(|owner| owner.listing.backend == entry.listing.backend)
    };
    if is_older {
        list.entries.retain(|entry| !is_present(entry) || owns(entry) || others(entry).is_empty());
        return Vec::new();
    }
    let mut lost: BTreeMap<BackendId, BackendEntry> = BTreeMap::new();
    for entry in list.entries.iter().filter(|entry| is_present(entry) && !owns(entry)) {
        for owner in others(entry).into_iter().filter(|owner| !named.contains(&owner.listing.backend)) {
            let mut owner = owner.clone();
            owner.listing.condition = Condition::Gone;
            lost.insert(owner.listing.backend, owner);
        }
    }
    let names = lost.values().map(|entry| entry.host.clone()).collect();
    // A whole list says by itself that what it does not name is gone.
    if !list.full {
        list.entries.extend(lost.into_values());
    }
    names
}
