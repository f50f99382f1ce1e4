//! Handover of client connections to the next process.

use super::connection::{ClientConnection, UnsavedState};
use super::eviction::ConnectionId;
use super::Clients;
use crate::stream::Stream;
use mio::{Interest, Registry};
use serde::{Deserialize, Serialize};
use std::os::fd::OwnedFd;
use wrenfork_decision::Micros;

/// The serialized state of [`Clients`] in a handover; `C` is the serialized connection. The field order is part of the handover
/// format.
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
    /// Number of connections, each of which has a socket that is passed along with this record.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

impl ClientConnection<()> {
    /// Attaches the stream received from the previous process.
    fn with_stream(self, stream: Stream) -> ClientConnection {
        let stream_begun = self.is_streaming();
        let ClientConnection {
            stream: (),
            serial,
            buf,
            answers,
            first_index,
            stream_begun: _,
            ready_bytes,
            out,
            written,
            unsaved: _,
            counted_memory,
            since,
            command_since,
            caller,
            errors,
            closing,
            linger_until,
            surplus,
            half_closed,
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
            stream_begun,
            ready_bytes,
            out,
            written,
            unsaved: UnsavedState::after_handover(),
            counted_memory,
            since,
            command_since,
            caller,
            errors,
            closing,
            linger_until,
            surplus,
            half_closed,
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
    /// Settles what the next process will not know: it is told neither how much of a rejected body is left, so such a connection
    /// ends once its pending answers are sent, nor which error answers are withheld.
    pub fn prepare_handover(&mut self) {
        let concerned = |conn: &ClientConnection| {
            conn.unsaved.rejected_bytes > 0 || conn.unsaved.withheld_errors > 0
        };
        for key in self.keys_where(concerned) {
            let conn = &mut self.connections[key];
            conn.closing |= conn.unsaved.rejected_bytes > 0;
            conn.queue_withheld_errors();
            conn.recount(&mut self.memory_used);
            self.write_later(key);
        }
    }

    /// The current state of all connections, to be sent to the next process.
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

    /// Removes all connections and returns their sockets, in the same order as [`save`](Self::save) lists the connections.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        let connections = self.connections.drain();
        connections
            .map(|conn| conn.stream.into_descriptor())
            .collect()
    }

    /// Takes over the connections of the previous process. `sockets` must be in the order of `saved`. The requests of a
    /// connection whose socket is missing or can't be registered are reported as disconnected.
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
        lost.into_iter().for_each(|conn| self.record_removal(&conn));
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
        let lost_grants: usize = lost.iter().map(|conn| conn.granted).sum();
        let kept_grants: usize = self.connections.iter().map(|(_, conn)| conn.granted).sum();
        self.granted = kept_grants + lost_grants;
        let waiting = self
            .connections
            .iter()
            .filter(|(_, conn)| conn.waits_for_grant);
        let ids = waiting.map(|(key, conn)| ConnectionId {
            key,
            serial: conn.serial,
        });
        self.grant_queue = ids.collect();
    }
}
