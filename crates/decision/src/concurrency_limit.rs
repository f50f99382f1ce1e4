//! The concurrency limit of a pool: how many attempts this gateway may have in flight through it.
//!
//! The limit is adaptive, additive increase and multiplicative decrease on the attempts per
//! backend: it grows while it binds and answers come as fast as on calm servers, and is cut while
//! the pool's pressure is too high (ours, after TCP Vegas and Netflix's concurrency limits).

use crate::ids::Micros;
use crate::load_shedding::{LoadShedding, PRESSURE_HIGH, PRESSURE_LOW, PRESSURE_TIME_CONSTANT};
use crate::numeric::MICROS_PER_SECOND;
use serde::{Deserialize, Serialize};

/// Attempts in flight per backend, by all gateways, to begin with: two cores, twice over (ours).
pub(crate) const INITIAL_PER_BACKEND: f64 = 4.0;
/// The limit per backend is never cut below this part of the initial one (ours).
const LEAST_PART: f64 = 6.0;
/// The factor of one cut (ours).
const CUT: f64 = 0.85;
/// Standard deviations of a gateway's own part of the limit that it may go beyond it, which chance
/// alone seldom passes (ours).
const DEVIATIONS: f64 = 3.0;
/// The mean answer time over the calm one up to which a limit that binds may grow (ours).
const GROWTH_SLOWDOWN: f64 = 1.05;
/// The part of the limit in use from which it counts as binding (ours).
const BINDING: f64 = 0.7;

/// The adaptive limit of a pool, per backend and over all gateways.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct ConcurrencyLimit {
    per_backend: f64,
    cut_at: Micros,
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> ConcurrencyLimit {
        ConcurrencyLimit {
            per_backend: INITIAL_PER_BACKEND,
            cut_at: 0,
        }
    }

    /// The attempts that this gateway may have in flight through a pool of such a capacity: those
    /// left when backends fail must not inherit their load, nor the warm that of the warming up,
    /// nor the quick that of the slow. A gateway's part of all attempts varies by its root, and so
    /// far it may go beyond that: the variations of many cancel out, unless all gateways are
    /// pressed.
    pub(crate) fn value(&self, capacity: f64, pressure: f64, gateways: f64) -> f64 {
        let part = self.per_backend * capacity / gateways;
        let calm = (PRESSURE_HIGH - pressure).max(0.0);
        (part + DEVIATIONS * calm * (part * (1.0 - 1.0 / gateways)).sqrt()).max(1.0)
    }

    /// Grows the limit after an answer, where it binds and the pool is calm; `limit` is its value
    /// before the answer.
    pub(crate) fn grow(&mut self, shedding: &LoadShedding, in_flight: f64, limit: f64) {
        // Back to where it began at any pressure short of an alert: else a limit once cut stays
        // cut.
        let calm = if self.per_backend < INITIAL_PER_BACKEND {
            shedding.pressure() < PRESSURE_LOW
        } else {
            shedding.slowdown() < GROWTH_SLOWDOWN
        };
        if calm && in_flight > limit * BINDING {
            self.per_backend *= 1.0 + 2.0 / limit.max(2.0).powi(2);
        }
    }

    /// Cuts the limit where the pressure is high, once in a memory of the pressure: answers to what
    /// was sent before a cut must not cause the next one.
    pub(crate) fn cut(&mut self, pressure: f64, now: Micros) {
        let memory = (PRESSURE_TIME_CONSTANT * MICROS_PER_SECOND) as Micros;
        if pressure > PRESSURE_HIGH && now - self.cut_at > memory {
            self.per_backend = (self.per_backend * CUT).max(INITIAL_PER_BACKEND / LEAST_PART);
            self.cut_at = now;
        }
    }
}
