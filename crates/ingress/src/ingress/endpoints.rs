//! Receives endpoint lists from discovery and messages from peers, and passes them to the decision module.

use super::Ingress;
use crate::discovery::EndpointList;
use crate::variant::Variant;
use wrenfork_decision::{EndpointListKind, Event};

impl<V: Variant> Ingress<V> {
    /// Processes responses from discovery if its socket is `ready`, and sends the next request if one is due.
    pub(super) fn poll_discovery(&mut self, ready: bool) {
        let now = self.now;
        let registry = self.poll.registry();
        let mut lists = Vec::new();
        let mut failed = ready
            && self
                .discovery
                .ready(now, registry, &mut |list| lists.push(list));
        failed |= self.discovery.wake(now, registry);
        for list in lists {
            let kind = if list.is_full {
                EndpointListKind::Full
            } else {
                EndpointListKind::Delta
            };
            self.update_endpoints(list, kind);
        }
        if failed && self.limits.polls_discovery {
            let event = Event::EndpointsChanged(EndpointListKind::Failed, Vec::new());
            self.events.push_back(event);
        }
        self.process_events();
    }

    /// Assigns the endpoints of a list to pools, updates the backends, and queues the list for the decision module.
    pub(super) fn update_endpoints(&mut self, mut list: EndpointList, kind: EndpointListKind) {
        self.routing.assign_pools(&mut list);
        self.backends.update(&list);
        if kind != EndpointListKind::Delta || !list.endpoints.is_empty() {
            let listed = list
                .endpoints
                .iter()
                .map(|endpoint| endpoint.listed)
                .collect();
            self.events.push_back(Event::EndpointsChanged(kind, listed));
        }
    }

    pub(super) fn receive_from_peers(&mut self) {
        let events = &mut self.events;
        if let Some(peers) = &mut self.peers {
            self.unfinished.peers |=
                peers.receive(|from, bytes| events.push_back(Event::PeerMessage { from, bytes }));
        }
        self.process_events();
    }
}
