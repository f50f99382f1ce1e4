//! Why a rollout, a part of one, or a step of one is not accepted. The messages are for people.

use crate::limits::MAX_STAGES;
use crate::phase::RolloutPhase;

/// What is wrong with a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPolicy {
    /// The time for which a stage is watched.
    #[error("a stage is watched for 1 s to a day")]
    WatchTime,
    /// The timeout of a stage.
    #[error("patience is as long as a stage is watched at the least, and a week at the most")]
    Timeout,
    /// The time between two steps back.
    #[error("a pause between two steps back is an hour at the most")]
    RollbackInterval,
    /// The loss that counts as worse.
    #[error("what counts as worse is a share from 0.001 to 0.5")]
    Regression,
    /// The chance of a false alarm.
    #[error("the error is a chance from 0.001 to 0.2")]
    FalseAlarm,
}

/// What is wrong with a rollout.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRollout {
    /// Its policy.
    #[error(transparent)]
    Policy(#[from] InvalidPolicy),
    /// It has no stage, or too many.
    #[error("a rollout has 1 to {MAX_STAGES} stages")]
    StageCount,
    /// A stage without members.
    #[error("a stage has no member")]
    EmptyStage,
    /// A member of two stages.
    #[error("{0} belongs to two stages")]
    TwoStages(String),
    /// A member with a change and no stage, or with a change that is not there.
    #[error("{0} belongs to no stage, or has no change")]
    NoStageOrChange(String),
    /// A phase of a stage that is not there.
    #[error("it stands in a stage that it does not have")]
    UnknownStage,
}

/// A member enforces a value that is neither the old nor the new one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{member}: {key} is neither as it was nor as it is to be")]
pub struct UnexpectedValue {
    /// The member's name.
    pub member: String,
    /// The key of the value.
    pub key: String,
}

/// Why one state of a rollout may not follow another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// A decision that leaves out the rollout that is under way.
    #[error("a rollout is under way, and this knows nothing of it")]
    LeftOut,
    /// The next state is not valid.
    #[error(transparent)]
    Invalid(#[from] InvalidRollout),
    /// A rollout that begins elsewhere than in its first stage.
    #[error("a rollout begins with its first stage")]
    NotFirstStage,
    /// Another rollout has not ended.
    #[error("a rollout by {author} is under way ({phase}): it must end first, or be stopped")]
    AnotherUnderWay {
        /// Who began that.
        author: String,
        /// Where it stands.
        phase: RolloutPhase,
    },
    /// A rollout whose stages, changes or policy are others than at its beginning.
    #[error("a rollout that is under way stays as it was begun")]
    Altered,
    /// A phase that may not follow the one before.
    #[error("\"{to}\" does not follow \"{from}\"")]
    Phase {
        /// The phase before.
        from: RolloutPhase,
        /// The phase after.
        to: RolloutPhase,
    },
}

/// A text that is no scope of a stage.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a stage is written \"3\", \"10%\", \"hall:hall-a\" or \"all\", not \"{0}\"")]
pub struct InvalidScope(pub String);

/// Why members can't be assigned to stages.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StageAssignmentError {
    /// No stage, or too many.
    #[error("a rollout has 1 to {MAX_STAGES} stages, not {0}")]
    StageCount(usize),
    /// A stage of a zone group without members; stages count from 1.
    #[error("stage {stage}: nobody stands in hall {zone_group}")]
    EmptyZoneGroup {
        /// The stage.
        stage: usize,
        /// The zone group.
        zone_group: String,
    },
    /// Members that belong to no stage.
    #[error("the last stage leaves {left_out} of {members} members out: it must be \"all\"")]
    MembersLeftOut {
        /// How many.
        left_out: usize,
        /// Of so many.
        members: usize,
    },
}
