//! A turn of the event loop: all that came is read with one clock.

use super::tokens::EventSource;
use super::Ingress;
use crate::variant::Variant;
use mio::event::Event;

/// A socket that is ready.
#[derive(Clone, Copy, Debug)]
pub(super) struct Readiness {
    source: EventSource,
    writable: bool,
    /// Its other side has ended its output, or it has broken.
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
    /// The order within a turn. Discovery comes first, so that a drain that has been reported reaches the module before any
    /// send; answers come before the timers that would call them missing.
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
    /// One turn.
    pub(super) fn turn(&mut self, ready: &mut [Readiness]) {
        // Clients that have gone come before all else: nothing that this turn sends may be for them.
        for readiness in ready.iter().filter(|r| r.closed) {
            if let EventSource::Client(key) = readiness.source {
                self.clients.peer_closed(key);
            }
        }
        self.take_client_events();
        ready.sort_unstable_by_key(Readiness::order);
        let first = ready.first().map(|readiness| readiness.source);
        self.poll_discovery(first == Some(EventSource::Discovery));
        if std::mem::take(&mut self.unfinished.peers) {
            self.receive_from_peers();
        }
        self.backends.continue_reading(self.clock.now());
        self.pump();
        self.clients.continue_reading(self.now);
        self.take_client_events();
        for readiness in ready.iter() {
            self.handle_readiness(*readiness);
        }
        if std::mem::take(&mut self.unfinished.accept) {
            self.accept_clients();
        }
        self.fire_timers();
        self.clients.flush(self.now);
        self.continue_streams();
        let requests_memory = self.requests.memory_used();
        self.clients.grant_memory(requests_memory, self.now);
        self.take_client_events();
        // Last, so that the figures have all that this turn brought.
        if std::mem::take(&mut self.unfinished.operators) {
            self.accept_operators();
        }
    }

    fn handle_readiness(&mut self, ready: Readiness) {
        match ready.source {
            EventSource::Discovery | EventSource::Control => {}
            EventSource::Handover => self.unfinished.handover = true,
            EventSource::Listener => self.unfinished.accept = true,
            EventSource::Signals => self.take_signals(),
            EventSource::Peers => self.receive_from_peers(),
            EventSource::Management => self.unfinished.operators = true,
            EventSource::Operator(key) => self.operator_ready(key),
            EventSource::Counter => self.counter_ready(),
            EventSource::Backend(key) => {
                // The true time: a connection rests for less than a tick.
                let now = self.clock.now();
                self.backends.ready(key, now, ready.writable, ready.closed);
                self.pump();
            }
            EventSource::Client(key) => {
                self.clients.ready(key, self.now, ready.writable);
                self.take_client_events();
            }
        }
    }

    fn counter_ready(&mut self) {
        if let Some(counter) = &mut self.counter {
            counter.ready(self.now);
        }
        self.pump();
    }
}
