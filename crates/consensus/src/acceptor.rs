//! The acceptor of a member: the voter's side of single-decree Paxos (Lamport, "Paxos Made Simple", 2001), and the learner of
//! decided group states.
//!
//! All a member must not forget is one [`PersistentState`], which is stored as a whole before any response that rests on it.

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

/// What a member stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// Name of the member.
    pub name: String,
    /// The replica this is.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// How often it was written.
    pub writes: u64,
    /// The group state in force; none before the group is formed.
    #[serde(rename = "decree")]
    pub group_state: Option<Arc<GroupState>>,
    /// Ballot in which the group state in force had been accepted here before it was decided, if it had.
    #[serde(rename = "from", default)]
    pub accepted_in: Option<Ballot>,
    /// Highest ballot for the next version that was promised.
    pub promised: Ballot,
    /// The next version, accepted and not known to be decided.
    pub accepted: Option<AcceptedState>,
}

impl PersistentState {
    /// State of a member that knows nothing yet. The replica must be drawn at random.
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

    /// The same knowledge under another replica: none of the member's votes counts any more.
    pub fn with_new_replica(&self, replica: ReplicaId) -> PersistentState {
        PersistentState {
            group_state: self.group_state.clone(),
            writes: self.writes + 1,
            ..PersistentState::new(&self.name, replica)
        }
    }
}

/// Outcome of a request; one that `applies` puts another group state in force.
pub type Step = step::Step<PersistentState, GroupResponse>;

/// Why a member rejects a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The request is not the acceptor's to answer.
    #[error("this is not asked for here")]
    NotAnAcceptorRequest,
    /// The decided state is another one than the request says.
    #[error("the decree is not the one that it is said to be")]
    StateMismatch,
    /// The state is invalid, or can't follow the one in force.
    #[error(transparent)]
    GroupState(#[from] GroupStateError),
    /// The member could not enforce the state.
    #[error(transparent)]
    NotEnforceable(#[from] NotEnforceable),
}

/// The acceptor of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    state: PersistentState,
    /// What the member enforces while there is no group state; none for a witness.
    enforced: Option<EnforcedState>,
}

impl Acceptor {
    /// Creates an acceptor from its stored state.
    pub fn new(state: PersistentState, enforced: Option<EnforcedState>) -> Acceptor {
        Acceptor { state, enforced }
    }

    /// What is stored.
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// Notes that the state of a [`Step::Persist`] has been stored.
    pub fn persisted(&mut self, state: PersistentState) {
        self.state = state;
    }

    /// Handles a request other than a renewal, which [`crate::lease::LeaseManager`] handles.
    ///
    /// `eligibility` says whether the member's vote counts, and `check` whether a state could be enforced here.
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

    /// The response to a proposer that is late: it proposes another version than the next one, or in a lower ballot.
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

    /// Phase 1b: promises to take part in no lower ballot, and reports what was accepted before.
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
        // A member without a vote says that it could enforce the candidate; the response counts for nothing else.
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

    /// Phase 2b: accepts a state, unless a higher ballot has been promised.
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
        let counts = eligible || state.group_state.is_none();
        let response = GroupResponse::Accepted {
            replica: if counts { state.replica } else { 0 },
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

    /// Puts a decided state in force.
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
        let learnt = PersistentState {
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
        Ok(persist(learnt, response, true))
    }

    /// The response if the version is in force, or older than the one that is.
    ///
    /// The member may have learnt it from another one before its proposer says so; that does not change in which ballot it
    /// had accepted it.
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

    /// Whether a state could follow the one in force, and be enforced here.
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

    /// Status of the member, as far as its stored state says.
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

/// Stores a state, with one write more, before the response is sent.
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
