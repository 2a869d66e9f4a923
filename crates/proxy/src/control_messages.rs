//! What operators ask for, and what one process says to the one that lives beside it: plain words, without the ways on
//! which they come.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::id::BackendId;

use crate::listing::HandoverList;

/// Bytes of a line at the most.
pub const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    Ready,
    Metrics,
    /// Who is there, as this proxy sees it.
    Fleet,
    /// Leave a backend out, or let it serve again.
    SetBackendDisabled {
        host: String,
        disabled: bool,
    },
    /// Not hold a duty here, or hold it again.
    SetDutyPaused {
        name: String,
        paused: bool,
    },
}

/// The name of a backend in what is said.
pub type BackendKey = ([u8; 4], u16);

pub fn backend_key(backend: BackendId) -> BackendKey {
    (backend.address, backend.port)
}

pub fn backend_id(key: BackendKey) -> BackendId {
    BackendId { address: key.0, port: key.1 }
}

/// What one process says to the other.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The first of all, from the one that was there before.
    State(HandoverState),
    #[serde(rename = "Bar")]
    SetDisabled {
        backend: BackendKey,
        #[serde(rename = "barred")]
        disabled: bool,
    },
}

/// What the next process needs to go on as this one does.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Whose versions the list's are.
    pub agent: Option<SocketAddr>,
    #[serde(rename = "barred")]
    pub disabled: Vec<BackendKey>,
    pub list: Option<HandoverList>,
}

/// The next word in what was read, taken out of it once its line is whole.
pub fn take_message(input: &mut Vec<u8>) -> Result<Option<HandoverMessage>, String> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES {
            Err("a line without an end".to_string())
        } else {
            Ok(None)
        };
    };
    let line: Vec<u8> = input.drain(..=end).collect();
    serde_json::from_slice(&line).map(Some).map_err(|e| e.to_string())
}

/// The line that says it.
pub fn encode_line(word: &HandoverMessage) -> Vec<u8> {
    let mut line = serde_json::to_vec(word).unwrap_or_default();
    line.push(b'\n');
    line
}
