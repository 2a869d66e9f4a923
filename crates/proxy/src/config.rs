//! The proxy's configuration: one file, in the platform's JSON or in the project's own TOML.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use rustix::fs::{Mode, OFlags};
use serde::Deserialize;
use serde_json::value::RawValue;
use sparlug::event::{Condition, Listing};
use sparlug::id::{PodId, ZoneId};
use sparlug_setup::native::{self, BackendSource, LogFormat, NativeConfig};
use sparlug_setup::Setup;

use crate::connection_budget::ConnectionBudget;
use crate::http::MAX_BUFFERED_MESSAGE_BYTES;
use crate::io_failures::Cause;
use crate::listing::{self, BackendEntry, BackendList};
use crate::management::MAX_ADMIN_CONNECTIONS;
use crate::process_usage::descriptor_capacity;
use crate::startup::retry_transient;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The discovery agent; without one, the list in the file is the only source of backends.
    pub discovery: Option<SocketAddr>,
    /// The address of the management endpoint; without one there is no endpoint.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub budgets: Budgets,
    /// The budgets during an upgrade, while the old and the new process both run.
    pub overlap_budgets: Budgets,
    /// The list of backends to start with.
    pub initial_list: Option<BackendList>,
    pub setup: Setup,
    pub immutable: ImmutableSettings,
    /// The filter of the log.
    pub log: Option<String>,
    pub log_format: LogFormat,
}

/// Where the configuration is read from, also on a reload.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigSource {
    /// The file that `ROUTER_CONFIG` names.
    Environment,
    File(PathBuf),
}

/// The part of a configuration that cannot change without a restart.
#[derive(Debug, PartialEq)]
pub struct ImmutableSettings {
    name: String,
    listen: SocketAddr,
    setup: String,
}

#[derive(Deserialize)]
struct RawConfig<'a> {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    management: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// Descriptors for the log, the event loop, signals, the listener, the configuration's file, and discovery
/// (`RESERVED_DISCOVERY_SOCKETS`).
pub const RESERVED_SOCKETS: usize = 16;
/// Connections of discovery that the reserved descriptors are for; during an outage it has more.
pub const RESERVED_DISCOVERY_SOCKETS: usize = 4;
/// Sockets for the management endpoint, its connections and a handover, where management is configured.
const MANAGEMENT_SOCKETS: usize = MAX_ADMIN_CONNECTIONS + 4;
const RESERVED_MB: usize = 6; // for the program itself
/// The part of the other memory that the heap may hold, as a fraction. Gaps between allocations take the rest.
const HEAP_SHARE: (usize, usize) = (1, 2);
/// The fewest connections to either side with which the proxy can serve.
const MIN_BUDGET: usize = 6;
/// The heap has to have room for this many of the longest buffered messages.
const MIN_HEAP_MESSAGES: usize = 12;

/// Limits of connections and memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budgets {
    /// Connections from clients. One eighth more are accepted, and closed after their next response.
    pub clients: usize,
    /// Connections to backends that are always available; those that clients don't use come on top.
    pub backends: usize,
    /// Connections to clients and backends together.
    pub total: usize,
    /// Descriptors for everything else.
    pub reserved: usize,
    /// Idle connections to backends.
    pub idle: usize,
    /// The most that the heap may hold. The rest of the memory is for the program itself and for what the allocator
    /// holds beyond it.
    pub heap_bytes: usize,
}

impl Budgets {
    /// Sets the limits of the account of connections, or what the system lets the process have if that is less.
    pub fn apply_to(&self, connections: &mut ConnectionBudget) {
        connections.set_limits(self.total.min(descriptor_capacity(self.reserved)), self.backends);
    }
}

impl Limits {
    /// The budgets of a single process and those of one of two processes during an upgrade, from half the
    /// limits. Both are the full budgets if half is too little to serve.
    fn single_and_overlap_budgets(self, management: bool) -> Result<(Budgets, Budgets), String> {
        let half = Limits { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2 };
        let full = self.budgets(management)?;
        Ok((full, half.budgets(management).unwrap_or(full)))
    }

    fn budgets(&self, management: bool) -> Result<Budgets, String> {
        let Limits { sockets, memory_mb } = *self;
        let reserved = RESERVED_SOCKETS + if management { MANAGEMENT_SOCKETS } else { 0 };
        // Clients, with the eighth on top, get seven eighths: many of them are idle, and those that send
        // requests need connections too. Connections take almost no memory, but messages do.
        let total = sockets.saturating_sub(reserved);
        let (clients, backends) = (total * 7 / 9, total / 8);
        let heap_bytes = (memory_mb.saturating_sub(RESERVED_MB) << 20) / HEAP_SHARE.1 * HEAP_SHARE.0;
        if clients < MIN_BUDGET
            || backends < MIN_BUDGET
            || heap_bytes < MIN_HEAP_MESSAGES * MAX_BUFFERED_MESSAGE_BYTES
        {
            return Err(format!(
                "limits of {sockets} sockets and {memory_mb} MB are too low to serve requests"
            ));
        }
        Ok(Budgets { clients, backends, total, reserved, idle: backends * 3 / 4, heap_bytes })
    }
}

impl ConfigSource {
    fn path(&self) -> Result<PathBuf, String> {
        match self {
            ConfigSource::File(path) => Ok(path.clone()),
            ConfigSource::Environment => {
                let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
                Ok(PathBuf::from(path))
            }
        }
    }
}

/// Why a configuration could not be loaded.
#[derive(Debug)]
pub enum ConfigError {
    /// The file could not be read.
    Unreadable { path: PathBuf, error: io::Error },
    /// The configuration is invalid; one error on each line of the text.
    Invalid(String),
}

impl ConfigError {
    /// Whether a later attempt may succeed: reading failed for a transient reason, or the file may still be
    /// being written.
    pub fn is_transient(&self) -> bool {
        match self {
            ConfigError::Unreadable { error, .. } => Cause::of(error).is_retryable(),
            ConfigError::Invalid(_) => true,
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable { path, error } => write!(f, "cannot read {}: {error}", path.display()),
            ConfigError::Invalid(why) => write!(f, "{why}"),
        }
    }
}

/// Reads a file. Unlike the standard library, it returns an error when it is interrupted (EINTR) instead of
/// retrying, so that nothing has to wait for it.
fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let file = rustix::fs::open(path, OFlags::RDONLY | OFlags::CLOEXEC, Mode::empty())?;
    let (mut text, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match rustix::io::read(&file, &mut chunk)? {
            0 => return Ok(text),
            read => text.extend_from_slice(&chunk[..read]),
        }
    }
}

impl Config {
    pub fn read(source: &ConfigSource) -> Result<Config, ConfigError> {
        Config::read_using(source, read_file)
    }

    /// Reads the configuration at startup, retrying transient failures.
    pub fn read_with_retries(source: &ConfigSource) -> Result<Config, ConfigError> {
        Config::read_using(source, |path| retry_transient(|| read_file(path)))
    }

    fn read_using(
        source: &ConfigSource,
        read: impl Fn(&Path) -> io::Result<Vec<u8>>,
    ) -> Result<Config, ConfigError> {
        let path = source.path().map_err(ConfigError::Invalid)?;
        let text = match read(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        Config::decode_file(&path, &text).map_err(ConfigError::Invalid)
    }

    /// Decodes a file whose name ends in `.toml` as the project's own format, any other as the platform's
    /// JSON.
    pub fn decode_file(path: &Path, text: &[u8]) -> Result<Config, String> {
        if path.extension().is_none_or(|extension| extension != "toml") {
            return Config::decode(text).map_err(|e| format!("{}: {e}", path.display()));
        }
        let text = std::str::from_utf8(text).map_err(|e| format!("{}: {e}", path.display()))?;
        let native = native::decode(text).map_err(|diagnostics| {
            let lines = diagnostics.iter().map(|diagnostic| format!("{}:{diagnostic}", path.display()));
            lines.collect::<Vec<_>>().join("\n")
        })?;
        Config::from_native(native).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Decodes the platform's JSON.
    pub fn decode(text: &[u8]) -> Result<Config, String> {
        let raw: RawConfig = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|e| format!("seed {:?}: {e}", raw.seed))?;
        let setup = sparlug_setup::decode(raw.settings.get().as_bytes())?;
        let initial_list = raw.known.map(|known| listing::decode(known.get().as_bytes(), &setup.zone_names));
        let (name, listen, discovery) = (raw.name, raw.listen, Some(raw.discovery));
        let management = raw.management.or_else(|| std::env::var("ROUTER_MANAGEMENT").ok()?.parse().ok());
        let (initial_list, (budgets, overlap_budgets)) =
            (initial_list.transpose()?, raw.limits.single_and_overlap_budgets(management.is_some())?);
        let immutable = ImmutableSettings::new(&name, listen, &setup);
        let (log, log_format) = (None, LogFormat::Text);
        Ok(Config {
            name,
            listen,
            discovery,
            management,
            seed,
            budgets,
            overlap_budgets,
            initial_list,
            setup,
            immutable,
            log,
            log_format,
        })
    }

    fn from_native(native: NativeConfig) -> Result<Config, String> {
        let NativeConfig {
            name,
            listen,
            management,
            seed,
            sockets,
            memory_mb,
            log,
            log_format,
            backend_source,
            setup,
        } = native;
        let (budgets, overlap_budgets) =
            Limits { sockets, memory_mb }.single_and_overlap_budgets(management.is_some())?;
        // Without a configured seed, each start draws its own from the clock and the process id.
        let since_epoch =
            || std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let seed =
            seed.unwrap_or_else(|| since_epoch().as_nanos() as u64 ^ u64::from(std::process::id()) << 32);
        let (discovery, initial_list) = match backend_source {
            BackendSource::Agent(agent) => (Some(agent), None),
            BackendSource::Static(backends) => {
                let entries = backends.into_iter().map(backend_entry).collect();
                (None, Some(BackendList { version: 0, full: true, entries }))
            }
        };
        let immutable = ImmutableSettings::new(&name, listen, &setup);
        Ok(Config {
            name,
            listen,
            discovery,
            management,
            seed,
            budgets,
            overlap_budgets,
            initial_list,
            setup,
            immutable,
            log,
            log_format,
        })
    }
}

impl ImmutableSettings {
    fn new(name: &str, listen: SocketAddr, setup: &Setup) -> ImmutableSettings {
        ImmutableSettings { name: name.to_string(), listen, setup: format!("{setup:?}") }
    }
}

fn backend_entry(backend: native::Backend) -> BackendEntry {
    let listing = Listing {
        backend: listing::backend_id(&backend.name),
        zone: ZoneId(backend.zone.map_or(u16::MAX, |zone| zone as u16)),
        pod: PodId(0),
        condition: if backend.draining { Condition::Draining } else { Condition::Ready },
        started: None,
        size: backend.size,
    };
    BackendEntry {
        host: backend.name,
        address: backend.address,
        listed_start: None,
        start_stated: false,
        listing,
    }
}
