//! One non-blocking stream with what was read and not used, and what is to be written. Readiness is
//! edge-triggered, so it remembers when it stopped reading with more to come, and when a call failed that is to be
//! made again.

use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr};
use std::ops::Range;

use mio::event::Source;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use sparlug::time::{Span, Time};

use crate::io_failures::Cause;

const INTERRUPTIONS_MOST: u32 = 16; // in a row, after which others have their turn
const PIECE: usize = 16 * 1024; // read at once
pub const RETRY_PAUSE: Span = Span::from_millis(5); // before a call is made again that failed for want of something

thread_local! {
    /// Where a read puts its bytes first. Guards against a large buffer for each of many connections that stand
    /// idle, and against one that is made anew, all zeros, for each read.
    static SCRATCH: RefCell<[u8; PIECE]> = const { RefCell::new([0; PIECE]) };
}

pub struct BufferedStream<S = TcpStream> {
    /// `None` until a socket could be made.
    stream: Option<S>,
    /// The event queue has it.
    watched: bool,
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Something of what was queued last has been written.
    begun: bool,
    /// Reading stopped at its bound, not because there was nothing more.
    unread: bool,
    /// A call failed for want of memory: it is to be made again, and no event will tell when.
    stalled: bool,
    /// The call was a read.
    read_failed: bool,
    /// Small writes may wait, as the option against that could not be set.
    delays: bool,
    /// Whether it is up was looked at without success.
    looked: bool,
    /// When it is looked at again without an event.
    look_at: Option<Time>,
    pub ended: bool,
    /// It ended with an error.
    pub broken: bool,
}

impl<S: Read + Write + Source> BufferedStream<S> {
    /// A link on a stream, which is to be watched.
    pub fn new(stream: S) -> BufferedStream<S> {
        BufferedStream { stream: Some(stream), ..BufferedStream::unconnected() }
    }

    /// A link whose stream is still to be made.
    pub fn unconnected() -> BufferedStream<S> {
        let (input, output) = (Vec::new(), Vec::new());
        BufferedStream {
            stream: None,
            watched: false,
            input,
            output,
            written: 0,
            begun: false,
            unread: true,
            stalled: false,
            read_failed: false,
            delays: false,
            looked: false,
            look_at: None,
            ended: false,
            broken: false,
        }
    }

    /// Has the event queue tell what happens on it, unless it does so already.
    pub fn register(&mut self, registry: &Registry, token: Token) -> Result<()> {
        let Some(stream) = self.stream.as_mut().filter(|_| !self.watched) else { return Ok(()) };
        let watched = registry.register(stream, token, Interest::READABLE | Interest::WRITABLE);
        self.watched = watched.is_ok();
        if watched.is_err() {
            // In debug builds mio refuses to register anew what it has not been told to forget.
            let _ = registry.deregister(stream);
        }
        watched
    }

    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Whether a read failed that is to be made again.
    pub fn read_failed(&self) -> bool {
        self.read_failed
    }

    /// When it is to be looked at again without an event, if a call that failed asks for that and no earlier time is
    /// set. An error tells that the event queue did not take it.
    pub fn next_retry(&mut self, now: Time, registry: &Registry, token: Token) -> (Option<Time>, Result<()>) {
        let watched = self.register(registry, token);
        let wanted = std::mem::take(&mut self.stalled) || watched.is_err();
        if !wanted || self.look_at.is_some_and(|at| at > now) {
            return (None, watched);
        }
        self.look_at = Some(now + RETRY_PAUSE);
        (self.look_at, watched)
    }

    /// Reads what there is, until `most` bytes are waiting to be used.
    pub fn fill(&mut self, most: usize) -> Result<()> {
        SCRATCH.with_borrow_mut(|piece| self.fill_by(piece, most))
    }

    fn fill_by(&mut self, piece: &mut [u8; PIECE], most: usize) -> Result<()> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        (self.unread, self.read_failed) = (true, false);
        let mut interruptions = 0;
        while self.input.len() < most && !self.ended {
            let room = PIECE.min(most - self.input.len());
            match stream.read(&mut piece[..room]) {
                Ok(0) => self.ended = true,
                Ok(read) => {
                    self.input.reserve_exact(read);
                    self.input.extend_from_slice(&piece[..read]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted && interruptions < INTERRUPTIONS_MOST => {
                    interruptions += 1;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.unread = false;
                    return Ok(());
                }
                Err(e) if Cause::of(&e).is_retryable() => {
                    (self.unread, self.stalled, self.read_failed) = (false, true, true);
                    return Ok(());
                }
                Err(e) => {
                    (self.ended, self.broken) = (true, true);
                    return Err(e);
                }
            }
        }
        Ok(())
    }

    /// How much is still to be written.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether something of what was queued last has been written.
    pub fn has_begun_writing(&self) -> bool {
        self.begun
    }

    /// Whether reading should go on without a new event.
    pub fn has_unread(&self) -> bool {
        self.unread && !self.ended
    }

    /// Drops the first bytes of what was read.
    pub fn take_input(&mut self, bytes: usize) -> Vec<u8> {
        let rest = self.input.split_off(bytes);
        std::mem::replace(&mut self.input, rest)
    }

    pub fn queue(&mut self, bytes: &[u8]) {
        self.begun &= !self.output.is_empty();
        self.output.extend_from_slice(bytes);
    }

    /// Puts other bytes in the place of some that are to be written, unless writing has begun.
    pub fn replace_queued(&mut self, place: Range<usize>, bytes: &[u8]) {
        if !self.begun && place.end <= self.output.len() {
            self.output.splice(place, bytes.iter().copied());
        }
    }

    /// Writes what can be written now, and tells whether that was all.
    pub fn flush(&mut self) -> Result<bool> {
        let Some(stream) = &mut self.stream else { return Ok(self.output.is_empty()) };
        let mut interruptions = 0;
        while self.written < self.output.len() {
            match stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => (self.written, self.begun) = (self.written + n, true),
                Err(e) if e.kind() == ErrorKind::Interrupted && interruptions < INTERRUPTIONS_MOST => {
                    interruptions += 1;
                }
                Err(e) if Cause::of(&e).is_retryable() => {
                    self.stalled |= e.kind() != ErrorKind::WouldBlock;
                    // Guards against a stream whose other side is never quite done with keeping all it wrote.
                    if self.written >= PIECE {
                        self.output.drain(..self.written);
                        self.written = 0;
                    }
                    return Ok(false);
                }
                Err(e) => return Err(e),
            }
        }
        self.written = 0;
        self.output = Vec::new();
        Ok(true)
    }

    pub fn close(mut self, registry: &Registry) {
        if let Some(stream) = self.stream.as_mut().filter(|_| self.watched) {
            let _ = registry.deregister(stream);
        }
    }
}

impl BufferedStream {
    pub fn dial(to: SocketAddr, registry: &Registry, token: Token) -> Result<BufferedStream> {
        let mut link = BufferedStream::unconnected();
        link.connect(to)?;
        link.register(registry, token)?;
        Ok(link)
    }

    /// Makes a socket that connects to an address, in the place of an earlier one.
    pub fn connect(&mut self, to: SocketAddr) -> Result<()> {
        (self.stream, self.watched, self.looked) = (None, false, false);
        self.stream = Some(TcpStream::connect(to)?);
        Ok(())
    }

    /// Whether a dialled connection is up; an error if it failed. A look that fails itself is taken again.
    pub fn is_established(&mut self) -> Result<bool> {
        let Some(stream) = &self.stream else { return Ok(false) };
        match stream.take_error() {
            Ok(None) => {}
            Ok(Some(e)) => return Err(e),
            Err(_) => {
                self.stalled = true;
                return Ok(false);
            }
        }
        match stream.peer_addr() {
            Ok(_) => {
                self.set_nodelay();
                Ok(true)
            }
            Err(e) => {
                // A connection that is still being made has no peer, nor has one that was looked at before.
                self.stalled =
                    e.kind() != ErrorKind::NotConnected || std::mem::replace(&mut self.looked, true);
                Ok(false)
            }
        }
    }

    /// Has small writes go out at once.
    pub fn set_nodelay(&mut self) {
        self.delays = self.stream.as_ref().is_some_and(|stream| stream.set_nodelay(true).is_err());
    }

    /// The same where it failed before.
    pub fn retry_nodelay(&mut self) {
        if self.delays {
            self.set_nodelay();
        }
    }

    /// Ends the sending, so that the other side sees the end of what was written.
    pub fn shutdown_write(&mut self) {
        if let Some(stream) = &self.stream {
            let _: io::Result<()> = stream.shutdown(Shutdown::Write);
        }
    }
}
