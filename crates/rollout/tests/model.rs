//! A search through all orders of what may happen to a rollout: two drivers that look, are slow, die and come back, an operator
//! who holds it, lets it go on, stops it and begins another one, a member that crashes. What a group decides is one number
//! after the other, each once (`wrenfork-consensus`, searched there); here it is a register that a proposal may follow in or not.

use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::{check_transition, Rollback, Rollout, RolloutPhase, RolloutPolicy};

/// What keeps it safe; each is left out on purpose below.
#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A proposal is for the number after the one that was looked at, and a number is decided once.
    numbered: bool,
    /// The members ask whether a record may follow.
    followed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    number: u32,
    record: Rollout,
    /// What each driver has looked at, and wants; none while it is dead or has seen nothing.
    drivers: [Option<(u32, Rollout)>; 2],
    /// Steps that have been taken on each number by somebody.
    acted: BTreeMap<u32, u32>,
    /// A step back was taken in this rollout.
    back: bool,
    /// What must not be, by name.
    wrong: Option<&'static str>,
    /// What the operator may still do.
    operator: u8,
    /// Deaths of drivers that may still be.
    deaths: u8,
}

/// What a driver judges of the phase that it looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Verdict {
    Good,
    Worse,
    Crash,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Look(usize, Verdict),
    Propose(usize),
    Die(usize),
    Operator(&'static str),
}

struct World(Guards);

fn record(id: &[u8]) -> Rollout {
    Rollout {
        id: Digest::of(id),
        author: String::new(),
        policy: RolloutPolicy::default(),
        stages: ["a", "b", "c"].map(|n| vec![n.to_string()]).to_vec(),
        changes: Vec::new(),
        change_of: BTreeMap::new(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    }
}

/// What a driver wants, as `StageMonitor` does.
fn wanted(r: &Rollout, verdict: Verdict) -> Option<Rollout> {
    let last = r.stages.len() - 1;
    match (&r.phase, verdict) {
        (RolloutPhase::Active { stage }, Verdict::Good) if *stage == last => {
            Some(r.with_phase(RolloutPhase::Completed, ""))
        }
        (RolloutPhase::Active { stage }, Verdict::Good) => {
            Some(r.with_phase(RolloutPhase::Active { stage: stage + 1 }, ""))
        }
        (RolloutPhase::Active { .. }, Verdict::Worse) => Some(r.roll_back(Rollback::Stepwise, "")),
        (RolloutPhase::Active { .. }, Verdict::Crash) => Some(r.roll_back(Rollback::Immediate, "")),
        (RolloutPhase::Active { stage }, Verdict::Unknown) => {
            Some(r.with_phase(RolloutPhase::Paused { stage: *stage }, ""))
        }
        (RolloutPhase::RollingBack { remaining }, Verdict::Good) if *remaining > 1 => {
            Some(r.with_phase(
                RolloutPhase::RollingBack {
                    remaining: remaining - 1,
                },
                "",
            ))
        }
        (RolloutPhase::RollingBack { .. }, Verdict::Good) => {
            Some(r.with_phase(RolloutPhase::RolledBack, ""))
        }
        _ => None,
    }
}

impl World {
    /// The group decides a record, or does not.
    fn decide(&self, s: &mut State, seen: u32, next: Rollout) {
        if self.0.numbered && seen != s.number {
            return;
        }
        if self.0.followed && check_transition(Some(&s.record), Some(&next)).is_err() {
            return;
        }
        let acted = s.acted.entry(seen).or_default();
        *acted += 1;
        if *acted > 1 {
            s.wrong = Some("two acted on what stood");
        }
        let other = next.id != s.record.id;
        if other && !s.record.phase.ended() {
            s.wrong = Some("another began before one had ended");
        }
        s.back &= !other;
        if s.back && next.updated_stages() > s.record.updated_stages() {
            s.wrong = Some("a stage began after a step back");
        }
        if next.updated_stages() > s.record.updated_stages() + 1 && !other {
            s.wrong = Some("a stage was left out");
        }
        s.back |= matches!(
            next.phase,
            RolloutPhase::RollingBack { .. } | RolloutPhase::RolledBack
        );
        s.record = next;
        s.number += 1;
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            number: 1,
            record: record(b"one"),
            drivers: [None, None],
            acted: BTreeMap::new(),
            back: false,
            wrong: None,
            operator: 2,
            deaths: 2,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        for n in 0..2 {
            if let Some((seen, _)) = &s.drivers[n] {
                actions.push(Action::Propose(n));
                if s.deaths > 0 {
                    actions.push(Action::Die(n));
                }
                // What it wants is what it saw last; it looks again where something else stands.
                if *seen == s.number {
                    continue;
                }
            }
            if !s.record.phase.ended() {
                for verdict in [
                    Verdict::Good,
                    Verdict::Worse,
                    Verdict::Crash,
                    Verdict::Unknown,
                ] {
                    if wanted(&s.record, verdict).is_some() {
                        actions.push(Action::Look(n, verdict));
                    }
                }
            }
        }
        if s.operator > 0 {
            actions.extend(["hold", "resume", "stop", "another"].map(Action::Operator));
        } else if matches!(s.record.phase, RolloutPhase::Paused { .. }) {
            actions.push(Action::Operator("stop")); // somebody comes, at last
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Look(n, verdict) => {
                s.drivers[n] = Some((s.number, wanted(&s.record, verdict)?))
            }
            Action::Propose(n) => {
                let (seen, next) = s.drivers[n].take()?;
                self.decide(&mut s, seen, next);
            }
            Action::Die(n) => {
                s.drivers[n] = None;
                s.deaths -= 1;
            }
            Action::Operator(what) => {
                s.operator = s.operator.saturating_sub(1);
                let next = match (what, &s.record.phase) {
                    ("hold", RolloutPhase::Active { stage }) => s
                        .record
                        .with_phase(RolloutPhase::Paused { stage: *stage }, ""),
                    ("resume", RolloutPhase::Paused { stage }) => s
                        .record
                        .with_phase(RolloutPhase::Active { stage: *stage }, ""),
                    ("stop", RolloutPhase::Active { .. } | RolloutPhase::Paused { .. }) => {
                        s.record.roll_back(Rollback::Stepwise, "")
                    }
                    ("another", _) if s.record.id == Digest::of(b"one") => record(b"two"),
                    _ => return None,
                };
                let seen = s.number;
                self.decide(&mut s, seen, next);
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is wrong", |_, s: &State| s.wrong.is_none()),
            Property::eventually("it ends", |_, s: &State| s.record.phase.ended()),
            Property::sometimes("one goes through", |_, s: &State| {
                s.record.phase == RolloutPhase::Completed
            }),
            Property::sometimes("one is taken back step by step", |_, s: &State| {
                s.record.phase == RolloutPhase::RollingBack { remaining: 1 }
            }),
            Property::sometimes(
                "another goes through behind one that was stopped",
                |_, s: &State| {
                    s.record.id == Digest::of(b"two") && s.record.phase == RolloutPhase::Completed
                },
            ),
        ]
    }

    fn within_boundary(&self, s: &State) -> bool {
        s.number < 12
    }
}

fn search(guards: Guards) -> (usize, bool) {
    let checker = World(guards).checker().threads(4).spawn_bfs().join();
    (
        checker.unique_state_count(),
        checker.discovery("nothing is wrong").is_some(),
    )
}

#[test]
fn every_order_of_events_is_safe_and_ends() {
    let checker = World(Guards {
        numbered: true,
        followed: true,
    })
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000);
}

#[test]
fn a_missing_guard_is_found_by_the_search() {
    for guards in [
        Guards {
            numbered: false,
            followed: true,
        },
        Guards {
            numbered: true,
            followed: false,
        },
    ] {
        let (states, found) = search(guards);
        assert!(found, "{guards:?}: nothing is wrong in {states} states");
    }
}
