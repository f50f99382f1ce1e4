//! Load shedding: the pressure of a pool, the level that it has reached, and which customers that
//! level rejects.
//!
//! The levels are the steps of the paper (table I): with each one a smaller fraction of the
//! customers on the cheaper plans passes, those on the dearest plan always do. Which customers are
//! cut is fixed for an epoch and alike at all gateways: a coin for each request would admit
//! rejected clients' retries, too late to earn anything, until they fill the backends and cause the
//! next rejections.

use crate::ids::{CustomerId, Micros};
use crate::numeric::{decay, unit_hash};
use crate::settings::Plan;
use serde::{Deserialize, Serialize};

/// The fraction of customers that passes, by level (paper, table I).
const PASSING: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// The last level, at which only the dearest plan passes (paper, table I).
const LAST_LEVEL: usize = 4;
/// Customers that were unseen for long pass below this level (paper, table I).
const NEW_CUSTOMERS_CUT_FROM: usize = 2;
/// The least stay on a level before the next one up, in microseconds, so that its effect is seen
/// (ours).
pub(crate) const RAISE_AFTER: Micros = 1_500_000;
/// The least stay on a level before the next one down, in microseconds (ours).
const LOWER_AFTER: Micros = 2_000_000;
/// How long the same customers are cut, in microseconds: longer than clients retry (ours).
const EPOCH: Micros = 10_000_000;
/// The pressure that raises the level (ours).
pub(crate) const PRESSURE_HIGH: f64 = 1.0;
/// The pressure below which the level falls (ours): between the two nothing moves.
pub(crate) const PRESSURE_LOW: f64 = 0.75;
/// The memory of the pressure in seconds: some dozen answers (ours).
pub(crate) const PRESSURE_TIME_CONSTANT: f64 = 1.0;
/// An answer weighs on the pressure by its time over this fraction of its latency objective: one in
/// ten is late then. Not by its time on calm servers: what slows all alike no shedding mends, and
/// cutting for it served less (ours).
const OBJECTIVE_FRACTION: f64 = 0.5;
/// What one answer may weigh at most, in pressure and in slowdown (ours).
const MAX_PRESSURE: f64 = 4.0;
const MAX_SLOWDOWN: f64 = 10.0;
/// The most that the memory keeps at an answer: one that comes at once after another has some
/// weight, too (ours).
const MAX_KEPT: f64 = 0.98;
/// The fraction of requests rejected for want of capacity that raises the level while the pressure
/// is not low (ours).
const REJECTED_HIGH: f64 = 0.05;
/// The weight of one request in that fraction (ours).
const REJECTED_WEIGHT: f64 = 0.05;

/// What one answer says of the load of its pool.
#[derive(Clone, Copy)]
pub(crate) struct PressureSample {
    /// The answer's time over what is wanted of its class; 1 is the most that is well.
    pub(crate) pressure: f64,
    /// The answer's time over its class's time on calm servers.
    pub(crate) slowdown: f64,
}

impl PressureSample {
    /// A backend that rejected an attempt unseen: as bad as an answer at twice what is wanted.
    pub(crate) const REJECTED: PressureSample = PressureSample {
        pressure: 2.0,
        slowdown: 7.0,
    };

    /// An answer after `elapsed` microseconds of a class with this latency objective.
    pub(crate) fn of_answer(elapsed: f64, objective: f64, slowdown: f64) -> PressureSample {
        PressureSample {
            pressure: elapsed / (objective * OBJECTIVE_FRACTION),
            slowdown,
        }
    }
}

/// A change of the level.
pub(crate) struct LevelChange {
    pub(crate) from: usize,
    pub(crate) to: usize,
}

/// The pressure of a pool and its level.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct LoadShedding {
    pressure: f64,
    pressure_at: Micros,
    slowdown: f64,
    /// The recent fraction of requests inside their quota that found no capacity.
    rejected: f64,
    level: usize,
    level_since: Micros,
}

impl LoadShedding {
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Answers' times over those on calm servers.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    pub(crate) fn level(&self) -> usize {
        self.level
    }

    /// Notes an answer.
    pub(crate) fn note(&mut self, sample: PressureSample, now: Micros) {
        let keep = memory_of(self.pressure_at, now);
        self.pressure = weigh(self.pressure, sample.pressure, MAX_PRESSURE, keep);
        self.slowdown = weigh(self.slowdown, sample.slowdown, MAX_SLOWDOWN, keep);
        self.pressure_at = now;
    }

    /// Notes a request inside its quota: `without_capacity` where it is rejected for want of
    /// capacity.
    pub(crate) fn note_rejected(&mut self, without_capacity: bool) {
        let hit = f64::from(u8::from(without_capacity));
        self.rejected += REJECTED_WEIGHT * hit * (1.0 - self.rejected);
    }

    /// Notes a request that was admitted.
    pub(crate) fn note_admitted(&mut self) {
        self.rejected -= REJECTED_WEIGHT * self.rejected;
    }

    /// Moves the level by at most one step.
    pub(crate) fn step(&mut self, now: Micros) -> Option<LevelChange> {
        let since = now - self.level_since;
        let from = self.level;
        // Rejections alone hold no alert up: cutting causes rejections, and the backends may be
        // idle behind them.
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

    /// Forgets what was felt of backends that are gone: it says nothing of those that came.
    pub(crate) fn forget(&mut self) {
        self.pressure = 0.0;
        self.slowdown = 0.0;
        self.level = 0;
    }
}

/// The weight that what is known keeps when an answer comes.
pub(crate) fn memory_of(noted_at: Micros, now: Micros) -> f64 {
    decay(noted_at, now, PRESSURE_TIME_CONSTANT).min(MAX_KEPT)
}

/// A mean with one more value, of which no more than `most` counts.
fn weigh(mean: f64, value: f64, most: f64, keep: f64) -> f64 {
    mean * keep + value.min(most) * (1.0 - keep)
}

/// The pressure that one more answer of fallback traffic leaves.
pub(crate) fn weigh_pressure(mean: f64, pressure: f64, keep: f64) -> f64 {
    weigh(mean, pressure, MAX_PRESSURE, keep)
}

/// A customer's draw from 0 to 1 in the epoch of `now`, alike at all gateways.
pub(crate) fn customer_draw(customer: CustomerId, now: Micros) -> f64 {
    unit_hash(customer.0 ^ (now / EPOCH) << 33)
}

/// Whether a level lets a customer's requests pass. It hurts those cut for a whole epoch.
pub(crate) fn level_admits(
    level: usize,
    plans: &[Plan],
    plan: usize,
    customer: CustomerId,
    new_customer: bool,
    now: Micros,
) -> bool {
    if level == 0 || (new_customer && level < NEW_CUSTOMERS_CUT_FROM) {
        return true;
    }
    let factors = plans.iter().map(|p| p.weight_factor);
    let dearest = factors.fold(f64::MIN, f64::max);
    let differ = plans.iter().any(|p| p.weight_factor < dearest);
    let passing = if level == LAST_LEVEL && differ {
        0.0
    } else {
        PASSING[level.min(3)]
    };
    let preferred = differ && plans[plan].weight_factor >= dearest;
    preferred || customer_draw(customer, now) < passing
}
