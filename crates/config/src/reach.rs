//! Effect of a change of pools and routes on the current nodes. Before the change is applied, this finds the classes
//! that would lose their last node.

use crate::enforced::{names, table, Pairs};
use std::collections::BTreeMap;
use wrenfork_routes::{NodeLabels, PoolId};

/// Current state of a node as an ingress reports it.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    /// Labels that pool selectors match.
    pub labels: NodeLabels<'a>,
    /// The node is up and not draining.
    pub available: bool,
    /// Classes whose requests the node does not receive after failures.
    pub ejected_for: &'a [String],
}

/// A pool in a class's fallback order, with the number of its nodes that accept the class's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Tier {
    /// Name of the pool; none for a class without a route, which goes to all nodes.
    pool: Option<String>,
    healthy: usize,
}

/// The fallback order of each class, first pool first. Trial pools are left out: a trial falls back to the route's
/// pools.
fn fallback_tiers(state: &Pairs, nodes: &[Node]) -> BTreeMap<String, Vec<Tier>> {
    let Ok((table, pools)) = table(state) else {
        return BTreeMap::new();
    };
    let classes = names(state, "grades")
        .into_iter()
        .enumerate()
        .filter(|(_, class)| !class.is_empty());
    let class_tiers = |(index, class): (usize, String)| {
        let healthy = |n: &&Node| n.available && !n.ejected_for.contains(&class);
        let Some(route) = table.routes.get(index).copied().flatten() else {
            return (
                class.clone(),
                vec![Tier {
                    pool: None,
                    healthy: nodes.iter().filter(healthy).count(),
                }],
            );
        };
        let order = table
            .fallback_order(route.pool)
            .unwrap_or_else(|_| vec![route.pool]);
        let tier = |id: PoolId| {
            let index = usize::from(id.0);
            let is_member = |n: &&Node| {
                table
                    .pools
                    .get(index)
                    .is_some_and(|p| p.selector.matches(&n.labels))
            };
            let healthy = nodes.iter().filter(is_member).filter(healthy).count();
            Tier {
                pool: pools.get(index).cloned(),
                healthy,
            }
        };
        let tiers = order.into_iter().map(tier).collect();
        (class.clone(), tiers)
    };
    classes.map(class_tiers).collect()
}

/// The classes that a change leaves without a healthy node, or without one in their first pool. Each is returned as the
/// key of its route and a message. Empty if no node is known.
pub fn classes_losing_nodes(
    current: &Pairs,
    wanted: &Pairs,
    nodes: &[Node],
) -> Vec<(String, String)> {
    if nodes.is_empty() {
        return Vec::new();
    }
    let (before, after) = (
        fallback_tiers(current, nodes),
        fallback_tiers(wanted, nodes),
    );
    let any_healthy = |tiers: &[Tier]| tiers.iter().any(|s| s.healthy > 0);
    let mut found = Vec::new();
    for (class, tiers) in &after {
        let previous = before.get(class);
        let pools: Vec<&str> = tiers.iter().filter_map(|s| s.pool.as_deref()).collect();
        let pools = pools.join(", ");
        let first = tiers
            .first()
            .filter(|s| s.healthy == 0)
            .and_then(|s| s.pool.as_deref());
        let first_was_healthy = previous.is_none_or(|w| w.first().is_some_and(|s| s.healthy > 0));
        let message = if !any_healthy(tiers) && previous.is_some_and(|w| any_healthy(w)) {
            format!("it loses its last healthy node: none of {pools} has one right now, and its requests are refused")
        } else if !any_healthy(tiers) && previous != Some(tiers) {
            format!("none of {pools} has a healthy node right now: its requests are refused")
        } else if let Some(first) = first.filter(|_| any_healthy(tiers) && first_was_healthy) {
            format!("its first pool {first} has no healthy node right now: all that goes there falls back")
        } else {
            continue;
        };
        found.push((format!("routes.{class}.pool"), message));
    }
    found
}

#[cfg(test)]
mod tests;
