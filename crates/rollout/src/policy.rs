//! Policy of a rollout: time limits and statistical bounds of its stages.

use crate::error::InvalidPolicy;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

const MS_PER_DAY: u64 = 86_400_000;
const MIN_WATCH_RANGE_MS: RangeInclusive<u64> = 1_000..=MS_PER_DAY;
const MAX_TIMEOUT_MS: u64 = 7 * MS_PER_DAY;
const MAX_ROLLBACK_INTERVAL_MS: u64 = 3_600_000;
const REGRESSION_RANGE_PPM: RangeInclusive<u32> = 1_000..=500_000;
const FALSE_ALARM_RANGE_PPM: RangeInclusive<u32> = 1_000..=200_000;
/// Parts per million in 1.
const PPM: f64 = 1e6;

/// Time limits and statistical bounds of each stage. All fields are integers, so that serialization does not change the
/// digest of a rollout.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutPolicy {
    /// Minimum time for which a stage is monitored, in milliseconds.
    #[serde(rename = "watch_ms")]
    pub min_watch_ms: u64,
    /// Time after which a stage that is not known to be good is paused, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
    /// Time between two rollback steps, in milliseconds.
    #[serde(rename = "pause_ms")]
    pub rollback_interval_ms: u64,
    /// Maximum number of unavailable members with which the next stage may begin.
    #[serde(rename = "away")]
    pub max_unavailable: usize,
    /// Fraction of the weighted requests, in millionths, whose loss counts as a regression: it must be detected, and it must
    /// be ruled out before a stage counts as good.
    #[serde(rename = "worse_ppm")]
    pub regression_ppm: u32,
    /// Maximum probability, in millionths, that a rollout is stopped although the new version is equal to the old one.
    #[serde(rename = "error_ppm")]
    pub false_alarm_ppm: u32,
}

impl Default for RolloutPolicy {
    fn default() -> Self {
        RolloutPolicy {
            min_watch_ms: 60_000,
            timeout_ms: 600_000,
            rollback_interval_ms: 2_000,
            max_unavailable: 1,
            regression_ppm: 20_000,
            false_alarm_ppm: 10_000,
        }
    }
}

/// Uses the names of the first version. The digest of a group state covers this output, so it must not change.
impl fmt::Debug for RolloutPolicy {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Terms")
            .field("watch_ms", &self.min_watch_ms)
            .field("patience_ms", &self.timeout_ms)
            .field("pause_ms", &self.rollback_interval_ms)
            .field("away", &self.max_unavailable)
            .field("worse_ppm", &self.regression_ppm)
            .field("error_ppm", &self.false_alarm_ppm)
            .finish()
    }
}

impl RolloutPolicy {
    /// Checks that all fields are in their valid ranges.
    ///
    /// # Errors
    ///
    /// See [`InvalidPolicy`].
    pub fn validate(&self) -> Result<(), InvalidPolicy> {
        if !MIN_WATCH_RANGE_MS.contains(&self.min_watch_ms) {
            return Err(InvalidPolicy::WatchTime);
        }
        if !(self.min_watch_ms..=MAX_TIMEOUT_MS).contains(&self.timeout_ms) {
            return Err(InvalidPolicy::Timeout);
        }
        if self.rollback_interval_ms > MAX_ROLLBACK_INTERVAL_MS {
            return Err(InvalidPolicy::RollbackInterval);
        }
        if !REGRESSION_RANGE_PPM.contains(&self.regression_ppm) {
            return Err(InvalidPolicy::Regression);
        }
        if !FALSE_ALARM_RANGE_PPM.contains(&self.false_alarm_ppm) {
            return Err(InvalidPolicy::FalseAlarm);
        }
        Ok(())
    }

    /// Minimum time for which a stage is monitored.
    pub fn min_watch(&self) -> Duration {
        Duration::from_millis(self.min_watch_ms)
    }

    /// Time after which a stage that is not known to be good is paused.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time between two rollback steps.
    pub fn rollback_interval(&self) -> Duration {
        Duration::from_millis(self.rollback_interval_ms)
    }

    /// Fraction of the weighted requests whose loss counts as a regression.
    pub fn regression(&self) -> f64 {
        f64::from(self.regression_ppm) / PPM
    }

    /// Maximum probability that a rollout is stopped although the new version is equal to the old one.
    pub fn false_alarm(&self) -> f64 {
        f64::from(self.false_alarm_ppm) / PPM
    }
}
