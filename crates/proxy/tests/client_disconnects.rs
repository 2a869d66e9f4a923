//! Clients that close their connections: from then on nothing begins that only they wait for.

mod helper;

use std::io::Read;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use helper::{
    accept, backend, close, counter, keep_alive_request, read_message, request_id, response, send_request,
    settings, unreachable_backend, write, Proxy,
};

/// Longer than the loop goes on without a wait that tells what is ready.
const HELD: Duration = Duration::from_millis(20);

fn long() -> String {
    settings(40_000, "")
}

/// Requests up to the limit, each on its way at the backend, so that what comes next waits.
fn busy(proxy: &Proxy, backend: &TcpListener) -> Vec<(TcpStream, TcpStream)> {
    let mut out = Vec::new();
    for _ in 0..4 {
        let client = send_request(proxy, &keep_alive_request("GET", "/read"));
        let mut conn = accept(backend);
        read_message(&mut conn);
        out.push((client, conn));
    }
    out
}

/// A place falls free and the client that would get it closes, both while the loop stands still, so that it finds
/// both in one turn, the free place first. `more` is what the client has sent behind its request.
fn a_close_and_a_free_place_in_one_turn(more: &str) {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &long());
    let mut out = busy(&proxy, &backend);
    let (gone, stays) = (keep_alive_request("GET", "/read"), keep_alive_request("GET", "/read"));
    let leaver = send_request(&proxy, &(gone.clone() + more));
    while counter(&proxy, "taken") < 5 {}
    let waiter = send_request(&proxy, &stays);
    while counter(&proxy, "taken") < 6 {}
    assert_eq!(counter(&proxy, "forwards"), 4, "both wait");
    proxy.pause();
    let (_client, conn) = &mut out[0];
    write(conn, &response("200 OK", "Connection: close\r\n", "fine"));
    close(leaver);
    std::thread::sleep(HELD);
    proxy.resume();
    let mut next = accept(&backend);
    assert_eq!(
        request_id(&read_message(&mut next)),
        request_id(&stays),
        "the next is the one whose client waits"
    );
    assert_eq!((counter(&proxy, "left"), counter(&proxy, "forwards")), (1, 5));
    drop(waiter);
}

#[test]
fn a_close_is_seen_before_the_place_that_falls_free_in_the_same_turn() {
    a_close_and_a_free_place_in_one_turn("");
}

#[test]
fn a_close_behind_half_a_request_is_seen_first() {
    a_close_and_a_free_place_in_one_turn("GET /read HTTP/1.1\r\nHost: api");
}

#[test]
fn a_close_behind_piped_requests_is_seen_first_and_none_of_them_goes_on() {
    a_close_and_a_free_place_in_one_turn(&keep_alive_request("GET", "/read").repeat(3));
}

#[test]
fn a_close_behind_more_than_is_read_at_once_is_seen_first() {
    a_close_and_a_free_place_in_one_turn(&keep_alive_request("GET", "/read").repeat(400));
}

/// Guards against a close that waits in the kernel behind more events than are taken at once.
#[test]
fn a_close_behind_a_flood_of_events_is_seen_first() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &long());
    let mut out = busy(&proxy, &backend);
    let (gone, stays) = (keep_alive_request("GET", "/read"), keep_alive_request("GET", "/read"));
    let leaver = send_request(&proxy, &gone);
    while counter(&proxy, "taken") < 5 {}
    let _waiter = send_request(&proxy, &stays);
    let mut crowd: Vec<_> = (0..300).map(|_| send_request(&proxy, "GET /ready HTTP/1.1\r\n\r\n")).collect();
    crowd.iter_mut().for_each(|client| drop(read_message(client)));
    while counter(&proxy, "taken") < 6 {}
    proxy.pause();
    write(&mut out[0].1, &response("200 OK", "Connection: close\r\n", "fine"));
    crowd.iter_mut().for_each(|client| write(client, "GET /ready HTTP/1.1\r\n\r\n"));
    close(leaver);
    std::thread::sleep(HELD);
    proxy.resume();
    let mut next = accept(&backend);
    assert_eq!(
        request_id(&read_message(&mut next)),
        request_id(&stays),
        "the next is the one whose client waits"
    );
    assert_eq!((counter(&proxy, "left"), counter(&proxy, "forwards")), (1, 5));
}

/// Guards against a row of requests, longer than what is read ahead, in which the end of its client goes unseen.
#[test]
fn a_close_behind_a_long_row_of_requests_ends_the_attempt_that_is_out() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &long());
    let client = send_request(&proxy, &keep_alive_request("GET", "/read"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    let mut row = client.try_clone().unwrap();
    write(&mut row, &keep_alive_request("GET", "/read").repeat(400));
    close(client);
    drop(row);
    assert_eq!(conn.read(&mut [0]).unwrap(), 0, "the attempt is called off");
    assert_eq!(
        (counter(&proxy, "taken"), counter(&proxy, "forwards")),
        (1, 1),
        "and nothing of the row goes on"
    );
}

/// The same of a client that shuts its side of the connection only.
#[test]
fn a_client_that_shuts_its_side_behind_a_long_row_is_gone() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &long());
    let mut client = send_request(&proxy, &keep_alive_request("GET", "/read"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    write(&mut client, &keep_alive_request("GET", "/read").repeat(400));
    client.shutdown(Shutdown::Write).unwrap();
    assert_eq!(conn.read(&mut [0]).unwrap(), 0, "the attempt is called off");
    assert_eq!(counter(&proxy, "taken"), 1);
}

/// A dial ends with the client, also at a deployment where nothing that runs may be called off.
#[test]
fn a_dial_under_way_is_called_off_with_its_client() {
    for cancelling in ["true", "false"] {
        let (backend, _full) = unreachable_backend();
        let long = settings(40_000, "").replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":50000");
        let long = long.replace("\"cancelling\":true", &format!("\"cancelling\":{cancelling}"));
        let proxy = Proxy::start_with(&[&backend], 1024, &long);
        let client = send_request(&proxy, &keep_alive_request("POST", "/write"));
        while counter(&proxy, "dialled") < 1 {}
        close(client);
        while counter(&proxy, "left") < 1 {}
        assert_eq!(counter(&proxy, "ended_not_sent"), 1, "with cancelling {cancelling}");
    }
}

/// What runs goes on where it may not be called off.
#[test]
fn what_runs_is_left_alone_where_nothing_may_be_called_off() {
    let backend = backend();
    let long = long().replace("\"cancelling\":true", "\"cancelling\":false");
    let proxy = Proxy::start_with(&[&backend], 1024, &long);
    let client = send_request(&proxy, &keep_alive_request("POST", "/write"));
    let mut conn = accept(&backend);
    read_message(&mut conn);
    close(client);
    while counter(&proxy, "left") < 1 {}
    conn.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    assert!(conn.read(&mut [0]).is_err(), "the connection stays");
    write(&mut conn, &response("200 OK", "", "fine"));
    while counter(&proxy, "ended_honoured") < 1 {}
}
