//! Who belongs to a group.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The shortest lease: a commit to a slow disk and a renewal must fit into a third of it.
pub const SHORTEST_LEASE: Duration = Duration::from_millis(300);
/// The longest lease: whoever is cut off takes as long to be shut out, and every change with one away waits for it.
pub const LONGEST_LEASE: Duration = Duration::from_secs(60);
/// By how much two members' clocks may differ in speed, in parts of a thousand: a hundred times what a crystal does, and
/// more than a clock that is being slewed may (0.5).
pub const DRIFT_PER_MILLE: u32 = 10;
/// Seats of a group.
pub const MOST_SEATS: usize = 256;

/// Which folder a member's promises are kept in: drawn when the folder is made, never 0. A member whose folder was lost
/// has another one, and its votes don't count until the roster says so.
pub type Folder = u64;

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Serves.
    Ingress,
    /// Keeps promises and serves nobody.
    Witness,
}

/// A member's seat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seat {
    /// The member's name.
    pub name: String,
    /// The folder that its votes are kept in; 0 where it has none that counts.
    pub folder: Folder,
    /// What it is.
    pub kind: Kind,
    /// Whether it is asked to decide; one that isn't only learns and serves.
    pub votes: bool,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Roster {
    /// Counts the changes of the roster.
    pub version: u64,
    /// Milliseconds for which a member may serve on the word of a majority.
    pub lease_ms: u64,
    /// The seats, by name.
    pub seats: Vec<Seat>,
}

/// What is wrong with a roster, or with a change of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterError {
    /// Nobody would decide.
    NoVoter,
    /// Nobody would serve.
    NoIngress,
    /// More seats than there may be.
    TooMany(usize),
    /// A name twice.
    Twice(String),
    /// No such member.
    Unknown(String),
    /// A member that is there already.
    There(String),
    /// A lease out of range, in milliseconds.
    Lease(u64),
}

impl std::fmt::Display for RosterError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            RosterError::NoVoter => write!(f, "nobody in the roster has a vote"),
            RosterError::NoIngress => write!(f, "nobody in the roster serves"),
            RosterError::TooMany(n) => {
                write!(f, "{n} members, and a roster has {MOST_SEATS} at most")
            }
            RosterError::Twice(name) => write!(f, "{name} stands in the roster twice"),
            RosterError::Unknown(name) => write!(f, "{name} is not in the roster"),
            RosterError::There(name) => write!(f, "{name} is in the roster already"),
            RosterError::Lease(ms) => write!(
                f,
                "a lease of {ms} ms: it must be from {} ms to {} s",
                SHORTEST_LEASE.as_millis(),
                LONGEST_LEASE.as_secs()
            ),
        }
    }
}

impl std::error::Error for RosterError {}

impl Roster {
    /// A roster that is whole.
    ///
    /// # Errors
    ///
    /// With what is wrong.
    pub fn new(version: u64, lease_ms: u64, mut seats: Vec<Seat>) -> Result<Roster, RosterError> {
        seats.sort();
        let roster = Roster {
            version,
            lease_ms,
            seats,
        };
        roster.check()?;
        Ok(roster)
    }

    /// Checks a roster that came from elsewhere.
    ///
    /// # Errors
    ///
    /// With what is wrong.
    pub fn check(&self) -> Result<(), RosterError> {
        let lease = Duration::from_millis(self.lease_ms);
        if !(SHORTEST_LEASE..=LONGEST_LEASE).contains(&lease) {
            return Err(RosterError::Lease(self.lease_ms));
        }
        if self.seats.len() > MOST_SEATS {
            return Err(RosterError::TooMany(self.seats.len()));
        }
        let mut names = BTreeSet::new();
        if let Some(twice) = self.seats.iter().find(|s| !names.insert(&s.name)) {
            return Err(RosterError::Twice(twice.name.clone()));
        }
        if !self.seats.iter().any(|s| s.votes) {
            return Err(RosterError::NoVoter);
        }
        if !self.seats.iter().any(|s| s.kind == Kind::Ingress) {
            return Err(RosterError::NoIngress);
        }
        Ok(())
    }

    /// A member's seat.
    pub fn seat(&self, name: &str) -> Option<&Seat> {
        self.seats.iter().find(|s| s.name == name)
    }

    /// Whether the vote of a member with this folder counts.
    pub fn counts(&self, name: &str, folder: Folder) -> bool {
        self.seat(name)
            .is_some_and(|s| s.votes && s.folder == folder && folder != 0)
    }

    /// The seats that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Seat> {
        self.seats.iter().filter(|s| s.votes)
    }

    /// Votes that are enough.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// For how long a member may serve, by its own clock, after it asked for that.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// After how long, by anybody's clock, a lease that was asked for before has surely run out by its holder's: the
    /// holder's clock may be as slow as this one is fast.
    pub fn surely_out(&self) -> Duration {
        // The division rounds down.
        self.lease() * (1_000 + DRIFT_PER_MILLE) / (1_000 - DRIFT_PER_MILLE)
            + Duration::from_micros(1)
    }

    /// The roster with a member more.
    ///
    /// # Errors
    ///
    /// Where it is there already, or there is no room.
    pub fn with(&self, seat: Seat) -> Result<Roster, RosterError> {
        if self.seat(&seat.name).is_some() {
            return Err(RosterError::There(seat.name));
        }
        let seats = self.seats.iter().cloned().chain([seat]).collect();
        Roster::new(self.version + 1, self.lease_ms, seats)
    }

    /// The roster without a member.
    ///
    /// # Errors
    ///
    /// Where there is no such member, or too few would be left.
    pub fn without(&self, name: &str) -> Result<Roster, RosterError> {
        self.seat(name)
            .ok_or_else(|| RosterError::Unknown(name.into()))?;
        let seats = self
            .seats
            .iter()
            .filter(|s| s.name != name)
            .cloned()
            .collect();
        Roster::new(self.version + 1, self.lease_ms, seats)
    }

    /// The roster with a member that votes by this folder from now on, or that has no vote: one whose folder was lost is
    /// first without a vote, then has one by its new folder, so that majorities overlap at each step.
    ///
    /// # Errors
    ///
    /// Where there is no such member, or nobody would be left to vote.
    pub fn voting(&self, name: &str, folder: Option<Folder>) -> Result<Roster, RosterError> {
        self.seat(name)
            .ok_or_else(|| RosterError::Unknown(name.into()))?;
        let seats = self.seats.iter().cloned().map(|s| match s.name == name {
            true => Seat {
                folder: folder.unwrap_or(0),
                votes: folder.is_some(),
                ..s
            },
            false => s,
        });
        Roster::new(self.version + 1, self.lease_ms, seats.collect())
    }

    /// Whether any majority of one shares a voter with any majority of the other, so that what one has decided the other
    /// can't decide anew: at most one vote more, less or of another folder.
    pub fn overlaps(&self, other: &Roster) -> bool {
        let votes = |r: &Roster| {
            r.voters()
                .map(|s| (s.name.clone(), s.folder))
                .collect::<BTreeSet<_>>()
        };
        let (old, new) = (votes(self), votes(other));
        let all: BTreeSet<_> = old.union(&new).collect();
        self.majority() + other.majority() > all.len()
    }
}

#[cfg(test)]
mod tests {
    use super::{Folder, Kind, Roster, RosterError, Seat, MOST_SEATS};
    use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

    fn seat(name: &str, folder: Folder, votes: bool) -> Seat {
        Seat {
            name: name.into(),
            folder,
            kind: Kind::Ingress,
            votes,
        }
    }

    fn roster(votes: usize) -> Roster {
        let seats = (0..votes)
            .map(|n| seat(&format!("n{n}"), n as u64 + 1, true))
            .collect();
        Roster::new(1, 1_500, seats).unwrap()
    }

    #[test]
    fn what_no_group_can_be_is_refused_with_its_reason() {
        let err = |ms, seats| Roster::new(1, ms, seats).unwrap_err();
        assert_eq!(err(1_500, vec![]), RosterError::NoVoter);
        assert_eq!(err(1_500, vec![seat("a", 1, false)]), RosterError::NoVoter);
        let twice = vec![seat("a", 1, true), seat("a", 2, true)];
        assert_eq!(err(1_500, twice), RosterError::Twice("a".into()));
        assert_eq!(err(100, vec![seat("a", 1, true)]), RosterError::Lease(100));
        let witness = Seat {
            kind: Kind::Witness,
            ..seat("w", 1, true)
        };
        assert_eq!(err(1_500, vec![witness]), RosterError::NoIngress);
        let many = (0..MOST_SEATS as u64 + 1)
            .map(|n| seat(&n.to_string(), n, true))
            .collect();
        assert_eq!(err(1_500, many), RosterError::TooMany(MOST_SEATS + 1));
        let three = roster(3);
        assert_eq!(
            three.with(seat("n1", 9, true)),
            Err(RosterError::There("n1".into()))
        );
        assert_eq!(three.without("n7"), Err(RosterError::Unknown("n7".into())));
        assert_eq!(
            three.voting("n7", Some(1)),
            Err(RosterError::Unknown("n7".into()))
        );
        assert!(!three.counts("n0", 2) && three.counts("n0", 1) && !three.counts("n9", 1));
    }

    proptest! {
        /// What a change of the roster rests on: one seat at a time keeps old and new majorities overlapping, and a vote
        /// of a lost folder is nobody's.
        #[test]
        fn one_seat_at_a_time_keeps_majorities_overlapping(votes in 1usize..12, at in 0usize..12) {
            let old = roster(votes);
            let name = format!("n{}", at % votes);
            prop_assert!(old.overlaps(&old.with(seat("new", 99, true)).unwrap()));
            if votes > 1 {
                prop_assert!(old.overlaps(&old.without(&name).unwrap()));
                let without = old.voting(&name, None).unwrap();
                prop_assert!(old.overlaps(&without));
                prop_assert!(without.overlaps(&without.voting(&name, Some(77)).unwrap()));
                // In one step it is one vote less and one more: of three, two that lost nothing and two that did not meet.
                prop_assert_eq!(old.overlaps(&old.voting(&name, Some(77)).unwrap()), votes % 2 == 0);
            }
        }

        /// Whoever holds a lease by the slowest clock that is allowed has let it go when the fastest says so.
        #[test]
        fn a_lease_is_surely_out_after_the_wait_for_any_allowed_drift(ms in 300u64..60_000, slow in 0u32..=10, fast in 0u32..=10) {
            let roster = Roster { lease_ms: ms, ..roster(3) };
            let held = roster.lease().as_secs_f64() / (1.0 - f64::from(slow) / 1_000.0);
            let waited = roster.surely_out().as_secs_f64() / (1.0 + f64::from(fast) / 1_000.0);
            prop_assert!(waited >= held, "{waited} {held}");
        }
    }
}
