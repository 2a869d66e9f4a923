//! Asks proxies at their operators' addresses whom they see, and records it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::clock::{At, Micros};
use crate::record::{RecordKind, Recorder};

const PATIENCE: Duration = Duration::from_millis(100); // one that is stopped answers nothing

/// A thread that asks some proxies in turn, until this is dropped.
pub struct FleetPoller {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FleetPoller {
    pub fn new(proxies: Vec<(String, SocketAddr)>, every: Micros, recorder: &Recorder) -> FleetPoller {
        let (stop, recorder) = (Arc::new(AtomicBool::new(false)), recorder.clone());
        let told = stop.clone();
        let thread = std::thread::spawn(move || {
            while !told.load(Ordering::Relaxed) {
                let began = Instant::now();
                for (proxy, address) in &proxies {
                    let asked = At::now();
                    for what in view(proxy, *address, asked).into_iter().flatten() {
                        recorder.write(At::now(), what);
                    }
                }
                while began.elapsed() < every.duration() && !told.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        });
        FleetPoller { stop, thread: Some(thread) }
    }
}

impl Drop for FleetPoller {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn view(proxy: &str, address: SocketAddr, asked: At) -> Option<Vec<RecordKind>> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: lab\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let json: Value = serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()?;
    let named = |wanted: &[&str]| {
        let members = json["members"].as_array().into_iter().flatten();
        let found =
            members.filter(|member| member["state"].as_str().is_some_and(|state| wanted.contains(&state)));
        found.filter_map(|member| Some(member["name"].as_str()?.to_string())).collect()
    };
    let (there, dead) = (named(&["alive", "suspect"]), named(&["dead"]));
    let took = At::now().since(asked).0;
    let duties = json["duties"].as_array().into_iter().flatten();
    let held = duties.filter(|duty| duty["held_here"] == true).filter_map(|duty| {
        let (duty, term) = (duty["name"].as_str()?.to_string(), duty["term"].as_u64()?);
        Some(RecordKind::DutyHeld { proxy: proxy.to_string(), duty, term, took })
    });
    let view = RecordKind::MembershipView {
        proxy: proxy.to_string(),
        there,
        dead,
        counted: json["counted"].as_u64()?,
    };
    Some(std::iter::once(view).chain(held).collect())
}
