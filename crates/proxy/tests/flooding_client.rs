//! One client that sends as fast as it can on one connection, beside usual clients: they get their answers in time,
//! and the process's memory stays under its limit.

mod helper;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use helper::crowd::{
    observe, one_at_a_time, partial_upload, sound_backend, start_small_proxy_with, DESCRIPTORS,
};
use helper::{backend, settings};

const FLOOD_TIME: Duration = Duration::from_millis(3_000);

/// A number that no other request has.
fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn get(path: &str, lines: &str) -> Vec<u8> {
    let number = next_number();
    format!(
        "GET {path} HTTP/1.1\r\nHost: a\r\nRequest-Id: f{number:x}\r\nRequest-Timeout: 0.5\r\n{lines}\r\n"
    )
    .into_bytes()
}

fn sound() -> Vec<u8> {
    get("/read", "")
}

fn at_most_once() -> Vec<u8> {
    String::from_utf8(get("/write", "Content-Length: 2\r\n"))
        .unwrap()
        .replace("GET", "POST")
        .into_bytes()
        .into_iter()
        .chain(*b"ok")
        .collect()
}

fn unsound() -> Vec<u8> {
    b"NONSENSE / HTTP/9.9\r\n\r\n".to_vec()
}

fn readiness() -> Vec<u8> {
    b"GET /ready HTTP/1.1\r\n\r\n".to_vec()
}

fn blank_lines() -> Vec<u8> {
    b"\r\n\r\n".to_vec()
}

fn new_tenants() -> Vec<u8> {
    get("/read", &format!("Tenant: t{}\r\n", next_number()))
}

fn new_classes() -> Vec<u8> {
    get(&format!("/class{}", next_number()), "")
}

fn new_keys() -> Vec<u8> {
    let number = next_number();
    get("/read", &format!("Request-Key: k{number}\r\nRequest-Info: key=i{number}\r\n"))
}

fn large_upload() -> Vec<u8> {
    partial_upload(30_000_000, 30_000_000)
}

fn large_answer() -> Vec<u8> {
    get("/read?size=30000000", "")
}

/// Sends texts until it is told to stop, on a new connection whenever the proxy ends the one it has.
fn flood(address: String, text: fn() -> Vec<u8>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(&address) else { continue };
        let _ = stream.set_nonblocking(true);
        let (mut pending, mut written, mut buffer) = (Vec::new(), 0, vec![0; 256 * 1024]);
        while !stop.load(Ordering::SeqCst) {
            if written == pending.len() {
                let first = text();
                let count = (16 * 1024 / first.len()).max(1);
                pending = first;
                (1..count).for_each(|_| pending.extend(text()));
                written = 0;
            }
            let would_block = |kind| kind == ErrorKind::WouldBlock;
            let sent = match stream.write(&pending[written..]) {
                Ok(length) => length,
                Err(e) if would_block(e.kind()) => 0,
                Err(_) => break,
            };
            written += sent;
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) => {}
                Err(e) if would_block(e.kind()) && sent == 0 => thread::sleep(Duration::from_micros(200)),
                Err(e) if would_block(e.kind()) => {}
                Err(_) => break,
            }
        }
    }
}

fn check_flood(case: &str, text: fn() -> Vec<u8>) {
    let _turn = one_at_a_time();
    let tenants = r#""tenants":[{"name":"loud","allowancePerS":1000}],"zones""#;
    let settings = settings(1_500, "").replace(r#""zones""#, tenants);
    let listeners: Vec<_> = (0..4).map(|_| backend()).collect();
    let backends: Vec<_> = listeners.iter().collect();
    let proxy = start_small_proxy_with(&backends, DESCRIPTORS, &settings);
    listeners.into_iter().for_each(sound_backend);
    let stop = Arc::new(AtomicBool::new(false));
    let flooding = {
        let (address, stop) = (proxy.address.clone(), stop.clone());
        thread::spawn(move || flood(address, text, stop))
    };
    let observation = observe(&proxy, FLOOD_TIME);
    stop.store(true, Ordering::SeqCst);
    flooding.join().unwrap();
    observation.check(case, DESCRIPTORS);
}

#[test]
fn sound_requests_at_full_speed_delay_other_clients() {
    check_flood("sound", sound);
    check_flood("at most once", at_most_once);
}

#[test]
fn unsound_requests_at_full_speed_delay_other_clients() {
    check_flood("unsound", unsound);
    check_flood("blank lines", blank_lines);
    check_flood("readiness", readiness);
}

#[test]
fn ever_new_names_delay_other_clients_or_fill_the_memory() {
    check_flood("tenants", new_tenants);
    check_flood("classes", new_classes);
    check_flood("keys", new_keys);
}

#[test]
fn long_bodies_at_full_speed_delay_other_clients() {
    check_flood("upload", large_upload);
    check_flood("answer", large_answer);
}
