//! Reading from connections, within bounds for each turn.

use super::{Clients, CHUNK};
use std::io::{ErrorKind, Read};
use wrenfork_decision::Micros;

/// Reads from one connection in a turn: a fast client must not hold up the others.
const READS_PER_TURN: usize = 4;
/// How long a connection that still sends may take, from its last answer on, to read that.
const MAX_LINGER: Micros = 5_000_000;
/// How long a connection that was told why it is closed may take to read that.
pub(super) const LINGER: Micros = 1_000_000;

/// What one read came to.
enum ReadStep {
    /// There may be more.
    Again,
    /// All that there is has been read, and is to be parsed.
    Drained,
    /// All that there is has been read and dropped: the connection is closing.
    Dropped,
    /// The connection was removed.
    Removed,
}

impl Clients {
    /// A connection has ended at its other side: its client has gone, whatever it sent before that and was not read. Reported by
    /// the poll, that is known also of one that is not read on at the moment.
    pub fn peer_closed(&mut self, key: usize) {
        if self.connections.contains(key) {
            self.remove(key);
        }
    }

    /// Does what a connection is ready for.
    pub fn ready(&mut self, key: usize, now: Micros, writable: bool) {
        let Some(c) = self.connections.get(key) else {
            return;
        };
        if writable && !c.out.is_empty() {
            self.write_later(key);
        }
        self.read(key, now, false);
    }

    /// Reads on where a turn's bound ended the reading.
    pub fn continue_reading(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.read_queue) {
            if let Some(c) = self.connections.get_mut(key) {
                c.in_read_queue = false;
                self.read(key, now, true);
            }
        }
    }

    /// Reads from a connection; with `to_the_end` all that it has, since no readiness will be reported for it.
    pub(super) fn read(&mut self, key: usize, now: Micros, to_the_end: bool) {
        if self.connections.get(key).is_some_and(|c| !c.ignored) {
            self.read_bounded(key, now, to_the_end);
            self.enforce_memory(key);
            self.update_idle_state(key);
        }
    }

    fn read_bounded(&mut self, key: usize, now: Micros, to_the_end: bool) {
        for step in 0..READS_PER_TURN {
            // Of one whose end is near all is read first: what it asked for before it left wants no answer, and must
            // not run for nobody. An ingress that stood still finds many such.
            let parse_first = !to_the_end || (step == 0 && self.connections[key].stalled);
            if parse_first && !self.take_commands(key, now) {
                self.connections[key].stalled = true;
                return;
            }
            match self.read_once(key, now, to_the_end) {
                ReadStep::Again => {}
                ReadStep::Dropped | ReadStep::Removed => return,
                ReadStep::Drained => {
                    self.connections[key].stalled = !self.take_commands(key, now);
                    return;
                }
            }
        }
        self.connections[key].stalled = !self.take_commands(key, now);
        if !self.connections[key].stalled {
            self.read_later(key);
        }
    }

    fn read_once(&mut self, key: usize, now: Micros, to_the_end: bool) -> ReadStep {
        let c = &mut self.connections[key];
        let bytes = match c.stream.read(&mut self.chunk) {
            Ok(0) => {
                self.remove(key);
                return ReadStep::Removed;
            }
            Ok(bytes) => bytes,
            Err(e) if e.kind() == ErrorKind::Interrupted => return ReadStep::Again,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadStep::Drained,
            Err(_) => {
                self.remove(key);
                return ReadStep::Removed;
            }
        };
        // Less than there was room for: that was all, and more will be reported.
        let drained = bytes < CHUNK && !to_the_end;
        if c.closing {
            // Read, or the kernel would reset the connection under the answers; but not parsed.
            if let (true, Some(until)) = (c.half_closed, &mut c.linger_until) {
                *until = (now + LINGER).min(c.since + MAX_LINGER).max(*until);
            }
            return if drained {
                ReadStep::Dropped
            } else {
                ReadStep::Again
            };
        }
        // A partial command is timed from its first byte, however long its connection has rested; a long body may take its
        // time as long as it comes.
        if c.buf.is_empty() || c.granted > 0 {
            c.command_since = now.max(c.command_since);
        }
        c.buf.extend_from_slice(&self.chunk[..bytes]);
        if drained {
            ReadStep::Drained
        } else {
            ReadStep::Again
        }
    }
}
