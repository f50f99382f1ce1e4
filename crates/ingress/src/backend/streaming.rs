//! Answers that are too long to be held: they pass on to the client as they come.

use super::activity::{Activity, ConnectionHandle};
use super::reading::{AnswerState, Reuse};
use super::response::{parse_report, Response};
use super::{Backends, CHUNK};
use wrenfork_decision::{Micros, Outcome};
use wrenfork_wire::long::AnswerEnd;

/// A streamed answer.
#[derive(Clone, Copy, Debug)]
pub struct StreamedAttempt {
    /// What its connection is used for.
    pub activity: Activity,
    /// When that began.
    pub started_at: Micros,
}

impl Backends {
    /// A streamed answer of which more has come than was passed on.
    pub fn next_stream(&mut self) -> Option<ConnectionHandle> {
        self.streams.pop()
    }

    /// What a connection is used for, if its answer is streamed.
    pub fn streamed_attempt(&self, handle: ConnectionHandle) -> Option<StreamedAttempt> {
        let c = self.get(handle).filter(|c| c.long.is_some())?;
        Some(StreamedAttempt {
            activity: c.activity?,
            started_at: c.since,
        })
    }

    /// Whether an answer waits until its client has room.
    pub fn is_paused(&self, handle: ConnectionHandle) -> bool {
        self.get(handle).is_some_and(|c| c.paused)
    }

    /// Has an answer read to its end before any of it passes on, where that takes no more than `memory` bytes beside others that
    /// are; false if it is to pass on now: it has come to its end, or it takes more.
    pub fn hold_back(&mut self, handle: ConnectionHandle, memory: usize, now: Micros) -> bool {
        let others = self.connections.iter();
        let others = others.filter(|(key, c)| *key != handle.key && c.long.is_some());
        let held: usize = others.map(|(_, c)| c.buf.capacity()).sum();
        let Some(c) = self.connections.get_mut(handle.key) else {
            return true;
        };
        let Some(long) = c.long.as_ref().filter(|_| c.serial == handle.serial) else {
            return true;
        };
        match long.is_complete(&c.buf) {
            Ok(true) => return false,
            Ok(false) if held + long.left() > memory => return false,
            Ok(false) => {
                let wanted = long.left() + CHUNK;
                c.buf.reserve_exact(wanted.saturating_sub(c.buf.len()));
                c.paused = false;
                c.answer_since = now;
                self.read_queue.push(handle);
            }
            Err(_) => self.break_connection(handle.key, now),
        }
        true
    }

    /// Passes on to `out` what has come; the connection is read on from the next turn.
    pub fn pass_on(&mut self, handle: ConnectionHandle, out: &mut Vec<u8>, now: Micros) {
        if self.get(handle).is_none() {
            return;
        }
        let c = &mut self.connections[handle.key];
        let Some(long) = &mut c.long else { return };
        let fed = long.feed(&c.buf, out);
        c.buf.clear();
        match fed {
            Ok(None) => {
                c.paused = false;
                c.answer_since = now;
                self.read_queue.push(handle);
            }
            Ok(Some(end)) => self.end_stream(handle.key, &end, now),
            Err(_) => self.break_connection(handle.key, now),
        }
    }

    /// A streamed answer has come to its end.
    fn end_stream(&mut self, key: usize, end: &AnswerEnd, now: Micros) {
        let c = &mut self.connections[key];
        c.long = None;
        c.paused = false;
        let response = Response {
            outcome: Outcome::Ok,
            value: Vec::new(),
            report: end.report.as_deref().and_then(parse_report),
        };
        self.end_with(key, response, now);
        let state = AnswerState {
            nothing_behind: end.nothing_follows,
            sound: true,
        };
        if self.reuse(key, now, state) == Reuse::Close {
            self.remove(key);
        }
    }
}
