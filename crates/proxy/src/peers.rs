//! Short messages between the proxies of a tier, one UDP datagram each. Lost messages are not sent again, and
//! messages from addresses that belong to no peer are ignored.

use std::io;
use std::net::SocketAddr;

use mio::net::UdpSocket;
use mio::Interest;
use socket2::{Domain, Socket, Type};
use sparlug::id::PeerId;
use sparlug::peer_message::MAX_MESSAGE_BYTES;

use crate::shared::{IoContext, Owner};
use crate::startup::retry_transient;

/// Datagrams that are read before other sockets are handled; the event loop comes back for the rest.
const MAX_DATAGRAMS_PER_READ: usize = 64;

/// The socket for messages between peers, and the addresses of all proxies of the tier, ordered by ordinal.
pub struct Peers {
    addresses: Vec<SocketAddr>,
    /// This proxy's ordinal.
    ordinal: usize,
    socket: Option<UdpSocket>,
}

impl Peers {
    /// `reuse_port` lets a successor process listen on the same address.
    pub fn new(
        addresses: Vec<SocketAddr>,
        ordinal: usize,
        reuse_port: bool,
        io: &IoContext,
    ) -> Result<Peers, String> {
        let Some(address) = addresses.get(ordinal).copied() else {
            return Ok(Peers { addresses, ordinal, socket: None });
        };
        let bind = || -> io::Result<UdpSocket> {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            socket.set_reuse_port(reuse_port)?;
            socket.bind(&address.into())?;
            socket.set_nonblocking(true)?;
            let mut socket = UdpSocket::from_std(socket.into());
            io.registry.register(&mut socket, Owner::Peers.token(), Interest::READABLE)?;
            Ok(socket)
        };
        let socket =
            retry_transient(bind).map_err(|e| format!("cannot listen for peers on {address}: {e}"))?;
        Ok(Peers { addresses, ordinal, socket: Some(socket) })
    }

    /// Whether there are other proxies to send messages to.
    pub fn has_peers(&self) -> bool {
        self.socket.is_some() && self.addresses.len() > 1
    }

    /// Sends a message to one peer, or to all. A message that cannot be sent now is lost.
    pub fn send(&self, to: Option<PeerId>, bytes: &[u8]) {
        let Some(socket) = &self.socket else { return };
        let is_recipient =
            |index: &usize| *index != self.ordinal && to.is_none_or(|to| usize::from(to.0) == *index);
        for index in (0..self.addresses.len()).filter(is_recipient) {
            if let Err(error) = socket.send_to(bytes, self.addresses[index]) {
                tracing::debug!(%error, to = %self.addresses[index], "cannot send a message to a peer");
            }
        }
    }

    /// Receives messages from peers. Returns them, and whether there may be more.
    pub fn receive(&self) -> (Vec<(PeerId, Vec<u8>)>, bool) {
        let mut messages = Vec::new();
        let Some(socket) = &self.socket else { return (messages, false) };
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1]; // one byte more shows that a message is too long
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let (length, from) = match socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return (messages, false),
                // A peer that is down is reported here, as ECONNREFUSED for an earlier message.
                Err(_) => continue,
            };
            let index = self
                .addresses
                .iter()
                .position(|address| *address == from)
                .filter(|index| *index != self.ordinal);
            if let Some(index) = index.filter(|_| length <= MAX_MESSAGE_BYTES) {
                messages.push((PeerId(index as u16), buffer[..length].to_vec()));
            }
        }
        (messages, true)
    }
}
