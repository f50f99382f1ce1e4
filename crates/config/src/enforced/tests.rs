use super::{align, changeable, display_key, join, names, Pairs};

fn state(plans: &[(&str, u32)]) -> Pairs {
    let mut s = Pairs::new();
    for (n, (name, rate)) in plans.iter().enumerate() {
        s.insert(format!("contracts.{n}.name"), name.to_string());
        s.insert(format!("contracts.{n}.quota_rate"), rate.to_string());
    }
    s.insert("contracts.count".into(), plans.len().to_string());
    s.insert("grades.count".into(), "0".into());
    s
}

/// Guards against counting open requests and peers' usage for another plan after the order in a file changed.
#[test]
fn names_keep_their_index_when_others_are_added_or_removed() {
    let running = state(&[("a", 1), ("b", 2), ("c", 3)]);
    let next = align(&[&running], &state(&[("d", 4), ("c", 30), ("a", 1)])).unwrap();
    assert_eq!(names(&next, "contracts"), ["a", "", "c", "d"]);
    assert_eq!(
        next["contracts.1.quota_rate"], "1",
        "an unused index has the fields of the first named entry"
    );
    assert_eq!(next["contracts.2.quota_rate"], "30");
    let later = align(&[&next], &state(&[("a", 1), ("c", 30), ("d", 4), ("e", 5)])).unwrap();
    assert_eq!(names(&later, "contracts"), ["a", "e", "c", "d"]);
    let other_order = state(&[("e", 5), ("d", 4), ("c", 30), ("a", 1)]);
    assert_eq!(
        align(&[&later], &other_order).unwrap(),
        later,
        "the order of the wanted state has no effect"
    );
    assert_eq!(
        align(&[&next], &running).unwrap(),
        running,
        "undoing a change restores the state"
    );
}

/// Guards against ingresses that report usage to each other under an index that means another plan at the receiver.
#[test]
fn ingresses_with_different_histories_get_the_same_indexes() {
    let (one, two) = (
        state(&[("a", 1), ("b", 2), ("c", 3)]),
        state(&[("a", 1), ("c", 3), ("b", 2), ("x", 9)]),
    );
    let wanted = state(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    let next = align(&[&one, &two], &wanted).unwrap();
    assert_eq!(next, align(&[&two, &one], &wanted).unwrap());
    let aligned = names(&next, "contracts");
    assert_eq!(
        (&*aligned[0], aligned[1].is_empty(), aligned[2].is_empty()),
        ("a", true, true),
        "{aligned:?}"
    );
    let mut named: Vec<&String> = aligned.iter().filter(|n| !n.is_empty()).collect();
    named.sort();
    assert_eq!(named, ["a", "b", "c", "d"]);
}

#[test]
fn lists_of_more_than_ten_entries_keep_their_order() {
    let names_of: Vec<String> = (0..12).map(|n| format!("p{n}")).collect();
    let list: Vec<(&str, u32)> = names_of.iter().map(|n| n.as_str()).zip(0..).collect();
    let running = state(&list);
    assert_eq!(align(&[&running], &running).unwrap(), running);
}

#[test]
fn fixed_and_unknown_keys_are_rejected_by_name() {
    for key in [
        "n_instances",
        "grades.0.colour",
        "limits.peers",
        "accounts.xyz",
        "contracts.-1.name",
        "tick_us",
    ] {
        let state: Pairs = [(key.to_string(), "1".to_string())].into();
        assert!(
            join(&[], &state).err().is_some_and(|e| e.contains(key)),
            "{key}"
        );
    }
    assert!(changeable("accounts.00000000000004d2") && changeable("rules.cold_us"));
}

#[test]
fn displayed_keys_have_names_instead_of_indexes() {
    let s = state(&[("a", 1)]);
    assert_eq!(
        display_key("contracts.0.quota_rate", &s, &s),
        "plan a quota_rate"
    );
    assert_eq!(
        display_key("accounts.00000000000004d2", &s, &s),
        "account 00000000000004d2"
    );
    assert_eq!(display_key("rules.cold_us", &s, &s), "rules.cold_us");
}
