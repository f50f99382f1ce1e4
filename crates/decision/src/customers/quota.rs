//! The quota of a customer on one gateway: a token bucket that is shared by all gateways, as far as
//! this one knows it, and the attempts in flight.
//!
//! Each gateway refills the bucket by the plan's rate and draws what it sends itself; what others
//! use comes with their reports to the customer's quota owners, and from those with their updates.

use crate::gossip::codec::{units_between, wrapped_units, UsageReport};
use crate::ids::Micros;
use crate::numeric::{decay, MICROS_PER_SECOND};
use crate::settings::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The memory of use in seconds: longer than pauses, shorter than shifts of load (ours).
pub(crate) const USAGE_TIME_CONSTANT: f64 = 2.0;
/// What is short of the units asked for by less than this is enough.
pub(crate) const ROUNDING: f64 = 1e-9;
/// A report this old no longer counts its attempts in flight, in microseconds: those of a gateway
/// that fell silent hold no slot for ever (ours).
const IN_FLIGHT_REPORT_LIFE: Micros = 1_500_000;
/// The part of the burst by which a report of a gateway that was running before this one may differ
/// and count as use (ours).
const CREDIBLE_PART: f64 = 4.0;
/// The full bucket in messages.
const FULL_LEVEL: f64 = 254.0;
/// The level in messages of a gateway that was never told one.
pub(crate) const UNKNOWN_LEVEL: u8 = 255;
/// The most attempts in flight that a message counts.
const MAX_REPORTED_IN_FLIGHT: u32 = 127;

/// What another gateway last reported of a customer.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct ReportedUsage {
    total: u16,
    /// Units admitted in its name before it reported that it used them.
    pledged: f64,
    rate: f64,
    at: Micros,
    in_flight: u8,
}

/// A customer's quota as this gateway knows it.
#[derive(Default)]
pub(crate) struct QuotaAccount {
    /// Tokens in the bucket, and when it was last refilled.
    pub(super) tokens: f64,
    pub(super) refilled_at: Micros,
    /// Units sent by this gateway since its start.
    pub(super) used: f64,
    /// Units a second that this gateway has used of late.
    pub(super) rate: f64,
    pub(super) in_flight: u32,
    /// At an owner: what each gateway reported.
    pub(super) reported: BTreeMap<u16, ReportedUsage>,
    /// The use of all others.
    pub(super) others_rate: f64,
    pub(super) others_in_flight: u32,
}

/// How a report relates to what this gateway knows of its sender and customer.
pub(crate) struct ReportContext {
    pub(crate) from: u16,
    pub(crate) now: Micros,
    pub(crate) burst: f64,
    pub(crate) max_in_flight: u32,
    /// The customer was not known here until this report.
    pub(crate) first_contact: bool,
    /// The sender started after this gateway did.
    pub(crate) sender_is_younger: bool,
    /// The sender is the first owner, and tells the second what it knows.
    pub(crate) mirrors: bool,
}

/// What an owner knows after a report.
pub(crate) struct QuotaView {
    pub(crate) tokens: f64,
    /// Units a second of all but the sender.
    pub(crate) others_rate: f64,
    /// Attempts in flight of all but the sender.
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

    /// Units a second over all gateways, as of the last refill.
    pub(crate) fn total_rate(&self) -> f64 {
        self.rate + self.others_rate
    }

    /// Attempts in flight over all gateways.
    pub(crate) fn total_in_flight(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    /// Sets the tokens to what another one knows.
    pub(crate) fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Whether the bucket has so many units now.
    pub(crate) fn covers(&self, units: f64) -> bool {
        self.tokens + ROUNDING >= units
    }

    /// The fraction of the use that is this gateway's own, where that is taken for `least_own_rate`
    /// at least.
    fn own_fraction(&self, least_own_rate: f64) -> f64 {
        let own = self.rate.max(least_own_rate);
        own / (own + self.others_rate).max(1e-9)
    }

    /// Refills the bucket up to now; `least_own_rate` as given by
    /// [`Customer::least_own_rate`](super::Customer).
    pub(crate) fn refill(&mut self, now: Micros, plan: &Plan, owner: bool, least_own_rate: f64) {
        let span = (now - self.refilled_at) as f64 / MICROS_PER_SECOND;
        let keep = decay(self.refilled_at, now, USAGE_TIME_CONSTANT);
        self.rate *= keep;
        let mut refill_rate = plan.rate;
        if owner {
            self.others_rate *= keep;
        } else {
            // Between two updates of an owner, the use that goes on unheard is taken off the
            // refill.
            let own = plan.rate * self.own_fraction(least_own_rate);
            refill_rate = (plan.rate - self.others_rate).max(own);
        }
        self.tokens = (self.tokens + refill_rate * span).min(plan.burst);
        self.refilled_at = now;
    }

    /// Carries the bucket over to another plan's figures: a raised quota refills none, a lowered
    /// one leaves no debt. One that had no limit begins full.
    pub(crate) fn carry_over(&mut self, old: &Plan, new: &Plan) {
        let unlimited = old.rate == 0.0 && new.rate > 0.0;
        self.tokens = if unlimited {
            new.burst
        } else {
            self.tokens.clamp(-new.burst, new.burst)
        };
    }

    /// Draws units, or gives them back where they are negative.
    pub(crate) fn draw(&mut self, units: f64, plan: &Plan) {
        self.tokens = (self.tokens - units).clamp(-plan.burst, plan.burst);
        self.used += units;
        self.rate = (self.rate + units / USAGE_TIME_CONSTANT).max(0.0);
    }

    /// Settles units that turned out to be more than were drawn.
    pub(crate) fn settle(&mut self, more: f64) {
        self.tokens -= more;
        self.used += more;
    }

    pub(crate) fn note_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn note_completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Seconds until the bucket may have so many units; none where it has them now. What others may
    /// have used in `unheard` microseconds counts: no more than what they pass unheard, split by
    /// use heard.
    pub(crate) fn wait_for_tokens(
        &self,
        units: f64,
        plan: &Plan,
        unheard: Micros,
        least_own_rate: f64,
    ) -> Option<f64> {
        if plan.rate <= 0.0 {
            return None;
        }
        let unheard_units = self.others_rate * unheard as f64 / MICROS_PER_SECOND;
        let others_part = 1.0 - self.own_fraction(least_own_rate);
        let room = self.tokens - unheard_units.min(self.tokens.max(0.0) * others_part);
        (room + ROUNDING < units).then(|| (units - room) / plan.rate)
    }

    /// Attempts in flight over all gateways, with those that others likely began unheard in `lasts`
    /// microseconds: heavy users wait at every gateway for the same free slot.
    pub(crate) fn likely_in_flight(&self, units: f64, lasts: f64) -> u32 {
        let begun = self.others_rate * lasts / MICROS_PER_SECOND / units.max(0.1);
        self.in_flight + self.others_in_flight + begun as u32
    }

    /// The level of the bucket in messages.
    pub(crate) fn reported_level(&self, plan: &Plan) -> u8 {
        (self.tokens / plan.burst.max(1e-9) * FULL_LEVEL).clamp(0.0, FULL_LEVEL) as u8
    }

    /// Attempts in flight, as messages count them.
    pub(crate) fn reported_in_flight(&self) -> u8 {
        self.in_flight.min(MAX_REPORTED_IN_FLIGHT) as u8
    }

    /// Forgets what a gateway reported that has started anew.
    pub(crate) fn forget_reporter(&mut self, from: u16) {
        if let Some(reported) = self.reported.remove(&from) {
            let gone = u32::from(reported.in_flight);
            self.others_in_flight -= gone.min(self.others_in_flight);
        }
    }

    /// Forgets reports older than `life`, where that is given.
    pub(crate) fn expire_reports(&mut self, now: Micros, life: Option<Micros>) {
        self.reported
            .retain(|_, r| life.is_none_or(|life| now - r.at <= life));
    }

    /// Frees the slots of attempts whose gateways fell silent.
    pub(crate) fn expire_in_flight(&mut self, now: Micros) {
        for reported in self.reported.values_mut() {
            if now - reported.at > IN_FLIGHT_REPORT_LIFE {
                reported.in_flight = 0;
            }
        }
        let in_flight = self.reported.values().map(|r| u32::from(r.in_flight));
        self.others_in_flight = in_flight.sum();
    }

    /// Takes another gateway's report at an owner. Where there is room for what it asks for, that
    /// is taken as used at once: others ask before the asker's next message comes.
    pub(crate) fn take_report(&mut self, report: &UsageReport, cx: &ReportContext) -> QuotaView {
        let used = self.units_used(report, cx);
        let reported = self.reported.entry(cx.from).or_default();
        self.tokens = (self.tokens + reported.pledged - used).clamp(-cx.burst, cx.burst);
        let kept = reported.rate * decay(reported.at, cx.now, USAGE_TIME_CONSTANT);
        reported.rate = (kept + used / USAGE_TIME_CONSTANT).max(0.0);
        self.others_rate = (self.others_rate + used / USAGE_TIME_CONSTANT).max(0.0);
        let before = u32::from(reported.in_flight);
        let others_in_flight = self.in_flight + self.others_in_flight.saturating_sub(before);
        let asks = report.ask && report.units > 0.0 && !cx.mirrors; // else for its view alone
        let in_flight = others_in_flight + u32::from(report.in_flight);
        let has_tokens = cx.burst == 0.0 || self.tokens >= report.units;
        let has_slot = cx.max_in_flight == 0 || in_flight < cx.max_in_flight;
        let pledge = asks && has_tokens && has_slot;
        let one_more = pledge && u32::from(report.in_flight) < MAX_REPORTED_IN_FLIGHT;
        let its_in_flight = report.in_flight + u8::from(one_more);
        self.others_in_flight = others_in_flight - self.in_flight + u32::from(its_in_flight);
        reported.total = report.total;
        reported.at = cx.now;
        reported.in_flight = its_in_flight;
        reported.pledged = if pledge { report.units } else { 0.0 };
        let view = QuotaView {
            tokens: self.tokens,
            others_rate: (self.rate + self.others_rate - reported.rate).max(0.0),
            others_in_flight,
        };
        self.tokens -= reported.pledged;
        view
    }

    /// The units that a gateway has used since its last report, with the bucket set right where
    /// that can't be known.
    fn units_used(&mut self, report: &UsageReport, cx: &ReportContext) -> f64 {
        let heard = self.reported.contains_key(&cx.from);
        let reported = self.reported.entry(cx.from).or_default();
        let used = units_between(reported.total, report.total);
        let has_view = report.level < UNKNOWN_LEVEL;
        let its_tokens = reported_tokens(report.level, cx.burst);
        if cx.mirrors {
            // Its word is better than what is known here.
            self.tokens = its_tokens;
            reported.pledged = 0.0;
        }
        if (cx.first_contact && has_view) || cx.mirrors {
            return 0.0; // that is in its view of the bucket
        }
        if !heard && !cx.sender_is_younger && used.abs() > cx.burst / CREDIBLE_PART {
            // Its count is older than this start: its view of the bucket is what is left to go by.
            if has_view {
                self.tokens = self.tokens.min((its_tokens - self.used).max(0.0));
            }
            return 0.0;
        }
        if used < -cx.burst {
            return 0.0; // it counts anew
        }
        used
    }

    /// Takes an owner's view of the others.
    pub(crate) fn take_others(&mut self, rate: f64, in_flight: u32) {
        self.others_rate = rate;
        self.others_in_flight = in_flight;
    }

    /// Takes an owner's view of the bucket, less what it cannot have heard: it knows this gateway's
    /// use up to `heard_total`.
    pub(crate) fn take_tokens(&mut self, tokens: f64, heard_total: u16) {
        self.tokens = tokens - units_between(heard_total, wrapped_units(self.used));
    }
}

/// The tokens that a level in a message means.
pub(crate) fn reported_tokens(level: u8, burst: f64) -> f64 {
    f64::from(level) / FULL_LEVEL * burst
}

/// Attempts in flight, as messages count them.
pub(crate) fn clip_in_flight(in_flight: u32) -> u8 {
    in_flight.min(MAX_REPORTED_IN_FLIGHT) as u8
}
