//! The store on a real folder.

use redb::{Database, TableDefinition};
use std::os::unix::fs::PermissionsExt;
use wrenfork_store::{
    Batch, NamedRecord, RecordKind, Store, StoreError, MAX_RECORD_BYTES, VERSION,
};

#[test]
fn records_are_there_again_and_the_folder_is_the_owners_alone() {
    let folder = tempfile::tempdir().unwrap();
    let at = folder.path().join("state/of/ingress");
    let store = Store::open(&at).unwrap();
    store
        .commit(
            &Batch::new()
                .put(RecordKind::Audit, "1", b"a")
                .put(RecordKind::Audit, "2", b"b"),
        )
        .unwrap();
    store
        .commit(
            &Batch::new()
                .delete(RecordKind::Audit, "1")
                .put(RecordKind::Lease, "1", b"c"),
        )
        .unwrap();
    drop(store);
    let store = Store::open(&at).unwrap();
    assert_eq!(
        store.list(RecordKind::Audit, 10).unwrap(),
        [NamedRecord {
            name: "2".into(),
            bytes: b"b".to_vec(),
        }]
    );
    assert_eq!(
        store.get(RecordKind::Lease, "1").unwrap(),
        Some(b"c".to_vec())
    );
    assert_eq!(store.get(RecordKind::Use, "1").unwrap(), None);
    for (path, mode) in [
        (at.clone(), 0o700),
        (at.join("wrenfork.redb"), 0o600),
        (at.join("lock"), 0o600),
    ] {
        assert_eq!(
            std::fs::metadata(&path).unwrap().permissions().mode() & 0o777,
            mode,
            "{}",
            path.display()
        );
    }
}

/// Guards against two processes that write one folder.
#[test]
fn a_folder_that_is_taken_is_refused_until_it_is_free() {
    let folder = tempfile::tempdir().unwrap();
    let store = Store::open(folder.path()).unwrap();
    let e = Store::open(folder.path()).unwrap_err();
    assert!(matches!(e, StoreError::Locked(_)), "{e}");
    drop(store);
    Store::open(folder.path()).unwrap();
}

#[test]
fn what_is_no_store_and_what_is_too_long_is_told() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("wrenfork.redb"), vec![7; 9000]).unwrap();
    assert!(Store::open(folder.path()).is_err());
    let file = folder.path().join("file");
    std::fs::write(&file, b"").unwrap();
    assert!(matches!(
        Store::open(&file).unwrap_err(),
        StoreError::Folder { .. }
    ));
    let good = folder.path().join("good");
    let store = Store::open(&good).unwrap();
    let long = vec![0; MAX_RECORD_BYTES + 1];
    let e = store
        .commit(
            &Batch::new()
                .put(RecordKind::Use, "a", b"1")
                .put(RecordKind::Use, "b", long),
        )
        .unwrap_err();
    assert!(matches!(e, StoreError::TooLong(_)));
    assert_eq!(
        store.get(RecordKind::Use, "a").unwrap(),
        None,
        "nothing of it was made"
    );
}

/// Guards against a folder that is of no use any more because a crash came while its store was made.
#[test]
fn what_a_crash_left_of_a_store_that_was_being_made_is_no_hindrance() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("wrenfork.new"), vec![7; 9000]).unwrap();
    let store = Store::open(folder.path()).unwrap();
    store
        .commit(&Batch::new().put(RecordKind::Use, "a", b"1"))
        .unwrap();
    assert!(!folder.path().join("wrenfork.new").exists());
}

/// Sets the version of a folder's records, as a newer program would.
fn write_version(folder: &std::path::Path, version: u32) {
    const META: TableDefinition<&str, u32> = TableDefinition::new("meta");
    let database = Database::open(folder.join("wrenfork.redb")).unwrap();
    let transaction = database.begin_write().unwrap();
    transaction
        .open_table(META)
        .unwrap()
        .insert("version", version)
        .unwrap();
    transaction.commit().unwrap();
}

#[test]
fn a_newer_version_is_refused_and_told_and_stays_as_it_was() {
    let folder = tempfile::tempdir().unwrap();
    let store = Store::open(folder.path()).unwrap();
    store
        .commit(&Batch::new().put(RecordKind::Control, "a", b"1"))
        .unwrap();
    drop(store);
    write_version(folder.path(), VERSION + 1);
    for _ in 0..2 {
        let error = Store::open(folder.path()).unwrap_err();
        let newer = StoreError::NewerVersion { found: 2, known: 1 };
        assert_eq!(error.to_string(), newer.to_string());
        assert!(matches!(error, StoreError::NewerVersion { .. }), "{error}");
        assert!(error.to_string().contains("use a newer one"));
    }
}
