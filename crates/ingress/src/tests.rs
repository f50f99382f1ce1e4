//! Golden files for data that other programs or operators read: handover state, telemetry, status file, format versions and help
//! text.

use std::path::PathBuf;

mod golden;

/// The folder of the golden files.
fn golden_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// Reads a golden file.
pub(crate) fn golden_file(name: &str) -> Vec<u8> {
    std::fs::read(golden_folder().join(name)).unwrap()
}

/// Compares bytes with a golden file; `WRITE_GOLDEN=1` writes the file instead.
pub(crate) fn assert_golden(name: &str, bytes: &[u8]) {
    if std::env::var_os("WRITE_GOLDEN").is_some_and(|v| v == "1") {
        std::fs::write(golden_folder().join(name), bytes).unwrap();
    }
    let golden = golden_file(name);
    let first_difference = golden.iter().zip(bytes).position(|(a, b)| a != b);
    assert!(
        golden == bytes,
        "{name}: {} bytes encoded, {} in the golden file, first difference at {first_difference:?}",
        bytes.len(),
        golden.len()
    );
}
