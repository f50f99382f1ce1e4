//! A sequential test by betting: its result may be checked after each observation, and the probability that it is ever wrong
//! stays below a stated bound.
//!
//! Each block of time gives one difference `x` between the new and the old version. If the two versions are equal, a difference
//! is as likely to be positive as negative, whatever its size and however the size depends on earlier blocks. Then
//! `exp(λx - λ²x²/2)` has a mean of at most 1 for any `λ`, since `cosh y <= exp(y²/2)` (V. de la Peña, "A General Class of
//! Exponential Inequalities for Martingales and Ratios", Annals of Probability 27, 1999), and so has the product over all
//! blocks, and the mean of such products over several `λ` (the method of mixtures). This mean is the wealth of a fair bet with a
//! stake of 1 (G. Shafer, "Testing by Betting", Journal of the Royal Statistical Society A 184, 2021), and the probability
//! that it ever reaches `1/e` is at most `e` (J. Ville, "Étude critique de la notion de collectif", 1939).

use serde::{Deserialize, Serialize};

/// Number of bets `λ`, which are the powers of 2 from 1 to 1,024. The best bet for a mean difference `m` with standard deviation
/// `s` is `m / (m² + s²)`: 1 fits a difference of 0.1 with a deviation of 0.3, and 1,024 a difference of 0.001 with almost no
/// deviation. As each bet is twice the previous one, one of them is always close to the best.
pub const BET_COUNT: usize = 11;

/// Sequential test of whether an unknown mean difference is above zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SequentialTest {
    /// Natural logarithm of each bet's wealth.
    #[serde(rename = "stakes")]
    log_wealth: [f64; BET_COUNT],
    /// Number of differences added.
    blocks: u32,
    sum: f64,
}

impl Default for SequentialTest {
    fn default() -> Self {
        SequentialTest {
            log_wealth: [0.0; BET_COUNT],
            blocks: 0,
            sum: 0.0,
        }
    }
}

impl SequentialTest {
    /// Adds the difference of a block. A difference that is not finite is ignored.
    pub fn add(&mut self, difference: f64) {
        if !difference.is_finite() {
            return;
        }
        self.blocks += 1;
        self.sum += difference;
        for (exponent, log_wealth) in self.log_wealth.iter_mut().enumerate() {
            let bet = f64::from(1u32 << exponent) * difference;
            *log_wealth += bet - bet * bet / 2.0;
        }
    }

    /// Returns the wealth of each bet, starting from a stake of 1.
    pub fn bets(&self) -> [f64; BET_COUNT] {
        self.log_wealth.map(f64::exp)
    }

    /// Returns the mean wealth over all bets, starting from a stake of 1.
    pub fn wealth(&self) -> f64 {
        self.log_wealth.iter().map(|s| s.exp()).sum::<f64>() / BET_COUNT as f64
    }

    /// Returns whether the difference is known to be above zero, with at most this probability of error.
    pub fn is_significant(&self, error: f64) -> bool {
        self.wealth() * error >= 1.0
    }

    /// Returns the mean of the added differences; 0 if there are none.
    pub fn mean(&self) -> f64 {
        if self.blocks == 0 {
            0.0
        } else {
            self.sum / f64::from(self.blocks)
        }
    }

    /// Returns the number of added differences.
    pub fn blocks(&self) -> u32 {
        self.blocks
    }
}
