//! What is done as time passes: checks of requests, queues that wait for too long, load shedding,
//! gossip, forgetting.

use super::Gateway;
use crate::action::{Action, LogEvent};
use crate::customers::CUSTOMER_IDLE_TIME;
use crate::ids::{Micros, RequestId};
use crate::numeric::SECOND;
use crate::queueing;
use crate::settings::DiscoveryMode;

/// How long a count of what the backends are worth stands, in microseconds (ours).
const CAPACITY_COUNT_LIFE: Micros = 100_000;
/// Discovery is polled this many times in the longest time that may pass between two polls (ours).
const POLLS_PER_INTERVAL: u64 = 2;

impl Gateway {
    /// Goes on after having stood still: what is past its time by now is answered in this very
    /// turn.
    pub(super) fn resume(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let wake_ticks = self.wake_ticks();
        let late = self.requests.iter().filter(|r| {
            let deadline = r.request().deadline;
            r.attempts().is_empty() && !queueing::may_wait(deadline, wake_ticks, now)
        });
        let late: Vec<RequestId> = late.map(|r| r.request().id).collect();
        for id in late {
            self.end_unserved(id, actions);
        }
        self.clock.resumed_at = now;
        self.set_wake_up(now, actions);
    }

    pub(super) fn on_wake(&mut self, actions: &mut Vec<Action>) {
        let now = self.now();
        while let Some(id) = self.requests.next_due(now) {
            self.check(id, actions);
        }
        for pool in 0..self.pools.len() {
            for id in self.pools.get_mut(pool).take_queue() {
                if !self.give_up_if_late(id, actions) {
                    self.pools.get_mut(pool).enqueue(id);
                }
            }
        }
        if now >= self.slow_start.counted_at() + CAPACITY_COUNT_LIFE {
            self.count_capacity();
        }
        (0..self.pools.len()).for_each(|pool| self.step_load_shedding(pool, actions));
        self.dispatch_queues(actions);
        for peer in self.peers.ready(now) {
            self.flush(peer, actions);
        }
        self.sweep(actions);
        self.poll_discovery(actions);
    }

    /// Moves a pool's load-shedding level and its limit.
    fn step_load_shedding(&mut self, pool: usize, actions: &mut Vec<Action>) {
        let now = self.now();
        let step = self.pools.get_mut(pool).step(self.gateway_count, now);
        if let Some(change) = step {
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
        if self.settings.discovery == DiscoveryMode::Poll && now >= self.poll_at {
            let interval = self.settings.rules.max_poll_interval / POLLS_PER_INTERVAL;
            self.poll_at = now + interval.max(1);
            actions.push(Action::WatchEndpoints(true));
        }
    }

    /// What is done once a second: what is long in flight is reported again, what is old is
    /// forgotten.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now();
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SECOND;
        let mut in_flight = Vec::new();
        let this_gateway = self.id();
        let large = !self.every_gateway_owns();
        let mirrors = large && self.settings.limits.peers;
        let report_life = large.then_some(2 * CUSTOMER_IDLE_TIME);
        let plans = &self.settings.plans;
        let peers = &mut self.peers;
        self.customers.retain(|id, c| {
            let plan = &plans[c.plan()];
            let [first, second] = c.owners.pair();
            let is_first = first == this_gateway && second != this_gateway;
            if mirrors && is_first && c.seen_recently(now) {
                peers.put_report_if_absent(second, id);
            }
            if plan.max_in_flight > 0 && c.owners.is_owner() {
                c.quota.expire_in_flight(now);
            }
            if plan.max_in_flight > 0 && c.quota.in_flight() > 0 {
                in_flight.push(id);
            }
            // Counts of a small deployment go on: once forgotten, all that one admitted would pass
            // for new.
            c.quota.expire_reports(now, report_life);
            c.is_active(now, plan)
        });
        for id in in_flight {
            self.report(id, false, actions);
        }
    }
}
