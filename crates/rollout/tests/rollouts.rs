//! The expected versions of a rollout's members, validation, and transitions between states.

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
fn member_state_can_be_updated_and_rolled_back() {
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
fn phase_determines_which_members_have_the_new_version() {
    let rollout = rollout();
    let updated = rollout.updated_members();
    assert_eq!(updated.into_iter().collect::<Vec<_>>(), ["n0"]);
    let updated_in = |phase| rollout.with_phase(phase, "").updated_members().len();
    assert_eq!(updated_in(RolloutPhase::RollingBack { remaining: 2 }), 3);
    assert_eq!(updated_in(RolloutPhase::Completed), 4);
    assert_eq!(updated_in(RolloutPhase::RolledBack), 0);
}

#[test]
fn expected_program_depends_on_the_version() {
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
    let rolled_back = rollout.with_phase(RolloutPhase::RolledBack, "");
    assert!(rolled_back.expects_program("n0", &old) && !rolled_back.expects_program("n0", &new));
    // The old state does not name a program, so any program is accepted before the update.
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
fn invalid_rollout_is_rejected_with_the_reason() {
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

/// Returns why the transition is rejected; none if it is allowed.
fn rejection(before: &Rollout, after: Option<&Rollout>) -> Option<String> {
    let checked = check_transition(Some(before), after);
    checked.err().map(|error| error.to_string())
}

fn is_allowed(before: &Rollout, after: &Rollout) -> bool {
    rejection(before, Some(after)).is_none()
}

#[test]
fn stages_advance_in_order_and_none_begins_after_a_stop() {
    let first = rollout();
    let active = |stage| first.with_phase(RolloutPhase::Active { stage }, "");
    let in_phase = |phase| first.with_phase(phase, "");
    assert_eq!(check_transition(None, Some(&first)), Ok(()));
    assert_eq!(check_transition(None, None), Ok(()));
    let second = check_transition(None, Some(&active(1)));
    assert!(second.is_err(), "a rollout must begin with its first stage");
    assert!(is_allowed(&active(0), &active(1)));
    assert!(!is_allowed(&active(0), &active(2)) && !is_allowed(&active(1), &active(0)));
    assert!(is_allowed(&active(2), &in_phase(RolloutPhase::Completed)));
    assert!(!is_allowed(&active(1), &in_phase(RolloutPhase::Completed)));
    assert!(!is_allowed(&in_phase(RolloutPhase::RolledBack), &active(1)));
    let rolling_back = in_phase(RolloutPhase::RollingBack { remaining: 1 });
    assert!(!is_allowed(&rolling_back, &active(1)));
    assert!(
        is_allowed(&first, &first),
        "the group state may change without a change of the rollout"
    );
}

#[test]
fn active_rollout_cannot_be_replaced_omitted_or_modified() {
    let first = rollout();
    let left_out = rejection(&first, None).unwrap();
    assert!(left_out.contains("omits it"), "{left_out}");
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
    let modified = Rollout {
        stages: vec![["n0", "n1", "n2", "n3"].map(String::from).into()],
        ..first.clone()
    };
    let error = rejection(&first, Some(&modified)).unwrap();
    assert!(error.contains("can't be modified"), "{error}");
}

#[test]
fn rollback_is_stepwise_or_immediate() {
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
    /// For any sequence of requested phases: no member gets the new version after the first rollback step, stages advance one at
    /// a time, and a final phase never changes.
    #[test]
    fn no_stage_is_skipped_and_none_begins_after_a_stop(
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
