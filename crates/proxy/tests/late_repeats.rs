//! Repeats of keyed requests. The backends drop a repeat only within a window from the first attempt that may have run:
//! the last byte of a repeat has to reach its backend before the window ends, or never.

mod helper;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use helper::{backend, read_head, read_message, response, settings, Proxy};
use socket2::SockRef;

const WINDOW: Duration = Duration::from_millis(1_000);
/// How much later than its limit something may be seen by a test.
const SLACK: Duration = Duration::from_millis(50);
const BODY_BYTES: usize = 300_000;
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a slow backend reads at a time.
const PIECE_BYTES: usize = 5_000;
/// Longer than any slow backend reads.
const OBSERVATION_TIME: Duration = Duration::from_millis(4_000);

/// Settings whose requests may take longer than any slow backend does.
fn patient_settings() -> String {
    settings(20_000, "")
}

/// The settings with this effect of the class `read`.
fn with_effect(settings: &str, effect: &str) -> String {
    settings.replace(r#""effect":"pure""#, effect)
}

fn keyed_effect() -> String {
    let window_ms = WINDOW.as_millis();
    format!(r#""effect":"token","group":"all","windowMs":{window_ms}"#)
}

fn long_request() -> String {
    let head = helper::request("POST", "/read", "15");
    let head = head.replace("\r\n\r\n", &format!("\r\nContent-Length: {BODY_BYTES}\r\n\r\n"));
    head + &"x".repeat(BODY_BYTES)
}

/// A backend whose kernel takes little of a body before the backend reads it.
fn backend_with_small_buffer() -> TcpListener {
    let listener = backend();
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    listener
}

/// Reads a request whose body takes `read_time`. Returns whether its last byte came.
fn read_slowly(conn: &mut TcpStream, read_time: Duration) -> bool {
    if read_head(conn).is_none() {
        return false;
    }
    let pieces = BODY_BYTES / PIECE_BYTES;
    let mut piece = [0; PIECE_BYTES];
    (0..pieces).all(|_| {
        thread::sleep(read_time / pieces as u32);
        conn.read_exact(&mut piece).is_ok()
    })
}

fn reset(conn: TcpStream) {
    SockRef::from(&conn).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Serves a backend that resets the connection of its first request once that runs, and takes `read_time` to read
/// each further one. Reports when requests run.
fn run_first_and_read_further_slowly(listener: TcpListener, read_time: Duration, runs: Sender<Instant>) {
    let (mut conn, _) = listener.accept().unwrap();
    assert!(read_slowly(&mut conn, Duration::ZERO));
    runs.send(Instant::now()).unwrap();
    thread::sleep(Duration::from_millis(50));
    reset(conn);
    while let Ok((mut conn, _)) = listener.accept() {
        let runs = runs.clone();
        thread::spawn(move || {
            if read_slowly(&mut conn, read_time) && runs.send(Instant::now()).is_ok() {
                let _ = conn.write_all(response("200 OK", "", "fine").as_bytes());
            }
        });
    }
}

/// The times after the first run at which a request ran that has a slow repeat, and its response.
fn play_slow_repeat(read_time: Duration) -> (Vec<Duration>, String) {
    let listener = backend_with_small_buffer();
    let proxy = Proxy::start_with(&[&listener], 1024, &with_effect(&patient_settings(), &keyed_effect()));
    let (sender, runs) = channel();
    thread::spawn(move || run_first_and_read_further_slowly(listener, read_time, sender));
    let mut client = proxy.connect();
    client.write_all(long_request().as_bytes()).unwrap();
    let first = runs.recv().unwrap();
    let response = read_message(&mut client);
    thread::sleep(OBSERVATION_TIME.saturating_sub(first.elapsed()));
    (runs.try_iter().map(|run| run.duration_since(first)).collect(), response)
}

/// Guards against an effect that happens twice: a repeat whose first byte is written within the window, and whose last
/// byte a slow backend reads after it. The slightly slow one has less in its buffer than is missing of the body.
#[test]
fn slowly_read_repeat_does_not_run_after_its_window() {
    for read_ms in [1_100, 2_400] {
        let (runs, response) = play_slow_repeat(Duration::from_millis(read_ms));
        let late: Vec<_> = runs.iter().filter(|run| **run > WINDOW + SLACK).collect();
        assert!(late.is_empty(), "read in {read_ms} ms, ran again after {late:?}: {response}");
        assert!(response.starts_with("HTTP/1.1 50"), "{response}");
    }
}

/// A repeat that a backend reads fast enough is served.
#[test]
fn repeat_that_is_read_within_its_window_is_served() {
    let (runs, response) = play_slow_repeat(Duration::from_millis(200));
    assert!(response.ends_with("fine"), "{response}");
    assert!(runs.len() == 1 && runs[0] < WINDOW, "{runs:?}");
}

/// Starts a request that a slow backend reads, and reports whether the backend gets its last byte.
fn start_slow_request(settings: &str, effect: &str) -> (Proxy, TcpStream, Receiver<bool>) {
    let listener = backend_with_small_buffer();
    let proxy = Proxy::start_with(&[&listener], 1024, &with_effect(settings, effect));
    let (sender, complete) = channel();
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        sender.send(read_slowly(&mut conn, Duration::from_millis(1_500))).unwrap();
    });
    let mut client = proxy.connect();
    client.write_all(long_request().as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(300));
    (proxy, client, complete)
}

/// Guards against an attempt that begins long after its client has left: all of it was written, but the backend has not
/// taken it from the kernel's buffers.
#[test]
fn request_in_the_kernels_buffers_does_not_run_after_its_client_has_left() {
    for effect in [r#""effect":"side_effect""#, &keyed_effect()] {
        let (_proxy, client, complete) = start_slow_request(&patient_settings(), effect);
        drop(client);
        assert!(!complete.recv().unwrap(), "the backend got all of the request: {effect}");
    }
}

/// Guards against a first attempt that runs long after it has timed out, beside the repeat that followed it.
#[test]
fn request_in_the_kernels_buffers_does_not_run_after_its_attempt_has_timed_out() {
    let (_proxy, mut client, complete) = start_slow_request(&settings(250, ""), &keyed_effect());
    assert!(read_message(&mut client).starts_with("HTTP/1.1 50"));
    assert!(!complete.recv().unwrap(), "the backend got all of the request");
}

/// Serves a connection of a backend that fails its first request so long after that has arrived.
fn serve_connection(mut conn: TcpStream, arrivals: &AtomicUsize, fails_after: Duration) {
    while !read_message(&mut conn).is_empty() {
        let is_first = arrivals.fetch_add(1, Relaxed) == 0;
        if is_first {
            thread::sleep(fails_after);
        }
        let status = if is_first { "500 Late" } else { "200 OK" };
        let _ = conn.write_all(response(status, "", "fine").as_bytes());
    }
}

/// Plays a request that fails so long after it has begun, and whose repeat is served. Returns how many times it arrived,
/// how long its answer took, and the answer.
fn play_late_failure(fails_after: Duration) -> (usize, Duration, String) {
    let listener = backend();
    let settings = with_effect(&patient_settings(), &keyed_effect());
    let proxy = Proxy::start_with(&[&listener], 1024, &settings);
    let arrivals = Arc::new(AtomicUsize::new(0));
    let counted = arrivals.clone();
    thread::spawn(move || {
        while let Ok((conn, _)) = listener.accept() {
            let arrivals = counted.clone();
            thread::spawn(move || serve_connection(conn, &arrivals, fails_after));
        }
    });
    let (mut client, sent) = (proxy.connect(), Instant::now());
    client.write_all(helper::request("POST", "/read", "15").as_bytes()).unwrap();
    let answer = read_message(&mut client);
    let took = sent.elapsed();
    thread::sleep(WINDOW);
    (arrivals.load(Relaxed), took, answer)
}

/// Guards against an effect that happens twice: a process that is held up for 0.15 s between reading its clock and writing
/// writes a repeat after its window. What is not repeated any more is answered at once.
#[test]
fn request_that_fails_just_before_its_window_ends_is_not_repeated() {
    let fails_after = WINDOW - Duration::from_millis(100);
    let (arrivals, took, answer) = play_late_failure(fails_after);
    assert_eq!(arrivals, 1, "{answer}");
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(took < fails_after + 2 * SLACK, "answered after {took:?}");
}

/// A request that fails earlier is repeated.
#[test]
fn request_that_fails_earlier_in_its_window_is_repeated() {
    let (arrivals, took, answer) = play_late_failure(WINDOW - Duration::from_millis(300));
    assert!(arrivals > 1, "{answer}");
    assert!(took < WINDOW + 2 * SLACK, "answered after {took:?}");
}
