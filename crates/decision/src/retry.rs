//! Retry budget. Retries and hedged requests draw from a token bucket that first attempts refill,
//! so that retries cannot amplify an overload (as in Finagle's retry budgets).

use serde::{Deserialize, Serialize};

/// Tokens added per first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Capacity and initial content of the bucket, in tokens.
const MAX_TOKENS: f64 = 10.0;
/// Tokens drawn by a retry.
pub(crate) const RETRY_COST: f64 = 1.0;
/// Tokens drawn by a hedged request; more than a retry, since the first attempt is still running.
pub(crate) const HEDGE_COST: f64 = 3.0;

/// Token bucket that limits retries and hedged requests.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// Adds the tokens earned by a first attempt.
    pub(crate) fn refill(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_TOKENS);
    }

    pub(crate) fn allows(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    pub(crate) fn draw(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}
