//! A listening socket: takes connections out of its queue one by one, and goes on after calls that failed.

use std::io::{self, ErrorKind};

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry};
use sparlug::time::{Span, Time};

use crate::deadlines::DeadlineId;
use crate::io_failures::{affects_one_connection, SystemCall};
use crate::shared::{IoContext, Owner, TimerEvent};

const FULL_PAUSE: Span = Span::from_millis(20); // while there is no room for one more
const FAILURE_PAUSE: Span = Span::from_millis(5); // after a failure for want of something
const FAILURES_MOST: usize = 64; // failures of single connections in a row, before others have their turn

/// A socket that connections can be taken from.
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

/// What a look into the queue brought.
pub enum Accepted<S> {
    Connection(S),
    /// The queue is empty.
    Empty,
    /// The call failed and is made again later.
    Failed(io::Error),
    /// It listens no more.
    Closed,
}

pub struct Acceptor<L = TcpListener> {
    listener: Option<L>,
    /// Whose events tell that connections are in the queue.
    owner: Owner,
    /// Connections may be waiting in the queue.
    pub may_have_pending: bool,
    retry: Option<DeadlineId>,
    /// Since when calls have failed without one that succeeded.
    failing: Option<Time>,
    /// Since when what is in the queue may have waited there, if calls have failed.
    pub delayed_since: Option<Time>,
}

impl<L: Listener> Acceptor<L> {
    /// Takes connections from a listener that the event queue has.
    pub fn new(listener: Option<L>, owner: Owner) -> Acceptor<L> {
        Acceptor { listener, owner, may_have_pending: false, retry: None, failing: None, delayed_since: None }
    }

    /// Takes connections from a listener that the event queue does not have yet.
    pub fn register(mut listener: L, owner: Owner, registry: &Registry) -> io::Result<Acceptor<L>> {
        registry.register(&mut listener, owner.token(), Interest::READABLE)?;
        Ok(Acceptor::new(Some(listener), owner))
    }

    pub fn listener(&self) -> Option<&L> {
        self.listener.as_ref()
    }

    /// Takes the next connection out of the queue. A failure says nothing of the calls that follow: those are made
    /// until one succeeds.
    pub fn accept(&mut self, io: &mut IoContext) -> Accepted<L::Stream> {
        self.may_have_pending = true;
        for _ in 0..FAILURES_MOST {
            let Some(listener) = &self.listener else { return Accepted::Closed };
            let error = match listener.accept_stream() {
                Ok(stream) => {
                    self.succeeded(io.now);
                    return Accepted::Connection(stream);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    (self.may_have_pending, self.delayed_since) = (false, None);
                    self.succeeded(io.now);
                    return Accepted::Empty;
                }
                Err(e) => e,
            };
            io.counters.failures.count(SystemCall::Accept, &error);
            self.delayed_since = self.delayed_since.or(Some(io.now));
            if !affects_one_connection(&error) {
                self.failed(&error, io);
                return Accepted::Failed(error);
            }
        }
        self.look_again(FAILURE_PAUSE, io);
        Accepted::Empty
    }

    fn succeeded(&mut self, now: Time) {
        if let Some(since) = self.failing.take() {
            tracing::info!(for_ms = now.since(since).ms(), at = ?self.owner, "accepting connections again");
        }
    }

    fn failed(&mut self, error: &io::Error, io: &mut IoContext) {
        if self.failing.is_none() {
            self.failing = Some(io.now);
            tracing::warn!(%error, at = ?self.owner, "cannot accept");
        }
        self.look_again(FAILURE_PAUSE, io);
    }

    /// There is no room for one more: the next look is a deadline's.
    pub fn wait_for_capacity(&mut self, io: &mut IoContext) {
        // What waits for room waits no longer for a call that failed.
        (self.may_have_pending, self.delayed_since) = (true, None);
        self.look_again(FULL_PAUSE, io);
    }

    fn look_again(&mut self, pause: Span, io: &mut IoContext) {
        io.deadlines.cancel(self.retry.take());
        self.retry = Some(io.deadlines.set(io.now + pause, TimerEvent::Recheck(self.owner)));
    }

    /// Whether all that was in the queue has been taken out of it.
    pub fn is_drained(&self) -> bool {
        self.listener.is_none() || !self.may_have_pending
    }

    /// Listens no more.
    pub fn close(&mut self, io: &mut IoContext) {
        if let Some(mut listener) = self.listener.take() {
            let _ = io.registry.deregister(&mut listener);
        }
    }
}
