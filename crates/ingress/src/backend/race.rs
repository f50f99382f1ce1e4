//! Races of connects to the several addresses of a backend (RFC 8305).

use super::activity::{Activity, ConnectionHandle};
use super::Backends;
use mio::{Interest, Registry};
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::{Address, AddressOutcome, NextConnect};

impl Backends {
    /// When the next address of a connection's race is due.
    pub fn race_due(&self, handle: ConnectionHandle) -> Option<Micros> {
        self.get(handle)?.race.as_ref()?.race.next_due()
    }

    /// A race in which something has happened, for [`Backends::advance_race`].
    pub fn next_race(&mut self) -> Option<ConnectionHandle> {
        self.races.pop()
    }

    /// Goes on with a connection's race: a candidate that is established gives it its stream, and the next address is tried when
    /// it is due. Without a descriptor for one more nothing is begun beside a connection that may still be established. Gives the
    /// time when to come again.
    pub fn advance_race(
        &mut self,
        registry: &Registry,
        handle: ConnectionHandle,
        now: Micros,
        has_descriptor: bool,
    ) -> Option<Micros> {
        let c = self.get(handle).filter(|c| !c.established)?;
        let backend = c.backend;
        let mut candidates = c.race.as_ref()?.candidates.iter().copied();
        let winner = candidates.find(|h| self.get(*h).is_some_and(|c| c.established));
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

    /// Begins a connection to another address beside the one that has the attempt.
    fn add_candidate(
        &mut self,
        registry: &Registry,
        handle: ConnectionHandle,
        backend: BackendId,
        address: &Address,
        now: Micros,
    ) -> Option<()> {
        let Some(key) = self.connect(registry, backend, address.clone(), now) else {
            self.note_address(backend, address, AddressOutcome::Unreachable, now);
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

    /// Ends an attempt whose backend can't be reached: nothing more is to be tried, and nothing under way.
    fn end_lost_race(&mut self, handle: ConnectionHandle, now: Micros) {
        let Some(state) = &self.connections[handle.key].race else {
            return;
        };
        let mut candidates = state.candidates.iter();
        if state.failed && candidates.all(|h| self.get(*h).is_none()) {
            self.end(handle.key, Outcome::ConnectFailed, now);
            self.remove(handle.key);
        }
    }

    /// The connection with the attempt takes the stream of the candidate that was established first; the others are closed.
    fn take_stream(
        &mut self,
        registry: &Registry,
        handle: ConnectionHandle,
        winner: ConnectionHandle,
        now: Micros,
    ) {
        let won = self.connections.remove(winner.key);
        let token = (self.tokens)(handle.key);
        let Some(c) = self.connections.get_mut(handle.key) else {
            return;
        };
        let mut stream = won.stream;
        let interests = Interest::READABLE | Interest::WRITABLE;
        if registry.reregister(&mut stream, token, interests).is_err() {
            self.end(handle.key, Outcome::ConnectFailed, now);
            return self.remove(handle.key);
        }
        let backend = c.backend;
        let overtaken = std::mem::replace(&mut c.address, won.address);
        c.stream = stream;
        // It began first and is not established yet: next time it comes behind the others.
        self.note_address(backend, &overtaken, AddressOutcome::Unreachable, now);
        self.mark_established(handle.key);
        self.write_established(handle.key, now);
    }

    /// Whether a connection that broke before it was established has candidates that may still be: it stays for these.
    pub(super) fn has_race_left(&mut self, key: usize, now: Micros) -> bool {
        let handle = self.handle(key);
        let c = &mut self.connections[key];
        if c.established {
            return false;
        }
        let backend = c.backend;
        let address = c.address.clone();
        if let Some(state) = &mut c.race {
            if !std::mem::replace(&mut state.failed, true) {
                state.race.attempt_failed(now);
                self.races.push(handle);
                self.note_address(backend, &address, AddressOutcome::Unreachable, now);
            }
            return true;
        }
        if let Some(Activity::RaceCandidate(of)) = c.activity {
            self.note_address(backend, &address, AddressOutcome::Unreachable, now);
            let c = self.connections.get_mut(of.key);
            if let Some(state) = c.and_then(|c| c.race.as_mut()) {
                state.race.attempt_failed(now);
                self.races.push(of);
            }
        }
        false
    }
}
