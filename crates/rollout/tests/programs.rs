//! Rollouts of programs, as whoever drives one sees them: turns, starts that are meant and starts that are crashes.

use std::collections::BTreeSet;
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::MemberMetrics;
use wrenfork_rollout::{Observations, StageMonitor, ValueChange};
use wrenfork_rollout::{Rollout, RolloutPhase, RolloutPolicy, PROGRAM_KEY};

const OLD: &str = "r-1@1111111111111111111111111111111111111111111111111111111111111111";
const NEW: &str = "r-2@2222222222222222222222222222222222222222222222222222222222222222";
const MEMBERS: usize = 6;
/// The decree that is driven.
const NUMBER: u64 = 7;

fn name(n: usize) -> String {
    format!("n{n}")
}

/// Two in the first stage of three.
fn record(terms: RolloutPolicy) -> Rollout {
    let stages = vec![
        vec![name(0), name(1)],
        vec![name(2), name(3)],
        vec![name(4), name(5)],
    ];
    let change = [(
        PROGRAM_KEY.to_string(),
        ValueChange {
            old: Some(OLD.to_string()),
            new: Some(NEW.to_string()),
        },
    )]
    .into();
    Rollout {
        id: Digest::of(b"plan"),
        author: "ann".into(),
        policy: terms,
        stages,
        changes: vec![change],
        change_of: (0..MEMBERS).map(|n| (name(n), 0)).collect(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    }
}

fn terms(away: usize) -> RolloutPolicy {
    RolloutPolicy {
        min_watch_ms: 2_000,
        timeout_ms: 60_000,
        rollback_interval_ms: 1_000,
        max_unavailable: away,
        ..RolloutPolicy::default()
    }
}

/// A member: its life, what it runs, and how it came to.
fn tally(incarnation: u64, program: &str, changed: bool, began: u64) -> MemberMetrics {
    MemberMetrics {
        incarnation,
        program: program.into(),
        is_replacement: changed,
        version_at_start: began,
        group_version: NUMBER,
        zone_group: "a".into(),
        ..MemberMetrics::default()
    }
}

struct World {
    watch: StageMonitor,
    members: Observations,
    now: Duration,
}

impl World {
    fn new(record: Rollout) -> World {
        let members = (0..MEMBERS)
            .map(|n| (name(n), Some(tally(n as u64, OLD, false, 0))))
            .collect();
        World {
            watch: StageMonitor::new(record, NUMBER, Duration::ZERO),
            members,
            now: Duration::ZERO,
        }
    }

    /// A second later: what is to be decided, and whose turn it is.
    fn look(&mut self) -> (Option<Rollout>, Vec<String>) {
        self.now += Duration::from_secs(1);
        let next = self.watch.look(self.now, &self.members);
        (next, self.watch.take_turns(&self.members))
    }

    fn set(&mut self, n: usize, seen: Option<MemberMetrics>) {
        self.members.insert(name(n), seen);
    }

    /// A member has changed to the new program, as is meant.
    fn changes(&mut self, n: usize) {
        self.set(n, Some(tally(100 + n as u64, NEW, true, NUMBER)));
    }
}

#[test]
fn members_change_their_program_one_at_a_time_even_if_one_does_not_answer() {
    let mut world = World::new(record(terms(1)));
    assert_eq!(world.look(), (None, vec![name(0)]));
    // It has not heard; then it has, and nobody else is told meanwhile.
    assert_eq!(world.look(), (None, vec![name(0)]));
    world.set(
        0,
        Some(MemberMetrics {
            has_turn: true,
            ..tally(0, OLD, false, 0)
        }),
    );
    assert_eq!(world.look(), (None, vec![]));
    world.set(0, None);
    assert_eq!(world.look(), (None, vec![]));
    world.changes(0);
    assert_eq!(world.look(), (None, vec![name(1)]));
    assert_eq!(world.watch.report().changing, [name(1)]);
    world.changes(1);
    assert_eq!(world.look(), (None, vec![]));
    assert!(world.watch.report().changing.is_empty());
}

#[test]
fn as_many_members_change_at_once_as_may_be_unavailable() {
    for away in [0, 1, 2] {
        let mut world = World::new(record(terms(away)));
        assert_eq!(world.look().1.len(), away.max(1));
    }
    // Another driver sees whose turn an earlier one gave.
    let mut world = World::new(record(terms(1)));
    world.set(
        1,
        Some(MemberMetrics {
            has_turn: true,
            ..tally(1, OLD, false, 0)
        }),
    );
    assert_eq!(world.look(), (None, vec![]));
}

#[test]
fn a_wanted_start_is_no_crash_and_any_other_start_is() {
    let mut world = World::new(record(terms(1)));
    world.look();
    world.changes(0);
    assert_eq!(world.look().0, None);
    let crashed = |world: &mut World, seen: MemberMetrics| {
        world.set(0, Some(seen));
        let next = world.look().0.expect("it is stopped");
        assert_eq!(next.phase, RolloutPhase::RolledBack);
        assert!(
            next.reason.contains("n0 has the new one and started again"),
            "{}",
            next.reason
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
fn a_program_that_does_not_come_into_service_stops_the_rollout_at_once() {
    let mut world = World::new(record(terms(1)));
    world.look();
    // One of the old side has nothing to say of it.
    world.set(
        4,
        Some(MemberMetrics {
            unfit_reason: "no file".into(),
            ..tally(4, OLD, false, 0)
        }),
    );
    assert_eq!(world.look().0, None);
    world.set(
        1,
        Some(MemberMetrics {
            unfit_reason: "it never answered".into(),
            ..tally(1, OLD, false, 0)
        }),
    );
    let next = world.look().0.expect("it is stopped");
    assert_eq!(
        (next.phase, next.reason.as_str()),
        (RolloutPhase::RolledBack, "n1: it never answered")
    );
}

#[test]
fn a_rollback_step_waits_for_members_up_to_the_timeout() {
    let back = record(terms(1)).with_phase(RolloutPhase::RollingBack { remaining: 1 }, "worse");
    let mut world = World::new(back.clone());
    for n in 0..4 {
        world.changes(n);
    }
    // The second stage goes back, the first one has the new one still.
    assert_eq!(world.look(), (None, vec![name(2)]));
    world.set(2, Some(tally(302, OLD, true, NUMBER)));
    assert_eq!(world.look(), (None, vec![name(3)]));
    world.set(3, Some(tally(303, OLD, true, NUMBER)));
    assert_eq!(
        world.look().0.expect("the next step").phase,
        RolloutPhase::RolledBack
    );
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
fn a_stage_ends_only_once_all_members_that_answer_run_the_program() {
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
                (RolloutPhase::Completed, MEMBERS),
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
