//! Requests from operators, and the messages between two processes of an upgrade with their JSON encoding.
//! The connections that carry them are in `management` and `handover`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::id::BackendId;

use crate::address_claims::HandoverClaim;
use crate::list_history::HandoverHistory;
use crate::listing::HandoverList;

/// The longest line that is accepted.
pub const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// A request from an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    Ready,
    Metrics,
    /// Show the fleet's members as this proxy sees them.
    Fleet,
    /// Disable or enable a backend.
    SetBackendDisabled {
        host: String,
        disabled: bool,
    },
    /// Pause or resume a duty on this proxy.
    SetDutyPaused {
        name: String,
        paused: bool,
    },
}

/// A backend's id, as it is encoded in handover messages.
pub type BackendKey = ([u8; 4], u16);

pub fn backend_key(backend: BackendId) -> BackendKey {
    (backend.address, backend.port)
}

pub fn backend_id(key: BackendKey) -> BackendId {
    BackendId { address: key.0, port: key.1 }
}

/// A message between two processes of an upgrade.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The first message, from the old process.
    State(HandoverState),
    #[serde(rename = "Bar")]
    SetDisabled {
        backend: BackendKey,
        #[serde(rename = "barred")]
        disabled: bool,
    },
}

/// What the successor needs to continue where its predecessor stands.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The agent that the list and its version come from.
    pub agent: Option<SocketAddr>,
    #[serde(rename = "barred")]
    pub disabled: Vec<BackendKey>,
    pub list: Option<HandoverList>,
    /// What discovery said of backends that are not on the list; empty from older versions of the program.
    #[serde(default)]
    pub history: HandoverHistory,
    /// Backends that lists name and that are not used, since another one has their address; empty from older versions.
    #[serde(default)]
    pub displaced: Vec<HandoverClaim>,
    /// Hashes of the ids of at-most-once requests that were accepted lately; empty from older versions.
    #[serde(default)]
    pub request_ids: Vec<u64>,
}

/// Removes the next message from `input`, once its line is complete.
pub fn take_message(input: &mut Vec<u8>) -> Result<Option<HandoverMessage>, String> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES { Err("line too long".to_string()) } else { Ok(None) };
    };
    let line: Vec<u8> = input.drain(..=end).collect();
    serde_json::from_slice(&line).map(Some).map_err(|e| e.to_string())
}

/// Encodes a message as a line.
pub fn encode_line(message: &HandoverMessage) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}
