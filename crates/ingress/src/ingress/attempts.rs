//! Attempts and health checks: their start at backends, and how they end.

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
    /// The request has its final answer, or its client has disconnected.
    complete: bool,
}

impl UnansweredAttempt {
    /// The event for the module.
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
    /// Goes on with attempts in which something has happened.
    pub(super) fn advance_attempts(&mut self) {
        while let Some(connection) = self.backends.next_race() {
            self.advance_race(connection);
        }
        while let Some(attempt) = self.backends.next_established() {
            // What its command says of the time left is as old as its start.
            let now = self.clock.now();
            if let Some(open) = self.requests.get(attempt.request) {
                let left = attempt.deadline.saturating_sub(now);
                self.backends
                    .write_command(attempt.connection, now, |out| open.call.write(left, out));
            }
        }
        while let Some(connection) = self.backends.next_stream() {
            self.pass_on(connection);
        }
        for end in std::mem::take(&mut self.backends.ended) {
            self.attempt_ended(&end);
        }
    }

    /// Starts an attempt, which is given up at `expires` (0 stands for the request's deadline) and has to be written to its last
    /// byte by `write_by`.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        backend: BackendId,
        expires: Micros,
        write_by: Micros,
    ) {
        let now = self.now;
        let Some(open) = self.requests.get_mut(id) else {
            // Ended and forgotten: there is no attempt to count.
            return self.attempt_not_started(id, 0, backend, Outcome::NotSent, true);
        };
        let index = open.attempts.len();
        let number = u16::try_from(index).unwrap_or(u16::MAX);
        let deadline = if expires == 0 {
            open.deadline
        } else {
            expires.min(open.deadline)
        };
        open.attempts.push(Attempt {
            backend,
            started_at: now,
            connection: None,
            first_byte_after: None,
        });
        let complete = open.complete;
        if complete || deadline <= now || index >= open.max_attempts {
            return self.attempt_not_started(id, number, backend, Outcome::NotSent, complete);
        }
        if !self.has_descriptor_for(backend) {
            return self.attempt_not_started(id, number, backend, Outcome::ConnectFailed, false);
        }
        // How long an attempt takes is measured to the microsecond: by the turns' clock one that is answered within
        // a tick would take no time at all.
        let times = StartTimes {
            now: self.clock.now(),
            write_deadline: write_by.min(deadline),
            deadline,
        };
        self.start_on_connection(id, number, backend, times);
    }

    /// An attempt ends before it has a connection.
    fn attempt_not_started(
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

    /// Goes on with the connects to a backend that has several addresses.
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

    /// Starts a health check.
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

    /// Cancels an attempt, or gives it up. `timed_out` is the time where that is because its answer has not come; `outcome` says
    /// what is known of it, by whether its last byte had been written.
    pub(super) fn abandon(
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
        self.forget(id);
    }

    /// An attempt or a health check has ended.
    fn attempt_ended(&mut self, end: &AttemptEnd) {
        let mut took = self.clock.now().saturating_sub(end.started_at);
        let (id, number) = match end.activity {
            Activity::Attempt(id, number) => (id, number),
            Activity::HealthCheck => {
                return self.events.push_back(Event::HealthChecked {
                    backend: end.backend,
                    outcome: end.outcome,
                    elapsed: took,
                    report: end.report,
                })
            }
            Activity::RaceCandidate(_) => return, // it has nothing of its own to end
        };
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(attempt) = open.attempt_mut(number) {
            attempt.connection = None;
            // How long a client reads says nothing of the backend.
            took = attempt.first_byte_after.unwrap_or(took);
        }
        if open.streaming == Some(number) && end.outcome != Outcome::Ok {
            self.abort_stream(id);
        }
        if end.outcome == Outcome::Ok {
            self.answer_with(id, &end.value);
        }
        let complete = self.requests.get(id).is_none_or(|o| o.complete);
        self.events.push_back(Event::AttemptCompleted {
            id,
            attempt: number,
            backend: end.backend,
            outcome: end.outcome,
            complete,
            elapsed: took,
            metered_usage: None,
            charged_units: None,
            report: end.report,
        });
        self.forget(id);
    }

    /// Answers a request with the first value that a backend gives.
    fn answer_with(&mut self, id: RequestId, value: &[u8]) {
        if self.variant_fails(id) {
            self.fail(id);
        } else {
            self.answer(id, value, RequestEnd::Served);
        }
    }

    /// Whether this version of the program fails a request that was served; the shipped one never does.
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
        let open = self.requests.incomplete_count();
        self.variant.fails_served(class, plan, open)
    }

    /// Forgets a request that is complete once it has no attempt under way. What is not written to its last byte by then is
    /// cancelled here, also where the settings let nothing be cancelled: nobody waits for it, and it has not begun.
    pub(super) fn forget(&mut self, id: RequestId) {
        if let Some(number) = self.unsent_attempt(id) {
            // It comes back here, for the next one.
            return self.abandon(id, number, None, |_| Outcome::NotSent);
        }
        self.requests.forget(id, self.now);
    }

    /// An attempt of a complete request that is not written to its last byte.
    fn unsent_attempt(&self, id: RequestId) -> Option<u16> {
        let open = self.requests.get(id).filter(|o| o.complete)?;
        let is_unsent = |attempt: &Attempt| {
            let connection = attempt.connection;
            connection.is_some_and(|c| self.backends.is_sent(c) == Some(false))
        };
        let index = open.attempts.iter().position(is_unsent)?;
        u16::try_from(index).ok()
    }
}
