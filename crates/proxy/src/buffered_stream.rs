//! A non-blocking stream with its input and output buffers. Readiness is edge-triggered, so the stream
//! remembers when it stopped reading although more may be available, and when a failed call has to be
//! repeated.

use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Result, Write};
use std::iter::Sum;
use std::net::{Shutdown, SocketAddr};
use std::ops::Range;
use std::time::Duration;

use mio::event::Source;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use sparlug::time::{Span, Time};

use crate::io_failures::Cause;
use crate::send_queue;

const MAX_INTERRUPTED_CALLS: u32 = 16; // in a row, before other sockets are handled
const CHUNK_BYTES: usize = 16 * 1024; // read per call; also the least number of written bytes to free early
const BLOCK_BYTES: usize = 4 * 1024;
pub const RETRY_PAUSE: Span = Span::from_millis(5); // before repeating a call that lacked a resource

thread_local! {
    /// Buffer that each read fills first. It is shared because many idle connections would otherwise hold a
    /// large buffer each, or each read would have to allocate and zero one.
    static READ_BUFFER: RefCell<[u8; CHUNK_BYTES]> = const { RefCell::new([0; CHUNK_BYTES]) };
}

/// Bytes of memory that the buffers of one or more streams occupy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferSizes {
    pub input: usize,
    pub output: usize,
}

impl Sum for BufferSizes {
    fn sum<I: Iterator<Item = BufferSizes>>(sizes: I) -> BufferSizes {
        sizes.fold(BufferSizes::default(), |sum, size| BufferSizes {
            input: sum.input + size.input,
            output: sum.output + size.output,
        })
    }
}

/// Makes room for `additional` bytes. Large buffers grow by whole blocks: buffers of ever new sizes would leave gaps in
/// the heap that nothing fits into.
pub fn reserve_blocks(buffer: &mut Vec<u8>, additional: usize) {
    let needed = buffer.len() + additional;
    let capacity =
        if needed > BLOCK_BYTES { needed.next_multiple_of(BLOCK_BYTES) } else { needed.next_power_of_two() };
    buffer.reserve_exact(capacity - buffer.len());
}

/// A stream with the bytes that were read and not used yet, and those that are still to be written.
pub struct BufferedStream<S = TcpStream> {
    /// `None` until a socket has been created.
    stream: Option<S>,
    /// The stream is registered with the event queue.
    registered: bool,
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// A part of the message queued last has been written.
    begun_writing: bool,
    /// Reading stopped at a limit and not because nothing more was available.
    more_to_read: bool,
    /// A call failed for a reason that may pass and has to be repeated; no event will tell when.
    retry_needed: bool,
    /// The failed call was a read.
    read_failed: bool,
    /// `TCP_NODELAY` could not be set, so small writes may be delayed.
    nodelay_failed: bool,
    /// A check whether the connection is established has found that it is not yet.
    found_unconnected: bool,
    /// When the stream is handled again without an event.
    retry_at: Option<Time>,
    /// The other side has closed its direction, or the stream has failed.
    pub ended: bool,
    /// The stream ended with an error.
    pub broken: bool,
}

impl<S: Read + Write + Source> BufferedStream<S> {
    /// Wraps a connected stream, which still has to be registered.
    pub fn new(stream: S) -> BufferedStream<S> {
        BufferedStream { stream: Some(stream), ..BufferedStream::unconnected() }
    }

    /// A stream whose socket is still to be created.
    pub fn unconnected() -> BufferedStream<S> {
        let (input, output) = (Vec::new(), Vec::new());
        BufferedStream {
            stream: None,
            registered: false,
            input,
            output,
            written: 0,
            begun_writing: false,
            more_to_read: true,
            retry_needed: false,
            read_failed: false,
            nodelay_failed: false,
            found_unconnected: false,
            retry_at: None,
            ended: false,
            broken: false,
        }
    }

    /// Registers the stream with the event queue unless that is done.
    pub fn register(&mut self, registry: &Registry, token: Token) -> Result<()> {
        let Some(stream) = self.stream.as_mut().filter(|_| !self.registered) else { return Ok(()) };
        let registered = registry.register(stream, token, Interest::READABLE | Interest::WRITABLE);
        self.registered = registered.is_ok();
        if registered.is_err() {
            // In debug builds mio refuses a second registration of a source that was not deregistered.
            let _ = registry.deregister(stream);
        }
        registered
    }

    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Whether a read failed that has to be repeated.
    pub fn read_failed(&self) -> bool {
        self.read_failed
    }

    /// Registers the stream if needed, and returns when it has to be handled again without an event, if a
    /// failed call asks for that and no earlier retry is scheduled. The error is that of the registration.
    pub fn next_retry(&mut self, now: Time, registry: &Registry, token: Token) -> (Option<Time>, Result<()>) {
        let registered = self.register(registry, token);
        let retry_needed = std::mem::take(&mut self.retry_needed) || registered.is_err();
        if !retry_needed || self.retry_at.is_some_and(|at| at > now) {
            return (None, registered);
        }
        self.retry_at = Some(now + RETRY_PAUSE);
        (self.retry_at, registered)
    }

    /// Reads what is available, until `max_bytes` bytes are buffered.
    pub fn fill(&mut self, max_bytes: usize) -> Result<()> {
        READ_BUFFER.with_borrow_mut(|buffer| self.fill_with(buffer, max_bytes))
    }

    fn fill_with(&mut self, buffer: &mut [u8; CHUNK_BYTES], max_bytes: usize) -> Result<()> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        (self.more_to_read, self.read_failed) = (true, false);
        let mut interrupted_calls = 0;
        while self.input.len() < max_bytes && !self.ended {
            let length = CHUNK_BYTES.min(max_bytes - self.input.len());
            match stream.read(&mut buffer[..length]) {
                Ok(0) => self.ended = true,
                Ok(read) => {
                    reserve_blocks(&mut self.input, read);
                    self.input.extend_from_slice(&buffer[..read]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted && interrupted_calls < MAX_INTERRUPTED_CALLS => {
                    interrupted_calls += 1;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.more_to_read = false;
                    return Ok(());
                }
                Err(e) if Cause::of(&e).is_retryable() => {
                    (self.more_to_read, self.retry_needed, self.read_failed) = (false, true, true);
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

    /// Bytes of memory that the input and the output buffer occupy.
    pub fn allocated_bytes(&self) -> BufferSizes {
        BufferSizes { input: self.input.capacity(), output: self.output.capacity() }
    }

    /// Number of bytes that are still to be written.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether a part of the message queued last has been written.
    pub fn has_begun_writing(&self) -> bool {
        self.begun_writing
    }

    /// Whether to go on reading without a new event.
    pub fn has_unread(&self) -> bool {
        self.more_to_read && !self.ended
    }

    /// Removes the first bytes of the input and returns them.
    pub fn take_input(&mut self, bytes: usize) -> Vec<u8> {
        if bytes == self.input.len() {
            return std::mem::take(&mut self.input);
        }
        let taken = self.input[..bytes].to_vec();
        self.input.drain(..bytes);
        if self.input.len() < self.input.capacity() / 2 {
            self.input.shrink_to_fit();
        }
        taken
    }

    /// Drops the input and its memory.
    pub fn discard_input(&mut self) {
        self.input = Vec::new();
    }

    pub fn queue(&mut self, bytes: &[u8]) {
        self.begun_writing &= !self.output.is_empty();
        reserve_blocks(&mut self.output, bytes.len());
        self.output.extend_from_slice(bytes);
    }

    /// Replaces a range of the queued bytes, unless writing has begun.
    pub fn replace_queued(&mut self, range: Range<usize>, bytes: &[u8]) {
        if !self.begun_writing && range.end <= self.output.len() {
            self.output.splice(range, bytes.iter().copied());
        }
    }

    /// Writes as much as possible now; returns whether all is written.
    pub fn flush(&mut self) -> Result<bool> {
        let Some(stream) = &mut self.stream else { return Ok(self.output.is_empty()) };
        let mut interrupted_calls = 0;
        while self.written < self.output.len() {
            match stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => (self.written, self.begun_writing) = (self.written + n, true),
                Err(e) if e.kind() == ErrorKind::Interrupted && interrupted_calls < MAX_INTERRUPTED_CALLS => {
                    interrupted_calls += 1;
                }
                Err(e) if Cause::of(&e).is_retryable() => {
                    self.retry_needed |= e.kind() != ErrorKind::WouldBlock;
                    // Guards against keeping all written bytes in memory while a slow reader never drains the
                    // queue.
                    if self.written >= CHUNK_BYTES {
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
        if let Some(stream) = self.stream.as_mut().filter(|_| self.registered) {
            let _ = registry.deregister(stream);
        }
    }
}

impl BufferedStream {
    pub fn connect_to(address: SocketAddr, registry: &Registry, token: Token) -> Result<BufferedStream> {
        let mut stream = BufferedStream::unconnected();
        stream.connect(address)?;
        stream.register(registry, token)?;
        Ok(stream)
    }

    /// Creates a socket and starts to connect it; replaces an earlier socket.
    pub fn connect(&mut self, address: SocketAddr) -> Result<()> {
        (self.stream, self.registered, self.found_unconnected) = (None, false, false);
        self.stream = Some(TcpStream::connect(address)?);
        Ok(())
    }

    /// Whether the connection is established; an error if connecting failed. If the check itself fails, it is
    /// repeated.
    pub fn is_established(&mut self) -> Result<bool> {
        let Some(stream) = &self.stream else { return Ok(false) };
        match stream.take_error() {
            Ok(None) => {}
            Ok(Some(e)) => return Err(e),
            Err(_) => {
                self.retry_needed = true;
                return Ok(false);
            }
        }
        match stream.peer_addr() {
            Ok(_) => {
                self.set_nodelay();
                Ok(true)
            }
            Err(e) => {
                // `NotConnected` means that connecting is still going on, and an event will follow. If a
                // check finds it a second time, no event may follow, so the check is repeated.
                self.retry_needed = e.kind() != ErrorKind::NotConnected
                    || std::mem::replace(&mut self.found_unconnected, true);
                Ok(false)
            }
        }
    }

    /// Sets `TCP_NODELAY`, so that small writes are sent at once.
    pub fn set_nodelay(&mut self) {
        self.nodelay_failed = self.stream.as_ref().is_some_and(|stream| stream.set_nodelay(true).is_err());
    }

    /// Sets `TCP_NODELAY` again if that failed before.
    pub fn retry_nodelay(&mut self) {
        if self.nodelay_failed {
            self.set_nodelay();
        }
    }

    /// Whether the other side has closed its direction or the connection, also behind bytes that were not read yet.
    pub fn is_closed_by_peer(&self) -> bool {
        self.has_event(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// Whether bytes, or the end of the stream, can be read now.
    pub fn has_readable_bytes(&self) -> bool {
        self.has_event(PollFlags::IN)
    }

    fn has_event(&self, events: PollFlags) -> bool {
        let Some(stream) = &self.stream else { return false };
        let mut poll_fds = [PollFd::new(stream, events)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut poll_fds, Some(&no_wait)).is_ok() && poll_fds[0].revents().intersects(events)
    }

    /// Number of written bytes that the other side's kernel has not acknowledged yet; `None` if that cannot be told.
    pub fn unacknowledged_bytes(&self) -> Option<usize> {
        send_queue::unacknowledged_bytes(self.stream.as_ref()?).ok()
    }

    /// Makes the close reset the connection and drop what the kernel has not sent yet. Otherwise the kernel goes on
    /// sending it for as long as the other side takes to read.
    pub fn drop_unsent_on_close(&self) {
        if let Some(stream) = &self.stream {
            let _: io::Result<()> = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Shuts down the sending direction, so that the other side sees the end of the stream.
    pub fn shutdown_write(&mut self) {
        if let Some(stream) = &self.stream {
            let _: io::Result<()> = stream.shutdown(Shutdown::Write);
        }
    }
}
