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
