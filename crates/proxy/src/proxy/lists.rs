//! Applies lists of backends: to the list history first, then to the pool and to the balancer.

use std::collections::BTreeSet;

use sparlug::event::{Event, Listing};
use sparlug::id::BackendId;

use super::Proxy;
use crate::address_claims::SettledAddresses;
use crate::control_messages::{HandoverMessage, HandoverState};
use crate::discovery::AppliedList;
use crate::list_history::{HandoverHistory, ListOrder, ListSource, MergedList};
use crate::listing::{backend_id, BackendEntry, BackendList};
use crate::shared::ReceivedList;

impl Proxy {
    /// Applies a list. Returns how, or `None` if the list is ignored.
    pub(super) fn apply_list(&mut self, received: ReceivedList) -> Option<AppliedList> {
        let ReceivedList { list, source, previous_version } = received;
        // A list is compared with what earlier ones named, used or not.
        let ready = self.pool.ready_count() + self.address_claims.displaced_count();
        let anomalies = list.anomalies(ready, previous_version);
        if !anomalies.is_empty() {
            self.io.counters.suspicious_lists += 1;
            tracing::warn!(version = list.version, ready, "suspicious list: {}", anomalies.join("; "));
        }
        let (version, whole, entries) = (list.version, list.full, list.entries.len());
        let MergedList { mut list, order, withheld, omissions_ignored, needs_whole_list, ignored } =
            self.list_history.merge(list, previous_version, source, self.io.now);
        if ignored {
            self.io.counters.lists_older += 1;
            self.io.counters.lists_ignored += 1;
            tracing::warn!(
                version,
                ?order,
                "list without any backend ignored: it is older than an earlier one"
            );
            return None;
        }
        if previous_version != Some(version) || entries > 0 {
            let agent = match source {
                ListSource::Agent(agent) | ListSource::Predecessor(Some(agent)) => Some(agent.to_string()),
                ListSource::Predecessor(None) | ListSource::File => None,
            };
            let (previous, withheld) = (previous_version, withheld.len());
            tracing::info!(version, previous, whole, entries, withheld, agent, ?order, "list of backends");
        }
        self.io.counters.lists_older += u64::from(order == ListOrder::Older);
        self.io.counters.entries_withheld += withheld.len() as u64;
        for backend in withheld.iter().filter(|backend| backend.first) {
            let (host, withdrawn_at) = (&backend.host, backend.withdrawn_at);
            tracing::info!(host, withdrawn_at, version, ?order, "backend stays removed");
        }
        if omissions_ignored {
            tracing::warn!(version, ?order, "backends that an old list omits are kept: it names no other");
        }
        let withheld = withheld.iter().map(|backend| backend_id(&backend.host)).collect();
        let address_freed = self.settle_addresses(&mut list, order, &withheld);
        self.start_times.correct(&mut list, self.io.now);
        let listings: Vec<Listing> = list.entries.iter().map(|entry| entry.listing).collect();
        // A process that replaces a ready one is as ready as that, also where no backend is left.
        if !listings.is_empty() || matches!(source, ListSource::Predecessor(_)) {
            self.clients.set_ready(&mut self.io);
        }
        self.pool.update_list(list.full, &list.entries, list.version, &mut self.io);
        self.handle_event(Event::ListReceived { full: list.full, listings });
        self.share_withdrawals();
        Some(AppliedList { order, needs_whole_list: needs_whole_list || address_freed })
    }

    /// Leaves one backend at each address that the list names. Returns whether the address of one that is not used may
    /// be free again.
    fn settle_addresses(
        &mut self,
        list: &mut BackendList,
        order: ListOrder,
        withheld: &BTreeSet<BackendId>,
    ) -> bool {
        let is_new = |entry: &BackendEntry| !self.pool.is_listed_at(entry.listing.backend, entry.address);
        if self.address_claims.is_empty() && !list.entries.iter().any(is_new) {
            return false;
        }
        self.start_times.estimate(list, self.io.now);
        let is_older = order == ListOrder::Older;
        let SettledAddresses { replaced, freed } =
            self.address_claims.settle(list, is_older, &self.pool.listed(), withheld);
        for host in replaced {
            self.io.counters.backends_replaced += 1;
            tracing::info!(host, version = list.version, "backend gone: another one has its address");
        }
        freed
    }

    /// Tells the other process of a handover what lists have withdrawn meanwhile: its own answers may be older.
    fn share_withdrawals(&mut self) {
        let (since, now) = (self.withdrawals_shared_at, self.io.now);
        self.withdrawals_shared_at = now;
        if !self.handover.is_overlapping() {
            return;
        }
        let history = self.list_history.export_withdrawals(since, now);
        if !history.withdrawn.is_empty() {
            let state = HandoverState { history, ..HandoverState::default() };
            self.handover.broadcast(&HandoverMessage::State(state), &mut self.io);
        }
    }

    /// Applies what the other process of a handover has heard of withdrawn backends.
    pub(super) fn apply_withdrawals(&mut self, history: HandoverHistory) {
        let entries = self.list_history.import_withdrawals(history, self.io.now);
        if entries.is_empty() {
            return;
        }
        tracing::info!(entries = entries.len(), "backends withdrawn as the other process was told");
        let version = self.discovery.agent_and_version().1.unwrap_or_default();
        let mut list = BackendList { version, full: false, entries };
        self.settle_addresses(&mut list, ListOrder::Older, &BTreeSet::new());
        self.start_times.correct(&mut list, self.io.now);
        let listings = list.entries.iter().map(|entry| entry.listing).collect();
        self.pool.update_list(false, &list.entries, version, &mut self.io);
        self.handle_event(Event::ListReceived { full: false, listings });
    }
}
