//! The timers of the event loop: what falls due, and when.

use crate::backend::ConnectionHandle;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use wrenfork_decision::{BackendId, Micros, RequestId};

#[cfg(test)]
pub(crate) mod tests;

/// What falls due at a time. The order is the order of timers that fall due together, and part of a handover's layout.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Due {
    /// A timer of the decision module, with its token.
    Module(u32),
    /// An attempt, by its number, is given up before its request's deadline.
    AttemptTimeout(RequestId, u16),
    /// The module's deadline of a request: its attempts are given up.
    RequestDeadline(RequestId),
    /// The client's deadline of a request.
    ClientDeadline(RequestId),
    /// A connection to a backend should be established.
    ConnectTimeout(ConnectionHandle),
    /// The next address of a backend is tried beside the first (RFC 8305).
    NextAddress(ConnectionHandle),
    /// A health check, begun at this time, is given up.
    HealthCheckTimeout(ConnectionHandle, BackendId, Micros),
    /// A call of the count service is given up.
    CountTimeout,
    /// Connections are looked at that have been idle for long.
    Sweep,
    /// Accepting is tried again.
    Accept,
    /// The configuration is to be read again.
    Reload,
    /// The time of accepting during a graceful shutdown is over.
    StopAccepting,
    /// The time of answering during a graceful shutdown is over.
    FailOpenRequests,
}

/// The timers that are set.
#[derive(Default, Serialize, Deserialize)]
pub struct Timers(BinaryHeap<Reverse<(Micros, Due)>>);

impl Timers {
    /// Has something fall due at a time.
    pub fn set(&mut self, at: Micros, due: Due) {
        self.0.push(Reverse((at, due)));
    }

    /// When the next one falls due; [`Micros::MAX`] where none is set.
    pub fn next(&self) -> Micros {
        self.0.peek().map_or(Micros::MAX, |timer| timer.0 .0)
    }

    /// Takes all that is due by now: what is set while these are carried out comes in a later turn.
    pub fn take(&mut self, now: Micros) -> Vec<Due> {
        let mut due = Vec::new();
        while self.next() <= now {
            due.extend(self.0.pop().map(|timer| timer.0 .1));
        }
        due
    }
}
