//! Lists of backends: decodes the discovery agent's format into the decision module's, and the format in
//! which one process hands its list over to the next.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::event::{Condition, Listing};
use sparlug::id::{BackendId, PodId, ZoneId};
use sparlug::time::Time;

/// One entry of a list: what the decision module reads, and the address at which this proxy connects to the
/// backend.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    pub host: String,
    pub address: SocketAddr,
    /// When its process started, by the wall clock of the list's author; `None` means long ago, or unknown.
    pub listed_start: Option<Time>,
    /// Whether the list states when its process started, be it long ago.
    pub start_stated: bool,
    pub listing: Listing,
}

#[derive(Debug)]
pub struct BackendList {
    pub version: u64,
    /// Whether it lists all backends, instead of only changes.
    pub full: bool,
    pub entries: Vec<BackendEntry>,
}

#[derive(Deserialize)]
struct RawList {
    seq: u64,
    #[serde(default, rename = "whole")]
    full: bool,
    hosts: Vec<RawHost>,
}

/// The version of a list, without its entries.
#[derive(Deserialize)]
struct RawVersion {
    seq: u64,
}

#[derive(Deserialize)]
struct RawHost {
    host: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(default)]
    site: String,
    #[serde(default)]
    block: u16,
    health: Health,
    share: Option<f64>,
    born_ms: Option<f64>,
}

#[derive(Deserialize)]
enum Health {
    Ready,
    Terminating,
    Gone,
}

impl BackendEntry {
    /// Whether this entry counts instead of another one for the same backend in the same list.
    fn outranks(&self, other: &BackendEntry) -> bool {
        let out_of_service = |entry: &BackendEntry| match entry.listing.condition {
            Condition::Ready => 0,
            Condition::Draining => 1,
            Condition::Gone => 2,
        };
        // An entry that states no start time may be about the latest process.
        let comparable = |entry: &BackendEntry| entry.start_stated || out_of_service(entry) == 0;
        if self.listed_start != other.listed_start && comparable(self) && comparable(other) {
            return self.listed_start > other.listed_start;
        }
        out_of_service(self) > out_of_service(other)
    }
}

impl BackendList {
    /// The numbers of entries for ready, draining and gone backends.
    pub fn condition_counts(&self) -> [usize; 3] {
        let count =
            |condition| self.entries.iter().filter(|entry| entry.listing.condition == condition).count();
        [count(Condition::Ready), count(Condition::Draining), count(Condition::Gone)]
    }

    /// Describes anomalies of a list, for the operators of discovery. Before it, `ready` backends were known,
    /// at `version`.
    pub fn anomalies(&self, ready: usize, version: Option<u64>) -> Vec<&'static str> {
        let names: BTreeSet<_> = self.entries.iter().map(|entry| &entry.host).collect();
        let has_unknown_zone = |entry: &BackendEntry| entry.listing.zone == ZoneId(u16::MAX);
        let checks = [
            (self.full && self.entries.is_empty() && ready > 0, "no backend at all"),
            (self.full && names.len() * 2 < ready && !names.is_empty(), "less than half of the backends"),
            (
                names.len() < self.entries.len(),
                "a backend twice, the entry of its latest start is used, or the one that is out",
            ),
            (self.entries.iter().any(has_unknown_zone), "a zone that the settings don't name"),
            (version.is_some_and(|version| self.version < version), "an older version than the current list"),
        ];
        checks.into_iter().filter(|(applies, _)| *applies).map(|(_, description)| description).collect()
    }

    /// Keeps one entry of each backend: the one with the latest start time, and of those at one start the one
    /// that is furthest out of service.
    pub fn remove_duplicates(&mut self) {
        let mut kept: BTreeMap<BackendId, BackendEntry> = BTreeMap::new();
        if self.entries.iter().map(|entry| entry.listing.backend).collect::<BTreeSet<_>>().len()
            == self.entries.len()
        {
            return;
        }
        for entry in self.entries.drain(..) {
            match kept.entry(entry.listing.backend) {
                Entry::Vacant(vacant) => drop(vacant.insert(entry)),
                Entry::Occupied(mut occupied) if entry.outranks(occupied.get()) => {
                    occupied.insert(entry);
                }
                Entry::Occupied(_) => {}
            }
        }
        self.entries = kept.into_values().collect();
    }
}

/// The decision module's id of a backend: a hash (FNV-1a, 64 bits) of the host's name. The name is the same
/// at all proxies, while the address may differ. The instances divide the list among themselves by the order
/// of the ids, which therefore has to be the same everywhere.
pub fn backend_id(host: &str) -> BackendId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = host.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    let [a, b, c, d, e, f, g, h] = hash.to_be_bytes();
    BackendId { address: [a, b, c, d], port: u16::from_be_bytes([e ^ g, f ^ h]) }
}

/// The version of a list in the discovery agent's JSON, without decoding its entries; `None` if it is not JSON.
pub fn decode_version(text: &[u8]) -> Option<u64> {
    serde_json::from_slice::<RawVersion>(text).ok().map(|raw| raw.seq)
}

/// Decodes a list in the discovery agent's JSON.
pub fn decode(text: &[u8], zone_names: &[String]) -> Result<BackendList, String> {
    let raw: RawList = serde_json::from_slice(text).map_err(|e| format!("list of backends: {e}"))?;
    let entry = |host: RawHost| {
        let zone = zone_names.iter().position(|name| *name == host.site);
        let listing = Listing {
            backend: backend_id(&host.host),
            zone: ZoneId(zone.map_or(u16::MAX, |index| index as u16)),
            pod: PodId(host.block),
            condition: match host.health {
                Health::Ready => Condition::Ready,
                Health::Terminating => Condition::Draining,
                Health::Gone => Condition::Gone,
            },
            started: host.born_ms.filter(|ms| *ms > 0.0).map(Time::from_ms),
            size: host.share.filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0),
        };
        BackendEntry {
            host: host.host,
            address: host.address,
            listed_start: listing.started,
            start_stated: host.born_ms.is_some(),
            listing,
        }
    };
    Ok(BackendList { version: raw.seq, full: raw.full, entries: raw.hosts.into_iter().map(entry).collect() })
}

/// The current list of backends, as one process hands it over to the next.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverList {
    pub version: u64,
    pub hosts: Vec<HandoverHost>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverHost {
    host: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    zone: u16,
    pod: u16,
    #[serde(rename = "drains")]
    draining: bool,
    size: f64,
    started_ms: Option<f64>,
}

impl HandoverHost {
    pub fn from_entry(entry: &BackendEntry) -> HandoverHost {
        let Listing { zone, pod, condition, size, .. } = entry.listing;
        let (host, draining) = (entry.host.clone(), condition == Condition::Draining);
        let started_ms = entry.listed_start.map(|started| started.since(Time::ORIGIN).ms());
        HandoverHost { host, address: entry.address, zone: zone.0, pod: pod.0, draining, size, started_ms }
    }

    fn into_entry(self) -> BackendEntry {
        let HandoverHost { host, address, zone, pod, draining, size, started_ms } = self;
        let condition = if draining { Condition::Draining } else { Condition::Ready };
        let (backend, started) = (backend_id(&host), started_ms.map(Time::from_ms));
        let listing = Listing { backend, zone: ZoneId(zone), pod: PodId(pod), condition, started, size };
        BackendEntry { host, address, listed_start: started, start_stated: started.is_some(), listing }
    }
}

impl HandoverList {
    pub fn into_list(self) -> BackendList {
        let entries = self.hosts.into_iter().map(HandoverHost::into_entry).collect();
        BackendList { version: self.version, full: true, entries }
    }
}
