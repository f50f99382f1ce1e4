//! The end of attempts and requests: answers, retries, final answers, and disconnecting clients.

use super::feedback::AttemptEnd;
use super::Gateway;
use crate::action::Action;
use crate::event::Outcome;
use crate::ids::{BackendId, Micros, RequestId};
use crate::retry::{HEDGE_COST, RETRY_COST};

/// The end of an attempt, as reported by the host.
pub(super) struct Completion {
    pub(super) id: RequestId,
    pub(super) attempt: u16,
    pub(super) backend: BackendId,
    pub(super) outcome: Outcome,
    pub(super) complete: bool,
    pub(super) elapsed: Micros,
    pub(super) charged_units: Option<f64>,
    /// Length of the backend's queue, if the backend reported it.
    pub(super) queue: Option<f64>,
}

impl Gateway {
    pub(super) fn on_attempt_completed(&mut self, end: &Completion, actions: &mut Vec<Action>) {
        self.record_completion(end);
        let now = self.now();
        if let (Some(backend), Some(queue)) = (self.backends.get_mut(end.backend), end.queue) {
            backend.note_queue(queue, now);
        }
        let Some(pending) = self.requests.get_mut(end.id) else {
            return;
        };
        let request = *pending.request();
        let Some(completed) = pending.complete(end.attempt, end.outcome) else {
            return;
        };
        if end.complete || end.outcome == Outcome::Ok {
            pending.finish();
        }
        let done = pending.is_done();
        let in_flight = pending.in_flight();
        if let Some(selection) = completed.release {
            self.pools.release(selection);
        }
        if let Some(backend) = self.backends.get_mut(completed.backend) {
            backend.note_completed();
        }
        let settled_units = end.charged_units.filter(|_| self.settings.post_paid);
        let extra_units = settled_units.map_or(0.0, |units| units - request.units);
        let mut usage_changed = extra_units != 0.0;
        if let Some(customer) = self.customers.get_mut(request.customer) {
            customer.quota.note_completed();
            customer.quota.charge_excess(extra_units);
            usage_changed |= self.settings.plans[customer.plan()].max_in_flight > 0;
        }
        if done {
            self.on_request_ended(end.id, actions);
        } else if in_flight == 0 && !self.retry(end.id, actions) {
            self.end_unserved(end.id, actions);
        }
        if usage_changed {
            self.report(request.customer, false, actions);
        }
        self.dispatch_queues(actions);
    }

    /// Records what the outcome of an attempt says about its backend.
    fn record_completion(&mut self, end: &Completion) {
        let Some(pending) = self.requests.get(end.id) else {
            return;
        };
        let attempt = pending.attempt(end.attempt);
        let class = usize::from(pending.request().class);
        let selection = attempt.map(|a| a.selection()).unwrap_or_default();
        self.record_attempt_end(&AttemptEnd {
            backend: end.backend,
            class,
            selection,
            outcome: end.outcome,
            elapsed: end.elapsed,
        });
    }

    /// Sends a further attempt if the class, the remaining time, and the retry budget permit it.
    /// Returns whether an attempt was sent.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let objective = pending.arrived_at() + pending.class().latency_objective;
        let in_time = self.now() + self.settings.tick < objective.min(pending.request().deadline);
        let none_in_flight = pending.in_flight() == 0;
        let cost = if none_in_flight {
            RETRY_COST
        } else {
            HEDGE_COST
        };
        let allowed = pending.may_be_retried()
            && in_time
            && pending.has_attempts_left()
            && (none_in_flight || self.settings.limits.hedging)
            && self.retry_budget.allows(cost);
        if !allowed || !self.resend(id, actions) {
            return false;
        }
        self.retry_budget.draw(cost);
        true
    }

    /// Sends a further attempt through the pool that a first attempt would use now, or else through
    /// another pool with capacity. The caller has checked that the class permits the attempt. The
    /// choice of a backend respects the key binding in every pool.
    fn resend(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let now = self.now();
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let first = self.pools.best_for(pending, now);
        let candidates = self.pools.with_capacity(pending, self.gateway_count, now);
        if self.send(id, first, actions) {
            return true;
        }
        let mut others = candidates
            .into_iter()
            .flatten()
            .filter(|pool| *pool != first);
        others.any(|pool| self.send(id, pool, actions))
    }

    /// Ends a request: cancels its attempts in flight if permitted, and forgets the request once
    /// all of them have ended.
    pub(super) fn on_request_ended(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        pending.finish();
        if self.settings.limits.cancellation && !pending.is_streaming() {
            pending.cancel_attempts(None, actions);
        }
        if pending.in_flight() > 0 {
            return;
        }
        let request = *pending.request();
        let unsent = pending.attempts().is_empty();
        let held = pending.awaits_owner();
        self.requests.remove(id);
        if held {
            self.stop_holding(request.customer, id);
        } else if unsent {
            self.charge(&request, -1.0);
            self.report(request.customer, false, actions);
        }
    }

    /// Handles the start of a streamed answer: the client receives the answer of `attempt`, and the
    /// other attempts are cancelled.
    pub(super) fn on_first_byte(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        if self.settings.limits.cancellation {
            pending.cancel_attempts(Some(attempt), actions);
        }
        if let Some(selection) = pending.start_streaming(attempt) {
            self.pools.release(selection);
        }
    }
}
