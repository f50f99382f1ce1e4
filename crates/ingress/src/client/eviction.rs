//! Which client connection is evicted to make room for another: those that were half-closed first, then those that never sent
//! anything, then the oldest partial commands, last those that have been served. Choosing costs the same however many there are: a
//! connection is queued when it comes to a state, and an entry whose connection has moved on since is skipped when its turn
//! comes. No I/O and no clock.

use std::collections::VecDeque;
use wrenfork_decision::Micros;

#[cfg(test)]
mod tests;

/// The state of a connection that no answer is owed to, in the order in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleKind {
    /// Half-closed, and left to its client to close.
    HalfClosed,
    /// It has not sent anything yet.
    Silent,
    /// It is in the middle of a command.
    PartialCommand,
    /// Between two requests.
    BetweenRequests,
}

/// The state of a connection that may be evicted, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleState {
    /// The state.
    pub kind: IdleKind,
    /// Since when, in microseconds.
    pub since: Micros,
}

/// A connection: keys are used again, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// Its place in the slab.
    pub key: usize,
    /// Its serial number.
    pub serial: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    connection: ConnectionId,
    since: Micros,
}

/// The connections that may be evicted, in a queue for each [`IdleKind`].
#[derive(Debug, Default)]
pub struct EvictionQueues {
    queues: [VecDeque<Entry>; 4],
    counts: [usize; 4],
}

/// Stale entries may be as many as the others, and so many more, before they are cleared out.
const SPARE: usize = 64;

impl EvictionQueues {
    /// How many connections are in a state.
    pub fn count(&self, kind: IdleKind) -> usize {
        self.counts[kind as usize]
    }

    /// Notes that a connection has come to another state. `state_of` gives the state of any of them.
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
        if queue.len() > 2 * count + SPARE {
            queue.retain(|entry| {
                let moved_now = entry.connection.key == connection.key;
                moved_now || is_current(entry, to.kind, &state_of)
            });
        }
    }

    /// Notes that a connection in a state is gone.
    pub fn remove(&mut self, kind: IdleKind) {
        self.counts[kind as usize] -= 1;
    }

    /// The connection that has been in a state for longest: its key, and since when.
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

/// The connection that has been in a state for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldestConnection {
    /// Its place in the slab.
    pub key: usize,
    /// Since when.
    pub since: Micros,
}

/// Whether an entry's connection is still in the state that it was queued in.
fn is_current(
    entry: &Entry,
    kind: IdleKind,
    state_of: impl Fn(ConnectionId) -> Option<IdleState>,
) -> bool {
    let since = entry.since;
    state_of(entry.connection) == Some(IdleState { kind, since })
}
