//! What the members keep of a rollout. It is a part of the state that stands in their group: each step is decided by a majority,
//! as one version after the other, so that of two who want to take one at the same time one does, and the other finds that it
//! has been taken.

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

/// One of the two versions that a rollout has side by side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// What was enforced before it.
    Old,
    /// What it brings.
    New,
}

/// How a rollout is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rollback {
    /// Stage by stage, the last one first.
    Stepwise,
    /// Everywhere in one step.
    Immediate,
}

/// A rollout.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// The plan that it carries out.
    pub id: Digest,
    /// Who began it.
    pub author: String,
    /// What is asked of each stage.
    #[serde(rename = "terms")]
    pub policy: RolloutPolicy,
    /// The members of each stage.
    pub stages: Vec<Vec<String>>,
    /// What differs, each once.
    pub changes: Vec<Change>,
    /// Which of these is a member's.
    #[serde(rename = "of")]
    pub change_of: BTreeMap<String, usize>,
    /// Where it stands.
    pub phase: RolloutPhase,
    /// Why it stands there, where that is not the next step of a good one.
    #[serde(rename = "why")]
    pub reason: String,
}

/// In the written form of the first version: the digest of a group's decision covers it.
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
    /// So many stages have the new version.
    pub fn updated_stages(&self) -> usize {
        match self.phase {
            RolloutPhase::Active { stage } | RolloutPhase::Paused { stage } => stage + 1,
            RolloutPhase::RollingBack { remaining } => remaining,
            RolloutPhase::RolledBack => 0,
            RolloutPhase::Completed => self.stages.len(),
        }
    }

    /// The members of all stages.
    pub fn members(&self) -> impl Iterator<Item = &String> {
        self.stages.iter().flatten()
    }

    /// The members that have the new version.
    pub fn updated_members(&self) -> BTreeSet<&str> {
        let updated = self.stages.iter().take(self.updated_stages());
        updated.flatten().map(String::as_str).collect()
    }

    fn change(&self, member: &str) -> Option<&Change> {
        self.changes.get(*self.change_of.get(member)?)
    }

    /// Whether it changes the program of a member, besides what that enforces.
    pub fn changes_programs(&self) -> bool {
        self.changes
            .iter()
            .any(|change| change.contains_key(PROGRAM_KEY))
    }

    /// Whether a member that runs this program runs what it is to run in this phase; one of which nothing is said does.
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

    /// The same rollout in another phase.
    pub fn with_phase(&self, phase: RolloutPhase, reason: impl Into<String>) -> Rollout {
        Rollout {
            phase,
            reason: reason.into(),
            ..self.clone()
        }
    }

    /// The first step of taking it back.
    pub fn roll_back(&self, how: Rollback, reason: impl Into<String>) -> Rollout {
        let remaining = self.updated_stages().saturating_sub(1);
        let phase = if how == Rollback::Immediate || remaining == 0 {
            RolloutPhase::RolledBack
        } else {
            RolloutPhase::RollingBack { remaining }
        };
        self.with_phase(phase, reason)
    }

    /// What a member enforces in one version, made from what it enforces now in any.
    ///
    /// # Errors
    ///
    /// Where that is neither the one nor the other.
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

    /// Checks a rollout that came from elsewhere.
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
        let mut seen = BTreeSet::new();
        if let Some(twice) = self.members().find(|name| !seen.insert(name.as_str())) {
            return Err(InvalidRollout::TwoStages(twice.clone()));
        }
        let mut changed = self.change_of.iter();
        let unknown =
            changed.find(|(name, n)| !seen.contains(name.as_str()) || **n >= self.changes.len());
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
