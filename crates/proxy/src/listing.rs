//! The list of backends in discovery's form, decoded into the decisions' own.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::event::{Condition, Listing};
use sparlug::id::{BackendId, PodId, ZoneId};
use sparlug::time::Time;

/// One line of the list: what the decisions see, and where this proxy finds the backend.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    pub host: String,
    pub address: SocketAddr,
    /// When its process started, by the wall clock of whoever wrote the list.
    pub listed_start: Option<Time>,
    pub listing: Listing,
}

#[derive(Debug)]
pub struct BackendList {
    pub version: u64,
    pub full: bool,
    pub entries: Vec<BackendEntry>,
}

#[derive(Deserialize)]
struct Text {
    seq: u64,
    #[serde(default, rename = "whole")]
    full: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(default)]
    site: String,
    #[serde(default)]
    block: u16,
    health: Health,
    share: Option<f64>,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Deserialize)]
enum Health {
    Ready,
    Terminating,
    Gone,
}

impl BackendList {
    /// How many entries say that a backend is ready, that it drains, and that it is gone.
    pub fn condition_counts(&self) -> [usize; 3] {
        let of = |what| self.entries.iter().filter(|entry| entry.listing.condition == what).count();
        [of(Condition::Ready), of(Condition::Draining), of(Condition::Gone)]
    }

    /// What is odd about a list, for those who look after discovery. `ready` backends were known before, at
    /// `version`.
    pub fn anomalies(&self, ready: usize, version: Option<u64>) -> Vec<&'static str> {
        let names: BTreeSet<_> = self.entries.iter().map(|entry| &entry.host).collect();
        let unknown = |entry: &BackendEntry| entry.listing.zone == ZoneId(u16::MAX);
        let found = [
            (self.is_suspiciously_empty(ready), "no backend at all, the last list is kept"),
            (self.full && names.len() * 2 < ready && !names.is_empty(), "less than half of the backends"),
            (names.len() < self.entries.len(), "a backend twice, the last one counts"),
            (self.entries.iter().any(unknown), "a zone that the settings do not name"),
            (version.is_some_and(|version| self.version < version), "an older version than the one at hand"),
        ];
        found.into_iter().filter(|(odd, _)| *odd).map(|(_, what)| what).collect()
    }

    /// Guards against a discovery that lost its memory taking every backend away at once: a whole list without any
    /// is not believed. What is named as going, or left out beside others, goes at once.
    pub fn is_suspiciously_empty(&self, ready: usize) -> bool {
        self.full && self.entries.is_empty() && ready > 0
    }
}

/// The decisions' id of a backend. It comes from the host's name, which all proxies know alike, and not from
/// the address, which may differ: the instances' parts of the list count on one order. (FNV-1a, 64 bits.)
pub fn backend_id(host: &str) -> BackendId {
    let step = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let sum = host.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    let [a, b, c, d, e, f, g, h] = sum.to_be_bytes();
    BackendId { address: [a, b, c, d], port: u16::from_be_bytes([e ^ g, f ^ h]) }
}

pub fn decode(text: &[u8], zones: &[String]) -> Result<BackendList, String> {
    let text: Text = serde_json::from_slice(text).map_err(|e| format!("list of backends: {e}"))?;
    let entry = |host: Host| {
        let zone = zones.iter().position(|zone| *zone == host.site);
        let listing = Listing {
            backend: backend_id(&host.host),
            zone: ZoneId(zone.map_or(u16::MAX, |place| place as u16)),
            pod: PodId(host.block),
            condition: match host.health {
                Health::Ready => Condition::Ready,
                Health::Terminating => Condition::Draining,
                Health::Gone => Condition::Gone,
            },
            started: Some(host.born_ms).filter(|ms| *ms > 0.0).map(Time::from_ms),
            size: host.share.filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0),
        };
        BackendEntry { host: host.host, address: host.address, listed_start: listing.started, listing }
    };
    Ok(BackendList {
        version: text.seq,
        full: text.full,
        entries: text.hosts.into_iter().map(entry).collect(),
    })
}

/// A list as one process hands it to the next: what is left of all that it was told.
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
        BackendEntry { host, address, listed_start: started, listing }
    }
}

impl HandoverList {
    pub fn into_list(self) -> BackendList {
        let entries = self.hosts.into_iter().map(HandoverHost::into_entry).collect();
        BackendList { version: self.version, full: true, entries }
    }
}
