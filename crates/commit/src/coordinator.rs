//! Coordinator of two-phase commit over the participants of a change, and recovery of a change whose coordinator died
//! (Gray, "Notes on Data Base Operating Systems", 1978; ballots as in Lamport's Paxos).
//!
//! Each coordinator has its own ballot. A participant accepts a decision only from the ballot that prepared the change there,
//! or that fenced it last. The first coordinator commits once every participant has voted for the change, and aborts otherwise.
//! A recovering coordinator first fences every participant with a higher ballot, so that no other coordinator can decide
//! any more. It then commits if any participant has committed, and aborts otherwise.

use crate::plan::{Plan, Target};
use crate::protocol::{Ballot, CommitRequest, CommitResponse, CommitStatus, PreparedVote};
use crate::reason::MemberReason;
use crate::state::{Digest, Generation, State};
use std::sync::Arc;

/// Content of the prepare request for a participant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Preparation {
    /// Vote that the participant is asked to give.
    pub vote: PreparedVote,
    /// State that the participant enforces once the change is committed.
    pub state: Arc<State>,
}

/// Progress of a participant, as known to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberProgress {
    /// Name of the ingress.
    pub ingress: String,
    /// Content of the prepare request; none during recovery, where the plan is unknown.
    pub prepare: Option<Preparation>,
    /// Whether the participant has carried out the request of the current phase.
    pub answered: bool,
    /// Last known status of the change at the participant; none before its first response.
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
    /// Apply the change at every participant.
    Commit,
    /// Discard the change at every participant.
    Abort,
}

impl Decision {
    /// Returns the status of the change at a participant that has carried out the decision.
    fn status(self) -> CommitStatus {
        match self {
            Decision::Commit => CommitStatus::Committed,
            Decision::Abort => CommitStatus::Aborted,
        }
    }
}

/// Phase of a change, from the coordinator's view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CommitPhase {
    /// Participants are asked for their votes.
    Preparing,
    /// Recovery: participants are fenced and report the status of the change.
    Fencing,
    /// The change is decided, and the decision is sent to the participants.
    Deciding(Decision),
    /// Every participant has carried out the decision.
    Ended(Decision),
    /// Another coordinator decides this change; this one has stopped.
    Superseded,
}

/// The coordinator of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Coordinator {
    /// Digest over all fields of the plan that is applied, as returned by `Plan::id`.
    pub change: Digest,
    ballot: Ballot,
    /// Participants of the change, in the order of the plan's targets or of the names given for recovery.
    pub members: Vec<MemberProgress>,
    /// Current phase.
    pub phase: CommitPhase,
    /// Reasons of the participants that rejected a request or did not vote.
    pub rejections: Vec<MemberReason>,
}

impl Coordinator {
    /// Creates a coordinator that applies a plan. No other coordinator may use the same ballot; the start time is a good
    /// choice.
    pub fn new(plan: &Plan, ballot: Ballot) -> Coordinator {
        let change = plan.id();
        let member_names: Vec<String> = plan.targets.iter().map(|t| t.ingress.clone()).collect();
        let progress = |target: &Target| {
            let vote = PreparedVote {
                change: change.clone(),
                base: target.base.clone(),
                next: Generation {
                    number: plan.generation,
                    digest: target.wanted.clone(),
                },
                author: plan.author.clone(),
                members: member_names.clone(),
            };
            let state = plan.states.get(&target.wanted).cloned();
            let prepare = state.map(|state| Preparation { vote, state });
            MemberProgress::new(target.ingress.clone(), prepare)
        };
        let members = plan.targets.iter().map(progress).collect();
        Coordinator::start(change, ballot, members, CommitPhase::Preparing)
    }

    /// Creates a coordinator that recovers a change. Its ballot must be higher than that of every earlier coordinator.
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

    /// Returns the request to send to the participant at this index; none if it has carried out the current phase's request.
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

    /// Enters the next phase once every participant has carried out the current phase's request.
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

    /// Handles the outcome of a request of the current phase: the participant's response, or none if the connection broke or
    /// the request timed out. In the latter case the participant may still have carried out the request.
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
            // The participant may have stored its vote nevertheless, so it gets the abort decision like all others.
            None => self.abort(member, "connection lost or request timed out".into()),
            Some(CommitResponse::Rejected { reason } | CommitResponse::Unavailable { reason }) => {
                self.abort(member, reason)
            }
            Some(_) => {}
        }
    }

    /// Handles a response to a fence or a decision. The request to an unavailable participant is sent again.
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
