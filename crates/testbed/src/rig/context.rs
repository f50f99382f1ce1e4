//! State that all components of the rig share: the clock, the timers, the poll registry, and the observations for the judge.

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

/// An event that a timer delivers.
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
    FollowUp(FollowUp),
    /// An observation that takes effect later, as a slow relay delays what it reports.
    Seen(Seen),
}

/// A delayed action of a step of the scenario.
pub enum FollowUp {
    /// A backend dies and is started again after `down`.
    Die {
        slot: usize,
        down: Micros,
        new_name: bool,
    },
    /// Discovery removes a backend that is still dead.
    Remove { slot: usize },
    /// A dead backend is started again.
    Revive { slot: usize, new_name: bool },
    /// A backend drains, dies and is started again under a new name.
    Replace { slot: usize, down: Micros },
    /// An ingress shuts down gracefully and is started again after `down`.
    Stop { ingress: usize, down: Micros },
    /// The links from some ingresses to others work again.
    RestoreLinks { from: Vec<usize>, to: Vec<usize> },
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

/// The component of the rig that a socket belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
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

const COMPONENTS: usize = 10;

/// Encodes component and key as a poll token.
pub fn token(component: Component, key: usize) -> Token {
    Token(key * COMPONENTS + component as usize)
}

/// Decodes a poll token into component and key.
pub fn decode_token(token: Token) -> (Component, usize) {
    let component = match token.0 % COMPONENTS {
        0 => Component::Client,
        1 => Component::BackendListener,
        2 => Component::Backend,
        3 => Component::DiscoveryListener,
        4 => Component::Discovery,
        5 => Component::Peer,
        6 => Component::RelayListener,
        7 => Component::Relay,
        8 => Component::CounterListener,
        _ => Component::Counter,
    };
    (component, token.0 / COMPONENTS)
}

/// State that all components share.
pub struct Context {
    pub registry: Registry,
    started: Instant,
    offset: Micros,
    /// The last reading of the clock, in microseconds: monotonic, and equal to Unix time at the start of the rig.
    pub now: Micros,
    timers: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    /// Observations with their times that the judge has not received yet.
    pub seen: Vec<(Micros, Seen)>,
    /// How late each timer was handled, in microseconds.
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

    /// Schedules an event `delay` after the last reading of the clock.
    pub fn after(&mut self, delay: Micros, due: Due) {
        self.at(self.now + delay, due);
    }

    /// Schedules an event at a time.
    pub fn at(&mut self, at: Micros, due: Due) {
        self.serial += 1;
        self.timers.push(Reverse(Entry {
            at,
            serial: self.serial,
            due,
        }));
    }

    /// The time of the next event; `None` if no timer is set.
    pub fn next_time(&self) -> Option<Micros> {
        self.timers.peek().map(|e| e.0.at)
    }

    /// Removes and returns the next event that is due. Its lateness is recorded if `record_lateness` is set.
    pub fn next_due(&mut self, record_lateness: bool) -> Option<Due> {
        self.read_clock();
        if self.next_time().is_none_or(|at| at > self.now) {
            return None;
        }
        let entry = self.timers.pop()?.0;
        if record_lateness {
            self.lateness
                .push(u32::try_from(self.now - entry.at).unwrap_or(u32::MAX));
        }
        Some(entry.due)
    }

    /// Records an observation for the judge, at the last reading of the clock.
    pub fn record(&mut self, seen: Seen) {
        self.seen.push((self.now, seen));
    }
}
