//! Reading answers of backends.

use super::activity::Activity;
use super::connection::Connection;
use super::response::{interpret, Response};
use super::{Backends, CHUNK};
use crate::stream::is_not_ready;
use std::io::{ErrorKind, Read};
use wrenfork_decision::{Micros, Outcome};
use wrenfork_happy_eyeballs::AddressOutcome;
use wrenfork_wire::long::LongAnswer;
use wrenfork_wire::resp;

/// Reads from one connection in a turn: more than the longest answer needs.
const READS_PER_TURN: usize = 8;
/// Connections that stay idle to a backend that often sends bytes without being asked, to see whether it goes on.
const WITNESSES: usize = 2;

/// Whether a connection may be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// It may, or is in use.
    Keep,
    /// It is of no more use.
    Close,
}

/// What is known of a connection behind its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerState {
    /// Nothing came behind the answer.
    pub(super) nothing_behind: bool,
    /// The answer was one, and all of the command had been written.
    pub(super) sound: bool,
}

impl Backends {
    /// Does what a connection is ready for; `closed` says that its end is near. `now` is the true time, since a connection rests
    /// for less than a tick.
    pub fn ready(&mut self, key: usize, now: Micros, writable: bool, closed: bool) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        if writable && !c.established && c.stream.is_connected() {
            if let Some(Activity::RaceCandidate(of)) = c.activity {
                c.established = true;
                return self.races.push(of);
            }
            self.mark_established(key);
            self.write_established(key, now);
        } else if writable && !c.is_sent() {
            self.write(key, now);
        }
        // It may have been established between the look at it and the write.
        let won = |c: &Connection| c.established && c.race.is_some();
        if self.connections.get(key).is_some_and(won) {
            self.mark_established(key);
        }
        if self.connections.contains(key) {
            self.read(key, now, closed);
        }
    }

    /// Reads on where a turn's bound ended the reading.
    pub fn continue_reading(&mut self, now: Micros) {
        for handle in std::mem::take(&mut self.read_queue) {
            if self.get(handle).is_some() {
                self.read(handle.key, now, true);
            }
        }
    }

    /// Reads from a connection; with `to_the_end` all that it has, since no readiness will be reported for it.
    pub(super) fn read(&mut self, key: usize, now: Micros, to_the_end: bool) {
        for _ in 0..READS_PER_TURN {
            let c = &mut self.connections[key];
            if c.paused {
                return;
            }
            let bytes = match c.stream.read(&mut self.chunk) {
                Ok(bytes) if bytes > 0 => bytes,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if is_not_ready(&e) => return,
                Ok(_) | Err(_) => return self.read_ended(key, now),
            };
            if c.buf.is_empty() {
                c.answer_since = now;
            }
            c.buf.extend_from_slice(&self.chunk[..bytes]);
            if c.long.is_some() {
                c.paused = true;
                c.answer_since = now;
                return self.streams.push(self.handle(key));
            }
            if self.take_answer(key, now) == Reuse::Close {
                return self.remove(key);
            }
            // Less than there was room for: that was all, and more will be reported.
            if bytes < CHUNK && !to_the_end {
                return;
            }
        }
        // No answer is that long, and a backend that sends without end is not waited for.
        self.break_connection(key, now);
    }

    /// A connection has ended at its other side.
    fn read_ended(&mut self, key: usize, now: Micros) {
        if !self.has_race_left(key, now) {
            self.break_connection(key, now);
        }
    }

    /// Takes an answer, once all of it has come.
    fn take_answer(&mut self, key: usize, now: Micros) -> Reuse {
        let c = &mut self.connections[key];
        let Some(activity) = c.activity else {
            // Nobody asked for anything.
            if let Some(pool) = self.pools.get_mut(&c.backend) {
                pool.unsolicited.record_bytes();
            }
            return Reuse::Close;
        };
        let (reply, end) = match resp::reply(&c.buf) {
            Ok(None) => return Reuse::Keep,
            Ok(Some(found)) => found,
            Err(_) if begin_long_answer(c, activity) => {
                self.streams.push(self.handle(key));
                return Reuse::Keep;
            }
            Err(_) => {
                let outcome = c.outcome_if_broken();
                self.end(key, outcome, now);
                return Reuse::Close;
            }
        };
        // An answer to half a command can only say that it was rejected.
        let response = interpret(&c.buf, &reply, activity)
            .filter(|response| c.is_sent() || response.outcome == Outcome::Rejected);
        let nothing_behind = end == c.buf.len();
        let state = AnswerState {
            nothing_behind,
            sound: response.is_some() && c.is_sent() && nothing_behind,
        };
        let response = response.unwrap_or_else(|| Response {
            outcome: c.outcome_if_broken(),
            value: Vec::new(),
            report: None,
        });
        self.end_with(key, response, now);
        self.reuse(key, now, state)
    }

    /// A connection whose answer has come goes back to its pool, if it is of use: a sound answer, with nothing behind it.
    pub(super) fn reuse(&mut self, key: usize, now: Micros, state: AnswerState) -> Reuse {
        let c = &mut self.connections[key];
        let pool = self.pools.get_mut(&c.backend);
        let Some(pool) = pool.filter(|pool| pool.addresses.contains(&c.address)) else {
            return Reuse::Close;
        };
        if pool.addresses.only().is_none() {
            pool.addresses
                .record(&c.address, AddressOutcome::Responded, now);
        }
        pool.unsolicited.record_answer();
        if !state.nothing_behind {
            pool.unsolicited.record_bytes();
        }
        let enough = pool.unsolicited.is_frequent() && pool.idle.len() >= WITNESSES;
        if !state.sound || enough {
            return Reuse::Close;
        }
        c.activity = None;
        c.since = now;
        c.buf.clear();
        c.body = None;
        c.buf.shrink_to(CHUNK);
        c.out.shrink_to(CHUNK);
        pool.idle.push(key);
        Reuse::Keep
    }
}

/// Whether an answer is streamed from here on: its value is too long to be held.
fn begin_long_answer(c: &mut Connection, activity: Activity) -> bool {
    if !activity.is_attempt() || !c.is_sent() {
        return false;
    }
    let Some(begun) = LongAnswer::start(&c.buf) else {
        return false;
    };
    c.buf.drain(..begun.head);
    c.long = Some(begun.answer);
    c.paused = true;
    true
}
