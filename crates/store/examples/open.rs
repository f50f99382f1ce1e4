//! Measures how long a store takes to open after a crash, by its size. A child process fills the store and keeps
//! committing until it is killed; then this process opens the store.
//!
//!     cargo run --release -p wrenfork-store --example open
//!
//! The results are in `docs/measurements/changes.md`.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use wrenfork_store::{Batch, RecordKind, Store};

/// Size of a record, in bytes: as much as 6,000 accounts take.
const RECORD_BYTES: usize = 256 << 10;
/// Sizes of the stores to measure, in records.
const STORE_RECORDS: [usize; 5] = [4, 40, 288, 1_000, 4_000];
/// Number of crashes measured per size.
const ROUNDS: usize = 3;

fn record_content(n: usize) -> Vec<u8> {
    (0..RECORD_BYTES).map(|i| (i * 31 + n * 7) as u8).collect()
}

/// Fills a store, prints `full`, and keeps committing until the process is killed.
fn fill_and_commit(folder: &Path, records: usize) {
    let store = Store::open(folder).expect("open the store to fill");
    for chunk in (0..records).collect::<Vec<_>>().chunks(32) {
        let batch = chunk.iter().fold(Batch::new(), |b, n| {
            b.put(RecordKind::Control, &format!("{n:08}"), record_content(*n))
        });
        store
            .commit(&batch)
            .expect("commit while filling the store");
    }
    println!("full");
    std::io::stdout().flush().expect("flush standard output");
    for n in 0.. {
        let name = format!("{:08}", n % records);
        store
            .commit(&Batch::new().put(RecordKind::Control, &name, record_content(n)))
            .expect("commit to the full store");
    }
}

/// Opens the store and reads a record; returns the time taken.
fn time_to_open(folder: &Path) -> Duration {
    let start = Instant::now();
    let store = Store::open(folder).expect("open the store");
    assert!(store
        .get(RecordKind::Control, "00000000")
        .expect("read the first record")
        .is_some());
    start.elapsed()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, command, folder, records] = &args[..] {
        assert_eq!(command, "write", "unknown command");
        return fill_and_commit(
            Path::new(folder),
            records.parse().expect("the number of records is invalid"),
        );
    }
    println!(
        "| size of the file | open after a crash, {ROUNDS} times | open after a clean shutdown |"
    );
    println!("| --- | --- | --- |");
    for records in STORE_RECORDS {
        let (mut after_crash, mut after_shutdown, mut file_bytes) = (Vec::new(), Duration::ZERO, 0);
        for _ in 0..ROUNDS {
            let folder = tempfile::tempdir().expect("create a temporary folder");
            let mut child = Command::new(&args[0])
                .args([
                    "write",
                    &folder.path().display().to_string(),
                    &records.to_string(),
                ])
                .stdout(Stdio::piped())
                .spawn()
                .expect("start the child process");
            let mut line = String::new();
            BufReader::new(
                child
                    .stdout
                    .take()
                    .expect("standard output of the child process"),
            )
            .read_line(&mut line)
            .expect("read a line from the child process");
            std::thread::sleep(Duration::from_millis(100)); // so that the kill comes during commits
            child.kill().expect("kill the child process");
            child.wait().expect("wait for the child process");
            file_bytes = std::fs::metadata(folder.path().join("wrenfork.redb"))
                .expect("metadata of the store's file")
                .len();
            after_crash.push(format!(
                "{:.1} ms",
                time_to_open(folder.path()).as_secs_f64() * 1e3
            ));
            after_shutdown = time_to_open(folder.path());
        }
        println!(
            "| {:.1} MB | {} | {:.1} ms |",
            file_bytes as f64 / 1e6,
            after_crash.join(", "),
            after_shutdown.as_secs_f64() * 1e3
        );
    }
}
