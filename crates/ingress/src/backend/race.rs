//! Connect races between the addresses of a backend that has several (RFC 8305).

use super::activity::{Activity, ConnectionHandle};
use super::Backends;
use mio::{Interest, Registry};
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::{Address, AddressOutcome, NextConnect};

impl Backends {
    /// When the race of a connection starts a connect to the next address; none if there is no race or no address left.
    pub fn race_due(&self, handle: ConnectionHandle) -> Option<Micros> {
        self.get(handle)?.race.as_ref()?.race.next_due()
    }

    /// Takes a race that must be advanced by [`Backends::advance_race`], given by the connection that carries the attempt.
    pub fn next_race(&mut self) -> Option<ConnectionHandle> {
        self.races.pop()
    }

    /// Advances the race of a connection. If a candidate is established, the connection takes over its stream; otherwise a
    /// connect to the next address is started when due. Without a free file descriptor, no further connect is started while the
    /// connection itself may still be established. Returns the time of the next call, if one is needed.
    pub fn advance_race(
        &mut self,
        registry: &Registry,
        handle: ConnectionHandle,
        now: Micros,
        has_descriptor: bool,
    ) -> Option<Micros> {
        let conn = self.get(handle).filter(|conn| !conn.established)?;
        let backend = conn.backend;
        let mut candidates = conn.race.as_ref()?.candidates.iter().copied();
        let winner = candidates.find(|h| self.get(*h).is_some_and(|conn| conn.established));
        if let Some(winner) = winner {
            self.take_stream(registry, handle, winner, now);
            return None;
        }
        loop {
            let state = self.connections[handle.key].race.as_mut()?;
            if !has_descriptor && !state.failed {
                return None;
            }
            match state.race.next(now) {
                NextConnect::Start(address) => {
                    self.add_candidate(registry, handle, backend, &address, now)?;
                }
                NextConnect::WaitUntil(until) => return Some(until),
                NextConnect::Exhausted => break,
            }
        }
        self.end_lost_race(handle, now);
        None
    }

    /// Starts a connect to another address, in parallel to the connection that carries the attempt.
    fn add_candidate(
        &mut self,
        registry: &Registry,
        handle: ConnectionHandle,
        backend: BackendId,
        address: &Address,
        now: Micros,
    ) -> Option<()> {
        let Some(key) = self.connect(registry, backend, address.clone(), now) else {
            self.record_address_outcome(backend, address, AddressOutcome::Unreachable, now);
            let state = self.connections[handle.key].race.as_mut()?;
            state.race.attempt_failed(now);
            return Some(());
        };
        self.connections[key].activity = Some(Activity::RaceCandidate(handle));
        let candidate = self.handle(key);
        let state = self.connections[handle.key].race.as_mut()?;
        state.candidates.push(candidate);
        Some(())
    }

    /// Ends the attempt as failed if every connect of its race has failed.
    fn end_lost_race(&mut self, handle: ConnectionHandle, now: Micros) {
        let Some(state) = &self.connections[handle.key].race else {
            return;
        };
        let mut candidates = state.candidates.iter();
        if state.failed && candidates.all(|h| self.get(*h).is_none()) {
            self.end_without_answer(handle.key, Outcome::ConnectFailed, now);
            self.remove(handle.key);
        }
    }

    /// Moves the stream of the winning candidate to the connection that carries the attempt, and closes the other candidates.
    fn take_stream(
        &mut self,
        registry: &Registry,
        handle: ConnectionHandle,
        winner: ConnectionHandle,
        now: Micros,
    ) {
        let winning_connection = self.take_connection(winner.key);
        let token = (self.tokens)(handle.key);
        let Some(conn) = self.connections.get_mut(handle.key) else {
            return;
        };
        let mut stream = winning_connection.stream;
        let interests = Interest::READABLE | Interest::WRITABLE;
        if registry.reregister(&mut stream, token, interests).is_err() {
            self.end_without_answer(handle.key, Outcome::ConnectFailed, now);
            return self.remove(handle.key);
        }
        let backend = conn.backend;
        let previous_address = std::mem::replace(&mut conn.address, winning_connection.address);
        conn.stream = stream;
        // The previous address was tried first and is still not established, so it is ordered after the others next time.
        self.record_address_outcome(backend, &previous_address, AddressOutcome::Unreachable, now);
        self.mark_established(handle.key);
        self.write_established(handle.key, now);
    }

    /// Handles the failure of a connection before it was established. Returns true if the connection must be kept because its
    /// race continues with other candidates. If the connection is itself a candidate, reports the failure to its race.
    pub(super) fn continue_race_after_failure(&mut self, key: usize, now: Micros) -> bool {
        let handle = self.handle(key);
        let conn = &mut self.connections[key];
        if conn.established {
            return false;
        }
        let backend = conn.backend;
        let address = conn.address.clone();
        if let Some(state) = &mut conn.race {
            if !std::mem::replace(&mut state.failed, true) {
                state.race.attempt_failed(now);
                self.races.push(handle);
                self.record_address_outcome(backend, &address, AddressOutcome::Unreachable, now);
            }
            return true;
        }
        if let Some(Activity::RaceCandidate(primary)) = conn.activity {
            self.record_address_outcome(backend, &address, AddressOutcome::Unreachable, now);
            let conn = self.connections.get_mut(primary.key);
            if let Some(state) = conn.and_then(|conn| conn.race.as_mut()) {
                state.race.attempt_failed(now);
                self.races.push(primary);
            }
        }
        false
    }
}
