//! How many clients may be connected, and which connection leaves for a new one.

use std::collections::BTreeSet;

use rustix::process::{getrlimit, Resource};
use sparlug::time::Time;

use super::{Clients, FRESH, LINGERING};
use crate::close_reason::CloseReason;
use crate::config::RESERVED_SOCKETS;
use crate::shared::{ClientSlot, IoContext};

impl Clients {
    /// Guards against idle connections keeping all others out where the process has fewer descriptors than the
    /// configuration says. Whether it has is asked of the kernel: one failure proves nothing.
    pub(super) fn bound_by_descriptors(&mut self, io: &IoContext) {
        // The program itself may hold more than was set aside for it.
        let room = descriptor_room();
        if self.clients.count() + io.backend_connections >= room * 3 / 4 {
            self.set_descriptor_bound(room);
        }
    }

    pub(super) fn set_descriptor_bound(&mut self, room: usize) {
        let bound = Some((room * 3 / 4).max(1)).filter(|bound| *bound < self.budgets.clients);
        if std::mem::replace(&mut self.descriptor_bound, bound) != bound {
            tracing::warn!(clients = self.limit(), "room for clients by the process's limit of descriptors");
        }
    }

    /// How many connections may be open.
    pub(super) fn limit(&self) -> usize {
        self.descriptor_bound.map_or(self.budgets.clients, |bound| bound.min(self.budgets.clients))
    }

    /// Whether one more can be accepted. A connection that is owed nothing may have to leave for it: one that
    /// only lingers, then an idle one, then one whose request does not come to its end.
    pub(super) fn make_room(&mut self, io: &mut IoContext) -> bool {
        while self.clients.count() >= self.limit() {
            // Guards against closing on a request that is on its way: a new connection is there to bring one.
            let Some(slot) = self.leaver(io.now) else {
                // Guards against leaving unread what was sent on connections that the kernel has accepted.
                return self.clients.count() < self.limit() + self.limit() / 8;
            };
            self.event(slot, io);
            if self.leaver(io.now) == Some(slot) {
                self.close(slot, CloseReason::MadeRoom, io);
            }
        }
        true
    }

    /// Who leaves first, if one must.
    pub(super) fn leaver(&self, now: Time) -> Option<ClientSlot> {
        let first = |(rank, set): (usize, &BTreeSet<(Time, ClientSlot)>)| {
            let (used, slot) = set.first()?;
            (rank == LINGERING || now > *used + FRESH).then_some(*slot)
        };
        self.leavers.iter().enumerate().find_map(first)
    }

    /// One line for each change, not for each connection.
    pub(super) fn say_full(&mut self, full: bool) {
        if std::mem::replace(&mut self.full, full) != full {
            let (clients, owing) = (self.clients.count(), self.owing());
            let now = if full { "no room for callers, new ones wait" } else { "room for callers again" };
            tracing::info!(clients, owing, "{now}");
        }
    }
}

/// How many connections the process may have by its limit of descriptors.
pub(super) fn descriptor_room() -> usize {
    let limit = getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok());
    limit.map_or(usize::MAX / 4, |limit| limit.saturating_sub(RESERVED_SOCKETS))
}
