//! Connections to backends on their way from one process to the next.

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

/// What of the connections passes to the next process, with the connections' own records. The order of its fields is part of a
/// handover's layout.
#[derive(Serialize, Deserialize)]
pub struct SavedBackends<C> {
    pub(super) connections: Vec<(usize, C)>,
    /// In an order of no meaning.
    pub(super) pools: Vec<(BackendId, Pool)>,
    pub(super) serial: u64,
    pub(super) staleness: Staleness,
}

impl<C> SavedBackends<C> {
    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

impl Connection<()> {
    /// With its stream again.
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
            out,
            body,
            written,
            buf,
            long,
            paused,
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
            out,
            body,
            written,
            buf,
            long,
            paused,
        }
    }
}

impl Backends {
    /// What passes to the next process, as it stands.
    pub fn save(&self) -> SavedBackends<&Connection> {
        let pools = self.pools.iter();
        SavedBackends {
            connections: self.connections.iter().collect(),
            pools: pools.map(|(id, pool)| (*id, pool.clone())).collect(),
            serial: self.serial,
            staleness: self.staleness.clone(),
        }
    }

    /// The sockets of all connections in the order in which they were saved; none is left here.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        let connections = self.connections.drain();
        connections.map(|c| c.stream.into_descriptor()).collect()
    }

    /// Goes on with another process's connections. What a connection was used for whose socket did not come has ended as if it had
    /// broken.
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
        for (key, c) in saved.connections {
            let stream = sockets
                .next()
                .and_then(|socket| self.register(key, &c.address, socket, registry));
            // Race candidates are of the connection that has the attempt, which goes on alone.
            if c.activity.is_some_and(|a| a.is_race_candidate()) {
                continue;
            }
            match stream {
                Some(stream) => connections.push((key, c.with_stream(stream))),
                None => self.end_lost(&c),
            }
        }
        self.resume_streams(&connections);
        self.connections = connections.into_iter().collect();
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

    /// Ends what a connection was used for whose socket did not come.
    fn end_lost(&mut self, c: &Connection<()>) {
        if let Some(activity) = c.activity {
            self.ended.push(AttemptEnd {
                activity,
                backend: c.backend,
                outcome: c.outcome_if_broken(),
                started_at: c.since,
                report: None,
                value: Vec::new(),
            });
        }
    }

    /// Has streamed answers go on.
    fn resume_streams(&mut self, connections: &[(usize, Connection)]) {
        for (key, c) in connections.iter().filter(|(_, c)| c.long.is_some()) {
            let handle = ConnectionHandle {
                key: *key,
                serial: c.serial,
            };
            if c.paused {
                self.streams.push(handle);
            } else {
                self.read_queue.push(handle);
            }
        }
    }
}
