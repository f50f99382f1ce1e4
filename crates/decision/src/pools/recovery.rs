//! Whether a pool fails as a whole, and how it takes its customers back afterwards.
//!
//! A pool that has no ready backend, or fails as a whole, is skipped. A small fraction of the
//! requests still goes to a failing pool, to notice when it works again; requests that must never
//! run twice are not used for that. A pool that has recovered takes its customers back gradually
//! and always in the same order, so that a pool that fails every second keeps only a few of them
//! instead of moving all of them each time.

use crate::ids::Micros;
use serde::{Deserialize, Serialize};

/// Time in which a recovered pool takes back all of its customers, in microseconds: longer than it
/// takes to detect a failure.
const RECOVERY_TIME: Micros = 4_000_000;
/// Fraction of the customers that a recovered pool takes back at once.
const INITIAL_FRACTION: f64 = 0.1;
/// Error rate of recent answers above which a pool counts as failing, and the rate below which it
/// has recovered.
const FAILING_ABOVE: f64 = 0.6;
const WORKING_BELOW: f64 = 0.3;
/// Weight of one answer in the error rate: a few answers are enough to change the verdict.
const ANSWER_WEIGHT: f64 = 0.15;
/// Fraction of the requests that still goes to a failing pool.
const PROBE_FRACTION: f64 = 0.1;

/// The health of a pool as a whole.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct PoolRecovery {
    error_rate: f64,
    failing: bool,
    /// Start of the recovery ramp; `None` if the pool has never been without backends or failing.
    recovering_since: Option<Micros>,
    /// Whether the pool has ever had a ready backend.
    had_members: bool,
}

/// The properties of a request that decide whether a pool accepts it.
pub(super) struct Candidate {
    /// The customer's position in the recovery order, from 0 (first) to 1.
    pub(super) recovery_position: f64,
    /// The request's random number from 0 to 1, which selects the requests for a failing pool.
    pub(super) probe_draw: f64,
    /// Whether the request must never run twice.
    pub(super) not_idempotent: bool,
}

impl PoolRecovery {
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Records a change of the ready backends; true if the pool has some again after having had
    /// none.
    pub(super) fn note_members(&mut self, was_empty: bool, is_empty: bool, now: Micros) -> bool {
        let returned = was_empty && !is_empty && self.had_members;
        if returned {
            // Results from before the pool was empty say nothing about its new backends.
            self.error_rate = 0.0;
            self.failing = false;
            self.recovering_since = Some(now);
        }
        self.had_members |= !is_empty;
        returned
    }

    /// Records the outcome of an attempt sent through the pool.
    pub(super) fn note_outcome(&mut self, failed: bool, now: Micros) {
        self.error_rate += ANSWER_WEIGHT * (f64::from(u8::from(failed)) - self.error_rate);
        if self.failing && self.error_rate < WORKING_BELOW {
            self.failing = false;
            self.recovering_since = Some(now);
        }
        self.failing |= self.error_rate > FAILING_ABOVE;
    }

    /// Whether the pool, which has a ready backend, accepts a request.
    pub(super) fn admits(&self, candidate: &Candidate, now: Micros) -> bool {
        if self.failing {
            return !candidate.not_idempotent && candidate.probe_draw < PROBE_FRACTION;
        }
        let returned = self.recovering_since.map_or(1.0, |since| {
            INITIAL_FRACTION + (now - since) as f64 / RECOVERY_TIME as f64
        });
        candidate.recovery_position < returned
    }
}
