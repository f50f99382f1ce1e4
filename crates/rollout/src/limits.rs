//! Bounds of a rollout.

/// The most stages of a rollout.
pub const MAX_STAGES: usize = 32;
