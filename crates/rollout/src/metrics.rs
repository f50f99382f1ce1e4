//! Metrics that a member reports to the controller of a rollout.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of units in a priority weight of 1: weights are stored as integers, in thousandths.
pub const WEIGHT_SCALE: f64 = 1_000.0;

/// Outcomes of the requests of a class on a plan. Requests beyond their customer's quota are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Priority weight of one request, in units of 1 / [`WEIGHT_SCALE`].
    #[serde(rename = "worth")]
    pub weight: u64,
    /// Number of requests that have ended.
    #[serde(rename = "asked")]
    pub total: u64,
    /// Number of ended requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of ended requests that failed.
    pub failed: u64,
}

impl RequestCounts {
    /// Adds counts of the same class and plan from another member or a later period, and takes over their weight.
    pub(crate) fn add(&mut self, more: &RequestCounts) {
        self.weight = more.weight;
        self.total += more.total;
        self.rejected += more.rejected;
        self.failed += more.failed;
    }

    /// Returns the counts since an earlier sample.
    pub(crate) fn since(&self, earlier: &RequestCounts) -> RequestCounts {
        RequestCounts {
            weight: self.weight,
            total: self.total.saturating_sub(earlier.total),
            rejected: self.rejected.saturating_sub(earlier.rejected),
            failed: self.failed.saturating_sub(earlier.failed),
        }
    }

    /// Returns a number of requests as a fraction of the total; 0 if there are no requests.
    pub(crate) fn fraction(&self, requests: u64) -> f64 {
        requests as f64 / self.total.max(1) as f64
    }
}

/// Number of responses with one latency. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LatencyBucket {
    /// Latency in microseconds.
    pub latency_us: u64,
    /// Number of responses.
    pub count: u64,
}

impl From<(u64, u64)> for LatencyBucket {
    fn from((latency_us, count): (u64, u64)) -> LatencyBucket {
        LatencyBucket { latency_us, count }
    }
}

impl From<LatencyBucket> for (u64, u64) {
    fn from(bucket: LatencyBucket) -> (u64, u64) {
        (bucket.latency_us, bucket.count)
    }
}

/// Metrics of a member, counted since the start of its process. Fields that a member of another version does not report
/// have their default values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberMetrics {
    /// Random number drawn at the start of the process, which identifies that run of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time since the start of the process, in milliseconds.
    #[serde(rename = "age_ms")]
    pub uptime_ms: u64,
    /// Version of the group state under which the member serves.
    #[serde(rename = "number")]
    pub group_version: u64,
    /// Version of the group state that was stored in the member's folder when the process started; 0 for none.
    #[serde(rename = "began")]
    pub version_at_start: u64,
    /// Program that the member runs, as given by its supervisor; empty without a supervisor.
    pub program: String,
    /// Whether the process was started to replace that of another program.
    #[serde(rename = "changed")]
    pub is_replacement: bool,
    /// Whether the member has been told, under this version of the group state, that it may change its program now.
    #[serde(rename = "turn")]
    pub has_turn: bool,
    /// Why the program that the member must run failed to come into service; empty if there is no failure.
    #[serde(rename = "unfit")]
    pub unfit_reason: String,
    /// Zone group of the member.
    #[serde(rename = "hall")]
    pub zone_group: String,
    /// Processor time that handling requests used, in microseconds.
    pub cpu_us: u64,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Request counts by class and plan, with keys of the form `class/plan`.
    #[serde(rename = "kinds")]
    pub requests: BTreeMap<String, RequestCounts>,
    /// Latencies of served requests, by class.
    #[serde(rename = "times")]
    pub latencies: BTreeMap<String, Vec<LatencyBucket>>,
}
