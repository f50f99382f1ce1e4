//! Checks the stored format byte for byte against a folder written by an earlier build: `tests/golden/folder/`.
//!
//! The folder is only rewritten on demand, when the format changes intentionally:
//! `cargo test -p wrenfork-store --test golden -- --ignored write_golden_folder`

use std::path::{Path, PathBuf};
use wrenfork_store::{Batch, NamedRecord, RecordKind, Store, StoreError, VERSION};

const STORE_FILE: &str = "wrenfork.redb";

fn golden_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/folder")
}

/// Writes records of each kind in two commits; the second one replaces a record and deletes another.
fn write_records(folder: &Path) {
    let store = Store::open(folder).unwrap();
    let first = RecordKind::ALL.iter().fold(Batch::new(), |batch, kind| {
        batch
            .put(*kind, "replaced", b"old")
            .put(*kind, "deleted", b"gone")
            .put(*kind, "past/00000000000000000003", vec![0, 1, 254, 255])
    });
    store.commit(&first).unwrap();
    let second = RecordKind::ALL.iter().fold(Batch::new(), |batch, kind| {
        batch
            .put(*kind, "replaced", format!("new {kind:?}"))
            .delete(*kind, "deleted")
            .put(*kind, "\u{fc} empty", b"")
    });
    store.commit(&second).unwrap();
}

fn copy_of_golden_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::copy(
        golden_folder().join(STORE_FILE),
        folder.path().join(STORE_FILE),
    )
    .unwrap();
    folder
}

#[test]
#[ignore = "rewrites the golden folder; run it only when the format changes intentionally"]
fn write_golden_folder() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path());
    std::fs::create_dir_all(golden_folder()).unwrap();
    std::fs::copy(
        folder.path().join(STORE_FILE),
        golden_folder().join(STORE_FILE),
    )
    .unwrap();
}

#[test]
fn golden_folder_opens_twice_with_the_expected_records() {
    let folder = copy_of_golden_folder();
    for _ in 0..2 {
        let store = Store::open(folder.path()).unwrap();
        for kind in RecordKind::ALL {
            let expected = [
                (
                    "past/00000000000000000003".to_string(),
                    vec![0, 1, 254, 255],
                ),
                ("replaced".to_string(), format!("new {kind:?}").into_bytes()),
                ("\u{fc} empty".to_string(), Vec::new()),
            ];
            let expected = expected.map(|(name, bytes)| NamedRecord { name, bytes });
            assert_eq!(store.list(kind, 10).unwrap(), expected, "{kind:?}");
            assert_eq!(store.get(kind, "deleted").unwrap(), None, "{kind:?}");
        }
    }
}

#[test]
fn records_are_written_to_the_same_bytes_as_in_the_golden_folder() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path());
    let written = std::fs::read(folder.path().join(STORE_FILE)).unwrap();
    let golden = std::fs::read(golden_folder().join(STORE_FILE)).unwrap();
    assert!(
        written == golden,
        "the written file differs from the golden file"
    );
}

/// Table names and the place of the version are part of the stored format, so the test reads them directly from the
/// database.
#[test]
fn golden_folder_has_a_table_for_each_kind_and_the_version_in_meta() {
    use redb::{ReadableDatabase, TableDefinition, TableHandle};
    let folder = copy_of_golden_folder();
    let database = redb::Database::open(folder.path().join(STORE_FILE)).unwrap();
    let read = database.begin_read().unwrap();
    let mut names: Vec<String> = read
        .list_tables()
        .unwrap()
        .map(|table| table.name().to_string())
        .collect();
    names.sort();
    assert_eq!(
        names,
        ["audit", "config", "control", "lease", "meta", "use"]
    );
    let meta: TableDefinition<&str, u32> = TableDefinition::new("meta");
    let version = read.open_table(meta).unwrap().get("version").unwrap();
    assert_eq!(version.unwrap().value(), VERSION);
}

#[test]
fn error_messages_shown_to_operators_are_stable() {
    let messages = [
        StoreError::Locked("/state".into()),
        StoreError::NewerVersion { found: 2, known: 1 },
        StoreError::Corrupted("why".into()),
        StoreError::TooLong("name".into()),
        StoreError::Database(Box::new(redb::Error::ValueTooLarge(3))),
        StoreError::Closed,
        StoreError::Folder {
            path: "/state".into(),
            source: std::io::Error::other("why"),
        },
    ]
    .map(|error| error.to_string());
    assert_eq!(
        messages,
        [
            "another process has the folder /state",
            "the folder has version 2, but this program supports up to 1: use a newer one",
            "the store is damaged: why",
            "a record or its name is too long: name",
            format!(
                "the disk can't be read or written: {}",
                redb::Error::ValueTooLarge(3)
            )
            .as_str(),
            "the disk failed earlier and the database is closed",
            "the disk can't be read or written: /state: why",
        ]
    );
}
