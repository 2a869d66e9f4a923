//! Faults drawn from a seed: which calls fail, how, and for how long.

use std::time::{Duration, Instant};

use oorandom::Rand32;

use crate::helper::shim::{errno, Fault, Shim, SystemCall};

/// The sockets that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Side {
    Clients,
    Backends,
    Any,
}

/// A fault and the time during which it was in force.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    pub fault: Fault,
    pub side: Side,
    pub from: Instant,
    pub to: Instant,
}

/// Longest time that a stub backend takes for a response.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(30);
/// Errors that end the connection on which they come.
const CONNECTION_ERRORS: [u32; 4] = [errno::ETIMEDOUT, errno::EHOSTUNREACH, errno::ECONNRESET, errno::EPIPE];
/// Calls with their errors (0: a short transfer) and the sides on which they fail.
pub const CALLS: [(SystemCall, &[u32], &[Side]); 15] = [
    (
        SystemCall::Accept,
        &[
            errno::EINTR,
            errno::ECONNABORTED,
            errno::EMFILE,
            errno::ENFILE,
            errno::ENOBUFS,
            errno::ENOMEM,
            errno::EPROTO,
            errno::EPERM,
            errno::ENETDOWN,
            errno::EHOSTUNREACH,
        ],
        &[Side::Clients],
    ),
    (SystemCall::Socket, &[errno::EMFILE, errno::ENFILE, errno::ENOBUFS, errno::ENOMEM], &[Side::Any]),
    (
        SystemCall::Connect,
        &[
            errno::EINTR,
            errno::EAGAIN,
            errno::EADDRNOTAVAIL,
            errno::ENETUNREACH,
            errno::ECONNABORTED,
            errno::ENOBUFS,
            errno::ETIMEDOUT,
            errno::EHOSTUNREACH,
        ],
        &[Side::Backends, Side::Any],
    ),
    (
        SystemCall::Read,
        &[
            0,
            errno::EINTR,
            errno::ENOMEM,
            errno::ENOBUFS,
            errno::ETIMEDOUT,
            errno::EHOSTUNREACH,
            errno::ECONNRESET,
        ],
        &[Side::Clients, Side::Backends],
    ),
    (
        SystemCall::Write,
        &[
            0,
            errno::EINTR,
            errno::ENOMEM,
            errno::ENOBUFS,
            errno::ETIMEDOUT,
            errno::EHOSTUNREACH,
            errno::EPIPE,
        ],
        &[Side::Clients, Side::Backends],
    ),
    (SystemCall::EpollAdd, &[errno::ENOMEM, errno::ENOSPC], &[Side::Clients, Side::Backends, Side::Any]),
    (SystemCall::EpollWait, &[errno::EINTR], &[Side::Any]),
    (SystemCall::PeerName, &[errno::ENOBUFS, errno::ENOTCONN], &[Side::Backends]),
    (SystemCall::SocketError, &[errno::ENOBUFS], &[Side::Backends]),
    (SystemCall::LogWrite, &[errno::ENOSPC, errno::EIO, errno::EINTR, errno::EAGAIN], &[Side::Any]),
    (SystemCall::FileOpen, &[errno::ENFILE, errno::EIO], &[Side::Any]),
    (SystemCall::FileRead, &[errno::EIO, errno::EINTR], &[Side::Any]),
    (SystemCall::SignalWake, &[errno::ENOBUFS], &[Side::Any]),
    (SystemCall::DatagramRead, &[errno::EINTR], &[Side::Any]),
    (SystemCall::SetOption, &[errno::ENOBUFS, errno::ENOMEM], &[Side::Clients, Side::Backends]),
];

impl InjectedFault {
    /// Whether the fault was in force at any moment of a span.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }

    /// Whether every accept, every read from clients or every write to them failed, from before a response
    /// could have been sent until the client gave up, so that no proxy could have served the request.
    pub fn blocked_clients(&self, sent: Instant, deadline: Instant) -> bool {
        let serves_clients =
            matches!(self.fault.call, SystemCall::Accept | SystemCall::Read | SystemCall::Write);
        let all_calls =
            serves_clients && self.fault.error != 0 && self.fault.every == 1 && self.side != Side::Backends;
        all_calls && self.from <= sent + MAX_RESPONSE_TIME && self.to >= deadline
    }

    /// Whether the fault may end a client's connection.
    pub fn may_end_client_connections(&self) -> bool {
        matches!(self.fault.call, SystemCall::Read | SystemCall::Write)
            && self.side != Side::Backends
            && CONNECTION_ERRORS.contains(&self.fault.error)
    }
}

/// Makes a random call fail for a random time.
pub fn inject_random(
    shim: &Shim,
    rng: &mut Rand32,
    client_port: u16,
    backend_ports: &[u16],
) -> InjectedFault {
    let (call, errors, sides) = CALLS[rng.rand_range(0..CALLS.len() as u32) as usize];
    let error = errors[rng.rand_range(0..errors.len() as u32) as usize];
    let side = sides[rng.rand_range(0..sides.len() as u32) as usize];
    let port = match side {
        Side::Clients => client_port,
        Side::Backends => backend_ports[rng.rand_range(0..backend_ports.len() as u32) as usize],
        Side::Any => 0,
    };
    let every = [1, 1, 2, 3, 7][rng.rand_range(0..5) as usize];
    let fault = match error {
        0 => Fault::short_transfer(call, rng.rand_range(1..40), u32::MAX),
        error => Fault::with_error(call, error, u32::MAX),
    };
    let fault = fault.on_port(port).one_in(every);
    let from = Instant::now();
    shim.inject(fault);
    std::thread::sleep(Duration::from_millis(rng.rand_range(20..500).into()));
    shim.clear(call);
    InjectedFault { fault, side, from, to: Instant::now() }
}
