//! The endpoint list: which backends there are, and which are in which pool.

use super::Gateway;
use crate::action::Action;
use crate::event::{Endpoint, EndpointListKind};
use crate::gossip::codec::backend_tag;
use crate::numeric::unit_hash;
use crate::pools::routing::is_in_pool;

/// Discovery is polled again after this part of the longest interval when a call failed (ours).
const RETRIES_PER_INTERVAL: u64 = 8;

impl Gateway {
    pub(super) fn on_endpoints_changed(
        &mut self,
        kind: EndpointListKind,
        list: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            let retry = self.settings.rules.max_poll_interval / RETRIES_PER_INTERVAL;
            self.poll_at = self.poll_at.min(self.now() + retry.max(1));
            return;
        }
        if kind != EndpointListKind::Delta {
            self.backends.clear_ready(); // absent from a complete list: gone
        }
        let classes = self.settings.classes.len();
        for endpoint in list {
            let new = self
                .backends
                .apply_endpoint(endpoint, classes, self.settings.weights);
            if new {
                self.zones.forget(endpoint.zone);
            }
        }
        self.backends.finish_list_update(|id| backend_tag(id.0));
        self.assign_pools();
        self.count_capacity();
        self.dispatch_queues(actions);
    }

    /// Gives each pool its ready backends, in an order of this gateway's own: neighbours send to
    /// others first.
    fn assign_pools(&mut self) {
        let now = self.now();
        let gateway = u64::from(self.id()) << 48;
        let backends = &self.backends;
        let order = |place: &usize| unit_hash(backends.at(*place).id().0 ^ gateway);
        for (number, pool) in self.pools.iter_mut().enumerate() {
            let ready = || {
                let all = backends.ready();
                all.filter(move |(_, b)| is_in_pool(b.endpoint(), number))
            };
            let mut places: Vec<usize> = ready().map(|(place, _)| place).collect();
            places.sort_by(|a, b| order(a).total_cmp(&order(b)));
            let weight = ready().map(|(_, b)| b.weight()).sum();
            pool.set_members(places, weight, now);
        }
    }
}
