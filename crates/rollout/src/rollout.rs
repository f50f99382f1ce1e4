//! Stored state of a rollout. It is part of the group state: the members decide each step by majority, as the next version of
//! that state. If two controllers try to take the same step, one succeeds and the other finds that it has been taken.

use crate::change::Change;
use crate::error::{InvalidRollout, UnexpectedValue};
use crate::limits::MAX_STAGES;
use crate::phase::RolloutPhase;
use crate::policy::RolloutPolicy;
use crate::program::{is_same_program, PROGRAM_KEY};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use wrenfork_commit::state::{Digest, State};

/// One of the two versions that run side by side during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The version before the rollout.
    Old,
    /// The version that the rollout introduces.
    New,
}

/// How a rollout is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rollback {
    /// Stage by stage, the last one first.
    Stepwise,
    /// All stages in one step.
    Immediate,
}

/// Stored state of a rollout.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// Identity of the plan that the rollout carries out.
    pub id: Digest,
    /// Who started the rollout.
    pub author: String,
    /// Time limits and statistical bounds of each stage.
    #[serde(rename = "terms")]
    pub policy: RolloutPolicy,
    /// Names of the members of each stage, in the order of the stages.
    pub stages: Vec<Vec<String>>,
    /// All distinct changes; members with the same change share an entry.
    pub changes: Vec<Change>,
    /// Index into `changes` by member name.
    #[serde(rename = "of")]
    pub change_of: BTreeMap<String, usize>,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Why the rollout is in this phase; empty if it simply advanced.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Uses the names of the first version. The digest of a group state covers this output, so it must not change.
impl fmt::Debug for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Record")
            .field("id", &self.id)
            .field("author", &self.author)
            .field("terms", &self.policy)
            .field("stages", &self.stages)
            .field("changes", &self.changes)
            .field("of", &self.change_of)
            .field("phase", &self.phase)
            .field("why", &self.reason)
            .finish()
    }
}

impl Rollout {
    /// Returns the number of stages that have the new version.
    pub fn updated_stages(&self) -> usize {
        match self.phase {
            RolloutPhase::Active { stage } | RolloutPhase::Paused { stage } => stage + 1,
            RolloutPhase::RollingBack { remaining } => remaining,
            RolloutPhase::RolledBack => 0,
            RolloutPhase::Completed => self.stages.len(),
        }
    }

    /// Returns the members of all stages, in the order of the stages.
    pub fn members(&self) -> impl Iterator<Item = &String> {
        self.stages.iter().flatten()
    }

    /// Returns the members that have the new version in the current phase.
    pub fn updated_members(&self) -> BTreeSet<&str> {
        let updated = self.stages.iter().take(self.updated_stages());
        updated.flatten().map(String::as_str).collect()
    }

    fn change(&self, member: &str) -> Option<&Change> {
        self.changes.get(*self.change_of.get(member)?)
    }

    /// Returns whether the rollout changes the program of any member.
    pub fn changes_programs(&self) -> bool {
        self.changes
            .iter()
            .any(|change| change.contains_key(PROGRAM_KEY))
    }

    /// Returns whether `program` is the one that the member must run in the current phase. Any program is right for a member
    /// whose program the rollout does not change.
    pub fn expects_program(&self, member: &str, program: &str) -> bool {
        let change = self.change(member).and_then(|c| c.get(PROGRAM_KEY));
        let Some(change) = change else {
            return true;
        };
        let expected = if self.updated_members().contains(member) {
            &change.new
        } else {
            &change.old
        };
        expected
            .as_ref()
            .is_none_or(|expected| is_same_program(expected, program))
    }

    /// Returns the same rollout in another phase.
    pub fn with_phase(&self, phase: RolloutPhase, reason: impl Into<String>) -> Rollout {
        Rollout {
            phase,
            reason: reason.into(),
            ..self.clone()
        }
    }

    /// Returns the state after the first rollback step.
    pub fn roll_back(&self, how: Rollback, reason: impl Into<String>) -> Rollout {
        let remaining = self.updated_stages().saturating_sub(1);
        let phase = if how == Rollback::Immediate || remaining == 0 {
            RolloutPhase::RolledBack
        } else {
            RolloutPhase::RollingBack { remaining }
        };
        self.with_phase(phase, reason)
    }

    /// Returns the state that a member enforces in a version, derived from its current state in either version.
    ///
    /// # Errors
    ///
    /// If a value of the current state is neither the old nor the new one.
    pub fn member_state(
        &self,
        member: &str,
        current: &State,
        version: Version,
    ) -> Result<State, UnexpectedValue> {
        let mut state = current.clone();
        for (key, change) in self.change(member).into_iter().flatten() {
            let value = current.0.get(key);
            if value != change.old.as_ref() && value != change.new.as_ref() {
                return Err(UnexpectedValue {
                    member: member.into(),
                    key: key.clone(),
                });
            }
            let wanted = match version {
                Version::Old => &change.old,
                Version::New => &change.new,
            };
            match wanted {
                Some(value) => drop(state.0.insert(key.clone(), value.clone())),
                None => drop(state.0.remove(key)),
            }
        }
        Ok(state)
    }

    /// Checks that the stages, changes, policy and phase are consistent.
    ///
    /// # Errors
    ///
    /// See [`InvalidRollout`].
    pub fn validate(&self) -> Result<(), InvalidRollout> {
        self.policy.validate()?;
        if self.stages.is_empty() || self.stages.len() > MAX_STAGES {
            return Err(InvalidRollout::StageCount);
        }
        if self.stages.iter().any(Vec::is_empty) {
            return Err(InvalidRollout::EmptyStage);
        }
        let mut names = BTreeSet::new();
        if let Some(duplicate) = self.members().find(|name| !names.insert(name.as_str())) {
            return Err(InvalidRollout::DuplicateMember(duplicate.clone()));
        }
        let mut changed = self.change_of.iter();
        let unknown = changed
            .find(|(name, index)| !names.contains(name.as_str()) || **index >= self.changes.len());
        if let Some((name, _)) = unknown {
            return Err(InvalidRollout::NoStageOrChange(name.clone()));
        }
        if !self.has_valid_phase() {
            return Err(InvalidRollout::UnknownStage);
        }
        Ok(())
    }

    fn has_valid_phase(&self) -> bool {
        let stages = self.stages.len();
        match self.phase {
            RolloutPhase::Active { stage } | RolloutPhase::Paused { stage } => stage < stages,
            RolloutPhase::RollingBack { remaining } => remaining > 0 && remaining < stages,
            RolloutPhase::RolledBack | RolloutPhase::Completed => true,
        }
    }
}
