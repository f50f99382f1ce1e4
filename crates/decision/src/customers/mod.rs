//! Customers: the quota, ceiling and quota owners of each, and the query pending at these owners.

pub(crate) mod ceiling;
pub(crate) mod owner_query;
pub(crate) mod owners;
pub(crate) mod quota;
mod stored;

use crate::ids::{CustomerId, Micros};
use crate::numeric::{MICROS_PER_SECOND, SECOND};
use crate::settings::Plan;
use ceiling::{CeilingAccount, CeilingSplit};
use owner_query::OwnerQuery;
use owners::Owners;
use quota::QuotaAccount;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A customer not seen for this long counts as new, in microseconds. New customers are admitted at
/// the first load-shedding level, as in the paper.
pub(crate) const CUSTOMER_IDLE_TIME: Micros = 10_000_000;
/// Upper bound, in seconds, on the refill time that a customer is remembered for.
const MAX_REFILL_TIME_S: f64 = 1e6;
/// Once this gateway knows of the use at other gateways, its own use counts as at least this
/// fraction of its even share of the quota.
const MIN_OWN_FRACTION: f64 = 0.1;

/// What this gateway knows of a customer.
#[derive(Default)]
pub(crate) struct Customer {
    plan: usize,
    seen_at: Micros,
    pub(crate) quota: QuotaAccount,
    pub(crate) ceiling: CeilingAccount,
    pub(crate) owners: Owners,
    pub(crate) query: OwnerQuery,
}

impl Customer {
    pub(crate) fn new(plan: usize, quota: QuotaAccount) -> Customer {
        Customer {
            plan,
            quota,
            ..Customer::default()
        }
    }

    /// Index of the customer's plan in the settings.
    pub(crate) fn plan(&self) -> usize {
        self.plan
    }

    pub(crate) fn set_plan(&mut self, plan: usize) {
        self.plan = plan;
    }

    pub(crate) fn seen_at(&self) -> Micros {
        self.seen_at
    }

    pub(crate) fn note_seen(&mut self, now: Micros) {
        self.seen_at = now;
    }

    /// Whether the customer counts as new: never seen, or not within [`CUSTOMER_IDLE_TIME`].
    pub(crate) fn is_new(&self, now: Micros) -> bool {
        self.seen_at == 0 || now - self.seen_at > CUSTOMER_IDLE_TIME
    }

    /// Lower bound, in units per second, on the rate assumed for this gateway's own use, so that a
    /// customer who starts here gets some of the quota: the gateway's even share, or a fraction of
    /// that once the use at other gateways is known.
    pub(crate) fn min_own_rate(&self, plan: &Plan) -> f64 {
        let knows_other_use = self.owners.is_owner() || self.query.has_update();
        let floor = if knows_other_use {
            MIN_OWN_FRACTION
        } else {
            1.0
        };
        plan.rate / self.owners.gateway_span().max(1.0) * floor
    }

    /// Refills both token buckets up to `now`.
    pub(crate) fn refill(&mut self, now: Micros, plan: &Plan) {
        let elapsed_s = (now - self.quota.refilled_at()) as f64 / MICROS_PER_SECOND;
        let min_own_rate = self.min_own_rate(plan);
        let is_owner = self.owners.is_owner();
        self.quota.refill(now, plan, is_owner, min_own_rate);
        self.ceiling.refill(elapsed_s, plan);
    }

    /// Applies a new plan to both buckets.
    pub(crate) fn carry_over(&mut self, old: &Plan, new: &Plan) {
        self.quota.carry_over(old, new);
        self.ceiling.carry_over(new);
    }

    /// Draws units from both buckets; negative `units` are returned to them.
    pub(crate) fn draw(&mut self, units: f64, plan: &Plan) {
        self.quota.draw(units, plan);
        self.ceiling.draw(units, plan);
    }

    /// Sets the quota owners and this gateway's share of the ceiling.
    pub(crate) fn set_owners(&mut self, owners: Owners, plan: &Plan, split: &CeilingSplit) {
        self.owners = owners;
        self.ceiling.assign_share(plan, split);
    }

    /// Whether the customer must be remembered. It may be forgotten only when both buckets are
    /// certainly full, because an unknown customer starts with full ones.
    pub(crate) fn is_active(&self, now: Micros, plan: &Plan) -> bool {
        let quota_refill = plan.burst / plan.rate;
        let ceiling_refill = plan.ceiling_burst / plan.ceiling_rate;
        // Without a limit 0 / 0 is NaN: `max` ignores it, and the cast below turns it into 0.
        let refill_time = quota_refill
            .max(ceiling_refill)
            .clamp(0.0, MAX_REFILL_TIME_S);
        self.quota.in_flight() > 0
            || !self.query.waiting().is_empty()
            || now - self.seen_at
                <= 2 * CUSTOMER_IDLE_TIME.max((refill_time * MICROS_PER_SECOND) as Micros)
    }

    /// Whether the customer was seen within the last second.
    pub(crate) fn seen_recently(&self, now: Micros) -> bool {
        self.seen_at > now.saturating_sub(SECOND)
    }
}

/// All known customers.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Customers {
    by_id: BTreeMap<CustomerId, Customer>,
    /// Number of customers above which no further one is remembered; none without a limit. Not
    /// handed over: the host sets it again.
    #[serde(skip)]
    max_count: Option<usize>,
}

impl Customers {
    pub(crate) fn set_max_count(&mut self, max_count: usize) {
        self.max_count = Some(max_count);
    }

    /// Whether a customer is known or may be added.
    pub(crate) fn has_room_for(&self, id: CustomerId) -> bool {
        let is_full = self.max_count.is_some_and(|max| self.by_id.len() >= max);
        !is_full || self.by_id.contains_key(&id)
    }

    pub(crate) fn get(&self, id: CustomerId) -> Option<&Customer> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        self.by_id.get_mut(&id)
    }

    /// The customer, created by `new` if it is not known.
    pub(crate) fn get_or_insert_with(
        &mut self,
        id: CustomerId,
        new: impl FnOnce() -> Customer,
    ) -> &mut Customer {
        self.by_id.entry(id).or_insert_with(new)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.by_id.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (CustomerId, &mut Customer)> {
        self.by_id.iter_mut().map(|(id, c)| (*id, c))
    }

    /// Removes the customers for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(CustomerId, &mut Customer) -> bool) {
        self.by_id.retain(|id, c| keep(*id, c));
    }
}
