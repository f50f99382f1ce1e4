//! The quota of a customer on one gateway: a token bucket shared by all gateways, as far as this
//! one knows its state, and the attempts in flight.
//!
//! Each gateway refills its copy of the bucket by the plan's rate and draws what it sends itself.
//! Use at other gateways reaches the customer's quota owners in usage reports, and the other
//! gateways in owner updates.

use crate::gossip::codec::{units_between, wrapped_units, UsageReport};
use crate::ids::Micros;
use crate::numeric::{decay, MICROS_PER_SECOND};
use crate::settings::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time constant of the usage rates, in seconds: longer than pauses between requests, shorter than
/// shifts of load.
pub(crate) const USAGE_TIME_CONSTANT: f64 = 2.0;
/// Tolerance for rounding, in units, when comparing tokens with the units asked for.
pub(crate) const ROUNDING: f64 = 1e-9;
/// The attempts in flight in a usage report older than this no longer count, in microseconds, so
/// that a gateway that has fallen silent does not occupy slots forever.
const MAX_IN_FLIGHT_REPORT_AGE: Micros = 1_500_000;
/// Divisor of the burst: the first report from a gateway that was running before this one counts as
/// use if it differs by at most `burst / CREDIBLE_BURST_DIVISOR` units.
const CREDIBLE_BURST_DIVISOR: f64 = 4.0;
/// Level that stands for a full bucket in a message.
const FULL_LEVEL: f64 = 254.0;
/// Level in a message whose sender does not know the bucket's state.
pub(crate) const UNKNOWN_LEVEL: u8 = 255;
/// The largest number of attempts in flight that a message can carry.
const MAX_REPORTED_IN_FLIGHT: u32 = 127;

/// What another gateway last reported about a customer.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct ReportedUsage {
    total: u16,
    /// Units that this owner has counted as used in advance, until that gateway reports them.
    pledged: f64,
    rate: f64,
    at: Micros,
    in_flight: u8,
}

/// A customer's quota as this gateway knows it.
#[derive(Default)]
pub(crate) struct QuotaAccount {
    /// Tokens in the bucket, negative for a debt, and when it was last refilled.
    pub(super) tokens: f64,
    pub(super) refilled_at: Micros,
    /// Units used by this gateway since it started.
    pub(super) used: f64,
    /// Recent units per second at this gateway.
    pub(super) rate: f64,
    pub(super) in_flight: u32,
    /// At an owner: the last report of each other gateway.
    pub(super) reported: BTreeMap<u16, ReportedUsage>,
    /// Units per second and attempts in flight at all other gateways together.
    pub(super) others_rate: f64,
    pub(super) others_in_flight: u32,
}

/// What applying a usage report depends on besides the report itself.
pub(crate) struct ReportContext {
    pub(crate) from: u16,
    pub(crate) now: Micros,
    pub(crate) burst: f64,
    pub(crate) max_in_flight: u32,
    /// Whether this report made the customer known here.
    pub(crate) first_contact: bool,
    /// Whether the sender started at the same time as this gateway or later.
    pub(crate) sender_is_younger: bool,
    /// Whether the sender is the first owner, which mirrors its state to the second.
    pub(crate) is_mirror_update: bool,
}

/// An owner's view of a quota after applying a report, for the answer to the sender.
pub(crate) struct QuotaView {
    pub(crate) tokens: f64,
    /// Units per second at all gateways but the sender.
    pub(crate) others_rate: f64,
    /// Attempts in flight at all gateways but the sender.
    pub(crate) others_in_flight: u32,
}

impl QuotaAccount {
    pub(crate) fn new(tokens: f64, others_rate: f64, now: Micros) -> QuotaAccount {
        QuotaAccount {
            tokens,
            others_rate,
            refilled_at: now,
            ..QuotaAccount::default()
        }
    }

    pub(crate) fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    pub(crate) fn used(&self) -> f64 {
        self.used
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Units per second over all gateways, as of the last refill.
    pub(crate) fn total_rate(&self) -> f64 {
        self.rate + self.others_rate
    }

    /// Attempts in flight over all gateways.
    pub(crate) fn total_in_flight(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    /// Sets the tokens, at an owner, to a starting value or to another gateway's view.
    pub(crate) fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Whether the bucket has `units` now.
    pub(crate) fn covers(&self, units: f64) -> bool {
        self.tokens + ROUNDING >= units
    }

    /// This gateway's fraction of the total use, where its own rate counts as at least
    /// `min_own_rate` units per second.
    fn own_fraction(&self, min_own_rate: f64) -> f64 {
        let own = self.rate.max(min_own_rate);
        own / (own + self.others_rate).max(1e-9)
    }

    /// Refills the bucket up to `now`; `min_own_rate` comes from
    /// [`Customer::min_own_rate`](super::Customer).
    pub(crate) fn refill(&mut self, now: Micros, plan: &Plan, is_owner: bool, min_own_rate: f64) {
        let elapsed_s = (now - self.refilled_at) as f64 / MICROS_PER_SECOND;
        let retained = decay(self.refilled_at, now, USAGE_TIME_CONSTANT);
        self.rate *= retained;
        let mut refill_rate = plan.rate;
        if is_owner {
            self.others_rate *= retained;
        } else {
            // Others' use is not reported here between two owner updates, so its last known rate is
            // subtracted from the refill.
            let own = plan.rate * self.own_fraction(min_own_rate);
            refill_rate = (plan.rate - self.others_rate).max(own);
        }
        self.tokens = (self.tokens + refill_rate * elapsed_s).min(plan.burst);
        self.refilled_at = now;
    }

    /// Applies a new plan: a raised quota adds no tokens, a lowered one limits tokens and debt to
    /// the new burst. If the old plan had no limit the bucket starts full.
    pub(crate) fn carry_over(&mut self, old: &Plan, new: &Plan) {
        let unlimited = old.rate == 0.0 && new.rate > 0.0;
        self.tokens = if unlimited {
            new.burst
        } else {
            self.tokens.clamp(-new.burst, new.burst)
        };
    }

    /// Draws units; negative `units` are returned to the bucket.
    pub(crate) fn draw(&mut self, units: f64, plan: &Plan) {
        self.tokens = (self.tokens - units).clamp(-plan.burst, plan.burst);
        self.used += units;
        self.rate = (self.rate + units / USAGE_TIME_CONSTANT).max(0.0);
    }

    /// Charges the units by which a request's real cost exceeds what was drawn; negative if it cost
    /// less.
    pub(crate) fn charge_excess(&mut self, excess: f64) {
        self.tokens -= excess;
        self.used += excess;
    }

    pub(crate) fn note_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn note_completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Seconds until the bucket may hold `units`; `None` if it holds them now or the plan has no
    /// quota on the rate. Units that others may have used in the last `unreported_for` microseconds
    /// count as gone: as many as their known rate gives, but at most their fraction, by known use,
    /// of the tokens.
    pub(crate) fn wait_for_tokens(
        &self,
        units: f64,
        plan: &Plan,
        unreported_for: Micros,
        min_own_rate: f64,
    ) -> Option<f64> {
        if plan.rate <= 0.0 {
            return None;
        }
        let unreported_units = self.others_rate * unreported_for as f64 / MICROS_PER_SECOND;
        let others_fraction = 1.0 - self.own_fraction(min_own_rate);
        let available = self.tokens - unreported_units.min(self.tokens.max(0.0) * others_fraction);
        (available + ROUNDING < units).then(|| (units - available) / plan.rate)
    }

    /// Attempts in flight over all gateways, plus those that others have probably started in the
    /// last `window` microseconds without a report yet, at `units` each. Without this estimate a
    /// heavy user that waits at every gateway would get the same free slot several times.
    pub(crate) fn estimated_in_flight(&self, units: f64, window: f64) -> u32 {
        let started = self.others_rate * window / MICROS_PER_SECOND / units.max(0.1);
        self.in_flight + self.others_in_flight + started as u32
    }

    /// The level of the bucket as messages carry it.
    pub(crate) fn reported_level(&self, plan: &Plan) -> u8 {
        (self.tokens / plan.burst.max(1e-9) * FULL_LEVEL).clamp(0.0, FULL_LEVEL) as u8
    }

    /// This gateway's attempts in flight as messages carry them.
    pub(crate) fn reported_in_flight(&self) -> u8 {
        self.in_flight.min(MAX_REPORTED_IN_FLIGHT) as u8
    }

    /// Removes the last report of a gateway that has restarted.
    pub(crate) fn forget_reporter(&mut self, from: u16) {
        if let Some(reported) = self.reported.remove(&from) {
            let removed = u32::from(reported.in_flight);
            self.others_in_flight -= removed.min(self.others_in_flight);
        }
    }

    /// Removes reports older than `max_age` microseconds; keeps all if `max_age` is `None`.
    pub(crate) fn expire_reports(&mut self, now: Micros, max_age: Option<Micros>) {
        self.reported
            .retain(|_, r| max_age.is_none_or(|max_age| now - r.at <= max_age));
    }

    /// Frees the slots of attempts at gateways that have stopped reporting.
    pub(crate) fn expire_in_flight(&mut self, now: Micros) {
        for reported in self.reported.values_mut() {
            if now - reported.at > MAX_IN_FLIGHT_REPORT_AGE {
                reported.in_flight = 0;
            }
        }
        let in_flight = self.reported.values().map(|r| u32::from(r.in_flight));
        self.others_in_flight = in_flight.sum();
    }

    /// Applies another gateway's report at an owner. If there is room for the units that the sender
    /// asks for, they count as used at once, because other gateways may ask before the sender's
    /// next report arrives.
    pub(crate) fn apply_report(
        &mut self,
        report: &UsageReport,
        context: &ReportContext,
    ) -> QuotaView {
        let used = self.units_used(report, context);
        let reported = self.reported.entry(context.from).or_default();
        self.tokens = (self.tokens + reported.pledged - used).clamp(-context.burst, context.burst);
        let retained_rate = reported.rate * decay(reported.at, context.now, USAGE_TIME_CONSTANT);
        reported.rate = (retained_rate + used / USAGE_TIME_CONSTANT).max(0.0);
        self.others_rate = (self.others_rate + used / USAGE_TIME_CONSTANT).max(0.0);
        let previous = u32::from(reported.in_flight);
        let others_in_flight = self.in_flight + self.others_in_flight.saturating_sub(previous);
        // A report that asks without units, or mirrors, asks only for the view.
        let asks = report.ask && report.units > 0.0 && !context.is_mirror_update;
        let in_flight = others_in_flight + u32::from(report.in_flight);
        let has_tokens = context.burst == 0.0 || self.tokens >= report.units;
        let has_slot = context.max_in_flight == 0 || in_flight < context.max_in_flight;
        let pledge = asks && has_tokens && has_slot;
        let count_pledged = pledge && u32::from(report.in_flight) < MAX_REPORTED_IN_FLIGHT;
        let sender_in_flight = report.in_flight + u8::from(count_pledged);
        self.others_in_flight = others_in_flight - self.in_flight + u32::from(sender_in_flight);
        reported.total = report.total;
        reported.at = context.now;
        reported.in_flight = sender_in_flight;
        reported.pledged = if pledge { report.units } else { 0.0 };
        let view = QuotaView {
            tokens: self.tokens,
            others_rate: (self.rate + self.others_rate - reported.rate).max(0.0),
            others_in_flight,
        };
        self.tokens -= reported.pledged;
        view
    }

    /// The units that a gateway has used since its last report. Where that cannot be known, returns
    /// 0 and corrects the tokens by the sender's view instead.
    fn units_used(&mut self, report: &UsageReport, context: &ReportContext) -> f64 {
        let reported_before = self.reported.contains_key(&context.from);
        let reported = self.reported.entry(context.from).or_default();
        let used = units_between(reported.total, report.total);
        let has_view = report.level < UNKNOWN_LEVEL;
        let sender_tokens = reported_tokens(report.level, context.burst);
        if context.is_mirror_update {
            // The first owner's view replaces the second owner's own.
            self.tokens = sender_tokens;
            reported.pledged = 0.0;
        }
        if (context.first_contact && has_view) || context.is_mirror_update {
            return 0.0; // the sender's view already includes this use
        }
        if !reported_before
            && !context.sender_is_younger
            && used.abs() > context.burst / CREDIBLE_BURST_DIVISOR
        {
            // The sender's counter was running before this gateway started, so the difference is
            // not recent use. Its view of the bucket is the best available one.
            if has_view {
                self.tokens = self.tokens.min((sender_tokens - self.used).max(0.0));
            }
            return 0.0;
        }
        if used < -context.burst {
            return 0.0; // the sender's counter has restarted
        }
        used
    }

    /// Sets the rate and the attempts in flight of all other gateways from an owner update.
    pub(crate) fn set_others(&mut self, rate: f64, in_flight: u32) {
        self.others_rate = rate;
        self.others_in_flight = in_flight;
    }

    /// Sets the tokens from an owner update, less this gateway's later use: `acknowledged_total` is
    /// the last total that the owner had received from this gateway.
    pub(crate) fn apply_owner_tokens(&mut self, tokens: f64, acknowledged_total: u16) {
        self.tokens = tokens - units_between(acknowledged_total, wrapped_units(self.used));
    }
}

/// The tokens that a level in a message stands for.
pub(crate) fn reported_tokens(level: u8, burst: f64) -> f64 {
    f64::from(level) / FULL_LEVEL * burst
}

/// Limits a number of attempts in flight to what a message can carry.
pub(crate) fn clip_in_flight(in_flight: u32) -> u8 {
    in_flight.min(MAX_REPORTED_IN_FLIGHT) as u8
}
