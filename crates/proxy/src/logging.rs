//! Where the log goes: standard error, which nothing ever waits for. A line that cannot be written is left out and
//! counted.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::stdio::stderr;

const PIECE: usize = 4096; // a pipe that has room at all has room for so much
const INTERRUPTIONS_MOST: u32 = 16;

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines of the log that were left out, whole or in part.
pub fn dropped_lines() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
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
    /// Takes a whole line, whether or not it can be written.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !written(line) {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn written(line: &[u8]) -> bool {
    let (mut rest, mut interruptions) = (line, 0);
    while !rest.is_empty() {
        if !has_room() {
            return false;
        }
        match rustix::io::write(stderr(), &rest[..rest.len().min(PIECE)]) {
            Ok(0) => return false,
            Ok(bytes) => rest = &rest[bytes..],
            Err(Errno::INTR) if interruptions < INTERRUPTIONS_MOST => interruptions += 1,
            Err(_) => return false,
        }
    }
    true
}

/// Whether a write would not wait: guards against a pipe that nobody reads holding up all that is served.
fn has_room() -> bool {
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut waiting = [PollFd::from_borrowed_fd(stderr(), PollFlags::OUT)];
    !matches!(poll(&mut waiting, Some(&now)), Ok(0))
}
