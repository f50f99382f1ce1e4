//! Scheduled checks of requests that are held for their quota owners, and of attempts whose backend
//! may be silent or dead or which may be slow.

use super::Gateway;
use crate::action::Action;
use crate::gossip::codec::AttemptOutcome;
use crate::hedging::{AttemptProgress, CheckResult};
use crate::ids::{BackendId, Micros, RequestId};
use crate::requests::PoolSelection;
use crate::retry::{HEDGE_COST, RETRY_COST};
use crate::settings::Idempotency;

/// The attempt examined by a check, and the result.
struct CheckedAttempt {
    backend: BackendId,
    class: usize,
    selection: PoolSelection,
    result: CheckResult,
    /// The backend is considered dead, and the attempt has just been released from its pool.
    newly_dead: bool,
}

impl Gateway {
    /// Checks a request whose scheduled check is due.
    pub(super) fn check_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else {
            return;
        };
        if pending.awaits_owner() {
            self.check_held(id, actions);
        } else if !pending.is_done() && !pending.is_streaming() {
            self.check_attempt(id, actions);
        }
    }

    /// Handles a held request whose quota owners did not answer in time or are to be asked again.
    fn check_held(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        let request = *pending.request();
        if pending.take_owner_query() {
            return self.ask_owners(&request, true, true, actions);
        }
        if !self.every_gateway_owns() && self.ask_other_owner(&request, actions) {
            return;
        }
        self.admit(id, true, actions); // decide by this gateway's own view
    }

    /// Checks the latest active attempt of a request.
    fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now();
        let Some(checked) = self.evaluate_active_attempt(id, now) else {
            return;
        };
        let result = &checked.result;
        if let Some(at) = result.next_check_at {
            self.requests.schedule_check(at, id);
        }
        if !result.dead && !result.slow {
            return;
        }
        let not_shedding = self.pools.get(checked.selection.pool).level() == 0;
        let repeatable = self
            .requests
            .get(id)
            .is_some_and(|r| r.class().idempotency != Idempotency::NotIdempotent);
        let may_retry = repeatable && (result.dead || not_shedding);
        if may_retry && result.dead && !result.slow {
            self.cancel_for_retry(id, actions);
        }
        if result.dead {
            self.note_dead_backend(&checked, now);
        }
        if may_retry && self.settings.limits.hedging {
            self.retry(id, actions);
        }
    }

    /// Evaluates the latest active attempt of a request; `None` if there is none.
    fn evaluate_active_attempt(&mut self, id: RequestId, now: Micros) -> Option<CheckedAttempt> {
        let pending = self.requests.get_mut(id)?;
        let class = usize::from(pending.request().class);
        let useful_time = pending.useful_time();
        let attempt = pending.latest_active_attempt()?;
        let backend = self.backends.get(attempt.endpoint().backend)?;
        let in_flight = f64::from(backend.in_flight().max(1));
        let usual_latency = self.latency.recent(class) * backend.relative_latency() / in_flight;
        let progress = AttemptProgress {
            sent_at: attempt.sent_at(),
            useful_time,
            usual_answer_interval: usual_latency.max(1.0),
            silent: backend.health()[class].silent_since(attempt.sent_at()),
        };
        let result = progress.check(now);
        Some(CheckedAttempt {
            backend: backend.id(),
            class,
            selection: attempt.selection(),
            newly_dead: result.dead && attempt.release(),
            result,
        })
    }

    /// Cancels an attempt at a dead backend if the deployment permits only one attempt in flight.
    /// The retry follows when the cancelled attempt ends.
    fn cancel_for_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        let single_attempt = !limits.hedging && limits.cancellation;
        if !single_attempt || !self.retry_budget.allows(HEDGE_COST) {
            return;
        }
        self.retry_budget.draw(HEDGE_COST - RETRY_COST); // the following retry draws the rest
        if let Some(pending) = self.requests.get_mut(id) {
            pending.cancel_attempts(None, actions);
        }
    }

    /// Records that a backend is considered dead. Its attempt is released from the pool, since it
    /// uses no capacity of a working backend. Several dead backends in a zone count against the
    /// zone.
    fn note_dead_backend(&mut self, checked: &CheckedAttempt, now: Micros) {
        let backend = checked.backend;
        let Some(record) = self.backends.get_mut(backend) else {
            return;
        };
        if checked.newly_dead {
            self.pools.release(checked.selection);
            self.zones
                .note_silence(record.endpoint().zone, backend, now);
        }
        let health = record.health_mut(checked.class);
        if health.may_be_ejected(now) {
            health.eject(now);
            let silent = AttemptOutcome::Silent;
            self.record_own_outcome(backend, checked.class, silent, checked.selection);
        }
    }
}
