//! Messages between ingresses: UDP datagrams, known by the address they come from.

use crate::config::PeerAddresses;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;
use wrenfork_decision::GatewayNo;

/// The most bytes of a message.
const MOST: usize = 256;
/// The most datagrams read in one turn, so that a flood of them cannot keep the loop from its other work.
const MOST_A_TURN: usize = 64;

/// The socket to the peers.
pub struct Peers {
    socket: UdpSocket,
    known: PeerAddresses,
}

impl Peers {
    /// Binds the socket and registers it.
    pub fn bind(known: PeerAddresses, registry: &Registry, token: Token) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(known.listen)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(Peers { socket, known })
    }

    /// Takes in what has come, from peers alone; true if more may be waiting.
    pub fn receive(&mut self, mut take: impl FnMut(GatewayNo, Vec<u8>)) -> bool {
        let mut buf = [0; MOST + 1]; // one more than allowed: a longer datagram shows as such
        for _ in 0..MOST_A_TURN {
            match self.socket.recv_from(&mut buf) {
                Ok((n, from)) => {
                    let sender = self.known.peers.iter().position(|p| *p == from);
                    if let Some(no) = sender.and_then(|i| u16::try_from(i).ok()).filter(|_| n <= MOST) {
                        take(GatewayNo(no), buf[..n].to_vec());
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
    pub fn tell(&self, to: Option<GatewayNo>, bytes: &[u8]) {
        let address = match to {
            Some(no) => self.known.peers.get(usize::from(no.0)),
            None => self.known.all.as_ref(),
        };
        if let Some(address) = address.filter(|_| bytes.len() <= MOST) {
            let _ = self.socket.send_to(bytes, *address);
        }
    }
}
