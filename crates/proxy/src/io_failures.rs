//! Failed system calls: their cause, whether to repeat the call, and how often each failure happened.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use rustix::io::Errno;

/// The cause of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No fault: the call was interrupted, or found nothing to do.
    NoFault,
    /// A temporary shortage on this machine: of descriptors, ports, memory or disk space.
    Shortage,
    /// A device of this machine failed.
    Device,
    /// The network path to the other side.
    Network,
    /// The other side refused or closed the connection.
    RemoteEnd,
    /// Any other error, which no call documents as temporary.
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

    /// Whether the call may succeed if it is repeated on the same descriptor.
    pub fn is_retryable(self) -> bool {
        matches!(self, Cause::NoFault | Cause::Shortage | Cause::Device)
    }

    /// The name in the metric `svc.failed_calls`.
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

/// Whether a failure of `accept` concerns one connection, which is lost by it, and not the listener.
pub fn affects_one_connection(error: &io::Error) -> bool {
    matches!(Cause::of(error), Cause::NoFault | Cause::Network | Cause::RemoteEnd)
}

/// Whether the process has reached its own limit of descriptors.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// The system calls whose failures are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SystemCall {
    /// Accepting a connection.
    Accept,
    /// Registering a descriptor with the event queue.
    Register,
    /// Creating a socket and connecting it to a backend.
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
    /// The name in the metric `svc.failed_calls`.
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

/// Number of failures of each call by cause and error number; 0 stands for an error without a number.
#[derive(Default)]
pub struct IoFailures {
    counts: BTreeMap<(SystemCall, Cause, i32), u64>,
}

impl IoFailures {
    pub fn count(&mut self, call: SystemCall, error: &io::Error) {
        let errno = error.raw_os_error().unwrap_or(0);
        *self.counts.entry((call, Cause::of(error), errno)).or_default() += 1;
    }

    /// The counts in the format of `/metrics`, one per line.
    pub fn report(&self) -> String {
        let line = |((call, cause, errno), count): (&(SystemCall, Cause, i32), &u64)| {
            format!("svc.failed_calls.{}.{}.{errno}:{count}|c\n", call.name(), cause.name())
        };
        self.counts.iter().map(line).collect()
    }
}

impl fmt::Display for IoFailures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.counts.iter().try_for_each(|((call, cause, errno), count)| {
            write!(f, " failed_{}_{}_{errno}={count}", call.name(), cause.name())
        })
    }
}
