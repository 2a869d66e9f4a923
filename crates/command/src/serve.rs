//! `sparlug serve` and `sparlug check`: the proxy, and a look at its configuration.

use std::path::{Path, PathBuf};

use sparlug_proxy::config::{Config, ConfigSource};
use sparlug_proxy::logging::LogWriter;
use sparlug_proxy::proxy::Proxy;
use sparlug_proxy::signals::SignalQueue;
use sparlug_setup::native::LogFormat;
use tracing_subscriber::EnvFilter;

use crate::{Failed, Format};

/// What the command line says of the log; a configuration may say it too, and the command line goes first.
pub struct Logging {
    pub filter: Option<String>,
    pub format: Option<Format>,
}

impl Logging {
    pub fn start(&self, filter: Option<&str>, format: Option<LogFormat>) -> Result<(), Failed> {
        let from_environment = std::env::var("SPARLUG_LOG").ok();
        let filter = self.filter.as_deref().or(from_environment.as_deref()).or(filter).unwrap_or("info");
        let wanted =
            |e| Failed::unusable(format!("--log {filter:?}: {e}; wanted a level or TARGET=LEVEL,..."));
        let filter = EnvFilter::try_new(filter).map_err(wanted)?;
        // Guards against a crash when nobody reads the log any more.
        let log = tracing_subscriber::fmt()
            .log_internal_errors(false)
            .with_env_filter(filter)
            .with_writer(LogWriter::new)
            .with_ansi(false);
        let json = match self.format {
            Some(format) => format == Format::Json,
            None => format == Some(LogFormat::Json),
        };
        if json {
            log.json().init();
        } else {
            log.init();
        }
        Ok(())
    }
}

pub fn serve(config: Option<PathBuf>, log: Logging) -> Result<(), Failed> {
    // First of all: guards against a signal that comes before the program is up and ends it.
    let signals = SignalQueue::install().map_err(Failed::could_not)?;
    let source = config.map_or(ConfigSource::Environment, ConfigSource::File);
    let config = Config::read_with_retries(&source).map_err(|e| Failed::unusable(e.to_string()))?;
    log.start(config.log.as_deref(), Some(config.log_format))?;
    let proxy = Proxy::new(config, source, signals).map_err(Failed::could_not)?;
    proxy.run().map_err(|e| Failed::could_not(format!("cannot poll: {e}")))
}

pub fn check(file: &Path) -> Result<(), Failed> {
    let config = Config::read(&ConfigSource::File(file.to_path_buf()));
    let config = config.map_err(|e| Failed::unusable(e.to_string()))?;
    let classes = config.setup.class_names.join(", ");
    let list = match (config.discovery, &config.initial_list) {
        (Some(agent), _) => format!("backends from the agent at {agent}"),
        (None, known) => format!("{} backends listed", known.as_ref().map_or(0, |list| list.entries.len())),
    };
    let operators = config.management.map(|at| format!(", operators call {at}")).unwrap_or_default();
    println!(
        "{}: usable; {} listens on {}{operators}, {list}, tariffs {classes}",
        file.display(),
        config.name,
        config.listen
    );
    Ok(())
}
