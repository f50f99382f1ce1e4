//! Runs the built adapter and exchanges frames over its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wrenfork-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Some tests send invalid frames, after which the adapter ends without reading all input; the
    // write may then fail.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn batch(number: u32, clock: u64, records: &[[u8; 48]], tail: &[u8]) -> Vec<u8> {
    let size = 20 + records.len() * 48 + tail.len();
    let mut frame = Vec::new();
    frame.extend_from_slice(&(records.len() as u32).to_le_bytes());
    frame.extend_from_slice(&(size as u32).to_le_bytes());
    frame.extend_from_slice(&clock.to_le_bytes());
    frame.extend_from_slice(&number.to_le_bytes());
    records
        .iter()
        .for_each(|record| frame.extend_from_slice(record));
    frame.extend_from_slice(tail);
    frame
}

fn record(code: u8, fields: &[u8]) -> [u8; 48] {
    let mut record = [0; 48];
    record[0] = code;
    record[1..1 + fields.len()].copy_from_slice(fields);
    record
}

fn assert_fails_with(output: &Output, parts: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{text}");
    assert!(!text.contains("panicked"), "{text}");
    for part in parts {
        assert!(text.contains(part), "'{part}' not in: {text}");
    }
}

#[test]
fn empty_batch_gets_a_reply_and_end_of_input_exits_successfully() {
    let output = run(&batch(9, 5, &[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 9, 0, 0, 0]);
}

#[test]
fn truncated_or_inconsistent_frames_are_reported_and_get_no_reply() {
    assert_fails_with(
        &run(&batch(1, 5, &[], &[])[..13]),
        &["13 bytes of a batch header"],
    );
    let whole = batch(1, 5, &[record(70, &[0; 6])], &[]);
    let output = run(&whole[..40]);
    assert_fails_with(&output, &["20 of 48 bytes"]);
    assert!(output.stdout.is_empty());
    let mut short = whole.clone();
    short[4] = 21;
    assert_fails_with(&run(&short), &["batch 1", "too short"]);
}

#[test]
fn invalid_fields_are_reported_with_batch_record_and_field() {
    // A message whose range exceeds the tail.
    let peer = record(80, &[0, 0, 1, 0, 200, 0, 0, 0, 9, 0, 0, 0]);
    assert_fails_with(
        &run(&batch(4, 5, &[record(70, &[0; 6]), peer], b"abc")),
        &["batch 4", "record 1", "octets"],
    );
    let completed = record(20, &[0; 30]);
    assert_fails_with(
        &run(&batch(4, 5, &[completed], &[])),
        &["record 0", "outcome", "unknown code 0"],
    );
    let start = record(50, &[0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0, 15, 0, 0, 0]);
    assert_fails_with(
        &run(&batch(2, 5, &[start], b"grades.count=1\n")),
        &["record 0", "conf", "grades.0.effect"],
    );
}

#[test]
fn unknown_codes_and_instances_that_are_not_running_are_ignored() {
    let output = run(&batch(
        3,
        5,
        &[
            record(222, &[1; 40]),
            record(90, &[7, 0]),
            record(110, &[7, 0]),
        ],
        &[],
    ));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 3, 0, 0, 0]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("no such instance"));
}
