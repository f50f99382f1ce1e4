//! The stored and sent forms of this package, byte for byte. A group's members keep a record and send each other tallies, and
//! the digest of what they decide covers a record's `Debug` form, so neither names nor order may change unnoticed.
//!
//! The files in `golden/` are written by hand alone: `cargo test -p wrenfork-rollout --test golden -- --ignored`.

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

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn golden(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap()
}

fn record(phase: RolloutPhase, why: &str) -> Rollout {
    let text = |value: &str| Some(value.to_string());
    let change = |old, new| ValueChange { old, new };
    let changed = [
        ("added".to_string(), change(None, text("new"))),
        ("changed".to_string(), change(text("old"), text("new"))),
        ("removed".to_string(), change(text("old"), None)),
    ];
    let other = [(
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
        changes: vec![changed.into(), other.into()],
        change_of: [("n0", 0), ("n1", 1), ("n2", 0)]
            .map(|(name, change)| (name.to_string(), change))
            .into(),
        phase,
        reason: why.into(),
    }
}

fn records() -> Vec<Rollout> {
    vec![
        record(RolloutPhase::Active { stage: 0 }, ""),
        record(RolloutPhase::Paused { stage: 1 }, "not known to be good"),
        record(RolloutPhase::RollingBack { remaining: 1 }, "worse"),
        record(RolloutPhase::RolledBack, "asked for by bob"),
        record(RolloutPhase::Completed, ""),
    ]
}

fn tallies() -> Vec<MemberMetrics> {
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

fn evidence() -> SequentialTest {
    let mut evidence = SequentialTest::default();
    for difference in [0.25, -0.125, 0.5] {
        evidence.add(difference);
    }
    evidence
}

/// Which member has which stage rests on how an identity is written in the lots.
fn assigned() -> Vec<Vec<String>> {
    let halls: BTreeMap<String, String> = (0..12)
        .map(|n| (format!("n{n}"), format!("hall-{}", n % 3)))
        .collect();
    let reach = [
        StageScope::Count(1),
        StageScope::Fraction(0.25),
        StageScope::ZoneGroup("hall-1".into()),
        StageScope::All,
    ];
    assign_stages(&Digest::of(b"golden"), &reach, &halls).unwrap()
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap() + "\n"
}

fn files() -> Vec<(&'static str, String)> {
    let debug: String = records().iter().map(|r| format!("{r:?}\n")).collect();
    let displayed: String = records().iter().map(|r| format!("{}\n", r.phase)).collect();
    vec![
        ("records.json", json(&records())),
        ("records.debug.txt", debug),
        ("phases.txt", displayed),
        ("terms.json", json(&RolloutPolicy::default())),
        ("tallies.json", json(&tallies())),
        ("evidence.json", json(&evidence())),
        ("stages.json", json(&assigned())),
    ]
}

fn reads_back<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    expected: &T,
) {
    let text = golden(name);
    let value: T = serde_json::from_str(&text).unwrap();
    assert_eq!(&value, expected, "{name}");
    assert_eq!(json(&value), text, "{name}");
}

#[test]
fn every_form_is_written_as_in_its_golden_file() {
    for (name, text) in files() {
        assert_eq!(text, golden(name), "{name}");
    }
}

#[test]
fn every_golden_file_reads_back_and_is_written_again_the_same() {
    reads_back("records.json", &records());
    reads_back("terms.json", &RolloutPolicy::default());
    reads_back("tallies.json", &tallies());
    reads_back("evidence.json", &evidence());
}

#[test]
fn metrics_with_missing_fields_read_as_defaults() {
    let tally: MemberMetrics = serde_json::from_str("{}").unwrap();
    assert_eq!(tally, MemberMetrics::default());
}

#[test]
#[ignore = "writes the golden files: run by hand, before a form is changed on purpose"]
fn write_the_golden_files() {
    for (name, text) in files() {
        fs::write(path(name), text).unwrap();
    }
}
