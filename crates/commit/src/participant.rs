//! An ingress's side: what it enforces, what it has promised, and what it knows of changes that have ended. All of it is
//! one [`Memory`], which is written as a whole before anything is said or done that rests on it.

use crate::figures::Figures;
use crate::protocol::{Ask, Ballot, Say, Stand};
use crate::state::{Digest, Generation, State};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Changes that have ended, and fences, that are remembered.
const MOST_REMEMBERED: usize = 64;

/// To make one switch, if it is so decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Promise {
    /// The change: its plan's identity.
    pub change: Digest,
    /// What must be enforced here for it.
    pub base: Generation,
    /// What is enforced after it.
    pub next: Generation,
    /// Who made it.
    pub author: String,
    /// All ingresses that are to make it, this one among them.
    pub members: Vec<String>,
}

/// What an ingress must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Memory {
    /// What is enforced.
    pub enforced: Generation,
    /// All of it.
    pub state: Arc<State>,
    /// What is promised, and its state.
    pub promise: Option<(Promise, Arc<State>)>,
    /// Changes that have ended here, the last ones: whether the switch was made.
    pub ended: Vec<(Digest, bool)>,
    /// The number of the one that may decide a change: who prepared it here, or who fenced it last.
    pub fences: Vec<(Digest, Ballot)>,
}

impl Memory {
    /// Of an ingress that has made no change yet.
    pub fn first(number: u64, state: impl Into<Arc<State>>) -> Memory {
        let state = state.into();
        let enforced = Generation {
            number,
            digest: state.digest(),
        };
        Memory {
            enforced,
            state,
            ..Memory::default()
        }
    }

    fn stand(&self, change: &Digest) -> Stand {
        match self.ended.iter().find(|e| e.0 == *change) {
            Some((_, true)) => Stand::Made,
            Some((_, false)) => Stand::Dropped,
            None if self.promise.as_ref().is_some_and(|p| p.0.change == *change) => Stand::Promised,
            None => Stand::Unknown,
        }
    }

    fn fence(&self, change: &Digest) -> Option<Ballot> {
        self.fences.iter().find(|f| f.0 == *change).map(|f| f.1)
    }

    fn guard(&mut self, change: &Digest, ballot: Ballot) {
        self.fences.retain(|f| f.0 != *change);
        self.fences.push((change.clone(), ballot));
        let surplus = self.fences.len().saturating_sub(MOST_REMEMBERED);
        self.fences.drain(..surplus);
    }

    fn end(&mut self, change: &Digest, made: bool) {
        self.promise = self.promise.take().filter(|p| p.0.change != *change);
        self.fences.retain(|f| f.0 != *change);
        self.ended.push((change.clone(), made));
        let surplus = self.ended.len().saturating_sub(MOST_REMEMBERED);
        self.ended.drain(..surplus);
    }
}

/// What comes of a message, to whoever must remember an `M` and answers with an `S`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<M = Memory, S = Say> {
    /// The answer; nothing is to be remembered.
    Say(S),
    /// This is to be remembered first: written, and told with `written`. Then the answer may go, and with
    /// `switch` the new state is enforced in one step. If it can't be written, nothing has happened.
    Write {
        /// All that is to be remembered.
        memory: Box<M>,
        /// The answer.
        then: S,
        /// Whether the enforced state is another.
        switch: bool,
    },
}

/// An ingress's side of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    name: String,
    memory: Memory,
}

fn no(why: impl Into<String>) -> Step {
    Step::Say(Say::No { why: why.into() })
}

impl Participant {
    /// One that remembers this.
    pub fn new(name: &str, memory: Memory) -> Participant {
        Participant {
            name: name.into(),
            memory,
        }
    }

    /// What it remembers.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// What a step wanted remembered is written.
    pub fn written(&mut self, memory: Memory) {
        self.memory = memory;
    }

    /// Takes a message. `check` says whether a state could be enforced here, and if not, why.
    pub fn take(&self, ask: Ask, check: impl FnOnce(&State) -> Result<(), String>) -> Step {
        let m = &self.memory;
        match ask {
            Ask::Status => Step::Say(Say::Status {
                ingress: self.name.clone(),
                generation: m.enforced.clone(),
                state: m.state.clone(),
                figures: Figures::default(),
                promise: m.promise.as_ref().map(|p| p.0.clone()),
            }),
            Ask::Prepare {
                promise,
                ballot,
                wanted,
            } => self.prepare(promise, ballot, wanted, check),
            Ask::Fence { change, ballot } => self.fence(&change, ballot),
            Ask::Decide {
                change,
                ballot,
                commit,
            } => self.decide(&change, ballot, commit),
            // What went before is not a matter of the protocol: whoever keeps it answers.
            Ask::Recall { .. } | Ask::History { .. } | Ask::Note { .. } => {
                no("nothing is kept here")
            }
        }
    }

    fn prepare(
        &self,
        promise: Promise,
        ballot: Ballot,
        wanted: Arc<State>,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Step {
        let m = &self.memory;
        match m.stand(&promise.change) {
            Stand::Promised if m.fence(&promise.change) == Some(ballot) => {
                return Step::Say(Say::Yes)
            }
            Stand::Promised => return no("somebody else applies this plan: ask how it ended"),
            Stand::Made => return no("this plan was applied here already"),
            Stand::Dropped => return no("this plan was given up: make it anew"),
            Stand::Unknown => {}
        }
        if m.fence(&promise.change).is_some() {
            return no("somebody recovers this change: ask how it ended");
        }
        if let Some((other, _)) = &m.promise {
            let (change, author) = (other.change.short(), &other.author);
            return no(format!(
                "another change ({change}, by {author}) is promised and not decided: resume that first"
            ));
        }
        if m.enforced != promise.base {
            let (has, base) = (&m.enforced, &promise.base);
            return no(format!(
                "it has moved: it enforces generation {} ({}), and the plan was made for {} ({})",
                has.number,
                has.digest.short(),
                base.number,
                base.digest.short()
            ));
        }
        if promise.next.number <= m.enforced.number || wanted.digest() != promise.next.digest {
            return no("the change does not fit its own number and digest");
        }
        if !promise.members.contains(&self.name) {
            return no(format!("the change is not for {}", self.name));
        }
        if let Err(why) = check(&wanted) {
            return no(why);
        }
        let mut memory = Box::new(m.clone());
        memory.guard(&promise.change, ballot);
        memory.promise = Some((promise, wanted));
        Step::Write {
            memory,
            then: Say::Yes,
            switch: false,
        }
    }

    fn fence(&self, change: &Digest, ballot: Ballot) -> Step {
        let m = &self.memory;
        let stand = m.stand(change);
        let then = Say::Stands {
            change: change.clone(),
            stand,
        };
        if matches!(stand, Stand::Made | Stand::Dropped) {
            return Step::Say(then);
        }
        if m.fence(change).is_some_and(|has| has >= ballot) {
            return no("somebody else recovers this change with a higher number");
        }
        let mut memory = Box::new(m.clone());
        memory.guard(change, ballot);
        Step::Write {
            memory,
            then,
            switch: false,
        }
    }

    fn decide(&self, change: &Digest, ballot: Ballot, commit: bool) -> Step {
        let m = &self.memory;
        let stands = |stand| Say::Stands {
            change: change.clone(),
            stand,
        };
        match m.stand(change) {
            ended @ (Stand::Made | Stand::Dropped) => return Step::Say(stands(ended)),
            Stand::Unknown if commit => return no("nothing was promised here for this change"),
            Stand::Promised | Stand::Unknown => {}
        }
        if m.fence(change).is_some_and(|its| its != ballot) {
            return no("somebody else decides this change: ask how it ended");
        }
        let mut memory = Box::new(m.clone());
        memory.end(change, commit);
        if let Some((promise, state)) = m.promise.clone().filter(|_| commit) {
            (memory.enforced, memory.state) = (promise.next, state);
            return Step::Write {
                memory,
                then: stands(Stand::Made),
                switch: true,
            };
        }
        Step::Write {
            memory,
            then: stands(Stand::Dropped),
            switch: false,
        }
    }
}
