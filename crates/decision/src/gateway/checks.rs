//! Checks of requests: those held for their quota owners, and those whose attempt is silent, dead
//! or slow.

use super::Gateway;
use crate::action::Action;
use crate::gossip::codec::AttemptOutcome;
use crate::hedging::{AttemptProgress, CheckVerdict};
use crate::ids::{BackendId, Micros, RequestId};
use crate::requests::PoolSelection;
use crate::retry::{HEDGE_COST, RETRY_COST};
use crate::settings::Idempotency;

/// The attempt that a check looks at.
struct Watched {
    backend: BackendId,
    class: usize,
    selection: PoolSelection,
    verdict: CheckVerdict,
    /// Its backend counts as dead from now on.
    newly_dead: bool,
}

impl Gateway {
    /// Looks at a request again.
    pub(super) fn check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else {
            return;
        };
        if pending.awaits_owner() {
            self.check_held(id, actions);
        } else if !pending.is_done() && !pending.is_streaming() {
            self.check_attempt(id, actions);
        }
    }

    /// The owners of a held request's customer said nothing in time.
    fn check_held(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        let request = *pending.request();
        if pending.take_ask_again() {
            return self.ask_owners(&request, true, true, actions);
        }
        if !self.every_gateway_owns() && self.ask_other_owner(&request, actions) {
            return;
        }
        self.admit(id, true, actions); // by what is known here
    }

    /// Looks at a request's latest attempt.
    fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now();
        let Some(watched) = self.watch(id, now) else {
            return;
        };
        let verdict = &watched.verdict;
        if let Some(at) = verdict.check_at {
            self.requests.check_at(at, id);
        }
        if !verdict.dead && !verdict.slow {
            return;
        }
        let calm = self.pools.get(watched.selection.pool).level() == 0;
        let repeatable = self
            .requests
            .get(id)
            .is_some_and(|r| r.class().idempotency != Idempotency::NotIdempotent);
        let again = repeatable && (verdict.dead || calm);
        if again && verdict.dead && !verdict.slow {
            self.move_attempt(id, actions);
        }
        if verdict.dead {
            self.note_dead(&watched, now);
        }
        if again && self.settings.limits.hedging {
            self.retry(id, actions);
        }
    }

    /// The state of a request's latest attempt; none where none is watched.
    fn watch(&mut self, id: RequestId, now: Micros) -> Option<Watched> {
        let pending = self.requests.get_mut(id)?;
        let class = usize::from(pending.request().class);
        let useful_time = pending.useful_time();
        let attempt = pending.watched_attempt()?;
        let backend = self.backends.get(attempt.endpoint().backend)?;
        let in_flight = f64::from(backend.in_flight().max(1));
        let usual = self.latency.recent(class) * backend.relative_latency() / in_flight;
        let progress = AttemptProgress {
            sent_at: attempt.sent_at(),
            useful_time,
            usual_gap: usual.max(1.0),
            silent: backend.health()[class].silent_since(attempt.sent_at()),
        };
        let verdict = progress.check(now);
        Some(Watched {
            backend: backend.id(),
            class,
            selection: attempt.selection(),
            newly_dead: verdict.dead && attempt.release(),
            verdict,
        })
    }

    /// Cancels an attempt at a dead backend where only one may be in flight; the retry comes with
    /// its end.
    fn move_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        let moves = !limits.hedging && limits.cancellation;
        if !moves || !self.retry_budget.allows(HEDGE_COST) {
            return;
        }
        self.retry_budget.draw(HEDGE_COST - RETRY_COST); // the rest with the retry that follows
        if let Some(pending) = self.requests.get_mut(id) {
            pending.cancel_attempts(None, actions);
        }
    }

    /// A backend counts as dead: its attempt loads nobody who could take more, and many like it
    /// tell of the zone.
    fn note_dead(&mut self, watched: &Watched, now: Micros) {
        let backend = watched.backend;
        let Some(record) = self.backends.get_mut(backend) else {
            return;
        };
        if watched.newly_dead {
            self.pools.release(watched.selection);
            self.zones
                .note_silence(record.endpoint().zone, backend, now);
        }
        let health = record.health_mut(watched.class);
        if health.may_be_ejected(now) {
            health.eject(now);
            let silent = AttemptOutcome::Silent;
            self.learn_own(backend, watched.class, silent, watched.selection);
        }
    }
}
