//! Golden files of what others read: the state of a handover, the telemetry, the status file, the formats and the help text.

use std::path::PathBuf;

mod golden;

/// The folder of the golden files.
fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// The bytes of a golden file.
pub(crate) fn golden_file(name: &str) -> Vec<u8> {
    std::fs::read(folder().join(name)).unwrap()
}

/// Compares bytes with a golden file; `WRITE_GOLDEN=1` writes the file instead.
pub(crate) fn assert_golden(name: &str, bytes: &[u8]) {
    if std::env::var_os("WRITE_GOLDEN").is_some_and(|v| v == "1") {
        std::fs::write(folder().join(name), bytes).unwrap();
    }
    let golden = golden_file(name);
    let first = golden.iter().zip(bytes).position(|(a, b)| a != b);
    assert!(
        golden == bytes,
        "{name}: {} bytes written, {} in the golden file, the first other one at {first:?}",
        bytes.len(),
        golden.len()
    );
}
