//! Errors of a store.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a store can't be used, or a commit was not made.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has locked the folder.
    #[error("another process has the folder {}", .0.display())]
    Locked(PathBuf),
    /// The folder was written by a newer program.
    #[error(
        "the folder is of version {found}, and this program knows up to {known}: use a newer one"
    )]
    NewerVersion {
        /// Version of the folder.
        found: u32,
        /// Newest version known to this program.
        known: u32,
    },
    /// The file is not a store, or damaged beyond what a crash can do.
    #[error("the store is damaged: {0}")]
    Corrupted(String),
    /// A record or its name is too long.
    #[error("a record is too long: {0}")]
    TooLong(String),
    /// The folder can't be read or written.
    #[error("the disk: {path}: {source}", path = .path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The database can't be read or written; what is stored is as it was.
    #[error("the disk: {0}")]
    Database(#[source] Box<redb::Error>),
    /// An earlier failure closed the database, and it has no file to open it again from.
    #[error("the disk: it failed before")]
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

    /// Converts an error of a folder.
    pub(crate) fn folder(path: &Path, source: io::Error) -> StoreError {
        StoreError::Folder {
            path: path.to_path_buf(),
            source,
        }
    }

    /// Whether the state of the open database is of no use after this error.
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
