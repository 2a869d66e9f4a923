//! Signals, new configurations, the handover and the end of the process.

use super::{
    Proxy, ACCEPT_ON, DRAIN_PAUSE, FAILED_WAITS_MOST, FAILED_WAIT_PAUSE, GONE_BY, INTERRUPTED_PAUSE,
    INTERRUPTIONS_MOST, LASTED, LOOK_PAUSE, RELOAD_FOR, RELOAD_PAUSE, RELOAD_PAUSE_MOST,
};
use crate::config::{Config, ConfigError};
use crate::control_messages::{self, HandoverState};
use crate::io_failures::SystemCall;
use crate::listing::HandoverList;
use crate::shared::{Owner, ProxyEvent, TimerEvent};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use sparlug::time::{Span, Time};
use std::io;

impl Proxy {
    pub(super) fn signalled(&mut self) {
        for signal in self.signals.take_pending() {
            tracing::info!(signal, counters = %self.io.counters, "signal");
            if signal == SIGHUP {
                self.reload_since = Some(self.io.now);
                self.reload();
            }
            if matches!(signal, SIGTERM | SIGINT) && self.leaving.is_none() {
                self.leaving = Some(self.io.now);
                self.clients.leaving = true;
                self.clients.ends_at = Some(self.io.now + ACCEPT_ON + self.longest);
                if self.handover.has_successor() {
                    self.clients.stop_listening(true, &mut self.io);
                } else {
                    self.fleet.leave(&mut self.io);
                }
                self.io.deadlines.set(self.io.now + ACCEPT_ON, TimerEvent::Shutdown);
                self.io.deadlines.set(self.io.now + ACCEPT_ON + self.longest + GONE_BY, TimerEvent::Shutdown);
            }
        }
    }

    /// Reads the configuration anew. What can't be used changes nothing.
    pub(super) fn reload(&mut self) {
        let config = match Config::read(&self.source) {
            Ok(config) => config,
            Err(error) => return self.reload_failed(&error),
        };
        self.reload_since = None;
        self.io.deadlines.cancel(self.reload.take());
        let (discovery, restart) = (config.discovery, config.immutable != self.fixed);
        self.budgets = [config.budgets, config.overlap_budgets];
        self.share();
        let moved = self.discovery.set_agent(discovery, &mut self.io);
        if let (None, Some(list)) = (discovery, config.initial_list) {
            self.io.events.push_back(ProxyEvent::ListReceived(list, None));
        }
        let discovery = discovery.map_or("a list in the file".to_string(), |agent| agent.to_string());
        tracing::info!(discovery, moved, "configuration read anew");
        if restart {
            tracing::warn!("name, listen and settings stay as they were until a restart");
        }
    }

    /// Guards against a new configuration that is lost because its file could not be read in the moment of the signal.
    pub(super) fn reload_failed(&mut self, error: &ConfigError) {
        if let ConfigError::Unreadable { error, .. } = error {
            self.io.counters.failures.count(SystemCall::Configuration, error);
        }
        let Some(since) = self.reload_since else { return };
        let passed = self.io.now.since(since);
        let again = error.is_transient() && passed < RELOAD_FOR;
        if passed == Span::ZERO || !again {
            tracing::warn!(why = %error, again, "configuration kept as it was");
        }
        if again {
            // Soon at first, then at longer intervals.
            let pause = passed.max(RELOAD_PAUSE).min(RELOAD_PAUSE_MOST);
            self.io.deadlines.cancel(self.reload.take());
            self.reload = Some(self.io.deadlines.set(self.io.now + pause, TimerEvent::Reload));
        } else {
            self.reload_since = None;
        }
    }

    /// Takes the budgets of a proxy that is one process, or one of two.
    pub(super) fn share(&mut self) {
        let budgets = self.budgets[usize::from(self.handover.is_overlapping())];
        self.clients.set_budgets(budgets);
        self.pool.set_budgets(budgets);
        self.io.streaming_bytes = budgets.buffer_bytes / 2;
    }

    /// Hands over to a process that has come to take this one's place.
    pub(super) fn hand_over(&mut self) {
        let state = || {
            let (agent, version) = self.discovery.agent_and_version();
            let list = version.map(|version| HandoverList { version, hosts: self.pool.current_list() });
            HandoverState {
                agent,
                disabled: self.balancer.disabled().map(control_messages::backend_key).collect(),
                list,
            }
        };
        self.handover.accept(self.clients.listener(), state, &mut self.io);
    }

    pub(super) fn leave(&mut self) {
        self.clients.stop_listening(self.handover.has_successor(), &mut self.io);
        if self.clients.listens() {
            self.io.deadlines.set(self.io.now + DRAIN_PAUSE, TimerEvent::Shutdown);
        }
        self.clients.let_go(&mut self.io);
    }

    /// Whether it was told to go and owes nothing more.
    pub(super) fn done(&self) -> bool {
        let Some(since) = self.leaving else { return false };
        let now = self.io.now;
        now >= since + ACCEPT_ON && self.clients.is_empty() && !self.clients.listens()
            || now >= since + ACCEPT_ON + self.longest + GONE_BY
    }

    /// Looks at all sockets, of which no wait can tell while waits fail.
    pub(super) fn look_everywhere(&mut self) {
        if self.io.now < self.looked + LOOK_PAUSE {
            return;
        }
        self.looked = self.io.now;
        let mut owners =
            vec![Owner::Listener, Owner::Management, Owner::Handover, Owner::Peers, Owner::Fleet];
        owners.push(Owner::Discovery(self.discovery.connection_number()));
        owners.extend(self.clients.slots().map(Owner::Client));
        owners.extend(self.pool.slots().map(Owner::Conn));
        for owner in owners {
            self.event(owner);
            self.pump();
        }
    }

    /// Goes on after a wait that failed. Guards against the end of all that is served by a failure that passes.
    pub(super) fn wait_failed(&mut self, error: io::Error, begun: Time) -> io::Result<()> {
        self.io.counters.failures.count(SystemCall::Wait, &error);
        let now = self.clock.now();
        if self.failed_waits == 0 || now.since(begun) > LASTED {
            (self.blind_since, self.failed_waits) = (Some(now), 0);
        }
        self.failed_waits += 1;
        let interrupted = error.kind() == io::ErrorKind::Interrupted;
        if !interrupted && self.failed_waits > FAILED_WAITS_MOST {
            return Err(error);
        }
        if !interrupted {
            std::thread::sleep(FAILED_WAIT_PAUSE);
        } else if self.failed_waits > INTERRUPTIONS_MOST {
            std::thread::sleep(INTERRUPTED_PAUSE);
        }
        Ok(())
    }
}
