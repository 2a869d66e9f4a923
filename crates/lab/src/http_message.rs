//! HTTP/1.1 messages of the lab's components: complete messages, with a `Content-Length` or without a body.
//! The code is independent of the proxy's, so that one mistake in reading the protocol is not made on both
//! sides.

use httparse::{Status, EMPTY_HEADER};

pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A request or a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The method and the path of a request; both are empty for a response.
    pub method: String,
    pub path: String,
    /// The status of a response, or 0.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The length of the message in bytes.
    pub length: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        self.header(name)?.trim().parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// The first segment of the path, which names the class.
    pub fn class(&self) -> &str {
        self.path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default()
    }
}

fn parse_body(
    mut message: Message,
    headers: &[httparse::Header],
    head_length: usize,
    bytes: &[u8],
) -> Result<Option<Message>, String> {
    for header in headers {
        let value = String::from_utf8_lossy(header.value).trim().to_string();
        message.headers.push((header.name.to_string(), value));
    }
    if message.header("Transfer-Encoding").is_some() {
        return Err("unsupported Transfer-Encoding".to_string());
    }
    let length = match message.header("Content-Length") {
        None => 0,
        Some(text) => text
            .parse::<usize>()
            .ok()
            .filter(|length| *length <= MAX_MESSAGE_BYTES)
            .ok_or("invalid Content-Length")?,
    };
    if bytes.len() < head_length + length {
        return Ok(None);
    }
    message.body = bytes[head_length..head_length + length].to_vec();
    message.length = head_length + length;
    Ok(Some(message))
}

/// Parses a request; `None` while it is incomplete.
pub fn parse_request(bytes: &[u8]) -> Result<Option<Message>, String> {
    let mut headers = [EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(Status::Complete(head_length)) => {
            let (method, path) = (parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
            let message = Message { method: method.into(), path: path.into(), ..Message::default() };
            parse_body(message, parsed.headers, head_length, bytes)
        }
        Ok(Status::Partial) if bytes.len() < MAX_MESSAGE_BYTES => Ok(None),
        Ok(Status::Partial) => Err("a head without an end".to_string()),
        Err(e) => Err(e.to_string()),
    }
}

/// Parses a response; `None` while it is incomplete.
pub fn parse_response(bytes: &[u8]) -> Result<Option<Message>, String> {
    let mut headers = [EMPTY_HEADER; 64];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(Status::Complete(head_length)) => {
            let message = Message { status: parsed.code.unwrap_or_default(), ..Message::default() };
            parse_body(message, parsed.headers, head_length, bytes)
        }
        Ok(Status::Partial) if bytes.len() < MAX_MESSAGE_BYTES => Ok(None),
        Ok(Status::Partial) => Err("a head without an end".to_string()),
        Err(e) => Err(e.to_string()),
    }
}

pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut encoded = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        encoded.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        encoded.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    let mut encoded = (encoded + "\r\n").into_bytes();
    encoded.extend_from_slice(body);
    encoded
}

pub fn encode_response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    let mut encoded = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        encoded.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut encoded = (encoded + &format!("Content-Length: {}\r\n\r\n", body.len())).into_bytes();
    encoded.extend_from_slice(body);
    encoded
}
