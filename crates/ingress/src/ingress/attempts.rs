//! Attempts and health checks: starting them at backends, and reporting their results to the decision module.

use super::Ingress;
use crate::backend::{Activity, AttemptEnd, ConnectionHandle, StartTimes, Started};
use crate::request_metrics::RequestEnd;
use crate::requests::Attempt;
use crate::timers::Due;
use crate::variant::Variant;
use wrenfork_decision::{BackendId, Event, Micros, Outcome, RequestId};
use wrenfork_wire::resp;

/// An attempt that ended without an answer.
struct UnansweredAttempt {
    id: RequestId,
    number: u16,
    backend: BackendId,
    started_at: Micros,
    outcome: Outcome,
    /// Whether the request already has its final answer or its client has disconnected.
    complete: bool,
}

impl UnansweredAttempt {
    /// The event that reports this attempt to the decision module.
    fn event(&self, now: Micros) -> Event {
        Event::AttemptCompleted {
            id: self.id,
            attempt: self.number,
            backend: self.backend,
            outcome: self.outcome,
            complete: self.complete,
            elapsed: now.saturating_sub(self.started_at),
            metered_usage: None,
            charged_units: None,
            report: None,
        }
    }
}

impl<V: Variant> Ingress<V> {
    /// Advances attempts with new progress: connects to the next address, established connections, streamed data and results.
    pub(super) fn advance_attempts(&mut self) {
        while let Some(connection) = self.backends.next_race() {
            self.advance_race(connection);
        }
        while let Some(attempt) = self.backends.next_established() {
            // Write the command anew: the remaining time in it was computed when the attempt started.
            let now = self.clock.now();
            if let Some(open) = self.requests.get(attempt.request) {
                let remaining = attempt.deadline.saturating_sub(now);
                self.backends.write_command(attempt.connection, now, |out| {
                    open.call.write(remaining, out)
                });
            }
        }
        while let Some(connection) = self.backends.next_stream() {
            self.forward_streamed_answer(connection);
        }
        for end in std::mem::take(&mut self.backends.ended) {
            self.handle_attempt_end(&end);
        }
    }

    /// Starts an attempt. The attempt times out at `expires_at` (0 means the request's deadline), and its last byte must be
    /// written by `write_by`.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        backend: BackendId,
        expires_at: Micros,
        write_by: Micros,
    ) {
        let now = self.now;
        let Some(open) = self.requests.get_mut(id) else {
            // The request has ended and its record is gone, so there is no attempt number.
            return self.report_unstarted_attempt(id, 0, backend, Outcome::NotSent, true);
        };
        let index = open.attempts.len();
        let number = u16::try_from(index).unwrap_or(u16::MAX);
        let deadline = if expires_at == 0 {
            open.deadline
        } else {
            expires_at.min(open.deadline)
        };
        open.attempts.push(Attempt {
            backend,
            started_at: now,
            connection: None,
            first_byte_after: None,
        });
        let complete = open.complete;
        if complete || deadline <= now || index >= open.max_attempts {
            return self.report_unstarted_attempt(id, number, backend, Outcome::NotSent, complete);
        }
        if !self.has_descriptor_for(backend) {
            return self.report_unstarted_attempt(
                id,
                number,
                backend,
                Outcome::ConnectFailed,
                false,
            );
        }
        // Measure attempts with the current time instead of `self.now`: an attempt answered within one tick would otherwise
        // appear to take no time.
        let times = StartTimes {
            now: self.clock.now(),
            write_deadline: write_by.min(deadline),
            deadline,
        };
        self.start_on_connection(id, number, backend, times);
    }

    /// Reports an attempt that ended before it had a connection.
    fn report_unstarted_attempt(
        &mut self,
        id: RequestId,
        number: u16,
        backend: BackendId,
        outcome: Outcome,
        complete: bool,
    ) {
        let attempt = UnansweredAttempt {
            id,
            number,
            backend,
            started_at: self.now,
            outcome,
            complete,
        };
        self.events.push_back(attempt.event(self.now));
    }

    fn start_on_connection(
        &mut self,
        id: RequestId,
        number: u16,
        backend: BackendId,
        times: StartTimes,
    ) {
        let wait = times.deadline - self.now;
        let activity = Activity::Attempt(id, number);
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(attempt) = open.attempt_mut(number) {
            attempt.started_at = times.now;
        }
        let registry = self.poll.registry();
        let call = &open.call;
        let started = self
            .backends
            .start(registry, backend, activity, times, |out| {
                call.write(wait, out);
                call.body()
            });
        let Some(started) = started else {
            return;
        };
        if let Some(attempt) = open.attempt_mut(number) {
            attempt.connection = Some(started.connection);
        }
        if times.deadline < open.deadline {
            let due = Due::AttemptTimeout(id, number);
            self.timers.set(times.deadline, due);
        }
        if started.connecting {
            let timeout = self.now + self.limits.connect_timeout;
            let due = Due::ConnectTimeout(started.connection);
            self.timers.set(timeout.min(times.write_deadline), due);
            self.set_race_timer(started);
        }
    }

    fn set_race_timer(&mut self, started: Started) {
        if let Some(at) = self.backends.race_due(started.connection) {
            self.timers.set(at, Due::NextAddress(started.connection));
        }
    }

    /// Starts the next connect of a race between a backend's addresses, if it is due.
    pub(super) fn advance_race(&mut self, connection: ConnectionHandle) {
        let now = self.clock.now();
        let has_descriptor = self
            .budget
            .allows_another_address(&self.clients, &self.backends);
        let registry = self.poll.registry();
        let next = self
            .backends
            .advance_race(registry, connection, now, has_descriptor);
        if let Some(at) = next {
            self.timers.set(at, Due::NextAddress(connection));
        }
    }

    fn has_descriptor_for(&mut self, backend: BackendId) -> bool {
        let now = self.clock.now();
        self.budget
            .admit_attempt(backend, now, &mut self.clients, &mut self.backends)
    }

    /// Sends a health check to a backend, or reports a failed connection if no file descriptor is available.
    pub(super) fn start_health_check(&mut self, backend: BackendId) {
        if !self.has_descriptor_for(backend) {
            return self.events.push_back(Event::HealthChecked {
                backend,
                outcome: Outcome::ConnectFailed,
                elapsed: 0,
                report: None,
            });
        }
        let deadline = self.now + self.limits.connect_timeout;
        let times = StartTimes {
            now: self.now,
            write_deadline: deadline,
            deadline,
        };
        let registry = self.poll.registry();
        let started = self
            .backends
            .start(registry, backend, Activity::HealthCheck, times, |out| {
                resp::put_array(out, 2);
                resp::put_bulk(out, &[b"INFO"]);
                resp::put_bulk(out, &[b"load"]);
                None
            });
        if let Some(started) = started {
            self.set_race_timer(started);
            let due = Due::HealthCheckTimeout(started.connection, backend, self.now);
            self.timers.set(deadline, due);
        }
    }

    /// Ends an attempt without an answer. `timed_out` is the current time if the attempt timed out, and `None` if it is
    /// cancelled. `outcome` returns the attempt's outcome, given whether its last byte had been written.
    pub(super) fn abandon_attempt(
        &mut self,
        id: RequestId,
        number: u16,
        timed_out: Option<Micros>,
        outcome: impl Fn(bool) -> Outcome,
    ) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let complete = open.complete;
        let Some(attempt) = open.attempt_mut(number) else {
            return;
        };
        let connection = attempt.connection;
        let Some(sent) = connection.and_then(|c| self.backends.abandon(c, timed_out)) else {
            return;
        };
        attempt.connection = None;
        let unanswered = UnansweredAttempt {
            id,
            number,
            backend: attempt.backend,
            started_at: attempt.started_at,
            outcome: outcome(sent),
            complete,
        };
        self.events.push_back(unanswered.event(self.clock.now()));
        self.forget_if_finished(id);
    }

    /// Handles the end of an attempt or a health check.
    fn handle_attempt_end(&mut self, end: &AttemptEnd) {
        let mut elapsed = self.clock.now().saturating_sub(end.started_at);
        let (id, number) = match end.activity {
            Activity::Attempt(id, number) => (id, number),
            Activity::HealthCheck => {
                return self.events.push_back(Event::HealthChecked {
                    backend: end.backend,
                    outcome: end.outcome,
                    elapsed,
                    report: end.report,
                })
            }
            Activity::RaceCandidate(_) => return, // the attempt or health check it belongs to reports the result
        };
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(attempt) = open.attempt_mut(number) {
            attempt.connection = None;
            // Exclude the time that the client takes to read a streamed answer.
            elapsed = attempt.first_byte_after.unwrap_or(elapsed);
        }
        if open.streaming == Some(number) && end.outcome != Outcome::Ok {
            self.abort_stream(id);
        }
        if end.outcome == Outcome::Ok {
            self.answer_with(id, &end.value);
        }
        let complete = self.requests.get(id).is_none_or(|open| open.complete);
        self.events.push_back(Event::AttemptCompleted {
            id,
            attempt: number,
            backend: end.backend,
            outcome: end.outcome,
            complete,
            elapsed,
            metered_usage: None,
            charged_units: None,
            report: end.report,
        });
        self.forget_if_finished(id);
    }

    /// Answers a request with a backend's value.
    fn answer_with(&mut self, id: RequestId, value: &[u8]) {
        if self.variant_fails(id) {
            self.fail_request(id);
        } else {
            self.answer_request(id, value, RequestEnd::Served);
        }
    }

    /// Whether this variant of the program fails a request that a backend has served. The released program never does.
    fn variant_fails(&mut self, id: RequestId) -> bool {
        if !V::FAILS_SERVED {
            return false;
        }
        let Some(open) = self.requests.get(id) else {
            return false;
        };
        let request = &open.call.request;
        let vocabulary = &self.clients.vocabulary;
        let class = vocabulary.class_name(request.class).unwrap_or_default();
        let plan = vocabulary.plan_name(request.plan).unwrap_or_default();
        let open_requests = self.requests.incomplete_count();
        self.variant.fails_served(class, plan, open_requests)
    }

    /// Removes a complete request once no attempt of it is in flight. Attempts whose last byte is not yet written are cancelled,
    /// even if the settings forbid cancelling: no client waits for them, and the backend has not started them.
    pub(super) fn forget_if_finished(&mut self, id: RequestId) {
        if let Some(number) = self.unsent_attempt(id) {
            // `abandon_attempt` calls `forget_if_finished` again, which handles the next unsent attempt.
            return self.abandon_attempt(id, number, None, |_| Outcome::NotSent);
        }
        self.requests.forget(id, self.now);
    }

    /// The number of an attempt of a complete request whose last byte is not yet written.
    fn unsent_attempt(&self, id: RequestId) -> Option<u16> {
        let open = self.requests.get(id).filter(|open| open.complete)?;
        let is_unsent = |attempt: &Attempt| {
            let connection = attempt.connection;
            connection.is_some_and(|c| self.backends.is_sent(c) == Some(false))
        };
        let index = open.attempts.iter().position(is_unsent)?;
        u16::try_from(index).ok()
    }
}
