//! Leases: the right of a member to serve under the group state in force (Gray and Cheriton, "Leases: An Efficient
//! Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989).
//!
//! A member serves while it has a current lease, granted by a majority of the voters under the group state in force.
//! Neither granting nor renewing waits for a disk, so that a member still does both while it hashes a large change or
//! its disk is slow.
//!
//! Why no member serves under version `n` once some member enforces `n + 1` and the proposer's wait for leases is over:
//!
//! - A lease needs grants of a majority of the voters of `n`, and its holder counts it from the moment it *sent* its
//!   request.
//! - Deciding `n + 1` needs a majority as well. Each voter of that majority stopped granting leases under `n` before it
//!   responded that it has accepted `n + 1`, except to members that the proposer has named as having accepted `n + 1`.
//! - The two majorities share a voter, so every other lease was requested before that voter responded. It has expired
//!   [`Membership::lease_expiry_bound`] after the proposer received the last response of its majority.
//! - The proposer waits for the response of each member that it has named.

use crate::acceptor::PersistentState;
use crate::eligibility::VoteWithheld;
use crate::group_state::GroupState;
use crate::membership::{MemberRole, Membership, ReplicaId};
use crate::protocol::{Ballot, RenewalRequest, RenewalResponse, RenewalVerdict, ReplicaVersion};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::Digest;

/// Renewals per lease length: one may be lost and another delayed without the lease expiring.
const RENEWALS_PER_LEASE: u32 = 3;
/// Multiplier for Fibonacci hashing: the golden ratio as a 64-bit fraction, made odd (Knuth, TAOCP 3, 6.4).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Number of hash bits used as a fraction.
const FRACTION_BITS: u32 = 10;

/// The lease last granted to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    replica: ReplicaId,
    /// When the lease has expired even by the slowest allowed clock of its holder.
    expires: Duration,
}

/// The replica of a member, as the member last reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SeenReplica {
    replica: ReplicaId,
    version: ReplicaVersion,
}

/// A group state that this member has accepted and that is not known to be decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PreparedState {
    digest: Digest,
    /// Ballot in which it was accepted.
    ballot: Ballot,
    /// Members that the proposer has named in a heartbeat as having accepted the state in this ballot.
    accepted_by: Vec<String>,
    /// When the last heartbeat of the proposer arrived, or the state was accepted.
    last_heartbeat: Duration,
    /// Time without a heartbeat after which the proposer counts as failed.
    timeout: Duration,
}

impl PreparedState {
    /// Whether a member may renew its lease under the version in force: it must have accepted the state, and the
    /// proposer must have named it.
    ///
    /// The member's own report is not enough. If its response to the proposer was lost, the proposer neither waits for
    /// the member nor counts its lease as one that must expire.
    fn permits(&self, request: &RenewalRequest) -> bool {
        request.accepted.as_ref() == Some(&self.digest) && self.accepted_by.contains(&request.from)
    }
}

/// What a member must do after a voter's response to its renewal request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalResult {
    /// Nothing more: the response has been taken into account.
    Handled,
    /// Fetch the group state of the voter, which is newer.
    FetchState,
    /// Send this member's group state to the voter, which has an older one.
    SendState,
    /// Take a new replica id: this replica is an older copy, and must not vote.
    StaleReplica,
}

/// What a member remembers of a renewal request it has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRenewal {
    /// When the request was sent, by the member's clock.
    pub at: Duration,
    /// Number of writes of the replica that the request reported; none if it was not sent to another member.
    pub writes: Option<u64>,
}

/// The leases that a member grants to others, and its own lease.
///
/// Times are durations since an arbitrary fixed moment, by a clock that never jumps and keeps running while the machine
/// is suspended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    name: String,
    replica: ReplicaId,
    replica_version: ReplicaVersion,
    group_state: Option<Arc<GroupState>>,
    prepared: Option<PreparedState>,
    /// By member: the replica it last reported.
    seen_replicas: BTreeMap<String, SeenReplica>,
    /// By member: the lease this member last granted to it.
    granted_leases: BTreeMap<String, GrantedLease>,
    /// By voter: when the last request that the voter granted was sent.
    received_grants: BTreeMap<String, Duration>,
    /// When this member's own lease expires; none before the first one.
    lease_deadline: Option<Duration>,
    /// By voter: the replica with which it has confirmed, since the process started, that this replica is not an older
    /// copy.
    confirmed_by: BTreeMap<String, ReplicaId>,
    /// By voter: the number of writes of this replica that was last reported to the voter.
    reported_writes: BTreeMap<String, u64>,
    /// The configured membership, with which the group is formed.
    initial_membership: Membership,
    /// By member: when the last request that it answered with [`RenewalVerdict::NoGroup`] was sent.
    last_no_group: BTreeMap<String, Duration>,
    /// How often the recovery of the prepared state was postponed.
    recovery_attempts: u32,
}

impl LeaseManager {
    /// Creates the lease manager of a member when its process starts.
    ///
    /// `initial_membership` is the configured membership, with which the group is formed. `incarnation` is a random
    /// number.
    pub fn new(
        name: &str,
        state: &PersistentState,
        initial_membership: Membership,
        incarnation: u64,
        now: Duration,
    ) -> LeaseManager {
        let mut manager = LeaseManager {
            name: name.into(),
            replica: state.replica,
            replica_version: ReplicaVersion {
                writes: state.writes,
                incarnation,
            },
            group_state: None,
            prepared: None,
            seen_replicas: BTreeMap::new(),
            granted_leases: BTreeMap::new(),
            received_grants: BTreeMap::new(),
            lease_deadline: None,
            confirmed_by: BTreeMap::new(),
            reported_writes: BTreeMap::new(),
            initial_membership,
            last_no_group: BTreeMap::new(),
            recovery_attempts: 0,
        };
        manager.apply_state(state, now);
        manager
    }

    /// Takes over the lease of the predecessor process, which it held under `version`; ignored if another version is in
    /// force.
    ///
    /// The lease stays valid, since the holder is the same member with the same clock and the deadline does not change.
    pub fn inherit_lease(&mut self, version: u64, deadline: Duration) {
        if self.serves() && version == self.version() {
            self.extend_lease(deadline);
        }
    }

    /// The membership of the group state in force; none before the group is formed.
    pub fn membership(&self) -> Option<&Membership> {
        self.group_state.as_ref().map(|state| &state.membership)
    }

    /// The group state in force; none before the group is formed.
    pub fn group_state(&self) -> Option<&Arc<GroupState>> {
        self.group_state.as_ref()
    }

    fn version(&self) -> u64 {
        self.group_state.as_ref().map_or(0, |state| state.version)
    }

    fn lease(&self) -> Duration {
        self.membership()
            .unwrap_or(&self.initial_membership)
            .lease()
    }

    /// Whether this member is an ingress in the group state in force.
    fn serves(&self) -> bool {
        self.membership()
            .and_then(|membership| membership.member(&self.name))
            .is_some_and(|member| member.role == MemberRole::Ingress)
    }

    fn extend_lease(&mut self, deadline: Duration) {
        self.lease_deadline = self.lease_deadline.max(Some(deadline));
    }

    /// Updates the leases from the stored state, to be called after it was written and after a write failed.
    pub fn apply_state(&mut self, state: &PersistentState, now: Duration) {
        self.replica = state.replica;
        self.replica_version.writes = state.writes;
        if self.version() != state.version() {
            self.group_state = state.group_state.clone();
            let membership = self.membership();
            if membership.is_some_and(|m| m.member(&self.name).is_none()) {
                self.lease_deadline = None; // no longer a member
            }
        }
        match &state.accepted {
            None => {
                self.prepared = None;
                self.recovery_attempts = 0;
            }
            Some(accepted) => {
                let digest = &accepted.state.digest;
                if !self.has_prepared(accepted.ballot, digest) {
                    self.block_grants(accepted.ballot, digest, now);
                }
            }
        }
    }

    fn has_prepared(&self, ballot: Ballot, digest: &Digest) -> bool {
        let prepared = self.prepared.as_ref();
        prepared.is_some_and(|p| p.digest == *digest && p.ballot == ballot)
    }

    /// Stops granting leases under the group state in force, because the next one is about to be accepted.
    ///
    /// Must be called *before* the accepted state is stored, and so before the response to the proposer.
    pub fn block_grants(&mut self, ballot: Ballot, digest: &Digest, now: Duration) {
        if self.has_prepared(ballot, digest) {
            self.record_heartbeat(now);
            return;
        }
        self.prepared = Some(PreparedState {
            digest: digest.clone(),
            ballot,
            accepted_by: Vec::new(),
            last_heartbeat: now,
            timeout: self.proposer_timeout(),
        });
    }

    fn record_heartbeat(&mut self, now: Duration) {
        if let Some(prepared) = &mut self.prepared {
            prepared.last_heartbeat = now;
        }
    }

    /// Handles a heartbeat of a proposer. `accepted_by` names the members that have accepted the state in its ballot.
    pub fn proposer_alive(&mut self, ballot: Ballot, accepted_by: &[String], now: Duration) {
        let prepared = self.prepared.as_mut();
        if let Some(prepared) = prepared.filter(|p| p.ballot == ballot) {
            prepared.last_heartbeat = now;
            prepared.accepted_by = accepted_by.to_vec();
        }
    }

    /// Half a lease plus a random part of another half: members that begin to wait at the same moment must not all
    /// start recovery at the same moment.
    fn proposer_timeout(&self) -> Duration {
        let half = self.lease() / 2;
        let attempt = u64::from(self.recovery_attempts) << 32;
        let seed = self.replica_version.incarnation ^ attempt ^ self.version();
        let fraction = seed.wrapping_mul(HASH_MULTIPLIER) >> (u64::BITS - FRACTION_BITS);
        half + half * fraction as u32 / (1 << FRACTION_BITS)
    }

    /// When this member is to recover the accepted state, unless a heartbeat arrives before; none if there is no such
    /// state.
    pub fn recovery_deadline(&self) -> Option<Duration> {
        let prepared = self.prepared.as_ref()?;
        Some(prepared.last_heartbeat + prepared.timeout)
    }

    /// Postpones the recovery, because another member is recovering the state or an attempt has failed.
    pub fn postpone_recovery(&mut self, now: Duration) {
        self.recovery_attempts += 1;
        if let Some(prepared) = self.prepared.take() {
            self.block_grants(prepared.ballot, &prepared.digest, now);
        }
    }

    /// Handles a renewal request of a member.
    pub fn handle_renewal(&mut self, request: &RenewalRequest, now: Duration) -> RenewalResponse {
        let last_seen = self.last_seen(request);
        // Recording only members bounds the size of the maps.
        let member = self.membership().and_then(|m| m.member(&request.from));
        let is_member = member.is_some();
        if is_member {
            self.record_replica(request, last_seen);
        }
        let verdict = self.verdict(request, is_member, now);
        if verdict == RenewalVerdict::Granted {
            let expires = now + self.granted_lease_bound();
            let granted = GrantedLease {
                replica: request.replica,
                expires,
            };
            self.granted_leases.insert(request.from.clone(), granted);
        }
        RenewalResponse {
            replica: self.replica,
            version: self.version(),
            last_seen,
            verdict,
        }
    }

    fn last_seen(&self, request: &RenewalRequest) -> Option<ReplicaVersion> {
        let seen = self.seen_replicas.get(&request.from)?;
        (seen.replica == request.replica).then_some(seen.version)
    }

    fn record_replica(&mut self, request: &RenewalRequest, last_seen: Option<ReplicaVersion>) {
        let version = request.replica_version;
        if last_seen.is_some_and(|seen| version.is_older_copy_of(&seen)) {
            return;
        }
        let seen = SeenReplica {
            replica: request.replica,
            version,
        };
        self.seen_replicas.insert(request.from.clone(), seen);
    }

    fn granted_lease_bound(&self) -> Duration {
        self.membership()
            .map_or(Duration::ZERO, Membership::lease_expiry_bound)
    }

    fn verdict(&self, request: &RenewalRequest, is_member: bool, now: Duration) -> RenewalVerdict {
        let Some(in_force) = &self.group_state else {
            return if request.version == 0 {
                RenewalVerdict::NoGroup
            } else {
                RenewalVerdict::Ahead
            };
        };
        if request.version < in_force.version {
            return RenewalVerdict::Behind;
        }
        if request.version > in_force.version {
            return RenewalVerdict::Ahead;
        }
        if !is_member {
            return RenewalVerdict::UnknownMember;
        }
        if self.prepared.as_ref().is_some_and(|p| !p.permits(request)) {
            return RenewalVerdict::Pending;
        }
        let held_by_other_replica = self
            .granted_leases
            .get(&request.from)
            .is_some_and(|g| g.replica != request.replica && g.expires > now);
        if held_by_other_replica {
            return RenewalVerdict::DuplicateMember;
        }
        RenewalVerdict::Granted
    }

    /// A request to renew this member's lease.
    pub fn renewal_request(&self) -> RenewalRequest {
        RenewalRequest {
            from: self.name.clone(),
            replica: self.replica,
            replica_version: self.replica_version,
            version: self.version(),
            accepted: self.prepared.as_ref().map(|p| p.digest.clone()),
        }
    }

    /// Time between two renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.lease() / RENEWALS_PER_LEASE
    }

    /// Names of the members to send renewal requests to.
    ///
    /// While the lease is safe, these are enough voters for a majority, with recent granters preferred, and also the
    /// voters that don't know of the last write of this replica. Otherwise they are all voters, or all initial
    /// members before the group is formed. A majority is also enough to learn that a newer group state is in force,
    /// since it shares a voter with the majority that decided it.
    pub fn renewal_targets(&self, now: Duration) -> Vec<String> {
        let Some(membership) = self.membership() else {
            return self.other_initial_members().map(String::from).collect();
        };
        let mut others = self.other_voters(membership);
        if self.lease_is_safe(membership, now) {
            others.sort_by_key(|name| self.target_order(membership, name, now));
            let votes = membership.counts_vote(&self.name, self.replica);
            let needed = membership.majority().saturating_sub(usize::from(votes));
            let mut position = 0;
            others.retain(|name| {
                position += 1;
                position <= needed || votes && self.lacks_last_write(name)
            });
        }
        others.into_iter().map(String::from).collect()
    }

    fn other_voters<'a>(&self, membership: &'a Membership) -> Vec<&'a str> {
        let voters = membership.voters().map(|member| member.name.as_str());
        voters.filter(|name| *name != self.name).collect()
    }

    fn other_initial_members(&self) -> impl Iterator<Item = &str> {
        let members = self
            .initial_membership
            .members
            .iter()
            .map(|m| m.name.as_str());
        members.filter(|name| *name != self.name)
    }

    /// Whether it is enough to renew from a majority of the voters: more than half of the lease is left, or this member
    /// is a witness and needs none.
    fn lease_is_safe(&self, membership: &Membership, now: Duration) -> bool {
        let member = membership.member(&self.name);
        let witness = member.is_some_and(|m| m.role == MemberRole::Witness);
        let half = membership.lease() / 2;
        let fresh = self.lease_deadline.is_some_and(|at| at > now + half);
        (witness || fresh) && self.prepared.is_none() && self.check_vote_eligibility().is_ok()
    }

    /// Sort key of a voter: voters that granted within the last lease come first. Otherwise the order is a hash that
    /// differs between members, so that they don't all send to the same few voters.
    fn target_order(&self, membership: &Membership, name: &str, now: Duration) -> (bool, u64) {
        let last_grant = self.received_grants.get(name);
        let granted_recently = last_grant.is_some_and(|at| *at + membership.lease() > now);
        let mut hasher = DefaultHasher::new();
        (&self.name, name).hash(&mut hasher);
        (!granted_recently, hasher.finish())
    }

    fn lacks_last_write(&self, voter: &str) -> bool {
        let reported = self.reported_writes.get(voter);
        reported.is_none_or(|writes| *writes < self.replica_version.writes)
    }

    /// Whether this member is to form the group: it is the first by name, and all others have reported within the last
    /// lease that they have no group.
    pub fn can_form_group(&self, now: Duration) -> bool {
        let first = self.initial_membership.members.first();
        self.group_state.is_none()
            && self.prepared.is_none()
            && first.is_some_and(|member| member.name == self.name)
            && self
                .other_initial_members()
                .all(|name| self.reported_no_group_recently(name, now))
    }

    /// Initial members that have not reported within the last lease that they have no group. The group can't be
    /// formed without them. Empty once there is a group.
    pub fn missing_initial_members(&self, now: Duration) -> Vec<&str> {
        if self.group_state.is_some() {
            return Vec::new();
        }
        self.other_initial_members()
            .filter(|name| !self.reported_no_group_recently(name, now))
            .collect()
    }

    fn reported_no_group_recently(&self, name: &str, now: Duration) -> bool {
        let last = self.last_no_group.get(name);
        last.is_some_and(|at| *at + self.initial_membership.lease() > now)
    }

    /// Renews this member's lease from itself, by the same rules as from any other voter.
    pub fn renew_from_self(&mut self, now: Duration) {
        let request = self.renewal_request();
        let response = self.handle_renewal(&request, now);
        let sent = SentRenewal {
            at: now,
            writes: None,
        };
        self.handle_response(&request.from, sent, &response, now);
    }

    /// Handles a voter's response to a renewal request.
    pub fn handle_response(
        &mut self,
        from: &str,
        sent: SentRenewal,
        response: &RenewalResponse,
        now: Duration,
    ) -> RenewalResult {
        let last_seen = response.last_seen;
        if last_seen.is_some_and(|seen| self.replica_version.is_older_copy_of(&seen)) {
            return RenewalResult::StaleReplica;
        }
        self.confirmed_by.insert(from.into(), response.replica);
        if let Some(writes) = sent.writes {
            self.reported_writes.insert(from.into(), writes);
        }
        match response.verdict {
            RenewalVerdict::Granted => self.record_grant(from, sent.at, response, now),
            RenewalVerdict::Behind => return RenewalResult::FetchState,
            RenewalVerdict::Ahead => return RenewalResult::SendState,
            RenewalVerdict::NoGroup => {
                self.last_no_group.insert(from.into(), sent.at);
            }
            RenewalVerdict::Pending
            | RenewalVerdict::UnknownMember
            | RenewalVerdict::DuplicateMember => {}
        }
        RenewalResult::Handled
    }

    fn record_grant(
        &mut self,
        from: &str,
        sent_at: Duration,
        response: &RenewalResponse,
        now: Duration,
    ) {
        let membership = self.membership();
        let counts = membership.is_some_and(|m| m.counts_vote(from, response.replica));
        if !counts || response.version != self.version() {
            return;
        }
        let last = self.received_grants.entry(from.into()).or_default();
        *last = sent_at.max(*last);
        self.renew_lease(now);
    }

    /// Extends the lease as far as the grants allow: it counts from the oldest of the latest requests that a majority
    /// granted.
    fn renew_lease(&mut self, now: Duration) {
        if !self.serves() {
            return;
        }
        let Some(membership) = self.membership() else {
            return;
        };
        let voters = membership.voters();
        let mut granted_at: Vec<Duration> = voters
            .filter_map(|voter| self.received_grants.get(&voter.name).copied())
            .collect();
        granted_at.sort_unstable_by(|a, b| b.cmp(a));
        let Some(oldest) = granted_at.get(membership.majority() - 1) else {
            return;
        };
        let deadline = *oldest + membership.lease();
        if deadline > now {
            self.extend_lease(deadline);
        }
    }

    /// When this member's lease expires, which may be in the past; none if it never had a lease or is no longer a
    /// member.
    pub fn lease_deadline(&self) -> Option<Duration> {
        self.lease_deadline
    }

    /// Checks that this member's vote counts: since the process started, a majority of the voters, including this one,
    /// has confirmed that its replica is not an older copy. Before the group is formed, any vote counts.
    ///
    /// # Errors
    ///
    /// The reason why the vote does not count.
    pub fn check_vote_eligibility(&self) -> Result<(), VoteWithheld> {
        let Some(membership) = self.membership() else {
            return Ok(());
        };
        if !membership.counts_vote(&self.name, self.replica) {
            return Err(VoteWithheld::OtherReplica);
        }
        let others = membership.voters().filter(|voter| voter.name != self.name);
        let confirmed = others
            .filter(|voter| self.confirmed_by.get(&voter.name) == Some(&voter.replica))
            .count();
        if confirmed + 1 < membership.majority() {
            return Err(VoteWithheld::TooFewConfirmations);
        }
        Ok(())
    }
}
