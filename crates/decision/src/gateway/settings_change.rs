//! Changes of settings. Pending requests keep the class settings of their arrival, and token
//! buckets are refilled at the old rates up to the time of the change.

use super::Gateway;
use crate::settings::{Plan, Settings};

impl Gateway {
    pub(super) fn on_settings_changed(&mut self, mut new: Settings) {
        let now = self.now();
        self.keep_removed_entries(&mut new);
        for (_, customer) in self.customers.iter_mut() {
            let plan = customer.plan();
            let old = &self.settings.plans[plan];
            customer.refill(now, old);
            customer.carry_over(old, &new.plans[plan]);
        }
        // A class whose idempotency has changed counts as a different class, to which the latency
        // and health of the old one do not apply.
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
        // Removed pools are kept; new requests do not name them.
        self.pools.grow(usize::from(new.pool_count));
    }

    /// Keeps removed classes and plans at the end of their lists, since their indexes may still be
    /// in use. Removed plans get the weight factor of the last new plan, so that their old factor
    /// does not affect load shedding.
    fn keep_removed_entries(&self, new: &mut Settings) {
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
