//! The network between ingresses: a UDP relay that delays, drops, repeats and splits. Each ingress sees each other
//! one under an address of its own, so that the relay knows who sends what to whom.

use super::address;
use super::context::{token, Context, Due, Part};
use crate::scenario::{Micros, Scenario, SECOND};
use fastrand::Rng;
use mio::net::UdpSocket;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// The most bytes of a message.
const MOST: usize = 256;

/// What falls due for peers.
pub enum PeerDue {
    /// A message arrives.
    Arrive {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// The peers are one again, if no later split came.
    Whole { since: Micros },
    /// The network is as it was, if no later fault came.
    Calm { since: Micros },
}

#[derive(Clone, Copy)]
struct Weather {
    delay: (Micros, Micros),
    loss: f64,
    repeat: f64,
}

/// The relay.
pub struct Peers {
    /// By sender and receiver: the address at which the sender sees the receiver. With itself: all others.
    sockets: Vec<Vec<UdpSocket>>,
    /// Where each ingress takes messages.
    listens: Vec<SocketAddr>,
    calm: Weather,
    weather: (Weather, Micros),
    /// Messages that an ingress takes in a second, and what it took in this one.
    most_a_second: f64,
    taken: Vec<(Micros, f64)>,
    split: Option<Micros>,
    rng: Rng,
    /// Messages that came, and those that were longer than allowed.
    pub sent: u64,
    /// See `sent`.
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
                let token = token(Part::Peer, from * count + to);
                context
                    .registry
                    .register(&mut socket, token, Interest::READABLE)?;
                row.push(socket);
            }
            sockets.push(row);
        }
        let (delay, loss) = (s.network.peer_delay, s.network.peer_loss);
        let calm = Weather {
            delay,
            loss,
            repeat: 0.0,
        };
        Ok(Peers {
            sockets,
            listens,
            calm,
            weather: (calm, 0),
            most_a_second: s.network.peer_in_per_s,
            taken: vec![(0, 0.0); count],
            split: None,
            rng: Rng::with_seed(s.seed ^ 0x9EE5),
            sent: 0,
            too_long: 0,
        })
    }

    /// Where an ingress takes messages, how it sees the others, and how all of them.
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

    /// Cuts the peers into two halves.
    pub fn split(&mut self, lasts: Micros, context: &mut Context) {
        self.split = Some(context.now);
        context.after(lasts, Due::Peer(PeerDue::Whole { since: context.now }));
    }

    /// Loses, repeats and delays messages.
    pub fn lossy(&mut self, fault: (f64, f64, Micros), lasts: Micros, context: &mut Context) {
        let (loss, repeat, delay) = fault;
        let (low, high) = self.calm.delay;
        self.weather = (
            Weather {
                delay: (low, high + delay),
                loss,
                repeat,
            },
            context.now,
        );
        context.after(lasts, Due::Peer(PeerDue::Calm { since: context.now }));
    }

    /// Takes in what a socket has.
    pub fn ready(&mut self, key: usize, context: &mut Context) {
        let count = self.sockets.len();
        let (from, to) = (key / count, key % count);
        let mut buf = [0; 2048];
        loop {
            match self.sockets[from][to].recv_from(&mut buf) {
                Ok((n, sender)) if sender == self.listens[from] => {
                    self.sent += 1;
                    self.too_long += u64::from(n > MOST);
                    let to: Vec<usize> = if to == from {
                        (0..count).filter(|t| *t != from).collect()
                    } else {
                        vec![to]
                    };
                    to.into_iter()
                        .for_each(|to| self.carry(from, to, &buf[..n.min(MOST)], context));
                }
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // What an earlier message met on its way: an ingress that is down.
                Err(_) => {}
            }
        }
    }

    fn carry(&mut self, from: usize, to: usize, bytes: &[u8], context: &mut Context) {
        let half = |i: usize| i < self.sockets.len().div_ceil(2);
        let cut = self.split.is_some() && half(from) != half(to);
        let weather = self.weather.0;
        let weather = if self.weather.1 == 0 {
            self.calm
        } else {
            weather
        };
        // Drawn for each message in any case, so that a cut doesn't shift the fate of the others.
        let (lost, again) = (
            self.rng.f64() < weather.loss,
            self.rng.f64() < weather.repeat,
        );
        if cut || lost {
            return;
        }
        for _ in 0..1 + usize::from(again) {
            let delay = weather.delay.0 + self.rng.u64(0..=weather.delay.1 - weather.delay.0);
            let bytes = bytes.to_vec();
            context.after(delay, Due::Peer(PeerDue::Arrive { from, to, bytes }));
        }
    }

    /// Carries out what is due.
    pub fn due(&mut self, due: PeerDue, context: &mut Context) {
        match due {
            PeerDue::Arrive { from, to, bytes } => {
                let (second, taken) = &mut self.taken[to];
                if context.now >= *second + SECOND {
                    (*second, *taken) = (context.now, 0.0);
                }
                *taken += 1.0;
                if *taken <= self.most_a_second {
                    // As the receiver sees the sender.
                    let _ = self.sockets[to][from].send_to(&bytes, self.listens[to]);
                }
            }
            PeerDue::Whole { since } if self.split == Some(since) => self.split = None,
            PeerDue::Calm { since } if self.weather.1 == since => self.weather.1 = 0,
            PeerDue::Whole { .. } | PeerDue::Calm { .. } => {}
        }
    }
}
