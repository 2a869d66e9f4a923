//! Writing responses to clients, and closing a connection after its last response.

use super::{client::ClientState, Clients, IdHash, IDLE_TIMEOUT, LINGER_TIMEOUT, RESPONSE_WRITE_TIMEOUT};
use crate::close_reason::CloseReason;
use crate::http::{self, STREAMED_STATUS};
use crate::io_failures::SystemCall;
use crate::shared::{ClientSlot, IoContext, Owner, ProxyEvent, TimerEvent};
use sparlug::id::RequestId;

/// Whether a response says that the request has not run.
fn is_refusal(status: u16) -> bool {
    matches!(status, 429 | 503)
}

impl Clients {
    /// Starts a streamed response.
    pub fn start_response(
        &mut self,
        slot: ClientSlot,
        request: RequestId,
        bytes: &[u8],
        close: bool,
        io: &mut IoContext,
    ) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.count_unread_body(STREAMED_STATUS, close, io);
        io.deadlines.cancel(client.deadline.take());
        client.state = ClientState::Streaming { request, close, done: false };
        client.deadline =
            Some(io.deadlines.set(io.now + RESPONSE_WRITE_TIMEOUT, TimerEvent::ClientTimeout(slot)));
        self.write_body(slot, bytes, false, io);
    }

    /// How many more bytes of a streamed response may be queued now.
    pub fn write_capacity(&self, slot: ClientSlot, io: &IoContext) -> usize {
        let unsent = self.connections.get(slot).map_or(usize::MAX, |client| client.stream.unsent());
        io.memory.window().saturating_sub(unsent)
    }

    /// Writes the next bytes of a streamed response; `last` marks its end.
    pub fn write_body(&mut self, slot: ClientSlot, bytes: &[u8], last: bool, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if let ClientState::Streaming { done, .. } = &mut client.state {
            *done = last;
            client.stream.queue(bytes);
            self.flush(slot, io);
            self.update_indexes(slot, io);
        }
    }

    /// Closes a connection whose streamed response cannot be completed, so that the client sees it is
    /// truncated.
    pub fn abort_response(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        io.counters.count_response(client.open_class.take(), 502);
        io.counters.closed_unanswered.count(CloseReason::AnswerBroke);
        client.state = ClientState::Lingering;
        self.close(slot, CloseReason::AnswerBroke, io);
    }

    /// Sends a response of the proxy itself, without a body. `close` asks to close the connection after it, which is
    /// also done where the connection must not be used further.
    pub fn respond(&mut self, slot: ClientSlot, status: u16, close: bool, io: &mut IoContext) {
        let close = close || self.closes_after_response(slot, io);
        self.send_response(slot, status, &http::proxy_response(status, None, close), close, io);
    }

    /// Sends a complete response, already encoded.
    pub fn send_response(
        &mut self,
        slot: ClientSlot,
        status: u16,
        bytes: &[u8],
        close: bool,
        io: &mut IoContext,
    ) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.count_unread_body(status, close, io);
        io.counters.count_response(client.open_class.take(), status);
        io.deadlines.cancel(client.deadline.take());
        if let Some(id) = client.request_id.take() {
            if is_refusal(status) {
                self.id_history.remove(IdHash::of(&id));
            }
            self.active_ids.remove(&id);
        }
        client.state = ClientState::Answering { close };
        client.stream.queue(bytes);
        client.deadline =
            Some(io.deadlines.set(io.now + RESPONSE_WRITE_TIMEOUT, TimerEvent::ClientTimeout(slot)));
        self.flush(slot, io);
        self.update_indexes(slot, io);
    }

    /// Writes queued bytes, and ends the response once all of it is written.
    pub(super) fn flush(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        let unsent_before = client.stream.unsent();
        let all_written = match client.stream.flush() {
            Ok(all_written) => all_written,
            Err(e) => {
                io.counters.failures.count(SystemCall::Write, &e);
                return self.close(slot, CloseReason::WriteFailed, io);
            }
        };
        let unsent = client.stream.unsent();
        if unsent < unsent_before {
            client.last_used = io.now;
        }
        let close = match client.state {
            ClientState::Streaming { request, done: false, .. } => {
                if unsent <= io.memory.window() / 2 {
                    io.events.push_back(ProxyEvent::ResponseBodyReady(request));
                }
                return;
            }
            _ if !all_written => return,
            ClientState::Streaming { close, .. } | ClientState::Answering { close } => close,
            _ => return,
        };
        io.deadlines.cancel(client.deadline.take());
        client.last_used = io.now;
        client.presence.record_response(io.now);
        if let Some(id) = client.request_id.take() {
            self.active_ids.remove(&id);
        }
        // Only streamed responses are counted here; all others were counted when they were queued.
        io.counters.count_response(client.open_class.take(), STREAMED_STATUS);
        // What follows on the connection is the rest of this request's body and not a further request.
        if close || client.incoming_body.is_some() {
            return self.linger(slot, io);
        }
        client.state = ClientState::Reading;
        client.deadline = Some(io.deadlines.set(io.now + IDLE_TIMEOUT, TimerEvent::ClientTimeout(slot)));
        // Pipelined requests that were already received cause no further event. They wait for the next
        // iteration of the loop, so that one client's many requests do not delay all others. Where the shutdown has
        // closed the other idle connections, this one follows.
        if client.stream.has_unread() || !client.stream.input.is_empty() || io.refuses_requests() {
            io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Client(slot)));
        }
    }

    /// Shuts down the sending side and discards further input until the client closes, for a bounded time.
    /// Closing at once with unread input, or with input that is just arriving, would cause a reset that could
    /// reach the client before the last response.
    pub(super) fn linger(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.stream.shutdown_write();
        client.state = ClientState::Lingering;
        io.deadlines.cancel(client.deadline.take());
        client.deadline = Some(io.deadlines.set(io.now + LINGER_TIMEOUT, TimerEvent::ClientTimeout(slot)));
        client.stream.discard_input();
        self.handle_ready(slot, io);
    }
}
