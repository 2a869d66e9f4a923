//! Clients that send so much at once that the end of their connection waits behind bytes which the proxy has not read. No
//! attempt begins for a client that may have left long ago, and clients that stay get their answers.

mod helper;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use helper::crowd::{
    observe, one_at_a_time, read_body, start_small_proxy, Behaviour, Crowd, DESCRIPTORS, FULL_SPEED,
};
use helper::{
    backend, keep_alive_request, read_head, read_message, request_id, response, serve, settings, Proxy,
};

/// An attempt that begins later than this after its client has closed is for nobody.
const LIMIT: Duration = Duration::from_millis(150);
const WORK_TIME: Duration = Duration::from_millis(260);
const CLIENTS: usize = 24;
const REQUESTS_AT_ONCE: usize = 200;
const PADDING_BYTES: usize = 3_600;
const UPLOAD_BYTES: usize = 6_000_000;

fn padded_request(padding_bytes: usize) -> String {
    let padding = format!("User-Agent: {}\r\n\r\n", "x".repeat(padding_bytes));
    keep_alive_request("GET", "/read").replacen("\r\n\r\n", &format!("\r\n{padding}"), 1)
}

fn many_requests() -> String {
    (0..REQUESTS_AT_ONCE).map(|_| padded_request(PADDING_BYTES)).collect()
}

/// Writes as much as the sockets take at once.
fn write_at_once(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_nonblocking(true).unwrap();
    let mut written = 0;
    while let Ok(length) = stream.write(&bytes[written..]) {
        written += length;
        if length == 0 {
            return;
        }
    }
}

/// The ids of requests that arrive at a backend, with the times of their arrival.
type ArrivalTimes = Arc<Mutex<Vec<(String, Instant)>>>;

/// Serves a backend that works for so long on each request.
fn serve_slowly(listener: TcpListener, work_time: Duration, arrivals: ArrivalTimes) {
    thread::spawn(move || {
        while let Ok((mut conn, _)) = listener.accept() {
            let arrivals = arrivals.clone();
            thread::spawn(move || {
                while let Some(head) = read_head(&mut conn) {
                    arrivals.lock().unwrap().push((request_id(&head).to_string(), Instant::now()));
                    thread::sleep(work_time);
                    if conn.write_all(response("200 OK", "", "fine").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Guards against attempts for clients that sent hundreds of requests and closed: the close is behind them.
#[test]
fn no_attempt_begins_for_a_client_whose_close_is_hidden_behind_its_requests() {
    let _turn = one_at_a_time();
    let listeners: Vec<_> = (0..3).map(|_| backend()).collect();
    let proxy = Proxy::start_with(&listeners.iter().collect::<Vec<_>>(), 1024, &settings(2_000, ""));
    let arrivals = ArrivalTimes::default();
    listeners.into_iter().for_each(|listener| serve_slowly(listener, WORK_TIME, arrivals.clone()));
    let leave = |address: String| {
        let text = many_requests();
        let mut client = TcpStream::connect(address).unwrap();
        write_at_once(&mut client, text.as_bytes());
        drop(client);
        (text, Instant::now())
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let address = proxy.address.clone();
            thread::spawn(move || leave(address))
        })
        .collect();
    let left: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    thread::sleep(Duration::from_millis(2_500));
    let mut late = Vec::new();
    for (id, at) in arrivals.lock().unwrap().iter() {
        let (_, closed) = left.iter().find(|(text, _)| text.contains(id.as_str())).unwrap();
        let after = at.saturating_duration_since(*closed);
        if after > LIMIT {
            late.push(after);
        }
    }
    assert!(late.is_empty(), "{} attempts after the close: {late:?}", late.len());
}

/// Sends requests at once, stays, and returns the status of each answer.
fn statuses_of_a_client_that_stays(proxy: &Proxy, requests: &[String]) -> Vec<String> {
    let mut client = proxy.connect();
    let mut writing = client.try_clone().unwrap();
    let text = requests.concat();
    let writer = thread::spawn(move || writing.write_all(text.as_bytes()));
    let status = |answer: String| answer.lines().next().unwrap_or_default().to_string();
    let statuses = requests.iter().map(|_| status(read_message(&mut client))).collect();
    writer.join().unwrap().unwrap();
    statuses
}

/// Clients that send as much and stay are served, request by request, by fast backends and by slow ones.
#[test]
fn client_that_sends_many_requests_at_once_and_stays_is_served() {
    let _turn = one_at_a_time();
    for (work_time, count) in [(Duration::ZERO, REQUESTS_AT_ONCE), (Duration::from_millis(100), 20)] {
        let listener = backend();
        let proxy = Proxy::start_with(&[&listener], 1024, &settings(5_000, ""));
        serve_slowly(listener, work_time, ArrivalTimes::default());
        let requests: Vec<_> = (0..count).map(|_| padded_request(12_000)).collect();
        let statuses = statuses_of_a_client_that_stays(&proxy, &requests);
        let served = statuses.iter().filter(|status| status.as_str() == "HTTP/1.1 200 OK").count();
        assert_eq!(served, count, "work of {work_time:?}: {statuses:?}");
    }
}

/// What is read further of clients that wait stays inside the memory limit.
#[test]
fn memory_limit_holds_while_many_clients_send_many_requests_at_once() {
    let _turn = one_at_a_time();
    let listeners: Vec<_> = (0..4).map(|_| backend()).collect();
    let proxy = start_small_proxy(&listeners.iter().collect::<Vec<_>>(), DESCRIPTORS);
    listeners.into_iter().for_each(|listener| serve_slowly(listener, WORK_TIME, ArrivalTimes::default()));
    let behaviour = Behaviour::writing(|| many_requests().into_bytes(), FULL_SPEED);
    let crowd = Crowd::start(&proxy.address, vec![behaviour; 400]);
    let observation = observe(&proxy, Duration::from_secs(4));
    crowd.stop();
    observation.check("many requests at once", DESCRIPTORS);
}

/// Guards against an upload that begins to run after its client has left: the close is behind its body.
#[test]
fn upload_does_not_run_whose_client_closes_behind_its_body() {
    let listener = backend();
    let proxy = Proxy::start_with(&[&listener], 1024, &settings(20_000, ""));
    let reader = thread::spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        let head = read_head(&mut conn).unwrap();
        thread::sleep(Duration::from_millis(1_000));
        read_body(&mut conn, &head, usize::MAX).unwrap_or(false)
    });
    let head = keep_alive_request("POST", "/write");
    let head = head.replace("\r\n\r\n", &format!("\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"));
    let start = Instant::now();
    let mut client = proxy.connect();
    client.write_all(&[head.as_bytes(), &vec![b'x'; UPLOAD_BYTES]].concat()).unwrap();
    drop(client);
    let closed_after = start.elapsed();
    assert!(closed_after < Duration::from_millis(800), "the sockets did not take all: {closed_after:?}");
    assert!(!reader.join().unwrap(), "the backend got all of the upload");
}

/// An upload of that size is served if its client stays.
#[test]
fn upload_is_served_whose_client_stays() {
    let listener = backend();
    let proxy = Proxy::start_with(&[&listener], 1024, &settings(20_000, ""));
    let _arrivals = serve(listener);
    let head = keep_alive_request("POST", "/write");
    let head = head.replace("\r\n\r\n", &format!("\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"));
    let mut client = proxy.connect();
    client.write_all(&[head.as_bytes(), &vec![b'x'; UPLOAD_BYTES]].concat()).unwrap();
    assert!(read_message(&mut client).ends_with("fine"));
}
