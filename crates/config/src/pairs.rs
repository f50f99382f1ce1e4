//! The keys and values of the state that an ingress enforces.

use std::collections::BTreeMap;

/// Enforced state: values by key, such as `contracts.1.quota_rate`.
pub type Pairs = BTreeMap<String, String>;
