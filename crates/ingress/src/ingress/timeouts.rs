//! Handles expired timers.

use super::{Ingress, SWEEP_INTERVAL};
use crate::backend::ConnectionHandle;
use crate::requests::OpenRequest;
use crate::timers::Due;
use crate::variant::Variant;
use wrenfork_decision::{BackendId, Event, Micros, Outcome, RequestId};

/// The outcome of an attempt or a health check that timed out. The backend can have executed it only if its last byte was
/// written (`sent`).
fn timeout_outcome(sent: bool) -> Outcome {
    if sent {
        Outcome::TimedOut
    } else {
        Outcome::ConnectFailed
    }
}

impl<V: Variant> Ingress<V> {
    pub(super) fn fire_timers(&mut self) {
        for due in self.timers.take(self.now) {
            self.handle_timer(due);
            self.process_events();
        }
    }

    fn handle_timer(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer(token)),
            Due::AttemptTimeout(id, attempt) => self.time_out_attempt(id, attempt),
            Due::RequestDeadline(id) => self.handle_request_deadline(id),
            Due::ClientDeadline(id) => {
                let streaming = self
                    .requests
                    .get(id)
                    .is_some_and(|open| open.streaming.is_some());
                if !streaming {
                    self.handle_client_deadline(id);
                }
            }
            Due::ConnectTimeout(connection) => {
                self.backends.connect_timed_out(connection, self.now);
            }
            Due::NextAddress(connection) => self.advance_race(connection),
            Due::HealthCheckTimeout(connection, backend, started_at) => {
                self.time_out_health_check(connection, backend, started_at);
            }
            Due::CountTimeout => {
                if let Some(counter) = &mut self.counter {
                    counter.time_out(self.now);
                }
            }
            Due::Sweep => self.sweep(),
            Due::Accept => self.accept_clients(),
            Due::Reload => self.reload(),
            Due::StopAccepting => self.stop_accepting(),
            Due::FailOpenRequests => self.fail_open_requests(),
        }
    }

    /// Ends an attempt that has reached its timeout.
    fn time_out_attempt(&mut self, id: RequestId, attempt: u16) {
        let streaming = self.requests.get(id).and_then(|open| open.streaming);
        if streaming == Some(attempt) {
            return; // a streamed answer is ended only by a stall, not by this timeout
        }
        self.abandon_attempt(id, attempt, Some(self.now), timeout_outcome);
    }

    /// Ends the attempts of a request that has reached the decision module's deadline.
    fn handle_request_deadline(&mut self, id: RequestId) {
        let open = self.requests.get(id);
        let Some(open) = open.filter(|open| open.streaming.is_none()) else {
            return;
        };
        let attempts = u16::try_from(open.attempts.len()).unwrap_or(u16::MAX);
        self.timers
            .set(open.client_deadline, Due::ClientDeadline(id));
        for attempt in 0..attempts {
            self.time_out_attempt(id, attempt);
        }
    }

    /// Fails a request that has no final answer at the client's deadline. The decision module should always end a request before
    /// that; this ensures that the client gets an answer in any case.
    fn handle_client_deadline(&mut self, id: RequestId) {
        if self.requests.incomplete(id).is_some() {
            self.fail_request(id);
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    fn time_out_health_check(
        &mut self,
        connection: ConnectionHandle,
        backend: BackendId,
        started_at: Micros,
    ) {
        if let Some(sent) = self.backends.abandon(connection, Some(self.now)) {
            self.events.push_back(Event::HealthChecked {
                backend,
                outcome: timeout_outcome(sent),
                elapsed: self.now - started_at,
                report: None,
            });
        }
    }

    /// Logs how many requests are still open at the end of a shutdown, and whether their answers have arrived.
    fn log_open_requests(&self) {
        let open = self.requests.incomplete_requests();
        let (streaming, waiting): (Vec<_>, Vec<_>) =
            open.partition(|open| open.streaming.is_some());
        let has_complete_answer = |open: &&OpenRequest| {
            let connection = open.streaming_connection();
            connection.is_some_and(|handle| self.backends.has_complete_answer(handle))
        };
        let complete = streaming
            .iter()
            .copied()
            .filter(has_complete_answer)
            .count();
        if !(streaming.is_empty() && waiting.is_empty()) {
            tracing::warn!(
                without_answer = waiting.len(),
                with_complete_answer = complete,
                with_partial_answer = streaming.len() - complete,
                "stopping: requests still open at the end"
            );
        }
    }

    fn sweep(&mut self) {
        let now = self.now;
        self.backends.sweep(now);
        self.clients.sweep(now);
        self.requests.sweep(now);
        self.bind_free_addresses();
        if let Some(management) = &mut self.management {
            management.sweep(now);
        }
        if let Some(counter) = &mut self.counter {
            counter.sweep(now);
        }
        self.timers.set(now + SWEEP_INTERVAL, Due::Sweep);
    }

    fn stop_accepting(&mut self) {
        self.accept_clients(); // serve the connections that the kernel has already accepted
        let accepting =
            self.shutdown
                .keeps_accepting(self.now, self.clients.accepted_at, &mut self.timers);
        self.clients.drain(self.now, accepting);
        self.take_client_events();
    }

    /// Fails the requests that are still open near the end of a shutdown. Answers that are complete or partly forwarded may
    /// still be sent until the process exits; what is then left of them fails too.
    fn fail_open_requests(&mut self) {
        self.clients.reject_all();
        let is_last = self.shutdown.must_exit(self.now);
        if !is_last {
            self.log_open_requests();
            let exit_at = self.shutdown.exit_at();
            self.timers.set(exit_at, Due::FailOpenRequests);
        }
        for id in self.requests.ids_by_arrival() {
            if is_last || !self.can_still_be_answered(id) {
                self.handle_client_deadline(id);
            }
        }
    }

    /// Whether a request's answer has arrived completely or is partly forwarded.
    fn can_still_be_answered(&self, id: RequestId) -> bool {
        let Some(open) = self.requests.get(id) else {
            return false;
        };
        let Some(connection) = open.streaming_connection() else {
            return false;
        };
        self.clients.has_begun_stream(open.origin) || self.backends.has_complete_answer(connection)
    }
}
