//! What a scenario says of the deployment: tiers, links, classes, the load and the callers.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::clock::Micros;

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
pub enum SeededDefect {
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
    /// Gives a backend that has just started what it can just bear from one alone.
    CrowdTogether,
    /// After a restart, takes no drain from the first list that it is told.
    ForgetDrain,
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
    /// Mean time that a request of work 1 takes on one core, and how it is spread.
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
    /// Calls to the next tier for each request, one after another: least and most.
    pub calls: [u32; 2],
    pub idle: Micros,
    pub dial: Micros,
    /// How long after a change the agents have it.
    pub lag: Micros,
    pub drain_grace: Micros,
    #[serde(rename = "max_forwards")]
    pub max_attempts: u16,
    pub max_retry_after: Option<Micros>,
    /// Descriptors that a proxy is told it may hold.
    pub sockets: usize,
    /// A link before each backend.
    pub link: Option<Link>,
    /// The stand-in balancer's tries and time for each, and its deliberate fault.
    #[serde(rename = "tries")]
    pub baseline_max_attempts: u16,
    #[serde(rename = "try_time")]
    pub baseline_attempt_timeout: Option<Micros>,
    #[serde(rename = "plant")]
    pub seeded_defect: Option<SeededDefect>,
    /// Each backend is a process of its own, which a crash kills.
    pub apart: bool,
    /// Backends and proxies are dealt out over so many zones, and backends into pods of so many.
    pub zones: usize,
    pub pod: usize,
    /// The sizes that its backends have in turn: of cores, and as the list tells it.
    pub sizes: Vec<f64>,
    /// What lies between the proxies.
    pub fleet: Option<Fleet>,
}

/// The ways between the proxies of a tier: all that they tell each other passes them.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Each way.
    pub delay: Micros,
    pub jitter: Micros,
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// Proxies are told of each other; without it there are ways that nobody uses.
    pub talk: bool,
    /// Their configuration is the project's own; with `[fleet]` in it, so that they find each other, or without.
    pub members: Option<bool>,
    /// How many proxies there usually are, as their configuration says; nothing without it.
    pub expected: Option<usize>,
    /// How often each is asked whom it sees.
    pub watch: Micros,
    /// So many duties, each of which one member holds; for how long at a time, and how many of the first members vote.
    pub duties: usize,
    pub lease: Micros,
    pub voters: usize,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            delay: Micros::ZERO,
            jitter: Micros::ZERO,
            loss: 0.0,
            talk: true,
            members: None,
            expected: None,
            watch: Micros::from_millis(500),
            duties: 0,
            lease: Micros::from_millis(1500),
            voters: 5,
        }
    }
}

impl Tier {
    /// The size of its n-th backend; 1 where no sizes are given.
    pub fn size(&self, n: usize) -> f64 {
        self.sizes.get(n % self.sizes.len().max(1)).copied().unwrap_or(1.0)
    }

    /// How many cores its n-th backend has.
    pub fn core_count(&self, n: usize) -> usize {
        ((self.cores as f64 * self.size(n)).round() as usize).max(1)
    }

    /// Requests of work 1 that a backend of so many cores can do in the window in which it may fall over, `age` after it
    /// started cold.
    pub fn fall_window_capacity(&self, cores: usize, age: Micros) -> f64 {
        let warmed = age.secs() / self.cold_ramp.secs().max(1e-6);
        let warmth = (self.cold_share + (1.0 - self.cold_share) * warmed).min(1.0);
        self.fall_window.secs() / self.service.secs().max(1e-6) * cores as f64 * warmth
    }

    /// How many of them, offered in that window, push it over. Below a few dozen chance alone makes such multiples.
    pub fn fall_threshold(&self, capacity: f64) -> f64 {
        (capacity * self.fall_multiple).max(30.0)
    }
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
            max_attempts: 3,
            max_retry_after: Some(Micros::from_millis(600)),
            sockets: 4000,
            link: None,
            baseline_max_attempts: 3,
            baseline_attempt_timeout: None,
            seeded_defect: None,
            apart: false,
            zones: 1,
            pod: 4,
            sizes: Vec::new(),
            fleet: None,
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
    #[serde(rename = "reissuable")]
    Safe,
    /// Repeats are dropped by the backends of a group, within a window.
    #[serde(rename = "numbered")]
    Keyed,
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
    #[serde(rename = "goal")]
    pub latency_target: Micros,
    #[serde(rename = "cut_off")]
    pub deadline: Micros,
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
    /// Requests a second that callers mean to send, whatever becomes of them (an open loop).
    #[serde(default)]
    pub rate: f64,
    /// Instead, so many callers that each send the next when the last is over (a closed loop).
    #[serde(default)]
    pub closed: usize,
    #[serde(default, rename = "step")]
    pub steps: Vec<RateStep>,
    /// So many at once, every so often, on top.
    pub burst: Option<Burst>,
    /// The part of the arrivals that comes from one caller.
    #[serde(default)]
    pub hot: f64,
    /// How many callers there are.
    #[serde(default = "fifty", rename = "callers")]
    pub clients: usize,
}

fn fifty() -> usize {
    50
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
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
pub struct ClientBehavior {
    /// Further tries of what was refused or may be repeated.
    pub retries: u16,
    pub backoff: Micros,
    /// The part of them that waits as long as `Retry-After` says.
    pub honour: f64,
    pub marks: bool,
    /// Connections are kept for the next request.
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

impl Default for ClientBehavior {
    fn default() -> ClientBehavior {
        ClientBehavior {
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

/// The name of the n-th zone.
pub fn zone(n: usize) -> String {
    char::from(b'a' + n as u8).to_string()
}
