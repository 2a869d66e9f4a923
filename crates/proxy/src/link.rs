//! One non-blocking stream with what was read and not used, and what is to be written. Readiness is
//! edge-triggered, so it remembers when it stopped reading with more to come.

use std::cell::RefCell;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr};
use std::ops::Range;

use mio::event::Source;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

const PIECE: usize = 16 * 1024; // read at once

thread_local! {
    /// Where a read puts its bytes first. Guards against a large buffer for each of many connections that stand
    /// idle, and against one that is made anew, all zeros, for each read.
    static SCRATCH: RefCell<[u8; PIECE]> = const { RefCell::new([0; PIECE]) };
}

pub struct Link<S = TcpStream> {
    stream: S,
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Reading stopped at its bound, not because there was nothing more.
    unread: bool,
    pub ended: bool,
    /// It ended with an error.
    pub broken: bool,
}

impl<S: Read + Write + Source> Link<S> {
    pub fn new(mut stream: S, registry: &Registry, token: Token) -> Result<Link<S>> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let (input, output) = (Vec::new(), Vec::new());
        Ok(Link { stream, input, output, written: 0, unread: true, ended: false, broken: false })
    }

    /// Reads what there is, until `most` bytes are waiting to be used.
    pub fn fill(&mut self, most: usize) -> Result<()> {
        SCRATCH.with_borrow_mut(|piece| self.fill_by(piece, most))
    }

    fn fill_by(&mut self, piece: &mut [u8; PIECE], most: usize) -> Result<()> {
        self.unread = true;
        while self.input.len() < most && !self.ended {
            let room = PIECE.min(most - self.input.len());
            match self.stream.read(&mut piece[..room]) {
                Ok(0) => self.ended = true,
                Ok(read) => {
                    self.input.reserve_exact(read);
                    self.input.extend_from_slice(&piece[..read]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.unread = false;
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
    pub fn pending(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether reading should go on without a new event.
    pub fn unread(&self) -> bool {
        self.unread && !self.ended
    }

    /// Drops the first bytes of what was read.
    pub fn used(&mut self, bytes: usize) -> Vec<u8> {
        let rest = self.input.split_off(bytes);
        std::mem::replace(&mut self.input, rest)
    }

    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Puts other bytes in the place of some that are to be written, unless writing has begun.
    pub fn rewrite(&mut self, place: Range<usize>, bytes: &[u8]) {
        if self.written == 0 && place.end <= self.output.len() {
            self.output.splice(place, bytes.iter().copied());
        }
    }

    /// Writes what can be written now, and tells whether that was all.
    pub fn flush(&mut self) -> Result<bool> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
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
        let _ = registry.deregister(&mut self.stream);
    }
}

impl Link {
    pub fn dial(to: SocketAddr, registry: &Registry, token: Token) -> Result<Link> {
        Link::new(TcpStream::connect(to)?, registry, token)
    }

    /// Whether a dialled connection is up; an error if it failed.
    pub fn up(&self) -> Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                let _ = self.stream.set_nodelay(true);
                Ok(true)
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    pub fn set_nodelay(&self) {
        let _ = self.stream.set_nodelay(true);
    }

    /// Ends the sending, so that the other side sees the end of what was written.
    pub fn end_sending(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
