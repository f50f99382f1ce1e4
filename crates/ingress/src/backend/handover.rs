//! Handover of connections to backends to the next process.

use super::activity::{AttemptEnd, ConnectionHandle};
use super::connection::Connection;
use super::pool::Pool;
use super::staleness::Staleness;
use super::Backends;
use crate::stream::Stream;
use mio::{Interest, Registry};
use serde::{Deserialize, Serialize};
use std::os::fd::OwnedFd;
use wrenfork_decision::BackendId;
use wrenfork_happy_eyeballs::Address;

/// The serialized state of [`Backends`] in a handover; `C` is the serialized connection. The field order is part of the handover
/// format.
#[derive(Serialize, Deserialize)]
pub struct SavedBackends<C> {
    pub(super) connections: Vec<(usize, C)>,
    /// In arbitrary order.
    pub(super) pools: Vec<(BackendId, Pool)>,
    pub(super) serial: u64,
    pub(super) staleness: Staleness,
}

impl<C> SavedBackends<C> {
    /// Number of connections, each of which has a socket that is passed along with this record.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

impl Connection<()> {
    /// Attaches the stream received from the previous process.
    fn with_stream(self, stream: Stream) -> Connection {
        let Connection {
            stream: (),
            serial,
            backend,
            address,
            established,
            race,
            activity,
            since,
            idle_before,
            write_deadline,
            deadline,
            answer_since,
            command,
            buf,
            long_answer,
            paused,
            has_answer_memory,
            counted_memory,
        } = self;
        Connection {
            stream,
            serial,
            backend,
            address,
            established,
            race,
            activity,
            since,
            idle_before,
            write_deadline,
            deadline,
            answer_since,
            command,
            buf,
            long_answer,
            paused,
            has_answer_memory,
            counted_memory,
        }
    }
}

impl Backends {
    /// The current state of all connections and pools, to be sent to the next process.
    pub fn save(&self) -> SavedBackends<&Connection> {
        let pools = self.pools.iter();
        SavedBackends {
            connections: self.connections.iter().collect(),
            pools: pools.map(|(id, pool)| (*id, pool.clone())).collect(),
            serial: self.serial,
            staleness: self.staleness.clone(),
        }
    }

    /// Removes all connections and returns their sockets, in the same order as [`save`](Self::save) lists the connections.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        let connections = self.connections.drain();
        connections
            .map(|conn| conn.stream.into_descriptor())
            .collect()
    }

    /// Takes over the connections of the previous process. `sockets` must be in the order of `saved`. If the socket of a
    /// connection is missing or can't be registered, its attempt or health check ends as if the connection had broken.
    pub fn resume(
        &mut self,
        saved: SavedBackends<Connection<()>>,
        sockets: &mut impl Iterator<Item = OwnedFd>,
        registry: &Registry,
    ) {
        self.serial = saved.serial;
        self.staleness = saved.staleness;
        self.pools = saved.pools.into_iter().collect();
        let mut connections = Vec::with_capacity(saved.connections.len());
        for (key, conn) in saved.connections {
            let stream = sockets
                .next()
                .and_then(|socket| self.register(key, &conn.address, socket, registry));
            // Connect races end at a handover: only the connection that carries the attempt continues.
            if conn.activity.is_some_and(|a| a.is_race_candidate()) {
                continue;
            }
            match stream {
                Some(stream) => connections.push((key, conn.with_stream(stream))),
                None => self.end_lost(&conn),
            }
        }
        self.resume_streams(&connections);
        self.connections = connections.into_iter().collect();
        let keys: Vec<usize> = self.connections.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.recount(key));
        let connections = &self.connections;
        for pool in self.pools.values_mut() {
            pool.idle.retain(|key| connections.contains(*key));
        }
    }

    fn register(
        &self,
        key: usize,
        address: &Address,
        socket: OwnedFd,
        registry: &Registry,
    ) -> Option<Stream> {
        let mut stream = Stream::from_descriptor(address, socket);
        let interests = Interest::READABLE | Interest::WRITABLE;
        let token = (self.tokens)(key);
        registry.register(&mut stream, token, interests).ok()?;
        Some(stream)
    }

    /// Ends the attempt or health check on a connection whose socket is missing or can't be registered.
    fn end_lost(&mut self, conn: &Connection<()>) {
        if let Some(activity) = conn.activity {
            self.ended.push(AttemptEnd {
                activity,
                backend: conn.backend,
                outcome: conn.outcome_if_broken(),
                started_at: conn.since,
                report: None,
                value: Vec::new(),
            });
        }
    }

    /// Queues the connections with streamed answers, so that forwarding resumes.
    fn resume_streams(&mut self, connections: &[(usize, Connection)]) {
        for (key, conn) in connections
            .iter()
            .filter(|(_, conn)| conn.long_answer.is_some())
        {
            let handle = ConnectionHandle {
                key: *key,
                serial: conn.serial,
            };
            if conn.paused {
                self.streams.push(handle);
            } else {
                self.read_queue.push(handle);
            }
        }
    }
}
