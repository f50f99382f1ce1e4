//! Pools and routes: which pools the endpoints that discovery lists are of, and which of them a request may go to. What a route
//! means stands in `wrenfork-routes`; which endpoint serves a request is the decision module's.

use crate::discovery::{EndpointLabels, EndpointList};
use std::collections::HashMap;
use wrenfork_commit::metrics::ObservedNode;
use wrenfork_decision::{BackendId, Endpoint, EndpointState, Request};
use wrenfork_routes::{NodeLabels, RoutePaths, Table};

/// An endpoint as it was listed last.
struct KnownEndpoint {
    listed: Endpoint,
    labels: EndpointLabels,
}

/// What the decision module does with an endpoint.
pub struct EndpointWork {
    /// Whether it takes any work.
    pub takes_work: bool,
    /// The names of the classes for which it is ejected.
    pub ejected_for: Vec<String>,
}

/// The pools and routes that are enforced.
pub struct Routing {
    table: Table,
    paths: RoutePaths,
    /// Known only where pools may change: then all endpoints are assigned again.
    endpoints: Option<HashMap<BackendId, KnownEndpoint>>,
}

impl Routing {
    /// For these pools and routes; `may_change` where others may come.
    pub fn new(table: Table, may_change: bool) -> Routing {
        Routing {
            paths: RoutePaths::of(&table),
            table,
            endpoints: may_change.then(HashMap::new),
        }
    }

    /// Assigns each endpoint of a list to its pools.
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

    /// Takes other pools and routes; gives the full endpoint list with the pools that each is of now, if it has to be reported.
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

    /// The endpoints that are listed, for whoever plans a change. None where pools can't change.
    pub fn endpoints(&self, work: impl Fn(BackendId) -> EndpointWork) -> Vec<ObservedNode> {
        let known = self.endpoints.iter().flatten();
        let seen = known.map(|(id, endpoint)| {
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
        seen.collect()
    }

    /// Gives a request the pools that it may go to.
    pub fn route(&self, request: &mut Request) {
        let path = self
            .paths
            .path(usize::from(request.class), request.customer.0);
        request.route = path.tiers;
        request.own_pools = path.own;
    }
}

/// The pools that an endpoint is of, a bit for each.
fn pools_of(table: &Table, listed: &Endpoint, labels: &EndpointLabels) -> u64 {
    table.pools_of(&NodeLabels {
        name: &labels.name,
        zone_group: &labels.zone,
        machine_type: &labels.machine_type,
        cell: u64::from(listed.cell),
    })
}
