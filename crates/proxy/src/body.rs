//! Where the body of a message ends, found from pieces of any size. Its bytes are looked at and never changed.

use httparse::Status;

/// The largest body, without its framing, that is passed on in either direction.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
const LINE_MOST: u32 = 256; // of a chunk's size and extensions
const TRAILER_MOST: u32 = 16 * 1024;

/// Why a message can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    Version,
    Method,
}

impl HttpError {
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

/// How far a body reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

/// What the next byte is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// One of so many that are left, of the body or of a chunk.
    Plain(u64),
    /// The connection's end is the body's.
    UntilClose,
    /// Of a chunk's size, which so far is this, in so many digits.
    Size(u64, u32),
    /// Of what may follow a size, after so many bytes of the line.
    Extension(u64, u32),
    /// The line feed behind a chunk's size.
    SizeEnd(u64),
    /// The two bytes behind a chunk.
    ChunkEnd(u8),
    /// Of the trailer: bytes of this line so far, and of all lines.
    Trailer(u32, u32),
    /// The line feed of a line of the trailer.
    TrailerEnd(u32, u32),
    Nothing,
}

/// A body that is coming in.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    framing: Framing,
    next: Next,
    /// How much of what is at hand was looked at.
    at: usize,
    /// How long it is as far as is known, without its framing.
    size: u64,
}

impl Body {
    pub fn new(framing: Framing) -> Body {
        let (next, size) = match framing {
            Framing::Length(0) => (Next::Nothing, 0),
            Framing::Length(length) => (Next::Plain(length), length),
            Framing::Chunked => (Next::Size(0, 0), 0),
            Framing::UntilClose => (Next::UntilClose, 0),
        };
        Body { framing, next, at: 0, size }
    }

    pub fn ends_at_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    pub fn has_length(&self) -> bool {
        matches!(self.framing, Framing::Length(_))
    }

    pub fn is_complete(&self) -> bool {
        self.next == Next::Nothing
    }

    /// How long it is as far as is known.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// How many of the bytes at hand belong to it, of those that were looked at.
    pub fn parsed_len(&self) -> usize {
        self.at
    }

    /// Looks at all of the body's bytes so far; how many belong to it once it is whole. `most` bounds its size.
    pub fn parse_buffered(
        &mut self,
        bytes: &[u8],
        ended: bool,
        most: usize,
    ) -> Result<Option<usize>, HttpError> {
        self.at += self.parse(bytes.get(self.at..).unwrap_or_default())?;
        if self.size > most as u64 {
            return Err(HttpError::BodyTooLarge);
        }
        if ended && self.next == Next::UntilClose {
            self.next = Next::Nothing;
        }
        Ok(self.is_complete().then_some(self.at))
    }

    /// Looks at the next bytes of the body; how many of them belong to it.
    pub fn parse(&mut self, bytes: &[u8]) -> Result<usize, HttpError> {
        let mut at = 0;
        while at < bytes.len() {
            let (rest, byte) = ((bytes.len() - at) as u64, bytes[at]);
            match self.next {
                Next::Nothing => break,
                Next::UntilClose => {
                    self.size += rest;
                    if self.size > MAX_BODY_BYTES {
                        return Err(HttpError::BodyTooLarge);
                    }
                    return Ok(bytes.len());
                }
                Next::Plain(left) => {
                    at += rest.min(left) as usize;
                    self.next = match (left.checked_sub(rest).filter(|left| *left > 0), self.framing) {
                        (Some(left), _) => Next::Plain(left),
                        (None, Framing::Chunked) => Next::ChunkEnd(b'\r'),
                        (None, _) => Next::Nothing,
                    };
                }
                framing => {
                    self.next = self.framing_byte(framing, byte)?;
                    at += 1;
                }
            }
        }
        Ok(at)
    }

    /// What follows a byte of the chunks' own framing.
    fn framing_byte(&mut self, next: Next, byte: u8) -> Result<Next, HttpError> {
        Ok(match (next, byte) {
            (Next::Size(size, digits), _) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16).unwrap_or_default();
                // Guards against a size that wraps round to another one.
                let size = size.checked_mul(16).ok_or(HttpError::BodyTooLarge)? + u64::from(digit);
                if digits >= 16 {
                    return Err(HttpError::Malformed);
                }
                Next::Size(size, digits + 1)
            }
            (Next::Size(_, 0), _) => return Err(HttpError::Malformed),
            (Next::Size(size, _), b'\r') => Next::SizeEnd(size),
            (Next::Size(size, digits), b';' | b' ' | b'\t') => Next::Extension(size, digits + 1),
            (Next::Extension(size, _), b'\r') => Next::SizeEnd(size),
            (Next::Extension(size, length), _) if length < LINE_MOST && (byte == b'\t' || byte >= b' ') => {
                Next::Extension(size, length + 1)
            }
            (Next::SizeEnd(0), b'\n') => Next::Trailer(0, 0),
            (Next::SizeEnd(size), b'\n') => {
                self.size = self.size.saturating_add(size);
                if self.size > MAX_BODY_BYTES {
                    return Err(HttpError::BodyTooLarge);
                }
                Next::Plain(size)
            }
            (Next::ChunkEnd(b'\r'), b'\r') => Next::ChunkEnd(b'\n'),
            (Next::ChunkEnd(b'\n'), b'\n') => Next::Size(0, 0),
            (Next::Trailer(_, all), _) if all > TRAILER_MOST => return Err(HttpError::HeadTooLarge),
            (Next::Trailer(line, all), b'\r') => Next::TrailerEnd(line, all + 1),
            (Next::Trailer(line, all), _) if byte != b'\n' => Next::Trailer(line + 1, all + 1),
            (Next::TrailerEnd(0, _), b'\n') => Next::Nothing,
            (Next::TrailerEnd(_, all), b'\n') => Next::Trailer(0, all + 1),
            _ => return Err(HttpError::Malformed),
        })
    }

    /// The body of a whole message without its framing.
    pub fn decode(&self, bytes: &[u8]) -> Vec<u8> {
        if self.framing != Framing::Chunked {
            return bytes.to_vec();
        }
        let (mut plain, mut at) = (Vec::new(), 0);
        while let Ok(Status::Complete((line, size))) = httparse::parse_chunk_size(&bytes[at..]) {
            let (start, size) = (at + line, size as usize);
            match bytes.get(start..start + size) {
                Some(chunk) if size > 0 => plain.extend_from_slice(chunk),
                _ => break,
            }
            at = start + size + 2;
        }
        plain
    }
}
