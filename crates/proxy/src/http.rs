//! HTTP/1.1 framing. Heads and bodies are kept as the bytes that came; only what the decisions and the
//! framing need is taken out, and of the rest only the lines that concern one connection are left out.

use std::borrow::Cow;
use std::ops::Range;

use httparse::{Header, Status, EMPTY_HEADER};
use sparlug::event::Load;
use sparlug::time::Span;

pub use crate::body::HttpError;
use crate::body::{Body, Framing, MAX_BODY_BYTES};

pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A longer body is passed on as it comes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// A head, a body, and what the framing of the body may take besides.
pub const MAX_BUFFERED_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES;
const HEADERS: usize = 100;

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

fn fields(bytes: &[u8], headers: &[Header], anew: &[&str]) -> Result<Fields, HttpError> {
    let mut found = Fields { framing: None, close: false, left_out: Vec::new() };
    for header in headers {
        if is(header, "Content-Length") {
            let digits = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
            let length = text(header).parse().ok().filter(|_| digits).ok_or(HttpError::Malformed)?;
            // Guards against two readings of where a message ends.
            if found.framing.replace(Framing::Length(length)).is_some() {
                return Err(HttpError::Malformed);
            }
        } else if is(header, "Transfer-Encoding") {
            let chunked = text(header).eq_ignore_ascii_case("chunked");
            if !chunked || found.framing.replace(Framing::Chunked).is_some() {
                return Err(HttpError::Malformed);
            }
        } else if is(header, "Connection") {
            found.close |= text(header).split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
        }
        let own = ["Connection", "Keep-Alive", "Proxy-Connection", "TE", "Upgrade", "Expect"];
        if own.iter().chain(anew).any(|name| is(header, name)) {
            let start = header.name.as_ptr() as usize - bytes.as_ptr() as usize;
            let line = bytes[start..].iter().position(|byte| *byte == b'\n').ok_or(HttpError::Malformed)?;
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
    pub expects_continue: bool,
    pub method: &'static str,
    pub id: Option<String>,
    /// The path without its query.
    pub path: String,
    pub class: Option<String>,
    /// On whose behalf it comes, where tenants have shares.
    pub tenant: Option<String>,
    /// What the request is about, in short; requests with one key belong together.
    pub key: Option<u64>,
    /// How long the client waits, as it was written.
    pub timeout: Option<String>,
    left_out: Vec<Range<usize>>,
}

/// What callers may ask with, and operators.
pub const CLIENT_METHODS: [&str; 2] = ["GET", "POST"];
pub const ADMIN_METHODS: [&str; 2] = ["GET", "PUT"];

/// Reads a request's head; `None` if it is not whole yet.
pub fn parse_request_head(
    bytes: &[u8],
    methods: [&'static str; 2],
) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    if request.version != Some(1) {
        return Err(HttpError::Version);
    }
    let method = methods.into_iter().find(|method| request.method == Some(*method));
    let method = method.ok_or(HttpError::Method)?;
    // Guards against a head that a backend reads in another way: bare line feeds, or a field twice.
    let bare = bytes[..length].windows(2).any(|two| two[1] == b'\n' && two[0] != b'\r');
    let twice = |name: &&str| request.headers.iter().filter(|header| is(header, name)).count() > 1;
    let once = ["Host", "Request-Id", "Request-Class", "Request-Timeout", "Request-Key", "Tenant"];
    if bare || once.iter().any(twice) {
        return Err(HttpError::Malformed);
    }
    let target = request.path.filter(|target| target.starts_with('/')).ok_or(HttpError::Malformed)?;
    let found = fields(bytes, request.headers, &["Request-Timeout"])?;
    let value = |name| request.headers.iter().find(|header| is(header, name)).map(text);
    let framing = found.framing.unwrap_or(Framing::Length(0));
    if matches!(framing, Framing::Length(length) if length > MAX_BODY_BYTES) {
        return Err(HttpError::BodyTooLarge);
    }
    Ok(Some(RequestHead {
        length,
        body: Body::new(framing),
        close: found.close,
        expects_continue: value("Expect").is_some_and(|what| what.eq_ignore_ascii_case("100-continue")),
        method,
        id: value("Request-Id").filter(|id| !id.is_empty()).map(str::to_string),
        path: target.split('?').next().unwrap_or_default().to_string(),
        class: value("Request-Class").map(str::to_string),
        tenant: value("Tenant").map(str::to_string),
        key: value("Request-Key")
            .or(value("Request-Info").and_then(key_of))
            .filter(|key| !key.is_empty())
            .map(short),
        timeout: value("Request-Timeout").map(str::to_string),
        left_out: found.left_out,
    }))
}

/// The key among a request's further figures, `name=value` between commas.
fn key_of(figures: &str) -> Option<&str> {
    figures.split(',').find_map(|figure| figure.trim().strip_prefix("key="))
}

/// A key in 64 bits, the same at every proxy and with every build (FNV-1a).
fn short(key: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    key.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

impl RequestHead {
    /// The request as it goes on: as it came, but with the time that is left now. Also where that time stands.
    pub fn for_backend(&self, message: &[u8], left: Span) -> (Vec<u8>, Range<usize>) {
        let mut out = Vec::with_capacity(message.len() + 32);
        kept(&message[..self.length], &self.left_out, &mut out);
        out.extend_from_slice(b"Request-Timeout: ");
        let (start, left) = (out.len(), format_timeout(left));
        out.extend_from_slice(left.as_bytes());
        out.extend_from_slice(b"\r\n\r\n");
        out.extend_from_slice(&message[self.length..]);
        (out, start..start + left.len())
    }
}

/// A time as a request bears it, rounded up: a time of nothing would be no time at all.
pub fn format_timeout(left: Span) -> String {
    format!("{:.4}", (left.ms() * 10.0).ceil().max(1.0) / 10_000.0)
}

/// What an answer's head tells.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub length: usize,
    pub status: u16,
    pub body: Body,
    pub close: bool,
    /// The backend says that it never began the request.
    pub not_started: bool,
    pub load: Load,
    left_out: Vec<Range<usize>>,
}

/// Reads an answer's head; `None` if it is not whole yet.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [EMPTY_HEADER; HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let length = match answer.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    let status = answer.code.unwrap_or_default();
    let found = fields(bytes, answer.headers, &[])?;
    let value = |name| answer.headers.iter().find(|header| is(header, name)).map(text);
    let bodiless = status < 200 || status == 204 || status == 304;
    let framing = if bodiless { Framing::Length(0) } else { found.framing.unwrap_or(Framing::UntilClose) };
    Ok(Some(ResponseHead {
        length,
        status,
        body: Body::new(framing),
        close: found.close || answer.version != Some(1) || framing == Framing::UntilClose,
        not_started: value("Not-Started") == Some("1"),
        load: value("Server-Load").map(parse_load_report).unwrap_or_default(),
        left_out: found.left_out,
    }))
}

impl ResponseHead {
    /// The body of a whole answer as text.
    pub fn body_text(&self, message: &[u8]) -> String {
        String::from_utf8_lossy(&self.body.decode(&message[self.length..])).into_owned()
    }

    /// The answer as it goes on to the client, whole.
    pub fn for_client(&self, message: &[u8], close: bool) -> Vec<u8> {
        let size = format!("Content-Length: {}\r\n", message.len() - self.length);
        let mut out = self.head_on(message, &size, close);
        out.extend_from_slice(&message[self.length..]);
        out
    }

    /// The head of an answer whose body follows as it comes, and what has come of it.
    pub fn start_stream(&self, message: &[u8], close: bool) -> Vec<u8> {
        let mut out = self.head_on(message, "Transfer-Encoding: chunked\r\n", close);
        out.extend_from_slice(&self.stream_piece(&message[self.length..], false));
        out
    }

    /// A piece of the body as it goes on. What lasts to the connection's end goes on in chunks: guards against a
    /// caller that takes an answer which broke off for a whole one.
    pub fn stream_piece<'a>(&self, bytes: &'a [u8], over: bool) -> Cow<'a, [u8]> {
        if !self.body.ends_at_close() {
            return Cow::Borrowed(bytes);
        }
        let mut out = Vec::with_capacity(bytes.len() + 32);
        if !bytes.is_empty() {
            out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
            out.extend_from_slice(bytes);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(if over { b"0\r\n\r\n" } else { b"" });
        Cow::Owned(out)
    }

    /// The head as it goes on; `framing` stands for the end of the connection, where that was the body's.
    fn head_on(&self, message: &[u8], framing: &str, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(message.len() + 64);
        kept(&message[..self.length], &self.left_out, &mut out);
        if message.starts_with(b"HTTP/1.0") {
            out[..8].copy_from_slice(b"HTTP/1.1");
        }
        if self.body.ends_at_close() {
            out.extend_from_slice(framing.as_bytes());
        }
        out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
        out
    }
}

/// A load report: a word for its form, then `name=value` between commas.
pub fn parse_load_report(report: &str) -> Load {
    let figures = report.split([',', ' ', '\r', '\n']).filter_map(|figure| figure.split_once('='));
    sparlug_setup::load_from_named_values(
        figures.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?))),
    )
}

/// An answer of the proxy's own.
pub fn proxy_response(status: u16, retry_after: Option<Span>, close: bool) -> Vec<u8> {
    let retry =
        retry_after.map(|span| format!("Retry-After: {:.3}\r\n", span.ms() / 1000.0)).unwrap_or_default();
    let allow = if status == 405 { "Allow: GET, POST\r\n" } else { "" };
    let close = if close { "Connection: close\r\n" } else { "" };
    build_response(status, &format!("{retry}{allow}{close}"), "")
}

pub fn build_response(status: u16, lines: &str, body: &str) -> Vec<u8> {
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
