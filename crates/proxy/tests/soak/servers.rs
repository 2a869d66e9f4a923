//! Backends that answer after a while, and an agent that has nothing new to tell.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use crate::helper::{response, Arrivals};

const LONGEST_WAIT: Duration = Duration::from_secs(20);

/// Reads up to the end of a head that no body follows; `None` if the connection ends before.
fn head(conn: &mut TcpStream) -> Option<String> {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        match conn.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
    String::from_utf8(text).ok()
}

fn serve_by(listener: TcpListener, reply: impl Fn(&str) -> String + Clone + Send + 'static) {
    std::thread::spawn(move || {
        while let Ok((mut conn, _)) = listener.accept() {
            let reply = reply.clone();
            std::thread::spawn(move || {
                let _ = conn.set_read_timeout(Some(LONGEST_WAIT));
                let _ = conn.set_nodelay(true);
                while let Some(text) = head(&mut conn) {
                    if conn.write_all(reply(&text).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Answers with the request's id after some milliseconds, which depend on it.
pub fn backend(listener: TcpListener) -> Arrivals {
    let arrivals = Arrivals::default();
    let all = arrivals.clone();
    serve_by(listener, move |text| {
        all.record(text);
        let id = crate::helper::request_id(text);
        let sum: u64 = id.bytes().map(u64::from).sum();
        std::thread::sleep(Duration::from_millis(sum * 7 % 25));
        response("200 OK", "", id)
    });
    arrivals
}

/// Answers each call after a while with nothing new.
pub fn agent(listener: TcpListener) {
    serve_by(listener, |_| {
        std::thread::sleep(Duration::from_millis(300));
        response("200 OK", "", r#"{"seq":4,"whole":false,"hosts":[]}"#)
    });
}
