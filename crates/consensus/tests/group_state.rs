//! Tests of policies and of group states with a changed membership.

use std::collections::BTreeMap;
use std::sync::Arc;
use wrenfork_commit::state::{Digest, State};
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::membership::{Member, MemberRole, Membership};

fn state(pairs: &[(&str, &str)]) -> Arc<State> {
    Arc::new(State(
        pairs
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
    ))
}

#[test]
fn joining_member_adds_its_state_without_changing_the_others() {
    let states_of = |names: &[&str]| -> BTreeMap<String, Arc<State>> {
        names
            .iter()
            .map(|n| (n.to_string(), state(&[("k", "1"), ("at", n)])))
            .collect()
    };
    let member = |name: &str| Member {
        name: name.into(),
        replica: 1,
        role: MemberRole::Ingress,
        votes: true,
    };
    let membership = |names: &[&str]| {
        Membership::new(1, 1_500, names.iter().map(|n| member(n)).collect()).unwrap()
    };
    // With a single member, all of its keys are shared keys.
    let single = GroupState::new(
        1,
        4,
        Digest::default(),
        "",
        membership(&["a"]),
        Policy::from_states(&states_of(&["a"])),
    );
    let joined = single.with_membership("ann", membership(&["a", "b"]), states_of(&["b"]));
    assert_eq!(
        (joined.version, joined.generation, joined.check()),
        (2, 4, Ok(()))
    );
    assert!(joined.enforces_same_as(&single) && single.enforces_same_as(&joined));
    assert_eq!(
        joined.enforced_by("b").unwrap().1,
        *state(&[("k", "1"), ("at", "b")])
    );
    let without = joined.with_membership("ann", membership(&["b"]), BTreeMap::new());
    assert!(without.enforced_by("a").is_none() && without.enforces_same_as(&joined));
    assert!(!GroupState::new(
        3,
        4,
        Digest::default(),
        "",
        membership(&["b"]),
        Policy::from_states(&states_of(&["b", "c"]))
    )
    .with_membership(
        "",
        membership(&["b"]),
        [("b".to_string(), state(&[("k", "2")]))].into()
    )
    .enforces_same_as(&joined));
}

#[test]
fn policy_stores_shared_keys_once_and_restores_each_members_state() {
    let states: BTreeMap<String, Arc<State>> = [
        ("a".to_string(), state(&[("k", "1"), ("discovery", "x")])),
        (
            "b".to_string(),
            state(&[("k", "1"), ("discovery", "y"), ("more", "2")]),
        ),
    ]
    .into();
    let policy = Policy::from_states(&states);
    assert_eq!(policy.shared, *state(&[("k", "1")]));
    for (name, expected) in &states {
        assert_eq!(policy.state_for(name).as_ref(), Some(&**expected));
    }
    assert_eq!(policy.state_for("c"), None);
    let mut other = policy.clone();
    other
        .per_member
        .get_mut("a")
        .unwrap()
        .0
        .insert("discovery".into(), "z".into());
    assert_ne!(policy.digest(), other.digest());
    let group_state = GroupState::new(
        3,
        2,
        Digest::of(b"change"),
        "ann",
        Membership::default(),
        policy,
    );
    let altered = GroupState {
        policy: Arc::new(other),
        ..group_state.clone()
    };
    assert!(altered.check().is_err());
    assert_ne!(group_state.digest, group_state.unchanged_successor().digest);
    let text = serde_json::to_string(&group_state).unwrap();
    assert_eq!(
        serde_json::from_str::<GroupState>(&text).unwrap(),
        group_state
    );
}
