//! The pools and routes of an application.

use crate::selector::{NodeLabels, Selector};
use std::collections::BTreeSet;

/// Maximum number of pools of a table. A set of pools is a bit mask in a `u64`.
pub const MAX_POOLS: usize = 64;

/// Index of a pool in [`Table::pools`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolId(pub u8);

impl PoolId {
    /// Bit mask that contains only this pool.
    pub fn bit(self) -> u64 {
        1 << (self.0 as usize % MAX_POOLS)
    }
}

/// A pool of nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Selects the nodes of the pool.
    pub selector: Selector,
    /// The pool used when no node of this pool can take a request.
    pub fallback: Option<PoolId>,
}

/// A canary: a fraction of the customers is sent to another pool first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Canary {
    /// The canary pool.
    pub pool: PoolId,
    /// Fraction of the customers that are sent to the canary pool, from 0 to 1.
    pub fraction: f64,
}

/// The route of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// The pool that requests go to first, except those of canary customers.
    pub pool: PoolId,
    /// The canary, if there is one.
    pub canary: Option<Canary>,
}

/// An error in a table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The table has more than [`MAX_POOLS`] pools.
    #[error("more than {MAX_POOLS} pools")]
    TooManyPools,
    /// A route or a fallback refers to a pool that does not exist.
    #[error("pool {} does not exist", .0.0)]
    UnknownPool(PoolId),
    /// The fallbacks of these pools form a cycle, in this order.
    #[error("pools fall back on each other in a cycle: {0:?}")]
    FallbackCycle(Vec<PoolId>),
}

/// The pools and routes of an application.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The pools. [`PoolId`] is the index in this list.
    pub pools: Vec<Pool>,
    /// Routes by class index. A class without a route may go to any node.
    pub routes: Vec<Option<Route>>,
}

/// Whether a customer is in the sample of a class that contains `fraction` of all customers. The result is always the same for the
/// same class, customer and fraction. The class and the customer are hashed with SplitMix64 (Steele, Lea and Flood, "Fast
/// Splittable Pseudorandom Number Generators", OOPSLA 2014).
pub(crate) fn is_sampled(class: u64, customer: u64, fraction: f64) -> bool {
    let mut hash = customer.wrapping_add((class + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let sample = ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64;
    sample < fraction
}

impl Table {
    /// The pools starting with `first`, each followed by its fallback.
    ///
    /// # Errors
    ///
    /// If the fallbacks form a cycle or refer to a pool that does not exist.
    pub fn fallback_order(&self, first: PoolId) -> Result<Vec<PoolId>, TableError> {
        let mut order = vec![first];
        let mut current = first;
        loop {
            let pool = self
                .pools
                .get(usize::from(current.0))
                .ok_or(TableError::UnknownPool(current))?;
            let Some(next) = pool.fallback else {
                return Ok(order);
            };
            if let Some(start) = order.iter().position(|pool| *pool == next) {
                return Err(TableError::FallbackCycle(order.split_off(start)));
            }
            order.push(next);
            current = next;
        }
    }

    /// All errors of the table, each once. Empty if the table is valid.
    pub fn errors(&self) -> Vec<TableError> {
        if self.pools.len() > MAX_POOLS {
            return vec![TableError::TooManyPools];
        }
        let mut errors = self.fallback_errors();
        for pool in self.routes.iter().flatten().flat_map(pools_of_route) {
            let error = TableError::UnknownPool(pool);
            if usize::from(pool.0) >= self.pools.len() && !errors.contains(&error) {
                errors.push(error);
            }
        }
        errors
    }

    fn fallback_errors(&self) -> Vec<TableError> {
        let mut errors = Vec::new();
        let mut in_cycles = BTreeSet::new();
        for index in 0..self.pools.len() {
            match self.fallback_order(PoolId(index as u8)) {
                Err(TableError::FallbackCycle(pools))
                    if !pools.iter().any(|pool| in_cycles.contains(pool)) =>
                {
                    in_cycles.extend(pools.iter().copied());
                    errors.push(TableError::FallbackCycle(pools));
                }
                Err(error @ TableError::UnknownPool(_)) if !errors.contains(&error) => {
                    errors.push(error);
                }
                _ => {}
            }
        }
        errors
    }

    /// Bit mask of the pools that a node belongs to.
    pub fn pools_of(&self, node: &NodeLabels) -> u64 {
        let pools = (0u8..).zip(self.pools.iter().take(MAX_POOLS));
        pools
            .filter(|(_, pool)| pool.selector.matches(node))
            .fold(0, |set, (index, _)| set | PoolId(index).bit())
    }

    fn route(&self, class: usize) -> Option<Route> {
        self.routes.get(class).copied().flatten()
    }

    /// Whether a customer is a canary customer of a class. The result never changes for a customer, so that a repeated request
    /// goes to the pool that may already have run it.
    pub fn is_canary_customer(&self, class: usize, customer: u64) -> bool {
        let canary = self.route(class).and_then(|route| route.canary);
        canary.is_some_and(|canary| is_sampled(class as u64, customer, canary.fraction))
    }

    /// Bit masks of the pools that requests of a class from a customer may go to, in order of preference. `None` if the class
    /// has no route and may go to any node. Canary customers fall back to the pools of the other customers.
    pub fn tiers(&self, class: usize, customer: u64) -> Option<Vec<u64>> {
        let route = self.route(class)?;
        let canary = route
            .canary
            .filter(|_| self.is_canary_customer(class, customer))
            .map(|canary| canary.pool);
        let order = self.order_or_first(route.pool);
        let others = order.into_iter().filter(|pool| Some(*pool) != canary);
        Some(canary.into_iter().chain(others).map(PoolId::bit).collect())
    }

    /// The fallback order of a pool, or the pool alone if its fallbacks are invalid.
    pub(crate) fn order_or_first(&self, first: PoolId) -> Vec<PoolId> {
        self.fallback_order(first).unwrap_or_else(|_| vec![first])
    }
}

/// The pools that a route refers to, including its canary pool.
fn pools_of_route(route: &Route) -> impl Iterator<Item = PoolId> {
    let canary = route.canary.map(|canary| canary.pool);
    std::iter::once(route.pool).chain(canary)
}
