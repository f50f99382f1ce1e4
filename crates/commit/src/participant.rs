//! The participant of two-phase commit: an ingress's side of a change (Gray, "Notes on Data Base Operating Systems", 1978).
//!
//! Unlike in the textbook protocol the decision is stored at the participants, and fenced by ballots: a coordinator that
//! recovers a change takes a higher ballot at every participant, after which no other coordinator can decide it. See
//! [`crate::coordinator`].
//!
//! All a participant must not forget is one [`ParticipantState`], which is stored as a whole before any response or switch
//! that rests on it.

use crate::metrics::IngressMetrics;
use crate::protocol::{Ballot, CommitRequest, CommitResponse, CommitStatus, PreparedVote};
use crate::reason::NotEnforceable;
use crate::state::{Digest, Generation, State};
use crate::step;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of ended changes, and of fences, that are kept.
const MAX_KEPT: usize = 64;

/// A change the participant has voted for, written as an array of both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(
    from = "(PreparedVote, Arc<State>)",
    into = "(PreparedVote, Arc<State>)"
)]
pub struct PreparedChange {
    /// The vote.
    pub vote: PreparedVote,
    /// What is enforced if the change is made.
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

/// A change that has ended, written as an array of both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Digest, bool)", into = "(Digest, bool)")]
pub struct EndedChange {
    /// The change.
    pub change: Digest,
    /// Whether it was made.
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

/// The ballot that may decide a change, written as an array of both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Digest, Ballot)", into = "(Digest, Ballot)")]
pub struct Fence {
    /// The change.
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

/// What a participant stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ParticipantState {
    /// Generation that is enforced.
    pub enforced: Generation,
    /// Its state.
    pub state: Arc<State>,
    /// The change it has voted for and that is not decided.
    #[serde(rename = "promise")]
    pub prepared: Option<PreparedChange>,
    /// The last changes that have ended, oldest first.
    pub ended: Vec<EndedChange>,
    /// The last fences, oldest first.
    pub fences: Vec<Fence>,
}

impl ParticipantState {
    /// State of an ingress that has made no change yet.
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
        keep_last(&mut self.fences);
    }

    fn end(&mut self, change: &Digest, committed: bool) {
        self.prepared.take_if(|p| p.vote.change == *change);
        self.fences.retain(|f| f.change != *change);
        self.ended.push(EndedChange {
            change: change.clone(),
            committed,
        });
        keep_last(&mut self.ended);
    }
}

/// Drops the oldest entries above [`MAX_KEPT`].
fn keep_last<T>(entries: &mut Vec<T>) {
    let surplus = entries.len().saturating_sub(MAX_KEPT);
    entries.drain(..surplus);
}

/// Outcome of a request; one that `applies` changes what is enforced.
pub type Step = step::Step<ParticipantState, CommitResponse>;

/// Why a participant rejects a request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Another coordinator has prepared this change.
    #[error("somebody else applies this plan: ask how it ended")]
    PreparedByAnother,
    /// The change has been made.
    #[error("this plan was applied here already")]
    AlreadyCommitted,
    /// The change has been discarded.
    #[error("this plan was given up: make it anew")]
    AlreadyAborted,
    /// The change has been fenced before it was prepared.
    #[error("somebody recovers this change: ask how it ended")]
    UnderRecovery,
    /// Another change has been prepared.
    #[error(
        "another change ({change}, by {author}) is promised and not decided: resume that first"
    )]
    OtherChangePrepared {
        /// Short digest of that change.
        change: String,
        /// Who made it.
        author: String,
    },
    /// What is enforced is not what the change was made for.
    #[error(
        "it has moved: it enforces generation {} ({}), and the plan was made for {} ({})",
        enforced.number, enforced.digest.short(), base.number, base.digest.short()
    )]
    GenerationMoved {
        /// Generation that is enforced.
        enforced: Generation,
        /// Generation the change was made for.
        base: Generation,
    },
    /// The state does not have the digest or the generation that the vote names.
    #[error("the change does not fit its own number and digest")]
    Inconsistent,
    /// The ingress is no participant of the change.
    #[error("the change is not for {0}")]
    NotAParticipant(String),
    /// The ingress could not enforce the state.
    #[error(transparent)]
    NotEnforceable(#[from] NotEnforceable),
    /// The change has been fenced with a higher ballot.
    #[error("somebody else recovers this change with a higher number")]
    HigherBallot,
    /// A change is to be made that has not been prepared.
    #[error("nothing was promised here for this change")]
    NotPrepared,
    /// Another ballot decides the change.
    #[error("somebody else decides this change: ask how it ended")]
    DecidedByAnother,
    /// The request is about history, which the participant does not keep.
    #[error("nothing is kept here")]
    NoHistory,
}

/// The participant of an ingress.
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

    /// What is stored.
    pub fn state(&self) -> &ParticipantState {
        &self.state
    }

    /// Notes that the state of a [`Step::Persist`](step::Step::Persist) has been stored.
    pub fn persisted(&mut self, state: ParticipantState) {
        self.state = state;
    }

    /// Handles a request. `check` says whether a state could be enforced here.
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
        wanted: Arc<State>,
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
        self.check_vote(&vote, &wanted)?;
        check(&wanted)?;
        let mut state = Box::new(self.state.clone());
        state.set_fence(&vote.change, ballot);
        state.prepared = Some(PreparedChange {
            vote,
            state: wanted,
        });
        Ok(Step::Persist {
            state,
            response: CommitResponse::Prepared,
            applies: false,
        })
    }

    /// Whether a change may be prepared on what is enforced here.
    fn check_vote(&self, vote: &PreparedVote, wanted: &State) -> Result<(), Rejection> {
        let state = &self.state;
        if let Some(other) = &state.prepared {
            return Err(Rejection::OtherChangePrepared {
                change: other.vote.change.short().into(),
                author: other.vote.author.clone(),
            });
        }
        if state.enforced != vote.base {
            return Err(Rejection::GenerationMoved {
                enforced: state.enforced.clone(),
                base: vote.base.clone(),
            });
        }
        if vote.next.number <= state.enforced.number || wanted.digest() != vote.next.digest {
            return Err(Rejection::Inconsistent);
        }
        if !vote.members.contains(&self.name) {
            return Err(Rejection::NotAParticipant(self.name.clone()));
        }
        Ok(())
    }

    /// Takes decisions on a change from no lower ballot any more, and reports its status.
    fn fence(&self, change: &Digest, ballot: Ballot) -> Result<Step, Rejection> {
        let status = self.state.status(change);
        let response = CommitResponse::ChangeStatus {
            change: change.clone(),
            status,
        };
        if matches!(status, CommitStatus::Committed | CommitStatus::Aborted) {
            return Ok(Step::Respond(response));
        }
        if self.state.fence(change).is_some_and(|has| has >= ballot) {
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

    /// Phase 2: makes a change or discards it.
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
        if self.state.fence(change).is_some_and(|has| has != ballot) {
            return Err(Rejection::DecidedByAnother);
        }
        let mut state = Box::new(self.state.clone());
        state.end(change, commit);
        let mut ended = CommitStatus::Aborted;
        if let Some(prepared) = self.state.prepared.clone().filter(|_| commit) {
            state.enforced = prepared.vote.next;
            state.state = prepared.state;
            ended = CommitStatus::Committed;
        }
        Ok(Step::Persist {
            state,
            response: CommitResponse::ChangeStatus {
                change: change.clone(),
                status: ended,
            },
            applies: ended == CommitStatus::Committed,
        })
    }
}
