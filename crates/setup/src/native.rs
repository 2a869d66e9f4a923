//! The project's own configuration format, TOML. Decoding reports all errors of a file, each with its line,
//! instead of stopping at the first.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use sparlug::id::ZoneId;
use sparlug::settings::{Class, Effect, Group, Settings, SlowStart};
use sparlug::time::Span;
use toml::Spanned;

use crate::fleet::RawFleet;
use crate::{LoadColumns, Setup};

/// One error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    pub line: usize,
    pub text: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.text)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// Where the list of backends comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendSource {
    /// A discovery agent at this address.
    Agent(SocketAddr),
    /// Listed in the file; the list changes when the file is reloaded.
    Static(Vec<Backend>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub zone: Option<usize>,
    pub size: f64,
    pub draining: bool,
}

/// A configuration, decoded and checked.
pub struct NativeConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// The address of the management endpoint.
    pub management: Option<SocketAddr>,
    pub seed: Option<u64>,
    pub sockets: usize,
    pub memory_mb: usize,
    pub log: Option<String>,
    pub log_format: LogFormat,
    pub backend_source: BackendSource,
    pub setup: Setup,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawConfig {
    name: Option<Spanned<String>>,
    seed: Option<Spanned<String>>,
    listener: Vec<Spanned<Listener>>,
    management: Option<Spanned<Listener>>,
    limits: Limits,
    log: Log,
    discovery: Option<Spanned<Discovery>>,
    tier: Tier,
    fleet: Option<Spanned<RawFleet>>,
    backends: Backends,
    #[serde(rename = "answers")]
    responses: Responses,
    #[serde(rename = "tariff")]
    class: BTreeMap<String, Spanned<RawClass>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Listener {
    address: Option<Spanned<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    sockets: Option<Spanned<i64>>,
    memory_mb: Option<Spanned<i64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Log {
    filter: Option<String>,
    format: Option<Spanned<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Discovery {
    agent: Option<Spanned<String>>,
    backend: Vec<Spanned<RawBackend>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawBackend {
    name: Option<Spanned<String>>,
    address: Option<Spanned<String>>,
    zone: Option<Spanned<String>>,
    size: Option<Spanned<f64>>,
    drains: bool,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Tier {
    above: Option<Spanned<i64>>,
    proxies: Option<Spanned<i64>>,
    ordinal: Option<Spanned<i64>>,
    zones: Vec<String>,
    zone: Option<Spanned<String>>,
    crossing_priced: bool,
    peers: Vec<Spanned<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Backends {
    dial: Option<Spanned<String>>,
    idle: Option<Spanned<String>>,
    #[serde(rename = "most_forwards")]
    most_attempts: Option<Spanned<i64>>,
    reports: Option<bool>,
    probes: Option<bool>,
    cold_share: Option<Spanned<f64>>,
    warm_up: Option<Spanned<String>>,
    cold_multiple: Option<Spanned<f64>>,
    cold_window: Option<Spanned<String>>,
    full_proves_nothing: bool,
    only_draining_binds: bool,
    remember_keys: bool,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Responses {
    longest_retry_after: Option<Spanned<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawClass {
    #[serde(rename = "goal")]
    target: Option<Spanned<String>>,
    #[serde(rename = "cut_off")]
    deadline: Option<Spanned<String>>,
    value: Option<Spanned<f64>>,
    late_value: Option<Spanned<f64>>,
    effect: Option<Spanned<String>>,
    group: Option<Spanned<String>>,
    window: Option<Spanned<String>>,
}

/// Parses a time span with its unit, such as `250ms`.
pub fn parse_span(text: &str) -> Result<Span, String> {
    let error = || {
        format!("{text:?} is not a time span: wanted a number with us, ms, s, min or h, such as \"250ms\"")
    };
    let split = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(error)?;
    let (number, unit) = text.split_at(split);
    let unit = match unit {
        "us" => 1e-3,
        "ms" => 1.0,
        "s" => 1e3,
        "min" => 6e4,
        "h" => 3.6e6,
        _ => return Err(error()),
    };
    let number: f64 = number.trim().parse().map_err(|_| error())?;
    if !(0.0..=1e6).contains(&number) {
        return Err(error());
    }
    Ok(Span::from_ms(number * unit))
}

/// Checks the fields of a configuration and collects what is wrong with them.
pub(crate) struct Checker<'a> {
    text: &'a str,
    diagnostics: Vec<Diagnostic>,
}

impl Checker<'_> {
    fn line_at(&self, offset: usize) -> usize {
        self.text[..offset.min(self.text.len())].matches('\n').count() + 1
    }

    pub(crate) fn report(&mut self, offset: usize, text: impl Into<String>) {
        let line = self.line_at(offset);
        self.diagnostics.push(Diagnostic { line, text: text.into() });
    }

    /// Parses an optional field with `parse`. `None` if the field is missing or invalid.
    pub(crate) fn value<T, U>(
        &mut self,
        field: &str,
        value: &Option<Spanned<T>>,
        parse: impl Fn(&T) -> Result<U, String>,
    ) -> Option<U> {
        let value = value.as_ref()?;
        match parse(value.get_ref()) {
            Ok(parsed) => Some(parsed),
            Err(why) => {
                self.report(value.span().start, format!("{field}: {why}"));
                None
            }
        }
    }

    fn span(&mut self, field: &str, value: &Option<Spanned<String>>, default: &str) -> Span {
        let default = parse_span(default).unwrap_or_default();
        self.value(field, value, |text| parse_span(text)).unwrap_or(default)
    }

    fn positive_span(&mut self, field: &str, value: &Option<Spanned<String>>, default: &str) -> Span {
        let parse = |text: &String| match parse_span(text) {
            Ok(Span::ZERO) => Err("wanted a span above 0".to_string()),
            parsed => parsed,
        };
        self.value(field, value, parse).unwrap_or(parse_span(default).unwrap_or_default())
    }

    pub(crate) fn integer(
        &mut self,
        field: &str,
        value: &Option<Spanned<i64>>,
        (min, max): (i64, i64),
        default: i64,
    ) -> usize {
        let parse = |n: &i64| {
            let in_range = (min..=max).contains(n);
            in_range.then_some(*n).ok_or_else(|| format!("{n}: wanted a whole number from {min} to {max}"))
        };
        self.value(field, value, parse).unwrap_or(default) as usize
    }

    fn number(
        &mut self,
        field: &str,
        value: &Option<Spanned<f64>>,
        (min, max): (f64, f64),
        default: f64,
    ) -> f64 {
        let parse = |n: &f64| {
            let in_range = (min..=max).contains(n);
            in_range.then_some(*n).ok_or_else(|| format!("{n}: wanted a number from {min} to {max}"))
        };
        self.value(field, value, parse).unwrap_or(default)
    }

    pub(crate) fn address(
        &mut self,
        field: &str,
        value: &Option<Spanned<String>>,
        offset: usize,
    ) -> Option<SocketAddr> {
        let parse = |text: &String| {
            let error = |_| format!("{text:?}: wanted an address and a port, such as \"127.0.0.1:8080\"");
            text.parse::<SocketAddr>().map_err(error)
        };
        if value.is_none() {
            self.report(offset, format!("{field}: missing; wanted an address and a port"));
        }
        self.value(field, value, parse)
    }

    /// The peer addresses of all proxies of the tier, ordered by ordinal.
    fn peers(&mut self, addresses: &[Spanned<String>], instances: usize) -> Vec<SocketAddr> {
        let mut peers = Vec::new();
        for address in addresses {
            let (offset, text) = (address.span().start, address.get_ref());
            match text.parse::<SocketAddr>() {
                Ok(peer) if peers.contains(&peer) => {
                    self.report(offset, format!("tier.peers: {text:?} is listed twice"))
                }
                Ok(peer) if peer.port() == 0 => {
                    self.report(offset, format!("tier.peers: {text:?}: wanted a port above 0"))
                }
                Ok(peer) => peers.push(peer),
                Err(_) => self.report(
                    offset,
                    format!("tier.peers: {text:?}: wanted an address and a port, such as \"127.0.0.1:9601\""),
                ),
            }
        }
        if let Some(first) = addresses.first().filter(|_| addresses.len() != instances) {
            let offset = first.span().start;
            self.report(
                offset,
                format!(
                    "tier.peers: {} addresses, wanted one for each of tier.proxies = {instances}",
                    addresses.len()
                ),
            );
        }
        peers
    }

    fn class(&mut self, name: &str, class: &Spanned<RawClass>) -> Class {
        let (offset, class) = (class.span().start, class.get_ref());
        let field = |field: &str| format!("tariff.{name}.{field}");
        for (required, present) in [("goal", class.target.is_some()), ("cut_off", class.deadline.is_some())] {
            if !present {
                self.report(
                    offset,
                    format!("{}: missing; wanted a span, such as \"250ms\"", field(required)),
                );
            }
        }
        if class.effect.is_none() {
            self.report(
                offset,
                format!("{}: missing; wanted reissuable, numbered or at-most-once", field("effect")),
            );
        }
        let diagnostics_before = self.diagnostics.len();
        let target = self.positive_span(&field("goal"), &class.target, "1s");
        let deadline = self.positive_span(&field("cut_off"), &class.deadline, "1s");
        if self.diagnostics.len() == diagnostics_before
            && class.target.is_some()
            && class.deadline.is_some()
            && target > deadline
        {
            self.report(offset, format!("{}: is longer than the cut-off", field("goal")));
        }
        let effect = self.value(&field("effect"), &class.effect, |text| match text.as_str() {
            "reissuable" => Ok(Effect::Safe),
            "at-most-once" => Ok(Effect::AtMostOnce),
            "numbered" => Ok(Effect::Keyed { group: Group::All, window: Span::ZERO }),
            _ => Err(format!("{text:?}: wanted reissuable, numbered or at-most-once")),
        });
        let group = self.value(&field("group"), &class.group, |text| match text.as_str() {
            "all" => Ok(Group::All),
            "zone" => Ok(Group::Zone),
            "pod" => Ok(Group::Pod),
            _ => Err(format!("{text:?}: wanted all, zone or pod")),
        });
        let window =
            class.window.is_some().then(|| self.positive_span(&field("window"), &class.window, "1s"));
        let effect = match effect {
            Some(Effect::Keyed { .. }) => {
                if class.group.is_none() || class.window.is_none() {
                    self.report(offset, format!("tariff.{name}: a numbered effect needs group and window"));
                }
                Effect::Keyed { group: group.unwrap_or(Group::Pod), window: window.unwrap_or_default() }
            }
            effect => {
                if effect.is_some() && (class.group.is_some() || class.window.is_some()) {
                    self.report(
                        offset,
                        format!("tariff.{name}: group and window go with effect = \"numbered\" only"),
                    );
                }
                effect.unwrap_or(Effect::AtMostOnce)
            }
        };
        let value = self.number(&field("value"), &class.value, (0.0, 1e9), 1.0);
        let late_value = self.number(&field("late_value"), &class.late_value, (0.0, 1.0), 0.0);
        Class { value, late_value, ..Class::new(target, deadline, effect) }
    }

    fn backend(&mut self, backend: &Spanned<RawBackend>, zones: &[String]) -> Option<Backend> {
        let (offset, backend) = (backend.span().start, backend.get_ref());
        let address = self.address("discovery.backend.address", &backend.address, offset);
        if backend.name.is_none() {
            self.report(
                offset,
                "discovery.backend.name: missing; wanted a name that stays when the address changes",
            );
        }
        let zone = self.value("discovery.backend.zone", &backend.zone, |zone| zone_index(zone, zones));
        let size = self.number("discovery.backend.size", &backend.size, (1e-3, 1e6), 1.0);
        let name = backend.name.as_ref()?.get_ref().clone();
        Some(Backend { name, address: address?, zone, size, draining: backend.drains })
    }
}

/// The position of a zone among the names of `tier.zones`.
fn zone_index(zone: &str, zones: &[String]) -> Result<usize, String> {
    let index = zones.iter().position(|name| name == zone);
    index.ok_or_else(|| format!("{zone:?}: wanted one of tier.zones: {}", zones.join(", ")))
}

/// Decodes the file with serde. Text that cannot be decoded is reported and blanked out, and the rest is
/// decoded again, up to 100 times, so that one run reports all syntax and type errors.
fn parse(text: &str, diagnostics: &mut Vec<Diagnostic>) -> RawConfig {
    let mut rest = text.to_string();
    for _ in 0..100 {
        let error = match toml::from_str::<RawConfig>(&rest) {
            Ok(config) => return config,
            Err(error) => error,
        };
        let span = error.span().unwrap_or(0..0);
        let line = rest[..span.start.min(rest.len())].matches('\n').count() + 1;
        diagnostics.push(Diagnostic { line, text: error.message().replace('\n', " ") });
        let start = rest[..span.start.min(rest.len())].rfind('\n').map_or(0, |newline| newline + 1);
        let end =
            rest[span.end.min(rest.len())..].find('\n').map_or(rest.len(), |newline| span.end + newline);
        // Blanks a table together with its fields; otherwise they would be reported as fields of the table
        // before.
        let end = match rest[start..].trim_start().starts_with('[') {
            true => rest[end..].find("\n[").map_or(rest.len(), |table| end + table),
            false => end,
        };
        let blank: String = rest[start..end].chars().map(|c| if c == '\n' { '\n' } else { ' ' }).collect();
        if rest[start..end].trim().is_empty() {
            break;
        }
        rest.replace_range(start..end, &blank);
    }
    RawConfig::default()
}

/// Decodes and checks a configuration. Returns all its errors, sorted by line, if it is invalid.
pub fn decode(text: &str) -> Result<NativeConfig, Vec<Diagnostic>> {
    let mut diagnostics = Vec::new();
    let raw = parse(text, &mut diagnostics);
    let well_formed = diagnostics.is_empty();
    let mut checker = Checker { text, diagnostics };

    let name = raw.name.as_ref().map(|name| name.get_ref().clone());
    let seed = checker.value("seed", &raw.seed, |text| {
        u64::from_str_radix(text, 16).map_err(|_| format!("{text:?}: wanted up to 16 hexadecimal digits"))
    });
    let listen = match raw.listener.as_slice() {
        [listener] => checker.address("listener.address", &listener.get_ref().address, listener.span().start),
        [] if well_formed => {
            checker.report(0, "listener: missing; wanted one [[listener]] with an address");
            None
        }
        [] => None,
        [_, second, ..] => {
            checker.report(second.span().start, "listener: wanted one only");
            None
        }
    };
    let sockets = checker.integer("limits.sockets", &raw.limits.sockets, (64, 1_000_000), 1024);
    let memory_mb = checker.integer("limits.memory_mb", &raw.limits.memory_mb, (16, 1_000_000), 192);
    let log_format = checker.value("log.format", &raw.log.format, |text| match text.as_str() {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err(format!("{text:?}: wanted text or json")),
    });

    let tier = &raw.tier;
    let zones = if tier.zones.is_empty() { vec!["local".to_string()] } else { tier.zones.clone() };
    let zone = checker.value("tier.zone", &tier.zone, |zone| zone_index(zone, &zones)).unwrap_or(0);
    let instances = checker.integer("tier.proxies", &tier.proxies, (1, 100_000), 1);
    let ordinal = checker.integer("tier.ordinal", &tier.ordinal, (0, instances as i64 - 1), 0);
    let peer_addresses = checker.peers(&tier.peers, instances);
    let first_peer = tier.peers.first().map(|peer| peer.span().start);
    let fleet = raw.fleet.as_ref().and_then(|fleet| checker.fleet(fleet, raw.name.as_ref(), first_peer));
    let above = checker.integer("tier.above", &tier.above, (0, 100_000), 0);

    let backend_source = match &raw.discovery {
        None if well_formed => {
            checker.report(
                0,
                "discovery: missing; wanted [discovery] with an agent or a list of [[discovery.backend]]",
            );
            None
        }
        None => None,
        Some(discovery) => {
            let (offset, discovery) = (discovery.span().start, discovery.get_ref());
            match (&discovery.agent, discovery.backend.as_slice()) {
                (Some(_), []) => {
                    checker.address("discovery.agent", &discovery.agent, offset).map(BackendSource::Agent)
                }
                (None, []) => {
                    checker
                        .report(offset, "discovery: wanted an agent or at least one [[discovery.backend]]");
                    None
                }
                (Some(_), _) => {
                    checker.report(offset, "discovery: wanted an agent or a list, not both");
                    None
                }
                (None, list) => {
                    let backends: Vec<Backend> =
                        list.iter().filter_map(|backend| checker.backend(backend, &zones)).collect();
                    for (index, backend) in backends.iter().enumerate() {
                        if backends[..index].iter().any(|other| other.name == backend.name) {
                            checker.report(
                                offset,
                                format!("discovery.backend: {:?} is listed twice", backend.name),
                            );
                        }
                    }
                    Some(BackendSource::Static(backends))
                }
            }
        }
    };

    let backends = &raw.backends;
    let (connect_timeout, backend_idle_timeout) = (
        checker.positive_span("backends.dial", &backends.dial, "1s"),
        checker.positive_span("backends.idle", &backends.idle, "60s"),
    );
    let max_attempts = checker.integer("backends.most_forwards", &backends.most_attempts, (1, 100), 3) as u16;
    let slow_start = SlowStart {
        initial_share: checker.number("backends.cold_share", &backends.cold_share, (0.01, 1.0), 0.3),
        ramp: checker.span("backends.warm_up", &backends.warm_up, "8s"),
        overload_ratio: checker.number("backends.cold_multiple", &backends.cold_multiple, (1.0, 1000.0), 3.0),
        overload_window: checker.positive_span("backends.cold_window", &backends.cold_window, "3s"),
    };
    let retry_after = &raw.responses.longest_retry_after;
    let max_backoff =
        retry_after.is_some().then(|| checker.span("answers.longest_retry_after", retry_after, "1s"));

    if raw.class.is_empty() && well_formed {
        checker.report(0, "tariff: missing; wanted at least one [tariff.NAME]");
    }
    if let Some((name, class)) =
        raw.class.iter().find(|(name, _)| name.is_empty() || name.contains(['/', ' ', '?']))
    {
        checker.report(
            class.span().start,
            format!("tariff.{name:?}: wanted a word, as it is the first part of the path"),
        );
    }
    let classes: Vec<Class> = raw.class.iter().map(|(name, class)| checker.class(name, class)).collect();
    let (reports, probes) = (backends.reports.unwrap_or(true), backends.probes.unwrap_or(true));
    let management = raw.management.as_ref();
    let management = management.and_then(|endpoint| {
        checker.address("management.address", &endpoint.get_ref().address, endpoint.span().start)
    });
    let (Some(listen), Some(backend_source), true) = (listen, backend_source, checker.diagnostics.is_empty())
    else {
        checker.diagnostics.sort();
        checker.diagnostics.dedup();
        return Err(checker.diagnostics);
    };
    let settings = Settings {
        tier: above,
        instances,
        ordinal,
        zone: ZoneId(zone as u16),
        cross_zone_priced: tier.crossing_priced,
        report_price: (reports && probes).then_some(0.0),
        batch_interval: Span::from_millis(1),
        classes,
        tenant_quotas: Vec::new(),
        over_quota_value: 1.0,
        list_on_request: false,
        max_attempts,
        cancellation: true,
        key_affinity: backends.remember_keys,
        peer_messages: !peer_addresses.is_empty() || fleet.is_some(),
        max_backoff,
        full_may_have_run: backends.full_proves_nothing,
        only_draining_excludes: backends.only_draining_binds,
        slow_start,
    };
    let load_columns =
        if reports { LoadColumns { in_flight: Some(0), queued: Some(1) } } else { LoadColumns::default() };
    let setup = Setup {
        settings,
        load_columns,
        class_names: raw.class.into_keys().collect(),
        tenant_names: Vec::new(),
        zone_names: zones,
        peer_addresses,
        fleet,
        connect_timeout,
        backend_idle_timeout,
    };
    let log = raw.log.filter;
    let (name, log_format) = (name.unwrap_or_else(|| "sparlug".to_string()), log_format.unwrap_or_default());
    Ok(NativeConfig {
        name,
        listen,
        management,
        seed,
        sockets,
        memory_mb,
        log,
        log_format,
        backend_source,
        setup,
    })
}
