//! Answers of discovery that know less than earlier ones: from a replica that lags, from an agent that lost its
//! latest versions, or by way of another agent or process. What a newer list has removed stays removed, and
//! discovery that really starts again at a low version is still followed.

mod helper;

use std::time::{Duration, Instant};

use helper::lists::{draining, gone, ready, Tier, Watch, ON_REQUEST, PUSHED};
use helper::{accept, backend, counter, settings, Proxy};

/// Start times of two processes of one backend, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_600_000_000_000;
const SECOND_START_MS: u64 = 1_700_000_000_000;

/// Starts a proxy that knows three backends and has been told that the first one is gone, at version 6.
fn start_with_first_backend_gone(mode: &str) -> (Tier, Proxy, Watch) {
    let (tier, listeners) = Tier::start(3);
    let settings = settings(5000, "").replace(PUSHED, mode);
    let proxy = Proxy::start_with(&listeners.iter().collect::<Vec<_>>(), 1024, &settings);
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(5, false, &[draining(0)]));
    watch.answer(&tier.list(6, false, &[gone(0)]));
    tier.check_used(&proxy, [1, 2], "after the last list");
    (tier, proxy, watch)
}

/// Answers with `list` and checks that the first backend stays removed and comes back at a newer version.
fn check_first_backend_stays_removed(mode: &str, list: impl Fn(&Tier) -> String) {
    let (tier, proxy, mut watch) = start_with_first_backend_gone(mode);
    watch.answer(&list(&tier));
    tier.check_used(&proxy, [1, 2], mode);
    watch.answer(&tier.list(7, true, &[ready(0), ready(1), ready(2)]));
    tier.wait_until_used(&proxy, 0);
}

#[test]
fn older_whole_list_does_not_bring_back_a_removed_backend() {
    for mode in [PUSHED, ON_REQUEST] {
        check_first_backend_stays_removed(mode, |tier| tier.list(4, true, &[ready(0), ready(1), ready(2)]));
    }
}

#[test]
fn older_changes_do_not_bring_back_a_removed_backend() {
    for mode in [PUSHED, ON_REQUEST] {
        check_first_backend_stays_removed(mode, |tier| tier.list(4, false, &[ready(0)]));
    }
}

#[test]
fn other_contents_at_the_same_version_do_not_bring_back_a_removed_backend() {
    for whole in [true, false] {
        check_first_backend_stays_removed(PUSHED, |tier| {
            tier.list(6, whole, &[ready(0), ready(1), ready(2)])
        });
    }
}

#[test]
fn older_list_does_not_bring_back_a_draining_backend() {
    let (tier, listeners) = Tier::start(2);
    let proxy = Proxy::start(&listeners.iter().collect::<Vec<_>>());
    let mut watch = Watch::accept(&proxy.discovery);
    for version in [5, 4, 5, 3] {
        let hosts = [if version == 5 { draining(0) } else { ready(0) }, ready(1)];
        watch.answer(&tier.list(version, true, &hosts));
        tier.check_used(&proxy, [1], &format!("after version {version}"));
    }
}

/// Guards against a removed backend that returns with an agent that answers again after an outage, on another
/// connection.
#[test]
fn older_list_after_an_outage_does_not_bring_back_a_removed_backend() {
    let (tier, proxy, watch) = start_with_first_backend_gone(PUSHED);
    helper::close(watch.conn);
    for _ in 0..3 {
        drop(accept(&proxy.discovery));
    }
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(4, true, &[ready(0), ready(1), ready(2)]));
    tier.check_used(&proxy, [1, 2], "after the last list");
}

/// Guards against a backend that an omission removed: a whole list removes what it does not name.
#[test]
fn older_list_does_not_bring_back_a_backend_that_a_whole_list_omitted() {
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start(&listeners.iter().collect::<Vec<_>>());
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(5, true, &[ready(1), ready(2)]));
    for version in [4, 5] {
        watch.answer(&tier.list(version, true, &[ready(0), ready(1), ready(2)]));
        tier.check_used(&proxy, [1, 2], &format!("after version {version}"));
    }
    watch.answer(&tier.list(6, false, &[ready(0)]));
    tier.wait_until_used(&proxy, 0);
}

#[test]
fn backend_twice_in_a_list_is_out_if_one_entry_of_its_latest_start_is_out() {
    let (tier, listeners) = Tier::start(2);
    let proxy = Proxy::start(&listeners.iter().collect::<Vec<_>>());
    let mut watch = Watch::accept(&proxy.discovery);
    for (version, hosts) in [(5, [draining(0), ready(0)]), (6, [ready(0), draining(0)])] {
        watch.answer(&tier.list(version, false, &hosts));
        tier.check_used(&proxy, [1], &format!("{hosts:?}"));
    }
    let (earlier, later) = ((0, "Terminating", Some(FIRST_START_MS)), (0, "Ready", Some(SECOND_START_MS)));
    for (version, hosts) in [(7, [earlier, later]), (8, [later, earlier])] {
        watch.answer(&tier.list(version, false, &hosts));
        tier.wait_until_used(&proxy, 0);
    }
}

/// Guards against changes that build on a list which was received but not applied.
#[test]
fn watch_continues_from_the_last_list_that_was_applied() {
    let (tier, proxy, mut watch) = start_with_first_backend_gone(PUSHED);
    watch.answer(&tier.list(5, true, &[]));
    assert_eq!(watch.index(), Some(6));
    watch.answer(&tier.list(7, false, &[draining(1)]));
    tier.check_used(&proxy, [2], "after the last list");
}

#[test]
fn older_list_of_another_agent_does_not_bring_back_a_removed_backend() {
    let all = [ready(0), ready(1), ready(2)];
    let (tier, proxy, _watch) = start_with_first_backend_gone(PUSHED);
    let (other, first) = (backend(), proxy.discovery.try_clone().unwrap());
    for (agent, versions) in [(&other, [4, 4]), (&first, [4, 6]), (&other, [4, 3]), (&first, [6, 5])] {
        proxy.switch_agent(agent);
        let mut watch = Watch::accept(agent);
        for version in versions {
            watch.answer(&tier.list(version, true, &all));
            tier.check_used(&proxy, [1, 2], &format!("after version {version}"));
        }
    }
    let mut watch = Watch::accept(&first);
    watch.answer(&tier.list(7, true, &all));
    tier.wait_until_used(&proxy, 0);
}

/// Guards against taking a backend back from another agent that lags, where the agent that knew it left it out: whole
/// lists leave out backends that drain.
#[test]
fn backend_that_an_agent_has_left_out_stays_out_at_another_agent() {
    let all = [ready(0), ready(1), ready(2)];
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start(&listeners.iter().collect::<Vec<_>>());
    let (other, first) = (backend(), proxy.discovery.try_clone().unwrap());
    let mut watch = Watch::accept(&first);
    watch.answer(&tier.list(5, true, &all));
    proxy.switch_agent(&other);
    let mut watch = Watch::accept(&other);
    watch.answer(&tier.list(1_005, true, &all));
    proxy.switch_agent(&first);
    let mut watch = Watch::accept(&first);
    watch.answer(&tier.list(7, true, &[ready(1), ready(2)]));
    tier.check_used(&proxy, [1, 2], "left out");
    proxy.switch_agent(&other);
    let mut watch = Watch::accept(&other);
    for version in [1_006, 1_007] {
        watch.answer(&tier.list(version, true, &all));
        tier.check_used(&proxy, [1, 2], &format!("after version {version} of the other agent"));
    }
    watch.answer(&tier.list(1_008, true, &[(0, "Ready", Some(SECOND_START_MS)), ready(1), ready(2)]));
    tier.wait_until_used(&proxy, 0);
}

/// Guards against a backend that stays out because an agent left it out which had never named it.
#[test]
fn backend_that_an_agent_never_named_returns_with_news_of_another_agent() {
    let all = [ready(0), ready(1), ready(2)];
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start(&listeners.iter().collect::<Vec<_>>());
    let (other, first) = (backend(), proxy.discovery.try_clone().unwrap());
    proxy.switch_agent(&other);
    let mut watch = Watch::accept(&other);
    for version in [1_005, 1_006] {
        watch.answer(&tier.list(version, true, &[ready(1), ready(2)]));
        tier.check_used(&proxy, [1, 2], "left out");
    }
    proxy.switch_agent(&first);
    let mut watch = Watch::accept(&first);
    watch.answer(&tier.list(5, true, &all));
    tier.wait_until_used(&proxy, 0);
}

/// Guards against versions of two agents that are compared with each other.
#[test]
fn drain_told_by_one_agent_holds_at_another_whose_versions_are_higher() {
    let all = [ready(0), ready(1), ready(2)];
    let (tier, proxy, _watch) = start_with_first_backend_gone(PUSHED);
    let (other, first) = (backend(), proxy.discovery.try_clone().unwrap());
    proxy.switch_agent(&other);
    let mut watch = Watch::accept(&other);
    watch.answer(&tier.list(1_000, true, &all));
    tier.check_used(&proxy, [1, 2], "after the last list");
    watch.answer(&tier.list(1_001, false, &[draining(1)]));
    tier.check_used(&proxy, [2], "after the last list");
    proxy.switch_agent(&first);
    let mut watch = Watch::accept(&first);
    watch.answer(&tier.list(6, true, &[ready(1), ready(2)]));
    tier.check_used(&proxy, [2], "after the last list");
    watch.answer(&tier.list(6, false, &[(1, "Ready", Some(SECOND_START_MS))]));
    tier.wait_until_used(&proxy, 1);
}

/// Guards against a reload that names the same agent and starts the list anew.
#[test]
fn older_list_after_a_reload_does_not_bring_back_a_removed_backend() {
    let (tier, proxy, mut watch) = start_with_first_backend_gone(PUSHED);
    let config = proxy.current_config();
    proxy.reconfigure(&config);
    watch.answer(&tier.list(4, true, &[ready(0), ready(1), ready(2)]));
    tier.check_used(&proxy, [1, 2], "after the last list");
}

#[test]
fn removed_backend_stays_removed_in_the_next_process_of_a_handover() {
    for same_agent in [true, false] {
        let (tier, listeners) = Tier::start(3);
        let (folder, listen) = helper::handover_folder_and_address("older-lists");
        let environment = [("TMPDIR", folder.to_str().unwrap())];
        let old = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), &listen, &environment);
        let mut watch = Watch::accept(&old.discovery);
        watch.answer(&tier.list(5, false, &[draining(0)]));
        watch.answer(&tier.list(6, false, &[gone(0)]));
        let agent = if same_agent { old.discovery.try_clone().unwrap() } else { backend() };
        let new = old.start_successor(&agent, &environment);
        old.signal("-TERM");
        assert_eq!(old.wait_for_exit(), Some(0));
        let mut watch = Watch::accept(&agent);
        tier.check_used(&new, [1, 2], &format!("same agent: {same_agent}"));
        for _ in 0..2 {
            watch.answer(&tier.list(4, true, &[ready(0), ready(1), ready(2)]));
            tier.check_used(&new, [1, 2], &format!("same agent: {same_agent}"));
        }
        watch.answer(&tier.list(7, false, &[(0, "Ready", Some(SECOND_START_MS))]));
        tier.wait_until_used(&new, 0);
    }
}

/// Guards against a successor that starts with the list of its configuration because its predecessor was waiting for
/// the whole list at that moment.
#[test]
fn list_is_handed_over_while_the_whole_list_is_requested() {
    let (tier, listeners) = Tier::start(3);
    let (folder, listen) = helper::handover_folder_and_address("pending-list");
    let environment = [("TMPDIR", folder.to_str().unwrap())];
    let old = Proxy::start_managed(&listeners[..2].iter().collect::<Vec<_>>(), &listen, &environment);
    let mut watch = Watch::accept(&old.discovery);
    watch.answer(&tier.list(6, false, &[gone(0), ready(2)]));
    watch.answer(&tier.list(5, false, &[ready(0)]));
    assert_eq!(watch.index(), None);
    let new = old.start_successor(&old.discovery, &environment);
    old.signal("-TERM");
    assert_eq!(old.wait_for_exit(), Some(0));
    tier.check_used(&new, [1, 2], "after the last list");
}

/// Guards against a withdrawal that only one of two processes hears during a handover: an answer to the other one
/// may be older.
#[test]
fn withdrawal_during_a_handover_reaches_the_other_process() {
    let (tier, listeners) = Tier::start(3);
    let (folder, listen) = helper::handover_folder_and_address("late-news");
    let environment = [("TMPDIR", folder.to_str().unwrap())];
    let old = Proxy::start_managed(&listeners.iter().collect::<Vec<_>>(), &listen, &environment);
    let mut old_watch = Watch::accept(&old.discovery);
    old_watch.answer(&tier.list(5, false, &[]));
    let agent = backend();
    let new = old.start_successor(&agent, &environment);
    let mut new_watch = Watch::accept(&agent);
    new_watch.answer(&tier.list(5, true, &[ready(0), ready(1), ready(2)]));
    old_watch.answer(&tier.list(6, false, &[draining(0)]));
    new.wait_for_log("condition of backend changed");
    new_watch.answer(&tier.list(6, false, &[gone(1)]));
    old.wait_for_log("to=Gone");
    // Both processes accept requests.
    for _ in 0..3 {
        tier.check_used(&new, [2], "after the last list");
    }
    old.signal("-TERM");
    assert_eq!(old.wait_for_exit(), Some(0));
    new_watch.answer(&tier.list(5, true, &[ready(0), ready(1), ready(2)]));
    tier.check_used(&new, [2], "after the last list");
}

/// Guards against a first answer that is older than the list which the configuration contains.
#[test]
fn older_first_answer_does_not_add_a_backend_that_the_known_list_lacks() {
    let (tier, listeners) = Tier::start(3);
    // The configuration names the last two backends as h0 and h1; the removed one is h9 there.
    let proxy = Proxy::start(&[&listeners[1], &listeners[2]]);
    let mut watch = Watch::accept(&proxy.discovery);
    let entry = |name: &str, number: usize| {
        let address = tier.addresses[number];
        format!(r#"{{"host":"{name}","dial":"{address}","site":"a","health":"Ready","born_ms":0}}"#)
    };
    let hosts = [entry("h9", 0), entry("h0", 1), entry("h1", 2)].join(",");
    watch.answer(&format!(r#"{{"seq":3,"whole":true,"hosts":[{hosts}]}}"#));
    tier.check_used(&proxy, [1, 2], "after the last list");
}

/// Guards against a backend that restarted and is drained again by an older report on its earlier process.
#[test]
fn older_drain_of_an_earlier_process_is_ignored() {
    let (tier, listeners) = Tier::start(2);
    let proxy = Proxy::start(&listeners.iter().collect::<Vec<_>>());
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(5, false, &[(0, "Terminating", Some(FIRST_START_MS))]));
    watch.answer(&tier.list(7, false, &[(0, "Ready", Some(SECOND_START_MS))]));
    tier.wait_until_used(&proxy, 0);
    watch.answer(&tier.list(5, false, &[(0, "Terminating", Some(FIRST_START_MS))]));
    tier.check_used(&proxy, [0, 1], "after the last list");
}

/// Guards against following nothing that discovery says after it has lost its versions.
#[test]
fn discovery_that_starts_again_at_a_low_version_is_followed() {
    let (tier, listeners) = Tier::start(5);
    let proxy = Proxy::start(&[&listeners[0], &listeners[1], &listeners[2]]);
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(1006, false, &[gone(0)]));
    watch.answer(&tier.list(1, true, &[ready(0), ready(1), ready(2)]));
    assert_eq!(watch.index(), Some(1), "the agent knows no other version");
    tier.check_used(&proxy, [1, 2], "backends that were never removed serve");
    watch.answer(&tier.list(2, false, &[draining(1)]));
    tier.check_used(&proxy, [2], "its drains take effect");
    watch.answer(&tier.list(3, false, &[ready(3)]));
    tier.wait_until_used(&proxy, 3);
    watch.answer(&tier.list(4, true, &[ready(0), ready(2), ready(3), ready(4)]));
    tier.wait_until_used(&proxy, 4);
    watch.answer(&tier.list(5, false, &[(0, "Ready", Some(SECOND_START_MS))]));
    tier.wait_until_used(&proxy, 0);
    watch.answer(&tier.list(6, false, &[ready(1)]));
    tier.wait_until_used(&proxy, 1);
    watch.answer(&tier.list(7, true, &[ready(1), ready(2)]));
    tier.check_used(&proxy, [1, 2], "what a whole list omits is removed");
}

/// Guards against a replica with the versions from before such a loss, which answers in between.
#[test]
fn drain_at_a_low_version_holds_against_versions_from_before_the_loss() {
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start(&listeners.iter().collect::<Vec<_>>());
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(1005, true, &[ready(0), ready(1), ready(2)]));
    watch.answer(&tier.list(1006, true, &[ready(0), ready(1), ready(2)]));
    watch.answer(&tier.list(1, true, &[ready(0), ready(1), ready(2)]));
    watch.answer(&tier.list(2, false, &[draining(0)]));
    for version in [1005, 1006] {
        watch.answer(&tier.list(version, true, &[ready(0), ready(1), ready(2)]));
        tier.check_used(&proxy, [1, 2], &format!("after version {version}"));
    }
    watch.answer(&tier.list(1007, true, &[ready(0), ready(1), ready(2)]));
    tier.wait_until_used(&proxy, 0);
}

/// Guards against a tier without any backend: an older list names only backends that newer ones removed.
#[test]
fn older_list_of_removed_backends_leaves_the_present_ones() {
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start(&listeners[..2].iter().collect::<Vec<_>>());
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(5, false, &[gone(0), gone(1), ready(2)]));
    watch.answer(&tier.list(4, true, &[ready(0), ready(1)]));
    tier.check_used(&proxy, [2], "after the last list");
}

/// Guards against a backend that stays out because an older list, from before it joined, omits it.
#[test]
fn backend_that_an_older_list_omits_returns_with_the_next_list_that_names_it() {
    let (tier, listeners) = Tier::start(3);
    let proxy = Proxy::start(&listeners[..2].iter().collect::<Vec<_>>());
    let mut watch = Watch::accept(&proxy.discovery);
    watch.answer(&tier.list(5, false, &[ready(2)]));
    tier.wait_until_used(&proxy, 2);
    watch.answer(&tier.list(4, true, &[ready(0), ready(1)]));
    assert_eq!(watch.index(), Some(4), "the next changes are counted from the agent's own version");
    watch.answer(&tier.list(5, false, &[ready(2)]));
    tier.wait_until_used(&proxy, 2);
}

/// Guards against changes that build on another list than the proxy has: old changes don't follow the requested
/// version, and changes from an old list past the highest version may lack what other old answers held.
#[test]
fn whole_list_is_requested_where_changes_do_not_follow_the_present_list() {
    let (tier, _proxy, mut watch) = start_with_first_backend_gone(PUSHED);
    watch.answer(&tier.list(4, false, &[ready(0)]));
    assert_eq!(watch.index(), None, "after older changes");
    watch.answer(&tier.list(4, true, &[ready(0), ready(1), ready(2)]));
    assert_eq!(watch.index(), Some(4));
    watch.answer(&tier.list(6, false, &[gone(0)]));
    assert_eq!(watch.index(), None, "after changes from an old list");
    watch.answer(&tier.list(6, true, &[ready(1), ready(2)]));
    assert_eq!(watch.index(), Some(6));

    // A list service for all proxies is asked for changes once more first.
    let (tier, _proxy, mut watch) = start_with_first_backend_gone(ON_REQUEST);
    for index in [Some(6), None] {
        watch.answer(&tier.list(4, false, &[ready(0)]));
        assert_eq!(watch.index(), index);
    }
}

/// Guards against a backend that is out for good because an old list drained it, and no list that follows names it:
/// nothing has changed.
#[test]
fn backend_that_old_changes_drain_returns_with_the_whole_list() {
    for mode in [PUSHED, ON_REQUEST] {
        let (tier, listeners) = Tier::start(2);
        let settings = settings(5000, "").replace(PUSHED, mode);
        let proxy = Proxy::start_with(&listeners.iter().collect::<Vec<_>>(), 1024, &settings);
        let mut watch = Watch::accept(&proxy.discovery);
        watch.answer(&tier.list(5, false, &[draining(0)]));
        watch.answer(&tier.list(7, false, &[ready(0)]));
        tier.wait_until_used(&proxy, 0);
        watch.answer(&tier.list(5, false, &[draining(0)]));
        assert_eq!(watch.index(), None, "{mode}");
        watch.answer(&tier.list(7, true, &[ready(0), ready(1)]));
        tier.wait_until_used(&proxy, 0);
    }
}

/// Guards against a watch that spins on an agent which answers each request at once with an older version.
#[test]
fn agent_that_answers_at_once_with_an_older_version_is_asked_at_a_bounded_rate() {
    for (mode, max_requests) in [(PUSHED, 11), (ON_REQUEST, 2)] {
        let (tier, _proxy, mut watch) = start_with_first_backend_gone(mode);
        let lists = [4, 3].map(|version| tier.list(version, true, &[ready(0), ready(1), ready(2)]));
        watch.answer(&lists[0]);
        let (start, mut requests) = (Instant::now(), 0);
        while start.elapsed() < Duration::from_secs(1) {
            watch.answer(&lists[requests % 2]);
            requests += 1;
        }
        assert!(requests <= max_requests, "{mode}: {requests} requests in a second");
    }
}

/// Guards against a fleet whose proxies all ask a list service for the whole list at once, because all of them
/// received the same old answer. Where lists are pushed, each asks the agent on its own machine.
#[test]
fn whole_lists_are_requested_from_a_list_service_at_different_times() {
    let delay = |mode: &str, seed: &str| {
        let (tier, listeners) = Tier::start(2);
        let settings = settings(5000, "").replace(PUSHED, mode);
        let proxy = Proxy::start_seeded(&listeners.iter().collect::<Vec<_>>(), &settings, seed);
        let mut watch = Watch::accept(&proxy.discovery);
        watch.answer(&tier.list(3, true, &[ready(0), ready(1)]));
        let start = Instant::now();
        watch.answer(&tier.list(4, false, &[draining(0)]));
        assert_eq!(watch.index(), None);
        start.elapsed()
    };
    assert!(delay(PUSHED, "1f") < Duration::from_millis(300));
    let mut delays = ["1f", "2e", "3d", "4c", "5b"].map(|seed| delay(ON_REQUEST, seed));
    delays.sort();
    assert!(delays[4] < Duration::from_millis(2_000), "{delays:?}");
    assert!(delays[4] - delays[0] > Duration::from_millis(300), "{delays:?}");
}

/// Guards against reports of each older answer that would fill the log, and against none at all.
#[test]
fn older_lists_are_logged_and_counted() {
    let (tier, proxy, mut watch) = start_with_first_backend_gone(PUSHED);
    watch.answer(&tier.list(4, true, &[ready(0), ready(1), ready(2)]));
    assert!(proxy.wait_for_log("suspicious list").contains("an older version"));
    let line = proxy.wait_for_log("backend stays removed");
    assert!(line.contains("host=h0") || line.contains("host=\"h0\""), "{line}");
    assert_eq!(counter(&proxy, "lists_odd"), 1);
}
