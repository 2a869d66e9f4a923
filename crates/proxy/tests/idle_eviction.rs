//! Connections that leave to make room for new ones, in the moment in which something comes on them.

mod helper;

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

use helper::{accept, backend, keep_alive_request, read_message, response, settings, write, Proxy};

const SOCKETS: usize = 64;

fn ready(client: &mut TcpStream) -> bool {
    write(client, "GET /ready HTTP/1.1\r\n\r\n");
    read_message(client).starts_with("HTTP/1.1 200")
}

/// Guards against closing on a request that is there and was not read: the connection that was to leave stays.
#[test]
fn a_connection_chosen_to_make_room_that_has_a_request_in_its_buffer_is_served() {
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], SOCKETS, &settings(20_000, ""));
    // Connections rest until there is room for no more; the first of them rests for longest, and would leave first.
    let mut resting: Vec<TcpStream> = Vec::new();
    let room = (SOCKETS - 16) * 7 / 8;
    for _ in 0..room {
        let mut client = proxy.connect();
        if resting.len() < room / 2 {
            assert!(ready(&mut client));
        }
        resting.push(client);
    }
    std::thread::sleep(Duration::from_millis(2_100)); // until none counts as just used
    proxy.pause();
    let mut new: Vec<_> = (0..3).map(|_| proxy.connect()).collect();
    for client in &mut new {
        write(client, &keep_alive_request("POST", "/write"));
    }
    write(&mut resting[0], &keep_alive_request("POST", "/write"));
    proxy.resume();
    for _ in 0..4 {
        let mut conn = accept(&backend);
        read_message(&mut conn);
        write(&mut conn, &response("200 OK", "Connection: close\r\n", "fine"));
    }
    for client in new.iter_mut().chain([&mut resting[0]]) {
        assert!(read_message(client).ends_with("fine"));
    }
    for (place, client) in resting.iter_mut().enumerate().skip(1).take(3) {
        assert_eq!(client.read(&mut [0]).unwrap(), 0, "connection {place} leaves in its place");
    }
}
