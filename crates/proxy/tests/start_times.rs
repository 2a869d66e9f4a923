//! Start times of backends, corrected where the wall clock that they come from has stepped.

mod helper;

use std::time::{SystemTime, UNIX_EPOCH};

use helper::{accept, backend, read_message, response, write, Proxy};
use sparlug::event::{Condition, Listing};
use sparlug::id::{PodId, ZoneId};
use sparlug::time::{Span, Time};
use sparlug_proxy::listing::{backend_id, BackendEntry, BackendList};
use sparlug_proxy::start_times::StartTimes;

const HOUR: Span = Span::from_millis(3_600_000);

fn at(seconds: f64) -> Time {
    Time::from_ms(1e12 + seconds * 1000.0)
}

/// The corrected start time of a backend after a list with only this backend.
fn corrected_start(starts: &mut StartTimes, host: &str, timestamp: Time, now: Time) -> Time {
    let listing = Listing {
        backend: backend_id(host),
        zone: ZoneId(0),
        pod: PodId(0),
        condition: Condition::Ready,
        started: Some(timestamp),
        size: 1.0,
    };
    let address = "127.0.0.1:1".parse().unwrap();
    let entry = BackendEntry {
        host: host.to_string(),
        address,
        listed_start: Some(timestamp),
        start_stated: true,
        listing,
    };
    let mut list = BackendList { version: 1, full: false, entries: vec![entry] };
    starts.correct(&mut list, now);
    list.entries[0].listing.started.unwrap()
}

#[test]
fn plausible_start_time_is_kept() {
    let mut starts = StartTimes::default();
    assert_eq!(corrected_start(&mut starts, "old", at(-9_000.0), at(0.0)), at(-9_000.0));
    assert_eq!(corrected_start(&mut starts, "new", at(7.0), at(9.0)), at(7.0));
    assert_eq!(
        corrected_start(&mut starts, "slow", at(-20.0), at(10.0)),
        at(-20.0),
        "it took long to start up"
    );
    assert_eq!(corrected_start(&mut starts, "old", at(11.0), at(12.0)), at(11.0), "it was restarted");
    assert_eq!(starts.corrected, 0);
}

#[test]
fn start_time_in_the_future_is_replaced_by_the_time_of_the_first_listing() {
    let mut starts = StartTimes::default();
    assert_eq!(corrected_start(&mut starts, "a", at(1.0) + HOUR, at(2.0)), at(2.0));
    assert_eq!(corrected_start(&mut starts, "a", at(1.0) + HOUR, at(5.0)), at(2.0));
    assert_eq!(starts.corrected, 1);
}

#[test]
fn restarted_backend_did_not_start_before_its_predecessor_was_last_listed() {
    let mut starts = StartTimes::default();
    corrected_start(&mut starts, "a", at(-9_000.0), at(0.0));
    corrected_start(&mut starts, "a", at(-9_000.0), at(50.0));
    assert_eq!(corrected_start(&mut starts, "a", at(55.0) - HOUR, at(60.0)), at(50.0));
    assert_eq!(starts.corrected, 1);
}

#[test]
fn newly_listed_backend_did_not_start_before_the_previous_list() {
    let mut starts = StartTimes::default();
    corrected_start(&mut starts, "a", at(-9_000.0), at(100.0));
    assert_eq!(corrected_start(&mut starts, "b", at(101.0) - HOUR, at(102.0)), at(100.0));
}

/// Guards against a shrinking list that blocks the loop: all removed backends are forgotten in one pass.
#[test]
fn many_removed_backends_are_forgotten_quickly() {
    let mut starts = StartTimes::default();
    let entry = |number: usize| {
        let host = format!("h{number}");
        let listing = Listing {
            backend: backend_id(&host),
            zone: ZoneId(0),
            pod: PodId(0),
            condition: Condition::Ready,
            started: None,
            size: 1.0,
        };
        BackendEntry {
            host,
            address: "127.0.0.1:1".parse().unwrap(),
            listed_start: None,
            start_stated: false,
            listing,
        }
    };
    let mut many = BackendList { version: 1, full: true, entries: (0..60_000).map(entry).collect() };
    starts.correct(&mut many, at(0.0));
    let start = std::time::Instant::now();
    let mut one = BackendList { version: 2, full: true, entries: vec![entry(0)] };
    starts.correct(&mut one, at(1.0));
    assert!(start.elapsed() < std::time::Duration::from_millis(500), "took {:?}", start.elapsed());
}

/// Guards against overloading a backend whose clock is an hour off: it has just started, whatever its
/// timestamp says.
#[test]
fn proxy_corrects_a_start_time_that_is_an_hour_off() {
    for (offset, corrected) in [(-3_600_000_i64, 1), (3_600_000, 1), (-500, 0)] {
        let listener = backend();
        let proxy = Proxy::start_managed(&[&listener], "127.0.0.1:0", &[]);
        let mut list_request = accept(&proxy.discovery);
        read_message(&mut list_request);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
        let (address, born_ms) = (listener.local_addr().unwrap(), now + offset);
        let host =
            format!(r#"{{"host":"h1","dial":"{address}","site":"a","health":"Ready","born_ms":{born_ms}}}"#);
        let list = format!(r#"{{"seq":5,"whole":false,"hosts":[{host}]}}"#);
        write(&mut list_request, &response("200 OK", "", &list));
        assert!(read_message(&mut list_request).contains("index=5"), "the list is applied");
        let corrections = proxy.metric("svc.start_times_corrected");
        assert_eq!(corrections, Some(corrected), "a timestamp {offset} ms off");
    }
}
