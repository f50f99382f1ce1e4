//! The folder of a store: its lock file, and the creation of the store's file.

use crate::error::StoreError;
use rustix::fs::{flock, FlockOperation};
use std::fs::{self, DirBuilder, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Name of the store's file.
const STORE_FILE: &str = "wrenfork.redb";
/// Name of the store's file while it is being created. It is renamed once complete, so that a crash does not leave an
/// incomplete file under the final name.
const NEW_FILE: &str = "wrenfork.new";
/// Name of the file that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";
const FOLDER_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;

/// A folder that this process has locked.
#[derive(Debug)]
pub(crate) struct LockedFolder {
    path: PathBuf,
    _lock: File,
}

impl LockedFolder {
    /// Locks a folder, which is created if it does not exist. Only the owner can access a folder and files created
    /// here.
    pub(crate) fn lock(path: &Path) -> Result<LockedFolder, StoreError> {
        DirBuilder::new()
            .recursive(true)
            .mode(FOLDER_MODE)
            .create(path)
            .map_err(|e| StoreError::folder(path, e))?;
        let lock = open_private(&path.join(LOCK_FILE)).map_err(|e| StoreError::folder(path, e))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| StoreError::Locked(path.to_path_buf()))?;
        Ok(LockedFolder {
            path: path.to_path_buf(),
            _lock: lock,
        })
    }

    /// Path of the store's file.
    pub(crate) fn file(&self) -> PathBuf {
        self.path.join(STORE_FILE)
    }

    /// Creates the store's file with `create`, so that after a crash the file is either complete or missing.
    pub(crate) fn create_file(
        &self,
        create: impl FnOnce(&Path) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let failed = |e| StoreError::folder(&self.path, e);
        let new_file = self.path.join(NEW_FILE);
        remove_if_present(&new_file).map_err(failed)?;
        drop(open_private(&new_file).map_err(failed)?);
        create(&new_file)?;
        sync(&new_file).map_err(failed)?;
        fs::rename(&new_file, self.file()).map_err(failed)?;
        // Without this, a crash could undo the rename.
        sync(&self.path).map_err(failed)
    }
}

fn open_private(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .mode(FILE_MODE)
        .open(path)
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

fn sync(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}
