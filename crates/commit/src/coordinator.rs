//! The applier's side: two phases over all members of a change, and the recovery of one whose applier died.
//!
//! Each applier has a ballot of its own, and an ingress lets only the one decide that prepared the change there or fenced it
//! last. The first applier decides "make it" only once every member has promised, else "forget it". One that recovers
//! fences every member with a higher ballot before it decides, so that nobody else decides there any more; then it finishes
//! what one member has begun, and gives up what none has.

use crate::plan::Plan;
use crate::protocol::{Ballot, CommitRequest, CommitResponse, CommitStatus, PreparedVote};
use crate::state::{Digest, Generation, State};
use std::sync::Arc;

/// A member of a change, as its applier sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberProgress {
    /// The ingress's name.
    pub ingress: String,
    /// Its promise and what it is to enforce; none where the applier recovers and has no plan.
    pub prepare: Option<(PreparedVote, Arc<State>)>,
    /// It has answered what this phase asks.
    pub answered: bool,
    /// How it said last that the change stands there.
    pub status: Option<CommitStatus>,
}

/// Where an apply stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CommitPhase {
    /// Members are asked for their promise.
    Preparing,
    /// Members are fenced, and say how the change stands there.
    Fencing,
    /// It is decided: made or given up; members are told.
    Deciding(bool),
    /// Every member has made the switch, or every member has forgotten it.
    Ended(bool),
    /// Somebody else decides this change.
    Superseded,
}

/// An apply, or the recovery of one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Coordinator {
    /// The change.
    pub change: Digest,
    ballot: Ballot,
    /// Its members.
    pub members: Vec<MemberProgress>,
    /// Where it stands.
    pub phase: CommitPhase,
    /// Why it was given up, by the member that said so.
    pub rejections: Vec<(String, String)>,
}

impl Coordinator {
    /// Begins to apply a plan. The ballot must be this applier's alone: the time is a good choice.
    pub fn new(plan: &Plan, ballot: Ballot) -> Coordinator {
        let change = plan.id();
        let names: Vec<String> = plan.targets.iter().map(|t| t.ingress.clone()).collect();
        let members = plan.targets.iter().map(|t| {
            let next = Generation {
                number: plan.generation,
                digest: t.wanted.clone(),
            };
            let promise = PreparedVote {
                change: change.clone(),
                base: t.base.clone(),
                next,
                author: plan.author.clone(),
                members: names.clone(),
            };
            let change = plan
                .states
                .get(&t.wanted)
                .map(|wanted| (promise, wanted.clone()));
            MemberProgress {
                ingress: t.ingress.clone(),
                prepare: change,
                answered: false,
                status: None,
            }
        });
        let members = members.collect();
        Coordinator {
            change,
            ballot,
            members,
            phase: CommitPhase::Preparing,
            rejections: Vec::new(),
        }
    }

    /// Begins to recover a change, with a ballot that is higher than that of all before it.
    pub fn recover(change: Digest, members: Vec<String>, ballot: Ballot) -> Coordinator {
        let member = |ingress| MemberProgress {
            ingress,
            prepare: None,
            answered: false,
            status: None,
        };
        let members = members.into_iter().map(member).collect();
        Coordinator {
            change,
            ballot,
            members,
            phase: CommitPhase::Fencing,
            rejections: Vec::new(),
        }
    }

    /// What is to be asked of a member now; none where it has answered.
    pub fn next_request(&self, member: usize) -> Option<CommitRequest> {
        let m = self.members.get(member).filter(|m| !m.answered)?;
        let (change, ballot) = (self.change.clone(), self.ballot);
        match self.phase {
            CommitPhase::Preparing => {
                let (promise, wanted) = m.prepare.clone()?;
                Some(CommitRequest::Prepare {
                    vote: promise,
                    ballot,
                    state: wanted,
                })
            }
            CommitPhase::Fencing => Some(CommitRequest::Fence { change, ballot }),
            CommitPhase::Deciding(commit) => Some(CommitRequest::Decide {
                change,
                ballot,
                commit,
            }),
            CommitPhase::Ended(_) | CommitPhase::Superseded => None,
        }
    }

    fn decide(&mut self, commit: bool) {
        self.phase = CommitPhase::Deciding(commit);
        let end = if commit {
            CommitStatus::Committed
        } else {
            CommitStatus::Aborted
        };
        self.members
            .iter_mut()
            .for_each(|m| m.answered = m.status == Some(end));
        self.all_answered();
    }

    fn all_answered(&mut self) {
        if !self.members.iter().all(|m| m.answered) {
            return;
        }
        match self.phase {
            CommitPhase::Preparing => self.decide(true),
            CommitPhase::Fencing => {
                let made = self
                    .members
                    .iter()
                    .any(|m| m.status == Some(CommitStatus::Committed));
                self.decide(made);
            }
            CommitPhase::Deciding(commit) => self.phase = CommitPhase::Ended(commit),
            CommitPhase::Ended(_) | CommitPhase::Superseded => {}
        }
    }

    /// Takes what came of the ask that a member was sent in this phase: its answer, or none where the connection broke or
    /// nothing came in time, and it may have done what was asked.
    pub fn handle_response(&mut self, member: usize, answer: Option<CommitResponse>) {
        let Some(m) = self.members.get_mut(member) else {
            return;
        };
        let name = m.ingress.clone();
        match (self.phase.clone(), answer) {
            (CommitPhase::Preparing, Some(CommitResponse::Prepared)) => {
                (m.answered, m.status) = (true, Some(CommitStatus::Prepared));
                self.all_answered();
            }
            // It may have promised all the same: it is told to forget it, like all.
            (CommitPhase::Preparing, None) => {
                self.rejections.push((name, "it did not answer".into()));
                self.decide(false);
            }
            (
                CommitPhase::Preparing,
                Some(
                    CommitResponse::Rejected { reason: why }
                    | CommitResponse::Unavailable { reason: why },
                ),
            ) => {
                self.rejections.push((name, why));
                self.decide(false);
            }
            (
                CommitPhase::Fencing | CommitPhase::Deciding(_),
                None | Some(CommitResponse::Unavailable { .. }),
            ) => {} // asked again
            (
                CommitPhase::Fencing,
                Some(CommitResponse::ChangeStatus {
                    change,
                    status: stand,
                }),
            ) if change == self.change => {
                (m.answered, m.status) = (true, Some(stand));
                self.all_answered();
            }
            (
                CommitPhase::Deciding(commit),
                Some(CommitResponse::ChangeStatus {
                    change,
                    status: stand,
                }),
            ) if change == self.change => {
                m.status = Some(stand);
                let as_decided = stand
                    == if commit {
                        CommitStatus::Committed
                    } else {
                        CommitStatus::Aborted
                    };
                if as_decided {
                    m.answered = true;
                    self.all_answered();
                } else {
                    self.phase = CommitPhase::Superseded;
                }
            }
            (
                CommitPhase::Fencing | CommitPhase::Deciding(_),
                Some(CommitResponse::Rejected { reason: why }),
            ) => {
                self.rejections.push((name, why));
                self.phase = CommitPhase::Superseded;
            }
            _ => {}
        }
    }
}
