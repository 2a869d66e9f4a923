//! Requests of clients that have left: none is sent on afterwards, and an at-most-once request whose id comes again
//! does not run twice, at this process or at the other one of an upgrade.

mod helper;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use helper::{
    accept, backend, close, handover_folder_and_address, keep_alive_request, read_message, request,
    request_id, response, serve, write, Arrivals, Proxy,
};

/// Longer than an attempt may begin after its client has closed the connection.
const LEFT_TIME: Duration = Duration::from_millis(150);
/// Time for all requests that are sent on to reach a backend.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
const CLIENTS: usize = 20;
const REQUESTS_PER_CLIENT: usize = 60;

/// Closes a connection by a reset.
fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

fn most_runs_of_an_id(arrivals: &Arrivals) -> usize {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    arrivals.all().into_iter().for_each(|arrival| *runs.entry(arrival.id).or_default() += 1);
    runs.into_values().max().unwrap_or(0)
}

#[test]
fn requests_of_a_client_that_has_left_with_much_unread_are_sent_on() {
    let listener = backend();
    let proxy = Proxy::start(&[&listener]);
    let arrivals = serve(listener);
    for count in [1, 10, 2_000] {
        proxy.pause();
        let mut client = proxy.connect();
        let texts: Vec<String> = (0..count).map(|_| keep_alive_request("POST", "/write")).collect();
        client.write_all(texts.concat().as_bytes()).unwrap();
        close(client);
        thread::sleep(LEFT_TIME);
        proxy.resume();
        assert!(proxy.fetch(&request("GET", "/read", "5")).ends_with("fine"));
        thread::sleep(LEFT_TIME);
        let forwarded = texts.iter().filter(|text| !arrivals.with_id(request_id(text)).is_empty()).count();
        assert_eq!(forwarded, 0, "of {count} requests");
    }
}

#[test]
fn id_that_comes_again_after_its_client_has_left_runs_twice() {
    let listeners = [backend(), backend()];
    let proxy = Proxy::start(&listeners.each_ref());
    let arrivals = listeners.map(serve);
    let clients = (0..CLIENTS).map(|_| {
        let address = proxy.address.clone();
        thread::spawn(move || {
            let texts: Vec<String> =
                (0..REQUESTS_PER_CLIENT).map(|_| keep_alive_request("POST", "/write")).collect();
            for pause_ms in [10, 500] {
                let mut stream = TcpStream::connect(&address).unwrap();
                let _ = stream.write_all(texts.concat().as_bytes());
                thread::sleep(Duration::from_millis(pause_ms));
                reset(stream);
                thread::sleep(LEFT_TIME);
            }
        })
    });
    clients.collect::<Vec<_>>().into_iter().for_each(|client| client.join().unwrap());
    thread::sleep(SETTLE_TIME);
    for arrivals in &arrivals {
        println!("{} arrivals", arrivals.all().len());
        assert!(most_runs_of_an_id(arrivals) <= 1, "an id has run {} times", most_runs_of_an_id(arrivals));
    }
    let all = |arrivals: &Arrivals| arrivals.all().into_iter().map(|arrival| arrival.id).collect::<Vec<_>>();
    let (first, second) = (all(&arrivals[0]), all(&arrivals[1]));
    assert!(first.iter().all(|id| !second.contains(id)), "an id has run at both backends");
}

/// The status of the answer to a request that is sent again under the same id.
fn status_of_repeat(proxy: &Proxy, text: &str) -> Option<u16> {
    let mut client = proxy.connect();
    write(&mut client, text);
    read_message(&mut client).split(' ').nth(1)?.parse().ok()
}

/// The answer must not say that a further repeat is harmless.
fn assert_failed(status: Option<u16>) {
    assert!(status.is_some_and(|status| !matches!(status, 200 | 429 | 503)), "{status:?}");
}

#[test]
fn id_runs_twice_at_the_other_process_of_an_upgrade() {
    for leaves_before_the_upgrade in [true, false] {
        let listener = backend();
        let (folder, listen) = handover_folder_and_address("repeated-ids");
        let environment = [("TMPDIR", folder.to_str().unwrap())];
        let old = Proxy::start_managed(&[&listener], &listen, &environment);
        let text = keep_alive_request("POST", "/write");
        let mut first = old.connect();
        write(&mut first, &text);
        let mut running = accept(&listener);
        assert_eq!(request_id(&read_message(&mut running)), request_id(&text));
        let mut first = Some(first);
        if leaves_before_the_upgrade {
            close(first.take().unwrap());
            thread::sleep(LEFT_TIME);
        }
        let new = old.start_successor(&old.discovery, &environment);
        first.into_iter().for_each(close);
        thread::sleep(LEFT_TIME);
        old.signal("-TERM");
        old.wait_for_log("signal");
        let arrivals = serve(listener.try_clone().unwrap());
        assert_failed(status_of_repeat(&new, &text));
        assert!(arrivals.with_id(request_id(&text)).is_empty(), "the id has run twice");
        drop(running);
    }
}

/// An id that was refused has not run, and may come again.
#[test]
fn refused_id_may_come_again() {
    let listener = backend();
    let proxy = Proxy::start(&[&listener]);
    let text = request("POST", "/write", "5");
    let refused = {
        let mut client = proxy.connect();
        write(&mut client, &text);
        let mut conn = accept(&listener);
        read_message(&mut conn);
        write(&mut conn, &response("503 Service Unavailable", "Not-Started: 1\r\nConnection: close\r\n", ""));
        // The backend turns the second attempt away as well.
        let mut conn = accept(&listener);
        read_message(&mut conn);
        write(&mut conn, &response("503 Service Unavailable", "Not-Started: 1\r\nConnection: close\r\n", ""));
        read_message(&mut client)
    };
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    let arrivals = serve(listener);
    thread::sleep(LEFT_TIME);
    assert_eq!(status_of_repeat(&proxy, &text), Some(200));
    assert_eq!(arrivals.with_id(request_id(&text)).len(), 1);
}
