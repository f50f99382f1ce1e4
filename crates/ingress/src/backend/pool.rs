//! The connection pool of a backend.

use super::endpoints::BackendProcess;
use super::unsolicited::UnsolicitedBytes;
use super::Backends;
use serde::{Deserialize, Serialize};
use std::io::{ErrorKind, Read};
use wrenfork_decision::{BackendId, Micros};
use wrenfork_happy_eyeballs::{Address, AddressList, AddressOutcome};

/// How long a connection rests after an answer before it is reused. Unsolicited bytes or a duplicate of the answer that follow at
/// once are detected in this time; otherwise they could be taken for the answer to the next request.
const MIN_REST: Micros = 2_000;

/// The connection pool of a backend. The field order is part of the handover format.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct Pool {
    /// The backend's addresses, with the results of recent connects and attempts.
    pub(super) addresses: AddressList,
    /// Slab keys of the idle connections; the one that became idle last is at the end.
    pub(super) idle: Vec<usize>,
    pub(super) unsolicited: UnsolicitedBytes,
    /// The process that discovery reported last. Not serialized: a successor knows it from the next report on.
    #[serde(skip)]
    pub(super) process: Option<BackendProcess>,
}

impl Backends {
    /// Whether an attempt at a backend would need a new connection. `now` is the current time, not the time of the turn.
    pub fn must_connect(&self, backend: BackendId, now: Micros) -> bool {
        let pool = self.pools.get(&backend);
        pool.is_some_and(|pool| self.newest_reusable(pool, now).is_none())
    }

    /// Index in [`Pool::idle`] of the newest connection that may be reused: idle for at least the rest time and for less than the
    /// idle time at which connections turn stale.
    fn newest_reusable(&self, pool: &Pool, now: Micros) -> Option<usize> {
        if pool.unsolicited.is_frequent() {
            return None;
        }
        let usable = MIN_REST..self.staleness.max_idle();
        let idle = |key: &usize| now.saturating_sub(self.connections[*key].since);
        pool.idle
            .iter()
            .rposition(|key| usable.contains(&idle(key)))
    }

    /// Takes the newest reusable idle connection to a backend from its pool. Connections with unsolicited bytes and connections
    /// that the backend has closed are dropped.
    pub(super) fn take_reusable(&mut self, backend: BackendId, now: Micros) -> Option<usize> {
        loop {
            let index = self.newest_reusable(self.pools.get(&backend)?, now)?;
            let key = self.pools.get_mut(&backend)?.idle.remove(index);
            // If the read does not block, there are unsolicited bytes or the backend has closed the connection. Closing it frees
            // a file descriptor for its replacement.
            match self.connections[key].stream.read(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let conn = &mut self.connections[key];
                    conn.idle_before = Some(now.saturating_sub(conn.since));
                    return Some(key);
                }
                read => {
                    drop(self.take_connection(key));
                    if read.is_ok_and(|n| n > 0) {
                        let pool = self.pools.get_mut(&backend)?;
                        pool.unsolicited.record_bytes();
                    }
                }
            }
        }
    }

    /// Records the result of a connect to, or an attempt at, an address of a backend.
    pub(super) fn record_address_outcome(
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
