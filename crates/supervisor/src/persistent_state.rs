//! What a supervisor keeps on the disk.

use serde::{Deserialize, Serialize};
use wrenfork_compatibility::Program;

/// What a supervisor must not forget, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PersistentState {
    /// What the group wanted last.
    pub wanted: Option<Program>,
    /// The last program that has proven itself: what a machine starts with.
    pub proven: Option<Program>,
    /// The program that was given up, until another one is wanted.
    pub failed: Option<Program>,
}
