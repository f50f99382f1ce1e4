//! Messages between ingresses: UDP datagrams, known by the address they come from.

use crate::config::PeerAddresses;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;
use std::os::fd::OwnedFd;
use wrenfork_decision::GatewayId;

/// The most bytes of a message.
const MOST: usize = 256;
/// The most datagrams read in one turn, so that a flood of them cannot keep the loop from its other work.
const MOST_A_TURN: usize = 64;

/// The socket to the peers.
pub struct Peers {
    /// None while another process of this ingress has the address.
    socket: Option<UdpSocket>,
    known: PeerAddresses,
}

impl Peers {
    /// Binds the socket and registers it. Where it `may_wait`, an address that is still taken is bound later.
    pub fn bind(
        known: PeerAddresses,
        registry: &Registry,
        token: Token,
        may_wait: bool,
    ) -> io::Result<Self> {
        let mut peers = Peers {
            socket: None,
            known,
        };
        match peers.bind_again(registry, token) {
            Err(e) if may_wait && e.kind() == io::ErrorKind::AddrInUse => {
                tracing::warn!(
                    "peer_listen: another process has it; peers are not heard until that has ended"
                );
            }
            bound => bound?,
        }
        Ok(peers)
    }

    /// Binds the socket if there is none.
    pub fn bind_again(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        if self.socket.is_none() {
            self.adopt(UdpSocket::bind(self.known.listen)?, registry, token)?;
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
    pub fn passed(
        known: PeerAddresses,
        descriptor: OwnedFd,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Self> {
        let mut peers = Peers {
            socket: None,
            known,
        };
        peers.adopt(UdpSocket::from_std(descriptor.into()), registry, token)?;
        Ok(peers)
    }

    /// Whether there is a socket.
    pub fn bound(&self) -> bool {
        self.socket.is_some()
    }

    /// The socket alone, for the process that comes next.
    pub fn into_descriptor(self) -> Option<OwnedFd> {
        self.socket.map(OwnedFd::from)
    }

    /// Takes in what has come, from peers alone; true if more may be waiting.
    pub fn receive(&mut self, mut take: impl FnMut(GatewayId, Vec<u8>)) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let mut buf = [0; MOST + 1]; // one more than allowed: a longer datagram shows as such
        for _ in 0..MOST_A_TURN {
            match socket.recv_from(&mut buf) {
                Ok((n, from)) => {
                    let sender = self.known.peers.iter().position(|p| *p == from);
                    if let Some(no) = sender
                        .and_then(|i| u16::try_from(i).ok())
                        .filter(|_| n <= MOST)
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
    pub fn tell(&self, to: Option<GatewayId>, bytes: &[u8]) {
        let address = match to {
            Some(no) => self.known.peers.get(usize::from(no.0)),
            None => self.known.all.as_ref(),
        };
        if let (Some(address), Some(socket)) =
            (address.filter(|_| bytes.len() <= MOST), &self.socket)
        {
            let _ = socket.send_to(bytes, *address);
        }
    }
}
