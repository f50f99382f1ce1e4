//! The messages between members, and between `wrenctl` and a member: lines of the control sockets' protocol
//! (`wrenfork_commit::protocol`), told from its other asks by the key `group`.

use crate::decree::Decree;
use crate::seats::{Folder, Kind, Roster};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wrenfork_commit::state::{Digest, State};
use wrenfork_rollout::record::Phase;
use wrenfork_rollout::tally::Tally;

/// Who proposes: a round, and a number drawn by whoever proposes in it, so that no two are alike.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Higher than all that were seen before.
    pub round: u64,
    /// Whose it is.
    pub by: u64,
}

/// A life of a member's process, and how much its folder has written. Each start draws another life; a folder that was put
/// back from a copy has written less than others know of it, or has another life at the same age.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Age {
    /// Writes of its folder so far.
    pub writes: u64,
    /// The life of its process, drawn at its start.
    pub life: u64,
}

impl Age {
    /// Whether a folder that says it is of this age must be an older copy of one that was seen at another.
    pub fn is_older_than(&self, seen: &Age) -> bool {
        self.writes < seen.writes || self.writes == seen.writes && self.life != seen.life
    }
}

/// What is asked of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "group", rename_all = "kebab-case")]
pub enum Ask {
    /// To say that a decree still stands: a lease for whoever asks, from the moment of its asking on.
    Renew {
        /// Who asks.
        from: String,
        /// Its folder.
        folder: Folder,
        /// The folder's age.
        age: Age,
        /// The decree that it serves under; 0 where it knows none.
        number: u64,
        /// The next decree, where it has taken that up.
        ready: Option<Digest>,
    },
    /// To take part in deciding decree `number`, and in no lower ballot any more.
    Promise {
        /// Which decree.
        number: u64,
        /// Whose.
        ballot: Ballot,
        /// What would be proposed, to be looked at: whoever could not enforce it says so before anything is decided.
        trial: Option<Arc<Decree>>,
    },
    /// To take a decree up: from now on it is enforced as soon as it is said to be decided, and nobody who hasn't taken
    /// it up is told that the one before still stands.
    Accept {
        /// Whose.
        ballot: Ballot,
        /// What.
        decree: Arc<Decree>,
    },
    /// Whoever proposed is still at work on a decree that was taken up.
    Still {
        /// Whose.
        ballot: Ballot,
        /// Who is known to it to have taken it up: they, and nobody else, may go on serving under the one before until they
        /// are told.
        ready: Vec<String>,
    },
    /// A decree is decided.
    Decided {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: Digest,
        /// All of it, for those that have not taken it up.
        decree: Option<Arc<Decree>>,
    },
    /// What stands, whole.
    Learn,
    /// How it stands, for people and for whoever proposes.
    Stand,
    /// What it has counted of its requests, for whoever drives a rollout.
    Tally,
    /// From whoever drives a rollout: under this decree it is its turn to change the program that it runs.
    Turn {
        /// The decree's number.
        number: u64,
    },
    /// From whoever keeps its process: a program does not come into service there.
    Unfit {
        /// Which.
        program: String,
        /// Why.
        why: String,
    },
}

/// What becomes of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It still stands.
    Granted,
    /// Another decree has been taken up here, and whoever asks has not.
    Pending,
    /// Another one stands here already.
    Behind,
    /// Whoever asks knows more than this member.
    Ahead,
    /// No seat has that name.
    Stranger,
    /// The group has not been formed yet.
    Unformed,
    /// Another process of that name, with another folder, may still be serving.
    Twin,
}

/// A member's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum Say {
    /// To a renewal.
    Renewed {
        /// The folder of whoever answers.
        folder: Folder,
        /// The decree that stands there.
        number: u64,
        /// What was seen of the folder of whoever asks, before this ask.
        seen: Option<Age>,
        /// What becomes of it.
        verdict: Verdict,
    },
    /// It takes part.
    Promised {
        /// Its folder.
        folder: Folder,
        /// What it has taken up in a lower ballot.
        accepted: Option<(Ballot, Arc<Decree>)>,
        /// What it enforces, where no decree stands yet.
        own: Option<(u64, Arc<State>)>,
    },
    /// It has taken the decree up.
    Accepted {
        /// Its folder.
        folder: Folder,
    },
    /// Somebody has a higher ballot.
    Outbid {
        /// That one.
        ballot: Ballot,
    },
    /// Another number is to be decided here.
    Moved {
        /// The decree that stands.
        number: u64,
        /// Its digest.
        digest: Digest,
    },
    /// The decree stands there now.
    Decided {
        /// Its folder.
        folder: Folder,
        /// The decree that stands.
        number: u64,
        /// The ballot in which it had taken it up, where it has made the switch at this word.
        from: Option<Ballot>,
    },
    /// All of the decree is needed.
    Want,
    /// What stands; nothing where the group has not been formed.
    Learnt {
        /// It.
        decree: Option<Arc<Decree>>,
    },
    /// How it stands.
    Stands(Box<Stand>),
    /// What it has counted.
    Tallied(Box<Tally>),
    /// It is noted.
    Noted,
    /// It does not; nothing has changed.
    No {
        /// Why, in plain words.
        why: String,
    },
    /// It can't right now, by the disk for one; nothing has changed, and it may be asked again.
    Unable {
        /// Why, in plain words.
        why: String,
    },
}

/// How it stands at a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stand {
    /// Its name.
    pub name: String,
    /// Its folder.
    pub folder: Folder,
    /// What it is, if its seat says so.
    pub kind: Option<Kind>,
    /// The decree that stands there; 0 where the group has not been formed.
    pub number: u64,
    /// The generation that is enforced under it.
    pub generation: u64,
    /// Its change.
    pub change: Digest,
    /// The decree's digest.
    pub digest: Digest,
    /// The roster under it.
    pub roster: Roster,
    /// The highest ballot that it takes part in.
    pub promised: Ballot,
    /// The next decree, where it has taken one up.
    pub pending: Option<Digest>,
    /// Where the rollout stands that its decree is of, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Phase>,
    /// Milliseconds for which it may still serve; none where it may not.
    pub lease_ms: Option<u64>,
    /// Why it does not vote, where it does not.
    pub unsure: Option<String>,
    /// The program that it runs, where whoever keeps its process says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runs: Option<String>,
    /// The program that it is to run, where its decree says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wants: Option<String>,
    /// Whether it may change to that now.
    #[serde(default)]
    pub turn: bool,
}

/// Whether a line is one of these asks: the key that tells them stands first, behind the version.
pub fn is(line: &str) -> bool {
    line.as_bytes()
        .chunks(32)
        .next()
        .is_some_and(|head| head.windows(8).any(|w| w == b"\"group\":"))
}

#[cfg(test)]
mod tests {
    use super::{is, Age, Arc, Ask, Ballot, Decree, Digest, Say};
    use wrenfork_commit::protocol::{self, read};

    #[test]
    fn asks_of_a_group_are_told_from_the_others_and_survive_the_way() {
        let renew = Ask::Renew {
            from: "a".into(),
            folder: 3,
            age: Age { writes: 1, life: 2 },
            number: 9,
            ready: None,
        };
        let promise = Ask::Promise {
            number: 2,
            ballot: Ballot {
                round: u64::MAX,
                by: 7,
            },
            trial: None,
        };
        let decree = Arc::new(Decree::default());
        let accept = Ask::Accept {
            ballot: Ballot::default(),
            decree: decree.clone(),
        };
        let decided = Ask::Decided {
            number: 1,
            digest: Digest::default(),
            decree: Some(decree),
        };
        for ask in [
            renew,
            promise,
            accept,
            decided,
            Ask::Learn,
            Ask::Stand,
            Ask::Tally,
            Ask::Turn { number: 4 },
        ] {
            let line = protocol::line(&ask);
            assert!(is(&line), "{line}");
            assert_eq!(read::<Ask>(&line), Ok(ask));
        }
        assert!(!is(&protocol::line(&protocol::Ask::Status)) && !is("") && !is("{"));
        for say in [
            Say::Want,
            Say::Stands(Box::default()),
            Say::Tallied(Box::default()),
            Say::Learnt { decree: None },
        ] {
            assert_eq!(read::<Say>(&protocol::line(&say)), Ok(say));
        }
        assert!(Age { writes: 4, life: 1 }.is_older_than(&Age { writes: 5, life: 1 }));
        assert!(Age { writes: 5, life: 1 }.is_older_than(&Age { writes: 5, life: 2 }));
        assert!(!Age { writes: 6, life: 1 }.is_older_than(&Age { writes: 5, life: 2 }));
    }
}
