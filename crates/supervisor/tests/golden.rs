//! What is remembered on the disk (`tend.json`), byte for byte, as `wrenctl` writes it.
//!
//! The files in `golden/` are written by hand alone: `cargo test -p wrenfork-supervisor --test golden -- --ignored`.

use std::fs;
use std::path::PathBuf;
use wrenfork_compatibility::Program;
use wrenfork_supervisor::PersistentState;

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn program(digit: u8) -> Option<Program> {
    Some(Program {
        name: format!("r-{digit}"),
        sha256: digit.to_string().repeat(64),
    })
}

fn memories() -> [(&'static str, PersistentState); 2] {
    let full = PersistentState {
        wanted: program(1),
        proven: program(2),
        failed: program(3),
    };
    [
        ("full.json", full),
        ("empty.json", PersistentState::default()),
    ]
}

#[test]
fn what_is_remembered_is_written_as_in_its_golden_file() {
    for (name, memory) in memories() {
        let text = serde_json::to_vec_pretty(&memory).unwrap();
        assert_eq!(text, fs::read(path(name)).unwrap(), "{name}");
    }
}

#[test]
fn every_golden_file_reads_back_and_is_written_again_the_same() {
    for (name, memory) in memories() {
        let text = fs::read(path(name)).unwrap();
        let read: PersistentState = serde_json::from_slice(&text).unwrap();
        assert_eq!(read, memory, "{name}");
        assert_eq!(serde_json::to_vec_pretty(&read).unwrap(), text, "{name}");
    }
}

#[test]
fn a_file_with_an_unknown_field_is_rejected() {
    let text = r#"{"wanted": null, "proven": null, "failed": null, "other": 1}"#;
    assert!(serde_json::from_str::<PersistentState>(text).is_err());
}

#[test]
#[ignore = "writes the golden files: run by hand, before the form is changed on purpose"]
fn write_the_golden_files() {
    for (name, memory) in memories() {
        fs::write(path(name), serde_json::to_vec_pretty(&memory).unwrap()).unwrap();
    }
}
