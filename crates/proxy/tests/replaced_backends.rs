//! A new backend at the address of one that has gone: what was known of the old one does not hold for it.

mod helper;

use helper::lists::{Tier, Watch};
use helper::Proxy;

/// The entry of a backend with its own name at the address of another one.
fn entry_at(tier: &Tier, name: &str, number: usize, health: &str, start_ms: u64) -> String {
    let address = tier.addresses[number];
    format!(r#"{{"host":"{name}","dial":"{address}","site":"a","health":"{health}","born_ms":{start_ms}}}"#)
}

fn change(version: u64, entries: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":false,"hosts":[{}]}}"#, entries.join(","))
}

fn whole(version: u64, entries: &[String]) -> String {
    change(version, entries).replace(r#""whole":false"#, r#""whole":true"#)
}

/// Start times of an earlier and a later process.
const STARTS_MS: [u64; 2] = [1_760_000_000_000, 1_760_000_100_000];

/// Operators disable the new backend. Nothing may reach its address by the name of the old one, whose removal the
/// lists have not told yet, or tell in the same list, before or behind it.
#[test]
fn requests_for_a_backend_that_has_gone_reach_the_new_one_at_its_address() {
    for gone in ["not told", "before", "behind"] {
        let (tier, listeners) = Tier::start(3);
        let proxy = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), "127.0.0.1:0", &[]);
        let mut watch = Watch::accept(&proxy.discovery);
        watch.answer(&tier.list(5, false, &[]));
        let new = entry_at(&tier, "new", 0, "Ready", 0);
        let old = entry_at(&tier, "h0", 0, "Gone", 0);
        let entries = match gone {
            "before" => vec![old, new],
            "behind" => vec![new, old],
            _ => vec![new],
        };
        watch.answer(&change(6, &entries));
        assert_eq!(proxy.admin_request("PUT", "/backends/disable/new").0, 200);
        tier.check_used(&proxy, [1, 2], &format!("removal {gone}"));
        assert_eq!(proxy.metric("svc.backends_known"), Some(3), "removal {gone}");
    }
}

/// A late list that names the old backend again, as ready, does not bring it back at the address of the new one.
#[test]
fn old_backend_comes_back_at_the_address_of_the_new_one() {
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), "127.0.0.1:0", &[]);
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(5, false, &[]));
    watch.answer(&change(6, &[entry_at(&tier, "new", 0, "Ready", 0)]));
    watch.answer(&tier.list(5, false, &[helper::lists::ready(0)]));
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/new").0, 200);
    tier.check_used(&proxy, [1, 2], "after an older list");
}

/// Guards against a request that runs in two groups of backends: it is sent by the name of the backend that has gone, and
/// runs at the new one at its address. For some time lists name both, in either order and with or without start times.
#[test]
fn requests_for_a_backend_that_lists_still_name_reach_the_new_one_at_its_address() {
    for (kind, stated, new_first) in [
        (whole as fn(u64, &[String]) -> String, true, false),
        (whole, false, true),
        (whole, false, false),
        (change, true, true),
        (change, false, true),
    ] {
        let (tier, listeners) = Tier::start(3);
        let proxy = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), "127.0.0.1:0", &[]);
        let mut watch = Watch::accept(&proxy.discovery);
        watch.answer(&tier.list(5, false, &[]));
        let starts = if stated { STARTS_MS } else { [0, 0] };
        let old = entry_at(&tier, "h0", 0, "Ready", starts[0]);
        let new = entry_at(&tier, "new", 0, "Ready", starts[1]);
        let mut entries = if new_first { vec![new, old] } else { vec![old, new] };
        entries.extend([1, 2].map(|number| entry_at(&tier, &format!("h{number}"), number, "Ready", 0)));
        for version in 6..9 {
            watch.answer(&kind(version, &entries));
            assert_eq!(proxy.admin_request("PUT", "/backends/disable/new").0, 200);
            let case = format!("version {version}, starts stated: {stated}, new one first: {new_first}");
            tier.check_used(&proxy, [1, 2], &case);
        }
        assert_eq!(proxy.metric("svc.backends_known"), Some(3));
        assert_eq!(proxy.admin_request("PUT", "/backends/enable/new").0, 200);
        tier.wait_until_used(&proxy, 0);
    }
}

/// The same where the old one alone is named again, with the start of its earlier process.
#[test]
fn old_backend_with_an_earlier_start_does_not_take_its_address_back() {
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), "127.0.0.1:0", &[]);
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&change(5, &[entry_at(&tier, "h0", 0, "Ready", STARTS_MS[0])]));
    watch.answer(&change(6, &[entry_at(&tier, "new", 0, "Ready", STARTS_MS[1])]));
    watch.answer(&change(7, &[entry_at(&tier, "h0", 0, "Ready", STARTS_MS[0])]));
    assert_eq!(proxy.admin_request("PUT", "/backends/disable/new").0, 200);
    tier.check_used(&proxy, [1, 2], "after the old one was named again");
}

/// A backend that lost its address serves again once a list names the other one as gone and it as ready.
#[test]
fn backend_is_used_again_when_the_other_one_at_its_address_has_gone() {
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), "127.0.0.1:0", &[]);
    let mut watch = Watch::accept(&proxy.discovery);
    let entries = [entry_at(&tier, "h0", 0, "Ready", 0), entry_at(&tier, "new", 0, "Ready", 0)];
    watch.answer(&change(5, &entries));
    watch.answer(&change(6, &[entry_at(&tier, "new", 0, "Gone", 0)]));
    assert_eq!(watch.index(), None, "the whole list is requested");
    watch.answer(&tier.list(6, true, &[0, 1, 2].map(helper::lists::ready)));
    tier.wait_until_used(&proxy, 0);
}

/// The next process of a handover goes on with the new one, although its first answer names both.
#[test]
fn successor_uses_the_new_backend_at_an_address_that_lists_name_twice() {
    let (tier, listeners) = Tier::start(3);
    let (folder, listen) = helper::handover_folder_and_address("replaced");
    let environment = [("TMPDIR", folder.to_str().unwrap())];
    let old_process = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), &listen, &environment);
    let mut watch = Watch::accept(&old_process.discovery);
    let mut entries = vec![entry_at(&tier, "new", 0, "Ready", 0)];
    entries.extend([0, 1, 2].map(|number| entry_at(&tier, &format!("h{number}"), number, "Ready", 0)));
    watch.answer(&whole(6, &entries));
    assert_eq!(old_process.admin_request("PUT", "/backends/disable/new").0, 200);
    let new_process = old_process.start_successor(&old_process.discovery, &environment);
    old_process.signal("-TERM");
    let mut watch = Watch::accept(&old_process.discovery);
    for version in [6, 7] {
        watch.answer(&whole(version, &entries));
        tier.check_used(&new_process, [1, 2], &format!("version {version}"));
    }
    assert_eq!(old_process.wait_for_exit(), Some(0));
}
