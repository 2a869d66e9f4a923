//! Answers of backends that end in the wrong place: no client takes one for whole, and what may run once runs once.

mod helper;

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use helper::{accept, backend, close, counter, read_message, request, response, settings, write, Proxy};

/// Closes a connection with a reset.
fn reset(conn: TcpStream) {
    socket2::SockRef::from(&conn).set_linger(Some(Duration::ZERO)).unwrap();
}

/// How an answer ends that has begun with some bytes.
type End = fn(TcpStream);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNKNOWN: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// Sends a request and ends the answer to it; all that the client gets, and how many attempts there were.
fn all_that_comes(method: &str, path: &str, begins: &str, end: End) -> (Vec<u8>, u64) {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut client = proxy.connect();
    write(&mut client, &request(method, path, "30"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    // Both in one turn: guards against a part that goes on before the end is there.
    proxy.pause();
    write(&mut conn, begins);
    end(conn);
    proxy.resume();
    let (listener, mut all) = (backend.try_clone().unwrap(), Vec::new());
    std::thread::spawn(move || serve(&listener));
    let _ = client.read_to_end(&mut all);
    (all, counter(&proxy, "forwards"))
}

/// Answers what comes from here on.
fn serve(listener: &TcpListener) {
    while let Ok((mut conn, _)) = listener.accept() {
        if !read_message(&mut conn).is_empty() {
            write(&mut conn, &response("200 OK", "Connection: close\r\n", "fine"));
        }
    }
}

/// Each of them begins well.
const ENDS: [(&str, &str, End); 6] = [
    ("no length, reset", "half of it", reset),
    ("no length, reset before its body", "", reset),
    ("a length, an end before it", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", close),
    ("a length, reset before it", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", reset),
    ("chunks, an end within one", "5\r\nhal", close),
    ("chunks, an end between two", "4\r\nhalf\r\n", close),
];

fn beginning(what: &str, begins: &str) -> String {
    let head = match what.split(',').next() {
        Some("no length") => UNKNOWN,
        Some("chunks") => CHUNKED,
        _ => "",
    };
    format!("{head}{begins}")
}

#[test]
fn what_may_run_once_fails_when_its_answer_breaks_off_and_is_not_sent_again() {
    for (what, begins, end) in ENDS {
        let (all, attempts) = all_that_comes("POST", "/write", &beginning(what, begins), end);
        assert!(all.starts_with(b"HTTP/1.1 502"), "{what}: {}", String::from_utf8_lossy(&all));
        assert_eq!(attempts, 1, "{what}");
    }
}

#[test]
fn what_is_safe_to_repeat_goes_again_when_its_answer_breaks_off() {
    for (what, begins, end) in ENDS {
        let (all, attempts) = all_that_comes("GET", "/read", &beginning(what, begins), end);
        assert!(all.ends_with(b"fine"), "{what}: {}", String::from_utf8_lossy(&all));
        assert_eq!(attempts, 2, "{what}");
    }
}

/// Once a part of it has gone on, its client sees that it is not whole: the last chunk never comes.
#[test]
fn an_answer_without_a_length_that_is_reset_later_is_not_whole_to_the_client() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut client = proxy.connect();
    write(&mut client, &request("POST", "/write", "30"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    write(&mut conn, &format!("{UNKNOWN}half"));
    let (mut all, mut byte) = (Vec::new(), [0]);
    while !all.ends_with(b"half\r\n") {
        client.read_exact(&mut byte).unwrap();
        all.extend(byte);
    }
    reset(conn);
    let _ = client.read_to_end(&mut all);
    let text = String::from_utf8(all).unwrap();
    assert!(text.contains("Transfer-Encoding: chunked") && !text.ends_with("0\r\n\r\n"), "{text}");
    assert_eq!(counter(&proxy, "forwards"), 1);
}

/// Words on the way are no answer: silence behind them ends as silence does, by the request's time.
#[test]
fn a_word_on_the_way_and_then_silence_is_silence() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(500, ""));
    let (mut client, from) = (proxy.connect(), Instant::now());
    write(&mut client, &request("POST", "/write", "1"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    write(&mut conn, "HTTP/1.1 102 Processing\r\n\r\n");
    assert!(read_message(&mut client).starts_with("HTTP/1.1 502"));
    assert!(from.elapsed() < Duration::from_secs(1), "{:?}", from.elapsed());
    assert_eq!(conn.read(&mut [0]).unwrap(), 0, "and the attempt is given up");
}

/// An answer and the end of the time for it, found in one turn: it is an answer.
#[test]
fn an_answer_that_is_there_when_its_time_is_up_counts() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(400, ""));
    let mut client = proxy.connect();
    write(&mut client, &request("POST", "/write", "0.8"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    proxy.pause();
    write(&mut conn, &response("200 OK", "", "fine"));
    std::thread::sleep(Duration::from_millis(900)); // its time passes while the loop stands still
    proxy.resume();
    assert!(read_message(&mut client).ends_with("fine"));
    assert_eq!(counter(&proxy, "overdue"), 0);
}
