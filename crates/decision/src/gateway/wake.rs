//! Periodic work: checks of requests, maximum waits in queues, load shedding, gossip, discovery
//! polls, and removal of old state.

use super::Gateway;
use crate::action::{Action, LogEvent};
use crate::customers::CUSTOMER_IDLE_TIME;
use crate::ids::{Micros, RequestId};
use crate::numeric::SECOND;
use crate::queueing;
use crate::settings::DiscoveryMode;

/// Time between two recomputations of the pools' capacity, in microseconds.
const CAPACITY_UPDATE_INTERVAL: Micros = 100_000;
/// Number of polls of discovery per maximum poll interval.
const POLLS_PER_INTERVAL: u64 = 2;

impl Gateway {
    /// Resumes after a stall. Unsent requests whose time has run out are answered at once.
    pub(super) fn resume_after_stall(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let nominal_wake_interval = self.nominal_wake_interval();
        let expired = self.requests.iter().filter(|r| {
            let deadline = r.request().deadline;
            r.attempts().is_empty() && !queueing::may_wait(deadline, nominal_wake_interval, now)
        });
        let expired: Vec<RequestId> = expired.map(|r| r.request().id).collect();
        for id in expired {
            self.end_unserved(id, actions);
        }
        self.clock.stall_ended_at = now;
        self.set_wake_up(now, actions);
    }

    pub(super) fn on_wake(&mut self, actions: &mut Vec<Action>) {
        let now = self.now();
        while let Some(id) = self.requests.next_due(now) {
            self.check_request(id, actions);
        }
        for pool in 0..self.pools.len() {
            for id in self.pools.get_mut(pool).take_queue() {
                if !self.give_up_if_late(id, actions) {
                    self.pools.get_mut(pool).enqueue(id);
                }
            }
        }
        if now >= self.slow_start.counted_at() + CAPACITY_UPDATE_INTERVAL {
            self.update_capacity();
        }
        (0..self.pools.len()).for_each(|pool| self.step_load_shedding(pool, actions));
        self.dispatch_queues(actions);
        for peer in self.peers.ready(now) {
            self.send_reports(peer, actions);
        }
        self.sweep_customers(actions);
        self.poll_discovery(actions);
    }

    /// Updates a pool's load-shedding level and concurrency limit.
    fn step_load_shedding(&mut self, pool: usize, actions: &mut Vec<Action>) {
        let now = self.now();
        let level_change = self.pools.get_mut(pool).step(self.gateway_count, now);
        if let Some(change) = level_change {
            actions.push(Action::Log(LogEvent::LoadSheddingLevelChanged {
                pool,
                from: change.level.from,
                to: change.level.to,
                pressure: change.pressure,
                limit: change.limit,
                in_flight: change.in_flight,
            }));
        }
    }

    fn poll_discovery(&mut self, actions: &mut Vec<Action>) {
        let now = self.now();
        if self.settings.discovery == DiscoveryMode::Poll && now >= self.next_poll_at {
            let interval = self.settings.rules.max_poll_interval / POLLS_PER_INTERVAL;
            self.next_poll_at = now + interval.max(1);
            actions.push(Action::WatchEndpoints(true));
        }
    }

    /// Once a second, queues reports to second owners, reports customers with attempts in flight
    /// again, and removes old state.
    fn sweep_customers(&mut self, actions: &mut Vec<Action>) {
        let now = self.now();
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + SECOND;
        let mut in_flight = Vec::new();
        let this_gateway = self.id();
        let pair_owns = !self.every_gateway_owns();
        let mirror_to_second = pair_owns && self.settings.limits.peers;
        let report_life = pair_owns.then_some(2 * CUSTOMER_IDLE_TIME);
        let plans = &self.settings.plans;
        let peers = &mut self.peers;
        self.customers.retain(|id, c| {
            let plan = &plans[c.plan()];
            let [first, second] = c.owners.pair();
            let is_first = first == this_gateway && second != this_gateway;
            if mirror_to_second && is_first && c.seen_recently(now) {
                peers.put_report_if_absent(second, id);
            }
            if plan.max_in_flight > 0 && c.owners.is_owner() {
                c.quota.expire_in_flight(now);
            }
            if plan.max_in_flight > 0 && c.quota.in_flight() > 0 {
                in_flight.push(id);
            }
            // Reports do not expire in a small deployment: their totals are cumulative, and once a
            // total is forgotten, the next report from that gateway would count entirely as new
            // usage.
            c.quota.expire_reports(now, report_life);
            c.is_active(now, plan)
        });
        for id in in_flight {
            self.report(id, false, actions);
        }
    }
}
