//! Messages between ingresses: UDP datagrams whose sender is identified by its address.

use crate::config::PeerAddresses;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;
use std::os::fd::OwnedFd;
use wrenfork_decision::GatewayId;

/// Maximum size of a message in bytes; larger datagrams are dropped.
const MAX_MESSAGE: usize = 256;
/// Maximum number of datagrams read per event loop iteration, so that a flood of datagrams cannot starve other work.
const READS_PER_TURN: usize = 64;

/// The UDP socket for messages to and from peers.
pub struct PeerSocket {
    /// `None` while another process of this ingress still has the address bound.
    socket: Option<UdpSocket>,
    addresses: PeerAddresses,
}

impl PeerSocket {
    /// Binds the socket and registers it for polling. With `may_wait`, an address that is in use is not an error; it is bound
    /// later by [`PeerSocket::bind_if_unbound`].
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
                    "peer_listen: address in use by another process, no peer messages until that process exits"
                );
            }
            bound => bound?,
        }
        Ok(peers)
    }

    /// Binds the socket if it is not bound yet.
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

    /// Creates a peer socket from the descriptor that the predecessor handed over.
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

    /// Whether the socket is bound.
    pub fn is_bound(&self) -> bool {
        self.socket.is_some()
    }

    /// The descriptor of the socket, for handover to the successor.
    pub fn into_descriptor(self) -> Option<OwnedFd> {
        self.socket.map(OwnedFd::from)
    }

    /// Passes received messages to `take`, ignoring datagrams from unknown addresses. Returns true if more may be waiting.
    pub fn receive(&mut self, mut take: impl FnMut(GatewayId, Vec<u8>)) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let mut buf = [0; MAX_MESSAGE + 1]; // one byte more than allowed, to detect longer datagrams
        for _ in 0..READS_PER_TURN {
            match socket.recv_from(&mut buf) {
                Ok((length, from)) => {
                    let sender = self.addresses.peers.iter().position(|p| *p == from);
                    if let Some(index) = sender
                        .and_then(|i| u16::try_from(i).ok())
                        .filter(|_| length <= MAX_MESSAGE)
                    {
                        take(GatewayId(index), buf[..length].to_vec());
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // Error caused by an earlier message, for instance to a peer that is down: continue with the next read.
                Err(_) => {}
            }
        }
        true
    }

    /// Sends a message to one peer, or to all for `None`. Send errors are ignored, since datagrams may be lost anyway.
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
