//! Quota owners of customers: who they are, which one is authoritative, and the queries to owners
//! that requests are held for.

use super::Gateway;
use crate::action::Action;
use crate::customers::ceiling::CeilingSplit;
use crate::customers::owner_query::MAX_UPDATE_AGE;
use crate::customers::owners::{Owners, Span};
use crate::customers::Customer;
use crate::event::Request;
use crate::gossip::peers::OutboxEntry;
use crate::ids::{CustomerId, Micros, RequestId};

/// Divisor of the latency objective that gives the maximum wait for an owner's answer.
const OWNER_WAIT_DIVISOR: u64 = 5;
/// Time after a query within which a repeated query for ceiling units goes to the other owner, in
/// microseconds.
const ALTERNATE_OWNER_WINDOW: Micros = 4 * MAX_UPDATE_AGE;

impl Gateway {
    /// The owner whose view of a customer's room counts here: the first owner, or the second one
    /// while the first is silent. In a small deployment each owner relies on its own view, and
    /// without peer messages each gateway does.
    pub(super) fn lead_owner(&self, customer: &Customer) -> u16 {
        let decides_alone = self.every_gateway_owns() && customer.owners.is_owner();
        if decides_alone || !self.settings.limits.peers {
            return self.id();
        }
        let pair = customer.owners.pair();
        let now = self.now();
        let responsive = pair.into_iter().find(|o| self.peers.is_responsive(*o, now));
        responsive.unwrap_or(pair[0])
    }

    /// Fixes a customer's owners and this gateway's part of the ceiling for as long as the customer
    /// is known, so that no part of the ceiling is given out twice.
    ///
    /// An owner starts with `tokens` and asks the other owners; the answer of an owner with an
    /// earlier start replaces that value. `tokens` is a full bucket if no peer reported another
    /// level: most customers use little of their buckets, and if all owners are new, none has
    /// better information.
    pub(super) fn assign_owners(&mut self, id: CustomerId, span: Span, tokens: f64) {
        let every_gateway_owns = self.every_gateway_owns();
        let this_gateway = self.id();
        let uptime = self.clock.now - self.clock.started_at;
        let customer = self.customers.get_mut(id);
        let Some(customer) = customer.filter(|c| !c.owners.are_known()) else {
            return;
        };
        let owners = Owners::of(
            id,
            span,
            self.settings.gateway_count,
            this_gateway,
            every_gateway_owns,
        );
        let split = CeilingSplit {
            gateway_span: owners.gateway_span(),
            is_owner: owners.pair().map(|o| o == this_gateway),
            every_gateway_owns,
            uptime,
        };
        customer.set_owners(owners, &self.settings.plans[customer.plan()], &split);
        if !customer.owners.is_owner() || !self.settings.limits.peers {
            return;
        }
        customer.quota.set_tokens(tokens);
        // The second owner of a pair need not ask, since the first one reports to it anyway.
        let asks_other_owners = every_gateway_owns || customer.owners.pair()[0] == this_gateway;
        if asks_other_owners {
            let others = customer.owners.all().iter().filter(|o| **o != this_gateway);
            for owner in others {
                self.peers.put_report(*owner, id, OutboxEntry::new(1, true));
            }
        }
    }

    /// Holds a request whose room is unknown here until its quota owners answer, or until the wait
    /// for them ends. With `ask_now`, the owners are asked even if a recent query is still open.
    pub(super) fn ask_owners(
        &mut self,
        request: &Request,
        wants_ceiling: bool,
        ask_now: bool,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now();
        let Some(pending) = self.requests.get_mut(request.id) else {
            return;
        };
        pending.set_awaiting_owner(true);
        let objective = pending.class().latency_objective;
        // A request past its deadline has no time left, but its owners are asked once more
        // nevertheless.
        let time_left = request.deadline.checked_sub(now);
        let time_left = time_left.map_or(objective, |time_left| time_left.min(objective));
        self.requests.schedule_check(
            now + MAX_UPDATE_AGE.min(time_left / OWNER_WAIT_DIVISOR),
            request.id,
        );
        let this_gateway = self.id();
        let Some(lead) = self
            .customers
            .get(request.customer)
            .map(|c| self.lead_owner(c))
        else {
            return;
        };
        let Some(customer) = self.customers.get_mut(request.customer) else {
            return;
        };
        let query = &mut customer.query;
        query.add_waiting(request.id);
        if query.waiting().len() == 1 || query.since_asked(now) > MAX_UPDATE_AGE || ask_now {
            // When ceiling units are asked for again, the other owner may have some.
            let alternate = wants_ceiling
                && query.asked() == lead
                && query.since_asked(now) < ALTERNATE_OWNER_WINDOW;
            let [first, second] = customer.owners.pair();
            let asked = if alternate || lead == this_gateway {
                first ^ second ^ lead
            } else {
                lead
            };
            query.note_asked(asked, request.units, wants_ceiling, now);
            self.report(request.customer, true, actions);
        }
    }

    /// Asks the other owner after the first one asked has not answered, unless the other one is
    /// silent as well. Returns whether it was asked.
    pub(super) fn ask_other_owner(&mut self, request: &Request, actions: &mut Vec<Action>) -> bool {
        let now = self.now();
        let customer = self.customers.get(request.customer);
        let Some(customer) = customer.filter(|c| !c.query.is_answered()) else {
            return false;
        };
        let asked = customer.query.asked();
        let wants_ceiling = customer.query.wants_ceiling();
        let peer = self.peers.entry(asked);
        let was_responsive = peer.is_responsive(now);
        peer.note_silence(now);
        // The silent owner gets a report, since units that it pledged may not have been used.
        let report = OutboxEntry::new(1, false);
        self.peers.put_report(asked, request.customer, report);
        let customer = self.customers.get(request.customer);
        let Some(lead) = customer.map(|c| self.lead_owner(c)) else {
            return false;
        };
        let ask_other = was_responsive && lead != asked && lead != self.id();
        if ask_other {
            self.ask_owners(request, wants_ceiling, true, actions);
        }
        ask_other
    }

    /// Stops holding a request. Grants lapse with the last request held for the customer.
    pub(super) fn stop_holding(&mut self, customer: CustomerId, id: RequestId) {
        if let Some(found) = self.customers.get_mut(customer) {
            if found.query.stop_waiting(id) {
                found.ceiling.drop_grants();
            }
        }
    }
}
