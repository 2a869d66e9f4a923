//! Connections to backends that are kept, and what may still come on them.

mod helper;

use std::net::{TcpListener, TcpStream};

use helper::{
    accept, backend, close, keep_alive_request, read_message, response, send_request, settings, write, Proxy,
};

/// A proxy that has one connection to its backend, on which a request was answered, and another client.
fn rested() -> (Proxy, TcpListener, TcpStream, TcpStream) {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut one = send_request(&proxy, &keep_alive_request("GET", "/read"));
    let mut first = accept(&backend);
    read_message(&mut first);
    write(&mut first, &response("200 OK", "", "one"));
    assert!(read_message(&mut one).ends_with("one"));
    let other = proxy.connect();
    (proxy, backend, first, other)
}

/// What came behind an answer is seen before the connection is used again, also where both are found in one turn.
#[test]
fn a_second_answer_and_the_next_request_in_one_turn_do_not_meet() {
    let (proxy, backend, mut first, mut other) = rested();
    proxy.pause();
    write(&mut other, &keep_alive_request("GET", "/read"));
    write(&mut first, &response("200 OK", "", "one"));
    proxy.resume();
    let mut second = accept(&backend);
    read_message(&mut second);
    write(&mut second, &response("200 OK", "", "other"));
    assert!(read_message(&mut other).ends_with("other"));
}

/// A kept connection that the backend closes in the moment of the next request: that goes on a new one.
#[test]
fn a_close_and_the_next_request_in_one_turn_cost_nothing() {
    let (proxy, backend, first, mut other) = rested();
    proxy.pause();
    write(&mut other, &keep_alive_request("GET", "/read"));
    close(first);
    proxy.resume();
    let mut second = accept(&backend);
    read_message(&mut second);
    write(&mut second, &response("200 OK", "", "other"));
    assert!(read_message(&mut other).ends_with("other"));
}
