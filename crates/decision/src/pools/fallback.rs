//! Fallback traffic in a pool: requests that belong to other pools.
//!
//! A fraction of each pool is reserved for its own requests, so that fallback traffic cannot
//! overload it. The pressure reported for fallback traffic is tracked separately, so that the
//! pool's own requests are not shed because of it.

use crate::ids::Micros;
use crate::load_shedding::{mean_pressure, retained_weight, PRESSURE_HIGH, PRESSURE_LOW};
use crate::numeric::decay;
use serde::{Deserialize, Serialize};

/// Fraction of a pool's concurrency limit that its own requests and fallback traffic may use
/// together before further fallback traffic is refused.
const MAX_FALLBACK_FRACTION: f64 = 0.7;
/// Time constant, in seconds, with which the peak load of a pool's own requests and the pressure of
/// fallback traffic decay: longer than requests take.
const FALLBACK_TIME_CONSTANT_S: f64 = 3.0;

/// The fallback traffic of a pool, and the capacity that the pool's own requests need.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct FallbackTraffic {
    in_flight: u32,
    pressure: f64,
    pressure_at: Micros,
    /// Recent peak of the concurrency slots that the pool's own requests take, as of `own_peak_at`.
    own_peak: f64,
    own_peak_at: Micros,
}

impl FallbackTraffic {
    /// Number of attempts of the pool's own requests among the `total` in flight in the pool.
    pub(super) fn own_in_flight(&self, total: u32) -> u32 {
        total - self.in_flight.min(total)
    }

    pub(super) fn note_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn release(&mut self, fallback: bool) {
        self.in_flight = self.in_flight.saturating_sub(u32::from(fallback));
    }

    /// Records the slots that the pool's own requests take now.
    pub(super) fn note_own_load(&mut self, load: f64, now: Micros) {
        self.own_peak = self.own_peak(load, now);
        self.own_peak_at = now;
    }

    fn own_peak(&self, load: f64, now: Micros) -> f64 {
        load.max(self.own_peak * decay(self.own_peak_at, now, FALLBACK_TIME_CONSTANT_S))
    }

    /// Adds the pressure of one answer of fallback traffic.
    pub(super) fn note_pressure(&mut self, pressure: f64, now: Micros) {
        let retained = retained_weight(self.pressure_at, now);
        self.pressure = mean_pressure(self.pressure, pressure, retained);
        self.pressure_at = now;
    }

    /// Fraction of the pool that fallback traffic may use: what the recent peak of the pool's own
    /// requests leaves free, minus a reserve for the growth of own requests.
    pub(super) fn usable_fraction(&self, limit: f64, own_load: f64, now: Micros) -> f64 {
        (MAX_FALLBACK_FRACTION - self.own_peak(own_load, now) / limit).max(0.0)
    }

    /// Whether the limit has room for one more request of fallback traffic.
    pub(super) fn has_room(&self, limit: f64, own_load: f64, now: Micros) -> bool {
        f64::from(self.in_flight) < limit * self.usable_fraction(limit, own_load, now)
    }

    /// Whether the pressure of the pool's own requests is low and that of fallback traffic is not
    /// high.
    pub(super) fn is_calm(&self, own_pressure: f64, now: Micros) -> bool {
        let pressure = self.pressure * decay(self.pressure_at, now, FALLBACK_TIME_CONSTANT_S);
        own_pressure < PRESSURE_LOW && pressure < PRESSURE_HIGH
    }
}
