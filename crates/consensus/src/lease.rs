//! The right to serve, and the member's quick side: what it grants others and what they grant it. None of this waits for a
//! disk: a member that hashes a large change, or whose disk is slow, still renews and grants.
//!
//! Why nobody serves under decree `n` once `n + 1` is enforced somewhere and the wait is over: a lease needs grants of a
//! majority of `n`'s voters, and is counted by its holder from the moment it *asked*. Deciding `n + 1` needs a majority as
//! well, and each of that has stopped granting `n` before it said that it has taken `n + 1` up itself, but to those of whom
//! the proposer has told it that they have. The two majorities share a voter. So every other lease was asked for before that
//! voter said so, and has run out [`crate::seats::Roster::surely_out`] after the proposer has heard the last of its majority;
//! and those that it let go on it waits for by name.

use crate::acceptor::Memory;
use crate::decree::Decree;
use crate::protocol::{Age, Ask, Ballot, Say, Verdict};
use crate::seats::{Folder, Kind, Roster};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::Digest;

/// Renewals in the time of a lease: one may be lost, and one late, before it runs out.
const RENEWALS: u32 = 3;

/// What was granted to one name last: to which folder, and until when it may surely be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Given {
    folder: Folder,
    until: Duration,
}

/// A decree that was taken up and is not decided yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    digest: Digest,
    /// In whose ballot, and who is known to that one to have taken it up.
    ballot: Ballot,
    ready: Vec<String>,
    /// When its proposer was heard of last.
    heard: Duration,
    /// How long after that it counts as gone.
    patience: Duration,
}

impl Pending {
    /// Whether a member may go on under the decree before. That it says itself that it is ready is not enough: whoever
    /// proposes would not wait for it, and would not miss it, if its answer was lost.
    fn lets(&self, from: &str, ready: Option<&Digest>) -> bool {
        ready == Some(&self.digest) && self.ready.iter().any(|name| name == from)
    }
}

/// A member's quick side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Standing {
    name: String,
    folder: Folder,
    age: Age,
    decree: Option<Arc<Decree>>,
    pending: Option<Pending>,
    /// What others told of themselves when they asked.
    seen: BTreeMap<String, (Folder, Age)>,
    given: BTreeMap<String, Given>,
    /// By voter: when the ask was sent that it granted last.
    grants: BTreeMap<String, Duration>,
    /// Until when this member may serve.
    until: Option<Duration>,
    /// Voters that have said since the start that this folder is no older copy of what they have seen.
    vouched: BTreeMap<String, Folder>,
    /// How far voters have been told of this folder's writes, so that an older copy of it is known for one.
    told: BTreeMap<String, u64>,
    /// Before the group is formed: its names as the file has them, and who said when that it isn't.
    charter: Roster,
    unformed: BTreeMap<String, Duration>,
    /// How often this member has tried to settle what is pending.
    tries: u32,
}

/// What came of an answer to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing else is to be done.
    Done,
    /// Its decree is newer: it is to be asked for it.
    Newer,
    /// It does not know what stands: it is to be told.
    Older,
    /// The folder is an older copy: its votes don't count any more.
    OldFolder,
}

impl Standing {
    /// Of a member that remembers this, at a start.
    pub fn new(name: &str, memory: &Memory, charter: Roster, life: u64, now: Duration) -> Standing {
        let mut standing = Standing {
            name: name.into(),
            folder: memory.folder,
            age: Age {
                writes: memory.writes,
                life,
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
        standing.follow(memory, now);
        standing
    }

    /// Goes on with the lease under decree `number` that the process before had when it handed all over to this one. Its holder
    /// is the same member with the same clock, and it has not been asked for anew: the argument above holds as it stands.
    pub fn inherit(&mut self, number: u64, until: Duration) {
        let serves = self
            .roster()
            .and_then(|r| r.seat(&self.name))
            .is_some_and(|s| s.kind == Kind::Ingress);
        if serves && number == self.number() {
            self.until = Some(self.until.map_or(until, |u| u.max(until)));
        }
    }

    /// The roster that stands.
    pub fn roster(&self) -> Option<&Roster> {
        self.decree.as_ref().map(|d| &d.roster)
    }

    /// The decree that stands.
    pub fn decree(&self) -> Option<&Arc<Decree>> {
        self.decree.as_ref()
    }

    fn number(&self) -> u64 {
        self.decree.as_ref().map_or(0, |d| d.number)
    }

    fn lease(&self) -> Duration {
        self.roster().unwrap_or(&self.charter).lease()
    }

    /// A part of a time, drawn by chance but the same each time it is asked for: members that begin at one moment must not
    /// all settle at one moment.
    fn drawn(&self, below: Duration) -> Duration {
        let mixed = (self.life() ^ u64::from(self.tries) << 32 ^ self.number())
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        below * (mixed >> 54) as u32 / (1 << 10)
    }

    fn life(&self) -> u64 {
        self.age.life
    }

    /// A decree is about to be taken up: from now on nobody else is told that the one before stands. To be called *before*
    /// that is written, and so before it is said.
    pub fn bar(&mut self, ballot: Ballot, digest: &Digest, now: Duration) {
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
        self.pending = Some(Pending {
            digest: digest.clone(),
            ballot,
            ready,
            heard: now,
            patience,
        });
    }

    /// What the memory says now: after a write, or after one that failed.
    pub fn follow(&mut self, memory: &Memory, now: Duration) {
        (self.folder, self.age.writes) = (memory.folder, memory.writes);
        if self.number() != memory.number() {
            self.decree = memory.decree.clone();
            if self.roster().is_some_and(|r| r.seat(&self.name).is_none()) {
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
                    self.bar(*ballot, &next.digest, now);
                }
            }
        }
    }

    /// Whoever proposes what is taken up here is still at work, and knows of these members that they have taken it up.
    pub fn still(&mut self, ballot: Ballot, ready: &[String], now: Duration) {
        if let Some(p) = self.pending.as_mut().filter(|p| p.ballot == ballot) {
            (p.heard, p.ready) = (now, ready.to_vec());
        }
    }

    /// When what was taken up here is to be settled, if nothing more is heard of it.
    pub fn settle_at(&self) -> Option<Duration> {
        self.pending.as_ref().map(|p| p.heard + p.patience)
    }

    /// Somebody else settles it, or it went wrong: later again.
    pub fn settle_later(&mut self, now: Duration) {
        self.tries += 1;
        if let Some(p) = self.pending.take() {
            self.bar(p.ballot, &p.digest, now);
        }
    }

    /// Answers a renewal.
    pub fn renew(
        &mut self,
        from: &str,
        folder: Folder,
        age: Age,
        number: u64,
        ready: Option<&Digest>,
        now: Duration,
    ) -> Say {
        let seat = self.roster().and_then(|r| r.seat(from)).cloned();
        let seen = self.seen.get(from).filter(|s| s.0 == folder).map(|s| s.1);
        // A stranger is not remembered: names are bounded by the roster's.
        if seat.is_some() && seen.is_none_or(|s| !age.is_older_than(&s)) {
            self.seen.insert(from.into(), (folder, age));
        }
        let until = now + self.roster().map_or(Duration::ZERO, Roster::surely_out);
        let twin = self
            .given
            .get(from)
            .is_some_and(|g| g.folder != folder && g.until > now);
        let verdict = match (&self.decree, seat) {
            (None, _) if number == 0 => Verdict::Unformed,
            (None, _) => Verdict::Ahead,
            (Some(own), _) if number < own.number => Verdict::Behind,
            (Some(own), _) if number > own.number => Verdict::Ahead,
            (_, None) => Verdict::Stranger,
            _ if self.pending.as_ref().is_some_and(|p| !p.lets(from, ready)) => Verdict::Pending,
            _ if twin => Verdict::Twin,
            _ => {
                self.given.insert(from.into(), Given { folder, until });
                Verdict::Granted
            }
        };
        Say::Renewed {
            folder: self.folder,
            number: self.number(),
            seen,
            verdict,
        }
    }

    /// The ask that renews this member's lease.
    pub fn ask(&self) -> Ask {
        Ask::Renew {
            from: self.name.clone(),
            folder: self.folder,
            age: self.age,
            number: self.number(),
            ready: self.pending.as_ref().map(|p| p.digest.clone()),
        }
    }

    /// How long after the last renewal the next one is due.
    pub fn every(&self) -> Duration {
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
    pub fn whom(&self, now: Duration) -> Vec<String> {
        let Some(roster) = self.roster() else {
            let others = self.charter.seats.iter().filter(|s| s.name != self.name);
            return others.map(|s| s.name.clone()).collect();
        };
        let others = roster.voters().filter(|s| s.name != self.name);
        let mut names: Vec<&str> = others.map(|s| s.name.as_str()).collect();
        let witness = roster
            .seat(&self.name)
            .is_some_and(|s| s.kind == Kind::Witness);
        let safe = witness
            || self
                .until
                .is_some_and(|until| until > now + roster.lease() / 2);
        if safe && self.pending.is_none() && self.sure().is_ok() {
            let lately = |name: &str| {
                self.grants
                    .get(name)
                    .is_some_and(|at| *at + roster.lease() > now)
            };
            names.sort_by_key(|name| (!lately(name), self.place_of(name)));
            let own = usize::from(roster.counts(&self.name, self.folder));
            let enough = roster.majority().saturating_sub(own);
            let untold = |name: &str| self.told.get(name).is_none_or(|w| *w < self.age.writes);
            let votes = roster.counts(&self.name, self.folder);
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
    pub fn may_form(&self, now: Duration) -> bool {
        let lately = |name: &str| {
            self.unformed
                .get(name)
                .is_some_and(|at| *at + self.charter.lease() > now)
        };
        let seats = &self.charter.seats;
        self.decree.is_none()
            && self.pending.is_none()
            && seats.first().is_some_and(|s| s.name == self.name)
            && seats.iter().skip(1).all(|s| lately(&s.name))
    }

    /// Of the charter, those that have not said so: the group can't be formed without them.
    pub fn unheard(&self, now: Duration) -> Vec<&str> {
        let lately = |name: &str| {
            self.unformed
                .get(name)
                .is_some_and(|at| *at + self.charter.lease() > now)
        };
        let others = self
            .charter
            .seats
            .iter()
            .map(|s| s.name.as_str())
            .filter(|n| *n != self.name);
        others
            .filter(|n| self.decree.is_none() && !lately(n))
            .collect()
    }

    /// This member's own vote for itself: the same rules as for any other.
    pub fn renew_own(&mut self, now: Duration) {
        let Ask::Renew {
            folder,
            age,
            number,
            ready,
            ..
        } = self.ask()
        else {
            return;
        };
        let name = self.name.clone();
        let say = self.renew(&name, folder, age, number, ready.as_ref(), now);
        self.heard(&name, (now, None), &say, now);
    }

    /// Takes an answer to a renewal that was sent at a moment, and told of so many writes.
    pub fn heard(
        &mut self,
        from: &str,
        (sent, told): (Duration, Option<u64>),
        say: &Say,
        now: Duration,
    ) -> Heard {
        let Say::Renewed {
            folder,
            number,
            seen,
            verdict,
        } = say
        else {
            return Heard::Done;
        };
        if seen.is_some_and(|seen| self.age.is_older_than(&seen)) {
            return Heard::OldFolder;
        }
        self.vouched.insert(from.into(), *folder);
        if let Some(told) = told {
            self.told.insert(from.into(), told);
        }
        match verdict {
            Verdict::Granted => {
                let counts = self.roster().is_some_and(|r| r.counts(from, *folder));
                if counts && *number == self.number() {
                    let last = self.grants.entry(from.into()).or_default();
                    *last = sent.max(*last);
                    self.count(now);
                }
                Heard::Done
            }
            Verdict::Behind => Heard::Newer,
            Verdict::Ahead => Heard::Older,
            Verdict::Unformed => {
                self.unformed.insert(from.into(), sent);
                Heard::Done
            }
            _ => Heard::Done,
        }
    }

    /// The lease that the grants make: the latest moment at which a majority was asked, and the lease from there on.
    fn count(&mut self, now: Duration) {
        let Some(roster) = self.decree.as_ref().map(|d| &d.roster) else {
            return;
        };
        if roster
            .seat(&self.name)
            .is_none_or(|s| s.kind == Kind::Witness)
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
    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    /// Whether this member may vote: a majority of the voters, itself among them, has answered it since it started, and
    /// none of them has seen a newer folder of it.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn sure(&self) -> Result<(), String> {
        let Some(roster) = self.roster() else {
            return Ok(());
        };
        if !roster.counts(&self.name, self.folder) {
            return Err("its folder is not the one that the roster counts".into());
        }
        let others = roster.voters().filter(|s| s.name != self.name);
        let vouched = others
            .filter(|s| self.vouched.get(&s.name) == Some(&s.folder))
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
        Age, Arc, Ballot, Decree, Digest, Duration, Kind, Memory, Roster, Say, Standing, Verdict,
    };
    use crate::decree::Policy;
    use crate::seats::Seat;

    fn roster() -> Roster {
        let seat = |(n, name): (usize, &str)| {
            let (folder, kind) = (n as u64 + 1, Kind::Ingress);
            Seat {
                name: name.into(),
                folder,
                kind,
                votes: true,
            }
        };
        Roster::new(
            1,
            1_500,
            ["a", "b", "c"].into_iter().enumerate().map(seat).collect(),
        )
        .unwrap()
    }

    /// Guards against a lease that outlives its decree, its end, or its holder's seat by way of a handover.
    #[test]
    fn a_lease_passes_to_the_next_process_under_the_same_decree_alone() {
        let decree = Arc::new(Decree::new(
            4,
            1,
            Digest::default(),
            "",
            roster(),
            Policy::default(),
        ));
        let begun = |name: &str| {
            let memory = Memory {
                decree: Some(decree.clone()),
                ..Memory::fresh(name, 1)
            };
            Standing::new(name, &memory, Roster::default(), 1, Duration::from_secs(9))
        };
        let (until, mut next) = (Duration::from_secs(10), begun("a"));
        next.inherit(3, until);
        assert_eq!(next.until(), None, "another decree stands by now");
        next.inherit(4, until);
        next.inherit(4, Duration::from_secs(8));
        assert_eq!(next.until(), Some(until));
        let mut stranger = begun("z");
        stranger.inherit(4, until);
        assert_eq!(stranger.until(), None);
        assert!(
            next.sure().is_err(),
            "it votes once others have answered it, as after any start"
        );
    }

    /// Guards against a member that goes on under the old decree though the proposer never heard that it is ready, or heard
    /// it in another ballot, and so neither waits for it nor misses it.
    #[test]
    fn only_whom_the_proposer_of_that_ballot_names_goes_on_while_something_is_taken_up() {
        let decree = Arc::new(Decree::new(
            1,
            1,
            Digest::default(),
            "",
            roster(),
            Policy::default(),
        ));
        let memory = Memory {
            decree: Some(decree.clone()),
            ..Memory::fresh("a", 1)
        };
        let (now, ballot) = (Duration::from_secs(9), Ballot { round: 1, by: 7 });
        let mut voter = Standing::new("a", &memory, Roster::default(), 1, now);
        let next = decree.nothing().digest;
        let asked = |voter: &mut Standing, ready: Option<&Digest>| match voter.renew(
            "c",
            3,
            Age { writes: 1, life: 3 },
            1,
            ready,
            now,
        ) {
            Say::Renewed { verdict, .. } => verdict,
            other => panic!("{other:?}"),
        };
        assert_eq!(asked(&mut voter, None), Verdict::Granted);
        voter.bar(ballot, &next, now);
        assert_eq!(
            asked(&mut voter, Some(&next)),
            Verdict::Pending,
            "its own word is not enough"
        );
        let higher = Ballot { round: 2, by: 8 };
        voter.still(higher, &["c".into()], now);
        assert_eq!(
            asked(&mut voter, Some(&next)),
            Verdict::Pending,
            "another ballot's word is none here"
        );
        voter.still(ballot, &["b".into(), "c".into()], now);
        assert_eq!(asked(&mut voter, Some(&next)), Verdict::Granted);
        assert_eq!(
            asked(&mut voter, None),
            Verdict::Pending,
            "one that has not taken it up"
        );
        voter.bar(higher, &next, now);
        assert_eq!(
            asked(&mut voter, Some(&next)),
            Verdict::Pending,
            "the next proposer has heard nothing yet"
        );
    }
}
