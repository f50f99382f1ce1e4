//! What a rollout says of its members, what is valid, and which state may follow which.

use proptest::prelude::{prop_assert, prop_oneof, proptest, Just, Strategy};
use wrenfork_commit::state::{Digest, State};
use wrenfork_rollout::{
    check_transition, difference, is_same_program, Rollback, Rollout, RolloutPhase, RolloutPolicy,
    ValueChange, Version, PROGRAM_KEY,
};

fn state(pairs: &[(&str, &str)]) -> State {
    State(
        pairs
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
    )
}

fn rollout() -> Rollout {
    let names = |list: &[&str]| list.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let change = difference(
        &state(&[("a", "1"), ("gone", "x")]),
        &state(&[("a", "2"), ("new", "y")]),
    );
    Rollout {
        id: Digest::of(b"plan"),
        author: "ann".into(),
        policy: RolloutPolicy::default(),
        stages: vec![names(&["n0"]), names(&["n1", "n2"]), names(&["n3"])],
        changes: vec![change],
        change_of: ["n0", "n1", "n2", "n3"].map(|n| (n.to_string(), 0)).into(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    }
}

#[test]
fn a_member_gets_the_version_of_its_stage_and_gets_back_what_it_had() {
    let rollout = rollout();
    let old = state(&[("a", "1"), ("gone", "x"), ("k", "v")]);
    let new = state(&[("a", "2"), ("new", "y"), ("k", "v")]);
    let state_of = |name, current, version| rollout.member_state(name, current, version);
    assert_eq!(state_of("n1", &old, Version::New), Ok(new.clone()));
    assert_eq!(state_of("n1", &new, Version::Old), Ok(old.clone()));
    assert_eq!(state_of("n1", &new, Version::New), Ok(new.clone()));
    assert_eq!(state_of("elsewhere", &old, Version::New), Ok(old.clone()));
    let neither = state(&[("a", "3"), ("gone", "x")]);
    let error = state_of("n1", &neither, Version::New).unwrap_err();
    assert!(error.to_string().contains("neither"), "{error}");
}

#[test]
fn the_phase_says_which_members_have_the_new_version() {
    let rollout = rollout();
    let updated = rollout.updated_members();
    assert_eq!(updated.into_iter().collect::<Vec<_>>(), ["n0"]);
    let updated_in = |phase| rollout.with_phase(phase, "").updated_members().len();
    assert_eq!(updated_in(RolloutPhase::RollingBack { remaining: 2 }), 3);
    assert_eq!(updated_in(RolloutPhase::Completed), 4);
    assert_eq!(updated_in(RolloutPhase::RolledBack), 0);
}

#[test]
fn each_version_has_its_own_program() {
    let old = format!("r-1@{}", "1".repeat(64));
    let new = format!("r-2@{}", "2".repeat(64));
    let same = format!("other-name@{}", "2".repeat(64));
    let mut rollout = rollout();
    assert!(!rollout.changes_programs());
    assert!(rollout.expects_program("n0", "") && rollout.expects_program("n0", &new));
    let change = ValueChange {
        old: Some(old.clone()),
        new: Some(new.clone()),
    };
    rollout.changes[0].insert(PROGRAM_KEY.into(), change);
    assert!(rollout.changes_programs());
    assert!(rollout.expects_program("n0", &new) && rollout.expects_program("n0", &same));
    assert!(!rollout.expects_program("n0", &old) && !rollout.expects_program("n0", ""));
    assert!(rollout.expects_program("n1", &old) && !rollout.expects_program("n1", &new));
    assert!(rollout.expects_program("elsewhere", ""));
    let back = rollout.with_phase(RolloutPhase::RolledBack, "");
    assert!(back.expects_program("n0", &old) && !back.expects_program("n0", &new));
    // Nobody said before what was to run.
    let first = ValueChange {
        old: None,
        new: Some(new.clone()),
    };
    rollout.changes[0].insert(PROGRAM_KEY.into(), first);
    assert!(rollout.expects_program("n1", "") && rollout.expects_program("n1", &old));
    assert!(!rollout.expects_program("n0", ""));
    assert!(!is_same_program("", &new) && !is_same_program("a", "b"));
    assert!(is_same_program("a", "a"));
}

#[test]
fn an_invalid_rollout_is_rejected_with_the_reason() {
    let reason = |change: &dyn Fn(&mut Rollout)| {
        let mut rollout = rollout();
        change(&mut rollout);
        rollout.validate().unwrap_err().to_string()
    };
    assert_eq!(rollout().validate(), Ok(()));
    assert!(reason(&|r| r.stages.clear()).contains("1 to 32"));
    assert!(reason(&|r| r.stages[1].clear()).contains("no member"));
    assert!(reason(&|r| r.stages[1].push("n0".into())).contains("two stages"));
    assert!(reason(&|r| r.change_of.extend([("n9".to_string(), 0)])).contains("n9"));
    let beyond = RolloutPhase::Active { stage: 3 };
    assert!(reason(&|r| r.phase = beyond.clone()).contains("does not have"));
    assert!(reason(&|r| r.policy.min_watch_ms = 0).contains("1 s to a day"));
    assert!(reason(&|r| r.policy.timeout_ms = 0).contains("patience"));
    assert!(reason(&|r| r.policy.regression_ppm = 0).contains("worse"));
    assert!(reason(&|r| r.policy.false_alarm_ppm = 0).contains("error"));
}

/// Why one may not follow the other; none where it may.
fn rejection(before: &Rollout, after: Option<&Rollout>) -> Option<String> {
    let checked = check_transition(Some(before), after);
    checked.err().map(|error| error.to_string())
}

fn is_allowed(before: &Rollout, after: &Rollout) -> bool {
    rejection(before, Some(after)).is_none()
}

#[test]
fn stages_follow_each_other_and_none_begins_after_a_stop() {
    let first = rollout();
    let active = |stage| first.with_phase(RolloutPhase::Active { stage }, "");
    let in_phase = |phase| first.with_phase(phase, "");
    assert_eq!(check_transition(None, Some(&first)), Ok(()));
    assert_eq!(check_transition(None, None), Ok(()));
    let second = check_transition(None, Some(&active(1)));
    assert!(second.is_err(), "it begins with its first stage");
    assert!(is_allowed(&active(0), &active(1)));
    assert!(!is_allowed(&active(0), &active(2)) && !is_allowed(&active(1), &active(0)));
    assert!(is_allowed(&active(2), &in_phase(RolloutPhase::Completed)));
    assert!(!is_allowed(&active(1), &in_phase(RolloutPhase::Completed)));
    assert!(!is_allowed(&in_phase(RolloutPhase::RolledBack), &active(1)));
    let back = in_phase(RolloutPhase::RollingBack { remaining: 1 });
    assert!(!is_allowed(&back, &active(1)));
    assert!(
        is_allowed(&first, &first),
        "something else is decided meanwhile"
    );
}

#[test]
fn there_is_one_rollout_at_a_time_and_it_stays_as_it_was_begun() {
    let first = rollout();
    let left_out = rejection(&first, None).unwrap();
    assert!(left_out.contains("knows nothing"), "{left_out}");
    let other = Rollout {
        id: Digest::of(b"other"),
        author: "bob".into(),
        ..first.clone()
    };
    let second = rejection(&first, Some(&other)).unwrap();
    assert!(second.contains("by ann is under way"), "{second}");
    let stopped = first.with_phase(RolloutPhase::RolledBack, "worse");
    assert!(is_allowed(&stopped, &other));
    assert_eq!(rejection(&stopped, None), None);
    let altered = Rollout {
        stages: vec![["n0", "n1", "n2", "n3"].map(String::from).into()],
        ..first.clone()
    };
    let changed = rejection(&first, Some(&altered)).unwrap();
    assert!(changed.contains("stays as it was begun"), "{changed}");
}

#[test]
fn a_rollback_is_stepwise_or_immediate() {
    let rolled_back = |stage, how| {
        let active = rollout().with_phase(RolloutPhase::Active { stage }, "");
        active.roll_back(how, "").phase
    };
    let two_left = RolloutPhase::RollingBack { remaining: 2 };
    assert_eq!(rolled_back(2, Rollback::Stepwise), two_left);
    assert_eq!(
        rolled_back(2, Rollback::Immediate),
        RolloutPhase::RolledBack
    );
    assert_eq!(rolled_back(0, Rollback::Stepwise), RolloutPhase::RolledBack);
}

fn any_phase() -> impl Strategy<Value = RolloutPhase> {
    prop_oneof![
        (0usize..4).prop_map(|stage| RolloutPhase::Active { stage }),
        (0usize..4).prop_map(|stage| RolloutPhase::Paused { stage }),
        (0usize..4).prop_map(|remaining| RolloutPhase::RollingBack { remaining }),
        Just(RolloutPhase::RolledBack),
        Just(RolloutPhase::Completed),
    ]
}

proptest! {
    /// Whoever wants what, in whatever order: once a step back was taken, nobody gets the new version any more; one stage at
    /// a time; and what has ended stays so.
    #[test]
    fn no_stage_is_left_out_and_none_begins_after_a_stop(
        phases in proptest::collection::vec(any_phase(), 0..60),
    ) {
        let mut current = rollout();
        let mut is_rolling_back = false;
        for phase in phases {
            let next = current.with_phase(phase, "");
            if next == current || !is_allowed(&current, &next) {
                continue;
            }
            let (before, after) = (current.updated_stages(), next.updated_stages());
            prop_assert!(after <= before + 1);
            prop_assert!(!is_rolling_back || after < before);
            is_rolling_back |= matches!(
                next.phase,
                RolloutPhase::RollingBack { .. } | RolloutPhase::RolledBack
            );
            prop_assert!(!current.phase.ended());
            current = next;
            if current.phase.ended() {
                break;
            }
        }
    }
}
