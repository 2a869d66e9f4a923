//! The settings text of an instance, decoded into what the decisions read, and what the adapters need of it
//! besides. The outside's words end here: each adapter takes the decisions' own words from this package.

pub mod fleet;
pub mod native;

use std::net::SocketAddr;

use serde::Deserialize;
use sparlug::event::Load;
use sparlug::id::ZoneId;
use sparlug::settings::{Class, Effect, Group, Settings, SlowStart};
use sparlug::time::Span;

/// Where in a load report the figures stand that the decisions read.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadColumns {
    pub in_flight: Option<usize>,
    pub queued: Option<usize>,
}

/// An instance's settings: what the decisions read, and what only its adapter does.
#[derive(Debug)]
pub struct Setup {
    pub settings: Settings,
    pub load_columns: LoadColumns,
    /// In the order of the settings' classes, tenants and zones.
    pub class_names: Vec<String>,
    pub tenant_names: Vec<String>,
    pub zone_names: Vec<String>,
    /// Where the proxies of the tier hear each other, by their numbers.
    pub peer_addresses: Vec<SocketAddr>,
    /// The fleet that it is a member of, if it is one; never on the platform.
    pub fleet: Option<fleet::FleetSetup>,
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Span,
    /// A backend closes a connection that stood idle for so long.
    pub backend_idle_timeout: Span,
}

/// A load report whose figures bear their names, as on the wire or as on sockets.
pub fn load_from_named_values<'a>(figures: impl Iterator<Item = (&'a str, f64)>) -> Load {
    let mut load = Load::default();
    for (name, value) in figures.filter(|(_, value)| value.is_finite() && *value >= 0.0) {
        match name {
            "busy_reqs" | "inflight" => load.in_flight = Some(value),
            "pending" | "queue" => load.queued = Some(value),
            _ => {}
        }
    }
    load
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Text {
    tier: usize,
    balancers: usize,
    #[serde(default)]
    ordinal: usize,
    #[serde(default)]
    locality: u16,
    round_ms: f64,
    discovery: Discovery,
    #[serde(rename = "tariffs")]
    classes: Vec<SetupClass>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default = "one")]
    beyond_share_value: f64,
    allowed: Allowed,
    obligations: Obligations,
    #[serde(default)]
    penalties: Penalties,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    peer_addresses: Vec<SocketAddr>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    #[serde(default)]
    warm_keys: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SetupClass {
    #[serde(default)]
    name: String,
    #[serde(rename = "latencyGoalMs")]
    latency_target_ms: f64,
    #[serde(rename = "cutOffMs")]
    deadline_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    value: f64,
    #[serde(default)]
    late_value: f64,
    effect: SetupEffect,
    group: Option<SetupGroup>,
    window_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum SetupEffect {
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum SetupGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    #[serde(default)]
    name: String,
    allowance_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Allowed {
    #[serde(default = "minute")]
    conn_idle_ms: f64,
    #[serde(default = "second")]
    dial_timeout_ms: f64,
    #[serde(rename = "maxForwards")]
    max_attempts: u16,
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Obligations {
    cold_share: f64,
    ramp_time_ms: f64,
    fall_multiple: f64,
    tip_after_ms: f64,
    #[serde(default)]
    shed_after_start: bool,
    #[serde(default)]
    drain_binds_alone: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Penalties {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    probe: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum How {
    Answers,
    Probe,
    #[default]
    None,
}

#[derive(Default, Deserialize)]
struct Report {
    #[serde(default)]
    how: How,
    #[serde(default)]
    columns: Vec<String>,
}

fn one() -> f64 {
    1.0
}

fn second() -> f64 {
    1000.0
}

fn minute() -> f64 {
    60_000.0
}

impl SetupClass {
    fn decode(self) -> Result<Class, String> {
        let effect = match self.effect {
            SetupEffect::Pure => Effect::Safe,
            SetupEffect::SideEffect => Effect::AtMostOnce,
            SetupEffect::Token => Effect::Keyed {
                group: match self.group.ok_or("a tariff with effect token lacks group")? {
                    SetupGroup::All => Group::All,
                    SetupGroup::Zone => Group::Zone,
                    SetupGroup::Cell => Group::Pod,
                },
                window: Span::from_ms(self.window_ms.ok_or("a tariff with effect token lacks windowMs")?),
            },
        };
        Ok(Class {
            target: Span::from_ms(self.latency_target_ms),
            target_stretch: self.aim_stretch,
            deadline: Span::from_ms(self.deadline_ms),
            value: self.value,
            late_value: self.late_value,
            effect,
        })
    }
}

pub fn decode(text: &[u8]) -> Result<Setup, String> {
    let setup: Text = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let place = |name: &str| setup.report.columns.iter().position(|column| column == name);
    let columns = LoadColumns { in_flight: place("busy_reqs"), queued: place("pending") };
    let answers = matches!(setup.report.how, How::Answers);
    let asked = answers && setup.allowed.probes && columns.in_flight.or(columns.queued).is_some();
    let class_names = setup.classes.iter().map(|class| class.name.clone()).collect();
    let tenant_names = setup.tenants.iter().map(|tenant| tenant.name.clone()).collect();
    let (dial, idle) = (setup.allowed.dial_timeout_ms, setup.allowed.conn_idle_ms);
    let classes = setup.classes.into_iter().map(SetupClass::decode).collect::<Result<_, _>>();
    let settings = Settings {
        tier: setup.tier,
        instances: setup.balancers.max(1),
        ordinal: setup.ordinal,
        zone: ZoneId(setup.locality),
        cross_zone_priced: setup.penalties.cross_zone > 0.0,
        report_price: asked.then_some(setup.penalties.probe),
        batch_interval: Span::from_ms(setup.round_ms),
        classes: classes.map_err(|e| format!("settings: {e}"))?,
        tenant_quotas: setup.tenants.iter().map(|tenant| tenant.allowance_per_s).collect(),
        over_quota_value: setup.beyond_share_value,
        list_on_request: matches!(setup.discovery, Discovery::OnRequest),
        max_attempts: setup.allowed.max_attempts,
        full_may_have_run: setup.obligations.shed_after_start,
        only_draining_excludes: setup.obligations.drain_binds_alone,
        cancellation: setup.allowed.cancelling,
        key_affinity: setup.family_info.warm_keys,
        peer_messages: setup.allowed.peers,
        max_backoff: setup.allowed.retry_after.then(|| Span::from_ms(setup.allowed.max_retry_after_ms)),
        slow_start: SlowStart {
            initial_share: setup.obligations.cold_share,
            ramp: Span::from_ms(setup.obligations.ramp_time_ms),
            overload_ratio: setup.obligations.fall_multiple,
            overload_window: Span::from_ms(setup.obligations.tip_after_ms),
        },
    };
    let (dial, idle) = (Span::from_ms(dial), Span::from_ms(idle));
    let (zone_names, peers) = (setup.zones, setup.peer_addresses);
    if !peers.is_empty() && peers.len() != settings.instances {
        return Err(format!("settings: {} peerAddresses for {} balancers", peers.len(), settings.instances));
    }
    Ok(Setup {
        settings,
        load_columns: columns,
        class_names,
        tenant_names,
        zone_names,
        peer_addresses: peers,
        fleet: None,
        connect_timeout: dial,
        backend_idle_timeout: idle,
    })
}
