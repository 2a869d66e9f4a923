//! Writes a proxy's configuration file, in the platform's JSON format or in the native TOML format.

use std::net::SocketAddr;

use serde_json::json;

use crate::agent::BackendEntry;
use crate::clock::Micros;
use crate::deployment::zone;
use crate::scenario::{Effect, Group, Scenario};

/// Settings of one proxy, beside those that its whole tier shares.
pub struct ProxySettings<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub seed: u64,
    pub known: Option<Vec<BackendEntry>>,
    /// Number of proxies in the tier that the file states.
    pub balancers: usize,
    /// Addresses for messages between the proxies, its own included.
    pub peers: Vec<SocketAddr>,
    /// Address for operators; only the native format has it and `fleet`.
    pub management: SocketAddr,
    pub fleet: Option<FleetSettings>,
}

pub struct FleetSettings {
    pub address: SocketAddr,
    pub advertise: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub expected: Option<usize>,
    pub duties: usize,
    pub lease: Micros,
    pub voters: Vec<SocketAddr>,
}

/// The configuration in the native format, which holds no earlier list of backends.
pub fn native(scenario: &Scenario, tier: usize, n: usize, settings: &ProxySettings) -> String {
    let t = &scenario.tiers[tier];
    let zones: Vec<String> = (0..t.zones).map(zone).collect();
    let mut text = format!(
        "name = {:?}\nseed = \"{:x}\"\n[[listener]]\naddress = \"{}\"\n[management]\naddress = \"{}\"\n\
         [limits]\nsockets = {}\n[discovery]\nagent = \"{}\"\n\
         [tier]\nabove = {tier}\nproxies = {}\nordinal = {n}\nzones = {zones:?}\nzone = {:?}\n",
        settings.name,
        settings.seed,
        settings.listen,
        settings.management,
        t.sockets,
        settings.agent,
        settings.balancers,
        zone(n % t.zones),
    );
    text += &format!(
        "[backends]\ndial = \"{}\"\nidle = \"{}\"\nmost_forwards = {}\nreports = {}\ncold_share = {:?}\n\
         warm_up = \"{}\"\ncold_multiple = {:?}\ncold_window = \"{}\"\n",
        t.dial, t.idle, t.max_attempts, t.reports, t.cold_share, t.cold_ramp, t.fall_multiple, t.fall_window
    );
    if let Some(max_retry_after) = t.max_retry_after {
        text += &format!("[answers]\nlongest_retry_after = \"{max_retry_after}\"\n");
    }
    if let Some(fleet) = &settings.fleet {
        let seeds: Vec<String> = fleet.seeds.iter().map(SocketAddr::to_string).collect();
        text += &format!(
            "[fleet]\nname = \"lab\"\naddress = \"{}\"\nadvertise = \"{}\"\nseeds = {seeds:?}\n",
            fleet.address, fleet.advertise
        );
        if let Some(expected) = fleet.expected {
            text += &format!("expected = {expected}\n");
        }
        if fleet.duties > 0 {
            let duties: Vec<String> = (0..fleet.duties).map(|n| format!("d-{n}")).collect();
            let voters: Vec<String> = fleet.voters.iter().map(SocketAddr::to_string).collect();
            text += &format!("duties = {duties:?}\nlease = \"{}\"\nvoters = {voters:?}\n", fleet.lease);
        }
    }
    for class in &scenario.classes {
        let effect = match class.effect {
            Effect::Safe => "reissuable",
            Effect::Keyed => "numbered",
            Effect::AtMostOnce => "at-most-once",
        };
        text += &format!(
            "[tariff.{:?}]\ngoal = \"{}\"\ncut_off = \"{}\"\nvalue = {:?}\neffect = \"{effect}\"\n",
            class.name, class.latency_target, class.deadline, class.value
        );
        if let (Some(group), Some(window)) = (class.group, class.window) {
            let group = match group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Pod => "pod",
            };
            text += &format!("group = \"{group}\"\nwindow = \"{window}\"\n");
        }
    }
    text
}

/// The configuration in the platform's format.
pub fn platform(scenario: &Scenario, tier: usize, n: usize, settings: &ProxySettings) -> String {
    let t = &scenario.tiers[tier];
    let classes = scenario.classes.iter().map(|class| {
        let effect = match class.effect {
            Effect::Safe => "pure",
            Effect::Keyed => "token",
            Effect::AtMostOnce => "side_effect",
        };
        let group = class.group.map(|group| match group {
            Group::All => "all",
            Group::Zone => "zone",
            Group::Pod => "cell",
        });
        json!({
            "group": group, "windowMs": class.window.map(Micros::ms),
            "name": class.name, "latencyGoalMs": class.latency_target.ms(), "cutOffMs": class.deadline.ms(),
            "value": class.value, "effect": effect,
        })
    });
    let columns = if t.reports { vec!["busy_reqs", "pending"] } else { vec![] };
    let known = settings.known.as_ref().map(|hosts| json!({ "seq": 1000, "whole": true, "hosts": hosts }));
    let config = json!({
        "name": settings.name, "listen": settings.listen, "discovery": settings.agent,
        "seed": format!("{:x}", settings.seed),
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": t.sockets },
        "known": known,
        "settings": {
            "tier": tier, "balancers": settings.balancers, "ordinal": n, "roundMs": 1.0,
            "discovery": "pushed", "tariffs": classes.collect::<Vec<_>>(),
            "zones": (0..t.zones).map(zone).collect::<Vec<_>>(), "locality": n % t.zones,
            "report": { "how": if t.reports { "answers" } else { "none" }, "columns": columns },
            "peerAddresses": settings.peers,
            "allowed": {
                "maxForwards": t.max_attempts, "cancelling": true, "probes": true, "peers": !settings.peers.is_empty(),
                "retryAfter": t.max_retry_after.is_some(),
                "maxRetryAfterMs": t.max_retry_after.map_or(0.0, Micros::ms),
                "connIdleMs": t.idle.ms(), "dialTimeoutMs": t.dial.ms(),
            },
            "obligations": {
                "coldShare": t.cold_share, "rampTimeMs": t.cold_ramp.ms(),
                "fallMultiple": t.fall_multiple, "tipAfterMs": t.fall_window.ms(),
            },
        },
    });
    config.to_string()
}
