//! The graceful shutdown of an ingress that was told to stop: how long it still accepts, answers, and waits for clients.

use crate::timers::{Due, Timers};
use wrenfork_decision::Micros;

/// How long connections are still accepted once told to stop: new ones come for up to 0.4 s, and from those who have
/// not heard of it for longer. Then for as long as the latest is no older than this, and how often that is looked at.
const STILL_ACCEPTING: Micros = 500_000;
const STILL_COMING: Micros = 300_000;
const LOOK_AGAIN: Micros = 100_000;
/// How long after that a client that says nothing whole is still waited for.
const LAST_WAIT: Micros = 1_000_000;
/// How long after it is told to stop the last of its requests have failed, besides their longest deadline or this
/// much of it: SIGKILL may come 0.7 s after that.
const LAST_ANSWER: Micros = 400_000;
const LONGEST_DEADLINE: Micros = 3_000_000;
/// How long an ingress told to stop waits, all in all, for clients to read their answers.
const LAST_READ: Micros = 2_000_000;

/// Where an ingress stands on its way to the end.
pub struct Shutdown {
    /// How long it serves once told to stop.
    last_answer: Micros,
    /// When it is over with all, once told to stop.
    last_at: Micros,
    begun: bool,
    /// Connections between requests have been closed once.
    looked: bool,
    /// When the connections were begun to be closed.
    closing_since: Option<Micros>,
}

impl Shutdown {
    /// Not told to stop; `longest` is the longest deadline of a class.
    pub fn new(longest: Micros) -> Self {
        let last_answer = longest.min(LONGEST_DEADLINE) + LAST_ANSWER;
        Shutdown {
            last_answer,
            last_at: Micros::MAX,
            begun: false,
            looked: false,
            closing_since: None,
        }
    }

    /// Whether it was told to stop.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// A class has a deadline as long as this; what is open may still have a longer one.
    pub fn longest(&mut self, longest: Micros) {
        self.last_answer = self
            .last_answer
            .max(longest.min(LONGEST_DEADLINE) + LAST_ANSWER);
    }

    /// Told to stop, perhaps not for the first time.
    pub fn begin(&mut self, now: Micros, timers: &mut Timers) {
        if !std::mem::replace(&mut self.begun, true) {
            tracing::info!("stopping: answering what has been taken");
            self.last_at = now + self.last_answer;
            timers.set(now + STILL_ACCEPTING, Due::Close);
            timers.set(self.last_at, Due::Last);
        }
    }

    /// Whether clients still come, the latest at `accepted_at`, and are to be taken in; if not, closing begins.
    pub fn still_coming(&mut self, now: Micros, accepted_at: Micros, timers: &mut Timers) -> bool {
        // Closing idle connections crosses some requests, which come again on new ones: that is waited for in any case.
        let first = !std::mem::replace(&mut self.looked, true);
        let coming =
            (first || now < accepted_at + STILL_COMING) && now + STILL_ACCEPTING < self.last_at;
        if coming {
            timers.set(now + LOOK_AGAIN, Due::Close);
        } else {
            self.closing_since = Some(now);
        }
        coming
    }

    /// Whether nobody is left who might say more, where all that was taken is answered; `clients` are connected, `more` of what they
    /// said is to be answered yet or read, and `busy` says whether any of them still awaits something.
    pub fn may_exit(
        &self,
        now: Micros,
        clients: usize,
        more: bool,
        busy: impl Fn() -> bool,
    ) -> bool {
        let Some(since) = self.closing_since else {
            return false;
        };
        // What was read on the way out, or waits behind a full line, is refused in the next turns; one that sends without end
        // must not keep it.
        if more && now < self.last_at.saturating_add(LOOK_AGAIN) {
            return false;
        }
        let waited = now - since;
        // Half a request, or answers that nobody reads, must not keep it until it is killed.
        let quiet = || waited > LAST_WAIT && !busy();
        clients == 0 || waited > LAST_READ || now >= self.last_at || quiet()
    }
}
