//! A folder that the program wrote before, byte for byte: `tests/golden/folder/`.
//!
//! It is written by hand alone, when the form changes on purpose:
//! `cargo test -p wrenfork-store --test golden -- --ignored write_golden_folder`

use std::path::{Path, PathBuf};
use wrenfork_store::{Batch, NamedRecord, RecordKind, Store, StoreError, VERSION};

const FILE: &str = "wrenfork.redb";

fn golden_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/folder")
}

/// Each kind of record, one that is replaced and one that is deleted, in two commits.
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
    std::fs::copy(golden_folder().join(FILE), folder.path().join(FILE)).unwrap();
    folder
}

#[test]
#[ignore = "writes the golden folder; run it by hand when the form changes on purpose"]
fn write_golden_folder() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path());
    std::fs::create_dir_all(golden_folder()).unwrap();
    std::fs::copy(folder.path().join(FILE), golden_folder().join(FILE)).unwrap();
}

#[test]
fn the_golden_folder_opens_and_has_the_same_records_each_time() {
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
fn the_same_records_are_written_to_the_same_bytes() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path());
    let written = std::fs::read(folder.path().join(FILE)).unwrap();
    let golden = std::fs::read(golden_folder().join(FILE)).unwrap();
    assert!(written == golden, "the file is another one");
}

/// The tables' names and the version's place are the stored form: read with the database alone.
#[test]
fn the_golden_folder_has_a_table_for_each_kind_and_the_version_in_meta() {
    use redb::{ReadableDatabase, TableDefinition, TableHandle};
    let folder = copy_of_golden_folder();
    let database = redb::Database::open(folder.path().join(FILE)).unwrap();
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
fn what_operators_read_of_a_failure_stays() {
    let texts = [
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
        texts,
        [
            "another process has the folder /state",
            "the folder is of version 2, and this program knows up to 1: use a newer one",
            "the store is damaged: why",
            "a record is too long: name",
            format!("the disk: {}", redb::Error::ValueTooLarge(3)).as_str(),
            "the disk: it failed before",
            "the disk: /state: why",
        ]
    );
}
