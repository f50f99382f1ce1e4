//! Tests of the store in a real folder.

use redb::{Database, TableDefinition};
use std::os::unix::fs::PermissionsExt;
use wrenfork_store::{
    Batch, NamedRecord, RecordKind, Store, StoreError, MAX_RECORD_BYTES, VERSION,
};

#[test]
fn records_persist_and_only_the_owner_can_access_the_folder() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state/of/ingress");
    let store = Store::open(&path).unwrap();
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
    let store = Store::open(&path).unwrap();
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
    for (created, mode) in [
        (path.clone(), 0o700),
        (path.join("wrenfork.redb"), 0o600),
        (path.join("lock"), 0o600),
    ] {
        assert_eq!(
            std::fs::metadata(&created).unwrap().permissions().mode() & 0o777,
            mode,
            "{}",
            created.display()
        );
    }
}

/// Guards against two processes that write to the same folder.
#[test]
fn locked_folder_is_rejected_until_it_is_released() {
    let folder = tempfile::tempdir().unwrap();
    let store = Store::open(folder.path()).unwrap();
    let error = Store::open(folder.path()).unwrap_err();
    assert!(matches!(error, StoreError::Locked(_)), "{error}");
    drop(store);
    Store::open(folder.path()).unwrap();
}

#[test]
fn invalid_files_and_too_long_records_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("wrenfork.redb"), vec![7; 9000]).unwrap();
    assert!(Store::open(folder.path()).is_err());
    let file = folder.path().join("file");
    std::fs::write(&file, b"").unwrap();
    assert!(matches!(
        Store::open(&file).unwrap_err(),
        StoreError::Folder { .. }
    ));
    let valid = folder.path().join("valid");
    let store = Store::open(&valid).unwrap();
    let too_long = vec![0; MAX_RECORD_BYTES + 1];
    let error = store
        .commit(
            &Batch::new()
                .put(RecordKind::Use, "a", b"1")
                .put(RecordKind::Use, "b", too_long),
        )
        .unwrap_err();
    assert!(matches!(error, StoreError::TooLong(_)));
    assert_eq!(
        store.get(RecordKind::Use, "a").unwrap(),
        None,
        "a part of the batch was stored"
    );
}

/// Guards against a folder that can't be opened after a crash during the creation of its store.
#[test]
fn incomplete_new_file_left_by_a_crash_is_replaced() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("wrenfork.new"), vec![7; 9000]).unwrap();
    let store = Store::open(folder.path()).unwrap();
    store
        .commit(&Batch::new().put(RecordKind::Use, "a", b"1"))
        .unwrap();
    assert!(!folder.path().join("wrenfork.new").exists());
}

/// Sets the version of a folder's records.
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
fn newer_version_is_rejected_each_time_and_left_unchanged() {
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
