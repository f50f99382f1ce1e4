//! One turn of the event loop: processes all readiness events of a poll with the same timestamp.

use super::tokens::EventSource;
use super::Ingress;
use crate::backend::BackendReadiness;
use crate::variant::Variant;
use mio::event::Event;

/// A readiness event of a socket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Readiness {
    source: EventSource,
    writable: bool,
    /// Whether the other side has closed its sending direction, or the socket has an error.
    closed: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Readiness {
        Readiness {
            source: event.token().into(),
            writable: event.is_writable(),
            closed: event.is_read_closed() || event.is_error(),
        }
    }
}

impl Readiness {
    /// Sort key for the order within a turn. Discovery comes first, so that the decision module learns of a drain before it sends
    /// anything to the draining backend. Answers from backends come before the timers that would report them as timed out.
    fn order(&self) -> u8 {
        match self.source {
            EventSource::Discovery => 0,
            EventSource::Backend(_) => 1,
            EventSource::Peers => 2,
            _ => 3,
        }
    }
}

impl<V: Variant> Ingress<V> {
    /// Processes the readiness events of one poll, then unfinished work and expired timers.
    pub(super) fn run_turn(&mut self, ready: &mut [Readiness]) {
        // Handle disconnected clients first, so that nothing is sent on their behalf in this turn.
        for readiness in ready.iter().filter(|readiness| readiness.closed) {
            if let EventSource::Client(key) = readiness.source {
                self.clients.peer_closed(key);
            }
        }
        self.take_client_events();
        ready.sort_unstable_by_key(Readiness::order);
        let first_source = ready.first().map(|readiness| readiness.source);
        self.poll_discovery(first_source == Some(EventSource::Discovery));
        if std::mem::take(&mut self.unfinished.peers) {
            self.receive_from_peers();
        }
        self.backends.continue_reading(self.clock.now());
        self.process_events();
        for key in self.clients.take_read_queue() {
            self.clients.continue_reading(key, self.now);
            // The requests of a connection must not add up with those of all others.
            self.take_client_events();
        }
        for readiness in ready.iter() {
            self.handle_readiness(*readiness);
        }
        if std::mem::take(&mut self.unfinished.accept) {
            self.accept_clients();
        }
        self.fire_timers();
        self.clients.flush(self.now);
        self.continue_streams();
        self.check_waiting_answers();
        self.resume_deferred_answers();
        let requests_memory = self.requests.memory_used();
        self.clients.grant_memory(requests_memory, self.now);
        self.take_client_events();
        // Answer operators last, so that the reported metrics include everything from this turn.
        if std::mem::take(&mut self.unfinished.operators) {
            self.accept_operators();
        }
    }

    fn handle_readiness(&mut self, readiness: Readiness) {
        match readiness.source {
            EventSource::Discovery | EventSource::Control => {}
            EventSource::Handover => self.unfinished.handover = true,
            EventSource::Listener => self.unfinished.accept = true,
            EventSource::Signals => self.handle_signals(),
            EventSource::Peers => self.receive_from_peers(),
            EventSource::Management => self.unfinished.operators = true,
            EventSource::Operator(key) => self.operator_ready(key),
            EventSource::Counter => self.counter_ready(),
            EventSource::Backend(key) => {
                // Use the current time instead of `self.now`: a connection that has carried an answer is reused after less than
                // a tick.
                let now = self.clock.now();
                let backend_readiness = BackendReadiness {
                    writable: readiness.writable,
                    closed: readiness.closed,
                    may_read: self.may_read_answer(key),
                };
                self.backends.ready(key, now, backend_readiness);
                self.process_events();
                // Answers that clients can read at once must not add up until the end of the turn.
                if self.clients.is_memory_short() {
                    self.clients.flush(self.now);
                }
            }
            EventSource::Client(key) => {
                self.clients.ready(key, self.now, readiness.writable);
                self.take_client_events();
            }
        }
    }

    fn counter_ready(&mut self) {
        if let Some(counter) = &mut self.counter {
            counter.ready(self.now);
        }
        self.process_events();
    }
}
