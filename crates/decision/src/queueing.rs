//! Limits on waiting in a pool's queue: the maximum wait, and when the queue is too full to join.

use crate::ids::Micros;

/// Maximum fraction of the latency objective that a request may wait for a slot.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Multiple of the recent mean answer time that must remain of the latency objective after the
/// wait; most answers arrive within that time.
pub(crate) const MIN_ANSWER_TIMES_LEFT: f64 = 3.0;
/// Safety factor on the estimated wait of a full queue, since the last request in the queue waits
/// for all requests before it.
const QUEUE_SAFETY_FACTOR: f64 = 3.0;
/// Minimum number of wake-ups before the deadline for a request to be held or watched.
const MIN_WAKE_UPS: u64 = 2;

/// Maximum time that a request may wait for a slot, in microseconds. A request sent later would
/// likely be answered too late.
pub(crate) fn max_wait(latency_objective: Micros, recent_latency: f64) -> f64 {
    let objective = latency_objective as f64;
    (objective - MIN_ANSWER_TIMES_LEFT * recent_latency).clamp(0.0, objective * MAX_WAIT_FRACTION)
}

/// Fill level of a queue; at 1 and above, the queue accepts no request. `mean_latency` and
/// `max_wait` are in microseconds.
pub(crate) fn queue_fill(queue_length: usize, mean_latency: f64, limit: f64, max_wait: f64) -> f64 {
    QUEUE_SAFETY_FACTOR * queue_length as f64 * mean_latency / limit / max_wait
}

/// Whether at least two wake-ups, `wake_interval` microseconds apart, remain before the deadline.
pub(crate) fn may_wait(deadline: Micros, wake_interval: Micros, now: Micros) -> bool {
    now + MIN_WAKE_UPS * wake_interval <= deadline
}
