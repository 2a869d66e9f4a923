//! The side of the callers: the listener, the connections that callers opened, the requests that come in on
//! them and the answers that go out.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use sparlug::id::{RequestId, TenantId};
use sparlug::time::{Span, Time};

use crate::acceptor::{Accepted, Acceptor};
use crate::body::MAX_BODY_BYTES;
use crate::buffered_stream::BufferedStream;
use crate::close_reason::CloseReason;
use crate::config::Budgets;
use crate::http::{
    self, HttpError, RequestHead, CLIENT_METHODS, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_MESSAGE_BYTES,
    MAX_HEAD_BYTES,
};
use crate::io_failures::{is_descriptor_limit, SystemCall};
use crate::shared::{ClientSlot, ClientTag, IncomingRequest, IoContext, Owner, ProxyEvent, TimerEvent};
use crate::slots::Slots;

mod answers;
mod client;
mod room;

use client::{Client, State};
use room::descriptor_room;

const FIRST_TIME: Span = Span::from_millis(2_300); // for the first request to come whole, from the connecting
const MESSAGE_TIME: Span = Span::from_millis(2_300); // for a later one, once it has begun
const BODY_CHECK: Span = Span::from_millis(1_050); // between looks at how a body comes in
const BODY_TIME: Span = Span::from_millis(2_000); // for a body to show that it does
const BODY_STILL: Span = Span::from_millis(1_000); // after which nothing more is expected of it
const BODY_RATE: f64 = 20.0; // bytes in a ms, under which it is too slow
const IDLE_TIME: Span = Span::from_millis(15_000); // between requests
const ANSWER_TIME: Span = Span::from_millis(10_000); // for the client to take an answer
const LINGER: Span = Span::from_millis(1_000); // for the client to read a last answer
const FRESH: Span = Span::from_millis(2_000); // a connection used no longer ago is not closed to make room
const LINGERING: usize = 0; // the first rank of those that may have to leave
const GONE: u16 = 499; // how a request counts whose client left
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a class of request is called, how long its callers wait at the most, and the method that it bears; and what
/// those are called on whose behalf it comes.
pub struct Classes {
    pub names: Vec<String>,
    pub deadlines: Vec<Span>,
    pub methods: Vec<&'static str>,
    pub tenants: Vec<String>,
}

pub struct Clients {
    acceptor: Acceptor,
    /// Another process accepts there too.
    joined: bool,
    clients: Slots<ClientTag, Client>,
    /// Who may have to leave for a new one, by rank and then by when it was last used: those that only linger,
    /// idle ones, those whose request does not come to its end.
    leavers: [BTreeSet<(Time, ClientSlot)>; 3],
    /// Bytes of all callers that came and were not used.
    unread: usize,
    /// Of all requests that were taken and are not answered.
    ids: BTreeSet<String>,
    classes: Classes,
    pub budgets: Budgets,
    /// How many may be open where the process has fewer descriptors than the configuration says.
    descriptor_bound: Option<usize>,
    full: bool,
    pub ready: bool,
    /// The proxy is going down: answers say that the connection ends.
    pub leaving: bool,
    /// When the process ends at the latest, if it is going down.
    pub ends_at: Option<Time>,
}

impl Clients {
    /// `joined` tells that another process accepts at the same listener.
    pub fn new(listener: Option<TcpListener>, joined: bool, classes: Classes, budgets: Budgets) -> Clients {
        let (clients, leavers, unread, ids, full, ready, leaving, ends_at) = Default::default();
        Clients {
            acceptor: Acceptor::new(listener, Owner::Listener),
            joined,
            clients,
            leavers,
            unread,
            ids,
            classes,
            budgets,
            descriptor_bound: None,
            full,
            ready,
            leaving,
            ends_at,
        }
    }

    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.budgets = budgets;
        self.descriptor_bound = None;
    }

    /// Nobody is connected: all have had their answers, and read them or had time to.
    pub fn is_empty(&self) -> bool {
        self.clients.count() == 0
    }

    /// Connections on which an answer may still be owed.
    pub fn owing(&self) -> usize {
        self.clients.count() - self.leavers[LINGERING].len()
    }

    /// Requests that came and have not ended.
    pub fn in_flight(&self) -> usize {
        self.clients.iter().filter(|(_, client)| client.open.is_some() && client.upload.is_none()).count()
    }

    /// Connections that are open, how many may be, and whether others wait for one of them to end.
    pub fn report(&self) -> String {
        let (open, limit, waiting) = (self.clients.count(), self.limit(), u8::from(self.full));
        format!("svc.clients.open:{open}|g\nsvc.clients.limit:{limit}|g\nsvc.clients.waiting:{waiting}|g\n")
    }

    pub fn slots(&self) -> impl Iterator<Item = ClientSlot> + '_ {
        self.clients.iter().map(|(slot, _)| slot)
    }

    pub fn names(&self) -> &[String] {
        &self.classes.names
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener()?.local_addr().ok()
    }

    /// It can serve from here on.
    pub fn set_ready(&mut self, io: &mut IoContext) {
        if !std::mem::replace(&mut self.ready, true) {
            io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Listener));
        }
    }

    pub fn listener(&self) -> Option<&TcpListener> {
        self.acceptor.listener()
    }

    pub fn accept(&mut self, io: &mut IoContext) {
        // Guards against taking what the process before would serve at once.
        if self.joined && !self.ready {
            return;
        }
        loop {
            if !self.make_room(io) {
                self.say_full(true);
                if self.descriptor_bound.is_some() {
                    self.set_descriptor_bound(descriptor_room()); // the limit may have been raised
                }
                return self.acceptor.wait_for_capacity(io);
            }
            match self.acceptor.accept(io) {
                Accepted::Connection(stream) => self.add(stream, io),
                Accepted::Empty => return self.say_full(false),
                Accepted::Failed(error) if is_descriptor_limit(&error) => {
                    return self.bound_by_descriptors(io)
                }
                Accepted::Failed(_) | Accepted::Closed => return,
            }
        }
    }

    /// Brings the sums and orders over all callers up to how one of them stands now.
    fn settle(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.link.retry_nodelay();
        io.schedule_retry(&mut client.link, Owner::Client(slot));
        let length = client.link.input.len();
        self.unread = self.unread + length - std::mem::replace(&mut client.counted, length);
        let rank = match client.state {
            State::Lingering => Some(LINGERING),
            State::Reading => Some(if length == 0 { 1 } else { 2 }),
            State::Waiting(_) | State::Answering { .. } | State::Streaming { .. } => None,
        };
        let standing = rank.map(|rank| (rank, client.used));
        let before = std::mem::replace(&mut client.standing, standing);
        if before != standing {
            if let Some((rank, used)) = before {
                self.leavers[rank].remove(&(used, slot));
            }
            if let Some((rank, used)) = standing {
                self.leavers[rank].insert((used, slot));
            }
        }
    }

    fn add(&mut self, stream: TcpStream, io: &mut IoContext) {
        let mut stream = Some(stream);
        let held_up = self.acceptor.delayed_since;
        // The slot is wanted for the token, so the record is made in two steps.
        let (deadlines, now) = (&mut io.deadlines, io.now);
        let slot = self.clients.insert_with(|slot| {
            let mut link = BufferedStream::new(stream.take()?);
            link.set_nodelay();
            let deadline = Some(deadlines.set(now + FIRST_TIME, TimerEvent::ClientTimeout(slot)));
            let (state, head, upload, id, open) = (State::Reading, None, None, None, None);
            let (counted, standing) = (0, None);
            Some(Client {
                link,
                state,
                head,
                upload,
                id,
                open,
                deadline,
                used: now,
                held_up,
                counted,
                standing,
                begun: true,
                hung_up: false,
            })
        });
        if let Some(slot) = slot {
            io.counters.connections += 1;
            io.client_connections += 1;
            self.event(slot, io);
        }
    }

    fn close(&mut self, slot: ClientSlot, reason: CloseReason, io: &mut IoContext) {
        let Some(client) = self.clients.remove(slot) else { return };
        if client.is_owed() {
            io.counters.closed_unanswered.count(reason);
            tracing::debug!(id = client.id, state = ?client.state, ?reason, "closed without a whole answer");
        }
        io.client_connections -= 1;
        self.unread -= client.counted;
        if let Some((rank, used)) = client.standing {
            self.leavers[rank].remove(&(used, slot));
        }
        if let Some(id) = client.id {
            self.ids.remove(&id);
        }
        io.counters.count_response(client.open, GONE);
        io.deadlines.cancel(client.deadline);
        if let State::Waiting(Some(request)) | State::Streaming { request, done: false, .. } = client.state {
            io.counters.clients_gone += 1;
            io.events.push_back(ProxyEvent::ClientGone(request));
        }
        client.link.close(&io.registry);
        if self.acceptor.may_have_pending {
            io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Listener));
        }
    }

    /// Whether the connection is still there.
    pub fn has(&self, slot: ClientSlot) -> bool {
        self.clients.get(slot).is_some()
    }

    /// The client has closed its side, perhaps behind bytes that were not read yet.
    pub fn hung_up(&mut self, slot: ClientSlot) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.hung_up = true;
        }
    }

    /// Something can be read or written, or the connection has ended.
    pub fn event(&mut self, slot: ClientSlot, io: &mut IoContext) {
        self.go_on(slot, io);
        self.settle(slot, io);
    }

    fn go_on(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        // Guards against one client's row of requests filling the memory while the first is being answered.
        let most = match (client.state, &client.upload) {
            (State::Reading, _) => MAX_BUFFERED_MESSAGE_BYTES,
            (State::Waiting(_), Some(_)) => io.window(),
            _ => MAX_HEAD_BYTES,
        };
        let read = client.fill(most, io.now);
        if client.state == State::Lingering {
            client.link.input.clear();
            if client.link.has_unread() {
                io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Client(slot)));
            }
        }
        // Guards against a row of requests, more than is read at once, hiding that nobody waits for them.
        if let Err(e) = read {
            io.counters.failures.count(SystemCall::Read, &e);
            return self.close(slot, CloseReason::ReadFailed, io);
        }
        if (client.link.ended || client.hung_up) && client.state != State::Reading {
            return self.close(slot, CloseReason::ByClient, io);
        }
        match client.state {
            State::Answering { .. } | State::Streaming { .. } => self.write(slot, io),
            State::Reading => self.read(slot, io),
            State::Waiting(Some(request)) if client.upload.is_some() => {
                io.events.push_back(ProxyEvent::RequestBodyReady(request));
            }
            State::Waiting(_) | State::Lingering => {}
        }
    }

    /// Takes the next request out of what was read, if it is whole.
    fn read(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.link.ended && client.link.input.is_empty() {
            return self.close(slot, CloseReason::ByClient, io);
        }
        match Self::next(client) {
            Err(bad) => {
                io.counters.bad_input += 1;
                self.reply(slot, bad.status(), true, io);
            }
            // Guards against waiting for the rest of what a client that is gone will never send.
            Ok(None) if client.link.ended => self.close(slot, CloseReason::ByClient, io),
            // Guards against large requests filling the memory before they are whole.
            Ok(None)
                if client.link.input.len() > MAX_HEAD_BYTES
                    && self.unread - client.counted + client.link.input.len() > self.budgets.buffer_bytes =>
            {
                self.reply(slot, 503, true, io);
            }
            Ok(None) => {
                if !client.link.read_failed() {
                    client.held_up = None; // its last byte is still to come
                }
                if !client.begun && !client.link.input.is_empty() {
                    client.begun = true;
                    io.deadlines.cancel(client.deadline.take());
                    client.deadline =
                        Some(io.deadlines.set(io.now + MESSAGE_TIME, TimerEvent::ClientTimeout(slot)));
                }
                if client.head.is_some() && client.upload.is_none() {
                    client.await_body(slot, None, io);
                }
                let go_on =
                    client.head.as_mut().is_some_and(|head| std::mem::take(&mut head.expects_continue));
                if go_on {
                    client.link.queue(CONTINUE);
                }
                if let Err(e) = client.link.flush() {
                    io.counters.failures.count(SystemCall::Write, &e);
                    self.close(slot, CloseReason::WriteFailed, io);
                }
            }
            Ok(Some((head, message, whole))) => {
                io.deadlines.cancel(client.deadline.take());
                (client.used, client.begun, client.upload) = (io.now, false, None);
                if client.link.ended || client.hung_up {
                    return self.close(slot, CloseReason::ByClient, io);
                }
                if !whole {
                    client.await_body(slot, Some(head.body), io);
                    if head.expects_continue {
                        client.link.queue(CONTINUE);
                        // What can't be written now goes out with the answer, or the connection ends.
                        let _ = client.link.flush();
                    }
                }
                self.request(slot, head, message, whole, io);
            }
        }
    }

    /// The next request, and whether it is whole: a long one is not.
    fn next(client: &mut Client) -> Result<Option<(RequestHead, Vec<u8>, bool)>, HttpError> {
        // Blank lines before a request are let pass.
        let blank = client.link.input.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        if client.head.is_none() && blank > 0 {
            client.link.take_input(blank);
        }
        if client.head.is_none() {
            client.head = http::parse_request_head(&client.link.input, CLIENT_METHODS)?.map(Box::new);
        }
        let Some(head) = &mut client.head else { return Ok(None) };
        let whole =
            match head.body.parse_buffered(&client.link.input[head.length..], false, MAX_BUFFERED_BODY_BYTES)
            {
                Ok(Some(_)) => true,
                Ok(None) if client.link.input.len() < MAX_BUFFERED_MESSAGE_BYTES => return Ok(None),
                Err(bad) if bad != HttpError::BodyTooLarge || head.body.size() > MAX_BODY_BYTES => {
                    return Err(bad)
                }
                Ok(None) | Err(_) => false,
            };
        let message = client.link.take_input(head.length + head.body.parsed_len());
        Ok(client.head.take().map(|head| (*head, message, whole)))
    }

    fn request(
        &mut self,
        slot: ClientSlot,
        head: RequestHead,
        message: Vec<u8>,
        whole: bool,
        io: &mut IoContext,
    ) {
        if head.path == "/ready" {
            let ready = self.ready && !self.leaving;
            // Guards against a crowd that asks once and stays in the place of callers that bring requests.
            let close = head.close || self.clients.count() > self.limit() / 2;
            return self.reply(slot, if ready { 200 } else { 503 }, close, io);
        }
        let first = head.path[1..].split('/').next().unwrap_or_default();
        let place = |name: &str| self.classes.names.iter().position(|class| class == name);
        let class = place(first).filter(|_| head.class.as_deref().is_none_or(|named| named == first));
        let Some(class) = class else {
            io.counters.bad_input += 1;
            return self.reply(slot, 404, true, io);
        };
        if let Some(client) = self.clients.get_mut(slot) {
            client.open = Some(class as u16);
        }
        let named = |name: &String| Some(name.as_str()) == head.tenant.as_deref();
        let tenant = self.classes.tenants.iter().position(named).map(|place| TenantId(place as u32));
        let longest = self.classes.deadlines[class];
        let waits = head.timeout.as_deref().map_or(Some(longest), seconds);
        // Guards against one client's request passing for that of another, whose id it bears.
        let id = head.id.clone().filter(|id| !self.ids.contains(id));
        let (Some(waits), Some(id)) = (waits, id) else {
            io.counters.bad_input += 1;
            return self.reply(slot, 400, true, io);
        };
        if head.method != self.classes.methods[class] {
            io.counters.bad_input += 1;
            return self.reply(slot, 405, true, io);
        }
        if let Some(client) = self.clients.get_mut(slot) {
            client.state = State::Waiting(None);
            self.ids.insert(id.clone());
            client.id = Some(id);
        }
        // Guards against taking on what the end of the process would cut off.
        let waits = self.ends_at.map_or(waits, |end| waits.min(end.since(io.now)));
        // The client counts from when it sent, which may have been while the loop was busy or calls failed.
        let held_up = self.clients.get_mut(slot).and_then(|client| client.held_up.take());
        let since = held_up.map_or(io.earliest_arrival, |since| since.min(io.earliest_arrival));
        let (class, deadline) = (class as u16, since + waits);
        let tenant = tenant.unwrap_or(TenantId::NONE);
        let incoming =
            IncomingRequest { head, message, class, tenant, timeout: waits, deadline, complete: whole };
        io.events.push_back(ProxyEvent::RequestReceived(slot, incoming));
    }

    /// The id under which the client's request goes on from here.
    pub fn holds(&mut self, slot: ClientSlot, request: RequestId) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.state = State::Waiting(Some(request));
        }
    }

    /// Whether a connection ends with its answer: the proxy goes, there are too many, or a body is left unread.
    pub fn ends(&self, slot: ClientSlot) -> bool {
        let unread = self.clients.get(slot).is_some_and(|client| client.upload.is_some());
        self.leaving || unread || self.clients.count() > self.limit()
    }

    /// The next bytes of a body that is passed on as it comes, `room` at the most, and whether it ends with them.
    pub fn pull(
        &mut self,
        slot: ClientSlot,
        room: usize,
        io: &mut IoContext,
    ) -> Result<(Vec<u8>, bool), HttpError> {
        let Some(client) = self.clients.get_mut(slot) else { return Ok((Vec::new(), false)) };
        if client.link.input.is_empty() && client.link.has_unread() {
            let _ = client.fill(io.window(), io.now);
            if client.link.ended {
                io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Client(slot)));
            }
        }
        let Some(body) = client.upload.as_mut().and_then(|upload| upload.body.as_mut()) else {
            return Ok((Vec::new(), false));
        };
        let most = client.link.input.len().min(room);
        let length = body.parse(&client.link.input[..most])?;
        let over = body.is_complete();
        let bytes = client.link.take_input(length);
        if over {
            client.upload = None;
            io.deadlines.cancel(client.deadline.take());
        }
        self.settle(slot, io);
        Ok((bytes, over))
    }

    pub fn due(&mut self, slot: ClientSlot, io: &mut IoContext) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.deadline = None;
        if client.state == State::Reading {
            // Guards against closing on a request that has come and was not read.
            self.event(slot, io);
        }
        let Some(client) = self.clients.get_mut(slot).filter(|client| client.deadline.is_none()) else {
            return;
        };
        let window = io.window();
        if let (State::Reading | State::Waiting(_), Some(upload)) = (client.state, &mut client.upload) {
            // What waits for the proxy, or for a backend, is not the client's delay.
            if upload.body.is_some() && client.link.input.len() >= window {
                (upload.since, upload.heard, upload.bytes) = (io.now, io.now, 0);
            }
            if !upload.stalled(io.now) {
                client.deadline =
                    Some(io.deadlines.set(io.now + BODY_CHECK, TimerEvent::ClientTimeout(slot)));
                return;
            }
        }
        match client.state {
            State::Waiting(request) => {
                if let (Some(request), true) = (request, client.upload.is_some()) {
                    io.counters.bad_input += 1;
                    io.events.push_back(ProxyEvent::ClientGone(request));
                    self.reply(slot, 408, true, io);
                }
            }
            State::Streaming { .. } if io.now < client.used + ANSWER_TIME => {
                client.deadline =
                    Some(io.deadlines.set(client.used + ANSWER_TIME, TimerEvent::ClientTimeout(slot)));
            }
            // The rest of a body that nobody wants is on its way: guards against a reset that overtakes the answer.
            State::Lingering if client.upload.as_ref().is_some_and(|upload| !upload.stalled(io.now)) => {
                client.deadline = Some(io.deadlines.set(io.now + LINGER, TimerEvent::ClientTimeout(slot)));
            }
            State::Reading if !client.link.input.is_empty() => {
                io.counters.bad_input += 1;
                self.reply(slot, 408, true, io);
            }
            State::Reading => self.end(slot, io),
            State::Lingering => self.close(slot, CloseReason::Done, io),
            State::Answering { .. } | State::Streaming { .. } => {
                self.close(slot, CloseReason::AnswerNotTaken, io);
            }
        }
    }

    /// Accepts what the kernel has accepted, and no more after that; not even that where the next process does. Goes on
    /// listening where not all could be accepted: a listener that closes resets the connections in its queue.
    pub fn stop_listening(&mut self, succeeded: bool, io: &mut IoContext) {
        if !succeeded {
            self.accept(io);
        }
        if succeeded || self.acceptor.is_drained() {
            self.acceptor.close(io);
        }
    }

    pub fn listens(&self) -> bool {
        self.acceptor.listener().is_some()
    }

    /// Closes the connections on which nothing is owed. A request that is not whole yet is refused: what
    /// came to its end later could not be answered any more.
    pub fn let_go(&mut self, io: &mut IoContext) {
        let slots: Vec<_> = self.clients.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            // Guards against closing on a request that has come and was not read.
            self.event(slot, io);
            match self.clients.get(slot).filter(|client| client.state == State::Reading) {
                None => {}
                Some(client) if client.link.input.is_empty() => self.end(slot, io),
                Some(_) => self.reply(slot, 503, true, io),
            }
        }
    }
}

/// A time in seconds that someone may wait for: a number above 0 and below a day.
fn seconds(text: &str) -> Option<Span> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = text.parse().ok().filter(|_| plain)?;
    (number > 0.0 && number < 86_400.0).then(|| Span::from_ms(number * 1000.0))
}
