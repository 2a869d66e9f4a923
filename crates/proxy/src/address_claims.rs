//! Which backend an address belongs to. Only one process can be at an address, but lists may name two backends there: a new
//! one comes up at the address of one that has gone before the lists say so, and a late list names the old one again. Only
//! one of them is used, since a request that is sent by the name of the other one would be repeated in the wrong group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::event::Condition;
use sparlug::id::BackendId;
use sparlug::time::Time;

use crate::listing::{backend_id, BackendEntry, BackendList};

/// Number of backends without their address that are remembered.
const MAX_DISPLACED: usize = 4_096;

/// What a list says of the place of a backend that is not used because another one has its address.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Claim {
    address: SocketAddr,
    listed_start: Option<Time>,
}

impl Claim {
    fn of(entry: &BackendEntry) -> Claim {
        Claim { address: entry.address, listed_start: entry.listed_start }
    }
}

/// A backend without its address, as one process hands it over to the next.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverClaim {
    host: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    started_ms: Option<f64>,
}

/// What follows from a list for the addresses that it names.
#[derive(Debug, Default, PartialEq)]
pub struct SettledAddresses {
    /// The backends that have lost their address, by name.
    pub replaced: Vec<String>,
    /// Changes withdraw a backend that had taken the address of one which is still listed. Whether that one is to be
    /// used again is told by a whole list.
    pub freed: bool,
}

/// The backends that lists name and that are not used, because another one has their address.
#[derive(Debug, Default)]
pub struct AddressClaims {
    displaced: BTreeMap<BackendId, (String, Claim)>,
}

/// A backend that is, or is to be, at an address.
struct Claimant<'a> {
    entry: &'a BackendEntry,
    /// It has been used at this address.
    owns: bool,
    /// The list names it.
    named: bool,
    /// An earlier list has named another one beside it, which was used.
    displaced: bool,
}

fn is_present(entry: &BackendEntry) -> bool {
    entry.listing.condition != Condition::Gone
}

impl Claimant<'_> {
    /// Whether it has the address and not the other one, which comes before it. An older list takes no address from a
    /// backend. The later process is the one that is there; where the starts do not tell, it is the one named last.
    fn beats(&self, other: &Claimant, is_older: bool) -> bool {
        if is_older && self.owns != other.owns {
            return self.owns;
        }
        let [own, others] = [self, other].map(|claimant| claimant.entry);
        let comparable = own.start_stated && others.start_stated;
        if comparable && own.listing.started != others.listing.started {
            return own.listing.started > others.listing.started;
        }
        if self.named != other.named {
            return self.named;
        }
        if self.displaced != other.displaced {
            return other.displaced;
        }
        if self.owns != other.owns {
            return other.owns;
        }
        true
    }
}

impl AddressClaims {
    /// Whether no backend lacks its address.
    pub fn is_empty(&self) -> bool {
        self.displaced.is_empty()
    }

    /// Number of backends that lists name and that are not used.
    pub fn displaced_count(&self) -> usize {
        self.displaced.len()
    }

    /// Settles whose each address is, so that no two backends are used at one. `known` are the backends that are used so
    /// far; the starts in all entries are by the proxy's own clock. Backends of the list that have no address are
    /// removed from it. Such as were used so far are added as gone. What the list said of `withheld` backends was removed
    /// from it before.
    pub fn settle(
        &mut self,
        list: &mut BackendList,
        is_older: bool,
        known: &[BackendEntry],
        withheld: &BTreeSet<BackendId>,
    ) -> SettledAddresses {
        let known: BTreeMap<BackendId, &BackendEntry> = known
            .iter()
            .filter(|entry| is_present(entry))
            .map(|entry| (entry.listing.backend, entry))
            .collect();
        let freed = self.forget_settled_claims(list, &known, withheld);
        if is_older {
            self.keep_places(list, &known);
        }
        let losers = self.losers(list, is_older, &known);
        list.entries.retain(|entry| !losers.contains_key(&entry.listing.backend));
        for entry in &list.entries {
            self.displaced.remove(&entry.listing.backend);
        }
        let mut replaced = Vec::new();
        for (backend, loser) in losers {
            self.displaced.insert(backend, (loser.host.clone(), Claim::of(&loser)));
            if let Some(used) = known.get(&backend) {
                replaced.push(used.host.clone());
                list.entries.push(with_condition(used, Condition::Gone));
            }
        }
        while self.displaced.len() > MAX_DISPLACED {
            self.displaced.pop_first();
        }
        SettledAddresses { replaced, freed }
    }

    /// Leaves the backends where they are used that an older list moves to an address which they do not get.
    fn keep_places(&self, list: &mut BackendList, known: &BTreeMap<BackendId, &BackendEntry>) {
        loop {
            let losers = self.losers(list, true, known);
            let mut changed = false;
            for entry in &mut list.entries {
                let backend = entry.listing.backend;
                let used = known.get(&backend).filter(|_| losers.contains_key(&backend));
                if let Some(used) = used.filter(|used| used.address != entry.address) {
                    *entry = (*used).clone();
                    changed = true;
                }
            }
            if !changed {
                return;
            }
        }
    }

    /// The backends that have no address, with their latest entries.
    fn losers(
        &self,
        list: &BackendList,
        is_older: bool,
        known: &BTreeMap<BackendId, &BackendEntry>,
    ) -> BTreeMap<BackendId, BackendEntry> {
        let named: BTreeSet<BackendId> = list.entries.iter().map(|entry| entry.listing.backend).collect();
        // What a whole list does not name is gone.
        let unnamed = known.values().filter(|entry| !list.full && !named.contains(&entry.listing.backend));
        let entries = unnamed.copied().chain(list.entries.iter().filter(|entry| is_present(entry)));
        let mut winners: BTreeMap<SocketAddr, Claimant> = BTreeMap::new();
        let mut losers = BTreeMap::new();
        for entry in entries {
            let backend = entry.listing.backend;
            let claimant = Claimant {
                entry,
                owns: known.get(&backend).is_some_and(|known| known.address == entry.address),
                named: named.contains(&backend),
                displaced: self.is_displaced(entry),
            };
            let loser = match winners.get(&entry.address) {
                Some(winner) if !claimant.beats(winner, is_older) => Some(claimant),
                _ => winners.insert(entry.address, claimant),
            };
            losers.extend(loser.map(|loser| (loser.entry.listing.backend, loser.entry.clone())));
        }
        losers
    }

    fn is_displaced(&self, entry: &BackendEntry) -> bool {
        self.displaced.get(&entry.listing.backend).is_some_and(|(_, claim)| *claim == Claim::of(entry))
    }

    /// Forgets the claims that a list withdraws or changes, and those at addresses that are free again. Returns whether
    /// changes free one.
    fn forget_settled_claims(
        &mut self,
        list: &BackendList,
        known: &BTreeMap<BackendId, &BackendEntry>,
        withheld: &BTreeSet<BackendId>,
    ) -> bool {
        let named: BTreeMap<BackendId, &BackendEntry> =
            list.entries.iter().map(|entry| (entry.listing.backend, entry)).collect();
        self.displaced.retain(|backend, (_, claim)| match named.get(backend) {
            Some(entry) => is_present(entry) && Claim::of(entry) == *claim,
            None => !list.full || withheld.contains(backend),
        });
        let withdrawn = list.entries.iter().filter(|entry| !is_present(entry));
        let free: BTreeSet<SocketAddr> = withdrawn
            .filter_map(|entry| known.get(&entry.listing.backend))
            .map(|entry| entry.address)
            .collect();
        let before = self.displaced.len();
        self.displaced
            .retain(|backend, (_, claim)| named.contains_key(backend) || !free.contains(&claim.address));
        !list.full && self.displaced.len() < before
    }

    /// The claims for the next process of a handover.
    pub fn export(&self) -> Vec<HandoverClaim> {
        let claims = self.displaced.values().map(|(host, claim)| HandoverClaim {
            host: host.clone(),
            address: claim.address,
            started_ms: claim.listed_start.map(|start| start.since(Time::ORIGIN).ms()),
        });
        claims.collect()
    }

    /// Takes over the claims of the preceding process.
    pub fn import(&mut self, claims: Vec<HandoverClaim>) {
        for HandoverClaim { host, address, started_ms } in claims {
            let claim = Claim { address, listed_start: started_ms.map(Time::from_ms) };
            self.displaced.insert(backend_id(&host), (host, claim));
        }
    }
}

fn with_condition(entry: &BackendEntry, condition: Condition) -> BackendEntry {
    let mut entry = entry.clone();
    entry.listing.condition = condition;
    entry
}
