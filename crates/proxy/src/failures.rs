//! System calls that failed, counted by call and error number, for the figures that operators read.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use rustix::io::Errno;

/// What to do about a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Make it again at once: it was interrupted, or the failure was that of a single connection.
    Now,
    /// Make it again after a pause: something is short for the moment.
    Later,
}

/// What accept(2) documents as pending errors of the connection that was taken, which is gone then.
const OF_ONE_CONNECTION: [Errno; 13] = [
    Errno::INTR,
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::PROTO,
    Errno::PERM,
    Errno::NETDOWN,
    Errno::NOPROTOOPT,
    Errno::HOSTDOWN,
    Errno::NONET,
    Errno::HOSTUNREACH,
    Errno::OPNOTSUPP,
    Errno::NETUNREACH,
    Errno::TIMEDOUT,
];

/// What a failure of `accept` asks for.
pub fn accept_remedy(error: &io::Error) -> Remedy {
    match Errno::from_io_error(error) {
        Some(errno) if OF_ONE_CONNECTION.contains(&errno) => Remedy::Now,
        _ => Remedy::Later,
    }
}

/// What a failure to make a connection says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The other side, or a host on the way, refused it.
    Refused,
    /// There is no way there, which may be so for a moment, for this backend or for all.
    NoWay,
    /// This machine is short of something: descriptors, ports, memory.
    Shortage,
}

/// What a failure of `socket`, `connect` or a look at their result says.
pub fn connect_failure(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NOSPC
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::AGAIN
            | Errno::INTR,
        ) => ConnectFailure::Shortage,
        Some(Errno::NETUNREACH | Errno::NETDOWN | Errno::CONNABORTED | Errno::PERM | Errno::ACCESS) => {
            ConnectFailure::NoWay
        }
        _ => ConnectFailure::Refused,
    }
}

/// Whether a read or write failed for want of memory, which says nothing of the connection.
pub fn is_shortage(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Whether a call may succeed when it is made again: something was short, or a device failed.
pub fn is_momentary(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::INTR
                | Errno::AGAIN
                | Errno::IO
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::NOSPC
        )
    )
}

/// Whether the process has no descriptor left, of as many as its own limit allows.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// The calls whose failures are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SystemCall {
    /// Taking a connection from the listener's queue.
    Accept,
    /// Adding a descriptor to the event queue.
    Register,
    /// Making a socket and connecting it to a backend.
    Connect,
    /// Reading from a client or a backend.
    Read,
    /// Writing to a client or a backend.
    Write,
    /// Waiting for events.
    Wait,
    /// Reading the configuration.
    Configuration,
}

impl SystemCall {
    pub fn name(self) -> &'static str {
        match self {
            SystemCall::Accept => "accept",
            SystemCall::Register => "register",
            SystemCall::Connect => "connect",
            SystemCall::Read => "read",
            SystemCall::Write => "write",
            SystemCall::Wait => "wait",
            SystemCall::Configuration => "configuration",
        }
    }
}

/// How often each call failed with each error number; 0 stands for an error without one.
#[derive(Default)]
pub struct Failures {
    counts: BTreeMap<(SystemCall, i32), u64>,
}

impl Failures {
    pub fn count(&mut self, call: SystemCall, error: &io::Error) {
        *self.counts.entry((call, error.raw_os_error().unwrap_or(0))).or_default() += 1;
    }

    /// The counts in the form that operators read, a figure a line.
    pub fn report(&self) -> String {
        let line = |((call, number), count): (&(SystemCall, i32), &u64)| {
            format!("svc.failed_calls.{}.{number}:{count}|c\n", call.name())
        };
        self.counts.iter().map(line).collect()
    }
}

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut counts = self.counts.iter();
        counts.try_for_each(|((call, number), count)| write!(f, " failed_{}_{number}={count}", call.name()))
    }
}
