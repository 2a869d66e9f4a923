//! `accept` fails for a moment: who has connected is served as soon as it succeeds again.

mod helper;

use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use helper::shim::{errno, Call, Fault, Shim};
use helper::{answer, backend, kept, message, settings, write, Proxy};

/// Everything that `accept` can fail with by accept(2), for a moment.
const ERRORS: [u32; 15] = [
    errno::EINTR,
    errno::ECONNABORTED,
    errno::EMFILE,
    errno::ENFILE,
    errno::ENOBUFS,
    errno::ENOMEM,
    errno::EPERM,
    errno::EPROTO,
    errno::ENETDOWN,
    errno::ENOPROTOOPT,
    errno::EHOSTDOWN,
    errno::EHOSTUNREACH,
    errno::EOPNOTSUPP,
    errno::ENETUNREACH,
    errno::ETIMEDOUT,
];
const CLIENTS: usize = 8;
/// Far less than the 2 s after which a client connection may be closed for its silence.
const SOON: Duration = Duration::from_millis(500);

/// Answers every request on every connection.
fn serve(backend: TcpListener) {
    std::thread::spawn(move || {
        while let Ok((mut conn, _)) = backend.accept() {
            std::thread::spawn(move || {
                while !message(&mut conn).is_empty() {
                    write(&mut conn, &answer("200 OK", "", "fine"));
                }
            });
        }
    });
}

fn ask(client: &mut TcpStream) -> String {
    write(client, &kept("GET", "/read"));
    message(client)
}

/// Clients that use their connections.
fn used(proxy: &Proxy) -> Vec<TcpStream> {
    let asked = |_| {
        let mut client = proxy.connect();
        assert!(ask(&mut client).ends_with("fine"));
        client
    };
    (0..CLIENTS).map(asked).collect()
}

/// Guards against a failure of a moment being taken for a lasting want of descriptors: the number of clients that were
/// let in fell with each one, and never rose again (report f14a60).
#[test]
fn new_connections_are_served_once_accept_succeeds_again() {
    for error in ERRORS {
        for times in [1, 5] {
            let listener = backend();
            let (proxy, shim) = Shim::start(&[&listener], &settings(5000, ""));
            serve(listener);
            let mut clients = used(&proxy);
            shim.fail(Fault::of(Call::Accept, error, times));
            let mut new = proxy.connect();
            let start = Instant::now();
            write(&mut new, &kept("GET", "/read"));
            new.set_read_timeout(Some(SOON)).unwrap();
            let answered = new.peek(&mut [0]);
            let case = format!("{times} times error {error}, after {:?}", start.elapsed());
            assert_eq!(answered.ok(), Some(1), "not served: {case}");
            assert!(message(&mut new).ends_with("fine"), "{case}");
            assert_eq!(shim.hits(Call::Accept), times, "{case}");
            clients.iter_mut().for_each(|client| assert!(ask(client).ends_with("fine"), "{case}"));
        }
    }
}
