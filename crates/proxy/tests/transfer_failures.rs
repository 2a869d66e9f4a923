//! Reads and writes fail, are interrupted or move little: no request is lost, and none runs twice.

mod helper;

use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{backend, keep_alive_request, read_message, serve, settings, write};

const SOON: Duration = Duration::from_millis(500);
const REQUESTS: usize = 6;

/// Asks on one connection while the fault lasts, at the clients' side or the backends', and counts the runs.
fn every_request_is_answered_and_runs_once(fault: Fault, at_backend: bool) {
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
            let answered = read_message(&mut client);
            let case = format!("{fault:?} {method}: {answered:?} after {:?}", start.elapsed());
            assert!(answered.ends_with("fine"), "{case}");
            assert!(start.elapsed() < SOON, "{case}");
            assert_eq!(arrivals.with_id(helper::request_id(&text)).len(), 1, "{case}");
        }
        assert!(shim.hits(fault.call) > 0, "{fault:?}");
    }
}

#[test]
fn a_call_that_fails_for_want_of_memory_is_made_again() {
    for error in [errno::ENOBUFS, errno::ENOMEM] {
        for call in [SystemCall::Read, SystemCall::Write] {
            for at_backend in [false, true] {
                every_request_is_answered_and_runs_once(
                    Fault::with_error(call, error, 12).one_in(2),
                    at_backend,
                );
            }
        }
    }
}

#[test]
fn interrupted_calls_are_made_again() {
    for call in [SystemCall::Read, SystemCall::Write] {
        for at_backend in [false, true] {
            every_request_is_answered_and_runs_once(
                Fault::with_error(call, errno::EINTR, 200).one_in(2),
                at_backend,
            );
        }
    }
    every_request_is_answered_and_runs_once(
        Fault::with_error(SystemCall::EpollWait, errno::EINTR, 2000),
        false,
    );
}

/// Guards against a call that is made again without end, while everybody else waits.
#[test]
fn a_call_that_is_always_interrupted_holds_nobody_up() {
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
        let mut other = proxy.connect();
        write(&mut other, &helper::request("GET", "/read", "0.5"));
        write(&mut conn, "HTTP/1.1 200"); // has the proxy read there
        let start = Instant::now();
        let answered = read_message(&mut client);
        assert!(answered.starts_with("HTTP/1.1 50"), "{call:?}: {answered:?}");
        assert!(start.elapsed() < Duration::from_millis(700), "{call:?}: after {:?}", start.elapsed());
        shim.clear(call);
    }
}

#[test]
fn short_reads_and_writes_lose_nothing() {
    for call in [SystemCall::Read, SystemCall::Write] {
        for at_backend in [false, true] {
            for bytes in [1, 7] {
                every_request_is_answered_and_runs_once(
                    Fault::short_transfer(call, bytes, u32::MAX),
                    at_backend,
                );
            }
        }
    }
}

#[test]
fn a_log_that_cannot_be_written_costs_no_request() {
    for error in [errno::ENOSPC, errno::EIO, errno::EINTR, errno::EAGAIN, errno::EPIPE] {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(1000, ""));
        serve(listener);
        shim.inject(Fault::with_error(SystemCall::LogWrite, error, 10));
        proxy.signal("-USR1"); // prints the counters
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

/// Guards against missing the end of a client behind a read that failed for a moment.
#[test]
fn a_client_that_leaves_while_reads_fail_has_left() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
    let client_port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
    let mut client = proxy.connect();
    write(&mut client, &keep_alive_request("GET", "/read"));
    let mut conn = helper::accept(&listener);
    read_message(&mut conn);
    shim.inject(Fault::with_error(SystemCall::Read, errno::ENOMEM, 4).on_port(client_port));
    helper::close(client);
    // Its attempt is cancelled, which closes the connection to the backend.
    conn.set_read_timeout(Some(SOON)).unwrap();
    assert_eq!(std::io::Read::read(&mut conn, &mut [0]).ok(), Some(0), "the attempt goes on");
    assert_eq!(helper::counter(&proxy, "left"), 1);
}

/// Guards against a connection whose small writes wait for its whole life because an option could not be set once.
#[test]
fn an_option_that_could_not_be_set_is_set_later() {
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

/// Guards against a read that failed once making a request old whose last byte comes much later.
#[test]
fn a_request_counts_from_its_last_byte_though_a_read_failed_before() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(1000, ""));
    serve(listener);
    let client_port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
    let mut client = proxy.connect();
    shim.inject(Fault::with_error(SystemCall::Read, errno::ENOMEM, 1).on_port(client_port));
    let text = helper::request("GET", "/read", "0.5");
    let (half, rest) = text.split_at(text.len() / 2);
    write(&mut client, half);
    shim.wait_for_hits(SystemCall::Read, 1);
    std::thread::sleep(Duration::from_millis(1_000));
    write(&mut client, rest);
    assert!(read_message(&mut client).ends_with("fine"));
}
