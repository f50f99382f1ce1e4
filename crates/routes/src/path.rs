//! The pools of each route in order, computed once per table so that no request has to walk the table.

use crate::table::{is_sampled, PoolId, Route, Table};

/// Maximum number of pools on a path. Pools after these are left out.
pub const MAX_TIERS: usize = 4;

/// The pools that a request may go to, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoutePath {
    /// Pools in order of preference, each as its index plus 1. Unused entries at the end are 0.
    pub tiers: [u8; MAX_TIERS],
    /// How many of the pools, counted from the first, belong to the route itself and are not fallbacks.
    pub own: u8,
}

impl RoutePath {
    fn new(pools: impl Iterator<Item = PoolId>, own: u8) -> RoutePath {
        let mut path = RoutePath {
            own,
            ..RoutePath::default()
        };
        for (pool, tier) in pools.zip(&mut path.tiers) {
            *tier = pool.0 + 1;
        }
        path
    }
}

/// The path of the canary customers of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CanaryPath {
    path: RoutePath,
    fraction: f64,
}

/// The paths of a class: the regular one and that of canary customers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ClassPaths {
    path: RoutePath,
    canary: Option<CanaryPath>,
}

impl ClassPaths {
    fn of(table: &Table, route: &Route) -> ClassPaths {
        let order = table.order_or_first(route.pool);
        let canary = route.canary.map(|canary| {
            let others = order.iter().copied().filter(|pool| *pool != canary.pool);
            // For a canary customer, the regular pool also belongs to the route and is not a fallback.
            let path = RoutePath::new(std::iter::once(canary.pool).chain(others), 2);
            CanaryPath {
                path,
                fraction: canary.fraction,
            }
        });
        ClassPaths {
            path: RoutePath::new(order.iter().copied(), 1),
            canary,
        }
    }
}

/// The paths of all classes of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutePaths(Vec<ClassPaths>);

impl RoutePaths {
    /// Computes the paths of all classes of a table.
    pub fn of(table: &Table) -> RoutePaths {
        let classes = table.routes.iter().map(|route| match route {
            Some(route) => ClassPaths::of(table, route),
            None => ClassPaths::default(),
        });
        RoutePaths(classes.collect())
    }

    /// The path of requests of a class from a customer. It is empty if the class has no route.
    pub fn path(&self, class: usize, customer: u64) -> RoutePath {
        let Some(paths) = self.0.get(class) else {
            return RoutePath::default();
        };
        match paths.canary {
            Some(canary) if is_sampled(class as u64, customer, canary.fraction) => canary.path,
            _ => paths.path,
        }
    }
}
