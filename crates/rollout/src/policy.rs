//! What is asked of each stage of a rollout.

use crate::error::InvalidPolicy;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

const MS_PER_DAY: u64 = 86_400_000;
const MIN_WATCH_MS: RangeInclusive<u64> = 1_000..=MS_PER_DAY;
const MAX_TIMEOUT_MS: u64 = 7 * MS_PER_DAY;
const MAX_ROLLBACK_INTERVAL_MS: u64 = 3_600_000;
const REGRESSION_PPM: RangeInclusive<u32> = 1_000..=500_000;
const FALSE_ALARM_PPM: RangeInclusive<u32> = 1_000..=200_000;
/// Parts per million of a whole.
const MILLION: f64 = 1e6;

/// What is asked of each stage. Whole numbers: the digest of a rollout must survive being written and read.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutPolicy {
    /// Milliseconds for which a stage is watched at the least.
    #[serde(rename = "watch_ms")]
    pub min_watch_ms: u64,
    /// Milliseconds after which a stage that is not known to be good is paused.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
    /// Milliseconds between two steps back.
    #[serde(rename = "pause_ms")]
    pub rollback_interval_ms: u64,
    /// Members that may be unavailable while another stage begins.
    #[serde(rename = "away")]
    pub max_unavailable: usize,
    /// The fraction of the weighted requests, in millionths, whose loss must be found, and must be ruled out before a stage
    /// counts as good.
    #[serde(rename = "worse_ppm")]
    pub regression_ppm: u32,
    /// The probability, in millionths, that a rollout of an equal is stopped.
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

/// In the written form of the first version: the digest of a group's decision covers it.
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
    /// Checks a policy that came from elsewhere.
    ///
    /// # Errors
    ///
    /// See [`InvalidPolicy`].
    pub fn validate(&self) -> Result<(), InvalidPolicy> {
        if !MIN_WATCH_MS.contains(&self.min_watch_ms) {
            return Err(InvalidPolicy::WatchTime);
        }
        if !(self.min_watch_ms..=MAX_TIMEOUT_MS).contains(&self.timeout_ms) {
            return Err(InvalidPolicy::Timeout);
        }
        if self.rollback_interval_ms > MAX_ROLLBACK_INTERVAL_MS {
            return Err(InvalidPolicy::RollbackInterval);
        }
        if !REGRESSION_PPM.contains(&self.regression_ppm) {
            return Err(InvalidPolicy::Regression);
        }
        if !FALSE_ALARM_PPM.contains(&self.false_alarm_ppm) {
            return Err(InvalidPolicy::FalseAlarm);
        }
        Ok(())
    }

    /// For how long a stage is watched at the least.
    pub fn min_watch(&self) -> Duration {
        Duration::from_millis(self.min_watch_ms)
    }

    /// After which time a stage that is not known to be good is paused.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// The time between two steps back.
    pub fn rollback_interval(&self) -> Duration {
        Duration::from_millis(self.rollback_interval_ms)
    }

    /// The fraction of the weighted requests whose loss counts.
    pub fn regression(&self) -> f64 {
        f64::from(self.regression_ppm) / MILLION
    }

    /// The probability that a rollout of an equal is stopped.
    pub fn false_alarm(&self) -> f64 {
        f64::from(self.false_alarm_ppm) / MILLION
    }
}
