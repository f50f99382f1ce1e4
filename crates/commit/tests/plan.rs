//! Plans: what they say, their files and their validity.

use std::collections::BTreeMap;
use std::sync::Arc;
use wrenfork_commit::metrics::PlanUsage;
use wrenfork_commit::plan::{IngressSnapshot, Plan, PlanError, PlanHeader};
use wrenfork_commit::state::{Generation, State};

fn state(pairs: &[(&str, &str)]) -> State {
    State(
        pairs
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
    )
}

fn header(made_at: u64, valid_for: u64) -> PlanHeader {
    PlanHeader {
        author: "ann".into(),
        made_at,
        valid_for,
    }
}

fn plan() -> Plan {
    let has = state(&[
        ("contracts.0.name", "starter"),
        ("contracts.0.quota_rate", "8"),
        ("accounts.7", "business"),
    ]);
    let wanted = state(&[
        ("contracts.0.name", "starter"),
        ("contracts.0.quota_rate", "4"),
    ]);
    let of = |name: &str, number| {
        let base = Generation {
            number,
            digest: has.digest(),
        };
        let used = [(
            "starter".to_string(),
            PlanUsage {
                customers: 1,
                rate: 6.5,
                open_attempts: 2,
            },
        )]
        .into();
        let (has, wanted, control) = (
            Arc::new(has.clone()),
            Arc::new(wanted.clone()),
            format!("/run/{name}"),
        );
        IngressSnapshot {
            ingress: name.into(),
            control,
            base,
            current: has,
            wanted,
            usage: used,
            extra_dangers: Vec::new(),
        }
    };
    Plan::make(header(1_000, 600), vec![of("n0", 4), of("n1", 6)]).unwrap()
}

#[test]
fn a_plan_says_what_differs_and_what_is_dangerous() {
    let p = plan();
    assert_eq!(
        (
            p.generation,
            p.targets.len(),
            p.differences[p.targets[1].differences].len()
        ),
        (7, 2, 2)
    );
    assert_eq!(
        (p.states.len(), p.differences.len()),
        (1, 1),
        "two ingresses that are alike share both"
    );
    let words: Vec<&str> = p
        .dangers
        .iter()
        .map(|d| d.description.split(':').next().unwrap())
        .collect();
    let uses = "a customer on starter uses 6.5 units a second right now, more than the new quota";
    assert_eq!(
        words,
        ["an account goes", uses],
        "each once, not once an ingress"
    );
    let same = state(&[("a", "1")]);
    let base = Generation {
        number: 1,
        digest: same.digest(),
    };
    let seen = IngressSnapshot {
        ingress: "n0".into(),
        control: "/run/n0".into(),
        base,
        current: Arc::new(same.clone()),
        wanted: Arc::new(same),
        usage: BTreeMap::new(),
        extra_dangers: Vec::new(),
    };
    assert_eq!(Plan::make(header(0, 1), vec![seen]), None);
}

/// Guards against a limit that was not there before and passes for harmless, and a part that has the whole's name.
#[test]
fn a_first_limit_is_a_danger_and_a_part_is_another_plan() {
    let base = state(&[
        ("contracts.0.name", "starter"),
        ("contracts.0.max_out", "0"),
    ]);
    let seen = IngressSnapshot {
        ingress: "n0".into(),
        control: "/run/n0".into(),
        base: Generation {
            number: 1,
            digest: base.digest(),
        },
        current: Arc::new(base.clone()),
        wanted: Arc::new(state(&[
            ("contracts.0.name", "starter"),
            ("contracts.0.max_out", "2"),
        ])),
        usage: [(
            "starter".to_string(),
            PlanUsage {
                customers: 1,
                rate: 1.0,
                open_attempts: 5,
            },
        )]
        .into(),
        extra_dangers: Vec::new(),
    };
    let p = Plan::make(header(0, 1), vec![seen]).unwrap();
    assert!(
        p.dangers[0].description.contains("5 attempts out"),
        "{:?}",
        p.dangers
    );
    let part = plan().restricted_to(|t| t.ingress == "n1");
    assert!(part.id() != plan().id() && part.targets.len() == 1 && part.states.len() == 1);
}

#[test]
fn a_file_that_was_altered_is_of_another_version_or_is_old_is_refused() {
    let text = plan().to_file_text();
    assert_eq!(Plan::from_file_text(&text).unwrap(), plan());
    assert_eq!(Plan::from_file_text(&text).unwrap().id(), plan().id());
    for (from, to) in [
        ("\\\"new\\\":\\\"4\\\"", "\\\"new\\\":\\\"9\\\""),
        ("ann", "bob"),
        ("n1", "n2"),
    ] {
        assert!(text.contains(from), "{from} in {text}");
        assert_eq!(
            Plan::from_file_text(&text.replace(from, to)),
            Err(PlanError::Altered)
        );
    }
    let newer = text.replacen("\"version\":1", "\"version\":2", 1);
    assert_eq!(
        Plan::from_file_text(&newer),
        Err(PlanError::UnknownVersion(2))
    );
    for cut in 0..text.len() - 1 {
        if text.is_char_boundary(cut) {
            assert!(Plan::from_file_text(&text[..cut]).is_err(), "cut at {cut}");
        }
    }
    assert_eq!(plan().check_validity(600_001_000), Ok(()));
    assert_eq!(
        plan().check_validity(601_001_000),
        Err(PlanError::Expired {
            age: 601,
            valid_for: 600
        })
    );
}
