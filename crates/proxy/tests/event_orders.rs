//! A randomized search over orders of events: requests, responses, closes, a drain and SIGTERM, drawn from a
//! seed, arrive in random order while the proxy is stopped, so that its loop finds them in one iteration.
//! Whatever the order, each client gets exactly one response, no at-most-once request runs twice, no attempt
//! starts for a client that has closed, and a draining backend gets no new requests.

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

/// The number of seeds, unless ORDERS_SEEDS sets another.
const SEEDS: u64 = 24;
const CLIENTS: usize = 12;
/// How many requests are in flight at the two backends together; the others are queued.
const IN_FLIGHT: usize = 8;

/// What a backend does with a request that it has read.
#[derive(Clone, Copy, PartialEq)]
enum Reaction {
    Respond,
    Close,
    Reset,
}

#[derive(Default)]
struct BackendState {
    /// The reaction to each request. The others wait, and get a response once `respond_to_all` is set.
    reactions: BTreeMap<String, Reaction>,
    respond_to_all: bool,
    /// The backend and the id of each request, in the order of arrival.
    received: Vec<(usize, String)>,
}

#[derive(Clone, Default)]
struct Backends(Arc<(Mutex<BackendState>, Condvar)>);

impl Backends {
    fn serve(&self, number: usize, listener: &TcpListener) {
        let (listener, backends) = (listener.try_clone().unwrap(), self.clone());
        std::thread::spawn(move || {
            while let Ok((conn, _)) = listener.accept() {
                let backends = backends.clone();
                std::thread::spawn(move || backends.handle_connection(number, conn));
            }
        });
    }

    fn handle_connection(&self, number: usize, mut conn: TcpStream) {
        conn.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        if conn.peek(&mut [0]).unwrap_or(0) == 0 {
            return;
        }
        let (lock, state_changed) = &*self.0;
        let id = request_id(&read_message(&mut conn)).to_string();
        let mut state = lock.lock().unwrap();
        state.received.push((number, id.clone()));
        let reaction = loop {
            match state.reactions.get(&id) {
                Some(reaction) => break *reaction,
                None if state.respond_to_all => break Reaction::Respond,
                None => state = state_changed.wait(state).unwrap(),
            }
        };
        drop(state);
        match reaction {
            // The proxy may have closed the connection because the client has gone.
            Reaction::Respond => {
                let text = response("200 OK", "Connection: close\r\n", &id);
                let _ = std::io::Write::write_all(&mut conn, text.as_bytes());
            }
            Reaction::Close => close(conn),
            Reaction::Reset => socket2::SockRef::from(&conn).set_linger(Some(Duration::ZERO)).unwrap(),
        }
    }

    fn update(&self, change: impl FnOnce(&mut BackendState)) {
        change(&mut self.0 .0.lock().unwrap());
        self.0 .1.notify_all();
    }

    fn received(&self) -> Vec<(usize, String)> {
        self.0 .0.lock().unwrap().received.clone()
    }
}

struct Client {
    stream: Option<TcpStream>,
    id: String,
    at_most_once: bool,
}

impl Client {
    fn send(proxy: &Proxy, rng: &mut Rand32) -> Client {
        let at_most_once = rng.rand_range(0..2) == 0;
        let text = if at_most_once { request("POST", "/write", "30") } else { request("GET", "/read", "30") };
        Client { stream: Some(send_request(proxy, &text)), id: request_id(&text).to_string(), at_most_once }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The client closes; its request is queued or in flight.
    ClientCloses(usize),
    /// The backend of this client's request responds, closes or resets.
    AttemptEnds(usize),
    BackendDrains,
    RequestArrives,
    Sigterm,
}

fn check_seed(seed: u64) {
    let mut rng = Rand32::new(seed);
    let (listeners, backends) = ([backend(), backend()], Backends::default());
    let proxy = Proxy::start_with(&[&listeners[0], &listeners[1]], 1024, &settings(20_000, ""));
    let mut list_request = accept(&proxy.discovery);
    read_message(&mut list_request);
    (0..2).for_each(|number| backends.serve(number, &listeners[number]));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| Client::send(&proxy, &mut rng)).collect();
    while counter(&proxy, "taken") < CLIENTS as u64 {}
    while backends.received().len() < IN_FLIGHT {}
    let in_flight: Vec<String> = backends.received().into_iter().map(|(_, id)| id).collect();
    let client_index = |id: &String| clients.iter().position(|client| client.id == *id).unwrap();
    let in_flight: Vec<usize> = in_flight.iter().map(client_index).collect();

    let mut steps = vec![Step::BackendDrains, Step::RequestArrives, Step::RequestArrives];
    steps.extend((0..CLIENTS).filter(|_| rng.rand_range(0..3) == 0).map(Step::ClientCloses));
    steps.extend(
        in_flight.iter().filter(|_| rng.rand_range(0..2) == 0).map(|index| Step::AttemptEnds(*index)),
    );
    steps.extend((rng.rand_range(0..3) == 0).then_some(Step::Sigterm));
    for index in (1..steps.len()).rev() {
        steps.swap(index, rng.rand_range(0..index as u32 + 1) as usize);
    }
    let (mut closed, mut terminated) = (Vec::new(), false);
    proxy.pause();
    for step in &steps {
        match *step {
            Step::ClientCloses(client_index) => {
                close(clients[client_index].stream.take().unwrap());
                closed.push(client_index);
            }
            Step::AttemptEnds(client_index) => {
                let reaction = [Reaction::Respond, Reaction::Respond, Reaction::Close, Reaction::Reset]
                    [rng.rand_range(0..4) as usize];
                let id = clients[client_index].id.clone();
                backends.update(|state| {
                    state.reactions.insert(id, reaction);
                });
                // The backend's thread should have acted before the next step, as far as possible.
                std::thread::sleep(Duration::from_millis(1));
            }
            Step::BackendDrains => {
                let address = listeners[0].local_addr().unwrap();
                let host = format!(r#"{{"host":"h0","dial":"{address}","site":"a","health":"Terminating"}}"#);
                let list = format!(r#"{{"seq":5,"whole":false,"hosts":[{host}]}}"#);
                write(&mut list_request, &response("200 OK", "", &list));
            }
            Step::RequestArrives => clients.push(Client::send(&proxy, &mut rng)),
            Step::Sigterm => {
                proxy.signal("-TERM");
                terminated = true;
            }
        }
    }
    let received_before = backends.received().len();
    proxy.resume();
    read_message(&mut list_request); // the list is applied
    backends.update(|state| state.respond_to_all = true);
    let case = format!("seed {seed}: {steps:?}");
    for client in &mut clients {
        let Some(mut stream) = client.stream.take() else { continue };
        let mut received = Vec::new();
        stream.read_to_end(&mut received).unwrap();
        let text = String::from_utf8(received).unwrap();
        let expected_status_lines = ["200", "502", "503"].map(|status| format!("HTTP/1.1 {status} "));
        assert!(
            expected_status_lines.iter().any(|status_line| text.starts_with(status_line)),
            "one response: {text:?}, {case}"
        );
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "no second response: {text:?}, {case}");
        assert!(
            !text.starts_with("HTTP/1.1 200") || text.ends_with(&client.id),
            "the response to its own request: {text:?}, {case}"
        );
    }
    if !terminated {
        // The drain has taken effect: further requests go to the other backend.
        let count_before = backends.received().len();
        (0..6).for_each(|_| drop(helper::fetch(&proxy.address, &request("GET", "/read", "30"))));
        assert!(
            backends.received()[count_before..].iter().all(|(number, _)| *number == 1),
            "no request to the draining backend: {case}"
        );
    }
    let received = backends.received();
    for client in &clients {
        let times = received.iter().filter(|(_, id)| *id == client.id).count();
        assert!(
            !client.at_most_once || times <= 1,
            "{} runs of at-most-once request {}: {case}",
            times,
            client.id
        );
    }
    for client_index in closed {
        let started = received[received_before..].iter().any(|(_, id)| *id == clients[client_index].id);
        assert!(!started, "no attempt starts for client {client_index}, which has closed: {case}");
    }
}

#[test]
fn each_client_gets_one_response_in_any_order_of_events() {
    let seeds = std::env::var("ORDERS_SEEDS").map_or(SEEDS, |seeds| seeds.parse().unwrap());
    (1..=seeds).for_each(check_seed);
}
