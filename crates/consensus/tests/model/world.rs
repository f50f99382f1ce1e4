//! The world that is searched: its members, proposers and messages in flight.

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
/// The member whose leases are looked at.
pub const HOLDER: usize = 2;
const LEASE_MS: u64 = 1_000;
/// Two of them are longer than the wait for a lease, one is not.
pub const STEP: Duration = Duration::from_millis(600);
/// Writes of each replica at the beginning.
const FIRST_WRITES: u64 = 5;

/// What is left out on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Complete,
    /// What is promised and accepted is lost with a crash.
    NothingStored,
    /// Leases under the version before are granted to everybody, also by members that have accepted the next one.
    GrantsAll,
    /// The wait for leases to expire.
    NoWait,
    /// A lease counts from the receipt of the response, not from the sending of the request.
    CountsFromResponse,
    /// A proposer has its own value decided, whatever was accepted before.
    IgnoresAccepted,
    /// An old copy of a replica goes on voting.
    TrustsReplicas,
    /// A member that lost its replica votes under its name.
    VotesWithoutState,
}

/// What the second proposer wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Second {
    Nothing,
    Recovers,
    Another,
}

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the holder's leases are looked at, and time passes. Then the second proposer begins once the first has ended;
    /// else both are at work at once.
    pub leases: bool,
    /// Messages between proposers and members that may be lost.
    pub losses: u8,
    /// Crashes of members and of proposers.
    pub crashes: u8,
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

pub struct World {
    pub variant: Variant,
    pub second: Second,
    pub bounds: Bounds,
    pub first: Arc<GroupState>,
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
pub struct Now {
    pub time: Duration,
    pub members: Vec<Node>,
    pub proposers: Vec<Option<Proposer>>,
    pub second_began: bool,
    /// By proposer and member.
    pub channels: Vec<Vec<Channel>>,
    pub delayed: Option<DelayedRenewal>,
    pub delays: u8,
    pub crashes: u8,
    pub losses: u8,
    /// Who has said that it has accepted what, in which ballot: what a majority has is decided, whoever knows.
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

impl World {
    pub fn new(variant: Variant, second: Second, bounds: Bounds) -> World {
        let change = Digest::default();
        let first = GroupState::new(1, 1, change, "", membership(), policy("old"));
        World {
            variant,
            second,
            bounds,
            first: Arc::new(first),
        }
    }

    pub fn node(&self, n: usize, state: PersistentState, incarnation: u64, now: Duration) -> Node {
        let charter = Membership::default();
        let leases = LeaseManager::new(NAMES[n], &state, charter, incarnation, now);
        Node {
            acceptor: Acceptor::new(state, None),
            leases,
        }
    }

    /// The stored state of a member at the beginning.
    pub fn first_state(&self, n: usize) -> PersistentState {
        PersistentState {
            group_state: Some(self.first.clone()),
            writes: FIRST_WRITES,
            ..PersistentState::new(NAMES[n], n as u64 + 1)
        }
    }

    fn eligibility(&self, leases: &LeaseManager) -> Result<(), VoteWithheld> {
        match self.variant {
            Variant::TrustsReplicas => Ok(()),
            _ => leases.check_vote_eligibility(),
        }
    }

    /// A member handles a request, and stores what that wants.
    pub fn handle(&self, now: &mut Now, i: usize, request: GroupRequest) -> GroupResponse {
        let Node { acceptor, leases } = &mut now.members[i];
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
            tell_others_of_write(now, i);
        }
        let response = self.altered(i, response);
        if let (GroupResponse::Accepted { replica }, Some(accepted)) = (&response, accepted) {
            if self.first.membership.counts_vote(NAMES[i], *replica) {
                *now.accepted_by.entry(accepted).or_default() |= 1 << i;
            }
        }
        response
    }

    /// The response of a member, as the variant has it; without reasons, which are for people.
    fn altered(&self, i: usize, response: GroupResponse) -> GroupResponse {
        let votes_by_name = self.variant == Variant::VotesWithoutState;
        let replica = i as u64 + 1;
        match response {
            GroupResponse::Rejected { .. } => GroupResponse::Rejected {
                reason: String::new(),
            },
            GroupResponse::Accepted { .. } if votes_by_name => GroupResponse::Accepted { replica },
            GroupResponse::Promised {
                accepted, enforced, ..
            } if votes_by_name => GroupResponse::Promised {
                replica,
                accepted,
                enforced,
            },
            response => response,
        }
    }

    /// Puts the requests that are due into the channels.
    pub fn send_requests(&self, now: &mut Now) {
        let time = now.time;
        for p in 0..now.proposers.len() {
            let Some(proposer) = &mut now.proposers[p] else {
                continue;
            };
            for (i, request) in proposer.requests(self.clock(time, proposer)) {
                // That the proposer is alive decides nothing here, since a recovery may begin at any time; whom it names
                // does, and is heard at once or not at all.
                if let GroupRequest::ProposerAlive {
                    ballot,
                    accepted_by,
                } = &request
                {
                    let Node { acceptor, leases } = &mut now.members[i];
                    let accepted = acceptor.state().accepted.as_ref();
                    if accepted.is_some_and(|a| a.ballot == *ballot) {
                        leases.proposer_alive(*ballot, accepted_by, time);
                    }
                    let clock = self.clock(time, proposer);
                    proposer.handle_response(i, &request, Err(lost()), clock);
                } else {
                    now.channels[p][i] = Channel::Request(request);
                }
            }
        }
    }

    /// A proposer handles the outcome of a request.
    pub fn handle_response(
        &self,
        now: &mut Now,
        p: usize,
        i: usize,
        request: &GroupRequest,
        response: Result<GroupResponse, RequestFailed>,
    ) {
        let time = now.time;
        let Some(proposer) = &mut now.proposers[p] else {
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
        proposer.handle_response(i, request, response, self.clock(time, proposer));
    }

    /// The clock of a proposer; one that does not wait believes that all leases have expired.
    fn clock(&self, time: Duration, proposer: &Proposer) -> Duration {
        let waiting =
            proposer.is_waiting_for_leases() || proposer.phase == ProposalPhase::Notifying;
        if self.variant == Variant::NoWait && waiting {
            time + 4 * STEP
        } else {
            time
        }
    }

    pub fn proposer(&self, which: usize, now: Duration) -> Proposer {
        let ballot = Ballot {
            round: 1 + which as u64,
            proposer: which as u64,
        };
        let goal = match (which, self.second) {
            (0, _) => ProposalGoal::Change(change(&self.first, "ann", "new")),
            (_, Second::Recovers | Second::Nothing) => ProposalGoal::Recover,
            (_, Second::Another) => ProposalGoal::Change(change(&self.first, "bob", "other")),
        };
        Proposer::new(self.first.clone(), goal, ballot, now)
    }

    /// The members at the beginning: all have answered each other, so that the holder has a lease, and all may vote.
    fn first_members(&self, time: Duration) -> Vec<Node> {
        let mut members: Vec<Node> = (0..3)
            .map(|n| self.node(n, self.first_state(n), 7 + n as u64, time))
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

/// The outcome of a request that was lost, or whose response was.
pub fn lost() -> RequestFailed {
    RequestFailed {
        reason: String::new(),
    }
}

/// Others are told of each write with the next renewal: what a copy is older than is known.
fn tell_others_of_write(now: &mut Now, i: usize) {
    let request = now.members[i].leases.renewal_request();
    for other in (0..3).filter(|other| *other != i) {
        let leases = &mut now.members[other].leases;
        leases.handle_renewal(&request, Duration::ZERO);
    }
}

impl Model for World {
    type State = Now;
    type Action = Action;

    fn init_states(&self) -> Vec<Now> {
        let both = !self.bounds.leases;
        let mut now = Now {
            time: STEP,
            members: self.first_members(STEP),
            proposers: vec![
                Some(self.proposer(0, STEP)),
                both.then(|| self.proposer(1, STEP)),
            ],
            second_began: both,
            channels: vec![vec![Channel::Idle; 3]; 2],
            delayed: None,
            delays: 1,
            crashes: self.bounds.crashes,
            losses: self.bounds.losses,
            accepted_by: BTreeMap::new(),
        };
        self.send_requests(&mut now);
        vec![now]
    }

    fn actions(&self, now: &Now, actions: &mut Vec<Action>) {
        self.possible_actions(now, actions);
    }

    fn next_state(&self, last: &Now, action: Action) -> Option<Now> {
        let mut now = last.clone();
        self.act(&mut now, action)?;
        self.send_requests(&mut now);
        (now != *last).then_some(now)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
