//! Compares every stored and sent format of this package byte for byte with the files in `golden/`. The members of a group store
//! rollouts and send each other metrics, and the digest of the group state covers the `Debug` output of a rollout, so the
//! names and the order of fields must not change by accident.
//!
//! The files are only rewritten by hand: `cargo test -p wrenfork-rollout --test golden -- --ignored`.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::{
    assign_stages, LatencyBucket, MemberMetrics, RequestCounts, Rollout, RolloutPhase,
    RolloutPolicy, SequentialTest, StageScope, ValueChange,
};

fn golden_path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn read_golden(name: &str) -> String {
    fs::read_to_string(golden_path(name)).unwrap()
}

fn rollout(phase: RolloutPhase, reason: &str) -> Rollout {
    let text = |value: &str| Some(value.to_string());
    let change = |old, new| ValueChange { old, new };
    let first_change = [
        ("added".to_string(), change(None, text("new"))),
        ("changed".to_string(), change(text("old"), text("new"))),
        ("removed".to_string(), change(text("old"), None)),
    ];
    let second_change = [(
        "program".to_string(),
        change(text("r-1@11"), text("r-2 \"x\"@22")),
    )];
    Rollout {
        id: Digest("0123abcd".into()),
        author: "ann \"the first\"".into(),
        policy: RolloutPolicy {
            min_watch_ms: 61_000,
            timeout_ms: 601_000,
            rollback_interval_ms: 2_001,
            max_unavailable: 3,
            regression_ppm: 20_001,
            false_alarm_ppm: 10_001,
        },
        stages: vec![vec!["n0".into()], vec!["n1".into(), "n2".into()]],
        changes: vec![first_change.into(), second_change.into()],
        change_of: [("n0", 0), ("n1", 1), ("n2", 0)]
            .map(|(member, change_index)| (member.to_string(), change_index))
            .into(),
        phase,
        reason: reason.into(),
    }
}

fn rollouts() -> Vec<Rollout> {
    vec![
        rollout(RolloutPhase::Active { stage: 0 }, ""),
        rollout(RolloutPhase::Paused { stage: 1 }, "not known to be good"),
        rollout(RolloutPhase::RollingBack { remaining: 1 }, "worse"),
        rollout(RolloutPhase::RolledBack, "asked for by bob"),
        rollout(RolloutPhase::Completed, ""),
    ]
}

fn member_metrics() -> Vec<MemberMetrics> {
    let counts = RequestCounts {
        weight: 2_000,
        total: 41,
        rejected: 3,
        failed: 2,
    };
    let buckets = [(1_000, 36), (2_000, 1)].map(LatencyBucket::from);
    let full = MemberMetrics {
        incarnation: 0xfeed_beef_0123_4567,
        uptime_ms: 12_345,
        group_version: 9,
        version_at_start: 8,
        program: "r-1@11".into(),
        is_replacement: true,
        has_turn: true,
        unfit_reason: "it did not come into service".into(),
        zone_group: "hall-a".into(),
        cpu_us: 987_654,
        memory_kb: 65_536,
        requests: [("quote/starter".to_string(), counts)].into(),
        latencies: [("quote".to_string(), buckets.to_vec())].into(),
    };
    vec![full, MemberMetrics::default()]
}

fn sequential_test() -> SequentialTest {
    let mut test = SequentialTest::default();
    for difference in [0.25, -0.125, 0.5] {
        test.add(difference);
    }
    test
}

/// Stages assigned from a fixed rollout identity. The assignment depends on the `Debug` output of that identity.
fn assigned_stages() -> Vec<Vec<String>> {
    let zone_groups: BTreeMap<String, String> = (0..12)
        .map(|n| (format!("n{n}"), format!("hall-{}", n % 3)))
        .collect();
    let scopes = [
        StageScope::Count(1),
        StageScope::Fraction(0.25),
        StageScope::ZoneGroup("hall-1".into()),
        StageScope::All,
    ];
    assign_stages(&Digest::of(b"golden"), &scopes, &zone_groups).unwrap()
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap() + "\n"
}

fn golden_files() -> Vec<(&'static str, String)> {
    let debug: String = rollouts().iter().map(|r| format!("{r:?}\n")).collect();
    let displayed: String = rollouts()
        .iter()
        .map(|r| format!("{}\n", r.phase))
        .collect();
    vec![
        ("records.json", json(&rollouts())),
        ("records.debug.txt", debug),
        ("phases.txt", displayed),
        ("terms.json", json(&RolloutPolicy::default())),
        ("tallies.json", json(&member_metrics())),
        ("evidence.json", json(&sequential_test())),
        ("stages.json", json(&assigned_stages())),
    ]
}

fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    expected: &T,
) {
    let text = read_golden(name);
    let value: T = serde_json::from_str(&text).unwrap();
    assert_eq!(&value, expected, "{name}");
    assert_eq!(json(&value), text, "{name}");
}

#[test]
fn every_format_matches_its_golden_file() {
    for (name, text) in golden_files() {
        assert_eq!(text, read_golden(name), "{name}");
    }
}

#[test]
fn golden_files_round_trip_to_the_same_bytes() {
    assert_round_trip("records.json", &rollouts());
    assert_round_trip("terms.json", &RolloutPolicy::default());
    assert_round_trip("tallies.json", &member_metrics());
    assert_round_trip("evidence.json", &sequential_test());
}

#[test]
fn missing_metrics_fields_get_default_values() {
    let metrics: MemberMetrics = serde_json::from_str("{}").unwrap();
    assert_eq!(metrics, MemberMetrics::default());
}

#[test]
#[ignore = "writes the golden files; run it by hand when a format changes on purpose"]
fn write_the_golden_files() {
    for (name, text) in golden_files() {
        fs::write(golden_path(name), text).unwrap();
    }
}
