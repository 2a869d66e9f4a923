//! Polls the proxies' management addresses for their view of the fleet and records it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::clock::{Micros, Timestamp};
use crate::record::{RecordKind, Recorder};

const VIEW_TIMEOUT: Duration = Duration::from_millis(100); // a paused proxy does not respond

/// A thread that polls some proxies in turn; dropping this value ends it.
pub struct FleetPoller {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FleetPoller {
    pub fn new(proxies: Vec<(String, SocketAddr)>, interval: Micros, recorder: &Recorder) -> FleetPoller {
        let (stop, recorder) = (Arc::new(AtomicBool::new(false)), recorder.clone());
        let stop_requested = stop.clone();
        let thread = std::thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                let round_start = Instant::now();
                for (proxy, address) in &proxies {
                    let requested_at = Timestamp::now();
                    for what in fetch_view(proxy, *address, requested_at).into_iter().flatten() {
                        recorder.write(Timestamp::now(), what);
                    }
                }
                while round_start.elapsed() < interval.duration() && !stop_requested.load(Ordering::Relaxed) {
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

fn fetch_view(proxy: &str, address: SocketAddr, requested_at: Timestamp) -> Option<Vec<RecordKind>> {
    let mut stream = TcpStream::connect_timeout(&address, VIEW_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(VIEW_TIMEOUT)).ok()?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: lab\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let json: Value = serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()?;
    let names_in_state = |states: &[&str]| {
        let members = json["members"].as_array().into_iter().flatten();
        let found =
            members.filter(|member| member["state"].as_str().is_some_and(|state| states.contains(&state)));
        found.filter_map(|member| Some(member["name"].as_str()?.to_string())).collect()
    };
    let (present, dead) = (names_in_state(&["alive", "suspect"]), names_in_state(&["dead"]));
    let took = Timestamp::now().since(requested_at).0;
    let duties = json["duties"].as_array().into_iter().flatten();
    let held = duties.filter(|duty| duty["held_here"] == true).filter_map(|duty| {
        let (duty, term) = (duty["name"].as_str()?.to_string(), duty["term"].as_u64()?);
        Some(RecordKind::DutyHeld { proxy: proxy.to_string(), duty, term, took })
    });
    let view = RecordKind::MembershipView {
        proxy: proxy.to_string(),
        present,
        dead,
        member_count: json["counted"].as_u64()?,
    };
    Some(std::iter::once(view).chain(held).collect())
}
