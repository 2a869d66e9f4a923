//! Soak test with a discovery agent whose answers are old, late, cut, doubled or out of order, drawn from a seed,
//! while backends drain, go and return. In some runs all backends drain at once. Some runs have a crowd of idle
//! clients, a reload of the same or of another agent in each direction, or a handover to a new process.
//!
//! Checked, beside the checks for each request of `soak::checks`:
//! - No request reaches a backend later than the grace after the proxy was told that it drains or is gone.
//! - Once the agent answers without errors, every ready backend gets requests, unless backends also returned
//!   without a restart: an old drain may keep such a one out for longer.
//! - Each process ends with exit code 0 before the time at which SIGKILL may come.
//!
//! `DISCOVERY_SOAK_SEEDS=FROM..TO` selects seeds other than those of CI.

mod helper;
#[path = "soak/mod.rs"]
mod soak;

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use helper::{backend, settings, Proxy};
use oorandom::Rand32;
use soak::checks::{check_run, RunRecord};
use soak::clients::Clients;
use soak::discovery::{serve_lists, SharedWorld, World};
use soak::runner::{run_seeds, selected_seeds};
use soak::stub_servers;

const SEEDS: std::ops::Range<u64> = 1..25;
const PARALLEL_RUNS: usize = 4;
const CLIENTS: u32 = 8;
const BACKENDS: usize = 8;
/// Version of the list in the configuration.
const KNOWN_VERSION: u64 = 4;
/// Added to the versions of the second agent.
const SECOND_AGENT_OFFSET: u64 = 1_000;
const FAULT_PHASE: Duration = Duration::from_millis(8_000);
const FAULT_FREE_PHASE: Duration = Duration::from_millis(3_000);
/// Time after the last error in which the proxy may still learn of the present list.
const RECOVERY: Duration = Duration::from_millis(1_500);
/// `stopSendingWithinMs` and the protocol's 50 ms.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// How long all backends drain, in runs in which they do: longer than the grace.
const ALL_DRAINED_TIME: Duration = Duration::from_millis(1_200);
const TARGET_MS: u32 = 500;
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);
/// SIGKILL may come this long after SIGTERM plus the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Time after SIGTERM in which clients still make new connections.
const NEW_CONNECTIONS_PHASE: Duration = Duration::from_millis(400);

/// Ends a process by SIGTERM, sometimes followed by more signals.
fn end_process(proxy: Proxy, seed: u64, rng: &mut Rand32, sigterms: &mut Vec<Instant>) {
    let sigterm_at = Instant::now();
    proxy.signal("-TERM");
    for signal in ["-HUP", "-TERM", "-USR1"] {
        if rng.rand_range(0..3) == 0 {
            proxy.signal(signal);
        }
    }
    sigterms.push(sigterm_at);
    let code = proxy.wait_for_exit_until(sigterm_at + LONGEST_DEADLINE + KILL_AFTER);
    assert_eq!(code, Some(0), "seed {seed}: the process exits before SIGKILL");
}

fn run_seed(seed: u64) {
    let mut rng = Rand32::new(seed);
    let listeners: Vec<_> = (0..BACKENDS).map(|_| backend()).collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    let (folder, listen) = helper::handover_folder_and_address("discovery-soak");
    let environment = &[("TMPDIR", folder.to_str().unwrap())];
    let mode = if seed.is_multiple_of(5) { r#""discovery":"on_request""# } else { r#""discovery":"pushed""# };
    let settings = settings(TARGET_MS, "").replace(r#""discovery":"pushed""#, mode);
    let mut proxy =
        Proxy::start_managed_with(&listeners.iter().collect::<Vec<_>>(), &listen, &settings, environment);
    let world: SharedWorld = Arc::new(Mutex::new(World::new(addresses, KNOWN_VERSION, seed)));
    let (agent, second_agent) = (proxy.discovery.try_clone().unwrap(), backend());
    serve_lists(agent.try_clone().unwrap(), world.clone(), 0);
    serve_lists(second_agent.try_clone().unwrap(), world.clone(), SECOND_AGENT_OFFSET);
    let arrivals: Vec<_> = listeners.into_iter().map(stub_servers::backend).collect();
    let idle_count = if seed.is_multiple_of(4) { 300 } else { 0 };
    let idle_connections: Vec<_> =
        (0..idle_count).map(|_| TcpStream::connect(&proxy.address).unwrap()).collect();
    let clients = Clients::start(&proxy.address, CLIENTS, seed);
    let (start, mut sigterms) = (Instant::now(), Vec::new());
    let mut drain_all_at =
        (seed % 4 == 2).then(|| Duration::from_millis(rng.rand_range(1_000..6_000).into()));
    let handover_at = (seed % 3 == 1).then(|| Duration::from_millis(rng.rand_range(1_500..6_000).into()));
    let mut current_agent = agent.try_clone().unwrap();
    while start.elapsed() < FAULT_PHASE {
        std::thread::sleep(Duration::from_millis(rng.rand_range(50..350).into()));
        world.lock().unwrap().change();
        if drain_all_at.take_if(|at| start.elapsed() > *at).is_some() {
            world.lock().unwrap().drain_all(ALL_DRAINED_TIME);
            std::thread::sleep(ALL_DRAINED_TIME);
        }
        if seed % 2 == 1 && rng.rand_range(0..8) == 0 {
            let next = if rng.rand_range(0..2) == 0 { &agent } else { &second_agent };
            proxy.switch_agent(next);
            current_agent = next.try_clone().unwrap();
        }
        if handover_at.is_some_and(|at| start.elapsed() > at && sigterms.is_empty()) {
            let successor = proxy.start_successor(&current_agent, environment);
            end_process(std::mem::replace(&mut proxy, successor), seed, &mut rng, &mut sigterms);
        }
    }
    world.lock().unwrap().recover();
    world.lock().unwrap().faulty = false;
    let fault_free_from = Instant::now() + RECOVERY;
    std::thread::sleep(FAULT_FREE_PHASE);
    let fault_free = (fault_free_from, Instant::now());
    let stop_connecting = clients.control.clone();
    let timer = std::thread::spawn(move || {
        std::thread::sleep(NEW_CONNECTIONS_PHASE);
        stop_connecting.no_new_connections.store(true, Ordering::SeqCst);
    });
    end_process(proxy, seed, &mut rng, &mut sigterms);
    timer.join().unwrap();
    let records = clients.finish();
    drop(idle_connections);
    let case =
        format!("seed {seed}, SIGTERM at {:?}", sigterms.iter().map(|at| *at - start).collect::<Vec<_>>());
    check_backends(&case, &world.lock().unwrap(), &arrivals, fault_free, start);
    check_run(&case, &RunRecord { start, records, arrivals, faults: Vec::new(), fault_free, sigterms });
}

/// Checks which backends got requests.
fn check_backends(
    case: &str,
    world: &World,
    arrivals: &[helper::Arrivals],
    fault_free: (Instant, Instant),
    start: Instant,
) {
    let history = || {
        let told = world.told.iter().map(|(at, version)| format!("{:?} told of {version}", *at - start));
        let answers = world.log.iter().map(|(at, text)| format!("{:?} {text}", *at - start));
        told.chain(answers).collect::<Vec<_>>().join("\n")
    };
    for (number, arrivals) in arrivals.iter().enumerate() {
        let times: Vec<_> = arrivals.all().iter().map(|arrival| arrival.at).collect();
        let late = world.late_requests(number, &times, DRAIN_GRACE);
        assert!(
            late.is_empty(),
            "{case}: {} late requests, {:?}, start {start:?}\n{}",
            late.len(),
            late[0],
            history()
        );
        let is_ready = world.current().get(&number).is_some_and(|(health, _)| *health == "Ready");
        let is_used = times.iter().any(|at| (fault_free.0..fault_free.1).contains(at));
        assert!(
            is_used || !is_ready || !world.restarts_only(),
            "{case}: h{number} is ready and gets no requests\n{}",
            history()
        );
    }
}

#[test]
fn no_request_goes_to_a_withdrawn_backend_while_discovery_answers_with_errors() {
    run_seeds(&selected_seeds("DISCOVERY_SOAK_SEEDS", SEEDS), PARALLEL_RUNS, run_seed);
}
