//! Hands over from a running process to the one that replaces it on an upgrade. The listening socket, the
//! disabled backends and the last list of backends go over a Unix socket. While both processes run, a backend
//! that is disabled in one is disabled in the other too. The messages are lines of JSON.

use std::fs;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use mio::net::{UnixListener, UnixStream};
use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use sparlug::time::Span;

use crate::acceptor::{Accepted, Acceptor, MAX_ACCEPTS_PER_TURN};
use crate::buffered_stream::BufferedStream;
use crate::control_messages::{encode_line, take_message, HandoverMessage, HandoverState, MAX_LINE_BYTES};
use crate::io_failures::Cause;
use crate::shared::{HandoverSlot, HandoverTag, IoContext, Owner, ProxyEvent, TimerEvent};
use crate::slots::Slots;
use crate::startup::retry_transient;

/// Sent first by the old process. The listening socket is attached to its first byte.
const GREETING: &[u8] = b"sparlug-handover 1\n";
/// Time for the whole takeover at startup.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Connections to other processes at a time.
const MAX_CONNECTIONS: usize = 4;
/// Immediate attempts to send the greeting.
const MAX_GREETING_ATTEMPTS: u32 = 16;
/// Pause before the socket for the next process is bound again after a failure.
const BIND_RETRY_PAUSE: Span = Span::from_millis(1_000);

/// What was received from the predecessor.
pub struct ReceivedHandover {
    /// Its listening socket, unless it had closed it already.
    pub listener: Option<TcpListener>,
    pub state: HandoverState,
    stream: StdUnixStream,
    /// Bytes that were read beyond the state.
    rest: Vec<u8>,
}

/// The path of the Unix socket on which the process that serves at an address waits for its successor.
pub fn socket_path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("sparlug-{listen}.sock"))
}

/// Takes over from a running process, if there is one. It takes one second at most, and the proxy can start
/// regardless of an error.
pub fn take_over(path: &Path, listen: SocketAddr) -> Result<Option<ReceivedHandover>, String> {
    let stream = match StdUnixStream::connect(path) {
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        result => result.map_err(|e| format!("cannot connect to the predecessor: {e}"))?,
    };
    is_same_user(&stream).then_some(()).ok_or("the predecessor belongs to another user")?;
    let start = Instant::now();
    let time_left =
        || Some(TAKEOVER_TIMEOUT.checked_sub(start.elapsed()).unwrap_or(Duration::from_millis(1)));
    let failed = |e: io::Error| format!("the predecessor handed nothing over: {e}");
    stream.set_read_timeout(time_left()).map_err(failed)?;
    let listener = receive_greeting(&stream).map_err(failed)?.map(TcpListener::from);
    let is_expected = |listener: &TcpListener| {
        let listens = rustix::net::sockopt::socket_acceptconn(listener).unwrap_or(false);
        listens && listener.local_addr().is_ok_and(|address| address == listen)
    };
    if listener.as_ref().is_some_and(|listener| !is_expected(listener)) {
        return Err(
            "the predecessor handed over a socket that does not listen on the configured address".to_string()
        );
    }
    let (mut rest, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    let state = loop {
        match take_message(&mut rest)? {
            Some(HandoverMessage::State(state)) => break state,
            Some(_) => return Err("the first message of the predecessor is not its state".to_string()),
            None => {}
        }
        stream.set_read_timeout(time_left()).map_err(failed)?;
        match retry_transient(|| (&stream).read(&mut chunk)).map_err(failed)? {
            0 => return Err("the predecessor closed the connection during the handover".to_string()),
            read => rest.extend_from_slice(&chunk[..read]),
        }
    };
    Ok(Some(ReceivedHandover { listener, state, stream, rest }))
}

/// Whether sending the greeting failed with an error that may not recur.
fn is_transient(sent: &Result<usize, Errno>) -> bool {
    sent.is_err_and(|errno| Cause::of(&errno.into()).is_retryable())
}

/// Whether the process at the other end runs as the same user.
fn is_same_user(stream: &impl AsFd) -> bool {
    let peer = rustix::net::sockopt::socket_peercred(stream);
    peer.is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Receives the greeting and the socket that is attached to it.
fn receive_greeting(stream: &StdUnixStream) -> io::Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let (mut bytes, mut read, mut socket) = ([0; GREETING.len()], 0, None);
    while read < bytes.len() {
        let remaining = &mut [IoSliceMut::new(&mut bytes[read..])];
        let received = retry_transient(|| {
            Ok(recvmsg(stream, remaining, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?.bytes)
        })?;
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                socket = sockets.into_iter().next().or(socket);
            }
        }
        if received == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        read += received;
    }
    if bytes != *GREETING {
        return Err(io::Error::new(ErrorKind::InvalidData, "unknown protocol version"));
    }
    Ok(socket)
}

/// The connection to another process of the same proxy.
struct Connection {
    stream: BufferedStream<UnixStream>,
    /// Whether the other process replaces this one, instead of the other way round.
    successor: bool,
}

/// The connections to the predecessor and the successors of this process.
pub struct Handover {
    socket_path: PathBuf,
    /// Whether to wait for a successor.
    enabled: bool,
    /// Waits for a successor, unless binding its socket failed.
    acceptor: Acceptor<UnixListener>,
    /// One more than the number of failures in a row to bind the socket.
    bind_failures: u32,
    connections: Slots<HandoverTag, Connection>,
}

impl Handover {
    /// `predecessor` is the connection to the process that this one took over from, with the bytes already
    /// read. It is kept even if no successor can be waited for.
    pub fn new(
        socket_path: PathBuf,
        enabled: bool,
        predecessor: Option<(StdUnixStream, Vec<u8>)>,
        io: &mut IoContext,
    ) -> Handover {
        let mut handover = Handover {
            socket_path,
            enabled,
            acceptor: Acceptor::new(None, Owner::Handover),
            bind_failures: 1,
            connections: Slots::default(),
        };
        if enabled {
            handover.wait_for_successor(io);
        }
        if let Some((stream, rest)) = predecessor {
            let _ = stream.set_nonblocking(true);
            let slot = handover.add(UnixStream::from_std(stream), false, io);
            if let Some(connection) = slot.and_then(|slot| handover.connections.get_mut(slot)) {
                connection.stream.input = rest;
            }
        }
        handover
    }

    /// Binds the socket on which a successor connects, replacing any socket that an earlier process left at
    /// the path.
    fn wait_for_successor(&mut self, io: &mut IoContext) {
        let is_socket =
            fs::symlink_metadata(&self.socket_path).is_ok_and(|metadata| metadata.file_type().is_socket());
        if is_socket {
            let _ = fs::remove_file(&self.socket_path);
        }
        let listen =
            || Acceptor::register(UnixListener::bind(&self.socket_path)?, Owner::Handover, &io.registry);
        match listen() {
            Ok(acceptor) => (self.acceptor, self.bind_failures) = (acceptor, 1),
            Err(e) => {
                if self.bind_failures.is_power_of_two() {
                    tracing::warn!(
                        path = %self.socket_path.display(),
                        error = %e,
                        "cannot wait for a successor; an upgrade now would hand nothing over"
                    );
                }
                self.bind_failures += 1;
                io.deadlines.set(io.now + BIND_RETRY_PAUSE, TimerEvent::Recheck(Owner::Handover));
            }
        }
    }

    /// Whether a predecessor or a successor is connected.
    pub fn is_overlapping(&self) -> bool {
        self.connections.count() > 0
    }

    /// Number of connections to other processes.
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }

    /// Whether a successor is connected.
    pub fn has_successor(&self) -> bool {
        self.connections.iter().any(|(_, connection)| connection.successor)
    }

    fn add(&mut self, stream: UnixStream, successor: bool, io: &mut IoContext) -> Option<HandoverSlot> {
        let slot = self
            .connections
            .insert_with(|_| Some(Connection { stream: BufferedStream::new(stream), successor }))?;
        if let Some(connection) = self.connections.get_mut(slot) {
            io.schedule_retry(&mut connection.stream, Owner::Peer(slot));
        }
        Some(slot)
    }

    /// Accepts successors and hands them the listening socket and the state.
    pub fn accept(
        &mut self,
        listener: Option<impl AsFd>,
        state: impl Fn() -> HandoverState,
        io: &mut IoContext,
    ) {
        if self.enabled && !self.has_successor() && self.acceptor.listener().is_none() {
            self.wait_for_successor(io);
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Accepted::Connection(stream) = self.acceptor.accept(io) else { return };
            if !is_same_user(&stream) || self.connections.count() >= MAX_CONNECTIONS {
                tracing::warn!("handover refused: another user's process, or too many connections");
                continue;
            }
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            let sockets = listener.as_ref().map(|listener| [listener.as_fd()]);
            if let Some(sockets) = &sockets {
                ancillary.push(SendAncillaryMessage::ScmRights(sockets));
            }
            // The buffer of a new socket takes the whole greeting at once.
            let mut send_greeting =
                || sendmsg(&stream, &[IoSlice::new(GREETING)], &mut ancillary, SendFlags::empty());
            let sent = (0..MAX_GREETING_ATTEMPTS).map(|_| send_greeting()).find(|sent| !is_transient(sent));
            match sent.unwrap_or(Err(Errno::INTR)) {
                Ok(sent) if sent == GREETING.len() => {}
                failed => {
                    tracing::warn!(?failed, "sending the handover greeting failed");
                    continue;
                }
            }
            if let Some(slot) = self.add(stream, true, io) {
                self.send(slot, &HandoverMessage::State(state()), io);
                tracing::info!(listener = sockets.is_some(), "handed over to the successor");
                io.events.push_back(ProxyEvent::HandoverPeerChanged);
            }
        }
        self.acceptor.continue_next_turn(io);
    }

    fn send(&mut self, slot: HandoverSlot, message: &HandoverMessage, io: &mut IoContext) {
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.stream.queue(&encode_line(message));
        }
        self.handle_event(slot, io);
    }

    /// Sends a message to all connected processes.
    pub fn broadcast(&mut self, message: &HandoverMessage, io: &mut IoContext) {
        let slots: Vec<_> = self.connections.iter().map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| self.send(slot, message, io));
    }

    pub fn handle_event(&mut self, slot: HandoverSlot, io: &mut IoContext) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let sent = connection.stream.flush();
        let read = connection.stream.fill(MAX_LINE_BYTES + 1);
        let why = loop {
            match take_message(&mut connection.stream.input) {
                Ok(Some(message)) => io.events.push_back(ProxyEvent::HandoverMessage(message)),
                Ok(None) => break sent.err().or(read.err()).map(|e| e.to_string()),
                Err(why) => break Some(why),
            }
        };
        if why.is_none() && !connection.stream.ended {
            io.schedule_retry(&mut connection.stream, Owner::Peer(slot));
            return;
        }
        let (successor, why) = (connection.successor, why.unwrap_or_else(|| "connection closed".to_string()));
        if let Some(connection) = self.connections.remove(slot) {
            connection.stream.close(&io.registry);
        }
        tracing::info!(successor, why, "the other process of the handover is gone");
        io.events.push_back(ProxyEvent::HandoverPeerChanged);
        // The successor had taken the socket's path to wait for its own successor. Guards against a later
        // process finding no process to take over from.
        if successor && !self.has_successor() && self.acceptor.listener().is_some() {
            self.wait_for_successor(io);
        }
    }

    /// Removes the socket's file, unless it belongs to the successor.
    pub fn remove_socket(&self) {
        if self.acceptor.listener().is_some() && !self.has_successor() {
            let _ = fs::remove_file(&self.socket_path);
        }
    }
}

impl ReceivedHandover {
    /// The listening socket, the state, and the connection to the predecessor with the bytes already read.
    pub fn into_parts(self) -> (Option<TcpListener>, HandoverState, (StdUnixStream, Vec<u8>)) {
        (self.listener, self.state, (self.stream, self.rest))
    }
}
