//! The side of the backends: where each one is, the connections to it, and what each of them carries. It
//! sends what it is told to where it is told to, once, and tells how that ended.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;

use sparlug::event::{Condition, Listing, Load};
use sparlug::id::BackendId;
use sparlug::time::{Span, Time};

use crate::attempt_result::AttemptResult;
use crate::buffered_stream::RETRY_PAUSE;
use crate::config::Budgets;
use crate::connect_timeout::{ConnectHistory, ConnectTimeout};
use crate::http::MAX_BUFFERED_MESSAGE_BYTES;
use crate::io_failures::{Cause, SystemCall};
use crate::listing::{BackendEntry, HandoverHost};
use crate::shared::{
    ConnSlot, ConnTag, IoContext, JobResult, Owner, ProxyEvent, Purpose, StartedResponse, TimerEvent,
};
use crate::slots::Slots;

mod conn;

use conn::{Came, Conn, Job, Stage};

const WORDS_MOST: u8 = 8; // answers of the kind 1xx ahead of the one that counts
const TRUSTED: u32 = 100; // kept connections in a row that held, until such may carry what may run only once
const BEGIN_AFTER: Span = Span::from_millis(25); // an answer of unknown length goes on as it comes
const SILENCE: Span = Span::from_millis(10_000); // for a body to go on, in either direction
const IDLE_PART: f64 = 0.5; // of the backend's idle time, for which an idle connection is kept

/// One run of a backend's process: where it listens, and when it started. Another one shares no connection.
#[derive(Clone, Copy, PartialEq)]
struct Life {
    dial: SocketAddr,
    started: Option<Time>,
}

/// Where a backend is, and the connections to it that stand idle, the last used one last.
struct Place {
    host: String,
    life: Life,
    /// When its process started, by the wall clock of whoever wrote the list.
    stamp: Option<Time>,
    listing: Listing,
    idle: Vec<ConnSlot>,
    conns: usize,
    dialled: ConnectHistory,
}

/// What is sent, and how.
pub struct OutgoingRequest<'a> {
    pub bytes: &'a [u8],
    /// Nothing follows.
    pub complete: bool,
    /// It may run again, should it get lost.
    pub repeatable: bool,
    /// Where the time stands that it tells, which is what is left when it is written.
    pub timeout_range: Option<Range<usize>>,
    /// It may not begin from then on.
    pub start_by: Option<Time>,
}

pub struct Pool {
    places: BTreeMap<BackendId, Place>,
    conns: Slots<ConnTag, Conn>,
    /// All that stand idle, the one that was used longest ago first.
    standing: BTreeSet<(Time, ConnSlot)>,
    budgets: Budgets,
    /// How many kept connections in a row held when they were used again.
    held_up: u32,
    /// When a connection last came up.
    last_up: Time,
    /// How long a connection may take at the most, and what has been learnt of it.
    dial: Span,
    connect_timeout: ConnectTimeout,
    idle: Span,
}

impl Pool {
    pub fn new(budgets: Budgets, dial: Span, idle: Span) -> Pool {
        let (places, conns, standing) = Default::default();
        let idle = idle.scaled(IDLE_PART);
        let connect_timeout = ConnectTimeout::new(dial);
        Pool {
            places,
            conns,
            standing,
            budgets,
            held_up: 0,
            last_up: Time::default(),
            dial,
            connect_timeout,
            idle,
        }
    }

    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.budgets = budgets;
    }

    /// Calls off what is on its way to a backend and of which nothing is written, and closes what stands idle.
    pub fn withdraw(&mut self, backend: BackendId, io: &mut IoContext) {
        let unsent = |conn: &Conn| conn.backend == backend && !matches!(conn.stage, Stage::Busy { .. });
        let unsent = self.conns.iter().filter(|(_, conn)| unsent(conn)).map(|(slot, _)| slot);
        for slot in unsent.collect::<Vec<_>>() {
            self.close(slot, AttemptResult::Withdrawn, io);
        }
    }

    pub fn slots(&self) -> impl Iterator<Item = ConnSlot> + '_ {
        self.conns.iter().map(|(slot, _)| slot)
    }

    /// How many backends the list has.
    pub fn listed_count(&self) -> usize {
        self.places.values().filter(|place| place.listing.condition != Condition::Gone).count()
    }

    /// The list as it is at hand, for the process that takes this one's place.
    pub fn current_list(&self) -> Vec<HandoverHost> {
        let listed = self.places.values().filter(|place| place.listing.condition != Condition::Gone);
        let entry = |place: &Place| {
            let (host, dial, stamp) = (place.host.clone(), place.life.dial, place.stamp);
            HandoverHost::from_entry(&BackendEntry {
                host,
                address: dial,
                listed_start: stamp,
                listing: place.listing,
            })
        };
        listed.map(entry).collect()
    }

    pub fn is_listed(&self, backend: BackendId) -> bool {
        self.places.get(&backend).is_some_and(|place| place.listing.condition != Condition::Gone)
    }

    /// How many backends are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.places.values().filter(|place| place.listing.condition == Condition::Ready).count()
    }

    /// Takes in a change of the list.
    pub fn update_list(&mut self, whole: bool, entries: &[BackendEntry], io: &mut IoContext) {
        if whole {
            self.places.values_mut().for_each(|place| place.listing.condition = Condition::Gone);
        }
        for BackendEntry { host, address: dial, listed_start: stamp, listing } in entries {
            let life = Life { dial: *dial, started: listing.started };
            let place = self.places.entry(listing.backend).or_insert_with(|| {
                tracing::info!(host, %dial, "listed");
                let (idle, dialled) = Default::default();
                Place { host: host.clone(), life, stamp: *stamp, listing: *listing, idle, conns: 0, dialled }
            });
            (place.listing, place.life, place.stamp) = (*listing, life, *stamp);
        }
        let unfit = |conn: &Conn| match (&conn.stage, self.places.get(&conn.backend)) {
            (_, None) => true,
            (Stage::Busy { .. }, _) => false,
            (_, Some(place)) => place.listing.condition != Condition::Ready || place.life != conn.life,
        };
        let unfit = self.conns.iter().filter(|(_, conn)| unfit(conn)).map(|(slot, _)| slot);
        for slot in unfit.collect::<Vec<_>>() {
            self.close(slot, AttemptResult::Withdrawn, io);
        }
        self.places.retain(|_, place| place.listing.condition != Condition::Gone || place.conns > 0);
    }

    /// Sends a message to a backend, on an idle connection or a new one. Whatever happens is told in a note. What
    /// may not run `again` goes on a new one unless idle ones have held up: guards against backends and networks
    /// that drop idle connections early, under a request which nobody then knows to have run.
    pub fn send(
        &mut self,
        backend: BackendId,
        purpose: Purpose,
        message: OutgoingRequest,
        until: Time,
        io: &mut IoContext,
    ) -> Option<ConnSlot> {
        let found =
            if message.repeatable || self.held_up >= TRUSTED { self.take_idle(backend, io) } else { None };
        if found.is_some() {
            io.counters.connections_reused += 1;
        }
        let slot = match found.map_or_else(|| self.dial(backend, io), Ok) {
            Ok(slot) => slot,
            Err(ending) => {
                let done = JobResult {
                    backend,
                    purpose,
                    result: ending,
                    took: Span::ZERO,
                    load: Load::default(),
                    response: None,
                };
                io.events.push_back(ProxyEvent::JobEnded(done));
                return None;
            }
        };
        let conn = self.conns.get_mut(slot)?;
        let deadline = io.deadlines.set(until, TimerEvent::AttemptTimeout(slot));
        conn.job = Some(Job { purpose, sent: io.now, deadline, whole: message.complete });
        conn.used = io.now;
        conn.told = message.timeout_range.map(|place| (place, until));
        conn.by = message.start_by;
        conn.link.queue(message.bytes);
        self.handle_ready(slot, io);
        Some(slot)
    }

    /// An idle connection that is still good, the last used one first. Those that had rested were tried first, against a
    /// second answer that comes late, and served less (`docs/incidents/second-answers.md`).
    fn take_idle(&mut self, backend: BackendId, io: &mut IoContext) -> Option<ConnSlot> {
        loop {
            let slot = self.places.get_mut(&backend)?.idle.pop()?;
            let Some(conn) = self.conns.get_mut(slot) else { continue };
            // Guards against writing on a connection that the backend has closed a moment ago, or is about to
            // close because the proxy itself stood still.
            let fresh = io.now < conn.used + self.idle;
            if fresh && conn.quiet() {
                io.deadlines.cancel(conn.deadline.take());
                (conn.stage, conn.kept, conn.streams) = (Stage::Busy { written: false }, true, false);
                self.standing.remove(&(conn.used, slot));
                return Some(slot);
            }
            self.close(slot, AttemptResult::Idle, io);
        }
    }

    fn dial(&mut self, backend: BackendId, io: &mut IoContext) -> Result<ConnSlot, AttemptResult> {
        let Some(Place { life, .. }) = self.places.get(&backend) else {
            return Err(AttemptResult::Withdrawn);
        };
        let life = *life;
        if self.conns.count()
            >= self.budgets.backends.max(self.budgets.total.saturating_sub(io.client_connections))
        {
            // The connection that was idle for longest makes room.
            let oldest = self.standing.first().map(|(_, slot)| *slot);
            self.close(oldest.ok_or(AttemptResult::NoRoom)?, AttemptResult::Idle, io);
        }
        let conn = Conn::unconnected(backend, life, io.now);
        let slot = self.conns.insert_with(|_| Some(conn)).ok_or(AttemptResult::NoRoom)?;
        self.places.entry(backend).and_modify(|place| place.conns += 1);
        io.backend_connections += 1;
        Ok(slot)
    }

    /// Makes the socket of a connection that is wanted.
    fn connect(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.retry_at <= io.now) else { return };
        if let Err(e) = conn.link.connect(conn.life.dial) {
            return self.dial_failed(slot, &e, io);
        }
        conn.dialled = io.now;
        if let (Some(_), Some(job)) = (conn.dial_failure.take(), &mut conn.job) {
            job.sent = io.now; // guards against the wait for a socket counting as the backend's time
        }
        let known = self.places.get(&conn.backend).map(|place| place.dialled).unwrap_or_default();
        let until = io.now + self.connect_timeout.after(&known);
        conn.set_dial_deadline(slot, Some(until), io);
        io.counters.connections_opened += 1;
        tracing::trace!(host = self.host_of(slot), "dialled");
    }

    /// A connection could not be made. Where that may be the moment's fault it is tried again: nothing was sent.
    fn dial_failed(&mut self, slot: ConnSlot, error: &std::io::Error, io: &mut IoContext) {
        io.counters.failures.count(SystemCall::Connect, error);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let cause = Cause::of(error);
        if !cause.is_retryable() && cause != Cause::Network {
            return self.close(slot, AttemptResult::Refused, io);
        }
        conn.dial_failure = Some(cause);
        conn.retry_at = io.now + RETRY_PAUSE;
        io.events.push_back(ProxyEvent::SendFailed(conn.backend));
        io.deadlines.set(conn.retry_at, TimerEvent::Recheck(Owner::Conn(slot)));
        // Want of something ends with the attempt's own time; what may be the way to this backend, with that to dial.
        let until = (cause == Cause::Network).then_some(conn.used + self.dial);
        conn.set_dial_deadline(slot, until, io);
    }

    fn host_of(&self, slot: ConnSlot) -> Option<&str> {
        self.host(self.conns.get(slot)?.backend)
    }

    /// Does all that the connection is ready for.
    pub fn handle_ready(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.advance(slot, io);
        self.settle(slot, io);
    }

    fn settle(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.link.retry_nodelay();
        if io.schedule_retry(&mut conn.link, Owner::Conn(slot)) && conn.job.is_some() {
            io.events.push_back(ProxyEvent::SendFailed(conn.backend));
        }
    }

    fn advance(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if matches!(conn.stage, Stage::Dialling) && !conn.link.is_connected() {
            self.connect(slot, io);
        }
        let Some(conn) = self.conns.get_mut(slot) else { return };
        if matches!(conn.stage, Stage::Dialling) {
            match conn.link.is_established() {
                Ok(false) => return,
                Err(e) => {
                    io.counters.failures.count(SystemCall::Connect, &e);
                    return self.close(slot, AttemptResult::Refused, io);
                }
                Ok(true) => {
                    self.last_up = io.now;
                    io.deadlines.cancel(conn.deadline.take());
                    conn.stage = Stage::Busy { written: false };
                    if let Some(place) = self.places.get_mut(&conn.backend) {
                        self.connect_timeout.record_success(&mut place.dialled, io.now.since(conn.dialled));
                    }
                }
            }
        }
        if conn.is_too_late(io.now) {
            return self.close(slot, AttemptResult::TooLate, io);
        }
        conn.tell_time_left(io.now);
        if !matches!(conn.stage, Stage::Busy { .. }) {
            // Guards against closing a good connection for an event of what was read already, or for room to
            // write: only an end, or bytes that nobody asked for, end it.
            if !conn.quiet() {
                self.close(slot, AttemptResult::Idle, io);
            }
            return;
        }
        let sent = conn.link.flush();
        conn.forget_begin();
        let Stage::Busy { written } = &mut conn.stage else { return };
        let whole = conn.job.as_ref().is_none_or(|job| job.whole);
        if let (Ok(all), Some(job)) = (&sent, &mut conn.job) {
            if *all && whole && !std::mem::replace(written, true) {
                io.counters.attempts_sent += u64::from(job.purpose != Purpose::Check);
                // Guards against a slow client's time counting as the backend's.
                job.sent = if conn.used > job.sent { io.now } else { job.sent };
            }
            match job.purpose {
                Purpose::Attempt(request, _) if !whole && conn.link.unsent() <= io.window() / 2 => {
                    io.events.push_back(ProxyEvent::RequestBodyReady(request));
                }
                _ => {}
            }
        }
        let written = *written;
        let read = conn.link.fill(if conn.streams { io.window() } else { MAX_BUFFERED_MESSAGE_BYTES });
        for (call, failed) in
            [(SystemCall::Write, sent.as_ref().err()), (SystemCall::Read, read.as_ref().err())]
        {
            failed.into_iter().for_each(|e| io.counters.failures.count(call, e));
        }
        if let (true, Some(Job { purpose: Purpose::Attempt(request, _), .. })) = (conn.streams, &conn.job) {
            return io.events.push_back(ProxyEvent::ResponseBodyReady(*request));
        }
        // What was answered counts, also where the connection broke behind it.
        match Conn::answer(conn) {
            Err(ending) => self.close(slot, ending, io),
            Ok(Came::Whole) => self.answered(slot, written, io),
            Ok(Came::Long) => self.begin(slot, io),
            Ok(Came::Part { unknown }) if sent.is_ok() && read.is_ok() && !conn.link.ended => {
                if conn.link.input.len() >= MAX_BUFFERED_MESSAGE_BYTES && unknown {
                    self.begin(slot, io);
                } else if conn.link.input.len() >= MAX_BUFFERED_MESSAGE_BYTES {
                    self.close(slot, AttemptResult::Garbled, io);
                } else if conn.link.has_unread() {
                    // Room was made by words on the way. They are bounded, and so is this.
                    self.advance(slot, io);
                } else if unknown && conn.deadline.is_none() {
                    conn.deadline =
                        Some(io.deadlines.set(io.now + BEGIN_AFTER, TimerEvent::StartStreaming(slot)));
                }
            }
            Ok(Came::Part { .. }) => {
                let ending = match (written, conn.link.input.is_empty()) {
                    (_, true) if conn.kept && conn.words == 0 => AttemptResult::KeptBroke { written },
                    (false, _) => AttemptResult::BrokeBefore,
                    (true, true) => AttemptResult::BrokeAfter,
                    (true, false) => AttemptResult::CutShort,
                };
                self.close(slot, ending, io);
            }
        }
    }

    /// An answer came whole: the connection can be used again, or ends.
    fn answered(&mut self, slot: ConnSlot, written: bool, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let Some(head) = conn.head.take() else { return };
        conn.words = 0;
        self.held_up = self.held_up.saturating_add(u32::from(conn.kept));
        let message = conn.link.take_input(head.length + head.body.parsed_len());
        io.deadlines.cancel(conn.deadline.take());
        let ending = AttemptResult::Answered { status: head.status, not_started: head.not_started };
        let keep = written && !head.close;
        conn.finish(ending, head.load, Some((head, message)), io);
        self.rest(slot, ending, keep, io);
    }

    /// After an answer a connection stands idle, or ends.
    fn rest(&mut self, slot: ConnSlot, ending: AttemptResult, keep: bool, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let room = self.standing.len() < self.budgets.idle;
        let keep = keep && room && !conn.link.ended && conn.link.input.is_empty();
        let place = self.places.get_mut(&conn.backend);
        match place
            .filter(|place| keep && place.listing.condition == Condition::Ready && place.life == conn.life)
        {
            None => self.close(slot, ending, io),
            Some(place) => {
                conn.stage = Stage::Idle;
                conn.used = io.now;
                conn.deadline = Some(io.deadlines.set(io.now + self.idle, TimerEvent::IdleTimeout(slot)));
                place.idle.push(slot);
                self.standing.insert((conn.used, slot));
            }
        }
    }

    /// The answer is passed on as it comes from here on; its time is up to here.
    fn begin(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        let (Some(Job { purpose: Purpose::Attempt(request, attempt), sent, deadline, .. }), Some(head)) =
            (&mut conn.job, &conn.head)
        else {
            return self.close(slot, AttemptResult::Garbled, io);
        };
        io.deadlines.cancel(conn.deadline.take());
        io.deadlines.cancel(Some(*deadline));
        *deadline = io.deadlines.set(io.now + SILENCE, TimerEvent::AttemptTimeout(slot));
        (conn.streams, conn.used) = (true, io.now);
        let message = conn.link.take_input(head.length + head.body.parsed_len());
        let (backend, head, took) = (conn.backend, head.clone(), io.now.since(*sent));
        let (request, attempt) = (*request, *attempt);
        io.events.push_back(ProxyEvent::ResponseStarted(StartedResponse {
            backend,
            request,
            attempt,
            head,
            message,
            took,
        }));
        io.events.push_back(ProxyEvent::ResponseBodyReady(request));
    }

    /// The answer has not come to its end, and its length is unknown: it goes on as it comes.
    pub fn start_streaming_due(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.handle_ready(slot, io);
        if self.conns.get_mut(slot).is_some_and(|conn| conn.awaits_end()) {
            self.begin(slot, io);
        }
    }

    /// The next bytes of an answer that is passed on as it comes, `room` at the most, and whether it ends with them.
    /// If it breaks off, that is told in a note.
    pub fn read_body(&mut self, slot: ConnSlot, room: usize, io: &mut IoContext) -> (Vec<u8>, bool) {
        let nothing = (Vec::new(), false);
        let window = io.window();
        let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.streams) else { return nothing };
        let Some(head) = &mut conn.head else { return nothing };
        if conn.link.input.is_empty() && conn.link.has_unread() {
            let _ = conn.link.fill(window);
            io.schedule_retry(&mut conn.link, Owner::Conn(slot));
        }
        let most = conn.link.input.len().min(room);
        let Ok(length) = head.body.parse(&conn.link.input[..most]) else {
            self.close(slot, AttemptResult::CutShort, io);
            return nothing;
        };
        let bytes = conn.link.take_input(length);
        if !bytes.is_empty() {
            conn.used = io.now;
        }
        let ended = conn.link.ended && conn.link.input.is_empty();
        let over = head.body.is_complete() || head.body.ends_at_close() && ended && !conn.link.broken;
        if over {
            let ending = AttemptResult::Answered { status: head.status, not_started: false };
            let keep = !head.close && conn.is_written();
            (conn.head, conn.words) = (None, 0);
            conn.finish(ending, Load::default(), None, io);
            self.rest(slot, ending, keep, io);
        } else if ended {
            self.close(slot, AttemptResult::CutShort, io);
        }
        (bytes, over)
    }

    /// How much more of a message can be pushed now.
    pub fn write_capacity(&self, slot: ConnSlot, io: &IoContext) -> usize {
        let pending = self.conns.get(slot).map_or(usize::MAX, |conn| conn.link.unsent());
        io.window().saturating_sub(pending)
    }

    /// Goes on with a message that is not whole, up to its end if it is over.
    pub fn write_body(&mut self, slot: ConnSlot, bytes: &[u8], over: bool, io: &mut IoContext) {
        let Some(conn) = self.conns.get_mut(slot) else { return };
        conn.link.queue(bytes);
        if !matches!(conn.stage, Stage::Dialling) {
            conn.used = io.now;
        }
        if let Some(job) = &mut conn.job {
            job.whole = over;
        }
        self.handle_ready(slot, io);
    }

    /// What a connection carries has time until then.
    pub fn set_attempt_timeout(&mut self, slot: ConnSlot, until: Time, io: &mut IoContext) {
        if let Some(job) = self.conns.get_mut(slot).and_then(|conn| conn.job.as_mut()) {
            io.deadlines.cancel(Some(job.deadline));
            job.deadline = io.deadlines.set(until, TimerEvent::AttemptTimeout(slot));
        }
    }

    /// Every end of a connection, and of what it carried, comes through here.
    fn close(&mut self, slot: ConnSlot, ending: AttemptResult, io: &mut IoContext) {
        let Some(mut conn) = self.conns.remove(slot) else { return };
        io.backend_connections -= 1;
        if matches!(ending, AttemptResult::KeptBroke { .. }) {
            if self.held_up >= TRUSTED {
                tracing::info!("kept connections break, what may run once goes on new ones");
            }
            self.held_up = 0;
        }
        self.standing.remove(&(conn.used, slot));
        io.deadlines.cancel(conn.deadline.take());
        conn.finish(ending, Load::default(), None, io);
        if let Some(place) = self.places.get_mut(&conn.backend) {
            if ending == AttemptResult::NeverUp {
                self.connect_timeout.record_timeout(&mut place.dialled);
            }
            place.conns -= 1;
            place.idle.retain(|idle| *idle != slot);
            if place.conns == 0 && place.listing.condition == Condition::Gone {
                self.places.remove(&conn.backend);
            }
        }
        conn.link.close(&io.registry);
    }

    pub fn cancel(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let written = self.conns.get(slot).is_some_and(Conn::is_written);
        self.close(slot, AttemptResult::CalledOff { written }, io);
    }

    /// Calls off what has not been written to its last byte, and so has not begun.
    pub fn cancel_unwritten(&mut self, slot: ConnSlot, io: &mut IoContext) {
        if self.conns.get(slot).is_some_and(|conn| !conn.is_written()) {
            self.cancel(slot, io);
        }
    }

    pub fn close_idle(&mut self, backend: BackendId, io: &mut IoContext) {
        let idle = self.places.get(&backend).map(|place| place.idle.clone()).unwrap_or_default();
        idle.into_iter().for_each(|slot| self.close(slot, AttemptResult::Idle, io));
    }

    pub fn connect_timed_out(&mut self, slot: ConnSlot, io: &mut IoContext) {
        let by = self.conns.get(slot).and_then(|conn| conn.by);
        let over = by.is_some_and(|by| io.now >= by);
        let ending = match self.conns.get(slot) {
            Some(conn) if conn.dial_failure.is_none() => AttemptResult::NeverUp,
            // Others came up meanwhile: it is the way to this backend.
            Some(conn) if self.last_up > conn.used => AttemptResult::Refused,
            _ => AttemptResult::NoWay,
        };
        self.close(slot, if over { AttemptResult::TooLate } else { ending }, io);
    }

    pub fn idle_timed_out(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.close(slot, AttemptResult::Idle, io);
    }

    /// The time for what the connection carries is over. What has come by now still counts.
    pub fn attempt_timed_out(&mut self, slot: ConnSlot, io: &mut IoContext) {
        self.handle_ready(slot, io);
        let Some(conn) = self.conns.get_mut(slot) else { return };
        // While a body is on its way only silence counts, and not where the other side is waited for.
        let waits = match &conn.job {
            Some(_) if conn.streams => Some(!conn.link.input.is_empty()),
            Some(job) if !job.whole => Some(conn.link.unsent() == 0),
            _ => None,
        };
        if let (Some(waits), Some(job)) = (waits, &mut conn.job) {
            let since = if waits { io.now } else { conn.used };
            if io.now < since + SILENCE {
                job.deadline = io.deadlines.set(since + SILENCE, TimerEvent::AttemptTimeout(slot));
                return;
            }
            if conn.streams {
                return self.close(slot, AttemptResult::CutShort, io);
            }
        }
        let written = conn.is_written();
        if conn.job.is_some() {
            self.close(slot, AttemptResult::OutOfTime { written }, io);
        }
    }

    /// How long a connection may take to come up; a check may take no longer.
    pub fn connect_timeout(&self) -> Span {
        self.dial
    }

    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.places.get(&backend).map(|place| place.life.dial)
    }

    pub fn host(&self, backend: BackendId) -> Option<&str> {
        self.places.get(&backend).map(|place| place.host.as_str())
    }

    /// The host of the backend with whose id a text begins.
    pub fn host_named_in(&self, text: &str) -> Option<&str> {
        let id = text.split(' ').next()?;
        let named = self.places.iter().find(|(backend, _)| backend.to_string() == id);
        named.map(|(_, place)| place.host.as_str())
    }
}
