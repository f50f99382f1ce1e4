//! Which state of a rollout may follow which.

use crate::error::TransitionError;
use crate::phase::RolloutPhase;
use crate::rollout::Rollout;

/// Checks whether what a group has of a rollout may follow what it had. The members ask this before they accept anything, so
/// that no command and no controller, of whatever version, gets past it: one rollout at a time, no stage after a stop, none
/// left out, and always an end with one policy everywhere.
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
        (Some(_), None) => return Err(TransitionError::LeftOut),
        (_, Some(after)) => after,
    };
    if before == Some(after) {
        // Something else is decided.
        return Ok(());
    }
    after.validate()?;
    match active {
        Some(active) => check_step(active, after),
        None if after.phase == (RolloutPhase::Active { stage: 0 }) => Ok(()),
        None => Err(TransitionError::NotFirstStage),
    }
}

/// Checks a step of a rollout that is under way.
fn check_step(active: &Rollout, after: &Rollout) -> Result<(), TransitionError> {
    if active.id != after.id {
        return Err(TransitionError::AnotherUnderWay {
            author: active.author.clone(),
            phase: active.phase.clone(),
        });
    }
    if active.with_phase(after.phase.clone(), after.reason.clone()) != *after {
        return Err(TransitionError::Altered);
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
