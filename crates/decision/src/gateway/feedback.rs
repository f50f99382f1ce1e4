//! Feedback from attempt outcomes: health and latency of backends, load of pools, and reachability
//! of zones.

use super::Gateway;
use crate::event::Outcome;
use crate::gossip::codec::{backend_tag, AttemptOutcome, Sample, MAX_CLASS};
use crate::ids::{BackendId, Micros};
use crate::load_shedding::PressureSample;
use crate::outlier_ejection::{OWN_ANSWER_WEIGHT, PEER_ANSWER_WEIGHT, UNREACHED_WEIGHT};
use crate::requests::PoolSelection;

/// Divisor of the weight of a peer's sample in a zone's error rate, compared with an attempt of
/// this gateway. Peers' samples count less, since some of them are outdated.
const PEER_SAMPLE_WEIGHT_DIVISOR: f64 = 3.0;

/// The end of an attempt, with its class and the pool that it was sent through.
pub(super) struct AttemptEnd {
    pub(super) backend: BackendId,
    pub(super) class: usize,
    pub(super) selection: PoolSelection,
    pub(super) outcome: Outcome,
    pub(super) elapsed: Micros,
}

impl Gateway {
    pub(super) fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let uninformative = matches!(
            end.outcome,
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut
        );
        let now = self.now();
        let Some(backend) = self
            .backends
            .get_mut(end.backend)
            .filter(|_| !uninformative)
        else {
            return;
        };
        let unreached = end.outcome == Outcome::ConnectFailed;
        let weight = if unreached { UNREACHED_WEIGHT } else { 1.0 };
        self.zones
            .note(backend.endpoint().zone, now, unreached, weight);
        backend.health_mut(end.class).note_answered(now);
        if end.outcome == Outcome::Rejected {
            backend.note_rejection(self.gateway_count as f64);
            return self.note_pressure(end.selection, PressureSample::REJECTED);
        }
        let failed = matches!(
            end.outcome,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset
        );
        backend.health_mut(end.class).update_ejection(now, failed);
        let outcome = if !failed {
            AttemptOutcome::Answered(end.elapsed as f64)
        } else if unreached {
            AttemptOutcome::Silent
        } else {
            AttemptOutcome::Failed
        };
        self.record_own_outcome(end.backend, end.class, outcome, end.selection);
    }

    /// Records the outcome of an attempt of this gateway. The time in `outcome` is in microseconds.
    pub(super) fn record_own_outcome(
        &mut self,
        id: BackendId,
        class: usize,
        outcome: AttemptOutcome,
        selection: PoolSelection,
    ) {
        let now = self.now();
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        let failed = !matches!(outcome, AttemptOutcome::Answered(_));
        self.pools.get_mut(selection.pool).note_outcome(failed, now);
        backend.note_health(class, failed, OWN_ANSWER_WEIGHT, now);
        if !self.every_gateway_owns() && class <= MAX_CLASS {
            let reported = match outcome {
                AttemptOutcome::Answered(elapsed) => {
                    AttemptOutcome::Answered(elapsed / self.objective(class))
                }
                other => other,
            };
            self.peers
                .add_sample(backend_tag(id.0), class as u8, reported);
        }
        if let AttemptOutcome::Answered(elapsed) = outcome {
            if let Some(sample) = self.record_latency(id, class, elapsed) {
                self.note_pressure(selection, sample);
            }
        }
    }

    /// Records the outcome of a peer's attempt. It counts in error rates and latencies, but does
    /// not eject a backend.
    pub(super) fn record_peer_outcome(&mut self, sample: &Sample) {
        let now = self.now();
        let class = usize::from(sample.class);
        let Some(id) = self.backends.by_tag(sample.tag) else {
            return;
        };
        let Some(class_settings) = self.settings.classes.get(class) else {
            return;
        };
        let objective = class_settings.latency_objective as f64;
        // Whether a peer reached the backend counts in the error rate of the zone.
        let zone = self.backends.get(id).map_or(u8::MAX, |b| b.endpoint().zone);
        let unreached = sample.outcome == AttemptOutcome::Silent;
        self.zones.note(
            zone,
            now,
            unreached,
            UNREACHED_WEIGHT / PEER_SAMPLE_WEIGHT_DIVISOR,
        );
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        let endpoint = *backend.endpoint();
        let AttemptOutcome::Answered(relative_time) = sample.outcome else {
            return backend.note_health(class, true, PEER_ANSWER_WEIGHT, now);
        };
        backend.note_health(class, false, PEER_ANSWER_WEIGHT, now);
        let Some(sample) = self.record_latency(id, class, relative_time * objective) else {
            return;
        };
        // The sample does not name the pool of the peer's attempt, so it counts in all pools that
        // contain the backend.
        for pool in self.pools.of_endpoint(&endpoint) {
            let selection = PoolSelection {
                pool,
                fallback: false,
            };
            self.note_pressure(selection, sample);
        }
    }

    /// Records the time of an answer. Returns `None` right after a stall, when measured times
    /// include the stall.
    fn record_latency(
        &mut self,
        id: BackendId,
        class: usize,
        elapsed: f64,
    ) -> Option<PressureSample> {
        let now = self.now();
        if now == self.clock.stall_ended_at {
            return None;
        }
        let objective = self.objective(class);
        let usual_latency = self.latency.recent(class).max(1.0);
        self.backends
            .get_mut(id)?
            .note_latency(elapsed / usual_latency);
        let slowdown = self.latency.note(class, elapsed, objective, now);
        Some(PressureSample::of_answer(elapsed, objective, slowdown))
    }

    fn note_pressure(&mut self, selection: PoolSelection, sample: PressureSample) {
        let now = self.now();
        let pool = self.pools.get_mut(selection.pool);
        pool.note_pressure(selection.fallback, sample, self.gateway_count, now);
    }

    /// Latency objective of a class in microseconds, at least 1.
    fn objective(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective.max(1) as f64
    }
}
