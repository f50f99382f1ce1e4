//! A sequential test by betting: it may be looked at after each observation, and is wrong with a stated probability at the most.
//!
//! Each block of time gives one difference between the new and the old version. Where the two are equal, it is as likely to be so
//! much above zero as below, whatever its size and however much a size depends on what came before. Then
//! `exp(λx - λ²x²/2)` has a mean of 1 at the most for any `λ`, since `cosh y <= exp(y²/2)` (V. de la Peña, "A General Class of
//! Exponential Inequalities for Martingales and Ratios", Annals of Probability 27, 1999), and so has the product over all
//! blocks, and the mean of such products over several `λ` (the method of mixtures). It is the wealth of a fair bet with a stake
//! of 1 (G. Shafer, "Testing by Betting", Journal of the Royal Statistical Society A 184, 2021), and reaches `1/e` at any time at
//! all with a probability of `e` at the most (J. Ville, "Étude critique de la notion de collectif", 1939).

use serde::{Deserialize, Serialize};

/// The bets `λ`. The best one for a difference `m` that scatters by `s` is `m / (m² + s²)`; from 1 (a tenth with a scatter of three
/// tenths) to 1,024 (a thousandth of next to no scatter), each twice the one before, so that the best is never far off.
pub const BETS: usize = 11;

/// The wealth of bets that an unknown mean difference lies above zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SequentialTest {
    /// The logarithm of each bet's wealth.
    #[serde(rename = "stakes")]
    log_wealth: [f64; BETS],
    /// Differences so far.
    blocks: u32,
    sum: f64,
}

impl Default for SequentialTest {
    fn default() -> Self {
        SequentialTest {
            log_wealth: [0.0; BETS],
            blocks: 0,
            sum: 0.0,
        }
    }
}

impl SequentialTest {
    /// Takes a block's difference; one that is not finite is left out.
    pub fn add(&mut self, difference: f64) {
        if !difference.is_finite() {
            return;
        }
        self.blocks += 1;
        self.sum += difference;
        for (n, log_wealth) in self.log_wealth.iter_mut().enumerate() {
            let bet = f64::from(1u32 << n) * difference;
            *log_wealth += bet - bet * bet / 2.0;
        }
    }

    /// The wealth of each bet, whose stake was 1.
    pub fn bets(&self) -> [f64; BETS] {
        self.log_wealth.map(f64::exp)
    }

    /// What a stake of 1 has come to: the mean over all bets.
    pub fn wealth(&self) -> f64 {
        self.log_wealth.iter().map(|s| s.exp()).sum::<f64>() / BETS as f64
    }

    /// Whether the difference is known to lie above zero, with this probability to be wrong.
    pub fn is_significant(&self, error: f64) -> bool {
        self.wealth() * error >= 1.0
    }

    /// The mean difference so far; 0 where there is none.
    pub fn mean(&self) -> f64 {
        if self.blocks == 0 {
            0.0
        } else {
            self.sum / f64::from(self.blocks)
        }
    }

    /// Differences so far.
    pub fn blocks(&self) -> u32 {
        self.blocks
    }
}
