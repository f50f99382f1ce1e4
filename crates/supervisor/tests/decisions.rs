//! The actions of a supervisor for given events, and its invariants under random events.

use proptest::prelude::{any, prop_assert, prop_assert_eq, prop_oneof, proptest, Just, Strategy};
use proptest::test_runner::{Config, RngSeed, TestCaseError};
use std::time::Duration;
use wrenfork_compatibility::Program;
use wrenfork_supervisor::{
    Action, Event, Observation, PersistentState, ProcessSlot, ProgramCatalog, RestartPolicy,
    StopMode, Supervisor, WantedProgram,
};

fn program(number: usize) -> Program {
    Program {
        name: format!("r-{number}"),
        sha256: number.to_string().repeat(64),
    }
}

/// A catalog with files for programs 1 to 4. Program 4 cannot take part in a handover.
struct TestCatalog;

impl ProgramCatalog for TestCatalog {
    fn contains(&self, candidate: &Program) -> bool {
        (1..=4).any(|n| program(n) == *candidate)
    }

    fn can_take_over(&self, old: &Program, new: &Program) -> bool {
        *old != program(4) && *new != program(4)
    }
}

const MILLISECOND: Duration = Duration::from_millis(1);

/// A poll answered by program `running` of a group that wants program `wanted`.
fn status(running: usize, wanted: usize, may_change: bool, settled: bool) -> Event {
    Event::Polled(Observation::Status {
        running: Some(program(running)),
        wanted: Some(WantedProgram {
            program: program(wanted),
            may_change,
        }),
        settled,
    })
}

/// A poll without an answer.
fn no_answer() -> Event {
    Event::Polled(Observation::NoAnswer)
}

/// A process that crashed.
fn crashed(slot: ProcessSlot) -> Event {
    Event::Exited {
        slot,
        reason: "exit status: 1".into(),
    }
}

/// The serving process has handed over and ended.
fn handed_over() -> Event {
    Event::Exited {
        slot: ProcessSlot::Serving,
        reason: "exit status: 0".into(),
    }
}

fn kill(slot: ProcessSlot) -> Action {
    Action::Stop {
        slot,
        mode: StopMode::Kill,
    }
}

/// A supervisor and its simulated time.
struct Harness {
    supervisor: Supervisor,
    now: Duration,
}

impl Harness {
    fn new(policy: RestartPolicy, persistent: PersistentState) -> Harness {
        Harness {
            supervisor: Supervisor::new(policy, persistent, program(1), &TestCatalog),
            now: Duration::from_secs(100),
        }
    }

    /// Advances the time and handles an event; returns the actions without log lines.
    fn after(&mut self, ms: u32, event: Event) -> Vec<Action> {
        self.now += MILLISECOND * ms;
        let mut actions = self.supervisor.step(self.now, event, &TestCatalog);
        actions.retain(|a| !matches!(a, Action::Log(_)));
        actions
    }

    /// A harness in which program 1 serves.
    fn serving(policy: RestartPolicy) -> Harness {
        let mut harness = Harness::new(policy, PersistentState::default());
        assert_eq!(harness.after(0, no_answer()), [restart(1)]);
        assert_eq!(harness.after(100, status(1, 1, true, true)), []);
        harness
    }
}

/// The start of a program on a machine without a process: the first start, or one after a crash.
fn restart(number: usize) -> Action {
    Action::Start {
        program: program(number),
        slot: ProcessSlot::Serving,
        replaces: false,
    }
}

/// The start of a program as successor of the serving process.
fn start_successor(number: usize) -> Action {
    Action::Start {
        program: program(number),
        slot: ProcessSlot::Successor,
        replaces: true,
    }
}

/// The start of a program after the process that it replaces has ended.
fn start_replacement(number: usize) -> Action {
    Action::Start {
        program: program(number),
        slot: ProcessSlot::Serving,
        replaces: true,
    }
}

#[test]
fn wanted_program_is_started_as_successor_once_the_ingress_may_change() {
    let mut harness = Harness::serving(RestartPolicy::default());
    assert_eq!(
        harness.after(100, status(1, 2, false, false)),
        [],
        "the ingress may not change yet"
    );
    assert_eq!(
        harness.after(100, status(1, 2, true, false)),
        [start_successor(2)]
    );
    assert_eq!(
        harness.supervisor.persistent_state().wanted,
        Some(program(2))
    );
    assert!(harness.supervisor.is_changing());
    assert_eq!(harness.after(100, status(1, 2, true, false)), []);
    assert_eq!(harness.after(100, handed_over()), []);
    assert!(!harness.supervisor.is_changing() && *harness.supervisor.program() == program(2));
    // No program becomes proven during a rollout, however long it serves.
    harness.after(100, status(2, 2, true, false));
    harness.after(100_000, status(2, 2, true, false));
    assert_eq!(harness.supervisor.persistent_state().proven, None);
    harness.after(100, status(2, 2, true, true));
    assert_eq!(
        harness.supervisor.persistent_state().proven,
        Some(program(2))
    );
    // A new supervisor starts the proven program, whatever program is wanted.
    let persistent = PersistentState {
        wanted: Some(program(3)),
        ..harness.supervisor.persistent_state().clone()
    };
    assert_eq!(
        Harness::new(RestartPolicy::default(), persistent).after(0, no_answer()),
        [restart(2)]
    );
}

#[test]
fn failed_successor_is_reported_and_the_old_process_keeps_serving() {
    let mut harness = Harness::serving(RestartPolicy::default());
    harness.after(100, status(1, 2, true, false));
    // The successor never answers: it is killed and the old process keeps running.
    assert_eq!(harness.after(9_000, status(1, 2, true, false)), []);
    assert_eq!(
        harness.after(2_000, status(1, 2, true, false)),
        [kill(ProcessSlot::Successor)]
    );
    assert_eq!(harness.after(100, status(1, 2, true, false)), []);
    assert!(
        matches!(&harness.after(100, crashed(ProcessSlot::Successor))[..], [Action::ReportUnfit { program: unfit, .. }] if *unfit == program(2))
    );
    assert_eq!(
        harness.supervisor.persistent_state().failed,
        Some(program(2))
    );
    // The report is repeated after a while. The program is not tried again until another one was wanted.
    assert_eq!(harness.after(100, status(1, 2, true, false)), []);
    assert!(matches!(
        &harness.after(10_000, status(1, 2, true, false))[..],
        [Action::ReportUnfit { .. }]
    ));
    assert_eq!(harness.after(100, status(1, 2, true, false)), []);
    assert_eq!(harness.after(100, status(1, 1, true, true)), []);
    assert_eq!(
        harness.after(100, status(1, 2, true, false)),
        [start_successor(2)]
    );
}

#[test]
fn old_process_that_hangs_after_the_handover_is_killed_instead_of_the_successor() {
    let mut harness = Harness::serving(RestartPolicy::default());
    harness.after(100, status(1, 2, true, false));
    assert_eq!(
        harness.after(11_000, status(2, 2, true, false)),
        [kill(ProcessSlot::Serving)]
    );
    assert_eq!(harness.after(100, crashed(ProcessSlot::Serving)), []);
    assert_eq!(*harness.supervisor.program(), program(2));
}

#[test]
fn crash_restarts_back_off_and_unproven_program_is_replaced_by_the_proven_one() {
    let mut harness = Harness::serving(RestartPolicy::default());
    harness.after(61_000, status(1, 1, true, true));
    assert_eq!(
        harness.supervisor.persistent_state().proven,
        Some(program(1))
    );
    harness.after(100, status(1, 2, true, true));
    harness.after(100, handed_over());
    harness.after(100, status(2, 2, true, false));
    let mut delays = Vec::new();
    for _ in 0..2 {
        assert_eq!(harness.after(100, crashed(ProcessSlot::Serving)), []);
        let crashed_at = harness.now;
        while harness.after(10, no_answer()) != [restart(2)] {}
        delays.push((harness.now - crashed_at).as_millis());
    }
    assert_eq!(delays, [200, 400]);
    assert_eq!(harness.after(100, crashed(ProcessSlot::Serving)), []);
    assert_eq!(
        harness.supervisor.persistent_state().failed,
        Some(program(2))
    );
    while harness.after(10, no_answer()) != [restart(1)] {}
    // The proven program is never given up; its restarts are delayed by at most max_backoff.
    for _ in 0..20 {
        assert_eq!(harness.after(10, crashed(ProcessSlot::Serving)), []);
        let crashed_at = harness.now;
        while harness.after(100, no_answer()) != [restart(1)] {}
        assert!(
            harness.now - crashed_at <= RestartPolicy::default().max_backoff + 100 * MILLISECOND
        );
    }
    // After a long time in service, a crash counts as the first one and the delay is the initial backoff.
    harness.after(100, status(1, 1, true, true));
    harness.after(61_000, status(1, 1, true, true));
    harness.after(10, crashed(ProcessSlot::Serving));
    assert_eq!(harness.after(200, no_answer()), [restart(1)]);
}

#[test]
fn program_without_handover_replaces_the_old_process_only_if_cold_restarts_are_allowed() {
    let reports_unfit = |actions: &[Action], word: &str| matches!(actions, [Action::ReportUnfit { reason, .. }] if reason.contains(word));
    let mut harness = Harness::serving(RestartPolicy::default());
    assert!(reports_unfit(
        &harness.after(100, status(1, 4, true, false)),
        "cold"
    ));
    assert_eq!(harness.after(100, status(1, 4, true, false)), []);
    let mut harness = Harness::serving(RestartPolicy {
        allow_cold_restart: true,
        ..RestartPolicy::default()
    });
    assert_eq!(
        harness.after(100, status(1, 4, true, false)),
        [Action::Stop {
            slot: ProcessSlot::Serving,
            mode: StopMode::Graceful
        }]
    );
    assert_eq!(
        harness.after(11_000, no_answer()),
        [kill(ProcessSlot::Serving)]
    );
    assert_eq!(harness.after(100, crashed(ProcessSlot::Serving)), []);
    assert_eq!(harness.after(100, no_answer()), [start_replacement(4)]);
    // A program without a file is reported, and the serving process continues.
    let mut harness = Harness::serving(RestartPolicy::default());
    assert!(reports_unfit(
        &harness.after(100, status(1, 9, true, false)),
        "digest"
    ));
}

#[test]
fn process_started_by_an_earlier_supervisor_is_adopted() {
    let mut harness = Harness::new(RestartPolicy::default(), PersistentState::default());
    harness.after(0, Event::Adopted(program(2)));
    assert_eq!(harness.after(100, status(2, 2, true, true)), []);
    assert_eq!(
        harness.after(100, no_answer()),
        [],
        "a process that answered before must not be stopped when it stops answering"
    );
    assert_eq!(harness.after(11_000, no_answer()), []);
    harness.after(100, crashed(ProcessSlot::Serving));
    assert_eq!(harness.after(200, no_answer()), [restart(2)]);
}

/// An event in the simulated environment of a supervisor.
#[derive(Clone, Debug)]
enum Incident {
    Status {
        wanted: usize,
        may_change: bool,
        settled: bool,
    },
    NoAnswer,
    Crash(ProcessSlot),
    TakeOver,
}

fn any_incident() -> impl Strategy<Value = Incident> {
    prop_oneof![
        6 => (1usize..6, any::<bool>(), any::<bool>())
            .prop_map(|(wanted, may_change, settled)| Incident::Status { wanted, may_change, settled }),
        3 => Just(Incident::NoAnswer),
        1 => Just(Incident::Crash(ProcessSlot::Serving)),
        1 => Just(Incident::Crash(ProcessSlot::Successor)),
        2 => Just(Incident::TakeOver),
    ]
}

/// Number of polls without failures at the end of a run.
const CALM_POLLS: usize = 600;
/// Time between two of these polls, in milliseconds.
const CALM_INTERVAL_MS: u32 = 250;

/// A fixed seed, so that every test run uses the same incidents.
fn fixed_seed() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    }
}

/// The simulated processes of a supervisor.
struct Environment {
    harness: Harness,
    serving: Option<Program>,
    successor: Option<Program>,
    /// The program most recently reported as unfit.
    unfit: Option<Program>,
}

impl Environment {
    fn new(policy: RestartPolicy) -> Environment {
        Environment {
            harness: Harness::new(policy, PersistentState::default()),
            serving: None,
            successor: None,
            unfit: None,
        }
    }

    /// Applies an incident and returns the event for the supervisor, or `None` if the incident is not possible now.
    fn event(&mut self, incident: &Incident) -> Option<Event> {
        match incident {
            Incident::Status {
                wanted,
                may_change,
                settled,
            } => Some(match &self.serving {
                Some(running) => Event::Polled(Observation::Status {
                    running: Some(running.clone()),
                    wanted: Some(WantedProgram {
                        program: program(*wanted),
                        may_change: *may_change,
                    }),
                    settled: *settled,
                }),
                None => no_answer(),
            }),
            Incident::NoAnswer => Some(no_answer()),
            Incident::Crash(ProcessSlot::Serving) => {
                self.serving.as_ref()?;
                self.serving = self.successor.take();
                Some(crashed(ProcessSlot::Serving))
            }
            Incident::Crash(ProcessSlot::Successor) => {
                self.successor.take()?;
                Some(crashed(ProcessSlot::Successor))
            }
            Incident::TakeOver => {
                self.serving = Some(self.successor.take()?);
                Some(handed_over())
            }
        }
    }

    /// Carries out an action. Checks that at most two processes exist, that the second one is a successor, and that every started
    /// program has a file.
    fn carry_out(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Start { program, slot, .. } => {
                prop_assert!(TestCatalog.contains(&program));
                let is_successor = slot == ProcessSlot::Successor;
                prop_assert!(self.successor.is_none());
                prop_assert_eq!(self.serving.is_some(), is_successor);
                if is_successor {
                    self.successor = Some(program);
                } else {
                    self.serving = Some(program);
                }
            }
            Action::Stop { slot, .. } => {
                // A process is stopped if it never answered, to make room for another program, or after its successor took over. In
                // each case it must exist.
                prop_assert!(self.event(&Incident::Crash(slot)).is_some());
                self.harness.after(1, crashed(slot));
            }
            Action::ReportUnfit { program, .. } => self.unfit = Some(program),
            Action::Log(_) => {}
        }
        Ok(())
    }

    fn step(&mut self, incident: &Incident, ms: u32) -> Result<(), TestCaseError> {
        let Some(event) = self.event(incident) else {
            return Ok(());
        };
        for action in self.harness.after(ms, event) {
            self.carry_out(action)?;
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn wanted_program_eventually_serves_or_is_reported_as_unfit(
        steps in proptest::collection::vec((any_incident(), 0u32..4_000), 0..150),
        cold in any::<bool>(),
        last in 1usize..6,
    ) {
        let policy = RestartPolicy { allow_cold_restart: cold, ..RestartPolicy::default() };
        let mut environment = Environment::new(policy);
        for (incident, ms) in steps {
            environment.step(&incident, ms)?;
        }
        let calm = Incident::Status { wanted: last, may_change: true, settled: false };
        for _ in 0..CALM_POLLS {
            // Without failures, a successor takes over before the next poll.
            if let Some(event) = environment.event(&Incident::TakeOver) {
                environment.harness.after(1, event);
            }
            environment.step(&calm, CALM_INTERVAL_MS)?;
        }
        let serves = environment.serving.clone().expect("a process serves after the polls without failures");
        let unfit = environment.unfit == Some(program(last));
        prop_assert!(serves == program(last) || unfit, "{:?} {:?}", serves, environment.unfit);
        prop_assert_eq!(environment.harness.supervisor.program(), &serves);
    }
}
