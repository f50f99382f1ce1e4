//! TCP relays on the legs for which a scenario has faults: a leg can be silent, slow, or reset its connections.

use super::address;
use super::context::{token, Component, Context, Due};
use super::pipe::{Flow, Pipe};
use crate::scenario::{Leg, LegFault, Micros};
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use slab::Slab;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// A timer event of the relays.
pub enum RelayDue {
    /// Delayed bytes are forwarded.
    Forward {
        key: usize,
        serial: u64,
        bytes: Vec<u8>,
        end: bool,
    },
    /// The fault that began at `since` ends, unless a later one has replaced it.
    Recovered {
        leg: Leg,
        ingress: usize,
        since: Micros,
    },
}

struct Half {
    pipe: Pipe,
    other: usize,
    serial: u64,
    leg: (Leg, usize),
    ended: bool,
    /// When the last bytes received here are forwarded; later bytes must not overtake them.
    forward_at: Micros,
}

/// All relays, and the faults of their legs.
#[derive(Default)]
pub struct Relays {
    listeners: Slab<(TcpListener, SocketAddr, (Leg, usize))>,
    halves: Slab<Half>,
    faults: HashMap<(u8, usize), (LegFault, Micros)>,
    serial: u64,
    chunk: Vec<u8>,
}

fn leg_key(leg: (Leg, usize)) -> (u8, usize) {
    (leg.0 as u8, leg.1)
}

impl Relays {
    /// Creates the set without any relay.
    pub fn new() -> Self {
        Relays {
            chunk: vec![0; 64 * 1024],
            ..Relays::default()
        }
    }

    /// Opens a relay on a leg of an ingress, and returns its address.
    pub fn open(
        &mut self,
        leg: (Leg, usize),
        to: SocketAddr,
        context: &mut Context,
    ) -> io::Result<SocketAddr> {
        let mut listener = TcpListener::bind(SocketAddr::new(address::own(), 0))?;
        let at = listener.local_addr()?;
        let entry = self.listeners.vacant_entry();
        let token = token(Component::RelayListener, entry.key());
        context
            .registry
            .register(&mut listener, token, Interest::READABLE)?;
        entry.insert((listener, to, leg));
        Ok(at)
    }

    /// Makes a leg fail for a time.
    pub fn fail(
        &mut self,
        leg: (Leg, usize),
        fault: LegFault,
        lasts: Micros,
        context: &mut Context,
    ) {
        self.faults.insert(leg_key(leg), (fault, context.now));
        if fault == LegFault::Reset {
            let gone: Vec<usize> = self
                .halves
                .iter()
                .filter(|(_, h)| h.leg == leg)
                .map(|(key, _)| key)
                .collect();
            gone.into_iter().for_each(|key| self.reset(key));
        }
        let due = RelayDue::Recovered {
            leg: leg.0,
            ingress: leg.1,
            since: context.now,
        };
        context.after(lasts, Due::Relay(due));
    }

    /// The current fault of a leg.
    pub fn fault(&self, leg: (Leg, usize)) -> Option<LegFault> {
        self.faults.get(&leg_key(leg)).map(|f| f.0)
    }

    /// Accepts pending connections, and connects each to the destination of the relay.
    pub fn accept(&mut self, key: usize, context: &mut Context) {
        loop {
            let Some((listener, to, leg)) = self.listeners.get(key) else {
                return;
            };
            let (to, leg) = (*to, *leg);
            let Ok((near, _)) = listener.accept() else {
                return;
            };
            let near = Pipe::new(near);
            if self.fault(leg) == Some(LegFault::Reset) {
                near.reset_on_close();
                continue;
            }
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            self.serial += 1;
            let serial = self.serial;
            let half = |pipe, other| Half {
                pipe,
                other,
                serial,
                leg,
                ended: false,
                forward_at: 0,
            };
            let one = self.halves.insert(half(near, usize::MAX));
            let two = self.halves.insert(half(Pipe::new(far), one));
            self.halves[one].other = two;
            for key in [one, two] {
                let stream = &mut self.halves[key].pipe.stream;
                let interest = Interest::READABLE | Interest::WRITABLE;
                let _ = context
                    .registry
                    .register(stream, token(Component::Relay, key), interest);
            }
        }
    }

    fn reset(&mut self, key: usize) {
        let Some(half) = self.halves.try_remove(key) else {
            return;
        };
        half.pipe.reset_on_close();
        if let Some(other) = self.halves.try_remove(half.other) {
            other.pipe.reset_on_close();
        }
    }

    /// Reads and writes one side of a relayed connection that is ready.
    pub fn handle_ready(&mut self, key: usize, context: &mut Context) {
        let Some(half) = self.halves.get_mut(key) else {
            return;
        };
        if !half.pipe.flush() {
            return self.reset(key);
        }
        let (leg, serial, other) = (half.leg, half.serial, half.other);
        let fault = self.fault(leg);
        if fault == Some(LegFault::Silent) {
            return; // the bytes stay in the socket until the leg recovers
        }
        let half = &mut self.halves[key];
        let flow = half.pipe.fill(&mut self.chunk);
        let bytes = std::mem::take(&mut half.pipe.inbox);
        let end = flow != Flow::Open && !std::mem::replace(&mut half.ended, flow != Flow::Open);
        if flow == Flow::Reset {
            return self.reset(key);
        }
        if bytes.is_empty() && !end {
            return;
        }
        let delay = if let Some(LegFault::Slow(delay)) = fault {
            delay
        } else {
            0
        };
        let half = &mut self.halves[key];
        let at = half.forward_at.max(context.now + delay);
        if at > context.now {
            half.forward_at = at;
            context.at(
                at,
                Due::Relay(RelayDue::Forward {
                    key: other,
                    serial,
                    bytes,
                    end,
                }),
            );
        } else {
            self.forward(other, &bytes, end);
        }
    }

    fn forward(&mut self, key: usize, bytes: &[u8], end: bool) {
        let Some(half) = self.halves.get_mut(key) else {
            return;
        };
        if !half.pipe.send(bytes) {
            return self.reset(key);
        }
        if end {
            // The end of one direction closes both: the protocol does not use half-closed connections.
            let other = half.other;
            self.halves.remove(key);
            self.halves.try_remove(other);
        }
    }

    /// Handles a timer event. Returns the leg that has recovered, if any.
    pub fn handle_due(&mut self, due: RelayDue, context: &mut Context) -> Option<(Leg, usize)> {
        match due {
            RelayDue::Forward {
                key,
                serial,
                bytes,
                end,
            } => {
                if self.halves.get(key).is_some_and(|h| h.serial == serial) {
                    self.forward(key, &bytes, end);
                }
                None
            }
            RelayDue::Recovered {
                leg,
                ingress,
                since,
            } => {
                let at = (leg, ingress);
                if self.faults.get(&leg_key(at)).is_none_or(|f| f.1 != since) {
                    return None;
                }
                let ended = self.faults.remove(&leg_key(at)).map(|f| f.0);
                let affected = self
                    .halves
                    .iter()
                    .filter(|(_, h)| h.leg == at)
                    .map(|(key, _)| key);
                let affected: Vec<usize> = affected.collect();
                // Connections of a silent leg are reset at recovery, so that no stale bytes arrive.
                let silent = ended == Some(LegFault::Silent);
                affected.into_iter().for_each(|key| {
                    if silent {
                        self.reset(key)
                    } else {
                        self.handle_ready(key, context)
                    }
                });
                Some(at)
            }
        }
    }
}
