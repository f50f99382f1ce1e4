//! How long a request may wait in a pool's queue, and when the queue is too full to join.

use crate::ids::Micros;

/// The part of a latency objective that a request may wait for a slot at most (ours).
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Mean answers that must fit in what is left of the objective then: most come in that (ours).
pub(crate) const ANSWERS_LEFT: f64 = 3.0;
/// How much sooner than that the queue is full: its tail would wait for all before it (ours).
const CROWDING: f64 = 3.0;
/// Wake-ups that a request's deadline must leave for it to be held or watched (ours).
const MIN_WAKE_UPS: u64 = 2;

/// How long a request may wait for a slot, in microseconds: sent later, it would likely be answered
/// too late.
pub(crate) fn max_wait(latency_objective: Micros, recent_latency: f64) -> f64 {
    let objective = latency_objective as f64;
    (objective - ANSWERS_LEFT * recent_latency).clamp(0.0, objective * MAX_WAIT_FRACTION)
}

/// How full a queue is; from 1 on it takes nobody.
pub(crate) fn crowding(queued: usize, mean_latency: f64, limit: f64, max_wait: f64) -> f64 {
    CROWDING * queued as f64 * mean_latency / limit / max_wait
}

/// Whether a deadline leaves the time to hold a request for two wake-ups of `wake_interval`
/// microseconds.
pub(crate) fn may_wait(deadline: Micros, wake_interval: Micros, now: Micros) -> bool {
    now + MIN_WAKE_UPS * wake_interval <= deadline
}
