//! Allowed transitions between states of a rollout.

use crate::error::TransitionError;
use crate::phase::RolloutPhase;
use crate::rollout::Rollout;

/// Checks whether a rollout state may follow the previous one in a group. The members check this before they accept a new group
/// state, so that no command or controller of any version can bypass it. It guarantees that there is one rollout at a time,
/// that no stage is skipped, that no stage begins after a stop, and that a rollout ends with one version on all members.
///
/// # Errors
///
/// See [`TransitionError`].
pub fn check_transition(
    before: Option<&Rollout>,
    after: Option<&Rollout>,
) -> Result<(), TransitionError> {
    let active = before.filter(|rollout| !rollout.phase.ended());
    let after = match (active, after) {
        (None, None) => return Ok(()),
        (Some(_), None) => return Err(TransitionError::RolloutOmitted),
        (_, Some(after)) => after,
    };
    if before == Some(after) {
        // The new group state changes something else, not the rollout.
        return Ok(());
    }
    after.validate()?;
    match active {
        Some(active) => check_step(active, after),
        None if after.phase == (RolloutPhase::Active { stage: 0 }) => Ok(()),
        None => Err(TransitionError::NotFirstStage),
    }
}

/// Checks the next state of a rollout that is under way.
fn check_step(active: &Rollout, after: &Rollout) -> Result<(), TransitionError> {
    if active.id != after.id {
        return Err(TransitionError::AnotherUnderWay {
            author: active.author.clone(),
            phase: active.phase.clone(),
        });
    }
    if active.with_phase(after.phase.clone(), after.reason.clone()) != *after {
        return Err(TransitionError::Modified);
    }
    let last_stage = active.stages.len() - 1;
    if may_follow(&active.phase, &after.phase, last_stage) {
        return Ok(());
    }
    Err(TransitionError::Phase {
        from: active.phase.clone(),
        to: after.phase.clone(),
    })
}

fn may_follow(before: &RolloutPhase, after: &RolloutPhase, last_stage: usize) -> bool {
    use RolloutPhase::{Active, Completed, Paused, RolledBack, RollingBack};
    match (before, after) {
        (Active { stage }, Active { stage: next }) => *next == stage + 1,
        (Active { stage }, Paused { stage: paused }) => paused == stage,
        (Active { stage }, Completed) => *stage == last_stage,
        (Paused { stage }, Active { stage: resumed }) => resumed == stage,
        (Active { stage } | Paused { stage }, RollingBack { remaining }) => remaining == stage,
        (RollingBack { remaining }, RollingBack { remaining: next }) => next + 1 == *remaining,
        (Active { .. } | Paused { .. } | RollingBack { .. }, RolledBack) => true,
        _ => false,
    }
}
