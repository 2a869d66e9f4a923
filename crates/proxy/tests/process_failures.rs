//! Signals, waits, files and the start of the process while system calls fail for a moment.

mod helper;

use std::time::{Duration, Instant};

use helper::shim::{errno, Call, Fault, Shim};
use helper::{accept, answer, backend, kept, message, serve, settings, write};

/// Guards against a signal that is not heard until something else wakes the loop.
#[test]
fn a_signal_is_heard_though_its_handler_cannot_wake_the_loop() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    serve(listener);
    let mut client = proxy.connect();
    write(&mut client, &kept("GET", "/read"));
    assert!(message(&mut client).ends_with("fine"));
    shim.fail(Fault::of(Call::SignalWake, errno::ENOBUFS, 100));
    let start = Instant::now();
    proxy.signal("-TERM");
    proxy.logged("signal=15");
    assert!(start.elapsed() < Duration::from_millis(100), "heard after {:?}", start.elapsed());
    assert!(shim.hits(Call::SignalWake) > 0);
    drop(client);
    assert_eq!(proxy.end(), Some(0));
}

/// Guards against a new configuration that is lost because its file could not be read in the moment of the signal.
#[test]
fn a_new_configuration_is_read_once_its_file_can_be() {
    let failures = [
        (Call::FileOpen, errno::EMFILE),
        (Call::FileOpen, errno::ENFILE),
        (Call::FileOpen, errno::EIO),
        (Call::FileOpen, errno::ENOMEM),
        (Call::FileRead, errno::EIO),
        (Call::FileRead, errno::ENOMEM),
    ];
    for (call, error) in failures {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
        let agent = backend();
        shim.fail(Fault::of(call, error, 5));
        proxy.move_to(&agent);
        let start = Instant::now();
        message(&mut accept(&agent));
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{call:?} error {error}: after {:?}",
            start.elapsed()
        );
        assert!(shim.hits(call) > 0, "{call:?}");
    }
}

/// Guards against a process that does not come up because one call failed in its first moment.
#[test]
fn it_starts_though_a_call_fails_for_a_moment() {
    let failures = [
        (Call::FileOpen, errno::ENFILE),
        (Call::FileOpen, errno::EIO),
        (Call::FileRead, errno::EIO),
        (Call::Socket, errno::ENFILE),
        (Call::Socket, errno::ENOBUFS),
        (Call::EpollAdd, errno::ENOMEM),
    ];
    for (call, error) in failures {
        let listener = backend();
        let fault = Fault::of(call, error, 2);
        let (proxy, shim) = Shim::start_failing(&[&listener], &settings(500, ""), &[fault]);
        serve(listener);
        assert!(proxy.ask(&helper::request("GET", "/read", "1")).ends_with("fine"), "{call:?} error {error}");
        assert!(shim.hits(call) > 0, "{call:?}");
    }
}

/// Guards against deadlines and waits that follow the wall clock.
#[test]
fn steps_of_the_wall_clock_move_no_deadline() {
    for step in [3_600_000, -3_600_000, 5_000, -5_000] {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(400, ""));
        let mut client = proxy.connect();
        let start = Instant::now();
        write(&mut client, &helper::request("POST", "/write", "0.5"));
        let mut conn = accept(&listener);
        message(&mut conn);
        shim.step_wall_clock(step);
        let answered = message(&mut client);
        let took = start.elapsed();
        assert!(answered.starts_with("HTTP/1.1 50"), "step {step}: {answered:?}");
        let fits = took > Duration::from_millis(350) && took < Duration::from_millis(550);
        assert!(fits, "step {step}: answered after {took:?}");
    }
}

/// Guards against the end of the process by one wait that failed.
#[test]
fn a_wait_that_fails_ends_nothing() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    let mut client = proxy.connect();
    shim.fail(Fault::of(Call::EpollWait, errno::ENOMEM, 20));
    write(&mut client, &kept("GET", "/read"));
    let mut conn = accept(&listener);
    message(&mut conn);
    write(&mut conn, &answer("200 OK", "", "fine"));
    assert!(message(&mut client).ends_with("fine"));
    assert_eq!(shim.hits(Call::EpollWait), 20);
}
