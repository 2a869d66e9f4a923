//! Finds the end of an HTTP message body, incrementally and without changing its bytes.

use httparse::Status;

/// Largest request or response body that is forwarded, without its framing.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
const MAX_CHUNK_LINE_BYTES: u32 = 256; // a chunk's size and its extensions
const MAX_TRAILER_BYTES: u32 = 16 * 1024;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    Version,
    Method,
}

impl HttpError {
    /// The status of the response that tells the client of the error.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::Version => 505,
            HttpError::Method => 405,
        }
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParseState {
    /// The data of the body or of a chunk, with this many bytes left.
    Data(u64),
    /// The data of a body that ends when the connection closes.
    UntilClose,
    /// A chunk's size: its value so far, and the number of digits.
    ChunkSize(u64, u32),
    /// A chunk's extensions: the chunk's size, and the bytes of the line so far.
    ChunkExtension(u64, u32),
    /// The line feed after a chunk's size.
    ChunkSizeEnd(u64),
    /// The CR or LF after a chunk's data; holds the one that is expected.
    ChunkDataEnd(u8),
    /// The trailer: bytes of the current line so far, and of all lines.
    Trailer(u32, u32),
    /// The line feed of a trailer line.
    TrailerEnd(u32, u32),
    /// The body is complete.
    Done,
}

/// Parser of a body that is being received.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    framing: Framing,
    state: ParseState,
    /// How many of the buffered bytes were parsed.
    parsed: usize,
    /// The body's length without its framing, as far as it is known.
    size: u64,
}

impl Body {
    pub fn new(framing: Framing) -> Body {
        let (state, size) = match framing {
            Framing::Length(0) => (ParseState::Done, 0),
            Framing::Length(length) => (ParseState::Data(length), length),
            Framing::Chunked => (ParseState::ChunkSize(0, 0), 0),
            Framing::UntilClose => (ParseState::UntilClose, 0),
        };
        Body { framing, state, parsed: 0, size }
    }

    pub fn ends_at_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    pub fn has_length(&self) -> bool {
        matches!(self.framing, Framing::Length(_))
    }

    pub fn is_complete(&self) -> bool {
        self.state == ParseState::Done
    }

    /// The body's length without its framing, as far as it is known.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// How many bytes of a body whose length is known were not parsed yet.
    pub fn missing_bytes(&self) -> Option<u64> {
        match (self.framing, self.state) {
            (Framing::Length(_), ParseState::Data(left)) => Some(left),
            _ => None,
        }
    }

    /// How many of the buffered bytes belong to the body, of those that were parsed.
    pub fn parsed_len(&self) -> usize {
        self.parsed
    }

    /// Parses `bytes`, all of the body's bytes so far, of which earlier calls may have seen the first part.
    /// Returns the number of bytes that belong to the body once it is complete. `ended` tells that the
    /// connection has closed; a body larger than `max_size` is an error.
    pub fn parse_buffered(
        &mut self,
        bytes: &[u8],
        ended: bool,
        max_size: usize,
    ) -> Result<Option<usize>, HttpError> {
        self.parsed += self.parse(bytes.get(self.parsed..).unwrap_or_default())?;
        if self.size > max_size as u64 {
            return Err(HttpError::BodyTooLarge);
        }
        if ended && self.state == ParseState::UntilClose {
            self.state = ParseState::Done;
        }
        Ok(self.is_complete().then_some(self.parsed))
    }

    /// Parses the next bytes and returns how many of them belong to the body.
    pub fn parse(&mut self, bytes: &[u8]) -> Result<usize, HttpError> {
        let mut at = 0;
        while at < bytes.len() {
            let (rest, byte) = ((bytes.len() - at) as u64, bytes[at]);
            match self.state {
                ParseState::Done => break,
                ParseState::UntilClose => {
                    self.size += rest;
                    if self.size > MAX_BODY_BYTES {
                        return Err(HttpError::BodyTooLarge);
                    }
                    return Ok(bytes.len());
                }
                ParseState::Data(left) => {
                    at += rest.min(left) as usize;
                    self.state = match (left.checked_sub(rest).filter(|left| *left > 0), self.framing) {
                        (Some(left), _) => ParseState::Data(left),
                        (None, Framing::Chunked) => ParseState::ChunkDataEnd(b'\r'),
                        (None, _) => ParseState::Done,
                    };
                }
                state => {
                    self.state = self.next_state(state, byte)?;
                    at += 1;
                }
            }
        }
        Ok(at)
    }

    /// The state after one byte of chunk framing.
    fn next_state(&mut self, state: ParseState, byte: u8) -> Result<ParseState, HttpError> {
        Ok(match (state, byte) {
            (ParseState::ChunkSize(size, digits), _) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16).unwrap_or_default();
                // A size that overflows would wrap round to a smaller one.
                let size = size.checked_mul(16).ok_or(HttpError::BodyTooLarge)? + u64::from(digit);
                if digits >= 16 {
                    return Err(HttpError::Malformed);
                }
                ParseState::ChunkSize(size, digits + 1)
            }
            (ParseState::ChunkSize(_, 0), _) => return Err(HttpError::Malformed),
            (ParseState::ChunkSize(size, _), b'\r') => ParseState::ChunkSizeEnd(size),
            (ParseState::ChunkSize(size, digits), b';' | b' ' | b'\t') => {
                ParseState::ChunkExtension(size, digits + 1)
            }
            (ParseState::ChunkExtension(size, _), b'\r') => ParseState::ChunkSizeEnd(size),
            (ParseState::ChunkExtension(size, length), _)
                if length < MAX_CHUNK_LINE_BYTES && (byte == b'\t' || byte >= b' ') =>
            {
                ParseState::ChunkExtension(size, length + 1)
            }
            (ParseState::ChunkSizeEnd(0), b'\n') => ParseState::Trailer(0, 0),
            (ParseState::ChunkSizeEnd(size), b'\n') => {
                self.size = self.size.saturating_add(size);
                if self.size > MAX_BODY_BYTES {
                    return Err(HttpError::BodyTooLarge);
                }
                ParseState::Data(size)
            }
            (ParseState::ChunkDataEnd(b'\r'), b'\r') => ParseState::ChunkDataEnd(b'\n'),
            (ParseState::ChunkDataEnd(b'\n'), b'\n') => ParseState::ChunkSize(0, 0),
            (ParseState::Trailer(_, total), _) if total > MAX_TRAILER_BYTES => {
                return Err(HttpError::HeadTooLarge)
            }
            (ParseState::Trailer(line, total), b'\r') => ParseState::TrailerEnd(line, total + 1),
            (ParseState::Trailer(line, total), _) if byte != b'\n' => {
                ParseState::Trailer(line + 1, total + 1)
            }
            (ParseState::TrailerEnd(0, _), b'\n') => ParseState::Done,
            (ParseState::TrailerEnd(_, total), b'\n') => ParseState::Trailer(0, total + 1),
            _ => return Err(HttpError::Malformed),
        })
    }

    /// The content of a complete body, without its framing.
    pub fn decode(&self, bytes: &[u8]) -> Vec<u8> {
        if self.framing != Framing::Chunked {
            return bytes.to_vec();
        }
        let (mut content, mut at) = (Vec::new(), 0);
        while let Ok(Status::Complete((line, size))) = httparse::parse_chunk_size(&bytes[at..]) {
            let (start, size) = (at + line, size as usize);
            match bytes.get(start..start + size) {
                Some(chunk) if size > 0 => content.extend_from_slice(chunk),
                _ => break,
            }
            at = start + size + 2;
        }
        content
    }
}
