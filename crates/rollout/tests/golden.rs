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
use wrenfork_rollout::evidence::Evidence;
use wrenfork_rollout::record::{Phase, Record, Terms};
use wrenfork_rollout::stages::{stages, Reach};
use wrenfork_rollout::tally::{Kind, Tally};

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn golden(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap()
}

fn record(phase: Phase, why: &str) -> Record {
    let text = |value: &str| Some(value.to_string());
    let changed = [
        ("added".to_string(), (None, text("new"))),
        ("changed".to_string(), (text("old"), text("new"))),
        ("removed".to_string(), (text("old"), None)),
    ];
    let other = [(
        "program".to_string(),
        (text("r-1@11"), text("r-2 \"x\"@22")),
    )];
    Record {
        id: Digest("0123abcd".into()),
        author: "ann \"the first\"".into(),
        terms: Terms {
            watch_ms: 61_000,
            patience_ms: 601_000,
            pause_ms: 2_001,
            away: 3,
            worse_ppm: 20_001,
            error_ppm: 10_001,
        },
        stages: vec![vec!["n0".into()], vec!["n1".into(), "n2".into()]],
        changes: vec![changed.into(), other.into()],
        of: [("n0", 0), ("n1", 1), ("n2", 0)]
            .map(|(name, change)| (name.to_string(), change))
            .into(),
        phase,
        why: why.into(),
    }
}

fn records() -> Vec<Record> {
    vec![
        record(Phase::On { stage: 0 }, ""),
        record(Phase::Held { stage: 1 }, "not known to be good"),
        record(Phase::Back { left: 1 }, "worse"),
        record(Phase::Stopped, "asked for by bob"),
        record(Phase::Done, ""),
    ]
}

fn tallies() -> Vec<Tally> {
    let kind = Kind {
        worth: 2_000,
        asked: 41,
        refused: 3,
        failed: 2,
    };
    let full = Tally {
        life: 0xfeed_beef_0123_4567,
        age_ms: 12_345,
        number: 9,
        began: 8,
        program: "r-1@11".into(),
        changed: true,
        turn: true,
        unfit: "it did not come into service".into(),
        hall: "hall-a".into(),
        cpu_us: 987_654,
        memory_kb: 65_536,
        kinds: [("quote/starter".to_string(), kind)].into(),
        times: [("quote".to_string(), vec![(1_000, 36), (2_000, 1)])].into(),
    };
    vec![full, Tally::default()]
}

fn evidence() -> Evidence {
    let mut evidence = Evidence::default();
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
        Reach::Count(1),
        Reach::Share(0.25),
        Reach::Hall("hall-1".into()),
        Reach::All,
    ];
    stages(&Digest::of(b"golden"), &reach, &halls).unwrap()
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
        ("terms.json", json(&Terms::default())),
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
    reads_back("terms.json", &Terms::default());
    reads_back("tallies.json", &tallies());
    reads_back("evidence.json", &evidence());
}

#[test]
fn a_tally_with_missing_fields_reads_as_one_with_defaults() {
    let tally: Tally = serde_json::from_str("{}").unwrap();
    assert_eq!(tally, Tally::default());
}

#[test]
#[ignore = "writes the golden files: run by hand, before a form is changed on purpose"]
fn write_the_golden_files() {
    for (name, text) in files() {
        fs::write(path(name), text).unwrap();
    }
}
