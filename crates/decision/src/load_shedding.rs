//! Load shedding: the pressure of a pool, its load-shedding level, and the customers that each
//! level rejects.
//!
//! The levels are those of the paper (table I): each admits a smaller fraction of the customers on
//! plans other than the most expensive one; customers on that plan are always admitted. The
//! rejected customers stay the same for an epoch, at all gateways. Deciding at random for each
//! request instead would admit retries of rejected clients, too late to earn anything, until these
//! fill the backends and cause further rejections.

use crate::ids::{CustomerId, Micros};
use crate::numeric::{decay, unit_hash};
use crate::settings::Plan;
use serde::{Deserialize, Serialize};

/// Fraction of customers admitted, by level (paper, table I).
const ADMITTED_FRACTION: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// The highest level, which admits only customers on the most expensive plan (paper, table I).
const LAST_LEVEL: usize = 4;
/// New customers are admitted below this level (paper, table I).
const NEW_CUSTOMERS_REJECTED_FROM: usize = 2;
/// Minimum time on a level before it rises, in microseconds, so that the effect of the level is
/// seen first.
pub(crate) const RAISE_AFTER: Micros = 1_500_000;
/// Minimum time on a level before it falls, in microseconds.
const LOWER_AFTER: Micros = 2_000_000;
/// How long the same customers are rejected, in microseconds: longer than clients keep retrying.
const EPOCH_LENGTH: Micros = 10_000_000;
/// Pressure above which the level rises.
pub(crate) const PRESSURE_HIGH: f64 = 1.0;
/// Pressure below which the level falls. Between the two thresholds the level stays, unless
/// requests are rejected for lack of capacity.
pub(crate) const PRESSURE_LOW: f64 = 0.75;
/// Time constant of the pressure in seconds; about a dozen answers arrive in that time.
pub(crate) const PRESSURE_TIME_CONSTANT: f64 = 1.0;
/// Pressure 1 is a mean answer time of this fraction of the latency objective: about one in ten
/// answers is then late. The pressure is not relative to the time on calm servers, because shedding
/// cannot remedy a slowdown that affects all requests alike, and rejecting requests for it served
/// fewer of them.
const OBJECTIVE_FRACTION: f64 = 0.5;
/// Upper bounds on the pressure and the slowdown of one answer.
const MAX_PRESSURE: f64 = 4.0;
const MAX_SLOWDOWN: f64 = 10.0;
/// Upper bound on the weight that the mean keeps when an answer arrives, so that answers that
/// arrive together also count.
const MAX_RETAINED: f64 = 0.98;
/// Fraction of requests rejected for lack of capacity above which the level rises, if the pressure
/// is not low.
const REJECTED_HIGH: f64 = 0.05;
/// Weight of one request in that fraction.
const REJECTED_WEIGHT: f64 = 0.05;

/// The load of a pool as seen by one answer.
#[derive(Clone, Copy)]
pub(crate) struct PressureSample {
    /// Ratio of the answer's time to the target for its class; 1 is the highest acceptable value.
    pub(crate) pressure: f64,
    /// Ratio of the answer's time to that of its class on calm servers.
    pub(crate) slowdown: f64,
}

impl PressureSample {
    /// The sample for an attempt that a backend rejected without running it: as bad as an answer
    /// that took twice the target.
    pub(crate) const REJECTED: PressureSample = PressureSample {
        pressure: 2.0,
        slowdown: 7.0,
    };

    /// The sample for an answer after `elapsed` microseconds, for a class with this latency
    /// objective in microseconds.
    pub(crate) fn of_answer(elapsed: f64, objective: f64, slowdown: f64) -> PressureSample {
        PressureSample {
            pressure: elapsed / (objective * OBJECTIVE_FRACTION),
            slowdown,
        }
    }
}

/// A change of the load-shedding level.
pub(crate) struct LevelChange {
    pub(crate) from: usize,
    pub(crate) to: usize,
}

/// The pressure and the load-shedding level of a pool.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct LoadShedding {
    pressure: f64,
    pressure_at: Micros,
    slowdown: f64,
    /// Recent fraction of requests within their quota that found no capacity.
    rejected: f64,
    level: usize,
    level_since: Micros,
}

impl LoadShedding {
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Mean ratio of answer times to those on calm servers.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    pub(crate) fn level(&self) -> usize {
        self.level
    }

    /// Adds an answer to the pressure and the slowdown.
    pub(crate) fn note_answer(&mut self, sample: PressureSample, now: Micros) {
        let retained = retained_weight(self.pressure_at, now);
        self.pressure = bounded_mean(self.pressure, sample.pressure, MAX_PRESSURE, retained);
        self.slowdown = bounded_mean(self.slowdown, sample.slowdown, MAX_SLOWDOWN, retained);
        self.pressure_at = now;
    }

    /// Records a rejected request; `without_capacity` if it was within its quota and rejected for
    /// lack of capacity.
    pub(crate) fn note_rejected(&mut self, without_capacity: bool) {
        let increase = f64::from(u8::from(without_capacity));
        self.rejected += REJECTED_WEIGHT * increase * (1.0 - self.rejected);
    }

    /// Records an admitted request.
    pub(crate) fn note_admitted(&mut self) {
        self.rejected -= REJECTED_WEIGHT * self.rejected;
    }

    /// Raises or lowers the level by one step if the pressure requires it.
    pub(crate) fn step(&mut self, now: Micros) -> Option<LevelChange> {
        let since = now - self.level_since;
        let from = self.level;
        // Rejections at low pressure do not raise the level: load shedding itself causes
        // rejections, and the backends may be idle meanwhile.
        let rejecting = self.pressure > PRESSURE_LOW && self.rejected > REJECTED_HIGH;
        if (self.pressure > PRESSURE_HIGH || rejecting) && since > RAISE_AFTER && from < LAST_LEVEL
        {
            self.level += 1;
        } else if self.pressure < PRESSURE_LOW && since > LOWER_AFTER && from > 0 {
            self.level -= 1;
        }
        if self.level == from {
            return None;
        }
        self.level_since = now;
        let to = self.level;
        Some(LevelChange { from, to })
    }

    /// Resets the pressure and the level when a pool that had lost all of its backends has some
    /// again: the old values say nothing about the new backends.
    pub(crate) fn reset(&mut self) {
        self.pressure = 0.0;
        self.slowdown = 0.0;
        self.level = 0;
    }
}

/// Weight, from 0 to [`MAX_RETAINED`], that a mean keeps when an answer arrives.
pub(crate) fn retained_weight(noted_at: Micros, now: Micros) -> f64 {
    decay(noted_at, now, PRESSURE_TIME_CONSTANT).min(MAX_RETAINED)
}

/// Adds a value, limited to `max`, to a mean that keeps the weight `retained`.
fn bounded_mean(mean: f64, value: f64, max: f64, retained: f64) -> f64 {
    mean * retained + value.min(max) * (1.0 - retained)
}

/// The mean pressure after one more answer with this pressure.
pub(crate) fn mean_pressure(mean: f64, pressure: f64, retained: f64) -> f64 {
    bounded_mean(mean, pressure, MAX_PRESSURE, retained)
}

/// A customer's random number from 0 to 1 for the epoch of `now`, the same at all gateways.
pub(crate) fn customer_draw(customer: CustomerId, now: Micros) -> f64 {
    unit_hash(customer.0 ^ (now / EPOCH_LENGTH) << 33)
}

/// Whether a load-shedding level admits a customer's requests. Rejected customers stay rejected for
/// a whole epoch.
pub(crate) fn level_admits(
    level: usize,
    plans: &[Plan],
    plan: usize,
    customer: CustomerId,
    new_customer: bool,
    now: Micros,
) -> bool {
    if level == 0 || (new_customer && level < NEW_CUSTOMERS_REJECTED_FROM) {
        return true;
    }
    let factors = plans.iter().map(|p| p.weight_factor);
    let highest_factor = factors.fold(f64::MIN, f64::max);
    let differ = plans.iter().any(|p| p.weight_factor < highest_factor);
    let admitted_fraction = if level == LAST_LEVEL && differ {
        0.0
    } else {
        ADMITTED_FRACTION[level.min(3)]
    };
    let preferred = differ && plans[plan].weight_factor >= highest_factor;
    preferred || customer_draw(customer, now) < admitted_fraction
}
