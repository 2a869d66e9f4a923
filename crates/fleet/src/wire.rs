//! Messages between proxies: one datagram each, bounded, versioned, with their own length and checksum. A message names
//! its sender; the address that it comes from proves nothing. What can't be read is told apart, to be counted.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::duties::DutyMessage;

/// Bytes of a datagram at the most: it passes every usual link in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Goes up when a message can't be read by those of before.
pub const VERSION: u8 = 1;
/// Bytes of a name, a zone or a fleet's name at the most.
pub const NAME_MOST: usize = 64;
/// Bytes of what the decisions say to each other, at the most.
pub const WORD_MOST: usize = 256;

const MAGIC: [u8; 2] = *b"sF";
const HEAD: usize = 10; // magic, version, kind, length of the rest, checksum of all but itself
const ENTRIES_MOST: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Whether one in this state is counted among those that are there.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What is claimed of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: State,
    /// Only the member itself raises it; 0 is said by one that has not announced itself yet.
    pub incarnation: u64,
    /// Of each process its own, from when it began: two with one name are told apart by it, and the lower is the older.
    pub generation: u64,
    /// Of a suspicion: who raised it, as the low half of a life.
    pub by: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// To a member by its name: another one at that address does not answer.
    Ping {
        seq: u32,
        to: String,
    },
    Ack {
        seq: u32,
    },
    /// Asks the receiver to ping somebody.
    PingFor {
        seq: u32,
        to: String,
        address: SocketAddr,
    },
    /// The one that was to be pinged has not answered so far.
    Nack {
        seq: u32,
    },
    /// Nothing but the news that it bears.
    Gossip,
    /// A piece of the sender's whole table; where `ask` is set, the receiver's is wanted in return.
    Table {
        ask: bool,
        entries: Vec<Entry>,
    },
    /// What the decisions of one say to those of another.
    Word {
        bytes: Vec<u8>,
    },
    /// Of duties that one holds.
    Duty(DutyMessage),
}

impl Body {
    fn kind(&self) -> u8 {
        match self {
            Body::Ping { .. } => 1,
            Body::Ack { .. } => 2,
            Body::PingFor { .. } => 3,
            Body::Nack { .. } => 4,
            Body::Gossip => 5,
            Body::Table { .. } => 6,
            Body::Word { .. } => 7,
            Body::Duty(_) => 8,
        }
    }
}

const KINDS: std::ops::RangeInclusive<u8> = 1..=8;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub fleet: String,
    pub sender: Entry,
    pub body: Body,
    pub news: Vec<Entry>,
}

/// Why bytes are no message for us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Not one of these messages at all.
    Foreign,
    /// Of a version that comes after this one.
    Newer,
    /// Cut, lengthened, or with a bit turned.
    Garbled,
    /// Of a kind that this version does not know.
    UnknownKind,
    /// Its checksum is right, and what it says makes no sense.
    Senseless,
}

/// The bytes of a message. What is too long is cut by the senders: see [`room`].
pub fn encode(message: &Message) -> Vec<u8> {
    let body = postcard::to_allocvec(message).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend(MAGIC);
    bytes.extend([VERSION, message.body.kind()]);
    bytes.extend((body.len() as u16).to_le_bytes());
    bytes.extend([0; 4]);
    bytes.extend(body);
    let sum = checksum(&bytes);
    bytes[6..HEAD].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Of all but the checksum itself. (CRC-32, IEEE.)
fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..6]);
    sum.update(&bytes[HEAD..]);
    sum.finalize()
}

/// How many bytes an entry takes in a message.
pub fn size(entry: &Entry) -> usize {
    postcard::to_allocvec(entry).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// How many bytes of entries still fit into a message.
pub fn room(message: &Message) -> usize {
    MAX_DATAGRAM_BYTES.saturating_sub(encode(message).len() + 1)
}

/// Reads a message; the work is bounded by the length of a datagram.
pub fn decode(bytes: &[u8]) -> Result<Message, Bad> {
    if bytes.len() < HEAD || bytes[..2] != MAGIC {
        return Err(Bad::Foreign);
    }
    let length = usize::from(u16::from_le_bytes([bytes[4], bytes[5]]));
    let sum = u32::from_le_bytes([bytes[6], bytes[7], bytes[8], bytes[9]]);
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() != HEAD + length || sum != checksum(bytes) {
        return Err(Bad::Garbled);
    }
    // A version's head stays as it is for ever: what is newer is known to be whole.
    if bytes[2] > VERSION {
        return Err(Bad::Newer);
    }
    if bytes[2] == 0 || !KINDS.contains(&bytes[3]) {
        return Err(Bad::UnknownKind);
    }
    let (message, rest): (Message, &[u8]) =
        postcard::take_from_bytes(&bytes[HEAD..]).map_err(|_| Bad::Senseless)?;
    if !rest.is_empty() || message.body.kind() != bytes[3] || !makes_sense(&message) {
        return Err(Bad::Senseless);
    }
    Ok(message)
}

fn makes_sense(message: &Message) -> bool {
    let fits = |text: &str| !text.is_empty() && text.len() <= NAME_MOST;
    let entry = |entry: &Entry| {
        fits(&entry.name)
            && entry.zone.len() <= NAME_MOST
            && entry.address.port() != 0
            && !entry.address.ip().is_unspecified()
    };
    let body = match &message.body {
        Body::Ping { to, .. } => fits(to),
        Body::PingFor { to, address, .. } => fits(to) && address.port() != 0,
        Body::Table { entries, .. } => entries.len() <= ENTRIES_MOST && entries.iter().all(entry),
        Body::Word { bytes } => bytes.len() <= WORD_MOST,
        Body::Duty(letter) => letter.makes_sense(NAME_MOST),
        Body::Ack { .. } | Body::Nack { .. } | Body::Gossip => true,
    };
    let news = message.news.len() <= ENTRIES_MOST && message.news.iter().all(entry);
    fits(&message.fleet) && entry(&message.sender) && body && news
}

/// Cuts a table into pieces that each fit into one datagram beside what `bare` holds.
pub fn pieces(bare: &Message, entries: &[Entry]) -> Vec<Vec<Entry>> {
    let room = room(bare);
    let mut pieces = vec![Vec::new()];
    let mut left = room;
    for entry in entries {
        let size = size(entry);
        let full = size > left || pieces.last().is_some_and(|piece: &Vec<Entry>| piece.len() >= ENTRIES_MOST);
        if full {
            pieces.push(Vec::new());
            left = room;
        }
        left = left.saturating_sub(size);
        if let Some(piece) = pieces.last_mut() {
            piece.push(entry.clone());
        }
    }
    pieces
}
