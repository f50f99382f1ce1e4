//! Limits of a rollout.

/// Maximum number of stages of a rollout.
pub const MAX_STAGES: usize = 32;
