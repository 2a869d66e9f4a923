//! The wire format of messages between proxies. Each message is one datagram of bounded size with a version,
//! its own length and a checksum. A message names its sender; its source address proves nothing. Decoding
//! errors are distinguished so that each kind can be counted.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::duties::DutyMessage;

/// Datagrams of this size pass every common link unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Incremented when older versions can no longer read a message.
pub const PROTOCOL_VERSION: u8 = 1;
/// Limit for a member's name, a zone and a fleet's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Limit for a message between the decision modules of two members.
pub const MAX_PEER_MESSAGE_BYTES: usize = 256;

const MAGIC: [u8; 2] = *b"sF";
const HEADER_BYTES: usize = 10; // magic, version, kind, payload length, checksum of everything but itself
const MAX_RECORDS_PER_LIST: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl MemberState {
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Whether a member in this state counts as present.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// What is claimed about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: MemberState,
    /// Raised only by the member itself; 0 in messages of a member that has not announced itself yet.
    pub incarnation: u64,
    /// Unique per process and derived from its start time: it distinguishes two processes with one name, and
    /// the lower generation is the older process.
    pub generation: u64,
    /// For a suspicion: the member that raised it, as the low half of its generation.
    pub accuser: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Addressed to a member by name: another member at the same address does not answer.
    Ping {
        seq: u32,
        to: String,
    },
    Ack {
        seq: u32,
    },
    /// Asks the receiver to ping a third member (indirect probe).
    PingReq {
        seq: u32,
        to: String,
        address: SocketAddr,
    },
    /// The target of an indirect probe has not answered so far.
    Nack {
        seq: u32,
    },
    /// Carries nothing but piggybacked updates.
    Gossip,
    /// A part of the sender's full membership state; with `reply_requested`, the receiver sends its own in
    /// return.
    StateExchange {
        reply_requested: bool,
        records: Vec<MemberRecord>,
    },
    /// A message between the decision modules of two members.
    PeerMessage {
        bytes: Vec<u8>,
    },
    /// A message about leases on duties.
    Duty(DutyMessage),
}

impl Body {
    fn kind(&self) -> u8 {
        match self {
            Body::Ping { .. } => 1,
            Body::Ack { .. } => 2,
            Body::PingReq { .. } => 3,
            Body::Nack { .. } => 4,
            Body::Gossip => 5,
            Body::StateExchange { .. } => 6,
            Body::PeerMessage { .. } => 7,
            Body::Duty(_) => 8,
        }
    }
}

const KNOWN_KINDS: std::ops::RangeInclusive<u8> = 1..=8;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub fleet: String,
    pub sender: MemberRecord,
    pub body: Body,
    /// Gossip updates piggybacked on the message.
    pub updates: Vec<MemberRecord>,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Not a message of this protocol.
    Foreign,
    /// A later protocol version.
    NewerVersion,
    /// Truncated, extended or with changed bits.
    Corrupted,
    /// A message kind that this version does not know.
    UnknownKind,
    /// The checksum is correct, but the content is not a valid message.
    Invalid,
}

/// Encodes a message. Senders keep it within the size limit: see [`remaining_bytes`].
pub fn encode(message: &Message) -> Vec<u8> {
    let payload = postcard::to_allocvec(message).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend(MAGIC);
    bytes.extend([PROTOCOL_VERSION, message.body.kind()]);
    bytes.extend((payload.len() as u16).to_le_bytes());
    bytes.extend([0; 4]);
    bytes.extend(payload);
    let sum = checksum(&bytes);
    bytes[6..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// CRC-32 (IEEE) of everything but the checksum itself.
fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..6]);
    sum.update(&bytes[HEADER_BYTES..]);
    sum.finalize()
}

/// How many bytes a record takes in a message.
pub fn encoded_size(record: &MemberRecord) -> usize {
    postcard::to_allocvec(record).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// How many bytes of records still fit into a message.
pub fn remaining_bytes(message: &Message) -> usize {
    MAX_DATAGRAM_BYTES.saturating_sub(encode(message).len() + 1)
}

/// Decodes a message; the work is bounded by the length of a datagram.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() < HEADER_BYTES || bytes[..2] != MAGIC {
        return Err(DecodeError::Foreign);
    }
    let length = usize::from(u16::from_le_bytes([bytes[4], bytes[5]]));
    let sum = u32::from_le_bytes([bytes[6], bytes[7], bytes[8], bytes[9]]);
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() != HEADER_BYTES + length || sum != checksum(bytes) {
        return Err(DecodeError::Corrupted);
    }
    // The header layout is the same in all versions, so a message of a later version is known to be intact
    // here.
    if bytes[2] > PROTOCOL_VERSION {
        return Err(DecodeError::NewerVersion);
    }
    if bytes[2] == 0 || !KNOWN_KINDS.contains(&bytes[3]) {
        return Err(DecodeError::UnknownKind);
    }
    let (message, rest): (Message, &[u8]) =
        postcard::take_from_bytes(&bytes[HEADER_BYTES..]).map_err(|_| DecodeError::Invalid)?;
    if !rest.is_empty() || message.body.kind() != bytes[3] || !is_valid(&message) {
        return Err(DecodeError::Invalid);
    }
    Ok(message)
}

fn is_valid(message: &Message) -> bool {
    let valid_name = |text: &str| !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    let valid_record = |record: &MemberRecord| {
        valid_name(&record.name)
            && record.zone.len() <= MAX_NAME_BYTES
            && record.address.port() != 0
            && !record.address.ip().is_unspecified()
    };
    let valid_body = match &message.body {
        Body::Ping { to, .. } => valid_name(to),
        Body::PingReq { to, address, .. } => valid_name(to) && address.port() != 0,
        Body::StateExchange { records, .. } => {
            records.len() <= MAX_RECORDS_PER_LIST && records.iter().all(valid_record)
        }
        Body::PeerMessage { bytes } => bytes.len() <= MAX_PEER_MESSAGE_BYTES,
        Body::Duty(message) => message.is_valid(MAX_NAME_BYTES),
        Body::Ack { .. } | Body::Nack { .. } | Body::Gossip => true,
    };
    let valid_updates =
        message.updates.len() <= MAX_RECORDS_PER_LIST && message.updates.iter().all(valid_record);
    valid_name(&message.fleet) && valid_record(&message.sender) && valid_body && valid_updates
}

/// Splits records into chunks that each fit into one datagram together with the content of `envelope`.
pub fn split_records(envelope: &Message, records: &[MemberRecord]) -> Vec<Vec<MemberRecord>> {
    let capacity = remaining_bytes(envelope);
    let mut chunks = vec![Vec::new()];
    let mut bytes_left = capacity;
    for record in records {
        let size = encoded_size(record);
        let full = size > bytes_left
            || chunks.last().is_some_and(|chunk: &Vec<MemberRecord>| chunk.len() >= MAX_RECORDS_PER_LIST);
        if full {
            chunks.push(Vec::new());
            bytes_left = capacity;
        }
        bytes_left = bytes_left.saturating_sub(size);
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(record.clone());
        }
    }
    chunks
}
