//! The decision module: it is given events, and what it asks for is carried out.

use super::Ingress;
use crate::counter::{CountCall, CountResult};
use crate::request_metrics::RequestEnd;
use crate::timers::Due;
use crate::variant::Variant;
use std::io::Write;
use wrenfork_decision::{Action, Event, GatewayId, Micros, Outcome, RequestId};

/// Room for a rejection with its Retry-After.
const MAX_REJECTION: usize = 40;
const MICROS_PER_MILLISECOND: Micros = 1_000;

impl<V: Variant> Ingress<V> {
    /// Gives the module what has come and carries out what it asks for, until neither leaves anything.
    pub(super) fn pump(&mut self) {
        loop {
            self.advance_attempts();
            self.take_count_results();
            let Some(event) = self.events.pop_front() else {
                return;
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
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

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                backend,
                expires_at,
                start_by,
            } => self.start_attempt(id, backend, expires_at, start_by),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail(id) => self.fail(id),
            Action::Cancel { id, attempt } => {
                self.abandon(id, attempt, None, |_| Outcome::Cancelled);
            }
            Action::SetTimer { delay, token } => {
                let at = self.now.saturating_add(delay);
                self.timers.set(at, Due::Module(token));
            }
            Action::SendToPeer { to, bytes } => self.send_to_peers(to, &bytes),
            Action::CheckHealth(backend) => self.start_health_check(backend),
            Action::CloseIdleConnections(backend) => self.backends.close_idle(backend),
            // The watch is always on: a real ingress must have one in any case.
            Action::WatchEndpoints(_) => {}
            Action::FetchEndpoints => self.discovery.request_full_list(),
            Action::AddToCounter {
                counter: name,
                delta,
                lifetime,
            } => self.count(CountCall {
                name,
                amount: delta,
                lifetime,
            }),
            Action::Log(event) => tracing::info!("{event}"),
        }
    }

    /// Rejects a request; `retry_after` is when to come again, 0 where that is not told.
    fn reject(&mut self, id: RequestId, retry_after: Micros) {
        let mut text = [0; MAX_REJECTION];
        let mut rest = &mut text[..];
        // What has no room is cut off, which no number is long enough for.
        let _ = match retry_after.div_ceil(MICROS_PER_MILLISECOND) {
            0 => write!(rest, "-BUSY\r\n"),
            retry_after_ms => write!(rest, "-BUSY {retry_after_ms}\r\n"),
        };
        let left = rest.len();
        self.answer(id, &text[..MAX_REJECTION - left], RequestEnd::Rejected);
    }

    /// Sends a message to one peer, or to all.
    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            for _ in 0..V::MESSAGE_COPIES {
                peers.send(to, bytes);
            }
        }
    }

    /// Calls the count service.
    fn count(&mut self, call: CountCall) {
        let Some(counter) = &mut self.counter else {
            // There is none: nothing was added.
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
