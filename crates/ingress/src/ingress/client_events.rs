//! Events from clients: new connections, requests and disconnects.

use super::Ingress;
use crate::client::{Accepted, ClientEvent, Clients, Origin};
use crate::request_metrics::RequestEnd;
use crate::requests::{Capacity, Deadlines, MAX_WAIT};
use crate::timers::Due;
use crate::variant::Variant;
use wrenfork_decision::{Event, Micros, Outcome, RequestId};
use wrenfork_wire::call::Call;

/// Delay before accepting again after file descriptors ran out.
const ACCEPT_RETRY: Micros = 10_000;
/// Time reserved for sending an answer to the client, in addition to two ticks.
const ANSWER_TRANSIT: Micros = 2_000;
/// Answer to a request beyond the limit of open requests. Retrying is safe, since the request was never admitted.
const BUSY: &[u8] = b"-BUSY\r\n";

impl<V: Variant> Ingress<V> {
    pub(super) fn accept_clients(&mut self) {
        let now = self.now;
        let budget = self.budget;
        let backends = &mut self.backends;
        let connections = backends.len();
        let any_idle = backends.any_idle();
        let may_accept = |clients: &Clients| budget.allows_accept(clients, connections, any_idle);
        let admit = |clients: &mut Clients| budget.admit_client(clients, backends, now);
        let accepted = self
            .clients
            .accept(self.poll.registry(), now, may_accept, admit);
        match accepted {
            Accepted::All => {}
            Accepted::More => self.unfinished.accept = true,
            // The poll is edge-triggered: without a timer, waiting clients would be accepted only when another one connects.
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
            self.process_events();
        }
    }

    fn client_disconnected(&mut self, id: RequestId) {
        if let Some(open) = self.requests.incomplete(id) {
            open.complete = true;
            let streaming = open.streaming;
            self.events.push_back(Event::ClientDisconnected(id));
            // No client reads the streamed answer any more, and the decision module doesn't cancel its attempt.
            if let Some(attempt) = streaming {
                self.abandon_attempt(id, attempt, None, |_| Outcome::Cancelled);
            }
        }
        self.forget_if_finished(id);
    }

    fn take_request(&mut self, id: RequestId, origin: Origin, call: Call) {
        let class = call.request.class;
        let id_hash = match self.requests.capacity_for(&call) {
            Capacity::Free(id_hash) => id_hash,
            Capacity::DuplicateId => {
                self.metrics.record(class, RequestEnd::Failed);
                return self.clients.answer_error(origin, "the id is not new");
            }
            Capacity::Full => {
                self.metrics.record(class, RequestEnd::Rejected);
                self.cohort_metrics.record_rejected(&call.request);
                return self.clients.answer(origin, BUSY);
            }
        };
        // The module's deadline is slightly before the client's, so that a late answer still reaches the client in time.
        let max_wait = call.wait.min(MAX_WAIT);
        let margin = (2 * self.limits.tick + ANSWER_TRANSIT).min(max_wait / 4);
        let mut request = call.request;
        request.id = id;
        request.deadline = self.now + max_wait - margin;
        self.routing.route(&mut request);
        let requests = &self.requests;
        self.timers
            .remove_stale(requests.count(), |id| requests.get(id).is_some());
        // Set a single timer per request: nearly every request is answered long before its deadline, and each timer occupies a
        // heap entry until it expires.
        self.timers.set(request.deadline, Due::RequestDeadline(id));
        let deadlines = Deadlines {
            attempts: request.deadline,
            client: request.deadline + margin,
        };
        let max_attempts = self.limits.max_attempts;
        self.requests
            .insert(id, call, id_hash, origin, deadlines, max_attempts);
        self.metrics.admitted += 1;
        self.events.push_back(Event::Request(request));
    }
}
