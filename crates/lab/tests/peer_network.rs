//! Each fault of the ways between proxies, shown by what arrives at the other side.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use sparlug_lab::clock::Micros;
use sparlug_lab::component::{Command, ComponentHandle, Spec};
use sparlug_lab::peer_network::{self, ActiveFault, ProxyEndpoint};
use sparlug_lab::record::{self, Recorder, What};
use sparlug_lab::scenario::{FaultKind, Fleet};

const NONE: Duration = Duration::from_millis(150); // after which nothing more is awaited
const COMES: Duration = Duration::from_secs(20); // what must come has come by then

struct Net {
    peer: ComponentHandle,
    sockets: Vec<UdpSocket>,
    endpoints: Vec<ProxyEndpoint>,
    records: PathBuf,
}

/// Three proxies and what lies between them.
fn net(fleet: Fleet) -> Net {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let own = COUNT.fetch_add(1, Ordering::Relaxed);
    let (high, low) = (std::process::id() / 250 % 250, std::process::id() % 250);
    // An address a proxy, one of its ports for itself and one that others are told.
    let address = |n: usize, port: u16| -> SocketAddr {
        format!("127.{}.{}.{}:{}", 1 + (high as u8).min(60), low, n + 1, 20_000 + own * 40 + port)
            .parse()
            .unwrap()
    };
    let endpoints: Vec<ProxyEndpoint> = (0..3)
        .map(|n| ProxyEndpoint {
            proxy: format!("front/p-{n}"),
            address: address(n, 0),
            advertised: address(n, 1),
        })
        .collect();
    let sockets: Vec<UdpSocket> =
        endpoints.iter().map(|endpoint| UdpSocket::bind(endpoint.address).unwrap()).collect();
    sockets.iter().for_each(|socket| socket.set_read_timeout(Some(NONE)).unwrap());
    let records = std::env::temp_dir().join(format!("sparlug-ways-{}-{own}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&records);
    let recorder = Recorder::open(&records, "lab").unwrap();
    let (name, unknown_sender) = ("front/w".to_string(), address(200, 2));
    let spec = peer_network::Spec { name, endpoints: endpoints.clone(), fleet, unknown_sender, seed: 1 };
    let peer = ComponentHandle::spawn_thread(Spec::PeerNetwork(spec), &recorder).unwrap();
    Net { peer, sockets, endpoints, records }
}

impl Net {
    fn fault(
        &mut self,
        number: u32,
        kind: FaultKind,
        pairs: &[(usize, usize)],
        amount: Option<f64>,
        chance: Option<f64>,
    ) {
        let fault = ActiveFault { kind, pairs: pairs.to_vec(), amount, jitter: Micros::ZERO, chance };
        self.peer.send(Command::PeerNetwork(peer_network::Command::Fault { number, fault }));
        std::thread::sleep(Duration::from_millis(60));
    }

    fn mend(&mut self, number: u32) {
        self.peer.send(Command::PeerNetwork(peer_network::Command::ClearFault { number }));
        std::thread::sleep(Duration::from_millis(60));
    }

    fn send(&self, from: usize, to: usize, bytes: &[u8]) {
        self.sockets[from].send_to(bytes, self.endpoints[to].advertised).unwrap();
    }

    /// All that comes to one until nothing does for a while, and from where.
    fn heard(&self, at: usize) -> Vec<(Vec<u8>, SocketAddr)> {
        let mut all = Vec::new();
        let mut buffer = [0; 2000];
        while let Ok((length, from)) = self.sockets[at].recv_from(&mut buffer) {
            all.push((buffer[..length].to_vec(), from));
        }
        all
    }

    /// What arrives of some numbered datagrams.
    fn passes(&self, from: usize, to: usize, count: u8) -> Vec<u8> {
        (0..count).for_each(|n| self.send(from, to, &[n; 40]));
        self.heard(to).into_iter().map(|(bytes, _)| bytes[0]).collect()
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.records);
    }
}

#[test]
fn a_datagram_comes_from_the_address_that_its_sender_is_known_by() {
    let net = net(Fleet::default());
    net.send(0, 2, b"hello");
    assert_eq!(net.heard(2), [(b"hello".to_vec(), net.endpoints[0].advertised)]);
    assert!(net.heard(1).is_empty());
    // One that nobody is known by goes nowhere.
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(b"x", net.endpoints[2].advertised).unwrap();
    assert!(net.heard(2).is_empty());
}

#[test]
fn a_partition_cuts_its_pairs_alone_one_way_or_both_and_two_on_a_pair_end_one_by_one() {
    let mut net = net(Fleet::default());
    net.fault(1, FaultKind::Partition, &[(0, 1), (1, 0)], None, None);
    assert!(net.passes(0, 1, 3).is_empty() && net.passes(1, 0, 3).is_empty());
    assert_eq!(net.passes(0, 2, 3).len(), 3);
    net.fault(2, FaultKind::Partition, &[(0, 1)], None, None);
    net.mend(1);
    assert!(net.passes(0, 1, 3).is_empty());
    assert_eq!(net.passes(1, 0, 3).len(), 3);
    net.mend(2);
    assert_eq!(net.passes(0, 1, 3).len(), 3);
}

#[test]
fn loss_duplicates_and_corruption_hit_the_part_that_they_are_told() {
    let mut net = net(Fleet::default());
    net.fault(1, FaultKind::Loss, &[(0, 1)], None, Some(0.5));
    let kept = net.passes(0, 1, 200).len();
    assert!((60..=140).contains(&kept), "{kept} of 200");
    net.mend(1);
    net.fault(2, FaultKind::Duplicate, &[(0, 1)], None, None);
    assert_eq!(net.passes(0, 1, 50).len(), 100);
    net.mend(2);
    net.fault(3, FaultKind::Corrupt, &[(0, 1)], None, None);
    (0..50_u8).for_each(|n| net.send(0, 1, &[n; 40]));
    let heard = net.heard(1);
    assert_eq!(heard.len(), 50);
    let turned = |bytes: &[u8], n: usize| bytes.iter().map(|byte| (byte ^ n as u8).count_ones()).sum::<u32>();
    let whole = heard.iter().enumerate().filter(|(n, (bytes, _))| turned(bytes, *n) == 0).count();
    assert!(whole <= 3, "{whole} of 50 were not touched"); // two turns of one bit cancel now and then
    assert!(heard.iter().enumerate().all(|(n, (bytes, _))| turned(bytes, n) <= 4));
}

#[test]
fn delay_reorder_and_replay_bring_things_later_in_another_order_and_again() {
    let mut net = net(Fleet::default());
    net.fault(1, FaultKind::Delay, &[(0, 1)], Some(120.0), None);
    let sent = Instant::now();
    net.send(0, 1, b"late");
    assert_eq!(net.heard(1).len(), 1);
    assert!(sent.elapsed() >= Duration::from_millis(120));
    net.mend(1);
    net.fault(2, FaultKind::Reorder, &[(0, 1)], Some(60.0), None);
    let came = net.passes(0, 1, 60);
    assert_eq!(came.len(), 60);
    assert!(came.windows(2).any(|two| two[0] > two[1]), "{came:?}");
    net.mend(2);
    net.fault(3, FaultKind::Replay, &[(0, 1)], Some(300.0), None);
    assert_eq!(net.passes(0, 1, 5), [0, 1, 2, 3, 4]);
    std::thread::sleep(Duration::from_millis(400));
    net.send(0, 1, &[9; 40]);
    let again: Vec<u8> = net.heard(1).into_iter().map(|(bytes, _)| bytes[0]).collect();
    assert!(again.len() == 2 && again.contains(&9) && again.iter().any(|n| *n < 5), "{again:?}");
}

#[test]
fn a_flood_comes_from_nobody_and_ends() {
    let mut net = net(Fleet::default());
    net.fault(1, FaultKind::Flood, &[(0, 1)], Some(2000.0), None);
    let mut buffer = [0; 2000];
    let mut strange = 0;
    let began = Instant::now();
    while strange < 100 && began.elapsed() < COMES {
        if let Ok((_, from)) = net.sockets[1].recv_from(&mut buffer) {
            strange += u32::from(
                net.endpoints.iter().all(|endpoint| endpoint.advertised != from && endpoint.address != from),
            );
        }
    }
    assert_eq!(strange, 100);
    net.mend(1);
    net.heard(1);
    assert!(net.heard(1).is_empty());
}

#[test]
fn a_stream_waits_while_its_way_is_parted_and_goes_on_after() {
    let mut net = net(Fleet::default());
    let listener = TcpListener::bind(net.endpoints[1].address).unwrap();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::new(net.endpoints[0].address.ip(), 0).into()).unwrap();
    socket.connect(&net.endpoints[1].advertised.into()).unwrap();
    let mut one = TcpStream::from(socket);
    let (mut other, from) = listener.accept().unwrap();
    assert_eq!(from.ip(), net.endpoints[0].address.ip());
    let mut piece = [0; 4];
    one.write_all(b"ping").unwrap();
    other.read_exact(&mut piece).unwrap();
    assert_eq!(&piece, b"ping");
    net.fault(1, FaultKind::Partition, &[(0, 1)], None, None);
    one.write_all(b"held").unwrap();
    other.set_read_timeout(Some(NONE)).unwrap();
    assert!(other.read(&mut piece).is_err());
    other.write_all(b"back").unwrap();
    one.read_exact(&mut piece).unwrap();
    net.mend(1);
    other.set_read_timeout(Some(COMES)).unwrap();
    other.read_exact(&mut piece).unwrap();
    assert_eq!(&piece, b"held");
    // Whoever is not known gets no stream.
    let mut stranger = TcpStream::connect(net.endpoints[1].advertised).unwrap();
    stranger.set_read_timeout(Some(COMES)).unwrap();
    assert!(!matches!(stranger.read(&mut piece), Ok(1..)));
}

#[test]
fn what_each_sends_is_counted_with_what_is_lost_of_it() {
    let mut net = net(Fleet::default());
    net.fault(1, FaultKind::Partition, &[(0, 1)], None, None);
    net.passes(0, 1, 10);
    net.passes(0, 2, 5);
    let records = net.records.clone();
    let began = Instant::now();
    let counted = loop {
        let (mut sent, mut bytes, mut lost) = (0, 0, 0);
        for record in record::read(&records).unwrap() {
            if let What::Talk { proxy, sent: s, bytes: b, lost: l } = record.what {
                assert_eq!(proxy, "front/p-0");
                (sent, bytes, lost) = (sent + s, bytes + b, lost + l);
            }
        }
        if sent >= 15 || began.elapsed() > COMES {
            break (sent, bytes, lost);
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(counted, (15, 600, 10));
}
