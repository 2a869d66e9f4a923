//! Bodies that are passed on as they come, between callers and backends on loopback sockets.

mod helper;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

use helper::{accept, backend, read_message, request, response, write, Proxy};
use oorandom::Rand32;
use sparlug_proxy::body::{Body, Framing, HttpError, MAX_BODY_BYTES};

const LONG: usize = 3_000_000;

/// Bytes that tell where in a body they stand.
fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|at| ((at / 251) ^ at) as u8).collect()
}

/// A request for a path with a body of this length to come.
fn upload(length: usize) -> String {
    request("POST", "/write", "5").replace("\r\n\r\n", &format!("\r\nContent-Length: {length}\r\n\r\n"))
}

/// Reads a head, and leaves what follows.
fn head(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with("\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
        text.push(byte[0].into());
    }
    text
}

/// A backend that takes each upload in whole, tells of its body, and answers with what it is given.
fn taking(reply: impl Fn(&[u8]) -> Vec<u8> + Send + 'static) -> (TcpListener, Receiver<Vec<u8>>) {
    let (listener, (tell, told)) = (backend(), channel());
    let accepting = listener.try_clone().unwrap();
    thread::spawn(move || loop {
        let mut conn = accept(&accepting);
        let text = head(&mut conn);
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        if conn.read_exact(&mut body).is_ok() {
            // Told before the answer: who has that may look for it at once.
            let answer = reply(&body);
            let _ = tell.send(body);
            let _ = conn.write_all(&answer);
        }
    });
    (listener, told)
}

#[test]
fn a_long_body_goes_through_in_both_directions() {
    let echo = |body: &[u8]| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        [head.as_bytes(), body].concat()
    };
    let (listener, told) = taking(echo);
    let proxy = Proxy::start_managed(&[&listener], "127.0.0.1:0", &[]);
    let (mut client, sent) = (proxy.connect(), bytes(LONG));
    write(&mut client, &upload(LONG));
    let mut writing = client.try_clone().unwrap();
    let body = sent.clone();
    let writer =
        thread::spawn(move || body.chunks(70_001).for_each(|piece| writing.write_all(piece).unwrap()));
    assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
    let mut seen = Vec::new();
    client.read_to_end(&mut seen).unwrap();
    writer.join().unwrap();
    assert!(seen == sent && told.recv().unwrap() == sent);
    assert_eq!(proxy.metric("svc.requests.write.served"), Some(1));
    assert_eq!((proxy.metric("svc.in_flight"), proxy.metric("svc.attempts")), (Some(0), Some(1)));
}

#[test]
fn a_long_answer_begins_at_once_and_one_that_breaks_off_is_seen_as_not_whole() {
    let listener = backend();
    let proxy = Proxy::start_managed(&[&listener], "127.0.0.1:0", &[]);
    // With its length, in chunks, and up to the end of the connection.
    let heads = ["Content-Length: 100000\r\n", "Transfer-Encoding: chunked\r\n", ""];
    let chunks = ["", "5\r\nfirst\r\n", ""];
    for (lines, chunk) in heads.into_iter().zip(chunks) {
        let mut client = proxy.connect();
        write(&mut client, &request("GET", "/read", "5"));
        let mut conn = accept(&listener);
        read_message(&mut conn);
        write(&mut conn, &format!("HTTP/1.1 200 OK\r\n{lines}\r\n"));
        write(&mut conn, if chunk.is_empty() { "first" } else { chunk });
        let head = head(&mut client);
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        let mut first = [0; 5];
        client.read_exact(&mut first).unwrap();
        // Guards against a reset taking the first bytes with it: an error ends the connection too.
        socket2::SockRef::from(&conn).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(conn);
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        let text = [&first[..], &rest].concat();
        let whole = text.ends_with(b"0\r\n\r\n") || text.len() >= 100_000;
        assert!(!whole, "{lines:?}: {:?}", String::from_utf8_lossy(&text));
    }
    assert_eq!(proxy.metric("svc.requests.read.failed"), Some(3));
}

#[test]
fn what_lasts_to_the_connections_end_goes_on_in_chunks() {
    let listener = backend();
    let proxy = Proxy::start(&[&listener]);
    let mut client = proxy.connect();
    write(&mut client, &request("GET", "/read", "5"));
    let mut conn = accept(&listener);
    read_message(&mut conn);
    write(&mut conn, "HTTP/1.1 200 OK\r\n\r\n");
    conn.write_all(&bytes(LONG)).unwrap();
    conn.shutdown(Shutdown::Both).unwrap();
    assert!(head(&mut client).contains("Transfer-Encoding: chunked\r\n"));
    let mut seen = Vec::new();
    client.read_to_end(&mut seen).unwrap();
    let mut body = Body::new(Framing::Chunked);
    assert_eq!(body.parse_buffered(&seen, false, LONG), Ok(Some(seen.len())));
    assert!(body.decode(&seen) == bytes(LONG));
}

/// Begins an upload of so many bytes, of which the first backend takes `before` and then breaks.
fn broken_upload(length: usize, before: usize) -> (u16, Option<Vec<u8>>) {
    let (first, (second, told)) = (backend(), taking(|_| response("200 OK", "", "").into_bytes()));
    let proxy = Proxy::start_managed(&[&first, &second], "127.0.0.1:0", &[]);
    // Only the one that breaks is there at first.
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/h1").0, 200);
    let (mut client, sent) = (proxy.connect(), bytes(length));
    write(&mut client, &upload(length));
    client.write_all(&sent[..before]).unwrap();
    let mut conn = accept(&first);
    head(&mut conn);
    conn.read_exact(&mut vec![0; before]).unwrap();
    assert_eq!(proxy.admin_request("PUT", "/backends/enable/h1").0, 200);
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/h0").0, 200);
    drop(conn);
    let _ = client.write_all(&sent[before..]);
    let status = head(&mut client).split(' ').nth(1).and_then(|status| status.parse().ok());
    (status.unwrap_or_default(), told.try_recv().ok())
}

#[test]
fn a_request_that_is_still_held_goes_to_another_backend_and_one_that_is_not_is_answered() {
    let (status, body) = broken_upload(300_000, 200_000);
    assert_eq!((status, body), (200, Some(bytes(300_000))));
    // Refused, since what was never whole has never run.
    let (status, body) = broken_upload(LONG, 2_000_000);
    assert_eq!((status, body), (503, None));
}

#[test]
fn a_body_that_stops_coming_ends_its_request() {
    let listener = backend();
    let proxy = Proxy::start_managed(&[&listener], "127.0.0.1:0", &[]);
    for length in [500, LONG] {
        let mut client = proxy.connect();
        write(&mut client, &upload(length));
        client.write_all(&bytes(length / 2)).unwrap();
        assert!(head(&mut client).starts_with("HTTP/1.1 408 "), "{length}");
    }
    assert_eq!(proxy.metric("svc.in_flight"), Some(0));
    assert_eq!(proxy.metric("svc.attempts"), Some(0));
}

#[test]
fn a_body_in_pieces_of_any_size_ends_where_it_does() {
    let plain = bytes(5_000);
    let mut chunked = Vec::new();
    for (number, piece) in plain.chunks(700).enumerate() {
        let extension = if number % 2 == 0 { ";a=\"b\"" } else { "" };
        chunked.extend_from_slice(format!("{:X}{extension}\r\n", piece.len()).as_bytes());
        chunked.extend_from_slice(piece);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\nTrailer: 1\r\nOther: 2\r\n\r\n");
    let mut rng = Rand32::new(7);
    for (framing, message) in [(Framing::Length(5_000), &plain), (Framing::Chunked, &chunked)] {
        let text = [message.as_slice(), b"GET /next"].concat();
        for _ in 0..500 {
            let (mut body, mut at) = (Body::new(framing), 0);
            while !body.is_complete() {
                let most = [2, 10, 900][rng.rand_range(0..3) as usize];
                let end = text.len().min(at + rng.rand_range(1..most) as usize);
                at += body.parse(&text[at..end]).unwrap();
            }
            assert_eq!((at, body.size()), (message.len(), 5_000));
        }
    }
}

#[test]
fn chunks_that_can_be_read_in_two_ways_are_refused() {
    let line = |length| format!("1;{}\r\n", "x".repeat(length));
    let cases = [
        ("5\nhello", HttpError::Malformed),
        ("\r\n", HttpError::Malformed),
        ("0x5\r\nhello", HttpError::Malformed),
        ("-1\r\n", HttpError::Malformed),
        ("1;a\nb\r\nx", HttpError::Malformed),
        ("1\r\nxy", HttpError::Malformed),
        ("1\r\nx\n", HttpError::Malformed),
        ("0\r\n\n", HttpError::Malformed),
        ("0\r\nTrailer: 1\n\r\n", HttpError::Malformed),
        ("00000000000000001\r\n", HttpError::Malformed),
        ("FFFFFFFFFFFFFFFF\r\n", HttpError::BodyTooLarge),
        (&format!("{:x}\r\n", MAX_BODY_BYTES + 1), HttpError::BodyTooLarge),
        (&line(1_000), HttpError::Malformed),
        (&format!("0\r\n{}", "x".repeat(20_000)), HttpError::HeadTooLarge),
    ];
    for (text, bad) in cases {
        assert_eq!(Body::new(Framing::Chunked).parse(text.as_bytes()), Err(bad), "{text:.40?}");
    }
}
