//! The configuration that an ingress enforces: settings, plans, classes and accounts as key-value pairs, and their digest.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// A configuration as values by key, with keys such as `contracts.1.quota_rate`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct State(pub BTreeMap<String, String>);

/// A SHA-256 digest in lower-case hex.
///
/// The `Debug` output is hashed into the digests of group states and into the update order of rollouts, so it must not
/// change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub String);

impl Digest {
    /// Length of a SHA-256 digest in hex digits.
    const HEX_LENGTH: usize = 64;
    /// Length of the abbreviated form, in hex digits.
    const SHORT_LENGTH: usize = 8;

    /// Computes the SHA-256 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut text = String::with_capacity(Digest::HEX_LENGTH);
        for byte in Sha256::digest(bytes) {
            let _ = write!(text, "{byte:02x}");
        }
        Digest(text)
    }

    /// Returns the first eight hex digits, for display.
    pub fn short(&self) -> &str {
        self.0.get(..Digest::SHORT_LENGTH).unwrap_or(&self.0)
    }
}

impl State {
    /// Returns the canonical form: one line per key in key order, each starting with the lengths of key and value, so that
    /// different states never have the same text.
    pub fn canonical(&self) -> String {
        let mut text = String::new();
        for (key, value) in &self.0 {
            let _ = writeln!(text, "{} {} {key}={value}", key.len(), value.len());
        }
        text
    }

    /// Computes the digest of the canonical form.
    pub fn digest(&self) -> Digest {
        Digest::of(self.canonical().as_bytes())
    }
}

/// A version of the state that an ingress enforces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Generation {
    /// Number of the generation, higher than that of every earlier change on any of the change's ingresses.
    pub number: u64,
    /// Digest of the generation's state.
    pub digest: Digest,
}

/// A key whose value differs between two states.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Key in [`State`].
    pub key: String,
    /// Value in the old state; none if the key is added.
    pub old: Option<String>,
    /// Value in the new state; none if the key is removed.
    pub new: Option<String>,
    /// Number of accounts affected: the accounts on the plan that the key belongs to, 1 for the key of an account, 0 for
    /// any other key.
    pub accounts: u64,
}

/// Returns the differences between two states, sorted by key.
pub fn differences(old: &State, new: &State) -> Vec<Difference> {
    let accounts = AccountCounts {
        old,
        new,
        by_old_plan: accounts_by_plan(old),
        by_new_plan: accounts_by_plan(new),
    };
    let removed = old.0.keys().filter(|key| !new.0.contains_key(*key));
    let changed = new
        .0
        .keys()
        .filter(|key| old.0.get(*key) != new.0.get(*key));
    let mut keys: Vec<&String> = removed.chain(changed).collect();
    keys.sort();
    let difference = |key: &String| Difference {
        key: key.clone(),
        old: old.0.get(key).cloned(),
        new: new.0.get(key).cloned(),
        accounts: accounts.affected_by(key),
    };
    keys.into_iter().map(difference).collect()
}

/// Counts the accounts of a state by plan name.
fn accounts_by_plan(state: &State) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    let accounts = state
        .0
        .range("accounts.".to_string()..)
        .take_while(|(key, _)| key.starts_with("accounts."));
    for (_, plan) in accounts {
        *counts.entry(plan.as_str()).or_default() += 1;
    }
    counts
}

/// Two states with the number of accounts on each of their plans, by plan name.
struct AccountCounts<'a> {
    old: &'a State,
    new: &'a State,
    by_old_plan: BTreeMap<&'a str, u64>,
    by_new_plan: BTreeMap<&'a str, u64>,
}

impl AccountCounts<'_> {
    /// Returns the number of accounts affected by a change of this key.
    fn affected_by(&self, key: &str) -> u64 {
        let mut segments = key.splitn(3, '.');
        match (segments.next(), segments.next()) {
            (Some("accounts"), _) => 1,
            (Some("contracts"), Some(index)) => {
                let before = accounts_on_plan(self.old, &self.by_old_plan, index);
                let after = accounts_on_plan(self.new, &self.by_new_plan, index);
                before.max(after)
            }
            _ => 0,
        }
    }
}

/// Returns the number of accounts on the plan at this index of the `contracts` keys; 0 if there is no such plan.
fn accounts_on_plan(state: &State, by_plan: &BTreeMap<&str, u64>, index: &str) -> u64 {
    let name = state.0.get(&format!("contracts.{index}.name"));
    let name = name.map_or("", String::as_str);
    by_plan.get(name).copied().unwrap_or(0)
}
