//! The store: opening it, reading records and committing changes.

use crate::error::StoreError;
use crate::folder::LockedFolder;
use crate::record::{Batch, NamedRecord, RecordKind};
use crate::version;
use redb::{
    Builder, Database, ReadOnlyTable, ReadableDatabase, ReadableTable, StorageBackend, TableError,
};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// Size of the database's cache, in bytes. It is small because an ingress may have as little as 32 MB of memory.
const CACHE_BYTES: usize = 1 << 20;
/// Maximum number of characters of a record's name in an error message.
const SHOWN_NAME_CHARS: usize = 60;

type Table = ReadOnlyTable<&'static str, &'static [u8]>;

/// An open store. Its folder stays locked until the store is dropped.
///
/// After a disk failure the database's in-memory state can't be used any more. The next operation reopens the database
/// from its file, so that the process need not restart after a full disk has space again.
#[derive(Debug)]
pub struct Store {
    /// None after a failure, until the next operation reopens the database.
    database: Mutex<Option<Database>>,
    /// None for a store on a custom storage backend, which can't be reopened.
    folder: Option<LockedFolder>,
}

impl Store {
    /// Opens the store in a folder. Creates the folder and the store if they don't exist; only the owner can access
    /// them.
    ///
    /// # Errors
    ///
    /// If another process has locked the folder, its version is newer than this program supports, the store is damaged,
    /// or the disk fails.
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

    /// Opens a store on a custom storage backend, for tests with a backend that fails.
    ///
    /// If a crash happens before the first call for a backend has returned, the backend does not hold a valid store.
    /// [`Store::open`] avoids this by renaming a new file only when it is complete.
    ///
    /// # Errors
    ///
    /// As for [`Store::open`], apart from the lock.
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

    /// Runs `operation` on the database, after reopening it if a failure had closed it.
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

    /// Runs `operation` on the table of a kind; returns none if no record of the kind was ever stored.
    fn read<T>(
        &self,
        kind: RecordKind,
        operation: impl FnOnce(&Table) -> Result<T, StoreError>,
    ) -> Result<Option<T>, StoreError> {
        self.with_database(|database| {
            let transaction = database.begin_read().map_err(StoreError::database)?;
            match transaction.open_table(kind.table()) {
                Err(TableError::TableDoesNotExist(_)) => Ok(None),
                table => operation(&table.map_err(StoreError::database)?).map(Some),
            }
        })
    }

    /// Returns the content of a record; none if there is no such record.
    ///
    /// # Errors
    ///
    /// If the database can't be read.
    pub fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let found = self.read(kind, |table| {
            let record = table.get(name).map_err(StoreError::database)?;
            Ok(record.map(|bytes| bytes.value().to_vec()))
        })?;
        Ok(found.flatten())
    }

    /// Returns the names of all records of a kind, sorted.
    ///
    /// # Errors
    ///
    /// If the database can't be read.
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

    /// Returns up to `limit` records of a kind, those with the greatest names, sorted by name.
    ///
    /// # Errors
    ///
    /// If the database can't be read.
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

    /// Makes all changes of a batch atomically, and waits until they are on the disk.
    ///
    /// # Errors
    ///
    /// If a record is too long or the disk fails. Nothing has changed then.
    pub fn commit(&self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(too_long) = batch.changes.iter().find(|change| change.is_too_long()) {
            let shown = too_long.name.chars().take(SHOWN_NAME_CHARS).collect();
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
