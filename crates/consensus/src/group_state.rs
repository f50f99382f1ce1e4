//! The value that a group decides on: its members, and the policy that each of them enforces.
//!
//! Versions are decided one at a time, each by single-decree Paxos among the voters of the previous version. A group
//! state is complete, so that a member that has missed any number of versions needs only the latest.

use crate::membership::{Member, MemberRole, Membership, MembershipError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use thiserror::Error;
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_rollout::{check_transition, Rollout, Version};

/// Format version of group states, as stored and sent. Format 2 added rollouts: a member that knows only format 1
/// rejects a group state with a rollout.
pub const VERSION: u32 = 2;

/// The state that each member is to enforce. Keys with the same value at every member are stored once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Policy {
    /// Keys that have the same value at every member.
    #[serde(rename = "common")]
    pub shared: State,
    /// The remaining keys of each member, by member name.
    #[serde(rename = "own")]
    pub per_member: BTreeMap<String, State>,
}

impl Policy {
    /// Builds a policy from the complete state of each member, by member name.
    pub fn from_states(states: &BTreeMap<String, Arc<State>>) -> Policy {
        let shared = shared_state(states);
        let without_shared = |state: &State| {
            let unshared = state
                .0
                .iter()
                .filter(|(key, _)| !shared.0.contains_key(*key));
            State(unshared.map(|(k, v)| (k.clone(), v.clone())).collect())
        };
        let per_member = states
            .iter()
            .map(|(name, state)| (name.clone(), without_shared(state)))
            .collect();
        Policy { shared, per_member }
    }

    /// The complete state that a member is to enforce; none if the policy does not have the member.
    pub fn state_for(&self, name: &str) -> Option<State> {
        let own = self.per_member.get(name)?;
        let mut state = self.shared.clone();
        let own = own.0.iter().map(|(k, v)| (k.clone(), v.clone()));
        state.0.extend(own);
        Some(state)
    }

    /// Digest of the shared state and of the state of each member.
    pub fn digest(&self) -> Digest {
        let mut text = self.shared.canonical();
        for (name, own) in &self.per_member {
            text.push_str(&format!("\n{} {name}\n", name.len()));
            text.push_str(&own.canonical());
        }
        Digest::of(text.as_bytes())
    }

    /// The policy without the members that are not in `membership`.
    fn restricted_to(&self, membership: &Membership) -> Policy {
        let mut policy = self.clone();
        policy
            .per_member
            .retain(|name, _| membership.member(name).is_some());
        policy
    }
}

/// The keys that have the same value in all states.
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

/// Why a group state is invalid, or must not follow the one in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GroupStateError {
    /// The membership is invalid.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The content does not match the digests that are part of the group state.
    #[error("the digest of group state {version} does not match its content")]
    DigestMismatch {
        /// Version of the group state.
        version: u64,
    },
    /// The generation is older than the one in force.
    #[error("generation {0} is older than the one in force")]
    GenerationOutdated(u64),
    /// The generation is the one in force, but the policy differs.
    #[error("generation {0} is already in force with a different policy")]
    GenerationReused(u64),
    /// A majority of the membership need not share a voter with each majority of the one in force.
    #[error("more than one vote changes at once: majorities of the old and the new roster would not overlap")]
    MajoritiesDisjoint,
    /// The length of the leases differs from the one in force.
    #[error("the length of a lease can't be changed after the group was formed")]
    LeaseChanged,
    /// The group state differs from the one that its rollout step yields.
    #[error("the group state differs from what its rollout step yields")]
    RolloutMismatch,
    /// A member would join the policy during a rollout.
    #[error("{0} can't join before the rollout in progress has ended")]
    JoinDuringRollout(String),
    /// The policy or generation would change other than by a step of the rollout in progress.
    #[error("the policy can't be changed while a rollout is in progress")]
    ChangeDuringRollout,
    /// The rollout is invalid, or can't follow the rollout in force.
    #[error("{0}")]
    Rollout(String),
}

/// One version of a group's state. Two group states are equal if their digests are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupState {
    /// Version of the group state; the first one is 1.
    #[serde(rename = "number")]
    pub version: u64,
    /// Number of the generation that members enforce under this version.
    pub generation: u64,
    /// Digest that identifies the plan or rollout that this version applies; empty if no plan or rollout made this
    /// version.
    pub change: Digest,
    /// Who made the change; empty if a member made it.
    pub author: String,
    /// The members of the group.
    #[serde(rename = "roster")]
    pub membership: Membership,
    /// What the members enforce.
    pub policy: Arc<Policy>,
    /// Digest of `policy`, which goes into `digest` in place of the policy itself.
    #[serde(rename = "enforced")]
    pub policy_digest: Digest,
    /// The rollout in progress, or the last one that has ended; none if there has been none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Arc<Rollout>>,
    /// Digest of the fields above.
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

    /// Recomputes both digests.
    fn with_digests(mut self) -> GroupState {
        self.policy_digest = self.policy.digest();
        self.digest = self.compute_digest();
        self
    }

    fn compute_digest(&self) -> Digest {
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
        // A program without support for rollouts computes another digest, and so rejects the group state.
        if let Some(rollout) = rollout {
            text.push_str(&format!(" {rollout:?}"));
        }
        Digest::of(text.as_bytes())
    }

    /// The next version with the same content. Recovery proposes it for an undecided version that no member has
    /// accepted.
    pub fn unchanged_successor(&self) -> GroupState {
        let next = GroupState {
            version: self.version + 1,
            change: Digest::default(),
            author: String::new(),
            ..self.clone()
        };
        next.with_digests()
    }

    /// The next version, with another membership. `joining` has the state of each new member, by name; the other
    /// members keep theirs.
    pub fn with_membership(
        &self,
        author: &str,
        membership: Membership,
        joining: BTreeMap<String, Arc<State>>,
    ) -> GroupState {
        let policy = if joining.is_empty() {
            // Without new members, the shared keys stay the same.
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

    /// The states of the members that stay and of those that join, by name.
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

    /// The next version, which starts a rollout or takes its next step. Each member enforces its new state if its stage
    /// has been updated, and the old state otherwise.
    ///
    /// # Errors
    ///
    /// If the current state of a member is neither the old nor the new one of the rollout.
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

    /// The state of each member after a rollout step, by name.
    fn states_under(
        &self,
        rollout: &Rollout,
    ) -> Result<BTreeMap<String, Arc<State>>, GroupStateError> {
        let updated_members: BTreeSet<&str> = rollout.updated_members();
        // Many members have equal states before and after the step: each distinct state is built once.
        let mut built: Vec<BuiltState> = Vec::new();
        let mut states = BTreeMap::new();
        for (name, own) in &self.policy.per_member {
            let change = rollout.change_of.get(name).copied();
            let updated = updated_members.contains(name.as_str());
            let existing = built.iter().find(|b| b.is_for(own, change, updated));
            let state = match existing {
                Some(existing) => existing.state.clone(),
                None => {
                    let current = self.policy.state_for(name).unwrap_or_default();
                    let version = if updated { Version::New } else { Version::Old };
                    let state = rollout.member_state(name, &current, version);
                    let state = state.map_err(|e| GroupStateError::Rollout(e.to_string()))?;
                    let state = Arc::new(state);
                    built.push(BuiltState {
                        own,
                        change,
                        updated,
                        state: state.clone(),
                    });
                    state
                }
            };
            states.insert(name.clone(), state);
        }
        Ok(states)
    }

    /// Checks that `next` follows the rules for rollouts: one rollout at a time, only valid steps of it, and no other
    /// policy change while it is in progress.
    ///
    /// # Errors
    ///
    /// The rule that `next` breaks.
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

    /// Whether each member that is in both policies enforces the same state under both.
    pub fn enforces_same_as(&self, other: &GroupState) -> bool {
        let ours = &self.policy;
        let theirs = &other.policy;
        let same_shared = ours.shared == theirs.shared;
        let mut in_both = ours
            .per_member
            .keys()
            .filter(|name| theirs.per_member.contains_key(*name));
        in_both.all(|name| {
            if same_shared {
                ours.per_member.get(name) == theirs.per_member.get(name)
            } else {
                ours.state_for(name) == theirs.state_for(name)
            }
        })
    }

    /// Validates a group state that was read or received.
    ///
    /// # Errors
    ///
    /// If the membership is invalid, or a digest does not match the content.
    pub fn check(&self) -> Result<(), GroupStateError> {
        self.membership.check()?;
        if self.policy.digest() != self.policy_digest || self.compute_digest() != self.digest {
            return Err(GroupStateError::DigestMismatch {
                version: self.version,
            });
        }
        Ok(())
    }

    /// Checks that `next` may follow this group state.
    ///
    /// # Errors
    ///
    /// If the generation is older, or the same with another policy; the rollout is not a valid step; majorities of the
    /// two memberships need not overlap; or the length of a lease differs.
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

    /// The state that a member enforces under this version, and its generation; none for a witness.
    pub fn enforced_by(&self, name: &str) -> Option<(Generation, State)> {
        let state = self.policy.state_for(name)?;
        let generation = Generation {
            number: self.generation,
            digest: state.digest(),
        };
        Some((generation, state))
    }
}

/// A state built for a rollout step, with the inputs it was built from.
struct BuiltState<'a> {
    own: &'a State,
    change: Option<usize>,
    updated: bool,
    state: Arc<State>,
}

impl BuiltState<'_> {
    fn is_for(&self, own: &State, change: Option<usize>, updated: bool) -> bool {
        self.own == own && self.change == change && self.updated == updated
    }
}

/// The text of a membership that is part of the input of a group state's digest.
///
/// The type and field names in this text are part of the stored format. They must not follow renames in the code:
/// members that compute different digests reject each other's group states.
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
