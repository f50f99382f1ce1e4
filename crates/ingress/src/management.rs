//! Server on the management address: a connection carries one query line and one answer, and is then closed. Few descriptors are
//! reserved for it, so a connection that has not sent its line is closed when another one needs its descriptor.

mod connection;

#[cfg(test)]
mod tests;

use crate::error::IngressError;
use connection::{Connection, Received};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io::ErrorKind;
use std::net::SocketAddr;
use wrenfork_decision::Micros;

pub use connection::Query;

/// Maximum number of management connections, for which as many descriptors are reserved besides that of the listener.
pub const MAX_CONNECTIONS: usize = 16;
/// Maximum lifetime of a connection, in microseconds.
const CONNECTION_TIMEOUT: Micros = 5_000_000;
/// Maximum number of connections accepted per event loop iteration.
const ACCEPTS_PER_TURN: usize = 32;

/// A received query that has not been answered yet.
pub struct PendingQuery {
    /// Index of the connection.
    key: usize,
    /// Serial number of the connection, since its index may be reused.
    serial: u64,
    /// The query to answer.
    pub query: Query,
}

/// Listener and connections of the management address.
pub struct ManagementServer {
    listener: TcpListener,
    connections: [Option<Connection>; MAX_CONNECTIONS],
    /// Serial number of the latest connection.
    serial: u64,
    /// Poll token for the index of a connection.
    token_of: fn(usize) -> Token,
    /// Received queries that have not been answered yet; drained by the caller.
    pub queries: Vec<PendingQuery>,
}

impl ManagementServer {
    /// Binds the address. `token` is the poll token of the listener, and `token_of` gives that of a connection.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        registry: &Registry,
        token: Token,
        token_of: fn(usize) -> Token,
    ) -> Result<ManagementServer, IngressError> {
        let bound = TcpListener::bind(address).and_then(|mut listener| {
            registry.register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        });
        let listener =
            bound.map_err(|source| IngressError::ManagementListen { address, source })?;
        tracing::info!(%address, "management: listening");
        Ok(ManagementServer {
            listener,
            connections: Default::default(),
            serial: 0,
            token_of,
            queries: Vec::new(),
        })
    }

    /// Accepts waiting connections; returns true if more may be waiting.
    pub fn accept(&mut self, registry: &Registry, now: Micros) -> bool {
        for _ in 0..ACCEPTS_PER_TURN {
            match self.listener.accept() {
                Ok((stream, _)) => self.add(stream, registry, now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if is_transient(e.kind()) => {}
                // Out of descriptors in spite of the reserve: free one, and accept again in the next iteration.
                Err(_) => {
                    self.close_oldest();
                    return true;
                }
            }
        }
        true
    }

    /// Closes the connection that is first in [`Connection::eviction_order`], and returns its index; `None` if there is no
    /// connection.
    fn close_oldest(&mut self) -> Option<usize> {
        let connections = self.connections.iter().enumerate();
        let open = connections.filter_map(|(key, c)| Some((key, c.as_ref()?)));
        let (oldest, _) = open.min_by_key(|(_, c)| c.eviction_order())?;
        self.connections[oldest] = None;
        Some(oldest)
    }

    fn add(&mut self, mut stream: TcpStream, registry: &Registry, now: Micros) {
        let free = self.connections.iter().position(Option::is_none);
        let Some(key) = free.or_else(|| self.close_oldest()) else {
            return;
        };
        let interests = Interest::READABLE | Interest::WRITABLE;
        let token = (self.token_of)(key);
        if registry.register(&mut stream, token, interests).is_err() {
            return;
        }
        self.serial += 1;
        self.connections[key] = Some(Connection::new(stream, self.serial, now));
        // Read immediately: a query that arrived with the connection is answered even if later connections evict this one.
        self.ready(key);
    }

    /// Handles readiness of a connection: reads its query and writes its answer.
    pub fn ready(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key).and_then(Option::as_mut) else {
            return;
        };
        match connection.receive() {
            Received::Query(query) => {
                let serial = connection.serial;
                self.queries.push(PendingQuery { key, serial, query });
                self.write(key);
            }
            Received::Nothing => self.write(key),
            Received::Closed => self.connections[key] = None,
        }
    }

    /// Answers a query, unless its connection is closed. `text` begins with a line that starts with `+OK` or `-ERR`.
    pub fn answer(&mut self, pending: &PendingQuery, text: String) {
        let connection = self
            .connections
            .get_mut(pending.key)
            .and_then(Option::as_mut);
        let Some(connection) = connection.filter(|c| c.serial == pending.serial) else {
            return;
        };
        if connection.set_answer(text) {
            self.write(pending.key);
            self.ready(pending.key);
        }
    }

    fn write(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key).and_then(Option::as_mut) else {
            return;
        };
        if connection.write().is_err() {
            self.connections[key] = None;
        }
    }

    /// Closes the connections that are older than [`CONNECTION_TIMEOUT`].
    pub fn sweep(&mut self, now: Micros) {
        let is_expired = |c: &Connection| now > c.accepted_at + CONNECTION_TIMEOUT;
        for connection in &mut self.connections {
            if connection.as_ref().is_some_and(is_expired) {
                *connection = None;
            }
        }
    }
}

/// Whether accepting can continue after an error of this kind.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}
