//! A member's side of a decision. All that it must not forget is one [`Memory`], written as a whole before anything is said
//! that rests on it.

use crate::decree::Decree;
use crate::protocol::{Ask, Ballot, Say, Stand};
use crate::seats::{Folder, Roster};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wrenfork_commit::state::{Digest, State};

/// What a member must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    /// Whose it is.
    pub name: String,
    /// Drawn when it was made.
    pub folder: Folder,
    /// How often it was written.
    pub writes: u64,
    /// What stands; none before the group has been formed.
    pub decree: Option<Arc<Decree>>,
    /// The ballot from which it made the switch to that, where it had taken it up before.
    #[serde(default)]
    pub from: Option<Ballot>,
    /// The highest ballot for the next decree that it takes part in.
    pub promised: Ballot,
    /// The next decree, taken up but not decided yet as far as is known here.
    pub accepted: Option<(Ballot, Arc<Decree>)>,
}

impl Memory {
    /// Of a member that knows nothing yet; the folder's number must be drawn by chance.
    pub fn fresh(name: &str, folder: Folder) -> Memory {
        Memory {
            name: name.into(),
            folder,
            ..Memory::default()
        }
    }

    /// The number of the decree that stands; 0 where none does.
    pub fn number(&self) -> u64 {
        self.decree.as_ref().map_or(0, |d| d.number)
    }

    /// The same under another folder's number: none of its votes counts any more, what it knows stays.
    pub fn shed(&self, folder: Folder) -> Memory {
        let memory = Memory::fresh(&self.name, folder);
        Memory {
            decree: self.decree.clone(),
            writes: self.writes + 1,
            ..memory
        }
    }
}

/// What comes of a message; with `switch` another decree stands.
pub type Step = wrenfork_commit::participant::Step<Memory, Say>;

/// A member's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    memory: Memory,
    /// What it enforces while no decree stands, with its generation; none for a witness.
    own: Option<(u64, Arc<State>)>,
}

fn no(why: impl Into<String>) -> Step {
    Step::Say(Say::No { why: why.into() })
}

impl Acceptor {
    /// One that remembers this.
    pub fn new(memory: Memory, own: Option<(u64, Arc<State>)>) -> Acceptor {
        Acceptor { memory, own }
    }

    /// What it remembers.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// What a step wanted remembered is written.
    pub fn written(&mut self, memory: Memory) {
        self.memory = memory;
    }

    fn next(&self) -> u64 {
        self.memory.number() + 1
    }

    fn moved(&self) -> Step {
        let digest = self
            .memory
            .decree
            .as_ref()
            .map_or_else(Digest::default, |d| d.digest.clone());
        Step::Say(Say::Moved {
            number: self.memory.number(),
            digest,
        })
    }

    /// Takes a message. `sure` says whether this member may vote, and if not, why; `check` whether a state could be enforced
    /// here. Renewals are [`crate::lease::Standing`]'s.
    pub fn take(
        &self,
        ask: Ask,
        sure: Result<(), String>,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Step {
        let m = &self.memory;
        match ask {
            Ask::Renew { .. } | Ask::Tally | Ask::Turn { .. } | Ask::Unfit { .. } => {
                no("this is not asked for here")
            }
            Ask::Learn => Step::Say(Say::Learnt {
                decree: m.decree.clone(),
            }),
            Ask::Stand => Step::Say(Say::Stands(Box::new(self.stand(sure.err())))),
            Ask::Still { .. } => Step::Say(Say::Accepted { folder: m.folder }),
            Ask::Promise {
                number,
                ballot,
                trial,
            } => {
                if number != self.next() {
                    return self.moved();
                }
                if ballot < m.promised {
                    return Step::Say(Say::Outbid { ballot: m.promised });
                }
                if let Some(why) = trial.as_ref().and_then(|t| self.could(t, check).err()) {
                    return no(why);
                }
                // A member without a vote says whether it could; nothing is counted.
                if sure.is_err() && m.decree.is_some() {
                    return Step::Say(Say::Promised {
                        folder: 0,
                        accepted: None,
                        own: None,
                    });
                }
                let own = self.own.clone().filter(|_| m.decree.is_none());
                let then = Say::Promised {
                    folder: m.folder,
                    accepted: m.accepted.clone(),
                    own,
                };
                if ballot == m.promised {
                    return Step::Say(then);
                }
                self.write(
                    Memory {
                        promised: ballot,
                        ..m.clone()
                    },
                    then,
                    false,
                )
            }
            Ask::Accept { ballot, decree } => {
                if decree.number != self.next() {
                    return self.moved();
                }
                if ballot < m.promised {
                    return Step::Say(Say::Outbid { ballot: m.promised });
                }
                let folder = if sure.is_ok() || m.decree.is_none() {
                    m.folder
                } else {
                    0
                };
                let then = Say::Accepted { folder };
                if m.accepted
                    .as_ref()
                    .is_some_and(|a| a.0 == ballot && a.1 == decree)
                {
                    return Step::Say(then);
                }
                if let Err(why) = self.could(&decree, check) {
                    return no(why);
                }
                let accepted = Some((ballot, decree));
                self.write(
                    Memory {
                        promised: ballot,
                        accepted,
                        ..m.clone()
                    },
                    then,
                    false,
                )
            }
            Ask::Decided {
                number,
                digest,
                decree,
            } => self.decided(number, &digest, decree, check),
        }
    }

    fn decided(
        &self,
        number: u64,
        digest: &Digest,
        decree: Option<Arc<Decree>>,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Step {
        let m = &self.memory;
        let then = |number, from| Say::Decided {
            folder: m.folder,
            number,
            from,
        };
        if number <= m.number() {
            // It may have learnt it from another member a moment before: that changes nothing about whom it has heeded.
            let same = m.decree.as_ref().is_some_and(|d| d.digest == *digest);
            return Step::Say(then(m.number(), m.from.filter(|_| same)));
        }
        let known = m
            .accepted
            .as_ref()
            .filter(|(_, d)| d.number == number && d.digest == *digest);
        let from = known.map(|a| a.0);
        let Some(decree) = known.map(|a| a.1.clone()).or(decree) else {
            return Step::Say(Say::Want);
        };
        if decree.number != number || decree.digest != *digest {
            return no("the decree is not the one that it is said to be");
        }
        let check = decree
            .check()
            .and_then(|()| self.enforceable(&decree, check));
        if let Err(why) = check {
            return no(why);
        }
        let (folder, writes) = (m.folder, m.writes);
        let memory = Memory {
            folder,
            writes,
            decree: Some(decree),
            from,
            ..Memory::fresh(&m.name, folder)
        };
        self.write(memory, then(number, from), true)
    }

    fn write(&self, memory: Memory, then: Say, switch: bool) -> Step {
        let memory = Box::new(Memory {
            writes: memory.writes + 1,
            ..memory
        });
        Step::Write {
            memory,
            then,
            switch,
        }
    }

    fn enforceable(
        &self,
        decree: &Decree,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Result<(), String> {
        decree
            .policy
            .at(&self.memory.name)
            .map_or(Ok(()), |state| check(&state))
    }

    /// Whether a decree could follow the one that stands, and be enforced here.
    fn could(
        &self,
        decree: &Decree,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Result<(), String> {
        decree.check()?;
        if let Some(stands) = &self.memory.decree {
            if decree.generation < stands.generation {
                return Err(format!(
                    "generation {} was enforced already",
                    decree.generation
                ));
            }
            if decree.generation == stands.generation && !decree.enforces_as(stands) {
                return Err(format!(
                    "two policies under generation {}",
                    decree.generation
                ));
            }
            stands.rolls_on(decree)?;
            if !stands.roster.overlaps(&decree.roster) {
                return Err(
                    "more than one vote would change at once: majorities would not overlap".into(),
                );
            }
            if decree.roster.lease_ms != stands.roster.lease_ms {
                return Err("the length of the lease stays as the group was formed with".into());
            }
        }
        self.enforceable(decree, check)
    }

    /// How it stands.
    pub fn stand(&self, unsure: Option<String>) -> Stand {
        let m = &self.memory;
        let decree = m.decree.as_deref();
        Stand {
            name: m.name.clone(),
            folder: m.folder,
            kind: decree.and_then(|d| d.roster.seat(&m.name)).map(|s| s.kind),
            number: m.number(),
            generation: decree.map_or(0, |d| d.generation),
            change: decree.map_or_else(Digest::default, |d| d.change.clone()),
            digest: decree.map_or_else(Digest::default, |d| d.digest.clone()),
            roster: decree.map_or_else(Roster::default, |d| d.roster.clone()),
            promised: m.promised,
            pending: m.accepted.as_ref().map(|a| a.1.digest.clone()),
            rollout: decree
                .and_then(|d| d.rollout.as_ref())
                .map(|r| r.phase.clone()),
            lease_ms: None,
            unsure,
            runs: None,
            wants: None,
            turn: false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Acceptor, Arc, Ask, Ballot, Decree, Digest, Memory, Roster, Say, Step};
    use crate::decree::Policy;
    use crate::seats::{Kind, Seat};

    fn written(acceptor: &mut Acceptor, ask: Ask) -> Say {
        match acceptor.take(ask, Ok(()), |_| Ok(())) {
            Step::Write { memory, then, .. } => {
                acceptor.written(*memory);
                then
            }
            Step::Say(say) => say,
        }
    }

    /// Guards against a change that waits for leases twice: a member that has taken it up may learn from another one that it is
    /// decided, before whoever proposed it says so; it has heeded nobody else all the same.
    #[test]
    fn one_that_learnt_it_elsewhere_still_says_from_which_ballot_it_made_the_switch() {
        let seat = Seat {
            name: "a".into(),
            folder: 1,
            kind: Kind::Ingress,
            votes: true,
        };
        let roster = Roster::new(1, 1_500, vec![seat]).unwrap();
        let first = Arc::new(Decree::new(
            1,
            1,
            Digest::default(),
            "",
            roster,
            Policy::default(),
        ));
        let next = Arc::new(first.nothing());
        let memory = Memory {
            decree: Some(first),
            ..Memory::fresh("a", 1)
        };
        let mut acceptor = Acceptor::new(memory, None);
        let ballot = Ballot { round: 3, by: 7 };
        assert_eq!(
            written(
                &mut acceptor,
                Ask::Accept {
                    ballot,
                    decree: next.clone()
                }
            ),
            Say::Accepted { folder: 1 }
        );
        let told = |decree| Ask::Decided {
            number: 2,
            digest: next.digest.clone(),
            decree,
        };
        let from = |say| match say {
            Say::Decided {
                number: 2, from, ..
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
        let other = Ask::Decided {
            number: 2,
            digest: Digest::of(b"another"),
            decree: None,
        };
        assert_eq!(from(written(&mut acceptor, other)), None);
    }
}
