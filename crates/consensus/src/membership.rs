//! Membership of a group: its members, who votes, and quorum arithmetic.
//!
//! A membership is changed by at most one vote at a time, so that any majority of the old one shares a voter with any
//! majority of the new one (the single-server change of Ongaro, "Consensus: Bridging Theory and Practice", section 4.2).

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;

/// Shortest lease: a commit to a slow disk and a renewal must fit into a third of it.
pub const MIN_LEASE: Duration = Duration::from_millis(300);
/// Longest lease: an isolated member stops serving only after it, and a change with a member away waits for it.
pub const MAX_LEASE: Duration = Duration::from_secs(60);
/// Maximum difference in rate of each clock from true time, in parts per thousand: a hundred times that of a crystal,
/// and more than that of a clock being slewed (0.5).
pub const MAX_CLOCK_DRIFT_PER_MILLE: u32 = 10;
/// Maximum number of members of a group.
pub const MAX_MEMBERS: usize = 256;

/// Identifies the store a member's votes are kept in. It is drawn at random when the store is created and is never 0.
///
/// A member that lost its store has another replica, whose votes don't count until the membership says so.
pub type ReplicaId = u64;

/// Role of a member.
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
/// Members are ordered by their fields in this order, which is the order of the stored form.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of the member.
    pub name: String,
    /// The replica whose votes count; 0 if none does.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Its role.
    #[serde(rename = "kind")]
    pub role: MemberRole,
    /// Whether it takes part in decisions; a member without a vote only learns and serves.
    pub votes: bool,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Membership {
    /// Number of changes of the membership.
    pub version: u64,
    /// Length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// The members, sorted by name.
    #[serde(rename = "seats")]
    pub members: Vec<Member>,
}

/// Why a membership, or a change of one, is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// No member has a vote.
    #[error("nobody in the roster has a vote")]
    NoVoter,
    /// No member is an ingress.
    #[error("nobody in the roster serves")]
    NoIngress,
    /// More than [`MAX_MEMBERS`].
    #[error("{0} members, and a roster has {MAX_MEMBERS} at most")]
    TooMany(usize),
    /// Two members have this name.
    #[error("{0} stands in the roster twice")]
    Duplicate(String),
    /// No member has this name.
    #[error("{0} is not in the roster")]
    UnknownMember(String),
    /// A member has this name already.
    #[error("{0} is in the roster already")]
    AlreadyMember(String),
    /// The length of the lease, in milliseconds, is not within [`MIN_LEASE`] and [`MAX_LEASE`].
    #[error(
        "a lease of {0} ms: it must be from {min} ms to {max} s",
        min = MIN_LEASE.as_millis(),
        max = MAX_LEASE.as_secs()
    )]
    LeaseOutOfRange(u64),
}

impl Membership {
    /// Creates a valid membership; the members are sorted.
    ///
    /// # Errors
    ///
    /// As [`Membership::check`].
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

    /// Validates a membership that came from elsewhere.
    ///
    /// # Errors
    ///
    /// If the lease is out of range, there are too many members, a name occurs twice, nobody votes or nobody serves.
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

    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| m.name == name)
    }

    /// Whether a vote of this member, kept in this replica, counts.
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

    /// Length of a lease by its holder's clock, from the moment the holder sent its request.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// How long to wait, by any member's clock, until a lease requested before has expired by its holder's clock.
    ///
    /// The holder's clock may be as slow as this one is fast, each within [`MAX_CLOCK_DRIFT_PER_MILLE`].
    pub fn lease_expiry_bound(&self) -> Duration {
        let fastest = 1_000 + MAX_CLOCK_DRIFT_PER_MILLE;
        let slowest = 1_000 - MAX_CLOCK_DRIFT_PER_MILLE;
        // The division rounds down.
        self.lease() * fastest / slowest + Duration::from_micros(1)
    }

    /// The next membership, with one member more.
    ///
    /// # Errors
    ///
    /// If there is such a member already, or the result is invalid.
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

    /// The next membership, in which a member votes by this replica, or has no vote.
    ///
    /// A member that lost its replica first loses its vote, then gets one by its new replica, so that majorities overlap
    /// at each step.
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

    /// Whether any majority of one membership shares a voter with any majority of the other, so that neither can decide
    /// against what the other has decided: at most one vote is added, removed or moved to another replica.
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

    /// Names and replicas of the voters.
    fn votes(&self) -> BTreeSet<(&str, ReplicaId)> {
        self.voters()
            .map(|m| (m.name.as_str(), m.replica))
            .collect()
    }
}
