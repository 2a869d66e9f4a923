//! A backend vanishes, and a new one of another group comes up at its address. For some seconds the list names both. Some
//! connections to the new one are reset under requests of a numbered class that it has begun.

#[path = "../common-2/mod.rs"]
mod common;

use common::{answer, ms, Agent, Client, Host, Proxy, Reader, Run};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A group drops a repeat for so long.
const WINDOW: f64 = 4.0;
const VANISHES_AT: f64 = 5.0;
/// The new backend runs so long after the old one vanished, and is listed so long after that.
const REPLACED_AFTER: f64 = 0.5;
const LISTED_AFTER: f64 = 1.0;
/// The list stops naming the old one so long after it vanished.
const NOTICED_AFTER: f64 = 10.0;
/// Only requests that run later than this after the list named the new one count: the grace of the settings, and 50 ms.
const GRACE: f64 = 0.4 + 0.05;
const CLIENTS: u32 = 8;

/// What each group remembers and the backends have run: group, request, backend, time.
#[derive(Default)]
struct World {
    remembered: HashMap<(u16, String), f64>,
    runs: Vec<(u16, String, &'static str, f64)>,
}

/// A process of a backend: its name, its group, and whether its connections get reset.
struct Process {
    name: &'static str,
    block: u16,
    resets: bool,
    vanished: AtomicBool,
}

fn backend(run: &Run, world: &Mutex<World>, process: &Process, begun: &AtomicU32, stream: TcpStream) {
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message(Instant::now() + ms(120_000)) {
        let (id, at, name) = (request.header("request-id").to_string(), run.now(), process.name);
        if process.vanished.load(Relaxed) {
            // Nobody is there: the connection stays silent until the next process at the address resets it.
            thread::sleep(Duration::from_secs_f64(REPLACED_AFTER));
            return common::reset_on_close(&reader.stream);
        }
        {
            let mut world = world.lock().unwrap();
            let key = (process.block, id.clone());
            if world.remembered.get(&key).is_some_and(|first| at < first + WINDOW) {
                run.note(&format!("{name}, group {}: repeat of {id} dropped", process.block));
            } else {
                run.note(&format!("{name}, group {}: {id} runs", process.block));
                world.remembered.insert(key, at);
                world.runs.push((process.block, id.clone(), name, at));
            }
        }
        thread::sleep(ms(50));
        if process.resets && begun.fetch_add(1, Relaxed) % 4 == 3 {
            run.note(&format!("{name}: connection of {id} reset"));
            return common::reset_on_close(&reader.stream);
        }
        if reader.stream.write_all(&answer("200 OK", "", &id)).is_err() {
            return;
        }
    }
}

fn main() {
    let run = Run::begin("same-address");
    let (world, begun) = (Arc::new(Mutex::new(World::default())), Arc::new(AtomicU32::new(0)));
    let process = |name, block, resets| Arc::new(Process { name, block, resets, vanished: AtomicBool::new(false) });
    let serve = |listener, current: Arc<Mutex<Arc<Process>>>| {
        let (run, world, begun) = (run.clone(), world.clone(), begun.clone());
        common::serve(listener, move |stream| {
            let process = current.lock().unwrap().clone();
            backend(&run, &world, &process, &begun, stream);
        });
    };
    let (mut hosts, mut at_address) = (Vec::new(), Vec::new());
    for (number, (name, block)) in [("s-1", 1), ("s-2", 1), ("s-3", 1), ("s-4", 2), ("s-5", 2)].into_iter().enumerate() {
        let listener = common::backend_listener(number as u8 + 1);
        let address = listener.local_addr().unwrap();
        hosts.push(Host { block, ..Host::new(name, address) });
        let current = Arc::new(Mutex::new(process(name, block, false)));
        at_address.push((address, current.clone()));
        serve(listener, current);
    }
    let agent = Agent::start(&run, &hosts);
    agent.answer_whole_lists();
    let numbered = r#","group":"cell","windowMs":4000.0"#;
    let settings =
        common::settings(&common::tariff("book-slot", 210, 530, "token", numbered), r#","dialTimeoutMs":100.0"#);
    let proxy = Proxy::start(&run, agent.address, &agent.known(), &settings);
    let (listen, stop, numbers) = (proxy.listen, Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(1)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (run, stop, numbers) = (run.clone(), stop.clone(), numbers.clone());
            thread::spawn(move || {
                let mut client = None;
                while !stop.load(Relaxed) {
                    let number = numbers.fetch_add(1, Relaxed);
                    let text = format!(
                        "POST /book-slot HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: b{number}\r\nRequest-Class: book-slot\r\nRequest-Timeout: 0.5\r\nContent-Length: 4\r\n\r\nslot"
                    );
                    let Ok(mut open) = client.take().map_or_else(|| Client::connect(listen), Ok) else { continue };
                    let answered = open.send(text.as_bytes()).and_then(|()| open.receive(ms(1_200)));
                    run.note(&format!("client: b{number} -> {:?}", answered.as_ref().map(|answer| answer.status)));
                    client = answered.is_ok_and(|answer| !answer.has_token("connection", "close")).then_some(open);
                    thread::sleep(ms(60 + u64::from(number * 13 % 41)));
                }
            })
        })
        .collect();
    let wait_until = |at: f64| thread::sleep(Duration::from_secs_f64((at - run.now()).max(0.0)));
    wait_until(VANISHES_AT);
    let (old_address, at_old_address) = &at_address[0];
    at_old_address.lock().unwrap().vanished.store(true, Relaxed);
    run.note("s-1 vanishes");
    wait_until(VANISHES_AT + REPLACED_AFTER);
    let new = process("s-6", 2, true);
    let address = if run.trouble {
        *at_old_address.lock().unwrap() = new;
        *old_address
    } else {
        let listener = common::backend_listener(6);
        let address = listener.local_addr().unwrap();
        serve(listener, Arc::new(Mutex::new(new)));
        address
    };
    run.note(&format!("s-6, group 2, has started at {address}"));
    let born_ms = common::unix_ms();
    wait_until(VANISHES_AT + REPLACED_AFTER + LISTED_AFTER);
    let listed_at = run.now();
    agent.add(Host { block: 2, born_ms, ..Host::new("s-6", address) });
    wait_until(VANISHES_AT + NOTICED_AFTER);
    agent.set_health("s-1", "Gone");
    wait_until(VANISHES_AT + NOTICED_AFTER + 3.0);
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    proxy.end(&run);
    let runs = std::mem::take(&mut world.lock().unwrap().runs);
    let (mut twice, total) = (0, numbers.load(Relaxed) - 1);
    let mut by_id: HashMap<&str, Vec<(&str, u16, f64)>> = HashMap::new();
    for (block, id, name, at) in &runs {
        by_id.entry(id).or_default().push((name, *block, *at));
    }
    for (id, runs) in by_id.iter().filter(|(_, runs)| runs.len() > 1) {
        run.note(&format!("{id} ran {} times (backend, group, time): {runs:?}", runs.len()));
        twice += u32::from(runs[0].2 > listed_at + GRACE);
    }
    run.finish(twice > 0, &format!("{twice} of {total} numbered requests ran twice, in two groups"))
}
