//! Pending requests, their attempts, and the times of their next checks.

use crate::action::Action;
use crate::event::{Endpoint, Outcome, Request};
use crate::ids::{BackendId, Micros, RequestId};
use crate::settings::{Class, Idempotency, KeyScope};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The pool that an attempt is sent through, and whether it is fallback traffic there.
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
    /// The pool no longer counts this attempt as in flight, because its backend was considered dead
    /// or its answer is streamed.
    released: bool,
    selection: PoolSelection,
    /// It is certain that the attempt never ran.
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

    /// The endpoint entry of the backend at the time the attempt was sent.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    pub(crate) fn sent_at(&self) -> Micros {
        self.sent_at
    }

    pub(crate) fn selection(&self) -> PoolSelection {
        self.selection
    }

    /// Marks the attempt as no longer counted by its pool. Returns whether it was counted until
    /// now.
    pub(crate) fn release(&mut self) -> bool {
        !std::mem::replace(&mut self.released, true)
    }

    /// Records the outcome. Returns whether the pool still counts the attempt.
    fn complete(&mut self, outcome: Outcome) -> bool {
        self.in_flight = false;
        self.never_ran = outcome.never_ran();
        !self.released
    }
}

/// Restricts further attempts to the backends that share an earlier attempt's idempotency key.
#[derive(Clone, Copy)]
pub(crate) struct KeyBinding {
    scope: KeyScope,
    zone: u8,
    cell: u16,
}

impl KeyBinding {
    /// Whether the backend at `endpoint` shares the idempotency key.
    pub(crate) fn covers(&self, endpoint: &Endpoint) -> bool {
        match self.scope {
            KeyScope::All => true,
            KeyScope::Zone => endpoint.zone == self.zone,
            KeyScope::Cell => endpoint.cell == self.cell,
        }
    }
}

/// A request that has no final answer yet or still has attempts in flight.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct PendingRequest {
    request: Request,
    /// Class settings when the request arrived. They apply until the request ends, even if the
    /// settings change.
    class: Class,
    /// Maximum number of attempts, from the settings when the request arrived.
    max_attempts: u32,
    arrived_at: Micros,
    attempts: Vec<Attempt>,
    done: bool,
    streaming: bool,
    /// The request is held until its quota owners answer or its ceiling refills.
    awaiting_owner: bool,
    /// The quota owners are to be asked again at the next check.
    owner_query_scheduled: bool,
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

    /// Number of attempts in flight.
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

    /// Schedules another query to the quota owners for the next check. Returns false if one was
    /// scheduled already.
    pub(crate) fn schedule_owner_query(&mut self) -> bool {
        !std::mem::replace(&mut self.owner_query_scheduled, true)
    }

    /// Clears the scheduled query to the quota owners. Returns whether one was scheduled.
    pub(crate) fn take_owner_query(&mut self) -> bool {
        std::mem::take(&mut self.owner_query_scheduled)
    }

    pub(crate) fn push_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Whether the number of attempts is below the maximum.
    pub(crate) fn has_attempts_left(&self) -> bool {
        (self.attempts.len() as u32) < self.max_attempts
    }

    /// Whether the idempotency of the class permits another attempt.
    pub(crate) fn may_be_retried(&self) -> bool {
        self.class.idempotency != Idempotency::NotIdempotent || self.first_possibly_run().is_none()
    }

    /// Whether the request may be answered with a rejection, which promises the client that trying
    /// again is harmless.
    pub(crate) fn may_be_rejected(&self) -> bool {
        let repeat_is_harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        repeat_is_harmless || self.first_possibly_run().is_none()
    }

    /// The first attempt that ran or may have run.
    fn first_possibly_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }

    /// Latest time at which a further attempt may start. With an idempotency key, backends drop
    /// repeats only for a limited time after the first attempt that may have run.
    pub(crate) fn start_by(&self) -> Micros {
        match (self.class.idempotency, self.first_possibly_run()) {
            (Idempotency::WithKey { window, .. }, Some(first)) => {
                first.sent_at.saturating_add(window)
            }
            _ => Micros::MAX,
        }
    }

    /// Restriction on the backends of a further attempt; `None` permits every backend.
    pub(crate) fn key_binding(&self) -> Option<KeyBinding> {
        match (self.class.idempotency, self.first_possibly_run()) {
            (Idempotency::WithKey { scope, .. }, Some(first)) => Some(KeyBinding {
                scope,
                zone: first.endpoint.zone,
                cell: first.endpoint.cell,
            }),
            _ => None,
        }
    }

    /// Time from arrival within which an answer earns its full weight, in microseconds: the latency
    /// objective, or the time until the deadline if that is shorter.
    pub(crate) fn useful_time(&self) -> f64 {
        let wait = self.request.deadline.saturating_sub(self.arrived_at);
        self.class.latency_objective.min(wait) as f64
    }

    /// Cancels the attempts in flight, except `keep`.
    pub(crate) fn cancel_attempts(&mut self, keep: Option<u16>, actions: &mut Vec<Action>) {
        let id = self.request.id;
        for (number, attempt) in (0u16..).zip(&mut self.attempts) {
            if attempt.in_flight && !attempt.cancelled && keep != Some(number) {
                attempt.cancelled = true;
                actions.push(Action::Cancel {
                    id,
                    attempt: number,
                });
            }
        }
    }

    /// Marks the answer as streamed from `attempt`. A streaming attempt no longer occupies a slot
    /// in its pool, since a client that reads slowly must not block other requests. Returns the
    /// selection to release if the pool counted the attempt until now.
    pub(crate) fn start_streaming(&mut self, attempt: u16) -> Option<PoolSelection> {
        self.streaming = true;
        let streaming = self.attempts.get_mut(usize::from(attempt))?;
        (streaming.in_flight && streaming.release()).then_some(streaming.selection)
    }

    /// Records the outcome of an attempt; `None` if the attempt was not in flight.
    pub(crate) fn complete(&mut self, attempt: u16, outcome: Outcome) -> Option<CompletedAttempt> {
        let found = self.attempts.get_mut(usize::from(attempt));
        let ended = found.filter(|a| a.in_flight)?;
        let counted = ended.complete(outcome);
        Some(CompletedAttempt {
            backend: ended.endpoint.backend,
            release: counted.then_some(ended.selection),
        })
    }

    /// The latest attempt that is in flight and not cancelled.
    pub(crate) fn latest_active_attempt(&mut self) -> Option<&mut Attempt> {
        let mut latest = self.attempts.iter_mut().rev();
        latest.find(|a| a.in_flight && !a.cancelled)
    }
}

/// Result of [`PendingRequest::complete`].
pub(crate) struct CompletedAttempt {
    pub(crate) backend: BackendId,
    /// The pool selection to release, if the pool still counted the attempt.
    pub(crate) release: Option<PoolSelection>,
}

/// All pending requests and a queue of scheduled checks.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct PendingRequests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    scheduled_checks: BinaryHeap<Reverse<(Micros, RequestId)>>,
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

    /// Schedules a check of a request.
    pub(crate) fn schedule_check(&mut self, at: Micros, id: RequestId) {
        self.scheduled_checks.push(Reverse((at, id)));
    }

    /// Removes and returns the next request whose check is due.
    pub(crate) fn next_due(&mut self, now: Micros) -> Option<RequestId> {
        let Reverse((at, id)) = *self.scheduled_checks.peek()?;
        if at > now {
            return None;
        }
        self.scheduled_checks.pop();
        Some(id)
    }
}
