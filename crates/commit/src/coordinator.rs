//! The coordinator of two-phase commit over the participants of a change, and the recovery of a change whose coordinator died
//! (Gray, "Notes on Data Base Operating Systems", 1978; ballots as in Lamport's Paxos).
//!
//! Each coordinator has a ballot of its own. A participant takes a decision only from the ballot that prepared the change
//! there, or fenced it last. The first coordinator commits once every participant has voted for the change, and aborts
//! otherwise. One that recovers fences every participant with a higher ballot before it decides, so that nobody else can
//! decide there any more; then it commits if one participant has committed, and aborts if none has.

use crate::plan::{Plan, Target};
use crate::protocol::{Ballot, CommitRequest, CommitResponse, CommitStatus, PreparedVote};
use crate::reason::MemberReason;
use crate::state::{Digest, Generation, State};
use std::sync::Arc;

/// What a participant is asked to prepare.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Preparation {
    /// The vote that is asked for.
    pub vote: PreparedVote,
    /// What the participant is to enforce.
    pub state: Arc<State>,
}

/// A participant, as its coordinator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberProgress {
    /// Name of the ingress.
    pub ingress: String,
    /// What it is asked to prepare; none in a recovery, which has no plan.
    pub prepare: Option<Preparation>,
    /// It has done what this phase asks for.
    pub answered: bool,
    /// Last known status of the change there.
    pub status: Option<CommitStatus>,
}

impl MemberProgress {
    fn new(ingress: String, prepare: Option<Preparation>) -> MemberProgress {
        MemberProgress {
            ingress,
            prepare,
            answered: false,
            status: None,
        }
    }
}

/// A decision on a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Decision {
    /// The change is made.
    Commit,
    /// The change is discarded.
    Abort,
}

impl Decision {
    /// Status of the change at a participant that has carried out the decision.
    fn status(self) -> CommitStatus {
        match self {
            Decision::Commit => CommitStatus::Committed,
            Decision::Abort => CommitStatus::Aborted,
        }
    }
}

/// Phase of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CommitPhase {
    /// Participants are asked for their votes.
    Preparing,
    /// Participants are fenced, and report the status of the change.
    Fencing,
    /// The change is decided, and participants are told.
    Deciding(Decision),
    /// Every participant has carried out the decision.
    Ended(Decision),
    /// Another coordinator decides this change.
    Superseded,
}

/// The coordinator of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Coordinator {
    /// The change.
    pub change: Digest,
    ballot: Ballot,
    /// Its participants.
    pub members: Vec<MemberProgress>,
    /// Phase of the change.
    pub phase: CommitPhase,
    /// Why participants rejected it.
    pub rejections: Vec<MemberReason>,
}

impl Coordinator {
    /// Creates a coordinator that applies a plan. The ballot must be its alone; the time is a good choice.
    pub fn new(plan: &Plan, ballot: Ballot) -> Coordinator {
        let change = plan.id();
        let names: Vec<String> = plan.targets.iter().map(|t| t.ingress.clone()).collect();
        let progress = |target: &Target| {
            let vote = PreparedVote {
                change: change.clone(),
                base: target.base.clone(),
                next: Generation {
                    number: plan.generation,
                    digest: target.wanted.clone(),
                },
                author: plan.author.clone(),
                members: names.clone(),
            };
            let state = plan.states.get(&target.wanted).cloned();
            let prepare = state.map(|state| Preparation { vote, state });
            MemberProgress::new(target.ingress.clone(), prepare)
        };
        let members = plan.targets.iter().map(progress).collect();
        Coordinator::start(change, ballot, members, CommitPhase::Preparing)
    }

    /// Creates a coordinator that recovers a change. The ballot must be higher than those of all coordinators before it.
    pub fn recover(change: Digest, members: Vec<String>, ballot: Ballot) -> Coordinator {
        let members = members
            .into_iter()
            .map(|ingress| MemberProgress::new(ingress, None))
            .collect();
        Coordinator::start(change, ballot, members, CommitPhase::Fencing)
    }

    fn start(
        change: Digest,
        ballot: Ballot,
        members: Vec<MemberProgress>,
        phase: CommitPhase,
    ) -> Coordinator {
        Coordinator {
            change,
            ballot,
            members,
            phase,
            rejections: Vec::new(),
        }
    }

    /// The request to send to a participant, by its index; none if there is nothing left to ask it in this phase.
    pub fn next_request(&self, member: usize) -> Option<CommitRequest> {
        let member = self.members.get(member).filter(|m| !m.answered)?;
        let change = self.change.clone();
        let ballot = self.ballot;
        match self.phase {
            CommitPhase::Preparing => {
                let Preparation { vote, state } = member.prepare.clone()?;
                Some(CommitRequest::Prepare {
                    vote,
                    ballot,
                    state,
                })
            }
            CommitPhase::Fencing => Some(CommitRequest::Fence { change, ballot }),
            CommitPhase::Deciding(decision) => Some(CommitRequest::Decide {
                change,
                ballot,
                commit: decision == Decision::Commit,
            }),
            CommitPhase::Ended(_) | CommitPhase::Superseded => None,
        }
    }

    fn decide(&mut self, decision: Decision) {
        self.phase = CommitPhase::Deciding(decision);
        for member in &mut self.members {
            member.answered = member.status == Some(decision.status());
        }
        self.advance();
    }

    /// Begins the next phase once every participant has answered.
    fn advance(&mut self) {
        if !self.members.iter().all(|m| m.answered) {
            return;
        }
        match self.phase {
            CommitPhase::Preparing => self.decide(Decision::Commit),
            CommitPhase::Fencing => self.decide(self.recovered_decision()),
            CommitPhase::Deciding(decision) => self.phase = CommitPhase::Ended(decision),
            CommitPhase::Ended(_) | CommitPhase::Superseded => {}
        }
    }

    fn recovered_decision(&self) -> Decision {
        let committed = Some(CommitStatus::Committed);
        if self.members.iter().any(|m| m.status == committed) {
            Decision::Commit
        } else {
            Decision::Abort
        }
    }

    /// Handles the outcome of a request of this phase: a participant's response, or none if the connection broke or the
    /// request timed out, and the participant may have done what was asked.
    pub fn handle_response(&mut self, member: usize, response: Option<CommitResponse>) {
        if member >= self.members.len() {
            return;
        }
        match self.phase {
            CommitPhase::Preparing => self.handle_vote(member, response),
            CommitPhase::Fencing | CommitPhase::Deciding(_) => {
                self.handle_status(member, response);
            }
            CommitPhase::Ended(_) | CommitPhase::Superseded => {}
        }
    }

    fn handle_vote(&mut self, member: usize, response: Option<CommitResponse>) {
        match response {
            Some(CommitResponse::Prepared) => {
                self.record_status(member, CommitStatus::Prepared);
                self.advance();
            }
            // It may have voted all the same: like all others it is told to discard the change.
            None => self.abort(member, "it did not answer".into()),
            Some(CommitResponse::Rejected { reason } | CommitResponse::Unavailable { reason }) => {
                self.abort(member, reason)
            }
            Some(_) => {}
        }
    }

    /// Handles a response to a fence or a decision. A participant that is unavailable is asked again.
    fn handle_status(&mut self, member: usize, response: Option<CommitResponse>) {
        match response {
            Some(CommitResponse::ChangeStatus { change, status }) if change == self.change => {
                self.handle_change_status(member, status);
            }
            Some(CommitResponse::Rejected { reason }) => {
                self.record_rejection(member, reason);
                self.phase = CommitPhase::Superseded;
            }
            _ => {}
        }
    }

    fn handle_change_status(&mut self, member: usize, status: CommitStatus) {
        match self.phase {
            CommitPhase::Deciding(decision) if status != decision.status() => {
                self.members[member].status = Some(status);
                self.phase = CommitPhase::Superseded;
            }
            _ => {
                self.record_status(member, status);
                self.advance();
            }
        }
    }

    fn record_status(&mut self, member: usize, status: CommitStatus) {
        let member = &mut self.members[member];
        member.answered = true;
        member.status = Some(status);
    }

    fn record_rejection(&mut self, member: usize, reason: String) {
        self.rejections.push(MemberReason {
            member: self.members[member].ingress.clone(),
            reason,
        });
    }

    fn abort(&mut self, member: usize, reason: String) {
        self.record_rejection(member, reason);
        self.decide(Decision::Abort);
    }
}
