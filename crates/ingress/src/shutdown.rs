//! Timing of the graceful shutdown: how long the ingress still accepts connections, serves requests and waits for clients.

use crate::timers::{Due, Timers};
use wrenfork_decision::Micros;

#[cfg(test)]
mod tests;

/// How long connections are accepted after the signal, in microseconds: clients open new ones for up to 0.4 s, and clients that
/// have not been notified yet for longer.
const ACCEPT_TIME: Micros = 500_000;
/// After [`ACCEPT_TIME`], accepting continues while the latest connection is younger than this, in microseconds.
const ACCEPT_AFTER_LATEST: Micros = 300_000;
/// Interval between checks whether to stop accepting, in microseconds.
const ACCEPT_CHECK_INTERVAL: Micros = 100_000;
/// How long after the end of accepting the ingress waits for clients without a complete request, in microseconds.
const IDLE_CLIENT_TIMEOUT: Micros = 1_000_000;
/// Open requests are failed this long after the longest deadline (at most [`MAX_DEADLINE`]) has passed since the signal, in
/// microseconds. SIGKILL may follow 0.7 s later.
const FAIL_MARGIN: Micros = 400_000;
/// How long after that the process exits at the latest, in microseconds. In this time, answers that have arrived are written.
const FINAL_WRITE_TIME: Micros = 150_000;
/// Longest request deadline that the shutdown waits for, in microseconds.
const MAX_DEADLINE: Micros = 3_000_000;
/// How long, after the end of accepting, the process waits for clients that have answers to read and make no progress, in
/// microseconds.
const READ_TIMEOUT: Micros = 2_000_000;

/// Progress of the graceful shutdown.
pub struct Shutdown {
    /// How long requests are served after the signal.
    serve_time: Micros,
    /// Time at which the remaining open requests are failed; [`Micros::MAX`] before the shutdown begins.
    fail_at: Micros,
    begun: bool,
    /// Whether idle connections have been closed for the first time.
    closed_once: bool,
    /// Time at which accepting ended.
    closing_since: Option<Micros>,
}

/// The clients that are left during a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct OpenClients {
    /// Number of connected clients.
    pub connected: usize,
    /// Whether there is input from clients that has not been read or answered yet.
    pub has_more: bool,
}

/// How long requests are served after the signal, given the longest deadline of any class.
fn serve_time(longest_deadline: Micros) -> Micros {
    longest_deadline.min(MAX_DEADLINE) + FAIL_MARGIN
}

impl Shutdown {
    /// Creates a shutdown that has not begun.
    pub fn new(longest_deadline: Micros) -> Self {
        Shutdown {
            serve_time: serve_time(longest_deadline),
            fail_at: Micros::MAX,
            begun: false,
            closed_once: false,
            closing_since: None,
        }
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Extends the serving time for a class with this deadline. It is never shortened, since open requests may have longer
    /// deadlines.
    pub fn allow_deadline(&mut self, longest_deadline: Micros) {
        self.serve_time = self.serve_time.max(serve_time(longest_deadline));
    }

    /// Begins the shutdown unless it has begun already.
    pub fn begin(&mut self, now: Micros, timers: &mut Timers) {
        if !std::mem::replace(&mut self.begun, true) {
            tracing::info!("stopping: serving the admitted requests before exit");
            self.fail_at = now + self.serve_time;
            timers.set(now + ACCEPT_TIME, Due::StopAccepting);
            timers.set(self.fail_at, Due::FailOpenRequests);
        }
    }

    /// Whether to continue accepting, given that the latest client was accepted at `accepted_at`; otherwise closing begins.
    pub fn keeps_accepting(
        &mut self,
        now: Micros,
        accepted_at: Micros,
        timers: &mut Timers,
    ) -> bool {
        // Clients that send a request just as their idle connection is closed retry on a new one: always wait for those.
        let first = !std::mem::replace(&mut self.closed_once, true);
        let recent = first || now < accepted_at + ACCEPT_AFTER_LATEST;
        let accepting = recent && now + ACCEPT_TIME < self.fail_at;
        if accepting {
            timers.set(now + ACCEPT_CHECK_INTERVAL, Due::StopAccepting);
        } else {
            self.closing_since = Some(now);
        }
        accepting
    }

    /// The latest time at which the process exits; [`Micros::MAX`] before the shutdown begins.
    pub fn exit_at(&self) -> Micros {
        self.fail_at.saturating_add(FINAL_WRITE_TIME)
    }

    /// Whether no time is left to write answers.
    pub fn must_exit(&self, now: Micros) -> bool {
        now >= self.exit_at()
    }

    /// Whether the process may exit. All admitted requests must have been answered; `last_progress` says when a client that has
    /// answers to read last made progress, and none if there is no such client.
    pub fn may_exit(
        &self,
        now: Micros,
        open: OpenClients,
        last_progress: impl Fn() -> Option<Micros>,
    ) -> bool {
        let Some(since) = self.closing_since else {
            return false;
        };
        if self.must_exit(now) {
            return true;
        }
        // Requests read during the shutdown, or waiting because the answer queue of their connection is full, are rejected in the
        // next iterations. A client that never stops sending must not delay the exit beyond `exit_at`.
        if open.has_more {
            return false;
        }
        if now >= self.fail_at {
            return last_progress().is_none();
        }
        let waited = now - since;
        if open.connected == 0 || waited <= IDLE_CLIENT_TIMEOUT {
            return open.connected == 0;
        }
        // Incomplete requests or unread answers must not delay the exit until the process is killed.
        last_progress().is_none_or(|progress| now > progress.max(since) + READ_TIMEOUT)
    }
}
