//! The store itself.

use crate::error::StoreError;
use crate::folder::LockedFolder;
use crate::record::{Batch, NamedRecord, RecordKind};
use crate::version;
use redb::{
    Builder, Database, ReadOnlyTable, ReadableDatabase, ReadableTable, StorageBackend, TableError,
};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// Size of the database's cache, in bytes: an ingress may have as little as 32 MB of memory.
const CACHE_BYTES: usize = 1 << 20;
/// Characters of a name in an error.
const SHOWN_NAME_CHARS: usize = 60;

type Table = ReadOnlyTable<&'static str, &'static [u8]>;

/// An open store; its folder is locked until it is dropped.
///
/// After a failure of the disk the database's state in memory is of no use. It is opened again from its file with the next
/// operation, so that a disk that was full and has space again needs no restart.
#[derive(Debug)]
pub struct Store {
    /// None after a failure, until the next operation.
    database: Mutex<Option<Database>>,
    /// None for a store on a backend of its own, which can't be opened again.
    folder: Option<LockedFolder>,
}

impl Store {
    /// Opens the store of a folder; creates the folder and the store if there is none. Both are accessible to their owner
    /// alone.
    ///
    /// # Errors
    ///
    /// If another process has the folder, its version is newer than known, or the disk fails.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        let folder = LockedFolder::lock(folder)?;
        if !folder.file().exists() {
            folder.create_file(create_database)?;
        }
        let database = open_database(&folder.file())?;
        version::migrate(&database)?;
        Ok(Store {
            database: Mutex::new(Some(database)),
            folder: Some(folder),
        })
    }

    /// Opens a store on a storage backend, for tests that have it fail.
    ///
    /// What a crash leaves of a backend before this has returned for the first time is no store: [`Store::open`] gives a file
    /// its name only then.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn with_backend(backend: impl StorageBackend) -> Result<Store, StoreError> {
        let database = builder()
            .create_with_backend(backend)
            .map_err(StoreError::database)?;
        version::migrate(&database)?;
        Ok(Store {
            database: Mutex::new(Some(database)),
            folder: None,
        })
    }

    /// Does something with the database, which is opened again first if it was closed by a failure.
    fn with_database<T>(
        &self,
        operation: impl FnOnce(&Database) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut slot = self.database.lock().unwrap_or_else(PoisonError::into_inner);
        let database = match (slot.take(), &self.folder) {
            (Some(database), _) => database,
            (None, Some(folder)) => open_database(&folder.file())?,
            (None, None) => return Err(StoreError::Closed),
        };
        let result = operation(&database);
        let close = result.as_ref().is_err_and(StoreError::closes_database);
        if !close || self.folder.is_none() {
            *slot = Some(database);
        }
        result
    }

    /// Reads the table of a kind; none if there has never been a record of it.
    fn read<T>(
        &self,
        kind: RecordKind,
        look: impl FnOnce(&Table) -> Result<T, StoreError>,
    ) -> Result<Option<T>, StoreError> {
        self.with_database(|database| {
            let transaction = database.begin_read().map_err(StoreError::database)?;
            match transaction.open_table(kind.table()) {
                Err(TableError::TableDoesNotExist(_)) => Ok(None),
                table => look(&table.map_err(StoreError::database)?).map(Some),
            }
        })
    }

    /// The content of a record; none if there is no such record.
    ///
    /// # Errors
    ///
    /// If the disk fails.
    pub fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let found = self.read(kind, |table| {
            let record = table.get(name).map_err(StoreError::database)?;
            Ok(record.map(|bytes| bytes.value().to_vec()))
        })?;
        Ok(found.flatten())
    }

    /// The names of all records of a kind, sorted.
    ///
    /// # Errors
    ///
    /// If the disk fails.
    pub fn names(&self, kind: RecordKind) -> Result<Vec<String>, StoreError> {
        let names = self.read(kind, |table| {
            let rows = table.iter().map_err(StoreError::database)?;
            rows.map(|row| {
                let (name, _) = row.map_err(StoreError::database)?;
                Ok(name.value().to_string())
            })
            .collect()
        })?;
        Ok(names.unwrap_or_default())
    }

    /// The last `limit` records of a kind, sorted by name.
    ///
    /// # Errors
    ///
    /// If the disk fails.
    pub fn list(&self, kind: RecordKind, limit: usize) -> Result<Vec<NamedRecord>, StoreError> {
        let records = self.read(kind, |table| {
            let rows = table.iter().map_err(StoreError::database)?;
            rows.rev()
                .take(limit)
                .map(|row| {
                    let (name, bytes) = row.map_err(StoreError::database)?;
                    Ok(NamedRecord {
                        name: name.value().to_string(),
                        bytes: bytes.value().to_vec(),
                    })
                })
                .collect()
        })?;
        let mut records: Vec<NamedRecord> = records.unwrap_or_default();
        records.reverse();
        Ok(records)
    }

    /// Makes the changes of a batch together, and waits until they are on the disk.
    ///
    /// # Errors
    ///
    /// If a record is too long or the disk fails: nothing has changed then.
    pub fn commit(&self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(long) = batch.changes.iter().find(|change| change.is_too_long()) {
            let shown = long.name.chars().take(SHOWN_NAME_CHARS).collect();
            return Err(StoreError::TooLong(shown));
        }
        self.with_database(|database| {
            let transaction = database.begin_write().map_err(StoreError::database)?;
            for change in &batch.changes {
                let name = change.name.as_str();
                let mut table = transaction
                    .open_table(change.kind.table())
                    .map_err(StoreError::database)?;
                match &change.bytes {
                    Some(bytes) => table.insert(name, bytes.as_slice()),
                    None => table.remove(name),
                }
                .map_err(StoreError::database)?;
            }
            transaction.commit().map_err(StoreError::database)
        })
    }
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

fn open_database(file: &Path) -> Result<Database, StoreError> {
    builder().open(file).map_err(StoreError::database)
}

/// Creates a database of the current version.
fn create_database(file: &Path) -> Result<(), StoreError> {
    let database = builder().create(file).map_err(StoreError::database)?;
    version::migrate(&database)
}
