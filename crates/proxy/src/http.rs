//! HTTP/1.1 parsing and framing. Messages are forwarded as the bytes that were received: only the fields
//! needed for routing and framing are parsed, and only the hop-by-hop header lines are removed.

use std::borrow::Cow;
use std::ops::Range;

use httparse::{Header, Status, EMPTY_HEADER};
use sparlug::event::Load;
use sparlug::time::Span;

pub use crate::body::HttpError;
use crate::body::{Body, Framing, MAX_BODY_BYTES};

/// Largest head of a request or response.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body that is buffered; a longer one is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// A head, a buffered body, and an allowance for the body's framing.
pub const MAX_BUFFERED_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES;
/// Only responses with this status are streamed.
pub const STREAMED_STATUS: u16 = 200;
const MAX_HEADERS: usize = 100;

/// The header fields that requests and responses have in common.
struct FramingFields {
    framing: Option<Framing>,
    close: bool,
    /// Header lines that concern one connection only, or that the proxy writes itself.
    removed_lines: Vec<Range<usize>>,
}

fn has_name(header: &Header, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}

fn value_text<'a>(header: &Header<'a>) -> &'a str {
    std::str::from_utf8(header.value).unwrap_or("").trim()
}

/// Parses the common fields; `replaced` names the headers that the proxy writes itself.
fn framing_fields(bytes: &[u8], headers: &[Header], replaced: &[&str]) -> Result<FramingFields, HttpError> {
    let mut fields = FramingFields { framing: None, close: false, removed_lines: Vec::new() };
    for header in headers {
        if has_name(header, "Content-Length") {
            let digits = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
            let length = value_text(header).parse().ok().filter(|_| digits).ok_or(HttpError::Malformed)?;
            // Two lengths could be read in two ways, which allows request smuggling.
            if fields.framing.replace(Framing::Length(length)).is_some() {
                return Err(HttpError::Malformed);
            }
        } else if has_name(header, "Transfer-Encoding") {
            let chunked = value_text(header).eq_ignore_ascii_case("chunked");
            if !chunked || fields.framing.replace(Framing::Chunked).is_some() {
                return Err(HttpError::Malformed);
            }
        } else if has_name(header, "Connection") {
            fields.close |=
                value_text(header).split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
        }
        let hop_by_hop = ["Connection", "Keep-Alive", "Proxy-Connection", "TE", "Upgrade", "Expect"];
        if hop_by_hop.iter().chain(replaced).any(|name| has_name(header, name)) {
            let start = header.name.as_ptr() as usize - bytes.as_ptr() as usize;
            let line = bytes[start..].iter().position(|byte| *byte == b'\n').ok_or(HttpError::Malformed)?;
            fields.removed_lines.push(start..start + line + 1);
        }
    }
    Ok(fields)
}

/// Appends the head's lines up to its blank line, without the removed ones.
fn copy_head(head: &[u8], removed_lines: &[Range<usize>], out: &mut Vec<u8>) {
    let blank = if head.ends_with(b"\r\n") { 2 } else { 1 };
    let mut at = 0;
    for range in removed_lines {
        out.extend_from_slice(&head[at..range.start]);
        at = range.end;
    }
    out.extend_from_slice(&head[at..head.len() - blank]);
}

/// The parsed head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub length: usize,
    pub body: Body,
    pub close: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    pub method: &'static str,
    pub id: Option<String>,
    /// The path without its query.
    pub path: String,
    pub class: Option<String>,
    /// The tenant that the request is made for, where tenants have quotas.
    pub tenant: Option<String>,
    /// A hash of the request's key; requests with the same key belong together.
    pub key: Option<u64>,
    /// How long the client waits, as written in the header.
    pub timeout: Option<String>,
    removed_lines: Vec<Range<usize>>,
}

/// Methods of clients' requests.
pub const CLIENT_METHODS: [&str; 2] = ["GET", "POST"];
/// Methods of operators' requests.
pub const ADMIN_METHODS: [&str; 2] = ["GET", "PUT"];

/// Parses the head of a request; `None` if it is not complete yet.
pub fn parse_request_head(
    bytes: &[u8],
    methods: [&'static str; 2],
) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
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
    // A backend may read a head with bare line feeds or repeated fields differently from the proxy.
    let bare_line_feed = bytes[..length].windows(2).any(|pair| pair[1] == b'\n' && pair[0] != b'\r');
    let repeated = |name: &&str| request.headers.iter().filter(|header| has_name(header, name)).count() > 1;
    let single_fields = ["Host", "Request-Id", "Request-Class", "Request-Timeout", "Request-Key", "Tenant"];
    if bare_line_feed || single_fields.iter().any(repeated) {
        return Err(HttpError::Malformed);
    }
    let target = request.path.filter(|target| target.starts_with('/')).ok_or(HttpError::Malformed)?;
    let fields = framing_fields(bytes, request.headers, &["Request-Timeout"])?;
    let value = |name| request.headers.iter().find(|header| has_name(header, name)).map(value_text);
    let framing = fields.framing.unwrap_or(Framing::Length(0));
    if matches!(framing, Framing::Length(length) if length > MAX_BODY_BYTES) {
        return Err(HttpError::BodyTooLarge);
    }
    Ok(Some(RequestHead {
        length,
        body: Body::new(framing),
        close: fields.close,
        expects_continue: value("Expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")),
        method,
        id: value("Request-Id").filter(|id| !id.is_empty()).map(str::to_string),
        path: target.split('?').next().unwrap_or_default().to_string(),
        class: value("Request-Class").map(str::to_string),
        tenant: value("Tenant").map(str::to_string),
        key: value("Request-Key")
            .or(value("Request-Info").and_then(key_of))
            .filter(|key| !key.is_empty())
            .map(hash_key),
        timeout: value("Request-Timeout").map(str::to_string),
        removed_lines: fields.removed_lines,
    }))
}

/// The key in a `Request-Info` header: comma-separated `name=value` pairs.
fn key_of(pairs: &str) -> Option<&str> {
    pairs.split(',').find_map(|pair| pair.trim().strip_prefix("key="))
}

/// The 64-bit FNV-1a hash of a key, which is the same in every proxy and every build.
pub fn hash_key(key: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    key.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

impl RequestHead {
    /// Whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.method == CLIENT_METHODS[0]
    }

    /// The request as it is sent to a backend: as received, but with `remaining` as its `Request-Timeout`.
    /// Also returns the byte range of that timeout.
    pub fn for_backend(&self, message: &[u8], remaining: Span) -> (Vec<u8>, Range<usize>) {
        let mut out = Vec::with_capacity(message.len() + 32);
        copy_head(&message[..self.length], &self.removed_lines, &mut out);
        out.extend_from_slice(b"Request-Timeout: ");
        let (start, timeout) = (out.len(), format_timeout(remaining));
        out.extend_from_slice(timeout.as_bytes());
        out.extend_from_slice(b"\r\n\r\n");
        out.extend_from_slice(&message[self.length..]);
        (out, start..start + timeout.len())
    }
}

/// Formats a `Request-Timeout` in seconds, rounded up, since 0 is not a timeout: a backend may take it for
/// none, and a proxy in front of the next tier refuses it.
pub fn format_timeout(remaining: Span) -> String {
    format!("{:.4}", (remaining.ms() * 10.0).ceil().max(1.0) / 10_000.0)
}

/// The parsed head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub length: usize,
    pub status: u16,
    pub body: Body,
    pub close: bool,
    /// The backend states that it did not start the request.
    pub not_started: bool,
    pub load: Load,
    removed_lines: Vec<Range<usize>>,
}

/// Parses the head of a response; `None` if it is not complete yet.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    let status = response.code.unwrap_or_default();
    let fields = framing_fields(bytes, response.headers, &[])?;
    let value = |name| response.headers.iter().find(|header| has_name(header, name)).map(value_text);
    let without_body = status < 200 || status == 204 || status == 304;
    let framing =
        if without_body { Framing::Length(0) } else { fields.framing.unwrap_or(Framing::UntilClose) };
    Ok(Some(ResponseHead {
        length,
        status,
        body: Body::new(framing),
        close: fields.close || response.version != Some(1) || framing == Framing::UntilClose,
        not_started: value("Not-Started") == Some("1"),
        load: value("Server-Load").map(parse_load_report).unwrap_or_default(),
        removed_lines: fields.removed_lines,
    }))
}

impl ResponseHead {
    /// The body of a complete response as text.
    pub fn body_text(&self, message: &[u8]) -> String {
        String::from_utf8_lossy(&self.body.decode(&message[self.length..])).into_owned()
    }

    /// The complete response as it is sent to the client.
    pub fn for_client(&self, message: &[u8], close: bool) -> Vec<u8> {
        let content_length = format!("Content-Length: {}\r\n", message.len() - self.length);
        let mut out = self.head_for_client(message, &content_length, close);
        out.extend_from_slice(&message[self.length..]);
        out
    }

    /// The head of a streamed response for the client, with the part of the body received so far.
    pub fn start_stream(&self, message: &[u8], close: bool) -> Vec<u8> {
        let mut out = self.head_for_client(message, "Transfer-Encoding: chunked\r\n", close);
        out.extend_from_slice(&self.stream_piece(&message[self.length..], false));
        out
    }

    /// A part of a streamed body for the client; `last` marks its end. A body that ends with the backend's
    /// connection is sent in chunks, so that the client can tell a truncated response from a complete one.
    pub fn stream_piece<'a>(&self, bytes: &'a [u8], last: bool) -> Cow<'a, [u8]> {
        if !self.body.ends_at_close() {
            return Cow::Borrowed(bytes);
        }
        let mut out = Vec::with_capacity(bytes.len() + 32);
        if !bytes.is_empty() {
            out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
            out.extend_from_slice(bytes);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(if last { b"0\r\n\r\n" } else { b"" });
        Cow::Owned(out)
    }

    /// The head as it is sent to the client. `framing` is the header line that is added where the body ends
    /// with the backend's connection.
    fn head_for_client(&self, message: &[u8], framing: &str, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(message.len() + 64);
        copy_head(&message[..self.length], &self.removed_lines, &mut out);
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

/// Parses a load report: a word that names its format, then comma-separated `name=value` pairs.
pub fn parse_load_report(report: &str) -> Load {
    let pairs = report.split([',', ' ', '\r', '\n']).filter_map(|pair| pair.split_once('='));
    sparlug_setup::load_from_named_values(
        pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?))),
    )
}

/// A response of the proxy itself, without a body.
pub fn proxy_response(status: u16, retry_after: Option<Span>, close: bool) -> Vec<u8> {
    let retry =
        retry_after.map(|span| format!("Retry-After: {:.3}\r\n", span.ms() / 1000.0)).unwrap_or_default();
    let allow = if status == 405 { "Allow: GET, POST\r\n" } else { "" };
    let close = if close { "Connection: close\r\n" } else { "" };
    build_response(status, &format!("{retry}{allow}{close}"), "")
}

/// A response with the given header lines and body.
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
