//! Transient failures to connect to backends for reasons local to the proxy: a request of which nothing was
//! sent is retried within its deadline, and no backend is blamed.

mod helper;

use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{accept, backend, keep_alive_request, read_message, request, response, serve, settings, write};

/// Longest time that a response may take.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Latency target of the classes.
const TARGET_MS: u32 = 500;

/// Transient failures of socket(2), connect(2), epoll_ctl(2), getpeername(2) and getsockopt(2).
const TRANSIENT_FAILURES: [(SystemCall, u32); 18] = [
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
    for (call, error) in TRANSIENT_FAILURES {
        for (method, path) in [("GET", "/read"), ("POST", "/write")] {
            let listeners = [backend(), backend()];
            let ports = listeners.each_ref().map(|listener| listener.local_addr().unwrap().port());
            let (proxy, shim) = Shim::start(&[&listeners[0], &listeners[1]], &settings(TARGET_MS, ""));
            let arrivals = listeners.map(serve);
            let mut client = proxy.connect();
            // A fault names the port of one backend only. Without a port, discovery's calls fail as well.
            let by_port = !matches!(call, SystemCall::Socket);
            let times = 8;
            let fault = Fault::with_error(call, error, times);
            shim.inject(if by_port { fault.on_port(ports[0]) } else { fault });
            for _ in 0..6 {
                let text =
                    keep_alive_request(method, path).replace("Request-Timeout: 60", "Request-Timeout: 1");
                let start = Instant::now();
                write(&mut client, &text);
                let reply = read_message(&mut client);
                let case = format!("{call:?} error {error} {method}: {reply:?} after {:?}", start.elapsed());
                assert!(reply.ends_with("fine"), "{case}");
                assert!(start.elapsed() < MAX_DELAY, "{case}");
                let runs: usize =
                    arrivals.iter().map(|received| received.with_id(helper::request_id(&text)).len()).sum();
                assert_eq!(runs, 1, "{case}");
            }
            let excluded = proxy.metric("svc.backends_excluded");
            assert_eq!(excluded, Some(0), "no backend is blamed: {call:?} error {error}");
        }
    }
}

/// Guards against waiting past the deadline: a request that can never be sent is answered by its deadline all
/// the same.
#[test]
fn a_request_that_cannot_be_sent_is_answered_by_its_deadline() {
    for (call, error) in [(SystemCall::Socket, errno::ENFILE), (SystemCall::Connect, errno::ENETUNREACH)] {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
        shim.inject(Fault::with_error(call, error, u32::MAX));
        let start = Instant::now();
        let reply = proxy.fetch(&request("POST", "/write", "0.3"));
        assert!(reply.starts_with("HTTP/1.1 50"), "{call:?}: {reply:?}");
        assert!(start.elapsed() < Duration::from_millis(350), "{call:?}: after {:?}", start.elapsed());
    }
}

/// Guards against forwarding a `Request-Timeout` of which failing writes have already used up a part.
#[test]
fn the_forwarded_timeout_is_the_time_left_when_the_write_succeeds() {
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
    let forwarded = text.lines().find_map(|line| line.strip_prefix("Request-Timeout: ")).unwrap();
    let remaining = 2.0 - start.elapsed().as_secs_f64();
    assert!(forwarded.parse::<f64>().unwrap() <= remaining + 0.15, "forwarded {forwarded}, left {remaining}");
    write(&mut conn, &response("200 OK", "", "fine"));
    assert!(read_message(&mut client).ends_with("fine"));
}

/// Guards against backends being ejected as silent although it was the proxy that could not send to them.
#[test]
fn no_backend_is_excluded_while_no_socket_can_be_created() {
    let listeners = [backend(), backend(), backend(), backend()];
    let (proxy, shim) = Shim::start(&listeners.each_ref(), &settings(5000, ""));
    let _arrivals = listeners.map(serve);
    // Long enough to learn the usual response times, by which silence is judged.
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
            let excluded = proxy.metric("svc.backends_excluded");
            assert_eq!(excluded, Some(0), "{call:?} error {error}, after {:?}", start.elapsed());
            std::thread::sleep(Duration::from_millis(20));
        }
        shim.clear(call);
        for mut client in waiting {
            assert!(read_message(&mut client).ends_with("fine"), "{call:?} error {error}");
        }
    }
}
