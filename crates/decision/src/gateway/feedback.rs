//! What the ends of attempts say: of their backends' health and latency, of their pools' load, of
//! their zones.

use super::Gateway;
use crate::event::Outcome;
use crate::gossip::codec::{backend_tag, AttemptOutcome, Sample, MAX_CLASS};
use crate::ids::{BackendId, Micros};
use crate::load_shedding::PressureSample;
use crate::outlier_ejection::{OWN_ANSWER_WEIGHT, PEER_ANSWER_WEIGHT, UNREACHED_WEIGHT};
use crate::requests::PoolSelection;

/// The weight in a zone's error rate of a peer's sample, against that of an attempt of its own
/// (ours): some of it is from before.
const PEER_SAMPLE_PART: f64 = 3.0;

/// An attempt that ended, with its class and the pool that it went through.
pub(super) struct AttemptEnd {
    pub(super) backend: BackendId,
    pub(super) class: usize,
    pub(super) selection: PoolSelection,
    pub(super) outcome: Outcome,
    pub(super) elapsed: Micros,
}

impl Gateway {
    pub(super) fn on_answer(&mut self, end: &AttemptEnd) {
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
        self.learn_own(end.backend, end.class, outcome, end.selection);
    }

    /// The lesson of an attempt of this gateway's own; times are in microseconds.
    pub(super) fn learn_own(
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
            let told = match outcome {
                AttemptOutcome::Answered(elapsed) => {
                    AttemptOutcome::Answered(elapsed / self.objective(class))
                }
                other => other,
            };
            self.peers.add_sample(backend_tag(id.0), class as u8, told);
        }
        if let AttemptOutcome::Answered(elapsed) = outcome {
            if let Some(sample) = self.learn_latency(id, class, elapsed) {
                self.note_pressure(selection, sample);
            }
        }
    }

    /// The lesson of an attempt that a peer had: it counts, but ejects nobody.
    pub(super) fn learn_from_peer(&mut self, sample: &Sample) {
        let now = self.now();
        let class = usize::from(sample.class);
        let Some(id) = self.backends.by_tag(sample.tag) else {
            return;
        };
        let Some(settings) = self.settings.classes.get(class) else {
            return;
        };
        let objective = settings.latency_objective as f64;
        // What peers can't reach tells of the zone, and what they reach.
        let zone = self.backends.get(id).map_or(u8::MAX, |b| b.endpoint().zone);
        let unreached = sample.outcome == AttemptOutcome::Silent;
        self.zones
            .note(zone, now, unreached, UNREACHED_WEIGHT / PEER_SAMPLE_PART);
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        let endpoint = *backend.endpoint();
        let AttemptOutcome::Answered(part) = sample.outcome else {
            return backend.note_health(class, true, PEER_ANSWER_WEIGHT, now);
        };
        backend.note_health(class, false, PEER_ANSWER_WEIGHT, now);
        let Some(sample) = self.learn_latency(id, class, part * objective) else {
            return;
        };
        // What a peer found was in a pool of the backend's that it does not tell.
        for pool in self.pools.of_endpoint(&endpoint) {
            let selection = PoolSelection {
                pool,
                fallback: false,
            };
            self.note_pressure(selection, sample);
        }
    }

    /// Notes an answer's time; none right after a stall, whose times say nothing.
    fn learn_latency(
        &mut self,
        id: BackendId,
        class: usize,
        elapsed: f64,
    ) -> Option<PressureSample> {
        let now = self.now();
        if now == self.clock.resumed_at {
            return None;
        }
        let objective = self.objective(class);
        let usual = self.latency.recent(class).max(1.0);
        self.backends.get_mut(id)?.note_latency(elapsed / usual);
        let slowdown = self.latency.note(class, elapsed, objective, now);
        Some(PressureSample::of_answer(elapsed, objective, slowdown))
    }

    fn note_pressure(&mut self, selection: PoolSelection, sample: PressureSample) {
        let now = self.now();
        let pool = self.pools.get_mut(selection.pool);
        pool.note_pressure(selection.fallback, sample, self.gateway_count, now);
    }

    /// A class's latency objective in microseconds.
    fn objective(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective.max(1) as f64
    }
}
