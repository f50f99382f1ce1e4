//! Backends as discovery lists them.

use super::pool::Pool;
use super::Backends;
use crate::discovery::{DiscoveredEndpoint, EndpointList};
use wrenfork_decision::{BackendId, EndpointState};

impl Backends {
    /// Takes the addresses of an endpoint list.
    pub fn update(&mut self, list: &EndpointList) {
        let mut gone: Vec<BackendId> = Vec::new();
        if list.is_full {
            let is_listed = |id: &BackendId| {
                let mut endpoints = list.endpoints.iter();
                endpoints.any(|e| e.listed.backend == *id)
            };
            gone.extend(self.pools.keys().filter(|id| !is_listed(id)));
        }
        for endpoint in &list.endpoints {
            if endpoint.listed.state == EndpointState::Removed {
                gone.push(endpoint.listed.backend);
            } else {
                self.update_endpoint(endpoint);
            }
        }
        for id in gone {
            self.cancel_unsent(id);
            self.close_idle(id);
            self.pools.remove(&id);
        }
    }

    fn update_endpoint(&mut self, endpoint: &DiscoveredEndpoint) {
        let id = endpoint.listed.backend;
        let draining = endpoint.listed.state == EndpointState::Draining;
        let pool: &mut Pool = self.pools.entry(id).or_default();
        let moved = pool.addresses.update(endpoint.addresses.clone());
        // What is idle at an address that it left, or while it drains, is of no more use.
        if moved || draining {
            self.close_idle(id);
        }
        if draining {
            self.cancel_unsent(id);
        }
    }

    /// Ends the attempts at a backend that are not written to their last byte: what has not begun when a drain is reported does
    /// not begin, and may go elsewhere.
    fn cancel_unsent(&mut self, backend: BackendId) {
        for key in self.keys(|c| c.backend == backend && c.is_unsent_attempt()) {
            self.end_unsent(key);
        }
    }
}
