//! The watch while the agent says nothing or lets nobody in, and what a drain that it has then is worth.

mod helper;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use helper::{
    accept, backend, fetch, read_message, refusing_backend, request, response, settings, write, Proxy,
};

/// More than any grace for a drain, and far less than a pause that doubles comes to in these tests.
const GRACE: Duration = Duration::from_millis(1500);

/// Backends that honour all they get, and when each got the first byte of it.
struct Backends {
    listeners: [TcpListener; 2],
    seen: Arc<Mutex<Vec<(usize, Instant)>>>,
}

impl Backends {
    fn new() -> Backends {
        let backends = Backends { listeners: [backend(), backend()], seen: Arc::default() };
        for (number, listener) in backends.listeners.iter().enumerate() {
            let (listener, seen) = (listener.try_clone().unwrap(), backends.seen.clone());
            std::thread::spawn(move || {
                while let Ok((mut stream, _)) = listener.accept() {
                    stream.set_read_timeout(Some(Duration::from_secs(9))).unwrap();
                    if stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0) {
                        seen.lock().unwrap().push((number, Instant::now()));
                        read_message(&mut stream);
                        write(&mut stream, &response("200 OK", "Connection: close\r\n", "fine"));
                    }
                }
            });
        }
        backends
    }

    /// A whole list in which the first of them drains.
    fn drain(&self) -> String {
        let hosts = [("Terminating", 0), ("Ready", 1)].map(|(health, number): (_, usize)| {
            let dial = self.listeners[number].local_addr().unwrap();
            format!(r#"{{"host":"h{number}","dial":"{dial}","site":"a","health":"{health}"}}"#)
        });
        response("200 OK", "", &format!(r#"{{"seq":5,"whole":true,"hosts":[{}]}}"#, hosts.join(",")))
    }

    fn got(&self, number: usize, from: Instant) -> usize {
        self.seen.lock().unwrap().iter().filter(|(n, at)| *n == number && *at > from).count()
    }
}

/// Asks all the while, during an outage of the agent and after it. Until then both backends serve; from the grace on,
/// counted from when the agent has the drain and would tell it, only the one that stays does.
fn the_drain_binds(proxy: &Proxy, backends: &Backends, outage: impl FnOnce() -> TcpListener) {
    let (done, address) = (AtomicBool::new(false), proxy.address.clone());
    std::thread::scope(|scope| {
        let asker = scope.spawn(|| {
            let mut statuses = Vec::new();
            while !done.load(Ordering::Relaxed) {
                statuses.push(fetch(&address, &request("GET", "/read", "4")).ends_with("fine"));
                std::thread::sleep(Duration::from_millis(5));
            }
            statuses
        });
        let start = Instant::now();
        let agent = outage();
        let (told, drain) = (Instant::now(), backends.drain());
        let before = [0, 1].map(|number| backends.got(number, start));
        std::thread::spawn(move || loop {
            let mut call = accept(&agent);
            let known = read_message(&mut call).contains("index=5&");
            // The first is told, the rest wait for something newer.
            if !known && call.write_all(drain.as_bytes()).is_ok() {
                read_message(&mut call);
            }
        });
        std::thread::sleep(GRACE + Duration::from_millis(500));
        done.store(true, Ordering::Relaxed);
        let statuses = asker.join().unwrap();
        let late = backends.got(0, told + GRACE);
        assert_eq!(late, 0, "requests that went to a backend {GRACE:?} after its drain was told");
        assert!(before.iter().all(|seen| *seen > 0), "the last list serves meanwhile: {before:?}");
        assert!(backends.got(1, told + GRACE) > 0, "and the backend that stays goes on");
        assert!(statuses.iter().all(|fine| *fine), "every request is honoured");
    });
}

/// Guards against a pause that grows while discovery is out: its agent says nothing, and answers the call that is out
/// when discovery is back. What it has then counts as told from that moment.
#[test]
fn a_drain_that_the_agent_has_when_it_speaks_again_binds_at_once() {
    let backends = Backends::new();
    let proxy = Proxy::start(&[&backends.listeners[0], &backends.listeners[1]]);
    the_drain_binds(&proxy, &backends, || {
        // Four calls are given up unanswered. The agent is back the moment that the last of them is.
        for _ in 0..4 {
            let mut call = accept(&proxy.discovery);
            assert!(read_message(&mut call).starts_with("GET /v1/endpoints?index=4&wait="));
            assert_eq!(call.read(&mut [0]).unwrap(), 0, "the silent call is given up");
        }
        proxy.discovery.try_clone().unwrap()
    });
}

/// The same where the agent lets nobody in: it is asked again and again, in a bounded number of calls.
#[test]
fn a_drain_that_the_agent_has_when_it_lets_calls_in_again_binds_at_once() {
    let backends = Backends::new();
    let proxy = Proxy::start(&[&backends.listeners[0], &backends.listeners[1]]);
    let agent = refusing_backend();
    the_drain_binds(&proxy, &backends, || {
        proxy.switch_agent(&agent);
        std::thread::sleep(Duration::from_secs(4));
        socket2::SockRef::from(&agent).listen(64).unwrap();
        agent.try_clone().unwrap()
    });
}

/// Where lists are asked for, one service takes the calls of all proxies in their turn. Guards against calls that are
/// given up before their turn has come, each of which holds up the next: a service that is busy then answers nobody.
#[test]
fn a_list_service_that_is_busy_gets_one_call_and_time_to_answer_it() {
    let backends = Backends::new();
    let asked = settings(5000, "").replace(r#""discovery":"pushed""#, r#""discovery":"on_request""#);
    let proxy = Proxy::start_with(&[&backends.listeners[0], &backends.listeners[1]], 1024, &asked);
    let service = backend();
    proxy.switch_agent(&service);
    let mut call = accept(&service);
    assert!(
        read_message(&mut call).starts_with("GET /v1/endpoints HTTP"),
        "a new service is asked for the whole list"
    );
    // It is busy for so long: the call has to stay open, and no second one may come.
    call.set_read_timeout(Some(Duration::from_millis(1200))).unwrap();
    let given_up = call.read(&mut [0]).map_err(|e| e.kind());
    assert!(given_up.is_err(), "the call is given up: {given_up:?}");
    service.set_nonblocking(true).unwrap();
    assert!(service.accept().is_err(), "a second call, while the first is out");
    service.set_nonblocking(false).unwrap();
    call.set_read_timeout(Some(Duration::from_secs(9))).unwrap();
    write(&mut call, &backends.drain());
    // The next call shows that the list was taken in.
    assert!(read_message(&mut call).starts_with("GET /v1/endpoints?index=5&"));
    let from = Instant::now();
    (0..20).for_each(|_| assert!(proxy.fetch(&request("GET", "/read", "4")).ends_with("fine")));
    assert_eq!(backends.got(0, from), 0, "requests to a backend that drains");
    assert_eq!(backends.got(1, from), 20);
}
