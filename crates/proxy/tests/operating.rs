//! What operators do with a running proxy: calls, figures, bans by hand.

mod helper;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;

use helper::{accept, answer, ask, backend, message, request, Proxy};

/// A backend that answers all it is asked with its name, until the test ends.
fn serving(name: &'static str) -> TcpListener {
    let listener = backend();
    let accepting = listener.try_clone().unwrap();
    thread::spawn(move || {
        for stream in accepting.incoming().map_while(Result::ok) {
            thread::spawn(move || serve(stream, name));
        }
    });
    listener
}

fn serve(mut stream: TcpStream, name: &str) {
    while !message(&mut stream).is_empty() {
        let _ = stream.write_all(answer("200 OK", "", name).as_bytes());
    }
}

#[test]
fn operators_calls_get_their_answers() {
    let proxy = Proxy::start_managed(&[&serving("a")], "127.0.0.1:0", &[]);
    assert_eq!(proxy.call("GET", "/ready").0, 200);
    let cases = [
        ("GET /nowhere HTTP/1.1\r\n\r\n", "404"),
        ("PUT /backends/disable/none HTTP/1.1\r\n\r\n", "404"),
        ("PUT /backends/enable/none HTTP/1.1\r\n\r\n", "404"),
        ("PUT /ready HTTP/1.1\r\n\r\n", "405"),
        ("GET /backends/disable/h0 HTTP/1.1\r\n\r\n", "405"),
        ("DELETE /backends/disable/h0 HTTP/1.1\r\n\r\n", "405"),
        ("PUT /backends/disable/%ff HTTP/1.1\r\n\r\n", "400"),
        ("nonsense\r\n\r\n", "400"),
        // An id is decoded once, and a body is read and passed over.
        ("PUT /backends/disable/%680 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", "200"),
        ("PUT /backends/enable/%2568 HTTP/1.1\r\n\r\n", "404"),
        ("PUT /backends/enable/h0 HTTP/1.1\r\n\r\n", "200"),
    ];
    for (call, status) in cases {
        let seen = ask(&proxy.management, call);
        assert!(seen.starts_with(&format!("HTTP/1.1 {status} ")), "{call:?}: {seen:?}");
    }
}

#[test]
fn callers_that_say_nothing_keep_no_call_out() {
    let proxy = Proxy::start_managed(&[&serving("a")], "127.0.0.1:0", &[]);
    let half = |_| {
        let mut stream = TcpStream::connect(&proxy.management).unwrap();
        stream.write_all(b"GET /ready HT").unwrap();
        stream
    };
    let _silent: Vec<_> = (0..40).map(half).collect();
    assert_eq!(proxy.call("GET", "/ready").0, 200);
}

#[test]
fn the_figures_tell_each_request_once() {
    let slow = backend();
    let proxy = Proxy::start_managed(&[&slow], "127.0.0.1:0", &[]);
    let mut client = proxy.connect();
    client.write_all(request("GET", "/read", "5").as_bytes()).unwrap();
    let mut conn = accept(&slow);
    message(&mut conn);
    let all = ["served", "refused", "failed"].map(|end| format!("svc.requests.read.{end}"));
    let counts = || all.each_ref().map(|name| proxy.figure(name));
    assert_eq!((counts(), proxy.figure("svc.in_flight")), ([Some(0); 3], Some(1)));
    conn.write_all(answer("200 OK", "", "x").as_bytes()).unwrap();
    message(&mut client);
    assert_eq!((counts(), proxy.figure("svc.in_flight")), ([Some(1), Some(0), Some(0)], Some(0)));
    assert_eq!(proxy.figure("svc.attempts"), Some(1));
    // A class that is asked for in the wrong way fails; a path that is no class is nobody's request.
    proxy.ask(&request("POST", "/read", "5"));
    proxy.ask(&request("GET", "/unknown", "5"));
    assert_eq!(counts(), [Some(1), Some(0), Some(1)]);
    assert_eq!(proxy.figure("svc.backends_known"), Some(1));
}

#[test]
fn a_ban_by_hand_holds_until_it_is_called_back() {
    let proxy = Proxy::start_managed(&[&serving("a"), &serving("b")], "127.0.0.1:0", &[]);
    assert_eq!(proxy.call("PUT", "/backends/disable/h0").0, 200);
    assert_eq!(proxy.call("PUT", "/backends/disable/h0").0, 200);
    assert_eq!(proxy.figure("svc.backends_excluded"), Some(1));
    for _ in 0..20 {
        let seen = proxy.ask(&request("GET", "/read", "5"));
        assert!(seen.ends_with("\r\n\r\nb"), "{seen}");
    }
    // With all of them out, there is an answer at once.
    assert_eq!(proxy.call("PUT", "/backends/disable/h1").0, 200);
    assert!(proxy.ask(&request("GET", "/read", "5")).starts_with("HTTP/1.1 503 "));
    assert_eq!(proxy.figure("svc.requests.read.refused"), Some(1));
    assert_eq!(proxy.call("PUT", "/backends/enable/h0").0, 200);
    let seen = proxy.ask(&request("GET", "/read", "5"));
    assert!(seen.ends_with("\r\n\r\na"), "{seen}");
    assert_eq!(proxy.figure("svc.backends_excluded"), Some(1));
}
