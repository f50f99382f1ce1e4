//! Differences between the old and the new state of a member.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use wrenfork_commit::state::State;

/// Changed values of a member's state, by key.
pub type Change = BTreeMap<String, ValueChange>;

/// The old and the new value of a key. Serialized as a pair.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Pair", into = "Pair")]
pub struct ValueChange {
    /// Value in the old state; none if the old state does not have the key.
    pub old: Option<String>,
    /// Value in the new state; none if the new state does not have the key.
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

/// Formats the change as a pair. The digest of a group state covers this output, so it must not change.
impl fmt::Debug for ValueChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        (&self.old, &self.new).fmt(f)
    }
}

/// Returns the values that differ between two states, by key.
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
