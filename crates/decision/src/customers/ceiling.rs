//! The hard ceiling of a customer on one gateway: a share of a token bucket. No unit of the ceiling
//! is ever available at two gateways.
//!
//! One part of the ceiling is split permanently among the customer's gateways. The rest is held by
//! the customer's two quota owners, which grant units on request.

use super::quota::ROUNDING;
use crate::ids::Micros;
use crate::numeric::MICROS_PER_SECOND;
use crate::settings::Plan;

/// Fraction of a ceiling that the two quota owners hold.
const OWNERS_FRACTION: f64 = 0.5;
/// Fraction of the owners' part that the first owner holds, where the first owner is asked before
/// the second.
const FIRST_OWNER_FRACTION: f64 = 0.75;
/// Lower bound on the share used to compute waiting times, so that a gateway with a share of 0 gets
/// a finite time.
const MIN_SHARE_FOR_WAIT: f64 = 0.01;

/// This gateway's share of a customer's ceiling.
#[derive(Default)]
pub(crate) struct CeilingAccount {
    pub(super) tokens: f64,
    /// This gateway's fraction of the whole ceiling, from 0 to 1.
    pub(super) share: f64,
    /// Units granted by an owner; only the currently held requests may use them.
    pub(super) granted: f64,
}

/// The values that determine how a customer's ceiling is split.
pub(crate) struct CeilingSplit {
    pub(crate) gateway_span: f64,
    /// Whether this gateway is the first owner and whether it is the second; both or neither is
    /// possible.
    pub(crate) is_owner: [bool; 2],
    /// Set in a small deployment, where either owner may be asked and each holds half.
    pub(crate) every_gateway_owns: bool,
    /// Time since this gateway started, in microseconds.
    pub(crate) uptime: Micros,
}

impl CeilingAccount {
    /// Sets this gateway's share. The bucket starts with the units refilled since this gateway
    /// started, because earlier use is not known here.
    pub(crate) fn assign_share(&mut self, plan: &Plan, split: &CeilingSplit) {
        // If an even split gave each gateway less than one unit, no request could use it; the
        // owners then hold the whole ceiling.
        let share_below_one_unit =
            plan.ceiling_burst * (1.0 - OWNERS_FRACTION) < split.gateway_span;
        let owners_fraction = if share_below_one_unit {
            1.0
        } else {
            OWNERS_FRACTION
        };
        let first_owner_fraction = if split.every_gateway_owns {
            0.5
        } else {
            FIRST_OWNER_FRACTION
        };
        let owner_fractions = [first_owner_fraction, 1.0 - first_owner_fraction]
            .into_iter()
            .zip(split.is_owner);
        let own_fraction: f64 = owner_fractions
            .filter(|(_, is_owner)| *is_owner)
            .map(|(share, _)| share)
            .sum();
        self.share = (1.0 - owners_fraction) / split.gateway_span + owners_fraction * own_fraction;
        let refilled = plan.ceiling_rate * split.uptime as f64 / MICROS_PER_SECOND;
        self.tokens = refilled.min(plan.ceiling_burst) * self.share;
    }

    /// Refills the bucket for `seconds` of elapsed time.
    pub(crate) fn refill(&mut self, seconds: f64, plan: &Plan) {
        self.tokens = (self.tokens + plan.ceiling_rate * self.share * seconds)
            .min(plan.ceiling_burst * self.share);
    }

    /// Applies a new plan: tokens beyond the new burst are dropped. If the old plan had no ceiling
    /// the bucket starts empty, as at a gateway's start.
    pub(crate) fn carry_over(&mut self, new: &Plan) {
        self.tokens = self.tokens.min(new.ceiling_burst * self.share);
    }

    /// Draws units, granted ones first; negative `units` are returned to the bucket.
    pub(crate) fn draw(&mut self, units: f64, plan: &Plan) {
        let granted = units.clamp(0.0, self.granted);
        self.granted -= granted;
        let max_tokens = plan.ceiling_burst * self.share;
        // Without a ceiling the burst is 0, so no debt accumulates.
        self.tokens = (self.tokens - units + granted).clamp(-max_tokens, max_tokens);
    }

    /// Seconds until `units` may be available; `None` if they are available now or the plan has no
    /// ceiling.
    pub(crate) fn wait_for_tokens(&self, units: f64, plan: &Plan) -> Option<f64> {
        let available = self.tokens + self.granted;
        let is_short = plan.ceiling_rate > 0.0 && available + ROUNDING < units;
        is_short
            .then(|| (units - available) / (plan.ceiling_rate * self.share.max(MIN_SHARE_FOR_WAIT)))
    }

    /// Deducts `encodable_units` (`units` rounded down to what a message can carry) for a grant to
    /// another gateway, if `units` are available. Returns the granted units, 0 if there are too
    /// few. Deducting before sending means that a lost message loses units and never duplicates
    /// them.
    pub(crate) fn grant_to_peer(&mut self, units: f64, encodable_units: f64) -> f64 {
        let granted = if self.tokens >= units {
            encodable_units
        } else {
            0.0
        };
        self.tokens -= granted;
        granted
    }

    /// Adds units that another gateway granted.
    pub(crate) fn receive_grant(&mut self, units: f64) {
        self.granted += units;
    }

    /// Discards all granted units; called when no request of the customer is held any longer.
    pub(crate) fn drop_grants(&mut self) {
        self.granted = 0.0;
    }
}
