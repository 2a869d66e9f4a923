//! `accept` fails for a moment: who has connected is served as soon as it succeeds again.

mod helper;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{backend, keep_alive_request, read_message, serve, settings, write, Proxy};
use rustix::process::{prlimit, Pid, Resource, Rlimit};

/// Everything that `accept` can fail with by accept(2), for a moment.
const ERRORS: [u32; 15] = [
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
/// Far less than the 2 s after which a client connection may be closed for its silence.
const SOON: Duration = Duration::from_millis(500);

fn ask(client: &mut TcpStream) -> String {
    write(client, &keep_alive_request("GET", "/read"));
    read_message(client)
}

/// Clients that use their connections.
fn used(proxy: &Proxy) -> Vec<TcpStream> {
    let asked = |_| {
        let mut client = proxy.connect();
        assert!(ask(&mut client).ends_with("fine"));
        client
    };
    (0..CLIENTS).map(asked).collect()
}

/// Guards against a failure of a moment being taken for a lasting want of descriptors: the number of clients that were
/// let in fell with each one, and never rose again (report f14a60).
#[test]
fn new_connections_are_served_once_accept_succeeds_again() {
    for error in ERRORS {
        for times in [1, 5] {
            let listener = backend();
            let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
            serve(listener);
            let mut clients = used(&proxy);
            shim.inject(Fault::with_error(SystemCall::Accept, error, times));
            let mut new = proxy.connect();
            let start = Instant::now();
            write(&mut new, &keep_alive_request("GET", "/read"));
            new.set_read_timeout(Some(SOON)).unwrap();
            let answered = new.peek(&mut [0]);
            let case = format!("{times} times error {error}, after {:?}", start.elapsed());
            assert_eq!(answered.ok(), Some(1), "not served: {case}");
            assert!(read_message(&mut new).ends_with("fine"), "{case}");
            assert_eq!(shim.hits(SystemCall::Accept), times, "{case}");
            clients.iter_mut().for_each(|client| assert!(ask(client).ends_with("fine"), "{case}"));
        }
    }
}

/// Guards against an accepted connection being dropped unanswered where it cannot be watched at once.
#[test]
fn an_accepted_connection_is_served_though_the_event_queue_takes_it_later() {
    for error in [errno::ENOMEM, errno::ENOSPC] {
        for times in [1, 5] {
            let listener = backend();
            let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
            serve(listener);
            let port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
            shim.inject(Fault::with_error(SystemCall::EpollAdd, error, times).on_port(port));
            let mut new = proxy.connect();
            write(&mut new, &keep_alive_request("GET", "/read"));
            new.set_read_timeout(Some(SOON)).unwrap();
            let case = format!("{times} times error {error}");
            assert_eq!(new.peek(&mut [0]).ok(), Some(1), "not served: {case}");
            assert!(read_message(&mut new).ends_with("fine"), "{case}");
            // Served or not, it is tried until the queue takes it.
            shim.wait_for_hits(SystemCall::EpollAdd, times);
        }
    }
}

/// Guards against connections that the kernel has taken being reset with the listener, where `accept` fails in the
/// moment in which the proxy stops listening.
#[test]
fn connections_in_the_queue_are_served_when_accept_fails_as_the_proxy_goes_down() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    serve(listener);
    proxy.signal("-TERM");
    std::thread::sleep(Duration::from_millis(450));
    shim.inject(Fault::with_error(SystemCall::Accept, errno::ENFILE, 60));
    let mut clients: Vec<_> = (0..4).map(|_| proxy.connect()).collect();
    clients.iter_mut().for_each(|client| write(client, &keep_alive_request("GET", "/read")));
    for client in &mut clients {
        assert_eq!(client.peek(&mut [0]).ok(), Some(1), "not answered");
        assert!(read_message(client).contains("Connection: close"));
    }
    drop(clients);
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// Guards against operators that wait until the next one calls.
#[test]
fn operators_are_answered_once_accept_succeeds_again() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    for error in ERRORS {
        shim.inject(Fault::with_error(SystemCall::Accept, error, 2));
        let mut operator = TcpStream::connect(&proxy.management).unwrap();
        write(&mut operator, "GET /ready HTTP/1.1\r\n\r\n");
        operator.set_read_timeout(Some(SOON)).unwrap();
        assert_eq!(operator.peek(&mut [0]).ok(), Some(1), "error {error}");
    }
}

/// Guards against a limit of descriptors that goes on to bind after staff have raised it.
#[test]
fn more_clients_are_let_in_once_the_process_may_have_more_descriptors() {
    let listener = backend();
    let proxy = Proxy::start_limited(&[&listener], 1024, 1024, &settings(5000, ""));
    let process = Pid::from_raw(proxy.pid() as i32);
    let limit =
        |current| prlimit(process, Resource::Nofile, Rlimit { current: Some(current), maximum: Some(1024) });
    limit(40).unwrap();
    let mut clients: Vec<_> = (0..60).map(|_| proxy.connect()).collect();
    proxy.wait_for_log("cannot accept");
    proxy.wait_for_log("client connections limited by the process's limit");
    limit(1024).unwrap();
    let start = Instant::now();
    for client in &mut clients {
        write(client, "GET /ready HTTP/1.1\r\n\r\n");
    }
    for client in &mut clients {
        assert!(read_message(client).starts_with("HTTP/1.1 200"));
    }
    assert!(start.elapsed() < SOON, "after {:?}", start.elapsed());
}
