//! Selection of nodes for pools, the fallback order of pools, and the pools that a request may go to.

use proptest::prelude::{prop, prop_assert_eq, proptest};
use std::collections::BTreeSet;
use wrenfork_routes::{
    Canary, NodeLabels, Pool, PoolId, Route, RoutePath, RoutePaths, Selector, Table, TableError,
};

fn node<'a>(
    name: &'a str,
    zone_group: &'a str,
    machine_type: &'a str,
    cell: u64,
) -> NodeLabels<'a> {
    NodeLabels {
        name,
        zone_group,
        machine_type,
        cell,
    }
}

fn list(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn pools(fallbacks: &[Option<u8>]) -> Table {
    let pool = |fallback: &Option<u8>| Pool {
        fallback: fallback.map(PoolId),
        ..Pool::default()
    };
    Table {
        pools: fallbacks.iter().map(pool).collect(),
        routes: Vec::new(),
    }
}

/// A route to pool 0, with a canary for a fraction of the customers.
fn route(canary: u8, fraction: f64) -> Option<Route> {
    Some(Route {
        pool: PoolId(0),
        canary: Some(Canary {
            pool: PoolId(canary),
            fraction,
        }),
    })
}

#[test]
fn selector_matches_nodes_with_a_label_in_each_list() {
    let standard_node = node("s-1", "hall-a", "std", 3);
    let selector = Selector {
        zone_groups: list(&["hall-b", "hall-a"]),
        machine_types: list(&["std"]),
        ..Selector::default()
    };
    assert!(selector.matches(&standard_node));
    assert!(!selector.matches(&node("s-1", "hall-a", "small", 3)));
    assert!(
        Selector::default().matches(&standard_node),
        "an empty selector must match every node"
    );
    let other_cell = Selector {
        cells: vec![4],
        ..selector.clone()
    };
    assert!(!other_cell.matches(&standard_node));
    let other_name = Selector {
        nodes: list(&["s-2"]),
        ..selector
    };
    assert!(!other_name.matches(&standard_node));
}

#[test]
fn pools_are_followed_by_their_fallbacks_in_order() {
    let table = pools(&[Some(2), None, Some(1)]);
    let order = [0, 2, 1].map(PoolId).to_vec();
    assert_eq!(table.fallback_order(PoolId(0)), Ok(order));
    assert!(table.errors().is_empty());
}

/// Guards against endless iteration over a cycle, and against reporting a cycle once for each of its pools.
#[test]
fn fallback_cycle_is_reported_once_with_only_its_own_pools() {
    let table = pools(&[Some(1), Some(2), Some(1), Some(3)]);
    let cycle = |list: &[u8]| {
        let pools = list.iter().map(|n| PoolId(*n));
        TableError::FallbackCycle(pools.collect())
    };
    assert_eq!(table.errors(), [cycle(&[1, 2]), cycle(&[3])]);
}

#[test]
fn unknown_pool_and_too_many_pools_are_errors() {
    let mut table = pools(&[Some(9)]);
    table.routes.push(Some(Route {
        pool: PoolId(5),
        canary: Some(Canary {
            pool: PoolId(9),
            fraction: 0.1,
        }),
    }));
    let unknown = |n| TableError::UnknownPool(PoolId(n));
    assert_eq!(table.errors(), [unknown(9), unknown(5)]);
    assert_eq!(pools(&[None; 65]).errors(), [TableError::TooManyPools]);
}

#[test]
fn canary_customers_go_to_the_canary_pool_first_then_to_the_regular_pools() {
    let mut table = pools(&[Some(1), None, None]);
    table.routes = vec![None, route(2, 0.1)];
    let tiers_without_route = table.tiers(0, 7);
    assert_eq!(
        tiers_without_route, None,
        "a class without a route may go to any node"
    );
    let customers = (0..10_000).filter(|c| table.is_canary_customer(1, *c));
    let count = customers.count();
    assert!(
        (900..1_100).contains(&count),
        "{count} of 10,000 customers are in a canary with a fraction of 0.1"
    );
    for customer in 0..200 {
        let expected = if table.is_canary_customer(1, customer) {
            vec![4, 1, 2]
        } else {
            vec![1, 2]
        };
        assert_eq!(table.tiers(1, customer), Some(expected));
    }
}

/// First canary customers of classes 0 and 1, as selected since the first version.
const FIRST_CANARY_CUSTOMERS: [[u64; 4]; 2] = [[10, 18, 21, 41], [7, 14, 16, 20]];

/// Guards against a change of the canary customers: a repeated request must go to the pool that may already have run it.
#[test]
fn canary_customers_of_a_class_never_change() {
    let mut table = pools(&[None, None]);
    table.routes = vec![route(1, 0.1), route(1, 0.1)];
    let first = |class| {
        let customers = (0..).filter(|c| table.is_canary_customer(class, *c));
        customers.take(4).collect::<Vec<u64>>()
    };
    assert_eq!(first(0), FIRST_CANARY_CUSTOMERS[0]);
    assert_eq!(first(1), FIRST_CANARY_CUSTOMERS[1]);
}

/// Guards against precomputed paths that differ from the tiers of the table.
#[test]
fn paths_contain_the_tiers_of_the_table() {
    let mut table = pools(&[Some(1), None, None]);
    table.routes = vec![None, route(2, 0.3)];
    let paths = RoutePaths::of(&table);
    assert_eq!(paths.path(0, 7), RoutePath::default());
    assert_eq!(paths.path(9, 7), RoutePath::default());
    for customer in 0..200 {
        let path = paths.path(1, customer);
        let tiers = path.tiers.iter().filter(|tier| **tier > 0);
        let bits: Vec<u64> = tiers.map(|tier| PoolId(tier - 1).bit()).collect();
        assert_eq!(Some(bits), table.tiers(1, customer));
        assert_eq!(path.own == 2, table.is_canary_customer(1, customer));
    }
}

proptest! {
    /// For any table, a fallback order is finite and contains each pool at most once.
    #[test]
    fn every_fallback_order_is_finite_and_has_no_duplicates(
        fallbacks in prop::collection::vec(prop::option::of(0u8..12), 0..10),
        first in 0u8..12,
    ) {
        let table = pools(&fallbacks);
        if let Ok(order) = table.fallback_order(PoolId(first)) {
            let distinct: BTreeSet<PoolId> = order.iter().copied().collect();
            prop_assert_eq!(distinct.len(), order.len());
        }
        let mut all = (0..fallbacks.len()).map(|n| PoolId(n as u8));
        let is_invalid = all.any(|first| table.fallback_order(first).is_err());
        prop_assert_eq!(is_invalid, !table.errors().is_empty());
    }
}
