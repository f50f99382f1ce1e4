//! How long answers take: the recent mean of each class, and its time on calm servers as a baseline
//! for slowdowns.

use crate::ids::Micros;
use crate::numeric::MICROS_PER_SECOND;
use crate::settings::Class;
use serde::{Deserialize, Serialize};

/// The part of the latency objective taken for the mean before any answer (ours).
const INITIAL_FRACTION: f64 = 0.15;
/// Answers in the recent mean (ours).
const RECENT_ANSWERS: f64 = 20.0;
/// Answers in the mean whose least is the calm time: the least of a few is too low (ours).
const LONG_ANSWERS: f64 = 100.0;
/// Until there are as many answers as the recent mean has, the calm time is at most this part of
/// the objective (ours).
const INITIAL_CALM_LIMIT: f64 = 0.3;
/// The growth of the calm time by itself, a second: half a minute of overload must not pass for
/// calm (ours).
const CALM_GROWTH: f64 = 0.01;
/// The weight of one answer in the mean over all classes (ours).
const MEAN_WEIGHT: f64 = 0.05;

/// How long answers of a class take, in microseconds: lately, and on calm servers.
#[derive(Default, Serialize, Deserialize)]
struct LatencyBaseline {
    recent: f64,
    calm: f64,
    /// The mean whose least is the calm time.
    long: f64,
    count: f64,
    at: Micros,
}

impl LatencyBaseline {
    /// What is taken for usual before any answer.
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

    /// Notes an answer; returns its time over the calm one.
    fn note(&mut self, elapsed: f64, objective: f64, now: Micros) -> f64 {
        self.count += 1.0;
        self.recent += (elapsed - self.recent) / self.count.min(RECENT_ANSWERS);
        // Down at once, up by a percent a second.
        let growth = 1.0 + (now - self.at) as f64 / MICROS_PER_SECOND * CALM_GROWTH;
        self.long += (elapsed - self.long) / self.count.min(LONG_ANSWERS);
        self.calm = if self.count <= RECENT_ANSWERS {
            self.recent.min(objective * INITIAL_CALM_LIMIT)
        } else {
            self.long.min(self.calm * growth)
        };
        self.at = now;
        elapsed / self.calm.max(1.0)
    }
}

/// The latencies of all classes.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct LatencyTracker {
    baselines: Vec<LatencyBaseline>,
    /// The mean time of all answers, in microseconds.
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

    /// The recent mean of a class, in microseconds.
    pub(crate) fn recent(&self, class: usize) -> f64 {
        self.baselines[class].recent
    }

    /// The time of a class on calm servers, in microseconds.
    pub(crate) fn calm(&self, class: usize) -> f64 {
        self.baselines[class].calm
    }

    /// The mean of all answers, in microseconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Notes an answer; returns its time over the calm one of its class.
    pub(crate) fn note(&mut self, class: usize, elapsed: f64, objective: f64, now: Micros) -> f64 {
        let slowdown = self.baselines[class].note(elapsed, objective, now);
        self.mean += MEAN_WEIGHT * (elapsed - self.mean);
        slowdown
    }

    /// Forgets a class that is another one now.
    pub(crate) fn reset(&mut self, class: usize, settings: &Class, now: Micros) {
        self.baselines[class] = LatencyBaseline::initial(settings, now);
    }

    /// Begins the classes that are new at the end of the list.
    pub(crate) fn extend(&mut self, classes: &[Class], now: Micros) {
        let known = self.baselines.len();
        let new = classes.iter().skip(known);
        self.baselines
            .extend(new.map(|c| LatencyBaseline::initial(c, now)));
    }
}
