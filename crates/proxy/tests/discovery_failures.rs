//! Transient failures of the system calls that requests to discovery need: backend lists are up to date again
//! soon after the calls succeed.

mod helper;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{backend, read_message, request, response, serve, settings};

/// Time for which the call fails.
const FAULT_PHASE: Duration = Duration::from_millis(1_000);
/// Time after the fault in which the proxy has to learn of the drain.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// Runs an agent that answers each list request after 0.1 s. Once the returned flag is set, its list reports
/// that `host` drains.
fn run_agent(listener: TcpListener, host: String) -> Arc<AtomicBool> {
    let draining = Arc::new(AtomicBool::new(false));
    let flag = draining.clone();
    std::thread::spawn(move || {
        while let Ok((mut conn, _)) = listener.accept() {
            let (flag, host) = (flag.clone(), host.clone());
            std::thread::spawn(move || loop {
                let list_request = read_message(&mut conn);
                if list_request.is_empty() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(100));
                let known = list_request.contains("index=5");
                let hosts = if flag.load(Ordering::SeqCst) && !known { host.as_str() } else { "" };
                let seq = if hosts.is_empty() && !known { 4 } else { 5 };
                let list = format!(r#"{{"seq":{seq},"whole":false,"hosts":[{hosts}]}}"#);
                if std::io::Write::write_all(&mut conn, response("200 OK", "", &list).as_bytes()).is_err() {
                    return;
                }
            });
        }
    });
    draining
}

/// Guards against a watch on the list that makes no further request after a failed one.
#[test]
fn a_drain_is_noticed_soon_after_discovery_calls_failed() {
    let failures = [
        (SystemCall::Read, errno::EINTR),
        (SystemCall::Read, errno::ENOMEM),
        (SystemCall::Read, errno::ETIMEDOUT),
        (SystemCall::Write, errno::ENOBUFS),
        (SystemCall::Write, errno::EHOSTUNREACH),
        (SystemCall::Connect, errno::ENETUNREACH),
        (SystemCall::Connect, errno::EADDRNOTAVAIL),
        (SystemCall::Socket, errno::ENFILE),
        (SystemCall::EpollAdd, errno::ENOMEM),
        (SystemCall::PeerName, errno::ENOBUFS),
    ];
    for (call, error) in failures {
        let listeners = [backend(), backend()];
        let (proxy, shim) = Shim::start(&[&listeners[0], &listeners[1]], &settings(500, ""));
        let address = listeners[0].local_addr().unwrap();
        let host = format!(r#"{{"host":"h0","dial":"{address}","site":"a","health":"Terminating"}}"#);
        let port = proxy.discovery.local_addr().unwrap().port();
        let draining = run_agent(proxy.discovery.try_clone().unwrap(), host);
        let arrivals = listeners.map(serve);
        let fault = Fault::with_error(call, error, u32::MAX);
        shim.inject(if call == SystemCall::Socket { fault } else { fault.on_port(port) });
        if matches!(
            call,
            SystemCall::Connect | SystemCall::Socket | SystemCall::EpollAdd | SystemCall::PeerName
        ) {
            // Resets the present connection, so that a new one is needed.
            shim.inject(Fault::with_error(SystemCall::Read, errno::ECONNRESET, 1).on_port(port));
        }
        std::thread::sleep(FAULT_PHASE);
        draining.store(true, Ordering::SeqCst);
        shim.clear(call);
        std::thread::sleep(MAX_DELAY);
        let before = arrivals[0].all().len();
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(300) {
            assert!(proxy.fetch(&request("GET", "/read", "1")).ends_with("fine"), "{call:?} error {error}");
        }
        assert_eq!(arrivals[0].all().len(), before, "the drain is not noticed: {call:?} error {error}");
        assert!(shim.hits(call) > 0, "{call:?} error {error}");
    }
}
