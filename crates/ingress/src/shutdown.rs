//! The graceful shutdown of an ingress: how long it still accepts, answers, and waits for clients.

use crate::timers::{Due, Timers};
use wrenfork_decision::Micros;

/// How long connections are still accepted behind the signal: new ones come for up to 0.4 s, and from those who have
/// not heard of it for longer.
const ACCEPT_TIME: Micros = 500_000;
/// Then for as long as the latest connection is no older than this.
const ACCEPT_AFTER_LATEST: Micros = 300_000;
/// How often that is looked at.
const ACCEPT_CHECK_INTERVAL: Micros = 100_000;
/// How long after that a client that sends nothing complete is still waited for.
const IDLE_CLIENT_TIMEOUT: Micros = 1_000_000;
/// How long after the signal the last of the requests have failed, besides their longest deadline or [`MAX_DEADLINE`]: SIGKILL
/// may come 0.7 s after that.
const FAIL_MARGIN: Micros = 400_000;
/// The longest deadline that is waited for.
const MAX_DEADLINE: Micros = 3_000_000;
/// How long the ingress waits, all in all, for clients to read their answers.
const READ_TIMEOUT: Micros = 2_000_000;

/// How far a graceful shutdown has come.
pub struct Shutdown {
    /// How long requests are served behind the signal.
    serve_time: Micros,
    /// When all that is open has failed, once it has begun.
    fail_at: Micros,
    begun: bool,
    /// Idle connections have been closed once.
    closed_once: bool,
    /// When no more connections were accepted.
    closing_since: Option<Micros>,
}

/// What clients still have open.
#[derive(Clone, Copy, Debug)]
pub struct OpenClients {
    /// How many are connected.
    pub connected: usize,
    /// Something that they sent is to be read or answered yet.
    pub has_more: bool,
}

/// How long requests with this longest deadline are served behind the signal.
fn serve_time(longest_deadline: Micros) -> Micros {
    longest_deadline.min(MAX_DEADLINE) + FAIL_MARGIN
}

impl Shutdown {
    /// Not begun.
    pub fn new(longest_deadline: Micros) -> Self {
        Shutdown {
            serve_time: serve_time(longest_deadline),
            fail_at: Micros::MAX,
            begun: false,
            closed_once: false,
            closing_since: None,
        }
    }

    /// Whether it has begun.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// A class has a deadline as long as this; what is open may still have a longer one.
    pub fn allow_deadline(&mut self, longest_deadline: Micros) {
        self.serve_time = self.serve_time.max(serve_time(longest_deadline));
    }

    /// Begins, if it has not begun.
    pub fn begin(&mut self, now: Micros, timers: &mut Timers) {
        if !std::mem::replace(&mut self.begun, true) {
            tracing::info!("stopping: answering what has been admitted");
            self.fail_at = now + self.serve_time;
            timers.set(now + ACCEPT_TIME, Due::StopAccepting);
            timers.set(self.fail_at, Due::FailOpenRequests);
        }
    }

    /// Whether clients still connect, the latest at `accepted_at`, and are to be accepted; if not, closing begins.
    pub fn keeps_accepting(
        &mut self,
        now: Micros,
        accepted_at: Micros,
        timers: &mut Timers,
    ) -> bool {
        // Closing idle connections crosses some requests, which come again on new ones: that is waited for in any case.
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

    /// Whether the process may exit, where all that was admitted is answered; `is_busy` says whether any client still awaits
    /// something.
    pub fn may_exit(&self, now: Micros, open: OpenClients, is_busy: impl Fn() -> bool) -> bool {
        let Some(since) = self.closing_since else {
            return false;
        };
        // What was read on the way out, or waits behind a full queue of answers, is rejected in the next turns; one that sends
        // without end must not keep it.
        if open.has_more && now < self.fail_at.saturating_add(ACCEPT_CHECK_INTERVAL) {
            return false;
        }
        let waited = now - since;
        // Half a request, or answers that nobody reads, must not keep it until it is killed.
        let only_idle = || waited > IDLE_CLIENT_TIMEOUT && !is_busy();
        open.connected == 0 || waited > READ_TIMEOUT || now >= self.fail_at || only_idle()
    }
}
