//! Responses that are given before the request's body is read. Guards against taking the rest of such a body for
//! further requests, which no client sent.

mod helper;

use std::io::{Read, Write};
use std::net::TcpStream;

use helper::{accept, backend, read_message, request, response, serve, Arrivals, Proxy};

/// Longer than what is buffered of a request.
const BODY_BYTES: usize = 256 * 1024;
const HIDDEN_ID: &str = "hidden";

/// A body of blank lines, which are skipped before a request, that ends with one.
fn body_with_hidden_request() -> Vec<u8> {
    let hidden =
        format!("POST /write HTTP/1.1\r\nHost: h\r\nRequest-Id: {HIDDEN_ID}\r\nRequest-Timeout: 5\r\n\r\n");
    let mut body = b"\r\n".repeat((BODY_BYTES - hidden.len()) / 2);
    body.extend_from_slice(hidden.as_bytes());
    body
}

/// The body as a single chunk.
fn in_one_chunk(body: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n0\r\n\r\n"].concat()
}

/// The head of a request without its blank line.
fn head(method: &str, path: &str) -> String {
    let text = request(method, path, "5").replace("Connection: close\r\n", "");
    text.trim_end().to_string()
}

/// A request with a body that contains another one, by length and in a chunk.
fn requests_with_hidden_one(head: &str) -> [Vec<u8>; 2] {
    let body = body_with_hidden_request();
    [
        [format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), &body].concat(),
        [format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes(), &in_one_chunk(&body)].concat(),
    ]
}

/// Sends all bytes and reads until the connection ends. The other side may close it before it has read them.
fn exchange(mut client: TcpStream, bytes: &[u8]) -> String {
    let _ = client.write_all(bytes);
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

/// The status lines of the final responses.
fn final_statuses(received: &str) -> Vec<&str> {
    let is_final = |line: &&str| line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.1 1");
    received.lines().filter(is_final).map(|line| &line[9..12]).collect()
}

fn assert_not_run(arrivals: &Arrivals, case: &str) {
    assert!(arrivals.with_id(HIDDEN_ID).is_empty(), "a backend got the hidden request: {case}");
}

/// Sends a request that hides another one; it must get this one response, which closes the connection.
fn assert_one_response(proxy: &Proxy, arrivals: &Arrivals, bytes: &[u8], status: &str) {
    let case = String::from_utf8_lossy(&bytes[..200]).into_owned();
    let received = exchange(proxy.connect(), bytes);
    assert_eq!(final_statuses(&received), [status], "{case}: {received}");
    assert!(received.contains("Connection: close"), "{case}: {received}");
    assert_not_run(arrivals, &case);
}

/// Guards against keeping a connection open after a readiness check whose body is still unread (review case 3).
#[test]
fn body_of_a_readiness_check_is_not_read_as_further_requests() {
    let backend = backend();
    let proxy = Proxy::start(&[&backend]);
    let arrivals = serve(backend);
    let expecting = format!("{}\r\nExpect: 100-continue", head("GET", "/ready"));
    for head in [head("GET", "/ready"), head("POST", "/ready"), expecting] {
        for bytes in requests_with_hidden_one(&head) {
            assert_one_response(&proxy, &arrivals, &bytes, "200");
            // A request that follows the body is closed on unread: its client may send it again.
            let followed = [&bytes, head_and_end("GET", "/ready").as_bytes()].concat();
            assert_one_response(&proxy, &arrivals, &followed, "200");
        }
    }
    // A body that is read completely leaves the connection open.
    let mut client = proxy.connect();
    for _ in 0..2 {
        client
            .write_all(format!("{}\r\nContent-Length: 3\r\n\r\nabc", head("GET", "/ready")).as_bytes())
            .unwrap();
        let text = read_message(&mut client);
        assert!(text.starts_with("HTTP/1.1 200 ") && !text.contains("Connection: close"), "{text}");
    }
}

fn head_and_end(method: &str, path: &str) -> String {
    head(method, path) + "\r\n\r\n"
}

#[test]
fn body_of_a_rejected_request_is_not_read_as_further_requests() {
    let backend = backend();
    let proxy = Proxy::start(&[&backend]);
    let arrivals = serve(backend);
    let without_id: String = head("POST", "/write")
        .split_inclusive("\r\n")
        .filter(|line| !line.starts_with("Request-Id"))
        .collect();
    let cases = [
        (head("POST", "/unknown"), "404"),
        (head("GET", "/write"), "405"),
        (head("POST", "/read"), "405"),
        (head("HEAD", "/ready"), "405"),
        (without_id, "400"),
        (head("POST", "/write").replace("Timeout: 5", "Timeout: 0"), "400"),
    ];
    for (head, status) in cases {
        for bytes in requests_with_hidden_one(&head) {
            assert_one_response(&proxy, &arrivals, &bytes, status);
        }
    }
}

#[test]
fn body_of_a_refused_upload_is_not_read_as_further_requests() {
    let backend = backend();
    let proxy = Proxy::start_managed(&[&backend], "127.0.0.1:0", &[]);
    let arrivals = serve(backend);
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/h0").0, 200);
    for bytes in requests_with_hidden_one(&head("POST", "/write")) {
        assert_one_response(&proxy, &arrivals, &bytes, "503");
    }
}

/// A backend may respond before it has the whole body.
#[test]
fn body_of_an_upload_that_is_answered_early_is_not_read_as_further_requests() {
    let backend = backend();
    let proxy = Proxy::start(&[&backend]);
    let [bytes, _] = requests_with_hidden_one(&head("POST", "/write"));
    let mut client = proxy.connect();
    client.write_all(&bytes[..100 * 1024]).unwrap();
    let mut conn = accept(&backend);
    conn.read_exact(&mut [0; 1024]).unwrap();
    conn.write_all(response("200 OK", "", "fine").as_bytes()).unwrap();
    let received = exchange(client, &bytes[100 * 1024..]);
    assert!(received.ends_with("fine") && received.contains("Connection: close"), "{received}");
    assert_eq!(final_statuses(&received), ["200"], "{received}");
    // The connection to the backend isn't used again either.
    let mut rest = Vec::new();
    let _ = conn.read_to_end(&mut rest);
    let arrivals = serve(backend);
    assert!(proxy.fetch(&request("POST", "/write", "5")).ends_with("fine"));
    assert_not_run(&arrivals, "early response");
}

/// Guards against operators' requests that are hidden in the body of another one.
#[test]
fn body_of_an_admin_request_is_not_read_as_further_requests() {
    let backend = backend();
    let proxy = Proxy::start_managed(&[&backend], "127.0.0.1:0", &[]);
    let mut body = b"\r\n".repeat(BODY_BYTES / 2);
    body.extend_from_slice(b"PUT /backends/disable/h0 HTTP/1.1\r\nHost: m\r\n\r\n");
    for path in ["/ready", "/metrics", "/nowhere"] {
        let head = format!("GET {path} HTTP/1.1\r\nHost: m\r\n");
        let by_length = [format!("{head}Content-Length: {}\r\n\r\n", body.len()).as_bytes(), &body].concat();
        let chunked =
            [format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes(), &in_one_chunk(&body)].concat();
        for bytes in [by_length, chunked] {
            let received = exchange(TcpStream::connect(&proxy.management).unwrap(), &bytes);
            assert!(final_statuses(&received).len() <= 1, "{received}");
            assert_eq!(proxy.metric("svc.backends_excluded"), Some(0), "{path}");
        }
    }
}
