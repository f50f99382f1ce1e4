//! When an attempt is looked at again: as silent, as dead, or as slow enough to be hedged.
//!
//! Cancelling frees nothing where work runs on, and a hedged request runs beside the first attempt:
//! only a silence that no backend at work would keep is taken for death, and for that alone a
//! backend is ejected.

use crate::ids::Micros;

/// The part of an answer's useful time after which it is asked whether a backend is silent (ours).
const SILENCE_FRACTION: f64 = 0.35;
/// The part of an answer's useful time after which an attempt is hedged (ours; Dean and Barroso
/// 2013 hedge at a quantile).
const HEDGE_FRACTION: f64 = 0.6;
/// The usual answers missed from which a backend counts as dead: wrong once in 400 (ours).
const ANSWERS_MISSED: f64 = 6.0;

/// When an attempt that is sent now is first looked at; `useful_time` in microseconds.
pub(crate) fn first_check_at(now: Micros, useful_time: f64) -> Micros {
    now + (useful_time * SILENCE_FRACTION) as Micros
}

/// An attempt in flight as it stands at a check.
pub(crate) struct AttemptProgress {
    pub(crate) sent_at: Micros,
    /// How long an answer is worth something, in microseconds.
    pub(crate) useful_time: f64,
    /// The time between two answers of its backend, in microseconds.
    pub(crate) usual_gap: f64,
    /// Nothing was heard of its backend since it was sent.
    pub(crate) silent: bool,
}

/// What a check finds of an attempt.
pub(crate) struct CheckVerdict {
    /// Its backend counts as dead.
    pub(crate) dead: bool,
    /// It is slow enough to be hedged.
    pub(crate) slow: bool,
    /// When to look at it again; none for never.
    pub(crate) check_at: Option<Micros>,
}

impl AttemptProgress {
    pub(crate) fn check(&self, now: Micros) -> CheckVerdict {
        let hedge_at = self.sent_at + (self.useful_time * HEDGE_FRACTION) as Micros;
        let silence = ANSWERS_MISSED * self.usual_gap;
        let dead = self.silent && (now - self.sent_at) as f64 >= silence;
        let dead_at = if self.silent {
            self.sent_at + silence as Micros + 1
        } else {
            Micros::MAX
        };
        let slow = now >= hedge_at;
        let check_at = if dead || (slow && !self.silent) {
            None
        } else if slow {
            Some(dead_at)
        } else {
            Some(hedge_at.min(dead_at))
        };
        CheckVerdict {
            dead,
            slow,
            check_at,
        }
    }
}
