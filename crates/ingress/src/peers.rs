//! Messages between ingresses: UDP datagrams, known by the address they come from.

use crate::config::PeerAddresses;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;
use std::os::fd::OwnedFd;
use wrenfork_decision::GatewayId;

/// The most bytes of a message.
const MAX_MESSAGE: usize = 256;
/// The most datagrams read in one turn, so that a flood of them cannot keep the event loop from its other work.
const READS_PER_TURN: usize = 64;

/// The socket to the peers.
pub struct PeerSocket {
    /// None while another process of this ingress has the address.
    socket: Option<UdpSocket>,
    addresses: PeerAddresses,
}

impl PeerSocket {
    /// Binds the socket and registers it. Where it `may_wait`, an address that is still taken is bound later.
    pub fn bind(
        addresses: PeerAddresses,
        registry: &Registry,
        token: Token,
        may_wait: bool,
    ) -> io::Result<Self> {
        let mut peers = PeerSocket {
            socket: None,
            addresses,
        };
        match peers.bind_if_unbound(registry, token) {
            Err(e) if may_wait && e.kind() == io::ErrorKind::AddrInUse => {
                tracing::warn!(
                    "peer_listen: another process has it, peers are not received until that has ended"
                );
            }
            bound => bound?,
        }
        Ok(peers)
    }

    /// Binds the socket if there is none.
    pub fn bind_if_unbound(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        if self.socket.is_none() {
            self.adopt(UdpSocket::bind(self.addresses.listen)?, registry, token)?;
        }
        Ok(())
    }

    fn adopt(
        &mut self,
        mut socket: UdpSocket,
        registry: &Registry,
        token: Token,
    ) -> io::Result<()> {
        registry.register(&mut socket, token, Interest::READABLE)?;
        self.socket = Some(socket);
        Ok(())
    }

    /// With the socket that another process had.
    pub fn from_descriptor(
        addresses: PeerAddresses,
        descriptor: OwnedFd,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Self> {
        let mut peers = PeerSocket {
            socket: None,
            addresses,
        };
        peers.adopt(UdpSocket::from_std(descriptor.into()), registry, token)?;
        Ok(peers)
    }

    /// Whether there is a socket.
    pub fn is_bound(&self) -> bool {
        self.socket.is_some()
    }

    /// The socket alone, for the process that comes next.
    pub fn into_descriptor(self) -> Option<OwnedFd> {
        self.socket.map(OwnedFd::from)
    }

    /// Receives the messages that have come, from peers alone; true if more may be waiting.
    pub fn receive(&mut self, mut take: impl FnMut(GatewayId, Vec<u8>)) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let mut buf = [0; MAX_MESSAGE + 1]; // one more than allowed: a longer datagram shows as such
        for _ in 0..READS_PER_TURN {
            match socket.recv_from(&mut buf) {
                Ok((n, from)) => {
                    let sender = self.addresses.peers.iter().position(|p| *p == from);
                    if let Some(no) = sender
                        .and_then(|i| u16::try_from(i).ok())
                        .filter(|_| n <= MAX_MESSAGE)
                    {
                        take(GatewayId(no), buf[..n].to_vec());
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // What an earlier message met on its way (a peer that is down): the next read goes on.
                Err(_) => {}
            }
        }
        true
    }

    /// Sends a message to one peer or to all; lost where it cannot go, as on the way.
    pub fn send(&self, to: Option<GatewayId>, bytes: &[u8]) {
        let address = match to {
            Some(gateway) => self.addresses.peers.get(usize::from(gateway.0)),
            None => self.addresses.all.as_ref(),
        };
        if let (Some(address), Some(socket)) =
            (address.filter(|_| bytes.len() <= MAX_MESSAGE), &self.socket)
        {
            let _ = socket.send_to(bytes, *address);
        }
    }
}
