//! Connections to backends that are kept, and what may still come on them.

mod helper;

use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use helper::{accept, answer, asks, backend, close, kept, message, settings, write, Proxy};

/// A proxy that has one connection to its backend, on which a request was answered, and another client.
fn rested() -> (Proxy, TcpListener, TcpStream, TcpStream) {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut one = asks(&proxy, &kept("GET", "/read"));
    let mut first = accept(&backend);
    message(&mut first);
    write(&mut first, &answer("200 OK", "", "one"));
    assert!(message(&mut one).ends_with("one"));
    let other = proxy.connect();
    (proxy, backend, first, other)
}

/// Guards against a backend's second answer to one request passing for its answer to the next, another client's: of
/// two connections the next request takes the one that has rested, not the one whose answer has just come.
#[test]
fn a_second_answer_that_comes_late_is_not_the_next_requests() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let (mut one, mut other) = (proxy.connect(), proxy.connect());
    let [mut first, mut rests] = [&mut one, &mut other].map(|client| {
        write(client, &kept("GET", "/read"));
        let mut conn = accept(&backend);
        message(&mut conn);
        conn
    });
    write(&mut rests, &answer("200 OK", "", "rests"));
    assert!(message(&mut other).ends_with("rests"));
    std::thread::sleep(Duration::from_millis(20));
    // The answer and the next request are there in one turn of the loop, and the second answer after that.
    proxy.hold();
    write(&mut first, &answer("200 OK", "", "one"));
    write(&mut other, &kept("GET", "/read"));
    proxy.go_on();
    assert!(message(&mut one).ends_with("one"));
    assert!(message(&mut rests).starts_with("GET /read"), "it goes on the connection that has rested");
    write(&mut first, &answer("200 OK", "", "one"));
    let ended = first.read(&mut [0]).map_err(|e| e.kind());
    assert!(
        matches!(ended, Ok(0) | Err(ErrorKind::ConnectionReset)),
        "what answers unasked is closed: {ended:?}"
    );
    write(&mut rests, &answer("200 OK", "", "other"));
    assert!(message(&mut other).ends_with("other"));
}

/// What came behind an answer is seen before the connection is used again, also where both are found in one turn.
#[test]
fn a_second_answer_and_the_next_request_in_one_turn_do_not_meet() {
    let (proxy, backend, mut first, mut other) = rested();
    proxy.hold();
    write(&mut other, &kept("GET", "/read"));
    write(&mut first, &answer("200 OK", "", "one"));
    proxy.go_on();
    let mut second = accept(&backend);
    message(&mut second);
    write(&mut second, &answer("200 OK", "", "other"));
    assert!(message(&mut other).ends_with("other"));
}

/// A kept connection that the backend closes in the moment of the next request: that goes on a new one.
#[test]
fn a_close_and_the_next_request_in_one_turn_cost_nothing() {
    let (proxy, backend, first, mut other) = rested();
    proxy.hold();
    write(&mut other, &kept("GET", "/read"));
    close(first);
    proxy.go_on();
    let mut second = accept(&backend);
    message(&mut second);
    write(&mut second, &answer("200 OK", "", "other"));
    assert!(message(&mut other).ends_with("other"));
}
