//! What a supervisor does, step by step, and in a world in which anything happens at any time.

use proptest::prelude::{any, prop_assert, prop_assert_eq, prop_oneof, proptest, Just, Strategy};
use proptest::test_runner::{Config, RngSeed, TestCaseError};
use std::time::Duration;
use wrenfork_compatibility::Program;
use wrenfork_supervisor::{
    Action, Event, Observation, PersistentState, ProcessSlot, ProgramCatalog, RestartPolicy,
    StopMode, Supervisor, WantedProgram,
};

fn program(n: usize) -> Program {
    Program {
        name: format!("r-{n}"),
        sha256: n.to_string().repeat(64),
    }
}

/// Programs 1 to 4 are there; 4 takes over from nothing, and nothing from it.
struct Files;

impl ProgramCatalog for Files {
    fn contains(&self, p: &Program) -> bool {
        (1..=4).any(|n| program(n) == *p)
    }

    fn can_take_over(&self, old: &Program, new: &Program) -> bool {
        *old != program(4) && *new != program(4)
    }
}

const MS: Duration = Duration::from_millis(1);

fn says(runs: usize, wanted: usize, turn: bool, settled: bool) -> Event {
    Event::Polled(Observation::Status {
        running: Some(program(runs)),
        wanted: Some(WantedProgram {
            program: program(wanted),
            may_change: turn,
        }),
        settled,
    })
}

fn silent() -> Event {
    Event::Polled(Observation::NoAnswer)
}

fn exited(slot: ProcessSlot) -> Event {
    Event::Exited {
        slot,
        reason: "exit status: 1".into(),
    }
}

/// The process that serves has handed over.
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

/// A supervisor with the time that passes.
struct Rig {
    supervisor: Supervisor,
    now: Duration,
}

impl Rig {
    fn new(policy: RestartPolicy, memory: PersistentState) -> Rig {
        Rig {
            supervisor: Supervisor::new(policy, memory, program(1), &Files),
            now: Duration::from_secs(100),
        }
    }

    /// What is done besides telling people.
    fn after(&mut self, ms: u32, event: Event) -> Vec<Action> {
        self.now += MS * ms;
        let mut actions = self.supervisor.step(self.now, event, &Files);
        actions.retain(|a| !matches!(a, Action::Log(_)));
        actions
    }

    /// One that serves program 1.
    fn serving(policy: RestartPolicy) -> Rig {
        let mut rig = Rig::new(policy, PersistentState::default());
        assert_eq!(rig.after(0, silent()), [restart(1)]);
        assert_eq!(rig.after(100, says(1, 1, true, true)), []);
        rig
    }
}

/// The start of a program after a crash, or the first one.
fn restart(n: usize) -> Action {
    Action::Start {
        program: program(n),
        slot: ProcessSlot::Serving,
        replaces: false,
    }
}

/// The start of a program that is to take over from the one that serves.
fn start_successor(n: usize) -> Action {
    Action::Start {
        program: program(n),
        slot: ProcessSlot::Successor,
        replaces: true,
    }
}

/// The start of a program behind another one.
fn start_replacement(n: usize) -> Action {
    Action::Start {
        program: program(n),
        slot: ProcessSlot::Serving,
        replaces: true,
    }
}

#[test]
fn a_wanted_program_is_started_beside_the_serving_one_once_it_may_change() {
    let mut rig = Rig::serving(RestartPolicy::default());
    assert_eq!(rig.after(100, says(1, 2, false, false)), [], "not its turn");
    assert_eq!(
        rig.after(100, says(1, 2, true, false)),
        [start_successor(2)]
    );
    assert_eq!(rig.supervisor.persistent_state().wanted, Some(program(2)));
    assert!(rig.supervisor.is_changing());
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert_eq!(rig.after(100, handed_over()), []);
    assert!(!rig.supervisor.is_changing() && *rig.supervisor.program() == program(2));
    // While a rollout is under way nothing is proven, however long it serves.
    rig.after(100, says(2, 2, true, false));
    rig.after(100_000, says(2, 2, true, false));
    assert_eq!(rig.supervisor.persistent_state().proven, None);
    rig.after(100, says(2, 2, true, true));
    assert_eq!(rig.supervisor.persistent_state().proven, Some(program(2)));
    // A machine begins with it, whatever is wanted.
    let memory = PersistentState {
        wanted: Some(program(3)),
        ..rig.supervisor.persistent_state().clone()
    };
    assert_eq!(
        Rig::new(RestartPolicy::default(), memory).after(0, silent()),
        [restart(2)]
    );
}

#[test]
fn a_successor_that_does_not_come_into_service_leaves_the_old_one_serving_and_is_reported() {
    let mut rig = Rig::serving(RestartPolicy::default());
    rig.after(100, says(1, 2, true, false));
    // It is never heard of: the old one is not touched, the new one is ended.
    assert_eq!(rig.after(9_000, says(1, 2, true, false)), []);
    assert_eq!(
        rig.after(2_000, says(1, 2, true, false)),
        [kill(ProcessSlot::Successor)]
    );
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert!(
        matches!(&rig.after(100, exited(ProcessSlot::Successor))[..], [Action::ReportUnfit { program: unfit, .. }] if *unfit == program(2))
    );
    assert_eq!(rig.supervisor.persistent_state().failed, Some(program(2)));
    // It is told once more to whoever did not hear it, and not tried again until another one was wanted.
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert!(matches!(
        &rig.after(10_000, says(1, 2, true, false))[..],
        [Action::ReportUnfit { .. }]
    ));
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert_eq!(rig.after(100, says(1, 1, true, true)), []);
    assert_eq!(
        rig.after(100, says(1, 2, true, false)),
        [start_successor(2)]
    );
}

#[test]
fn a_successor_that_has_taken_over_is_not_killed_when_the_old_process_hangs() {
    let mut rig = Rig::serving(RestartPolicy::default());
    rig.after(100, says(1, 2, true, false));
    assert_eq!(
        rig.after(11_000, says(2, 2, true, false)),
        [kill(ProcessSlot::Serving)]
    );
    assert_eq!(rig.after(100, exited(ProcessSlot::Serving)), []);
    assert_eq!(*rig.supervisor.program(), program(2));
}

#[test]
fn crashes_back_off_and_an_unproven_program_is_replaced_by_the_proven_one() {
    let mut rig = Rig::serving(RestartPolicy::default());
    rig.after(61_000, says(1, 1, true, true));
    assert_eq!(rig.supervisor.persistent_state().proven, Some(program(1)));
    rig.after(100, says(1, 2, true, true));
    rig.after(100, handed_over());
    rig.after(100, says(2, 2, true, false));
    let mut pauses = Vec::new();
    for _ in 0..2 {
        assert_eq!(rig.after(100, exited(ProcessSlot::Serving)), []);
        let begun = rig.now;
        while rig.after(10, silent()) != [restart(2)] {}
        pauses.push((rig.now - begun).as_millis());
    }
    assert_eq!(pauses, [200, 400]);
    assert_eq!(rig.after(100, exited(ProcessSlot::Serving)), []);
    assert_eq!(rig.supervisor.persistent_state().failed, Some(program(2)));
    while rig.after(10, silent()) != [restart(1)] {}
    // The proven one is never given up, with pauses up to the longest.
    for _ in 0..20 {
        assert_eq!(rig.after(10, exited(ProcessSlot::Serving)), []);
        let begun = rig.now;
        while rig.after(100, silent()) != [restart(1)] {}
        assert!(rig.now - begun <= RestartPolicy::default().max_backoff + 100 * MS);
    }
    // What served for long is begun anew at once, as after a first crash.
    rig.after(100, says(1, 1, true, true));
    rig.after(61_000, says(1, 1, true, true));
    rig.after(10, exited(ProcessSlot::Serving));
    assert_eq!(rig.after(200, silent()), [restart(1)]);
}

#[test]
fn a_program_that_cannot_take_over_is_started_behind_the_old_one_where_that_is_allowed() {
    let told = |actions: &[Action], word: &str| matches!(actions, [Action::ReportUnfit { reason, .. }] if reason.contains(word));
    let mut rig = Rig::serving(RestartPolicy::default());
    assert!(told(&rig.after(100, says(1, 4, true, false)), "cold"));
    assert_eq!(rig.after(100, says(1, 4, true, false)), []);
    let mut rig = Rig::serving(RestartPolicy {
        allow_cold_restart: true,
        ..RestartPolicy::default()
    });
    assert_eq!(
        rig.after(100, says(1, 4, true, false)),
        [Action::Stop {
            slot: ProcessSlot::Serving,
            mode: StopMode::Graceful
        }]
    );
    assert_eq!(rig.after(11_000, silent()), [kill(ProcessSlot::Serving)]);
    assert_eq!(rig.after(100, exited(ProcessSlot::Serving)), []);
    assert_eq!(rig.after(100, silent()), [start_replacement(4)]);
    // A program that there is no file of is told, and what serves goes on.
    let mut rig = Rig::serving(RestartPolicy::default());
    assert!(told(&rig.after(100, says(1, 9, true, false)), "digest"));
}

#[test]
fn a_process_that_an_earlier_supervisor_started_is_adopted() {
    let mut rig = Rig::new(RestartPolicy::default(), PersistentState::default());
    rig.after(0, Event::Adopted(program(2)));
    assert_eq!(rig.after(100, says(2, 2, true, true)), []);
    assert_eq!(
        rig.after(100, silent()),
        [],
        "one that answered before is not ended for a silence"
    );
    assert_eq!(rig.after(11_000, silent()), []);
    rig.after(100, exited(ProcessSlot::Serving));
    assert_eq!(rig.after(200, silent()), [restart(2)]);
}

/// What may happen to the processes of a supervisor.
#[derive(Clone, Debug)]
enum Happening {
    Status {
        wanted: usize,
        may_change: bool,
        settled: bool,
    },
    NoAnswer,
    Crash(ProcessSlot),
    TakeOver,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        6 => (1usize..6, any::<bool>(), any::<bool>())
            .prop_map(|(wanted, may_change, settled)| Happening::Status { wanted, may_change, settled }),
        3 => Just(Happening::NoAnswer),
        1 => Just(Happening::Crash(ProcessSlot::Serving)),
        1 => Just(Happening::Crash(ProcessSlot::Successor)),
        2 => Just(Happening::TakeOver),
    ]
}

/// Polls at the end of a play, with nothing going wrong any more.
const CALM: usize = 600;
/// Milliseconds between two of them.
const CALM_INTERVAL: u32 = 250;

/// The same plays every time; another seed is another search.
fn plays() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    }
}

/// The processes of a supervisor.
struct World {
    rig: Rig,
    serving: Option<Program>,
    successor: Option<Program>,
    /// The program that was reported as unfit last.
    unfit: Option<Program>,
}

impl World {
    fn new(policy: RestartPolicy) -> World {
        World {
            rig: Rig::new(policy, PersistentState::default()),
            serving: None,
            successor: None,
            unfit: None,
        }
    }

    /// What the supervisor is told of it; none where it can't happen now.
    fn event(&mut self, happening: &Happening) -> Option<Event> {
        match happening {
            Happening::Status {
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
                None => silent(),
            }),
            Happening::NoAnswer => Some(silent()),
            Happening::Crash(ProcessSlot::Serving) => {
                self.serving.as_ref()?;
                self.serving = self.successor.take();
                Some(exited(ProcessSlot::Serving))
            }
            Happening::Crash(ProcessSlot::Successor) => {
                self.successor.take()?;
                Some(exited(ProcessSlot::Successor))
            }
            Happening::TakeOver => {
                self.serving = Some(self.successor.take()?);
                Some(handed_over())
            }
        }
    }

    /// Never more than two processes, a second one only to take over, and nothing that there is no file of.
    fn carry_out(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Start { program, slot, .. } => {
                prop_assert!(Files.contains(&program));
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
                // Never heard of, to make room for another, or behind one that has taken over.
                prop_assert!(self.event(&Happening::Crash(slot)).is_some());
                self.rig.after(1, exited(slot));
            }
            Action::ReportUnfit { program, .. } => self.unfit = Some(program),
            Action::Log(_) => {}
        }
        Ok(())
    }

    fn step(&mut self, happening: &Happening, ms: u32) -> Result<(), TestCaseError> {
        let Some(event) = self.event(happening) else {
            return Ok(());
        };
        for action in self.rig.after(ms, event) {
            self.carry_out(action)?;
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(plays())]

    #[test]
    fn from_any_state_the_wanted_program_comes_to_serve_or_is_reported_as_unfit(
        steps in proptest::collection::vec((happening(), 0u32..4_000), 0..150),
        cold in any::<bool>(),
        last in 1usize..6,
    ) {
        let policy = RestartPolicy { allow_cold_restart: cold, ..RestartPolicy::default() };
        let mut world = World::new(policy);
        for (happening, ms) in steps {
            world.step(&happening, ms)?;
        }
        let calm = Happening::Status { wanted: last, may_change: true, settled: false };
        for _ in 0..CALM {
            // Left alone, a successor takes over.
            if let Some(event) = world.event(&Happening::TakeOver) {
                world.rig.after(1, event);
            }
            world.step(&calm, CALM_INTERVAL)?;
        }
        let serves = world.serving.clone().expect("one serves");
        let unfit = world.unfit == Some(program(last));
        prop_assert!(serves == program(last) || unfit, "{:?} {:?}", serves, world.unfit);
        prop_assert_eq!(world.rig.supervisor.program(), &serves);
    }
}
