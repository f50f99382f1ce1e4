//! Reading from client connections, bounded per turn of the event loop.

use super::{Clients, READ_BUFFER_BYTES};
use std::io::{ErrorKind, Read};
use wrenfork_decision::Micros;

/// Maximum number of reads from one connection in a turn, so that a fast client can't delay the others.
const READS_PER_TURN: usize = 4;
/// Upper bound on how long a half-closed connection whose client keeps sending stays open, counted from its last answer.
const MAX_LINGER_TIMEOUT: Micros = 5_000_000;
/// How long a half-closed connection stays open for the client to read its last answer; extended whenever the client sends data.
pub(super) const LINGER_TIMEOUT: Micros = 1_000_000;

/// Result of one read from a connection.
enum ReadStep {
    /// This many bytes were read into the shared buffer.
    Received(usize),
    /// The read was interrupted by a signal.
    Interrupted,
    /// No data is available.
    WouldBlock,
    /// The connection has ended and was removed.
    Removed,
}

impl Clients {
    /// Handles the poll's report that the client has closed its side: removes the connection, discarding unread input. The report
    /// also arrives for connections that are currently not being read.
    pub fn peer_closed(&mut self, key: usize) {
        if self.connections.contains(key) {
            self.remove(key);
        }
    }

    /// Handles a readiness event: queues pending output if the connection is writable, and reads from it.
    pub fn ready(&mut self, key: usize, now: Micros, writable: bool) {
        let Some(conn) = self.connections.get(key) else {
            return;
        };
        if writable && !conn.out.is_empty() {
            self.write_later(key);
        }
        self.read(key, now, false);
    }

    /// Takes the connections whose reading was cut short by the limit per turn, for
    /// [`continue_reading`](Self::continue_reading).
    pub fn take_read_queue(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.read_queue)
    }

    /// Continues reading from a connection of [`take_read_queue`](Self::take_read_queue).
    pub fn continue_reading(&mut self, key: usize, now: Micros) {
        if let Some(conn) = self.connections.get_mut(key) {
            conn.in_read_queue = false;
            self.read(key, now, true);
        }
    }

    /// Reads from a connection and parses what has come, unless its input has ended. With `until_would_block`, reads until the
    /// socket would block, since no further readiness event will come for the data it already holds.
    pub(super) fn read(&mut self, key: usize, now: Micros, until_would_block: bool) {
        let Some(conn) = self.connections.get(key) else {
            return;
        };
        if !conn.half_closed {
            self.read_commands(key, now, until_would_block);
        } else if conn.unsaved.framing_lost {
            self.discard_input(key, now);
        }
        self.enforce_memory(key, now);
        self.update_idle_state(key);
    }

    fn read_commands(&mut self, key: usize, now: Micros, until_would_block: bool) {
        for step in 0..READS_PER_TURN {
            if self.must_wait_for_memory(key) {
                self.connections[key].stalled = true;
                return;
            }
            let conn = &self.connections[key];
            // With `until_would_block` the client may have disconnected already, which a read reveals. Requests are parsed only
            // after that, so that none is started for a client that is gone. An ingress that was stopped for a while finds many
            // such connections. What an earlier turn has left in the buffer is parsed first, so that the buffer doesn't grow.
            let must_not_read = conn.closing || conn.stalled || conn.must_pause_reading();
            let has_more = !conn.buf.is_empty() || must_not_read;
            let parse_first = !until_would_block || (step == 0 && has_more);
            if parse_first && !self.parse_commands(key, now) {
                self.connections[key].stalled = true;
                return;
            }
            if self.connections[key].closing {
                self.connections[key].stalled = false;
                return;
            }
            match self.read_once(key) {
                ReadStep::Received(bytes) => {
                    self.take_input(key, bytes, now);
                    // A short read has emptied the socket; new data triggers another readiness event.
                    if bytes < READ_BUFFER_BYTES && !until_would_block {
                        return self.parse_drained(key, now);
                    }
                }
                ReadStep::Interrupted => {}
                ReadStep::WouldBlock => return self.parse_drained(key, now),
                ReadStep::Removed => return,
            }
        }
        self.connections[key].stalled = !self.parse_commands(key, now);
        if !self.connections[key].stalled {
            self.read_later(key);
        }
    }

    /// Whether memory is too short to read more from a connection that has answers due. Reading continues when one is written.
    fn must_wait_for_memory(&self, key: usize) -> bool {
        let conn = &self.connections[key];
        let may_wait = !conn.answers.is_empty() && conn.granted == 0;
        may_wait && self.is_memory_short()
    }

    /// Parses the input of a connection whose socket holds no more of it.
    fn parse_drained(&mut self, key: usize, now: Micros) {
        self.connections[key].stalled = !self.parse_commands(key, now);
        let conn = &mut self.connections[key];
        if conn.granted > 0 {
            conn.unsaved.body_sent_at = None; // the rest of the body has not arrived yet
        }
    }

    fn read_once(&mut self, key: usize) -> ReadStep {
        let conn = &mut self.connections[key];
        match conn.stream.read(&mut self.read_buffer) {
            Ok(bytes) if bytes > 0 => return ReadStep::Received(bytes),
            Err(error) if error.kind() == ErrorKind::Interrupted => return ReadStep::Interrupted,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadStep::WouldBlock,
            Ok(_) | Err(_) => self.remove(key),
        }
        ReadStep::Removed
    }

    /// Appends the first `bytes` of the shared buffer to the input of a connection.
    fn take_input(&mut self, key: usize, bytes: usize, now: Micros) {
        let conn = &mut self.connections[key];
        // The timeout of a partial command starts at its first byte, not when the connection became idle. For a long body, each
        // read restarts the timeout.
        if conn.buf.is_empty() || conn.granted > 0 || conn.unsaved.rejected_bytes > 0 {
            conn.command_since = now.max(conn.command_since);
        }
        let discarded = bytes.min(conn.unsaved.rejected_bytes);
        conn.unsaved.rejected_bytes -= discarded;
        conn.buf
            .extend_from_slice(&self.read_buffer[discarded..bytes]);
    }

    /// Reads and discards input of a half-closed connection, and gives the client more time to read its last answer. If the input
    /// were left unread, a client that is still sending could not get there before the connection is closed.
    fn discard_input(&mut self, key: usize, now: Micros) {
        for _ in 0..READS_PER_TURN {
            match self.read_once(key) {
                ReadStep::Received(_) => {}
                ReadStep::Interrupted => continue,
                ReadStep::WouldBlock | ReadStep::Removed => return,
            }
            let conn = &mut self.connections[key];
            let longest = conn.since + MAX_LINGER_TIMEOUT;
            if let Some(until) = &mut conn.linger_until {
                *until = (now + LINGER_TIMEOUT).min(longest).max(*until);
            }
        }
        self.read_later(key);
    }
}
