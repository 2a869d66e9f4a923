//! Unit tests that need no proxy process: slots, deadlines, connect time-outs, attempt results, backend
//! lists, buffered streams and configurations.

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
fn stale_event_finds_nothing_in_a_reused_slot() {
    let mut slots: Slots<ClientTag, &str> = Slots::default();
    let first = slots.insert_with(|_| Some("first")).unwrap();
    let token = Owner::Client(first).token();
    slots.remove(first);
    let second = slots.insert_with(|_| Some("second")).unwrap();
    let Owner::Client(stale) = Owner::from_token(token) else { panic!("another owner") };
    assert!(slots.get(stale).is_none() && slots.remove(stale).is_none());
    assert_eq!(slots.get(second), Some(&"second"));
    // Guards against a limit of 4,096 slots, which an earlier version had.
    let many: Vec<_> = (0..20_000).map(|_| slots.insert_with(|_| Some("more")).unwrap()).collect();
    assert!(many.iter().all(|slot| Owner::from_token(Owner::Client(*slot).token()) == Owner::Client(*slot)));
    assert_eq!((slots.count(), slots.get(second)), (20_001, Some(&"second")));
}

#[test]
fn deadlines_expire_in_order_and_new_ones_wait_for_the_next_iteration() {
    let mut deadlines = Deadlines::default();
    let at = |ms| Time::ORIGIN + Span::from_millis(ms);
    deadlines.set(at(2), "late");
    let cancelled = deadlines.set(at(1), "cancelled");
    deadlines.set(at(1), "early");
    deadlines.cancel(Some(cancelled));
    assert_eq!(deadlines.time_to_next(Time::ORIGIN).unwrap().as_millis(), 1);
    let last_sequence = deadlines.last_sequence();
    assert_eq!(deadlines.pop_due(at(2), last_sequence), Some("early"));
    // Guards against a deadline that is set again at once each time, so that the sockets are never polled.
    deadlines.set(at(0), "again");
    assert_eq!(deadlines.pop_due(at(2), last_sequence), None);
    assert_eq!(deadlines.pop_due(at(2), last_sequence + 1), Some("again"));
    assert_eq!(deadlines.pop_due(at(1), last_sequence + 1), None);
}

/// Guards against waiting the full connect time-out at each of many backends that fail together.
#[test]
fn connect_timeout_follows_observed_connect_times() {
    let (ms, mut connect_timeout) = (|ms| Span::from_millis(ms), ConnectTimeout::new(Span::from_millis(100)));
    let (mut near, mut far) = (ConnectHistory::default(), ConnectHistory::default());
    assert_eq!(connect_timeout.timeout_for(&near), ms(100), "no connect time is known yet");
    (0..50).for_each(|_| connect_timeout.record_success(&mut near, ms(1)));
    assert_eq!(connect_timeout.timeout_for(&far), ms(10), "at least a tenth");
    // A backend that takes forty times as long is reached all the same, and then gets the time that it needs.
    while connect_timeout.timeout_for(&far) < ms(40) {
        connect_timeout.record_timeout(&mut far);
    }
    connect_timeout.record_success(&mut far, ms(40));
    (0..50).for_each(|_| connect_timeout.record_success(&mut near, ms(1)));
    assert!(connect_timeout.timeout_for(&far) > ms(80) && connect_timeout.timeout_for(&near) < ms(20));
    (0..99).for_each(|_| connect_timeout.record_timeout(&mut far));
    assert_eq!(connect_timeout.timeout_for(&far), ms(100), "never longer than the configured time-out");
}

#[test]
fn only_conclusive_results_say_that_an_attempt_has_not_run() {
    let answered = |status, not_started| AttemptResult::Answered { status, not_started };
    let not_run = [
        AttemptResult::Refused,
        AttemptResult::NeverUp,
        AttemptResult::BrokeBefore,
        AttemptResult::OutOfTime { written: false },
        AttemptResult::CalledOff { written: false },
        AttemptResult::Withdrawn,
        AttemptResult::KeptBroke { written: false },
        AttemptResult::NotDelivered { written: false },
        AttemptResult::NoRoom,
        AttemptResult::ClientUnseen,
        AttemptResult::TooLate,
        answered(503, true),
        answered(504, true),
    ];
    let may_have_run = [
        AttemptResult::BrokeAfter,
        AttemptResult::CutShort,
        AttemptResult::KeptBroke { written: true },
        AttemptResult::NotDelivered { written: true },
        AttemptResult::Garbled,
        AttemptResult::OutOfTime { written: true },
        AttemptResult::CalledOff { written: true },
        answered(503, false),
        answered(504, false),
        answered(500, true),
        answered(404, false),
    ];
    let default_settings = Settings::for_classes(Vec::new());
    let ran = |result: &AttemptResult| result.outcome().may_have_run(&default_settings);
    assert!(!not_run.iter().any(ran));
    assert!(may_have_run.iter().all(ran));
    assert_eq!(answered(200, false).outcome(), Outcome::Served);
    // Guards against ejecting backends for failures caused by a client, the list or the proxy itself.
    let called_off = [true, false].map(|written| AttemptResult::CalledOff { written });
    let neutral =
        [AttemptResult::Withdrawn, AttemptResult::NoRoom, AttemptResult::OutOfTime { written: false }];
    assert!(neutral
        .iter()
        .chain(&called_off)
        .chain(&[answered(400, false)])
        .all(|result| result.outcome().is_neutral()));
    let backend_failures = [
        AttemptResult::Refused,
        AttemptResult::NeverUp,
        AttemptResult::Garbled,
        answered(500, false),
        answered(429, false),
    ];
    assert!(!backend_failures.iter().any(|result| result.outcome().is_neutral()));
}

#[test]
fn backend_id_depends_on_the_host_and_not_on_its_address() {
    let list = |address: &str, health: &str| {
        let host = format!(
            r#"{{"host":"s-1","dial":"{address}","site":"b","block":3,"health":"{health}","born_ms":5}}"#
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
fn unwritten_bytes_are_buffered_and_written_later() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = mio::Poll::new().unwrap();
    let mut stream =
        BufferedStream::connect_to(listener.local_addr().unwrap(), poll.registry(), mio::Token(0)).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    while !stream.is_established().unwrap() {}
    let sent: Vec<u8> = (0..32_000_000_u32).map(|index| (index % 251) as u8).collect();
    stream.queue(&sent);
    assert!(!stream.flush().unwrap(), "more than the kernel's buffers take");
    let reader = std::thread::spawn(move || {
        let mut read = Vec::new();
        peer.read_to_end(&mut read).map(|_| read)
    });
    while !stream.flush().unwrap() {}
    stream.shutdown_write();
    assert!(reader.join().unwrap().unwrap() == sent);
}

#[test]
fn invalid_configuration_gives_a_reason() {
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
    let large = limits(1024, 192).unwrap();
    assert!(large.clients + large.clients / 8 + large.backends <= 1024 - 16 && large.idle < large.backends);
    // Guards against too little capacity for clients: as many as half of the descriptors may be silent for a
    // while.
    assert!(large.clients > 512 + 1024 / 4);
    let small = limits(256, 32).unwrap();
    // Guards against a memory limit so small that there are fewer connections than clients.
    assert!(small.clients > 128 + 256 / 5 && small.heap_bytes < large.heap_bytes, "{small:?}");
}
