//! Admission: whether an arriving request is sent, queued, held for its quota owners, or rejected.
//! The decision depends on the customer's quota and ceiling, the pool's load-shedding level, and
//! the capacity of the request's pools.

use super::Gateway;
use crate::action::Action;
use crate::customers::owner_query::{MAX_UPDATE_AGE, MAX_UPDATE_AGE_FOR_REJECTION};
use crate::customers::owners::Span;
use crate::customers::quota::QuotaAccount;
use crate::customers::Customer;
use crate::event::Request;
use crate::ids::{CustomerId, Micros, RequestId};
use crate::load_shedding::{customer_draw, level_admits, RAISE_AFTER};
use crate::numeric::MICROS_PER_SECOND;
use crate::queueing::{self, MIN_ANSWER_TIMES_LEFT};
use crate::requests::PendingRequest;

/// Time beyond the report period for which a peer's usage may be unreported, in microseconds. It
/// covers lost messages and variation in timing.
const UNREPORTED_MARGIN: Micros = 350_000;
/// Advises the longest wait that the settings permit, to which [`Gateway::reject`] reduces the
/// value.
const MAX_RETRY_ADVICE: Micros = Micros::MAX;

/// Seconds until the quota and the ceiling may have room for a request; `None` if they have room
/// now.
struct RoomWait {
    quota: Option<f64>,
    ceiling: Option<f64>,
}

impl RoomWait {
    /// Seconds until both may have room; `None` if both have room now.
    fn longest(&self) -> Option<f64> {
        let both = self.quota.into_iter().chain(self.ceiling);
        both.reduce(f64::max)
    }
}

/// Capacity available to a request in its pools.
struct PoolRoom {
    /// Number of the pool in whose queue the request would wait.
    queue: usize,
    /// Maximum wait in that queue, in microseconds.
    max_wait: f64,
    /// No slot is free, and the queue accepts no further requests of this customer.
    full: bool,
}

impl Gateway {
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return; // duplicate: the answer belongs to the first copy
        }
        if !self.is_servable(&request) {
            return self.reject(request.id, 0, actions);
        }
        if !self.customers.has_room_for(request.customer) {
            return self.reject(request.id, MAX_RETRY_ADVICE, actions);
        }
        let new_customer = self.register_customer(&request);
        let class = self.settings.classes[usize::from(request.class)];
        let now = self.now();
        let pending = PendingRequest::new(request, class, self.settings.limits.max_attempts, now);
        let level = self.pools.get(self.pools.best_for(&pending, now)).level();
        let plans = &self.settings.plans;
        let plan = usize::from(request.plan);
        if !level_admits(level, plans, plan, request.customer, new_customer, now) {
            return self.reject(request.id, MAX_RETRY_ADVICE, actions);
        }
        let room_wait = self.wait_for_room(&request);
        let ceiling_short = room_wait.ceiling.is_some();
        let ask_for_ceiling =
            ceiling_short && room_wait.quota.is_none() && self.may_grant(&request);
        let decided = !self.may_wait(&request, now)
            || (self.is_room_known(&request, &room_wait) && !ask_for_ceiling);
        self.requests.insert(pending);
        if decided {
            self.admit(request.id, true, actions);
        } else {
            self.ask_owners(&request, ceiling_short, ask_for_ceiling, actions);
        }
    }

    /// Whether a request is valid and has enough time left to be held, watched, or served. With
    /// less than two wake-ups left, a request is rejected at once.
    fn is_servable(&self, request: &Request) -> bool {
        let known = usize::from(request.class) < self.settings.classes.len()
            && usize::from(request.plan) < self.settings.plans.len();
        let valid_units = request.units.is_finite() && request.units >= 0.0;
        known && valid_units && self.may_wait(request, self.now())
    }

    /// Whether at least two wake-ups remain between `now` and the deadline of a request.
    pub(super) fn may_wait(&self, request: &Request, now: Micros) -> bool {
        queueing::may_wait(request.deadline, self.nominal_wake_interval(), now)
    }

    /// Whether this gateway's view of a customer's room is recent enough to decide. A rejection may
    /// rely on an older update than an admission; otherwise every retry of a rejected customer
    /// would cause another query.
    fn is_room_known(&self, request: &Request, room_wait: &RoomWait) -> bool {
        let Some(customer) = self.customers.get(request.customer) else {
            return false;
        };
        let plan = &self.settings.plans[usize::from(request.plan)];
        let rejected = room_wait.quota.is_some() && plan.max_in_flight == 0;
        let fresh = if rejected {
            MAX_UPDATE_AGE_FOR_REJECTION
        } else {
            MAX_UPDATE_AGE
        };
        customer.query.update_age(self.now()) < fresh || self.lead_owner(customer) == self.id()
    }

    /// Whether another gateway may grant ceiling units to this one.
    fn may_grant(&self, request: &Request) -> bool {
        let customer = self.customers.get(request.customer);
        customer.is_some_and(|c| c.owners.pair() != [self.id(); 2])
    }

    /// Admits a request, or rejects it if its token buckets or pools lack room. While a bucket
    /// lacks room, a held request stays held until `owners_done` is true, meaning that no further
    /// answer of its quota owners is expected.
    pub(super) fn admit(&mut self, id: RequestId, owners_done: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        let held = pending.awaits_owner();
        pending.set_awaiting_owner(false);
        let request = *pending.request();
        let room_wait = self.wait_for_room(&request);
        let Some(room) = self.pool_room(id) else {
            return;
        };
        if room_wait.longest().is_some() {
            let for_ceiling = self.waits_for_ceiling(id, &room_wait, room.max_wait);
            if !owners_done || for_ceiling {
                return self.keep_held(id, held || for_ceiling, owners_done);
            }
        }
        let rejected = room_wait.longest().is_some() || room.full;
        if rejected {
            return self.reject_for_room(&request, &room_wait, room.queue, held, actions);
        }
        self.accept(&request, room.queue, held, actions);
    }

    /// Capacity in a request's pools. The fuller the queue, the fewer customers may join it. As
    /// with the load-shedding level, the same customers are excluded for a whole epoch.
    fn pool_room(&self, id: RequestId) -> Option<PoolRoom> {
        let now = self.now();
        let pending = self.requests.get(id)?;
        let request = pending.request();
        let queue = self.pools.queue_for(pending, now);
        let capacity = self.pools.with_capacity(pending, self.gateway_count, now);
        let max_wait = self.max_wait(pending).max(1.0);
        let pool = self.pools.get(queue);
        let queue_fill = queueing::queue_fill(
            pool.queue_length(),
            self.latency.mean(),
            pool.concurrency_limit(self.gateway_count),
            max_wait,
        );
        let no_slot = capacity.iter().all(Option::is_none);
        Some(PoolRoom {
            queue,
            max_wait,
            full: no_slot && customer_draw(request.customer, now) >= 1.0 - queue_fill,
        })
    }

    /// How long a request may wait for a slot, in microseconds.
    pub(super) fn max_wait(&self, pending: &PendingRequest) -> f64 {
        let class = usize::from(pending.request().class);
        queueing::max_wait(
            pending.class().latency_objective,
            self.latency.recent(class),
        )
    }

    /// Whether a request waits for its ceiling to refill. A ceiling refills faster than the quota
    /// below it, so a request that lacks only ceiling units waits for them as it would for a slot.
    fn waits_for_ceiling(&self, id: RequestId, room_wait: &RoomWait, max_wait: f64) -> bool {
        let next_query_at = self.now() + MAX_UPDATE_AGE;
        let only_ceiling = room_wait.quota.is_none() && room_wait.ceiling.is_some();
        let in_time = |pending: &PendingRequest| {
            next_query_at < pending.arrived_at() + max_wait as Micros
                && self.may_wait(pending.request(), next_query_at)
        };
        only_ceiling && self.requests.get(id).is_some_and(in_time)
    }

    /// Keeps a request held. If no further answer of its quota owners is expected, schedules
    /// another query to them.
    fn keep_held(&mut self, id: RequestId, held: bool, owners_done: bool) {
        let next_query_at = self.now() + MAX_UPDATE_AGE;
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        pending.set_awaiting_owner(held);
        if owners_done && pending.schedule_owner_query() {
            self.requests.schedule_check(next_query_at, id);
        }
    }

    /// Rejects a request whose customer has no room, or for which its pools have no capacity.
    fn reject_for_room(
        &mut self,
        request: &Request,
        room_wait: &RoomWait,
        queue: usize,
        held: bool,
        actions: &mut Vec<Action>,
    ) {
        if held {
            self.stop_holding(request.customer, request.id);
        }
        let room_wait = room_wait.longest();
        let retry_after = room_wait.map_or(MAX_RETRY_ADVICE, |seconds| {
            (seconds * MICROS_PER_SECOND) as Micros
        });
        let shedding = self.pools.get_mut(queue).shedding_mut();
        shedding.note_rejected(room_wait.is_none());
        self.requests.remove(request.id);
        self.reject(request.id, retry_after, actions);
        if held {
            self.report(request.customer, false, actions); // an owner may have counted the request
        }
    }

    /// Charges an admitted request and queues it; it is sent at once if there is capacity.
    fn accept(&mut self, request: &Request, queue: usize, held: bool, actions: &mut Vec<Action>) {
        self.pools.get_mut(queue).shedding_mut().note_admitted();
        self.charge(request, 1.0);
        if held {
            self.stop_holding(request.customer, request.id);
        }
        let every_gateway_owns = self.every_gateway_owns();
        let customer = self
            .customers
            .get_or_insert_with(request.customer, Customer::default);
        let ask = !held && !customer.owners.is_owner();
        if customer.query.pledged() >= request.units && !every_gateway_owns {
            customer.query.clear_pledge(); // the owner counted these units when it pledged them
        } else {
            self.report(request.customer, ask && every_gateway_owns, actions);
        }
        self.pools.get_mut(queue).enqueue(request.id);
        self.dispatch_queues(actions);
        self.give_up_if_late(request.id, actions);
    }

    /// Rejects a request with an advised wait of `retry_after` microseconds, capped by the
    /// settings. The rejection promises the client that trying again is harmless.
    pub(super) fn reject(&self, id: RequestId, retry_after: Micros, actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        let max_wait = if limits.retry_after {
            limits.max_retry_after
        } else {
            0
        };
        actions.push(Action::Reject {
            id,
            retry_after: retry_after.min(max_wait),
        });
    }

    /// Registers the customer of an arriving request. Returns true if the customer was not seen
    /// within the aging time.
    fn register_customer(&mut self, request: &Request) -> bool {
        let now = self.now();
        let plan = usize::from(request.plan);
        let (rate, burst) = {
            let plan = &self.settings.plans[plan];
            (plan.rate, plan.burst)
        };
        let gateways = self.settings.gateway_count.max(1) as f64;
        let valid_span =
            request.gateway_span.is_finite() && (0.0..gateways).contains(&request.first_gateway);
        let gateway_span = if valid_span {
            request.gateway_span.clamp(1.0, gateways)
        } else {
            gateways
        };
        let first_gateway = if valid_span {
            request.first_gateway.floor()
        } else {
            0.0
        };
        // For a customer that was not seen before, a gateway that is not a quota owner admits its
        // share of the burst, and at least one request.
        let tokens = (burst / gateway_span).max(request.units).min(burst);
        let others_rate = rate * (1.0 - 1.0 / gateway_span);
        let new_customer = || Customer::new(plan, QuotaAccount::new(tokens, others_rate, now));
        let customer = self
            .customers
            .get_or_insert_with(request.customer, new_customer);
        let unseen = customer.is_new(now);
        customer.set_plan(plan);
        customer.note_seen(now);
        let span = Span {
            first_gateway: first_gateway as u16,
            gateway_span: gateway_span as u16,
        };
        self.assign_owners(request.customer, span, burst);
        unseen
    }

    /// Refills a customer's token buckets up to the current time.
    pub(super) fn refill(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let now = self.now();
        let customer = self.customers.get_mut(id)?;
        customer.refill(now, &self.settings.plans[customer.plan()]);
        Some(customer)
    }

    /// How long it may take until the customer's quota and ceiling have room for a request.
    fn wait_for_room(&mut self, request: &Request) -> RoomWait {
        self.refill(request.customer);
        let unreported_span = self.unreported_span(request.customer);
        let class = usize::from(request.class);
        let Some(customer) = self.customers.get(request.customer) else {
            return RoomWait {
                quota: None,
                ceiling: None,
            };
        };
        let plan = &self.settings.plans[customer.plan()];
        let min_own_rate = customer.min_own_rate(plan);
        let units = request.units;
        let mut quota = customer
            .quota
            .wait_for_tokens(units, plan, unreported_span, min_own_rate);
        // Attempts that peers have likely started but not reported count for as long as they are
        // likely to be in flight.
        let max_unreported_micros = (self.report_period + UNREPORTED_MARGIN) as f64;
        let likely_duration =
            (MIN_ANSWER_TIMES_LEFT * self.latency.recent(class)).min(max_unreported_micros);
        let in_flight = customer.quota.estimated_in_flight(units, likely_duration);
        if plan.max_in_flight > 0 && in_flight >= plan.max_in_flight {
            let uncongested_s = self.latency.calm(class) / MICROS_PER_SECOND;
            quota = Some(quota.unwrap_or(0.0).max(uncongested_s));
        }
        RoomWait {
            quota,
            ceiling: customer.ceiling.wait_for_tokens(units, plan),
        }
    }

    /// Time for which other gateways' usage of a customer may be unknown here, in microseconds. In
    /// a small deployment, it covers the report period. In a larger one, it is 0 at the lead owner,
    /// which other gateways ask before they admit requests; elsewhere it runs from the last owner
    /// update, which was correct when it arrived.
    fn unreported_span(&self, id: CustomerId) -> Micros {
        if self.every_gateway_owns() {
            return self.report_period + UNREPORTED_MARGIN;
        }
        match self.customers.get(id) {
            // Before the first owner update, the usage of others is assumed to be known, so that
            // the customer's first request passes: most customers are far from their quotas.
            Some(customer)
                if self.lead_owner(customer) != self.id() && customer.query.has_update() =>
            {
                UNREPORTED_MARGIN.min(customer.query.update_age(self.now()))
            }
            _ => 0,
        }
    }

    /// Draws a request's units from the token buckets (`sign` 1), or returns them if the request
    /// was never sent (`sign` -1).
    pub(super) fn charge(&mut self, request: &Request, sign: f64) {
        if let Some(customer) = self.customers.get_mut(request.customer) {
            let plan = &self.settings.plans[customer.plan()];
            customer.draw(request.units * sign, plan);
        }
    }

    /// Ends a request that has waited for a slot for the maximum time. Returns true if the request
    /// need not wait any longer.
    pub(super) fn give_up_if_late(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let waiting = self.requests.get(id);
        let Some(pending) = waiting.filter(|r| !r.is_done() && r.in_flight() == 0) else {
            return true;
        };
        let now = self.now();
        let late = now > pending.arrived_at() + self.max_wait(pending) as Micros
            || !self.may_wait(pending.request(), now);
        if late {
            self.end_unserved(id, actions);
        }
        late
    }

    /// Ends a request that is not served: with a rejection if trying again is harmless, otherwise
    /// with a failure.
    pub(super) fn end_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else {
            return;
        };
        if pending.may_be_rejected() {
            self.reject(id, RAISE_AFTER, actions);
        } else {
            actions.push(Action::Fail(id));
        }
        self.on_request_ended(id, actions);
    }
}
