//! Connections to backends that come up late, and what is owed by then.

mod helper;

use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use helper::{
    accept, backend, close, counter, fill_backlog, read_message, request, response, settings,
    unreachable_backend, write, Proxy,
};

/// Long deadlines, and much time for a connection to come up: what does in a second here has not come up late.
fn slow(effect: &str) -> String {
    let settings = settings(20_000, "").replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":20000");
    settings.replace(r#""effect":"pure""#, effect)
}

/// Takes what has filled a listener's backlog out of the way. What was dialled meanwhile comes up with the kernel's next
/// try, a second after the first.
fn make_way(backend: &TcpListener, full: &[TcpStream]) {
    full.iter().for_each(|_| drop(accept(backend)));
}

fn told(text: &str) -> f64 {
    let told = text.lines().find_map(|line| line.strip_prefix("Request-Timeout: "));
    told.unwrap_or_else(|| panic!("{text}")).parse().unwrap()
}

/// Guards against a backend that goes on working for a client that waits no more.
#[test]
fn an_attempt_tells_what_is_left_when_it_is_written_not_when_it_was_decided() {
    let (backend, full) = unreachable_backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &slow(r#""effect":"pure""#));
    let (mut client, sent) = (proxy.connect(), Instant::now());
    write(&mut client, &request("GET", "/read", "15"));
    while counter(&proxy, "dialled") < 1 {}
    std::thread::sleep(Duration::from_millis(500));
    // It can't have been written before this.
    let passed = sent.elapsed().as_secs_f64();
    make_way(&backend, &full);
    let mut conn = accept(&backend);
    let text = read_message(&mut conn);
    assert!(told(&text) <= 15.0 - passed, "{} s told, {passed} s after it came", told(&text));
    assert!(told(&text) > 5.0, "{}", told(&text));
    write(&mut conn, &response("200 OK", "", "fine"));
    assert!(read_message(&mut client).ends_with("fine"));
}

/// A further attempt of what may have run is dialled, and comes up after some time; the answer's status, and how many
/// further attempts the backend has got.
fn a_repeat_that_comes_up_late(window_ms: u32, wait: Duration) -> (String, usize) {
    let backend = backend();
    let keyed = slow(&format!(r#""effect":"token","group":"all","windowMs":{window_ms}"#));
    let proxy = Proxy::start_with(&[&backend], 1024, &keyed);
    let mut client = proxy.connect();
    write(&mut client, &request("POST", "/read", "15"));
    let mut first = accept(&backend);
    read_message(&mut first);
    let full = fill_backlog(&backend);
    close(first);
    while counter(&proxy, "forwards") < 2 {}
    std::thread::sleep(wait);
    make_way(&backend, &full);
    let (got, seen) = channel();
    std::thread::spawn(move || {
        while let Ok((mut conn, _)) = backend.accept() {
            if !read_message(&mut conn).is_empty() && got.send(()).is_ok() {
                write(&mut conn, &response("200 OK", "", "fine"));
            }
        }
    });
    let answer = read_message(&mut client);
    (answer, seen.try_iter().count())
}

/// Guards against an effect that happens twice: the backends drop a repeat up to the window's end, and a connection that
/// comes up after that would bring one that none of them drops.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_written() {
    let (answer, repeats) = a_repeat_that_comes_up_late(800, Duration::from_millis(900));
    assert_eq!(repeats, 0, "{answer}");
    assert!(answer.starts_with("HTTP/1.1 503"), "given up at the window's end: {answer}");
}

/// And it goes on as long as they do.
#[test]
fn a_repeat_whose_connection_comes_up_within_the_window_goes_on() {
    let (answer, repeats) = a_repeat_that_comes_up_late(60_000, Duration::ZERO);
    assert_eq!((repeats, answer.ends_with("fine")), (1, true), "{answer}");
}
