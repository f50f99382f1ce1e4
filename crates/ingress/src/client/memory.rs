//! Memory limits across all client connections. Limits per connection don't bound the total, so beyond the total limit the
//! connections that hold the most memory are closed. A long body is read only once the memory for it has been granted.

use super::connection::{ClientConnection, Origin, MAX_UNREAD};
use super::eviction::ConnectionId;
use super::lost_answers::CloseReason;
use super::Clients;
use wrenfork_decision::Micros;
use wrenfork_wire::resp;

/// Memory that buffering the longest answer takes, in bytes: its value and what is read beyond it.
const LONGEST_ANSWER_BYTES: usize = resp::MAX_LONG_VALUE + 64 * 1024;
/// Share of the memory limit of all connections up to which long answers are buffered, as a fraction of [`BUFFERED_DIVISOR`].
const BUFFERED_SHARE: usize = 3;
/// Denominator of [`BUFFERED_SHARE`].
const BUFFERED_DIVISOR: usize = 4;

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

    /// Recounts the memory of a connection. While the total is over the limit, closes the connection with the longest partial
    /// command after sending it an error; if there are no partial commands, closes the connection that holds the most memory,
    /// without the answers that are not written yet.
    pub(super) fn enforce_memory(&mut self, key: usize) {
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
            conn.abort_command("no memory for the rest of a command");
            conn.recount(&mut self.memory_used);
            self.write_later(key);
        }
    }

    /// Queues a connection for a memory grant if a long body is arriving on it. Returns false if reading from the connection must
    /// stop until the grant.
    pub(super) fn request_grant(&mut self, key: usize) -> bool {
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
            let serial = conn.serial;
            self.grant_queue.push_back(ConnectionId { key, serial });
        }
        false
    }

    /// Grants memory to waiting long bodies, first come first, as long as the grants and `requests_memory`, the bytes held by
    /// open requests, stay within the limit.
    pub fn grant_memory(&mut self, requests_memory: usize, now: Micros) {
        while let Some(ConnectionId { key, serial }) = self.grant_queue.front().copied() {
            let conn = self.connections.get_mut(key);
            let conn = conn.filter(|conn| conn.serial == serial && conn.waits_for_grant);
            let length = conn
                .as_ref()
                .and_then(|conn| resp::long_command(&conn.buf, &mut self.arguments));
            if let (Some(conn), Some(length)) = (conn, length) {
                if requests_memory + self.granted + length > self.max_memory {
                    return;
                }
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
            self.grant_queue.pop_front();
        }
    }
}
