//! What clients bring: connections, requests, and their leaving.

use super::Ingress;
use crate::client::{Accepted, ClientEvent, Clients, Origin};
use crate::request_metrics::RequestEnd;
use crate::requests::{Capacity, Deadlines, MAX_WAIT};
use crate::timers::Due;
use crate::variant::Variant;
use wrenfork_decision::{Event, Micros, Outcome, RequestId};
use wrenfork_wire::call::Call;

/// Time until accepting is tried again after there was no descriptor for it.
const ACCEPT_RETRY: Micros = 10_000;
/// What an answer may take on its way to the client, besides two ticks.
const ANSWER_TRANSIT: Micros = 2_000;
/// The answer to a request beyond the capacity for open ones: a retry is harmless.
const BUSY: &[u8] = b"-BUSY\r\n";

impl<V: Variant> Ingress<V> {
    pub(super) fn accept_clients(&mut self) {
        let now = self.now;
        let budget = self.budget;
        let backends = &mut self.backends;
        let connections = backends.len();
        let any_idle = backends.any_idle();
        let may = |clients: &Clients| budget.allows_accept(clients, connections, any_idle);
        let admit = |clients: &mut Clients| budget.admit_client(clients, backends, now);
        let accepted = self.clients.accept(self.poll.registry(), now, may, admit);
        match accepted {
            Accepted::All => {}
            Accepted::More => self.unfinished.accept = true,
            // The poll reports each arrival once: who waits now must not wait for the next one to come.
            Accepted::NoDescriptor => self.timers.set(now + ACCEPT_RETRY, Due::Accept),
        }
        self.take_client_events();
    }

    pub(super) fn take_client_events(&mut self) {
        while let Some(event) = self.clients.events.pop_front() {
            match event {
                ClientEvent::Request(id, origin, call) => self.take_request(id, origin, call),
                ClientEvent::Disconnected(id) => self.client_disconnected(id),
                ClientEvent::EndedEarly(class, end) => self.metrics.record(class, end),
            }
            self.pump();
        }
    }

    fn client_disconnected(&mut self, id: RequestId) {
        if let Some(open) = self.requests.incomplete(id) {
            open.complete = true;
            let streaming = open.streaming;
            self.events.push_back(Event::ClientDisconnected(id));
            // Nobody reads on: the module cancels nothing that is the client's.
            if let Some(attempt) = streaming {
                self.abandon(id, attempt, None, |_| Outcome::Cancelled);
            }
        }
        self.forget(id);
    }

    fn take_request(&mut self, id: RequestId, origin: Origin, call: Call) {
        let class = call.request.class;
        let id_hash = match self.requests.capacity_for(&call) {
            Capacity::Free(id_hash) => id_hash,
            Capacity::DuplicateId => {
                self.metrics.record(class, RequestEnd::Failed);
                return self.clients.answer_error(origin, "the id is not new");
            }
            // Never admitted, so a retry is harmless.
            Capacity::Full => {
                self.metrics.record(class, RequestEnd::Rejected);
                self.cohort_metrics.record_rejected(&call.request);
                return self.clients.answer(origin, BUSY);
            }
        };
        // The module's deadline is a little before the client's: the last answer has a way to go.
        let wait = call.wait.min(MAX_WAIT);
        let early = (2 * self.limits.tick + ANSWER_TRANSIT).min(wait / 4);
        let mut request = call.request;
        request.id = id;
        request.deadline = self.now + wait - early;
        self.routing.route(&mut request);
        // One timer for all of it: nearly every request is answered long before, and each timer costs a place in the
        // heap until its time comes.
        self.timers.set(request.deadline, Due::RequestDeadline(id));
        let deadlines = Deadlines {
            attempts: request.deadline,
            client: request.deadline + early,
        };
        let max_attempts = self.limits.max_attempts;
        self.requests
            .insert(id, call, id_hash, origin, deadlines, max_attempts);
        self.metrics.admitted += 1;
        self.events.push_back(Event::Request(request));
    }
}
