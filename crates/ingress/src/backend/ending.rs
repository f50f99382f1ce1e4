//! Ending attempts and closing connections: answers, failures, timeouts and eviction.

use super::activity::{AttemptEnd, ConnectionHandle};
use super::connection::Connection;
use super::response::Response;
use super::Backends;
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::AddressOutcome;

/// How long an answer that has begun may make no progress.
const ANSWER_TIMEOUT: Micros = 500_000;
/// How long a streamed answer may make no progress while the client has room for more. Equals the time that a client waits for
/// the complete answer to a request with the longest deadline that the platform expects.
const STREAM_TIMEOUT: Micros = 3_000_000;
/// If a reused connection breaks this soon after a request was started on it, it is taken to have been dead before.
const DEAD_ON_REUSE_WITHIN: Micros = 10_000;

impl Backends {
    /// Whether the command on a connection is written completely; none if the connection is closed.
    pub fn is_sent(&self, handle: ConnectionHandle) -> Option<bool> {
        self.get(handle).map(Connection::is_sent)
    }

    /// Closes a connection without reporting the end of its attempt, which the caller accounts for. `timed_out` is the current
    /// time if the answer did not arrive in time. Returns whether the command was written completely, or none if the connection
    /// was closed.
    pub fn abandon(&mut self, handle: ConnectionHandle, timed_out: Option<Micros>) -> Option<bool> {
        let conn = self.get(handle)?;
        let sent = conn.is_sent();
        // The backend accepted the request and sent nothing in time: its other addresses are tried before this one from now on.
        let no_answer = sent && conn.established && conn.buf.is_empty();
        if let Some(now) = timed_out.filter(|_| no_answer) {
            let backend = conn.backend;
            let address = conn.address.clone();
            self.record_address_outcome(backend, &address, AddressOutcome::TimedOut, now);
        }
        self.remove(handle.key);
        Some(sent)
    }

    /// Ends an attempt whose command is not written completely, and closes its connection.
    pub(super) fn end_unsent(&mut self, key: usize) {
        self.end_without_answer(key, Outcome::NotSent, Micros::MAX);
        self.remove(key);
    }

    /// Closes a failed connection, and ends its attempt or health check with [`Connection::outcome_if_broken`].
    pub(super) fn break_connection(&mut self, key: usize, now: Micros) {
        let outcome = self.connections[key].outcome_if_broken();
        self.end_without_answer(key, outcome, now);
        self.remove(key);
    }

    pub(super) fn remove(&mut self, key: usize) {
        if self.connections[key].race.is_some() {
            self.mark_established(key);
        }
        let conn = self.take_connection(key); // dropping the stream closes it and deregisters it from the poll
        if conn.activity.is_some() {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&conn.backend) {
            pool.idle.retain(|idle| *idle != key);
        }
    }

    /// Ends the attempt or health check on a connection without an answer.
    pub(super) fn end_without_answer(&mut self, key: usize, outcome: Outcome, now: Micros) {
        let response = Response {
            outcome,
            value: Vec::new(),
            report: None,
        };
        self.end_activity(key, response, now);
    }

    /// Ends the attempt or health check on a connection, and records whether a reused connection had gone stale.
    pub(super) fn end_activity(&mut self, key: usize, response: Response, now: Micros) {
        let conn = &self.connections[key];
        let Some(activity) = conn.activity.filter(|a| !a.is_race_candidate()) else {
            return;
        };
        let broken = matches!(response.outcome, Outcome::Reset | Outcome::ConnectFailed);
        let was_dead = broken && conn.buf.is_empty() && now <= conn.since + DEAD_ON_REUSE_WITHIN;
        if let Some(idle) = conn.idle_before.filter(|_| was_dead || !broken) {
            self.staleness.record(idle, was_dead);
        }
        self.ended.push(AttemptEnd {
            activity,
            backend: conn.backend,
            outcome: response.outcome,
            started_at: conn.since,
            report: response.report,
            value: response.value,
        });
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&mut self, backend: BackendId) {
        let Some(pool) = self.pools.get_mut(&backend) else {
            return;
        };
        for key in std::mem::take(&mut pool.idle) {
            drop(self.take_connection(key));
        }
    }

    /// Closes connections that have been idle for too long or whose answer has timed out. Called periodically.
    pub fn sweep(&mut self, now: Micros) {
        self.staleness.decay();
        for pool in self.pools.values_mut() {
            pool.unsolicited.decay();
        }
        let max_idle = self.idle_timeout.min(self.staleness.max_idle());
        let is_old = |conn: &Connection| now.saturating_sub(conn.since) > max_idle;
        for key in self.keys_where(|conn| conn.activity.is_none() && is_old(conn)) {
            self.remove(key);
        }
        for key in self.keys_where(|conn| has_timed_out(conn, now)) {
            self.break_unless_arrived(key, now);
        }
    }

    /// Breaks a connection whose answer has timed out, unless more of it has arrived while this process was held up.
    fn break_unless_arrived(&mut self, key: usize, now: Micros) {
        let serial = self.connections[key].serial;
        self.read(key, now, true);
        let is_same = |conn: &Connection| conn.serial == serial && has_timed_out(conn, now);
        if self.connections.get(key).is_some_and(is_same) {
            self.break_connection(key, now);
        }
    }

    /// Whether any connection is idle.
    pub fn any_idle(&self) -> bool {
        self.pools.values().any(|pool| !pool.idle.is_empty())
    }

    /// Closes the connection that has been idle the longest to free its file descriptor. Returns false if none is idle.
    pub fn evict_oldest(&mut self) -> bool {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, conn)| conn.activity.is_none());
        let Some((oldest, _)) = idle.min_by_key(|(_, conn)| (conn.since, conn.serial)) else {
            return false;
        };
        self.remove(oldest);
        true
    }
}

/// Whether an answer has begun and made no progress within its timeout.
fn has_timed_out(conn: &Connection, now: Micros) -> bool {
    if conn.long_answer.is_some() {
        !conn.paused && now > conn.answer_since + STREAM_TIMEOUT
    } else {
        !conn.buf.is_empty() && now > conn.answer_since + ANSWER_TIMEOUT
    }
}
