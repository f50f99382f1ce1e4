//! Participant of two-phase commit: an ingress's side of a change (Gray, "Notes on Data Base Operating Systems", 1978).
//!
//! Unlike in the textbook protocol, the decision is stored at the participants and protected by ballots: a recovering
//! coordinator fences every participant with a higher ballot, after which no other coordinator can decide the change. See
//! [`crate::coordinator`].
//!
//! All durable state of a participant is one [`ParticipantState`]. It is stored as a whole before any response is sent, or
//! any state is enforced, that depends on it.

use crate::metrics::IngressMetrics;
use crate::protocol::{Ballot, CommitRequest, CommitResponse, CommitStatus, PreparedVote};
use crate::reason::NotEnforceable;
use crate::state::{Digest, Generation, State};
use crate::step;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of ended changes that are kept, and likewise of fences.
const MAX_KEPT: usize = 64;

/// A change that the participant has voted for. Serialized as a two-element array.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(
    from = "(PreparedVote, Arc<State>)",
    into = "(PreparedVote, Arc<State>)"
)]
pub struct PreparedChange {
    /// Vote that the participant has given.
    pub vote: PreparedVote,
    /// State to enforce if the change is committed.
    pub state: Arc<State>,
}

impl From<(PreparedVote, Arc<State>)> for PreparedChange {
    fn from((vote, state): (PreparedVote, Arc<State>)) -> PreparedChange {
        PreparedChange { vote, state }
    }
}

impl From<PreparedChange> for (PreparedVote, Arc<State>) {
    fn from(prepared: PreparedChange) -> (PreparedVote, Arc<State>) {
        (prepared.vote, prepared.state)
    }
}

/// A change that was committed or aborted. Serialized as a two-element array.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Digest, bool)", into = "(Digest, bool)")]
pub struct EndedChange {
    /// Digest over all fields of the change's plan, as returned by `Plan::id`.
    pub change: Digest,
    /// Whether the change was committed; otherwise it was aborted.
    pub committed: bool,
}

impl From<(Digest, bool)> for EndedChange {
    fn from((change, committed): (Digest, bool)) -> EndedChange {
        EndedChange { change, committed }
    }
}

impl From<EndedChange> for (Digest, bool) {
    fn from(ended: EndedChange) -> (Digest, bool) {
        (ended.change, ended.committed)
    }
}

/// The only ballot that may decide a change. Serialized as a two-element array.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Digest, Ballot)", into = "(Digest, Ballot)")]
pub struct Fence {
    /// Identity of the change's plan.
    pub change: Digest,
    /// Ballot of the coordinator that prepared the change here, or fenced it last.
    pub ballot: Ballot,
}

impl From<(Digest, Ballot)> for Fence {
    fn from((change, ballot): (Digest, Ballot)) -> Fence {
        Fence { change, ballot }
    }
}

impl From<Fence> for (Digest, Ballot) {
    fn from(fence: Fence) -> (Digest, Ballot) {
        (fence.change, fence.ballot)
    }
}

/// Durable state of a participant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ParticipantState {
    /// Generation that the ingress enforces now; set when a change commits.
    pub enforced: Generation,
    /// State of the enforced generation.
    pub state: Arc<State>,
    /// The change that the participant has voted for and whose decision is pending.
    #[serde(rename = "promise")]
    pub prepared: Option<PreparedChange>,
    /// The most recently ended changes, oldest first.
    pub ended: Vec<EndedChange>,
    /// The most recent fences of undecided changes, oldest first.
    pub fences: Vec<Fence>,
}

impl ParticipantState {
    /// Creates the state of an ingress that enforces `state` and has not taken part in any change.
    pub fn new(generation: u64, state: impl Into<Arc<State>>) -> ParticipantState {
        let state = state.into();
        let enforced = Generation {
            number: generation,
            digest: state.digest(),
        };
        ParticipantState {
            enforced,
            state,
            ..ParticipantState::default()
        }
    }

    fn status(&self, change: &Digest) -> CommitStatus {
        if let Some(ended) = self.ended.iter().find(|e| e.change == *change) {
            return if ended.committed {
                CommitStatus::Committed
            } else {
                CommitStatus::Aborted
            };
        }
        let prepared = self.prepared.as_ref();
        if prepared.is_some_and(|p| p.vote.change == *change) {
            CommitStatus::Prepared
        } else {
            CommitStatus::Unknown
        }
    }

    fn fence(&self, change: &Digest) -> Option<Ballot> {
        let fence = self.fences.iter().find(|f| f.change == *change)?;
        Some(fence.ballot)
    }

    fn set_fence(&mut self, change: &Digest, ballot: Ballot) {
        self.fences.retain(|f| f.change != *change);
        self.fences.push(Fence {
            change: change.clone(),
            ballot,
        });
        drop_oldest(&mut self.fences);
    }

    fn end(&mut self, change: &Digest, committed: bool) {
        self.prepared.take_if(|p| p.vote.change == *change);
        self.fences.retain(|f| f.change != *change);
        self.ended.push(EndedChange {
            change: change.clone(),
            committed,
        });
        drop_oldest(&mut self.ended);
    }
}

/// Drops the oldest entries beyond [`MAX_KEPT`].
fn drop_oldest<T>(entries: &mut Vec<T>) {
    let surplus = entries.len().saturating_sub(MAX_KEPT);
    entries.drain(..surplus);
}

/// Outcome of a request at a participant.
pub type Step = step::Step<ParticipantState, CommitResponse>;

/// Why a participant rejects a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Another coordinator has prepared this change.
    #[error("another coordinator is already applying this plan: check how that attempt ended")]
    PreparedByAnother,
    /// The change has been committed.
    #[error("this plan was applied here already")]
    AlreadyCommitted,
    /// The change has been aborted.
    #[error("this plan was aborted: make a new plan")]
    AlreadyAborted,
    /// The change was fenced before it was prepared.
    #[error("another coordinator is recovering this change: check how it ended")]
    UnderRecovery,
    /// Another change is prepared and undecided.
    #[error(
        "another change ({change}, by {author}) is prepared but undecided: resume that one first"
    )]
    OtherChangePrepared {
        /// Short digest of the other change.
        change: String,
        /// Author of the other change.
        author: String,
    },
    /// The enforced generation is not the one the change was made for.
    #[error(
        "the ingress enforces generation {} ({}), but the plan was made for generation {} ({})",
        enforced.number, enforced.digest.short(), base.number, base.digest.short()
    )]
    GenerationMismatch {
        /// Generation that is enforced.
        enforced: Generation,
        /// Generation the change was made for.
        base: Generation,
    },
    /// The state does not have the digest named by the vote, or the vote's generation number is not higher than the enforced
    /// one.
    #[error("the state does not match the digest of its generation, or the generation number is too low")]
    Inconsistent,
    /// The change does not list this ingress as a participant.
    #[error("ingress {0} is not a participant of the change")]
    NotAParticipant(String),
    /// The ingress can't enforce the state.
    #[error(transparent)]
    NotEnforceable(#[from] NotEnforceable),
    /// The change has been fenced with the same or a higher ballot.
    #[error("another coordinator has fenced this change with the same or a higher ballot")]
    HigherBallot,
    /// The decision is to commit, but the change has not been prepared here.
    #[error("the change can't be committed: it has not been prepared here")]
    NotPrepared,
    /// The change may only be decided by another ballot.
    #[error("the change is fenced with another coordinator's ballot: check whether it was committed or aborted")]
    DecidedByAnother,
    /// The request reads or writes history, which this state machine does not keep.
    #[error("this participant does not keep a history of generations and audit records")]
    NoHistory,
}

/// State machine of an ingress that takes part in changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    name: String,
    state: ParticipantState,
}

impl Participant {
    /// Creates a participant from its stored state.
    pub fn new(name: &str, state: ParticipantState) -> Participant {
        Participant {
            name: name.into(),
            state,
        }
    }

    /// Returns the state as last stored.
    pub fn state(&self) -> &ParticipantState {
        &self.state
    }

    /// Adopts the state of a [`Step::Persist`](step::Step::Persist). Call this once the state has been stored.
    pub fn persisted(&mut self, state: ParticipantState) {
        self.state = state;
    }

    /// Handles a request. `check` returns an error for a state that this ingress can't enforce.
    pub fn handle(
        &self,
        request: CommitRequest,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Step {
        let step = match request {
            CommitRequest::Status => Ok(Step::Respond(self.status())),
            CommitRequest::Prepare {
                vote,
                ballot,
                state,
            } => self.prepare(vote, ballot, state, check),
            CommitRequest::Fence { change, ballot } => self.fence(&change, ballot),
            CommitRequest::Decide {
                change,
                ballot,
                commit,
            } => self.decide(&change, ballot, commit),
            CommitRequest::FetchGeneration { .. }
            | CommitRequest::History { .. }
            | CommitRequest::AppendRecord { .. } => Err(Rejection::NoHistory),
        };
        step.unwrap_or_else(|rejection| {
            Step::Respond(CommitResponse::Rejected {
                reason: rejection.to_string(),
            })
        })
    }

    fn status(&self) -> CommitResponse {
        let prepared = self.state.prepared.as_ref();
        CommitResponse::Status {
            ingress: self.name.clone(),
            generation: self.state.enforced.clone(),
            state: self.state.state.clone(),
            metrics: IngressMetrics::default(),
            prepared: prepared.map(|p| p.vote.clone()),
        }
    }

    /// Phase 1: votes for a change.
    fn prepare(
        &self,
        vote: PreparedVote,
        ballot: Ballot,
        new_state: Arc<State>,
        check: impl FnOnce(&State) -> Result<(), NotEnforceable>,
    ) -> Result<Step, Rejection> {
        let fence = self.state.fence(&vote.change);
        match self.state.status(&vote.change) {
            CommitStatus::Prepared if fence == Some(ballot) => {
                return Ok(Step::Respond(CommitResponse::Prepared))
            }
            CommitStatus::Prepared => return Err(Rejection::PreparedByAnother),
            CommitStatus::Committed => return Err(Rejection::AlreadyCommitted),
            CommitStatus::Aborted => return Err(Rejection::AlreadyAborted),
            CommitStatus::Unknown if fence.is_some() => return Err(Rejection::UnderRecovery),
            CommitStatus::Unknown => {}
        }
        self.check_vote(&vote, &new_state)?;
        check(&new_state)?;
        let mut state = Box::new(self.state.clone());
        state.set_fence(&vote.change, ballot);
        state.prepared = Some(PreparedChange {
            vote,
            state: new_state,
        });
        Ok(Step::Persist {
            state,
            response: CommitResponse::Prepared,
            applies: false,
        })
    }

    /// Checks that a change may be prepared on top of the enforced generation.
    fn check_vote(&self, vote: &PreparedVote, new_state: &State) -> Result<(), Rejection> {
        let state = &self.state;
        if let Some(other) = &state.prepared {
            return Err(Rejection::OtherChangePrepared {
                change: other.vote.change.short().into(),
                author: other.vote.author.clone(),
            });
        }
        if state.enforced != vote.base {
            return Err(Rejection::GenerationMismatch {
                enforced: state.enforced.clone(),
                base: vote.base.clone(),
            });
        }
        if vote.next.number <= state.enforced.number || new_state.digest() != vote.next.digest {
            return Err(Rejection::Inconsistent);
        }
        if !vote.members.contains(&self.name) {
            return Err(Rejection::NotAParticipant(self.name.clone()));
        }
        Ok(())
    }

    /// Fences a change, so that only this ballot or a higher one that fences it later can decide it, and reports its status.
    fn fence(&self, change: &Digest, ballot: Ballot) -> Result<Step, Rejection> {
        let status = self.state.status(change);
        let response = CommitResponse::ChangeStatus {
            change: change.clone(),
            status,
        };
        if matches!(status, CommitStatus::Committed | CommitStatus::Aborted) {
            return Ok(Step::Respond(response));
        }
        if self.state.fence(change).is_some_and(|b| b >= ballot) {
            return Err(Rejection::HigherBallot);
        }
        let mut state = Box::new(self.state.clone());
        state.set_fence(change, ballot);
        Ok(Step::Persist {
            state,
            response,
            applies: false,
        })
    }

    /// Phase 2: commits or aborts a change.
    fn decide(&self, change: &Digest, ballot: Ballot, commit: bool) -> Result<Step, Rejection> {
        let status = self.state.status(change);
        match status {
            CommitStatus::Committed | CommitStatus::Aborted => {
                return Ok(Step::Respond(CommitResponse::ChangeStatus {
                    change: change.clone(),
                    status,
                }))
            }
            CommitStatus::Unknown if commit => return Err(Rejection::NotPrepared),
            CommitStatus::Prepared | CommitStatus::Unknown => {}
        }
        if self.state.fence(change).is_some_and(|b| b != ballot) {
            return Err(Rejection::DecidedByAnother);
        }
        let mut state = Box::new(self.state.clone());
        state.end(change, commit);
        let mut outcome = CommitStatus::Aborted;
        if let Some(prepared) = self.state.prepared.clone().filter(|_| commit) {
            state.enforced = prepared.vote.next;
            state.state = prepared.state;
            outcome = CommitStatus::Committed;
        }
        Ok(Step::Persist {
            state,
            response: CommitResponse::ChangeStatus {
                change: change.clone(),
                status: outcome,
            },
            applies: outcome == CommitStatus::Committed,
        })
    }
}
