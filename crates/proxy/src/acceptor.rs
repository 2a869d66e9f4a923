//! The listening socket: takes connections out of its queue one by one, and goes on after calls that failed.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use sparlug::time::{Span, Time};

use crate::deadlines::DeadlineId;
use crate::failures::{accept_remedy, Remedy, SystemCall};
use crate::shared::{Due, Owner, Shared};

const FULL_PAUSE: Span = Span::from_millis(20); // while there is no room for one more
const FAILURE_PAUSE: Span = Span::from_millis(5); // after a failure for want of something
const FAILURES_MOST: usize = 64; // failures of single connections in a row, before others have their turn

/// What a look into the queue brought.
pub enum Next {
    Connection(TcpStream),
    /// The queue is empty.
    Empty,
    /// The call failed and is made again later.
    Failed(io::Error),
    /// It listens no more.
    Closed,
}

pub struct Acceptor {
    listener: Option<TcpListener>,
    /// Connections may be waiting in the queue.
    pub waiting: bool,
    retry: Option<DeadlineId>,
    /// Since when calls have failed without one that succeeded.
    failing: Option<Time>,
}

impl Acceptor {
    pub fn new(listener: Option<TcpListener>) -> Acceptor {
        Acceptor { listener, waiting: false, retry: None, failing: None }
    }

    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Takes the next connection out of the queue. A failure says nothing of the calls that follow: those are made
    /// until one succeeds.
    pub fn next(&mut self, io: &mut Shared) -> Next {
        self.waiting = true;
        for _ in 0..FAILURES_MOST {
            let Some(listener) = &self.listener else { return Next::Closed };
            let error = match listener.accept() {
                Ok((stream, _)) => {
                    self.succeeded(io.now);
                    return Next::Connection(stream);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.waiting = false;
                    self.succeeded(io.now);
                    return Next::Empty;
                }
                Err(e) => e,
            };
            io.counters.failures.count(SystemCall::Accept, &error);
            if accept_remedy(&error) != Remedy::Now {
                self.failed(&error, io);
                return Next::Failed(error);
            }
        }
        self.look_again(Span::ZERO, io);
        Next::Empty
    }

    fn succeeded(&mut self, now: Time) {
        if let Some(since) = self.failing.take() {
            tracing::info!(for_ms = now.since(since).ms(), "accepting connections again");
        }
    }

    fn failed(&mut self, error: &io::Error, io: &mut Shared) {
        if self.failing.is_none() {
            self.failing = Some(io.now);
            tracing::warn!(%error, "cannot accept");
        }
        self.look_again(FAILURE_PAUSE, io);
    }

    /// There is no room for one more: the next look is a deadline's.
    pub fn is_full(&mut self, io: &mut Shared) {
        self.waiting = true;
        self.look_again(FULL_PAUSE, io);
    }

    fn look_again(&mut self, pause: Span, io: &mut Shared) {
        io.deadlines.call_off(self.retry.take());
        self.retry = Some(io.deadlines.set(io.now + pause, Due::Again(Owner::Listener)));
    }

    /// Listens no more.
    pub fn close(&mut self, io: &mut Shared) {
        if let Some(mut listener) = self.listener.take() {
            let _ = io.registry.deregister(&mut listener);
        }
    }
}
