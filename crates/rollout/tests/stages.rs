//! Which texts are scopes of stages, and which member belongs to which stage.

use std::collections::BTreeMap;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::{assign_stages, StageAssignmentError, StageScope};

fn zone_groups(members: usize) -> BTreeMap<String, String> {
    (0..members)
        .map(|n| (format!("n{n}"), format!("hall-{}", n % 4)))
        .collect()
}

fn sizes(stages: &[Vec<String>]) -> Vec<usize> {
    stages.iter().map(Vec::len).collect()
}

#[test]
fn a_text_that_is_no_scope_is_rejected() {
    for good in ["1", "10%", "hall:hall-a", "all", "0.5%"] {
        assert!(good.parse::<StageScope>().is_ok(), "{good}");
    }
    for bad in ["0", "-1", "0%", "101%", "hall:", "", "some", "nan%"] {
        let error = bad.parse::<StageScope>().unwrap_err().to_string();
        assert!(error.contains("a stage is written"), "{bad}");
    }
}

#[test]
fn scopes_that_reach_nobody_or_not_everybody_are_rejected() {
    let why = |scopes: &[StageScope]| {
        let assigned = assign_stages(&Digest::of(b"x"), scopes, &zone_groups(4));
        assigned.unwrap_err()
    };
    let none = why(&[]);
    assert_eq!(none, StageAssignmentError::StageCount(0));
    assert!(none.to_string().contains("1 to 32"));
    let one = why(&[StageScope::Count(1)]).to_string();
    assert!(one.contains("leaves 3 of 4"), "{one}");
    let empty = why(&[StageScope::ZoneGroup("x".into())]).to_string();
    assert!(empty.contains("nobody stands"), "{empty}");
}

#[test]
fn each_member_has_one_stage_and_zone_groups_take_turns() {
    let scopes = ["1", "10%", "50%", "all"].map(|text| text.parse().unwrap());
    let of = zone_groups(40);
    let stages = assign_stages(&Digest::of(b"x"), &scopes, &of).unwrap();
    assert_eq!(sizes(&stages), [1, 3, 16, 20]);
    let mut all: Vec<&String> = stages.iter().flatten().collect();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 40);
    // Half of each zone group has the new version at 50%.
    for zone_group in ["hall-0", "hall-1", "hall-2", "hall-3"] {
        let updated = stages[..3].iter().flatten();
        let count = updated.filter(|name| of[*name] == zone_group).count();
        assert_eq!(count, 5, "{zone_group}");
    }
}

#[test]
fn an_unavailable_member_comes_last() {
    for unavailable in 0..4 {
        let mut of = zone_groups(4);
        of.insert(format!("n{unavailable}"), String::new());
        let scopes = [StageScope::Count(1), StageScope::Count(3), StageScope::All];
        let stages = assign_stages(&Digest::of(b"x"), &scopes, &of).unwrap();
        assert_eq!(stages[2], [format!("n{unavailable}")]);
    }
}

#[test]
fn scopes_that_reach_nobody_new_are_merged() {
    let scopes = [
        StageScope::Count(1),
        StageScope::Fraction(0.1),
        StageScope::Fraction(0.5),
        StageScope::All,
    ];
    let few = assign_stages(&Digest::of(b"x"), &scopes, &zone_groups(3)).unwrap();
    assert_eq!(sizes(&few), [1, 1, 1]);
    let by_zone_group = [
        StageScope::Count(1),
        StageScope::ZoneGroup("hall-1".into()),
        StageScope::All,
    ];
    let of = zone_groups(8);
    let stages = assign_stages(&Digest::of(b"y"), &by_zone_group, &of).unwrap();
    assert!(stages[1].iter().all(|name| of[name] == "hall-1"));
}
