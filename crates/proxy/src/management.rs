//! The side of the operators: one more listener, one call to a connection. It frames the calls and their answers; the
//! loop answers them.

use std::net::SocketAddr;

use mio::net::TcpListener;
use percent_encoding::percent_decode_str;
use sparlug::time::{Span, Time};

use crate::acceptor::{Accepted, Acceptor};
use crate::buffered_stream::BufferedStream;
use crate::control_messages::AdminRequest;
use crate::deadlines::DeadlineId;
use crate::http::{self, HttpError, ADMIN_METHODS};
use crate::shared::{AdminSlot, AdminTag, IoContext, Owner, ProxyEvent, TimerEvent};
use crate::slots::Slots;
use crate::startup::retry_transient;

/// Connections of operators at a time. Guards against those that say nothing using up the descriptors.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;
const CALL_TIME: Span = Span::from_millis(6_000); // for a call to come, and its answer to be taken
const CALL_BYTES: usize = http::MAX_HEAD_BYTES;

struct Caller {
    link: BufferedStream,
    since: Time,
    deadline: DeadlineId,
    /// Its call has come; what comes behind is thrown away until it closes.
    called: bool,
}

pub struct ManagementServer {
    acceptor: Acceptor,
    callers: Slots<AdminTag, Caller>,
}

/// A call with what it was answered, where no more is needed to answer it.
type Refusal = (u16, &'static str, &'static str);

impl ManagementServer {
    /// Listens at an address, if there is one.
    pub fn new(address: Option<SocketAddr>, io: &IoContext) -> Result<ManagementServer, String> {
        let listen =
            |address| Acceptor::register(TcpListener::bind(address)?, Owner::Management, &io.registry);
        let fault = |e: std::io::Error| format!("cannot listen for operators on {address:?}: {e}");
        let acceptor =
            address.map(|address| retry_transient(|| listen(address))).transpose().map_err(fault)?;
        let acceptor = acceptor.unwrap_or_else(|| Acceptor::new(None, Owner::Management));
        Ok(ManagementServer { acceptor, callers: Slots::default() })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.acceptor.listener()?.local_addr().ok()
    }

    pub fn accept(&mut self, io: &mut IoContext) {
        while let Accepted::Connection(stream) = self.acceptor.accept(io) {
            while self.callers.count() >= MAX_ADMIN_CONNECTIONS {
                // Guards against callers that never come to their call keeping others from theirs.
                let oldest = self.callers.iter().min_by_key(|(_, caller)| (!caller.called, caller.since));
                let Some(slot) = oldest.map(|(slot, _)| slot) else { break };
                self.close(slot, io);
            }
            let mut stream = Some(stream);
            let (deadlines, now) = (&mut io.deadlines, io.now);
            let slot = self.callers.insert_with(|slot| {
                let link = BufferedStream::new(stream.take()?);
                let deadline = deadlines.set(now + CALL_TIME, TimerEvent::AdminTimeout(slot));
                Some(Caller { link, since: now, deadline, called: false })
            });
            if let Some(slot) = slot {
                self.handle_event(slot, io);
            }
        }
    }

    pub fn handle_event(&mut self, slot: AdminSlot, io: &mut IoContext) {
        self.go_on(slot, io);
        if let Some(caller) = self.callers.get_mut(slot) {
            io.schedule_retry(&mut caller.link, Owner::Call(slot));
        }
    }

    fn go_on(&mut self, slot: AdminSlot, io: &mut IoContext) {
        let Some(caller) = self.callers.get_mut(slot) else { return };
        let read = caller.link.fill(CALL_BYTES);
        if caller.called {
            caller.link.input.clear();
            let flushed = caller.link.flush();
            if matches!(flushed, Ok(true)) {
                caller.link.shutdown_write();
            }
            if read.is_err() || flushed.is_err() || caller.link.ended {
                self.close(slot, io);
            } else if caller.link.has_unread() {
                io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Call(slot)));
            }
            return;
        }
        match parse(&caller.link.input) {
            Err((status, lines, body)) => self.respond(slot, status, lines, body, io),
            Ok(Some(call)) => {
                caller.called = true;
                io.events.push_back(ProxyEvent::AdminRequestReceived(slot, call));
            }
            Ok(None) if caller.link.ended || read.is_err() => self.close(slot, io),
            Ok(None) if caller.link.input.len() >= CALL_BYTES => {
                self.respond(slot, 413, "", "a call has no body\n", io)
            }
            Ok(None) => {}
        }
    }

    /// Writes the answer to a call, and with it the end of the connection.
    pub fn respond(&mut self, slot: AdminSlot, status: u16, lines: &str, body: &str, io: &mut IoContext) {
        let Some(caller) = self.callers.get_mut(slot) else { return };
        caller.called = true;
        caller.link.queue(&http::build_response(status, &format!("{lines}Connection: close\r\n"), body));
        self.handle_event(slot, io);
    }

    pub fn close(&mut self, slot: AdminSlot, io: &mut IoContext) {
        let Some(caller) = self.callers.remove(slot) else { return };
        io.deadlines.cancel(Some(caller.deadline));
        caller.link.close(&io.registry);
    }
}

/// What may be asked for, as one is told whose method is none of them.
const CALLS: &str = "GET /ready, GET /metrics, GET /fleet, PUT /backends/disable/ID or enable, \
                     PUT /fleet/duties/pause/NAME or resume\n";

/// What a call asks for, once it is whole; or the answer that it gets for being none.
fn parse(bytes: &[u8]) -> Result<Option<AdminRequest>, Refusal> {
    let refusal = |bad: HttpError| match bad {
        HttpError::Method => (405, "Allow: GET, PUT\r\n", CALLS),
        bad => (bad.status(), "", "no HTTP/1.1 call that can be read\n"),
    };
    let Some(mut head) = http::parse_request_head(bytes, ADMIN_METHODS).map_err(refusal)? else {
        return Ok(None);
    };
    let body = head.body.parse_buffered(&bytes[head.length..], false, CALL_BYTES).map_err(refusal)?;
    if body.is_none() {
        return Ok(None);
    }
    let bar = |id: &str, barred| {
        let host = percent_decode_str(id).decode_utf8().map_err(|_| refusal(HttpError::Malformed))?;
        Ok(("PUT", AdminRequest::SetBackendDisabled { host: host.into_owned(), disabled: barred }))
    };
    let (method, call) = match head.path.as_str() {
        "/ready" => ("GET", AdminRequest::Ready),
        "/metrics" => ("GET", AdminRequest::Metrics),
        "/fleet" => ("GET", AdminRequest::Fleet),
        path => match (path.strip_prefix("/backends/disable/"), path.strip_prefix("/backends/enable/")) {
            (Some(id), _) => bar(id, true)?,
            (_, Some(id)) => bar(id, false)?,
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
        (true, _) => Ok(Some(call)),
        (false, "GET") => Err((405, "Allow: GET\r\n", "to be asked with GET\n")),
        (false, _) => Err((405, "Allow: PUT\r\n", "to be asked with PUT\n")),
    }
}
