//! Messages from peers: usage reports on customers whose quota this gateway owns, updates from
//! quota owners, and outcomes of attempts at other gateways.

use super::Gateway;
use crate::action::Action;
use crate::customers::owner_query::MAX_UPDATE_AGE;
use crate::customers::owners::Span;
use crate::customers::quota::{
    clip_in_flight, reported_tokens, QuotaAccount, ReportContext, UNKNOWN_LEVEL,
};
use crate::customers::{Customer, CUSTOMER_IDLE_TIME};
use crate::gossip::codec::{
    incarnation, round_down_to_quarters, Body, Message, OwnerUpdate, UsageReport, MAX_PLAN,
};
use crate::gossip::peers::Arrival;
use crate::ids::{GatewayId, Micros, RequestId};

/// Customers seen within this time are reported to a quota owner that restarts, in microseconds.
const RECENTLY_SEEN: Micros = CUSTOMER_IDLE_TIME / 5;
/// Age of the last owner update, in microseconds, above which an update from an owner other than
/// the lead owner is accepted.
const LEAD_UPDATE_MAX_AGE: Micros = 4 * MAX_UPDATE_AGE;

impl Gateway {
    pub(super) fn on_peer_message(
        &mut self,
        from: GatewayId,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(message) = Message::decode(bytes) else {
            return;
        };
        let own_incarnation = incarnation(self.clock.started_at);
        let invalid_sender =
            from == self.settings.gateway_id || from.0 >= self.settings.gateway_count;
        if invalid_sender || !self.accept_message(from.0, &message) {
            return;
        }
        let [own_classes, own_plans] = self.settings.name_digests;
        let [classes, plans] = message.name_digests;
        if classes == own_classes {
            for sample in &message.samples {
                self.record_peer_outcome(sample);
            }
        }
        match message.body {
            Body::Usage(reports) => {
                let same_plans = plans == own_plans;
                let sender_is_younger = message.incarnation >= own_incarnation;
                let updates = reports.into_iter().filter_map(|report| {
                    let report = self.with_known_plan(report, same_plans)?;
                    self.on_usage_report(from.0, sender_is_younger, &report)
                });
                let updates: Vec<OwnerUpdate> = updates.collect();
                if !updates.is_empty() {
                    let body = Body::Updates(message.incarnation, updates);
                    self.send_message(from.0, body, actions);
                }
            }
            // Drops an update meant for an earlier incarnation of this gateway. The sequence number
            // has already excluded repeats, so no grant is counted twice.
            Body::Updates(receiver, _) if receiver != own_incarnation => {}
            Body::Updates(_, updates) => {
                let sender_is_older = message.incarnation < own_incarnation;
                for update in &updates {
                    self.on_owner_update(from.0, sender_is_older, update, actions);
                }
            }
        }
    }

    /// Records the arrival of a message. Returns false if the message must be ignored.
    fn accept_message(&mut self, from: u16, message: &Message) -> bool {
        let arrival = self
            .peers
            .entry(from)
            .check_incarnation(message.incarnation, message.sequence);
        match arrival {
            Arrival::Stale => return false,
            Arrival::Known => {}
            Arrival::New { restarted } => self.on_new_incarnation(from, restarted),
        }
        self.peers.entry(from).receive(message.sequence)
    }

    /// Handles a new incarnation of a peer. Its earlier reports are discarded. If the peer
    /// restarted, recently seen customers whose quota it owns are reported to it once.
    fn on_new_incarnation(&mut self, from: u16, restarted: bool) {
        let now = self.now();
        for (id, customer) in self.customers.iter_mut() {
            customer.quota.forget_reporter(from);
            let recently_seen = now - customer.seen_at() < RECENTLY_SEEN;
            if restarted && customer.owners.all().contains(&from) && recently_seen {
                self.peers.put_report_if_absent(from, id);
            }
        }
    }

    /// Replaces the plan in a report if the sender's plan list differs from this gateway's, since a
    /// plan index then has another meaning: the plan known here is used. Returns `None` if the
    /// customer is unknown here.
    fn with_known_plan(&self, report: UsageReport, same_plans: bool) -> Option<UsageReport> {
        if same_plans {
            return Some(report);
        }
        let plan = self.customers.get(report.customer)?.plan();
        Some(UsageReport {
            plan: plan.min(MAX_PLAN) as u8,
            ..report
        })
    }

    /// Index of the reported customer's plan in this gateway's settings. A message can name plans
    /// only up to [`MAX_PLAN`], and later plans are reported as [`MAX_PLAN`]. Which of these a new
    /// customer has becomes known with its first request here. Until then the function returns
    /// `None`; the usage total in a later report includes the usage so far.
    fn reported_plan(&self, report: &UsageReport) -> Option<usize> {
        let reported = usize::from(report.plan);
        let last_plan = self.settings.plans.len().saturating_sub(1);
        let known = self.customers.get(report.customer).map(Customer::plan);
        if known.is_none() && reported == MAX_PLAN && last_plan > MAX_PLAN {
            return None;
        }
        let matching = known.filter(|plan| (*plan).min(MAX_PLAN) == reported);
        let plan = matching.unwrap_or(reported);
        (plan <= last_plan && !self.settings.plans.is_empty()).then_some(plan)
    }

    /// Handles a usage report. Returns an update if the sender asked for one.
    fn on_usage_report(
        &mut self,
        from: u16,
        sender_is_younger: bool,
        report: &UsageReport,
    ) -> Option<OwnerUpdate> {
        let now = self.now();
        let every_gateway_owns = self.every_gateway_owns();
        let plan_index = self.reported_plan(report)?;
        let first_contact = self.customers.get(report.customer).is_none();
        self.register_reported_customer(report, plan_index);
        self.refill(report.customer)?;
        let customer = self.customers.get_mut(report.customer)?;
        if customer.plan() != plan_index || !customer.owners.is_owner() {
            return None; // this gateway does not own the customer's quota
        }
        customer.note_seen(customer.seen_at().max(now));
        let plan = &self.settings.plans[plan_index];
        let has_view = report.level < UNKNOWN_LEVEL;
        let context = ReportContext {
            from,
            now,
            burst: plan.burst,
            max_in_flight: plan.max_in_flight,
            first_contact,
            sender_is_younger,
            is_mirror_update: !every_gateway_owns && from == customer.owners.pair()[0] && has_view,
        };
        let view = customer.quota.apply_report(report, &context);
        let granted = if report.ask && report.wants_ceiling {
            let granted_units = round_down_to_quarters(report.units);
            customer.ceiling.grant_to_peer(report.units, granted_units)
        } else {
            0.0
        };
        report.ask.then_some(OwnerUpdate {
            customer: report.customer,
            acknowledged_total: report.total,
            tokens: view.tokens,
            rate: view.others_rate,
            in_flight: clip_in_flight(view.others_in_flight),
            granted,
        })
    }

    /// Registers a reported customer that is unknown here, unless too many are known. If the
    /// settings changed since the customer was last seen here, takes its plan from the report,
    /// since the peer knows the current one.
    fn register_reported_customer(&mut self, report: &UsageReport, plan_index: usize) {
        if !self.customers.has_room_for(report.customer) {
            return;
        }
        let now = self.now();
        let burst = self.settings.plans[plan_index].burst;
        // For a customer that is unknown here, the sender's view of the bucket is used if it has
        // one.
        let tokens = if report.level < UNKNOWN_LEVEL {
            reported_tokens(report.level, burst)
        } else {
            burst
        };
        let settings_changed_at = self.clock.settings_changed_at;
        if let Some(known) = self.customers.get_mut(report.customer) {
            if known.seen_at() < settings_changed_at {
                known.set_plan(plan_index);
            }
        }
        let new_customer = || Customer::new(plan_index, QuotaAccount::new(tokens, 0.0, now));
        self.customers
            .get_or_insert_with(report.customer, new_customer);
        let span = Span {
            first_gateway: report.first_gateway,
            gateway_span: report.gateway_span,
        };
        self.assign_owners(report.customer, span, tokens);
    }

    /// Handles an owner's update on a customer. The token bucket is set to the owner's value, less
    /// the usage that the owner cannot have heard of yet.
    fn on_owner_update(
        &mut self,
        from: u16,
        sender_is_older: bool,
        update: &OwnerUpdate,
        actions: &mut Vec<Action>,
    ) {
        let this_gateway = self.id();
        let every_gateway_owns = self.every_gateway_owns();
        let customer = self.customers.get(update.customer);
        let Some(lead) = customer.map(|c| self.lead_owner(c)) else {
            return;
        };
        let refilled = self.refill(update.customer);
        if !refilled.is_some_and(|c| c.owners.all().contains(&from)) {
            return;
        }
        self.apply_owner_update(from, sender_is_older, lead, update);
        let Some(customer) = self.customers.get(update.customer) else {
            return;
        };
        let query = &customer.query;
        let pair = customer.owners.pair();
        let mut other_owners = pair.iter().filter(|o| **o != this_gateway);
        let owners_done = other_owners.all(|o| query.has_answered(*o))
            || (!every_gateway_owns && from == query.asked());
        let waiting: Vec<RequestId> = query.waiting().to_vec();
        for id in waiting {
            self.admit(id, owners_done, actions); // a rejection needs both owners
        }
    }

    /// Applies an owner's update to a customer, to the extent that this owner is authoritative
    /// here.
    fn apply_owner_update(
        &mut self,
        from: u16,
        sender_is_older: bool,
        lead: u16,
        update: &OwnerUpdate,
    ) {
        let now = self.now();
        let every_gateway_owns = self.every_gateway_owns();
        let is_lead = lead == self.id();
        let Some(customer) = self.customers.get_mut(update.customer) else {
            return;
        };
        if !is_lead {
            let in_flight = u32::from(update.in_flight);
            customer.quota.set_others(update.rate, in_flight);
        }
        // Without a recent update from the lead owner, another owner's update is used. The lead
        // owner learns of the resulting usage from reports.
        let stale = customer.query.update_age(now) > LEAD_UPDATE_MAX_AGE;
        let authoritative = every_gateway_owns || from == lead || stale;
        let first_update_from_older = sender_is_older && !customer.query.has_update();
        if (!is_lead && authoritative) || first_update_from_older {
            customer
                .quota
                .apply_owner_tokens(update.tokens, update.acknowledged_total);
            let pledged = from == lead && update.tokens >= customer.query.units();
            customer.query.note_update(now, pledged);
        }
        customer.query.note_answer(from);
        // Grants are for waiting requests. Late grants lapse; otherwise a full bucket would exceed
        // its capacity.
        if customer.query.takes_grants(now) {
            customer.ceiling.receive_grant(update.granted);
        }
    }
}
