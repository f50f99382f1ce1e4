//! What must survive a crash. A [`Store`] is a folder with one file, an embedded ACID store of named records: what
//! [`Store::commit`] has returned for is there after a crash at any later point, whole, and what it has not returned for
//! is there whole or not at all. Records are bytes under a [`RecordKind`] and a name; what they mean is their owner's.
//!
//! A commit waits for the disk. Whoever serves requests calls it from another thread.
//!
//! ```
//! use wrenfork_store::{Batch, RecordKind, Store};
//!
//! let folder = tempfile::tempdir().unwrap();
//! let store = Store::open(folder.path()).unwrap();
//! store.commit(&Batch::new().put(RecordKind::Control, "enforced", b"generation 7")).unwrap();
//! assert_eq!(store.get(RecordKind::Control, "enforced").unwrap().as_deref(), Some(&b"generation 7"[..]));
//! ```

mod version;

use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

pub use version::VERSION;

/// The store's file, and the file whose lock says that a process has the folder.
const FILE: &str = "wrenfork.redb";
/// A store that is being made: a crash in the middle of that leaves what no store is, so it gets its name at the end.
const NEW: &str = "wrenfork.new";
const LOCK: &str = "lock";
/// Memory for what was read: an ingress may have as little as 32 MB.
const CACHE: usize = 1 << 20;
/// The most bytes of a record, and of its name.
pub const MAX_RECORD_BYTES: usize = 16 << 20;
/// See [`MAX_RECORD_BYTES`].
pub const MAX_NAME_BYTES: usize = 256;

type Table = redb::ReadOnlyTable<&'static str, &'static [u8]>;

/// What kind of record one is: a table each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Generations that are enforced, and promises.
    Control,
    /// Who planned, applied and rolled back what.
    Audit,
    /// What of a quota is held until when.
    Lease,
    /// Use that is still to be exported.
    Use,
    /// The last good configuration.
    Config,
}

impl RecordKind {
    /// All of them.
    pub const ALL: [RecordKind; 5] = [
        RecordKind::Control,
        RecordKind::Audit,
        RecordKind::Lease,
        RecordKind::Use,
        RecordKind::Config,
    ];

    fn table(self) -> TableDefinition<'static, &'static str, &'static [u8]> {
        TableDefinition::new(match self {
            RecordKind::Control => "control",
            RecordKind::Audit => "audit",
            RecordKind::Lease => "lease",
            RecordKind::Use => "use",
            RecordKind::Config => "config",
        })
    }
}

/// Why a store can't be used, or a commit was not made.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has the folder.
    Locked(PathBuf),
    /// The folder was written by a program that is newer than this one: its version, and the one known here.
    NewerVersion(u32, u32),
    /// The file is none of this store's, or damaged beyond what a crash can do.
    Corrupted(String),
    /// A record or its name is too long.
    TooLong(String),
    /// The disk is full, read-only or broken; what is stored is as it was.
    Io(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            StoreError::Locked(at) => write!(f, "another process has the folder {}", at.display()),
            StoreError::NewerVersion(has, known) => {
                write!(
                    f,
                    "the folder is of version {has}, and this program knows up to {known}: use a newer one"
                )
            }
            StoreError::Corrupted(why) => write!(f, "the store is damaged: {why}"),
            StoreError::TooLong(name) => write!(f, "a record is too long: {name}"),
            StoreError::Io(why) => write!(f, "the disk: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

fn disk(e: impl Into<redb::Error>) -> StoreError {
    match e.into() {
        redb::Error::Corrupted(why) => StoreError::Corrupted(why),
        redb::Error::DatabaseAlreadyOpen => StoreError::Locked(PathBuf::new()),
        other => StoreError::Io(other.to_string()),
    }
}

/// Changes that are made together.
#[derive(Clone, Debug, Default)]
pub struct Batch(Vec<(RecordKind, String, Option<Vec<u8>>)>);

impl Batch {
    /// No change yet.
    pub fn new() -> Self {
        Batch::default()
    }

    /// And a record under a name, in place of the one that is there.
    #[must_use]
    pub fn put(mut self, kind: RecordKind, name: &str, record: impl Into<Vec<u8>>) -> Self {
        self.0.push((kind, name.into(), Some(record.into())));
        self
    }

    /// And no record under a name.
    #[must_use]
    pub fn delete(mut self, kind: RecordKind, name: &str) -> Self {
        self.0.push((kind, name.into(), None));
        self
    }
}

/// A store that is open; its folder is locked until it is dropped.
///
/// Once the disk has refused something, what the database holds in memory is of no use any more: it is opened again
/// from the file with the next use, so that a disk that was full and has room again needs no restart.
#[derive(Debug)]
pub struct Store {
    /// None after a failure, until the next use.
    database: Mutex<Option<Database>>,
    /// None on a backend of its own, which can't be opened again.
    file: Option<PathBuf>,
    _lock: Option<File>,
}

impl Store {
    /// Opens a folder's store; makes the folder and the store where there is none. Both are the owner's alone.
    ///
    /// # Errors
    ///
    /// Where another process has it, the version is newer than known, or the disk fails.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        let told = |e: std::io::Error| StoreError::Io(format!("{}: {e}", folder.display()));
        let mut make = std::fs::DirBuilder::new();
        std::os::unix::fs::DirBuilderExt::mode(make.recursive(true), 0o700);
        make.create(folder).map_err(told)?;
        let private = |name: &str| {
            let mut options = OpenOptions::new();
            options
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .mode(0o600);
            options.open(folder.join(name)).map_err(told)
        };
        let lock = private(LOCK)?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| StoreError::Locked(folder.to_path_buf()))?;
        let (file, new) = (folder.join(FILE), folder.join(NEW));
        if !file.exists() {
            match std::fs::remove_file(&new) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(told(e)),
                _ => {}
            }
            drop(private(NEW)?);
            let database = redb::Builder::new()
                .set_cache_size(CACHE)
                .create(&new)
                .map_err(disk)?;
            drop(Store::checked(database, None, None)?);
            File::open(&new).and_then(|f| f.sync_all()).map_err(told)?;
            std::fs::rename(&new, &file).map_err(told)?;
            // The new name must outlive a crash as well.
            File::open(folder)
                .and_then(|f| f.sync_all())
                .map_err(told)?;
        }
        Store::checked(Store::database(&file)?, Some(file), Some(lock))
    }

    fn database(file: &Path) -> Result<Database, StoreError> {
        redb::Builder::new()
            .set_cache_size(CACHE)
            .open(file)
            .map_err(disk)
    }

    /// A store on a backend of its own: for tests that have it fail. What a crash leaves of a backend before this has
    /// returned for the first time is no store: see [`Store::open`], which gives it its name only then.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn with_backend(backend: impl StorageBackend) -> Result<Store, StoreError> {
        let database = redb::Builder::new()
            .set_cache_size(CACHE)
            .create_with_backend(backend);
        Store::checked(database.map_err(disk)?, None, None)
    }

    fn checked(
        database: Database,
        file: Option<PathBuf>,
        lock: Option<File>,
    ) -> Result<Store, StoreError> {
        let store = Store {
            database: Mutex::new(Some(database)),
            file,
            _lock: lock,
        };
        version::check(&store)?;
        Ok(store)
    }

    /// Does something with the database, which is opened again first if it failed before.
    fn with<T>(
        &self,
        work: impl FnOnce(&Database) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut held = self.database.lock().unwrap_or_else(PoisonError::into_inner);
        let database = match (held.take(), &self.file) {
            (Some(database), _) => database,
            (None, Some(file)) => Store::database(file)?,
            (None, None) => return Err(StoreError::Io("it failed before".into())),
        };
        let done = work(&database);
        let failed = matches!(done, Err(StoreError::Io(_) | StoreError::Corrupted(_)));
        if !failed || self.file.is_none() {
            *held = Some(database);
        }
        done
    }

    /// Reads of a kind's records; none where there has never been one.
    fn read<T>(
        &self,
        kind: RecordKind,
        look: impl FnOnce(&Table) -> Result<T, StoreError>,
    ) -> Result<Option<T>, StoreError> {
        self.with(|database| {
            let read = database.begin_read().map_err(disk)?;
            match read.open_table(kind.table()) {
                Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
                other => look(&other.map_err(disk)?).map(Some),
            }
        })
    }

    /// A record.
    ///
    /// # Errors
    ///
    /// Where the disk fails.
    pub fn get(&self, kind: RecordKind, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let found = self.read(kind, |table| {
            let found = table.get(name).map_err(disk)?;
            Ok(found.map(|v| v.value().to_vec()))
        });
        Ok(found?.flatten())
    }

    /// The names of all records of a kind, in their order.
    ///
    /// # Errors
    ///
    /// Where the disk fails.
    pub fn names(&self, kind: RecordKind) -> Result<Vec<String>, StoreError> {
        let names = self.read(kind, |table| {
            let names = table.iter().map_err(disk)?;
            names
                .map(|row| Ok(row.map_err(disk)?.0.value().to_string()))
                .collect()
        });
        Ok(names?.unwrap_or_default())
    }

    /// All records of a kind, by name; the last `most` of them.
    ///
    /// # Errors
    ///
    /// Where the disk fails.
    pub fn list(
        &self,
        kind: RecordKind,
        most: usize,
    ) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        let rows = self.read(kind, |table| {
            let rows = table.iter().map_err(disk)?.rev().take(most).map(|row| {
                let (name, record) = row.map_err(disk)?;
                Ok((name.value().to_string(), record.value().to_vec()))
            });
            rows.collect::<Result<Vec<_>, StoreError>>()
        });
        let mut rows = rows?.unwrap_or_default();
        rows.reverse();
        Ok(rows)
    }

    /// Makes changes together, and waits until they are on the disk.
    ///
    /// # Errors
    ///
    /// Where a record is too long or the disk fails: nothing is changed then.
    pub fn commit(&self, batch: &Batch) -> Result<(), StoreError> {
        for (_, name, record) in &batch.0 {
            if name.len() > MAX_NAME_BYTES
                || record.as_ref().is_some_and(|r| r.len() > MAX_RECORD_BYTES)
            {
                return Err(StoreError::TooLong(name.chars().take(60).collect()));
            }
        }
        self.with(|database| {
            let write = database.begin_write().map_err(disk)?;
            for (kind, name, record) in &batch.0 {
                let mut table = write.open_table(kind.table()).map_err(disk)?;
                match record {
                    Some(record) => drop(
                        table
                            .insert(name.as_str(), record.as_slice())
                            .map_err(disk)?,
                    ),
                    None => drop(table.remove(name.as_str()).map_err(disk)?),
                }
            }
            write.commit().map_err(disk)
        })
    }
}
