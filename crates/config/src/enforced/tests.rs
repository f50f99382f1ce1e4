use super::{align, changeable, join, names, spoken, Pairs};

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

/// Guards against open requests and peers' counts that pass to another plan because a file's order changed.
#[test]
fn a_name_keeps_its_place_whatever_else_comes_and_goes() {
    let running = state(&[("a", 1), ("b", 2), ("c", 3)]);
    let next = align(&[&running], &state(&[("d", 4), ("c", 30), ("a", 1)])).unwrap();
    assert_eq!(names(&next, "contracts"), ["a", "", "c", "d"]);
    assert_eq!(
        next["contracts.1.quota_rate"], "1",
        "a place without a name has the figures of the first"
    );
    assert_eq!(next["contracts.2.quota_rate"], "30");
    let later = align(&[&next], &state(&[("a", 1), ("c", 30), ("d", 4), ("e", 5)])).unwrap();
    assert_eq!(names(&later, "contracts"), ["a", "e", "c", "d"]);
    let other_order = state(&[("e", 5), ("d", 4), ("c", 30), ("a", 1)]);
    assert_eq!(
        align(&[&later], &other_order).unwrap(),
        later,
        "nothing differs"
    );
    assert_eq!(
        align(&[&next], &running).unwrap(),
        running,
        "there and back again is the same state"
    );
}

/// Guards against ingresses that tell each other of a plan by a place that means another one there.
#[test]
fn ingresses_with_other_histories_come_to_the_same_places() {
    let (one, two) = (
        state(&[("a", 1), ("b", 2), ("c", 3)]),
        state(&[("a", 1), ("c", 3), ("b", 2), ("x", 9)]),
    );
    let wanted = state(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    let next = align(&[&one, &two], &wanted).unwrap();
    assert_eq!(next, align(&[&two, &one], &wanted).unwrap());
    let has = names(&next, "contracts");
    assert_eq!(
        (&*has[0], has[1].is_empty(), has[2].is_empty()),
        ("a", true, true),
        "{has:?}"
    );
    let mut named: Vec<&String> = has.iter().filter(|n| !n.is_empty()).collect();
    named.sort();
    assert_eq!(named, ["a", "b", "c", "d"]);
}

#[test]
fn ten_places_and_more_are_not_mixed_up() {
    let names_of: Vec<String> = (0..12).map(|n| format!("p{n}")).collect();
    let list: Vec<(&str, u32)> = names_of.iter().map(|n| n.as_str()).zip(0..).collect();
    let running = state(&list);
    assert_eq!(align(&[&running], &running).unwrap(), running);
}

#[test]
fn what_is_fixed_or_unknown_is_refused_by_its_key() {
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
fn people_read_names_in_place_of_numbers() {
    let s = state(&[("a", 1)]);
    assert_eq!(
        spoken("contracts.0.quota_rate", &s, &s),
        "plan a quota_rate"
    );
    assert_eq!(
        spoken("accounts.00000000000004d2", &s, &s),
        "account 00000000000004d2"
    );
    assert_eq!(spoken("rules.cold_us", &s, &s), "rules.cold_us");
}
