//! Operators' requests: readiness, metrics, the fleet's state, and the disabling of backends and duties.

use sparlug::event::Event;
use sparlug::id::BackendId;

use super::Proxy;
use crate::control_messages::{self, AdminRequest, HandoverMessage};
use crate::listing::backend_id;
use crate::shared::AdminSlot;

impl Proxy {
    /// Carries out an operator's request and responds to it.
    pub(super) fn handle_admin_request(&mut self, slot: AdminSlot, request: AdminRequest) {
        let (status, body) = match request {
            AdminRequest::Ready if self.clients.ready && self.io.shutdown.is_none() => (200, String::new()),
            AdminRequest::Ready => (503, String::new()),
            AdminRequest::Metrics => (200, self.metrics()),
            AdminRequest::SetDutyPaused { name, paused } => {
                if self.fleet.set_duty_paused(&name, paused, &mut self.io) {
                    (200, String::new())
                } else {
                    (404, format!("no duty {name} is configured here\n"))
                }
            }
            AdminRequest::Fleet => match self.fleet.status_json(self.io.now) {
                Some(json) => (200, json),
                None => (404, "no fleet is configured, or the next process is its member\n".to_string()),
            },
            AdminRequest::SetBackendDisabled { host, disabled } => {
                let backend = backend_id(&host);
                let is_disabled = self.balancer.disabled().any(|other| other == backend);
                if is_disabled || self.pool.is_listed(backend) {
                    self.set_disabled(backend, disabled);
                    (200, String::new())
                } else {
                    (404, format!("the list has no backend {host:?}\n"))
                }
            }
        };
        self.management.respond(slot, status, "", &body, &mut self.io);
    }

    /// All metrics, one per line.
    fn metrics(&self) -> String {
        let counts = self.io.counters.report(self.clients.class_names());
        let corrected = self.start_times.corrected;
        let (in_flight, known) = (self.clients.in_flight_count(), self.pool.listed_count());
        let (excluded, withheld) = (self.balancer.excluded_count(), self.list_history.withheld_count());
        let (fleet, clients) = (self.fleet.metrics(self.io.now), self.clients.report());
        let resources = self.resource_usage().report();
        let discovery = self.discovery.metrics(self.io.now);
        format!("{counts}{discovery}{fleet}{clients}{resources}svc.in_flight:{in_flight}|g\nsvc.backends_known:{known}|g\nsvc.backends_excluded:{excluded}|g\nsvc.backends_withheld:{withheld}|g\nsvc.start_times_corrected:{corrected}|c\n")
    }

    /// Disables or enables a backend, also in the other process of a handover.
    pub(super) fn set_disabled(&mut self, backend: BackendId, disabled: bool) {
        if self.balancer.disabled().any(|other| other == backend) == disabled {
            return;
        }
        tracing::info!(
            host = self.pool.host(backend),
            barred = disabled,
            "backend disabled or enabled by an operator"
        );
        self.handle_event(Event::SetDisabled { backend, disabled });
        let message =
            HandoverMessage::SetDisabled { backend: control_messages::backend_key(backend), disabled };
        self.handover.broadcast(&message, &mut self.io);
    }
}
