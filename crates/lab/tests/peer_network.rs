//! Tests of the emulated network between proxies: each fault shows in what arrives at the receiver.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use sparlug_lab::clock::Micros;
use sparlug_lab::component::{Command, ComponentHandle, Spec};
use sparlug_lab::peer_network::{self, ActiveFault, ProxyEndpoint};
use sparlug_lab::record::{self, RecordKind, Recorder};
use sparlug_lab::scenario::{FaultKind, Fleet};

const QUIET_PERIOD: Duration = Duration::from_millis(150);
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);

struct TestNetwork {
    component: ComponentHandle,
    sockets: Vec<UdpSocket>,
    endpoints: Vec<ProxyEndpoint>,
    records: PathBuf,
}

/// Starts the network between three proxies, whose sockets the test holds.
fn three_proxies(fleet: Fleet) -> TestNetwork {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let instance = COUNT.fetch_add(1, Ordering::Relaxed);
    let (high, low) = (std::process::id() / 250 % 250, std::process::id() % 250);
    // One IP address per proxy, with one port for the proxy itself and one that is advertised.
    let address = |n: usize, port: u16| -> SocketAddr {
        format!("127.{}.{}.{}:{}", 1 + (high as u8).min(60), low, n + 1, 20_000 + instance * 40 + port)
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
    sockets.iter().for_each(|socket| socket.set_read_timeout(Some(QUIET_PERIOD)).unwrap());
    let records =
        std::env::temp_dir().join(format!("sparlug-peer-network-{}-{instance}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&records);
    let recorder = Recorder::open(&records, "lab").unwrap();
    let (name, unknown_sender) = ("front/w".to_string(), address(200, 2));
    let spec = peer_network::Spec { name, endpoints: endpoints.clone(), fleet, unknown_sender, seed: 1 };
    let component = ComponentHandle::spawn_thread(Spec::PeerNetwork(spec), &recorder).unwrap();
    TestNetwork { component, sockets, endpoints, records }
}

impl TestNetwork {
    fn add_fault(
        &mut self,
        number: u32,
        kind: FaultKind,
        pairs: &[(usize, usize)],
        amount: Option<f64>,
        chance: Option<f64>,
    ) {
        let fault = ActiveFault { kind, pairs: pairs.to_vec(), amount, jitter: Micros::ZERO, chance };
        self.component.send(Command::PeerNetwork(peer_network::Command::Fault { number, fault }));
        std::thread::sleep(Duration::from_millis(60));
    }

    fn clear_fault(&mut self, number: u32) {
        self.component.send(Command::PeerNetwork(peer_network::Command::ClearFault { number }));
        std::thread::sleep(Duration::from_millis(60));
    }

    fn send(&self, from: usize, to: usize, bytes: &[u8]) {
        self.sockets[from].send_to(bytes, self.endpoints[to].advertised).unwrap();
    }

    /// All datagrams that a proxy receives until a quiet period, with their senders.
    fn received(&self, at: usize) -> Vec<(Vec<u8>, SocketAddr)> {
        let mut all = Vec::new();
        let mut buffer = [0; 2000];
        while let Ok((length, from)) = self.sockets[at].recv_from(&mut buffer) {
            all.push((buffer[..length].to_vec(), from));
        }
        all
    }

    /// Sends numbered datagrams and returns the numbers that arrive, in order.
    fn delivered(&self, from: usize, to: usize, count: u8) -> Vec<u8> {
        (0..count).for_each(|n| self.send(from, to, &[n; 40]));
        self.received(to).into_iter().map(|(bytes, _)| bytes[0]).collect()
    }
}

impl Drop for TestNetwork {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.records);
    }
}

#[test]
fn a_datagram_arrives_from_its_senders_advertised_address() {
    let network = three_proxies(Fleet::default());
    network.send(0, 2, b"hello");
    assert_eq!(network.received(2), [(b"hello".to_vec(), network.endpoints[0].advertised)]);
    assert!(network.received(1).is_empty());
    // A datagram from an unknown sender is dropped.
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(b"x", network.endpoints[2].advertised).unwrap();
    assert!(network.received(2).is_empty());
}

#[test]
fn partitions_cut_only_their_pairs_and_overlapping_ones_end_separately() {
    let mut network = three_proxies(Fleet::default());
    network.add_fault(1, FaultKind::Partition, &[(0, 1), (1, 0)], None, None);
    assert!(network.delivered(0, 1, 3).is_empty() && network.delivered(1, 0, 3).is_empty());
    assert_eq!(network.delivered(0, 2, 3).len(), 3);
    network.add_fault(2, FaultKind::Partition, &[(0, 1)], None, None);
    network.clear_fault(1);
    assert!(network.delivered(0, 1, 3).is_empty());
    assert_eq!(network.delivered(1, 0, 3).len(), 3);
    network.clear_fault(2);
    assert_eq!(network.delivered(0, 1, 3).len(), 3);
}

#[test]
fn loss_duplication_and_corruption_affect_the_configured_share() {
    let mut network = three_proxies(Fleet::default());
    network.add_fault(1, FaultKind::Loss, &[(0, 1)], None, Some(0.5));
    let delivered = network.delivered(0, 1, 200).len();
    assert!((60..=140).contains(&delivered), "{delivered} of 200");
    network.clear_fault(1);
    network.add_fault(2, FaultKind::Duplicate, &[(0, 1)], None, None);
    assert_eq!(network.delivered(0, 1, 50).len(), 100);
    network.clear_fault(2);
    network.add_fault(3, FaultKind::Corrupt, &[(0, 1)], None, None);
    (0..50_u8).for_each(|n| network.send(0, 1, &[n; 40]));
    let received = network.received(1);
    assert_eq!(received.len(), 50);
    let flipped_bits =
        |bytes: &[u8], n: usize| bytes.iter().map(|byte| (byte ^ n as u8).count_ones()).sum::<u32>();
    let intact = received.iter().enumerate().filter(|(n, (bytes, _))| flipped_bits(bytes, *n) == 0).count();
    assert!(intact <= 3, "{intact} of 50 were not touched"); // two flips of the same bit cancel out
    assert!(received.iter().enumerate().all(|(n, (bytes, _))| flipped_bits(bytes, n) <= 4));
}

#[test]
fn delay_reorder_and_replay_change_when_and_how_often_datagrams_arrive() {
    let mut network = three_proxies(Fleet::default());
    network.add_fault(1, FaultKind::Delay, &[(0, 1)], Some(120.0), None);
    let sent = Instant::now();
    network.send(0, 1, b"late");
    assert_eq!(network.received(1).len(), 1);
    assert!(sent.elapsed() >= Duration::from_millis(120));
    network.clear_fault(1);
    network.add_fault(2, FaultKind::Reorder, &[(0, 1)], Some(60.0), None);
    let order = network.delivered(0, 1, 60);
    assert_eq!(order.len(), 60);
    assert!(order.windows(2).any(|pair| pair[0] > pair[1]), "{order:?}");
    network.clear_fault(2);
    network.add_fault(3, FaultKind::Replay, &[(0, 1)], Some(300.0), None);
    assert_eq!(network.delivered(0, 1, 5), [0, 1, 2, 3, 4]);
    std::thread::sleep(Duration::from_millis(400));
    network.send(0, 1, &[9; 40]);
    let numbers: Vec<u8> = network.received(1).into_iter().map(|(bytes, _)| bytes[0]).collect();
    assert!(numbers.len() == 2 && numbers.contains(&9) && numbers.iter().any(|n| *n < 5), "{numbers:?}");
}

#[test]
fn a_flood_comes_from_an_unknown_sender_and_ends_with_its_fault() {
    let mut network = three_proxies(Fleet::default());
    network.add_fault(1, FaultKind::Flood, &[(0, 1)], Some(2000.0), None);
    let mut buffer = [0; 2000];
    let mut unknown = 0;
    let started = Instant::now();
    while unknown < 100 && started.elapsed() < ARRIVAL_TIMEOUT {
        if let Ok((_, from)) = network.sockets[1].recv_from(&mut buffer) {
            unknown += u32::from(
                network
                    .endpoints
                    .iter()
                    .all(|endpoint| endpoint.advertised != from && endpoint.address != from),
            );
        }
    }
    assert_eq!(unknown, 100);
    network.clear_fault(1);
    network.received(1);
    assert!(network.received(1).is_empty());
}

#[test]
fn a_stream_stalls_during_a_partition_and_resumes_afterwards() {
    let mut network = three_proxies(Fleet::default());
    let listener = TcpListener::bind(network.endpoints[1].address).unwrap();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::new(network.endpoints[0].address.ip(), 0).into()).unwrap();
    socket.connect(&network.endpoints[1].advertised.into()).unwrap();
    let mut client = TcpStream::from(socket);
    let (mut server, from) = listener.accept().unwrap();
    assert_eq!(from.ip(), network.endpoints[0].address.ip());
    let mut buffer = [0; 4];
    client.write_all(b"ping").unwrap();
    server.read_exact(&mut buffer).unwrap();
    assert_eq!(&buffer, b"ping");
    network.add_fault(1, FaultKind::Partition, &[(0, 1)], None, None);
    client.write_all(b"held").unwrap();
    server.set_read_timeout(Some(QUIET_PERIOD)).unwrap();
    assert!(server.read(&mut buffer).is_err());
    server.write_all(b"back").unwrap();
    client.read_exact(&mut buffer).unwrap();
    network.clear_fault(1);
    server.set_read_timeout(Some(ARRIVAL_TIMEOUT)).unwrap();
    server.read_exact(&mut buffer).unwrap();
    assert_eq!(&buffer, b"held");
    // An unknown client gets no stream.
    let mut stranger = TcpStream::connect(network.endpoints[1].advertised).unwrap();
    stranger.set_read_timeout(Some(ARRIVAL_TIMEOUT)).unwrap();
    assert!(!matches!(stranger.read(&mut buffer), Ok(1..)));
}

#[test]
fn sent_and_lost_datagrams_are_recorded_per_sender() {
    let mut network = three_proxies(Fleet::default());
    network.add_fault(1, FaultKind::Partition, &[(0, 1)], None, None);
    network.delivered(0, 1, 10);
    network.delivered(0, 2, 5);
    let records = network.records.clone();
    let started = Instant::now();
    let totals = loop {
        let (mut sent, mut bytes, mut lost) = (0, 0, 0);
        for record in record::read(&records).unwrap() {
            if let RecordKind::PeerTraffic { proxy, sent: sent_now, bytes: bytes_now, lost: lost_now } =
                record.kind
            {
                assert_eq!(proxy, "front/p-0");
                (sent, bytes, lost) = (sent + sent_now, bytes + bytes_now, lost + lost_now);
            }
        }
        if sent >= 15 || started.elapsed() > ARRIVAL_TIMEOUT {
            break (sent, bytes, lost);
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(totals, (15, 600, 10));
}
