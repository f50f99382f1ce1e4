//! The open requests: what each is, where its attempts are, and the memory that all of them hold.

use crate::backends::Link;
use crate::clients::Origin;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use wrenfork_decision::{BackendId, Micros, RequestId};
use wrenfork_wire::call::Call;

/// How long after its end the id of a request is still known: one that is new each time does not come again.
const ID_KNOWN: Micros = 1_000_000;

/// The longest that a client is waited with: the timers of requests long answered must not pile up for hours.
pub const LONGEST_WAIT: Micros = 60_000_000;

/// An attempt at a request.
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    pub backend: BackendId,
    pub began: Micros,
    /// Its connection, while it is out.
    pub link: Option<Link>,
    /// How long its answer took to begin, where it passes on as it comes.
    pub took: Option<Micros>,
}

/// A request that is not forgotten yet.
#[derive(Serialize, Deserialize)]
pub struct Open {
    pub call: Call,
    /// A hash of its id.
    name: u64,
    pub origin: Origin,
    /// When its attempts are given up, and when its client's time is over.
    pub deadline: Micros,
    pub overdue: Micros,
    pub attempts: Vec<Attempt>,
    /// As many as it may have: those that were allowed when it came.
    pub most: usize,
    /// The attempt whose answer passes on as it comes: the request is that one's, with no other and no time-out.
    pub passing: Option<u16>,
    /// It has its final answer, or its client has gone.
    pub over: bool,
}

impl Open {
    /// When it came.
    pub fn came(&self) -> Micros {
        self.overdue
            .saturating_sub(self.call.wait.min(LONGEST_WAIT))
    }

    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.link.is_some())
    }
}

/// What becomes of a request that comes.
pub enum Place {
    Free(u64),
    /// Its id is that of a request that is open or was a moment ago.
    Taken,
    /// Beyond the bound on requests or on memory.
    Full,
}

/// The open requests.
#[derive(Serialize, Deserialize)]
pub struct Requests {
    open: HashMap<RequestId, Open>,
    /// Hashes of the ids of the open requests, and of those that ended a short while ago; their keys are drawn
    /// anew at each start.
    names: HashSet<u64>,
    ended: VecDeque<(Micros, u64)>,
    hasher: SipHasher13,
    /// The memory of the open requests, and the most of it and of them.
    held: usize,
    memory: usize,
    most: usize,
}

/// A key that nobody can guess; with the open requests it passes to the next process.
fn key() -> u64 {
    RandomState::new().hash_one(0)
}

impl Requests {
    /// None yet; at most so many, and so many bytes.
    pub fn new(most: usize, memory: usize) -> Self {
        Requests {
            open: HashMap::new(),
            names: HashSet::new(),
            ended: VecDeque::new(),
            hasher: SipHasher13::new_with_keys(key(), key()),
            held: 0,
            memory,
            most,
        }
    }

    /// The memory that they may hold from now on.
    pub fn within(&mut self, memory: usize) {
        self.memory = memory;
    }

    /// The bytes that they hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// At most so many from now on.
    pub fn allow(&mut self, most: usize) {
        self.most = most;
    }

    /// Whether a call can be taken in.
    pub fn place(&self, call: &Call) -> Place {
        // Two with one id could not be told apart by backends and clients, and the first one came in good faith.
        let mut hasher = self.hasher;
        hasher.write(call.id());
        let name = hasher.finish();
        if self.names.contains(&name) {
            Place::Taken
        } else if self.open.len() >= self.most || self.held + call.size() > self.memory {
            Place::Full
        } else {
            Place::Free(name)
        }
    }

    /// Takes a call in, at the place found for it.
    pub fn insert(
        &mut self,
        id: RequestId,
        call: Call,
        name: u64,
        origin: Origin,
        times: (Micros, Micros),
        most: usize,
    ) {
        self.held += call.size();
        self.names.insert(name);
        let (deadline, overdue) = times;
        let (attempts, over) = (Vec::new(), false);
        self.open.insert(
            id,
            Open {
                call,
                name,
                origin,
                deadline,
                overdue,
                attempts,
                most,
                passing: None,
                over,
            },
        );
    }

    pub fn get(&self, id: RequestId) -> Option<&Open> {
        self.open.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Open> {
        self.open.get_mut(&id)
    }

    /// The one that still owes an answer.
    pub fn owing(&mut self, id: RequestId) -> Option<&mut Open> {
        self.open.get_mut(&id).filter(|o| !o.over)
    }

    /// How many still owe an answer.
    pub fn owing_count(&self) -> usize {
        self.open.values().filter(|o| !o.over).count()
    }

    /// Whether any still owes an answer.
    pub fn owe(&self) -> bool {
        self.open.values().any(|o| !o.over)
    }

    pub fn ids(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Forgets a request that is over and has nothing out any more.
    pub fn forget(&mut self, id: RequestId, now: Micros) {
        if self.open.get(&id).is_some_and(|o| o.over && !o.out()) {
            if let Some(open) = self.open.remove(&id) {
                self.held -= open.call.size();
                self.ended.push_back((now + ID_KNOWN, open.name));
            }
        }
    }

    /// Forgets ids that ended long enough ago.
    pub fn sweep(&mut self, now: Micros) {
        while self.ended.front().is_some_and(|e| e.0 <= now) {
            self.ended.pop_front().map(|e| self.names.remove(&e.1));
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
