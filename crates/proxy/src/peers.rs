//! Short messages between the proxies of a tier, one datagram each. What is lost is lost, and what comes from an
//! address that is no peer's is passed over; it decides nothing.

use std::io;
use std::net::SocketAddr;

use mio::net::UdpSocket;
use mio::Interest;
use socket2::{Domain, Socket, Type};
use sparlug::id::PeerId;
use sparlug::peer_message::MAX_MESSAGE_BYTES;

use crate::shared::{IoContext, Owner};
use crate::startup::retry_transient;

/// How many are read before others have their turn; the loop comes back for the rest.
const AT_ONCE: usize = 64;

/// The addresses of all proxies of the tier by their numbers, and the own socket, where they tell each other things.
pub struct Peers {
    all: Vec<SocketAddr>,
    own: usize,
    socket: Option<UdpSocket>,
}

impl Peers {
    /// `shared` lets the process that takes over listen at the same address.
    pub fn new(all: Vec<SocketAddr>, own: usize, shared: bool, io: &IoContext) -> Result<Peers, String> {
        let Some(address) = all.get(own).copied() else { return Ok(Peers { all, own, socket: None }) };
        let bind = || -> io::Result<UdpSocket> {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            socket.set_reuse_port(shared)?;
            socket.bind(&address.into())?;
            socket.set_nonblocking(true)?;
            let mut socket = UdpSocket::from_std(socket.into());
            io.registry.register(&mut socket, Owner::Peers.token(), Interest::READABLE)?;
            Ok(socket)
        };
        let socket =
            retry_transient(bind).map_err(|e| format!("cannot listen for peers on {address}: {e}"))?;
        Ok(Peers { all, own, socket: Some(socket) })
    }

    /// Whether there is anybody to tell.
    pub fn has_peers(&self) -> bool {
        self.socket.is_some() && self.all.len() > 1
    }

    /// Sends to one, or to all others. What can't be sent now is lost.
    pub fn send(&self, to: Option<PeerId>, bytes: &[u8]) {
        let Some(socket) = &self.socket else { return };
        let wanted = |place: &usize| *place != self.own && to.is_none_or(|to| usize::from(to.0) == *place);
        for place in (0..self.all.len()).filter(wanted) {
            if let Err(error) = socket.send_to(bytes, self.all[place]) {
                tracing::debug!(%error, to = %self.all[place], "a message to a peer is lost");
            }
        }
    }

    /// What has come from peers, and whether more may be there.
    pub fn receive(&self) -> (Vec<(PeerId, Vec<u8>)>, bool) {
        let mut heard = Vec::new();
        let Some(socket) = &self.socket else { return (heard, false) };
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1]; // a longer message is none of ours
        for _ in 0..AT_ONCE {
            let (length, from) = match socket.recv_from(&mut buffer) {
                Ok(came) => came,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return (heard, false),
                // A peer that is down shows here, as the refusal of an earlier message.
                Err(_) => continue,
            };
            let place = self.all.iter().position(|peer| *peer == from).filter(|place| *place != self.own);
            if let Some(place) = place.filter(|_| length <= MAX_MESSAGE_BYTES) {
                heard.push((PeerId(place as u16), buffer[..length].to_vec()));
            }
        }
        (heard, true)
    }
}
