//! Checks the exact bytes of every value that this package stores or sends, and of the texts that operators read, against the files
//! in `tests/golden/`.
//!
//! The files are only written by hand, after an intended format change:
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

fn format_versions() -> Vec<FormatVersions> {
    let versions = |first: u32| FormatVersions {
        version: format!("0.{first}.0 \"odd\""),
        peers: VersionRange::new(first, first + 1),
        control: VersionRange::new(first + 2, first + 3),
        group_states: VersionRange::new(first + 4, first + 5),
        store: VersionRange::new(first + 6, first + 7),
        handover: VersionRange::new(first + 8, first + 9),
    };
    vec![versions(1), versions(11)]
}

fn programs() -> Vec<Program> {
    [("r-1", "a1"), ("odd@name \"q\"", "0f")]
        .map(|(name, hex)| Program::parse(&format!("{name}@{}", hex.repeat(32))).unwrap())
        .into()
}

/// The reports for two builds that differ in every format, in both directions, and for a build compared with itself.
fn reports() -> String {
    let all = format_versions();
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
        ("speaks.jsonl", json(&format_versions())),
        ("programs.jsonl", json(&programs())),
        ("reports.txt", reports()),
    ]
}

#[test]
#[ignore = "writes the golden files; run by hand after an intended format change"]
fn write_golden_files() {
    for (name, text) in files() {
        std::fs::write(path(name), text).unwrap();
    }
}

#[test]
fn values_are_written_as_in_their_golden_files() {
    for (name, text) in files() {
        assert_eq!(text, golden(name), "{name}");
    }
}

#[test]
fn golden_files_are_read_and_rewritten_unchanged() {
    let text = golden("speaks.jsonl");
    let parsed: Vec<FormatVersions> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(parsed, format_versions());
    assert_eq!(json(&parsed), text);
    let text = golden("programs.jsonl");
    let parsed: Vec<Program> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let names = |programs: &[Program]| -> Vec<String> {
        programs
            .iter()
            .map(|program| program.name.clone())
            .collect()
    };
    assert_eq!(names(&parsed), names(&programs()));
    assert_eq!(parsed, programs());
    assert_eq!(json(&parsed), text);
}

#[test]
fn invalid_program_is_rejected_with_the_expected_form() {
    let error = serde_json::from_str::<Program>("\"r-1\"").unwrap_err();
    assert!(
        error
            .to_string()
            .contains("a program is written NAME@SHA256, not \"r-1\""),
        "{error}"
    );
}
