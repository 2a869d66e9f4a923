//! Reads and writes that fail, are interrupted or transfer few bytes: no request is lost, and none runs
//! twice.

mod helper;

use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{backend, keep_alive_request, read_message, serve, settings, write};

/// Longest time that a response may take.
const MAX_DELAY: Duration = Duration::from_millis(500);
const REQUESTS: usize = 6;

/// Sends requests on one connection while a fault is in force on the client's or the backend's side. Checks
/// that each is answered and runs once.
fn check_answered_and_run_once(fault: Fault, at_backend: bool) {
    for (method, path) in [("GET", "/read"), ("POST", "/write")] {
        let listener = backend();
        let backend_port = listener.local_addr().unwrap().port();
        let (proxy, shim) = Shim::start(&[&listener], &settings(1000, ""));
        let arrivals = serve(listener);
        let client_port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
        shim.inject(fault.on_port(if at_backend { backend_port } else { client_port }));
        let mut client = proxy.connect();
        for _ in 0..REQUESTS {
            let text = keep_alive_request(method, path);
            let start = Instant::now();
            write(&mut client, &text);
            let reply = read_message(&mut client);
            let case = format!("{fault:?} {method}: {reply:?} after {:?}", start.elapsed());
            assert!(reply.ends_with("fine"), "{case}");
            assert!(start.elapsed() < MAX_DELAY, "{case}");
            assert_eq!(arrivals.with_id(helper::request_id(&text)).len(), 1, "{case}");
        }
        assert!(shim.hits(fault.call) > 0, "{fault:?}");
    }
}

#[test]
fn a_call_that_fails_for_lack_of_memory_is_retried() {
    for error in [errno::ENOBUFS, errno::ENOMEM] {
        for call in [SystemCall::Read, SystemCall::Write] {
            for at_backend in [false, true] {
                check_answered_and_run_once(Fault::with_error(call, error, 12).one_in(2), at_backend);
            }
        }
    }
}

#[test]
fn interrupted_calls_are_retried() {
    for call in [SystemCall::Read, SystemCall::Write] {
        for at_backend in [false, true] {
            check_answered_and_run_once(Fault::with_error(call, errno::EINTR, 200).one_in(2), at_backend);
        }
    }
    check_answered_and_run_once(Fault::with_error(SystemCall::EpollWait, errno::EINTR, 2000), false);
}

/// Guards against retrying an interrupted call without end, while all other connections wait.
#[test]
fn a_call_that_is_always_interrupted_blocks_no_other_connection() {
    for (call, at_backend) in [(SystemCall::Read, false), (SystemCall::Read, true), (SystemCall::Write, true)]
    {
        let listener = backend();
        let backend_port = listener.local_addr().unwrap().port();
        let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
        let client_port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
        let mut client = proxy.connect();
        write(&mut client, &helper::request("GET", "/read", "0.5"));
        let mut conn = helper::accept(&listener);
        read_message(&mut conn);
        let port = if at_backend { backend_port } else { client_port };
        shim.inject(Fault::with_error(call, errno::EINTR, u32::MAX).on_port(port));
        let mut other_client = proxy.connect();
        write(&mut other_client, &helper::request("GET", "/read", "0.5"));
        write(&mut conn, "HTTP/1.1 200"); // makes the proxy read from the backend
        let start = Instant::now();
        let reply = read_message(&mut client);
        assert!(reply.starts_with("HTTP/1.1 50"), "{call:?}: {reply:?}");
        assert!(start.elapsed() < Duration::from_millis(700), "{call:?}: after {:?}", start.elapsed());
        shim.clear(call);
    }
}

#[test]
fn short_reads_and_writes_lose_nothing() {
    for call in [SystemCall::Read, SystemCall::Write] {
        for at_backend in [false, true] {
            for max_bytes in [1, 7] {
                check_answered_and_run_once(Fault::short_transfer(call, max_bytes, u32::MAX), at_backend);
            }
        }
    }
}

#[test]
fn a_failing_log_loses_no_request() {
    for error in [errno::ENOSPC, errno::EIO, errno::EINTR, errno::EAGAIN, errno::EPIPE] {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(1000, ""));
        serve(listener);
        shim.inject(Fault::with_error(SystemCall::LogWrite, error, 10));
        proxy.signal("-USR1"); // makes the proxy log its counters
        shim.wait_for_hits(SystemCall::LogWrite, 1);
        let mut client = proxy.connect();
        for _ in 0..REQUESTS {
            write(&mut client, &keep_alive_request("GET", "/read"));
            assert!(read_message(&mut client).ends_with("fine"), "error {error}");
        }
        shim.clear(SystemCall::LogWrite);
        proxy.signal("-USR1");
        proxy.wait_for_log("counters=");
    }
}

/// Guards against missing that a client has closed its connection because a read failed at that moment.
#[test]
fn a_client_that_leaves_while_reads_fail_is_noticed() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
    let client_port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
    let mut client = proxy.connect();
    write(&mut client, &keep_alive_request("GET", "/read"));
    let mut conn = helper::accept(&listener);
    read_message(&mut conn);
    shim.inject(Fault::with_error(SystemCall::Read, errno::ENOMEM, 4).on_port(client_port));
    helper::close(client);
    // The attempt is cancelled, which closes the connection to the backend.
    conn.set_read_timeout(Some(MAX_DELAY)).unwrap();
    assert_eq!(std::io::Read::read(&mut conn, &mut [0]).ok(), Some(0), "the attempt is not cancelled");
    assert_eq!(helper::counter(&proxy, "left"), 1);
}

/// Guards against a connection whose small writes are delayed (no `TCP_NODELAY`) until it is closed because
/// setting the option failed once.
#[test]
fn a_socket_option_that_could_not_be_set_is_set_later() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(1000, ""));
    serve(listener);
    let client_port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
    shim.inject(Fault::with_error(SystemCall::SetOption, errno::ENOBUFS, 2).on_port(client_port));
    let mut client = proxy.connect();
    for _ in 0..3 {
        write(&mut client, &keep_alive_request("GET", "/read"));
        assert!(read_message(&mut client).ends_with("fine"));
    }
    shim.wait_for_hits(SystemCall::SetOption, 2);
}

/// Guards against counting the time of a request from an earlier failed read: its time starts with its last
/// byte, even if that comes much later.
#[test]
fn the_time_of_a_request_starts_with_its_last_byte_despite_an_earlier_failed_read() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(1000, ""));
    serve(listener);
    let client_port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
    let mut client = proxy.connect();
    shim.inject(Fault::with_error(SystemCall::Read, errno::ENOMEM, 1).on_port(client_port));
    let text = helper::request("GET", "/read", "0.5");
    let (first_half, rest) = text.split_at(text.len() / 2);
    write(&mut client, first_half);
    shim.wait_for_hits(SystemCall::Read, 1);
    std::thread::sleep(Duration::from_millis(1_000));
    write(&mut client, rest);
    assert!(read_message(&mut client).ends_with("fine"));
}

/// Guards against closing a connection as idle while reads of it fail (fault_soak, seed 137).
#[test]
fn request_that_cannot_be_read_when_idle_connections_are_closed_is_lost() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    serve(listener);
    let port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
    let mut client = proxy.connect();
    write(&mut client, &keep_alive_request("GET", "/read"));
    assert!(read_message(&mut client).ends_with("fine"));
    proxy.signal("-TERM");
    std::thread::sleep(Duration::from_millis(450));
    shim.inject(Fault::with_error(SystemCall::Read, errno::EINTR, u32::MAX).on_port(port));
    write(&mut client, &keep_alive_request("GET", "/read"));
    std::thread::sleep(Duration::from_millis(250));
    shim.clear(SystemCall::Read);
    assert!(read_message(&mut client).starts_with("HTTP/1.1 "), "the connection ended without a response");
}
