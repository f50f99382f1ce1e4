//! The network between ingresses: a UDP relay that delays, drops and repeats messages and can partition the network. Each ingress
//! has a separate relay address for each peer, by which the relay knows sender and receiver of a message.

use super::address;
use super::context::{token, Component, Context, Due};
use crate::scenario::{Micros, Scenario, SECOND};
use fastrand::Rng;
use mio::net::UdpSocket;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// The maximum length of a message, in bytes; the relay cuts off the rest.
const MAX_MESSAGE_BYTES: usize = 256;

/// A timer event of the peers' network.
pub enum PeerDue {
    /// A message is delivered.
    Arrive {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// The partition that began at `since` ends, unless a later one has replaced it.
    SplitOver { since: Micros },
    /// The fault that began at `since` ends, unless a later one has replaced it.
    FaultOver { since: Micros },
}

#[derive(Clone, Copy)]
struct Conditions {
    delay: (Micros, Micros),
    loss: f64,
    repeat: f64,
}

/// The relay between all ingresses.
pub struct Peers {
    /// The relay's sockets by sender and receiver: the sender reaches the receiver through it. The socket of a sender with itself
    /// reaches all peers.
    sockets: Vec<Vec<UdpSocket>>,
    /// The address at which each ingress receives messages.
    listens: Vec<SocketAddr>,
    normal: Conditions,
    conditions: (Conditions, Micros),
    /// How many messages an ingress receives per second; the relay drops the rest.
    max_per_second: f64,
    /// For each ingress: the start of the current second, and the messages received since.
    received: Vec<(Micros, f64)>,
    split: Option<Micros>,
    rng: Rng,
    /// How many messages ingresses sent.
    pub sent: u64,
    /// How many of them exceeded the maximum length.
    pub too_long: u64,
}

impl Peers {
    /// Opens a socket for each ordered pair of ingresses.
    pub fn open(s: &Scenario, context: &mut Context) -> io::Result<Self> {
        let count = usize::from(s.ingresses.count);
        let (mut sockets, mut listens) = (Vec::new(), Vec::new());
        for from in 0..count {
            let ip = address::own();
            listens.push(address::free(ip)?);
            let mut row = Vec::new();
            for to in 0..count {
                let mut socket = UdpSocket::bind((ip, 0).into())?;
                let token = token(Component::Peer, from * count + to);
                context
                    .registry
                    .register(&mut socket, token, Interest::READABLE)?;
                row.push(socket);
            }
            sockets.push(row);
        }
        let (delay, loss) = (s.network.peer_delay, s.network.peer_loss);
        let normal = Conditions {
            delay,
            loss,
            repeat: 0.0,
        };
        Ok(Peers {
            sockets,
            listens,
            normal,
            conditions: (normal, 0),
            max_per_second: s.network.peer_in_per_s,
            received: vec![(0, 0.0); count],
            split: None,
            rng: Rng::with_seed(s.seed ^ 0x9EE5),
            sent: 0,
            too_long: 0,
        })
    }

    /// The address at which an ingress receives messages, its address for each peer, and its address for all peers.
    pub fn addresses(
        &self,
        ingress: usize,
    ) -> io::Result<(SocketAddr, Vec<SocketAddr>, SocketAddr)> {
        let list = self.sockets[ingress]
            .iter()
            .enumerate()
            .map(|(to, socket)| {
                if to == ingress {
                    Ok(self.listens[ingress])
                } else {
                    socket.local_addr()
                }
            });
        let all = self.sockets[ingress][ingress].local_addr()?;
        Ok((
            self.listens[ingress],
            list.collect::<io::Result<Vec<_>>>()?,
            all,
        ))
    }

    /// Partitions the ingresses into two halves.
    pub fn split(&mut self, lasts: Micros, context: &mut Context) {
        self.split = Some(context.now);
        context.after(lasts, Due::Peer(PeerDue::SplitOver { since: context.now }));
    }

    /// Drops, repeats and delays messages for a time: the probabilities of a loss and of a repeat, and the extra delay.
    pub fn lossy(&mut self, fault: (f64, f64, Micros), lasts: Micros, context: &mut Context) {
        let (loss, repeat, delay) = fault;
        let (low, high) = self.normal.delay;
        self.conditions = (
            Conditions {
                delay: (low, high + delay),
                loss,
                repeat,
            },
            context.now,
        );
        context.after(lasts, Due::Peer(PeerDue::FaultOver { since: context.now }));
    }

    /// Receives and relays all messages that wait at a socket.
    pub fn handle_ready(&mut self, key: usize, context: &mut Context) {
        let count = self.sockets.len();
        let (from, to) = (key / count, key % count);
        let mut buf = [0; 2048];
        loop {
            match self.sockets[from][to].recv_from(&mut buf) {
                Ok((n, sender)) if sender == self.listens[from] => {
                    self.sent += 1;
                    self.too_long += u64::from(n > MAX_MESSAGE_BYTES);
                    let to: Vec<usize> = if to == from {
                        (0..count).filter(|t| *t != from).collect()
                    } else {
                        vec![to]
                    };
                    to.into_iter().for_each(|to| {
                        self.relay(from, to, &buf[..n.min(MAX_MESSAGE_BYTES)], context)
                    });
                }
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // An error of an earlier message: its receiver is down (ICMP port unreachable).
                Err(_) => {}
            }
        }
    }

    fn relay(&mut self, from: usize, to: usize, bytes: &[u8], context: &mut Context) {
        let half = |i: usize| i < self.sockets.len().div_ceil(2);
        let cut = self.split.is_some() && half(from) != half(to);
        let conditions = self.conditions.0;
        let conditions = if self.conditions.1 == 0 {
            self.normal
        } else {
            conditions
        };
        // Drawn for each message, dropped or not, so that a partition does not change the random
        // numbers of later messages.
        let (lost, repeated) = (
            self.rng.f64() < conditions.loss,
            self.rng.f64() < conditions.repeat,
        );
        if cut || lost {
            return;
        }
        for _ in 0..1 + usize::from(repeated) {
            let delay =
                conditions.delay.0 + self.rng.u64(0..=conditions.delay.1 - conditions.delay.0);
            let bytes = bytes.to_vec();
            context.after(delay, Due::Peer(PeerDue::Arrive { from, to, bytes }));
        }
    }

    /// Handles a timer event.
    pub fn handle_due(&mut self, due: PeerDue, context: &mut Context) {
        match due {
            PeerDue::Arrive { from, to, bytes } => {
                let (second, received) = &mut self.received[to];
                if context.now >= *second + SECOND {
                    (*second, *received) = (context.now, 0.0);
                }
                *received += 1.0;
                if *received <= self.max_per_second {
                    // Sent from the address under which the receiver knows the sender.
                    let _ = self.sockets[to][from].send_to(&bytes, self.listens[to]);
                }
            }
            PeerDue::SplitOver { since } if self.split == Some(since) => self.split = None,
            PeerDue::FaultOver { since } if self.conditions.1 == since => self.conditions.1 = 0,
            PeerDue::SplitOver { .. } | PeerDue::FaultOver { .. } => {}
        }
    }
}
