//! What differs between two states that a member enforces.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use wrenfork_commit::state::State;

/// What differs at a member, by key.
pub type Change = BTreeMap<String, ValueChange>;

/// The old and the new value of a key; none where the state does not have it. Its written form is a pair.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Pair", into = "Pair")]
pub struct ValueChange {
    /// The value before.
    pub old: Option<String>,
    /// The value after.
    pub new: Option<String>,
}

type Pair = (Option<String>, Option<String>);

impl From<Pair> for ValueChange {
    fn from((old, new): Pair) -> ValueChange {
        ValueChange { old, new }
    }
}

impl From<ValueChange> for Pair {
    fn from(change: ValueChange) -> Pair {
        (change.old, change.new)
    }
}

/// As a pair: the digest of a group's decision covers it.
impl fmt::Debug for ValueChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        (&self.old, &self.new).fmt(f)
    }
}

/// What differs between two states, by key.
pub fn difference(old: &State, new: &State) -> Change {
    let keys: BTreeSet<&String> = old.0.keys().chain(new.0.keys()).collect();
    keys.into_iter()
        .filter(|key| old.0.get(*key) != new.0.get(*key))
        .map(|key| {
            let values = ValueChange {
                old: old.0.get(key).cloned(),
                new: new.0.get(key).cloned(),
            };
            (key.clone(), values)
        })
        .collect()
}
