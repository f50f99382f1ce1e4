//! Client connections on their way from one process to the next.

use super::connection::ClientConnection;
use super::eviction::ConnectionId;
use super::Clients;
use crate::stream::Stream;
use mio::{Interest, Registry};
use serde::{Deserialize, Serialize};
use std::os::fd::OwnedFd;
use wrenfork_decision::Micros;

/// What of the connections passes to the next process, with the connections' own records. The order of its fields is part of a
/// handover's layout.
#[derive(Serialize, Deserialize)]
pub struct SavedClients<C> {
    pub(super) connections: Vec<(usize, C)>,
    pub(super) serial: u64,
    pub(super) last_request: u64,
    pub(super) write_queue: Vec<usize>,
    pub(super) read_queue: Vec<usize>,
    pub(super) lingering: usize,
    pub(super) surplus: usize,
    pub(super) accepted_at: Micros,
    pub(super) memory_used: usize,
}

impl<C> SavedClients<C> {
    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

impl ClientConnection<()> {
    /// With its stream again.
    fn with_stream(self, stream: Stream) -> ClientConnection {
        let ClientConnection {
            stream: (),
            serial,
            buf,
            answers,
            first_index,
            ready_bytes,
            out,
            written,
            counted_memory,
            since,
            command_since,
            caller,
            errors,
            closing,
            linger_until,
            surplus,
            half_closed,
            ignored,
            stalled,
            in_write_queue,
            in_read_queue,
            granted,
            granted_at,
            waits_for_grant,
            idle_state,
        } = self;
        ClientConnection {
            stream,
            serial,
            buf,
            answers,
            first_index,
            ready_bytes,
            out,
            written,
            counted_memory,
            since,
            command_since,
            caller,
            errors,
            closing,
            linger_until,
            surplus,
            half_closed,
            ignored,
            stalled,
            in_write_queue,
            in_read_queue,
            granted,
            granted_at,
            waits_for_grant,
            idle_state,
        }
    }
}

impl Clients {
    /// What passes to the next process, as it stands.
    pub fn save(&self) -> SavedClients<&ClientConnection> {
        SavedClients {
            connections: self.connections.iter().collect(),
            serial: self.serial,
            last_request: self.last_request,
            write_queue: self.write_queue.clone(),
            read_queue: self.read_queue.clone(),
            lingering: self.lingering,
            surplus: self.surplus,
            accepted_at: self.accepted_at,
            memory_used: self.memory_used,
        }
    }

    /// The sockets of all connections in the order in which they were saved; none is left here.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        let connections = self.connections.drain();
        connections.map(|c| c.stream.into_descriptor()).collect()
    }

    /// Goes on with another process's connections. Of one whose socket did not come the requests have lost their client.
    pub fn resume(
        &mut self,
        saved: SavedClients<ClientConnection<()>>,
        sockets: &mut impl Iterator<Item = OwnedFd>,
        registry: &Registry,
    ) {
        let mut lost = Vec::new();
        let mut connections = Vec::with_capacity(saved.connections.len());
        for (key, connection) in saved.connections {
            let socket = sockets.next();
            match socket.and_then(|socket| self.register(key, socket, registry)) {
                Some(stream) => connections.push((key, connection.with_stream(stream))),
                None => lost.push(connection),
            }
        }
        self.connections = connections.into_iter().collect();
        let keys: Vec<usize> = self.connections.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.update_idle_state(key));
        self.serial = saved.serial;
        self.last_request = saved.last_request;
        self.accepted_at = saved.accepted_at;
        self.write_queue = saved.write_queue;
        self.read_queue = saved.read_queue;
        self.lingering = saved.lingering;
        self.surplus = saved.surplus;
        self.memory_used = saved.memory_used;
        self.resume_grants(&lost);
        lost.into_iter().for_each(|c| self.forget(&c));
        let connections = &self.connections;
        self.write_queue.retain(|key| connections.contains(*key));
        self.read_queue.retain(|key| connections.contains(*key));
    }

    fn register(&self, key: usize, socket: OwnedFd, registry: &Registry) -> Option<Stream> {
        let mut stream = Stream::from_tcp_descriptor(socket);
        let interests = Interest::READABLE | Interest::WRITABLE;
        let token = (self.tokens)(key);
        registry.register(&mut stream, token, interests).ok()?;
        Some(stream)
    }

    fn resume_grants(&mut self, lost: &[ClientConnection<()>]) {
        let of_lost: usize = lost.iter().map(|c| c.granted).sum();
        let of_others: usize = self.connections.iter().map(|(_, c)| c.granted).sum();
        self.granted = of_others + of_lost;
        let waiting = self.connections.iter().filter(|(_, c)| c.waits_for_grant);
        let ids = waiting.map(|(key, c)| ConnectionId {
            key,
            serial: c.serial,
        });
        self.grant_queue = ids.collect();
    }
}
