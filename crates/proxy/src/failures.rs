//! System calls that failed, counted by call and error number, for the figures that operators read.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

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
}

impl SystemCall {
    pub fn name(self) -> &'static str {
        match self {
            SystemCall::Accept => "accept",
            SystemCall::Register => "register",
            SystemCall::Connect => "connect",
            SystemCall::Read => "read",
            SystemCall::Write => "write",
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
