//! An experiment as its file words it: the deployment, the load, a timeline of faults, bounds on the results,
//! and variants that are run beside each other.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::clock::Micros;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub about: String,
    pub lasts: Micros,
    /// How long the short form lasts, to which all times of faults and steps are drawn together.
    pub short: Micros,
    #[serde(default = "one_seed")]
    pub seed: u64,
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    pub load: Load,
    #[serde(default)]
    pub callers: Callers,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default, rename = "variant")]
    pub variants: Vec<Variant>,
    /// Fields with several values each; every variant is run with every choice of them.
    #[serde(default)]
    pub matrix: std::collections::BTreeMap<String, Vec<Value>>,
    #[serde(default, rename = "compare")]
    pub compares: Vec<Compare>,
}

fn one_seed() -> u64 {
    1
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// The proxy under test.
    Sparlug,
    /// The stand-in baseline, which picks at random, in turn, or where it has the fewest out.
    Random,
    RoundRobin,
    Least,
    /// None: callers go straight to the backends.
    Direct,
}

/// A deliberate fault of the stand-in balancer, which the ledger must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Planted {
    /// Sends again what may have run.
    Resend,
    /// Never gives one answer in twenty.
    DropAnswer,
    /// Goes on using a backend that it was told is draining.
    UseDrained,
    /// Answers twice.
    AnswerTwice,
    /// Says that nothing was done although it may have been.
    FalseRefusal,
    /// Gives an answer after the cut-off.
    AnswerLate,
    /// Sends everything to a backend that has just started.
    CrowdCold,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tier {
    pub name: String,
    pub backends: usize,
    pub proxies: usize,
    pub balance: Balance,
    /// Another build of the proxy; told its configuration by `ROUTER_CONFIG`.
    pub program: Option<PathBuf>,
    /// The core that its proxies are pinned to.
    pub pin: Option<usize>,
    pub cores: usize,
    /// Mean time that an exchange of work 1 takes on one core, and how it is spread.
    pub service: Micros,
    pub distribution: Distribution,
    pub cv: f64,
    /// How many may wait; more are turned away.
    pub queue: usize,
    /// From this many held on it slows down, by as much again for each so many more.
    pub crowd_at: usize,
    pub error_rate: f64,
    /// Drops what its caller has given up.
    pub cancels: bool,
    pub cold_share: f64,
    pub cold_ramp: Micros,
    /// A cold backend that is offered so many times what it can bear, over the window, falls over.
    pub fall_multiple: f64,
    pub fall_window: Micros,
    /// Answers bear load reports.
    pub reports: bool,
    /// Calls to the next tier for each exchange, one after another: least and most.
    pub calls: [u32; 2],
    pub idle: Micros,
    pub dial: Micros,
    /// How long after a change the agents have it.
    pub lag: Micros,
    pub drain_grace: Micros,
    pub max_forwards: u16,
    pub max_retry_after: Option<Micros>,
    /// Descriptors that a proxy is told it may hold.
    pub sockets: usize,
    /// A link before each backend.
    pub link: Option<Link>,
    /// The stand-in balancer's tries and time for each, and its deliberate fault.
    pub tries: u16,
    pub try_time: Option<Micros>,
    pub plant: Option<Planted>,
    /// Each backend is a process of its own, which a crash kills.
    pub apart: bool,
    /// Backends and proxies are dealt out over so many zones, and backends into pods of so many.
    pub zones: usize,
    pub pod: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    Fixed,
    Exponential,
    Lognormal,
}

impl Default for Tier {
    fn default() -> Tier {
        Tier {
            name: String::new(),
            backends: 4,
            proxies: 1,
            balance: Balance::Sparlug,
            program: None,
            pin: None,
            cores: 1,
            service: Micros::from_millis(10),
            distribution: Distribution::Lognormal,
            cv: 0.5,
            queue: 16,
            crowd_at: 1000,
            error_rate: 0.0,
            cancels: true,
            cold_share: 0.35,
            cold_ramp: Micros::from_millis(4000),
            fall_multiple: 3.0,
            fall_window: Micros::from_millis(1500),
            reports: true,
            calls: [0, 0],
            idle: Micros::from_millis(60_000),
            dial: Micros::from_millis(200),
            lag: Micros::from_millis(100),
            drain_grace: Micros::from_millis(400),
            max_forwards: 3,
            max_retry_after: Some(Micros::from_millis(600)),
            sockets: 4000,
            link: None,
            tries: 3,
            try_time: None,
            plant: None,
            apart: false,
            zones: 1,
            pod: 4,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Link {
    /// Each way.
    pub delay: Micros,
    pub jitter: Micros,
    /// Bytes a second each way; 0 is no bound.
    pub rate: u64,
    /// Bytes that may be under way in one direction of a connection.
    pub buffer: usize,
}

impl Default for Link {
    fn default() -> Link {
        Link { delay: Micros::ZERO, jitter: Micros::ZERO, rate: 0, buffer: 256 * 1024 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Reissuable,
    /// Repeats are dropped by the backends of a group, within a window.
    Numbered,
    AtMostOnce,
}

/// The backends that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    Zone,
    Pod,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub goal: Micros,
    pub cut_off: Micros,
    #[serde(default = "one")]
    pub value: f64,
    pub effect: Effect,
    pub group: Option<Group>,
    pub window: Option<Micros>,
    /// Its part of the arrivals.
    #[serde(default = "one")]
    pub share: f64,
    /// Times the service time.
    #[serde(default = "one")]
    pub work: f64,
    #[serde(default)]
    pub body: usize,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Exchanges a second that callers mean to send, whatever becomes of them (an open loop).
    #[serde(default)]
    pub rate: f64,
    /// Instead, so many callers that each send the next when the last is over (a closed loop).
    #[serde(default)]
    pub closed: usize,
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// So many at once, every so often, on top.
    pub burst: Option<Burst>,
    /// The part of the arrivals that comes from one caller.
    #[serde(default)]
    pub hot: f64,
    /// How many callers there are.
    #[serde(default = "fifty")]
    pub callers: usize,
}

fn fifty() -> usize {
    50
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at: Micros,
    pub rate: f64,
    /// Drawn as a line from the step before instead of at once.
    #[serde(default)]
    pub ramp: bool,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub every: Micros,
    pub size: usize,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// Further tries of what was refused or may be repeated.
    pub retries: u16,
    pub backoff: Micros,
    /// The part of them that waits as long as `Retry-After` says.
    pub honour: f64,
    pub marks: bool,
    /// Connections are kept for the next exchange.
    pub keep: bool,
    /// The part that leaves before its time, and after which part of the cut-off.
    pub impatient: f64,
    pub leave_at: f64,
    /// The parts that read answers, or send requests, a few bytes at a time.
    pub slow_read: f64,
    pub slow_send: f64,
    /// The part that sends nonsense instead.
    pub bad: f64,
    /// Connections that each ask once before the load begins, and say nothing after that.
    pub idle: usize,
    pub link: Option<Link>,
}

impl Default for Callers {
    fn default() -> Callers {
        Callers {
            retries: 0,
            backoff: Micros::from_millis(40),
            honour: 1.0,
            marks: false,
            keep: true,
            impatient: 0.0,
            leave_at: 0.5,
            slow_read: 0.0,
            slow_send: 0.0,
            bad: 0.0,
            idle: 0,
            link: None,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: Micros,
    /// How long it lasts; without it, until the end.
    #[serde(rename = "for")]
    pub lasts: Option<Micros>,
    /// Such as `front/s-0`, or `front/s-*` for all: s backends, p proxies, a agents, l links before backends,
    /// c links before proxies; or `callers`.
    pub part: String,
    pub kind: FaultKind,
    /// For the parts that match, one after another with this between.
    #[serde(default)]
    pub step: Micros,
    /// So many times, each so long after the last.
    #[serde(default = "once")]
    pub times: u32,
    #[serde(default)]
    pub every: Micros,
    /// How much: times as slow, a delay in ms, versions to jump back by.
    pub amount: Option<f64>,
    /// The part of the exchanges that it hits; all without it.
    pub chance: Option<f64>,
    /// Hits only each n-th exchange.
    pub nth: Option<u64>,
    /// Returns at another address.
    #[serde(default)]
    pub moves: bool,
    /// Of a link: only one direction.
    pub direction: Option<Direction>,
}

fn once() -> u32 {
    1
}

impl Fault {
    /// One that begins when it is given, by the name of its kind.
    pub fn now(part: &str, kind: &str, lasts: Micros) -> Option<Fault> {
        let kind = serde_json::from_value(serde_json::Value::String(kind.to_string())).ok()?;
        let (at, step, every, part) = (Micros::ZERO, Micros::ZERO, Micros::ZERO, part.to_string());
        let (amount, chance, nth, direction) = Default::default();
        let (times, moves, lasts) = (1, false, Some(lasts));
        Some(Fault { at, lasts, part, kind, step, times, every, amount, chance, nth, moves, direction })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the side that connected.
    Forth,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    // of backends
    Stall,
    Slow,
    Crash,
    Drain,
    Refuse,
    Error,
    NeverAccept,
    ResetBefore,
    ResetAfter,
    HalfAnswer,
    Noise,
    Endless,
    WrongLength,
    Late,
    Silence,
    // of agents
    Mute,
    Stale,
    JumpBack,
    Move,
    // of links
    Reset,
    Close,
    HalfOpen,
    BlackHole,
    Delay,
    // of proxies
    Kill,
    Term,
    Freeze,
    // of the callers
    Herd,
}

impl FaultKind {
    /// The letter of the parts that it can befall.
    pub fn letters(self) -> &'static str {
        use FaultKind::*;
        match self {
            Mute | Stale | JumpBack | Move => "a",
            Reset | Close | HalfOpen | BlackHole | Delay => "lc",
            Kill | Term | Freeze => "p",
            Herd => "k",
            _ => "s",
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The part of the intents that ends with an honoured answer.
    pub honoured_least: Option<f64>,
    pub honoured_most: Option<f64>,
    /// The same over the last part of the run, once all faults are over: whether it came back.
    pub end_honoured_least: Option<f64>,
    pub end_honoured_most: Option<f64>,
    pub p50_most: Option<Micros>,
    pub p99_most: Option<Micros>,
    /// Requests that reached the lowest tier for each intent.
    pub amplification_most: Option<f64>,
    /// Connections that must still stand idle at the end, and bytes of a proxy's own for each.
    pub idle_least: Option<u64>,
    pub idle_bytes_most: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    #[serde(default)]
    pub set: Table,
    /// Instead of the scenario's.
    pub bounds: Option<Bounds>,
    /// Its rules are not judged: a baseline may break them.
    #[serde(default)]
    pub lawless: bool,
}

/// A bound on the ratio of one figure between two variants.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Compare {
    pub figure: String,
    pub of: String,
    pub to: String,
    pub most: Option<f64>,
    pub least: Option<f64>,
}

/// A file with what is to be changed in it.
pub struct Source {
    pub path: PathBuf,
    text: String,
    table: Table,
}

impl Source {
    pub fn read(path: &Path) -> Result<Source, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        Source::of(path, text)
    }

    pub fn of(path: &Path, text: String) -> Result<Source, String> {
        let at = |e: toml::de::Error| {
            let line = e.span().map_or(1, |span| text[..span.start].matches('\n').count() + 1);
            format!("{}:{line}: {}", path.display(), e.message().replace('\n', " "))
        };
        // Once as it stands: guards against an unknown field being told without its line.
        toml::from_str::<Scenario>(&text).map_err(at)?;
        let table = toml::from_str(&text).map_err(at)?;
        Ok(Source { path: path.to_path_buf(), text, table })
    }

    /// Sets `a.b.0.c=value`; what is no TOML value is taken for text.
    pub fn set(&mut self, assignment: &str) -> Result<(), String> {
        let (key, text) =
            assignment.split_once('=').ok_or_else(|| format!("--set {assignment}: wanted KEY=VALUE"))?;
        let value = toml::from_str::<Table>(&format!("v = {text}"))
            .ok()
            .and_then(|mut table| table.remove("v"))
            .unwrap_or_else(|| Value::String(text.to_string()));
        set(&mut self.table, key, value).map_err(|e| format!("--set {assignment}: {e}"))
    }

    /// The scenario with a variant's changes.
    pub fn scenario(&self, variant: Option<&Variant>, short: bool) -> Result<Scenario, String> {
        let mut table = self.table.clone();
        let named = |e: String| match variant {
            Some(variant) => format!("{}: variant {}: {e}", self.path.display(), variant.name),
            None => format!("{}: {e}", self.path.display()),
        };
        for (key, value) in variant.iter().flat_map(|variant| &variant.set) {
            set(&mut table, key, value.clone()).map_err(named)?;
        }
        let scenario = Value::Table(table).try_into::<Scenario>();
        let mut scenario = scenario.map_err(|e| named(e.message().replace('\n', " ")))?;
        if let Some(bounds) = variant.and_then(|variant| variant.bounds.clone()) {
            scenario.bounds = bounds;
        }
        self.check(&scenario)?;
        if short {
            scenario.draw_together(scenario.short.secs() / scenario.lasts.secs());
        }
        Ok(scenario)
    }

    /// The line of the n-th table of an array.
    fn line_of(&self, header: &str, n: usize) -> usize {
        let mut found = self.text.lines().enumerate().filter(|(_, line)| line.trim() == header);
        found.nth(n).map_or(1, |(number, _)| number + 1)
    }

    fn check(&self, scenario: &Scenario) -> Result<(), String> {
        let path = self.path.display();
        if scenario.lasts == Micros::ZERO || scenario.short == Micros::ZERO || scenario.short > scenario.lasts
        {
            return Err(format!("{path}: lasts and short: wanted spans above 0, short no longer than lasts"));
        }
        if scenario.tiers.is_empty() || scenario.classes.is_empty() {
            return Err(format!("{path}: wanted at least one [[tier]] and one [[class]]"));
        }
        if (scenario.load.rate > 0.0) == (scenario.load.closed > 0) {
            return Err(format!("{path}: [load]: wanted one of rate and closed, above 0"));
        }
        if scenario.callers.idle > 18_500 {
            return Err(format!("{path}: [callers] idle: wanted at most 18500, for want of descriptors"));
        }
        if scenario.load.callers == 0 {
            return Err(format!("{path}: [load] callers: wanted at least 1"));
        }
        for (n, tier) in scenario.tiers.iter().enumerate() {
            let at = self.line_of("[[tier]]", n);
            let last = n + 1 == scenario.tiers.len();
            let why = match tier {
                t if t.name.is_empty() || t.name.contains(['/', ' ']) => "name: wanted a word",
                t if !(1..=200).contains(&t.backends) => "backends: wanted 1 to 200",
                t if !(1..=64).contains(&t.proxies) => "proxies: wanted 1 to 64",
                t if !(1..=256).contains(&t.cores) => "cores: wanted 1 to 256",
                t if t.calls[0] > t.calls[1] => "calls: wanted the least before the most",
                t if t.calls[1] > 0 && last => "calls: there is no next tier to call",
                t if t.balance == Balance::Direct && n > 0 => "balance: direct is for the first tier only",
                t if !(1..=26).contains(&t.zones) || t.pod == 0 => {
                    "zones and pod: wanted 1 to 26 zones, pods above 0"
                }
                t if t.plant.is_some() && t.balance == Balance::Sparlug => "plant: only stand-ins have one",
                t if scenario.tiers[..n].iter().any(|o| o.name == t.name) => {
                    "name: there is one of that name"
                }
                _ => continue,
            };
            return Err(format!("{path}:{at}: tier {:?}: {why}", tier.name));
        }
        for (n, class) in scenario.classes.iter().enumerate() {
            let numbered = class.effect == Effect::Numbered;
            if numbered != class.group.is_some() || numbered != class.window.is_some() {
                let at = self.line_of("[[class]]", n);
                let name = &class.name;
                return Err(format!(
                    "{path}:{at}: class {name:?}: a numbered effect, and only it, has group and window"
                ));
            }
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            let at = self.line_of("[[fault]]", n);
            let fail = |why: String| Err(format!("{path}:{at}: fault {:?}: {why}", fault.part));
            let found = scenario.parts(&fault.part);
            if found.is_empty() {
                let parts = scenario.part_kinds();
                return fail(format!("there is no such part; there are {}", parts.join(", ")));
            }
            let letter = found[0].1;
            if fault.kind == FaultKind::Herd && fault.lasts.is_some() {
                return fail("a herd has no length: it is gone and comes back at once".to_string());
            }
            if !fault.kind.letters().contains(letter) {
                let kind = serde_json::to_string(&fault.kind).unwrap_or_default();
                return fail(format!("{kind} befalls parts of the kind {:?} only", fault.kind.letters()));
            }
            if fault.times > 1 && fault.every == Micros::ZERO {
                return fail("times: wanted every as well".to_string());
            }
        }
        for (n, compare) in scenario.compares.iter().enumerate() {
            let at = self.line_of("[[compare]]", n);
            for name in [&compare.of, &compare.to] {
                if !scenario.variants.iter().any(|variant| variant.name == *name) {
                    return Err(format!("{path}:{at}: compare: there is no variant {name:?}"));
                }
            }
            if crate::outcome::Figures::NAMES.iter().all(|name| *name != compare.figure) {
                let names = crate::outcome::Figures::NAMES.join(", ");
                return Err(format!(
                    "{path}:{at}: compare: figure {:?}: wanted one of {names}",
                    compare.figure
                ));
            }
        }
        Ok(())
    }
}

impl Scenario {
    /// The parts that a name or a pattern means: tier, letter, number.
    pub fn parts(&self, pattern: &str) -> Vec<(usize, char, usize)> {
        if pattern == "callers" {
            return vec![(0, 'k', 0)];
        }
        let Some((tier, rest)) = pattern.split_once('/') else { return Vec::new() };
        let Some((letter, number)) = rest.split_once('-') else { return Vec::new() };
        let mut letters = letter.chars();
        let (Some(letter), None) = (letters.next(), letters.next()) else { return Vec::new() };
        let Some(place) = self.tiers.iter().position(|t| t.name == tier) else { return Vec::new() };
        let count = self.count(place, letter);
        match number {
            "*" => (0..count).map(|n| (place, letter, n)).collect(),
            _ => match number.parse::<usize>() {
                Ok(n) if n < count => vec![(place, letter, n)],
                _ => Vec::new(),
            },
        }
    }

    fn count(&self, tier: usize, letter: char) -> usize {
        let t = &self.tiers[tier];
        let (direct, sparlug) = (t.balance == Balance::Direct, t.balance == Balance::Sparlug);
        match letter {
            's' => t.backends,
            'p' if !direct => t.proxies,
            'a' if sparlug => t.proxies,
            'l' if t.link.is_some() => t.backends,
            'c' if tier == 0 && self.callers.link.is_some() && !direct => t.proxies,
            _ => 0,
        }
    }

    fn part_kinds(&self) -> Vec<String> {
        let kinds = |tier: usize| "spalc".chars().map(move |letter| (tier, letter));
        let all =
            (0..self.tiers.len()).flat_map(kinds).filter(|(tier, letter)| self.count(*tier, *letter) > 0);
        let named = |(tier, l): (usize, char)| {
            format!("{}/{l}-0..{}", self.tiers[tier].name, self.count(tier, l) - 1)
        };
        all.map(named).chain(["callers".to_string()]).collect()
    }

    fn draw_together(&mut self, by: f64) {
        self.lasts = self.lasts.scaled(by);
        for fault in &mut self.faults {
            (fault.at, fault.step, fault.every) =
                (fault.at.scaled(by), fault.step.scaled(by), fault.every.scaled(by));
            fault.lasts = fault.lasts.map(|lasts| lasts.scaled(by));
        }
        self.load.steps.iter_mut().for_each(|step| step.at = step.at.scaled(by));
        for tier in &mut self.tiers {
            tier.cold_ramp = tier.cold_ramp.scaled(by);
            tier.fall_window = tier.fall_window.scaled(by);
        }
    }

    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }
}

fn set(table: &mut Table, key: &str, value: Value) -> Result<(), String> {
    let (first, rest) = key.split_once('.').map_or((key, None), |(first, rest)| (first, Some(rest)));
    let Some(rest) = rest else {
        table.insert(first.to_string(), value);
        return Ok(());
    };
    match table.entry(first).or_insert_with(|| Value::Table(Table::new())) {
        Value::Table(inner) => set(inner, rest, value),
        Value::Array(list) => {
            let (place, rest) =
                rest.split_once('.').ok_or_else(|| format!("{key}: wanted a field behind the place"))?;
            let count = list.len();
            let entry = place.parse::<usize>().ok().and_then(|place| list.get_mut(place));
            match entry {
                Some(Value::Table(inner)) => set(inner, rest, value),
                _ => Err(format!("{first}.{place}: wanted a place from 0 to {}", count.saturating_sub(1))),
            }
        }
        _ => Err(format!("{first} holds no fields")),
    }
}
