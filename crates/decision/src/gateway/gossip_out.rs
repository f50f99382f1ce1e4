//! Messages to peers: reports of customers' usage to their quota owners.

use super::Gateway;
use crate::action::Action;
use crate::customers::quota::UNKNOWN_LEVEL;
use crate::customers::CUSTOMER_IDLE_TIME;
use crate::gossip::codec::{incarnation, wrapped_units, Body, Message, UsageReport, MAX_PLAN};
use crate::gossip::peers::OutboxEntry;
use crate::ids::{CustomerId, GatewayId, Micros};
use crate::numeric::unit_hash;

/// Number of messages that carry a report. A report is repeated if its loss could leave an attempt
/// that has ended occupying a slot for long.
const REPORT_REPEATS_WITH_SLOT_LIMIT: u8 = 2;
const REPORT_REPEATS: u8 = 1;
/// Maximum age of an owner's update at which this gateway reports its view of a token bucket, in
/// microseconds.
const MAX_VIEW_AGE: Micros = CUSTOMER_IDLE_TIME / 10;

impl Gateway {
    /// Queues a report on a customer for its quota owners; `ask` requests an answer.
    pub(super) fn report(&mut self, id: CustomerId, ask: bool, actions: &mut Vec<Action>) {
        let customer = self.customers.get(id);
        let Some(customer) = customer.filter(|_| self.settings.limits.peers) else {
            return;
        };
        let now = self.now();
        let this_gateway = self.id();
        let every_gateway_owns = self.every_gateway_owns();
        let pair = customer.owners.pair();
        let limits_in_flight = self.settings.plans[customer.plan()].max_in_flight > 0;
        let receivers = if every_gateway_owns {
            customer.owners.all().to_vec()
        } else if ask {
            vec![customer.query.asked()]
        } else {
            vec![self.lead_owner(customer)]
        };
        let repeats = if every_gateway_owns || limits_in_flight {
            REPORT_REPEATS_WITH_SLOT_LIMIT
        } else {
            REPORT_REPEATS
        };
        for owner in receivers.into_iter().filter(|o| *o != this_gateway) {
            // A small deployment has further owners; only the pair is asked.
            let ask = ask && pair.contains(&owner);
            self.peers.add_report(owner, id, repeats, ask);
            if ask && (every_gateway_owns || self.peers.entry(owner).is_ready(now)) {
                self.send_reports(owner, actions);
            }
        }
    }

    /// Whether one more message may be sent. The message budget does not apply in a small
    /// deployment.
    fn may_send_message(&mut self) -> bool {
        let now = self.now();
        let started_at = self.clock.started_at;
        let within_budget = self
            .message_budget
            .allows(&self.settings.limits, started_at, now);
        self.every_gateway_owns() || within_budget
    }

    /// Sends a peer its queued reports, as many as fit into one message.
    pub(super) fn send_reports(&mut self, to: u16, actions: &mut Vec<Action>) {
        if !self.may_send_message() {
            return;
        }
        let Some(queued) = self.peers.take_reports(to) else {
            return;
        };
        let reports = queued
            .into_iter()
            .filter_map(|(customer, entry)| self.usage_report(customer, entry, to));
        let reports = reports.collect();
        self.send_message(to, Body::Usage(reports), actions);
    }

    /// Builds the usage report on a customer; `None` if the customer has been forgotten.
    fn usage_report(&mut self, id: CustomerId, entry: OutboxEntry, to: u16) -> Option<UsageReport> {
        let now = self.now();
        let this_gateway = self.id();
        let every_gateway_owns = self.every_gateway_owns();
        self.refill(id)?;
        let customer = self.customers.get(id)?;
        let owners = &customer.owners;
        let has_recent_view = owners.is_owner() || customer.query.update_age(now) < MAX_VIEW_AGE;
        let pair = owners.pair();
        // Only one of the two owners, drawn at random, is asked for ceiling units: if both granted
        // them, one grant would be wasted.
        let ceiling_owner = pair[usize::from(unit_hash(now ^ id.0) < 0.5)];
        let may_grant = ceiling_owner == to || pair.contains(&this_gateway) || !every_gateway_owns;
        let plan = &self.settings.plans[customer.plan()];
        let level = customer.quota.reported_level(plan);
        Some(UsageReport {
            customer: id,
            plan: customer.plan().min(MAX_PLAN) as u8,
            total: wrapped_units(customer.quota.used()),
            in_flight: customer.quota.reported_in_flight(),
            level: if has_recent_view {
                level
            } else {
                UNKNOWN_LEVEL
            },
            first_gateway: owners.first_gateway(),
            gateway_span: owners.gateway_span() as u16,
            ask: entry.ask,
            units: customer.query.units(),
            wants_ceiling: entry.ask && customer.query.wants_ceiling() && may_grant,
        })
    }

    /// Sends a message to a peer, together with the latest samples.
    pub(super) fn send_message(&mut self, to: u16, body: Body, actions: &mut Vec<Action>) {
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
