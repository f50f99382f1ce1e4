//! The requests that are pending, their attempts, and when each is to be looked at again.

use crate::action::Action;
use crate::event::{Endpoint, Outcome, Request};
use crate::ids::{BackendId, Micros, RequestId};
use crate::settings::{Class, Idempotency, KeyScope};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The pool that an attempt goes through, and whether its request falls back on it.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct PoolSelection {
    pub(crate) pool: usize,
    pub(crate) fallback: bool,
}

/// One attempt of a request at a backend.
#[derive(Serialize, Deserialize)]
pub(crate) struct Attempt {
    endpoint: Endpoint,
    sent_at: Micros,
    in_flight: bool,
    cancelled: bool,
    /// Its pool counts it no more: its backend was taken for dead, or its answer streams.
    released: bool,
    selection: PoolSelection,
    /// Proved never to have run.
    never_ran: bool,
}

impl Attempt {
    pub(crate) fn new(endpoint: Endpoint, selection: PoolSelection, now: Micros) -> Attempt {
        Attempt {
            endpoint,
            sent_at: now,
            in_flight: true,
            cancelled: false,
            released: false,
            selection,
            never_ran: false,
        }
    }

    /// The backend as it was listed when the attempt was sent.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    pub(crate) fn sent_at(&self) -> Micros {
        self.sent_at
    }

    pub(crate) fn selection(&self) -> PoolSelection {
        self.selection
    }

    /// Its pool is to count it no more; true if it did so until now.
    pub(crate) fn release(&mut self) -> bool {
        !std::mem::replace(&mut self.released, true)
    }

    /// Notes how it ended; true if its pool still counts it.
    fn complete(&mut self, outcome: Outcome) -> bool {
        self.in_flight = false;
        self.never_ran = outcome.never_ran();
        !self.released
    }
}

/// The backends that a further attempt must keep to, those that know the key of an earlier one.
#[derive(Clone, Copy)]
pub(crate) struct KeyBinding {
    scope: KeyScope,
    zone: u8,
    cell: u16,
}

impl KeyBinding {
    /// Whether a backend knows the key.
    pub(crate) fn covers(&self, endpoint: &Endpoint) -> bool {
        match self.scope {
            KeyScope::All => true,
            KeyScope::Zone => endpoint.zone == self.zone,
            KeyScope::Cell => endpoint.cell == self.cell,
        }
    }
}

/// A request that has no final answer yet, or attempts in flight.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct PendingRequest {
    request: Request,
    /// Its class as it was when the request came: it ends under that, whatever changes meanwhile.
    class: Class,
    /// As many attempts as it may have, by the settings when it came.
    max_attempts: u32,
    arrived_at: Micros,
    attempts: Vec<Attempt>,
    done: bool,
    streaming: bool,
    /// Waits for its quota owners' word, or for its ceiling to refill ...
    awaiting_owner: bool,
    /// ... and asks them again when it is looked at next.
    asks_again: bool,
}

impl PendingRequest {
    pub(crate) fn new(
        request: Request,
        class: Class,
        max_attempts: u32,
        now: Micros,
    ) -> PendingRequest {
        PendingRequest {
            request,
            class,
            max_attempts,
            arrived_at: now,
            ..PendingRequest::default()
        }
    }

    pub(crate) fn request(&self) -> &Request {
        &self.request
    }

    pub(crate) fn class(&self) -> &Class {
        &self.class
    }

    pub(crate) fn arrived_at(&self) -> Micros {
        self.arrived_at
    }

    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    pub(crate) fn attempt(&self, number: u16) -> Option<&Attempt> {
        self.attempts.get(usize::from(number))
    }

    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.in_flight).count()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    pub(crate) fn finish(&mut self) {
        self.done = true;
    }

    pub(crate) fn is_streaming(&self) -> bool {
        self.streaming
    }

    pub(crate) fn awaits_owner(&self) -> bool {
        self.awaiting_owner
    }

    pub(crate) fn set_awaiting_owner(&mut self, awaiting: bool) {
        self.awaiting_owner = awaiting;
    }

    /// It is to ask its owners again; true if it was not so until now.
    pub(crate) fn ask_again(&mut self) -> bool {
        !std::mem::replace(&mut self.asks_again, true)
    }

    /// Whether it was to ask its owners again; it is not any more.
    pub(crate) fn take_ask_again(&mut self) -> bool {
        std::mem::take(&mut self.asks_again)
    }

    pub(crate) fn push_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Whether it may have one more attempt by their number.
    pub(crate) fn may_have_more_attempts(&self) -> bool {
        (self.attempts.len() as u32) < self.max_attempts
    }

    /// Whether its last attempt may be repeated by its class.
    pub(crate) fn may_be_repeated(&self) -> bool {
        self.class.idempotency != Idempotency::NotIdempotent || self.first_that_ran().is_none()
    }

    /// Whether a rejection is a true answer: that trying again is harmless.
    pub(crate) fn may_be_rejected(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        harmless || self.first_that_ran().is_none()
    }

    /// The first attempt that ran or may have run.
    fn first_that_ran(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }

    /// The latest moment at which a further attempt may begin: repeats of a key that may have run
    /// are dropped for so long.
    pub(crate) fn start_by(&self) -> Micros {
        match (self.class.idempotency, self.first_that_ran()) {
            (Idempotency::WithKey { window, .. }, Some(a)) => a.sent_at.saturating_add(window),
            _ => Micros::MAX,
        }
    }

    /// The backends that a further attempt must keep to; none where it may go to any.
    pub(crate) fn key_binding(&self) -> Option<KeyBinding> {
        match (self.class.idempotency, self.first_that_ran()) {
            (Idempotency::WithKey { scope, .. }, Some(a)) => Some(KeyBinding {
                scope,
                zone: a.endpoint.zone,
                cell: a.endpoint.cell,
            }),
            _ => None,
        }
    }

    /// How long an answer is worth something, in microseconds: the latency objective, or what the
    /// client waits if that is less.
    pub(crate) fn useful_time(&self) -> f64 {
        let wait = self.request.deadline.saturating_sub(self.arrived_at);
        self.class.latency_objective.min(wait) as f64
    }

    /// Cancels the attempts in flight, but for one to keep.
    pub(crate) fn cancel_attempts(&mut self, keep: Option<u16>, actions: &mut Vec<Action>) {
        let id = self.request.id;
        for (attempt, a) in (0u16..).zip(&mut self.attempts) {
            if a.in_flight && !a.cancelled && keep != Some(attempt) {
                a.cancelled = true;
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    /// Its answer streams from an attempt: how fast the client reads must not keep others from a
    /// slot. The pool that counts the attempt no more, if it did so until now.
    pub(crate) fn start_streaming(&mut self, attempt: u16) -> Option<PoolSelection> {
        self.streaming = true;
        let a = self.attempts.get_mut(usize::from(attempt))?;
        (a.in_flight && a.release()).then_some(a.selection)
    }

    /// Notes how an attempt ended, if it was in flight.
    pub(crate) fn complete(&mut self, attempt: u16, outcome: Outcome) -> Option<CompletedAttempt> {
        let found = self.attempts.get_mut(usize::from(attempt));
        let a = found.filter(|a| a.in_flight)?;
        let counted = a.complete(outcome);
        Some(CompletedAttempt {
            backend: a.endpoint.backend,
            release: counted.then_some(a.selection),
        })
    }

    /// The last attempt that is in flight and not cancelled.
    pub(crate) fn watched_attempt(&mut self) -> Option<&mut Attempt> {
        let mut latest = self.attempts.iter_mut().rev();
        latest.find(|a| a.in_flight && !a.cancelled)
    }
}

/// An attempt that has just ended.
pub(crate) struct CompletedAttempt {
    pub(crate) backend: BackendId,
    /// The pool that counted it until now.
    pub(crate) release: Option<PoolSelection>,
}

/// All pending requests, and when each is to be looked at again.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct PendingRequests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    checks: BinaryHeap<Reverse<(Micros, RequestId)>>,
}

impl PendingRequests {
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn insert(&mut self, pending: PendingRequest) {
        self.by_id.insert(pending.request.id, pending);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.by_id.remove(&id);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.by_id.values()
    }

    /// A request is to be looked at again.
    pub(crate) fn check_at(&mut self, at: Micros, id: RequestId) {
        self.checks.push(Reverse((at, id)));
    }

    /// The next request that is to be looked at by now.
    pub(crate) fn next_due(&mut self, now: Micros) -> Option<RequestId> {
        let Reverse((at, id)) = *self.checks.peek()?;
        if at > now {
            return None;
        }
        self.checks.pop();
        Some(id)
    }
}
