//! What the proxy is told at its start: a file holds all, in the platform's JSON or in the project's own TOML.

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

use crate::http::MAX_BUFFERED_MESSAGE_BYTES;
use crate::io_failures::Cause;
use crate::listing::{self, BackendEntry, BackendList};
use crate::management::MAX_ADMIN_CONNECTIONS;
use crate::startup::retry_transient;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The agent; without one the list in the file is all there is.
    pub discovery: Option<SocketAddr>,
    /// Where operators call; without it they have nowhere to.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub budgets: Budgets,
    /// While another process lives beside it as the same proxy.
    pub overlap_budgets: Budgets,
    /// The list of backends as it was last had.
    pub initial_list: Option<BackendList>,
    pub setup: Setup,
    pub immutable: ImmutableSettings,
    pub log: Option<String>,
    pub log_format: LogFormat,
}

/// Where a configuration is read, also when it is read anew.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigSource {
    /// The file that `ROUTER_CONFIG` names.
    Environment,
    File(PathBuf),
}

/// What of a configuration can't change while the program runs.
#[derive(Debug, PartialEq)]
pub struct ImmutableSettings {
    name: String,
    listen: SocketAddr,
    setup: String,
}

#[derive(Deserialize)]
struct Text<'a> {
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

pub const RESERVED_SOCKETS: usize = 16; // for the log, the loop, signals, the listener and discovery
const OPERATORS_SOCKETS: usize = MAX_ADMIN_CONNECTIONS + 4; // where operators may call, for them and a handover besides
const OWN_MB: usize = 6; // for the program itself
const LEAST: usize = 6; // connections on either side, and messages, to serve at all

/// How many connections are kept of each kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budgets {
    /// From callers; an eighth more are accepted, and closed after their next answer.
    pub clients: usize,
    /// To backends at the least; what callers leave free comes on top.
    pub backends: usize,
    /// Of both kinds together.
    pub total: usize,
    /// To backends that may stand idle.
    pub idle: usize,
    /// Bytes of requests that are held, and again of requests that are not whole yet.
    pub buffer_bytes: usize,
}

impl Limits {
    /// The budgets, and half of them; all of them twice where a half is too little to serve.
    fn both(self, management: bool) -> Result<(Budgets, Budgets), String> {
        let half = Limits { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2 };
        let all = self.budgets(management)?;
        Ok((all, half.budgets(management).unwrap_or(all)))
    }

    fn budgets(&self, management: bool) -> Result<Budgets, String> {
        let Limits { sockets, memory_mb } = *self;
        let own = RESERVED_SOCKETS + if management { OPERATORS_SOCKETS } else { 0 };
        // Callers and their eighth have seven parts of eight: many of them say nothing, and a place is needed
        // for those that do. Connections hold next to no memory, messages do.
        let both = sockets.saturating_sub(own);
        let (clients, backends) = (both * 7 / 9, both / 8);
        let bytes = (memory_mb.saturating_sub(OWN_MB) << 20) / 4;
        if clients < LEAST || backends < LEAST || bytes < LEAST * MAX_BUFFERED_MESSAGE_BYTES {
            return Err(format!("limits of {sockets} sockets and {memory_mb} MB leave no room to serve"));
        }
        Ok(Budgets { clients, backends, total: both, idle: backends * 3 / 4, buffer_bytes: bytes })
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

/// Why a configuration could not be had.
#[derive(Debug)]
pub enum ConfigError {
    /// The file could not be read.
    Unreadable { path: PathBuf, error: io::Error },
    /// What was read is of no use; each line is one thing that is wrong.
    Invalid(String),
}

impl ConfigError {
    /// Whether the file may be of use in a moment: it could not be read, or is still being written.
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

/// What a file holds. Unlike the standard library it gives up when it is interrupted, so that nothing waits for it.
fn contents(path: &Path) -> io::Result<Vec<u8>> {
    let file = rustix::fs::open(path, OFlags::RDONLY | OFlags::CLOEXEC, Mode::empty())?;
    let (mut text, mut piece) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match rustix::io::read(&file, &mut piece)? {
            0 => return Ok(text),
            read => text.extend_from_slice(&piece[..read]),
        }
    }
}

impl Config {
    pub fn read(source: &ConfigSource) -> Result<Config, ConfigError> {
        Config::read_by(source, contents)
    }

    /// Reads the file again where that fails for a moment.
    pub fn read_with_retries(source: &ConfigSource) -> Result<Config, ConfigError> {
        Config::read_by(source, |path| retry_transient(|| contents(path)))
    }

    fn read_by(
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

    /// Decodes by the name: what ends in `.toml` is in the project's own form.
    pub fn decode_file(path: &Path, text: &[u8]) -> Result<Config, String> {
        if path.extension().is_none_or(|extension| extension != "toml") {
            return Config::decode(text).map_err(|e| format!("{}: {e}", path.display()));
        }
        let text = std::str::from_utf8(text).map_err(|e| format!("{}: {e}", path.display()))?;
        let found = native::decode(text).map_err(|faults| {
            let lines = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
            lines.collect::<Vec<_>>().join("\n")
        })?;
        Config::of_native(found).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn decode(text: &[u8]) -> Result<Config, String> {
        let text: Text = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&text.seed, 16).map_err(|e| format!("seed {:?}: {e}", text.seed))?;
        let setup = sparlug_setup::decode(text.settings.get().as_bytes())?;
        let known = text.known.map(|known| listing::decode(known.get().as_bytes(), &setup.zone_names));
        let (name, listen, discovery) = (text.name, text.listen, Some(text.discovery));
        let management = text.management.or_else(|| std::env::var("ROUTER_MANAGEMENT").ok()?.parse().ok());
        let (known, (budgets, halved)) = (known.transpose()?, text.limits.both(management.is_some())?);
        let fixed = ImmutableSettings::of(&name, listen, &setup);
        let (log, log_format) = (None, LogFormat::Text);
        Ok(Config {
            name,
            listen,
            discovery,
            management,
            seed,
            budgets,
            overlap_budgets: halved,
            initial_list: known,
            setup,
            immutable: fixed,
            log,
            log_format,
        })
    }

    fn of_native(found: NativeConfig) -> Result<Config, String> {
        let NativeConfig {
            name,
            listen,
            management,
            seed,
            sockets,
            memory_mb,
            log,
            log_format,
            backend_source: directory,
            setup,
        } = found;
        let (budgets, halved) = Limits { sockets, memory_mb }.both(management.is_some())?;
        // Without a seed, each start has one of its own.
        let drawn = || std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let seed = seed.unwrap_or_else(|| drawn().as_nanos() as u64 ^ u64::from(std::process::id()) << 32);
        let (discovery, known) = match directory {
            BackendSource::Agent(agent) => (Some(agent), None),
            BackendSource::Static(backends) => {
                let entries = backends.into_iter().map(entry).collect();
                (None, Some(BackendList { version: 0, full: true, entries }))
            }
        };
        let fixed = ImmutableSettings::of(&name, listen, &setup);
        Ok(Config {
            name,
            listen,
            discovery,
            management,
            seed,
            budgets,
            overlap_budgets: halved,
            initial_list: known,
            setup,
            immutable: fixed,
            log,
            log_format,
        })
    }
}

impl ImmutableSettings {
    fn of(name: &str, listen: SocketAddr, setup: &Setup) -> ImmutableSettings {
        ImmutableSettings { name: name.to_string(), listen, setup: format!("{setup:?}") }
    }
}

fn entry(backend: native::Backend) -> BackendEntry {
    let listing = Listing {
        backend: listing::backend_id(&backend.name),
        zone: ZoneId(backend.zone.map_or(u16::MAX, |zone| zone as u16)),
        pod: PodId(0),
        condition: if backend.draining { Condition::Draining } else { Condition::Ready },
        started: None,
        size: backend.size,
    };
    BackendEntry { host: backend.name, address: backend.address, listed_start: None, listing }
}
