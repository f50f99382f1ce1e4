//! New settings. Requests that are pending end under their class as it was; buckets are refilled by
//! the old figures till now.

use super::Gateway;
use crate::settings::{Plan, Settings};

impl Gateway {
    pub(super) fn on_settings_changed(&mut self, mut new: Settings) {
        let now = self.now();
        self.keep_old_places(&mut new);
        for (_, customer) in self.customers.iter_mut() {
            let plan = customer.plan();
            let old = &self.settings.plans[plan];
            customer.refill(now, old);
            customer.carry_over(old, &new.plans[plan]);
        }
        // A name that comes back with another idempotency is another class: nothing of the old one
        // is its.
        let known = self.settings.classes.iter().zip(&new.classes);
        for (class, (old, new)) in known.enumerate() {
            if old.idempotency != new.idempotency {
                self.latency.reset(class, new, now);
                self.backends.reset_class(class);
            }
        }
        self.latency.extend(&new.classes, now);
        self.backends.resize_classes(new.classes.len());
        self.settings.classes = new.classes;
        self.settings.plans = new.plans;
        self.settings.rules = new.rules;
        self.settings.limits = new.limits;
        self.settings.name_digests = new.name_digests;
        self.clock.settings_changed_at = now;
        // Pools that went are in no request that comes.
        self.pools.grow(usize::from(new.pool_count));
    }

    /// Places beyond the end may be in use still; what they were sold for must not count in load
    /// shedding.
    fn keep_old_places(&self, new: &mut Settings) {
        let weight_factor = new.plans.last().map_or(1.0, |p| p.weight_factor);
        let old_plans = self.settings.plans.iter().skip(new.plans.len());
        let old_plans = old_plans.map(|p| Plan {
            weight_factor,
            ..p.clone()
        });
        new.plans.extend(old_plans);
        let old_classes = self.settings.classes.iter().skip(new.classes.len());
        new.classes.extend(old_classes);
    }
}
