//! Lists of a size that no deployment here has: 1,500 backends, settings of 2,000 instances.

mod helper;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use helper::{accept, read_message, request, response, settings, write, Proxy};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

const MANY: usize = 1500;

/// Many backends on one thread. They keep their connections and honour all that comes.
struct Crowd {
    addresses: Vec<SocketAddr>,
    /// How many requests came to each, by the first byte.
    seen: Arc<Mutex<Vec<u32>>>,
    /// The most connections that were open at once.
    open: Arc<Mutex<(usize, usize)>>,
}

impl Crowd {
    /// Each has an address of its own and the same port.
    fn new(count: usize) -> Crowd {
        let own = (std::process::id() % 200) as u8;
        let ip =
            |n: usize| Ipv4Addr::new(127, 40 + own / 4, (n / 250) as u8 + 8 * (own % 4), (n % 250 + 1) as u8);
        let first = std::net::TcpListener::bind((ip(0), 0)).unwrap();
        let port = first.local_addr().unwrap().port();
        drop(first);
        let addresses: Vec<SocketAddr> = (0..count).map(|n| (ip(n), port).into()).collect();
        let mut listeners: Vec<_> = addresses.iter().map(|at| TcpListener::bind(*at).unwrap()).collect();
        let poll = Poll::new().unwrap();
        for (n, listener) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(n), Interest::READABLE).unwrap();
        }
        let (seen, open) = (Arc::new(Mutex::new(vec![0; count])), Arc::default());
        let crowd = Crowd { addresses, seen: seen.clone(), open: Arc::clone(&open) };
        std::thread::spawn(move || serve(poll, &listeners, &seen, &open));
        crowd
    }

    fn host(&self, n: usize, health: &str) -> String {
        format!(
            "\n    {{\n      \"host\": \"h{n}\",\n      \"dial\": \"{}\",\n      \"site\": \"a\",\n      \
             \"class\": \"m2\",\n      \"block\": {},\n      \"health\": \"{health}\",\n      \"share\": 1.0,\n      \
             \"born_ms\": 0\n    }}",
            self.addresses[n],
            n / 4
        )
    }

    /// An answer of the agent, indented.
    fn list(&self, seq: usize, whole: bool, which: impl Iterator<Item = usize>, health: &str) -> String {
        let hosts: Vec<_> = which.map(|n| self.host(n, health)).collect();
        let hosts = hosts.join(",");
        response(
            "200 OK",
            "",
            &format!("{{\n  \"seq\": {seq},\n  \"whole\": {whole},\n  \"hosts\": [{hosts}\n  ]\n}}"),
        )
    }

    fn reached(&self) -> BTreeSet<usize> {
        let seen = self.seen.lock().unwrap();
        seen.iter().enumerate().filter(|(_, count)| **count > 0).map(|(n, _)| n).collect()
    }
}

fn serve(mut poll: Poll, listeners: &[TcpListener], seen: &Mutex<Vec<u32>>, open: &Mutex<(usize, usize)>) {
    let (mut conns, mut next) = (BTreeMap::<usize, (TcpStream, usize, Vec<u8>)>::new(), listeners.len());
    let (mut events, reply) = (Events::with_capacity(1024), response("200 OK", "", "fine"));
    loop {
        poll.poll(&mut events, None).unwrap();
        for event in &events {
            let Token(token) = event.token();
            while let Some(Ok((mut conn, _))) = listeners.get(token).map(TcpListener::accept) {
                poll.registry().register(&mut conn, Token(next), Interest::READABLE).unwrap();
                conns.insert(next, (conn, token, Vec::new()));
                next += 1;
                let mut open = open.lock().unwrap();
                *open = (conns.len(), open.1.max(conns.len()));
            }
            let Some((conn, of, input)) = conns.get_mut(&token) else { continue };
            let ended = loop {
                let mut piece = [0; 4096];
                match conn.read(&mut piece) {
                    Ok(0) => break true,
                    Ok(read) => {
                        if input.is_empty() {
                            seen.lock().unwrap()[*of] += 1;
                        }
                        input.extend_from_slice(&piece[..read]);
                        if input.ends_with(b"\r\n\r\n") {
                            input.clear();
                            let _ = conn.write_all(reply.as_bytes());
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => break e.kind() != ErrorKind::WouldBlock,
                }
            };
            if ended {
                conns.remove(&token);
                open.lock().unwrap().0 = conns.len();
            }
        }
    }
}

/// So many requests, from a few callers that each keep a connection; how many were not served.
fn ask_many(address: &str, count: usize) -> usize {
    const CALLERS: usize = 8;
    let caller = |_| {
        let address = address.to_string();
        std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            let asked = |_: &usize| {
                write(&mut stream, &request("GET", "/read", "4").replace("Connection: close\r\n", ""));
                !read_message(&mut stream).ends_with("fine")
            };
            (0..count.div_ceil(CALLERS)).filter(asked).count()
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(caller).collect();
    callers.into_iter().map(|caller| caller.join().unwrap()).sum()
}

/// What the process holds in memory, in KB.
fn resident(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// The agent's side: tells a list, and waits until the proxy has taken it and asks for what is newer. It lets calls
/// that wait be given up and made anew.
fn tell(proxy: &Proxy, call: &mut std::net::TcpStream, list: &str, seq: usize) -> Duration {
    let told = Instant::now();
    loop {
        let written = call.write_all(list.as_bytes());
        let next = written.map(|()| read_message(call)).unwrap_or_default();
        if next.contains(&format!("index={seq}&")) {
            return told.elapsed();
        }
        *call = accept(&proxy.discovery);
        read_message(call);
    }
}

/// Guards against bounds, widths and buffers that a list of 1,500 does not fit in: each of them is used, also though
/// there are fewer descriptors than backends, and those that drain get nothing more.
#[test]
fn each_of_fifteen_hundred_backends_is_used_and_every_drain_among_them_kept() {
    let crowd = Crowd::new(MANY);
    let proxy = Proxy::start_with(&[], 1024, &settings(5000, ""));
    let before = resident(&proxy);
    let mut call = accept(&proxy.discovery);
    read_message(&mut call);
    let mut seq = 100;
    for count in [100, 500, MANY] {
        seq += 1;
        let took = tell(&proxy, &mut call, &crowd.list(seq, true, 0..count, "Ready"), seq);
        println!("{count} backends: taken in {took:?}, {} KB more", resident(&proxy).saturating_sub(before));
    }
    let mut left: BTreeSet<usize> = (0..MANY).collect();
    while !left.is_empty() {
        assert_eq!(ask_many(&proxy.address, 2 * left.len()), 0, "every request is honoured");
        let reached: BTreeSet<_> = crowd.reached().intersection(&left).copied().collect();
        assert!(!reached.is_empty(), "{} are never used", left.len());
        left.retain(|n| !reached.contains(n));
        // Some stay, to be used while the others drain.
        let stay: Vec<usize> = reached.iter().copied().filter(|n| left.is_empty() && n % 2 == 0).collect();
        let drain = || reached.iter().copied().filter(|n| !stay.contains(n));
        for health in ["Terminating", "Gone"] {
            seq += 1;
            tell(&proxy, &mut call, &crowd.list(seq, false, drain(), health), seq);
            crowd.seen.lock().unwrap().iter_mut().for_each(|count| *count = 0);
            assert_eq!(ask_many(&proxy.address, 200), 0, "every request is honoured");
            let reached = crowd.reached();
            assert!(drain().all(|n| !reached.contains(&n)), "requests to backends that drain");
        }
    }
    let (_, most) = *crowd.open.lock().unwrap();
    println!("{} KB at the end, {most} connections to backends at the most", resident(&proxy));
    assert!((100..1024).contains(&most), "{most}");
    assert!(resident(&proxy) < 192 * 1024);
}

/// One of 2,000 instances keeps to a few of 1,500 backends.
#[test]
fn settings_of_two_thousand_instances_are_taken() {
    let crowd = Crowd::new(40);
    let settings = settings(5000, "").replace(r#""balancers":1"#, r#""balancers":2000,"ordinal":1999"#);
    let proxy = Proxy::start_with(&[], 1024, &settings);
    let mut call = accept(&proxy.discovery);
    read_message(&mut call);
    tell(&proxy, &mut call, &crowd.list(101, true, 0..40, "Ready"), 101);
    assert_eq!(ask_many(&proxy.address, 200), 0);
    assert!((2..=6).contains(&crowd.reached().len()), "{:?}", crowd.reached());
}
