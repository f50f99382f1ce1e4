//! The sequential test detects a difference, and its error rate stays below the stated bound.

use proptest::prelude::{prop_assert, proptest};
use wrenfork_rollout::SequentialTest;

#[test]
fn positive_difference_is_detected_and_negative_difference_is_not() {
    let mut rng = fastrand::Rng::with_seed(36);
    let mut with_noise = |mean: f64| mean + 0.012 * (rng.f64() + rng.f64() + rng.f64() - 1.5);
    let mut worse = SequentialTest::default();
    let mut better = SequentialTest::default();
    for _ in 0..60 {
        worse.add(with_noise(0.02));
        better.add(with_noise(-0.02));
    }
    assert!(worse.is_significant(0.01), "{}", worse.wealth());
    assert!((worse.mean() - 0.02).abs() < 0.005 && worse.blocks() == 60);
    assert!(better.wealth() < 0.2, "{}", better.wealth());
    worse.add(f64::NAN);
    worse.add(f64::INFINITY);
    assert_eq!(worse.blocks(), 60);
}

/// Returns whether no bet wins on average if two differences are equally likely.
fn wins_nothing_on_average(first: f64, second: f64) -> bool {
    let mut tests = [SequentialTest::default(), SequentialTest::default()];
    tests[0].add(first);
    tests[1].add(second);
    let [wealth_of_first, wealth_of_second] = tests.map(|test| test.bets());
    wealth_of_first
        .iter()
        .zip(wealth_of_second)
        .all(|(a, b)| (a + b) / 2.0 <= 1.0 + 1e-12)
}

proptest! {
    /// The test's error bound depends on this: for any size of the difference, the mean wealth over both signs is at most 1, for
    /// each bet.
    #[test]
    fn equal_versions_win_nothing_on_average(size in 0.0f64..1e6) {
        prop_assert!(wins_nothing_on_average(size, -size));
    }

    /// If the new version is better, each bet loses on average.
    #[test]
    fn better_version_wins_nothing_on_average(size in 0.0f64..10.0, gain in 0.0f64..10.0) {
        prop_assert!(wins_nothing_on_average(size - gain, -size - gain));
    }
}

/// Checks the stated error probability of 1% with ten thousand simulated rollouts of equal versions. The result is checked after
/// each of 300 blocks, whose differences vary in size. Ville's inequality allows at most 100 false alarms.
#[test]
fn false_alarms_stay_below_the_stated_probability() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut false_alarms = 0;
    for _ in 0..10_000 {
        let mut test = SequentialTest::default();
        let mut size = 0.01;
        let mut is_called_worse = false;
        for _ in 0..300 {
            size = f64::clamp(size * (0.7 + 0.65 * rng.f64()), 1e-4, 0.5);
            test.add(size * (rng.f64() * 2.0 - 1.0));
            is_called_worse |= test.is_significant(0.01);
        }
        false_alarms += u32::from(is_called_worse);
    }
    assert!(
        false_alarms <= 100,
        "{false_alarms} false alarms in 10,000 rollouts"
    );
    assert!(
        false_alarms > 0,
        "no false alarm at all: the simulation can't fail"
    );
}
