//! Routing: which of a request's pools it goes to, and when it falls back.
//!
//! A request lists its pools in order of preference: first its own pools, then those it may fall
//! back on. A request that lists none may go to every backend, which is pool 0. Requests beyond a
//! pool's limit go to the next pool as long as that has spare capacity.

use super::recovery::Candidate;
use super::Pools;
use crate::event::{Endpoint, Request};
use crate::ids::Micros;
use crate::numeric::unit_hash;
use crate::requests::PendingRequest;
use crate::settings::{Idempotency, MAX_ROUTE_POOLS};

/// Hash seeds that make the random numbers of customers and of requests independent of each other
/// and of other uses of the same ids.
const CUSTOMER_SEED: u64 = 0x5EED;
const REQUEST_SEED: u64 = 0x7121;

/// A request's pools in order of preference.
struct Route {
    pools: [u8; MAX_ROUTE_POOLS],
    len: usize,
    /// The number of the request's own pools; the pools after these are for fallback.
    own_count: usize,
}

impl Route {
    fn pool(&self, position: usize) -> usize {
        usize::from(self.pools[position])
    }
}

impl Pools {
    fn route(&self, request: &Request) -> Route {
        let listed = request.route.iter();
        let known = listed
            .take_while(|p| **p != 0 && usize::from(**p) < self.by_number.len())
            .count();
        // A request without a route has one pool, the pool of all backends.
        let len = known.max(1);
        Route {
            pools: request.route,
            len,
            own_count: usize::from(request.own_pools).clamp(1, len),
        }
    }

    /// Position of the first of a request's pools that accepts it, regardless of capacity; 0 if
    /// none does.
    fn best_position(&self, route: &Route, pending: &PendingRequest, now: Micros) -> usize {
        if route.len == 1 {
            return 0;
        }
        let request = pending.request();
        let candidate = Candidate {
            recovery_position: unit_hash(request.customer.0 ^ CUSTOMER_SEED),
            probe_draw: unit_hash(request.id.0 ^ REQUEST_SEED),
            not_idempotent: pending.class().idempotency == Idempotency::NotIdempotent,
        };
        let admits = |position: &usize| {
            let pool = &self.by_number[route.pool(*position)];
            !pool.members.backend_indices.is_empty() && pool.recovery.admits(&candidate, now)
        };
        (0..route.len).find(admits).unwrap_or(0)
    }

    /// The pool that a request would use now, regardless of capacity. Its load-shedding level
    /// decides whether the request is admitted.
    pub(crate) fn best_for(&self, pending: &PendingRequest, now: Micros) -> usize {
        let route = self.route(pending.request());
        route.pool(self.best_position(&route, pending, now))
    }

    /// The pool in whose queue a request waits. It is always one of the request's own: in another
    /// pool's queue it would delay that pool's own requests.
    pub(crate) fn queue_for(&self, pending: &PendingRequest, now: Micros) -> usize {
        let route = self.route(pending.request());
        let best = self.best_position(&route, pending, now);
        route.pool(if best < route.own_count { best } else { 0 })
    }

    /// The pools that have capacity for a request now, best first: own pools within their limits,
    /// later pools with spare capacity.
    pub(crate) fn with_capacity(
        &self,
        pending: &PendingRequest,
        gateways: u64,
        now: Micros,
    ) -> [Option<usize>; MAX_ROUTE_POOLS] {
        let route = self.route(pending.request());
        let best = self.best_position(&route, pending, now);
        let mut pools = [None; MAX_ROUTE_POOLS];
        for (position, slot) in pools.iter_mut().enumerate().take(route.len).skip(best) {
            let number = route.pool(position);
            let pool = &self.by_number[number];
            let has_room = if position < route.own_count {
                let usable = position == best || !pool.recovery.is_failing();
                usable && pool.has_capacity(gateways)
            } else {
                pool.has_spare_capacity(gateways, now)
            };
            *slot = has_room.then_some(number);
        }
        pools
    }

    /// Whether a request that uses `pool` is fallback traffic there.
    pub(crate) fn is_fallback(&self, request: &Request, pool: usize) -> bool {
        let route = self.route(request);
        let own = &route.pools[..route.own_count];
        route.own_count < route.len && own.iter().all(|p| usize::from(*p) != pool)
    }

    /// Numbers of the pools that an endpoint belongs to.
    pub(crate) fn of_endpoint(&self, endpoint: &Endpoint) -> Vec<usize> {
        let all = 0..self.by_number.len();
        all.filter(|pool| is_in_pool(endpoint, *pool)).collect()
    }
}

/// Whether an endpoint belongs to a pool; pool 0 contains all endpoints.
pub(crate) fn is_in_pool(endpoint: &Endpoint, pool: usize) -> bool {
    pool == 0 || endpoint.pools & 1 << (pool - 1) != 0
}
