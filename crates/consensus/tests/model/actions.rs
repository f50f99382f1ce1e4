//! What can happen in the world that is searched.

use crate::world::{
    lost, Channel, DelayedRenewal, Now, Renewal, Second, Variant, World, HOLDER, NAMES, STEP,
};
use std::mem;
use std::sync::Arc;
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::lease::{RenewalResult, SentRenewal};
use wrenfork_consensus::proposer::ProposalPhase;
use wrenfork_consensus::protocol::{Ballot, GroupRequest};

/// How many of the others the holder reaches: with itself that is a majority.
const REACHABLE_VOTERS: usize = 1;
/// Replica of a member that lost its own, without its index.
const EMPTY_REPLICA: u64 = 90;
/// Replica that a member takes when its own is an older copy.
const REPLACED_REPLICA: u64 = 80;
/// Incarnation of a restarted member, without its index.
const RESTARTED_INCARNATION: u64 = 50;

/// The store a member restarts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Store {
    Kept,
    Older,
    Empty,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Time passes.
    Tick,
    /// A request arrives, is handled, and its response is received.
    Arrive(usize, usize),
    /// A request is lost; or handled, and its response is lost.
    Lose(usize, usize, bool),
    /// A proposer crashes.
    End(usize),
    /// The second proposer begins.
    Begin,
    /// The member that has just started asks the others whether its replica is an old copy.
    Confirm,
    /// A member crashes and restarts.
    Crash(usize, Store),
    /// A renewal without delay.
    Renew(usize),
    /// A delayed renewal is sent.
    Send(usize),
    /// The delayed renewal arrives, or its response is received.
    Late,
}

impl World {
    pub fn act(&self, now: &mut Now, action: Action) -> Option<()> {
        match action {
            Action::Tick => {
                now.time += STEP;
                let time = now.time;
                now.members[HOLDER].leases.renew_from_self(time);
            }
            Action::Arrive(p, i) => {
                let request = take_request(now, p, i)?;
                let response = self.handle(now, i, request.clone());
                self.handle_response(now, p, i, &request, Ok(response));
            }
            Action::Lose(p, i, arrives) => {
                now.losses -= 1;
                let request = take_request(now, p, i)?;
                if arrives {
                    self.handle(now, i, request.clone());
                }
                self.handle_response(now, p, i, &request, Err(lost()));
            }
            Action::End(p) => {
                now.crashes -= 1;
                now.proposers[p] = None; // its requests may still arrive
            }
            Action::Begin => {
                now.second_began = true;
                now.proposers[1] = Some(self.proposer(1, now.time));
            }
            Action::Confirm => {
                for i in 0..HOLDER {
                    self.renew(now, i);
                }
            }
            Action::Crash(i, store) => self.restart(now, i, store),
            Action::Renew(i) => self.renew(now, i)?,
            Action::Send(i) => {
                now.delays -= 1;
                now.delayed = Some(DelayedRenewal {
                    member: i,
                    renewal: sent(now),
                });
            }
            Action::Late => self.advance_delayed(now)?,
        }
        Some(())
    }

    fn restart(&self, now: &mut Now, i: usize, store: Store) {
        now.crashes -= 1;
        let state = now.members[i].acceptor.state().clone();
        let state = match store {
            Store::Kept if self.variant == Variant::NothingStored => PersistentState {
                accepted: None,
                promised: Ballot::default(),
                ..state
            },
            Store::Kept => state,
            Store::Older => self.first_state(i),
            Store::Empty => PersistentState::new(NAMES[i], EMPTY_REPLICA + i as u64),
        };
        let state = PersistentState {
            writes: state.writes + 1,
            ..state
        };
        now.members[i] = self.node(i, state, RESTARTED_INCARNATION + i as u64, now.time);
        if i == HOLDER {
            now.delayed = None;
        }
    }

    /// The holder renews from a member without delay.
    fn renew(&self, now: &mut Now, i: usize) -> Option<()> {
        let renewal = arrived(now, i, sent(now));
        self.received(now, i, renewal)
    }

    fn advance_delayed(&self, now: &mut Now) -> Option<()> {
        let DelayedRenewal { member, renewal } = now.delayed.take()?;
        if renewal.response.is_some() {
            return self.received(now, member, renewal);
        }
        let renewal = arrived(now, member, renewal);
        now.delayed = Some(DelayedRenewal { member, renewal });
        Some(())
    }

    /// The holder receives the response to a renewal.
    fn received(&self, now: &mut Now, i: usize, renewal: Renewal) -> Option<()> {
        let response = renewal.response?;
        let at = if self.variant == Variant::CountsFromResponse {
            now.time
        } else {
            renewal.sent
        };
        let sent = SentRenewal { at, writes: None };
        let time = now.time;
        let holder = &mut now.members[HOLDER];
        let result = holder
            .leases
            .handle_response(NAMES[i], sent, &response, time);
        match result {
            RenewalResult::FetchState => {
                let state = now.members[i].acceptor.state().group_state.clone()?;
                self.handle(now, HOLDER, decided(state));
            }
            RenewalResult::SendState => {
                let state = holder.acceptor.state().group_state.clone()?;
                self.handle(now, i, decided(state));
            }
            RenewalResult::StaleReplica if self.variant != Variant::TrustsReplicas => {
                let state = holder.acceptor.state().with_new_replica(REPLACED_REPLICA);
                holder.acceptor.persisted(state.clone());
                holder.leases.apply_state(&state, time);
            }
            RenewalResult::StaleReplica | RenewalResult::Handled => {}
        }
        Some(())
    }

    pub fn possible_actions(&self, now: &Now, actions: &mut Vec<Action>) {
        for p in 0..2 {
            let pending = (0..3).filter(|i| now.channels[p][*i] != Channel::Idle);
            for i in pending {
                actions.push(Action::Arrive(p, i));
                if now.losses > 0 && now.proposers[p].is_some() {
                    actions.push(Action::Lose(p, i, false));
                    actions.push(Action::Lose(p, i, true));
                }
            }
            if now.crashes > 0 && now.proposers[p].is_some() {
                actions.push(Action::End(p));
            }
        }
        let first = now.proposers[0].as_ref();
        let over = first.is_none_or(|p| matches!(p.phase, ProposalPhase::Ended(_)));
        if !now.second_began && over && self.second != Second::Nothing {
            actions.push(Action::Begin);
        }
        if now.crashes > 0 {
            // Members differ by their names alone: it is always the same one that crashes.
            let stores = [Store::Kept, Store::Older, Store::Empty];
            actions.extend(stores.map(|store| Action::Crash(HOLDER, store)));
        }
        if self.bounds.leases {
            self.possible_lease_actions(now, actions);
        } else if now.members[HOLDER].leases.check_vote_eligibility().is_err() {
            actions.push(Action::Confirm);
        }
    }

    fn possible_lease_actions(&self, now: &Now, actions: &mut Vec<Action>) {
        if now.time < STEP * u32::from(self.bounds.steps) {
            actions.push(Action::Tick);
        }
        for i in 0..REACHABLE_VOTERS {
            actions.push(Action::Renew(i));
            if now.delays > 0 {
                actions.push(Action::Send(i));
            }
        }
        if now.delayed.is_some() {
            actions.push(Action::Late);
        }
    }
}

fn take_request(now: &mut Now, p: usize, i: usize) -> Option<GroupRequest> {
    match mem::replace(&mut now.channels[p][i], Channel::Idle) {
        Channel::Request(request) => Some(request),
        Channel::Idle => None,
    }
}

fn decided(state: Arc<GroupState>) -> GroupRequest {
    GroupRequest::Decided {
        version: state.version,
        digest: state.digest.clone(),
        state: Some(state),
    }
}

fn sent(now: &Now) -> Renewal {
    Renewal {
        sent: now.time,
        request: now.members[HOLDER].leases.renewal_request(),
        response: None,
    }
}

/// A member handles a renewal of the holder.
fn arrived(now: &mut Now, i: usize, renewal: Renewal) -> Renewal {
    let time = now.time;
    let leases = &mut now.members[i].leases;
    let response = leases.handle_renewal(&renewal.request, time);
    Renewal {
        response: Some(response),
        ..renewal
    }
}
