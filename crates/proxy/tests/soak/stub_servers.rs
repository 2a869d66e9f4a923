//! Stub backends with a response delay, and a discovery agent that never has changes.

use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use crate::helper::crowd::{answer_size, read_body};
use crate::helper::{read_head, request_id, response, Arrivals};

const READ_TIMEOUT: Duration = Duration::from_secs(20);

fn serve_with(listener: TcpListener, respond: impl Fn(&str) -> String + Clone + Send + 'static) {
    std::thread::spawn(move || {
        while let Ok((mut conn, _)) = listener.accept() {
            let respond = respond.clone();
            std::thread::spawn(move || {
                let _ = conn.set_read_timeout(Some(READ_TIMEOUT));
                let _ = conn.set_nodelay(true);
                while let Some(text) = read_head(&mut conn) {
                    if conn.write_all(respond(&text).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Answers with the request's id, after up to 24 ms that depend on the id.
pub fn backend(listener: TcpListener) -> Arrivals {
    let arrivals = Arrivals::default();
    let received = arrivals.clone();
    serve_with(listener, move |text| {
        received.record(text);
        let id = request_id(text);
        let sum: u64 = id.bytes().map(u64::from).sum();
        std::thread::sleep(Duration::from_millis(sum * 7 % 25));
        response("200 OK", "", id)
    });
    arrivals
}

/// As `backend`, for requests with bodies, and with as many bytes as a query asks for (`size=`).
pub fn body_backend(listener: TcpListener) -> Arrivals {
    let arrivals = Arrivals::default();
    let received = arrivals.clone();
    std::thread::spawn(move || {
        for mut conn in listener.incoming().map_while(Result::ok) {
            let received = received.clone();
            std::thread::spawn(move || {
                let _ = conn.set_read_timeout(Some(READ_TIMEOUT));
                let _ = conn.set_nodelay(true);
                while let Some(head) = read_head(&mut conn) {
                    if !matches!(read_body(&mut conn, &head, usize::MAX), Ok(true)) {
                        return;
                    }
                    received.record(&head);
                    let id = request_id(&head).to_string();
                    let sum: u64 = id.bytes().map(u64::from).sum();
                    std::thread::sleep(Duration::from_millis(sum * 7 % 25));
                    let body = if head.contains("size=") { "y".repeat(answer_size(&head)) } else { id };
                    if conn.write_all(response("200 OK", "", &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    arrivals
}

/// Answers each list request after 300 ms with an empty change.
pub fn agent(listener: TcpListener) {
    serve_with(listener, |_| {
        std::thread::sleep(Duration::from_millis(300));
        response("200 OK", "", r#"{"seq":4,"whole":false,"hosts":[]}"#)
    });
}
