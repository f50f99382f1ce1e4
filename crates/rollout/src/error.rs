//! Errors of invalid rollouts, policies, stages and transitions.

use crate::limits::MAX_STAGES;
use crate::phase::RolloutPhase;

/// Why a policy is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPolicy {
    /// The minimum watch time of a stage is out of range.
    #[error("watch must be from 1 s to a day")]
    WatchTime,
    /// The timeout of a stage is out of range.
    #[error("patience must be at least as long as watch, and at most a week")]
    Timeout,
    /// The interval between two rollback steps is too long.
    #[error("pause between two rollback steps must be at most an hour")]
    RollbackInterval,
    /// The fraction of lost requests that counts as a regression is out of range.
    #[error("worse must be a fraction from 0.001 to 0.5")]
    Regression,
    /// The probability of a false alarm is out of range.
    #[error("error must be a chance from 0.001 to 0.2")]
    FalseAlarm,
}

/// Why a rollout is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRollout {
    /// The policy is invalid.
    #[error(transparent)]
    Policy(#[from] InvalidPolicy),
    /// The rollout has no stages, or too many.
    #[error("a rollout must have 1 to {MAX_STAGES} stages")]
    StageCount,
    /// A stage has no members.
    #[error("a stage has no members")]
    EmptyStage,
    /// A member belongs to two stages.
    #[error("member {0} belongs to two stages")]
    DuplicateMember(String),
    /// A member with a change belongs to no stage, or its change does not exist.
    #[error("member {0} belongs to no stage, or its change does not exist")]
    NoStageOrChange(String),
    /// The phase refers to a stage that does not exist.
    #[error("the phase refers to a stage that the rollout does not have")]
    UnknownStage,
}

/// A member enforces a value that is neither the old nor the new one of the rollout.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{member}: {key} has neither the old nor the new value of the rollout")]
pub struct UnexpectedValue {
    /// Name of the member.
    pub member: String,
    /// Key of the unexpected value.
    pub key: String,
}

/// Why a state of a rollout may not follow the previous one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The new group state lacks the rollout that is under way.
    #[error("a rollout is under way, but the new group state omits it")]
    RolloutOmitted,
    /// The new rollout state is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidRollout),
    /// A new rollout does not begin with its first stage.
    #[error("a rollout must begin with its first stage")]
    NotFirstStage,
    /// Another rollout has not ended.
    #[error("a rollout by {author} is under way ({phase}): wait until it ends, or stop it")]
    AnotherUnderWay {
        /// Author of the rollout that is under way.
        author: String,
        /// Phase of the rollout that is under way.
        phase: RolloutPhase,
    },
    /// The stages, changes, policy or author differ from those of the rollout under way.
    #[error(
        "the author, stages, changes and policy of a rollout that is under way can't be modified"
    )]
    Modified,
    /// The new phase may not follow the previous one.
    #[error("a rollout can't go from \"{from}\" to \"{to}\"")]
    Phase {
        /// Previous phase.
        from: RolloutPhase,
        /// New phase.
        to: RolloutPhase,
    },
}

/// Error of a text that is not a valid stage scope; contains the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid stage \"{0}\": a stage is written \"3\", \"10%\", \"hall:hall-a\" or \"all\"")]
pub struct InvalidScope(pub String);

/// Why members can't be assigned to stages.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StageAssignmentError {
    /// The number of stages, which is 0 or too high.
    #[error("a rollout must have 1 to {MAX_STAGES} stages, not {0}")]
    StageCount(usize),
    /// A stage consists of a zone group that has no members.
    #[error("stage {stage}: hall {zone_group} has no members")]
    EmptyZoneGroup {
        /// Number of the stage, starting at 1.
        stage: usize,
        /// Name of the zone group.
        zone_group: String,
    },
    /// Some members belong to no stage.
    #[error("the stages leave out {left_out} of {members} members: the last one must be \"all\"")]
    MembersLeftOut {
        /// Number of members without a stage.
        left_out: usize,
        /// Number of all members.
        members: usize,
    },
}
