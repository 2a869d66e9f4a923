//! Connecting to backends fails for a moment for the proxy's own reasons: what nothing was sent of is tried again
//! within its time, and no backend is blamed.

mod helper;

use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{accept, backend, keep_alive_request, read_message, request, response, serve, settings, write};

const SOON: Duration = Duration::from_millis(500);
/// What a client waits at the most.
const TARGET_MS: u32 = 500;

/// A moment's failures: of socket(2), connect(2) and epoll_ctl(2).
const FAILURES: [(SystemCall, u32); 18] = [
    (SystemCall::Socket, errno::EMFILE),
    (SystemCall::Socket, errno::ENFILE),
    (SystemCall::Socket, errno::ENOBUFS),
    (SystemCall::Socket, errno::ENOMEM),
    (SystemCall::Connect, errno::EINTR),
    (SystemCall::Connect, errno::EAGAIN),
    (SystemCall::Connect, errno::EADDRNOTAVAIL),
    (SystemCall::Connect, errno::ENETUNREACH),
    (SystemCall::Connect, errno::ENETDOWN),
    (SystemCall::Connect, errno::ECONNABORTED),
    (SystemCall::Connect, errno::ENFILE),
    (SystemCall::Connect, errno::ENOBUFS),
    (SystemCall::Connect, errno::ENOMEM),
    (SystemCall::Connect, errno::EPERM),
    (SystemCall::EpollAdd, errno::ENOMEM),
    (SystemCall::EpollAdd, errno::ENOSPC),
    (SystemCall::PeerName, errno::ENOBUFS),
    (SystemCall::SocketError, errno::ENOBUFS),
];

#[test]
fn requests_are_sent_once_connecting_succeeds_again() {
    for (call, error) in FAILURES {
        for (method, path) in [("GET", "/read"), ("POST", "/write")] {
            let listeners = [backend(), backend()];
            let ports = listeners.each_ref().map(|listener| listener.local_addr().unwrap().port());
            let (proxy, shim) = Shim::start(&[&listeners[0], &listeners[1]], &settings(TARGET_MS, ""));
            let arrivals = listeners.map(serve);
            let mut client = proxy.connect();
            // Only one backend's port can be named; where none can, discovery's calls fail as well.
            let by_port = !matches!(call, SystemCall::Socket);
            let times = 8;
            let fault = Fault::with_error(call, error, times);
            shim.inject(if by_port { fault.on_port(ports[0]) } else { fault });
            for _ in 0..6 {
                let text =
                    keep_alive_request(method, path).replace("Request-Timeout: 60", "Request-Timeout: 1");
                let start = Instant::now();
                write(&mut client, &text);
                let answered = read_message(&mut client);
                let case =
                    format!("{call:?} error {error} {method}: {answered:?} after {:?}", start.elapsed());
                assert!(answered.ends_with("fine"), "{case}");
                assert!(start.elapsed() < SOON, "{case}");
                let runs: usize =
                    arrivals.iter().map(|all| all.with_id(helper::request_id(&text)).len()).sum();
                assert_eq!(runs, 1, "{case}");
            }
            let out = proxy.metric("svc.backends_excluded");
            assert_eq!(out, Some(0), "no backend is blamed: {call:?} error {error}");
        }
    }
}

/// Guards against waiting on where the time is over: the answer comes by the deadline all the same.
#[test]
fn a_request_that_cannot_be_sent_at_all_is_answered_in_its_time() {
    for (call, error) in [(SystemCall::Socket, errno::ENFILE), (SystemCall::Connect, errno::ENETUNREACH)] {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
        shim.inject(Fault::with_error(call, error, u32::MAX));
        let start = Instant::now();
        let answered = proxy.fetch(&request("POST", "/write", "0.3"));
        assert!(answered.starts_with("HTTP/1.1 50"), "{call:?}: {answered:?}");
        assert!(start.elapsed() < Duration::from_millis(350), "{call:?}: after {:?}", start.elapsed());
    }
}

/// Guards against telling a backend a time of which a failing write has used up a part.
#[test]
fn the_time_told_to_a_backend_is_what_is_left_when_writing_succeeds() {
    let listener = backend();
    let port = listener.local_addr().unwrap().port();
    let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
    shim.inject(Fault::with_error(SystemCall::Write, errno::ENOBUFS, u32::MAX).on_port(port));
    let mut client = proxy.connect();
    let start = Instant::now();
    write(&mut client, &request("GET", "/read", "2"));
    let mut conn = accept(&listener);
    std::thread::sleep(Duration::from_millis(600));
    shim.clear(SystemCall::Write);
    let text = read_message(&mut conn);
    let told = text.lines().find_map(|line| line.strip_prefix("Request-Timeout: ")).unwrap();
    let left = 2.0 - start.elapsed().as_secs_f64();
    assert!(told.parse::<f64>().unwrap() <= left + 0.15, "told {told}, left {left}");
    write(&mut conn, &response("200 OK", "", "fine"));
    assert!(read_message(&mut client).ends_with("fine"));
}

/// Guards against backends that count as silent because this machine could not send to them.
#[test]
fn no_backend_is_shut_out_while_no_socket_can_be_made() {
    let listeners = [backend(), backend(), backend(), backend()];
    let (proxy, shim) = Shim::start(&listeners.each_ref(), &settings(5000, ""));
    let _arrivals = listeners.map(serve);
    // Until what is usual is known, by which silence is judged.
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(4_500) {
        assert!(proxy.fetch(&request("POST", "/write", "1")).ends_with("fine"));
    }
    for (call, error) in [(SystemCall::Socket, errno::ENFILE), (SystemCall::Connect, errno::ENETUNREACH)] {
        shim.inject(Fault::with_error(call, error, u32::MAX));
        let waiting: Vec<_> =
            (0..8).map(|_| helper::send_request(&proxy, &request("POST", "/write", "4"))).collect();
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(1_500) {
            let out = proxy.metric("svc.backends_excluded");
            assert_eq!(out, Some(0), "{call:?} error {error}, after {:?}", start.elapsed());
            std::thread::sleep(Duration::from_millis(20));
        }
        shim.clear(call);
        for mut client in waiting {
            assert!(read_message(&mut client).ends_with("fine"), "{call:?} error {error}");
        }
    }
}
