//! Tests of what is known of a client's presence.

use super::*;

fn at(ms: i64) -> Time {
    Time::ORIGIN + Span::from_millis(ms)
}

#[test]
fn client_is_stale_some_time_after_it_was_last_seen() {
    let mut presence = Presence::new(at(0));
    assert!(!presence.is_stale(true, at(50)) && presence.is_stale(true, at(51)));
    presence.record_seen(at(100));
    assert!(!presence.is_stale(true, at(150)) && presence.is_stale(true, at(151)));
}

#[test]
fn client_that_does_not_reset_a_response_was_there() {
    let mut presence = Presence::new(at(0));
    presence.record_response(at(300));
    assert!(!presence.is_stale(true, at(300)), "acknowledged");
    assert_eq!(presence.reset_awaited_until(true, at(300)), None);
    assert!(presence.is_stale(false, at(319)), "a reset may still come");
    assert_eq!(presence.reset_awaited_until(false, at(319)), Some(at(320)));
    assert!(!presence.is_stale(false, at(320)), "no reset has come");
    assert!(presence.is_stale(false, at(351)));
}
