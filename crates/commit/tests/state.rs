//! States: their canonical form and their differences.

use wrenfork_commit::state::{differences, State};

fn state(pairs: &[(&str, &str)]) -> State {
    State(
        pairs
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
    )
}

/// Guards against two states with the same digest: a value may look like the start of another line.
#[test]
fn different_states_have_different_canonical_forms() {
    let states = [
        state(&[]),
        state(&[("a", "1")]),
        state(&[("a", "1\n1 1 b=2")]),
        state(&[("a", "1"), ("b", "2")]),
        state(&[("a=1", "")]),
        state(&[("a", "=1")]),
    ];
    for (index, state) in states.iter().enumerate() {
        for other in &states[index + 1..] {
            assert_ne!(state.digest(), other.digest(), "{state:?} {other:?}");
        }
    }
    assert_eq!(states[0].digest().0.len(), 64);
}

#[test]
fn differences_list_removed_changed_and_added_keys() {
    let (old, new) = (
        state(&[("a", "1"), ("b", "2"), ("c", "3")]),
        state(&[("b", "2"), ("c", "4"), ("d", "5")]),
    );
    let found = differences(&old, &new);
    let descriptions: Vec<String> = found
        .iter()
        .map(|d| format!("{} {:?} {:?}", d.key, d.old, d.new))
        .collect();
    assert_eq!(
        descriptions,
        [
            r#"a Some("1") None"#,
            r#"c Some("3") Some("4")"#,
            r#"d None Some("5")"#
        ]
    );
    assert_eq!(differences(&new, &new), []);
}

#[test]
fn difference_counts_accounts_on_the_changed_plan() {
    let plan = |rate: &str| {
        let pairs = [
            ("contracts.0.name", "starter"),
            ("contracts.0.quota_rate", rate),
            ("accounts.1", "starter"),
        ];
        state(
            &[
                &pairs[..],
                &[("accounts.2", "starter"), ("accounts.3", "business")],
            ]
            .concat(),
        )
    };
    let found = differences(&plan("8"), &plan("4"));
    assert_eq!((found.len(), found[0].accounts), (1, 2));
}
