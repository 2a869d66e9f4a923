//! A long request of a numbered class is reset after it has begun to run. Its repeat goes to a backend of the same group
//! that takes some seconds to read it, so that its last byte comes after the group has forgotten the first one.

#[path = "../common-2/mod.rs"]
mod common;

use common::{answer, ms, Agent, Client, Host, Proxy, Reader, Run};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: u32 = 12;
const BODY_BYTES: usize = 300_000;
/// The group drops a repeat for so long.
const WINDOW: f64 = 1.5;
/// What each time limit is longer by on sockets.
const SLACK: f64 = 0.05;
/// The slow backends take this long to read a whole body.
const READ_TIME: Duration = Duration::from_millis(2_600);

/// What the backends of the group remember and have run.
#[derive(Default)]
struct Group {
    /// When each request began to run last.
    remembered: HashMap<String, f64>,
    /// Each run: the request, the backend, and when it began.
    runs: Vec<(String, u8, f64)>,
}

/// Reads a request; a slow backend reads its body in even pieces.
fn read_request(reader: &mut Reader, slow: bool) -> std::io::Result<common::Message> {
    let until = Instant::now() + ms(100_000);
    loop {
        if let Some((mut message, head)) = reader.peek_head() {
            let length: usize = message.header("content-length").parse().unwrap_or(0);
            let pieces = (length / 15_000).max(1) as u32;
            while reader.buffer.len() < head + length {
                if slow {
                    thread::sleep(READ_TIME / pieces);
                }
                if !reader.read_more(until)? {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = reader.buffer[head..head + length].to_vec();
            reader.buffer.drain(..head + length);
            return Ok(message);
        }
        if !reader.read_more(until)? {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn backend(run: &Run, group: &Mutex<Group>, number: u8, stream: TcpStream) {
    // s-1 loses its connections under requests; the others take seconds to read.
    let (resets, slow) = (run.trouble && number == 1, number != 1);
    let mut reader = Reader::new(stream);
    while let Ok(request) = read_request(&mut reader, slow) {
        let (id, at) = (request.header("request-id").to_string(), run.now());
        {
            let mut group = group.lock().unwrap();
            let first = group.remembered.get(&id).copied();
            if first.is_some_and(|first| at < first + WINDOW) {
                run.note(&format!("s-{number}: repeat of {id} dropped"));
            } else {
                run.note(&format!("s-{number}: {id} runs, {} bytes", request.body.len()));
                group.remembered.insert(id.clone(), at);
                group.runs.push((id.clone(), number, at));
            }
        }
        thread::sleep(ms(80));
        if resets {
            run.note(&format!("s-{number}: connection of {id} reset"));
            return common::reset_on_close(&reader.stream);
        }
        if reader.stream.write_all(&answer("200 OK", "", &id)).is_err() {
            return;
        }
    }
}

fn main() {
    let run = Run::begin("slow-repeat");
    let group = Arc::new(Mutex::new(Group::default()));
    let mut hosts = Vec::new();
    for number in 1..=3 {
        let listener = common::backend_listener(number);
        common::set_receive_buffer(&listener, 16 * 1024);
        hosts.push(Host::new(&format!("s-{number}"), listener.local_addr().unwrap()));
        let (run, group) = (run.clone(), group.clone());
        common::serve(listener, move |stream| backend(&run, &group, number, stream));
    }
    let agent = Agent::start(&run, &hosts);
    let numbered = r#","lateValue":0.2,"group":"cell","windowMs":1500.0"#;
    let settings = common::settings(&common::tariff("place-hold", 1500, 4000, "token", numbered), "");
    let proxy = Proxy::start(&run, agent.address, &agent.known(), &settings);
    let clients: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let (run, listen) = (run.clone(), proxy.listen);
            thread::sleep(ms(700));
            thread::spawn(move || {
                let head = format!(
                    "POST /place-hold HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: hold-{number}\r\nRequest-Class: place-hold\r\nRequest-Timeout: 4.0\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
                );
                run.note(&format!("client: sends hold-{number}"));
                let message = [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat();
                let answered = Client::connect(listen).and_then(|mut client| {
                    client.send(&message)?;
                    client.receive(ms(9_000))
                });
                run.note(&format!("client: hold-{number} -> {:?}", answered.map(|answer| answer.status)));
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(ms(1_000));
    proxy.end(&run);
    let runs = std::mem::take(&mut group.lock().unwrap().runs);
    let mut twice = 0;
    for number in 1..=REQUESTS {
        let id = format!("hold-{number}");
        let times: Vec<f64> = runs.iter().filter(|(other, ..)| *other == id).map(|(_, _, at)| *at).collect();
        if let [first, second, ..] = times[..] {
            run.note(&format!("{id} ran {} times, the second {:.2} s after the first", times.len(), second - first));
            twice += u32::from(second - first > WINDOW + SLACK);
        }
    }
    run.finish(twice > 0, &format!("{twice} of {REQUESTS} requests ran twice, {WINDOW} s or more apart"))
}
