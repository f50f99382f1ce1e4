//! What a gateway shows of itself, to operators and to its host.

use super::Gateway;
use crate::customers::quota::USAGE_TIME_CONSTANT;
use crate::ids::{BackendId, CustomerId};
use crate::numeric::decay;
use crate::outlier_ejection::SUSPECT_ABOVE;

/// What customers on a plan use, as far as this gateway knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanUsage {
    /// Customers that are known.
    pub customers: u64,
    /// The most that one of them has used of late, over all gateways, in units a second.
    pub rate: f64,
    /// The most attempts that one of them has in flight.
    pub in_flight: u32,
}

/// How a backend stands with a gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendStatus {
    /// It is listed as ready for work.
    pub accepts_work: bool,
    /// The places of the classes that it is ejected for.
    pub ejected_for: Vec<usize>,
}

impl Gateway {
    /// What is used of each plan, in the order of the settings. Looks at every customer.
    pub fn plan_usage(&self) -> Vec<PlanUsage> {
        let now = self.now();
        let mut plans = vec![PlanUsage::default(); self.settings.plans.len()];
        for customer in self.customers.iter() {
            let Some(plan) = plans.get_mut(customer.plan()) else {
                continue;
            };
            let quota = &customer.quota;
            let faded = decay(quota.refilled_at(), now, USAGE_TIME_CONSTANT);
            plan.customers += 1;
            plan.rate = plan.rate.max(quota.total_rate() * faded);
            plan.in_flight = plan.in_flight.max(quota.total_in_flight());
        }
        plans
    }

    /// Whether a customer's quota, as far as it is known here, has room for so many units now.
    pub fn within_quota(&self, customer: CustomerId, units: f64) -> bool {
        let Some(customer) = self.customers.get(customer) else {
            return true;
        };
        let plan = self.settings.plans.get(customer.plan());
        let limited = plan.is_some_and(|p| p.rate > 0.0);
        !limited || customer.quota.covers(units)
    }

    /// Whether a backend accepts work, and which classes it is ejected for.
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

    /// How many backends take new work as any other: ready, not ejected for a class, and not looked
    /// past in each choice, by themselves or with their zone.
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
