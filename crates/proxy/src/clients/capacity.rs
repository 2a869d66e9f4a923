//! The limit of client connections, and which connection is evicted for a new one.

use sparlug::time::Time;

use super::client::ClientState;
use super::Clients;
use crate::close_reason::CloseReason;
use crate::process_usage::descriptor_capacity;
use crate::shared::{ClientSlot, IoContext};

impl Clients {
    /// Lowers the connection limit where the process has fewer descriptors than the configuration allows;
    /// otherwise idle connections would keep all new ones out. The kernel is asked for the limit of
    /// descriptors, since a single failure proves nothing.
    pub(super) fn limit_by_descriptors(&mut self, io: &IoContext) {
        // A quarter stays free, since the process may hold more descriptors than were reserved for it.
        let capacity = descriptor_capacity(self.budgets.reserved);
        if io.connections.open() >= capacity * 3 / 4 {
            self.set_descriptor_limit(capacity);
        }
    }

    /// Limits connections to three quarters of `capacity`, or only to the configured limit if that is lower.
    /// Logs each change, also when the limit rises again.
    pub(super) fn set_descriptor_limit(&mut self, capacity: usize) {
        let limit = Some((capacity * 3 / 4).max(1)).filter(|limit| *limit < self.budgets.clients);
        if std::mem::replace(&mut self.descriptor_limit, limit) != limit {
            tracing::warn!(
                clients = self.limit(),
                "limit of client connections adapted to the process's limit of descriptors"
            );
        }
    }

    /// How many connections may be open.
    pub(super) fn limit(&self) -> usize {
        self.descriptor_limit.map_or(self.budgets.clients, |limit| limit.min(self.budgets.clients))
    }

    /// Makes room for a new connection and returns whether there is any. Only connections without a pending
    /// response are evicted: first lingering ones, then idle ones, then those with an incomplete request.
    pub(super) fn make_room(&mut self, io: &mut IoContext) -> bool {
        while self.connections.count() >= self.limit() || !io.connections.has_client_room() {
            // Recently used connections are not evicted: a new connection is about to send a request, and
            // closing it would lose that request.
            let Some(slot) = self.eviction_order.candidate(io.now, self.full_since) else {
                // A few connections beyond the limit are accepted, so that requests already sent on
                // connections that the kernel has accepted do not stay unread.
                return self.connections.count() < self.limit() + self.limit() / 8
                    && io.connections.has_client_room();
            };
            self.handle_ready(slot, io);
            if self.eviction_order.candidate(io.now, self.full_since) == Some(slot) {
                self.evict(slot, io);
            }
        }
        true
    }

    /// Closes a connection for a new one. An incomplete request is refused first.
    fn evict(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get(slot) else { return };
        let (rank, last_used_ms) = (client.eviction_rank(), io.now.since(client.last_used).ms());
        tracing::debug!(?rank, last_used_ms, "connection evicted for a new one");
        io.counters.evicted += 1;
        if client.state == ClientState::Reading && !client.stream.input.is_empty() {
            return self.respond(slot, 503, true, io);
        }
        self.close(slot, CloseReason::MadeRoom, io);
    }

    /// Records whether the limit is reached, and logs each change of that, not each connection.
    pub(super) fn set_full(&mut self, full: bool, now: Time) {
        if self.full_since.is_some() != full {
            self.full_since = full.then_some(now);
            let (clients, unfinished) = (self.connections.count(), self.unfinished_count());
            let message = if full {
                "client limit reached, new connections wait"
            } else {
                "accepting new clients again"
            };
            tracing::info!(clients, owing = unfinished, "{message}");
        }
    }
}
