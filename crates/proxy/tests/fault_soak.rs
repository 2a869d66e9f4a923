//! Soak test with system calls that fail at random, drawn from a seed. Clients send requests in a loop: while
//! faults are injected, in a phase without faults after that, and after SIGTERM, on open connections until
//! the process ends.
//!
//! Checked for each request (see `soak::checks`):
//! - It gets a complete response, of any status, by its timeout plus a margin. Exceptions: its client closed
//!   the connection; a fault may have ended the connection; a fault blocked all accepts, reads or writes for
//!   clients until then; or it was sent late in the shutdown, crossed the close of its connection and reached
//!   no backend. A response that is complete by its length but has wrong content is always a failure.
//! - An at-most-once request reaches backends at most once in all. Safe requests may be retried.
//! - No attempt starts later than a short time after its client has closed the connection, and none gets
//!   noticeably more time than its request has left.
//!
//! Checked for the process:
//! - Of the requests that start and end in the phase without faults, after a short recovery, at least 90% get
//!   status 200; requests whose client closed the connection are not counted.
//! - After that phase the limit of client connections is what it was before the faults, and the processor time
//!   used so far is within a bound.
//! - After SIGTERM the process ends with exit code 0 before the time at which SIGKILL may come.
//!
//! `SOAK_SEEDS=FROM..TO` selects seeds other than those of CI.

mod helper;
#[path = "soak/mod.rs"]
mod soak;

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use helper::shim::Shim;
use helper::{backend, settings, Proxy};
use oorandom::Rand32;
use soak::checks::{check_run, cpu_time_s, RunRecord};
use soak::clients::Clients;
use soak::faults::{self, InjectedFault};
use soak::runner::{run_seeds, selected_seeds};
use soak::stub_servers;

const SEEDS: std::ops::Range<u64> = 1..31;
const PARALLEL_RUNS: usize = 5;
const CLIENTS: u32 = 8;
const BACKENDS: usize = 3;
const FAULT_PHASE: Duration = Duration::from_millis(3_000);
const FAULT_FREE_PHASE: Duration = Duration::from_millis(1_200);
/// Time after the last fault in which the proxy may still recover.
const RECOVERY: Duration = Duration::from_millis(400);
/// Latency target of the classes; their deadline is twice this.
const TARGET_MS: u32 = 500;
/// The classes' deadline.
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);
/// SIGKILL may come this long after SIGTERM plus the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Time after SIGTERM in which clients still make new connections.
const NEW_CONNECTIONS_PHASE: Duration = Duration::from_millis(400);
const MAX_CPU_RATIO: f64 = 0.7;

fn run_seed(seed: u64) {
    let mut rng = Rand32::new(seed);
    let listeners: Vec<_> = (0..BACKENDS).map(|_| backend()).collect();
    let ports: Vec<u16> = listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect();
    let (proxy, shim) = Shim::start(&listeners.iter().collect::<Vec<_>>(), &settings(TARGET_MS, ""));
    stub_servers::agent(proxy.discovery.try_clone().unwrap());
    let arrivals: Vec<_> = listeners.into_iter().map(stub_servers::backend).collect();
    let port = proxy.address.rsplit(':').next().unwrap().parse().unwrap();
    let limit = proxy.metric("svc.clients.limit");
    // In every fourth run, many connections that never send anything.
    let idle_count = if seed.is_multiple_of(4) { 300 } else { 0 };
    let idle_connections: Vec<_> =
        (0..idle_count).map(|_| TcpStream::connect(&proxy.address).unwrap()).collect();
    let clients = Clients::start(&proxy.address, CLIENTS, seed);
    let (start, cpu_before) = (Instant::now(), cpu_time_s(&proxy));
    let mut injected = Vec::new();
    while start.elapsed() < FAULT_PHASE {
        if rng.rand_range(0..3) == 0 {
            proxy.signal(["-HUP", "-USR1"][rng.rand_range(0..2) as usize]);
        }
        if rng.rand_range(0..4) == 0 {
            shim.step_wall_clock([0, 3_600_000, -3_600_000, 4_000, -4_000][rng.rand_range(0..5) as usize]);
        }
        injected.push(faults::inject_random(&shim, &mut rng, port, &ports));
        std::thread::sleep(Duration::from_millis(rng.rand_range(0..150).into()));
    }
    let fault_free_from = Instant::now();
    std::thread::sleep(FAULT_FREE_PHASE);
    let fault_free = (fault_free_from + RECOVERY, Instant::now());
    let cpu = (cpu_time_s(&proxy) - cpu_before) / start.elapsed().as_secs_f64();
    assert!(cpu < MAX_CPU_RATIO, "seed {seed}: {cpu:.2} of a processor, {injected:?}");
    assert_eq!(proxy.metric("svc.clients.limit"), limit, "seed {seed}: {injected:?}");
    let sigterm_at = Instant::now();
    shut_down(&proxy, &shim, &clients, &mut rng, (port, &ports), &mut injected, sigterm_at);
    let code = proxy.wait_for_exit_until(sigterm_at + LONGEST_DEADLINE + KILL_AFTER);
    let records = clients.finish();
    assert_eq!(code, Some(0), "seed {seed}: the proxy exits before SIGKILL, {injected:?}");
    drop(idle_connections);
    check_run(
        &format!("seed {seed}"),
        &RunRecord { start, records, arrivals, faults: injected, fault_free, sigterms: vec![sigterm_at] },
    );
}

/// Sends SIGTERM, sometimes followed by more signals; in half of the runs faults continue meanwhile.
fn shut_down(
    proxy: &Proxy,
    shim: &Shim,
    clients: &Clients,
    rng: &mut Rand32,
    (port, ports): (u16, &[u16]),
    injected: &mut Vec<InjectedFault>,
    sigterm_at: Instant,
) {
    proxy.signal("-TERM");
    for signal in ["-HUP", "-TERM", "-USR1"] {
        if rng.rand_range(0..3) == 0 {
            proxy.signal(signal);
        }
    }
    let inject_faults = rng.rand_range(0..2) == 0;
    while sigterm_at.elapsed() < NEW_CONNECTIONS_PHASE {
        if inject_faults {
            injected.push(faults::inject_random(shim, rng, port, ports));
        } else {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    clients.control.no_new_connections.store(true, Ordering::SeqCst);
}

#[test]
fn no_request_is_lost_while_system_calls_fail() {
    run_seeds(&selected_seeds("SOAK_SEEDS", SEEDS), PARALLEL_RUNS, run_seed);
}
