//! Updates of the set of backends from discovery.

use super::pool::Pool;
use super::Backends;
use crate::discovery::{DiscoveredEndpoint, EndpointList};
use wrenfork_decision::{BackendId, EndpointState};

impl Backends {
    /// Applies an endpoint list: updates addresses, and closes idle connections to backends that were removed, drain, or lost an
    /// address.
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
        // Idle connections to a removed address or to a draining backend will not be used again.
        if address_removed || draining {
            self.close_idle(id);
        }
        if draining {
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
