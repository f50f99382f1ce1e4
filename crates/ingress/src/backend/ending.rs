//! The ends of attempts and of connections: answers, failures, timeouts and eviction.

use super::activity::{AttemptEnd, ConnectionHandle};
use super::connection::Connection;
use super::response::Response;
use super::Backends;
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::AddressOutcome;

/// How long the rest of an answer may take to come once it has begun.
const ANSWER_TIMEOUT: Micros = 500_000;
/// How long a streamed answer may stand still, where the client would take more: as long as a client waits for a
/// complete request of the longest deadline that the platform counts with.
const STREAM_TIMEOUT: Micros = 3_000_000;
/// A reset that comes this soon after a request says that the connection was dead already.
const AT_ONCE: Micros = 10_000;

impl Backends {
    /// Whether the command on a connection is written to its last byte; none where the connection is gone.
    pub fn is_sent(&self, handle: ConnectionHandle) -> Option<bool> {
        self.get(handle).map(Connection::is_sent)
    }

    /// Closes a connection, if it is still the one meant; what it was used for is the caller's to account for. `timed_out` is the
    /// time where that is because its answer has not come. Tells whether the command's last byte had been written.
    pub fn abandon(&mut self, handle: ConnectionHandle, timed_out: Option<Micros>) -> Option<bool> {
        let c = self.get(handle)?;
        let sent = c.is_sent();
        // It took the request, and nothing came in time: the backend's other addresses come before this one from now on.
        let silent = sent && c.established && c.buf.is_empty();
        if let Some(now) = timed_out.filter(|_| silent) {
            let backend = c.backend;
            let address = c.address.clone();
            self.note_address(backend, &address, AddressOutcome::TimedOut, now);
        }
        self.remove(handle.key);
        Some(sent)
    }

    /// Ends an attempt that is not written to its last byte, and its connection.
    pub(super) fn end_unsent(&mut self, key: usize) {
        self.end(key, Outcome::NotSent, Micros::MAX);
        self.remove(key);
    }

    /// Ends a connection that is of no more use, and what it was used for with what that means for it.
    pub(super) fn break_connection(&mut self, key: usize, now: Micros) {
        let outcome = self.connections[key].outcome_if_broken();
        self.end(key, outcome, now);
        self.remove(key);
    }

    pub(super) fn remove(&mut self, key: usize) {
        if self.connections[key].race.is_some() {
            self.mark_established(key);
        }
        let c = self.connections.remove(key); // dropped, it is closed, and so out of the poll
        if c.activity.is_some() {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&c.backend) {
            pool.idle.retain(|idle| *idle != key);
        }
    }

    /// Ends what a connection is used for without an answer.
    pub(super) fn end(&mut self, key: usize, outcome: Outcome, now: Micros) {
        let response = Response {
            outcome,
            value: Vec::new(),
            report: None,
        };
        self.end_with(key, response, now);
    }

    /// Ends what a connection is used for.
    pub(super) fn end_with(&mut self, key: usize, response: Response, now: Micros) {
        let c = &self.connections[key];
        let Some(activity) = c.activity.filter(|a| !a.is_race_candidate()) else {
            return;
        };
        let broken = matches!(response.outcome, Outcome::Reset | Outcome::ConnectFailed);
        let was_dead = broken && c.buf.is_empty() && now <= c.since + AT_ONCE;
        if let Some(idle) = c.idle_before.filter(|_| was_dead || !broken) {
            self.staleness.record(idle, was_dead);
        }
        self.ended.push(AttemptEnd {
            activity,
            backend: c.backend,
            outcome: response.outcome,
            started_at: c.since,
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
            drop(self.connections.remove(key));
        }
    }

    /// Closes what has been idle for too long, and what has timed out.
    pub fn sweep(&mut self, now: Micros) {
        self.staleness.decay();
        for pool in self.pools.values_mut() {
            pool.unsolicited.decay();
        }
        let max_idle = self.idle_timeout.min(self.staleness.max_idle());
        let is_old = |c: &Connection| now.saturating_sub(c.since) > max_idle;
        for key in self.keys(|c| c.activity.is_none() && is_old(c)) {
            self.remove(key);
        }
        for key in self.keys(|c| has_stopped(c, now)) {
            self.break_connection(key, now);
        }
    }

    /// Whether any connection is idle.
    pub fn any_idle(&self) -> bool {
        self.pools.values().any(|pool| !pool.idle.is_empty())
    }

    /// Evicts the connection that has been idle for longest, to make room; false if none is idle.
    pub fn evict_oldest(&mut self) -> bool {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, c)| c.activity.is_none());
        let Some((oldest, _)) = idle.min_by_key(|(_, c)| (c.since, c.serial)) else {
            return false;
        };
        self.remove(oldest);
        true
    }
}

/// Whether an answer began and goes no further: a line or a length without an end.
fn has_stopped(c: &Connection, now: Micros) -> bool {
    if c.long.is_some() {
        !c.paused && now > c.answer_since + STREAM_TIMEOUT
    } else {
        !c.buf.is_empty() && now > c.answer_since + ANSWER_TIMEOUT
    }
}
