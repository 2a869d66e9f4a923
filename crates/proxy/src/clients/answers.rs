//! Answers as they are written to clients, and the end of a connection behind its last one.

use super::{client::State, Clients, ANSWER_TIME, IDLE_TIME, LINGER};
use crate::close_reason::CloseReason;
use crate::http::{self};
use crate::io_failures::SystemCall;
use crate::shared::{ClientSlot, IoContext, Owner, ProxyEvent, TimerEvent};
use sparlug::id::RequestId;

impl Clients {
    /// Begins an answer that is passed on as it comes.
    pub fn begin(
        &mut self,
        slot: ClientSlot,
        request: RequestId,
        bytes: &[u8],
        close: bool,
        io: &mut IoContext,
    ) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        io.deadlines.cancel(client.deadline.take());
        client.state = State::Streaming { request, close, done: false };
        client.deadline = Some(io.deadlines.set(io.now + ANSWER_TIME, TimerEvent::ClientTimeout(slot)));
        self.go_on_with(slot, bytes, false, io);
    }

    /// How much more of an answer it may be given now.
    pub fn room(&self, slot: ClientSlot, io: &IoContext) -> usize {
        let pending = self.clients.get(slot).map_or(usize::MAX, |client| client.link.unsent());
        io.window().saturating_sub(pending)
    }

    /// Goes on with an answer that has begun, up to its end if it is over.
    pub fn go_on_with(&mut self, slot: ClientSlot, bytes: &[u8], over: bool, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        if let State::Streaming { done, .. } = &mut client.state {
            *done = over;
            client.link.queue(bytes);
            self.write(slot, io);
            self.settle(slot, io);
        }
    }

    /// Ends a connection whose answer has begun and can't be finished, so that the client sees it is not whole.
    pub fn cut(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        io.counters.count_response(client.open.take(), 502);
        io.counters.closed_unanswered.count(CloseReason::AnswerBroke);
        client.state = State::Lingering;
        self.close(slot, CloseReason::AnswerBroke, io);
    }

    pub fn reply(&mut self, slot: ClientSlot, status: u16, close: bool, io: &mut IoContext) {
        let close = close || self.leaving;
        self.answer(slot, status, &http::proxy_response(status, None, close), close, io);
    }

    /// Writes the answer to what the connection's client waits for.
    pub fn answer(&mut self, slot: ClientSlot, status: u16, bytes: &[u8], close: bool, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        io.counters.count_response(client.open.take(), status);
        io.deadlines.cancel(client.deadline.take());
        if let Some(id) = client.id.take() {
            self.ids.remove(&id);
        }
        client.state = State::Answering { close };
        client.link.queue(bytes);
        client.deadline = Some(io.deadlines.set(io.now + ANSWER_TIME, TimerEvent::ClientTimeout(slot)));
        self.write(slot, io);
        self.settle(slot, io);
    }

    pub(super) fn write(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        let before = client.link.unsent();
        let all = match client.link.flush() {
            Ok(all) => all,
            Err(e) => {
                io.counters.failures.count(SystemCall::Write, &e);
                return self.close(slot, CloseReason::WriteFailed, io);
            }
        };
        let pending = client.link.unsent();
        if pending < before {
            client.used = io.now;
        }
        let close = match client.state {
            State::Streaming { request, done: false, .. } => {
                if pending <= io.window() / 2 {
                    io.events.push_back(ProxyEvent::ResponseBodyReady(request));
                }
                return;
            }
            _ if !all => return,
            State::Streaming { close, .. } | State::Answering { close } => close,
            _ => return,
        };
        io.deadlines.cancel(client.deadline.take());
        client.used = io.now;
        if let Some(id) = client.id.take() {
            self.ids.remove(&id);
        }
        // What was answered at once has been counted.
        io.counters.count_response(client.open.take(), 200);
        if close {
            return self.end(slot, io);
        }
        client.state = State::Reading;
        client.deadline = Some(io.deadlines.set(io.now + IDLE_TIME, TimerEvent::ClientTimeout(slot)));
        // What came behind the request is there already, and brings no event of its own. It waits for the
        // next round, which guards against one client's long row of requests holding up all others.
        if client.link.has_unread() || !client.link.input.is_empty() {
            io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Client(slot)));
        }
    }

    /// Ends the sending and throws away what still comes until the client closes, for a bounded time. Guards against a
    /// reset that overtakes the last answer, where something unread is in the way or comes in this very moment.
    pub(super) fn end(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.link.shutdown_write();
        client.state = State::Lingering;
        io.deadlines.cancel(client.deadline.take());
        client.deadline = Some(io.deadlines.set(io.now + LINGER, TimerEvent::ClientTimeout(slot)));
        client.link.input.clear();
        self.event(slot, io);
    }
}
