//! Connections to backends that are kept, and what may still come on them.

mod helper;

use std::net::{TcpListener, TcpStream};

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
