//! What operators ask for, and what one process says to the one that lives beside it: plain words, without the ways on
//! which they come.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparlug::id::BackendId;

use crate::listing::Handed;

/// Bytes of a line at the most.
pub const LINE_MOST: usize = 4 * 1024 * 1024;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Metrics,
    /// Who is there, as this proxy sees it.
    Fleet,
    /// Leave a backend out, or let it serve again.
    Bar {
        host: String,
        barred: bool,
    },
    /// Not hold a duty here, or hold it again.
    Duty {
        name: String,
        paused: bool,
    },
}

/// The name of a backend in what is said.
pub type Named = ([u8; 4], u16);

pub fn named(backend: BackendId) -> Named {
    (backend.address, backend.port)
}

pub fn backend(named: Named) -> BackendId {
    BackendId { address: named.0, port: named.1 }
}

/// What one process says to the other.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// The first of all, from the one that was there before.
    State(State),
    Bar {
        backend: Named,
        barred: bool,
    },
}

/// What the next process needs to go on as this one does.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Whose versions the list's are.
    pub agent: Option<SocketAddr>,
    pub barred: Vec<Named>,
    pub list: Option<Handed>,
}

/// The next word in what was read, taken out of it once its line is whole.
pub fn next(input: &mut Vec<u8>) -> Result<Option<Word>, String> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > LINE_MOST { Err("a line without an end".to_string()) } else { Ok(None) };
    };
    let line: Vec<u8> = input.drain(..=end).collect();
    serde_json::from_slice(&line).map(Some).map_err(|e| e.to_string())
}

/// The line that says it.
pub fn line(word: &Word) -> Vec<u8> {
    let mut line = serde_json::to_vec(word).unwrap_or_default();
    line.push(b'\n');
    line
}
