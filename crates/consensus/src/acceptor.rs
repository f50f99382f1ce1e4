//! A member's side of a decision. All that it must not forget is one [`PersistentState`], written as a whole before anything is said
//! that rests on it.

use crate::group_state::GroupState;
use crate::membership::{Membership, ReplicaId};
use crate::protocol::{Ballot, GroupRequest, GroupResponse, GroupStatus};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wrenfork_commit::state::{Digest, State};

/// What a member must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// Whose it is.
    pub name: String,
    /// Drawn when it was made.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// How often it was written.
    pub writes: u64,
    /// What stands; none before the group has been formed.
    #[serde(rename = "decree")]
    pub group_state: Option<Arc<GroupState>>,
    /// The ballot from which it made the switch to that, where it had taken it up before.
    #[serde(rename = "from", default)]
    pub accepted_in: Option<Ballot>,
    /// The highest ballot for the next decree that it takes part in.
    pub promised: Ballot,
    /// The next decree, taken up but not decided yet as far as is known here.
    pub accepted: Option<(Ballot, Arc<GroupState>)>,
}

impl PersistentState {
    /// Of a member that knows nothing yet; the folder's number must be drawn by chance.
    pub fn new(name: &str, folder: ReplicaId) -> PersistentState {
        PersistentState {
            name: name.into(),
            replica: folder,
            ..PersistentState::default()
        }
    }

    /// The number of the decree that stands; 0 where none does.
    pub fn version(&self) -> u64 {
        self.group_state.as_ref().map_or(0, |d| d.version)
    }

    /// The same under another folder's number: none of its votes counts any more, what it knows stays.
    pub fn with_new_replica(&self, folder: ReplicaId) -> PersistentState {
        let memory = PersistentState::new(&self.name, folder);
        PersistentState {
            group_state: self.group_state.clone(),
            writes: self.writes + 1,
            ..memory
        }
    }
}

/// What comes of a message; with `switch` another decree stands.
pub type Step = wrenfork_commit::step::Step<PersistentState, GroupResponse>;

/// A member's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    memory: PersistentState,
    /// What it enforces while no decree stands, with its generation; none for a witness.
    own: Option<(u64, Arc<State>)>,
}

fn no(why: impl Into<String>) -> Step {
    Step::Respond(GroupResponse::Rejected { reason: why.into() })
}

impl Acceptor {
    /// One that remembers this.
    pub fn new(memory: PersistentState, own: Option<(u64, Arc<State>)>) -> Acceptor {
        Acceptor { memory, own }
    }

    /// What it remembers.
    pub fn state(&self) -> &PersistentState {
        &self.memory
    }

    /// What a step wanted remembered is written.
    pub fn persisted(&mut self, memory: PersistentState) {
        self.memory = memory;
    }

    fn next(&self) -> u64 {
        self.memory.version() + 1
    }

    fn moved(&self) -> Step {
        let digest = self
            .memory
            .group_state
            .as_ref()
            .map_or_else(Digest::default, |d| d.digest.clone());
        Step::Respond(GroupResponse::OtherVersion {
            version: self.memory.version(),
            digest,
        })
    }

    /// Takes a message. `sure` says whether this member may vote, and if not, why; `check` whether a state could be enforced
    /// here. Renewals are [`crate::lease::Standing`]'s.
    pub fn handle(
        &self,
        ask: GroupRequest,
        sure: Result<(), String>,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Step {
        let m = &self.memory;
        match ask {
            GroupRequest::Renew { .. }
            | GroupRequest::Tally
            | GroupRequest::UpgradeTurn { .. }
            | GroupRequest::ProgramUnfit { .. } => no("this is not asked for here"),
            GroupRequest::Learn => Step::Respond(GroupResponse::State {
                state: m.group_state.clone(),
            }),
            GroupRequest::Status => {
                Step::Respond(GroupResponse::Status(Box::new(self.status(sure.err()))))
            }
            GroupRequest::ProposerAlive { .. } => {
                Step::Respond(GroupResponse::Accepted { replica: m.replica })
            }
            GroupRequest::Prepare {
                version: number,
                ballot,
                candidate: trial,
            } => {
                if number != self.next() {
                    return self.moved();
                }
                if ballot < m.promised {
                    return Step::Respond(GroupResponse::HigherBallot { ballot: m.promised });
                }
                if let Some(why) = trial.as_ref().and_then(|t| self.could(t, check).err()) {
                    return no(why);
                }
                // A member without a vote says whether it could; nothing is counted.
                if sure.is_err() && m.group_state.is_some() {
                    return Step::Respond(GroupResponse::Promised {
                        replica: 0,
                        accepted: None,
                        enforced: None,
                    });
                }
                let own = self.own.clone().filter(|_| m.group_state.is_none());
                let then = GroupResponse::Promised {
                    replica: m.replica,
                    accepted: m.accepted.clone(),
                    enforced: own,
                };
                if ballot == m.promised {
                    return Step::Respond(then);
                }
                self.write(
                    PersistentState {
                        promised: ballot,
                        ..m.clone()
                    },
                    then,
                    false,
                )
            }
            GroupRequest::Accept {
                ballot,
                state: decree,
            } => {
                if decree.version != self.next() {
                    return self.moved();
                }
                if ballot < m.promised {
                    return Step::Respond(GroupResponse::HigherBallot { ballot: m.promised });
                }
                let folder = if sure.is_ok() || m.group_state.is_none() {
                    m.replica
                } else {
                    0
                };
                let then = GroupResponse::Accepted { replica: folder };
                if m.accepted
                    .as_ref()
                    .is_some_and(|a| a.0 == ballot && a.1 == decree)
                {
                    return Step::Respond(then);
                }
                if let Err(why) = self.could(&decree, check) {
                    return no(why);
                }
                let accepted = Some((ballot, decree));
                self.write(
                    PersistentState {
                        promised: ballot,
                        accepted,
                        ..m.clone()
                    },
                    then,
                    false,
                )
            }
            GroupRequest::Decided {
                version: number,
                digest,
                state: decree,
            } => self.decided(number, &digest, decree, check),
        }
    }

    fn decided(
        &self,
        number: u64,
        digest: &Digest,
        decree: Option<Arc<GroupState>>,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Step {
        let m = &self.memory;
        let then = |number, from| GroupResponse::Decided {
            replica: m.replica,
            version: number,
            accepted_in: from,
        };
        if number <= m.version() {
            // It may have learnt it from another member a moment before: that changes nothing about whom it has heeded.
            let same = m.group_state.as_ref().is_some_and(|d| d.digest == *digest);
            return Step::Respond(then(m.version(), m.accepted_in.filter(|_| same)));
        }
        let known = m
            .accepted
            .as_ref()
            .filter(|(_, d)| d.version == number && d.digest == *digest);
        let from = known.map(|a| a.0);
        let Some(decree) = known.map(|a| a.1.clone()).or(decree) else {
            return Step::Respond(GroupResponse::NeedState);
        };
        if decree.version != number || decree.digest != *digest {
            return no("the decree is not the one that it is said to be");
        }
        let check = decree
            .check()
            .and_then(|()| self.enforceable(&decree, check));
        if let Err(why) = check {
            return no(why);
        }
        let (folder, writes) = (m.replica, m.writes);
        let memory = PersistentState {
            replica: folder,
            writes,
            group_state: Some(decree),
            accepted_in: from,
            ..PersistentState::new(&m.name, folder)
        };
        self.write(memory, then(number, from), true)
    }

    fn write(&self, memory: PersistentState, then: GroupResponse, switch: bool) -> Step {
        let memory = Box::new(PersistentState {
            writes: memory.writes + 1,
            ..memory
        });
        Step::Persist {
            state: memory,
            response: then,
            applies: switch,
        }
    }

    fn enforceable(
        &self,
        decree: &GroupState,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Result<(), String> {
        decree
            .policy
            .state_for(&self.memory.name)
            .map_or(Ok(()), |state| check(&state))
    }

    /// Whether a decree could follow the one that stands, and be enforced here.
    fn could(
        &self,
        decree: &GroupState,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Result<(), String> {
        decree.check()?;
        if let Some(stands) = &self.memory.group_state {
            if decree.generation < stands.generation {
                return Err(format!(
                    "generation {} was enforced already",
                    decree.generation
                ));
            }
            if decree.generation == stands.generation && !decree.enforces_same_as(stands) {
                return Err(format!(
                    "two policies under generation {}",
                    decree.generation
                ));
            }
            stands.check_rollout_step(decree)?;
            if !stands.membership.majorities_overlap(&decree.membership) {
                return Err(
                    "more than one vote would change at once: majorities would not overlap".into(),
                );
            }
            if decree.membership.lease_ms != stands.membership.lease_ms {
                return Err("the length of the lease stays as the group was formed with".into());
            }
        }
        self.enforceable(decree, check)
    }

    /// How it stands.
    pub fn status(&self, unsure: Option<String>) -> GroupStatus {
        let m = &self.memory;
        let decree = m.group_state.as_deref();
        GroupStatus {
            name: m.name.clone(),
            replica: m.replica,
            role: decree
                .and_then(|d| d.membership.member(&m.name))
                .map(|s| s.role),
            version: m.version(),
            generation: decree.map_or(0, |d| d.generation),
            change: decree.map_or_else(Digest::default, |d| d.change.clone()),
            digest: decree.map_or_else(Digest::default, |d| d.digest.clone()),
            membership: decree.map_or_else(Membership::default, |d| d.membership.clone()),
            promised: m.promised,
            pending: m.accepted.as_ref().map(|a| a.1.digest.clone()),
            rollout: decree
                .and_then(|d| d.rollout.as_ref())
                .map(|r| r.phase.clone()),
            lease_ms: None,
            vote_withheld: unsure,
            running_program: None,
            wanted_program: None,
            may_upgrade: false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{
        Acceptor, Arc, Ballot, Digest, GroupRequest, GroupResponse, GroupState, Membership,
        PersistentState, Step,
    };
    use crate::group_state::Policy;
    use crate::membership::{Member, MemberRole};

    fn written(acceptor: &mut Acceptor, ask: GroupRequest) -> GroupResponse {
        match acceptor.handle(ask, Ok(()), |_| Ok(())) {
            Step::Persist {
                state: memory,
                response: then,
                ..
            } => {
                acceptor.persisted(*memory);
                then
            }
            Step::Respond(say) => say,
        }
    }

    /// Guards against a change that waits for leases twice: a member that has taken it up may learn from another one that it is
    /// decided, before whoever proposed it says so; it has heeded nobody else all the same.
    #[test]
    fn one_that_learnt_it_elsewhere_still_says_from_which_ballot_it_made_the_switch() {
        let seat = Member {
            name: "a".into(),
            replica: 1,
            role: MemberRole::Ingress,
            votes: true,
        };
        let roster = Membership::new(1, 1_500, vec![seat]).unwrap();
        let first = Arc::new(GroupState::new(
            1,
            1,
            Digest::default(),
            "",
            roster,
            Policy::default(),
        ));
        let next = Arc::new(first.unchanged_successor());
        let memory = PersistentState {
            group_state: Some(first),
            ..PersistentState::new("a", 1)
        };
        let mut acceptor = Acceptor::new(memory, None);
        let ballot = Ballot {
            round: 3,
            proposer: 7,
        };
        assert_eq!(
            written(
                &mut acceptor,
                GroupRequest::Accept {
                    ballot,
                    state: next.clone()
                }
            ),
            GroupResponse::Accepted { replica: 1 }
        );
        let told = |decree| GroupRequest::Decided {
            version: 2,
            digest: next.digest.clone(),
            state: decree,
        };
        let from = |say| match say {
            GroupResponse::Decided {
                version: 2,
                accepted_in: from,
                ..
            } => from,
            other => panic!("{other:?}"),
        };
        assert_eq!(
            from(written(&mut acceptor, told(Some(next.clone())))),
            Some(ballot),
            "by another member"
        );
        assert_eq!(
            from(written(&mut acceptor, told(None))),
            Some(ballot),
            "by whoever proposed it"
        );
        let other = GroupRequest::Decided {
            version: 2,
            digest: Digest::of(b"another"),
            state: None,
        };
        assert_eq!(from(written(&mut acceptor, other)), None);
    }
}
