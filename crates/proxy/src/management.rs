//! The management endpoint for operators: one HTTP listener, one request per connection. This module parses
//! requests and writes responses; the event loop carries the requests out.

use std::net::SocketAddr;

use mio::net::TcpListener;
use percent_encoding::percent_decode_str;
use sparlug::time::{Span, Time};

use crate::acceptor::{Accepted, Acceptor, MAX_ACCEPTS_PER_TURN};
use crate::buffered_stream::BufferedStream;
use crate::control_messages::AdminRequest;
use crate::deadlines::DeadlineId;
use crate::http::{self, HttpError, ADMIN_METHODS};
use crate::shared::{AdminSlot, AdminTag, IoContext, Owner, ProxyEvent, TimerEvent};
use crate::slots::Slots;
use crate::startup::retry_transient;

/// Concurrent connections from admin clients. Guards against silent ones using up the file descriptors.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;
/// Time for a request to arrive and for its response to be received.
const REQUEST_TIMEOUT: Span = Span::from_millis(6_000);
const MAX_REQUEST_BYTES: usize = http::MAX_HEAD_BYTES;

struct AdminClient {
    stream: BufferedStream,
    connected_at: Time,
    deadline: DeadlineId,
    /// Whether its request is complete, or was refused. Further input is discarded until it closes the
    /// connection.
    request_received: bool,
}

/// The listener of the management endpoint and its connections.
pub struct ManagementServer {
    acceptor: Acceptor,
    clients: Slots<AdminTag, AdminClient>,
}

/// The response to a request that is invalid: its status, further header lines and body.
type Refusal = (u16, &'static str, &'static str);

impl ManagementServer {
    /// Listens on an address, if one is configured.
    pub fn new(address: Option<SocketAddr>, io: &IoContext) -> Result<ManagementServer, String> {
        let listen =
            |address| Acceptor::register(TcpListener::bind(address)?, Owner::Management, &io.registry);
        let failed = |e: std::io::Error| format!("cannot listen for management on {address:?}: {e}");
        let acceptor =
            address.map(|address| retry_transient(|| listen(address))).transpose().map_err(failed)?;
        let acceptor = acceptor.unwrap_or_else(|| Acceptor::new(None, Owner::Management));
        Ok(ManagementServer { acceptor, clients: Slots::default() })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.acceptor.listener()?.local_addr().ok()
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.clients.count()
    }

    pub fn accept(&mut self, io: &mut IoContext) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Accepted::Connection(stream) = self.acceptor.accept(io) else { return };
            while self.clients.count() >= MAX_ADMIN_CONNECTIONS {
                // Closes the oldest connection whose request has arrived, or else the oldest of all. Guards
                // against clients that never send a request keeping out others.
                let oldest = self
                    .clients
                    .iter()
                    .min_by_key(|(_, client)| (!client.request_received, client.connected_at));
                let Some(slot) = oldest.map(|(slot, _)| slot) else { break };
                self.close(slot, io);
            }
            let mut accepted = Some(stream);
            let (deadlines, now) = (&mut io.deadlines, io.now);
            let slot = self.clients.insert_with(|slot| {
                let stream = BufferedStream::new(accepted.take()?);
                let deadline = deadlines.set(now + REQUEST_TIMEOUT, TimerEvent::AdminTimeout(slot));
                Some(AdminClient { stream, connected_at: now, deadline, request_received: false })
            });
            if let Some(slot) = slot {
                self.handle_event(slot, io);
            }
        }
        self.acceptor.continue_next_turn(io);
    }

    pub fn handle_event(&mut self, slot: AdminSlot, io: &mut IoContext) {
        self.process_io(slot, io);
        if let Some(client) = self.clients.get_mut(slot) {
            io.schedule_retry(&mut client.stream, Owner::Call(slot));
        }
    }

    fn process_io(&mut self, slot: AdminSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        let read = client.stream.fill(MAX_REQUEST_BYTES);
        if client.request_received {
            client.stream.discard_input();
            let flushed = client.stream.flush();
            if matches!(flushed, Ok(true)) {
                client.stream.shutdown_write();
            }
            if read.is_err() || flushed.is_err() || client.stream.ended {
                self.close(slot, io);
            } else if client.stream.has_unread() {
                io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Call(slot)));
            }
            return;
        }
        match parse(&client.stream.input) {
            Err((status, headers, body)) => self.respond(slot, status, headers, body, io),
            Ok(Some(request)) => {
                client.request_received = true;
                io.events.push_back(ProxyEvent::AdminRequestReceived(slot, request));
            }
            Ok(None) if client.stream.ended || read.is_err() => self.close(slot, io),
            Ok(None) if client.stream.input.len() >= MAX_REQUEST_BYTES => {
                self.respond(slot, 413, "", "a call has no body\n", io)
            }
            Ok(None) => {}
        }
    }

    /// Writes the response to a request and then closes the connection. `headers` are further header lines.
    pub fn respond(&mut self, slot: AdminSlot, status: u16, headers: &str, body: &str, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.request_received = true;
        client.stream.queue(&http::build_response(status, &format!("{headers}Connection: close\r\n"), body));
        self.handle_event(slot, io);
    }

    pub fn close(&mut self, slot: AdminSlot, io: &mut IoContext) {
        let Some(client) = self.clients.remove(slot) else { return };
        io.deadlines.cancel(Some(client.deadline));
        client.stream.close(&io.registry);
    }
}

/// All supported requests: the body of the response to a request with any other method.
const SUPPORTED_REQUESTS: &str = "GET /ready, GET /metrics, GET /fleet, PUT /backends/disable/ID or enable, \
                     PUT /fleet/duties/pause/NAME or resume\n";

/// Parses a request once it is complete, or returns the response that refuses it.
fn parse(bytes: &[u8]) -> Result<Option<AdminRequest>, Refusal> {
    let refusal = |error: HttpError| match error {
        HttpError::Method => (405, "Allow: GET, PUT\r\n", SUPPORTED_REQUESTS),
        error => (error.status(), "", "no HTTP/1.1 call that can be read\n"),
    };
    let Some(mut head) = http::parse_request_head(bytes, ADMIN_METHODS).map_err(refusal)? else {
        return Ok(None);
    };
    let body = head.body.parse_buffered(&bytes[head.length..], false, MAX_REQUEST_BYTES).map_err(refusal)?;
    if body.is_none() {
        return Ok(None);
    }
    let set_disabled = |id: &str, disabled| {
        let host = percent_decode_str(id).decode_utf8().map_err(|_| refusal(HttpError::Malformed))?;
        Ok(("PUT", AdminRequest::SetBackendDisabled { host: host.into_owned(), disabled }))
    };
    let (method, request) = match head.path.as_str() {
        "/ready" => ("GET", AdminRequest::Ready),
        "/metrics" => ("GET", AdminRequest::Metrics),
        "/fleet" => ("GET", AdminRequest::Fleet),
        path => match (path.strip_prefix("/backends/disable/"), path.strip_prefix("/backends/enable/")) {
            (Some(id), _) => set_disabled(id, true)?,
            (_, Some(id)) => set_disabled(id, false)?,
            _ if path.starts_with("/fleet/duties/") => {
                let rest = path.strip_prefix("/fleet/duties/").and_then(|rest| rest.split_once('/'));
                match rest {
                    Some(("pause", name)) => {
                        ("PUT", AdminRequest::SetDutyPaused { name: name.to_string(), paused: true })
                    }
                    Some(("resume", name)) => {
                        ("PUT", AdminRequest::SetDutyPaused { name: name.to_string(), paused: false })
                    }
                    _ => return Err((404, "", "no such call\n")),
                }
            }
            _ => return Err((404, "", "no such call\n")),
        },
    };
    match (head.method == method, method) {
        (true, _) => Ok(Some(request)),
        (false, "GET") => Err((405, "Allow: GET\r\n", "to be asked with GET\n")),
        (false, _) => Err((405, "Allow: PUT\r\n", "to be asked with PUT\n")),
    }
}
