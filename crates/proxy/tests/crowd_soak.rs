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

use helper::crowd::texts::{
    half_a_body_of_short_chunks, half_of_60_kb, half_of_90_kb, head_of_short_fields, nothing,
    request_of_an_answer_of_1_mb, upload_of_2_mb,
};
use helper::crowd::{
    peak_memory_kb, small_config, start_with_config, Behaviour, Crowd, FULL_SPEED, MEMORY_MB,
};
use helper::{backend, handover_folder_and_address, settings, Proxy};
use oorandom::Rand32;
use soak::checks::{check_run, RunRecord};
use soak::clients::Clients;
use soak::runner::{run_seeds, selected_seeds};
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

/// What the clients of a crowd do: one to three kinds of behaviour.
fn draw_crowd(rng: &mut Rand32, size: usize) -> Vec<Behaviour> {
    let mut draw = || match rng.rand_range(0..7) {
        0 => Behaviour::writing(nothing, FULL_SPEED),
        1 => Behaviour::writing(half_a_body_of_short_chunks, FULL_SPEED),
        2 => Behaviour::writing(half_of_60_kb, 64 * 1024),
        3 => Behaviour::writing(half_of_90_kb, FULL_SPEED),
        4 => Behaviour::writing(upload_of_2_mb, 64 * 1024),
        5 => Behaviour::writing(head_of_short_fields, FULL_SPEED),
        _ => Behaviour::reading(request_of_an_answer_of_1_mb, 8 * 1024),
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

#[test]
fn requests_are_lost_or_limits_passed_beside_a_crowd() {
    run_seeds(&selected_seeds("CROWD_SOAK_SEEDS", SEEDS), PARALLEL_RUNS, run_seed);
}
