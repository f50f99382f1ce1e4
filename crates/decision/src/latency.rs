//! Latency of answers: the recent mean for each class, and the latency of the class on calm servers
//! as a baseline for slowdowns.

use crate::ids::Micros;
use crate::numeric::MICROS_PER_SECOND;
use crate::settings::Class;
use serde::{Deserialize, Serialize};

/// Fraction of the latency objective that serves as the mean before any answer.
const INITIAL_FRACTION: f64 = 0.15;
/// Number of answers that the recent mean averages over.
const RECENT_ANSWERS: f64 = 20.0;
/// Number of answers that the long mean averages over. The calm time follows the minimum of that
/// mean, because the minimum over a few answers would be too low.
const LONG_MEAN_ANSWERS: f64 = 100.0;
/// Until there are [`RECENT_ANSWERS`] answers, the calm time is at most this fraction of the
/// latency objective.
const INITIAL_MAX_CALM_FRACTION: f64 = 0.3;
/// Relative growth of the calm time per second: slow enough that half a minute of overload does not
/// become the new baseline.
const CALM_GROWTH_PER_S: f64 = 0.01;
/// Weight of one answer in the mean over all classes.
const MEAN_WEIGHT: f64 = 0.05;

/// Answer times of a class in microseconds: recent ones and those on calm servers.
#[derive(Default, Serialize, Deserialize)]
struct LatencyBaseline {
    recent: f64,
    calm: f64,
    /// Long mean; the calm time follows its minimum.
    long: f64,
    count: f64,
    at: Micros,
}

impl LatencyBaseline {
    /// The baseline before any answer.
    fn initial(class: &Class, now: Micros) -> LatencyBaseline {
        let recent = class.latency_objective as f64 * INITIAL_FRACTION;
        LatencyBaseline {
            recent,
            calm: recent,
            long: recent,
            at: now,
            count: 0.0,
        }
    }

    /// Adds an answer; returns the ratio of its time to the calm time.
    fn note(&mut self, elapsed: f64, objective: f64, now: Micros) -> f64 {
        self.count += 1.0;
        self.recent += (elapsed - self.recent) / self.count.min(RECENT_ANSWERS);
        // The calm time falls at once and rises by one percent per second.
        let growth = 1.0 + (now - self.at) as f64 / MICROS_PER_SECOND * CALM_GROWTH_PER_S;
        self.long += (elapsed - self.long) / self.count.min(LONG_MEAN_ANSWERS);
        self.calm = if self.count <= RECENT_ANSWERS {
            self.recent.min(objective * INITIAL_MAX_CALM_FRACTION)
        } else {
            self.long.min(self.calm * growth)
        };
        self.at = now;
        elapsed / self.calm.max(1.0)
    }
}

/// Latency of all classes.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct LatencyTracker {
    baselines: Vec<LatencyBaseline>,
    /// Mean time of all answers, in microseconds.
    mean: f64,
}

impl LatencyTracker {
    pub(crate) fn new(classes: &[Class], now: Micros) -> LatencyTracker {
        let initial = |c| LatencyBaseline::initial(c, now);
        let baselines: Vec<LatencyBaseline> = classes.iter().map(initial).collect();
        let sum = baselines.iter().map(|b| b.recent).sum::<f64>();
        let mean = sum / baselines.len().max(1) as f64;
        LatencyTracker { baselines, mean }
    }

    /// Recent mean of a class, in microseconds.
    pub(crate) fn recent(&self, class: usize) -> f64 {
        self.baselines[class].recent
    }

    /// Answer time of a class on calm servers, in microseconds.
    pub(crate) fn calm(&self, class: usize) -> f64 {
        self.baselines[class].calm
    }

    /// Mean time of all answers, in microseconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Adds an answer; returns the ratio of its time to the calm time of its class.
    pub(crate) fn note(&mut self, class: usize, elapsed: f64, objective: f64, now: Micros) -> f64 {
        let slowdown = self.baselines[class].note(elapsed, objective, now);
        self.mean += MEAN_WEIGHT * (elapsed - self.mean);
        slowdown
    }

    /// Resets a class whose index now means a different class.
    pub(crate) fn reset(&mut self, class: usize, settings: &Class, now: Micros) {
        self.baselines[class] = LatencyBaseline::initial(settings, now);
    }

    /// Adds baselines for new classes at the end of the list.
    pub(crate) fn extend(&mut self, classes: &[Class], now: Micros) {
        let known = self.baselines.len();
        let new = classes.iter().skip(known);
        self.baselines
            .extend(new.map(|c| LatencyBaseline::initial(c, now)));
    }
}
