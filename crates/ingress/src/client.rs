//! Client connections: accepting them, parsing pipelined requests, and writing answers in request order.
//!
//! [`Clients`] owns the listener and all client connections. Its methods are grouped by concern in the modules below. Requests
//! and disconnects are reported to the event loop through [`Clients::events`].

mod accept;
mod answers;
mod closing;
mod commands;
mod connection;
mod eviction;
mod handover;
mod lost_answers;
mod memory;
mod reading;

#[cfg(test)]
pub(crate) mod tests;

pub use accept::{Accepted, Admission};
pub use connection::{ClientConnection, Origin};
pub use handover::SavedClients;

use crate::admission::AdmissionGuard;
use crate::authenticator::Authenticator;
use crate::config::Callers;
use crate::request_metrics::RequestEnd;
use crate::stream::Listener;
use eviction::EvictionQueues;
use lost_answers::LostAnswers;
use mio::Token;
use slab::Slab;
use std::collections::VecDeque;
use std::ops::Range;
use std::os::fd::{AsFd, BorrowedFd};
use wrenfork_decision::{Micros, RequestId};
use wrenfork_wire::call::{Call, Vocabulary};

/// Size of the shared read buffer, in bytes: the most that one read from a client can return.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// An event on a client connection that the event loop has to handle.
pub enum ClientEvent {
    /// A request was parsed. The id is unique within this ingress; the origin tells where its answer goes.
    Request(RequestId, Origin, Call),
    /// The client disconnected before this request was answered.
    Disconnected(RequestId),
    /// A request was rejected or failed before it was given an id. The `u8` is the index of its class.
    EndedEarly(u8, RequestEnd),
}

/// The client listener and all client connections.
pub struct Clients {
    /// None once the ingress has stopped accepting connections.
    listener: Option<Listener>,
    connections: Slab<ClientConnection>,
    /// Connections that may be evicted to free a file descriptor.
    eviction: EvictionQueues,
    /// Serial number of the connection accepted last.
    serial: u64,
    /// Id of the request admitted last.
    last_request: u64,
    tokens: fn(usize) -> Token,
    /// The classes, plans and limits by which requests are parsed. Replaced when the configuration changes.
    pub vocabulary: Vocabulary,
    /// Rejects requests while the lease of the group has expired.
    pub admission: AdmissionGuard,
    /// Authenticates callers; none if the configuration has no callers.
    authenticator: Option<Authenticator>,
    /// Buffer shared by reads from all connections.
    read_buffer: Vec<u8>,
    /// Byte ranges of the arguments of the command parsed last.
    arguments: Vec<Range<usize>>,
    /// Keys of the connections to write to at the end of the turn.
    write_queue: Vec<usize>,
    /// Keys of the connections to read in the next turn without waiting for a readiness event.
    read_queue: Vec<usize>,
    /// Set during graceful shutdown: connections are closed once they have no request in progress.
    draining: bool,
    /// Set at the end of a graceful shutdown: no time is left to serve requests, so all are rejected.
    rejecting: bool,
    /// Number of connections with `linger_until` set.
    lingering: usize,
    /// Time at which the last connection was accepted.
    pub accepted_at: Micros,
    /// Number of open connections that were accepted beyond the file descriptor budget.
    surplus: usize,
    /// Bytes that all connections hold in buffers.
    memory_used: usize,
    /// Upper bound on `memory_used`, in bytes.
    max_memory: usize,
    /// Events not yet taken by the event loop, oldest first.
    pub events: VecDeque<ClientEvent>,
    /// Requests whose streamed answers have room for more data.
    pub writable: Vec<RequestId>,
    /// Requests that lost their answers because this process closed their connection.
    pub lost_answers: LostAnswers,
    /// Bytes of memory granted to long request bodies that are being read.
    granted: usize,
    /// Number of requests rejected because there was no memory for their bodies in time.
    pub bodies_rejected: u64,
    /// Connections waiting for a memory grant, first come first.
    grant_queue: VecDeque<eviction::ConnectionId>,
}

impl Clients {
    /// Creates an empty set of connections. `listener` must already be registered with the poll. `max_memory` bounds the bytes
    /// that all connections together hold in buffers. `tokens` maps a connection key to its poll token.
    pub fn new(
        listener: Listener,
        vocabulary: Vocabulary,
        max_memory: usize,
        tokens: fn(usize) -> Token,
    ) -> Self {
        Clients {
            listener: Some(listener),
            connections: Slab::new(),
            eviction: EvictionQueues::default(),
            serial: 0,
            last_request: 0,
            tokens,
            vocabulary,
            admission: AdmissionGuard::default(),
            authenticator: None,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            arguments: Vec::new(),
            write_queue: Vec::new(),
            read_queue: Vec::new(),
            draining: false,
            rejecting: false,
            lingering: 0,
            accepted_at: 0,
            surplus: 0,
            memory_used: 0,
            max_memory,
            events: VecDeque::new(),
            writable: Vec::new(),
            lost_answers: LostAnswers::default(),
            granted: 0,
            bodies_rejected: 0,
            grant_queue: VecDeque::new(),
        }
    }

    /// Replaces the callers that may send requests; with none, authentication is off.
    pub fn set_callers(&mut self, callers: Option<Callers>) {
        match (&mut self.authenticator, callers) {
            (Some(authenticator), Some(callers)) => authenticator.set_callers(callers),
            (authenticator, callers) => *authenticator = callers.map(Authenticator::new),
        }
    }

    /// Number of open client connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Number of open connections that were accepted beyond the file descriptor budget.
    pub fn surplus(&self) -> usize {
        self.surplus
    }

    /// When a connection that has a request without an answer, or an answer that its client has not received, last made progress
    /// (a command was read or part of an answer written); none if there is no such connection. Progress of what the kernel holds
    /// for a client, or of a body that waits for memory, can't be seen, so it is taken to be `now`.
    pub fn last_progress(&self, now: Micros) -> Option<Micros> {
        let progress = |conn: &ClientConnection| {
            if !conn.answers.is_empty() || !conn.out.is_empty() {
                Some(conn.since)
            } else {
                let progresses_unseen = conn.waits_for_grant || conn.may_be_receiving(now);
                progresses_unseen.then_some(now)
            }
        };
        let connections = self.connections.iter();
        connections.filter_map(|(_, conn)| progress(conn)).max()
    }

    /// Number of connections whose clients may not have received all their answers.
    pub fn undelivered_connections(&self, now: Micros) -> usize {
        let connections = self.connections.iter();
        connections
            .filter(|(_, conn)| !conn.out.is_empty() || conn.may_be_receiving(now))
            .count()
    }

    /// Number of bytes of answers that are not written to their clients' sockets.
    pub fn unwritten_bytes(&self) -> usize {
        let unwritten = |conn: &ClientConnection| conn.ready_bytes + conn.out.len() - conn.written;
        self.connections
            .iter()
            .map(|(_, conn)| unwritten(conn))
            .sum()
    }

    /// Whether there is work to do without waiting for a readiness event.
    pub fn has_more(&self) -> bool {
        !(self.read_queue.is_empty() && self.write_queue.is_empty() && self.events.is_empty())
    }

    /// The listening socket, if it is a TCP socket that is still open.
    pub fn tcp_listener(&self) -> Option<BorrowedFd<'_>> {
        match self.listener.as_ref()? {
            Listener::Tcp(listener) => Some(listener.as_fd()),
            Listener::Unix(..) => None,
        }
    }

    /// Rejects all requests from now on, including those already received that are not parsed yet because the queue of answers is
    /// full.
    pub fn reject_all(&mut self) {
        self.rejecting = true;
    }

    /// Queues a connection to be written to at the end of the turn.
    fn write_later(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].in_write_queue, true) {
            self.write_queue.push(key);
        }
    }

    /// Queues a connection to be read in the next turn.
    fn read_later(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].in_read_queue, true) {
            self.read_queue.push(key);
        }
    }

    /// The connection that an answer belongs to; none if that connection is closed.
    fn connection_of(&mut self, origin: Origin) -> Option<&mut ClientConnection> {
        self.connections
            .get_mut(origin.key)
            .filter(|conn| conn.serial == origin.serial)
    }
}
