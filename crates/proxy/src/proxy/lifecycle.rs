//! Signals, configuration reloads, the handover to another process, and failures of the wait for events.

use super::{
    Proxy, CONCLUSIVE_WAIT, FAILED_WAIT_PAUSE, INTERRUPTED_WAIT_PAUSE, MAX_FAILED_WAITS,
    MAX_INTERRUPTED_WAITS, MAX_RELOAD_RETRY_PAUSE, MIN_RELOAD_RETRY_PAUSE, RELOAD_RETRY_TIME,
    SOCKET_CHECK_PAUSE,
};
use crate::config::{Config, ConfigError};
use crate::control_messages::{self, HandoverState};
use crate::io_failures::SystemCall;
use crate::list_history::ListSource;
use crate::listing::HandoverList;
use crate::memory_limit::MemoryLimit;
use crate::shared::{Owner, ProxyEvent, ReceivedList, TimerEvent};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use sparlug::time::{Span, Time};
use std::io;

impl Proxy {
    pub(super) fn handle_signals(&mut self) {
        for signal in self.signals.take_pending() {
            tracing::info!(signal, counters = %self.io.counters, "signal");
            self.log_resource_usage();
            if signal == SIGHUP {
                self.reload_requested = Some(self.io.now);
                self.reload();
            }
            if matches!(signal, SIGTERM | SIGINT) {
                self.begin_shutdown();
            }
        }
    }

    /// Reads the configuration again. An unusable configuration changes nothing.
    pub(super) fn reload(&mut self) {
        let config = match Config::read(&self.source) {
            Ok(config) => config,
            Err(error) => return self.handle_reload_failure(&error),
        };
        self.reload_requested = None;
        self.io.deadlines.cancel(self.reload_timer.take());
        let (discovery, needs_restart) = (config.discovery, config.immutable != self.immutable);
        self.budgets = [config.budgets, config.overlap_budgets];
        self.apply_budgets();
        let moved = self.discovery.set_agent(discovery, &mut self.io);
        if let (None, Some(list)) = (discovery, config.initial_list) {
            let (source, previous_version) = (ListSource::File, None);
            self.io.events.push_back(ProxyEvent::ListReceived(ReceivedList {
                list,
                source,
                previous_version,
            }));
        }
        let discovery = discovery.map_or("a list in the file".to_string(), |agent| agent.to_string());
        tracing::info!(discovery, moved, "configuration reloaded");
        if needs_restart {
            tracing::warn!("changes of name, listen and settings take effect only after a restart");
        }
    }

    /// Retries after transient failures: a new configuration must not be lost because its file could not be
    /// read at the moment of the signal.
    pub(super) fn handle_reload_failure(&mut self, error: &ConfigError) {
        if let ConfigError::Unreadable { error, .. } = error {
            self.io.counters.failures.count(SystemCall::Configuration, error);
        }
        let Some(since) = self.reload_requested else { return };
        let elapsed = self.io.now.since(since);
        let retry = error.is_transient() && elapsed < RELOAD_RETRY_TIME;
        if elapsed == Span::ZERO || !retry {
            tracing::warn!(why = %error, again = retry, "configuration kept as it was");
        }
        if retry {
            // The pause grows with the elapsed time.
            let pause = elapsed.max(MIN_RELOAD_RETRY_PAUSE).min(MAX_RELOAD_RETRY_PAUSE);
            self.io.deadlines.cancel(self.reload_timer.take());
            self.reload_timer = Some(self.io.deadlines.set(self.io.now + pause, TimerEvent::Reload));
        } else {
            self.reload_requested = None;
        }
    }

    /// Applies the budgets for one process, or for one of two during a handover.
    pub(super) fn apply_budgets(&mut self) {
        let budgets = self.budgets[usize::from(self.handover.is_overlapping())];
        self.clients.set_budgets(budgets);
        self.pool.set_budgets(budgets);
        budgets.apply_to(&mut self.io.connections);
        self.io.memory = MemoryLimit::new(budgets.heap_bytes);
    }

    /// Hands the listener and the state over to a successor process.
    pub(super) fn hand_over(&mut self) {
        let now = self.io.now;
        let state = || {
            let (agent, version) = self.discovery.agent_and_version();
            let list = version.map(|version| HandoverList { version, hosts: self.pool.current_list() });
            HandoverState {
                agent,
                disabled: self.balancer.disabled().map(control_messages::backend_key).collect(),
                list,
                history: self.list_history.export(now),
                displaced: self.address_claims.export(),
                request_ids: self.clients.export_ids(),
            }
        };
        self.handover.accept(self.clients.listener(), state, &mut self.io);
    }

    /// Handles all sockets as if they were ready, since failing waits do not report which ones are.
    pub(super) fn check_all_sockets(&mut self) {
        if self.io.now < self.last_socket_check + SOCKET_CHECK_PAUSE {
            return;
        }
        self.last_socket_check = self.io.now;
        let mut owners =
            vec![Owner::Listener, Owner::Management, Owner::Handover, Owner::Peers, Owner::Fleet];
        owners.extend(self.discovery.connection_numbers().map(Owner::Discovery));
        owners.extend(self.clients.slots().map(Owner::Client));
        owners.extend(self.pool.slots().map(Owner::Conn));
        for owner in owners {
            self.handle_ready(owner);
            self.dispatch_events();
        }
    }

    /// Continues after a failed wait, so that a transient failure does not end the process. Fails after too
    /// many in a row, but never because of an interrupted wait.
    pub(super) fn handle_failed_wait(&mut self, error: io::Error, wait_start: Time) -> io::Result<()> {
        self.io.counters.failures.count(SystemCall::Wait, &error);
        let now = self.clock.now();
        if self.failed_waits == 0 || now.since(wait_start) > CONCLUSIVE_WAIT {
            (self.waits_failing_since, self.failed_waits) = (Some(now), 0);
        }
        self.failed_waits += 1;
        let interrupted = error.kind() == io::ErrorKind::Interrupted;
        if !interrupted && self.failed_waits > MAX_FAILED_WAITS {
            return Err(error);
        }
        if !interrupted {
            std::thread::sleep(FAILED_WAIT_PAUSE);
        } else if self.failed_waits > MAX_INTERRUPTED_WAITS {
            std::thread::sleep(INTERRUPTED_WAIT_PAUSE);
        }
        Ok(())
    }
}
