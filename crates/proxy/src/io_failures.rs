//! System calls that failed: whose fault that is, what is to be done about it, and how often it happened.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use rustix::io::Errno;

/// Whose fault a failure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Nobody's: the call was interrupted, or found nothing to do.
    NoFault,
    /// This machine is short of something for the moment: descriptors, ports, memory, space.
    Shortage,
    /// A device of this machine fails.
    Device,
    /// The way to the other side.
    Network,
    /// The other side refused or ended it.
    RemoteEnd,
    /// No error that a call documents for a moment.
    Other,
}

impl Cause {
    pub fn of(error: &io::Error) -> Cause {
        match Errno::from_io_error(error) {
            Some(Errno::INTR | Errno::AGAIN | Errno::CONNABORTED) => Cause::NoFault,
            Some(
                Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::NOSPC
                | Errno::ADDRNOTAVAIL
                | Errno::ADDRINUSE,
            ) => Cause::Shortage,
            Some(Errno::IO) => Cause::Device,
            Some(
                Errno::NETUNREACH
                | Errno::HOSTUNREACH
                | Errno::NETDOWN
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::TIMEDOUT
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::OPNOTSUPP
                | Errno::PERM
                | Errno::ACCESS,
            ) => Cause::Network,
            Some(Errno::CONNREFUSED | Errno::CONNRESET | Errno::PIPE | Errno::NOTCONN) => Cause::RemoteEnd,
            _ => Cause::Other,
        }
    }

    /// Whether the call may succeed when it is made again on the same thing.
    pub fn is_retryable(self) -> bool {
        matches!(self, Cause::NoFault | Cause::Shortage | Cause::Device)
    }

    fn name(self) -> &'static str {
        match self {
            Cause::NoFault => "nobody",
            Cause::Shortage => "shortage",
            Cause::Device => "device",
            Cause::Network => "way",
            Cause::RemoteEnd => "other_side",
            Cause::Other => "other",
        }
    }
}

/// Whether a failure of `accept` is that of one connection, which is gone with it, and not of the listener.
pub fn affects_one_connection(error: &io::Error) -> bool {
    matches!(Cause::of(error), Cause::NoFault | Cause::Network | Cause::RemoteEnd)
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

/// How often each call failed, by cause and error number; 0 stands for an error without one.
#[derive(Default)]
pub struct IoFailures {
    counts: BTreeMap<(SystemCall, Cause, i32), u64>,
}

impl IoFailures {
    pub fn count(&mut self, call: SystemCall, error: &io::Error) {
        let number = error.raw_os_error().unwrap_or(0);
        *self.counts.entry((call, Cause::of(error), number)).or_default() += 1;
    }

    /// The counts in the form that operators read, a figure a line.
    pub fn report(&self) -> String {
        let line = |((call, cause, number), count): (&(SystemCall, Cause, i32), &u64)| {
            format!("svc.failed_calls.{}.{}.{number}:{count}|c\n", call.name(), cause.name())
        };
        self.counts.iter().map(line).collect()
    }
}

impl fmt::Display for IoFailures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.counts.iter().try_for_each(|((call, cause, number), count)| {
            write!(f, " failed_{}_{}_{number}={count}", call.name(), cause.name())
        })
    }
}
