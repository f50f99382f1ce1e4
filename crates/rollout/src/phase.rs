//! Phases of a rollout.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Phase of a rollout. Stages are numbered from 0.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "phase")]
pub enum RolloutPhase {
    /// All stages up to this one have the new version, and the rollout is being monitored.
    #[serde(rename = "on")]
    Active {
        /// Index of the last stage with the new version.
        stage: usize,
    },
    /// All stages up to this one have the new version, and nothing happens until an operator resumes or stops the rollout.
    #[serde(rename = "held")]
    Paused {
        /// Index of the last stage with the new version.
        stage: usize,
    },
    /// The rollout is being rolled back stage by stage.
    #[serde(rename = "back")]
    RollingBack {
        /// Number of stages that still have the new version.
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
    /// Returns whether this is a final phase.
    pub fn ended(&self) -> bool {
        matches!(self, RolloutPhase::RolledBack | RolloutPhase::Completed)
    }
}

/// Uses the names of the first version. The digest of a group state covers this output, so it must not change.
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
