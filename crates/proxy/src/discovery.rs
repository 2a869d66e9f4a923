//! The watch on the list of backends: one connection, on which the next call follows each answer at once.
//! Where lists are pushed, a call that fails is followed by the next one too, so that one is out at all times;
//! where they are asked for, it tells that it failed, and the decisions say when to ask again.

use std::net::SocketAddr;

use sparlug::time::{Span, Time};

use crate::buffered_stream::BufferedStream;
use crate::deadlines::DeadlineId;
use crate::http::{self, ResponseHead};
use crate::listing;
use crate::shared::{IoContext, Owner, ProxyEvent, TimerEvent};

const WAIT: Span = Span::from_millis(1_000); // how long a call may wait for something newer, about
const GRACE: Span = Span::from_millis(300); // for an agent's answer, beyond the time it may wait
/// For that of a list's service, which takes the calls of all proxies in their turn. Guards against a service that
/// is busy with calls that were given up. A call that was lost, a pause and the next one fit into 6 s, after which
/// what it has counts as told: at the most 1.25 s, 2 s and 1.5 s, which leaves 1.25 s for the answer.
const SERVICE_GRACE: Span = Span::from_millis(2_000);
const PACE: Span = Span::from_millis(100); // between calls that bring nothing, or fail, and do not wait either
const LIST_MOST: usize = 4 * 1024 * 1024;

pub struct Discovery {
    /// The agent; without one there is nothing to ask.
    address: Option<SocketAddr>,
    /// What the agent has counts as told, without being asked for: a call costs it nothing and is out always.
    pushed: bool,
    zones: Vec<String>,
    /// The version that the proxy has; `None` asks for the whole list.
    version: Option<u64>,
    /// How long its calls may wait. Guards against a watch that falls silent without an end: nothing but an
    /// answer that is overdue tells it, so a long wait would hide every change for as long.
    wait: Span,
    link: Option<BufferedStream>,
    /// Whose turn it is: an event of an earlier connection finds another number here.
    connection_number: u32,
    head: Option<ResponseHead>,
    asked: bool,
    /// The call went out on a connection that had brought an answer before.
    reused: bool,
    since: Time,
    /// How many calls in a row have failed, and when the first of them did.
    lost: Option<(u32, Time)>,
    deadline: Option<DeadlineId>,
}

impl Discovery {
    /// `chance`, from 0 to 1, is another one at each proxy, so that not all notice a silence in one moment.
    pub fn new(
        address: Option<SocketAddr>,
        pushed: bool,
        zones: Vec<String>,
        version: Option<u64>,
        chance: f64,
    ) -> Discovery {
        let (link, head, lost, deadline) = Default::default();
        let wait = WAIT.scaled(0.75 + 0.5 * chance);
        let since = Time::default();
        Discovery {
            address,
            pushed,
            zones,
            version,
            wait,
            link,
            connection_number: 0,
            head,
            asked: false,
            reused: false,
            since,
            lost,
            deadline,
        }
    }

    /// Whose turn it is among its connections.
    pub fn connection_number(&self) -> u32 {
        self.connection_number
    }

    /// The agent, and the version of the list at hand.
    pub fn agent_and_version(&self) -> (Option<SocketAddr>, Option<u64>) {
        (self.address, self.version)
    }

    /// Asks for what is newer than the list at hand, unless such a call is under way.
    pub fn watch(&mut self, io: &mut IoContext) {
        if !self.asked {
            self.ask(io);
        }
    }

    /// Asks for the whole list.
    pub fn fetch_full_list(&mut self, io: &mut IoContext) {
        self.version = None;
        self.stop(io);
        self.ask(io);
    }

    /// Moves the watch to another agent, if it is another one; whether it was. The new watch begins with the
    /// whole list: one agent's versions mean nothing to another. Until it has come, the old list goes on.
    pub fn set_agent(&mut self, address: Option<SocketAddr>, io: &mut IoContext) -> bool {
        let moved = std::mem::replace(&mut self.address, address) != address;
        if moved {
            self.lost = None;
            self.fetch_full_list(io);
        }
        moved
    }

    pub fn stop(&mut self, io: &mut IoContext) {
        io.deadlines.cancel(self.deadline.take());
        if let Some(link) = self.link.take() {
            link.close(&io.registry);
        }
        (self.asked, self.head) = (false, None);
    }

    fn ask(&mut self, io: &mut IoContext) {
        let Some(address) = self.address else { return };
        (self.since, self.reused) = (io.now, self.link.is_some());
        if self.link.is_none() {
            self.connection_number = self.connection_number.wrapping_add(1);
            match BufferedStream::dial(
                address,
                &io.registry,
                Owner::Discovery(self.connection_number).token(),
            ) {
                Ok(link) => self.link = Some(link),
                Err(e) => return self.failed(&e.to_string(), io),
            }
        }
        self.asked = true;
        tracing::trace!(
            version = self.version,
            turn = self.connection_number,
            reused = self.reused,
            "list asked for"
        );
        let query = self.version.map(|version| format!("?index={version}&wait={:.0}", self.wait.ms()));
        let wait = if query.is_some() { self.wait } else { Span::ZERO };
        let host = address;
        let call = format!("GET /v1/endpoints{} HTTP/1.1\r\nHost: {host}\r\n\r\n", query.unwrap_or_default());
        io.deadlines.cancel(self.deadline.take());
        let grace = if self.pushed { GRACE } else { SERVICE_GRACE };
        self.deadline = Some(io.deadlines.set(io.now + wait + grace, TimerEvent::Discovery));
        if let Some(link) = &mut self.link {
            link.queue(call.as_bytes());
        }
        self.go_on(io);
    }

    pub fn handle_event(&mut self, turn: u32, io: &mut IoContext) {
        if turn == self.connection_number && self.link.is_some() {
            self.go_on(io);
        }
    }

    /// The answer did not come in time, or it is time for the next call.
    pub fn handle_timer(&mut self, io: &mut IoContext) {
        self.deadline = None;
        if self.asked {
            self.failed("no answer", io);
        } else {
            self.ask(io);
        }
    }

    fn failed(&mut self, why: &str, io: &mut IoContext) {
        io.counters.lists_failed += 1;
        self.stop(io);
        let (lost, since) = self.lost.map_or((1, io.now), |(lost, since)| (lost + 1, since));
        self.lost = Some((lost, since));
        // Guards against a line for each of many calls that an agent lets not even in.
        if lost.is_power_of_two() || !self.pushed {
            tracing::warn!(why, lost, "discovery failed");
        }
        if !self.pushed {
            return io.events.push_back(ProxyEvent::ListFailed);
        }
        // Guards against a drain that is heard late: an agent that is silent answers the call that is out when
        // discovery is back, and from then on what it has counts as told.
        self.deadline = Some(io.deadlines.set(self.since + PACE, TimerEvent::Discovery));
    }

    fn go_on(&mut self, io: &mut IoContext) {
        self.advance(io);
        if let Some(link) = &mut self.link {
            io.schedule_retry(link, Owner::Discovery(self.connection_number));
        }
    }

    fn advance(&mut self, io: &mut IoContext) {
        let Some(link) = &mut self.link else { return };
        match link.is_established() {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return self.failed(&e.to_string(), io),
        }
        let sent = link.flush();
        let read = link.fill(LIST_MOST);
        let trouble = sent.err().or(read.err());
        let whole = match self.answer() {
            Ok(whole) => whole,
            Err(why) => return self.failed(&why, io),
        };
        match (whole, &self.link) {
            (Some(()), _) if !self.asked => self.failed("more than was asked for", io),
            (Some(()), _) => self.listed(io),
            (None, Some(link)) if link.ended || trouble.is_some() => {
                let why = trouble.map_or("connection ended".to_string(), |e| e.to_string());
                let (asked, unheard) = (self.asked, self.reused && link.input.is_empty());
                // An idle connection may end, also just as it is used again: guards against a watch that
                // lapses because the agent closes each connection. Only a call that was heard, or one on a
                // new connection, has failed.
                if asked && !unheard {
                    return self.failed(&why, io);
                }
                self.stop(io);
                if asked {
                    self.ask(io);
                }
            }
            _ => {}
        }
    }

    /// Whether an answer is whole.
    fn answer(&mut self) -> Result<Option<()>, String> {
        let Some(link) = &mut self.link else { return Ok(None) };
        if self.head.is_none() {
            self.head = http::parse_response_head(&link.input).map_err(|bad| format!("{bad:?}"))?;
        }
        let Some(head) = &mut self.head else { return Ok(None) };
        let body = head.body.parse_buffered(&link.input[head.length..], link.ended, LIST_MOST);
        let whole = body.map_err(|bad| format!("{bad:?}"))?;
        Ok(whole.map(|_| ()))
    }

    fn listed(&mut self, io: &mut IoContext) {
        let (Some(head), Some(link)) = (self.head.take(), &mut self.link) else { return };
        let message = link.take_input(head.length + head.body.parsed_len());
        // Guards against an agent that talks without being asked, answer upon answer.
        if !link.input.is_empty() {
            return self.failed("more than was asked for", io);
        }
        if head.status != 200 {
            return self.failed(&format!("status {}", head.status), io);
        }
        let list = match listing::decode(&head.body.decode(&message[head.length..]), &self.zones) {
            Ok(list) => list,
            Err(why) => return self.failed(&why, io),
        };
        io.counters.lists_received += 1;
        let waited = io.now.since(self.since).ms();
        let [ready, draining, gone] = list.condition_counts();
        tracing::debug!(
            version = list.version,
            whole = list.full,
            ready,
            draining,
            gone,
            waited,
            "list heard"
        );
        if let Some((lost, since)) = self.lost.take() {
            tracing::info!(
                lost,
                since_ms = io.now.since(since).ms(),
                draining,
                gone,
                "discovery answers again"
            );
        }
        let before = self.version.replace(list.version);
        // Guards against spinning on an agent that answers at once with nothing new, or with the same again.
        let same = list.entries.is_empty() || before == Some(list.version);
        let pace = same && io.now < self.since + PACE;
        io.events.push_back(ProxyEvent::ListReceived(list, before));
        if head.close || self.link.as_ref().is_some_and(|link| link.ended) {
            self.stop(io);
        }
        self.asked = false;
        io.deadlines.cancel(self.deadline.take());
        if pace {
            self.deadline = Some(io.deadlines.set(self.since + PACE, TimerEvent::Discovery));
        } else {
            self.ask(io);
        }
    }
}
