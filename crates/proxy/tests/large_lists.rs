//! Backend lists and settings larger than those of any deployment: 1,500 backends, 2,000 instances.

mod helper;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use helper::{accept, read_message, request, response, settings, write, Proxy};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

const BACKEND_COUNT: usize = 1500;

/// Many backends on one thread. They keep their connections open and serve every request.
struct ManyBackends {
    addresses: Vec<SocketAddr>,
    /// How many requests each has received, counted at the first byte.
    request_counts: Arc<Mutex<Vec<u32>>>,
    /// The connections that are open now, and the most that were open at once.
    connection_counts: Arc<Mutex<(usize, usize)>>,
}

impl ManyBackends {
    /// Each backend has an address of its own; the port is the same.
    fn new(count: usize) -> ManyBackends {
        let process_index = (std::process::id() % 200) as u8;
        let ip = |index: usize| {
            Ipv4Addr::new(
                127,
                40 + process_index / 4,
                (index / 250) as u8 + 8 * (process_index % 4),
                (index % 250 + 1) as u8,
            )
        };
        let first = std::net::TcpListener::bind((ip(0), 0)).unwrap();
        let port = first.local_addr().unwrap().port();
        drop(first);
        let addresses: Vec<SocketAddr> = (0..count).map(|index| (ip(index), port).into()).collect();
        let mut listeners: Vec<_> =
            addresses.iter().map(|address| TcpListener::bind(*address).unwrap()).collect();
        let poll = Poll::new().unwrap();
        for (index, listener) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(index), Interest::READABLE).unwrap();
        }
        let (request_counts, connection_counts) = (Arc::new(Mutex::new(vec![0; count])), Arc::default());
        let backends = ManyBackends {
            addresses,
            request_counts: request_counts.clone(),
            connection_counts: Arc::clone(&connection_counts),
        };
        std::thread::spawn(move || serve(poll, &listeners, &request_counts, &connection_counts));
        backends
    }

    fn host(&self, index: usize, health: &str) -> String {
        format!(
            "\n    {{\n      \"host\": \"h{index}\",\n      \"dial\": \"{}\",\n      \"site\": \"a\",\n      \
             \"class\": \"m2\",\n      \"block\": {},\n      \"health\": \"{health}\",\n      \"share\": 1.0,\n      \
             \"born_ms\": 0\n    }}",
            self.addresses[index],
            index / 4
        )
    }

    /// A response of the discovery agent, with indented JSON.
    fn list(&self, seq: usize, full: bool, indices: impl Iterator<Item = usize>, health: &str) -> String {
        let hosts: Vec<_> = indices.map(|index| self.host(index, health)).collect();
        let hosts = hosts.join(",");
        response(
            "200 OK",
            "",
            &format!("{{\n  \"seq\": {seq},\n  \"whole\": {full},\n  \"hosts\": [{hosts}\n  ]\n}}"),
        )
    }

    /// The backends that have received a request since the counts were last reset.
    fn reached(&self) -> BTreeSet<usize> {
        let request_counts = self.request_counts.lock().unwrap();
        request_counts.iter().enumerate().filter(|(_, count)| **count > 0).map(|(index, _)| index).collect()
    }
}

fn serve(
    mut poll: Poll,
    listeners: &[TcpListener],
    request_counts: &Mutex<Vec<u32>>,
    connection_counts: &Mutex<(usize, usize)>,
) {
    let (mut connections, mut next_token) =
        (BTreeMap::<usize, (TcpStream, usize, Vec<u8>)>::new(), listeners.len());
    let (mut events, ok_response) = (Events::with_capacity(1024), response("200 OK", "", "fine"));
    loop {
        poll.poll(&mut events, None).unwrap();
        for event in &events {
            let Token(token) = event.token();
            while let Some(Ok((mut conn, _))) = listeners.get(token).map(TcpListener::accept) {
                poll.registry().register(&mut conn, Token(next_token), Interest::READABLE).unwrap();
                connections.insert(next_token, (conn, token, Vec::new()));
                next_token += 1;
                let mut connection_counts = connection_counts.lock().unwrap();
                *connection_counts = (connections.len(), connection_counts.1.max(connections.len()));
            }
            let Some((conn, backend, input)) = connections.get_mut(&token) else { continue };
            let closed = loop {
                let mut buffer = [0; 4096];
                match conn.read(&mut buffer) {
                    Ok(0) => break true,
                    Ok(read) => {
                        if input.is_empty() {
                            request_counts.lock().unwrap()[*backend] += 1;
                        }
                        input.extend_from_slice(&buffer[..read]);
                        if input.ends_with(b"\r\n\r\n") {
                            input.clear();
                            let _ = conn.write_all(ok_response.as_bytes());
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => break e.kind() != ErrorKind::WouldBlock,
                }
            };
            if closed {
                connections.remove(&token);
                connection_counts.lock().unwrap().0 = connections.len();
            }
        }
    }
}

/// Sends `count` requests from a few clients that each keep a connection. Returns how many were not served.
fn send_requests(address: &str, count: usize) -> usize {
    const CLIENTS: usize = 8;
    let client = |_| {
        let address = address.to_string();
        std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            let not_served = |_: &usize| {
                write(&mut stream, &request("GET", "/read", "4").replace("Connection: close\r\n", ""));
                !read_message(&mut stream).ends_with("fine")
            };
            (0..count.div_ceil(CLIENTS)).filter(not_served).count()
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    clients.into_iter().map(|client| client.join().unwrap()).sum()
}

/// Resident memory of the proxy's process in KB.
fn resident_kb(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// The agent's side: sends a list, and waits until the proxy has applied it and asks for a newer one. If the
/// proxy gives up its request meanwhile, its next one gets the list. Returns the time taken.
fn publish_list(proxy: &Proxy, list_request: &mut std::net::TcpStream, list: &str, seq: usize) -> Duration {
    let start = Instant::now();
    loop {
        let written = list_request.write_all(list.as_bytes());
        let next_request = written.map(|()| read_message(list_request)).unwrap_or_default();
        if next_request.contains(&format!("index={seq}&")) {
            return start.elapsed();
        }
        *list_request = accept(&proxy.discovery);
        read_message(list_request);
    }
}

/// Guards against limits, integer widths and buffers that are too small for a list of 1,500 backends: each
/// backend is used, although there are fewer descriptors than backends, and draining ones get no further
/// requests.
#[test]
fn each_of_1500_backends_is_used_until_it_drains() {
    let backends = ManyBackends::new(BACKEND_COUNT);
    let proxy = Proxy::start_with(&[], 1024, &settings(5000, ""));
    let initial_kb = resident_kb(&proxy);
    let mut list_request = accept(&proxy.discovery);
    read_message(&mut list_request);
    let mut seq = 100;
    for count in [100, 500, BACKEND_COUNT] {
        seq += 1;
        let took = publish_list(&proxy, &mut list_request, &backends.list(seq, true, 0..count, "Ready"), seq);
        println!(
            "{count} backends: applied in {took:?}, {} KB more",
            resident_kb(&proxy).saturating_sub(initial_kb)
        );
    }
    let mut unused: BTreeSet<usize> = (0..BACKEND_COUNT).collect();
    while !unused.is_empty() {
        assert_eq!(send_requests(&proxy.address, 2 * unused.len()), 0, "every request is served");
        let reached: BTreeSet<_> = backends.reached().intersection(&unused).copied().collect();
        assert!(!reached.is_empty(), "{} backends are never used", unused.len());
        unused.retain(|index| !reached.contains(index));
        // Some are kept to serve requests while the others drain.
        let kept: Vec<usize> =
            reached.iter().copied().filter(|index| unused.is_empty() && index % 2 == 0).collect();
        let draining = || reached.iter().copied().filter(|index| !kept.contains(index));
        for health in ["Terminating", "Gone"] {
            seq += 1;
            publish_list(&proxy, &mut list_request, &backends.list(seq, false, draining(), health), seq);
            backends.request_counts.lock().unwrap().iter_mut().for_each(|count| *count = 0);
            assert_eq!(send_requests(&proxy.address, 200), 0, "every request is served");
            let reached = backends.reached();
            assert!(draining().all(|index| !reached.contains(&index)), "requests to draining backends");
        }
    }
    let (_, peak) = *backends.connection_counts.lock().unwrap();
    println!("{} KB at the end, {peak} connections to backends at the most", resident_kb(&proxy));
    assert!((100..1024).contains(&peak), "{peak}");
    assert!(resident_kb(&proxy) < 192 * 1024);
}

/// One of 2,000 instances uses only a few of the listed backends.
#[test]
fn settings_for_2000_instances_are_accepted() {
    let backends = ManyBackends::new(40);
    let settings = settings(5000, "").replace(r#""balancers":1"#, r#""balancers":2000,"ordinal":1999"#);
    let proxy = Proxy::start_with(&[], 1024, &settings);
    let mut list_request = accept(&proxy.discovery);
    read_message(&mut list_request);
    publish_list(&proxy, &mut list_request, &backends.list(101, true, 0..40, "Ready"), 101);
    assert_eq!(send_requests(&proxy.address, 200), 0);
    assert!((2..=6).contains(&backends.reached().len()), "{:?}", backends.reached());
}
