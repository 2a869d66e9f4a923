//! Reading requests from clients: heads, bodies, and what is rejected before it reaches the balancer.

use sparlug::id::TenantId;
use sparlug::time::{Span, Time};

use super::client::{Client, ClientState};
use super::{Clients, IdHash, CONTINUE_RESPONSE, REQUEST_READ_TIMEOUT};
use crate::body::MAX_BODY_BYTES;
use crate::close_reason::CloseReason;
use crate::http::{
    self, HttpError, RequestHead, CLIENT_METHODS, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_MESSAGE_BYTES,
};
use crate::io_failures::SystemCall;
use crate::shared::{ClientSlot, IncomingRequest, IoContext, Owner, ProxyEvent, TimerEvent};

impl Clients {
    /// Handles the next request in the buffered bytes, if it is complete. No more than `max_bytes` are read of an
    /// incomplete one.
    pub(super) fn read_request(&mut self, slot: ClientSlot, max_bytes: usize, io: &mut IoContext) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.stream.ended && client.stream.input.is_empty() {
            return self.close(slot, CloseReason::ByClient, io);
        }
        match Self::next_request(client) {
            Err(error) => {
                io.counters.bad_input += 1;
                self.respond(slot, error.status(), true, io);
            }
            // A client that has closed its side will not send the rest of its request.
            Ok(None) if client.stream.ended => self.close(slot, CloseReason::ByClient, io),
            // The memory has no room for the rest of the request.
            Ok(None) if client.stream.input.len() >= max_bytes => {
                io.counters.refused_for_memory += 1;
                let (bytes, id) =
                    (client.stream.input.len(), client.head.as_ref().and_then(|head| head.id.as_deref()));
                tracing::debug!(id, bytes, "refused: no memory for the rest of the request");
                self.respond(slot, 503, true, io);
            }
            Ok(None) => {
                if !client.stream.read_failed() {
                    client.read_failed_since = None; // the request's last byte has not arrived yet
                }
                if !client.read_timer_set && !client.stream.input.is_empty() {
                    client.read_timer_set = true;
                    io.deadlines.cancel(client.deadline.take());
                    client.deadline = Some(
                        io.deadlines.set(io.now + REQUEST_READ_TIMEOUT, TimerEvent::ClientTimeout(slot)),
                    );
                }
                if client.head.is_some() && client.incoming_body.is_none() {
                    client.start_body(slot, None, io);
                }
                let send_continue =
                    client.head.as_mut().is_some_and(|head| std::mem::take(&mut head.expects_continue));
                if send_continue {
                    client.stream.queue(CONTINUE_RESPONSE);
                }
                if let Err(e) = client.stream.flush() {
                    io.counters.failures.count(SystemCall::Write, &e);
                    return self.close(slot, CloseReason::WriteFailed, io);
                }
                if io.refuses_requests() {
                    self.refuse_further_requests(slot, io);
                }
            }
            Ok(Some((head, message, complete))) => {
                io.deadlines.cancel(client.deadline.take());
                (client.last_used, client.read_timer_set, client.incoming_body) = (io.now, false, None);
                if client.stream.ended || client.hung_up {
                    return self.close(slot, CloseReason::ByClient, io);
                }
                if !complete {
                    client.start_body(slot, Some(head.body), io);
                    if head.expects_continue {
                        client.stream.queue(CONTINUE_RESPONSE);
                        // What cannot be written now is sent with the response, or the connection ends.
                        let _ = client.stream.flush();
                    }
                }
                self.handle_request(slot, head, message, complete, io);
            }
        }
    }

    /// The next request, and whether it is complete: a long one is not, and is streamed.
    fn next_request(client: &mut Client) -> Result<Option<(RequestHead, Vec<u8>, bool)>, HttpError> {
        // Blank lines before a request are skipped.
        let blank_bytes = client.stream.input.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        if client.head.is_none() && blank_bytes > 0 {
            client.stream.take_input(blank_bytes);
        }
        if client.head.is_none() {
            client.head = http::parse_request_head(&client.stream.input, CLIENT_METHODS)?.map(Box::new);
        }
        let Some(head) = &mut client.head else { return Ok(None) };
        let complete = match head.body.parse_buffered(
            &client.stream.input[head.length..],
            false,
            MAX_BUFFERED_BODY_BYTES,
        ) {
            Ok(Some(_)) => true,
            Ok(None) if client.stream.input.len() < MAX_BUFFERED_MESSAGE_BYTES => return Ok(None),
            Err(error) if error != HttpError::BodyTooLarge || head.body.size() > MAX_BODY_BYTES => {
                return Err(error)
            }
            Ok(None) | Err(_) => false,
        };
        let message = client.stream.take_input(head.length + head.body.parsed_len());
        Ok(client.head.take().map(|head| (*head, message, complete)))
    }

    fn handle_request(
        &mut self,
        slot: ClientSlot,
        head: RequestHead,
        message: Vec<u8>,
        complete: bool,
        io: &mut IoContext,
    ) {
        if head.path == "/ready" {
            let ready = self.ready && io.shutdown.is_none();
            // Clients that only check readiness must not keep connections that clients with requests need.
            let close = head.close || self.connections.count() > self.limit() / 2;
            return self.respond(slot, if ready { 200 } else { 503 }, close, io);
        }
        let first_segment = head.path[1..].split('/').next().unwrap_or_default();
        let class_index = |name: &str| self.classes.names.iter().position(|class| class == name);
        let class = class_index(first_segment)
            .filter(|_| head.class.as_deref().is_none_or(|named| named == first_segment));
        let Some(class) = class else {
            io.counters.bad_input += 1;
            return self.respond(slot, 404, true, io);
        };
        if let Some(client) = self.connections.get_mut(slot) {
            client.open_class = Some(class as u16);
        }
        let is_tenant = |name: &String| Some(name.as_str()) == head.tenant.as_deref();
        let tenant = self.classes.tenants.iter().position(is_tenant).map(|index| TenantId(index as u32));
        let longest_deadline = self.classes.deadlines[class];
        let timeout = head.timeout.as_deref().map_or(Some(longest_deadline), parse_timeout);
        // A request must not pass for another client's request by carrying its id, and an at-most-once request must
        // not run again under its own.
        let may_repeat = head.is_repeatable();
        let is_repeated = |id: &String| !may_repeat && self.id_history.contains(IdHash::of(id));
        if head.id.as_ref().is_some_and(is_repeated) {
            io.counters.repeated_ids += 1;
            tracing::debug!(id = head.id, "the id of an earlier at-most-once request comes again");
        }
        let id = head.id.clone().filter(|id| !self.active_ids.contains(id) && !is_repeated(id));
        let (Some(timeout), Some(id)) = (timeout, id) else {
            io.counters.bad_input += 1;
            return self.respond(slot, 400, true, io);
        };
        if head.method != self.classes.methods[class] {
            io.counters.bad_input += 1;
            return self.respond(slot, 405, true, io);
        }
        if let Some(client) = self.connections.get_mut(slot) {
            client.state = ClientState::Waiting(None);
            if !may_repeat {
                self.id_history.insert(IdHash::of(&id), io.now);
            }
            self.active_ids.insert(id.clone());
            client.request_id = Some(id);
        }
        // A request must not run beyond the end of the process.
        let timeout = io.shutdown.map_or(timeout, |schedule| timeout.min(schedule.respond_by.since(io.now)));
        // The client's timeout starts when it sends, which may have been while the loop was busy or reads
        // failed.
        let read_failed_since =
            self.connections.get_mut(slot).and_then(|client| client.read_failed_since.take());
        let sent = read_failed_since.map_or(io.earliest_arrival, |since| since.min(io.earliest_arrival));
        let (class, deadline) = (class as u16, sent + timeout);
        let tenant = tenant.unwrap_or(TenantId::NONE);
        let incoming = IncomingRequest { head, message, class, tenant, timeout, deadline, complete };
        io.events.push_back(ProxyEvent::RequestReceived(slot, incoming));
    }

    /// The earliest time at which the client can have sent its latest byte.
    pub fn sent_not_before(&self, slot: ClientSlot) -> Option<Time> {
        self.connections.get(slot).map(|client| client.sent_not_before)
    }

    /// Since when the rest of a client's body may be there: bytes wait that were sent then at the earliest. `None` if
    /// everything that has come was passed on.
    pub fn body_waits_since(&self, slot: ClientSlot) -> Option<Time> {
        let client = self.connections.get(slot).filter(|client| client.has_waiting_bytes())?;
        Some(client.sent_not_before)
    }

    /// The next bytes of a streamed request body, at most `capacity`, and whether the body ends with them.
    pub fn read_body(
        &mut self,
        slot: ClientSlot,
        capacity: usize,
        io: &mut IoContext,
    ) -> Result<(Vec<u8>, bool), HttpError> {
        let Some(client) = self.connections.get_mut(slot) else { return Ok((Vec::new(), false)) };
        if client.stream.input.is_empty() && client.stream.has_unread() {
            let _ = client.read(io.memory.window(), io);
            if client.stream.ended {
                io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Client(slot)));
            }
        }
        let Some(body) = client.incoming_body.as_mut().and_then(|body| body.parser.as_mut()) else {
            return Ok((Vec::new(), false));
        };
        let available = client.stream.input.len().min(capacity);
        let length = body.parse(&client.stream.input[..available])?;
        let last = body.is_complete();
        let bytes = client.stream.take_input(length);
        if last {
            client.incoming_body = None;
            io.deadlines.cancel(client.deadline.take());
        }
        self.update_indexes(slot, io);
        Ok((bytes, last))
    }

    /// Closes a connection on which no complete request has arrived. An incomplete one is refused, since it could not
    /// get its response before the process ends.
    fn refuse_further_requests(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.connections.get(slot) else { return };
        // A request may have arrived that cannot be read yet.
        if client.stream.read_failed() {
            return;
        }
        if client.stream.input.is_empty() {
            self.linger(slot, io);
        } else {
            self.respond(slot, 503, true, io);
        }
    }
}

/// Parses a timeout in seconds: a decimal number above 0 and below one day.
fn parse_timeout(text: &str) -> Option<Span> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    (seconds > 0.0 && seconds < 86_400.0).then(|| Span::from_ms(seconds * 1000.0))
}
