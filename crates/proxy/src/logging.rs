//! Writes the log to standard error without ever blocking. A line that cannot be written is dropped and
//! counted.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::stdio::stderr;

/// Bytes per write. A pipe that polls as writable has room for this much (PIPE_BUF).
const CHUNK_BYTES: usize = 4096;
const MAX_INTERRUPTIONS: u32 = 16;

/// Logs a panic with its place before the process ends by it, also where standard error is not the log's only reader.
pub fn log_panics() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        tracing::error!(%panic, "the process ends by a panic");
        default_hook(panic);
    }));
}

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The number of log lines that were dropped, in whole or in part.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes lines to standard error.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogWriter;

impl LogWriter {
    pub fn new() -> LogWriter {
        LogWriter
    }
}

impl io::Write for LogWriter {
    /// Accepts a complete line, whether or not it can be written.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !write_line(line) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line; `false` if it could not be written completely.
fn write_line(line: &[u8]) -> bool {
    let (mut rest, mut interruptions) = (line, 0);
    while !rest.is_empty() {
        if !is_writable() {
            return false;
        }
        match rustix::io::write(stderr(), &rest[..rest.len().min(CHUNK_BYTES)]) {
            Ok(0) => return false,
            Ok(bytes) => rest = &rest[bytes..],
            Err(Errno::INTR) if interruptions < MAX_INTERRUPTIONS => interruptions += 1,
            Err(_) => return false,
        }
    }
    true
}

/// Whether a write would not block. Guards against a pipe that nobody reads stalling the whole proxy.
fn is_writable() -> bool {
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut poll_fds = [PollFd::from_borrowed_fd(stderr(), PollFlags::OUT)];
    !matches!(poll(&mut poll_fds, Some(&no_wait)), Ok(0))
}
