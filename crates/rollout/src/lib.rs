//! Staged rollouts: a change reaches the ingresses of a group stage by stage, so that the old and the new version run side by
//! side and can be compared. The package has no I/O and no clock: a point in time is a [`std::time::Duration`] since an
//! arbitrary fixed moment.
//!
//! - [`Rollout`]: the stored state of a rollout. It is part of the group state, which the members decide by majority, so it
//!   survives the loss of any command or member, and two controllers can't both take the same step. [`check_transition`]
//!   checks that a state may follow another.
//! - [`assign_stages`]: assigns each member to a stage.
//! - [`MemberMetrics`]: the metrics that a member reports. [`comparison`]: the differences between two cohorts of members in
//!   the same period.
//! - [`SequentialTest`]: the statistical test that is applied to these differences.
//! - [`StageMonitor`]: takes a controller's observations of all members and returns the next state to decide, if any.

mod change;
pub mod comparison;
mod error;
mod limits;
mod metrics;
mod monitor;
mod phase;
mod policy;
mod program;
mod request_counter;
mod rollout;
mod sequential_test;
mod stages;
mod transition;

pub use change::{difference, Change, ValueChange};
pub use error::{
    InvalidPolicy, InvalidRollout, InvalidScope, StageAssignmentError, TransitionError,
    UnexpectedValue,
};
pub use limits::MAX_STAGES;
pub use metrics::{LatencyBucket, MemberMetrics, RequestCounts, WEIGHT_SCALE};
pub use monitor::{MeasureReport, Observations, StageMonitor, StageReport};
pub use phase::RolloutPhase;
pub use policy::RolloutPolicy;
pub use program::{is_same_program, PROGRAM_KEY};
pub use request_counter::{RequestCounter, RequestOutcome, MAX_KINDS};
pub use rollout::{Rollback, Rollout, Version};
pub use sequential_test::{SequentialTest, BET_COUNT};
pub use stages::{assign_stages, StageScope};
pub use transition::check_transition;
