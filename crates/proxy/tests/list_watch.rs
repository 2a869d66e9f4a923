//! The watch on the list, however a call of it ends: the next one comes in time for what discovery has to tell, which
//! counts as told 6 s after it had it and could be reached.

mod helper;

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use helper::{
    accept, backend, close, counter, read_message, request, response, settings, unreachable_backend, write,
    Proxy,
};

/// What the rule leaves for a call that was lost, the pause and the next call, its answer aside.
const IN_TIME: Duration = Duration::from_millis(6_000 - 1_250);
/// A busy machine may take so long over it.
const SLACK: Duration = Duration::from_millis(1_000);

const PUSHED: &str = r#""discovery":"pushed""#;
const ASKED: &str = r#""discovery":"on_request""#;

/// How a call ends.
type End = fn(TcpStream) -> Option<TcpStream>;

fn says(text: &str) -> impl Fn(TcpStream) -> Option<TcpStream> + '_ {
    move |mut call| {
        write(&mut call, text);
        Some(call)
    }
}

/// Of each it is said whether the proxy can go on with the connection.
const ENDS: [(&str, End); 9] = [
    ("silence", Some),
    ("a reset", |call| {
        socket2::SockRef::from(&call).set_linger(Some(Duration::ZERO)).unwrap();
        None
    }),
    ("an end instead of an answer", |call| {
        close(call);
        None
    }),
    ("503", |call| says(&response("503 Service Unavailable", "", ""))(call)),
    ("404", |call| says(&response("404 Not Found", "Connection: close\r\n", "no such list"))(call)),
    ("what is no HTTP", |call| says("seq 5 whole true\r\n\r\n")(call)),
    ("what is no list", |call| says(&response("200 OK", "", r#"{"seq":5,"hosts":"#))(call)),
    ("half an answer", |call| says("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"seq\":5,")(call)),
    ("an answer cut in its chunks", |mut call| {
        write(&mut call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"seq\":5,\r\n");
        close(call);
        None
    }),
];

/// The next call, on this connection or on a new one.
fn next_call(call: Option<TcpStream>, agent: &TcpListener) -> TcpStream {
    if let Some(mut call) = call {
        call.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        if !read_message(&mut call).is_empty() {
            return call;
        }
    }
    let mut call = accept(agent);
    read_message(&mut call);
    call
}

/// Ends three calls in a row in one way, and answers the next one.
fn each_next_call_comes_in_time(mode: &str, what: &str, end: End) {
    let backend = backend();
    let settings = settings(5000, "").replace(PUSHED, mode);
    let proxy = Proxy::start_with(&[&backend], 1024, &settings);
    let mut call = accept(&proxy.discovery);
    assert!(read_message(&mut call).starts_with("GET /v1/endpoints?index=4&"));
    for nth in 1..=3 {
        let from = Instant::now();
        call = next_call(end(call), &proxy.discovery);
        let took = from.elapsed();
        assert!(took < IN_TIME + SLACK, "{mode}, {what}, call {nth}: the next one came after {took:?}");
    }
    // All that was heard is the list of the start, which still serves.
    let asks = std::thread::spawn({
        let address = proxy.address.clone();
        move || helper::fetch(&address, &request("GET", "/read", "4"))
    });
    let mut conn = accept(&backend);
    read_message(&mut conn);
    write(&mut conn, &response("200 OK", "Connection: close\r\n", "fine"));
    assert!(asks.join().unwrap().ends_with("fine"));
    write(&mut call, &response("200 OK", "", r#"{"seq":5,"whole":false,"hosts":[]}"#));
    let mut call = next_call(Some(call), &proxy.discovery);
    write(&mut call, &response("200 OK", "", r#"{"seq":6,"whole":false,"hosts":[]}"#));
    next_call(Some(call), &proxy.discovery);
    assert_eq!(counter(&proxy, "lists"), 2, "{mode}, {what}: what comes then is heard");
    assert_eq!(counter(&proxy, "lists_failed"), 3, "{mode}, {what}: each loss is counted");
}

fn however_a_call_ends(mode: &str) {
    std::thread::scope(|scope| {
        for (what, end) in ENDS {
            scope.spawn(move || each_next_call_comes_in_time(mode, what, end));
        }
    });
}

#[test]
fn where_lists_are_pushed_the_next_call_comes_in_time_however_one_ends() {
    however_a_call_ends(PUSHED);
}

#[test]
fn where_lists_are_asked_for_the_next_call_comes_in_time_however_one_ends() {
    however_a_call_ends(ASKED);
}

fn whole(version: u32, backend: &TcpListener) -> String {
    let dial = backend.local_addr().unwrap();
    let host = format!(r#"{{"host":"h1","dial":"{dial}","site":"a","health":"Ready"}}"#);
    response("200 OK", "", &format!(r#"{{"seq":{version},"whole":true,"hosts":[{host}]}}"#))
}

/// What a whole list does not name is gone, and so are the attempts that are on their way there: they go elsewhere at
/// once, and what has begun there goes on.
#[test]
fn a_whole_list_calls_off_what_is_dialled_to_a_backend_that_it_leaves_out() {
    let ((gone, _full), stays) = (unreachable_backend(), backend());
    let settings = settings(20_000, "").replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":50000");
    let proxy = Proxy::start_with(&[&gone, &stays], 1024, &settings);
    let mut call = accept(&proxy.discovery);
    read_message(&mut call);
    // Of two requests one goes to each: the second draws the one that holds less.
    let mut clients = [proxy.connect(), proxy.connect()];
    for (sent, client) in (1..).zip(&mut clients) {
        write(client, &request("POST", "/write", "30"));
        while counter(&proxy, "forwards") < sent {}
    }
    let mut first = accept(&stays);
    read_message(&mut first);
    write(&mut call, &whole(5, &stays));
    let mut second = accept(&stays);
    read_message(&mut second);
    assert_eq!(counter(&proxy, "ended_withdrawn"), 1, "what was dialled has ended");
    for conn in [&mut first, &mut second] {
        write(conn, &response("200 OK", "Connection: close\r\n", "fine"));
    }
    for client in &mut clients {
        assert!(read_message(client).ends_with("fine"));
    }
}

/// An older version than the one at hand is taken as the agent's last word, and told in the log.
#[test]
fn a_version_that_goes_back_is_heard_and_told() {
    let (one, other) = (backend(), backend());
    let proxy = Proxy::start(&[&one, &other]);
    let mut call = accept(&proxy.discovery);
    read_message(&mut call);
    write(&mut call, &whole(2, &other));
    assert!(proxy.wait_for_log("suspicious list").contains("older version"));
    assert!(
        read_message(&mut call).starts_with("GET /v1/endpoints?index=2&"),
        "the watch goes on from there"
    );
    let asks = std::thread::spawn({
        let address = proxy.address.clone();
        move || helper::fetch(&address, &request("GET", "/read", "4"))
    });
    let mut conn = accept(&other);
    read_message(&mut conn);
    write(&mut conn, &response("200 OK", "Connection: close\r\n", "fine"));
    assert!(asks.join().unwrap().ends_with("fine"));
}

/// A new configuration while a call is out: that call's answer, of the old agent, counts no more, and the new agent is
/// asked for the whole list at once.
#[test]
fn what_the_old_agent_answers_after_a_move_is_not_heard() {
    for mode in [PUSHED, ASKED] {
        let (one, other) = (backend(), backend());
        let proxy = Proxy::start_with(&[&one, &other], 1024, &settings(5000, "").replace(PUSHED, mode));
        let mut old = accept(&proxy.discovery);
        read_message(&mut old);
        let agent = backend();
        proxy.switch_agent(&agent);
        let mut new = accept(&agent);
        assert!(read_message(&mut new).starts_with("GET /v1/endpoints HTTP"), "{mode}");
        assert_eq!(old.read(&mut [0]).unwrap(), 0, "{mode}: the old call is given up");
        write(&mut new, &whole(9, &one));
        assert!(read_message(&mut new).starts_with("GET /v1/endpoints?index=9&"), "{mode}");
        assert_eq!(counter(&proxy, "lists"), 1, "{mode}");
    }
}
