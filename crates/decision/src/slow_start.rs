//! Slow start: how warm a backend is that started lately, and how much may be sent to it meanwhile.
//!
//! A backend that warms up fails when it gets more than a multiple of its present capacity in a
//! window. Each gateway spends its own part of a budget below that; where that part is less than
//! one request, the gateways draw who may send one.

use crate::backends::{note_recent, Backend, Backends};
use crate::ids::{GatewayId, Micros};
use crate::numeric::{decay, unit_hash, MICROS_PER_SECOND};
use crate::settings::BackendRules;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The part of the rule's budget that is spent on a backend that warms up: the rest is for chance
/// (ours).
const BUDGET_PART: f64 = 0.6;
/// The memory of the rate of sends in seconds: longer than pauses, shorter than shifts of load
/// (ours).
const RATE_TIME_CONSTANT: f64 = 2.0;
/// The place in a draw of all backends that warm up together.
const ANY_BACKEND: u64 = 0;

/// How fast this gateway sends attempts.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SendRate {
    per_second: f64,
    at: Micros,
}

impl SendRate {
    /// Notes an attempt that is sent.
    pub(crate) fn note(&mut self, now: Micros) {
        self.per_second = self.now(now) + 1.0 / RATE_TIME_CONSTANT;
        self.at = now;
    }

    /// Attempts a second.
    fn now(&self, now: Micros) -> f64 {
        self.per_second * decay(self.at, now, RATE_TIME_CONSTANT)
    }
}

/// What this gateway sends, as far as it bears on a backend that warms up.
pub(crate) struct SendContext<'a> {
    pub(crate) rules: &'a BackendRules,
    pub(crate) rate: &'a SendRate,
    pub(crate) gateway: GatewayId,
    pub(crate) gateway_count: u64,
    /// The weight of all ready backends.
    pub(crate) ready_weight: f64,
    /// The part of the pool that the request may use: fallback traffic has not all of it.
    pub(crate) pool_part: f64,
    /// The request must go to a few backends for its key: those have their own part of the budget
    /// alone.
    pub(crate) bound_by_key: bool,
    pub(crate) now: Micros,
}

/// How warm a backend is, and whether this gateway may send it one more.
pub(crate) struct WarmUp {
    pub(crate) factor: f64,
    pub(crate) may_send: bool,
}

/// How warm a backend is for sure, as a fraction of its capacity; none where it does not warm up
/// any more.
#[inline]
pub(crate) fn warm_up_factor(rules: &BackendRules, backend: &Backend, now: Micros) -> Option<f64> {
    let started_at = backend.endpoint().started_at;
    let age = now.saturating_sub(started_at);
    let warming_up = started_at > 0 && age < rules.warm_up_time;
    warming_up.then(|| {
        let missing = 1.0 - rules.warm_up_from;
        rules.warm_up_from + missing * age as f64 / rules.warm_up_time as f64
    })
}

/// The backends that warm up, taken together.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    counted_at: Micros,
    /// The weight of those that warm up, by their warm-up factors alone.
    warming_weight: f64,
    /// Recent sends to any of them.
    recent_sends: VecDeque<Micros>,
}

impl SlowStart {
    /// When the weight was last counted.
    pub(crate) fn counted_at(&self) -> Micros {
        self.counted_at
    }

    /// Counts the weight of those that warm up; it looks at all backends.
    pub(crate) fn count(&mut self, rules: &BackendRules, backends: &Backends, now: Micros) {
        self.counted_at = now;
        let warming = backends.ready().filter_map(|(_, b)| {
            let factor = warm_up_factor(rules, b, now)?;
            Some(factor * b.weight())
        });
        self.warming_weight = warming.sum();
    }

    /// Notes an attempt that is sent to a backend, if that still counts against its warm-up.
    pub(crate) fn note_sent(&mut self, rules: &BackendRules, backend: &mut Backend, now: Micros) {
        let started_at = backend.endpoint().started_at;
        if started_at > 0 && now < started_at + rules.warm_up_time {
            backend.note_warm_up_send(rules, now);
            note_recent(&mut self.recent_sends, rules, now);
        }
    }

    /// How warm a backend is, and whether this gateway alone may send it one more in the rule's
    /// window.
    #[inline]
    pub(crate) fn warm_up(&self, backend: &Backend, sends: &SendContext) -> WarmUp {
        match warm_up_factor(sends.rules, backend, sends.now) {
            None => WarmUp {
                factor: 1.0,
                may_send: true,
            },
            Some(factor) => WarmUp {
                factor,
                may_send: self.may_send(backend, factor, sends),
            },
        }
    }

    /// Where a gateway's part of the budget is less than a request, one each would be a hundred:
    /// then one may go to any of the warming backends as often as their parts together allow, and
    /// below that it is drawn who may.
    fn may_send(&self, backend: &Backend, factor: f64, sends: &SendContext) -> bool {
        let window = sends.rules.overload_window.max(1);
        let fair = sends.rate.now(sends.now) / sends.ready_weight.max(backend.weight())
            * window as f64
            / MICROS_PER_SECOND
            * sends.pool_part;
        let budget = sends.rules.overload_factor * BUDGET_PART * fair;
        let least = sends.pool_part / sends.gateway_count as f64;
        let own = (budget * backend.weight() * factor).max(least);
        let all = budget * self.warming_weight.max(backend.weight() * factor);
        let draw =
            |of: u64| unit_hash(of ^ (sends.now / window) << 48 ^ u64::from(sends.gateway.0) << 32);
        let within =
            |list: &VecDeque<Micros>| list.iter().filter(|t| **t + window > sends.now).count();
        let recent = within(backend.warm_up_sends()) as f64;
        if recent + draw(backend.id().0) < own {
            return true;
        }
        let shared = own < 1.0 && !sends.bound_by_key && recent == 0.0;
        shared && within(&self.recent_sends) as f64 + draw(ANY_BACKEND) < all
    }
}
