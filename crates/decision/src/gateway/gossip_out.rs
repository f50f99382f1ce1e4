//! Messages that this gateway sends: its customers' use, reported to their quota owners.

use super::Gateway;
use crate::action::Action;
use crate::customers::quota::UNKNOWN_LEVEL;
use crate::customers::CUSTOMER_IDLE_TIME;
use crate::gossip::codec::{incarnation, wrapped_units, Body, Message, UsageReport, MAX_PLAN};
use crate::gossip::peers::OutboxEntry;
use crate::ids::{CustomerId, GatewayId, Micros};
use crate::numeric::unit_hash;

/// Messages that carry a report where a lost end would hold a slot for long, and else (ours).
const REPEATS_HOLDING_SLOT: u8 = 2;
const REPEATS: u8 = 1;
/// The age of an owner's update up to which this gateway's view of a bucket is worth something, in
/// microseconds (ours).
const KNOWN_FOR: Micros = CUSTOMER_IDLE_TIME / 10;

impl Gateway {
    /// Puts a customer on the way to its owners; `ask` for an answer.
    pub(super) fn report(&mut self, id: CustomerId, ask: bool, actions: &mut Vec<Action>) {
        let customer = self.customers.get(id);
        let Some(customer) = customer.filter(|_| self.settings.limits.peers) else {
            return;
        };
        let now = self.now();
        let this_gateway = self.id();
        let small = self.every_gateway_owns();
        let pair = customer.owners.pair();
        let capped = self.settings.plans[customer.plan()].max_in_flight > 0;
        let receivers = if small {
            customer.owners.all().to_vec()
        } else if ask {
            vec![customer.query.asked()]
        } else {
            vec![self.lead_owner(customer)]
        };
        let repeats = if small || capped {
            REPEATS_HOLDING_SLOT
        } else {
            REPEATS
        };
        for owner in receivers.into_iter().filter(|o| *o != this_gateway) {
            // In a small deployment there are owners besides the pair.
            let ask = ask && pair.contains(&owner);
            self.peers.add_report(owner, id, repeats, ask);
            if ask && (small || self.peers.entry(owner).is_ready(now)) {
                self.flush(owner, actions);
            }
        }
    }

    /// Whether one more message may go.
    fn may_send_message(&mut self) -> bool {
        let now = self.now();
        let started_at = self.clock.started_at;
        let within = self
            .message_budget
            .allows(&self.settings.limits, started_at, now);
        self.every_gateway_owns() || within
    }

    /// Sends a peer what waits for it, as much as a message holds.
    pub(super) fn flush(&mut self, to: u16, actions: &mut Vec<Action>) {
        if !self.may_send_message() {
            return;
        }
        let Some(waiting) = self.peers.take_reports(to) else {
            return;
        };
        let reports = waiting
            .into_iter()
            .filter_map(|(customer, entry)| self.usage_report(customer, entry, to));
        let reports = reports.collect();
        self.post(to, Body::Usage(reports), actions);
    }

    /// What this gateway reports of a customer; none for one that is forgotten.
    fn usage_report(&mut self, id: CustomerId, entry: OutboxEntry, to: u16) -> Option<UsageReport> {
        let now = self.now();
        let this_gateway = self.id();
        let small = self.every_gateway_owns();
        self.refill(id)?;
        let customer = self.customers.get(id)?;
        let owners = &customer.owners;
        let known = owners.is_owner() || customer.query.update_age(now) < KNOWN_FOR;
        let pair = owners.pair();
        // One of the two is asked for ceiling units, by lot: two grants would waste one.
        let drawn = pair[usize::from(unit_hash(now ^ id.0) < 0.5)];
        let may_grant = drawn == to || pair.contains(&this_gateway) || !small;
        let plan = &self.settings.plans[customer.plan()];
        let level = customer.quota.reported_level(plan);
        Some(UsageReport {
            customer: id,
            plan: customer.plan().min(MAX_PLAN) as u8,
            total: wrapped_units(customer.quota.used()),
            in_flight: customer.quota.reported_in_flight(),
            level: if known { level } else { UNKNOWN_LEVEL },
            first_gateway: owners.first_gateway(),
            gateway_span: owners.gateway_span() as u16,
            ask: entry.ask,
            units: customer.query.units(),
            wants_ceiling: entry.ask && customer.query.wants_ceiling() && may_grant,
        })
    }

    /// Sends a peer a message, with the latest samples.
    pub(super) fn post(&mut self, to: u16, body: Body, actions: &mut Vec<Action>) {
        let samples = self.peers.take_samples();
        let next_at = self.now() + self.report_period;
        let sequence = self.peers.note_sent(to, next_at);
        self.message_budget.draw();
        let message = Message {
            incarnation: incarnation(self.clock.started_at),
            sequence,
            name_digests: self.settings.name_digests,
            samples,
            body,
        };
        actions.push(Action::SendToPeer {
            to: Some(GatewayId(to)),
            bytes: message.encode(),
        });
    }
}
