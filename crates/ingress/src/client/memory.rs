//! Memory limits across all client connections. Limits per connection don't bound the total, so beyond the total limit the
//! connections that hold the most memory are closed. A long body is read only once the memory for it has been granted.

use super::commands::BUSY;
use super::connection::{ClientConnection, Origin, MAX_UNREAD};
use super::eviction::ConnectionId;
use super::lost_answers::CloseReason;
use super::{ClientEvent, Clients};
use crate::request_metrics::RequestEnd;
use crate::requests::MAX_WAIT;
use wrenfork_decision::Micros;
use wrenfork_wire::{call, resp};

/// Memory that buffering the longest answer takes, in bytes: its value and what is read beyond it.
const LONGEST_ANSWER_BYTES: usize = resp::MAX_LONG_VALUE + 64 * 1024;
/// Share of the memory limit of all connections up to which long answers are buffered, as a fraction of [`BUFFERED_DIVISOR`].
const BUFFERED_SHARE: usize = 3;
/// Denominator of [`BUFFERED_SHARE`].
const BUFFERED_DIVISOR: usize = 4;

/// A body is rejected once it has waited for memory for three quarters of the time that its client waits: the rest of that time is
/// for serving it.
const GRANT_WAIT_SHARE: Micros = 3;
/// Denominator of [`GRANT_WAIT_SHARE`].
const GRANT_WAIT_DIVISOR: Micros = 4;
/// Index of the options among the arguments of a request.
const OPTIONS_INDEX: usize = 3;
/// Assumed wait of a client, in microseconds, if the options of its command are not valid.
const UNKNOWN_WAIT: Micros = 2_000_000;

impl Clients {
    /// Bytes available for buffering long answers up to their end, for the answer to this request. Unless it is the next one that its
    /// client receives, room is left for an answer that is: the answers behind that one are held until it is complete.
    pub fn spare_memory(&self, origin: Origin) -> usize {
        let reserved = if self.is_next_answer(origin) {
            0
        } else {
            LONGEST_ANSWER_BYTES
        };
        let limit = self.max_memory / BUFFERED_DIVISOR * BUFFERED_SHARE;
        limit.saturating_sub(self.memory_used + reserved)
    }

    /// Whether clients hold more than half of the memory for their partial commands and unsent answers.
    pub fn is_memory_short(&self) -> bool {
        self.memory_used > self.max_memory / 2
    }

    /// Whether another answer to the client of this request would only wait for the client to read, or for an earlier answer.
    pub fn is_congested(&self, origin: Origin) -> bool {
        let Some((conn, position)) = self.position_of(origin) else {
            return false;
        };
        let unsent = conn.out.len() - conn.written;
        let held = if position == 0 {
            unsent
        } else {
            unsent + conn.ready_bytes
        };
        held >= MAX_UNREAD
    }

    /// Recounts the memory of a connection. While the total is over the limit, frees the longest input buffer; if all are empty, closes
    /// the connection that holds the most memory, without the answers that are not written yet.
    pub(super) fn enforce_memory(&mut self, key: usize, now: Micros) {
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        conn.recount(&mut self.memory_used);
        while self.memory_used > self.max_memory {
            let order = |conn: &ClientConnection| (conn.ungranted_input(), conn.counted_memory);
            let connections = self.connections.iter_mut();
            let Some((key, conn)) = connections.max_by_key(|(_, conn)| order(conn)) else {
                return;
            };
            if conn.buf.is_empty() {
                self.finish_without_output(key, CloseReason::Memory);
                continue;
            }
            self.free_input(key, now);
        }
    }

    /// Frees the input buffer of a connection: rejects the requests in it. If it holds only a partial command, closes the connection
    /// after an error.
    fn free_input(&mut self, key: usize, now: Micros) {
        let length = self.connections[key].buf.len();
        self.reject_buffered_commands(key, now);
        let conn = &mut self.connections[key];
        if conn.buf.len() == length {
            conn.abort_command("no memory for the rest of a command");
        } else {
            conn.buf.shrink_to_fit();
        }
        conn.recount(&mut self.memory_used);
        self.write_later(key);
    }

    /// Queues a connection for a memory grant if a long body is arriving on it. Returns false if reading from the connection must
    /// stop until the grant.
    pub(super) fn request_grant(&mut self, key: usize, now: Micros) -> bool {
        let conn = &mut self.connections[key];
        if conn.granted > 0 || conn.buf.is_empty() || conn.closing {
            return true;
        }
        let Some(length) = resp::long_command(&conn.buf, &mut self.arguments) else {
            return true;
        };
        if length > self.max_memory {
            conn.abort_command("the body is longer than there is memory for");
            self.write_later(key);
            return true;
        }
        if !std::mem::replace(&mut conn.waits_for_grant, true) {
            let wait = call::announced_wait(&conn.buf, &self.arguments).unwrap_or(UNKNOWN_WAIT);
            conn.unsaved.body_sent_at = Some(now);
            let longest_wait = wait.min(MAX_WAIT) / GRANT_WAIT_DIVISOR * GRANT_WAIT_SHARE;
            conn.unsaved.grant_deadline = Some(now + longest_wait);
            let serial = conn.serial;
            self.grant_queue.push_back(ConnectionId { key, serial });
        }
        false
    }

    /// Grants memory to waiting long bodies, in the order in which they came, as long as the grants and `requests_memory`, the bytes
    /// held by open requests, stay within the limit. A body that doesn't fit doesn't hold up shorter ones behind it, and is rejected
    /// at its grant deadline.
    pub fn grant_memory(&mut self, requests_memory: usize, now: Micros) {
        if self.grant_queue.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.grant_queue) {
            let ConnectionId { key, serial } = id;
            let conn = self.connections.get(key);
            let conn = conn.filter(|conn| conn.serial == serial && conn.waits_for_grant);
            let Some(conn) = conn else {
                continue;
            };
            let is_late = conn
                .unsaved
                .grant_deadline
                .is_some_and(|deadline| now >= deadline);
            let Some(length) = resp::long_command(&conn.buf, &mut self.arguments) else {
                continue;
            };
            if self.rejecting || is_late {
                self.reject_body(key, length);
            } else if requests_memory + self.granted + length <= self.max_memory {
                self.grant(key, length, now);
            } else {
                self.grant_queue.push_back(id);
            }
        }
    }

    /// Grants memory to the long body of a connection, whose command has `length` bytes.
    fn grant(&mut self, key: usize, length: usize, now: Micros) {
        let conn = &mut self.connections[key];
        self.granted += length;
        conn.granted = length;
        conn.granted_at = now;
        conn.command_since = now.max(conn.command_since);
        conn.waits_for_grant = false;
        conn.stalled = false;
        conn.buf
            .reserve_exact(length.saturating_sub(conn.buf.len()));
        conn.recount(&mut self.memory_used);
        self.read_later(key);
    }

    /// Rejects a request whose body waits for memory, and discards the rest of the body as it arrives.
    fn reject_body(&mut self, key: usize, length: usize) {
        self.bodies_rejected += 1;
        let class = self.arguments.get(OPTIONS_INDEX).and_then(|options| {
            let options = self.connections[key].buf.get(options.clone())?;
            self.vocabulary.announced_class(options)
        });
        if let Some(class) = class {
            let end = ClientEvent::EndedEarly(class, RequestEnd::Rejected);
            self.events.push_back(end);
        }
        let conn = &mut self.connections[key];
        conn.unsaved.rejected_bytes = length.saturating_sub(conn.buf.len());
        conn.discard_input();
        conn.unsaved.body_sent_at = None;
        conn.stalled = false;
        conn.queue_answer(BUSY);
        conn.recount(&mut self.memory_used);
        self.write_later(key);
        self.read_later(key);
    }

    /// When the next waiting body is rejected unless it gets its memory; [`Micros::MAX`] if none waits.
    pub fn next_grant_deadline(&self) -> Micros {
        let waiting = self.grant_queue.iter();
        let connections = waiting.filter_map(|id| self.connections.get(id.key));
        let deadlines = connections.filter_map(|conn| conn.unsaved.grant_deadline);
        deadlines.min().unwrap_or(Micros::MAX)
    }
}
