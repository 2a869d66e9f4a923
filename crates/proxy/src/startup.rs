//! Retries system calls that the program cannot start without when they fail for a transient reason.

use std::io;
use std::time::{Duration, Instant};

use crate::io_failures::Cause;

const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Reports the delay in the log, or on standard error before the log is set up.
fn report_delay(error: &io::Error) {
    if tracing::dispatcher::has_been_set() {
        tracing::warn!(%error, "cannot start yet, trying again");
    } else {
        eprintln!("cannot start yet, trying again: {error}");
    }
}

/// Whether to retry a call. One that ran into its own time-out is not retried.
fn is_transient(error: &io::Error) -> bool {
    error.kind() != io::ErrorKind::WouldBlock && Cause::of(error).is_retryable()
}

/// Repeats a call until it succeeds, fails with a permanent error, or has been retried for 3 s.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let (start, mut reported) = (Instant::now(), false);
    loop {
        match call() {
            Err(e) if !reported && is_transient(&e) => {
                report_delay(&e);
                reported = true;
            }
            Err(e) if is_transient(&e) && start.elapsed() < RETRY_TIMEOUT => {
                std::thread::sleep(RETRY_PAUSE);
            }
            result => return result,
        }
    }
}
