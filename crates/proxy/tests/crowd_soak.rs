//! Soak test with crowds of clients that write slowly, stop half way, read slowly or say nothing, drawn from a seed,
//! beside clients that send requests in a loop. In half of the runs the process is killed first and started again at
//! its address, with the crowd there. After SIGTERM, which comes with other signals, the clients go on using open
//! connections until the process ends.
//!
//! Checked: what `soak::checks` checks of each request, the limits of memory and descriptors throughout, and the end
//! with status 0 before SIGKILL may come.
//!
//! `CROWD_SOAK_SEEDS=FROM..TO` selects seeds other than those of CI.

mod helper;
#[path = "soak/mod.rs"]
mod soak;

use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use helper::crowd::{
    partial_upload, peak_memory_kb, small_config, start_with_config, upload_head, Behaviour, Crowd,
    FULL_SPEED, MEMORY_MB,
};
use helper::{backend, handover_folder_and_address, request, settings, Proxy};
use oorandom::Rand32;
use soak::checks::{check_run, RunRecord};
use soak::clients::Clients;
use soak::stub_servers;

const SEEDS: std::ops::Range<u64> = 1..9;
const PARALLEL_RUNS: usize = 2;
const CLIENTS: u32 = 8;
const BACKENDS: usize = 3;
const TARGET_MS: u32 = 500;
/// The classes' deadline.
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);
const CROWD_PHASE: Duration = Duration::from_millis(4_000);
const CALM_PHASE: Duration = Duration::from_millis(1_500);
/// Time after the crowd has gone in which the proxy may still recover.
const RECOVERY: Duration = Duration::from_millis(500);
/// SIGKILL may come this long after SIGTERM plus the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
const NEW_CONNECTIONS_PHASE: Duration = Duration::from_millis(400);
const RESTART_PAUSE: Duration = Duration::from_millis(1_000);
const SAMPLE_PAUSE: Duration = Duration::from_millis(20);

fn nothing() -> Vec<u8> {
    Vec::new()
}

fn short_chunks() -> Vec<u8> {
    [upload_head("Transfer-Encoding: chunked").as_bytes(), &b"1\r\nx\r\n".repeat(12_000)].concat()
}

fn half_of_60_kb() -> Vec<u8> {
    partial_upload(60_000, 30_000)
}

fn half_of_90_kb() -> Vec<u8> {
    partial_upload(90_000, 45_000)
}

fn upload_of_2_mb() -> Vec<u8> {
    partial_upload(2_000_000, 2_000_000)
}

fn long_head() -> Vec<u8> {
    let head = request("GET", "/read", "0.530");
    [&head.as_bytes()[..head.len() - 2], &b"a:b\r\n".repeat(90), b"c:", &[b'd'; 14_000]].concat()
}

fn long_answer() -> Vec<u8> {
    request("GET", "/read?size=1000000", "2").into_bytes()
}

/// What the clients of a crowd do: one to three kinds of behaviour.
fn draw_crowd(rng: &mut Rand32, size: usize) -> Vec<Behaviour> {
    let mut draw = || match rng.rand_range(0..7) {
        0 => Behaviour::writing(nothing, FULL_SPEED),
        1 => Behaviour::writing(short_chunks, FULL_SPEED),
        2 => Behaviour::writing(half_of_60_kb, 64 * 1024),
        3 => Behaviour::writing(half_of_90_kb, FULL_SPEED),
        4 => Behaviour::writing(upload_of_2_mb, 64 * 1024),
        5 => Behaviour::writing(long_head, FULL_SPEED),
        _ => Behaviour::reading(long_answer, 8 * 1024),
    };
    let kinds = [draw(), draw(), draw()];
    kinds.iter().cycle().take(size).cloned().collect()
}

/// Samples the open descriptors of a process until it is told to stop.
fn watch_descriptors(pid: u32, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<usize> {
    let most = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        let folder = PathBuf::from(format!("/proc/{pid}/fd"));
        while !stop.load(Ordering::SeqCst) {
            let open = std::fs::read_dir(&folder).map_or(0, |entries| entries.count());
            most.fetch_max(open, Ordering::SeqCst);
            std::thread::sleep(SAMPLE_PAUSE);
        }
        most.load(Ordering::SeqCst)
    })
}

fn run_seed(seed: u64) {
    let mut rng = Rand32::new(seed);
    let listeners: Vec<TcpListener> = (0..BACKENDS).map(|_| backend()).collect();
    let descriptors = [256, 1_024][rng.rand_range(0..2) as usize];
    let (folder, listen) = handover_folder_and_address("crowd-soak");
    let addresses = format!(r#""listen":"{listen}","management":"127.0.0.1:0""#);
    let backends: Vec<_> = listeners.iter().collect();
    let (text, agent) = small_config(&backends, descriptors, &settings(TARGET_MS, ""), &addresses);
    stub_servers::agent(agent.try_clone().unwrap());
    let arrivals: Vec<_> = listeners.into_iter().map(stub_servers::body_backend).collect();
    let mut proxy = start_with_config(&text, &agent, descriptors, &folder);
    let size = descriptors * rng.rand_range(50..140) as usize / 100;
    let crowd = Crowd::start(&proxy.address, draw_crowd(&mut rng, size));
    if rng.rand_range(0..2) == 0 {
        std::thread::sleep(RESTART_PAUSE);
        proxy.signal("-KILL");
        std::thread::sleep(RESTART_PAUSE);
        drop(proxy);
        proxy = start_with_config(&text, &agent, descriptors, &folder);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let watch = watch_descriptors(proxy.pid(), stop.clone());
    let clients = Clients::start(&proxy.address, CLIENTS, seed);
    let start = Instant::now();
    while start.elapsed() < CROWD_PHASE {
        if rng.rand_range(0..8) == 0 {
            proxy.signal(["-HUP", "-USR1"][rng.rand_range(0..2) as usize]);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    // In every third run the crowd stays until the end, and no share has to be served beside it.
    let stays = seed.is_multiple_of(3);
    let mut crowd = Some(crowd);
    if !stays {
        crowd.take().into_iter().for_each(Crowd::stop);
    }
    let calm_from = Instant::now();
    std::thread::sleep(CALM_PHASE);
    let fault_free = if stays { (start, start) } else { (calm_from + RECOVERY, Instant::now()) };
    let memory = peak_memory_kb(proxy.pid());
    let sigterm_at = Instant::now();
    shut_down(&proxy, &clients, &mut rng);
    let code = proxy.wait_for_exit_until(sigterm_at + LONGEST_DEADLINE + KILL_AFTER);
    stop.store(true, Ordering::SeqCst);
    let most_descriptors = watch.join().unwrap();
    crowd.into_iter().for_each(Crowd::stop);
    let records = clients.finish();
    let count = records.len();
    println!("seed {seed}: {memory} kB, {most_descriptors} of {descriptors}, {count} requests");
    assert_eq!(code, Some(0), "seed {seed}: the proxy exits before SIGKILL");
    assert!(memory <= MEMORY_MB * 1024, "seed {seed}: {memory} kB of memory");
    assert!(most_descriptors < descriptors, "seed {seed}: {most_descriptors} of {descriptors} descriptors");
    let (faults, sigterms) = (Vec::new(), vec![sigterm_at]);
    check_run(&format!("seed {seed}"), &RunRecord { start, records, arrivals, faults, fault_free, sigterms });
}

/// Sends SIGTERM, sometimes followed by more signals. Clients make new connections for a while.
fn shut_down(proxy: &Proxy, clients: &Clients, rng: &mut Rand32) {
    proxy.signal("-TERM");
    for signal in ["-HUP", "-TERM", "-USR1"] {
        if rng.rand_range(0..3) == 0 {
            proxy.signal(signal);
        }
    }
    std::thread::sleep(NEW_CONNECTIONS_PHASE);
    clients.control.no_new_connections.store(true, Ordering::SeqCst);
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("CROWD_SOAK_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("CROWD_SOAK_SEEDS=FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn requests_are_lost_or_limits_passed_beside_a_crowd() {
    let seeds: Vec<u64> = seeds().collect();
    let failed = std::sync::Mutex::new(Vec::new());
    for batch in seeds.chunks(PARALLEL_RUNS) {
        std::thread::scope(|scope| {
            for seed in batch {
                let failed = &failed;
                scope.spawn(move || {
                    if std::panic::catch_unwind(|| run_seed(*seed)).is_err() {
                        failed.lock().unwrap().push(*seed);
                    }
                });
            }
        });
    }
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "seeds {failed:?} of {}", seeds.len());
}
