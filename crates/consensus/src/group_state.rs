//! The value a group decides on: its members and what each of them enforces.
//!
//! Versions are decided one after the other, each by single-decree Paxos among the voters of its predecessor. A group state
//! is complete, so a member that missed any number of versions needs only the latest.

use crate::membership::{Member, MemberRole, Membership, MembershipError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use thiserror::Error;
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_rollout::{check_transition, Rollout, Version};

/// Version of the stored and sent form of a group state. Version 2 has rollouts, which a member that knows only version 1
/// rejects.
pub const VERSION: u32 = 2;

/// What each member is to enforce: what all have in common once, and the rest by member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Policy {
    /// Keys with the same value at every member.
    #[serde(rename = "common")]
    pub shared: State,
    /// The remaining keys, by name of the member.
    #[serde(rename = "own")]
    pub per_member: BTreeMap<String, State>,
}

impl Policy {
    /// Builds a policy from the state of each member.
    pub fn from_states(states: &BTreeMap<String, Arc<State>>) -> Policy {
        let shared = shared_state(states);
        let without_shared = |state: &State| {
            let rest = state
                .0
                .iter()
                .filter(|(key, _)| !shared.0.contains_key(*key));
            State(rest.map(|(k, v)| (k.clone(), v.clone())).collect())
        };
        let per_member = states
            .iter()
            .map(|(name, state)| (name.clone(), without_shared(state)))
            .collect();
        Policy { shared, per_member }
    }

    /// The whole state a member is to enforce; none if the policy does not name it.
    pub fn state_for(&self, name: &str) -> Option<State> {
        let own = self.per_member.get(name)?;
        let mut state = self.shared.clone();
        let own = own.0.iter().map(|(k, v)| (k.clone(), v.clone()));
        state.0.extend(own);
        Some(state)
    }

    /// Digest of the whole policy.
    pub fn digest(&self) -> Digest {
        let mut text = self.shared.canonical();
        for (name, own) in &self.per_member {
            text.push_str(&format!("\n{} {name}\n", name.len()));
            text.push_str(&own.canonical());
        }
        Digest::of(text.as_bytes())
    }

    /// The policy without members that have left.
    fn restricted_to(&self, membership: &Membership) -> Policy {
        let mut policy = self.clone();
        policy
            .per_member
            .retain(|name, _| membership.member(name).is_some());
        policy
    }
}

/// Keys with the same value in all states.
fn shared_state(states: &BTreeMap<String, Arc<State>>) -> State {
    let mut states = states.values();
    let Some(first) = states.next() else {
        return State::default();
    };
    let mut shared = State::clone(first);
    for state in states {
        shared
            .0
            .retain(|key, value| state.0.get(key) == Some(value));
    }
    shared
}

/// Why a group state is invalid, or can't follow the one in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GroupStateError {
    /// Its membership is invalid.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// Its content does not have the digest it carries.
    #[error("decree {version} does not have its own digest")]
    DigestMismatch {
        /// Its version.
        version: u64,
    },
    /// Its generation is older than the one in force.
    #[error("generation {0} was enforced already")]
    GenerationOutdated(u64),
    /// It has the generation in force, with another policy.
    #[error("two policies under generation {0}")]
    GenerationReused(u64),
    /// Its membership is more than one vote away from the one in force.
    #[error("more than one vote would change at once: majorities would not overlap")]
    MajoritiesDisjoint,
    /// Its leases have another length.
    #[error("the length of the lease stays as the group was formed with")]
    LeaseChanged,
    /// Its policy is not the one its rollout step makes.
    #[error("it is not what its rollout says")]
    RolloutMismatch,
    /// A member would join during a rollout.
    #[error("{0} comes in once the rollout that is under way has ended")]
    JoinDuringRollout(String),
    /// The policy would change outside of the rollout in progress.
    #[error("a rollout is under way: it says what is enforced")]
    ChangeDuringRollout,
    /// Its rollout is invalid, or not a step that may follow.
    #[error("{0}")]
    Rollout(String),
}

/// One version of a group's state. Two are equal if their digests are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupState {
    /// Its version; the first is 1.
    #[serde(rename = "number")]
    pub version: u64,
    /// Number of the generation enforced under it.
    pub generation: u64,
    /// The change that made it: the identity of a plan, or empty if the policy did not change.
    pub change: Digest,
    /// Who made it.
    pub author: String,
    /// The members of the group.
    #[serde(rename = "roster")]
    pub membership: Membership,
    /// What they enforce.
    pub policy: Arc<Policy>,
    /// Digest of the policy.
    #[serde(rename = "enforced")]
    pub policy_digest: Digest,
    /// The rollout it is a step of, or else the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Arc<Rollout>>,
    /// Digest of all fields before.
    pub digest: Digest,
}

impl PartialEq for GroupState {
    fn eq(&self, other: &GroupState) -> bool {
        self.digest == other.digest
    }
}

impl Eq for GroupState {}

impl Hash for GroupState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl GroupState {
    /// Creates a group state without a rollout.
    pub fn new(
        version: u64,
        generation: u64,
        change: Digest,
        author: &str,
        membership: Membership,
        policy: Policy,
    ) -> GroupState {
        let state = GroupState {
            version,
            generation,
            change,
            author: author.into(),
            membership,
            policy: Arc::new(policy),
            policy_digest: Digest::default(),
            rollout: None,
            digest: Digest::default(),
        };
        state.with_digests()
    }

    /// Computes the digests anew.
    fn with_digests(mut self) -> GroupState {
        self.policy_digest = self.policy.digest();
        self.digest = self.own_digest();
        self
    }

    fn own_digest(&self) -> Digest {
        let GroupState {
            version,
            generation,
            change,
            author,
            membership,
            policy: _,
            policy_digest,
            rollout,
            digest: _,
        } = self;
        let membership = membership_digest_text(membership);
        let mut text =
            format!("{version} {generation} {change:?} {author:?} {membership} {policy_digest:?}");
        // A member of a version without rollouts computes another digest and rejects the state.
        if let Some(rollout) = rollout {
            text.push_str(&format!(" {rollout:?}"));
        }
        Digest::of(text.as_bytes())
    }

    /// The next version, which changes nothing: it resolves a version that was left undecided.
    pub fn unchanged_successor(&self) -> GroupState {
        let next = GroupState {
            version: self.version + 1,
            change: Digest::default(),
            author: String::new(),
            ..self.clone()
        };
        next.with_digests()
    }

    /// The next version, with another membership and the states of new members. The other members keep theirs.
    pub fn with_membership(
        &self,
        author: &str,
        membership: Membership,
        joining: BTreeMap<String, Arc<State>>,
    ) -> GroupState {
        let policy = if joining.is_empty() {
            // What is shared stays the same, so the policy need not be built anew.
            self.policy.restricted_to(&membership)
        } else {
            Policy::from_states(&self.states_with(&membership, joining))
        };
        let next = GroupState {
            version: self.version + 1,
            change: Digest::default(),
            author: author.into(),
            membership,
            policy: Arc::new(policy),
            ..self.clone()
        };
        next.with_digests()
    }

    /// The states of the members that stay, and of those that join.
    fn states_with(
        &self,
        membership: &Membership,
        joining: BTreeMap<String, Arc<State>>,
    ) -> BTreeMap<String, Arc<State>> {
        let mut states = joining;
        for name in self.policy.per_member.keys() {
            if membership.member(name).is_none() || states.contains_key(name) {
                continue;
            }
            if let Some(state) = self.policy.state_for(name) {
                states.insert(name.clone(), Arc::new(state));
            }
        }
        states
    }

    /// The next version, which begins a rollout or takes its next step: each member enforces what its stage does.
    ///
    /// # Errors
    ///
    /// If a member enforces neither the old nor the new state of the rollout.
    pub fn with_rollout(
        &self,
        author: &str,
        rollout: Rollout,
    ) -> Result<GroupState, GroupStateError> {
        let policy = Policy::from_states(&self.states_under(&rollout)?);
        let changed = policy.digest() != self.policy_digest;
        let next = GroupState {
            version: self.version + 1,
            generation: self.generation + u64::from(changed),
            change: rollout.id.clone(),
            author: author.into(),
            policy: Arc::new(policy),
            rollout: Some(Arc::new(rollout)),
            ..self.clone()
        };
        Ok(next.with_digests())
    }

    /// The state of each member under a rollout step.
    fn states_under(
        &self,
        rollout: &Rollout,
    ) -> Result<BTreeMap<String, Arc<State>>, GroupStateError> {
        let with_new: BTreeSet<&str> = rollout.updated_members();
        // Most members enforce the same before and after: each such state is built once.
        let mut built: Vec<BuiltState> = Vec::new();
        let mut states = BTreeMap::new();
        for (name, own) in &self.policy.per_member {
            let change = rollout.change_of.get(name).copied();
            let new = with_new.contains(name.as_str());
            let known = built.iter().find(|b| b.is_for(own, change, new));
            let state = match known {
                Some(known) => known.state.clone(),
                None => {
                    let current = self.policy.state_for(name).unwrap_or_default();
                    let version = if new { Version::New } else { Version::Old };
                    let state = rollout.member_state(name, &current, version);
                    let state = state.map_err(|e| GroupStateError::Rollout(e.to_string()))?;
                    let state = Arc::new(state);
                    built.push(BuiltState {
                        own,
                        change,
                        new,
                        state: state.clone(),
                    });
                    state
                }
            };
            states.insert(name.clone(), state);
        }
        Ok(states)
    }

    /// Whether `next` may follow, as far as rollouts are concerned: one rollout at a time, only its own steps, and no other
    /// change of the policy meanwhile.
    ///
    /// # Errors
    ///
    /// Which of these rules it breaks.
    pub fn check_rollout_step(&self, next: &GroupState) -> Result<(), GroupStateError> {
        let before = self.rollout.as_deref();
        let after = next.rollout.as_deref();
        check_transition(before, after).map_err(|e| GroupStateError::Rollout(e.to_string()))?;
        match after {
            Some(step) if before != Some(step) => self.check_step_policy(step, next),
            Some(active) if !active.phase.ended() => self.check_unchanged_policy(next),
            _ => Ok(()),
        }
    }

    fn check_step_policy(&self, step: &Rollout, next: &GroupState) -> Result<(), GroupStateError> {
        let expected = self.with_rollout(&next.author, step.clone())?;
        if expected == *next {
            Ok(())
        } else {
            Err(GroupStateError::RolloutMismatch)
        }
    }

    fn check_unchanged_policy(&self, next: &GroupState) -> Result<(), GroupStateError> {
        let before = &self.policy.per_member;
        let mut names = next.policy.per_member.keys();
        if let Some(name) = names.find(|name| !before.contains_key(*name)) {
            return Err(GroupStateError::JoinDuringRollout(name.clone()));
        }
        if next.generation == self.generation && next.enforces_same_as(self) {
            Ok(())
        } else {
            Err(GroupStateError::ChangeDuringRollout)
        }
    }

    /// Whether every member of both enforces the same under both.
    pub fn enforces_same_as(&self, other: &GroupState) -> bool {
        let ours = &self.policy;
        let theirs = &other.policy;
        let shared_alike = ours.shared == theirs.shared;
        let mut common = ours
            .per_member
            .keys()
            .filter(|name| theirs.per_member.contains_key(*name));
        common.all(|name| {
            if shared_alike {
                ours.per_member.get(name) == theirs.per_member.get(name)
            } else {
                ours.state_for(name) == theirs.state_for(name)
            }
        })
    }

    /// Validates a group state that came from elsewhere.
    ///
    /// # Errors
    ///
    /// If its membership is invalid, or its content does not have the digests it carries.
    pub fn check(&self) -> Result<(), GroupStateError> {
        self.membership.check()?;
        if self.policy.digest() != self.policy_digest || self.own_digest() != self.digest {
            return Err(GroupStateError::DigestMismatch {
                version: self.version,
            });
        }
        Ok(())
    }

    /// Whether a group state may follow this one.
    ///
    /// # Errors
    ///
    /// If its generation is older or reused, its rollout is no valid step, its majorities don't overlap with those of this
    /// one, or its leases have another length.
    pub fn check_successor(&self, next: &GroupState) -> Result<(), GroupStateError> {
        if next.generation < self.generation {
            return Err(GroupStateError::GenerationOutdated(next.generation));
        }
        if next.generation == self.generation && !next.enforces_same_as(self) {
            return Err(GroupStateError::GenerationReused(next.generation));
        }
        self.check_rollout_step(next)?;
        if !self.membership.majorities_overlap(&next.membership) {
            return Err(GroupStateError::MajoritiesDisjoint);
        }
        if next.membership.lease_ms != self.membership.lease_ms {
            return Err(GroupStateError::LeaseChanged);
        }
        Ok(())
    }

    /// What a member enforces under it, with its generation; none for a witness.
    pub fn enforced_by(&self, name: &str) -> Option<(Generation, State)> {
        let state = self.policy.state_for(name)?;
        let generation = Generation {
            number: self.generation,
            digest: state.digest(),
        };
        Some((generation, state))
    }
}

/// A state built for a rollout step, and what it was built from.
struct BuiltState<'a> {
    own: &'a State,
    change: Option<usize>,
    new: bool,
    state: Arc<State>,
}

impl BuiltState<'_> {
    fn is_for(&self, own: &State, change: Option<usize>, new: bool) -> bool {
        self.own == own && self.change == change && self.new == new
    }
}

/// Text of a membership that goes into the digest of a group state.
///
/// Its names are part of the stored form, whatever the types and fields are called in the code.
fn membership_digest_text(membership: &Membership) -> String {
    let members: Vec<String> = membership.members.iter().map(member_digest_text).collect();
    format!(
        "Roster {{ version: {}, lease_ms: {}, seats: [{}] }}",
        membership.version,
        membership.lease_ms,
        members.join(", ")
    )
}

fn member_digest_text(member: &Member) -> String {
    let Member {
        name,
        replica,
        role,
        votes,
    } = member;
    let role = match role {
        MemberRole::Ingress => "Ingress",
        MemberRole::Witness => "Witness",
    };
    format!("Seat {{ name: {name:?}, folder: {replica}, kind: {role}, votes: {votes} }}")
}
