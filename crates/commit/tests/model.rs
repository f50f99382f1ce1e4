//! The protocol by exhaustive search: two or three ingresses, two appliers, messages that are lost or late on either way, crashes
//! of all of them at any point. The very participant and applier of the package are what is searched. Variants that are
//! broken on purpose must be found out, or the search shows nothing.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::needless_pass_by_value, clippy::too_many_lines)]

use stateright::{Checker, Model, Property, Representative};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::OnceLock;
use wrenfork_commit::coordinator::{CommitPhase, Coordinator};
use wrenfork_commit::participant::{Participant, ParticipantState, Step};
use wrenfork_commit::plan::{IngressSnapshot, Plan};
use wrenfork_commit::protocol::{CommitRequest, CommitResponse, CommitStatus};
use wrenfork_commit::state::{Digest, Generation, State};

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
    /// What is promised is kept in memory alone, and lost with a crash.
    NoPromiseOnDisk,
    /// A change is prepared whatever is enforced.
    NoGenerationCheck,
    /// Anybody may decide.
    NoFence,
}

/// What the second applier does.
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

/// What is under way between an applier and an ingress: at most one message in either direction. What an applier asks now
/// may arrive at any time; one that has ended may leave an ask under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Way {
    Idle,
    Asked(CommitRequest),
    Answered(CommitResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Now {
    ingresses: Vec<Participant>,
    appliers: Vec<Option<Coordinator>>,
    ways: Vec<Vec<Way>>,
    crashes: u8,
    /// By change: ingresses that said yes.
    said_yes: BTreeMap<String, u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Do {
    /// An ask arrives, and is carried out whole.
    Arrive(usize, usize),
    /// An answer arrives.
    Hear(usize, usize),
    /// An ingress ends before its write, or after it and before its answer; it comes back with what it wrote. To its
    /// applier that is the same as an ask, or an answer, that is lost.
    Crash(usize, usize, bool),
    /// An applier ends; what it asked may still arrive.
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
            self.ways.iter().for_each(|w| w[*i].hash(&mut hash));
            for member in self
                .appliers
                .iter()
                .flatten()
                .filter_map(|a| a.members.get(*i))
            {
                (member.answered, member.status).hash(&mut hash);
            }
            self.said_yes
                .iter()
                .for_each(|(change, yes)| (change, yes >> i & 1).hash(&mut hash));
            hash.finish()
        });
        let mut like = self.clone();
        for (to, from) in order.iter().enumerate() {
            like.ingresses[to] =
                Participant::new(&format!("n{to}"), self.ingresses[*from].state().clone());
            for (ways, its) in like.ways.iter_mut().zip(&self.ways) {
                ways[to] = its[*from].clone();
            }
            for (applier, its) in like.appliers.iter_mut().zip(&self.appliers) {
                let (Some(applier), Some(its)) = (applier, its) else {
                    continue;
                };
                applier.members[to] = its.members[*from].clone();
                applier.members[to].ingress = format!("n{to}");
            }
            for (change, yes) in &mut like.said_yes {
                *yes = *yes & !(1 << to) | (self.said_yes[change] >> from & 1) << to;
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
    Plan::make((author, 0, 1), (0..ingresses()).map(of).collect()).unwrap()
}

impl World {
    fn carry(&self, now: &mut Now, a: usize, i: usize, written: bool, answered: bool) {
        let ask = match std::mem::replace(&mut now.ways[a][i], Way::Idle) {
            Way::Asked(ask) => Some(ask),
            _ => now.appliers[a].as_ref().and_then(|x| x.next_request(i)),
        };
        let Some(ask) = ask else { return };
        let ask = match ask {
            CommitRequest::Prepare {
                vote: mut promise,
                ballot,
                state: wanted,
            } if self.variant == Variant::NoGenerationCheck => {
                promise.base = now.ingresses[i].state().enforced.clone();
                promise.next.number = promise.base.number + 1;
                CommitRequest::Prepare {
                    vote: promise,
                    ballot,
                    state: wanted,
                }
            }
            CommitRequest::Decide { change, commit, .. } if self.variant == Variant::NoFence => {
                // With whatever number would be right.
                let fences = &now.ingresses[i].state().fences;
                let ballot = fences.iter().find(|f| f.0 == change).map_or(0, |f| f.1);
                CommitRequest::Decide {
                    change,
                    ballot,
                    commit,
                }
            }
            ask => ask,
        };
        let change = if let CommitRequest::Prepare { vote: promise, .. } = &ask {
            promise.change.0.clone()
        } else {
            String::new()
        };
        let say = match now.ingresses[i].handle(ask, |_| Ok(())) {
            Step::Respond(say) => Some(say),
            Step::Persist {
                state: memory,
                response: then,
                ..
            } if written => {
                now.ingresses[i].persisted(*memory);
                Some(then)
            }
            Step::Persist { .. } => None,
        };
        // Why not is for people: nothing follows from it.
        let say = say.map(|s| {
            if matches!(s, CommitResponse::Rejected { .. }) {
                CommitResponse::Rejected {
                    reason: String::new(),
                }
            } else {
                s
            }
        });
        if let Some(say) = say.filter(|_| answered) {
            if say == CommitResponse::Prepared {
                *now.said_yes.entry(change).or_default() |= 1 << i;
            }
            now.ways[a][i] = Way::Answered(say);
        } else {
            self.lost(now, a, i);
        }
        if !(written && answered) && self.variant == Variant::NoPromiseOnDisk {
            let m = now.ingresses[i].state().clone();
            now.ingresses[i].persisted(ParticipantState {
                prepared: None,
                fences: vec![],
                ended: vec![],
                ..m
            });
        }
    }

    fn act(&self, now: &mut Now, action: Do) -> Option<()> {
        match action {
            Do::Arrive(a, i) => self.carry(now, a, i, true, true),
            Do::Hear(a, i) => {
                let Way::Answered(say) = std::mem::replace(&mut now.ways[a][i], Way::Idle) else {
                    return None;
                };
                if let Some(applier) = &mut now.appliers[a] {
                    applier.handle_response(i, Some(say));
                }
            }
            Do::Crash(a, i, written) => {
                now.crashes -= 1;
                self.carry(now, a, i, written, false);
            }
            Do::End(a) => {
                now.crashes -= 1;
                let ended = now.appliers[a].take()?;
                for i in 0..ingresses() {
                    now.ways[a][i] = match ended.next_request(i) {
                        Some(ask) if now.ways[a][i] == Way::Idle => Way::Asked(ask),
                        _ => Way::Idle,
                    };
                }
            }
        }
        Some(())
    }

    fn lost(&self, now: &mut Now, a: usize, i: usize) {
        now.ways[a][i] = Way::Idle;
        if let Some(applier) = &mut now.appliers[a] {
            applier.handle_response(i, None);
        }
    }
}

fn stand(p: &Participant, change: &Digest) -> CommitStatus {
    match p.handle(
        CommitRequest::Fence {
            change: change.clone(),
            ballot: u64::MAX,
        },
        |_| Ok(()),
    ) {
        Step::Respond(CommitResponse::ChangeStatus { status: stand, .. })
        | Step::Persist {
            response: CommitResponse::ChangeStatus { status: stand, .. },
            ..
        } => stand,
        other => panic!("{other:?}"),
    }
}

impl Model for World {
    type State = Now;
    type Action = Do;

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
            appliers: vec![Some(first), Some(second)],
            ways: vec![vec![Way::Idle; ingresses()]; 2],
            crashes: self.crashes,
            said_yes: BTreeMap::new(),
        }]
    }

    fn actions(&self, now: &Now, actions: &mut Vec<Do>) {
        for a in 0..now.appliers.len() {
            for i in 0..ingresses() {
                let asks = now.appliers[a]
                    .as_ref()
                    .is_some_and(|x| x.next_request(i).is_some());
                let asks = asks || matches!(now.ways[a][i], Way::Asked(_));
                if matches!(now.ways[a][i], Way::Answered(_)) {
                    actions.push(Do::Hear(a, i));
                } else if asks {
                    actions.push(Do::Arrive(a, i));
                    if now.crashes > 0 {
                        actions.push(Do::Crash(a, i, false));
                        actions.push(Do::Crash(a, i, true));
                    }
                }
            }
            if now.crashes > 0 && now.appliers[a].is_some() {
                actions.push(Do::End(a));
            }
        }
    }

    fn next_state(&self, last: &Now, action: Do) -> Option<Now> {
        let mut now = last.clone();
        self.act(&mut now, action)?;
        // Why an applier gave up is for people: nothing follows from it.
        now.appliers
            .iter_mut()
            .flatten()
            .for_each(|a| a.rejections.clear());
        Some(now)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no change is made at one ingress and given up at another",
                |world: &World, now: &Now| {
                    world.plans.iter().all(|p| {
                        let stands: Vec<CommitStatus> =
                            now.ingresses.iter().map(|i| stand(i, p)).collect();
                        !(stands.contains(&CommitStatus::Committed)
                            && stands.contains(&CommitStatus::Aborted))
                    })
                },
            ),
            Property::always(
                "what is enforced is one whole generation, alike under one number",
                |_, now: &Now| {
                    let mut by_number: BTreeMap<u64, &Digest> = BTreeMap::new();
                    now.ingresses.iter().all(|i| {
                        let m = i.state();
                        let whole = known(&m.state) == &m.enforced.digest;
                        whole
                            && *by_number
                                .entry(m.enforced.number)
                                .or_insert(&m.enforced.digest)
                                == &m.enforced.digest
                    })
                },
            ),
            Property::always(
                "a plan is made only on what it was made from",
                |world: &World, now: &Now| {
                    now.ingresses.iter().all(|i| {
                        world
                            .plans
                            .iter()
                            .filter(|p| stand(i, p) == CommitStatus::Committed)
                            .count()
                            < 2
                    })
                },
            ),
            Property::always("a promise is never lost", |world: &World, now: &Now| {
                world.plans.iter().all(|p| {
                    let yes = now.said_yes.get(&p.0).copied().unwrap_or(0);
                    let known = |i: usize| stand(&now.ingresses[i], p) != CommitStatus::Unknown;
                    (0..ingresses()).all(|i| yes & (1 << i) == 0 || known(i))
                })
            }),
            Property::always(
                "an apply that says made is made everywhere",
                |_, now: &Now| {
                    now.appliers.iter().flatten().all(|a| match a.phase {
                        CommitPhase::Ended(made) => now.ingresses.iter().all(|i| {
                            let stand = stand(i, &a.change);
                            if made {
                                stand == CommitStatus::Committed
                            } else {
                                stand != CommitStatus::Committed && stand != CommitStatus::Prepared
                            }
                        }),
                        _ => true,
                    })
                },
            ),
            Property::sometimes("a change is made", |_, now: &Now| {
                now.ingresses.iter().all(|i| i.state().enforced.number > 1)
            }),
            Property::sometimes("a change is given up", |_, now: &Now| {
                now.appliers
                    .iter()
                    .flatten()
                    .any(|a| a.phase == CommitPhase::Ended(false))
            }),
        ]
    }
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
        (Variant::NoPromiseOnDisk, Second::Recovers),
        (Variant::NoGenerationCheck, Second::AppliesAnother),
        (Variant::NoFence, Second::Recovers),
    ] {
        let (states, against) = search(variant, second, 1);
        println!("{variant:?}: {states} states until {against:?}");
        assert!(!against.is_empty(), "{variant:?} was not found out");
    }
}
