//! Status of a gateway for its operators and its host.

use super::Gateway;
use crate::customers::quota::USAGE_TIME_CONSTANT;
use crate::ids::{BackendId, CustomerId};
use crate::numeric::decay;
use crate::outlier_ejection::SUSPECT_ABOVE;

/// Usage by the customers on a plan, as far as this gateway knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanUsage {
    /// Number of customers known to this gateway.
    pub customers: u64,
    /// Highest recent usage of a single customer over all gateways, in units per second.
    pub rate: f64,
    /// Highest number of attempts that a single customer has in flight.
    pub in_flight: u32,
}

/// How a gateway currently treats a backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendStatus {
    /// Whether the backend is listed as ready for work.
    pub accepts_work: bool,
    /// Indexes of the classes that the backend is ejected for.
    pub ejected_for: Vec<usize>,
}

impl Gateway {
    /// Usage of each plan, in the order of the settings. Visits every customer.
    pub fn plan_usage(&self) -> Vec<PlanUsage> {
        let now = self.now();
        let mut plans = vec![PlanUsage::default(); self.settings.plans.len()];
        for customer in self.customers.iter() {
            let Some(plan) = plans.get_mut(customer.plan()) else {
                continue;
            };
            let quota = &customer.quota;
            let decay_factor = decay(quota.refilled_at(), now, USAGE_TIME_CONSTANT);
            plan.customers += 1;
            plan.rate = plan.rate.max(quota.total_rate() * decay_factor);
            plan.in_flight = plan.in_flight.max(quota.total_in_flight());
        }
        plans
    }

    /// Whether a customer's quota, as known here, has room for `units` now. Always true for unknown
    /// customers and for plans without a rate quota.
    pub fn within_quota(&self, customer: CustomerId, units: f64) -> bool {
        let Some(customer) = self.customers.get(customer) else {
            return true;
        };
        let plan = self.settings.plans.get(customer.plan());
        let limited = plan.is_some_and(|p| p.rate > 0.0);
        !limited || customer.quota.covers(units)
    }

    /// Status of a backend. An unknown backend accepts no work and is not ejected.
    pub fn backend_status(&self, id: BackendId) -> BackendStatus {
        let Some(backend) = self.backends.get(id) else {
            return BackendStatus::default();
        };
        let classes = backend.health().iter().enumerate();
        let ejected = classes.filter(|(_, h)| h.is_ejected(self.now()));
        BackendStatus {
            accepts_work: backend.is_ready(),
            ejected_for: ejected.map(|(class, _)| class).collect(),
        }
    }

    /// Number of backends that receive new work without restriction: ready, not ejected for any
    /// class, and not avoided because of their own error rate or that of their zone.
    pub fn backends_in_rotation(&self) -> usize {
        let now = self.now();
        let ready = self.backends.ready();
        let in_rotation = ready.filter(|(_, backend)| {
            let zone_errors = self.zones.error_rate(backend.endpoint().zone, now);
            let outlier = backend
                .health()
                .iter()
                .any(|h| h.is_ejected(now) || h.error_rate(now) > SUSPECT_ABOVE);
            !outlier && zone_errors <= SUSPECT_ABOVE
        });
        in_rotation.count()
    }
}
