//! Fault matrix: under load, every kind of call fails with each of its errors for one second, either always
//! or one call in three. Each request is checked as in the soak test (see `fault_soak.rs`). Soon after the
//! fault the proxy serves at least 90% of the requests for five seconds, and then has the same limit of
//! client connections as before and excludes no backend. The processor time during the fault is bounded.
//!
//! `MATRIX=all` runs every error; otherwise only the first error of each call runs.

mod helper;
#[path = "soak/mod.rs"]
mod soak;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use helper::shim::{Fault, Shim, SystemCall};
use helper::{backend, settings};
use soak::checks::{check_run, cpu_time_s, RunRecord};
use soak::clients::Clients;
use soak::faults::{InjectedFault, Side, CALLS};
use soak::stub_servers;

const PARALLEL_RUNS: usize = 6;
const CLIENTS: u32 = 4;
const WARM_UP: Duration = Duration::from_millis(500);
const FAULT_PHASE: Duration = Duration::from_millis(1_000);
const FAULT_FREE_PHASE: Duration = Duration::from_millis(5_000);
/// Time after the fault in which the proxy may still recover.
const RECOVERY: Duration = Duration::from_millis(100);
/// Latency target of the classes; their deadline is twice this.
const TARGET_MS: u32 = 500;
/// The classes' deadline.
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);
/// SIGKILL may come this long after SIGTERM plus the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
const MAX_CPU_RATIO: f64 = 0.7;

/// Call, error, side, and n where every n-th call fails.
type Case = (SystemCall, u32, Side, u32);

fn cases() -> Vec<Case> {
    let all_errors = std::env::var("MATRIX").is_ok_and(|value| value == "all");
    let cases_of_call = |(call, errors, sides): (SystemCall, &'static [u32], &'static [Side])| {
        let errors = if all_errors { errors } else { &errors[..1] };
        let cases_of_side = move |side: &Side| {
            let side = *side;
            errors.iter().flat_map(move |error| [1, 3].map(|every| (call, *error, side, every)))
        };
        sides.iter().flat_map(cases_of_side).collect::<Vec<_>>()
    };
    CALLS.into_iter().flat_map(cases_of_call).collect()
}

fn run_case((call, error, side, every): Case, seed: u64) {
    let case = format!("{call:?} error {error} at {side:?}, one in {every}");
    let listeners = [backend(), backend()];
    let backend_port = listeners[0].local_addr().unwrap().port();
    let (proxy, shim) = Shim::start(&listeners.each_ref(), &settings(TARGET_MS, ""));
    stub_servers::agent(proxy.discovery.try_clone().unwrap());
    let arrivals = listeners.map(stub_servers::backend).to_vec();
    let port = match side {
        Side::Clients => proxy.address.rsplit(':').next().unwrap().parse().unwrap(),
        Side::Backends => backend_port,
        Side::Any => 0,
    };
    let limit = proxy.metric("svc.clients.limit");
    let clients = Clients::start(&proxy.address, CLIENTS, seed);
    std::thread::sleep(WARM_UP);
    let cpu_before = cpu_time_s(&proxy);
    let fault = if error == 0 {
        Fault::short_transfer(call, 5, u32::MAX)
    } else {
        Fault::with_error(call, error, u32::MAX)
    };
    let fault = fault.on_port(port).one_in(every);
    let from = Instant::now();
    shim.inject(fault);
    if matches!(
        call,
        SystemCall::FileOpen | SystemCall::FileRead | SystemCall::SignalWake | SystemCall::LogWrite
    ) {
        proxy.signal("-HUP");
    }
    std::thread::sleep(FAULT_PHASE);
    shim.clear(call);
    let to = Instant::now();
    let cpu = (cpu_time_s(&proxy) - cpu_before) / from.elapsed().as_secs_f64();
    assert!(cpu < MAX_CPU_RATIO, "{case}: {cpu:.2} of a processor during the fault");
    std::thread::sleep(FAULT_FREE_PHASE);
    let fault_free = (to + RECOVERY, Instant::now());
    assert_eq!(proxy.metric("svc.clients.limit"), limit, "{case}");
    assert_eq!(proxy.metric("svc.backends_excluded"), Some(0), "{case}");
    let sigterm_at = Instant::now();
    proxy.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    clients.control.no_new_connections.store(true, Ordering::SeqCst);
    let code = proxy.wait_for_exit_until(sigterm_at + LONGEST_DEADLINE + KILL_AFTER);
    let records = clients.finish();
    assert_eq!(code, Some(0), "{case}: the proxy exits before SIGKILL");
    let faults = vec![InjectedFault { fault, side, from, to }];
    check_run(
        &case,
        &RunRecord { start: from, records, arrivals, faults, fault_free, sigterms: vec![sigterm_at] },
    );
}

#[test]
fn failing_calls_leave_no_lasting_effect() {
    let cases = cases();
    let failed = std::sync::Mutex::new(Vec::new());
    let seeded_cases: Vec<_> = cases.iter().zip(1_000..).collect();
    for batch in seeded_cases.chunks(PARALLEL_RUNS) {
        std::thread::scope(|scope| {
            for (case, seed) in batch {
                let failed = &failed;
                scope.spawn(move || {
                    if std::panic::catch_unwind(|| run_case(**case, *seed)).is_err() {
                        failed.lock().unwrap().push(**case);
                    }
                });
            }
        });
    }
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{} of {} cases: {failed:?}", failed.len(), cases.len());
}
