//! The actions of the model: message delivery and loss, crashes, renewals and the passing of time.

use crate::group_model::{
    request_lost, Channel, DelayedRenewal, GroupModel, Renewal, SecondProposer, SystemState,
    Variant, LEASE_HOLDER, NAMES, STEP,
};
use std::mem;
use std::sync::Arc;
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::lease::{RenewalResult, SentRenewal};
use wrenfork_consensus::proposer::ProposalPhase;
use wrenfork_consensus::protocol::{Ballot, GroupRequest};

/// Number of other voters that the holder renews from: with the holder itself, they are a majority.
const REACHABLE_VOTERS: usize = 1;
/// Lowest replica id of a member that lost its store; the member's index is added.
const EMPTY_REPLICA: u64 = 90;
/// Replica id that a member takes when its own replica turns out to be an older copy.
const REPLACED_REPLICA: u64 = 80;
/// Lowest incarnation of a restarted member; the member's index is added.
const RESTARTED_INCARNATION: u64 = 50;

/// The store a member restarts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RestartStore {
    /// The store as it was when the member crashed.
    Kept,
    /// The store of the initial state.
    OlderCopy,
    Empty,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Time advances by one step.
    AdvanceTime,
    /// The request of a proposer to a member is handled, and the response received. Fields: proposer, member.
    Deliver(usize, usize),
    /// The request of a proposer to a member is lost, or its response if the last field is true. Fields: proposer,
    /// member, whether the request is handled.
    Lose(usize, usize, bool),
    /// A proposer crashes. Field: proposer.
    CrashProposer(usize),
    /// The second proposer starts.
    StartSecondProposer,
    /// A restarted member renews from the others, which tell it whether its replica is an older copy.
    ConfirmReplica,
    /// A member crashes and restarts. Fields: member, the store it restarts with.
    CrashMember(usize, RestartStore),
    /// The holder renews from a member without delay. Field: member.
    Renew(usize),
    /// The holder sends a renewal that will be delayed. Field: member.
    SendDelayed(usize),
    /// The delayed renewal is handled by its voter, or its response received by the holder.
    DeliverDelayed,
}

impl GroupModel {
    pub fn apply(&self, system: &mut SystemState, action: Action) -> Option<()> {
        match action {
            Action::AdvanceTime => {
                system.time += STEP;
                let time = system.time;
                system.members[LEASE_HOLDER].leases.renew_from_self(time);
            }
            Action::Deliver(proposer, member) => {
                let request = take_request(system, proposer, member)?;
                let response = self.handle_request(system, member, request.clone());
                self.handle_response(system, proposer, member, &request, Ok(response));
            }
            Action::Lose(proposer, member, arrives) => {
                system.losses -= 1;
                let request = take_request(system, proposer, member)?;
                if arrives {
                    self.handle_request(system, member, request.clone());
                }
                self.handle_response(system, proposer, member, &request, Err(request_lost()));
            }
            Action::CrashProposer(proposer) => {
                system.crashes -= 1;
                system.proposers[proposer] = None; // requests in flight may still arrive
            }
            Action::StartSecondProposer => {
                system.second_began = true;
                system.proposers[1] = Some(self.proposer(1, system.time));
            }
            Action::ConfirmReplica => {
                for member in 0..LEASE_HOLDER {
                    self.renew(system, member);
                }
            }
            Action::CrashMember(member, store) => self.restart(system, member, store),
            Action::Renew(member) => self.renew(system, member)?,
            Action::SendDelayed(member) => {
                system.delays -= 1;
                system.delayed = Some(DelayedRenewal {
                    member,
                    renewal: new_renewal(system),
                });
            }
            Action::DeliverDelayed => self.advance_delayed(system)?,
        }
        Some(())
    }

    fn restart(&self, system: &mut SystemState, member: usize, store: RestartStore) {
        system.crashes -= 1;
        let state = system.members[member].acceptor.state().clone();
        let state = match store {
            RestartStore::Kept if self.variant == Variant::LosesVotes => PersistentState {
                accepted: None,
                promised: Ballot::default(),
                ..state
            },
            RestartStore::Kept => state,
            RestartStore::OlderCopy => self.initial_state(member),
            RestartStore::Empty => {
                PersistentState::new(NAMES[member], EMPTY_REPLICA + member as u64)
            }
        };
        let state = PersistentState {
            writes: state.writes + 1,
            ..state
        };
        system.members[member] = self.node(
            member,
            state,
            RESTARTED_INCARNATION + member as u64,
            system.time,
        );
        if member == LEASE_HOLDER {
            system.delayed = None;
        }
    }

    /// Renews the holder's lease from a member without delay.
    fn renew(&self, system: &mut SystemState, member: usize) -> Option<()> {
        let renewal = handle_renewal(system, member, new_renewal(system));
        self.receive(system, member, renewal)
    }

    fn advance_delayed(&self, system: &mut SystemState) -> Option<()> {
        let DelayedRenewal { member, renewal } = system.delayed.take()?;
        if renewal.response.is_some() {
            return self.receive(system, member, renewal);
        }
        let renewal = handle_renewal(system, member, renewal);
        system.delayed = Some(DelayedRenewal { member, renewal });
        Some(())
    }

    /// Has the holder handle the response to a renewal.
    fn receive(&self, system: &mut SystemState, member: usize, renewal: Renewal) -> Option<()> {
        let response = renewal.response?;
        let at = if self.variant == Variant::CountsFromResponse {
            system.time
        } else {
            renewal.sent
        };
        let sent = SentRenewal { at, writes: None };
        let time = system.time;
        let holder = &mut system.members[LEASE_HOLDER];
        let result = holder
            .leases
            .handle_response(NAMES[member], sent, &response, time);
        match result {
            RenewalResult::FetchState => {
                let state = system.members[member]
                    .acceptor
                    .state()
                    .group_state
                    .clone()?;
                self.handle_request(system, LEASE_HOLDER, decided_request(state));
            }
            RenewalResult::SendState => {
                let state = holder.acceptor.state().group_state.clone()?;
                self.handle_request(system, member, decided_request(state));
            }
            RenewalResult::StaleReplica if self.variant != Variant::TrustsOldCopies => {
                let state = holder.acceptor.state().with_new_replica(REPLACED_REPLICA);
                holder.acceptor.persisted(state.clone());
                holder.leases.apply_state(&state, time);
            }
            RenewalResult::StaleReplica | RenewalResult::Handled => {}
        }
        Some(())
    }

    pub fn possible_actions(&self, system: &SystemState, actions: &mut Vec<Action>) {
        for proposer in 0..2 {
            let pending =
                (0..3).filter(|member| system.channels[proposer][*member] != Channel::Idle);
            for member in pending {
                actions.push(Action::Deliver(proposer, member));
                if system.losses > 0 && system.proposers[proposer].is_some() {
                    actions.push(Action::Lose(proposer, member, false));
                    actions.push(Action::Lose(proposer, member, true));
                }
            }
            if system.crashes > 0 && system.proposers[proposer].is_some() {
                actions.push(Action::CrashProposer(proposer));
            }
        }
        let first = system.proposers[0].as_ref();
        let first_ended = first.is_none_or(|p| matches!(p.phase, ProposalPhase::Ended(_)));
        if !system.second_began && first_ended && self.second != SecondProposer::Absent {
            actions.push(Action::StartSecondProposer);
        }
        if system.crashes > 0 {
            // Members differ only in their names, so it is enough that one of them crashes.
            let stores = [
                RestartStore::Kept,
                RestartStore::OlderCopy,
                RestartStore::Empty,
            ];
            actions.extend(stores.map(|store| Action::CrashMember(LEASE_HOLDER, store)));
        }
        if self.bounds.leases {
            self.possible_lease_actions(system, actions);
        } else if system.members[LEASE_HOLDER]
            .leases
            .check_vote_eligibility()
            .is_err()
        {
            actions.push(Action::ConfirmReplica);
        }
    }

    fn possible_lease_actions(&self, system: &SystemState, actions: &mut Vec<Action>) {
        if system.time < STEP * u32::from(self.bounds.steps) {
            actions.push(Action::AdvanceTime);
        }
        for member in 0..REACHABLE_VOTERS {
            actions.push(Action::Renew(member));
            if system.delays > 0 {
                actions.push(Action::SendDelayed(member));
            }
        }
        if system.delayed.is_some() {
            actions.push(Action::DeliverDelayed);
        }
    }
}

fn take_request(system: &mut SystemState, proposer: usize, member: usize) -> Option<GroupRequest> {
    match mem::replace(&mut system.channels[proposer][member], Channel::Idle) {
        Channel::Request(request) => Some(request),
        Channel::Idle => None,
    }
}

fn decided_request(state: Arc<GroupState>) -> GroupRequest {
    GroupRequest::Decided {
        version: state.version,
        digest: state.digest.clone(),
        state: Some(state),
    }
}

fn new_renewal(system: &SystemState) -> Renewal {
    Renewal {
        sent: system.time,
        request: system.members[LEASE_HOLDER].leases.renewal_request(),
        response: None,
    }
}

/// Has a member handle a renewal of the holder.
fn handle_renewal(system: &mut SystemState, member: usize, renewal: Renewal) -> Renewal {
    let time = system.time;
    let leases = &mut system.members[member].leases;
    let response = leases.handle_renewal(&renewal.request, time);
    Renewal {
        response: Some(response),
        ..renewal
    }
}
