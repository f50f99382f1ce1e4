//! The hard ceiling of a customer on one gateway: a part of a token bucket, of which no unit is
//! given out twice.
//!
//! A part of the ceiling is split among the customer's gateways for good, the rest lies with its
//! two quota owners, who grant units on demand.

use super::quota::ROUNDING;
use crate::ids::Micros;
use crate::numeric::MICROS_PER_SECOND;
use crate::settings::Plan;

/// The part of a ceiling that lies with the two owners (ours).
const POOLED_PART: f64 = 0.5;
/// The part of that which lies with the first of them where it is asked first (ours).
const FIRST_OWNER_PART: f64 = 0.75;
/// The least part of a ceiling by which waits are reckoned.
const LEAST_PART: f64 = 0.01;

/// This gateway's part of a customer's ceiling.
#[derive(Default)]
pub(crate) struct CeilingAccount {
    pub(super) tokens: f64,
    /// This gateway's part of the whole, from 0 to 1.
    pub(super) part: f64,
    /// Units granted for the requests that are held, and for those alone.
    pub(super) granted: f64,
}

/// How the ceiling of a customer is split.
pub(crate) struct CeilingSplit {
    pub(crate) gateway_span: f64,
    /// Which of the two owners this gateway is; it may be both, or neither.
    pub(crate) is_owner: [bool; 2],
    /// In a small deployment both owners are asked alike.
    pub(crate) every_gateway_owns: bool,
    /// The time since this gateway's start, in microseconds.
    pub(crate) uptime: Micros,
}

impl CeilingAccount {
    /// Fixes this gateway's part. It counts from nothing at its start: what went before is not
    /// known here.
    pub(crate) fn allot(&mut self, plan: &Plan, split: &CeilingSplit) {
        // Where a part is less than a unit it would serve nobody.
        let useless = plan.ceiling_burst * (1.0 - POOLED_PART) < split.gateway_span;
        let pooled = if useless { 1.0 } else { POOLED_PART };
        let first = if split.every_gateway_owns {
            0.5
        } else {
            FIRST_OWNER_PART
        };
        let parts = [first, 1.0 - first].into_iter().zip(split.is_owner);
        let own: f64 = parts.filter(|(_, own)| *own).map(|(part, _)| part).sum();
        self.part = (1.0 - pooled) / split.gateway_span + pooled * own;
        let refilled = plan.ceiling_rate * split.uptime as f64 / MICROS_PER_SECOND;
        self.tokens = refilled.min(plan.ceiling_burst) * self.part;
    }

    /// Refills it after so many seconds.
    pub(crate) fn refill(&mut self, seconds: f64, plan: &Plan) {
        self.tokens = (self.tokens + plan.ceiling_rate * self.part * seconds)
            .min(plan.ceiling_burst * self.part);
    }

    /// Carries it over to another plan's figures; without a ceiling before it counts from nothing,
    /// as at a start.
    pub(crate) fn carry_over(&mut self, new: &Plan) {
        self.tokens = self.tokens.min(new.ceiling_burst * self.part);
    }

    /// Draws units, granted ones first, or gives them back where they are negative.
    pub(crate) fn draw(&mut self, units: f64, plan: &Plan) {
        let granted = units.clamp(0.0, self.granted);
        self.granted -= granted;
        let most = plan.ceiling_burst * self.part;
        // Without a ceiling no debt grows.
        self.tokens = (self.tokens - units + granted).clamp(-most, most);
    }

    /// Seconds until there may be so many units; none where there are now, or no ceiling.
    pub(crate) fn wait_for_tokens(&self, units: f64, plan: &Plan) -> Option<f64> {
        let has = self.tokens + self.granted;
        let short = plan.ceiling_rate > 0.0 && has + ROUNDING < units;
        short.then(|| (units - has) / (plan.ceiling_rate * self.part.max(LEAST_PART)))
    }

    /// Hands units over to another gateway, if there are so many: deducted here first, so that a
    /// lost message loses them.
    pub(crate) fn hand_over(&mut self, units: f64, carried: f64) -> f64 {
        let handed = if self.tokens >= units { carried } else { 0.0 };
        self.tokens -= handed;
        handed
    }

    /// Takes units that another gateway handed over.
    pub(crate) fn grant(&mut self, units: f64) {
        self.granted += units;
    }

    /// What was granted lapses with the last request that is held.
    pub(crate) fn drop_grants(&mut self) {
        self.granted = 0.0;
    }
}
