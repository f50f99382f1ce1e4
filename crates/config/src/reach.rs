//! What a change of pools and routes means for the nodes that are there now: which class loses the last one that takes its
//! requests, before anybody applies it.

use crate::enforced::{names, table, Pairs};
use std::collections::BTreeMap;
use wrenfork_routes::{NodeLabels, PoolId};

/// A node as an ingress sees it now.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    /// What pools go by.
    pub traits: NodeLabels<'a>,
    /// It is up and does not drain.
    pub takes: bool,
    /// The classes that it is rested for, since it failed.
    pub rests: &'a [String],
}

/// A pool on a class's way, and how many of its nodes take that class's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Stop {
    /// None where the class has no route: all nodes.
    pool: Option<String>,
    healthy: usize,
}

/// The pools that each class goes over, best first, those of a trial left out: it falls back on the others' way.
fn ways(state: &Pairs, nodes: &[Node]) -> BTreeMap<String, Vec<Stop>> {
    let Ok((table, pools)) = table(state) else {
        return BTreeMap::new();
    };
    let classes = names(state, "grades")
        .into_iter()
        .enumerate()
        .filter(|(_, class)| !class.is_empty());
    let way = |(place, class): (usize, String)| {
        let able = |n: &&Node| n.takes && !n.rests.contains(&class);
        let Some(route) = table.routes.get(place).copied().flatten() else {
            return (
                class.clone(),
                vec![Stop {
                    pool: None,
                    healthy: nodes.iter().filter(able).count(),
                }],
            );
        };
        let order = table
            .fallback_order(route.pool)
            .unwrap_or_else(|_| vec![route.pool]);
        let stop = |no: PoolId| {
            let at = usize::from(no.0);
            let of = |n: &&Node| {
                table
                    .pools
                    .get(at)
                    .is_some_and(|p| p.selector.matches(&n.traits))
            };
            let healthy = nodes.iter().filter(of).filter(able).count();
            Stop {
                pool: pools.get(at).cloned(),
                healthy,
            }
        };
        let stops = order.into_iter().map(stop).collect();
        (class.clone(), stops)
    };
    classes.map(way).collect()
}

/// The classes that a change leaves without a node that takes their requests, or without one in their first pool: by the
/// key of their route, with what that means in plain words. Nothing where no node is known.
pub fn stranded(has: &Pairs, wanted: &Pairs, nodes: &[Node]) -> Vec<(String, String)> {
    if nodes.is_empty() {
        return Vec::new();
    }
    let (before, after) = (ways(has, nodes), ways(wanted, nodes));
    let any = |way: &[Stop]| way.iter().any(|s| s.healthy > 0);
    let mut found = Vec::new();
    for (class, way) in &after {
        let was = before.get(class);
        let pools: Vec<&str> = way.iter().filter_map(|s| s.pool.as_deref()).collect();
        let pools = pools.join(", ");
        let first = way
            .first()
            .filter(|s| s.healthy == 0)
            .and_then(|s| s.pool.as_deref());
        let first_had = was.is_none_or(|w| w.first().is_some_and(|s| s.healthy > 0));
        let what = if !any(way) && was.is_some_and(|w| any(w)) {
            format!("it loses its last healthy node: none of {pools} has one right now, and its requests are refused")
        } else if !any(way) && was != Some(way) {
            format!("none of {pools} has a healthy node right now: its requests are refused")
        } else if let Some(first) = first.filter(|_| any(way) && first_had) {
            format!("its first pool {first} has no healthy node right now: all that goes there falls back")
        } else {
            continue;
        };
        found.push((format!("routes.{class}.pool"), what));
    }
    found
}

#[cfg(test)]
mod tests;
