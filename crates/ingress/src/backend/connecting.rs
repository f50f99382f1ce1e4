//! Opening connections to backends, up to the point where they are established.

use super::activity::ConnectionHandle;
use super::connection::{Connection, RaceState};
use super::Backends;
use crate::stream::Stream;
use mio::{Interest, Registry};
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::{Address, AddressOutcome, ConnectionRace, NextConnect};

impl Backends {
    /// Takes an idle connection to a backend from its pool, or opens a new one. Returns none if no connect could be started.
    pub(super) fn connection_to(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        now: Micros,
    ) -> Option<usize> {
        if let Some(key) = self.take_reusable(backend, now) {
            return Some(key);
        }
        let addresses = &self.pools.get(&backend)?.addresses;
        if let Some(address) = addresses.only().cloned() {
            return self.connect(registry, backend, address, now);
        }
        let mut race = ConnectionRace::new(addresses.ordered(now), self.connect_timeout, now);
        // A connect that fails at once, for example because this machine has no route to the address family, does not delay the
        // next address.
        while let NextConnect::Start(address) = race.next(now) {
            if let Some(key) = self.connect(registry, backend, address.clone(), now) {
                self.connections[key].race = Some(Box::new(RaceState {
                    race,
                    candidates: Vec::new(),
                    failed: false,
                }));
                return Some(key);
            }
            self.record_address_outcome(backend, &address, AddressOutcome::Unreachable, now);
            race.attempt_failed(now);
        }
        None
    }

    /// Starts a non-blocking connect to an address. Returns none if it fails at once.
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

    /// Marks a connection as established, and ends its race by closing the other candidates.
    pub(super) fn mark_established(&mut self, key: usize) {
        let conn = &mut self.connections[key];
        conn.established = true;
        let Some(race) = conn.race.take() else {
            return;
        };
        for candidate in race.candidates {
            if self.get(candidate).is_some() {
                self.take_connection(candidate.key);
            }
        }
    }

    /// Closes a connection that was not established in time, and ends its attempt or health check.
    pub fn connect_timed_out(&mut self, handle: ConnectionHandle, now: Micros) {
        let Some(conn) = self.get(handle).filter(|conn| !conn.established) else {
            return;
        };
        if now >= conn.write_deadline {
            return self.end_unsent(handle.key);
        }
        let backend = conn.backend;
        let address = conn.address.clone();
        self.record_address_outcome(backend, &address, AddressOutcome::Unreachable, now);
        self.end_without_answer(handle.key, Outcome::ConnectFailed, Micros::MAX);
        self.remove(handle.key);
    }
}
