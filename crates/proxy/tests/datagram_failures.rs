//! Transient failures of the datagrams between proxies: the members of a fleet find each other again
//! afterwards.

mod helper;

use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::Proxy;

const MAX_WAIT: Duration = Duration::from_secs(20);

fn start_member(number: usize) -> (Proxy, Shim) {
    // Addresses differ between test processes, which run at the same time.
    let pid = std::process::id();
    let address = |n: usize| format!("127.{}.{}.{}:7100", 60 + pid / 250 % 40, pid % 250, n + 1);
    let text = format!(
        "name = \"m-{number}\"\n[[listener]]\naddress = \"127.0.0.1:0\"\n\
         [management]\naddress = \"127.0.0.1:0\"\n\
         [[discovery.backend]]\nname = \"s\"\naddress = \"127.0.0.1:9\"\n\
         [fleet]\nname = \"blue\"\naddress = \"{}\"\nseeds = [\"{}\"]\n\
         [tariff.read]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"reissuable\"\n",
        address(number),
        address(0)
    );
    Shim::start_native(&text)
}

/// Waits until every proxy counts `expected` members as alive.
fn wait_until_alive(proxies: &[&Proxy], expected: u64, what: &str) {
    let start = Instant::now();
    while proxies.iter().any(|proxy| proxy.metric("svc.fleet.alive") != Some(expected)) {
        assert!(start.elapsed() < MAX_WAIT, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against losing the edge-triggered readiness of a socket when a call on it fails.
#[test]
fn members_find_each_other_again_after_datagram_calls_failed() {
    let (first, shim) = start_member(0);
    let (second, _second_shim) = start_member(1);
    wait_until_alive(&[&first, &second], 2, "both members are alive");
    for call in [SystemCall::DatagramRead, SystemCall::DatagramWrite] {
        for error in [errno::EINTR, errno::ENOBUFS, errno::ENETUNREACH, errno::ECONNREFUSED] {
            let before = shim.hits(call);
            shim.inject(Fault::with_error(call, error, u32::MAX));
            std::thread::sleep(Duration::from_millis(1_000));
            // Members exchange datagrams about once a second.
            shim.wait_for_hits(call, before + 1);
            shim.clear(call);
        }
        wait_until_alive(&[&first, &second], 2, "both members are alive again");
        let received = first.metric("svc.fleet.heard").unwrap();
        let start = Instant::now();
        while first.metric("svc.fleet.heard").unwrap() <= received {
            assert!(start.elapsed() < Duration::from_secs(5), "no datagram received after {call:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
