//! Messages from peers: their use of customers that this gateway owns, owners' updates, and how
//! attempts went elsewhere.

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

/// A customer seen in this time is reported to an owner that starts anew, in microseconds (ours).
const REPORT_TO_RESTARTED: Micros = CUSTOMER_IDLE_TIME / 5;
/// The second owner's update counts where the first one's is older than this, in microseconds
/// (ours).
const LEAD_UPDATE_LIFE: Micros = 4 * MAX_UPDATE_AGE;

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
        let own = incarnation(self.clock.started_at);
        let foreign = from == self.settings.gateway_id || from.0 >= self.settings.gateway_count;
        if foreign || !self.receive(from.0, &message) {
            return;
        }
        let [own_classes, own_plans] = self.settings.name_digests;
        let [classes, plans] = message.name_digests;
        if classes == own_classes {
            for sample in &message.samples {
                self.learn_from_peer(sample);
            }
        }
        match message.body {
            Body::Usage(reports) => {
                let same_plans = plans == own_plans;
                let younger = message.incarnation >= own;
                let updates = reports.into_iter().filter_map(|report| {
                    let report = self.with_known_plan(report, same_plans)?;
                    self.on_usage(from.0, younger, &report)
                });
                let updates: Vec<OwnerUpdate> = updates.collect();
                if !updates.is_empty() {
                    let body = Body::Updates(message.incarnation, updates);
                    self.post(from.0, body, actions);
                }
            }
            // Only to the incarnation it was meant for, and by its number only once: a repeat mints
            // nothing.
            Body::Updates(receiver, _) if receiver != own => {}
            Body::Updates(_, updates) => {
                let older = message.incarnation < own;
                for update in &updates {
                    self.on_update(from.0, older, update, actions);
                }
            }
        }
    }

    /// Notes a message of a peer; false if it is not to be read.
    fn receive(&mut self, from: u16, message: &Message) -> bool {
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

    /// A peer has started anew: what it reported before is void, and an owner that starts is told
    /// once.
    fn on_new_incarnation(&mut self, from: u16, restarted: bool) {
        let now = self.now();
        for (id, customer) in self.customers.iter_mut() {
            customer.quota.forget_reporter(from);
            let lately = now - customer.seen_at() < REPORT_TO_RESTARTED;
            if restarted && customer.owners.all().contains(&from) && lately {
                self.peers.put_report_if_absent(from, id);
            }
        }
    }

    /// A report with a plan as it is known here. Of plans that have other places there, one that is
    /// known here keeps its own.
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

    /// The place of a reported customer's plan here. A message names the first plans only; the
    /// others pass under the last of these, and which one is meant is told by the customer's first
    /// request here: the count goes on till then.
    fn reported_plan(&self, report: &UsageReport) -> Option<usize> {
        let clipped = usize::from(report.plan);
        let last = self.settings.plans.len().saturating_sub(1);
        let known = self.customers.get(report.customer).map(Customer::plan);
        if known.is_none() && clipped == MAX_PLAN && last > MAX_PLAN {
            return None;
        }
        let same = known.filter(|plan| (*plan).min(MAX_PLAN) == clipped);
        let plan = same.unwrap_or(clipped);
        (plan <= last && !self.settings.plans.is_empty()).then_some(plan)
    }

    /// A gateway reported its use of a customer; the answer if it asked.
    fn on_usage(&mut self, from: u16, younger: bool, report: &UsageReport) -> Option<OwnerUpdate> {
        let now = self.now();
        let small = self.every_gateway_owns();
        let place = self.reported_plan(report)?;
        let first_contact = self.customers.get(report.customer).is_none();
        self.meet_reported(report, place);
        self.refill(report.customer)?;
        let customer = self.customers.get_mut(report.customer)?;
        if customer.plan() != place || !customer.owners.is_owner() {
            return None; // not an owner of this one
        }
        customer.note_seen(customer.seen_at().max(now));
        let plan = &self.settings.plans[place];
        let has_view = report.level < UNKNOWN_LEVEL;
        let context = ReportContext {
            from,
            now,
            burst: plan.burst,
            max_in_flight: plan.max_in_flight,
            first_contact,
            sender_is_younger: younger,
            is_mirror_update: !small && from == customer.owners.pair()[0] && has_view,
        };
        let view = customer.quota.apply_report(report, &context);
        let granted = if report.ask && report.wants_ceiling {
            let carried = round_down_to_quarters(report.units);
            customer.ceiling.grant_to_peer(report.units, carried)
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

    /// Begins a reported customer that is not known here, and takes its plan where the settings
    /// have changed since it was seen here: a peer knows it.
    fn meet_reported(&mut self, report: &UsageReport, place: usize) {
        let now = self.now();
        let burst = self.settings.plans[place].burst;
        // Of a customer that never came here the sender's view counts, if it has one.
        let tokens = if report.level < UNKNOWN_LEVEL {
            reported_tokens(report.level, burst)
        } else {
            burst
        };
        let changed_at = self.clock.settings_changed_at;
        if let Some(known) = self.customers.get_mut(report.customer) {
            if known.seen_at() < changed_at {
                known.set_plan(place);
            }
        }
        let new = || Customer::new(place, QuotaAccount::new(tokens, 0.0, now));
        self.customers.get_or_insert_with(report.customer, new);
        let span = Span {
            first_gateway: report.first_gateway,
            gateway_span: report.gateway_span,
        };
        self.settle_customer(report.customer, span, tokens);
    }

    /// An owner's update on a customer: the bucket is what it says, less what it cannot have heard.
    fn on_update(
        &mut self,
        from: u16,
        older: bool,
        update: &OwnerUpdate,
        actions: &mut Vec<Action>,
    ) {
        let this_gateway = self.id();
        let small = self.every_gateway_owns();
        let customer = self.customers.get(update.customer);
        let Some(lead) = customer.map(|c| self.lead_owner(c)) else {
            return;
        };
        let refilled = self.refill(update.customer);
        if !refilled.is_some_and(|c| c.owners.all().contains(&from)) {
            return;
        }
        self.take_update(from, older, lead, update);
        let Some(customer) = self.customers.get(update.customer) else {
            return;
        };
        let query = &customer.query;
        let pair = customer.owners.pair();
        let mut others = pair.iter().filter(|o| **o != this_gateway);
        let last = others.all(|o| query.has_answered(*o)) || (!small && from == query.asked());
        let waiting: Vec<RequestId> = query.waiting().to_vec();
        for id in waiting {
            self.admit(id, last, actions); // one owner may know too little: only both say no
        }
    }

    /// Takes what an owner says of a customer, as far as it is the one whose word counts.
    fn take_update(&mut self, from: u16, older: bool, lead: u16, update: &OwnerUpdate) {
        let now = self.now();
        let small = self.every_gateway_owns();
        let leads = lead == self.id();
        let Some(customer) = self.customers.get_mut(update.customer) else {
            return;
        };
        if !leads {
            let in_flight = u32::from(update.in_flight);
            customer.quota.set_others(update.rate, in_flight);
        }
        // The other owner's counts where the first one's is not to be had; the first hears of that
        // use.
        let stale = customer.query.update_age(now) > LEAD_UPDATE_LIFE;
        let best = small || from == lead || stale;
        let first_word = older && !customer.query.has_update();
        if (!leads && best) || first_word {
            customer
                .quota
                .apply_owner_tokens(update.tokens, update.acknowledged_total);
            let pledged = from == lead && update.tokens >= customer.query.units();
            customer.query.note_update(now, pledged);
        }
        customer.query.note_answer(from);
        // A grant is for the request that waits: late ones lapse, or a full bucket would hold more
        // than full.
        if customer.query.takes_grants(now) {
            customer.ceiling.receive_grant(update.granted);
        }
    }
}
