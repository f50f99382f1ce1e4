//! The proposer of a group state: drives single-decree Paxos (Lamport, "Paxos Made Simple", 2001).
//!
//! `wrenctl` runs a proposer to make a change. A member runs one to recover a version that another proposer left
//! undecided, or to form the group.
//!
//! 1. *Prepare*: asks every member for a promise, and to check the candidate. If a member can't enforce the candidate,
//!    the proposal ends before anything is decided. After promises of a majority, the proposer proposes the state that
//!    was accepted in the highest earlier ballot, or else its own candidate.
//! 2. *Accept*: asks every member to accept the state. Once a majority has, the state is decided, even if the proposer
//!    fails.
//! 3. *Notify*: tells the members to put the state in force. This phase begins once every serving member has accepted
//!    the state, or the leases of those that have not must have expired.

mod peer;
mod phase;

use crate::group_state::{GroupState, Policy};
use crate::membership::{Membership, ReplicaId};
use crate::protocol::{AcceptedState, Ballot, GroupRequest, GroupResponse};
use peer::Peer;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::reason::MemberReason;

pub use phase::{ProposalGoal, ProposalOutcome, ProposalPhase, RequestFailed};
use wrenfork_commit::state::{Digest, State};

/// Heartbeats per lease length to each member that has accepted the state. Several fit into half a lease, after which a
/// member without a heartbeat begins recovery.
const HEARTBEATS_PER_LEASE: u32 = 6;
/// Retries per lease length of a request that failed or was refused.
const RETRIES_PER_LEASE: u32 = 10;
/// The prepare phase waits for slow members up to the length of a lease divided by this number.
const PREPARE_WAIT_DIVISOR: u32 = 3;

/// A proposal of one group state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    goal: ProposalGoal,
    /// Version of the proposed group state.
    version: u64,
    ballot: Ballot,
    /// The group state in force, whose voters decide on the next version.
    base: Arc<GroupState>,
    peers: Vec<Peer>,
    /// The state accepted in the highest ballot, among those that promises have reported.
    accepted_before: Option<AcceptedState>,
    /// The state that is proposed; none during the prepare phase.
    value: Option<Arc<GroupState>>,
    /// When the current phase began.
    phase_began: Duration,
    /// When a quorum was reached in the current phase; none before.
    quorum_at: Option<Duration>,
    /// Current phase of the proposal, or its outcome.
    pub phase: ProposalPhase,
}

impl Proposer {
    /// Creates a proposer of the version after `base`, the group state in force.
    ///
    /// `ballot` must have a higher round than every known ballot, and a random proposer number.
    pub fn new(
        base: Arc<GroupState>,
        goal: ProposalGoal,
        ballot: Ballot,
        now: Duration,
    ) -> Proposer {
        let members = base.membership.members.iter();
        let peers = members.map(|member| Peer::new(member, now)).collect();
        Proposer {
            goal,
            version: base.version + 1,
            ballot,
            base,
            peers,
            accepted_before: None,
            value: None,
            phase_began: now,
            quorum_at: None,
            phase: ProposalPhase::Preparing,
        }
    }

    /// Creates a proposer that forms a group with the configured `initial_membership`.
    pub fn form_group(initial_membership: Membership, ballot: Ballot, now: Duration) -> Proposer {
        let no_group = GroupState {
            membership: initial_membership,
            ..GroupState::default()
        };
        Proposer::new(Arc::new(no_group), ProposalGoal::Form, ballot, now)
    }

    /// Names of the members. Requests and responses refer to a member by its index in this order.
    pub fn member_names(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().map(|peer| peer.name.as_str())
    }

    /// The ballot of this proposal.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The state that is proposed or decided; none during the prepare phase.
    pub fn value(&self) -> Option<&Arc<GroupState>> {
        self.value.as_ref()
    }

    /// Members that have not completed the current phase, each with the reason.
    pub fn unresponsive(&self) -> Vec<MemberReason> {
        let missing = self.peers.iter().filter(|peer| !peer.answered);
        missing
            .map(|peer| MemberReason {
                member: peer.name.clone(),
                reason: match &peer.reason {
                    Some(reason) => reason.clone(),
                    None => "no response".into(),
                },
            })
            .collect()
    }

    /// Whether the state is decided and the proposer waits for leases to expire before it notifies the members.
    pub fn is_waiting_for_leases(&self) -> bool {
        self.phase == ProposalPhase::Accepting && self.quorum_at.is_some()
    }

    fn votes(&self) -> usize {
        self.peers.iter().filter(|peer| peer.voted).count()
    }

    fn votes_needed(&self) -> usize {
        // Forming a group takes all members: a majority can't rule out that the others already belong to a group.
        if self.goal == ProposalGoal::Form {
            self.peers.len()
        } else {
            self.base.membership.majority()
        }
    }

    fn lease(&self) -> Duration {
        self.base.membership.lease()
    }

    fn begin_phase(&mut self, phase: ProposalPhase, now: Duration) {
        self.phase = phase;
        self.phase_began = now;
        self.quorum_at = None;
        for peer in &mut self.peers {
            peer.begin_phase(now);
        }
    }

    fn end(&mut self, outcome: ProposalOutcome) {
        self.phase = ProposalPhase::Ended(outcome);
    }

    /// The requests that are due, each with the index of the member to send it to. At most one request per member is in
    /// flight.
    pub fn requests(&mut self, now: Duration) -> Vec<(usize, GroupRequest)> {
        self.advance(now);
        let heartbeat = self.heartbeat();
        let next_heartbeat = now + self.lease() / HEARTBEATS_PER_LEASE;
        let mut requests = Vec::new();
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            if peer.requested || peer.not_before > now {
                continue;
            }
            let request = match self.phase_request(peer) {
                Some(request) => request,
                None if self.phase == ProposalPhase::Accepting && peer.answered => {
                    self.peers[index].not_before = next_heartbeat;
                    heartbeat.clone()
                }
                None => continue,
            };
            self.peers[index].requested = true;
            requests.push((index, request));
        }
        requests
    }

    fn heartbeat(&self) -> GroupRequest {
        let accepted = self.peers.iter().filter(|peer| peer.accepted);
        GroupRequest::ProposerAlive {
            ballot: self.ballot,
            accepted_by: accepted.map(|peer| peer.name.clone()).collect(),
        }
    }

    /// The request of the current phase to a member; none if the member has completed the phase.
    fn phase_request(&self, peer: &Peer) -> Option<GroupRequest> {
        let vote_missing = peer.is_vote_missing(self.quorum_at.is_some());
        match self.phase {
            ProposalPhase::Preparing if vote_missing => Some(GroupRequest::Prepare {
                version: self.version,
                ballot: self.ballot,
                candidate: match &self.goal {
                    ProposalGoal::Change(state) => Some(state.clone()),
                    ProposalGoal::Recover | ProposalGoal::Form => None,
                },
            }),
            ProposalPhase::Accepting if vote_missing => Some(GroupRequest::Accept {
                ballot: self.ballot,
                state: self.value.clone()?,
            }),
            ProposalPhase::Notifying if !peer.answered => {
                let value = self.value.as_ref()?;
                let send_state = !peer.accepted || peer.needs_state;
                Some(GroupRequest::Decided {
                    version: self.version,
                    digest: value.digest.clone(),
                    state: send_state.then(|| value.clone()),
                })
            }
            _ => None,
        }
    }

    /// Maximum time until [`Proposer::requests`] must be called again, if no response is received before.
    pub fn next_request_in(&self, now: Duration) -> Duration {
        let quorum_reached = self.quorum_at.is_some();
        let accepting = self.phase == ProposalPhase::Accepting;
        let idle = self.peers.iter().filter(|peer| !peer.requested);
        let due = idle.filter(|peer| accepting || peer.is_vote_missing(quorum_reached));
        let due = due.map(|peer| peer.not_before).chain(self.phase_ends_at());
        due.min().map_or(self.lease(), |at| at.saturating_sub(now))
    }

    /// When the current phase ends even if not all members have responded; none before a quorum is reached.
    fn phase_ends_at(&self) -> Option<Duration> {
        let quorum_at = self.quorum_at?;
        match self.phase {
            ProposalPhase::Preparing if self.goal == ProposalGoal::Recover => Some(quorum_at),
            // Wait a little for slow members: one that does not accept the state in time loses its lease.
            ProposalPhase::Preparing => {
                let waited = self.phase_began + self.lease() / PREPARE_WAIT_DIVISOR;
                Some(quorum_at.max(waited))
            }
            // The leases in question were requested before the last voter of the majority responded, and expire by the
            // slowest allowed clock.
            ProposalPhase::Accepting | ProposalPhase::Notifying => {
                Some(quorum_at + self.base.membership.lease_expiry_bound())
            }
            ProposalPhase::Ended(_) => None,
        }
    }

    /// Begins the next phase if the current one is complete.
    fn advance(&mut self, now: Duration) {
        if self.quorum_at.is_none() && self.votes() >= self.votes_needed() {
            self.quorum_at = Some(now);
        }
        let expired = self.phase_ends_at().is_some_and(|at| at <= now);
        if self.quorum_at.is_none() || !(expired || self.all_answered()) {
            return;
        }
        match self.phase {
            ProposalPhase::Preparing => {
                self.value = Some(self.choose_value());
                self.begin_phase(ProposalPhase::Accepting, now);
            }
            ProposalPhase::Accepting => self.begin_phase(ProposalPhase::Notifying, now),
            ProposalPhase::Notifying => self.end(self.decided_outcome()),
            ProposalPhase::Ended(_) => {}
        }
    }

    /// Whether all members that the current phase waits for have responded.
    fn all_answered(&self) -> bool {
        match self.phase {
            ProposalPhase::Accepting => self.all(|peer| !peer.serves() || peer.answered),
            ProposalPhase::Notifying => self.earlier_leases_have_ended(),
            ProposalPhase::Preparing | ProposalPhase::Ended(_) => self.all(|peer| peer.answered),
        }
    }

    fn all(&self, predicate: impl Fn(&Peer) -> bool) -> bool {
        self.peers.iter().all(predicate)
    }

    /// Whether the responses in the notify phase show that no member serves under the previous version any more.
    ///
    /// A member that has not accepted the state lost its lease during the wait for leases, unless it has accepted the
    /// state in another ballot, whose proposer allowed it to keep its lease. The exception is ruled out if a majority
    /// accepted the state in this ballot before the wait began, and put it in force from this ballot.
    fn earlier_leases_have_ended(&self) -> bool {
        let only_this_ballot = self
            .peers
            .iter()
            .filter(|peer| peer.accepted_early && peer.applied_from_ballot)
            .count();
        if only_this_ballot >= self.votes_needed()
            && self.all(|peer| !peer.serves() || !peer.accepted || peer.answered)
        {
            return true;
        }
        self.all(|peer| !peer.serves() || peer.answered)
    }

    fn choose_value(&mut self) -> Arc<GroupState> {
        match (self.accepted_before.take(), &self.goal) {
            (Some(accepted), _) => accepted.state,
            (None, ProposalGoal::Change(state)) => state.clone(),
            (None, ProposalGoal::Recover) => Arc::new(self.base.unchanged_successor()),
            (None, ProposalGoal::Form) => Arc::new(self.first_state()),
        }
    }

    fn decided_outcome(&self) -> ProposalOutcome {
        match (&self.goal, &self.value) {
            (ProposalGoal::Change(candidate), Some(value)) if candidate != value => {
                ProposalOutcome::Superseded(self.version)
            }
            _ => ProposalOutcome::Committed,
        }
    }

    /// The first group state: every member keeps the state that it enforces now, and its vote belongs to its current
    /// replica.
    fn first_state(&self) -> GroupState {
        let initial_membership = &self.base.membership;
        let mut members = initial_membership.members.clone();
        for (member, peer) in members.iter_mut().zip(&self.peers) {
            member.replica = peer.replica;
        }
        let membership = Membership {
            version: 1,
            members,
            ..initial_membership.clone()
        };
        let mut generation = 1;
        let mut states: BTreeMap<String, Arc<State>> = BTreeMap::new();
        for peer in &self.peers {
            if let Some(enforced) = &peer.enforced {
                generation = generation.max(enforced.generation);
                states.insert(peer.name.clone(), enforced.state.clone());
            }
        }
        let policy = Policy::from_states(&states);
        GroupState::new(1, generation, Digest::default(), "", membership, policy)
    }

    /// Handles the outcome of a request to a member. Responses to requests of an earlier phase are ignored.
    pub fn handle_response(
        &mut self,
        member: usize,
        request: &GroupRequest,
        response: Result<GroupResponse, RequestFailed>,
        now: Duration,
    ) {
        if member >= self.peers.len() || !self.is_of_phase(request) {
            return;
        }
        self.peers[member].requested = false;
        match (response, request) {
            (_, GroupRequest::ProposerAlive { .. }) => {}
            (
                Ok(GroupResponse::Promised {
                    replica,
                    accepted,
                    enforced,
                }),
                GroupRequest::Prepare { .. },
            ) => {
                self.peers[member].enforced = enforced;
                self.record_promise(member, replica, accepted, now);
            }
            (Ok(GroupResponse::Accepted { replica }), GroupRequest::Accept { .. }) => {
                self.record_accept(member, replica, now);
            }
            (
                Ok(GroupResponse::Decided {
                    replica,
                    version,
                    accepted_in,
                }),
                GroupRequest::Decided { .. },
            ) if version >= self.version => self.record_applied(member, replica, accepted_in),
            (Ok(GroupResponse::NeedState), GroupRequest::Decided { .. }) => {
                self.peers[member].needs_state = true;
            }
            (Ok(response), _) => self.handle_refusal(member, request, response, now),
            (Err(failed), _) => self.retry(member, failed.reason, now),
        }
        self.advance(now);
    }

    fn is_of_phase(&self, request: &GroupRequest) -> bool {
        matches!(
            (&self.phase, request),
            (ProposalPhase::Preparing, GroupRequest::Prepare { .. })
                | (
                    ProposalPhase::Accepting,
                    GroupRequest::Accept { .. } | GroupRequest::ProposerAlive { .. }
                )
                | (ProposalPhase::Notifying, GroupRequest::Decided { .. })
        )
    }

    fn counts_vote(&self, member: usize, replica: ReplicaId) -> bool {
        let forming = self.goal == ProposalGoal::Form;
        let name = &self.peers[member].name;
        self.base.membership.counts_vote(name, replica) || forming && replica != 0
    }

    /// Records the vote of a member that did what the current phase asks for.
    fn record_vote(&mut self, member: usize, replica: ReplicaId, now: Duration) {
        let counts = self.counts_vote(member, replica);
        let retry_at = now + self.lease() / RETRIES_PER_LEASE;
        let peer = &mut self.peers[member];
        let voter = self.base.membership.member(&peer.name);
        peer.answered = true;
        peer.voted = counts;
        peer.vote_withheld = replica == 0 && voter.is_some_and(|m| m.votes);
        peer.not_before = retry_at;
    }

    fn record_promise(
        &mut self,
        member: usize,
        replica: ReplicaId,
        accepted: Option<AcceptedState>,
        now: Duration,
    ) {
        self.record_vote(member, replica, now);
        let peer = &mut self.peers[member];
        peer.replica = replica;
        if !peer.voted {
            return;
        }
        let highest = self.accepted_before.as_ref().map(|a| a.ballot);
        if accepted.as_ref().map(|a| a.ballot) > highest {
            self.accepted_before = accepted;
        }
    }

    fn record_accept(&mut self, member: usize, replica: ReplicaId, now: Duration) {
        self.record_vote(member, replica, now);
        self.mark_accepted(member);
        // Send the next heartbeat soon: it tells the voters that they may keep renewing this member's lease.
        let heartbeat_at = now + self.lease() / RETRIES_PER_LEASE;
        for peer in self.peers.iter_mut().filter(|peer| peer.answered) {
            peer.not_before = peer.not_before.min(heartbeat_at);
        }
    }

    fn mark_accepted(&mut self, member: usize) {
        let before_quorum = self.quorum_at.is_none();
        let peer = &mut self.peers[member];
        peer.accepted = true;
        peer.accepted_early |= peer.voted && before_quorum;
    }

    fn record_applied(&mut self, member: usize, replica: ReplicaId, accepted_in: Option<Ballot>) {
        let counts = self.counts_vote(member, replica);
        let peer = &mut self.peers[member];
        peer.answered = true;
        peer.voted = counts;
        peer.applied_from_ballot |= counts && accepted_in == Some(self.ballot);
    }

    /// Handles a response that refuses the request, or is of an unexpected kind.
    fn handle_refusal(
        &mut self,
        member: usize,
        request: &GroupRequest,
        response: GroupResponse,
        now: Duration,
    ) {
        let deciding = matches!(
            request,
            GroupRequest::Prepare { .. } | GroupRequest::Accept { .. }
        );
        let preparing = matches!(request, GroupRequest::Prepare { .. });
        let changing = matches!(self.goal, ProposalGoal::Change(_));
        match response {
            GroupResponse::OtherVersion { version, digest }
                if deciding && version >= self.version =>
            {
                self.handle_later_version(member, request, version, &digest);
            }
            GroupResponse::OtherVersion { version, .. } => {
                let reason = format!("the member has only group state {version} so far");
                self.retry(member, reason, now);
            }
            GroupResponse::HigherBallot { ballot } => {
                self.end(ProposalOutcome::HigherBallot(ballot));
            }
            // Nothing has been decided yet, so the change can be given up. `Unavailable` is no objection to the change:
            // the request is retried, as for an unreachable member.
            GroupResponse::Rejected { reason } if preparing && changing => {
                let rejection = MemberReason {
                    member: self.peers[member].name.clone(),
                    reason,
                };
                self.end(ProposalOutcome::Rejected(vec![rejection]));
            }
            GroupResponse::Rejected { reason } | GroupResponse::Unavailable { reason } => {
                self.retry(member, reason, now);
            }
            _ => self.retry(member, "unexpected kind of response".into(), now),
        }
    }

    /// Handles a response that the version is in force at the member already. If the state in force is the proposed
    /// one, another proposer has recovered it, and the response counts as an accept.
    fn handle_later_version(
        &mut self,
        member: usize,
        request: &GroupRequest,
        version: u64,
        digest: &Digest,
    ) {
        let proposed = self.value.as_ref();
        let same = version == self.version && proposed.is_some_and(|v| v.digest == *digest);
        if !same || !matches!(request, GroupRequest::Accept { .. }) {
            self.end(ProposalOutcome::Superseded(version));
            return;
        }
        let name = &self.peers[member].name;
        let replica = self.base.membership.member(name).map_or(0, |m| m.replica);
        let counts = self.counts_vote(member, replica);
        let peer = &mut self.peers[member];
        peer.answered = true;
        peer.voted = counts;
        self.mark_accepted(member);
        // The member no longer grants leases under the previous version.
        let peer = &mut self.peers[member];
        peer.applied_from_ballot = peer.accepted_early;
    }

    fn retry(&mut self, member: usize, reason: String, now: Duration) {
        let at = now + self.lease() / RETRIES_PER_LEASE;
        self.peers[member].retry(reason, at);
    }

    /// Ends the proposal because its caller's time limit was reached.
    pub fn time_out(&mut self) {
        match self.phase {
            ProposalPhase::Ended(_) => {}
            ProposalPhase::Preparing => self.end(ProposalOutcome::NoQuorum {
                votes: self.votes(),
                needed: self.votes_needed(),
            }),
            ProposalPhase::Accepting | ProposalPhase::Notifying => {
                self.end(ProposalOutcome::TimedOut);
            }
        }
    }
}
