//! Dispatch: sends queued requests while there is capacity, and chooses a backend for each attempt.

use super::Gateway;
use crate::action::Action;
use crate::hedging::first_check_at;
use crate::ids::{BackendId, RequestId};
use crate::load_balancing::Choice;
use crate::requests::{Attempt, PoolSelection};
use crate::slow_start::{warm_up_factor, SendContext};

impl Gateway {
    /// Sends the queued requests of each pool in order while there is capacity.
    pub(super) fn dispatch_queues(&mut self, actions: &mut Vec<Action>) {
        for pool in 0..self.pools.len() {
            while let Some(id) = self.pools.get(pool).queue_head() {
                let queued = self.requests.get(id);
                let ready = queued.is_some_and(|r| !r.is_done() && r.in_flight() == 0);
                if ready && !self.send_to_best_pool(id, actions) {
                    break;
                }
                self.pools.get_mut(pool).dequeue();
            }
        }
    }

    /// Sends a request through its most preferred pool that has capacity and a backend for it.
    /// Returns whether the request was sent.
    fn send_to_best_pool(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let candidates = self
            .pools
            .with_capacity(pending, self.gateway_count, self.now());
        let mut pools = candidates.into_iter().flatten();
        pools.any(|pool| self.send(id, pool, actions))
    }

    /// Chooses a backend of a pool for a request's next attempt; `None` if no backend may take it
    /// now.
    fn choose_backend(&mut self, id: RequestId, selection: PoolSelection) -> Option<BackendId> {
        self.choice_seed = self.choice_seed.wrapping_add(1);
        let now = self.now();
        let request = self.requests.get(id)?;
        if now.saturating_add(self.settings.tick) >= request.start_by() {
            return None;
        }
        let pool = self.pools.get(selection.pool);
        let binding = request.key_binding();
        let choice = Choice {
            backends: &self.backends,
            zones: &self.zones,
            slow_start: &self.slow_start,
            sends: SendContext {
                rules: &self.settings.rules,
                rate: &self.send_rate,
                gateway: self.settings.gateway_id,
                gateway_count: self.gateway_count,
                ready_weight: self.pools.get(0).weight(),
                pool_fraction: pool.usable_fraction(selection.fallback, self.gateway_count, now),
                bound_by_key: binding.is_some(),
                now,
            },
            backend_indices: pool.backend_indices(),
            pool_weight: pool.weight(),
            request,
            binding,
            seed: self.choice_seed,
            zone: self.settings.zone,
        };
        choice.pick()
    }

    /// Sends a request's next attempt through a pool. Returns false if no backend of the pool may
    /// take it now.
    pub(super) fn send(&mut self, id: RequestId, pool: usize, actions: &mut Vec<Action>) -> bool {
        let now = self.now();
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let fallback = self.pools.is_fallback(pending.request(), pool);
        let selection = PoolSelection { pool, fallback };
        let Some(chosen) = self.choose_backend(id, selection) else {
            return false;
        };
        let Some(pending) = self.requests.get_mut(id) else {
            return false;
        };
        if pending.attempts().is_empty() {
            self.retry_budget.refill();
        }
        if let Some(customer) = self.customers.get_mut(pending.request().customer) {
            customer.quota.note_sent();
        }
        let check_at = first_check_at(now, pending.useful_time());
        let start_by = pending.start_by();
        self.pools.get_mut(pool).note_sent(fallback, now);
        self.send_rate.note(now);
        if let Some(backend) = self.backends.get_mut(chosen) {
            pending.push_attempt(Attempt::new(*backend.endpoint(), selection, now));
            backend.note_sent();
            self.slow_start
                .note_sent(&self.settings.rules, backend, now);
        }
        self.requests.schedule_check(check_at, id);
        actions.push(Action::Send {
            id,
            backend: chosen,
            expires_at: 0,
            start_by,
        });
        true
    }

    /// Recomputes the weight of the backends warming up and the capacity of each pool. This is not
    /// done at every wake-up, since it visits all backends.
    pub(super) fn update_capacity(&mut self) {
        let now = self.now();
        let rules = &self.settings.rules;
        let backends = &self.backends;
        self.slow_start.count(rules, backends, now);
        let capacity = |index: &usize| {
            let backend = backends.at(*index);
            let warm_up = warm_up_factor(rules, backend, now).unwrap_or(1.0);
            warm_up.min(1.0 / backend.relative_latency()).min(1.0)
        };
        for pool in self.pools.iter_mut() {
            let sum = pool.backend_indices().iter().map(capacity).sum();
            pool.set_capacity(sum);
        }
    }
}
