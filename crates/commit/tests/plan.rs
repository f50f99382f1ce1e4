//! Plans: their content, their files and their validity.

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
    let current = state(&[
        ("contracts.0.name", "starter"),
        ("contracts.0.quota_rate", "8"),
        ("accounts.7", "business"),
    ]);
    let wanted = state(&[
        ("contracts.0.name", "starter"),
        ("contracts.0.quota_rate", "4"),
    ]);
    let snapshot = |name: &str, number| {
        let base = Generation {
            number,
            digest: current.digest(),
        };
        let usage = [(
            "starter".to_string(),
            PlanUsage {
                customers: 1,
                rate: 6.5,
                open_attempts: 2,
            },
        )]
        .into();
        let (current, wanted, control) = (
            Arc::new(current.clone()),
            Arc::new(wanted.clone()),
            format!("/run/{name}"),
        );
        IngressSnapshot {
            ingress: name.into(),
            control,
            base,
            current,
            wanted,
            usage,
            extra_dangers: Vec::new(),
        }
    };
    Plan::make(
        header(1_000, 600),
        vec![snapshot("n0", 4), snapshot("n1", 6)],
    )
    .unwrap()
}

#[test]
fn plan_lists_each_difference_and_danger_once() {
    let plan = plan();
    assert_eq!(
        (
            plan.generation,
            plan.targets.len(),
            plan.differences[plan.targets[1].differences].len()
        ),
        (7, 2, 2)
    );
    assert_eq!(
        (plan.states.len(), plan.differences.len()),
        (1, 1),
        "ingresses with the same states share one entry of each"
    );
    let descriptions: Vec<&str> = plan
        .dangers
        .iter()
        .map(|d| d.description.split(':').next().unwrap())
        .collect();
    let quota_danger =
        "a customer on starter uses 6.5 units a second right now, more than the new quota";
    assert_eq!(
        descriptions,
        ["the account is removed", quota_danger],
        "each danger is listed once, not once per ingress"
    );
    let unchanged = state(&[("a", "1")]);
    let base = Generation {
        number: 1,
        digest: unchanged.digest(),
    };
    let snapshot = IngressSnapshot {
        ingress: "n0".into(),
        control: "/run/n0".into(),
        base,
        current: Arc::new(unchanged.clone()),
        wanted: Arc::new(unchanged),
        usage: BTreeMap::new(),
        extra_dangers: Vec::new(),
    };
    assert_eq!(Plan::make(header(0, 1), vec![snapshot]), None);
}

/// Guards against a newly introduced limit being reported as harmless, and against a restricted plan keeping the identity of the
/// whole plan.
#[test]
fn new_limit_is_a_danger_and_restricted_plan_has_its_own_identity() {
    let base = state(&[
        ("contracts.0.name", "starter"),
        ("contracts.0.max_out", "0"),
    ]);
    let snapshot = IngressSnapshot {
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
    let plan_with_limit = Plan::make(header(0, 1), vec![snapshot]).unwrap();
    assert!(
        plan_with_limit.dangers[0]
            .description
            .contains("5 open attempts"),
        "{:?}",
        plan_with_limit.dangers
    );
    let restricted = plan().restricted_to(|t| t.ingress == "n1");
    assert!(
        restricted.id() != plan().id()
            && restricted.targets.len() == 1
            && restricted.states.len() == 1
    );
}

#[test]
fn modified_truncated_unsupported_or_expired_plan_file_is_rejected() {
    let text = plan().to_file_text();
    assert_eq!(Plan::from_file_text(&text).unwrap(), plan());
    assert_eq!(Plan::from_file_text(&text).unwrap().id(), plan().id());
    for (original, modified) in [
        ("\\\"new\\\":\\\"4\\\"", "\\\"new\\\":\\\"9\\\""),
        ("ann", "bob"),
        ("n1", "n2"),
    ] {
        assert!(text.contains(original), "{original} is not in {text}");
        assert_eq!(
            Plan::from_file_text(&text.replace(original, modified)),
            Err(PlanError::ChecksumMismatch)
        );
    }
    let newer = text.replacen("\"version\":1", "\"version\":2", 1);
    assert_eq!(
        Plan::from_file_text(&newer),
        Err(PlanError::UnsupportedVersion(2))
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
