//! Dispatch: queues are emptied as far as there is room, and attempts sent to the backends that are
//! chosen for them.

use super::Gateway;
use crate::action::Action;
use crate::hedging::first_check_at;
use crate::ids::{BackendId, RequestId};
use crate::load_balancing::Choice;
use crate::requests::{Attempt, PoolSelection};
use crate::slow_start::{warm_up_factor, SendContext};

impl Gateway {
    /// Sends what waits, in its order, as far as there is room.
    pub(super) fn dispatch_queues(&mut self, actions: &mut Vec<Action>) {
        for pool in 0..self.pools.len() {
            while let Some(id) = self.pools.get(pool).queue_head() {
                let waiting = self.requests.get(id);
                let ready = waiting.is_some_and(|r| !r.is_done() && r.in_flight() == 0);
                if ready && !self.place(id, actions) {
                    break;
                }
                self.pools.get_mut(pool).dequeue();
            }
        }
    }

    /// Sends a request through the best of its pools that has room and a backend for it; false if
    /// none has.
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let found = self
            .pools
            .with_capacity(pending, self.gateway_count, self.now());
        let mut pools = found.into_iter().flatten();
        pools.any(|pool| self.send(id, pool, actions))
    }

    /// The backend of a pool that takes a request's next attempt; none if none may take it now.
    fn choose(&mut self, id: RequestId, selection: PoolSelection) -> Option<BackendId> {
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

    /// Sends a request's next attempt through a pool; false if no backend of it may take it now.
    pub(super) fn send(&mut self, id: RequestId, pool: usize, actions: &mut Vec<Action>) -> bool {
        let now = self.now();
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let fallback = self.pools.is_fallback(pending.request(), pool);
        let selection = PoolSelection { pool, fallback };
        let Some(chosen) = self.choose(id, selection) else {
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
        self.requests.check_at(check_at, id);
        actions.push(Action::Send {
            id,
            backend: chosen,
            expires_at: 0,
            start_by,
        });
        true
    }

    /// Counts what the backends are worth; not at each wake-up, since it looks at all of them.
    pub(super) fn count_capacity(&mut self) {
        let now = self.now();
        let rules = &self.settings.rules;
        let backends = &self.backends;
        self.slow_start.count(rules, backends, now);
        let capacity = |place: &usize| {
            let backend = backends.at(*place);
            let warm_up = warm_up_factor(rules, backend, now).unwrap_or(1.0);
            warm_up.min(1.0 / backend.relative_latency()).min(1.0)
        };
        for pool in self.pools.iter_mut() {
            let sum = pool.backend_indices().iter().map(capacity).sum();
            pool.set_capacity(sum);
        }
    }
}
