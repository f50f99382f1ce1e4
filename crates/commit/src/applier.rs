//! The applier's side: two phases over all members of a change, and the recovery of one whose applier died.
//!
//! Each applier has a ballot of its own, and an ingress lets only the one decide that prepared the change there or fenced it
//! last. The first applier decides "make it" only once every member has promised, else "forget it". One that recovers
//! fences every member with a higher ballot before it decides, so that nobody else decides there any more; then it finishes
//! what one member has begun, and gives up what none has.

use crate::participant::Promise;
use crate::plan::Plan;
use crate::protocol::{Ask, Ballot, Say, Stand};
use crate::state::{Digest, Generation, State};
use std::sync::Arc;

/// A member of a change, as its applier sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// The ingress's name.
    pub ingress: String,
    /// Its promise and what it is to enforce; none where the applier recovers and has no plan.
    pub change: Option<(Promise, Arc<State>)>,
    /// It has answered what this phase asks.
    pub answered: bool,
    /// How it said last that the change stands there.
    pub stand: Option<Stand>,
}

/// Where an apply stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Members are asked for their promise.
    Preparing,
    /// Members are fenced, and say how the change stands there.
    Fencing,
    /// It is decided: made or given up; members are told.
    Deciding(bool),
    /// Every member has made the switch, or every member has forgotten it.
    Ended(bool),
    /// Somebody else decides this change.
    Overtaken,
}

/// An apply, or the recovery of one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Applier {
    /// The change.
    pub change: Digest,
    ballot: Ballot,
    /// Its members.
    pub members: Vec<Member>,
    /// Where it stands.
    pub phase: Phase,
    /// Why it was given up, by the member that said so.
    pub refused: Vec<(String, String)>,
}

impl Applier {
    /// Begins to apply a plan. The ballot must be this applier's alone: the time is a good choice.
    pub fn begin(plan: &Plan, ballot: Ballot) -> Applier {
        let change = plan.id();
        let names: Vec<String> = plan.targets.iter().map(|t| t.ingress.clone()).collect();
        let members = plan.targets.iter().map(|t| {
            let next = Generation {
                number: plan.generation,
                digest: t.wanted.clone(),
            };
            let promise = Promise {
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
            Member {
                ingress: t.ingress.clone(),
                change,
                answered: false,
                stand: None,
            }
        });
        let members = members.collect();
        Applier {
            change,
            ballot,
            members,
            phase: Phase::Preparing,
            refused: Vec::new(),
        }
    }

    /// Begins to recover a change, with a ballot that is higher than that of all before it.
    pub fn recover(change: Digest, members: Vec<String>, ballot: Ballot) -> Applier {
        let member = |ingress| Member {
            ingress,
            change: None,
            answered: false,
            stand: None,
        };
        let members = members.into_iter().map(member).collect();
        Applier {
            change,
            ballot,
            members,
            phase: Phase::Fencing,
            refused: Vec::new(),
        }
    }

    /// What is to be asked of a member now; none where it has answered.
    pub fn ask(&self, member: usize) -> Option<Ask> {
        let m = self.members.get(member).filter(|m| !m.answered)?;
        let (change, ballot) = (self.change.clone(), self.ballot);
        match self.phase {
            Phase::Preparing => {
                let (promise, wanted) = m.change.clone()?;
                Some(Ask::Prepare {
                    promise,
                    ballot,
                    wanted,
                })
            }
            Phase::Fencing => Some(Ask::Fence { change, ballot }),
            Phase::Deciding(commit) => Some(Ask::Decide {
                change,
                ballot,
                commit,
            }),
            Phase::Ended(_) | Phase::Overtaken => None,
        }
    }

    fn decide(&mut self, commit: bool) {
        self.phase = Phase::Deciding(commit);
        let end = if commit { Stand::Made } else { Stand::Dropped };
        self.members
            .iter_mut()
            .for_each(|m| m.answered = m.stand == Some(end));
        self.all_answered();
    }

    fn all_answered(&mut self) {
        if !self.members.iter().all(|m| m.answered) {
            return;
        }
        match self.phase {
            Phase::Preparing => self.decide(true),
            Phase::Fencing => {
                let made = self.members.iter().any(|m| m.stand == Some(Stand::Made));
                self.decide(made);
            }
            Phase::Deciding(commit) => self.phase = Phase::Ended(commit),
            Phase::Ended(_) | Phase::Overtaken => {}
        }
    }

    /// Takes what came of the ask that a member was sent in this phase: its answer, or none where the connection broke or
    /// nothing came in time, and it may have done what was asked.
    pub fn heard(&mut self, member: usize, answer: Option<Say>) {
        let Some(m) = self.members.get_mut(member) else {
            return;
        };
        let name = m.ingress.clone();
        match (self.phase.clone(), answer) {
            (Phase::Preparing, Some(Say::Yes)) => {
                (m.answered, m.stand) = (true, Some(Stand::Promised));
                self.all_answered();
            }
            // It may have promised all the same: it is told to forget it, like all.
            (Phase::Preparing, None) => {
                self.refused.push((name, "it did not answer".into()));
                self.decide(false);
            }
            (Phase::Preparing, Some(Say::No { why } | Say::Unable { why })) => {
                self.refused.push((name, why));
                self.decide(false);
            }
            (Phase::Fencing | Phase::Deciding(_), None | Some(Say::Unable { .. })) => {} // asked again
            (Phase::Fencing, Some(Say::Stands { change, stand })) if change == self.change => {
                (m.answered, m.stand) = (true, Some(stand));
                self.all_answered();
            }
            (Phase::Deciding(commit), Some(Say::Stands { change, stand }))
                if change == self.change =>
            {
                m.stand = Some(stand);
                let as_decided = stand == if commit { Stand::Made } else { Stand::Dropped };
                if as_decided {
                    m.answered = true;
                    self.all_answered();
                } else {
                    self.phase = Phase::Overtaken;
                }
            }
            (Phase::Fencing | Phase::Deciding(_), Some(Say::No { why })) => {
                self.refused.push((name, why));
                self.phase = Phase::Overtaken;
            }
            _ => {}
        }
    }
}
