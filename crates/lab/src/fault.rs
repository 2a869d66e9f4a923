//! A fault of a scenario, and the components and network paths that it affects.

use serde::{Deserialize, Serialize};

use crate::clock::Micros;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: Micros,
    /// Its duration; without one it lasts until the end.
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    pub duration: Option<Micros>,
    /// The affected components, such as `front/s-0`, `front/s-0..3`, `front/s-0,2,5`, or `front/s-*` for all.
    /// Kinds: s backends, p proxies, a agents, l links before backends, c links before proxies, w the network
    /// paths between a proxy and the others. `callers` means the clients.
    #[serde(default, rename = "part", skip_serializing_if = "String::is_empty")]
    pub components: String,
    pub kind: FaultKind,
    /// Between proxies: the sides of a partition, each a list of proxies such as `front/p-0..3`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sides: Vec<Vec<String>>,
    /// Between proxies: the paths from the first to the second of each pair, and back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pairs: Vec<[String; 2]>,
    /// For a bridge: the one proxy that both sides reach.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub through: Option<String>,
    /// Interval between the matching components: the fault begins at one after another. By default it begins
    /// at all of them at once.
    #[serde(default, skip_serializing_if = "Micros::is_zero")]
    pub step: Micros,
    /// How many times the fault occurs, and the interval between the beginnings.
    #[serde(default = "one_time", skip_serializing_if = "is_one_time")]
    pub times: u32,
    #[serde(default, skip_serializing_if = "Micros::is_zero")]
    pub every: Micros,
    /// Magnitude by kind: a slowdown factor, the share of time in which a proxy runs, a delay or an age in
    /// ms, the number of versions to jump back by, or datagrams per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub amount: Option<f64>,
    /// Maximum random addition to a delay.
    #[serde(default, skip_serializing_if = "Micros::is_zero")]
    pub jitter: Micros,
    /// Share of the requests, or of the datagrams, that it affects; all if unset.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chance: Option<f64>,
    /// Affects only each n-th request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nth: Option<u64>,
    /// Whether the backend returns at another address.
    #[serde(default, rename = "moves", skip_serializing_if = "is_false")]
    pub changes_address: bool,
    /// For a drain: whether the process stays and refuses requests until the fault ends, instead of exiting
    /// once idle.
    #[serde(default, rename = "stays", skip_serializing_if = "is_false")]
    pub keeps_process: bool,
    /// For a link or for paths: the one direction that is affected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub direction: Option<Direction>,
    /// The list of backends that a returning proxy has in its file.
    #[serde(default, skip_serializing_if = "KnownBackends::is_old")]
    pub known: KnownBackends,
}

fn one_time() -> u32 {
    1
}

fn is_one_time(times: &u32) -> bool {
    *times == 1
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The list of backends that a proxy finds in its file when it is restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KnownBackends {
    /// The list at the start of the run.
    #[default]
    Old,
    None,
    Now,
}

impl KnownBackends {
    fn is_old(&self) -> bool {
        *self == KnownBackends::Old
    }
}

impl Fault {
    /// A fault that begins when it is injected, by the name of its kind.
    pub fn now(components: &str, kind: &str, duration: Micros) -> Option<Fault> {
        let kind = serde_json::from_value(serde_json::Value::String(kind.to_string())).ok()?;
        Some(Fault {
            components: components.to_string(),
            duration: Some(duration),
            kind,
            times: 1,
            ..Fault::default()
        })
    }

    /// Its description in the records.
    pub fn text(&self, components: &str) -> String {
        let join_sides = |sides: &[Vec<String>]| {
            sides.iter().map(|side| side.join("+")).collect::<Vec<_>>().join(" from ")
        };
        match (&self.sides[..], &self.pairs[..]) {
            ([], []) => format!("{:?} {components}", self.kind),
            ([], pairs) => {
                format!(
                    "{:?} {}",
                    self.kind,
                    join_sides(&pairs.iter().map(|p| p.to_vec()).collect::<Vec<_>>())
                )
            }
            (sides, _) => format!("{:?} {}", self.kind, join_sides(sides)),
        }
    }
}

/// The component numbers below `count` that a pattern selects: `3`, `0..5` with both ends, `0,2,7..9`, or
/// `*`.
pub fn parse_numbers(text: &str, count: usize) -> Vec<usize> {
    let parse_range = |range: &str| -> Option<Vec<usize>> {
        let (from, to) = range.split_once("..").unwrap_or((range, range));
        let (from, to) = (from.parse::<usize>().ok()?, to.parse::<usize>().ok()?);
        (from <= to && to < count).then(|| (from..=to).collect())
    };
    if text == "*" {
        return (0..count).collect();
    }
    let all: Option<Vec<Vec<usize>>> = text.split(',').map(parse_range).collect();
    let mut all = all.unwrap_or_default().concat();
    all.sort_unstable();
    all.dedup();
    all
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the side that opened the connection; between proxies, from the first that is named to the others.
    Forth,
    Back,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    // Backends.
    #[default]
    Stall,
    /// Also for proxies, which are paused and resumed alternately.
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
    // Agents.
    Mute,
    Stale,
    JumpBack,
    Move,
    /// Connections are reset and no new ones can be opened.
    Cut,
    /// The agent serves the list as it was some time ago.
    Behind,
    // Links.
    Reset,
    Close,
    HalfOpen,
    BlackHole,
    /// Also for agents and network paths.
    Delay,
    // Proxies.
    Kill,
    Term,
    Freeze,
    /// The proxy is asked to exit, and started again as soon as it has.
    Restart,
    /// The proxy is absent until the fault begins; from then on clients are spread over it too.
    Grow,
    /// The proxy leaves for good.
    Shrink,
    // Network paths between proxies.
    Partition,
    Bridge,
    Loss,
    Reorder,
    Duplicate,
    Corrupt,
    Replay,
    /// Datagrams from an address that belongs to no proxy.
    Flood,
    // Clients.
    Herd,
}

impl FaultKind {
    /// The letters of the component kinds that it can affect.
    pub fn component_kinds(self) -> &'static str {
        use FaultKind::*;
        match self {
            Mute | Stale | JumpBack | Move | Cut | Behind => "a",
            Reset | Close | HalfOpen | BlackHole => "lc",
            Delay => "lcaw",
            Kill | Term | Freeze | Restart | Grow | Shrink => "p",
            Slow => "sp",
            Partition | Bridge | Loss | Reorder | Duplicate | Corrupt | Replay | Flood => "w",
            Herd => "k",
            _ => "s",
        }
    }

    /// Whether an affected backend sends no responses.
    pub fn prevents_responses(self) -> bool {
        use FaultKind::*;
        matches!(self, Crash | Stall | Silence | Endless)
    }

    /// Whether it makes a proxy or a backend join or leave.
    pub fn changes_membership(self) -> bool {
        use FaultKind::*;
        matches!(self, Crash | Drain | Kill | Term | Restart | Grow | Shrink)
    }

    /// Whether an affected proxy must be a process of its own.
    pub fn needs_process(self) -> bool {
        use FaultKind::*;
        matches!(self, Kill | Term | Freeze | Restart | Grow | Shrink | Slow)
    }
}
