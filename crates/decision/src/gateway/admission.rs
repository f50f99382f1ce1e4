//! Admission: whether a request that arrives is sent, waits, or is rejected, by its customer's
//! quota and ceiling, its pool's load-shedding level, and the room in its pool.

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
use crate::queueing::{self, ANSWERS_LEFT};
use crate::requests::PendingRequest;

/// Besides a report period: how long a peer's use is under way, in microseconds (loss, chance;
/// ours).
const UNHEARD: Micros = 350_000;
/// Advice to come back as late as the settings allow.
const LONGEST: Micros = Micros::MAX;

/// Seconds until a request's quota and its ceiling may have room; none where they have it now.
struct RoomWait {
    quota: Option<f64>,
    ceiling: Option<f64>,
}

impl RoomWait {
    /// Seconds until both may have room.
    fn longest(&self) -> Option<f64> {
        let both = self.quota.into_iter().chain(self.ceiling);
        both.reduce(f64::max)
    }
}

/// The room that a request finds in its pools.
struct PoolRoom {
    /// The pool in whose queue it would wait.
    queue: usize,
    /// How long it may wait there, in microseconds.
    max_wait: f64,
    /// There is no slot, and the queue takes its customer no more.
    full: bool,
}

impl Gateway {
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return; // it came twice: the first one gets the answer
        }
        if !self.is_servable(&request) {
            return self.reject(request.id, 0, actions);
        }
        let new_customer = self.meet(&request);
        let class = self.settings.classes[usize::from(request.class)];
        let now = self.now();
        let pending = PendingRequest::new(request, class, self.settings.limits.max_attempts, now);
        let level = self.pools.get(self.pools.best_for(&pending, now)).level();
        let plans = &self.settings.plans;
        let plan = usize::from(request.plan);
        if !level_admits(level, plans, plan, request.customer, new_customer, now) {
            return self.reject(request.id, LONGEST, actions);
        }
        let wait = self.wait_for_room(&request);
        let ceiling_short = wait.ceiling.is_some();
        let ask_for_ceiling = ceiling_short && wait.quota.is_none() && self.may_grant(&request);
        let decided =
            !self.may_wait(&request, now) || (self.knows_room(&request, &wait) && !ask_for_ceiling);
        self.requests.insert(pending);
        if decided {
            self.admit(request.id, true, actions);
        } else {
            self.ask_owners(&request, ceiling_short, ask_for_ceiling, actions);
        }
    }

    /// Whether a request makes sense and has the time to be held, watched or served: with less than
    /// two wake-ups left it is answered at once.
    fn is_servable(&self, request: &Request) -> bool {
        let known = usize::from(request.class) < self.settings.classes.len()
            && usize::from(request.plan) < self.settings.plans.len();
        let sane = request.units.is_finite() && request.units >= 0.0;
        known && sane && self.may_wait(request, self.now())
    }

    /// Whether a request has the time to be held for two wake-ups.
    pub(super) fn may_wait(&self, request: &Request, now: Micros) -> bool {
        queueing::may_wait(request.deadline, self.wake_ticks(), now)
    }

    /// Whether a customer's room is known here well enough to decide. A rejection may rest on older
    /// updates than an admission: else a rejected customer's retries ask without end.
    fn knows_room(&self, request: &Request, wait: &RoomWait) -> bool {
        let Some(customer) = self.customers.get(request.customer) else {
            return false;
        };
        let plan = &self.settings.plans[usize::from(request.plan)];
        let rejected = wait.quota.is_some() && plan.max_in_flight == 0;
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

    /// Admits a request if its buckets have room; without it, one that is held stays till the
    /// `last` word of its owners.
    pub(super) fn admit(&mut self, id: RequestId, last: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        let held = pending.awaits_owner();
        pending.set_awaiting_owner(false);
        let request = *pending.request();
        let wait = self.wait_for_room(&request);
        let Some(room) = self.pool_room(id) else {
            return;
        };
        if wait.longest().is_some() {
            let for_ceiling = self.waits_for_ceiling(id, &wait, room.max_wait);
            if !last || for_ceiling {
                return self.keep_held(id, held || for_ceiling, last);
            }
        }
        let rejected = wait.longest().is_some() || room.full;
        if rejected {
            return self.reject_for_room(&request, &wait, room.queue, held, actions);
        }
        self.accept(&request, room.queue, held, actions);
    }

    /// The room in a request's pools. The fuller the queue, the fewer customers may join it; the
    /// same ones for an epoch, as by the load-shedding level.
    fn pool_room(&self, id: RequestId) -> Option<PoolRoom> {
        let now = self.now();
        let pending = self.requests.get(id)?;
        let request = pending.request();
        let queue = self.pools.queue_for(pending, now);
        let capacity = self.pools.with_capacity(pending, self.gateway_count, now);
        let max_wait = self.max_wait(pending).max(1.0);
        let pool = self.pools.get(queue);
        let crowding = queueing::crowding(
            pool.queue_length(),
            self.latency.mean(),
            pool.concurrency_limit(self.gateway_count),
            max_wait,
        );
        let no_slot = capacity.iter().all(Option::is_none);
        Some(PoolRoom {
            queue,
            max_wait,
            full: no_slot && customer_draw(request.customer, now) >= 1.0 - crowding,
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

    /// A ceiling refills faster than the quota in it: what it alone has no room for waits, as for a
    /// slot.
    fn waits_for_ceiling(&self, id: RequestId, wait: &RoomWait, max_wait: f64) -> bool {
        let later = self.now() + MAX_UPDATE_AGE;
        let only_ceiling = wait.quota.is_none() && wait.ceiling.is_some();
        let in_time = |pending: &PendingRequest| {
            later < pending.arrived_at() + max_wait as Micros
                && self.may_wait(pending.request(), later)
        };
        only_ceiling && self.requests.get(id).is_some_and(in_time)
    }

    /// A request stays held; after its owners' last word it asks them again.
    fn keep_held(&mut self, id: RequestId, held: bool, last: bool) {
        let later = self.now() + MAX_UPDATE_AGE;
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        pending.set_awaiting_owner(held);
        if last && pending.ask_again() {
            self.requests.check_at(later, id);
        }
    }

    /// Rejects a request whose customer has no room, or that has no slot and none soon.
    fn reject_for_room(
        &mut self,
        request: &Request,
        wait: &RoomWait,
        queue: usize,
        held: bool,
        actions: &mut Vec<Action>,
    ) {
        if held {
            self.stop_holding(request.customer, request.id);
        }
        let wait = wait.longest();
        let retry_after = wait.map_or(LONGEST, |seconds| (seconds * MICROS_PER_SECOND) as Micros);
        let shedding = self.pools.get_mut(queue).shedding_mut();
        shedding.note_rejected(wait.is_none());
        self.requests.remove(request.id);
        self.reject(request.id, retry_after, actions);
        if held {
            self.report(request.customer, false, actions); // an owner may have counted it
        }
    }

    /// Sends a request, or puts it into its queue.
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
            customer.query.clear_pledge(); // counted by the owner that pledged it
        } else {
            self.report(request.customer, ask && every_gateway_owns, actions);
        }
        self.pools.get_mut(queue).enqueue(request.id);
        self.dispatch_queues(actions);
        self.give_up_if_late(request.id, actions);
    }

    /// The final answer of a request that was not let in, or may be tried again without harm.
    pub(super) fn reject(&self, id: RequestId, retry_after: Micros, actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        let most = if limits.retry_after {
            limits.max_retry_after
        } else {
            0
        };
        actions.push(Action::Reject {
            id,
            retry_after: retry_after.min(most),
        });
    }

    /// Notes the customer; true if it was unseen within the ageing time.
    fn meet(&mut self, request: &Request) -> bool {
        let now = self.now();
        let plan = usize::from(request.plan);
        let (rate, burst) = {
            let plan = &self.settings.plans[plan];
            (plan.rate, plan.burst)
        };
        let gateways = self.settings.gateway_count.max(1) as f64;
        let sane =
            request.gateway_span.is_finite() && (0.0..gateways).contains(&request.first_gateway);
        let gateway_span = if sane {
            request.gateway_span.clamp(1.0, gateways)
        } else {
            gateways
        };
        let first_gateway = if sane {
            request.first_gateway.floor()
        } else {
            0.0
        };
        // Of a customer unseen here a gateway that is no owner lets its part through, or one
        // request.
        let tokens = (burst / gateway_span).max(request.units).min(burst);
        let others_rate = rate * (1.0 - 1.0 / gateway_span);
        let new = || Customer::new(plan, QuotaAccount::new(tokens, others_rate, now));
        let customer = self.customers.get_or_insert_with(request.customer, new);
        let unseen = customer.is_new(now);
        customer.set_plan(plan);
        customer.note_seen(now);
        let span = Span {
            first_gateway: first_gateway as u16,
            gateway_span: gateway_span as u16,
        };
        self.settle_customer(request.customer, span, burst);
        unseen
    }

    /// Refills a customer's buckets up to now.
    pub(super) fn refill(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let now = self.now();
        let customer = self.customers.get_mut(id)?;
        customer.refill(now, &self.settings.plans[customer.plan()]);
        Some(customer)
    }

    /// How long it may take until a request's quota and its ceiling have room.
    fn wait_for_room(&mut self, request: &Request) -> RoomWait {
        self.refill(request.customer);
        let unheard = self.unheard_span(request.customer);
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
            .wait_for_tokens(units, plan, unheard, min_own_rate);
        // What peers likely began unheard counts, as far as it is still in flight.
        let unheard_at_most = (self.report_period + UNHEARD) as f64;
        let lasts = (ANSWERS_LEFT * self.latency.recent(class)).min(unheard_at_most);
        let in_flight = customer.quota.estimated_in_flight(units, lasts);
        if plan.max_in_flight > 0 && in_flight >= plan.max_in_flight {
            let calm = self.latency.calm(class) / MICROS_PER_SECOND;
            quota = Some(quota.unwrap_or(0.0).max(calm));
        }
        RoomWait {
            quota,
            ceiling: customer.ceiling.wait_for_tokens(units, plan),
        }
    }

    /// For how long others' use of a customer has been unheard here, in microseconds. What a lead
    /// owner hears of it has been asked for; elsewhere its word was right when it came.
    fn unheard_span(&self, id: CustomerId) -> Micros {
        if self.every_gateway_owns() {
            return self.report_period + UNHEARD;
        }
        match self.customers.get(id) {
            // One that nobody has told of passes its first request by itself: most are far from
            // their quotas.
            Some(c) if self.lead_owner(c) != self.id() && c.query.has_update() => {
                UNHEARD.min(c.query.update_age(self.now()))
            }
            _ => 0,
        }
    }

    /// Draws a request's units from the buckets, or gives them back (`sign` -1) when it was never
    /// sent.
    pub(super) fn charge(&mut self, request: &Request, sign: f64) {
        if let Some(customer) = self.customers.get_mut(request.customer) {
            let plan = &self.settings.plans[customer.plan()];
            customer.draw(request.units * sign, plan);
        }
    }

    /// Ends a request that has waited for a slot for as long as it may; true if it need not wait.
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

    /// The final answer of a request that is not served: rejected where that is true, else failed.
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
