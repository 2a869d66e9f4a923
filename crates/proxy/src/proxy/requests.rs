//! The life of a request in the loop: taken, attempted, answered, forgotten.

use super::{Held, Proxy, Upload, COPY_MOST};
use crate::attempt_result::AttemptResult;
use crate::http::{self, HttpError};
use crate::pool::OutgoingRequest;
use crate::shared::{
    ClientSlot, ConnSlot, IncomingRequest, JobResult, ProxyEvent, Purpose, RequestSlot, StartedResponse,
    TimerEvent,
};
use sparlug::event::{AttemptEnd, Event, Outcome, Reason, Request};
use sparlug::id::{AttemptNo, BackendId, ClassId, RequestId};
use sparlug::time::{Span, Time};

impl Proxy {
    pub(super) fn taken(&mut self, client: ClientSlot, incoming: IncomingRequest) {
        self.io.counters.requests_received += 1;
        let (class, deadline, whole) = (ClassId(incoming.class), incoming.deadline, incoming.complete);
        let (tenant, key, cost) = (incoming.tenant, incoming.head.key, None);
        // Guards against large requests filling the memory while they wait.
        let bytes = incoming.message.len();
        let room = bytes + self.held_bytes <= self.clients.budgets.buffer_bytes;
        let deadlines = &mut self.io.deadlines;
        let slot = self.held.insert_with(|slot| {
            if !room {
                return None;
            }
            let due = TimerEvent::RequestDeadline(RequestId(slot.to_number()));
            let deadline = whole.then(|| deadlines.set(deadline, due));
            let upload = (!whole).then_some(Upload { fed: 0, spent: false, over: false });
            Some(Held { client: Some(client), incoming, attempts: Vec::new(), deadline, upload, began: None })
        });
        let Some(slot) = slot else {
            self.io.counters.refused += 1;
            return self.clients.reply(client, 503, true, &mut self.io);
        };
        self.held_bytes += bytes;
        self.io.streaming_requests += usize::from(!whole);
        let id = RequestId(slot.to_number());
        self.clients.holds(client, id);
        self.decide(Event::RequestReceived(Request {
            id,
            class,
            tenant,
            key,
            deadline,
            cost,
            complete: whole,
        }));
    }

    pub(super) fn attempt(
        &mut self,
        request: RequestId,
        backend: BackendId,
        time_out: Span,
        by: Option<Time>,
    ) {
        // Guards against sending on what nobody waits for: the client's end may be here, and not be read.
        if let Some(client) = self.held.get(RequestSlot::from_number(request.0)).and_then(|held| held.client)
        {
            self.clients.event(client, &mut self.io);
        }
        let clients = &self.clients;
        let spent = |held: &Held| held.upload.as_ref().is_some_and(|upload| upload.spent);
        let waits = |held: &Held| held.client.is_some_and(|client| clients.has(client));
        let open = |held: &&mut Held| waits(held) && !spent(held);
        let Some(held) = self.held.get_mut(RequestSlot::from_number(request.0)).filter(open) else {
            // Every attempt has an end, also one for a request that is over.
            let (purpose, result) = (Purpose::Attempt(request, AttemptNo(u16::MAX)), AttemptResult::NoRoom);
            let (took, load, response) = Default::default();
            let done = JobResult { backend, purpose, result, took, load, response };
            return self.io.events.push_back(ProxyEvent::JobEnded(done));
        };
        self.io.counters.attempts_started += 1;
        let id = held.incoming.head.id.as_deref();
        let (number, host) = (AttemptNo(held.attempts.len() as u16), self.pool.host(backend));
        if number.0 == 0 {
            tracing::trace!(id, request = request.0, host, "forward");
        } else {
            tracing::debug!(id, request = request.0, attempt = number.0, host, "retry");
        }
        held.attempts.push(None);
        let (incoming, window) = (&held.incoming, self.io.window());
        let (mut end, mut left, mut whole) = (incoming.message.len(), time_out, true);
        if let Some(upload) = &mut held.upload {
            end = end.min(incoming.head.length + window);
            upload.fed = end;
            whole = upload.over && end == incoming.message.len();
            left = if upload.over { time_out } else { incoming.timeout };
        }
        let (bytes, place) = incoming.head.for_backend(&incoming.message[..end], left);
        let (purpose, until) = (Purpose::Attempt(request, number), self.io.now + time_out);
        // A further attempt goes on a new connection too: it may be an idle one that cost it the last.
        let again = held.incoming.head.method == "GET" && number.0 == 0;
        let message = OutgoingRequest {
            bytes: &bytes,
            complete: whole,
            repeatable: again,
            timeout_range: whole.then_some(place),
            start_by: by,
        };
        let slot = self.pool.send(backend, purpose, message, until, &mut self.io);
        held.attempts[usize::from(number.0)] = slot;
        if !whole {
            self.up(request);
        }
    }

    /// What carries the last attempt of a request, if it is out.
    pub(super) fn out(&self, request: RequestId) -> Option<ConnSlot> {
        *self.held.get(RequestSlot::from_number(request.0))?.attempts.last()?
    }

    pub(super) fn left(&mut self, request: RequestId) {
        // The decisions know no more of what has begun to be answered.
        let began =
            self.held.get(RequestSlot::from_number(request.0)).is_some_and(|held| held.began.is_some());
        let out = self.out(request);
        self.finish(request);
        match out {
            Some(slot) if began => self.pool.cancel(slot, &mut self.io),
            // Also where nothing that runs may be called off: nothing runs yet.
            Some(slot) => self.pool.cancel_unwritten(slot, &mut self.io),
            None => {}
        }
        self.decide(Event::ClientGone(request));
    }

    /// Sends on what has come of a request and has room.
    pub(super) fn up(&mut self, request: RequestId) {
        loop {
            let Some(conn) = self.out(request) else { return };
            let room = self.pool.write_capacity(conn, &self.io);
            let Some(held) = self.held.get_mut(RequestSlot::from_number(request.0)) else { return };
            let (Some(client), Some(upload)) = (held.client, &mut held.upload) else { return };
            let message = &mut held.incoming.message;
            if room == 0 {
                return;
            }
            if !upload.spent && upload.fed < message.len() {
                let from = upload.fed;
                upload.fed = message.len().min(from + room);
                let over = upload.over && upload.fed == message.len();
                self.pool.write_body(conn, &message[from..upload.fed], over, &mut self.io);
                continue;
            }
            if upload.over {
                return;
            }
            let (bytes, over) = match self.clients.pull(client, room, &mut self.io) {
                Ok((bytes, false)) if bytes.is_empty() => return,
                Ok(pulled) => pulled,
                Err(bad) => return self.bad_body(request, client, bad),
            };
            upload.over = over;
            let (length, budget) = (bytes.len(), self.clients.budgets.buffer_bytes / 2);
            if !upload.spent && message.len() + length <= COPY_MOST && self.held_bytes + length <= budget {
                message.extend_from_slice(&bytes);
                self.held_bytes += length;
                upload.fed = message.len();
            } else if !std::mem::replace(&mut upload.spent, true) {
                self.held_bytes -= message.len();
                *message = Vec::new();
            }
            self.pool.write_body(conn, &bytes, over, &mut self.io);
            if over {
                return self.whole(request);
            }
        }
    }

    /// The last byte of a request that is sent on as it comes is here.
    pub(super) fn whole(&mut self, request: RequestId) {
        let Some(held) = self.held.get_mut(RequestSlot::from_number(request.0)) else { return };
        let deadline = self.io.earliest_arrival + held.incoming.timeout;
        held.deadline = Some(self.io.deadlines.set(deadline, TimerEvent::RequestDeadline(request)));
        self.decide(Event::RequestComplete { request, deadline });
    }

    /// What comes of a request can't be read any further.
    pub(super) fn bad_body(&mut self, request: RequestId, client: ClientSlot, bad: HttpError) {
        self.io.counters.bad_input += 1;
        self.clients.reply(client, bad.status(), true, &mut self.io);
        self.left(request);
    }

    /// An answer that is passed on as it comes has begun, with which its request is over for the decisions.
    pub(super) fn began(&mut self, begun: StartedResponse) {
        let StartedResponse { backend, request, attempt, head, message, took } = begun;
        let out = self.out(request);
        let Some(held) = self.held.get_mut(RequestSlot::from_number(request.0)) else { return };
        let Some(client) = held.client else {
            return out.into_iter().for_each(|slot| self.pool.cancel(slot, &mut self.io));
        };
        let close = held.incoming.head.close || self.clients.ends(client);
        self.io.streaming_requests += usize::from(!held.streams());
        self.io.deadlines.cancel(held.deadline.take());
        self.clients.begin(client, request, &head.start_stream(&message, close), close, &mut self.io);
        let load = head.load;
        held.began = Some(Box::new(head));
        self.io.counters.served += 1;
        self.io.counters.count_outcome(Outcome::Served);
        let (outcome, answered, spent) = (Outcome::Served, true, true);
        self.decide(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            backend,
            outcome,
            answered,
            body_discarded: spent,
            took,
            load,
        }));
    }

    /// Passes on what has come of an answer and has room.
    pub(super) fn down(&mut self, request: RequestId) {
        loop {
            let Some(conn) = self.out(request) else { return };
            let Some(held) = self.held.get(RequestSlot::from_number(request.0)) else { return };
            let (Some(client), Some(head)) = (held.client, &held.began) else { return };
            let room = self.clients.room(client, &self.io);
            if room == 0 {
                return;
            }
            let (bytes, over) = self.pool.read_body(conn, room, &mut self.io);
            if bytes.is_empty() && !over {
                return;
            }
            self.clients.go_on_with(client, &head.stream_piece(&bytes, over), over, &mut self.io);
            if over {
                return self.finish(request);
            }
        }
    }

    pub(super) fn check(&mut self, backend: BackendId) {
        self.io.counters.checks += 1;
        let host = self.pool.address(backend).map(|dial| dial.to_string()).unwrap_or_default();
        let message = format!("GET {} HTTP/1.1\r\nHost: {host}\r\n\r\n", self.check_path);
        let until = self.io.now + self.pool.connect_timeout();
        let message = OutgoingRequest {
            bytes: message.as_bytes(),
            complete: true,
            repeatable: true,
            timeout_range: None,
            start_by: None,
        };
        self.pool.send(backend, Purpose::Check, message, until, &mut self.io);
    }

    pub(super) fn ended(&mut self, done: JobResult) {
        let outcome = done.result.outcome();
        let JobResult { backend, purpose, result, took, load, response } = done;
        let Purpose::Attempt(request, attempt) = purpose else {
            // The answer to a check bears its report as its body.
            let load =
                response.map_or(load, |(head, message)| http::parse_load_report(&head.body_text(&message)));
            let host = self.pool.host(backend);
            tracing::trace!(host, ending = ?result, took = took.ms(), held = load.in_flight, "check ended");
            return self.decide(Event::CheckEnded { backend, outcome, took, load });
        };
        if self.held.get(RequestSlot::from_number(request.0)).is_some_and(|held| held.began.is_some()) {
            return self.streamed(request, backend, result);
        }
        self.io.counters.count_outcome(outcome);
        if outcome != Outcome::Served {
            let host = self.pool.host(backend);
            let held = self.held.get(RequestSlot::from_number(request.0));
            let id = held.and_then(|held| held.incoming.head.id.as_deref());
            tracing::debug!(id, request = request.0, host, ending = ?result, took = took.ms(), "forward ended");
        } else {
            let host = self.pool.host(backend);
            tracing::trace!(request = request.0, host, took = took.ms(), "forward honoured");
        }
        let slot = RequestSlot::from_number(request.0);
        if let Some(held) = self.held.get_mut(slot) {
            if let Some(out) = held.attempts.get_mut(usize::from(attempt.0)) {
                *out = None;
            }
            let last = matches!(outcome, Outcome::Served | Outcome::Faulted);
            if let (true, Some(client), Some((head, message))) = (last, held.client, response) {
                let close = held.incoming.head.close || self.clients.ends(client);
                let close = close || outcome == Outcome::Faulted;
                self.io.counters.served += u64::from(outcome == Outcome::Served);
                let bytes = head.for_client(&message, close);
                self.clients.answer(client, head.status, &bytes, close, &mut self.io);
                self.finish(request);
            }
        }
        let answered = self.held.get(slot).is_none_or(|held| held.client.is_none());
        let spent =
            self.held.get(slot).and_then(|held| held.upload.as_ref()).is_some_and(|upload| upload.spent);
        let ended =
            AttemptEnd { request, attempt, backend, outcome, answered, body_discarded: spent, took, load };
        self.decide(Event::AttemptEnded(ended));
        self.forget(request);
    }

    /// An answer that had begun is over, or has broken off.
    pub(super) fn streamed(&mut self, request: RequestId, backend: BackendId, result: AttemptResult) {
        let Some(held) = self.held.get_mut(RequestSlot::from_number(request.0)) else { return };
        held.attempts.iter_mut().for_each(|out| *out = None);
        let broke = !matches!(result, AttemptResult::Answered { .. } | AttemptResult::CalledOff { .. });
        if let (true, Some(client)) = (broke, held.client) {
            let id = held.incoming.head.id.as_deref();
            tracing::debug!(id, host = self.pool.host(backend), ending = ?result, "answer broke off");
            self.clients.cut(client, &mut self.io);
            self.finish(request);
            self.decide(Event::ResponseAborted(backend));
        }
        self.forget(request);
    }

    /// Logs why a request gets no backend's answer.
    pub(super) fn say_unserved(&self, request: RequestId, reason: Reason) {
        let held = self.held.get(RequestSlot::from_number(request.0));
        let id = held.and_then(|held| held.incoming.head.id.as_deref());
        let attempts = held.map(|held| held.attempts.len());
        tracing::debug!(id, request = request.0, attempts, ?reason, "given up");
    }

    /// Gives the proxy's own answer to a request, if it has none yet.
    pub(super) fn answer(&mut self, request: RequestId, status: u16, backoff: Option<Span>) {
        let Some(held) = self.held.get(RequestSlot::from_number(request.0)) else { return };
        let Some(client) = held.client else { return };
        let id = held.incoming.head.id.as_deref();
        tracing::debug!(id, status, backoff = backoff.map(Span::ms), "answered without a backend's answer");
        let close = held.incoming.head.close || self.clients.ends(client);
        let bytes = http::proxy_response(status, backoff, close);
        self.clients.answer(client, status, &bytes, close, &mut self.io);
        self.finish(request);
    }

    /// The request is over: it has its answer, or its client is gone.
    pub(super) fn finish(&mut self, request: RequestId) {
        let Some(held) = self.held.get_mut(RequestSlot::from_number(request.0)) else { return };
        held.client = None;
        self.io.deadlines.cancel(held.deadline.take());
        self.forget(request);
    }

    /// Drops the record of a request that is over, once no attempt is out.
    pub(super) fn forget(&mut self, request: RequestId) {
        let slot = RequestSlot::from_number(request.0);
        let over = |held: &Held| held.client.is_none() && held.attempts.iter().all(Option::is_none);
        if self.held.get(slot).is_some_and(over) {
            let Some(held) = self.held.remove(slot) else { return };
            self.held_bytes -= held.incoming.message.len();
            self.io.streaming_requests -= usize::from(held.streams());
        }
    }

    /// Guards against a request that nothing answers: at its deadline it fails, whatever the decisions say.
    pub(super) fn deadline_passed(&mut self, request: RequestId) {
        let held = self.held.get(RequestSlot::from_number(request.0));
        if held.is_some_and(|held| held.client.is_some()) {
            self.io.counters.overdue += 1;
            tracing::warn!(request = request.0, "nothing was answered by the cut-off");
            self.answer(request, 504, None);
            self.decide(Event::ClientGone(request));
        }
    }
}
