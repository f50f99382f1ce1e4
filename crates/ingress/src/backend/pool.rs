//! The connection pool of a backend.

use super::unsolicited::UnsolicitedBytes;
use super::Backends;
use serde::{Deserialize, Serialize};
use std::io::{ErrorKind, Read};
use wrenfork_decision::{BackendId, Micros};
use wrenfork_happy_eyeballs::{Address, AddressList, AddressOutcome};

/// How long a connection rests behind an answer: noise or a hedged copy of it that comes right behind must show
/// before the next request could be served with it.
const REST: Micros = 2_000;

/// The connection pool of a backend. The order of its fields is part of a handover's layout.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct Pool {
    /// The backend's addresses, and how they fared.
    pub(super) addresses: AddressList,
    /// The places of the idle connections, the newest last.
    pub(super) idle: Vec<usize>,
    pub(super) unsolicited: UnsolicitedBytes,
}

impl Backends {
    /// Whether work for a backend would need a new connection. `now` is the true time, not the turn's.
    pub fn must_connect(&self, backend: BackendId, now: Micros) -> bool {
        let pool = self.pools.get(&backend);
        pool.is_some_and(|pool| self.newest_rested(pool, now).is_none())
    }

    /// The index of the newest idle connection that has rested, among the idle ones.
    fn newest_rested(&self, pool: &Pool, now: Micros) -> Option<usize> {
        if pool.unsolicited.is_frequent() {
            return None;
        }
        let usable = REST..self.staleness.max_idle();
        let idle = |key: &usize| now.saturating_sub(self.connections[*key].since);
        pool.idle
            .iter()
            .rposition(|key| usable.contains(&idle(key)))
    }

    /// Takes the newest idle connection to a backend that has rested and has nothing unread.
    pub(super) fn take_rested(&mut self, backend: BackendId, now: Micros) -> Option<usize> {
        loop {
            let index = self.newest_rested(self.pools.get(&backend)?, now)?;
            let key = self.pools.get_mut(&backend)?.idle.remove(index);
            // Nobody asked for what is there, or the backend has closed. Its descriptor serves the next one.
            match self.connections[key].stream.read(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let c = &mut self.connections[key];
                    c.idle_before = Some(now.saturating_sub(c.since));
                    return Some(key);
                }
                read => {
                    drop(self.connections.remove(key));
                    if read.is_ok_and(|n| n > 0) {
                        let pool = self.pools.get_mut(&backend)?;
                        pool.unsolicited.record_bytes();
                    }
                }
            }
        }
    }

    /// Notes how a connect to an address of a backend, or an attempt there, fared.
    pub(super) fn note_address(
        &mut self,
        backend: BackendId,
        address: &Address,
        outcome: AddressOutcome,
        now: Micros,
    ) {
        if let Some(pool) = self.pools.get_mut(&backend) {
            pool.addresses.record(address, outcome, now);
        }
    }
}
