//! Two-phase commit by exhaustive search: two or three ingresses, two coordinators, messages that are lost or delayed either
//! way, and crashes of all of them at any point.
//!
//! The participant and coordinator of the package itself are searched. Variants that are broken on purpose must be found
//! out, or the search shows nothing.

use stateright::{Checker, Model, Property, Representative};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::OnceLock;
use wrenfork_commit::coordinator::{CommitPhase, Coordinator, Decision};
use wrenfork_commit::participant::{Participant, ParticipantState};
use wrenfork_commit::plan::{IngressSnapshot, Plan, PlanHeader};
use wrenfork_commit::protocol::{CommitRequest, CommitResponse, CommitStatus};
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_commit::step::Step;

/// Two where it must be quick; with three it takes 20 s on four cores:
/// `WRENFORK_SEARCH=3 cargo test --release -p wrenfork-commit --test model -- --nocapture every`
fn ingresses() -> usize {
    static COUNT: OnceLock<usize> = OnceLock::new();
    *COUNT.get_or_init(|| {
        std::env::var("WRENFORK_SEARCH")
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(2)
    })
}

/// What is left out of the protocol on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Variant {
    Whole,
    /// The state of a participant is kept in memory alone, and lost with a crash.
    NothingStored,
    /// A change is prepared whatever is enforced.
    NoGenerationCheck,
    /// Anybody may decide.
    NoFence,
}

/// What the second coordinator does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    AppliesAnother,
    AppliesTheSame,
    Recovers,
}

struct World {
    variant: Variant,
    second: Second,
    crashes: u8,
    /// The identities of the two plans.
    plans: [Digest; 2],
}

/// Messages in flight between a coordinator and an ingress: at most one message in either direction. A request of a coordinator
/// may arrive at any time; one that has ended may leave a request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Channel {
    Idle,
    Request(CommitRequest),
    Response(CommitResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Now {
    ingresses: Vec<Participant>,
    coordinators: Vec<Option<Coordinator>>,
    channels: Vec<Vec<Channel>>,
    crashes: u8,
    /// By change: ingresses that said yes.
    voted: BTreeMap<String, u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A request arrives and is handled.
    Arrive(usize, usize),
    /// A response arrives.
    Hear(usize, usize),
    /// An ingress ends before its write, or after it and before its answer; it comes back with what it wrote. To its
    /// coordinator that is the same as a request, or a response, that is lost.
    Crash(usize, usize, bool),
    /// An coordinator ends; its requests may still arrive.
    End(usize),
}

impl Representative for Now {
    /// Ingresses differ by their names alone, and who is called what decides nothing: of states that are alike but for
    /// that, one stands for all.
    fn representative(&self) -> Now {
        let mut order: Vec<usize> = (0..self.ingresses.len()).collect();
        order.sort_by_cached_key(|i| {
            let mut hash = DefaultHasher::new();
            self.ingresses[*i].state().hash(&mut hash);
            self.channels.iter().for_each(|w| w[*i].hash(&mut hash));
            for member in self
                .coordinators
                .iter()
                .flatten()
                .filter_map(|a| a.members.get(*i))
            {
                (member.answered, member.status).hash(&mut hash);
            }
            self.voted
                .iter()
                .for_each(|(change, yes)| (change, yes >> i & 1).hash(&mut hash));
            hash.finish()
        });
        let mut like = self.clone();
        for (to, from) in order.iter().enumerate() {
            like.ingresses[to] =
                Participant::new(&format!("n{to}"), self.ingresses[*from].state().clone());
            for (channels, its) in like.channels.iter_mut().zip(&self.channels) {
                channels[to] = its[*from].clone();
            }
            for (coordinator, its) in like.coordinators.iter_mut().zip(&self.coordinators) {
                let (Some(coordinator), Some(its)) = (coordinator, its) else {
                    continue;
                };
                coordinator.members[to] = its.members[*from].clone();
                coordinator.members[to].ingress = format!("n{to}");
            }
            for (change, yes) in &mut like.voted {
                *yes = *yes & !(1 << to) | (self.voted[change] >> from & 1) << to;
            }
        }
        like
    }
}

fn state(value: &str) -> State {
    State([("quota".to_string(), value.to_string())].into())
}

/// The digest of a state, hashed once: all states of the search are these.
fn known(state: &State) -> &'static Digest {
    static ALL: OnceLock<BTreeMap<State, Digest>> = OnceLock::new();
    let all = ALL.get_or_init(|| {
        ["old", "new", "other"]
            .map(|v| (self::state(v), self::state(v).digest()))
            .into()
    });
    &all[state]
}

fn plan(author: &str, value: &str) -> Plan {
    let base = state("old");
    let of = |n: usize| {
        let generation = Generation {
            number: 1,
            digest: base.digest(),
        };
        let (ingress, control, used) = (format!("n{n}"), String::new(), BTreeMap::new());
        IngressSnapshot {
            ingress,
            control,
            base: generation,
            current: base.clone().into(),
            wanted: state(value).into(),
            usage: used,
            extra_dangers: Vec::new(),
        }
    };
    let header = PlanHeader {
        author: author.into(),
        made_at: 0,
        valid_for: 1,
    };
    Plan::make(header, (0..ingresses()).map(of).collect()).unwrap()
}

impl World {
    /// Delivers a request; `written` and `answered` say whether the ingress ends before its write or its response.
    fn deliver(&self, now: &mut Now, a: usize, i: usize, written: bool, answered: bool) {
        let in_flight = std::mem::replace(&mut now.channels[a][i], Channel::Idle);
        let request = match in_flight {
            Channel::Request(request) => Some(request),
            _ => now.coordinators[a].as_ref().and_then(|c| c.next_request(i)),
        };
        let Some(request) = request else { return };
        let request = self.altered(now, i, request);
        let change = match &request {
            CommitRequest::Prepare { vote, .. } => vote.change.0.clone(),
            _ => String::new(),
        };
        let response = handle(&mut now.ingresses[i], request, written);
        match response.filter(|_| answered) {
            Some(response) => {
                if response == CommitResponse::Prepared {
                    *now.voted.entry(change).or_default() |= 1 << i;
                }
                now.channels[a][i] = Channel::Response(response);
            }
            None => lose(now, a, i),
        }
        if !(written && answered) && self.variant == Variant::NothingStored {
            let state = now.ingresses[i].state().clone();
            now.ingresses[i].persisted(ParticipantState {
                prepared: None,
                fences: vec![],
                ended: vec![],
                ..state
            });
        }
    }

    /// The request without the part of the protocol that the variant leaves out.
    fn altered(&self, now: &Now, i: usize, request: CommitRequest) -> CommitRequest {
        let state = now.ingresses[i].state();
        match (self.variant, request) {
            (
                Variant::NoGenerationCheck,
                CommitRequest::Prepare {
                    mut vote,
                    ballot,
                    state: wanted,
                },
            ) => {
                vote.base = state.enforced.clone();
                vote.next.number = vote.base.number + 1;
                CommitRequest::Prepare {
                    vote,
                    ballot,
                    state: wanted,
                }
            }
            (Variant::NoFence, CommitRequest::Decide { change, commit, .. }) => {
                // With whatever ballot would be right.
                let fence = state.fences.iter().find(|f| f.change == change);
                CommitRequest::Decide {
                    ballot: fence.map_or(0, |f| f.ballot),
                    change,
                    commit,
                }
            }
            (_, request) => request,
        }
    }

    fn act(&self, now: &mut Now, action: Action) -> Option<()> {
        match action {
            Action::Arrive(a, i) => self.deliver(now, a, i, true, true),
            Action::Hear(a, i) => {
                let Channel::Response(say) =
                    std::mem::replace(&mut now.channels[a][i], Channel::Idle)
                else {
                    return None;
                };
                if let Some(coordinator) = &mut now.coordinators[a] {
                    coordinator.handle_response(i, Some(say));
                }
            }
            Action::Crash(a, i, written) => {
                now.crashes -= 1;
                self.deliver(now, a, i, written, false);
            }
            Action::End(a) => {
                now.crashes -= 1;
                let ended = now.coordinators[a].take()?;
                for i in 0..ingresses() {
                    now.channels[a][i] = match ended.next_request(i) {
                        Some(ask) if now.channels[a][i] == Channel::Idle => Channel::Request(ask),
                        _ => Channel::Idle,
                    };
                }
            }
        }
        Some(())
    }
}

/// Handles a request at an ingress; none if it ends before its write.
fn handle(
    ingress: &mut Participant,
    request: CommitRequest,
    written: bool,
) -> Option<CommitResponse> {
    let response = match ingress.handle(request, |_| Ok(())) {
        Step::Respond(response) => response,
        Step::Persist {
            state, response, ..
        } if written => {
            ingress.persisted(*state);
            response
        }
        Step::Persist { .. } => return None,
    };
    // Reasons are for people: nothing follows from them.
    Some(match response {
        CommitResponse::Rejected { .. } => CommitResponse::Rejected {
            reason: String::new(),
        },
        response => response,
    })
}

/// A request or its response is lost.
fn lose(now: &mut Now, a: usize, i: usize) {
    now.channels[a][i] = Channel::Idle;
    if let Some(coordinator) = &mut now.coordinators[a] {
        coordinator.handle_response(i, None);
    }
}

fn status(participant: &Participant, change: &Digest) -> CommitStatus {
    match participant.handle(
        CommitRequest::Fence {
            change: change.clone(),
            ballot: u64::MAX,
        },
        |_| Ok(()),
    ) {
        Step::Respond(CommitResponse::ChangeStatus { status, .. })
        | Step::Persist {
            response: CommitResponse::ChangeStatus { status, .. },
            ..
        } => status,
        other => panic!("{other:?}"),
    }
}

impl Model for World {
    type State = Now;
    type Action = Action;

    fn init_states(&self) -> Vec<Now> {
        let first = Coordinator::new(&plan("ann", "new"), 1);
        let second = match self.second {
            Second::AppliesAnother => Coordinator::new(&plan("bob", "other"), 2),
            Second::AppliesTheSame => Coordinator::new(&plan("ann", "new"), 2),
            Second::Recovers => {
                let names = (0..ingresses()).map(|n| format!("n{n}")).collect();
                Coordinator::recover(plan("ann", "new").id(), names, 3)
            }
        };
        let memory = || ParticipantState::new(1, state("old"));
        vec![Now {
            ingresses: (0..ingresses())
                .map(|n| Participant::new(&format!("n{n}"), memory()))
                .collect(),
            coordinators: vec![Some(first), Some(second)],
            channels: vec![vec![Channel::Idle; ingresses()]; 2],
            crashes: self.crashes,
            voted: BTreeMap::new(),
        }]
    }

    fn actions(&self, now: &Now, actions: &mut Vec<Action>) {
        for a in 0..now.coordinators.len() {
            for i in 0..ingresses() {
                let asks = now.coordinators[a]
                    .as_ref()
                    .is_some_and(|x| x.next_request(i).is_some());
                let asks = asks || matches!(now.channels[a][i], Channel::Request(_));
                if matches!(now.channels[a][i], Channel::Response(_)) {
                    actions.push(Action::Hear(a, i));
                } else if asks {
                    actions.push(Action::Arrive(a, i));
                    if now.crashes > 0 {
                        actions.push(Action::Crash(a, i, false));
                        actions.push(Action::Crash(a, i, true));
                    }
                }
            }
            if now.crashes > 0 && now.coordinators[a].is_some() {
                actions.push(Action::End(a));
            }
        }
    }

    fn next_state(&self, last: &Now, action: Action) -> Option<Now> {
        let mut now = last.clone();
        self.act(&mut now, action)?;
        // Why a coordinator gave up is for people: nothing follows from it.
        now.coordinators
            .iter_mut()
            .flatten()
            .for_each(|a| a.rejections.clear());
        Some(now)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no change is made at one ingress and given up at another",
                no_change_is_split,
            ),
            Property::always(
                "what is enforced is one whole generation, alike under one number",
                generations_are_whole,
            ),
            Property::always(
                "a plan is made only on what it was made from",
                one_change_at_each_ingress,
            ),
            Property::always("a promise is never lost", votes_are_kept),
            Property::always(
                "an apply that says made is made everywhere",
                outcomes_are_true,
            ),
            Property::sometimes("a change is made", |_, now: &Now| {
                now.ingresses.iter().all(|i| i.state().enforced.number > 1)
            }),
            Property::sometimes("a change is given up", |_, now: &Now| {
                let mut coordinators = now.coordinators.iter().flatten();
                coordinators.any(|c| c.phase == CommitPhase::Ended(Decision::Abort))
            }),
        ]
    }
}

fn no_change_is_split(world: &World, now: &Now) -> bool {
    world.plans.iter().all(|plan| {
        let statuses: Vec<CommitStatus> = now.ingresses.iter().map(|i| status(i, plan)).collect();
        !(statuses.contains(&CommitStatus::Committed) && statuses.contains(&CommitStatus::Aborted))
    })
}

fn generations_are_whole(_: &World, now: &Now) -> bool {
    let mut by_number: BTreeMap<u64, &Digest> = BTreeMap::new();
    now.ingresses.iter().all(|ingress| {
        let state = ingress.state();
        let enforced = &state.enforced;
        let whole = known(&state.state) == &enforced.digest;
        let first = by_number.entry(enforced.number).or_insert(&enforced.digest);
        whole && *first == &enforced.digest
    })
}

fn one_change_at_each_ingress(world: &World, now: &Now) -> bool {
    now.ingresses.iter().all(|ingress| {
        let made = world
            .plans
            .iter()
            .filter(|plan| status(ingress, plan) == CommitStatus::Committed);
        made.count() < 2
    })
}

fn votes_are_kept(world: &World, now: &Now) -> bool {
    world.plans.iter().all(|plan| {
        let voted = now.voted.get(&plan.0).copied().unwrap_or(0);
        let known = |i: usize| status(&now.ingresses[i], plan) != CommitStatus::Unknown;
        (0..ingresses()).all(|i| voted & (1 << i) == 0 || known(i))
    })
}

fn outcomes_are_true(_: &World, now: &Now) -> bool {
    let carried_out = |change: &Digest, decision: Decision| {
        now.ingresses.iter().all(|ingress| {
            let status = status(ingress, change);
            match decision {
                Decision::Commit => status == CommitStatus::Committed,
                Decision::Abort => {
                    status != CommitStatus::Committed && status != CommitStatus::Prepared
                }
            }
        })
    };
    let mut coordinators = now.coordinators.iter().flatten();
    coordinators.all(|coordinator| match coordinator.phase {
        CommitPhase::Ended(decision) => carried_out(&coordinator.change, decision),
        _ => true,
    })
}

/// Searches all; the number of states, and the properties that a state was found against.
fn search(variant: Variant, second: Second, crashes: u8) -> (usize, Vec<&'static str>) {
    let plans = [plan("ann", "new").id(), plan("bob", "other").id()];
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = World {
        variant,
        second,
        crashes,
        plans,
    }
    .checker()
    .symmetry()
    .threads(threads)
    .spawn_dfs()
    .join();
    let against = checker
        .discoveries()
        .into_keys()
        .filter(|name| !name.starts_with("a change is"));
    let against = against.collect();
    if variant == Variant::Whole {
        let found = checker.discoveries();
        assert!(
            found.contains_key("a change is made"),
            "{second:?}: nothing is ever made"
        );
    }
    (checker.unique_state_count(), against)
}

#[test]
fn every_interleaving_leaves_every_ingress_with_one_whole_generation() {
    // `WRENFORK_CRASHES=2` takes minutes.
    let crashes = std::env::var("WRENFORK_CRASHES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    for second in [
        Second::AppliesAnother,
        Second::AppliesTheSame,
        Second::Recovers,
    ] {
        let (states, against) = search(Variant::Whole, second, crashes);
        println!("{second:?}, {crashes} crashes or losses: {states} states");
        assert_eq!(against, [""; 0], "{second:?}");
        assert!(states > 500, "{states}");
    }
}

/// The search must be able to fail: each part of the protocol that is left out is found out.
#[test]
fn what_is_left_out_is_found_out() {
    for (variant, second) in [
        (Variant::NothingStored, Second::Recovers),
        (Variant::NoGenerationCheck, Second::AppliesAnother),
        (Variant::NoFence, Second::Recovers),
    ] {
        let (states, against) = search(variant, second, 1);
        println!("{variant:?}: {states} states until {against:?}");
        assert!(!against.is_empty(), "{variant:?} was not found out");
    }
}
