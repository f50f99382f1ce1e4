//! The customers: each one's quota, ceiling, quota owners, and the question that is out to these.

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

/// Unseen for so long, a customer counts as new, in microseconds (paper: customers unseen for long
/// pass at first).
pub(crate) const AGING: Micros = 10_000_000;
/// The longest that a full bucket is waited for before a customer is forgotten, in seconds.
const MAX_REFILL_TIME: f64 = 1e6;
/// The part of its even share that a gateway is taken to use at least, where it knows of the others
/// (ours).
const LEAST_OWN_PART: f64 = 0.1;

/// A customer as this gateway knows it.
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

    /// The place of its plan.
    pub(crate) fn plan(&self) -> usize {
        self.plan
    }

    pub(crate) fn set_plan(&mut self, plan: usize) {
        self.plan = plan;
    }

    pub(crate) fn seen_at(&self) -> Micros {
        self.seen_at
    }

    pub(crate) fn see(&mut self, now: Micros) {
        self.seen_at = now;
    }

    /// It was unseen for so long that it counts as new.
    pub(crate) fn is_new(&self, now: Micros) -> bool {
        self.seen_at == 0 || now - self.seen_at > AGING
    }

    /// The least rate that this gateway's own use is taken for, with a floor for those that begin.
    pub(crate) fn least_own_rate(&self, plan: &Plan) -> f64 {
        let informed = self.owners.is_owner() || self.query.was_updated();
        let floor = if informed { LEAST_OWN_PART } else { 1.0 };
        plan.rate / self.owners.gateway_span().max(1.0) * floor
    }

    /// Refills the token buckets up to now.
    pub(crate) fn refill(&mut self, now: Micros, plan: &Plan) {
        let span = (now - self.quota.refilled_at()) as f64 / MICROS_PER_SECOND;
        let least_own_rate = self.least_own_rate(plan);
        let owner = self.owners.is_owner();
        self.quota.refill(now, plan, owner, least_own_rate);
        self.ceiling.refill(span, plan);
    }

    /// Carries the buckets over to another plan's figures.
    pub(crate) fn carry_over(&mut self, old: &Plan, new: &Plan) {
        self.quota.carry_over(old, new);
        self.ceiling.carry_over(new);
    }

    /// Draws units from the buckets, or gives them back where they are negative.
    pub(crate) fn draw(&mut self, units: f64, plan: &Plan) {
        self.quota.draw(units, plan);
        self.ceiling.draw(units, plan);
    }

    /// Takes its owners, and this gateway's part of its ceiling.
    pub(crate) fn settle(&mut self, owners: Owners, plan: &Plan, split: &CeilingSplit) {
        self.owners = owners;
        self.ceiling.allot(plan, split);
    }

    /// Whether it is to be kept: until both buckets are full for sure, since a customer met anew
    /// starts with full ones.
    pub(crate) fn is_active(&self, now: Micros, plan: &Plan) -> bool {
        let quota = plan.burst / plan.rate;
        let ceiling = plan.ceiling_burst / plan.ceiling_rate;
        let full = quota.max(ceiling).clamp(0.0, MAX_REFILL_TIME); // NaN: 0 / 0
        self.quota.in_flight() > 0
            || !self.query.waiting().is_empty()
            || now - self.seen_at <= 2 * AGING.max((full * MICROS_PER_SECOND) as Micros)
    }

    /// It was seen within the last second.
    pub(crate) fn seen_lately(&self, now: Micros) -> bool {
        self.seen_at > now.saturating_sub(SECOND)
    }
}

/// All customers that are known.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Customers {
    by_id: BTreeMap<CustomerId, Customer>,
}

impl Customers {
    pub(crate) fn get(&self, id: CustomerId) -> Option<&Customer> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        self.by_id.get_mut(&id)
    }

    /// The customer, begun where it is not known.
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

    /// Forgets those that `keep` does not hold.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(CustomerId, &mut Customer) -> bool) {
        self.by_id.retain(|id, c| keep(*id, c));
    }
}
