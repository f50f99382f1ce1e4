//! Connections to backends: a connection pool for each, attempts and health checks, and how these end. A connection carries one
//! request at a time, for cancelling an attempt means closing its connection.
//!
//! [`Backends`] holds all connections. Its methods stand by concern in the modules below; attempts and health checks that ended are
//! queued in [`Backends::ended`].

mod activity;
mod connecting;
mod connection;
mod ending;
mod endpoints;
mod handover;
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
pub use starting::{StartTimes, Started};

use mio::Token;
use pool::Pool;
use slab::Slab;
use staleness::Staleness;
use std::collections::HashMap;
use wrenfork_decision::{BackendId, Micros};

/// Bytes read at once.
const CHUNK: usize = 32 * 1024;

/// The connections to all backends.
pub struct Backends {
    connections: Slab<Connection>,
    pools: HashMap<BackendId, Pool>,
    /// The serial number of the latest connection.
    serial: u64,
    /// What was read last.
    chunk: Vec<u8>,
    /// Idle connections are closed after this, before the backend does.
    idle_timeout: Micros,
    /// How long a connection may take to be established.
    connect_timeout: Micros,
    staleness: Staleness,
    tokens: fn(usize) -> Token,
    /// What ended since this was last looked at, in order.
    pub ended: Vec<AttemptEnd>,
    /// Attempts whose command was written to its last byte, since the start.
    pub relayed: u64,
    /// Streamed answers of which something has come.
    streams: Vec<ConnectionHandle>,
    /// Connections to be read again before any socket shows as ready.
    read_queue: Vec<ConnectionHandle>,
    /// Races in which something has happened, each by the connection that has the attempt.
    races: Vec<ConnectionHandle>,
    /// Connections that were established after their attempts began.
    established: Vec<ConnectionHandle>,
}

/// How long a connection may stay idle: where both ends close at the same moment a request may be written to a dead one.
fn idle_timeout(keepalive: Micros) -> Micros {
    keepalive / 5 * 4
}

impl Backends {
    /// No backend yet. `tokens` names the connections to the poll; see [`Backends::set_timeouts`] for the others.
    pub fn new(connect_timeout: Micros, keepalive: Micros, tokens: fn(usize) -> Token) -> Self {
        Backends {
            connections: Slab::new(),
            pools: HashMap::new(),
            serial: 0,
            chunk: vec![0; CHUNK],
            idle_timeout: idle_timeout(keepalive),
            connect_timeout,
            staleness: Staleness::default(),
            tokens,
            ended: Vec::new(),
            relayed: 0,
            streams: Vec::new(),
            read_queue: Vec::new(),
            races: Vec::new(),
            established: Vec::new(),
        }
    }

    /// From now on a connection may take so long to be established, and backends keep an idle one for so long.
    pub fn set_timeouts(&mut self, connect_timeout: Micros, keepalive: Micros) {
        self.connect_timeout = connect_timeout;
        self.idle_timeout = idle_timeout(keepalive);
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// How many backends are listed.
    pub fn listed(&self) -> usize {
        self.pools.len()
    }

    /// Whether there is something to read before any socket shows as ready.
    pub fn has_more(&self) -> bool {
        !self.read_queue.is_empty()
    }

    /// A connection, if it is still the one meant.
    fn get(&self, handle: ConnectionHandle) -> Option<&Connection> {
        let connection = self.connections.get(handle.key);
        connection.filter(|c| c.serial == handle.serial)
    }

    /// The handle of the connection at a place.
    fn handle(&self, key: usize) -> ConnectionHandle {
        ConnectionHandle {
            key,
            serial: self.connections[key].serial,
        }
    }

    /// The places of connections of which something holds.
    fn keys(&self, holds: impl Fn(&Connection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter();
        let found = connections.filter(|(_, c)| holds(c));
        found.map(|(key, _)| key).collect()
    }
}
