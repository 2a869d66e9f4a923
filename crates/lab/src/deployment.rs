//! The parts of a scenario that describe the deployment: tiers, links, classes, the load and the clients.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::clock::Micros;

/// What balances the requests of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// The proxy under test.
    Sparlug,
    /// The baseline stand-in, which picks a random backend.
    Random,
    /// The baseline stand-in, which picks the backends in turn.
    RoundRobin,
    /// The baseline stand-in, which picks the backend with the fewest outstanding requests.
    Least,
    /// No proxy: clients connect to the backends directly.
    Direct,
}

/// A seeded defect of the stand-in balancer, which the ledger must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SeededDefect {
    /// Resends requests that a backend may have executed.
    Resend,
    /// Drops one response in twenty.
    DropAnswer,
    /// Continues to use a backend that was announced as draining.
    UseDrained,
    /// Sends a response twice.
    AnswerTwice,
    /// Reports a request as not started although a backend may have executed it.
    FalseRefusal,
    /// Sends a response after the deadline.
    AnswerLate,
    /// Sends all requests to a backend that has just started.
    CrowdCold,
    /// Sends a backend that has just started as much as it could just take from a single proxy.
    CrowdTogether,
    /// After a restart, ignores drains in the first list that it receives.
    ForgetDrain,
}

/// One tier: its backends, the proxies before them and what lies between.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tier {
    pub name: String,
    pub backends: usize,
    pub proxies: usize,
    pub balance: Balance,
    /// Another build of the proxy, which reads its configuration from the file in `ROUTER_CONFIG`.
    pub program: Option<PathBuf>,
    /// The core that its proxies are pinned to.
    pub pin: Option<usize>,
    pub cores: usize,
    /// Mean service time of a request of work 1 on one core, with its distribution and coefficient of
    /// variation.
    pub service: Micros,
    pub distribution: Distribution,
    pub cv: f64,
    /// Queue length; requests beyond it are refused.
    pub queue: usize,
    /// Number of pending requests above which a backend slows down: service times are multiplied by the
    /// number of pending requests divided by this.
    #[serde(rename = "crowd_at")]
    pub slowdown_threshold: usize,
    pub error_rate: f64,
    /// Whether it cancels requests whose client has gone.
    pub cancels: bool,
    /// The capacity ratio of a backend at a cold start, and the time in which it grows to 1.
    pub cold_share: f64,
    pub cold_ramp: Micros,
    /// A cold backend that is offered this multiple of its capacity, over the window, falls over.
    pub fall_multiple: f64,
    pub fall_window: Micros,
    /// Responses carry load reports.
    pub reports: bool,
    /// Minimum and maximum number of calls to the next tier for each request, made one after another.
    pub calls: [u32; 2],
    /// The time after which a backend closes an idle connection, which the proxies are told, and the connect
    /// timeout of the proxies.
    pub idle: Micros,
    pub dial: Micros,
    /// Delay until the agents know of a change.
    #[serde(rename = "lag")]
    pub discovery_lag: Micros,
    /// The time after the announcement of a drain in which a backend may still get new requests.
    pub drain_grace: Micros,
    #[serde(rename = "max_forwards")]
    pub max_attempts: u16,
    pub max_retry_after: Option<Micros>,
    /// The limit of descriptors in a proxy's configuration.
    pub sockets: usize,
    /// A link before each backend.
    pub link: Option<Link>,
    /// The stand-in balancer's attempts, the timeout of each, and its seeded defect.
    #[serde(rename = "tries")]
    pub baseline_max_attempts: u16,
    #[serde(rename = "try_time")]
    pub baseline_attempt_timeout: Option<Micros>,
    #[serde(rename = "plant")]
    pub seeded_defect: Option<SeededDefect>,
    /// Whether each backend is a process of its own, which a crash kills.
    #[serde(rename = "apart")]
    pub own_process: bool,
    /// Number of zones that backends and proxies are spread over, and number of backends in a pod.
    pub zones: usize,
    pub pod: usize,
    /// Sizes of the backends, in rotation: each scales the number of cores and stands in the list of
    /// backends.
    pub sizes: Vec<f64>,
    /// The network between the proxies.
    pub fleet: Option<Fleet>,
}

/// The network paths between the proxies of a tier, which all their messages to each other take.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// One-way delay.
    pub delay: Micros,
    pub jitter: Micros,
    /// Share of the datagrams that is lost.
    pub loss: f64,
    /// Whether the proxies are configured with each other's addresses; otherwise the paths stay unused.
    pub talk: bool,
    /// If set, the proxies are configured in the native format: with `[fleet]`, so that they find each other,
    /// or without.
    pub members: Option<bool>,
    /// The usual number of proxies that their configuration states; left out if unset.
    pub expected: Option<usize>,
    /// Interval at which each proxy is asked for its view of the fleet.
    pub watch: Micros,
    /// Number of duties, each of which one member holds; the length of a lease, and how many of the first
    /// members vote.
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
    /// The size of the n-th backend; 1 if no sizes are given.
    pub fn size(&self, n: usize) -> f64 {
        self.sizes.get(n % self.sizes.len().max(1)).copied().unwrap_or(1.0)
    }

    /// Number of cores of the n-th backend.
    pub fn core_count(&self, n: usize) -> usize {
        ((self.cores as f64 * self.size(n)).round() as usize).max(1)
    }

    /// Requests of work 1 that a backend with `cores` cores can serve within `fall_window`, `age` after a
    /// cold start.
    pub fn fall_window_capacity(&self, cores: usize, age: Micros) -> f64 {
        let warmed = age.secs() / self.cold_ramp.secs().max(1e-6);
        let warmth = (self.cold_share + (1.0 - self.cold_share) * warmed).min(1.0);
        self.fall_window.secs() / self.service.secs().max(1e-6) * cores as f64 * warmth
    }

    /// Number of requests within `fall_window` above which the backend falls over. At least 30: below a few
    /// dozen, such multiples occur by chance.
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
            slowdown_threshold: 1000,
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
            discovery_lag: Micros::from_millis(100),
            drain_grace: Micros::from_millis(400),
            max_attempts: 3,
            max_retry_after: Some(Micros::from_millis(600)),
            sockets: 4000,
            link: None,
            baseline_max_attempts: 3,
            baseline_attempt_timeout: None,
            seeded_defect: None,
            own_process: false,
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
    /// One-way delay.
    pub delay: Micros,
    pub jitter: Micros,
    /// Bytes per second in each direction; 0 means unlimited.
    pub rate: u64,
    /// Bytes in transit in one direction of a connection.
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
    /// The backends of a group drop repeats within a window.
    #[serde(rename = "numbered")]
    Keyed,
    AtMostOnce,
}

/// The backends that recognize repeats of each other's requests.
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
    #[serde(default = "default_ratio")]
    pub value: f64,
    pub effect: Effect,
    pub group: Option<Group>,
    pub window: Option<Micros>,
    /// Relative share of the arrivals.
    #[serde(default = "default_ratio")]
    pub share: f64,
    /// Multiple of the service time.
    #[serde(default = "default_ratio")]
    pub work: f64,
    #[serde(default)]
    pub body: usize,
}

fn default_ratio() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second, sent independently of the responses (open loop).
    #[serde(default)]
    pub rate: f64,
    /// Instead of a rate: number of clients that each send the next request when the last has ended (closed
    /// loop).
    #[serde(default)]
    pub closed: usize,
    #[serde(default, rename = "step")]
    pub steps: Vec<RateStep>,
    /// Additional requests that all arrive at once, at an interval.
    pub burst: Option<Burst>,
    /// Share of the arrivals that comes from one client.
    #[serde(default)]
    pub hot: f64,
    /// Number of clients.
    #[serde(default = "default_clients", rename = "callers")]
    pub clients: usize,
}

fn default_clients() -> usize {
    50
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    pub at: Micros,
    pub rate: f64,
    /// Whether the rate changes linearly from the step before instead of at once.
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
    /// The most retries of a request that was refused or may be repeated.
    pub retries: u16,
    pub backoff: Micros,
    /// Share of the retries that waits as long as `Retry-After` says; the others wait for the backoff.
    #[serde(rename = "honour")]
    pub retry_after_share: f64,
    /// Whether retries carry the header `Client-Retry`.
    #[serde(rename = "marks")]
    pub marks_retries: bool,
    /// Whether connections are kept for the next request.
    #[serde(rename = "keep")]
    pub keep_alive: bool,
    /// Share of the requests whose client leaves early, and the share of the deadline after which it does.
    pub impatient: f64,
    pub leave_at: f64,
    /// Share of the requests whose client reads the response only after 0.3 of the deadline, and of those
    /// whose client sends the request a few bytes at a time.
    pub slow_read: f64,
    pub slow_send: f64,
    /// Share of the requests that are malformed.
    #[serde(rename = "bad")]
    pub malformed: f64,
    /// Connections that each send one request before the load begins and are idle after that.
    pub idle: usize,
    pub link: Option<Link>,
}

impl Default for ClientBehavior {
    fn default() -> ClientBehavior {
        ClientBehavior {
            retries: 0,
            backoff: Micros::from_millis(40),
            retry_after_share: 1.0,
            marks_retries: false,
            keep_alive: true,
            impatient: 0.0,
            leave_at: 0.5,
            slow_read: 0.0,
            slow_send: 0.0,
            malformed: 0.0,
            idle: 0,
            link: None,
        }
    }
}

/// The name of the n-th zone.
pub fn zone(n: usize) -> String {
    char::from(b'a' + n as u8).to_string()
}
