//! The signals that the program answers to.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use mio::{Interest, Registry};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use crate::shared::Owner;
use crate::startup::retry_transient;

const SIGNALS: [i32; 4] = [SIGTERM, SIGINT, SIGHUP, SIGUSR1];

/// Signals that came and were not taken yet.
pub struct SignalQueue {
    signals: Signals,
    /// One has come. Guards against one that is not heard because its handler could not write to the pipe that wakes
    /// the loop.
    raised: Arc<AtomicBool>,
}

impl SignalQueue {
    /// Hears the signals from here on.
    pub fn install() -> Result<SignalQueue, String> {
        let hear = || {
            let signals = Signals::new(SIGNALS)?;
            let raised = Arc::new(AtomicBool::new(false));
            for signal in SIGNALS {
                signal_hook::flag::register(signal, raised.clone())?;
            }
            Ok(SignalQueue { signals, raised })
        };
        retry_transient(hear).map_err(|e| format!("cannot hear signals: {e}"))
    }

    pub fn register(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.signals, Owner::Signals.token(), Interest::READABLE)
    }

    /// Whether signals have come that were not taken.
    pub fn has_pending(&self) -> bool {
        self.raised.load(Ordering::SeqCst)
    }

    /// Takes all that have come.
    pub fn take_pending(&mut self) -> Vec<i32> {
        self.raised.store(false, Ordering::SeqCst);
        self.signals.pending().collect()
    }
}
