//! A sequential test, by betting. Each block of time gives one difference between the new and the old. Where the two are
//! equal, it is as likely to be so much above nothing as below, whatever its size and however much a size depends on what
//! came before. Then `exp(λx - λ²x²/2)` is 1 at the most on average for any λ (`cosh y ≤ exp(y²/2)`), and so is the product
//! over all blocks, and the mean of such products over several λ: a fair bet, whose stake grows a hundredfold at any time at
//! all with a chance of 1 in 100 at the most (Ville). Looking every second does not raise that.

use serde::{Deserialize, Serialize};

/// The bets: by how much a difference counts. The best one for a difference `m` that scatters by `s` is `m / (m² + s²)`; from
/// 1 (a tenth with a scatter of three tenths) to 1,024 (a thousandth of next to no scatter), each twice the one before, so
/// that the best of them is never far off.
const BETS: usize = 11;

/// The stake of a bet that an unknown difference lies above nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The logarithm of each bet's stake.
    stakes: [f64; BETS],
    /// Differences that were told.
    blocks: u32,
    sum: f64,
}

impl Default for Evidence {
    fn default() -> Self {
        Evidence {
            stakes: [0.0; BETS],
            blocks: 0,
            sum: 0.0,
        }
    }
}

impl Evidence {
    /// Takes a block's difference; what is no number is none.
    pub fn add(&mut self, difference: f64) {
        if !difference.is_finite() {
            return;
        }
        self.blocks += 1;
        self.sum += difference;
        for (n, stake) in self.stakes.iter_mut().enumerate() {
            let bet = f64::from(1u32 << n) * difference;
            *stake += bet - bet * bet / 2.0;
        }
    }

    /// What a stake of 1 has come to: the mean over all bets.
    pub fn stake(&self) -> f64 {
        self.stakes.iter().map(|s| s.exp()).sum::<f64>() / BETS as f64
    }

    /// Whether it is known, with a chance of so much to be wrong.
    pub fn shows(&self, error: f64) -> bool {
        self.stake() * error >= 1.0
    }

    /// The mean difference so far; nought where there is none.
    pub fn mean(&self) -> f64 {
        if self.blocks == 0 {
            0.0
        } else {
            self.sum / f64::from(self.blocks)
        }
    }

    /// Blocks so far.
    pub fn blocks(&self) -> u32 {
        self.blocks
    }
}

#[cfg(test)]
mod tests {
    use super::Evidence;
    use proptest::prelude::{prop_assert, proptest};

    #[test]
    fn a_difference_is_found_and_one_below_nothing_never_is() {
        let mut rng = fastrand::Rng::with_seed(36);
        let mut scatter = |m: f64| m + 0.012 * (rng.f64() + rng.f64() + rng.f64() - 1.5);
        let (mut worse, mut better) = (Evidence::default(), Evidence::default());
        for _ in 0..60 {
            worse.add(scatter(0.02));
            better.add(scatter(-0.02));
        }
        assert!(worse.shows(0.01), "{}", worse.stake());
        assert!((worse.mean() - 0.02).abs() < 0.005 && worse.blocks() == 60);
        assert!(better.stake() < 0.2, "{}", better.stake());
        worse.add(f64::NAN);
        worse.add(f64::INFINITY);
        assert_eq!(worse.blocks(), 60);
    }

    proptest! {
        /// What the whole test rests on: whatever the size, the mean over both signs is 1 at the most, for each bet.
        #[test]
        fn a_block_of_equals_wins_nothing_on_average(size in 0.0f64..1e6) {
            let [mut up, mut down] = [Evidence::default(), Evidence::default()];
            up.add(size);
            down.add(-size);
            for (a, b) in up.stakes.iter().zip(down.stakes) {
                prop_assert!((a.exp() + b.exp()) / 2.0 <= 1.0 + 1e-12);
            }
        }

        /// And if the new is better by some, it wins less than nothing.
        #[test]
        fn a_block_of_one_that_is_better_wins_less(size in 0.0f64..10.0, by in 0.0f64..10.0) {
            let [mut up, mut down] = [Evidence::default(), Evidence::default()];
            up.add(size - by);
            down.add(-size - by);
            for (a, b) in up.stakes.iter().zip(down.stakes) {
                prop_assert!((a.exp() + b.exp()) / 2.0 <= 1.0 + 1e-12);
            }
        }
    }

    /// The stated error, by draws: ten thousand rollouts of equals, looked at after each of 300 blocks, with sizes that
    /// swell and ebb. Ville's bound is 100 of them.
    #[test]
    fn of_ten_thousand_equals_a_hundred_at_the_most_are_called_worse() {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut wrong = 0;
        for _ in 0..10_000 {
            let (mut evidence, mut swell) = (Evidence::default(), 0.01);
            let mut shown = false;
            for _ in 0..300 {
                swell = f64::clamp(swell * (0.7 + 0.65 * rng.f64()), 1e-4, 0.5);
                evidence.add(swell * (rng.f64() * 2.0 - 1.0));
                shown |= evidence.shows(0.01);
            }
            wrong += u32::from(shown);
        }
        assert!(wrong <= 100, "{wrong} of 10,000");
        assert!(wrong > 0, "a test that never errs would not be one");
    }
}
