//! A customer's quota owners: who they are, whose word counts, and the questions that requests are
//! held for.

use super::Gateway;
use crate::action::Action;
use crate::customers::ceiling::CeilingSplit;
use crate::customers::owner_query::MAX_UPDATE_AGE;
use crate::customers::owners::{Owners, Span};
use crate::customers::Customer;
use crate::event::Request;
use crate::gossip::peers::OutboxEntry;
use crate::ids::{CustomerId, Micros, RequestId};

/// The part of a latency objective that an answer is waited for at most (ours).
const WAIT_PART: u64 = 5;
/// How long the other owner is asked in turn, for the ceiling's sake, in microseconds (ours).
const TURN: Micros = 4 * MAX_UPDATE_AGE;

impl Gateway {
    /// The owner whose word on a customer's room counts here: the first, or the second while that
    /// is silent. In a small deployment each owner's own, and where there is nobody to ask one's
    /// own.
    pub(super) fn lead_owner(&self, customer: &Customer) -> u16 {
        let owns = self.every_gateway_owns() && customer.owners.is_owner();
        if owns || !self.settings.limits.peers {
            return self.id();
        }
        let pair = customer.owners.pair();
        let now = self.now();
        let heard = pair.into_iter().find(|o| self.peers.is_responsive(*o, now));
        heard.unwrap_or(pair[0])
    }

    /// Fixes, for good, a customer's owners and the part of its ceiling here: not given out twice.
    /// An owner begins with `tokens` (full, if nobody told another: most use little of their
    /// buckets, and where all owners are new nobody knows better) and asks the others: an older
    /// one's word comes in its place.
    pub(super) fn settle_customer(&mut self, id: CustomerId, span: Span, tokens: f64) {
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
        // The second of two is told by the first in any case.
        let asks = every_gateway_owns || customer.owners.pair()[0] == this_gateway;
        if asks {
            let others = customer.owners.all().iter().filter(|o| **o != this_gateway);
            for owner in others {
                self.peers.put_report(*owner, id, OutboxEntry::new(1, true));
            }
        }
    }

    /// The room is not known here: the request is held until the owners' word comes, or for as long
    /// as that may take. They are asked at once where they `must` be.
    pub(super) fn ask_owners(
        &mut self,
        request: &Request,
        wants_ceiling: bool,
        must: bool,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now();
        let Some(pending) = self.requests.get_mut(request.id) else {
            return;
        };
        pending.set_awaiting_owner(true);
        let objective = pending.class().latency_objective;
        // Past its deadline it has no time left, and is asked for once more all the same.
        let left = request.deadline.checked_sub(now);
        let left = left.map_or(objective, |left| left.min(objective));
        self.requests
            .check_at(now + MAX_UPDATE_AGE.min(left / WAIT_PART), request.id);
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
        if query.waiting().len() == 1 || query.since_asked(now) > MAX_UPDATE_AGE || must {
            // Asked again for the ceiling's sake, the other one may have some.
            let turn = wants_ceiling && query.asked() == lead && query.since_asked(now) < TURN;
            let [one, other] = customer.owners.pair();
            let asked = if turn || lead == this_gateway {
                one ^ other ^ lead
            } else {
                lead
            };
            query.note_asked(asked, request.units, wants_ceiling, now);
            self.report(request.customer, true, actions);
        }
    }

    /// The owner that was asked has not answered: the other one is asked, if it is not silent as
    /// well. Whether it was.
    pub(super) fn ask_other_owner(&mut self, request: &Request, actions: &mut Vec<Action>) -> bool {
        let now = self.now();
        let customer = self.customers.get(request.customer);
        let Some(customer) = customer.filter(|c| !c.query.is_answered()) else {
            return false;
        };
        let asked = customer.query.asked();
        let wants_ceiling = customer.query.wants_ceiling();
        let peer = self.peers.entry(asked);
        let was_heard = peer.is_responsive(now);
        peer.note_silence(now);
        // What it has pledged may not have been used.
        let report = OutboxEntry::new(1, false);
        self.peers.put_report(asked, request.customer, report);
        let customer = self.customers.get(request.customer);
        let Some(lead) = customer.map(|c| self.lead_owner(c)) else {
            return false;
        };
        let other = was_heard && lead != asked && lead != self.id();
        if other {
            self.ask_owners(request, wants_ceiling, true, actions);
        }
        other
    }

    /// A request is held no longer; what was granted for the last one lapses with it.
    pub(super) fn stop_holding(&mut self, customer: CustomerId, id: RequestId) {
        if let Some(c) = self.customers.get_mut(customer) {
            if c.query.stop_waiting(id) {
                c.ceiling.drop_grants();
            }
        }
    }
}
