//! Each call with each of its errors, some of the time and all of the time for a second, under load, and five seconds
//! after it: everybody is answered meanwhile, and afterwards all is as it was before.
//!
//! `MATRIX=all` plays every error; otherwise the first of each call does.

mod helper;
#[path = "soak/mod.rs"]
mod soak;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use helper::shim::{Fault, Shim, SystemCall};
use helper::{backend, settings};
use soak::clients::Clients;
use soak::judge::{judge, processor_time, Outcome};
use soak::plan::{Played, Side, CALLS};
use soak::servers;

const AT_ONCE: usize = 6;
const CLIENTS: u32 = 4;
const BEFORE: Duration = Duration::from_millis(500);
const FAULT: Duration = Duration::from_millis(1_000);
const AFTER: Duration = Duration::from_millis(5_000);
/// From the fault's end on, before all is as it was.
const SETTLED: Duration = Duration::from_millis(100);
const TARGET_MS: u32 = 500;
const LONGEST: Duration = Duration::from_millis(1_000);
const KILL_AFTER: Duration = Duration::from_millis(700);
const CPU_MOST: f64 = 0.7;

type Case = (SystemCall, u32, Side, u32);

fn cases() -> Vec<Case> {
    let all = std::env::var("MATRIX").is_ok_and(|which| which == "all");
    let of_call = |(call, errors, sides): (SystemCall, &'static [u32], &'static [Side])| {
        let errors = if all { errors } else { &errors[..1] };
        let of_side = move |side: &Side| {
            let side = *side;
            errors.iter().flat_map(move |error| [1, 3].map(|every| (call, *error, side, every)))
        };
        sides.iter().flat_map(of_side).collect::<Vec<_>>()
    };
    CALLS.into_iter().flat_map(of_call).collect()
}

fn play((call, error, side, every): Case, seed: u64) {
    let case = format!("{call:?} error {error} at {side:?}, one in {every}");
    let listeners = [backend(), backend()];
    let backend_port = listeners[0].local_addr().unwrap().port();
    let (proxy, shim) = Shim::start(&listeners.each_ref(), &settings(TARGET_MS, ""));
    servers::agent(proxy.discovery.try_clone().unwrap());
    let arrivals = listeners.map(servers::backend).to_vec();
    let port = match side {
        Side::Clients => proxy.address.rsplit(':').next().unwrap().parse().unwrap(),
        Side::Backends => backend_port,
        Side::Any => 0,
    };
    let limit = proxy.metric("svc.clients.limit");
    let clients = Clients::start(&proxy.address, CLIENTS, seed);
    std::thread::sleep(BEFORE);
    let used = processor_time(&proxy);
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
    std::thread::sleep(FAULT);
    shim.clear(call);
    let to = Instant::now();
    let cpu = (processor_time(&proxy) - used) / from.elapsed().as_secs_f64();
    assert!(cpu < CPU_MOST, "{case}: {cpu:.2} of a processor during the fault");
    std::thread::sleep(AFTER);
    let calm = (to + SETTLED, Instant::now());
    assert_eq!(proxy.metric("svc.clients.limit"), limit, "{case}");
    assert_eq!(proxy.metric("svc.backends_excluded"), Some(0), "{case}");
    let term = Instant::now();
    proxy.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    clients.told.only_open.store(true, Ordering::SeqCst);
    let code = proxy.wait_for_exit_until(term + LONGEST + KILL_AFTER);
    let records = clients.finish();
    assert_eq!(code, Some(0), "{case}: it ends by itself before the kill");
    let faults = vec![Played { fault, side, from, to }];
    judge(&case, &Outcome { records, arrivals, faults, calm, term });
}

#[test]
fn each_call_may_fail_and_leaves_nothing_behind() {
    let cases = cases();
    let failed = std::sync::Mutex::new(Vec::new());
    let numbered: Vec<_> = cases.iter().zip(1_000..).collect();
    for some in numbered.chunks(AT_ONCE) {
        std::thread::scope(|scope| {
            for (case, seed) in some {
                let failed = &failed;
                scope.spawn(move || {
                    if std::panic::catch_unwind(|| play(**case, *seed)).is_err() {
                        failed.lock().unwrap().push(**case);
                    }
                });
            }
        });
    }
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{} of {} cases: {failed:?}", failed.len(), cases.len());
}
