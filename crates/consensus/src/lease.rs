//! The right to serve, and the member's quick side: what it grants others and what they grant it. None of this waits for a
//! disk: a member that hashes a large change, or whose disk is slow, still renews and grants.
//!
//! Why nobody serves under decree `n` once `n + 1` is enforced somewhere and the wait is over: a lease needs grants of a
//! majority of `n`'s voters, and is counted by its holder from the moment it *asked*. Deciding `n + 1` needs a majority as
//! well, and each of that has stopped granting `n` before it said that it has taken `n + 1` up itself, but to those of whom
//! the proposer has told it that they have. The two majorities share a voter. So every other lease was asked for before that
//! voter said so, and has run out [`crate::membership::Roster::surely_out`] after the proposer has heard the last of its majority;
//! and those that it let go on it waits for by name.

use crate::acceptor::PersistentState;
use crate::group_state::GroupState;
use crate::membership::{MemberRole, Membership, ReplicaId};
use crate::protocol::{Ballot, GroupRequest, GroupResponse, RenewalVerdict, ReplicaVersion};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::Digest;

/// Renewals in the time of a lease: one may be lost, and one late, before it runs out.
const RENEWALS: u32 = 3;

/// What was granted to one name last: to which folder, and until when it may surely be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    folder: ReplicaId,
    until: Duration,
}

/// A decree that was taken up and is not decided yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PreparedState {
    digest: Digest,
    /// In whose ballot, and who is known to that one to have taken it up.
    ballot: Ballot,
    ready: Vec<String>,
    /// When its proposer was heard of last.
    heard: Duration,
    /// How long after that it counts as gone.
    patience: Duration,
}

impl PreparedState {
    /// Whether a member may go on under the decree before. That it says itself that it is ready is not enough: whoever
    /// proposes would not wait for it, and would not miss it, if its answer was lost.
    fn lets(&self, from: &str, ready: Option<&Digest>) -> bool {
        ready == Some(&self.digest) && self.ready.iter().any(|name| name == from)
    }
}

/// A member's quick side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    name: String,
    folder: ReplicaId,
    age: ReplicaVersion,
    decree: Option<Arc<GroupState>>,
    pending: Option<PreparedState>,
    /// What others told of themselves when they asked.
    seen: BTreeMap<String, (ReplicaId, ReplicaVersion)>,
    given: BTreeMap<String, GrantedLease>,
    /// By voter: when the ask was sent that it granted last.
    grants: BTreeMap<String, Duration>,
    /// Until when this member may serve.
    until: Option<Duration>,
    /// Voters that have said since the start that this folder is no older copy of what they have seen.
    vouched: BTreeMap<String, ReplicaId>,
    /// How far voters have been told of this folder's writes, so that an older copy of it is known for one.
    told: BTreeMap<String, u64>,
    /// Before the group is formed: its names as the file has them, and who said when that it isn't.
    charter: Membership,
    unformed: BTreeMap<String, Duration>,
    /// How often this member has tried to settle what is pending.
    tries: u32,
}

/// What came of an answer to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalResult {
    /// Nothing else is to be done.
    Handled,
    /// Its decree is newer: it is to be asked for it.
    FetchState,
    /// It does not know what stands: it is to be told.
    SendState,
    /// The folder is an older copy: its votes don't count any more.
    StaleReplica,
}

impl LeaseManager {
    /// Of a member that remembers this, at a start.
    pub fn new(
        name: &str,
        memory: &PersistentState,
        charter: Membership,
        life: u64,
        now: Duration,
    ) -> LeaseManager {
        let mut standing = LeaseManager {
            name: name.into(),
            folder: memory.replica,
            age: ReplicaVersion {
                writes: memory.writes,
                incarnation: life,
            },
            decree: None,
            pending: None,
            seen: BTreeMap::new(),
            given: BTreeMap::new(),
            grants: BTreeMap::new(),
            until: None,
            vouched: BTreeMap::new(),
            told: BTreeMap::new(),
            charter,
            unformed: BTreeMap::new(),
            tries: 0,
        };
        standing.apply_state(memory, now);
        standing
    }

    /// Goes on with the lease under decree `number` that the process before had when it handed all over to this one. Its holder
    /// is the same member with the same clock, and it has not been asked for anew: the argument above holds as it stands.
    pub fn inherit_lease(&mut self, number: u64, until: Duration) {
        let serves = self
            .membership()
            .and_then(|r| r.member(&self.name))
            .is_some_and(|s| s.role == MemberRole::Ingress);
        if serves && number == self.number() {
            self.until = Some(self.until.map_or(until, |u| u.max(until)));
        }
    }

    /// The roster that stands.
    pub fn membership(&self) -> Option<&Membership> {
        self.decree.as_ref().map(|d| &d.membership)
    }

    /// The decree that stands.
    pub fn group_state(&self) -> Option<&Arc<GroupState>> {
        self.decree.as_ref()
    }

    fn number(&self) -> u64 {
        self.decree.as_ref().map_or(0, |d| d.version)
    }

    fn lease(&self) -> Duration {
        self.membership().unwrap_or(&self.charter).lease()
    }

    /// A part of a time, drawn by chance but the same each time it is asked for: members that begin at one moment must not
    /// all settle at one moment.
    fn drawn(&self, below: Duration) -> Duration {
        let mixed = (self.life() ^ u64::from(self.tries) << 32 ^ self.number())
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        below * (mixed >> 54) as u32 / (1 << 10)
    }

    fn life(&self) -> u64 {
        self.age.incarnation
    }

    /// A decree is about to be taken up: from now on nobody else is told that the one before stands. To be called *before*
    /// that is written, and so before it is said.
    pub fn block_grants(&mut self, ballot: Ballot, digest: &Digest, now: Duration) {
        if let Some(p) = self
            .pending
            .as_mut()
            .filter(|p| p.digest == *digest && p.ballot == ballot)
        {
            p.heard = now;
            return;
        }
        let half = self.lease() / 2;
        let (patience, ready) = (half + self.drawn(half), Vec::new());
        self.pending = Some(PreparedState {
            digest: digest.clone(),
            ballot,
            ready,
            heard: now,
            patience,
        });
    }

    /// What the memory says now: after a write, or after one that failed.
    pub fn apply_state(&mut self, memory: &PersistentState, now: Duration) {
        (self.folder, self.age.writes) = (memory.replica, memory.writes);
        if self.number() != memory.version() {
            self.decree = memory.group_state.clone();
            if self
                .membership()
                .is_some_and(|r| r.member(&self.name).is_none())
            {
                self.until = None; // no member any more
            }
        }
        match &memory.accepted {
            None => (self.pending, self.tries) = (None, 0),
            Some((ballot, next)) => {
                if self
                    .pending
                    .as_ref()
                    .is_none_or(|p| p.digest != next.digest || p.ballot != *ballot)
                {
                    self.block_grants(*ballot, &next.digest, now);
                }
            }
        }
    }

    /// Whoever proposes what is taken up here is still at work, and knows of these members that they have taken it up.
    pub fn proposer_alive(&mut self, ballot: Ballot, ready: &[String], now: Duration) {
        if let Some(p) = self.pending.as_mut().filter(|p| p.ballot == ballot) {
            (p.heard, p.ready) = (now, ready.to_vec());
        }
    }

    /// When what was taken up here is to be settled, if nothing more is heard of it.
    pub fn recovery_deadline(&self) -> Option<Duration> {
        self.pending.as_ref().map(|p| p.heard + p.patience)
    }

    /// Somebody else settles it, or it went wrong: later again.
    pub fn postpone_recovery(&mut self, now: Duration) {
        self.tries += 1;
        if let Some(p) = self.pending.take() {
            self.block_grants(p.ballot, &p.digest, now);
        }
    }

    /// Answers a renewal.
    pub fn handle_renewal(
        &mut self,
        from: &str,
        folder: ReplicaId,
        age: ReplicaVersion,
        number: u64,
        ready: Option<&Digest>,
        now: Duration,
    ) -> GroupResponse {
        let seat = self.membership().and_then(|r| r.member(from)).cloned();
        let seen = self.seen.get(from).filter(|s| s.0 == folder).map(|s| s.1);
        // A stranger is not remembered: names are bounded by the roster's.
        if seat.is_some() && seen.is_none_or(|s| !age.is_older_copy_of(&s)) {
            self.seen.insert(from.into(), (folder, age));
        }
        let until = now
            + self
                .membership()
                .map_or(Duration::ZERO, Membership::lease_expiry_bound);
        let twin = self
            .given
            .get(from)
            .is_some_and(|g| g.folder != folder && g.until > now);
        let verdict = match (&self.decree, seat) {
            (None, _) if number == 0 => RenewalVerdict::NoGroup,
            (None, _) => RenewalVerdict::Ahead,
            (Some(own), _) if number < own.version => RenewalVerdict::Behind,
            (Some(own), _) if number > own.version => RenewalVerdict::Ahead,
            (_, None) => RenewalVerdict::UnknownMember,
            _ if self.pending.as_ref().is_some_and(|p| !p.lets(from, ready)) => {
                RenewalVerdict::Pending
            }
            _ if twin => RenewalVerdict::DuplicateMember,
            _ => {
                self.given
                    .insert(from.into(), GrantedLease { folder, until });
                RenewalVerdict::Granted
            }
        };
        GroupResponse::Renewed {
            replica: self.folder,
            version: self.number(),
            last_seen: seen,
            verdict,
        }
    }

    /// The ask that renews this member's lease.
    pub fn renewal_request(&self) -> GroupRequest {
        GroupRequest::Renew {
            from: self.name.clone(),
            replica: self.folder,
            replica_version: self.age,
            version: self.number(),
            accepted: self.pending.as_ref().map(|p| p.digest.clone()),
        }
    }

    /// How long after the last renewal the next one is due.
    pub fn renewal_interval(&self) -> Duration {
        self.lease() / RENEWALS
    }

    /// Where a voter stands in this member's own order of them.
    fn place_of(&self, name: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.name, name).hash(&mut hasher);
        hasher.finish()
    }

    /// Whom to ask: as many voters as are enough, those first that answered lately, in an order of its own, so that many
    /// members don't all ask the same few; and those that have not been told of this folder's last write; all of them once the lease is in doubt. That another decree stands is heard by this as well:
    /// any majority shares a voter with the one that decided.
    pub fn renewal_targets(&self, now: Duration) -> Vec<String> {
        let Some(roster) = self.membership() else {
            let others = self.charter.members.iter().filter(|s| s.name != self.name);
            return others.map(|s| s.name.clone()).collect();
        };
        let others = roster.voters().filter(|s| s.name != self.name);
        let mut names: Vec<&str> = others.map(|s| s.name.as_str()).collect();
        let witness = roster
            .member(&self.name)
            .is_some_and(|s| s.role == MemberRole::Witness);
        let safe = witness
            || self
                .until
                .is_some_and(|until| until > now + roster.lease() / 2);
        if safe && self.pending.is_none() && self.check_vote_eligibility().is_ok() {
            let lately = |name: &str| {
                self.grants
                    .get(name)
                    .is_some_and(|at| *at + roster.lease() > now)
            };
            names.sort_by_key(|name| (!lately(name), self.place_of(name)));
            let own = usize::from(roster.counts_vote(&self.name, self.folder));
            let enough = roster.majority().saturating_sub(own);
            let untold = |name: &str| self.told.get(name).is_none_or(|w| *w < self.age.writes);
            let votes = roster.counts_vote(&self.name, self.folder);
            let all = names.into_iter().enumerate();
            names = all
                .filter(|(n, name)| *n < enough || votes && untold(name))
                .map(|(_, name)| name)
                .collect();
        }
        names.into_iter().map(String::from).collect()
    }

    /// Whether this member is to form the group: it is the first by name, and all others said within a lease that there is
    /// none yet.
    pub fn can_form_group(&self, now: Duration) -> bool {
        let lately = |name: &str| {
            self.unformed
                .get(name)
                .is_some_and(|at| *at + self.charter.lease() > now)
        };
        let seats = &self.charter.members;
        self.decree.is_none()
            && self.pending.is_none()
            && seats.first().is_some_and(|s| s.name == self.name)
            && seats.iter().skip(1).all(|s| lately(&s.name))
    }

    /// Of the charter, those that have not said so: the group can't be formed without them.
    pub fn missing_founders(&self, now: Duration) -> Vec<&str> {
        let lately = |name: &str| {
            self.unformed
                .get(name)
                .is_some_and(|at| *at + self.charter.lease() > now)
        };
        let others = self
            .charter
            .members
            .iter()
            .map(|s| s.name.as_str())
            .filter(|n| *n != self.name);
        others
            .filter(|n| self.decree.is_none() && !lately(n))
            .collect()
    }

    /// This member's own vote for itself: the same rules as for any other.
    pub fn renew_from_self(&mut self, now: Duration) {
        let GroupRequest::Renew {
            replica: folder,
            replica_version: age,
            version: number,
            accepted: ready,
            ..
        } = self.renewal_request()
        else {
            return;
        };
        let name = self.name.clone();
        let say = self.handle_renewal(&name, folder, age, number, ready.as_ref(), now);
        self.handle_response(&name, (now, None), &say, now);
    }

    /// Takes an answer to a renewal that was sent at a moment, and told of so many writes.
    pub fn handle_response(
        &mut self,
        from: &str,
        (sent, told): (Duration, Option<u64>),
        say: &GroupResponse,
        now: Duration,
    ) -> RenewalResult {
        let GroupResponse::Renewed {
            replica: folder,
            version: number,
            last_seen: seen,
            verdict,
        } = say
        else {
            return RenewalResult::Handled;
        };
        if seen.is_some_and(|seen| self.age.is_older_copy_of(&seen)) {
            return RenewalResult::StaleReplica;
        }
        self.vouched.insert(from.into(), *folder);
        if let Some(told) = told {
            self.told.insert(from.into(), told);
        }
        match verdict {
            RenewalVerdict::Granted => {
                let counts = self
                    .membership()
                    .is_some_and(|r| r.counts_vote(from, *folder));
                if counts && *number == self.number() {
                    let last = self.grants.entry(from.into()).or_default();
                    *last = sent.max(*last);
                    self.count(now);
                }
                RenewalResult::Handled
            }
            RenewalVerdict::Behind => RenewalResult::FetchState,
            RenewalVerdict::Ahead => RenewalResult::SendState,
            RenewalVerdict::NoGroup => {
                self.unformed.insert(from.into(), sent);
                RenewalResult::Handled
            }
            _ => RenewalResult::Handled,
        }
    }

    /// The lease that the grants make: the latest moment at which a majority was asked, and the lease from there on.
    fn count(&mut self, now: Duration) {
        let Some(roster) = self.decree.as_ref().map(|d| &d.membership) else {
            return;
        };
        if roster
            .member(&self.name)
            .is_none_or(|s| s.role == MemberRole::Witness)
        {
            return;
        }
        let mut asked: Vec<Duration> = roster
            .voters()
            .filter_map(|s| self.grants.get(&s.name).copied())
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(oldest) = asked.get(roster.majority() - 1) {
            let until = *oldest + roster.lease();
            if until > now {
                self.until = Some(self.until.map_or(until, |u| u.max(until)));
            }
        }
    }

    /// Until when this member may serve; none where it may not, or no longer.
    pub fn lease_deadline(&self) -> Option<Duration> {
        self.until
    }

    /// Whether this member may vote: a majority of the voters, itself among them, has answered it since it started, and
    /// none of them has seen a newer folder of it.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn check_vote_eligibility(&self) -> Result<(), String> {
        let Some(roster) = self.membership() else {
            return Ok(());
        };
        if !roster.counts_vote(&self.name, self.folder) {
            return Err("its folder is not the one that the roster counts".into());
        }
        let others = roster.voters().filter(|s| s.name != self.name);
        let vouched = others
            .filter(|s| self.vouched.get(&s.name) == Some(&s.replica))
            .count()
            + 1;
        if vouched < roster.majority() {
            return Err(
                "too few others have answered since it started to know that its folder is no old copy".into(),
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::{
        Arc, Ballot, Digest, Duration, GroupResponse, GroupState, LeaseManager, MemberRole,
        Membership, PersistentState, RenewalVerdict, ReplicaVersion,
    };
    use crate::group_state::Policy;
    use crate::membership::Member;

    fn roster() -> Membership {
        let seat = |(n, name): (usize, &str)| {
            let (folder, kind) = (n as u64 + 1, MemberRole::Ingress);
            Member {
                name: name.into(),
                replica: folder,
                role: kind,
                votes: true,
            }
        };
        Membership::new(
            1,
            1_500,
            ["a", "b", "c"].into_iter().enumerate().map(seat).collect(),
        )
        .unwrap()
    }

    /// Guards against a lease that outlives its decree, its end, or its holder's seat by way of a handover.
    #[test]
    fn a_lease_passes_to_the_next_process_under_the_same_decree_alone() {
        let decree = Arc::new(GroupState::new(
            4,
            1,
            Digest::default(),
            "",
            roster(),
            Policy::default(),
        ));
        let begun = |name: &str| {
            let memory = PersistentState {
                group_state: Some(decree.clone()),
                ..PersistentState::new(name, 1)
            };
            LeaseManager::new(
                name,
                &memory,
                Membership::default(),
                1,
                Duration::from_secs(9),
            )
        };
        let (until, mut next) = (Duration::from_secs(10), begun("a"));
        next.inherit_lease(3, until);
        assert_eq!(next.lease_deadline(), None, "another decree stands by now");
        next.inherit_lease(4, until);
        next.inherit_lease(4, Duration::from_secs(8));
        assert_eq!(next.lease_deadline(), Some(until));
        let mut stranger = begun("z");
        stranger.inherit_lease(4, until);
        assert_eq!(stranger.lease_deadline(), None);
        assert!(
            next.check_vote_eligibility().is_err(),
            "it votes once others have answered it, as after any start"
        );
    }

    /// Guards against a member that goes on under the old decree though the proposer never heard that it is ready, or heard
    /// it in another ballot, and so neither waits for it nor misses it.
    #[test]
    fn only_whom_the_proposer_of_that_ballot_names_goes_on_while_something_is_taken_up() {
        let decree = Arc::new(GroupState::new(
            1,
            1,
            Digest::default(),
            "",
            roster(),
            Policy::default(),
        ));
        let memory = PersistentState {
            group_state: Some(decree.clone()),
            ..PersistentState::new("a", 1)
        };
        let (now, ballot) = (
            Duration::from_secs(9),
            Ballot {
                round: 1,
                proposer: 7,
            },
        );
        let mut voter = LeaseManager::new("a", &memory, Membership::default(), 1, now);
        let next = decree.unchanged_successor().digest;
        let asked = |voter: &mut LeaseManager, ready: Option<&Digest>| match voter.handle_renewal(
            "c",
            3,
            ReplicaVersion {
                writes: 1,
                incarnation: 3,
            },
            1,
            ready,
            now,
        ) {
            GroupResponse::Renewed { verdict, .. } => verdict,
            other => panic!("{other:?}"),
        };
        assert_eq!(asked(&mut voter, None), RenewalVerdict::Granted);
        voter.block_grants(ballot, &next, now);
        assert_eq!(
            asked(&mut voter, Some(&next)),
            RenewalVerdict::Pending,
            "its own word is not enough"
        );
        let higher = Ballot {
            round: 2,
            proposer: 8,
        };
        voter.proposer_alive(higher, &["c".into()], now);
        assert_eq!(
            asked(&mut voter, Some(&next)),
            RenewalVerdict::Pending,
            "another ballot's word is none here"
        );
        voter.proposer_alive(ballot, &["b".into(), "c".into()], now);
        assert_eq!(asked(&mut voter, Some(&next)), RenewalVerdict::Granted);
        assert_eq!(
            asked(&mut voter, None),
            RenewalVerdict::Pending,
            "one that has not taken it up"
        );
        voter.block_grants(higher, &next, now);
        assert_eq!(
            asked(&mut voter, Some(&next)),
            RenewalVerdict::Pending,
            "the next proposer has heard nothing yet"
        );
    }
}
