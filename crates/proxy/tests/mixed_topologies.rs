//! Proxies of two topologies before the same backends, as during a migration: a few shared by all clients,
//! and one beside each client (sidecars), which route each key to its home backends and share their
//! observations.

mod helper;

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use helper::{fetch, read_message, response, Proxy};

const BACKEND_COUNT: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(4);
const KEY_COUNT: u64 = 24;

/// A backend that processes one request at a time and records what it ran, and when.
#[derive(Default)]
struct RecordingBackend {
    worker: Mutex<()>,
    in_flight: Mutex<usize>,
    ran: Mutex<Vec<(String, Option<String>, Instant)>>,
    /// Whether it closes each connection without a response once the request has run.
    breaks_off: AtomicBool,
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| Some(line.strip_prefix(name)?.trim().to_string()))
}

impl RecordingBackend {
    fn serve(&self, mut conn: TcpStream) {
        loop {
            let request = read_message(&mut conn);
            let Some(id) = header(&request, "Request-Id:") else { return };
            let arrived = Instant::now();
            *self.in_flight.lock().unwrap() += 1;
            let worker = self.worker.lock().unwrap();
            self.ran.lock().unwrap().push((id, header(&request, "Request-Key:"), arrived));
            std::thread::sleep(SERVICE_TIME);
            drop(worker);
            let in_flight = {
                let mut in_flight = self.in_flight.lock().unwrap();
                *in_flight -= 1;
                *in_flight
            };
            if self.breaks_off.load(Ordering::Relaxed) {
                return;
            }
            let load = format!("Server-Load: TEXT inflight={in_flight}\r\n");
            if conn.write_all(response("200 OK", &load, "ok").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn start() -> (Arc<RecordingBackend>, String) {
        let (listener, backend) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), Arc::new(RecordingBackend::default()));
        let address = listener.local_addr().unwrap().to_string();
        let serving = backend.clone();
        std::thread::spawn(move || {
            for conn in listener.incoming().map_while(Result::ok) {
                conn.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(conn));
            }
        });
        (backend, address)
    }
}

/// The configuration of one proxy before these backends, of which the first drains if `drains` is set.
fn config(backends: &[String], drains: bool, tier: &str, more: &str) -> String {
    let mut text = String::from("name = \"m\"\n[[listener]]\naddress = \"127.0.0.1:0\"\n[discovery]\n");
    for (index, address) in backends.iter().enumerate() {
        let drains = drains && index == 0;
        text += &format!(
            "[[discovery.backend]]\nname = \"s-{index}\"\naddress = \"{address}\"\ndrains = {drains}\n"
        );
    }
    text + &format!("[tier]\n{tier}\n[backends]\nprobes = false\n{more}\n")
        + "[answers]\nlongest_retry_after = \"100ms\"\n\
           [tariff.read]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"reissuable\"\n\
           [tariff.write]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"at-most-once\"\n"
}

/// Locked from when addresses are found free until they are bound: guards against another test that finds the
/// same ones.
static ADDRESS_LOCK: Mutex<()> = Mutex::new(());

/// Free addresses, each kept bound until all are found.
fn addresses(count: usize) -> Vec<String> {
    let sockets: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    sockets.iter().map(|socket| socket.local_addr().unwrap().to_string()).collect()
}

/// One client: sends one request after another until `deadline`. Returns the id of each, whether it writes,
/// and its status.
fn run_client(address: &str, number: usize, deadline: Instant) -> Vec<(String, bool, u16)> {
    let mut requests = Vec::new();
    for sequence in 0_u64.. {
        if Instant::now() >= deadline {
            break;
        }
        let id = format!("{number:04x}{sequence:08x}");
        let (write, key) = (sequence % 3 == 0, (sequence * 7 + number as u64) % KEY_COUNT);
        let (method, path) = if write { ("POST", "write") } else { ("GET", "read") };
        let text = format!(
            "{method} /{path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Key: k{key}\r\n\
             Request-Timeout: 2.0\r\nConnection: close\r\n\r\n"
        );
        let received = fetch(address, &text);
        assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "one response for {id}: {received:?}");
        requests.push((id, write, received[9..12].parse().unwrap()));
    }
    requests
}

/// Sends requests to all proxies, each from `clients` clients. Returns the requests of each proxy.
/// Each round has ids of its own.
fn run_clients(
    proxies: &[Proxy],
    clients: usize,
    round: usize,
    duration: Duration,
) -> Vec<Vec<(String, bool, u16)>> {
    let deadline = Instant::now() + duration;
    let start = |(index, proxy): (usize, &Proxy)| {
        let threads = (0..clients).map(|n| {
            let number = (round * proxies.len() + index) * clients + n;
            let address = proxy.address.clone();
            std::thread::spawn(move || run_client(&address, number, deadline))
        });
        threads.collect::<Vec<_>>()
    };
    let started: Vec<_> = proxies.iter().enumerate().map(start).collect();
    let joined = |threads: Vec<std::thread::JoinHandle<_>>| {
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect::<Vec<_>>()
    };
    started.into_iter().map(joined).collect()
}

/// The `[tier]` section and the further backend settings of each proxy: two shared ones, then one sidecar per
/// address.
fn topologies(addresses: &[String]) -> Vec<(String, &'static str)> {
    let peers = format!("{addresses:?}");
    let shared = (0..2).map(|n| (format!("proxies = 2\nordinal = {n}"), ""));
    let sidecar = (0..addresses.len()).map(|n| {
        (format!("proxies = {}\nordinal = {n}\npeers = {peers}", addresses.len()), "remember_keys = true")
    });
    shared.chain(sidecar).collect()
}

#[test]
fn shared_and_sidecar_proxies_together_keep_the_guarantees_and_none_starves() {
    let (backends, backend_addresses): (Vec<_>, Vec<_>) =
        (0..BACKEND_COUNT).map(|_| RecordingBackend::start()).unzip();
    let address_lock = ADDRESS_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let topologies = topologies(&addresses(4));
    let proxies: Vec<_> = topologies
        .iter()
        .map(|(tier, more)| Proxy::start_native(&config(&backend_addresses, false, tier, more)))
        .collect();
    drop(address_lock);
    // From some point on one backend closes its connections without a response to what it has run; later
    // another one drains.
    let broken = backends[BACKEND_COUNT - 1].clone();
    let breaks_off = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(400));
        broken.breaks_off.store(true, Ordering::Relaxed);
    });
    let mut requests = run_clients(&proxies, 3, 0, Duration::from_millis(1200));
    breaks_off.join().unwrap();
    for (proxy, (tier, more)) in proxies.iter().zip(&topologies) {
        proxy.reconfigure(&config(&backend_addresses, true, tier, more));
    }
    let drained = Instant::now() + Duration::from_millis(250);
    let second_round = run_clients(&proxies, 3, 1, Duration::from_millis(800));
    for (first, second) in requests.iter_mut().zip(second_round) {
        first.extend(second);
    }

    let mut runs = BTreeMap::<String, usize>::new();
    for (index, backend) in backends.iter().enumerate() {
        for (id, _, arrived) in backend.ran.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
            assert!(index > 0 || *arrived < drained, "a draining backend got {id}");
        }
    }
    for (id, write, status) in requests.iter().flatten() {
        let ran = runs.get(id).copied().unwrap_or(0);
        assert!([200, 429, 502, 503, 504].contains(status), "{id}: {status}");
        assert!(!write || ran <= 1, "{id} is at most once and ran {ran} times");
        assert!(!write || ran == 0 || ![429, 503].contains(status), "{id} was refused although it ran");
        assert!(*status != 200 || ran > 0, "{id} has a response that no backend sent");
    }
    let rate = |proxies: &[Vec<(String, bool, u16)>]| {
        let total = proxies.iter().flatten().count().max(1) as f64;
        let served = proxies.iter().flatten().filter(|(_, _, status)| *status == 200).count() as f64;
        (served / total, served / proxies.len() as f64)
    };
    let ((shared_ratio, shared), (sidecar_ratio, sidecar)) = (rate(&requests[..2]), rate(&requests[2..]));
    assert!(
        shared_ratio > 0.8 && sidecar_ratio > 0.8,
        "served {shared_ratio:.2} of the shared, {sidecar_ratio:.2} of the sidecar proxies' requests"
    );
    assert!(
        shared > 0.4 * sidecar && sidecar > 0.4 * shared,
        "a shared proxy served {shared}, a sidecar {sidecar}"
    );
}

#[test]
fn sidecar_proxies_route_a_key_to_the_same_backends_and_receive_peer_messages() {
    let (backends, backend_addresses): (Vec<_>, Vec<_>) =
        (0..BACKEND_COUNT).map(|_| RecordingBackend::start()).unzip();
    let address_lock = ADDRESS_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let topologies = topologies(&addresses(3));
    let start =
        |(tier, more): &(String, &str)| Proxy::start_native(&config(&backend_addresses, false, tier, more));
    let proxies: Vec<_> = topologies[2..].iter().map(start).collect();
    drop(address_lock);
    run_clients(&proxies, 1, 0, Duration::from_millis(1500));
    let mut backends_by_key = BTreeMap::<String, BTreeMap<usize, usize>>::new();
    for (index, backend) in backends.iter().enumerate() {
        for (_, key, _) in backend.ran.lock().unwrap().iter() {
            *backends_by_key.entry(key.clone().unwrap()).or_default().entry(index).or_default() += 1;
        }
    }
    // All keys are equally frequent and the backends lightly loaded: nearly all requests for a key go to one
    // or two of the six.
    let top_two = |request_counts: &BTreeMap<usize, usize>| {
        let mut counts: Vec<_> = request_counts.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        (counts.iter().take(2).sum::<usize>(), counts.iter().sum::<usize>())
    };
    let (requests_to_home_backends, total) =
        backends_by_key.values().map(top_two).fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
    assert!(
        backends_by_key.len() == KEY_COUNT as usize && requests_to_home_backends as f64 > 0.8 * total as f64,
        "{requests_to_home_backends} of {total}: {backends_by_key:?}"
    );
    let used: BTreeSet<_> =
        backends_by_key.values().flat_map(|request_counts| request_counts.keys()).collect();
    assert!(used.len() > 3, "{used:?}");
    // The last log line has the count of messages received from peers.
    for proxy in proxies {
        proxy.signal("-TERM");
        let line = proxy.wait_for_log("heard=");
        let received = line.split("heard=").nth(1).and_then(|rest| rest.split(' ').next());
        assert!(received.and_then(|received| received.parse::<u32>().ok()) > Some(0), "{line}");
    }
}
