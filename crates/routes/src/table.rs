//! The pools and routes of an application.

use crate::selector::{NodeLabels, Selector};
use std::collections::BTreeSet;

/// The most pools of a table: a set of them is a word of bits.
pub const MAX_POOLS: usize = 64;

/// A pool, by its place in [`Table::pools`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolId(pub u8);

impl PoolId {
    /// The set of this pool alone.
    pub fn bit(self) -> u64 {
        1 << (self.0 as usize % MAX_POOLS)
    }
}

/// A pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Its nodes.
    pub selector: Selector,
    /// The pool to go to where this one has no node that takes work.
    pub fallback: Option<PoolId>,
}

/// A canary: some customers go to another pool first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Canary {
    /// Where to.
    pub pool: PoolId,
    /// The fraction of customers, from 0 to 1.
    pub fraction: f64,
}

/// Where a class goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// The first pool.
    pub pool: PoolId,
    /// A canary.
    pub canary: Option<Canary>,
}

/// Why a table can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// More than [`MAX_POOLS`].
    #[error("more than {MAX_POOLS} pools")]
    TooManyPools,
    /// A pool that does not exist, named by a route or a fallback.
    #[error("pool {} does not exist", .0.0)]
    UnknownPool(PoolId),
    /// Pools that fall back on each other in a cycle, in that order.
    #[error("pools fall back on each other in a cycle: {0:?}")]
    FallbackCycle(Vec<PoolId>),
}

/// The pools and routes of an application.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The pools.
    pub pools: Vec<Pool>,
    /// By class; none where a class may go to any node.
    pub routes: Vec<Option<Route>>,
}

/// Whether a customer of a class belongs to such a fraction of them: always the same for the same pair. The pair is hashed by
/// SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014).
pub(crate) fn is_sampled(class: u64, customer: u64, fraction: f64) -> bool {
    let mut z = customer.wrapping_add((class + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let sample = ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64;
    sample < fraction
}

impl Table {
    /// The pools from one on, in the order of falling back.
    ///
    /// # Errors
    ///
    /// Where the order never ends or leads nowhere.
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

    /// Why the table can't be used, each reason once.
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
        for n in 0..self.pools.len() {
            match self.fallback_order(PoolId(n as u8)) {
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

    /// The set of the pools that a node is of.
    pub fn pools_of(&self, node: &NodeLabels) -> u64 {
        let pools = (0u8..).zip(self.pools.iter().take(MAX_POOLS));
        pools
            .filter(|(_, pool)| pool.selector.matches(node))
            .fold(0, |set, (n, _)| set | PoolId(n).bit())
    }

    fn route(&self, class: usize) -> Option<Route> {
        self.routes.get(class).copied().flatten()
    }

    /// Whether a customer takes part in a class's canary. It always does or never: what a customer requests again goes to the
    /// pool that may have done it already.
    pub fn is_canary_customer(&self, class: usize, customer: u64) -> bool {
        let canary = self.route(class).and_then(|route| route.canary);
        canary.is_some_and(|canary| is_sampled(class as u64, customer, canary.fraction))
    }

    /// The sets of pools that a customer's request of a class may go to, best first; none where any node will do. A canary
    /// falls back on the pools that others go to.
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

    /// The order of falling back, or the first pool alone where that is not valid.
    pub(crate) fn order_or_first(&self, first: PoolId) -> Vec<PoolId> {
        self.fallback_order(first).unwrap_or_else(|_| vec![first])
    }
}

/// The pools that a route names.
fn pools_of_route(route: &Route) -> impl Iterator<Item = PoolId> {
    let canary = route.canary.map(|canary| canary.pool);
    std::iter::once(route.pool).chain(canary)
}
