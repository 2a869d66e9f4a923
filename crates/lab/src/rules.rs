//! Joins the records of clients, backends and agents by request and checks the rules against them. Nothing
//! that a proxy reports about itself is used.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{Micros, Timestamp};
use crate::fleet_figures;
use crate::record::{Record, RecordKind};
use crate::scenario::{Effect, Group, Scenario, Tier};

/// Tolerance of the rules for time on sockets; the lateness of the lab's own timers is added to it.
const SOCKET_TOLERANCE: Micros = Micros::from_millis(50);
/// If a kept-alive connection ends within this time of a request, the proxy was closing it while the request
/// was in transit.
const CLOSE_RACE_WINDOW: Micros = Micros::from_millis(20);
/// If the p99 lateness of the lab's own timers exceeds this, its time checks are unreliable.
const MAX_RELIABLE_LATENESS: Micros = Micros::from_millis(40);
/// Length of one cycle of a slowed proxy, its paused and its running part together.
pub const SLOW_PROXY_PERIOD: Micros = Micros::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted request gets exactly one final response before its deadline, and no bytes after it.
    OneResponse,
    /// A request that may run only once runs once, and does not run if it was refused.
    OneExecution,
    /// A backend gets no new requests once the grace period after the announcement of its drain is over.
    DrainGrace,
    /// No cold backend is overloaded.
    SlowStart,
    /// No proxy process ends without being told to.
    NoCrash,
}

impl Rule {
    pub const ALL: [Rule; 5] =
        [Rule::OneResponse, Rule::OneExecution, Rule::DrainGrace, Rule::SlowStart, Rule::NoCrash];

    pub fn name(self) -> &'static str {
        match self {
            Rule::OneResponse => "one answer",
            Rule::OneExecution => "one effect",
            Rule::DrainGrace => "drains kept",
            Rule::SlowStart => "cold spared",
            Rule::NoCrash => "no crash",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    /// The request concerned, if any.
    pub id: Option<String>,
    pub at: Timestamp,
    pub text: String,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// Requests that were checked.
    pub accepted: usize,
    /// Requests whose missing or late response is explained by a planned fault, such as a kill or a cut link.
    pub excused: usize,
    /// Requests in transit while the proxy closed their kept-alive connection.
    pub close_races: usize,
    /// Maximum and p99 lateness of the lab's own timers.
    pub late: Micros,
    pub late_p99: Micros,
    /// Why the run is invalid, if it is: the lab's simulated network between proxies ran late itself.
    pub void: Option<String>,
}

impl Verdict {
    /// Whether the machine was too busy for time checks to be reliable.
    pub fn unsure(&self) -> bool {
        self.late_p99 > MAX_RELIABLE_LATENESS
    }
}

#[derive(Default)]
struct Request {
    class: String,
    to: String,
    sent: Timestamp,
    deadline: Timestamp,
    responses: Vec<(Timestamp, u16)>,
    lost: Option<(Timestamp, String)>,
    gave_up: Option<(Timestamp, bool)>,
    unsolicited: bool,
    /// The calling backend, if this is a call to a lower tier.
    caller: Option<String>,
    /// The request was sent completely.
    accepted: bool,
}

type Spans = BTreeMap<String, Vec<(Timestamp, Timestamp, String)>>;

#[derive(Default)]
struct RequestLog {
    requests: BTreeMap<String, Request>,
    executions: BTreeMap<String, Vec<(Timestamp, String)>>,
    arrived: BTreeMap<String, Vec<(Timestamp, String)>>,
    offered: BTreeMap<String, Vec<Timestamp>>,
    abandoned: BTreeSet<String>,
    /// By proxy and backend: when the agent announced the backend's state, and whether it was ready.
    announcements: BTreeMap<(String, String), Vec<(Timestamp, bool)>>,
    /// By proxy and backend that is not ready: when that was first announced, and the highest version of the list
    /// that did.
    withdrawals: BTreeMap<(String, String), (Timestamp, u64)>,
    /// By proxy and backend: the latest announced state, which a restarted proxy knows from its start.
    latest_health: BTreeMap<(String, String), bool>,
    downtimes: Spans,
    link_cuts: Spans,
    starts: BTreeMap<String, Vec<(Timestamp, bool)>>,
    /// When each backend's process ended.
    stops: BTreeMap<String, Vec<Timestamp>>,
    end: Timestamp,
}

fn start_span(spans: &mut Spans, name: &str, at: Timestamp, how: &str) {
    spans.entry(name.to_string()).or_default().push((at, Timestamp(i64::MAX), how.to_string()));
}

fn end_span(spans: &mut Spans, name: &str, at: Timestamp) {
    let open = spans.get_mut(name).into_iter().flatten().filter(|(_, to, _)| *to == Timestamp(i64::MAX));
    open.for_each(|span| span.1 = at);
}

impl RequestLog {
    fn of(records: &[Record]) -> RequestLog {
        let mut log = RequestLog::default();
        for record in records {
            log.add(record);
        }
        log
    }

    fn request(&mut self, id: &str) -> &mut Request {
        self.requests.entry(id.to_string()).or_default()
    }

    fn add(&mut self, record: &Record) {
        let Record { t, component, kind } = record;
        let t = *t;
        self.end = self.end.max(t);
        match kind {
            RecordKind::Sent { id, class, to, deadline, .. } => {
                let request = self.request(id);
                (request.class, request.to, request.sent, request.deadline, request.accepted) =
                    (class.clone(), to.clone(), t, *deadline, true);
            }
            RecordKind::CallSent { id, to, deadline, .. } => {
                let (class, caller) = (id.clone(), component.clone());
                let request = self.request(id);
                (request.class, request.to, request.sent, request.deadline) =
                    (class, to.clone(), t, *deadline);
                (request.caller, request.accepted) = (Some(caller), true);
            }
            RecordKind::ResponseReceived { id, status, .. } => self.request(id).responses.push((t, *status)),
            RecordKind::CallEnded { id, status: 0 } => {
                self.request(id).lost = Some((t, "a call's end".to_string()))
            }
            RecordKind::CallEnded { id, status } => self.request(id).responses.push((t, *status)),
            RecordKind::ConnectionLost { id, how } => self.request(id).lost = Some((t, how.clone())),
            RecordKind::GaveUp { id, own } => self.request(id).gave_up = Some((t, *own)),
            RecordKind::UnsolicitedBytes { id, .. } if !id.is_empty() => self.request(id).unsolicited = true,
            RecordKind::UnsolicitedBytes { .. } => {
                // Bytes on an idle kept-alive connection belong to no request, but are never allowed.
                let request = self.request(&format!("unasked at {}", t.0));
                (request.unsolicited, request.sent) = (true, t);
            }
            RecordKind::Resent { id } => self.request(id).accepted = false,
            RecordKind::SendIncomplete { id, .. } => self.request(id).accepted = false,
            RecordKind::ProcessingStarted { id } => {
                self.executions.entry(id.clone()).or_default().push((t, component.clone()))
            }
            RecordKind::Arrived { id, first, .. } => {
                self.arrived.entry(id.clone()).or_default().push((*first, component.clone()));
                self.offered.entry(component.clone()).or_default().push(t);
            }
            RecordKind::CallerGone { id, .. } => drop(self.abandoned.insert(id.clone())),
            RecordKind::HealthReported { proxy, host, health, seq } => {
                self.add_announcement(t, (proxy.clone(), host.clone()), health == "Ready", *seq);
            }
            RecordKind::ProxyDown { proxy, how } => {
                start_span(&mut self.downtimes, proxy, t, how);
                // A restarted proxy knows no states yet.
                if how != "freeze" && !how.starts_with("slow") {
                    self.announcements
                        .iter_mut()
                        .filter(|((p, _), _)| p == proxy)
                        .for_each(|(_, announcements)| announcements.push((t, true)));
                }
            }
            RecordKind::ProxyUp { proxy } => {
                let last_downtime = self.downtimes.get(proxy).and_then(|spans| spans.last());
                if last_downtime.is_some_and(|(_, _, how)| how != "freeze" && !how.starts_with("slow")) {
                    for ((_, host), ready) in self.latest_health.iter().filter(|((p, _), _)| p == proxy) {
                        let announcements =
                            self.announcements.entry((proxy.clone(), host.clone())).or_default();
                        announcements.extend([(t, true), (t, *ready)]);
                    }
                }
                end_span(&mut self.downtimes, proxy, t);
            }
            RecordKind::Cut { link, how } => start_span(&mut self.link_cuts, link, t, how),
            RecordKind::Restored { link } => end_span(&mut self.link_cuts, link, t),
            RecordKind::Started { warm, .. } => {
                self.starts.entry(component.clone()).or_default().push((t, *warm))
            }
            RecordKind::Stopped { .. } => self.stops.entry(component.clone()).or_default().push(t),
            _ => {}
        }
    }

    /// Adds an announcement. A list that is not newer than the one that withdrew a backend does not end the
    /// withdrawal, unless the backend has restarted since. Lists of the lab's own balancer have no version (0).
    fn add_announcement(&mut self, t: Timestamp, key: (String, String), ready: bool, version: u64) {
        if ready {
            let withdrawal = self.withdrawals.get(&key).copied();
            let restarted_after = |since: Timestamp| {
                self.starts.get(&key.1).is_some_and(|starts| starts.iter().any(|(at, _)| *at > since))
            };
            let is_older = |(since, withdrawn_in): (Timestamp, u64)| {
                version > 0 && version <= withdrawn_in && !restarted_after(since)
            };
            if withdrawal.is_some_and(is_older) {
                return;
            }
            self.withdrawals.remove(&key);
        } else {
            let withdrawal = self.withdrawals.entry(key.clone()).or_insert((t, version));
            withdrawal.1 = withdrawal.1.max(version);
        }
        self.latest_health.insert(key.clone(), ready);
        self.announcements.entry(key).or_default().push((t, ready));
    }

    /// How long planned faults kept a proxy from running within a time span.
    fn paused_time(&self, proxy: &str, from: Timestamp, to: Timestamp) -> Micros {
        let mut all = Micros::ZERO;
        for (began, ended, how) in self.downtimes.get(proxy).into_iter().flatten() {
            let paused_share = match how.split_once(' ') {
                Some(("slow", share)) => 1.0 - share.parse().unwrap_or(1.0),
                _ if how == "freeze" => 1.0,
                _ => continue,
            };
            let (began, ended) = ((*began).max(from), (*ended).min(to));
            if ended >= began {
                all = all + ended.since(began).scaled(paused_share) + SLOW_PROXY_PERIOD;
            }
        }
        all
    }

    /// Whether a planned fault explains a missing or late response.
    fn excused(&self, request: &Request, until: Timestamp) -> bool {
        let overlaps = |spans: &Spans, name: &str, skip: &[&str]| {
            let spans = spans.get(name).into_iter().flatten();
            spans
                .filter(|(_, _, how)| !skip.contains(&how.as_str()))
                .any(|(from, to, _)| *from <= until && *to + SOCKET_TOLERANCE >= request.sent)
        };
        let link = request.to.replacen("/p-", "/c-", 1);
        let caller_gone = request.caller.as_ref().is_some_and(|caller| {
            self.stops
                .get(caller)
                .is_some_and(|stops| stops.iter().any(|at| *at >= request.sent && *at <= until))
        });
        overlaps(&self.downtimes, &request.to, &["term", "shrink"])
            || overlaps(&self.link_cuts, &link, &[])
            || caller_gone
    }
}

/// Checks a run's records against the rules.
pub fn judge(records: &[Record], scenario: &Scenario) -> Verdict {
    let log = RequestLog::of(records);
    let mut verdict = Verdict::default();
    for record in records {
        if let RecordKind::TimerLateness { p99_us, max_us } = record.kind {
            verdict.late = verdict.late.max(Micros(max_us));
            verdict.late_p99 = verdict.late_p99.max(Micros(p99_us));
        }
        if let RecordKind::RunInvalid { text } = &record.kind {
            verdict.void.get_or_insert(text.clone());
        }
    }
    let tolerance = SOCKET_TOLERANCE + verdict.late;
    for (id, request) in &log.requests {
        check_one_response(&log, id, request, tolerance, &mut verdict);
        check_one_execution(&log, id, request, scenario, tolerance, &mut verdict);
        check_drain_grace(&log, id, request, scenario, tolerance, &mut verdict);
    }
    for (host, starts) in &log.starts {
        let Some((tier, _, n)) = scenario.components(host).first().copied() else { continue };
        let tier = &scenario.tiers[tier];
        for (from, _) in starts.iter().filter(|(_, warm)| !warm) {
            check_slow_start(&log, host, *from, (tier, tier.core_count(n)), &mut verdict);
        }
    }
    for (proxy, spans) in &log.downtimes {
        for (at, _, how) in spans.iter().filter(|(_, _, how)| how.starts_with("crash")) {
            let text = format!("{proxy}: {how}");
            verdict.breaches.push(Breach { rule: Rule::NoCrash, id: None, at: *at, text });
        }
    }
    verdict.breaches.sort_by_key(|breach| breach.at);
    verdict
}

fn check_one_response(
    log: &RequestLog,
    id: &str,
    request: &Request,
    tolerance: Micros,
    verdict: &mut Verdict,
) {
    let mut breach = |at, text: String| {
        let id = Some(id.to_string());
        verdict.breaches.push(Breach { rule: Rule::OneResponse, id, at, text });
    };
    if request.unsolicited {
        let at = request.responses.first().map_or(request.sent, |(at, _)| *at);
        return breach(at, "more came after the answer".to_string());
    }
    if !request.accepted {
        return;
    }
    verdict.accepted += 1;
    if request.responses.len() > 1 {
        return breach(request.responses[1].0, format!("{} answers", request.responses.len()));
    }
    if let Some((at, status)) = request.responses.first() {
        if *at > request.deadline + tolerance {
            if log.excused(request, *at) {
                verdict.excused += 1;
            } else {
                let late = at.since(request.deadline);
                breach(*at, format!("status {status} came {late} after the cut-off"));
            }
        }
        return;
    }
    if request.gave_up.as_ref().is_some_and(|(_, own)| *own) {
        return;
    }
    let end =
        request.lost.as_ref().map(|(at, _)| *at).or(request.gave_up.map(|(at, _)| at)).unwrap_or(log.end);
    // If the calling backend gave up a call, this counts as a client that left.
    let left = request.caller.is_some() && request.lost.is_none();
    if log.excused(request, end) {
        verdict.excused += 1;
    } else if left && (end < request.deadline + tolerance || parent_client_gone(log, id)) {
        // No response was due any more, or the call is not over yet.
    } else if let Some((at, how)) = &request.lost {
        let kept = how.contains("kept") || request.caller.is_some();
        if kept && at.since(request.sent) <= CLOSE_RACE_WINDOW && !log.arrived.contains_key(id) {
            verdict.close_races += 1;
        } else {
            breach(*at, format!("no answer: {how}"));
        }
    } else if log.end > request.deadline + tolerance {
        breach(end, "no answer by the cut-off, nor after".to_string());
    }
}

/// Whether the client of the request that made this call gave up.
fn parent_client_gone(log: &RequestLog, id: &str) -> bool {
    let parent = id.rsplitn(3, '.').last().unwrap_or_default();
    log.abandoned.contains(parent)
}

fn check_one_execution(
    log: &RequestLog,
    id: &str,
    request: &Request,
    scenario: &Scenario,
    tolerance: Micros,
    verdict: &mut Verdict,
) {
    let Some(executions) = log.executions.get(id) else { return };
    let Some(class) = scenario.class(&class_of(log, id, request)) else { return };
    if class.effect == Effect::Safe {
        return;
    }
    let mut breach = |at, text| {
        let id = Some(id.to_string());
        verdict.breaches.push(Breach { rule: Rule::OneExecution, id, at, text });
    };
    let (first, rest) = (&executions[0], &executions[1..]);
    match (class.effect, class.group, class.window) {
        (Effect::Keyed, Some(group), Some(window)) => {
            // The backends themselves drop repeats within the group and its window.
            if let Some((at, host)) =
                rest.iter().find(|(_, host)| !same_group(scenario, group, &first.1, host))
            {
                breach(*at, format!("begun at {} and again at {host}, outside of its group", first.1));
            }
            if let Some((at, host)) = rest.iter().find(|(at, _)| *at > first.0 + window + tolerance) {
                breach(*at, format!("begun again at {host} {} after the first time", at.since(first.0)));
            }
        }
        _ => {
            if let Some((at, host)) = rest.first() {
                breach(*at, format!("begun {} times, then at {host}", executions.len()));
            }
        }
    }
    if class.group == Some(Group::All) {
        return; // all backends drop repeats, so a retry is safe wherever the request was started
    }
    let refused = request.responses.iter().find(|(_, status)| matches!(status, 429 | 503));
    if let Some((at, status)) = refused {
        breach(*at, format!("turned back with {status} though {} had begun it", executions[0].1));
    }
}

/// Whether two backends belong to the same group and so drop each other's repeats.
fn same_group(scenario: &Scenario, group: Group, one: &str, other: &str) -> bool {
    let place = |host: &str| scenario.components(host).first().copied();
    let (Some((tier, _, one)), Some((other_tier, _, other))) = (place(one), place(other)) else {
        return false;
    };
    let t = &scenario.tiers[tier];
    tier == other_tier
        && match group {
            Group::All => true,
            Group::Zone => one % t.zones == other % t.zones,
            Group::Pod => one / t.pod == other / t.pod,
        }
}

/// The class of a request; a call has the class of the request that it serves.
fn class_of(log: &RequestLog, id: &str, request: &Request) -> String {
    match request.caller {
        None => request.class.clone(),
        Some(_) => {
            let first = id.split('.').next().unwrap_or(id);
            log.requests.get(first).map(|request| request.class.clone()).unwrap_or_default()
        }
    }
}

fn check_drain_grace(
    log: &RequestLog,
    id: &str,
    request: &Request,
    scenario: &Scenario,
    tolerance: Micros,
    verdict: &mut Verdict,
) {
    for (first, host) in log.arrived.get(id).into_iter().flatten() {
        let Some(announcements) = log.announcements.get(&(request.to.clone(), host.clone())) else {
            continue;
        };
        let grace = scenario.tiers.iter().find(|tier| host.split('/').next() == Some(&tier.name));
        let grace = grace.map_or(Micros::ZERO, |tier| tier.drain_grace);
        let Some((at, false)) = announcements.iter().rev().find(|(at, _)| at <= first) else { continue };
        // The grace counts from the first announcement; a repeated one does not restart it.
        let since =
            announcements.iter().rev().skip_while(|(t, _)| t > at).take_while(|(_, ready)| !ready).last();
        let since = since.map_or(*at, |(at, _)| *at);
        // The proxy could not react while it was paused, nor immediately afterwards.
        if *first > since + grace + tolerance + log.paused_time(&request.to, since, *first) {
            let text =
                format!("sent to {host} {} after {} was told of its drain", first.since(since), request.to);
            verdict.breaches.push(Breach {
                rule: Rule::DrainGrace,
                id: Some(id.to_string()),
                at: *first,
                text,
            });
        }
    }
}

fn check_slow_start(
    log: &RequestLog,
    host: &str,
    from: Timestamp,
    (tier, cores): (&Tier, usize),
    verdict: &mut Verdict,
) {
    let offered = log.offered.get(host).map_or(&[][..], |all| all.as_slice());
    let ended = log.stops.get(host).into_iter().flatten().find(|at| **at > from).copied();
    let until = (from + tier.cold_ramp).min(ended.unwrap_or(Timestamp(i64::MAX)) + Micros(1));
    let Some((at, count, bearable)) = fleet_figures::peak_cold_load(offered, (from, until), tier, cores).over
    else {
        return;
    };
    let text = format!(
        "{host} was offered {count} in {} and can bear {bearable:.0}, {} after its start",
        tier.fall_window,
        at.since(from)
    );
    verdict.breaches.push(Breach { rule: Rule::SlowStart, id: None, at, text });
}

/// All records of a request and of its calls, one line each, with the faults and changes of state meanwhile.
pub fn timeline(records: &[Record], id: &str, start: Timestamp, logs: &[(String, String)]) -> Vec<String> {
    let below = format!("{id}.");
    let about =
        |record: &Record| record.kind.id().is_some_and(|found| found == id || found.starts_with(&below));
    let own: Vec<&Record> = records.iter().filter(|record| about(record)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let (from, to) = (first.t, last.t);
    let around = |record: &&Record| {
        let kind = matches!(
            record.kind,
            RecordKind::Fault { .. }
                | RecordKind::Cut { .. }
                | RecordKind::Restored { .. }
                | RecordKind::ProxyDown { .. }
                | RecordKind::ProxyUp { .. }
        ) || matches!(&record.kind, RecordKind::HealthReported { health, .. } if health != "Ready");
        kind && record.t >= from - Micros::from_millis(2000) && record.t <= to
    };
    let mut all: Vec<&Record> = own.iter().copied().chain(records.iter().filter(around)).collect();
    all.sort_by_key(|record| record.t);
    let line = |record: &&Record| {
        let what = serde_json::to_string(&record.kind).unwrap_or_default();
        format!("{:>12.3} ms  {:<14} {what}", (record.t.0 - start.0) as f64 / 1000.0, record.component)
    };
    let mut lines: Vec<String> = all.iter().map(line).collect();
    for (proxy, log) in logs {
        let found = log.lines().filter(|line| line.contains(id)).take(20);
        lines.extend(found.map(|line| format!("{proxy} log: {line}")));
    }
    lines
}
