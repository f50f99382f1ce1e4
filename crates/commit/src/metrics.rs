//! Usage and request metrics of an ingress, for whoever reviews a change or judges a canary.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Usage of the customers on a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanUsage {
    /// Number of known customers.
    pub customers: u64,
    /// Highest usage of a customer over all ingresses, in units per second.
    pub rate: f64,
    /// Highest number of open attempts of a customer.
    #[serde(rename = "open")]
    pub open_attempts: u32,
}

/// A node, as an ingress observes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservedNode {
    /// Name in service discovery.
    pub name: String,
    /// Zone group of the node.
    #[serde(rename = "hall")]
    pub zone_group: String,
    /// Model of its machine.
    pub model: String,
    /// Group it belongs to.
    pub group: u64,
    /// Whether it is up and not draining.
    #[serde(rename = "takes")]
    pub accepting: bool,
    /// Classes it is ejected for.
    #[serde(rename = "rests", default)]
    pub ejected_for: Vec<String>,
}

/// Metrics of an ingress since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IngressMetrics {
    /// Requests received.
    #[serde(rename = "taken", default)]
    pub received: u64,
    /// Requests served.
    #[serde(default)]
    pub served: u64,
    /// Requests rejected.
    #[serde(rename = "refused", default)]
    pub rejected: u64,
    /// Requests failed.
    #[serde(default)]
    pub failed: u64,
    /// Usage by name of the plan.
    #[serde(default)]
    pub plans: BTreeMap<String, PlanUsage>,
    /// Known nodes, where pools may change.
    #[serde(default)]
    pub nodes: Vec<ObservedNode>,
}

// Messages are compared and hashed; metrics are never NaN.
impl Eq for IngressMetrics {}

impl Hash for IngressMetrics {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.received, self.served, self.rejected, self.failed).hash(state);
    }
}

impl IngressMetrics {
    /// The counts since an earlier sample; plans and nodes are those of this one.
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

    /// Fraction of the answered requests that were rejected or failed; 0 if none was answered.
    pub fn failure_ratio(&self) -> f64 {
        let lost = self.rejected + self.failed;
        let answered = self.served + lost;
        if answered == 0 {
            0.0
        } else {
            lost as f64 / answered as f64
        }
    }

    /// Adds the counts of another ingress; of each plan the highest usage is kept.
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
