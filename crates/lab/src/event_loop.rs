//! One loop over sockets and timers, on which a part of the world runs. A part is told what happened and acts
//! on its event_loop; it never waits.

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

use crate::clock::{At, Micros};
use crate::record::{Recorder, What};

const WAKER: Token = Token(0);
const PIECE: usize = 64 * 1024;
const BACKLOG: i32 = 1024;
const HEARD_AT_ONCE: usize = 256; // datagrams of one socket, before others have their turn
const IN_PROGRESS: i32 = 115; // EINPROGRESS

/// A connection of a event_loop; one that has ended is never named again by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ListenerId(usize);

/// A socket for datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SocketId(usize);

/// How the other side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It never came up.
    Refused,
    Reset,
    /// It ended its sending; what is queued may still be written.
    Closed,
}

pub trait Component {
    type Due;
    type Command;

    fn start(&mut self, event_loop: &mut EventLoop<Self::Due>) -> io::Result<()>;
    fn accepted(&mut self, _hub: &mut EventLoop<Self::Due>, _on: ListenerId, _conn: ConnId) {}
    fn up(&mut self, _hub: &mut EventLoop<Self::Due>, _conn: ConnId) {}
    /// Bytes came; they wait in the event_loop.
    fn read(&mut self, event_loop: &mut EventLoop<Self::Due>, conn: ConnId);
    /// All that was queued is written.
    fn written(&mut self, _hub: &mut EventLoop<Self::Due>, _conn: ConnId) {}
    /// The other side ended. Unless it was `Closed`, the connection is no more.
    fn gone(&mut self, event_loop: &mut EventLoop<Self::Due>, conn: ConnId, how: ConnectionEnd);
    /// A datagram came.
    fn heard(&mut self, _hub: &mut EventLoop<Self::Due>, _on: SocketId, _from: SocketAddr, _bytes: &[u8]) {}
    fn due(&mut self, event_loop: &mut EventLoop<Self::Due>, due: Self::Due);
    fn command(&mut self, event_loop: &mut EventLoop<Self::Due>, command: Self::Command);
    /// The run is over.
    fn stop(&mut self, _hub: &mut EventLoop<Self::Due>) {}
}

struct Conn {
    stream: TcpStream,
    id: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    at: usize,
    up: bool,
    paused: bool,
    ended: bool,
    on: Option<ListenerId>,
}

pub struct EventLoop<D> {
    poll: Poll,
    conns: Slab<Conn>,
    listeners: Slab<(TcpListener, bool)>,
    sockets: Slab<UdpSocket>,
    timers: BTreeMap<(At, u64), D>,
    count: u64,
    pub now: At,
    late: Histogram<u64>,
    again: Vec<ConnId>,
    /// Listeners that take connections again: what waits brings no event of its own.
    accept_again: Vec<ListenerId>,
    hear_again: Vec<SocketId>,
    pub recorder: Recorder,
    stopping: bool,
}

impl<D> EventLoop<D> {
    pub fn new(recorder: Recorder) -> io::Result<EventLoop<D>> {
        let late = Histogram::new_with_bounds(1, 60_000_000, 2).map_err(io::Error::other)?;
        Ok(EventLoop {
            poll: Poll::new()?,
            conns: Slab::new(),
            listeners: Slab::new(),
            sockets: Slab::new(),
            timers: BTreeMap::new(),
            count: 0,
            now: At::now(),
            late,
            again: Vec::new(),
            accept_again: Vec::new(),
            hear_again: Vec::new(),
            recorder,
            stopping: false,
        })
    }

    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKER)?))
    }

    pub fn record(&self, what: What) {
        self.recorder.write(At::now(), what);
    }

    pub fn listen(&mut self, address: SocketAddr) -> io::Result<ListenerId> {
        let mut listener = TcpListener::bind(address)?;
        socket2::SockRef::from(&listener).listen(BACKLOG)?;
        let entry = self.listeners.vacant_entry();
        let key = entry.key();
        self.poll.registry().register(&mut listener, Token(key * 3 + 1), Interest::READABLE)?;
        entry.insert((listener, true));
        Ok(ListenerId(key))
    }

    /// A socket for datagrams at this address.
    pub fn bind(&mut self, address: SocketAddr) -> io::Result<SocketId> {
        let mut socket = UdpSocket::bind(address)?;
        let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(4 << 20);
        let entry = self.sockets.vacant_entry();
        let key = entry.key();
        self.poll.registry().register(&mut socket, Token(key * 3 + 3), Interest::READABLE)?;
        entry.insert(socket);
        Ok(SocketId(key))
    }

    /// Sends one datagram; what can't be sent now is lost, as datagrams are.
    pub fn send(&mut self, on: SocketId, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.sockets.get(on.0) {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// New connections are refused from here on.
    pub fn unlisten(&mut self, id: ListenerId) {
        if self.listeners.contains(id.0) {
            let (mut listener, _) = self.listeners.remove(id.0);
            let _ = self.poll.registry().deregister(&mut listener);
        }
    }

    /// Whether connections that the kernel has accepted are taken.
    pub fn accepting(&mut self, id: ListenerId, accepting: bool) {
        if let Some((_, on)) = self.listeners.get_mut(id.0) {
            *on = accepting;
            self.accept_again.push(id);
        }
    }

    /// Connects from an address of one's own, so that the other side knows who it is.
    pub fn dial_from(&mut self, from: IpAddr, to: SocketAddr) -> io::Result<ConnId> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::new(from, 0).into())?;
        match socket.connect(&to.into()) {
            Err(e) if e.raw_os_error() != Some(IN_PROGRESS) && e.kind() != ErrorKind::WouldBlock => {
                return Err(e)
            }
            _ => {}
        }
        self.add(TcpStream::from_std(socket.into()), false, None)
    }

    /// The address of the other side.
    pub fn peer_of(&mut self, id: ConnId) -> Option<SocketAddr> {
        self.conn(id)?.stream.peer_addr().ok()
    }

    pub fn dial(&mut self, to: SocketAddr) -> io::Result<ConnId> {
        let stream = TcpStream::connect(to)?;
        self.add(stream, false, None)
    }

    fn add(&mut self, mut stream: TcpStream, up: bool, on: Option<ListenerId>) -> io::Result<ConnId> {
        self.count += 1;
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(key * 3 + 2), interest)?;
        let _ = stream.set_nodelay(true);
        let id = self.count << 20 | key as u64;
        let (input, output) = Default::default();
        entry.insert(Conn { stream, id, input, output, at: 0, up, paused: false, ended: false, on });
        Ok(ConnId(id))
    }

    fn conn(&mut self, id: ConnId) -> Option<&mut Conn> {
        let conn = self.conns.get_mut((id.0 & 0xf_ffff) as usize)?;
        Some(conn).filter(|conn| conn.id == id.0)
    }

    pub fn is_open(&mut self, id: ConnId) -> bool {
        self.conn(id).is_some()
    }

    /// The bytes that came and were not taken.
    pub fn input(&mut self, id: ConnId) -> &[u8] {
        self.conn(id).map(|conn| conn.input.as_slice()).unwrap_or_default()
    }

    pub fn take(&mut self, id: ConnId, bytes: usize) -> Vec<u8> {
        let Some(conn) = self.conn(id) else { return Vec::new() };
        let rest = conn.input.split_off(bytes.min(conn.input.len()));
        std::mem::replace(&mut conn.input, rest)
    }

    /// Bytes that still wait to be written.
    pub fn unwritten(&mut self, id: ConnId) -> usize {
        self.conn(id).map_or(0, |conn| conn.output.len() - conn.at)
    }

    /// Queues bytes; they go out in this turn of the loop or when there is room.
    pub fn write(&mut self, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = self.conn(id) {
            conn.output.extend_from_slice(bytes);
            let _ = flush(conn);
        }
    }

    /// Stops reading from a connection, or goes on.
    pub fn pause(&mut self, id: ConnId, paused: bool) {
        if let Some(conn) = self.conn(id) {
            let was = std::mem::replace(&mut conn.paused, paused);
            if was && !paused {
                self.again.push(id);
            }
        }
    }

    pub fn end_sending(&mut self, id: ConnId) {
        if let Some(conn) = self.conn(id) {
            let _ = conn.stream.shutdown(Shutdown::Write);
        }
    }

    pub fn close(&mut self, id: ConnId) {
        if self.conn(id).is_some() {
            let mut conn = self.conns.remove((id.0 & 0xf_ffff) as usize);
            let _ = flush(&mut conn);
            let _ = self.poll.registry().deregister(&mut conn.stream);
        }
    }

    /// Closes with a reset: what is unread or unwritten is thrown away.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(conn) = self.conn(id) {
            let _ = socket2::SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
            conn.output.clear();
            conn.at = 0;
            self.close(id);
        }
    }

    pub fn conns(&self) -> Vec<ConnId> {
        self.conns.iter().map(|(_, conn)| ConnId(conn.id)).collect()
    }

    /// The connections that came in by a listener.
    pub fn conns_of(&self, on: ListenerId) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, conn)| conn.on == Some(on)).map(|(_, conn)| ConnId(conn.id)).collect()
    }

    pub fn at(&mut self, when: At, due: D) {
        self.count += 1;
        self.timers.insert((when, self.count), due);
    }

    pub fn after(&mut self, span: Micros, due: D) {
        self.at(self.now + span, due);
    }

    /// Whether something is left from the last turn.
    fn waits(&self) -> bool {
        !(self.again.is_empty() && self.accept_again.is_empty() && self.hear_again.is_empty())
    }

    /// The 99th percentile of how late timers ran, and the most.
    pub fn lateness(&self) -> (Micros, Micros) {
        // Of few timers the highest one would pass for what is usual.
        let p99 = if self.late.len() >= 200 { self.late.value_at_quantile(0.99) } else { 0 };
        (Micros(p99 as i64), Micros(self.late.max() as i64))
    }

    pub fn halt(&mut self) {
        self.stopping = true;
    }
}

fn flush(conn: &mut Conn) -> io::Result<bool> {
    if !conn.up {
        return Ok(false);
    }
    while conn.at < conn.output.len() {
        match conn.stream.write(&conn.output[conn.at..]) {
            Ok(n) => conn.at += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(e) => return Err(e),
        }
    }
    conn.output.clear();
    conn.at = 0;
    Ok(true)
}

/// Runs a part until it halts or the other end of its commands is gone.
pub fn run<P: Component>(
    part: &mut P,
    event_loop: &mut EventLoop<P::Due>,
    commands: &Receiver<P::Command>,
    ready: impl FnOnce(),
) -> io::Result<()> {
    part.start(event_loop)?;
    ready();
    let mut events = Events::with_capacity(1024);
    while !event_loop.stopping {
        let wait = match event_loop.timers.first_key_value() {
            _ if event_loop.waits() => Some(Duration::ZERO),
            Some(((at, _), _)) => Some(at.since(At::now()).duration()),
            None => None,
        };
        match event_loop.poll.poll(&mut events, wait) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        event_loop.now = At::now();
        for event in events.iter() {
            match event.token().0 {
                0 => {}
                n if n % 3 == 1 => accept(part, event_loop, ListenerId(n / 3)),
                n if n % 3 == 0 => hear(part, event_loop, SocketId(n / 3 - 1)),
                n => {
                    if let Some(id) = event_loop.conns.get(n / 3).map(|conn| ConnId(conn.id)) {
                        serve(part, event_loop, id);
                    }
                }
            }
        }
        for id in std::mem::take(&mut event_loop.again) {
            serve(part, event_loop, id);
        }
        for id in std::mem::take(&mut event_loop.accept_again) {
            accept(part, event_loop, id);
        }
        for id in std::mem::take(&mut event_loop.hear_again) {
            hear(part, event_loop, id);
        }
        loop {
            match commands.try_recv() {
                Ok(command) => part.command(event_loop, command),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => {
                    event_loop.stopping = true;
                    break;
                }
            }
        }
        event_loop.now = At::now();
        // Only what was set before this turn: guards against a timer that sets itself again at once.
        let before = event_loop.count;
        while let Some(first) = event_loop.timers.first_entry() {
            let (at, number) = *first.key();
            if at > event_loop.now || number > before {
                break;
            }
            let due = first.remove();
            let _ = event_loop.late.record((event_loop.now.since(at).0 as u64).max(1));
            part.due(event_loop, due);
        }
    }
    event_loop.now = At::now();
    part.stop(event_loop);
    let (Micros(p99_us), Micros(max_us)) = event_loop.lateness();
    event_loop.record(What::Late { p99_us, max_us });
    Ok(())
}

fn accept<P: Component>(part: &mut P, event_loop: &mut EventLoop<P::Due>, id: ListenerId) {
    while let Some((listener, true)) = event_loop.listeners.get(id.0) {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(conn) = event_loop.add(stream, true, Some(id)) {
                    part.accepted(event_loop, id, conn);
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(_) => return,
        }
    }
}

fn hear<P: Component>(part: &mut P, event_loop: &mut EventLoop<P::Due>, id: SocketId) {
    let mut piece = [0; PIECE];
    for _ in 0..HEARD_AT_ONCE {
        let Some(socket) = event_loop.sockets.get(id.0) else { return };
        match socket.recv_from(&mut piece) {
            Ok((length, from)) => part.heard(event_loop, id, from, &piece[..length]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            // An earlier datagram found nobody: that is told here.
            Err(_) => {}
        }
    }
    event_loop.hear_again.push(id);
}

fn serve<P: Component>(part: &mut P, event_loop: &mut EventLoop<P::Due>, id: ConnId) {
    let Some(conn) = event_loop.conn(id) else { return };
    if !conn.up {
        let failed = conn.stream.take_error().ok().flatten().is_some();
        match conn.stream.peer_addr() {
            _ if failed => {
                event_loop.close(id);
                return part.gone(event_loop, id, ConnectionEnd::Refused);
            }
            Ok(_) => conn.up = true,
            Err(e) if e.kind() == ErrorKind::NotConnected => return,
            Err(_) => {
                event_loop.close(id);
                return part.gone(event_loop, id, ConnectionEnd::Refused);
            }
        }
        part.up(event_loop, id);
    }
    let Some(conn) = event_loop.conn(id) else { return };
    let had = conn.output.len() > conn.at;
    let flushed = flush(conn);
    let (mut got, mut failed, mut ended, mut more) = (false, flushed.is_err(), false, false);
    let mut piece = [0; PIECE];
    for round in 0.. {
        if conn.paused || conn.ended || failed {
            break;
        }
        // Guards against one busy connection holding up all others.
        if round == 16 {
            more = true;
            break;
        }
        match conn.stream.read(&mut piece) {
            Ok(0) => (conn.ended, ended) = (true, true),
            Ok(n) => {
                conn.input.extend_from_slice(&piece[..n]);
                got = true;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(_) => failed = true,
        }
    }
    if more {
        event_loop.again.push(id);
    }
    if had && matches!(flushed, Ok(true)) {
        part.written(event_loop, id);
    }
    if got {
        part.read(event_loop, id);
    }
    if failed {
        if event_loop.is_open(id) {
            event_loop.close(id);
            part.gone(event_loop, id, ConnectionEnd::Reset);
        }
    } else if ended && event_loop.is_open(id) {
        part.gone(event_loop, id, ConnectionEnd::Closed);
    }
}
