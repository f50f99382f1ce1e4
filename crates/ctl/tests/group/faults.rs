//! Changes while a member or the applier fails, at each step of either.

use super::site::{output_of, told, Group, LEASE};
use super::{other, says, three};
use std::thread;
use wrenfork_control_plane::failpoints;
use wrenfork_testbed::links::Fault;
use wrenfork_testbed::service_fixture::{signal, stopped};

/// A fault of the third member.
#[derive(Clone, Copy, Debug, PartialEq)]
enum MemberFault {
    Killed,
    StoppedLong,
    StoppedBriefly,
    Isolated,
    RefusesConnections,
    IsolatedFromApplier,
    OutgoingResponsesLost,
    IncomingResponsesLost,
}

impl MemberFault {
    const ALL: [MemberFault; 8] = [
        MemberFault::Killed,
        MemberFault::StoppedLong,
        MemberFault::StoppedBriefly,
        MemberFault::Isolated,
        MemberFault::RefusesConnections,
        MemberFault::IsolatedFromApplier,
        MemberFault::OutgoingResponsesLost,
        MemberFault::IncomingResponsesLost,
    ];

    fn inject(self, group: &mut Group) {
        let all = ["d0", "d1", "ann"];
        match self {
            MemberFault::Killed => group.kill(2),
            MemberFault::StoppedLong | MemberFault::StoppedBriefly => group.signal(2, "STOP"),
            MemberFault::Isolated => group.links.between(&["d2"], &all, Fault::Dropped),
            MemberFault::RefusesConnections => group.links.between(&["d2"], &all, Fault::Refused),
            MemberFault::IsolatedFromApplier => group.links.set("ann", "d2", Some(Fault::Dropped)),
            MemberFault::OutgoingResponsesLost => all
                .iter()
                .for_each(|a| group.links.set(a, "d2", Some(Fault::OneWay))),
            MemberFault::IncomingResponsesLost => ["d0", "d1"]
                .iter()
                .for_each(|a| group.links.set("d2", a, Some(Fault::OneWay))),
        }
        if self == MemberFault::StoppedBriefly {
            thread::sleep(LEASE * 2 / 3);
            group.signal(2, "CONT");
        }
    }

    fn heal(self, group: &mut Group) {
        match self {
            MemberFault::Killed => group.spawn(2, ""),
            MemberFault::StoppedLong => group.signal(2, "CONT"),
            _ => group.links.heal(),
        }
    }
}

/// Injects each fault of a member while a change is in progress. With `step`, a failpoint, the applier is stopped there meanwhile.
fn change_with_each_fault(step: Option<&str>) {
    let mut group = Group::started(three());
    let load = group.load();
    for fault in MemberFault::ALL {
        let policy = other(group.wants);
        says(&group.plan("ann", policy), 2, &[]);
        let mut apply = group.wrenctl(&["apply", "ann.plan", "--yes"]);
        let output = match step {
            None => {
                fault.inject(&mut group);
                apply.output().unwrap()
            }
            Some(step) => {
                let child = apply
                    .env(failpoints::VARIABLE, format!("{step}:stop"))
                    .spawn()
                    .unwrap();
                group.wait("the applier is stopped", || stopped(child.id()));
                fault.inject(&mut group);
                signal(child.id(), "CONT");
                output_of(child)
            }
        };
        group.note(policy, &output);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{fault:?}: {}\n{}",
            told(&output),
            group.logs()
        );
        // What the others do has been decided; one that is still shut out turns away or has learnt it.
        thread::sleep(LEASE);
        fault.heal(&mut group);
        assert_eq!(group.agreed(), format!("p{policy}"), "{fault:?}");
    }
    group.judged(&load.stop());
}

#[test]
fn a_member_that_fails_before_the_promise() {
    change_with_each_fault(None);
}

#[test]
fn a_member_that_fails_between_promise_and_decision() {
    change_with_each_fault(Some("apply.decided:1"));
}

#[test]
fn a_member_that_fails_between_decision_and_switch() {
    change_with_each_fault(Some("apply.decided:2"));
}

/// Guards against a failpoint that takes effect again in a later proposal of the same process: an applier that lost its first
/// ballot while it was stopped stayed stopped.
#[test]
fn a_stopped_applier_goes_on_after_another_applier_took_a_higher_ballot() {
    let mut group = Group::started(three());
    let policy = other(group.wants);
    says(&group.plan("ann", policy), 2, &[]);
    says(&group.plan("bob", policy), 2, &[]);
    let stopped_apply = group
        .wrenctl(&["apply", "ann.plan", "--yes"])
        .env(failpoints::VARIABLE, "apply.decided:1:stop")
        .spawn()
        .unwrap();
    group.wait("the applier is stopped", || stopped(stopped_apply.id()));
    // The other applier dies after its promises: its ballot is the highest, and nothing was accepted.
    let killed_apply = group
        .wrenctl(&["apply", "bob.plan", "--yes"])
        .env(failpoints::VARIABLE, "apply.decided:1")
        .output()
        .unwrap();
    assert_eq!(killed_apply.status.code(), None, "{}", told(&killed_apply));
    signal(stopped_apply.id(), "CONT");
    let output = output_of(stopped_apply);
    assert_ne!(
        output.status.code(),
        None,
        "stopped again: {}",
        told(&output)
    );
    says(&output, 0, &[]);
    assert_eq!(group.agreed(), format!("p{policy}"));
}

/// A member that dies at any point of its own steps: the others make the change, and it takes it up when it is back.
#[test]
fn a_member_that_dies_at_any_step_takes_up_what_the_others_made() {
    let mut group = Group::started(three());
    let load = group.load();
    for point in failpoints::GROUP_POINTS {
        group.kill(1);
        group.spawn(1, point);
        group.ready(1);
        let policy = other(group.wants);
        let output = group.apply("ann", policy, &[]);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{point}: {}\n{}",
            told(&output),
            group.logs()
        );
        group.gone(1);
        group.spawn(1, "");
        assert_eq!(group.agreed(), format!("p{policy}"), "{point}");
    }
    group.judged(&load.stop());
}

/// The applier dies at each of its steps, with one member down as well, and nobody types anything afterwards: the others
/// settle it, whole.
#[test]
fn an_applier_that_dies_at_any_step_leaves_it_to_the_members() {
    let mut group = Group::started(three());
    let load = group.load();
    let mut points = vec![
        "apply.begun".to_string(),
        "apply.decided:1".into(),
        "apply.decided:2".into(),
    ];
    for n in [1, 2, 4, 7, 10, 13, 16, 20] {
        points.extend([format!("apply.asking:{n}"), format!("apply.answered:{n}")]);
    }
    let (mut made, mut not) = (0, 0);
    for point in points {
        group.kill(2);
        let (was, policy) = (group.wants, other(group.wants));
        says(&group.plan("ann", policy), 2, &["away: desk/d2"]);
        let output = group
            .wrenctl(&["apply", "ann.plan", "--yes"])
            .env(failpoints::VARIABLE, &point)
            .output()
            .unwrap();
        let ended = output.status.code();
        assert!(
            ended.is_none() || ended == Some(0),
            "{point}: {}",
            told(&output)
        );
        group.spawn(2, "");
        let now = group.agreed();
        assert!(
            now == format!("p{policy}") || ended.is_none() && now == format!("p{was}"),
            "{point}: {now}"
        );
        if now == format!("p{policy}") {
            group.note(policy, &output);
            made += 1;
        } else {
            group.want(was);
            not += 1;
        }
    }
    assert!(made >= 3 && not >= 3, "{made} made, {not} not");
    group.judged(&load.stop());
}
