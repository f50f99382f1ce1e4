//! Routing: which of a request's pools it goes to, and when it falls back.
//!
//! A request has its pools in order, best first, the first of them its own; without any it may go
//! to every backend, which is pool 0. A pool that is at its limit sends what is beyond it on, as
//! far as the next one has room to spare.

use super::recovery::Candidate;
use super::Pools;
use crate::event::{Endpoint, Request};
use crate::ids::Micros;
use crate::numeric::unit_hash;
use crate::requests::PendingRequest;
use crate::settings::{Idempotency, MAX_ROUTE_POOLS};

/// Seeds that keep the draws of customers and of requests apart from others'.
const CUSTOMER_SEED: u64 = 0x5EED;
const REQUEST_SEED: u64 = 0x7121;

/// The pools of a request in their order.
struct Route {
    pools: [u8; MAX_ROUTE_POOLS],
    len: usize,
    /// How many of them are its own: what it falls back on comes behind these.
    own: usize,
}

impl Route {
    fn pool(&self, position: usize) -> usize {
        usize::from(self.pools[position])
    }
}

impl Pools {
    fn route(&self, request: &Request) -> Route {
        let named = request.route.iter();
        let known = named
            .take_while(|p| **p != 0 && usize::from(**p) < self.by_number.len())
            .count();
        // A request without a route has one pool, that of all backends.
        let len = known.max(1);
        Route {
            pools: request.route,
            len,
            own: usize::from(request.own_pools).clamp(1, len),
        }
    }

    /// The position of the first of a request's pools that takes it at all; where none does, the
    /// first.
    fn best_position(&self, route: &Route, pending: &PendingRequest, now: Micros) -> usize {
        if route.len == 1 {
            return 0;
        }
        let request = pending.request();
        let candidate = Candidate {
            customer: unit_hash(request.customer.0 ^ CUSTOMER_SEED),
            draw: unit_hash(request.id.0 ^ REQUEST_SEED),
            not_idempotent: pending.class().idempotency == Idempotency::NotIdempotent,
        };
        let admits = |position: &usize| {
            let pool = &self.by_number[route.pool(*position)];
            !pool.members.places.is_empty() && pool.recovery.admits(&candidate, now)
        };
        (0..route.len).find(admits).unwrap_or(0)
    }

    /// The pool that a request goes to if it goes at once: by its level it is admitted or not.
    pub(crate) fn best_for(&self, pending: &PendingRequest, now: Micros) -> usize {
        let route = self.route(pending.request());
        route.pool(self.best_position(&route, pending, now))
    }

    /// The pool in whose queue a request waits: one of its own, for in another's queue it would
    /// hold up that one's own.
    pub(crate) fn queue_for(&self, pending: &PendingRequest, now: Micros) -> usize {
        let route = self.route(pending.request());
        let best = self.best_position(&route, pending, now);
        route.pool(if best < route.own { best } else { 0 })
    }

    /// The pools that would take a request now, best first: its best one within its limit, those
    /// behind with room to spare.
    pub(crate) fn with_capacity(
        &self,
        pending: &PendingRequest,
        gateways: u64,
        now: Micros,
    ) -> [Option<usize>; MAX_ROUTE_POOLS] {
        let route = self.route(pending.request());
        let best = self.best_position(&route, pending, now);
        let mut found = [None; MAX_ROUTE_POOLS];
        for (position, slot) in found.iter_mut().enumerate().take(route.len).skip(best) {
            let number = route.pool(position);
            let pool = &self.by_number[number];
            let takes = if position < route.own {
                let usable = position == best || !pool.recovery.is_failing();
                usable && pool.has_capacity(gateways)
            } else {
                pool.has_spare_capacity(gateways, now)
            };
            *slot = takes.then_some(number);
        }
        found
    }

    /// Whether a request falls back on a pool.
    pub(crate) fn is_fallback(&self, request: &Request, pool: usize) -> bool {
        let route = self.route(request);
        let own = &route.pools[..route.own];
        route.own < route.len && own.iter().all(|p| usize::from(*p) != pool)
    }

    /// The pools that an endpoint is in.
    pub(crate) fn of_endpoint(&self, endpoint: &Endpoint) -> Vec<usize> {
        let all = 0..self.by_number.len();
        all.filter(|pool| is_in_pool(endpoint, *pool)).collect()
    }
}

/// Whether an endpoint is in a pool; pool 0 has all.
pub(crate) fn is_in_pool(endpoint: &Endpoint, pool: usize) -> bool {
    pool == 0 || endpoint.pools & 1 << (pool - 1) != 0
}
