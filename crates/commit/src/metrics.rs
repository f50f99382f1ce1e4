//! Usage and request metrics of an ingress, used to review a change or to evaluate a canary.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Usage of the customers on a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanUsage {
    /// Number of known customers on the plan.
    pub customers: u64,
    /// Highest usage of any customer over all ingresses, in units per second.
    pub rate: f64,
    /// Highest number of open attempts of any customer.
    #[serde(rename = "open")]
    pub open_attempts: u32,
}

/// A backend node as observed by an ingress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservedNode {
    /// Name of the node in service discovery.
    pub name: String,
    /// Zone group of the node.
    #[serde(rename = "hall")]
    pub zone_group: String,
    /// Machine model of the node.
    pub model: String,
    /// Number of the group that the node belongs to.
    pub group: u64,
    /// Whether the node is up and not draining.
    #[serde(rename = "takes")]
    pub accepting: bool,
    /// Names of the classes for which the node is ejected.
    #[serde(rename = "rests", default)]
    pub ejected_for: Vec<String>,
}

/// Metrics of an ingress, counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IngressMetrics {
    /// Number of requests received.
    #[serde(rename = "taken", default)]
    pub received: u64,
    /// Number of requests served successfully.
    #[serde(default)]
    pub served: u64,
    /// Number of requests rejected.
    #[serde(rename = "refused", default)]
    pub rejected: u64,
    /// Number of requests that failed.
    #[serde(default)]
    pub failed: u64,
    /// Usage by plan name.
    #[serde(default)]
    pub plans: BTreeMap<String, PlanUsage>,
    /// Known nodes, if the pools may change.
    #[serde(default)]
    pub nodes: Vec<ObservedNode>,
}

// Messages that contain metrics are compared and hashed, which requires `Eq`. The `f64` fields are never NaN.
impl Eq for IngressMetrics {}

impl Hash for IngressMetrics {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.received, self.served, self.rejected, self.failed).hash(state);
    }
}

impl IngressMetrics {
    /// Returns the request counts since an earlier sample, with the plans and nodes of this sample.
    pub fn since(&self, earlier: &IngressMetrics) -> IngressMetrics {
        IngressMetrics {
            received: self.received.saturating_sub(earlier.received),
            served: self.served.saturating_sub(earlier.served),
            rejected: self.rejected.saturating_sub(earlier.rejected),
            failed: self.failed.saturating_sub(earlier.failed),
            plans: self.plans.clone(),
            nodes: self.nodes.clone(),
        }
    }

    /// Returns the fraction of the finished requests that were rejected or failed; 0 if no request has finished.
    pub fn failure_ratio(&self) -> f64 {
        let lost = self.rejected + self.failed;
        let answered = self.served + lost;
        if answered == 0 {
            0.0
        } else {
            lost as f64 / answered as f64
        }
    }

    /// Adds the request counts of another ingress, and keeps the higher usage for each plan.
    pub fn merge(&mut self, other: &IngressMetrics) {
        self.received += other.received;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        for (name, usage) in &other.plans {
            let merged = self.plans.entry(name.clone()).or_default();
            merged.customers = merged.customers.max(usage.customers);
            merged.rate = merged.rate.max(usage.rate);
            merged.open_attempts = merged.open_attempts.max(usage.open_attempts);
        }
    }
}
