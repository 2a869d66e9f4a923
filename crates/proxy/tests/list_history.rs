//! The list history against a model of discovery: a sequence of states of the backends, of which answers show
//! any recent one, whole or as changes. Drawn from seeds, without processes. `LIST_HISTORY_SEEDS=FROM..TO`
//! selects seeds other than those of CI.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oorandom::Rand32;
use sparlug::event::{Condition, Listing};
use sparlug::id::BackendId;
use sparlug::time::{Span, Time};
use sparlug_proxy::list_history::{ListHistory, ListSource, MergedList, MAX_WITHHELD_TIME};
use sparlug_proxy::listing::{backend_id, BackendEntry, BackendList};

const SEEDS: std::ops::Range<u64> = 0..1_000;
const ANSWERS: usize = 60;
const HOSTS: u32 = 8;
const START: Time = Time::ORIGIN;

/// The condition of each listed backend and its start time in seconds; `None` means long ago.
type Backends = BTreeMap<u32, (Condition, Option<u32>)>;

fn entry(host: u32, condition: Condition, start: Option<u32>) -> BackendEntry {
    let name = format!("h{host}");
    let listed_start = start.map(|second| START + Span::from_millis(i64::from(second) * 1_000));
    let listing =
        Listing { backend: backend_id(&name), condition, started: listed_start, ..Listing::default() };
    let address = "127.0.0.1:80".parse().unwrap();
    BackendEntry { host: name, address, listed_start, start_stated: true, listing }
}

fn whole_list(version: u64, backends: &Backends) -> BackendList {
    let entries = backends.iter().map(|(host, (condition, start))| entry(*host, *condition, *start));
    BackendList { version, full: true, entries: entries.collect() }
}

/// The changes from one state to another.
fn changes(version: u64, from: &Backends, to: &Backends) -> BackendList {
    let changed = to.iter().filter(|(host, state)| from.get(host) != Some(state));
    let mut entries: Vec<_> =
        changed.map(|(host, (condition, start))| entry(*host, *condition, *start)).collect();
    let removed = from.iter().filter(|(host, _)| !to.contains_key(host));
    entries.extend(removed.map(|(host, (_, start))| entry(*host, Condition::Gone, *start)));
    BackendList { version, full: false, entries }
}

/// What discovery has said so far, by version.
struct Discovery {
    states: Vec<Backends>,
    /// Version of the first state.
    first: u64,
    /// Whether backends also return without a restart.
    returns_without_restart: bool,
}

impl Discovery {
    fn new(first: u64, returns_without_restart: bool) -> Discovery {
        let initial = (0..HOSTS).map(|host| (host, (Condition::Ready, None))).collect();
        Discovery { states: vec![initial], first, returns_without_restart }
    }

    fn latest(&self) -> u64 {
        self.first + self.states.len() as u64 - 1
    }

    fn state(&self, version: u64) -> &Backends {
        &self.states[(version - self.first) as usize]
    }

    /// Adds a version in which one to three backends change.
    fn change(&mut self, rng: &mut Rand32, second: u32) {
        let mut backends = self.states.last().unwrap().clone();
        for _ in 0..rng.rand_range(1..4) {
            let host = rng.rand_range(0..HOSTS + 4);
            match backends.get(&host).copied() {
                Some((Condition::Ready, start)) => drop(backends.insert(host, (Condition::Draining, start))),
                Some((_, start)) if self.returns_without_restart && rng.rand_range(0..3) == 0 => {
                    backends.insert(host, (Condition::Ready, start));
                }
                Some(_) => drop(backends.remove(&host)),
                None => drop(backends.insert(host, (Condition::Ready, Some(second)))),
            }
        }
        self.states.push(backends);
    }

    fn ready(&self, version: u64) -> Backends {
        let is_ready = |(_, (condition, _)): &(&u32, &(Condition, _))| *condition == Condition::Ready;
        self.state(version).iter().filter(is_ready).map(|(host, state)| (*host, *state)).collect()
    }
}

/// The proxy's side: the history, the list as applied, and the version of the last answer.
struct Proxy {
    history: ListHistory,
    applied: BTreeMap<BackendId, BackendEntry>,
    /// `None` requests the whole list.
    index: Option<u64>,
    now: Time,
}

impl Proxy {
    fn new(first: BackendList) -> Proxy {
        let (history, applied, index) = (ListHistory::default(), BTreeMap::new(), None);
        let mut proxy = Proxy { history, applied, index, now: START };
        proxy.receive(first);
        proxy
    }

    fn receive(&mut self, list: BackendList) -> MergedList {
        let base = self.index;
        let follows = list.full || base.is_some_and(|base| list.version >= base);
        self.index = Some(list.version).filter(|_| follows);
        if std::env::var_os("LIST_HISTORY_TRACE").is_some() {
            println!("base {:?}, {}", base, show(&list));
        }
        let merged = self.history.merge(list, base, ListSource::Agent(agent()), self.now);
        if merged.list.full {
            self.applied.clear();
        }
        for entry in &merged.list.entries {
            self.applied.insert(entry.listing.backend, entry.clone());
        }
        self.index = self.index.filter(|_| !merged.needs_whole_list);
        self.applied.retain(|_, entry| entry.listing.condition != Condition::Gone);
        merged
    }

    fn uses(&self, host: u32) -> bool {
        let entry = self.applied.get(&backend_id(&format!("h{host}")));
        entry.is_some_and(|entry| entry.listing.condition == Condition::Ready)
    }
}

fn agent() -> SocketAddr {
    "127.0.0.1:8500".parse().unwrap()
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("LIST_HISTORY_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("LIST_HISTORY_SEEDS=FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

/// A short description of a list for messages about failures.
fn show(list: &BackendList) -> String {
    let entry = |entry: &BackendEntry| {
        let start = entry.listed_start.map(|start| start.since(START).ms() / 1_000.0);
        format!("{} {:?} {start:?}", entry.host, entry.listing.condition)
    };
    let entries: Vec<_> = list.entries.iter().map(entry).collect();
    format!("version {}, whole {}: {}", list.version, list.full, entries.join(", "))
}

/// An answer to a request for changes since `index`, as a replica at `version` gives it.
fn answer(discovery: &Discovery, index: Option<u64>, version: u64, rng: &mut Rand32) -> BackendList {
    match index.filter(|index| (discovery.first..=version).contains(index)) {
        Some(index) if rng.rand_range(0..4) > 0 => {
            changes(version, discovery.state(index), discovery.state(version))
        }
        _ => whole_list(version, discovery.state(version)),
    }
}

/// An answer that knows less than earlier ones: of an older version, or of one that was sent, with the contents of
/// an older one.
fn stale_answer(discovery: &Discovery, told: u64, rng: &mut Rand32) -> BackendList {
    let oldest = discovery.first.max(told.saturating_sub(8));
    let [from, to] = [0, 1].map(|_| oldest + u64::from(rng.rand_range(0..(told - oldest + 1) as u32)));
    let (from, to) = (from.min(to), from.max(to));
    let mut list = match rng.rand_range(0..2) {
        0 => whole_list(to, discovery.state(to)),
        _ => changes(to, discovery.state(from), discovery.state(to)),
    };
    if rng.rand_range(0..4) == 0 && !list.full {
        list.version = told;
    }
    list
}

/// Replicas that lag answer between those that don't. What the newest answer has withdrawn is not used, whatever
/// follows, and an answer of the present state brings the proxy to that state.
#[test]
fn stale_answers_give_nothing_back_and_lock_nobody_out() {
    for seed in seeds() {
        let mut rng = Rand32::new(seed);
        let mut discovery = Discovery::new(40, false);
        let mut proxy = Proxy::new(whole_list(40, discovery.state(40)));
        let mut told = 40;
        for number in 0..ANSWERS {
            proxy.now = proxy.now + Span::from_millis(1_000);
            if rng.rand_range(0..3) > 0 {
                discovery.change(&mut rng, number as u32 + 1);
            }
            let is_stale = rng.rand_range(0..2) == 0;
            let list = if is_stale {
                stale_answer(&discovery, told, &mut rng)
            } else {
                let version =
                    discovery.latest() - u64::from(rng.rand_range(0..2)).min(discovery.latest() - told);
                told = told.max(version);
                answer(&discovery, proxy.index, version, &mut rng)
            };
            let text = format!("seed {seed}, answer {number}, told {told}: {}", show(&list));
            proxy.receive(list);
            // A proxy that asks for the whole list knows that it may lack something.
            let is_up_to_date = !is_stale && proxy.index.is_some();
            for host in 0..HOSTS + 4 {
                let ready = discovery.ready(told).contains_key(&host);
                assert!(ready || !proxy.uses(host), "h{host} is used\n{text}");
                assert!(!is_up_to_date || !ready || proxy.uses(host), "h{host} is not used\n{text}");
            }
        }
    }
}

/// The same where backends also return at the start time that they had: what is withdrawn is not used. Those that
/// a stale answer withdraws again return after the longest time at the latest.
#[test]
fn stale_answers_give_nothing_back_where_backends_return_without_a_restart() {
    for seed in seeds() {
        let mut rng = Rand32::new(seed);
        let mut discovery = Discovery::new(40, true);
        let mut proxy = Proxy::new(whole_list(40, discovery.state(40)));
        let (mut told, mut is_in_doubt) = (40, false);
        for number in 0..ANSWERS {
            proxy.now = proxy.now + Span::from_millis(1_000);
            if rng.rand_range(0..3) > 0 {
                discovery.change(&mut rng, number as u32 + 1);
            }
            let list = if rng.rand_range(0..2) == 0 {
                stale_answer(&discovery, told, &mut rng)
            } else {
                told = discovery.latest();
                answer(&discovery, proxy.index, told, &mut rng)
            };
            let text = format!("seed {seed}, answer {number}, told {told}: {}", show(&list));
            let is_whole_and_current = list.full && list.version >= told;
            proxy.receive(list);
            // Changes from an old base don't name a backend that is as it was at that base, so they don't tell a
            // proxy that has received other changes than those since that base. It asks for the whole list.
            is_in_doubt = proxy.index.is_none() || is_in_doubt && !is_whole_and_current;
            for host in 0..HOSTS + 4 {
                let ready = discovery.ready(told).contains_key(&host);
                assert!(ready || !proxy.uses(host) || is_in_doubt, "h{host} is used\n{text}");
            }
        }
        let last = whole_list(discovery.latest(), discovery.state(discovery.latest()));
        for _ in 0..2 {
            proxy.receive(BackendList { version: last.version, full: true, entries: last.entries.clone() });
            proxy.now = proxy.now + MAX_WITHHELD_TIME;
        }
        proxy.receive(BackendList { version: last.version, full: false, entries: Vec::new() });
        let ready = discovery.ready(discovery.latest());
        assert!(ready.keys().all(|host| proxy.uses(*host)), "seed {seed}: {ready:?}");
    }
}

/// Discovery loses its versions and starts again at version 1 with the state that it has. What it withdraws is not
/// used, also where replicas with versions from before the loss answer in between, and its present state is
/// followed.
#[test]
fn discovery_that_starts_again_is_followed_and_versions_from_before_give_nothing_back() {
    for seed in seeds() {
        let mut rng = Rand32::new(seed);
        let mut before = Discovery::new(1_000, false);
        let mut proxy = Proxy::new(whole_list(1_000, before.state(1_000)));
        for number in 0..10 {
            before.change(&mut rng, number + 1);
            proxy.now = proxy.now + Span::from_millis(1_000);
            proxy.receive(answer(&before, proxy.index, before.latest(), &mut rng));
        }
        let mut after =
            Discovery { states: vec![before.state(before.latest()).clone()], ..Discovery::new(1, false) };
        let with_old_replica = seed % 2 == 1;
        proxy.receive(whole_list(1, after.state(1)));
        let mut told = 1;
        for number in 10..ANSWERS {
            proxy.now = proxy.now + Span::from_millis(1_000);
            if rng.rand_range(0..3) > 0 {
                after.change(&mut rng, number as u32 + 1);
            }
            let is_stale = with_old_replica && rng.rand_range(0..3) == 0;
            let list = if is_stale {
                let version = before.latest() - u64::from(rng.rand_range(0..5));
                changes(version, &Backends::new(), before.state(version))
            } else {
                told = after.latest();
                answer(&after, proxy.index, after.latest(), &mut rng)
            };
            let text = format!("seed {seed}, answer {number}, told {told}: {}", show(&list));
            proxy.receive(list);
            let is_up_to_date = !is_stale && proxy.index.is_some();
            for host in 0..HOSTS + 4 {
                let ready = after.ready(told).contains_key(&host);
                assert!(ready || !proxy.uses(host), "h{host} is used\n{text}");
                assert!(!is_up_to_date || !ready || proxy.uses(host), "h{host} is not used\n{text}");
            }
        }
    }
}

/// Guards against a backend that is out for good because one list of a version omitted it and the others of that
/// version don't count as newer. Nothing else changes, so no list ever names it again.
#[test]
fn backend_that_one_list_of_the_version_omits_returns_after_the_longest_time() {
    let all = Discovery::new(40, false);
    let mut some = all.state(40).clone();
    some.remove(&1);
    let mut proxy = Proxy::new(whole_list(39, all.state(40)));
    proxy.receive(whole_list(40, &some));
    proxy.receive(whole_list(40, all.state(40)));
    assert!(!proxy.uses(1), "the version is not newer");
    for _ in 0..2 {
        assert!(!proxy.uses(1));
        proxy.now = proxy.now + MAX_WITHHELD_TIME.scaled(0.5);
        proxy.receive(BackendList { version: 40, full: false, entries: Vec::new() });
    }
    assert!(proxy.uses(1));
}
