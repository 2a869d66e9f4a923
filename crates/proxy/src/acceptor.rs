//! Accepts the connections of a listening socket one by one, and goes on after failed calls.

use std::io::{self, ErrorKind};

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry};
use sparlug::time::{Span, Time};

use crate::deadlines::DeadlineId;
use crate::io_failures::{affects_one_connection, SystemCall};
use crate::shared::{IoContext, Owner, TimerEvent};

const CAPACITY_PAUSE: Span = Span::from_millis(20); // while the connection limit is reached
const FAILURE_PAUSE: Span = Span::from_millis(5); // after a call that lacked a resource
/// Connections that are accepted before other sockets are handled. Clients that connect again as soon as they are refused
/// would otherwise hold the loop for as long as they come.
pub const MAX_ACCEPTS_PER_TURN: usize = 1_024;
const MAX_FAILURES_PER_ACCEPT: usize = 64; // of single connections in a row, before other sockets are handled

/// A listening TCP or Unix socket.
pub trait Listener: Source {
    type Stream;

    fn accept_stream(&self) -> io::Result<Self::Stream>;
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    fn accept_stream(&self) -> io::Result<TcpStream> {
        Ok(self.accept()?.0)
    }
}

impl Listener for UnixListener {
    type Stream = UnixStream;

    fn accept_stream(&self) -> io::Result<UnixStream> {
        Ok(self.accept()?.0)
    }
}

/// The result of `Acceptor::accept`.
pub enum Accepted<S> {
    Connection(S),
    /// The queue is empty, or too many connections in a row failed; the rest are accepted after a pause.
    Empty,
    /// The call failed and is repeated later.
    Failed(io::Error),
    /// The listener has been closed.
    Closed,
}

/// A listening socket and the state of accepting from it.
pub struct Acceptor<L = TcpListener> {
    listener: Option<L>,
    /// Owner of the token under which the listener is registered.
    owner: Owner,
    /// Connections may be pending in the listener's queue.
    pub may_have_pending: bool,
    recheck: Option<DeadlineId>,
    /// Since when every call has failed.
    failing_since: Option<Time>,
    /// Since when connections may have been pending because calls failed.
    pub delayed_since: Option<Time>,
}

impl<L: Listener> Acceptor<L> {
    /// Accepts from a listener that is registered with the event queue.
    pub fn new(listener: Option<L>, owner: Owner) -> Acceptor<L> {
        Acceptor {
            listener,
            owner,
            may_have_pending: false,
            recheck: None,
            failing_since: None,
            delayed_since: None,
        }
    }

    /// Registers a listener with the event queue and accepts from it.
    pub fn register(mut listener: L, owner: Owner, registry: &Registry) -> io::Result<Acceptor<L>> {
        registry.register(&mut listener, owner.token(), Interest::READABLE)?;
        Ok(Acceptor::new(Some(listener), owner))
    }

    pub fn listener(&self) -> Option<&L> {
        self.listener.as_ref()
    }

    /// Accepts the next connection. A failed call says nothing about the next ones, so calls are repeated
    /// until one succeeds.
    pub fn accept(&mut self, io: &mut IoContext) -> Accepted<L::Stream> {
        self.may_have_pending = true;
        for _ in 0..MAX_FAILURES_PER_ACCEPT {
            let Some(listener) = &self.listener else { return Accepted::Closed };
            let error = match listener.accept_stream() {
                Ok(stream) => {
                    self.record_success(io.now);
                    return Accepted::Connection(stream);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    (self.may_have_pending, self.delayed_since) = (false, None);
                    self.record_success(io.now);
                    return Accepted::Empty;
                }
                Err(e) => e,
            };
            io.counters.failures.count(SystemCall::Accept, &error);
            self.delayed_since = self.delayed_since.or(Some(io.now));
            if !affects_one_connection(&error) {
                self.record_failure(&error, io);
                return Accepted::Failed(error);
            }
        }
        self.schedule_recheck(FAILURE_PAUSE, io);
        Accepted::Empty
    }

    fn record_success(&mut self, now: Time) {
        if let Some(since) = self.failing_since.take() {
            tracing::info!(for_ms = now.since(since).ms(), at = ?self.owner, "accepting connections again");
        }
    }

    fn record_failure(&mut self, error: &io::Error, io: &mut IoContext) {
        if self.failing_since.is_none() {
            self.failing_since = Some(io.now);
            tracing::warn!(%error, at = ?self.owner, "cannot accept");
        }
        self.schedule_recheck(FAILURE_PAUSE, io);
    }

    /// Goes on in the next iteration of the loop, without an event.
    pub fn continue_next_turn(&mut self, io: &mut IoContext) {
        self.schedule_recheck(Span::ZERO, io);
    }

    /// The connection limit is reached: tries again after a pause, without an event.
    pub fn wait_for_capacity(&mut self, io: &mut IoContext) {
        // Pending connections are now delayed by the limit and no longer by failed calls.
        (self.may_have_pending, self.delayed_since) = (true, None);
        self.schedule_recheck(CAPACITY_PAUSE, io);
    }

    fn schedule_recheck(&mut self, pause: Span, io: &mut IoContext) {
        io.deadlines.cancel(self.recheck.take());
        self.recheck = Some(io.deadlines.set(io.now + pause, TimerEvent::Recheck(self.owner)));
    }

    /// Whether all pending connections have been accepted.
    pub fn is_drained(&self) -> bool {
        self.listener.is_none() || !self.may_have_pending
    }

    /// Closes the listener.
    pub fn close(&mut self, io: &mut IoContext) {
        if let Some(mut listener) = self.listener.take() {
            let _ = io.registry.deregister(&mut listener);
        }
    }
}
