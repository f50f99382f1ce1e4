//! The proposer of a group state: the driver of single-decree Paxos (Lamport, "Paxos Made Simple", 2001).
//!
//! A proposer is `wrenctl` with a change, a member that recovers what another proposer left undecided, or the members of a
//! group that is being formed.
//!
//! 1. *Prepare*: every member is asked to take part, and to check the candidate. A member that could not enforce it ends the
//!    proposal before anything is decided. With promises of a majority the proposer goes on, with the state accepted in the
//!    highest earlier ballot, or else its own.
//! 2. *Accept*: once a majority has accepted the state it is decided, whatever becomes of the proposer.
//! 3. *Notify*: members put it in force. They are notified once every member that serves has accepted it, or the leases of
//!    those that have not must have expired.

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

/// Heartbeats in the length of a lease to members that have accepted the state: well within the half of a lease after which
/// a member begins to recover.
const HEARTBEATS_PER_LEASE: u32 = 6;
/// Retries in the length of a lease to a member that did not respond as asked.
const RETRIES_PER_LEASE: u32 = 10;
/// Part of a lease that slow members are waited for before the accept phase begins, as a divisor.
const PREPARE_WAIT_DIVISOR: u32 = 3;

/// A proposal of one group state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    goal: ProposalGoal,
    /// Version to be decided.
    version: u64,
    ballot: Ballot,
    /// The state before, whose voters decide.
    base: Arc<GroupState>,
    peers: Vec<Peer>,
    /// What was accepted in the highest ballot that promises have reported.
    accepted_before: Option<AcceptedState>,
    /// What is proposed, once the prepare phase is over.
    value: Option<Arc<GroupState>>,
    /// When this phase began.
    phase_began: Duration,
    /// When a quorum was reached in this phase.
    quorum_at: Option<Duration>,
    /// Phase of the proposal.
    pub phase: ProposalPhase,
}

impl Proposer {
    /// Creates a proposer of the successor of `base`, the group state in force.
    ///
    /// `ballot` must have a higher round than all that are known, and a random number.
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

    /// Creates a proposer that forms a group of all members of a charter.
    pub fn form_group(charter: Membership, ballot: Ballot, now: Duration) -> Proposer {
        let none = GroupState {
            membership: charter,
            ..GroupState::default()
        };
        Proposer::new(Arc::new(none), ProposalGoal::Form, ballot, now)
    }

    /// Names of the members; requests refer to members by their index.
    pub fn member_names(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().map(|peer| peer.name.as_str())
    }

    /// The ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The state that is decided, or proposed.
    pub fn value(&self) -> Option<&Arc<GroupState>> {
        self.value.as_ref()
    }

    /// Members that have not done what this phase asks for, and why.
    pub fn unresponsive(&self) -> Vec<MemberReason> {
        let missing = self.peers.iter().filter(|peer| !peer.answered);
        missing
            .map(|peer| MemberReason {
                member: peer.name.clone(),
                reason: match &peer.reason {
                    Some(reason) => reason.clone(),
                    None => "it does not answer".into(),
                },
            })
            .collect()
    }

    /// Whether the proposer only waits for leases to expire before it notifies the members.
    pub fn is_waiting_for_leases(&self) -> bool {
        self.phase == ProposalPhase::Accepting && self.quorum_at.is_some()
    }

    fn votes(&self) -> usize {
        self.peers.iter().filter(|peer| peer.voted).count()
    }

    fn votes_needed(&self) -> usize {
        // A group is formed by all its members: no majority could know that there is none yet.
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

    /// The requests that are due, by index of the member. Each member has one request in flight at most.
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

    /// What this phase asks of a member, if it still does.
    fn phase_request(&self, peer: &Peer) -> Option<GroupRequest> {
        let missing = peer.is_missing(self.quorum_at.is_some());
        match self.phase {
            ProposalPhase::Preparing if missing => Some(GroupRequest::Prepare {
                version: self.version,
                ballot: self.ballot,
                candidate: match &self.goal {
                    ProposalGoal::Change(state) => Some(state.clone()),
                    ProposalGoal::Recover | ProposalGoal::Form => None,
                },
            }),
            ProposalPhase::Accepting if missing => Some(GroupRequest::Accept {
                ballot: self.ballot,
                state: self.value.clone()?,
            }),
            ProposalPhase::Notifying if !peer.answered => {
                let value = self.value.as_ref()?;
                let whole = !peer.accepted || peer.needs_state;
                Some(GroupRequest::Decided {
                    version: self.version,
                    digest: value.digest.clone(),
                    state: whole.then(|| value.clone()),
                })
            }
            _ => None,
        }
    }

    /// How long to wait at most before [`Proposer::requests`] is called again, if no response is received.
    pub fn next_request_in(&self, now: Duration) -> Duration {
        let quorum_reached = self.quorum_at.is_some();
        let accepting = self.phase == ProposalPhase::Accepting;
        let waiting = self.peers.iter().filter(|peer| !peer.requested);
        let due = waiting.filter(|peer| accepting || peer.is_missing(quorum_reached));
        let due = due.map(|peer| peer.not_before).chain(self.phase_ends_at());
        due.min().map_or(self.lease(), |at| at.saturating_sub(now))
    }

    /// When this phase is over though not all members have answered.
    fn phase_ends_at(&self) -> Option<Duration> {
        let quorum_at = self.quorum_at?;
        match self.phase {
            ProposalPhase::Preparing if self.goal == ProposalGoal::Recover => Some(quorum_at),
            // Slow members are waited for a little, so that they need not lose their leases.
            ProposalPhase::Preparing => {
                let waited = self.phase_began + self.lease() / PREPARE_WAIT_DIVISOR;
                Some(quorum_at.max(waited))
            }
            // Leases were requested before the last of the majority responded, and count by the slowest clock.
            ProposalPhase::Accepting | ProposalPhase::Notifying => {
                Some(quorum_at + self.base.membership.lease_expiry_bound())
            }
            ProposalPhase::Ended(_) => None,
        }
    }

    /// Ends the phase if it is over.
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

    /// Whether every member has answered that this phase has to wait for. A member that has not accepted the state does not
    /// serve any more once the wait for leases is over.
    fn all_answered(&self) -> bool {
        match self.phase {
            ProposalPhase::Accepting => self.all(|peer| !peer.serves() || peer.answered),
            ProposalPhase::Notifying => self.nobody_serves_before(),
            ProposalPhase::Preparing | ProposalPhase::Ended(_) => self.all(|peer| peer.answered),
        }
    }

    fn all(&self, predicate: impl Fn(&Peer) -> bool) -> bool {
        self.peers.iter().all(predicate)
    }

    /// Whether, going by the responses in the notify phase, no member serves under the version before any more.
    ///
    /// A member that has not accepted the state in this ballot may have accepted it in another one, and have been allowed to
    /// keep its lease there; unless a majority heeded this ballot alone, from before the wait until it applied the state.
    fn nobody_serves_before(&self) -> bool {
        let heeded_alone = self
            .peers
            .iter()
            .filter(|peer| peer.accepted_early && peer.applied_from_ballot)
            .count();
        if heeded_alone >= self.votes_needed()
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
            (ProposalGoal::Change(wanted), Some(value)) if wanted != value => {
                ProposalOutcome::Superseded(self.version)
            }
            _ => ProposalOutcome::Committed,
        }
    }

    /// The first group state: every member goes on with what it enforces, and votes by the replica it has.
    fn first_state(&self) -> GroupState {
        let charter = &self.base.membership;
        let mut members = charter.members.clone();
        for (member, peer) in members.iter_mut().zip(&self.peers) {
            member.replica = peer.replica;
        }
        let membership = Membership {
            version: 1,
            members,
            ..charter.clone()
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

    /// Handles the outcome of a request to a member. A response to a request of an earlier phase counts for nothing.
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

    /// Notes the vote of a member that answered what this phase asks for.
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
        // Voters are to hear of it before the member's lease expires.
        let soon = now + self.lease() / RETRIES_PER_LEASE;
        for peer in self.peers.iter_mut().filter(|peer| peer.answered) {
            peer.not_before = peer.not_before.min(soon);
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

    /// Handles a response that is not the one that was asked for.
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
                let reason = format!("it has not heard of more than decree {version}");
                self.retry(member, reason, now);
            }
            GroupResponse::HigherBallot { ballot } => {
                self.end(ProposalOutcome::HigherBallot(ballot));
            }
            // Nothing has been decided yet. A member that could, but for its disk, counts as unreachable.
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
            _ => self.retry(member, "it answers something else".into(), now),
        }
    }

    /// The version is decided at a member already. If it is the state proposed here, a member has recovered it.
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
        // It grants no leases under the version before any more.
        let peer = &mut self.peers[member];
        peer.applied_from_ballot = peer.accepted_early;
    }

    fn retry(&mut self, member: usize, reason: String, now: Duration) {
        let at = now + self.lease() / RETRIES_PER_LEASE;
        self.peers[member].retry(reason, at);
    }

    /// Ends the proposal because its time is over.
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
