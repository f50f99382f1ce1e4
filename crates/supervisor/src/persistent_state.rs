//! The state that a supervisor stores on disk.

use serde::{Deserialize, Serialize};
use wrenfork_compatibility::Program;

/// The state of a supervisor that must survive its restart, in its stored form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PersistentState {
    /// The program that the group wanted most recently, once the supervisor began to change to it.
    pub wanted: Option<Program>,
    /// The last program that served through its probation. It is started first on a machine on which no process runs yet.
    pub proven: Option<Program>,
    /// The program that failed on this machine. It is not tried again until the group has wanted another one.
    pub failed: Option<Program>,
}
