//! Membership of a group: the members, which of them vote, and the size of a quorum.
//!
//! One change of the membership adds or removes at most one vote, so that any majority of the old membership shares a
//! voter with any majority of the new one (the single-server change of Ongaro, "Consensus: Bridging Theory and
//! Practice", section 4.2).

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;

/// Minimum length of a lease: a commit to a slow disk and a renewal must fit into a third of the lease.
pub const MIN_LEASE: Duration = Duration::from_millis(300);
/// Maximum length of a lease: an isolated member keeps serving for up to this long, and a change waits this long if a
/// member can't be reached.
pub const MAX_LEASE: Duration = Duration::from_secs(60);
/// Maximum rate error of a member's clock relative to true time, in parts per thousand.
///
/// This is a hundred times the error of a crystal oscillator, and more than the error of a clock that is being slewed
/// (0.5).
pub const MAX_CLOCK_DRIFT_PER_MILLE: u32 = 10;
/// Maximum number of members of a group.
pub const MAX_MEMBERS: usize = 256;

/// Identifies the store that holds a member's votes: a random number, drawn when the store is created and never 0.
///
/// A member that lost its store gets a new replica id. Its votes don't count until a membership change lists the new
/// id.
pub type ReplicaId = u64;

/// Whether a member serves requests or only votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Serves requests.
    Ingress,
    /// Votes without serving requests.
    Witness,
}

/// A member of a group.
///
/// The derived ordering compares the fields in declaration order, which is also their order in the stored form.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of the member, unique in the membership.
    pub name: String,
    /// The replica whose votes count; 0 if the member has no vote.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Whether the member serves requests.
    #[serde(rename = "kind")]
    pub role: MemberRole,
    /// Whether the member votes; one without a vote only learns decided group states and serves.
    pub votes: bool,
}

/// The members of a group, and the length of their leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Membership {
    /// Number of this membership: 1 when the group is formed, and one more with each change of the membership.
    pub version: u64,
    /// Length of a lease, in milliseconds; fixed when the group is formed.
    pub lease_ms: u64,
    /// The members, sorted by name.
    #[serde(rename = "seats")]
    pub members: Vec<Member>,
}

/// Why a membership or a membership change is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// No member has a vote.
    #[error("no member of the roster has a vote")]
    NoVoter,
    /// No member is an ingress.
    #[error("no member of the roster is an ingress")]
    NoIngress,
    /// There are more members than [`MAX_MEMBERS`].
    #[error("{0} members exceed the limit of {MAX_MEMBERS} in a roster")]
    TooMany(usize),
    /// Two members have the same name.
    #[error("{0} is in the roster twice")]
    Duplicate(String),
    /// No member has this name.
    #[error("{0} is not in the roster")]
    UnknownMember(String),
    /// The name of a new member is taken already.
    #[error("{0} is already in the roster")]
    AlreadyMember(String),
    /// The length of the lease, in milliseconds, is not within [`MIN_LEASE`] and [`MAX_LEASE`].
    #[error(
        "the lease of {0} ms is out of range: from {min} ms to {max} s",
        min = MIN_LEASE.as_millis(),
        max = MAX_LEASE.as_secs()
    )]
    LeaseOutOfRange(u64),
}

impl Membership {
    /// Creates a membership: sorts the members and validates the result.
    ///
    /// # Errors
    ///
    /// As for [`Membership::check`].
    pub fn new(
        version: u64,
        lease_ms: u64,
        mut members: Vec<Member>,
    ) -> Result<Membership, MembershipError> {
        members.sort();
        let membership = Membership {
            version,
            lease_ms,
            members,
        };
        membership.check()?;
        Ok(membership)
    }

    /// Validates a membership that was read or received.
    ///
    /// # Errors
    ///
    /// If the lease is out of range, there are too many members, a name occurs twice, no member votes or none is an
    /// ingress.
    pub fn check(&self) -> Result<(), MembershipError> {
        if !(MIN_LEASE..=MAX_LEASE).contains(&self.lease()) {
            return Err(MembershipError::LeaseOutOfRange(self.lease_ms));
        }
        if self.members.len() > MAX_MEMBERS {
            return Err(MembershipError::TooMany(self.members.len()));
        }
        let mut names = BTreeSet::new();
        if let Some(duplicate) = self.members.iter().find(|m| !names.insert(&m.name)) {
            return Err(MembershipError::Duplicate(duplicate.name.clone()));
        }
        if self.voters().next().is_none() {
            return Err(MembershipError::NoVoter);
        }
        if !self.members.iter().any(|m| m.role == MemberRole::Ingress) {
            return Err(MembershipError::NoIngress);
        }
        Ok(())
    }

    /// The member with this name, if there is one.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.name == name)
    }

    /// Whether a vote that this member holds in this replica counts.
    pub fn counts_vote(&self, name: &str, replica: ReplicaId) -> bool {
        self.member(name)
            .is_some_and(|m| m.votes && m.replica == replica && replica != 0)
    }

    /// The members that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.votes)
    }

    /// Number of votes that make a quorum.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Length of a lease by its holder's clock, counted from the moment the holder sent the renewal request.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// How long to wait by any member's clock until every lease requested before the wait has expired by its holder's
    /// clock.
    ///
    /// Allows for the worst case within [`MAX_CLOCK_DRIFT_PER_MILLE`]: the waiting member has the fastest clock, and
    /// the holder the slowest.
    pub fn lease_expiry_bound(&self) -> Duration {
        let fastest = 1_000 + MAX_CLOCK_DRIFT_PER_MILLE;
        let slowest = 1_000 - MAX_CLOCK_DRIFT_PER_MILLE;
        // One microsecond more, since the division rounds down.
        self.lease() * fastest / slowest + Duration::from_micros(1)
    }

    /// The next membership, with one more member.
    ///
    /// # Errors
    ///
    /// If the name is taken already, or the result is invalid.
    pub fn with_member(&self, member: Member) -> Result<Membership, MembershipError> {
        if self.member(&member.name).is_some() {
            return Err(MembershipError::AlreadyMember(member.name));
        }
        let members = self.members.iter().cloned().chain([member]).collect();
        self.successor(members)
    }

    /// The next membership, without a member.
    ///
    /// # Errors
    ///
    /// If there is no such member, or the result is invalid.
    pub fn without_member(&self, name: &str) -> Result<Membership, MembershipError> {
        self.require_member(name)?;
        let others = self.members.iter().filter(|m| m.name != name);
        self.successor(others.cloned().collect())
    }

    /// The next membership, in which the vote of a member belongs to `replica`, or the member has no vote.
    ///
    /// The vote of a member that lost its replica is moved in two changes, so that majorities overlap in each: the
    /// first removes the vote, the second gives it to the new replica.
    ///
    /// # Errors
    ///
    /// If there is no such member, or the result is invalid.
    pub fn with_vote(
        &self,
        name: &str,
        replica: Option<ReplicaId>,
    ) -> Result<Membership, MembershipError> {
        self.require_member(name)?;
        let mut members = self.members.clone();
        for member in members.iter_mut().filter(|m| m.name == name) {
            member.replica = replica.unwrap_or(0);
            member.votes = replica.is_some();
        }
        self.successor(members)
    }

    /// Whether any majority of this membership shares a voter with any majority of `other`, so that neither can
    /// contradict a decision of the other. That holds if at most one vote is added or removed.
    pub fn majorities_overlap(&self, other: &Membership) -> bool {
        let own = self.votes();
        let others = other.votes();
        let all = own.union(&others).count();
        self.majority() + other.majority() > all
    }

    fn require_member(&self, name: &str) -> Result<(), MembershipError> {
        match self.member(name) {
            Some(_) => Ok(()),
            None => Err(MembershipError::UnknownMember(name.into())),
        }
    }

    fn successor(&self, members: Vec<Member>) -> Result<Membership, MembershipError> {
        Membership::new(self.version + 1, self.lease_ms, members)
    }

    /// The votes that count, as pairs of member name and replica.
    fn votes(&self) -> BTreeSet<(&str, ReplicaId)> {
        self.voters()
            .map(|m| (m.name.as_str(), m.replica))
            .collect()
    }
}
