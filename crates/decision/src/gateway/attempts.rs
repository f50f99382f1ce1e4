//! How attempts and requests end: answers, retries, the final answer, clients that leave.

use super::feedback::AttemptEnd;
use super::Gateway;
use crate::action::Action;
use crate::event::Outcome;
use crate::ids::{BackendId, Micros, RequestId};
use crate::retry::{HEDGE_COST, RETRY_COST};

/// An attempt that ended, as the host tells it.
pub(super) struct Completion {
    pub(super) id: RequestId,
    pub(super) attempt: u16,
    pub(super) backend: BackendId,
    pub(super) outcome: Outcome,
    pub(super) complete: bool,
    pub(super) elapsed: Micros,
    pub(super) charged_units: Option<f64>,
    /// The backend's queue, if it reported it.
    pub(super) queue: Option<f64>,
}

impl Gateway {
    pub(super) fn on_attempt_completed(&mut self, end: &Completion, actions: &mut Vec<Action>) {
        self.learn_from(end);
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
        let charged = end.charged_units.filter(|_| self.settings.post_paid);
        let more = charged.map_or(0.0, |units| units - request.units);
        let mut changed = more != 0.0;
        if let Some(customer) = self.customers.get_mut(request.customer) {
            customer.quota.note_completed();
            customer.quota.charge_excess(more);
            changed |= self.settings.plans[customer.plan()].max_in_flight > 0;
        }
        if done {
            self.on_request_ended(end.id, actions);
        } else if in_flight == 0 && !self.retry(end.id, actions) {
            self.end_unserved(end.id, actions);
        }
        if changed {
            self.report(request.customer, false, actions);
        }
        self.dispatch_queues(actions);
    }

    /// What an attempt's end says of its backend.
    fn learn_from(&mut self, end: &Completion) {
        let Some(pending) = self.requests.get(end.id) else {
            return;
        };
        let attempt = pending.attempt(end.attempt);
        let class = usize::from(pending.request().class);
        let selection = attempt.map(|a| a.selection()).unwrap_or_default();
        self.on_answer(&AttemptEnd {
            backend: end.backend,
            class,
            selection,
            outcome: end.outcome,
            elapsed: end.elapsed,
        });
    }

    /// Sends a further attempt, where the class, the time and the budget allow one; whether it did.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let objective = pending.arrived_at() + pending.class().latency_objective;
        let useful = self.now() + self.settings.tick < objective.min(pending.request().deadline);
        let alone = pending.in_flight() == 0;
        let cost = if alone { RETRY_COST } else { HEDGE_COST };
        let allowed = pending.may_be_repeated()
            && useful
            && pending.may_have_more_attempts()
            && (alone || self.settings.limits.hedging)
            && self.retry_budget.allows(cost);
        if !allowed || !self.resend(id, actions) {
            return false;
        }
        self.retry_budget.draw(cost);
        true
    }

    /// A further attempt: where the first would go now, else where there is room. Its class has
    /// been asked, and a choice keeps to the group that knows its key, whatever the pool.
    fn resend(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let now = self.now();
        let Some(pending) = self.requests.get(id) else {
            return false;
        };
        let first = self.pools.best_for(pending, now);
        let found = self.pools.with_capacity(pending, self.gateway_count, now);
        if self.send(id, first, actions) {
            return true;
        }
        let mut others = found.into_iter().flatten().filter(|pool| *pool != first);
        others.any(|pool| self.send(id, pool, actions))
    }

    /// A request has ended: what is in flight is cancelled, and it is forgotten once all of that is
    /// back.
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

    /// An answer streams: the other attempts are cancelled, and this one is the client's.
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
