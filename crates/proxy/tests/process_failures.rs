//! Signals, waits, files and the start of the process under transient failures of system calls.

mod helper;

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use helper::shim::{errno, Fault, Shim, SystemCall};
use helper::{accept, backend, keep_alive_request, read_message, response, serve, settings, write, Proxy};

/// Guards against a signal that is not handled until some other event wakes the event loop.
#[test]
fn a_signal_is_handled_although_its_handler_cannot_wake_the_event_loop() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    serve(listener);
    let mut client = proxy.connect();
    write(&mut client, &keep_alive_request("GET", "/read"));
    assert!(read_message(&mut client).ends_with("fine"));
    shim.inject(Fault::with_error(SystemCall::SignalWake, errno::ENOBUFS, 100));
    let start = Instant::now();
    proxy.signal("-TERM");
    proxy.wait_for_log("signal=15");
    assert!(start.elapsed() < Duration::from_millis(100), "handled after {:?}", start.elapsed());
    assert!(shim.hits(SystemCall::SignalWake) > 0);
    drop(client);
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// Guards against losing a new configuration because its file could not be read at the time of the signal.
#[test]
fn a_new_configuration_is_read_once_its_file_is_readable() {
    let failures = [
        (SystemCall::FileOpen, errno::EMFILE),
        (SystemCall::FileOpen, errno::ENFILE),
        (SystemCall::FileOpen, errno::EIO),
        (SystemCall::FileOpen, errno::ENOMEM),
        (SystemCall::FileRead, errno::EIO),
        (SystemCall::FileRead, errno::ENOMEM),
    ];
    for (call, error) in failures {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
        let agent = backend();
        shim.inject(Fault::with_error(call, error, 5));
        proxy.switch_agent(&agent);
        let start = Instant::now();
        read_message(&mut accept(&agent));
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{call:?} error {error}: after {:?}",
            start.elapsed()
        );
        assert!(shim.hits(call) > 0, "{call:?}");
    }
}

/// Guards against a process that does not start because one call failed during its startup.
#[test]
fn the_proxy_starts_despite_a_transient_failure() {
    let failures = [
        (SystemCall::FileOpen, errno::ENFILE),
        (SystemCall::FileOpen, errno::EIO),
        (SystemCall::FileRead, errno::EIO),
        (SystemCall::Socket, errno::ENFILE),
        (SystemCall::Socket, errno::ENOBUFS),
        (SystemCall::EpollAdd, errno::ENOMEM),
    ];
    for (call, error) in failures {
        let listener = backend();
        let fault = Fault::with_error(call, error, 2);
        let (proxy, shim) = Shim::start_failing(&[&listener], &settings(500, ""), &[fault]);
        serve(listener);
        assert!(
            proxy.fetch(&helper::request("GET", "/read", "1")).ends_with("fine"),
            "{call:?} error {error}"
        );
        assert!(shim.hits(call) > 0, "{call:?}");
    }
}

/// Guards against deadlines and waits that follow the wall clock.
#[test]
fn steps_of_the_wall_clock_do_not_move_deadlines() {
    for step in [3_600_000, -3_600_000, 5_000, -5_000] {
        let listener = backend();
        let (proxy, shim) = Shim::start(&[&listener], &settings(400, ""));
        let mut client = proxy.connect();
        let start = Instant::now();
        write(&mut client, &helper::request("POST", "/write", "0.5"));
        let mut conn = accept(&listener);
        read_message(&mut conn);
        shim.step_wall_clock(step);
        let reply = read_message(&mut client);
        let elapsed = start.elapsed();
        assert!(reply.starts_with("HTTP/1.1 50"), "step {step}: {reply:?}");
        let on_time = elapsed > Duration::from_millis(350) && elapsed < Duration::from_millis(550);
        assert!(on_time, "step {step}: answered after {elapsed:?}");
    }
}

/// Guards against the process exiting because one epoll_wait(2) failed.
#[test]
fn a_failed_wait_does_not_end_the_process() {
    let listener = backend();
    let (proxy, shim) = Shim::start(&[&listener], &settings(500, ""));
    let mut client = proxy.connect();
    shim.inject(Fault::with_error(SystemCall::EpollWait, errno::ENOMEM, 20));
    write(&mut client, &keep_alive_request("GET", "/read"));
    let mut conn = accept(&listener);
    read_message(&mut conn);
    write(&mut conn, &response("200 OK", "", "fine"));
    assert!(read_message(&mut client).ends_with("fine"));
    // After all 20 have failed, the proxy still serves.
    shim.wait_for_hits(SystemCall::EpollWait, 20);
    write(&mut client, &keep_alive_request("GET", "/read"));
    read_message(&mut conn);
    write(&mut conn, &response("200 OK", "", "fine"));
    assert!(read_message(&mut client).ends_with("fine"));
}

/// Guards against losing a configuration because the signal came while its file was being written.
#[test]
fn a_half_written_configuration_is_read_again_until_it_is_complete() {
    let listener = backend();
    let (proxy, _shim) = Shim::start(&[&listener], &settings(500, ""));
    let agent = backend();
    let full_config = proxy.write_truncated_config(&agent);
    proxy.signal("-HUP");
    proxy.wait_for_log("configuration kept as it was");
    std::thread::sleep(Duration::from_millis(300));
    proxy.write_config(&full_config);
    let start = Instant::now();
    read_message(&mut accept(&agent));
    assert!(start.elapsed() < Duration::from_secs(1), "after {:?}", start.elapsed());
}

/// Guards against a process that does not start because another one has not yet released its address.
#[test]
fn the_proxy_starts_once_its_address_is_free() {
    let listener = backend();
    let occupant = backend();
    let address = occupant.local_addr().unwrap();
    let addresses = format!(r#""listen":"{address}""#);
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(700));
        drop(occupant);
    });
    let proxy = Proxy::start_at(&[&listener], &addresses);
    serve(listener);
    assert!(proxy.fetch(&helper::request("GET", "/read", "1")).ends_with("fine"));
}

/// Guards against requests being blocked by writes to a log that nobody reads.
#[test]
fn a_log_that_nobody_reads_does_not_block_requests() {
    let listener = backend();
    let (text, _discovery) =
        helper::config(&[&listener], 1024, &settings(500, ""), r#""listen":"127.0.0.1:0""#);
    let path = helper::new_config_path();
    let (child, _) = helper::spawn_proxy(&text, 1024, &path, &[("SPARLUG_LOG", "trace")]);
    let mut child = helper::KillOnDrop(child);
    let mut log = BufReader::new(child.0.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains(" listen=") {
        line.clear();
        log.read_line(&mut line).unwrap();
    }
    let address = line.split(" listen=").nth(1).unwrap().trim().to_string();
    serve(listener);
    // From here on nobody reads the log; its pipe is full after 64 KiB.
    let mut client = std::net::TcpStream::connect(&address).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    for number in 0..1_000 {
        write(&mut client, &keep_alive_request("GET", "/read"));
        assert_eq!(client.peek(&mut [0]).ok(), Some(1), "request {number} is not answered");
        assert!(read_message(&mut client).ends_with("fine"));
    }
    // Once the log is read again, it continues and reports the number of lines that were left out.
    let (sender, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
    let start = Instant::now();
    let counters = loop {
        send_signal(&child.0, "-USR1");
        std::thread::sleep(Duration::from_millis(50));
        let counters = lines.try_iter().filter(|line| line.contains("log_lines_left_out=")).last();
        if let Some(counters) = counters {
            break counters;
        }
        assert!(start.elapsed() < Duration::from_secs(5), "the log does not continue");
    };
    assert!(!counters.contains("log_lines_left_out=0 "), "{counters}");
}

fn send_signal(child: &std::process::Child, signal: &str) {
    let pid = child.id().to_string();
    assert!(std::process::Command::new("kill").args([signal, &pid]).status().unwrap().success());
}
