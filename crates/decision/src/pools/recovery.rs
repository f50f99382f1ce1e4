//! Whether a pool fails as a whole, and how it takes its customers back afterwards.
//!
//! A pool that has nobody ready, or fails as a whole, is passed over. A trickle still goes to one
//! that fails, to see when it is back; what must never run twice is not used for that. One that is
//! back takes its customers back step by step, the same ones first each time: one that comes and
//! goes each second keeps few of them, instead of all of them moving each time.

use crate::ids::Micros;
use serde::{Deserialize, Serialize};

/// How long a pool that is back takes to have all of its customers again, in microseconds: longer
/// than it takes to see that it is gone (ours).
const RECOVERY_TIME: Micros = 4_000_000;
/// The fraction that comes back at once (ours).
const INITIAL_FRACTION: f64 = 0.1;
/// The error rate of recent answers from which a pool fails as a whole, and the one at which it is
/// back (ours).
const FAILING_FROM: f64 = 0.6;
const WORKING_BELOW: f64 = 0.3;
/// The weight of an answer in that rate: a handful tells (ours).
const ANSWER_WEIGHT: f64 = 0.15;
/// The fraction of requests that goes to a pool that fails (ours).
const TRICKLE: f64 = 0.1;

/// How a pool fares as a whole.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct PoolRecovery {
    error_rate: f64,
    failing: bool,
    /// Since when it takes its customers back; none where it has them all, as from the start on.
    recovering_since: Option<Micros>,
    /// It has had a backend before.
    had_members: bool,
}

/// A request as it chooses among pools.
pub(super) struct Candidate {
    /// The customer's place in the order in which they come back, from 0 to 1.
    pub(super) customer: f64,
    /// The request's draw for the trickle, from 0 to 1.
    pub(super) draw: f64,
    /// It must never run twice.
    pub(super) not_idempotent: bool,
}

impl PoolRecovery {
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Its ready backends changed; true if it is back after it had none.
    pub(super) fn note_members(&mut self, was_empty: bool, is_empty: bool, now: Micros) -> bool {
        let returned = was_empty && !is_empty && self.had_members;
        if returned {
            // What was seen before it was gone says nothing of those that came.
            self.error_rate = 0.0;
            self.failing = false;
            self.recovering_since = Some(now);
        }
        self.had_members |= !is_empty;
        returned
    }

    /// Notes how an attempt of its own ended.
    pub(super) fn note(&mut self, failed: bool, now: Micros) {
        self.error_rate += ANSWER_WEIGHT * (f64::from(u8::from(failed)) - self.error_rate);
        if self.failing && self.error_rate < WORKING_BELOW {
            self.failing = false;
            self.recovering_since = Some(now);
        }
        self.failing |= self.error_rate > FAILING_FROM;
    }

    /// Whether a request may go to the pool, which has somebody ready.
    pub(super) fn admits(&self, candidate: &Candidate, now: Micros) -> bool {
        if self.failing {
            return !candidate.not_idempotent && candidate.draw < TRICKLE;
        }
        let returned = self.recovering_since.map_or(1.0, |since| {
            INITIAL_FRACTION + (now - since) as f64 / RECOVERY_TIME as f64
        });
        candidate.customer < returned
    }
}
