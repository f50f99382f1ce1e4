//! Connections to backends: connection pools, attempts and health checks. A connection carries one request at a time, because an
//! attempt is cancelled by closing its connection.
//!
//! [`Backends`] owns all connections to backends. Its methods are grouped by concern in the modules below. Finished attempts and
//! health checks are reported to the event loop through [`Backends::ended`].

mod activity;
mod command;
mod connecting;
mod connection;
mod ending;
mod endpoints;
mod handover;
mod memory;
mod pool;
mod race;
mod reading;
mod response;
mod starting;
mod streaming;
mod unsolicited;
mod writing;

mod staleness;

#[cfg(test)]
pub(crate) mod tests;

pub use activity::{Activity, AttemptEnd, ConnectionHandle};
pub use connection::Connection;
pub use handover::SavedBackends;
pub use reading::BackendReadiness;
pub use starting::{StartTimes, Started};
pub use streaming::AnswerBuffering;

use mio::Token;
use pool::Pool;
use slab::Slab;
use staleness::Staleness;
use std::collections::HashMap;
use wrenfork_decision::{BackendId, Micros};

/// Size of the shared read buffer, in bytes: the most that one read from a backend can return.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// The connections to all backends.
pub struct Backends {
    connections: Slab<Connection>,
    pools: HashMap<BackendId, Pool>,
    /// Serial number of the connection opened last.
    serial: u64,
    /// Buffer shared by reads from all connections.
    read_buffer: Vec<u8>,
    /// How long a connection may be idle before it is closed; shorter than the keep-alive time of backends.
    idle_timeout: Micros,
    /// Time limit for establishing a connection.
    connect_timeout: Micros,
    staleness: Staleness,
    tokens: fn(usize) -> Token,
    /// Finished attempts and health checks not yet taken by the event loop, oldest first.
    pub ended: Vec<AttemptEnd>,
    /// Number of attempts since the process started whose command was written completely.
    pub relayed: u64,
    /// Connections with data of a streamed answer that is ready to be forwarded.
    streams: Vec<ConnectionHandle>,
    /// Connections whose streamed answers wait for memory to be buffered, oldest first. They are paused.
    waiting_for_memory: Vec<ConnectionHandle>,
    /// Connections whose answers are left unread because memory is short, oldest first.
    deferred: Vec<ConnectionHandle>,
    /// When the unread answers were last checked.
    deferred_checked_at: Micros,
    /// Bytes held for answers that are being received.
    answer_memory_used: usize,
    /// Limit in bytes on `answer_memory_used`.
    max_answer_memory: usize,
    /// Whether clients hold much memory, so that answers are read in smaller pieces.
    clients_short: bool,
    /// When the waiting answers were last checked.
    memory_checked_at: Micros,
    /// When waiting answers are logged next at the earliest.
    next_memory_warning: Micros,
    /// Connections to read in the next turn without waiting for a readiness event.
    read_queue: Vec<ConnectionHandle>,
    /// Connect races to advance, each given by the connection that carries the attempt.
    races: Vec<ConnectionHandle>,
    /// Connections that have become established and carry an attempt whose command is still to be written.
    established: Vec<ConnectionHandle>,
}

/// How long a connection may stay idle, given the keep-alive time of backends. The limit is 4/5 of that time, since a request
/// could otherwise be written to a connection that the backend is closing at the same moment.
fn idle_timeout(keepalive: Micros) -> Micros {
    keepalive / 5 * 4
}

impl Backends {
    /// Creates an empty set of backends. `max_answer_memory` limits the bytes held for answers that are being received, `tokens` maps a connection key to its poll token; see [`Backends::set_timeouts`] for the
    /// other parameters.
    pub fn new(
        connect_timeout: Micros,
        keepalive: Micros,
        max_answer_memory: usize,
        tokens: fn(usize) -> Token,
    ) -> Self {
        Backends {
            connections: Slab::new(),
            pools: HashMap::new(),
            serial: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            idle_timeout: idle_timeout(keepalive),
            connect_timeout,
            staleness: Staleness::default(),
            tokens,
            ended: Vec::new(),
            relayed: 0,
            streams: Vec::new(),
            waiting_for_memory: Vec::new(),
            deferred: Vec::new(),
            deferred_checked_at: 0,
            answer_memory_used: 0,
            max_answer_memory,
            clients_short: false,
            memory_checked_at: 0,
            next_memory_warning: 0,
            read_queue: Vec::new(),
            races: Vec::new(),
            established: Vec::new(),
        }
    }

    /// Sets the time limit for establishing a connection, and the time for which backends keep an idle connection open.
    pub fn set_timeouts(&mut self, connect_timeout: Micros, keepalive: Micros) {
        self.connect_timeout = connect_timeout;
        self.idle_timeout = idle_timeout(keepalive);
    }

    /// Number of open connections to backends, including connects in progress.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Number of backends listed by discovery.
    pub fn backend_count(&self) -> usize {
        self.pools.len()
    }

    /// Whether there is something to read without waiting for a readiness event.
    pub fn has_more(&self) -> bool {
        !self.read_queue.is_empty()
    }

    /// The connection that a handle refers to; none if it is closed.
    fn get(&self, handle: ConnectionHandle) -> Option<&Connection> {
        let connection = self.connections.get(handle.key);
        connection.filter(|conn| conn.serial == handle.serial)
    }

    /// The handle of the connection with this slab key.
    fn handle(&self, key: usize) -> ConnectionHandle {
        ConnectionHandle {
            key,
            serial: self.connections[key].serial,
        }
    }

    /// Slab keys of the connections that match a predicate.
    fn keys_where(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter();
        let matching = connections.filter(|(_, conn)| predicate(conn));
        matching.map(|(key, _)| key).collect()
    }
}
