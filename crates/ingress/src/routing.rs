//! Pools and routes: which pools each listed endpoint belongs to, and which pools a request may use. `wrenfork-routes` defines
//! the routes; the decision module selects the endpoint that serves a request.

use crate::discovery::{EndpointLabels, EndpointList};
use std::collections::HashMap;
use wrenfork_commit::metrics::ObservedNode;
use wrenfork_decision::{BackendId, Endpoint, EndpointState, Request};
use wrenfork_routes::{NodeLabels, RoutePaths, Table};

/// The latest listing of an endpoint.
struct KnownEndpoint {
    listed: Endpoint,
    labels: EndpointLabels,
}

/// Status of an endpoint in the decision module.
pub struct EndpointWork {
    /// Whether the endpoint receives any requests.
    pub takes_work: bool,
    /// Names of the classes for which the endpoint is ejected.
    pub ejected_for: Vec<String>,
}

/// The enforced pools and routes.
pub struct Routing {
    table: Table,
    paths: RoutePaths,
    /// Listed endpoints, which are assigned again when pools change; `None` if pools cannot change.
    endpoints: Option<HashMap<BackendId, KnownEndpoint>>,
}

impl Routing {
    /// Creates the routing for a table; `may_change` says whether [`Routing::set_table`] may be called later.
    pub fn new(table: Table, may_change: bool) -> Routing {
        Routing {
            paths: RoutePaths::of(&table),
            table,
            endpoints: may_change.then(HashMap::new),
        }
    }

    /// Assigns each endpoint of a list to its pools, and remembers the endpoints if pools may change.
    pub fn assign_pools(&mut self, list: &mut EndpointList) {
        if let Some(known) = self.endpoints.as_mut().filter(|_| list.is_full) {
            known.clear();
        }
        for endpoint in &mut list.endpoints {
            let listed = &mut endpoint.listed;
            listed.pools = pools_of(&self.table, listed, &endpoint.labels);
            let Some(known) = &mut self.endpoints else {
                continue;
            };
            if listed.state == EndpointState::Removed {
                known.remove(&listed.backend);
                continue;
            }
            let labels = endpoint.labels.clone();
            let listed = *listed;
            known.insert(listed.backend, KnownEndpoint { listed, labels });
        }
    }

    /// Replaces the pools and routes. Returns all endpoints with their new pools, to be reported to the decision module, or `None`
    /// if nothing changed or the routing was created with `may_change` unset.
    pub fn set_table(&mut self, table: Table) -> Option<Vec<Endpoint>> {
        if table == self.table {
            return None;
        }
        self.paths = RoutePaths::of(&table);
        self.table = table;
        let known = self.endpoints.as_mut()?.values_mut();
        let listed = known.map(|endpoint| {
            endpoint.listed.pools = pools_of(&self.table, &endpoint.listed, &endpoint.labels);
            endpoint.listed
        });
        Some(listed.collect())
    }

    /// The listed endpoints, from which changes are planned; empty if pools cannot change.
    pub fn endpoints(&self, work: impl Fn(BackendId) -> EndpointWork) -> Vec<ObservedNode> {
        let known = self.endpoints.iter().flatten();
        let observed = known.map(|(id, endpoint)| {
            let EndpointLabels {
                name,
                zone,
                machine_type,
            } = endpoint.labels.clone();
            let work = work(*id);
            ObservedNode {
                name,
                zone_group: zone,
                model: machine_type,
                group: u64::from(endpoint.listed.cell),
                accepting: work.takes_work,
                ejected_for: work.ejected_for,
            }
        });
        observed.collect()
    }

    /// Sets the pools that a request may use.
    pub fn route(&self, request: &mut Request) {
        let path = self
            .paths
            .path(usize::from(request.class), request.customer.0);
        request.route = path.tiers;
        request.own_pools = path.own;
    }
}

/// The pools that an endpoint belongs to, as a bit set indexed by pool.
fn pools_of(table: &Table, listed: &Endpoint, labels: &EndpointLabels) -> u64 {
    table.pools_of(&NodeLabels {
        name: &labels.name,
        zone_group: &labels.zone,
        machine_type: &labels.machine_type,
        cell: u64::from(listed.cell),
    })
}
