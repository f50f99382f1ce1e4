//! The open requests: what each is, where its attempts are, and the memory that all of them hold.

use crate::backend::ConnectionHandle;
use crate::client::Origin;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use wrenfork_decision::{BackendId, Micros, RequestId};
use wrenfork_wire::call::Call;

#[cfg(test)]
pub(crate) mod tests;

/// How long after its end the id of a request is still known: one that is new each time does not come again.
const ID_RETENTION: Micros = 1_000_000;

/// The longest wait of a client that is heeded: the timers of requests long answered must not pile up for hours.
pub const MAX_WAIT: Micros = 60_000_000;

/// An attempt at a request.
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// The backend that it is sent to.
    pub backend: BackendId,
    /// When it began.
    pub started_at: Micros,
    /// Its connection, while it is under way.
    pub connection: Option<ConnectionHandle>,
    /// How long its answer took to begin, in microseconds, where it is streamed.
    pub first_byte_after: Option<Micros>,
}

/// A request that is not forgotten yet.
#[derive(Serialize, Deserialize)]
pub struct OpenRequest {
    /// The client's command.
    pub call: Call,
    /// A hash of its id.
    id_hash: u64,
    /// Where its answer belongs.
    pub origin: Origin,
    /// When its attempts are given up.
    pub deadline: Micros,
    /// When its client gives up.
    pub client_deadline: Micros,
    /// Its attempts, by their numbers.
    pub attempts: Vec<Attempt>,
    /// The most attempts that it may have: those that were allowed when it arrived.
    pub max_attempts: usize,
    /// The attempt whose answer is streamed: the request is that one's, with no other and no time-out.
    pub streaming: Option<u16>,
    /// It has its final answer, or its client has disconnected.
    pub complete: bool,
}

/// When a request's time is over.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// For its attempts.
    pub attempts: Micros,
    /// For its client.
    pub client: Micros,
}

impl OpenRequest {
    /// When it arrived.
    pub fn arrived_at(&self) -> Micros {
        self.client_deadline
            .saturating_sub(self.call.wait.min(MAX_WAIT))
    }

    /// Whether an attempt is under way.
    fn has_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.connection.is_some())
    }

    /// An attempt by its number.
    pub fn attempt_mut(&mut self, number: u16) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(number))
    }
}

/// Whether a request can be taken in.
pub enum Capacity {
    /// It can, under this hash of its id.
    Free(u64),
    /// Its id is that of a request that is open or was a moment ago.
    DuplicateId,
    /// Beyond the bound on requests or on memory.
    Full,
}

/// The open requests.
#[derive(Serialize, Deserialize)]
pub struct OpenRequests {
    open: HashMap<RequestId, OpenRequest>,
    /// Hashes of the ids of the open requests, and of those that ended a short while ago; their keys are drawn
    /// anew at each start.
    id_hashes: HashSet<u64>,
    /// When the hash of an id of an ended request is dropped.
    ended: VecDeque<(Micros, u64)>,
    hasher: SipHasher13,
    /// Bytes that the open requests hold, and the most of them.
    memory_used: usize,
    max_memory: usize,
    /// The most open requests.
    max_open: usize,
}

/// A key that nobody can guess; with the open requests it passes to the next process.
fn random_key() -> u64 {
    RandomState::new().hash_one(0)
}

impl OpenRequests {
    /// None yet; at most so many, and so many bytes.
    pub fn new(max_open: usize, max_memory: usize) -> Self {
        OpenRequests {
            open: HashMap::new(),
            id_hashes: HashSet::new(),
            ended: VecDeque::new(),
            hasher: SipHasher13::new_with_keys(random_key(), random_key()),
            memory_used: 0,
            max_memory,
            max_open,
        }
    }

    /// Bounds the memory that they may hold from now on, in bytes.
    pub fn set_max_memory(&mut self, max_memory: usize) {
        self.max_memory = max_memory;
    }

    /// Bounds their number from now on.
    pub fn set_max_open(&mut self, max_open: usize) {
        self.max_open = max_open;
    }

    /// The bytes that they hold.
    pub fn memory_used(&self) -> usize {
        self.memory_used
    }

    /// Whether a call can be taken in.
    pub fn capacity_for(&self, call: &Call) -> Capacity {
        // Two with one id could not be told apart by backends and clients, and the first one came in good faith.
        let mut hasher = self.hasher;
        hasher.write(call.id());
        let id_hash = hasher.finish();
        if self.id_hashes.contains(&id_hash) {
            return Capacity::DuplicateId;
        }
        let memory = self.memory_used + call.size();
        if self.open.len() >= self.max_open || memory > self.max_memory {
            return Capacity::Full;
        }
        Capacity::Free(id_hash)
    }

    /// Takes a call in that there is capacity for, under the hash of its id.
    pub fn insert(
        &mut self,
        id: RequestId,
        call: Call,
        id_hash: u64,
        origin: Origin,
        deadlines: Deadlines,
        max_attempts: usize,
    ) {
        self.memory_used += call.size();
        self.id_hashes.insert(id_hash);
        let request = OpenRequest {
            call,
            id_hash,
            origin,
            deadline: deadlines.attempts,
            client_deadline: deadlines.client,
            attempts: Vec::new(),
            max_attempts,
            streaming: None,
            complete: false,
        };
        self.open.insert(id, request);
    }

    /// A request that is not forgotten yet.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// A request that still owes an answer.
    pub fn incomplete(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id).filter(|o| !o.complete)
    }

    /// How many still owe an answer.
    pub fn incomplete_count(&self) -> usize {
        self.open.values().filter(|o| !o.complete).count()
    }

    /// Whether any still owes an answer.
    pub fn any_incomplete(&self) -> bool {
        self.open.values().any(|o| !o.complete)
    }

    /// The ids of all that are not forgotten.
    pub fn ids(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Forgets a request that is complete and has no attempt under way.
    pub fn forget(&mut self, id: RequestId, now: Micros) {
        let over = |o: &OpenRequest| o.complete && !o.has_attempt();
        if !self.open.get(&id).is_some_and(over) {
            return;
        }
        if let Some(request) = self.open.remove(&id) {
            self.memory_used -= request.call.size();
            self.ended.push_back((now + ID_RETENTION, request.id_hash));
        }
    }

    /// Forgets ids of requests that ended long enough ago.
    pub fn sweep(&mut self, now: Micros) {
        while self.ended.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, id_hash)) = self.ended.pop_front() {
                self.id_hashes.remove(&id_hash);
            }
        }
    }
}
