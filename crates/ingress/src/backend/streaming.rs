//! Answers that are too long to buffer completely: they are forwarded to the client as they arrive.

use super::activity::{Activity, ConnectionHandle};
use super::reading::{AnswerState, Reuse};
use super::response::{parse_report, Response};
use super::{Backends, READ_BUFFER_BYTES};
use wrenfork_decision::{Micros, Outcome};
use wrenfork_wire::long::AnswerEnd;

/// Minimum time between two log lines about answers that wait for memory, in microseconds.
const MEMORY_WARNING_INTERVAL: Micros = 10_000_000;

/// An attempt whose answer is being streamed.
#[derive(Clone, Copy, Debug)]
pub struct StreamedAttempt {
    /// The attempt that the answer belongs to.
    pub activity: Activity,
    /// When the attempt began.
    pub started_at: Micros,
}

/// Progress of buffering an answer up to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerBuffering {
    /// The rest of the answer is read, or the connection has ended.
    Continues,
    /// The answer has arrived completely and is valid.
    Complete,
    /// There is no memory for the rest of the answer, which stays unread.
    NoMemory,
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
    /// bytes. Memory is granted once for the whole answer.
    pub fn buffer_answer(
        &mut self,
        handle: ConnectionHandle,
        memory: usize,
        now: Micros,
    ) -> AnswerBuffering {
        let used = self.answer_memory();
        let conn = self.connections.get_mut(handle.key);
        let Some(conn) = conn.filter(|conn| conn.serial == handle.serial) else {
            return AnswerBuffering::Continues;
        };
        let Some(long_answer) = &conn.long_answer else {
            return AnswerBuffering::Continues;
        };
        let left = long_answer.left();
        match long_answer.is_complete(&conn.buf) {
            Ok(true) => return AnswerBuffering::Complete,
            Ok(false) if !conn.has_answer_memory && used + left > memory => {
                return AnswerBuffering::NoMemory;
            }
            Ok(false) => {
                let wanted = left + READ_BUFFER_BYTES;
                conn.buf
                    .reserve_exact(wanted.saturating_sub(conn.buf.len()));
                conn.has_answer_memory = true;
                conn.paused = false;
                conn.answer_since = now;
                self.read_queue.push(handle);
            }
            Err(_) => self.break_connection(handle.key, now),
        }
        self.recount(handle.key);
        AnswerBuffering::Continues
    }

    /// Bytes granted to answers that are buffered up to their end.
    fn answer_memory(&self) -> usize {
        let connections = self.connections.iter().map(|(_, conn)| conn);
        let granted =
            connections.filter(|conn| conn.long_answer.is_some() && conn.has_answer_memory);
        granted.map(|conn| conn.buf.capacity()).sum()
    }

    /// Leaves an answer unread until there may be memory to buffer it.
    pub fn wait_for_memory(&mut self, handle: ConnectionHandle, now: Micros) {
        self.waiting_for_memory.push(handle);
        if now >= self.next_memory_warning {
            self.next_memory_warning = now + MEMORY_WARNING_INTERVAL;
            tracing::warn!(
                waiting = self.waiting_for_memory.len(),
                "long answers wait for memory, since other answers are due behind them"
            );
        }
    }

    /// Whether any answer waits for memory.
    pub fn any_waiting_for_memory(&self) -> bool {
        !self.waiting_for_memory.is_empty()
    }

    /// Takes the connections whose answers wait for memory, oldest first. Returns none if they were already taken at this time.
    pub fn take_waiting_for_memory(&mut self, now: Micros) -> Vec<ConnectionHandle> {
        if self.memory_checked_at == now {
            return Vec::new();
        }
        self.memory_checked_at = now;
        std::mem::take(&mut self.waiting_for_memory)
    }

    /// Appends the buffered part of the answer to `out`. Reading from the connection resumes in the next turn.
    pub fn forward(&mut self, handle: ConnectionHandle, out: &mut Vec<u8>, now: Micros) {
        if self.get(handle).is_none() {
            return;
        }
        let kept_buffer = self.kept_stream_buffer();
        let conn = &mut self.connections[handle.key];
        let Some(long_answer) = &mut conn.long_answer else {
            return;
        };
        // Without this, the last two bytes of a long answer would double the capacity of the output buffer.
        out.reserve_exact(conn.buf.len());
        let progress = long_answer.feed(&conn.buf, out);
        conn.buf.clear();
        match progress {
            Ok(None) => {
                conn.buf.shrink_to(kept_buffer);
                conn.paused = false;
                conn.answer_since = now;
                self.read_queue.push(handle);
            }
            Ok(Some(end)) => self.end_stream(handle.key, &end, now),
            Err(_) => self.break_connection(handle.key, now),
        }
        self.recount(handle.key);
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
