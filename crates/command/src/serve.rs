//! `sparlug serve` runs the proxy; `sparlug check` validates a configuration file without serving.

use std::path::{Path, PathBuf};

use sparlug_proxy::config::{Config, ConfigSource};
use sparlug_proxy::logging::{log_panics, LogWriter};
use sparlug_proxy::proxy::Proxy;
use sparlug_proxy::signals::SignalQueue;
use sparlug_setup::native::LogFormat;
use tracing_subscriber::EnvFilter;

use crate::{CommandError, LogFormatArgument};

/// Log options of the command line. They take precedence over `SPARLUG_LOG`, which sets the filter, and over
/// the configuration.
pub struct Logging {
    pub filter: Option<String>,
    pub format: Option<LogFormatArgument>,
}

impl Logging {
    /// Installs the global log subscriber; the arguments are the configuration's filter and format.
    pub fn init(&self, filter: Option<&str>, format: Option<LogFormat>) -> Result<(), CommandError> {
        let environment_filter = std::env::var("SPARLUG_LOG").ok();
        let filter = self.filter.as_deref().or(environment_filter.as_deref()).or(filter).unwrap_or("info");
        let invalid_filter =
            |e| CommandError::usage(format!("--log {filter:?}: {e}; expected a level or TARGET=LEVEL,..."));
        let filter = EnvFilter::try_new(filter).map_err(invalid_filter)?;
        // Without `log_internal_errors(false)`, the process panics on a failed write to the log once the
        // reader of its standard error has gone.
        let subscriber = tracing_subscriber::fmt()
            .log_internal_errors(false)
            .with_env_filter(filter)
            .with_writer(LogWriter::new)
            .with_ansi(false);
        let json = match self.format {
            Some(format) => format == LogFormatArgument::Json,
            None => format == Some(LogFormat::Json),
        };
        if json {
            subscriber.json().init();
        } else {
            subscriber.init();
        }
        Ok(())
    }
}

/// Runs the proxy until a signal stops it; without a file, `ROUTER_CONFIG` names the configuration.
pub fn serve(config: Option<PathBuf>, logging: Logging) -> Result<(), CommandError> {
    // Signal handlers are installed before anything else: a signal that arrives during startup would
    // otherwise terminate the process.
    let signals = SignalQueue::install().map_err(CommandError::failure)?;
    let source = config.map_or(ConfigSource::Environment, ConfigSource::File);
    let config = Config::read_with_retries(&source).map_err(|e| CommandError::usage(e.to_string()))?;
    logging.init(config.log.as_deref(), Some(config.log_format))?;
    log_panics();
    let proxy = Proxy::new(config, source, signals).map_err(CommandError::failure)?;
    proxy.run().map_err(|error| {
        tracing::error!(%error, "the process ends by an error");
        CommandError::failure(format!("cannot poll: {error}"))
    })
}

/// Validates the configuration and prints a one-line summary of it.
pub fn check(file: &Path) -> Result<(), CommandError> {
    let config = Config::read(&ConfigSource::File(file.to_path_buf()));
    let config = config.map_err(|e| CommandError::usage(e.to_string()))?;
    let classes = config.setup.class_names.join(", ");
    let backends = match (config.discovery, &config.initial_list) {
        (Some(agent), _) => format!("backends from the agent at {agent}"),
        (None, initial_list) => {
            format!("{} backends listed", initial_list.as_ref().map_or(0, |list| list.entries.len()))
        }
    };
    let operators =
        config.management.map(|address| format!(", operators call {address}")).unwrap_or_default();
    println!(
        "{}: usable; {} listens on {}{operators}, {backends}, tariffs {classes}",
        file.display(),
        config.name,
        config.listen
    );
    Ok(())
}
