//! Slow start: the warm-up factor of recently started backends, and how many attempts may be sent
//! to them.
//!
//! A backend that warms up fails if it receives more than a multiple of its present capacity within
//! a window. Each gateway keeps its attempts within its own share of a budget below that. Where
//! that share is less than one request, a random number decides which gateways may send one.

use crate::backends::{note_recent, Backend, Backends};
use crate::ids::{GatewayId, Micros};
use crate::numeric::{decay, unit_hash, MICROS_PER_SECOND};
use crate::settings::BackendRules;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Fraction of the overload limit that is used for a backend that warms up; the rest is a margin
/// for random variation.
const BUDGET_FRACTION: f64 = 0.6;
/// Time constant of the send rate in seconds: longer than pauses between requests, shorter than
/// shifts of load.
const RATE_TIME_CONSTANT: f64 = 2.0;
/// Hash input that stands for all warming backends together.
const ANY_BACKEND: u64 = 0;

/// The rate at which this gateway sends attempts.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SendRate {
    per_second: f64,
    at: Micros,
}

impl SendRate {
    /// Records that an attempt is sent.
    pub(crate) fn note(&mut self, now: Micros) {
        self.per_second = self.current(now) + 1.0 / RATE_TIME_CONSTANT;
        self.at = now;
    }

    /// Attempts per second at `now`.
    fn current(&self, now: Micros) -> f64 {
        self.per_second * decay(self.at, now, RATE_TIME_CONSTANT)
    }
}

/// What the limit for a warming backend depends on besides the backend.
pub(crate) struct SendContext<'a> {
    pub(crate) rules: &'a BackendRules,
    pub(crate) rate: &'a SendRate,
    pub(crate) gateway: GatewayId,
    pub(crate) gateway_count: u64,
    /// Total weight of all ready backends.
    pub(crate) ready_weight: f64,
    /// Fraction of the pool that the request may use; less than 1 for fallback traffic.
    pub(crate) pool_fraction: f64,
    /// Whether the request is bound to a few backends by its idempotency key. Such a request uses
    /// only a backend's own budget, not the shared one.
    pub(crate) bound_by_key: bool,
    pub(crate) now: Micros,
}

/// A backend's warm-up factor, and whether this gateway may send it another attempt.
pub(crate) struct WarmUp {
    pub(crate) factor: f64,
    pub(crate) may_send: bool,
}

/// Guaranteed capacity of a warming backend as a fraction of its full capacity; `None` if it has
/// warmed up.
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

/// State of all warming backends together.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    counted_at: Micros,
    /// Total weight of the warming backends, each multiplied by its warm-up factor.
    warming_weight: f64,
    /// Times of recent attempts sent to any of them.
    recent_sends: VecDeque<Micros>,
}

impl SlowStart {
    /// When the warming weight was last computed.
    pub(crate) fn counted_at(&self) -> Micros {
        self.counted_at
    }

    /// Computes the total weight of the warming backends; iterates over all backends.
    pub(crate) fn count(&mut self, rules: &BackendRules, backends: &Backends, now: Micros) {
        self.counted_at = now;
        let warming = backends.ready().filter_map(|(_, b)| {
            let factor = warm_up_factor(rules, b, now)?;
            Some(factor * b.weight())
        });
        self.warming_weight = warming.sum();
    }

    /// Records an attempt sent to a backend, if the backend is warming up.
    pub(crate) fn note_sent(&mut self, rules: &BackendRules, backend: &mut Backend, now: Micros) {
        let started_at = backend.endpoint().started_at;
        if started_at > 0 && now < started_at + rules.warm_up_time {
            backend.note_warm_up_send(rules, now);
            note_recent(&mut self.recent_sends, rules, now);
        }
    }

    /// A backend's warm-up factor, and whether this gateway's share of the limit allows another
    /// attempt to it within the overload window.
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

    /// Whether this gateway may send another attempt to a warming backend.
    ///
    /// If its share of a backend's budget is less than one request, sending one anyway from each of
    /// a hundred gateways would be a hundred requests. Such shares are pooled over all warming
    /// backends: an attempt may go to any of them as often as the shares allow together, and a
    /// fraction of a request is decided by a random number.
    fn may_send(&self, backend: &Backend, factor: f64, sends: &SendContext) -> bool {
        let window = sends.rules.overload_window.max(1);
        let fair_share = sends.rate.current(sends.now) / sends.ready_weight.max(backend.weight())
            * window as f64
            / MICROS_PER_SECOND
            * sends.pool_fraction;
        let budget = sends.rules.overload_factor * BUDGET_FRACTION * fair_share;
        let min_share = sends.pool_fraction / sends.gateway_count as f64;
        let own_share = (budget * backend.weight() * factor).max(min_share);
        let shared_budget = budget * self.warming_weight.max(backend.weight() * factor);
        let draw =
            |id: u64| unit_hash(id ^ (sends.now / window) << 48 ^ u64::from(sends.gateway.0) << 32);
        let sent_in_window =
            |times: &VecDeque<Micros>| times.iter().filter(|t| **t + window > sends.now).count();
        let recent = sent_in_window(backend.warm_up_sends()) as f64;
        if recent + draw(backend.id().0) < own_share {
            return true;
        }
        let may_share = own_share < 1.0 && !sends.bound_by_key && recent == 0.0;
        may_share && sent_in_window(&self.recent_sends) as f64 + draw(ANY_BACKEND) < shared_budget
    }
}
