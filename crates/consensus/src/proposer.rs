//! Whoever wants a decree decided: an applier with a change, a member that settles what another left half decided, or the
//! members of a group that has not been formed yet.
//!
//! First every member is asked to take part and to look at the change; one that is there and could not enforce it ends it
//! before anything is decided. With a majority it goes on: what a member has taken up in an earlier ballot comes first, and
//! only where none has does the proposer's own value. With a majority that has taken it up the decree is decided, whatever
//! becomes of the proposer. It is told to be enforced once every member that serves has taken it up, or the lease of those
//! that have not has surely run out.

use crate::group_state::{GroupState, Policy};
use crate::membership::{Member, MemberRole, Membership, ReplicaId};
use crate::protocol::{Ballot, GroupRequest, GroupResponse};
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
pub enum ProposalGoal {
    /// This decree, made from the one that stands.
    Change(Arc<GroupState>),
    /// An end of what is taken up and not decided: what one has taken up, else nothing new.
    Recover,
    /// The first decree, by all members of a charter.
    Form,
}

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalPhase {
    /// Members are asked to take part.
    Preparing,
    /// Members are asked to take the decree up.
    Accepting,
    /// It is decided, and told.
    Notifying,
    /// It has ended.
    Ended(ProposalOutcome),
}

/// How it ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// The decree stands, and nobody serves under the one before any more.
    Committed,
    /// A member that is there could not: nothing has happened. Who, and why.
    Rejected(Vec<(String, String)>),
    /// Too few answered, and nothing has happened: votes that came, and those that are enough.
    NoQuorum(usize, usize),
    /// Somebody has a higher ballot.
    HigherBallot(Ballot),
    /// Another decree has that number.
    Superseded(u64),
    /// Time was over before it was decided, or before all were told: members settle it among themselves.
    TimedOut,
}

/// A member, as a proposer sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    name: String,
    kind: MemberRole,
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
    folder: ReplicaId,
    own: Option<(u64, Arc<State>)>,
    /// Why it did not, last.
    why: Option<String>,
}

/// A proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    aim: ProposalGoal,
    number: u64,
    ballot: Ballot,
    /// The decree before, whose roster decides.
    base: Arc<GroupState>,
    peers: Vec<Peer>,
    best: Option<(Ballot, Arc<GroupState>)>,
    value: Option<(Arc<GroupState>, Digest)>,
    /// When this phase began.
    since: Duration,
    /// When its majority was there.
    enough: Option<Duration>,
    /// Where it stands.
    pub phase: ProposalPhase,
}

impl Proposer {
    /// Begins. `base` is the decree that stands, and `ballot` higher than all that are known, its number drawn.
    pub fn new(
        base: Arc<GroupState>,
        aim: ProposalGoal,
        ballot: Ballot,
        now: Duration,
    ) -> Proposer {
        Proposer::start(aim, base.version + 1, ballot, base, now)
    }

    /// Begins to form a group of all that a charter names.
    pub fn form_group(charter: Membership, ballot: Ballot, now: Duration) -> Proposer {
        let none = GroupState {
            membership: charter,
            ..GroupState::default()
        };
        Proposer::start(ProposalGoal::Form, 1, ballot, Arc::new(none), now)
    }

    fn start(
        aim: ProposalGoal,
        number: u64,
        ballot: Ballot,
        base: Arc<GroupState>,
        now: Duration,
    ) -> Proposer {
        let peer = |s: &Member| Peer {
            name: s.name.clone(),
            kind: s.role,
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
        let peers = base.membership.members.iter().map(peer).collect();
        let (best, value, enough, phase) = (None, None, None, ProposalPhase::Preparing);
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
    pub fn member_names(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().map(|p| p.name.as_str())
    }

    /// The ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The decree that is decided, or is to be.
    pub fn value(&self) -> Option<&Arc<GroupState>> {
        self.value.as_ref().map(|v| &v.0)
    }

    /// Members that have not done what this phase asks, with what they said last.
    pub fn unresponsive(&self) -> Vec<(String, String)> {
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
    pub fn is_waiting_for_leases(&self) -> bool {
        self.phase == ProposalPhase::Accepting && self.enough.is_some()
    }

    fn votes(&self) -> usize {
        self.peers.iter().filter(|p| p.voted).count()
    }

    fn needed(&self) -> usize {
        // A group is formed by all of it: no majority could know that there is none yet.
        if self.aim == ProposalGoal::Form {
            self.peers.len()
        } else {
            self.base.membership.majority()
        }
    }

    fn turn(&mut self, phase: ProposalPhase, now: Duration) {
        (self.phase, self.since, self.enough) = (phase, now, None);
        for p in &mut self.peers {
            // An answer to what the last phase asked may still come; it counts for nothing then.
            (p.answered, p.voted, p.asked, p.not_before, p.why) = (false, false, false, now, None);
            p.unsure = false;
        }
    }

    fn end(&mut self, end: ProposalOutcome) {
        self.phase = ProposalPhase::Ended(end);
    }

    /// What is to be asked of which member now. Each is asked one thing at a time.
    pub fn requests(&mut self, now: Duration) -> Vec<(usize, GroupRequest)> {
        self.go_on(now);
        let (number, ballot, phase) = (self.number, self.ballot, self.phase.clone());
        let trial = match &self.aim {
            ProposalGoal::Change(decree) => Some(decree.clone()),
            ProposalGoal::Recover | ProposalGoal::Form => None,
        };
        let value = self.value.clone();
        let still = self.base.membership.lease() / STILL;
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
                (ProposalPhase::Preparing, _) if !p.answered || p.unsure && missing => {
                    GroupRequest::Prepare {
                        version: number,
                        ballot,
                        candidate: trial.clone(),
                    }
                }
                (ProposalPhase::Accepting, Some((decree, _)))
                    if !p.answered || p.unsure && missing =>
                {
                    GroupRequest::Accept {
                        ballot,
                        state: decree.clone(),
                    }
                }
                (ProposalPhase::Accepting, _) if p.answered => {
                    p.not_before = now + still;
                    GroupRequest::ProposerAlive {
                        ballot,
                        accepted_by: ready.clone(),
                    }
                }
                (ProposalPhase::Notifying, Some((decree, digest))) if !p.answered => {
                    let whole = !p.ready || p.wants;
                    GroupRequest::Decided {
                        version: number,
                        digest: digest.clone(),
                        state: whole.then(|| decree.clone()),
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
    pub fn next_request_in(&self, now: Duration) -> Duration {
        let again = |p: &&Peer| {
            !p.answered
                || self.phase == ProposalPhase::Accepting
                || p.unsure && self.enough.is_none()
        };
        let due = self.peers.iter().filter(|p| !p.asked).filter(again);
        let due = due.map(|p| p.not_before).chain(self.ready_at());
        due.min()
            .map_or(self.base.membership.lease(), |at| at.saturating_sub(now))
    }

    /// When this phase is over though not all have answered.
    fn ready_at(&self) -> Option<Duration> {
        let enough = self.enough?;
        match self.phase {
            // Those that answer slowly are waited for a little, so that they need not be shut out.
            ProposalPhase::Preparing if self.aim == ProposalGoal::Recover => Some(enough),
            ProposalPhase::Preparing => {
                Some(enough.max(self.since + self.base.membership.lease() / 3))
            }
            // Asked for before the last of the majority said so, counted by the slowest clock.
            ProposalPhase::Accepting | ProposalPhase::Notifying => {
                Some(enough + self.base.membership.lease_expiry_bound())
            }
            ProposalPhase::Ended(_) => None,
        }
    }

    fn go_on(&mut self, now: Duration) {
        if self.enough.is_none() && self.votes() >= self.needed() {
            self.enough = Some(now);
        }
        // Whom this phase has to wait for. Whoever has not taken the decree up serves no more once the wait is over.
        let waited_for = |p: &&Peer| match self.phase {
            ProposalPhase::Accepting => p.kind == MemberRole::Ingress,
            ProposalPhase::Notifying => p.kind == MemberRole::Ingress && p.ready,
            _ => true,
        };
        let mut all = self.peers.iter().filter(waited_for).all(|p| p.answered);
        if self.phase == ProposalPhase::Notifying {
            // Those that have not taken it up in this ballot may have in another one, and have been let go on there: unless
            // a majority has heeded this one alone from before the wait on until it made the switch.
            let alone = self.peers.iter().filter(|p| p.early && p.clean).count() >= self.needed();
            let every = self
                .peers
                .iter()
                .filter(|p| p.kind == MemberRole::Ingress)
                .all(|p| p.answered);
            all = all && alone || every;
        }
        if self.enough.is_none() || !(all || self.ready_at().is_some_and(|at| at <= now)) {
            return;
        }
        match self.phase {
            ProposalPhase::Preparing => {
                let decree = match (self.best.take(), &self.aim) {
                    (Some((_, decree)), _) => decree,
                    (None, ProposalGoal::Change(decree)) => decree.clone(),
                    (None, ProposalGoal::Recover) => Arc::new(self.base.unchanged_successor()),
                    (None, ProposalGoal::Form) => Arc::new(self.first()),
                };
                let digest = decree.digest.clone();
                self.value = Some((decree, digest));
                self.turn(ProposalPhase::Accepting, now);
            }
            ProposalPhase::Accepting => self.turn(ProposalPhase::Notifying, now),
            ProposalPhase::Notifying => {
                let own = match (&self.aim, &self.value) {
                    (ProposalGoal::Change(wanted), Some((decree, _))) => wanted == decree,
                    _ => true,
                };
                self.end(if own {
                    ProposalOutcome::Committed
                } else {
                    ProposalOutcome::Superseded(self.number)
                });
            }
            ProposalPhase::Ended(_) => {}
        }
    }

    /// The first decree: everybody goes on with what it enforces, and votes by the folder that it has.
    fn first(&self) -> GroupState {
        let folder = |name: &str| {
            self.peers
                .iter()
                .find(|p| p.name == name)
                .map_or(0, |p| p.folder)
        };
        let seats = self
            .base
            .membership
            .members
            .iter()
            .map(|s| Member {
                replica: folder(&s.name),
                ..s.clone()
            })
            .collect();
        let roster = Membership {
            version: 1,
            members: seats,
            ..self.base.membership.clone()
        };
        let own = self
            .peers
            .iter()
            .filter_map(|p| Some((p.name.clone(), p.own.clone()?)));
        let own: BTreeMap<_, _> = own.collect();
        let generation = own.values().map(|o| o.0).max().unwrap_or(1).max(1);
        let states = own.into_iter().map(|(name, o)| (name, o.1)).collect();
        GroupState::new(
            1,
            generation,
            Digest::default(),
            "",
            roster,
            Policy::from_states(&states),
        )
    }

    /// Takes what came of the ask that a member was sent: its answer, or none where the connection broke or nothing came in
    /// time, and it may have done what was asked. One that answers what an earlier phase asked counts for nothing.
    pub fn handle_response(
        &mut self,
        member: usize,
        asked: &GroupRequest,
        answer: Result<GroupResponse, String>,
        now: Duration,
    ) {
        let (again, number, ballot) = (
            self.base.membership.lease() / AGAIN,
            self.number,
            self.ballot,
        );
        let roster = &self.base.membership;
        let forming = self.aim == ProposalGoal::Form;
        let Some(p) = self.peers.get_mut(member) else {
            return;
        };
        let ours = matches!(
            (&self.phase, asked),
            (ProposalPhase::Preparing, GroupRequest::Prepare { .. })
                | (
                    ProposalPhase::Accepting,
                    GroupRequest::Accept { .. } | GroupRequest::ProposerAlive { .. }
                )
                | (ProposalPhase::Notifying, GroupRequest::Decided { .. })
        );
        if !ours {
            return;
        }
        p.asked = false;
        let counts = |folder| roster.counts_vote(&p.name, folder) || forming && folder != 0;
        let votes = roster.member(&p.name).is_some_and(|s| s.votes);
        let unsure = |folder| votes && folder == 0;
        match (answer, asked) {
            (_, GroupRequest::ProposerAlive { .. }) => {}
            (
                Ok(GroupResponse::Promised {
                    replica: folder,
                    accepted,
                    enforced: own,
                }),
                GroupRequest::Prepare { .. },
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
            (Ok(GroupResponse::Accepted { replica: folder }), GroupRequest::Accept { .. }) => {
                (p.answered, p.ready, p.voted) = (true, true, counts(folder));
                p.early |= p.voted && self.enough.is_none();
                (p.unsure, p.not_before) = (unsure(folder), now + again);
                // Voters are to hear of it before its lease runs out.
                for p in self.peers.iter_mut().filter(|p| p.answered) {
                    p.not_before = p.not_before.min(now + again);
                }
            }
            (
                Ok(GroupResponse::Decided {
                    replica: folder,
                    version: at,
                    accepted_in: from,
                }),
                GroupRequest::Decided { .. },
            ) if at >= number => {
                (p.answered, p.voted) = (true, counts(folder));
                p.clean |= p.voted && from == Some(ballot);
            }
            (Ok(GroupResponse::NeedState), GroupRequest::Decided { .. }) => p.wants = true,
            (
                Ok(GroupResponse::OtherVersion {
                    version: at,
                    digest,
                }),
                GroupRequest::Prepare { .. } | GroupRequest::Accept { .. },
            ) if at >= number => {
                // It may be this very decree, settled by a member already: then it stands there.
                let same = at == number && self.value.as_ref().is_some_and(|v| v.1 == digest);
                if same && matches!(asked, GroupRequest::Accept { .. }) {
                    let folder = roster.member(&p.name).map_or(0, |s| s.replica);
                    (p.answered, p.ready, p.voted) = (true, true, counts(folder));
                    // It grants nobody anything under the one before any more.
                    p.early |= p.voted && self.enough.is_none();
                    p.clean = p.early;
                } else {
                    self.end(ProposalOutcome::Superseded(at));
                }
            }
            (Ok(GroupResponse::OtherVersion { version: at, .. }), _) => {
                p.why = Some(format!("it has not heard of more than decree {at}"));
                p.not_before = now + again;
            }
            (Ok(GroupResponse::HigherBallot { ballot }), _) => {
                self.end(ProposalOutcome::HigherBallot(ballot))
            }
            // Nothing has been decided yet: it ends here, and nothing has happened. One that could, but for its disk, is
            // as good as away.
            (Ok(GroupResponse::Rejected { reason: why }), GroupRequest::Prepare { .. })
                if matches!(self.aim, ProposalGoal::Change(_)) =>
            {
                let refused = vec![(p.name.clone(), why)];
                self.end(ProposalOutcome::Rejected(refused));
            }
            (
                Ok(
                    GroupResponse::Rejected { reason: why }
                    | GroupResponse::Unavailable { reason: why },
                )
                | Err(why),
                _,
            ) => {
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
    pub fn time_out(&mut self) {
        match self.phase {
            ProposalPhase::Ended(_) => {}
            ProposalPhase::Preparing => {
                self.end(ProposalOutcome::NoQuorum(self.votes(), self.needed()))
            }
            _ => self.end(ProposalOutcome::TimedOut),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{
        Arc, Ballot, Digest, Duration, GroupRequest, GroupResponse, GroupState, Member, MemberRole,
        Membership, Policy, ProposalGoal, ProposalOutcome, ProposalPhase, Proposer,
    };

    const BALLOT: Ballot = Ballot {
        round: 1,
        proposer: 7,
    };

    /// A proposal of three at the point at which a majority has taken it up, the third is silent and the wait is over.
    fn telling() -> (Proposer, Duration, Digest) {
        let seat = |n: u64| Member {
            name: format!("m{n}"),
            replica: n,
            role: MemberRole::Ingress,
            votes: true,
        };
        let roster = Membership::new(1, 1_500, (1..=3).map(seat).collect()).unwrap();
        let base = Arc::new(GroupState::new(
            1,
            1,
            Digest::default(),
            "",
            roster,
            Policy::default(),
        ));
        let next = Arc::new(base.unchanged_successor());
        let mut now = Duration::from_secs(9);
        let mut p = Proposer::new(base, ProposalGoal::Change(next.clone()), BALLOT, now);
        for phase in [ProposalPhase::Preparing, ProposalPhase::Accepting] {
            let asks = p.requests(now);
            assert_eq!(p.phase, phase);
            for (n, ask) in asks {
                let folder = n as u64 + 1;
                let say = match (&ask, n) {
                    (_, 2) => continue,
                    (GroupRequest::Prepare { .. }, _) => GroupResponse::Promised {
                        replica: folder,
                        accepted: None,
                        enforced: None,
                    },
                    _ => GroupResponse::Accepted { replica: folder },
                };
                p.handle_response(n, &ask, Ok(say), now);
            }
            now += Duration::from_secs(2);
        }
        p.requests(now);
        assert_eq!(p.phase, ProposalPhase::Notifying);
        (p, now, next.digest.clone())
    }

    fn told(p: &mut Proposer, now: Duration, digest: &Digest, from: [Option<Ballot>; 2]) {
        for (n, from) in from.into_iter().enumerate() {
            let ask = GroupRequest::Decided {
                version: 2,
                digest: digest.clone(),
                state: None,
            };
            let say = GroupResponse::Decided {
                replica: n as u64 + 1,
                version: 2,
                accepted_in: from,
            };
            p.handle_response(n, &ask, Ok(say), now);
        }
    }

    #[test]
    fn it_is_made_without_a_second_wait_where_a_majority_heeded_this_ballot_alone() {
        let (mut p, now, digest) = telling();
        told(&mut p, now, &digest, [Some(BALLOT), Some(BALLOT)]);
        assert_eq!(p.phase, ProposalPhase::Ended(ProposalOutcome::Committed));
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
            [
                Some(BALLOT),
                Some(Ballot {
                    round: 2,
                    proposer: 1,
                }),
            ],
        );
        assert_eq!(p.phase, ProposalPhase::Notifying);
        p.requests(now + Duration::from_millis(1_500));
        assert_eq!(p.phase, ProposalPhase::Notifying);
        p.requests(now + Duration::from_millis(1_531));
        assert_eq!(p.phase, ProposalPhase::Ended(ProposalOutcome::Committed));
    }
}
