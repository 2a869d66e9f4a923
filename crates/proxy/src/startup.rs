//! Calls that the program cannot start without, made again where they fail for a moment.

use std::io;
use std::time::{Duration, Instant};

use crate::io_failures::Cause;

const PATIENCE: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(10);

/// Says that the start takes longer, also before the log is there.
fn say(error: &io::Error) {
    if tracing::dispatcher::has_been_set() {
        tracing::warn!(%error, "cannot start yet, trying again");
    } else {
        eprintln!("cannot start yet, trying again: {error}");
    }
}

/// Whether a call is to be made again. One that waited for as long as it may is not.
fn may_pass(error: &io::Error) -> bool {
    error.kind() != io::ErrorKind::WouldBlock && Cause::of(error).is_retryable()
}

/// Makes a call until it succeeds, fails in a way that lasts, or the time for it is over.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let (start, mut told) = (Instant::now(), false);
    loop {
        match call() {
            Err(e) if !told && may_pass(&e) => {
                say(&e);
                told = true;
            }
            Err(e) if may_pass(&e) && start.elapsed() < PATIENCE => {
                std::thread::sleep(PAUSE);
            }
            done => return done,
        }
    }
}
