//! Connections to backends that are established late: what is written then has to carry the time that is
//! left, and a retry must not be written after its window.

mod helper;

use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use helper::{
    accept, backend, close, counter, fill_backlog, read_message, request, response, settings,
    unreachable_backend, write, Proxy,
};

/// Settings with long deadlines and a long connect time-out, so that a connect of one second does not
/// fail.
fn long_timeout_settings(effect: &str) -> String {
    let settings = settings(20_000, "").replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":20000");
    settings.replace(r#""effect":"pure""#, effect)
}

/// Accepts and closes the connections that filled the listener's backlog. Connections attempted meanwhile are
/// established with the kernel's next SYN, one second after the first.
fn clear_backlog(backend: &TcpListener, backlog: &[TcpStream]) {
    backlog.iter().for_each(|_| drop(accept(backend)));
}

fn request_timeout_s(text: &str) -> f64 {
    let header = text.lines().find_map(|line| line.strip_prefix("Request-Timeout: "));
    header.unwrap_or_else(|| panic!("{text}")).parse().unwrap()
}

/// Guards against a backend that goes on working for a client that no longer waits.
#[test]
fn request_timeout_is_the_time_left_at_the_write_not_at_the_decision() {
    let (backend, backlog) = unreachable_backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &long_timeout_settings(r#""effect":"pure""#));
    let (mut client, sent) = (proxy.connect(), Instant::now());
    write(&mut client, &request("GET", "/read", "15"));
    while counter(&proxy, "dialled") < 1 {}
    std::thread::sleep(Duration::from_millis(500));
    // The request can't have been written before this.
    let elapsed_s = sent.elapsed().as_secs_f64();
    clear_backlog(&backend, &backlog);
    let mut conn = accept(&backend);
    let text = read_message(&mut conn);
    assert!(
        request_timeout_s(&text) <= 15.0 - elapsed_s,
        "a time-out of {} s, {elapsed_s} s after the request was sent",
        request_timeout_s(&text)
    );
    assert!(request_timeout_s(&text) > 5.0, "{}", request_timeout_s(&text));
    write(&mut conn, &response("200 OK", "", "fine"));
    assert!(read_message(&mut client).ends_with("fine"));
}

/// Plays a retry of a keyed request that may have run, whose connection is established only after `wait`.
/// Returns the response, and how many retries the backend received.
fn retry_with_a_slow_connect(window_ms: u32, wait: Duration) -> (String, usize) {
    let backend = backend();
    let keyed = long_timeout_settings(&format!(r#""effect":"token","group":"all","windowMs":{window_ms}"#));
    let proxy = Proxy::start_with(&[&backend], 1024, &keyed);
    let mut client = proxy.connect();
    write(&mut client, &request("POST", "/read", "15"));
    let mut first = accept(&backend);
    read_message(&mut first);
    let backlog = fill_backlog(&backend);
    close(first);
    while counter(&proxy, "forwards") < 2 {}
    std::thread::sleep(wait);
    clear_backlog(&backend, &backlog);
    let (received, retries) = channel();
    std::thread::spawn(move || {
        while let Ok((mut conn, _)) = backend.accept() {
            if !read_message(&mut conn).is_empty() && received.send(()).is_ok() {
                write(&mut conn, &response("200 OK", "", "fine"));
            }
        }
    });
    let response = read_message(&mut client);
    (response, retries.try_iter().count())
}

/// Guards against an effect that happens twice: the backends drop duplicates until the window ends, so a
/// connection that is established after it would carry a duplicate that none of them drops.
#[test]
fn retry_whose_connection_is_established_after_the_window_is_not_written() {
    let (response, retries) = retry_with_a_slow_connect(800, Duration::from_millis(900));
    assert_eq!(retries, 0, "{response}");
    assert!(response.starts_with("HTTP/1.1 503"), "given up at the window's end: {response}");
}

/// As long as the backends drop duplicates, the retry is sent.
#[test]
fn retry_whose_connection_is_established_within_the_window_is_sent() {
    let (response, retries) = retry_with_a_slow_connect(60_000, Duration::ZERO);
    assert_eq!((retries, response.ends_with("fine")), (1, true), "{response}");
}
