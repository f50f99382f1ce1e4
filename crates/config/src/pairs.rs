//! The keys and values that an ingress enforces.

use std::collections::BTreeMap;

/// Keys with their values.
pub type Pairs = BTreeMap<String, String>;
