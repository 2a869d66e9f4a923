//! HTTP/1.1 framing. Heads and bodies are kept as the bytes that came; only what the decisions and the
//! framing need is taken out, and of the rest only the lines that concern one connection are left out.

use std::ops::Range;

use httparse::{Header, Status, EMPTY_HEADER};
use sparlug::event::Load;
use sparlug::time::Span;

pub const HEAD_MOST: usize = 16 * 1024;
pub const BODY_MOST: usize = 64 * 1024;
/// A head, a body, and what the framing of the body may take besides.
pub const MESSAGE_MOST: usize = HEAD_MOST + BODY_MOST + HEAD_MOST;
const HEADERS: usize = 100;

/// Why a message can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    Version,
    Method,
}

impl Bad {
    pub fn status(self) -> u16 {
        match self {
            Bad::Malformed => 400,
            Bad::HeadTooLarge => 431,
            Bad::BodyTooLarge => 413,
            Bad::Version => 505,
            Bad::Method => 405,
        }
    }
}

/// How far a body reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    ToEnd,
}

/// A body that is coming in: its framing, and how much of it was looked at.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    framing: Framing,
    at: usize,
    size: usize,
}

impl Body {
    fn new(framing: Framing) -> Body {
        Body { framing, at: 0, size: 0 }
    }

    pub fn lasts_to_end(&self) -> bool {
        self.framing == Framing::ToEnd
    }

    /// Looks at the body's bytes so far; how many belong to it once it is whole. `most` bounds its size.
    pub fn whole(&mut self, bytes: &[u8], ended: bool, most: usize) -> Result<Option<usize>, Bad> {
        match self.framing {
            Framing::Length(length) if length > most => Err(Bad::BodyTooLarge),
            Framing::Length(length) => Ok((bytes.len() >= length).then_some(length)),
            Framing::ToEnd if bytes.len() > most => Err(Bad::BodyTooLarge),
            Framing::ToEnd => Ok(ended.then_some(bytes.len())),
            Framing::Chunked => self.chunks(bytes, most),
        }
    }

    /// The body without its framing.
    pub fn plain(&self, bytes: &[u8]) -> Vec<u8> {
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

    fn chunks(&mut self, bytes: &[u8], most: usize) -> Result<Option<usize>, Bad> {
        loop {
            let rest = bytes.get(self.at..).unwrap_or_default();
            let (line, size) = match httparse::parse_chunk_size(rest) {
                Ok(Status::Complete(found)) => found,
                Ok(Status::Partial) if rest.len() > 256 => return Err(Bad::Malformed),
                Ok(Status::Partial) => return Ok(None),
                Err(_) => return Err(Bad::Malformed),
            };
            let size = usize::try_from(size).map_err(|_| Bad::BodyTooLarge)?;
            if self.size.saturating_add(size) > most {
                return Err(Bad::BodyTooLarge);
            }
            if size == 0 {
                return self.trailer(bytes, self.at + line);
            }
            match rest.get(line + size..line + size + 2) {
                None => return Ok(None),
                Some(b"\r\n") => (self.at, self.size) = (self.at + line + size + 2, self.size + size),
                Some(_) => return Err(Bad::Malformed),
            }
        }
    }

    fn trailer(&self, bytes: &[u8], mut at: usize) -> Result<Option<usize>, Bad> {
        let start = at;
        loop {
            let rest = &bytes[at..];
            let Some(line) = rest.iter().position(|byte| *byte == b'\n') else {
                return if at + rest.len() - start > HEAD_MOST { Err(Bad::HeadTooLarge) } else { Ok(None) };
            };
            at += line + 1;
            if rest[..line].is_empty() || rest[..line] == *b"\r" {
                return Ok(Some(at));
            }
        }
    }
}

/// What the headers of either kind of message tell of its framing.
struct Fields {
    framing: Option<Framing>,
    close: bool,
    /// Lines that concern this connection only, or that are written anew.
    left_out: Vec<Range<usize>>,
}

fn is(header: &Header, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}

fn text<'a>(header: &Header<'a>) -> &'a str {
    std::str::from_utf8(header.value).unwrap_or("").trim()
}

fn fields(bytes: &[u8], headers: &[Header], anew: &[&str]) -> Result<Fields, Bad> {
    let mut found = Fields { framing: None, close: false, left_out: Vec::new() };
    for header in headers {
        if is(header, "Content-Length") {
            let digits = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
            let length = text(header).parse().ok().filter(|_| digits).ok_or(Bad::Malformed)?;
            // Guards against two readings of where a message ends.
            if found.framing.replace(Framing::Length(length)).is_some() {
                return Err(Bad::Malformed);
            }
        } else if is(header, "Transfer-Encoding") {
            let chunked = text(header).eq_ignore_ascii_case("chunked");
            if !chunked || found.framing.replace(Framing::Chunked).is_some() {
                return Err(Bad::Malformed);
            }
        } else if is(header, "Connection") {
            found.close |= text(header).split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
        }
        let own = ["Connection", "Keep-Alive", "Proxy-Connection", "TE", "Upgrade", "Expect"];
        if own.iter().chain(anew).any(|name| is(header, name)) {
            let start = header.name.as_ptr() as usize - bytes.as_ptr() as usize;
            let line = bytes[start..].iter().position(|byte| *byte == b'\n').ok_or(Bad::Malformed)?;
            found.left_out.push(start..start + line + 1);
        }
    }
    Ok(found)
}

/// The head's lines up to its blank line, less those left out.
fn kept(head: &[u8], left_out: &[Range<usize>], out: &mut Vec<u8>) {
    let blank = if head.ends_with(b"\r\n") { 2 } else { 1 };
    let mut at = 0;
    for range in left_out {
        out.extend_from_slice(&head[at..range.start]);
        at = range.end;
    }
    out.extend_from_slice(&head[at..head.len() - blank]);
}

/// What a request's head tells.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub length: usize,
    pub body: Body,
    pub close: bool,
    /// The client waits to be told to go on before it sends the body.
    pub expects: bool,
    pub method: &'static str,
    pub id: Option<String>,
    /// The path without its query.
    pub path: String,
    pub tariff: Option<String>,
    /// How long the client waits, as it was written.
    pub time_out: Option<String>,
    left_out: Vec<Range<usize>>,
}

/// What callers may ask with, and operators.
pub const CALLERS_METHODS: [&str; 2] = ["GET", "POST"];
pub const OPERATORS_METHODS: [&str; 2] = ["GET", "PUT"];

/// Reads a request's head; `None` if it is not whole yet.
pub fn request_head(bytes: &[u8], methods: [&'static str; 2]) -> Result<Option<RequestHead>, Bad> {
    let mut headers = [EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(Status::Complete(length)) if length <= HEAD_MOST => length,
        Ok(Status::Partial) if bytes.len() < HEAD_MOST => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Bad::HeadTooLarge),
        Err(_) => return Err(Bad::Malformed),
    };
    if request.version != Some(1) {
        return Err(Bad::Version);
    }
    let method = methods.into_iter().find(|method| request.method == Some(*method));
    let method = method.ok_or(Bad::Method)?;
    // Guards against a head that a backend reads in another way: bare line feeds, or a field twice.
    let bare = bytes[..length].windows(2).any(|two| two[1] == b'\n' && two[0] != b'\r');
    let twice = |name: &&str| request.headers.iter().filter(|header| is(header, name)).count() > 1;
    if bare || ["Host", "Request-Id", "Request-Class", "Request-Timeout"].iter().any(twice) {
        return Err(Bad::Malformed);
    }
    let target = request.path.filter(|target| target.starts_with('/')).ok_or(Bad::Malformed)?;
    let found = fields(bytes, request.headers, &["Request-Timeout"])?;
    let value = |name| request.headers.iter().find(|header| is(header, name)).map(text);
    let framing = found.framing.unwrap_or(Framing::Length(0));
    if matches!(framing, Framing::Length(length) if length > BODY_MOST) {
        return Err(Bad::BodyTooLarge);
    }
    Ok(Some(RequestHead {
        length,
        body: Body::new(framing),
        close: found.close,
        expects: value("Expect").is_some_and(|what| what.eq_ignore_ascii_case("100-continue")),
        method,
        id: value("Request-Id").filter(|id| !id.is_empty()).map(str::to_string),
        path: target.split('?').next().unwrap_or_default().to_string(),
        tariff: value("Request-Class").map(str::to_string),
        time_out: value("Request-Timeout").map(str::to_string),
        left_out: found.left_out,
    }))
}

impl RequestHead {
    /// The request as it goes on: as it came, but with the time that is left now.
    pub fn forwarded(&self, message: &[u8], left: Span) -> Vec<u8> {
        let mut out = Vec::with_capacity(message.len() + 32);
        kept(&message[..self.length], &self.left_out, &mut out);
        // Rounded up: a time of nothing would be no time at all.
        let left = (left.ms() * 10.0).ceil().max(1.0) / 10_000.0;
        out.extend_from_slice(format!("Request-Timeout: {left:.4}\r\n\r\n").as_bytes());
        out.extend_from_slice(&message[self.length..]);
        out
    }
}

/// What an answer's head tells.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    pub length: usize,
    pub status: u16,
    pub body: Body,
    /// How many bytes the body takes, once it is whole.
    pub body_length: usize,
    pub close: bool,
    /// The backend says that it never began the request.
    pub not_started: bool,
    pub load: Load,
    left_out: Vec<Range<usize>>,
}

/// Reads an answer's head; `None` if it is not whole yet.
pub fn answer_head(bytes: &[u8]) -> Result<Option<AnswerHead>, Bad> {
    let mut headers = [EMPTY_HEADER; HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let length = match answer.parse(bytes) {
        Ok(Status::Complete(length)) if length <= HEAD_MOST => length,
        Ok(Status::Partial) if bytes.len() < HEAD_MOST => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Bad::HeadTooLarge),
        Err(_) => return Err(Bad::Malformed),
    };
    let status = answer.code.unwrap_or_default();
    let found = fields(bytes, answer.headers, &[])?;
    let value = |name| answer.headers.iter().find(|header| is(header, name)).map(text);
    let bodiless = status < 200 || status == 204 || status == 304;
    let framing = if bodiless { Framing::Length(0) } else { found.framing.unwrap_or(Framing::ToEnd) };
    Ok(Some(AnswerHead {
        length,
        status,
        body: Body::new(framing),
        body_length: 0,
        close: found.close || answer.version != Some(1) || framing == Framing::ToEnd,
        not_started: value("Not-Started") == Some("1"),
        load: value("Server-Load").map(load).unwrap_or_default(),
        left_out: found.left_out,
    }))
}

impl AnswerHead {
    /// The body of a whole answer as text.
    pub fn text(&self, message: &[u8]) -> String {
        String::from_utf8_lossy(&self.body.plain(&message[self.length..])).into_owned()
    }

    /// The answer as it goes on to the client.
    pub fn passed_on(&self, message: &[u8], close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(message.len() + 32);
        kept(&message[..self.length], &self.left_out, &mut out);
        if message.starts_with(b"HTTP/1.0") {
            out[..8].copy_from_slice(b"HTTP/1.1");
        }
        if self.body.lasts_to_end() {
            let size = message.len() - self.length;
            out.extend_from_slice(format!("Content-Length: {size}\r\n").as_bytes());
        }
        out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
        out.extend_from_slice(&message[self.length..]);
        out
    }
}

/// A load report: a word for its form, then `name=value` between commas.
pub fn load(report: &str) -> Load {
    let figures = report.split([',', ' ', '\r', '\n']).filter_map(|figure| figure.split_once('='));
    sparlug_setup::named_load(
        figures.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?))),
    )
}

/// An answer of the proxy's own.
pub fn own_answer(status: u16, retry_after: Option<Span>, close: bool) -> Vec<u8> {
    let retry =
        retry_after.map(|span| format!("Retry-After: {:.3}\r\n", span.ms() / 1000.0)).unwrap_or_default();
    let allow = if status == 405 { "Allow: GET, POST\r\n" } else { "" };
    let close = if close { "Connection: close\r\n" } else { "" };
    answer_with(status, &format!("{retry}{allow}{close}"), "")
}

pub fn answer_with(status: u16, lines: &str, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "HTTP Version Not Supported",
    };
    let length = body.len();
    format!("HTTP/1.1 {status} {reason}\r\n{lines}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}
