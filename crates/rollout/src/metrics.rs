//! What a member tells of itself to a controller of a rollout.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts of a priority weight of 1: weights are summed as whole numbers.
pub const WEIGHT_SCALE: f64 = 1_000.0;

/// What became of the requests of a class on a plan. Requests beyond their customer's quota are in none of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestCounts {
    /// The priority weight of one request, in parts of [`WEIGHT_SCALE`].
    #[serde(rename = "worth")]
    pub weight: u64,
    /// Requests that have ended.
    #[serde(rename = "asked")]
    pub total: u64,
    /// Of these rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Of these failed.
    pub failed: u64,
}

impl RequestCounts {
    /// Adds what was counted elsewhere, or later, of the same requests; its weight counts.
    pub(crate) fn add(&mut self, more: &RequestCounts) {
        self.weight = more.weight;
        self.total += more.total;
        self.rejected += more.rejected;
        self.failed += more.failed;
    }

    /// What was counted since an earlier look.
    pub(crate) fn since(&self, earlier: &RequestCounts) -> RequestCounts {
        RequestCounts {
            weight: self.weight,
            total: self.total.saturating_sub(earlier.total),
            rejected: self.rejected.saturating_sub(earlier.rejected),
            failed: self.failed.saturating_sub(earlier.failed),
        }
    }

    /// Such a number of requests as a fraction of all.
    pub(crate) fn fraction(&self, requests: u64) -> f64 {
        requests as f64 / self.total.max(1) as f64
    }
}

/// Responses of one latency. Its written form is a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LatencyBucket {
    /// Microseconds.
    pub latency_us: u64,
    /// How many responses.
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

/// What a member tells of itself; counts are from its start on. A member that runs another version may tell less.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberMetrics {
    /// Drawn at the start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Milliseconds since then.
    #[serde(rename = "age_ms")]
    pub uptime_ms: u64,
    /// The version of the group's state that it serves under.
    #[serde(rename = "number")]
    pub group_version: u64,
    /// The version that was stored in its folder when its process started; 0 for none.
    #[serde(rename = "began")]
    pub version_at_start: u64,
    /// The program that it runs, as its supervisor says; empty without one.
    pub program: String,
    /// Whether its process was started on purpose in the place of another program's.
    #[serde(rename = "changed")]
    pub is_replacement: bool,
    /// Whether it has been told, under this version, that it is its turn to change its program.
    #[serde(rename = "turn")]
    pub has_turn: bool,
    /// Why the program that it is to run does not come into service there, if it does not.
    #[serde(rename = "unfit")]
    pub unfit_reason: String,
    /// Its zone group.
    #[serde(rename = "hall")]
    pub zone_group: String,
    /// Microseconds of processor time.
    pub cpu_us: u64,
    /// Kilobytes of resident memory.
    pub memory_kb: u64,
    /// By class and plan, written `class/plan`.
    #[serde(rename = "kinds")]
    pub requests: BTreeMap<String, RequestCounts>,
    /// By class: the latencies of the requests that were served.
    #[serde(rename = "times")]
    pub latencies: BTreeMap<String, Vec<LatencyBucket>>,
}
