//! What the proxy is told at its start: the environment names a file, the file holds all.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;
use sparlug_setup::Setup;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// The list of backends as it was last had, in discovery's form.
    pub known: Vec<u8>,
    pub setup: Setup,
}

#[derive(Deserialize)]
struct Text<'a> {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024 }
    }
}

impl Config {
    pub fn from_environment() -> Result<Config, String> {
        let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_string())?;
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        Config::decode(&text).map_err(|e| format!("{path}: {e}"))
    }

    pub fn decode(text: &[u8]) -> Result<Config, String> {
        let text: Text = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&text.seed, 16).map_err(|e| format!("seed {:?}: {e}", text.seed))?;
        let setup = sparlug_setup::decode(text.settings.get().as_bytes())?;
        let known = text.known.map(|known| known.get().as_bytes().to_vec()).unwrap_or_default();
        let (name, listen, discovery) = (text.name, text.listen, text.discovery);
        if text.limits.sockets < 32 {
            return Err(format!("limits.sockets {} leaves no room to serve", text.limits.sockets));
        }
        Ok(Config { name, listen, discovery, seed, sockets: text.limits.sockets, known, setup })
    }
}
