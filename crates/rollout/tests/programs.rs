//! Rollouts of programs, as observed by a controller: turns of members, and telling expected restarts from crashes.

use std::collections::BTreeSet;
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::MemberMetrics;
use wrenfork_rollout::{Observations, StageMonitor, ValueChange};
use wrenfork_rollout::{Rollout, RolloutPhase, RolloutPolicy, PROGRAM_KEY};

const OLD: &str = "r-1@1111111111111111111111111111111111111111111111111111111111111111";
const NEW: &str = "r-2@2222222222222222222222222222222222222222222222222222222222222222";
const MEMBERS: usize = 6;
/// Version of the group state that contains the rollout.
const GROUP_VERSION: u64 = 7;

fn name(n: usize) -> String {
    format!("n{n}")
}

/// A rollout of a new program in three stages of two members each.
fn rollout(policy: RolloutPolicy) -> Rollout {
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
        policy,
        stages,
        changes: vec![change],
        change_of: (0..MEMBERS).map(|n| (name(n), 0)).collect(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    }
}

fn policy(max_unavailable: usize) -> RolloutPolicy {
    RolloutPolicy {
        min_watch_ms: 2_000,
        timeout_ms: 60_000,
        rollback_interval_ms: 1_000,
        max_unavailable,
        ..RolloutPolicy::default()
    }
}

/// Metrics of a member: its process, the program it runs, and how the process was started.
fn metrics(
    incarnation: u64,
    program: &str,
    is_replacement: bool,
    version_at_start: u64,
) -> MemberMetrics {
    MemberMetrics {
        incarnation,
        program: program.into(),
        is_replacement,
        version_at_start,
        group_version: GROUP_VERSION,
        zone_group: "a".into(),
        ..MemberMetrics::default()
    }
}

struct Group {
    monitor: StageMonitor,
    members: Observations,
    now: Duration,
}

impl Group {
    fn new(rollout: Rollout) -> Group {
        let members = (0..MEMBERS)
            .map(|n| (name(n), Some(metrics(n as u64, OLD, false, 0))))
            .collect();
        Group {
            monitor: StageMonitor::new(rollout, GROUP_VERSION, Duration::ZERO),
            members,
            now: Duration::ZERO,
        }
    }

    /// Observes all members one second later. Returns the next state to decide, and the members that get their turn.
    fn observe(&mut self) -> (Option<Rollout>, Vec<String>) {
        self.now += Duration::from_secs(1);
        let next = self.monitor.observe(self.now, &self.members);
        (next, self.monitor.grant_turns(&self.members))
    }

    fn set(&mut self, n: usize, metrics: Option<MemberMetrics>) {
        self.members.insert(name(n), metrics);
    }

    /// A member has changed to the new program as expected.
    fn change_program(&mut self, n: usize) {
        self.set(n, Some(metrics(100 + n as u64, NEW, true, GROUP_VERSION)));
    }
}

#[test]
fn members_change_their_program_one_at_a_time_even_if_one_does_not_respond() {
    let mut group = Group::new(rollout(policy(1)));
    assert_eq!(group.observe(), (None, vec![name(0)]));
    // The first member has not been told yet. Once it has been told, no other member gets a turn.
    assert_eq!(group.observe(), (None, vec![name(0)]));
    group.set(
        0,
        Some(MemberMetrics {
            has_turn: true,
            ..metrics(0, OLD, false, 0)
        }),
    );
    assert_eq!(group.observe(), (None, vec![]));
    group.set(0, None);
    assert_eq!(group.observe(), (None, vec![]));
    group.change_program(0);
    assert_eq!(group.observe(), (None, vec![name(1)]));
    assert_eq!(group.monitor.report().changing, [name(1)]);
    group.change_program(1);
    assert_eq!(group.observe(), (None, vec![]));
    assert!(group.monitor.report().changing.is_empty());
}

#[test]
fn at_most_max_unavailable_members_change_at_once() {
    for max_unavailable in [0, 1, 2] {
        let mut group = Group::new(rollout(policy(max_unavailable)));
        assert_eq!(group.observe().1.len(), max_unavailable.max(1));
    }
    // A new controller finds the turn that an earlier one has granted.
    let mut group = Group::new(rollout(policy(1)));
    group.set(
        1,
        Some(MemberMetrics {
            has_turn: true,
            ..metrics(1, OLD, false, 0)
        }),
    );
    assert_eq!(group.observe(), (None, vec![]));
}

#[test]
fn only_an_expected_start_is_not_a_crash() {
    let mut group = Group::new(rollout(policy(1)));
    group.observe();
    group.change_program(0);
    assert_eq!(group.observe().0, None);
    let crashed = |group: &mut Group, metrics: MemberMetrics| {
        group.set(0, Some(metrics));
        let next = group.observe().0.expect("the rollout must be rolled back");
        assert_eq!(next.phase, RolloutPhase::RolledBack);
        assert!(
            next.reason
                .contains("n0 has the new version and started again"),
            "{}",
            next.reason
        );
    };
    // The new program was started again after a crash.
    crashed(&mut group, metrics(200, NEW, false, GROUP_VERSION));
    // A second new process also reports that it was started as a replacement, but only the first one was expected.
    let mut group = Group::new(rollout(policy(1)));
    group.change_program(0);
    group.observe();
    crashed(&mut group, metrics(201, NEW, true, GROUP_VERSION));
    // The member alone went back to the old program.
    let mut group = Group::new(rollout(policy(1)));
    group.observe();
    crashed(&mut group, metrics(202, OLD, false, GROUP_VERSION));
}

#[test]
fn program_that_fails_to_come_into_service_stops_the_rollout() {
    let mut group = Group::new(rollout(policy(1)));
    group.observe();
    // A failure on a member that keeps the old version does not matter.
    group.set(
        4,
        Some(MemberMetrics {
            unfit_reason: "no file".into(),
            ..metrics(4, OLD, false, 0)
        }),
    );
    assert_eq!(group.observe().0, None);
    group.set(
        1,
        Some(MemberMetrics {
            unfit_reason: "it never responded".into(),
            ..metrics(1, OLD, false, 0)
        }),
    );
    let next = group.observe().0.expect("the rollout must be rolled back");
    assert_eq!(
        (next.phase, next.reason.as_str()),
        (RolloutPhase::RolledBack, "n1: it never responded")
    );
}

#[test]
fn rollback_step_waits_for_members_up_to_the_timeout() {
    let rolling_back =
        rollout(policy(1)).with_phase(RolloutPhase::RollingBack { remaining: 1 }, "worse");
    let mut group = Group::new(rolling_back.clone());
    for n in 0..4 {
        group.change_program(n);
    }
    // The second stage is rolled back while the first one still has the new program.
    assert_eq!(group.observe(), (None, vec![name(2)]));
    group.set(2, Some(metrics(302, OLD, true, GROUP_VERSION)));
    assert_eq!(group.observe(), (None, vec![name(3)]));
    group.set(3, Some(metrics(303, OLD, true, GROUP_VERSION)));
    assert_eq!(
        group
            .observe()
            .0
            .expect("the next rollback step is due")
            .phase,
        RolloutPhase::RolledBack
    );
    let mut group = Group::new(rolling_back);
    for n in 0..4 {
        group.change_program(n);
    }
    let steps = (0..100).filter(|_| group.observe().0.is_some()).count();
    assert!(
        steps > 0,
        "a member that can't go back must not delay the others after the timeout"
    );
}

#[test]
fn stage_ends_only_after_all_responding_members_run_the_program() {
    // All members are in one stage, where only crashes are detected.
    let mut single_stage = rollout(policy(1));
    single_stage.stages = vec![(0..MEMBERS).map(name).collect()];
    let mut group = Group::new(single_stage);
    let mut changed = BTreeSet::new();
    for second in 0..50 {
        let (next, turns) = group.observe();
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
            group.change_program(n);
            changed.insert(n);
        }
    }
    panic!("the stage has not ended after 50 s");
}
