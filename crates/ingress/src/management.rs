//! The operators' address: one line to a connection, one answer, and the end of it. Operators have descriptors of their own, few
//! of them: whoever has not sent its line makes room for the next one, and nobody is waited for.

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

/// The most operators at once, and so the descriptors that are reserved for them besides the listener's.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a connection may take from its begin to its end.
const CONNECTION_TIMEOUT: Micros = 5_000_000;
/// Connections accepted in a turn.
const ACCEPTS_PER_TURN: usize = 32;

/// A query that is to be answered.
pub struct PendingQuery {
    key: usize,
    serial: u64,
    /// What is asked for.
    pub query: Query,
}

/// The server of the operators' address.
pub struct ManagementServer {
    listener: TcpListener,
    connections: [Option<Connection>; MAX_CONNECTIONS],
    serial: u64,
    tokens: fn(usize) -> Token,
    /// Queries that are to be answered.
    pub queries: Vec<PendingQuery>,
}

impl ManagementServer {
    /// Binds the address; `tokens` names the connections to the poll.
    ///
    /// # Errors
    ///
    /// Where it can't be bound.
    pub fn bind(
        address: SocketAddr,
        registry: &Registry,
        token: Token,
        tokens: fn(usize) -> Token,
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
            tokens,
            queries: Vec::new(),
        })
    }

    /// Accepts who waits; true if there may be more.
    pub fn accept(&mut self, registry: &Registry, now: Micros) -> bool {
        for _ in 0..ACCEPTS_PER_TURN {
            match self.listener.accept() {
                Ok((stream, _)) => self.add(stream, registry, now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if is_transient(e.kind()) => {}
                // No descriptor in spite of the reserve: whoever waits is looked at again in the next turn.
                Err(_) => {
                    self.close_oldest();
                    return true;
                }
            }
        }
        true
    }

    /// Closes a connection to make room: first those that are answered, then those that have not sent their line; any that
    /// there is, if need be.
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
        let token = (self.tokens)(key);
        if registry.register(&mut stream, token, interests).is_err() {
            return;
        }
        self.serial += 1;
        self.connections[key] = Some(Connection::new(stream, self.serial, now));
        // What it sent with its connecting is read at once: however many come behind it, it has its answer.
        self.ready(key);
    }

    /// Does what a connection is ready for.
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
            Received::Gone => self.connections[key] = None,
        }
    }

    /// Answers a query: a line that begins with `+OK` or `-ERR`, and what comes behind it.
    pub fn answer(&mut self, to: &PendingQuery, text: String) {
        let connection = self.connections.get_mut(to.key).and_then(Option::as_mut);
        let Some(connection) = connection.filter(|c| c.serial == to.serial) else {
            return;
        };
        if connection.set_answer(text) {
            self.write(to.key);
            self.ready(to.key);
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

    /// Closes the connections that take too long.
    pub fn sweep(&mut self, now: Micros) {
        let late = |c: &Connection| now > c.since + CONNECTION_TIMEOUT;
        for connection in &mut self.connections {
            if connection.as_ref().is_some_and(late) {
                *connection = None;
            }
        }
    }
}

/// Whether another connection may be accepted behind an error.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}
