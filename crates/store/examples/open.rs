//! How long a store takes to open after a crash, by its size: a process fills one and goes on committing until it is
//! killed; then it is opened here.
//!
//!     cargo run --release -p wrenfork-store --example open
//!
//! `docs/measurements/changes.md` has the figures.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use wrenfork_store::{Batch, RecordKind, Store};

/// Bytes of a record: what 6,000 accounts take.
const RECORD: usize = 256 << 10;
/// Sizes in records.
const SIZES: [usize; 5] = [4, 40, 288, 1_000, 4_000];
const ROUNDS: usize = 3;

fn record(n: usize) -> Vec<u8> {
    (0..RECORD).map(|i| (i * 31 + n * 7) as u8).collect()
}

/// Fills a store, says so, and goes on until it is killed.
fn write(folder: &Path, records: usize) {
    let store = Store::open(folder).expect("a store");
    for some in (0..records).collect::<Vec<_>>().chunks(32) {
        let batch = some.iter().fold(Batch::new(), |b, n| {
            b.put(RecordKind::Control, &format!("{n:08}"), record(*n))
        });
        store.commit(&batch).expect("a commit");
    }
    println!("full");
    std::io::stdout().flush().expect("standard output");
    for n in 0.. {
        let name = format!("{:08}", n % records);
        store
            .commit(&Batch::new().put(RecordKind::Control, &name, record(n)))
            .expect("a commit");
    }
}

fn opened(folder: &Path) -> Duration {
    let start = Instant::now();
    let store = Store::open(folder).expect("a store");
    assert!(store
        .get(RecordKind::Control, "00000000")
        .expect("a record")
        .is_some());
    start.elapsed()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, write_, folder, records] = &args[..] {
        assert_eq!(write_, "write");
        return write(Path::new(folder), records.parse().expect("a number"));
    }
    println!("| size of the file | open after a crash, {ROUNDS} times | open after a clean end |");
    println!("| --- | --- | --- |");
    for records in SIZES {
        let (mut after, mut clean, mut size) = (Vec::new(), Duration::ZERO, 0);
        for _ in 0..ROUNDS {
            let folder = tempfile::tempdir().expect("a folder");
            let mut child = Command::new(&args[0])
                .args([
                    "write",
                    &folder.path().display().to_string(),
                    &records.to_string(),
                ])
                .stdout(Stdio::piped())
                .spawn()
                .expect("this program");
            let mut line = String::new();
            BufReader::new(child.stdout.take().expect("its output"))
                .read_line(&mut line)
                .expect("a line");
            std::thread::sleep(Duration::from_millis(100)); // in the midst of commits
            child.kill().expect("a living process");
            child.wait().expect("a dead process");
            size = std::fs::metadata(folder.path().join("wrenfork.redb"))
                .expect("a file")
                .len();
            after.push(format!(
                "{:.1} ms",
                opened(folder.path()).as_secs_f64() * 1e3
            ));
            clean = opened(folder.path());
        }
        println!(
            "| {:.1} MB | {} | {:.1} ms |",
            size as f64 / 1e6,
            after.join(", "),
            clean.as_secs_f64() * 1e3
        );
    }
}
