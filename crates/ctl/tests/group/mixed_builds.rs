//! Another build of the program beside this one: members of one group, each taking over from the other.
//!
//! `WRENFORK_BEFORE=/path/to/another/wrenfork cargo test -p wrenctl --test group mixed_builds -- --ignored`

use crate::programs::{alone, kept};
use crate::says;
use crate::site::{Got, Group, BEFORE};
use wrenfork_rollout::RolloutPhase;

/// This build, by its word among the odd versions.
const THIS: &str = "equal";

/// Rolls a program through the group, with one member ahead of the others for the time of a stage.
fn change_program(group: &mut Group, to: usize, version: &str) {
    let started = group.roll_program("ann", to, "[\"1\", \"all\"]", "");
    says(
        &started,
        0,
        &["made: stage 1", "can hand over to its successor"],
    );
    group.wait("one member runs the other build", || {
        group.running(version) > 0
    });
    assert!(
        group.running(version) < group.at.len(),
        "both builds serve side by side"
    );
    group.until("the end", |phase| *phase == RolloutPhase::Completed);
    group.all_run(version);
}

#[test]
#[ignore = "needs the program of another build, see above"]
fn two_builds_serve_in_one_group_and_take_over_from_each_other_without_losing_a_request() {
    let _alone = alone();
    let mut group = Group::started(kept(&[BEFORE, THIS]));
    group.all_run(BEFORE);
    let load = group.load();
    change_program(&mut group, 1, THIS);
    assert_eq!(group.agreed(), "p0");
    change_program(&mut group, 0, BEFORE);
    assert_eq!(group.agreed(), "p0");
    let answers = load.stop();
    let wrong: Vec<_> = answers
        .iter()
        .filter(|(_, got)| !matches!(got, Got::Policy(_)))
        .take(5)
        .collect();
    assert!(
        wrong.is_empty() && answers.len() > 1_000,
        "{wrong:?} of {}\n{}",
        answers.len(),
        group.logs()
    );
}

/// A group under load makes a change with one build, goes over to the other, and makes a second change with that.
fn changes_outlive_the_build(versions: &[&'static str], next: &str) {
    let _alone = alone();
    let mut group = Group::started(kept(versions));
    // A stage is judged by requests; none is known to be good without them.
    let load = group.load();
    group.made(1);
    change_program(&mut group, 1, next);
    assert_eq!(group.agreed(), "p1");
    group.made(2);
    assert_eq!(group.agreed(), "p2");
    drop(load.stop());
}

#[test]
#[ignore = "needs the program of another build, see above"]
fn a_state_folder_of_another_build_is_opened_by_this_one() {
    changes_outlive_the_build(&[BEFORE, THIS], THIS);
}

#[test]
#[ignore = "needs the program of another build, see above"]
fn a_state_folder_of_this_build_is_opened_by_another_one() {
    changes_outlive_the_build(&[THIS, BEFORE], BEFORE);
}
