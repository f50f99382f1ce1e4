//! Checks of attempts in flight: whether the backend is silent or dead, and whether the attempt is
//! slow enough to be hedged.
//!
//! Where cancellation does not stop the work, cancelling an attempt frees no capacity, and a hedged
//! request adds load beside the first attempt. A backend is therefore considered dead, and ejected
//! for that reason, only after a silence longer than any working backend would have.

use crate::ids::Micros;

/// Fraction of the useful time after which an attempt is first checked for a silent backend.
const SILENCE_CHECK_FRACTION: f64 = 0.35;
/// Fraction of the useful time after which an attempt is hedged. Dean and Barroso (2013) hedge at a
/// latency quantile instead.
const HEDGE_FRACTION: f64 = 0.6;
/// Number of usual answer intervals without any answer after which a backend is considered dead. At
/// 6, the conclusion is wrong about once in 400.
const DEAD_AFTER_MISSED_ANSWERS: f64 = 6.0;

/// Time of the first check of an attempt that is sent now; `useful_time` is in microseconds.
pub(crate) fn first_check_at(now: Micros, useful_time: f64) -> Micros {
    now + (useful_time * SILENCE_CHECK_FRACTION) as Micros
}

/// State of an attempt in flight at a check.
pub(crate) struct AttemptProgress {
    pub(crate) sent_at: Micros,
    /// Time within which an answer earns its full weight, in microseconds.
    pub(crate) useful_time: f64,
    /// Usual time between two answers of the backend, in microseconds.
    pub(crate) usual_answer_interval: f64,
    /// The backend has answered nothing since the attempt was sent.
    pub(crate) silent: bool,
}

/// Result of a check.
pub(crate) struct CheckResult {
    /// The backend is considered dead.
    pub(crate) dead: bool,
    /// The attempt is slow enough to be hedged.
    pub(crate) slow: bool,
    /// Time of the next check; `None` if no further check is needed.
    pub(crate) next_check_at: Option<Micros>,
}

impl AttemptProgress {
    pub(crate) fn check(&self, now: Micros) -> CheckResult {
        let hedge_at = self.sent_at + (self.useful_time * HEDGE_FRACTION) as Micros;
        let dead_after_micros = DEAD_AFTER_MISSED_ANSWERS * self.usual_answer_interval;
        let dead = self.silent && (now - self.sent_at) as f64 >= dead_after_micros;
        let dead_at = if self.silent {
            self.sent_at + dead_after_micros as Micros + 1
        } else {
            Micros::MAX
        };
        let slow = now >= hedge_at;
        let next_check_at = if dead || (slow && !self.silent) {
            None
        } else if slow {
            Some(dead_at)
        } else {
            Some(hedge_at.min(dead_at))
        };
        CheckResult {
            dead,
            slow,
            next_check_at,
        }
    }
}
