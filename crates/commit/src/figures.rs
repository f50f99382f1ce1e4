//! What is used at an ingress and how it goes there, for the eyes of those who plan a change and of a canary.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What customers on a plan use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanUse {
    /// Customers that are known.
    pub customers: u64,
    /// The most that one of them uses, over all ingresses, in units a second.
    pub rate: f64,
    /// The most attempts that one of them has out.
    pub open: u32,
}

/// A node, as an ingress sees it now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeSeen {
    /// The name that discovery knows it by.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// The kind of its machine.
    pub model: String,
    /// Its group.
    pub group: u64,
    /// It is up and does not drain.
    pub takes: bool,
    /// The classes that it is rested for, since it failed.
    #[serde(default)]
    pub rests: Vec<String>,
}

/// Figures of an ingress since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Requests taken.
    #[serde(default)]
    pub taken: u64,
    /// Served.
    #[serde(default)]
    pub served: u64,
    /// Refused.
    #[serde(default)]
    pub refused: u64,
    /// Failed.
    #[serde(default)]
    pub failed: u64,
    /// By the name of the plan.
    #[serde(default)]
    pub plans: BTreeMap<String, PlanUse>,
    /// The nodes that it knows, where pools may change.
    #[serde(default)]
    pub nodes: Vec<NodeSeen>,
}

// For those who compare messages; figures are never NaN.
impl Eq for Figures {}

impl std::hash::Hash for Figures {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (self.taken, self.served, self.refused, self.failed).hash(state);
    }
}

impl Figures {
    /// What came between an earlier look and this one.
    pub fn since(&self, earlier: &Figures) -> Figures {
        Figures {
            taken: self.taken.saturating_sub(earlier.taken),
            served: self.served.saturating_sub(earlier.served),
            refused: self.refused.saturating_sub(earlier.refused),
            failed: self.failed.saturating_sub(earlier.failed),
            plans: self.plans.clone(),
            nodes: self.nodes.clone(),
        }
    }

    /// The share of what was answered that was refused or failed; nought where nothing was.
    pub fn lost(&self) -> f64 {
        let all = self.served + self.refused + self.failed;
        if all == 0 {
            0.0
        } else {
            (self.refused + self.failed) as f64 / all as f64
        }
    }

    /// Both together: more of the same.
    pub fn add(&mut self, other: &Figures) {
        self.taken += other.taken;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        for (name, its) in &other.plans {
            let p = self.plans.entry(name.clone()).or_default();
            p.customers = p.customers.max(its.customers);
            p.rate = p.rate.max(its.rate);
            p.open = p.open.max(its.open);
        }
    }
}
