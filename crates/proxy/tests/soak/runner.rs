//! Runs seeds of a soak test, a few at a time.

use std::ops::Range;
use std::sync::Mutex;

/// The seeds that an environment variable selects (`FROM..TO`), or else those of CI.
pub fn selected_seeds(variable: &str, default: Range<u64>) -> Vec<u64> {
    let Ok(text) = std::env::var(variable) else { return default.collect() };
    let (from, to) = text.split_once("..").unwrap_or_else(|| panic!("{variable}=FROM..TO"));
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

/// Runs all seeds, `parallel` at a time, and fails with the list of those that failed.
pub fn run_seeds(seeds: &[u64], parallel: usize, run_seed: impl Fn(u64) + Sync) {
    let failed = Mutex::new(Vec::new());
    for batch in seeds.chunks(parallel) {
        std::thread::scope(|scope| {
            for seed in batch {
                let (failed, run_seed) = (&failed, &run_seed);
                scope.spawn(move || {
                    let run = std::panic::AssertUnwindSafe(|| run_seed(*seed));
                    if std::panic::catch_unwind(run).is_err() {
                        failed.lock().unwrap().push(*seed);
                    }
                });
            }
        });
    }
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "seeds {failed:?} of {}", seeds.len());
}
