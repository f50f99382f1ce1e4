//! An ingress's side: what it enforces, what it has promised, and what it knows of changes that have ended. All of it is
//! one [`ParticipantState`], which is written as a whole before anything is said or done that rests on it.

use crate::metrics::IngressMetrics;
use crate::protocol::{Ballot, CommitRequest, CommitResponse, CommitStatus, PreparedVote};
use crate::state::{Digest, Generation, State};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Changes that have ended, and fences, that are remembered.
const MOST_REMEMBERED: usize = 64;

/// What an ingress must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ParticipantState {
    /// What is enforced.
    pub enforced: Generation,
    /// All of it.
    pub state: Arc<State>,
    /// What is promised, and its state.
    #[serde(rename = "promise")]
    pub prepared: Option<(PreparedVote, Arc<State>)>,
    /// Changes that have ended here, the last ones: whether the switch was made.
    pub ended: Vec<(Digest, bool)>,
    /// The number of the one that may decide a change: who prepared it here, or who fenced it last.
    pub fences: Vec<(Digest, Ballot)>,
}

impl ParticipantState {
    /// Of an ingress that has made no change yet.
    pub fn new(number: u64, state: impl Into<Arc<State>>) -> ParticipantState {
        let state = state.into();
        let enforced = Generation {
            number,
            digest: state.digest(),
        };
        ParticipantState {
            enforced,
            state,
            ..ParticipantState::default()
        }
    }

    fn stand(&self, change: &Digest) -> CommitStatus {
        match self.ended.iter().find(|e| e.0 == *change) {
            Some((_, true)) => CommitStatus::Committed,
            Some((_, false)) => CommitStatus::Aborted,
            None if self
                .prepared
                .as_ref()
                .is_some_and(|p| p.0.change == *change) =>
            {
                CommitStatus::Prepared
            }
            None => CommitStatus::Unknown,
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
        self.prepared = self.prepared.take().filter(|p| p.0.change != *change);
        self.fences.retain(|f| f.0 != *change);
        self.ended.push((change.clone(), made));
        let surplus = self.ended.len().saturating_sub(MOST_REMEMBERED);
        self.ended.drain(..surplus);
    }
}

/// What comes of a message, to whoever must remember an `M` and answers with an `S`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<M = ParticipantState, S = CommitResponse> {
    /// The answer; nothing is to be remembered.
    Respond(S),
    /// This is to be remembered first: written, and told with `written`. Then the answer may go, and with
    /// `switch` the new state is enforced in one step. If it can't be written, nothing has happened.
    Persist {
        /// All that is to be remembered.
        state: Box<M>,
        /// The answer.
        response: S,
        /// Whether the enforced state is another.
        applies: bool,
    },
}

/// An ingress's side of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    name: String,
    memory: ParticipantState,
}

fn no(why: impl Into<String>) -> Step {
    Step::Respond(CommitResponse::Rejected { reason: why.into() })
}

impl Participant {
    /// One that remembers this.
    pub fn new(name: &str, memory: ParticipantState) -> Participant {
        Participant {
            name: name.into(),
            memory,
        }
    }

    /// What it remembers.
    pub fn state(&self) -> &ParticipantState {
        &self.memory
    }

    /// What a step wanted remembered is written.
    pub fn persisted(&mut self, memory: ParticipantState) {
        self.memory = memory;
    }

    /// Takes a message. `check` says whether a state could be enforced here, and if not, why.
    pub fn handle(
        &self,
        ask: CommitRequest,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Step {
        let m = &self.memory;
        match ask {
            CommitRequest::Status => Step::Respond(CommitResponse::Status {
                ingress: self.name.clone(),
                generation: m.enforced.clone(),
                state: m.state.clone(),
                metrics: IngressMetrics::default(),
                prepared: m.prepared.as_ref().map(|p| p.0.clone()),
            }),
            CommitRequest::Prepare {
                vote: promise,
                ballot,
                state: wanted,
            } => self.prepare(promise, ballot, wanted, check),
            CommitRequest::Fence { change, ballot } => self.fence(&change, ballot),
            CommitRequest::Decide {
                change,
                ballot,
                commit,
            } => self.decide(&change, ballot, commit),
            // What went before is not a matter of the protocol: whoever keeps it answers.
            CommitRequest::FetchGeneration { .. }
            | CommitRequest::History { .. }
            | CommitRequest::AppendRecord { .. } => no("nothing is kept here"),
        }
    }

    fn prepare(
        &self,
        promise: PreparedVote,
        ballot: Ballot,
        wanted: Arc<State>,
        check: impl FnOnce(&State) -> Result<(), String>,
    ) -> Step {
        let m = &self.memory;
        match m.stand(&promise.change) {
            CommitStatus::Prepared if m.fence(&promise.change) == Some(ballot) => {
                return Step::Respond(CommitResponse::Prepared)
            }
            CommitStatus::Prepared => {
                return no("somebody else applies this plan: ask how it ended")
            }
            CommitStatus::Committed => return no("this plan was applied here already"),
            CommitStatus::Aborted => return no("this plan was given up: make it anew"),
            CommitStatus::Unknown => {}
        }
        if m.fence(&promise.change).is_some() {
            return no("somebody recovers this change: ask how it ended");
        }
        if let Some((other, _)) = &m.prepared {
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
        memory.prepared = Some((promise, wanted));
        Step::Persist {
            state: memory,
            response: CommitResponse::Prepared,
            applies: false,
        }
    }

    fn fence(&self, change: &Digest, ballot: Ballot) -> Step {
        let m = &self.memory;
        let stand = m.stand(change);
        let then = CommitResponse::ChangeStatus {
            change: change.clone(),
            status: stand,
        };
        if matches!(stand, CommitStatus::Committed | CommitStatus::Aborted) {
            return Step::Respond(then);
        }
        if m.fence(change).is_some_and(|has| has >= ballot) {
            return no("somebody else recovers this change with a higher number");
        }
        let mut memory = Box::new(m.clone());
        memory.guard(change, ballot);
        Step::Persist {
            state: memory,
            response: then,
            applies: false,
        }
    }

    fn decide(&self, change: &Digest, ballot: Ballot, commit: bool) -> Step {
        let m = &self.memory;
        let stands = |stand| CommitResponse::ChangeStatus {
            change: change.clone(),
            status: stand,
        };
        match m.stand(change) {
            ended @ (CommitStatus::Committed | CommitStatus::Aborted) => {
                return Step::Respond(stands(ended))
            }
            CommitStatus::Unknown if commit => {
                return no("nothing was promised here for this change")
            }
            CommitStatus::Prepared | CommitStatus::Unknown => {}
        }
        if m.fence(change).is_some_and(|its| its != ballot) {
            return no("somebody else decides this change: ask how it ended");
        }
        let mut memory = Box::new(m.clone());
        memory.end(change, commit);
        if let Some((promise, state)) = m.prepared.clone().filter(|_| commit) {
            (memory.enforced, memory.state) = (promise.next, state);
            return Step::Persist {
                state: memory,
                response: stands(CommitStatus::Committed),
                applies: true,
            };
        }
        Step::Persist {
            state: memory,
            response: stands(CommitStatus::Aborted),
            applies: false,
        }
    }
}
