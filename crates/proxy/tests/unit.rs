//! The parts that need no process: slots, deadlines, endings, lists, links and configurations.

mod helper;

use std::io::Read;

use sparlug::event::{Condition, Outcome};
use sparlug::id::ZoneId;
use sparlug::settings::Settings;
use sparlug::time::{Span, Time};
use sparlug_proxy::attempt_result::AttemptResult;
use sparlug_proxy::buffered_stream::BufferedStream;
use sparlug_proxy::config::Config;
use sparlug_proxy::connect_timeout::{ConnectHistory, ConnectTimeout};
use sparlug_proxy::deadlines::Deadlines;
use sparlug_proxy::listing;
use sparlug_proxy::shared::{ClientTag, Owner};
use sparlug_proxy::slots::Slots;

#[test]
fn a_stale_event_finds_nothing_in_a_slot_that_is_used_again() {
    let mut slots: Slots<ClientTag, &str> = Slots::default();
    let first = slots.insert_with(|_| Some("first")).unwrap();
    let token = Owner::Client(first).token();
    slots.remove(first);
    let second = slots.insert_with(|_| Some("second")).unwrap();
    let Owner::Client(stale) = Owner::from_token(token) else { panic!("another owner") };
    assert!(slots.get(stale).is_none() && slots.remove(stale).is_none());
    assert_eq!(slots.get(second), Some(&"second"));
    // Guards against the wall that there was at 4,096 records.
    let many: Vec<_> = (0..20_000).map(|_| slots.insert_with(|_| Some("more")).unwrap()).collect();
    assert!(many.iter().all(|slot| Owner::from_token(Owner::Client(*slot).token()) == Owner::Client(*slot)));
    assert_eq!((slots.count(), slots.get(second)), (20_001, Some(&"second")));
}

#[test]
fn deadlines_come_in_order_and_those_set_meanwhile_wait_a_round() {
    let mut deadlines = Deadlines::default();
    let at = |ms| Time::ORIGIN + Span::from_millis(ms);
    deadlines.set(at(2), "late");
    let off = deadlines.set(at(1), "called off");
    deadlines.set(at(1), "early");
    deadlines.cancel(Some(off));
    assert_eq!(deadlines.time_to_next(Time::ORIGIN).unwrap().as_millis(), 1);
    let set = deadlines.last_sequence();
    assert_eq!(deadlines.pop_due(at(2), set), Some("early"));
    // Guards against a deadline that sets itself again at once and never lets the sockets have their turn.
    deadlines.set(at(0), "again");
    assert_eq!(deadlines.pop_due(at(2), set), None);
    assert_eq!(deadlines.pop_due(at(2), set + 1), Some("again"));
    assert_eq!(deadlines.pop_due(at(1), set + 1), None);
}

/// Guards against the whole time for a connection being spent at each of many backends that are lost
/// together.
#[test]
fn a_connection_is_waited_for_as_long_as_others_took_to_come_up() {
    let (ms, mut connect_timeout) = (|ms| Span::from_millis(ms), ConnectTimeout::new(Span::from_millis(100)));
    let (mut near, mut far) = (ConnectHistory::default(), ConnectHistory::default());
    assert_eq!(connect_timeout.timeout_for(&near), ms(100), "nothing is known yet");
    (0..50).for_each(|_| connect_timeout.record_success(&mut near, ms(1)));
    assert_eq!(connect_timeout.timeout_for(&far), ms(10), "a tenth at the least");
    // One that is forty times as far is reached all the same, and then has the time that it needs.
    while connect_timeout.timeout_for(&far) < ms(40) {
        connect_timeout.record_timeout(&mut far);
    }
    connect_timeout.record_success(&mut far, ms(40));
    (0..50).for_each(|_| connect_timeout.record_success(&mut near, ms(1)));
    assert!(connect_timeout.timeout_for(&far) > ms(80) && connect_timeout.timeout_for(&near) < ms(20));
    (0..99).for_each(|_| connect_timeout.record_timeout(&mut far));
    assert_eq!(connect_timeout.timeout_for(&far), ms(100), "never longer than the settings say");
}

#[test]
fn only_endings_that_prove_it_say_that_a_attempt_never_ran() {
    let answered = |status, not_started| AttemptResult::Answered { status, not_started };
    let never = [
        AttemptResult::Refused,
        AttemptResult::NeverUp,
        AttemptResult::BrokeBefore,
        AttemptResult::OutOfTime { written: false },
        AttemptResult::CalledOff { written: false },
        AttemptResult::Withdrawn,
        AttemptResult::KeptBroke { written: false },
        AttemptResult::NoRoom,
        AttemptResult::TooLate,
        answered(503, true),
        answered(504, true),
    ];
    let perhaps = [
        AttemptResult::BrokeAfter,
        AttemptResult::CutShort,
        AttemptResult::KeptBroke { written: true },
        AttemptResult::Garbled,
        AttemptResult::OutOfTime { written: true },
        AttemptResult::CalledOff { written: true },
        answered(503, false),
        answered(504, false),
        answered(500, true),
        answered(404, false),
    ];
    let usual = Settings::for_classes(Vec::new());
    let ran = |ending: &AttemptResult| ending.outcome().may_have_run(&usual);
    assert!(!never.iter().any(ran));
    assert!(perhaps.iter().all(ran));
    assert_eq!(answered(200, false).outcome(), Outcome::Served);
    // Guards against backends left out for what a client, the list or the proxy itself is the cause of.
    let called_off = [true, false].map(|written| AttemptResult::CalledOff { written });
    let ours = [AttemptResult::Withdrawn, AttemptResult::NoRoom, AttemptResult::OutOfTime { written: false }];
    assert!(ours
        .iter()
        .chain(&called_off)
        .chain(&[answered(400, false)])
        .all(|ending| ending.outcome().is_neutral()));
    let theirs = [
        AttemptResult::Refused,
        AttemptResult::NeverUp,
        AttemptResult::Garbled,
        answered(500, false),
        answered(429, false),
    ];
    assert!(!theirs.iter().any(|ending| ending.outcome().is_neutral()));
}

#[test]
fn a_host_is_the_same_backend_at_whatever_address_it_is_dialled() {
    let list = |dial: &str, health: &str| {
        let host = format!(
            r#"{{"host":"s-1","dial":"{dial}","site":"b","block":3,"health":"{health}","born_ms":5}}"#
        );
        let text = format!(r#"{{"seq":9,"whole":false,"hosts":[{host}]}}"#);
        listing::decode(text.as_bytes(), &["a".to_string(), "b".to_string()])
            .map(|list| list.entries[0].clone())
    };
    let (one, other) = (list("10.0.0.1:80", "Ready").unwrap(), list("10.9.0.1:81", "Terminating").unwrap());
    assert_eq!(one.listing.backend, other.listing.backend);
    assert_ne!(one.listing.backend, listing::backend_id("s-2"));
    assert_eq!((one.listing.zone, one.listing.started), (ZoneId(1), Some(Time::from_ms(5.0))));
    assert_eq!(other.listing.condition, Condition::Draining);
    assert!(list("10.0.0.1:80", "Unwell").is_err() && list("nowhere", "Ready").is_err());
}

#[test]
fn what_can_not_be_written_at_once_is_kept_and_goes_on_later() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = mio::Poll::new().unwrap();
    let mut link =
        BufferedStream::dial(listener.local_addr().unwrap(), poll.registry(), mio::Token(0)).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    while !link.is_established().unwrap() {}
    let sent: Vec<u8> = (0..32_000_000_u32).map(|place| (place % 251) as u8).collect();
    link.queue(&sent);
    assert!(!link.flush().unwrap(), "more than the kernel takes");
    let reader = std::thread::spawn(move || {
        let mut read = Vec::new();
        peer.read_to_end(&mut read).map(|_| read)
    });
    while !link.flush().unwrap() {}
    link.shutdown_write();
    assert!(reader.join().unwrap().unwrap() == sent);
}

#[test]
fn a_configuration_that_is_no_use_says_why() {
    let config = |listen: &str, seed: &str, sockets: u32, settings: &str| {
        let text = format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"10.0.0.1:1","seed":"{seed}",
            "limits":{{"sockets":{sockets}}},"settings":{settings}}}"#
        );
        Config::decode(text.as_bytes()).map(|_| ()).unwrap_err()
    };
    assert!(config("10.0.0.1", "1", 64, "{}").contains("socket address"));
    assert!(config("10.0.0.1:1", "x", 64, "{}").contains("seed"));
    assert!(config("10.0.0.1:1", "1", 64, "{}").contains("settings: missing field"));
    assert!(Config::decode(b"{").is_err());
    let limits = |sockets: u32, memory: u32| {
        let text = format!(
            r#"{{"name":"n","listen":"10.0.0.1:1","discovery":"10.0.0.1:1","seed":"1",
            "limits":{{"sockets":{sockets},"memory_mb":{memory}}},"settings":{}}}"#,
            helper::settings(100, "")
        );
        Config::decode(text.as_bytes()).map(|config| config.budgets)
    };
    assert!(limits(30, 192).is_err() && limits(1024, 7).is_err());
    let wide = limits(1024, 192).unwrap();
    assert!(wide.clients + wide.clients / 8 + wide.backends <= 1024 - 16 && wide.idle < wide.backends);
    // Guards against too few places for callers: half as many as descriptors may say nothing for a while.
    assert!(wide.clients > 512 + 1024 / 4);
    let small = limits(256, 32).unwrap();
    // Guards against a small memory that leaves fewer connections than there are callers.
    assert!(small.clients > 128 + 256 / 5 && small.buffer_bytes < wide.buffer_bytes, "{small:?}");
}
