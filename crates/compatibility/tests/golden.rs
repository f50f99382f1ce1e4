//! Every stored and sent form of this package, and what operators read, byte for byte as the files under `tests/golden/` have
//! it.
//!
//! The files are written by hand alone, when a form changes on purpose:
//! `cargo test -p wrenfork-compatibility --test golden -- --ignored write_golden_files`

use std::path::PathBuf;
use wrenfork_compatibility::{check_compatibility, FormatVersions, Program, VersionRange};

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn golden(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap()
}

fn speaks() -> Vec<FormatVersions> {
    let all = |first: u32| FormatVersions {
        version: format!("0.{first}.0 \"odd\""),
        peers: VersionRange::new(first, first + 1),
        control: VersionRange::new(first + 2, first + 3),
        group_states: VersionRange::new(first + 4, first + 5),
        store: VersionRange::new(first + 6, first + 7),
        handover: VersionRange::new(first + 8, first + 9),
    };
    vec![all(1), all(11)]
}

fn programs() -> Vec<Program> {
    [("r-1", "a1"), ("odd@name \"q\"", "0f")]
        .map(|(name, hex)| Program::parse(&format!("{name}@{}", hex.repeat(32))).unwrap())
        .into()
}

/// All that can be found: everything differs, one way, the other way and not at all.
fn reports() -> String {
    let all = speaks();
    let mut text = String::new();
    for (old, new) in [(0, 1), (1, 0), (0, 0)] {
        let report = check_compatibility(&all[old], &all[new]);
        for line in report.incompatible {
            text.push_str(&format!("refused: {line}\n"));
        }
        for line in report.degraded {
            text.push_str(&format!("lost: {line}\n"));
        }
    }
    text
}

fn json<T: serde::Serialize>(values: &[T]) -> String {
    values
        .iter()
        .map(|value| serde_json::to_string(value).unwrap() + "\n")
        .collect()
}

fn files() -> Vec<(&'static str, String)> {
    vec![
        ("speaks.jsonl", json(&speaks())),
        ("programs.jsonl", json(&programs())),
        ("reports.txt", reports()),
    ]
}

#[test]
#[ignore = "writes the golden files; run it by hand when a form changes on purpose"]
fn write_golden_files() {
    for (name, text) in files() {
        std::fs::write(path(name), text).unwrap();
    }
}

#[test]
fn every_form_is_written_as_its_golden_file_has_it() {
    for (name, text) in files() {
        assert_eq!(text, golden(name), "{name}");
    }
}

#[test]
fn golden_files_are_read_and_written_again_to_the_same_bytes() {
    let text = golden("speaks.jsonl");
    let found: Vec<FormatVersions> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(found, speaks());
    assert_eq!(json(&found), text);
    let text = golden("programs.jsonl");
    let found: Vec<Program> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let names = |programs: &[Program]| -> Vec<String> {
        programs
            .iter()
            .map(|program| program.name.clone())
            .collect()
    };
    assert_eq!(names(&found), names(&programs()));
    assert_eq!(found, programs());
    assert_eq!(json(&found), text);
}

#[test]
fn a_program_that_is_written_otherwise_is_refused_with_the_form_that_is_wanted() {
    let error = serde_json::from_str::<Program>("\"r-1\"").unwrap_err();
    assert!(
        error
            .to_string()
            .contains("a program is written NAME@SHA256, not \"r-1\""),
        "{error}"
    );
}
