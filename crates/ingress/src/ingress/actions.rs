//! Passes events to the decision module and executes the actions that it returns.

use super::Ingress;
use crate::counter::{CountCall, CountResult};
use crate::request_metrics::RequestEnd;
use crate::timers::Due;
use crate::variant::Variant;
use std::io::Write;
use wrenfork_decision::{Action, Event, GatewayId, Micros, Outcome, RequestId};

/// Maximum size in bytes of a rejection, including the retry delay.
const MAX_REJECTION_LEN: usize = 40;
const MICROS_PER_MILLISECOND: Micros = 1_000;

impl<V: Variant> Ingress<V> {
    /// Passes pending events to the decision module and executes its actions, until no events are left.
    pub(super) fn process_events(&mut self) {
        loop {
            self.advance_attempts();
            self.take_count_results();
            let Some(event) = self.events.pop_front() else {
                return;
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
            self.actions = actions;
        }
    }

    fn take_count_results(&mut self) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let results = counter.results.drain(..);
        self.events.extend(results.map(|result| {
            let CountResult {
                name,
                outcome,
                total,
            } = result;
            Event::CounterUpdated {
                counter: name,
                outcome,
                total,
            }
        }));
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                backend,
                expires_at,
                start_by,
            } => self.start_attempt(id, backend, expires_at, start_by),
            Action::Reject { id, retry_after } => self.reject_request(id, retry_after),
            Action::Fail(id) => self.fail_request(id),
            Action::Cancel { id, attempt } => {
                self.abandon_attempt(id, attempt, None, |_| Outcome::Cancelled);
            }
            Action::SetTimer { delay, token } => {
                let at = self.now.saturating_add(delay);
                self.timers.set(at, Due::Module(token));
            }
            Action::SendToPeer { to, bytes } => self.send_to_peers(to, &bytes),
            Action::CheckHealth(backend) => self.start_health_check(backend),
            Action::CloseIdleConnections(backend) => self.backends.close_idle(backend),
            // The discovery client watches the endpoint list all the time, so there is nothing to start.
            Action::WatchEndpoints(_) => {}
            Action::FetchEndpoints => self.discovery.request_full_list(),
            Action::AddToCounter {
                counter: name,
                delta,
                lifetime,
            } => self.add_to_counter(CountCall {
                name,
                amount: delta,
                lifetime,
            }),
            Action::Log(event) => tracing::info!("{event}"),
        }
    }

    /// Rejects a request. `retry_after` is the delay after which the client should retry; 0 sends none.
    fn reject_request(&mut self, id: RequestId, retry_after: Micros) {
        let mut text = [0; MAX_REJECTION_LEN];
        let mut unwritten = &mut text[..];
        // Writing can't fail: the longest possible number fits into the buffer.
        let _ = match retry_after.div_ceil(MICROS_PER_MILLISECOND) {
            0 => write!(unwritten, "-BUSY\r\n"),
            retry_after_ms => write!(unwritten, "-BUSY {retry_after_ms}\r\n"),
        };
        let unused = unwritten.len();
        self.answer_request(
            id,
            &text[..MAX_REJECTION_LEN - unused],
            RequestEnd::Rejected,
        );
    }

    /// Sends a message to one peer, or to all peers if `to` is `None`.
    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            for _ in 0..V::MESSAGE_COPIES {
                peers.send(to, bytes);
            }
        }
    }

    /// Sends an increment to the count service, or reports a failed connection if none is configured.
    fn add_to_counter(&mut self, call: CountCall) {
        let Some(counter) = &mut self.counter else {
            // No count service is configured, so nothing was added.
            return self.events.push_back(Event::CounterUpdated {
                counter: call.name,
                outcome: Outcome::ConnectFailed,
                total: 0.0,
            });
        };
        if let Some(at) = counter.call(call, self.now, self.poll.registry()) {
            self.timers.set(at, Due::CountTimeout);
        }
    }
}
