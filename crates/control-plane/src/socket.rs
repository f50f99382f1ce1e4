//! A Unix socket that only its owner may use, from the first moment on. One that a crash left behind is replaced, a live one is
//! not, and at the end the file is removed only if it is still the same.

use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File, OpenOptions, Permissions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{FileTypeExt, MetadataExt, OpenOptionsExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// The mode of the lock file.
const LOCK_MODE: u32 = 0o600;

/// Why a socket can't be listened at.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// Another process listens at the path.
    #[error("{}: another process listens there", path.display())]
    InUse {
        /// The path.
        path: PathBuf,
    },
    /// The path names a file that is no socket.
    #[error("{}: something that is no socket is there", path.display())]
    NotASocket {
        /// The path.
        path: PathBuf,
    },
    /// The system refuses a step.
    #[error("{}: {step}: {source}", path.display())]
    Io {
        /// The path.
        path: PathBuf,
        /// The step, in words.
        step: &'static str,
        /// The error.
        source: io::Error,
    },
}

/// A listener together with its file.
#[derive(Debug)]
pub struct BoundSocket {
    /// Accepts connections.
    pub listener: UnixListener,
    /// The file, locked for as long as this exists.
    pub file: SocketFile,
}

/// Which file it is, whatever its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

impl FileId {
    fn of(path: &Path) -> io::Result<FileId> {
        let metadata = fs::symlink_metadata(path)?;
        Ok(FileId {
            device: metadata.dev(),
            inode: metadata.ino(),
        })
    }
}

/// The file of a socket.
#[derive(Debug)]
pub struct SocketFile {
    path: PathBuf,
    created: FileId,
    _lock: File,
}

impl SocketFile {
    /// Removes the file, unless another has taken its place.
    pub fn remove(&self) {
        if FileId::of(&self.path).is_ok_and(|found| found == self.created) {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Listens at a path, with a mode that holds before anybody can connect.
///
/// # Errors
///
/// See [`SocketError`].
pub fn listen(path: &Path, mode: u32) -> Result<BoundSocket, SocketError> {
    // Held for as long as the socket is: of two that start at once, not both may find the old one dead.
    let lock = lock(path)?;
    check_replaceable(path)?;
    // Bound under another name, so that its mode is set before it has the one that others know.
    let temporary = with_suffix(path, ".new");
    remove_leftover(path, &temporary)?;
    let failed = |step| move |source| io_error(path, step, source);
    let listener = UnixListener::bind(&temporary).map_err(failed("cannot listen"))?;
    fs::set_permissions(&temporary, Permissions::from_mode(mode))
        .map_err(failed("cannot set its mode"))?;
    let created = FileId::of(&temporary).map_err(failed("cannot look at it"))?;
    fs::rename(&temporary, path).map_err(failed("cannot give it its name"))?;
    let file = SocketFile {
        path: path.into(),
        created,
        _lock: lock,
    };
    Ok(BoundSocket { listener, file })
}

fn io_error(path: &Path, step: &'static str, source: io::Error) -> SocketError {
    SocketError::Io {
        path: path.into(),
        step,
        source,
    }
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

fn lock(path: &Path) -> Result<File, SocketError> {
    let lock = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .mode(LOCK_MODE)
        .open(with_suffix(path, ".lock"))
        .map_err(|error| io_error(path, "cannot open its lock", error))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| SocketError::InUse { path: path.into() })?;
    Ok(lock)
}

/// Checks that nothing is at the path but what a crash may have left.
fn check_replaceable(path: &Path) -> Result<(), SocketError> {
    match fs::symlink_metadata(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(io_error(path, "cannot look at it", error)),
        Ok(found) if !found.file_type().is_socket() => {
            return Err(SocketError::NotASocket { path: path.into() });
        }
        Ok(_) => {}
    }
    match UnixStream::connect(path) {
        Ok(_) => Err(SocketError::InUse { path: path.into() }),
        // Left by a crash.
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Ok(()),
        Err(error) => {
            let step = "cannot tell whether somebody listens there";
            Err(io_error(path, step, error))
        }
    }
}

fn remove_leftover(path: &Path, temporary: &Path) -> Result<(), SocketError> {
    match fs::remove_file(temporary) {
        Err(error) if error.kind() != ErrorKind::NotFound => {
            Err(io_error(path, "cannot clear what a crash left", error))
        }
        _ => Ok(()),
    }
}
