//! Datagrams between proxies fail for a moment: the members of a fleet still find each other.

mod helper;

use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::Proxy;

const COMES: Duration = Duration::from_secs(20);

fn member(number: usize) -> (Proxy, Shim) {
    let own = std::process::id();
    let address = |n: usize| format!("127.{}.{}.{}:7100", 60 + own / 250 % 40, own % 250, n + 1);
    let text = format!(
        "name = \"m-{number}\"\n[[listener]]\naddress = \"127.0.0.1:0\"\n[management]\naddress = \"127.0.0.1:0\"\n\
         [[discovery.backend]]\nname = \"s\"\naddress = \"127.0.0.1:9\"\n\
         [fleet]\nname = \"blue\"\naddress = \"{}\"\nseeds = [\"{}\"]\n\
         [tariff.read]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"reissuable\"\n",
        address(number),
        address(0)
    );
    Shim::start_native(&text)
}

fn until_alive(proxies: &[&Proxy], wanted: u64, what: &str) {
    let start = Instant::now();
    while proxies.iter().any(|proxy| proxy.metric("svc.fleet.alive") != Some(wanted)) {
        assert!(start.elapsed() < COMES, "never came: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a socket whose readiness is lost with a call that failed.
#[test]
fn members_find_each_other_again_after_datagrams_failed() {
    let (first, shim) = member(0);
    let (second, _other) = member(1);
    until_alive(&[&first, &second], 2, "both are there");
    for call in [SystemCall::DatagramRead, SystemCall::DatagramWrite] {
        for error in [errno::EINTR, errno::ENOBUFS, errno::ENETUNREACH, errno::ECONNREFUSED] {
            let before = shim.hits(call);
            shim.inject(Fault::with_error(call, error, u32::MAX));
            std::thread::sleep(Duration::from_millis(1_000));
            // Members talk about once a second.
            shim.wait_for_hits(call, before + 1);
            shim.clear(call);
        }
        until_alive(&[&first, &second], 2, "both are there again");
        let heard = first.metric("svc.fleet.heard").unwrap();
        let start = Instant::now();
        while first.metric("svc.fleet.heard").unwrap() <= heard {
            assert!(start.elapsed() < Duration::from_secs(5), "nothing is heard after {call:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
