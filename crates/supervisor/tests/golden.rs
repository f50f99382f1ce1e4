//! Checks the exact bytes of the persistent state of a supervisor, which `wrenctl` stores in `tend.json`.
//!
//! The golden files are only written by hand, with `cargo test -p wrenfork-supervisor --test golden -- --ignored`.

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

fn states() -> [(&'static str, PersistentState); 2] {
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
fn persistent_states_are_written_as_in_their_golden_files() {
    for (name, state) in states() {
        let text = serde_json::to_vec_pretty(&state).unwrap();
        assert_eq!(text, fs::read(path(name)).unwrap(), "{name}");
    }
}

#[test]
fn golden_files_are_read_and_rewritten_unchanged() {
    for (name, state) in states() {
        let text = fs::read(path(name)).unwrap();
        let read: PersistentState = serde_json::from_slice(&text).unwrap();
        assert_eq!(read, state, "{name}");
        assert_eq!(serde_json::to_vec_pretty(&read).unwrap(), text, "{name}");
    }
}

#[test]
fn unknown_field_is_rejected() {
    let text = r#"{"wanted": null, "proven": null, "failed": null, "other": 1}"#;
    assert!(serde_json::from_str::<PersistentState>(text).is_err());
}

#[test]
#[ignore = "writes the golden files; run by hand after an intended format change"]
fn write_the_golden_files() {
    for (name, state) in states() {
        fs::write(path(name), serde_json::to_vec_pretty(&state).unwrap()).unwrap();
    }
}
