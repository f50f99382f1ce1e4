//! Where a rollout stands.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Where a rollout stands. Stages count from 0.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "phase")]
pub enum RolloutPhase {
    /// The stages up to this one have the new version, and it is watched.
    #[serde(rename = "on")]
    Active {
        /// The last of them.
        stage: usize,
    },
    /// The same, and nothing goes on until somebody resumes it.
    #[serde(rename = "held")]
    Paused {
        /// The last of them.
        stage: usize,
    },
    /// It is being taken back, stage by stage.
    #[serde(rename = "back")]
    RollingBack {
        /// So many stages still have the new version.
        #[serde(rename = "left")]
        remaining: usize,
    },
    /// All members have the old version.
    #[serde(rename = "stopped")]
    RolledBack,
    /// All members have the new version.
    #[serde(rename = "done")]
    Completed,
}

impl RolloutPhase {
    /// Whether nothing comes after it.
    pub fn ended(&self) -> bool {
        matches!(self, RolloutPhase::RolledBack | RolloutPhase::Completed)
    }
}

/// In the written form of the first version: the digest of a group's decision covers it.
impl fmt::Debug for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RolloutPhase::Active { stage } => f.debug_struct("On").field("stage", stage).finish(),
            RolloutPhase::Paused { stage } => f.debug_struct("Held").field("stage", stage).finish(),
            RolloutPhase::RollingBack { remaining } => {
                f.debug_struct("Back").field("left", remaining).finish()
            }
            RolloutPhase::RolledBack => f.write_str("Stopped"),
            RolloutPhase::Completed => f.write_str("Done"),
        }
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RolloutPhase::Active { stage } => write!(f, "stage {}", stage + 1),
            RolloutPhase::Paused { stage } => write!(f, "held in stage {}", stage + 1),
            RolloutPhase::RollingBack { remaining } => {
                write!(f, "being taken back, {remaining} stages to go")
            }
            RolloutPhase::RolledBack => write!(f, "stopped: all have the old one"),
            RolloutPhase::Completed => write!(f, "done: all have the new one"),
        }
    }
}
