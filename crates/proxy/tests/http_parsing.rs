//! Parsing and forwarding of heads and bodies, and parsing of load reports and keys, without sockets.

use sparlug::time::Span;
use sparlug_proxy::http::{
    parse_load_report, parse_request_head, parse_response_head, HttpError, CLIENT_METHODS,
    MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES,
};

const REQUEST: &str =
    "POST /write/7?x=1 HTTP/1.1\r\nHost: api.internal\r\nrequest-id: 9b1f\r\nX-Odd:  a\tb \r\n\
    Request-Timeout: 0.480\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\nabc";

#[test]
fn head_in_pieces_is_parsed_once_it_is_complete() {
    let end = REQUEST.len() - 3;
    for length in 0..end {
        assert!(
            parse_request_head(&REQUEST.as_bytes()[..length], CLIENT_METHODS).unwrap().is_none(),
            "at {length}"
        );
    }
    let head = parse_request_head(REQUEST.as_bytes(), CLIENT_METHODS).unwrap().unwrap();
    assert_eq!((head.length, head.path.as_str(), head.id.as_deref()), (end, "/write/7", Some("9b1f")));
    assert_eq!(head.timeout.as_deref(), Some("0.480"));
}

#[test]
fn forwarded_request_keeps_its_bytes_and_carries_the_time_left() {
    let head = parse_request_head(REQUEST.as_bytes(), CLIENT_METHODS).unwrap().unwrap();
    let (forwarded, _) = head.for_backend(REQUEST.as_bytes(), Span::from_ms(123.45));
    let expected =
        "POST /write/7?x=1 HTTP/1.1\r\nHost: api.internal\r\nrequest-id: 9b1f\r\nX-Odd:  a\tb \r\n\
        Content-Length: 3\r\nRequest-Timeout: 0.1235\r\n\r\nabc";
    assert_eq!(String::from_utf8(forwarded).unwrap(), expected);
    // Guards against a time-out of 0, which a backend may take for none or for an invalid one.
    let (forwarded, _) = head.for_backend(REQUEST.as_bytes(), Span::ZERO);
    assert!(String::from_utf8(forwarded).unwrap().contains("Request-Timeout: 0.0001\r\n"));
}

#[test]
fn chunked_body_ends_with_its_trailer() {
    let text = "POST /write HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
        3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nGET";
    let head = parse_request_head(text.as_bytes(), CLIENT_METHODS).unwrap().unwrap();
    let bytes = &text.as_bytes()[head.length..];
    let mut body = head.body;
    for length in 0..bytes.len() - 3 {
        assert_eq!(
            body.parse_buffered(&bytes[..length], false, MAX_BUFFERED_BODY_BYTES),
            Ok(None),
            "at {length}"
        );
    }
    assert_eq!(body.parse_buffered(bytes, false, MAX_BUFFERED_BODY_BYTES), Ok(Some(bytes.len() - 3)));
    assert_eq!(body.decode(bytes), b"abcde");
    for (chunks, error) in [
        ("x\r\n", HttpError::Malformed),
        ("1\r\nabc", HttpError::Malformed),
        ("FFFFFFFF\r\n", HttpError::BodyTooLarge),
    ] {
        assert_eq!(
            head.body.clone().parse_buffered(chunks.as_bytes(), false, MAX_BUFFERED_BODY_BYTES),
            Err(error),
            "{chunks:?}"
        );
    }
}

#[test]
fn each_kind_of_invalid_head_has_its_own_error() {
    let long = format!("GET /read HTTP/1.1\r\nX: {}", "a".repeat(MAX_HEAD_BYTES));
    let many = format!("GET /read HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(101));
    let cases = [
        ("GET /read HTTP/1.1\r\nno colon\r\n\r\n", HttpError::Malformed),
        ("GET http://elsewhere/ HTTP/1.1\r\n\r\n", HttpError::Malformed),
        ("\u{0}\u{1}\u{2}\r\n\r\n", HttpError::Malformed),
        ("GET /read HTTP/1.0\r\n\r\n", HttpError::Version),
        ("DELETE /read HTTP/1.1\r\n\r\n", HttpError::Method),
        ("POST /write HTTP/1.1\r\nContent-Length: -1\r\n\r\n", HttpError::Malformed),
        ("POST /write HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n", HttpError::BodyTooLarge),
        ("POST /write HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", HttpError::Malformed),
        // The end of the request is ambiguous.
        ("POST /write HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", HttpError::Malformed),
        (
            "POST /write HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            HttpError::Malformed,
        ),
        // A backend may interpret these differently, or reject them.
        ("GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Id: 2\r\n\r\n", HttpError::Malformed),
        ("GET /read HTTP/1.1\r\nTenant: a\r\nTenant: b\r\n\r\n", HttpError::Malformed),
        ("GET /read HTTP/1.1\r\nRequest-Id: 1\nX: 2\r\n\r\n", HttpError::Malformed),
        ("GET /read HTTP/1.1\r\nRequest-Id: 1\r\n\n", HttpError::Malformed),
        (&long, HttpError::HeadTooLarge),
        (&many, HttpError::HeadTooLarge),
    ];
    for (text, error) in cases {
        assert_eq!(parse_request_head(text.as_bytes(), CLIENT_METHODS).unwrap_err(), error, "{text:.60}");
    }
}

#[test]
fn close_delimited_response_is_forwarded_with_its_length() {
    let text =
        b"HTTP/1.0 200 OK\r\nKeep-Alive: 3\r\nServer-Load: TEXT inflight=7, queue=2, util=0.6\r\n\r\nbody";
    let mut head = parse_response_head(text).unwrap().unwrap();
    assert_eq!(head.body.parse_buffered(&text[head.length..], false, MAX_BUFFERED_BODY_BYTES), Ok(None));
    assert_eq!(head.body.parse_buffered(&text[head.length..], true, MAX_BUFFERED_BODY_BYTES), Ok(Some(4)));
    assert_eq!((head.load.in_flight, head.load.queued), (Some(7.0), Some(2.0)));
    let forwarded = String::from_utf8(head.for_client(text, true)).unwrap();
    assert!(forwarded.starts_with("HTTP/1.1 200 OK\r\nServer-Load"), "{forwarded}");
    assert!(forwarded.ends_with("Content-Length: 4\r\nConnection: close\r\n\r\nbody"), "{forwarded}");
}

#[test]
fn load_report_is_read_from_the_body_of_a_check_response() {
    let text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nTEXT inflight=3,\n\r\n0\r\n\r\n";
    let head = parse_response_head(text).unwrap().unwrap();
    assert_eq!(parse_load_report(&head.body_text(text)).in_flight, Some(3.0));
}

#[test]
fn invalid_load_report_is_ignored() {
    for report in ["", "TEXT", "TEXT inflight=, queue=NaN", "TEXT inflight=-3,queue=inf", "inflight"] {
        assert_eq!(parse_load_report(report), Default::default(), "{report}");
    }
}

#[test]
fn key_is_read_from_its_header_or_from_request_info() {
    let key = |header_lines: &str| {
        let text = format!("GET /read HTTP/1.1\r\nHost: h\r\n{header_lines}\r\n");
        parse_request_head(text.as_bytes(), CLIENT_METHODS).map(|head| head.unwrap().key)
    };
    let (a, b) = (key("Request-Key: a\r\n").unwrap(), key("Request-Key: b\r\n").unwrap());
    assert!(a.is_some() && b.is_some() && a != b);
    assert_eq!(key("Request-Info: cost=3, key=a\r\n").unwrap(), a);
    assert_eq!(key("").unwrap().or(key("Request-Key: \r\n").unwrap()), None);
    assert_eq!(key("Request-Key: a\r\nRequest-Key: b\r\n"), Err(HttpError::Malformed));
}
