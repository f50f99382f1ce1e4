//! Chooses which client connection to evict to make room for another. The order is: half-closed connections, connections that
//! never sent anything, connections in the middle of a command (longest first), and connections that are idle between requests.
//!
//! The cost of a choice doesn't grow with the number of connections: a connection is queued when it enters a state, and a stale
//! entry, whose connection has since changed state, is skipped when it reaches the front. Performs no I/O and reads no clock.

use std::collections::VecDeque;
use wrenfork_decision::Micros;

#[cfg(test)]
mod tests;

/// State of a connection that has no unanswered request. The variants are in eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleKind {
    /// The ingress has shut down its side and waits for the client to close the connection.
    HalfClosed,
    /// The client has not sent anything yet.
    Silent,
    /// The client has sent part of a command.
    PartialCommand,
    /// All requests are answered, and no further input has come.
    BetweenRequests,
}

/// State of a connection that may be evicted, with the time it entered that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleState {
    /// Which idle state the connection is in.
    pub kind: IdleKind,
    /// When the connection entered the state, in microseconds.
    pub since: Micros,
}

/// Identifies a connection uniquely: slab keys are reused, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// Key in the slab of connections.
    pub key: usize,
    /// Serial number, unique among all connections this ingress has accepted.
    pub serial: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    connection: ConnectionId,
    since: Micros,
}

/// Connections that may be evicted, with one queue for each [`IdleKind`].
#[derive(Debug, Default)]
pub struct EvictionQueues {
    queues: [VecDeque<Entry>; 4],
    counts: [usize; 4],
}

/// Stale entries are cleared from a queue once they outnumber the current entries by more than this.
const MAX_EXTRA_STALE_ENTRIES: usize = 64;

impl EvictionQueues {
    /// Number of connections in a state.
    pub fn count(&self, kind: IdleKind) -> usize {
        self.counts[kind as usize]
    }

    /// Records that a connection has changed state; none stands for a connection that may not be evicted. `state_of` returns the
    /// current state of any connection.
    pub fn update(
        &mut self,
        connection: ConnectionId,
        from: Option<IdleState>,
        to: Option<IdleState>,
        state_of: impl Fn(ConnectionId) -> Option<IdleState>,
    ) {
        if let Some(from) = from {
            self.counts[from.kind as usize] -= 1;
        }
        let Some(to) = to else { return };
        let since = to.since;
        self.counts[to.kind as usize] += 1;
        let count = self.counts[to.kind as usize];
        let queue = &mut self.queues[to.kind as usize];
        queue.push_back(Entry { connection, since });
        if queue.len() > 2 * count + MAX_EXTRA_STALE_ENTRIES {
            queue.retain(|entry| {
                let just_updated = entry.connection.key == connection.key;
                just_updated || is_current(entry, to.kind, &state_of)
            });
        }
    }

    /// Records that a connection in this state was removed.
    pub fn remove(&mut self, kind: IdleKind) {
        self.counts[kind as usize] -= 1;
    }

    /// The connection that has been in this state the longest. Drops stale entries at the front of the queue.
    pub fn oldest(
        &mut self,
        kind: IdleKind,
        state_of: impl Fn(ConnectionId) -> Option<IdleState>,
    ) -> Option<OldestConnection> {
        let queue = &mut self.queues[kind as usize];
        while let Some(entry) = queue.front() {
            if is_current(entry, kind, &state_of) {
                return Some(OldestConnection {
                    key: entry.connection.key,
                    since: entry.since,
                });
            }
            queue.pop_front();
        }
        None
    }
}

/// The connection that has been in a state the longest, see [`EvictionQueues::oldest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldestConnection {
    /// Key in the slab of connections.
    pub key: usize,
    /// When the connection entered the state, in microseconds.
    pub since: Micros,
}

/// Whether the connection of an entry has stayed in the same state since the entry was queued.
fn is_current(
    entry: &Entry,
    kind: IdleKind,
    state_of: impl Fn(ConnectionId) -> Option<IdleState>,
) -> bool {
    let since = entry.since;
    state_of(entry.connection) == Some(IdleState { kind, since })
}
