//! Memory that the connections to backends hold for answers, and the answers that are left unread while memory is short.

use super::activity::Activity;
use super::connection::Connection;
use super::{Backends, READ_BUFFER_BYTES};
use wrenfork_decision::{Micros, RequestId};
use wrenfork_wire::resp;

/// Largest read, in bytes, of the beginning of an answer or of a streamed answer while memory is short.
const SHORT_READ_BYTES: usize = 4 * 1024;
/// Capacity in bytes that a connection keeps for its next answer while it is idle or memory is short.
pub(super) const MAX_IDLE_BUFFER: usize = 2 * 1024;

impl<S> Connection<S> {
    /// Bytes held for an answer. An answer that is buffered up to its end is not included: its memory was granted before.
    fn answer_memory(&self) -> usize {
        if self.has_answer_memory {
            return 0;
        }
        self.buf.capacity()
    }

    /// Largest number of bytes to read at once.
    pub(super) fn read_limit(&self, memory_short: bool) -> usize {
        let is_streamed = self.long_answer.is_some() && !self.has_answer_memory;
        if memory_short && (is_streamed || self.buf.is_empty()) {
            return SHORT_READ_BYTES;
        }
        READ_BUFFER_BYTES
    }
}

impl Backends {
    /// Sets whether clients hold much memory: answers are then read in smaller pieces.
    pub fn set_clients_short(&mut self, clients_short: bool) {
        self.clients_short = clients_short;
    }

    /// Whether there is memory for another answer of the longest length that is not streamed.
    pub fn fits_another_answer(&self) -> bool {
        self.answer_memory_used + resp::MAX_VALUE <= self.max_answer_memory
    }

    /// Whether answers are read in smaller pieces.
    pub(super) fn is_memory_short(&self) -> bool {
        self.clients_short || self.answer_memory_used > self.max_answer_memory / 2
    }

    /// Capacity in bytes that a connection keeps between two pieces of a streamed answer.
    pub(super) fn kept_stream_buffer(&self) -> usize {
        if self.is_memory_short() {
            MAX_IDLE_BUFFER
        } else {
            READ_BUFFER_BYTES
        }
    }

    /// Recomputes the memory that a connection holds for its answer, and adjusts the total.
    pub(super) fn recount(&mut self, key: usize) {
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        let memory = conn.answer_memory();
        self.answer_memory_used = self.answer_memory_used - conn.counted_memory + memory;
        conn.counted_memory = memory;
    }

    /// Removes a connection and subtracts the memory that it holds.
    pub(super) fn take_connection(&mut self, key: usize) -> Connection {
        let conn = self.connections.remove(key);
        self.answer_memory_used -= conn.counted_memory;
        conn
    }

    /// The request whose answer would begin to be read from a connection now; none if the answer has begun already, or the
    /// connection carries no attempt that waits for an answer.
    pub fn unread_answer(&self, key: usize) -> Option<RequestId> {
        let conn = self.connections.get(key)?;
        match conn.activity {
            Some(Activity::Attempt(id, _)) if conn.buf.is_empty() && conn.is_sent() => {
                conn.long_answer.is_none().then_some(id)
            }
            _ => None,
        }
    }

    /// Leaves what has arrived on a connection unread until memory is available.
    pub(super) fn defer_reading(&mut self, key: usize) {
        let handle = self.handle(key);
        if !self.deferred.contains(&handle) {
            self.deferred.push(handle);
        }
    }

    /// Whether any answer was left unread because memory is short.
    pub fn any_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Takes the keys of the connections whose answers were left unread, oldest first. Returns none if they were already taken at
    /// this time.
    pub fn take_deferred(&mut self, now: Micros) -> Vec<usize> {
        if self.deferred.is_empty() || self.deferred_checked_at == now {
            return Vec::new();
        }
        self.deferred_checked_at = now;
        let deferred = std::mem::take(&mut self.deferred);
        let open = deferred
            .iter()
            .filter(|handle| self.get(**handle).is_some());
        open.map(|handle| handle.key).collect()
    }

    /// Reads a connection that was left unread, or leaves it unread further unless `may_read`.
    pub fn resume_reading(&mut self, key: usize, now: Micros, may_read: bool) {
        if !self.connections.contains(key) {
            return;
        }
        if may_read {
            self.read(key, now, true);
        } else {
            self.defer_reading(key);
        }
    }
}
