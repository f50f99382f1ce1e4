//! Updates of the endpoint list: which backends exist, and which pools contain them.

use super::Gateway;
use crate::action::Action;
use crate::event::{Endpoint, EndpointListKind};
use crate::gossip::codec::backend_tag;
use crate::numeric::unit_hash;
use crate::pools::routing::is_in_pool;

/// Divisor of the maximum poll interval that gives the delay until the next poll after a failed
/// one.
const FAILED_POLL_RETRIES_PER_INTERVAL: u64 = 8;

impl Gateway {
    pub(super) fn on_endpoints_changed(
        &mut self,
        kind: EndpointListKind,
        list: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            let delay = self.settings.rules.max_poll_interval / FAILED_POLL_RETRIES_PER_INTERVAL;
            self.next_poll_at = self.next_poll_at.min(self.now() + delay.max(1));
            return;
        }
        if kind != EndpointListKind::Delta {
            self.backends.clear_ready(); // a backend missing from a complete list is gone
        }
        let classes = self.settings.classes.len();
        for endpoint in list {
            let is_new = self
                .backends
                .apply_endpoint(endpoint, classes, self.settings.weights);
            if is_new {
                self.zones.forget(endpoint.zone);
            }
        }
        self.backends.finish_list_update(|id| backend_tag(id.0));
        self.assign_pools();
        self.update_capacity();
        self.dispatch_queues(actions);
    }

    /// Assigns each pool its ready backends. Their order differs from gateway to gateway, so that
    /// gateways prefer different backends.
    fn assign_pools(&mut self) {
        let now = self.now();
        let seed = u64::from(self.id()) << 48;
        let backends = &self.backends;
        let sort_key = |index: &usize| unit_hash(backends.at(*index).id().0 ^ seed);
        for (number, pool) in self.pools.iter_mut().enumerate() {
            let ready = || {
                let all = backends.ready();
                all.filter(move |(_, b)| is_in_pool(b.endpoint(), number))
            };
            let mut indexes: Vec<usize> = ready().map(|(index, _)| index).collect();
            indexes.sort_by(|a, b| sort_key(a).total_cmp(&sort_key(b)));
            let weight = ready().map(|(_, b)| b.weight()).sum();
            pool.set_members(indexes, weight, now);
        }
    }
}
