//! Adaptive concurrency limit of a pool: how many attempts this gateway may have in flight in it.
//!
//! The limit per backend uses additive increase and multiplicative decrease. It grows while it is
//! binding and answers are as fast as on uncongested servers, and is cut while the pressure of the
//! pool is too high (after TCP Vegas and Netflix's concurrency limits).

use crate::ids::Micros;
use crate::load_shedding::{LoadShedding, PRESSURE_HIGH, PRESSURE_LOW, PRESSURE_TIME_CONSTANT};
use crate::numeric::MICROS_PER_SECOND;
use serde::{Deserialize, Serialize};

/// Initial attempts in flight per backend, over all gateways: two per core of a backend with two
/// cores.
pub(crate) const INITIAL_PER_BACKEND: f64 = 4.0;
/// Divisor of the initial limit that gives the minimum limit per backend.
const MAX_CUT_RATIO: f64 = 6.0;
/// Factor applied to the limit by one cut.
const CUT_FACTOR: f64 = 0.85;
/// Number of standard deviations by which a gateway may exceed its share of the limit; random
/// variation alone seldom exceeds this.
const ALLOWED_DEVIATIONS: f64 = 3.0;
/// Maximum ratio of the mean answer time to that on uncongested servers at which the limit may
/// grow.
const GROWTH_SLOWDOWN: f64 = 1.05;
/// Fraction of the limit that must be in use for the limit to count as binding.
const BINDING_FRACTION: f64 = 0.7;

/// Adaptive limit of a pool, per backend and over all gateways.
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

    /// Number of attempts that this gateway may have in flight in a pool of the given capacity. The
    /// limit follows the capacity so that remaining backends do not inherit the load of failed
    /// ones, warm backends that of backends warming up, or fast backends that of slow ones.
    ///
    /// The load of one gateway varies around its share in proportion to the square root of that
    /// share. A gateway may exceed its share by that variation, since the variations of many
    /// gateways cancel out; the allowance shrinks to zero as the pressure rises.
    pub(crate) fn value(&self, capacity: f64, pressure: f64, gateways: f64) -> f64 {
        let share = self.per_backend * capacity / gateways;
        let headroom = (PRESSURE_HIGH - pressure).max(0.0);
        (share + ALLOWED_DEVIATIONS * headroom * (share * (1.0 - 1.0 / gateways)).sqrt()).max(1.0)
    }

    /// Grows the limit after an answer if the limit is binding and the pool is calm. `limit` is
    /// this gateway's limit before the answer.
    pub(crate) fn grow(&mut self, shedding: &LoadShedding, in_flight: f64, limit: f64) {
        // Below its initial value, the limit grows at any pressure that is low enough to lower the
        // load-shedding level. Otherwise a limit that was cut once would stay low.
        let calm = if self.per_backend < INITIAL_PER_BACKEND {
            shedding.pressure() < PRESSURE_LOW
        } else {
            shedding.slowdown() < GROWTH_SLOWDOWN
        };
        if calm && in_flight > limit * BINDING_FRACTION {
            self.per_backend *= 1.0 + 2.0 / limit.max(2.0).powi(2);
        }
    }

    /// Cuts the limit if the pressure is high, at most once per time constant of the pressure:
    /// answers to attempts sent before a cut must not cause the next cut.
    pub(crate) fn cut(&mut self, pressure: f64, now: Micros) {
        let min_interval = (PRESSURE_TIME_CONSTANT * MICROS_PER_SECOND) as Micros;
        if pressure > PRESSURE_HIGH && now - self.cut_at > min_interval {
            self.per_backend =
                (self.per_backend * CUT_FACTOR).max(INITIAL_PER_BACKEND / MAX_CUT_RATIO);
            self.cut_at = now;
        }
    }
}
