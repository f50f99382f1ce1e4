//! What all parts of the rig share: the clock, the timers, the poll, and the log of what was seen.

use super::backends::BackendDue;
use super::clients::ClientDue;
use super::counter::CounterDue;
use super::discovery::DiscoveryDue;
use super::peers::PeerDue;
use super::processes::ProcessDue;
use super::relays::RelayDue;
use crate::arrivals::Arrival;
use crate::judge::Seen;
use crate::scenario::Micros;
use mio::{Registry, Token};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What falls due.
pub enum Due {
    Arrival(Arrival),
    Step(usize),
    Client(ClientDue),
    Backend(BackendDue),
    Discovery(DiscoveryDue),
    Counter(CounterDue),
    Peer(PeerDue),
    Relay(RelayDue),
    Process(ProcessDue),
    Later(Later),
    /// What a relay has held back is seen on the other side.
    Seen(Seen),
}

/// The later parts of what a step has begun.
pub enum Later {
    Die {
        slot: usize,
        down: Micros,
        new_name: bool,
    },
    Noticed {
        slot: usize,
    },
    Revive {
        slot: usize,
        new_name: bool,
    },
    Replace {
        slot: usize,
        down: Micros,
    },
    Stop {
        ingress: usize,
        down: Micros,
    },
    LinksWell {
        from: Vec<usize>,
        to: Vec<usize>,
    },
}

struct Entry {
    at: Micros,
    serial: u64,
    due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.serial == other.serial
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// The part of the rig that a socket belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Client = 0,
    BackendListener = 1,
    Backend = 2,
    DiscoveryListener = 3,
    Discovery = 4,
    Peer = 5,
    RelayListener = 6,
    Relay = 7,
    CounterListener = 8,
    Counter = 9,
}

const PARTS: usize = 10;

/// The token of a part's socket.
pub fn token(part: Part, key: usize) -> Token {
    Token(key * PARTS + part as usize)
}

/// The part and the key of a token.
pub fn owner(token: Token) -> (Part, usize) {
    let part = match token.0 % PARTS {
        0 => Part::Client,
        1 => Part::BackendListener,
        2 => Part::Backend,
        3 => Part::DiscoveryListener,
        4 => Part::Discovery,
        5 => Part::Peer,
        6 => Part::RelayListener,
        7 => Part::Relay,
        8 => Part::CounterListener,
        _ => Part::Counter,
    };
    (part, token.0 / PARTS)
}

/// What all parts share.
pub struct Context {
    pub registry: Registry,
    started: Instant,
    offset: Micros,
    /// The clock at its last reading: monotonic, counted from the same moment as Unix time.
    pub now: Micros,
    timers: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    /// What was seen and the judge has not heard.
    pub seen: Vec<(Micros, Seen)>,
    /// How late the timers were carried out, in microseconds.
    pub lateness: Vec<u32>,
}

impl Context {
    pub fn new(registry: Registry) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut context = Context {
            registry,
            started: Instant::now(),
            offset: unix.as_micros() as Micros,
            now: 0,
            timers: BinaryHeap::new(),
            serial: 0,
            seen: Vec::new(),
            lateness: Vec::new(),
        };
        context.read_clock();
        context
    }

    pub fn read_clock(&mut self) -> Micros {
        self.now = self.offset + self.started.elapsed().as_micros() as Micros;
        self.now
    }

    /// Has something fall due so much later.
    pub fn after(&mut self, delay: Micros, due: Due) {
        self.at(self.now + delay, due);
    }

    /// Has something fall due at a time.
    pub fn at(&mut self, at: Micros, due: Due) {
        self.serial += 1;
        self.timers.push(Reverse(Entry {
            at,
            serial: self.serial,
            due,
        }));
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Micros> {
        self.timers.peek().map(|e| e.0.at)
    }

    /// What is due by now, one by one; how late it is, is noted once `counts`.
    pub fn take(&mut self, counts: bool) -> Option<Due> {
        self.read_clock();
        if self.next().is_none_or(|at| at > self.now) {
            return None;
        }
        let entry = self.timers.pop()?.0;
        if counts {
            self.lateness
                .push(u32::try_from(self.now - entry.at).unwrap_or(u32::MAX));
        }
        Some(entry.due)
    }

    /// Notes what was seen, at the clock's last reading.
    pub fn see(&mut self, seen: Seen) {
        self.seen.push((self.now, seen));
    }
}
