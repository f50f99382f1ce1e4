//! Parsing of stage scopes, and assignment of members to stages.

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
fn valid_scopes_are_parsed_and_invalid_ones_are_rejected() {
    for valid in ["1", "10%", "hall:hall-a", "all", "0.5%"] {
        assert!(valid.parse::<StageScope>().is_ok(), "{valid}");
    }
    for invalid in ["0", "-1", "0%", "101%", "hall:", "", "some", "nan%"] {
        let error = invalid.parse::<StageScope>().unwrap_err().to_string();
        assert!(error.contains("a stage is written"), "{invalid}");
    }
}

#[test]
fn scopes_without_members_or_that_leave_members_out_are_rejected() {
    let error = |scopes: &[StageScope]| {
        let assigned = assign_stages(&Digest::of(b"x"), scopes, &zone_groups(4));
        assigned.unwrap_err()
    };
    let no_stages = error(&[]);
    assert_eq!(no_stages, StageAssignmentError::StageCount(0));
    assert!(no_stages.to_string().contains("1 to 32"));
    let left_out = error(&[StageScope::Count(1)]).to_string();
    assert!(left_out.contains("leave out 3 of 4"), "{left_out}");
    let empty = error(&[StageScope::ZoneGroup("x".into())]).to_string();
    assert!(empty.contains("hall x has no members"), "{empty}");
}

#[test]
fn each_member_has_one_stage_and_stages_are_spread_over_zone_groups() {
    let scopes = ["1", "10%", "50%", "all"].map(|text| text.parse().unwrap());
    let zone_group_of = zone_groups(40);
    let stages = assign_stages(&Digest::of(b"x"), &scopes, &zone_group_of).unwrap();
    assert_eq!(sizes(&stages), [1, 3, 16, 20]);
    let mut all: Vec<&String> = stages.iter().flatten().collect();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 40);
    // Half of each zone group has the new version at 50%.
    for zone_group in ["hall-0", "hall-1", "hall-2", "hall-3"] {
        let updated = stages[..3].iter().flatten();
        let count = updated
            .filter(|name| zone_group_of[*name] == zone_group)
            .count();
        assert_eq!(count, 5, "{zone_group}");
    }
}

#[test]
fn unavailable_member_is_updated_last() {
    for unavailable in 0..4 {
        let mut zone_group_of = zone_groups(4);
        zone_group_of.insert(format!("n{unavailable}"), String::new());
        let scopes = [StageScope::Count(1), StageScope::Count(3), StageScope::All];
        let stages = assign_stages(&Digest::of(b"x"), &scopes, &zone_group_of).unwrap();
        assert_eq!(stages[2], [format!("n{unavailable}")]);
    }
}

#[test]
fn stages_without_additional_members_are_dropped() {
    let scopes = [
        StageScope::Count(1),
        StageScope::Fraction(0.1),
        StageScope::Fraction(0.5),
        StageScope::All,
    ];
    let stages = assign_stages(&Digest::of(b"x"), &scopes, &zone_groups(3)).unwrap();
    assert_eq!(sizes(&stages), [1, 1, 1]);
    let by_zone_group = [
        StageScope::Count(1),
        StageScope::ZoneGroup("hall-1".into()),
        StageScope::All,
    ];
    let zone_group_of = zone_groups(8);
    let stages = assign_stages(&Digest::of(b"y"), &by_zone_group, &zone_group_of).unwrap();
    assert!(stages[1].iter().all(|name| zone_group_of[name] == "hall-1"));
}
