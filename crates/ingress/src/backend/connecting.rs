//! Opening connections, and what happens until they are established.

use super::activity::ConnectionHandle;
use super::connection::{Connection, RaceState};
use super::Backends;
use crate::stream::Stream;
use mio::{Interest, Registry};
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::{Address, AddressOutcome, ConnectionRace, NextConnect};

impl Backends {
    /// An idle connection to a backend, or a new one.
    pub(super) fn connection_to(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        now: Micros,
    ) -> Option<usize> {
        if let Some(key) = self.take_rested(backend, now) {
            return Some(key);
        }
        let addresses = &self.pools.get(&backend)?.addresses;
        if let Some(address) = addresses.only().cloned() {
            return self.connect(registry, backend, address, now);
        }
        let mut race = ConnectionRace::new(addresses.ordered(now), self.connect_timeout, now);
        // One that can't even be begun, such as an address of a family that this machine has no route to, costs no time.
        while let NextConnect::Start(address) = race.next(now) {
            if let Some(key) = self.connect(registry, backend, address.clone(), now) {
                self.connections[key].race = Some(Box::new(RaceState {
                    race,
                    candidates: Vec::new(),
                    failed: false,
                }));
                return Some(key);
            }
            self.note_address(backend, &address, AddressOutcome::Unreachable, now);
            race.attempt_failed(now);
        }
        None
    }

    /// Begins a connection to an address.
    pub(super) fn connect(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        address: Address,
        now: Micros,
    ) -> Option<usize> {
        let mut stream = Stream::connect(&address).ok()?;
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let interests = Interest::READABLE | Interest::WRITABLE;
        registry
            .register(&mut stream, (self.tokens)(key), interests)
            .ok()?;
        self.serial += 1;
        let connection = Connection::new(stream, self.serial, backend, address, now);
        entry.insert(connection);
        Some(key)
    }

    /// A connection is established: its race is over.
    pub(super) fn mark_established(&mut self, key: usize) {
        let c = &mut self.connections[key];
        c.established = true;
        let Some(race) = c.race.take() else {
            return;
        };
        for candidate in race.candidates {
            if self.get(candidate).is_some() {
                self.connections.remove(candidate.key);
            }
        }
    }

    /// Ends a connection that was not established in time.
    pub fn connect_timed_out(&mut self, handle: ConnectionHandle, now: Micros) {
        let Some(c) = self.get(handle).filter(|c| !c.established) else {
            return;
        };
        if now >= c.write_deadline {
            return self.end_unsent(handle.key);
        }
        let backend = c.backend;
        let address = c.address.clone();
        self.note_address(backend, &address, AddressOutcome::Unreachable, now);
        self.end(handle.key, Outcome::ConnectFailed, Micros::MAX);
        self.remove(handle.key);
    }
}
