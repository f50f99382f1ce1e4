//! The acceptor of a member: votes in single-decree Paxos (Lamport, "Paxos Made Simple", 2001), and learns decided
//! group states.
//!
//! Everything that must survive a restart is in one [`PersistentState`]. It is stored as a whole before any response
//! that depends on it is sent.

use crate::eligibility::VoteWithheld;
use crate::group_state::{GroupState, GroupStateError};
use crate::membership::{Membership, ReplicaId};
use crate::protocol::{
    AcceptedState, Ballot, EnforcedState, GroupRequest, GroupResponse, GroupStatus,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;
use wrenfork_commit::reason::NotEnforceable;
use wrenfork_commit::state::{Digest, State};
use wrenfork_commit::step;

/// The durable state of a member's acceptor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// Name of the member.
    pub name: String,
    /// Id of the replica that this state belongs to.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Number of times this state was written; voters compare it to detect an outdated copy.
    pub writes: u64,
    /// The group state in force; none before the group is formed.
    #[serde(rename = "decree")]
    pub group_state: Option<Arc<GroupState>>,
    /// Ballot in which this member had accepted the group state in force before learning that it is decided; none if it
    /// had not.
    #[serde(rename = "from", default)]
    pub accepted_in: Option<Ballot>,
    /// Highest ballot promised for the next version; the default ballot if none was.
    pub promised: Ballot,
    /// The next version, if it was accepted here and is not known to be decided.
    pub accepted: Option<AcceptedState>,
}

impl PersistentState {
    /// State of a member that has no group state and has made no promise. The replica id must be drawn at random.
    pub fn new(name: &str, replica: ReplicaId) -> PersistentState {
        PersistentState {
            name: name.into(),
            replica,
            ..PersistentState::default()
        }
    }

    /// Version of the group state in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.group_state.as_ref().map_or(0, |state| state.version)
    }

    /// The same group state under another replica id, without the promise and the accepted state: the earlier votes of
    /// the member no longer count.
    pub fn with_new_replica(&self, replica: ReplicaId) -> PersistentState {
        PersistentState {
            group_state: self.group_state.clone(),
            writes: self.writes + 1,
            ..PersistentState::new(&self.name, replica)
        }
    }
}

/// Outcome of a request. A step with `applies` set puts another group state in force.
pub type Step = step::Step<PersistentState, GroupResponse>;

/// Why a member rejects a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Another component of the member handles requests of this kind.
    #[error("the acceptor does not handle this kind of request")]
    NotAnAcceptorRequest,
    /// The version or digest in the request is not that of the group state it carries.
    #[error("the group state does not have the version and digest that the request names")]
    StateMismatch,
    /// The group state is invalid, or must not follow the one in force.
    #[error(transparent)]
    GroupState(#[from] GroupStateError),
    /// The member can't enforce its part of the policy.
    #[error(transparent)]
    NotEnforceable(#[from] NotEnforceable),
}

/// The acceptor of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    state: PersistentState,
    /// What the member enforces before the group is formed; none for a witness.
    enforced: Option<EnforcedState>,
}

impl Acceptor {
    /// Creates an acceptor from its stored state. `enforced` is what the member enforces before the group is formed.
    pub fn new(state: PersistentState, enforced: Option<EnforcedState>) -> Acceptor {
        Acceptor { state, enforced }
    }

    /// The state that was stored last.
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// Replaces the state with that of a [`Step::Persist`], to be called once it has been stored.
    pub fn persisted(&mut self, state: PersistentState) {
        self.state = state;
    }

    /// Handles a request to the acceptor. [`crate::lease::LeaseManager`] handles renewals.
    ///
    /// `eligibility` is whether the member's vote counts, and `check` checks whether this member can enforce a state.
    pub fn handle(
        &self,
        request: GroupRequest,
        eligibility: Result<(), VoteWithheld>,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Step {
        let step = match request {
            GroupRequest::Renew(_)
            | GroupRequest::Tally
            | GroupRequest::UpgradeTurn { .. }
            | GroupRequest::ProgramUnfit { .. } => Err(Rejection::NotAnAcceptorRequest),
            GroupRequest::Learn => Ok(Step::Respond(GroupResponse::State {
                state: self.state.group_state.clone(),
            })),
            GroupRequest::Status => {
                let status = self.status(eligibility.err());
                Ok(Step::Respond(GroupResponse::Status(Box::new(status))))
            }
            GroupRequest::ProposerAlive { .. } => Ok(Step::Respond(GroupResponse::Accepted {
                replica: self.state.replica,
            })),
            GroupRequest::Prepare {
                version,
                ballot,
                candidate,
            } => {
                let candidate = candidate.as_deref();
                self.prepare(version, ballot, candidate, eligibility.is_ok(), check)
            }
            GroupRequest::Accept { ballot, state } => {
                let accepted = AcceptedState { ballot, state };
                self.accept(accepted, eligibility.is_ok(), check)
            }
            GroupRequest::Decided {
                version,
                digest,
                state,
            } => self.decided(version, &digest, state, check),
        };
        step.unwrap_or_else(|rejection| {
            Step::Respond(GroupResponse::Rejected {
                reason: rejection.to_string(),
            })
        })
    }

    /// The response to a proposer whose version is not the next one, or whose ballot is lower than the promised one;
    /// none if both are current.
    fn outdated(&self, version: u64, ballot: Ballot) -> Option<GroupResponse> {
        let state = &self.state;
        if version != state.version() + 1 {
            let digest = state.group_state.as_ref().map(|s| s.digest.clone());
            return Some(GroupResponse::OtherVersion {
                version: state.version(),
                digest: digest.unwrap_or_default(),
            });
        }
        (ballot < state.promised).then_some(GroupResponse::HigherBallot {
            ballot: state.promised,
        })
    }

    /// Phase 1b: promises to take part in no lower ballot, and reports the state accepted in an earlier ballot.
    fn prepare(
        &self,
        version: u64,
        ballot: Ballot,
        candidate: Option<&GroupState>,
        eligible: bool,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Result<Step, Rejection> {
        let state = &self.state;
        if let Some(response) = self.outdated(version, ballot) {
            return Ok(Step::Respond(response));
        }
        if let Some(candidate) = candidate {
            self.check_candidate(candidate, check)?;
        }
        // The response of a member whose vote does not count only tells the proposer that it can enforce the candidate.
        if !eligible && state.group_state.is_some() {
            return Ok(Step::Respond(GroupResponse::Promised {
                replica: 0,
                accepted: None,
                enforced: None,
            }));
        }
        let response = GroupResponse::Promised {
            replica: state.replica,
            accepted: state.accepted.clone(),
            enforced: match state.group_state {
                None => self.enforced.clone(),
                Some(_) => None,
            },
        };
        if ballot == state.promised {
            return Ok(Step::Respond(response));
        }
        let promised = PersistentState {
            promised: ballot,
            ..state.clone()
        };
        Ok(persist(promised, response, false))
    }

    /// Phase 2b: accepts a state unless a higher ballot has been promised.
    fn accept(
        &self,
        accepted: AcceptedState,
        eligible: bool,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Result<Step, Rejection> {
        let state = &self.state;
        let version = accepted.state.version;
        if let Some(response) = self.outdated(version, accepted.ballot) {
            return Ok(Step::Respond(response));
        }
        let vote_counts = eligible || state.group_state.is_none();
        let response = GroupResponse::Accepted {
            replica: if vote_counts { state.replica } else { 0 },
        };
        if state.accepted.as_ref() == Some(&accepted) {
            return Ok(Step::Respond(response));
        }
        self.check_candidate(&accepted.state, check)?;
        let accepting = PersistentState {
            promised: accepted.ballot,
            accepted: Some(accepted),
            ..state.clone()
        };
        Ok(persist(accepting, response, false))
    }

    /// Puts a decided group state in force: the accepted one if it is the one that was decided, or else the one that
    /// was sent.
    fn decided(
        &self,
        version: u64,
        digest: &Digest,
        sent: Option<Arc<GroupState>>,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Result<Step, Rejection> {
        let state = &self.state;
        if version <= state.version() {
            return Ok(Step::Respond(self.already_decided(digest)));
        }
        let accepted = state
            .accepted
            .as_ref()
            .filter(|a| a.state.version == version && a.state.digest == *digest);
        let accepted_in = accepted.map(|a| a.ballot);
        let Some(decided) = accepted.map(|a| a.state.clone()).or(sent) else {
            return Ok(Step::Respond(GroupResponse::NeedState));
        };
        if decided.version != version || decided.digest != *digest {
            return Err(Rejection::StateMismatch);
        }
        decided.check()?;
        self.check_enforceable(&decided, check)?;
        let learned = PersistentState {
            writes: state.writes,
            group_state: Some(decided),
            accepted_in,
            ..PersistentState::new(&state.name, state.replica)
        };
        let response = GroupResponse::Decided {
            replica: state.replica,
            version,
            accepted_in,
        };
        Ok(persist(learned, response, true))
    }

    /// The response to [`GroupRequest::Decided`] for the version in force, or for an older one.
    ///
    /// The member may have learned of the decision from another member before the proposer notifies it. The ballot in
    /// which it had accepted the group state is reported all the same.
    fn already_decided(&self, digest: &Digest) -> GroupResponse {
        let state = &self.state;
        let in_force = state.group_state.as_ref();
        let same = in_force.is_some_and(|s| s.digest == *digest);
        GroupResponse::Decided {
            replica: state.replica,
            version: state.version(),
            accepted_in: if same { state.accepted_in } else { None },
        }
    }

    /// Checks that a group state may follow the one in force, and that this member can enforce it.
    fn check_candidate(
        &self,
        candidate: &GroupState,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Result<(), Rejection> {
        candidate.check()?;
        if let Some(in_force) = &self.state.group_state {
            in_force.check_successor(candidate)?;
        }
        self.check_enforceable(candidate, check)
    }

    fn check_enforceable(
        &self,
        candidate: &GroupState,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Result<(), Rejection> {
        match candidate.policy.state_for(&self.state.name) {
            Some(state) => Ok(check(&state)?),
            None => Ok(()),
        }
    }

    /// Status of the member from its stored state; the remaining fields have their defaults.
    pub fn status(&self, vote_withheld: Option<VoteWithheld>) -> GroupStatus {
        let state = &self.state;
        let mut status = GroupStatus {
            name: state.name.clone(),
            replica: state.replica,
            version: state.version(),
            promised: state.promised,
            pending: state.accepted.as_ref().map(|a| a.state.digest.clone()),
            vote_withheld: vote_withheld.map(|why| why.to_string()),
            ..GroupStatus::default()
        };
        if let Some(in_force) = state.group_state.as_deref() {
            let rollout = in_force.rollout.as_ref();
            status.role = in_force.membership.member(&state.name).map(|m| m.role);
            status.generation = in_force.generation;
            status.change = in_force.change.clone();
            status.digest = in_force.digest.clone();
            status.membership = Membership::clone(&in_force.membership);
            status.rollout = rollout.map(|record| record.phase.clone());
        }
        status
    }
}

/// The step that stores a state, with its write counter increased, before the response is sent.
fn persist(state: PersistentState, response: GroupResponse, applies: bool) -> Step {
    let state = Box::new(PersistentState {
        writes: state.writes + 1,
        ..state
    });
    Step::Persist {
        state,
        response,
        applies,
    }
}
