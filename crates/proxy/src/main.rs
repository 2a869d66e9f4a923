//! The proxy program: carries out sparlug's decisions on sockets, in front of the one tier of backends that
//! its configuration names. See `docs/architecture.md` for how a request is processed.

use std::process::ExitCode;

use sparlug_proxy::config::{Config, ConfigSource};
use sparlug_proxy::logging::{log_panics, LogWriter};
use sparlug_proxy::proxy::Proxy;
use sparlug_proxy::signals::SignalQueue;
use tracing::level_filters::LevelFilter;

/// Sets up the log on standard error. `SPARLUG_LOG` names its level, `info` if unset.
fn init_log() {
    let level = std::env::var("SPARLUG_LOG").ok().and_then(|level| level.parse::<LevelFilter>().ok());
    let level = level.unwrap_or(LevelFilter::INFO);
    // Guards against a panic when the reader of the log has gone.
    tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_max_level(level)
        .with_writer(LogWriter::new)
        .with_ansi(false)
        .init();
}

fn main() -> ExitCode {
    // Installed first: guards against a signal during startup ending the program.
    let result = SignalQueue::install().and_then(|signals| {
        init_log();
        log_panics();
        let config = Config::read_with_retries(&ConfigSource::Environment).map_err(|e| e.to_string())?;
        Proxy::new(config, ConfigSource::Environment, signals)?.run().map_err(|error| {
            tracing::error!(%error, "the process ends by an error");
            format!("cannot poll: {error}")
        })
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sparlug-proxy: {e}");
            ExitCode::FAILURE
        }
    }
}
