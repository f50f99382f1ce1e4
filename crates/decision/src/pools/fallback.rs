//! Fallback traffic in a pool: requests whose own pools are others.
//!
//! A part of each pool is kept for its own requests, so that what falls back on it cannot push it
//! over. What fallback traffic finds is no pressure of the pool's own requests either: these are
//! not cut for it.

use crate::ids::Micros;
use crate::load_shedding::{memory_of, weigh_pressure, PRESSURE_HIGH, PRESSURE_LOW};
use crate::numeric::decay;
use serde::{Deserialize, Serialize};

/// The part of a pool's limit up to which it takes what others can't (ours).
const OVERFLOW_PART: f64 = 0.7;
/// The memory of what a pool's own requests need of it, in seconds: longer than these take (ours).
const NEED_TIME_CONSTANT: f64 = 3.0;

/// The fallback traffic of a pool, and what its own requests leave it.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct FallbackTraffic {
    in_flight: u32,
    pressure: f64,
    pressure_at: Micros,
    /// The most slots that the pool's own requests have taken of late.
    own_need: f64,
    own_need_at: Micros,
}

impl FallbackTraffic {
    /// Of all attempts in flight, those of the pool's own requests.
    pub(super) fn own_in_flight(&self, all: u32) -> u32 {
        all - self.in_flight.min(all)
    }

    pub(super) fn note_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn release(&mut self, fallback: bool) {
        self.in_flight = self.in_flight.saturating_sub(u32::from(fallback));
    }

    /// Notes the slots that the pool's own requests take.
    pub(super) fn note_own_load(&mut self, load: f64, now: Micros) {
        self.own_need = self.own_need(load, now);
        self.own_need_at = now;
    }

    fn own_need(&self, load: f64, now: Micros) -> f64 {
        load.max(self.own_need * decay(self.own_need_at, now, NEED_TIME_CONSTANT))
    }

    /// Notes what an answer of fallback traffic says.
    pub(super) fn note_pressure(&mut self, pressure: f64, now: Micros) {
        let keep = memory_of(self.pressure_at, now);
        self.pressure = weigh_pressure(self.pressure, pressure, keep);
        self.pressure_at = now;
    }

    /// The part of the pool that it may use: what the pool's own requests leave of it, but for some
    /// to grow into.
    pub(super) fn part(&self, limit: f64, own_load: f64, now: Micros) -> f64 {
        (OVERFLOW_PART - self.own_need(own_load, now) / limit).max(0.0)
    }

    /// Whether one more may come by the room that there is.
    pub(super) fn has_room(&self, limit: f64, own_load: f64, now: Micros) -> bool {
        f64::from(self.in_flight) < limit * self.part(limit, own_load, now)
    }

    /// Whether neither the pool's own requests nor the fallback traffic are pressed.
    pub(super) fn is_calm(&self, own_pressure: f64, now: Micros) -> bool {
        let pressure = self.pressure * decay(self.pressure_at, now, NEED_TIME_CONSTANT);
        own_pressure < PRESSURE_LOW && pressure < PRESSURE_HIGH
    }
}
