//! What a keeper does, step by step, and in a world in which anything happens at any time.

use proptest::prelude::{any, prop_assert, prop_assert_eq, prop_oneof, proptest, Just, Strategy};
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;
use wrenfork_compatibility::Program;
use wrenfork_supervisor::{Action, Catalog, Event, Memory, Seen, Tend, Terms, Which};

fn program(n: usize) -> Program {
    Program {
        name: format!("r-{n}"),
        sha256: n.to_string().repeat(64),
    }
}

/// Programs 1 to 4 are there; 4 takes over from nothing, and nothing from it.
struct Files;

impl Catalog for Files {
    fn has(&self, p: &Program) -> bool {
        (1..=4).any(|n| program(n) == *p)
    }

    fn hands_over(&self, old: &Program, new: &Program) -> bool {
        *old != program(4) && *new != program(4)
    }
}

const MS: Duration = Duration::from_millis(1);

fn says(runs: usize, wanted: usize, turn: bool, settled: bool) -> Event {
    let wanted = Some((program(wanted), turn));
    Event::Looked(Seen::Says {
        runs: Some(program(runs)),
        wanted,
        settled,
    })
}

fn silent() -> Event {
    Event::Looked(Seen::Silent)
}

fn ended(which: Which) -> Event {
    Event::Ended(which, "exit status: 1".into())
}

/// A keeper with the time that passes.
struct Rig {
    tend: Tend,
    now: Duration,
}

impl Rig {
    fn new(terms: Terms, memory: Memory) -> Rig {
        Rig {
            tend: Tend::new(terms, memory, program(1), &Files),
            now: Duration::from_secs(100),
        }
    }

    /// What is done besides telling people.
    fn after(&mut self, ms: u32, event: Event) -> Vec<Action> {
        self.now += MS * ms;
        let mut actions = self.tend.step(self.now, event, &Files);
        actions.retain(|a| !matches!(a, Action::Log(_)));
        actions
    }

    /// One that serves program 1.
    fn serving(terms: Terms) -> Rig {
        let mut rig = Rig::new(terms, Memory::default());
        assert_eq!(rig.after(0, silent()), [start(1, false, false)]);
        assert_eq!(rig.after(100, says(1, 1, true, true)), []);
        rig
    }
}

fn start(n: usize, beside: bool, changed: bool) -> Action {
    Action::Start {
        program: program(n),
        beside,
        changed,
    }
}

#[test]
fn a_wanted_program_is_started_beside_the_one_that_serves_at_its_turn() {
    let mut rig = Rig::serving(Terms::default());
    assert_eq!(rig.after(100, says(1, 2, false, false)), [], "not its turn");
    assert_eq!(
        rig.after(100, says(1, 2, true, false)),
        [start(2, true, true)]
    );
    assert_eq!(rig.tend.memory().wanted, Some(program(2)));
    assert!(rig.tend.changing());
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert_eq!(
        rig.after(100, Event::Ended(Which::Serving, "exit status: 0".into())),
        []
    );
    assert!(!rig.tend.changing() && *rig.tend.program() == program(2));
    // While a rollout is under way nothing is proven, however long it serves.
    rig.after(100, says(2, 2, true, false));
    rig.after(100_000, says(2, 2, true, false));
    assert_eq!(rig.tend.memory().proven, None);
    rig.after(100, says(2, 2, true, true));
    assert_eq!(rig.tend.memory().proven, Some(program(2)));
    // A machine begins with it, whatever is wanted.
    let memory = Memory {
        wanted: Some(program(3)),
        ..rig.tend.memory().clone()
    };
    assert_eq!(
        Rig::new(Terms::default(), memory).after(0, silent()),
        [start(2, false, false)]
    );
}

#[test]
fn one_that_does_not_come_into_service_leaves_the_old_one_serving_and_is_told() {
    let mut rig = Rig::serving(Terms::default());
    rig.after(100, says(1, 2, true, false));
    // It is never heard of: the old one is not touched, the new one is ended.
    assert_eq!(rig.after(9_000, says(1, 2, true, false)), []);
    assert_eq!(
        rig.after(2_000, says(1, 2, true, false)),
        [Action::Stop(Which::Next, true)]
    );
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert!(
        matches!(&rig.after(100, ended(Which::Next))[..], [Action::Tell(p, _)] if *p == program(2))
    );
    assert_eq!(rig.tend.memory().failed, Some(program(2)));
    // It is told once more to whoever did not hear it, and not tried again until another one was wanted.
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert!(matches!(
        &rig.after(10_000, says(1, 2, true, false))[..],
        [Action::Tell(..)]
    ));
    assert_eq!(rig.after(100, says(1, 2, true, false)), []);
    assert_eq!(rig.after(100, says(1, 1, true, true)), []);
    assert_eq!(
        rig.after(100, says(1, 2, true, false)),
        [start(2, true, true)]
    );
}

#[test]
fn one_that_has_taken_over_is_not_ended_for_an_old_one_that_hangs() {
    let mut rig = Rig::serving(Terms::default());
    rig.after(100, says(1, 2, true, false));
    assert_eq!(
        rig.after(11_000, says(2, 2, true, false)),
        [Action::Stop(Which::Serving, true)]
    );
    assert_eq!(rig.after(100, ended(Which::Serving)), []);
    assert_eq!(*rig.tend.program(), program(2));
}

#[test]
fn crashes_are_followed_by_growing_pauses_and_an_unproven_program_by_the_proven_one() {
    let mut rig = Rig::serving(Terms::default());
    rig.after(61_000, says(1, 1, true, true));
    assert_eq!(rig.tend.memory().proven, Some(program(1)));
    rig.after(100, says(1, 2, true, true));
    rig.after(100, Event::Ended(Which::Serving, "exit status: 0".into()));
    rig.after(100, says(2, 2, true, false));
    let mut pauses = Vec::new();
    for _ in 0..2 {
        assert_eq!(rig.after(100, ended(Which::Serving)), []);
        let begun = rig.now;
        while rig.after(10, silent()) != [start(2, false, false)] {}
        pauses.push((rig.now - begun).as_millis());
    }
    assert_eq!(pauses, [200, 400]);
    assert_eq!(rig.after(100, ended(Which::Serving)), []);
    assert_eq!(rig.tend.memory().failed, Some(program(2)));
    while rig.after(10, silent()) != [start(1, false, false)] {}
    // The proven one is never given up, with pauses up to the longest.
    for _ in 0..20 {
        assert_eq!(rig.after(10, ended(Which::Serving)), []);
        let begun = rig.now;
        while rig.after(100, silent()) != [start(1, false, false)] {}
        assert!(rig.now - begun <= Terms::default().longest + 100 * MS);
    }
    // What served for long is begun anew at once, as after a first crash.
    rig.after(100, says(1, 1, true, true));
    rig.after(61_000, says(1, 1, true, true));
    rig.after(10, ended(Which::Serving));
    assert_eq!(rig.after(200, silent()), [start(1, false, false)]);
}

#[test]
fn what_can_not_take_over_is_begun_behind_the_old_one_where_that_is_allowed() {
    let told = |actions: &[Action], word: &str| matches!(actions, [Action::Tell(_, why)] if why.contains(word));
    let mut rig = Rig::serving(Terms::default());
    assert!(told(&rig.after(100, says(1, 4, true, false)), "cold"));
    assert_eq!(rig.after(100, says(1, 4, true, false)), []);
    let mut rig = Rig::serving(Terms {
        cold: true,
        ..Terms::default()
    });
    assert_eq!(
        rig.after(100, says(1, 4, true, false)),
        [Action::Stop(Which::Serving, false)]
    );
    assert_eq!(
        rig.after(11_000, silent()),
        [Action::Stop(Which::Serving, true)]
    );
    assert_eq!(rig.after(100, ended(Which::Serving)), []);
    assert_eq!(rig.after(100, silent()), [start(4, false, true)]);
    // A program that there is no file of is told, and what serves goes on.
    let mut rig = Rig::serving(Terms::default());
    assert!(told(&rig.after(100, says(1, 9, true, false)), "digest"));
}

#[test]
fn a_process_that_an_earlier_keeper_had_started_is_gone_on_with() {
    let mut rig = Rig::new(Terms::default(), Memory::default());
    rig.after(0, Event::Found(program(2)));
    assert_eq!(rig.after(100, says(2, 2, true, true)), []);
    assert_eq!(
        rig.after(100, silent()),
        [],
        "one that answered before is not ended for a silence"
    );
    assert_eq!(rig.after(11_000, silent()), []);
    rig.after(100, ended(Which::Serving));
    assert_eq!(rig.after(200, silent()), [start(2, false, false)]);
}

/// What may happen to the processes that a keeper has.
#[derive(Clone, Debug)]
enum Happens {
    Look {
        wanted: usize,
        turn: bool,
        settled: bool,
    },
    SilentLook,
    Dies(Which),
    TakesOver,
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        6 => (1usize..6, any::<bool>(), any::<bool>())
            .prop_map(|(wanted, turn, settled)| Happens::Look { wanted, turn, settled }),
        3 => Just(Happens::SilentLook),
        1 => Just(Happens::Dies(Which::Serving)),
        1 => Just(Happens::Dies(Which::Next)),
        2 => Just(Happens::TakesOver),
    ]
}

/// Looks at the end of a play, with nothing going wrong any more.
const CALM: usize = 600;

/// The same plays every time; another seed is another search.
fn plays() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(plays())]

    /// Never more than two processes, and a second one only to take over; nothing is started that the files don't have; and from
    /// any state it comes to serve what is wanted, or what it has told why not.
    #[test]
    fn whatever_happens_one_serves_in_the_end(
        steps in proptest::collection::vec((happens(), 0u32..4_000), 0..150),
        cold in any::<bool>(),
        last in 1usize..6,
    ) {
        let mut rig = Rig::new(Terms { cold, ..Terms::default() }, Memory::default());
        let (mut serving, mut next): (Option<Program>, Option<Program>) = (None, None);
        let mut refused = None;
        let calm = (0..CALM).map(|_| (Happens::Look { wanted: last, turn: true, settled: false }, 250));
        let steps: Vec<_> = steps.into_iter().chain(calm).collect();
        for (n, (happens, ms)) in steps.iter().enumerate() {
            if steps.len() - n <= CALM && next.is_some() {
                // Left alone, the new one takes over.
                serving = next.take();
                rig.after(1, Event::Ended(Which::Serving, "exit status: 0".into()));
            }
            let event = match happens {
                Happens::Look { wanted, turn, settled } => match &serving {
                    Some(runs) => Event::Looked(Seen::Says {
                        runs: Some(runs.clone()),
                        wanted: Some((program(*wanted), *turn)),
                        settled: *settled,
                    }),
                    None => silent(),
                },
                Happens::SilentLook => silent(),
                Happens::Dies(Which::Serving) if serving.is_some() => {
                    serving = next.take();
                    ended(Which::Serving)
                }
                Happens::Dies(Which::Next) if next.is_some() => {
                    next = None;
                    ended(Which::Next)
                }
                Happens::TakesOver if next.is_some() => {
                    serving = next.take();
                    Event::Ended(Which::Serving, "exit status: 0".into())
                }
                _ => continue,
            };
            for action in rig.after(*ms, event) {
                match action {
                    Action::Start { program, beside, .. } => {
                        prop_assert!(Files.has(&program));
                        prop_assert!(next.is_none() && serving.is_some() == beside, "{}", beside);
                        *(if beside { &mut next } else { &mut serving }) = Some(program);
                    }
                    Action::Stop(Which::Next, _) => {
                        prop_assert!(next.take().is_some());
                        rig.after(1, ended(Which::Next));
                    }
                    Action::Stop(Which::Serving, _) => {
                        // Never heard of, to make room for another, or behind one that has taken over.
                        prop_assert!(serving.is_some());
                        serving = next.take();
                        rig.after(1, ended(Which::Serving));
                    }
                    Action::Tell(p, _) => refused = Some(p),
                    Action::Log(_) => {}
                }
            }
        }
        let serves = serving.clone().expect("one serves");
        prop_assert!(serves == program(last) || refused == Some(program(last)), "{:?} {:?}", serves, refused);
        prop_assert_eq!(rig.tend.program(), &serves);
    }
}
