//! Rollouts of programs, as whoever drives one sees them: turns, starts that are meant and starts that are crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::record::{Phase, Record, Terms, PROGRAM};
use wrenfork_rollout::tally::Tally;
use wrenfork_rollout::watch::{Seen, Watch};

const OLD: &str = "r-1@1111111111111111111111111111111111111111111111111111111111111111";
const NEW: &str = "r-2@2222222222222222222222222222222222222222222222222222222222222222";
const MEMBERS: usize = 6;
/// The decree that is driven.
const NUMBER: u64 = 7;

fn name(n: usize) -> String {
    format!("n{n}")
}

/// Two in the first stage of three.
fn record(terms: Terms) -> Record {
    let stages = vec![
        vec![name(0), name(1)],
        vec![name(2), name(3)],
        vec![name(4), name(5)],
    ];
    let change = [(
        PROGRAM.to_string(),
        (Some(OLD.to_string()), Some(NEW.to_string())),
    )]
    .into();
    Record {
        id: Digest::of(b"plan"),
        author: "ann".into(),
        terms,
        stages,
        changes: vec![change],
        of: (0..MEMBERS).map(|n| (name(n), 0)).collect(),
        phase: Phase::On { stage: 0 },
        why: String::new(),
    }
}

fn terms(away: usize) -> Terms {
    Terms {
        watch_ms: 2_000,
        patience_ms: 60_000,
        pause_ms: 1_000,
        away,
        ..Terms::default()
    }
}

/// A member: its life, what it runs, and how it came to.
fn tally(life: u64, program: &str, changed: bool, began: u64) -> Tally {
    Tally {
        life,
        program: program.into(),
        changed,
        began,
        number: NUMBER,
        hall: "a".into(),
        ..Tally::default()
    }
}

struct World {
    watch: Watch,
    members: BTreeMap<String, Seen>,
    now: Duration,
}

impl World {
    fn new(record: Record) -> World {
        let members = (0..MEMBERS)
            .map(|n| (name(n), Ok(tally(n as u64, OLD, false, 0))))
            .collect();
        World {
            watch: Watch::new(record, NUMBER, Duration::ZERO),
            members,
            now: Duration::ZERO,
        }
    }

    /// A second later: what is to be decided, and whose turn it is.
    fn look(&mut self) -> (Option<Record>, Vec<String>) {
        self.now += Duration::from_secs(1);
        let next = self.watch.look(self.now, &self.members);
        (next, self.watch.turns(&self.members))
    }

    fn set(&mut self, n: usize, seen: Seen) {
        self.members.insert(name(n), seen);
    }

    /// A member has changed to the new program, as is meant.
    fn changes(&mut self, n: usize) {
        self.set(n, Ok(tally(100 + n as u64, NEW, true, NUMBER)));
    }
}

#[test]
fn one_after_the_other_changes_and_the_next_waits_for_it_however_silent_it_is() {
    let mut world = World::new(record(terms(1)));
    assert_eq!(world.look(), (None, vec![name(0)]));
    // It has not heard; then it has, and nobody else is told meanwhile.
    assert_eq!(world.look(), (None, vec![name(0)]));
    world.set(
        0,
        Ok(Tally {
            turn: true,
            ..tally(0, OLD, false, 0)
        }),
    );
    assert_eq!(world.look(), (None, vec![]));
    world.set(0, Err("it does not answer".into()));
    assert_eq!(world.look(), (None, vec![]));
    world.changes(0);
    assert_eq!(world.look(), (None, vec![name(1)]));
    assert_eq!(world.watch.standing().changing, [name(1)]);
    world.changes(1);
    assert_eq!(world.look(), (None, vec![]));
    assert!(world.watch.standing().changing.is_empty());
}

#[test]
fn as_many_as_may_be_away_change_at_once() {
    for away in [0, 1, 2] {
        let mut world = World::new(record(terms(away)));
        assert_eq!(world.look().1.len(), away.max(1));
    }
    // Another driver sees whose turn an earlier one gave.
    let mut world = World::new(record(terms(1)));
    world.set(
        1,
        Ok(Tally {
            turn: true,
            ..tally(1, OLD, false, 0)
        }),
    );
    assert_eq!(world.look(), (None, vec![]));
}

#[test]
fn a_start_that_is_meant_is_no_crash_and_any_other_is() {
    let mut world = World::new(record(terms(1)));
    world.look();
    world.changes(0);
    assert_eq!(world.look().0, None);
    let crashed = |world: &mut World, seen: Tally| {
        world.set(0, Ok(seen));
        let next = world.look().0.expect("it is stopped");
        assert_eq!(next.phase, Phase::Stopped);
        assert!(
            next.why.contains("n0 has the new one and started again"),
            "{}",
            next.why
        );
    };
    // Again, by whoever keeps it.
    crashed(&mut world, tally(200, NEW, false, NUMBER));
    // Another life that says it was meant: the first one was.
    let mut world = World::new(record(terms(1)));
    world.changes(0);
    world.look();
    crashed(&mut world, tally(201, NEW, true, NUMBER));
    // The old program, which was gone back to here alone.
    let mut world = World::new(record(terms(1)));
    world.look();
    crashed(&mut world, tally(202, OLD, false, NUMBER));
}

#[test]
fn a_program_that_does_not_come_into_service_stops_it_at_once() {
    let mut world = World::new(record(terms(1)));
    world.look();
    // One of the old side has nothing to say of it.
    world.set(
        4,
        Ok(Tally {
            unfit: "no file".into(),
            ..tally(4, OLD, false, 0)
        }),
    );
    assert_eq!(world.look().0, None);
    world.set(
        1,
        Ok(Tally {
            unfit: "it never answered".into(),
            ..tally(1, OLD, false, 0)
        }),
    );
    let next = world.look().0.expect("it is stopped");
    assert_eq!(
        (next.phase, next.why.as_str()),
        (Phase::Stopped, "n1: it never answered")
    );
}

#[test]
fn a_step_back_waits_for_those_that_go_back_but_not_for_ever() {
    let back = record(terms(1)).at(Phase::Back { left: 1 }, "worse");
    let mut world = World::new(back.clone());
    for n in 0..4 {
        world.changes(n);
    }
    // The second stage goes back, the first one has the new one still.
    assert_eq!(world.look(), (None, vec![name(2)]));
    world.set(2, Ok(tally(302, OLD, true, NUMBER)));
    assert_eq!(world.look(), (None, vec![name(3)]));
    world.set(3, Ok(tally(303, OLD, true, NUMBER)));
    assert_eq!(world.look().0.expect("the next step").phase, Phase::Stopped);
    let mut world = World::new(back);
    for n in 0..4 {
        world.changes(n);
    }
    let steps = (0..100).filter(|_| world.look().0.is_some()).count();
    assert!(
        steps > 0,
        "one that can't go back must not keep the others from it"
    );
}

#[test]
fn a_stage_is_not_over_before_all_that_answer_run_it() {
    // All members in one stage: it is watched for crashes alone.
    let mut one = record(terms(1));
    one.stages = vec![(0..MEMBERS).map(name).collect()];
    let mut world = World::new(one);
    let mut changed = BTreeSet::new();
    for second in 0..50 {
        let (next, turns) = world.look();
        if let Some(next) = next {
            assert_eq!(
                (next.phase, changed.len()),
                (Phase::Done, MEMBERS),
                "after {second} s"
            );
            return;
        }
        for turn in turns {
            let n: usize = turn[1..].parse().unwrap();
            world.changes(n);
            changed.insert(n);
        }
    }
    panic!("it never ends");
}
