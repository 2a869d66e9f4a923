//! A discovery agent for one tier, in place of the platform's: it serves the list of backends and watches on
//! it in the platform's protocol, at one address for each proxy. Its faults are lag, silence, an old list, a
//! version that jumps back, lost connections, delayed responses and a move to another address.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::{Micros, Timestamp};
use crate::event_loop::{Component, ConnId, ConnectionEnd, EventLoop, ListenerId};
use crate::http_message;
use crate::record::RecordKind;

/// A backend on the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendEntry {
    pub host: String,
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "block")]
    pub pod: usize,
    pub health: String,
    #[serde(rename = "share")]
    pub size: f64,
    #[serde(rename = "born_ms")]
    pub started_ms: f64,
}

/// What the agent is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    /// One address for each proxy, by its name.
    pub listen: Vec<(String, SocketAddr)>,
    pub entries: Vec<BackendEntry>,
    pub lag: Micros,
}

/// Commands of the running scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    Set(BackendEntry),
    /// Stops or resumes responding to this proxy.
    Mute {
        proxy: usize,
        on: bool,
    },
    /// Freezes the list that this proxy gets, or unfreezes it.
    Stale {
        proxy: usize,
        on: bool,
    },
    JumpBack {
        by: u64,
    },
    /// Resets this proxy's connections and refuses new ones.
    Cut {
        proxy: usize,
        on: bool,
    },
    /// Serves this proxy the list as it was this long ago.
    Behind {
        proxy: usize,
        by: Option<Micros>,
    },
    /// Delays the responses to this proxy.
    Delay {
        proxy: usize,
        by: Micros,
    },
    Move {
        proxy: usize,
        to: SocketAddr,
    },
}

/// What a timer is for.
#[derive(Debug)]
pub enum TimerEvent {
    Apply(BackendEntry),
    WatchTimeout(ConnId, u64),
    /// A delayed response.
    SendResponse(ConnId, Vec<u8>, Vec<BackendEntry>, u64),
    /// A change is now old enough for proxies that get the list late.
    NotifyWatches,
}

/// What one proxy sees of the agent.
struct ProxyView {
    name: String,
    listener: Option<ListenerId>,
    muted: bool,
    /// The version and the list that it gets while it is stale.
    frozen_list: Option<(u64, Vec<BackendEntry>)>,
    list_delay: Option<Micros>,
    response_delay: Micros,
    address: SocketAddr,
    disconnected: bool,
    /// The agent has moved, and the proxy has not sent a request to the new address yet.
    moved: bool,
    /// The health of each backend that counts as known to the proxy, whether or not it sent a request.
    known_health: BTreeMap<String, String>,
}

/// The list as it was from `since` on.
struct ListVersion {
    since: Timestamp,
    version: u64,
    entries: Vec<BackendEntry>,
}

/// The discovery agent of one tier.
pub struct Agent {
    spec: Spec,
    views: Vec<ProxyView>,
    version: u64,
    entries: BTreeMap<String, BackendEntry>,
    /// All changes, each with its version and the entry after it.
    changes: Vec<(u64, BackendEntry)>,
    history: Vec<ListVersion>,
    /// Open watches: the proxy, the version that it has, and the number of the watch.
    watches: BTreeMap<ConnId, (usize, u64, u64)>,
    connections: BTreeMap<ConnId, usize>,
    watch_count: u64,
}

type Loop = EventLoop<TimerEvent>;

impl Agent {
    pub fn new(spec: Spec) -> Agent {
        let entries = spec.entries.iter().map(|entry| (entry.host.clone(), entry.clone())).collect();
        let (views, changes, history, watches, connections) = Default::default();
        let mut agent = Agent {
            spec,
            views,
            version: 1000,
            entries,
            changes,
            history,
            watches,
            connections,
            watch_count: 0,
        };
        agent.record_version(Timestamp::default());
        agent
    }

    /// Adds the current list to the history.
    fn record_version(&mut self, since: Timestamp) {
        let entries = self.entries.values().cloned().collect();
        self.history.push(ListVersion { since, version: self.version, entries });
    }

    /// The version and the list that this proxy gets now.
    fn list_for(&self, view: usize, now: Timestamp) -> (u64, Vec<BackendEntry>) {
        let view = &self.views[view];
        if let Some(frozen_list) = &view.frozen_list {
            return frozen_list.clone();
        }
        let shown_at = now - view.list_delay.unwrap_or(Micros::ZERO);
        let past = self.history.iter().rev().find(|past| view.list_delay.is_none() || past.since <= shown_at);
        past.map(|past| (past.version, past.entries.clone())).unwrap_or_default()
    }

    fn apply(&mut self, event_loop: &mut Loop, entry: BackendEntry) {
        self.version += 1;
        if entry.health == "Gone" {
            self.entries.remove(&entry.host);
        } else {
            self.entries.insert(entry.host.clone(), entry.clone());
        }
        self.changes.push((self.version, entry));
        self.record_version(event_loop.now);
        self.notify_watches(event_loop);
        for by in self.views.iter().filter_map(|view| view.list_delay).collect::<Vec<_>>() {
            event_loop.schedule_after(by + Micros(1), TimerEvent::NotifyWatches);
        }
    }

    fn notify_watches(&mut self, event_loop: &mut Loop) {
        self.record_pushed(event_loop);
        let all: Vec<_> = self.watches.iter().map(|(conn, (view, from, _))| (*conn, *view, *from)).collect();
        for (conn, view, from) in all {
            if !self.views[view].muted && from != self.list_for(view, event_loop.now).0 {
                self.watches.remove(&conn);
                self.send_list(event_loop, conn, view, Some(from));
            }
        }
    }

    /// Records the changes of each proxy's list as told to it. They count from now, because lists are pushed
    /// and the agent runs on the proxy's machine; a response that the agent delays counts when it is written.
    fn record_pushed(&mut self, event_loop: &mut Loop) {
        for view in 0..self.views.len() {
            let ProxyView { muted, disconnected, moved, response_delay, .. } = self.views[view];
            if muted || disconnected || moved || response_delay > Micros::ZERO {
                continue;
            }
            let (seq, entries) = self.list_for(view, event_loop.now);
            let current: BTreeMap<_, _> =
                entries.into_iter().map(|entry| (entry.host, entry.health)).collect();
            let view = &mut self.views[view];
            let gone = view
                .known_health
                .keys()
                .filter(|host| !current.contains_key(*host))
                .map(|host| (host, "Gone"));
            let changed =
                current.iter().filter(|(host, health)| view.known_health.get(*host) != Some(*health));
            for (host, health) in gone.chain(changed.map(|(host, health)| (host, health.as_str()))) {
                let (proxy, host, health) = (view.name.clone(), host.clone(), health.to_string());
                event_loop.record(RecordKind::HealthReported { proxy, host, health, seq });
            }
            view.known_health = current;
        }
    }

    /// Sends the full list, or the changes since a version that the agent knows.
    fn send_list(&mut self, event_loop: &mut Loop, conn: ConnId, view: usize, from: Option<u64>) {
        let (version, entries) = self.list_for(view, event_loop.now);
        let known_version = from.filter(|from| *from <= version && *from >= 1000);
        let (full, hosts) = match known_version {
            None => (true, entries),
            Some(from) => {
                let changes = self.changes.iter().filter(|(at, _)| *at > from && *at <= version);
                let mut latest = BTreeMap::new();
                changes.for_each(|(_, entry)| drop(latest.insert(entry.host.clone(), entry.clone())));
                (false, latest.into_values().collect())
            }
        };
        let body = serde_json::json!({ "seq": version, "whole": full, "hosts": hosts }).to_string();
        let response = http_message::encode_response(
            200,
            &[("Content-Type", "application/json".into())],
            body.as_bytes(),
        );
        match self.views[view].response_delay {
            Micros::ZERO => self.write_list(event_loop, conn, response, hosts, version),
            delay => {
                event_loop.schedule_after(delay, TimerEvent::SendResponse(conn, response, hosts, version))
            }
        }
    }

    fn write_list(
        &mut self,
        event_loop: &mut Loop,
        conn: ConnId,
        response: Vec<u8>,
        hosts: Vec<BackendEntry>,
        seq: u64,
    ) {
        // If the connection has closed in the meantime, the proxy was told nothing.
        let Some(view) = self.connections.get(&conn).copied() else { return };
        event_loop.write(conn, &response);
        let proxy = &self.views[view].name;
        for entry in hosts {
            let (host, health) = (entry.host, entry.health);
            event_loop.record(RecordKind::HealthReported { proxy: proxy.clone(), host, health, seq });
        }
    }

    fn handle_requests(&mut self, event_loop: &mut Loop, conn: ConnId) {
        let Some(view) = self.connections.get(&conn).copied() else { return };
        if self.views[view].muted {
            return;
        }
        while let Ok(Some(request)) = http_message::parse_request(event_loop.input(conn)) {
            event_loop.consume(conn, request.length);
            let query = request.path.split_once('?').map_or("", |(_, query)| query);
            let query_number = |name: &str| {
                let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
                found.and_then(|value| value.parse::<u64>().ok())
            };
            if std::mem::take(&mut self.views[view].moved) {
                self.record_pushed(event_loop);
            }
            if !request.path.starts_with("/v1/endpoints") {
                event_loop.write(conn, &http_message::encode_response(404, &[], b""));
                continue;
            }
            let version = self.list_for(view, event_loop.now).0;
            match (query_number("index"), query_number("wait")) {
                (Some(from), Some(wait)) if from == version && wait > 0 => {
                    self.watch_count += 1;
                    self.watches.insert(conn, (view, from, self.watch_count));
                    event_loop.schedule_after(
                        Micros::from_millis(wait.min(60_000) as i64),
                        TimerEvent::WatchTimeout(conn, self.watch_count),
                    );
                }
                (from, _) => self.send_list(event_loop, conn, view, from),
            }
        }
    }

    fn close_listener(&mut self, event_loop: &mut Loop, view: usize, reset: bool) {
        let Some(listener) = self.views[view].listener.take() else { return };
        event_loop.connections_of(listener).into_iter().for_each(|conn| {
            if reset {
                event_loop.reset(conn);
            } else {
                event_loop.close(conn);
            }
            self.connections.remove(&conn);
            self.watches.remove(&conn);
        });
        event_loop.close_listener(listener);
    }

    fn open_listener(&mut self, event_loop: &mut Loop, view: usize) {
        let to = self.views[view].address;
        match event_loop.listen(to) {
            Ok(listener) => self.views[view].listener = Some(listener),
            Err(e) => {
                event_loop.record(RecordKind::Note { text: format!("agent cannot listen on {to}: {e}") })
            }
        }
    }

    /// Handles the requests that came in while the agent was silent.
    fn resume(&mut self, event_loop: &mut Loop, view: usize) {
        let conns: Vec<_> =
            self.connections.iter().filter(|(_, of)| **of == view).map(|(conn, _)| *conn).collect();
        conns.into_iter().for_each(|conn| self.handle_requests(event_loop, conn));
        self.notify_watches(event_loop);
    }
}

impl Component for Agent {
    type TimerEvent = TimerEvent;
    type Command = Command;

    fn start(&mut self, event_loop: &mut Loop) -> io::Result<()> {
        for (name, address) in self.spec.listen.clone() {
            let listener = Some(event_loop.listen(address)?);
            let (muted, frozen_list, list_delay, response_delay, disconnected, moved) = Default::default();
            let known_health =
                self.entries.values().map(|entry| (entry.host.clone(), entry.health.clone())).collect();
            self.views.push(ProxyView {
                name,
                listener,
                muted,
                frozen_list,
                list_delay,
                response_delay,
                address,
                disconnected,
                moved,
                known_health,
            });
        }
        Ok(())
    }

    fn on_accept(&mut self, _event_loop: &mut Loop, listener: ListenerId, conn: ConnId) {
        if let Some(view) = self.views.iter().position(|view| view.listener == Some(listener)) {
            self.connections.insert(conn, view);
        }
    }

    fn on_data(&mut self, event_loop: &mut Loop, conn: ConnId) {
        self.handle_requests(event_loop, conn);
    }

    fn on_close(&mut self, event_loop: &mut Loop, conn: ConnId, _how: ConnectionEnd) {
        event_loop.close(conn);
        self.connections.remove(&conn);
        self.watches.remove(&conn);
    }

    fn on_timer(&mut self, event_loop: &mut Loop, event: TimerEvent) {
        match event {
            TimerEvent::Apply(entry) => self.apply(event_loop, entry),
            TimerEvent::SendResponse(conn, response, hosts, version) => {
                self.write_list(event_loop, conn, response, hosts, version)
            }
            TimerEvent::NotifyWatches => self.notify_watches(event_loop),
            TimerEvent::WatchTimeout(conn, watch) => {
                let found = self
                    .watches
                    .get(&conn)
                    .filter(|(view, _, number)| *number == watch && !self.views[*view].muted);
                if let Some((view, from, _)) = found.copied() {
                    self.watches.remove(&conn);
                    self.send_list(event_loop, conn, view, Some(from));
                }
            }
        }
    }

    fn on_command(&mut self, event_loop: &mut Loop, command: Command) {
        match command {
            Command::Set(entry) => {
                let lag = self.spec.lag;
                event_loop.schedule_after(lag, TimerEvent::Apply(entry));
            }
            Command::Mute { proxy, on } => {
                self.views[proxy].muted = on;
                self.resume(event_loop, proxy);
            }
            Command::Stale { proxy, on } => {
                let now = (self.version, self.entries.values().cloned().collect());
                self.views[proxy].frozen_list = on.then_some(now);
                self.resume(event_loop, proxy);
            }
            Command::JumpBack { by } => {
                // As after a loss of its state: the version is lower, and the changes since older ones are
                // unknown.
                self.version = self.version.saturating_sub(by);
                self.changes.clear();
                self.version = self.version.min(999);
                self.record_version(event_loop.now);
                self.notify_watches(event_loop);
            }
            Command::Cut { proxy, on } => {
                self.views[proxy].disconnected = on;
                if on {
                    self.close_listener(event_loop, proxy, true);
                } else {
                    self.open_listener(event_loop, proxy);
                    self.record_pushed(event_loop);
                }
            }
            Command::Behind { proxy, by } => {
                self.views[proxy].list_delay = by;
                self.notify_watches(event_loop);
            }
            Command::Delay { proxy, by } => self.views[proxy].response_delay = by,
            Command::Move { proxy, to } => {
                (self.views[proxy].address, self.views[proxy].moved) = (to, true);
                self.close_listener(event_loop, proxy, false);
                if !self.views[proxy].disconnected {
                    self.open_listener(event_loop, proxy);
                }
            }
        }
    }
}

/// Converts a time on the lab's clock to Unix time in milliseconds.
pub fn unix_ms(at: Timestamp) -> f64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    unix.as_secs_f64() * 1000.0 - (Timestamp::now().0 - at.0) as f64 / 1000.0
}
