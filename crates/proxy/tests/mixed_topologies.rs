//! Proxies of two shapes before the same backends: few for all callers, as before a move, and one beside each
//! caller, which send keys to their homes and tell each other what they see.

mod helper;

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use helper::{fetch, read_message, response, Proxy};

const BACKENDS: usize = 6;
const WORK: Duration = Duration::from_millis(4);
const KEYS: u64 = 24;

/// A stand-in that works on one request at a time and notes what it ran, and when.
#[derive(Default)]
struct StandIn {
    core: Mutex<()>,
    held: Mutex<usize>,
    ran: Mutex<Vec<(String, Option<String>, Instant)>>,
    /// It breaks all connections once what it was asked has run.
    breaks: AtomicBool,
}

fn field(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| Some(line.strip_prefix(name)?.trim().to_string()))
}

impl StandIn {
    fn serve(&self, mut conn: TcpStream) {
        loop {
            let request = read_message(&mut conn);
            let Some(id) = field(&request, "Request-Id:") else { return };
            let came = Instant::now();
            *self.held.lock().unwrap() += 1;
            let core = self.core.lock().unwrap();
            self.ran.lock().unwrap().push((id, field(&request, "Request-Key:"), came));
            std::thread::sleep(WORK);
            drop(core);
            let held = {
                let mut held = self.held.lock().unwrap();
                *held -= 1;
                *held
            };
            if self.breaks.load(Ordering::Relaxed) {
                return;
            }
            let load = format!("Server-Load: TEXT inflight={held}\r\n");
            if conn.write_all(response("200 OK", &load, "ok").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn start() -> (Arc<StandIn>, String) {
        let (listener, stand_in) = (TcpListener::bind("127.0.0.1:0").unwrap(), Arc::new(StandIn::default()));
        let address = listener.local_addr().unwrap().to_string();
        let served = stand_in.clone();
        std::thread::spawn(move || {
            for conn in listener.incoming().map_while(Result::ok) {
                conn.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
                let served = served.clone();
                std::thread::spawn(move || served.serve(conn));
            }
        });
        (stand_in, address)
    }
}

/// A configuration for one proxy before these backends, of which the first may drain.
fn config(backends: &[String], drains: bool, tier: &str, more: &str) -> String {
    let mut text = String::from("name = \"m\"\n[[listener]]\naddress = \"127.0.0.1:0\"\n[discovery]\n");
    for (place, address) in backends.iter().enumerate() {
        let drains = drains && place == 0;
        text += &format!(
            "[[discovery.backend]]\nname = \"s-{place}\"\naddress = \"{address}\"\ndrains = {drains}\n"
        );
    }
    text + &format!("[tier]\n{tier}\n[backends]\nprobes = false\n{more}\n")
        + "[answers]\nlongest_retry_after = \"100ms\"\n\
           [tariff.read]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"reissuable\"\n\
           [tariff.write]\ngoal = \"1s\"\ncut_off = \"2s\"\neffect = \"at-most-once\"\n"
}

/// Held from when addresses are found free until they are taken: guards against another test's finding them.
static STARTING: Mutex<()> = Mutex::new(());

/// Free addresses, each held until all are found.
fn addresses(count: usize) -> Vec<String> {
    let held: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    held.iter().map(|socket| socket.local_addr().unwrap().to_string()).collect()
}

/// One caller: asks one request after another until the time is up, and notes each with its status.
fn caller(address: &str, number: usize, until: Instant) -> Vec<(String, bool, u16)> {
    let mut asked = Vec::new();
    for turn in 0_u64.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{number:04x}{turn:08x}");
        let (write, key) = (turn % 3 == 0, (turn * 7 + number as u64) % KEYS);
        let (method, path) = if write { ("POST", "write") } else { ("GET", "read") };
        let text = format!(
            "{method} /{path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Key: k{key}\r\n\
             Request-Timeout: 2.0\r\nConnection: close\r\n\r\n"
        );
        let all = fetch(address, &text);
        assert_eq!(all.matches("HTTP/1.1 ").count(), 1, "one answer for {id}: {all:?}");
        asked.push((id, write, all[9..12].parse().unwrap()));
    }
    asked
}

/// Asks all proxies from as many callers each; what was asked, by proxy.
fn ask_all(proxies: &[Proxy], callers: usize, long: Duration) -> Vec<Vec<(String, bool, u16)>> {
    let until = Instant::now() + long;
    let start = |(place, proxy): (usize, &Proxy)| {
        let threads = (0..callers).map(|n| {
            let (address, number) = (proxy.address.clone(), place * callers + n);
            std::thread::spawn(move || caller(&address, number, until))
        });
        threads.collect::<Vec<_>>()
    };
    let started: Vec<_> = proxies.iter().enumerate().map(start).collect();
    let joined = |threads: Vec<std::thread::JoinHandle<_>>| {
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect::<Vec<_>>()
    };
    started.into_iter().map(joined).collect()
}

fn shapes(addresses: &[String]) -> Vec<(String, &'static str)> {
    let peers = format!("{addresses:?}");
    let old = (0..2).map(|n| (format!("proxies = 2\nordinal = {n}"), ""));
    let new = (0..addresses.len()).map(|n| {
        (format!("proxies = {}\nordinal = {n}\npeers = {peers}", addresses.len()), "remember_keys = true")
    });
    old.chain(new).collect()
}

#[test]
fn while_some_proxies_are_of_the_old_shape_and_some_of_the_new_the_rules_hold_and_none_starves() {
    let (backends, dials): (Vec<_>, Vec<_>) = (0..BACKENDS).map(|_| StandIn::start()).unzip();
    let starting = STARTING.lock().unwrap_or_else(|held| held.into_inner());
    let shapes = shapes(&addresses(4));
    let proxies: Vec<_> =
        shapes.iter().map(|(tier, more)| Proxy::start_native(&config(&dials, false, tier, more))).collect();
    drop(starting);
    // One backend breaks what it has run, for good; later another is to drain.
    let breaking = backends[BACKENDS - 1].clone();
    let breaks = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(400));
        breaking.breaks.store(true, Ordering::Relaxed);
    });
    let mut asked = ask_all(&proxies, 3, Duration::from_millis(1200));
    breaks.join().unwrap();
    for (proxy, (tier, more)) in proxies.iter().zip(&shapes) {
        proxy.reconfigure(&config(&dials, true, tier, more));
    }
    let drained = Instant::now() + Duration::from_millis(250);
    for (first, more) in asked.iter_mut().zip(ask_all(&proxies, 3, Duration::from_millis(800))) {
        // Ids begin anew; the stand-ins' notes tell them apart by time, so they are checked apart as well.
        first.extend(more.into_iter().map(|(id, write, status)| (format!("+{id}"), write, status)));
    }

    let mut runs = BTreeMap::<String, usize>::new();
    for (place, backend) in backends.iter().enumerate() {
        for (id, _, came) in backend.ran.lock().unwrap().iter() {
            let second = *came > drained - Duration::from_millis(250);
            *runs.entry(format!("{}{id}", if second { "+" } else { "" })).or_default() += 1;
            assert!(place > 0 || *came < drained, "a draining backend got {id}");
        }
    }
    for (id, write, status) in asked.iter().flatten() {
        let ran = runs.get(id).copied().unwrap_or(0);
        assert!([200, 429, 502, 503, 504].contains(status), "{id}: {status}");
        assert!(!write || ran <= 1, "{id} was to run once and ran {ran} times");
        assert!(!write || ran == 0 || ![429, 503].contains(status), "{id} was turned back and ran");
        assert!(*status != 200 || ran > 0, "{id} has an answer that nobody made");
    }
    let rate = |proxies: &[Vec<(String, bool, u16)>]| {
        let all = proxies.iter().flatten().count().max(1) as f64;
        let served = proxies.iter().flatten().filter(|(_, _, status)| *status == 200).count() as f64;
        (served / all, served / proxies.len() as f64)
    };
    let ((old_part, old), (new_part, new)) = (rate(&asked[..2]), rate(&asked[2..]));
    assert!(old_part > 0.8 && new_part > 0.8, "served {old_part:.2} of the old, {new_part:.2} of the new");
    assert!(old > 0.4 * new && new > 0.4 * old, "a proxy of the old shape served {old}, of the new {new}");
}

#[test]
fn proxies_of_the_new_shape_send_a_key_to_the_same_home_and_hear_each_other() {
    let (backends, dials): (Vec<_>, Vec<_>) = (0..BACKENDS).map(|_| StandIn::start()).unzip();
    let starting = STARTING.lock().unwrap_or_else(|held| held.into_inner());
    let shapes = shapes(&addresses(3));
    let start = |(tier, more): &(String, &str)| Proxy::start_native(&config(&dials, false, tier, more));
    let proxies: Vec<_> = shapes[2..].iter().map(start).collect();
    drop(starting);
    ask_all(&proxies, 1, Duration::from_millis(1500));
    let mut homes = BTreeMap::<String, BTreeMap<usize, usize>>::new();
    for (place, backend) in backends.iter().enumerate() {
        for (_, key, _) in backend.ran.lock().unwrap().iter() {
            *homes.entry(key.clone().unwrap()).or_default().entry(place).or_default() += 1;
        }
    }
    // All keys are met alike and homes are lightly loaded: nearly all goes to one or two of the six.
    let two = |homes: &BTreeMap<usize, usize>| {
        let mut counts: Vec<_> = homes.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        (counts.iter().take(2).sum::<usize>(), counts.iter().sum::<usize>())
    };
    let (at_home, all) = homes.values().map(two).fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
    assert!(
        homes.len() == KEYS as usize && at_home as f64 > 0.8 * all as f64,
        "{at_home} of {all}: {homes:?}"
    );
    let used: BTreeSet<_> = homes.values().flat_map(|homes| homes.keys()).collect();
    assert!(used.len() > 3, "{used:?}");
    // The count of messages heard stands in the last line of the log.
    for proxy in proxies {
        proxy.signal("-TERM");
        let line = proxy.wait_for_log("heard=");
        let heard = line.split("heard=").nth(1).and_then(|rest| rest.split(' ').next());
        assert!(heard.and_then(|heard| heard.parse::<u32>().ok()) > Some(0), "{line}");
    }
}
