//! The sequential test finds a difference, and errs as rarely as it says.

use proptest::prelude::{prop_assert, proptest};
use wrenfork_rollout::SequentialTest;

#[test]
fn a_positive_difference_is_found_and_a_negative_one_never_is() {
    let mut rng = fastrand::Rng::with_seed(36);
    let mut scatter = |m: f64| m + 0.012 * (rng.f64() + rng.f64() + rng.f64() - 1.5);
    let mut worse = SequentialTest::default();
    let mut better = SequentialTest::default();
    for _ in 0..60 {
        worse.add(scatter(0.02));
        better.add(scatter(-0.02));
    }
    assert!(worse.is_significant(0.01), "{}", worse.wealth());
    assert!((worse.mean() - 0.02).abs() < 0.005 && worse.blocks() == 60);
    assert!(better.wealth() < 0.2, "{}", better.wealth());
    worse.add(f64::NAN);
    worse.add(f64::INFINITY);
    assert_eq!(worse.blocks(), 60);
}

/// Whether no bet wins on average over two differences that are equally likely.
fn wins_nothing_on_average(one: f64, other: f64) -> bool {
    let mut tests = [SequentialTest::default(), SequentialTest::default()];
    tests[0].add(one);
    tests[1].add(other);
    let [up, down] = tests.map(|test| test.bets());
    up.iter()
        .zip(down)
        .all(|(a, b)| (a + b) / 2.0 <= 1.0 + 1e-12)
}

proptest! {
    /// What the whole test rests on: whatever the size, the mean over both signs is 1 at the most, for each bet.
    #[test]
    fn a_block_of_equals_wins_nothing_on_average(size in 0.0f64..1e6) {
        prop_assert!(wins_nothing_on_average(size, -size));
    }

    /// If the new version is better by some, it wins less than nothing.
    #[test]
    fn a_block_of_a_better_version_wins_nothing_on_average(size in 0.0f64..10.0, by in 0.0f64..10.0) {
        prop_assert!(wins_nothing_on_average(size - by, -size - by));
    }
}

/// The stated error, by draws: ten thousand rollouts of equals, looked at after each of 300 blocks, with sizes that swell and
/// ebb. Ville's bound is 100 of them.
#[test]
fn of_ten_thousand_equals_a_hundred_at_the_most_are_called_worse() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut wrong = 0;
    for _ in 0..10_000 {
        let mut test = SequentialTest::default();
        let mut swell = 0.01;
        let mut is_called_worse = false;
        for _ in 0..300 {
            swell = f64::clamp(swell * (0.7 + 0.65 * rng.f64()), 1e-4, 0.5);
            test.add(swell * (rng.f64() * 2.0 - 1.0));
            is_called_worse |= test.is_significant(0.01);
        }
        wrong += u32::from(is_called_worse);
    }
    assert!(wrong <= 100, "{wrong} of 10,000");
    assert!(wrong > 0, "a test that never errs would not be one");
}
