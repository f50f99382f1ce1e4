//! Errors of the store.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a store can't be opened, read or changed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has locked the folder.
    #[error("another process has the folder {}", .0.display())]
    Locked(PathBuf),
    /// A newer program has written the records in a version that this program does not know.
    #[error(
        "the folder has version {found}, but this program supports up to {known}: use a newer one"
    )]
    NewerVersion {
        /// Version of the records in the folder.
        found: u32,
        /// Newest version that this program supports.
        known: u32,
    },
    /// The file is not a store, or is damaged in a way that a crash can't cause.
    #[error("the store is damaged: {0}")]
    Corrupted(String),
    /// A record exceeds [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES), or its name
    /// [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES). Holds the start of the name.
    #[error("a record or its name is too long: {0}")]
    TooLong(String),
    /// The folder or one of its files can't be accessed.
    #[error("the disk can't be read or written: {path}: {source}", path = .path.display())]
    Folder {
        /// Path of the folder.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The database can't be read or written; the stored records have not changed.
    #[error("the disk can't be read or written: {0}")]
    Database(#[source] Box<redb::Error>),
    /// The database was closed by an earlier failure and has no file to reopen it from.
    #[error("the disk failed earlier and the database is closed")]
    Closed,
}

impl StoreError {
    /// Converts an error of the database.
    pub(crate) fn database(error: impl Into<redb::Error>) -> StoreError {
        match error.into() {
            redb::Error::Corrupted(reason) => StoreError::Corrupted(reason),
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked(PathBuf::new()),
            other => StoreError::Database(Box::new(other)),
        }
    }

    /// Converts an I/O error of the folder at `path`.
    pub(crate) fn folder(path: &Path, source: io::Error) -> StoreError {
        StoreError::Folder {
            path: path.to_path_buf(),
            source,
        }
    }

    /// Whether the open database can't be used any more after this error.
    pub(crate) fn closes_database(&self) -> bool {
        match self {
            StoreError::Corrupted(_)
            | StoreError::Folder { .. }
            | StoreError::Database(_)
            | StoreError::Closed => true,
            StoreError::Locked(_) | StoreError::NewerVersion { .. } | StoreError::TooLong(_) => {
                false
            }
        }
    }
}
