//! Whoever wants a decree decided: an applier with a change, a member that settles what another left half decided, or the
//! members of a group that has not been formed yet.
//!
//! First every member is asked to take part and to look at the change; one that is there and could not enforce it ends it
//! before anything is decided. With a majority it goes on: what a member has taken up in an earlier ballot comes first, and
//! only where none has does the proposer's own value. With a majority that has taken it up the decree is decided, whatever
//! becomes of the proposer. It is told to be enforced once every member that serves has taken it up, or the lease of those
//! that have not has surely run out.

use crate::decree::{Decree, Policy};
use crate::protocol::{Ask, Ballot, Say};
use crate::seats::{Folder, Kind, Roster, Seat};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::{Digest, State};

/// How often whoever has taken a decree up is told that its proposer is still there, as a part of the lease: well under the
/// half of it after which a member begins to settle.
const STILL: u32 = 6;
/// Between two tries at a member that did not answer, as a part of the lease.
const AGAIN: u32 = 10;

/// What is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Aim {
    /// This decree, made from the one that stands.
    Change(Arc<Decree>),
    /// An end of what is taken up and not decided: what one has taken up, else nothing new.
    Settle,
    /// The first decree, by all members of a charter.
    Form,
}

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Members are asked to take part.
    Promising,
    /// Members are asked to take the decree up.
    Accepting,
    /// It is decided, and told.
    Telling,
    /// It has ended.
    Ended(End),
}

/// How it ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// The decree stands, and nobody serves under the one before any more.
    Made,
    /// A member that is there could not: nothing has happened. Who, and why.
    Refused(Vec<(String, String)>),
    /// Too few answered, and nothing has happened: votes that came, and those that are enough.
    Few(usize, usize),
    /// Somebody has a higher ballot.
    Outbid(Ballot),
    /// Another decree has that number.
    Overtaken(u64),
    /// Time was over before it was decided, or before all were told: members settle it among themselves.
    Unfinished,
}

/// A member, as a proposer sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    name: String,
    kind: Kind,
    /// It is asked, and has not answered.
    asked: bool,
    /// Not to be asked again before this.
    not_before: Duration,
    /// It has answered what this phase asks.
    answered: bool,
    /// And its vote counts.
    voted: bool,
    /// It has a vote that does not count yet: it has just started. It is asked again while votes are missing.
    unsure: bool,
    /// It has taken the decree up, so that it may go on serving under the one before.
    ready: bool,
    /// It was one of the first majority that did, before the wait for leases began.
    early: bool,
    /// It made the switch from this ballot: no other proposer has had a word there in between.
    clean: bool,
    /// It wants all of the decree.
    wants: bool,
    folder: Folder,
    own: Option<(u64, Arc<State>)>,
    /// Why it did not, last.
    why: Option<String>,
}

/// A proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    aim: Aim,
    number: u64,
    ballot: Ballot,
    /// The decree before, whose roster decides.
    base: Arc<Decree>,
    peers: Vec<Peer>,
    best: Option<(Ballot, Arc<Decree>)>,
    value: Option<(Arc<Decree>, Digest)>,
    /// When this phase began.
    since: Duration,
    /// When its majority was there.
    enough: Option<Duration>,
    /// Where it stands.
    pub phase: Phase,
}

impl Proposer {
    /// Begins. `base` is the decree that stands, and `ballot` higher than all that are known, its number drawn.
    pub fn begin(base: Arc<Decree>, aim: Aim, ballot: Ballot, now: Duration) -> Proposer {
        Proposer::new(aim, base.number + 1, ballot, base, now)
    }

    /// Begins to form a group of all that a charter names.
    pub fn form(charter: Roster, ballot: Ballot, now: Duration) -> Proposer {
        let none = Decree {
            roster: charter,
            ..Decree::default()
        };
        Proposer::new(Aim::Form, 1, ballot, Arc::new(none), now)
    }

    fn new(aim: Aim, number: u64, ballot: Ballot, base: Arc<Decree>, now: Duration) -> Proposer {
        let peer = |s: &Seat| Peer {
            name: s.name.clone(),
            kind: s.kind,
            asked: false,
            not_before: now,
            answered: false,
            voted: false,
            unsure: false,
            ready: false,
            early: false,
            clean: false,
            wants: false,
            folder: 0,
            own: None,
            why: None,
        };
        let peers = base.roster.seats.iter().map(peer).collect();
        let (best, value, enough, phase) = (None, None, None, Phase::Promising);
        Proposer {
            aim,
            number,
            ballot,
            base,
            peers,
            best,
            value,
            since: now,
            enough,
            phase,
        }
    }

    /// The members' names, in the order in which they are numbered here.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().map(|p| p.name.as_str())
    }

    /// The ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The decree that is decided, or is to be.
    pub fn value(&self) -> Option<&Arc<Decree>> {
        self.value.as_ref().map(|v| &v.0)
    }

    /// Members that have not done what this phase asks, with what they said last.
    pub fn away(&self) -> Vec<(String, String)> {
        let away = self.peers.iter().filter(|p| !p.answered);
        away.map(|p| {
            (
                p.name.clone(),
                p.why.clone().unwrap_or_else(|| "it does not answer".into()),
            )
        })
        .collect()
    }

    /// Whether nothing but the wait for leases to run out is left to do before all is told.
    pub fn waits(&self) -> bool {
        self.phase == Phase::Accepting && self.enough.is_some()
    }

    fn votes(&self) -> usize {
        self.peers.iter().filter(|p| p.voted).count()
    }

    fn needed(&self) -> usize {
        // A group is formed by all of it: no majority could know that there is none yet.
        if self.aim == Aim::Form {
            self.peers.len()
        } else {
            self.base.roster.majority()
        }
    }

    fn turn(&mut self, phase: Phase, now: Duration) {
        (self.phase, self.since, self.enough) = (phase, now, None);
        for p in &mut self.peers {
            // An answer to what the last phase asked may still come; it counts for nothing then.
            (p.answered, p.voted, p.asked, p.not_before, p.why) = (false, false, false, now, None);
            p.unsure = false;
        }
    }

    fn end(&mut self, end: End) {
        self.phase = Phase::Ended(end);
    }

    /// What is to be asked of which member now. Each is asked one thing at a time.
    pub fn asks(&mut self, now: Duration) -> Vec<(usize, Ask)> {
        self.go_on(now);
        let (number, ballot, phase) = (self.number, self.ballot, self.phase.clone());
        let trial = match &self.aim {
            Aim::Change(decree) => Some(decree.clone()),
            Aim::Settle | Aim::Form => None,
        };
        let value = self.value.clone();
        let still = self.base.roster.lease() / STILL;
        let ready: Vec<String> = self
            .peers
            .iter()
            .filter(|p| p.ready)
            .map(|p| p.name.clone())
            .collect();
        let (mut asks, missing) = (Vec::new(), self.enough.is_none());
        for (n, p) in self
            .peers
            .iter_mut()
            .enumerate()
            .filter(|(_, p)| !p.asked && p.not_before <= now)
        {
            let ask = match (&phase, &value) {
                (Phase::Promising, _) if !p.answered || p.unsure && missing => Ask::Promise {
                    number,
                    ballot,
                    trial: trial.clone(),
                },
                (Phase::Accepting, Some((decree, _))) if !p.answered || p.unsure && missing => {
                    Ask::Accept {
                        ballot,
                        decree: decree.clone(),
                    }
                }
                (Phase::Accepting, _) if p.answered => {
                    p.not_before = now + still;
                    Ask::Still {
                        ballot,
                        ready: ready.clone(),
                    }
                }
                (Phase::Telling, Some((decree, digest))) if !p.answered => {
                    let whole = !p.ready || p.wants;
                    Ask::Decided {
                        number,
                        digest: digest.clone(),
                        decree: whole.then(|| decree.clone()),
                    }
                }
                _ => continue,
            };
            p.asked = true;
            asks.push((n, ask));
        }
        asks
    }

    /// When to ask again, at the latest, if nothing is heard.
    pub fn next(&self, now: Duration) -> Duration {
        let again = |p: &&Peer| {
            !p.answered || self.phase == Phase::Accepting || p.unsure && self.enough.is_none()
        };
        let due = self.peers.iter().filter(|p| !p.asked).filter(again);
        let due = due.map(|p| p.not_before).chain(self.ready_at());
        due.min()
            .map_or(self.base.roster.lease(), |at| at.saturating_sub(now))
    }

    /// When this phase is over though not all have answered.
    fn ready_at(&self) -> Option<Duration> {
        let enough = self.enough?;
        match self.phase {
            // Those that answer slowly are waited for a little, so that they need not be shut out.
            Phase::Promising if self.aim == Aim::Settle => Some(enough),
            Phase::Promising => Some(enough.max(self.since + self.base.roster.lease() / 3)),
            // Asked for before the last of the majority said so, counted by the slowest clock.
            Phase::Accepting | Phase::Telling => Some(enough + self.base.roster.surely_out()),
            Phase::Ended(_) => None,
        }
    }

    fn go_on(&mut self, now: Duration) {
        if self.enough.is_none() && self.votes() >= self.needed() {
            self.enough = Some(now);
        }
        // Whom this phase has to wait for. Whoever has not taken the decree up serves no more once the wait is over.
        let waited_for = |p: &&Peer| match self.phase {
            Phase::Accepting => p.kind == Kind::Ingress,
            Phase::Telling => p.kind == Kind::Ingress && p.ready,
            _ => true,
        };
        let mut all = self.peers.iter().filter(waited_for).all(|p| p.answered);
        if self.phase == Phase::Telling {
            // Those that have not taken it up in this ballot may have in another one, and have been let go on there: unless
            // a majority has heeded this one alone from before the wait on until it made the switch.
            let alone = self.peers.iter().filter(|p| p.early && p.clean).count() >= self.needed();
            let every = self
                .peers
                .iter()
                .filter(|p| p.kind == Kind::Ingress)
                .all(|p| p.answered);
            all = all && alone || every;
        }
        if self.enough.is_none() || !(all || self.ready_at().is_some_and(|at| at <= now)) {
            return;
        }
        match self.phase {
            Phase::Promising => {
                let decree = match (self.best.take(), &self.aim) {
                    (Some((_, decree)), _) => decree,
                    (None, Aim::Change(decree)) => decree.clone(),
                    (None, Aim::Settle) => Arc::new(self.base.nothing()),
                    (None, Aim::Form) => Arc::new(self.first()),
                };
                let digest = decree.digest.clone();
                self.value = Some((decree, digest));
                self.turn(Phase::Accepting, now);
            }
            Phase::Accepting => self.turn(Phase::Telling, now),
            Phase::Telling => {
                let own = match (&self.aim, &self.value) {
                    (Aim::Change(wanted), Some((decree, _))) => wanted == decree,
                    _ => true,
                };
                self.end(if own {
                    End::Made
                } else {
                    End::Overtaken(self.number)
                });
            }
            Phase::Ended(_) => {}
        }
    }

    /// The first decree: everybody goes on with what it enforces, and votes by the folder that it has.
    fn first(&self) -> Decree {
        let folder = |name: &str| {
            self.peers
                .iter()
                .find(|p| p.name == name)
                .map_or(0, |p| p.folder)
        };
        let seats = self
            .base
            .roster
            .seats
            .iter()
            .map(|s| Seat {
                folder: folder(&s.name),
                ..s.clone()
            })
            .collect();
        let roster = Roster {
            version: 1,
            seats,
            ..self.base.roster.clone()
        };
        let own = self
            .peers
            .iter()
            .filter_map(|p| Some((p.name.clone(), p.own.clone()?)));
        let own: BTreeMap<_, _> = own.collect();
        let generation = own.values().map(|o| o.0).max().unwrap_or(1).max(1);
        let states = own.into_iter().map(|(name, o)| (name, o.1)).collect();
        Decree::new(
            1,
            generation,
            Digest::default(),
            "",
            roster,
            Policy::of(&states),
        )
    }

    /// Takes what came of the ask that a member was sent: its answer, or none where the connection broke or nothing came in
    /// time, and it may have done what was asked. One that answers what an earlier phase asked counts for nothing.
    pub fn heard(
        &mut self,
        member: usize,
        asked: &Ask,
        answer: Result<Say, String>,
        now: Duration,
    ) {
        let (again, number, ballot) = (self.base.roster.lease() / AGAIN, self.number, self.ballot);
        let roster = &self.base.roster;
        let forming = self.aim == Aim::Form;
        let Some(p) = self.peers.get_mut(member) else {
            return;
        };
        let ours = matches!(
            (&self.phase, asked),
            (Phase::Promising, Ask::Promise { .. })
                | (Phase::Accepting, Ask::Accept { .. } | Ask::Still { .. })
                | (Phase::Telling, Ask::Decided { .. })
        );
        if !ours {
            return;
        }
        p.asked = false;
        let counts = |folder| roster.counts(&p.name, folder) || forming && folder != 0;
        let votes = roster.seat(&p.name).is_some_and(|s| s.votes);
        let unsure = |folder| votes && folder == 0;
        match (answer, asked) {
            (_, Ask::Still { .. }) => {}
            (
                Ok(Say::Promised {
                    folder,
                    accepted,
                    own,
                }),
                Ask::Promise { .. },
            ) => {
                (p.answered, p.voted, p.folder, p.own) = (true, counts(folder), folder, own);
                (p.unsure, p.not_before) = (unsure(folder), now + again);
                if p.voted
                    && accepted
                        .as_ref()
                        .is_some_and(|a| self.best.as_ref().is_none_or(|b| b.0 < a.0))
                {
                    self.best = accepted;
                }
            }
            (Ok(Say::Accepted { folder }), Ask::Accept { .. }) => {
                (p.answered, p.ready, p.voted) = (true, true, counts(folder));
                p.early |= p.voted && self.enough.is_none();
                (p.unsure, p.not_before) = (unsure(folder), now + again);
                // Voters are to hear of it before its lease runs out.
                for p in self.peers.iter_mut().filter(|p| p.answered) {
                    p.not_before = p.not_before.min(now + again);
                }
            }
            (
                Ok(Say::Decided {
                    folder,
                    number: at,
                    from,
                }),
                Ask::Decided { .. },
            ) if at >= number => {
                (p.answered, p.voted) = (true, counts(folder));
                p.clean |= p.voted && from == Some(ballot);
            }
            (Ok(Say::Want), Ask::Decided { .. }) => p.wants = true,
            (Ok(Say::Moved { number: at, digest }), Ask::Promise { .. } | Ask::Accept { .. })
                if at >= number =>
            {
                // It may be this very decree, settled by a member already: then it stands there.
                let same = at == number && self.value.as_ref().is_some_and(|v| v.1 == digest);
                if same && matches!(asked, Ask::Accept { .. }) {
                    let folder = roster.seat(&p.name).map_or(0, |s| s.folder);
                    (p.answered, p.ready, p.voted) = (true, true, counts(folder));
                    // It grants nobody anything under the one before any more.
                    p.early |= p.voted && self.enough.is_none();
                    p.clean = p.early;
                } else {
                    self.end(End::Overtaken(at));
                }
            }
            (Ok(Say::Moved { number: at, .. }), _) => {
                p.why = Some(format!("it has not heard of more than decree {at}"));
                p.not_before = now + again;
            }
            (Ok(Say::Outbid { ballot }), _) => self.end(End::Outbid(ballot)),
            // Nothing has been decided yet: it ends here, and nothing has happened. One that could, but for its disk, is
            // as good as away.
            (Ok(Say::No { why }), Ask::Promise { .. }) if matches!(self.aim, Aim::Change(_)) => {
                let refused = vec![(p.name.clone(), why)];
                self.end(End::Refused(refused));
            }
            (Ok(Say::No { why } | Say::Unable { why }) | Err(why), _) => {
                p.why = Some(why);
                p.not_before = now + again;
            }
            (Ok(_), _) => {
                p.why = Some("it answers something else".into());
                p.not_before = now + again;
            }
        }
        self.go_on(now);
    }

    /// Ends it for want of time.
    pub fn give_up(&mut self) {
        match self.phase {
            Phase::Ended(_) => {}
            Phase::Promising => self.end(End::Few(self.votes(), self.needed())),
            _ => self.end(End::Unfinished),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{
        Aim, Arc, Ask, Ballot, Decree, Digest, Duration, End, Kind, Phase, Policy, Proposer,
        Roster, Say, Seat,
    };

    const BALLOT: Ballot = Ballot { round: 1, by: 7 };

    /// A proposal of three at the point at which a majority has taken it up, the third is silent and the wait is over.
    fn telling() -> (Proposer, Duration, Digest) {
        let seat = |n: u64| Seat {
            name: format!("m{n}"),
            folder: n,
            kind: Kind::Ingress,
            votes: true,
        };
        let roster = Roster::new(1, 1_500, (1..=3).map(seat).collect()).unwrap();
        let base = Arc::new(Decree::new(
            1,
            1,
            Digest::default(),
            "",
            roster,
            Policy::default(),
        ));
        let next = Arc::new(base.nothing());
        let mut now = Duration::from_secs(9);
        let mut p = Proposer::begin(base, Aim::Change(next.clone()), BALLOT, now);
        for phase in [Phase::Promising, Phase::Accepting] {
            let asks = p.asks(now);
            assert_eq!(p.phase, phase);
            for (n, ask) in asks {
                let folder = n as u64 + 1;
                let say = match (&ask, n) {
                    (_, 2) => continue,
                    (Ask::Promise { .. }, _) => Say::Promised {
                        folder,
                        accepted: None,
                        own: None,
                    },
                    _ => Say::Accepted { folder },
                };
                p.heard(n, &ask, Ok(say), now);
            }
            now += Duration::from_secs(2);
        }
        p.asks(now);
        assert_eq!(p.phase, Phase::Telling);
        (p, now, next.digest.clone())
    }

    fn told(p: &mut Proposer, now: Duration, digest: &Digest, from: [Option<Ballot>; 2]) {
        for (n, from) in from.into_iter().enumerate() {
            let ask = Ask::Decided {
                number: 2,
                digest: digest.clone(),
                decree: None,
            };
            let say = Say::Decided {
                folder: n as u64 + 1,
                number: 2,
                from,
            };
            p.heard(n, &ask, Ok(say), now);
        }
    }

    #[test]
    fn it_is_made_without_a_second_wait_where_a_majority_heeded_this_ballot_alone() {
        let (mut p, now, digest) = telling();
        told(&mut p, now, &digest, [Some(BALLOT), Some(BALLOT)]);
        assert_eq!(p.phase, Phase::Ended(End::Made));
    }

    /// Guards against "made" being said while another proposer has let the third go on: found by the rig, with 20 members
    /// and a quarter of their links failing.
    #[test]
    fn where_another_proposer_had_a_word_it_is_made_once_old_leases_are_surely_out() {
        let (mut p, now, digest) = telling();
        told(
            &mut p,
            now,
            &digest,
            [Some(BALLOT), Some(Ballot { round: 2, by: 1 })],
        );
        assert_eq!(p.phase, Phase::Telling);
        p.asks(now + Duration::from_millis(1_500));
        assert_eq!(p.phase, Phase::Telling);
        p.asks(now + Duration::from_millis(1_531));
        assert_eq!(p.phase, Phase::Ended(End::Made));
    }
}
