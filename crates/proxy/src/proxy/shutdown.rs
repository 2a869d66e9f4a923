//! The end of the process after SIGTERM: it accepts requests for a while, gives each its response in time, and
//! ends when no client is connected or its time is over.

use sparlug::id::RequestId;
use sparlug::time::Time;

use super::{Proxy, LISTENER_DRAIN_PAUSE};
use crate::deadlines::DeadlineId;
use crate::shared::{IncomingRequest, RequestSlot, TimerEvent};
use crate::shutdown_schedule::ShutdownSchedule;

impl Proxy {
    /// Starts the shutdown, unless it has started already.
    pub(super) fn begin_shutdown(&mut self) {
        if self.io.shutdown.is_some() {
            return;
        }
        let schedule = ShutdownSchedule::new(self.io.now, self.longest_deadline);
        self.io.shutdown = Some(schedule);
        if self.handover.has_successor() {
            self.clients.stop_listening(true, &mut self.io);
        } else {
            self.fleet.leave(&mut self.io);
        }
        self.io.deadlines.set(schedule.accept_until, TimerEvent::Shutdown);
        self.io.deadlines.set(schedule.end, TimerEvent::Shutdown);
        self.limit_pending_requests();
    }

    /// Takes the next step of the shutdown; called again until the accept queue is drained.
    pub(super) fn continue_shutdown(&mut self) {
        self.clients.stop_listening(self.handover.has_successor(), &mut self.io);
        if self.clients.is_listening() {
            self.io.deadlines.set(self.io.now + LISTENER_DRAIN_PAUSE, TimerEvent::Shutdown);
        }
        self.clients.close_idle(&mut self.io);
    }

    /// Whether the shutdown is complete: no response is due any more.
    pub(super) fn is_shut_down(&self) -> bool {
        let Some(schedule) = self.io.shutdown else { return false };
        let now = self.io.now;
        let has_clients = !self.clients.is_empty() || self.clients.is_listening();
        now >= schedule.end || now >= schedule.accept_until && !has_clients
    }

    /// The requests whose clients are still to get the start of a response.
    fn open_requests(&self) -> Vec<RequestSlot> {
        self.pending.iter().filter(|(_, pending)| pending.awaits_response()).map(|(slot, _)| slot).collect()
    }

    /// Gives each pending request a time by which it has its response, before the process ends.
    fn limit_pending_requests(&mut self) {
        for slot in self.open_requests() {
            let Some(pending) = self.pending.get(slot) else { continue };
            let due = if pending.is_incomplete_upload() {
                Some(self.upload_due(&pending.incoming, pending.client))
            } else {
                self.response_due(&pending.incoming, pending.deadline.map(DeadlineId::due_at))
            };
            let timer = TimerEvent::RequestDeadline(RequestId(slot.to_number()));
            let Some(pending) = self.pending.get_mut(slot) else { continue };
            self.io.deadlines.cancel(pending.deadline.take());
            pending.deadline = due.map(|due| self.io.deadlines.set(due, timer));
        }
    }

    /// Gives the final response to requests whose deadlines passed while the loop was held up until the process's
    /// end.
    pub(super) fn end_pending_requests(&mut self) {
        for slot in self.open_requests() {
            self.end_unanswered(RequestId(slot.to_number()));
            self.dispatch_events();
        }
    }

    /// When a request has its response at the latest. Its `deadline` is unknown until its last byte has arrived. Then
    /// a shutdown limits the time for that byte, so that the response comes before the process ends.
    pub(super) fn response_due(&self, incoming: &IncomingRequest, deadline: Option<Time>) -> Option<Time> {
        let Some(schedule) = self.io.shutdown else { return deadline };
        let response_time = self.latency_targets[usize::from(incoming.class)].min(incoming.timeout);
        Some(match deadline {
            Some(deadline) => deadline.min(schedule.respond_by),
            None => schedule.upload_deadline(response_time),
        })
    }

    /// Counts and logs what has no complete response when the process ends, and how much of its time each request
    /// still had.
    pub(super) fn report_unfinished(&mut self) {
        let now = self.io.now;
        for (slot, pending) in self.pending.iter().filter(|(_, pending)| pending.client.is_some()) {
            let request = slot.to_number();
            let id = pending.incoming.head.id.as_deref();
            let time_left_ms = pending.deadline.map(|deadline| deadline.due_at().since(now).ms());
            let body_complete = pending.streamed_body.as_ref().is_none_or(|body| body.complete);
            let (attempts, response_started) = (pending.attempts.len(), pending.streamed_response.is_some());
            tracing::debug!(
                id,
                request,
                attempts,
                body_complete,
                response_started,
                time_left_ms,
                "process ends before the request does"
            );
        }
        let connections = self.clients.report_unfinished(&mut self.io);
        if connections > 0 {
            tracing::warn!(connections, "process ends with incomplete responses");
        }
    }
}
