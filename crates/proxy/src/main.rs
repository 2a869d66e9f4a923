//! The proxy on sockets round sparlug's decisions. It serves before one tier of backends, which its settings
//! name; see `docs/architecture.md` for the life of a request.

use std::process::ExitCode;

use sparlug_proxy::config::{Config, ConfigSource};
use sparlug_proxy::logging::LogWriter;
use sparlug_proxy::proxy::Proxy;
use sparlug_proxy::signals::SignalQueue;
use tracing::level_filters::LevelFilter;

/// The log goes to standard error; `SPARLUG_LOG` names its level, `info` if unset.
fn log() {
    let level = std::env::var("SPARLUG_LOG").ok().and_then(|level| level.parse::<LevelFilter>().ok());
    let level = level.unwrap_or(LevelFilter::INFO);
    // Guards against a crash when nobody reads the log any more.
    tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_max_level(level)
        .with_writer(LogWriter::new)
        .with_ansi(false)
        .init();
}

fn main() -> ExitCode {
    // First of all: guards against a signal that comes before the program is up and ends it.
    let served = SignalQueue::install().and_then(|signals| {
        log();
        let config = Config::read_with_retries(&ConfigSource::Environment).map_err(|e| e.to_string())?;
        Proxy::new(config, ConfigSource::Environment, signals)?.run().map_err(|e| format!("cannot poll: {e}"))
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sparlug-proxy: {e}");
            ExitCode::FAILURE
        }
    }
}
