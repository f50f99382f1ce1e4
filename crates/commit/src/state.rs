//! What an ingress enforces: settings, plans, classes and accounts as keys with values, and a digest over all of them.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// What is enforced, by key, such as `contracts.1.quota_rate`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct State(pub BTreeMap<String, String>);

/// A SHA-256 digest in lower-case hex.
///
/// Its `Debug` form goes into the digests of group states and the lots of rollouts, and must stay as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub String);

impl Digest {
    /// Length of a digest, in hex digits.
    const HEX_LENGTH: usize = 64;
    /// Length of a digest as it is shown to people.
    const SHORT_LENGTH: usize = 8;

    /// Computes the digest of bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut text = String::with_capacity(Digest::HEX_LENGTH);
        for byte in Sha256::digest(bytes) {
            let _ = write!(text, "{byte:02x}");
        }
        Digest(text)
    }

    /// The first eight digits, for people.
    pub fn short(&self) -> &str {
        self.0.get(..Digest::SHORT_LENGTH).unwrap_or(&self.0)
    }
}

impl State {
    /// The canonical form: a line for each key in order, with the lengths of key and value first, so that no two states have
    /// the same text.
    pub fn canonical(&self) -> String {
        let mut text = String::new();
        for (key, value) in &self.0 {
            let _ = writeln!(text, "{} {} {key}={value}", key.len(), value.len());
        }
        text
    }

    /// The digest of the canonical form.
    pub fn digest(&self) -> Digest {
        Digest::of(self.canonical().as_bytes())
    }
}

/// A version of what an ingress enforces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Generation {
    /// Its number: each change has a higher one than all before it at any of its ingresses.
    pub number: u64,
    /// Digest of its state.
    pub digest: Digest,
}

/// A key with different values in two states.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The key.
    pub key: String,
    /// Value in the old state; none if the key is added.
    pub old: Option<String>,
    /// Value in the new state; none if the key is removed.
    pub new: Option<String>,
    /// Number of accounts it affects: those on the plan it belongs to, or the account it is.
    pub accounts: u64,
}

/// The differences between two states, by key.
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

/// The number of accounts of a state by name of their plan.
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

/// Two states, and the number of accounts on each plan of both.
struct AccountCounts<'a> {
    old: &'a State,
    new: &'a State,
    by_old_plan: BTreeMap<&'a str, u64>,
    by_new_plan: BTreeMap<&'a str, u64>,
}

impl AccountCounts<'_> {
    /// Number of accounts that a difference of a key affects.
    fn affected_by(&self, key: &str) -> u64 {
        let mut parts = key.splitn(3, '.');
        match (parts.next(), parts.next()) {
            (Some("accounts"), _) => 1,
            (Some("contracts"), Some(index)) => {
                let before = accounts_on(self.old, &self.by_old_plan, index);
                let after = accounts_on(self.new, &self.by_new_plan, index);
                before.max(after)
            }
            _ => 0,
        }
    }
}

/// Number of accounts on the plan with an index.
fn accounts_on(state: &State, by_plan: &BTreeMap<&str, u64>, index: &str) -> u64 {
    let name = state.0.get(&format!("contracts.{index}.name"));
    let name = name.map_or("", String::as_str);
    by_plan.get(name).copied().unwrap_or(0)
}
