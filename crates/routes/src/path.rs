//! All paths of requests, made once of a table: a request's path is found without a walk over the table.

use crate::table::{is_sampled, PoolId, Route, Table};

/// The most pools that a request may go to one after the other.
pub const MAX_TIERS: usize = 4;

/// The pools that a request may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoutePath {
    /// Pools by number from 1, best first; 0 ends them.
    pub tiers: [u8; MAX_TIERS],
    /// How many of them are its own, rather than what it falls back on.
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

/// The path of a class's canary.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CanaryPath {
    path: RoutePath,
    fraction: f64,
}

/// The paths of a class.
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
            // A canary customer has the pool that others have as a second one of its own.
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

/// The paths of all classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutePaths(Vec<ClassPaths>);

impl RoutePaths {
    /// The paths of a table.
    pub fn of(table: &Table) -> RoutePaths {
        let classes = table.routes.iter().map(|route| match route {
            Some(route) => ClassPaths::of(table, route),
            None => ClassPaths::default(),
        });
        RoutePaths(classes.collect())
    }

    /// The path of a customer's request of a class.
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
