//! Staged rollouts: a change that goes through a group of ingresses in stages, with the old and the new side by side on purpose.
//! No I/O and no clock: time is a [`std::time::Duration`] since any moment.
//!
//! - [`Rollout`]: what the members keep of a rollout; [`check_transition`] says what may follow what. It is a part of what they
//!   decide by majority, so that it outlives any command and any member, and no two controllers can act on it twice.
//! - [`assign_stages`]: which member belongs to which stage.
//! - [`MemberMetrics`]: what a member counts; [`comparison`]: what two cohorts of members differ by in the same seconds.
//! - [`SequentialTest`]: the test that these differences go to.
//! - [`StageMonitor`]: a controller looks at all members, and this says what is to be decided, if anything.

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
pub use sequential_test::{SequentialTest, BETS};
pub use stages::{assign_stages, StageScope};
pub use transition::check_transition;
