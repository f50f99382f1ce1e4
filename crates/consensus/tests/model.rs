//! The group by exhaustive search: three voters, an applier, a second proposer, messages that are lost or late on either way,
//! a member that ends and comes back with its folder, an old copy of it or none, and the leases of one member that may be cut
//! off, frozen or late at any point. The very acceptor, proposer and standing of the package are what is searched. Time goes
//! in steps of a little over half a lease. Each guard that is left out on purpose must be found out, or the search shows nothing.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::needless_pass_by_value, clippy::too_many_lines)]

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::{Digest, State};
use wrenfork_consensus::acceptor::{Acceptor, PersistentState, Step};
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::lease::{LeaseManager, RenewalResult};
use wrenfork_consensus::membership::{Member, MemberRole, Membership};
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, ProposalPhase, Proposer};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse, RenewalVerdict};

const NAMES: [&str; 3] = ["a", "b", "c"];
/// The member whose leases are looked at.
const HOLDER: usize = 2;
const LEASE: u64 = 1_000;
/// Two of them are longer than the wait for a lease, one is not.
const STEP: Duration = Duration::from_millis(600);

/// The longer searches, which take minutes and some GB: `WRENFORK_SEARCH=long cargo test --release -p wrenfork-consensus --test
/// model -- --nocapture no_interleaving`
fn long() -> bool {
    std::env::var("WRENFORK_SEARCH").is_ok_and(|n| n == "long")
}

/// How many of the others the holder reaches: with itself that is a majority.
const RENEWERS: usize = 1;

/// What is left out on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Whole,
    /// What is promised and taken up is lost with a crash.
    NothingOnDisk,
    /// The one before is said to stand to whoever asks, also by those who have taken up the next.
    GrantsAll,
    /// The wait for leases to run out.
    NoWait,
    /// A lease counts from the answer's coming, not from its asking.
    CountsFromAnswer,
    /// A proposer has its own value decided, whatever was taken up before.
    IgnoresAccepted,
    /// An old copy of a folder goes on voting.
    TrustsFolders,
    /// A member whose folder was lost votes under its name.
    VotesWithoutMemory,
}

/// What the second proposer wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    Nothing,
    Settles,
    Another,
}

struct World {
    variant: Variant,
    second: Second,
    /// Whether the holder's leases are looked at, and time passes. Then the second begins once the first has ended; else
    /// both are at work at once.
    leases: bool,
    /// Messages between proposers and members that may be lost.
    losses: u8,
    /// Ends of members and of proposers.
    crashes: u8,
    steps: u8,
    first: Arc<GroupState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Way {
    Idle,
    Asked(GroupRequest),
}

/// A renewal under way between the holder and another: sent when, its ask, its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    sent: Duration,
    ask: GroupRequest,
    answer: Option<GroupResponse>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Now {
    time: Duration,
    members: Vec<(Acceptor, LeaseManager)>,
    proposers: Vec<Option<Proposer>>,
    begun: bool,
    ways: Vec<Vec<Way>>,
    late: Option<(usize, Renewal)>,
    lates: u8,
    crashes: u8,
    losses: u8,
    /// Who has said that it has taken up what, in which ballot: what a majority has is decided, whoever knows.
    taken: BTreeMap<(Ballot, Digest), u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Back {
    Kept,
    Older,
    Empty,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Do {
    Tick,
    /// An ask arrives, is carried out, and its answer is heard.
    Arrive(usize, usize),
    /// It is lost; or carried out, and the answer is lost.
    Lose(usize, usize, bool),
    End(usize),
    /// The second proposer begins.
    Begin,
    /// The member that has just started asks the others whether its folder is an old one.
    Vouch,
    Crash(usize, Back),
    /// A renewal at one moment.
    Renew(usize),
    /// One that takes its time: sent, arrived, come back.
    Send(usize),
    Late,
}

fn policy(value: &str) -> Policy {
    let state = Arc::new(State([("quota".to_string(), value.to_string())].into()));
    Policy::from_states(&NAMES.map(|n| (n.to_string(), state.clone())).into())
}

fn roster() -> Membership {
    let seat = |n: usize| Member {
        name: NAMES[n].into(),
        replica: n as u64 + 1,
        role: MemberRole::Ingress,
        votes: true,
    };
    Membership::new(1, LEASE, (0..3).map(seat).collect()).unwrap()
}

fn change(base: &GroupState, who: &str, value: &str) -> Arc<GroupState> {
    let change = Digest::of(who.as_bytes());
    Arc::new(GroupState::new(
        base.version + 1,
        base.generation + 1,
        change,
        who,
        base.membership.clone(),
        policy(value),
    ))
}

impl World {
    fn new(
        variant: Variant,
        second: Second,
        (leases, losses, crashes, steps): (bool, u8, u8, u8),
    ) -> World {
        let first = Arc::new(GroupState::new(
            1,
            1,
            Digest::default(),
            "",
            roster(),
            policy("old"),
        ));
        World {
            variant,
            second,
            leases,
            losses,
            crashes,
            steps,
            first,
        }
    }

    fn member(
        &self,
        n: usize,
        memory: PersistentState,
        life: u64,
        now: Duration,
    ) -> (Acceptor, LeaseManager) {
        let standing = LeaseManager::new(NAMES[n], &memory, Membership::default(), life, now);
        (Acceptor::new(memory, None), standing)
    }

    fn memory(&self, n: usize) -> PersistentState {
        PersistentState {
            group_state: Some(self.first.clone()),
            writes: 5,
            ..PersistentState::new(NAMES[n], n as u64 + 1)
        }
    }

    fn sure(&self, standing: &LeaseManager) -> Result<(), String> {
        match self.variant {
            Variant::TrustsFolders => Ok(()),
            _ => standing.check_vote_eligibility(),
        }
    }

    /// A member takes an ask, and writes what that wants; none where it ended before it could answer.
    fn take(&self, now: &mut Now, i: usize, ask: GroupRequest) -> GroupResponse {
        let (acceptor, standing) = &mut now.members[i];
        // Taken up is barred before it is written.
        let mut taken = None;
        if let GroupRequest::Accept {
            state: decree,
            ballot,
        } = &ask
        {
            standing.block_grants(*ballot, &decree.digest, Duration::ZERO);
            taken = Some((*ballot, decree.digest.clone()));
        }
        let sure = self.sure(standing);
        let say = match acceptor.handle(ask, sure, |_| Ok(())) {
            Step::Respond(say) => say,
            Step::Persist {
                state: memory,
                response: then,
                ..
            } => {
                acceptor.persisted(*memory);
                then
            }
        };
        let mut memory = acceptor.state().clone();
        if self.variant == Variant::GrantsAll {
            memory.accepted = None;
        }
        standing.apply_state(&memory, Duration::ZERO);
        if !self.leases {
            // Others are told of each write with the next renewal: what a copy is older than is known.
            if let GroupRequest::Renew {
                from,
                replica: folder,
                replica_version: age,
                version: number,
                accepted: ready,
            } = standing.renewal_request()
            {
                for j in (0..3).filter(|j| *j != i) {
                    now.members[j].1.handle_renewal(
                        &from,
                        folder,
                        age,
                        number,
                        ready.as_ref(),
                        Duration::ZERO,
                    );
                }
            }
        }
        // Why not is for people.
        let say = match say {
            GroupResponse::Rejected { .. } => GroupResponse::Rejected {
                reason: String::new(),
            },
            GroupResponse::Accepted { .. } | GroupResponse::Promised { .. }
                if self.variant == Variant::VotesWithoutMemory =>
            {
                let folder = i as u64 + 1;
                match say {
                    GroupResponse::Promised {
                        accepted,
                        enforced: own,
                        ..
                    } => GroupResponse::Promised {
                        replica: folder,
                        accepted,
                        enforced: own,
                    },
                    _ => GroupResponse::Accepted { replica: folder },
                }
            }
            say => say,
        };
        if let (GroupResponse::Accepted { replica: folder }, Some(taken)) = (&say, taken) {
            if self.first.membership.counts_vote(NAMES[i], *folder) {
                *now.taken.entry(taken).or_default() |= 1 << i;
            }
        }
        say
    }

    fn asks(&self, now: &mut Now) {
        let time = now.time;
        for p in 0..now.proposers.len() {
            let Some(proposer) = &mut now.proposers[p] else {
                continue;
            };
            for (i, ask) in proposer.requests(self.clock(time, proposer)) {
                // That it is still there decides nothing here, since who settles begins at any time; who is told to be ready
                // does, and is heard at once or not at all.
                if let GroupRequest::ProposerAlive {
                    ballot,
                    accepted_by: ready,
                } = &ask
                {
                    let (acceptor, standing) = &mut now.members[i];
                    if acceptor
                        .state()
                        .accepted
                        .as_ref()
                        .is_some_and(|a| a.0 == *ballot)
                    {
                        standing.proposer_alive(*ballot, ready, time);
                    }
                    proposer.handle_response(
                        i,
                        &ask,
                        Err(String::new()),
                        self.clock(time, proposer),
                    );
                } else {
                    now.ways[p][i] = Way::Asked(ask);
                }
            }
        }
    }

    fn heard(
        &self,
        now: &mut Now,
        p: usize,
        i: usize,
        ask: &GroupRequest,
        answer: Result<GroupResponse, String>,
    ) {
        let time = now.time;
        let Some(proposer) = &mut now.proposers[p] else {
            return;
        };
        let answer = match answer {
            Ok(GroupResponse::Promised {
                replica: folder,
                enforced: own,
                ..
            }) if self.variant == Variant::IgnoresAccepted => Ok(GroupResponse::Promised {
                replica: folder,
                accepted: None,
                enforced: own,
            }),
            other => other,
        };
        proposer.handle_response(i, ask, answer, self.clock(time, proposer));
    }

    /// The clock of a proposer; one that does not wait believes that all that must run out has run out.
    fn clock(&self, time: Duration, proposer: &Proposer) -> Duration {
        let hasty = self.variant == Variant::NoWait
            && (proposer.is_waiting_for_leases() || proposer.phase == ProposalPhase::Notifying);
        if hasty {
            time + 4 * STEP
        } else {
            time
        }
    }

    fn act(&self, now: &mut Now, action: Do) -> Option<()> {
        match action {
            Do::Tick => {
                now.time += STEP;
                let time = now.time;
                now.members[HOLDER].1.renew_from_self(time);
            }
            Do::Arrive(p, i) => {
                let Way::Asked(ask) = std::mem::replace(&mut now.ways[p][i], Way::Idle) else {
                    return None;
                };
                let say = self.take(now, i, ask.clone());
                self.heard(now, p, i, &ask, Ok(say));
            }
            Do::Lose(p, i, arrives) => {
                now.losses -= 1;
                let Way::Asked(ask) = std::mem::replace(&mut now.ways[p][i], Way::Idle) else {
                    return None;
                };
                if arrives {
                    self.take(now, i, ask.clone());
                }
                self.heard(now, p, i, &ask, Err(String::new()));
            }
            Do::End(p) => {
                now.crashes -= 1;
                now.proposers[p] = None; // what it asked may still arrive
            }
            Do::Begin => {
                now.begun = true;
                now.proposers[1] = Some(self.proposer(1, now.time));
            }
            Do::Vouch => {
                for j in 0..HOLDER {
                    let renewal = self.sent(now);
                    let renewal = self.arrived(now, j, renewal);
                    self.came(now, j, renewal);
                }
            }
            Do::Crash(i, back) => {
                now.crashes -= 1;
                let memory = now.members[i].0.state().clone();
                let memory = match back {
                    Back::Kept if self.variant == Variant::NothingOnDisk => PersistentState {
                        accepted: None,
                        promised: Ballot::default(),
                        ..memory
                    },
                    Back::Kept => memory,
                    Back::Older => self.memory(i),
                    Back::Empty => PersistentState::new(NAMES[i], 90 + i as u64),
                };
                let memory = PersistentState {
                    writes: memory.writes + 1,
                    ..memory
                };
                now.members[i] = self.member(i, memory, 50 + i as u64, now.time);
                if i == HOLDER {
                    now.late = None;
                }
            }
            Do::Renew(i) => {
                let renewal = self.sent(now);
                let renewal = self.arrived(now, i, renewal);
                self.came(now, i, renewal)?;
            }
            Do::Send(i) => {
                now.lates -= 1;
                now.late = Some((i, self.sent(now)));
            }
            Do::Late => {
                let (i, renewal) = now.late.take()?;
                if renewal.answer.is_some() {
                    self.came(now, i, renewal)?;
                } else {
                    now.late = Some((i, self.arrived(now, i, renewal)));
                }
            }
        }
        Some(())
    }

    fn sent(&self, now: &Now) -> Renewal {
        Renewal {
            sent: now.time,
            ask: now.members[HOLDER].1.renewal_request(),
            answer: None,
        }
    }

    fn arrived(&self, now: &mut Now, i: usize, renewal: Renewal) -> Renewal {
        let GroupRequest::Renew {
            from,
            replica: folder,
            replica_version: age,
            version: number,
            accepted: ready,
        } = &renewal.ask
        else {
            return renewal;
        };
        let say =
            now.members[i]
                .1
                .handle_renewal(from, *folder, *age, *number, ready.as_ref(), now.time);
        Renewal {
            answer: Some(say),
            ..renewal
        }
    }

    fn came(&self, now: &mut Now, i: usize, renewal: Renewal) -> Option<()> {
        let Renewal {
            sent,
            answer: Some(say),
            ..
        } = renewal
        else {
            return None;
        };
        let sent = if self.variant == Variant::CountsFromAnswer {
            now.time
        } else {
            sent
        };
        let (acceptor, standing) = &mut now.members[HOLDER];
        match standing.handle_response(NAMES[i], (sent, None), &say, now.time) {
            RenewalResult::FetchState => {
                let decree = now.members[i].0.state().group_state.clone()?;
                let (number, digest) = (decree.version, decree.digest.clone());
                self.take(
                    now,
                    HOLDER,
                    GroupRequest::Decided {
                        version: number,
                        digest,
                        state: Some(decree),
                    },
                );
            }
            RenewalResult::SendState => {
                let decree = acceptor.state().group_state.clone()?;
                let (number, digest) = (decree.version, decree.digest.clone());
                self.take(
                    now,
                    i,
                    GroupRequest::Decided {
                        version: number,
                        digest,
                        state: Some(decree),
                    },
                );
            }
            RenewalResult::StaleReplica if self.variant != Variant::TrustsFolders => {
                acceptor.persisted(acceptor.state().with_new_replica(80));
                let memory = acceptor.state().clone();
                standing.apply_state(&memory, now.time);
            }
            RenewalResult::StaleReplica | RenewalResult::Handled => {}
        }
        Some(())
    }

    fn proposer(&self, which: usize, now: Duration) -> Proposer {
        let ballot = Ballot {
            round: 1 + which as u64,
            proposer: which as u64,
        };
        let aim = match (which, self.second) {
            (0, _) => ProposalGoal::Change(change(&self.first, "ann", "new")),
            (_, Second::Settles | Second::Nothing) => ProposalGoal::Recover,
            (_, Second::Another) => ProposalGoal::Change(change(&self.first, "bob", "other")),
        };
        Proposer::new(self.first.clone(), aim, ballot, now)
    }
}

impl Model for World {
    type State = Now;
    type Action = Do;

    fn init_states(&self) -> Vec<Now> {
        let time = STEP;
        let mut members: Vec<_> = (0..3)
            .map(|n| self.member(n, self.memory(n), 7 + n as u64, time))
            .collect();
        // All have answered each other already: the holder has a lease from now on, and all may vote.
        for from in 0..3 {
            members[from].1.renew_from_self(time);
            for to in (0..3).filter(|to| *to != from) {
                let GroupRequest::Renew {
                    from: name,
                    replica: folder,
                    replica_version: age,
                    version: number,
                    ..
                } = members[from].1.renewal_request()
                else {
                    panic!()
                };
                let say = members[to]
                    .1
                    .handle_renewal(&name, folder, age, number, None, time);
                let GroupResponse::Renewed { verdict, .. } = &say else {
                    panic!()
                };
                assert_eq!(*verdict, RenewalVerdict::Granted);
                members[from]
                    .1
                    .handle_response(NAMES[to], (time, Some(age.writes)), &say, time);
            }
        }
        let mut now = Now {
            time,
            members,
            proposers: vec![
                Some(self.proposer(0, STEP)),
                (!self.leases).then(|| self.proposer(1, STEP)),
            ],
            begun: !self.leases,
            ways: vec![vec![Way::Idle; 3]; 2],
            late: None,
            lates: 1,
            crashes: self.crashes,
            losses: self.losses,
            taken: BTreeMap::new(),
        };
        self.asks(&mut now);
        vec![now]
    }

    fn actions(&self, now: &Now, actions: &mut Vec<Do>) {
        for p in 0..2 {
            let asked = (0..3).filter(|i| now.ways[p][*i] != Way::Idle);
            for i in asked {
                actions.push(Do::Arrive(p, i));
                if now.losses > 0 && now.proposers[p].is_some() {
                    actions.push(Do::Lose(p, i, false));
                    actions.push(Do::Lose(p, i, true));
                }
            }
            if now.crashes > 0 && now.proposers[p].is_some() {
                actions.push(Do::End(p));
            }
        }
        let over = now.proposers[0]
            .as_ref()
            .is_none_or(|p| matches!(p.phase, ProposalPhase::Ended(_)));
        if !now.begun && over && self.second != Second::Nothing {
            actions.push(Do::Begin);
        }
        if now.crashes > 0 {
            // Members differ by their names alone: it is always the same one that ends.
            actions
                .extend([Back::Kept, Back::Older, Back::Empty].map(|back| Do::Crash(HOLDER, back)));
        }
        if !self.leases {
            if now.members[HOLDER].1.check_vote_eligibility().is_err() {
                actions.push(Do::Vouch);
            }
            return;
        }
        if now.time < STEP * u32::from(self.steps) {
            actions.push(Do::Tick);
        }
        for i in 0..RENEWERS {
            actions.push(Do::Renew(i));
            if now.lates > 0 {
                actions.push(Do::Send(i));
            }
        }
        if now.late.is_some() {
            actions.push(Do::Late);
        }
    }

    fn next_state(&self, last: &Now, action: Do) -> Option<Now> {
        let mut now = last.clone();
        self.act(&mut now, action)?;
        self.asks(&mut now);
        (now != *last).then_some(now)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn serves(now: &Now) -> Option<(u64, Option<Digest>)> {
            let (acceptor, standing) = &now.members[HOLDER];
            let until = standing.lease_deadline()?;
            let ready = acceptor
                .state()
                .accepted
                .as_ref()
                .map(|a| a.1.digest.clone());
            (until > now.time).then(|| (acceptor.state().version(), ready))
        }
        vec![
            Property::always("one decree under one number", |_, now: &Now| {
                let mut by_number: BTreeMap<u64, Digest> = BTreeMap::new();
                let stands = now
                    .members
                    .iter()
                    .filter_map(|m| m.0.state().group_state.as_ref());
                let stands = stands.map(|d| (d.version, d.digest.clone()));
                let decided = now.taken.iter().filter(|(_, who)| who.count_ones() >= 2);
                let decided = decided.map(|((_, digest), _)| (2, digest.clone()));
                stands.chain(decided).all(|(number, digest)| {
                    *by_number.entry(number).or_insert(digest.clone()) == digest
                })
            }),
            Property::always(
                "nobody serves under the one before that has not taken up the one that stands",
                |_, now: &Now| {
                    let Some((number, ready)) = serves(now) else {
                        return true;
                    };
                    let stands = now
                        .members
                        .iter()
                        .filter_map(|m| m.0.state().group_state.as_ref());
                    let mut newer = stands.filter(|d| d.version > number);
                    newer.all(|d| d.version == number + 1 && ready.as_ref() == Some(&d.digest))
                },
            ),
            Property::always(
                "made means that nobody serves under the one before",
                |_, now: &Now| {
                    let made =
                        now.proposers.iter().flatten().filter(|p| {
                            p.phase == ProposalPhase::Ended(ProposalOutcome::Committed)
                        });
                    let made = made
                        .filter_map(|p| p.value())
                        .map(|d| d.version)
                        .max()
                        .unwrap_or(0);
                    serves(now).is_none_or(|(number, _)| number >= made)
                },
            ),
            Property::sometimes("a change is made", |_, now: &Now| {
                now.proposers[0]
                    .as_ref()
                    .is_some_and(|p| p.phase == ProposalPhase::Ended(ProposalOutcome::Committed))
            }),
            Property::sometimes(
                "a change is made while the holder is shut out",
                |_, now: &Now| {
                    let made = now.proposers[0].as_ref().is_some_and(|p| {
                        p.phase == ProposalPhase::Ended(ProposalOutcome::Committed)
                    });
                    made && now.members[HOLDER].0.state().version() == 1
                },
            ),
            Property::sometimes("what the first left is settled", |_, now: &Now| {
                now.proposers[0].is_none() && now.members.iter().any(|m| m.0.state().version() == 2)
            }),
        ]
    }
}

fn search(world: World) -> (usize, Vec<&'static str>, Vec<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let whole = world.variant == Variant::Whole;
    let checker = world.checker().threads(threads);
    let checker = if whole {
        checker
    } else {
        checker.finish_when(HasDiscoveries::AnyFailures)
    };
    let checker = checker.spawn_bfs().join();
    let found = checker.discoveries();
    let mut against = Vec::new();
    let mut seen = Vec::new();
    for name in found.into_keys() {
        if name.starts_with("a change") || name.starts_with("what the first") {
            seen.push(name);
        } else {
            against.push(name);
        }
    }
    (checker.unique_state_count(), against, seen)
}

#[test]
fn no_interleaving_lets_anybody_serve_under_what_was_given_up() {
    let short = [
        (Second::Settles, (false, 0, 0, 1)),
        (Second::Another, (false, 0, 0, 1)),
        (Second::Nothing, (true, 0, 0, 4)),
    ];
    let more = [
        (Second::Settles, (false, 0, 1, 1)),
        (Second::Another, (false, 0, 1, 1)),
        (Second::Nothing, (true, 1, 0, 3)),
        (Second::Settles, (true, 0, 1, 3)),
    ];
    for (second, how) in short.into_iter().chain(more.into_iter().filter(|_| long())) {
        let start = std::time::Instant::now();
        let (states, against, seen) = search(World::new(Variant::Whole, second, how));
        println!(
            "{second:?} {how:?}: {states} states, {seen:?} in {:?}",
            start.elapsed()
        );
        assert_eq!(against, [""; 0], "{second:?}");
    }
}

/// The search must be able to fail: each guard that is left out is found out.
#[test]
fn what_is_left_out_is_found_out() {
    for (variant, second, how) in [
        (Variant::NothingOnDisk, Second::Settles, (false, 0, 1, 1)),
        (Variant::IgnoresAccepted, Second::Settles, (false, 0, 0, 1)),
        (Variant::TrustsFolders, Second::Settles, (false, 0, 1, 1)),
        (
            Variant::VotesWithoutMemory,
            Second::Settles,
            (false, 0, 1, 1),
        ),
        (Variant::GrantsAll, Second::Nothing, (true, 0, 0, 4)),
        (Variant::NoWait, Second::Nothing, (true, 0, 0, 4)),
        (Variant::CountsFromAnswer, Second::Nothing, (true, 0, 0, 4)),
    ] {
        let start = std::time::Instant::now();
        let (states, against, _) = search(World::new(variant, second, how));
        println!(
            "{variant:?}: {states} states until {against:?} in {:?}",
            start.elapsed()
        );
        assert!(!against.is_empty(), "{variant:?} was not found out");
    }
}
