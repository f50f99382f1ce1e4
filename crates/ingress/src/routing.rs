//! Which pools the nodes that discovery lists are of, and which of them a request may go to. What a route means stands in
//! `wrenfork-routes`; which node takes a request is the decision module's.

use crate::discovery::Roster;
use std::collections::HashMap;
use wrenfork_commit::metrics::ObservedNode;
use wrenfork_decision::{BackendId, Endpoint, EndpointState, Request};
use wrenfork_routes::{Table, Traits, Ways};

/// A node as it was listed last.
struct Node {
    listed: Endpoint,
    named: [String; 3],
}

/// The pools and routes that are enforced.
pub struct Routing {
    table: Table,
    ways: Ways,
    /// Kept only where pools may change: then all nodes are looked at again.
    nodes: Option<HashMap<BackendId, Node>>,
}

impl Routing {
    /// For these pools and routes; `may_change` where others may come.
    pub fn new(table: Table, may_change: bool) -> Routing {
        let ways = Ways::of(&table);
        Routing {
            table,
            ways,
            nodes: may_change.then(HashMap::new),
        }
    }

    /// Says of each node that is listed which pools it is of.
    pub fn member(&mut self, roster: &mut Roster) {
        if let Some(nodes) = self.nodes.as_mut().filter(|_| roster.whole) {
            nodes.clear();
        }
        for e in &mut roster.entries {
            e.listed.pools = pools(&self.table, &e.listed, &e.named);
            let Some(nodes) = &mut self.nodes else {
                continue;
            };
            if e.listed.state == EndpointState::Removed {
                nodes.remove(&e.listed.backend);
            } else {
                nodes.insert(
                    e.listed.backend,
                    Node {
                        listed: e.listed,
                        named: e.named.clone(),
                    },
                );
            }
        }
    }

    /// Takes other pools and routes; the whole list of nodes, with the pools that each is of now.
    pub fn change(&mut self, table: Table) -> Option<Vec<Endpoint>> {
        if table == self.table {
            return None;
        }
        (self.ways, self.table) = (Ways::of(&table), table);
        let nodes = self.nodes.as_mut()?.values_mut().map(|node| {
            node.listed.pools = pools(&self.table, &node.listed, &node.named);
            node.listed
        });
        Some(nodes.collect())
    }

    /// The nodes that are listed, for whoever plans a change; `work` says whether one takes work and for which classes it
    /// rests. None where pools can't change.
    pub fn seen(&self, work: impl Fn(BackendId) -> (bool, Vec<String>)) -> Vec<ObservedNode> {
        let nodes = self.nodes.iter().flatten().map(|(id, node)| {
            let ([name, hall, model], (takes, rests)) = (node.named.clone(), work(*id));
            ObservedNode {
                name,
                zone_group: hall,
                model,
                group: u64::from(node.listed.cell),
                accepting: takes,
                ejected_for: rests,
            }
        });
        nodes.collect()
    }

    /// Gives a request its way.
    pub fn route(&self, request: &mut Request) {
        let way = self
            .ways
            .way(usize::from(request.class), request.customer.0);
        (request.route, request.own_pools) = (way.tiers, way.own);
    }
}

fn pools(table: &Table, listed: &Endpoint, [name, hall, model]: &[String; 3]) -> u64 {
    table.member(&Traits {
        name,
        hall,
        model,
        group: u64::from(listed.cell),
    })
}
