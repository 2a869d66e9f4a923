//! Decodes the configuration of an instance into the settings of the decision module and what the adapters
//! around it need. Outer names of configuration fields occur only in this crate: the adapters use the
//! decision module's own terms.

pub mod fleet;
pub mod native;

use std::net::SocketAddr;

use serde::Deserialize;
use sparlug::event::Load;
use sparlug::id::ZoneId;
use sparlug::settings::{Class, Effect, Group, Settings, SlowStart};
use sparlug::time::Span;

/// The positions of the values that the decision module reads in a load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadColumns {
    pub in_flight: Option<usize>,
    pub queued: Option<usize>,
}

/// The configuration of an instance: the settings of its decision module, and what only its adapter reads.
#[derive(Debug)]
pub struct Setup {
    pub settings: Settings,
    pub load_columns: LoadColumns,
    /// In the order of the classes in `settings`.
    pub class_names: Vec<String>,
    /// In the order of the tenants in `settings`.
    pub tenant_names: Vec<String>,
    /// Ordered by the zones' ids.
    pub zone_names: Vec<String>,
    /// The addresses of all proxies of the tier for messages between peers, ordered by ordinal.
    pub peer_addresses: Vec<SocketAddr>,
    /// The fleet that the proxy is a member of, if any; never set by the platform's JSON settings.
    pub fleet: Option<fleet::FleetSetup>,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Span,
    /// How long a backend keeps an idle connection before it closes it.
    pub backend_idle_timeout: Span,
}

/// Builds a load report from named values, under the names of the platform's columns or of the HTTP header.
/// Negative values and those that are not finite are ignored.
pub fn load_from_named_values<'a>(values: impl Iterator<Item = (&'a str, f64)>) -> Load {
    let mut load = Load::default();
    for (name, value) in values.filter(|(_, value)| value.is_finite() && *value >= 0.0) {
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
struct RawSettings {
    tier: usize,
    balancers: usize,
    #[serde(default)]
    ordinal: usize,
    #[serde(default)]
    locality: u16,
    round_ms: f64,
    discovery: Discovery,
    #[serde(rename = "tariffs")]
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default = "default_over_quota_value")]
    beyond_share_value: f64,
    allowed: Allowed,
    obligations: Obligations,
    #[serde(default)]
    penalties: Penalties,
    #[serde(default)]
    report: LoadReport,
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
struct RawClass {
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
    effect: RawEffect,
    group: Option<RawGroup>,
    window_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawGroup {
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
    #[serde(default = "default_idle_ms")]
    conn_idle_ms: f64,
    #[serde(default = "default_dial_timeout_ms")]
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
enum ReportMethod {
    Answers,
    Probe,
    #[default]
    None,
}

#[derive(Default, Deserialize)]
struct LoadReport {
    #[serde(default)]
    how: ReportMethod,
    #[serde(default)]
    columns: Vec<String>,
}

fn default_over_quota_value() -> f64 {
    1.0
}

fn default_dial_timeout_ms() -> f64 {
    1000.0
}

fn default_idle_ms() -> f64 {
    60_000.0
}

impl RawClass {
    fn decode(self) -> Result<Class, String> {
        let effect = match self.effect {
            RawEffect::Pure => Effect::Safe,
            RawEffect::SideEffect => Effect::AtMostOnce,
            RawEffect::Token => Effect::Keyed {
                group: match self.group.ok_or("a tariff with effect token lacks group")? {
                    RawGroup::All => Group::All,
                    RawGroup::Zone => Group::Zone,
                    RawGroup::Cell => Group::Pod,
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

/// Decodes the settings of an instance from the platform's JSON.
pub fn decode(text: &[u8]) -> Result<Setup, String> {
    let raw: RawSettings = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let column = |name: &str| raw.report.columns.iter().position(|column| column == name);
    let load_columns = LoadColumns { in_flight: column("busy_reqs"), queued: column("pending") };
    let in_responses = matches!(raw.report.how, ReportMethod::Answers);
    let pollable =
        in_responses && raw.allowed.probes && load_columns.in_flight.or(load_columns.queued).is_some();
    let class_names = raw.classes.iter().map(|class| class.name.clone()).collect();
    let tenant_names = raw.tenants.iter().map(|tenant| tenant.name.clone()).collect();
    let (dial_timeout_ms, conn_idle_ms) = (raw.allowed.dial_timeout_ms, raw.allowed.conn_idle_ms);
    let classes = raw.classes.into_iter().map(RawClass::decode).collect::<Result<_, _>>();
    let settings = Settings {
        tier: raw.tier,
        instances: raw.balancers.max(1),
        ordinal: raw.ordinal,
        zone: ZoneId(raw.locality),
        cross_zone_priced: raw.penalties.cross_zone > 0.0,
        report_price: pollable.then_some(raw.penalties.probe),
        batch_interval: Span::from_ms(raw.round_ms),
        classes: classes.map_err(|e| format!("settings: {e}"))?,
        tenant_quotas: raw.tenants.iter().map(|tenant| tenant.allowance_per_s).collect(),
        over_quota_value: raw.beyond_share_value,
        list_on_request: matches!(raw.discovery, Discovery::OnRequest),
        max_attempts: raw.allowed.max_attempts,
        full_may_have_run: raw.obligations.shed_after_start,
        only_draining_excludes: raw.obligations.drain_binds_alone,
        cancellation: raw.allowed.cancelling,
        key_affinity: raw.family_info.warm_keys,
        peer_messages: raw.allowed.peers,
        max_backoff: raw.allowed.retry_after.then(|| Span::from_ms(raw.allowed.max_retry_after_ms)),
        slow_start: SlowStart {
            initial_share: raw.obligations.cold_share,
            ramp: Span::from_ms(raw.obligations.ramp_time_ms),
            overload_ratio: raw.obligations.fall_multiple,
            overload_window: Span::from_ms(raw.obligations.tip_after_ms),
        },
    };
    let (connect_timeout, backend_idle_timeout) =
        (Span::from_ms(dial_timeout_ms), Span::from_ms(conn_idle_ms));
    let (zone_names, peer_addresses) = (raw.zones, raw.peer_addresses);
    if !peer_addresses.is_empty() && peer_addresses.len() != settings.instances {
        return Err(format!(
            "settings: {} peerAddresses for {} balancers",
            peer_addresses.len(),
            settings.instances
        ));
    }
    Ok(Setup {
        settings,
        load_columns,
        class_names,
        tenant_names,
        zone_names,
        peer_addresses,
        fleet: None,
        connect_timeout,
        backend_idle_timeout,
    })
}
