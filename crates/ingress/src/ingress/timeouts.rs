//! Timers that fall due.

use super::{Ingress, SWEEP_INTERVAL};
use crate::backend::ConnectionHandle;
use crate::timers::Due;
use crate::variant::Variant;
use wrenfork_decision::{BackendId, Event, Micros, Outcome, RequestId};

/// What a timeout means for an attempt: it may have run only if its last byte was written.
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
            self.fire(due);
            self.pump();
        }
    }

    fn fire(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer(token)),
            Due::AttemptTimeout(id, attempt) => self.time_out_attempt(id, attempt),
            Due::RequestDeadline(id) => self.request_deadline(id),
            Due::ClientDeadline(id) => {
                let streaming = self.requests.get(id).is_some_and(|o| o.streaming.is_some());
                if !streaming {
                    self.client_deadline(id);
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

    /// Gives an attempt up whose time is over.
    fn time_out_attempt(&mut self, id: RequestId, attempt: u16) {
        let streaming = self.requests.get(id).and_then(|o| o.streaming);
        if streaming == Some(attempt) {
            return; // from its first byte on nothing but a standstill ends it
        }
        self.abandon(id, attempt, Some(self.now), timeout_outcome);
    }

    /// Gives up the attempts of a request.
    fn request_deadline(&mut self, id: RequestId) {
        let open = self.requests.get(id);
        let Some(open) = open.filter(|o| o.streaming.is_none()) else {
            return;
        };
        let attempts = u16::try_from(open.attempts.len()).unwrap_or(u16::MAX);
        self.timers
            .set(open.client_deadline, Due::ClientDeadline(id));
        for attempt in 0..attempts {
            self.time_out_attempt(id, attempt);
        }
    }

    /// A request without its final answer when the client's time is over is failed: the module should never let it
    /// come to this, but no client is left without an answer.
    fn client_deadline(&mut self, id: RequestId) {
        if self.requests.incomplete(id).is_some() {
            self.fail(id);
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

    fn sweep(&mut self) {
        let now = self.now;
        self.backends.sweep(now);
        self.clients.sweep(now);
        self.requests.sweep(now);
        self.occupy_free_addresses();
        if let Some(management) = &mut self.management {
            management.sweep(now);
        }
        if let Some(counter) = &mut self.counter {
            counter.sweep(now);
        }
        self.timers.set(now + SWEEP_INTERVAL, Due::Sweep);
    }

    fn stop_accepting(&mut self) {
        self.accept_clients(); // those that the kernel accepted meanwhile are ours as well
        let accepting =
            self.shutdown
                .keeps_accepting(self.now, self.clients.accepted_at, &mut self.timers);
        self.clients.drain(self.now, accepting);
        self.take_client_events();
    }

    fn fail_open_requests(&mut self) {
        self.clients.reject_all();
        for id in self.requests.ids() {
            self.client_deadline(id);
        }
    }
}
