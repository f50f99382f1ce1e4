//! The retry budget: further attempts draw from a bucket that first attempts refill, so that
//! retries cannot feed an overload (as in Finagle's retry budgets; the figures are ours).

use serde::{Deserialize, Serialize};

/// Further attempts per first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// What the bucket holds, and begins with.
const BURST: f64 = 10.0;
/// What a retry draws.
pub(crate) const RETRY_COST: f64 = 1.0;
/// What a hedged request draws: the first attempt still runs.
pub(crate) const HEDGE_COST: f64 = 3.0;

/// The bucket of further attempts.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: BURST }
    }

    /// Notes a first attempt.
    pub(crate) fn refill(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(BURST);
    }

    pub(crate) fn allows(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    pub(crate) fn draw(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}
