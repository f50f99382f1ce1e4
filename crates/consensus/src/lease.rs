//! Leases: the right of a member to serve under the group state in force (Gray and Cheriton, "Leases: An Efficient
//! Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989).
//!
//! A member serves while a majority of voters has lately granted it a lease under the group state in force. Neither granting
//! nor renewing waits for a disk, so a member that hashes a large change, or whose disk is slow, still does both.
//!
//! Why nobody serves under version `n` once `n + 1` is enforced somewhere and the proposer's wait is over: a lease needs
//! grants of a majority of the voters of `n`, and is counted by its holder from the moment it *sent* its request. Deciding
//! `n + 1` needs a majority as well, and each of those voters has stopped granting `n` before it said that it accepted
//! `n + 1`, except to members the proposer has named as having accepted it too. The two majorities share a voter. So every
//! other lease was requested before that voter responded, and has expired [`Membership::lease_expiry_bound`] after the
//! proposer heard from the last of its majority. For the members it has named, the proposer waits by name.

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

/// Renewals in the length of a lease: one may be lost and one late before the lease expires.
const RENEWALS_PER_LEASE: u32 = 3;
/// Odd multiplier that spreads the bits of a random number (the golden ratio as a 64-bit fraction; Knuth, TAOCP 3, 6.4).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Bits of a random fraction.
const FRACTION_BITS: u32 = 10;

/// The last lease granted to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    replica: ReplicaId,
    /// When it has expired by any clock.
    expires: Duration,
}

/// The last version of a member's replica, as the member reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SeenReplica {
    replica: ReplicaId,
    version: ReplicaVersion,
}

/// A group state that has been accepted and is not known to be decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PreparedState {
    digest: Digest,
    /// Ballot in which it was accepted.
    ballot: Ballot,
    /// Members the proposer of that ballot has named as having accepted it.
    accepted_by: Vec<String>,
    /// When its proposer was last heard from.
    last_heartbeat: Duration,
    /// Time after the last heartbeat when the proposer counts as failed.
    timeout: Duration,
}

impl PreparedState {
    /// Whether a member may keep its lease under the version before.
    ///
    /// That the member itself says so is not enough: its response to the proposer may be lost, and the proposer would neither
    /// wait for it nor count it as missing.
    fn permits(&self, request: &RenewalRequest) -> bool {
        request.accepted.as_ref() == Some(&self.digest) && self.accepted_by.contains(&request.from)
    }
}

/// What a member has to do after a response to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalResult {
    /// Nothing.
    Handled,
    /// Fetch the voter's group state, which is newer.
    FetchState,
    /// Send its own group state to the voter, which has an older one.
    SendState,
    /// Take another replica: this one is an older copy, and its votes don't count.
    StaleReplica,
}

/// A renewal request as it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRenewal {
    /// When it was sent, by the member's clock.
    pub at: Duration,
    /// Number of writes of the replica that it reported, if it did.
    pub writes: Option<u64>,
}

/// The leases of a member: those it grants to others, and its own.
///
/// Times are durations since any fixed moment, by a clock that never jumps and keeps running while the machine is suspended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    name: String,
    replica: ReplicaId,
    replica_version: ReplicaVersion,
    group_state: Option<Arc<GroupState>>,
    prepared: Option<PreparedState>,
    /// By member: what it reported of its replica last.
    seen: BTreeMap<String, SeenReplica>,
    /// By member: the lease granted to it last.
    granted: BTreeMap<String, GrantedLease>,
    /// By voter: when the request was sent that it granted last.
    grants: BTreeMap<String, Duration>,
    /// When this member's own lease expires.
    lease_deadline: Option<Duration>,
    /// Voters that have confirmed since the start that this replica is no older copy, by the replica they confirmed with.
    confirmed_by: BTreeMap<String, ReplicaId>,
    /// By voter: the number of writes of this replica it has been told of.
    reported_writes: BTreeMap<String, u64>,
    /// The members as configured, which form the group.
    charter: Membership,
    /// By member: when the request was sent that it answered with [`RenewalVerdict::NoGroup`] last.
    without_group: BTreeMap<String, Duration>,
    /// How often this member has tried to resolve the prepared state.
    recovery_attempts: u32,
}

impl LeaseManager {
    /// Creates the lease manager of a member at the start of its process.
    ///
    /// `charter` is the membership the group is formed with, and `incarnation` a random number.
    pub fn new(
        name: &str,
        state: &PersistentState,
        charter: Membership,
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
            seen: BTreeMap::new(),
            granted: BTreeMap::new(),
            grants: BTreeMap::new(),
            lease_deadline: None,
            confirmed_by: BTreeMap::new(),
            reported_writes: BTreeMap::new(),
            charter,
            without_group: BTreeMap::new(),
            recovery_attempts: 0,
        };
        manager.apply_state(state, now);
        manager
    }

    /// Continues the lease under `version` of the process that handed over to this one.
    ///
    /// The holder is the same member with the same clock, and the lease is not extended, so that it stays valid.
    pub fn inherit_lease(&mut self, version: u64, deadline: Duration) {
        if self.serves() && version == self.version() {
            self.extend_lease(deadline);
        }
    }

    /// The membership of the group state in force.
    pub fn membership(&self) -> Option<&Membership> {
        self.group_state.as_ref().map(|state| &state.membership)
    }

    /// The group state in force.
    pub fn group_state(&self) -> Option<&Arc<GroupState>> {
        self.group_state.as_ref()
    }

    fn version(&self) -> u64 {
        self.group_state.as_ref().map_or(0, |state| state.version)
    }

    fn lease(&self) -> Duration {
        self.membership().unwrap_or(&self.charter).lease()
    }

    /// Whether the group state in force has this member as an ingress.
    fn serves(&self) -> bool {
        self.membership()
            .and_then(|membership| membership.member(&self.name))
            .is_some_and(|member| member.role == MemberRole::Ingress)
    }

    fn extend_lease(&mut self, deadline: Duration) {
        self.lease_deadline = self.lease_deadline.max(Some(deadline));
    }

    /// Follows the stored state: after it was written, or after a write failed.
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

    /// Stops granting leases under the group state in force, because another one is about to be accepted.
    ///
    /// To be called *before* the accepted state is stored, and so before the response to its proposer.
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

    /// Handles a heartbeat of a proposer, which names the members that have accepted its state.
    pub fn proposer_alive(&mut self, ballot: Ballot, accepted_by: &[String], now: Duration) {
        let prepared = self.prepared.as_mut();
        if let Some(prepared) = prepared.filter(|p| p.ballot == ballot) {
            prepared.last_heartbeat = now;
            prepared.accepted_by = accepted_by.to_vec();
        }
    }

    /// Half a lease, and a random part of another half: members that begin at the same moment must not all recover at the
    /// same moment.
    fn proposer_timeout(&self) -> Duration {
        let half = self.lease() / 2;
        let attempt = u64::from(self.recovery_attempts) << 32;
        let seed = self.replica_version.incarnation ^ attempt ^ self.version();
        let fraction = seed.wrapping_mul(HASH_MULTIPLIER) >> (u64::BITS - FRACTION_BITS);
        half + half * fraction as u32 / (1 << FRACTION_BITS)
    }

    /// When this member is to resolve the accepted state, if its proposer is not heard from before.
    pub fn recovery_deadline(&self) -> Option<Duration> {
        let prepared = self.prepared.as_ref()?;
        Some(prepared.last_heartbeat + prepared.timeout)
    }

    /// Postpones the recovery: another member is at it, or an attempt has failed.
    pub fn postpone_recovery(&mut self, now: Duration) {
        self.recovery_attempts += 1;
        if let Some(prepared) = self.prepared.take() {
            self.block_grants(prepared.ballot, &prepared.digest, now);
        }
    }

    /// Handles a renewal request of a member.
    pub fn handle_renewal(&mut self, request: &RenewalRequest, now: Duration) -> RenewalResponse {
        let last_seen = self.last_seen(request);
        // Only members are recorded, which bounds the maps.
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
            self.granted.insert(request.from.clone(), granted);
        }
        RenewalResponse {
            replica: self.replica,
            version: self.version(),
            last_seen,
            verdict,
        }
    }

    fn last_seen(&self, request: &RenewalRequest) -> Option<ReplicaVersion> {
        let seen = self.seen.get(&request.from)?;
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
        self.seen.insert(request.from.clone(), seen);
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
        let other_process = self
            .granted
            .get(&request.from)
            .is_some_and(|g| g.replica != request.replica && g.expires > now);
        if other_process {
            return RenewalVerdict::DuplicateMember;
        }
        RenewalVerdict::Granted
    }

    /// The request that renews this member's lease.
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
    /// While the lease is safe, these are as many voters as make a majority, those first that have granted lately, and those
    /// that have not been told of the last write of this replica. Else they are all voters, or before the group is formed all
    /// members of the charter. That a newer group state is in force is learnt as well, since any majority shares a voter with
    /// the one that decided it.
    pub fn renewal_targets(&self, now: Duration) -> Vec<String> {
        let Some(membership) = self.membership() else {
            return self.other_founders().map(String::from).collect();
        };
        let mut others = self.other_voters(membership);
        if self.lease_is_safe(membership, now) {
            others.sort_by_key(|name| self.preference(membership, name, now));
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

    fn other_founders(&self) -> impl Iterator<Item = &str> {
        let founders = self.charter.members.iter().map(|m| m.name.as_str());
        founders.filter(|name| *name != self.name)
    }

    /// Whether a majority is enough to renew from: more than half of the lease is left, or none is needed.
    fn lease_is_safe(&self, membership: &Membership, now: Duration) -> bool {
        let member = membership.member(&self.name);
        let witness = member.is_some_and(|m| m.role == MemberRole::Witness);
        let half = membership.lease() / 2;
        let fresh = self.lease_deadline.is_some_and(|at| at > now + half);
        (witness || fresh) && self.prepared.is_none() && self.check_vote_eligibility().is_ok()
    }

    /// Sorts voters that granted within the last lease before the others, each in an order of this member's own, so that many
    /// members don't all send to the same few voters.
    fn preference(&self, membership: &Membership, name: &str, now: Duration) -> (bool, u64) {
        let last_grant = self.grants.get(name);
        let granted_lately = last_grant.is_some_and(|at| *at + membership.lease() > now);
        let mut hasher = DefaultHasher::new();
        (&self.name, name).hash(&mut hasher);
        (!granted_lately, hasher.finish())
    }

    fn lacks_last_write(&self, voter: &str) -> bool {
        let reported = self.reported_writes.get(voter);
        reported.is_none_or(|writes| *writes < self.replica_version.writes)
    }

    /// Whether this member is to form the group: it is the first by name, and all others have said within the last lease that
    /// there is no group.
    pub fn can_form_group(&self, now: Duration) -> bool {
        let first = self.charter.members.first();
        self.group_state.is_none()
            && self.prepared.is_none()
            && first.is_some_and(|member| member.name == self.name)
            && self
                .other_founders()
                .all(|name| self.says_no_group(name, now))
    }

    /// Members of the charter that have not said within the last lease that there is no group, while there is none: the group
    /// can't be formed without them.
    pub fn missing_founders(&self, now: Duration) -> Vec<&str> {
        if self.group_state.is_some() {
            return Vec::new();
        }
        self.other_founders()
            .filter(|name| !self.says_no_group(name, now))
            .collect()
    }

    fn says_no_group(&self, name: &str, now: Duration) -> bool {
        let last = self.without_group.get(name);
        last.is_some_and(|at| *at + self.charter.lease() > now)
    }

    /// Grants this member's own lease by its own vote, by the same rules as for any other.
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
                self.without_group.insert(from.into(), sent.at);
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
        let last = self.grants.entry(from.into()).or_default();
        *last = sent_at.max(*last);
        self.renew_lease(now);
    }

    /// Extends the lease as far as the grants allow: it counts from the latest moment by which a majority had been asked.
    fn renew_lease(&mut self, now: Duration) {
        if !self.serves() {
            return;
        }
        let Some(membership) = self.membership() else {
            return;
        };
        let voters = membership.voters();
        let mut asked: Vec<Duration> = voters
            .filter_map(|voter| self.grants.get(&voter.name).copied())
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let Some(oldest) = asked.get(membership.majority() - 1) else {
            return;
        };
        let deadline = *oldest + membership.lease();
        if deadline > now {
            self.extend_lease(deadline);
        }
    }

    /// When this member's lease expires; none if it has none.
    pub fn lease_deadline(&self) -> Option<Duration> {
        self.lease_deadline
    }

    /// Whether this member's vote counts: a majority of the voters, with itself, has confirmed since its start that its
    /// replica is no older copy.
    ///
    /// # Errors
    ///
    /// Why its vote does not count.
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
