//! SIGTERM with connections open: what crosses the moment in which the proxy shuts them.

mod helper;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use helper::{
    accept, backend, close, counter, keep_alive_request, read_message, response, settings, write, Proxy,
};

/// A connection on which a request was answered, and that rests.
fn resting(proxy: &Proxy, backend: &std::net::TcpListener) -> TcpStream {
    let mut client = proxy.connect();
    write(&mut client, &keep_alive_request("POST", "/write"));
    let mut conn = accept(backend);
    read_message(&mut conn);
    write(&mut conn, &response("200 OK", "Connection: close\r\n", "fine"));
    assert!(read_message(&mut client).ends_with("fine"));
    client
}

/// A client that waits for its answer while the proxy goes down, and its attempt: until it has it, the proxy stays.
fn owed(proxy: &Proxy, backend: &std::net::TcpListener) -> (TcpStream, TcpStream) {
    let mut client = proxy.connect();
    write(&mut client, &keep_alive_request("POST", "/write"));
    let mut conn = accept(backend);
    read_message(&mut conn);
    (client, conn)
}

/// Guards against a close over bytes that come in this very moment: it resets the connection, and what the client has
/// not read yet may go with it. What is read after the shutdown goes nowhere.
#[test]
fn a_request_that_crosses_the_shutdown_of_a_resting_connection_is_neither_reset_nor_sent_on() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut rests = resting(&proxy, &backend);
    let (mut waits, mut conn) = owed(&proxy, &backend);
    proxy.signal("-TERM");
    assert_eq!(rests.read(&mut [0]).unwrap(), 0, "the proxy ends a connection that rests");
    write(&mut rests, &keep_alive_request("POST", "/write"));
    // On loopback a reset is there as soon as the bytes are.
    assert!(rests.take_error().unwrap().is_none(), "the connection was reset");
    assert_eq!(rests.read(&mut [0]).unwrap(), 0);
    assert_eq!(counter(&proxy, "taken"), 2, "and the request is not taken");
    write(&mut conn, &response("200 OK", "", "fine"));
    assert!(read_message(&mut waits).ends_with("fine"));
    close(waits);
    close(rests);
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// The same where the proxy ends a connection that nothing came on for 15 s.
#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_is_neither_reset_nor_sent_on() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut rests = resting(&proxy, &backend);
    rests.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    assert_eq!(rests.read(&mut [0]).unwrap(), 0, "the proxy ends a connection that rests");
    write(&mut rests, &keep_alive_request("POST", "/write"));
    assert!(rests.take_error().unwrap().is_none(), "the connection was reset");
    assert_eq!(rests.read(&mut [0]).unwrap(), 0);
    assert_eq!(counter(&proxy, "taken"), 1, "and the request is not taken");
}

/// The proxy ends only when the last client has read its answer and closed, or has had time to.
#[test]
fn it_ends_when_the_last_client_has_closed() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut rests = resting(&proxy, &backend);
    let (mut waits, mut conn) = owed(&proxy, &backend);
    proxy.signal("-TERM");
    assert_eq!(rests.read(&mut [0]).unwrap(), 0, "from here on it ends as soon as nothing is owed");
    close(rests);
    write(&mut conn, &response("200 OK", "", "fine"));
    let text = read_message(&mut waits);
    assert!(text.contains("Connection: close") && text.ends_with("fine"), "{text}");
    assert_eq!(waits.read(&mut [0]).unwrap(), 0);
    // It is given a second to close. What comes on its way at this moment finds somebody.
    std::thread::sleep(Duration::from_millis(100));
    write(&mut waits, &keep_alive_request("POST", "/write"));
    assert!(waits.take_error().unwrap().is_none(), "the connection was reset");
    close(waits);
    assert!(proxy.wait_for_log("stopped").contains("taken=2"));
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// A request on a resting connection that is there before the proxy looks is served, however it came.
#[test]
fn requests_that_come_before_the_shutdown_are_answered_also_when_the_signal_is_read_first() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut rests = resting(&proxy, &backend);
    proxy.pause();
    proxy.signal("-TERM");
    let mut new = proxy.connect();
    write(&mut new, &keep_alive_request("POST", "/write"));
    write(&mut rests, &keep_alive_request("POST", "/write"));
    proxy.resume();
    let mut conns = [accept(&backend), accept(&backend)];
    for conn in &mut conns {
        read_message(conn);
        write(conn, &response("200 OK", "", "fine"));
    }
    for client in [&mut new, &mut rests] {
        let text = read_message(client);
        assert!(text.contains("Connection: close") && text.ends_with("fine"), "{text}");
    }
    close(new);
    close(rests);
    let counters = proxy.wait_for_log("stopped");
    assert!(counters.contains("taken=3") && counters.contains("honoured=3"), "{counters}");
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// Of a row of piped requests the first is answered and says that the connection ends; the rest is not taken, so that
/// its client may send it again elsewhere.
#[test]
fn of_piped_requests_each_one_taken_is_answered() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut client = proxy.connect();
    write(&mut client, &keep_alive_request("POST", "/write").repeat(3));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    proxy.signal("-TERM");
    proxy.wait_for_log("signal");
    write(&mut conn, &response("200 OK", "", "fine"));
    let text = read_message(&mut client);
    assert!(text.contains("Connection: close") && text.ends_with("fine"), "{text}");
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    close(client);
    assert!(proxy.wait_for_log("stopped").contains("taken=1"));
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// A client that never closes holds nothing up for long.
#[test]
fn a_client_that_stays_does_not_hold_it_back_for_ever() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(1000, ""));
    let mut stays = resting(&proxy, &backend);
    let start = Instant::now();
    proxy.signal("-TERM");
    assert_eq!(stays.read(&mut [0]).unwrap(), 0);
    let _ = stays.write(b"POST /wri");
    assert_eq!(proxy.wait_for_exit(), Some(0));
    // SIGKILL may come as soon as the longest deadline (2 s here) and 0.7 s after SIGTERM.
    assert!(start.elapsed() < Duration::from_millis(2000 + 700), "{:?}", start.elapsed());
}

/// What waits for a place when the signal comes gets one, or its answer in time.
#[test]
fn what_is_still_queued_is_served() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings(20_000, ""));
    let mut out: Vec<_> = (0..4).map(|_| owed(&proxy, &backend)).collect();
    let mut queued = proxy.connect();
    write(&mut queued, &keep_alive_request("POST", "/write"));
    while counter(&proxy, "taken") < 5 {}
    assert_eq!(counter(&proxy, "forwards"), 4, "it waits");
    proxy.signal("-TERM");
    proxy.wait_for_log("signal");
    write(&mut out[0].1, &response("200 OK", "Connection: close\r\n", "fine"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    for conn in out.iter_mut().skip(1).map(|(_, conn)| conn).chain([&mut conn]) {
        write(conn, &response("200 OK", "", "fine"));
    }
    for client in out.iter_mut().map(|(client, _)| client).chain([&mut queued]) {
        let text = read_message(client);
        assert!(text.contains("Connection: close") && text.ends_with("fine"), "{text}");
    }
}
