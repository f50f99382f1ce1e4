//! The version of a folder's records: an older one is brought up to date, a newer one is refused.

use crate::{disk, Store, StoreError};
use redb::{ReadableDatabase, TableDefinition};

/// The version of records that this program writes.
pub const VERSION: u32 = 1;

const META: TableDefinition<&str, u32> = TableDefinition::new("meta");
const KEY: &str = "version";

type Step = fn(&redb::WriteTransaction) -> Result<(), StoreError>;

/// Steps from each version to the next, in one commit each; the first brings 1 to 2.
const STEPS: &[Step] = &[];

/// Checks a store's version, and brings an older one up to date.
pub fn check(store: &Store) -> Result<(), StoreError> {
    let has = store.with(|database| {
        let read = database.begin_read().map_err(disk)?;
        match read.open_table(META) {
            Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
            table => Ok(table
                .map_err(disk)?
                .get(KEY)
                .map_err(disk)?
                .map(|v| v.value())),
        }
    })?;
    match has {
        Some(has) if has > VERSION => Err(StoreError::NewerVersion(has, VERSION)),
        Some(0) => Err(StoreError::Corrupted("its version is 0".into())),
        Some(has) => {
            (has..VERSION).try_for_each(|from| step(store, from + 1, STEPS.get(from as usize - 1)))
        }
        None => step(store, VERSION, None),
    }
}

fn step(store: &Store, to: u32, change: Option<&Step>) -> Result<(), StoreError> {
    store.with(|database| {
        let write = database.begin_write().map_err(disk)?;
        if let Some(change) = change {
            change(&write)?;
        }
        write
            .open_table(META)
            .map_err(disk)?
            .insert(KEY, to)
            .map_err(disk)?;
        write.commit().map_err(disk)
    })
}

#[cfg(test)]
mod tests {
    use super::{step, Store, StoreError, VERSION};
    use crate::{Batch, RecordKind};

    #[test]
    fn a_newer_version_is_refused_and_told_and_stays_as_it_was() {
        let folder = tempfile::tempdir().unwrap();
        let store = Store::open(folder.path()).unwrap();
        store
            .commit(&Batch::new().put(RecordKind::Control, "a", b"1"))
            .unwrap();
        step(&store, VERSION + 1, None).unwrap();
        drop(store);
        for _ in 0..2 {
            let e = Store::open(folder.path()).unwrap_err();
            assert!(matches!(e, StoreError::NewerVersion(2, 1)), "{e}");
            assert!(e.to_string().contains("use a newer one"));
        }
    }
}
