//! Reuse of idle connections to backends on which an unsolicited response or a close arrives along with the
//! next request.

mod helper;

use std::net::{TcpListener, TcpStream};

use helper::{
    accept, backend, close, keep_alive_request, read_message, response, send_request, settings, write, Proxy,
};

/// A proxy with one idle connection to its backend, on which one request was served. Returns the proxy, the
/// listener of the backend, that connection, and a new client.
fn proxy_with_an_idle_backend_connection() -> (Proxy, TcpListener, TcpStream, TcpStream) {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut first_client = send_request(&proxy, &keep_alive_request("GET", "/read"));
    let mut first = accept(&backend);
    read_message(&mut first);
    write(&mut first, &response("200 OK", "", "one"));
    assert!(read_message(&mut first_client).ends_with("one"));
    let second_client = proxy.connect();
    (proxy, backend, first, second_client)
}

/// Guards against a second response on an idle connection being taken for the response to the next request:
/// the proxy sees it before it uses the connection again, also when it finds both in one iteration of its
/// loop.
#[test]
fn unsolicited_response_is_not_matched_to_the_next_request_of_the_same_iteration() {
    let (proxy, backend, mut first, mut second_client) = proxy_with_an_idle_backend_connection();
    proxy.pause();
    write(&mut second_client, &keep_alive_request("GET", "/read"));
    write(&mut first, &response("200 OK", "", "one"));
    proxy.resume();
    let mut second = accept(&backend);
    read_message(&mut second);
    write(&mut second, &response("200 OK", "", "other"));
    assert!(read_message(&mut second_client).ends_with("other"));
}

/// When the backend closes an idle connection just as the next request arrives, that request goes to a new
/// connection.
#[test]
fn close_of_an_idle_connection_does_not_fail_the_next_request_of_the_same_iteration() {
    let (proxy, backend, first, mut second_client) = proxy_with_an_idle_backend_connection();
    proxy.pause();
    write(&mut second_client, &keep_alive_request("GET", "/read"));
    close(first);
    proxy.resume();
    let mut second = accept(&backend);
    read_message(&mut second);
    write(&mut second, &response("200 OK", "", "other"));
    assert!(read_message(&mut second_client).ends_with("other"));
}
