//! Reading answers from backends.

use super::activity::Activity;
use super::connection::Connection;
use super::memory::MAX_IDLE_BUFFER;
use super::response::{interpret, Response};
use super::Backends;
use crate::stream::is_not_ready;
use std::io::{ErrorKind, Read};
use wrenfork_decision::{Micros, Outcome};
use wrenfork_happy_eyeballs::AddressOutcome;
use wrenfork_wire::long::LongAnswer;
use wrenfork_wire::resp;

/// Maximum number of reads from one connection in a turn; enough for the longest answer that is not streamed.
const READS_PER_TURN: usize = 8;
/// Number of idle connections kept to a backend that often sends unsolicited bytes, to detect whether it still does.
const MAX_IDLE_IF_UNSOLICITED: usize = 2;

/// A readiness event of a connection, and what may be done about it.
#[derive(Clone, Copy, Debug)]
pub struct BackendReadiness {
    /// The connection can be written to.
    pub writable: bool,
    /// The backend has closed its side.
    pub closed: bool,
    /// What has arrived may be read.
    pub may_read: bool,
}

/// Whether a connection is kept after an answer was parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// The connection is idle in its pool, or still in use.
    Keep,
    /// The connection must be closed.
    Close,
}

/// State of a connection after its answer was parsed; decides whether the connection may be reused.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerState {
    /// No bytes followed the answer.
    pub(super) no_trailing_bytes: bool,
    /// The answer was valid, and the command was written completely before it.
    pub(super) is_valid: bool,
}

impl Backends {
    /// Handles a readiness event; `closed` is set if the backend has closed its side. `now` is the current time, not the time of
    /// the turn, because an idle connection's rest time is shorter than a tick. Unless `may_read`, what has arrived is left unread.
    pub fn ready(&mut self, key: usize, now: Micros, readiness: BackendReadiness) {
        let BackendReadiness {
            writable,
            closed,
            may_read,
        } = readiness;
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        if writable && !conn.established && conn.stream.is_connected() {
            if let Some(Activity::RaceCandidate(primary)) = conn.activity {
                conn.established = true;
                return self.races.push(primary);
            }
            self.mark_established(key);
            self.write_established(key, now);
        } else if writable && conn.has_unsent_command() {
            self.write(key, now);
        }
        // The connection may have become established after `is_connected` was checked, in which case the write has succeeded.
        let has_unfinished_race = |conn: &Connection| conn.established && conn.race.is_some();
        if self.connections.get(key).is_some_and(has_unfinished_race) {
            self.mark_established(key);
        }
        if !self.connections.contains(key) {
            return;
        }
        if may_read {
            self.read(key, now, closed);
        } else {
            self.defer_reading(key);
        }
    }

    /// Reads from the connections in `read_queue`: those that resume a streamed answer.
    pub fn continue_reading(&mut self, now: Micros) {
        for handle in std::mem::take(&mut self.read_queue) {
            if self.get(handle).is_some() {
                self.read(handle.key, now, true);
            }
        }
    }

    /// Reads from a connection. With `until_would_block`, reads until the socket would block, since no further readiness event
    /// will come for the data it already holds.
    pub(super) fn read(&mut self, key: usize, now: Micros, until_would_block: bool) {
        self.read_bounded(key, now, until_would_block);
        self.recount(key);
    }

    fn read_bounded(&mut self, key: usize, now: Micros, until_would_block: bool) {
        for _ in 0..READS_PER_TURN {
            let memory_short = self.is_memory_short();
            let conn = &mut self.connections[key];
            if conn.paused {
                return;
            }
            let limit = conn.read_limit(memory_short);
            let bytes = match conn.stream.read(&mut self.read_buffer[..limit]) {
                Ok(bytes) if bytes > 0 => bytes,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if is_not_ready(&error) => return,
                Ok(_) | Err(_) => return self.read_ended(key, now),
            };
            conn.answer_since = now;
            conn.buf.extend_from_slice(&self.read_buffer[..bytes]);
            if conn.long_answer.is_some() {
                conn.paused = true;
                return self.streams.push(self.handle(key));
            }
            if self.take_answer(key, now) == Reuse::Close {
                return self.remove(key);
            }
            // A short read has emptied the socket; new data triggers another readiness event.
            if bytes < limit && !until_would_block {
                return;
            }
        }
        // The backend has sent more than the longest answer that is not streamed.
        self.break_connection(key, now);
    }

    /// Handles end of stream or a read error.
    fn read_ended(&mut self, key: usize, now: Micros) {
        if !self.continue_race_after_failure(key, now) {
            self.break_connection(key, now);
        }
    }

    /// Parses an answer once it is complete, and ends the attempt or health check with it. For a long answer, starts streaming
    /// instead.
    fn take_answer(&mut self, key: usize, now: Micros) -> Reuse {
        let conn = &mut self.connections[key];
        let Some(activity) = conn.activity else {
            // The connection is idle, so these bytes are unsolicited.
            if let Some(pool) = self.pools.get_mut(&conn.backend) {
                pool.unsolicited.record_bytes();
            }
            return Reuse::Close;
        };
        let (reply, end) = match resp::reply(&conn.buf) {
            Ok(None) => return Reuse::Keep,
            Ok(Some(parsed)) => parsed,
            Err(_) if begin_long_answer(conn, activity) => {
                self.streams.push(self.handle(key));
                return Reuse::Keep;
            }
            Err(_) => {
                let outcome = conn.outcome_if_broken();
                self.end_without_answer(key, outcome, now);
                return Reuse::Close;
            }
        };
        // Before the command is written completely, the only valid answer is a rejection.
        let response = interpret(&conn.buf, &reply, activity)
            .filter(|response| conn.is_sent() || response.outcome == Outcome::Rejected);
        let no_trailing_bytes = end == conn.buf.len();
        let state = AnswerState {
            no_trailing_bytes,
            is_valid: response.is_some() && conn.is_sent() && no_trailing_bytes,
        };
        let response = response.unwrap_or_else(|| Response {
            outcome: conn.outcome_if_broken(),
            value: Vec::new(),
            report: None,
        });
        self.end_activity(key, response, now);
        self.reuse(key, now, state)
    }

    /// Returns a connection to its pool after an answer, if the connection may be reused.
    pub(super) fn reuse(&mut self, key: usize, now: Micros, state: AnswerState) -> Reuse {
        let conn = &mut self.connections[key];
        let pool = self.pools.get_mut(&conn.backend);
        let Some(pool) = pool.filter(|pool| pool.addresses.contains(&conn.address)) else {
            return Reuse::Close;
        };
        if pool.addresses.only().is_none() {
            pool.addresses
                .record(&conn.address, AddressOutcome::Responded, now);
        }
        pool.unsolicited.record_answer();
        if !state.no_trailing_bytes {
            pool.unsolicited.record_bytes();
        }
        let has_enough_idle =
            pool.unsolicited.is_frequent() && pool.idle.len() >= MAX_IDLE_IF_UNSOLICITED;
        if !state.is_valid || has_enough_idle {
            return Reuse::Close;
        }
        conn.activity = None;
        conn.since = now;
        conn.buf.clear();
        conn.buf.shrink_to(MAX_IDLE_BUFFER);
        conn.command.clear();
        pool.idle.push(key);
        Reuse::Keep
    }
}

/// Starts streaming an answer whose value is too long to buffer. Returns false if it is not such an answer.
fn begin_long_answer(conn: &mut Connection, activity: Activity) -> bool {
    if !activity.is_attempt() || !conn.is_sent() {
        return false;
    }
    let Some(begun) = LongAnswer::start(&conn.buf) else {
        return false;
    };
    conn.buf.drain(..begun.head);
    conn.long_answer = Some(begun.answer);
    conn.has_answer_memory = false;
    conn.paused = true;
    true
}
