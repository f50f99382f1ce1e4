//! Answers that are too long to buffer completely: they are forwarded to the client as they arrive.

use super::activity::{Activity, ConnectionHandle};
use super::reading::{AnswerState, Reuse};
use super::response::{parse_report, Response};
use super::{Backends, READ_BUFFER_BYTES};
use wrenfork_decision::{Micros, Outcome};
use wrenfork_wire::long::AnswerEnd;

/// An attempt whose answer is being streamed.
#[derive(Clone, Copy, Debug)]
pub struct StreamedAttempt {
    /// The attempt that the answer belongs to.
    pub activity: Activity,
    /// When the attempt began.
    pub started_at: Micros,
}

impl Backends {
    /// Takes a connection with data of a streamed answer that is ready to be forwarded.
    pub fn next_stream(&mut self) -> Option<ConnectionHandle> {
        self.streams.pop()
    }

    /// The attempt on a connection, if its answer is being streamed.
    pub fn streamed_attempt(&self, handle: ConnectionHandle) -> Option<StreamedAttempt> {
        let conn = self.get(handle).filter(|conn| conn.long_answer.is_some())?;
        Some(StreamedAttempt {
            activity: conn.activity?,
            started_at: conn.since,
        })
    }

    /// Whether reading from a connection is paused until the client has room for more of the answer.
    pub fn is_paused(&self, handle: ConnectionHandle) -> bool {
        self.get(handle).is_some_and(|conn| conn.paused)
    }

    /// Whether the rest of a streamed answer has arrived completely and is valid.
    pub fn has_complete_answer(&self, handle: ConnectionHandle) -> bool {
        let Some(conn) = self.get(handle) else {
            return false;
        };
        let long_answer = conn.long_answer.as_ref();
        long_answer.is_some_and(|answer| answer.is_complete(&conn.buf) == Ok(true))
    }

    /// Buffers an answer up to its end instead of forwarding it, provided that all buffered answers together stay within `memory`
    /// bytes. Returns false if the answer must be forwarded now because it is complete or does not fit.
    pub fn hold_back(&mut self, handle: ConnectionHandle, memory: usize, now: Micros) -> bool {
        let others = self.connections.iter();
        let others = others.filter(|(key, conn)| *key != handle.key && conn.long_answer.is_some());
        let held: usize = others.map(|(_, conn)| conn.buf.capacity()).sum();
        let Some(conn) = self.connections.get_mut(handle.key) else {
            return true;
        };
        let Some(long_answer) = conn
            .long_answer
            .as_ref()
            .filter(|_| conn.serial == handle.serial)
        else {
            return true;
        };
        match long_answer.is_complete(&conn.buf) {
            Ok(true) => return false,
            Ok(false) if held + long_answer.left() > memory => return false,
            Ok(false) => {
                let wanted = long_answer.left() + READ_BUFFER_BYTES;
                conn.buf
                    .reserve_exact(wanted.saturating_sub(conn.buf.len()));
                conn.paused = false;
                conn.answer_since = now;
                self.read_queue.push(handle);
            }
            Err(_) => self.break_connection(handle.key, now),
        }
        true
    }

    /// Appends the buffered part of the answer to `out`. Reading from the connection resumes in the next turn.
    pub fn forward(&mut self, handle: ConnectionHandle, out: &mut Vec<u8>, now: Micros) {
        if self.get(handle).is_none() {
            return;
        }
        let conn = &mut self.connections[handle.key];
        let Some(long_answer) = &mut conn.long_answer else {
            return;
        };
        let progress = long_answer.feed(&conn.buf, out);
        conn.buf.clear();
        match progress {
            Ok(None) => {
                conn.paused = false;
                conn.answer_since = now;
                self.read_queue.push(handle);
            }
            Ok(Some(end)) => self.end_stream(handle.key, &end, now),
            Err(_) => self.break_connection(handle.key, now),
        }
    }

    /// Ends an attempt whose streamed answer is complete.
    fn end_stream(&mut self, key: usize, end: &AnswerEnd, now: Micros) {
        let conn = &mut self.connections[key];
        conn.long_answer = None;
        conn.paused = false;
        let response = Response {
            outcome: Outcome::Ok,
            value: Vec::new(),
            report: end.report.as_deref().and_then(parse_report),
        };
        self.end_activity(key, response, now);
        let state = AnswerState {
            no_trailing_bytes: end.no_trailing_bytes,
            is_valid: true,
        };
        if self.reuse(key, now, state) == Reuse::Close {
            self.remove(key);
        }
    }
}
