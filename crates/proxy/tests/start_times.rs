//! When backends started, by stamps of wall clocks that step.

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

/// How the start of a backend is judged in a list that names it alone.
fn judged(starts: &mut StartTimes, host: &str, stamp: Time, now: Time) -> Time {
    let listing = Listing {
        backend: backend_id(host),
        zone: ZoneId(0),
        pod: PodId(0),
        condition: Condition::Ready,
        started: Some(stamp),
        size: 1.0,
    };
    let dial = "127.0.0.1:1".parse().unwrap();
    let entry = BackendEntry { host: host.to_string(), address: dial, listed_start: Some(stamp), listing };
    let mut list = BackendList { version: 1, full: false, entries: vec![entry] };
    starts.correct(&mut list, now);
    list.entries[0].listing.started.unwrap()
}

#[test]
fn a_stamp_that_fits_what_was_heard_is_believed() {
    let mut starts = StartTimes::default();
    assert_eq!(judged(&mut starts, "old", at(-9_000.0), at(0.0)), at(-9_000.0));
    assert_eq!(judged(&mut starts, "new", at(7.0), at(9.0)), at(7.0));
    assert_eq!(judged(&mut starts, "slow", at(-20.0), at(10.0)), at(-20.0), "it took long to come up");
    assert_eq!(judged(&mut starts, "old", at(11.0), at(12.0)), at(11.0), "it was started anew");
    assert_eq!(starts.corrected, 0);
}

#[test]
fn a_stamp_of_the_future_is_a_start_of_now_and_stays_it() {
    let mut starts = StartTimes::default();
    assert_eq!(judged(&mut starts, "a", at(1.0) + HOUR, at(2.0)), at(2.0));
    assert_eq!(judged(&mut starts, "a", at(1.0) + HOUR, at(5.0)), at(2.0));
    assert_eq!(starts.corrected, 1);
}

#[test]
fn a_process_cannot_have_started_before_its_earlier_one_was_named() {
    let mut starts = StartTimes::default();
    judged(&mut starts, "a", at(-9_000.0), at(0.0));
    judged(&mut starts, "a", at(-9_000.0), at(50.0));
    assert_eq!(judged(&mut starts, "a", at(55.0) - HOUR, at(60.0)), at(50.0));
    assert_eq!(starts.corrected, 1);
}

#[test]
fn a_backend_that_no_list_named_an_hour_long_did_not_start_an_hour_ago() {
    let mut starts = StartTimes::default();
    judged(&mut starts, "a", at(-9_000.0), at(100.0));
    assert_eq!(judged(&mut starts, "b", at(101.0) - HOUR, at(102.0)), at(100.0));
}

/// Guards against a list that shrinks holding up the loop: what is forgotten goes at once.
#[test]
fn what_is_known_of_many_backends_is_forgotten_at_once() {
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
        BackendEntry { host, address: "127.0.0.1:1".parse().unwrap(), listed_start: None, listing }
    };
    let mut many = BackendList { version: 1, full: true, entries: (0..60_000).map(entry).collect() };
    starts.correct(&mut many, at(0.0));
    let start = std::time::Instant::now();
    let mut one = BackendList { version: 2, full: true, entries: vec![entry(0)] };
    starts.correct(&mut one, at(1.0));
    assert!(start.elapsed() < std::time::Duration::from_millis(500), "took {:?}", start.elapsed());
}

/// Guards against pushing over a backend whose clock is an hour off: it has just started, whatever its stamp says.
#[test]
fn a_running_proxy_does_not_believe_a_stamp_an_hour_off() {
    for (offset, corrected) in [(-3_600_000_i64, 1), (3_600_000, 1), (-500, 0)] {
        let listener = backend();
        let proxy = Proxy::start_managed(&[&listener], "127.0.0.1:0", &[]);
        let mut call = accept(&proxy.discovery);
        read_message(&mut call);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
        let (dial, born) = (listener.local_addr().unwrap(), now + offset);
        let host = format!(r#"{{"host":"h1","dial":"{dial}","site":"a","health":"Ready","born_ms":{born}}}"#);
        let list = format!(r#"{{"seq":5,"whole":false,"hosts":[{host}]}}"#);
        write(&mut call, &response("200 OK", "", &list));
        assert!(read_message(&mut call).contains("index=5"), "the list is heard");
        let figure = proxy.metric("svc.start_times_corrected");
        assert_eq!(figure, Some(corrected), "a stamp {offset} ms off");
    }
}
