//! What falls due, and when.

use crate::backends::Link;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use wrenfork_decision::{BackendId, Micros, RequestId};

/// What falls due at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Due {
    /// The module's.
    Module(u32),
    /// An attempt is given up before its request's time is over.
    Expire(RequestId, u16),
    /// The module's time for a request is over: what is out of it is given up.
    Deadline(RequestId),
    /// A client's time is over.
    Overdue(RequestId),
    /// A connection should be up.
    Connect(Link),
    /// The next address of a node is tried.
    Race(Link),
    /// A probe is given up.
    Probe(Link, BackendId, Micros),
    /// A call of the count service is over.
    Count,
    Sweep,
    Accept,
    /// The configuration is to be read again.
    Reload,
    /// The time of accepting while stopping is over.
    Close,
    /// The time of answering while stopping is over.
    Last,
}

/// The timers that are set.
#[derive(Default, Serialize, Deserialize)]
pub struct Timers(BinaryHeap<Reverse<(Micros, Due)>>);

impl Timers {
    /// Has something fall due at a time.
    pub fn set(&mut self, at: Micros, due: Due) {
        self.0.push(Reverse((at, due)));
    }

    /// When the next one falls due.
    pub fn next(&self) -> Micros {
        self.0.peek().map_or(Micros::MAX, |t| t.0 .0)
    }

    /// Takes all that is due by now: what is set while these are carried out comes in a later turn.
    pub fn take(&mut self, now: Micros) -> Vec<Due> {
        let mut due = Vec::new();
        while self.next() <= now {
            due.extend(self.0.pop().map(|t| t.0 .1));
        }
        due
    }
}

#[cfg(test)]
pub(crate) mod tests;
