//! The model that `stateright` checks: members, proposers and messages in flight.

use crate::actions::Action;
use crate::properties;
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::{Digest, State};
use wrenfork_consensus::acceptor::{Acceptor, PersistentState, Step};
use wrenfork_consensus::eligibility::VoteWithheld;
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::lease::{LeaseManager, SentRenewal};
use wrenfork_consensus::membership::{Member, MemberRole, Membership};
use wrenfork_consensus::proposer::{ProposalGoal, ProposalPhase, Proposer, RequestFailed};
use wrenfork_consensus::protocol::{
    Ballot, GroupRequest, GroupResponse, RenewalRequest, RenewalResponse, RenewalVerdict,
};

pub const NAMES: [&str; 3] = ["a", "b", "c"];
/// The member whose leases are modelled, and the one that crashes.
pub const LEASE_HOLDER: usize = 2;
const LEASE_MS: u64 = 1_000;
/// A step of time. Two steps are longer than the wait for leases to expire, one is shorter.
pub const STEP: Duration = Duration::from_millis(600);
/// Number of writes of each replica in the initial state.
const INITIAL_WRITES: u64 = 5;

/// The protocol, complete or with one safeguard removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Complete,
    /// A crash loses the promise and the accepted state.
    LosesVotes,
    /// Members that have accepted the next version still grant every lease under the version in force.
    GrantsAll,
    /// Proposers don't wait for leases to expire.
    SkipsLeaseWait,
    /// A lease counts from the receipt of the response instead of the sending of the request.
    CountsFromResponse,
    /// A proposer proposes its own value even if a state was accepted in an earlier ballot.
    IgnoresAccepted,
    /// An older copy of a replica keeps voting.
    TrustsOldCopies,
    /// A member that lost its replica still votes as the old replica.
    VotesWithoutReplica,
}

/// What the second proposer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondProposer {
    Absent,
    Recovers,
    ProposesOther,
}

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the holder's leases are modelled and time passes. If so, the second proposer begins after the first has
    /// ended; otherwise both run concurrently.
    pub leases: bool,
    /// Number of messages between proposers and members that may be lost.
    pub losses: u8,
    /// Number of crashes of members and proposers.
    pub crashes: u8,
    /// Time limit, as a number of `STEP`s.
    pub steps: u8,
}

impl Bounds {
    pub fn decisions(crashes: u8) -> Bounds {
        Bounds {
            leases: false,
            losses: 0,
            crashes,
            steps: 1,
        }
    }

    pub fn leases(losses: u8, crashes: u8, steps: u8) -> Bounds {
        Bounds {
            leases: true,
            losses,
            crashes,
            steps,
        }
    }
}

pub struct GroupModel {
    pub variant: Variant,
    pub second: SecondProposer,
    pub bounds: Bounds,
    /// The group state that is in force at all members in the initial state.
    pub initial_group_state: Arc<GroupState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    Idle,
    Request(GroupRequest),
}

/// A renewal in flight between the holder and another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewal {
    pub sent: Duration,
    pub request: RenewalRequest,
    pub response: Option<RenewalResponse>,
}

/// A delayed renewal, and the member it is sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DelayedRenewal {
    pub member: usize,
    pub renewal: Renewal,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub acceptor: Acceptor,
    pub leases: LeaseManager,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub time: Duration,
    pub members: Vec<Node>,
    pub proposers: Vec<Option<Proposer>>,
    pub second_began: bool,
    /// The request in flight, by proposer and member.
    pub channels: Vec<Vec<Channel>>,
    pub delayed: Option<DelayedRenewal>,
    pub delays: u8,
    pub crashes: u8,
    pub losses: u8,
    /// Bit set of the members that responded with a counting vote that they have accepted a state, by ballot and
    /// digest. A state that a majority has accepted is decided, even if no process knows.
    pub accepted_by: BTreeMap<(Ballot, Digest), u8>,
}

fn policy(value: &str) -> Policy {
    let state = Arc::new(State([("quota".to_string(), value.to_string())].into()));
    Policy::from_states(&NAMES.map(|n| (n.to_string(), state.clone())).into())
}

fn membership() -> Membership {
    let member = |n: usize| Member {
        name: NAMES[n].into(),
        replica: n as u64 + 1,
        role: MemberRole::Ingress,
        votes: true,
    };
    Membership::new(1, LEASE_MS, (0..3).map(member).collect()).unwrap()
}

fn change(base: &GroupState, author: &str, value: &str) -> Arc<GroupState> {
    Arc::new(GroupState::new(
        base.version + 1,
        base.generation + 1,
        Digest::of(author.as_bytes()),
        author,
        base.membership.clone(),
        policy(value),
    ))
}

impl GroupModel {
    pub fn new(variant: Variant, second: SecondProposer, bounds: Bounds) -> GroupModel {
        let change = Digest::default();
        let group_state = GroupState::new(1, 1, change, "", membership(), policy("old"));
        GroupModel {
            variant,
            second,
            bounds,
            initial_group_state: Arc::new(group_state),
        }
    }

    pub fn node(&self, n: usize, state: PersistentState, incarnation: u64, time: Duration) -> Node {
        let initial_membership = Membership::default();
        let leases = LeaseManager::new(NAMES[n], &state, initial_membership, incarnation, time);
        Node {
            acceptor: Acceptor::new(state, None),
            leases,
        }
    }

    /// The stored state of a member in the initial state.
    pub fn initial_state(&self, n: usize) -> PersistentState {
        PersistentState {
            group_state: Some(self.initial_group_state.clone()),
            writes: INITIAL_WRITES,
            ..PersistentState::new(NAMES[n], n as u64 + 1)
        }
    }

    fn eligibility(&self, leases: &LeaseManager) -> Result<(), VoteWithheld> {
        match self.variant {
            Variant::TrustsOldCopies => Ok(()),
            _ => leases.check_vote_eligibility(),
        }
    }

    /// Has a member handle a request, and stores its state.
    pub fn handle_request(
        &self,
        system: &mut SystemState,
        member: usize,
        request: GroupRequest,
    ) -> GroupResponse {
        let Node { acceptor, leases } = &mut system.members[member];
        // Grants are blocked before the accepted state is stored.
        let mut accepted = None;
        if let GroupRequest::Accept { state, ballot } = &request {
            leases.block_grants(*ballot, &state.digest, Duration::ZERO);
            accepted = Some((*ballot, state.digest.clone()));
        }
        let eligibility = self.eligibility(leases);
        let response = match acceptor.handle(request, eligibility, |_| Ok(())) {
            Step::Respond(response) => response,
            Step::Persist {
                state, response, ..
            } => {
                acceptor.persisted(*state);
                response
            }
        };
        let mut state = acceptor.state().clone();
        if self.variant == Variant::GrantsAll {
            state.accepted = None;
        }
        leases.apply_state(&state, Duration::ZERO);
        if !self.bounds.leases {
            report_writes(system, member);
        }
        let response = self.apply_variant(member, response);
        if let (GroupResponse::Accepted { replica }, Some(accepted)) = (&response, accepted) {
            if self
                .initial_group_state
                .membership
                .counts_vote(NAMES[member], *replica)
            {
                *system.accepted_by.entry(accepted).or_default() |= 1 << member;
            }
        }
        response
    }

    /// The response of a member as changed by the variant. Reasons of rejections are removed: they would only multiply
    /// the states.
    fn apply_variant(&self, member: usize, response: GroupResponse) -> GroupResponse {
        let votes_as_old_replica = self.variant == Variant::VotesWithoutReplica;
        let replica = member as u64 + 1;
        match response {
            GroupResponse::Rejected { .. } => GroupResponse::Rejected {
                reason: String::new(),
            },
            GroupResponse::Accepted { .. } if votes_as_old_replica => {
                GroupResponse::Accepted { replica }
            }
            GroupResponse::Promised {
                accepted, enforced, ..
            } if votes_as_old_replica => GroupResponse::Promised {
                replica,
                accepted,
                enforced,
            },
            response => response,
        }
    }

    /// Puts the due requests of the proposers into the channels.
    pub fn send_requests(&self, system: &mut SystemState) {
        let time = system.time;
        for index in 0..system.proposers.len() {
            let Some(proposer) = &mut system.proposers[index] else {
                continue;
            };
            for (member, request) in proposer.requests(self.clock(time, proposer)) {
                // Heartbeats as such have no effect here, since a recovery may begin at any time. The members that they
                // name do, so a heartbeat is delivered at once; its response counts as lost.
                if let GroupRequest::ProposerAlive {
                    ballot,
                    accepted_by,
                } = &request
                {
                    let Node { acceptor, leases } = &mut system.members[member];
                    let accepted = acceptor.state().accepted.as_ref();
                    if accepted.is_some_and(|a| a.ballot == *ballot) {
                        leases.proposer_alive(*ballot, accepted_by, time);
                    }
                    let clock = self.clock(time, proposer);
                    proposer.handle_response(member, &request, Err(request_lost()), clock);
                } else {
                    system.channels[index][member] = Channel::Request(request);
                }
            }
        }
    }

    /// Has a proposer handle the outcome of a request.
    pub fn handle_response(
        &self,
        system: &mut SystemState,
        index: usize,
        member: usize,
        request: &GroupRequest,
        response: Result<GroupResponse, RequestFailed>,
    ) {
        let time = system.time;
        let Some(proposer) = &mut system.proposers[index] else {
            return;
        };
        let response = match response {
            Ok(GroupResponse::Promised {
                replica, enforced, ..
            }) if self.variant == Variant::IgnoresAccepted => Ok(GroupResponse::Promised {
                replica,
                accepted: None,
                enforced,
            }),
            other => other,
        };
        proposer.handle_response(member, request, response, self.clock(time, proposer));
    }

    /// The clock of a proposer. With `SkipsLeaseWait`, it is far enough ahead that all leases seem to have expired.
    fn clock(&self, time: Duration, proposer: &Proposer) -> Duration {
        let waiting =
            proposer.is_waiting_for_leases() || proposer.phase == ProposalPhase::Notifying;
        if self.variant == Variant::SkipsLeaseWait && waiting {
            time + 4 * STEP
        } else {
            time
        }
    }

    pub fn proposer(&self, index: usize, time: Duration) -> Proposer {
        let ballot = Ballot {
            round: 1 + index as u64,
            proposer: index as u64,
        };
        let goal = match (index, self.second) {
            (0, _) => ProposalGoal::Change(change(&self.initial_group_state, "ann", "new")),
            (_, SecondProposer::Recovers | SecondProposer::Absent) => ProposalGoal::Recover,
            (_, SecondProposer::ProposesOther) => {
                ProposalGoal::Change(change(&self.initial_group_state, "bob", "other"))
            }
        };
        Proposer::new(self.initial_group_state.clone(), goal, ballot, time)
    }

    /// The members in the initial state. All have renewed from each other, so that the holder has a lease and all may
    /// vote.
    fn initial_members(&self, time: Duration) -> Vec<Node> {
        let mut members: Vec<Node> = (0..3)
            .map(|n| self.node(n, self.initial_state(n), 7 + n as u64, time))
            .collect();
        for from in 0..3 {
            members[from].leases.renew_from_self(time);
            for to in (0..3).filter(|to| *to != from) {
                let request = members[from].leases.renewal_request();
                let response = members[to].leases.handle_renewal(&request, time);
                assert_eq!(response.verdict, RenewalVerdict::Granted);
                let sent = SentRenewal {
                    at: time,
                    writes: Some(request.replica_version.writes),
                };
                let holder = &mut members[from].leases;
                holder.handle_response(NAMES[to], sent, &response, time);
            }
        }
        members
    }
}

/// The outcome of a request that was lost, or whose response was lost.
pub fn request_lost() -> RequestFailed {
    RequestFailed {
        reason: String::new(),
    }
}

/// Reports the writes of a member to the others, as its next renewal would, so that they can detect an older copy.
fn report_writes(system: &mut SystemState, member: usize) {
    let request = system.members[member].leases.renewal_request();
    for other in (0..3).filter(|other| *other != member) {
        let leases = &mut system.members[other].leases;
        leases.handle_renewal(&request, Duration::ZERO);
    }
}

impl Model for GroupModel {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        let concurrent = !self.bounds.leases;
        let mut system = SystemState {
            time: STEP,
            members: self.initial_members(STEP),
            proposers: vec![
                Some(self.proposer(0, STEP)),
                concurrent.then(|| self.proposer(1, STEP)),
            ],
            second_began: concurrent,
            channels: vec![vec![Channel::Idle; 3]; 2],
            delayed: None,
            delays: 1,
            crashes: self.bounds.crashes,
            losses: self.bounds.losses,
            accepted_by: BTreeMap::new(),
        };
        self.send_requests(&mut system);
        vec![system]
    }

    fn actions(&self, system: &SystemState, actions: &mut Vec<Action>) {
        self.possible_actions(system, actions);
    }

    fn next_state(&self, last: &SystemState, action: Action) -> Option<SystemState> {
        let mut system = last.clone();
        self.apply(&mut system, action)?;
        self.send_requests(&mut system);
        (system != *last).then_some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
