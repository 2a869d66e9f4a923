//! The way from one process to the one that takes its place: the listening socket, the bans by hand and the last list
//! go over a Unix socket, and while both live, a ban told to one binds the other. What is said are lines of JSON.

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

use crate::acceptor::{Accepted, Acceptor};
use crate::buffered_stream::BufferedStream;
use crate::control_messages::{encode_line, take_message, HandoverMessage, HandoverState, MAX_LINE_BYTES};
use crate::io_failures::Cause;
use crate::shared::{HandoverSlot, HandoverTag, IoContext, Owner, ProxyEvent, TimerEvent};
use crate::slots::Slots;
use crate::startup::retry_transient;

const GREETING: &[u8] = b"sparlug-handover 1\n"; // the socket that is handed over comes with its first byte
const PATIENCE: Duration = Duration::from_millis(1_000); // for all that is handed over
const PEERS_MOST: usize = 4;
const GREETINGS_MOST: u32 = 16; // tries of a greeting, one right after the other
const WAIT_PAUSE: Span = Span::from_millis(1_000); // before a socket that could not be made is tried again

/// What was taken over from the process that was there before.
pub struct ReceivedHandover {
    /// Its listening socket, unless it had none any more.
    pub listener: Option<TcpListener>,
    pub state: HandoverState,
    stream: StdUnixStream,
    rest: Vec<u8>,
}

/// Where the process that serves at an address waits for the next one.
pub fn socket_path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("sparlug-{listen}.sock"))
}

/// Takes over from the process that is there, if there is one. It waits for a second at the most, and an error
/// costs the start nothing.
pub fn take_over(path: &Path, listen: SocketAddr) -> Result<Option<ReceivedHandover>, String> {
    let stream = match StdUnixStream::connect(path) {
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        found => found.map_err(|e| format!("no way to the process before: {e}"))?,
    };
    own(&stream).then_some(()).ok_or("another user's process waits there")?;
    let start = Instant::now();
    let left = || Some(PATIENCE.checked_sub(start.elapsed()).unwrap_or(Duration::from_millis(1)));
    let fault = |e: io::Error| format!("the process before handed nothing over: {e}");
    stream.set_read_timeout(left()).map_err(fault)?;
    let listener = greeted(&stream).map_err(fault)?.map(TcpListener::from);
    let fits = |listener: &TcpListener| {
        let listens = rustix::net::sockopt::socket_acceptconn(listener).unwrap_or(false);
        listens && listener.local_addr().is_ok_and(|address| address == listen)
    };
    if listener.as_ref().is_some_and(|listener| !fits(listener)) {
        return Err("the process before handed over a socket that is not the listener's".to_string());
    }
    let (mut rest, mut piece) = (Vec::new(), [0; 16 * 1024]);
    let state = loop {
        match take_message(&mut rest)? {
            Some(HandoverMessage::State(state)) => break state,
            Some(_) => return Err("the process before did not begin with its state".to_string()),
            None => {}
        }
        stream.set_read_timeout(left()).map_err(fault)?;
        match retry_transient(|| (&stream).read(&mut piece)).map_err(fault)? {
            0 => return Err("the process before ended in the handover".to_string()),
            read => rest.extend_from_slice(&piece[..read]),
        }
    };
    Ok(Some(ReceivedHandover { listener, state, stream, rest }))
}

/// Whether a greeting failed in a way that may pass.
fn is_momentary(sent: &Result<usize, Errno>) -> bool {
    sent.is_err_and(|errno| Cause::of(&errno.into()).is_retryable())
}

/// Whether the process at the other end is of the same user.
fn own(stream: &impl AsFd) -> bool {
    let peer = rustix::net::sockopt::socket_peercred(stream);
    peer.is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Reads the greeting and the socket that comes with it.
fn greeted(stream: &StdUnixStream) -> io::Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let (mut bytes, mut read, mut found) = ([0; GREETING.len()], 0, None);
    while read < bytes.len() {
        let piece = &mut [IoSliceMut::new(&mut bytes[read..])];
        let got =
            retry_transient(|| Ok(recvmsg(stream, piece, &mut beside, RecvFlags::CMSG_CLOEXEC)?.bytes))?;
        for message in beside.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                found = sockets.into_iter().next().or(found);
            }
        }
        if got == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        read += got;
    }
    if bytes != *GREETING {
        return Err(io::Error::new(ErrorKind::InvalidData, "it speaks in another way"));
    }
    Ok(found)
}

struct Peer {
    link: BufferedStream<UnixStream>,
    /// It came after this process, to take its place.
    successor: bool,
}

/// The way to the processes that live beside this one, as the proxy before or after it.
pub struct Handover {
    path: PathBuf,
    /// The next process is to be waited for.
    wanted: bool,
    /// Waits for the next process, where that is to be had.
    acceptor: Acceptor<UnixListener>,
    /// One more than times in a row that this could not be had.
    wait_failures: u32,
    peers: Slots<HandoverTag, Peer>,
}

impl Handover {
    /// `before` is the process that was there; it is followed where no newer one can be waited for.
    pub fn new(
        path: PathBuf,
        wanted: bool,
        before: Option<(StdUnixStream, Vec<u8>)>,
        io: &mut IoContext,
    ) -> Handover {
        let mut handover = Handover {
            path,
            wanted,
            acceptor: Acceptor::new(None, Owner::Handover),
            wait_failures: 1,
            peers: Slots::default(),
        };
        if wanted {
            handover.wait(io);
        }
        if let Some((stream, rest)) = before {
            let _ = stream.set_nonblocking(true);
            let slot = handover.add(UnixStream::from_std(stream), false, io);
            if let Some(peer) = slot.and_then(|slot| handover.peers.get_mut(slot)) {
                peer.link.input = rest;
            }
        }
        handover
    }

    /// Waits for the next process, in the place of whoever waited there before.
    fn wait(&mut self, io: &mut IoContext) {
        let socket = fs::symlink_metadata(&self.path).is_ok_and(|found| found.file_type().is_socket());
        if socket {
            let _ = fs::remove_file(&self.path);
        }
        let listen = || Acceptor::register(UnixListener::bind(&self.path)?, Owner::Handover, &io.registry);
        match listen() {
            Ok(acceptor) => (self.acceptor, self.wait_failures) = (acceptor, 1),
            Err(e) => {
                if self.wait_failures.is_power_of_two() {
                    tracing::warn!(path = %self.path.display(), error = %e, "upgrades will hand nothing over for now");
                }
                self.wait_failures += 1;
                io.deadlines.set(io.now + WAIT_PAUSE, TimerEvent::Recheck(Owner::Handover));
            }
        }
    }

    /// Whether another process serves in this one's place, or in whose place this one does.
    pub fn is_overlapping(&self) -> bool {
        self.peers.count() > 0
    }

    /// Whether a process came to take this one's place.
    pub fn has_successor(&self) -> bool {
        self.peers.iter().any(|(_, peer)| peer.successor)
    }

    fn add(&mut self, stream: UnixStream, successor: bool, io: &mut IoContext) -> Option<HandoverSlot> {
        let slot = self.peers.insert_with(|_| Some(Peer { link: BufferedStream::new(stream), successor }))?;
        if let Some(peer) = self.peers.get_mut(slot) {
            io.schedule_retry(&mut peer.link, Owner::Peer(slot));
        }
        Some(slot)
    }

    /// Hands the state and the listening socket to those that have come.
    pub fn accept(
        &mut self,
        listener: Option<impl AsFd>,
        state: impl Fn() -> HandoverState,
        io: &mut IoContext,
    ) {
        if self.wanted && !self.has_successor() && self.acceptor.listener().is_none() {
            self.wait(io);
        }
        while let Accepted::Connection(stream) = self.acceptor.accept(io) {
            if !own(&stream) || self.peers.count() >= PEERS_MOST {
                tracing::warn!("another user's process, or one too many, came for the handover");
                continue;
            }
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut beside = SendAncillaryBuffer::new(&mut space);
            let sockets = listener.as_ref().map(|listener| [listener.as_fd()]);
            if let Some(sockets) = &sockets {
                beside.push(SendAncillaryMessage::ScmRights(sockets));
            }
            // A new socket has room for the greeting, which so goes out whole.
            let mut greet = || sendmsg(&stream, &[IoSlice::new(GREETING)], &mut beside, SendFlags::empty());
            let greeted = (0..GREETINGS_MOST).map(|_| greet()).find(|sent| !is_momentary(sent));
            match greeted.unwrap_or(Err(Errno::INTR)) {
                Ok(sent) if sent == GREETING.len() => {}
                failed => {
                    tracing::warn!(?failed, "nothing handed over");
                    continue;
                }
            }
            if let Some(slot) = self.add(stream, true, io) {
                self.say(slot, &HandoverMessage::State(state()), io);
                tracing::info!(listener = sockets.is_some(), "handed over to the next process");
                io.events.push_back(ProxyEvent::HandoverPeerChanged);
            }
        }
    }

    fn say(&mut self, slot: HandoverSlot, word: &HandoverMessage, io: &mut IoContext) {
        if let Some(peer) = self.peers.get_mut(slot) {
            peer.link.queue(&encode_line(word));
        }
        self.handle_event(slot, io);
    }

    /// Tells all others.
    pub fn broadcast(&mut self, word: &HandoverMessage, io: &mut IoContext) {
        let all: Vec<_> = self.peers.iter().map(|(slot, _)| slot).collect();
        all.into_iter().for_each(|slot| self.say(slot, word, io));
    }

    pub fn handle_event(&mut self, slot: HandoverSlot, io: &mut IoContext) {
        let Some(peer) = self.peers.get_mut(slot) else { return };
        let sent = peer.link.flush();
        let read = peer.link.fill(MAX_LINE_BYTES + 1);
        let why = loop {
            match take_message(&mut peer.link.input) {
                Ok(Some(word)) => io.events.push_back(ProxyEvent::HandoverMessage(word)),
                Ok(None) => break sent.err().or(read.err()).map(|e| e.to_string()),
                Err(why) => break Some(why),
            }
        };
        if why.is_none() && !peer.link.ended {
            io.schedule_retry(&mut peer.link, Owner::Peer(slot));
            return;
        }
        let (successor, why) = (peer.successor, why.unwrap_or_else(|| "it ended".to_string()));
        if let Some(peer) = self.peers.remove(slot) {
            peer.link.close(&io.registry);
        }
        tracing::info!(successor, why, "the process beside this one is gone");
        io.events.push_back(ProxyEvent::HandoverPeerChanged);
        // The one that was to come waited in this one's place: guards against the next one finding nobody.
        if successor && !self.has_successor() && self.acceptor.listener().is_some() {
            self.wait(io);
        }
    }

    /// Leaves no file behind, unless it is the next process's.
    pub fn remove_socket(&self) {
        if self.acceptor.listener().is_some() && !self.has_successor() {
            let _ = fs::remove_file(&self.path);
        }
    }
}

impl ReceivedHandover {
    /// The way to the process before, and what it has said already.
    pub fn into_parts(self) -> (Option<TcpListener>, HandoverState, (StdUnixStream, Vec<u8>)) {
        (self.listener, self.state, (self.stream, self.rest))
    }
}
