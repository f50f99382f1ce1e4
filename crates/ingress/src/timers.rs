//! Timers of the event loop.

use crate::backend::ConnectionHandle;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use wrenfork_decision::{BackendId, Micros, RequestId};

#[cfg(test)]
pub(crate) mod tests;

/// Action of a timer. Timers that are due at the same time run in the order of the variants, which is also part of the handover
/// layout.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Due {
    /// A timer of the decision module, with its token.
    Module(u32),
    /// The attempt with this number times out, before the deadline of its request.
    AttemptTimeout(RequestId, u16),
    /// The deadline that the decision module set for a request: its attempts are cancelled.
    RequestDeadline(RequestId),
    /// The client of a request stops waiting.
    ClientDeadline(RequestId),
    /// A connection to a backend has not been established in time.
    ConnectTimeout(ConnectionHandle),
    /// The next address of a backend is tried while the first attempt continues (RFC 8305).
    NextAddress(ConnectionHandle),
    /// The health check that was started at this time times out.
    HealthCheckTimeout(ConnectionHandle, BackendId, Micros),
    /// A call to the count service times out.
    CountTimeout,
    /// Periodic check for connections that have been idle too long.
    Sweep,
    /// Accepting is retried after it failed or was paused.
    Accept,
    /// The configuration files are read again.
    Reload,
    /// The graceful shutdown checks whether to stop accepting connections.
    StopAccepting,
    /// The graceful shutdown fails the requests that are still open.
    FailOpenRequests,
}

impl Due {
    /// The request that the timer is for, if any.
    fn request(&self) -> Option<RequestId> {
        match self {
            Due::AttemptTimeout(id, _) | Due::RequestDeadline(id) | Due::ClientDeadline(id) => {
                Some(*id)
            }
            _ => None,
        }
    }
}

/// Number of timers up to which those of requests that have ended are left to expire.
const MAX_STALE_TIMERS: usize = 4096;
/// Number of timers for each open request above which others are taken to be stale. More than a request sets.
const TIMERS_PER_REQUEST: usize = 8;

/// The pending timers, earliest first.
#[derive(Default, Serialize, Deserialize)]
pub struct Timers(BinaryHeap<Reverse<(Micros, Due)>>);

impl Timers {
    /// Sets a timer for the time `at`.
    pub fn set(&mut self, at: Micros, due: Due) {
        self.0.push(Reverse((at, due)));
    }

    /// Removes the timers of requests that have ended, if these are most of all. A client that waits long and is answered at once would
    /// otherwise leave a timer for each request. The cost is constant for each timer set.
    pub fn remove_stale(&mut self, open_requests: usize, is_open: impl Fn(RequestId) -> bool) {
        if self.0.len() > MAX_STALE_TIMERS.max(TIMERS_PER_REQUEST * open_requests) {
            self.0
                .retain(|timer| timer.0 .1.request().is_none_or(&is_open));
        }
    }

    /// Time of the earliest timer; [`Micros::MAX`] if none is set.
    pub fn next(&self) -> Micros {
        self.0.peek().map_or(Micros::MAX, |timer| timer.0 .0)
    }

    /// Removes and returns all timers that are due. Timers set while these are handled run in a later iteration.
    pub fn take(&mut self, now: Micros) -> Vec<Due> {
        let mut due = Vec::new();
        while self.next() <= now {
            due.extend(self.0.pop().map(|timer| timer.0 .1));
        }
        due
    }
}
