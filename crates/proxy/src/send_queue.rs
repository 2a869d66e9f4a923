//! The queue in which the kernel keeps what was written to a TCP socket until the other side's kernel acknowledges it.

use std::ffi::c_int;
use std::io;
use std::os::fd::AsFd;

use rustix::ioctl::{ioctl, Getter, Opcode};

const SEND_QUEUE_BYTES: Opcode = libc::TIOCOUTQ;

/// Number of bytes that were written to the socket and are not acknowledged yet.
pub fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    // SAFETY: for sockets, this request writes one `int` and nothing else.
    let bytes = unsafe { ioctl(socket, Getter::<SEND_QUEUE_BYTES, c_int>::new()) }?;
    Ok(usize::try_from(bytes).unwrap_or_default())
}
