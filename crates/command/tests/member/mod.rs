//! Helpers that run `sparlug serve` processes as members of one fleet and stop them when their test ends.

#![allow(dead_code)] // each test file uses only some of the helpers

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;

pub const SPARLUG: &str = env!("CARGO_BIN_EXE_sparlug");
/// Limit for each expected event; a test that waits longer fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// A proxy process in a fleet; dropping this kills it, also when a test fails.
pub struct Member {
    pub child: Child,
    config: PathBuf,
    pub listen: String,
    pub management: String,
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// An address in a range of loopback that is derived from the process id and the test's thread, so that tests
/// in parallel don't share addresses.
pub fn address(index: usize, port: u16) -> String {
    static NEXT_THREAD_INDEX: AtomicU32 = AtomicU32::new(0);
    thread_local!(static THREAD_INDEX: u32 = NEXT_THREAD_INDEX.fetch_add(1, Ordering::Relaxed));
    let (thread_index, pid) = (THREAD_INDEX.with(|index| *index), std::process::id());
    format!("127.{}.{}.{}:{port}", 10 + pid / 250 % 40, pid % 250, thread_index as usize * 20 + index + 1)
}

/// Address on which a member exchanges fleet messages.
pub fn fleet_address(index: usize) -> String {
    address(index, 7100)
}

/// Configuration of a member.
pub fn config_text(name: &str, index: usize, fleet_name: &str, seeds: &[usize], extra_lines: &str) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| fleet_address(*seed)).collect();
    format!(
        "name = {name:?}\n[[listener]]\naddress = \"{}\"\n[management]\naddress = \"{}\"\n\
         [[discovery.backend]]\nname = \"s\"\naddress = \"127.0.0.1:9\"\n\
         [fleet]\nname = {fleet_name:?}\naddress = \"{}\"\nseeds = {seeds:?}\n{extra_lines}\n\
         [tariff.read]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"reissuable\"\n",
        address(index, 7300),
        address(index, 7200),
        fleet_address(index)
    )
}

/// Starts a proxy with this configuration, killed by the kernel if the test process dies.
pub fn start_member(index: usize, text: &str) -> Member {
    let file_suffix = address(index, 0).replace([':', '.'], "-");
    static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
    let file_number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let config = std::env::temp_dir().join(format!("sparlug-member{file_suffix}-{file_number}.toml"));
    std::fs::write(&config, text).unwrap();
    let child = Command::new(SPARLUG)
        .args(["lab", "hold", "--", SPARLUG, "--log", "info", "serve", "--config"])
        .arg(&config)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Member { child, config, listen: address(index, 7300), management: address(index, 7200) }
}

/// Starts members `p-0`, `p-1`, ... of one fleet.
pub fn start_members(count: usize) -> Vec<Member> {
    (0..count)
        .map(|index| start_member(index, &config_text(&format!("p-{index}"), index, "blue", &[0, 1], "")))
        .collect()
}

/// Body of the response to a GET request, if there is one.
pub fn get_body(address: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    response.split_once("\r\n\r\n").map(|(_, body)| body.to_string())
}

/// A member's view of the fleet, as JSON.
pub fn fleet_view(member: &Member) -> Option<Value> {
    serde_json::from_str(&get_body(&member.management, "/fleet")?).ok()
}

/// Names of the members that `member` considers to be in one of these states.
pub fn members_in_state(member: &Member, states: &[&str]) -> Vec<String> {
    let Some(view) = fleet_view(member) else { return Vec::new() };
    let entries = view["members"].as_array().cloned().unwrap_or_default();
    let matching = entries.iter().filter(|entry| states.contains(&entry["state"].as_str().unwrap_or("")));
    matching.map(|entry| entry["name"].as_str().unwrap_or("").to_string()).collect()
}

/// States of a member that counts as present.
pub const PRESENT_STATES: [&str; 2] = ["alive", "suspect"];

/// Polls until the condition is met.
pub fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_met() {
        assert!(started_at.elapsed() < EVENT_TIMEOUT, "timed out waiting for: {condition}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Whether each of the members sees exactly the expected members present.
pub fn all_see_members(members: &[&Member], expected: &[&str]) -> bool {
    members.iter().all(|member| members_in_state(member, &PRESENT_STATES) == expected)
}

pub fn send_signal(member: &Member, signal: &str) {
    let status = Command::new("kill").args([signal, &member.child.id().to_string()]).status().unwrap();
    assert!(status.success());
}
