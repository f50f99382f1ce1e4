//! TCP relays on the legs that a scenario has fail: what passes may stop, be reset, or be late.

use super::address;
use super::context::{token, Context, Due, Part};
use super::pipe::{Flow, Pipe};
use crate::scenario::{Leg, LegFault, Micros};
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use slab::Slab;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// What falls due for relays.
pub enum RelayDue {
    /// Bytes are passed on that were held back.
    Pass {
        key: usize,
        serial: u64,
        bytes: Vec<u8>,
        end: bool,
    },
    /// A leg is well again, if no later fault came.
    Well {
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
    /// Until when what came here is held back: what comes later must not overtake it.
    held: Micros,
}

/// All relays.
#[derive(Default)]
pub struct Relays {
    listeners: Slab<(TcpListener, SocketAddr, (Leg, usize))>,
    halves: Slab<Half>,
    faults: HashMap<(u8, usize), (LegFault, Micros)>,
    serial: u64,
    chunk: Vec<u8>,
}

fn place(leg: (Leg, usize)) -> (u8, usize) {
    (leg.0 as u8, leg.1)
}

impl Relays {
    /// No relay yet.
    pub fn new() -> Self {
        Relays {
            chunk: vec![0; 64 * 1024],
            ..Relays::default()
        }
    }

    /// Opens a relay on a leg of an ingress, and tells where.
    pub fn open(
        &mut self,
        leg: (Leg, usize),
        to: SocketAddr,
        context: &mut Context,
    ) -> io::Result<SocketAddr> {
        let mut listener = TcpListener::bind(SocketAddr::new(address::own(), 0))?;
        let at = listener.local_addr()?;
        let entry = self.listeners.vacant_entry();
        let token = token(Part::RelayListener, entry.key());
        context
            .registry
            .register(&mut listener, token, Interest::READABLE)?;
        entry.insert((listener, to, leg));
        Ok(at)
    }

    /// Has a leg fail for a time.
    pub fn fail(
        &mut self,
        leg: (Leg, usize),
        fault: LegFault,
        lasts: Micros,
        context: &mut Context,
    ) {
        self.faults.insert(place(leg), (fault, context.now));
        if fault == LegFault::Reset {
            let gone: Vec<usize> = self
                .halves
                .iter()
                .filter(|(_, h)| h.leg == leg)
                .map(|(key, _)| key)
                .collect();
            gone.into_iter().for_each(|key| self.reset(key));
        }
        let due = RelayDue::Well {
            leg: leg.0,
            ingress: leg.1,
            since: context.now,
        };
        context.after(lasts, Due::Relay(due));
    }

    /// How a leg fails at the moment.
    pub fn fault(&self, leg: (Leg, usize)) -> Option<LegFault> {
        self.faults.get(&place(leg)).map(|f| f.0)
    }

    /// Takes in connections, each with one of its own to where it goes.
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
                held: 0,
            };
            let one = self.halves.insert(half(near, usize::MAX));
            let two = self.halves.insert(half(Pipe::new(far), one));
            self.halves[one].other = two;
            for key in [one, two] {
                let stream = &mut self.halves[key].pipe.stream;
                let interest = Interest::READABLE | Interest::WRITABLE;
                let _ = context
                    .registry
                    .register(stream, token(Part::Relay, key), interest);
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

    /// Does what a half of a connection is ready for.
    pub fn ready(&mut self, key: usize, context: &mut Context) {
        let Some(half) = self.halves.get_mut(key) else {
            return;
        };
        if !half.pipe.flush() {
            return self.reset(key);
        }
        let (leg, serial, other) = (half.leg, half.serial, half.other);
        let fault = self.fault(leg);
        if fault == Some(LegFault::Silent) {
            return; // read once the leg is well again
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
        let at = half.held.max(context.now + delay);
        if at > context.now {
            half.held = at;
            context.at(
                at,
                Due::Relay(RelayDue::Pass {
                    key: other,
                    serial,
                    bytes,
                    end,
                }),
            );
        } else {
            self.pass(other, &bytes, end);
        }
    }

    fn pass(&mut self, key: usize, bytes: &[u8], end: bool) {
        let Some(half) = self.halves.get_mut(key) else {
            return;
        };
        if !half.pipe.say(bytes) {
            return self.reset(key);
        }
        if end {
            // The end of one direction ends both here: no part of the protocol needs half of a connection.
            let other = half.other;
            self.halves.remove(key);
            self.halves.try_remove(other);
        }
    }

    /// Carries out what is due.
    pub fn due(&mut self, due: RelayDue, context: &mut Context) -> Option<(Leg, usize)> {
        match due {
            RelayDue::Pass {
                key,
                serial,
                bytes,
                end,
            } => {
                if self.halves.get(key).is_some_and(|h| h.serial == serial) {
                    self.pass(key, &bytes, end);
                }
                None
            }
            RelayDue::Well {
                leg,
                ingress,
                since,
            } => {
                let at = (leg, ingress);
                if self.faults.get(&place(at)).is_none_or(|f| f.1 != since) {
                    return None;
                }
                let was = self.faults.remove(&place(at)).map(|f| f.0);
                let held = self
                    .halves
                    .iter()
                    .filter(|(_, h)| h.leg == at)
                    .map(|(key, _)| key);
                let held: Vec<usize> = held.collect();
                // What stood still for that long is over when the way is back: nothing old arrives.
                let silent = was == Some(LegFault::Silent);
                held.into_iter().for_each(|key| {
                    if silent {
                        self.reset(key)
                    } else {
                        self.ready(key, context)
                    }
                });
                Some(at)
            }
        }
    }
}
