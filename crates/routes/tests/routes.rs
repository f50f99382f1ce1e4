//! Which nodes are of a pool, in what order pools fall back, and which pools a request may go to.

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
fn a_selector_matches_nodes_that_have_one_label_of_each_list() {
    let one = node("s-1", "hall-a", "std", 3);
    let selector = Selector {
        zone_groups: list(&["hall-b", "hall-a"]),
        machine_types: list(&["std"]),
        ..Selector::default()
    };
    assert!(selector.matches(&one));
    assert!(!selector.matches(&node("s-1", "hall-a", "small", 3)));
    assert!(
        Selector::default().matches(&one),
        "an empty one matches all"
    );
    let other_cell = Selector {
        cells: vec![4],
        ..selector.clone()
    };
    assert!(!other_cell.matches(&one));
    let other_name = Selector {
        nodes: list(&["s-2"]),
        ..selector
    };
    assert!(!other_name.matches(&one));
}

#[test]
fn pools_fall_back_in_order() {
    let table = pools(&[Some(2), None, Some(1)]);
    let order = [0, 2, 1].map(PoolId).to_vec();
    assert_eq!(table.fallback_order(PoolId(0)), Ok(order));
    assert!(table.errors().is_empty());
}

/// Guards against a walk without an end, and against a cycle that is reported once for each of its pools.
#[test]
fn a_cycle_is_reported_once_with_the_pools_in_it_alone() {
    let table = pools(&[Some(1), Some(2), Some(1), Some(3)]);
    let cycle = |list: &[u8]| {
        let pools = list.iter().map(|n| PoolId(*n));
        TableError::FallbackCycle(pools.collect())
    };
    assert_eq!(table.errors(), [cycle(&[1, 2]), cycle(&[3])]);
}

#[test]
fn an_unknown_pool_and_too_many_pools_are_errors() {
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
fn a_canary_comes_first_for_its_fraction_of_customers_and_falls_back_on_the_others_pools() {
    let mut table = pools(&[Some(1), None, None]);
    table.routes = vec![None, route(2, 0.1)];
    let any = table.tiers(0, 7);
    assert_eq!(any, None, "a class without a route goes anywhere");
    let customers = (0..10_000).filter(|c| table.is_canary_customer(1, *c));
    let count = customers.count();
    assert!(
        (900..1_100).contains(&count),
        "{count} of 10,000 with a fraction of a tenth"
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

/// As the first version drew them.
const FIRST_CANARY_CUSTOMERS: [[u64; 4]; 2] = [[10, 18, 21, 41], [7, 14, 16, 20]];

/// Guards against other customers than before: requests of a customer keep to the pool that may have served it before.
#[test]
fn the_canary_customers_of_a_class_never_change() {
    let mut table = pools(&[None, None]);
    table.routes = vec![route(1, 0.1), route(1, 0.1)];
    let first = |class| {
        let customers = (0..).filter(|c| table.is_canary_customer(class, *c));
        customers.take(4).collect::<Vec<u64>>()
    };
    assert_eq!(first(0), FIRST_CANARY_CUSTOMERS[0]);
    assert_eq!(first(1), FIRST_CANARY_CUSTOMERS[1]);
}

/// Guards against a path that is not what the table says.
#[test]
fn a_path_has_the_tables_tiers() {
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
    /// Whatever the table, walking it ends, and each pool of an order is there once.
    #[test]
    fn every_fallback_order_ends(
        fallbacks in prop::collection::vec(prop::option::of(0u8..12), 0..10),
        first in 0u8..12,
    ) {
        let table = pools(&fallbacks);
        if let Ok(order) = table.fallback_order(PoolId(first)) {
            let once: BTreeSet<PoolId> = order.iter().copied().collect();
            prop_assert_eq!(once.len(), order.len());
        }
        let mut all = (0..fallbacks.len()).map(|n| PoolId(n as u8));
        let is_invalid = all.any(|first| table.fallback_order(first).is_err());
        prop_assert_eq!(is_invalid, !table.errors().is_empty());
    }
}
