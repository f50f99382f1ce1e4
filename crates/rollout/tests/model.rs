//! Exhaustive search over all orders of events in a rollout: two controllers that observe, are slow, crash and restart, an
//! operator who pauses, resumes and stops the rollout and starts another one, and a member that crashes. Consensus is not
//! modelled here (`wrenfork-consensus` has its own search): the group state is a register with a version number, which a
//! proposal replaces or not.

use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::{check_transition, Rollback, Rollout, RolloutPhase, RolloutPolicy};

/// The checks that make rollouts safe. A test leaves out each of them on purpose.
#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A proposal is only accepted if the observed version is still the current one.
    versioned: bool,
    /// The members check that the new rollout state may follow the current one.
    transitions_checked: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    version: u32,
    rollout: Rollout,
    /// The version that each controller has observed, and the state it will propose; none before its first observation and
    /// after a crash.
    controllers: [Option<(u32, Rollout)>; 2],
    /// Number of steps taken from each version.
    steps: BTreeMap<u32, u32>,
    /// Whether a rollback step has been taken in this rollout.
    rolling_back: bool,
    /// The first violation found, if any.
    violation: Option<&'static str>,
    /// Number of actions that the operator may still take.
    operator_actions: u8,
    /// Number of controller crashes that may still happen.
    crashes: u8,
}

/// A controller's verdict on the observed phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Verdict {
    Good,
    Worse,
    Crash,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Observe(usize, Verdict),
    Propose(usize),
    CrashController(usize),
    Operator(&'static str),
}

struct RolloutModel(Guards);

fn rollout(id: &[u8]) -> Rollout {
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

/// Returns the next state for a verdict, following the same rules as `StageMonitor`.
fn next_rollout(current: &Rollout, verdict: Verdict) -> Option<Rollout> {
    let last_stage = current.stages.len() - 1;
    match (&current.phase, verdict) {
        (RolloutPhase::Active { stage }, Verdict::Good) if *stage == last_stage => {
            Some(current.with_phase(RolloutPhase::Completed, ""))
        }
        (RolloutPhase::Active { stage }, Verdict::Good) => {
            Some(current.with_phase(RolloutPhase::Active { stage: stage + 1 }, ""))
        }
        (RolloutPhase::Active { .. }, Verdict::Worse) => {
            Some(current.roll_back(Rollback::Stepwise, ""))
        }
        (RolloutPhase::Active { .. }, Verdict::Crash) => {
            Some(current.roll_back(Rollback::Immediate, ""))
        }
        (RolloutPhase::Active { stage }, Verdict::Unknown) => {
            Some(current.with_phase(RolloutPhase::Paused { stage: *stage }, ""))
        }
        (RolloutPhase::RollingBack { remaining }, Verdict::Good) if *remaining > 1 => {
            Some(current.with_phase(
                RolloutPhase::RollingBack {
                    remaining: remaining - 1,
                },
                "",
            ))
        }
        (RolloutPhase::RollingBack { .. }, Verdict::Good) => {
            Some(current.with_phase(RolloutPhase::RolledBack, ""))
        }
        _ => None,
    }
}

impl RolloutModel {
    /// The group accepts or rejects a proposed state.
    fn decide(&self, state: &mut State, observed: u32, next: Rollout) {
        if self.0.versioned && observed != state.version {
            return;
        }
        if self.0.transitions_checked
            && check_transition(Some(&state.rollout), Some(&next)).is_err()
        {
            return;
        }
        let steps = state.steps.entry(observed).or_default();
        *steps += 1;
        if *steps > 1 {
            state.violation = Some("two steps were taken from the same version");
        }
        let is_other = next.id != state.rollout.id;
        if is_other && !state.rollout.phase.ended() {
            state.violation = Some("a rollout began before the previous one had ended");
        }
        state.rolling_back &= !is_other;
        if state.rolling_back && next.updated_stages() > state.rollout.updated_stages() {
            state.violation = Some("a stage began after a rollback step");
        }
        if next.updated_stages() > state.rollout.updated_stages() + 1 && !is_other {
            state.violation = Some("a stage was skipped");
        }
        state.rolling_back |= matches!(
            next.phase,
            RolloutPhase::RollingBack { .. } | RolloutPhase::RolledBack
        );
        state.rollout = next;
        state.version += 1;
    }
}

impl Model for RolloutModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            version: 1,
            rollout: rollout(b"one"),
            controllers: [None, None],
            steps: BTreeMap::new(),
            rolling_back: false,
            violation: None,
            operator_actions: 2,
            crashes: 2,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for n in 0..2 {
            if let Some((observed, _)) = &state.controllers[n] {
                actions.push(Action::Propose(n));
                if state.crashes > 0 {
                    actions.push(Action::CrashController(n));
                }
                // A controller with a pending proposal only observes again if the version has changed.
                if *observed == state.version {
                    continue;
                }
            }
            if !state.rollout.phase.ended() {
                for verdict in [
                    Verdict::Good,
                    Verdict::Worse,
                    Verdict::Crash,
                    Verdict::Unknown,
                ] {
                    if next_rollout(&state.rollout, verdict).is_some() {
                        actions.push(Action::Observe(n, verdict));
                    }
                }
            }
        }
        if state.operator_actions > 0 {
            actions.extend(["pause", "resume", "stop", "start another"].map(Action::Operator));
        } else if matches!(state.rollout.phase, RolloutPhase::Paused { .. }) {
            // An operator eventually stops a paused rollout, so that it can end.
            actions.push(Action::Operator("stop"));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Observe(n, verdict) => {
                state.controllers[n] = Some((state.version, next_rollout(&state.rollout, verdict)?))
            }
            Action::Propose(n) => {
                let (observed, next) = state.controllers[n].take()?;
                self.decide(&mut state, observed, next);
            }
            Action::CrashController(n) => {
                state.controllers[n] = None;
                state.crashes -= 1;
            }
            Action::Operator(command) => {
                state.operator_actions = state.operator_actions.saturating_sub(1);
                let next = match (command, &state.rollout.phase) {
                    ("pause", RolloutPhase::Active { stage }) => state
                        .rollout
                        .with_phase(RolloutPhase::Paused { stage: *stage }, ""),
                    ("resume", RolloutPhase::Paused { stage }) => state
                        .rollout
                        .with_phase(RolloutPhase::Active { stage: *stage }, ""),
                    ("stop", RolloutPhase::Active { .. } | RolloutPhase::Paused { .. }) => {
                        state.rollout.roll_back(Rollback::Stepwise, "")
                    }
                    ("start another", _) if state.rollout.id == Digest::of(b"one") => {
                        rollout(b"two")
                    }
                    _ => return None,
                };
                let observed = state.version;
                self.decide(&mut state, observed, next);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no violation", |_, state: &State| state.violation.is_none()),
            Property::eventually("the rollout ends", |_, state: &State| {
                state.rollout.phase.ended()
            }),
            Property::sometimes("a rollout completes", |_, state: &State| {
                state.rollout.phase == RolloutPhase::Completed
            }),
            Property::sometimes(
                "a rollout is rolled back step by step",
                |_, state: &State| {
                    state.rollout.phase == RolloutPhase::RollingBack { remaining: 1 }
                },
            ),
            Property::sometimes(
                "a second rollout completes after the first one was stopped",
                |_, state: &State| {
                    state.rollout.id == Digest::of(b"two")
                        && state.rollout.phase == RolloutPhase::Completed
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.version < 12
    }
}

fn search(guards: Guards) -> (usize, bool) {
    let checker = RolloutModel(guards).checker().threads(4).spawn_bfs().join();
    (
        checker.unique_state_count(),
        checker.discovery("no violation").is_some(),
    )
}

#[test]
fn every_order_of_events_is_safe_and_terminates() {
    let checker = RolloutModel(Guards {
        versioned: true,
        transitions_checked: true,
    })
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    checker.assert_properties();
    println!("{} states searched", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000);
}

#[test]
fn search_finds_a_violation_without_each_guard() {
    for guards in [
        Guards {
            versioned: false,
            transitions_checked: true,
        },
        Guards {
            versioned: true,
            transitions_checked: false,
        },
    ] {
        let (states, found) = search(guards);
        assert!(found, "{guards:?}: no violation found in {states} states");
    }
}
