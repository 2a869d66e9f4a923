//! The processing of a request in the proxy: it is received, attempted, given its response and removed.

use super::{PendingRequest, Proxy, StreamedBody, MAX_BODY_PIECES_PER_TURN, MAX_REPLAY_BYTES};
use crate::attempt_result::AttemptResult;
use crate::buffered_stream::reserve_blocks;
use crate::clients::IdHash;
use crate::control_messages::{HandoverMessage, HandoverState};
use crate::http::{self, HttpError};
use crate::pool::OutgoingRequest;
use crate::shared::{
    ClientSlot, ConnSlot, IncomingRequest, JobResult, Owner, ProxyEvent, Purpose, RequestSlot,
    StartedResponse, TimerEvent,
};
use sparlug::event::{AttemptEnd, Event, Outcome, Reason, Request};
use sparlug::id::{AttemptNo, BackendId, ClassId, RequestId};
use sparlug::time::{Span, Time};

impl Proxy {
    pub(super) fn receive_request(&mut self, client: ClientSlot, incoming: IncomingRequest) {
        self.io.counters.requests_received += 1;
        self.share_request_id(&incoming);
        let (class, deadline, complete) = (ClassId(incoming.class), incoming.deadline, incoming.complete);
        let (tenant, key, cost) = (incoming.tenant, incoming.head.key, None);
        // Large requests that wait must not fill the memory.
        let bytes = incoming.message.len();
        let due = if complete {
            self.response_due(&incoming, Some(deadline)).unwrap_or(deadline)
        } else {
            self.upload_due(&incoming, Some(client))
        };
        let fits = bytes <= self.io.memory.buffer_limit(bytes);
        let deadlines = &mut self.io.deadlines;
        let slot = self.pending.insert_with(|slot| {
            if !fits {
                return None;
            }
            let timer = TimerEvent::RequestDeadline(RequestId(slot.to_number()));
            let deadline = Some(deadlines.set(due, timer));
            let streamed_body =
                (!complete).then_some(StreamedBody { sent: 0, discarded: false, complete: false });
            Some(PendingRequest {
                client: Some(client),
                incoming,
                attempts: Vec::new(),
                deadline,
                streamed_body,
                streamed_response: None,
            })
        });
        let Some(slot) = slot else {
            self.io.counters.refused += 1;
            self.io.counters.refused_for_memory += 1;
            return self.clients.respond(client, 503, true, &mut self.io);
        };
        let id = RequestId(slot.to_number());
        self.clients.set_request(client, id);
        self.handle_event(Event::RequestReceived(Request {
            id,
            class,
            tenant,
            key,
            deadline,
            cost,
            complete,
        }));
    }

    /// Tells the other process of a handover of an at-most-once request, which its client may send there again.
    fn share_request_id(&mut self, incoming: &IncomingRequest) {
        let id = incoming.head.id.as_deref().filter(|_| !incoming.head.is_repeatable());
        if let (Some(id), true) = (id, self.handover.is_overlapping()) {
            let state = HandoverState { request_ids: vec![IdHash::of(id).0], ..HandoverState::default() };
            self.handover.broadcast(&HandoverMessage::State(state), &mut self.io);
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Span,
        deliver_by: Option<Time>,
    ) {
        // The client may have closed its connection without the proxy having read that yet; reading now
        // avoids sending a request whose client has gone.
        if let Some(client) =
            self.pending.get(RequestSlot::from_number(request.0)).and_then(|pending| pending.client)
        {
            self.clients.handle_ready(client, &mut self.io);
        }
        let (clients, now) = (&self.clients, self.io.now);
        let may_have_left = |pending: &PendingRequest| {
            pending.client.is_some_and(|client| clients.may_have_left(client, now))
        };
        let body_discarded =
            |pending: &PendingRequest| pending.streamed_body.as_ref().is_some_and(|body| body.discarded);
        let is_waiting =
            |pending: &PendingRequest| pending.client.is_some_and(|client| clients.is_connected(client));
        let can_be_sent = |pending: &&mut PendingRequest| is_waiting(pending) && !body_discarded(pending);
        let pending = self.pending.get_mut(RequestSlot::from_number(request.0)).filter(can_be_sent);
        let Some(pending) = pending else {
            return self.end_unstarted_attempt(request, backend, AttemptResult::NoRoom);
        };
        if may_have_left(pending) {
            self.io.counters.clients_unseen += 1;
            return self.end_unstarted_attempt(request, backend, AttemptResult::ClientUnseen);
        }
        self.io.counters.attempts_started += 1;
        let id = pending.incoming.head.id.as_deref();
        let (number, host) = (AttemptNo(pending.attempts.len() as u16), self.pool.host(backend));
        if number.0 == 0 {
            tracing::trace!(id, request = request.0, host, "attempt");
        } else {
            tracing::debug!(id, request = request.0, attempt = number.0, host, "retry");
        }
        pending.attempts.push(None);
        let (incoming, window) = (&pending.incoming, self.io.memory.window());
        let (mut end, mut remaining, mut complete) = (incoming.message.len(), timeout, true);
        if let Some(body) = &mut pending.streamed_body {
            end = end.min(incoming.head.length + window);
            body.sent = end;
            complete = body.complete && end == incoming.message.len();
            remaining = if body.complete { timeout } else { incoming.timeout };
        }
        let (bytes, timeout_range) = incoming.head.for_backend(&incoming.message[..end], remaining);
        let (purpose, until) = (Purpose::Attempt(request, number), self.io.now + timeout);
        // A retry is sent like a request that must not run twice, on a new connection unless idle ones have
        // proved reliable: a reused idle one may be what made the previous attempt fail.
        let repeatable = pending.incoming.head.method == "GET" && number.0 == 0;
        let message = OutgoingRequest {
            bytes: &bytes,
            complete,
            repeatable,
            timeout_range: complete.then_some(timeout_range),
            deliver_by,
        };
        let slot = self.pool.send(backend, purpose, message, until, &mut self.io);
        pending.attempts[usize::from(number.0)] = slot;
        if !complete {
            self.forward_request_body(request);
        }
    }

    /// Reports an attempt that is not started. Every attempt is reported as ended, even one for a request that is already
    /// finished.
    fn end_unstarted_attempt(&mut self, request: RequestId, backend: BackendId, result: AttemptResult) {
        let purpose = Purpose::Attempt(request, AttemptNo(u16::MAX));
        let (took, load, response) = Default::default();
        let job = JobResult { backend, purpose, result, took, load, response };
        self.io.events.push_back(ProxyEvent::JobEnded(job));
    }

    /// The connection of a request's last attempt, if that is still running.
    pub(super) fn active_connection(&self, request: RequestId) -> Option<ConnSlot> {
        *self.pending.get(RequestSlot::from_number(request.0))?.attempts.last()?
    }

    pub(super) fn client_gone(&mut self, request: RequestId) {
        // Once a response is being streamed, the balancer has already seen its attempt end.
        let streaming = self
            .pending
            .get(RequestSlot::from_number(request.0))
            .is_some_and(|pending| pending.streamed_response.is_some());
        let conn = self.active_connection(request);
        self.finish(request);
        match conn {
            Some(slot) if streaming => self.pool.cancel(slot, &mut self.io),
            // Allowed even where running attempts may not be cancelled: an undelivered one is not running yet.
            Some(slot) => self.pool.cancel_undelivered(slot, &mut self.io),
            None => {}
        }
        self.handle_event(Event::ClientGone(request));
    }

    /// Forwards as much of a request's body as was received and fits into the backend's window.
    pub(super) fn forward_request_body(&mut self, request: RequestId) {
        for _ in 0..MAX_BODY_PIECES_PER_TURN {
            let Some(conn) = self.active_connection(request) else { return };
            let capacity = self.pool.write_capacity(conn, &self.io);
            let Some(pending) = self.pending.get_mut(RequestSlot::from_number(request.0)) else { return };
            let (Some(client), Some(body)) = (pending.client, &mut pending.streamed_body) else { return };
            let message = &mut pending.incoming.message;
            if capacity == 0 {
                return;
            }
            if !body.discarded && body.sent < message.len() {
                let from = body.sent;
                body.sent = message.len().min(from + capacity);
                let last = body.complete && body.sent == message.len();
                self.pool.write_body(conn, &message[from..body.sent], last, &mut self.io);
                continue;
            }
            if body.complete {
                return;
            }
            let (bytes, last) = match self.clients.read_body(client, capacity, &mut self.io) {
                Ok((bytes, false)) if bytes.is_empty() => return,
                Ok(read) => read,
                Err(error) => return self.reject_body(request, client, error),
            };
            if last && self.clients.close_if_left(client, &mut self.io) {
                return;
            }
            body.complete = last;
            let kept = message.len() + bytes.len();
            if !body.discarded && kept <= self.io.memory.replay_limit(MAX_REPLAY_BYTES) {
                reserve_blocks(message, bytes.len());
                message.extend_from_slice(&bytes);
                body.sent = message.len();
            } else if !std::mem::replace(&mut body.discarded, true) {
                *message = Vec::new();
            }
            self.pool.write_body(conn, &bytes, last, &mut self.io);
            if last {
                return self.request_complete(request);
            }
        }
        self.continue_body_next_turn(request);
    }

    /// Goes on with a body that was forwarded for long enough in this iteration of the loop.
    fn continue_body_next_turn(&mut self, request: RequestId) {
        if let Some(conn) = self.active_connection(request) {
            self.io.deadlines.set(self.io.now, TimerEvent::Recheck(Owner::Conn(conn)));
        }
    }

    /// The last byte of a streamed request was received: its deadline starts from here.
    pub(super) fn request_complete(&mut self, request: RequestId) {
        let slot = RequestSlot::from_number(request.0);
        let Some(pending) = self.pending.get(slot) else { return };
        let sent = pending.client.and_then(|client| self.clients.sent_not_before(client));
        let deadline = sent.unwrap_or(self.io.now) + pending.incoming.timeout;
        let deadline = self.response_due(&pending.incoming, Some(deadline)).unwrap_or(deadline);
        let Some(pending) = self.pending.get_mut(slot) else { return };
        self.io.deadlines.cancel(pending.deadline.take());
        pending.deadline = Some(self.io.deadlines.set(deadline, TimerEvent::RequestDeadline(request)));
        self.handle_event(Event::RequestComplete { request, deadline });
    }

    /// Ends a streamed request whose body cannot be parsed any further.
    pub(super) fn reject_body(&mut self, request: RequestId, client: ClientSlot, error: HttpError) {
        self.io.counters.bad_input += 1;
        self.clients.respond(client, error.status(), true, &mut self.io);
        self.client_gone(request);
    }

    /// Starts to stream a response to the client. For the balancer the request ends with this.
    pub(super) fn start_response(&mut self, response: StartedResponse) {
        let StartedResponse { backend, request, attempt, head, message, took } = response;
        let conn = self.active_connection(request);
        let Some(pending) = self.pending.get_mut(RequestSlot::from_number(request.0)) else { return };
        let Some(client) = pending.client else {
            return conn.into_iter().for_each(|slot| self.pool.cancel(slot, &mut self.io));
        };
        let close = pending.incoming.head.close || self.clients.closes_after_response(client, &self.io);
        self.io.deadlines.cancel(pending.deadline.take());
        self.clients.start_response(
            client,
            request,
            &head.start_stream(&message, close),
            close,
            &mut self.io,
        );
        let load = head.load;
        pending.streamed_response = Some(Box::new(head));
        self.io.counters.served += 1;
        self.io.counters.count_outcome(Outcome::Served);
        let (outcome, answered, body_discarded) = (Outcome::Served, true, true);
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            backend,
            outcome,
            answered,
            body_discarded,
            took,
            load,
        }));
    }

    /// Forwards as much of a response's body as was received and fits into the client's window.
    pub(super) fn forward_response_body(&mut self, request: RequestId) {
        for _ in 0..MAX_BODY_PIECES_PER_TURN {
            let Some(conn) = self.active_connection(request) else { return };
            let Some(pending) = self.pending.get(RequestSlot::from_number(request.0)) else { return };
            let (Some(client), Some(head)) = (pending.client, &pending.streamed_response) else { return };
            let capacity = self.clients.write_capacity(client, &self.io);
            if capacity == 0 {
                return;
            }
            let (bytes, last) = self.pool.read_body(conn, capacity, &mut self.io);
            if bytes.is_empty() && !last {
                return;
            }
            self.clients.write_body(client, &head.stream_piece(&bytes, last), last, &mut self.io);
            if last {
                return self.finish(request);
            }
        }
        self.continue_body_next_turn(request);
    }

    pub(super) fn send_check(&mut self, backend: BackendId) {
        self.io.counters.checks += 1;
        let host = self.pool.address(backend).map(|address| address.to_string()).unwrap_or_default();
        let message = format!("GET {} HTTP/1.1\r\nHost: {host}\r\n\r\n", self.check_path);
        let until = self.io.now + self.pool.max_connect_time();
        let message = OutgoingRequest {
            bytes: message.as_bytes(),
            complete: true,
            repeatable: true,
            timeout_range: None,
            deliver_by: None,
        };
        self.pool.send(backend, Purpose::Check, message, until, &mut self.io);
    }

    /// Handles the end of an attempt or a check.
    pub(super) fn job_ended(&mut self, job: JobResult) {
        let outcome = job.result.outcome();
        let JobResult { backend, purpose, result, took, load, response } = job;
        let Purpose::Attempt(request, attempt) = purpose else {
            // The body of the response to a check is a load report.
            let load =
                response.map_or(load, |(head, message)| http::parse_load_report(&head.body_text(&message)));
            let host = self.pool.host(backend);
            tracing::trace!(host, ending = ?result, took = took.ms(), held = load.in_flight, "check ended");
            return self.handle_event(Event::CheckEnded { backend, outcome, took, load });
        };
        if self
            .pending
            .get(RequestSlot::from_number(request.0))
            .is_some_and(|pending| pending.streamed_response.is_some())
        {
            return self.streamed_response_ended(request, backend, result);
        }
        self.io.counters.count_outcome(outcome);
        if outcome != Outcome::Served {
            let host = self.pool.host(backend);
            let pending = self.pending.get(RequestSlot::from_number(request.0));
            let id = pending.and_then(|pending| pending.incoming.head.id.as_deref());
            tracing::debug!(id, request = request.0, host, ending = ?result, took = took.ms(), "attempt ended");
        } else {
            let host = self.pool.host(backend);
            tracing::trace!(request = request.0, host, took = took.ms(), "attempt served");
        }
        let slot = RequestSlot::from_number(request.0);
        if let Some(pending) = self.pending.get_mut(slot) {
            if let Some(conn) = pending.attempts.get_mut(usize::from(attempt.0)) {
                *conn = None;
            }
            let is_final = matches!(outcome, Outcome::Served | Outcome::Faulted);
            if let (true, Some(client), Some((head, message))) = (is_final, pending.client, response) {
                let close =
                    pending.incoming.head.close || self.clients.closes_after_response(client, &self.io);
                let close = close || outcome == Outcome::Faulted;
                self.io.counters.served += u64::from(outcome == Outcome::Served);
                let bytes = head.for_client(&message, close);
                self.clients.send_response(client, head.status, &bytes, close, &mut self.io);
                self.finish(request);
            }
        }
        let answered = self.pending.get(slot).is_none_or(|pending| pending.client.is_none());
        let body_discarded = self
            .pending
            .get(slot)
            .and_then(|pending| pending.streamed_body.as_ref())
            .is_some_and(|body| body.discarded);
        let end = AttemptEnd { request, attempt, backend, outcome, answered, body_discarded, took, load };
        self.handle_event(Event::AttemptEnded(end));
        self.remove_if_done(request);
    }

    /// Handles the end of a streamed response, complete or broken off.
    pub(super) fn streamed_response_ended(
        &mut self,
        request: RequestId,
        backend: BackendId,
        result: AttemptResult,
    ) {
        let Some(pending) = self.pending.get_mut(RequestSlot::from_number(request.0)) else { return };
        pending.attempts.iter_mut().for_each(|conn| *conn = None);
        let broke_off = !matches!(result, AttemptResult::Answered { .. } | AttemptResult::CalledOff { .. });
        if let (true, Some(client)) = (broke_off, pending.client) {
            let id = pending.incoming.head.id.as_deref();
            tracing::debug!(id, host = self.pool.host(backend), ending = ?result, "response broke off");
            self.clients.abort_response(client, &mut self.io);
            self.finish(request);
            self.handle_event(Event::ResponseAborted(backend));
        }
        self.remove_if_done(request);
    }

    /// Logs why a request gets no backend's response.
    pub(super) fn log_unserved(&self, request: RequestId, reason: Reason) {
        let pending = self.pending.get(RequestSlot::from_number(request.0));
        let id = pending.and_then(|pending| pending.incoming.head.id.as_deref());
        let attempts = pending.map(|pending| pending.attempts.len());
        tracing::debug!(id, request = request.0, attempts, ?reason, "request not served");
    }

    /// Sends the proxy's own response to a request that has none yet.
    pub(super) fn respond(&mut self, request: RequestId, status: u16, backoff: Option<Span>) {
        let Some(pending) = self.pending.get(RequestSlot::from_number(request.0)) else { return };
        let Some(client) = pending.client else { return };
        let id = pending.incoming.head.id.as_deref();
        tracing::debug!(
            id,
            status,
            backoff = backoff.map(Span::ms),
            "responded without a backend's response"
        );
        let close = pending.incoming.head.close || self.clients.closes_after_response(client, &self.io);
        let bytes = http::proxy_response(status, backoff, close);
        self.clients.send_response(client, status, &bytes, close, &mut self.io);
        self.finish(request);
    }

    /// Marks a request as finished: it has its response, or its client is gone.
    pub(super) fn finish(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get_mut(RequestSlot::from_number(request.0)) else { return };
        pending.client = None;
        self.io.deadlines.cancel(pending.deadline.take());
        self.remove_if_done(request);
    }

    /// Removes a finished request once none of its attempts is running.
    pub(super) fn remove_if_done(&mut self, request: RequestId) {
        let slot = RequestSlot::from_number(request.0);
        let is_done = |pending: &PendingRequest| {
            pending.client.is_none() && pending.attempts.iter().all(Option::is_none)
        };
        if self.pending.get(slot).is_some_and(is_done) {
            self.pending.remove(slot);
        }
    }

    /// Gives a response to a request that has none by its deadline, whatever the balancer decides, so that no
    /// request is left without one.
    pub(super) fn deadline_expired(&mut self, request: RequestId) {
        // What has arrived of an upload still counts.
        self.forward_request_body(request);
        let Some(pending) = self.pending.get(RequestSlot::from_number(request.0)) else { return };
        let completed_now = pending.deadline.is_some_and(|deadline| deadline.due_at() > self.io.now);
        if completed_now {
            return;
        }
        if pending.awaits_response() && pending.is_incomplete_upload() {
            let due = self.upload_due(&pending.incoming, pending.client);
            if due > self.io.now {
                let timer = TimerEvent::RequestDeadline(request);
                let Some(pending) = self.pending.get_mut(RequestSlot::from_number(request.0)) else { return };
                pending.deadline = Some(self.io.deadlines.set(due, timer));
                return;
            }
            let (id, attempts) = (pending.incoming.head.id.as_deref(), pending.attempts.len());
            tracing::debug!(
                id,
                request = request.0,
                attempts,
                "upload waits for its backend beyond its time"
            );
            self.io.counters.uploads_overdue += 1;
        }
        self.end_unanswered(request);
    }

    /// When an incomplete upload has its response at the latest. Its time counts from its last byte, which the client
    /// may have sent while the proxy does not read because the backend takes nothing. While all that has come was
    /// passed on, its time has not begun.
    pub(super) fn upload_due(&self, incoming: &IncomingRequest, client: Option<ClientSlot>) -> Time {
        let waits_since = client.and_then(|client| self.clients.body_waits_since(client));
        let due = waits_since.unwrap_or(self.io.now) + incoming.timeout;
        self.response_due(incoming, None).map_or(due, |limit| due.min(limit))
    }

    /// Gives a request without a response its final one. It is refused where it cannot have run: no attempt was
    /// started, or no backend has its last byte.
    pub(super) fn end_unanswered(&mut self, request: RequestId) {
        let pending = self.pending.get(RequestSlot::from_number(request.0));
        let Some(pending) = pending.filter(|pending| pending.awaits_response()) else { return };
        if pending.is_incomplete_upload() || pending.attempts.is_empty() {
            self.io.counters.refused += 1;
            self.respond(request, 503, None);
            return self.client_gone(request);
        }
        self.io.counters.overdue += 1;
        tracing::warn!(request = request.0, "no response by the deadline");
        self.respond(request, 504, None);
        self.handle_event(Event::ClientGone(request));
    }
}
