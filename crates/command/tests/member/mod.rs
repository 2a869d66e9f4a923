//! Processes of the program as members of one fleet, each ended with its test.

#![allow(dead_code)] // each test uses its part

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;

pub const SPARLUG: &str = env!("CARGO_BIN_EXE_sparlug");
pub const COMES: Duration = Duration::from_secs(60); // what must come has come by then

/// A proxy in a fleet; it ends with this, also when a test fails.
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

/// An address of this test's own part of loopback, which nobody else listens on.
pub fn address(n: usize, port: u16) -> String {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    thread_local!(static OWN: u32 = FLEETS.fetch_add(1, Ordering::Relaxed));
    let (own, pid) = (OWN.with(|own| *own), std::process::id());
    format!("127.{}.{}.{}:{port}", 10 + pid / 250 % 40, pid % 250, own as usize * 20 + n + 1)
}

pub fn fleet(n: usize) -> String {
    address(n, 7100)
}

pub fn text(name: &str, n: usize, fleet_name: &str, seeds: &[usize], more: &str) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| fleet(*seed)).collect();
    format!(
        "name = {name:?}\n[[listener]]\naddress = \"{}\"\n[management]\naddress = \"{}\"\n\
         [[discovery.backend]]\nname = \"s\"\naddress = \"127.0.0.1:9\"\n\
         [fleet]\nname = {fleet_name:?}\naddress = \"{}\"\nseeds = {seeds:?}\n{more}\n\
         [tariff.read]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"reissuable\"\n",
        address(n, 7300),
        address(n, 7200),
        fleet(n)
    )
}

pub fn start(n: usize, text: &str) -> Member {
    let own = address(n, 0).replace([':', '.'], "-");
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let config = std::env::temp_dir().join(format!("sparlug-member{own}-{count}.toml"));
    std::fs::write(&config, text).unwrap();
    let child = Command::new(SPARLUG)
        .args(["lab", "hold", "--", SPARLUG, "--log", "info", "serve", "--config"])
        .arg(&config)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Member { child, config, listen: address(n, 7300), management: address(n, 7200) }
}

pub fn members(count: usize) -> Vec<Member> {
    (0..count).map(|n| start(n, &text(&format!("p-{n}"), n, "blue", &[0, 1], ""))).collect()
}

pub fn call(address: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split_once("\r\n\r\n").map(|(_, body)| body.to_string())
}

pub fn view(member: &Member) -> Option<Value> {
    serde_json::from_str(&call(&member.management, "/fleet")?).ok()
}

/// Names that a member holds to be in one of these states.
pub fn named(member: &Member, states: &[&str]) -> Vec<String> {
    let Some(view) = view(member) else { return Vec::new() };
    let all = view["members"].as_array().cloned().unwrap_or_default();
    let fit = all.iter().filter(|one| states.contains(&one["state"].as_str().unwrap_or("")));
    fit.map(|one| one["name"].as_str().unwrap_or("").to_string()).collect()
}

pub const THERE: [&str; 2] = ["alive", "suspect"];

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < COMES, "never came: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn all_see(members: &[&Member], wanted: &[&str]) -> bool {
    members.iter().all(|member| named(member, &THERE) == wanted)
}

pub fn signal(member: &Member, signal: &str) {
    let done = Command::new("kill").args([signal, &member.child.id().to_string()]).status().unwrap();
    assert!(done.success());
}
