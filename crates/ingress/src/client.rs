//! The clients: the listener, the connections, and the answers in the order of their requests (pipelining).
//!
//! [`Clients`] holds all connections. Its methods stand by concern in the modules below; what connections bring for the event loop
//! is queued in [`Clients::events`].

mod accept;
mod answers;
mod closing;
mod commands;
mod connection;
mod eviction;
mod handover;
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
use mio::Token;
use slab::Slab;
use std::collections::VecDeque;
use std::ops::Range;
use std::os::fd::{AsFd, BorrowedFd};
use wrenfork_decision::{Micros, RequestId};
use wrenfork_wire::call::{Call, Vocabulary};

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// What a connection brought.
pub enum ClientEvent {
    /// A request, under the id that it has here.
    Request(RequestId, Origin, Call),
    /// The client of a request that is not answered has disconnected.
    Disconnected(RequestId),
    /// A request of the class at this index was answered here, before it had an id.
    EndedEarly(u8, RequestEnd),
}

/// All client connections.
pub struct Clients {
    /// None once no connection is accepted any more.
    listener: Option<Listener>,
    connections: Slab<ClientConnection>,
    /// Those that may be evicted.
    eviction: EvictionQueues,
    /// The serial number of the latest connection.
    serial: u64,
    /// The id of the latest request.
    last_request: u64,
    tokens: fn(usize) -> Token,
    /// The names by which requests are parsed; others with another configuration.
    pub vocabulary: Vocabulary,
    /// The guard before requests.
    pub admission: AdmissionGuard,
    /// Who may send requests; none where nobody is authenticated.
    authenticator: Option<Authenticator>,
    /// What was read last, and where the arguments of the command parsed last stand.
    chunk: Vec<u8>,
    arguments: Vec<Range<usize>>,
    /// Connections with something to write.
    write_queue: Vec<usize>,
    /// Connections to be read before they show as ready.
    read_queue: Vec<usize>,
    /// Connections are closed as soon as they are between requests.
    draining: bool,
    /// All requests are rejected: there is no time left to serve them.
    rejecting: bool,
    /// How many connections have a time at which they are closed.
    lingering: usize,
    /// When the latest connection was accepted.
    pub accepted_at: Micros,
    /// How many connections were accepted beyond the budget of descriptors.
    surplus: usize,
    /// Bytes that all connections hold, and the most of them.
    memory_used: usize,
    max_memory: usize,
    /// What connections brought since this was last looked at, in order.
    pub events: VecDeque<ClientEvent>,
    /// Requests whose streamed answers may go on.
    pub writable: Vec<RequestId>,
    /// Bytes granted to long bodies that are being read.
    granted: usize,
    /// Connections that wait for such a grant, the first one first.
    grant_queue: VecDeque<eviction::ConnectionId>,
}

impl Clients {
    /// Starts from a listener that is registered already; `max_memory` is what connections may hold in all, in bytes.
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
            chunk: vec![0; CHUNK],
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
            granted: 0,
            grant_queue: VecDeque::new(),
        }
    }

    /// Authenticates these callers from now on, or nobody.
    pub fn set_callers(&mut self, callers: Option<Callers>) {
        match (&mut self.authenticator, callers) {
            (Some(authenticator), Some(callers)) => authenticator.set_callers(callers),
            (authenticator, callers) => *authenticator = callers.map(Authenticator::new),
        }
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// How many of them were accepted beyond the budget of descriptors.
    pub fn surplus(&self) -> usize {
        self.surplus
    }

    /// Whether any of them still owes or awaits something.
    pub fn any_busy(&self) -> bool {
        let busy = |c: &ClientConnection| !c.answers.is_empty() || !c.out.is_empty();
        self.connections.iter().any(|(_, c)| busy(c))
    }

    /// Whether there is something to do before any socket shows as ready.
    pub fn has_more(&self) -> bool {
        !(self.read_queue.is_empty() && self.write_queue.is_empty() && self.events.is_empty())
    }

    /// The listening socket, where it is one of TCP that is still open.
    pub fn tcp_listener(&self) -> Option<BorrowedFd<'_>> {
        match self.listener.as_ref()? {
            Listener::Tcp(listener) => Some(listener.as_fd()),
            Listener::Unix(..) => None,
        }
    }

    /// Rejects all requests from now on, also those that were read and wait behind a full queue of answers.
    pub fn reject_all(&mut self) {
        self.rejecting = true;
    }

    /// Has a connection written to at the end of the turn.
    fn write_later(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].in_write_queue, true) {
            self.write_queue.push(key);
        }
    }

    /// Has a connection read in the next turn.
    fn read_later(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].in_read_queue, true) {
            self.read_queue.push(key);
        }
    }

    /// The connection that an answer belongs to, if it is still there.
    fn at_origin(&mut self, origin: Origin) -> Option<&mut ClientConnection> {
        self.connections
            .get_mut(origin.key)
            .filter(|c| c.serial == origin.serial)
    }
}
