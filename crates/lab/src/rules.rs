//! Joins what callers, backends and agents saw, and judges the four rules by it. It reads nothing that a proxy
//! says of itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{At, Micros};
use crate::fleet_figures;
use crate::record::{Record, RecordKind};
use crate::scenario::{Effect, Group, Scenario, Tier};

/// The rules' own allowance on sockets, on top of which comes what the lab itself was late by.
const ALLOWANCE: Micros = Micros::from_millis(50);
/// A kept connection that ended so soon under a request was being closed as the request was on its way.
const CROSSING: Micros = Micros::from_millis(20);
/// Beyond this lateness of its own the lab's judgement of times is not to be trusted.
const TOO_LATE: Micros = Micros::from_millis(40);
/// How long a turn of a slowed proxy is, stopped and running.
pub const SLOW_PROXY_PERIOD: Micros = Micros::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each taken request has one final answer before its cut-off, and nothing after.
    OneResponse,
    /// What may run only once runs once, and never after it was turned back.
    OneExecution,
    /// Nothing new goes to a backend once its drain was told, past the grace.
    DrainGrace,
    /// No cold backend is pushed over.
    SlowStart,
    /// A proxy's process ended without being told to.
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
    /// The request, if it is about one.
    pub id: Option<String>,
    pub at: At,
    pub text: String,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// Requests that were judged.
    pub taken: usize,
    /// Requests with no answer for which a kill or a cut of the plan answers.
    pub excused: usize,
    /// Requests that crossed the close of a kept connection.
    pub crossed: usize,
    /// How late the lab's own timers were.
    pub late: Micros,
    pub late_p99: Micros,
    /// Why the run tells nothing, if so: what the lab put between proxies was itself at fault.
    pub void: Option<String>,
}

impl Verdict {
    /// Whether the machine was too busy for times to be judged.
    pub fn unsure(&self) -> bool {
        self.late_p99 > TOO_LATE
    }
}

#[derive(Default)]
struct Request {
    class: String,
    to: String,
    sent: At,
    cut_off: At,
    answers: Vec<(At, u16)>,
    lost: Option<(At, String)>,
    gave_up: Option<(At, bool)>,
    unasked: bool,
    /// The backend that called, for a call of a lower tier.
    caller: Option<String>,
    /// It was sent, and is not of those that never went out whole.
    taken: bool,
}

type Spans = BTreeMap<String, Vec<(At, At, String)>>;

#[derive(Default)]
struct Book {
    requests: BTreeMap<String, Request>,
    begun: BTreeMap<String, Vec<(At, String)>>,
    arrived: BTreeMap<String, Vec<(At, String)>>,
    offered: BTreeMap<String, Vec<At>>,
    dropped: BTreeSet<String>,
    /// What each proxy was told of each backend: when, and whether it may be used.
    told: BTreeMap<(String, String), Vec<(At, bool)>>,
    /// The last word of an agent on each, which a new life of the proxy has been told from its first moment.
    has: BTreeMap<(String, String), bool>,
    downs: Spans,
    cuts: Spans,
    starts: BTreeMap<String, Vec<(At, bool)>>,
    /// When a backend's process ended.
    stops: BTreeMap<String, Vec<At>>,
    end: At,
}

fn open(spans: &mut Spans, name: &str, at: At, how: &str) {
    spans.entry(name.to_string()).or_default().push((at, At(i64::MAX), how.to_string()));
}

fn shut(spans: &mut Spans, name: &str, at: At) {
    let open = spans.get_mut(name).into_iter().flatten().filter(|(_, to, _)| *to == At(i64::MAX));
    open.for_each(|span| span.1 = at);
}

impl Book {
    fn of(records: &[Record]) -> Book {
        let mut book = Book::default();
        for record in records {
            book.enter(record);
        }
        book
    }

    fn request(&mut self, id: &str) -> &mut Request {
        self.requests.entry(id.to_string()).or_default()
    }

    fn enter(&mut self, record: &Record) {
        let Record { t, component: part, kind: what } = record;
        let t = *t;
        self.end = self.end.max(t);
        match what {
            RecordKind::Sent { id, class, to, cut_off, .. } => {
                let e = self.request(id);
                (e.class, e.to, e.sent, e.cut_off, e.taken) = (class.clone(), to.clone(), t, *cut_off, true);
            }
            RecordKind::CallSent { id, to, cut_off, .. } => {
                let (class, part) = (id.clone(), part.clone());
                let e = self.request(id);
                (e.class, e.to, e.sent, e.cut_off) = (class, to.clone(), t, *cut_off);
                (e.caller, e.taken) = (Some(part), true);
            }
            RecordKind::ResponseReceived { id, status, .. } => self.request(id).answers.push((t, *status)),
            RecordKind::CallEnded { id, status: 0 } => {
                self.request(id).lost = Some((t, "a call's end".to_string()))
            }
            RecordKind::CallEnded { id, status } => self.request(id).answers.push((t, *status)),
            RecordKind::ConnectionLost { id, how } => self.request(id).lost = Some((t, how.clone())),
            RecordKind::GaveUp { id, own } => self.request(id).gave_up = Some((t, *own)),
            RecordKind::UnsolicitedBytes { id, .. } if !id.is_empty() => self.request(id).unasked = true,
            RecordKind::UnsolicitedBytes { .. } => {
                // On a kept connection after its last answer: of no request any more, but never allowed.
                let e = self.request(&format!("unasked at {}", t.0));
                (e.unasked, e.sent) = (true, t);
            }
            RecordKind::Resent { id } => self.request(id).taken = false,
            RecordKind::SendIncomplete { id, .. } => self.request(id).taken = false,
            RecordKind::ProcessingStarted { id } => {
                self.begun.entry(id.clone()).or_default().push((t, part.clone()))
            }
            RecordKind::Arrived { id, first, .. } => {
                self.arrived.entry(id.clone()).or_default().push((*first, part.clone()));
                self.offered.entry(part.clone()).or_default().push(t);
            }
            RecordKind::CallerGone { id, .. } => drop(self.dropped.insert(id.clone())),
            RecordKind::HealthReported { proxy, host, health, .. } => {
                let told = self.told.entry((proxy.clone(), host.clone())).or_default();
                told.push((t, health == "Ready"));
                self.has.insert((proxy.clone(), host.clone()), health == "Ready");
            }
            RecordKind::ProxyDown { proxy, how } => {
                open(&mut self.downs, proxy, t, how);
                // A new life knows nothing yet.
                if how != "freeze" && !how.starts_with("slow") {
                    self.told
                        .iter_mut()
                        .filter(|((p, _), _)| p == proxy)
                        .for_each(|(_, told)| told.push((t, true)));
                }
            }
            RecordKind::ProxyUp { proxy } => {
                let anew = self.downs.get(proxy).and_then(|spans| spans.last());
                if anew.is_some_and(|(_, _, how)| how != "freeze" && !how.starts_with("slow")) {
                    for ((_, host), ready) in self.has.iter().filter(|((p, _), _)| p == proxy) {
                        let told = self.told.entry((proxy.clone(), host.clone())).or_default();
                        told.extend([(t, true), (t, *ready)]);
                    }
                }
                shut(&mut self.downs, proxy, t);
            }
            RecordKind::Cut { link, how } => open(&mut self.cuts, link, t, how),
            RecordKind::Restored { link } => shut(&mut self.cuts, link, t),
            RecordKind::Started { warm, .. } => self.starts.entry(part.clone()).or_default().push((t, *warm)),
            RecordKind::Stopped { .. } => self.stops.entry(part.clone()).or_default().push(t),
            _ => {}
        }
    }

    /// How much of a span the plan kept a proxy from running.
    fn stopped(&self, proxy: &str, from: At, to: At) -> Micros {
        let mut all = Micros::ZERO;
        for (began, ended, how) in self.downs.get(proxy).into_iter().flatten() {
            let part = match how.split_once(' ') {
                Some(("slow", share)) => 1.0 - share.parse().unwrap_or(1.0),
                _ if how == "freeze" => 1.0,
                _ => continue,
            };
            let (began, ended) = ((*began).max(from), (*ended).min(to));
            if ended >= began {
                all = all + ended.since(began).scaled(part) + SLOW_PROXY_PERIOD;
            }
        }
        all
    }

    /// Whether the plan itself took away the way to an answer, or the time for it.
    fn excused(&self, e: &Request, until: At) -> bool {
        let over = |spans: &Spans, name: &str, skip: &[&str]| {
            let spans = spans.get(name).into_iter().flatten();
            spans
                .filter(|(_, _, how)| !skip.contains(&how.as_str()))
                .any(|(from, to, _)| *from <= until && *to + ALLOWANCE >= e.sent)
        };
        let link = e.to.replacen("/p-", "/c-", 1);
        let caller_gone = e.caller.as_ref().is_some_and(|caller| {
            self.stops.get(caller).is_some_and(|stops| stops.iter().any(|at| *at >= e.sent && *at <= until))
        });
        over(&self.downs, &e.to, &["term", "shrink"]) || over(&self.cuts, &link, &[]) || caller_gone
    }
}

/// Judges a run's records.
pub fn judge(records: &[Record], scenario: &Scenario) -> Verdict {
    let book = Book::of(records);
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
    let slack = ALLOWANCE + verdict.late;
    for (id, e) in &book.requests {
        one_answer(&book, id, e, slack, &mut verdict);
        one_effect(&book, id, e, scenario, slack, &mut verdict);
        drains(&book, id, e, scenario, slack, &mut verdict);
    }
    for (host, starts) in &book.starts {
        let Some((tier, _, n)) = scenario.components(host).first().copied() else { continue };
        let tier = &scenario.tiers[tier];
        for (from, _) in starts.iter().filter(|(_, warm)| !warm) {
            cold(&book, host, *from, (tier, tier.core_count(n)), &mut verdict);
        }
    }
    for (proxy, spans) in &book.downs {
        for (at, _, how) in spans.iter().filter(|(_, _, how)| how.starts_with("crash")) {
            let text = format!("{proxy}: {how}");
            verdict.breaches.push(Breach { rule: Rule::NoCrash, id: None, at: *at, text });
        }
    }
    verdict.breaches.sort_by_key(|breach| breach.at);
    verdict
}

fn one_answer(book: &Book, id: &str, e: &Request, slack: Micros, verdict: &mut Verdict) {
    let mut breach = |at, text: String| {
        let id = Some(id.to_string());
        verdict.breaches.push(Breach { rule: Rule::OneResponse, id, at, text });
    };
    if e.unasked {
        let at = e.answers.first().map_or(e.sent, |(at, _)| *at);
        return breach(at, "more came after the answer".to_string());
    }
    if !e.taken {
        return;
    }
    verdict.taken += 1;
    if e.answers.len() > 1 {
        return breach(e.answers[1].0, format!("{} answers", e.answers.len()));
    }
    if let Some((at, status)) = e.answers.first() {
        if *at > e.cut_off + slack {
            if book.excused(e, *at) {
                verdict.excused += 1;
            } else {
                let late = at.since(e.cut_off);
                breach(*at, format!("status {status} came {late} after the cut-off"));
            }
        }
        return;
    }
    if e.gave_up.as_ref().is_some_and(|(_, own)| *own) {
        return;
    }
    let end = e.lost.as_ref().map(|(at, _)| *at).or(e.gave_up.map(|(at, _)| at)).unwrap_or(book.end);
    // A call whose backend gave it up is a caller that left.
    let left = e.caller.is_some() && e.lost.is_none();
    if book.excused(e, end) {
        verdict.excused += 1;
    } else if left && (end < e.cut_off + slack || parent_dropped(book, id)) {
        // Nothing was owed any more, or it is not over yet.
    } else if let Some((at, how)) = &e.lost {
        let kept = how.contains("kept") || e.caller.is_some();
        if kept && at.since(e.sent) <= CROSSING && !book.arrived.contains_key(id) {
            verdict.crossed += 1;
        } else {
            breach(*at, format!("no answer: {how}"));
        }
    } else if book.end > e.cut_off + slack {
        breach(end, "no answer by the cut-off, nor after".to_string());
    }
}

/// Whether the request that made this call was given up by its own caller.
fn parent_dropped(book: &Book, id: &str) -> bool {
    let parent = id.rsplitn(3, '.').last().unwrap_or_default();
    book.dropped.contains(parent)
}

fn one_effect(book: &Book, id: &str, e: &Request, scenario: &Scenario, slack: Micros, verdict: &mut Verdict) {
    let Some(begun) = book.begun.get(id) else { return };
    let Some(class) = scenario.class(&class_of(book, id, e)) else { return };
    if class.effect == Effect::Safe {
        return;
    }
    let mut breach = |at, text| {
        let id = Some(id.to_string());
        verdict.breaches.push(Breach { rule: Rule::OneExecution, id, at, text });
    };
    let (first, rest) = (&begun[0], &begun[1..]);
    match (class.effect, class.group, class.window) {
        (Effect::Keyed, Some(group), Some(window)) => {
            // Repeats within the group and its window are dropped by the backends themselves.
            if let Some((at, host)) = rest.iter().find(|(_, host)| !share(scenario, group, &first.1, host)) {
                breach(*at, format!("begun at {} and again at {host}, outside of its group", first.1));
            }
            if let Some((at, host)) = rest.iter().find(|(at, _)| *at > first.0 + window + slack) {
                breach(*at, format!("begun again at {host} {} after the first time", at.since(first.0)));
            }
        }
        _ => {
            if let Some((at, host)) = rest.first() {
                breach(*at, format!("begun {} times, then at {host}", begun.len()));
            }
        }
    }
    if class.group == Some(Group::All) {
        return; // what all drop may be tried again wherever it was begun
    }
    let refused = e.answers.iter().find(|(_, status)| matches!(status, 429 | 503));
    if let Some((at, status)) = refused {
        breach(*at, format!("turned back with {status} though {} had begun it", begun[0].1));
    }
}

/// Whether two backends drop each other's repeats.
fn share(scenario: &Scenario, group: Group, one: &str, other: &str) -> bool {
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

/// A call bears the class of the request that it serves.
fn class_of(book: &Book, id: &str, e: &Request) -> String {
    match e.caller {
        None => e.class.clone(),
        Some(_) => {
            let first = id.split('.').next().unwrap_or(id);
            book.requests.get(first).map(|e| e.class.clone()).unwrap_or_default()
        }
    }
}

fn drains(book: &Book, id: &str, e: &Request, scenario: &Scenario, slack: Micros, verdict: &mut Verdict) {
    for (first, host) in book.arrived.get(id).into_iter().flatten() {
        let Some(told) = book.told.get(&(e.to.clone(), host.clone())) else { continue };
        let grace = scenario.tiers.iter().find(|tier| host.split('/').next() == Some(&tier.name));
        let grace = grace.map_or(Micros::ZERO, |tier| tier.drain_grace);
        let Some((at, false)) = told.iter().rev().find(|(at, _)| at <= first) else { continue };
        // The first of the words that say so: a second one does not give the grace anew.
        let since = told.iter().rev().skip_while(|(t, _)| t > at).take_while(|(_, ready)| !ready).last();
        let since = since.map_or(*at, |(at, _)| *at);
        // It could do nothing while it was stopped, nor at once after.
        if *first > since + grace + slack + book.stopped(&e.to, since, *first) {
            let text = format!("sent to {host} {} after {} was told of its drain", first.since(since), e.to);
            verdict.breaches.push(Breach {
                rule: Rule::DrainGrace,
                id: Some(id.to_string()),
                at: *first,
                text,
            });
        }
    }
}

fn cold(book: &Book, host: &str, from: At, (tier, cores): (&Tier, usize), verdict: &mut Verdict) {
    let offered = book.offered.get(host).map_or(&[][..], |all| all.as_slice());
    let ended = book.stops.get(host).into_iter().flatten().find(|at| **at > from).copied();
    let until = (from + tier.cold_ramp).min(ended.unwrap_or(At(i64::MAX)) + Micros(1));
    let Some((at, count, bearable)) = fleet_figures::heaviest(offered, (from, until), tier, cores).over
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

/// All that was seen of a request and of its calls, a line each, with what else went on meanwhile.
pub fn timeline(records: &[Record], id: &str, start: At, logs: &[(String, String)]) -> Vec<String> {
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
