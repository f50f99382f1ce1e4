//! The table of open requests, with their attempts and the memory they use.

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

/// How long the id of a completed request still counts as a duplicate, in microseconds. Clients draw
/// a new id for each request, so ids need not be remembered longer.
const ID_RETENTION: Micros = 1_000_000;

/// Approximate memory in bytes that an open request takes in the tables, timers and queues of the ingress and of the decision module,
/// in addition to its command.
const TABLES_BYTES: usize = 1024;

/// Longest client wait that is honoured, in microseconds: without a bound, timers of requests answered long ago could
/// accumulate for hours.
pub const MAX_WAIT: Micros = 60_000_000;

/// One attempt to have a request served by a backend.
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// Backend that receives the attempt.
    pub backend: BackendId,
    /// Start time of the attempt.
    pub started_at: Micros,
    /// Backend connection that carries the attempt; `None` once the attempt has ended.
    pub connection: Option<ConnectionHandle>,
    /// Time until the first byte of a streamed answer, in microseconds.
    pub first_byte_after: Option<Micros>,
}

/// A request that still has attempts in flight or owes an answer.
#[derive(Serialize, Deserialize)]
pub struct OpenRequest {
    /// The parsed command of the client.
    pub call: Call,
    /// Keyed hash of the request id, for detecting duplicates.
    id_hash: u64,
    /// Connection of the client, and number of the request on it.
    pub origin: Origin,
    /// Time at which its attempts are cancelled.
    pub deadline: Micros,
    /// Time at which the client stops waiting.
    pub client_deadline: Micros,
    /// Attempts, indexed by attempt number.
    pub attempts: Vec<Attempt>,
    /// Maximum number of attempts, as configured when the request arrived.
    pub max_attempts: usize,
    /// Number of the attempt whose answer is being streamed. From then on there is no further attempt and no timeout.
    pub streaming: Option<u16>,
    /// Whether the final answer has been given or the client has disconnected.
    pub complete: bool,
}

/// The two deadlines of a request.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Time at which the attempts are cancelled.
    pub attempts: Micros,
    /// Time at which the client stops waiting.
    pub client: Micros,
}

impl OpenRequest {
    /// Arrival time of the request, derived from the client's deadline.
    pub fn arrived_at(&self) -> Micros {
        self.client_deadline
            .saturating_sub(self.call.wait.min(MAX_WAIT))
    }

    /// The connection of the attempt whose answer is being streamed.
    pub fn streaming_connection(&self) -> Option<ConnectionHandle> {
        let attempt = self.attempts.get(usize::from(self.streaming?))?;
        attempt.connection
    }

    /// Whether any attempt is in flight.
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.connection.is_some())
    }

    /// Returns the attempt with this number.
    pub fn attempt_mut(&mut self, number: u16) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(number))
    }
}

/// Whether a new request can be inserted.
pub enum Capacity {
    /// There is room; the value is the hash of the request id.
    Free(u64),
    /// A request with the same id is open, or was attempted and ended within [`ID_RETENTION`].
    DuplicateId,
    /// The limit on requests or on memory is reached.
    Full,
}

/// The open requests, with bounds on their number and memory.
#[derive(Serialize, Deserialize)]
pub struct OpenRequests {
    open: HashMap<RequestId, OpenRequest>,
    /// Hashes of the ids of open requests, and of those that were attempted and ended within [`ID_RETENTION`].
    id_hashes: HashSet<u64>,
    /// Id hashes of ended requests, with the time at which each is removed.
    ended: VecDeque<(Micros, u64)>,
    /// Hasher for request ids, with random keys drawn at each start.
    hasher: SipHasher13,
    /// Bytes that the open requests use.
    memory_used: usize,
    /// Limit on `memory_used`, in bytes.
    max_memory: usize,
    /// Maximum number of open requests.
    max_open: usize,
}

/// Approximate memory in bytes that a call takes while it is open.
fn memory_of(call: &Call) -> usize {
    call.size() + TABLES_BYTES
}

/// Draws a hash key that clients cannot guess. The key is handed over to the successor with the open requests.
fn random_key() -> u64 {
    RandomState::new().hash_one(0)
}

impl OpenRequests {
    /// Creates an empty table for at most `max_open` requests and `max_memory` bytes.
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

    /// Sets the memory limit in bytes. Requests already open are kept.
    pub fn set_max_memory(&mut self, max_memory: usize) {
        self.max_memory = max_memory;
    }

    /// Sets the maximum number of open requests. Requests already open are kept.
    pub fn set_max_open(&mut self, max_open: usize) {
        self.max_open = max_open;
    }

    /// Bytes that the open requests use.
    pub fn memory_used(&self) -> usize {
        self.memory_used
    }

    /// Checks whether a call can be inserted.
    pub fn capacity_for(&self, call: &Call) -> Capacity {
        // Backends and clients cannot distinguish two requests with the same id, so the later one is rejected.
        let mut hasher = self.hasher;
        hasher.write(call.id());
        let id_hash = hasher.finish();
        if self.id_hashes.contains(&id_hash) {
            return Capacity::DuplicateId;
        }
        let memory = self.memory_used + memory_of(call);
        if self.open.len() >= self.max_open || memory > self.max_memory {
            return Capacity::Full;
        }
        Capacity::Free(id_hash)
    }

    /// Inserts a call for which [`OpenRequests::capacity_for`] has found capacity, under the hash that it returned.
    pub fn insert(
        &mut self,
        id: RequestId,
        call: Call,
        id_hash: u64,
        origin: Origin,
        deadlines: Deadlines,
        max_attempts: usize,
    ) {
        self.memory_used += memory_of(&call);
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

    /// Number of requests in the table.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Returns a request that has not been removed yet.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// Like [`OpenRequests::get`], for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Returns a request that still owes its client an answer.
    pub fn incomplete(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id).filter(|o| !o.complete)
    }

    /// The requests that still owe an answer.
    pub fn incomplete_requests(&self) -> impl Iterator<Item = &OpenRequest> {
        self.open.values().filter(|o| !o.complete)
    }

    /// Number of requests that still owe an answer.
    pub fn incomplete_count(&self) -> usize {
        self.incomplete_requests().count()
    }

    /// Whether any request still owes an answer.
    pub fn any_incomplete(&self) -> bool {
        self.open.values().any(|o| !o.complete)
    }

    /// Ids of all requests in the table, in the order of their arrival.
    pub fn ids_by_arrival(&self) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.open.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Removes a request if it is complete and has no attempt in flight.
    pub fn forget(&mut self, id: RequestId, now: Micros) {
        let finished = |o: &OpenRequest| o.complete && !o.has_attempt_in_flight();
        if !self.open.get(&id).is_some_and(finished) {
            return;
        }
        if let Some(request) = self.open.remove(&id) {
            self.memory_used -= memory_of(&request.call);
            if request.attempts.is_empty() {
                // It never ran, so its id may come again.
                self.id_hashes.remove(&request.id_hash);
            } else {
                self.ended.push_back((now + ID_RETENTION, request.id_hash));
            }
        }
    }

    /// Removes the id hashes of requests that ended more than [`ID_RETENTION`] ago.
    pub fn sweep(&mut self, now: Micros) {
        while self.ended.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, id_hash)) = self.ended.pop_front() {
                self.id_hashes.remove(&id_hash);
            }
        }
    }
}
