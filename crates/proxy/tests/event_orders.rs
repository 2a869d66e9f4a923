//! A search over orders: what ends and what begins, drawn from a seed, comes while the loop stands still, in any order,
//! and is found in one turn. Whatever the order, nobody gets two answers or none, nothing that may run once runs twice,
//! nothing begins for a client that is gone, and nothing new goes to a backend that drains.

mod helper;

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use helper::{
    accept, backend, close, counter, read_message, request, request_id, response, send_request, settings,
    write, Proxy,
};
use oorandom::Rand32;

/// By ORDERS_SEEDS more are played.
const SEEDS: u64 = 24;
const CLIENTS: usize = 12;
/// So many are on their way at two backends; the rest wait.
const OUT: usize = 8;

/// What a backend is to do about a request that it has read.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    Answer,
    Close,
    Reset,
}

#[derive(Default)]
struct Said {
    /// For each request what is to be done; for those that are not named once `free`.
    of: BTreeMap<String, Then>,
    free: bool,
    /// Which request came to which backend, in their order.
    seen: Vec<(usize, String)>,
}

#[derive(Clone, Default)]
struct Backends(Arc<(Mutex<Said>, Condvar)>);

impl Backends {
    fn serve(&self, number: usize, listener: &TcpListener) {
        let (listener, all) = (listener.try_clone().unwrap(), self.clone());
        std::thread::spawn(move || {
            while let Ok((conn, _)) = listener.accept() {
                let all = all.clone();
                std::thread::spawn(move || all.talk(number, conn));
            }
        });
    }

    fn talk(&self, number: usize, mut conn: TcpStream) {
        conn.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        if conn.peek(&mut [0]).unwrap_or(0) == 0 {
            return;
        }
        let (lock, changed) = &*self.0;
        let id = request_id(&read_message(&mut conn)).to_string();
        let mut said = lock.lock().unwrap();
        said.seen.push((number, id.clone()));
        let then = loop {
            match said.of.get(&id) {
                Some(then) => break *then,
                None if said.free => break Then::Answer,
                None => said = changed.wait(said).unwrap(),
            }
        };
        drop(said);
        match then {
            // The client may be gone, and its connection with it.
            Then::Answer => {
                let text = response("200 OK", "Connection: close\r\n", &id);
                let _ = std::io::Write::write_all(&mut conn, text.as_bytes());
            }
            Then::Close => close(conn),
            Then::Reset => socket2::SockRef::from(&conn).set_linger(Some(Duration::ZERO)).unwrap(),
        }
    }

    fn say(&self, change: impl FnOnce(&mut Said)) {
        change(&mut self.0 .0.lock().unwrap());
        self.0 .1.notify_all();
    }

    fn seen(&self) -> Vec<(usize, String)> {
        self.0 .0.lock().unwrap().seen.clone()
    }
}

struct Client {
    stream: Option<TcpStream>,
    id: String,
    once: bool,
}

impl Client {
    fn asks(proxy: &Proxy, rng: &mut Rand32) -> Client {
        let once = rng.rand_range(0..2) == 0;
        let text = if once { request("POST", "/write", "30") } else { request("GET", "/read", "30") };
        Client { stream: Some(send_request(proxy, &text)), id: request_id(&text).to_string(), once }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The client closes; it may wait, or be served just now.
    Gone(usize),
    /// Its backend answers, closes or resets.
    Ends(usize),
    Drains,
    Comes,
    Term,
}

fn play(seed: u64) {
    let mut rng = Rand32::new(seed);
    let (listeners, backends) = ([backend(), backend()], Backends::default());
    let proxy = Proxy::start_with(&[&listeners[0], &listeners[1]], 1024, &settings(20_000, ""));
    let mut call = accept(&proxy.discovery);
    read_message(&mut call);
    (0..2).for_each(|number| backends.serve(number, &listeners[number]));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| Client::asks(&proxy, &mut rng)).collect();
    while counter(&proxy, "taken") < CLIENTS as u64 {}
    while backends.seen().len() < OUT {}
    let out: Vec<String> = backends.seen().into_iter().map(|(_, id)| id).collect();
    let place = |id: &String| clients.iter().position(|client| client.id == *id).unwrap();
    let out: Vec<usize> = out.iter().map(place).collect();

    let mut steps = vec![Step::Drains, Step::Comes, Step::Comes];
    steps.extend((0..CLIENTS).filter(|_| rng.rand_range(0..3) == 0).map(Step::Gone));
    steps.extend(out.iter().filter(|_| rng.rand_range(0..2) == 0).map(|place| Step::Ends(*place)));
    steps.extend((rng.rand_range(0..3) == 0).then_some(Step::Term));
    for at in (1..steps.len()).rev() {
        steps.swap(at, rng.rand_range(0..at as u32 + 1) as usize);
    }
    let (mut gone, mut term) = (Vec::new(), false);
    proxy.pause();
    for step in &steps {
        match *step {
            Step::Gone(place) => {
                close(clients[place].stream.take().unwrap());
                gone.push(place);
            }
            Step::Ends(place) => {
                let then =
                    [Then::Answer, Then::Answer, Then::Close, Then::Reset][rng.rand_range(0..4) as usize];
                let id = clients[place].id.clone();
                backends.say(|said| {
                    said.of.insert(id, then);
                });
                // What a backend's thread does is to be there before the next step, as far as can be.
                std::thread::sleep(Duration::from_millis(1));
            }
            Step::Drains => {
                let dial = listeners[0].local_addr().unwrap();
                let host = format!(r#"{{"host":"h0","dial":"{dial}","site":"a","health":"Terminating"}}"#);
                let list = format!(r#"{{"seq":5,"whole":false,"hosts":[{host}]}}"#);
                write(&mut call, &response("200 OK", "", &list));
            }
            Step::Comes => clients.push(Client::asks(&proxy, &mut rng)),
            Step::Term => {
                proxy.signal("-TERM");
                term = true;
            }
        }
    }
    let before = backends.seen().len();
    proxy.resume();
    read_message(&mut call); // the list is heard
    backends.say(|said| said.free = true);
    let case = format!("seed {seed}: {steps:?}");
    for client in &mut clients {
        let Some(mut stream) = client.stream.take() else { continue };
        let mut all = Vec::new();
        stream.read_to_end(&mut all).unwrap();
        let text = String::from_utf8(all).unwrap();
        let known = ["200", "502", "503"].map(|status| format!("HTTP/1.1 {status} "));
        assert!(known.iter().any(|known| text.starts_with(known)), "one answer: {text:?}, {case}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "and no second one: {text:?}, {case}");
        assert!(!text.starts_with("HTTP/1.1 200") || text.ends_with(&client.id), "its own: {text:?}, {case}");
    }
    if !term {
        // The drain was heard: what comes from here on goes to the other one.
        let from = backends.seen().len();
        (0..6).for_each(|_| drop(helper::fetch(&proxy.address, &request("GET", "/read", "30"))));
        assert!(backends.seen()[from..].iter().all(|(number, _)| *number == 1), "a drain is kept: {case}");
    }
    let seen = backends.seen();
    for client in &clients {
        let times = seen.iter().filter(|(_, id)| *id == client.id).count();
        assert!(!client.once || times <= 1, "{} of {} runs once: {case}", times, client.id);
    }
    for place in gone {
        let begun = seen[before..].iter().any(|(_, id)| *id == clients[place].id);
        assert!(!begun, "nothing begins for client {place}, which is gone: {case}");
    }
}

#[test]
fn whatever_order_things_come_in_everyone_is_served_once() {
    let seeds = std::env::var("ORDERS_SEEDS").map_or(SEEDS, |seeds| seeds.parse().unwrap());
    (1..=seeds).for_each(play);
}
