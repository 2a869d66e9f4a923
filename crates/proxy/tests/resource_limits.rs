//! The limits of memory and descriptors, and requests of usual clients on new connections, while hundreds of other
//! clients write slowly, stop half way, read slowly or say nothing. The proxy has the least memory that operators
//! give one, and 1,024 descriptors, in its settings and from the system.

mod helper;

use std::net::TcpListener;
use std::time::Duration;

use helper::backend;
use helper::crowd::texts::{
    half_a_body_of_short_chunks, half_of_4_mb, half_of_60_kb, half_of_90_kb, head_of_short_fields,
    head_of_too_many_fields, nothing, request_of_an_answer_of_1_mb, request_of_an_answer_of_60_kb,
    upload_of_2_mb,
};
use helper::crowd::{
    observe, one_at_a_time, sound_backend, start_small_proxy, Behaviour, Crowd, DESCRIPTORS, FULL_SPEED,
};

const BACKENDS: usize = 4;
const CROWD_TIME: Duration = Duration::from_millis(6_000);
const LARGE_BODY_PACE: usize = 64 * 1024; // bytes a second, the slowest of a sound client

/// Lets a crowd of these clients loose on a proxy of this many descriptors and checks the limits and usual clients.
fn check_crowd(case: &str, descriptors: usize, behaviours: Vec<Behaviour>) {
    let _turn = one_at_a_time();
    let listeners: Vec<TcpListener> = (0..BACKENDS).map(|_| backend()).collect();
    let proxy = start_small_proxy(&listeners.iter().collect::<Vec<_>>(), descriptors);
    listeners.into_iter().for_each(sound_backend);
    let crowd = Crowd::start(&proxy.address, behaviours);
    let observation = observe(&proxy, CROWD_TIME);
    crowd.stop();
    observation.check(case, descriptors);
}

#[test]
fn memory_passes_its_limit_beside_bodies_of_short_chunks_that_stop() {
    let crowd = vec![Behaviour::writing(half_a_body_of_short_chunks, FULL_SPEED); 600];
    check_crowd("short chunks", DESCRIPTORS, crowd);
}

#[test]
fn memory_passes_its_limit_beside_long_heads_that_stop() {
    check_crowd("long heads", DESCRIPTORS, vec![Behaviour::writing(head_of_short_fields, FULL_SPEED); 850]);
    check_crowd("many fields", DESCRIPTORS, vec![Behaviour::writing(head_of_too_many_fields, 40_000); 700]);
}

#[test]
fn descriptors_pass_their_limit_beside_uploads_that_stop() {
    for (case, text) in [("half of 90 kB", half_of_90_kb as fn() -> Vec<u8>), ("half of 4 MB", half_of_4_mb)]
    {
        check_crowd(case, DESCRIPTORS, vec![Behaviour::writing(text, FULL_SPEED); 700]);
    }
}

#[test]
fn descriptors_pass_their_limit_beside_slow_uploads() {
    check_crowd("2 MB slowly", DESCRIPTORS, vec![Behaviour::writing(upload_of_2_mb, LARGE_BODY_PACE); 700]);
}

#[test]
fn descriptors_pass_a_limit_of_256_beside_slow_uploads() {
    check_crowd("2 MB slowly, 256", 256, vec![Behaviour::writing(upload_of_2_mb, LARGE_BODY_PACE); 200]);
}

#[test]
fn requests_wait_behind_connections_that_say_nothing() {
    check_crowd("silent", DESCRIPTORS, vec![Behaviour::writing(nothing, FULL_SPEED); 1_500]);
}

#[test]
fn memory_passes_its_limit_beside_answers_that_are_read_slowly() {
    let slow_readers = |text| vec![Behaviour::reading(text, 8 * 1024); 700];
    check_crowd("answers of 60 kB", DESCRIPTORS, slow_readers(request_of_an_answer_of_60_kb));
    check_crowd("answers of 1 MB", DESCRIPTORS, slow_readers(request_of_an_answer_of_1_mb));
}

#[test]
fn limits_are_passed_beside_a_crowd_of_all_kinds() {
    let kinds = [
        Behaviour::writing(half_a_body_of_short_chunks, FULL_SPEED),
        Behaviour::writing(half_of_90_kb, FULL_SPEED),
        Behaviour::writing(half_of_60_kb, LARGE_BODY_PACE),
        Behaviour::writing(upload_of_2_mb, LARGE_BODY_PACE),
        Behaviour::writing(head_of_short_fields, FULL_SPEED),
        Behaviour::reading(request_of_an_answer_of_1_mb, 8 * 1024),
        Behaviour::writing(nothing, FULL_SPEED),
    ];
    check_crowd("all kinds", DESCRIPTORS, kinds.iter().cycle().take(900).cloned().collect());
}
