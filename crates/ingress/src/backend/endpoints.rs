//! Updates of the set of backends from discovery.

use super::pool::Pool;
use super::Backends;
use crate::discovery::{DiscoveredEndpoint, EndpointList};
use wrenfork_decision::{BackendId, Endpoint, EndpointState, Micros};

/// The process behind an endpoint, as far as discovery tells one from another.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendProcess {
    zone: u8,
    cell: u16,
    started_at: Micros,
}

impl BackendProcess {
    fn of(endpoint: &Endpoint) -> BackendProcess {
        BackendProcess {
            zone: endpoint.zone,
            cell: endpoint.cell,
            started_at: endpoint.started_at,
        }
    }

    /// Whether `self` is a later process than `earlier`. A start that becomes "long ago" is none.
    fn replaces(&self, earlier: &BackendProcess) -> bool {
        let moved = (self.zone, self.cell) != (earlier.zone, earlier.cell);
        moved || self.started_at > earlier.started_at
    }
}

impl Backends {
    /// Applies an endpoint list: updates addresses, and closes idle connections to backends that were removed, were restarted,
    /// drain, or lost an address.
    pub fn update(&mut self, list: &EndpointList) {
        let mut removed: Vec<BackendId> = Vec::new();
        if list.is_full {
            let is_listed = |id: &BackendId| {
                let mut endpoints = list.endpoints.iter();
                endpoints.any(|endpoint| endpoint.listed.backend == *id)
            };
            removed.extend(self.pools.keys().filter(|id| !is_listed(id)));
        }
        for endpoint in &list.endpoints {
            if endpoint.listed.state == EndpointState::Removed {
                removed.push(endpoint.listed.backend);
            } else {
                self.update_endpoint(endpoint);
            }
        }
        for id in removed {
            self.cancel_unsent(id);
            self.close_idle(id);
            self.pools.remove(&id);
        }
    }

    fn update_endpoint(&mut self, endpoint: &DiscoveredEndpoint) {
        let id = endpoint.listed.backend;
        let draining = endpoint.listed.state == EndpointState::Draining;
        let pool: &mut Pool = self.pools.entry(id).or_default();
        let address_removed = pool.addresses.update(endpoint.addresses.clone());
        let process = BackendProcess::of(&endpoint.listed);
        let earlier = pool.process.replace(process);
        let was_replaced = earlier.is_some_and(|earlier| process.replaces(&earlier));
        // What is idle or not connected yet must not be used for a process that discovery no longer means: another one may have
        // come up at the address.
        if address_removed || was_replaced || draining {
            self.close_idle(id);
            self.cancel_unsent(id);
        }
    }

    /// Ends the attempts at a backend whose command is not written completely. The backend has not started them, so they can be
    /// retried at another backend.
    fn cancel_unsent(&mut self, backend: BackendId) {
        for key in self.keys_where(|conn| conn.backend == backend && conn.is_unsent_attempt()) {
            self.end_unsent(key);
        }
    }
}
