//! HTTP/1.1 as the stand-ins speak it: whole messages with a `Content-Length` or none. It is their own reading
//! of the protocol, apart from the proxy's, so that one mistake is not made on both sides.

use httparse::{Status, EMPTY_HEADER};

pub const MOST: usize = 1 << 20;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// Method and path, or nothing.
    pub method: String,
    pub path: String,
    /// An answer's status, or 0.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Bytes that it took.
    pub length: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        self.header(name)?.trim().parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// The first part of the path.
    pub fn class(&self) -> &str {
        self.path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default()
    }
}

fn finish(
    mut message: Message,
    headers: &[httparse::Header],
    head: usize,
    bytes: &[u8],
) -> Result<Option<Message>, String> {
    for header in headers {
        let value = String::from_utf8_lossy(header.value).trim().to_string();
        message.headers.push((header.name.to_string(), value));
    }
    if message.header("Transfer-Encoding").is_some() {
        return Err("a framing that the stand-ins don't speak".to_string());
    }
    let length = match message.header("Content-Length") {
        None => 0,
        Some(text) => text.parse::<usize>().ok().filter(|l| *l <= MOST).ok_or("a bad Content-Length")?,
    };
    if bytes.len() < head + length {
        return Ok(None);
    }
    message.body = bytes[head..head + length].to_vec();
    message.length = head + length;
    Ok(Some(message))
}

pub fn parse_request(bytes: &[u8]) -> Result<Option<Message>, String> {
    let mut headers = [EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(Status::Complete(head)) => {
            let (method, path) = (parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
            let message = Message { method: method.into(), path: path.into(), ..Message::default() };
            finish(message, parsed.headers, head, bytes)
        }
        Ok(Status::Partial) if bytes.len() < MOST => Ok(None),
        Ok(Status::Partial) => Err("a head without an end".to_string()),
        Err(e) => Err(e.to_string()),
    }
}

pub fn parse_response(bytes: &[u8]) -> Result<Option<Message>, String> {
    let mut headers = [EMPTY_HEADER; 64];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(Status::Complete(head)) => {
            let message = Message { status: parsed.code.unwrap_or_default(), ..Message::default() };
            finish(message, parsed.headers, head, bytes)
        }
        Ok(Status::Partial) if bytes.len() < MOST => Ok(None),
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
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    let mut out = (out + "\r\n").into_bytes();
    out.extend_from_slice(body);
    out
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
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut out = (out + &format!("Content-Length: {}\r\n\r\n", body.len())).into_bytes();
    out.extend_from_slice(body);
    out
}
