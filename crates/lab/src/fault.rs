//! A fault as a scenario words it, and which parts and ways it befalls.

use serde::{Deserialize, Serialize};

use crate::clock::Micros;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: Micros,
    /// How long it lasts; without it, until the end.
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    pub duration: Option<Micros>,
    /// Such as `front/s-0`, `front/s-0..3`, `front/s-0,2,5`, or `front/s-*` for all: s backends, p proxies, a agents, l
    /// links before backends, c links before proxies, w the ways of a proxy to and from the others; or `callers`.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub part: String,
    pub kind: FaultKind,
    /// Between proxies: parted sides, each a list of proxies such as `front/p-0..3`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sides: Vec<Vec<String>>,
    /// Between proxies: the ways from the first to the second of each pair, and back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pairs: Vec<[String; 2]>,
    /// Of a bridge: the one proxy that both sides reach.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub through: Option<String>,
    /// For the parts that match, one after another with this between.
    #[serde(default, skip_serializing_if = "Micros::is_zero")]
    pub step: Micros,
    /// So many times, each so long after the last.
    #[serde(default = "once", skip_serializing_if = "is_once")]
    pub times: u32,
    #[serde(default, skip_serializing_if = "Micros::is_zero")]
    pub every: Micros,
    /// How much: times as slow, the part of its time that a proxy has, a delay or an age in ms, versions to jump back
    /// by, datagrams a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub amount: Option<f64>,
    /// On top of a delay, up to this.
    #[serde(default, skip_serializing_if = "Micros::is_zero")]
    pub jitter: Micros,
    /// The part of the requests, or of the datagrams, that it hits; all without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chance: Option<f64>,
    /// Hits only each n-th request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nth: Option<u64>,
    /// Returns at another address.
    #[serde(default, skip_serializing_if = "is_false")]
    pub moves: bool,
    /// Of a drain: its process stays and refuses until the fault is over, instead of ending once it is idle.
    #[serde(default, skip_serializing_if = "is_false")]
    pub stays: bool,
    /// Of a link or of ways: only one direction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub direction: Option<Direction>,
    /// The list that a proxy which returns has in its file.
    #[serde(default, skip_serializing_if = "KnownBackends::is_old")]
    pub known: KnownBackends,
}

fn once() -> u32 {
    1
}

fn is_once(times: &u32) -> bool {
    *times == 1
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The list of backends that a proxy finds in its file when it starts anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KnownBackends {
    /// As it was when the run began.
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
    /// One that begins when it is given, by the name of its kind.
    pub fn now(part: &str, kind: &str, lasts: Micros) -> Option<Fault> {
        let kind = serde_json::from_value(serde_json::Value::String(kind.to_string())).ok()?;
        Some(Fault { part: part.to_string(), duration: Some(lasts), kind, times: 1, ..Fault::default() })
    }

    /// How it is told of in the records.
    pub fn text(&self, part: &str) -> String {
        let sides = |sides: &[Vec<String>]| {
            sides.iter().map(|side| side.join("+")).collect::<Vec<_>>().join(" from ")
        };
        match (&self.sides[..], &self.pairs[..]) {
            ([], []) => format!("{:?} {part}", self.kind),
            ([], pairs) => {
                format!("{:?} {}", self.kind, sides(&pairs.iter().map(|p| p.to_vec()).collect::<Vec<_>>()))
            }
            (parted, _) => format!("{:?} {}", self.kind, sides(parted)),
        }
    }
}

/// The numbers that the last part of a name means, of so many: `3`, `0..5` with both ends, `0,2,7..9`, or `*`.
pub fn numbers(text: &str, count: usize) -> Vec<usize> {
    let one = |piece: &str| -> Option<Vec<usize>> {
        let (from, to) = piece.split_once("..").unwrap_or((piece, piece));
        let (from, to) = (from.parse::<usize>().ok()?, to.parse::<usize>().ok()?);
        (from <= to && to < count).then(|| (from..=to).collect())
    };
    if text == "*" {
        return (0..count).collect();
    }
    let all: Option<Vec<Vec<usize>>> = text.split(',').map(one).collect();
    let mut all = all.unwrap_or_default().concat();
    all.sort_unstable();
    all.dedup();
    all
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the side that connected.
    Forth,
    Back,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    // of backends
    #[default]
    Stall,
    /// Of proxies too: stopped and let go in turns.
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
    /// Its connections are reset, and no new ones come up.
    Cut,
    /// Tells the list as it was some time ago.
    Behind,
    // of links
    Reset,
    Close,
    HalfOpen,
    BlackHole,
    /// Of agents and of ways too.
    Delay,
    // of proxies
    Kill,
    Term,
    Freeze,
    /// Told to go, and started anew once it has ended.
    Restart,
    /// Not there before; callers are spread over it too from then on.
    Grow,
    /// Gone for good.
    Shrink,
    // of the ways between proxies
    Partition,
    Bridge,
    Loss,
    Reorder,
    Duplicate,
    Corrupt,
    Replay,
    /// From an address that is nobody's.
    Flood,
    // of the callers
    Herd,
}

impl FaultKind {
    /// The letters of the parts that it can befall.
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

    /// Whether a backend that has it gives no answers.
    pub fn prevents_responses(self) -> bool {
        use FaultKind::*;
        matches!(self, Crash | Stall | Silence | Endless)
    }

    /// Whether it makes a proxy or a backend come or go.
    pub fn changes_membership(self) -> bool {
        use FaultKind::*;
        matches!(self, Crash | Drain | Kill | Term | Restart | Grow | Shrink)
    }

    /// Whether a proxy that has it must be a process.
    pub fn needs_process(self) -> bool {
        use FaultKind::*;
        matches!(self, Kill | Term | Freeze | Restart | Grow | Shrink | Slow)
    }
}
