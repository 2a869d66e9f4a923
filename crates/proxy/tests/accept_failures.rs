//! Transient failures of accept(2): clients that have connected are served as soon as it succeeds again.

mod helper;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{backend, keep_alive_request, read_message, serve, settings, write, Proxy};
use rustix::process::{prlimit, Pid, Resource, Rlimit};

/// All transient errors of accept(2).
const TRANSIENT_ERRORS: [u32; 15] = [
    errno::EINTR,
    errno::ECONNABORTED,
    errno::EMFILE,
    errno::ENFILE,
    errno::ENOBUFS,
    errno::ENOMEM,
    errno::EPERM,
    errno::EPROTO,
    errno::ENETDOWN,
    errno::ENOPROTOOPT,
    errno::EHOSTDOWN,
    errno::EHOSTUNREACH,
    errno::EOPNOTSUPP,
    errno::ENETUNREACH,
    errno::ETIMEDOUT,
];
const CLIENTS: usize = 8;
/// Much shorter than the 2 s after which a silent client connection may be closed.
const MAX_DELAY: Duration = Duration::from_millis(500);

fn round_trip(client: &mut TcpStream) -> String {
    write(client, &keep_alive_request("GET", "/read"));
    read_message(client)
}

/// Clients whose connections have each carried a request.
fn active_clients(proxy: &Proxy) -> Vec<TcpStream> {
    let connect = |_| {
        let mut client = proxy.connect();
        assert!(round_trip(&mut client).ends_with("fine"));
        client
    };
    (0..CLIENTS).map(connect).collect()
}

/// Guards against a transient failure being treated as a lasting shortage of descriptors: each one lowered
/// the limit of clients, which never rose again (report f14a60).
#[test]
fn a_new_connection_is_served_once_accept_succeeds_again() {
    for error in TRANSIENT_ERRORS {
        for times in [1, 5] {
            let listener = backend();
            let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
            serve(listener);
            let mut clients = active_clients(&proxy);
            shim.inject(Fault::with_error(SystemCall::Accept, error, times));
            let mut new_client = proxy.connect();
            let start = Instant::now();
            write(&mut new_client, &keep_alive_request("GET", "/read"));
            new_client.set_read_timeout(Some(MAX_DELAY)).unwrap();
            let peeked = new_client.peek(&mut [0]);
            let case = format!("{times} times error {error}, after {:?}", start.elapsed());
            assert_eq!(peeked.ok(), Some(1), "no response in time: {case}");
            assert!(read_message(&mut new_client).ends_with("fine"), "{case}");
            assert_eq!(shim.hits(SystemCall::Accept), times, "{case}");
            clients.iter_mut().for_each(|client| assert!(round_trip(client).ends_with("fine"), "{case}"));
        }
    }
}

/// Guards against dropping an accepted connection unanswered because its registration with epoll fails at
/// first.
#[test]
fn an_accepted_connection_is_served_when_its_epoll_registration_fails_at_first() {
    for error in [errno::ENOMEM, errno::ENOSPC] {
        for times in [1, 5] {
            let listener = backend();
            let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
            serve(listener);
            let port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
            shim.inject(Fault::with_error(SystemCall::EpollAdd, error, times).on_port(port));
            let mut new_client = proxy.connect();
            write(&mut new_client, &keep_alive_request("GET", "/read"));
            new_client.set_read_timeout(Some(MAX_DELAY)).unwrap();
            let case = format!("{times} times error {error}");
            assert_eq!(new_client.peek(&mut [0]).ok(), Some(1), "no response in time: {case}");
            assert!(read_message(&mut new_client).ends_with("fine"), "{case}");
            // Served or not, registration is retried until it succeeds.
            shim.wait_for_hits(SystemCall::EpollAdd, times);
        }
    }
}

/// Guards against connections in the accept backlog being reset with the listener: this happens if `accept`
/// fails at the moment at which the proxy stops listening.
#[test]
fn connections_in_the_backlog_are_served_when_accept_fails_during_shutdown() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    serve(listener);
    proxy.signal("-TERM");
    std::thread::sleep(Duration::from_millis(450));
    shim.inject(Fault::with_error(SystemCall::Accept, errno::ENFILE, 60));
    let mut clients: Vec<_> = (0..4).map(|_| proxy.connect()).collect();
    clients.iter_mut().for_each(|client| write(client, &keep_alive_request("GET", "/read")));
    for client in &mut clients {
        assert_eq!(client.peek(&mut [0]).ok(), Some(1), "no response");
        assert!(read_message(client).contains("Connection: close"));
    }
    drop(clients);
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// Guards against an admin client waiting until the next one connects.
#[test]
fn admin_clients_are_answered_once_accept_succeeds_again() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    for error in TRANSIENT_ERRORS {
        shim.inject(Fault::with_error(SystemCall::Accept, error, 2));
        let mut admin_client = TcpStream::connect(&proxy.management).unwrap();
        write(&mut admin_client, "GET /ready HTTP/1.1\r\n\r\n");
        admin_client.set_read_timeout(Some(MAX_DELAY)).unwrap();
        assert_eq!(admin_client.peek(&mut [0]).ok(), Some(1), "error {error}");
    }
}

/// Guards against a limit of descriptors that stays in force after operators have raised it.
#[test]
fn more_clients_are_accepted_once_the_descriptor_limit_is_raised() {
    let listener = backend();
    let proxy = Proxy::start_limited(&[&listener], 1024, 1024, &settings(5000, ""));
    let process = Pid::from_raw(proxy.pid() as i32);
    let set_limit =
        |current| prlimit(process, Resource::Nofile, Rlimit { current: Some(current), maximum: Some(1024) });
    set_limit(40).unwrap();
    let mut clients: Vec<_> = (0..60).map(|_| proxy.connect()).collect();
    proxy.wait_for_log("cannot accept");
    proxy.wait_for_log("limit of client connections adapted to the process's limit");
    set_limit(1024).unwrap();
    let start = Instant::now();
    for client in &mut clients {
        write(client, "GET /ready HTTP/1.1\r\n\r\n");
    }
    for client in &mut clients {
        assert!(read_message(client).starts_with("HTTP/1.1 200"));
    }
    assert!(start.elapsed() < MAX_DELAY, "after {:?}", start.elapsed());
}
