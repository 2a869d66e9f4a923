//! A single-threaded event loop over sockets and timers that runs one component of a scenario. The loop calls
//! the component's handlers, which act through the loop and never block.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;
use socket2::{Domain, Socket, Type};

use crate::clock::{Micros, Timestamp};
use crate::record::{RecordKind, Recorder};

const WAKER: Token = Token(0);
const READ_BUFFER_BYTES: usize = 64 * 1024;
const LISTEN_BACKLOG: i32 = 1024;
const MAX_DATAGRAMS_PER_TURN: usize = 256; // from one socket, before other sockets get their turn
const EINPROGRESS: i32 = 115; // EINPROGRESS on Linux

/// A connection of an event loop; the id of a closed connection is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ListenerId(usize);

/// A UDP socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SocketId(usize);

/// How the other side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection could not be established.
    Refused,
    Reset,
    /// The other side sent its end of stream; queued output can still be written.
    Closed,
}

/// What the event loop runs: handlers for its connections, datagrams, timers and commands.
pub trait Component {
    type TimerEvent;
    type Command;

    fn start(&mut self, event_loop: &mut EventLoop<Self::TimerEvent>) -> io::Result<()>;
    fn on_accept(
        &mut self,
        _event_loop: &mut EventLoop<Self::TimerEvent>,
        _listener: ListenerId,
        _conn: ConnId,
    ) {
    }
    fn on_connect(&mut self, _event_loop: &mut EventLoop<Self::TimerEvent>, _conn: ConnId) {}
    /// Bytes have arrived; they stay in the event loop's input buffer until consumed.
    fn on_data(&mut self, event_loop: &mut EventLoop<Self::TimerEvent>, conn: ConnId);
    /// All queued output has been written.
    fn on_written(&mut self, _event_loop: &mut EventLoop<Self::TimerEvent>, _conn: ConnId) {}
    /// The other side ended the connection. Unless `how` is `Closed`, the connection is already closed here.
    fn on_close(&mut self, event_loop: &mut EventLoop<Self::TimerEvent>, conn: ConnId, how: ConnectionEnd);
    fn on_datagram(
        &mut self,
        _event_loop: &mut EventLoop<Self::TimerEvent>,
        _socket: SocketId,
        _from: SocketAddr,
        _bytes: &[u8],
    ) {
    }
    fn on_timer(&mut self, event_loop: &mut EventLoop<Self::TimerEvent>, event: Self::TimerEvent);
    fn on_command(&mut self, event_loop: &mut EventLoop<Self::TimerEvent>, command: Self::Command);
    /// Called once when the loop ends, to write the last records.
    fn stop(&mut self, _event_loop: &mut EventLoop<Self::TimerEvent>) {}
}

/// A TCP connection with its buffers.
struct Conn {
    stream: TcpStream,
    id: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    /// How many bytes of `output` are written.
    written: usize,
    connected: bool,
    paused: bool,
    read_closed: bool,
    /// The listener that accepted it.
    listener: Option<ListenerId>,
}

/// Sockets, timers and records of one component.
pub struct EventLoop<D> {
    poll: Poll,
    connections: Slab<Conn>,
    listeners: Slab<(TcpListener, bool)>,
    sockets: Slab<UdpSocket>,
    timers: BTreeMap<(Timestamp, u64), D>,
    last_id: u64,
    pub now: Timestamp,
    lateness: Histogram<u64>,
    deferred_reads: Vec<ConnId>,
    /// Listeners that accept again: connections already in the backlog raise no new event.
    deferred_accepts: Vec<ListenerId>,
    deferred_datagrams: Vec<SocketId>,
    pub recorder: Recorder,
    stop_requested: bool,
}

impl<D> EventLoop<D> {
    pub fn new(recorder: Recorder) -> io::Result<EventLoop<D>> {
        let lateness = Histogram::new_with_bounds(1, 60_000_000, 2).map_err(io::Error::other)?;
        Ok(EventLoop {
            poll: Poll::new()?,
            connections: Slab::new(),
            listeners: Slab::new(),
            sockets: Slab::new(),
            timers: BTreeMap::new(),
            last_id: 0,
            now: Timestamp::now(),
            lateness,
            deferred_reads: Vec::new(),
            deferred_accepts: Vec::new(),
            deferred_datagrams: Vec::new(),
            recorder,
            stop_requested: false,
        })
    }

    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKER)?))
    }

    pub fn record(&self, what: RecordKind) {
        self.recorder.write(Timestamp::now(), what);
    }

    pub fn listen(&mut self, address: SocketAddr) -> io::Result<ListenerId> {
        let mut listener = TcpListener::bind(address)?;
        socket2::SockRef::from(&listener).listen(LISTEN_BACKLOG)?;
        let entry = self.listeners.vacant_entry();
        let key = entry.key();
        self.poll.registry().register(&mut listener, Token(key * 3 + 1), Interest::READABLE)?;
        entry.insert((listener, true));
        Ok(ListenerId(key))
    }

    /// Opens a UDP socket at this address.
    pub fn bind_udp(&mut self, address: SocketAddr) -> io::Result<SocketId> {
        let mut socket = UdpSocket::bind(address)?;
        let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(4 << 20);
        let entry = self.sockets.vacant_entry();
        let key = entry.key();
        self.poll.registry().register(&mut socket, Token(key * 3 + 3), Interest::READABLE)?;
        entry.insert(socket);
        Ok(SocketId(key))
    }

    /// Sends one datagram; it is dropped if the socket can't send it now.
    pub fn send_datagram(&mut self, socket: SocketId, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.sockets.get(socket.0) {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Closes the listener: new connections are refused from now on.
    pub fn close_listener(&mut self, id: ListenerId) {
        if self.listeners.contains(id.0) {
            let (mut listener, _) = self.listeners.remove(id.0);
            let _ = self.poll.registry().deregister(&mut listener);
        }
    }

    /// Sets whether connections are accepted; those that are not stay in the kernel's backlog.
    pub fn set_accepting(&mut self, id: ListenerId, accepting: bool) {
        if let Some((_, accepts)) = self.listeners.get_mut(id.0) {
            *accepts = accepting;
            self.deferred_accepts.push(id);
        }
    }

    /// Connects from the given source address, by which the other side identifies the sender.
    pub fn connect_from(&mut self, from: IpAddr, to: SocketAddr) -> io::Result<ConnId> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::new(from, 0).into())?;
        match socket.connect(&to.into()) {
            Err(e) if e.raw_os_error() != Some(EINPROGRESS) && e.kind() != ErrorKind::WouldBlock => {
                return Err(e)
            }
            _ => {}
        }
        self.add(TcpStream::from_std(socket.into()), false, None)
    }

    pub fn peer_address(&mut self, id: ConnId) -> Option<SocketAddr> {
        self.conn(id)?.stream.peer_addr().ok()
    }

    pub fn connect(&mut self, to: SocketAddr) -> io::Result<ConnId> {
        let stream = TcpStream::connect(to)?;
        self.add(stream, false, None)
    }

    fn add(
        &mut self,
        mut stream: TcpStream,
        connected: bool,
        listener: Option<ListenerId>,
    ) -> io::Result<ConnId> {
        self.last_id += 1;
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(key * 3 + 2), interest)?;
        let _ = stream.set_nodelay(true);
        let id = self.last_id << 20 | key as u64;
        let (input, output) = Default::default();
        entry.insert(Conn {
            stream,
            id,
            input,
            output,
            written: 0,
            connected,
            paused: false,
            read_closed: false,
            listener,
        });
        Ok(ConnId(id))
    }

    fn conn(&mut self, id: ConnId) -> Option<&mut Conn> {
        let conn = self.connections.get_mut((id.0 & 0xf_ffff) as usize)?;
        Some(conn).filter(|conn| conn.id == id.0)
    }

    pub fn is_open(&mut self, id: ConnId) -> bool {
        self.conn(id).is_some()
    }

    /// The received bytes that have not been consumed.
    pub fn input(&mut self, id: ConnId) -> &[u8] {
        self.conn(id).map(|conn| conn.input.as_slice()).unwrap_or_default()
    }

    pub fn consume(&mut self, id: ConnId, bytes: usize) -> Vec<u8> {
        let Some(conn) = self.conn(id) else { return Vec::new() };
        let rest = conn.input.split_off(bytes.min(conn.input.len()));
        std::mem::replace(&mut conn.input, rest)
    }

    pub fn unwritten_bytes(&mut self, id: ConnId) -> usize {
        self.conn(id).map_or(0, |conn| conn.output.len() - conn.written)
    }

    /// Queues bytes and writes as many as the socket takes; the rest is written once it is writable.
    pub fn write(&mut self, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = self.conn(id) {
            conn.output.extend_from_slice(bytes);
            let _ = flush(conn);
        }
    }

    /// Stops or resumes reading from a connection.
    pub fn set_paused(&mut self, id: ConnId, paused: bool) {
        if let Some(conn) = self.conn(id) {
            let was_paused = std::mem::replace(&mut conn.paused, paused);
            if was_paused && !paused {
                self.deferred_reads.push(id);
            }
        }
    }

    pub fn shutdown_write(&mut self, id: ConnId) {
        if let Some(conn) = self.conn(id) {
            let _ = conn.stream.shutdown(Shutdown::Write);
        }
    }

    pub fn close(&mut self, id: ConnId) {
        if self.conn(id).is_some() {
            let mut conn = self.connections.remove((id.0 & 0xf_ffff) as usize);
            let _ = flush(&mut conn);
            let _ = self.poll.registry().deregister(&mut conn.stream);
        }
    }

    /// Closes with a TCP reset, discarding unread input and unwritten output.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(conn) = self.conn(id) {
            let _ = socket2::SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
            conn.output.clear();
            conn.written = 0;
            self.close(id);
        }
    }

    pub fn connections(&self) -> Vec<ConnId> {
        self.connections.iter().map(|(_, conn)| ConnId(conn.id)).collect()
    }

    /// The connections that a listener accepted.
    pub fn connections_of(&self, listener: ListenerId) -> Vec<ConnId> {
        self.connections
            .iter()
            .filter(|(_, conn)| conn.listener == Some(listener))
            .map(|(_, conn)| ConnId(conn.id))
            .collect()
    }

    pub fn schedule_at(&mut self, when: Timestamp, event: D) {
        self.last_id += 1;
        self.timers.insert((when, self.last_id), event);
    }

    pub fn schedule_after(&mut self, span: Micros, event: D) {
        self.schedule_at(self.now + span, event);
    }

    /// Whether work is left from the last turn of the loop.
    fn has_deferred_events(&self) -> bool {
        !(self.deferred_reads.is_empty()
            && self.deferred_accepts.is_empty()
            && self.deferred_datagrams.is_empty())
    }

    /// The 99th percentile and the maximum of how late timers ran.
    pub fn timer_lateness(&self) -> (Micros, Micros) {
        // With few samples the 99th percentile is just the maximum, which is not typical.
        let p99 = if self.lateness.len() >= 200 { self.lateness.value_at_quantile(0.99) } else { 0 };
        (Micros(p99 as i64), Micros(self.lateness.max() as i64))
    }

    pub fn request_stop(&mut self) {
        self.stop_requested = true;
    }
}

/// Writes queued output; `Ok(true)` once all of it is written.
fn flush(conn: &mut Conn) -> io::Result<bool> {
    if !conn.connected {
        return Ok(false);
    }
    while conn.written < conn.output.len() {
        match conn.stream.write(&conn.output[conn.written..]) {
            Ok(n) => conn.written += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(e) => return Err(e),
        }
    }
    conn.output.clear();
    conn.written = 0;
    Ok(true)
}

/// Runs a component until it requests the stop or the sender of its commands is gone.
pub fn run<C: Component>(
    component: &mut C,
    event_loop: &mut EventLoop<C::TimerEvent>,
    commands: &Receiver<C::Command>,
    ready: impl FnOnce(),
) -> io::Result<()> {
    component.start(event_loop)?;
    ready();
    let mut events = Events::with_capacity(1024);
    while !event_loop.stop_requested {
        let timeout = match event_loop.timers.first_key_value() {
            _ if event_loop.has_deferred_events() => Some(Duration::ZERO),
            Some(((at, _), _)) => Some(at.since(Timestamp::now()).duration()),
            None => None,
        };
        match event_loop.poll.poll(&mut events, timeout) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        event_loop.now = Timestamp::now();
        for event in events.iter() {
            match event.token().0 {
                0 => {}
                n if n % 3 == 1 => accept_connections(component, event_loop, ListenerId(n / 3)),
                n if n % 3 == 0 => receive_datagrams(component, event_loop, SocketId(n / 3 - 1)),
                n => {
                    if let Some(id) = event_loop.connections.get(n / 3).map(|conn| ConnId(conn.id)) {
                        handle_connection(component, event_loop, id);
                    }
                }
            }
        }
        for id in std::mem::take(&mut event_loop.deferred_reads) {
            handle_connection(component, event_loop, id);
        }
        for id in std::mem::take(&mut event_loop.deferred_accepts) {
            accept_connections(component, event_loop, id);
        }
        for id in std::mem::take(&mut event_loop.deferred_datagrams) {
            receive_datagrams(component, event_loop, id);
        }
        loop {
            match commands.try_recv() {
                Ok(command) => component.on_command(event_loop, command),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => {
                    event_loop.stop_requested = true;
                    break;
                }
            }
        }
        event_loop.now = Timestamp::now();
        // Runs only timers set before this point: a timer that sets itself again with no delay would
        // otherwise keep the loop here forever.
        let last_id_before = event_loop.last_id;
        while let Some(first) = event_loop.timers.first_entry() {
            let (at, number) = *first.key();
            if at > event_loop.now || number > last_id_before {
                break;
            }
            let event = first.remove();
            let _ = event_loop.lateness.record((event_loop.now.since(at).0 as u64).max(1));
            component.on_timer(event_loop, event);
        }
    }
    event_loop.now = Timestamp::now();
    component.stop(event_loop);
    let (Micros(p99_us), Micros(max_us)) = event_loop.timer_lateness();
    event_loop.record(RecordKind::TimerLateness { p99_us, max_us });
    Ok(())
}

fn accept_connections<C: Component>(
    component: &mut C,
    event_loop: &mut EventLoop<C::TimerEvent>,
    id: ListenerId,
) {
    while let Some((listener, true)) = event_loop.listeners.get(id.0) {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(conn) = event_loop.add(stream, true, Some(id)) {
                    component.on_accept(event_loop, id, conn);
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(_) => return,
        }
    }
}

fn receive_datagrams<C: Component>(
    component: &mut C,
    event_loop: &mut EventLoop<C::TimerEvent>,
    id: SocketId,
) {
    let mut buffer = [0; READ_BUFFER_BYTES];
    for _ in 0..MAX_DATAGRAMS_PER_TURN {
        let Some(socket) = event_loop.sockets.get(id.0) else { return };
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => component.on_datagram(event_loop, id, from, &buffer[..length]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            // The socket reports here that an earlier datagram reached no listener (ICMP port unreachable).
            Err(_) => {}
        }
    }
    event_loop.deferred_datagrams.push(id);
}

fn handle_connection<C: Component>(component: &mut C, event_loop: &mut EventLoop<C::TimerEvent>, id: ConnId) {
    let Some(conn) = event_loop.conn(id) else { return };
    if !conn.connected {
        let failed = conn.stream.take_error().ok().flatten().is_some();
        match conn.stream.peer_addr() {
            _ if failed => {
                event_loop.close(id);
                return component.on_close(event_loop, id, ConnectionEnd::Refused);
            }
            Ok(_) => conn.connected = true,
            Err(e) if e.kind() == ErrorKind::NotConnected => return,
            Err(_) => {
                event_loop.close(id);
                return component.on_close(event_loop, id, ConnectionEnd::Refused);
            }
        }
        component.on_connect(event_loop, id);
    }
    let Some(conn) = event_loop.conn(id) else { return };
    let had_output = conn.output.len() > conn.written;
    let flushed = flush(conn);
    let (mut received, mut failed, mut eof, mut more_to_read) = (false, flushed.is_err(), false, false);
    let mut buffer = [0; READ_BUFFER_BYTES];
    for round in 0.. {
        if conn.paused || conn.read_closed || failed {
            break;
        }
        // Bounds the reads per turn, so that one busy connection does not starve the others.
        if round == 16 {
            more_to_read = true;
            break;
        }
        match conn.stream.read(&mut buffer) {
            Ok(0) => (conn.read_closed, eof) = (true, true),
            Ok(n) => {
                conn.input.extend_from_slice(&buffer[..n]);
                received = true;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(_) => failed = true,
        }
    }
    if more_to_read {
        event_loop.deferred_reads.push(id);
    }
    if had_output && matches!(flushed, Ok(true)) {
        component.on_written(event_loop, id);
    }
    if received {
        component.on_data(event_loop, id);
    }
    if failed {
        if event_loop.is_open(id) {
            event_loop.close(id);
            component.on_close(event_loop, id, ConnectionEnd::Reset);
        }
    } else if eof && event_loop.is_open(id) {
        component.on_close(event_loop, id, ConnectionEnd::Closed);
    }
}
