//! The signals that the program handles.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use mio::{Interest, Registry};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use crate::shared::Owner;
use crate::startup::retry_transient;

const HANDLED_SIGNALS: [i32; 4] = [SIGTERM, SIGINT, SIGHUP, SIGUSR1];

/// Signals that were received and not handled yet.
pub struct SignalQueue {
    signals: Signals,
    /// Whether a signal was received. Guards against missing one whose handler could not write to the pipe
    /// that wakes the event loop.
    pending: Arc<AtomicBool>,
}

impl SignalQueue {
    /// Installs the signal handlers.
    pub fn install() -> Result<SignalQueue, String> {
        let install = || {
            let signals = Signals::new(HANDLED_SIGNALS)?;
            let pending = Arc::new(AtomicBool::new(false));
            for signal in HANDLED_SIGNALS {
                signal_hook::flag::register(signal, pending.clone())?;
            }
            Ok(SignalQueue { signals, pending })
        };
        retry_transient(install).map_err(|e| format!("cannot handle signals: {e}"))
    }

    pub fn register(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.signals, Owner::Signals.token(), Interest::READABLE)
    }

    /// Whether there are signals to handle.
    pub fn has_pending(&self) -> bool {
        self.pending.load(Ordering::SeqCst)
    }

    /// Takes all signals that were received.
    pub fn take_pending(&mut self) -> Vec<i32> {
        self.pending.store(false, Ordering::SeqCst);
        self.signals.pending().collect()
    }
}
