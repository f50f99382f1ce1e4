//! What an ingress enforces: settings, plans, classes, accounts, each a key with a value, and a digest of all.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// What is enforced, by key, such as `contracts.1.quota_rate`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct State(pub BTreeMap<String, String>);

/// SHA-256 over a state's canonical form, in hex.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub String);

impl Digest {
    /// Of bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut text = String::with_capacity(64);
        for byte in Sha256::digest(bytes) {
            let _ = write!(text, "{byte:02x}");
        }
        Digest(text)
    }

    /// Its first eight digits, for people.
    pub fn short(&self) -> &str {
        self.0.get(..8).unwrap_or(&self.0)
    }
}

impl State {
    /// The canonical form: a line for each key, in their order, each with both lengths before it, so that no two states
    /// have the same text.
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

/// A state that an ingress enforces, or has enforced: its number and its digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Generation {
    /// Its number; each change has a higher one than all before it on any of its ingresses.
    pub number: u64,
    /// Of its state.
    pub digest: Digest,
}

/// One key that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The key.
    pub key: String,
    /// Its value so far; none where it is new.
    pub old: Option<String>,
    /// Its new value; none where it goes.
    pub new: Option<String>,
    /// Accounts that it touches: those on the plan that it is of, or the one that it is.
    pub accounts: u64,
}

/// The accounts of a state by the name of their plan.
fn by_plan(state: &State) -> BTreeMap<&str, u64> {
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

/// What differs between two states, by key.
pub fn differences(old: &State, new: &State) -> Vec<Difference> {
    let gone = old.0.iter().filter(|(key, _)| !new.0.contains_key(*key));
    let gone = gone.map(|(key, value)| Difference {
        key: key.clone(),
        old: Some(value.clone()),
        new: None,
        accounts: 0,
    });
    let other = new
        .0
        .iter()
        .filter(|(key, value)| old.0.get(*key) != Some(value));
    let other = other.map(|(key, value)| Difference {
        key: key.clone(),
        old: old.0.get(key).cloned(),
        new: Some(value.clone()),
        accounts: 0,
    });
    let mut all: Vec<Difference> = gone.chain(other).collect();
    let (before, after) = (by_plan(old), by_plan(new));
    for d in &mut all {
        let mut parts = d.key.splitn(3, '.');
        d.accounts = match (parts.next(), parts.next()) {
            (Some("accounts"), _) => 1,
            (Some("contracts"), Some(place)) => {
                let name = |s: &State| {
                    s.0.get(&format!("contracts.{place}.name"))
                        .cloned()
                        .unwrap_or_default()
                };
                let on = |counts: &BTreeMap<&str, u64>, name: String| {
                    counts.get(&*name).copied().unwrap_or(0)
                };
                on(&after, name(new)).max(on(&before, name(old)))
            }
            _ => 0,
        };
    }
    all.sort_by(|a, b| a.key.cmp(&b.key));
    all
}

#[cfg(test)]
mod tests {
    use super::{differences, State};

    fn state(pairs: &[(&str, &str)]) -> State {
        State(
            pairs
                .iter()
                .map(|(k, v)| (k.to_string(), v.to_string()))
                .collect(),
        )
    }

    /// Guards against two states with one digest: values that look like the start of another line.
    #[test]
    fn no_two_states_share_a_canonical_form() {
        let states = [
            state(&[]),
            state(&[("a", "1")]),
            state(&[("a", "1\n1 1 b=2")]),
            state(&[("a", "1"), ("b", "2")]),
            state(&[("a=1", "")]),
            state(&[("a", "=1")]),
        ];
        for (n, one) in states.iter().enumerate() {
            for other in &states[n + 1..] {
                assert_ne!(one.digest(), other.digest(), "{one:?} {other:?}");
            }
        }
        assert_eq!(states[0].digest().0.len(), 64);
    }

    #[test]
    fn what_differs_is_told_key_by_key() {
        let (old, new) = (
            state(&[("a", "1"), ("b", "2"), ("c", "3")]),
            state(&[("b", "2"), ("c", "4"), ("d", "5")]),
        );
        let found = differences(&old, &new);
        let text: Vec<String> = found
            .iter()
            .map(|d| format!("{} {:?} {:?}", d.key, d.old, d.new))
            .collect();
        assert_eq!(
            text,
            [
                r#"a Some("1") None"#,
                r#"c Some("3") Some("4")"#,
                r#"d None Some("5")"#
            ]
        );
        assert_eq!(differences(&new, &new), []);
    }

    #[test]
    fn the_accounts_on_a_plan_that_changes_are_counted() {
        let plan = |rate: &str| {
            let pairs = [
                ("contracts.0.name", "starter"),
                ("contracts.0.quota_rate", rate),
                ("accounts.1", "starter"),
            ];
            state(
                &[
                    &pairs[..],
                    &[("accounts.2", "starter"), ("accounts.3", "business")],
                ]
                .concat(),
            )
        };
        let found = differences(&plan("8"), &plan("4"));
        assert_eq!((found.len(), found[0].accounts), (1, 2));
    }
}
