//! The project's own form of a configuration, in TOML. All faults of a file are told, each with its line, not
//! the first only.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use sparlug::id::ZoneId;
use sparlug::settings::{Class, Effect, Group, Settings, SlowStart};
use sparlug::time::Span;
use toml::Spanned;

use crate::fleet::FleetText;
use crate::{LoadColumns, Setup};

/// One thing wrong with a file.
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
    Agent(SocketAddr),
    /// It stands in the file, and changes when the file is read anew.
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
    /// Where operators call.
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
struct Text {
    name: Option<Spanned<String>>,
    seed: Option<Spanned<String>>,
    listener: Vec<Spanned<Listener>>,
    management: Option<Spanned<Listener>>,
    limits: Limits,
    log: Log,
    discovery: Option<Spanned<Discovery>>,
    tier: Tier,
    fleet: Option<Spanned<FleetText>>,
    backends: Backends,
    answers: Answers,
    #[serde(rename = "tariff")]
    class: BTreeMap<String, Spanned<ClassText>>,
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
    backend: Vec<Spanned<BackendText>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BackendText {
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
struct Answers {
    longest_retry_after: Option<Spanned<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ClassText {
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

/// A span as people write it.
pub fn parse_span(text: &str) -> Result<Span, String> {
    let wanted =
        || format!("{text:?} is no span: wanted a number with us, ms, s, min or h, such as \"250ms\"");
    let split = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(wanted)?;
    let (number, unit) = text.split_at(split);
    let unit = match unit {
        "us" => 1e-3,
        "ms" => 1.0,
        "s" => 1e3,
        "min" => 6e4,
        "h" => 3.6e6,
        _ => return Err(wanted()),
    };
    let number: f64 = number.trim().parse().map_err(|_| wanted())?;
    if !(0.0..=1e6).contains(&number) {
        return Err(wanted());
    }
    Ok(Span::from_ms(number * unit))
}

pub(crate) struct Checker<'a> {
    text: &'a str,
    faults: Vec<Diagnostic>,
}

impl Checker<'_> {
    fn line(&self, at: usize) -> usize {
        self.text[..at.min(self.text.len())].matches('\n').count() + 1
    }

    pub(crate) fn fault(&mut self, at: usize, text: impl Into<String>) {
        let line = self.line(at);
        self.faults.push(Diagnostic { line, text: text.into() });
    }

    /// A value that is read by `read`, or a default where there is none.
    pub(crate) fn value<T, U>(
        &mut self,
        field: &str,
        found: &Option<Spanned<T>>,
        read: impl Fn(&T) -> Result<U, String>,
    ) -> Option<U> {
        let found = found.as_ref()?;
        match read(found.get_ref()) {
            Ok(value) => Some(value),
            Err(why) => {
                self.fault(found.span().start, format!("{field}: {why}"));
                None
            }
        }
    }

    fn span(&mut self, field: &str, found: &Option<Spanned<String>>, or: &str) -> Span {
        let or = parse_span(or).unwrap_or_default();
        self.value(field, found, |text| parse_span(text)).unwrap_or(or)
    }

    fn above(&mut self, field: &str, found: &Option<Spanned<String>>, or: &str) -> Span {
        let read = |text: &String| match parse_span(text) {
            Ok(Span::ZERO) => Err("wanted a span above 0".to_string()),
            read => read,
        };
        self.value(field, found, read).unwrap_or(parse_span(or).unwrap_or_default())
    }

    pub(crate) fn whole(
        &mut self,
        field: &str,
        found: &Option<Spanned<i64>>,
        (least, most): (i64, i64),
        or: i64,
    ) -> usize {
        let read = |n: &i64| {
            let fits = (least..=most).contains(n);
            fits.then_some(*n).ok_or_else(|| format!("{n}: wanted a whole number from {least} to {most}"))
        };
        self.value(field, found, read).unwrap_or(or) as usize
    }

    fn number(
        &mut self,
        field: &str,
        found: &Option<Spanned<f64>>,
        (least, most): (f64, f64),
        or: f64,
    ) -> f64 {
        let read = |n: &f64| {
            let fits = (least..=most).contains(n);
            fits.then_some(*n).ok_or_else(|| format!("{n}: wanted a number from {least} to {most}"))
        };
        self.value(field, found, read).unwrap_or(or)
    }

    pub(crate) fn address(
        &mut self,
        field: &str,
        found: &Option<Spanned<String>>,
        at: usize,
    ) -> Option<SocketAddr> {
        let read = |text: &String| {
            let wanted = |_| format!("{text:?}: wanted an address and a port, such as \"127.0.0.1:8080\"");
            text.parse::<SocketAddr>().map_err(wanted)
        };
        if found.is_none() {
            self.fault(at, format!("{field}: missing; wanted an address and a port"));
        }
        self.value(field, found, read)
    }

    /// Where the proxies hear each other, one address for each in the order of their numbers.
    fn peers(&mut self, found: &[Spanned<String>], instances: usize) -> Vec<SocketAddr> {
        let mut peers = Vec::new();
        for one in found {
            let (at, text) = (one.span().start, one.get_ref());
            match text.parse::<SocketAddr>() {
                Ok(peer) if peers.contains(&peer) => {
                    self.fault(at, format!("tier.peers: {text:?} is there twice"))
                }
                Ok(peer) if peer.port() == 0 => {
                    self.fault(at, format!("tier.peers: {text:?}: wanted a port above 0"))
                }
                Ok(peer) => peers.push(peer),
                Err(_) => self.fault(
                    at,
                    format!("tier.peers: {text:?}: wanted an address and a port, such as \"127.0.0.1:9601\""),
                ),
            }
        }
        if let Some(first) = found.first().filter(|_| found.len() != instances) {
            let at = first.span().start;
            self.fault(
                at,
                format!(
                    "tier.peers: {} addresses, wanted one for each of tier.proxies = {instances}",
                    found.len()
                ),
            );
        }
        peers
    }

    fn class(&mut self, name: &str, found: &Spanned<ClassText>) -> Class {
        let (at, t) = (found.span().start, found.get_ref());
        let field = |field: &str| format!("tariff.{name}.{field}");
        for (wanted, there) in [("goal", t.target.is_some()), ("cut_off", t.deadline.is_some())] {
            if !there {
                self.fault(at, format!("{}: missing; wanted a span, such as \"250ms\"", field(wanted)));
            }
        }
        if t.effect.is_none() {
            self.fault(
                at,
                format!("{}: missing; wanted reissuable, numbered or at-most-once", field("effect")),
            );
        }
        let before = self.faults.len();
        let target = self.above(&field("goal"), &t.target, "1s");
        let deadline = self.above(&field("cut_off"), &t.deadline, "1s");
        if self.faults.len() == before && t.target.is_some() && t.deadline.is_some() && target > deadline {
            self.fault(at, format!("{}: is longer than the cut-off", field("goal")));
        }
        let effect = self.value(&field("effect"), &t.effect, |text| match text.as_str() {
            "reissuable" => Ok(Effect::Safe),
            "at-most-once" => Ok(Effect::AtMostOnce),
            "numbered" => Ok(Effect::Keyed { group: Group::All, window: Span::ZERO }),
            _ => Err(format!("{text:?}: wanted reissuable, numbered or at-most-once")),
        });
        let group = self.value(&field("group"), &t.group, |text| match text.as_str() {
            "all" => Ok(Group::All),
            "zone" => Ok(Group::Zone),
            "pod" => Ok(Group::Pod),
            _ => Err(format!("{text:?}: wanted all, zone or pod")),
        });
        let window = t.window.is_some().then(|| self.above(&field("window"), &t.window, "1s"));
        let effect = match effect {
            Some(Effect::Keyed { .. }) => {
                if t.group.is_none() || t.window.is_none() {
                    self.fault(at, format!("tariff.{name}: a numbered effect wants group and window"));
                }
                Effect::Keyed { group: group.unwrap_or(Group::Pod), window: window.unwrap_or_default() }
            }
            effect => {
                if effect.is_some() && (t.group.is_some() || t.window.is_some()) {
                    self.fault(
                        at,
                        format!("tariff.{name}: group and window go with effect = \"numbered\" only"),
                    );
                }
                effect.unwrap_or(Effect::AtMostOnce)
            }
        };
        let value = self.number(&field("value"), &t.value, (0.0, 1e9), 1.0);
        let late_value = self.number(&field("late_value"), &t.late_value, (0.0, 1.0), 0.0);
        Class { value, late_value, ..Class::new(target, deadline, effect) }
    }

    fn backend(&mut self, found: &Spanned<BackendText>, zones: &[String]) -> Option<Backend> {
        let (at, b) = (found.span().start, found.get_ref());
        let address = self.address("discovery.backend.address", &b.address, at);
        if b.name.is_none() {
            self.fault(
                at,
                "discovery.backend.name: missing; wanted a name that stays when the address changes",
            );
        }
        let zone = self.value("discovery.backend.zone", &b.zone, |zone| place(zone, zones));
        let size = self.number("discovery.backend.size", &b.size, (1e-3, 1e6), 1.0);
        let name = b.name.as_ref()?.get_ref().clone();
        Some(Backend { name, address: address?, zone, size, draining: b.drains })
    }
}

fn place(zone: &str, zones: &[String]) -> Result<usize, String> {
    let found = zones.iter().position(|known| known == zone);
    found.ok_or_else(|| format!("{zone:?}: wanted one of tier.zones: {}", zones.join(", ")))
}

/// Reads what serde can use; what it can't is told and blanked out, and the rest is read again.
fn parse(text: &str, faults: &mut Vec<Diagnostic>) -> Text {
    let mut rest = text.to_string();
    for _ in 0..100 {
        let error = match toml::from_str::<Text>(&rest) {
            Ok(read) => return read,
            Err(error) => error,
        };
        let span = error.span().unwrap_or(0..0);
        let line = rest[..span.start.min(rest.len())].matches('\n').count() + 1;
        faults.push(Diagnostic { line, text: error.message().replace('\n', " ") });
        let from = rest[..span.start.min(rest.len())].rfind('\n').map_or(0, |at| at + 1);
        let to = rest[span.end.min(rest.len())..].find('\n').map_or(rest.len(), |at| span.end + at);
        // A table goes with all its fields: guards against their being told as those of the one before.
        let to = match rest[from..].trim_start().starts_with('[') {
            true => rest[to..].find("\n[").map_or(rest.len(), |at| to + at),
            false => to,
        };
        let blank: String = rest[from..to].chars().map(|c| if c == '\n' { '\n' } else { ' ' }).collect();
        if rest[from..to].trim().is_empty() {
            break;
        }
        rest.replace_range(from..to, &blank);
    }
    Text::default()
}

/// Decodes a configuration; all that is wrong with it where it can't be used.
pub fn decode(text: &str) -> Result<NativeConfig, Vec<Diagnostic>> {
    let mut faults = Vec::new();
    let read = parse(text, &mut faults);
    let parsed = faults.is_empty();
    let mut c = Checker { text, faults };

    let name = read.name.as_ref().map(|name| name.get_ref().clone());
    let seed = c.value("seed", &read.seed, |text| {
        u64::from_str_radix(text, 16).map_err(|_| format!("{text:?}: wanted up to 16 hexadecimal digits"))
    });
    let listen = match read.listener.as_slice() {
        [one] => c.address("listener.address", &one.get_ref().address, one.span().start),
        [] if parsed => {
            c.fault(0, "listener: missing; wanted one [[listener]] with an address");
            None
        }
        [] => None,
        [_, second, ..] => {
            c.fault(second.span().start, "listener: wanted one only");
            None
        }
    };
    let sockets = c.whole("limits.sockets", &read.limits.sockets, (64, 1_000_000), 1024);
    let memory_mb = c.whole("limits.memory_mb", &read.limits.memory_mb, (16, 1_000_000), 192);
    let log_format = c.value("log.format", &read.log.format, |text| match text.as_str() {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err(format!("{text:?}: wanted text or json")),
    });

    let tier = &read.tier;
    let zones = if tier.zones.is_empty() { vec!["local".to_string()] } else { tier.zones.clone() };
    let zone = c.value("tier.zone", &tier.zone, |zone| place(zone, &zones)).unwrap_or(0);
    let instances = c.whole("tier.proxies", &tier.proxies, (1, 100_000), 1);
    let ordinal = c.whole("tier.ordinal", &tier.ordinal, (0, instances as i64 - 1), 0);
    let peers = c.peers(&tier.peers, instances);
    let beside = tier.peers.first().map(|peer| peer.span().start);
    let fleet = read.fleet.as_ref().and_then(|fleet| c.fleet(fleet, read.name.as_ref(), beside));
    let above = c.whole("tier.above", &tier.above, (0, 100_000), 0);

    let directory = match &read.discovery {
        None if parsed => {
            c.fault(
                0,
                "discovery: missing; wanted [discovery] with an agent or a list of [[discovery.backend]]",
            );
            None
        }
        None => None,
        Some(found) => {
            let (at, d) = (found.span().start, found.get_ref());
            match (&d.agent, d.backend.as_slice()) {
                (Some(_), []) => c.address("discovery.agent", &d.agent, at).map(BackendSource::Agent),
                (None, []) => {
                    c.fault(at, "discovery: wanted an agent or at least one [[discovery.backend]]");
                    None
                }
                (Some(_), _) => {
                    c.fault(at, "discovery: wanted an agent or a list, not both");
                    None
                }
                (None, list) => {
                    let backends: Vec<Backend> =
                        list.iter().filter_map(|one| c.backend(one, &zones)).collect();
                    for (n, one) in backends.iter().enumerate() {
                        if backends[..n].iter().any(|other| other.name == one.name) {
                            c.fault(at, format!("discovery.backend: {:?} is listed twice", one.name));
                        }
                    }
                    Some(BackendSource::Static(backends))
                }
            }
        }
    };

    let b = &read.backends;
    let (dial, idle) = (c.above("backends.dial", &b.dial, "1s"), c.above("backends.idle", &b.idle, "60s"));
    let max_attempts = c.whole("backends.most_forwards", &b.most_attempts, (1, 100), 3) as u16;
    let slow_start = SlowStart {
        initial_share: c.number("backends.cold_share", &b.cold_share, (0.01, 1.0), 0.3),
        ramp: c.span("backends.warm_up", &b.warm_up, "8s"),
        overload_ratio: c.number("backends.cold_multiple", &b.cold_multiple, (1.0, 1000.0), 3.0),
        overload_window: c.above("backends.cold_window", &b.cold_window, "3s"),
    };
    let retry_after = &read.answers.longest_retry_after;
    let max_backoff = retry_after.is_some().then(|| c.span("answers.longest_retry_after", retry_after, "1s"));

    if read.class.is_empty() && parsed {
        c.fault(0, "tariff: missing; wanted at least one [tariff.NAME]");
    }
    if let Some((name, class)) =
        read.class.iter().find(|(name, _)| name.is_empty() || name.contains(['/', ' ', '?']))
    {
        c.fault(
            class.span().start,
            format!("tariff.{name:?}: wanted a word, as it is the first part of the path"),
        );
    }
    let classes: Vec<Class> = read.class.iter().map(|(name, class)| c.class(name, class)).collect();
    let (reports, probes) = (b.reports.unwrap_or(true), b.probes.unwrap_or(true));
    let management = read.management.as_ref();
    let management =
        management.and_then(|at| c.address("management.address", &at.get_ref().address, at.span().start));
    let (Some(listen), Some(directory), true) = (listen, directory, c.faults.is_empty()) else {
        c.faults.sort();
        c.faults.dedup();
        return Err(c.faults);
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
        key_affinity: b.remember_keys,
        peer_messages: !peers.is_empty() || fleet.is_some(),
        max_backoff,
        full_may_have_run: b.full_proves_nothing,
        only_draining_excludes: b.only_draining_binds,
        slow_start,
    };
    let columns =
        if reports { LoadColumns { in_flight: Some(0), queued: Some(1) } } else { LoadColumns::default() };
    let setup = Setup {
        settings,
        load_columns: columns,
        class_names: read.class.into_keys().collect(),
        tenant_names: Vec::new(),
        zone_names: zones,
        peer_addresses: peers,
        fleet,
        connect_timeout: dial,
        backend_idle_timeout: idle,
    };
    let log = read.log.filter;
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
        backend_source: directory,
        setup,
    })
}
