//! Calls that the program cannot start without, made again where they fail for a moment.

use std::io;
use std::time::{Duration, Instant};

use crate::failures::is_momentary;

const PATIENCE: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(10);

/// Makes a call until it succeeds, fails in a way that lasts, or the time for it is over.
pub fn again<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let start = Instant::now();
    loop {
        match call() {
            Err(e) if is_momentary(&e) && start.elapsed() < PATIENCE => std::thread::sleep(PAUSE),
            done => return done,
        }
    }
}
