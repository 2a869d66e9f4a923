//! What operators do with a running proxy: calls, figures, bans by hand, upgrades.

mod helper;

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::Arc;
use std::thread;

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{accept, backend, fetch, read_message, request, response, write, Proxy};
use sparlug_proxy::control_messages::{take_message, HandoverMessage};

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
    while !read_message(&mut stream).is_empty() {
        let _ = stream.write_all(response("200 OK", "", name).as_bytes());
    }
}

#[test]
fn operators_calls_get_their_answers() {
    let proxy = Proxy::start_managed(&[&serving("a")], "127.0.0.1:0", &[]);
    assert_eq!(proxy.admin_request("GET", "/ready").0, 200);
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
        let seen = fetch(&proxy.management, call);
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
    assert_eq!(proxy.admin_request("GET", "/ready").0, 200);
}

#[test]
fn the_figures_tell_each_request_once() {
    let slow = backend();
    let proxy = Proxy::start_managed(&[&slow], "127.0.0.1:0", &[]);
    let mut client = proxy.connect();
    client.write_all(request("GET", "/read", "5").as_bytes()).unwrap();
    let mut conn = accept(&slow);
    read_message(&mut conn);
    let all = ["served", "refused", "failed"].map(|end| format!("svc.requests.read.{end}"));
    let counts = || all.each_ref().map(|name| proxy.metric(name));
    assert_eq!((counts(), proxy.metric("svc.in_flight")), ([Some(0); 3], Some(1)));
    conn.write_all(response("200 OK", "", "x").as_bytes()).unwrap();
    read_message(&mut client);
    assert_eq!((counts(), proxy.metric("svc.in_flight")), ([Some(1), Some(0), Some(0)], Some(0)));
    assert_eq!(proxy.metric("svc.attempts"), Some(1));
    // A class that is asked for in the wrong way fails; a path that is no class is nobody's request.
    proxy.fetch(&request("POST", "/read", "5"));
    proxy.fetch(&request("GET", "/unknown", "5"));
    assert_eq!(counts(), [Some(1), Some(0), Some(1)]);
    assert_eq!(proxy.metric("svc.backends_known"), Some(1));
}

#[test]
fn every_ending_moves_one_figure() {
    let listener = backend();
    let proxy = Proxy::start_managed(&[&listener], "127.0.0.1:0", &[]);
    let ends = ["served", "refused", "failed"];
    let counts = |class: &str| ends.map(|end| proxy.metric(&format!("svc.requests.{class}.{end}")).unwrap());
    // What the backend sends back, or nothing; and which figure that moves.
    let cases = [
        ("POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0),
        ("POST", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 2),
        ("POST", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", 2),
        ("POST", "noise without an end", 2),
        ("POST", "", 2),
    ];
    let mut expected = [0; 3];
    for (method, reply, figure) in cases {
        let mut client = proxy.connect();
        write(&mut client, &request(method, "/write", "5"));
        let mut conn = accept(&listener);
        read_message(&mut conn);
        assert_eq!((counts("write"), proxy.metric("svc.in_flight")), (expected, Some(1)), "{reply:?}");
        write(&mut conn, reply);
        conn.shutdown(Shutdown::Both).unwrap();
        assert!(read_message(&mut client).starts_with("HTTP/1.1 "), "{reply:?}");
        expected[figure] += 1;
        assert_eq!((counts("write"), proxy.metric("svc.in_flight")), (expected, Some(0)), "{reply:?}");
    }
    // A client that leaves.
    let mut client = proxy.connect();
    write(&mut client, &request("POST", "/write", "5"));
    let mut conn = accept(&listener);
    read_message(&mut conn);
    drop(client);
    assert_eq!(read_message(&mut conn), "");
    expected[2] += 1;
    assert_eq!((counts("write"), proxy.metric("svc.in_flight")), (expected, Some(0)));
    // Refused by the proxy, with nothing sent.
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/h0").0, 200);
    assert!(proxy.fetch(&request("POST", "/write", "5")).starts_with("HTTP/1.1 503 "));
    expected[1] += 1;
    assert_eq!((counts("write"), proxy.metric("svc.in_flight")), (expected, Some(0)));
    assert_eq!((counts("read"), proxy.metric("svc.attempts")), ([0; 3], Some(6)));
}

#[test]
fn a_ban_by_hand_holds_until_it_is_called_back() {
    let proxy = Proxy::start_managed(&[&serving("a"), &serving("b")], "127.0.0.1:0", &[]);
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/h0").0, 200);
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/h0").0, 200);
    assert_eq!(proxy.metric("svc.backends_excluded"), Some(1));
    for _ in 0..20 {
        let seen = proxy.fetch(&request("GET", "/read", "5"));
        assert!(seen.ends_with("\r\n\r\nb"), "{seen}");
    }
    // With all of them out, there is an answer at once.
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/h1").0, 200);
    assert!(proxy.fetch(&request("GET", "/read", "5")).starts_with("HTTP/1.1 503 "));
    assert_eq!(proxy.metric("svc.requests.read.refused"), Some(1));
    assert_eq!(proxy.admin_request("PUT", "/backends/enable/h0").0, 200);
    let seen = proxy.fetch(&request("GET", "/read", "5"));
    assert!(seen.ends_with("\r\n\r\na"), "{seen}");
    assert_eq!(proxy.metric("svc.backends_excluded"), Some(1));
}

/// A place for what processes of one proxy hand over, and an address that is free.
fn place(name: &str) -> (PathBuf, String) {
    let folder = std::env::temp_dir().join(format!("sparlug-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // Below those that the system hands out: guards against another test's connection getting it first.
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + std::process::id() as u16 % 100 * 100;
    let next = || first + TAKEN.fetch_add(1, Ordering::Relaxed);
    let free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    (folder, format!("127.0.0.1:{}", std::iter::repeat_with(next).find(free).unwrap()))
}

#[test]
fn an_upgrade_loses_no_request_and_no_ban() {
    let ((folder, listen), backends) = (place("upgrade"), [serving("a"), serving("b")]);
    let backends = backends.each_ref();
    let environment = [("TMPDIR", folder.to_str().unwrap())];
    let old = Proxy::start_managed(&backends, &listen, &environment);
    assert_eq!(old.admin_request("PUT", "/backends/disable/h0").0, 200);
    let (done, address) = (Arc::new(AtomicBool::new(false)), listen.clone());
    let stop = done.clone();
    // New connections, and one that is kept until its answer says that it ends.
    let asking = thread::spawn(move || {
        let mut answers = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            answers.push(fetch(&address, &request("GET", "/read", "5")));
        }
        answers
    });
    let mut kept = old.connect();
    let open = request("GET", "/read", "5").replace("Connection: close\r\n", "");
    write(&mut kept, &open);
    assert!(read_message(&mut kept).ends_with("\r\n\r\nb"));

    let new = Proxy::start_managed(&backends, &listen, &environment);
    assert_eq!(new.admin_request("GET", "/ready").0, 200);
    // What was barred before stays so, and what one of the two is told binds the other.
    assert_eq!(new.metric("svc.backends_excluded"), Some(1));
    assert_eq!(new.admin_request("PUT", "/backends/enable/h0").0, 200);
    assert_eq!(new.admin_request("PUT", "/backends/disable/h1").0, 200);
    old.wait_for_log("barred=true");
    old.wait_for_log("barred=false");
    old.wait_for_log("barred=true");
    assert_eq!(old.metric("svc.backends_excluded"), Some(1));
    old.signal("-TERM");
    old.wait_for_log("signal");
    write(&mut kept, &open.replace("9b1f", "77"));
    let last = read_message(&mut kept);
    assert!(last.starts_with("HTTP/1.1 200 ") && last.ends_with("\r\n\r\na"), "{last}");
    assert_eq!(old.wait_for_exit(), Some(0));
    assert!(new.fetch(&request("GET", "/read", "5")).ends_with("\r\n\r\na"));
    done.store(true, Ordering::Relaxed);
    for answer in asking.join().unwrap() {
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    }
    // The third finds the second.
    let third = Proxy::start_managed(&backends, &listen, &environment);
    assert_eq!(third.metric("svc.backends_excluded"), Some(1));
}

/// Guards against bans that are lost with one call that failed as one process handed over to the next.
#[test]
fn an_upgrade_keeps_its_bans_though_calls_of_the_handover_fail() {
    let failures = [
        (SystemCall::MessageWrite, errno::EINTR),
        (SystemCall::MessageWrite, errno::ENOBUFS),
        (SystemCall::MessageRead, errno::EINTR),
        (SystemCall::MessageRead, errno::ENOMEM),
    ];
    for (call, error) in failures {
        let ((folder, listen), backends) = (place("faulty-upgrade"), [serving("a"), serving("b")]);
        let backends = backends.each_ref();
        let environment = [("TMPDIR", folder.to_str().unwrap())];
        let (old, sending) = Shim::start_managed(&backends, &listen, &environment);
        assert_eq!(old.admin_request("PUT", "/backends/disable/h0").0, 200);
        let fault = Fault::with_error(call, error, 3);
        sending.inject(fault);
        let (new, receiving) = Shim::start_managed_failing(&backends, &listen, &environment, &[fault]);
        assert_eq!(new.metric("svc.backends_excluded"), Some(1), "{call:?} error {error}");
        assert!(sending.hits(call) + receiving.hits(call) > 0, "{call:?} error {error}");
    }
}

#[test]
fn whatever_waits_in_the_old_ones_place_costs_the_start_nothing() {
    let backends = [serving("a")];
    let backends = backends.each_ref();
    let serves = |what: &dyn Fn(&Path) -> Option<UnixListener>| {
        let (folder, listen) = place("fallback");
        let path = folder.join(format!("sparlug-{listen}.sock"));
        let _ = std::fs::remove_file(&path);
        let _kept = what(&path);
        let proxy = Proxy::start_managed(&backends, &listen, &[("TMPDIR", folder.to_str().unwrap())]);
        assert!(proxy.fetch(&request("GET", "/read", "5")).starts_with("HTTP/1.1 200 "));
    };
    let says = |path: &Path, text: &'static [u8]| {
        let listener = UnixListener::bind(path).unwrap();
        let waiting = listener.try_clone().unwrap();
        thread::spawn(move || waiting.accept().unwrap().0.write_all(text).unwrap());
        Some(listener)
    };
    // A stale socket, a file, one that never answers, one that ends, nonsense, and another version.
    serves(&|path| UnixListener::bind(path).map(drop).map(|()| None).unwrap());
    serves(&|path| std::fs::write(path, "no socket").map(|()| None).unwrap());
    serves(&|path| Some(UnixListener::bind(path).unwrap()));
    serves(&|path| says(path, b""));
    serves(&|path| says(path, &[0x7f; 4000]));
    serves(&|path| says(path, b"sparlug-handover 1\n{\"State\":{\"agent\":7}}\n"));
    serves(&|path| {
        says(path, b"sparlug-handover 2\n{\"State\":{\"agent\":null,\"barred\":[],\"list\":null}}\n")
    });
}

#[test]
fn what_processes_say_is_read_line_by_line_or_not_at_all() {
    let word = HandoverMessage::SetDisabled { backend: ([10, 0, 0, 1], 80), disabled: true };
    let text = [serde_json::to_string(&word).unwrap(), "\n".to_string()].concat();
    let mut input = Vec::new();
    for byte in text.bytes() {
        assert_eq!(take_message(&mut input), Ok(None));
        input.push(byte);
    }
    assert_eq!((take_message(&mut input), input.len()), (Ok(Some(word)), 0));
    for bad in ["{}\n", "nonsense\n", "\n", "{\"Bar\":{\"backend\":[[1,2,3],4],\"barred\":true}}\n"] {
        assert!(take_message(&mut bad.as_bytes().to_vec()).is_err(), "{bad}");
    }
    assert!(take_message(&mut vec![b' '; 5 << 20]).is_err());
}
